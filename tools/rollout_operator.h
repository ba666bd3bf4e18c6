/*
 * rollout_operator.h - the operator of a rollout experiment: orders a rollout
 * and reads its state from all control hosts, on open connections. A process
 * for each read would be late on a busy machine.
 */
#ifndef BBL_TOOLS_ROLLOUT_OPERATOR_H
#define BBL_TOOLS_ROLLOUT_OPERATOR_H

#include <stdio.h>

#include "net/backend_link.h"

typedef struct rollout_operator rollout_operator;

typedef struct {
    const char *service;
    const char *version;
    unsigned duration_s;
    bbl_usec order_at;
    /* Gets a line with the time (ms since 1970) and the state for each read,
     * and with "ordered" and "acknowledged" for the order, or "refused" and
     * its status. Borrowed. */
    FILE *record;
} rollout_operator_options;

/* Creates an operator; `client` and the strings of `options` must outlive
 * it. */
void rollout_operator_open(rollout_operator **out, bbl_backend_client *client,
                           const rollout_operator_options *options);

/* Abandons the open requests and frees the operator; NULL is allowed. */
void rollout_operator_free(rollout_operator *op);

/* Adds a control host by the address at which it takes orders. */
void rollout_operator_add_host(rollout_operator *op, bblx_address address);

/* Sends the due requests and abandons the overdue ones; call it about every
 * 10 ms. */
void rollout_operator_tick(rollout_operator *op, bbl_usec now);

#endif
