/*
 * rollouts.h - orders rollouts of versions, good and bad, one after the other,
 * and reads their states from random control hosts. Orders are repeated, other
 * versions are ordered while one is rolled out, and data centres are
 * evacuated.
 *
 * Violations are reported to `servers`.
 */
#ifndef BBL_SOAK_ROLLOUTS_H
#define BBL_SOAK_ROLLOUTS_H

#include "net/backend_link.h"
#include "soak/fleet.h"
#include "soak/servers.h"

typedef struct soak_rollouts soak_rollouts;

typedef struct {
    unsigned service_count;
    uint64_t seed; /* of the choice of services, faults and hosts */
    const soak_fleet *fleet;
    /* Whether rollouts take half a minute, and versions may turn bad late. */
    bool long_durations;
} soak_rollouts_options;

/* Numbers of rollouts. */
typedef struct {
    unsigned ordered;
    unsigned completed;
    unsigned rolled_back;
} soak_rollout_counts;

/* Creates the operator; `client` and `servers` must outlive it. */
void soak_rollouts_open(soak_rollouts **out, bbl_backend_client *client,
                        soak_servers *servers,
                        const soak_rollouts_options *options);

/* Abandons the open commands and frees the operator; NULL is allowed. */
void soak_rollouts_free(soak_rollouts *rollouts);

/* Sends the due commands and checks the rollout that runs. */
void soak_rollouts_tick(soak_rollouts *rollouts, bbl_usec now);

/* Orders rollouts and evacuations from now on; there must be a routing. */
void soak_rollouts_start(soak_rollouts *rollouts);

/* Orders no more rollouts and restores the evacuated data centre. */
void soak_rollouts_stop(soak_rollouts *rollouts);

/* Returns whether no rollout runs and no data centre is evacuated. */
bool soak_rollouts_is_settled(const soak_rollouts *rollouts);

/* Returns whether no bad version is rolled out. The bound of its requests is a
 * share of those until the deadline, which assumes an even load. */
bool soak_rollouts_allows_spike(const soak_rollouts *rollouts);

/* Returns the control host that answered as the leader last. */
unsigned soak_rollouts_leader(const soak_rollouts *rollouts);

soak_rollout_counts soak_rollouts_get_counts(const soak_rollouts *rollouts);

#endif
