#include "forward/reach.h"

const char *
bbl_reach_level_name(bbl_reach_level level)
{
    static const char *const names[] = {"most", "few", "none"};

    return names[level];
}

void
bbl_reach_start_count(bbl_reach *r)
{
    r->usable = 0;
    r->unreachable = 0;
}

void
bbl_reach_count(bbl_reach *r, const bbl_backend *b, bbl_usec now)
{
    bbl_backend_state state = bbl_backend_get_state(b, now);

    r->usable += state == BBL_BACKEND_USABLE;
    r->unreachable +=
        state == BBL_BACKEND_DOWN || state == BBL_BACKEND_UNSURE;
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
