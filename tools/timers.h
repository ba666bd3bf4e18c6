/*
 * timers.h - a thread that runs callbacks at given times, earliest first.
 */
#ifndef BBL_TOOL_TIMERS_H
#define BBL_TOOL_TIMERS_H

#include "bbl/types.h"

typedef struct timers timers;

/* Runs on the timer thread and delays later timers while it runs. */
typedef void (*timer_callback)(void *ctx);

/* Starts the thread; timers_stop() frees `*out`. */
void timers_start(timers **out);

/*
 * Ends the thread and frees `t`. Timers that have not fired are dropped.
 * Not to be called from a callback.
 */
void timers_stop(timers *t);

/*
 * Calls `callback` with `ctx` once, at the time `at` of bbl_clock_now() or
 * soon after. May be called from any thread and from a callback.
 */
void timers_add(timers *t, bbl_usec at, timer_callback callback, void *ctx);

#endif
