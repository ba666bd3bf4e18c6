#include "control/voter_plan.h"

static const bbl_voter_seen *
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
        const bbl_voter_seen *v = find_voter(in, in->candidates[i].host);

        if (v != NULL && !v->learner && v->disk != in->candidates[i].disk) {
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
static const bbl_voter_seen *
find_lost(const bbl_voter_plan_input *in)
{
    const bbl_voter_seen *lost = NULL;

    for (size_t i = 0; i < in->voter_count; i++) {
        const bbl_voter_seen *v = &in->voters[i];

        if (v->silent >= in->lost_after &&
            (lost == NULL || v->silent > lost->silent)) {
            lost = v;
        }
    }
    return lost;
}

static bool
has_sound_learner(const bbl_voter_plan_input *in)
{
    for (size_t i = 0; i < in->voter_count; i++) {
        if (in->voters[i].learner && in->voters[i].silent < in->lost_after) {
            return true;
        }
    }
    return false;
}

bool
bbl_voter_plan(const bbl_voter_plan_input *in, bbl_voter_step *out)
{
    const bbl_voter_candidate *candidate = find_emptied(in);
    const bbl_voter_seen *lost;

    out->add = 0;
    out->remove = 0;
    if (candidate != NULL) {
        out->add = candidate->host;
        return true;
    }
    candidate = find_newcomer(in);
    if (candidate == NULL || has_sound_learner(in)) {
        return false; /* the learner is promoted before the next joins */
    }
    out->add = candidate->host;
    if (in->voter_count < in->wanted) {
        return true;
    }
    lost = find_lost(in);
    out->remove = lost != NULL ? lost->host : 0;
    return lost != NULL;
}
