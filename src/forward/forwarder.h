/*
 * forwarder.h - the request path of an entry host: it receives the requests of
 * callers, chooses backend servers, retries and hedges attempts, merges the
 * parts of sharded queries, and answers.
 *
 * The forwarder is deterministic: it does no I/O, time is an argument, and all
 * output goes through bbl_forward_port. It is not thread safe. The driver is
 * the code that calls the forwarder and implements the port.
 *
 * A request is forwarded to one service, or to each service of a sharded
 * route; each of them is a shard of the request. An extra attempt is any
 * attempt at a shard after the first one: a hedge or a retry.
 *
 * Guarantees: a request that is not idempotent is sent again only if the
 * previous attempt cannot have run it; the forwarder answers with status 503
 * on its own only if no server can have run the request; all parts of an
 * answer come from the shards of one routing version.
 */
#ifndef BBL_FORWARDER_H
#define BBL_FORWARDER_H

#include "bbl/routing.h"
#include "forward/admission_ask.h"
#include "forward/backend.h"
#include "forward/crash_ledger.h"
#include "forward/crash_watch.h"
#include "forward/delegate.h"
#include "forward/dialect.h"
#include "forward/extra_budget.h"
#include "forward/permit.h"
#include "forward/placement.h"
#include "forward/reach.h"
#include "forward/rollout_tally.h"
#include "forward/rollout_view.h"
#include "util/histogram.h"

#define BBL_FORWARDER_OPTIONS_VERSION 1
/* Interval of the reports about a server that limits its request rate. */
#define BBL_RATE_REPORT_US (4 * BBL_USEC_PER_SEC)

typedef struct bbl_forwarder bbl_forwarder;
typedef struct bbl_attempt bbl_attempt;

/*
 * A request of a caller. The strings are borrowed and stay valid until the
 * request is answered.
 */
typedef struct {
    /* Driver's handle of the request; unique among the open requests. */
    void *request_handle;
    bbl_str hostname;
    bbl_str path;
    bbl_str request_id;
    /*
     * Hash of all that tells what the servers are to run: the host name,
     * method, target and body. The same for each repetition by any caller; 0
     * if unknown.
     */
    uint64_t fingerprint;
    /* Whether it is the first request on the caller's connection. */
    bool first_on_connection;
    /* Whether the request states how long its caller waits for the answer. */
    bool has_time_left;
    uint32_t time_left_ms; /* that time, from arrived_at on */
    /* Earliest time at which it can have arrived; not after `now`. */
    bbl_usec arrived_at;
    /* Measured round trip time to the caller; 0 if it is not known. */
    bbl_usec round_trip;
    bbl_str key; /* see bbl_caller_head */
    unsigned key_count;
    bbl_delegated delegated; /* set if another host has delegated it */
} bbl_forward_request;

/* What the driver needs to send an attempt, besides the caller's request. */
typedef struct {
    void *request_handle;
    uint32_t time_left_ms; /* time until the deadline of the request */
    bool idempotent;
    bbl_identity_fields identity; /* the same for all attempts of a request */
} bbl_attempt_request;

/* How an attempt ended. */
typedef enum {
    BBL_ATTEMPT_RESPONSE,
    BBL_ATTEMPT_UNSENT, /* no byte of the request was sent */
    /* Nothing was sent, because the server accepts no further connection. */
    BBL_ATTEMPT_SERVER_FULL,
    BBL_ATTEMPT_BROKEN /* the request may have run */
} bbl_attempt_outcome;

typedef struct {
    bbl_attempt_outcome outcome;
    /* Static string; set if there is no response, otherwise NULL. */
    const char *failure_reason;
    unsigned status;
    const bbl_header *headers;
    size_t header_count;
    bbl_str body;
    /* When sending began; 0 if this is not known. */
    bbl_usec sent_at;
    /*
     * Latest time at which the response can have arrived: a busy host reads
     * responses some time after their arrival. 0 if this is not known.
     */
    bbl_usec ready_by;
    /* Earliest time at which it can have arrived; 0 if this is not known. */
    bbl_usec ready_since;
    /* Driver's handle of the response, used to relay it unchanged. */
    const void *driver_message;
    /* With BBL_ATTEMPT_UNSENT: this host ended the attempt to save memory, so
     * the failure does not count against the server. */
    bool ended_by_host;
} bbl_attempt_result;

/* Why a request was answered as it was. */
typedef enum {
    BBL_FORWARD_OK,
    /* Shards are missing, but the route's minimum coverage is met. */
    BBL_FORWARD_PARTIAL,
    /* A response of a server other than a usable 2xx response was relayed. */
    BBL_FORWARD_FAILED,
    BBL_FORWARD_NO_ROUTING, /* no routing version is known yet */
    BBL_FORWARD_NO_ROUTE,   /* no route matches */
    /* No route matches, but a newer routing may exist; not run. */
    BBL_FORWARD_UNCONFIRMED,
    BBL_FORWARD_UNAVAILABLE, /* too few shards have a usable server */
    BBL_FORWARD_BUSY,   /* not run: no capacity, or all attempts refused */
    BBL_FORWARD_BROKEN, /* it may have run; no usable response came */
    BBL_FORWARD_TIMEOUT,
    BBL_FORWARD_LEFT,     /* cancelled: the caller closed its connection */
    BBL_FORWARD_OVERLOAD, /* refused by the load limit */
    BBL_FORWARD_EXPIRED,  /* not run: read too late to be answered in time */
    /* Not run: too few servers accept a further request now. */
    BBL_FORWARD_LIMITED,
    /* Not run: servers have ended under earlier copies of the request. */
    BBL_FORWARD_CRASHES,
    /* Not run: this host ends before it could be served. */
    BBL_FORWARD_DRAINING,
    /* Not run: the route needs a key, and the request has no valid one. */
    BBL_FORWARD_UNAUTHORIZED,
    BBL_FORWARD_QUOTA, /* not run: its organisation is over its limit */
    /* Not run: no grantor that this host reaches has answered. */
    BBL_FORWARD_UNADMITTED,
    BBL_FORWARD_REASONS
} bbl_forward_reason;

const char *bbl_forward_reason_name(bbl_forward_reason reason);

/* Parses the name of a reason; returns 0 or BBL_EINVAL. */
int bbl_forward_reason_parse(bbl_forward_reason *out, bbl_str name);

/* How a peer has handled a delegated query, as it states in its answer. */
typedef struct {
    bbl_forward_reason reason;
    bbl_reach_level reach; /* of the peer */
    /* Attempts at each shard that servers may have run, all hosts included. */
    unsigned attempts;
    /* Key of the answering server if it has said that it is leaving, else 0:
     * a host that passes such an answer on keeps to it. */
    uint64_t leaving;
} bbl_delegation_outcome;

typedef struct {
    unsigned status;
    bbl_forward_reason reason;
    unsigned attempts;    /* see bbl_delegation_outcome */
    uint64_t leaving;     /* the same */
    bbl_str header_lines; /* header lines added by the forwarder */
    bbl_str body;
    const bbl_attempt_result *relayed; /* response to relay, or NULL */
} bbl_forward_answer;

/* Summary of one finished request, for the log and the metrics. */
typedef struct {
    bbl_str request_id;
    bbl_forward_reason reason;
    unsigned status;
    const bbl_route *route; /* NULL if no route matched */
    bbl_str organisation;   /* of the caller; empty if none is needed */
    uint64_t routing_version;
    /* Age of the list of servers; UINT64_MAX if none was read yet. */
    bbl_usec list_age;
    bbl_usec elapsed; /* since the request arrived */
    unsigned shards;
    unsigned answered_shards;
    unsigned attempt_count; /* at all shards, including hedges and retries */
    unsigned attempts_maybe_run; /* at one shard; see bbl_delegation_outcome */
    unsigned hedges;
    unsigned retries;
    uint32_t retry_after_ms; /* retry time in the answer; 0 if none */
    uint64_t fingerprint;
    uint32_t delegate;     /* host that has answered it; 0: this one */
    uint32_t delegated_by; /* host that has delegated it; 0 if none has */
    /*
     * Service of the first unanswered shard without a usable server, or of the
     * first unanswered shard if all of them have one. Empty if there is none.
     */
    bbl_str service;
    unsigned servers;        /* servers of this service */
    unsigned usable_servers; /* its servers in state BBL_BACKEND_USABLE */
    /* State of its first unusable server; BBL_BACKEND_USABLE if none is. */
    bbl_backend_state unusable_state;
    /* Static string: why the last attempt at it failed; NULL if none has. */
    const char *failure_reason;
    /* What the grantor that has decided on its load has stated. */
    bool load_asked;
    bblx_admission_reply load;
} bbl_forward_record;

/* An extra attempt at a shard, and the inputs of the decision to send it. */
typedef struct {
    bbl_str request_id;
    bbl_str service;
    bbl_str server;
    /*
     * True for a hedge, sent while the first attempt is in flight; false for a
     * retry after a failed attempt.
     */
    bool hedge;
    /* Whether the server of the previous attempt stalled; hedges only. */
    bool stalled;
    bbl_usec waited;             /* time since the first attempt was sent */
    bbl_usec route_service_time; /* see bbl_route_timing */
    /* Share left of the service's budget for extra attempts, 0 to 1. */
    double budget_left;
    /* Static string: why an earlier attempt failed; empty if none has. */
    const char *failure_reason;
} bbl_extra_attempt_record;

typedef struct {
    /*
     * Starts an attempt. Returns 0, or BBL_EFULL if no connection is free. The
     * time of a call that sends many attempts passes meanwhile, so the driver
     * may set a later time with bbl_attempt_set_sent_at.
     */
    int (*send)(void *ctx, bbl_attempt *attempt, bbl_backend *backend,
                const bbl_attempt_request *request);
    /* Returns whether any byte of an attempt was sent. */
    bool (*is_sent)(void *ctx, const bbl_attempt *attempt);
    /* Cancels an attempt so that the server stops working on it. */
    void (*cancel)(void *ctx, bbl_attempt *attempt);
    /*
     * Returns whether an attempt can use an open connection to a server, needs
     * a new one, or has to wait because all connections are in use.
     */
    bbl_placement_room_cb get_room;
    /* Sends the answer to the caller of a request. */
    void (*answer)(void *ctx, void *request_handle,
                   const bbl_forward_answer *answer);
    /* Reports a finished request, before its answer is sent. */
    void (*report_request)(void *ctx, const bbl_forward_record *record);
    /* Reports an extra attempt that was sent. */
    void (*report_extra_attempt)(void *ctx,
                                 const bbl_extra_attempt_record *extra);
    /*
     * Reports that a routing version was activated, after it had waited for
     * `waited` microseconds for usable servers of its shards.
     */
    void (*routing_activated)(void *ctx, uint64_t version, bbl_usec waited);
    /*
     * Reports that an update held an older routing than `current`, the newest
     * one received, and that it is not used.
     */
    void (*routing_ignored)(void *ctx, uint64_t version, uint64_t current);
    /*
     * Report that a server was added, was removed because the list no longer
     * has it, or has changed its state; `state` is the previous state.
     */
    void (*server_added)(void *ctx, bbl_backend *backend);
    void (*server_removed)(void *ctx, bbl_backend *backend);
    void (*server_changed)(void *ctx, bbl_backend *backend,
                           bbl_backend_state state);
    /*
     * Passes a query on to a peer. Returns 0, or BBL_EFULL if no connection is
     * free. bbl_forwarder_complete_delegation passes on the result, after this
     * function has returned.
     */
    int (*delegate)(void *ctx, bbl_delegation *delegation,
                    const bbl_delegation_request *request);
    /* Returns whether any byte of a delegated query was sent. */
    bool (*is_delegation_sent)(void *ctx, const bbl_delegation *delegation);
    /* Cancels a delegation, so that the peer cancels the query. */
    void (*cancel_delegation)(void *ctx, bbl_delegation *delegation);
    /* Reports that a query was delegated. */
    void (*report_delegation)(void *ctx, const bbl_forward_request *request,
                              const bbl_delegation_request *delegation,
                              bbl_delegation_cause cause);
    /* Report that a peer was added or removed. */
    void (*peer_added)(void *ctx, bbl_peer *peer);
    void (*peer_removed)(void *ctx, bbl_peer *peer);
    /* Reports that this host reaches more or fewer servers than before. */
    void (*reach_changed)(void *ctx, const bbl_reach *reach,
                          bbl_reach_level before);
    /*
     * Reports that a server states another rate limit than before, or none,
     * and every BBL_RATE_REPORT_US while it states one. The counts of
     * backend->limit are reset afterwards.
     */
    void (*rate_limit_reported)(void *ctx, const bbl_backend *backend);
    /*
     * Reports that a server wants no request for some time, which it has not
     * said before or whose last such time has passed. `sent_before` is the
     * number of attempts sent during the last one.
     */
    void (*backoff_begun)(void *ctx, const bbl_backend *backend,
                          unsigned sent_before);
    /* Reports that a server has said that it is leaving. */
    void (*leaving_stated)(void *ctx, const bbl_backend *backend);
    /* Reports that a server has ended while it ran an attempt. */
    void (*server_ended)(void *ctx, const bbl_broken_attempt *attempt);
    /*
     * Reports that a server has answered a request under which another one had
     * ended.
     */
    void (*suspect_answered)(void *ctx, uint64_t fingerprint);
    /* Reports that a request is refused from now on; see crash_ledger.h. */
    void (*request_barred)(void *ctx, uint64_t fingerprint);
    /* Sends what this host has counted for rollouts to the leader; may be
     * NULL. */
    void (*report_rollouts)(void *ctx, const bbl_rollout_tally *tally);
    /* Tells the other hosts what a server states now. */
    void (*publish_rate_limit)(void *ctx, const bbl_backend *backend);
    /*
     * Tells the other hosts what this one has observed of a server. Called
     * only in fleets of more than BBL_HEALTH_SMALL_FLEET entry hosts.
     */
    void (*publish_health)(void *ctx, const bbl_backend *backend,
                           const bbl_observed_health *observed,
                           bbl_health_level before);
    /*
     * Requests permits; bbl_forwarder_receive_permits passes on the reply,
     * which may be lost.
     */
    void (*request_permits)(void *ctx, const bbl_permit_request *request);
    /*
     * Sends a grantor a message about the admission of a query, which may be
     * lost; bbl_forwarder_receive_admission passes on the reply to a request.
     */
    void (*send_admission)(void *ctx, uint32_t grantor,
                           const bblx_message *message);
    /* Reports that requests of an organisation over its limit are refused. */
    void (*report_quota)(void *ctx, const bbl_quota_record *record);
    /*
     * Reports that load pressure has begun or ended at a set of shards, named
     * by its first service.
     *
     * @param refused_share share of the recent parts that servers refused
     */
    void (*pressure_changed)(void *ctx, bbl_str service, bool active,
                             double refused_share);
    void *ctx;
} bbl_forward_port;

typedef struct {
    int version;
    bbl_name zone; /* data centre of this host */
    /*
     * Seed of the random choices, and of the choice of servers that get a
     * connection. The driver sets a different one on each host.
     */
    uint64_t seed;
    /* One-way network delay between callers and this host where it could not
     * be measured. */
    bbl_usec caller_distance;
    /* Answers are due this long before the latency target of the route. */
    bbl_usec answer_margin;
    /* Maximum delay until the platform's list shows a change of a server. */
    bbl_usec list_lag;
    /* Maximum time that a new routing waits for the servers of its shards. */
    bbl_usec routing_wait_max;
    /*
     * Limits of extra attempts. Here extra_limits.constant is the total of all
     * entry hosts.
     */
    bbl_extra_limits extra_limits;
    bbl_usec permit_ttl; /* from the request for a permit until its end */
    /* The same for the token of an organisation; see admission/quota_book.h.
     */
    bbl_usec token_time;
    /* Whether sharded queries ask grantors for admission under load. */
    bool load_admission;
    const bbl_dialect *dialect;
    bbl_forward_port port;
} bbl_forwarder_options;

#define BBL_FORWARDER_OPTIONS_INIT                                            \
    {                                                                         \
        .version = BBL_FORWARDER_OPTIONS_VERSION, .seed = 1,                  \
        .caller_distance = 3 * BBL_USEC_PER_MS,                               \
        .answer_margin = 6 * BBL_USEC_PER_MS,                                 \
        .list_lag = 800 * BBL_USEC_PER_MS,                                    \
        .routing_wait_max = 1500 * BBL_USEC_PER_MS,                           \
        .permit_ttl = 300 * BBL_USEC_PER_MS,                                  \
        .token_time = 300 * BBL_USEC_PER_MS, .extra_limits = {                \
            10 * BBL_USEC_PER_SEC,                                            \
            0.2,                                                              \
            50                                                                \
        }                                                                     \
    }

typedef struct {
    uint64_t requests;
    uint64_t outcomes[BBL_FORWARD_REASONS];
    uint64_t attempts;
    uint64_t hedges;
    uint64_t hedge_wins; /* shards that a hedge answered first */
    uint64_t retries;
    uint64_t attempts_refused; /* attempts that servers refused to run */
    /* How often an extra attempt was due while the budget was used up. */
    uint64_t attempts_over_budget;
    uint64_t attempts_cancelled; /* after their query was finished */
    uint64_t servers_ended;      /* while they ran an attempt of this host */
    /* Attempts sent to servers that state a rate limit. */
    uint64_t attempts_limited;
    uint64_t permit_requests;
    uint64_t permits;     /* granted */
    uint64_t health_rows; /* told to other hosts, see server_health.h */
    uint64_t parts_moved; /* to another server for what hosts tell of one */
    uint64_t permits_refused;
    uint64_t admission_requests; /* sent to grantors */
    uint64_t admission_replies;
    uint64_t admission_refusals;    /* of these replies */
    uint64_t admission_timeouts;    /* requests not answered in time */
    uint64_t admission_returns;     /* tokens returned */
    uint64_t pressure_begun;        /* times that load pressure has begun */
    uint64_t load_admitted;         /* queries admitted by a grantor */
    uint64_t load_refused;          /* by a grantor */
    uint64_t load_unanswered;       /* run without an answer of a grantor */
    uint64_t quota_refused_locally; /* without asking a grantor */
    uint64_t rollout_first;  /* first attempts to services under a rollout */
    uint64_t rollout_target; /* attempts at the target version, all kinds */
    uint64_t delegations;    /* queries passed on to another host */
    uint64_t delegations_refused; /* by that host, which cannot serve them */
    uint64_t delegated_requests;  /* received from other hosts */
    bbl_histogram latency;        /* microseconds; OK and PARTIAL only */
} bbl_forward_counters;

/*
 * The list of servers, and a newer routing if there is one. The forwarder
 * takes ownership of the update and of everything that it points to.
 */
typedef struct {
    bbl_routing *routing; /* NULL if unchanged */
    /* All known servers; those marked as gone are removed. */
    bblx_backend *backends;
    bbl_usec *cold_until; /* end of the cold start of each server */
    size_t backend_count;
    bbl_name *evacuated_zones; /* data centres whose servers get no request */
    size_t evacuated_zone_count;
    bbl_known_rollout *rollouts; /* all of them */
    size_t rollout_count;
    uint64_t *unproven; /* servers, see bbl_control_get_unproven() */
    size_t unproven_count;
    /* When the platform's list was read; 0 if never. */
    bbl_usec list_read_at;
    /* Index of the state that the update holds; see
     * bbl_forwarder_get_applied_index. */
    uint64_t applied;
    /*
     * Number of entry hosts that share the budgets and the connections; 0
     * counts as 1.
     */
    unsigned entry_hosts;
    bool has_peers; /* whether the next two fields are set */
    bbl_listed_peer *peers;
    size_t peer_count;
    /* Whether the fields below are set. */
    bool has_observations;
    /* What any host has observed since the last update. */
    bbl_observed_limit *limits;
    size_t limit_count;
    bbl_observed_crash *crashes;
    size_t crash_count;
    bbl_observed_health *health;
    size_t health_count;
    /*
     * Whether all else is as in the update before, except for a slightly later
     * list_read_at. Such updates are frequent in large fleets.
     */
    bool only_health;
    bbl_known_version *versions; /* of servers under a rollout */
    size_t version_count;
    unsigned grantors; /* hosts that grant permits */
    bool has_grantors; /* whether the next two fields are set */
    bbl_listed_grantor listed_grantors[BBL_ADMIT_GRANTORS_MAX];
    unsigned listed_grantor_count;
} bbl_forward_update;

void bbl_forward_update_free(bbl_forward_update *update);

int bbl_forwarder_new(bbl_forwarder **out,
                      const bbl_forwarder_options *options);
void bbl_forwarder_free(bbl_forwarder *forwarder);

/*
 * Applies an update and frees it. Open requests keep the routing with which
 * they began.
 */
void bbl_forwarder_update(bbl_forwarder *forwarder, bbl_usec now,
                          bbl_forward_update *update);

/*
 * Records until when the active routing is known to be the newest one that was
 * in force everywhere. After that time, or while a newer routing waits, a
 * request without a route or a valid key is refused as unconfirmed instead of
 * not found or unauthorized.
 *
 * @param until a time, microseconds; 0 if it is not known
 */
void bbl_forwarder_confirm_routing(bbl_forwarder *forwarder, bbl_usec until);

/*
 * Receives a request of a caller. The port's answer function may be called
 * before this function returns.
 */
void bbl_forwarder_receive_request(bbl_forwarder *forwarder, bbl_usec now,
                                   const bbl_forward_request *request);

/*
 * Finishes an open request without an answer, because its caller has closed
 * the connection. Does nothing if the request is not open.
 */
void bbl_forwarder_cancel_request(bbl_forwarder *forwarder, bbl_usec now,
                                  void *request_handle);

/*
 * Returns the index of the state that requests are handled by: that of the
 * last update, or an earlier one while a newer routing waits for servers, or
 * while attempts are in flight at servers that a rollout has taken the
 * requests from.
 */
uint64_t bbl_forwarder_get_applied_index(const bbl_forwarder *forwarder);

/*
 * Sets when bbl_forwarder_finish_open will be called, as this host shuts down.
 * Requests that cannot be served by then are refused as not run.
 */
void bbl_forwarder_set_end(bbl_forwarder *forwarder, bbl_usec end);

/*
 * Answers all open requests at once, for a host that is about to stop: with
 * what has been received if that is enough, as not run if nothing was sent,
 * and otherwise as broken.
 */
void bbl_forwarder_finish_open(bbl_forwarder *forwarder, bbl_usec now);

/* Processes the reply to a request for permits; a late one is ignored. */
void bbl_forwarder_receive_permits(bbl_forwarder *forwarder, bbl_usec now,
                                   const bbl_permit_reply *reply);

/* Processes the reply of a grantor about the admission of a query. */
void bbl_forwarder_receive_admission(bbl_forwarder *forwarder, bbl_usec now,
                                     uint32_t grantor,
                                     const bblx_admission_reply *reply);

/*
 * Processes the result of a delegation that has ended, and frees it.
 *
 * @param outcome what the peer states in its response; ignored otherwise
 */
void bbl_forwarder_complete_delegation(bbl_forwarder *forwarder, bbl_usec now,
                                       bbl_delegation *delegation,
                                       const bbl_attempt_result *result,
                                       const bbl_delegation_outcome *outcome);

/* Processes the result of an attempt that has ended, and frees the attempt. */
void bbl_forwarder_complete_attempt(bbl_forwarder *forwarder, bbl_usec now,
                                    bbl_attempt *attempt,
                                    const bbl_attempt_result *result);

/*
 * Records that opening a connection to a server succeeded or failed.
 *
 * @param duration time until the connection was open or had failed,
 *                 microseconds
 */
void bbl_forwarder_record_connect(bbl_forwarder *forwarder, bbl_usec now,
                                  bbl_backend *backend, bool ok,
                                  bbl_usec duration);

/*
 * Runs all timed work that is due: attempts to send, timeouts, maintenance.
 * Returns the time by which to call it again.
 */
bbl_usec bbl_forwarder_tick(bbl_forwarder *forwarder, bbl_usec now);

/* Returns the number of requests that are not answered yet. */
size_t bbl_forwarder_count_open(const bbl_forwarder *forwarder);

/*
 * Returns the caller limits of the active routing, or NULL if there is none.
 */
const bbl_caller_limits *
bbl_forwarder_get_limits(const bbl_forwarder *forwarder);

/* Returns the active routing, or NULL. It stays valid until the next update or
 * tick. */
const bbl_routing *bbl_forwarder_get_routing(const bbl_forwarder *forwarder);

/* Returns the version of the active routing, or 0 if there is none. */
uint64_t bbl_forwarder_get_routing_version(const bbl_forwarder *forwarder);

/*
 * Returns how many connections this host may hold to a server.
 *
 * @param keep_open set to whether one connection stays open while it is idle
 */
unsigned bbl_forwarder_get_connection_limit(bool *keep_open,
                                            bbl_forwarder *forwarder,
                                            bbl_usec now,
                                            const bbl_backend *backend);

/* Returns whether the load of all hosts was limited at the last maintenance,
 * at some shards. */
bool bbl_forwarder_is_limited(const bbl_forwarder *forwarder);

/* Returns whether some shards were under load pressure then. */
bool bbl_forwarder_is_under_pressure(const bbl_forwarder *forwarder);

/* Returns how many servers this host reaches. */
const bbl_reach *bbl_forwarder_get_reach(const bbl_forwarder *forwarder);

const bbl_forward_counters *
bbl_forwarder_get_counters(const bbl_forwarder *forwarder);

/* Returns how many servers the hosts have rated as bad now. */
unsigned bbl_forwarder_count_rated_bad(const bbl_forwarder *forwarder,
                                       bbl_usec now);

/* Calls `each` for every server that has not been removed. */
void bbl_forwarder_each_backend(bbl_forwarder *forwarder, void *ctx,
                                void (*each)(void *ctx, bbl_backend *backend));

/* Set or return the driver's handle of an attempt. */
void bbl_attempt_set_handle(bbl_attempt *attempt, void *handle);
void *bbl_attempt_get_handle(const bbl_attempt *attempt);

/* Sets when an attempt was sent, microseconds; called by the port's `send`. */
void bbl_attempt_set_sent_at(bbl_attempt *attempt, bbl_usec sent_at);

/* Returns the `ctx` of the port of the attempt's forwarder. */
void *bbl_attempt_get_ctx(const bbl_attempt *attempt);

#endif
