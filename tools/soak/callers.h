/*
 * callers.h - the callers of the soak: they send requests on connections
 * that they keep, to hosts that say that they are ready, and check every
 * answer against what the servers were to say.
 */
#ifndef BBL_SOAK_CALLERS_H
#define BBL_SOAK_CALLERS_H

#include "net/backend_link.h"
#include "soak/fleet.h"
#include "soak/servers.h"

typedef struct soak_callers soak_callers;

typedef struct {
    unsigned service_count;
    bbl_usec request_interval; /* between requests */
    uint64_t seed;
} soak_callers_options;

typedef struct {
    unsigned sent;
    unsigned served;
    unsigned refused;
    unsigned failed;
} soak_request_counts;

/* Makes the routing of one version; a route for each version stays in it. */
void soak_routing_append(bbl_buf *out, uint64_t version, unsigned services);

void soak_callers_open(soak_callers **out, bbl_backend_client *client,
                       soak_servers *servers, const soak_fleet *fleet,
                       const soak_callers_options *options);
void soak_callers_free(soak_callers *callers);

/* Sends what is due and gives up what was held too long. */
void soak_callers_tick(soak_callers *callers, bbl_usec now);

/* From now on no request is sent; those under way go on. */
void soak_callers_stop(soak_callers *callers);

/* Sends one request to a host on the route that came with a version. */
void soak_callers_probe(soak_callers *callers, bbl_usec now, unsigned entry,
                        uint64_t version);

/* Returns whether all entry hosts are ready and no request is open. */
bool soak_callers_hosts_ready(const soak_callers *callers);
size_t soak_callers_count_open_requests(const soak_callers *callers);

/* Returns what became of the requests since the last call. */
soak_request_counts soak_callers_collect_counts(soak_callers *callers);

#endif
