/*
 * extra_budget.h - limits the retries and hedges of a service, that is, the
 * requests to it beyond the first one for each request of a caller.
 *
 * Load pattern: backend servers fail or stall together, every request wants a
 * second attempt, and these would double the load. In any window the extra
 * requests stay below a ratio of the first ones plus this host's share of a
 * constant for all hosts.
 */
#ifndef BBL_EXTRA_BUDGET_H
#define BBL_EXTRA_BUDGET_H

#include "bbl/types.h"

#define BBL_EXTRA_BUCKETS 20 /* buckets of one window */

typedef struct {
    bbl_usec window;
    double ratio; /* extra requests allowed per first request */
    /* Further extra requests allowed in a window; this host's share. */
    double constant;
} bbl_extra_limits;

typedef struct {
    bbl_usec bucket_start_at;
    unsigned current_bucket; /* index of the bucket that is being filled */
    uint32_t first[BBL_EXTRA_BUCKETS];
    uint32_t extra[BBL_EXTRA_BUCKETS];
    uint32_t first_sum;
    uint32_t extra_sum;
} bbl_extra_budget;

/* Counts the first request to the service for a caller's request. */
void bbl_extra_budget_count_first(bbl_extra_budget *budget,
                                  const bbl_extra_limits *limits,
                                  bbl_usec now);

/*
 * Returns the share of the allowance that is left, 0 to 1. Returns 0 if less
 * than one whole extra request is left.
 */
double bbl_extra_budget_get_left(bbl_extra_budget *budget,
                                 const bbl_extra_limits *limits, bbl_usec now);

/* Counts one extra request. */
void bbl_extra_budget_spend(bbl_extra_budget *budget,
                            const bbl_extra_limits *limits, bbl_usec now);

#endif
