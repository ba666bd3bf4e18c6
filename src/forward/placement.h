/*
 * placement.h - the choice of the backend server for one attempt.
 *
 * Load pattern: servers of a service differ, pause for a moment, turn slow
 * for seconds or fail a part of their requests, while the others have room.
 * The server with the least expected time is chosen, in the data centre of
 * the caller's host unless another one wins a part of the target: bytes
 * between data centres are paid for. Hosts with few requests a
 * second keep one connection a service, so the time in which another server
 * opens one counts too.
 */
#ifndef BBL_PLACEMENT_H
#define BBL_PLACEMENT_H

#include "forward/backend.h"
#include "util/rng.h"

/* What the choice is for. */
typedef struct {
    bbl_usec service_time;  /* mean of the route */
    bbl_usec stall_timeout; /* silence after which a server seems to stall */
    const bbl_backend *const *tried; /* not to be chosen again */
    size_t tried_count;
    bool hedge;      /* a hedge: a server that stalls is no help */
    bbl_usec target; /* of the answer, for a first attempt; else 0 */
} bbl_placement_input;

/* How the driver could send to a server now. */
typedef enum {
    BBL_ROOM_NONE,    /* all connections are in use */
    BBL_ROOM_CONNECT, /* on a connection that is opened first */
    BBL_ROOM_READY    /* on an open one */
} bbl_room;

typedef bbl_room (*bbl_placement_room_cb)(void *ctx,
                                          const bbl_backend *backend,
                                          bbl_usec now);

/*
 * Returns the server to use, or NULL.
 *
 * @param backends of the service
 * @param usable   set to how many may get work, those without room included
 */
bbl_backend *bbl_placement_choose(const bbl_placement_input *in,
                                  bbl_backend *const *backends, size_t count,
                                  bbl_usec now, bbl_placement_room_cb room,
                                  void *room_ctx, bbl_rng *rng,
                                  size_t *usable);

#endif
