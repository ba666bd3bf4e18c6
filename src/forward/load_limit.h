/*
 * load_limit.h - how much work an entry host takes on for one set of
 * servers.
 *
 * Load pattern: for some seconds callers bring several times what the
 * servers can do. Queues in front of every server fill up, and then nearly
 * all answers come too late although all servers work at full speed. The
 * host measures how much longer attempts take than usual. While that shows
 * queues, it takes on a part of what the servers were seen to get done, and
 * refuses the rest at once, before any server has worked for it. The part
 * rises slowly once the queues are short; without signs of overload there is
 * no limit. A host that was never busy has seen too little of what the
 * servers can do, so it always takes on half of its share of their slots.
 */
#ifndef BBL_LOAD_LIMIT_H
#define BBL_LOAD_LIMIT_H

#include "bbl/types.h"

#define BBL_LOAD_BUCKETS 64 /* of the histogram of one window */

typedef struct {
    bbl_usec window_start;
    uint32_t buckets[BBL_LOAD_BUCKETS]; /* by tenths of the usual time */
    uint32_t samples;
    double requests; /* that the samples belong to, parts counted as such */
    double offered_work;   /* work that callers brought in this window */
    double completed_work; /* work that servers did in this window */
    double capacity; /* most that they did lately, microseconds a second */
    double slot_capacity;   /* of this host, of all that the servers' slots can
                               do */
    double capacity_share;  /* of the capacity that is taken on */
    double usual_load;      /* work of calm times, microseconds a second */
    double learned_seconds; /* seconds that the usual load was followed for */
    double rate;            /* microseconds of work a second; 0: no limit */
    double tokens;          /* microseconds of work */
    bbl_usec filled_at;     /* when the tokens were last brought up to date */
    bool congested;

} bbl_load_limit;

/*
 * Decides whether to take a request on.
 *
 * @param work   time that a server works for one part of it
 * @param urgent whether nothing more urgent shares the servers
 */
bool bbl_load_limit_admit(bbl_load_limit *limit, bbl_usec now, bbl_usec work,
                          bool urgent);

/*
 * Records an attempt that was answered.
 *
 * @param ratio its time over the usual one
 * @param work  work of its request, microseconds
 * @param part  its part of its request
 */
void bbl_load_limit_record_attempt(bbl_load_limit *limit, bbl_usec now,
                                   double ratio, double work, double part);

/* Returns how long until work may be taken on again, at most a second. */
bbl_usec bbl_load_limit_get_wait(const bbl_load_limit *limit);

#endif
