/*
 * edge.h - the HTTP/1.1 side towards callers, balancers and operators, on
 * one loop: kept connections, pipelined requests, limits, and callers that
 * leave before their answer. One request at a time is handled on a
 * connection; what follows it waits.
 */
#ifndef BBL_EDGE_H
#define BBL_EDGE_H

#include "bbl/routing.h"
#include "net/http_message.h"
#include "net/loop.h"

typedef struct bbl_edge bbl_edge;
typedef struct bbl_edge_call bbl_edge_call;

/* One complete request. All strings are valid until it is answered. */
struct bbl_edge_call {
    const bbl_http_message *message;
    bbl_str method;
    bbl_str target; /* path and query */
    bbl_str path;
    bbl_str hostname;         /* without the port */
    bbl_usec received_at;     /* when its last byte was read */
    bool first_on_connection; /* of its connection */
};

typedef struct {
    unsigned status;
    bbl_str fields; /* complete header lines */
    bbl_str body;
    bool close;
} bbl_edge_response;

typedef struct {
    /* Takes a request; bbl_edge_respond must follow, now or later. */
    void (*on_request)(void *ctx, bbl_edge_call *call);
    /* The caller has gone; the call is freed after this. NULL where every
     * call is answered at once. */
    void (*on_disconnect)(void *ctx, bbl_edge_call *call);
    void *ctx;
} bbl_edge_handler;

typedef struct {
    uint64_t accepted;
    uint64_t requests;
    uint64_t refused;      /* requests that were malformed or over a limit */
    uint64_t disconnected; /* callers that went before their answer */
} bbl_edge_counters;

int bbl_edge_open(bbl_edge **out, bbl_loop *loop, bblx_address address,
                  const bbl_edge_handler *handler);

/* Closes all connections at once; calls under way get no answer. */
void bbl_edge_free(bbl_edge *edge);

void bbl_edge_set_limits(bbl_edge *edge, const bbl_caller_limits *limits);

/* Answers a call and frees it. */
void bbl_edge_respond(bbl_edge_call *call, const bbl_edge_response *reply);

/* Answers with a short text. */
void bbl_edge_respond_text(bbl_edge_call *call, unsigned status,
                           const char *fields, const char *text);

/* From now on each answer asks the caller to close its connection. */
void bbl_edge_drain(bbl_edge *edge);

/* Takes no connection any more; those that are open go on. */
void bbl_edge_stop_listening(bbl_edge *edge);

/* Closes the connections that carry no request. */
void bbl_edge_close_idle(bbl_edge *edge, bbl_usec idle_for, bbl_usec now);

/* Enforces the limits in time; call every 100 ms or so. */
void bbl_edge_tick(bbl_edge *edge, bbl_usec now);

/* Returns the open connections, and the calls not answered yet. */
size_t bbl_edge_connection_count(const bbl_edge *edge);
size_t bbl_edge_open_call_count(const bbl_edge *edge);
const bbl_edge_counters *bbl_edge_get_counters(const bbl_edge *edge);

#endif
