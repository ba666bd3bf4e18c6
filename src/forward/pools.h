/*
 * pools.h - the backend servers that an entry host knows, by service, kept in
 * step with the platform's list. A server that is no longer listed stays
 * allocated until its last attempt has ended.
 */
#ifndef BBL_FORWARD_POOLS_H
#define BBL_FORWARD_POOLS_H

#include "admission/pressure.h"
#include "forward/backend.h"
#include "forward/extra_budget.h"
#include "forward/load_limit.h"
#include "rollout/gate.h"
#include "util/map.h"
#include "util/vec.h"

/* The rollout of a service, see rollout_view.h. */
typedef struct {
    uint64_t order; /* 0: there is none */
    bblx_rollout_state state;
    uint32_t share; /* of the target version, in 1/10000 */
    bool listed;    /* private to rollout_view.c */
    bbl_gate gate;
} bbl_pool_rollout;

/* The servers of one service. */
typedef struct {
    bbl_buf name;
    bbl_vec backends; /* bbl_backend * */
    bbl_extra_budget budget;
    bbl_load_limit load_limit; /* for routes whose first service this is */
    bbl_pressure pressure;     /* the same */
    bool pressure_reported;    /* its begin, but not its end yet */
    /*
     * Connections that one server accepts from all hosts together; 0 if
     * unknown.
     */
    uint32_t connection_limit;
    bbl_pool_rollout rollout;
} bbl_pool;

typedef struct {
    bbl_name zone;    /* data centre of this host */
    bbl_map pools;    /* hash of the service name -> bbl_pool */
    bbl_map backends; /* hash of id -> bbl_backend */
    bbl_map keys;     /* bbl_backend.key -> bbl_backend */
    bbl_vec retired;  /* bbl_backend *, no longer listed */
    /*
     * Called for each server that is added, removed or has changed its state;
     * `state` is the state before the change.
     */
    void (*added)(void *ctx, bbl_backend *backend);
    void (*removed)(void *ctx, bbl_backend *backend);
    void (*changed)(void *ctx, bbl_backend *backend, bbl_backend_state state);
    void *ctx;
} bbl_pools;

void bbl_pools_free(bbl_pools *pools);

/* Returns the pool of a service, and creates it if it is missing. */
bbl_pool *bbl_pools_get(bbl_pools *pools, bbl_str service);

/* Returns whether some server of the pool may get work. */
bool bbl_pool_has_usable(const bbl_pool *pool, bbl_usec now);

/* Returns whether a pool has a server that gets work from hosts that reach it:
 * one that is listed, and neither leaving nor cold. */
bool bbl_pool_has_warm(const bbl_pool *pool, bbl_usec now);

/*
 * Applies a list of servers.
 *
 * @param backends all known servers; the pools take ownership of each entry,
 *                 but not of the array
 */
void bbl_pools_update(bbl_pools *pools, bbl_usec now, bblx_backend *backends,
                      const bbl_usec *cold_until, size_t count,
                      const bbl_name *evacuated, size_t evacuated_count);

/*
 * Applies the time at which the platform's list was read to all servers, see
 * bbl_backend_confirm().
 */
void bbl_pools_confirm(bbl_pools *pools, bbl_usec now, bbl_usec list_read_at,
                       bbl_usec list_lag);

/* Frees the unlisted servers that have no attempt in flight. */
void bbl_pools_free_retired(bbl_pools *pools);

#endif
