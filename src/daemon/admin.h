/*
 * admin.h - executes operator commands on the control thread.
 */
#ifndef BBL_ADMIN_H
#define BBL_ADMIN_H

#include "control/control.h"
#include "net/http_server.h"

/* The operator commands that wait for the outcome of a proposal. */
typedef struct {
    bbl_control *control;
    uint32_t host;
    bbl_vec proposals; /* of admin_proposal */
} bbl_admin;

/* Initialises; `control` is borrowed until bbl_admin_free. */
void bbl_admin_init(bbl_admin *admin, bbl_control *control, uint32_t host);

/* Ends every waiting call with the outcome "unknown". */
void bbl_admin_free(bbl_admin *admin);

/*
 * Executes the command in a suspended call. The call is resumed before this
 * function returns, or by bbl_admin_complete_proposal if the command is a
 * proposal.
 */
void bbl_admin_handle_call(bbl_admin *admin, bbl_usec now,
                           bbl_http_call *call);

/*
 * Responds to the operator command behind proposal `number`.
 *
 * @return false if the proposal does not belong to an operator command
 */
bool bbl_admin_complete_proposal(bbl_admin *admin, uint64_t number,
                                 const bblx_propose_reply *reply);

#endif
