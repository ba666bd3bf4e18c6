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
#define VIEW_DELAY_US 20000u /* before a host sees a new view, at most */
#define LEASE_US 60000u
#define EXCHANGE_MAX_US 100000u
#define GRACE_US 5000u
#define COLD_STEP 2 /* answers for each further run at once */
#define COLD_DONE 12
#define VERSIONS_HELD 3
#define QUERIES_MAX 4096

typedef struct {
    uint64_t version;
    unsigned total;
} held_index;

typedef struct {
    uint64_t boot;
    unsigned shard; /* of the first version */
    unsigned zone;
    bool leaving;
    bool cold;
    unsigned cold_done;
    bool restarted; /* turned cold with a new boot, which tells it */
    bbl_usec known_at[HOSTS + 1]; /* when a host was told; 0: not yet */
    unsigned running;
    bbl_usec silent_until;
    bbl_usec break_until;
    bbl_usec slow_until;
    bbl_usec slow_us;
    held_index held[VERSIONS_HELD];
    unsigned held_count;
    uint32_t owner;
    uint32_t next;
    uint64_t epoch;
    bbl_usec hold_us;
    uint64_t told_epoch; /* of the owner's last report */
    bblx_phase told_phase;
    uint32_t told_limit;
    uint64_t told_boot;
} searcher;

/* One exchange, from its start until both sides are done with it. */
typedef struct {
    uint64_t exchange;
    uint32_t host;
    uint64_t incarnation;
    unsigned searcher;
    bool arrived;
    bool running;
    bool cancelled;
    bool told; /* the owner has had its end */
    bbl_usec started;
    bbl_usec next;    /* when it arrives, or when its run ends */
    bbl_usec tell_at; /* a broken or silent one; 0: by its run */
    bbl_usec deadline;
    unsigned shard;
    uint64_t version;
    uint64_t token; /* query number */
    bool repeatable;
    bbl_exchange_outcome end;
    uint64_t boot;
} exchange;

typedef struct {
    bbl_usec at;
    uint32_t from;
    uint32_t to;
    uint64_t incarnation; /* of the receiver when it was sent */
    bbl_buf bytes;
} packet;

typedef struct {
    bbl_gather *gather;
    bbl_dispatch *dispatch;
    uint64_t incarnation;
    bbl_view *view;
    bbl_view *old_view;
    bbl_usec lease_until;
    bbl_usec paused_until;
    bbl_usec lost_until;
    bbl_usec dead_until;
    bbl_usec renew_at;
    uint64_t seen; /* revision of its view */
    bbl_usec view_at;
} host;

typedef struct {
    bool used;
    bool answered;
    bool repeatable;
    uint32_t host;
    uint64_t incarnation;
    bbl_usec deadline;
    unsigned runs; /* at any searcher */
    bool said_not_run;
    unsigned shard_runs[SHARDS * 4];
} asked;

typedef struct {
    bbl_rng rng;
    bbl_usec now;
    host hosts[HOSTS + 1];
    searcher searchers[SEARCHERS];
    bbl_vec exchanges; /* exchange */
    bbl_vec packets;   /* packet */
    asked queries[QUERIES_MAX];
    unsigned query_count;
    bool zone_out[ZONES];
    bbl_usec zone_out_at[ZONES];
    uint64_t revision;
    uint64_t epoch;
    uint64_t newest;
    bbl_lists *lists[2 * ZONES];
    bool broken;
} world;

static char violation[256];

static void
violate(world *w, const char *fmt, ...)
{
    va_list ap;

    if (w->broken) {
        return;
    }
    w->broken = true;
    va_start(ap, fmt);
    vsnprintf(violation, sizeof(violation), fmt, ap);
    va_end(ap);
}

const char *
traffic_kind_name(traffic_kind kind)
{
    static const char *const names[TRAFFIC_OPS] = {
        "run",  "query",   "burst", "kill",   "pause", "move",
        "cold", "restart", "leave", "silent", "break", "straggle",
        "roll", "split",   "drop",  "zone",   "loss",  "hand",
    };

    return names[kind];
}

/* ---- messages ---- */

typedef struct {
    world *w;
    uint32_t host;
} port_ctx;

static port_ctx contexts[HOSTS + 1];

static void
put_packet(port_ctx *p, uint32_t to, const bblx_message *m)
{
    world *w = p->w;
    packet *k;

    if (w->now < w->hosts[p->host].lost_until && to != p->host) {
        return;
    }
    k = bbl_vec_add(&w->packets);
    k->at = w->now + (to == p->host ? 1 : 200 + bbl_rng_below(&w->rng, 800));
    k->from = p->host;
    k->to = to;
    k->incarnation = w->hosts[to].incarnation;
    if (BBL_XDR_ENCODE(&k->bytes, bblx_message, m) != 0) {
        violate(w, "a message does not encode");
    }
}

static void
on_gather_send(void *ctx, uint32_t owner, const bblx_sub_request *r)
{
    bblx_message m;

    m.kind = BBLX_SUB_REQUEST;
    m.bblx_message_u.sub_request = *r;
    put_packet(ctx, owner, &m);
}

static void
on_gather_cancel(void *ctx, uint32_t owner, const bblx_sub_cancel *c)
{
    bblx_message m;

    m.kind = BBLX_SUB_CANCEL;
    m.bblx_message_u.sub_cancel = *c;
    put_packet(ctx, owner, &m);
}

static void
on_reply(void *ctx, uint32_t to, const bblx_sub_results *r)
{
    bblx_message m;

    m.kind = BBLX_SUB_RESULTS;
    m.bblx_message_u.sub_results = *r;
    put_packet(ctx, to, &m);
}

static void
deliver(world *w, const packet *k)
{
    host *h = &w->hosts[k->to];
    bblx_message m;

    memset(&m, 0, sizeof(m));
    if (h->gather == NULL || h->incarnation != k->incarnation ||
        BBL_XDR_DECODE(&m, bblx_message, bbl_buf_str(&k->bytes)) != 0) {
        return;
    }
    switch (m.kind) {
    case BBLX_SUB_REQUEST:
        bbl_dispatch_receive_request(h->dispatch, w->now, k->from,
                                     &m.bblx_message_u.sub_request);
        break;
    case BBLX_SUB_CANCEL:
        bbl_dispatch_cancel(h->dispatch, w->now, &m.bblx_message_u.sub_cancel);
        break;
    default:
        bbl_gather_receive_results(h->gather, w->now, k->from,
                                   &m.bblx_message_u.sub_results);
        break;
    }
    BBL_XDR_FREE(bblx_message, &m);
}

static void
deliver_due(world *w)
{
    for (size_t i = 0; i < w->packets.size;) {
        packet k = *BBL_VEC_AT(packet, &w->packets, i);

        if (k.at > w->now || w->now < w->hosts[k.to].paused_until) {
            i++;
            continue;
        }
        bbl_vec_remove(&w->packets, i);
        deliver(w, &k);
        bbl_buf_free(&k.bytes);
    }
}

/* ---- answers ---- */

static void
check_shard(world *w, unsigned number, const bbl_answer *a,
            const bbl_answer_shard *s)
{
    char expected[64];

    snprintf(expected, sizeof(expected), "q%u/v%llu/s%u", number,
             (unsigned long long)a->version, s->shard);
    if (s->body.size != strlen(expected) ||
        memcmp(s->body.ptr, expected, s->body.size) != 0) {
        violate(w, "query %u holds \"%.*s\" as \"%s\"", number,
                (int)s->body.size, s->body.ptr, expected);
    }
}

static void
check_coverage(world *w, unsigned number, const bbl_answer *a)
{
    size_t answered = 0;

    for (size_t i = 0; a->shards != NULL && i < a->shard_count; i++) {
        const bbl_answer_shard *s = &a->shards[i];

        for (size_t k = 0; k < i; k++) {
            if (a->shards[k].shard == s->shard) {
                violate(w, "query %u has shard %u twice", number, s->shard);
            }
        }
        if (s->missing == BBL_MISSING_NONE) {
            answered++;
            check_shard(w, number, a, s);
        }
    }
    if (answered != a->answered_count) {
        violate(w, "query %u says %zu answered, not %zu", number,
                a->answered_count, answered);
    }
}

static void
on_answer(void *ctx, void *token, const bbl_answer *a)
{
    port_ctx *p = ctx;
    world *w = p->w;
    unsigned number = (unsigned)(uintptr_t)token;
    asked *q = &w->queries[number];

    if (q->answered) {
        violate(w, "query %u was answered twice", number);
    }
    q->answered = true;
    check_coverage(w, number, a);
    if (a->kind == BBL_ANSWER_OK && a->shard_count == 0) {
        violate(w, "query %u is whole with no shard", number);
    }
    if (a->kind == BBL_ANSWER_NOT_RUN) {
        q->said_not_run = true;
        if (q->runs > 0) {
            violate(w, "query %u is said not to have run", number);
        }
    }
}

static void
on_claim(void *ctx, uint64_t seq, const bbl_name *customer, bbl_str id)
{
    port_ctx *p = ctx;
    packet *k = bbl_vec_add(&p->w->packets);

    /* Handled in deliver_claims; the bytes hold the query's sequence. */
    (void)customer;
    (void)id;
    k->at = p->w->now + 2000;
    k->from = 0;
    k->to = p->host;
    k->incarnation = p->w->hosts[p->host].incarnation;
    bbl_buf_append(&k->bytes, &seq, sizeof(seq));
}

static void
deliver_claims(world *w)
{
    for (size_t i = 0; i < w->packets.size;) {
        packet k = *BBL_VEC_AT(packet, &w->packets, i);
        host *h = &w->hosts[k.to];
        uint64_t seq;

        if (k.from != 0 || k.at > w->now || w->now < h->paused_until) {
            i++;
            continue;
        }
        bbl_vec_remove(&w->packets, i);
        memcpy(&seq, k.bytes.ptr, sizeof(seq));
        if (h->gather != NULL && h->incarnation == k.incarnation) {
            bbl_gather_complete_claim(h->gather, w->now, seq,
                                      BBL_CLAIM_GRANTED, (bbl_str){NULL, 0});
        }
        bbl_buf_free(&k.bytes);
    }
}

/* ---- searchers ---- */

static unsigned
query_number(bbl_str text)
{
    unsigned n = 0;

    sscanf(text.ptr, "q%u", &n);
    return n;
}

static void
on_start(void *ctx, const bbl_exchange *e)
{
    port_ctx *p = ctx;
    world *w = p->w;
    exchange *x = bbl_vec_add(&w->exchanges);
    unsigned s = e->searcher - 1;

    x->exchange = e->exchange_id;
    x->host = p->host;
    x->incarnation = w->hosts[p->host].incarnation;
    x->searcher = s;
    x->started = w->now;
    x->next = w->now + 100 + bbl_rng_below(&w->rng, 300);
    x->deadline = e->deadline;
    x->shard = e->shard;
    x->version = e->version;
    x->token = query_number(e->text);
    x->repeatable = e->repeatable;
    if (w->zone_out[w->searchers[s].zone] &&
        w->now >
            w->zone_out_at[w->searchers[s].zone] + VIEW_DELAY_US + LEASE_US) {
        violate(w, "work went to withdrawn data centre %u",
                w->searchers[s].zone);
    }
    if (w->now < w->searchers[s].silent_until) {
        x->tell_at = e->deadline + GRACE_US;
        x->end = BBL_EXCHANGE_SILENT;
    }
    else if (w->now < w->searchers[s].break_until) {
        x->tell_at = w->now + bbl_rng_below(&w->rng, 5000);
        x->end = BBL_EXCHANGE_FAILED;
    }
}

static void
on_cancel(void *ctx, uint64_t number, uint32_t id)
{
    port_ctx *p = ctx;
    world *w = p->w;

    (void)id;
    for (size_t i = 0; i < w->exchanges.size; i++) {
        exchange *x = bbl_vec_at(&w->exchanges, i);

        if (x->exchange == number && x->host == p->host &&
            x->incarnation == w->hosts[p->host].incarnation) {
            x->cancelled = true;
        }
    }
}

static void
on_report(void *ctx, const bblx_report *report)
{
    port_ctx *p = ctx;
    searcher *s = &p->w->searchers[report->searcher - 1];

    if (report->epoch >= s->told_epoch) {
        s->told_epoch = report->epoch;
        s->told_phase = report->phase;
        s->told_limit = report->limit;
        s->told_boot = report->boot;
    }
    p->w->revision++;
}

static unsigned
cold_limit(const searcher *s)
{
    unsigned limit = 1 + s->cold_done / COLD_STEP;

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
begin_run(world *w, exchange *x)
{
    searcher *s = &w->searchers[x->searcher];
    asked *q = &w->queries[x->token];
    bbl_usec service = 500 + bbl_rng_below(&w->rng, 6000);

    x->arrived = true;
    x->boot = s->boot;
    if (s->leaving || !holds(s, x->version, x->shard)) {
        x->end = s->leaving ? BBL_EXCHANGE_LEAVING : BBL_EXCHANGE_VERSION_GONE;
        x->next = w->now;
        return;
    }
    if (s->running >= SLOTS ||
        (s->running >= cold_limit(s) && s->known_at[x->host] != 0 &&
         x->started > s->known_at[x->host])) {
        violate(w, "searcher %u got %u at once, %s", x->searcher + 1,
                s->running + 1, s->cold ? "cold" : "warm");
    }
    if (s->running >= cold_limit(s)) {
        x->end = BBL_EXCHANGE_REFUSED;
        x->next = w->now;
        return;
    }
    if (w->now < s->slow_until) {
        service += s->slow_us;
    }
    s->running++;
    x->running = true;
    x->next = w->now + service < x->deadline ? w->now + service : x->deadline;
    q->runs++;
    if (q->said_not_run) {
        violate(w, "query %u ran after it was said not to",
                (unsigned)x->token);
    }
    if (++q->shard_runs[x->shard % (SHARDS * 4)] > 1 && !q->repeatable) {
        violate(w, "query %u ran twice on shard %u", (unsigned)x->token,
                x->shard);
    }
}

static void
end_run(world *w, exchange *x)
{
    searcher *s = &w->searchers[x->searcher];

    if (!x->running) {
        return;
    }
    x->running = false;
    if (x->boot == s->boot) {
        s->running--;
    }
    if (x->end == BBL_EXCHANGE_SILENT || x->end == BBL_EXCHANGE_FAILED) {
        return;
    }
    x->end = x->cancelled            ? BBL_EXCHANGE_CANCELLED
             : x->boot != s->boot    ? BBL_EXCHANGE_FAILED
             : w->now >= x->deadline ? BBL_EXCHANGE_DEADLINE_EXCEEDED
                                     : BBL_EXCHANGE_OK;
    if (x->end == BBL_EXCHANGE_OK && s->cold) {
        s->cold = ++s->cold_done < COLD_DONE;
    }
}

static void
tell_end(world *w, exchange *x)
{
    host *h = &w->hosts[x->host];
    searcher *s = &w->searchers[x->searcher];
    bbl_exchange_result r = {.outcome = x->end, .boot = x->boot};
    char body[64];

    x->told = true;
    if (h->dispatch == NULL || h->incarnation != x->incarnation) {
        return;
    }
    snprintf(body, sizeof(body), "q%u/v%llu/s%u", (unsigned)x->token,
             (unsigned long long)x->version, x->shard);
    if (x->end == BBL_EXCHANGE_OK) {
        r.version = x->version;
        r.body = (bbl_str){body, strlen(body)};
    }
    if (s->known_at[x->host] == 0 && (x->end == BBL_EXCHANGE_REFUSED ||
                                      (s->restarted && x->boot == s->boot))) {
        s->known_at[x->host] = w->now;
    }
    bbl_dispatch_complete_exchange(h->dispatch, w->now, x->exchange, &r);
}

static void
advance(world *w, exchange *x)
{
    bool owner_waits = w->now < w->hosts[x->host].paused_until;

    if (!x->arrived && w->now >= x->next) {
        begin_run(w, x);
    }
    if (x->running && (w->now >= x->next || x->cancelled)) {
        end_run(w, x);
    }
    if (x->told || owner_waits) {
        return;
    }
    if (x->tell_at != 0 ? w->now >= x->tell_at : x->arrived && !x->running) {
        exchange copy = *x;

        x->told = true;
        tell_end(w, &copy);
    }
}

static void
advance_exchanges(world *w)
{
    size_t count = w->exchanges.size;

    /* Ends may start more; those wait for the next step. */
    for (size_t i = 0; i < count; i++) {
        advance(w, bbl_vec_at(&w->exchanges, i));
    }
    for (size_t i = w->exchanges.size; i > 0; i--) {
        exchange *x = bbl_vec_at(&w->exchanges, i - 1);
        bool gone = w->hosts[x->host].incarnation != x->incarnation;

        if (x->arrived && !x->running && (x->told || gone)) {
            bbl_vec_swap_remove(&w->exchanges, i - 1);
        }
    }
}

/* ---- the authority ---- */

static void
give_info(world *w, host *h, unsigned s)
{
    searcher *x = &w->searchers[s];
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
    if (x->restarted && x->known_at[x->owner] == 0) {
        x->known_at[x->owner] = w->now;
    }
    bbl_dispatch_update_info(h->dispatch, w->now, s + 1, &info);
}

static void
add_searcher(world *w, bbl_view *view, unsigned s)
{
    searcher *x = &w->searchers[s];
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
    a.incarnation = w->hosts[x->owner].incarnation;
    a.epoch = x->epoch;
    a.takeover_delay_us = (u_int)x->hold_us;
    r.searcher = s + 1;
    a.next_owner = x->next;
    r.epoch = x->told_epoch;
    r.boot = x->told_boot;
    r.phase = x->told_phase;
    r.limit = x->told_limit;
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
    bbl_view_add_searcher(view, &a, x->told_epoch ? &r : NULL);
}

static bbl_view *
make_view(world *w)
{
    bbl_view *view = bbl_view_new(w->revision);
    unsigned lists = (w->zone_out[0] ? 1u : 0u) + (w->zone_out[1] ? 2u : 0u);

    bbl_view_set_lists(view, w->lists[lists]);
    for (unsigned s = 0; s < SEARCHERS; s++) {
        add_searcher(w, view, s);
    }
    for (uint32_t h = 1; h <= HOSTS; h++) {
        bblx_member_row m;

        memset(&m, 0, sizeof(m));
        m.host = h;
        m.incarnation = w->hosts[h].incarnation;
        m.live = w->now >= w->hosts[h].dead_until;
        m.zone = (bblx_name){3, "dc0"};
        bbl_view_add_member(view, &m);
    }
    bbl_view_finish(view);
    return view;
}

/* Hands a host the newest view, and with it a lease. */
static void
renew(world *w, uint32_t n)
{
    host *h = &w->hosts[n];

    if (h->seen != w->revision) {
        bbl_view *view = make_view(w);

        bbl_gather_set_view(h->gather, w->now, view);
        bbl_dispatch_set_view(h->dispatch, w->now, view);
        bbl_view_free(h->view);
        h->view = view;
        h->seen = w->revision;
    }
    for (unsigned s = 0; s < SEARCHERS; s++) {
        if (w->searchers[s].owner == n) {
            give_info(w, h, s);
        }
    }
    h->lease_until = w->now + LEASE_US;
    bbl_dispatch_set_lease(h->dispatch, h->lease_until);
    h->renew_at = w->now + bbl_rng_below(&w->rng, VIEW_DELAY_US);
}

static void
give_searcher(world *w, unsigned s, uint32_t owner, bbl_usec hold)
{
    w->searchers[s].owner = owner;
    w->searchers[s].next = 0;
    w->searchers[s].epoch = ++w->epoch;
    w->searchers[s].hold_us = hold;
    w->revision++;
}

/* Gives the searchers of hosts whose lease has run out to others. */
static void
reassign(world *w)
{
    for (unsigned s = 0; s < SEARCHERS; s++) {
        uint32_t owner = w->searchers[s].owner;
        const host *h = &w->hosts[owner];
        searcher *x = &w->searchers[s];

        if (x->next != 0 && x->told_epoch == x->epoch &&
            x->told_phase == BBLX_RELEASED) {
            give_searcher(w, s, x->next, 0);
        }
        else if (w->now > h->lease_until && w->now < h->dead_until) {
            give_searcher(w, s, owner % HOSTS + 1, EXCHANGE_MAX_US);
        }
    }
}

/* ---- hosts ---- */

static void
start_host(world *w, uint32_t n)
{
    host *h = &w->hosts[n];
    bbl_gather_options g = BBL_GATHER_OPTIONS_INIT;
    bbl_dispatch_options d = BBL_DISPATCH_OPTIONS_INIT;

    contexts[n] = (port_ctx){w, n};
    h->incarnation++;
    g.host = n;
    g.incarnation = h->incarnation;
    g.seed = bbl_rng_next(&w->rng);
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
    d.busy_factor = n % 2; /* both ways of treating long queues */
    d.port.start = on_start;
    d.port.cancel = on_cancel;
    d.port.reply = on_reply;
    d.port.report = on_report;
    d.port.ctx = &contexts[n];
    bbl_dispatch_new(&h->dispatch, &d);
    h->seen = 0;
    h->renew_at = w->now;
    w->revision++;
}

static void
stop_host(world *w, uint32_t n)
{
    host *h = &w->hosts[n];

    bbl_gather_free(h->gather);
    bbl_dispatch_free(h->dispatch);
    bbl_view_free(h->view);
    h->gather = NULL;
    h->dispatch = NULL;
    h->view = NULL;
    for (unsigned i = 1; i <= w->query_count; i++) {
        if (w->queries[i].host == n &&
            w->queries[i].incarnation == h->incarnation) {
            w->queries[i].answered = true; /* its caller lost the host */
        }
    }
}

static void
kill_host(world *w, uint32_t n)
{
    if (w->hosts[n].gather == NULL) {
        return;
    }
    stop_host(w, n);
    w->hosts[n].dead_until = w->now + 150000;
    w->revision++;
}

static void
tick_host(world *w, uint32_t n)
{
    host *h = &w->hosts[n];

    if (h->gather == NULL) {
        if (w->now >= h->dead_until) {
            start_host(w, n);
        }
        return;
    }
    if (w->now < h->paused_until) {
        return;
    }
    if (w->now >= h->renew_at) {
        renew(w, n);
    }
    bbl_gather_tick(h->gather, w->now);
    bbl_dispatch_tick(h->dispatch, w->now);
    bbl_dispatch_flush(h->dispatch);
}

static void
check_overdue(world *w)
{
    for (unsigned i = 1; i <= w->query_count; i++) {
        const asked *q = &w->queries[i];
        const host *h = &w->hosts[q->host];

        if (!q->answered && h->incarnation == q->incarnation &&
            w->now > q->deadline + 2 * STEP_US &&
            w->now > h->paused_until + 2 * STEP_US) {
            violate(w, "query %u was never answered", i);
        }
    }
}

static void
step(world *w)
{
    w->now += STEP_US;
    advance_exchanges(w);
    deliver_claims(w);
    deliver_due(w);
    reassign(w);
    for (uint32_t n = 1; n <= HOSTS && !w->broken; n++) {
        tick_host(w, n);
    }
    check_overdue(w);
}

/* ---- operations ---- */

static void
ask(world *w, uint32_t n, unsigned kind)
{
    host *h = &w->hosts[n];
    unsigned number = w->query_count + 1;
    uint32_t some[2] = {kind % SHARDS, kind % SHARDS + SHARDS};
    asked *a = &w->queries[number];
    char text[32];
    bbl_query q;

    if (h->gather == NULL || w->now < h->paused_until ||
        number >= QUERIES_MAX) {
        return;
    }
    w->query_count = number;
    snprintf(text, sizeof(text), "q%u", number);
    memset(&q, 0, sizeof(q));
    q.request_id = (bbl_str){text, strlen(text)};
    q.text = q.request_id;
    bbl_name_set(&q.customer, "u", 1);
    q.urgency = (bbl_urgency)(kind % BBL_URGENCY_COUNT);
    q.deadline = w->now + 20000 + kind % 7 * 10000;
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
    bbl_gather_submit(h->gather, w->now, h->lease_until, 0, &q,
                      (void *)(uintptr_t)number);
}

static void
new_version(world *w, unsigned split)
{
    unsigned total = w->searchers[0].held[0].total;

    for (unsigned s = 0; s < SEARCHERS; s++) {
        total =
            w->searchers[s].held_count
                ? w->searchers[s].held[w->searchers[s].held_count - 1].total
                : total;
    }
    total = total * split > SHARDS * 4 ? SHARDS : total * split;
    w->newest++;
    for (unsigned s = 0; s < SEARCHERS; s++) {
        searcher *x = &w->searchers[s];

        /* Some searchers get it later or never. */
        if (x->held_count < VERSIONS_HELD && bbl_rng_below(&w->rng, 8) > 0) {
            x->held[x->held_count++] = (held_index){w->newest, total};
        }
    }
    w->revision++;
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
restart_searcher(world *w, searcher *x)
{
    x->boot = bbl_rng_next(&w->rng) | 1;
    x->running = 0;
    x->cold = true;
    x->cold_done = 0;
    memset(x->known_at, 0, sizeof(x->known_at));
    x->restarted = true;
    w->revision++;
}

static void
run_op(world *w, const traffic_op *op)
{
    uint32_t n = 1 + op->a % HOSTS;
    searcher *x = &w->searchers[op->a % SEARCHERS];
    unsigned zone = op->a % ZONES;

    switch (op->kind) {
    case TRAFFIC_RUN:
        for (unsigned i = 0; i < 2 * (1 + op->a % 60) && !w->broken; i++) {
            step(w);
        }
        break;
    case TRAFFIC_QUERY:
        ask(w, n, op->b);
        break;
    case TRAFFIC_BURST:
        for (unsigned i = 0; i < op->b % 16; i++) {
            ask(w, n, op->b + i);
        }
        break;
    case TRAFFIC_KILL:
        kill_host(w, n);
        break;
    case TRAFFIC_PAUSE:
        w->hosts[n].paused_until = w->now + op->b % 150 * BBL_USEC_PER_MS;
        break;
    case TRAFFIC_MOVE:
        give_searcher(w, op->a % SEARCHERS, x->owner % HOSTS + 1,
                      LEASE_US + VIEW_DELAY_US + EXCHANGE_MAX_US);
        break;
    case TRAFFIC_COLD:
        x->cold = true;
        x->cold_done = 0;
        memset(x->known_at, 0, sizeof(x->known_at));
        x->restarted = false;
        break;
    case TRAFFIC_RESTART:
        restart_searcher(w, x);
        break;
    case TRAFFIC_LEAVE:
        x->leaving = !x->leaving;
        if (!x->leaving) {
            restart_searcher(w, x);
        }
        break;
    case TRAFFIC_SILENT:
        x->silent_until = w->now + op->b % 100 * BBL_USEC_PER_MS;
        break;
    case TRAFFIC_BREAK:
        x->break_until = w->now + op->b % 100 * BBL_USEC_PER_MS;
        break;
    case TRAFFIC_STRAGGLE:
        x->slow_until = w->now + 50000;
        x->slow_us = op->b % 100 * BBL_USEC_PER_MS;
        break;
    case TRAFFIC_ROLL:
        new_version(w, 1);
        break;
    case TRAFFIC_SPLIT:
        new_version(w, 2);
        break;
    case TRAFFIC_DROP:
        drop_version(x);
        break;
    case TRAFFIC_ZONE:
        w->zone_out[zone] = !w->zone_out[zone];
        w->zone_out_at[zone] = w->now;
        w->revision++;
        break;
    case TRAFFIC_LOSS:
        w->hosts[n].lost_until = w->now + op->b % 60 * BBL_USEC_PER_MS;
        break;
    case TRAFFIC_HAND:
        x->next = x->owner % HOSTS + 1;
        w->revision++;
        break;
    default:
        break;
    }
}

static void
make_lists(world *w)
{
    static const char plans[] = "[plan p]\ncustomers = u\n";

    for (unsigned i = 0; i < 4; i++) {
        char text[256];

        snprintf(text, sizeof(text),
                 "[allowance p]\nshare = 50%%\npartial = yes\n"
                 "least-coverage = 50%%\n%s%s",
                 i & 1 ? "[data-centre dc0]\nstate = withdrawn\n" : "",
                 i & 2 ? "[data-centre dc1]\nstate = withdrawn\n" : "");
        if (bbl_lists_parse(&w->lists[i], (bbl_str){plans, strlen(plans)},
                            (bbl_str){text, strlen(text)}) != 0) {
            violate(w, "lists: %s", bbl_error_last());
        }
    }
}

static void
begin(world *w, uint64_t seed)
{
    w->rng.state = seed;
    w->now = BBL_USEC_PER_SEC;
    w->exchanges = (bbl_vec)BBL_VEC_INIT(exchange);
    w->packets = (bbl_vec)BBL_VEC_INIT(packet);
    w->newest = 1;
    make_lists(w);
    for (unsigned s = 0; s < SEARCHERS; s++) {
        searcher *x = &w->searchers[s];

        x->boot = bbl_rng_next(&w->rng) | 1;
        x->shard = s / REPLICAS;
        x->zone = s % ZONES;
        x->cold = true;
        x->restarted = true;
        x->held[0] = (held_index){1, SHARDS};
        x->held_count = 1;
        x->owner = 1 + s % HOSTS;
        x->known_at[x->owner] = 1;
        x->epoch = ++w->epoch;
    }
    for (uint32_t n = 1; n <= HOSTS; n++) {
        start_host(w, n);
    }
}

static void
end(world *w)
{
    for (uint32_t n = 1; n <= HOSTS; n++) {
        stop_host(w, n);
    }
    for (size_t i = 0; i < w->packets.size; i++) {
        bbl_buf_free(&BBL_VEC_AT(packet, &w->packets, i)->bytes);
    }
    for (unsigned i = 0; i < 4; i++) {
        bbl_lists_free(w->lists[i]);
    }
    bbl_vec_free(&w->packets);
    bbl_vec_free(&w->exchanges);
}

const char *
traffic_sim_run(uint64_t seed, const traffic_op *ops, unsigned count)
{
    world *w = bbl_calloc(1, sizeof(*w));
    bool broken;

    begin(w, seed);
    for (unsigned i = 0; i < 60 && !w->broken; i++) {
        step(w);
    }
    for (unsigned i = 0; i < count && !w->broken; i++) {
        run_op(w, &ops[i]);
        step(w);
    }
    for (unsigned i = 0; i < 400 && !w->broken; i++) {
        step(w);
    }
    broken = w->broken;
    end(w);
    free(w);
    return broken ? violation : NULL;
}
