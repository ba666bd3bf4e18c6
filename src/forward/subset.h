/*
 * subset.h - chooses the servers of a service to which an entry host keeps
 * connections, if there are more hosts than one server accepts connections
 * from.
 *
 * Load pattern: many entry hosts, each with few requests per second, and
 * servers with a limit of connections. Each host keeps a connection to one
 * server only, preferably in its own data centre, and to none if the remaining
 * servers accept fewer connections than there are hosts. It opens a connection
 * to any other server when that server is to get a request, and closes it soon
 * afterwards: a host must be able to reach the healthy server of a service
 * when all others refuse work.
 */
#ifndef BBL_SUBSET_H
#define BBL_SUBSET_H

#include "forward/backend.h"

typedef struct {
    uint64_t host; /* seed of the entry host */
    /* Connections that the host may hold to one server. */
    double connections_per_server;
} bbl_subset_input;

/*
 * Returns how many connections the host may hold to servers[index].
 *
 * @param keep set to whether one of them should stay open while it is idle
 */
unsigned bbl_subset_get_connection_limit(bool *keep,
                                         const bbl_subset_input *in,
                                         bbl_backend *const *servers,
                                         size_t count, size_t index,
                                         bbl_usec now);

#endif
