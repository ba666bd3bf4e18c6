/*
 * delegation_field.h - the header fields that entry hosts add to the queries
 * that they delegate to each other, and to the answers. A delegated query is
 * otherwise the caller's request.
 */
#ifndef BBL_DELEGATION_FIELD_H
#define BBL_DELEGATION_FIELD_H

#include "forward/forwarder.h"
#include "net/http_message.h"

/* Field of a request: what the answering host has to know of the query. */
#define BBL_DELEGATED_FIELD "Baobablatch-Delegated"
/* Field of a response: how the answering host has handled it. */
#define BBL_OUTCOME_FIELD "Baobablatch-Outcome"

/* Returns whether a field is one of these, which are not forwarded. */
bool bbl_delegation_is_field(bbl_str name);

/* Appends the field of a request, with its line end. */
void bbl_delegated_append(bbl_buf *out, const bbl_delegated *delegated);

/*
 * Parses the field of a request.
 *
 * @param out `service` and `organisation` are borrowed from the message
 * @return 0, or BBL_EDAMAGED if the field is missing or malformed
 */
int bbl_delegated_read(bbl_delegated *out, const bbl_http_message *request);

/* Appends the field of a response, with its line end. */
void bbl_delegation_outcome_append(bbl_buf *out,
                                   const bbl_delegation_outcome *outcome);

/*
 * Parses the field of a response.
 *
 * @return 0, or BBL_EDAMAGED if the field is missing or malformed
 */
int bbl_delegation_outcome_read(bbl_delegation_outcome *out,
                                const bbl_http_message *response);

#endif
