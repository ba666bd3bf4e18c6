/*
 * extra_budget.h - the bound on requests to a service beyond the first one
 * of each caller's request: retries and hedges of all hosts together.
 *
 * Load pattern: backend servers fail or stall together, every request wants
 * a second attempt, and the second attempts would double the load. In any
 * window the extra requests stay under a share of the first ones and this
 * host's part of a constant.
 */
#ifndef BBL_EXTRA_BUDGET_H
#define BBL_EXTRA_BUDGET_H

#include "bbl/types.h"

#define BBL_EXTRA_BUCKETS 20 /* of one window */

typedef struct {
    bbl_usec window;
    double ratio;    /* extra requests for each first one */
    double constant; /* extra requests a window besides, this host's part */
} bbl_extra_limits;

typedef struct {
    bbl_usec bucket_start_at;
    unsigned current_bucket; /* the present one */
    uint32_t first[BBL_EXTRA_BUCKETS];
    uint32_t extra[BBL_EXTRA_BUCKETS];
    uint32_t first_sum;
    uint32_t extra_sum;
} bbl_extra_budget;

/* Counts one request of a caller for the service. */
void bbl_extra_budget_count_first(bbl_extra_budget *budget,
                                  const bbl_extra_limits *limits,
                                  bbl_usec now);

/*
 * Returns the share of the allowance that is left, 0 to 1; 0 also when not
 * one whole extra request is left.
 */
double bbl_extra_budget_get_left(bbl_extra_budget *budget,
                                 const bbl_extra_limits *limits, bbl_usec now);

/* Counts one extra request. */
void bbl_extra_budget_spend(bbl_extra_budget *budget,
                            const bbl_extra_limits *limits, bbl_usec now);

#endif
