#include "forward/pools.h"

#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"

static uint64_t
name_key(bbl_str name)
{
    return bbl_hash(name.ptr, name.size, 31);
}

static uint64_t
id_key(const bblx_backend *listed)
{
    return name_key(bbl_wire_label_str(&listed->id));
}

bbl_pool *
bbl_pools_get(bbl_pools *p, bbl_str service)
{
    uint64_t key = name_key(service);
    bbl_pool *pool = bbl_map_get(&p->pools, key);

    if (pool == NULL) {
        pool = bbl_calloc(1, sizeof(*pool));
        bbl_buf_append(&pool->name, service.ptr, service.size);
        pool->backends = (bbl_vec)BBL_VEC_INIT(bbl_backend *);
        bbl_map_set(&p->pools, key, pool);
    }
    return pool;
}

bool
bbl_pool_has_usable(const bbl_pool *pool, bbl_usec now)
{
    for (size_t i = 0; i < pool->backends.size; i++) {
        if (bbl_backend_get_state(
                *BBL_VEC_AT(bbl_backend *, &pool->backends, i), now) ==
            BBL_BACKEND_USABLE) {
            return true;
        }
    }
    return false;
}

bool
bbl_pool_has_warm(const bbl_pool *pool, bbl_usec now)
{
    for (size_t i = 0; i < pool->backends.size; i++) {
        bbl_backend_state state = bbl_backend_get_state(
            *BBL_VEC_AT(bbl_backend *, &pool->backends, i), now);

        if (state == BBL_BACKEND_USABLE || state == BBL_BACKEND_DOWN ||
            state == BBL_BACKEND_UNSURE) {
            return true;
        }
    }
    return false;
}

static bool
is_evacuated(const bblx_name *zone, const bbl_name *evacuated, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (bbl_str_equal(bbl_name_str(&evacuated[i]),
                          bbl_wire_name_str(zone))) {
            return true;
        }
    }
    return false;
}

static bool
same_service(const bblx_backend *a, const bblx_backend *b)
{
    return bbl_str_equal(bbl_wire_label_str(&a->service),
                         bbl_wire_label_str(&b->service));
}

/* Returns whether two list entries with one id name different processes. */
static bool
is_other_process(const bblx_backend *a, const bblx_backend *b)
{
    return a->address.ip != b->address.ip ||
           a->address.port != b->address.port || a->born != b->born ||
           !same_service(a, b);
}

static void
retire_backend(bbl_pools *p, bbl_backend *b)
{
    bbl_pool *pool = bbl_pools_get(p, bbl_wire_label_str(&b->listed.service));

    bbl_map_remove(&p->backends, id_key(&b->listed));
    bbl_map_remove(&p->keys, b->key);
    bbl_vec_swap_remove(&pool->backends,
                        bbl_vec_find_pointer(&pool->backends, b));
    b->listed.gone = TRUE;
    bbl_vec_push(&p->retired, &b);
    p->removed(p->ctx, b);
}

static bbl_backend *
add_backend(bbl_pools *p, bbl_usec now, bblx_backend *listed)
{
    bbl_backend *b = bbl_calloc(1, sizeof(*b));
    bbl_pool *pool = bbl_pools_get(p, bbl_wire_label_str(&listed->service));

    b->listed = *listed;
    b->added_at = now;
    b->key = bbl_backend_get_key(listed);
    b->same_zone = bbl_str_equal(bbl_wire_name_str(&b->listed.zone),
                                 bbl_name_str(&p->zone));
    bbl_map_set(&p->backends, id_key(listed), b);
    bbl_map_set(&p->keys, b->key, b);
    bbl_vec_push(&pool->backends, &b);
    p->added(p->ctx, b);
    return b;
}

static void
update_backend(bbl_pools *p, bbl_usec now, bblx_backend *listed,
               bbl_usec cold_until, const bbl_name *evacuated,
               size_t evacuated_count)
{
    bbl_backend *b = bbl_map_get(&p->backends, id_key(listed));
    bbl_backend_state before;
    bool was_evacuated;

    if (b != NULL && (listed->gone || is_other_process(&b->listed, listed))) {
        retire_backend(p, b);
        b = NULL;
    }
    if (listed->gone) {
        BBL_XDR_FREE(bblx_backend, listed);
        return;
    }
    if (b == NULL) {
        b = add_backend(p, now, listed);
        before = BBL_BACKEND_GONE;
    }
    else {
        before = bbl_backend_get_state(b, now);
        b->listed.leaving = listed->leaving;
        b->listed.slots = listed->slots;
        BBL_XDR_FREE(bblx_backend, listed);
    }
    b->cold_until = cold_until;
    was_evacuated = b->evacuated;
    b->evacuated = is_evacuated(&b->listed.zone, evacuated, evacuated_count);
    if (was_evacuated && !b->evacuated) {
        /* It may have become cold while it got no work. */
        b->unsure_at = now;
    }
    if (bbl_backend_get_state(b, now) != before) {
        p->changed(p->ctx, b, before);
    }
}

void
bbl_pools_update(bbl_pools *p, bbl_usec now, bblx_backend *backends,
                 const bbl_usec *cold_until, size_t count,
                 const bbl_name *evacuated, size_t evacuated_count)
{
    for (size_t i = 0; i < count; i++) {
        update_backend(p, now, &backends[i], cold_until[i], evacuated,
                       evacuated_count);
    }
}

void
bbl_pools_confirm(bbl_pools *p, bbl_usec now, bbl_usec list_read_at,
                  bbl_usec list_lag)
{
    bbl_backend *b;
    size_t pos = 0;

    while ((b = bbl_map_next(&p->backends, &pos)) != NULL) {
        bbl_backend_state before = bbl_backend_get_state(b, now);

        bbl_backend_confirm(b, list_read_at, list_lag);
        if (bbl_backend_get_state(b, now) != before) {
            p->changed(p->ctx, b, before);
        }
    }
}

static void
backend_free(bbl_backend *b)
{
    BBL_XDR_FREE(bblx_backend, &b->listed);
    free(b);
}

void
bbl_pools_free_retired(bbl_pools *p)
{
    for (size_t i = p->retired.size; i > 0; i--) {
        bbl_backend *b = *BBL_VEC_AT(bbl_backend *, &p->retired, i - 1);

        if (b->in_flight == 0) {
            bbl_vec_swap_remove(&p->retired, i - 1);
            backend_free(b);
        }
    }
}

void
bbl_pools_free(bbl_pools *p)
{
    bbl_backend *b;
    bbl_pool *pool;
    size_t pos = 0;

    while ((b = bbl_map_next(&p->backends, &pos)) != NULL) {
        p->removed(p->ctx, b);
        backend_free(b);
    }
    for (size_t i = 0; i < p->retired.size; i++) {
        backend_free(*BBL_VEC_AT(bbl_backend *, &p->retired, i));
    }
    pos = 0;
    while ((pool = bbl_map_next(&p->pools, &pos)) != NULL) {
        bbl_buf_free(&pool->name);
        bbl_vec_free(&pool->backends);
        free(pool);
    }
    bbl_map_free(&p->pools);
    bbl_map_free(&p->backends);
    bbl_map_free(&p->keys);
    bbl_vec_free(&p->retired);
}
