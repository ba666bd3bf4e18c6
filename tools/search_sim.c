#include "search_sim.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "util/alloc.h"

#define COLD_COMPLETIONS 30 /* answers until a cold searcher is warm */
#define COLD_STEP 2         /* answers for each further request at once */
#define COLD_SLOWDOWN 2.0
#define DOWN_US (2 * BBL_USEC_PER_SEC)
#define LEAVING_ALLOWED_US (3 * BBL_USEC_PER_SEC)
#define TURN_ALLOWED_US (100 * BBL_USEC_PER_MS) /* to notice a turn */

/* A group of services with the same shape. */
typedef struct {
    const char *name;
    unsigned services;
    unsigned searchers; /* of each service */
    unsigned slots;
    unsigned connections;
    unsigned open_us;
} group;

typedef struct {
    const char *name;
    bbl_usec zone_delay_us;
    group groups[4];
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
add_searcher(world *w, const search_sim_options *o, const group *g,
             unsigned service, unsigned replica, unsigned shard,
             unsigned total)
{
    search_sim_searcher *s = &w->searchers[w->count];

    snprintf(s->service, sizeof(s->service), "%s-%02u", g->name, service + 1);
    s->id = ++w->count;
    s->zone = 1 + (shard + replica) % SEARCH_SIM_ZONES;
    s->port = o->base_port + s->id;
    s->slots = g->slots;
    s->connections = g->connections;
    s->open_us = g->open_us;
    s->boot = bbl_rng_next(&w->rng) | 1;
    s->cold = !o->warm;
    s->index_count = 1;
    s->indexes[0] = (search_sim_index){1, total, shard, 1};
    w->total_slots += g->slots;
}

int
search_sim_init(world *w, const search_sim_options *o, bbl_usec now)
{
    const profile *p = NULL;
    unsigned total = 0;
    unsigned searchers = 0;
    unsigned shard = 0;

    memset(w, 0, sizeof(*w));
    for (size_t i = 0; i < sizeof(profiles) / sizeof(profiles[0]); i++) {
        p = strcmp(profiles[i].name, o->profile) == 0 ? &profiles[i] : p;
    }
    if (p == NULL) {
        return bbl_error_set(BBL_EINVAL, "no profile %s", o->profile);
    }
    for (int i = 0; i < 4; i++) {
        total += p->groups[i].services;
        searchers += p->groups[i].services * p->groups[i].searchers;
    }
    w->rng.state = o->seed;
    w->service_us = o->service_us;
    w->straggle = o->straggle;
    w->straggle_us = o->straggle_us;
    w->zone_delay_us = p->zone_delay_us;
    w->started = now;
    w->searchers = bbl_calloc(searchers, sizeof(*w->searchers));
    for (int i = 0; i < 4; i++) {
        for (unsigned v = 0; v < p->groups[i].services; v++, shard++) {
            for (unsigned r = 0; r < p->groups[i].searchers; r++) {
                add_searcher(w, o, &p->groups[i], v, r, shard, total);
            }
        }
    }
    return 0;
}

void
search_sim_free(world *w)
{
    free(w->searchers);
    bbl_map_free(&w->once);
}

/* ---- searches ---- */

static const search_sim_index *
index_of(const search_sim_searcher *s, uint64_t version, unsigned shard)
{
    for (unsigned i = 0; i < s->index_count; i++) {
        const search_sim_index *x = &s->indexes[i];

        if (x->version == version && shard >= x->first &&
            shard < x->first + x->count) {
            return x;
        }
    }
    return NULL;
}

/* Returns how many searches a cold searcher bears at once. */
static unsigned
cold_limit(const search_sim_searcher *s)
{
    unsigned limit = 1 + s->cold_done / COLD_STEP;

    return limit < s->slots ? limit : s->slots;
}

static void
fall_over(world *w, search_sim_searcher *s, bbl_usec now)
{
    w->counts.falls++;
    s->boot = bbl_rng_next(&w->rng) | 1;
    s->down_until = now + DOWN_US;
    s->cold = true;
    s->cold_done = 0;
}

static void
count_once(world *w, const search_sim_request *search)
{
    uint64_t key =
        bbl_hash(search->text.ptr, search->text.size, search->shard);

    if (bbl_map_get(&w->once, key) != NULL) {
        w->counts.second_runs++;
    }
    bbl_map_set(&w->once, key, w);
}

static bbl_usec
sample_service(world *w, const search_sim_searcher *s)
{
    double us = -log(1.0 - bbl_rng_unit(&w->rng)) * w->service_us;

    if (s->cold) {
        us *= COLD_SLOWDOWN;
    }
    if (bbl_rng_unit(&w->rng) < w->straggle) {
        us += (double)w->straggle_us;
    }
    return (bbl_usec)us + 1;
}

search_sim_verdict
search_sim_admit(world *w, search_sim_searcher *s, bbl_usec now,
                 const search_sim_request *search, bbl_usec *service_us)
{
    bool noticed =
        s->turned_cold == 0 || now > s->turned_cold + TURN_ALLOWED_US;

    w->counts.searches++;
    w->counts.zone_searches[s->zone]++;
    w->counts.zone_last[s->zone] = now;
    if (s->gone || now < s->down_until) {
        return SEARCH_SIM_DOWN;
    }
    if (s->leaving) {
        if (now > s->leaving_since + LEAVING_ALLOWED_US) {
            w->counts.after_leaving++;
        }
        return SEARCH_SIM_LEAVING;
    }
    if (index_of(s, search->version, search->shard) == NULL) {
        w->counts.gone_version++;
        return SEARCH_SIM_NO_VERSION;
    }
    if (s->running >= s->slots) {
        w->counts.over_slots++;
        w->counts.sheds++;
        return SEARCH_SIM_SHED;
    }
    if (s->cold && s->running >= cold_limit(s) && noticed) {
        w->counts.over_cold++;
        w->counts.sheds++;
        if (s->running > cold_limit(s)) {
            fall_over(w, s, now);
        }
        return SEARCH_SIM_SHED;
    }
    if (search->once) {
        count_once(w, search);
    }
    s->running++;
    *service_us = sample_service(w, s);
    return SEARCH_SIM_RUN;
}

void
search_sim_finish(world *w, search_sim_searcher *s, bbl_usec now,
                  bbl_usec began, bool completed)
{
    s->running--;
    w->counts.busy_us += now - began;
    if (!completed) {
        return;
    }
    w->counts.completed++;
    if (s->cold && ++s->cold_done >= COLD_COMPLETIONS) {
        s->cold = false;
        s->turned_cold = 0;
    }
}

/* ---- faults ---- */

static void
restart_searcher(world *w, search_sim_searcher *s, bbl_usec now)
{
    s->boot = bbl_rng_next(&w->rng) | 1;
    s->cold = true;
    s->cold_done = 0;
    s->turned_cold = now;
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
drop_index(search_sim_searcher *s, uint64_t version)
{
    for (unsigned i = 0; i < s->index_count; i++) {
        if (s->indexes[i].version == version) {
            s->indexes[i] = s->indexes[--s->index_count];
            return;
        }
    }
}

/* Gives one searcher the next version; `split` doubles the shards. */
static void
roll(search_sim_searcher *s, uint64_t version, unsigned split)
{
    search_sim_index x = s->indexes[s->index_count - 1];

    x.version = version;
    x.total *= split;
    x.first *= split;
    x.count *= split;
    add_index(s, &x);
}

static void
leave(search_sim_searcher *s, bbl_usec now)
{
    s->leaving = true;
    s->leaving_since = now;
}

/* Commands with one searcher, or 0 for all. */
static int
fault_one(world *w, search_sim_searcher *s, bbl_usec now, const char *verb,
          unsigned long long arg)
{
    if (strcmp(verb, "cold") == 0) {
        s->cold = true;
        s->cold_done = 0;
        s->turned_cold = now;
    }
    else if (strcmp(verb, "warm") == 0) {
        s->cold = false;
    }
    else if (strcmp(verb, "restart") == 0) {
        restart_searcher(w, s, now);
    }
    else if (strcmp(verb, "leave") == 0) {
        leave(s, now);
    }
    else if (strcmp(verb, "return") == 0) {
        restart_searcher(w, s, now);
    }
    else if (strcmp(verb, "lose") == 0) {
        s->gone = true;
    }
    else if (strcmp(verb, "find") == 0) {
        s->gone = false;
        restart_searcher(w, s, now);
    }
    else if (strcmp(verb, "roll") == 0) {
        roll(s, arg, 1);
    }
    else if (strcmp(verb, "repartition") == 0) {
        roll(s, arg, 2);
    }
    else if (strcmp(verb, "drop") == 0) {
        drop_index(s, arg);
    }
    else {
        return bbl_error_set(BBL_EINVAL, "no fault %s", verb);
    }
    return 0;
}

static void
lose_tenth(world *w)
{
    for (unsigned i = 0; i + 1 < w->count; i++) {
        /* One replica of every tenth shard. */
        if (w->searchers[i].indexes[0].first % 10 == 0 &&
            (i == 0 || w->searchers[i - 1].indexes[0].first !=
                           w->searchers[i].indexes[0].first)) {
            w->searchers[i].gone = true;
        }
    }
}

int
search_sim_inject_fault(world *w, bbl_usec now, const char *command)
{
    char verb[32] = "";
    unsigned id = 0;
    unsigned long long arg = 0;
    int error = 0;

    if (sscanf(command, "%31s %u %llu", verb, &id, &arg) < 1 ||
        id > w->count) {
        return bbl_error_set(BBL_EINVAL, "a fault is VERB SEARCHER [ARG]");
    }
    if (strcmp(verb, "reset") == 0) {
        memset(&w->counts, 0, sizeof(w->counts));
        return 0;
    }
    if (strcmp(verb, "lose-tenth") == 0) {
        lose_tenth(w);
        return 0;
    }
    for (unsigned i = 0; error == 0 && i < w->count; i++) {
        if (id == 0 || w->searchers[i].id == id) {
            error = fault_one(w, &w->searchers[i], now, verb, arg);
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
                       i ? "," : "", (unsigned long long)x->version, x->total,
                       x->first, x->count);
        for (unsigned k = 0; k < x->count; k++) {
            bbl_buf_printf(out, "%s%u", k ? "," : "", x->first + k);
        }
        bbl_buf_append_cstr(out, "]}");
    }
    bbl_buf_append_cstr(out, "]}");
}

void
search_sim_append_list(const world *w, bbl_buf *out)
{
    bbl_buf_append_cstr(out, "{\"searchers\":[");
    for (unsigned i = 0; i < w->count; i++) {
        const search_sim_searcher *s = &w->searchers[i];

        bbl_buf_printf(out,
                       "%s{\"id\":%u,\"service\":\"%s\","
                       "\"data_centre\":\"dc%u\","
                       "\"address\":\"127.0.0.1:%u\",\"slots\":%u,"
                       "\"connections\":%u,\"state\":\"%s\"}",
                       i ? "," : "", s->id, s->service, s->zone, s->port,
                       s->slots, s->connections,
                       s->leaving ? "leaving" : "live");
    }
    bbl_buf_append_cstr(out, "]}");
}

void
search_sim_append_stats(const world *w, bbl_usec now, bbl_buf *out)
{
    const search_sim_counters *c = &w->counts;

    bbl_buf_printf(
        out,
        "{\"searchers\":%u,\"slots\":%u,\"searches\":%llu,"
        "\"completed\":%llu,\"cancelled\":%llu,\"late\":%llu,"
        "\"sheds\":%llu,\"over_slots\":%llu,\"over_connections\":%llu,"
        "\"over_cold\":%llu,\"falls\":%llu,\"after_leaving\":%llu,"
        "\"second_runs\":%llu,\"gone_version\":%llu,\"busy_us\":%llu,",
        w->count, w->total_slots, (unsigned long long)c->searches,
        (unsigned long long)c->completed, (unsigned long long)c->cancelled,
        (unsigned long long)c->late, (unsigned long long)c->sheds,
        (unsigned long long)c->over_slots,
        (unsigned long long)c->over_connections,
        (unsigned long long)c->over_cold, (unsigned long long)c->falls,
        (unsigned long long)c->after_leaving,
        (unsigned long long)c->second_runs,
        (unsigned long long)c->gone_version, (unsigned long long)c->busy_us);
    bbl_buf_append_cstr(out, "\"zones\":[");
    for (unsigned z = 1; z <= SEARCH_SIM_ZONES; z++) {
        bbl_usec ago = c->zone_last[z] ? now - c->zone_last[z] : 0;

        bbl_buf_printf(out,
                       "%s{\"data_centre\":\"dc%u\",\"searches\":%llu,"
                       "\"last_ms_ago\":%llu}",
                       z > 1 ? "," : "", z,
                       (unsigned long long)c->zone_searches[z],
                       (unsigned long long)(ago / 1000));
    }
    bbl_buf_append_cstr(out, "]}\n");
}
