#include "traffic_sim.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "policy/dispatch.h"
#include "policy/gather.h"
#include "util/alloc.h"
#include "util/rng.h"

#define HOSTS 3
#define SHARDS 4
#define REPLICAS 2
#define SEARCHERS (SHARDS * REPLICAS)
#define SLOTS 2
#define ZONES 2
#define STEP_US 500u
#define VIEW_DELAY_US 20000u /* maximum, before a host gets a new view */
#define LEASE_US 60000u
#define EXCHANGE_MAX_US 100000u
#define GRACE_US 5000u
#define COLD_ANSWERS_PER_SLOT 2 /* before its limit grows by one */
#define COLD_ANSWERS 12         /* before a searcher is warm */
#define VERSIONS_HELD 3
#define QUERIES_MAX 4096

/* An index version that a searcher holds. */
typedef struct {
    uint64_t version;
    unsigned total; /* shards */
} held_index;

/* One simulated searcher and what the control authority knows of it. */
typedef struct {
    uint64_t boot;
    unsigned shard; /* in the first index version */
    unsigned zone;
    bool leaving;
    bool cold;
    unsigned cold_answers; /* since it turned cold */
    bool restarted; /* it turned cold by a restart; its boot id shows it */
    bbl_usec
        cold_known_at[HOSTS + 1]; /* when each host learned it; 0: not yet */
    unsigned running;
    bbl_usec silent_until;
    bbl_usec break_until;
    bbl_usec slow_until;
    bbl_usec slow_us; /* added to run times until slow_until */
    held_index held[VERSIONS_HELD];
    unsigned held_count;
    uint32_t owner;
    uint32_t next_owner;
    uint64_t epoch;
    bbl_usec takeover_delay_us;
    uint64_t reported_epoch; /* reported_*: from the last report */
    bblx_phase reported_phase;
    uint32_t reported_limit;
    uint64_t reported_boot;
} searcher;

/* One exchange, until its run has ended and its owner was informed. */
typedef struct {
    uint64_t exchange_id;
    uint32_t host;
    uint64_t incarnation;
    unsigned searcher;
    bool arrived;
    bool running;
    bool cancelled;
    bool reported; /* the owner was informed of the outcome */
    bbl_usec started;
    bbl_usec next_event; /* arrival at the searcher, then end of the run */
    bbl_usec report_at;  /* of a broken or silent exchange; 0: at its end */
    bbl_usec deadline;
    unsigned shard;
    uint64_t version;
    uint64_t query_number; /* index into queries */
    bool repeatable;
    bbl_exchange_outcome end_outcome;
    uint64_t boot;
} exchange;

/* A message, or with `from` 0 the response to a claim. */
typedef struct {
    bbl_usec at; /* arrival */
    uint32_t from;
    uint32_t to;
    uint64_t incarnation; /* of the receiver, at the time of sending */
    bbl_buf bytes;
} packet;

/* One daemon; gather, dispatch and view are NULL while it is dead. */
typedef struct {
    bbl_gather *gather;
    bbl_dispatch *dispatch;
    uint64_t incarnation;
    bbl_view *view;
    bbl_view *old_view;
    bbl_usec lease_until;
    bbl_usec paused_until;
    bbl_usec loss_until; /* messages that it sends are lost */
    bbl_usec dead_until;
    bbl_usec renew_at;
    uint64_t view_revision;
    bbl_usec view_at;
} host;

/* What the checks know about a query. */
typedef struct {
    bool used;
    bool answered;
    bool repeatable;
    uint32_t host;
    uint64_t incarnation;
    bbl_usec deadline;
    unsigned runs;         /* sub-requests run, at all searchers */
    bool reported_not_run; /* answered with BBL_ANSWER_NOT_RUN */
    unsigned shard_runs[SHARDS * 4];
} submitted_query;

typedef struct {
    bbl_rng rng;
    bbl_usec now;
    host hosts[HOSTS + 1];
    searcher searchers[SEARCHERS];
    bbl_vec exchanges; /* exchange */
    bbl_vec packets;   /* packet */
    submitted_query queries[QUERIES_MAX];
    unsigned query_count;
    bool zone_out[ZONES];
    bbl_usec zone_out_at[ZONES];
    uint64_t revision;
    uint64_t epoch;
    uint64_t newest_version;
    bbl_lists *lists[2 * ZONES];
    bool violated; /* `violation` holds the first violation */
} simulation;

static char violation[256];

static void
violate(simulation *sim, const char *fmt, ...)
{
    va_list ap;

    if (sim->violated) {
        return;
    }
    sim->violated = true;
    va_start(ap, fmt);
    vsnprintf(violation, sizeof(violation), fmt, ap);
    va_end(ap);
}

const char *
traffic_kind_name(traffic_kind kind)
{
    static const char *const names[TRAFFIC_KIND_COUNT] = {
        "run",  "query",   "burst", "kill",   "pause", "move",
        "cold", "restart", "leave", "silent", "break", "straggle",
        "roll", "split",   "drop",  "zone",   "loss",  "hand",
    };

    return names[kind];
}

/* ---- messages ---- */

typedef struct {
    simulation *sim;
    uint32_t host;
} port_ctx;

static port_ctx contexts[HOSTS + 1];

static void
enqueue_packet(port_ctx *p, uint32_t to, const bblx_message *m)
{
    simulation *sim = p->sim;
    packet *k;

    if (sim->now < sim->hosts[p->host].loss_until && to != p->host) {
        return;
    }
    k = bbl_vec_add(&sim->packets);
    k->at =
        sim->now + (to == p->host ? 1 : 200 + bbl_rng_below(&sim->rng, 800));
    k->from = p->host;
    k->to = to;
    k->incarnation = sim->hosts[to].incarnation;
    if (BBL_XDR_ENCODE(&k->bytes, bblx_message, m) != 0) {
        violate(sim, "a message cannot be encoded");
    }
}

static void
on_gather_send(void *ctx, uint32_t owner, const bblx_sub_request *r)
{
    bblx_message m;

    m.kind = BBLX_SUB_REQUEST;
    m.bblx_message_u.sub_request = *r;
    enqueue_packet(ctx, owner, &m);
}

static void
on_gather_cancel(void *ctx, uint32_t owner, const bblx_sub_cancel *c)
{
    bblx_message m;

    m.kind = BBLX_SUB_CANCEL;
    m.bblx_message_u.sub_cancel = *c;
    enqueue_packet(ctx, owner, &m);
}

static void
on_reply(void *ctx, uint32_t to, const bblx_sub_results *r)
{
    bblx_message m;

    m.kind = BBLX_SUB_RESULTS;
    m.bblx_message_u.sub_results = *r;
    enqueue_packet(ctx, to, &m);
}

static void
deliver_packet(simulation *sim, const packet *k)
{
    host *h = &sim->hosts[k->to];
    bblx_message m;

    memset(&m, 0, sizeof(m));
    if (h->gather == NULL || h->incarnation != k->incarnation ||
        BBL_XDR_DECODE(&m, bblx_message, bbl_buf_str(&k->bytes)) != 0) {
        return;
    }
    switch (m.kind) {
    case BBLX_SUB_REQUEST:
        bbl_dispatch_receive_request(h->dispatch, sim->now, k->from,
                                     &m.bblx_message_u.sub_request);
        break;
    case BBLX_SUB_CANCEL:
        bbl_dispatch_cancel(h->dispatch, sim->now,
                            &m.bblx_message_u.sub_cancel);
        break;
    default:
        bbl_gather_receive_results(h->gather, sim->now, k->from,
                                   &m.bblx_message_u.sub_results);
        break;
    }
    BBL_XDR_FREE(bblx_message, &m);
}

static void
deliver_packets(simulation *sim)
{
    for (size_t i = 0; i < sim->packets.size;) {
        packet k = *BBL_VEC_AT(packet, &sim->packets, i);

        if (k.at > sim->now || sim->now < sim->hosts[k.to].paused_until) {
            i++;
            continue;
        }
        bbl_vec_remove(&sim->packets, i);
        deliver_packet(sim, &k);
        bbl_buf_free(&k.bytes);
    }
}

/* ---- answers ---- */

static void
check_shard(simulation *sim, unsigned number, const bbl_answer *a,
            const bbl_answer_shard *s)
{
    char expected[64];

    snprintf(expected, sizeof(expected), "q%u/v%llu/s%u", number,
             (unsigned long long)a->version, s->shard);
    if (s->body.size != strlen(expected) ||
        memcmp(s->body.ptr, expected, s->body.size) != 0) {
        violate(sim, "query %u has the result \"%.*s\" instead of \"%s\"",
                number, (int)s->body.size, s->body.ptr, expected);
    }
}

static void
check_coverage(simulation *sim, unsigned number, const bbl_answer *a)
{
    size_t answered = 0;

    for (size_t i = 0; a->shards != NULL && i < a->shard_count; i++) {
        const bbl_answer_shard *s = &a->shards[i];

        for (size_t k = 0; k < i; k++) {
            if (a->shards[k].shard == s->shard) {
                violate(sim, "the answer to query %u has shard %u twice",
                        number, s->shard);
            }
        }
        if (s->missing == BBL_MISSING_NONE) {
            answered++;
            check_shard(sim, number, a, s);
        }
    }
    if (answered != a->answered_count) {
        violate(sim, "query %u reports %zu answered shards instead of %zu",
                number, a->answered_count, answered);
    }
}

static void
on_answer(void *ctx, void *token, const bbl_answer *a)
{
    port_ctx *p = ctx;
    simulation *sim = p->sim;
    unsigned number = (unsigned)(uintptr_t)token;
    submitted_query *q = &sim->queries[number];

    if (q->answered) {
        violate(sim, "query %u was answered twice", number);
    }
    q->answered = true;
    check_coverage(sim, number, a);
    if (a->kind == BBL_ANSWER_OK && a->shard_count == 0) {
        violate(sim, "query %u is complete without any shard", number);
    }
    if (a->kind == BBL_ANSWER_NOT_RUN) {
        q->reported_not_run = true;
        if (q->runs > 0) {
            violate(sim, "query %u is reported as not run, but has run",
                    number);
        }
    }
}

static void
on_claim(void *ctx, uint64_t seq, const bbl_name *customer, bbl_str id)
{
    port_ctx *p = ctx;
    packet *k = bbl_vec_add(&p->sim->packets);

    /* See deliver_claims; the bytes hold the sequence number of the query. */
    (void)customer;
    (void)id;
    k->at = p->sim->now + 2000;
    k->from = 0;
    k->to = p->host;
    k->incarnation = p->sim->hosts[p->host].incarnation;
    bbl_buf_append(&k->bytes, &seq, sizeof(seq));
}

static void
deliver_claims(simulation *sim)
{
    for (size_t i = 0; i < sim->packets.size;) {
        packet k = *BBL_VEC_AT(packet, &sim->packets, i);
        host *h = &sim->hosts[k.to];
        uint64_t seq;

        if (k.from != 0 || k.at > sim->now || sim->now < h->paused_until) {
            i++;
            continue;
        }
        bbl_vec_remove(&sim->packets, i);
        memcpy(&seq, k.bytes.ptr, sizeof(seq));
        if (h->gather != NULL && h->incarnation == k.incarnation) {
            bbl_gather_complete_claim(h->gather, sim->now, seq,
                                      BBL_CLAIM_GRANTED, (bbl_str){NULL, 0});
        }
        bbl_buf_free(&k.bytes);
    }
}

/* ---- searchers ---- */

static unsigned
parse_query_number(bbl_str text)
{
    unsigned n = 0;

    sscanf(text.ptr, "q%u", &n);
    return n;
}

static void
on_start(void *ctx, const bbl_exchange *e)
{
    port_ctx *p = ctx;
    simulation *sim = p->sim;
    exchange *x = bbl_vec_add(&sim->exchanges);
    unsigned s = e->searcher - 1;

    x->exchange_id = e->exchange_id;
    x->host = p->host;
    x->incarnation = sim->hosts[p->host].incarnation;
    x->searcher = s;
    x->started = sim->now;
    x->next_event = sim->now + 100 + bbl_rng_below(&sim->rng, 300);
    x->deadline = e->deadline;
    x->shard = e->shard;
    x->version = e->version;
    x->query_number = parse_query_number(e->text);
    x->repeatable = e->repeatable;
    if (sim->zone_out[sim->searchers[s].zone] &&
        sim->now > sim->zone_out_at[sim->searchers[s].zone] + VIEW_DELAY_US +
                       LEASE_US) {
        violate(sim, "a request was sent to the withdrawn data centre %u",
                sim->searchers[s].zone);
    }
    if (sim->now < sim->searchers[s].silent_until) {
        x->report_at = e->deadline + GRACE_US;
        x->end_outcome = BBL_EXCHANGE_TIMED_OUT;
    }
    else if (sim->now < sim->searchers[s].break_until) {
        x->report_at = sim->now + bbl_rng_below(&sim->rng, 5000);
        x->end_outcome = BBL_EXCHANGE_FAILED;
    }
}

static void
on_cancel(void *ctx, uint64_t number, uint32_t id)
{
    port_ctx *p = ctx;
    simulation *sim = p->sim;

    (void)id;
    for (size_t i = 0; i < sim->exchanges.size; i++) {
        exchange *x = bbl_vec_at(&sim->exchanges, i);

        if (x->exchange_id == number && x->host == p->host &&
            x->incarnation == sim->hosts[p->host].incarnation) {
            x->cancelled = true;
        }
    }
}

static void
on_report(void *ctx, const bblx_report *report)
{
    port_ctx *p = ctx;
    searcher *s = &p->sim->searchers[report->searcher - 1];

    if (report->epoch >= s->reported_epoch) {
        s->reported_epoch = report->epoch;
        s->reported_phase = report->phase;
        s->reported_limit = report->limit;
        s->reported_boot = report->boot;
    }
    p->sim->revision++;
}

static unsigned
cold_limit(const searcher *s)
{
    unsigned limit = 1 + s->cold_answers / COLD_ANSWERS_PER_SLOT;

    return s->cold && limit < SLOTS ? limit : SLOTS;
}

static bool
holds(const searcher *s, uint64_t version, unsigned shard)
{
    for (unsigned i = 0; i < s->held_count; i++) {
        unsigned part = s->held[i].total / SHARDS;

        if (s->held[i].version == version && shard / part == s->shard) {
            return true;
        }
    }
    return false;
}

static void
begin_run(simulation *sim, exchange *x)
{
    searcher *s = &sim->searchers[x->searcher];
    submitted_query *q = &sim->queries[x->query_number];
    bbl_usec service = 500 + bbl_rng_below(&sim->rng, 6000);

    x->arrived = true;
    x->boot = s->boot;
    if (s->leaving || !holds(s, x->version, x->shard)) {
        x->end_outcome =
            s->leaving ? BBL_EXCHANGE_LEAVING : BBL_EXCHANGE_VERSION_GONE;
        x->next_event = sim->now;
        return;
    }
    if (s->running >= SLOTS ||
        (s->running >= cold_limit(s) && s->cold_known_at[x->host] != 0 &&
         x->started > s->cold_known_at[x->host])) {
        violate(sim, "searcher %u got %u requests at once while %s",
                x->searcher + 1, s->running + 1, s->cold ? "cold" : "warm");
    }
    if (s->running >= cold_limit(s)) {
        x->end_outcome = BBL_EXCHANGE_REFUSED;
        x->next_event = sim->now;
        return;
    }
    if (sim->now < s->slow_until) {
        service += s->slow_us;
    }
    s->running++;
    x->running = true;
    x->next_event =
        sim->now + service < x->deadline ? sim->now + service : x->deadline;
    q->runs++;
    if (q->reported_not_run) {
        violate(sim, "query %u ran after it was reported as not run",
                (unsigned)x->query_number);
    }
    if (++q->shard_runs[x->shard % (SHARDS * 4)] > 1 && !q->repeatable) {
        violate(sim, "query %u ran twice on shard %u",
                (unsigned)x->query_number, x->shard);
    }
}

static void
end_run(simulation *sim, exchange *x)
{
    searcher *s = &sim->searchers[x->searcher];

    if (!x->running) {
        return;
    }
    x->running = false;
    if (x->boot == s->boot) {
        s->running--;
    }
    if (x->end_outcome == BBL_EXCHANGE_TIMED_OUT ||
        x->end_outcome == BBL_EXCHANGE_FAILED) {
        return;
    }
    x->end_outcome = x->cancelled              ? BBL_EXCHANGE_CANCELLED
                     : x->boot != s->boot      ? BBL_EXCHANGE_FAILED
                     : sim->now >= x->deadline ? BBL_EXCHANGE_DEADLINE_EXCEEDED
                                               : BBL_EXCHANGE_OK;
    if (x->end_outcome == BBL_EXCHANGE_OK && s->cold) {
        s->cold = ++s->cold_answers < COLD_ANSWERS;
    }
}

static void
report_outcome(simulation *sim, exchange *x)
{
    host *h = &sim->hosts[x->host];
    searcher *s = &sim->searchers[x->searcher];
    bbl_exchange_result r = {.outcome = x->end_outcome, .boot = x->boot};
    char body[64];

    x->reported = true;
    if (h->dispatch == NULL || h->incarnation != x->incarnation) {
        return;
    }
    snprintf(body, sizeof(body), "q%u/v%llu/s%u", (unsigned)x->query_number,
             (unsigned long long)x->version, x->shard);
    if (x->end_outcome == BBL_EXCHANGE_OK) {
        r.version = x->version;
        r.body = (bbl_str){body, strlen(body)};
    }
    if (s->cold_known_at[x->host] == 0 &&
        (x->end_outcome == BBL_EXCHANGE_REFUSED ||
         (s->restarted && x->boot == s->boot))) {
        s->cold_known_at[x->host] = sim->now;
    }
    bbl_dispatch_complete_exchange(h->dispatch, sim->now, x->exchange_id, &r);
}

static void
advance_exchange(simulation *sim, exchange *x)
{
    bool owner_paused = sim->now < sim->hosts[x->host].paused_until;

    if (!x->arrived && sim->now >= x->next_event) {
        begin_run(sim, x);
    }
    if (x->running && (sim->now >= x->next_event || x->cancelled)) {
        end_run(sim, x);
    }
    if (x->reported || owner_paused) {
        return;
    }
    if (x->report_at != 0 ? sim->now >= x->report_at
                          : x->arrived && !x->running) {
        exchange copy = *x;

        x->reported = true;
        report_outcome(sim, &copy);
    }
}

static void
advance_exchanges(simulation *sim)
{
    size_t count = sim->exchanges.size;

    /* Outcomes may start exchanges; these advance in the next step. */
    for (size_t i = 0; i < count; i++) {
        advance_exchange(sim, bbl_vec_at(&sim->exchanges, i));
    }
    for (size_t i = sim->exchanges.size; i > 0; i--) {
        exchange *x = bbl_vec_at(&sim->exchanges, i - 1);
        bool gone = sim->hosts[x->host].incarnation != x->incarnation;

        if (x->arrived && !x->running && (x->reported || gone)) {
            bbl_vec_swap_remove(&sim->exchanges, i - 1);
        }
    }
}

/* ---- control authority ---- */

static void
update_info(simulation *sim, host *h, unsigned s)
{
    searcher *x = &sim->searchers[s];
    bblx_index indexes[VERSIONS_HELD];
    u_int shards[VERSIONS_HELD][4];
    bbl_searcher_info info = {x->boot, x->leaving, indexes, x->held_count};

    for (unsigned i = 0; i < x->held_count; i++) {
        unsigned part = x->held[i].total / SHARDS;

        memset(&indexes[i], 0, sizeof(indexes[i]));
        indexes[i].number = x->held[i].version;
        indexes[i].total = x->held[i].total;
        indexes[i].first = x->shard * part;
        indexes[i].count = part;
        indexes[i].shards.shards_len = part;
        indexes[i].shards.shards_val = shards[i];
        for (unsigned k = 0; k < part; k++) {
            shards[i][k] = x->shard * part + k;
        }
    }
    if (x->restarted && x->cold_known_at[x->owner] == 0) {
        x->cold_known_at[x->owner] = sim->now;
    }
    bbl_dispatch_update_info(h->dispatch, sim->now, s + 1, &info);
}

static void
add_searcher(simulation *sim, bbl_view *view, unsigned s)
{
    searcher *x = &sim->searchers[s];
    bblx_assign a;
    bblx_report r;
    bblx_index indexes[VERSIONS_HELD];
    u_int shards[VERSIONS_HELD][4];

    memset(&a, 0, sizeof(a));
    memset(&r, 0, sizeof(r));
    a.place.searcher = s + 1;
    a.place.zone = (bblx_name){3, x->zone ? "dc1" : "dc0"};
    a.place.service = (bblx_name){1, "s"};
    a.place.slots = SLOTS;
    a.owner = x->owner;
    a.incarnation = sim->hosts[x->owner].incarnation;
    a.epoch = x->epoch;
    a.takeover_delay_us = (u_int)x->takeover_delay_us;
    r.searcher = s + 1;
    a.next_owner = x->next_owner;
    r.epoch = x->reported_epoch;
    r.boot = x->reported_boot;
    r.phase = x->reported_phase;
    r.limit = x->reported_limit;
    r.indexes.indexes_len = x->held_count;
    r.indexes.indexes_val = indexes;
    for (unsigned i = 0; i < x->held_count; i++) {
        unsigned part = x->held[i].total / SHARDS;

        memset(&indexes[i], 0, sizeof(indexes[i]));
        indexes[i].number = x->held[i].version;
        indexes[i].total = x->held[i].total;
        indexes[i].shards.shards_len = part;
        indexes[i].shards.shards_val = shards[i];
        for (unsigned k = 0; k < part; k++) {
            shards[i][k] = x->shard * part + k;
        }
    }
    bbl_view_add_searcher(view, &a, x->reported_epoch ? &r : NULL);
}

static bbl_view *
create_view(simulation *sim)
{
    bbl_view *view = bbl_view_new(sim->revision);
    unsigned lists =
        (sim->zone_out[0] ? 1u : 0u) + (sim->zone_out[1] ? 2u : 0u);

    bbl_view_set_lists(view, sim->lists[lists]);
    for (unsigned s = 0; s < SEARCHERS; s++) {
        add_searcher(sim, view, s);
    }
    for (uint32_t h = 1; h <= HOSTS; h++) {
        bblx_member_row m;

        memset(&m, 0, sizeof(m));
        m.host = h;
        m.incarnation = sim->hosts[h].incarnation;
        m.live = sim->now >= sim->hosts[h].dead_until;
        m.zone = (bblx_name){3, "dc0"};
        bbl_view_add_member(view, &m);
    }
    bbl_view_finish(view);
    return view;
}

/* Gives a host the newest view, the state of its searchers and a lease. */
static void
renew_lease(simulation *sim, uint32_t n)
{
    host *h = &sim->hosts[n];

    if (h->view_revision != sim->revision) {
        bbl_view *view = create_view(sim);

        bbl_gather_set_view(h->gather, sim->now, view);
        bbl_dispatch_set_view(h->dispatch, sim->now, view);
        bbl_view_free(h->view);
        h->view = view;
        h->view_revision = sim->revision;
    }
    for (unsigned s = 0; s < SEARCHERS; s++) {
        if (sim->searchers[s].owner == n) {
            update_info(sim, h, s);
        }
    }
    h->lease_until = sim->now + LEASE_US;
    bbl_dispatch_set_lease(h->dispatch, h->lease_until);
    h->renew_at = sim->now + bbl_rng_below(&sim->rng, VIEW_DELAY_US);
}

static void
assign_searcher(simulation *sim, unsigned s, uint32_t owner,
                bbl_usec takeover_delay)
{
    sim->searchers[s].owner = owner;
    sim->searchers[s].next_owner = 0;
    sim->searchers[s].epoch = ++sim->epoch;
    sim->searchers[s].takeover_delay_us = takeover_delay;
    sim->revision++;
}

/* Completes handovers, and reassigns searchers of dead hosts without a lease.
 */
static void
reassign_searchers(simulation *sim)
{
    for (unsigned s = 0; s < SEARCHERS; s++) {
        uint32_t owner = sim->searchers[s].owner;
        const host *h = &sim->hosts[owner];
        searcher *x = &sim->searchers[s];

        if (x->next_owner != 0 && x->reported_epoch == x->epoch &&
            x->reported_phase == BBLX_RELEASED) {
            assign_searcher(sim, s, x->next_owner, 0);
        }
        else if (sim->now > h->lease_until && sim->now < h->dead_until) {
            assign_searcher(sim, s, owner % HOSTS + 1, EXCHANGE_MAX_US);
        }
    }
}

/* ---- hosts ---- */

static void
start_host(simulation *sim, uint32_t n)
{
    host *h = &sim->hosts[n];
    bbl_gather_options g = BBL_GATHER_OPTIONS_INIT;
    bbl_dispatch_options d = BBL_DISPATCH_OPTIONS_INIT;

    contexts[n] = (port_ctx){sim, n};
    h->incarnation++;
    g.host = n;
    g.incarnation = h->incarnation;
    g.seed = bbl_rng_next(&sim->rng);
    g.hedge_budget_ppm = 300000;
    g.retry_budget_ppm = 300000;
    g.suspect_after = 20 * BBL_USEC_PER_MS;
    g.port.send = on_gather_send;
    g.port.cancel = on_gather_cancel;
    g.port.claim = on_claim;
    g.port.answer = on_answer;
    g.port.ctx = &contexts[n];
    bbl_gather_new(&h->gather, &g);
    d.host = n;
    d.incarnation = h->incarnation;
    d.exchange_max = EXCHANGE_MAX_US;
    d.busy_factor = n % 2; /* both settings are simulated */
    d.port.start = on_start;
    d.port.cancel = on_cancel;
    d.port.reply = on_reply;
    d.port.report = on_report;
    d.port.ctx = &contexts[n];
    bbl_dispatch_new(&h->dispatch, &d);
    h->view_revision = 0;
    h->renew_at = sim->now;
    sim->revision++;
}

static void
stop_host(simulation *sim, uint32_t n)
{
    host *h = &sim->hosts[n];

    bbl_gather_free(h->gather);
    bbl_dispatch_free(h->dispatch);
    bbl_view_free(h->view);
    h->gather = NULL;
    h->dispatch = NULL;
    h->view = NULL;
    for (unsigned i = 1; i <= sim->query_count; i++) {
        if (sim->queries[i].host == n &&
            sim->queries[i].incarnation == h->incarnation) {
            sim->queries[i].answered =
                true; /* its caller lost the connection */
        }
    }
}

static void
kill_host(simulation *sim, uint32_t n)
{
    if (sim->hosts[n].gather == NULL) {
        return;
    }
    stop_host(sim, n);
    sim->hosts[n].dead_until = sim->now + 150000;
    sim->revision++;
}

static void
tick_host(simulation *sim, uint32_t n)
{
    host *h = &sim->hosts[n];

    if (h->gather == NULL) {
        if (sim->now >= h->dead_until) {
            start_host(sim, n);
        }
        return;
    }
    if (sim->now < h->paused_until) {
        return;
    }
    if (sim->now >= h->renew_at) {
        renew_lease(sim, n);
    }
    bbl_gather_tick(h->gather, sim->now);
    bbl_dispatch_tick(h->dispatch, sim->now);
    bbl_dispatch_flush(h->dispatch);
}

static void
check_overdue(simulation *sim)
{
    for (unsigned i = 1; i <= sim->query_count; i++) {
        const submitted_query *q = &sim->queries[i];
        const host *h = &sim->hosts[q->host];

        if (!q->answered && h->incarnation == q->incarnation &&
            sim->now > q->deadline + 2 * STEP_US &&
            sim->now > h->paused_until + 2 * STEP_US) {
            violate(sim, "query %u was never answered", i);
        }
    }
}

static void
step(simulation *sim)
{
    sim->now += STEP_US;
    advance_exchanges(sim);
    deliver_claims(sim);
    deliver_packets(sim);
    reassign_searchers(sim);
    for (uint32_t n = 1; n <= HOSTS && !sim->violated; n++) {
        tick_host(sim, n);
    }
    check_overdue(sim);
}

/* ---- operations ---- */

static void
submit_query(simulation *sim, uint32_t n, unsigned kind)
{
    host *h = &sim->hosts[n];
    unsigned number = sim->query_count + 1;
    uint32_t some[2] = {kind % SHARDS, kind % SHARDS + SHARDS};
    submitted_query *a = &sim->queries[number];
    char text[32];
    bbl_query q;

    if (h->gather == NULL || sim->now < h->paused_until ||
        number >= QUERIES_MAX) {
        return;
    }
    sim->query_count = number;
    snprintf(text, sizeof(text), "q%u", number);
    memset(&q, 0, sizeof(q));
    q.request_id = (bbl_str){text, strlen(text)};
    q.text = q.request_id;
    bbl_name_set(&q.customer, "u", 1);
    q.urgency = (bbl_urgency)(kind % BBL_URGENCY_COUNT);
    q.deadline = sim->now + 20000 + kind % 7 * 10000;
    q.repeatable = kind % 4 != 0;
    q.all_shards = kind % 5 != 0;
    q.shards = some;
    q.shard_count = q.all_shards ? 0 : 1 + kind % 2;
    q.coverage_ppm = kind % 3 ? UINT32_MAX : 500000;
    a->used = true;
    a->repeatable = q.repeatable;
    a->host = n;
    a->incarnation = h->incarnation;
    a->deadline = q.deadline;
    bbl_gather_submit(h->gather, sim->now, h->lease_until, 0, &q,
                      (void *)(uintptr_t)number);
}

static void
add_version(simulation *sim, unsigned split)
{
    unsigned total = sim->searchers[0].held[0].total;

    for (unsigned s = 0; s < SEARCHERS; s++) {
        total = sim->searchers[s].held_count
                    ? sim->searchers[s]
                          .held[sim->searchers[s].held_count - 1]
                          .total
                    : total;
    }
    total = total * split > SHARDS * 4 ? SHARDS : total * split;
    sim->newest_version++;
    for (unsigned s = 0; s < SEARCHERS; s++) {
        searcher *x = &sim->searchers[s];

        /* Some searchers do not get this version. */
        if (x->held_count < VERSIONS_HELD && bbl_rng_below(&sim->rng, 8) > 0) {
            x->held[x->held_count++] =
                (held_index){sim->newest_version, total};
        }
    }
    sim->revision++;
}

static void
drop_version(searcher *x)
{
    if (x->held_count > 1) {
        memmove(x->held, x->held + 1,
                (x->held_count - 1) * sizeof(x->held[0]));
        x->held_count--;
    }
}

static void
restart_searcher(simulation *sim, searcher *x)
{
    x->boot = bbl_rng_next(&sim->rng) | 1;
    x->running = 0;
    x->cold = true;
    x->cold_answers = 0;
    memset(x->cold_known_at, 0, sizeof(x->cold_known_at));
    x->restarted = true;
    sim->revision++;
}

static void
run_op(simulation *sim, const traffic_op *op)
{
    uint32_t n = 1 + op->target % HOSTS;
    searcher *x = &sim->searchers[op->target % SEARCHERS];
    unsigned zone = op->target % ZONES;

    switch (op->kind) {
    case TRAFFIC_RUN:
        for (unsigned i = 0; i < 2 * (1 + op->target % 60) && !sim->violated;
             i++) {
            step(sim);
        }
        break;
    case TRAFFIC_QUERY:
        submit_query(sim, n, op->argument);
        break;
    case TRAFFIC_BURST:
        for (unsigned i = 0; i < op->argument % 16; i++) {
            submit_query(sim, n, op->argument + i);
        }
        break;
    case TRAFFIC_KILL:
        kill_host(sim, n);
        break;
    case TRAFFIC_PAUSE:
        sim->hosts[n].paused_until =
            sim->now + op->argument % 150 * BBL_USEC_PER_MS;
        break;
    case TRAFFIC_MOVE:
        assign_searcher(sim, op->target % SEARCHERS, x->owner % HOSTS + 1,
                        LEASE_US + VIEW_DELAY_US + EXCHANGE_MAX_US);
        break;
    case TRAFFIC_COLD:
        x->cold = true;
        x->cold_answers = 0;
        memset(x->cold_known_at, 0, sizeof(x->cold_known_at));
        x->restarted = false;
        break;
    case TRAFFIC_RESTART:
        restart_searcher(sim, x);
        break;
    case TRAFFIC_LEAVE:
        x->leaving = !x->leaving;
        if (!x->leaving) {
            restart_searcher(sim, x);
        }
        break;
    case TRAFFIC_SILENT:
        x->silent_until = sim->now + op->argument % 100 * BBL_USEC_PER_MS;
        break;
    case TRAFFIC_BREAK:
        x->break_until = sim->now + op->argument % 100 * BBL_USEC_PER_MS;
        break;
    case TRAFFIC_STRAGGLE:
        x->slow_until = sim->now + 50000;
        x->slow_us = op->argument % 100 * BBL_USEC_PER_MS;
        break;
    case TRAFFIC_NEW_VERSION:
        add_version(sim, 1);
        break;
    case TRAFFIC_SPLIT:
        add_version(sim, 2);
        break;
    case TRAFFIC_DROP:
        drop_version(x);
        break;
    case TRAFFIC_ZONE:
        sim->zone_out[zone] = !sim->zone_out[zone];
        sim->zone_out_at[zone] = sim->now;
        sim->revision++;
        break;
    case TRAFFIC_LOSS:
        sim->hosts[n].loss_until =
            sim->now + op->argument % 60 * BBL_USEC_PER_MS;
        break;
    case TRAFFIC_HANDOVER:
        x->next_owner = x->owner % HOSTS + 1;
        sim->revision++;
        break;
    default:
        break;
    }
}

static void
create_lists(simulation *sim)
{
    static const char plans[] = "[plan p]\ncustomers = u\n";

    for (unsigned i = 0; i < 4; i++) {
        char text[256];

        snprintf(text, sizeof(text),
                 "[allowance p]\nshare = 50%%\npartial = yes\n"
                 "least-coverage = 50%%\n%s%s",
                 i & 1 ? "[data-centre dc0]\nstate = withdrawn\n" : "",
                 i & 2 ? "[data-centre dc1]\nstate = withdrawn\n" : "");
        if (bbl_lists_parse(&sim->lists[i], (bbl_str){plans, strlen(plans)},
                            (bbl_str){text, strlen(text)}) != 0) {
            violate(sim, "lists: %s", bbl_error_last());
        }
    }
}

static void
init_simulation(simulation *sim, uint64_t seed)
{
    sim->rng.state = seed;
    sim->now = BBL_USEC_PER_SEC;
    sim->exchanges = (bbl_vec)BBL_VEC_INIT(exchange);
    sim->packets = (bbl_vec)BBL_VEC_INIT(packet);
    sim->newest_version = 1;
    create_lists(sim);
    for (unsigned s = 0; s < SEARCHERS; s++) {
        searcher *x = &sim->searchers[s];

        x->boot = bbl_rng_next(&sim->rng) | 1;
        x->shard = s / REPLICAS;
        x->zone = s % ZONES;
        x->cold = true;
        x->restarted = true;
        x->held[0] = (held_index){1, SHARDS};
        x->held_count = 1;
        x->owner = 1 + s % HOSTS;
        x->cold_known_at[x->owner] = 1;
        x->epoch = ++sim->epoch;
    }
    for (uint32_t n = 1; n <= HOSTS; n++) {
        start_host(sim, n);
    }
}

static void
free_simulation(simulation *sim)
{
    for (uint32_t n = 1; n <= HOSTS; n++) {
        stop_host(sim, n);
    }
    for (size_t i = 0; i < sim->packets.size; i++) {
        bbl_buf_free(&BBL_VEC_AT(packet, &sim->packets, i)->bytes);
    }
    for (unsigned i = 0; i < 4; i++) {
        bbl_lists_free(sim->lists[i]);
    }
    bbl_vec_free(&sim->packets);
    bbl_vec_free(&sim->exchanges);
}

const char *
traffic_sim_run(uint64_t seed, const traffic_op *ops, unsigned count)
{
    simulation *sim = bbl_calloc(1, sizeof(*sim));
    bool broken;

    init_simulation(sim, seed);
    for (unsigned i = 0; i < 60 && !sim->violated; i++) {
        step(sim);
    }
    for (unsigned i = 0; i < count && !sim->violated; i++) {
        run_op(sim, &ops[i]);
        step(sim);
    }
    for (unsigned i = 0; i < 400 && !sim->violated; i++) {
        step(sim);
    }
    broken = sim->violated;
    free_simulation(sim);
    free(sim);
    return broken ? violation : NULL;
}
