/*
 * dispatch.h - schedules the sub-requests to the searchers that this daemon
 * owns: queues, concurrency limits, cold starts and shutdowns of searchers.
 *
 * The owner of a searcher is the only daemon that sends it requests, so a
 * limit set here holds for all requests to the searcher. The module makes no
 * system call. Its driver passes in the time, the requests and the outcomes
 * of exchanges; the module starts and cancels exchanges and sends replies and
 * reports through the functions of bbl_dispatch_port. It is not thread-safe.
 */
#ifndef BBL_DISPATCH_H
#define BBL_DISPATCH_H

#include "policy/view.h"

#define BBL_DISPATCH_OPTIONS_VERSION 1

/* How one exchange with a searcher ended. */
typedef enum {
    BBL_EXCHANGE_OK,
    BBL_EXCHANGE_REFUSED,      /* not run: the searcher is overloaded */
    BBL_EXCHANGE_LEAVING,      /* not run: the searcher is shutting down */
    BBL_EXCHANGE_VERSION_GONE, /* not run: the index version is gone */
    BBL_EXCHANGE_CANCELLED,
    BBL_EXCHANGE_DEADLINE_EXCEEDED, /* the searcher stopped at the deadline */
    BBL_EXCHANGE_TRUNCATED, /* the response is incomplete or too large */
    BBL_EXCHANGE_UNSENT,    /* no byte of the request was sent */
    /* No complete response in time; the request may still run. */
    BBL_EXCHANGE_TIMED_OUT,
    /* Broken connection or unexpected response; the request may still run. */
    BBL_EXCHANGE_FAILED,
    /* No response, but the searcher has confirmed that the run has ended. */
    BBL_EXCHANGE_RESPONSE_LOST
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
    bool repeatable;   /* running the request more than once is safe */
    bblx_query_id query;
    uint32_t sub_number; /* unique within the query */
    bbl_str text;        /* valid only during the `start` call */
} bbl_exchange;

/* The result of one exchange. */
typedef struct {
    bbl_exchange_outcome outcome;
    /* Boot id, which identifies one run of the searcher; 0: unknown. */
    uint64_t boot;
    uint64_t version; /* index version of the response */
    /* With BBL_EXCHANGE_REFUSED: time in which the searcher wants no request;
     * 0 if it has not said so. */
    bbl_usec backoff;
    bbl_str body;
} bbl_exchange_result;

/* The state that a searcher publishes on its info page. */
typedef struct {
    uint64_t boot; /* boot id */
    bool leaving;  /* the searcher is shutting down */
    const bblx_index *indexes;
    size_t index_count;
} bbl_searcher_info;

/* Functions of the driver. */
typedef struct {
    /* Starts an exchange; end it with bbl_dispatch_complete_exchange. */
    void (*start)(void *ctx, const bbl_exchange *exchange);
    /* Asks the searcher to stop an exchange, which must still be completed. */
    void (*cancel)(void *ctx, uint64_t exchange, uint32_t searcher);
    /* Sends results to an entry host; called by bbl_dispatch_flush. */
    void (*reply)(void *ctx, uint32_t host, const bblx_sub_results *results);
    /* Publishes the state of an owned searcher to the other daemons. */
    void (*report)(void *ctx, const bblx_report *report);
    void *ctx; /* passed to each function */
} bbl_dispatch_port;

/*
 * Returns how many requests an owner may run at once on a warm searcher.
 * `daemons` is the number of live daemons that are not draining, minimum 1.
 */
typedef struct {
    const char *name;
    uint32_t (*warm_limit)(uint32_t slots, uint32_t daemons);
} bbl_limit_policy;

/* All slots. */
extern const bbl_limit_policy bbl_limit_owner;
/* slots / daemons, minimum 1. */
extern const bbl_limit_policy bbl_limit_equal_share;

typedef struct {
    int version; /* BBL_DISPATCH_OPTIONS_VERSION */
    uint32_t host;
    uint64_t incarnation;
    const bbl_limit_policy *limit_policy;
    uint32_t queue_max; /* queued sub-requests per searcher */
    /*
     * The first attempt for a shard is refused with BUSY while the queue of
     * the searcher holds at least busy_factor * limit sub-requests; 0: never.
     */
    uint32_t busy_factor;
    uint32_t slow_ppm; /* fraction of runs reported as slow; 0: none */
    bbl_usec slow_min; /* a shorter run is never reported as slow */
    /* Minimum time without a response before a run is cancelled. */
    bbl_usec unresponsive_min;
    /*
     * How long after its deadline an exchange may still receive its response.
     * Used by the driver only.
     */
    bbl_usec response_grace;
    bbl_usec exchange_max; /* maximum duration of one exchange */
    bbl_dispatch_port port;
} bbl_dispatch_options;

#define BBL_DISPATCH_OPTIONS_INIT                                             \
    {                                                                         \
        .version = BBL_DISPATCH_OPTIONS_VERSION,                              \
        .limit_policy = &bbl_limit_owner, .queue_max = 256, .busy_factor = 0, \
        .slow_ppm = 28000, .slow_min = 2 * BBL_USEC_PER_MS,                   \
        .unresponsive_min = 50 * BBL_USEC_PER_MS,                             \
        .response_grace = 20 * BBL_USEC_PER_MS,                               \
        .exchange_max = 1000 * BBL_USEC_PER_MS                                \
    }

/* Counters since bbl_dispatch_new. */
typedef struct {
    uint64_t requests;     /* sub-requests received */
    uint64_t started;      /* exchanges started */
    uint64_t hedges;       /* exchanges started for hedges */
    uint64_t answered;     /* sub-requests answered with a result */
    uint64_t dropped_late; /* refused: the deadline could not be met */
    uint64_t dropped_full; /* refused: the queue was full */
    uint64_t refused_busy; /* refused with BUSY, see busy_factor */
    uint64_t slow;         /* runs reported as slow */
    uint64_t not_owner;    /* refused: this host may not use the searcher */
    uint64_t withdrawn;    /* refused: the data centre is withdrawn */
    uint64_t refused_by_searcher; /* exchanges that ended as REFUSED */
    /* Exchanges that ended as TIMED_OUT or FAILED. */
    uint64_t timed_out_or_broken;
    /* Runs cancelled because the searcher did not respond. */
    uint64_t cancelled_unresponsive;
    /* Changes from warm to cold, or to cold after LEAVING_RECHECK_US. */
    uint64_t warm_to_cold;
    /* Results of an unknown exchange or of another index version. */
    uint64_t stale_results;
    uint64_t busy_us; /* total duration of the exchanges */
} bbl_dispatch_counters;

/*
 * The state of a searcher that this daemon owns or has owned, for the state
 * dump.
 */
typedef struct {
    uint32_t searcher;
    bblx_phase phase; /* BBLX_DOWN if no longer owned */
    uint32_t limit;   /* maximum number of exchanges; 0 if no longer owned */
    uint32_t running; /* slots in use */
    uint32_t queued;
    uint64_t boot;       /* boot id */
    uint32_t service_us; /* smoothed service time */
} bbl_dispatch_searcher;

typedef struct bbl_dispatch bbl_dispatch;

/* Creates a dispatcher; free it with bbl_dispatch_free. */
void bbl_dispatch_new(bbl_dispatch **out, const bbl_dispatch_options *options);
void bbl_dispatch_free(bbl_dispatch *dispatch);

/*
 * Installs a new view of the searchers, their owners and the daemons. The
 * driver keeps ownership and must keep the view alive until the next call of
 * this function returns or the dispatcher is freed.
 */
void bbl_dispatch_set_view(bbl_dispatch *dispatch, bbl_usec now,
                           const bbl_view *view);

/* Sets the time until which this daemon may use its searchers. */
void bbl_dispatch_set_lease(bbl_dispatch *dispatch, bbl_usec until);

/* Queues or refuses the sub-requests that an entry host sent. */
void bbl_dispatch_receive_request(bbl_dispatch *dispatch, bbl_usec now,
                                  uint32_t host,
                                  const bblx_sub_request *request);

/* Cancels sub-requests at the request of their entry host. */
void bbl_dispatch_cancel(bbl_dispatch *dispatch, bbl_usec now,
                         const bblx_sub_cancel *cancel);

/* Processes the outcome of an exchange that the port has started. */
void bbl_dispatch_complete_exchange(bbl_dispatch *dispatch, bbl_usec now,
                                    uint64_t exchange,
                                    const bbl_exchange_result *result);

/*
 * Processes the info page of a searcher.
 *
 * @param info NULL if the searcher did not respond; the call has no effect
 */
void bbl_dispatch_update_info(bbl_dispatch *dispatch, bbl_usec now,
                              uint32_t searcher,
                              const bbl_searcher_info *info);

/*
 * Refuses sub-requests that would miss their deadlines, reports slow runs,
 * cancels runs whose searcher does not respond and starts as many queued
 * sub-requests as the limits allow. Call it every millisecond.
 */
void bbl_dispatch_tick(bbl_dispatch *dispatch, bbl_usec now);

/* Sends the results collected since the last flush. */
void bbl_dispatch_flush(bbl_dispatch *dispatch);

/*
 * Starts no exchanges from now on. Queued and new sub-requests are refused as
 * not run; running exchanges continue.
 */
void bbl_dispatch_drain(bbl_dispatch *dispatch, bbl_usec now);

/* Returns the number of running exchanges. */
size_t bbl_dispatch_running_count(const bbl_dispatch *dispatch);

const bbl_dispatch_counters *
bbl_dispatch_get_counters(const bbl_dispatch *dispatch);

/* Gets the state of searcher `i`; returns false past the last one. */
bool bbl_dispatch_searcher_at(const bbl_dispatch *dispatch, size_t i,
                              bbl_dispatch_searcher *out);

/*
 * Gets the searcher `i`, whose info page the driver polls.
 *
 * @param searcher set to 0 if this daemon does not own the searcher
 * @param urgent   set if no index versions of the searcher are known yet
 * @return false past the last searcher
 */
bool bbl_dispatch_poll_target_at(const bbl_dispatch *dispatch, size_t i,
                                 uint32_t *searcher, bblx_address *address,
                                 bool *urgent);

#endif
