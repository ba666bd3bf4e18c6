#include "admission/load_gate.h"

#include <math.h>

/* Share of refused parts above which the limit falls. */
#define DECREASE_SHARE 0.02
/* Share of refused parts below which it may rise. */
#define INCREASE_SHARE 0.005
/*
 * Factor of a decrease, and increase in each usual query time as a share of
 * the slots of a shard. On the model, smaller steps than 0.1 gave 5 to 10%
 * fewer answers in time in the first 12 s; factors from 0.7 to 0.9 made no
 * difference.
 */
#define DECREASE_FACTOR 0.8
#define INCREASE_STEP 0.2
/* Parts that a change of the limit is based on, at least: one query to 90. */
#define PARTS_MIN 90
/* Range of the limit, as multiples of the slots of a shard. */
#define LIMIT_MIN (1.0 / 3)
#define LIMIT_MAX 4.0
/*
 * Share of the work that the slots can do that is always admitted. It is less
 * than what the servers bear with 15% of them 2.5 times slower (0.46 on the
 * model), and more than the usual load.
 */
#define FLOOR_SHARE 0.3
/* Time whose share may be admitted at once. */
#define FLOOR_BURST_US (50.0 * BBL_USEC_PER_MS)
/* Query time that is assumed before the first report. */
#define QUERY_TIME_INITIAL_US (50.0 * BBL_USEC_PER_MS)
#define QUERY_TIME_WEIGHT 0.05 /* of one report */
/* How long hosts ask after the limit was last reached. */
#define ASK_US (4 * BBL_USEC_PER_SEC)
/* Range of the retry time, and time over which recent counts decay. */
#define RETRY_MIN_US (250.0 * BBL_USEC_PER_MS)
#define RETRY_MAX_US (3.0 * BBL_USEC_PER_SEC)
#define RECENT_US (1.0 * BBL_USEC_PER_SEC)

typedef struct {
    uint32_t host;
    uint64_t number;
    bbl_usec admitted_at;
    bbl_usec ends_at; /* stops counting then */
    bool reported;
    double work;
} admitted_query;

void
bbl_load_gate_init(bbl_load_gate *g, uint64_t seed)
{
    *g = (bbl_load_gate){
        .in_flight = BBL_VEC_INIT(admitted_query),
        .decisions = BBL_VEC_INIT(bbl_load_decision),
        .query_time = QUERY_TIME_INITIAL_US,
        .rng = {seed},
    };
    bbl_order_init(&g->waiting);
}

void
bbl_load_gate_free(bbl_load_gate *g)
{
    bbl_vec_free(&g->in_flight);
    bbl_vec_free(&g->decisions);
    bbl_order_free(&g->waiting);
}

static void
decay_recent(bbl_load_gate *g, bbl_usec now)
{
    double decay = now > g->recent_at
                       ? exp(-(double)(now - g->recent_at) / RECENT_US)
                       : 1;

    g->recent_admitted *= decay;
    g->recent_refused *= decay;
    g->recent_at = now;
}

/* Returns the rate of grants while the limit is reached, per microsecond. */
static double
get_grant_rate(const bbl_load_gate *g)
{
    return g->limit / g->query_time;
}

/*
 * Returns when a refused caller should retry: when the queue is worked off,
 * later by the number of callers refused for each one admitted, and spread so
 * that they do not return together.
 */
static bbl_usec
get_retry_after(bbl_load_gate *g)
{
    double wait = ((double)g->waiting.queries.size + 1) / get_grant_rate(g);
    double crowd = g->recent_refused / fmax(g->recent_admitted, 1);

    wait = fmin(fmax(wait, RETRY_MIN_US) * (1 + crowd), RETRY_MAX_US);
    return (bbl_usec)(wait * (0.5 + bbl_rng_unit(&g->rng)));
}

static void
decide(bbl_load_gate *g, bbl_usec now, const bbl_order_query *q,
       bbl_load_outcome outcome, bbl_load_reason reason)
{
    bbl_load_decision d = {
        .host = q->host,
        .number = q->number,
        .outcome = outcome,
        .reason = reason,
    };

    decay_recent(g, now);
    if (outcome != BBL_LOAD_ADMITTED) {
        g->binding = true;
        g->bound_at = now;
        d.retry_after = get_retry_after(g);
    }
    if (outcome == BBL_LOAD_REFUSED) {
        g->recent_refused++;
        g->counters.refused[bbl_order_get_class(q->priority)][reason]++;
    }
    if (g->bound_at != 0 && now < g->bound_at + ASK_US) {
        d.ask_for = g->bound_at + ASK_US - now;
    }
    bbl_vec_push(&g->decisions, &d);
}

static void
refill_floor(bbl_load_gate *g, bbl_usec now)
{
    double most = FLOOR_SHARE * g->slots * FLOOR_BURST_US;

    if (now > g->floor_filled_at) {
        g->floor_tokens +=
            FLOOR_SHARE * g->slots * (double)(now - g->floor_filled_at);
    }
    g->floor_filled_at = now;
    g->floor_tokens = fmin(fmax(g->floor_tokens, -most), most);
}

static void
admit(bbl_load_gate *g, bbl_usec now, const bbl_order_query *q)
{
    admitted_query a = {q->host, q->number, now, q->deadline, false, q->work};

    bbl_vec_push(&g->in_flight, &a);
    decide(g, now, q, BBL_LOAD_ADMITTED, BBL_LOAD_REASON_NONE);
    g->floor_tokens -= q->part_work;
    g->recent_admitted++;
    g->counters.admitted[bbl_order_get_class(q->priority)]++;
}

static bool
has_room(const bbl_load_gate *g)
{
    return (double)g->in_flight.size + 1 <= g->limit || g->floor_tokens > 0;
}

static void
refuse_expired(bbl_load_gate *g, bbl_usec now)
{
    bbl_order_query q;

    while (bbl_order_take_expired(&q, &g->waiting, now)) {
        decide(g, now, &q, BBL_LOAD_REFUSED,
               now >= q.wait_until ? BBL_LOAD_REASON_QUEUE
                                   : BBL_LOAD_REASON_DEADLINE);
    }
}

static void
admit_waiting(bbl_load_gate *g, bbl_usec now)
{
    bbl_order_query q;

    refill_floor(g, now);
    refuse_expired(g, now);
    while (has_room(g) && bbl_order_take_next(&q, &g->waiting, now)) {
        admit(g, now, &q);
    }
}

/* Returns the index of a query in flight, or their number. */
static size_t
find_in_flight(const bbl_load_gate *g, uint32_t host, uint64_t number)
{
    size_t i = 0;

    while (i < g->in_flight.size) {
        const admitted_query *a = bbl_vec_at(&g->in_flight, i);

        if (a->host == host && a->number == number) {
            break;
        }
        i++;
    }
    return i;
}

static void
update_slots(bbl_load_gate *g, double slots)
{
    g->slots = slots < 1 ? 1 : slots;
    if (g->limit == 0) {
        g->limit = g->slots;
    }
    g->limit = fmin(fmax(g->limit, fmax(1, LIMIT_MIN * g->slots)),
                    LIMIT_MAX * g->slots);
}

void
bbl_load_gate_request(bbl_load_gate *g, bbl_usec now, const bbl_load_query *r)
{
    bbl_order_query q = {
        .host = r->host,
        .number = r->number,
        .priority = r->priority,
        .target_at = now + r->target_left,
        .deadline = now + r->deadline_left,
        .wait_until = now + r->wait_max,
        .expected = (bbl_usec)(g->work_factor * r->work),
        .work = r->work,
        .part_work = r->work / (r->shards > 0 ? r->shards : 1),
    };
    bbl_order_query displaced;
    double wait;

    update_slots(g, r->slots);
    admit_waiting(g, now);
    if (find_in_flight(g, r->host, r->number) < g->in_flight.size) {
        decide(g, now, &q, BBL_LOAD_ADMITTED, BBL_LOAD_REASON_NONE);
        return;
    }
    bbl_order_remove(&g->waiting, r->host, r->number);
    if (q.expected >= r->deadline_left) {
        decide(g, now, &q, BBL_LOAD_REFUSED, BBL_LOAD_REASON_DEADLINE);
        return;
    }
    if (has_room(g)) {
        bbl_order_count_grant(&g->waiting, q.priority);
        admit(g, now, &q);
        return;
    }
    wait = ((double)bbl_order_count_before(&g->waiting, now, &q) + 1) /
           get_grant_rate(g);
    if (wait > (double)r->wait_max) {
        decide(g, now, &q, BBL_LOAD_REFUSED, BBL_LOAD_REASON_QUEUE);
        return;
    }
    if (bbl_order_add(&displaced, &g->waiting, now, &q)) {
        decide(g, now, &displaced, BBL_LOAD_REFUSED, BBL_LOAD_REASON_QUEUE);
        if (displaced.host == q.host && displaced.number == q.number) {
            return;
        }
    }
    decide(g, now, &q, BBL_LOAD_WAITING, BBL_LOAD_REASON_NONE);
}

/* Adjusts the limit to the parts refused since it was last adjusted. */
static void
adjust_limit(bbl_load_gate *g, bbl_usec now)
{
    double share;

    if (g->parts < PARTS_MIN ||
        (double)now < (double)g->window_start + g->query_time) {
        return;
    }
    share = g->refused / g->parts;
    if (share > DECREASE_SHARE) {
        g->limit *= DECREASE_FACTOR;
    }
    else if (share < INCREASE_SHARE && g->binding) {
        g->limit += INCREASE_STEP * g->slots;
    }
    update_slots(g, g->slots);
    g->parts = 0;
    g->refused = 0;
    g->binding = g->waiting.queries.size > 0;
    g->window_start = now;
}

/*
 * Ends query `i` in flight. One that refusals have ended early tells nothing
 * about the time of a query, and servers still work on its other parts: it
 * counts for the usual time of a query.
 */
static void
end_query(bbl_load_gate *g, size_t i, bbl_usec took, bool overloaded)
{
    admitted_query *a = bbl_vec_at(&g->in_flight, i);
    double factor = (double)took / (a->work + 1);

    if (overloaded && (double)took < g->query_time) {
        bbl_usec ends_at = a->admitted_at + (bbl_usec)g->query_time;

        a->ends_at = ends_at < a->ends_at ? ends_at : a->ends_at;
        a->reported = true;
        return;
    }
    bbl_vec_swap_remove(&g->in_flight, i);
    g->query_time += QUERY_TIME_WEIGHT * ((double)took - g->query_time);
    g->query_time = fmax(g->query_time, BBL_USEC_PER_MS);
    g->work_factor =
        g->work_factor == 0
            ? factor
            : g->work_factor + QUERY_TIME_WEIGHT * (factor - g->work_factor);
}

void
bbl_load_gate_report(bbl_load_gate *g, bbl_usec now, uint32_t host,
                     uint64_t number, uint32_t parts, uint32_t refused,
                     bbl_usec took)
{
    size_t i = find_in_flight(g, host, number);

    if (g->limit == 0) {
        return; /* of a query that an earlier grantor admitted */
    }
    bbl_order_remove(&g->waiting, host, number);
    if (i < g->in_flight.size) {
        if (parts == 0) {
            bbl_vec_swap_remove(&g->in_flight, i); /* it has not run */
        }
        else {
            end_query(g, i, took, refused > DECREASE_SHARE * parts);
        }
    }
    g->parts += parts;
    g->refused += refused;
    adjust_limit(g, now);
    admit_waiting(g, now);
}

bbl_usec
bbl_load_gate_tick(bbl_load_gate *g, bbl_usec now)
{
    bbl_usec next;

    for (size_t i = g->in_flight.size; i > 0; i--) {
        const admitted_query *a = bbl_vec_at(&g->in_flight, i - 1);

        if (now >= a->ends_at) {
            g->counters.reports_lost += !a->reported;
            bbl_vec_swap_remove(&g->in_flight, i - 1);
        }
    }
    admit_waiting(g, now);
    next = bbl_order_get_next_expiry(&g->waiting);
    for (size_t i = 0; i < g->in_flight.size; i++) {
        bbl_usec at = BBL_VEC_AT(admitted_query, &g->in_flight, i)->ends_at;

        next = at < next ? at : next;
    }
    return next;
}

bool
bbl_load_gate_take_decision(bbl_load_decision *out, bbl_load_gate *g)
{
    if (g->decisions.size == 0) {
        return false;
    }
    *out = *BBL_VEC_AT(bbl_load_decision, &g->decisions, 0);
    bbl_vec_remove(&g->decisions, 0);
    return true;
}
