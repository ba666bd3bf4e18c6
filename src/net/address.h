/*
 * address.h - IPv4 addresses as text and as socket addresses.
 */
#ifndef BBL_ADDRESS_H
#define BBL_ADDRESS_H

#include <netinet/in.h>

#include "model/codec.h"

/* Parses "a.b.c.d:port"; returns 0 or BBL_EINVAL. */
int bbl_address_parse(bblx_address *out, const char *text);

/* Returns the form that the socket calls take. */
struct sockaddr_in bbl_address_to_sockaddr(bblx_address address);

/* Appends "a.b.c.d:port". */
void bbl_address_append(bbl_buf *out, bblx_address address);

#endif
