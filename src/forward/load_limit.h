/*
 * load_limit.h - limits the work that an entry host admits for one set of
 * servers.
 *
 * Load pattern: for some seconds callers bring several times the work that the
 * servers can do. Queues fill up at every server, and then nearly all answers
 * are late although all servers work at full speed. The host measures how much
 * longer attempts take than usual. While that indicates queues, it admits a
 * share of the work that the servers were seen to complete, and refuses the
 * rest at once, before any server has worked on it. The share rises slowly
 * once the queues are short; without signs of overload there is no limit. A
 * host that was never busy has seen too little of the servers' capacity, so it
 * always admits half of its share of their slots.
 */
#ifndef BBL_LOAD_LIMIT_H
#define BBL_LOAD_LIMIT_H

#include "bbl/types.h"

#define BBL_LOAD_BUCKETS 64 /* buckets of the histogram of one window */

typedef struct {
    bbl_usec window_start;
    uint32_t buckets[BBL_LOAD_BUCKETS]; /* by tenths of the usual time */
    uint32_t samples;
    /*
     * Requests to which the samples belong; a sample counts as its share of
     * its request.
     */
    double requests;
    /* Work that callers brought in this window, microseconds. */
    double offered_work;
    /* Work that servers completed in this window, microseconds. */
    double completed_work;
    /* Maximum of the work lately completed, microseconds per second. */
    double capacity;
    /*
     * This host's share of the work that the slots of the servers can do,
     * microseconds per second.
     */
    double slot_capacity;
    double capacity_share; /* share of the capacity that is admitted */
    /* Work brought while there is no limit, microseconds per second. */
    double usual_load;
    /* Seconds over which usual_load was measured. */
    double learned_seconds;
    /* Admitted work, microseconds per second; 0 if there is no limit. */
    double rate;
    /* Work that may be admitted now, microseconds; negative if overdrawn. */
    double tokens;
    bbl_usec filled_at; /* when the tokens were last refilled */
    bool congested;

} bbl_load_limit;

/*
 * Decides whether to admit a request.
 *
 * @param work expected time that a server works on one part of the request,
 *             microseconds
 * @param urgent whether no route has a more urgent priority
 */
bool bbl_load_limit_admit(bbl_load_limit *limit, bbl_usec now, bbl_usec work,
                          bool urgent);

/*
 * Records an attempt that was answered.
 *
 * @param ratio its duration divided by the usual one
 * @param work work of its request, microseconds
 * @param part its share of its request, 0 to 1
 */
void bbl_load_limit_record_attempt(bbl_load_limit *limit, bbl_usec now,
                                   double ratio, double work,
                                   double request_share);

/* Returns the time until work may be admitted again, at most a second. */
bbl_usec bbl_load_limit_get_wait(const bbl_load_limit *limit);

#endif
