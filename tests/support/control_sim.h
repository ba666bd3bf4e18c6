/*
 * control_world.h - a few control cores with disks in memory, clocks that
 * err, and a network that loses, delays, repeats and cuts. Invariants are
 * checked after each step.
 */
#ifndef BBL_TEST_CONTROL_SIM_H
#define BBL_TEST_CONTROL_SIM_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define CONTROL_HOSTS 6 /* 1 to 3 found the quorum */
#define CONTROL_VOTERS 3

typedef enum {
    CONTROL_RUN,       /* let time pass: a tens of ms */
    CONTROL_CRASH,     /* host a loses what it has not synced */
    CONTROL_RESTART,   /* host a comes back */
    CONTROL_PAUSE,     /* host a does nothing for b tens of ms */
    CONTROL_CUT,       /* messages from a to b are lost */
    CONTROL_ISOLATE,   /* all messages from and to a are lost */
    CONTROL_HEAL,      /* all cuts end */
    CONTROL_CHANGE,    /* an operator changes the lists through host a */
    CONTROL_RESEND,    /* the operator sends the last change again, at a */
    CONTROL_RACE,      /* two operators with equal numbers, at a and b */
    CONTROL_CLAIM,     /* host a claims request number b */
    CONTROL_WIPE,      /* host a crashes and loses its disk */
    CONTROL_ADD,       /* the leader adds host a to the voters */
    CONTROL_REMOVE,    /* the leader removes host a from the voters */
    CONTROL_FAIL_DISK, /* the b-th next disk call of host a fails */
    CONTROL_DRAIN,     /* host a drains and releases what it owns */
    CONTROL_LEAVE,     /* the platform marks searcher b as leaving or not */
    CONTROL_TRANSFER,  /* the leader hands its leadership on */
    CONTROL_OPS
} control_op_kind;

typedef struct {
    control_op_kind kind;
    unsigned first_arg;
    unsigned second_arg;
} control_op;

/*
 * Runs one schedule and checks the invariants after each step; at the end
 * all faults are healed and the tier must work again.
 *
 * @return NULL, or what was violated (static storage)
 */
const char *control_sim_run(uint64_t seed, const control_op *ops,
                            unsigned count);

/* Returns a name for reports. */
const char *control_op_name(control_op_kind kind);

#ifdef __cplusplus
}
#endif

#endif
