#include "control/voter_plan.h"

static const bbl_voter_status *
find_member(const bbl_voter_plan_input *in, uint32_t host)
{
    for (size_t i = 0; i < in->voter_count; i++) {
        if (in->voters[i].host == host) {
            return &in->voters[i];
        }
    }
    return NULL;
}

static size_t
count_voters(const bbl_voter_plan_input *in)
{
    size_t n = 0;

    for (size_t i = 0; i < in->voter_count; i++) {
        n += !in->voters[i].learner;
    }
    return n;
}

static bool
is_lost(const bbl_voter_plan_input *in, const bbl_voter_status *v)
{
    return v->silence >= in->lost_after;
}

/* Returns a voter whose host runs with another journal, or NULL. */
static const bbl_voter_candidate *
find_voter_with_new_disk(const bbl_voter_plan_input *in)
{
    for (size_t i = 0; i < in->candidate_count; i++) {
        const bbl_voter_status *v = find_member(in, in->candidates[i].host);

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
static const bbl_voter_status *
find_lost(const bbl_voter_plan_input *in, bool learner)
{
    const bbl_voter_status *lost = NULL;

    for (size_t i = 0; i < in->voter_count; i++) {
        const bbl_voter_status *v = &in->voters[i];

        if (v->learner == learner && is_lost(in, v) && v->host != in->leader &&
            (lost == NULL || v->silence > lost->silence)) {
            lost = v;
        }
    }
    return lost;
}

static const bbl_voter_status *
find_draining(const bbl_voter_plan_input *in, bool learner)
{
    for (size_t i = 0; i < in->voter_count; i++) {
        const bbl_voter_status *v = &in->voters[i];

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
static const bbl_voter_status *
find_departing_voter(const bbl_voter_plan_input *in)
{
    const bbl_voter_status *lost = find_lost(in, false);

    return lost != NULL ? lost : find_draining(in, false);
}

static size_t
count_reachable_learners(const bbl_voter_plan_input *in, bool draining_too)
{
    size_t n = 0;

    for (size_t i = 0; i < in->voter_count; i++) {
        const bbl_voter_status *v = &in->voters[i];

        n += v->learner && !is_lost(in, v) && (draining_too || !v->draining);
    }
    return n;
}

size_t
bbl_voter_plan_get_limit(const bbl_voter_plan_input *in)
{
    bool replaces = find_departing_voter(in) != NULL &&
                    count_reachable_learners(in, false) > 0;

    return in->target_voters + (replaces ? 1 : 0);
}

/*
 * Returns the member to remove without another one joining, or NULL. Only a
 * full set of voters loses members: a smaller one needs each copy.
 */
static const bbl_voter_status *
find_surplus_member(const bbl_voter_plan_input *in)
{
    size_t voters = count_voters(in);
    const bbl_voter_status *v;

    if (voters < in->target_voters) {
        return NULL;
    }
    if (voters > in->target_voters) {
        v = find_departing_voter(in);
        /* The voter that left has returned: its successor was added last. */
        for (size_t i = in->voter_count; i > 0 && v == NULL; i--) {
            const bbl_voter_status *last = &in->voters[i - 1];

            v = !last->learner && last->host != in->leader ? last : NULL;
        }
        return v;
    }
    v = find_draining(in, true);
    return v != NULL ? v : find_lost(in, true);
}

/* Chooses a host that joins as a learner; see bbl_voter_plan_next. */
static bool
plan_new_learner(const bbl_voter_plan_input *in, bbl_voter_change *out)
{
    const bbl_voter_candidate *candidate = find_new_host(in);
    const bbl_voter_status *lost = find_lost(in, true);
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
    const bbl_voter_status *surplus = find_surplus_member(in);

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
