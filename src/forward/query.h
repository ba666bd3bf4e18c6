/*
 * query.h - one request of a caller while it is under way: its shards, the
 * attempts at each, and the answer that they make. A request to one service
 * is a query with one shard that is not merged.
 */
#ifndef BBL_FORWARD_QUERY_H
#define BBL_FORWARD_QUERY_H

#include "forward/forwarder.h"
#include "forward/pools.h"
#include "forward/split.h"
#include "forward/top_records.h"

/* At one shard, those that were refused included */
#define BBL_ATTEMPTS_MAX 6

/* What is known of the requests on one route name. */
typedef struct {
    bbl_usec service_time;     /* usual time of an attempt, queues included */
    bbl_usec uncongested_time; /* the same while there are no queues */
    unsigned samples;          /* counted up to a limit */
} bbl_route_timing;

/* One version of the routing with what hangs on it. */
typedef struct {
    bbl_routing *routing;
    bbl_pool **pools;           /* by service index, borrowed */
    bbl_split *splits;          /* by route index */
    bbl_route_timing **timings; /* by route index, borrowed */
    size_t route_count;
    uint32_t most_urgent_priority; /* least priority number of any route */
    unsigned ref_count;            /* queries, and one while it is in force */
} bbl_route_table;

typedef enum {
    BBL_SHARD_PENDING,   /* wants an attempt */
    BBL_SHARD_IN_FLIGHT, /* an attempt is under way */
    BBL_SHARD_ANSWERED,
    BBL_SHARD_FAILED
} bbl_shard_state;

typedef struct {
    bbl_pool *pool;
    bbl_shard_state state;
    bbl_usec first_sent_at; /* first attempt */
    unsigned attempts_sent;
    unsigned possible_runs; /* attempts that may have run */
    unsigned in_flight;
    const bbl_backend *tried[BBL_ATTEMPTS_MAX]; /* compared only */
    const char *detail; /* how the last attempt ended */
} bbl_shard;

typedef struct {
    bbl_forward_request request;
    bbl_route_table *table;
    const bbl_route *route;
    bbl_route_timing *timing;
    bbl_load_limit *load_limit; /* of its servers, borrowed */
    bbl_usec target;            /* when the answer should go out */
    bbl_usec deadline;
    bbl_usec next_due_at;
    bbl_shard *shards;
    unsigned shard_count;
    unsigned shards_needed; /* shards for a success */
    unsigned shards_answered;
    unsigned shards_failed;

    bool attempted;     /* some attempt was sent */
    bbl_vec attempts;   /* bbl_attempt *, under way */
    bbl_vec signatures; /* of query.c: places in `text` */
    bbl_buf text;       /* of the signatures */
    bbl_top_records top_records;
    bbl_forward_record record;
} bbl_query;

struct bbl_attempt {
    bbl_query *query; /* NULL once that is answered */
    bbl_shard *shard;
    bbl_backend *backend;
    bbl_route_timing *timing;
    bbl_load_limit *load_limit;
    void *handle; /* of the driver */
    void *ctx;    /* of the port */
    bbl_usec sent_at;
    double work;          /* of its request, microseconds */
    double request_share; /* of its request */
    bbl_usec cancel_at;   /* ended then, when nobody waits for it any more */
    bool hedge;
    struct bbl_attempt *prev; /* at the same server, by time */
    struct bbl_attempt *next;
};

void bbl_query_free(bbl_query *query);

/* Takes a usable part in. */
void bbl_query_add_part(bbl_query *query, bbl_str signature, bbl_str body);

/* Appends the fields of a merged answer. */
void bbl_query_append_fields(bbl_query *query, const bbl_dialect *dialect,
                             bbl_buf *out);

/* Links an attempt to its server, or takes it off. */
void bbl_attempt_link(bbl_attempt *attempt);
void bbl_attempt_unlink(bbl_attempt *attempt);

#endif
