/*
 * delegate.h - queries that another entry host answers for this one. A host
 * that has lost its links to the servers passes a query on to a peer that
 * reaches them, and relays the answer. A delegated query is never delegated
 * again.
 */
#ifndef BBL_FORWARD_DELEGATE_H
#define BBL_FORWARD_DELEGATE_H

#include "forward/peers.h"
#include "forward/reach.h"

/* Hosts that one query is delegated to, one after the other. */
#define BBL_DELEGATIONS_MAX 3

typedef struct bbl_delegation bbl_delegation;

/* Why a query is delegated. */
typedef enum {
    BBL_DELEGATE_ISOLATED,   /* no server responds to this host */
    BBL_DELEGATE_UNREACHED,  /* this host reaches too few shards */
    BBL_DELEGATE_INCOMPLETE, /* it reaches enough shards, but not all */
    BBL_DELEGATE_FAILED,     /* the attempts failed, nothing is reached now */
    BBL_DELEGATE_UNADMITTED  /* no grantor answers this host */
} bbl_delegation_cause;

const char *bbl_delegation_cause_name(bbl_delegation_cause cause);

/* What the host that answers a delegated query has to know of it. */
typedef struct {
    uint32_t host;    /* host that delegates it; 0 if it is not delegated */
    bbl_usec elapsed; /* since it arrived at that host */
    /* Time between its answer at that host and the caller, both ways. */
    bbl_usec round_trip;
    /* Attempts at each shard that servers may have run. */
    unsigned attempts;
    /* Routing version that applies to it: a host never goes back to an older
     * one, so only hosts that use the same version answer for it. */
    uint64_t routing_version;
    /* The service that was chosen for it; empty if none was. */
    bbl_str service;
    /* Name of the caller's organisation; empty if the route needs none. */
    bbl_str organisation;
    /* Whether its organisation's token was taken, and how long ago. Otherwise
     * the host that answers it has to ask for it. */
    bool admitted;
    bbl_usec admitted_for;
} bbl_delegated;

/* What the driver sends on instead of the caller's identity fields; see
 * bbl_dialect. */
typedef struct {
    /* Whether it drops the caller's fields: the routing has organisations. */
    bool replaced;
    bbl_str organisation; /* name to send instead; empty for none */
} bbl_identity_fields;

/* What the driver needs to delegate a query. */
typedef struct {
    void *request_handle;
    bbl_peer *peer;
    uint32_t time_left_ms;
    bool idempotent;
    bbl_identity_fields identity;
    bbl_delegated delegated; /* without the host */
} bbl_delegation_request;

/* Set or return the driver's handle of a delegation. */
void bbl_delegation_set_handle(bbl_delegation *delegation, void *handle);
void *bbl_delegation_get_handle(const bbl_delegation *delegation);

/* Returns the `ctx` of the port of the forwarder. */
void *bbl_delegation_get_ctx(const bbl_delegation *delegation);

#endif
