#include "bbl/routing.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "bbl/errors.h"
#include "util/alloc.h"
#include "util/map.h"
#include "util/vec.h"

#define HOSTNAME_MAX 253 /* bytes, RFC 1035 without the final dot */

struct bbl_routing {
    uint64_t version;
    GStringChunk *text;    /* of all strings */
    bbl_vec routes;        /* bbl_route, targets owned */
    bbl_vec services;      /* bbl_service */
    bbl_map service_index; /* hash of the name -> index + 1 */
    bbl_map route_index;   /* hash of hostname and prefix -> route index + 1 */
    bbl_caller_limits limits;
};

static bbl_str
keep(bbl_routing *r, bbl_str s)
{
    char *copy =
        g_string_chunk_insert_len(r->text, s.ptr ? s.ptr : "", (gssize)s.size);

    return (bbl_str){copy, s.size};
}

static uint64_t
name_key(bbl_str name)
{
    return bbl_hash(name.ptr, name.size, 21);
}

/* Hashes a host name, folded to lower case, with a path prefix. */
static uint64_t
route_key(bbl_str hostname, bbl_str prefix)
{
    char folded[HOSTNAME_MAX];
    size_t n = hostname.size < HOSTNAME_MAX ? hostname.size : HOSTNAME_MAX;

    for (size_t i = 0; i < n; i++) {
        folded[i] = (char)tolower((unsigned char)hostname.ptr[i]);
    }
    return bbl_hash(prefix.ptr, prefix.size, bbl_hash(folded, n, 22));
}

static bool
same_hostname(bbl_str a, bbl_str b)
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
    bbl_map_free(&r->service_index);
    bbl_map_free(&r->route_index);
    g_string_chunk_free(r->text);
    free(r);
}

static long
find_service(const bbl_routing *r, bbl_str name)
{
    size_t at = (size_t)bbl_map_get(&r->service_index, name_key(name));

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
                             "service %zu \"%.*s\": no name, a name that is "
                             "taken, or too many",
                             r->services.size, (int)service->name.size,
                             service->name.ptr);
    }
    s = bbl_vec_add(&r->services);
    *s = *service;
    s->name = keep(r, service->name);
    s->health_path = keep(r, service->health_path);
    bbl_map_set(&r->service_index, name_key(s->name),
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
    added->name = keep(r, route->name);
    added->hostname = keep(r, route->hostname);
    added->path_prefix = keep(r, route->path_prefix);
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

void
bbl_routing_set_limits(bbl_routing *r, const bbl_caller_limits *limits)
{
    r->limits = *limits;
}

/* ---- checks ---- */

static int
bad_route(const bbl_route *route, const char *reason)
{
    return bbl_error_set(BBL_EINVAL, "route \"%.*s\": %s",
                         (int)route->name.size, route->name.ptr, reason);
}

static bool
targets_repeat(const bbl_route *route)
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
        return bad_route(route, "it names no service");
    }
    if (route->kind == BBL_ROUTE_SPLIT && weights == 0) {
        return bad_route(route, "its weights add up to 0");
    }
    if (route->kind != BBL_ROUTE_SPLIT && targets_repeat(route)) {
        return bad_route(route, "it names a service twice");
    }
    return 0;
}

static int
check_route(const bbl_route *route)
{
    bbl_str p = route->path_prefix;

    if (route->hostname.size == 0 || route->hostname.size > HOSTNAME_MAX) {
        return bad_route(route, "no host name, or one over 253 bytes");
    }
    if (p.size == 0 || p.ptr[0] != '/' || p.ptr[p.size - 1] != '/') {
        return bad_route(route, "a prefix begins and ends with a slash");
    }
    if (route->timeout_ms == 0) {
        return bad_route(route, "its timeout is 0");
    }
    if (route->max_attempts == 0) {
        return bad_route(route, "it allows no attempt");
    }
    if (route->kind == BBL_ROUTE_GATHER &&
        (route->min_coverage < 0 || route->min_coverage > 1)) {
        return bad_route(route, "its least share is not from 0 to 1");
    }
    return check_targets(route);
}

static const bbl_route *
find_route(const bbl_routing *r, bbl_str hostname, bbl_str prefix)
{
    size_t at =
        (size_t)bbl_map_get(&r->route_index, route_key(hostname, prefix));
    const bbl_route *route;

    if (at == 0) {
        return NULL;
    }
    route = bbl_vec_at(&r->routes, at - 1);
    return same_hostname(route->hostname, hostname) &&
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
            return bad_route(route, "another has its host and prefix");
        }
        bbl_map_set(&r->route_index,
                    route_key(route->hostname, route->path_prefix),
                    (void *)(i + 1));
    }
    return 0;
}

/* ---- reading ---- */

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
