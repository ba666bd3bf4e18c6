#include "forward/forwarder_core.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "forward/placement.h"
#include "rollout/plan.h"
#include "util/alloc.h"

/* The service time of a route is this quantile of the recent attempts. */
#define TIMING_QUANTILE 0.6
/* One attempt changes the estimate by at most 1/48 of the service time. */
#define TIMING_SAMPLES_MAX 48.0
/* The first attempts change it by at most 1/6. */
#define TIMING_SAMPLES_MIN 6
/* The uncongested time is a decaying mean; one sample has weight 1/256. */
#define UNCONGESTED_WEIGHT 256
/*
 * A server counts as stalled if it has sent no response for this many service
 * times of the route, and at least for STALL_TIMEOUT_MIN_US.
 */
#define STALL_SERVICE_TIMES 2
#define STALL_TIMEOUT_MIN_US (8 * BBL_USEC_PER_MS)
/*
 * Connections that break under a query to one service, without an answer,
 * before it is a suspect. A sharded query is one from the first on: another
 * shard soon tells whether it is harmless.
 */
#define SINGLE_BROKEN_MAX 3
/*
 * How long a server is avoided after it refused a request because of its load,
 * or because it accepts no further connection.
 */
/*
 * An answer is slow for the judgement of a rollout if it takes this many times
 * the service time of the route at the other versions.
 */
#define SLOW_SERVICE_TIMES 2.5
#define ROUTE_SEED 97
#define REFUSED_BACKOFF_US (10 * BBL_USEC_PER_MS)
#define SERVER_FULL_BACKOFF_US (200 * BBL_USEC_PER_MS)

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

void
bbl_attempt_set_sent_at(bbl_attempt *a, bbl_usec sent_at)
{
    a->sent_at = sent_at;
}

void *
bbl_attempt_get_ctx(const bbl_attempt *a)
{
    return a->ctx;
}

bbl_usec
bbl_route_timing_get_stall_timeout(const bbl_route_timing *timing)
{
    bbl_usec p = STALL_SERVICE_TIMES * timing->service_time;

    return p < STALL_TIMEOUT_MIN_US ? STALL_TIMEOUT_MIN_US : p;
}

/*
 * Updates the timing of a route with one attempt. The service time is a
 * quantile, because a mean would follow the few attempts that meet a pause or
 * a slow server, and hedges would then be sent too late.
 */
static void
update_timing(bbl_route_timing *p, bbl_usec duration, bool congested)
{
    double step;

    if (p->samples == 0) {
        p->uncongested_time = duration + 1;
    }
    p->samples += p->samples < TIMING_SAMPLES_MAX;
    step = (double)p->service_time / fmax(p->samples, TIMING_SAMPLES_MIN);
    if (duration > p->service_time) {
        p->service_time += (bbl_usec)(step * TIMING_QUANTILE) + 1;
    }
    else {
        p->service_time -= (bbl_usec)(step * (1 - TIMING_QUANTILE));
    }
    if (!congested) {
        p->uncongested_time =
            (p->uncongested_time * (UNCONGESTED_WEIGHT - 1) + duration) /
                UNCONGESTED_WEIGHT +
            1;
    }
}

void
bbl_backend_report_state(bbl_forwarder *f, bbl_usec now, bbl_backend *b,
                         bbl_backend_state before)
{
    if (bbl_backend_get_state(b, now) != before) {
        f->options.port.server_changed(f->options.port.ctx, b, before);
    }
}

void
bbl_backend_mark_silent(bbl_forwarder *f, bbl_usec now, bbl_backend *b)
{
    bbl_backend_state before = bbl_backend_get_state(b, now);

    b->down = true;
    b->silent = true;
    bbl_backend_report_state(f, now, b, before);
}

/*
 * Returns the version that the next attempt at a shard is for. Only the first
 * attempt may go to the target version while a rollout divides the requests.
 */
static bblx_server_version
get_wanted_version(const bbl_shard *s)
{
    const bbl_pool_rollout *r = &s->pool->rollout;

    if (r->order == 0 || r->state != BBLX_ROLLOUT_RUNNING || r->share == 0 ||
        r->share >= BBL_SHARE_ALL) {
        return BBLX_VERSION_UNKNOWN;
    }
    return s->to_target && s->attempts_sent == 0 ? BBLX_VERSION_TARGET
                                                 : BBLX_VERSION_OTHER;
}

void
bbl_attempt_fill_placement(bbl_placement_input *in, const bbl_query *q,
                           const bbl_shard *s, bool hedge)
{
    in->service_time = q->timing->service_time;
    in->stall_timeout = bbl_route_timing_get_stall_timeout(q->timing);
    in->tried = s->tried;
    in->tried_count = s->attempts_sent;
    in->hedge = hedge;
    in->target = q->route->target_latency_ms * BBL_USEC_PER_MS;
    in->probe = false;
    in->version = get_wanted_version(s);
}

bbl_backend *
bbl_attempt_choose_backend(bbl_forwarder *f, bbl_usec now, const bbl_query *q,
                           const bbl_shard *s, bool hedge,
                           bbl_placement_counts *eligible)
{
    bbl_placement_input in;

    bbl_attempt_fill_placement(&in, q, s, hedge);
    in.probe = !hedge && bbl_shard_is_probe_due(f, now, q, s);
    return bbl_placement_choose(
        &in, s->pool->backends.ptr, s->pool->backends.size, now,
        f->options.port.get_room, f->options.port.ctx, &f->rng, eligible);
}

/*
 * Returns whether an attempt at a shard is an extra one: this host or another
 * one has sent one before.
 */
static bool
is_extra(const bbl_shard *s)
{
    return s->attempts_sent > 0 || s->attempts_maybe_run > 0;
}

/* Notes the rollout for which an attempt counts that is about to be sent. */
static void
set_rollout(bbl_attempt *a, const bbl_query *q, const bbl_shard *s)
{
    const bbl_pool_rollout *r = &s->pool->rollout;

    if (r->order == 0 || r->state != BBLX_ROLLOUT_RUNNING) {
        return;
    }
    a->to_target = a->backend->version == BBLX_VERSION_TARGET;
    if (!is_extra(s)) {
        a->rollout = r->order;
        a->route =
            bbl_hash(q->route->name.ptr, q->route->name.size, ROUTE_SEED);
    }
}

bool
bbl_query_is_limited(const bbl_query *q, bbl_usec now)
{
    return q->pressure_pool != NULL &&
           bbl_pressure_is_limited(&q->pressure_pool->pressure, now);
}

bool
bbl_query_is_under_pressure(const bbl_query *q, bbl_usec now)
{
    return q->pressure_pool != NULL &&
           bbl_pressure_is_active(&q->pressure_pool->pressure, now);
}

static void
report_pressure(bbl_forwarder *f, bbl_usec now, bbl_pool *pool, bool active)
{
    pool->pressure_reported = active;
    f->options.port.pressure_changed(
        f->options.port.ctx, bbl_buf_str(&pool->name), active,
        bbl_pressure_get_refused_share(&pool->pressure, now));
}

/* Records parts in the pressure of their shards, and reports its begin. */
static void
record_parts(bbl_forwarder *f, bbl_usec now, bbl_pool *pool, uint32_t sent,
             uint32_t refused)
{
    if (pool != NULL &&
        bbl_pressure_record(&pool->pressure, now, sent, refused) &&
        !pool->pressure_reported) {
        f->counters.pressure_begun++;
        f->under_pressure = true;
        report_pressure(f, now, pool, true);
    }
}

static void
record_time(bbl_pool *pool, bbl_usec now, double ratio, bool answered)
{
    if (pool != NULL) {
        bbl_pressure_record_time(&pool->pressure, now, ratio, answered);
    }
}

void
bbl_forwarder_check_pressure(bbl_forwarder *f, bbl_usec now)
{
    bbl_pool *pool;
    size_t pos = 0;

    f->under_pressure = false;
    f->limited = false;
    while ((pool = bbl_map_next(&f->pools.pools, &pos)) != NULL) {
        bool active = bbl_pressure_is_active(&pool->pressure, now);

        f->under_pressure = f->under_pressure || active;
        f->limited =
            f->limited || bbl_pressure_is_limited(&pool->pressure, now);
        if (pool->pressure_reported && !active) {
            report_pressure(f, now, pool, false);
        }
    }
}

double
bbl_attempt_get_extra_left(bbl_forwarder *f, bbl_usec now, const bbl_query *q,
                           bbl_shard *s)
{
    bbl_extra_limits limits = f->extra_limits;

    if (q->pressure_pool != NULL) {
        double share =
            bbl_pressure_get_extra_share(&q->pressure_pool->pressure, now);

        limits.ratio *= share;
        limits.constant *= share;
    }
    return bbl_extra_budget_get_left(&s->pool->budget, &limits, now);
}

void
bbl_query_cancel_attempts(bbl_forwarder *f, bbl_usec now, bbl_query *q,
                          const bbl_shard *shard)
{
    for (size_t i = q->attempts.size; i > 0; i--) {
        bbl_attempt *a = *BBL_VEC_AT(bbl_attempt *, &q->attempts, i - 1);
        double slowness = (double)(now > a->sent_at ? now - a->sent_at : 0) /
                          (double)(a->timing->service_time + 1);

        if (shard != NULL && a->shard != shard) {
            continue;
        }
        a->shard->attempts_maybe_run -=
            !f->options.port.is_sent(f->options.port.ctx, a);
        f->options.port.cancel(f->options.port.ctx, a);
        f->counters.attempts_cancelled++;
        a->shard->in_flight--;
        if (slowness > bbl_backend_get_slowness(a->backend, now)) {
            /* It would have been rated by its response, which is at least as
             * slow. */
            bbl_backend_record_result(a->backend, now, slowness, false);
        }
        record_time(a->pressure_pool, now, slowness, false);
        bbl_vec_swap_remove(&q->attempts, i - 1);
        bbl_attempt_unlink(a);
        free(a);
    }
}

bool
bbl_attempt_send(bbl_forwarder *f, bbl_usec now, bbl_query *q, bbl_shard *s,
                 bbl_backend *b, bool hedge)
{
    bbl_attempt *a = bbl_calloc(1, sizeof(*a));
    bbl_attempt_request r = {q->request.request_handle,
                             (uint32_t)((q->deadline - now) / BBL_USEC_PER_MS),
                             q->route->idempotent, bbl_query_get_identity(q)};

    a->query = q;
    a->shard = s;
    a->backend = b;
    a->timing = q->timing;
    a->load_limit = q->load_limit;
    a->pressure_pool = q->pressure_pool;
    a->work = (double)q->timing->uncongested_time;
    a->request_share = 1.0 / q->shard_count;
    a->fingerprint = q->request.fingerprint;
    a->crash_generation = q->crash_generation;
    a->ctx = f->options.port.ctx;
    a->sent_at = now;
    a->hedge = hedge;
    set_rollout(a, q, s);
    if (f->options.port.send(f->options.port.ctx, a, b, &r) != 0) {
        free(a);
        return false;
    }
    bbl_attempt_link(a);
    bbl_vec_push(&q->attempts, &a);
    if (s->attempts_sent == 0) {
        s->first_sent_at = a->sent_at;
    }
    if (is_extra(s)) {
        bbl_extra_budget_spend(&s->pool->budget, &f->extra_limits, now);
    }
    s->tried[s->attempts_sent++] = b;
    s->attempts_maybe_run++;
    s->in_flight++;
    s->state = BBL_SHARD_IN_FLIGHT;
    q->attempted = true;
    q->record.attempt_count++;
    record_parts(f, now, q->pressure_pool, 1, 0);
    f->counters.attempts++;
    f->counters.rollout_first += a->rollout != 0;
    f->counters.rollout_target += a->to_target;
    f->counters.attempts_limited += b->limit.limited;
    b->backoff.sent += bbl_backoff_is_active(&b->backoff, now);
    bbl_rate_limit_spend(&b->limit, now);
    bbl_rate_limit_count_sent(&b->limit, s->attempts_sent > 1);
    return true;
}

bool
bbl_query_is_suspect(const bbl_query *q)
{
    unsigned broken_max = q->shard_count > 1 ? 1 : SINGLE_BROKEN_MAX;

    return q->shards_answered == 0 &&
           (q->broken >= broken_max || q->crash_generation > 0 || q->canary);
}

bool
bbl_attempt_may_send(bbl_forwarder *f, bbl_usec now, const bbl_query *q,
                     bbl_shard *s)
{
    if (s->attempts_sent >= BBL_ATTEMPTS_MAX ||
        s->attempts_maybe_run >= q->route->max_attempts ||
        q->delegation_may_have_run ||
        q->deadline < now + BBL_TIME_LEFT_MIN_US) {
        return false;
    }
    if (s->attempts_sent > 0 && bbl_query_is_suspect(q)) {
        return false;
    }
    if (is_extra(s) && bbl_attempt_get_extra_left(f, now, q, s) <= 0) {
        f->counters.attempts_over_budget++;
        return false;
    }
    return true;
}

void
bbl_attempt_report_extra(bbl_forwarder *f, bbl_usec now, const bbl_query *q,
                         const bbl_shard *s, const bbl_backend *b, bool hedge,
                         bool stalled)
{
    bbl_extra_attempt_record r;

    memset(&r, 0, sizeof(r));
    r.request_id = q->request.request_id;
    r.service = bbl_buf_str(&s->pool->name);
    r.server = bbl_wire_label_str(&b->listed.id);
    r.hedge = hedge;
    r.stalled = stalled;
    r.waited = now > s->first_sent_at ? now - s->first_sent_at : 0;
    r.route_service_time = q->timing->service_time;
    r.budget_left =
        bbl_extra_budget_get_left(&s->pool->budget, &f->extra_limits, now);
    r.failure_reason = s->failure_reason != NULL ? s->failure_reason : "";
    f->options.port.report_extra_attempt(f->options.port.ctx, &r);
}

/* ---- results of attempts ---- */

/* Classes of results, by their effect on the server and the shard. */
typedef enum {
    RESULT_USABLE,  /* a usable response */
    RESULT_NOT_RUN, /* another server may be tried */
    RESULT_FAILURE, /* it ran or may have run, and failed */
    RESULT_FINAL    /* a response to relay unchanged */
} result_class;

/* Returns whether a status tells callers that their request has not run. */
static bool
promises_not_run(unsigned status)
{
    return status == BBL_STATUS_REQUEST_TIMEOUT ||
           status == BBL_STATUS_MISDIRECTED ||
           status == BBL_STATUS_TOO_MANY_REQUESTS ||
           status == BBL_STATUS_UNAVAILABLE;
}

static bool
is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

static result_class
classify_result(const bbl_forwarder *f, const bbl_attempt_result *r,
                bbl_backend_head *head)
{
    memset(head, 0, sizeof(*head));
    if (r->outcome == BBL_ATTEMPT_UNSENT ||
        r->outcome == BBL_ATTEMPT_SERVER_FULL) {
        return RESULT_NOT_RUN;
    }
    if (r->outcome == BBL_ATTEMPT_BROKEN) {
        return RESULT_FAILURE;
    }
    f->options.dialect->read_backend_head(head, r->status, r->headers,
                                          r->header_count);
    if (head->not_run) {
        return RESULT_NOT_RUN;
    }
    if (r->status >= 500 || head->encoded || promises_not_run(r->status)) {
        return RESULT_FAILURE;
    }
    if (is_success(r->status)) {
        return head->signature.size > 0 ? RESULT_USABLE : RESULT_FAILURE;
    }
    return RESULT_FINAL;
}

/*
 * Returns how long the server took. Excludes the time to open a connection
 * and, as far as it is known, the time until this host read the response.
 */
static bbl_usec
get_server_time(const bbl_attempt *a, bbl_usec now,
                const bbl_attempt_result *r)
{
    bbl_usec sent_at = r->sent_at > a->sent_at ? r->sent_at : a->sent_at;
    bbl_usec arrived_at = r->ready_by != 0 ? r->ready_by : now;

    return bbl_receive_cost_get_server_time(
        &a->timing->receive_cost,
        arrived_at > sent_at ? arrived_at - sent_at : 0,
        a->query != NULL ? a->query->responses : 0);
}

/* Records that a response to a query has been received. */
static void
count_response(bbl_usec now, bbl_query *q)
{
    if (q->responses > 0) {
        bbl_receive_cost_record(&q->timing->receive_cost,
                                now - q->responded_at);
    }
    q->responses++;
    q->responded_at = now;
}

/* Records the rate limit that a response states, or that it states none. */
static void
update_rate_limit(bbl_forwarder *f, bbl_usec now, bbl_backend *b,
                  const bbl_backend_head *head)
{
    bool changed = bbl_rate_limit_update(&b->limit, head->has_rate_limit,
                                         head->rate_limit);

    f->limits_known = f->limits_known || b->limit.limited;
    if (changed || (b->limit.limited &&
                    now >= b->limit.counted_at + BBL_RATE_REPORT_US)) {
        f->options.port.rate_limit_reported(f->options.port.ctx, b);
        bbl_rate_limit_reset_counts(&b->limit, now);
    }
    if (bbl_rate_limit_is_publication_due(&b->limit, now, changed)) {
        f->options.port.publish_rate_limit(f->options.port.ctx, b);
    }
}

void
bbl_backend_mark_leaving(bbl_forwarder *f, bbl_backend *b)
{
    if (!b->backoff.leaving) {
        b->backoff.leaving = true;
        f->options.port.leaving_stated(f->options.port.ctx, b);
    }
}

/* Records what a response asks of this host. */
static void
update_backoff(bbl_forwarder *f, bbl_usec now, bbl_backend *b,
               const bbl_backend_head *head)
{
    unsigned sent_before = 0;

    if (head->leaving) {
        bbl_backend_mark_leaving(f, b);
    }
    if (head->has_backoff &&
        bbl_backoff_begin(&b->backoff, now, head->backoff_ms, &sent_before)) {
        f->options.port.backoff_begun(f->options.port.ctx, b, sent_before);
    }
}

/* Updates the state, the ratings and the load limit of an attempt's server. */
static void
update_server(bbl_forwarder *f, bbl_usec now, bbl_attempt *a,
              const bbl_attempt_result *r, const bbl_backend_head *head,
              result_class m)
{
    bbl_backend *b = a->backend;
    bbl_backend_state before = bbl_backend_get_state(b, now);
    bbl_usec duration = get_server_time(a, now, r);

    if (r->outcome == BBL_ATTEMPT_RESPONSE) {
        b->answered_at = now;
        f->reach.contact_at = now;
        if (!head->wrong_incarnation) {
            update_rate_limit(f, now, b, head);
            update_backoff(f, now, b, head);
        }
    }
    if (m == RESULT_USABLE) {
        bbl_backend_record_response(f, now, a, duration, r->ready_since);
        record_time(a->pressure_pool, now,
                    (double)duration / (double)a->timing->service_time, true);
        bbl_backend_record_result(
            b, now, (double)duration / (double)a->timing->service_time, false);
        if (!a->hedge) {
            bbl_load_limit_record_attempt(
                a->load_limit, now,
                a->timing->samples > 0
                    ? (double)duration / (double)a->timing->uncongested_time
                    : 1,
                a->work, a->request_share);
        }
        if (!a->to_target) {
            update_timing(a->timing, duration, a->load_limit->congested);
        }
    }
    else if (head->wrong_incarnation) {
        b->replaced = true;
        b->replaced_at = now;
    }
    else if (r->outcome == BBL_ATTEMPT_UNSENT) {
        /*
         * The server is not down if the failed connection has already been
         * recorded and showed that the server is only full.
         */
        if (!r->ended_by_host) {
            b->down = b->down || b->full_until <= now;
            b->silent = false;
        }
    }
    else if (m != RESULT_FINAL && r->outcome != BBL_ATTEMPT_SERVER_FULL &&
             !head->has_backoff) {
        bbl_backend_record_result(b, now, 0, true);
        if (m == RESULT_FAILURE) {
            bbl_health_evidence e = {BBL_HEALTH_FAILING, 0, a->sent_at};

            bbl_backend_record_bad(f, now, b, &e, a->late);
        }
    }
    if (m == RESULT_NOT_RUN && r->outcome != BBL_ATTEMPT_UNSENT) {
        f->counters.attempts_refused++;
        b->full_until = now + (r->outcome == BBL_ATTEMPT_SERVER_FULL
                                   ? SERVER_FULL_BACKOFF_US
                                   : REFUSED_BACKOFF_US);
    }
    if (r->outcome == BBL_ATTEMPT_RESPONSE && head->not_run &&
        !head->wrong_incarnation && !head->leaving && !b->limit.limited) {
        record_parts(f, now, a->pressure_pool, 0, 1);
        if (a->query != NULL) {
            a->query->parts_refused++;
        }
    }
    bbl_backend_report_state(f, now, b, before);
}

/*
 * Returns whether the response of a failed attempt may be relayed: a success
 * that nobody signed and a refusal that the server does not vouch for would
 * both tell the caller something that is not known.
 */
static bool
is_relayable(const bbl_attempt_result *r, const bbl_backend_head *head)
{
    return r->outcome == BBL_ATTEMPT_RESPONSE && !head->encoded &&
           !is_success(r->status) && !promises_not_run(r->status);
}

static const char *
describe_failure(const bbl_attempt_result *r, const bbl_backend_head *head)
{
    if (r->outcome != BBL_ATTEMPT_RESPONSE) {
        return r->failure_reason;
    }
    if (head->wrong_incarnation) {
        return "another server has the address";
    }
    if (head->not_run) {
        return "the server refused the request";
    }
    return head->encoded ? "the response has a content encoding"
                         : "the server returned a failure response";
}

/* Finishes a query with the unchanged response of a server. */
static void
relay_response(bbl_forwarder *f, bbl_usec now, bbl_query *q,
               const bbl_backend *server, const bbl_attempt_result *r,
               bbl_forward_reason reason)
{
    bbl_forward_answer a;

    memset(&a, 0, sizeof(a));
    a.status = r->status;
    a.body = r->body;
    a.relayed = r;
    a.leaving = server->backoff.leaving ? server->key : 0;
    bbl_query_finish(f, now, q, reason, &a);
}

/* Adds a usable response to the answer of its query. */
static void
receive_part(bbl_forwarder *f, bbl_usec now, bbl_query *q, bbl_attempt *a,
             const bbl_attempt_result *r, const bbl_backend_head *head)
{
    bbl_shard *s = a->shard;

    if (q->shards_answered == 0 &&
        bbl_crash_ledger_get_generation(&f->crash_ledger, now,
                                        q->request.fingerprint) > 0) {
        f->options.port.suspect_answered(f->options.port.ctx,
                                         q->request.fingerprint);
    }
    if (s->state == BBL_SHARD_ANSWERED) {
        return;
    }
    if (s->state == BBL_SHARD_FAILED) {
        q->shards_failed--;
    }
    s->state = BBL_SHARD_ANSWERED;
    q->shards_answered++;
    f->counters.hedge_wins += a->hedge;
    if (q->route->kind != BBL_ROUTE_GATHER) {
        relay_response(f, now, q, a->backend, r, BBL_FORWARD_OK);
        return;
    }
    if (s->in_flight > 0 && q->route->idempotent &&
        bbl_query_is_limited(q, now)) {
        bbl_query_cancel_attempts(f, now, q, s);
    }
    bbl_query_add_part(q, head->signature, r->body);
    if (!bbl_query_finish_if_decided(f, now, q) && q->shards_answered == 1) {
        bbl_query_process(f, now, q); /* the others may wait for the first */
    }
}

/* Processes a failed attempt; another one may be sent to the shard. */
static void
receive_failure(bbl_forwarder *f, bbl_usec now, bbl_query *q, bbl_attempt *a,
                const bbl_attempt_result *r, const bbl_backend_head *head,
                result_class m)
{
    bbl_shard *s = a->shard;
    bool single = q->route->kind != BBL_ROUTE_GATHER;

    s->failure_reason = describe_failure(r, head);
    if (m == RESULT_NOT_RUN) {
        s->attempts_maybe_run--;
    }
    if (s->state == BBL_SHARD_ANSWERED || s->in_flight > 0) {
        return; /* the attempt in flight decides */
    }
    if (q->delegation != NULL) {
        s->state = BBL_SHARD_PENDING; /* the delegation decides */
        return;
    }
    if (single && m != RESULT_NOT_RUN && is_relayable(r, head) &&
        (m == RESULT_FINAL || !q->route->idempotent ||
         s->attempts_maybe_run >= q->route->max_attempts ||
         bbl_attempt_get_extra_left(f, now, q, s) <= 0)) {
        relay_response(f, now, q, a->backend, r, BBL_FORWARD_FAILED);
        return;
    }
    if (m == RESULT_FAILURE && !q->route->idempotent) {
        s->state = BBL_SHARD_FAILED;
        q->shards_failed++;
    }
    else {
        s->state = BBL_SHARD_PENDING;
    }
    bbl_query_process(f, now, q);
}

/* Counts an attempt that has ended for the rollout of its service. */
static void
count_for_rollout(bbl_forwarder *f, bbl_usec now, const bbl_attempt *a,
                  const bbl_attempt_result *r, const bbl_backend_head *head,
                  result_class m)
{
    bbl_judge_sample *sample =
        a->rollout != 0 ? bbl_rollout_tally_get(&f->tally, a->rollout,
                                                a->route, a->to_target)
                        : NULL;

    if (sample == NULL || r->outcome == BBL_ATTEMPT_UNSENT ||
        head->wrong_incarnation) {
        return;
    }
    if (m == RESULT_NOT_RUN) {
        sample->refused++;
        return;
    }
    sample->ended++;
    sample->failed += m == RESULT_FAILURE;
    sample->slow += m == RESULT_USABLE &&
                    (double)get_server_time(a, now, r) >
                        SLOW_SERVICE_TIMES * (double)a->timing->service_time;
}

void
bbl_attempt_count_cancelled(bbl_forwarder *f, bbl_usec now,
                            const bbl_attempt *a)
{
    bbl_judge_sample *sample =
        a->rollout != 0 ? bbl_rollout_tally_get(&f->tally, a->rollout,
                                                a->route, a->to_target)
                        : NULL;

    if (sample != NULL &&
        (double)(now - a->sent_at) >
            SLOW_SERVICE_TIMES * (double)a->timing->service_time) {
        sample->ended++;
        sample->slow++;
    }
}

void
bbl_forwarder_complete_attempt(bbl_forwarder *f, bbl_usec now, bbl_attempt *a,
                               const bbl_attempt_result *r)
{
    bbl_query *q = a->query;
    bbl_backend_head head;
    result_class m = classify_result(f, r, &head);

    bbl_attempt_unlink(a);
    count_for_rollout(f, now, a, r, &head, m);
    update_server(f, now, a, r, &head, m);
    if (r->outcome == BBL_ATTEMPT_BROKEN && a->fingerprint != 0) {
        bbl_crash_watch_add(&f->crash_watch, now, a->backend->key,
                            a->fingerprint, a->crash_generation + 1,
                            q != NULL ? q->request.request_id
                                      : (bbl_str){"", 0});
    }
    if (q == NULL) {
        bbl_vec_swap_remove(&f->detached_attempts,
                            bbl_vec_find_pointer(&f->detached_attempts, a));
        free(a);
        return;
    }
    bbl_vec_swap_remove(&q->attempts, bbl_vec_find_pointer(&q->attempts, a));
    a->shard->in_flight--;
    q->broken += r->outcome == BBL_ATTEMPT_BROKEN;
    count_response(now, q);
    if (m == RESULT_USABLE) {
        receive_part(f, now, q, a, r, &head);
    }
    else {
        receive_failure(f, now, q, a, r, &head, m);
    }
    free(a);
}

static void
on_server_ended(void *ctx, const bbl_broken_attempt *attempt)
{
    bbl_forwarder *f = ctx;

    f->counters.servers_ended++;
    bbl_crash_alert_raise(&f->crash_alert, attempt->broken_at);
    f->options.port.server_ended(f->options.port.ctx, attempt);
}

void
bbl_forwarder_record_connect(bbl_forwarder *f, bbl_usec now, bbl_backend *b,
                             bool ok, bbl_usec duration)
{
    bbl_backend_state before = bbl_backend_get_state(b, now);

    if (ok) {
        f->reach.contact_at = now;
        bbl_backend_record_connect(b, now, duration);
    }
    else {
        if (before == BBL_BACKEND_USABLE &&
            bbl_backend_is_refusal_time(duration)) {
            bbl_crash_alert_count(&f->crash_alert, now);
        }
        bbl_backend_record_connect_failure(b, now, duration);
        if (b->down) {
            bbl_health_evidence e = {bbl_backend_is_refusal_time(duration)
                                         ? BBL_HEALTH_REFUSING
                                         : BBL_HEALTH_SILENT,
                                     0, now - duration};

            bbl_backend_record_bad(f, now, b, &e, before == BBL_BACKEND_DOWN);
        }
    }
    bbl_backend_report_state(f, now, b, before);
    bbl_crash_watch_resolve(&f->crash_watch, now, b->key,
                            ok ? BBL_CONNECT_OPENED
                            : bbl_backend_is_refusal_time(duration)
                                ? BBL_CONNECT_REFUSED
                                : BBL_CONNECT_TIMED_OUT,
                            on_server_ended, f);
}
