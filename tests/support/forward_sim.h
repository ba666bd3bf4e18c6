/*
 * forward_sim.h - a simulation of one entry host's forwarder with backend
 * servers whose faults the test sets, in simulated time. The guarantees of the
 * forwarder towards callers are checked during the run.
 */
#ifndef BBL_TEST_FORWARD_SIM_H
#define BBL_TEST_FORWARD_SIM_H

#include "forward/forwarder.h"

#define FORWARD_SIM_SERVERS_MAX 192
#define FORWARD_SIM_CALLS_MAX 4096

/* How a server handles the requests that it gets. */
typedef enum {
    SERVER_OK,
    SERVER_SILENT,   /* runs it, never responds */
    SERVER_DARK,     /* answers no attempt to connect */
    SERVER_SHEDS,    /* refuses to run it */
    SERVER_FAILS,    /* runs it, responds with a failure */
    SERVER_BREAKS,   /* runs it, the connection breaks */
    SERVER_REFUSES,  /* refuses connections */
    SERVER_UNSENT,   /* the host ends attempts unsent, to save memory */
    SERVER_REPLACED, /* another incarnation has the address */
    SERVER_UNSIGNED, /* responds without a signature */
    SERVER_DENIES    /* runs it, responds 503 without saying that it did not */
} server_mode;

/* State of the links from the host to all servers. */
typedef enum {
    LINKS_OPEN,
    LINKS_HANG,  /* nothing passes; connections and connects time out */
    LINKS_RESET, /* the same, but open connections are reset at once */
    LINKS_REFUSE /* open connections live on, new ones are refused */
} forward_sim_links;

typedef struct {
    char id[16];
    char service[16];
    char zone[16];
    server_mode mode;
    bbl_usec work;
    bbl_usec paused_until; /* sends no response before */
    bool leaving;
    bool gone;
    /* Cold start left, as the next list will report it. */
    uint32_t cold_ms;
    bbl_usec cold_until; /* as the last list reported it */
    unsigned arrivals;
    unsigned runs;
    unsigned connections; /* limit of those in use; 0 if unlimited */
    unsigned in_use;
    bool connected; /* while links are simulated: one is idle */
    bbl_usec next_connect_at;
    double rate_limit; /* stated in its responses; 0 for none */
    /* Time for which it wants no request, in its refusals; NULL for none. */
    const char *retry_after;
    bool states_leaving;  /* in all its responses */
    bbl_backend *backend; /* the forwarder's; NULL if unlisted */
} forward_sim_server;

/* What a caller received. */
typedef struct {
    bool used;
    bool delegated; /* by another host */
    bbl_usec sent_at;
    const char *path;
    bool answered;
    bool left;
    unsigned status;
    unsigned parts; /* signatures in the answer */
    unsigned missing;
    uint32_t retry_after_ms;
    bbl_usec answered_at;      /* when it was answered */
    bool crashes;              /* ends each server that runs it */
    unsigned runs;             /* runs of this request, on all servers */
    uint32_t time_left_max_ms; /* greatest time left that a server was given */
    bbl_forward_reason reason;
    /* As servers, the peers and the log are told; empty if none is. */
    char organisation[32];
    bool identity_replaced;      /* the caller's fields are not sent on */
    unsigned attempts_maybe_run; /* as the host states */
    uint64_t leaving;            /* the same */
} forward_sim_call;

typedef struct forward_sim forward_sim;

/*
 * Creates a simulation. `entry_hosts` hosts share the budget of extra
 * requests.
 */
forward_sim *forward_sim_new(unsigned entry_hosts);

/* The same for one of several hosts, which have different seeds. */
forward_sim *forward_sim_new_seeded(unsigned entry_hosts, uint64_t seed);

/* The same for a host whose settings do not ask for load admission. */
forward_sim *forward_sim_new_without_load_admission(unsigned entry_hosts);

/* Frees the simulation; fails the test if a guarantee was violated. */
void forward_sim_free(forward_sim *sim);

/* Returns the first guarantee that was violated, or NULL (static storage). */
const char *forward_sim_get_violation(const forward_sim *sim);

/* Frees the simulation without checking for violations. */
void forward_sim_discard(forward_sim *sim);

/* Adds a server. The pointer stays valid until the simulation is freed. */
forward_sim_server *forward_sim_add_server(forward_sim *sim, const char *id,
                                           const char *service,
                                           const char *zone);

/* Returns a server by the order in which they were added. */
forward_sim_server *forward_sim_get_server(forward_sim *sim, size_t i);

/*
 * Passes a routing document and the current list of servers to the forwarder.
 */
void forward_sim_install_routing(forward_sim *sim, const char *document);

/*
 * Passes the current list of servers to the forwarder.
 *
 * @param evacuated name of the evacuated data centre, or NULL
 */
void forward_sim_update_list(forward_sim *sim, const char *evacuated);

/*
 * Sends a request. Returns its number.
 *
 * @param time_left_ms time for which the caller waits; 0 if it sends none
 */
unsigned forward_sim_send_request(forward_sim *sim, const char *path,
                                  uint32_t time_left_ms);

/*
 * Sets the key that further requests present; at first they have none.
 *
 * @param key   of the first field, borrowed
 * @param count number of fields with a key
 */
void forward_sim_set_key(forward_sim *sim, const char *key, unsigned count);

/* The same for a request that has waited unread for `delay` microseconds. */
unsigned forward_sim_send_delayed_request(forward_sim *sim, const char *path,
                                          uint32_t time_left_ms,
                                          bbl_usec delay);

/* Calls `arrived` for each request that arrives at a server. */
void forward_sim_set_arrival_callback(
    forward_sim *sim,
    void (*arrived)(void *ctx, const forward_sim_server *server, bbl_usec now),
    void *ctx);

/*
 * Makes each server that runs a request of this path end after its work: its
 * connection breaks, and the next one is refused. `path` is borrowed.
 */
void forward_sim_set_crash_path(forward_sim *sim, const char *path);

/*
 * Gives all requests of this path the fingerprint that those of the crash path
 * have; servers serve them. `path` is borrowed.
 */
void forward_sim_set_repeated_path(forward_sim *sim, const char *path);

/* Returns the fingerprint of the crash path and the repeated path. */
uint64_t forward_sim_get_repeated_fingerprint(void);

/* How the simulated host reaches the control hosts. */
typedef struct {
    void (*publish_limit)(void *ctx, forward_sim *sim,
                          const bbl_observed_limit *limit);
    void (*request_permits)(void *ctx, forward_sim *sim,
                            const bbl_permit_request *request);
    void (*publish_crash)(void *ctx, forward_sim *sim, uint64_t fingerprint,
                          uint32_t generation);
    void (*publish_health)(void *ctx, forward_sim *sim,
                           const bbl_observed_health *observed);
    /* Sends a grantor a message about the admission of a query. */
    void (*send_admission)(void *ctx, forward_sim *sim, uint32_t grantor,
                           const bblx_message *message);
    void *ctx;
} forward_sim_control;

/* Passes what hosts have observed of servers to the forwarder. */
void forward_sim_update_health(forward_sim *sim,
                               const bbl_observed_health *observed,
                               size_t count);

/* Lists the grantors of admission to the forwarder. */
void forward_sim_set_grantors(forward_sim *sim,
                              const bbl_listed_grantor *grantors,
                              unsigned count);

/* Passes a grantor's reply about the admission of a query on. */
void forward_sim_receive_admission(forward_sim *sim, uint32_t grantor,
                                   const bblx_admission_reply *reply);

/* Returns whether load pressure at the one set of shards was reported. */
bool forward_sim_is_under_pressure(const forward_sim *sim);

/* Returns how many refusals of organisations were reported for the log. */
unsigned forward_sim_get_quota_reports(const forward_sim *sim);

/* Passes crashes that hosts have observed to the forwarder. */
void forward_sim_update_crashes(forward_sim *sim,
                                const bbl_observed_crash *crashes,
                                size_t count);

/* Connects the host to control hosts; without, it gets no permit. */
void forward_sim_set_control(forward_sim *sim,
                             const forward_sim_control *control);

/* Passes a reply to the forwarder. */
void forward_sim_receive_permits(forward_sim *sim,
                                 const bbl_permit_reply *reply);

/* Passes the limits that other hosts have observed to the forwarder. */
void forward_sim_update_limits(forward_sim *sim,
                               const bbl_observed_limit *limits, size_t count,
                               unsigned grantors);

/* How the simulated host reaches the other entry hosts. */
typedef struct {
    /* Passes a query on; returns 0, or not if no connection is free. */
    int (*delegate)(void *ctx, forward_sim *sim, bbl_delegation *delegation,
                    const bbl_delegation_request *request);
    bool (*is_sent)(void *ctx, const bbl_delegation *delegation);
    void (*cancel)(void *ctx, bbl_delegation *delegation);
    void *ctx;
} forward_sim_peers;

/* Connects the host to other entry hosts, which have the given ids. */
void forward_sim_set_peers(forward_sim *sim, const forward_sim_peers *peers,
                           const uint32_t *hosts, size_t count);

/* Sends a request that another host has delegated. Returns its number. */
unsigned forward_sim_send_delegated(forward_sim *sim, const char *path,
                                    uint32_t time_left_ms,
                                    const bbl_delegated *delegated);

/*
 * Completes a delegation.
 *
 * @param answer  the call at the other host; NULL if there is no response
 * @param outcome how the delegation ended if there is none
 */
void forward_sim_complete_delegation(forward_sim *sim,
                                     bbl_delegation *delegation,
                                     const forward_sim_call *answer,
                                     bbl_reach_level reach,
                                     bbl_attempt_outcome outcome);

/* Returns how many of the servers the host reaches. */
const bbl_reach *forward_sim_get_reach(const forward_sim *sim);

/* Sets the measured round trip time to the callers of further requests. */
void forward_sim_set_round_trip(forward_sim *sim, bbl_usec round_trip);

/* Sets the time from now at which the host will stop. */
void forward_sim_set_end(forward_sim *sim, bbl_usec remaining);

/* Lets the host answer all open requests, as when it stops. */
void forward_sim_finish_open(forward_sim *sim);

/* Lets the caller of a request leave. */
void forward_sim_cancel_request(forward_sim *sim, unsigned call);

/*
 * Sets the state of the links from now on. After the first call, connections
 * are simulated: each server has an idle one, a server that is down is
 * connected to again and again, and a connect may fail.
 */
void forward_sim_set_links(forward_sim *sim, forward_sim_links links);

/* Records that opening a connection to a server succeeded or failed. */
void forward_sim_record_connect(forward_sim *sim, forward_sim_server *server,
                                bool ok);

/*
 * Passes a rollout of a service to the forwarder, with the versions of all its
 * servers: those of which the id starts with "new" are of the target version.
 *
 * @param share in 1/10000
 */
void forward_sim_update_rollout(forward_sim *sim, const char *service,
                                bblx_rollout_state state, uint32_t share);

/* See bbl_forwarder_confirm_routing; at first the routing is confirmed. */
void forward_sim_confirm_routing(forward_sim *sim, bbl_usec until);

/*
 * Sets how long the link of the host is busy with one response: responses that
 * are sent at the same time arrive one after the other.
 */
void forward_sim_set_receive_time(forward_sim *sim, bbl_usec receive_time);

/* Lets time pass in which the host is frozen. */
void forward_sim_skip(forward_sim *sim, bbl_usec time);

/* Advances the simulated time by `time` microseconds. */
void forward_sim_run(forward_sim *sim, bbl_usec time);

const forward_sim_call *forward_sim_get_call(const forward_sim *sim,
                                             unsigned call);
bbl_usec forward_sim_get_time(const forward_sim *sim);
const bbl_forward_counters *forward_sim_get_counters(const forward_sim *sim);

/* Returns the number of routings that were older than one received before. */
unsigned forward_sim_get_routings_ignored(const forward_sim *sim);

/* Returns how many of the routings installed are not in use yet, by the state
 * index that the forwarder reports. */
uint64_t forward_sim_get_unapplied(const forward_sim *sim);

/* Raises the index of the state for the next update. */
void forward_sim_raise_index(forward_sim *sim);

/* Returns the version of the active routing. */
uint64_t forward_sim_get_routing_version(const forward_sim *sim);

/* Returns the number of attempts in flight at servers. */
unsigned forward_sim_count_in_flight(const forward_sim *sim);

#endif
