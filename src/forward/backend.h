/*
 * backend.h - what an entry host knows of one backend server: whether it may
 * get work, how many attempts are in flight at it, and how it has responded
 * lately.
 */
#ifndef BBL_FORWARD_BACKEND_H
#define BBL_FORWARD_BACKEND_H

#include "bbl/types.h"
#include "control/rows.h"
#include "forward/backoff.h"
#include "forward/rate_limit.h"
#include "forward/server_health.h"
#include "model/codec.h"

/* Whether a server may get work, and if not, why. */
typedef enum {
    BBL_BACKEND_USABLE,
    BBL_BACKEND_GONE,      /* no longer listed */
    BBL_BACKEND_LEAVING,   /* listed as leaving, or it has said so */
    BBL_BACKEND_EVACUATED, /* its data centre is evacuated */
    BBL_BACKEND_COLD,      /* in its cold start */
    BBL_BACKEND_DOWN,      /* no connection to it can be opened */
    BBL_BACKEND_UNSURE,    /* reconnected; it may have restarted cold */
    BBL_BACKEND_REPLACED,  /* another incarnation uses its address */
    BBL_BACKEND_BACKOFF,   /* it has asked for a time without requests */
    BBL_BACKEND_WITHHELD   /* a rollout gives it no request of this host */
} bbl_backend_state;

typedef struct bbl_backend {
    bblx_backend listed; /* owned; the entry in the platform's list */
    uint64_t key;        /* see bbl_backend_get_key() */
    bbl_usec cold_until;
    bool evacuated;
    bbl_usec added_at; /* when this host first knew it */
    /* What a rollout of its service makes of it, see rollout_view.h. */
    bblx_server_version version;
    bool withheld;
    bool unproven;    /* see bbl_rollout_view_set_unproven */
    bool needs_lease; /* it gets requests until lease_until only */
    bbl_usec lease_until;
    uint64_t predates_order; /* the last order that it predates; 0: none */
    bool same_zone; /* whether it is in the data centre of this host */
    /*
     * Another incarnation answered at its address. Reset once a later list
     * still names this server.
     */
    bool replaced;
    bbl_usec replaced_at;
    /* The last connection could not be opened, or the server is silent. */
    bool down;
    /* Down only because no response came; a new connection is being opened. */
    bool silent;
    /* A connection was refused since the last one was opened. */
    bool connect_refused;
    bbl_usec connected_at; /* when the last connection was opened */
    /* When the server became BBL_BACKEND_UNSURE; 0 if it is not. */
    bbl_usec unsure_at;

    unsigned in_flight;      /* attempts of this host, including hedges */
    bbl_usec oldest_sent_at; /* when the oldest of them was sent */
    bbl_usec answered_at;    /* when the last response of any kind came */
    bbl_usec full_until;     /* avoided until then; it has refused work */
    /* Mean time to open a connection, microseconds; 0 if unknown. */
    bbl_usec connect_time;
    /* Service time divided by that of the route; 1 is usual, 0 is unrated. */
    double slowness;
    /* Share of failed requests, as a decaying mean. */
    double failure_rate;
    /* When slowness and failure_rate were last updated. */
    bbl_usec rated_at;

    bbl_backoff backoff;
    bbl_rate_limit limit;
    uint64_t limit_serial; /* of the last observation of another host */
    bbl_server_health health;

    void *link;     /* handle of the driver */
    void *attempts; /* bbl_attempt, the oldest one in flight */
} bbl_backend;

/* Returns whether a server is leaving, by the list or its own word. */
bool bbl_backend_is_leaving(const bbl_backend *backend);

/* Returns whether a server may get work, and if not, why. */
bbl_backend_state bbl_backend_get_state(const bbl_backend *backend,
                                        bbl_usec now);
const char *bbl_backend_state_name(bbl_backend_state state);

/*
 * Updates the ratings of a server with a response or a failure.
 *
 * @param slowness service time of the response divided by the mean of its
 *                 route; 0 if unknown
 */
void bbl_backend_record_result(bbl_backend *backend, bbl_usec now,
                               double slowness, bool failed);

/* Sets the ratings to those of a healthy server. */
void bbl_backend_forget_ratings(bbl_backend *backend);

/*
 * Return the ratings at `now`. Without new results they decay to those of a
 * healthy server.
 */
double bbl_backend_get_slowness(const bbl_backend *backend, bbl_usec now);
double bbl_backend_get_failure_rate(const bbl_backend *backend, bbl_usec now);

/*
 * Records that a connection was opened within `took` microseconds. A server
 * that could not be reached before may have restarted cold and becomes unsure.
 * The exception is a server that responded to this host shortly before and
 * refused no connection: its queue of connections was full, as happens when
 * all hosts connect at once.
 */
void bbl_backend_record_connect(bbl_backend *backend, bbl_usec now,
                                bbl_usec took);

/*
 * Records that a connection could not be opened within `took` microseconds. A
 * server that responded lately and refuses no connections has too many of them
 * and is avoided for a moment; any other server is down.
 */
void bbl_backend_record_connect_failure(bbl_backend *backend, bbl_usec now,
                                        bbl_usec took);

/* Returns whether a connect that failed after this time was refused. */
bool bbl_backend_is_refusal_time(bbl_usec took);

/* Returns the expected time to open a connection, microseconds. */
double bbl_backend_get_connect_time(const bbl_backend *backend);

/*
 * Returns whether the server has stalled: attempts are in flight, and no
 * response has come for `stall_timeout` microseconds.
 */
bool bbl_backend_is_stalled(const bbl_backend *backend, bbl_usec now,
                            bbl_usec stall_timeout);

/*
 * Applies the time at which the platform's list was read. A server that is
 * unsure becomes usable once a list was read more than `list_lag` after it was
 * reconnected.
 */
void bbl_backend_confirm(bbl_backend *backend, bbl_usec list_read_at,
                         bbl_usec list_lag);

#endif
