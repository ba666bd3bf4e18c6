#include "forward/receive_cost.h"

#include <math.h>

/*
 * A low quantile: longer intervals come from the servers, which do not all
 * respond at the same time.
 */
#define INTERVAL_QUANTILE 0.1
/* One interval changes the estimate by at most this share. */
#define STEP_SHARE 0.1
#define INTERVAL_MIN_US 1.0
/* After a longer interval the response was not queued behind another one. */
#define QUEUED_MAX_US 2000
/* Share of its duration that a response has at least spent at its server. */
#define SERVER_SHARE_MIN 0.2

void
bbl_receive_cost_record(bbl_receive_cost *c, bbl_usec interval)
{
    if (interval > QUEUED_MAX_US) {
        return;
    }
    if (c->interval == 0) {
        c->interval = fmax((double)interval, INTERVAL_MIN_US);
    }
    else if ((double)interval > c->interval) {
        c->interval *= 1 + STEP_SHARE * INTERVAL_QUANTILE;
    }
    else {
        c->interval =
            fmax(c->interval * (1 - STEP_SHARE * (1 - INTERVAL_QUANTILE)),
                 INTERVAL_MIN_US);
    }
}

bbl_usec
bbl_receive_cost_get_server_time(const bbl_receive_cost *c, bbl_usec duration,
                                 unsigned earlier)
{
    double time = (double)duration - c->interval * earlier;

    return (bbl_usec)fmax(time, SERVER_SHARE_MIN * (double)duration);
}
