#include "control/voter_plan.h"

static const bbl_member_status *
find_member(const bbl_voter_plan_input *in, uint32_t host)
{
    for (size_t i = 0; i < in->member_count; i++) {
        if (in->members[i].host == host) {
            return &in->members[i];
        }
    }
    return NULL;
}

static size_t
count_voters(const bbl_voter_plan_input *in)
{
    size_t n = 0;

    for (size_t i = 0; i < in->member_count; i++) {
        n += !in->members[i].learner;
    }
    return n;
}

static bool
is_lost(const bbl_voter_plan_input *in, const bbl_member_status *v)
{
    return v->silence >= in->lost_after;
}

/* Returns a voter whose host runs with another journal, or NULL. */
static const bbl_voter_candidate *
find_voter_with_new_disk(const bbl_voter_plan_input *in)
{
    for (size_t i = 0; i < in->candidate_count; i++) {
        const bbl_member_status *v = find_member(in, in->candidates[i].host);

        if (v != NULL && !v->learner &&
            v->disk_id != in->candidates[i].disk_id) {
            return &in->candidates[i];
        }
    }
    return NULL;
}

static const bbl_voter_candidate *
find_new_host(const bbl_voter_plan_input *in)
{
    for (size_t i = 0; i < in->candidate_count; i++) {
        if (find_member(in, in->candidates[i].host) == NULL) {
            return &in->candidates[i];
        }
    }
    return NULL;
}

/* Returns the lost voter, or lost learner, with the longest silence, or NULL.
 */
static const bbl_member_status *
find_lost(const bbl_voter_plan_input *in, bool learner)
{
    const bbl_member_status *lost = NULL;

    for (size_t i = 0; i < in->member_count; i++) {
        const bbl_member_status *v = &in->members[i];

        if (v->learner == learner && is_lost(in, v) && v->host != in->leader &&
            (lost == NULL || v->silence > lost->silence)) {
            lost = v;
        }
    }
    return lost;
}

static const bbl_member_status *
find_draining(const bbl_voter_plan_input *in, bool learner)
{
    for (size_t i = 0; i < in->member_count; i++) {
        const bbl_member_status *v = &in->members[i];

        if (v->learner == learner && v->draining && v->host != in->leader) {
            return v;
        }
    }
    return NULL;
}

/*
 * Returns the voter whose place a spare should take, or NULL. A lost voter
 * comes first: the group can lose fewer disks until it is replaced.
 */
static const bbl_member_status *
find_departing_voter(const bbl_voter_plan_input *in)
{
    const bbl_member_status *lost = find_lost(in, false);

    return lost != NULL ? lost : find_draining(in, false);
}

static size_t
count_reachable_learners(const bbl_voter_plan_input *in, bool draining_too)
{
    size_t n = 0;

    for (size_t i = 0; i < in->member_count; i++) {
        const bbl_member_status *v = &in->members[i];

        n += v->learner && !is_lost(in, v) && (draining_too || !v->draining);
    }
    return n;
}

/* Returns whether the leader drains. It is replaced once another host leads:
 * in a group with one voter that is the spare. */
static bool
is_leader_draining(const bbl_voter_plan_input *in)
{
    const bbl_member_status *leader = find_member(in, in->leader);

    return leader != NULL && leader->draining;
}

size_t
bbl_voter_plan_get_limit(const bbl_voter_plan_input *in)
{
    bool replaces =
        (find_departing_voter(in) != NULL || is_leader_draining(in)) &&
        count_reachable_learners(in, false) > 0;

    return in->target_voters + (replaces ? 1 : 0);
}

/* Returns the voter that was added last, the leader excepted, or NULL. */
static const bbl_member_status *
find_last_follower(const bbl_voter_plan_input *in)
{
    for (size_t i = in->member_count; i > 0; i--) {
        const bbl_member_status *v = &in->members[i - 1];

        if (!v->learner && v->host != in->leader) {
            return v;
        }
    }
    return NULL;
}

/*
 * Returns the member to remove without another one joining, or NULL. Only a
 * full set of voters loses members: a smaller one needs each copy.
 */
static const bbl_member_status *
find_surplus_member(const bbl_voter_plan_input *in)
{
    size_t voters = count_voters(in);
    const bbl_member_status *departing = find_departing_voter(in);

    if (voters < in->target_voters) {
        return NULL;
    }
    if (voters > in->target_voters) {
        if (departing != NULL || is_leader_draining(in)) {
            return departing;
        }
        /* The voter that was to leave has returned. */
        return find_last_follower(in);
    }
    return find_draining(in, true) != NULL ? find_draining(in, true)
                                           : find_lost(in, true);
}

/* Chooses a host that joins as a learner; see bbl_voter_plan_next. */
static bool
plan_new_learner(const bbl_voter_plan_input *in, bbl_voter_change *out)
{
    const bbl_voter_candidate *candidate = find_new_host(in);
    const bbl_member_status *lost = find_lost(in, true);
    size_t learners = count_reachable_learners(in, true);
    /* A learner is promoted before the next host joins. */
    size_t room = count_voters(in) < in->target_voters ? 1 : in->spares_max;

    if (candidate == NULL || learners >= room) {
        return false;
    }
    out->add_host = candidate->host;
    out->remove_host = lost != NULL ? lost->host : 0;
    return true;
}

bool
bbl_voter_plan_next(const bbl_voter_plan_input *in, bbl_voter_change *out)
{
    const bbl_voter_candidate *wiped = find_voter_with_new_disk(in);
    const bbl_member_status *surplus = find_surplus_member(in);

    out->add_host = 0;
    out->remove_host = 0;
    if (wiped != NULL) {
        out->add_host = wiped->host;
        return true;
    }
    if (surplus != NULL) {
        out->remove_host = surplus->host;
        return true;
    }
    return plan_new_learner(in, out);
}
