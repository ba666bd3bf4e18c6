#include "forward/backend.h"

#include <math.h>

/* Half-life of a rating: servers turn slow for seconds, so an older rating
 * says little. */
#define FADE_US (2 * BBL_USEC_PER_SEC)
#define SLOWNESS_WEIGHT 0.25 /* of one response */
#define FAILURE_WEIGHT 0.2
#define SLOWNESS_MAX 20.0
/* One exchange between data centres, until a connection was opened. */
#define OPENING_FIRST_US 2000
#define OPENING_WEIGHT 4 /* the mean follows by this part */
/* A refusal comes within an exchange; after that nobody has answered. */
#define NO_ANSWER_US (150 * BBL_USEC_PER_MS)
/* Who answered so lately has not started again, unless it refused one. */
#define ALIVE_US (600 * BBL_USEC_PER_MS)
/* It is passed over that long when its queue of connections is full. */
#define CROWDED_US (200 * BBL_USEC_PER_MS)

bbl_backend_state
bbl_backend_get_state(const bbl_backend *b, bbl_usec now)
{
    if (b->listed.gone) {
        return BBL_BACKEND_GONE;
    }
    if (b->listed.leaving) {
        return BBL_BACKEND_LEAVING;
    }
    if (b->evacuated) {
        return BBL_BACKEND_EVACUATED;
    }
    if (b->replaced) {
        return BBL_BACKEND_REPLACED;
    }
    if (b->cold_until > now) {
        return BBL_BACKEND_COLD;
    }
    if (b->down) {
        return BBL_BACKEND_DOWN;
    }
    return b->unsure_at != 0 ? BBL_BACKEND_UNSURE : BBL_BACKEND_USABLE;
}

const char *
bbl_backend_state_name(bbl_backend_state state)
{
    static const char *const names[] = {
        "usable", "gone", "leaving", "evacuated",
        "cold",   "down", "unsure",  "replaced",
    };

    return names[state];
}

static double
fade(const bbl_backend *b, bbl_usec now)
{
    return now > b->rated_at ? exp2(-(double)(now - b->rated_at) / FADE_US)
                             : 1;
}

double
bbl_backend_get_slowness(const bbl_backend *b, bbl_usec now)
{
    return b->slowness == 0 ? 1 : 1 + (b->slowness - 1) * fade(b, now);
}

double
bbl_backend_get_failure_rate(const bbl_backend *b, bbl_usec now)
{
    return b->failure_rate * fade(b, now);
}

void
bbl_backend_record_result(bbl_backend *b, bbl_usec now, double slowness,
                          bool failed)
{
    double slow = bbl_backend_get_slowness(b, now);
    double failures = bbl_backend_get_failure_rate(b, now);

    if (slowness > 0) {
        slowness = slowness < SLOWNESS_MAX ? slowness : SLOWNESS_MAX;
        slow += (slowness - slow) * SLOWNESS_WEIGHT;
    }
    b->slowness = slow;
    b->failure_rate =
        failures + ((failed ? 1 : 0) - failures) * FAILURE_WEIGHT;
    b->rated_at = now;
}

/* Whether the process that was last seen there is sure to be running. */
static bool
is_alive(const bbl_backend *b, bbl_usec now)
{
    bbl_usec seen =
        b->connected_at > b->answered_at ? b->connected_at : b->answered_at;

    return !b->connect_refused && now < seen + ALIVE_US;
}

void
bbl_backend_record_connect_failure(bbl_backend *b, bbl_usec now, bbl_usec took)
{
    b->connect_refused = b->connect_refused || took < NO_ANSWER_US;
    if (is_alive(b, now)) {
        b->full_until = now + CROWDED_US;
        return;
    }
    b->down = true;
    b->silent = false;
}

void
bbl_backend_record_connect(bbl_backend *b, bbl_usec now, bbl_usec took)
{
    /* One that was only silent stands still, or the connections do. */
    if (b->down && !b->silent && !is_alive(b, now)) {
        b->unsure_at = now;
    }
    b->down = false;
    b->silent = false;
    b->connect_refused = false;
    b->connected_at = now;
    b->connect_time =
        b->connect_time == 0
            ? took
            : (b->connect_time * (OPENING_WEIGHT - 1) + took) / OPENING_WEIGHT;
}

double
bbl_backend_get_connect_time(const bbl_backend *b)
{
    return b->connect_time != 0 ? (double)b->connect_time : OPENING_FIRST_US;
}

bool
bbl_backend_is_stalled(const bbl_backend *b, bbl_usec now, bbl_usec patience)
{
    bbl_usec since = b->oldest_sent_at > b->answered_at ? b->oldest_sent_at
                                                        : b->answered_at;

    since = since > b->connected_at ? since : b->connected_at;

    return b->in_flight > 0 && now > since + patience;
}

void
bbl_backend_confirm(bbl_backend *b, bbl_usec list_read, bbl_usec lag)
{
    if (b->unsure_at != 0 && list_read > b->unsure_at + lag) {
        b->unsure_at = 0;
    }
    if (b->replaced && list_read > b->replaced_at + 2 * lag) {
        b->replaced = false; /* the list still names this server there */
    }
}
