/*
 * http_client.h - asynchronous HTTP/1.1 requests on an event loop, through
 * libcurl. Connections are pooled and reused.
 *
 * All functions must be called from the thread of the loop.
 */
#ifndef BBL_HTTP_CLIENT_H
#define BBL_HTTP_CLIENT_H

#include "net/address.h"
#include "net/loop.h"
#include "util/buf.h"

#define BBL_HTTP_HEADERS_MAX 4

/* How a request ended, apart from the HTTP status. */
typedef enum {
    BBL_HTTP_DONE,      /* a complete response was received */
    BBL_HTTP_UNSENT,    /* it failed before a byte was sent */
    BBL_HTTP_TIMED_OUT, /* sent, but no complete response in time */
    BBL_HTTP_BROKEN,    /* the connection failed after it was sent */
    BBL_HTTP_TRUNCATED, /* the response is incomplete or too large */
    BBL_HTTP_ABORTED    /* ended by bbl_http_request_abort */
} bbl_http_end;

typedef struct {
    bbl_http_end end;
    long status;
    bbl_str body;
    uint64_t boot;          /* X-Boot header, hexadecimal; 0: absent */
    uint64_t index_version; /* X-Index-Version header; 0: absent */
    char reason[32];        /* X-Reason header; empty: absent */
    uint64_t retry_after_s; /* Retry-After header; 0: absent */
    bool reused;            /* the connection had been used before */
} bbl_http_response;

/* Called once when a request has ended; `response` is valid in the call. */
typedef void (*bbl_http_done)(void *ctx, const bbl_http_response *response);

typedef struct {
    const char *url; /* copied */
    bool post;
    bbl_str body;          /* copied */
    bbl_usec timeout;      /* until the complete response */
    size_t response_max;   /* maximum bytes in the response body */
    bool fresh_connection; /* open a new connection for this request */
    bool close_connection; /* do not keep the connection after this request */
    /* The value that a response must have if it has a field X-Exchange; a
     * response to another request fails this one and ends the connection. 0:
     * no check. */
    uint64_t exchange;
    bbl_http_done done;
    void *ctx;
} bbl_http_request;

typedef struct bbl_http_client bbl_http_client;

/*
 * Creates a client.
 *
 * @param out      set to the client, to be freed with bbl_http_client_free;
 *                 NULL on failure
 * @param local_ip IPv4 address that connections are bound to; 0: any
 * @return 0, or BBL_ENET if libcurl cannot be initialised
 */
int bbl_http_client_open(bbl_http_client **out, bbl_loop *loop,
                         uint32_t local_ip);

/*
 * Frees the client; NULL is allowed. Requests in progress end without a call
 * of `done`.
 */
void bbl_http_client_free(bbl_http_client *http);

/*
 * Starts a request. `done` is called once, unless the client is freed before.
 *
 * @param out set to a handle for bbl_http_request_abort, valid until `done` is
 *            called; NULL on failure
 * @return 0 or BBL_ENET
 */
int bbl_http_request_start(void **out, bbl_http_client *http,
                           const bbl_http_request *request);

/* Aborts a request; `done` is called with BBL_HTTP_ABORTED, no later than by
 * the next tick. */
void bbl_http_request_abort(bbl_http_client *http, void *handle);

/* Ends requests that timed out or were aborted; call it about every 1 ms. */
void bbl_http_client_tick(bbl_http_client *http);

/*
 * Ends the connections to an address that are kept open without a request; the
 * peer learns of it at once. Requests in progress are not affected.
 */
void bbl_http_client_close_idle(bbl_http_client *http, bblx_address address);

/* Returns the number of connections opened so far. */
uint64_t bbl_http_client_connect_count(const bbl_http_client *http);

#endif
