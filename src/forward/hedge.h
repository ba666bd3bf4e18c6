/*
 * hedge.h - decides when an attempt is hedged, that is, when a second backend
 * server gets the request while the first may still respond.
 *
 * Load pattern: each server pauses now and then for several service times.
 * With many shards most queries meet a pause at one of them; the second server
 * of that shard responds within one service time. The responses of many
 * servers queue on the way to a host with a narrow link; while they come one
 * after the other, a missing one is likely to be among them. The less of the
 * budget of extra requests is left, the longer a hedge is delayed.
 */
#ifndef BBL_HEDGE_H
#define BBL_HEDGE_H

#include "bbl/types.h"

typedef struct {
    bbl_usec service_time; /* usual time of an attempt on the route */
    bbl_usec waited;       /* time since the first attempt was sent */
    /* Time since the last response to the same query; large if none came. */
    bbl_usec quiet;
    bbl_usec target_left; /* time until the target; 0 if it has passed */
    bool stalled;         /* the first server has stalled */
    double budget_left;   /* share of the budget that is left, 0 to 1 */
    /* The hosts have rated the first server as bad, and another one not. */
    bool rated_bad;
} bbl_hedge_input;

/*
 * Returns how much longer to wait before hedging: 0 to hedge now, UINT64_MAX
 * never to hedge.
 */
bbl_usec bbl_hedge_get_delay(const bbl_hedge_input *in);

#endif
