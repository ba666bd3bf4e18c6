#include "forward/crash_alert.h"

#define ALERT_US (10 * BBL_USEC_PER_SEC)
/* Servers that end within the window if a query is the cause. */
#define ENDED_MIN 3
#define WINDOW_US (250 * BBL_USEC_PER_MS)

void
bbl_crash_alert_raise(bbl_crash_alert *a, bbl_usec now)
{
    a->until = now + ALERT_US;
}

void
bbl_crash_alert_count(bbl_crash_alert *a, bbl_usec now)
{
    if (now > a->window_start + WINDOW_US) {
        a->window_start = now;
        a->ended = 0;
    }
    if (++a->ended >= ENDED_MIN) {
        bbl_crash_alert_raise(a, now);
    }
}

bool
bbl_crash_alert_is_raised(const bbl_crash_alert *a, bbl_usec now)
{
    return now < a->until;
}
