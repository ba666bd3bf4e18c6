/*
 * backoff.h - what a backend server asks of this host in its responses: to
 * send it nothing for some time, or nothing any more because it is leaving.
 */
#ifndef BBL_BACKOFF_H
#define BBL_BACKOFF_H

#include "bbl/types.h"

/* State of one server at this host; zero-initialized. */
typedef struct {
    bbl_usec until; /* it wants no request before; 0: it never asked */
    unsigned sent;  /* attempts sent to it before that time */
    bool leaving;   /* it has said so; this holds until it is gone */
} bbl_backoff;

/*
 * Records that a server wants no request for `ms` milliseconds. A shorter time
 * does not end a longer one that it has asked for before.
 *
 * @param sent_before set to the attempts sent during the last such time
 * @return whether such a time has just begun
 */
bool bbl_backoff_begin(bbl_backoff *backoff, bbl_usec now, uint32_t ms,
                       unsigned *sent_before);

/* Returns whether a server wants no request now. */
bool bbl_backoff_is_active(const bbl_backoff *backoff, bbl_usec now);

#endif
