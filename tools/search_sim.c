#include "search_sim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "util/alloc.h"

/* Completed searches until a cold searcher is warm. */
#define COLD_COMPLETIONS 30

/* Completed searches that raise a cold searcher's limit by one. */
#define COLD_COMPLETIONS_PER_SLOT 2

#define COLD_SLOWDOWN 2.0
#define COLD_CRASH_DOWN_US (2 * BBL_USEC_PER_SEC)

/* Time for the tier to stop sending searches to a leaving searcher. */
#define LEAVING_GRACE_US (3 * BBL_USEC_PER_SEC)

/* Time for the tier to notice that a searcher has turned cold. */
#define COLD_GRACE_US (100 * BBL_USEC_PER_MS)

/* A number of services whose searchers have the same properties. */
typedef struct {
    const char *name;
    unsigned service_count;
    unsigned replicas; /* searchers of each service */
    unsigned slots;
    unsigned max_connections;
    unsigned connect_us;
} service_group;

typedef struct {
    const char *name;
    bbl_usec zone_delay_us;
    service_group groups[4];
} profile;

static const profile profiles[] = {
    {"association",
     1000,
     {{"portal", 20, 2, 2, 25, 6000},
      {"billing", 30, 2, 2, 25, 6000},
      {"app", 1, 5, 6, 100, 1000},
      {"console", 1, 3, 6, 100, 1000}}},
    {"vatuwaqa",
     500,
     {{"stock", 20, 2, 3, 30, 6000},
      {"ledger", 30, 2, 3, 30, 6000},
      {"manifest", 1, 10, 6, 50, 1000},
      {"rostering", 1, 4, 6, 50, 1000}}},
    {"demo", 1000, {{"demo", 6, 2, 2, 25, 6000}}},
};

static void
add_searcher(search_sim *sim, const search_sim_options *o,
             const service_group *g, unsigned service, unsigned replica,
             unsigned shard, unsigned total)
{
    search_sim_searcher *s = &sim->searchers[sim->searcher_count];

    snprintf(s->service, sizeof(s->service), "%s-%02u", g->name, service + 1);
    s->id = ++sim->searcher_count;
    s->zone = 1 + (shard + replica) % SEARCH_SIM_ZONES;
    s->port = o->base_port + s->id;
    s->slots = g->slots;
    s->max_connections = g->max_connections;
    s->connect_us = g->connect_us;
    s->boot = bbl_rng_next(&sim->rng) | 1;
    s->cold = !o->warm;
    s->index_count = 1;
    s->indexes[0] = (search_sim_index){1, total, shard, 1};
    sim->total_slots += g->slots;
}

int
search_sim_init(search_sim *sim, const search_sim_options *o, bbl_usec now)
{
    const profile *p = NULL;
    unsigned total = 0;
    unsigned searchers = 0;
    unsigned shard = 0;

    memset(sim, 0, sizeof(*sim));
    for (size_t i = 0; i < sizeof(profiles) / sizeof(profiles[0]); i++) {
        p = strcmp(profiles[i].name, o->profile) == 0 ? &profiles[i] : p;
    }
    if (p == NULL) {
        return bbl_error_set(BBL_EINVAL, "unknown profile %s", o->profile);
    }
    for (int i = 0; i < 4; i++) {
        total += p->groups[i].service_count;
        searchers += p->groups[i].service_count * p->groups[i].replicas;
    }
    sim->rng.state = o->seed;
    sim->service_us = o->service_us;
    sim->straggle_fraction = o->straggle_fraction;
    sim->straggle_us = o->straggle_us;
    sim->zone_delay_us = p->zone_delay_us;
    sim->started_at = now;
    sim->searchers = bbl_calloc(searchers, sizeof(*sim->searchers));
    for (int i = 0; i < 4; i++) {
        for (unsigned v = 0; v < p->groups[i].service_count; v++, shard++) {
            for (unsigned r = 0; r < p->groups[i].replicas; r++) {
                add_searcher(sim, o, &p->groups[i], v, r, shard, total);
            }
        }
    }
    return 0;
}

void
search_sim_free(search_sim *sim)
{
    free(sim->searchers);
    bbl_map_free(&sim->executed_once);
}

/* ---- searches ---- */

static const search_sim_index *
find_index(const search_sim_searcher *s, uint64_t version, unsigned shard)
{
    for (unsigned i = 0; i < s->index_count; i++) {
        const search_sim_index *x = &s->indexes[i];

        if (x->version == version && shard >= x->first_shard &&
            shard < x->first_shard + x->shard_count) {
            return x;
        }
    }
    return NULL;
}

/* Returns how many searches a cold searcher admits at once. */
static unsigned
cold_limit(const search_sim_searcher *s)
{
    unsigned limit = 1 + s->cold_completions / COLD_COMPLETIONS_PER_SLOT;

    return limit < s->slots ? limit : s->slots;
}

static void
crash_cold_searcher(search_sim *sim, search_sim_searcher *s, bbl_usec now)
{
    sim->counters.cold_crashes++;
    s->boot = bbl_rng_next(&sim->rng) | 1;
    s->down_until = now + COLD_CRASH_DOWN_US;
    s->cold = true;
    s->cold_completions = 0;
}

static void
record_execution(search_sim *sim, const search_sim_request *search)
{
    uint64_t key = bbl_hash(search->query_text.ptr, search->query_text.size,
                            search->shard);

    if (bbl_map_get(&sim->executed_once, key) != NULL) {
        sim->counters.second_runs++;
    }
    bbl_map_set(&sim->executed_once, key, sim);
}

static bbl_usec
sample_service_time(search_sim *sim, const search_sim_searcher *s)
{
    double us = -log(1.0 - bbl_rng_unit(&sim->rng)) * sim->service_us;

    if (s->cold) {
        us *= COLD_SLOWDOWN;
    }
    if (bbl_rng_unit(&sim->rng) < sim->straggle_fraction) {
        us += (double)sim->straggle_us;
    }
    return (bbl_usec)us + 1;
}

search_sim_verdict
search_sim_admit(search_sim *sim, search_sim_searcher *s, bbl_usec now,
                 const search_sim_request *search, bbl_usec *service_us)
{
    bool past_cold_grace =
        s->made_cold_at == 0 || now > s->made_cold_at + COLD_GRACE_US;

    sim->counters.searches++;
    sim->counters.zone_searches[s->zone]++;
    sim->counters.zone_last_search[s->zone] = now;
    if (s->lost || now < s->down_until) {
        return SEARCH_SIM_DOWN;
    }
    if (s->leaving) {
        if (now > s->leaving_since + LEAVING_GRACE_US) {
            sim->counters.after_leaving++;
        }
        return SEARCH_SIM_LEAVING;
    }
    if (find_index(s, search->version, search->shard) == NULL) {
        sim->counters.missing_version++;
        return SEARCH_SIM_NO_VERSION;
    }
    if (s->running_searches >= s->slots) {
        sim->counters.over_slots++;
        sim->counters.sheds++;
        return SEARCH_SIM_SHED;
    }
    if (s->cold && s->running_searches >= cold_limit(s) && past_cold_grace) {
        sim->counters.over_cold++;
        sim->counters.sheds++;
        if (s->running_searches > cold_limit(s)) {
            crash_cold_searcher(sim, s, now);
        }
        return SEARCH_SIM_SHED;
    }
    if (search->run_once) {
        record_execution(sim, search);
    }
    s->running_searches++;
    *service_us = sample_service_time(sim, s);
    return SEARCH_SIM_RUN;
}

void
search_sim_finish(search_sim *sim, search_sim_searcher *s, bbl_usec now,
                  bbl_usec began, bool completed)
{
    s->running_searches--;
    sim->counters.busy_us += now - began;
    if (!completed) {
        return;
    }
    sim->counters.completed++;
    if (s->cold && ++s->cold_completions >= COLD_COMPLETIONS) {
        s->cold = false;
        s->made_cold_at = 0;
    }
}

/* ---- faults ---- */

static void
restart_searcher_cold(search_sim *sim, search_sim_searcher *s, bbl_usec now)
{
    s->boot = bbl_rng_next(&sim->rng) | 1;
    s->cold = true;
    s->cold_completions = 0;
    s->made_cold_at = now;
    s->leaving = false;
}

static void
add_index(search_sim_searcher *s, const search_sim_index *x)
{
    for (unsigned i = 0; i < s->index_count; i++) {
        if (s->indexes[i].version == x->version) {
            return;
        }
    }
    if (s->index_count < SEARCH_SIM_VERSIONS_MAX) {
        s->indexes[s->index_count++] = *x;
    }
}

static void
remove_index(search_sim_searcher *s, uint64_t version)
{
    for (unsigned i = 0; i < s->index_count; i++) {
        if (s->indexes[i].version == version) {
            s->indexes[i] = s->indexes[--s->index_count];
            return;
        }
    }
}

/*
 * Adds an index version to a searcher. Each shard of its newest version is
 * split into `split` shards.
 */
static void
install_version(search_sim_searcher *s, uint64_t version, unsigned split)
{
    search_sim_index x = s->indexes[s->index_count - 1];

    x.version = version;
    x.total_shards *= split;
    x.first_shard *= split;
    x.shard_count *= split;
    add_index(s, &x);
}

static void
start_leaving(search_sim_searcher *s, bbl_usec now)
{
    s->leaving = true;
    s->leaving_since = now;
}

/* Carries out a fault command on one searcher. */
static int
inject_searcher_fault(search_sim *sim, search_sim_searcher *s, bbl_usec now,
                      const char *verb, unsigned long long arg)
{
    if (strcmp(verb, "cold") == 0) {
        s->cold = true;
        s->cold_completions = 0;
        s->made_cold_at = now;
    }
    else if (strcmp(verb, "warm") == 0) {
        s->cold = false;
    }
    else if (strcmp(verb, "restart") == 0) {
        restart_searcher_cold(sim, s, now);
    }
    else if (strcmp(verb, "leave") == 0) {
        start_leaving(s, now);
    }
    else if (strcmp(verb, "return") == 0) {
        restart_searcher_cold(sim, s, now);
    }
    else if (strcmp(verb, "lose") == 0) {
        s->lost = true;
    }
    else if (strcmp(verb, "find") == 0) {
        s->lost = false;
        restart_searcher_cold(sim, s, now);
    }
    else if (strcmp(verb, "roll") == 0) {
        install_version(s, arg, 1);
    }
    else if (strcmp(verb, "repartition") == 0) {
        install_version(s, arg, 2);
    }
    else if (strcmp(verb, "drop") == 0) {
        remove_index(s, arg);
    }
    else {
        return bbl_error_set(BBL_EINVAL, "unknown fault %s", verb);
    }
    return 0;
}

static void
lose_tenth_of_shards(search_sim *sim)
{
    for (unsigned i = 0; i + 1 < sim->searcher_count; i++) {
        /* The first replica of every tenth shard. */
        if (sim->searchers[i].indexes[0].first_shard % 10 == 0 &&
            (i == 0 || sim->searchers[i - 1].indexes[0].first_shard !=
                           sim->searchers[i].indexes[0].first_shard)) {
            sim->searchers[i].lost = true;
        }
    }
}

int
search_sim_inject_fault(search_sim *sim, bbl_usec now, const char *command)
{
    char verb[32] = "";
    unsigned id = 0;
    unsigned long long arg = 0;
    int error = 0;

    if (sscanf(command, "%31s %u %llu", verb, &id, &arg) < 1 ||
        id > sim->searcher_count) {
        return bbl_error_set(BBL_EINVAL,
                             "a fault command must be VERB SEARCHER [ARG]");
    }
    if (strcmp(verb, "reset") == 0) {
        memset(&sim->counters, 0, sizeof(sim->counters));
        return 0;
    }
    if (strcmp(verb, "lose-tenth") == 0) {
        lose_tenth_of_shards(sim);
        return 0;
    }
    for (unsigned i = 0; error == 0 && i < sim->searcher_count; i++) {
        if (id == 0 || sim->searchers[i].id == id) {
            error =
                inject_searcher_fault(sim, &sim->searchers[i], now, verb, arg);
        }
    }
    return error;
}

/* ---- pages ---- */

void
search_sim_append_info(const search_sim_searcher *s, bbl_buf *out)
{
    bbl_buf_printf(out, "{\"boot\":\"%llx\",\"leaving\":%s,\"indexes\":[",
                   (unsigned long long)s->boot, s->leaving ? "true" : "false");
    for (unsigned i = 0; i < s->index_count; i++) {
        const search_sim_index *x = &s->indexes[i];

        bbl_buf_printf(out,
                       "%s{\"version\":%llu,\"total\":%u,\"first\":%u,"
                       "\"count\":%u,\"shards\":[",
                       i ? "," : "", (unsigned long long)x->version,
                       x->total_shards, x->first_shard, x->shard_count);
        for (unsigned k = 0; k < x->shard_count; k++) {
            bbl_buf_printf(out, "%s%u", k ? "," : "", x->first_shard + k);
        }
        bbl_buf_append_cstr(out, "]}");
    }
    bbl_buf_append_cstr(out, "]}");
}

void
search_sim_append_list(const search_sim *sim, bbl_buf *out)
{
    bbl_buf_append_cstr(out, "{\"searchers\":[");
    for (unsigned i = 0; i < sim->searcher_count; i++) {
        const search_sim_searcher *s = &sim->searchers[i];

        bbl_buf_printf(out,
                       "%s{\"id\":%u,\"service\":\"%s\","
                       "\"data_centre\":\"dc%u\","
                       "\"address\":\"127.0.0.1:%u\",\"slots\":%u,"
                       "\"connections\":%u,\"state\":\"%s\"}",
                       i ? "," : "", s->id, s->service, s->zone, s->port,
                       s->slots, s->max_connections,
                       s->leaving ? "leaving" : "live");
    }
    bbl_buf_append_cstr(out, "]}");
}

void
search_sim_append_stats(const search_sim *sim, bbl_usec now, bbl_buf *out)
{
    const search_sim_counters *c = &sim->counters;

    bbl_buf_printf(
        out,
        "{\"searchers\":%u,\"slots\":%u,\"searches\":%llu,"
        "\"completed\":%llu,\"cancelled\":%llu,\"late\":%llu,"
        "\"sheds\":%llu,\"over_slots\":%llu,\"over_connections\":%llu,"
        "\"over_cold\":%llu,\"falls\":%llu,\"after_leaving\":%llu,"
        "\"second_runs\":%llu,\"gone_version\":%llu,\"busy_us\":%llu,",
        sim->searcher_count, sim->total_slots, (unsigned long long)c->searches,
        (unsigned long long)c->completed, (unsigned long long)c->cancelled,
        (unsigned long long)c->late, (unsigned long long)c->sheds,
        (unsigned long long)c->over_slots,
        (unsigned long long)c->over_connections,
        (unsigned long long)c->over_cold, (unsigned long long)c->cold_crashes,
        (unsigned long long)c->after_leaving,
        (unsigned long long)c->second_runs,
        (unsigned long long)c->missing_version,
        (unsigned long long)c->busy_us);
    bbl_buf_append_cstr(out, "\"zones\":[");
    for (unsigned z = 1; z <= SEARCH_SIM_ZONES; z++) {
        bbl_usec ago =
            c->zone_last_search[z] ? now - c->zone_last_search[z] : 0;

        bbl_buf_printf(out,
                       "%s{\"data_centre\":\"dc%u\",\"searches\":%llu,"
                       "\"last_ms_ago\":%llu}",
                       z > 1 ? "," : "", z,
                       (unsigned long long)c->zone_searches[z],
                       (unsigned long long)(ago / 1000));
    }
    bbl_buf_append_cstr(out, "]}\n");
}
