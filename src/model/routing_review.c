#include "model/routing_review.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "util/buf.h"

/* Characters that no host name or path of a request has. */
#define NOT_IN_HOSTNAME ":/?# \t"
#define NOT_IN_PATH "?# \t"

typedef struct {
    const bbl_review_sink *sink;
    size_t count;
} review;

static void report(review *v, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
report(review *v, const char *fmt, ...)
{
    char text[512];
    va_list args;

    va_start(args, fmt);
    vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    v->count++;
    v->sink->report(v->sink->ctx, text);
}

#define STR(s) (int)(s).size, (s).ptr

static bool
has_any_of(bbl_str s, const char *chars)
{
    for (size_t i = 0; i < s.size; i++) {
        if (strchr(chars, s.ptr[i]) != NULL) {
            return true;
        }
    }
    return false;
}

/* ---- entries without effect, limits that contradict each other ---- */

static void
review_route(review *v, const bbl_routing *r, const bbl_route *route)
{
    if (has_any_of(route->hostname, NOT_IN_HOSTNAME)) {
        report(v,
               "route \"%.*s\": never matches: the host name \"%.*s\" has a "
               "port or a character that no host name has",
               STR(route->name), STR(route->hostname));
    }
    if (has_any_of(route->path_prefix, NOT_IN_PATH)) {
        report(v,
               "route \"%.*s\": never matches: the prefix \"%.*s\" has a "
               "character that no path has",
               STR(route->name), STR(route->path_prefix));
    }
    for (size_t i = 0;
         route->kind == BBL_ROUTE_SPLIT && i < route->target_count; i++) {
        if (route->targets[i].weight == 0) {
            report(v, "route \"%.*s\": service \"%.*s\" has weight 0",
                   STR(route->name),
                   STR(bbl_routing_service(r, route->targets[i].service_index)
                           ->name));
        }
    }
    if (route->target_latency_ms > route->timeout_ms) {
        report(v,
               "route \"%.*s\": the target of %u ms is longer than the "
               "timeout of %u ms",
               STR(route->name), route->target_latency_ms, route->timeout_ms);
    }
    if (route->kind == BBL_ROUTE_GATHER && route->top_k == 0) {
        report(v, "route \"%.*s\": merged answers hold no record",
               STR(route->name));
    }
    if (route->kind == BBL_ROUTE_GATHER && route->min_coverage <= 0) {
        report(v, "route \"%.*s\": one shard is enough for an answer",
               STR(route->name));
    }
    if (route->is_public && !bbl_routing_has_organisations(r)) {
        report(v,
               "route \"%.*s\": public without effect, as there are no "
               "organisations",
               STR(route->name));
    }
}

static bool
is_used(const bbl_routing *r, size_t service)
{
    const bbl_route *route;

    for (size_t i = 0; (route = bbl_routing_route(r, i)) != NULL; i++) {
        for (size_t k = 0; k < route->target_count; k++) {
            if (route->targets[k].service_index == service) {
                return true;
            }
        }
    }
    return false;
}

static void
review_organisation(review *v, const bbl_routing *r, size_t i)
{
    const bbl_organisation *o = bbl_routing_organisation(r, i);

    if (bbl_routing_count_keys(r, i, NULL) == 0) {
        report(v, "organisation \"%.*s\": has no key, so nobody is it",
               STR(o->name));
    }
    if (o->rate_per_s <= 0 && o->burst > 0) {
        report(v, "organisation \"%.*s\": a burst without a rate is no limit",
               STR(o->name));
    }
    if (o->rate_per_s > 0 && o->burst < 1) {
        report(v,
               "organisation \"%.*s\": the burst of %.2f admits no whole "
               "request",
               STR(o->name), o->burst);
    }
}

size_t
bbl_routing_review(const bbl_routing *r, const bbl_review_sink *sink)
{
    review v = {sink, 0};
    const bbl_caller_limits *l = bbl_routing_limits(r);
    const bbl_route *route;
    const bbl_service *s;

    for (size_t i = 0; (route = bbl_routing_route(r, i)) != NULL; i++) {
        review_route(&v, r, route);
    }
    for (size_t i = 0; (s = bbl_routing_service(r, i)) != NULL; i++) {
        if (!is_used(r, i)) {
            report(&v, "service \"%.*s\": no route uses it", STR(s->name));
        }
    }
    for (size_t i = 0; bbl_routing_organisation(r, i) != NULL; i++) {
        review_organisation(&v, r, i);
    }
    if (l->max_header_bytes == 0) {
        report(&v, "limits: no request has a head of 0 bytes");
    }
    if (l->header_timeout_ms > l->idle_timeout_ms) {
        report(&v,
               "limits: a head may take %u ms, but a connection may be idle "
               "for %u ms only",
               l->header_timeout_ms, l->idle_timeout_ms);
    }
    return v.count;
}

/* ---- differences ---- */

static const bbl_route *
find_route(const bbl_routing *r, bbl_str name)
{
    const bbl_route *route;

    for (size_t i = 0; (route = bbl_routing_route(r, i)) != NULL; i++) {
        if (bbl_str_equal(route->name, name)) {
            return route;
        }
    }
    return NULL;
}

static const bbl_service *
find_service(const bbl_routing *r, bbl_str name)
{
    const bbl_service *s;

    for (size_t i = 0; (s = bbl_routing_service(r, i)) != NULL; i++) {
        if (bbl_str_equal(s->name, name)) {
            return s;
        }
    }
    return NULL;
}

static bool
has_same_targets(const bbl_routing *a, const bbl_route *x,
                 const bbl_routing *b, const bbl_route *y)
{
    if (x->kind != y->kind || x->target_count != y->target_count) {
        return false;
    }
    for (size_t i = 0; i < x->target_count; i++) {
        const bbl_service *s =
            bbl_routing_service(a, x->targets[i].service_index);
        const bbl_service *t =
            bbl_routing_service(b, y->targets[i].service_index);

        if (!bbl_str_equal(s->name, t->name) ||
            x->targets[i].weight != y->targets[i].weight) {
            return false;
        }
    }
    return true;
}

static void
compare_number(review *v, const char *kind, bbl_str name, const char *field,
               double before, double after)
{
    if (before != after) {
        report(v, "%s \"%.*s\": %s %g, was %g", kind, STR(name), field, after,
               before);
    }
}

static void
compare_routes(review *v, const bbl_routing *a, const bbl_route *x,
               const bbl_routing *b, const bbl_route *y)
{
    if (!bbl_str_equal(x->hostname, y->hostname) ||
        !bbl_str_equal(x->path_prefix, y->path_prefix)) {
        report(v, "route \"%.*s\": for %.*s%.*s, was for %.*s%.*s",
               STR(y->name), STR(y->hostname), STR(y->path_prefix),
               STR(x->hostname), STR(x->path_prefix));
    }
    if (!has_same_targets(a, x, b, y)) {
        report(v, "route \"%.*s\": other services, %zu in place of %zu",
               STR(y->name), y->target_count, x->target_count);
    }
    compare_number(v, "route", y->name, "public", x->is_public, y->is_public);
    compare_number(v, "route", y->name, "repeatable", x->idempotent,
                   y->idempotent);
    compare_number(v, "route", y->name, "timeout in ms", x->timeout_ms,
                   y->timeout_ms);
    compare_number(v, "route", y->name, "target in ms", x->target_latency_ms,
                   y->target_latency_ms);
    compare_number(v, "route", y->name, "priority", x->priority, y->priority);
    compare_number(v, "route", y->name, "attempts", x->max_attempts,
                   y->max_attempts);
    compare_number(v, "route", y->name, "records", x->top_k, y->top_k);
    compare_number(v, "route", y->name, "least coverage", x->min_coverage,
                   y->min_coverage);
}

static void
compare_services(review *v, const bbl_service *x, const bbl_service *y)
{
    if (!bbl_str_equal(x->health_path, y->health_path)) {
        report(v, "service \"%.*s\": health path \"%.*s\", was \"%.*s\"",
               STR(y->name), STR(y->health_path), STR(x->health_path));
    }
    compare_number(v, "service", y->name, "connections", x->max_connections,
                   y->max_connections);
    compare_number(v, "service", y->name, "cold start in ms", x->warmup_ms,
                   y->warmup_ms);
    compare_number(v, "service", y->name, "requests a second while cold",
                   x->warmup_per_s, y->warmup_per_s);
}

static void
compare_organisations(review *v, const bbl_routing *a, const bbl_routing *b,
                      size_t i)
{
    const bbl_organisation *y = bbl_routing_organisation(b, i);
    const bbl_organisation *x = bbl_routing_find_organisation(a, y->name);
    size_t at = 0;
    size_t added;
    size_t removed;

    if (x == NULL) {
        report(v, "organisation \"%.*s\": added, with %zu keys", STR(y->name),
               bbl_routing_count_keys(b, i, NULL));
        return;
    }
    while (bbl_routing_organisation(a, at) != x) {
        at++;
    }
    added = bbl_routing_count_keys(b, i, a);
    removed = bbl_routing_count_keys(a, at, b);
    if (added + removed > 0) {
        report(v, "organisation \"%.*s\": %zu keys added, %zu removed",
               STR(y->name), added, removed);
    }
    compare_number(v, "organisation", y->name, "requests a second",
                   x->rate_per_s, y->rate_per_s);
    compare_number(v, "organisation", y->name, "burst", x->burst, y->burst);
    /* -1: that of the route */
    compare_number(v, "organisation", y->name, "priority",
                   x->has_priority ? x->priority : -1.0,
                   y->has_priority ? y->priority : -1.0);
}

size_t
bbl_routing_compare(const bbl_routing *a, const bbl_routing *b,
                    const bbl_review_sink *sink)
{
    review v = {sink, 0};
    const bbl_caller_limits *la = bbl_routing_limits(a);
    const bbl_caller_limits *lb = bbl_routing_limits(b);
    const bbl_str callers = {"callers", 7};
    const bbl_route *route;
    const bbl_service *s;
    const bbl_organisation *o;

    for (size_t i = 0; (route = bbl_routing_route(b, i)) != NULL; i++) {
        const bbl_route *x = find_route(a, route->name);

        if (x == NULL) {
            report(&v, "route \"%.*s\": added, for %.*s%.*s", STR(route->name),
                   STR(route->hostname), STR(route->path_prefix));
        }
        else {
            compare_routes(&v, a, x, b, route);
        }
    }
    for (size_t i = 0; (route = bbl_routing_route(a, i)) != NULL; i++) {
        if (find_route(b, route->name) == NULL) {
            report(&v, "route \"%.*s\": removed", STR(route->name));
        }
    }
    for (size_t i = 0; (s = bbl_routing_service(b, i)) != NULL; i++) {
        const bbl_service *x = find_service(a, s->name);

        if (x == NULL) {
            report(&v, "service \"%.*s\": added", STR(s->name));
        }
        else {
            compare_services(&v, x, s);
        }
    }
    for (size_t i = 0; (s = bbl_routing_service(a, i)) != NULL; i++) {
        if (find_service(b, s->name) == NULL) {
            report(&v, "service \"%.*s\": removed", STR(s->name));
        }
    }
    for (size_t i = 0; bbl_routing_organisation(b, i) != NULL; i++) {
        compare_organisations(&v, a, b, i);
    }
    for (size_t i = 0; (o = bbl_routing_organisation(a, i)) != NULL; i++) {
        if (bbl_routing_find_organisation(b, o->name) == NULL) {
            report(&v, "organisation \"%.*s\": removed", STR(o->name));
        }
    }
    compare_number(&v, "limits of", callers, "head in bytes",
                   la->max_header_bytes, lb->max_header_bytes);
    compare_number(&v, "limits of", callers, "body in bytes",
                   la->max_body_bytes, lb->max_body_bytes);
    compare_number(&v, "limits of", callers, "head in ms",
                   la->header_timeout_ms, lb->header_timeout_ms);
    compare_number(&v, "limits of", callers, "idle in ms", la->idle_timeout_ms,
                   lb->idle_timeout_ms);
    return v.count;
}
