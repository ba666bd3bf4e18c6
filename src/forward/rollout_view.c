#include "forward/rollout_view.h"

#include <stdlib.h>

#include "rollout/plan.h"
#include "util/alloc.h"

void
bbl_rollout_view_init(bbl_rollout_view *v)
{
    *v = (bbl_rollout_view){.versions = BBL_MAP_INIT,
                            .pools = BBL_VEC_INIT(bbl_pool *),
                            .unproven = BBL_VEC_INIT(uint64_t)};
}

void
bbl_rollout_view_free(bbl_rollout_view *v)
{
    bbl_known_version *known;
    size_t pos = 0;

    while ((known = bbl_map_next(&v->versions, &pos)) != NULL) {
        free(known);
    }
    bbl_map_free(&v->versions);
    bbl_vec_free(&v->pools);
    bbl_vec_free(&v->unproven);
}

static bbl_pool *
get_pool(const bbl_rollout_view *v, size_t i)
{
    return *BBL_VEC_AT(bbl_pool *, &v->pools, i);
}

/* Starts to apply a rollout that is new to this host. */
static void
start_rollout(const bbl_rollout_view *v, bbl_pool *pool, uint64_t order)
{
    pool->rollout = (bbl_pool_rollout){.order = order};
    for (size_t i = 0; i < pool->backends.size; i++) {
        bbl_backend *b = *BBL_VEC_AT(bbl_backend *, &pool->backends, i);

        if (b->added_at < v->confirmed_until) {
            b->predates_order = order;
        }
    }
}

void
bbl_rollout_view_set_rollouts(bbl_rollout_view *v, bbl_pools *pools,
                              const bbl_known_rollout *rollouts, size_t count)
{
    for (size_t i = 0; i < v->pools.size; i++) {
        get_pool(v, i)->rollout.listed = false;
    }
    for (size_t i = 0; i < count; i++) {
        const bbl_known_rollout *r = &rollouts[i];
        bbl_pool *pool = bbl_pools_get(pools, bbl_buf_str(&r->service));

        if (bbl_vec_find_pointer(&v->pools, pool) == v->pools.size) {
            bbl_vec_push(&v->pools, &pool);
        }
        if (pool->rollout.order != r->order) {
            start_rollout(v, pool, r->order);
        }
        pool->rollout.state = r->state;
        pool->rollout.share = r->share;
        pool->rollout.listed = true;
    }
}

void
bbl_rollout_view_add_versions(bbl_rollout_view *v,
                              const bbl_known_version *versions, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        bbl_known_version *known =
            bbl_map_get(&v->versions, versions[i].server);

        if (known == NULL) {
            known = bbl_calloc(1, sizeof(*known));
            bbl_map_set(&v->versions, versions[i].server, known);
        }
        if (versions[i].order >= known->order) {
            *known = versions[i];
        }
    }
}

static bblx_server_version
get_version(const bbl_rollout_view *v, uint64_t order, const bbl_backend *b)
{
    const bbl_known_version *known = bbl_map_get(&v->versions, b->key);

    if (known != NULL && known->order == order) {
        return known->version;
    }
    return b->predates_order == order ? BBLX_VERSION_OTHER
                                      : BBLX_VERSION_UNKNOWN;
}

/* Returns whether a server gets nothing, whatever the lease of this host. */
static bool
is_withheld(const bbl_pool_rollout *r, bblx_server_version version)
{
    switch (r->state) {
    case BBLX_ROLLOUT_RUNNING:
        return version == BBLX_VERSION_UNKNOWN ||
               (version == BBLX_VERSION_TARGET ? r->share == 0
                                               : r->share >= BBL_SHARE_ALL);
    case BBLX_ROLLOUT_COMPLETED:
        return version == BBLX_VERSION_OTHER;
    case BBLX_ROLLOUT_ROLLED_BACK:
        return version != BBLX_VERSION_OTHER;
    default:
        return false;
    }
}

static void
apply_to_server(const bbl_rollout_view *v, bbl_pools *pools,
                const bbl_pool_rollout *r, bbl_backend *b, bbl_usec now)
{
    bbl_backend_state before = bbl_backend_get_state(b, now);

    b->version =
        r->listed ? get_version(v, r->order, b) : BBLX_VERSION_UNKNOWN;
    b->withheld = r->listed && is_withheld(r, b->version);
    b->needs_lease = r->listed && r->state == BBLX_ROLLOUT_RUNNING &&
                     b->version == BBLX_VERSION_TARGET;
    b->lease_until = v->lease_until;
    if (bbl_backend_get_state(b, now) != before) {
        pools->changed(pools->ctx, b, before);
    }
}

/* Forgets the versions of servers that refer to no rollout any more. */
static void
prune_versions(bbl_rollout_view *v)
{
    bbl_vec stale = BBL_VEC_INIT(uint64_t);
    bbl_known_version *known;
    uint64_t oldest = UINT64_MAX;
    size_t pos = 0;

    for (size_t i = 0; i < v->pools.size; i++) {
        uint64_t order = get_pool(v, i)->rollout.order;

        oldest = order < oldest ? order : oldest;
    }
    while ((known = bbl_map_next(&v->versions, &pos)) != NULL) {
        if (known->order < oldest) {
            bbl_vec_push(&stale, &known->server);
        }
    }
    for (size_t i = 0; i < stale.size; i++) {
        free(bbl_map_remove(&v->versions, *BBL_VEC_AT(uint64_t, &stale, i)));
    }
    bbl_vec_free(&stale);
}

void
bbl_rollout_view_apply(bbl_rollout_view *v, bbl_pools *pools, bbl_usec now)
{
    bool removed = false;

    for (size_t i = v->pools.size; i > 0; i--) {
        bbl_pool *pool = get_pool(v, i - 1);

        for (size_t k = 0; k < pool->backends.size; k++) {
            apply_to_server(v, pools, &pool->rollout,
                            *BBL_VEC_AT(bbl_backend *, &pool->backends, k),
                            now);
        }
        if (!pool->rollout.listed) {
            pool->rollout = (bbl_pool_rollout){.order = 0};
            bbl_vec_swap_remove(&v->pools, i - 1);
            removed = true;
        }
    }
    if (removed) {
        prune_versions(v);
    }
}

static void
set_unproven(bbl_pools *pools, bbl_usec now, uint64_t key, bool unproven)
{
    bbl_backend *b = bbl_map_get(&pools->keys, key);
    bbl_backend_state before;

    if (b != NULL && b->unproven != unproven) {
        before = bbl_backend_get_state(b, now);
        b->unproven = unproven;
        pools->changed(pools->ctx, b, before);
    }
}

/* Returns whether a service has a server that is listed, not leaving and of a
 * version that is known. */
static bool
has_proven(bbl_pools *pools, const bbl_backend *unproven)
{
    const bbl_pool *pool =
        bbl_pools_get(pools, bbl_wire_label_str(&unproven->listed.service));

    for (size_t i = 0; i < pool->backends.size; i++) {
        const bbl_backend *b = *BBL_VEC_AT(bbl_backend *, &pool->backends, i);

        if (!b->unproven && !bbl_backend_is_leaving(b)) {
            return true;
        }
    }
    return false;
}

void
bbl_rollout_view_set_unproven(bbl_rollout_view *v, bbl_pools *pools,
                              bbl_usec now, const uint64_t *keys, size_t count)
{
    if (count == 0 && v->unproven.size == 0) {
        return;
    }
    for (size_t i = 0; i < v->unproven.size; i++) {
        set_unproven(pools, now, *BBL_VEC_AT(uint64_t, &v->unproven, i),
                     false);
    }
    v->unproven.size = 0;
    for (size_t i = 0; i < count; i++) {
        bbl_vec_push(&v->unproven, &keys[i]);
        set_unproven(pools, now, keys[i], true);
    }
    for (size_t i = 0; i < count; i++) {
        const bbl_backend *b = bbl_map_get(&pools->keys, keys[i]);

        if (b != NULL && !has_proven(pools, b)) {
            set_unproven(pools, now, keys[i], false);
        }
    }
}

void
bbl_rollout_view_set_lease(bbl_rollout_view *v, bbl_usec until)
{
    if (until == v->lease_until) {
        return;
    }
    v->lease_until = until;
    v->confirmed_until =
        until > v->confirmed_until ? until : v->confirmed_until;
    for (size_t i = 0; i < v->pools.size; i++) {
        const bbl_pool *pool = get_pool(v, i);

        for (size_t k = 0; k < pool->backends.size; k++) {
            (*BBL_VEC_AT(bbl_backend *, &pool->backends, k))->lease_until =
                until;
        }
    }
}

bool
bbl_rollout_view_has_strays(const bbl_rollout_view *v)
{
    for (size_t i = 0; i < v->pools.size; i++) {
        const bbl_pool *pool = get_pool(v, i);

        for (size_t k = 0; k < pool->backends.size; k++) {
            const bbl_backend *b =
                *BBL_VEC_AT(bbl_backend *, &pool->backends, k);

            if (pool->rollout.state == BBLX_ROLLOUT_RUNNING &&
                pool->rollout.share >= BBL_SHARE_ALL && b->withheld &&
                b->in_flight > 0) {
                return true;
            }
        }
    }
    return false;
}

void
bbl_rollout_view_get_running(const bbl_rollout_view *v, bbl_vec *out)
{
    for (size_t i = 0; i < v->pools.size; i++) {
        const bbl_pool_rollout *r = &get_pool(v, i)->rollout;

        if (r->state == BBLX_ROLLOUT_RUNNING) {
            bbl_vec_push(out, &r->order);
        }
    }
}
