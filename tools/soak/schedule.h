/*
 * schedule.h - the faults of one soak, drawn from its seed before anything
 * starts: the same seed and length give the same schedule.
 */
#ifndef BBL_SOAK_SCHEDULE_H
#define BBL_SOAK_SCHEDULE_H

#include "bbl/types.h"
#include "util/vec.h"

typedef enum {
    FAULT_KILL,      /* SIGKILL; it starts again */
    FAULT_PAUSE,     /* SIGSTOP, then SIGCONT */
    FAULT_TERMINATE, /* SIGTERM to an entry host; it starts again */
    FAULT_WIPE,      /* SIGKILL and an empty disk, one or two hosts */
    FAULT_KILL_CORE, /* SIGKILL of all control hosts */
    FAULT_DELAY,     /* bytes to and from a server arrive later */
    FAULT_RESET,     /* all connections of a server are reset */
    FAULT_HOLD_IN,   /* nothing reaches a server */
    FAULT_HOLD_OUT,  /* nothing comes back from it */
    FAULT_SILENCE,   /* its open connections die without a word */
    FAULT_SHED,      /* a server refuses all work unrun */
    FAULT_LOSE,      /* a server runs requests and loses the answers */
    FAULT_REPLACE,   /* another server takes over a server's address */
    FAULT_LIST,      /* the platform's list does not answer */
    FAULT_KINDS
} fault_kind;

typedef struct {
    bbl_usec start_offset; /* from the start of the faults */
    fault_kind kind;
    uint64_t target; /* reduced to the number of hosts or servers */
    bbl_usec duration;
} fault;

const char *fault_kind_name(fault_kind kind);

/* Fills `out` with the faults of a seed, by time. */
void soak_schedule_generate(bbl_vec *out, uint64_t seed, bbl_usec length);

#endif
