#include "forward/hedge.h"

#include <math.h>

#define DELAY_FULL_BUDGET 2.0 /* service times to wait with a full budget */
#define DELAY_LOW_BUDGET 4.0  /* with a low budget */
#define DELAY_STALLED 1.4     /* if the server has stalled */
#define DELAY_RATED_BAD 1.2   /* if the hosts have rated the server as bad */
#define LOW_BUDGET_SHARE 0.3  /* a budget below this share is low */
/*
 * Share of the budget that hedges leave for retries: without a retry a refused
 * or failed part is lost, while a slow one may still come.
 */
#define RETRY_RESERVE 0.25
/* While responses arrive at shorter intervals, more of them are queued. */
#define QUIET_MIN_US 2000
/* Service times after which a hedge no longer waits for such an interval. */
#define QUIET_WAIT_MAX 8.0
/* Shorter delays may come from the network alone. */
#define DELAY_MIN_US 4000
/*
 * A hedge starts at the latest this many service times before the target: with
 * a full budget early enough for most responses, with an empty one for few of
 * them only.
 */
#define TARGET_MARGIN_FULL 3.0
#define TARGET_MARGIN_EMPTY 1.3
/* No hedge starts sooner, since most first attempts are answered by then. */
#define DELAY_MIN_SERVICE_TIMES 1.2

bbl_usec
bbl_hedge_get_delay(const bbl_hedge_input *in)
{
    double service = (double)in->service_time;
    double budget = (in->budget_left - RETRY_RESERVE) / (1 - RETRY_RESERVE);
    double units = in->rated_bad               ? DELAY_RATED_BAD
                   : in->stalled               ? DELAY_STALLED
                   : budget < LOW_BUDGET_SHARE ? DELAY_LOW_BUDGET
                                               : DELAY_FULL_BUDGET;
    double target_margin =
        service * (TARGET_MARGIN_EMPTY +
                   (TARGET_MARGIN_FULL - TARGET_MARGIN_EMPTY) * budget);
    double wait = units * service;

    if (budget <= 0) {
        return UINT64_MAX;
    }
    /*
     * If the target leaves less time than the delay, hedge while it still
     * helps.
     */
    if ((double)in->target_left > TARGET_MARGIN_EMPTY * service) {
        wait = fmin(wait, (double)in->waited + (double)in->target_left -
                              target_margin);
        wait = fmax(wait, DELAY_MIN_SERVICE_TIMES * service);
    }
    if (wait < DELAY_MIN_US) {
        wait = DELAY_MIN_US;
    }
    wait -= (double)in->waited;
    if (in->quiet < QUIET_MIN_US &&
        (double)in->waited < QUIET_WAIT_MAX * service) {
        wait = fmax(wait, (double)(QUIET_MIN_US - in->quiet));
    }
    return wait <= 0 ? 0 : (bbl_usec)wait;
}
