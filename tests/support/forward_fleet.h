/*
 * forward_fleet.h - many entry hosts that share backend servers, in simulated
 * time. Counts the requests that each server gets from all of them.
 */
#ifndef BBL_TEST_FORWARD_FLEET_H
#define BBL_TEST_FORWARD_FLEET_H

#include "support/forward_sim.h"

#define FORWARD_FLEET_SERVERS_MAX 64
#define FORWARD_FLEET_GRANTORS 5

typedef struct forward_fleet forward_fleet;

forward_fleet *forward_fleet_new(unsigned hosts);

/* Frees the fleet; fails the test if a host violated a guarantee. */
void forward_fleet_free(forward_fleet *fleet);

/* Adds a server at all hosts. Returns its number. */
unsigned forward_fleet_add_server(forward_fleet *fleet, const char *id,
                                  const char *service, const char *zone);

/* Passes a routing document and the list of servers to all hosts. */
void forward_fleet_install_routing(forward_fleet *fleet, const char *document);

/*
 * Sets the limit that a server states from now on, in requests per second; 0
 * for none.
 */
void forward_fleet_set_limit(forward_fleet *fleet, unsigned server,
                             double rate);

/* Sets how much longer a server is cold at each list that hosts get; 0: warm.
 */
void forward_fleet_set_cold(forward_fleet *fleet, unsigned server,
                            uint32_t cold_ms);

/* Sets how a server handles requests. */
void forward_fleet_set_mode(forward_fleet *fleet, unsigned server,
                            server_mode mode);

/* The same for the requests of one host only. */
void forward_fleet_set_host_mode(forward_fleet *fleet, unsigned host,
                                 unsigned server, server_mode mode);

/* Makes a server say in its responses that it is leaving. */
void forward_fleet_set_states_leaving(forward_fleet *fleet, unsigned server);

/* Returns what a host knows of a server. */
const bbl_backend *forward_fleet_get_backend(const forward_fleet *fleet,
                                             unsigned host, unsigned server);

/* Sets how long a server works on a request. */
void forward_fleet_set_work(forward_fleet *fleet, unsigned server,
                            bbl_usec work);

/* Reports to all hosts that a server refuses connections. */
void forward_fleet_refuse_connection(forward_fleet *fleet, unsigned server);

/* Cuts a host off from the control hosts, or ends the cut. */
void forward_fleet_cut_host(forward_fleet *fleet, unsigned host, bool cut);

/* Sets the state of the links of a host; see forward_sim_set_links. */
void forward_fleet_set_links(forward_fleet *fleet, unsigned host,
                             forward_sim_links links);

/*
 * Stops an entry host for its peers: connections to it break, and new ones are
 * refused.
 */
void forward_fleet_break_peer(forward_fleet *fleet, unsigned host);

/* Returns how many observations of servers all hosts have sent. */
unsigned forward_fleet_count_health_rows(const forward_fleet *fleet);

/* Returns how many hosts hold a server as rated bad. */
unsigned forward_fleet_count_rated_bad(const forward_fleet *fleet,
                                       unsigned server);

/* Returns how often a host has reported that a server ended under a request.
 */
unsigned forward_fleet_count_crashes(const forward_fleet *fleet);

/* Returns the number of queries that hosts have delegated. */
unsigned forward_fleet_count_delegations(const forward_fleet *fleet);

/* Returns the runs of one request of a caller at all hosts and servers. */
unsigned forward_fleet_count_runs(const forward_fleet *fleet, unsigned host,
                                  unsigned call);

/* Restarts a control host, of which there are FORWARD_FLEET_GRANTORS. */
void forward_fleet_restart_grantor(forward_fleet *fleet, unsigned grantor);

/* Stops a control host, or starts it again. */
void forward_fleet_stop_grantor(forward_fleet *fleet, unsigned grantor,
                                bool stopped);

/* Returns the simulation of one host. */
forward_sim *forward_fleet_get_host(forward_fleet *fleet, unsigned host);

/*
 * Advances the time while callers send requests of `path` to hosts drawn at
 * random.
 *
 * @param per_s requests per second to all hosts together
 */
void forward_fleet_run(forward_fleet *fleet, bbl_usec time, double per_s,
                       const char *path);

/* Lets all hosts connect to all servers, and read a new list of them. */
void forward_fleet_reconnect(forward_fleet *fleet);

/* Returns the current time. */
bbl_usec forward_fleet_get_time(const forward_fleet *fleet);

/* Returns how many requests a server has got since a time. */
unsigned forward_fleet_count_arrivals(const forward_fleet *fleet,
                                      unsigned server, bbl_usec since);

/*
 * Returns the greatest number of requests that a server got within `window`
 * microseconds since a time.
 */
unsigned forward_fleet_get_busiest_window(const forward_fleet *fleet,
                                          unsigned server, bbl_usec since,
                                          bbl_usec window);

/* What the callers got for the requests that were sent since a time. */
typedef struct {
    unsigned sent;
    unsigned served;  /* status 200 */
    unsigned refused; /* status 503 */
    unsigned other;
    unsigned unanswered;
    unsigned refused_late; /* refused after a quarter of the latency target */
    unsigned without_retry_after;
} forward_fleet_summary;

void forward_fleet_summarize(forward_fleet_summary *out,
                             const forward_fleet *fleet, bbl_usec since);

/* The same for the requests that were sent to the hosts `first` to `last`. */
void forward_fleet_summarize_hosts(forward_fleet_summary *out,
                                   const forward_fleet *fleet, unsigned first,
                                   unsigned last, bbl_usec since);

/* Lets all hosts read the list of servers. */
void forward_fleet_update_lists(forward_fleet *fleet);

#endif
