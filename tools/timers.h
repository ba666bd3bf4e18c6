/*
 * timers.h - a thread that calls back at given times, in order.
 */
#ifndef BBL_TOOL_TIMERS_H
#define BBL_TOOL_TIMERS_H

#include "bbl/types.h"

typedef struct timers timers;

/* Called on the timer thread. */
typedef void (*timer_callback)(void *ctx);

void timers_start(timers **out);
void timers_stop(timers *t);

/* Calls `fire` at or soon after `at`; any thread may add. */
void timers_add(timers *t, bbl_usec at, timer_callback fire, void *ctx);

#endif
