/*
 * traffic_sim.h - simulates several hosts, each with a gather and a dispatch
 * core, with searchers in memory and a control authority that issues views
 * and leases. The searchers record what they run, and the simulation checks
 * the answers against these records.
 */
#ifndef BBL_TEST_TRAFFIC_SIM_H
#define BBL_TEST_TRAFFIC_SIM_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * The operations of a schedule. Host, searcher and data centre are selected
 * by `target`, modulo their number; durations are taken from `argument`,
 * modulo a maximum.
 */
typedef enum {
    TRAFFIC_RUN,         /* 1 to 60 ms pass, by `target` */
    TRAFFIC_QUERY,       /* a host gets a query; `argument` selects its kind */
    TRAFFIC_BURST,       /* a host gets up to 15 queries, by `argument` */
    TRAFFIC_KILL,        /* a host dies and restarts later without state */
    TRAFFIC_PAUSE,       /* a host does nothing for a while */
    TRAFFIC_MOVE,        /* a searcher gets another owner */
    TRAFFIC_COLD,        /* a searcher turns cold without warning */
    TRAFFIC_RESTART,     /* a searcher restarts with a new boot id */
    TRAFFIC_LEAVE,       /* a searcher drains, or returns */
    TRAFFIC_SILENT,      /* new exchanges with a searcher stall */
    TRAFFIC_BREAK,       /* new exchanges with a searcher break */
    TRAFFIC_STRAGGLE,    /* new runs at a searcher take longer */
    TRAFFIC_NEW_VERSION, /* most searchers get a new index version */
    TRAFFIC_SPLIT,       /* as above, with twice as many shards */
    TRAFFIC_DROP,        /* a searcher drops its oldest index version */
    TRAFFIC_ZONE,        /* a data centre is withdrawn or restored */
    TRAFFIC_LOSS,        /* messages from a host are lost */
    TRAFFIC_HANDOVER,    /* an owner hands a searcher over to another */
    TRAFFIC_KIND_COUNT
} traffic_kind;

typedef struct {
    traffic_kind kind;
    unsigned target;
    unsigned argument;
} traffic_op;

/*
 * Runs one schedule.
 *
 * @return NULL, or a description of the first violation (static storage)
 */
const char *traffic_sim_run(uint64_t seed, const traffic_op *ops,
                            unsigned count);

/* Returns the name of an operation for test output. */
const char *traffic_kind_name(traffic_kind kind);

#ifdef __cplusplus
}
#endif

#endif
