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

/* Returns a voter whose host runs with another, empty disk. */
static const bbl_voter_candidate *
find_emptied(const bbl_voter_plan_input *in)
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
find_newcomer(const bbl_voter_plan_input *in)
{
    for (size_t i = 0; i < in->candidate_count; i++) {
        if (find_voter(in, in->candidates[i].host) == NULL) {
            return &in->candidates[i];
        }
    }
    return NULL;
}

/* Returns the voter or learner that has been silent longest, if for long. */
static const bbl_voter_status *
find_lost(const bbl_voter_plan_input *in)
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
has_sound_learner(const bbl_voter_plan_input *in)
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
    const bbl_voter_candidate *candidate = find_emptied(in);
    const bbl_voter_status *lost;

    out->add_host = 0;
    out->remove_host = 0;
    if (candidate != NULL) {
        out->add_host = candidate->host;
        return true;
    }
    candidate = find_newcomer(in);
    if (candidate == NULL || has_sound_learner(in)) {
        return false; /* the learner is promoted before the next joins */
    }
    out->add_host = candidate->host;
    if (in->voter_count < in->target_voters) {
        return true;
    }
    lost = find_lost(in);
    out->remove_host = lost != NULL ? lost->host : 0;
    return lost != NULL;
}
