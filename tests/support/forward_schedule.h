/*
 * forward_schedule.h - random schedules of faults against one entry host's
 * forwarder. Promises towards callers and servers are checked after each
 * step; at the end all faults are healed and the forwarder must serve again.
 */
#ifndef BBL_TEST_FORWARD_SCHEDULE_H
#define BBL_TEST_FORWARD_SCHEDULE_H

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
    FORWARD_RUN,     /* let b ms pass */
    FORWARD_SEND,    /* a request of kind a with b ms left */
    FORWARD_BURST,   /* b / 8 requests of kind a at once */
    FORWARD_TREAT,   /* server a treats what it gets in way b */
    FORWARD_PAUSE,   /* server a answers nothing for b ms */
    FORWARD_SLOW,    /* the work takes b / 4 ms at server a */
    FORWARD_LEAVING, /* server a is listed as leaving, or no longer */
    FORWARD_COLD,    /* server a is listed as cold for b ms */
    FORWARD_GONE,    /* server a is listed no longer, or again */
    FORWARD_NARROW,  /* server a has b % 4 connections; 0: any number */
    FORWARD_CONNECT, /* a connection to server a opens, or with odd b fails */
    FORWARD_ZONE,    /* data centre z1 is evacuated, or with odd b not */
    FORWARD_ROUTING, /* the next version, of other coverage */
    FORWARD_LEAVE,   /* a caller leaves, the b-th last */
    FORWARD_OPS
} forward_op_kind;

typedef struct {
    forward_op_kind kind;
    unsigned target;
    unsigned value;
} forward_op;

/*
 * Runs one schedule.
 *
 * @return NULL, or what was violated (static storage)
 */
const char *forward_schedule_run(const forward_op *ops, unsigned count);

/* Returns a name for reports. */
const char *forward_op_kind_name(forward_op_kind kind);

#ifdef __cplusplus
}
#endif

#endif
