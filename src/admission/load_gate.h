/*
 * load_gate.h - limits the queries of all hosts that are in flight at one set
 * of shards.
 *
 * Load pattern: for some seconds callers bring several times the usual work.
 * Each sharded query sends a part to every shard; a slow server then refuses
 * parts long before the slots of all servers are in use, five lost parts lose
 * the query, and the work of its other parts is lost with it. One control
 * host admits the queries of all hosts: its limit of queries in flight rises
 * slowly while servers refuse hardly anything and falls by a factor when they
 * refuse more. A part of the work that the slots can do is always admitted, as
 * slow servers refuse parts at the usual load as well, and a limit would then
 * idle the others. The other queries wait for a part of their target
 * (order.h), or are refused at once if the predicted wait is longer.
 *
 * A gate has no clock and sends nothing: its decisions are collected with
 * bbl_load_gate_take_decision.
 */
#ifndef BBL_ADMISSION_LOAD_GATE_H
#define BBL_ADMISSION_LOAD_GATE_H

#include "admission/order.h"
#include "util/rng.h"

/* A query for which a host asks. Times are from now on, in microseconds. */
typedef struct {
    uint32_t host;
    uint64_t number; /* unique at the host */
    uint32_t slots;  /* of one shard, over all its servers */
    uint32_t priority;
    uint32_t shards;
    double work; /* shards x expected time of a part, microseconds */
    bbl_usec target_left;
    bbl_usec deadline_left;
    bbl_usec wait_max;
} bbl_load_query;

typedef enum {
    BBL_LOAD_ADMITTED,
    BBL_LOAD_WAITING, /* a second decision follows */
    BBL_LOAD_REFUSED
} bbl_load_outcome;

typedef enum {
    BBL_LOAD_REASON_NONE,
    BBL_LOAD_REASON_QUEUE,    /* its wait would be too long, or was */
    BBL_LOAD_REASON_DEADLINE, /* it could not meet its deadline */
    BBL_LOAD_REASONS
} bbl_load_reason;

typedef struct {
    uint32_t host;
    uint64_t number;
    bbl_load_outcome outcome;
    bbl_load_reason reason;
    /* If it is not admitted, when its caller should retry. */
    bbl_usec retry_after;
    bbl_usec ask_for; /* how long the host is to ask, from now on */
} bbl_load_decision;

/* For metrics. */
typedef struct {
    uint64_t admitted[BBL_ORDER_PRIORITIES];
    uint64_t refused[BBL_ORDER_PRIORITIES][BBL_LOAD_REASONS];
    uint64_t reports_lost; /* queries that ended by their deadline */
} bbl_load_counters;

typedef struct {
    double limit; /* queries in flight; 0 before the first request */
    double slots;
    bbl_vec in_flight; /* admitted queries without a report; private */
    bbl_order waiting;
    bbl_vec decisions; /* bbl_load_decision; private */
    /* Parts sent and refused since the limit was last adjusted. */
    double parts;
    double refused;
    bbl_usec window_start;
    /* Work of one shard that may be admitted beyond the limit, microseconds;
     * negative if more was admitted. See FLOOR_SHARE. */
    double floor_tokens;
    bbl_usec floor_filled_at;
    bool binding;       /* a query had to wait since then */
    bbl_usec bound_at;  /* when one had to last; 0 if never */
    double query_time;  /* mean time from grant to report, microseconds */
    double work_factor; /* mean of that time divided by the work */
    /* Decaying counts of the last second or so, for the retry time. */
    double recent_admitted;
    double recent_refused;
    bbl_usec recent_at;
    bbl_rng rng;
    bbl_load_counters counters;
} bbl_load_gate;

void bbl_load_gate_init(bbl_load_gate *gate, uint64_t seed);
void bbl_load_gate_free(bbl_load_gate *gate);

/* Decides on a query. The same query again gets the same decision. */
void bbl_load_gate_request(bbl_load_gate *gate, bbl_usec now,
                           const bbl_load_query *query);

/*
 * Ends a query that was admitted, or one that waits and is not to run.
 *
 * @param parts   parts sent to servers; 0 if it has not run
 * @param refused of these, refused by the servers
 */
void bbl_load_gate_report(bbl_load_gate *gate, bbl_usec now, uint32_t host,
                          uint64_t number, uint32_t parts, uint32_t refused,
                          bbl_usec took);

/*
 * Refuses waiting queries whose time is over, and ends queries whose report
 * was lost. Returns the time by which to call it again; UINT64_MAX if never.
 */
bbl_usec bbl_load_gate_tick(bbl_load_gate *gate, bbl_usec now);

/* Removes the oldest decision; returns false if there is none. */
bool bbl_load_gate_take_decision(bbl_load_decision *out, bbl_load_gate *gate);

#endif
