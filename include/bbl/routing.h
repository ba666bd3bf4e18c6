/*
 * routing.h - one version of the routing: which requests go to which
 * services, by host name and path, and what callers may send.
 *
 * A routing is built with the _add functions, checked once with
 * bbl_routing_check and then only read; any number of threads may read it.
 */
#ifndef BBL_ROUTING_H
#define BBL_ROUTING_H

#include "bbl/types.h"

#define BBL_ROUTING_ROUTES_MAX 100000
#define BBL_ROUTING_SERVICES_MAX 65536

/* What a route does with a request. */
typedef enum {
    BBL_ROUTE_FORWARD, /* to one backend server of one service */
    BBL_ROUTE_SPLIT,   /* the same, the service drawn by weight */
    BBL_ROUTE_GATHER   /* to one backend server of every shard, merged */
} bbl_route_kind;

/* One service of a route. */
typedef struct {
    uint32_t service_index; /* index into the services */
    uint32_t weight;        /* of BBL_ROUTE_SPLIT */
} bbl_route_target;

typedef struct {
    bbl_str name;
    bbl_str hostname;
    bbl_str path_prefix; /* begins and ends with a slash */
    bbl_route_kind kind;
    bool idempotent;
    uint32_t timeout_ms; /* the longest that a caller is kept waiting */
    uint32_t
        target_latency_ms; /* latency within which an answer is most use */
    uint32_t priority;     /* 0 goes first */
    uint32_t max_attempts; /* backend servers, for each shard of a gather */
    bbl_route_target *targets;
    size_t target_count;
    uint32_t top_k;      /* of BBL_ROUTE_GATHER: records in an answer */
    double min_coverage; /* and the least share of shards in it */
} bbl_route;

typedef struct {
    bbl_str name;
    bbl_str health_path;
    uint32_t max_connections; /* that one backend server takes, of all hosts */
    uint32_t warmup_ms;       /* length of a cold start */
    double warmup_per_s;      /* requests a second that a cold one bears */
} bbl_service;

/* What a caller may send. */
typedef struct {
    uint32_t max_header_bytes;
    uint32_t max_body_bytes;
    uint32_t header_timeout_ms; /* until the whole request head is there */
    uint32_t idle_timeout_ms;   /* of a connection between two requests */
} bbl_caller_limits;

typedef struct bbl_routing bbl_routing;

/*
 * Makes an empty routing.
 *
 * @param version number of the version, greater than that of any before it
 */
bbl_routing *bbl_routing_new(uint64_t version);

/* Frees a routing; NULL is allowed. */
void bbl_routing_free(bbl_routing *routing);

/*
 * Adds a service; the strings are copied.
 *
 * @return 0, or BBL_EINVAL naming a duplicate or an empty name
 */
int bbl_routing_add_service(bbl_routing *routing, const bbl_service *service);

/*
 * Adds a route without targets; the strings are copied.
 *
 * @param out set to the route, valid until the next one is added
 */
int bbl_routing_add_route(bbl_route **out, bbl_routing *routing,
                          const bbl_route *route);

/*
 * Adds a service to the last route added.
 *
 * @return 0, or BBL_EINVAL when no such service was added
 */
int bbl_routing_add_target(bbl_routing *routing, bbl_str service,
                           uint32_t weight);

void bbl_routing_set_limits(bbl_routing *routing,
                            const bbl_caller_limits *limits);

/*
 * Checks the whole and builds its index.
 *
 * @return 0, or BBL_EINVAL with a message naming the route and the reason
 */
int bbl_routing_check(bbl_routing *routing);

uint64_t bbl_routing_version(const bbl_routing *routing);
const bbl_caller_limits *bbl_routing_limits(const bbl_routing *routing);

/* Returns route or service `i`, or NULL past the last. */
const bbl_route *bbl_routing_route(const bbl_routing *routing, size_t i);
const bbl_service *bbl_routing_service(const bbl_routing *routing, size_t i);

/* Returns the index of a route that this routing returned. */
size_t bbl_routing_route_index(const bbl_routing *routing,
                               const bbl_route *route);

/*
 * Finds the route with the longest prefix.
 *
 * @param hostname without a port; case does not matter
 * @param path     up to the query string
 * @return the route, or NULL
 */
const bbl_route *bbl_routing_match(const bbl_routing *routing,
                                   bbl_str hostname, bbl_str path);

#endif
