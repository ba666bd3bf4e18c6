/*
 * admin.h - the operators' commands on the control thread.
 */
#ifndef BBL_ADMIN_H
#define BBL_ADMIN_H

#include "control/control.h"
#include "net/http_server.h"

/* Proposals of operators that wait for their outcome. */
typedef struct {
    bbl_control *control;
    uint32_t host;
    bbl_vec proposals; /* admin_wait */
} bbl_admin;

void bbl_admin_init(bbl_admin *admin, bbl_control *control, uint32_t host);
void bbl_admin_free(bbl_admin *admin);

/*
 * Handles a call; it is resumed now or by bbl_admin_complete_proposal.
 */
void bbl_admin_handle_call(bbl_admin *admin, bbl_usec now,
                           bbl_http_call *call);

/* Takes the outcome of a proposal; false when it was none of an operator. */
bool bbl_admin_complete_proposal(bbl_admin *admin, uint64_t number,
                                 const bblx_propose_reply *reply);

#endif
