/*
 * rate_limit.h - the request rate that a backend server accepts from all hosts
 * together, as it states in its responses, and what this host sends to it
 * meanwhile.
 */
#ifndef BBL_RATE_LIMIT_H
#define BBL_RATE_LIMIT_H

#include "bbl/types.h"

/* State of one server at this host; zero-initialized. */
typedef struct {
    bool limited;        /* whether the server states a limit */
    double rate;         /* requests per second; valid if limited */
    bbl_usec counted_at; /* when the counts below were last reset */
    uint32_t first_sent; /* first attempts sent to the server since then */
    uint32_t extra_sent; /* hedges and retries */
} bbl_rate_limit;

/*
 * Records what a response states.
 *
 * @param limited whether the response states a limit
 * @param rate    requests per second; ignored if not limited
 * @return whether this differs from what was known
 */
bool bbl_rate_limit_update(bbl_rate_limit *limit, bool limited, double rate);

/* Counts one attempt that is sent to the server. */
void bbl_rate_limit_count_sent(bbl_rate_limit *limit, bool extra);

/* Resets the counts. */
void bbl_rate_limit_reset_counts(bbl_rate_limit *limit, bbl_usec now);

#endif
