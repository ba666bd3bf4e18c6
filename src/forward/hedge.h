/*
 * hedge.h - when a second backend server is asked although the first may
 * still answer.
 *
 * Load pattern: each server pauses now and then for several service times.
 * With many shards most queries meet a pause somewhere; the second server of
 * that shard answers within one service time. The less of the budget of
 * extra requests is left, the longer the first server is waited for.
 */
#ifndef BBL_HEDGE_H
#define BBL_HEDGE_H

#include "bbl/types.h"

typedef struct {
    bbl_usec service_time; /* mean of the route */
    bbl_usec waited;       /* since the first attempt was sent */
    bbl_usec target_left;  /* until the answer should go out; 0: past */
    bool stalled;          /* the first server answers nobody */
    double budget_left;    /* 0 to 1 */
} bbl_hedge_input;

/*
 * Returns how much longer to wait before hedging; 0: hedge now, UINT64_MAX:
 * never.
 */
bbl_usec bbl_hedge_get_delay(const bbl_hedge_input *in);

#endif
