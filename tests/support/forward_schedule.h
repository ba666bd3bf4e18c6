/*
 * forward_schedule.h - runs schedules of requests and faults against one entry
 * host's forwarder. The guarantees towards callers and servers are checked
 * after each step; at the end all faults are removed, and the forwarder must
 * serve every request completely again.
 */
#ifndef BBL_TEST_FORWARD_SCHEDULE_H
#define BBL_TEST_FORWARD_SCHEDULE_H

#ifdef __cplusplus
extern "C" {
#endif

typedef enum {
    FORWARD_RUN, /* advance the time by `value` ms */
    /* Send a request of kind `target`, whose caller waits `value` ms. */
    FORWARD_SEND,
    FORWARD_BURST,   /* send value / 8 requests of kind `target` at once */
    FORWARD_TREAT,   /* set the mode of server `target` to `value` */
    FORWARD_PAUSE,   /* server `target` sends no response for `value` ms */
    FORWARD_SLOW,    /* requests take 1 + value / 4 ms at server `target` */
    FORWARD_LEAVING, /* toggle whether server `target` is listed as leaving */
    FORWARD_COLD,    /* server `target` is listed as cold for `value` ms */
    FORWARD_GONE,    /* toggle whether server `target` is listed */
    /* Limit server `target` to value % 4 connections; 0 is unlimited. */
    FORWARD_NARROW,
    FORWARD_CONNECT, /* connect to server `target`; fails if `value` is odd */
    /* Evacuate data centre z1, or restore it if `value` is odd. */
    FORWARD_ZONE,
    /* Install the next routing, which has another minimum coverage and other
     * organisations. */
    FORWARD_ROUTING,
    /* The caller of the last request but value % 64 leaves. */
    FORWARD_LEAVE,
    FORWARD_KEY, /* further requests present key `value` % 5, of no one or of
                  * an organisation */
    /* The host no longer knows whether its routing is the newest one, or knows
     * it again if `value` is odd. */
    FORWARD_CONFIRM,
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
 * @return NULL, or the violated guarantee (static storage)
 */
const char *forward_schedule_run(const forward_op *ops, unsigned count);

/* Returns the name of an operation for test reports. */
const char *forward_op_kind_name(forward_op_kind kind);

#ifdef __cplusplus
}
#endif

#endif
