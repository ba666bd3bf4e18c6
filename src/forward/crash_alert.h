/*
 * crash_alert.h - whether servers have lately ended in a way that a query may
 * have caused. Sharded queries then go to one shard first, and to the others
 * once that has answered (a canary request).
 *
 * Load pattern: a query that ends its servers reaches one server of each shard
 * at the same moment, and its caller repeats it at once at another host, which
 * would end the second one. No word from the first host can be there in time,
 * but every host sees that several servers refuse connections at once.
 */
#ifndef BBL_CRASH_ALERT_H
#define BBL_CRASH_ALERT_H

#include "bbl/types.h"

/* Zero-initialized. */
typedef struct {
    bbl_usec window_start;
    unsigned ended; /* servers that have ended since then */
    bbl_usec until; /* end of the alert */
} bbl_crash_alert;

/* Counts a server that was usable and refuses a connection now. */
void bbl_crash_alert_count(bbl_crash_alert *alert, bbl_usec now);

/* Raises the alert: a server has ended under a request, at any host. */
void bbl_crash_alert_raise(bbl_crash_alert *alert, bbl_usec now);

bool bbl_crash_alert_is_raised(const bbl_crash_alert *alert, bbl_usec now);

#endif
