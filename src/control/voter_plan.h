/*
 * voter_plan.h - choice of the next voter change. Hosts with a disk join until
 * the target number of voters is reached. A voter that has been silent too
 * long, or has lost its disk, is replaced. Changes are made one at a time, so
 * that the majorities of two successive sets of voters always intersect.
 */
#ifndef BBL_VOTER_PLAN_H
#define BBL_VOTER_PLAN_H

#include "bbl/types.h"

#define BBL_VOTERS_MAX 31
#define BBL_VOTER_CANDIDATES_MAX 64

/* State of a voter or learner, as the leader knows it. */
typedef struct {
    uint32_t host;
    uint64_t disk_id; /* identity of the registered journal */
    bool learner;
    bbl_usec silence; /* time since its last reply */
} bbl_voter_status;

/* A running host that has a disk. */
typedef struct {
    uint32_t host;
    uint64_t disk_id; /* identity of its current journal */
} bbl_voter_candidate;

typedef struct {
    uint32_t target_voters;
    bbl_usec lost_after; /* silence after which a voter is lost */
    bbl_voter_status voters[BBL_VOTERS_MAX];
    size_t voter_count;
    bbl_voter_candidate candidates[BBL_VOTER_CANDIDATES_MAX];
    size_t candidate_count;
} bbl_voter_plan_input;

typedef struct {
    uint32_t add_host;    /* host to add as a learner */
    uint32_t remove_host; /* to remove in the same change; 0: none */
} bbl_voter_change;

/* Returns whether the voters should change, and the change in `out`. */
bool bbl_voter_plan_next(const bbl_voter_plan_input *in,
                         bbl_voter_change *out);

#endif
