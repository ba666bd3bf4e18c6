/*
 * subset.h - which servers of a service an entry host connects to, where
 * there are more hosts than one server takes connections.
 *
 * Load pattern: many entry hosts, each with few requests a second, and
 * servers with a limit of connections. Each host keeps to a part of the
 * servers, in its own data centre first, so that no server gets more hosts
 * than it takes; a host whose servers are out of use takes others.
 */
#ifndef BBL_SUBSET_H
#define BBL_SUBSET_H

#include "forward/backend.h"

typedef struct {
    uint64_t host; /* names the entry host */
    double share;  /* connections that it may hold to one server */
} bbl_subset_input;

/*
 * Returns how many connections the host may hold to servers[index]; 0: it
 * leaves that one to others.
 *
 * @param keep set to whether one of them should stay open without need;
 *             where connections are few only one server's does, so that a
 *             server has room for all hosts again after they lost theirs
 */
unsigned bbl_subset_connections(bool *keep, const bbl_subset_input *in,
                                bbl_backend *const *servers, size_t count,
                                size_t index, bbl_usec now);

#endif
