/*
 * watch_clock.h - the time during which a thread was able to observe others.
 *
 * A failure detector must not count the time during which its own thread was
 * delayed, as responses may have arrived that it has not read. Neither may it
 * start anew after each delay: a thread that is often delayed would then never
 * detect a failure. This clock counts each turn of the thread, but of a turn
 * that took longer than it was meant to no more than that time and
 * BBL_WATCH_SLACK_US.
 */
#ifndef BBL_WATCH_CLOCK_H
#define BBL_WATCH_CLOCK_H

#include "bbl/types.h"

/* A turn that is later than this was delayed. */
#define BBL_WATCH_SLACK_US (25 * BBL_USEC_PER_MS)

/* Zero-initialised. */
typedef struct {
    bbl_usec ended_at; /* end of the last turn; 0 before the first one */
    bbl_usec watched;  /* time counted up to then */
} bbl_watch_clock;

/*
 * Returns the time counted up to `now`, in microseconds; never 0.
 *
 * @param wait the longest time that the present turn waits for events
 */
bbl_usec bbl_watch_clock_get(const bbl_watch_clock *clock, bbl_usec now,
                             bbl_usec wait);

/* Ends a turn; returns the time counted up to `now`. */
bbl_usec bbl_watch_clock_end_turn(bbl_watch_clock *clock, bbl_usec now,
                                  bbl_usec wait);

#endif
