#include "forward/backend.h"

#include <math.h>

#include "util/map.h"

/*
 * Half-life of a rating. Servers turn slow for seconds, so older results say
 * little.
 */
#define RATING_HALF_LIFE_US (2 * BBL_USEC_PER_SEC)
#define SLOWNESS_WEIGHT 0.25 /* weight of one response */
#define FAILURE_WEIGHT 0.2
#define SLOWNESS_MAX 20.0
/*
 * About one round trip between data centres; used until a connection was
 * opened.
 */
#define CONNECT_TIME_INITIAL_US 2000
#define CONNECT_TIME_WEIGHT 4 /* a sample counts 1/4 */
/*
 * A refusal arrives within one round trip. A failure after this time means
 * that the server did not respond.
 */
#define REFUSAL_TIMEOUT_US (150 * BBL_USEC_PER_MS)
/*
 * A server that responded within this time has not restarted, unless it
 * refused a connection.
 */
#define ALIVE_US (600 * BBL_USEC_PER_MS)
/* How long a server is avoided when its queue of connections is full. */
#define FULL_BACKOFF_US (200 * BBL_USEC_PER_MS)

bool
bbl_backend_is_leaving(const bbl_backend *b)
{
    return b->listed.leaving || b->backoff.leaving;
}

bbl_backend_state
bbl_backend_get_state(const bbl_backend *b, bbl_usec now)
{
    if (b->listed.gone) {
        return BBL_BACKEND_GONE;
    }
    if (bbl_backend_is_leaving(b)) {
        return BBL_BACKEND_LEAVING;
    }
    if (b->evacuated) {
        return BBL_BACKEND_EVACUATED;
    }
    if (b->withheld || b->unproven ||
        (b->needs_lease && now >= b->lease_until)) {
        return BBL_BACKEND_WITHHELD;
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
    if (bbl_backoff_is_active(&b->backoff, now)) {
        return BBL_BACKEND_BACKOFF;
    }
    return b->unsure_at != 0 ? BBL_BACKEND_UNSURE : BBL_BACKEND_USABLE;
}

const char *
bbl_backend_state_name(bbl_backend_state state)
{
    static const char *const names[] = {
        "usable", "gone",   "leaving",  "evacuated", "cold",
        "down",   "unsure", "replaced", "backoff",   "withheld",
    };

    return names[state];
}

static double
get_decay(const bbl_backend *b, bbl_usec now)
{
    return now > b->rated_at
               ? exp2(-(double)(now - b->rated_at) / RATING_HALF_LIFE_US)
               : 1;
}

double
bbl_backend_get_slowness(const bbl_backend *b, bbl_usec now)
{
    return b->slowness == 0 ? 1 : 1 + (b->slowness - 1) * get_decay(b, now);
}

double
bbl_backend_get_failure_rate(const bbl_backend *b, bbl_usec now)
{
    return b->failure_rate * get_decay(b, now);
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

void
bbl_backend_forget_ratings(bbl_backend *b)
{
    b->slowness = 0;
    b->failure_rate = 0;
}

/*
 * Returns whether the process last seen at the address is surely still
 * running.
 */
static bool
is_alive(const bbl_backend *b, bbl_usec now)
{
    bbl_usec seen =
        b->connected_at > b->answered_at ? b->connected_at : b->answered_at;

    return !b->connect_refused && now < seen + ALIVE_US;
}

bool
bbl_backend_is_refusal_time(bbl_usec took)
{
    return took < REFUSAL_TIMEOUT_US;
}

void
bbl_backend_record_connect_failure(bbl_backend *b, bbl_usec now, bbl_usec took)
{
    b->connect_refused =
        b->connect_refused || bbl_backend_is_refusal_time(took);
    if (is_alive(b, now)) {
        b->full_until = now + FULL_BACKOFF_US;
        return;
    }
    b->down = true;
    b->silent = false;
}

void
bbl_backend_record_connect(bbl_backend *b, bbl_usec now, bbl_usec took)
{
    /*
     * A server that was only silent has paused, or its connections have; it
     * has not restarted.
     */
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
            : (b->connect_time * (CONNECT_TIME_WEIGHT - 1) + took) /
                  CONNECT_TIME_WEIGHT;
}

double
bbl_backend_get_connect_time(const bbl_backend *b)
{
    return b->connect_time != 0 ? (double)b->connect_time
                                : CONNECT_TIME_INITIAL_US;
}

bool
bbl_backend_is_stalled(const bbl_backend *b, bbl_usec now,
                       bbl_usec stall_timeout)
{
    bbl_usec since = b->oldest_sent_at > b->answered_at ? b->oldest_sent_at
                                                        : b->answered_at;

    since = since > b->connected_at ? since : b->connected_at;

    return b->in_flight > 0 && now > since + stall_timeout;
}

void
bbl_backend_confirm(bbl_backend *b, bbl_usec list_read_at, bbl_usec list_lag)
{
    if (b->unsure_at != 0 && list_read_at > b->unsure_at + list_lag) {
        b->unsure_at = 0;
    }
    if (b->replaced && list_read_at > b->replaced_at + 2 * list_lag) {
        b->replaced = false; /* a later list still names this server */
    }
}
