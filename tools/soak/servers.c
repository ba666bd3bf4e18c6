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
#include "util/clock.h"
#include "util/map.h"
#include "util/vec.h"

#define SERVICE_MAX 16
#define ADDRESS_MAX 32
#define LIMIT_WINDOW_US (5 * BBL_USEC_PER_SEC)
/* The bound of the default settings: a tenth and 20 requests over the limit.
 */
#define LIMIT_BOUND ((SOAK_LIMIT_PER_S * 5 + SOAK_LIMIT_BURST) * 1.1 + 20)
/* Default settings of the requests to a service beyond the first one of each
 * request of a caller, over all hosts. */
#define EXTRA_WINDOW_US (10 * BBL_USEC_PER_SEC)
#define EXTRA_RATIO 0.2
#define EXTRA_CONSTANT 50
#define VIOLATION_MAX 256
#define SERVER_PORT 8080
#define SLOTS 4
#define QUEUE_MAX 12 /* requests that wait for a slot of a server */
#define FAILS_LATE_US (1500 * BBL_USEC_PER_MS)
/* A version gets nothing more this long after its rollback was read, and this
 * long after its 50th bad answer; longer if control hosts were disturbed. */
#define ROLLBACK_SEEN_US (2 * BBL_USEC_PER_SEC)
#define ROLLBACK_US (5 * BBL_USEC_PER_SEC)
#define ROLLBACK_UNSTABLE_US (20 * BBL_USEC_PER_SEC)

typedef struct {
    soak_servers *all_servers;
    char service[SERVICE_MAX];
    char id[SOAK_ID_MAX];
    char listed_address[ADDRESS_MAX]; /* that of the proxy */
    unsigned incarnation;             /* part of the ID; starts at 1 */
    unsigned service_index;
    unsigned version; /* 0: it has not started */
    unsigned busy;    /* slots in use */
    unsigned queued;  /* requests that wait for a slot */
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
    uint64_t number;     /* in the order of arrival */
    bbl_usec time;       /* from the start to the response */
    bbl_usec respond_at; /* 0 while it waits for a slot */
    bool dropped;        /* it gets no response, and uses no slot */
    bool fails;          /* whether the response is 500 */
} running_request;

/* A request that a server received. */
typedef struct {
    bbl_usec at;
    bool extra; /* not the first one to the service for its caller's request */
} attempt;

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
    bbl_vec attempts[SOAK_SERVICES_MAX]; /* of attempt, within a window */
    unsigned extra[SOAK_SERVICES_MAX];   /* of these attempts */
    soak_rollout_record rollouts[SOAK_SERVICES_MAX];
    bbl_usec control_disturbed_until;
    uint64_t received; /* requests */
    unsigned extra_max;
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
    r->registered_at = bbl_clock_now();
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
    const char *odd_id = servers->items[0].id;
    unsigned count = 0;

    bbl_buf_append_cstr(&body, "{\"instances\":[");
    for (unsigned i = 0; i < servers->count; i++) {
        const server *s = &servers->items[i];

        if (s->version == 0) {
            continue;
        }
        bbl_buf_printf(&body,
                       "%s{\"service\":\"%s\",\"id\":\"%s\",\"zone\":\"z%u\","
                       "\"slots\":%d,\"state\":\"ready\",\"warmup_left_ms\":0,"
                       "\"version\":\"v%u\",\"address\":\"%s\"}",
                       count++ > 0 ? "," : "", s->service, s->id, i % 3 + 1,
                       SLOTS, s->version, s->listed_address);
    }
    odd_entries_append(&body, odd_id);
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

/* ---- rollouts ---- */

static bool
is_target(const server *s)
{
    const soak_rollout_record *r = &s->all_servers->rollouts[s->service_index];

    return s->version != 0 && s->version == r->version;
}

/* Counts a request and checks that the version may get it. */
static void
check_rollout(server *s, bbl_usec now)
{
    soak_servers *all = s->all_servers;
    soak_rollout_record *r = &all->rollouts[s->service_index];
    bbl_usec limit = all->control_disturbed_until > r->bad_limit_at
                         ? ROLLBACK_UNSTABLE_US
                         : ROLLBACK_US;

    if (r->version == 0) {
        return;
    }
    r->requests += r->deadline == 0 || now <= r->deadline;
    if (!is_target(s)) {
        return;
    }
    r->target_requests += r->running;
    if (r->first_target_request_at == 0) {
        r->first_target_request_at = now;
    }
    if (r->rollback_at != 0 && now > r->rollback_at + ROLLBACK_SEEN_US) {
        soak_servers_report_violation(
            all, "v%u of %s got a request %llu ms after its rollback was read",
            r->version, s->service,
            (unsigned long long)(now - r->rollback_at) / BBL_USEC_PER_MS);
    }
    if (r->bad_limit_at != 0 && now > r->bad_limit_at + limit) {
        soak_servers_report_violation(
            all, "v%u of %s got a request %llu ms after %d bad answers",
            r->version, s->service,
            (unsigned long long)(now - r->bad_limit_at) / BBL_USEC_PER_MS,
            SOAK_BAD_ANSWERS);
    }
}

/* Applies the fault of its version to a request. */
static void
apply_version_fault(server *s, const bbl_edge_call *call, running_request *w)
{
    soak_rollout_record *r = &s->all_servers->rollouts[s->service_index];
    bbl_usec now = call->received_at;

    if (!is_target(s)) {
        return;
    }
    switch (r->fault) {
    case VERSION_FAILS:
        w->fails = true;
        break;
    case VERSION_FAILS_OFTEN:
        w->fails = r->target_requests % 2 == 0;
        break;
    case VERSION_SLOW:
        w->time *= SOAK_SLOW_FACTOR;
        r->bad_answers++;
        break;
    case VERSION_FAILS_LATE:
        w->fails = now > r->first_target_request_at + FAILS_LATE_US;
        break;
    case VERSION_FAILS_ONE_ROUTE:
        w->fails =
            call->target.size > 4 && memcmp(call->target.ptr, "/all", 4) == 0;
        break;
    case VERSION_FAILS_UNDER_LOAD:
        w->fails = s->busy > 0;
        break;
    default:
        break;
    }
    r->bad_answers += w->fails;
    if (r->bad_limit_at == 0 && r->bad_answers >= SOAK_BAD_ANSWERS) {
        r->bad_limit_at = now;
    }
}

/* Starts the requests that have waited longest, if slots are free. */
static void
start_queued(server *s, bbl_usec now)
{
    bbl_vec *all = &s->all_servers->running_requests;

    while (s->busy < SLOTS && s->queued > 0) {
        running_request *first = NULL;

        for (size_t i = 0; i < all->size; i++) {
            running_request *w = bbl_vec_at(all, i);

            if (w->backend == s && w->respond_at == 0 &&
                (first == NULL || w->number < first->number)) {
                first = w;
            }
        }
        if (first == NULL) {
            return;
        }
        first->respond_at = now + first->time;
        s->queued--;
        s->busy++;
    }
}

/* Removes a request; its slot or its place in the queue is free. */
static void
remove_request(soak_servers *servers, size_t i, bbl_usec now)
{
    running_request w =
        *BBL_VEC_AT(running_request, &servers->running_requests, i);

    bbl_vec_swap_remove(&servers->running_requests, i);
    if (!w.dropped && w.respond_at != 0) {
        w.backend->busy--;
    }
    else if (!w.dropped) {
        w.backend->queued--;
    }
    start_queued(w.backend, now);
}

/*
 * Returns the number of requests since a time of which no attempt has arrived
 * at a service, and which were not refused. Proxies may hold these attempts.
 */
static size_t
count_undelivered(const server *s, bbl_usec since)
{
    const soak_request_record *r;
    size_t pos = 0;
    size_t count = 0;

    while ((r = bbl_map_next(&s->all_servers->request_records, &pos)) !=
           NULL) {
        count += r->registered_at >= since && !r->refused &&
                 r->wanted[s->service_index] && !r->received[s->service_index];
    }
    return count;
}

/* Counts an attempt and checks the extra ones within EXTRA_WINDOW_US. */
static void
check_extra(server *s, const bbl_edge_call *call)
{
    soak_servers *all = s->all_servers;
    bbl_vec *attempts = &all->attempts[s->service_index];
    unsigned *extra = &all->extra[s->service_index];
    bbl_str id = bbl_http_message_field(call->message, "Request-Id");
    soak_request_record *r = bbl_map_get(
        &all->request_records, hash_text(id.ptr ? id.ptr : "", id.size));
    attempt a = {call->received_at, false};
    size_t old = 0;
    size_t first;

    if (r == NULL) {
        return; /* see record_run */
    }
    a.extra = r->received[s->service_index];
    r->received[s->service_index] = true;
    bbl_vec_push(attempts, &a);
    *extra += a.extra;
    while (BBL_VEC_AT(attempt, attempts, old)->at + EXTRA_WINDOW_US <= a.at) {
        *extra -= BBL_VEC_AT(attempt, attempts, old++)->extra;
    }
    if (old > 0) {
        memmove(attempts->ptr, BBL_VEC_AT(attempt, attempts, old),
                (attempts->size - old) * sizeof(attempt));
        attempts->size -= old;
    }
    first = attempts->size - *extra;
    if (*extra > EXTRA_RATIO * (double)first + EXTRA_CONSTANT) {
        first += count_undelivered(s, a.at - EXTRA_WINDOW_US);
    }
    if (*extra > EXTRA_RATIO * (double)first + EXTRA_CONSTANT) {
        soak_servers_report_violation(
            all, "%s got %u extra requests with %zu first ones in 10 s",
            s->service, *extra, first);
    }
    all->extra_max = *extra > all->extra_max ? *extra : all->extra_max;
}

static void
on_request(void *ctx, bbl_edge_call *call)
{
    server *s = ctx;
    bbl_usec now = call->received_at;
    bbl_str expected_id =
        bbl_http_message_field(call->message, "Expect-Instance");
    running_request w = {.backend = s,
                         .call = call,
                         .number = ++s->all_servers->received,
                         .time = s->all_servers->options.service_time};

    check_rollout(s, now);
    check_extra(s, call);
    if (expected_id.ptr != NULL &&
        (expected_id.size != strlen(s->id) ||
         memcmp(expected_id.ptr, s->id, expected_id.size) != 0)) {
        bbl_edge_respond_text(call, 421, "", "");
        return;
    }
    if (now < s->shed_until || s->queued >= QUEUE_MAX) {
        bbl_edge_respond_text(call, 503, "Not-Executed: 1\r\n", "");
        return;
    }
    record_run(s, call);
    apply_version_fault(s, call, &w);
    if (now < s->drop_responses_until) {
        w.respond_at = UINT64_MAX;
        w.dropped = true;
    }
    else {
        s->queued++;
    }
    bbl_vec_push(&s->all_servers->running_requests, &w);
    start_queued(s, now);
}

static void
on_disconnect(void *ctx, bbl_edge_call *call)
{
    soak_servers *servers = ((server *)ctx)->all_servers;

    for (size_t i = 0; i < servers->running_requests.size; i++) {
        if (BBL_VEC_AT(running_request, &servers->running_requests, i)->call ==
            call) {
            remove_request(servers, i, bbl_clock_now());
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

    if (w->fails) {
        bbl_edge_respond_text(w->call, 500, "", "");
        return;
    }
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

        if (w.respond_at == 0 || w.respond_at > now) {
            i++;
            continue;
        }
        remove_request(servers, i, now);
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

bool
soak_servers_may_fail(const soak_servers *servers, unsigned index)
{
    const server *s = &servers->items[index];
    const soak_rollout_record *r = &servers->rollouts[s->service_index];

    return s->version != 0 &&
           !(is_target(s) && r->running && r->fault == VERSION_GOOD);
}

bool
soak_servers_is_target(const soak_servers *servers, unsigned index)
{
    const server *s = &servers->items[index];
    const soak_rollout_record *r = &servers->rollouts[s->service_index];

    return is_target(s) && (r->running || r->rollback_at != 0);
}

unsigned
soak_servers_get_extra_max(const soak_servers *servers)
{
    return servers->extra_max;
}

void
soak_servers_note_disturbance(soak_servers *servers, bbl_usec until)
{
    if (until > servers->control_disturbed_until) {
        servers->control_disturbed_until = until;
    }
}

soak_rollout_record *
soak_servers_rollout(soak_servers *servers, unsigned service)
{
    return &servers->rollouts[service];
}

void
soak_servers_start_version(soak_servers *servers, unsigned service)
{
    for (unsigned i = 0; i < servers->count; i++) {
        server *s = &servers->items[i];

        if (s->service_index == service && s->version == 0) {
            assign_server_id(s);
            s->version = servers->rollouts[service].version;
            s->shed_until = 0;
            s->drop_responses_until = 0;
            soak_proxy_set_mode(s->proxy, PROXY_PASS, 0);
            soak_proxy_refuse(s->proxy, false);
        }
    }
}

/* Ends the servers of the version that is rolled out, or the others. */
static void
end_servers(soak_servers *servers, unsigned service, bool targets)
{
    for (unsigned i = 0; i < servers->count; i++) {
        server *s = &servers->items[i];

        if (s->service_index == service && s->version != 0 &&
            is_target(s) == targets) {
            s->version = 0;
            soak_proxy_refuse(s->proxy, true);
            soak_proxy_reset_connections(s->proxy);
        }
    }
}

void
soak_servers_end_version(soak_servers *servers, unsigned service)
{
    end_servers(servers, service, true);
}

void
soak_servers_end_others(soak_servers *servers, unsigned service)
{
    end_servers(servers, service, false);
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
    s->service_index = i / (2 * servers->options.servers_per_service);
    snprintf(s->service, sizeof(s->service), "s%u", s->service_index);
    assign_server_id(s);
    s->version = i / servers->options.servers_per_service % 2 == 0 ? 1 : 0;
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
    if (error == 0) {
        soak_proxy_refuse(s->proxy, s->version == 0);
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
    for (unsigned i = 0; i < SOAK_SERVICES_MAX; i++) {
        servers->attempts[i] = (bbl_vec)BBL_VEC_INIT(attempt);
    }
    servers->count = 2 * options->service_count * options->servers_per_service;
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
    for (unsigned i = 0; i < SOAK_SERVICES_MAX; i++) {
        bbl_vec_free(&servers->attempts[i]);
    }
    bbl_vec_free(&servers->running_requests);
    free(servers->items);
    free(servers);
}
