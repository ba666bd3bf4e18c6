#include "net/searcher_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "bbl/errors.h"
#include "util/alloc.h"
#include "util/clock.h"
#include "util/log.h"

#define INFO_TIMEOUT_US (500 * BBL_USEC_PER_MS)
#define INFO_MAX_BYTES (1u << 20)
#define CANCEL_TIMEOUT_US (200 * BBL_USEC_PER_MS)
/* Maximum time from a confirmed cancel to the response of the exchange. */
#define CANCELLED_RESPONSE_WAIT_US (30 * BBL_USEC_PER_MS)
/* A longer time between two ticks means that this thread was delayed. */
#define THREAD_STALL_US (25 * BBL_USEC_PER_MS)
/* A request is taken to have reached the searcher after this time. */
#define ARRIVAL_TIME_US (50 * BBL_USEC_PER_MS)
/*
 * Kept connections to a searcher are closed after this time without a request.
 * Its owner polls it each 250 ms, so another host owns it by then, and the
 * connections of both count towards the limit of the searcher.
 */
#define UNUSED_CONNECTIONS_US BBL_USEC_PER_SEC
#define STATUS_CANCELLED 499
#define PATH_MAX_BYTES 192
#define URL_MAX_BYTES 256

/* The state of the connections to one searcher. */
typedef struct {
    uint32_t searcher;
    bool poll_running;
    bbl_usec last_response; /* last complete one to an exchange; 0: none */
    bblx_address address;   /* of the last request */
    bbl_usec used_at;       /* last request; 0: none, or closed since */
} searcher_state;

/* An exchange that has not ended. */
typedef struct {
    bbl_searcher_client *client;
    uint64_t exchange; /* its exchange_id */
    uint32_t searcher;
    bblx_address address;
    char request_id[40];
    bbl_usec deadline;
    bbl_usec confirmed_at; /* when the cancel was confirmed; 0: not yet */
    bool not_found;        /* confirmed by a 404: no such request */
    bbl_usec started_at;
    bbl_usec cancelled_at; /* when the last cancel was sent; 0: never */
    void *http_request;    /* NULL if it could not be started */
} open_exchange;

/* A running cancel, poll or preconnect request. */
typedef struct {
    bbl_searcher_client *client;
    uint64_t exchange; /* the cancelled one; 0 for an info request */
    uint32_t searcher;
} aux_request;

struct bbl_searcher_client {
    bbl_http_client *http;
    bbl_searcher_port port;
    bbl_usec response_grace;
    bbl_map open_exchanges; /* exchange -> open_exchange */
    bbl_map searchers;      /* searcher -> searcher_state */
    bbl_vec ending;         /* uint64_t: confirmed cancelled, or not started */
    bbl_vec aux_requests;   /* aux_request * */
    bbl_usec ticked_at;
    bbl_searcher_counters counters;
};

static searcher_state *
get_searcher_state(bbl_searcher_client *c, uint32_t searcher)
{
    searcher_state *state = bbl_map_get(&c->searchers, searcher);

    if (state == NULL) {
        state = bbl_calloc(1, sizeof(*state));
        state->searcher = searcher;
        bbl_map_set(&c->searchers, searcher, state);
    }
    return state;
}

/* Records that a request to a searcher is about to be sent. */
static void
record_use(bbl_searcher_client *c, searcher_state *state, bbl_usec now,
           bblx_address address)
{
    if (state->used_at != 0 && (state->address.ip != address.ip ||
                                state->address.port != address.port)) {
        bbl_http_client_close_idle(c->http, state->address);
    }
    state->address = address;
    state->used_at = now;
}

static void
close_unused_connections(bbl_searcher_client *c, bbl_usec now)
{
    searcher_state *state;
    size_t pos = 0;

    while ((state = bbl_map_next(&c->searchers, &pos)) != NULL) {
        if (state->used_at != 0 &&
            now > state->used_at + UNUSED_CONNECTIONS_US) {
            state->used_at = 0;
            bbl_http_client_close_idle(c->http, state->address);
        }
    }
}

static void
format_url(char *url, size_t size, bblx_address a, const char *path)
{
    snprintf(url, size, "http://%u.%u.%u.%u:%u/%s", a.ip >> 24,
             (a.ip >> 16) & 255, (a.ip >> 8) & 255, a.ip & 255, a.port, path);
}

/* ---- exchanges ---- */

static void
record_silence(bbl_searcher_client *c, const open_exchange *x)
{
    /* The kept connections may be dead as well. To leave them open beside new
     * ones would exceed the searcher's limit of connections. */
    bbl_http_client_close_idle(c->http, x->address);
    c->counters.silent_exchanges++;
    bbl_log(BBL_EV_CONNECTION_SILENT, "searcher=%u", x->searcher);
}

static bbl_exchange_outcome
outcome_of_status(const bbl_http_response *r)
{
    if (r->status == 200) {
        return BBL_EXCHANGE_OK;
    }
    if (r->status == 410) {
        return BBL_EXCHANGE_VERSION_GONE;
    }
    if (r->status == STATUS_CANCELLED) {
        return BBL_EXCHANGE_CANCELLED;
    }
    if (r->status == 504) {
        return BBL_EXCHANGE_DEADLINE_EXCEEDED;
    }
    if (r->status == 503 && strcmp(r->reason, "leaving") == 0) {
        return BBL_EXCHANGE_LEAVING;
    }
    if (r->status == 503 && strcmp(r->reason, "shed") == 0) {
        return BBL_EXCHANGE_REFUSED;
    }
    return BBL_EXCHANGE_FAILED;
}

static bbl_exchange_outcome
outcome_of_response(const open_exchange *x, const bbl_http_response *r)
{
    switch (r->end) {
    case BBL_HTTP_DONE:
        return outcome_of_status(r);
    case BBL_HTTP_UNSENT:
        return BBL_EXCHANGE_UNSENT;
    case BBL_HTTP_TIMED_OUT:
        return BBL_EXCHANGE_TIMED_OUT;
    case BBL_HTTP_TRUNCATED:
        return BBL_EXCHANGE_TRUNCATED;
    case BBL_HTTP_ABORTED:
        return x->not_found      ? BBL_EXCHANGE_RESPONSE_LOST
               : x->confirmed_at ? BBL_EXCHANGE_CANCELLED
                                 : BBL_EXCHANGE_FAILED;
    default:
        return BBL_EXCHANGE_FAILED;
    }
}

static void
on_exchange_response(void *ctx, const bbl_http_response *r)
{
    open_exchange *x = ctx;
    bbl_searcher_client *c = x->client;
    bbl_exchange_result result;

    memset(&result, 0, sizeof(result));
    result.outcome = outcome_of_response(x, r);
    result.boot = r->boot;
    result.version = r->index_version;
    result.backoff = r->retry_after_s * BBL_USEC_PER_SEC;
    result.body = r->body;
    if (r->end == BBL_HTTP_TIMED_OUT || r->end == BBL_HTTP_ABORTED) {
        record_silence(c, x);
    }
    if (r->end == BBL_HTTP_DONE) {
        get_searcher_state(c, x->searcher)->last_response = bbl_clock_now();
    }
    bbl_map_remove(&c->open_exchanges, x->exchange);
    c->port.complete_exchange(c->port.ctx, x->exchange, &result);
    free(x);
}

static void
defer_start_failure(bbl_searcher_client *c, open_exchange *x)
{
    /* The next tick reports it: a start must not call back. */
    x->confirmed_at = 1;
    bbl_vec_push(&c->ending, &x->exchange);
}

void
bbl_searcher_client_start_exchange(bbl_searcher_client *c, bbl_usec now,
                                   const bbl_exchange *e)
{
    open_exchange *x = bbl_calloc(1, sizeof(*x));
    bbl_http_request r;
    char path[PATH_MAX_BYTES];
    char url[URL_MAX_BYTES];

    x->client = c;
    x->exchange = e->exchange_id;
    x->searcher = e->searcher;
    x->address = e->address;
    x->deadline = e->deadline;
    x->started_at = now;
    snprintf(x->request_id, sizeof(x->request_id), "%x-%llx-%llx-%x",
             e->query.host,
             (unsigned long long)e->query.incarnation & 0xffffffffull,
             (unsigned long long)e->query.seq, e->sub_number);
    snprintf(path, sizeof(path),
             "search?id=%s&shard=%u&index=%llu&deadline_us=%llu"
             "&exchange=%llx%s",
             x->request_id, e->shard, (unsigned long long)e->version,
             (unsigned long long)(e->deadline - now),
             (unsigned long long)e->exchange_id,
             e->repeatable ? "" : "&once=1");
    format_url(url, sizeof(url), e->address, path);
    memset(&r, 0, sizeof(r));
    r.url = url;
    r.post = true;
    r.body = e->text;
    r.timeout = e->deadline - now + c->response_grace;
    r.response_max = BBL_RESULT_MAX_BYTES;
    r.exchange = e->exchange_id;
    r.done = on_exchange_response;
    r.ctx = x;
    record_use(c, get_searcher_state(c, e->searcher), now, e->address);
    c->counters.exchanges++;
    bbl_map_set(&c->open_exchanges, x->exchange, x);
    if (bbl_http_request_start(&x->http_request, c->http, &r) != 0) {
        defer_start_failure(c, x);
    }
}

/* ---- cancellation ---- */

/*
 * Returns whether the response to a cancel shows that the searcher no longer
 * runs the exchange. A 404 shows this only if the cancel was sent so late that
 * the request must have arrived before.
 */
static bool
confirms_end(const open_exchange *x, const bbl_http_response *r)
{
    if (x->confirmed_at != 0) {
        return false;
    }
    return r->status == 200 ||
           (r->status == 404 &&
            x->cancelled_at >= x->started_at + ARRIVAL_TIME_US);
}

static void
aux_request_free(aux_request *s)
{
    bbl_vec *requests = &s->client->aux_requests;

    bbl_vec_swap_remove(requests, bbl_vec_find_pointer(requests, s));
    free(s);
}

static void
on_cancel_response(void *ctx, const bbl_http_response *r)
{
    aux_request *s = ctx;
    bbl_searcher_client *c = s->client;
    open_exchange *x = bbl_map_get(&c->open_exchanges, s->exchange);

    if (x != NULL && r->end == BBL_HTTP_DONE && confirms_end(x, r)) {
        x->not_found = r->status == 404;
        x->confirmed_at = bbl_clock_now();
        bbl_vec_push(&c->ending, &x->exchange);
    }
    aux_request_free(s);
}

static int
aux_request_start(bbl_searcher_client *c, uint64_t exchange, uint32_t searcher,
                  bbl_http_request *r)
{
    aux_request *s = bbl_calloc(1, sizeof(*s));
    void *handle;
    int error;

    s->client = c;
    s->exchange = exchange;
    s->searcher = searcher;
    r->ctx = s;
    error = bbl_http_request_start(&handle, c->http, r);
    if (error != 0) {
        free(s);
        return error;
    }
    bbl_vec_push(&c->aux_requests, &s);
    return 0;
}

void
bbl_searcher_client_cancel_exchange(bbl_searcher_client *c, bbl_usec now,
                                    uint64_t exchange)
{
    open_exchange *x = bbl_map_get(&c->open_exchanges, exchange);
    bbl_http_request r;
    char path[64];
    char url[URL_MAX_BYTES];

    if (x == NULL || x->confirmed_at != 0 || now >= x->deadline) {
        return;
    }
    x->cancelled_at = now;
    c->counters.cancels++;
    snprintf(path, sizeof(path), "cancel?id=%s", x->request_id);
    format_url(url, sizeof(url), x->address, path);
    memset(&r, 0, sizeof(r));
    r.url = url;
    r.post = true;
    r.timeout = CANCEL_TIMEOUT_US;
    r.response_max = 4096;
    r.done = on_cancel_response;
    /* If no response has arrived since the start of the exchange, all pooled
     * connections may be dead. The new one is not kept: cancels would fill the
     * pool with connections that no exchange needs. */
    r.fresh_connection =
        get_searcher_state(c, x->searcher)->last_response < x->started_at;
    r.close_connection = r.fresh_connection;
    c->counters.fresh_connections += r.fresh_connection;
    aux_request_start(c, exchange, x->searcher, &r);
}

void
bbl_searcher_client_tick(bbl_searcher_client *c, bbl_usec now)
{
    bool stalled = c->ticked_at != 0 && now > c->ticked_at + THREAD_STALL_US;

    c->ticked_at = now;
    close_unused_connections(c, now);
    for (size_t i = c->ending.size; i > 0; i--) {
        uint64_t exchange = *BBL_VEC_AT(uint64_t, &c->ending, i - 1);
        open_exchange *x = bbl_map_get(&c->open_exchanges, exchange);
        bbl_exchange_result unsent = {.outcome = BBL_EXCHANGE_UNSENT};

        if (x != NULL && x->http_request != NULL && stalled) {
            x->confirmed_at = now; /* the response may be there, but unread */
        }
        if (x != NULL && now < x->confirmed_at + CANCELLED_RESPONSE_WAIT_US) {
            continue;
        }
        bbl_vec_swap_remove(&c->ending, i - 1);
        if (x != NULL && x->http_request != NULL) {
            /* The cancel is confirmed, but the exchange has no response: its
             * connection has gone silent. */
            bbl_http_request_abort(c->http, x->http_request);
        }
        else if (x != NULL) {
            bbl_map_remove(&c->open_exchanges, exchange);
            free(x);
            c->port.complete_exchange(c->port.ctx, exchange, &unsent);
        }
    }
}

/* ---- info page ---- */

void
bbl_searcher_info_clear(bbl_vec *indexes)
{
    for (size_t i = 0; i < indexes->size; i++) {
        free(BBL_VEC_AT(bblx_index, indexes, i)->shards.shards_val);
    }
    indexes->size = 0;
}

static int
parse_index(bbl_vec *indexes, json_t *row)
{
    bblx_index *x;
    json_t *shards;
    json_int_t version;
    int total;
    int first;
    int count;
    size_t n;

    if (json_unpack(row, "{s:I, s:i, s:i, s:i, s:o}", "version", &version,
                    "total", &total, "first", &first, "count", &count,
                    "shards", &shards) != 0 ||
        !json_is_array(shards) || version <= 0 || total <= 0 ||
        total > 65536 || first < 0 || count < 0 || count > total ||
        first > total - count) {
        return bbl_error_set(BBL_EDAMAGED, "invalid index in an info page");
    }
    n = json_array_size(shards);
    if (n > 4096 || indexes->size == 8) {
        return bbl_error_set(BBL_EDAMAGED,
                             "too many shards or indexes in an info page");
    }
    x = bbl_vec_add(indexes);
    x->number = (uint64_t)version;
    x->total = (u_int)total;
    x->first = (u_int)first;
    x->count = (u_int)count;
    x->shards.shards_len = (u_int)n;
    x->shards.shards_val = bbl_calloc(n, sizeof(u_int));
    for (size_t i = 0; i < n; i++) {
        json_int_t shard = json_integer_value(json_array_get(shards, i));

        if (shard < 0 || shard >= total) {
            return bbl_error_set(BBL_EDAMAGED,
                                 "shard number out of range in an info page");
        }
        x->shards.shards_val[i] = (u_int)shard;
    }
    return 0;
}

int
bbl_searcher_info_parse(bbl_searcher_info *info, bbl_vec *indexes,
                        bbl_str body)
{
    json_t *root = json_loadb(body.ptr, body.size, 0, NULL);
    json_t *list = NULL;
    const char *boot = NULL;
    int leaving = 0;
    int error = 0;

    memset(info, 0, sizeof(*info));
    if (root == NULL ||
        json_unpack(root, "{s:s, s:b, s:o}", "boot", &boot, "leaving",
                    &leaving, "indexes", &list) != 0 ||
        !json_is_array(list)) {
        error = bbl_error_set(BBL_EDAMAGED, "invalid info page");
    }
    for (size_t i = 0; error == 0 && i < json_array_size(list); i++) {
        error = parse_index(indexes, json_array_get(list, i));
    }
    if (error == 0) {
        info->boot = strtoull(boot, NULL, 16);
        info->leaving = leaving;
        info->indexes = indexes->ptr;
        info->index_count = indexes->size;
        if (info->boot == 0) {
            error =
                bbl_error_set(BBL_EDAMAGED, "invalid boot id in an info page");
        }
    }
    if (error != 0) {
        bbl_searcher_info_clear(indexes);
    }
    json_decref(root);
    return error;
}

static void
on_info_response(void *ctx, const bbl_http_response *r)
{
    aux_request *s = ctx;
    bbl_searcher_client *c = s->client;
    bbl_vec indexes = BBL_VEC_INIT(bblx_index);
    bbl_searcher_info info;

    get_searcher_state(c, s->searcher)->poll_running = false;
    if (r->end == BBL_HTTP_DONE && r->status == 200 &&
        bbl_searcher_info_parse(&info, &indexes, r->body) == 0) {
        c->port.report_info(c->port.ctx, s->searcher, &info);
    }
    else {
        c->port.report_info(c->port.ctx, s->searcher, NULL);
    }
    bbl_searcher_info_clear(&indexes);
    bbl_vec_free(&indexes);
    aux_request_free(s);
}

static int
request_info(bbl_searcher_client *c, uint32_t searcher, bblx_address address,
             bool fresh)
{
    bbl_http_request r;
    char url[URL_MAX_BYTES];

    format_url(url, sizeof(url), address, "info");
    memset(&r, 0, sizeof(r));
    r.url = url;
    r.timeout = INFO_TIMEOUT_US;
    r.response_max = INFO_MAX_BYTES;
    r.fresh_connection = fresh;
    r.done = on_info_response;
    c->counters.info_requests++;
    return aux_request_start(c, 0, searcher, &r);
}

void
bbl_searcher_client_poll_info(bbl_searcher_client *c, uint32_t searcher,
                              bblx_address address)
{
    searcher_state *state = get_searcher_state(c, searcher);

    record_use(c, state, bbl_clock_now(), address);
    if (!state->poll_running &&
        request_info(c, searcher, address, false) == 0) {
        state->poll_running = true;
    }
}

void
bbl_searcher_client_preconnect(bbl_searcher_client *c, uint32_t searcher,
                               bblx_address address, unsigned count)
{
    record_use(c, get_searcher_state(c, searcher), bbl_clock_now(), address);
    for (unsigned i = 0; i < count; i++) {
        request_info(c, searcher, address, true);
    }
}

const bbl_searcher_counters *
bbl_searcher_client_get_counters(const bbl_searcher_client *c)
{
    return &c->counters;
}

void
bbl_searcher_client_new(bbl_searcher_client **out, bbl_http_client *http,
                        const bbl_searcher_port *port, bbl_usec response_grace)
{
    bbl_searcher_client *c = bbl_calloc(1, sizeof(*c));

    c->http = http;
    c->port = *port;
    c->response_grace = response_grace;
    c->ending = (bbl_vec)BBL_VEC_INIT(uint64_t);
    c->aux_requests = (bbl_vec)BBL_VEC_INIT(aux_request *);
    *out = c;
}

void
bbl_searcher_client_free(bbl_searcher_client *c)
{
    size_t pos = 0;
    void *row;

    if (c == NULL) {
        return;
    }
    while ((row = bbl_map_next(&c->open_exchanges, &pos)) != NULL) {
        free(row);
    }
    pos = 0;
    while ((row = bbl_map_next(&c->searchers, &pos)) != NULL) {
        free(row);
    }
    for (size_t i = 0; i < c->aux_requests.size; i++) {
        free(*BBL_VEC_AT(aux_request *, &c->aux_requests, i));
    }
    bbl_vec_free(&c->aux_requests);
    bbl_map_free(&c->open_exchanges);
    bbl_map_free(&c->searchers);
    bbl_vec_free(&c->ending);
    free(c);
}
