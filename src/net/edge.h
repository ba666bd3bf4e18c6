/*
 * edge.h - an HTTP/1.1 server on an event loop, for callers, load balancers
 * and operators. It supports persistent connections and pipelining, enforces
 * limits on sizes and times, and detects callers that disconnect before they
 * are answered.
 *
 * One request at a time is passed to the handler per connection; requests that
 * are pipelined behind it wait. All functions must be called from the thread
 * of the loop.
 */
#ifndef BBL_EDGE_H
#define BBL_EDGE_H

#include "bbl/routing.h"
#include "net/http_message.h"
#include "net/loop.h"
#include "net/memory_account.h"

typedef struct bbl_edge bbl_edge;
typedef struct bbl_edge_call bbl_edge_call;

/*
 * A complete request that awaits its response. It is valid, with its strings,
 * until bbl_edge_respond or `on_disconnect` is called.
 */
struct bbl_edge_call {
    const bbl_http_message *message;
    bbl_str method;
    bbl_str target; /* path and query string */
    bbl_str path;
    bbl_str hostname; /* value of the Host field without the port */
    /* Earliest time at which its last byte can have arrived. */
    bbl_usec received_at;
    bbl_usec round_trip;      /* to the caller; 0 if it is not known */
    bool first_on_connection; /* whether it is the first one */
    void *user_data;          /* for the handler; NULL at first */
};

typedef struct {
    unsigned status;
    bbl_str fields; /* header lines, each with its CRLF */
    bbl_str body;
    bool close; /* whether to close the connection afterwards */
} bbl_edge_response;

typedef struct {
    /* Handles a request, which bbl_edge_respond must answer, during this call
     * or later. */
    void (*on_request)(void *ctx, bbl_edge_call *call);
    /* Called if the caller has disconnected before it was answered; `call` is
     * invalid afterwards. May be NULL if all calls are answered at once. */
    void (*on_disconnect)(void *ctx, bbl_edge_call *call);
    void *ctx;
} bbl_edge_handler;

typedef struct {
    uint64_t accepted;     /* connections */
    uint64_t requests;     /* requests passed to the handler */
    uint64_t refused;      /* requests that were malformed or over a limit */
    uint64_t disconnected; /* callers that left before they were answered */
} bbl_edge_counters;

/*
 * Listens on an address. Default limits apply until bbl_edge_set_limits is
 * called.
 *
 * @param out     set to the new server, to be freed with bbl_edge_free; NULL
 *                on failure
 * @param handler copied
 * @return 0 or BBL_ENET
 */
int bbl_edge_open(bbl_edge **out, bbl_loop *loop, bblx_address address,
                  const bbl_edge_handler *handler);

/*
 * Stops listening, closes all connections and frees the server; NULL is
 * allowed. `on_disconnect` is called for each open call.
 */
void bbl_edge_free(bbl_edge *edge);

void bbl_edge_set_limits(bbl_edge *edge, const bbl_caller_limits *limits);

/*
 * Charges the buffers of all connections to an account, which is borrowed. An
 * incomplete request that is ended for it is refused with 503; a caller that
 * is slow to read its response loses the connection. A request that the
 * handler has is not ended.
 */
void bbl_edge_set_memory_account(bbl_edge *edge, bbl_memory_account *account);

/* Returns whether the caller still waits for the response to a call, as far as
 * the socket tells now. */
bool bbl_edge_call_is_awaited(const bbl_edge_call *call);

/* Sends the response to a call, which is invalid afterwards. */
void bbl_edge_respond(bbl_edge_call *call, const bbl_edge_response *response);

/* Same as bbl_edge_respond without `close`; strings are NUL-terminated. */
void bbl_edge_respond_text(bbl_edge_call *call, unsigned status,
                           const char *fields, const char *text);

/* Makes each further response close its connection. */
void bbl_edge_drain(bbl_edge *edge);

/* Closes the listening socket; open connections continue. */
void bbl_edge_stop_listening(bbl_edge *edge);

/* Closes connections that have carried no request for `idle_for`. */
void bbl_edge_close_idle(bbl_edge *edge, bbl_usec idle_for, bbl_usec now);

/* Enforces the time limits; call it about every 100 ms. */
void bbl_edge_tick(bbl_edge *edge, bbl_usec now);

/* Returns the number of open connections. */
size_t bbl_edge_connection_count(const bbl_edge *edge);

/* Returns the number of calls that are not answered yet. */
size_t bbl_edge_open_call_count(const bbl_edge *edge);

const bbl_edge_counters *bbl_edge_get_counters(const bbl_edge *edge);

#endif
