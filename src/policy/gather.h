/*
 * gather.h - the entry side of a query: admission, one pinned snapshot, the
 * choice of replicas, hedges, retries and the merge into one answer.
 *
 * The core makes no system call: time, queries and results come in; requests
 * to owners, cancels, claims and answers go out through the port.
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
    BBL_ANSWER_OK,         /* whole, or partial where that is accepted */
    BBL_ANSWER_NOT_RUN,    /* refused; no searcher has run any of it */
    BBL_ANSWER_UNKNOWN,    /* it may not be repeated and may have run */
    BBL_ANSWER_INCOMPLETE, /* coverage below what is accepted */
    BBL_ANSWER_BAD_REQUEST,
    BBL_ANSWER_RECORDED /* outcome recorded for this request earlier */
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

/* One query as the caller put it; strings are copied. */
typedef struct {
    bbl_str request_id;
    bbl_name customer;
    bbl_urgency urgency;
    bbl_usec deadline; /* absolute */
    bool repeatable;
    bool all_shards;
    bbl_name service; /* size 0: use `shards` or all */
    const uint32_t *shards;
    size_t shard_count;
    uint32_t coverage_ppm; /* least acceptable; UINT32_MAX: by the plan */
    bbl_str text;
} bbl_query;

/* One shard in an answer. */
typedef struct {
    uint32_t shard;
    bbl_missing_reason missing; /* BBL_MISSING_NONE: `body` holds the result */
    bbl_str body;
} bbl_answer_shard;

/* A finished query; borrowed in the call. */
typedef struct {
    bbl_answer_kind kind;
    const char *reason; /* static text, empty for BBL_ANSWER_OK */
    uint64_t version;   /* index version of every part; 0: none */
    const bbl_answer_shard *shards;
    size_t shard_count;
    size_t answered_count;
    uint32_t retry_after_ms;
    bbl_usec elapsed;
    uint32_t sub_requests_sent; /* sub-requests sent */
    bbl_str recorded_outcome;   /* for BBL_ANSWER_RECORDED */
    bool claimed;               /* the outcome of the claim must be recorded */
} bbl_answer;

/* Outcome of a claim for a request that may not be repeated. */
typedef enum {
    BBL_CLAIM_GRANTED,    /* run it */
    BBL_CLAIM_EXISTS,     /* claimed before; no outcome is recorded */
    BBL_CLAIM_RECORDED,   /* an outcome is recorded */
    BBL_CLAIM_FAILED,     /* certainly not claimed */
    BBL_CLAIM_UNCONFIRMED /* no answer; it may be claimed */
} bbl_claim_outcome;

/* None of these may call back into the core. */
typedef struct {
    /* Sends sub-requests to an owner. */
    void (*send)(void *ctx, uint32_t owner, const bblx_sub_request *request);
    /* Cancels sub-requests at an owner. */
    void (*cancel)(void *ctx, uint32_t owner, const bblx_sub_cancel *cancel);
    /* Claims a request; bbl_gather_complete_claim brings the outcome. */
    void (*claim)(void *ctx, uint64_t seq, const bbl_name *customer,
                  bbl_str request_id);
    /* Gives the answer; `token` is that of the submission. */
    void (*answer)(void *ctx, void *token, const bbl_answer *answer);
    void *ctx;
} bbl_gather_port;

/* Choice of a replica among candidates; returns a place in `scores`. */
typedef struct {
    const char *name;
    size_t (*choose)(const double *scores, size_t count, uint64_t random);
} bbl_replica_policy;

extern const bbl_replica_policy
    bbl_replica_least_wait; /* least expected wait */
extern const bbl_replica_policy bbl_replica_random;

typedef struct {
    int version;
    uint32_t host;
    uint64_t incarnation;
    uint64_t seed;
    const bbl_replica_policy *replica_policy;
    uint32_t hedge_budget_ppm; /* hedges over first requests; 0: none */
    uint32_t hedge_tail_ppm;   /* answers that lag so that they are hedged */
    uint32_t retry_budget_ppm; /* retries after failures over first requests */
    bbl_usec hedge_delay_min;  /* least delay before a hedge */
    bbl_usec suspect_after;    /* silence of an owner that was asked */
    bbl_usec answer_margin;    /* kept free before the caller's deadline */
    size_t queries_max;        /* queries at once */
    bbl_gather_port port;
} bbl_gather_options;

#define BBL_GATHER_OPTIONS_INIT                                               \
    {                                                                         \
        .version = BBL_GATHER_OPTIONS_VERSION, .seed = 1,                     \
        .replica = &bbl_replica_least_wait, .hedge_ppm = 40000,               \
        .lag_ppm = 5000, .retry_ppm = 10000,                                  \
        .hedge_min = 4 * BBL_USEC_PER_MS,                                     \
        .suspect_after = 100 * BBL_USEC_PER_MS,                               \
        .answer_margin = 2 * BBL_USEC_PER_MS, .queries_max = 20000            \
    }

/* Counters, all since the start. */
typedef struct {
    uint64_t queries;
    uint64_t answered[6]; /* by bbl_answer_kind */
    uint64_t missing[BBL_MISSING_REASON_COUNT];
    uint64_t shards_requested;
    uint64_t first_sends;
    uint64_t hedges;
    uint64_t hedge_wins;
    uint64_t replaced;      /* slow runs cancelled when their hedge began */
    uint64_t hedges_denied; /* by the budget */
    uint64_t retries;
    uint64_t moves;           /* parts sent back for a long queue */
    uint64_t restarts;        /* on a newer snapshot */
    uint64_t suspicions;      /* owners found silent */
    uint64_t late_results;    /* for queries that have ended */
    uint64_t foreign_results; /* not from the searcher asked */
    bbl_histogram latency_us;
} bbl_gather_counters;

typedef struct bbl_gather bbl_gather;

void bbl_gather_new(bbl_gather **out, const bbl_gather_options *options);

/* Frees the core; queries under way get no answer. */
void bbl_gather_free(bbl_gather *gather);

/* Takes a new picture over; it stays valid until the next call. */
void bbl_gather_set_view(bbl_gather *gather, bbl_usec now,
                         const bbl_view *view);

/*
 * Submits a query. The answer comes through the port, perhaps in this call.
 *
 * @param lease_until until when this daemon may accept work
 * @param wall_sec    Unix time, for the end of plans
 */
void bbl_gather_submit(bbl_gather *gather, bbl_usec now, bbl_usec lease_until,
                       int64_t wall_sec, const bbl_query *query, void *token);

/* Takes in results from an owner. */
void bbl_gather_receive_results(bbl_gather *gather, bbl_usec now,
                                uint32_t owner,
                                const bblx_sub_results *results);

/* Takes in the outcome of a claim. */
void bbl_gather_complete_claim(bbl_gather *gather, bbl_usec now, uint64_t seq,
                               bbl_claim_outcome outcome, bbl_str recorded);

/* Hedges what lags and ends what is late; call each millisecond. */
void bbl_gather_tick(bbl_gather *gather, bbl_usec now);

/* Returns the number of queries under way. */
size_t bbl_gather_open_count(const bbl_gather *gather);

const bbl_gather_counters *bbl_gather_get_counters(const bbl_gather *gather);

/* Returns the present delay before a hedge. */
bbl_usec bbl_gather_hedge_delay(const bbl_gather *gather);

#endif
