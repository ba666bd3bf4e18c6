/*
 * quota_fleet.h - entry hosts and grantors of quotas in simulated time, with
 * messages that are lost, late and doubled. Organisation 0 has the limit that
 * the test sets, organisation 1 has 5 requests per second and a burst of 5,
 * organisation 2 has no limit; each has its own service.
 */
#ifndef BBL_TEST_QUOTA_FLEET_H
#define BBL_TEST_QUOTA_FLEET_H

#include "admission/quota_book.h"
#include "support/forward_sim.h"

#define QUOTA_HOSTS_MAX 4
#define QUOTA_GRANTORS 5
#define QUOTA_ORGANISATIONS 3
#define QUOTA_TARGET_MS 300

typedef struct {
    bbl_usec now;
    unsigned host_count;
    forward_sim *hosts[QUOTA_HOSTS_MAX];
    uint64_t versions[QUOTA_HOSTS_MAX]; /* of the routing in use */
    bbl_usec host_frozen_until[QUOTA_HOSTS_MAX];
    bbl_usec lag[QUOTA_HOSTS_MAX]; /* time that a frozen host has missed */
    bbl_quota_limits limits;
    bbl_quota_book grantors[QUOTA_GRANTORS];
    bbl_usec grantor_frozen_until[QUOTA_GRANTORS]; /* UINT64_MAX: it ended */
    bool cut[QUOTA_HOSTS_MAX][QUOTA_GRANTORS];
    /* Of messages, in both directions. */
    unsigned lost_per_100;
    unsigned doubled_per_100;
    bbl_usec delay_max; /* besides 0.5 ms */
    bbl_rng rng;
    bbl_vec messages;                  /* private */
    uint64_t requests;                 /* for admission, sent by hosts */
    uint64_t returns;                  /* of tokens */
    uint64_t encoded;                  /* bytes of all messages */
    bbl_vec runs[QUOTA_ORGANISATIONS]; /* bbl_usec, when each request ran */
} quota_fleet;

/* Starts the fleet with routing version 1. */
void quota_fleet_init(quota_fleet *fleet, unsigned hosts, uint64_t seed,
                      double rate, double burst);
void quota_fleet_free(quota_fleet *fleet);

/* Restarts all grantors with a tolerance, see bbl_quota_limits. */
void quota_fleet_set_tolerance(quota_fleet *fleet, double tolerance);

/* Installs a routing version with the limit of organisation 0 at a host. */
void quota_fleet_install(quota_fleet *fleet, unsigned host, uint64_t version,
                         double rate, double burst);

/* Sends a request at a host, which must not be frozen; returns its number. */
unsigned quota_fleet_send(quota_fleet *fleet, unsigned host,
                          unsigned organisation);

/* The same for organisation 0 on a route of a more urgent priority. */
unsigned quota_fleet_send_urgent(quota_fleet *fleet, unsigned host);

void quota_fleet_restart_grantor(quota_fleet *fleet, unsigned grantor);

void quota_fleet_run(quota_fleet *fleet, bbl_usec time);

/* Returns the most requests of an organisation that ran in any window. */
unsigned quota_fleet_count_most(const quota_fleet *fleet,
                                unsigned organisation, bbl_usec window,
                                bbl_usec from);

#endif
