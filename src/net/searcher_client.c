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
#define CONFIRM_WAIT_US (30 * BBL_USEC_PER_MS) /* answer after a cancel */
#define STALL_US (25 * BBL_USEC_PER_MS) /* a later tick was itself held up */
#define ARRIVED_AFTER_US (50 * BBL_USEC_PER_MS) /* a request has arrived */
#define DISTRUST_REQUESTS 32 /* kept off the pool after a silence */
#define STATUS_CANCELLED 499
#define URL_MAX 192

/* What is known of one searcher's connections. */
typedef struct {
    uint32_t searcher;
    unsigned distrust; /* next exchanges that take fresh connections */
    bool polling;
    bbl_usec heard; /* last whole response to an exchange */
} contact;

/* One exchange under way. */
typedef struct {
    bbl_searcher_client *client;
    uint64_t exchange;
    uint32_t searcher;
    bblx_address address;
    char id[40];
    bbl_usec deadline;
    bbl_usec confirmed; /* the cancel was answered, 0: not */
    bool absent;        /* by that answer, the searcher does not run it */
    bbl_usec started;
    bbl_usec cancelled; /* when the last cancel was sent, 0: none was */
    void *handle;
} call;

/* A cancel, a poll or a warming request under way. */
typedef struct {
    bbl_searcher_client *client;
    uint64_t exchange;
    uint32_t searcher;
} side_call;

struct bbl_searcher_client {
    bbl_http_client *http;
    bbl_searcher_port port;
    bbl_usec grace;
    bbl_map calls;     /* exchange -> call */
    bbl_map contacts;  /* searcher -> contact */
    bbl_vec confirmed; /* uint64_t exchanges */
    bbl_vec sides;     /* side_call * */
    bbl_usec ticked;
    bbl_searcher_counters counters;
};

static contact *
contact_of(bbl_searcher_client *c, uint32_t searcher)
{
    contact *k = bbl_map_get(&c->contacts, searcher);

    if (k == NULL) {
        k = bbl_calloc(1, sizeof(*k));
        k->searcher = searcher;
        bbl_map_set(&c->contacts, searcher, k);
    }
    return k;
}

static void
put_base(char *url, size_t size, bblx_address a, const char *path)
{
    snprintf(url, size, "http://%u.%u.%u.%u:%u/%s", a.ip >> 24,
             (a.ip >> 16) & 255, (a.ip >> 8) & 255, a.ip & 255, a.port, path);
}

/* ---- exchanges ---- */

static void
distrust(bbl_searcher_client *c, const call *k)
{
    contact_of(c, k->searcher)->distrust = DISTRUST_REQUESTS;
    c->counters.silent_exchanges++;
    bbl_log(BBL_EV_CONNECTION_SILENT, "searcher=%u", k->searcher);
}

static bbl_exchange_outcome
end_of_status(const bbl_http_response *r)
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
end_of(const call *k, const bbl_http_response *r)
{
    switch (r->end) {
    case BBL_HTTP_DONE:
        return end_of_status(r);
    case BBL_HTTP_UNSENT:
        return BBL_EXCHANGE_UNSENT;
    case BBL_HTTP_TIMED_OUT:
        return BBL_EXCHANGE_SILENT;
    case BBL_HTTP_TRUNCATED:
        return BBL_EXCHANGE_TRUNCATED;
    case BBL_HTTP_ABORTED:
        return k->absent      ? BBL_EXCHANGE_LOST
               : k->confirmed ? BBL_EXCHANGE_CANCELLED
                              : BBL_EXCHANGE_FAILED;
    default:
        return BBL_EXCHANGE_FAILED;
    }
}

static void
call_done(void *ctx, const bbl_http_response *r)
{
    call *k = ctx;
    bbl_searcher_client *c = k->client;
    bbl_exchange_result result;

    memset(&result, 0, sizeof(result));
    result.outcome = end_of(k, r);
    result.boot = r->boot;
    result.version = r->index_version;
    result.body = r->body;
    if (r->end == BBL_HTTP_TIMED_OUT || r->end == BBL_HTTP_ABORTED) {
        distrust(c, k);
    }
    if (r->end == BBL_HTTP_DONE) {
        contact_of(c, k->searcher)->heard = bbl_clock_now();
    }
    bbl_map_remove(&c->calls, k->exchange);
    c->port.complete_exchange(c->port.ctx, k->exchange, &result);
    free(k);
}

static void
fail_start(bbl_searcher_client *c, call *k)
{
    /* Ended from the next tick, so that starts never call back. */
    k->confirmed = 1;
    bbl_vec_push(&c->confirmed, &k->exchange);
}

void
bbl_searcher_client_start_exchange(bbl_searcher_client *c, bbl_usec now,
                                   const bbl_exchange *e)
{
    call *k = bbl_calloc(1, sizeof(*k));
    contact *to = contact_of(c, e->searcher);
    bbl_http_request r;
    char path[128];
    char url[URL_MAX];

    k->client = c;
    k->exchange = e->exchange_id;
    k->searcher = e->searcher;
    k->address = e->address;
    k->deadline = e->deadline;
    k->started = now;
    snprintf(k->id, sizeof(k->id), "%x-%llx-%llx-%x", e->query.host,
             (unsigned long long)e->query.incarnation & 0xffffffffull,
             (unsigned long long)e->query.seq, e->sub);
    snprintf(path, sizeof(path),
             "search?id=%s&shard=%u&index=%llu&deadline_us=%llu%s", k->id,
             e->shard, (unsigned long long)e->version,
             (unsigned long long)(e->deadline - now),
             e->repeatable ? "" : "&once=1");
    put_base(url, sizeof(url), e->address, path);
    memset(&r, 0, sizeof(r));
    r.url = url;
    r.post = true;
    r.body = e->text;
    r.timeout = e->deadline - now + c->grace;
    r.response_max = BBL_RESULT_MAX_BYTES;
    r.fresh_connection = to->distrust > 0;
    r.done = call_done;
    r.ctx = k;
    if (to->distrust > 0) {
        to->distrust--;
        c->counters.fresh_connections++;
    }
    c->counters.exchanges++;
    bbl_map_set(&c->calls, k->exchange, k);
    if (bbl_http_request_start(&k->handle, c->http, &r) != 0) {
        fail_start(c, k);
    }
}

/* ---- cancellation ---- */

/*
 * Whether the answer to a cancel shows that the exchange runs no more. That
 * the searcher does not know it proves so only when it must have arrived.
 */
static bool
is_confirmation(const call *k, const bbl_http_response *r)
{
    if (k->confirmed != 0) {
        return false;
    }
    return r->status == 200 ||
           (r->status == 404 && k->cancelled >= k->started + ARRIVED_AFTER_US);
}

static void
end_side(side_call *s)
{
    bbl_vec *sides = &s->client->sides;

    bbl_vec_swap_remove(sides, bbl_vec_find_pointer(sides, s));
    free(s);
}

static void
cancel_done(void *ctx, const bbl_http_response *r)
{
    side_call *s = ctx;
    bbl_searcher_client *c = s->client;
    call *k = bbl_map_get(&c->calls, s->exchange);

    if (k != NULL && r->end == BBL_HTTP_DONE && is_confirmation(k, r)) {
        k->absent = r->status == 404;
        k->confirmed = bbl_clock_now();
        bbl_vec_push(&c->confirmed, &k->exchange);
    }
    end_side(s);
}

static int
start_side(bbl_searcher_client *c, uint64_t exchange, uint32_t searcher,
           bbl_http_request *r)
{
    side_call *s = bbl_calloc(1, sizeof(*s));
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
    bbl_vec_push(&c->sides, &s);
    return 0;
}

void
bbl_searcher_client_cancel_exchange(bbl_searcher_client *c, bbl_usec now,
                                    uint64_t exchange)
{
    call *k = bbl_map_get(&c->calls, exchange);
    bbl_http_request r;
    char path[64];
    char url[URL_MAX];

    if (k == NULL || k->confirmed != 0 || now >= k->deadline) {
        return;
    }
    k->cancelled = now;
    c->counters.cancels++;
    snprintf(path, sizeof(path), "cancel?id=%s", k->id);
    put_base(url, sizeof(url), k->address, path);
    memset(&r, 0, sizeof(r));
    r.url = url;
    r.post = true;
    r.timeout = CANCEL_TIMEOUT_US;
    r.response_max = 4096;
    r.done = cancel_done;
    /* With no word since the start, the pool may be dead as a whole. */
    r.fresh_connection = contact_of(c, k->searcher)->heard < k->started;
    start_side(c, exchange, k->searcher, &r);
}

void
bbl_searcher_client_tick(bbl_searcher_client *c, bbl_usec now)
{
    bool stalled = c->ticked != 0 && now > c->ticked + STALL_US;

    c->ticked = now;
    for (size_t i = c->confirmed.size; i > 0; i--) {
        uint64_t exchange = *BBL_VEC_AT(uint64_t, &c->confirmed, i - 1);
        call *k = bbl_map_get(&c->calls, exchange);
        bbl_exchange_result unsent = {.outcome = BBL_EXCHANGE_UNSENT};

        if (k != NULL && k->handle != NULL && stalled) {
            k->confirmed = now; /* the answer may just be unread */
        }
        if (k != NULL && now < k->confirmed + CONFIRM_WAIT_US) {
            continue;
        }
        bbl_vec_swap_remove(&c->confirmed, i - 1);
        if (k != NULL && k->handle != NULL) {
            /* Cancelled, yet no answer: its connection has gone silent. */
            bbl_http_request_abort(c->http, k->handle);
        }
        else if (k != NULL) {
            bbl_map_remove(&c->calls, exchange);
            free(k);
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
        return bbl_error_set(BBL_EDAMAGED, "bad index in an info page");
    }
    n = json_array_size(shards);
    if (n > 4096 || indexes->size == 8) {
        return bbl_error_set(BBL_EDAMAGED, "too many shards or indexes");
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
            return bbl_error_set(BBL_EDAMAGED, "shard out of range");
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
        error = bbl_error_set(BBL_EDAMAGED, "bad info page");
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
            error = bbl_error_set(BBL_EDAMAGED, "bad boot in an info page");
        }
    }
    if (error != 0) {
        bbl_searcher_info_clear(indexes);
    }
    json_decref(root);
    return error;
}

static void
info_done(void *ctx, const bbl_http_response *r)
{
    side_call *s = ctx;
    bbl_searcher_client *c = s->client;
    bbl_vec indexes = BBL_VEC_INIT(bblx_index);
    bbl_searcher_info info;

    contact_of(c, s->searcher)->polling = false;
    if (r->end == BBL_HTTP_DONE && r->status == 200 &&
        bbl_searcher_info_parse(&info, &indexes, r->body) == 0) {
        c->port.report_info(c->port.ctx, s->searcher, &info);
    }
    else {
        c->port.report_info(c->port.ctx, s->searcher, NULL);
    }
    bbl_searcher_info_clear(&indexes);
    bbl_vec_free(&indexes);
    end_side(s);
}

static int
fetch_info(bbl_searcher_client *c, uint32_t searcher, bblx_address address,
           bool fresh)
{
    bbl_http_request r;
    char url[URL_MAX];

    put_base(url, sizeof(url), address, "info");
    memset(&r, 0, sizeof(r));
    r.url = url;
    r.timeout = INFO_TIMEOUT_US;
    r.response_max = INFO_MAX_BYTES;
    r.fresh_connection = fresh;
    r.done = info_done;
    c->counters.info_requests++;
    return start_side(c, 0, searcher, &r);
}

void
bbl_searcher_client_poll_info(bbl_searcher_client *c, uint32_t searcher,
                              bblx_address address)
{
    contact *k = contact_of(c, searcher);

    if (!k->polling && fetch_info(c, searcher, address, false) == 0) {
        k->polling = true;
    }
}

void
bbl_searcher_client_preconnect(bbl_searcher_client *c, uint32_t searcher,
                               bblx_address address, unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        fetch_info(c, searcher, address, true);
    }
}

const bbl_searcher_counters *
bbl_searcher_client_get_counters(const bbl_searcher_client *c)
{
    return &c->counters;
}

void
bbl_searcher_client_new(bbl_searcher_client **out, bbl_http_client *http,
                        const bbl_searcher_port *port, bbl_usec grace)
{
    bbl_searcher_client *c = bbl_calloc(1, sizeof(*c));

    c->http = http;
    c->port = *port;
    c->grace = grace;
    c->confirmed = (bbl_vec)BBL_VEC_INIT(uint64_t);
    c->sides = (bbl_vec)BBL_VEC_INIT(side_call *);
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
    while ((row = bbl_map_next(&c->calls, &pos)) != NULL) {
        free(row);
    }
    pos = 0;
    while ((row = bbl_map_next(&c->contacts, &pos)) != NULL) {
        free(row);
    }
    for (size_t i = 0; i < c->sides.size; i++) {
        free(*BBL_VEC_AT(side_call *, &c->sides, i));
    }
    bbl_vec_free(&c->sides);
    bbl_map_free(&c->calls);
    bbl_map_free(&c->contacts);
    bbl_vec_free(&c->confirmed);
    free(c);
}
