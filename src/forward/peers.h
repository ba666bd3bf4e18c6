/*
 * peers.h - the other entry hosts, one of which is chosen when this host
 * delegates a query.
 *
 * Load pattern: some or most entry hosts have lost their links to the servers,
 * and all of their queries go to the others, none of which should get much
 * more than the rest. A peer that refused a query for the same reason, or that
 * did not answer, is avoided for a moment.
 */
#ifndef BBL_FORWARD_PEERS_H
#define BBL_FORWARD_PEERS_H

#include "bbl/types.h"
#include "model/codec.h"
#include "util/rng.h"
#include "util/vec.h"

/* An entry host as the driver lists it. */
typedef struct {
    uint32_t host;        /* host id */
    bblx_address address; /* where it accepts delegated queries */
} bbl_listed_peer;

typedef struct {
    bbl_listed_peer listed;
    unsigned in_flight;     /* queries delegated to it and not answered */
    bbl_usec avoided_until; /* it refused a query, or did not answer */
    bbl_usec served_at;     /* it last served a query; 0: never */
    void *link;             /* handle of the driver */
} bbl_peer;

typedef struct {
    bbl_vec listed;  /* bbl_peer * */
    bbl_vec retired; /* bbl_peer *, no longer listed, with queries in flight */
    /* Called for each peer that is added or removed. */
    void (*added)(void *ctx, bbl_peer *peer);
    void (*removed)(void *ctx, bbl_peer *peer);
    void *ctx;
} bbl_peers;

void bbl_peers_init(bbl_peers *peers);
void bbl_peers_free(bbl_peers *peers);

/* Replaces the list of peers. Those listed before keep their state. */
void bbl_peers_update(bbl_peers *peers, const bbl_listed_peer *listed,
                      size_t count);

/* Frees the peers that are no longer listed and have no query in flight. */
void bbl_peers_free_retired(bbl_peers *peers);

/*
 * Chooses a peer: of two that are drawn at random, the one with fewer queries
 * in flight. A query that a peer has refused goes to one that has served a
 * query lately, if there is one; so does each query while all are avoided.
 *
 * @param asked hosts that are not to be chosen
 * @return NULL if there is none
 */
bbl_peer *bbl_peers_choose(const bbl_peers *peers, bbl_usec now,
                           const uint32_t *asked, size_t asked_count,
                           bbl_rng *rng);

#endif
