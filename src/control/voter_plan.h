/*
 * voter_plan.h - the choice of the next change of voters: hosts with a disk
 * join until there are as many voters as wanted, and a voter that is silent
 * for good, or has lost its disk, is replaced. One change at a time, so that
 * any two successive sets of voters share a majority.
 */
#ifndef BBL_VOTER_PLAN_H
#define BBL_VOTER_PLAN_H

#include "bbl/types.h"

#define BBL_VOTERS_MAX 31
#define BBL_VOTER_CANDIDATES_MAX 64

/* A voter or learner as the leader sees it. */
typedef struct {
    uint32_t host;
    uint64_t disk_id; /* identity of the journal that counts */
    bool learner;
    bbl_usec silence; /* since its last reply */
} bbl_voter_status;

/* A host that runs now and has a disk. */
typedef struct {
    uint32_t host;
    uint64_t disk_id; /* identity of its present journal */
} bbl_voter_candidate;

typedef struct {
    uint32_t target_voters;
    bbl_usec lost_after; /* silence after which a voter may be replaced */
    bbl_voter_status voters[BBL_VOTERS_MAX];
    size_t voter_count;
    bbl_voter_candidate candidates[BBL_VOTER_CANDIDATES_MAX];
    size_t candidate_count;
} bbl_voter_plan_input;

typedef struct {
    uint32_t add_host;    /* host to add as a learner */
    uint32_t remove_host; /* voter to remove in the same change; 0: none */
} bbl_voter_change;

/* Returns whether a change is due, and which. */
bool bbl_voter_plan_next(const bbl_voter_plan_input *in,
                         bbl_voter_change *out);

#endif
