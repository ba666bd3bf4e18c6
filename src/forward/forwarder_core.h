/*
 * forwarder_core.h - the state of a forwarder and what its files call of each
 * other: route_table.c puts a routing into use, attempt.c sends and rates
 * attempts, answer.c ends queries, forwarder.c takes requests in and decides
 * what is due.
 */
#ifndef BBL_FORWARD_FORWARDER_CORE_H
#define BBL_FORWARD_FORWARDER_CORE_H

#include "forward/query.h"
#include "util/rng.h"

#define BBL_STATUS_NOT_FOUND 404
#define BBL_STATUS_BAD_GATEWAY 502
#define BBL_STATUS_UNAVAILABLE 503
#define BBL_STATUS_TIMEOUT 504

#define BBL_FOREVER UINT64_MAX

struct bbl_forwarder {
    bbl_forwarder_options options;
    bbl_extra_limits extra_limits; /* of this host */
    bbl_rng rng;
    bbl_pools pools;
    bbl_map timings; /* hash of the route name -> bbl_route_timing */
    bbl_route_table *table;
    bbl_routing *next_routing; /* waits for the servers of its shards */
    bbl_usec next_routing_since;
    bbl_usec list_read_at;
    unsigned entry_hosts;
    bbl_vec queries; /* bbl_query *, by priority, then by arrival */
    bbl_vec orphans; /* bbl_attempt *, of queries that were answered */
    bbl_usec next_sweep_at;
    bbl_forward_counters counters;
};

/* ---- route_table.c ---- */

/* Gives up one use of a table, and frees it after the last. */
void bbl_route_table_release(bbl_route_table *t);

/* Puts the next routing into use, unless it should wait for its shards. */
void bbl_forwarder_activate_routing(bbl_forwarder *f, bbl_usec now);

/* ---- attempt.c ---- */

/* Returns the silence after which an attempt looks stalled. */
bbl_usec bbl_route_timing_stall_timeout(const bbl_route_timing *pace);

/* Notes that a server answers none of the attempts under way at it. */
void bbl_backend_mark_silent(bbl_forwarder *f, bbl_usec now, bbl_backend *b);

/*
 * Returns the server for the next attempt at a shard, or NULL.
 *
 * @param second whether an attempt is under way that it should outrun
 * @param usable set to how many servers may get work, with room or without
 */
bbl_backend *bbl_attempt_choose_backend(bbl_forwarder *f, bbl_usec now,
                                        const bbl_query *q, const bbl_shard *s,
                                        bool second, size_t *usable);

/* Sends an attempt; false when no connection is free. */
bool bbl_attempt_send(bbl_forwarder *f, bbl_usec now, bbl_query *q,
                      bbl_shard *s, bbl_backend *b, bool hedge);

/* Returns whether another attempt at a shard is allowed. */
bool bbl_attempt_may_send(bbl_forwarder *f, bbl_usec now, const bbl_query *q,
                          bbl_shard *s);

/* Reports a hedge or a retry. */
void bbl_attempt_report_extra(bbl_forwarder *f, bbl_usec now,
                              const bbl_query *q, const bbl_shard *s,
                              const bbl_backend *b, bool hedge, bool stalled);

/* ---- answer.c ---- */

/* Takes a query off the list; it is not freed. */
void bbl_query_remove(bbl_forwarder *f, bbl_query *q);

/* Lets the attempts of a query go on without it until `drop_at`. */
void bbl_query_orphan_attempts(bbl_forwarder *f, bbl_query *q,
                               bbl_usec drop_at);

/* Whether a server may have worked, or may yet, on some part of a query. */
bool bbl_query_may_have_run(const bbl_query *q);

/* Answers a request that never became a query. */
void bbl_forwarder_refuse(bbl_forwarder *f, bbl_usec now,
                          const bbl_forward_request *request,
                          bbl_forward_reason reason, unsigned status);

/* Answers a query, unless its caller has left, and frees it. */
void bbl_query_finish(bbl_forwarder *f, bbl_usec now, bbl_query *q,
                      bbl_forward_reason reason,
                      const bbl_forward_answer *answer);

/* The same with an answer of the tier's own. */
void bbl_query_refuse(bbl_forwarder *f, bbl_usec now, bbl_query *q,
                      bbl_forward_reason reason, unsigned status);

/* The same with what the shards have answered. */
void bbl_query_finish_merged(bbl_forwarder *f, bbl_usec now, bbl_query *q);

/*
 * Answers a gather when it is complete, cannot succeed any more, or has met
 * its target with enough shards; a request to one server when nothing can
 * help any more. Returns whether it was answered.
 */
bool bbl_query_finish_if_decided(bbl_forwarder *f, bbl_usec now, bbl_query *q);

/* ---- forwarder.c ---- */

/* Does what is due for a query; false when that has answered it. */
bool bbl_query_process(bbl_forwarder *f, bbl_usec now, bbl_query *q);

#endif
