#include "rollout/plan.h"

#include <math.h>

/* The share before the quick steps, if the duration allows it. */
#define CANARY 400u
#define CANARY_MIN 100u
/* Share of all requests of the duration that the plan may give to the new
 * version, if the version turns bad at the last step. */
#define EXPOSURE 0.095
/* The quick steps. */
#define FIRST_STEP 2000u
#define SECOND_STEP 5000u
/* Bounds of the time for which each of them is kept, and its share of the
 * duration: it lets the judgement catch up. */
#define HOLD_MIN_S 0.3
#define HOLD_MAX_S 2.0
#define HOLD_DURATION_SHARE 0.02
/* The same for the time between the last step and the deadline. All hosts
 * apply a step and end their requests within about half a second; a silent one
 * loses its lease after 1.5 s. */
#define FULL_MIN_S 1.2
#define FULL_MAX_S 2.5
#define FULL_DURATION_SHARE (1.0 / 15)
/* Share of that time that is kept for the record of the end. Before, all
 * requests are a test of the version under the whole load. */
#define END_SHARE 0.4
/* Share of the slots of the old servers that the warm new ones must have to
 * get as large a share of the requests. */
#define CAPACITY_SHARE 0.6
/* Hosts tell that they apply a rollout every second. A host that does not is
 * an earlier build, which sends to all servers alike. */
#define UNREPORTED_MAX_US (5 * BBL_USEC_PER_SEC)
/* A rollout that was held up, for example without a leader, ends this long
 * after the deadline. */
#define OVERDUE_MAX_US (15 * BBL_USEC_PER_SEC)

/* When the steps are due, as seconds before the deadline. */
typedef struct {
    double hold;
    double full;
} schedule;

static double
clamp(double value, double min, double max)
{
    return fmax(min, fmin(max, value));
}

static schedule
get_schedule(bbl_usec duration)
{
    double seconds = (double)duration / BBL_USEC_PER_SEC;

    return (schedule){
        clamp(HOLD_DURATION_SHARE * seconds, HOLD_MIN_S, HOLD_MAX_S),
        clamp(FULL_DURATION_SHARE * seconds, FULL_MIN_S, FULL_MAX_S)};
}

uint32_t
bbl_plan_get_canary(bbl_usec duration)
{
    schedule s = get_schedule(duration);
    double seconds = (double)duration / BBL_USEC_PER_SEC;
    double steps = (double)(FIRST_STEP + SECOND_STEP) / BBL_SHARE_ALL * s.hold;
    double left = EXPOSURE * seconds - steps - s.full;

    return (uint32_t)clamp(left / seconds * BBL_SHARE_ALL, CANARY_MIN, CANARY);
}

/* Returns the share that is due by the time that is left. */
static uint32_t
get_due_share(const bbl_plan_input *in)
{
    schedule s = get_schedule(in->duration);
    double left = (double)in->left / BBL_USEC_PER_SEC;

    if (left > s.full + 2 * s.hold) {
        return bbl_plan_get_canary(in->duration);
    }
    if (left > s.full + s.hold) {
        return FIRST_STEP;
    }
    return left > s.full ? SECOND_STEP : BBL_SHARE_ALL;
}

/* Returns the first share above the present one. */
static uint32_t
get_next_share(const bbl_plan_input *in)
{
    uint32_t canary = bbl_plan_get_canary(in->duration);

    return in->share < canary        ? canary
           : in->share < FIRST_STEP  ? FIRST_STEP
           : in->share < SECOND_STEP ? SECOND_STEP
                                     : BBL_SHARE_ALL;
}

/* Returns whether the warm new servers can take a share of the requests. */
static bool
has_capacity(const bbl_plan_input *in, uint32_t share)
{
    return in->target_slots > 0 &&
           in->target_slots >=
               CAPACITY_SHARE * in->other_slots * share / BBL_SHARE_ALL;
}

static bbl_plan_result
decide(bbl_plan_action action, uint32_t share, const char *reason)
{
    return (bbl_plan_result){action, share, reason};
}

/* Decides after the last step, when all requests go to the new version. */
static bbl_plan_result
decide_last(const bbl_plan_input *in)
{
    schedule s = get_schedule(in->duration);

    if (in->in_force && in->stable) {
        return (double)in->left > END_SHARE * s.full * BBL_USEC_PER_SEC
                   ? decide(BBL_PLAN_WAIT, in->share, "the end is not due")
                   : decide(BBL_PLAN_COMPLETE, in->share,
                            "in force everywhere");
    }
    if (in->overdue > OVERDUE_MAX_US) {
        return decide(BBL_PLAN_ROLL_BACK, 0, "the last step is not in force");
    }
    return decide(BBL_PLAN_WAIT, in->share, "the last step is not in force");
}

static bbl_plan_result
decide_step(const bbl_plan_input *in)
{
    uint32_t next = get_next_share(in);

    if (in->share == 0 && in->alone && in->in_force && in->stable) {
        /* Any share would only refuse requests. */
        return decide(BBL_PLAN_COMPLETE, 0, "no other version is listed");
    }
    if (in->share >= get_due_share(in)) {
        return decide(BBL_PLAN_WAIT, in->share, "no step is due");
    }
    if (!has_capacity(in, next)) {
        return in->left == 0 && (in->listed || in->overdue > OVERDUE_MAX_US)
                   ? decide(BBL_PLAN_ROLL_BACK, 0, "too few warm servers")
                   : decide(BBL_PLAN_WAIT, in->share, "too few warm servers");
    }
    if (in->overdue > OVERDUE_MAX_US) {
        return decide(BBL_PLAN_ROLL_BACK, 0, "the deadline has passed");
    }
    if (!in->stable || !in->in_force) {
        return decide(BBL_PLAN_WAIT, in->share, "a step is not in force");
    }
    if (in->unreported > 0) {
        return decide(BBL_PLAN_WAIT, in->share, "a host has not reported");
    }
    if (in->share >= FIRST_STEP &&
        in->step_age < HOLD_MIN_S * BBL_USEC_PER_SEC) {
        return decide(BBL_PLAN_WAIT, in->share, "the last step is recent");
    }
    return decide(BBL_PLAN_STEP, next, "due");
}

void
bbl_plan_next(bbl_plan_result *out, const bbl_plan_input *in)
{
    if (in->verdict == BBL_VERDICT_BAD) {
        *out = decide(BBL_PLAN_ROLL_BACK, 0, "judged bad");
    }
    else if (in->unreported > UNREPORTED_MAX_US) {
        *out = decide(BBL_PLAN_ROLL_BACK, 0, "a host has not reported");
    }
    else {
        *out = in->share == BBL_SHARE_ALL ? decide_last(in) : decide_step(in);
    }
}
