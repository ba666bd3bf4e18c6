/*
 * clock.h - the clocks of the machine. The cores take time as an argument;
 * only drivers call these.
 */
#ifndef BBL_CLOCK_H
#define BBL_CLOCK_H

#include "bbl/types.h"

/* Returns monotonic time, microseconds. */
bbl_usec bbl_clock_now(void);

/* Returns wall clock time, milliseconds since 1970. */
uint64_t bbl_clock_wall_ms(void);

/* Returns the processor time used by this process, microseconds. */
bbl_usec bbl_clock_process_cpu(void);

/* Returns the processor time used by the calling thread, microseconds. */
bbl_usec bbl_clock_thread_cpu(void);

#endif
