/*
 * operator.h - the operator of a soak run. It installs new versions of the
 * routing, repeats those whose outcome is unknown, sends invalid routings, and
 * reads the routing in effect from random control hosts. After a version was
 * acknowledged and the time to apply it has passed, no read may return an
 * older one.
 *
 * Violations are reported to `servers`.
 */
#ifndef BBL_SOAK_OPERATOR_H
#define BBL_SOAK_OPERATOR_H

#include "net/backend_link.h"
#include "soak/servers.h"

typedef struct soak_operator soak_operator;

typedef struct {
    unsigned service_count;
    uint64_t seed; /* of the choice of hosts and version numbers */
} soak_operator_options;

/* Creates an operator; `client` and `servers` must outlive it. */
void soak_operator_open(soak_operator **out, bbl_backend_client *client,
                        soak_servers *servers,
                        const soak_operator_options *options);

/* Abandons the open requests and frees the operator; NULL is allowed. */
void soak_operator_free(soak_operator *op);

/* Sends the due requests and abandons those that timed out. */
void soak_operator_tick(soak_operator *op, bbl_usec now);

/* Creates no more versions and sends no more invalid routings. The last
 * version is still repeated until it is acknowledged. */
void soak_operator_stop_updates(soak_operator *op);

/* Returns the newest acknowledged version, or 0 if there is none. */
uint64_t soak_operator_acked_version(const soak_operator *op);

/* Returns whether the last version was acknowledged and every control host has
 * returned the newest acknowledged version to a read since
 * soak_operator_stop_updates. */
bool soak_operator_is_converged(const soak_operator *op);

#endif
