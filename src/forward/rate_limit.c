#include "forward/rate_limit.h"

#include <math.h>

/* A smaller change of a limit, as a share of it, is none. */
#define SAME_RATE_SHARE 0.01

bool
bbl_rate_limit_update(bbl_rate_limit *l, bool limited, double rate)
{
    bool same =
        l->limited == limited &&
        (!limited || fabs(rate - l->rate) <= SAME_RATE_SHARE * l->rate);

    if (!same) {
        l->limited = limited;
        l->rate = limited ? rate : 0;
    }
    return !same;
}

void
bbl_rate_limit_count_sent(bbl_rate_limit *l, bool extra)
{
    l->first_sent += !extra;
    l->extra_sent += extra;
}

void
bbl_rate_limit_reset_counts(bbl_rate_limit *l, bbl_usec now)
{
    l->counted_at = now;
    l->first_sent = 0;
    l->extra_sent = 0;
}
