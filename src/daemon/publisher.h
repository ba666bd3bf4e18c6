/*
 * publisher.h - makes the updates that the control thread of an entry host
 * hands to its traffic thread.
 *
 * An update holds what has changed since the last one that the traffic thread
 * has taken. One that it has not taken yet is taken back and replaced, so that
 * none is lost and none has to wait in a queue.
 */
#ifndef BBL_DAEMON_PUBLISHER_H
#define BBL_DAEMON_PUBLISHER_H

#include "control/control.h"
#include "forward/forwarder.h"

typedef struct {
    bbl_control *control; /* borrowed */
    const bbl_dialect *dialect;
    uint32_t host;        /* id of this host */
    uint64_t incarnation; /* of this process */
} bbl_publisher_options;

typedef struct bbl_publisher bbl_publisher;

/* Creates a publisher, to be freed with bbl_publisher_free. */
void bbl_publisher_new(bbl_publisher **out,
                       const bbl_publisher_options *options);
void bbl_publisher_free(bbl_publisher *publisher);

/* Returns whether an update is due. */
bool bbl_publisher_has_changes(const bbl_publisher *publisher, bbl_usec now);

/* Returns a new update, to be freed with bbl_forward_update_free. */
bbl_forward_update *bbl_publisher_make_update(bbl_publisher *publisher,
                                              bbl_usec now);

/*
 * Takes back the update that was made last, as the traffic thread has not
 * taken it: the next one holds its content as well. NULL is allowed. Frees the
 * update.
 */
void bbl_publisher_take_back(bbl_publisher *publisher,
                             bbl_forward_update *update);

/* Returns the routing version of the last update that had one; 0 if none. */
uint64_t bbl_publisher_get_routing_version(const bbl_publisher *publisher);

/*
 * Returns whether the newest routing could be decoded. A host of a build with
 * other rules may have recorded one that this build finds invalid.
 */
bool bbl_publisher_has_newest_routing(const bbl_publisher *publisher);

/* Returns the number of entry hosts, as counted for the last update. */
unsigned bbl_publisher_get_entry_hosts(const bbl_publisher *publisher);

#endif
