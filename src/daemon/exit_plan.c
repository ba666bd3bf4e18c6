#include "daemon/exit_plan.h"

/* Time for the transfer of the leadership, and for the new leader to hear of
 * the hosts that can take the place of this one. */
#define EXIT_MIN_US (1000 * BBL_USEC_PER_MS)
/* How long open calls are waited for. */
#define CALLS_MAX_US (1500 * BBL_USEC_PER_MS)
/* Part of the grace period that is left for the end of the process. */
#define GRACE_RESERVE_DIVISOR 4

bool
bbl_exit_plan_is_due(const bbl_exit_input *in)
{
    bbl_usec latest = in->grace - in->grace / GRACE_RESERVE_DIVISOR;

    if (in->spent >= latest) {
        return true;
    }
    if (in->spent <= EXIT_MIN_US || in->awaits_successor) {
        return false;
    }
    return in->open_calls == 0 || in->spent > CALLS_MAX_US;
}
