/*
 * budget.h - a token bucket that limits extra requests (hedges, retries) to a
 * fraction of the first requests.
 */
#ifndef BBL_BUDGET_H
#define BBL_BUDGET_H

#include "bbl/types.h"

#define BBL_BUDGET_UNIT 1000000u /* parts of one extra request */
#define BBL_BUDGET_MAX 400u      /* capacity, in extra requests */
#define BBL_BUDGET_RESERVE 100u  /* only for urgent ones; initial level */

typedef struct {
    uint64_t parts; /* level, in 1/BBL_BUDGET_UNIT of an extra request */
} bbl_budget;

static inline void
bbl_budget_init(bbl_budget *b)
{
    b->parts = (uint64_t)BBL_BUDGET_RESERVE * BBL_BUDGET_UNIT;
}

/* Adds `ppm` parts of one extra request. */
static inline void
bbl_budget_earn(bbl_budget *b, uint32_t ppm)
{
    uint64_t maximum = (uint64_t)BBL_BUDGET_MAX * BBL_BUDGET_UNIT;

    b->parts = b->parts + ppm < maximum ? b->parts + ppm : maximum;
}

/*
 * Takes one extra request from the bucket. A request that is not urgent
 * needs a bucket that holds at least the reserve.
 *
 * @return false if the bucket does not hold enough; it is left unchanged
 */
static inline bool
bbl_budget_spend(bbl_budget *b, bool urgent)
{
    uint64_t minimum = urgent ? BBL_BUDGET_UNIT
                              : (uint64_t)BBL_BUDGET_RESERVE * BBL_BUDGET_UNIT;

    if (b->parts < minimum) {
        return false;
    }
    b->parts -= BBL_BUDGET_UNIT;
    return true;
}

#endif
