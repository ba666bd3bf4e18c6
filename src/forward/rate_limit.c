#include "forward/rate_limit.h"

#include <math.h>

#include "control/permit_book.h"

/* A smaller change of a limit, as a share of it, is none. */
#define SAME_RATE_SHARE 0.01
/* Shortest time between two reports of one server to other hosts. */
#define PUBLISH_INTERVAL_US (250 * BBL_USEC_PER_MS)
/* Bounds of the time after refusals in which no permit is requested. */
#define REFUSED_MIN_US (50 * BBL_USEC_PER_MS)
#define REFUSED_MAX_US (250 * BBL_USEC_PER_MS)

bool
bbl_rate_limit_update(bbl_rate_limit *l, bool limited, double rate)
{
    bool same =
        l->limited == limited &&
        (!limited || fabs(rate - l->rate) <= SAME_RATE_SHARE * l->rate);

    if (!same) {
        l->limited = limited;
        l->rate = limited ? rate : 0;
        l->refusals = 0;
        l->refused_until = 0;
    }
    return !same;
}

bool
bbl_rate_limit_is_publication_due(bbl_rate_limit *l, bbl_usec now,
                                  bool changed)
{
    l->unpublished = l->unpublished || changed;
    if (!l->unpublished || (l->published_at != 0 &&
                            now < l->published_at + PUBLISH_INTERVAL_US)) {
        return false;
    }
    l->unpublished = false;
    l->published_at = now;
    return true;
}

bool
bbl_rate_limit_may_send(const bbl_rate_limit *l, bbl_usec now)
{
    return !l->limited || (l->permits > 0 && now < l->permits_until);
}

bool
bbl_rate_limit_may_ask(const bbl_rate_limit *l, bbl_usec now)
{
    return l->limited && now >= l->refused_until;
}

void
bbl_rate_limit_spend(bbl_rate_limit *l, bbl_usec now)
{
    if (l->limited && l->permits > 0 && now < l->permits_until) {
        l->permits--;
    }
}

void
bbl_rate_limit_add_permit(bbl_rate_limit *l, bbl_usec now, bbl_usec until)
{
    l->refusals = 0;
    l->refused_until = 0;
    if (now >= l->permits_until) {
        l->permits = 0;
        l->permits_until = until;
    }
    if (now < until) {
        l->permits++;
        /* The earliest end holds for all of them. */
        l->permits_until = until < l->permits_until ? until : l->permits_until;
    }
}

void
bbl_rate_limit_refuse(bbl_rate_limit *l, bbl_usec now, bbl_usec wait,
                      unsigned grantors)
{
    unsigned asked_max =
        grantors < BBL_PERMIT_ASKED_MAX ? grantors : BBL_PERMIT_ASKED_MAX;

    if (l->refusals == 0 || now + wait < l->next_permit_at) {
        l->next_permit_at = now + wait;
    }
    if (++l->refusals < asked_max) {
        return;
    }
    l->refusals = 0;
    /* The grantors have their next permits at different times. */
    wait /= grantors > 0 ? grantors : 1;
    wait = wait < REFUSED_MIN_US ? REFUSED_MIN_US : wait;
    l->refused_until = now + (wait < REFUSED_MAX_US ? wait : REFUSED_MAX_US);
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
