#include "forward/forwarder_core.h"

#include <stdlib.h>

#include "forward/caller_identity.h"
#include "forward/subset.h"
#include "util/alloc.h"

/* The initial service time of a route is its target divided by this. */
#define INITIAL_SERVICE_TIME_DIVISOR 6
/* Share of a server's connection limit that all hosts together use. */
#define CONNECTION_SHARE 0.9
#define DEFAULT_CONNECTIONS 8 /* for all hosts, if the routing names none */

static bbl_route_timing *
get_timing(bbl_forwarder *f, const bbl_route *route)
{
    uint64_t key = bbl_hash(route->name.ptr, route->name.size, 41);
    bbl_route_timing *p = bbl_map_get(&f->timings, key);

    if (p == NULL) {
        p = bbl_calloc(1, sizeof(*p));
        p->service_time = route->target_latency_ms * BBL_USEC_PER_MS /
                              INITIAL_SERVICE_TIME_DIVISOR +
                          1;
        p->uncongested_time = p->service_time;
        bbl_map_set(&f->timings, key, p);
    }
    return p;
}

void
bbl_route_table_release(bbl_route_table *t)
{
    if (t == NULL || --t->ref_count > 0) {
        return;
    }
    for (size_t i = 0; i < t->route_count; i++) {
        bbl_split_free(&t->splits[i]);
    }
    free(t->splits);
    free(t->timings);
    free(t->pools);
    bbl_routing_free(t->routing);
    free(t);
}

static size_t
count_routes(const bbl_routing *r)
{
    size_t n = 0;

    while (bbl_routing_route(r, n) != NULL) {
        n++;
    }
    return n;
}

static size_t
count_services(const bbl_routing *r)
{
    size_t n = 0;

    while (bbl_routing_service(r, n) != NULL) {
        n++;
    }
    return n;
}

static bbl_route_table *
table_new(bbl_forwarder *f, bbl_routing *routing)
{
    bbl_route_table *t = bbl_calloc(1, sizeof(*t));
    size_t services = count_services(routing);

    t->routing = routing;
    t->ref_count = 1;
    t->route_count = count_routes(routing);
    t->pools = bbl_calloc(services, sizeof(bbl_pool *));
    t->splits = bbl_calloc(t->route_count, sizeof(bbl_split));
    t->timings = bbl_calloc(t->route_count, sizeof(bbl_route_timing *));
    for (size_t i = 0; i < services; i++) {
        const bbl_service *s = bbl_routing_service(routing, i);

        t->pools[i] = bbl_pools_get(&f->pools, s->name);
        t->pools[i]->connection_limit = s->max_connections;
    }
    t->most_urgent_priority = bbl_caller_get_most_urgent_priority(routing);
    for (size_t i = 0; i < t->route_count; i++) {
        const bbl_route *r = bbl_routing_route(routing, i);

        bbl_split_init(&t->splits[i], r, bbl_rng_next(&f->rng));
        t->timings[i] = get_timing(f, r);
    }
    return t;
}

void
bbl_forward_update_free(bbl_forward_update *u)
{
    if (u == NULL) {
        return;
    }
    bbl_routing_free(u->routing);
    for (size_t i = 0; i < u->backend_count; i++) {
        BBL_XDR_FREE(bblx_backend, &u->backends[i]);
    }
    free(u->backends);
    free(u->cold_until);
    free(u->evacuated_zones);
    free(u->peers);
    free(u->limits);
    free(u->crashes);
    free(u->health);
    for (size_t i = 0; i < u->rollout_count; i++) {
        bbl_buf_free(&u->rollouts[i].service);
    }
    free(u->rollouts);
    free(u->unproven);
    free(u->versions);
    free(u);
}

/*
 * Returns whether a pool has a server that can get work: from this host or, if
 * it does not reach most of the servers, from another one.
 */
static bool
has_server(const bbl_forwarder *f, bbl_usec now, const bbl_pool *pool)
{
    return bbl_reach_get_level(&f->reach) == BBL_REACH_MOST
               ? bbl_pool_has_usable(pool, now)
               : bbl_pool_has_warm(pool, now);
}

/* Returns whether each shard of a sharded route has a server. */
static bool
has_server_for_shards(bbl_forwarder *f, bbl_usec now,
                      const bbl_routing *routing, const bbl_route *route)
{
    for (size_t i = 0; i < route->target_count; i++) {
        const bbl_service *s =
            bbl_routing_service(routing, route->targets[i].service_index);

        if (!has_server(f, now, bbl_pools_get(&f->pools, s->name))) {
            return false;
        }
    }
    return true;
}

/*
 * Returns whether a new routing should wait, because it names shards without a
 * server on a route that the active routing can serve. Hosts that reach few
 * servers decide as the others do, which answer their queries.
 */
static bool
should_wait(bbl_forwarder *f, bbl_usec now, const bbl_routing *routing)
{
    const bbl_route *route;

    for (size_t i = 0; (route = bbl_routing_route(routing, i)) != NULL; i++) {
        const bbl_route *old =
            route->kind == BBL_ROUTE_GATHER
                ? bbl_routing_match(f->table->routing, route->hostname,
                                    route->path_prefix)
                : NULL;

        if (old != NULL && old->kind == BBL_ROUTE_GATHER &&
            !has_server_for_shards(f, now, routing, route) &&
            has_server_for_shards(f, now, f->table->routing, old)) {
            return true;
        }
    }
    return false;
}

void
bbl_forwarder_activate_routing(bbl_forwarder *f, bbl_usec now)
{
    bbl_usec waited = now - f->next_routing_received_at;

    if (f->next_routing == NULL ||
        (f->table != NULL && waited < f->options.routing_wait_max &&
         should_wait(f, now, f->next_routing))) {
        return;
    }
    bbl_route_table_release(f->table);
    f->table = table_new(f, f->next_routing);
    f->next_routing = NULL;
    f->applied_index = f->received_index;
    f->options.port.routing_activated(
        f->options.port.ctx, bbl_routing_version(f->table->routing), waited);
}

/* Updates this host's share of the slots of all servers in the load limits. */
static void
update_slot_capacity(bbl_forwarder *f)
{
    bbl_pool *pool;
    size_t pos = 0;

    while ((pool = bbl_map_next(&f->pools.pools, &pos)) != NULL) {
        double slots = 0;

        for (size_t i = 0; i < pool->backends.size; i++) {
            slots +=
                (*BBL_VEC_AT(bbl_backend *, &pool->backends, i))->listed.slots;
        }
        pool->load_limit.slot_capacity =
            slots * BBL_USEC_PER_SEC / f->entry_hosts;
    }
}

/* Records the crashes that other hosts, or this one, have observed. */
static void
apply_crashes(bbl_forwarder *f, bbl_usec now, const bbl_forward_update *u)
{
    for (size_t i = 0; i < u->crash_count; i++) {
        if (u->crashes[i].generation > 0) {
            bbl_crash_alert_raise(&f->crash_alert, now);
        }
        if (bbl_crash_ledger_record(&f->crash_ledger, now, &u->crashes[i])) {
            f->options.port.request_barred(f->options.port.ctx,
                                           u->crashes[i].fingerprint);
        }
    }
}

/* Returns the newest routing version received; 0 if none was. */
static uint64_t
get_newest_version(const bbl_forwarder *f)
{
    return f->next_routing != NULL ? bbl_routing_version(f->next_routing)
                                   : bbl_forwarder_get_routing_version(f);
}

/* Receives a routing, which is owned from then on. */
static void
receive_routing(bbl_forwarder *f, bbl_usec now, bbl_routing *routing)
{
    uint64_t newest = get_newest_version(f);

    if (bbl_routing_version(routing) < newest) {
        f->options.port.routing_ignored(f->options.port.ctx,
                                        bbl_routing_version(routing), newest);
        bbl_routing_free(routing);
        return;
    }
    /*
     * The wait starts with the first waiting version, so that frequent new
     * versions do not prolong it.
     */
    f->next_routing_received_at =
        f->next_routing != NULL ? f->next_routing_received_at : now;
    bbl_routing_free(f->next_routing);
    f->next_routing = routing;
}

/* Decides which servers get requests under the rollouts. */
static void
apply_rollouts(bbl_forwarder *f, bbl_usec now)
{
    bbl_vec running = BBL_VEC_INIT(uint64_t);

    bbl_rollout_view_apply(&f->rollouts, &f->pools, now);
    bbl_rollout_view_get_running(&f->rollouts, &running);
    bbl_rollout_tally_set_orders(&f->tally, &running);
    bbl_vec_free(&running);
}

void
bbl_forwarder_update(bbl_forwarder *f, bbl_usec now, bbl_forward_update *u)
{
    if (u->only_health) {
        bbl_forwarder_apply_health(f, now, u->health, u->health_count);
        bbl_forward_update_free(u);
        return;
    }
    f->list_read_at = u->list_read_at;
    f->entry_hosts = u->entry_hosts > 0 ? u->entry_hosts : 1;
    f->extra_limits = f->options.extra_limits;
    f->extra_limits.constant /= f->entry_hosts;
    if (u->routing != NULL) {
        receive_routing(f, now, u->routing);
        u->routing = NULL;
    }
    bbl_rollout_view_set_rollouts(&f->rollouts, &f->pools, u->rollouts,
                                  u->rollout_count);
    bbl_pools_update(&f->pools, now, u->backends, u->cold_until,
                     u->backend_count, u->evacuated_zones,
                     u->evacuated_zone_count);
    u->backend_count = 0; /* owned by the pools now */
    if (u->has_observations) {
        f->grantors = u->grantors;
        bbl_forwarder_apply_limits(f, u->limits, u->limit_count);
        apply_crashes(f, now, u);
        bbl_forwarder_apply_health(f, now, u->health, u->health_count);
        bbl_rollout_view_add_versions(&f->rollouts, u->versions,
                                      u->version_count);
    }
    if (u->has_grantors) {
        bbl_admission_asks_set_grantors(&f->asks, u->listed_grantors,
                                        u->listed_grantor_count);
    }
    apply_rollouts(f, now);
    bbl_rollout_view_set_unproven(&f->rollouts, &f->pools, now, u->unproven,
                                  u->unproven_count);
    if (u->has_peers) {
        bbl_peers_update(&f->peers, u->peers, u->peer_count);
    }
    update_slot_capacity(f);
    bbl_pools_confirm(&f->pools, now, f->list_read_at, f->options.list_lag);
    f->received_index = u->applied;
    bbl_forwarder_activate_routing(f, now);
    if (f->next_routing == NULL) {
        f->applied_index = f->received_index;
    }
    if (!bbl_rollout_view_has_strays(&f->rollouts)) {
        f->settled_index = f->applied_index;
    }
    bbl_forward_update_free(u);
}

unsigned
bbl_forwarder_get_connection_limit(bool *keep, bbl_forwarder *f, bbl_usec now,
                                   const bbl_backend *b)
{
    bbl_pool *pool =
        bbl_pools_get(&f->pools, bbl_wire_label_str(&b->listed.service));
    uint32_t all = pool->connection_limit > 0 ? pool->connection_limit
                                              : DEFAULT_CONNECTIONS;
    bbl_subset_input in = {f->options.seed,
                           CONNECTION_SHARE * all / f->entry_hosts};
    size_t at;

    *keep = false;
    if (bbl_backend_is_leaving(b) || b->listed.gone) {
        return 0;
    }
    at = bbl_vec_find_pointer(&pool->backends, b);
    if (at == pool->backends.size) {
        return 0;
    }
    return bbl_subset_get_connection_limit(keep, &in, pool->backends.ptr,
                                           pool->backends.size, at, now);
}
