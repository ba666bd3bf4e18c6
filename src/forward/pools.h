/*
 * pools.h - the backend servers of an entry host by service, kept up to date
 * with the platform's list. A server that is no longer listed stays in the
 * table until its last attempt has ended.
 */
#ifndef BBL_FORWARD_POOLS_H
#define BBL_FORWARD_POOLS_H

#include "forward/backend.h"
#include "forward/extra_budget.h"
#include "forward/load_limit.h"
#include "util/map.h"
#include "util/vec.h"

/* The servers of one service. */
typedef struct {
    bbl_buf name;
    bbl_vec backends; /* bbl_backend * */
    bbl_extra_budget budget;
    bbl_load_limit load_limit; /* of the routes whose first service this is */
    uint32_t
        connection_limit; /* that one server takes, of all hosts; 0: unknown */

} bbl_pool;

typedef struct {
    bbl_name zone;    /* of this host */
    bbl_map pools;    /* hash of the name -> bbl_pool */
    bbl_map backends; /* hash of id -> bbl_backend */
    bbl_vec retired;  /* bbl_backend *, no longer listed */
    /* Called for each change of a server. */
    void (*added)(void *ctx, bbl_backend *backend);
    void (*removed)(void *ctx, bbl_backend *backend);
    void (*changed)(void *ctx, bbl_backend *backend, bbl_backend_state state);
    void *ctx;
} bbl_pools;

void bbl_pools_free(bbl_pools *pools);

/* Returns the pool of a service, made if missing. */
bbl_pool *bbl_pools_get(bbl_pools *pools, bbl_str service);

/* Returns whether some server of the pool may get work. */
bool bbl_pool_has_usable(const bbl_pool *pool, bbl_usec now);

/*
 * Takes over a list of servers.
 *
 * @param backends taken over one by one; all that are known
 */
void bbl_pools_update(bbl_pools *pools, bbl_usec now, bblx_backend *backends,
                      const bbl_usec *cold_until, size_t count,
                      const bbl_name *evacuated, size_t evacuated_count);

/* Confirms servers that were unsure, by the age of the list. */
void bbl_pools_confirm(bbl_pools *pools, bbl_usec now, bbl_usec list_read,
                       bbl_usec lag);

/* Frees the servers that are gone and carry no attempt any more. */
void bbl_pools_free_retired(bbl_pools *pools);

#endif
