/*
 * placement.h - chooses the backend server for one attempt.
 *
 * Load pattern: the servers of a service differ in speed, pause for a moment,
 * turn slow for seconds or fail some of their requests, while the others have
 * capacity. The server with the lowest expected time is chosen. Traffic
 * between data centres is charged by the byte, so a server in another data
 * centre must save a share of the target time. Hosts with few requests per
 * second keep one connection per service, so the time to open a connection to
 * another server counts as well. A server that hosts have rated as bad
 * (server_health.h) is expected to take as long as they say.
 */
#ifndef BBL_PLACEMENT_H
#define BBL_PLACEMENT_H

#include "forward/backend.h"
#include "util/rng.h"

/* The attempt for which a server is chosen. */
typedef struct {
    bbl_usec service_time;  /* usual time of an attempt on the route */
    bbl_usec stall_timeout; /* silence after which a server has stalled */
    const bbl_backend *const *tried; /* servers not to be chosen again */
    size_t tried_count;
    bool hedge;      /* for a hedge, stalled servers are excluded */
    bbl_usec target; /* latency target of the answer */
    /* Prefers a server that is rated as bad, if another one is not: so its
     * recovery is noticed. */
    bool probe;
    /* The version that its servers must have while a rollout divides the
     * requests, else BBLX_VERSION_UNKNOWN. */
    bblx_server_version version;
} bbl_placement_input;

/* How the driver could send to a server now. */
typedef enum {
    BBL_ROOM_NONE,    /* all connections are in use */
    BBL_ROOM_CONNECT, /* a connection must be opened first */
    BBL_ROOM_READY    /* a connection is open and free */
} bbl_room;

typedef bbl_room (*bbl_placement_room_cb)(void *ctx,
                                          const bbl_backend *backend,
                                          bbl_usec now);

/* The servers that were not tried yet, and may get work. */
typedef struct {
    size_t usable;  /* with or without capacity */
    size_t limited; /* of these, without a permit that they need */
    /* Whether another server would be chosen without the ratings by which
     * hosts tell each other of bad servers. */
    bool moved;
} bbl_placement_counts;

/*
 * Returns the server to use, or NULL.
 *
 * @param backends servers of the service
 */
bbl_backend *bbl_placement_choose(const bbl_placement_input *in,
                                  bbl_backend *const *backends, size_t count,
                                  bbl_usec now, bbl_placement_room_cb room,
                                  void *room_ctx, bbl_rng *rng,
                                  bbl_placement_counts *counts);

/*
 * Returns whether some servers of a pool are rated as bad by the hosts and
 * others, which may get work, are not.
 */
bool bbl_placement_has_choice_of_health(bbl_backend *const *backends,
                                        size_t count, bbl_usec now);

/* Returns whether a server may get this attempt, apart from its capacity. */
bool bbl_placement_is_eligible(const bbl_placement_input *in,
                               const bbl_backend *backend, bbl_usec now);

#endif
