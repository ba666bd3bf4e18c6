/*
 * control_sim.h - simulation of a few control cores with disks in memory,
 * clocks that drift, and a network that loses, delays and duplicates messages
 * and cuts links. Invariants are checked after each step.
 */
#ifndef BBL_TEST_CONTROL_SIM_H
#define BBL_TEST_CONTROL_SIM_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define CONTROL_HOSTS 6
#define CONTROL_VOTERS 3 /* hosts 1 to 3 bootstrap the quorum */

/* In these comments a and b stand for first_arg and second_arg. */
typedef enum {
    CONTROL_RUN,       /* time passes: 2 * (1 + a % 64) steps */
    CONTROL_CRASH,     /* host a loses what it has not synced */
    CONTROL_RESTART,   /* host a starts again */
    CONTROL_PAUSE,     /* host a does nothing for b tens of ms */
    CONTROL_CUT,       /* the link from host a to host b is cut */
    CONTROL_ISOLATE,   /* all links from and to host a are cut */
    CONTROL_HEAL,      /* all cut links are restored */
    CONTROL_CHANGE,    /* an operator submits new lists to host a */
    CONTROL_RESEND,    /* one of the last 8 changes is sent again to host a */
    CONTROL_RACE,      /* two changes of the same version, to hosts a and b */
    CONTROL_CLAIM,     /* host a claims request b */
    CONTROL_WIPE,      /* host a crashes and loses its disk */
    CONTROL_ADD,       /* the leader adds host a to the voters */
    CONTROL_REMOVE,    /* the leader removes host a from the voters */
    CONTROL_FAIL_DISK, /* one of the next 8 disk calls of host a fails */
    CONTROL_DRAIN,     /* host a drains and releases its searchers */
    CONTROL_LEAVE,     /* searcher b starts or stops leaving */
    CONTROL_TRANSFER,  /* the leader transfers its leadership */
    CONTROL_OPS
} control_op_kind;

typedef struct {
    control_op_kind kind;
    unsigned first_arg;
    unsigned second_arg;
} control_op;

/*
 * Runs one schedule and checks the invariants after each step. At the end all
 * faults are removed, and a change must then be accepted and take effect.
 *
 * @return NULL, or a description of the violated invariant in static storage
 */
const char *control_sim_run(uint64_t seed, const control_op *ops,
                            unsigned count);

/*
 * The same, but the leader keeps three voters, as a deployment that bears the
 * loss of one disk does: hosts 1 to 4 take turns as the spare.
 */
const char *control_sim_run_with_spare(uint64_t seed, const control_op *ops,
                                       unsigned count);

/* Returns the name of an operation kind for reports. */
const char *control_op_name(control_op_kind kind);

#ifdef __cplusplus
}
#endif

#endif
