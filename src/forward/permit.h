/*
 * permit.h - permits to send requests to backend servers that limit the
 * request rate of all hosts together. The forwarder requests them from the
 * driver for the shards of a query that need one; control/permit_book.h
 * explains who grants them.
 */
#ifndef BBL_FORWARD_PERMIT_H
#define BBL_FORWARD_PERMIT_H

#include "bbl/types.h"

/* A server for which a permit is requested. */
typedef struct {
    uint64_t server; /* see bbl_backend_get_key() */
    /* One permit is enough for all servers with one group. */
    unsigned group;
    double rate; /* requests per second that the server accepts */
} bbl_permit_item;

typedef struct {
    uint64_t number; /* of this request; never 0 */
    bool urgent;
    /* Permits for fewer groups than this are of no use. */
    unsigned needed;
    const bbl_permit_item *items; /* borrowed, ordered by group */
    size_t item_count;
} bbl_permit_request;

typedef struct {
    uint64_t server;
    bool granted;
    bbl_usec wait; /* until the next permit, if refused; 0 if unused */
} bbl_permit_result;

/* The answer of one grantor to a request. */
typedef struct {
    uint64_t number;
    const bbl_permit_result *results; /* borrowed */
    size_t result_count;
} bbl_permit_reply;

/* The limit of a server, as another host has observed it. */
typedef struct {
    uint64_t server;
    uint64_t serial; /* greater for a later observation */
    bool limited;
    double rate; /* requests per second */
} bbl_observed_limit;

#endif
