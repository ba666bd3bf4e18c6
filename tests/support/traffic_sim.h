/*
 * traffic_world.h - a few gather and dispatch cores over searchers in
 * memory, with a small control authority that hands out views and leases.
 * The searchers count what they ran; answers are checked against that.
 */
#ifndef BBL_TEST_TRAFFIC_WORLD_H
#define BBL_TEST_TRAFFIC_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
    TRAFFIC_RUN,      /* a ms pass */
    TRAFFIC_QUERY,    /* a query at host a; b picks its kind */
    TRAFFIC_BURST,    /* b queries at once at host a */
    TRAFFIC_KILL,     /* host a dies; it comes back with no memory */
    TRAFFIC_PAUSE,    /* host a does nothing for b ms */
    TRAFFIC_MOVE,     /* searcher a gets another owner */
    TRAFFIC_COLD,     /* searcher a turns cold without warning */
    TRAFFIC_RESTART,  /* searcher a restarts with a new boot */
    TRAFFIC_LEAVE,    /* searcher a drains, or returns */
    TRAFFIC_SILENT,   /* exchanges with searcher a go silent for b ms */
    TRAFFIC_BREAK,    /* exchanges with searcher a break off for b ms */
    TRAFFIC_STRAGGLE, /* runs at searcher a take b ms longer for a while */
    TRAFFIC_ROLL,     /* a new index version arrives everywhere, slowly */
    TRAFFIC_SPLIT,    /* the same, with twice as many shards */
    TRAFFIC_DROP,     /* searcher a drops its oldest index version */
    TRAFFIC_ZONE,     /* data centre a is withdrawn, or brought back */
    TRAFFIC_LOSS,     /* messages from host a are lost for b ms */
    TRAFFIC_HAND,     /* searcher a is handed over in an orderly way */
    TRAFFIC_OPS
} traffic_kind;

typedef struct {
    traffic_kind kind;
    unsigned a;
    unsigned b;
} traffic_op;

/*
 * Runs one schedule.
 *
 * @return NULL, or what was violated (static storage)
 */
const char *traffic_sim_run(uint64_t seed, const traffic_op *ops,
                            unsigned count);

/* Returns a name for reports. */
const char *traffic_kind_name(traffic_kind kind);

#ifdef __cplusplus
}
#endif

#endif
