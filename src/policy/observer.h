/*
 * observer.h - what an entry daemon has seen of searchers and of their
 * owners: backlogs told, service times, and owners that are silent.
 */
#ifndef BBL_OBSERVER_H
#define BBL_OBSERVER_H

#include "policy/view.h"

typedef struct {
    bbl_map searchers; /* of the module */
    bbl_map owners;    /* of the module */
    size_t suspect_count;
    bbl_usec checked_at;
} bbl_observer;

void bbl_observer_init(bbl_observer *observer);
void bbl_observer_free(bbl_observer *observer);

/* Takes in a backlog as its owner tells it. */
void bbl_observer_update_backlog(bbl_observer *observer, bbl_usec now,
                                 const bblx_load *load);

/* Takes in the service time of one answer, microseconds. */
void bbl_observer_add_service_time(bbl_observer *observer, uint32_t searcher,
                                   uint32_t us);

/* Notes a sub-request sent for a searcher. */
void bbl_observer_record_send(bbl_observer *observer, uint32_t searcher);

/* Returns the expected time to an answer, microseconds. */
double bbl_observer_expected_wait(bbl_observer *observer, bbl_usec now,
                                  const bbl_view_searcher *searcher);

/* Notes that an owner was asked for something. */
void bbl_observer_record_request(bbl_observer *observer, bbl_usec now,
                                 uint32_t host);

/* Notes that an owner was heard. */
void bbl_observer_record_response(bbl_observer *observer, uint32_t host);

/*
 * Suspects the owners that have been silent for longer than `silence` since
 * they were asked; call it often. A call that was itself late judges nobody.
 *
 * @return the number of owners that became suspect
 */
unsigned bbl_observer_check_silence(bbl_observer *observer, bbl_usec now,
                                    bbl_usec silence);

/* Whether an owner is suspect; many silent ones mean the fault lies here. */
bool bbl_observer_is_suspect(bbl_observer *observer, uint32_t host);

#endif
