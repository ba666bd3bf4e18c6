/*
 * orders.h - the operators' orders on the control thread: a new routing, the
 * present one, and data centres out of service. An order is acknowledged
 * once it is durable; it may be sent again to any host at any time.
 */
#ifndef BBL_DAEMON_ORDERS_H
#define BBL_DAEMON_ORDERS_H

#include "control/control.h"
#include "forward/dialect.h"
#include "net/edge.h"

typedef struct {
    bbl_control *control;
    const bbl_dialect *dialect;
    bblx_address address; /* where this host takes orders */
    bbl_vec proposals;    /* order_wait */
    uint64_t commands_received;
} bbl_operator_api;

void bbl_operator_api_init(bbl_operator_api *orders, bbl_control *control,
                           const bbl_dialect *dialect, bblx_address address);
void bbl_operator_api_free(bbl_operator_api *orders);

/* Takes a call in; it is answered now or by
 * bbl_operator_api_complete_proposal. */
void bbl_operator_api_handle_call(bbl_operator_api *orders, bbl_usec now,
                                  bbl_edge_call *call);

/* The operator has gone. */
void bbl_operator_api_cancel_call(bbl_operator_api *orders,
                                  const bbl_edge_call *call);

/* Takes the outcome of a proposal. */
void bbl_operator_api_complete_proposal(bbl_operator_api *orders,
                                        uint64_t number,
                                        const bblx_propose_reply *reply);

/* Reads the routing document of a state; returns 0 or BBL_EDAMAGED. */
int bbl_operator_api_inflate_document(bbl_buf *out, const bbl_state *state);

#endif
