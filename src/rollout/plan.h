/*
 * plan.h - the steps of a rollout: how large a share of the requests of a
 * service the servers of the new version get, and how the rollout ends.
 *
 * The share stays small until nearly the deadline, and quick steps to all
 * requests follow. So even a version that turns bad at the last step gets at
 * most a tenth of the requests between the order and the deadline, and one
 * that turns bad at any time before is found while its share is small.
 */
#ifndef BBL_ROLLOUT_PLAN_H
#define BBL_ROLLOUT_PLAN_H

#include "bbl/types.h"
#include "rollout/judge.h"

#define BBL_SHARE_ALL 10000u /* shares are in 1/10000 */

typedef struct {
    bbl_usec duration; /* from the order to the deadline */
    bbl_usec left;     /* until the deadline; 0 after it */
    bbl_usec overdue;  /* since the deadline; 0 before it */
    uint32_t share;    /* present share of the new version */
    bbl_usec step_age; /* since the last step was recorded */
    /* Whether every live host applies the last step, and the requests that it
     * takes away from servers have ended there. */
    bool in_force;
    /* Whether the leases granted by an earlier leader have expired. */
    bool stable;
    bbl_verdict verdict; /* the worst one of all routes */
    /* Whether the list was read lately; a new leader has read none, and counts
     * no slots. */
    bool listed;
    /* Slots of the warm servers of the new version, and of all others. */
    unsigned target_slots;
    unsigned other_slots;
    /* Whether the list, read well after the order, has warm servers of the new
     * version and none of any other. */
    bool alone;
    /* How long some live entry host has not told that it applies the rollout;
     * 0 if all have. */
    bbl_usec unreported;
} bbl_plan_input;

typedef enum {
    BBL_PLAN_WAIT,
    BBL_PLAN_STEP, /* to another share */
    BBL_PLAN_COMPLETE,
    BBL_PLAN_ROLL_BACK
} bbl_plan_action;

typedef struct {
    bbl_plan_action action;
    uint32_t share;     /* BBL_PLAN_STEP */
    const char *reason; /* static string */
} bbl_plan_result;

/* Returns the share before the quick steps, for a duration. */
uint32_t bbl_plan_get_canary(bbl_usec duration);

/* Decides what to do now; the caller asks again soon. */
void bbl_plan_next(bbl_plan_result *out, const bbl_plan_input *in);

#endif
