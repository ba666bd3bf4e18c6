/*
 * clock.h - the system clocks. Protocol and policy code takes the time as an
 * argument instead, so that simulations can control it.
 */
#ifndef BBL_CLOCK_H
#define BBL_CLOCK_H

#include "bbl/types.h"

/*
 * Returns the time since boot, in microseconds. Monotonic; includes the time
 * that the host was suspended.
 */
bbl_usec bbl_clock_now(void);

/* Returns the wall clock time in milliseconds since 1970-01-01 UTC. */
uint64_t bbl_clock_wall_ms(void);

/*
 * Returns a number that names this start of a process. It differs from that of
 * any other start, also if the clock was set back, but may be lower than that
 * of an earlier one.
 */
uint64_t bbl_clock_make_incarnation(void);

/* Returns the CPU time of this process, in microseconds. */
bbl_usec bbl_clock_process_cpu(void);

/* Returns the CPU time of the calling thread, in microseconds. */
bbl_usec bbl_clock_thread_cpu(void);

#endif
