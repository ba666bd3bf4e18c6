#include "forward/forwarder_core.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "forward/caller_identity.h"
#include "forward/drain_plan.h"
#include "forward/hedge.h"
#include "rollout/plan.h"
#include "util/alloc.h"

/*
 * Minimum silence after which a server counts as down. A server that only
 * pauses responds earlier.
 */
#define SILENCE_DOWN_MIN_US (400 * BBL_USEC_PER_MS)
/*
 * The slowest requests take up to this many times the service time of their
 * route, so a shorter silence does not mean that a server is down.
 */
#define SILENCE_DOWN_SERVICE_TIMES 6
/*
 * Time after which a shard is checked again if no server had capacity for its
 * attempt or its hedge.
 */
#define RECHECK_US (4 * BBL_USEC_PER_MS)
/*
 * A request that waits for capacity and that no server can have run is refused
 * after the latency target of its route divided by this.
 */
#define NOT_RUN_WAIT_DIVISOR 5
/*
 * One of this many queries asks for permits although other servers would do.
 */
#define PROBE_INTERVAL 16
/*
 * A shard that was sent first has answered within this many service times
 * unless its server is slow; one that ends breaks its connections at once.
 */
#define CANARY_SERVICE_TIMES 2
/*
 * Entry hosts up to which each of them sees enough of the load by itself, so
 * that none asks for load.
 */
#define SMALL_FLEET_MAX 16
/*
 * Maximum time between two ticks. A tick also does maintenance if a quarter of
 * this time has passed since the last one: it activates a waiting routing,
 * cancels expired attempts, marks silent servers and frees removed ones.
 */
#define TICK_INTERVAL_MAX_US (200 * BBL_USEC_PER_MS)
/* Between two reports of what was counted for rollouts; twice as long in a
 * large fleet, whose leader would else receive thousands in a second. */
#define TALLY_INTERVAL_US (250 * BBL_USEC_PER_MS)
#define LARGE_FLEET 64

const char *
bbl_forward_reason_name(bbl_forward_reason reason)
{
    static const char *const names[BBL_FORWARD_REASONS] = {
        "ok",          "partial",      "failed",  "no-routing", "no-route",
        "unconfirmed", "unavailable",  "busy",    "broken",     "timeout",
        "left",        "overload",     "expired", "limited",    "crashes",
        "draining",    "unauthorized", "quota",   "unadmitted",
    };

    return names[reason];
}

int
bbl_forward_reason_parse(bbl_forward_reason *out, bbl_str name)
{
    for (int i = 0; i < BBL_FORWARD_REASONS; i++) {
        const char *known = bbl_forward_reason_name((bbl_forward_reason)i);

        if (bbl_str_equal(name, (bbl_str){known, strlen(known)})) {
            *out = (bbl_forward_reason)i;
            return 0;
        }
    }
    return bbl_error_set(BBL_EINVAL, "no reason of an answer");
}

/* ---- shards ---- */

/* Returns whether a permit may be requested for some server of a shard. */
static bool
may_ask_for_permit(bbl_usec now, const bbl_query *q, const bbl_shard *s)
{
    bbl_placement_input in;

    bbl_attempt_fill_placement(&in, q, s, false);
    for (size_t i = 0; i < s->pool->backends.size; i++) {
        const bbl_backend *b =
            *BBL_VEC_AT(bbl_backend *, &s->pool->backends, i);

        if (bbl_placement_is_eligible(&in, b, now) &&
            bbl_rate_limit_may_ask(&b->limit, now)) {
            return true;
        }
    }
    return false;
}

/*
 * Handles a pending shard whose remaining servers limit their request rate and
 * have given no permit: it waits for one, or fails if none is to be had.
 */
static void
await_permit(bbl_usec now, bbl_query *q, bbl_shard *s)
{
    if (may_ask_for_permit(now, q, s)) {
        s->permit_wish = BBL_PERMIT_REQUIRED;
    }
    else if (!bbl_query_awaits_permits(q, now)) {
        s->limited = true;
        s->failure_reason = "the servers are at their rate limit";
        s->state = BBL_SHARD_FAILED;
        q->shards_failed++;
    }
}

/* Decides whether the first attempt at a shard goes to the target version. */
static void
draw_version(bbl_forwarder *f, bbl_shard *s)
{
    bbl_pool_rollout *r = &s->pool->rollout;

    if (r->order == 0 || s->version_drawn || s->state != BBL_SHARD_PENDING ||
        r->state != BBLX_ROLLOUT_RUNNING || r->share == 0 ||
        r->share >= BBL_SHARE_ALL) {
        return;
    }
    s->version_drawn = true;
    s->to_target =
        s->attempts_maybe_run == 0 && s->attempts_sent == 0 &&
        bbl_gate_draw(&r->gate, (double)r->share / BBL_SHARE_ALL, &f->rng);
}

/*
 * Returns the server for the next attempt at a pending shard, or NULL. A first
 * attempt that no server of the target version can take goes to another one.
 */
static bbl_backend *
choose_backend(bbl_forwarder *f, bbl_usec now, const bbl_query *q,
               bbl_shard *s, bbl_placement_counts *eligible)
{
    bbl_backend *b = bbl_attempt_choose_backend(f, now, q, s, false, eligible);

    if (b == NULL && s->to_target && s->attempts_sent == 0) {
        s->to_target = false;
        bbl_gate_return(&s->pool->rollout.gate);
        b = bbl_attempt_choose_backend(f, now, q, s, false, eligible);
    }
    return b;
}

/* Sends an attempt to a pending shard, if a server has capacity now. */
static void
send_pending_shard(bbl_forwarder *f, bbl_usec now, bbl_query *q, bbl_shard *s)
{
    bbl_placement_counts eligible;
    bbl_backend *b;

    s->permit_wish = BBL_PERMIT_NONE;
    if (s->state != BBL_SHARD_PENDING) {
        return;
    }
    if (s->attempts_sent > 0 && q->attempts.size > 0 &&
        bbl_query_is_suspect(q)) {
        return; /* the answer of another shard decides */
    }
    if (!bbl_attempt_may_send(f, now, q, s)) {
        s->state = BBL_SHARD_FAILED;
        q->shards_failed++;
        return;
    }
    b = choose_backend(f, now, q, s, &eligible);
    if (q->probes_limits && eligible.limited > 0 &&
        may_ask_for_permit(now, q, s)) {
        s->permit_wish = BBL_PERMIT_USEFUL;
        return;
    }
    if (b != NULL && bbl_attempt_send(f, now, q, s, b, false)) {
        f->counters.parts_moved += eligible.moved;
        if (s->attempts_sent > 1) {
            q->record.retries++;
            f->counters.retries++;
            bbl_attempt_report_extra(f, now, q, s, b, false, false);
        }
        return;
    }
    if (eligible.usable == 0 && s->attempts_sent > s->attempts_maybe_run &&
        s->tried[0] != NULL) {
        /*
         * All servers were tried, and some cannot have run the request: the
         * next check may choose them again.
         */
        memset(s->tried, 0, sizeof(s->tried));
        return;
    }
    if (eligible.usable == 0) {
        s->state = BBL_SHARD_FAILED;
        q->shards_failed++;
    }
    else if (eligible.limited == eligible.usable) {
        await_permit(now, q, s);
    }
}

/*
 * Returns whether all servers that a pending shard could use need a permit
 * that this host does not have.
 */
static bool
is_blocked(bbl_usec now, const bbl_query *q, const bbl_shard *s)
{
    bbl_placement_input in;
    bool limited = false;

    if (s->state != BBL_SHARD_PENDING) {
        return false;
    }
    bbl_attempt_fill_placement(&in, q, s, false);
    for (size_t i = 0; i < s->pool->backends.size; i++) {
        const bbl_backend *b =
            *BBL_VEC_AT(bbl_backend *, &s->pool->backends, i);

        if (!bbl_placement_is_eligible(&in, b, now)) {
            continue;
        }
        if (bbl_rate_limit_may_send(&b->limit, now)) {
            return false;
        }
        limited = true;
    }
    return limited;
}

/*
 * Returns whether a query that was not sent to any server has to wait, because
 * it cannot succeed without permits. If it gets none it is refused unrun,
 * instead of having run at the other shards for nothing.
 */
static bool
hold_for_permits(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    unsigned blocked = 0;

    if (!f->limits_known || q->attempted) {
        return false;
    }
    for (unsigned i = 0; i < q->shard_count; i++) {
        blocked += is_blocked(now, q, &q->shards[i]);
    }
    if (q->shards_needed + blocked <= q->shard_count - q->shards_failed) {
        return false;
    }
    for (unsigned i = 0; i < q->shard_count; i++) {
        bbl_shard *s = &q->shards[i];

        s->permit_wish = BBL_PERMIT_NONE;
        if (is_blocked(now, q, s)) {
            await_permit(now, q, s);
        }
    }
    return true;
}

/* Lets all shards of a query be sent if the one that went first is slow. */
static void
release_slow_canary(bbl_usec now, bbl_query *q)
{
    if (!q->canary || !q->attempted) {
        return;
    }
    if (q->canary_until == 0) {
        q->canary_until = now + CANARY_SERVICE_TIMES * q->timing->service_time;
    }
    if (now >= q->canary_until && q->broken == 0) {
        q->canary = false;
    }
}

/*
 * Returns whether the remaining shards of a query have to wait, because
 * servers have ended under earlier copies of it or for an unknown reason: one
 * shard is tried first. If its server ends as well, the others are not sent
 * the query.
 */
static bool
hold_suspect(bbl_query *q)
{
    if (q->shard_count < 2 || (q->crash_generation == 0 && !q->canary) ||
        !bbl_query_is_suspect(q) ||
        (q->attempts.size == 0 && q->broken == 0)) {
        return false;
    }
    for (unsigned i = 0; q->broken > 0 && i < q->shard_count; i++) {
        if (q->shards[i].state == BBL_SHARD_PENDING) {
            q->shards[i].state = BBL_SHARD_FAILED;
            q->shards_failed++;
        }
    }
    return true;
}

/* Sends attempts to the pending shards. Returns whether one still waits. */
static bool
send_pending_shards(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    bool waiting = false;

    if (q->probes_limits && q->last_permit_request != 0 &&
        !bbl_query_awaits_permits(q, now)) {
        q->probes_limits = false;
    }
    for (unsigned i = 0; f->rollouts.pools.size > 0 && i < q->shard_count;
         i++) {
        draw_version(f, &q->shards[i]);
    }
    release_slow_canary(now, q);
    if (hold_for_permits(f, now, q) || hold_suspect(q)) {
        return true;
    }
    for (unsigned i = 0; i < q->shard_count; i++) {
        bbl_shard *s = &q->shards[(q->first_shard + i) % q->shard_count];

        send_pending_shard(f, now, q, s);
        if (hold_suspect(q)) {
            release_slow_canary(now, q); /* starts its time */
            return true;
        }
        waiting = waiting || s->state == BBL_SHARD_PENDING;
    }
    return waiting;
}

/* Sends the hedges that are due. Returns when to check again. */
static bbl_usec
hedge_shards(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    bbl_usec next = BBL_FOREVER;

    for (unsigned i = 0; i < q->shard_count; i++) {
        bbl_shard *s = &q->shards[i];
        bbl_hedge_input in;
        bbl_usec wait;
        bbl_placement_counts eligible;
        bbl_backend *b;

        if (s->state != BBL_SHARD_IN_FLIGHT || s->in_flight > 1 ||
            s->attempts_maybe_run >= q->route->max_attempts ||
            s->pool->backends.size < 2) {
            continue;
        }
        in.service_time = q->timing->service_time;
        in.waited = now > s->first_sent_at ? now - s->first_sent_at : 0;
        in.quiet = now - q->responded_at;
        in.target_left = q->target_at > now ? q->target_at - now : 0;
        in.budget_left = bbl_attempt_get_extra_left(f, now, q, s);
        in.stalled = false;
        in.rated_bad = false;
        for (size_t k = 0; k < s->pool->backends.size; k++) {
            const bbl_backend *t =
                *BBL_VEC_AT(bbl_backend *, &s->pool->backends, k);

            if (t == s->tried[s->attempts_sent - 1]) {
                in.stalled = bbl_backend_is_stalled(
                    t, now, bbl_route_timing_get_stall_timeout(q->timing));
                in.rated_bad = bbl_pool_has_better(s->pool, t, now);
            }
        }
        wait = bbl_hedge_get_delay(&in);
        if (wait == 0 && bbl_attempt_may_send(f, now, q, s)) {
            b = bbl_attempt_choose_backend(f, now, q, s, true, &eligible);
            if (b != NULL && bbl_attempt_send(f, now, q, s, b, true)) {
                q->record.hedges++;
                f->counters.hedges++;
                bbl_attempt_report_extra(f, now, q, s, b, true, in.stalled);
                continue;
            }
            if (b == NULL && eligible.limited > 0) {
                s->permit_wish = BBL_PERMIT_USEFUL;
            }
            wait = RECHECK_US;
        }
        wait = wait < RECHECK_US ? RECHECK_US : wait;
        if (wait != BBL_FOREVER && now + wait < next) {
            next = now + wait;
        }
    }
    return next;
}

/* Finishes a query that has reached its deadline without an answer. */
static void
fail_late(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    bbl_query_cancel_unsent(f, q);
    if (bbl_query_may_have_run(q)) {
        bbl_query_fail(f, now, q, BBL_FORWARD_TIMEOUT, BBL_STATUS_TIMEOUT);
    }
    else {
        bbl_query_fail(f, now, q, BBL_FORWARD_BUSY, BBL_STATUS_UNAVAILABLE);
    }
}

/* Finishes a query at its deadline, with the parts that suffice if any do. */
static void
finish_at_deadline(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    if (q->route->kind == BBL_ROUTE_GATHER &&
        q->shards_answered >= q->shards_needed && q->shards_answered > 0) {
        bbl_query_finish_merged(f, now, q);
    }
    else {
        fail_late(f, now, q);
    }
}

/*
 * Waits for the delegation of a query, or for parts of attempts that were in
 * flight before. Returns false if the query was finished and freed.
 */
static bool
await_delegation(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    if (bbl_query_finish_if_decided(f, now, q)) {
        return false;
    }
    if (now >= q->deadline) {
        finish_at_deadline(f, now, q);
        return false;
    }
    q->next_due_at = q->target_at > now ? q->target_at : q->deadline;
    return true;
}

/* Returns the number of shards that have a usable server. */
static unsigned
count_usable_shards(const bbl_query *q, bbl_usec now)
{
    unsigned n = 0;

    for (unsigned i = 0; i < q->shard_count; i++) {
        n += bbl_pool_has_usable(q->shards[i].pool, now);
    }
    return n;
}

/*
 * Refuses a query that was read too late or that too few servers can serve.
 * Returns whether it was refused and freed.
 */
static bool
refuse_hopeless(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    if (now + BBL_TIME_LEFT_MIN_US > q->deadline) {
        bbl_query_fail(f, now, q, BBL_FORWARD_EXPIRED, BBL_STATUS_UNAVAILABLE);
        return true;
    }
    if (count_usable_shards(q, now) < q->shards_needed ||
        bbl_query_is_hopeless(f, q)) {
        bbl_query_fail(f, now, q, BBL_FORWARD_UNAVAILABLE,
                       BBL_STATUS_UNAVAILABLE);
        return true;
    }
    return false;
}

/*
 * Starts an admitted query: it counts as a first request, and is refused if it
 * cannot be served. Returns false if it was refused and freed.
 */
static bool
start_query(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    q->started = true;
    q->started_at = now;
    bbl_query_count_first(f, now, q);
    if (refuse_hopeless(f, now, q)) {
        return false;
    }
    if (q->admission[BBL_ADMIT_LOAD].admitted) {
        return true; /* one limit decides, not two in sequence */
    }
    if (!bbl_load_limit_admit(q->load_limit, now, q->timing->uncongested_time,
                              q->priority <= q->table->most_urgent_priority)) {
        bbl_query_fail(f, now, q, BBL_FORWARD_OVERLOAD,
                       BBL_STATUS_UNAVAILABLE);
        return false;
    }
    return true;
}

bool
bbl_query_process(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    bool waiting;
    bbl_usec answer_at;
    bbl_usec not_run_until =
        q->request.arrived_at +
        q->route->target_latency_ms * BBL_USEC_PER_MS / NOT_RUN_WAIT_DIVISOR;

    if (q->delegation != NULL) {
        return await_delegation(f, now, q);
    }
    if (!bbl_query_is_admitted(f, now, q)) {
        bbl_admission_step step = bbl_query_seek_admission(f, now, q);

        if (step != BBL_ADMISSION_DONE) {
            return step == BBL_ADMISSION_WAITS;
        }
    }
    if (!q->started && !start_query(f, now, q)) {
        return false;
    }
    waiting = send_pending_shards(f, now, q);
    if (bbl_query_finish_if_decided(f, now, q)) {
        return false;
    }
    if (q->delegation != NULL) {
        return await_delegation(f, now, q);
    }
    if (now >= q->deadline) {
        finish_at_deadline(f, now, q);
        return false;
    }
    if (waiting && !bbl_query_may_have_run(q) && now >= not_run_until) {
        bbl_query_fail(f, now, q, BBL_FORWARD_BUSY, BBL_STATUS_UNAVAILABLE);
        return false;
    }
    q->next_due_at = q->deadline;
    answer_at = bbl_query_get_answer_time(q, now);
    if (answer_at > now && answer_at < q->next_due_at) {
        q->next_due_at = answer_at;
    }
    if (waiting) {
        bbl_usec due = now + RECHECK_US;

        if (!bbl_query_may_have_run(q) && not_run_until < due) {
            due = not_run_until;
        }
        q->next_due_at = due < q->next_due_at ? due : q->next_due_at;
    }
    /* While the servers are congested, hedges would only add to the load. */
    if (q->route->idempotent && !q->load_limit->congested) {
        bbl_usec due = hedge_shards(f, now, q);

        q->next_due_at = due < q->next_due_at ? due : q->next_due_at;
    }
    bbl_query_request_permits(f, now, q);
    return true;
}

/* ---- requests ---- */

static void
set_deadlines(bbl_forwarder *f, bbl_query *q)
{
    const bbl_forward_request *r = &q->request;
    bbl_usec limit = q->route->timeout_ms * BBL_USEC_PER_MS;
    bbl_usec target = q->route->target_latency_ms * BBL_USEC_PER_MS;
    bbl_usec round_trip =
        r->round_trip > 0 ? r->round_trip : 2 * f->options.caller_distance;
    /* The caller may have opened a connection for this request. */
    bbl_usec reserved_time = round_trip * (r->first_on_connection ? 2 : 1) +
                             f->options.answer_margin;

    if (r->has_time_left && r->time_left_ms * BBL_USEC_PER_MS < limit) {
        limit = r->time_left_ms * BBL_USEC_PER_MS;
    }
    q->deadline = r->arrived_at + limit;
    q->target_at =
        r->arrived_at +
        (target > reserved_time ? target - reserved_time : target / 2);
}

/* Returns the index of the target of a route with a split for one request. */
static size_t
choose_split_target(const bbl_query *q, size_t route_index)
{
    const bbl_route *route = q->route;
    bbl_str service = q->request.delegated.service;

    for (size_t i = 0; service.size > 0 && i < route->target_count; i++) {
        if (bbl_str_equal(
                bbl_buf_str(
                    &q->table->pools[route->targets[i].service_index]->name),
                service)) {
            return i;
        }
    }
    return bbl_split_next(&q->table->splits[route_index], route);
}

void
bbl_query_count_first(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    if (q->first_counted || q->request.delegated.attempts > 0) {
        return;
    }
    q->first_counted = true;
    for (unsigned i = 0; i < q->shard_count; i++) {
        bbl_extra_budget_count_first(&q->shards[i].pool->budget,
                                     &f->extra_limits, now);
    }
}

static void
add_shards(bbl_forwarder *f, bbl_query *q)
{
    const bbl_route *route = q->route;
    size_t index = bbl_routing_route_index(q->table->routing, route);

    q->timing = q->table->timings[index];
    q->shard_count = 1;
    q->shards_needed = 1;
    if (route->kind == BBL_ROUTE_GATHER) {
        double needed =
            ceil(route->min_coverage * (double)route->target_count - 1e-9);

        q->shard_count = (unsigned)route->target_count;
        q->shards_needed = needed < 1 ? 1 : (unsigned)needed;
    }
    q->shards = bbl_calloc(q->shard_count, sizeof(bbl_shard));
    for (unsigned i = 0; i < q->shard_count; i++) {
        size_t target =
            route->kind == BBL_ROUTE_SPLIT ? choose_split_target(q, index) : i;

        q->shards[i].pool =
            q->table->pools[route->targets[target].service_index];
        q->shards[i].attempts_maybe_run = q->request.delegated.attempts;
    }
    q->load_limit = &q->shards[0].pool->load_limit;
    if (route->kind == BBL_ROUTE_GATHER && f->options.load_admission &&
        f->entry_hosts > SMALL_FLEET_MAX) {
        q->pressure_pool = q->shards[0].pool;
    }
    q->probes_limits = bbl_rng_below(&f->rng, PROBE_INTERVAL) == 0;
}

static void
insert_query(bbl_forwarder *f, bbl_query *q)
{
    size_t at = f->queries.size;

    bbl_vec_push(&f->queries, &q);
    while (at > 0 &&
           (*BBL_VEC_AT(bbl_query *, &f->queries, at - 1))->priority >
               q->priority) {
        *BBL_VEC_AT(bbl_query *, &f->queries, at) =
            *BBL_VEC_AT(bbl_query *, &f->queries, at - 1);
        at--;
    }
    *BBL_VEC_AT(bbl_query *, &f->queries, at) = q;
}

uint64_t
bbl_forwarder_get_applied_index(const bbl_forwarder *f)
{
    return f->settled_index;
}

void
bbl_forwarder_set_end(bbl_forwarder *f, bbl_usec end)
{
    f->ends_at = end;
}

/* Returns whether a query can be served before this host ends, if it does. */
static bool
is_covered_by_drain(const bbl_forwarder *f, bbl_usec now, const bbl_query *q)
{
    bbl_drain_plan_input in = {
        .remaining = f->ends_at > now ? f->ends_at - now : 0,
        .time_left = q->deadline > now ? q->deadline - now : 0,
        .service_time = q->timing->service_time,
        .idempotent = q->route->idempotent,
    };

    return f->ends_at == 0 || bbl_drain_plan_admits(&in);
}

void
bbl_forwarder_confirm_routing(bbl_forwarder *f, bbl_usec until)
{
    f->routing_confirmed_until = until;
    bbl_rollout_view_set_lease(&f->rollouts, until);
}

/* Returns whether the active routing is known to be the newest one. */
static bool
is_routing_confirmed(const bbl_forwarder *f, bbl_usec now)
{
    return f->next_routing == NULL && now < f->routing_confirmed_until;
}

/*
 * Finds the organisation that sends a request, which may be none. Returns
 * false if the request was refused.
 */
static bool
identify_caller(const bbl_organisation **organisation, bbl_forwarder *f,
                bbl_usec now, const bbl_forward_request *request,
                const bbl_route *route)
{
    bbl_caller_identity_input in = {
        .routing = f->table->routing,
        .route = route,
        .key = request->key,
        .key_count = request->key_count,
        .confirmed = is_routing_confirmed(f, now),
        .delegated = request->delegated.host != 0,
        .delegated_organisation = request->delegated.organisation,
    };

    switch (bbl_caller_identify(organisation, &in)) {
    case BBL_CALLER_UNAUTHORIZED:
        bbl_forwarder_refuse(f, now, request, BBL_FORWARD_UNAUTHORIZED,
                             BBL_STATUS_UNAUTHORIZED, 0);
        return false;
    case BBL_CALLER_UNCONFIRMED:
        bbl_forwarder_refuse(f, now, request, BBL_FORWARD_UNCONFIRMED,
                             BBL_STATUS_UNAVAILABLE, 0);
        return false;
    default:
        return true;
    }
}

void
bbl_forwarder_receive_request(bbl_forwarder *f, bbl_usec now,
                              const bbl_forward_request *request)
{
    const bbl_route *route;
    const bbl_organisation *organisation;
    bbl_usec refused;
    bbl_delegation_cause cause;
    bbl_query *q;

    f->counters.requests++;
    f->counters.delegated_requests += request->delegated.host != 0;
    if (f->table == NULL) {
        bbl_forwarder_refuse(f, now, request, BBL_FORWARD_NO_ROUTING,
                             BBL_STATUS_UNAVAILABLE, 0);
        return;
    }
    if (request->delegated.host != 0 &&
        request->delegated.routing_version !=
            bbl_routing_version(f->table->routing)) {
        bbl_forwarder_refuse(f, now, request, BBL_FORWARD_UNCONFIRMED,
                             BBL_STATUS_UNAVAILABLE, 0);
        return;
    }
    route =
        bbl_routing_match(f->table->routing, request->hostname, request->path);
    if (route == NULL) {
        if (!is_routing_confirmed(f, now)) {
            bbl_forwarder_refuse(f, now, request, BBL_FORWARD_UNCONFIRMED,
                                 BBL_STATUS_UNAVAILABLE, 0);
        }
        else {
            bbl_forwarder_refuse(f, now, request, BBL_FORWARD_NO_ROUTE,
                                 BBL_STATUS_NOT_FOUND, 0);
        }
        return;
    }
    if (!identify_caller(&organisation, f, now, request, route)) {
        return;
    }
    refused = bbl_crash_ledger_get_refused(&f->crash_ledger, now,
                                           request->fingerprint);
    if (refused > 0) {
        bbl_forwarder_refuse(f, now, request, BBL_FORWARD_CRASHES,
                             BBL_STATUS_UNAVAILABLE, refused);
        return;
    }
    q = bbl_calloc(1, sizeof(*q));
    q->request = *request;
    q->table = f->table;
    q->table->ref_count++;
    q->route = route;
    q->organisation = organisation;
    q->priority = bbl_caller_get_priority(route, organisation);
    q->attempts = (bbl_vec)BBL_VEC_INIT(bbl_attempt *);
    q->signatures = (bbl_vec){NULL, 0, 0, 2 * sizeof(size_t)};
    q->record.request_id = request->request_id;
    q->record.fingerprint = request->fingerprint;
    q->record.delegated_by = request->delegated.host;
    q->crash_generation = bbl_crash_ledger_get_generation(
        &f->crash_ledger, now, request->fingerprint);
    q->canary = route->kind == BBL_ROUTE_GATHER && route->target_count > 1 &&
                bbl_crash_alert_is_raised(&f->crash_alert, now);
    q->record.route = route;
    q->record.organisation = bbl_query_get_identity(q).organisation;
    q->record.routing_version = bbl_routing_version(f->table->routing);
    bbl_top_records_init(&q->top_records, route->top_k);
    set_deadlines(f, q);
    add_shards(f, q);
    if (q->canary) {
        q->first_shard = (unsigned)bbl_rng_below(&f->rng, q->shard_count);
    }
    insert_query(f, q);
    bbl_query_init_admission(f, now, q);
    if (!is_covered_by_drain(f, now, q)) {
        bbl_query_fail(f, now, q, BBL_FORWARD_DRAINING,
                       BBL_STATUS_UNAVAILABLE);
        return;
    }
    if (bbl_query_needs_delegation(&cause, f, now, q) &&
        bbl_query_delegate(f, now, q, cause)) {
        return;
    }
    if (!bbl_query_is_admitted(f, now, q) && refuse_hopeless(f, now, q)) {
        return; /* no grantor is asked for it */
    }
    bbl_query_process(f, now, q);
}

void
bbl_forwarder_cancel_request(bbl_forwarder *f, bbl_usec now,
                             void *request_handle)
{
    for (size_t i = 0; i < f->queries.size; i++) {
        bbl_query *q = *BBL_VEC_AT(bbl_query *, &f->queries, i);

        if (q->request.request_handle == request_handle) {
            bbl_query_finish(f, now, q, BBL_FORWARD_LEFT, NULL);
            return;
        }
    }
}

void
bbl_forwarder_finish_open(bbl_forwarder *f, bbl_usec now)
{
    while (f->queries.size > 0) {
        bbl_query *q = *BBL_VEC_AT(bbl_query *, &f->queries, 0);

        if (q->route->kind == BBL_ROUTE_GATHER && q->shards_answered > 0 &&
            q->shards_answered >= q->shards_needed) {
            bbl_query_finish_merged(f, now, q);
        }
        else {
            bbl_query_fail_decided(f, now, q);
        }
    }
}

/* ---- time ---- */

/* Cancels the detached attempts that have reached cancel_at. */
static void
cancel_expired_attempts(bbl_forwarder *f, bbl_usec now)
{
    for (size_t i = f->detached_attempts.size; i > 0; i--) {
        bbl_attempt *a =
            *BBL_VEC_AT(bbl_attempt *, &f->detached_attempts, i - 1);

        if (now >= a->cancel_at) {
            bbl_vec_swap_remove(&f->detached_attempts, i - 1);
            f->options.port.cancel(f->options.port.ctx, a);
            f->counters.attempts_cancelled++;
            bbl_attempt_count_cancelled(f, now, a);
            if (a->backend->answered_at < a->sent_at) {
                bbl_backend_record_result(a->backend, now, 0, true);
            }
            bbl_attempt_unlink(a);
            free(a);
        }
    }
}

/*
 * Handles the loss of all links: marks the overdue servers as down, so that
 * new connections to them are tried, delegates the open queries, and gives up
 * those that other hosts have delegated to this one.
 */
static void
handle_isolation(bbl_forwarder *f, bbl_usec now)
{
    bbl_backend *b;
    size_t pos = 0;

    while ((b = bbl_map_next(&f->pools.backends, &pos)) != NULL) {
        const bbl_attempt *a = b->attempts;

        if (a != NULL && !b->down &&
            bbl_reach_is_overdue(&f->reach, b, now, a->timing->service_time)) {
            bbl_backend_mark_silent(f, now, b);
        }
    }
    for (size_t i = 0; i < f->queries.size;) {
        bbl_query *q = *BBL_VEC_AT(bbl_query *, &f->queries, i);

        if (q->shards_answered >= q->shards_needed) {
            i++;
        }
        else if (q->request.delegated.host != 0) {
            bbl_query_fail_decided(f, now, q); /* its host asks another one */
        }
        else {
            bbl_query_delegate(f, now, q, BBL_DELEGATE_ISOLATED);
            i++;
        }
    }
}

/*
 * Marks servers as down that have sent no response for too long, counts those
 * that can be reached, and notes whether any limits its request rate.
 */
static void
check_servers(bbl_forwarder *f, bbl_usec now)
{
    bbl_reach_level before = f->reach.level;
    bbl_backend *b;
    size_t pos = 0;

    f->limits_known = false;
    bbl_reach_start_count(&f->reach);
    while ((b = bbl_map_next(&f->pools.backends, &pos)) != NULL) {
        const bbl_attempt *a = b->attempts;
        bbl_usec limit = SILENCE_DOWN_MIN_US;

        f->limits_known = f->limits_known || b->limit.limited;

        if (a != NULL &&
            SILENCE_DOWN_SERVICE_TIMES * a->timing->service_time > limit) {
            limit = SILENCE_DOWN_SERVICE_TIMES * a->timing->service_time;
        }
        if (a != NULL && !b->down && bbl_backend_is_stalled(b, now, limit)) {
            bbl_backend_mark_silent(f, now, b);
        }
        bbl_reach_count(&f->reach, b, now);
        f->reach.overdue +=
            a != NULL &&
            bbl_reach_is_overdue(&f->reach, b, now, a->timing->service_time);
    }
    if (now > f->servers_checked_at + 2 * TICK_INTERVAL_MAX_US) {
        /* This host itself has paused: responses may wait unread. */
        f->reach.overdue = 0;
    }
    f->servers_checked_at = now;
    if (bbl_reach_update_isolated(&f->reach, now)) {
        handle_isolation(f, now);
    }
    if (bbl_reach_finish_count(&f->reach)) {
        f->options.port.reach_changed(f->options.port.ctx, &f->reach, before);
    }
}

/* Confirms the state once no attempt is in flight that a rollout ends. */
static void
settle_index(bbl_forwarder *f)
{
    if (f->settled_index != f->applied_index &&
        !bbl_rollout_view_has_strays(&f->rollouts)) {
        f->settled_index = f->applied_index;
    }
}

/* Reports what was counted for rollouts, while any runs. */
static void
report_rollouts(bbl_forwarder *f, bbl_usec now)
{
    if (f->tally.orders.size == 0 || now < f->next_tally_at ||
        f->options.port.report_rollouts == NULL) {
        return;
    }
    f->next_tally_at =
        now + (f->entry_hosts > LARGE_FLEET ? 2 * TALLY_INTERVAL_US
                                            : TALLY_INTERVAL_US);
    f->options.port.report_rollouts(f->options.port.ctx, &f->tally);
}

bbl_usec
bbl_forwarder_tick(bbl_forwarder *f, bbl_usec now)
{
    bbl_usec next = now + TICK_INTERVAL_MAX_US;
    bbl_usec next_check = bbl_forwarder_check_health(f, now);

    next = next_check < next ? next_check : next;
    for (size_t i = 0; i < f->queries.size;) {
        bbl_query *q = *BBL_VEC_AT(bbl_query *, &f->queries, i);

        if (now < q->next_due_at || bbl_query_process(f, now, q)) {
            next = q->next_due_at < next ? q->next_due_at : next;
            i++;
        }
    }
    if (now >= f->next_maintenance_at) {
        f->next_maintenance_at = now + TICK_INTERVAL_MAX_US / 4;
        bbl_forwarder_activate_routing(f, now);
        cancel_expired_attempts(f, now);
        check_servers(f, now);
        settle_index(f);
        report_rollouts(f, now);
        bbl_forwarder_expire_permit_requests(f, now);
        bbl_forwarder_forget_asks(f, now);
        bbl_forwarder_check_pressure(f, now);
        bbl_pools_free_retired(&f->pools);
        bbl_peers_free_retired(&f->peers);
    }
    return next > now ? next : now;
}

/* ---- start and end ---- */

int
bbl_forwarder_new(bbl_forwarder **out, const bbl_forwarder_options *options)
{
    bbl_forwarder *f = bbl_calloc(1, sizeof(*f));

    f->options = *options;
    f->extra_limits = options->extra_limits;
    f->entry_hosts = 1;
    f->rng.state = options->seed;
    f->witness.self = bbl_health_make_reporter(options->seed);
    f->queries = (bbl_vec)BBL_VEC_INIT(bbl_query *);
    f->detached_attempts = (bbl_vec)BBL_VEC_INIT(bbl_attempt *);
    bbl_crash_watch_init(&f->crash_watch);
    bbl_crash_ledger_init(&f->crash_ledger);
    f->permit_requests = bbl_permit_requests_init();
    f->permit_items = (bbl_vec)BBL_VEC_INIT(bbl_permit_item);
    bbl_permit_book_init(&f->local_permits, 0);
    bbl_admission_asks_init(&f->asks, options->seed);
    bbl_rollout_view_init(&f->rollouts);
    bbl_rollout_tally_init(&f->tally);
    bbl_peers_init(&f->peers);
    f->peers.added = options->port.peer_added;
    f->peers.removed = options->port.peer_removed;
    f->peers.ctx = options->port.ctx;
    f->pools.zone = options->zone;
    f->pools.retired = (bbl_vec)BBL_VEC_INIT(bbl_backend *);
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
    bbl_route_timing *timing;
    size_t pos = 0;

    if (f == NULL) {
        return;
    }
    while (f->queries.size > 0) {
        bbl_query *q = *BBL_VEC_AT(bbl_query *, &f->queries, 0);

        bbl_query_detach_attempts(f, q, 0);
        bbl_query_cancel_delegation(f, q);
        bbl_query_remove(f, q);
        bbl_route_table_release(q->table);
        bbl_query_free(q);
    }
    cancel_expired_attempts(f, BBL_FOREVER);
    bbl_route_table_release(f->table);
    bbl_routing_free(f->next_routing);
    bbl_pools_free(&f->pools);
    bbl_peers_free(&f->peers);
    while ((timing = bbl_map_next(&f->timings, &pos)) != NULL) {
        free(timing);
    }
    bbl_map_free(&f->timings);
    bbl_vec_free(&f->queries);
    bbl_vec_free(&f->detached_attempts);
    bbl_crash_watch_free(&f->crash_watch);
    bbl_crash_ledger_free(&f->crash_ledger);
    bbl_vec_free(&f->permit_requests);
    bbl_vec_free(&f->permit_items);
    bbl_permit_book_free(&f->local_permits);
    bbl_admission_asks_free(&f->asks);
    bbl_rollout_view_free(&f->rollouts);
    bbl_rollout_tally_free(&f->tally);
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
bbl_forwarder_count_open(const bbl_forwarder *f)
{
    return f->queries.size;
}

const bbl_caller_limits *
bbl_forwarder_get_limits(const bbl_forwarder *f)
{
    return f->table != NULL ? bbl_routing_limits(f->table->routing) : NULL;
}

const bbl_routing *
bbl_forwarder_get_routing(const bbl_forwarder *f)
{
    return f->table != NULL ? f->table->routing : NULL;
}

uint64_t
bbl_forwarder_get_routing_version(const bbl_forwarder *f)
{
    return f->table != NULL ? bbl_routing_version(f->table->routing) : 0;
}

bool
bbl_forwarder_is_limited(const bbl_forwarder *f)
{
    return f->limited;
}

bool
bbl_forwarder_is_under_pressure(const bbl_forwarder *f)
{
    return f->under_pressure;
}

const bbl_reach *
bbl_forwarder_get_reach(const bbl_forwarder *f)
{
    return &f->reach;
}

const bbl_forward_counters *
bbl_forwarder_get_counters(const bbl_forwarder *f)
{
    return &f->counters;
}
