#include "forward/hedge.h"

#include <math.h>

#define DELAY_FULL_BUDGET                                                     \
    2.0 /* service times waited while the budget is full */
#define DELAY_LOW_BUDGET 4.0 /* and when little is left */
#define DELAY_STALLED 1.4    /* when the server answers nobody */
#define LOW_BUDGET_SHARE 0.3 /* share of the budget that counts as little */
#define DELAY_MIN_US 4000    /* below it the network explains any delay */
/* Service times before the target that a hedge starts at the latest: enough
 * for most answers, while the budget lasts for few of them only. */
#define TARGET_MARGIN_FULL 3.0
#define TARGET_MARGIN_EMPTY 1.3
/* No hedge starts sooner: most first attempts answer within that. */
#define DELAY_MIN 1.2

bbl_usec
bbl_hedge_get_delay(const bbl_hedge_input *in)
{
    double service = (double)in->service_time;
    double units = in->stalled                          ? DELAY_STALLED
                   : in->budget_left < LOW_BUDGET_SHARE ? DELAY_LOW_BUDGET
                                                        : DELAY_FULL_BUDGET;
    double target_margin =
        service *
        (TARGET_MARGIN_EMPTY +
         (TARGET_MARGIN_FULL - TARGET_MARGIN_EMPTY) * in->budget_left);
    double wait = units * service;

    if (in->budget_left <= 0) {
        return UINT64_MAX;
    }
    /* Where the target leaves less time than that, hedge while it helps. */
    if ((double)in->target_left > TARGET_MARGIN_EMPTY * service) {
        wait = fmin(wait, (double)in->waited + (double)in->target_left -
                              target_margin);
        wait = fmax(wait, DELAY_MIN * service);
    }
    if (wait < DELAY_MIN_US) {
        wait = DELAY_MIN_US;
    }
    return (double)in->waited >= wait ? 0
                                      : (bbl_usec)(wait - (double)in->waited);
}
