/*
 * caller_identity.h - decides on behalf of which organisation a request is
 * run, if its routing has any. Pure functions.
 */
#ifndef BBL_FORWARD_CALLER_IDENTITY_H
#define BBL_FORWARD_CALLER_IDENTITY_H

#include "bbl/routing.h"

typedef struct {
    const bbl_routing *routing; /* the active one */
    const bbl_route *route;     /* of the request */
    /* Value of the field with the caller's key; the first one of several. */
    bbl_str key;
    unsigned key_count; /* number of such fields */
    /* Whether `routing` is known to be the newest one. */
    bool confirmed;
    /* Whether another host has delegated the request to this one, and the
     * organisation that it has found; empty if it has found none. */
    bool delegated;
    bbl_str delegated_organisation;
} bbl_caller_identity_input;

typedef enum {
    BBL_CALLER_ACCEPTED,
    BBL_CALLER_UNAUTHORIZED, /* it presents no valid key */
    BBL_CALLER_UNCONFIRMED   /* a newer routing may accept it */
} bbl_caller_verdict;

/*
 * Decides whether a request may run.
 *
 * @param organisation set to the organisation of an accepted request; NULL if
 *                     the route needs none
 */
bbl_caller_verdict bbl_caller_identify(const bbl_organisation **organisation,
                                       const bbl_caller_identity_input *in);

/* Returns the priority of the requests of an organisation, which may be NULL,
 * on a route. */
uint32_t bbl_caller_get_priority(const bbl_route *route,
                                 const bbl_organisation *organisation);

/* Returns the lowest priority number that a request of a routing can have;
 * UINT32_MAX if it has no routes. */
uint32_t bbl_caller_get_most_urgent_priority(const bbl_routing *routing);

#endif
