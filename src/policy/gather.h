/*
 * gather.h - the entry side of a query: admission, the choice of one index
 * version and of a replica for each shard, hedges, retries and the merge of
 * the results into one answer.
 *
 * The core makes no system call. The caller passes in the time, the queries
 * and the results; the core sends sub-requests, cancellations, claims and
 * answers through the functions of bbl_gather_port. It is not thread-safe.
 */
#ifndef BBL_GATHER_H
#define BBL_GATHER_H

#include "policy/admission.h"
#include "policy/view.h"
#include "util/buf.h"
#include "util/histogram.h"

#define BBL_GATHER_OPTIONS_VERSION 1
#define BBL_REQUEST_ID_MAX 64 /* bytes */

/* How a query ended. */
typedef enum {
    BBL_ANSWER_OK,         /* complete, or partial where that is accepted */
    BBL_ANSWER_NOT_RUN,    /* refused; no searcher has run any part of it */
    BBL_ANSWER_UNKNOWN,    /* not repeatable, and a searcher may have run it */
    BBL_ANSWER_INCOMPLETE, /* coverage is below the accepted minimum */
    BBL_ANSWER_BAD_REQUEST,
    BBL_ANSWER_RECORDED /* an earlier outcome of this request is returned */
} bbl_answer_kind;

const char *bbl_answer_kind_name(bbl_answer_kind kind);

/* Why a shard is missing from an answer. */
typedef enum {
    BBL_MISSING_NONE,
    BBL_MISSING_NO_REPLICA,
    BBL_MISSING_NO_SUCH_SHARD,
    BBL_MISSING_WITHDRAWN,
    BBL_MISSING_DEADLINE,
    BBL_MISSING_REFUSED,
    BBL_MISSING_VERSION_GONE,
    BBL_MISSING_FAILED,
    BBL_MISSING_TRUNCATED,
    BBL_MISSING_REASON_COUNT
} bbl_missing_reason;

const char *bbl_missing_reason_name(bbl_missing_reason missing);

/* One query as its caller sent it. The core copies the strings and shards. */
typedef struct {
    bbl_str request_id;
    bbl_name customer;
    bbl_urgency urgency;
    bbl_usec deadline; /* absolute time */
    bool repeatable;   /* running it more than once is safe */
    bool all_shards;
    bbl_name service; /* its shards are queried; size 0: see `shards` */
    const uint32_t *shards;
    size_t shard_count;
    uint32_t coverage_ppm; /* minimum; UINT32_MAX: the plan's minimum */
    bbl_str text;
} bbl_query;

/* One shard in an answer. */
typedef struct {
    uint32_t shard;
    bbl_missing_reason missing; /* BBL_MISSING_NONE: `body` is the result */
    bbl_str body;
} bbl_answer_shard;

/* A finished query. Its memory is valid only during the `answer` call. */
typedef struct {
    bbl_answer_kind kind;
    const char *reason; /* static text, empty for BBL_ANSWER_OK */
    uint64_t version;   /* index version of all results; 0: none */
    const bbl_answer_shard *shards;
    size_t shard_count;    /* shards requested */
    size_t answered_count; /* shards with a result */
    uint32_t retry_after_ms;
    bbl_usec elapsed;
    uint32_t sub_requests_sent;
    bbl_str recorded_outcome; /* for BBL_ANSWER_RECORDED */
    bool claimed; /* the request was claimed; its outcome must be recorded */
} bbl_answer;

/* Outcome of a claim for a request that may not be repeated. */
typedef enum {
    BBL_CLAIM_GRANTED,    /* this host may run the request */
    BBL_CLAIM_EXISTS,     /* claimed earlier; no outcome is recorded */
    BBL_CLAIM_RECORDED,   /* claimed earlier; its outcome is recorded */
    BBL_CLAIM_FAILED,     /* the request is certainly not claimed */
    BBL_CLAIM_UNCONFIRMED /* no response; the request may be claimed */
} bbl_claim_outcome;

/* Functions of the caller. None of them may call back into the core. */
typedef struct {
    /* Sends sub-requests to an owner. */
    void (*send)(void *ctx, uint32_t owner, const bblx_sub_request *request);
    /* Cancels sub-requests at an owner. */
    void (*cancel)(void *ctx, uint32_t owner, const bblx_sub_cancel *cancel);
    /* Claims a request; pass the outcome to bbl_gather_complete_claim. */
    void (*claim)(void *ctx, uint64_t seq, const bbl_name *customer,
                  bbl_str request_id);
    /* Delivers an answer; `token` comes from bbl_gather_submit. */
    void (*answer)(void *ctx, void *token, const bbl_answer *answer);
    void *ctx; /* passed to each function */
} bbl_gather_port;

/*
 * Chooses one of several replicas. `scores` holds the expected wait of each,
 * in microseconds; `choose` returns an index into it.
 */
typedef struct {
    const char *name;
    size_t (*choose)(const double *scores, size_t count, uint64_t random);
} bbl_replica_policy;

extern const bbl_replica_policy bbl_replica_least_wait;
extern const bbl_replica_policy bbl_replica_random;

typedef struct {
    int version; /* BBL_GATHER_OPTIONS_VERSION */
    uint32_t host;
    uint64_t incarnation;
    uint64_t seed; /* of the random choices */
    const bbl_replica_policy *replica_policy;
    uint32_t hedge_budget_ppm; /* hedges per first send; 0: no hedges */
    uint32_t hedge_tail_ppm;   /* answers slower than the hedge delay */
    uint32_t retry_budget_ppm; /* retries after failures per first send */
    bbl_usec hedge_delay_min;  /* minimum delay before a hedge */
    bbl_usec suspect_after;    /* silence that makes an owner suspect */
    bbl_usec answer_margin;    /* a query ends this long before its deadline */
    size_t queries_max;        /* open queries */
    bbl_gather_port port;
} bbl_gather_options;

#define BBL_GATHER_OPTIONS_INIT                                               \
    {                                                                         \
        .version = BBL_GATHER_OPTIONS_VERSION, .seed = 1,                     \
        .replica_policy = &bbl_replica_least_wait, .hedge_budget_ppm = 40000, \
        .hedge_tail_ppm = 5000, .retry_budget_ppm = 10000,                    \
        .hedge_delay_min = 4 * BBL_USEC_PER_MS,                               \
        .suspect_after = 100 * BBL_USEC_PER_MS,                               \
        .answer_margin = 2 * BBL_USEC_PER_MS, .queries_max = 20000            \
    }

/* Counters since bbl_gather_new. */
typedef struct {
    uint64_t queries;
    uint64_t answered[6]; /* by bbl_answer_kind */
    uint64_t missing[BBL_MISSING_REASON_COUNT];
    uint64_t shards_requested;
    uint64_t first_sends; /* parts of queries, without hedges and retries */
    uint64_t hedges;
    uint64_t hedge_wins;
    uint64_t replaced;      /* slow attempts cancelled in favour of a hedge */
    uint64_t hedges_denied; /* by the hedge budget */
    uint64_t retries;
    uint64_t busy_refusals;   /* parts that an owner sent back: long queue */
    uint64_t restarts;        /* queries restarted on a newer index version */
    uint64_t suspicions;      /* owners that became suspect */
    uint64_t late_results;    /* for attempts or queries that have ended */
    uint64_t foreign_results; /* from another searcher or index version */
    bbl_histogram latency_us;
} bbl_gather_counters;

typedef struct bbl_gather bbl_gather;

/* Creates a core; free it with bbl_gather_free. */
void bbl_gather_new(bbl_gather **out, const bbl_gather_options *options);

/* Frees the core. Open queries get no answer. */
void bbl_gather_free(bbl_gather *gather);

/*
 * Installs a new view. The caller keeps ownership and must keep the view
 * alive until the next call returns or the core is freed.
 */
void bbl_gather_set_view(bbl_gather *gather, bbl_usec now,
                         const bbl_view *view);

/*
 * Submits a query. The answer is delivered through the port, possibly before
 * this function returns.
 *
 * @param lease_until time until which this daemon may accept work
 * @param wall_sec    Unix time in seconds, compared with the end of the plan
 * @param token       passed to the `answer` function of the port
 */
void bbl_gather_submit(bbl_gather *gather, bbl_usec now, bbl_usec lease_until,
                       int64_t wall_sec, const bbl_query *query, void *token);

/* Processes the results and backlogs that an owner sent. */
void bbl_gather_receive_results(bbl_gather *gather, bbl_usec now,
                                uint32_t owner,
                                const bblx_sub_results *results);

/*
 * Processes the outcome of a claim.
 *
 * @param seq      as passed to the `claim` function of the port
 * @param recorded the recorded outcome, for BBL_CLAIM_RECORDED
 */
void bbl_gather_complete_claim(bbl_gather *gather, bbl_usec now, uint64_t seq,
                               bbl_claim_outcome outcome, bbl_str recorded);

/*
 * Ends queries near their deadlines, retries parts whose delay has passed
 * and sends hedges. Call it every millisecond.
 */
void bbl_gather_tick(bbl_gather *gather, bbl_usec now);

/* Returns the number of open queries. */
size_t bbl_gather_open_count(const bbl_gather *gather);

const bbl_gather_counters *bbl_gather_get_counters(const bbl_gather *gather);

/* Returns the current delay before a hedge. */
bbl_usec bbl_gather_hedge_delay(const bbl_gather *gather);

#endif
