/*
 * backend_link.h - connections to backend servers, and HTTP exchanges on them.
 *
 * A client holds the links of one event loop. A link is the set of connections
 * of this host to one backend server. A connection carries one exchange at a
 * time; it is closed if the server sends bytes that belong to no request.
 *
 * All functions must be called from the thread of the loop.
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
    BBL_LINK_RESPONSE,    /* a complete response was received */
    BBL_LINK_UNSENT,      /* the connection failed before anything was sent */
    BBL_LINK_SERVER_FULL, /* the server accepts no more connections; nothing
                             was sent */
    BBL_LINK_BROKEN       /* sent at least in part, no complete response */
} bbl_link_exchange_outcome;

typedef struct {
    bbl_link_exchange_outcome exchange_outcome;
    /* Description of a failure, a static string; NULL for a response. */
    const char *reason;
    /* The response, valid during the callback; NULL for a failure. */
    const bbl_http_message *message;
} bbl_link_exchange_result;

typedef void (*bbl_link_exchange_done)(void *ctx,
                                       const bbl_link_exchange_result *result);

/* A request to send. bbl_link_exchange_start copies the strings. */
typedef struct {
    bbl_str head;         /* request line and header fields, no empty line */
    bbl_str extra_fields; /* header fields to send after `head` */
    bbl_str body;
    /* Responses with a different request ID are skipped; empty: none is. */
    bbl_str request_id;
    /* Maximum idle time of a connection to reuse; 0: no limit. */
    bbl_usec max_idle;
    bool no_body; /* the response has no body, as the request is a HEAD */
    bbl_link_exchange_done done;
    void *ctx;
} bbl_link_exchange_request;

typedef struct {
    uint64_t connects; /* connections started, including those that failed */
    uint64_t connect_failures;
    uint64_t exchanges; /* exchanges started */
    uint64_t broken;    /* exchanges that ended with BBL_LINK_BROKEN */
    uint64_t stray;     /* responses or bytes that belonged to no request */
    uint64_t abandoned; /* calls of bbl_link_exchange_abandon */
} bbl_backend_counters;

typedef struct {
    /* Reads the request ID that a response echoes. */
    const bbl_dialect *dialect;
    bbl_usec connect_timeout;
    /* Time after which unacknowledged data ends a connection. */
    bbl_usec tcp_user_timeout;
    size_t response_max; /* maximum bytes in a response body */
    /* Selects the link that is preconnected first. Hosts use different values
     * so that they connect to the backend servers in different orders. */
    size_t seed;
    /* Called after each attempt to connect, except where the server is full.
     * `owner` is that of the link, `duration` the time of the attempt. */
    void (*on_connect)(void *ctx, void *owner, bool ok, bbl_usec duration);
    void *ctx;
} bbl_backend_client_options;

/* Creates a client without links; returns 0. */
int bbl_backend_client_open(bbl_backend_client **out, bbl_loop *loop,
                            const bbl_backend_client_options *options);

/*
 * Closes all connections and frees the client and its links; NULL is allowed.
 * Exchanges in progress end without a call of `done`.
 */
void bbl_backend_client_free(bbl_backend_client *client);

/*
 * Enforces the connect and idle timeouts, preconnects links and frees those
 * that were released. Call it periodically.
 */
void bbl_backend_client_tick(bbl_backend_client *client, bbl_usec now);

const bbl_backend_counters *
bbl_backend_client_get_counters(const bbl_backend_client *client);

/*
 * Creates a link without connections. At most one connection may be open
 * until bbl_backend_link_set_limit is called.
 *
 * @param owner passed to `on_connect`
 */
bbl_backend_link *bbl_backend_link_new(bbl_backend_client *client,
                                       bblx_address address, void *owner);

/*
 * Closes the idle connections and frees the link as soon as its exchanges have
 * ended, which still call `done`. `on_connect` is not called any more. NULL is
 * allowed.
 */
void bbl_backend_link_release(bbl_backend_link *link);

/*
 * Sets the maximum number of open connections.
 *
 * @param keep_open whether one connection stays open without need, so that
 *                  the host notices when the server stops
 */
void bbl_backend_link_set_limit(bbl_backend_link *link,
                                unsigned max_connections, bool keep_open);

/* Returns whether an exchange can start now. */
bool bbl_backend_link_has_room(const bbl_backend_link *link);

/* Returns whether an exchange can start on a connection that is open. */
bool bbl_backend_link_has_idle(bbl_backend_link *link, bbl_usec now);

/*
 * Opens a connection before a request needs it; `on_connect` reports the
 * result. Does nothing if the limit of connections is reached, or within
 * 300 ms of the previous call that opened one.
 */
void bbl_backend_link_preconnect(bbl_backend_link *link, bbl_usec now);

/* Closes the idle connections, for a server that may be unreachable. */
void bbl_backend_link_close_idle(bbl_backend_link *link);

/*
 * Starts an exchange. Calls `done` exactly once, after this function has
 * returned, unless the exchange is abandoned.
 *
 * @param out set to the exchange, valid until `done` is called; NULL on
 *            failure
 * @return 0, or BBL_EFULL if all connections are in use
 */
int bbl_link_exchange_start(bbl_link_exchange **out, bbl_backend_link *link,
                            bbl_usec now,
                            const bbl_link_exchange_request *request);

/*
 * Ends an exchange without calling `done`. Closes its connection, so that the
 * server stops the work on the request.
 */
void bbl_link_exchange_abandon(bbl_link_exchange *exchange);

#endif
