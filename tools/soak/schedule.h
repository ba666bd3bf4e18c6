/*
 * schedule.h - the faults of one soak run. All of them are drawn from the seed
 * before the first process starts, so the same seed and duration give the same
 * schedule.
 */
#ifndef BBL_SOAK_SCHEDULE_H
#define BBL_SOAK_SCHEDULE_H

#include "bbl/types.h"
#include "util/vec.h"

typedef enum {
    FAULT_KILL,      /* SIGKILL to a host, which is restarted */
    FAULT_PAUSE,     /* SIGSTOP to a host, later SIGCONT */
    FAULT_TERMINATE, /* SIGTERM to an entry host, which is restarted */
    FAULT_WIPE,      /* SIGKILL to one or two control hosts; disks are lost */
    FAULT_KILL_CORE, /* SIGKILL to all control hosts at once */
    FAULT_DELAY,     /* bytes to and from a backend server are delayed */
    FAULT_RESET,     /* all connections to a server are reset */
    FAULT_HOLD_IN,   /* bytes to a server are held back */
    FAULT_HOLD_OUT,  /* bytes from a server are held back */
    FAULT_SILENCE,   /* the open connections to a server stop passing bytes */
    FAULT_SHED,      /* a server refuses all requests without running them */
    FAULT_LOSE,      /* a server runs requests and does not respond */
    FAULT_REPLACE,   /* a new server starts at the address of a server */
    FAULT_LIST,      /* the platform's list of servers does not respond */
    FAULT_KILL_LEADER,  /* SIGKILL to the control host that led last */
    FAULT_PAUSE_LEADER, /* SIGSTOP to it, later SIGCONT */
    FAULT_SPIKE,        /* callers send several times the usual requests */
    FAULT_KINDS
} fault_kind;

typedef struct {
    bbl_usec start_offset; /* from the start of the fault phase */
    fault_kind kind;
    /* A random number. Its remainder by the number of hosts or servers selects
     * the affected one; for FAULT_WIPE, the upper 32 bits select how many, for
     * FAULT_SPIKE, it selects the load. */
    uint64_t target;
    bbl_usec duration;
} fault;

/* Returns a static string. */
const char *fault_kind_name(fault_kind kind);

/*
 * Appends the faults of a seed in the order of their start.
 *
 * @param out            a vector of `fault`
 * @param total_duration length of the fault phase
 */
void soak_schedule_generate(bbl_vec *out, uint64_t seed,
                            bbl_usec total_duration);

#endif
