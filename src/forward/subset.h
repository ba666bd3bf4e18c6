/*
 * subset.h - which servers of a service an entry host connects to, where
 * there are more hosts than one server takes connections.
 *
 * Load pattern: many entry hosts, each with few requests a second, and
 * servers with a limit of connections. Each host keeps a connection to one
 * server only, in its own data centre first, and to none where the servers
 * left take fewer connections than there are hosts. It opens one to any
 * other server when that is to get a request, and closes it soon after: a
 * host must reach the sound server of a service when all others refuse work.
 */
#ifndef BBL_SUBSET_H
#define BBL_SUBSET_H

#include "forward/backend.h"

typedef struct {
    uint64_t host;                 /* names the entry host */
    double connections_per_server; /* connections that it may hold to one
                                      server */
} bbl_subset_input;

/*
 * Returns how many connections the host may hold to servers[index].
 *
 * @param keep set to whether one of them should stay open without need
 */
unsigned bbl_subset_get_connection_limit(bool *keep,
                                         const bbl_subset_input *in,
                                         bbl_backend *const *servers,
                                         size_t count, size_t index,
                                         bbl_usec now);

#endif
