/*
 * budget.h - a token bucket for extra work: every first request earns a
 * fraction of one extra request.
 */
#ifndef BBL_BUDGET_H
#define BBL_BUDGET_H

#include "bbl/types.h"

#define BBL_BUDGET_UNIT 1000000u /* parts in one extra request */
#define BBL_BUDGET_MAX 400u      /* extra requests saved up at most */
#define BBL_BUDGET_RESERVE 100u  /* kept for what is urgent; also the start */

typedef struct {
    uint64_t parts;
} bbl_budget;

static inline void
bbl_budget_init(bbl_budget *b)
{
    b->parts = (uint64_t)BBL_BUDGET_RESERVE * BBL_BUDGET_UNIT;
}

/* Earns `ppm` parts of one extra request. */
static inline void
bbl_budget_earn(bbl_budget *b, uint32_t ppm)
{
    uint64_t most = (uint64_t)BBL_BUDGET_MAX * BBL_BUDGET_UNIT;

    b->parts = b->parts + ppm < most ? b->parts + ppm : most;
}

/* Pays for one extra request; what is not urgent leaves the reserve. */
static inline bool
bbl_budget_spend(bbl_budget *b, bool urgent)
{
    uint64_t least = urgent ? BBL_BUDGET_UNIT
                            : (uint64_t)BBL_BUDGET_RESERVE * BBL_BUDGET_UNIT;

    if (b->parts < least) {
        return false;
    }
    b->parts -= BBL_BUDGET_UNIT;
    return true;
}

#endif
