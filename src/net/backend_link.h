/*
 * backend_link.h - the connections of this host to one backend server, and
 * the exchanges on them. One request at a time runs on a connection; bytes
 * that belong to no request end their connection.
 */
#ifndef BBL_BACKEND_LINK_H
#define BBL_BACKEND_LINK_H

#include "net/http_message.h"
#include "net/loop.h"

typedef struct bbl_backend_client bbl_backend_client;
typedef struct bbl_backend_link bbl_backend_link;
typedef struct bbl_link_exchange bbl_link_exchange;

/* How an exchange ended. */
typedef enum {
    BBL_LINK_RESPONSE,    /* a whole response */
    BBL_LINK_UNSENT,      /* no connection; nothing was sent */
    BBL_LINK_SERVER_FULL, /* the server takes no more connections;
                                 nothing was sent */
    BBL_LINK_BROKEN       /* sent, and no whole response came */
} bbl_link_exchange_end;

typedef struct {
    bbl_link_exchange_end end;
    const char *reason;              /* static; of an end without a response */
    const bbl_http_message *message; /* of a response, borrowed */
} bbl_link_exchange_result;

typedef void (*bbl_link_exchange_done)(void *ctx,
                                       const bbl_link_exchange_result *result);

/* A request to send; all strings are borrowed for the call. */
typedef struct {
    bbl_str head;   /* request line and fields, without the empty line */
    bbl_str fields; /* further fields of this attempt */
    bbl_str body;
    bbl_str request_id; /* a response to another request is skipped */
    bbl_usec max_idle;  /* a kept connection must have been used so lately;
                               0: any */
    bool no_body;       /* the response to HEAD */
    bbl_link_exchange_done done;
    void *ctx;
} bbl_link_exchange_request;

typedef struct {
    uint64_t connects;
    uint64_t connect_failures;
    uint64_t exchanges;
    uint64_t broken;
    uint64_t stray; /* responses or bytes that belonged to no request */
    uint64_t abandoned;
} bbl_backend_counters;

typedef struct {

    /* Reads the id that a response echoes. */
    const bbl_dialect *dialect;
    bbl_usec connect_timeout;
    bbl_usec silence_timeout; /* for data that is not acknowledged */
    size_t response_max;      /* bytes of a body */
    size_t seed; /* differs between hosts: they connect in other orders */
    /* A connection was opened, or could not be, within `took`. */
    void (*on_connect)(void *ctx, void *owner, bool ok, bbl_usec took);
    void *ctx;
} bbl_backend_client_options;

int bbl_backend_client_open(bbl_backend_client **out, bbl_loop *loop,
                            const bbl_backend_client_options *options);
void bbl_backend_client_free(bbl_backend_client *client);

/* Ends connections that could not be opened in time or idle too long. */
void bbl_backend_client_tick(bbl_backend_client *client, bbl_usec now);

const bbl_backend_counters *
bbl_backend_client_get_counters(const bbl_backend_client *client);

/*
 * Makes the link to an address.
 *
 * @param owner passed to `opened`
 */
bbl_backend_link *bbl_backend_link_new(bbl_backend_client *client,
                                       bblx_address address, void *owner);

/*
 * Closes the idle connections; exchanges under way end first, without a
 * word to anybody, and then the link is freed.
 */
void bbl_backend_link_free(bbl_backend_link *link);

/*
 * Sets how many connections may be open at once, and whether one stays open
 * without need, so that the end of the server is noticed.
 */
void bbl_backend_link_set_limit(bbl_backend_link *link, unsigned limit,
                                bool keep);

/* Returns whether an exchange could start now. */
bool bbl_backend_link_has_room(const bbl_backend_link *link);

/* Returns whether it could on a connection that is open already. */
bool bbl_backend_link_has_idle(bbl_backend_link *link, bbl_usec now);

/*
 * Opens a connection ahead of need; `opened` tells the outcome. Does nothing
 * within 300 ms of the last time.
 */
void bbl_backend_link_preconnect(bbl_backend_link *link, bbl_usec now);

/* Closes the idle connections, which are no longer trusted. */
void bbl_backend_link_close_idle(bbl_backend_link *link);

/*
 * Starts an exchange; `done` is called exactly once, never from within this
 * call, unless the exchange is abandoned.
 *
 * @return 0, or BBL_EFULL when all connections are in use
 */
int bbl_link_exchange_start(bbl_link_exchange **out, bbl_backend_link *link,
                            bbl_usec now,
                            const bbl_link_exchange_request *request);

/* Ends an exchange by closing its connection, so that the work stops. */
void bbl_link_exchange_abandon(bbl_link_exchange *exchange);

#endif
