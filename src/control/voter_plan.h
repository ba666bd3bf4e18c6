/*
 * voter_plan.h - choice of the next change of the members. Hosts with a disk
 * join until the target number of voters is reached. Further ones become
 * spares: learners that hold the log. A spare takes the place of a voter that
 * has been silent too long, or that shuts down and says so.
 *
 * The spare is promoted before the other voter is removed. So a host that
 * shuts down and waits for its removal leaves a group that can lose as many
 * disks as before, and a group that is cut in two never needs a majority of
 * fewer voters than the target. Changes are made one at a time, so that the
 * majorities of two successive sets of voters always intersect.
 */
#ifndef BBL_VOTER_PLAN_H
#define BBL_VOTER_PLAN_H

#include "bbl/types.h"

#define BBL_MEMBERS_MAX 31
#define BBL_VOTER_CANDIDATES_MAX 64

/* State of a voter or learner, as the leader knows it. */
typedef struct {
    uint32_t host;
    uint64_t disk_id; /* identity of the registered journal */
    bool learner;
    bool draining;    /* its process shuts down */
    bbl_usec silence; /* time since its last reply */
} bbl_member_status;

/* A running host that has a disk. */
typedef struct {
    uint32_t host;
    uint64_t disk_id; /* identity of its current journal */
} bbl_voter_candidate;

typedef struct {
    uint32_t leader; /* host that plans; never removed */
    uint32_t target_voters;
    uint32_t spares_max; /* learners that are kept beside the voters */
    bbl_usec lost_after; /* silence after which a voter is lost */
    bbl_member_status members[BBL_MEMBERS_MAX];
    size_t member_count;
    bbl_voter_candidate candidates[BBL_VOTER_CANDIDATES_MAX];
    size_t candidate_count;
} bbl_voter_plan_input;

/* A change of the members; 0 stands for no host. */
typedef struct {
    uint32_t add_host;    /* host to add as a learner */
    uint32_t remove_host; /* to remove in the same change */
} bbl_voter_change;

/* Returns whether the members should change, and the change in `out`. */
bool bbl_voter_plan_next(const bbl_voter_plan_input *in,
                         bbl_voter_change *out);

/* Returns the number of voters up to which learners should be promoted. */
size_t bbl_voter_plan_get_limit(const bbl_voter_plan_input *in);

#endif
