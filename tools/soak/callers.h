/*
 * callers.h - the callers of a soak run. They send requests on persistent
 * connections to the entry hosts that report readiness, and check every answer
 * against the responses that the servers generate.
 *
 * Violations are reported to `servers`.
 */
#ifndef BBL_SOAK_CALLERS_H
#define BBL_SOAK_CALLERS_H

#include "net/backend_link.h"
#include "soak/fleet.h"
#include "soak/servers.h"

typedef struct soak_callers soak_callers;

typedef struct {
    unsigned service_count;
    bbl_usec request_interval; /* between two requests of all callers */
    uint64_t seed;             /* of the choice of hosts and routes */
} soak_callers_options;

/* Numbers of requests. */
typedef struct {
    unsigned sent;
    unsigned served;  /* answered with status 200 */
    unsigned refused; /* answered with status 429 or 503, not run */
    unsigned failed;  /* others that ended, with or without an answer */
    /* Refused ones of a spike whose time was checked. */
    unsigned timed_refusals;
} soak_request_counts;

/* Appends the JSON text of a routing. One of its routes has a path that
 * contains the version, so that a request can tell which version a host
 * applies. */
void soak_routing_append(bbl_buf *out, uint64_t version,
                         unsigned service_count);

/* Creates callers; `client`, `servers` and `fleet` must outlive them. */
void soak_callers_open(soak_callers **out, bbl_backend_client *client,
                       soak_servers *servers, const soak_fleet *fleet,
                       const soak_callers_options *options);

/* Abandons the open requests and frees the callers; NULL is allowed. */
void soak_callers_free(soak_callers *callers);

/* Polls readiness, sends the due requests and abandons the overdue ones. */
void soak_callers_tick(soak_callers *callers, bbl_usec now);

/* Notes that servers do not answer until then, so that refusals take longer.
 */
void soak_callers_note_cut_server(soak_callers *callers, bbl_usec until);

/* Sends `factor` times the usual number of requests until `until`. */
void soak_callers_start_spike(soak_callers *callers, bbl_usec until,
                              unsigned factor);

/* Sends no more requests except probes. Open requests continue. */
void soak_callers_stop(soak_callers *callers);

/*
 * Sends a request on the route of a version. A host that does not know the
 * version answers with an error, which is a violation.
 *
 * @param entry index of the entry host
 */
void soak_callers_probe(soak_callers *callers, bbl_usec now, unsigned entry,
                        uint64_t version);

/* Returns whether all entry hosts were ready at the last poll. */
bool soak_callers_hosts_ready(const soak_callers *callers);

/* Returns whether a request has no answer yet. */
bool soak_callers_await_answers(const soak_callers *callers);

/* Returns the number of open requests that were sent less than the target of
 * their route ago, so that their answers are not due yet. */
unsigned soak_callers_count_not_due(const soak_callers *callers, bbl_usec now);

/* Returns the counts since the last call and resets them. */
soak_request_counts soak_callers_collect_counts(soak_callers *callers);

#endif
