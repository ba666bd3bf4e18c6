#include "forward/load_limit.h"

#include <math.h>
#include <string.h>

/* A window is several service times. */
#define WINDOW_US (100 * BBL_USEC_PER_MS)
/* Requests for a median worth acting on: the parts of one are alike. */
#define REQUESTS_MIN 10
#define WINDOW_MAX_US (2000 * BBL_USEC_PER_MS) /* ends also without them */
#define BUCKETS_PER_UNIT 10.0
/* Over the usual load. With less, queues come from servers that are slow or
 * lost, and work that is refused would win nothing. */
#define BURST_FACTOR 2.0
#define QUEUES_RATIO 1.4 /* of a median that only queues explain */
#define LONG_QUEUES_RATIO 2.0
#define CAPACITY_SHARE_QUEUES 0.8 /* of the capacity taken on, with queues */
#define CAPACITY_SHARE_LONG_QUEUES 0.6 /* and while long ones drain */
#define CAPACITY_SHARE_STEP 0.02 /* of the capacity, for each window without  \
                                  */
/* The same for each second in which all that callers bring fits. */
#define CAPACITY_SHARE_STEP_FITTING 1.0
#define USUAL_LOAD_FLOOR 1.3    /* of the usual load is always taken on */
#define SLOT_CAPACITY_FLOOR 0.5 /* and of this host's share of the slots */
#define CAPACITY_DECAY 0.98     /* of the capacity seen, for each window */
#define UNLIMITED_FACTOR 1.5 /* over what callers bring: no limit any more */
/* Before that the usual load is not known: callers come back one by one to a
 * host that has started. */
#define LEARN_SECONDS 3.0
#define USUAL_SECONDS 30.0 /* over which the usual load is a mean */
#define TOKENS_MAX_US                                                         \
    (40 * BBL_USEC_PER_MS) /* of the rate, saved up at most */
#define RESERVE_SHARE 0.25 /* of that, kept for what is most urgent */

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

/* Returns the median of the window, in usual times. */
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

/* Takes on a part of what the servers can do. */
static void
set_rate(bbl_load_limit *l, double part, double min_rate)
{
    if (l->rate == 0) {
        l->tokens = 0;
    }
    l->capacity_share = part;
    l->rate = part * l->capacity;
    l->rate = l->rate > min_rate ? l->rate : min_rate;
}

static void
reduce_rate(bbl_load_limit *l, double ratio, double min_rate)
{
    double part = ratio > LONG_QUEUES_RATIO ? CAPACITY_SHARE_LONG_QUEUES
                                            : CAPACITY_SHARE_QUEUES;

    l->congested = true;
    set_rate(
        l, l->rate > 0 && l->capacity_share < part ? l->capacity_share : part,
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
 * Follows what the servers get done. Below their capacity that says little,
 * so the estimate fades only while there are queues.
 */
static void
update_capacity(bbl_load_limit *l, double done)
{
    if (l->congested || l->rate == 0) {
        l->capacity *= CAPACITY_DECAY;
    }
    l->capacity = l->capacity > done ? l->capacity : done;
}

/* Follows the load of calm times. */
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

/* Acts on a window that is over. */
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
    /* A large request is taken on credit, so that sizes do not matter. */
    l->tokens -= (double)work;
    return true;
}

void
bbl_load_limit_record_attempt(bbl_load_limit *l, bbl_usec now, double ratio,
                              double work, double part)
{
    double bucket = ratio * BUCKETS_PER_UNIT;

    advance_window(l, now);
    l->buckets[bucket >= BBL_LOAD_BUCKETS ? BBL_LOAD_BUCKETS - 1
                                          : (int)bucket]++;
    l->samples++;
    l->completed_work += work * part;
    l->requests += part;
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
