#include "forward/placement.h"

#include <math.h>

/* There and back between data centres, about. */
#define OTHER_ZONE_US 2500.0
/* Part of the target that another one must win, if there is a target. */
#define OTHER_ZONE_SHARE 0.08
#define FAILURE_COST 6.0 /* service times that a failed request costs */
#define STALL_COST 8.0   /* service times that a pause lasts, about */
#define FULL_COST 8.0    /* of a server that has just refused work */
#define TIE_SPREAD 0.1   /* of the cost: spreads equal servers */

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

/* Returns the time that a request is expected to take, in microseconds. */
static double
expected_time(const bbl_placement_input *in, const bbl_backend *b,
              bbl_usec now, bbl_room room)
{
    double opening =
        room == BBL_ROOM_READY ? 0 : bbl_backend_get_connect_time(b);
    double slots = b->listed.slots > 0 ? b->listed.slots : 1;
    double detour = fmax(OTHER_ZONE_US, OTHER_ZONE_SHARE * (double)in->target);
    double units =
        bbl_backend_get_slowness(b, now) * (1 + b->in_flight / slots);

    units += FAILURE_COST * bbl_backend_get_failure_rate(b, now);
    if (bbl_backend_is_stalled(b, now, in->stall_timeout)) {
        units += STALL_COST;
    }
    if (b->full_until > now) {
        units += FULL_COST;
    }
    return units * (double)in->service_time + (b->same_zone ? 0 : detour) +
           opening;
}

bbl_backend *
bbl_placement_choose(const bbl_placement_input *in,
                     bbl_backend *const *backends, size_t count, bbl_usec now,
                     bbl_placement_room_cb room, void *room_ctx, bbl_rng *rng,
                     size_t *usable)
{
    bbl_backend *best = NULL;
    double best_cost = 0;

    *usable = 0;
    for (size_t i = 0; i < count; i++) {
        bbl_backend *b = backends[i];
        bbl_room free_room;
        double cost;

        if (bbl_backend_get_state(b, now) != BBL_BACKEND_USABLE ||
            was_tried(in, b)) {
            continue;
        }
        (*usable)++;
        free_room = room(room_ctx, b, now);
        if (free_room == BBL_ROOM_NONE ||
            (in->hedge && bbl_backend_is_stalled(b, now, in->stall_timeout))) {
            continue;
        }
        cost = expected_time(in, b, now, free_room) *
               (1 + TIE_SPREAD * bbl_rng_unit(rng));
        if (best == NULL || cost < best_cost) {
            best = b;
            best_cost = cost;
        }
    }
    return best;
}
