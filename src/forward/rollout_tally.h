/*
 * rollout_tally.h - what an entry host has counted for running rollouts: first
 * attempts at the servers of a service, by route and version. The counts grow
 * from the start of the rollout at this host, so that a lost message costs
 * nothing.
 */
#ifndef BBL_FORWARD_ROLLOUT_TALLY_H
#define BBL_FORWARD_ROLLOUT_TALLY_H

#include "model/codec.h"
#include "rollout/judge.h"
#include "util/vec.h"

typedef struct {
    uint64_t order; /* of the rollout */
    uint64_t route; /* hash of the name */
    bool target;    /* at servers of the target version */
    bbl_judge_sample sample;
} bbl_rollout_tally_row;

typedef struct {
    bbl_vec orders; /* uint64_t: the running rollouts that this host applies */
    bbl_vec rows;   /* bbl_rollout_tally_row */
} bbl_rollout_tally;

void bbl_rollout_tally_init(bbl_rollout_tally *tally);
void bbl_rollout_tally_free(bbl_rollout_tally *tally);

/* Replaces the running rollouts, and drops the counts of all others. */
void bbl_rollout_tally_set_orders(bbl_rollout_tally *tally,
                                  const bbl_vec *orders);

/* Returns the counts of a route, or NULL if the rollout does not run. */
bbl_judge_sample *bbl_rollout_tally_get(bbl_rollout_tally *tally,
                                        uint64_t order, uint64_t route,
                                        bool target);

/* Fills a message without the incarnation, to be freed with BBL_XDR_FREE. */
void bbl_rollout_tally_write(const bbl_rollout_tally *tally,
                             bblx_rollout_counts *out);

#endif
