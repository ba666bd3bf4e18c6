/*
 * world.h - the searchers that the stand-in plays: their slots, cold starts,
 * index versions and faults, and the violations it counts by itself.
 * All functions are called under the stand-in's lock.
 */
#ifndef BBL_TOOL_SEARCH_SIM_H
#define BBL_TOOL_SEARCH_SIM_H

#include "bbl/types.h"
#include "util/buf.h"
#include "util/map.h"
#include "util/rng.h"

#define SEARCH_SIM_VERSIONS_MAX 4
#define SEARCH_SIM_SHARDS_MAX 8
#define SEARCH_SIM_ZONES 3

/* One index version at one searcher. */
typedef struct {
    uint64_t version;
    unsigned total;
    unsigned first; /* first shard of the service */
    unsigned count;
} search_sim_index;

typedef struct {
    unsigned id;
    char service[32];
    unsigned zone; /* 1 to SEARCH_SIM_ZONES */
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
    search_sim_index indexes[SEARCH_SIM_VERSIONS_MAX];
    unsigned index_count;
} search_sim_searcher;

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
    uint64_t zone_searches[SEARCH_SIM_ZONES + 1];
    bbl_usec zone_last[SEARCH_SIM_ZONES + 1]; /* last new work, absolute */
    uint64_t busy_us;
} search_sim_counters;

typedef struct {
    search_sim_searcher *searchers;
    unsigned count;
    unsigned total_slots;
    bbl_rng rng;
    double service_us; /* mean of an exponential distribution */
    double straggle;   /* fraction that takes longer */
    bbl_usec straggle_us;
    bbl_usec zone_delay_us; /* one way, between data centres */
    search_sim_counters counts;
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
} search_sim_options;

/* Builds a profile; returns 0 or BBL_EINVAL. */
int search_sim_init(world *w, const search_sim_options *options, bbl_usec now);
void search_sim_free(world *w);

/* What happens to a search that has arrived. */
typedef enum {
    SEARCH_SIM_RUN,
    SEARCH_SIM_SHED,
    SEARCH_SIM_LEAVING,
    SEARCH_SIM_NO_VERSION,
    SEARCH_SIM_DOWN
} search_sim_verdict;

/* One search as it arrives. */
typedef struct {
    unsigned shard;
    uint64_t version;
    bool once;
    bbl_str text;
} search_sim_request;

/*
 * Admits a search and occupies a slot.
 *
 * @param service_us set to the time that it will run
 */
search_sim_verdict search_sim_admit(world *w, search_sim_searcher *s,
                                    bbl_usec now,
                                    const search_sim_request *search,
                                    bbl_usec *service_us);

/* Frees the slot of a search that ran from `began`. */
void search_sim_finish(world *w, search_sim_searcher *s, bbl_usec now,
                       bbl_usec began, bool completed);

/*
 * Carries out one fault command, such as "cold 5"; see docs/TOOLS.md.
 *
 * @return 0 or BBL_EINVAL
 */
int search_sim_inject_fault(world *w, bbl_usec now, const char *command);

/* Appends the info page of a searcher. */
void search_sim_append_info(const search_sim_searcher *s, bbl_buf *out);

/* Appends the platform's list. */
void search_sim_append_list(const world *w, bbl_buf *out);

/* Appends the counts as one JSON object. */
void search_sim_append_stats(const world *w, bbl_usec now, bbl_buf *out);

#endif
