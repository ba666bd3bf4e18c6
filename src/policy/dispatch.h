/*
 * dispatch.h - the owner side of searchers: queues, slots, cold starts and
 * drains.
 *
 * The owner of a searcher is the only daemon that sends it requests, so every
 * limit here is exact. The core makes no system call. The caller passes in
 * the time, the requests and the outcomes of exchanges; the core starts and
 * cancels exchanges and sends replies and reports through the functions of
 * bbl_dispatch_port. It is not thread-safe.
 */
#ifndef BBL_DISPATCH_H
#define BBL_DISPATCH_H

#include "policy/view.h"

#define BBL_DISPATCH_OPTIONS_VERSION 1

/* How one exchange with a searcher ended. */
typedef enum {
    BBL_EXCHANGE_OK,
    BBL_EXCHANGE_REFUSED,      /* overload: the searcher did not run it */
    BBL_EXCHANGE_LEAVING,      /* not run: the searcher is leaving */
    BBL_EXCHANGE_VERSION_GONE, /* not run: no such index version */
    BBL_EXCHANGE_CANCELLED,
    BBL_EXCHANGE_DEADLINE_EXCEEDED, /* the searcher stopped at the deadline */
    BBL_EXCHANGE_TRUNCATED,
    BBL_EXCHANGE_UNSENT,    /* failed before the first byte was sent */
    BBL_EXCHANGE_TIMED_OUT, /* no progress; the request may still run */
    BBL_EXCHANGE_FAILED,    /* connection broken; the request may have run */
    BBL_EXCHANGE_RESPONSE_LOST /* the run has ended, but no response arrived */
} bbl_exchange_outcome;

/* One exchange to start. */
typedef struct {
    uint64_t exchange_id;
    uint32_t searcher;
    bblx_address address;
    uint32_t connections; /* maximum number of connections to the searcher */
    uint32_t shard;
    uint64_t version;  /* index version */
    bbl_usec deadline; /* absolute time */
    bool repeatable;
    bblx_query_id query;
    uint32_t sub_number; /* number of the sub-request within the query */
    bbl_str text;        /* valid only during the `start` call */
} bbl_exchange;

/* The result of one exchange. */
typedef struct {
    bbl_exchange_outcome outcome;
    uint64_t boot;    /* boot id of the searcher; 0: unknown */
    uint64_t version; /* index version of the response */
    bbl_str body;
} bbl_exchange_result;

/* The state that a searcher publishes about itself. */
typedef struct {
    uint64_t boot;
    bool leaving;
    const bblx_index *indexes;
    size_t index_count;
} bbl_searcher_info;

/* Functions of the caller. */
typedef struct {
    /* Starts an exchange; end it with bbl_dispatch_complete_exchange. */
    void (*start)(void *ctx, const bbl_exchange *exchange);
    /* Asks the searcher to stop an exchange, which must still be completed. */
    void (*cancel)(void *ctx, uint64_t exchange, uint32_t searcher);
    /* Sends results to the requesting host; called by bbl_dispatch_flush. */
    void (*reply)(void *ctx, uint32_t host, const bblx_sub_results *results);
    /* Reports the state of a searcher to the members. */
    void (*report)(void *ctx, const bblx_report *report);
    void *ctx; /* passed to each function */
} bbl_dispatch_port;

/* Returns how many requests an owner may run at once on a warm searcher. */
typedef struct {
    const char *name;
    uint32_t (*warm_limit)(uint32_t slots, uint32_t daemons);
} bbl_limit_policy;

extern const bbl_limit_policy bbl_limit_owner; /* all slots */
extern const bbl_limit_policy
    bbl_limit_equal_share; /* an equal share, minimum 1 */

typedef struct {
    int version; /* BBL_DISPATCH_OPTIONS_VERSION */
    uint32_t host;
    uint64_t incarnation;
    const bbl_limit_policy *limit_policy;
    uint32_t queue_max;   /* queued sub-requests per searcher */
    uint32_t busy_factor; /* sends back if queue >= factor * limit; 0: off */
    uint32_t slow_ppm;    /* fraction of runs reported as slow; 0: none */
    bbl_usec slow_min;    /* minimum run time of a slow run */
    bbl_usec unresponsive_min; /* minimum silence before a run is probed */
    bbl_usec response_grace;   /* from a deadline until its slot is freed */
    bbl_usec exchange_max;     /* maximum duration of one exchange */
    bbl_dispatch_port port;
} bbl_dispatch_options;

#define BBL_DISPATCH_OPTIONS_INIT                                             \
    {                                                                         \
        .version = BBL_DISPATCH_OPTIONS_VERSION,                              \
        .limit_policy = &bbl_limit_owner, .queue_max = 256, .busy_factor = 0, \
        .slow_ppm = 28000, .slow_min = 2 * BBL_USEC_PER_MS,                   \
        .silent_min = 50 * BBL_USEC_PER_MS,                                   \
        .silent_grace = 20 * BBL_USEC_PER_MS,                                 \
        .exchange_max = 1000 * BBL_USEC_PER_MS                                \
    }

/* Counters since bbl_dispatch_new. */
typedef struct {
    uint64_t requests; /* sub-requests received */
    uint64_t started;  /* exchanges started */
    uint64_t hedges;   /* exchanges started for hedges */
    uint64_t answered;
    uint64_t dropped_late;           /* the deadline could not be met */
    uint64_t dropped_full;           /* the queue was full */
    uint64_t refused_busy;           /* not run, since the queue was long */
    uint64_t slow;                   /* runs reported as slow */
    uint64_t not_owner;              /* this host may not use the searcher */
    uint64_t withdrawn;              /* the data centre is withdrawn */
    uint64_t refused_by_searcher;    /* by searchers */
    uint64_t timed_out_or_broken;    /* exchanges that stalled or broke off */
    uint64_t cancelled_unresponsive; /* runs cancelled since their searcher
                                        fell silent */
    uint64_t warm_to_cold;
    uint64_t stale_results; /* of an unknown exchange or another version */
    uint64_t busy_us;       /* slot time used */
} bbl_dispatch_counters;

/* The state of one owned searcher, for the state dump. */
typedef struct {
    uint32_t searcher;
    bblx_phase phase;
    uint32_t limit;
    uint32_t running;
    uint32_t queued;
    uint64_t boot;
    uint32_t service_us; /* smoothed service time */
} bbl_dispatch_searcher;

typedef struct bbl_dispatch bbl_dispatch;

/* Creates a core; free it with bbl_dispatch_free. */
void bbl_dispatch_new(bbl_dispatch **out, const bbl_dispatch_options *options);
void bbl_dispatch_free(bbl_dispatch *dispatch);

/*
 * Installs a new view. The caller keeps ownership and must keep the view
 * alive until the next call returns or the core is freed.
 */
void bbl_dispatch_set_view(bbl_dispatch *dispatch, bbl_usec now,
                           const bbl_view *view);

/* Sets the time until which this daemon may use its searchers. */
void bbl_dispatch_set_lease(bbl_dispatch *dispatch, bbl_usec until);

/* Queues or refuses the sub-requests that a host sent. */
void bbl_dispatch_receive_request(bbl_dispatch *dispatch, bbl_usec now,
                                  uint32_t host,
                                  const bblx_sub_request *request);

/* Cancels the sub-requests that a host names. */
void bbl_dispatch_cancel(bbl_dispatch *dispatch, bbl_usec now,
                         const bblx_sub_cancel *cancel);

/* Ends an exchange that the `start` function of the port has started. */
void bbl_dispatch_complete_exchange(bbl_dispatch *dispatch, bbl_usec now,
                                    uint64_t exchange,
                                    const bbl_exchange_result *result);

/*
 * Updates what is known about a searcher.
 *
 * @param info NULL if the searcher did not respond
 */
void bbl_dispatch_update_info(bbl_dispatch *dispatch, bbl_usec now,
                              uint32_t searcher,
                              const bbl_searcher_info *info);

/*
 * Drops sub-requests that would miss their deadlines, reports slow runs and
 * starts what the limits allow. Call it every millisecond.
 */
void bbl_dispatch_tick(bbl_dispatch *dispatch, bbl_usec now);

/* Sends the results collected since the last flush. */
void bbl_dispatch_flush(bbl_dispatch *dispatch);

/* Stops starting exchanges for good; queued work is returned unrun. */
void bbl_dispatch_drain(bbl_dispatch *dispatch, bbl_usec now);

/* Returns the number of running exchanges. */
size_t bbl_dispatch_running_count(const bbl_dispatch *dispatch);

const bbl_dispatch_counters *
bbl_dispatch_get_counters(const bbl_dispatch *dispatch);

/* Gets the state of searcher `i`; returns false past the last one. */
bool bbl_dispatch_searcher_at(const bbl_dispatch *dispatch, size_t i,
                              bbl_dispatch_searcher *out);

/*
 * Gets the polling target `i`.
 *
 * @param searcher set to 0 if this daemon does not own the searcher
 * @param urgent   set if no index versions of the searcher are known yet
 * @return false past the last target
 */
bool bbl_dispatch_poll_target_at(const bbl_dispatch *dispatch, size_t i,
                                 uint32_t *searcher, bblx_address *address,
                                 bool *urgent);

#endif
