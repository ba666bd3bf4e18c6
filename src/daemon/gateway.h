/*
 * gateway.h - the traffic thread of an entry host. It drives the forwarder,
 * the connections of callers and the connections to backend servers, and also
 * serves readiness and metrics.
 *
 * Any thread but the traffic thread may send updates, start a drain and query
 * whether it has ended.
 */
#ifndef BBL_DAEMON_GATEWAY_H
#define BBL_DAEMON_GATEWAY_H

#include "daemon/node_options.h"
#include "daemon/notice.h"
#include "forward/forwarder.h"
#include "net/loop.h"
#include "net/mailbox.h"

typedef struct bbl_gateway bbl_gateway;

/*
 * Opens the sockets; bbl_gateway_start starts the thread.
 *
 * @param options borrowed until bbl_gateway_free
 * @param seed    must differ between hosts
 * @param notices receives bbl_notice; borrowed until bbl_gateway_free
 * @return 0, or a negative error with `*out` set to NULL
 */
int bbl_gateway_open(bbl_gateway **out, const bbl_node_options *options,
                     const bbl_dialect *dialect, uint64_t seed,
                     bbl_mailbox *notices);

/* Stops the thread if it runs, and closes all connections. */
void bbl_gateway_free(bbl_gateway *gateway);

/* Starts the thread. Returns 0 or BBL_EIO. */
int bbl_gateway_start(bbl_gateway *gateway);

/*
 * Hands an update to the thread. Takes ownership of `update`. It replaces one
 * that the thread has not taken, so take that back before.
 */
void bbl_gateway_send_update(bbl_gateway *gateway, bbl_forward_update *update);

/* Returns the update that the thread has not taken, which the caller owns
 * then, or NULL. */
bbl_forward_update *bbl_gateway_take_back_update(bbl_gateway *gateway);

/* Returns the index of the state that requests are handled by; see
 * bbl_forwarder_get_applied_index. */
uint64_t bbl_gateway_get_applied_index(const bbl_gateway *gateway);

/*
 * Sends the reply to a request for permits to the thread. Takes ownership of
 * `reply`, which is dropped if too many replies are queued.
 */
void bbl_gateway_send_permits(bbl_gateway *gateway, bbl_permit_reply *reply);

/* Sends a grantor's reply about the admission of a query to the thread; it is
 * dropped if too many replies are queued. */
void bbl_gateway_send_admission(bbl_gateway *gateway, uint32_t grantor,
                                const bblx_admission_reply *reply);

/*
 * Sets until when the last update holds the newest routing; see
 * bbl_forwarder_confirm_routing. Called from the control thread.
 */
void bbl_gateway_confirm_routing(bbl_gateway *gateway, bbl_usec until);

/*
 * Starts a graceful shutdown: the host reports that it is not ready, answers
 * ask callers to close their connections, and the shutdown ends before `grace`
 * has passed.
 */
void bbl_gateway_start_drain(bbl_gateway *gateway, bbl_usec grace);

/* Returns whether a graceful shutdown has ended. */
bool bbl_gateway_is_drained(bbl_gateway *gateway);

/* Stops the thread and waits for its end. */
void bbl_gateway_stop(bbl_gateway *gateway);

#endif
