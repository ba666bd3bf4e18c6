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
    bbl_vec waiting;      /* order_wait */
    uint64_t taken;
} bbl_orders;

void bbl_orders_init(bbl_orders *orders, bbl_control *control,
                     const bbl_dialect *dialect, bblx_address address);
void bbl_orders_free(bbl_orders *orders);

/* Takes a call in; it is answered now or by bbl_orders_proposed. */
void bbl_orders_take(bbl_orders *orders, bbl_usec now, bbl_edge_call *call);

/* The operator has gone. */
void bbl_orders_left(bbl_orders *orders, const bbl_edge_call *call);

/* Takes the outcome of a proposal. */
void bbl_orders_proposed(bbl_orders *orders, uint64_t number,
                         const bblx_propose_reply *reply);

/* Reads the routing document of a state; returns 0 or BBL_EDAMAGED. */
int bbl_orders_document(bbl_buf *out, const bbl_state *state);

#endif
