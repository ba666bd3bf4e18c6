#include "policy/gather.h"

#include <stdlib.h>
#include <string.h>

#include "control/fault.h"
#include "policy/budget.h"
#include "policy/observer.h"
#include "util/alloc.h"
#include "util/rng.h"

#define ATTEMPTS_MAX 12   /* sub-requests for one shard of a query */
#define RESTARTS_MAX 2    /* restarts of one query on newer versions */
#define CANDIDATES_MAX 16 /* replicas compared for one shard */
#define PPM 1000000u
#define LATENCY_SAMPLES_MAX 20000u /* the histogram decays at this count */
#define HEDGE_DELAY_UPDATE_SAMPLES 256u /* between two updates */
#define BACKLOG_FADE_US 20000u /* how long a reported backlog counts */
#define SUSPECT_PENALTY_US 1e6 /* ranks suspect owners after all others */
#define RETRY_DELAY_US 2000u   /* from the second retry on, doubling */
#define RETRY_DOUBLINGS_MAX 4
#define RETRY_AFTER_MS 20u /* sent to the caller with a refusal */

/* One sub-request sent to an owner for one shard of a query. */
typedef struct {
    uint32_t searcher;
    uint32_t owner;
    uint64_t owner_incarnation;
    bbl_usec sent_at;
    bool active;
    bool hedge;
    bool slow; /* the owner has reported that the run is slow */
} attempt;

/* One shard of a query. */
typedef struct {
    uint32_t shard;
    attempt attempts[ATTEMPTS_MAX];
    uint8_t attempt_count;
    uint8_t active_count;
    bool done; /* has an answer, or no further attempt will be made */
    bbl_missing_reason missing; /* latest reason; NONE once answered */
    bbl_usec retry_at; /* time of the next attempt; 0: no retry is planned */
    bbl_buf body;
} part;

typedef enum { QUERY_CLAIMING, QUERY_RUNNING } query_state;

/* One open query. */
typedef struct {
    uint64_t seq;
    void *token;
    query_state state;
    bbl_buf request_id;
    bbl_buf text;
    bbl_name customer;
    bbl_name plan;
    bbl_name service;
    bbl_urgency urgency;
    bool repeatable;
    bool all_shards;
    bool claimed;
    bool may_have_run; /* a searcher may have run some part of it */
    uint32_t *shards;
    size_t shard_count;
    uint32_t coverage_ppm; /* minimum coverage */
    bbl_usec submitted_at;
    bbl_usec deadline;
    uint64_t version;
    unsigned restarts;
    bbl_vec parts;     /* part */
    size_t open_parts; /* parts that are not done */
    int waiting_parts; /* parts whose retry_at is set */
    bool version_gone; /* a part ended since its index version is gone */
    size_t answered_parts;
    uint32_t sub_requests_sent;
} query;

/* A sub-request to send or to cancel. */
typedef struct {
    uint32_t owner;
    bblx_sub sub;
} pending_send;

/* A part whose only active attempt is slow, late or at a suspect owner. */
typedef struct {
    query *q;
    part *p;
    bbl_usec sent_at;
    bool slow;
    bool owner_suspect; /* the hedge is not charged to the budget */
} hedge_candidate;

struct bbl_gather {
    bbl_gather_options options;
    const bbl_view *view;
    bbl_admission admission;
    bbl_rng rng;
    bbl_map queries;    /* seq -> query */
    bbl_vec query_list; /* query *, the same queries, for iteration */
    bbl_observer observer;
    uint64_t next_seq;
    bbl_budget hedge_budget;
    bbl_budget retry_budget;
    bbl_histogram sub_latency;
    unsigned new_samples; /* latencies since hedge_delay was computed */
    bbl_usec hedge_delay;
    bbl_vec pending_sends;    /* pending_send, scratch */
    bbl_vec subs;             /* bblx_sub, scratch */
    bbl_vec hedge_candidates; /* hedge_candidate, scratch */
    bbl_gather_counters counters;
};

/* ---- names ---- */

const char *
bbl_answer_kind_name(bbl_answer_kind kind)
{
    static const char *const names[] = {
        "ok",         "not-run",     "outcome-unknown",
        "incomplete", "bad-request", "recorded",
    };

    return names[kind];
}

const char *
bbl_missing_reason_name(bbl_missing_reason missing)
{
    static const char *const names[] = {
        "none",      "no-replica", "no-such-shard",      "withdrawn",
        "deadline",  "refused",    "index-version-gone", "failed",
        "truncated",
    };

    return names[missing];
}

/* ---- replica policies ---- */

static size_t
choose_least(const double *scores, size_t count, uint64_t random)
{
    size_t best = (size_t)(random % count);

    for (size_t i = 0; i < count; i++) {
        if (scores[i] < scores[best]) {
            best = i;
        }
    }
    return best;
}

static size_t
choose_random(const double *scores, size_t count, uint64_t random)
{
    (void)scores;
    return (size_t)(random % count);
}

const bbl_replica_policy bbl_replica_least_wait = {"least-wait", choose_least};
const bbl_replica_policy bbl_replica_random = {"random", choose_random};

/* ---- hedge delay ---- */

static void
record_latency(bbl_gather *g, bbl_usec us)
{
    double quantile = 1.0 - (double)g->options.hedge_tail_ppm / PPM;

    bbl_histogram_add(&g->sub_latency,
                      us > UINT32_MAX ? UINT32_MAX : (uint32_t)us);
    if (g->sub_latency.count >= LATENCY_SAMPLES_MAX) {
        bbl_histogram_decay(&g->sub_latency);
    }
    if (++g->new_samples < HEDGE_DELAY_UPDATE_SAMPLES) {
        return;
    }
    g->new_samples = 0;
    g->hedge_delay = bbl_histogram_quantile(&g->sub_latency, quantile);
    if (g->hedge_delay < g->options.hedge_delay_min) {
        g->hedge_delay = g->options.hedge_delay_min;
    }
}

/* ---- queries ---- */

/* Sets the time of the next attempt for a part; 0 clears it. */
static void
set_retry_time(query *q, part *p, bbl_usec at)
{
    q->waiting_parts += (at != 0) - (p->retry_at != 0);
    p->retry_at = at;
}

static void
free_parts(query *q)
{
    for (size_t i = 0; i < q->parts.size; i++) {
        bbl_buf_free(&BBL_VEC_AT(part, &q->parts, i)->body);
    }
    bbl_vec_free(&q->parts);
}

static void
free_query(query *q)
{
    free_parts(q);
    bbl_buf_free(&q->request_id);
    bbl_buf_free(&q->text);
    free(q->shards);
    free(q);
}

static void
remove_query(bbl_gather *g, query *q)
{
    size_t at;

    bbl_map_remove(&g->queries, q->seq);
    at = bbl_vec_find_pointer(&g->query_list, q);
    if (at < g->query_list.size) {
        bbl_vec_swap_remove(&g->query_list, at);
    }
    free_query(q);
}

static void
end_attempt(part *p, attempt *a)
{
    if (a->active) {
        a->active = false;
        p->active_count--;
    }
}

static int
compare_pending_sends(const void *a, const void *b)
{
    const pending_send *x = a;
    const pending_send *y = b;

    return x->owner < y->owner ? -1 : x->owner > y->owner;
}

/*
 * Calls `handle_owner` once for each owner in g->pending_sends, with the
 * sub-requests of that owner in g->subs, and empties the list.
 */
static void
group_by_owner(bbl_gather *g, query *q, bbl_usec now,
               void (*handle_owner)(bbl_gather *g, query *q, bbl_usec now,
                                    uint32_t owner))
{
    if (g->pending_sends.size == 0) {
        return;
    }
    qsort(g->pending_sends.ptr, g->pending_sends.size, sizeof(pending_send),
          compare_pending_sends);
    g->subs.size = 0;
    for (size_t i = 0; i < g->pending_sends.size; i++) {
        const pending_send *o = bbl_vec_at(&g->pending_sends, i);
        bool last =
            i + 1 == g->pending_sends.size ||
            BBL_VEC_AT(pending_send, &g->pending_sends, i + 1)->owner !=
                o->owner;

        bbl_vec_push(&g->subs, &o->sub);
        if (last) {
            handle_owner(g, q, now, o->owner);
            g->subs.size = 0;
        }
    }
    g->pending_sends.size = 0;
}

static bblx_query_id
query_wire_id(const bbl_gather *g, const query *q)
{
    return (bblx_query_id){g->options.host, g->options.incarnation, q->seq};
}

static void
send_group(bbl_gather *g, query *q, bbl_usec now, uint32_t owner)
{
    bblx_sub_request r;
    bbl_usec left = q->deadline - g->options.answer_margin - now;

    memset(&r, 0, sizeof(r));
    r.query = query_wire_id(g, q);
    r.index_version = q->version;
    r.deadline_us = left > UINT32_MAX ? UINT32_MAX : (u_int)left;
    r.urgency = q->urgency;
    r.repeatable = q->repeatable;
    r.plan = bbl_name_to_wire(&q->plan);
    r.text = bbl_wire_text_borrow(bbl_buf_str(&q->text));
    r.subs.subs_len = (u_int)g->subs.size;
    r.subs.subs_val = g->subs.ptr;
    bbl_observer_record_request(&g->observer, now, owner);
    g->options.port.send(g->options.port.ctx, owner, &r);
}

static void
cancel_group(bbl_gather *g, query *q, bbl_usec now, uint32_t owner)
{
    bblx_sub_cancel c;
    u_int *numbers = bbl_calloc(g->subs.size, sizeof(*numbers));

    (void)now;
    for (size_t i = 0; i < g->subs.size; i++) {
        numbers[i] = BBL_VEC_AT(bblx_sub, &g->subs, i)->sub;
    }
    c.query = query_wire_id(g, q);
    c.subs.subs_len = (u_int)g->subs.size;
    c.subs.subs_val = numbers;
    g->options.port.cancel(g->options.port.ctx, owner, &c);
    free(numbers);
}

static uint32_t
sub_number(const query *q, const part *p, unsigned attempt_place)
{
    size_t i = (size_t)(p - (const part *)q->parts.ptr);

    return (uint32_t)(i * ATTEMPTS_MAX + attempt_place);
}

/* Ends one active attempt and queues its cancellation. */
static void
cancel_attempt(bbl_gather *g, query *q, part *p, attempt *a)
{
    unsigned place = (unsigned)(a - p->attempts);
    pending_send o = {a->owner, {.sub = sub_number(q, p, place)}};

    end_attempt(p, a);
    bbl_vec_push(&g->pending_sends, &o);
}

/* Ends all active attempts of a part and queues their cancellation. */
static void
cancel_part(bbl_gather *g, query *q, part *p)
{
    for (unsigned i = 0; i < p->attempt_count; i++) {
        if (p->attempts[i].active) {
            cancel_attempt(g, q, p, &p->attempts[i]);
        }
    }
}

/* ---- replica choice ---- */

/* Why no replica could be chosen; transient: one may become usable. */
typedef struct {
    bbl_missing_reason reason;
    bool transient;
} choice_failure;

static bool
has_attempt(const part *p, uint32_t searcher, bool active_only)
{
    for (unsigned i = 0; i < p->attempt_count; i++) {
        const attempt *a = &p->attempts[i];

        if (a->searcher == searcher && (a->active || !active_only)) {
            return true;
        }
    }
    return false;
}

static bool
is_candidate(const bbl_gather *g, const query *q, const bbl_view_searcher *s,
             choice_failure *why)
{
    const bbl_lists *lists = bbl_view_lists(g->view);
    const bbl_plan *plan =
        lists ? bbl_lists_plan_by_name(lists, &q->plan) : NULL;

    if (lists != NULL && !BBL_FAULT(BBL_FAULT_USE_WITHDRAWN_ZONE) &&
        bbl_lists_zone_withdrawn_for_plan(lists, plan, &s->zone)) {
        why->reason = BBL_MISSING_WITHDRAWN;
        return false;
    }
    if (!bbl_view_searcher_usable(s)) {
        why->transient = why->transient || !s->owner_live || !s->reported ||
                         s->phase == BBLX_HELD;
        return false;
    }
    return true;
}

/*
 * Chooses a usable replica for a part by the replica policy: among those that
 * were not tried yet or, if there are none, among those without an active
 * attempt. If there are none either, returns the replica that is running the
 * part if `same` is set. Otherwise returns NULL and sets `why`.
 */
static const bbl_view_searcher *
choose_replica(bbl_gather *g, const query *q, const part *p, bool same,
               bbl_usec now, choice_failure *why)
{
    const bbl_view_index *x = bbl_view_find_index(g->view, q->version);
    const bbl_view_searcher *untried[CANDIDATES_MAX];
    const bbl_view_searcher *tried[CANDIDATES_MAX];
    const bbl_view_searcher **pool = untried;
    const bbl_view_searcher *running = NULL;
    double scores[CANDIDATES_MAX];
    size_t untried_count = 0;
    size_t tried_count = 0;
    size_t count;

    *why = (choice_failure){BBL_MISSING_NO_REPLICA, false};
    if (x == NULL) {
        why->reason = BBL_MISSING_VERSION_GONE;
        return NULL;
    }
    if (p->shard >= x->shard_total) {
        why->reason = BBL_MISSING_NO_SUCH_SHARD;
        return NULL;
    }
    for (uint32_t i = x->offsets[p->shard]; i < x->offsets[p->shard + 1];
         i++) {
        const bbl_view_searcher *s = bbl_view_searcher_at(g->view, x->rows[i]);

        if (!is_candidate(g, q, s, why)) {
            continue;
        }
        if (has_attempt(p, s->searcher, true)) {
            running = s;
            continue;
        }
        if (!has_attempt(p, s->searcher, false) &&
            untried_count < CANDIDATES_MAX) {
            untried[untried_count++] = s;
        }
        else if (tried_count < CANDIDATES_MAX) {
            tried[tried_count++] = s;
        }
    }
    count = untried_count;
    if (untried_count == 0) {
        pool = tried;
        count = tried_count;
    }
    if (count == 0) {
        return same ? running : NULL;
    }
    for (size_t i = 0; i < count; i++) {
        scores[i] = bbl_observer_expected_wait(&g->observer, now, pool[i]);
        if (bbl_observer_is_suspect(&g->observer, pool[i]->owner)) {
            scores[i] += SUSPECT_PENALTY_US;
        }
    }
    return pool[g->options.replica_policy->choose(scores, count,
                                                  bbl_rng_next(&g->rng))];
}

static void
add_attempt(bbl_gather *g, query *q, part *p, const bbl_view_searcher *s,
            bool hedge, bbl_usec now)
{
    attempt *a = &p->attempts[p->attempt_count];
    pending_send o = {s->owner,
                      {sub_number(q, p, p->attempt_count), p->shard,
                       s->searcher, hedge, p->attempt_count > 0}};

    a->searcher = s->searcher;
    a->owner = s->owner;
    a->owner_incarnation = s->incarnation;
    a->sent_at = now;
    a->active = true;
    a->hedge = hedge;
    p->attempt_count++;
    p->active_count++;
    set_retry_time(q, p, 0);
    q->sub_requests_sent++;
    bbl_observer_record_send(&g->observer, s->searcher);
    bbl_vec_push(&g->pending_sends, &o);
}

/* ---- end of a query ---- */

static bool
is_complete(const query *q)
{
    return q->parts.size > 0 && q->answered_parts == q->parts.size;
}

static bool
has_min_coverage(const query *q)
{
    uint64_t need = (uint64_t)q->parts.size * q->coverage_ppm;

    return (uint64_t)q->answered_parts * PPM >= need;
}

static void
classify(const query *q, bbl_answer *a)
{
    if (is_complete(q) ||
        (q->repeatable && has_min_coverage(q) && q->answered_parts > 0)) {
        a->kind = BBL_ANSWER_OK;
        a->reason = "";
    }
    else if (!q->may_have_run || BBL_FAULT(BBL_FAULT_ALWAYS_NOT_RUN)) {
        a->kind = BBL_ANSWER_NOT_RUN;
        a->reason = "no searcher could take it in time";
        a->retry_after_ms = RETRY_AFTER_MS;
    }
    else if (!q->repeatable) {
        a->kind = BBL_ANSWER_UNKNOWN;
        a->reason = "a searcher may have run it";
    }
    else {
        a->kind = BBL_ANSWER_INCOMPLETE;
        a->reason = "coverage is below what is accepted";
    }
}

static void
deliver_answer(bbl_gather *g, query *q, bbl_usec now, bbl_answer *a)
{
    bbl_usec elapsed = now - q->submitted_at;

    a->elapsed = elapsed;
    a->sub_requests_sent = q->sub_requests_sent;
    a->claimed = q->claimed;
    g->counters.answered[a->kind]++;
    bbl_histogram_add(&g->counters.latency_us,
                      elapsed > UINT32_MAX ? UINT32_MAX : (uint32_t)elapsed);
    g->options.port.answer(g->options.port.ctx, q->token, a);
    bbl_admission_release(&g->admission, &q->plan);
    remove_query(g, q);
}

static void
finish_query(bbl_gather *g, query *q, bbl_usec now)
{
    bbl_answer answer;
    bbl_answer_shard *shards = bbl_calloc(q->parts.size, sizeof(*shards));

    for (size_t i = 0; i < q->parts.size; i++) {
        part *p = bbl_vec_at(&q->parts, i);

        q->may_have_run = q->may_have_run || p->active_count > 0;
        cancel_part(g, q, p);
        shards[i].shard = p->shard;
        shards[i].missing = p->missing;
        shards[i].body = bbl_buf_str(&p->body);
        g->counters.missing[p->missing]++;
    }
    g->counters.shards_requested += q->parts.size;
    group_by_owner(g, q, now, cancel_group);
    memset(&answer, 0, sizeof(answer));
    answer.version = q->version;
    answer.shards = shards;
    answer.shard_count = q->parts.size;
    answer.answered_count = q->answered_parts;
    classify(q, &answer);
    deliver_answer(g, q, now, &answer);
    free(shards);
}

static void
close_part(query *q, part *p, bbl_missing_reason missing)
{
    p->done = true;
    p->missing = missing;
    set_retry_time(q, p, 0);
    q->version_gone = q->version_gone || missing == BBL_MISSING_VERSION_GONE;
    q->open_parts--;
    q->answered_parts += missing == BBL_MISSING_NONE;
}

/* ---- start of a query ---- */

/*
 * Selects an index version above `after` and creates the parts of the query
 * for it. Returns false if there is no such version or it has no shards.
 */
static bool
pin_version(bbl_gather *g, query *q, uint64_t after)
{
    const uint32_t *wanted = q->all_shards ? NULL : q->shards;
    const bbl_view_index *x =
        bbl_view_select_index(g->view, wanted, q->shard_count, after);
    uint32_t first = 0;
    uint32_t count;

    if (x == NULL) {
        return false;
    }
    count = x->shard_total;
    if (q->service.size > 0 &&
        bbl_view_find_service_shards(g->view, x->version, &q->service, &first,
                                     &count) != 0) {
        return false;
    }
    if (!q->all_shards && q->service.size == 0) {
        count = (uint32_t)q->shard_count;
    }
    q->version = x->version;
    free_parts(q);
    q->parts = (bbl_vec)BBL_VEC_INIT(part);
    for (uint32_t i = 0; i < count; i++) {
        part *p = bbl_vec_add(&q->parts);

        p->shard = q->all_shards ? first + i : q->shards[i];
        p->missing = BBL_MISSING_DEADLINE;
    }
    q->open_parts = count;
    q->waiting_parts = 0;
    q->version_gone = false;
    q->answered_parts = 0;
    return count > 0;
}

/*
 * Adds an attempt for a part. Without a usable replica it closes the part, or
 * sets a retry time if the cause is transient.
 */
static void
start_part(bbl_gather *g, query *q, part *p, bbl_usec now)
{
    choice_failure why;
    const bbl_view_searcher *s;

    if (p->attempt_count == ATTEMPTS_MAX) {
        close_part(q, p, p->missing);
        return;
    }
    s = choose_replica(g, q, p, false, now, &why);
    if (s != NULL) {
        add_attempt(g, q, p, s, false, now);
        return;
    }
    if (!why.transient) {
        close_part(q, p, why.reason);
        return;
    }
    p->missing = why.reason;
    set_retry_time(q, p, now + RETRY_DELAY_US);
}

static void
start_query(bbl_gather *g, query *q, bbl_usec now)
{
    q->state = QUERY_RUNNING;
    for (size_t i = 0; i < q->parts.size; i++) {
        start_part(g, q, bbl_vec_at(&q->parts, i), now);
        g->counters.first_sends++;
        bbl_budget_earn(&g->hedge_budget, g->options.hedge_budget_ppm);
        bbl_budget_earn(&g->retry_budget, g->options.retry_budget_ppm);
    }
    group_by_owner(g, q, now, send_group);
    if (q->open_parts == 0) {
        finish_query(g, q, now);
    }
}

/*
 * Restarts a repeatable query on a newer index version. Returns false if the
 * query was not restarted.
 */
static bool
restart_query(bbl_gather *g, query *q, bbl_usec now)
{
    uint64_t old = q->version;

    if (!q->repeatable || q->restarts == RESTARTS_MAX ||
        bbl_view_select_index(g->view, q->all_shards ? NULL : q->shards,
                              q->shard_count, old) == NULL) {
        return false;
    }
    for (size_t i = 0; i < q->parts.size; i++) {
        cancel_part(g, q, bbl_vec_at(&q->parts, i));
    }
    group_by_owner(g, q, now, cancel_group);
    bbl_map_remove(&g->queries, q->seq);
    if (!BBL_FAULT(BBL_FAULT_STALE_RESULTS)) {
        q->seq = ++g->next_seq; /* late results match no query */
    }
    bbl_map_set(&g->queries, q->seq, q);
    q->restarts++;
    g->counters.restarts++;
    if (!pin_version(g, q, old)) {
        return false;
    }
    start_query(g, q, now);
    return true;
}

/* ---- submission ---- */

static void
refuse_submission(bbl_gather *g, void *token, bbl_answer_kind kind,
                  const char *reason, uint32_t retry_after_ms)
{
    bbl_answer a;

    memset(&a, 0, sizeof(a));
    a.kind = kind;
    a.reason = reason;
    a.retry_after_ms = retry_after_ms;
    g->counters.answered[kind]++;
    g->options.port.answer(g->options.port.ctx, token, &a);
}

static query *
create_query(bbl_gather *g, bbl_usec now, const bbl_query *in,
             const bbl_plan *plan, void *token)
{
    query *q = bbl_calloc(1, sizeof(*q));

    q->seq = ++g->next_seq;
    q->token = token;
    bbl_buf_append(&q->request_id, in->request_id.ptr, in->request_id.size);
    bbl_buf_append(&q->text, in->text.ptr, in->text.size);
    q->customer = in->customer;
    q->plan = plan->name;
    q->service = in->service;
    q->urgency = in->urgency;
    q->repeatable = in->repeatable;
    q->all_shards = in->all_shards || in->service.size > 0;
    q->shard_count = in->shard_count;
    q->shards =
        (uint32_t *)bbl_memdup(in->shards, in->shard_count * sizeof(uint32_t));
    q->coverage_ppm = PPM;
    if (plan->partial) {
        q->coverage_ppm = plan->min_coverage_ppm;
        if (in->coverage_ppm != UINT32_MAX &&
            in->coverage_ppm > q->coverage_ppm) {
            q->coverage_ppm = in->coverage_ppm;
        }
    }
    q->submitted_at = now;
    q->deadline = in->deadline;
    q->parts = (bbl_vec)BBL_VEC_INIT(part);
    bbl_map_set(&g->queries, q->seq, q);
    bbl_vec_push(&g->query_list, &q);
    return q;
}

/* Returns whether a shard is not expected to answer before the deadline. */
static bool
is_overloaded(bbl_gather *g, const query *q, bbl_usec now)
{
    const bbl_view_index *x = bbl_view_find_index(g->view, q->version);
    double left = (double)(q->deadline - now);

    for (size_t i = 0; i < q->parts.size; i++) {
        const part *p = bbl_vec_at(&q->parts, i);
        double shortest = 0;

        if (p->shard >= x->shard_total) {
            continue;
        }
        for (uint32_t k = x->offsets[p->shard]; k < x->offsets[p->shard + 1];
             k++) {
            double wait = bbl_observer_expected_wait(
                &g->observer, now, bbl_view_searcher_at(g->view, x->rows[k]));

            shortest = shortest == 0 || wait < shortest ? wait : shortest;
        }
        if (shortest > left) {
            return true;
        }
    }
    return false;
}

static void
refuse_query(bbl_gather *g, query *q, bbl_usec now, const char *reason)
{
    bbl_answer a;

    memset(&a, 0, sizeof(a));
    a.kind = BBL_ANSWER_NOT_RUN;
    a.reason = reason;
    a.retry_after_ms = RETRY_AFTER_MS;
    deliver_answer(g, q, now, &a);
}

/* Refuses a query that this daemon cannot accept now; true if refused. */
static bool
refuse_early(bbl_gather *g, bbl_usec now, bbl_usec lease_until,
             const bbl_query *in, void *token)
{
    const char *reason = NULL;

    if (in->deadline <= now + g->options.answer_margin) {
        reason = "the deadline has passed";
    }
    else if (now >= lease_until || g->view == NULL ||
             bbl_view_lists(g->view) == NULL) {
        reason = "this host may not take work now";
    }
    else if (g->query_list.size >= g->options.queries_max) {
        reason = "too many queries at once";
    }
    if (reason == NULL) {
        return false;
    }
    refuse_submission(g, token, BBL_ANSWER_NOT_RUN, reason, RETRY_AFTER_MS);
    return true;
}

void
bbl_gather_submit(bbl_gather *g, bbl_usec now, bbl_usec lease_until,
                  int64_t wall_sec, const bbl_query *in, void *token)
{
    bbl_admission_request request;
    const bbl_plan *plan;
    uint32_t retry_after;
    bbl_admission_result admit;
    query *q;

    g->counters.queries++;
    if (refuse_early(g, now, lease_until, in, token)) {
        return;
    }
    request.customer = in->customer;
    request.urgency = in->urgency;
    request.time_left = in->deadline - now;
    request.wall_sec = wall_sec;
    request.daemons = bbl_view_live_count(g->view);
    admit = bbl_admission_acquire(&g->admission, now, bbl_view_lists(g->view),
                                  &request, &plan, &retry_after);
    if (admit != BBL_ADMIT_OK) {
        refuse_submission(g, token, BBL_ANSWER_NOT_RUN,
                          bbl_admission_result_name(admit), retry_after);
        return;
    }
    q = create_query(g, now, in, plan, token);
    if (!pin_version(g, q, 0)) {
        refuse_query(g, q, now, "no index version is known for it");
        return;
    }
    if (is_overloaded(g, q, now)) {
        refuse_query(g, q, now, "overloaded");
        return;
    }
    if (!q->repeatable) {
        q->state = QUERY_CLAIMING;
        g->options.port.claim(g->options.port.ctx, q->seq, &q->customer,
                              bbl_buf_str(&q->request_id));
        return;
    }
    start_query(g, q, now);
}

void
bbl_gather_complete_claim(bbl_gather *g, bbl_usec now, uint64_t seq,
                          bbl_claim_outcome outcome, bbl_str recorded)
{
    query *q = bbl_map_get(&g->queries, seq);
    bbl_answer a;

    if (q == NULL || q->state != QUERY_CLAIMING) {
        return;
    }
    memset(&a, 0, sizeof(a));
    switch (outcome) {
    case BBL_CLAIM_GRANTED:
        q->claimed = true;
        if (now + g->options.answer_margin >= q->deadline) {
            refuse_query(g, q, now, "the deadline passed while claiming");
            return;
        }
        start_query(g, q, now);
        return;
    case BBL_CLAIM_RECORDED:
        a.kind = BBL_ANSWER_RECORDED;
        a.reason = "";
        a.recorded_outcome = recorded;
        break;
    case BBL_CLAIM_EXISTS:
        a.kind = BBL_ANSWER_UNKNOWN;
        a.reason = "claimed earlier; its outcome is not known";
        break;
    case BBL_CLAIM_FAILED:
        a.kind = BBL_ANSWER_NOT_RUN;
        a.reason = "it could not be claimed";
        a.retry_after_ms = RETRY_AFTER_MS;
        break;
    case BBL_CLAIM_UNCONFIRMED:
        /* This host sent nothing, but an earlier request may have run. */
        a.kind = BBL_ANSWER_UNKNOWN;
        a.reason = "the claim was not confirmed in time";
        break;
    }
    deliver_answer(g, q, now, &a);
}

/* ---- results ---- */

/*
 * Closes a part whose attempt ended without an answer, or plans a retry. With
 * `unrun` the retry is not charged to the budget and is allowed for queries
 * that may not be repeated.
 */
static void
handle_failed_attempt(bbl_gather *g, query *q, part *p, bbl_usec now,
                      bool unrun)
{
    if (p->active_count > 0) {
        return; /* another attempt may still answer */
    }
    if (!unrun && !BBL_FAULT(BBL_FAULT_UNSAFE_RETRY) &&
        (!q->repeatable || !bbl_budget_spend(&g->retry_budget, true))) {
        close_part(q, p, p->missing);
        return;
    }
    if (p->attempt_count == ATTEMPTS_MAX) {
        close_part(q, p, p->missing);
        return;
    }
    g->counters.retries++;
    set_retry_time(q, p, now);
    if (p->attempt_count >= 2) {
        unsigned doublings = (unsigned)p->attempt_count - 2;

        if (doublings > RETRY_DOUBLINGS_MAX) {
            doublings = RETRY_DOUBLINGS_MAX;
        }
        set_retry_time(q, p, now + (RETRY_DELAY_US << doublings));
    }
}

/* Retries a part that the owner sent back unrun since its queue was long. */
static void
handle_busy_attempt(query *q, part *p, bbl_usec now)
{
    if (p->active_count == 0) {
        set_retry_time(q, p, now);
    }
}

static void
handle_answer(bbl_gather *g, query *q, part *p, const attempt *a,
              const bblx_sub_result *r, bbl_usec now)
{
    bbl_buf_append(&p->body, r->body.bblx_text_val, r->body.bblx_text_len);
    record_latency(g, now - p->attempts[0].sent_at);
    g->counters.hedge_wins += a->hedge;
    cancel_part(g, q, p);
    close_part(q, p, BBL_MISSING_NONE);
}

static void
handle_result(bbl_gather *g, query *q, part *p, attempt *a,
              const bblx_sub_result *r, bbl_usec now)
{
    end_attempt(p, a);
    switch (r->status) {
    case BBLX_SUB_OK:
        q->may_have_run = true;
        bbl_observer_add_service_time(&g->observer, a->searcher,
                                      r->service_us);
        if (r->index_version != q->version &&
            !BBL_FAULT(BBL_FAULT_STALE_RESULTS)) {
            g->counters.foreign_results++;
            p->missing = BBL_MISSING_VERSION_GONE;
            handle_failed_attempt(g, q, p, now, false);
            return;
        }
        handle_answer(g, q, p, a, r, now);
        return;
    case BBLX_SUB_SLOW:
    case BBLX_SUB_STARTED:
        return; /* the attempt goes on; receive_result handles these */
    case BBLX_SUB_BUSY:
        p->missing = BBL_MISSING_REFUSED;
        g->counters.busy_refusals++;
        handle_busy_attempt(q, p, now);
        return;
    case BBLX_SUB_NOT_RUN:
        p->missing = BBL_MISSING_REFUSED;
        handle_failed_attempt(g, q, p, now, true);
        return;
    case BBLX_SUB_VERSION_GONE:
        q->may_have_run = q->may_have_run || q->repeatable;
        p->missing = BBL_MISSING_VERSION_GONE;
        handle_failed_attempt(g, q, p, now, true);
        return;
    case BBLX_SUB_LOST:
        q->may_have_run = true;
        p->missing = BBL_MISSING_FAILED;
        /* A lost run uses no slot, so its retry is not charged. */
        handle_failed_attempt(g, q, p, now, q->repeatable);
        return;
    case BBLX_SUB_TRUNCATED:
        q->may_have_run = true;
        p->missing = BBL_MISSING_TRUNCATED;
        handle_failed_attempt(g, q, p, now, false);
        return;
    case BBLX_SUB_FAILED:
    case BBLX_SUB_CANCELLED:
        q->may_have_run = true;
        p->missing = BBL_MISSING_FAILED;
        handle_failed_attempt(g, q, p, now, false);
        return;
    }
}

/*
 * Retries the parts whose delay has passed, then restarts or finishes the
 * query if that is due. Returns false if the query was restarted or finished.
 */
static bool
advance_query(bbl_gather *g, query *q, bbl_usec now)
{
    for (size_t i = 0; q->waiting_parts > 0 && i < q->parts.size; i++) {
        part *p = bbl_vec_at(&q->parts, i);

        if (!p->done && p->retry_at != 0 && now >= p->retry_at) {
            start_part(g, q, p, now);
        }
    }
    group_by_owner(g, q, now, send_group);
    if (q->version_gone && restart_query(g, q, now)) {
        return false;
    }
    if (q->open_parts == 0) {
        finish_query(g, q, now);
        return false;
    }
    return true;
}

/*
 * Returns the active attempt that a result belongs to and its part, or counts
 * the result as foreign or late and returns NULL.
 */
static attempt *
find_attempt(bbl_gather *g, query *q, uint32_t owner, const bblx_sub_result *r,
             part **out)
{
    size_t place = r->sub / ATTEMPTS_MAX;
    part *p;
    attempt *a;

    if (place >= q->parts.size) {
        g->counters.foreign_results++;
        return NULL;
    }
    p = bbl_vec_at(&q->parts, place);
    a = &p->attempts[r->sub % ATTEMPTS_MAX];
    if (r->sub % ATTEMPTS_MAX >= p->attempt_count ||
        a->searcher != r->searcher || a->owner != owner) {
        g->counters.foreign_results++;
        return NULL;
    }
    if (!a->active || p->done) {
        g->counters.late_results++;
        return NULL;
    }
    *out = p;
    return a;
}

/*
 * Cancels the slow attempts of a part once its hedge has started to run, to
 * free their slots. If the hedge fails, the part is retried.
 */
static void
cancel_slow_attempts(bbl_gather *g, query *q, part *p, const attempt *hedge)
{
    for (unsigned i = 0; i < p->attempt_count; i++) {
        attempt *a = &p->attempts[i];

        if (a->active && a->slow && a != hedge) {
            g->counters.replaced++;
            q->may_have_run = true;
            cancel_attempt(g, q, p, a);
        }
    }
}

static void
receive_result(bbl_gather *g, uint32_t owner, const bblx_sub_result *r,
               bbl_usec now)
{
    query *q = bbl_map_get(&g->queries, r->seq);
    part *p = NULL;
    attempt *a;

    if (q == NULL || q->state != QUERY_RUNNING) {
        g->counters.late_results++;
        return;
    }
    a = find_attempt(g, q, owner, r, &p);
    if (a == NULL) {
        return;
    }
    if (r->status == BBLX_SUB_SLOW) {
        a->slow = true;
        return;
    }
    if (r->status == BBLX_SUB_STARTED) {
        cancel_slow_attempts(g, q, p, a);
        group_by_owner(g, q, now, cancel_group);
        return;
    }
    handle_result(g, q, p, a, r, now);
    group_by_owner(g, q, now, cancel_group);
    advance_query(g, q, now);
}

void
bbl_gather_receive_results(bbl_gather *g, bbl_usec now, uint32_t owner,
                           const bblx_sub_results *results)
{
    if (results->incarnation != g->options.incarnation) {
        g->counters.late_results += results->results.results_len;
        return;
    }
    bbl_observer_record_response(&g->observer, owner);
    for (u_int i = 0; i < results->loads.loads_len; i++) {
        bbl_observer_update_backlog(&g->observer, now,
                                    &results->loads.loads_val[i]);
    }
    for (u_int i = 0; i < results->results.results_len; i++) {
        receive_result(g, owner, &results->results.results_val[i], now);
    }
}

/* ---- ticks ---- */

static void
expire_query(bbl_gather *g, query *q, bbl_usec now)
{
    if (q->state == QUERY_CLAIMING) {
        bbl_gather_complete_claim(g, now, q->seq, BBL_CLAIM_UNCONFIRMED,
                                  (bbl_str){NULL, 0});
        return;
    }
    for (size_t i = 0; i < q->parts.size; i++) {
        part *p = bbl_vec_at(&q->parts, i);

        if (!p->done && p->active_count > 0) {
            p->missing = BBL_MISSING_DEADLINE;
        }
    }
    finish_query(g, q, now);
}

/* Sorts slow runs first, since a hedge helps them most, then by age. */
static int
compare_hedge_candidates(const void *a, const void *b)
{
    const hedge_candidate *x = a;
    const hedge_candidate *y = b;

    if (x->slow != y->slow) {
        return x->slow ? -1 : 1;
    }
    return x->sent_at < y->sent_at ? -1 : x->sent_at > y->sent_at;
}

static void
collect_hedge_candidates(bbl_gather *g, query *q, bbl_usec now)
{
    if (!q->repeatable || q->state != QUERY_RUNNING) {
        return;
    }
    for (size_t i = 0; i < q->parts.size; i++) {
        part *p = bbl_vec_at(&q->parts, i);
        attempt *a;
        hedge_candidate l;

        if (p->done || p->active_count != 1 ||
            p->attempt_count == ATTEMPTS_MAX) {
            continue;
        }
        a = &p->attempts[p->attempt_count - 1];
        l = (hedge_candidate){q, p, a->sent_at, a->slow, false};
        l.owner_suspect =
            a->active && bbl_observer_is_suspect(&g->observer, a->owner);
        if (a->active && (l.owner_suspect || a->slow ||
                          now >= a->sent_at + g->hedge_delay)) {
            bbl_vec_push(&g->hedge_candidates, &l);
        }
    }
}

/*
 * Sends a hedge. If no other replica is left, the hedge goes to the searcher
 * of the slow run itself, once, and that run is cancelled first to free its
 * slot.
 */
static void
hedge_part(bbl_gather *g, query *q, part *p, const bbl_view_searcher *s,
           bbl_usec now)
{
    if (has_attempt(p, s->searcher, true)) {
        q->may_have_run = true;
        g->counters.replaced++;
        cancel_part(g, q, p);
        group_by_owner(g, q, now, cancel_group);
    }
    add_attempt(g, q, p, s, true, now);
    group_by_owner(g, q, now, send_group);
}

/*
 * Sends hedges for the candidates in their sort order while the budget lasts.
 * Parts of suspect owners need no budget.
 */
static void
send_hedges(bbl_gather *g, bbl_usec now)
{
    g->hedge_candidates.size = 0;
    for (size_t i = 0; i < g->query_list.size; i++) {
        collect_hedge_candidates(g, *BBL_VEC_AT(query *, &g->query_list, i),
                                 now);
    }
    if (g->hedge_candidates.size == 0) {
        return;
    }
    qsort(g->hedge_candidates.ptr, g->hedge_candidates.size,
          sizeof(hedge_candidate), compare_hedge_candidates);
    for (size_t i = 0; i < g->hedge_candidates.size; i++) {
        hedge_candidate *l = bbl_vec_at(&g->hedge_candidates, i);
        choice_failure why;
        bool same = l->slow && l->p->attempt_count == 1;
        const bbl_view_searcher *s =
            choose_replica(g, l->q, l->p, same, now, &why);

        if (s == NULL) {
            continue;
        }
        if (!l->owner_suspect &&
            !bbl_budget_spend(&g->hedge_budget, l->slow)) {
            g->counters.hedges_denied++;
            continue;
        }
        g->counters.hedges++;
        hedge_part(g, l->q, l->p, s, now);
    }
}

void
bbl_gather_tick(bbl_gather *g, bbl_usec now)
{
    for (size_t i = g->query_list.size; i > 0; i--) {
        query *q = *BBL_VEC_AT(query *, &g->query_list, i - 1);

        if (now + g->options.answer_margin >= q->deadline) {
            expire_query(g, q, now);
        }
        else if (q->state == QUERY_RUNNING) {
            advance_query(g, q, now);
        }
    }
    g->counters.suspicions += bbl_observer_check_silence(
        &g->observer, now, g->options.suspect_after);
    if (g->options.hedge_budget_ppm > 0 && g->view != NULL) {
        send_hedges(g, now);
    }
}

/* ---- view ---- */

static bool
is_owner_lost(const bbl_gather *g, const attempt *a)
{
    const bbl_view_member *m = bbl_view_find_member(g->view, a->owner);

    return m == NULL || !m->live || m->incarnation != a->owner_incarnation;
}

/* Ends the attempts at owners that are dead or have restarted. */
static void
drop_lost_attempts(bbl_gather *g, query *q, bbl_usec now)
{
    for (size_t i = 0; i < q->parts.size; i++) {
        part *p = bbl_vec_at(&q->parts, i);

        for (unsigned k = 0; k < p->attempt_count && !p->done; k++) {
            attempt *a = &p->attempts[k];

            if (a->active && is_owner_lost(g, a)) {
                end_attempt(p, a);
                q->may_have_run = true;
                p->missing = BBL_MISSING_FAILED;
                handle_failed_attempt(g, q, p, now, false);
            }
        }
    }
}

void
bbl_gather_set_view(bbl_gather *g, bbl_usec now, const bbl_view *view)
{
    g->view = view;
    for (size_t i = g->query_list.size; i > 0; i--) {
        query *q = *BBL_VEC_AT(query *, &g->query_list, i - 1);

        if (q->state == QUERY_RUNNING) {
            drop_lost_attempts(g, q, now);
            advance_query(g, q, now);
        }
    }
}

size_t
bbl_gather_open_count(const bbl_gather *g)
{
    return g->query_list.size;
}

const bbl_gather_counters *
bbl_gather_get_counters(const bbl_gather *g)
{
    return &g->counters;
}

bbl_usec
bbl_gather_hedge_delay(const bbl_gather *g)
{
    return g->hedge_delay;
}

/* ---- construction ---- */

void
bbl_gather_new(bbl_gather **out, const bbl_gather_options *options)
{
    bbl_gather *g = bbl_calloc(1, sizeof(*g));

    g->options = *options;
    g->rng.state = options->seed;
    g->hedge_delay = 4 * options->hedge_delay_min;
    bbl_budget_init(&g->hedge_budget);
    bbl_budget_init(&g->retry_budget);
    bbl_observer_init(&g->observer);
    bbl_admission_init(&g->admission);
    g->query_list = (bbl_vec)BBL_VEC_INIT(query *);
    g->pending_sends = (bbl_vec)BBL_VEC_INIT(pending_send);
    g->subs = (bbl_vec)BBL_VEC_INIT(bblx_sub);
    g->hedge_candidates = (bbl_vec)BBL_VEC_INIT(hedge_candidate);
    *out = g;
}

void
bbl_gather_free(bbl_gather *g)
{
    if (g == NULL) {
        return;
    }
    for (size_t i = 0; i < g->query_list.size; i++) {
        free_query(*BBL_VEC_AT(query *, &g->query_list, i));
    }
    bbl_observer_free(&g->observer);
    bbl_map_free(&g->queries);
    bbl_admission_free(&g->admission);
    bbl_vec_free(&g->query_list);
    bbl_vec_free(&g->pending_sends);
    bbl_vec_free(&g->subs);
    bbl_vec_free(&g->hedge_candidates);
    free(g);
}
