/*
 * gate.h - decides for each request of a service under a rollout whether its
 * first attempt goes to the new version.
 *
 * Each request is drawn for itself, so that the sum over all hosts keeps to
 * the share, however few requests a host sees and whatever it has forgotten
 * at a restart. Besides, a host keeps its own count within the share.
 */
#ifndef BBL_ROLLOUT_GATE_H
#define BBL_ROLLOUT_GATE_H

#include "bbl/types.h"
#include "util/rng.h"

typedef struct {
    double allowed; /* sum of the shares of the requests so far */
    double taken;   /* requests for the new version */
} bbl_gate;

/*
 * Draws a request for the new version.
 *
 * @param share of the new version, 0 to 1
 */
bool bbl_gate_draw(bbl_gate *gate, double share, bbl_rng *rng);

/* Returns a request that was drawn and not sent to the new version. */
void bbl_gate_return(bbl_gate *gate);

#endif
