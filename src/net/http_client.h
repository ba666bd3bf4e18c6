/*
 * http_client.h - asynchronous HTTP requests on a loop, through libcurl.
 * Handles and connections are reused.
 */
#ifndef BBL_HTTP_CLIENT_H
#define BBL_HTTP_CLIENT_H

#include "net/loop.h"
#include "util/buf.h"

#define BBL_HTTP_HEADERS_MAX 4

/* How a request ended below HTTP. */
typedef enum {
    BBL_HTTP_DONE,      /* a whole response has come */
    BBL_HTTP_UNSENT,    /* no byte of the request has left */
    BBL_HTTP_TIMED_OUT, /* no whole response in time */
    BBL_HTTP_BROKEN,    /* the connection broke */
    BBL_HTTP_TRUNCATED, /* the response was cut short or is too large */
    BBL_HTTP_ABORTED    /* by bbl_http_request_abort */
} bbl_http_end;

typedef struct {
    bbl_http_end end;
    long status;
    bbl_str body;
    uint64_t boot;          /* X-Boot header, hexadecimal; 0: absent */
    uint64_t index_version; /* X-Index-Version header; 0: absent */
    char reason[32];        /* X-Reason header; empty: absent */
    bool reused; /* went over a connection that had been used before */
} bbl_http_response;

/* Called once at the end; `response` is valid in the call. */
typedef void (*bbl_http_done)(void *ctx, const bbl_http_response *response);

typedef struct {
    const char *url; /* copied */
    bool post;
    bbl_str body; /* copied */
    bbl_usec timeout;
    size_t response_max;   /* bytes */
    bool fresh_connection; /* do not use a pooled connection */
    bbl_http_done done;
    void *ctx;
} bbl_http_request;

typedef struct bbl_http_client bbl_http_client;

/*
 * @param local_ip address that connections start from, 0 for any
 */
int bbl_http_client_open(bbl_http_client **out, bbl_loop *loop,
                         uint32_t local_ip);

/* Frees the client; requests under way end without a call. */
void bbl_http_client_free(bbl_http_client *http);

/*
 * Starts a request.
 *
 * @param out handle for bbl_http_request_abort, valid until `done` is called
 */
int bbl_http_request_start(void **out, bbl_http_client *http,
                           const bbl_http_request *request);

/* Breaks a request off; `done` is called by the next tick. */
void bbl_http_request_abort(bbl_http_client *http, void *handle);

/* Lets timeouts pass; call each millisecond or so. */
void bbl_http_client_tick(bbl_http_client *http);

/* Returns the number of connections opened so far. */
uint64_t bbl_http_client_connect_count(const bbl_http_client *http);

#endif
