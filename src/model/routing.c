#include "bbl/routing.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "bbl/errors.h"
#include "identity/key_index.h"
#include "util/alloc.h"
#include "util/map.h"
#include "util/vec.h"

#define HOSTNAME_MAX 253 /* bytes; RFC 1035, without the final dot */

struct bbl_routing {
    uint64_t version;
    GStringChunk *text;            /* owns all strings */
    bbl_vec routes;                /* bbl_route; owns their targets */
    bbl_vec services;              /* bbl_service */
    bbl_map services_by_name;      /* name hash -> index + 1 */
    bbl_map routes_by_prefix;      /* hash_route -> index + 1 */
    bbl_vec organisations;         /* bbl_organisation */
    bbl_map organisations_by_name; /* name hash -> index + 1 */
    bbl_key_index keys;            /* owner: index of the organisation */
    bbl_caller_limits limits;
};

static bbl_str
copy_string(bbl_routing *r, bbl_str s)
{
    char *copy =
        g_string_chunk_insert_len(r->text, s.ptr ? s.ptr : "", (gssize)s.size);

    return (bbl_str){copy, s.size};
}

static uint64_t
hash_name(bbl_str name)
{
    return bbl_hash(name.ptr, name.size, 21);
}

/* Hashes a host name, ignoring case, and a path prefix. */
static uint64_t
hash_route(bbl_str hostname, bbl_str prefix)
{
    char folded[HOSTNAME_MAX];
    size_t n = hostname.size < HOSTNAME_MAX ? hostname.size : HOSTNAME_MAX;

    for (size_t i = 0; i < n; i++) {
        folded[i] = (char)tolower((unsigned char)hostname.ptr[i]);
    }
    return bbl_hash(prefix.ptr, prefix.size, bbl_hash(folded, n, 22));
}

static bool
hostnames_equal(bbl_str a, bbl_str b)
{
    return a.size == b.size && g_ascii_strncasecmp(a.ptr, b.ptr, a.size) == 0;
}

bbl_routing *
bbl_routing_new(uint64_t version)
{
    bbl_routing *r = bbl_calloc(1, sizeof(*r));

    r->version = version;
    r->text = g_string_chunk_new(4096);
    r->routes = (bbl_vec)BBL_VEC_INIT(bbl_route);
    r->services = (bbl_vec)BBL_VEC_INIT(bbl_service);
    r->organisations = (bbl_vec)BBL_VEC_INIT(bbl_organisation);
    return r;
}

void
bbl_routing_free(bbl_routing *r)
{
    if (r == NULL) {
        return;
    }
    for (size_t i = 0; i < r->routes.size; i++) {
        free(BBL_VEC_AT(bbl_route, &r->routes, i)->targets);
    }
    bbl_vec_free(&r->routes);
    bbl_vec_free(&r->services);
    bbl_map_free(&r->services_by_name);
    bbl_map_free(&r->routes_by_prefix);
    bbl_vec_free(&r->organisations);
    bbl_map_free(&r->organisations_by_name);
    bbl_key_index_free(&r->keys);
    g_string_chunk_free(r->text);
    free(r);
}

/* Returns the index of a service, or -1. */
static long
find_service(const bbl_routing *r, bbl_str name)
{
    size_t at = (size_t)bbl_map_get(&r->services_by_name, hash_name(name));

    if (at == 0 ||
        !bbl_str_equal(BBL_VEC_AT(bbl_service, &r->services, at - 1)->name,
                       name)) {
        return -1;
    }
    return (long)at - 1;
}

int
bbl_routing_add_service(bbl_routing *r, const bbl_service *service)
{
    bbl_service *s;

    if (service->name.size == 0 || find_service(r, service->name) >= 0 ||
        r->services.size >= BBL_ROUTING_SERVICES_MAX) {
        return bbl_error_set(BBL_EINVAL,
                             "service %zu \"%.*s\": empty or duplicate name, "
                             "or too many services",
                             r->services.size, (int)service->name.size,
                             service->name.ptr);
    }
    s = bbl_vec_add(&r->services);
    *s = *service;
    s->name = copy_string(r, service->name);
    s->health_path = copy_string(r, service->health_path);
    bbl_map_set(&r->services_by_name, hash_name(s->name),
                (void *)r->services.size);
    return 0;
}

int
bbl_routing_add_route(bbl_route **out, bbl_routing *r, const bbl_route *route)
{
    bbl_route *added;

    if (r->routes.size >= BBL_ROUTING_ROUTES_MAX) {
        return bbl_error_set(BBL_EINVAL, "more than %d routes",
                             BBL_ROUTING_ROUTES_MAX);
    }
    added = bbl_vec_add(&r->routes);
    *added = *route;
    added->name = copy_string(r, route->name);
    added->hostname = copy_string(r, route->hostname);
    added->path_prefix = copy_string(r, route->path_prefix);
    added->targets = NULL;
    added->target_count = 0;
    *out = added;
    return 0;
}

int
bbl_routing_add_target(bbl_routing *r, bbl_str service, uint32_t weight)
{
    bbl_route *route = bbl_vec_at(&r->routes, r->routes.size - 1);
    long at = find_service(r, service);
    size_t n = route->target_count;

    if (at < 0) {
        return bbl_error_set(BBL_EINVAL,
                             "route \"%.*s\": unknown service \"%.*s\"",
                             (int)route->name.size, route->name.ptr,
                             (int)service.size, service.ptr);
    }
    route->targets =
        bbl_reallocarray(route->targets, n + 1, sizeof(bbl_route_target));
    route->targets[n].service_index = (uint32_t)at;
    route->targets[n].weight = weight;
    route->target_count++;
    return 0;
}

/* ---- organisations ---- */

/* Returns whether a name may stand in a header field and in a log line. */
static bool
is_valid_name(bbl_str name)
{
    if (name.size == 0 || name.size > BBL_ORGANISATION_NAME_MAX ||
        name.ptr[0] == ' ' || name.ptr[name.size - 1] == ' ') {
        return false;
    }
    for (size_t i = 0; i < name.size; i++) {
        if (iscntrl((unsigned char)name.ptr[i])) {
            return false;
        }
    }
    return true;
}

const bbl_organisation *
bbl_routing_find_organisation(const bbl_routing *r, bbl_str name)
{
    size_t at =
        (size_t)bbl_map_get(&r->organisations_by_name, hash_name(name));
    const bbl_organisation *o = bbl_routing_organisation(r, at - 1);

    return o != NULL && bbl_str_equal(o->name, name) ? o : NULL;
}

int
bbl_routing_add_organisation(bbl_routing *r, const bbl_organisation *o)
{
    bbl_organisation *added;

    if (!is_valid_name(o->name) ||
        bbl_routing_find_organisation(r, o->name) != NULL) {
        return bbl_error_set(BBL_EINVAL,
                             "organisation %zu: its name is empty, too long, "
                             "a duplicate, or has control characters",
                             r->organisations.size);
    }
    if (r->organisations.size >= BBL_ROUTING_ORGANISATIONS_MAX) {
        return bbl_error_set(BBL_EINVAL, "more than %d organisations",
                             BBL_ROUTING_ORGANISATIONS_MAX);
    }
    added = bbl_vec_add(&r->organisations);
    *added = *o;
    added->name = copy_string(r, o->name);
    bbl_map_set(&r->organisations_by_name, hash_name(added->name),
                (void *)r->organisations.size);
    return 0;
}

int
bbl_routing_add_key(bbl_routing *r, bbl_str key)
{
    uint32_t last = (uint32_t)r->organisations.size - 1;
    const bbl_organisation *o = bbl_vec_at(&r->organisations, last);
    const bbl_organisation *other;
    uint32_t owner = last;

    if (key.size == 0 || key.size > BBL_ORGANISATION_KEY_MAX) {
        return bbl_error_set(BBL_EINVAL,
                             "organisation \"%.*s\": a key is empty or longer "
                             "than %d bytes",
                             (int)o->name.size, o->name.ptr,
                             BBL_ORGANISATION_KEY_MAX);
    }
    if (bbl_key_index_add(&r->keys, key, last) ||
        !bbl_key_index_find(&owner, &r->keys, key) || owner == last) {
        return 0;
    }
    other = bbl_routing_organisation(r, owner);
    return bbl_error_set(BBL_EINVAL,
                         "organisations \"%.*s\" and \"%.*s\" have the same "
                         "key",
                         (int)other->name.size, other->name.ptr,
                         (int)o->name.size, o->name.ptr);
}

void
bbl_routing_set_limits(bbl_routing *r, const bbl_caller_limits *limits)
{
    r->limits = *limits;
}

/* ---- validation ---- */

static int
set_route_error(const bbl_route *route, const char *reason)
{
    return bbl_error_set(BBL_EINVAL, "route \"%.*s\": %s",
                         (int)route->name.size, route->name.ptr, reason);
}

static bool
has_duplicate_targets(const bbl_route *route)
{
    bbl_map seen = BBL_MAP_INIT;
    bool repeat = false;

    for (size_t i = 0; i < route->target_count && !repeat; i++) {
        uint64_t key = (uint64_t)route->targets[i].service_index + 1;

        repeat = bbl_map_get(&seen, key) != NULL;
        bbl_map_set(&seen, key, (void *)route);
    }
    bbl_map_free(&seen);
    return repeat;
}

static int
check_targets(const bbl_route *route)
{
    uint64_t weights = 0;

    for (size_t i = 0; i < route->target_count; i++) {
        weights += route->targets[i].weight;
    }
    if (route->target_count == 0) {
        return set_route_error(route, "no service is given");
    }
    if (route->kind == BBL_ROUTE_SPLIT && weights == 0) {
        return set_route_error(route, "the sum of the weights is 0");
    }
    if (route->kind != BBL_ROUTE_SPLIT && has_duplicate_targets(route)) {
        return set_route_error(route, "a service is given twice");
    }
    return 0;
}

static int
check_route(const bbl_route *route)
{
    bbl_str p = route->path_prefix;

    if (route->hostname.size == 0 || route->hostname.size > HOSTNAME_MAX) {
        return set_route_error(
            route, "the host name is empty or longer than 253 bytes");
    }
    if (p.size == 0 || p.ptr[0] != '/' || p.ptr[p.size - 1] != '/') {
        return set_route_error(
            route, "the path prefix must start and end with a slash");
    }
    if (route->timeout_ms == 0) {
        return set_route_error(route, "the timeout is 0");
    }
    if (route->max_attempts == 0) {
        return set_route_error(route, "the maximum number of attempts is 0");
    }
    if (route->kind == BBL_ROUTE_GATHER &&
        (route->min_coverage < 0 || route->min_coverage > 1)) {
        return set_route_error(route,
                               "the minimum coverage is not between 0 and 1");
    }
    return check_targets(route);
}

static const bbl_route *
find_route(const bbl_routing *r, bbl_str hostname, bbl_str prefix)
{
    size_t at = (size_t)bbl_map_get(&r->routes_by_prefix,
                                    hash_route(hostname, prefix));
    const bbl_route *route;

    if (at == 0) {
        return NULL;
    }
    route = bbl_vec_at(&r->routes, at - 1);
    return hostnames_equal(route->hostname, hostname) &&
                   bbl_str_equal(route->path_prefix, prefix)
               ? route
               : NULL;
}

int
bbl_routing_check(bbl_routing *r)
{
    for (size_t i = 0; i < r->routes.size; i++) {
        const bbl_route *route = bbl_vec_at(&r->routes, i);
        int error = check_route(route);

        if (error != 0) {
            return error;
        }
        if (find_route(r, route->hostname, route->path_prefix) != NULL) {
            return set_route_error(
                route, "another route has the same host name and path prefix");
        }
        bbl_map_set(&r->routes_by_prefix,
                    hash_route(route->hostname, route->path_prefix),
                    (void *)(i + 1));
    }
    return 0;
}

/* ---- lookup ---- */

uint64_t
bbl_routing_version(const bbl_routing *r)
{
    return r->version;
}

const bbl_caller_limits *
bbl_routing_limits(const bbl_routing *r)
{
    return &r->limits;
}

const bbl_route *
bbl_routing_route(const bbl_routing *r, size_t i)
{
    return i < r->routes.size ? bbl_vec_at(&r->routes, i) : NULL;
}

size_t
bbl_routing_route_index(const bbl_routing *r, const bbl_route *route)
{
    return (size_t)(route - (const bbl_route *)r->routes.ptr);
}

const bbl_organisation *
bbl_routing_organisation(const bbl_routing *r, size_t i)
{
    return i < r->organisations.size ? bbl_vec_at(&r->organisations, i) : NULL;
}

bool
bbl_routing_has_organisations(const bbl_routing *r)
{
    return r->organisations.size > 0;
}

size_t
bbl_routing_key_count(const bbl_routing *r)
{
    return r->keys.size;
}

/* Returns whether a routing has a key, by its hash, for an organisation. */
static bool
has_key_hash(const bbl_routing *r, const uint8_t *hash, bbl_str name)
{
    uint32_t owner;

    return bbl_key_index_find_hash(&owner, &r->keys, hash) &&
           bbl_str_equal(
               BBL_VEC_AT(bbl_organisation, &r->organisations, owner)->name,
               name);
}

size_t
bbl_routing_count_keys(const bbl_routing *r, size_t i,
                       const bbl_routing *other)
{
    const bbl_organisation *o = bbl_routing_organisation(r, i);
    size_t count = 0;

    for (size_t k = 0; k < r->keys.cap; k++) {
        const bbl_key_slot *slot = &r->keys.slots[k];

        count += slot->owner == i + 1 &&
                 (other == NULL || !has_key_hash(other, slot->hash, o->name));
    }
    return count;
}

const bbl_organisation *
bbl_routing_find_key(const bbl_routing *r, bbl_str key)
{
    uint32_t owner;

    return key.size > 0 && key.size <= BBL_ORGANISATION_KEY_MAX &&
                   bbl_key_index_find(&owner, &r->keys, key)
               ? bbl_routing_organisation(r, owner)
               : NULL;
}

const bbl_service *
bbl_routing_service(const bbl_routing *r, size_t i)
{
    return i < r->services.size ? bbl_vec_at(&r->services, i) : NULL;
}

const bbl_route *
bbl_routing_match(const bbl_routing *r, bbl_str hostname, bbl_str path)
{
    for (size_t n = path.size; n > 0; n--) {
        const bbl_route *route;

        if (path.ptr[n - 1] != '/') {
            continue;
        }
        route = find_route(r, hostname, (bbl_str){path.ptr, n});
        if (route != NULL) {
            return route;
        }
    }
    return NULL;
}
