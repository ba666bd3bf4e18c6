#include "forward/hedge.h"

#include <math.h>

#define EARLY 2.0     /* service times waited while the budget is full */
#define LATE 4.0      /* and when little is left */
#define STALLED 1.4   /* when the server answers nobody */
#define LITTLE 0.3    /* share of the budget that counts as little */
#define LEAST_US 4000 /* below it the network explains any delay */
/* Service times before the target that a hedge starts at the latest: enough
 * for most answers, while the budget lasts for few of them only. */
#define LAST_CALL_FULL 3.0
#define LAST_CALL_EMPTY 1.3
/* No hedge starts sooner: most first attempts answer within that. */
#define SOONEST 1.2

bbl_usec
bbl_hedge_get_delay(const bbl_hedge_input *in)
{
    double service = (double)in->service_time;
    double units = in->stalled                ? STALLED
                   : in->budget_left < LITTLE ? LATE
                                              : EARLY;
    double last_call =
        service * (LAST_CALL_EMPTY +
                   (LAST_CALL_FULL - LAST_CALL_EMPTY) * in->budget_left);
    double wait = units * service;

    if (in->budget_left <= 0) {
        return UINT64_MAX;
    }
    /* Where the target leaves less time than that, hedge while it helps. */
    if ((double)in->target_left > LAST_CALL_EMPTY * service) {
        wait = fmin(wait,
                    (double)in->waited + (double)in->target_left - last_call);
        wait = fmax(wait, SOONEST * service);
    }
    if (wait < LEAST_US) {
        wait = LEAST_US;
    }
    return (double)in->waited >= wait ? 0
                                      : (bbl_usec)(wait - (double)in->waited);
}
