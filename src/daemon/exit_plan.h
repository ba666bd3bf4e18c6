/*
 * exit_plan.h - when the process of a control host ends after SIGTERM.
 */
#ifndef BBL_EXIT_PLAN_H
#define BBL_EXIT_PLAN_H

#include "bbl/types.h"

typedef struct {
    bbl_usec spent; /* since SIGTERM */
    bbl_usec grace; /* from SIGTERM to SIGKILL */
    /* Another host can take its place as a voter; see
     * bbl_control_awaits_successor. */
    bool awaits_successor;
    size_t open_calls; /* of operators */
} bbl_exit_input;

bool bbl_exit_plan_is_due(const bbl_exit_input *in);

#endif
