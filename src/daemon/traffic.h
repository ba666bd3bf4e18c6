/*
 * traffic.h - the traffic thread of a daemon: it drives the gather core for
 * the queries taken in here and the dispatch core for the searchers owned
 * here, and carries their messages.
 */
#ifndef BBL_TRAFFIC_H
#define BBL_TRAFFIC_H

#include "daemon/options.h"
#include "daemon/shared.h"
#include "net/query_json.h"

/* What a query call carries between the threads. */
typedef struct {
    bbl_query_request request;
    bbl_usec arrived_at;
    bbl_answer_copy answer_copy;
    bool answered;
} bbl_query_context;

/* Frees a bbl_query_context; for bbl_http_call.user_free. */
void bbl_query_context_free(void *user);

typedef struct bbl_traffic bbl_traffic;

/* Opens the sockets; nothing runs yet. */
int bbl_traffic_open(bbl_traffic **out, const bbl_daemon_options *options,
                     uint64_t incarnation, bbl_shared *shared, bbl_loop *loop);
void bbl_traffic_free(bbl_traffic *traffic);

/* Runs until a BBL_MESSAGE_STOP; the body of the thread. */
void bbl_traffic_run(bbl_traffic *traffic);

#endif
