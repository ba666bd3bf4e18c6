#include "forward/forwarder.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "forward/hedge.h"
#include "forward/placement.h"
#include "forward/query.h"
#include "forward/subset.h"
#include "util/alloc.h"

#define STATUS_NOT_FOUND 404
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_TIMEOUT 504

/* The first guess of a route's service time is its target over this. */
#define FIRST_GUESS 6
/* The usual time of an attempt is this quantile of the recent ones. */
#define PACE_QUANTILE 0.6
#define PACE_STEPS 48.0  /* one attempt moves the estimate by that part */
#define USUAL_WEIGHT 256 /* the usual time follows by this part */
/* Service times of silence after which a server looks stalled. */
#define PATIENCE 2
#define PATIENCE_LEAST_US (8 * BBL_USEC_PER_MS)
/* Silence of that length is no pause: the server counts as down. */
#define STALL_DOWN_US (400 * BBL_USEC_PER_MS)
/* The slowest work takes that many service times. */
#define SILENT_TIMES 6
/* A server that refused for load is passed over that long, and longer when
 * no connection to it is left. */
#define FULL_US (10 * BBL_USEC_PER_MS)
#define TURNED_AWAY_US (200 * BBL_USEC_PER_MS)
/* A hedge that found no place is tried again after that time. */
#define RECHECK_US (4 * BBL_USEC_PER_MS)
/* Work goes on that long for a caller that left, or past a deadline. */
#define LEFT_GRACE_US (200 * BBL_USEC_PER_MS)
#define LATE_GRACE_US (100 * BBL_USEC_PER_MS)
/* No attempt starts with less time left. */
#define LEAST_LEFT_US (3 * BBL_USEC_PER_MS)
/* An unsent request waits for its route's target over this. */
#define HOLD_SHARE 5
#define RETRY_AFTER_MS 250 /* when nothing better is known */
#define NO_ROUTING_RETRY_MS                                                   \
    600 /* a host that has started learns the routing                         \
           within about that time */
#define RETRY_AFTER_LEAST_MS 30
#define CONNECTION_SHARE 0.9  /* of a server's limit that all hosts use */
#define DEFAULT_CONNECTIONS 8 /* of all hosts, when the routing names none */
#define SWEEP_US (200 * BBL_USEC_PER_MS)
#define FOREVER UINT64_MAX

struct bbl_forwarder {
    bbl_forwarder_options options;
    bbl_extra_limits extra; /* of this host */
    bbl_rng rng;
    bbl_pools pools;
    bbl_map paces; /* hash of the route name -> bbl_route_pace */
    bbl_route_table *table;
    bbl_routing *next_routing; /* waits for the servers of its shards */
    bbl_usec next_since;
    bbl_usec list_read;
    unsigned entry_hosts;
    bbl_vec queries; /* bbl_query *, by priority, then by arrival */
    bbl_vec orphans; /* bbl_attempt *, of queries that were answered */
    bbl_usec next_sweep;
    bbl_forward_counters counters;
};

const char *
bbl_forward_reason_name(bbl_forward_reason reason)
{
    static const char *const names[BBL_FORWARD_REASONS] = {
        "ok",   "partial", "failed",  "no-routing", "no-route", "unavailable",
        "busy", "broken",  "timeout", "left",       "overload",
    };

    return names[reason];
}

void
bbl_attempt_set_handle(bbl_attempt *a, void *handle)
{
    a->handle = handle;
}

void *
bbl_attempt_get_handle(const bbl_attempt *a)
{
    return a->handle;
}

void *
bbl_attempt_get_ctx(const bbl_attempt *a)
{
    return a->ctx;
}

/* ---- the routing and the servers ---- */

static bbl_route_pace *
pace_of(bbl_forwarder *f, const bbl_route *route)
{
    uint64_t key = bbl_hash(route->name.ptr, route->name.size, 41);
    bbl_route_pace *p = bbl_map_get(&f->paces, key);

    if (p == NULL) {
        p = bbl_calloc(1, sizeof(*p));
        p->service_time = route->target_ms * BBL_USEC_PER_MS / FIRST_GUESS + 1;
        p->usual_time = p->service_time;
        bbl_map_set(&f->paces, key, p);
    }
    return p;
}

static void
table_release(bbl_route_table *t)
{
    if (t == NULL || --t->uses > 0) {
        return;
    }
    for (size_t i = 0; i < t->route_count; i++) {
        bbl_split_free(&t->splits[i]);
    }
    free(t->splits);
    free(t->paces);
    free(t->pools);
    bbl_routing_free(t->routing);
    free(t);
}

static size_t
count_routes(const bbl_routing *r)
{
    size_t n = 0;

    while (bbl_routing_route(r, n) != NULL) {
        n++;
    }
    return n;
}

static size_t
count_services(const bbl_routing *r)
{
    size_t n = 0;

    while (bbl_routing_service(r, n) != NULL) {
        n++;
    }
    return n;
}

static bbl_route_table *
table_new(bbl_forwarder *f, bbl_routing *routing)
{
    bbl_route_table *t = bbl_calloc(1, sizeof(*t));
    size_t services = count_services(routing);

    t->routing = routing;
    t->uses = 1;
    t->route_count = count_routes(routing);
    t->pools = bbl_calloc(services, sizeof(bbl_pool *));
    t->splits = bbl_calloc(t->route_count, sizeof(bbl_split));
    t->paces = bbl_calloc(t->route_count, sizeof(bbl_route_pace *));
    for (size_t i = 0; i < services; i++) {
        const bbl_service *s = bbl_routing_service(routing, i);

        t->pools[i] = bbl_pools_get(&f->pools, s->name);
        t->pools[i]->connections = s->connections;
    }
    t->most_urgent = UINT32_MAX;
    for (size_t i = 0; i < t->route_count; i++) {
        const bbl_route *r = bbl_routing_route(routing, i);

        t->most_urgent =
            r->priority < t->most_urgent ? r->priority : t->most_urgent;
        bbl_split_init(&t->splits[i], r, bbl_rng_next(&f->rng));
        t->paces[i] = pace_of(f, r);
        for (size_t k = 0; k < r->target_count; k++) {
            t->pools[r->targets[k].service]->routed = true;
        }
    }
    return t;
}

static void
clear_routed(bbl_forwarder *f)
{
    bbl_pool *pool;
    size_t pos = 0;

    while ((pool = bbl_map_next(&f->pools.pools, &pos)) != NULL) {
        pool->routed = false;
    }
}

void
bbl_forward_update_free(bbl_forward_update *u)
{
    if (u == NULL) {
        return;
    }
    bbl_routing_free(u->routing);
    for (size_t i = 0; i < u->backend_count; i++) {
        BBL_RELEASE(bblx_backend, &u->backends[i]);
    }
    free(u->backends);
    free(u->cold_until);
    free(u->evacuated);
    free(u);
}

/* Whether each shard of a gather has a server that may get work. */
static bool
is_servable(bbl_forwarder *f, bbl_usec now, const bbl_routing *routing,
            const bbl_route *route)
{
    for (size_t i = 0; i < route->target_count; i++) {
        const bbl_service *s =
            bbl_routing_service(routing, route->targets[i].service);
        const bbl_vec *list = &bbl_pools_get(&f->pools, s->name)->backends;
        bool usable = false;

        for (size_t k = 0; k < list->size && !usable; k++) {
            usable = bbl_backend_get_state(*BBL_VEC_AT(bbl_backend *, list, k),
                                           now) == BBL_BACKEND_USABLE;
        }
        if (!usable) {
            return false;
        }
    }
    return true;
}

/*
 * Whether a new routing should wait: it names shards that cannot be served
 * yet, on a route that the present one serves.
 */
static bool
should_hold(bbl_forwarder *f, bbl_usec now, const bbl_routing *routing)
{
    const bbl_route *route;

    for (size_t i = 0; (route = bbl_routing_route(routing, i)) != NULL; i++) {
        const bbl_route *old =
            route->kind == BBL_ROUTE_GATHER
                ? bbl_routing_match(f->table->routing, route->hostname,
                                    route->path_prefix)
                : NULL;

        if (old != NULL && old->kind == BBL_ROUTE_GATHER &&
            !is_servable(f, now, routing, route) &&
            is_servable(f, now, f->table->routing, old)) {
            return true;
        }
    }
    return false;
}

/* Puts the waiting routing into use, unless it should wait longer. */
static void
adopt_routing(bbl_forwarder *f, bbl_usec now)
{
    bbl_usec held = now - f->next_since;

    if (f->next_routing == NULL ||
        (f->table != NULL && held < f->options.routing_hold &&
         should_hold(f, now, f->next_routing))) {
        return;
    }
    table_release(f->table);
    clear_routed(f);
    f->table = table_new(f, f->next_routing);
    f->next_routing = NULL;
    f->options.port.adopted(f->options.port.ctx,
                            bbl_routing_version(f->table->routing), held);
}

/* Tells the limits this host's part of what the servers can do. */
static void
share_slots(bbl_forwarder *f)
{
    bbl_pool *pool;
    size_t pos = 0;

    while ((pool = bbl_map_next(&f->pools.pools, &pos)) != NULL) {
        double slots = 0;

        for (size_t i = 0; i < pool->backends.size; i++) {
            slots +=
                (*BBL_VEC_AT(bbl_backend *, &pool->backends, i))->listed.slots;
        }
        pool->limit.share = slots * BBL_USEC_PER_SEC / f->entry_hosts;
    }
}

void
bbl_forwarder_update(bbl_forwarder *f, bbl_usec now, bbl_forward_update *u)
{
    f->list_read = u->list_read;
    f->entry_hosts = u->entry_hosts > 0 ? u->entry_hosts : 1;
    f->extra = f->options.extra;
    f->extra.constant /= f->entry_hosts;
    if (u->routing != NULL) {
        /* A newer version does not wait longer than the first one did. */
        f->next_since = f->next_routing != NULL ? f->next_since : now;
        bbl_routing_free(f->next_routing);
        f->next_routing = u->routing;
        u->routing = NULL;
    }
    bbl_pools_update(&f->pools, now, u->backends, u->cold_until,
                     u->backend_count, u->evacuated, u->evacuated_count);
    share_slots(f);
    u->backend_count = 0;
    bbl_pools_confirm(&f->pools, now, f->list_read, f->options.list_lag);
    adopt_routing(f, now);
    bbl_forward_update_free(u);
}

unsigned
bbl_forwarder_connections(bool *keep, bbl_forwarder *f, bbl_usec now,
                          const bbl_backend *b)
{
    const bblx_label *service = &b->listed.service;
    bbl_pool *pool =
        bbl_pools_get(&f->pools, (bbl_str){service->bblx_label_val,
                                           service->bblx_label_len});
    uint32_t all =
        pool->connections > 0 ? pool->connections : DEFAULT_CONNECTIONS;
    bbl_subset_input in = {f->options.seed,
                           CONNECTION_SHARE * all / f->entry_hosts};

    *keep = false;
    if (b->listed.leaving || b->listed.gone) {
        return 0;
    }
    for (size_t i = 0; i < pool->backends.size; i++) {
        if (*BBL_VEC_AT(bbl_backend *, &pool->backends, i) == b) {
            return bbl_subset_connections(keep, &in, pool->backends.ptr,
                                          pool->backends.size, i, now);
        }
    }
    return 0;
}

/* ---- attempts ---- */

static bbl_usec
patience(const bbl_route_pace *pace)
{
    bbl_usec p = PATIENCE * pace->service_time;

    return p < PATIENCE_LEAST_US ? PATIENCE_LEAST_US : p;
}

/*
 * Follows the time that most attempts take. A mean would follow the few that
 * meet a pause or a slow server, and hedges would wait for those.
 */
static void
learn_pace(bbl_route_pace *p, bbl_usec took, bool congested)
{
    double step = (double)p->service_time / PACE_STEPS;

    if (!p->measured) {
        p->measured = true;
        p->service_time = took + 1;
        p->usual_time = took + 1;
        return;
    }
    if (took > p->service_time) {
        p->service_time += (bbl_usec)(step * PACE_QUANTILE) + 1;
    }
    else {
        p->service_time -= (bbl_usec)(step * (1 - PACE_QUANTILE));
    }
    if (!congested) {
        p->usual_time =
            (p->usual_time * (USUAL_WEIGHT - 1) + took) / USUAL_WEIGHT + 1;
    }
}

static void
set_changed(bbl_forwarder *f, bbl_usec now, bbl_backend *b,
            bbl_backend_state before)
{
    if (bbl_backend_get_state(b, now) != before) {
        f->options.port.server_changed(f->options.port.ctx, b, before);
    }
}

static void
set_silent(bbl_forwarder *f, bbl_usec now, bbl_backend *b)
{
    bbl_backend_state before = bbl_backend_get_state(b, now);

    b->down = true;
    b->silent = true;
    set_changed(f, now, b, before);
}

static bbl_backend *
choose(bbl_forwarder *f, bbl_usec now, const bbl_query *q, const bbl_shard *s,
       bool second, size_t *usable)
{
    bbl_placement_input in = {q->pace->service_time, patience(q->pace),
                              s->tried, s->sends, second};

    return bbl_placement_choose(
        &in, s->pool->backends.ptr, s->pool->backends.size, now,
        f->options.port.has_room, f->options.port.ctx, &f->rng, usable);
}

/* Sends an attempt; false when no connection is free. */
static bool
send_attempt(bbl_forwarder *f, bbl_usec now, bbl_query *q, bbl_shard *s,
             bbl_backend *b, bool hedge)
{
    bbl_attempt *a = bbl_calloc(1, sizeof(*a));
    bbl_attempt_request r = {q->request.call,
                             (uint32_t)((q->deadline - now) / BBL_USEC_PER_MS),
                             q->route->idempotent};

    a->query = q;
    a->shard = s;
    a->backend = b;
    a->pace = q->pace;
    a->limit = q->limit;
    a->work = (double)q->pace->usual_time;
    a->part = 1.0 / q->shard_count;
    a->ctx = f->options.port.ctx;
    a->sent = now;
    a->hedge = hedge;
    if (f->options.port.send(f->options.port.ctx, a, b, &r) != 0) {
        free(a);
        return false;
    }
    bbl_attempt_link(a);
    bbl_vec_push(&q->attempts, &a);
    if (s->sends == 0) {
        s->sent = now;
    }
    else {
        bbl_extra_budget_spend(&s->pool->budget, &f->extra, now);
    }
    s->tried[s->sends++] = b;
    s->runs++;
    s->flying++;
    s->state = BBL_SHARD_FLYING;
    q->offered = true;
    q->record.sent++;
    f->counters.attempts++;
    return true;
}

/* Whether another attempt at a shard is allowed at all. */
static bool
may_send(bbl_forwarder *f, bbl_usec now, const bbl_query *q, bbl_shard *s)
{
    if (s->sends >= BBL_ATTEMPTS_MAX || s->runs >= q->route->attempts ||
        q->deadline < now + LEAST_LEFT_US) {
        return false;
    }
    if (s->sends > 0 &&
        bbl_extra_budget_left(&s->pool->budget, &f->extra, now) <= 0) {
        f->counters.no_budget++;
        return false;
    }
    return true;
}

/* Tells of a second attempt. */
static void
tell_second(bbl_forwarder *f, bbl_usec now, const bbl_query *q,
            const bbl_shard *s, const bbl_backend *b, bool hedge, bool stalled)
{
    bbl_forward_second r;

    memset(&r, 0, sizeof(r));
    r.request_id = q->request.request_id;
    r.service = bbl_buf_str(&s->pool->name);
    r.server =
        (bbl_str){b->listed.id.bblx_label_val, b->listed.id.bblx_label_len};
    r.hedge = hedge;
    r.stalled = stalled;
    r.waited = now - s->sent;
    r.usual = q->pace->service_time;
    r.budget_left = bbl_extra_budget_left((bbl_extra_budget *)&s->pool->budget,
                                          &f->extra, now);
    r.detail = s->detail != NULL ? s->detail : "";
    f->options.port.second(f->options.port.ctx, &r);
}

/* ---- answers ---- */

static void
remove_query(bbl_forwarder *f, bbl_query *q)
{
    for (size_t i = 0; i < f->queries.size; i++) {
        if (*BBL_VEC_AT(bbl_query *, &f->queries, i) == q) {
            bbl_vec_remove(&f->queries, i);
            return;
        }
    }
}

/* Lets the attempts of a query run on for nobody, until `drop_at`. */
static void
orphan_attempts(bbl_forwarder *f, bbl_query *q, bbl_usec drop_at)
{
    for (size_t i = 0; i < q->attempts.size; i++) {
        bbl_attempt *a = *BBL_VEC_AT(bbl_attempt *, &q->attempts, i);

        a->query = NULL;
        a->shard = NULL;
        a->drop_at = drop_at;
        bbl_vec_push(&f->orphans, &a);
    }
    q->attempts.size = 0;
}

static bool
has_usable(const bbl_shard *s, bbl_usec now)
{
    const bbl_vec *list = &s->pool->backends;

    for (size_t k = 0; k < list->size; k++) {
        if (bbl_backend_get_state(*BBL_VEC_AT(bbl_backend *, list, k), now) ==
            BBL_BACKEND_USABLE) {
            return true;
        }
    }
    return false;
}

/* A shard without a usable server, or any where all have one. */
static bool
is_culprit(const bbl_query *q, const bbl_shard *s, bbl_usec now)
{
    if (!has_usable(s, now)) {
        return true;
    }
    for (unsigned i = 0; i < q->shard_count; i++) {
        if (q->shards[i].state != BBL_SHARD_DONE &&
            !has_usable(&q->shards[i], now)) {
            return false;
        }
    }
    return true;
}

/* Names the shard that decided against a query. */
static void
blame(bbl_usec now, bbl_query *q)
{
    for (unsigned i = 0; i < q->shard_count; i++) {
        const bbl_shard *s = &q->shards[i];
        bbl_forward_record *r = &q->record;

        if (s->state == BBL_SHARD_DONE || !(is_culprit(q, s, now))) {
            continue;
        }
        r->service = bbl_buf_str(&s->pool->name);
        r->servers = (unsigned)s->pool->backends.size;
        r->detail = s->detail;
        for (size_t k = 0; k < s->pool->backends.size; k++) {
            bbl_backend_state state = bbl_backend_get_state(
                *BBL_VEC_AT(bbl_backend *, &s->pool->backends, k), now);

            r->usable += state == BBL_BACKEND_USABLE;
            if (state != BBL_BACKEND_USABLE &&
                r->server == BBL_BACKEND_USABLE) {
                r->server = state;
            }
        }
        return;
    }
}

static void
finish(bbl_forwarder *f, bbl_usec now, bbl_query *q, bbl_forward_reason reason,
       const bbl_forward_answer *answer)
{
    bbl_usec drop_at = reason == BBL_FORWARD_LEFT
                           ? now + LEFT_GRACE_US
                           : q->deadline + LATE_GRACE_US;
    bbl_forward_record *r = &q->record;

    if (reason != BBL_FORWARD_OK) {
        blame(now, q);
    }
    r->reason = reason;
    r->status = answer != NULL ? answer->status : 0;
    r->elapsed = now - q->request.arrived;
    r->answered = q->done;
    r->shards = q->shard_count;
    r->list_age = f->list_read != 0 ? now - f->list_read : FOREVER;
    f->counters.outcomes[reason]++;
    if (reason == BBL_FORWARD_OK || reason == BBL_FORWARD_PARTIAL) {
        bbl_histogram_add(&f->counters.latency, (uint32_t)r->elapsed);
    }
    f->options.port.record(f->options.port.ctx, r);
    if (answer != NULL) {
        f->options.port.answer(f->options.port.ctx, q->request.call, answer);
    }
    /* What may not be repeated is left to end when its caller has gone. */
    if (reason == BBL_FORWARD_LEFT && !q->route->idempotent) {
        drop_at = q->deadline + LATE_GRACE_US;
    }
    orphan_attempts(f, q, drop_at);

    remove_query(f, q);
    table_release(q->table);
    bbl_query_free(q);
}

/* Spreads the returns of callers that were refused together. */
static uint32_t
retry_after(bbl_forwarder *f, bbl_usec now, const bbl_query *q)
{
    uint32_t ms = RETRY_AFTER_MS;
    bbl_usec wait;

    if (q->route->kind != BBL_ROUTE_GATHER && has_usable(&q->shards[0], now)) {
        /* Servers work, but have no room: one is free after a request. */
        ms = (uint32_t)(q->pace->service_time / BBL_USEC_PER_MS);
    }
    wait = bbl_load_limit_wait(q->limit) / BBL_USEC_PER_MS;
    ms = wait > ms ? (uint32_t)wait : ms;
    ms = ms < RETRY_AFTER_LEAST_MS ? RETRY_AFTER_LEAST_MS : ms;
    return ms + (uint32_t)bbl_rng_below(&f->rng, ms);
}

/* Answers with a status of the tier's own. */
static void
finish_without(bbl_forwarder *f, bbl_usec now, bbl_query *q,
               bbl_forward_reason reason, unsigned status)
{
    bbl_buf fields = BBL_BUF_INIT;
    bbl_forward_answer a;

    memset(&a, 0, sizeof(a));
    a.status = status;
    if (status == STATUS_UNAVAILABLE) {
        q->record.retry_after_ms = retry_after(f, now, q);
        f->options.dialect->put_retry_after(&fields, q->record.retry_after_ms);
    }
    a.fields = bbl_buf_str(&fields);
    a.body = (bbl_str){bbl_forward_reason_name(reason),
                       strlen(bbl_forward_reason_name(reason))};
    finish(f, now, q, reason, &a);
    bbl_buf_free(&fields);
}

static void
finish_merged(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    bbl_buf fields = BBL_BUF_INIT;
    bbl_forward_answer a;

    memset(&a, 0, sizeof(a));
    a.status = 200;
    bbl_query_put_fields(q, f->options.dialect, &fields);
    a.fields = bbl_buf_str(&fields);
    a.body = bbl_top_records_get(&q->top);
    finish(f, now, q,
           q->done == q->shard_count ? BBL_FORWARD_OK : BBL_FORWARD_PARTIAL,
           &a);
    bbl_buf_free(&fields);
}

/* Whether a server may have worked, or may yet, on some part of a query. */
static bool
may_have_run(const bbl_query *q)
{
    for (unsigned i = 0; i < q->shard_count; i++) {
        if (q->shards[i].runs > 0) {
            return true;
        }
    }
    return false;
}

/* Gives up: nothing more can help. */
static void
finish_failed(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    if (!may_have_run(q)) {
        finish_without(f, now, q,
                       q->offered ? BBL_FORWARD_BUSY : BBL_FORWARD_UNAVAILABLE,
                       STATUS_UNAVAILABLE);
    }
    else {
        finish_without(f, now, q, BBL_FORWARD_BROKEN, STATUS_BAD_GATEWAY);
    }
}

/*
 * Answers a gather when it is complete, cannot succeed any more, or has met
 * its target with enough shards. Returns whether it was answered.
 */
static bool
settle(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    unsigned open = q->shard_count - q->done - q->lost;

    if (q->route->kind != BBL_ROUTE_GATHER) {
        if (q->lost > 0) {
            finish_failed(f, now, q);
            return true;
        }
        return false;
    }
    if (q->done >= q->needed && q->done > 0 &&
        (open == 0 || now >= q->target)) {
        finish_merged(f, now, q);
        return true;
    }
    if (q->done + open < q->needed || open == 0) {
        finish_failed(f, now, q);
        return true;
    }
    return false;
}

/* ---- shards ---- */

/* Sends to a shard that wants an attempt, if that can be done now. */
static void
serve_shard(bbl_forwarder *f, bbl_usec now, bbl_query *q, bbl_shard *s)
{
    size_t usable;
    bbl_backend *b;

    if (s->state != BBL_SHARD_OPEN) {
        return;
    }
    if (!may_send(f, now, q, s)) {
        s->state = BBL_SHARD_LOST;
        q->lost++;
        return;
    }
    b = choose(f, now, q, s, false, &usable);
    if (b != NULL && send_attempt(f, now, q, s, b, false)) {
        if (s->sends > 1) {
            q->record.retries++;
            f->counters.retries++;
            tell_second(f, now, q, s, b, false, false);
        }
        return;
    }
    if (usable == 0 && s->sends > s->runs && s->tried[0] != NULL) {
        /* One that refused it unrun may be asked again in a moment. */
        memset(s->tried, 0, sizeof(s->tried));
        return;
    }
    if (usable == 0) {
        s->state = BBL_SHARD_LOST;
        q->lost++;
    }
}

/* Hedges the attempts that take long; returns when to look again. */
static bbl_usec
hedge_shards(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    bbl_usec next = FOREVER;

    for (unsigned i = 0; i < q->shard_count; i++) {
        bbl_shard *s = &q->shards[i];
        bbl_hedge_input in;
        bbl_usec wait;
        size_t usable;
        bbl_backend *b;

        if (s->state != BBL_SHARD_FLYING || s->flying > 1 ||
            s->runs >= q->route->attempts || s->pool->backends.size < 2) {
            continue;
        }
        in.service_time = q->pace->service_time;
        in.waited = now - s->sent;
        in.target_left = q->target > now ? q->target - now : 0;
        in.budget_left =
            bbl_extra_budget_left(&s->pool->budget, &f->extra, now);
        in.stalled = false;
        for (size_t k = 0; k < s->pool->backends.size; k++) {
            const bbl_backend *t =
                *BBL_VEC_AT(bbl_backend *, &s->pool->backends, k);

            in.stalled =
                in.stalled || (t == s->tried[s->sends - 1] &&
                               bbl_backend_stalls(t, now, patience(q->pace)));
        }
        wait = bbl_hedge_wait(&in);
        if (wait == 0 && may_send(f, now, q, s)) {
            b = choose(f, now, q, s, true, &usable);
            if (b != NULL && send_attempt(f, now, q, s, b, true)) {
                q->record.hedges++;
                f->counters.hedges++;
                tell_second(f, now, q, s, b, true, in.stalled);
                continue;
            }
            wait = RECHECK_US;
        }
        wait = wait < RECHECK_US ? RECHECK_US : wait;
        if (wait != FOREVER && now + wait < next) {
            next = now + wait;
        }
    }
    return next;
}

/* Does what is due for one query; false when it was answered. */
static bool
tend(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    bool waiting = false;
    bbl_usec hold = q->request.arrived +
                    q->route->target_ms * BBL_USEC_PER_MS / HOLD_SHARE;

    for (unsigned i = 0; i < q->shard_count; i++) {
        serve_shard(f, now, q, &q->shards[i]);
        waiting = waiting || q->shards[i].state == BBL_SHARD_OPEN;
    }
    if (settle(f, now, q)) {
        return false;
    }
    if (now >= q->deadline) {
        if (q->route->kind == BBL_ROUTE_GATHER && q->done >= q->needed &&
            q->done > 0) {
            finish_merged(f, now, q);
        }
        else {
            finish_without(f, now, q, BBL_FORWARD_TIMEOUT, STATUS_TIMEOUT);
        }
        return false;
    }
    if (waiting && !may_have_run(q) && now >= hold) {
        finish_without(f, now, q, BBL_FORWARD_BUSY, STATUS_UNAVAILABLE);
        return false;
    }
    q->next_due = q->deadline;
    if (q->target > now && q->target < q->next_due) {
        q->next_due = q->target;
    }
    if (waiting) {
        bbl_usec due = now + RECHECK_US;

        if (!may_have_run(q) && hold < due) {
            due = hold;
        }

        q->next_due = due < q->next_due ? due : q->next_due;
    }
    /* While queues grow a hedge would only lengthen them. */
    if (q->route->idempotent && !q->limit->congested) {
        bbl_usec due = hedge_shards(f, now, q);

        q->next_due = due < q->next_due ? due : q->next_due;
    }
    return true;
}

/* ---- requests ---- */

static void
answer_at_once(bbl_forwarder *f, bbl_usec now,
               const bbl_forward_request *request, bbl_forward_reason reason,
               unsigned status)
{
    bbl_buf fields = BBL_BUF_INIT;
    bbl_forward_answer a;
    bbl_forward_record r;

    memset(&a, 0, sizeof(a));
    memset(&r, 0, sizeof(r));
    r.request_id = request->request_id;
    r.reason = reason;
    r.status = status;
    r.routing_version = bbl_forwarder_version(f);
    r.list_age = f->list_read != 0 ? now - f->list_read : FOREVER;
    r.elapsed = now - request->arrived;
    a.status = status;
    if (status == STATUS_UNAVAILABLE) {
        r.retry_after_ms =
            NO_ROUTING_RETRY_MS +
            (uint32_t)bbl_rng_below(&f->rng, NO_ROUTING_RETRY_MS / 2);
        f->options.dialect->put_retry_after(&fields, r.retry_after_ms);
    }
    a.fields = bbl_buf_str(&fields);
    a.body = (bbl_str){bbl_forward_reason_name(reason),
                       strlen(bbl_forward_reason_name(reason))};
    f->counters.outcomes[reason]++;
    f->options.port.record(f->options.port.ctx, &r);
    f->options.port.answer(f->options.port.ctx, request->call, &a);
    bbl_buf_free(&fields);
}

static void
set_times(bbl_forwarder *f, bbl_query *q)
{
    const bbl_forward_request *r = &q->request;
    bbl_usec limit = q->route->timeout_ms * BBL_USEC_PER_MS;
    bbl_usec target = q->route->target_ms * BBL_USEC_PER_MS;
    /* A new connection costs its caller one exchange more. */
    bbl_usec travel = f->options.caller_distance * (r->first ? 4 : 2) +
                      f->options.answer_guard;

    if (r->has_time_left && r->time_left_ms * BBL_USEC_PER_MS < limit) {
        limit = r->time_left_ms * BBL_USEC_PER_MS;
    }
    q->deadline = r->arrived + limit;
    q->target = r->arrived + (target > travel ? target - travel : target / 2);
}

static void
add_shards(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    const bbl_route *route = q->route;
    size_t index = bbl_routing_index(q->table->routing, route);

    q->pace = q->table->paces[index];
    q->shard_count = 1;
    q->needed = 1;
    if (route->kind == BBL_ROUTE_GATHER) {
        double needed =
            ceil(route->least_share * (double)route->target_count - 1e-9);

        q->shard_count = (unsigned)route->target_count;
        q->needed = needed < 1 ? 1 : (unsigned)needed;
    }
    q->shards = bbl_calloc(q->shard_count, sizeof(bbl_shard));
    for (unsigned i = 0; i < q->shard_count; i++) {
        size_t target = route->kind == BBL_ROUTE_SPLIT
                            ? bbl_split_next(&q->table->splits[index], route)
                            : i;

        q->shards[i].pool = q->table->pools[route->targets[target].service];
        bbl_extra_budget_first(&q->shards[i].pool->budget, &f->extra, now);
    }
    q->limit = &q->shards[0].pool->limit;
}

/* Returns how many shards have a server that may get work. */
static unsigned
count_servable(const bbl_query *q, bbl_usec now)
{
    unsigned n = 0;

    for (unsigned i = 0; i < q->shard_count; i++) {
        n += has_usable(&q->shards[i], now);
    }
    return n;
}

static void
insert_query(bbl_forwarder *f, bbl_query *q)
{
    size_t at = f->queries.size;

    bbl_vec_push(&f->queries, &q);
    while (at > 0 &&
           (*BBL_VEC_AT(bbl_query *, &f->queries, at - 1))->route->priority >
               q->route->priority) {
        *BBL_VEC_AT(bbl_query *, &f->queries, at) =
            *BBL_VEC_AT(bbl_query *, &f->queries, at - 1);
        at--;
    }
    *BBL_VEC_AT(bbl_query *, &f->queries, at) = q;
}

void
bbl_forwarder_take(bbl_forwarder *f, bbl_usec now,
                   const bbl_forward_request *request)
{
    const bbl_route *route;
    bbl_query *q;

    f->counters.requests++;
    if (f->table == NULL) {
        answer_at_once(f, now, request, BBL_FORWARD_NO_ROUTING,
                       STATUS_UNAVAILABLE);
        return;
    }
    route =
        bbl_routing_match(f->table->routing, request->hostname, request->path);
    if (route == NULL) {
        answer_at_once(f, now, request, BBL_FORWARD_NO_ROUTE,
                       STATUS_NOT_FOUND);
        return;
    }
    q = bbl_calloc(1, sizeof(*q));
    q->request = *request;
    q->table = f->table;
    q->table->uses++;
    q->route = route;
    q->attempts = (bbl_vec)BBL_VEC_INIT(bbl_attempt *);
    q->signatures = (bbl_vec){NULL, 0, 0, 2 * sizeof(size_t)};
    q->record.request_id = request->request_id;
    q->record.route = route;
    q->record.routing_version = bbl_routing_version(f->table->routing);
    bbl_top_records_init(&q->top, route->top);
    set_times(f, q);
    add_shards(f, now, q);
    insert_query(f, q);
    if (count_servable(q, now) < q->needed) {
        finish_without(f, now, q, BBL_FORWARD_UNAVAILABLE, STATUS_UNAVAILABLE);
        return;
    }
    if (!bbl_load_limit_admit(q->limit, now, q->pace->usual_time,
                              route->priority <= q->table->most_urgent)) {
        finish_without(f, now, q, BBL_FORWARD_OVERLOAD, STATUS_UNAVAILABLE);
        return;
    }

    tend(f, now, q);
}

void
bbl_forwarder_left(bbl_forwarder *f, bbl_usec now, void *call)
{
    for (size_t i = 0; i < f->queries.size; i++) {
        bbl_query *q = *BBL_VEC_AT(bbl_query *, &f->queries, i);

        if (q->request.call == call) {
            finish(f, now, q, BBL_FORWARD_LEFT, NULL);
            return;
        }
    }
}

/* ---- the ends of attempts ---- */

/* What an ended attempt means for its server and its shard. */
typedef enum {
    MEANS_PART,    /* a usable response */
    MEANS_NOT_RUN, /* another server may be asked */
    MEANS_FAILURE, /* it ran, or may have, and failed */
    MEANS_FINAL    /* a response to pass on as it is */
} meaning;

static meaning
interpret(const bbl_forwarder *f, const bbl_attempt_result *r,
          bbl_backend_head *head)
{
    memset(head, 0, sizeof(*head));
    if (r->end == BBL_ATTEMPT_UNSENT || r->end == BBL_ATTEMPT_TURNED_AWAY) {
        return MEANS_NOT_RUN;
    }
    if (r->end == BBL_ATTEMPT_BROKEN) {
        return MEANS_FAILURE;
    }
    f->options.dialect->read_backend(head, r->status, r->headers,
                                     r->header_count);
    if (head->not_run) {
        return MEANS_NOT_RUN;
    }
    if (r->status >= 500 || head->encoded) {
        return MEANS_FAILURE;
    }
    if (r->status >= 200 && r->status < 300) {
        return head->signature.size > 0 ? MEANS_PART : MEANS_FAILURE;
    }
    return MEANS_FINAL;
}

/* Brings what is known of the server up to date. */
static void
rate_server(bbl_forwarder *f, bbl_usec now, bbl_attempt *a,
            const bbl_attempt_result *r, const bbl_backend_head *head,
            meaning m)
{
    bbl_backend *b = a->backend;
    bbl_backend_state before = bbl_backend_get_state(b, now);
    bbl_usec took = now - a->sent;

    if (r->end == BBL_ATTEMPT_RESPONSE) {
        b->answered = now;
    }
    if (m == MEANS_PART) {
        bbl_backend_rate(b, now, (double)took / (double)a->pace->service_time,
                         false);
        if (!a->hedge) {
            bbl_load_limit_sample(
                a->limit, now,
                a->pace->measured ? (double)took / (double)a->pace->usual_time
                                  : 1,
                a->work, a->part);
        }
        learn_pace(a->pace, took, a->limit->congested);
    }
    else if (head->other_server) {
        b->replaced = true;
        b->replaced_at = now;
    }
    else if (r->end == BBL_ATTEMPT_UNSENT) {
        b->down = true;
        b->silent = false;
    }
    else if (m != MEANS_FINAL && r->end != BBL_ATTEMPT_TURNED_AWAY) {
        bbl_backend_rate(b, now, 0, true);
    }
    if (m == MEANS_NOT_RUN && r->end != BBL_ATTEMPT_UNSENT) {
        f->counters.shed++;
        b->full_until =
            now +
            (r->end == BBL_ATTEMPT_TURNED_AWAY ? TURNED_AWAY_US : FULL_US);
    }
    set_changed(f, now, b, before);
}

static void
forget_attempt(bbl_vec *list, const bbl_attempt *a)
{
    for (size_t i = 0; i < list->size; i++) {
        if (*BBL_VEC_AT(bbl_attempt *, list, i) == a) {
            bbl_vec_swap_remove(list, i);
            return;
        }
    }
}

static const char *
describe_end(const bbl_attempt_result *r, const bbl_backend_head *head)
{
    if (r->end != BBL_ATTEMPT_RESPONSE) {
        return r->reason;
    }
    if (head->other_server) {
        return "another server has the address";
    }
    if (head->not_run) {
        return "the server refused it";
    }
    return head->encoded ? "the response is encoded"
                         : "the server answered with a failure";
}

/* Passes a server's own response on. */
static void
relay(bbl_forwarder *f, bbl_usec now, bbl_query *q,
      const bbl_attempt_result *r, bbl_forward_reason reason)
{
    bbl_forward_answer a;

    memset(&a, 0, sizeof(a));
    a.status = r->status;
    a.body = r->body;
    a.relay = r;
    finish(f, now, q, reason, &a);
}

/* A usable response has come. */
static void
take_part(bbl_forwarder *f, bbl_usec now, bbl_query *q, bbl_attempt *a,
          const bbl_attempt_result *r, const bbl_backend_head *head)
{
    bbl_shard *s = a->shard;

    if (s->state == BBL_SHARD_DONE) {
        return;
    }
    if (s->state == BBL_SHARD_LOST) {
        q->lost--;
    }
    s->state = BBL_SHARD_DONE;
    q->done++;
    f->counters.hedge_wins += a->hedge;
    if (q->route->kind != BBL_ROUTE_GATHER) {
        relay(f, now, q, r, BBL_FORWARD_OK);
        return;
    }
    bbl_query_add_part(q, head->signature, r->body);
    settle(f, now, q);
}

/* An attempt has failed; the shard may get another. */
static void
take_failure(bbl_forwarder *f, bbl_usec now, bbl_query *q, bbl_attempt *a,
             const bbl_attempt_result *r, const bbl_backend_head *head,
             meaning m)
{
    bbl_shard *s = a->shard;
    bool single = q->route->kind != BBL_ROUTE_GATHER;

    s->detail = describe_end(r, head);
    if (m == MEANS_NOT_RUN) {
        s->runs--;
    }
    if (s->state == BBL_SHARD_DONE || s->flying > 0) {
        return; /* the other attempt decides */
    }
    if (single && r->end == BBL_ATTEMPT_RESPONSE && m != MEANS_NOT_RUN &&
        !head->encoded &&
        (m == MEANS_FINAL || !q->route->idempotent ||
         s->runs >= q->route->attempts ||
         bbl_extra_budget_left(&s->pool->budget, &f->extra, now) <= 0)) {
        relay(f, now, q, r, BBL_FORWARD_FAILED);
        return;
    }
    if (m == MEANS_FAILURE && !q->route->idempotent) {
        s->state = BBL_SHARD_LOST;
        q->lost++;
    }
    else {
        s->state = BBL_SHARD_OPEN;
    }
    tend(f, now, q);
}

void
bbl_forwarder_ended(bbl_forwarder *f, bbl_usec now, bbl_attempt *a,
                    const bbl_attempt_result *r)
{
    bbl_query *q = a->query;
    bbl_backend_head head;
    meaning m = interpret(f, r, &head);

    bbl_attempt_unlink(a);
    rate_server(f, now, a, r, &head, m);
    if (q == NULL) {
        forget_attempt(&f->orphans, a);
        free(a);
        return;
    }
    forget_attempt(&q->attempts, a);
    a->shard->flying--;
    if (m == MEANS_PART) {
        take_part(f, now, q, a, r, &head);
    }
    else {
        take_failure(f, now, q, a, r, &head, m);
    }
    free(a);
}

void
bbl_forwarder_connected(bbl_forwarder *f, bbl_usec now, bbl_backend *b,
                        bool ok)
{
    bbl_backend_state before = bbl_backend_get_state(b, now);

    if (ok) {
        /* A server that was only silent stands still, or the connections
         * do; one that could not be reached may have started again, cold. */
        b->unsure_at = b->down && !b->silent ? now : b->unsure_at;
        b->down = false;
        b->reached = now;
    }
    else {
        b->down = true;
    }
    b->silent = false;
    set_changed(f, now, b, before);
}

/* ---- time ---- */

/* Ends attempts that nobody waits for when their time is over. */
static void
drop_orphans(bbl_forwarder *f, bbl_usec now)
{
    for (size_t i = f->orphans.size; i > 0; i--) {
        bbl_attempt *a = *BBL_VEC_AT(bbl_attempt *, &f->orphans, i - 1);

        if (now >= a->drop_at) {
            bbl_vec_swap_remove(&f->orphans, i - 1);
            f->options.port.abandon(f->options.port.ctx, a);
            f->counters.abandoned++;
            if (a->backend->answered < a->sent) {
                bbl_backend_rate(a->backend, now, 0, true);
            }
            bbl_attempt_unlink(a);
            free(a);
        }
    }
}

/* Takes servers that have been silent for long out of use. */
static void
check_silence(bbl_forwarder *f, bbl_usec now)
{
    bbl_backend *b;
    size_t pos = 0;

    while ((b = bbl_map_next(&f->pools.backends, &pos)) != NULL) {
        const bbl_attempt *a = b->flying;
        bbl_usec limit = STALL_DOWN_US;

        if (a != NULL && SILENT_TIMES * a->pace->service_time > limit) {
            limit = SILENT_TIMES * a->pace->service_time;
        }
        if (a != NULL && !b->down && bbl_backend_stalls(b, now, limit)) {
            set_silent(f, now, b);
        }
    }
}

bbl_usec
bbl_forwarder_tick(bbl_forwarder *f, bbl_usec now)
{
    bbl_usec next = now + SWEEP_US;

    for (size_t i = 0; i < f->queries.size;) {
        bbl_query *q = *BBL_VEC_AT(bbl_query *, &f->queries, i);

        if (now < q->next_due || tend(f, now, q)) {
            next = q->next_due < next ? q->next_due : next;
            i++;
        }
    }
    if (now >= f->next_sweep) {
        f->next_sweep = now + SWEEP_US / 4;
        adopt_routing(f, now);
        drop_orphans(f, now);
        check_silence(f, now);
        bbl_pools_sweep(&f->pools);
    }
    return next > now ? next : now;
}

/* ---- start and end ---- */

int
bbl_forwarder_new(bbl_forwarder **out, const bbl_forwarder_options *options)
{
    bbl_forwarder *f = bbl_calloc(1, sizeof(*f));

    f->options = *options;
    f->extra = options->extra;
    f->entry_hosts = 1;
    f->rng.state = options->seed;
    f->queries = (bbl_vec)BBL_VEC_INIT(bbl_query *);
    f->orphans = (bbl_vec)BBL_VEC_INIT(bbl_attempt *);
    f->pools.zone = options->zone;
    f->pools.leavers = (bbl_vec)BBL_VEC_INIT(bbl_backend *);
    f->pools.added = options->port.server_added;
    f->pools.removed = options->port.server_removed;
    f->pools.changed = options->port.server_changed;
    f->pools.ctx = options->port.ctx;
    *out = f;
    return 0;
}

void
bbl_forwarder_free(bbl_forwarder *f)
{
    bbl_route_pace *pace;
    size_t pos = 0;

    if (f == NULL) {
        return;
    }
    while (f->queries.size > 0) {
        bbl_query *q = *BBL_VEC_AT(bbl_query *, &f->queries, 0);

        orphan_attempts(f, q, 0);
        remove_query(f, q);
        table_release(q->table);
        bbl_query_free(q);
    }
    drop_orphans(f, FOREVER);
    table_release(f->table);
    bbl_routing_free(f->next_routing);
    bbl_pools_free(&f->pools);
    while ((pace = bbl_map_next(&f->paces, &pos)) != NULL) {
        free(pace);
    }
    bbl_map_free(&f->paces);
    bbl_vec_free(&f->queries);
    bbl_vec_free(&f->orphans);
    free(f);
}

void
bbl_forwarder_each_backend(bbl_forwarder *f, void *ctx,
                           void (*each)(void *ctx, bbl_backend *backend))
{
    bbl_backend *b;
    size_t pos = 0;

    while ((b = bbl_map_next(&f->pools.backends, &pos)) != NULL) {
        each(ctx, b);
    }
}

size_t
bbl_forwarder_open(const bbl_forwarder *f)
{
    return f->queries.size;
}

const bbl_caller_limits *
bbl_forwarder_limits(const bbl_forwarder *f)
{
    return f->table != NULL ? bbl_routing_limits(f->table->routing) : NULL;
}

uint64_t
bbl_forwarder_version(const bbl_forwarder *f)
{
    return f->table != NULL ? bbl_routing_version(f->table->routing) : 0;
}

const bbl_forward_counters *
bbl_forwarder_get_counters(const bbl_forwarder *f)
{
    return &f->counters;
}
