/*
 * receive_cost.h - separates the time that a server takes from the time that
 * this host takes to receive a response.
 *
 * Load pattern: the servers of many shards respond to a query at the same
 * time. The responses queue on the link of the host, and the host needs
 * processor time for each of them, so the last one is read long after its
 * server sent it. Counted as time of the server, that delay would make hedges
 * late and sound servers slow.
 */
#ifndef BBL_RECEIVE_COST_H
#define BBL_RECEIVE_COST_H

#include "bbl/types.h"

/* The least time between two responses to one query; zero-initialized. */
typedef struct {
    double interval; /* microseconds; 0 until it is known */
} bbl_receive_cost;

/*
 * Records the time between two successive responses to one query,
 * microseconds.
 */
void bbl_receive_cost_record(bbl_receive_cost *cost, bbl_usec interval);

/*
 * Returns the time that a server took.
 *
 * @param duration time until the response was received
 * @param earlier number of responses to the same query received before it
 */
bbl_usec bbl_receive_cost_get_server_time(const bbl_receive_cost *cost,
                                          bbl_usec duration, unsigned earlier);

#endif
