#include "forward/caller_identity.h"

/* Returns the organisation whose key a request presents, or NULL. */
static const bbl_organisation *
find_organisation(const bbl_caller_identity_input *in)
{
    if (in->delegated && in->delegated_organisation.size > 0) {
        return bbl_routing_find_organisation(in->routing,
                                             in->delegated_organisation);
    }
    return in->key_count == 1 ? bbl_routing_find_key(in->routing, in->key)
                              : NULL;
}

bbl_caller_verdict
bbl_caller_identify(const bbl_organisation **organisation,
                    const bbl_caller_identity_input *in)
{
    *organisation = NULL;
    if (in->route->is_public || !bbl_routing_has_organisations(in->routing)) {
        return BBL_CALLER_ACCEPTED;
    }
    *organisation = find_organisation(in);
    if (*organisation != NULL) {
        return BBL_CALLER_ACCEPTED;
    }
    /*
     * A newer routing may know the key, make the route public or have no
     * organisations. A host that delegates a query asks another one or refuses
     * it; hosts of earlier versions cannot decode the other verdict.
     */
    return in->confirmed && !in->delegated ? BBL_CALLER_UNAUTHORIZED
                                           : BBL_CALLER_UNCONFIRMED;
}

uint32_t
bbl_caller_get_priority(const bbl_route *route,
                        const bbl_organisation *organisation)
{
    return organisation != NULL && organisation->has_priority
               ? organisation->priority
               : route->priority;
}

uint32_t
bbl_caller_get_most_urgent_priority(const bbl_routing *routing)
{
    bool all_have_one = bbl_routing_has_organisations(routing);
    bool any_needs_key = false;
    uint32_t most_urgent = UINT32_MAX;
    const bbl_organisation *o;
    const bbl_route *route;

    for (size_t i = 0; (o = bbl_routing_organisation(routing, i)) != NULL;
         i++) {
        all_have_one = all_have_one && o->has_priority;
    }
    for (size_t i = 0; (route = bbl_routing_route(routing, i)) != NULL; i++) {
        any_needs_key = any_needs_key || !route->is_public;
        /* The priority of a route does not count if each organisation has its
         * own. */
        if ((route->is_public || !all_have_one) &&
            route->priority < most_urgent) {
            most_urgent = route->priority;
        }
    }
    for (size_t i = 0;
         any_needs_key && (o = bbl_routing_organisation(routing, i)) != NULL;
         i++) {
        if (o->has_priority && o->priority < most_urgent) {
            most_urgent = o->priority;
        }
    }
    return most_urgent;
}
