#include "soak/servers.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/address.h"
#include "net/edge.h"
#include "util/alloc.h"
#include "util/map.h"
#include "util/vec.h"

#define SERVICE_MAX 16
#define ADDRESS_MAX 32
#define VIOLATION_MAX 256
#define LIST_PORT 8102
#define SERVER_PORT 8080

typedef struct {
    soak_servers *all;
    char service[SERVICE_MAX];
    char id[SOAK_ID_MAX];
    char listed[ADDRESS_MAX]; /* of its proxy */
    unsigned starts;
    bbl_edge *edge;
    soak_proxy *proxy;
    bbl_usec shed_until;
    bbl_usec lose_until;
} server;

/* A request that a server works on. */
typedef struct {
    server *at;
    bbl_edge_call *call;
    bbl_usec due;
} work;

struct soak_servers {
    bbl_loop *loop;
    soak_servers_options options;
    server *servers;
    unsigned count;
    bbl_vec works; /* work */
    bbl_edge *list;
    soak_proxy *list_proxy;
    bbl_map requests; /* hash of the id -> soak_request_record */
    char violation[VIOLATION_MAX];
};

static uint64_t
key_of(const char *ptr, size_t size)
{
    return bbl_hash(ptr, size, 3);
}

void
soak_servers_report_violation(soak_servers *all, const char *format, ...)
{
    va_list args;

    if (all->violation[0] != '\0') {
        return;
    }
    va_start(args, format);
    vsnprintf(all->violation, sizeof(all->violation), format, args);
    va_end(args);
}

const char *
soak_servers_violation(const soak_servers *all)
{
    return all->violation[0] != '\0' ? all->violation : NULL;
}

soak_request_record *
soak_servers_register_request(soak_servers *all, const char *id, bool once)
{
    soak_request_record *r = bbl_calloc(1, sizeof(*r));

    snprintf(r->id, sizeof(r->id), "%s", id);
    r->once = once;
    bbl_map_set(&all->requests, key_of(id, strlen(id)), r);
    return r;
}

void
soak_records_generate(char out[SOAK_RECORDS_PER_SERVICE * SOAK_RECORD_BYTES],
                      const char *service, const char *id)
{
    bbl_rng rng = {key_of(service, strlen(service)) ^ key_of(id, strlen(id))};

    for (size_t i = 0; i < SOAK_RECORDS_PER_SERVICE * SOAK_RECORD_BYTES; i++) {
        out[i] = (char)('a' + bbl_rng_below(&rng, 26));
    }
}

/* ---- the list ---- */

static void
take_list(void *ctx, bbl_edge_call *call)
{
    soak_servers *all = ctx;
    bbl_buf body = BBL_BUF_INIT;
    bbl_edge_response r = {200, {"", 0}, {"", 0}, false};

    bbl_buf_append_cstr(&body, "{\"instances\":[");
    for (unsigned i = 0; i < all->count; i++) {
        const server *s = &all->servers[i];

        bbl_buf_printf(&body,
                       "%s{\"service\":\"%s\",\"id\":\"%s\",\"zone\":\"z%u\","
                       "\"slots\":4,\"state\":\"ready\",\"warmup_left_ms\":0,"
                       "\"version\":\"v1\",\"address\":\"%s\"}",
                       i > 0 ? "," : "", s->service, s->id, i % 3 + 1,
                       s->listed);
    }
    bbl_buf_append_cstr(&body, "],\"next_page_token\":null}");
    r.body = bbl_buf_str(&body);
    bbl_edge_respond(call, &r);
    bbl_buf_free(&body);
}

/* ---- servers ---- */

static void
note_run(server *s, const bbl_edge_call *call)
{
    bbl_str id = bbl_http_message_field(call->message, "Request-Id");
    soak_request_record *r =
        bbl_map_get(&s->all->requests, key_of(id.ptr ? id.ptr : "", id.size));

    if (r == NULL) {
        soak_servers_report_violation(
            s->all, "%s ran a request that nobody sent", s->id);
        return;
    }
    r->run_count++;
    if (r->once && r->run_count > 1) {
        soak_servers_report_violation(s->all, "request %s ran twice", r->id);
    }
    if (r->refused) {
        soak_servers_report_violation(
            s->all, "request %s ran after \"not run\"", r->id);
    }
}

static void
take_work(void *ctx, bbl_edge_call *call)
{
    server *s = ctx;
    bbl_usec now = call->received_at;
    bbl_str meant = bbl_http_message_field(call->message, "Expect-Instance");
    work w = {s, call, now + s->all->options.service_time};

    if (meant.ptr != NULL && (meant.size != strlen(s->id) ||
                              memcmp(meant.ptr, s->id, meant.size) != 0)) {
        bbl_edge_respond_text(call, 421, "", "");
        return;
    }
    if (now < s->shed_until) {
        bbl_edge_respond_text(call, 503, "Not-Executed: 1\r\n", "");
        return;
    }
    note_run(s, call);
    if (now < s->lose_until) {
        w.due = now + 3600 * BBL_USEC_PER_SEC;
    }
    bbl_vec_push(&s->all->works, &w);
}

static void
work_left(void *ctx, bbl_edge_call *call)
{
    soak_servers *all = ((server *)ctx)->all;

    for (size_t i = 0; i < all->works.size; i++) {
        if (BBL_VEC_AT(work, &all->works, i)->call == call) {
            bbl_vec_swap_remove(&all->works, i);
            return;
        }
    }
}

static void
finish_work(const work *w)
{
    bbl_str id = bbl_http_message_field(w->call->message, "Request-Id");
    char text[SOAK_ID_MAX];
    char records[SOAK_RECORDS_PER_SERVICE * SOAK_RECORD_BYTES];
    bbl_buf fields = BBL_BUF_INIT;
    bbl_edge_response r = {200, {"", 0}, {records, sizeof(records)}, false};

    snprintf(text, sizeof(text), "%.*s", (int)id.size, id.ptr ? id.ptr : "");
    soak_records_generate(records, w->at->service, text);
    /* The signature names the service, then what it was given for. */
    bbl_buf_printf(&fields, "Response-Stamp: %s.%s\r\nRequest-Id: %s\r\n",
                   w->at->service, text, text);
    r.fields = bbl_buf_str(&fields);
    bbl_edge_respond(w->call, &r);
    bbl_buf_free(&fields);
}

void
soak_servers_tick(soak_servers *all, bbl_usec now)
{
    for (size_t i = 0; i < all->works.size;) {
        work w = *BBL_VEC_AT(work, &all->works, i);

        if (w.due > now) {
            i++;
            continue;
        }
        bbl_vec_swap_remove(&all->works, i);
        finish_work(&w);
        i = 0;
    }
    for (unsigned i = 0; i < all->count; i++) {
        bbl_edge_tick(all->servers[i].edge, now);
        soak_proxy_tick(all->servers[i].proxy, now);
    }
    bbl_edge_tick(all->list, now);
    soak_proxy_tick(all->list_proxy, now);
}

/* ---- faults ---- */

unsigned
soak_servers_count(const soak_servers *all)
{
    return all->count;
}

soak_proxy *
soak_servers_proxy(soak_servers *all, unsigned index)
{
    return all->servers[index].proxy;
}

soak_proxy *
soak_servers_list_proxy(soak_servers *all)
{
    return all->list_proxy;
}

static void
name_server(server *s)
{
    snprintf(s->id, sizeof(s->id), "i-%s-%u-%u", s->service,
             (unsigned)(s - s->all->servers), ++s->starts);
}

void
soak_servers_replace(soak_servers *all, unsigned index)
{
    soak_proxy_reset_connections(all->servers[index].proxy);
    name_server(&all->servers[index]);
}

void
soak_servers_shed(soak_servers *all, unsigned index, bbl_usec until)
{
    all->servers[index].shed_until = until;
}

void
soak_servers_drop_responses(soak_servers *all, unsigned index, bbl_usec until)
{
    all->servers[index].lose_until = until;
}

/* ---- start and end ---- */

static int
open_server(soak_servers *all, unsigned i)
{
    server *s = &all->servers[i];
    bbl_edge_handler handler = {take_work, work_left, s};
    char text[ADDRESS_MAX];
    bblx_address inner;
    bblx_address outer;
    int error;

    s->all = all;
    snprintf(s->service, sizeof(s->service), "s%u",
             i / all->options.servers_per_service);
    name_server(s);
    snprintf(text, sizeof(text), "127.61.3.%u:%d", i + 1, SERVER_PORT);
    snprintf(s->listed, sizeof(s->listed), "127.61.5.%u:%d", i + 1,
             SERVER_PORT);
    error = bbl_address_parse(&inner, text);
    if (error == 0) {
        error = bbl_address_parse(&outer, s->listed);
    }
    if (error == 0) {
        error = bbl_edge_open(&s->edge, all->loop, inner, &handler);
    }
    if (error == 0) {
        error = soak_proxy_open(&s->proxy, all->loop, outer, inner);
    }
    return error;
}

static int
open_list(soak_servers *all)
{
    bbl_edge_handler handler = {take_list, NULL, all};
    bblx_address inner;
    bblx_address outer;
    char text[ADDRESS_MAX];
    int error;

    snprintf(text, sizeof(text), "127.61.4.1:%d", LIST_PORT);
    error = bbl_address_parse(&inner, text);
    snprintf(text, sizeof(text), "127.61.4.2:%d", LIST_PORT);
    if (error == 0) {
        error = bbl_address_parse(&outer, text);
    }
    if (error == 0) {
        error = bbl_edge_open(&all->list, all->loop, inner, &handler);
    }
    if (error == 0) {
        error = soak_proxy_open(&all->list_proxy, all->loop, outer, inner);
    }
    return error;
}

int
soak_servers_open(soak_servers **out, bbl_loop *loop,
                  const soak_servers_options *options)
{
    soak_servers *all = bbl_calloc(1, sizeof(*all));
    int error;

    all->loop = loop;
    all->options = *options;
    all->works = (bbl_vec)BBL_VEC_INIT(work);
    all->count = options->service_count * options->servers_per_service;
    all->servers = bbl_calloc(all->count, sizeof(server));
    error = open_list(all);
    for (unsigned i = 0; error == 0 && i < all->count; i++) {
        error = open_server(all, i);
    }
    *out = all;
    return error;
}

void
soak_servers_free(soak_servers *all)
{
    soak_request_record *r;
    size_t pos = 0;

    if (all == NULL) {
        return;
    }
    for (unsigned i = 0; i < all->count; i++) {
        soak_proxy_free(all->servers[i].proxy);
        bbl_edge_free(all->servers[i].edge);
    }
    soak_proxy_free(all->list_proxy);
    bbl_edge_free(all->list);
    while ((r = bbl_map_next(&all->requests, &pos)) != NULL) {
        free(r);
    }
    bbl_map_free(&all->requests);
    bbl_vec_free(&all->works);
    free(all->servers);
    free(all);
}
