/*
 * gateway.h - the traffic thread of an entry host: the callers' connections,
 * the connections to backend servers, and the forwarder between them.
 */
#ifndef BBL_DAEMON_GATEWAY_H
#define BBL_DAEMON_GATEWAY_H

#include "daemon/node_options.h"
#include "forward/forwarder.h"
#include "net/loop.h"

typedef struct bbl_gateway bbl_gateway;

/* Opens the sockets; nothing runs yet. */
int bbl_gateway_open(bbl_gateway **out, const bbl_node_options *options,
                     const bbl_dialect *dialect, uint64_t seed);
void bbl_gateway_free(bbl_gateway *gateway);

/* Starts the thread. */
int bbl_gateway_start(bbl_gateway *gateway);

/* Hands an update over to the thread, from any other thread. */
void bbl_gateway_send_update(bbl_gateway *gateway, bbl_forward_update *update);

/*
 * Starts a graceful shutdown from any other thread: the host is no longer
 * ready, answers end their connections, and within `grace` all has ended.
 */
void bbl_gateway_start_drain(bbl_gateway *gateway, bbl_usec grace);

/* Returns whether a shutdown has come to its end. */
bool bbl_gateway_is_drained(bbl_gateway *gateway);

/* Ends the thread. */
void bbl_gateway_stop(bbl_gateway *gateway);

#endif
