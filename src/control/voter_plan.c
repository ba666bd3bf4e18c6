#include "control/voter_plan.h"

static const bbl_voter_status *
find_voter(const bbl_voter_plan_input *in, uint32_t host)
{
    for (size_t i = 0; i < in->voter_count; i++) {
        if (in->voters[i].host == host) {
            return &in->voters[i];
        }
    }
    return NULL;
}

/* Returns a voter whose host runs with another journal, or NULL. */
static const bbl_voter_candidate *
find_voter_with_new_disk(const bbl_voter_plan_input *in)
{
    for (size_t i = 0; i < in->candidate_count; i++) {
        const bbl_voter_status *v = find_voter(in, in->candidates[i].host);

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
        if (find_voter(in, in->candidates[i].host) == NULL) {
            return &in->candidates[i];
        }
    }
    return NULL;
}

/* Returns the lost voter or learner with the longest silence, or NULL. */
static const bbl_voter_status *
find_lost_voter(const bbl_voter_plan_input *in)
{
    const bbl_voter_status *lost = NULL;

    for (size_t i = 0; i < in->voter_count; i++) {
        const bbl_voter_status *v = &in->voters[i];

        if (v->silence >= in->lost_after &&
            (lost == NULL || v->silence > lost->silence)) {
            lost = v;
        }
    }
    return lost;
}

static bool
has_reachable_learner(const bbl_voter_plan_input *in)
{
    for (size_t i = 0; i < in->voter_count; i++) {
        if (in->voters[i].learner && in->voters[i].silence < in->lost_after) {
            return true;
        }
    }
    return false;
}

bool
bbl_voter_plan_next(const bbl_voter_plan_input *in, bbl_voter_change *out)
{
    const bbl_voter_candidate *candidate = find_voter_with_new_disk(in);
    const bbl_voter_status *lost;

    out->add_host = 0;
    out->remove_host = 0;
    if (candidate != NULL) {
        out->add_host = candidate->host;
        return true;
    }
    candidate = find_new_host(in);
    if (candidate == NULL || has_reachable_learner(in)) {
        return false; /* a learner is promoted before the next host joins */
    }
    out->add_host = candidate->host;
    if (in->voter_count < in->target_voters) {
        return true;
    }
    lost = find_lost_voter(in);
    out->remove_host = lost != NULL ? lost->host : 0;
    return lost != NULL;
}
