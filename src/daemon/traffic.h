/*
 * traffic.h - the traffic thread of a daemon. It runs the gather core for the
 * queries that callers send to this host and the dispatch core for the
 * searchers that this host owns, and transports the messages of both cores.
 */
#ifndef BBL_TRAFFIC_H
#define BBL_TRAFFIC_H

#include "daemon/options.h"
#include "daemon/shared.h"
#include "net/query_json.h"

/*
 * The state of one query, attached to its HTTP call. The HTTP server's thread
 * creates and frees it; the traffic thread fills in the answer.
 */
typedef struct {
    bbl_query_request request;
    bbl_usec arrived_at; /* monotonic time; the deadline counts from it */
    bbl_answer_copy answer_copy; /* valid if `answered` is set */
    bool answered;
} bbl_query_context;

/* Frees a bbl_query_context; the `user_data_free` function of its call. */
void bbl_query_context_free(void *user);

typedef struct bbl_traffic bbl_traffic;

/*
 * Creates the cores and opens the sockets; starts no thread.
 *
 * @param options     its strings stay borrowed until bbl_traffic_free
 * @param incarnation number of this start of the host; it grows per start
 * @param shared      borrowed until bbl_traffic_free
 * @param loop        the loop of the traffic thread, borrowed likewise
 * @return 0, or a negative error number; `*out` is then NULL
 */
int bbl_traffic_open(bbl_traffic **out, const bbl_daemon_options *options,
                     uint64_t incarnation, bbl_shared *shared, bbl_loop *loop);

/* Closes the sockets and frees the cores; `traffic` may be NULL. */
void bbl_traffic_free(bbl_traffic *traffic);

/* Runs the traffic thread until a BBL_MESSAGE_STOP arrives. */
void bbl_traffic_run(bbl_traffic *traffic);

#endif
