/*
 * query.h - a caller's request while it is open: its shards, the attempts at
 * each shard, and the answer that is merged from them. A request to a single
 * service is a query with one shard that is not merged.
 */
#ifndef BBL_FORWARD_QUERY_H
#define BBL_FORWARD_QUERY_H

#include "forward/admission_ask.h"
#include "forward/forwarder.h"
#include "forward/pools.h"
#include "forward/receive_cost.h"
#include "forward/split.h"
#include "forward/top_records.h"

/* Attempts at one shard, including those that a server refused. */
#define BBL_ATTEMPTS_MAX 6

/* Timing statistics of one route name, kept across routing versions. */
typedef struct {
    /* Quantile of the time until a usable response, including queueing. */
    bbl_usec service_time;
    /* Mean of that time while the servers are not congested. */
    bbl_usec uncongested_time;
    bbl_receive_cost receive_cost;
    unsigned samples; /* number of usable responses, up to a limit */
    /* Refusals of delegated queries in a row; see delegate.c. */
    unsigned refusals_elsewhere;
    /* Until then other hosts are taken not to serve the route, not to reach
     * all of its shards, or to serve it. */
    bbl_usec unavailable_elsewhere_until;
    bbl_usec incomplete_elsewhere_until;
    bbl_usec served_elsewhere_until;
    /* Until then no query is delegated while the route is unavailable. */
    bbl_usec next_probe_at;
} bbl_route_timing;

/* One routing version with the data that the forwarder keeps for it. */
typedef struct {
    bbl_routing *routing;
    bbl_pool **pools;           /* by service index, borrowed */
    bbl_split *splits;          /* by route index */
    bbl_route_timing **timings; /* by route index, borrowed */
    size_t route_count;
    uint32_t most_urgent_priority; /* lowest priority number of any query */
    unsigned ref_count; /* one for each query, and one while active */
} bbl_route_table;

typedef enum {
    BBL_SHARD_PENDING,   /* waits for an attempt to be sent */
    BBL_SHARD_IN_FLIGHT, /* an attempt is in flight */
    BBL_SHARD_ANSWERED,
    BBL_SHARD_FAILED
} bbl_shard_state;

/* Whether a shard waits for a permit, see permit.h. */
typedef enum {
    BBL_PERMIT_NONE,
    BBL_PERMIT_USEFUL,  /* another server would do as well */
    BBL_PERMIT_REQUIRED /* all its servers limit their request rate */
} bbl_permit_wish;

typedef struct {
    bbl_pool *pool;
    bbl_shard_state state;
    bbl_permit_wish permit_wish;
    bool limited;           /* failed because no server had a permit left */
    bbl_usec first_sent_at; /* when the first attempt was sent */
    unsigned attempts_sent;
    unsigned attempts_maybe_run; /* attempts that a server may have run */
    unsigned in_flight;
    /* Whether it was decided if its first attempt goes to the target version
     * of a rollout, and whether it does. */
    bool version_drawn;
    bool to_target;
    /* Servers of the attempts sent so far; compared, never dereferenced. */
    const bbl_backend *tried[BBL_ATTEMPTS_MAX];
    const char *failure_reason; /* of the last failed attempt, or NULL */
} bbl_shard;

typedef struct {
    bbl_forward_request request;
    bbl_route_table *table;
    const bbl_route *route;
    /* Organisation of the caller, owned by the routing of `table`; NULL if the
     * route needs none. */
    const bbl_organisation *organisation;
    /* That of the organisation, or of the route if it has none. */
    uint32_t priority;
    bbl_route_timing *timing;
    bbl_load_limit *load_limit; /* load limit of its servers, borrowed */
    /* Pool that holds the pressure of its shards, borrowed; NULL if this host
     * does not ask for load, see bbl_query_is_under_pressure(). */
    bbl_pool *pressure_pool;
    /*
     * When the answer should be sent: an incomplete answer with enough shards
     * is not delayed further.
     */
    bbl_usec target_at;
    bbl_usec deadline;
    bbl_usec responded_at; /* when its last attempt to end had ended */
    unsigned responses;    /* attempts that have ended */
    bbl_usec next_due_at;  /* when the tick has to process the query again */
    bbl_shard *shards;
    unsigned shard_count;
    unsigned shards_needed; /* shards required for a success */
    unsigned shards_answered;
    unsigned shards_failed;

    uint64_t last_permit_request; /* 0 before the first one */
    uint64_t permit_request;      /* the one not answered yet, or 0 */
    bbl_usec permit_timeout_at;
    /*
     * Whether it asks for permits although other servers would do: a server
     * tells that its limit is gone only in a response.
     */
    bool probes_limits;

    /* Generation of crashes of the request that was known at its start. */
    unsigned crash_generation;
    unsigned broken; /* attempts whose connection broke */
    /* Whether one shard goes first, see crash_alert.h: until it has answered,
     * or until canary_until, as it may just be slow. */
    bool canary;
    bbl_usec canary_until; /* 0 until the attempt is sent */
    unsigned first_shard;  /* index of the shard that is sent first */

    bbl_query_admission admission[BBL_ADMIT_SUBJECTS];
    bool started; /* admitted, and checked as requests without admission are */
    bbl_usec started_at;    /* when that was */
    unsigned parts_refused; /* attempts that servers refused for their load */

    bbl_delegation *delegation; /* in flight, or NULL */
    unsigned delegations;       /* hosts that it was delegated to */
    uint32_t delegates[BBL_DELEGATIONS_MAX];
    /* A delegation broke; its host may have run the query. */
    bool delegation_may_have_run;

    bool first_counted;     /* in the budget for extra attempts */
    bool attempted;         /* whether any attempt was sent */
    bbl_vec attempts;       /* bbl_attempt *, in flight */
    bbl_vec signatures;     /* signature_span, private to query.c */
    bbl_buf signature_text; /* text of all signatures */
    bbl_top_records top_records;
    bbl_forward_record record;
} bbl_query;

struct bbl_attempt {
    bbl_query *query; /* NULL once the query is finished */
    bbl_shard *shard;
    bbl_backend *backend;
    bbl_route_timing *timing;
    bbl_load_limit *load_limit;
    bbl_pool *pressure_pool; /* of its query */
    void *handle;            /* the driver's handle of the attempt */
    void *ctx;               /* ctx of the port */
    bbl_usec sent_at;
    uint64_t fingerprint;      /* of the request */
    unsigned crash_generation; /* that was known when the query began */
    double work;               /* expected server time, microseconds */
    double request_share;      /* 1 / shards of its query, 0 to 1 */
    /* When to cancel the attempt; set once its query is finished. */
    bbl_usec cancel_at;
    bool hedge;
    bool late; /* counted as bad evidence, see server_health.h */
    /* The running rollout for which it counts, or 0, and whether it went to a
     * server of the target version. */
    uint64_t rollout;
    bool to_target;
    uint64_t route;           /* hash of the route's name, if it counts */
    struct bbl_attempt *prev; /* attempts at the same server, oldest first */
    struct bbl_attempt *next;
};

void bbl_query_free(bbl_query *query);

/* Returns what the servers of a query are told of its caller. */
bbl_identity_fields bbl_query_get_identity(const bbl_query *query);

/* Adds the usable response of one shard to the answer. */
void bbl_query_add_part(bbl_query *query, bbl_str signature, bbl_str body);

/* Appends the header lines of a merged answer to `out`. */
void bbl_query_append_fields(bbl_query *query, const bbl_dialect *dialect,
                             bbl_buf *out);

/*
 * Add an attempt to the list of attempts of its server, or remove it, and
 * update the server's in_flight and oldest_sent_at.
 */
void bbl_attempt_link(bbl_attempt *attempt);
void bbl_attempt_unlink(bbl_attempt *attempt);

#endif
