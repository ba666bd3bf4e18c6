/*
 * search_sim.h - a simulation of the searchers of a deployment: their slots,
 * cold starts, index versions and faults, and counters of the violations of
 * their limits.
 *
 * The module does no input or output and keeps no clock: each function takes
 * the present time, in microseconds. It takes no locks; the caller must
 * serialise all calls for one simulation.
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

/* The shards of one index version that one searcher holds. */
typedef struct {
    uint64_t version;
    unsigned total_shards; /* of the whole index */
    unsigned first_shard;  /* number of the first shard held */
    unsigned shard_count;  /* number of shards held */
} search_sim_index;

typedef struct {
    unsigned id;
    char service[32];
    unsigned zone; /* 1 to SEARCH_SIM_ZONES */
    unsigned port;
    unsigned slots;           /* searches that may run at once */
    unsigned max_connections; /* that may be open at once */
    unsigned connect_us;      /* delay of a connection's first request */
    uint64_t boot;            /* changes with each restart, never 0 */
    bool leaving;             /* refuses new searches */
    bbl_usec leaving_since;
    bbl_usec down_until; /* end of the down time after a crash; 0 if none */
    bool lost;           /* permanently down; only fault "find" ends it */
    bool cold;
    unsigned cold_completions; /* searches completed since the cold start */
    unsigned running_searches;
    unsigned open_connections;
    bbl_usec made_cold_at; /* by a fault; 0 once it has completed warm-up */
    search_sim_index indexes[SEARCH_SIM_VERSIONS_MAX];
    unsigned index_count;
} search_sim_searcher;

/* Counts since the start or the last fault "reset". */
typedef struct {
    uint64_t searches; /* arrived, whether admitted or not */
    uint64_t completed;
    uint64_t cancelled;
    uint64_t late;             /* stopped at their deadline */
    uint64_t sheds;            /* over_slots plus over_cold */
    uint64_t over_slots;       /* arrived while all slots were busy */
    uint64_t over_connections; /* opened beyond the limit */
    uint64_t over_cold;        /* arrived beyond a cold searcher's limit */
    uint64_t cold_crashes;     /* crashes of cold searchers by overload */
    uint64_t after_leaving;    /* arrived after the grace time of leaving */
    uint64_t second_runs;      /* of requests that may run at most once */
    uint64_t missing_version;  /* for a version or shard not held */
    uint64_t zone_searches[SEARCH_SIM_ZONES + 1];
    /* Time of the last arrival in each zone; 0 if none. */
    bbl_usec zone_last_search[SEARCH_SIM_ZONES + 1];
    uint64_t busy_us; /* sum of the times that slots were held */
} search_sim_counters;

typedef struct {
    search_sim_searcher *searchers;
    unsigned searcher_count;
    unsigned total_slots;
    bbl_rng rng;
    double service_us;        /* mean of an exponential distribution */
    double straggle_fraction; /* of searches that run straggle_us longer */
    bbl_usec straggle_us;
    bbl_usec zone_delay_us; /* one way, between data centres */
    search_sim_counters counters;
    bbl_map executed_once; /* hash of text and shard of run-once searches */
    bbl_usec started_at;
} search_sim;

/* Fields that search_sim has too mean the same. */
typedef struct {
    const char *profile; /* association, vatuwaqa or demo */
    unsigned base_port;  /* searcher N listens on this port plus N */
    uint64_t seed;
    double service_us;
    double straggle_fraction;
    bbl_usec straggle_us;
    bool warm; /* searchers start warm */
} search_sim_options;

/*
 * Creates the searchers of a profile; search_sim_free() releases them.
 *
 * @return 0, or BBL_EINVAL if the profile is unknown
 */
int search_sim_init(search_sim *sim, const search_sim_options *options,
                    bbl_usec now);
void search_sim_free(search_sim *sim);

/* The outcome of a search's arrival at a searcher. */
typedef enum {
    SEARCH_SIM_RUN,        /* admitted */
    SEARCH_SIM_SHED,       /* over the searcher's limit */
    SEARCH_SIM_LEAVING,    /* the searcher leaves */
    SEARCH_SIM_NO_VERSION, /* the version or shard is not held */
    SEARCH_SIM_DOWN        /* the searcher is down or lost */
} search_sim_verdict;

/* One search for one shard. */
typedef struct {
    unsigned shard;
    uint64_t version;
    bool run_once; /* may run at most once */
    bbl_str query_text;
} search_sim_request;

/*
 * Admits or refuses a search that arrives at a searcher. An admitted search
 * holds a slot until search_sim_finish().
 *
 * @param service_us set to the service time of an admitted search
 * @return SEARCH_SIM_RUN if it is admitted, else the reason of the refusal
 */
search_sim_verdict search_sim_admit(search_sim *sim, search_sim_searcher *s,
                                    bbl_usec now,
                                    const search_sim_request *search,
                                    bbl_usec *service_us);

/*
 * Frees the slot of a search that was admitted at `began`.
 *
 * @param completed whether it ran to its end; counts towards the warm-up
 */
void search_sim_finish(search_sim *sim, search_sim_searcher *s, bbl_usec now,
                       bbl_usec began, bool completed);

/*
 * Carries out one fault command, "VERB SEARCHER [ARGUMENT]", such as "cold 5".
 * Searcher 0 stands for all searchers. docs/TOOLS.md lists the commands.
 *
 * @return 0, or BBL_EINVAL if the command is malformed or unknown
 */
int search_sim_inject_fault(search_sim *sim, bbl_usec now,
                            const char *command);

/* Appends the body of a searcher's /info response, a JSON object. */
void search_sim_append_info(const search_sim_searcher *s, bbl_buf *out);

/* Appends the platform's list of searchers, a JSON object. */
void search_sim_append_list(const search_sim *sim, bbl_buf *out);

/* Appends the counters as a JSON object and a newline. */
void search_sim_append_stats(const search_sim *sim, bbl_usec now,
                             bbl_buf *out);

#endif
