#include "forward/forwarder_core.h"

#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"

/*
 * How long attempts may stay in flight after their request was cancelled, and
 * after the deadline of their query.
 */
#define CANCELLED_GRACE_US (200 * BBL_USEC_PER_MS)
#define LATE_GRACE_US (100 * BBL_USEC_PER_MS)
#define RETRY_AFTER_MS 250 /* if no better estimate is known */
#define RETRY_AFTER_MIN_MS 30
/* Random part of the retry time of a limited service: one in this many. */
#define LIMIT_SPREAD 8
/*
 * While the load of all hosts is limited, a query with enough parts is
 * answered after so many service times: the parts that are missing then are
 * mostly at slow servers.
 */
#define EARLY_ANSWER_SERVICE_TIMES 2
/* A started host receives its first routing within about this time. */
#define NO_ROUTING_RETRY_MS 600
/* For requests that another host can serve at once. */
#define ELSEWHERE_RETRY_MS 5

void
bbl_query_remove(bbl_forwarder *f, bbl_query *q)
{
    bbl_vec_remove(&f->queries, bbl_vec_find_pointer(&f->queries, q));
}

void
bbl_query_detach_attempts(bbl_forwarder *f, bbl_query *q, bbl_usec cancel_at)
{
    for (size_t i = 0; i < q->attempts.size; i++) {
        bbl_attempt *a = *BBL_VEC_AT(bbl_attempt *, &q->attempts, i);

        a->query = NULL;
        a->shard = NULL;
        a->cancel_at = cancel_at;
        bbl_vec_push(&f->detached_attempts, &a);
    }
    q->attempts.size = 0;
}

/*
 * Returns whether an unanswered shard is a cause of the failure of a query: it
 * has no usable server, or all unanswered shards have one.
 */
static bool
is_failure_cause(const bbl_query *q, const bbl_shard *s, bbl_usec now)
{
    if (!bbl_pool_has_usable(s->pool, now)) {
        return true;
    }
    for (unsigned i = 0; i < q->shard_count; i++) {
        if (q->shards[i].state != BBL_SHARD_ANSWERED &&
            !bbl_pool_has_usable(q->shards[i].pool, now)) {
            return false;
        }
    }
    return true;
}

/* Records the first shard that is a cause of the failure of a query. */
static void
record_failure_cause(bbl_usec now, bbl_query *q)
{
    for (unsigned i = 0; i < q->shard_count; i++) {
        const bbl_shard *s = &q->shards[i];
        bbl_forward_record *r = &q->record;

        if (s->state == BBL_SHARD_ANSWERED || !is_failure_cause(q, s, now)) {
            continue;
        }
        r->service = bbl_buf_str(&s->pool->name);
        r->servers = (unsigned)s->pool->backends.size;
        r->failure_reason = s->failure_reason;
        for (size_t k = 0; k < s->pool->backends.size; k++) {
            bbl_backend_state state = bbl_backend_get_state(
                *BBL_VEC_AT(bbl_backend *, &s->pool->backends, k), now);

            r->usable_servers += state == BBL_BACKEND_USABLE;
            if (state != BBL_BACKEND_USABLE &&
                r->unusable_state == BBL_BACKEND_USABLE) {
                r->unusable_state = state;
            }
        }
        return;
    }
}

/*
 * Reports a finished request, and answers it unless `answer` is NULL because
 * it was cancelled.
 */
static void
report_and_answer(bbl_forwarder *f, bbl_usec now, void *request_handle,
                  bbl_forward_record *r, const bbl_forward_answer *answer)
{
    r->list_age = f->list_read_at != 0 ? now - f->list_read_at : BBL_FOREVER;
    f->counters.outcomes[r->reason]++;
    f->options.port.report_request(f->options.port.ctx, r);
    if (answer != NULL) {
        bbl_forward_answer a = *answer;

        a.reason = r->reason;
        a.attempts = r->attempts_maybe_run;
        f->options.port.answer(f->options.port.ctx, request_handle, &a);
    }
}

/*
 * Initializes an error answer of the forwarder. It borrows `fields`, which the
 * caller frees after the answer was sent.
 */
static void
init_error_answer(bbl_forwarder *f, bbl_forward_answer *a, bbl_buf *fields,
                  bbl_forward_reason reason, unsigned status,
                  uint32_t retry_after_ms)
{
    memset(a, 0, sizeof(*a));
    a->status = status;
    if (status == BBL_STATUS_UNAVAILABLE ||
        status == BBL_STATUS_TOO_MANY_REQUESTS) {
        f->options.dialect->append_retry_after(fields, retry_after_ms);
    }
    a->header_lines = bbl_buf_str(fields);
    a->body = (bbl_str){bbl_forward_reason_name(reason),
                        strlen(bbl_forward_reason_name(reason))};
}

void
bbl_forwarder_refuse(bbl_forwarder *f, bbl_usec now,
                     const bbl_forward_request *request,
                     bbl_forward_reason reason, unsigned status,
                     bbl_usec retry_after)
{
    bbl_buf fields = BBL_BUF_INIT;
    bbl_forward_answer a;
    bbl_forward_record r;

    memset(&r, 0, sizeof(r));
    r.request_id = request->request_id;
    r.reason = reason;
    r.status = status;
    r.routing_version = bbl_forwarder_get_routing_version(f);
    r.elapsed = now - request->arrived_at;
    r.fingerprint = request->fingerprint;
    r.delegated_by = request->delegated.host;
    if (retry_after > 0) {
        r.retry_after_ms = (uint32_t)(retry_after / BBL_USEC_PER_MS);
    }
    else if (status == BBL_STATUS_UNAVAILABLE) {
        r.retry_after_ms =
            NO_ROUTING_RETRY_MS +
            (uint32_t)bbl_rng_below(&f->rng, NO_ROUTING_RETRY_MS / 2);
    }
    init_error_answer(f, &a, &fields, reason, status, r.retry_after_ms);
    report_and_answer(f, now, request->request_handle, &r, &a);
    bbl_buf_free(&fields);
}

/*
 * Returns whether a query that is about to be answered may have run, here or
 * at the host that has answered it.
 */
static bool
may_have_run(const bbl_query *q, unsigned status)
{
    return bbl_query_may_have_run(q) ||
           (q->record.delegate != 0 && status != BBL_STATUS_UNAVAILABLE &&
            status != BBL_STATUS_TOO_MANY_REQUESTS &&
            status != BBL_STATUS_REQUEST_TIMEOUT &&
            status != BBL_STATUS_MISDIRECTED);
}

void
bbl_query_finish(bbl_forwarder *f, bbl_usec now, bbl_query *q,
                 bbl_forward_reason reason, const bbl_forward_answer *answer)
{
    /*
     * Attempts of a cancelled request that is not idempotent may complete.
     */
    bbl_usec cancel_at = reason == BBL_FORWARD_LEFT && q->route->idempotent
                             ? now + CANCELLED_GRACE_US
                             : q->deadline + LATE_GRACE_US;
    bbl_forward_record *r = &q->record;

    if (reason != BBL_FORWARD_OK) {
        record_failure_cause(now, q);
    }
    r->reason = reason;
    r->status = answer != NULL ? answer->status : 0;
    r->elapsed = now - q->request.arrived_at;
    r->answered_shards = q->shards_answered;
    r->shards = q->shard_count;
    r->attempts_maybe_run = bbl_query_count_attempts(q);
    if (reason == BBL_FORWARD_OK || reason == BBL_FORWARD_PARTIAL) {
        bbl_histogram_add(&f->counters.latency, (uint32_t)r->elapsed);
    }
    bbl_query_end_admission(f, now, q, may_have_run(q, r->status));
    report_and_answer(f, now, q->request.request_handle, r, answer);
    bbl_query_cancel_delegation(f, q);
    if (q->route->idempotent && bbl_query_is_limited(q, now)) {
        bbl_query_cancel_attempts(f, now, q, NULL);
    }
    bbl_query_detach_attempts(f, q, cancel_at);
    bbl_query_forget_permits(f, q);
    bbl_query_remove(f, q);
    bbl_route_table_release(q->table);
    bbl_query_free(q);
}

/*
 * Returns the time until some server of each shard that failed for a rate
 * limit has a permit again.
 */
static bbl_usec
get_limit_wait(bbl_usec now, const bbl_query *q)
{
    bbl_usec longest = 0;

    for (unsigned i = 0; i < q->shard_count; i++) {
        const bbl_shard *s = &q->shards[i];
        bbl_usec shortest = BBL_FOREVER;

        for (size_t k = 0; s->limited && k < s->pool->backends.size; k++) {
            const bbl_backend *b =
                *BBL_VEC_AT(bbl_backend *, &s->pool->backends, k);
            bbl_usec wait = b->limit.next_permit_at > now
                                ? b->limit.next_permit_at - now
                                : 0;

            if (bbl_backend_get_state(b, now) == BBL_BACKEND_USABLE &&
                wait < shortest) {
                shortest = wait;
            }
        }
        if (shortest != BBL_FOREVER && shortest > longest) {
            longest = shortest;
        }
    }
    return longest;
}

static int
compare_time(const void *a, const void *b)
{
    const bbl_usec *x = a;
    const bbl_usec *y = b;

    return (*x > *y) - (*x < *y);
}

/*
 * Returns the time until the first server of a shard accepts requests again,
 * BBL_FOREVER if none has said when, and 0 if one does now.
 */
static bbl_usec
get_shard_backoff(const bbl_shard *s, bbl_usec now)
{
    bbl_usec shortest = BBL_FOREVER;

    for (size_t i = 0; i < s->pool->backends.size; i++) {
        const bbl_backend *b =
            *BBL_VEC_AT(bbl_backend *, &s->pool->backends, i);
        bbl_backend_state state = bbl_backend_get_state(b, now);
        bbl_usec wait = b->backoff.until > now ? b->backoff.until - now : 0;

        if ((state == BBL_BACKEND_BACKOFF || state == BBL_BACKEND_USABLE) &&
            wait < shortest) {
            shortest = wait;
        }
    }
    return shortest;
}

/*
 * Returns the time until as many shards as a query needs have a server that
 * accepts requests; 0 if this is not known.
 */
static bbl_usec
get_backoff_wait(bbl_usec now, const bbl_query *q)
{
    bbl_usec *waits = bbl_calloc(q->shard_count, sizeof(*waits));
    bbl_usec wait;

    for (unsigned i = 0; i < q->shard_count; i++) {
        waits[i] = get_shard_backoff(&q->shards[i], now);
    }
    qsort(waits, q->shard_count, sizeof(*waits), compare_time);
    wait = waits[q->shards_needed - 1];
    free(waits);
    return wait == BBL_FOREVER ? 0 : wait;
}

static bool
is_limited(const bbl_query *q)
{
    for (unsigned i = 0; i < q->shard_count; i++) {
        if (q->shards[i].limited) {
            return true;
        }
    }
    return false;
}

/*
 * Returns the time after which a refused caller should retry. It is
 * randomized, so that callers refused together do not return together.
 */
static uint32_t
get_retry_after(bbl_forwarder *f, bbl_usec now, const bbl_query *q)
{
    uint32_t ms = RETRY_AFTER_MS;
    bbl_usec backoff;
    bbl_usec wait;

    if (q->route->kind != BBL_ROUTE_GATHER &&
        bbl_pool_has_usable(q->shards[0].pool, now)) {
        /*
         * A server is usable but none has capacity; one becomes free after
         * about one service time.
         */
        ms = (uint32_t)(q->timing->service_time / BBL_USEC_PER_MS);
    }
    wait = bbl_load_limit_get_wait(q->load_limit) / BBL_USEC_PER_MS;
    ms = wait > ms ? (uint32_t)wait : ms;
    wait = get_limit_wait(now, q);
    backoff = get_backoff_wait(now, q);
    wait = (backoff > wait ? backoff : wait) / BBL_USEC_PER_MS;
    if (wait > ms) {
        /* The hosts have been told different times already. */
        return (uint32_t)wait +
               (uint32_t)bbl_rng_below(&f->rng, wait / LIMIT_SPREAD + 1);
    }
    ms = ms < RETRY_AFTER_MIN_MS ? RETRY_AFTER_MIN_MS : ms;
    return ms + (uint32_t)bbl_rng_below(&f->rng, ms);
}

/* Finishes a query with an error answer; record.retry_after_ms is set. */
static void
finish_with_error(bbl_forwarder *f, bbl_usec now, bbl_query *q,
                  bbl_forward_reason reason, unsigned status)
{
    bbl_buf fields = BBL_BUF_INIT;
    bbl_forward_answer a;

    if (status == BBL_STATUS_UNAVAILABLE ||
        status == BBL_STATUS_TOO_MANY_REQUESTS) {
        bbl_query_cancel_unsent(f, q);
        if (bbl_query_may_have_run(q)) {
            /* These statuses state that it has not run. */
            reason = BBL_FORWARD_BROKEN;
            status = BBL_STATUS_BAD_GATEWAY;
            q->record.retry_after_ms = 0;
        }
    }
    init_error_answer(f, &a, &fields, reason, status,
                      q->record.retry_after_ms);
    bbl_query_finish(f, now, q, reason, &a);
    bbl_buf_free(&fields);
}

void
bbl_query_refuse(bbl_forwarder *f, bbl_usec now, bbl_query *q,
                 bbl_forward_reason reason, unsigned status,
                 bbl_usec retry_after)
{
    /* Rounded up: a caller that retries earlier is refused again. */
    q->record.retry_after_ms =
        (uint32_t)((retry_after + BBL_USEC_PER_MS - 1) / BBL_USEC_PER_MS);
    finish_with_error(f, now, q, reason, status);
}

void
bbl_query_fail(bbl_forwarder *f, bbl_usec now, bbl_query *q,
               bbl_forward_reason reason, unsigned status)
{
    if (status == BBL_STATUS_UNAVAILABLE) {
        q->record.retry_after_ms =
            reason == BBL_FORWARD_DRAINING
                ? ELSEWHERE_RETRY_MS +
                      (uint32_t)bbl_rng_below(&f->rng, ELSEWHERE_RETRY_MS)
                : get_retry_after(f, now, q);
    }
    finish_with_error(f, now, q, reason, status);
}

void
bbl_query_finish_merged(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    bbl_buf fields = BBL_BUF_INIT;
    bbl_forward_answer a;

    memset(&a, 0, sizeof(a));
    a.status = 200;
    bbl_query_append_fields(q, f->options.dialect, &fields);
    a.header_lines = bbl_buf_str(&fields);
    a.body = bbl_top_records_get(&q->top_records);
    bbl_query_finish(f, now, q,
                     q->shards_answered == q->shard_count
                         ? BBL_FORWARD_OK
                         : BBL_FORWARD_PARTIAL,
                     &a);
    bbl_buf_free(&fields);
}

unsigned
bbl_query_count_attempts(const bbl_query *q)
{
    unsigned most = 0;

    for (unsigned i = 0; i < q->shard_count; i++) {
        if (q->shards[i].attempts_maybe_run > most) {
            most = q->shards[i].attempts_maybe_run;
        }
    }
    return most;
}

bool
bbl_query_may_have_run(const bbl_query *q)
{
    if (q->delegation != NULL || q->delegation_may_have_run) {
        return true;
    }
    for (unsigned i = 0; i < q->shard_count; i++) {
        if (q->shards[i].attempts_maybe_run > 0) {
            return true;
        }
    }
    return false;
}

void
bbl_query_cancel_unsent(bbl_forwarder *f, bbl_query *q)
{
    for (size_t i = q->attempts.size; i > 0; i--) {
        bbl_attempt *a = *BBL_VEC_AT(bbl_attempt *, &q->attempts, i - 1);

        if (f->options.port.is_sent(f->options.port.ctx, a)) {
            continue;
        }
        f->options.port.cancel(f->options.port.ctx, a);
        f->counters.attempts_cancelled++;
        a->shard->in_flight--;
        a->shard->attempts_maybe_run--;
        bbl_vec_swap_remove(&q->attempts, i - 1);
        bbl_attempt_unlink(a);
        free(a);
    }
    if (q->delegation != NULL && !f->options.port.is_delegation_sent(
                                     f->options.port.ctx, q->delegation)) {
        bbl_query_cancel_delegation(f, q);
    }
}

void
bbl_query_fail_decided(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    bbl_query_cancel_unsent(f, q);
    if (!bbl_query_may_have_run(q)) {
        bbl_query_fail(f, now, q,
                       is_limited(q)  ? BBL_FORWARD_LIMITED
                       : q->attempted ? BBL_FORWARD_BUSY
                                      : BBL_FORWARD_UNAVAILABLE,
                       BBL_STATUS_UNAVAILABLE);
    }
    else {
        bbl_query_fail(f, now, q, BBL_FORWARD_BROKEN, BBL_STATUS_BAD_GATEWAY);
    }
}

/*
 * Finishes a query that can no longer succeed at this host, unless another one
 * may serve it. Returns whether it was finished.
 */
static bool
fail_or_delegate(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    bbl_delegation_cause cause;

    if (q->delegation != NULL ||
        (bbl_query_needs_delegation(&cause, f, now, q) &&
         bbl_query_delegate(f, now, q, BBL_DELEGATE_FAILED))) {
        return false;
    }
    bbl_query_fail_decided(f, now, q);
    return true;
}

bbl_usec
bbl_query_get_answer_time(const bbl_query *q, bbl_usec now)
{
    bbl_usec early =
        q->started_at + EARLY_ANSWER_SERVICE_TIMES * q->timing->service_time;

    return q->route->idempotent && early < q->target_at &&
                   bbl_query_is_limited(q, now)
               ? early
               : q->target_at;
}

bool
bbl_query_finish_if_decided(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    unsigned open = q->shard_count - q->shards_answered - q->shards_failed;

    if (q->route->kind != BBL_ROUTE_GATHER) {
        return q->shards_failed > 0 && fail_or_delegate(f, now, q);
    }
    if (q->shards_answered >= q->shards_needed && q->shards_answered > 0 &&
        (open == 0 || now >= bbl_query_get_answer_time(q, now))) {
        bbl_query_finish_merged(f, now, q);
        return true;
    }
    return (q->shards_answered + open < q->shards_needed || open == 0) &&
           fail_or_delegate(f, now, q);
}
