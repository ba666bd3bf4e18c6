/*
 * slopes.c - measures what each role costs as the tier grows: control cores
 * of up to 400 members in one process, views of up to 79,000 searchers, and
 * the traffic cores with 10 to 1,100 shards per query. The clock is simulated;
 * processor time is the process's real one. Prints one line per measurement.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "control/control.h"
#include "policy/dispatch.h"
#include "policy/gather.h"
#include "util/alloc.h"
#include "util/clock.h"

#define VOTERS 3u
#define TICK_US 10000u
#define LINK_DELAY_US 1000u
#define WARMUP_SECONDS 6
#define MEASURED_SECONDS 5
#define SEARCHERS_PER_MEMBER 13

/* Bootstraps a voter's journal in a new folder and opens the folder's disk. */
static bbl_disk *
open_bootstrapped_disk(uint32_t host)
{
    char folder[] = "/tmp/bbl-slopes-XXXXXX";
    bbl_disk *disk;

    if (mkdtemp(folder) == NULL || bbl_disk_open(&disk, folder) != 0 ||
        bbl_quorum_bootstrap(disk, host) != 0 ||
        bbl_disk_open(&disk, folder) != 0) {
        fprintf(stderr, "slopes: %s\n", bbl_error_last());
        exit(1);
    }
    return disk;
}

/* ---- a tier of control cores ---- */

typedef struct {
    bbl_usec deliver_at;
    uint32_t from;
    uint32_t to;
    bbl_buf encoded;
} delayed_message;

typedef struct {
    struct tier *tier;
    uint32_t host;
    bbl_control *control;
    bbl_usec cpu_us;
    uint64_t traffic_bytes; /* sent and received */
    uint64_t messages_sent;
} tier_member;

typedef struct tier {
    tier_member *by_host; /* indexed by host; entry 0 is unused */
    uint32_t member_count;
    uint32_t zones;
    bbl_usec now;
    bbl_vec messages;
    size_t first; /* unused */
    bblx_voter seeds[VOTERS];
    uint64_t accepted_proposals;
} tier;

static void
on_control_send(void *ctx, uint32_t host, bblx_address to,
                const bblx_message *m)
{
    tier_member *n = ctx;
    delayed_message *p;

    (void)to;
    if (host == 0 || host > n->tier->member_count) {
        return;
    }
    p = bbl_vec_add(&n->tier->messages);
    p->deliver_at = n->tier->now + LINK_DELAY_US;
    p->from = n->host;
    p->to = host;
    if (BBL_XDR_ENCODE(&p->encoded, bblx_message, m) != 0) {
        abort();
    }
    n->traffic_bytes += p->encoded.size;
    n->messages_sent++;
}

static void
on_proposal_completed(void *ctx, uint64_t number,
                      const bblx_propose_reply *reply)
{
    tier_member *n = ctx;

    (void)number;
    n->tier->accepted_proposals += reply->status == 0;
}

static void
deliver_message(tier *t, delayed_message *p)
{
    tier_member *n = &t->by_host[p->to];
    bbl_usec began = bbl_clock_thread_cpu();
    bblx_message m;

    memset(&m, 0, sizeof(m));
    if (BBL_XDR_DECODE(&m, bblx_message, bbl_buf_str(&p->encoded)) == 0) {
        n->traffic_bytes += p->encoded.size;
        bbl_control_step(n->control, t->now, p->from, &m);
        BBL_XDR_FREE(bblx_message, &m);
    }
    n->cpu_us += bbl_clock_thread_cpu() - began;
}

static void
tick_tier(tier *t)
{
    size_t size = t->messages.size;

    t->now += TICK_US;
    for (size_t i = 0; i < size; i++) {
        delayed_message p = *BBL_VEC_AT(delayed_message, &t->messages, i);

        deliver_message(t, &p);
        bbl_buf_free(&p.encoded);
    }
    memmove(t->messages.ptr,
            (char *)t->messages.ptr + size * t->messages.item_size,
            (t->messages.size - size) * t->messages.item_size);
    t->messages.size -= size;
    for (uint32_t h = 1; h <= t->member_count; h++) {
        tier_member *n = &t->by_host[h];
        bbl_usec began = bbl_clock_thread_cpu();

        bbl_control_tick(n->control, t->now, t->now / 1000);
        bbl_control_confirm_applied(
            n->control,
            bbl_state_applied_index(bbl_control_state(n->control)));
        n->cpu_us += bbl_clock_thread_cpu() - began;
    }
}

static void
run_tier(tier *t, unsigned seconds)
{
    bbl_usec end = t->now + seconds * BBL_USEC_PER_SEC;

    while (t->now < end) {
        tick_tier(t);
    }
}

static void
install_places(tier *t, unsigned searchers)
{
    bblx_place *places = bbl_calloc(searchers, sizeof(*places));
    char(*names)[16] = bbl_calloc(searchers, sizeof(*names));
    char(*zones)[16] = bbl_calloc(t->zones, sizeof(*zones));

    for (unsigned i = 0; i < searchers; i++) {
        unsigned z = i % t->zones;

        snprintf(names[i], sizeof(names[i]), "s%u", i / 2);
        snprintf(zones[z], sizeof(zones[z]), "dc%u", z);
        places[i].searcher = i + 1;
        places[i].service = (bblx_name){(u_int)strlen(names[i]), names[i]};
        places[i].zone = (bblx_name){(u_int)strlen(zones[z]), zones[z]};
        places[i].slots = 2;
        places[i].connections = 25;
    }
    for (uint32_t h = 1; h <= VOTERS; h++) {
        bbl_control_set_places(t->by_host[h].control, places, searchers);
    }
    free(places);
    free(names);
    free(zones);
}

static void
open_tier(tier *t, uint32_t members, uint32_t zones, unsigned searchers)
{
    memset(t, 0, sizeof(*t));
    t->member_count = members;
    t->zones = zones;
    t->now = BBL_USEC_PER_SEC;
    t->messages = (bbl_vec)BBL_VEC_INIT(delayed_message);
    t->by_host = bbl_calloc(members + 1, sizeof(*t->by_host));
    for (uint32_t v = 0; v < VOTERS; v++) {
        t->seeds[v].host = v + 1;
        t->seeds[v].role = BBLX_VOTER;
        t->seeds[v].control = (bblx_address){v + 1, 1};
    }
    for (uint32_t h = 1; h <= members; h++) {
        bbl_control_options o = BBL_CONTROL_OPTIONS_INIT;
        char zone[16];

        t->by_host[h] = (tier_member){t, h, NULL, 0, 0, 0};
        o.host = h;
        o.incarnation = 1000 + h;
        o.seed = h;
        snprintf(zone, sizeof(zone), "dc%u", h % zones);
        bbl_name_set(&o.zone, zone, strlen(zone));
        o.control = (bblx_address){h, 1};
        o.seeds.list.list_len = VOTERS;
        o.seeds.list.list_val = t->seeds;
        o.port.send = on_control_send;
        o.port.complete_proposal = on_proposal_completed;
        o.port.ctx = &t->by_host[h];
        if (bbl_control_open(&t->by_host[h].control, &o,
                             h <= VOTERS ? open_bootstrapped_disk(h) : NULL,
                             t->now) != 0) {
            abort();
        }
    }
    install_places(t, searchers);
}

static void
close_tier(tier *t)
{
    for (uint32_t h = 1; h <= t->member_count; h++) {
        bbl_control_free(t->by_host[h].control);
    }
    for (size_t i = 0; i < t->messages.size; i++) {
        bbl_buf_free(&BBL_VEC_AT(delayed_message, &t->messages, i)->encoded);
    }
    bbl_vec_free(&t->messages);
    free(t->by_host);
}

static void
reset_costs(tier *t)
{
    for (uint32_t h = 1; h <= t->member_count; h++) {
        t->by_host[h].cpu_us = 0;
        t->by_host[h].traffic_bytes = 0;
        t->by_host[h].messages_sent = 0;
    }
}

/* Prints a member's processor share and traffic in the measured time. */
static void
print_role_cost(const char *role, uint32_t members, const tier_member *n)
{
    printf("control members=%u role=%s cpu_percent=%.3f kb_per_s=%.2f "
           "messages_per_s=%.1f\n",
           members, role, (double)n->cpu_us / (MEASURED_SECONDS * 1e6) * 100,
           (double)n->traffic_bytes / MEASURED_SECONDS / 1000,
           (double)n->messages_sent / MEASURED_SECONDS);
}

static uint32_t
find_leader(const tier *t)
{
    for (uint32_t h = 1; h <= VOTERS; h++) {
        if (bbl_quorum_has_leader_lease(
                bbl_control_quorum(t->by_host[h].control), t->now)) {
            return h;
        }
    }
    return 1;
}

/*
 * Prints the non-voters with the most and the least traffic: the first is a
 * relay, the second is not.
 */
static void
print_relay_and_member(const tier *t)
{
    const tier_member *busiest = NULL;
    const tier_member *idlest = NULL;

    for (uint32_t h = VOTERS + 1; h <= t->member_count; h++) {
        const tier_member *n = &t->by_host[h];

        busiest = busiest == NULL || n->traffic_bytes > busiest->traffic_bytes
                      ? n
                      : busiest;
        idlest = idlest == NULL || n->traffic_bytes < idlest->traffic_bytes
                     ? n
                     : idlest;
    }
    if (busiest != NULL && idlest != NULL) {
        print_role_cost("relay", t->member_count, busiest);
        print_role_cost("member", t->member_count, idlest);
    }
}

static void
measure_members(uint32_t members, uint32_t zones)
{
    size_t before = mallinfo2().uordblks;
    tier t;

    open_tier(&t, members, zones, members * SEARCHERS_PER_MEMBER);
    run_tier(&t, WARMUP_SECONDS);
    printf("control members=%u searchers=%u memory_kb_per_core=%.1f\n",
           members, members * SEARCHERS_PER_MEMBER,
           (double)(mallinfo2().uordblks - before) / members / 1000);
    reset_costs(&t);
    run_tier(&t, MEASURED_SECONDS);
    print_role_cost("leader", members, &t.by_host[find_leader(&t)]);
    print_relay_and_member(&t);
    close_tier(&t);
}

/* ---- changes ---- */

static void
propose_change(tier *t, uint64_t expected)
{
    static char plans[] = "[plan p]\ncustomers = u\n";
    static char allowances[] = "[allowance p]\nshare = 50%\n";
    char id[16];
    bblx_command c;
    bbl_buf data = BBL_BUF_INIT;
    tier_member *n = &t->by_host[find_leader(t)];

    snprintf(id, sizeof(id), "c%llu", (unsigned long long)expected);
    memset(&c, 0, sizeof(c));
    c.kind = BBLX_LISTS;
    c.bblx_command_u.lists.expected = expected;
    c.bblx_command_u.lists.change = (bblx_name){(u_int)strlen(id), id};
    c.bblx_command_u.lists.plans = (bblx_text){sizeof(plans) - 1, plans};
    c.bblx_command_u.lists.allowances =
        (bblx_text){sizeof(allowances) - 1, allowances};
    if (BBL_XDR_ENCODE(&data, bblx_command, &c) != 0) {
        abort();
    }
    bbl_control_propose(n->control, t->now, bbl_buf_str(&data));
    bbl_buf_free(&data);
}

/*
 * Runs the tier until a version of the lists is applied everywhere, for 10 s
 * at most. Returns the simulated time that it took, in milliseconds.
 */
static double
measure_in_force_ms(tier *t, uint64_t version)
{
    bbl_usec began = t->now;
    uint32_t waits_for;

    while (t->now < began + 10 * BBL_USEC_PER_SEC &&
           bbl_control_in_force(t->by_host[find_leader(t)].control, t->now,
                                version, &waits_for) != 1) {
        tick_tier(t);
    }
    return (double)(t->now - began) / 1000;
}

static void
measure_changes(uint32_t members, uint32_t zones)
{
    tier t;
    double worst = 0;
    const tier_member *leader;
    uint32_t changes = 20;

    open_tier(&t, members, zones, members * SEARCHERS_PER_MEMBER);
    run_tier(&t, WARMUP_SECONDS);
    reset_costs(&t);
    for (uint32_t i = 0; i < changes; i++) {
        double ms;

        propose_change(&t, i);
        ms = measure_in_force_ms(&t, i + 1);
        worst = ms > worst ? ms : worst;
    }
    leader = &t.by_host[find_leader(&t)];
    printf("changes members=%u worst_in_force_ms=%.0f "
           "leader_kb_per_change=%.2f member_kb_per_change=%.3f\n",
           members, worst, (double)leader->traffic_bytes / changes / 1000,
           (double)t.by_host[t.member_count].traffic_bytes / changes / 1000);
    close_tier(&t);
}

/* ---- views ---- */

static bbl_view *
build_view(unsigned searchers, unsigned shards, uint32_t hosts,
           const bbl_lists *lists)
{
    bbl_view *view = bbl_view_new(1);

    bbl_view_set_lists(view, lists);
    for (unsigned s = 0; s < searchers; s++) {
        u_int shard = s % shards;
        bblx_index index = {1, shards, shard, 1, {1, &shard}};
        bblx_assign a;
        bblx_report r;

        memset(&a, 0, sizeof(a));
        memset(&r, 0, sizeof(r));
        a.place.searcher = s + 1;
        a.place.zone = (bblx_name){3, "dc1"};
        a.place.service = (bblx_name){1, "s"};
        a.place.slots = 1000;
        a.owner = 1 + s % hosts;
        a.incarnation = 1;
        a.epoch = 1;
        r.searcher = s + 1;
        r.epoch = 1;
        r.boot = 5;
        r.phase = BBLX_WARM;
        r.limit = 1000;
        r.indexes.indexes_len = 1;
        r.indexes.indexes_val = &index;
        bbl_view_add_searcher(view, &a, &r);
    }
    for (uint32_t h = 1; h <= hosts; h++) {
        bblx_member_row m;

        memset(&m, 0, sizeof(m));
        m.host = h;
        m.incarnation = 1;
        m.live = TRUE;
        m.zone = (bblx_name){3, "dc1"};
        bbl_view_add_member(view, &m);
    }
    bbl_view_finish(view);
    return view;
}

static void
measure_view(unsigned searchers)
{
    size_t before = mallinfo2().uordblks;
    bbl_usec began = bbl_clock_thread_cpu();
    bbl_view *view =
        build_view(searchers, searchers / 2, searchers / 13, NULL);
    bbl_usec took = bbl_clock_thread_cpu() - began;

    printf("view searchers=%u build_us=%llu build_us_per_searcher=%.3f "
           "bytes_per_searcher=%.0f\n",
           searchers, (unsigned long long)took, (double)took / searchers,
           (double)(mallinfo2().uordblks - before) / searchers);
    bbl_view_free(view);
}

/* ---- traffic ---- */

/* One daemon's gather core and one owner's dispatch core, connected. */
typedef struct {
    bbl_gather *gather;
    bbl_dispatch *dispatch;
    bbl_usec now;
    bbl_vec messages;          /* bbl_buf; encoded, not yet delivered */
    bbl_vec started_exchanges; /* uint64_t exchange ids */
    uint64_t sub_requests;
    uint64_t ok_answers;
    bbl_usec gather_cpu; /* processor time by part */
    bbl_usec dispatch_cpu;
    bbl_usec codec_cpu;
} traffic_bench;

static void
enqueue_message(traffic_bench *b, const bblx_message *m)
{
    bbl_buf *bytes = bbl_vec_add(&b->messages);
    bbl_usec began = bbl_clock_thread_cpu();

    if (BBL_XDR_ENCODE(bytes, bblx_message, m) != 0) {
        abort();
    }
    b->codec_cpu += bbl_clock_thread_cpu() - began;
}

static void
on_gather_send(void *ctx, uint32_t owner, const bblx_sub_request *r)
{
    bblx_message m;

    (void)owner;
    m.kind = BBLX_SUB_REQUEST;
    m.bblx_message_u.sub_request = *r;
    enqueue_message(ctx, &m);
}

static void
on_gather_cancel(void *ctx, uint32_t owner, const bblx_sub_cancel *c)
{
    (void)ctx;
    (void)owner;
    (void)c;
}

static void
on_claim(void *ctx, uint64_t seq, const bbl_name *customer, bbl_str id)
{
    (void)ctx;
    (void)seq;
    (void)customer;
    (void)id;
}

static void
on_answer(void *ctx, void *token, const bbl_answer *a)
{
    traffic_bench *b = ctx;

    (void)token;
    b->ok_answers += a->kind == BBL_ANSWER_OK;
}

static void
on_start_exchange(void *ctx, const bbl_exchange *e)
{
    traffic_bench *b = ctx;

    bbl_vec_push(&b->started_exchanges, &e->exchange_id);
}

static void
on_cancel_exchange(void *ctx, uint64_t exchange, uint32_t searcher)
{
    (void)ctx;
    (void)exchange;
    (void)searcher;
}

static void
on_reply(void *ctx, uint32_t host, const bblx_sub_results *r)
{
    bblx_message m;

    (void)host;
    m.kind = BBLX_SUB_RESULTS;
    m.bblx_message_u.sub_results = *r;
    enqueue_message(ctx, &m);
}

static void
on_report(void *ctx, const bblx_report *r)
{
    (void)ctx;
    (void)r;
}

/* Delivers the queued messages. Returns whether there were any. */
static bool
deliver_messages(traffic_bench *b)
{
    bbl_vec batch = b->messages;

    b->messages = (bbl_vec)BBL_VEC_INIT(bbl_buf);
    for (size_t i = 0; i < batch.size; i++) {
        bbl_buf *bytes = bbl_vec_at(&batch, i);
        bbl_usec began = bbl_clock_thread_cpu();
        bbl_usec decoded;
        bblx_message m;

        memset(&m, 0, sizeof(m));
        if (BBL_XDR_DECODE(&m, bblx_message, bbl_buf_str(bytes)) != 0) {
            abort();
        }
        decoded = bbl_clock_thread_cpu();
        b->codec_cpu += decoded - began;
        if (m.kind == BBLX_SUB_REQUEST) {
            bbl_dispatch_receive_request(b->dispatch, b->now, 1,
                                         &m.bblx_message_u.sub_request);
            b->dispatch_cpu += bbl_clock_thread_cpu() - decoded;
        }
        else {
            bbl_gather_receive_results(b->gather, b->now, 1,
                                       &m.bblx_message_u.sub_results);
            b->gather_cpu += bbl_clock_thread_cpu() - decoded;
        }
        BBL_XDR_FREE(bblx_message, &m);
        bbl_buf_free(bytes);
    }
    bbl_vec_free(&batch);
    return batch.size > 0;
}

static void
complete_exchanges(traffic_bench *b)
{
    bbl_exchange_result r = {
        .outcome = BBL_EXCHANGE_OK, .boot = 5, .version = 1};
    bbl_usec began = bbl_clock_thread_cpu();

    r.body = (bbl_str){"0123456789abcdef0123456789abcdef", 32};
    for (size_t i = 0; i < b->started_exchanges.size; i++) {
        bbl_dispatch_complete_exchange(
            b->dispatch, b->now,
            *BBL_VEC_AT(uint64_t, &b->started_exchanges, i), &r);
        b->sub_requests++;
    }
    b->started_exchanges.size = 0;
    bbl_dispatch_flush(b->dispatch);
    b->dispatch_cpu += bbl_clock_thread_cpu() - began;
}

static void
run_query(traffic_bench *b)
{
    bbl_query q;
    bbl_usec began = bbl_clock_thread_cpu();

    memset(&q, 0, sizeof(q));
    q.request_id = (bbl_str){"r", 1};
    bbl_name_set(&q.customer, "u", 1);
    q.urgency = BBL_URGENCY_NORMAL;
    q.deadline = b->now + 500000;
    q.repeatable = true;
    q.all_shards = true;
    q.coverage_ppm = UINT32_MAX;
    q.text = (bbl_str){"find rack of 40 pairs", 21};
    bbl_gather_submit(b->gather, b->now, b->now + 1000000, 0, &q, NULL);
    b->gather_cpu += bbl_clock_thread_cpu() - began;
    deliver_messages(b);
    b->now += 1000;
    complete_exchanges(b);
    while (deliver_messages(b)) {
        complete_exchanges(b);
    }
}

static void
open_bench(traffic_bench *b, const bbl_view *view)
{
    bbl_gather_options g = BBL_GATHER_OPTIONS_INIT;
    bbl_dispatch_options d = BBL_DISPATCH_OPTIONS_INIT;

    memset(b, 0, sizeof(*b));
    b->now = BBL_USEC_PER_SEC;
    b->messages = (bbl_vec)BBL_VEC_INIT(bbl_buf);
    b->started_exchanges = (bbl_vec)BBL_VEC_INIT(uint64_t);
    g.host = 1;
    g.incarnation = 1;
    g.port.send = on_gather_send;
    g.port.cancel = on_gather_cancel;
    g.port.claim = on_claim;
    g.port.answer = on_answer;
    g.port.ctx = b;
    bbl_gather_new(&b->gather, &g);
    d.host = 1;
    d.incarnation = 1;
    d.port.start = on_start_exchange;
    d.port.cancel = on_cancel_exchange;
    d.port.reply = on_reply;
    d.port.report = on_report;
    d.port.ctx = b;
    bbl_dispatch_new(&b->dispatch, &d);
    bbl_gather_set_view(b->gather, b->now, view);
    bbl_dispatch_set_view(b->dispatch, b->now, view);
    bbl_dispatch_set_lease(b->dispatch, UINT64_MAX);
}

static void
measure_fanout(unsigned shards, unsigned queries)
{
    static const char plans[] = "[plan p]\ncustomers = u\n";
    static const char allowances[] = "[allowance p]\nshare = 100%\n";
    bbl_lists *lists;
    bbl_view *view;
    traffic_bench b;

    if (bbl_lists_parse(&lists, (bbl_str){plans, strlen(plans)},
                        (bbl_str){allowances, strlen(allowances)}) != 0) {
        abort();
    }
    view = build_view(shards, shards, 1, lists);
    open_bench(&b, view);
    for (unsigned i = 0; i < queries; i++) {
        run_query(&b);
    }
    printf("traffic shards=%u queries=%u whole=%llu gather_us_per_sub=%.3f "
           "dispatch_us_per_sub=%.3f codec_us_per_sub=%.3f\n",
           shards, queries, (unsigned long long)b.ok_answers,
           (double)b.gather_cpu / (double)b.sub_requests,
           (double)b.dispatch_cpu / (double)b.sub_requests,
           (double)b.codec_cpu / (double)b.sub_requests);
    bbl_gather_free(b.gather);
    bbl_dispatch_free(b.dispatch);
    bbl_vec_free(&b.messages);
    bbl_vec_free(&b.started_exchanges);
    bbl_view_free(view);
    bbl_lists_free(lists);
}

int
main(void)
{
    static const uint32_t members[] = {8, 50, 100, 200, 400};
    static const unsigned searchers[] = {1000, 10000, 79000};
    static const unsigned shards[] = {10, 52, 200, 1100};

    for (size_t i = 0; i < 5; i++) {
        measure_members(members[i], members[i] < 16 ? 3 : 4);
    }
    for (size_t i = 0; i < 5; i++) {
        measure_changes(members[i], members[i] < 16 ? 3 : 4);
    }
    for (size_t i = 0; i < 3; i++) {
        measure_view(searchers[i]);
    }
    for (size_t i = 0; i < 4; i++) {
        measure_fanout(shards[i], 200000 / shards[i]);
    }
    return 0;
}
