#include "rollout/gate.h"

/* Requests for the new version beyond the share, by chance: the draw of a host
 * that sees few requests may allow the first ones. */
#define BEYOND_SHARE 2.0

bool
bbl_gate_draw(bbl_gate *g, double share, bbl_rng *rng)
{
    bool drawn = bbl_rng_unit(rng) < share;

    g->allowed += share;
    if (!drawn || g->taken + 1 > g->allowed + BEYOND_SHARE) {
        return false;
    }
    g->taken += 1;
    return true;
}

void
bbl_gate_return(bbl_gate *g)
{
    g->taken -= 1;
}
