#include "forward/load_limit.h"

#include <math.h>
#include <string.h>

/* Minimum length of a window: several service times. */
#define WINDOW_US (100 * BBL_USEC_PER_MS)
/*
 * Requests required for a meaningful median; the parts of one request take
 * similar times.
 */
#define REQUESTS_MIN 10
#define WINDOW_MAX_US (2000 * BBL_USEC_PER_MS) /* ends even with fewer */
#define BUCKETS_PER_UNIT 10.0
/*
 * Ratio to the usual load above which the load is limited. With less load,
 * queues come from servers that are slow or lost, and refusing work would gain
 * nothing.
 */
#define BURST_FACTOR 2.0
#define QUEUES_RATIO 1.4 /* a median above it means queues */
#define LONG_QUEUES_RATIO 2.0
#define CAPACITY_SHARE_QUEUES 0.8      /* admitted share with queues */
#define CAPACITY_SHARE_LONG_QUEUES 0.6 /* while long queues drain */
/* Rise of the admitted share for each window without queues. */
#define CAPACITY_SHARE_STEP 0.02
/*
 * Rise for each second in which the offered work fits into the capacity.
 */
#define CAPACITY_SHARE_STEP_FITTING 1.0
#define USUAL_LOAD_FLOOR 1.3    /* of the usual load is always admitted */
#define SLOT_CAPACITY_FLOOR 0.5 /* of slot_capacity is always admitted */
#define CAPACITY_DECAY 0.98     /* factor of the capacity per window */
#define UNLIMITED_FACTOR 1.5    /* over the offered work; ends the limit */
/*
 * The usual load is unknown until it was measured for this time, because
 * callers return to a started host one by one.
 */
#define LEARN_SECONDS 3.0
#define USUAL_SECONDS 30.0 /* averaging time of the usual load */
/* The tokens are at most the work that the rate admits in this time. */
#define TOKENS_MAX_US (40 * BBL_USEC_PER_MS)
#define RESERVE_SHARE 0.25 /* of these, for urgent requests only */

static void
refill_tokens(bbl_load_limit *l, bbl_usec now)
{
    double tokens_max = l->rate * TOKENS_MAX_US / BBL_USEC_PER_SEC;

    if (l->rate > 0 && now > l->filled_at) {
        l->tokens += l->rate * (double)(now - l->filled_at) / BBL_USEC_PER_SEC;
        l->tokens = l->tokens < tokens_max ? l->tokens : tokens_max;
    }
    l->filled_at = now;
}

/*
 * Returns the median duration of the window's attempts, as a multiple of the
 * usual one.
 */
static double
get_median_ratio(const bbl_load_limit *l)
{
    uint32_t seen = 0;

    for (int i = 0; i < BBL_LOAD_BUCKETS; i++) {
        seen += l->buckets[i];
        if (2 * seen >= l->samples) {
            return (i + 0.5) / BUCKETS_PER_UNIT;
        }
    }
    return BBL_LOAD_BUCKETS / BUCKETS_PER_UNIT;
}

/* Limits admission to a share of the capacity, at least to `min_rate`. */
static void
set_rate(bbl_load_limit *l, double share, double min_rate)
{
    if (l->rate == 0) {
        l->tokens = 0;
    }
    l->capacity_share = share;
    l->rate = share * l->capacity;
    l->rate = l->rate > min_rate ? l->rate : min_rate;
}

static void
reduce_rate(bbl_load_limit *l, double ratio, double min_rate)
{
    double share = ratio > LONG_QUEUES_RATIO ? CAPACITY_SHARE_LONG_QUEUES
                                             : CAPACITY_SHARE_QUEUES;

    l->congested = true;
    set_rate(l,
             l->rate > 0 && l->capacity_share < share ? l->capacity_share
                                                      : share,
             min_rate);
}

static void
raise_rate(bbl_load_limit *l, double offered, double seconds, double min_rate)
{
    bool fits = offered <= fmax(l->capacity, l->slot_capacity);

    l->congested = false;
    if (l->rate == 0) {
        return;
    }
    set_rate(l,
             l->capacity_share + (fits ? CAPACITY_SHARE_STEP_FITTING * seconds
                                       : CAPACITY_SHARE_STEP),
             min_rate);
    if (l->rate > UNLIMITED_FACTOR * offered) {
        l->rate = 0;
    }
}

/*
 * Updates the capacity with the work that the servers completed. Below full
 * load that work says little about the capacity, so under a limit the estimate
 * decays only while there are queues.
 */
static void
update_capacity(bbl_load_limit *l, double completed)
{
    if (l->congested || l->rate == 0) {
        l->capacity *= CAPACITY_DECAY;
    }
    l->capacity = l->capacity > completed ? l->capacity : completed;
}

/* Updates the mean load of the time without a limit. */
static void
update_usual_load(bbl_load_limit *l, double offered, double seconds)
{
    double span;

    l->learned_seconds += seconds;
    span = l->learned_seconds < USUAL_SECONDS ? l->learned_seconds
                                              : USUAL_SECONDS;
    l->usual_load +=
        (offered - l->usual_load) * (seconds < span ? seconds / span : 1);
}

/* Evaluates a finished window and adjusts the limit. */
static void
close_window(bbl_load_limit *l, bbl_usec now)
{
    double seconds = (double)(now - l->window_start) / BBL_USEC_PER_SEC;
    double offered = l->offered_work / seconds;
    double ratio = l->requests >= REQUESTS_MIN ? get_median_ratio(l) : 0;
    double min_rate = USUAL_LOAD_FLOOR * l->usual_load + 1;

    min_rate = fmax(min_rate, SLOT_CAPACITY_FLOOR * l->slot_capacity);

    update_capacity(l, l->completed_work / seconds);
    if (l->learned_seconds >= LEARN_SECONDS && ratio > QUEUES_RATIO &&
        offered > BURST_FACTOR * l->usual_load) {
        reduce_rate(l, ratio, min_rate);
    }
    else {
        raise_rate(l, offered, seconds, min_rate);
    }
    if (l->rate == 0) {
        update_usual_load(l, offered, seconds);
    }
    memset(l->buckets, 0, sizeof(l->buckets));
    l->samples = 0;
    l->requests = 0;
    l->offered_work = 0;
    l->completed_work = 0;
    l->window_start = now;
}

static void
advance_window(bbl_load_limit *l, bbl_usec now)
{
    if (l->window_start == 0) {
        l->window_start = now;
        l->filled_at = now;
    }
    if ((now >= l->window_start + WINDOW_US && l->requests >= REQUESTS_MIN) ||
        now >= l->window_start + WINDOW_MAX_US) {
        close_window(l, now);
    }
}

bool
bbl_load_limit_admit(bbl_load_limit *l, bbl_usec now, bbl_usec work,
                     bool urgent)
{
    double reserve =
        urgent ? 0
               : RESERVE_SHARE * l->rate * TOKENS_MAX_US / BBL_USEC_PER_SEC;

    advance_window(l, now);
    refill_tokens(l, now);
    l->offered_work += (double)work;
    if (l->rate > 0 && l->tokens <= reserve) {
        return false;
    }
    /*
     * The tokens may become negative, so that large requests are admitted as
     * well.
     */
    l->tokens -= (double)work;
    return true;
}

void
bbl_load_limit_record_attempt(bbl_load_limit *l, bbl_usec now, double ratio,
                              double work, double request_share)
{
    double bucket = ratio * BUCKETS_PER_UNIT;

    advance_window(l, now);
    l->buckets[bucket >= BBL_LOAD_BUCKETS ? BBL_LOAD_BUCKETS - 1
                                          : (int)bucket]++;
    l->samples++;
    l->completed_work += work * request_share;
    l->requests += request_share;
}

bbl_usec
bbl_load_limit_get_wait(const bbl_load_limit *l)
{
    double seconds;

    if (l->rate <= 0 || l->tokens > 0) {
        return 0;
    }
    seconds = -l->tokens / l->rate;
    return seconds < 1 ? (bbl_usec)(seconds * BBL_USEC_PER_SEC)
                       : BBL_USEC_PER_SEC;
}
