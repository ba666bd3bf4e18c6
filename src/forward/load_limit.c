#include "forward/load_limit.h"

#include <math.h>
#include <string.h>

/* A window is several service times. */
#define WINDOW_US (100 * BBL_USEC_PER_MS)
/* Requests for a median worth acting on: the parts of one are alike. */
#define LEAST_REQUESTS 10
#define LONG_WINDOW_US (2000 * BBL_USEC_PER_MS) /* ends also without them */
#define CELLS_PER_UNIT 10.0
/* Over the usual load. With less, queues come from servers that are slow or
 * lost, and work that is refused would win nothing. */
#define BURST_FACTOR 2.0
#define QUEUES_RATIO 1.4 /* of a median that only queues explain */
#define LONG_QUEUES_RATIO 2.0
#define PART_QUEUES 0.8      /* of the capacity taken on, with queues */
#define PART_LONG_QUEUES 0.6 /* and while long ones drain */
#define PART_RISE 0.02       /* of the capacity, for each window without */
/* The same for each second in which all that callers bring fits. */
#define PART_RISE_FITTING 1.0
#define USUAL_FLOOR 1.3    /* of the usual load is always taken on */
#define SHARE_FLOOR 0.5    /* and of this host's share of the slots */
#define CAPACITY_FADE 0.98 /* of the capacity seen, for each window */
#define FREE_FACTOR 1.5    /* over what callers bring: no limit any more */
/* Before that the usual load is not known: callers come back one by one to a
 * host that has started. */
#define LEARN_SECONDS 3.0
#define USUAL_SECONDS 30.0 /* over which the usual load is a mean */
#define BURST_US (40 * BBL_USEC_PER_MS) /* of the rate, saved up at most */
#define RESERVE_SHARE 0.25 /* of that, kept for what is most urgent */

static void
fill(bbl_load_limit *l, bbl_usec now)
{
    double most = l->rate * BURST_US / BBL_USEC_PER_SEC;

    if (l->rate > 0 && now > l->filled_at) {
        l->tokens += l->rate * (double)(now - l->filled_at) / BBL_USEC_PER_SEC;
        l->tokens = l->tokens < most ? l->tokens : most;
    }
    l->filled_at = now;
}

/* Returns the median of the window, in usual times. */
static double
median(const bbl_load_limit *l)
{
    uint32_t seen = 0;

    for (int i = 0; i < BBL_LOAD_BUCKETS; i++) {
        seen += l->buckets[i];
        if (2 * seen >= l->samples) {
            return (i + 0.5) / CELLS_PER_UNIT;
        }
    }
    return BBL_LOAD_BUCKETS / CELLS_PER_UNIT;
}

/* Takes on a part of what the servers can do. */
static void
limit_to(bbl_load_limit *l, double part, double least)
{
    if (l->rate == 0) {
        l->tokens = 0;
    }
    l->capacity_share = part;
    l->rate = part * l->capacity;
    l->rate = l->rate > least ? l->rate : least;
}

static void
slow_down(bbl_load_limit *l, double ratio, double least)
{
    double part = ratio > LONG_QUEUES_RATIO ? PART_LONG_QUEUES : PART_QUEUES;

    l->congested = true;
    limit_to(
        l, l->rate > 0 && l->capacity_share < part ? l->capacity_share : part,
        least);
}

static void
speed_up(bbl_load_limit *l, double offered, double seconds, double least)
{
    bool fits = offered <= fmax(l->capacity, l->slot_capacity);

    l->congested = false;
    if (l->rate == 0) {
        return;
    }
    limit_to(l,
             l->capacity_share +
                 (fits ? PART_RISE_FITTING * seconds : PART_RISE),
             least);
    if (l->rate > FREE_FACTOR * offered) {
        l->rate = 0;
    }
}

/*
 * Follows what the servers get done. Below their capacity that says little,
 * so the estimate fades only while there are queues.
 */
static void
measure_capacity(bbl_load_limit *l, double done)
{
    if (l->congested || l->rate == 0) {
        l->capacity *= CAPACITY_FADE;
    }
    l->capacity = l->capacity > done ? l->capacity : done;
}

/* Follows the load of calm times. */
static void
learn_usual(bbl_load_limit *l, double offered, double seconds)
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
    double ratio = l->requests >= LEAST_REQUESTS ? median(l) : 0;
    double least = USUAL_FLOOR * l->usual_load + 1;

    least = fmax(least, SHARE_FLOOR * l->slot_capacity);

    measure_capacity(l, l->completed_work / seconds);
    if (l->learned_seconds >= LEARN_SECONDS && ratio > QUEUES_RATIO &&
        offered > BURST_FACTOR * l->usual_load) {
        slow_down(l, ratio, least);
    }
    else {
        speed_up(l, offered, seconds, least);
    }
    if (l->rate == 0) {
        learn_usual(l, offered, seconds);
    }
    memset(l->buckets, 0, sizeof(l->buckets));
    l->samples = 0;
    l->requests = 0;
    l->offered_work = 0;
    l->completed_work = 0;
    l->window_start = now;
}

static void
turn(bbl_load_limit *l, bbl_usec now)
{
    if (l->window_start == 0) {
        l->window_start = now;
        l->filled_at = now;
    }
    if ((now >= l->window_start + WINDOW_US &&
         l->requests >= LEAST_REQUESTS) ||
        now >= l->window_start + LONG_WINDOW_US) {
        close_window(l, now);
    }
}

bool
bbl_load_limit_admit(bbl_load_limit *l, bbl_usec now, bbl_usec work,
                     bool urgent)
{
    double reserve =
        urgent ? 0 : RESERVE_SHARE * l->rate * BURST_US / BBL_USEC_PER_SEC;

    turn(l, now);
    fill(l, now);
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
    double cell = ratio * CELLS_PER_UNIT;

    turn(l, now);
    l->buckets[cell >= BBL_LOAD_BUCKETS ? BBL_LOAD_BUCKETS - 1 : (int)cell]++;
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
