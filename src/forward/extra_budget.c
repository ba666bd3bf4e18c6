#include "forward/extra_budget.h"

#include <string.h>

/* Part of the allowance that is used, for requests that arrive bunched. */
#define USED_SHARE 0.85

static void
turn(bbl_extra_budget *b, const bbl_extra_limits *limits, bbl_usec now)
{
    bbl_usec length = limits->window / BBL_EXTRA_BUCKETS;

    if (now >= b->bucket_start_at + 2 * limits->window) {
        memset(b, 0, sizeof(*b));
        b->bucket_start_at = now;
        return;
    }
    while (now >= b->bucket_start_at + length) {
        b->bucket_start_at += length;
        b->current_bucket = (b->current_bucket + 1) % BBL_EXTRA_BUCKETS;
        b->first_sum -= b->first[b->current_bucket];
        b->extra_sum -= b->extra[b->current_bucket];
        b->first[b->current_bucket] = 0;
        b->extra[b->current_bucket] = 0;
    }
}

void
bbl_extra_budget_count_first(bbl_extra_budget *b,
                             const bbl_extra_limits *limits, bbl_usec now)
{
    turn(b, limits, now);
    b->first[b->current_bucket]++;
    b->first_sum++;
}

double
bbl_extra_budget_get_left(bbl_extra_budget *b, const bbl_extra_limits *limits,
                          bbl_usec now)
{
    double allowed;

    turn(b, limits, now);
    allowed = USED_SHARE * (limits->ratio * b->first_sum + limits->constant);
    if (b->extra_sum + 1 > allowed) {
        return 0;
    }
    return (allowed - b->extra_sum) / allowed;
}

void
bbl_extra_budget_spend(bbl_extra_budget *b, const bbl_extra_limits *limits,
                       bbl_usec now)
{
    turn(b, limits, now);
    b->extra[b->current_bucket]++;
    b->extra_sum++;
}
