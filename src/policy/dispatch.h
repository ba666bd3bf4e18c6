/*
 * dispatch.h - the owner of searchers: queues, slots, cold starts and drains.
 *
 * A daemon that owns a searcher alone decides what it receives, so every
 * limit here is exact. The core makes no system call: time, requests and the
 * ends of exchanges come in, starts, cancels, replies and reports go out
 * through the port.
 */
#ifndef BBL_DISPATCH_H
#define BBL_DISPATCH_H

#include "policy/view.h"

#define BBL_DISPATCH_OPTIONS_VERSION 1

/* How one exchange with a searcher ended. */
typedef enum {
    BBL_EXCHANGE_OK,
    BBL_EXCHANGE_REFUSED,      /* shed: the searcher did not run it */
    BBL_EXCHANGE_LEAVING,      /* refused unrun: the searcher is leaving */
    BBL_EXCHANGE_VERSION_GONE, /* refused unrun: no such index version */
    BBL_EXCHANGE_CANCELLED,
    BBL_EXCHANGE_DEADLINE_EXCEEDED, /* the searcher gave up at the deadline */
    BBL_EXCHANGE_TRUNCATED,
    BBL_EXCHANGE_UNSENT, /* failed before a byte left */
    BBL_EXCHANGE_SILENT, /* no progress; it may still run */
    BBL_EXCHANGE_FAILED, /* broken off; it may have run */
    BBL_EXCHANGE_LOST    /* runs no more; its answer never came */
} bbl_exchange_outcome;

/* One exchange to start. */
typedef struct {
    uint64_t exchange_id;
    uint32_t searcher;
    bblx_address address;
    uint32_t connections; /* limit of the searcher */
    uint32_t shard;
    uint64_t version;
    bbl_usec deadline; /* absolute */
    bool repeatable;
    bblx_query_id query;
    uint32_t sub;
    bbl_str text; /* borrowed in the call */
} bbl_exchange;

/* What came back. */
typedef struct {
    bbl_exchange_outcome outcome;
    uint64_t boot;    /* 0: not told */
    uint64_t version; /* index version of the answer */
    bbl_str body;
} bbl_exchange_result;

/* What a searcher says of itself. */
typedef struct {
    uint64_t boot;
    bool leaving;
    const bblx_index *indexes;
    size_t index_count;
} bbl_searcher_info;

typedef struct {
    /* Starts an exchange; its end comes back by
     * bbl_dispatch_complete_exchange. */
    void (*start)(void *ctx, const bbl_exchange *exchange);
    /* Asks the searcher to stop one; the end still comes back. */
    void (*cancel)(void *ctx, uint64_t exchange, uint32_t searcher);
    /* Sends results to the host that asked; called by the flush. */
    void (*reply)(void *ctx, uint32_t host, const bblx_sub_results *results);
    /* Reports a searcher's state to the members. */
    void (*report)(void *ctx, const bblx_report *report);
    void *ctx;
} bbl_dispatch_port;

/* How many requests an owner sends to a searcher at once. */
typedef struct {
    const char *name;
    uint32_t (*warm_limit)(uint32_t slots, uint32_t daemons);
} bbl_limit_policy;

extern const bbl_limit_policy bbl_limit_owner;  /* all slots */
extern const bbl_limit_policy bbl_limit_static; /* an equal share, least 1 */

typedef struct {
    int version;
    uint32_t host;
    uint64_t incarnation;
    const bbl_limit_policy *limit_policy;
    uint32_t queue_max;    /* queued sub-requests a searcher */
    uint32_t busy_factor;  /* queued over the limit that sends back; 0: no */
    uint32_t slow_ppm;     /* runs that are called slow; 0: none */
    bbl_usec slow_min;     /* least run that is called slow */
    bbl_usec silent_min;   /* least silence that is looked into */
    bbl_usec silent_grace; /* after a deadline, before a slot is freed */
    bbl_usec exchange_max; /* cap on one exchange */
    bbl_dispatch_port port;
} bbl_dispatch_options;

#define BBL_DISPATCH_OPTIONS_INIT                                             \
    {                                                                         \
        .version = BBL_DISPATCH_OPTIONS_VERSION, .limit = &bbl_limit_owner,   \
        .queue_max = 256, .busy_factor = 0, .slow_ppm = 28000,                \
        .slow_min = 2 * BBL_USEC_PER_MS, .silent_min = 50 * BBL_USEC_PER_MS,  \
        .silent_grace = 20 * BBL_USEC_PER_MS,                                 \
        .exchange_max = 1000 * BBL_USEC_PER_MS                                \
    }

/* Counters, all since the start. */
typedef struct {
    uint64_t requests; /* sub-requests received */
    uint64_t started;  /* exchanges */
    uint64_t hedges;   /* of them, hedges */
    uint64_t answered;
    uint64_t dropped_late; /* deadline could not be met */
    uint64_t dropped_full;
    uint64_t sent_back; /* unrun, for a long queue */
    uint64_t slow;      /* runs told to be slow */
    uint64_t not_owner;
    uint64_t withdrawn;
    uint64_t refused; /* by searchers */
    uint64_t silent;
    uint64_t probed; /* runs cancelled because the searcher fell silent */
    uint64_t cold_turns;
    uint64_t stale_results; /* of another version or unknown */
    uint64_t busy_us;       /* slot time used */
} bbl_dispatch_counters;

/* One owned searcher, for the state dump. */
typedef struct {
    uint32_t searcher;
    bblx_phase phase;
    uint32_t limit;
    uint32_t running;
    uint32_t queued;
    uint64_t boot;
    uint32_t service_us; /* smoothed */
} bbl_dispatch_searcher;

typedef struct bbl_dispatch bbl_dispatch;

void bbl_dispatch_new(bbl_dispatch **out, const bbl_dispatch_options *options);
void bbl_dispatch_free(bbl_dispatch *dispatch);

/* Takes a new picture over; it stays valid until the next call. */
void bbl_dispatch_set_view(bbl_dispatch *dispatch, bbl_usec now,
                           const bbl_view *view);

/* Sets until when this daemon may use its searchers. */
void bbl_dispatch_set_lease(bbl_dispatch *dispatch, bbl_usec until);

/* Takes in sub-requests from a host. */
void bbl_dispatch_receive_request(bbl_dispatch *dispatch, bbl_usec now,
                                  uint32_t host,
                                  const bblx_sub_request *request);

/* Takes in cancellations from a host. */
void bbl_dispatch_cancel(bbl_dispatch *dispatch, bbl_usec now,
                         const bblx_sub_cancel *cancel);

/* Takes in the end of an exchange. */
void bbl_dispatch_complete_exchange(bbl_dispatch *dispatch, bbl_usec now,
                                    uint64_t exchange,
                                    const bbl_exchange_result *result);

/* Takes in what a searcher says of itself; NULL: it did not answer. */
void bbl_dispatch_update_info(bbl_dispatch *dispatch, bbl_usec now,
                              uint32_t searcher,
                              const bbl_searcher_info *info);

/* Drops what is late and starts what may start; call each millisecond. */
void bbl_dispatch_tick(bbl_dispatch *dispatch, bbl_usec now);

/* Sends the results gathered since the last flush. */
void bbl_dispatch_flush(bbl_dispatch *dispatch);

/* Starts nothing any more; queued work is returned unrun. */
void bbl_dispatch_drain(bbl_dispatch *dispatch, bbl_usec now);

/* Returns the number of exchanges under way. */
size_t bbl_dispatch_running_count(const bbl_dispatch *dispatch);

const bbl_dispatch_counters *
bbl_dispatch_get_counters(const bbl_dispatch *dispatch);

/* Returns row `i` of the owned searchers; false past the last. */
bool bbl_dispatch_searcher_at(const bbl_dispatch *dispatch, size_t i,
                              bbl_dispatch_searcher *out);

/* Returns the searcher's address and whether its info is wanted often. */
bool bbl_dispatch_poll_target_at(const bbl_dispatch *dispatch, size_t i,
                                 uint32_t *searcher, bblx_address *address,
                                 bool *urgent);

#endif
