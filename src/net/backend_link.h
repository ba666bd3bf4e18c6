/*
 * backend_link.h - connections to backend servers, and HTTP exchanges on them.
 *
 * A link is the pool of connections from this host to one backend server. A
 * client holds the links that one event loop serves. A connection carries one
 * exchange at a time; it is closed if the server sends bytes that belong to no
 * request. It never carries two requests with the same ID, so that a late copy
 * of a response cannot be taken for the response to a retry.
 *
 * A server whose responses do not end gets a lower limit for responses of
 * unknown length. The limit is whole again once the server completes a
 * response, and rises with time. It always admits a response of usual size.
 *
 * If a client has several links, one of them holds at most half of the memory
 * of the account, or one response of the maximum size if that is more. Beyond
 * it, its largest responses are ended, and it has no room for requests.
 *
 * All functions must be called from the thread of the loop.
 */
#ifndef BBL_BACKEND_LINK_H
#define BBL_BACKEND_LINK_H

#include "net/http_message.h"
#include "net/loop.h"
#include "net/memory_account.h"

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
    bbl_usec sent_at; /* when sending began; 0 if nothing was sent */
    /* The response, valid during the callback; NULL for a failure. */
    const bbl_http_message *message;
    /* This host has ended the exchange to save memory: the failure says
     * nothing about the server. */
    bool ended_by_host;
} bbl_link_exchange_result;

typedef void (*bbl_link_exchange_done)(void *ctx,
                                       const bbl_link_exchange_result *result);

/* A request to send. bbl_link_exchange_start copies the strings. */
typedef struct {
    /* Request line and header fields, without the empty line. */
    bbl_str head;
    bbl_str extra_fields; /* further header fields; may be empty */
    bbl_str body;
    /* Responses with a different request ID are dropped, and so are those
     * with any ID if this is empty. */
    bbl_str request_id;
    /* Maximum idle time of a connection to reuse; 0: no limit. */
    bbl_usec max_idle;
    bool no_body; /* the request is a HEAD, so the response has no body */
    bbl_link_exchange_done done;
    void *ctx; /* passed to `done` */
} bbl_link_exchange_request;

typedef struct {
    uint64_t connects; /* connections started, including those that failed */
    uint64_t connect_failures;
    uint64_t exchanges; /* exchanges started */
    uint64_t broken;    /* exchanges that ended with BBL_LINK_BROKEN */
    uint64_t oversized; /* responses that were too long or without an end */
    uint64_t stray;     /* responses or bytes that belonged to no request */
    uint64_t abandoned; /* calls of bbl_link_exchange_abandon */
} bbl_backend_counters;

/* What was ended or held back at one server to save memory. */
typedef struct {
    bbl_memory_cause cause;
    unsigned count; /* since the report before */
    size_t held;    /* bytes that exchanges with the server hold now */
} bbl_link_memory_report;

typedef struct {
    /* Parses the request ID from the header fields of a response. */
    const bbl_dialect *dialect;
    bbl_usec connect_timeout;
    /* A connection is closed if sent data stays unacknowledged for this long
     * (TCP_USER_TIMEOUT). */
    bbl_usec tcp_user_timeout;
    size_t response_max; /* maximum bytes in a response body */
    /* Charged for requests and responses, and borrowed; its limit is at least
     * `response_max`. NULL: the client has one with the limit `buffered_max`.
     */
    bbl_memory_account *account;
    size_t buffered_max;
    /* Selects the link that is preconnected first. Hosts use different values
     * so that they connect to the backend servers in different orders. */
    size_t seed;
    /*
     * Called after an attempt to connect, unless the server is full, the link
     * has been released or the connection has been closed meanwhile, also to
     * save memory.
     *
     * `link_ctx` is the value given to bbl_backend_link_new, `ok` whether the
     * attempt succeeded, `duration` the time that it took.
     */
    void (*on_connect)(void *ctx, void *link_ctx, bool ok, bbl_usec duration);
    /*
     * Called by a tick for each cause for which something was ended or held
     * back to save memory, at most every 5 s for one link. Not called for
     * released links. May be NULL.
     */
    void (*on_memory_report)(void *ctx, void *link_ctx,
                             const bbl_link_memory_report *report);
    void *ctx; /* passed to both */
} bbl_backend_client_options;

/* Creates a client without links; returns 0 or BBL_EINVAL. */
int bbl_backend_client_open(bbl_backend_client **out, bbl_loop *loop,
                            const bbl_backend_client_options *options);

/*
 * Closes all connections and frees the client and its links. Exchanges in
 * progress end without a call of `done`. NULL is allowed.
 */
void bbl_backend_client_free(bbl_backend_client *client);

/*
 * Enforces the connect and idle timeouts, reports connections that could not
 * be started, preconnects links and frees released ones. Call it periodically.
 */
void bbl_backend_client_tick(bbl_backend_client *client, bbl_usec now);

/*
 * Pauses or resumes opening connections that are kept open while idle, for
 * servers that are under load. Connections that check whether a server can be
 * reached are still opened.
 */
void bbl_backend_client_pause_preconnect(bbl_backend_client *client,
                                         bool paused);

/* Returns the bytes allocated for all requests and responses. */
size_t bbl_backend_client_get_buffered(const bbl_backend_client *client);

const bbl_backend_counters *
bbl_backend_client_get_counters(const bbl_backend_client *client);

/*
 * Creates a link without connections. At most one connection may be open
 * until bbl_backend_link_set_limit is called.
 *
 * @param link_ctx passed to `on_connect`; may be NULL
 */
bbl_backend_link *bbl_backend_link_new(bbl_backend_client *client,
                                       bblx_address address, void *link_ctx);

/*
 * Closes the connections without an exchange. Running exchanges continue and
 * call `done`; a tick after the last of them frees the link. `on_connect` is
 * not called any more. NULL is allowed.
 */
void bbl_backend_link_release(bbl_backend_link *link);

/*
 * Sets the maximum number of open connections.
 *
 * @param keep_open whether one connection stays open while idle, so that this
 *                  host notices when the server stops
 */
void bbl_backend_link_set_limit(bbl_backend_link *link,
                                unsigned max_connections, bool keep_open);

/* Returns whether an exchange can start now. */
bool bbl_backend_link_has_room(const bbl_backend_link *link);

/* Returns whether an exchange can start on an idle connection. */
bool bbl_backend_link_has_idle(bbl_backend_link *link, bbl_usec now);

/*
 * Opens a connection before a request needs it; `on_connect` reports the
 * result. If the limit of connections is reached, a tick does so once none is
 * open. Does nothing for 300 ms (1 s if the server was full) after a
 * preconnect or failed connect.
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

/* Returns whether any byte of the request of an exchange was sent. */
bool bbl_link_exchange_is_sent(const bbl_link_exchange *exchange);

/*
 * Ends an exchange without calling `done`. Closes its connection, so that the
 * server stops processing the request.
 */
void bbl_link_exchange_abandon(bbl_link_exchange *exchange);

#endif
