/*
 * rollout_sim.h - simulation of one rollout: control hosts with disks in
 * memory, and entry hosts with their control cores, publishers and forwarders,
 * on clocks that drift and a network that loses and delays messages. The new
 * version is good, is bad from the start, or turns bad at some time.
 */
#ifndef BBL_TEST_ROLLOUT_SIM_H
#define BBL_TEST_ROLLOUT_SIM_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define ROLLOUT_CONTROLS 3 /* hosts 1 to 3 */
#define ROLLOUT_ENTRIES 4  /* hosts 4 to 7 */

/* In these comments a and b stand for first_arg and second_arg. */
typedef enum {
    ROLLOUT_RUN,      /* a tenths of a second pass */
    ROLLOUT_RESTART,  /* host a is killed and starts again */
    ROLLOUT_PAUSE,    /* host a does nothing for b tens of ms */
    ROLLOUT_ISOLATE,  /* all links from and to host a are cut */
    ROLLOUT_CUT,      /* the link from host a to host b is cut */
    ROLLOUT_HEAL,     /* all cut links are restored */
    ROLLOUT_TRANSFER, /* the leader transfers its leadership */
    ROLLOUT_CLOCK,    /* the wall clock of host a is set, by b ms */
    ROLLOUT_OPS
} rollout_op_kind;

typedef struct {
    rollout_op_kind kind;
    unsigned first_arg;
    unsigned second_arg;
} rollout_op;

/*
 * Runs one schedule and checks the exposure, the rollback, and that nothing is
 * in flight at the old servers when the rollout is completed. Without faults
 * the rollout must end as the version deserves; after faults it must end once
 * all of them are removed.
 *
 * @param seed chooses the version, the load and the faults of the network
 * @return NULL, or a description of the violated rule in static storage
 */
const char *rollout_sim_run(uint64_t seed, const rollout_op *ops,
                            unsigned count);

/* Returns the name of an operation kind for reports. */
const char *rollout_op_name(rollout_op_kind kind);

#ifdef __cplusplus
}
#endif

#endif
