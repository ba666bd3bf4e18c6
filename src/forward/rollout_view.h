/*
 * rollout_view.h - what an entry host knows of rollouts, and which servers of
 * its pools may get requests for it.
 *
 * While a rollout runs, servers of the target version get nothing unless this
 * host has a lease: only then does it know the share that is in force. A
 * server that appeared after the order gets nothing before the leader has told
 * its version. At the share of all requests the other servers get nothing any
 * more, with or without a lease: they end as soon as the rollout is completed.
 */
#ifndef BBL_FORWARD_ROLLOUT_VIEW_H
#define BBL_FORWARD_ROLLOUT_VIEW_H

#include "forward/pools.h"

/* A rollout, as the replicated state has it. */
typedef struct {
    uint64_t order;
    bbl_buf service; /* owned */
    bblx_rollout_state state;
    uint32_t share; /* in 1/10000 */
} bbl_known_rollout;

/* The version of a server, as the leader has read it. */
typedef struct {
    uint64_t server; /* key, see bbl_backend_get_key() */
    uint64_t order;  /* of the rollout that it refers to */
    bblx_server_version version;
} bbl_known_version;

typedef struct {
    bbl_map versions; /* key of the server -> bbl_known_version, owned */
    bbl_vec pools;    /* bbl_pool *, under a rollout */
    bbl_vec unproven; /* uint64_t: keys of servers */
    bbl_usec lease_until;
    bbl_usec confirmed_until; /* latest end of any lease so far */
} bbl_rollout_view;

void bbl_rollout_view_init(bbl_rollout_view *view);
void bbl_rollout_view_free(bbl_rollout_view *view);

/*
 * Takes the rollouts of an update, before its list of servers is applied: the
 * servers that are known by then, and were under a lease, predate the orders
 * that are new.
 */
void bbl_rollout_view_set_rollouts(bbl_rollout_view *view, bbl_pools *pools,
                                   const bbl_known_rollout *rollouts,
                                   size_t count);

/* Records versions of servers. */
void bbl_rollout_view_add_versions(bbl_rollout_view *view,
                                   const bbl_known_version *versions,
                                   size_t count);

/* Decides anew which servers may get requests, after the list was applied. */
void bbl_rollout_view_apply(bbl_rollout_view *view, bbl_pools *pools,
                            bbl_usec now);

/*
 * Withholds servers of versions that were unknown when the lease of this host
 * ended, as long as their service has another server. Replaces those of the
 * last call.
 *
 * @param keys see bbl_control_get_unproven()
 */
void bbl_rollout_view_set_unproven(bbl_rollout_view *view, bbl_pools *pools,
                                   bbl_usec now, const uint64_t *keys,
                                   size_t count);

/* Sets until when this host has a lease; 0 if it has none. */
void bbl_rollout_view_set_lease(bbl_rollout_view *view, bbl_usec until);

/*
 * Returns whether attempts are in flight at servers that a running rollout
 * with the share of all requests takes the requests from.
 */
bool bbl_rollout_view_has_strays(const bbl_rollout_view *view);

/* Appends the orders of the running rollouts to a vector of uint64_t. */
void bbl_rollout_view_get_running(const bbl_rollout_view *view, bbl_vec *out);

#endif
