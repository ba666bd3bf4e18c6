/*
 * drain_plan.h - whether a host that is shutting down still serves a request.
 *
 * Load pattern: callers keep their connections to a host that ends within a
 * grace time, and the load balancer sends it new ones for some seconds. A
 * request that would still run at the end could only be answered with a
 * failure, and one that is not idempotent could then not be repeated. It is
 * refused as not run instead, so that its caller goes to another host.
 */
#ifndef BBL_FORWARD_DRAIN_PLAN_H
#define BBL_FORWARD_DRAIN_PLAN_H

#include <stdbool.h>

#include "bbl/types.h"

typedef struct {
    bbl_usec remaining;    /* time until the host answers what is still open */
    bbl_usec time_left;    /* until the deadline of the request */
    bbl_usec service_time; /* expected time until a response */
    bool idempotent;
} bbl_drain_plan_input;

/* Returns whether what remains covers the request. */
bool bbl_drain_plan_admits(const bbl_drain_plan_input *in);

#endif
