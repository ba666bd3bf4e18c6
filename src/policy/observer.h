/*
 * observer.h - observations of an entry host about searchers and their owners:
 * reported backlogs, service times, and owners that do not respond.
 */
#ifndef BBL_OBSERVER_H
#define BBL_OBSERVER_H

#include "policy/view.h"

typedef struct {
    bbl_map searchers;    /* private */
    bbl_map owners;       /* private */
    size_t suspect_count; /* number of suspect owners */
    bbl_usec checked_at;  /* last bbl_observer_check_silence; 0: never */
} bbl_observer;

void bbl_observer_init(bbl_observer *observer);
void bbl_observer_free(bbl_observer *observer);

/* Updates the backlog of a searcher as reported by its owner. */
void bbl_observer_update_backlog(bbl_observer *observer, bbl_usec now,
                                 const bblx_load *load);

/* Adds the service time of one answer, in microseconds. */
void bbl_observer_add_service_time(bbl_observer *observer, uint32_t searcher,
                                   uint32_t us);

/* Records that this host sent a sub-request for a searcher. */
void bbl_observer_record_send(bbl_observer *observer, uint32_t searcher);

/* Returns the expected time until an answer, in microseconds. */
double bbl_observer_expected_wait(bbl_observer *observer, bbl_usec now,
                                  const bbl_view_searcher *searcher);

/* Records that this host sent a request to an owner. */
void bbl_observer_record_request(bbl_observer *observer, bbl_usec now,
                                 uint32_t host);

/* Records that an owner responded; it is no longer suspect. */
void bbl_observer_record_response(bbl_observer *observer, uint32_t host);

/*
 * Marks the owners as suspect that have not responded within `silence` of a
 * request. An interval between two calls that is longer than `silence` shows
 * that this host itself was delayed: it does not count, and the call marks no
 * owner. Shorter ones count in full, so a silent owner is suspect within
 * `silence` plus one interval.
 *
 * @return the number of owners that became suspect
 */
unsigned bbl_observer_check_silence(bbl_observer *observer, bbl_usec now,
                                    bbl_usec silence);

/*
 * Returns whether an owner is suspect. Returns false for all owners if more
 * than a third of them are, since the fault is then likely at this host.
 */
bool bbl_observer_is_suspect(bbl_observer *observer, uint32_t host);

#endif
