/*
 * pressure.h - the load pressure that one host sees at a set of shards.
 *
 * Load pattern: callers bring several times the usual work to servers with
 * short queues. A sharded query touches every shard, so the share of its parts
 * that servers refuse tells how loaded the whole fleet is, also to a host that
 * sends one or two queries a second. Slow servers refuse parts as well, at the
 * usual load; so a host asks a grantor for a small share of refused parts, and
 * saves work once a grantor has told that the load of all hosts is limited.
 *
 * At a large share a host saves work without waiting for a grantor.
 *
 * Servers that refuse parts without being full are no overload, and a retry at
 * another server is the remedy there. A full server answers late what it
 * accepts, so refusals tell of load only if a corresponding share of the
 * answers is late.
 */
#ifndef BBL_ADMISSION_PRESSURE_H
#define BBL_ADMISSION_PRESSURE_H

#include "bbl/types.h"

typedef struct {
    uint32_t sent;
    uint32_t refused;
} bbl_pressure_window;

/* Zero-initialized. */
typedef struct {
    bbl_pressure_window current;
    bbl_pressure_window previous;
    bbl_usec started_at; /* of the current window */
    bbl_usec sent_at;    /* when the last part was sent */
    bbl_usec active_until;
    bbl_usec limited_until;
    /* Decaying counts of the last seconds: whether servers are full. */
    double recent_refused;
    double recent_answered;
    double recent_late; /* of these */
    bbl_usec recent_at; /* when they last decayed */
} bbl_pressure;

/*
 * Records parts that were sent, and parts that servers have refused.
 *
 * @return whether pressure has just begun
 */
bool bbl_pressure_record(bbl_pressure *pressure, bbl_usec now, uint32_t sent,
                         uint32_t refused);

/*
 * Records a part that was answered or cancelled. One that was cancelled early
 * tells nothing.
 *
 * @param ratio its time divided by the usual one of its route
 */
void bbl_pressure_record_time(bbl_pressure *pressure, bbl_usec now,
                              double ratio, bool answered);

/* Returns whether refusals tell that servers are full. */
bool bbl_pressure_tells_load(const bbl_pressure *pressure);

/*
 * Records that the load of all hosts is limited until `until` at least, as a
 * grantor has said. The pressure lasts as long.
 */
void bbl_pressure_set_limited(bbl_pressure *pressure, bbl_usec until);

/* Returns whether the host is to save work of the servers. */
bool bbl_pressure_is_limited(const bbl_pressure *pressure, bbl_usec now);

/* Returns whether queries are to ask for admission. */
bool bbl_pressure_is_active(const bbl_pressure *pressure, bbl_usec now);

/*
 * Returns the share of the recent parts that servers refused for their load,
 * 0 to 1: 0 if refusals do not tell that servers are full.
 */
double bbl_pressure_get_refused_share(const bbl_pressure *pressure,
                                      bbl_usec now);

/*
 * Returns the share of its budget that a host may use for hedges and retries,
 * 0 to 1: 1 while the load is not limited.
 */
double bbl_pressure_get_extra_share(const bbl_pressure *pressure,
                                    bbl_usec now);

#endif
