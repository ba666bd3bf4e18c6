/*
 * version_behaviour.h - how the simulated servers of one version answer. A bad
 * version answers a share of its requests with failures or slowly, from a
 * moment or under a condition that is stated on the command line.
 */
#ifndef BBL_TOOLS_VERSION_BEHAVIOUR_H
#define BBL_TOOLS_VERSION_BEHAVIOUR_H

#include "bbl/types.h"
#include "util/rng.h"

/* When a version is bad. */
typedef enum {
    VERSION_GOOD,
    VERSION_BAD_AT_ONCE,
    VERSION_BAD_LATE,  /* some time after its first request */
    VERSION_BAD_ROUTE, /* requests whose path has a prefix */
    VERSION_BAD_LOAD,  /* while it has many requests in progress */
    VERSION_TRIGGERS
} version_trigger;

/* How one request is answered. */
typedef enum {
    VERSION_ANSWERS,
    VERSION_FAILS,
    VERSION_IS_SLOW
} version_effect;

typedef struct {
    char version[32];
    version_trigger trigger;
    bbl_usec good_for;    /* VERSION_BAD_LATE: time from the first request */
    char path[64];        /* VERSION_BAD_ROUTE: prefix */
    unsigned bad_from;    /* VERSION_BAD_LOAD: least requests in progress */
    unsigned bad_percent; /* share of the requests while it is bad */
    double slow_factor;   /* multiple of the service time; 0: they fail */
    bool started;         /* whether it has had a request */
    bbl_usec first_at;    /* time of its first request */
    unsigned in_progress; /* requests at all servers of the version */
} version_behaviour;

/*
 * Parses "VERSION=KIND[,NAME=VALUE...]". KIND is good, bad-at-once, bad-late,
 * bad-route or bad-load. The names are share (per cent), slow (multiple of the
 * service time, 1 or more; without it requests fail), after-s (bad-late), path
 * (bad-route) and requests (bad-load).
 *
 * @return 0 or BBL_EINVAL
 */
int version_behaviour_parse(version_behaviour *out, const char *text);

/* Starts a request, and returns how it is to be answered. */
version_effect version_behaviour_start(version_behaviour *b, bbl_rng *rng,
                                       bbl_usec now, bbl_str path);

/* Ends a request that was started, answered or not. */
void version_behaviour_end(version_behaviour *b);

#endif
