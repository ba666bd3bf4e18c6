#include "forward/reach.h"

#include <string.h>

#include "bbl/errors.h"

/* An attempt is overdue after this many times its usual time, and not before
 * OVERDUE_MIN_US. */
#define OVERDUE_SERVICE_TIMES 3
#define OVERDUE_MIN_US (100 * BBL_USEC_PER_MS)
/* Servers that are overdue at the same time if the links are lost. One or two
 * may have paused, unless they are all. */
#define OVERDUE_SERVERS 3
#define OVERDUE_SERVERS_MIN 2

const char *
bbl_reach_level_name(bbl_reach_level level)
{
    static const char *const names[] = {"most", "few", "none"};

    return names[level];
}

int
bbl_reach_level_parse(bbl_reach_level *out, bbl_str name)
{
    for (int i = BBL_REACH_MOST; i <= BBL_REACH_NONE; i++) {
        const char *known = bbl_reach_level_name((bbl_reach_level)i);

        if (bbl_str_equal(name, (bbl_str){known, strlen(known)})) {
            *out = (bbl_reach_level)i;
            return 0;
        }
    }
    return bbl_error_set(BBL_EINVAL, "no level of reach");
}

bbl_reach_level
bbl_reach_get_level(const bbl_reach *r)
{
    return r->isolated ? BBL_REACH_NONE : r->level;
}

void
bbl_reach_start_count(bbl_reach *r)
{
    r->usable = 0;
    r->unreachable = 0;
    r->overdue = 0;
}

void
bbl_reach_count(bbl_reach *r, const bbl_backend *b, bbl_usec now)
{
    bbl_backend_state state = bbl_backend_get_state(b, now);

    r->usable += state == BBL_BACKEND_USABLE;
    r->unreachable += state == BBL_BACKEND_DOWN || state == BBL_BACKEND_UNSURE;
}

bool
bbl_reach_finish_count(bbl_reach *r)
{
    bbl_reach_level before = r->level;

    r->level = r->usable >= r->unreachable ? BBL_REACH_MOST
               : r->usable > 0             ? BBL_REACH_FEW
                                           : BBL_REACH_NONE;
    return r->level != before;
}

bool
bbl_reach_is_overdue(const bbl_reach *r, const bbl_backend *b, bbl_usec now,
                     bbl_usec service_time)
{
    bbl_usec limit = OVERDUE_SERVICE_TIMES * service_time;

    limit = limit < OVERDUE_MIN_US ? OVERDUE_MIN_US : limit;
    return b->in_flight > 0 && r->contact_at < b->oldest_sent_at &&
           now > b->oldest_sent_at + limit;
}

bool
bbl_reach_update_isolated(bbl_reach *r, bbl_usec now)
{
    if (r->isolated) {
        /*
         * Connections to unreachable servers are tried again and again.
         * Without such a server only the next attempts can show that the links
         * are back.
         */
        r->isolated = r->contact_at <= r->isolated_at && r->unreachable > 0;
        return false;
    }
    if (r->overdue >= OVERDUE_SERVERS ||
        (r->overdue >= OVERDUE_SERVERS_MIN && r->overdue >= r->usable)) {
        r->isolated = true;
        r->isolated_at = now;
    }
    return r->isolated;
}
