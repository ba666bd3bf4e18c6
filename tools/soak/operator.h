/*
 * operator.h - the operator of the soak: it installs one routing after the
 * other, sends again what got no clear answer, sends invalid ones, and reads
 * back what is in force. An acknowledged routing must never be older again.
 */
#ifndef BBL_SOAK_OPERATOR_H
#define BBL_SOAK_OPERATOR_H

#include "net/backend_link.h"
#include "soak/servers.h"

typedef struct soak_operator soak_operator;

typedef struct {
    unsigned service_count;
    uint64_t seed;
} soak_operator_options;

void soak_operator_open(soak_operator **out, bbl_backend_client *client,
                        soak_servers *servers,
                        const soak_operator_options *options);
void soak_operator_free(soak_operator *op);

/* Sends what is due. */
void soak_operator_tick(soak_operator *op, bbl_usec now);

/* From now on no new version is sent; the last one is until it is clear. */
void soak_operator_stop_updates(soak_operator *op);

/* Returns the newest acknowledged version, 0 before the first. */
uint64_t soak_operator_acked_version(const soak_operator *op);

/* Returns whether nothing waits for an answer, and every control host has
 * answered a read with the newest version since the stop. */
bool soak_operator_is_converged(const soak_operator *op);

#endif
