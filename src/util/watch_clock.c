#include "util/watch_clock.h"

bbl_usec
bbl_watch_clock_get(const bbl_watch_clock *clock, bbl_usec now, bbl_usec wait)
{
    bbl_usec most = wait + BBL_WATCH_SLACK_US;
    bbl_usec elapsed = 0;

    if (clock->ended_at != 0 && now > clock->ended_at) {
        elapsed = now - clock->ended_at;
    }
    return 1 + clock->watched + (elapsed < most ? elapsed : most);
}

bbl_usec
bbl_watch_clock_end_turn(bbl_watch_clock *clock, bbl_usec now, bbl_usec wait)
{
    bbl_usec watched = bbl_watch_clock_get(clock, now, wait);

    clock->watched = watched - 1;
    clock->ended_at = now;
    return watched;
}
