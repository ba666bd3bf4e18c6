/*
 * world.h - the searchers that the stand-in plays: their slots, cold starts,
 * index versions and faults, and the violations it counts by itself.
 * All functions are called under the stand-in's lock.
 */
#ifndef BBL_TOOL_WORLD_H
#define BBL_TOOL_WORLD_H

#include "bbl/types.h"
#include "util/buf.h"
#include "util/map.h"
#include "util/rng.h"

#define WORLD_VERSIONS_MAX 4
#define WORLD_SHARDS_MAX 8
#define WORLD_ZONES 3

/* One index version at one searcher. */
typedef struct {
    uint64_t version;
    unsigned total;
    unsigned first; /* first shard of the service */
    unsigned count;
} world_index;

typedef struct {
    unsigned id;
    char service[32];
    unsigned zone; /* 1 to WORLD_ZONES */
    unsigned port;
    unsigned slots;
    unsigned connections;
    unsigned open_us;
    uint64_t boot;
    bool leaving;
    bbl_usec leaving_since;
    bbl_usec down_until;
    bool gone; /* lost for good: answers nothing */
    bool cold;
    unsigned cold_done; /* completions since the cold start */
    unsigned running;
    unsigned open;        /* connections */
    bbl_usec turned_cold; /* when it last turned without a new boot */
    world_index indexes[WORLD_VERSIONS_MAX];
    unsigned index_count;
} world_searcher;

/* What the stand-in counts; all since the last reset. */
typedef struct {
    uint64_t searches;
    uint64_t completed;
    uint64_t cancelled;
    uint64_t late;
    uint64_t sheds;
    uint64_t over_slots;
    uint64_t over_connections;
    uint64_t over_cold;     /* more at once than a cold searcher bears */
    uint64_t falls;         /* fell over while cold */
    uint64_t after_leaving; /* new work later than the allowed time */
    uint64_t second_runs;   /* of a request that may not be repeated */
    uint64_t gone_version;
    uint64_t zone_searches[WORLD_ZONES + 1];
    bbl_usec zone_last[WORLD_ZONES + 1]; /* last new work, absolute */
    uint64_t busy_us;
} world_counts;

typedef struct {
    world_searcher *searchers;
    unsigned count;
    unsigned total_slots;
    bbl_rng rng;
    double service_us; /* mean of an exponential distribution */
    double straggle;   /* fraction that takes longer */
    bbl_usec straggle_us;
    bbl_usec zone_delay_us; /* one way, between data centres */
    world_counts counts;
    bbl_map once; /* hash of text and shard -> 1 */
    bbl_usec started;
} world;

typedef struct {
    const char *profile; /* association, vatuwaqa or demo */
    unsigned base_port;
    uint64_t seed;
    double service_us;
    double straggle;
    bbl_usec straggle_us;
    bool warm; /* searchers start warm */
} world_options;

/* Builds a profile; returns 0 or BBL_EINVAL. */
int world_init(world *w, const world_options *options, bbl_usec now);
void world_free(world *w);

/* What happens to a search that has arrived. */
typedef enum {
    WORLD_RUN,
    WORLD_SHED,
    WORLD_LEAVING,
    WORLD_NO_VERSION,
    WORLD_DOWN
} world_verdict;

/* One search as it arrives. */
typedef struct {
    unsigned shard;
    uint64_t version;
    bool once;
    bbl_str text;
} world_search;

/*
 * Admits a search and occupies a slot.
 *
 * @param service_us set to the time that it will run
 */
world_verdict world_arrive(world *w, world_searcher *s, bbl_usec now,
                           const world_search *search, bbl_usec *service_us);

/* Frees the slot of a search that ran from `began`. */
void world_leave(world *w, world_searcher *s, bbl_usec now, bbl_usec began,
                 bool completed);

/*
 * Carries out one fault command, such as "cold 5"; see docs/TOOLS.md.
 *
 * @return 0 or BBL_EINVAL
 */
int world_fault(world *w, bbl_usec now, const char *command);

/* Appends the info page of a searcher. */
void world_info(const world_searcher *s, bbl_buf *out);

/* Appends the platform's list. */
void world_platform(const world *w, bbl_buf *out);

/* Appends the counts as one JSON object. */
void world_stats(const world *w, bbl_usec now, bbl_buf *out);

#endif
