#include "soak/servers.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/address.h"
#include "net/edge.h"
#include "odd_entries.h"
#include "soak/network.h"
#include "util/alloc.h"
#include "util/map.h"
#include "util/vec.h"

#define SERVICE_MAX 16
#define ADDRESS_MAX 32
#define LIMIT_WINDOW_US (5 * BBL_USEC_PER_SEC)
/* The bound of the default settings: a tenth and 20 requests over the limit.
 */
#define LIMIT_BOUND ((SOAK_LIMIT_PER_S * 5 + SOAK_LIMIT_BURST) * 1.1 + 20)
#define VIOLATION_MAX 256
#define SERVER_PORT 8080

typedef struct {
    soak_servers *all_servers;
    char service[SERVICE_MAX];
    char id[SOAK_ID_MAX];
    char listed_address[ADDRESS_MAX]; /* that of the proxy */
    unsigned incarnation;             /* part of the ID; starts at 1 */
    bbl_edge *edge;
    soak_proxy *proxy;
    bbl_usec shed_until; /* requests received earlier are refused */
    /* Requests received earlier run without a response. */
    bbl_usec drop_responses_until;
} server;

/* A request that a server has received and not answered. */
typedef struct {
    server *backend;
    bbl_edge_call *call;
    bbl_usec respond_at;
} running_request;

struct soak_servers {
    bbl_loop *loop;
    soak_servers_options options;
    server *items;
    unsigned count;
    bbl_vec running_requests; /* of running_request */
    bbl_edge *list_edge;
    soak_proxy *list_proxy;
    bbl_map request_records; /* hash of the ID -> soak_request_record * */
    bbl_vec limited_runs;    /* bbl_usec, first runs of SOAK_LIMITED */
    char violation[VIOLATION_MAX];
};

static uint64_t
hash_text(const char *ptr, size_t size)
{
    return bbl_hash(ptr, size, 3);
}

void
soak_servers_report_violation(soak_servers *servers, const char *format, ...)
{
    va_list args;

    if (servers->violation[0] != '\0') {
        return;
    }
    va_start(args, format);
    vsnprintf(servers->violation, sizeof(servers->violation), format, args);
    va_end(args);
}

const char *
soak_servers_violation(const soak_servers *servers)
{
    return servers->violation[0] != '\0' ? servers->violation : NULL;
}

soak_request_record *
soak_servers_register_request(soak_servers *servers, const char *id, bool once,
                              const char *organisation)
{
    soak_request_record *r = bbl_calloc(1, sizeof(*r));

    snprintf(r->id, sizeof(r->id), "%s", id);
    r->once = once;
    r->organisation = organisation;
    bbl_map_set(&servers->request_records, hash_text(id, strlen(id)), r);
    return r;
}

void
soak_records_generate(char out[SOAK_RECORDS_PER_SERVICE * SOAK_RECORD_BYTES],
                      const char *service, const char *id)
{
    bbl_rng rng = {hash_text(service, strlen(service)) ^
                   hash_text(id, strlen(id))};

    for (size_t i = 0; i < SOAK_RECORDS_PER_SERVICE * SOAK_RECORD_BYTES; i++) {
        out[i] = (char)('a' + bbl_rng_below(&rng, 26));
    }
}

/* ---- list of servers ---- */

static void
on_list_request(void *ctx, bbl_edge_call *call)
{
    soak_servers *servers = ctx;
    bbl_buf body = BBL_BUF_INIT;
    bbl_edge_response r = {200, {"", 0}, {"", 0}, false};

    bbl_buf_append_cstr(&body, "{\"instances\":[");
    for (unsigned i = 0; i < servers->count; i++) {
        const server *s = &servers->items[i];

        bbl_buf_printf(&body,
                       "%s{\"service\":\"%s\",\"id\":\"%s\",\"zone\":\"z%u\","
                       "\"slots\":4,\"state\":\"ready\",\"warmup_left_ms\":0,"
                       "\"version\":\"v1\",\"address\":\"%s\"}",
                       i > 0 ? "," : "", s->service, s->id, i % 3 + 1,
                       s->listed_address);
    }
    odd_entries_append(&body, servers->items[0].id);
    bbl_buf_append_cstr(&body, "],\"next_page_token\":null}");
    r.body = bbl_buf_str(&body);
    bbl_edge_respond(call, &r);
    bbl_buf_free(&body);
}

/* ---- servers ---- */

/*
 * Checks that the requests of the organisation with a limit that run within
 * LIMIT_WINDOW_US stay within the bound that its operator states.
 */
static void
check_limit(soak_servers *servers, bbl_usec now)
{
    bbl_vec *runs = &servers->limited_runs;

    bbl_vec_push(runs, &now);
    while (*BBL_VEC_AT(bbl_usec, runs, 0) + LIMIT_WINDOW_US <= now) {
        bbl_vec_remove(runs, 0);
    }
    if (runs->size > LIMIT_BOUND) {
        soak_servers_report_violation(
            servers, "%zu requests of an organisation ran in 5 s, allowed %u",
            runs->size, (unsigned)LIMIT_BOUND);
    }
}

/* Checks the organisation that a request names, and that it holds no key. */
static void
check_organisation(server *s, const bbl_edge_call *call,
                   const soak_request_record *r)
{
    bbl_str name = bbl_http_message_field(call->message, "Tenant-Id");

    if (r->organisation == NULL) {
        soak_servers_report_violation(
            s->all_servers, "request %s ran with an unknown key", r->id);
    }
    else if (bbl_http_message_field_count(call->message, "Key") > 0 ||
             bbl_http_message_field_count(call->message, "Tenant-Id") != 1 ||
             !bbl_str_equal(
                 name, (bbl_str){r->organisation, strlen(r->organisation)})) {
        soak_servers_report_violation(
            s->all_servers, "request %s of %s came as of \"%.*s\"", r->id,
            r->organisation, (int)name.size, name.ptr ? name.ptr : "");
    }
    else if (strcmp(r->organisation, SOAK_LIMITED) == 0 && r->run_count == 0) {
        check_limit(s->all_servers, call->received_at);
    }
}

static void
record_run(server *s, const bbl_edge_call *call)
{
    bbl_str id = bbl_http_message_field(call->message, "Request-Id");
    soak_request_record *r =
        bbl_map_get(&s->all_servers->request_records,
                    hash_text(id.ptr ? id.ptr : "", id.size));

    if (r == NULL) {
        soak_servers_report_violation(
            s->all_servers, "%s ran a request that no caller sent", s->id);
        return;
    }
    check_organisation(s, call, r);
    r->run_count++;
    if (r->once && r->run_count > 1) {
        soak_servers_report_violation(s->all_servers, "request %s ran twice",
                                      r->id);
    }
    if (r->refused) {
        soak_servers_report_violation(
            s->all_servers, "request %s ran after it was reported as not run",
            r->id);
    }
}

static void
on_request(void *ctx, bbl_edge_call *call)
{
    server *s = ctx;
    bbl_usec now = call->received_at;
    bbl_str expected_id =
        bbl_http_message_field(call->message, "Expect-Instance");
    running_request w = {s, call, now + s->all_servers->options.service_time};

    if (expected_id.ptr != NULL &&
        (expected_id.size != strlen(s->id) ||
         memcmp(expected_id.ptr, s->id, expected_id.size) != 0)) {
        bbl_edge_respond_text(call, 421, "", "");
        return;
    }
    if (now < s->shed_until) {
        bbl_edge_respond_text(call, 503, "Not-Executed: 1\r\n", "");
        return;
    }
    record_run(s, call);
    if (now < s->drop_responses_until) {
        w.respond_at = now + 3600 * BBL_USEC_PER_SEC;
    }
    bbl_vec_push(&s->all_servers->running_requests, &w);
}

static void
on_disconnect(void *ctx, bbl_edge_call *call)
{
    soak_servers *servers = ((server *)ctx)->all_servers;

    for (size_t i = 0; i < servers->running_requests.size; i++) {
        if (BBL_VEC_AT(running_request, &servers->running_requests, i)->call ==
            call) {
            bbl_vec_swap_remove(&servers->running_requests, i);
            return;
        }
    }
}

static void
send_response(const running_request *w)
{
    bbl_str id = bbl_http_message_field(w->call->message, "Request-Id");
    char text[SOAK_ID_MAX];
    char records[SOAK_RECORDS_PER_SERVICE * SOAK_RECORD_BYTES];
    bbl_buf fields = BBL_BUF_INIT;
    bbl_edge_response r = {200, {"", 0}, {records, sizeof(records)}, false};

    snprintf(text, sizeof(text), "%.*s", (int)id.size, id.ptr ? id.ptr : "");
    soak_records_generate(records, w->backend->service, text);
    /* The stamp consists of the service and the ID of the request. */
    bbl_buf_printf(&fields, "Response-Stamp: %s.%s\r\nRequest-Id: %s\r\n",
                   w->backend->service, text, text);
    r.fields = bbl_buf_str(&fields);
    bbl_edge_respond(w->call, &r);
    bbl_buf_free(&fields);
}

void
soak_servers_tick(soak_servers *servers, bbl_usec now)
{
    for (size_t i = 0; i < servers->running_requests.size;) {
        running_request w =
            *BBL_VEC_AT(running_request, &servers->running_requests, i);

        if (w.respond_at > now) {
            i++;
            continue;
        }
        bbl_vec_swap_remove(&servers->running_requests, i);
        send_response(&w);
        i = 0;
    }
    for (unsigned i = 0; i < servers->count; i++) {
        bbl_edge_tick(servers->items[i].edge, now);
        soak_proxy_tick(servers->items[i].proxy, now);
    }
    bbl_edge_tick(servers->list_edge, now);
    soak_proxy_tick(servers->list_proxy, now);
}

/* ---- faults ---- */

unsigned
soak_servers_count(const soak_servers *servers)
{
    return servers->count;
}

soak_proxy *
soak_servers_proxy(soak_servers *servers, unsigned index)
{
    return servers->items[index].proxy;
}

soak_proxy *
soak_servers_list_proxy(soak_servers *servers)
{
    return servers->list_proxy;
}

static void
assign_server_id(server *s)
{
    snprintf(s->id, sizeof(s->id), "i-%s-%u-%u", s->service,
             (unsigned)(s - s->all_servers->items), ++s->incarnation);
}

void
soak_servers_replace(soak_servers *servers, unsigned index)
{
    soak_proxy_reset_connections(servers->items[index].proxy);
    assign_server_id(&servers->items[index]);
}

void
soak_servers_shed(soak_servers *servers, unsigned index, bbl_usec until)
{
    servers->items[index].shed_until = until;
}

void
soak_servers_drop_responses(soak_servers *servers, unsigned index,
                            bbl_usec until)
{
    servers->items[index].drop_responses_until = until;
}

/* ---- creation and release ---- */

static int
open_server(soak_servers *servers, unsigned i)
{
    server *s = &servers->items[i];
    bbl_edge_handler handler = {on_request, on_disconnect, s};
    char text[ADDRESS_MAX];
    bblx_address server_endpoint;
    bblx_address proxy_endpoint;
    int error;

    s->all_servers = servers;
    snprintf(s->service, sizeof(s->service), "s%u",
             i / servers->options.servers_per_service);
    assign_server_id(s);
    soak_network_format(text, sizeof(text), SOAK_NET_SERVERS, i + 1,
                        SERVER_PORT);
    soak_network_format(s->listed_address, sizeof(s->listed_address),
                        SOAK_NET_PROXIES, i + 1, SERVER_PORT);
    error = bbl_address_parse(&server_endpoint, text);
    if (error == 0) {
        error = bbl_address_parse(&proxy_endpoint, s->listed_address);
    }
    if (error == 0) {
        error =
            bbl_edge_open(&s->edge, servers->loop, server_endpoint, &handler);
    }
    if (error == 0) {
        error = soak_proxy_open(&s->proxy, servers->loop, proxy_endpoint,
                                server_endpoint);
    }
    return error;
}

static int
open_server_list(soak_servers *servers)
{
    bbl_edge_handler handler = {on_list_request, NULL, servers};
    bblx_address server_endpoint;
    bblx_address proxy_endpoint;
    char text[ADDRESS_MAX];
    int error;

    soak_network_format(text, sizeof(text), SOAK_NET_LIST, 1, SOAK_LIST_PORT);
    error = bbl_address_parse(&server_endpoint, text);
    soak_network_format(text, sizeof(text), SOAK_NET_LIST, SOAK_LIST_PROXY,
                        SOAK_LIST_PORT);
    if (error == 0) {
        error = bbl_address_parse(&proxy_endpoint, text);
    }
    if (error == 0) {
        error = bbl_edge_open(&servers->list_edge, servers->loop,
                              server_endpoint, &handler);
    }
    if (error == 0) {
        error = soak_proxy_open(&servers->list_proxy, servers->loop,
                                proxy_endpoint, server_endpoint);
    }
    return error;
}

int
soak_servers_open(soak_servers **out, bbl_loop *loop,
                  const soak_servers_options *options)
{
    soak_servers *servers = bbl_calloc(1, sizeof(*servers));
    int error;

    servers->loop = loop;
    servers->options = *options;
    servers->running_requests = (bbl_vec)BBL_VEC_INIT(running_request);
    servers->limited_runs = (bbl_vec)BBL_VEC_INIT(bbl_usec);
    servers->count = options->service_count * options->servers_per_service;
    servers->items = bbl_calloc(servers->count, sizeof(server));
    error = open_server_list(servers);
    for (unsigned i = 0; error == 0 && i < servers->count; i++) {
        error = open_server(servers, i);
    }
    *out = servers;
    return error;
}

void
soak_servers_free(soak_servers *servers)
{
    soak_request_record *r;
    size_t pos = 0;

    if (servers == NULL) {
        return;
    }
    for (unsigned i = 0; i < servers->count; i++) {
        soak_proxy_free(servers->items[i].proxy);
        bbl_edge_free(servers->items[i].edge);
    }
    soak_proxy_free(servers->list_proxy);
    bbl_edge_free(servers->list_edge);
    while ((r = bbl_map_next(&servers->request_records, &pos)) != NULL) {
        free(r);
    }
    bbl_map_free(&servers->request_records);
    bbl_vec_free(&servers->limited_runs);
    bbl_vec_free(&servers->running_requests);
    free(servers->items);
    free(servers);
}
