/*
 * operator_api.h - executes operator commands on the control thread of a host
 * that forwards requests: it installs a new routing, returns the present one,
 * withdraws data centres from service, and orders rollouts. A command is
 * acknowledged once it is durable; it may be sent again to any host at any
 * time.
 */
#ifndef BBL_DAEMON_OPERATOR_API_H
#define BBL_DAEMON_OPERATOR_API_H

#include "control/control.h"
#include "forward/dialect.h"
#include "net/edge.h"

typedef struct {
    bbl_control *control;
    const bbl_dialect *dialect;
    bblx_address address; /* where operators send commands to this host */
    bbl_vec proposals;    /* pending_proposal */
    uint64_t commands_received;
} bbl_operator_api;

void bbl_operator_api_init(bbl_operator_api *api, bbl_control *control,
                           const bbl_dialect *dialect, bblx_address address);
void bbl_operator_api_free(bbl_operator_api *api);

/*
 * Handles a call. It is answered before the function returns, or by
 * bbl_operator_api_complete_proposal.
 */
void bbl_operator_api_handle_call(bbl_operator_api *api, bbl_usec now,
                                  bbl_edge_call *call);

/*
 * Drops an open call whose operator has disconnected. Its proposal is
 * withdrawn unless it is a routing, which has a version.
 */
void bbl_operator_api_cancel_call(bbl_operator_api *api,
                                  const bbl_edge_call *call);

/*
 * Withdraws the proposals, other than routings, of operators that have
 * disconnected. Call it before the control core sends proposals.
 */
void bbl_operator_api_withdraw_abandoned(bbl_operator_api *api);

/* Answers the call that waits for the outcome of a proposal, if any. */
void bbl_operator_api_complete_proposal(bbl_operator_api *api, uint64_t number,
                                        const bblx_propose_reply *reply);

/*
 * Decompresses the routing document of a state and appends it to `out`.
 *
 * @return 0 or BBL_EDAMAGED
 */
int bbl_operator_api_inflate_document(bbl_buf *out, const bbl_state *state);

#endif
