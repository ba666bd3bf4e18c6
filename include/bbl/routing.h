/*
 * routing.h - one version of the routing: the services that requests are sent
 * to, selected by host name and path, the organisations whose keys callers
 * present, and the limits for callers.
 *
 * A routing is filled with the _add_ functions and validated once with
 * bbl_routing_check. It must not change after that; any number of threads may
 * then read it.
 */
#ifndef BBL_ROUTING_H
#define BBL_ROUTING_H

#include "bbl/types.h"

#define BBL_ROUTING_ROUTES_MAX 100000
#define BBL_ROUTING_SERVICES_MAX 65536
#define BBL_ROUTING_ORGANISATIONS_MAX 65536
#define BBL_ORGANISATION_NAME_MAX 127 /* bytes */
#define BBL_ORGANISATION_KEY_MAX 256  /* bytes */

/* How a route selects backend servers for a request. */
typedef enum {
    BBL_ROUTE_FORWARD, /* one backend server of one service */
    BBL_ROUTE_SPLIT,   /* one backend server of a service drawn by weight */
    BBL_ROUTE_GATHER   /* one backend server per shard; merges the results */
} bbl_route_kind;

/* One service of a route; a shard, if the route is a BBL_ROUTE_GATHER. */
typedef struct {
    uint32_t service_index; /* see bbl_routing_service */
    uint32_t weight;        /* for BBL_ROUTE_SPLIT */
} bbl_route_target;

typedef struct {
    bbl_str name;
    bbl_str hostname;
    bbl_str path_prefix; /* starts and ends with a slash */
    bbl_route_kind kind;
    bool is_public;             /* callers need no key */
    bool idempotent;            /* requests may be executed more than once */
    uint32_t timeout_ms;        /* maximum time until the caller is answered */
    uint32_t target_latency_ms; /* desired maximum time until the answer */
    uint32_t priority;          /* 0 is the most urgent */
    uint32_t max_attempts;      /* per request, or per shard of a gather */
    bbl_route_target *targets;
    size_t target_count;
    uint32_t top_k;      /* BBL_ROUTE_GATHER: maximum records in an answer */
    double min_coverage; /* BBL_ROUTE_GATHER: minimum share of shards */
} bbl_route;

typedef struct {
    bbl_str name;
    bbl_str health_path;
    uint32_t max_connections; /* to one backend server, from all hosts */
    uint32_t warmup_ms;       /* duration of the warm-up after a cold start */
    double warmup_per_s;      /* requests per second during the warm-up */
} bbl_service;

/* A customer of the operator. Its callers present one of its keys. */
typedef struct {
    bbl_str name;
    bool has_priority;
    uint32_t priority; /* instead of that of the route; 0 is the most urgent */
    double rate_per_s; /* requests per second at all hosts; 0: no limit */
    double burst;      /* requests */
} bbl_organisation;

/* Limits for the connections and requests of callers. */
typedef struct {
    uint32_t max_header_bytes;
    uint32_t max_body_bytes;
    uint32_t header_timeout_ms; /* for receiving a complete request head */
    uint32_t idle_timeout_ms;   /* of a connection without progress */
} bbl_caller_limits;

typedef struct bbl_routing bbl_routing;

/*
 * Creates an empty routing, to be freed with bbl_routing_free.
 *
 * @param version version number, greater than that of all earlier routings
 */
bbl_routing *bbl_routing_new(uint64_t version);

/* Frees a routing; NULL is allowed. */
void bbl_routing_free(bbl_routing *routing);

/*
 * Adds a service. Copies the strings.
 *
 * @return 0, or BBL_EINVAL if the name is empty or a duplicate, or if there
 *         are BBL_ROUTING_SERVICES_MAX services already
 */
int bbl_routing_add_service(bbl_routing *routing, const bbl_service *service);

/*
 * Adds a route without targets; those of `route` are ignored. Copies the
 * strings.
 *
 * @param out set to the new route, valid until the next one is added
 * @return 0, or BBL_EINVAL if there are BBL_ROUTING_ROUTES_MAX routes already
 */
int bbl_routing_add_route(bbl_route **out, bbl_routing *routing,
                          const bbl_route *route);

/*
 * Adds a target to the route that was added last; there must be one.
 *
 * @param service name of a service of this routing
 * @return 0, or BBL_EINVAL if the service is unknown
 */
int bbl_routing_add_target(bbl_routing *routing, bbl_str service,
                           uint32_t weight);

/*
 * Adds an organisation without keys. Copies the name.
 *
 * @return 0, or BBL_EINVAL if the name is empty, longer than
 *         BBL_ORGANISATION_NAME_MAX, a duplicate, or cannot be the value of a
 *         header field, or if there are BBL_ROUTING_ORGANISATIONS_MAX already
 */
int bbl_routing_add_organisation(bbl_routing *routing,
                                 const bbl_organisation *organisation);

/*
 * Adds a key to the organisation that was added last; there must be one. Only
 * a hash of the key is kept.
 *
 * @return 0, or BBL_EINVAL if the key is empty, longer than
 *         BBL_ORGANISATION_KEY_MAX, or belongs to another organisation. The
 *         message names the organisations, but not the key.
 */
int bbl_routing_add_key(bbl_routing *routing, bbl_str key);

void bbl_routing_set_limits(bbl_routing *routing,
                            const bbl_caller_limits *limits);

/*
 * Validates all routes and indexes them for bbl_routing_match. Call it once.
 *
 * @return 0, or BBL_EINVAL with a message that names the route and the reason
 */
int bbl_routing_check(bbl_routing *routing);

uint64_t bbl_routing_version(const bbl_routing *routing);
const bbl_caller_limits *bbl_routing_limits(const bbl_routing *routing);

/* Return route or service `i`, or NULL past the last one. */
const bbl_route *bbl_routing_route(const bbl_routing *routing, size_t i);
const bbl_service *bbl_routing_service(const bbl_routing *routing, size_t i);

/* Returns organisation `i`, or NULL past the last one. */
const bbl_organisation *bbl_routing_organisation(const bbl_routing *routing,
                                                 size_t i);

/* Returns whether callers need a key, except for public routes. */
bool bbl_routing_has_organisations(const bbl_routing *routing);

/* Returns the number of keys of all organisations. */
size_t bbl_routing_key_count(const bbl_routing *routing);

/*
 * Returns the number of keys of organisation `i`. With `other`, only those are
 * counted that the organisation of this name does not have there.
 */
size_t bbl_routing_count_keys(const bbl_routing *routing, size_t i,
                              const bbl_routing *other);

/* Returns the organisation of a key, or NULL if the key is unknown. */
const bbl_organisation *bbl_routing_find_key(const bbl_routing *routing,
                                             bbl_str key);

/* Returns the organisation of a name, or NULL. */
const bbl_organisation *
bbl_routing_find_organisation(const bbl_routing *routing, bbl_str name);

/* Returns the index of `route`, which must belong to this routing. */
size_t bbl_routing_route_index(const bbl_routing *routing,
                               const bbl_route *route);

/*
 * Returns the route of a host name with the longest prefix of a path, or NULL.
 *
 * @param hostname without the port; case-insensitive
 * @param path     without the query string
 */
const bbl_route *bbl_routing_match(const bbl_routing *routing,
                                   bbl_str hostname, bbl_str path);

#endif
