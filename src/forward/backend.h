/*
 * backend.h - what an entry host knows of one backend server: whether it may
 * be used, how busy this host keeps it, and how it has answered lately.
 */
#ifndef BBL_FORWARD_BACKEND_H
#define BBL_FORWARD_BACKEND_H

#include "bbl/types.h"
#include "model/codec.h"

/* Whether a server may get work. */
typedef enum {
    BBL_BACKEND_USABLE,
    BBL_BACKEND_GONE,      /* no longer listed */
    BBL_BACKEND_LEAVING,   /* listed as leaving */
    BBL_BACKEND_EVACUATED, /* its data centre is out of service */
    BBL_BACKEND_COLD,      /* in its cold start */
    BBL_BACKEND_DOWN,      /* it cannot be connected to */
    BBL_BACKEND_UNSURE,    /* connected again; it may be cold */
    BBL_BACKEND_REPLACED   /* another incarnation has its address */
} bbl_backend_state;

typedef struct bbl_backend {
    bblx_backend listed; /* owned; as the platform lists it */
    bbl_usec cold_until;
    bool evacuated;
    bool same_zone; /* as this host */
    bool replaced;  /* until the list says something new */
    bbl_usec replaced_at;
    bool down;   /* the last connection could not be opened */
    bool silent; /* down only since nothing comes back; a connection is being
                    tried */
    bool connect_refused;  /* a connection was refused since it was reached */
    bbl_usec connected_at; /* last connection that was opened */
    bbl_usec unsure_at;    /* connected again then; 0: sure */

    unsigned in_flight;      /* requests of this host, hedges included */
    bbl_usec oldest_sent_at; /* when the oldest of them was sent */
    bbl_usec answered_at;    /* last response of any kind */
    bbl_usec full_until;     /* it has just refused work */
    bbl_usec connect_time;   /* mean time to open a connection; 0: unknown */
    double slowness;     /* service time over that of its route; 1: usual */
    double failure_rate; /* share of requests that failed, recent first */
    bbl_usec rated_at;   /* when the two were last brought up to date */

    void *link;     /* of the driver */
    void *attempts; /* of the forwarder: the attempts under way */
} bbl_backend;

/* Returns whether and why not a server may get work. */
bbl_backend_state bbl_backend_get_state(const bbl_backend *backend,
                                        bbl_usec now);
const char *bbl_backend_state_name(bbl_backend_state state);

/*
 * Records a response or a failure.
 *
 * @param slowness its service time over the mean of its route; 0: unknown
 */
void bbl_backend_record_result(bbl_backend *backend, bbl_usec now,
                               double slowness, bool failed);

/* Returns the ratings, which fade to those of a sound server. */
double bbl_backend_get_slowness(const bbl_backend *backend, bbl_usec now);
double bbl_backend_get_failure_rate(const bbl_backend *backend, bbl_usec now);

/*
 * Records that a connection was opened within `took` microseconds. A server
 * that could not be reached before may have started again, cold, and stays
 * in doubt; not so one that answered this host a moment ago, and that left
 * a connection without an answer as when all hosts connect at once.
 */
void bbl_backend_record_connect(bbl_backend *backend, bbl_usec now,
                                bbl_usec took);

/*
 * Records that a connection could not be opened. One that answered a moment
 * ago and does not refuse connections has too many of them; others are down.
 */
void bbl_backend_record_connect_failure(bbl_backend *backend, bbl_usec now,
                                        bbl_usec took);

/* Returns the time to expect for opening a connection, microseconds. */
double bbl_backend_get_connect_time(const bbl_backend *backend);

/*
 * Returns whether the server seems to stand still: something was sent to it,
 * and nothing came back for `patience`.
 */
bool bbl_backend_is_stalled(const bbl_backend *backend, bbl_usec now,
                            bbl_usec patience);

/*
 * Takes over how old the platform's list is: a server that was connected to
 * again is sure once the list was read `lag` later.
 */
void bbl_backend_confirm(bbl_backend *backend, bbl_usec list_read,
                         bbl_usec lag);

#endif
