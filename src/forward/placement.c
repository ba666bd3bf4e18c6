#include "forward/placement.h"

#include <math.h>

/* Approximate round trip time between data centres. */
#define REMOTE_ZONE_US 2500.0
/* Share of the target that a server in another data centre must save. */
#define REMOTE_ZONE_TARGET_SHARE 0.08
/* Costs in service times, or in PENALTY_TARGET_SHARE of the target if longer:
 * a failed or stalled attempt takes the time of another one, and its part may
 * be lost for the answer. */
#define FAILURE_COST 6.0 /* per failed request */
#define STALL_COST 8.0   /* approximate duration of a pause */
#define FULL_COST 8.0    /* after a refusal */
#define PENALTY_TARGET_SHARE 0.3
/* Random share of the cost; spreads the load over equal servers. */
#define TIE_SPREAD 0.1

static bool
was_tried(const bbl_placement_input *in, const bbl_backend *b)
{
    for (size_t i = 0; i < in->tried_count; i++) {
        if (in->tried[i] == b) {
            return true;
        }
    }
    return false;
}

/*
 * Returns the expected time of a request in microseconds, penalties included.
 *
 * @param rated whether the ratings by which hosts tell each other of bad
 *              servers count
 */
static double
expected_time(const bbl_placement_input *in, const bbl_backend *b,
              bbl_usec now, bbl_room room, bool rated)
{
    double opening =
        room == BBL_ROOM_READY ? 0 : bbl_backend_get_connect_time(b);
    double slots = b->listed.slots > 0 ? b->listed.slots : 1;
    double detour = in->hedge || in->tried_count > 0
                        ? REMOTE_ZONE_US
                        : fmax(REMOTE_ZONE_US,
                               REMOTE_ZONE_TARGET_SHARE * (double)in->target);
    double penalty_unit = fmax((double)in->service_time,
                               PENALTY_TARGET_SHARE * (double)in->target);
    double slowness = bbl_backend_get_slowness(b, now);
    double failures = bbl_backend_get_failure_rate(b, now);
    double penalties;

    if (rated) {
        slowness =
            fmax(slowness, bbl_server_health_get_slowness(&b->health, now));
        failures = fmax(failures, bbl_server_health_get_loss(&b->health, now));
    }
    penalties = FAILURE_COST * failures;
    if (bbl_backend_is_stalled(b, now, in->stall_timeout)) {
        penalties += STALL_COST;
    }
    if (b->full_until > now) {
        penalties += FULL_COST;
    }
    return slowness * (1 + b->in_flight / slots) * (double)in->service_time +
           penalties * penalty_unit + (b->same_zone ? 0 : detour) + opening;
}

static bool
is_rated_bad(const bbl_backend *b, bbl_usec now)
{
    return bbl_server_health_get_level(&b->health, now) == BBL_HEALTH_BAD;
}

bool
bbl_placement_has_choice_of_health(bbl_backend *const *backends, size_t count,
                                   bbl_usec now)
{
    bool bad = false;
    bool other = false;

    for (size_t i = 0; i < count; i++) {
        if (bbl_backend_get_state(backends[i], now) == BBL_BACKEND_USABLE) {
            bad = bad || is_rated_bad(backends[i], now);
            other = other || !is_rated_bad(backends[i], now);
        }
    }
    return bad && other;
}

bool
bbl_placement_is_eligible(const bbl_placement_input *in, const bbl_backend *b,
                          bbl_usec now)
{
    return bbl_backend_get_state(b, now) == BBL_BACKEND_USABLE &&
           (in->version == BBLX_VERSION_UNKNOWN ||
            in->version == b->version) &&
           !was_tried(in, b);
}

bbl_backend *
bbl_placement_choose(const bbl_placement_input *in,
                     bbl_backend *const *backends, size_t count, bbl_usec now,
                     bbl_placement_room_cb room, void *room_ctx, bbl_rng *rng,
                     bbl_placement_counts *counts)
{
    bbl_backend *best = NULL;
    bbl_backend *best_unrated = NULL;
    double best_cost = 0;
    double best_unrated_cost = 0;

    *counts = (bbl_placement_counts){0, 0, false};
    for (size_t i = 0; i < count; i++) {
        bbl_backend *b = backends[i];
        bbl_room free_room;
        double spread;
        double cost;
        double unrated_cost;
        bool bad;

        if (!bbl_placement_is_eligible(in, b, now)) {
            continue;
        }
        counts->usable++;
        if (!bbl_rate_limit_may_send(&b->limit, now)) {
            counts->limited++;
            continue;
        }
        free_room = room(room_ctx, b, now);
        if (free_room == BBL_ROOM_NONE ||
            (in->hedge && bbl_backend_is_stalled(b, now, in->stall_timeout))) {
            continue;
        }
        bad = is_rated_bad(b, now);
        spread = bbl_rng_unit(rng);
        cost = expected_time(in, b, now, free_room, bad) *
               (1 + TIE_SPREAD * spread);
        unrated_cost = bad ? expected_time(in, b, now, free_room, false) *
                                 (1 + TIE_SPREAD * spread)
                           : cost;
        if (in->probe && bad) {
            cost = -spread; /* any one of them */
        }
        if (best == NULL || cost < best_cost) {
            best = b;
            best_cost = cost;
        }
        if (best_unrated == NULL || unrated_cost < best_unrated_cost) {
            best_unrated = b;
            best_unrated_cost = unrated_cost;
        }
    }
    counts->moved = best != best_unrated && !in->probe;
    return best;
}
