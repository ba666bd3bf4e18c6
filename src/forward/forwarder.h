/*
 * forwarder.h - the traffic core of an entry host: it takes the requests of
 * callers, chooses backend servers, repeats what may be repeated, merges the
 * parts of queries over many shards, and answers. Deterministic: time is an
 * argument, and everything out goes through the port.
 *
 * Promises: a request that is not idempotent is sent again only after a
 * server's word that it has not run; "not run" is told to a caller only when
 * that is so; all parts of an answer come from the shards of one version of
 * the routing.
 */
#ifndef BBL_FORWARDER_H
#define BBL_FORWARDER_H

#include "bbl/routing.h"
#include "forward/backend.h"
#include "forward/dialect.h"
#include "forward/extra_budget.h"
#include "forward/placement.h"
#include "util/histogram.h"

#define BBL_FORWARDER_OPTIONS_VERSION 1

typedef struct bbl_forwarder bbl_forwarder;
typedef struct bbl_attempt bbl_attempt;

/* A caller's request. All strings are valid until it is answered. */
typedef struct {
    void *call; /* of the driver */
    bbl_str hostname;
    bbl_str path;
    bbl_str request_id;
    bool first_on_connection; /* of its connection */
    bool has_time_left;
    uint32_t time_left_ms;
    bbl_usec arrived_at;
} bbl_forward_request;

/* What an attempt sends besides the caller's own request. */
typedef struct {
    void *call;
    uint32_t time_left_ms;
    bool idempotent;
} bbl_attempt_request;

/* How an attempt ended. */
typedef enum {
    BBL_ATTEMPT_RESPONSE,
    BBL_ATTEMPT_NOT_SENT,      /* it cannot have run */
    BBL_ATTEMPT_NO_CONNECTION, /* the same; the server has no connection left
                                */
    BBL_ATTEMPT_BROKEN         /* it may have run */
} bbl_attempt_outcome;

typedef struct {
    bbl_attempt_outcome outcome;
    const char *reason; /* static; of an end without a response */
    unsigned status;
    const bbl_header *headers;
    size_t header_count;
    bbl_str body;
    const void
        *driver_message; /* of the driver, to pass the response on whole */
} bbl_attempt_result;

/* Why a request was answered as it was. */
typedef enum {
    BBL_FORWARD_OK,
    BBL_FORWARD_PARTIAL,     /* shards are missing, within the least share */
    BBL_FORWARD_FAILED,      /* a server's own failure was passed on */
    BBL_FORWARD_NO_ROUTING,  /* no routing is known yet */
    BBL_FORWARD_NO_ROUTE,    /* no route matches */
    BBL_FORWARD_UNAVAILABLE, /* too few servers may get work */
    BBL_FORWARD_BUSY,        /* the servers have no room in time */
    BBL_FORWARD_BROKEN,      /* sent, and no usable response came */
    BBL_FORWARD_TIMEOUT,
    BBL_FORWARD_LEFT,     /* the caller went before */
    BBL_FORWARD_OVERLOAD, /* more than the servers can do */
    BBL_FORWARD_REASONS
} bbl_forward_reason;

const char *bbl_forward_reason_name(bbl_forward_reason reason);

typedef struct {
    unsigned status;
    bbl_str header_lines; /* header lines of the tier's own */
    bbl_str body;
    const bbl_attempt_result *relayed; /* a response to pass on; or NULL */
} bbl_forward_answer;

/* What decided one request, for the log and the metrics. */
typedef struct {
    bbl_str request_id;
    bbl_forward_reason reason;
    unsigned status;
    const bbl_route *route; /* NULL when none matched */
    uint64_t routing_version;
    bbl_usec list_age; /* of the list of servers; UINT64_MAX: none */
    bbl_usec elapsed;
    unsigned shards;
    unsigned answered;
    unsigned sent;
    unsigned hedges;
    unsigned retries;
    uint32_t retry_after_ms;
    /* The shard that decided it against the request, if one did. */
    bbl_str service;
    unsigned servers;        /* of that service */
    unsigned usable_servers; /* that might get work */
    bbl_backend_state
        unusable_state; /* why the first of the others might not */
    const char *detail; /* static; how the last attempt there ended */
} bbl_forward_record;

/* A second attempt at a shard, and what decided it. */
typedef struct {
    bbl_str request_id;
    bbl_str service;
    bbl_str server;
    bool hedge;          /* beside the first; else after it failed */
    bool stalled;        /* the first server answered nobody */
    bbl_usec waited;     /* since the first attempt */
    bbl_usec usual_time; /* time of an attempt on this route */
    double budget_left;  /* of the service's extra requests, 0 to 1 */
    const char *detail;  /* static; how the attempt before ended */
} bbl_extra_attempt_record;

typedef struct {
    /* Starts an attempt; returns 0, or BBL_EFULL without a connection. */
    int (*send)(void *ctx, bbl_attempt *attempt, bbl_backend *backend,
                const bbl_attempt_request *request);
    /* Ends an attempt, so that the work stops. */
    void (*abandon)(void *ctx, bbl_attempt *attempt);
    /* How an attempt could be sent now. */
    bbl_placement_room_cb get_room;
    void (*answer)(void *ctx, void *call, const bbl_forward_answer *answer);
    void (*report_request)(void *ctx, const bbl_forward_record *record);
    void (*report_extra_attempt)(void *ctx,
                                 const bbl_extra_attempt_record *second);
    /* A version of the routing is used from now on; it waited `held` for
     * the servers of its shards. */
    void (*routing_activated)(void *ctx, uint64_t version, bbl_usec held);
    /* A server is new, may be used again, or goes for good. */
    void (*server_added)(void *ctx, bbl_backend *backend);
    void (*server_removed)(void *ctx, bbl_backend *backend);
    void (*server_changed)(void *ctx, bbl_backend *backend,
                           bbl_backend_state state);
    void *ctx;
} bbl_forward_port;

typedef struct {
    int version;
    bbl_name zone;                 /* of this host */
    uint64_t seed;                 /* differs between hosts */
    bbl_usec caller_distance;      /* one way between callers and this host */
    bbl_usec answer_margin;        /* kept back before a target */
    bbl_usec list_lag;             /* of the platform's list */
    bbl_usec routing_wait_max;     /* a routing waits so long for its shards */
    bbl_extra_limits extra_limits; /* `constant` of all hosts together */
    const bbl_dialect *dialect;
    bbl_forward_port port;
} bbl_forwarder_options;

#define BBL_FORWARDER_OPTIONS_INIT                                            \
    {                                                                         \
        .version = BBL_FORWARDER_OPTIONS_VERSION, .seed = 1,                  \
        .caller_distance = 3 * BBL_USEC_PER_MS,                               \
        .answer_guard = 6 * BBL_USEC_PER_MS,                                  \
        .list_lag = 800 * BBL_USEC_PER_MS,                                    \
        .routing_hold = 1500 * BBL_USEC_PER_MS, .extra = {                    \
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
    uint64_t hedge_wins;
    uint64_t retries;
    uint64_t shed; /* attempts that servers refused unrun */
    uint64_t no_budget;
    uint64_t abandoned;
    bbl_histogram latency; /* microseconds, answered requests */
} bbl_forward_counters;

/* A new routing or list of servers; what it points to is taken over. */
typedef struct {
    bbl_routing *routing;   /* NULL: as before */
    bblx_backend *backends; /* all that are known, also those gone */
    bbl_usec *cold_until;   /* of each */
    size_t backend_count;
    bbl_name *evacuated;
    size_t evacuated_count;
    bbl_usec list_read_at; /* when the platform's list was read; 0: never */
    unsigned entry_hosts;  /* that share the budget and the connections */
} bbl_forward_update;

void bbl_forward_update_free(bbl_forward_update *update);

int bbl_forwarder_new(bbl_forwarder **out,
                      const bbl_forwarder_options *options);
void bbl_forwarder_free(bbl_forwarder *forwarder);

/* Takes an update over; requests under way keep the routing they began with.
 */
void bbl_forwarder_update(bbl_forwarder *forwarder, bbl_usec now,
                          bbl_forward_update *update);

/* Takes a request; the answer may come from within this call. */
void bbl_forwarder_receive_request(bbl_forwarder *forwarder, bbl_usec now,
                                   const bbl_forward_request *request);

/* The caller of a request has gone. */
void bbl_forwarder_cancel_request(bbl_forwarder *forwarder, bbl_usec now,
                                  void *call);

/* An attempt has ended; it is freed. */
void bbl_forwarder_complete_attempt(bbl_forwarder *forwarder, bbl_usec now,
                                    bbl_attempt *attempt,
                                    const bbl_attempt_result *result);

/* A connection to a server was opened, or could not be, within `took`. */
void bbl_forwarder_record_connect(bbl_forwarder *forwarder, bbl_usec now,
                                  bbl_backend *backend, bool ok,
                                  bbl_usec took);

/* Does what is due, and returns when to call again at the latest. */
bbl_usec bbl_forwarder_tick(bbl_forwarder *forwarder, bbl_usec now);

/* Returns the requests not answered yet. */
size_t bbl_forwarder_count_open(const bbl_forwarder *forwarder);

/* Returns the limits of the routing in force, or NULL. */
const bbl_caller_limits *
bbl_forwarder_get_limits(const bbl_forwarder *forwarder);

/* Returns the version of the routing in force, 0 without one. */
uint64_t bbl_forwarder_get_routing_version(const bbl_forwarder *forwarder);

/*
 * Returns how many connections this host may hold to a server.
 *
 * @param keep set to whether one should stay open without need
 */
unsigned bbl_forwarder_get_connection_limit(bool *keep,
                                            bbl_forwarder *forwarder,
                                            bbl_usec now,
                                            const bbl_backend *backend);

const bbl_forward_counters *
bbl_forwarder_get_counters(const bbl_forwarder *forwarder);

/* Calls `each` for every server that is listed. */
void bbl_forwarder_each_backend(bbl_forwarder *forwarder, void *ctx,
                                void (*each)(void *ctx, bbl_backend *backend));

/* Keeps a handle of the driver with an attempt. */
void bbl_attempt_set_handle(bbl_attempt *attempt, void *handle);
void *bbl_attempt_get_handle(const bbl_attempt *attempt);

/* Returns the `ctx` of the port that sent the attempt. */
void *bbl_attempt_get_ctx(const bbl_attempt *attempt);

#endif
