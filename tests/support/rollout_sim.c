#include "rollout_sim.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "control/control.h"
#include "daemon/notice.h"
#include "daemon/publisher.h"
#include "forward/forwarder.h"
#include "memdisk.h"
#include "platform/dialect.h"
#include "util/alloc.h"
#include "util/deflate.h"

#define HOSTS (ROLLOUT_CONTROLS + ROLLOUT_ENTRIES)
#define MS BBL_USEC_PER_MS
#define SEC BBL_USEC_PER_SEC
#define STEP_US (5 * MS)
#define CLOCK_PPM 1000
#define DELAY_MAX_US 4000u
#define LOSS_PERCENT 2
#define SERVERS 6 /* the first half is of the old version */
#define SERVICE_US (10 * MS)
#define DURATION_MS 40000u
#define LONG_ANSWERS 50 /* one in this many takes up to a second */
#define LIST_LAG_US (1 * SEC)
#define LIST_INTERVAL_US (1200 * MS)
#define LIST_STALE_US (3 * SEC)
/* How long after the order the new servers start, and are cold. */
#define START_US (1 * SEC)
#define COLD_US (2 * SEC)
/* The limits that are checked. */
#define EXPOSURE_SHARE 0.1
#define EXPOSURE_CONSTANT 50
#define BAD_ANSWERS 50
#define ROLLBACK_US (5 * SEC)
#define UNSTABLE_US (15 * SEC)

typedef struct {
    bbl_usec deliver_at;
    uint32_t from;
    uint32_t to;
    bbl_buf bytes;
} packet;

typedef struct {
    bbl_attempt *attempt; /* NULL once it was cancelled */
    uint32_t host;
    unsigned server;
    bbl_usec ends_at;
    bool fails;
} exchange;

typedef struct {
    bbl_usec appears_at;
    bbl_usec warm_at;
    bbl_usec leaving_at; /* UINT64_MAX: never */
    bbl_usec gone_at;
} server;

struct rollout_sim;

typedef struct {
    struct rollout_sim *sim;
    uint32_t id;
    bbl_control *control;
    bbl_publisher *publisher; /* of an entry host */
    bbl_forwarder *forwarder;
    memdisk disk;
    uint64_t incarnation;
    bbl_usec paused_until;
    int64_t clock_rate_ppm;
    bbl_usec clock_offset;
    int64_t wall_offset_ms;
    bbl_usec next_list_at;
    uint32_t share;       /* in its last update */
    bool runs;            /* its last update held a running rollout */
    bbl_usec lease_until; /* as its forwarder was told */
} host;

typedef struct rollout_sim {
    bbl_rng rng;
    bbl_usec now;
    host hosts[HOSTS + 1];
    bool link_cut[HOSTS + 1][HOSTS + 1];
    bbl_vec packets;   /* packet */
    bbl_vec exchanges; /* exchange */
    server servers[SERVERS];
    bblx_voter seeds[ROLLOUT_CONTROLS];
    uint64_t last_incarnation;
    uint64_t last_call;
    double rate; /* requests per second */
    /* Share of the answers of the new version that are bad, from bad_at on. */
    double bad_share;
    bool bad_is_slow;
    bbl_usec bad_at;
    bbl_usec ordered_at; /* 0 before the order is recorded */
    bbl_usec ended_at;   /* when a host first knew the end, 0 before */
    bblx_rollout_state end;
    bbl_usec last_fault_at; /* when the quorum was not stable last */
    bool had_faults;
    uint64_t requests; /* between the order and the deadline */
    /* The last requests that went to the new version, by a part of their
     * number. */
    uint64_t exposed_calls[1024];
    uint64_t exposed; /* attempts at the new version until then */
    unsigned bad_answers;
    bbl_usec bad_answers_at; /* of the 50th */
    uint64_t proposal;
    int proposal_status; /* 1: not known yet */
    bool violated;
} rollout_sim;

static char violation[256];

static void
report_violation(rollout_sim *sim, const char *fmt, ...)
{
    va_list ap;

    if (!sim->violated) {
        sim->violated = true;
        va_start(ap, fmt);
        vsnprintf(violation, sizeof(violation), fmt, ap);
        va_end(ap);
    }
}

const char *
rollout_op_name(rollout_op_kind kind)
{
    static const char *const names[ROLLOUT_OPS] = {
        "run", "restart", "pause",    "isolate",
        "cut", "heal",    "transfer", "clock",
    };

    return names[kind];
}

static bbl_usec
local_time(const host *h)
{
    int64_t skew = (int64_t)h->sim->now * h->clock_rate_ppm / 1000000;

    return (bbl_usec)((int64_t)(h->sim->now + h->clock_offset) + skew);
}

static bool
is_running(const host *h)
{
    return h->control != NULL && h->sim->now >= h->paused_until;
}

static bool
is_entry(const host *h)
{
    return h->id > ROLLOUT_CONTROLS;
}

static bool
is_new(unsigned at)
{
    return at >= SERVERS / 2;
}

/* ---- network ---- */

static void
on_message(void *ctx, uint32_t to, bblx_address address, const bblx_message *m)
{
    host *h = ctx;
    rollout_sim *sim = h->sim;
    packet *k;

    (void)address;
    if (to == 0 || to > HOSTS || sim->link_cut[h->id][to] ||
        bbl_rng_below(&sim->rng, 100) < LOSS_PERCENT) {
        return;
    }
    k = bbl_vec_add(&sim->packets);
    k->deliver_at = sim->now + 100 + bbl_rng_below(&sim->rng, DELAY_MAX_US);
    k->from = h->id;
    k->to = to;
    if (BBL_XDR_ENCODE(&k->bytes, bblx_message, m) != 0) {
        report_violation(sim, "a message does not encode");
    }
}

static void
deliver_packets(rollout_sim *sim)
{
    for (size_t i = 0; i < sim->packets.size;) {
        packet k = *BBL_VEC_AT(packet, &sim->packets, i);
        host *h = &sim->hosts[k.to];
        bblx_message m;

        if (k.deliver_at > sim->now || sim->now < h->paused_until) {
            i++;
            continue;
        }
        bbl_vec_remove(&sim->packets, i);
        memset(&m, 0, sizeof(m));
        if (h->control != NULL &&
            BBL_XDR_DECODE(&m, bblx_message, bbl_buf_str(&k.bytes)) == 0) {
            bbl_control_step(h->control, local_time(h), k.from, &m);
            BBL_XDR_FREE(bblx_message, &m);
        }
        bbl_buf_free(&k.bytes);
    }
}

static void
on_proposed(void *ctx, uint64_t number, const bblx_propose_reply *reply)
{
    host *h = ctx;

    if (number == h->sim->proposal) {
        h->sim->proposal_status = reply->status;
    }
}

/* ---- servers ---- */

static bblx_rollout_state
get_known_state(const host *h)
{
    const bblx_rollout *r =
        bbl_state_rollout(bbl_control_state(h->control), 0);

    return r != NULL ? r->state : BBLX_ROLLOUT_FORGOTTEN;
}

static bbl_usec
get_deadline(const rollout_sim *sim)
{
    return sim->ordered_at + DURATION_MS * MS;
}

/* Checks that extra attempts do not go to the new version as well. */
static void
check_extra(rollout_sim *sim, const host *h, uint64_t call)
{
    uint64_t *last = &sim->exposed_calls[call % 1024];

    if (*last == call && h->share < 10000) {
        report_violation(sim,
                         "host %u sends a request to the new version "
                         "twice",
                         h->id);
    }
    *last = call;
}

/* Checks an attempt at a server of the new version. */
static void
check_exposed(rollout_sim *sim, host *h, uint64_t call)
{
    bool unstable =
        sim->last_fault_at != 0 && sim->now < sim->last_fault_at + UNSTABLE_US;
    bbl_usec limit = ROLLBACK_US + (unstable ? UNSTABLE_US : 0);

    if (get_known_state(h) == BBLX_ROLLOUT_COMPLETED ||
        (sim->end == BBLX_ROLLOUT_COMPLETED && sim->ended_at != 0)) {
        return;
    }
    check_extra(sim, h, call);
    sim->exposed += sim->now < get_deadline(sim);
    if (sim->bad_answers_at != 0 && sim->now > sim->bad_answers_at + limit) {
        report_violation(
            sim,
            "host %u sends to a bad version %llu ms after its "
            "50th bad answer",
            h->id,
            (unsigned long long)((sim->now - sim->bad_answers_at) / MS));
    }
    if (!h->runs) {
        report_violation(sim,
                         "host %u sends to the new version without a "
                         "running rollout",
                         h->id);
    }
    if (h->lease_until <= local_time(h)) {
        report_violation(
            sim, "host %u sends to the new version without a lease", h->id);
    }
}

/* Checks an attempt at a server of the old version. */
static void
check_old(rollout_sim *sim, host *h)
{
    if (sim->end == BBLX_ROLLOUT_COMPLETED && sim->ended_at != 0 &&
        h->lease_until > local_time(h)) {
        report_violation(sim, "host %u sends to an old server after the end",
                         h->id);
    }
}

static int
on_send(void *ctx, bbl_attempt *attempt, bbl_backend *backend,
        const bbl_attempt_request *request)
{
    host *h = ctx;
    rollout_sim *sim = h->sim;
    unsigned at = (unsigned)backend->listed.address.port;
    exchange *x = bbl_vec_add(&sim->exchanges);
    bool bad = is_new(at) && sim->now >= sim->bad_at &&
               bbl_rng_unit(&sim->rng) < sim->bad_share;

    if (is_new(at)) {
        check_exposed(sim, h, (uintptr_t)request->request_handle);
    }
    else {
        check_old(sim, h);
    }
    x->attempt = attempt;
    x->host = h->id;
    x->server = at;
    x->ends_at = sim->now + SERVICE_US / 2 +
                 bbl_rng_below(&sim->rng, SERVICE_US) +
                 (bad && sim->bad_is_slow ? 8 * SERVICE_US : 0) +
                 (bbl_rng_below(&sim->rng, LONG_ANSWERS) == 0
                      ? bbl_rng_below(&sim->rng, SEC)
                      : 0);
    x->fails = (bad && !sim->bad_is_slow) ||
               bbl_rng_below(&sim->rng, 200) == 0 ||
               sim->now >= sim->servers[at].gone_at;
    if (bad && ++sim->bad_answers == BAD_ANSWERS) {
        sim->bad_answers_at = x->ends_at;
    }
    bbl_attempt_set_handle(attempt, attempt);
    return 0;
}

static bool
on_is_sent(void *ctx, const bbl_attempt *attempt)
{
    (void)ctx;
    (void)attempt;
    return true;
}

static void
on_cancel(void *ctx, bbl_attempt *attempt)
{
    host *h = ctx;

    for (size_t i = 0; i < h->sim->exchanges.size; i++) {
        exchange *x = bbl_vec_at(&h->sim->exchanges, i);

        if (x->attempt == attempt) {
            bbl_vec_swap_remove(&h->sim->exchanges, i);
            return;
        }
    }
}

static void
complete_exchanges(rollout_sim *sim)
{
    for (size_t i = 0; i < sim->exchanges.size;) {
        exchange x = *BBL_VEC_AT(exchange, &sim->exchanges, i);
        host *h = &sim->hosts[x.host];
        bbl_header stamp = {{"Response-Stamp", 14}, {"s", 1}};
        bbl_attempt_result r;

        if (x.ends_at > sim->now || sim->now < h->paused_until) {
            i++;
            continue;
        }
        bbl_vec_swap_remove(&sim->exchanges, i);
        memset(&r, 0, sizeof(r));
        r.outcome = BBL_ATTEMPT_RESPONSE;
        r.status = x.fails ? 500 : 200;
        r.headers = &stamp;
        r.header_count = 1;
        bbl_forwarder_complete_attempt(h->forwarder, local_time(h), x.attempt,
                                       &r);
    }
}

/* ---- the rest of the port ---- */

static bbl_room
on_room(void *ctx, const bbl_backend *backend, bbl_usec now)
{
    (void)ctx;
    (void)backend;
    (void)now;
    return BBL_ROOM_READY;
}

static void
on_answer(void *ctx, void *handle, const bbl_forward_answer *answer)
{
    (void)ctx;
    (void)handle;
    (void)answer;
}

static void
on_record(void *ctx, const bbl_forward_record *record)
{
    (void)ctx;
    (void)record;
}

static void
on_extra(void *ctx, const bbl_extra_attempt_record *extra)
{
    (void)ctx;
    (void)extra;
}

static void
on_activated(void *ctx, uint64_t version, bbl_usec waited)
{
    (void)ctx;
    (void)version;
    (void)waited;
}

static void
on_ignored(void *ctx, uint64_t version, uint64_t current)
{
    (void)ctx;
    (void)version;
    (void)current;
}

static void
on_server(void *ctx, bbl_backend *backend)
{
    (void)ctx;
    (void)backend;
}

static void
on_server_state(void *ctx, bbl_backend *backend, bbl_backend_state state)
{
    (void)ctx;
    (void)backend;
    (void)state;
}

static int
on_delegate(void *ctx, bbl_delegation *delegation,
            const bbl_delegation_request *request)
{
    (void)ctx;
    (void)delegation;
    (void)request;
    return BBL_EFULL;
}

static void
on_reach(void *ctx, const bbl_reach *reach, bbl_reach_level before)
{
    (void)ctx;
    (void)reach;
    (void)before;
}

static void
on_const_server(void *ctx, const bbl_backend *backend)
{
    (void)ctx;
    (void)backend;
}

static void
on_broken(void *ctx, const bbl_broken_attempt *attempt)
{
    (void)ctx;
    (void)attempt;
}

static void
on_fingerprint(void *ctx, uint64_t fingerprint)
{
    (void)ctx;
    (void)fingerprint;
}

static void
on_counts(void *ctx, const bbl_rollout_tally *tally)
{
    host *h = ctx;
    bbl_notice *notice = bbl_notice_new_rollout_counts(tally);

    notice->rollout_counts.incarnation = h->incarnation;
    bbl_control_send_rollout_counts(h->control, local_time(h),
                                    &notice->rollout_counts);
    bbl_notice_free(notice);
}

static void
open_forwarder(host *h)
{
    bbl_forwarder_options o = BBL_FORWARDER_OPTIONS_INIT;

    o.seed = bbl_rng_next(&h->sim->rng);
    o.dialect = bbl_platform_dialect();
    bbl_name_set(&o.zone, "z1", 2);
    o.port.send = on_send;
    o.port.is_sent = on_is_sent;
    o.port.cancel = on_cancel;
    o.port.get_room = on_room;
    o.port.answer = on_answer;
    o.port.report_request = on_record;
    o.port.report_extra_attempt = on_extra;
    o.port.routing_activated = on_activated;
    o.port.routing_ignored = on_ignored;
    o.port.server_added = on_server;
    o.port.server_removed = on_server;
    o.port.server_changed = on_server_state;
    o.port.delegate = on_delegate;
    o.port.reach_changed = on_reach;
    o.port.rate_limit_reported = on_const_server;
    o.port.leaving_stated = on_const_server;
    o.port.publish_rate_limit = on_const_server;
    o.port.server_ended = on_broken;
    o.port.suspect_answered = on_fingerprint;
    o.port.request_barred = on_fingerprint;
    o.port.report_rollouts = on_counts;
    o.port.ctx = h;
    bbl_forwarder_new(&h->forwarder, &o);
}

/* ---- hosts ---- */

static void
start_host(host *h)
{
    rollout_sim *sim = h->sim;
    bbl_control_options o = BBL_CONTROL_OPTIONS_INIT;
    bbl_publisher_options p = {.dialect = bbl_platform_dialect(),
                               .host = h->id};
    bool entry = is_entry(h);

    o.host = h->id;
    o.incarnation = ++sim->last_incarnation;
    h->incarnation = o.incarnation;
    o.seed = bbl_rng_next(&sim->rng);
    bbl_name_set(&o.zone, "z1", 2);
    o.control = (bblx_address){h->id, h->id};
    o.seeds.list.list_len = ROLLOUT_CONTROLS;
    o.seeds.list.list_val = sim->seeds;
    o.clock_ppm = CLOCK_PPM;
    o.compact_entries = 12;
    o.copies = 2;
    o.port.send = on_message;
    o.port.complete_proposal = on_proposed;
    o.port.ctx = h;
    if (bbl_control_open(&h->control, &o,
                         entry ? NULL : memdisk_open(&h->disk),
                         local_time(h)) != 0) {
        report_violation(sim, "host %u does not start", h->id);
        return;
    }
    h->next_list_at = sim->now + (entry ? 4 * SEC : 0);
    if (entry) {
        p.control = h->control;
        p.incarnation = o.incarnation;
        bbl_publisher_new(&h->publisher, &p);
        open_forwarder(h);
    }
}

static void
stop_host(host *h)
{
    if (h->control == NULL) {
        return;
    }
    bbl_forwarder_free(h->forwarder);
    bbl_publisher_free(h->publisher);
    bbl_control_free(h->control);
    h->forwarder = NULL;
    h->publisher = NULL;
    h->control = NULL;
    h->paused_until = 0;
    memdisk_crash(&h->disk, &h->sim->rng);
}

/* Reads the platform's list, which shows the servers as they were before. */
static void
read_list(host *h)
{
    rollout_sim *sim = h->sim;
    bbl_usec at = sim->now - bbl_rng_below(&sim->rng, LIST_LAG_US);
    bblx_backend list[SERVERS];
    uint64_t versions[SERVERS];
    char ids[SERVERS][8];
    size_t count = 0;

    memset(list, 0, sizeof(list));
    for (unsigned i = 0; i < SERVERS; i++) {
        const server *s = &sim->servers[i];
        bblx_backend *b = &list[count];

        if (at < s->appears_at || at >= s->gone_at) {
            continue;
        }
        snprintf(ids[count], sizeof(ids[count]), "i%u", i);
        b->id = (bblx_label){(u_int)strlen(ids[count]), ids[count]};
        b->service = (bblx_label){1, "s"};
        b->zone = (bblx_name){2, "z1"};
        b->address = (bblx_address){1, i};
        b->slots = 4;
        b->leaving = at >= s->leaving_at;
        b->cold_ms = at < s->warm_at ? (u_int)((s->warm_at - at) / MS) : 0;
        versions[count++] =
            bbl_version_hash((bbl_str){is_new(i) ? "v2" : "v1", 2});
    }
    bbl_control_replace_catalog(h->control, local_time(h), list, versions,
                                count);
}

static void
tick_list(host *h)
{
    bbl_usec now = local_time(h);
    bool leads = bbl_control_leads(h->control, now);
    bbl_usec age = bbl_control_catalog_age(h->control, now);

    if (h->sim->now < h->next_list_at ||
        !(leads || (is_entry(h) && age > LIST_STALE_US))) {
        return;
    }
    h->next_list_at = h->sim->now + LIST_INTERVAL_US;
    read_list(h);
}

static void
tick_host(host *h)
{
    bbl_usec now = local_time(h);
    uint64_t wall = h->sim->now / MS + 1000000;

    bbl_control_tick(h->control, now,
                     (uint64_t)((int64_t)wall + h->wall_offset_ms));
    tick_list(h);
    if (!is_entry(h)) {
        bbl_control_confirm_applied(
            h->control,
            bbl_state_applied_index(bbl_control_state(h->control)));
        return;
    }
    if (bbl_publisher_has_changes(h->publisher, now)) {
        bbl_forwarder_update(h->forwarder, now,
                             bbl_publisher_make_update(h->publisher, now));
    }
    h->runs = get_known_state(h) == BBLX_ROLLOUT_RUNNING;
    h->share = h->runs
                   ? bbl_state_rollout(bbl_control_state(h->control), 0)->share
                   : 0;
    h->lease_until = bbl_control_lease_until(h->control);
    bbl_forwarder_confirm_routing(h->forwarder, h->lease_until);
    bbl_forwarder_tick(h->forwarder, now);
    bbl_control_confirm_applied(h->control,
                                bbl_forwarder_get_applied_index(h->forwarder));
}

/* ---- requests ---- */

static void
send_request(rollout_sim *sim)
{
    host *h = &sim->hosts[ROLLOUT_CONTROLS + 1 +
                          bbl_rng_below(&sim->rng, ROLLOUT_ENTRIES)];
    bbl_forward_request r;

    if (!is_running(h)) {
        return;
    }
    memset(&r, 0, sizeof(r));
    r.request_handle = (void *)(uintptr_t)++sim->last_call;
    r.hostname = (bbl_str){"a.example", 9};
    r.path = (bbl_str){"/r/x", 4};
    r.arrived_at = local_time(h);
    if (sim->ordered_at != 0 && sim->now < get_deadline(sim)) {
        sim->requests++;
    }
    bbl_forwarder_receive_request(h->forwarder, local_time(h), &r);
}

/* ---- the rollout ---- */

/* Checks that nothing is in flight at the old servers from a live host. */
static void
check_completed(rollout_sim *sim)
{
    for (size_t i = 0; i < sim->exchanges.size; i++) {
        const exchange *x = bbl_vec_at(&sim->exchanges, i);
        const host *h = &sim->hosts[x->host];

        if (!is_new(x->server) && h->lease_until > local_time(h)) {
            report_violation(sim,
                             "host %u has a request at an old server when "
                             "the rollout is completed",
                             x->host);
        }
    }
}

/* Notes the end of the rollout, and lets servers start and end with it. */
static void
follow_rollout(rollout_sim *sim)
{
    for (uint32_t id = 1; id <= HOSTS; id++) {
        const host *h = &sim->hosts[id];
        bblx_rollout_state state;

        if (h->control == NULL) {
            continue;
        }
        state = get_known_state(h);
        if (state != BBLX_ROLLOUT_COMPLETED &&
            state != BBLX_ROLLOUT_ROLLED_BACK) {
            continue;
        }
        if (sim->ended_at == 0) {
            sim->ended_at = sim->now;
            sim->end = state;
            for (unsigned i = 0; i < SERVERS; i++) {
                if (state == BBLX_ROLLOUT_COMPLETED && !is_new(i)) {
                    sim->servers[i].gone_at = sim->now;
                }
                if (state == BBLX_ROLLOUT_ROLLED_BACK && is_new(i)) {
                    sim->servers[i].leaving_at = sim->now + 5 * SEC;
                    sim->servers[i].gone_at = sim->now + 10 * SEC;
                }
            }
            if (state == BBLX_ROLLOUT_COMPLETED) {
                check_completed(sim);
            }
        }
        if (state != sim->end) {
            report_violation(sim, "the end of the rollout has changed");
        }
    }
}

static void
step_sim(rollout_sim *sim)
{
    sim->now += STEP_US;
    deliver_packets(sim);
    complete_exchanges(sim);
    for (uint32_t id = 1; id <= HOSTS && !sim->violated; id++) {
        if (is_running(&sim->hosts[id])) {
            tick_host(&sim->hosts[id]);
        }
    }
    for (double due = sim->rate * STEP_US / SEC; due > 0; due -= 1) {
        if (bbl_rng_unit(&sim->rng) < due) {
            send_request(sim);
        }
    }
    follow_rollout(sim);
}

static void
run_until(rollout_sim *sim, bbl_usec until)
{
    while (sim->now < until && !sim->violated) {
        step_sim(sim);
    }
}

static host *
find_leader(rollout_sim *sim)
{
    for (uint32_t id = 1; id <= ROLLOUT_CONTROLS; id++) {
        host *h = &sim->hosts[id];

        if (is_running(h) && bbl_control_leads(h->control, local_time(h))) {
            return h;
        }
    }
    return NULL;
}

static void
install_routing(rollout_sim *sim, host *h)
{
    static char document[] =
        "{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":"
        "\"a.example\",\"path_prefix\":\"/r/\",\"route_type\":\"safe\","
        "\"timeout_ms\":800,\"target_latency_ms\":120,\"priority\":1,"
        "\"service\":\"s\",\"max_attempts\":2}],\"services\":[{\"name\":"
        "\"s\",\"max_connections\":9}]}";
    bbl_buf packed = BBL_BUF_INIT;
    bbl_buf data = BBL_BUF_INIT;
    bblx_command command;
    bblx_routing *r = &command.bblx_command_u.routing;

    memset(&command, 0, sizeof(command));
    command.kind = BBLX_ROUTING;
    r->number = 1;
    r->size = sizeof(document) - 1;
    if (bbl_deflate(&packed, (bbl_str){document, r->size}) == 0) {
        r->document = bbl_wire_text_borrow(bbl_buf_str(&packed));
    }
    if (BBL_XDR_ENCODE(&data, bblx_command, &command) != 0) {
        report_violation(sim, "the routing does not encode");
    }
    bbl_control_propose(h->control, local_time(h), bbl_buf_str(&data));
    bbl_buf_free(&packed);
    bbl_buf_free(&data);
}

/* Orders the rollout while there are no faults. */
static void
order_rollout(rollout_sim *sim)
{
    bblx_rollout order;
    host *h = &sim->hosts[1 + bbl_rng_below(&sim->rng, ROLLOUT_CONTROLS)];

    memset(&order, 0, sizeof(order));
    order.service = (bblx_label){1, "s"};
    order.target = (bblx_label){2, "v2"};
    order.duration_ms = DURATION_MS;
    sim->proposal_status = 1;
    sim->proposal =
        bbl_control_propose_rollout(h->control, local_time(h), &order);
    for (unsigned i = 0; sim->proposal_status == 1 && i < 600; i++) {
        step_sim(sim);
    }
    if (sim->proposal_status != 0) {
        report_violation(sim, "the order is not recorded: %d",
                         sim->proposal_status);
        return;
    }
    sim->ordered_at = sim->now;
    for (unsigned i = SERVERS / 2; i < SERVERS; i++) {
        sim->servers[i].appears_at = sim->now + START_US;
        sim->servers[i].warm_at = sim->now + START_US + COLD_US;
    }
    if (sim->bad_at != UINT64_MAX) {
        sim->bad_at += sim->now;
    }
}

/* ---- schedules ---- */

static void
isolate_host(rollout_sim *sim, uint32_t a)
{
    for (uint32_t id = 1; id <= HOSTS; id++) {
        sim->link_cut[a][id] = true;
        sim->link_cut[id][a] = true;
    }
}

static void
note_fault(rollout_sim *sim, bool of_quorum)
{
    sim->had_faults = true;
    if (of_quorum) {
        sim->last_fault_at = sim->now;
    }
}

static void
restart_host(rollout_sim *sim, host *h)
{
    for (size_t i = sim->exchanges.size; i > 0; i--) {
        if (BBL_VEC_AT(exchange, &sim->exchanges, i - 1)->host == h->id) {
            bbl_vec_swap_remove(&sim->exchanges, i - 1);
        }
    }
    stop_host(h);
    start_host(h);
}

static void
run_op(rollout_sim *sim, const rollout_op *op)
{
    uint32_t a = 1 + op->first_arg % HOSTS;
    uint32_t b = 1 + op->second_arg % HOSTS;
    bool of_quorum = a <= ROLLOUT_CONTROLS;
    host *leader;

    switch (op->kind) {
    case ROLLOUT_RUN:
        run_until(sim, sim->now + (1 + op->first_arg % 30) * 100 * MS);
        return;
    case ROLLOUT_RESTART:
        restart_host(sim, &sim->hosts[a]);
        break;
    case ROLLOUT_PAUSE:
        sim->hosts[a].paused_until =
            sim->now + (1 + op->second_arg % 400) * 10 * MS;
        break;
    case ROLLOUT_ISOLATE:
        isolate_host(sim, a);
        break;
    case ROLLOUT_CUT:
        sim->link_cut[a][b] = true;
        of_quorum = of_quorum && b <= ROLLOUT_CONTROLS;
        break;
    case ROLLOUT_HEAL:
        memset(sim->link_cut, 0, sizeof(sim->link_cut));
        break;
    case ROLLOUT_TRANSFER:
        leader = find_leader(sim);
        if (leader != NULL) {
            bbl_quorum_transfer_leadership(bbl_control_quorum(leader->control),
                                           local_time(leader), NULL, NULL);
        }
        of_quorum = true;
        break;
    case ROLLOUT_CLOCK:
        sim->hosts[a].wall_offset_ms +=
            (int64_t)(op->second_arg % 6000) - 3000;
        break;
    default:
        break;
    }
    note_fault(sim, of_quorum);
}

static bool
is_cut(const rollout_sim *sim)
{
    for (uint32_t a = 1; a <= ROLLOUT_CONTROLS; a++) {
        for (uint32_t b = 1; b <= HOSTS; b++) {
            if (sim->link_cut[a][b] || sim->link_cut[b][a]) {
                return true;
            }
        }
        if (sim->now < sim->hosts[a].paused_until) {
            return true;
        }
    }
    return false;
}

static void
check_end(rollout_sim *sim)
{
    double limit = EXPOSURE_SHARE * (double)sim->requests + EXPOSURE_CONSTANT;
    bool bad = sim->bad_at != UINT64_MAX;

    if (sim->ended_at == 0) {
        report_violation(sim, "the rollout does not end");
    }
    else if (bad && (double)sim->exposed > limit) {
        report_violation(sim, "%llu requests to a bad version, of %llu",
                         (unsigned long long)sim->exposed,
                         (unsigned long long)sim->requests);
    }
    else if (!bad && sim->end != BBLX_ROLLOUT_COMPLETED && !sim->had_faults) {
        report_violation(sim, "a good version is rolled back");
    }
    else if (!bad && !sim->had_faults && sim->ended_at > get_deadline(sim)) {
        report_violation(
            sim, "a good version is completed %llu ms late",
            (unsigned long long)((sim->ended_at - get_deadline(sim)) / MS));
    }
}

static void
choose_version(rollout_sim *sim)
{
    unsigned kind = (unsigned)bbl_rng_below(&sim->rng, 4);

    sim->rate = 20 + (double)bbl_rng_below(&sim->rng, 180);
    sim->bad_share = 0.2 + 0.8 * bbl_rng_unit(&sim->rng);
    sim->bad_is_slow = bbl_rng_below(&sim->rng, 3) == 0;
    sim->bad_at = kind == 0   ? UINT64_MAX
                  : kind == 1 ? 0
                              : bbl_rng_below(&sim->rng, DURATION_MS * MS);
    if (kind == 3) {
        /* The last steps are the ones that expose most. */
        sim->bad_at = DURATION_MS * MS - bbl_rng_below(&sim->rng, 4 * SEC);
    }
}

static void
start_sim(rollout_sim *sim, uint64_t seed)
{
    sim->rng.state = seed;
    sim->now = 100 * SEC;
    sim->packets = (bbl_vec)BBL_VEC_INIT(packet);
    sim->exchanges = (bbl_vec)BBL_VEC_INIT(exchange);
    choose_version(sim);
    for (unsigned i = 0; i < SERVERS; i++) {
        sim->servers[i] =
            (server){is_new(i) ? UINT64_MAX : 0, is_new(i) ? UINT64_MAX : 0,
                     UINT64_MAX, UINT64_MAX};
    }
    for (uint32_t v = 0; v < ROLLOUT_CONTROLS; v++) {
        sim->seeds[v].host = v + 1;
        sim->seeds[v].role = BBLX_VOTER;
        sim->seeds[v].control = (bblx_address){v + 1, v + 1};
    }
    for (uint32_t id = 1; id <= HOSTS; id++) {
        host *h = &sim->hosts[id];

        h->sim = sim;
        h->id = id;
        memdisk_init(&h->disk);
        h->clock_rate_ppm =
            (int64_t)bbl_rng_below(&sim->rng, 2 * CLOCK_PPM + 1) - CLOCK_PPM;
        h->clock_offset = bbl_rng_below(&sim->rng, 1000) * SEC;
        h->wall_offset_ms = (int64_t)bbl_rng_below(&sim->rng, 2000) - 1000;
        if (id <= ROLLOUT_CONTROLS &&
            bbl_quorum_bootstrap(memdisk_open(&h->disk), id) != 0) {
            report_violation(sim, "no journal for host %u", id);
        }
        start_host(h);
    }
}

static void
free_sim(rollout_sim *sim)
{
    for (uint32_t id = 1; id <= HOSTS; id++) {
        stop_host(&sim->hosts[id]);
        memdisk_free(&sim->hosts[id].disk);
    }
    for (size_t i = 0; i < sim->packets.size; i++) {
        bbl_buf_free(&BBL_VEC_AT(packet, &sim->packets, i)->bytes);
    }
    bbl_vec_free(&sim->packets);
    bbl_vec_free(&sim->exchanges);
}

/* Runs until the rollout has ended after all faults were removed. */
static void
finish_schedule(rollout_sim *sim)
{
    memset(sim->link_cut, 0, sizeof(sim->link_cut));
    for (uint32_t id = 1; id <= HOSTS; id++) {
        sim->hosts[id].paused_until = 0;
    }
    while (!sim->violated &&
           (sim->ended_at == 0 || sim->now < get_deadline(sim)) &&
           sim->now < get_deadline(sim) + 60 * SEC) {
        step_sim(sim);
    }
    run_until(sim, sim->now + 3 * SEC);
}

const char *
rollout_sim_run(uint64_t seed, const rollout_op *ops, unsigned count)
{
    rollout_sim *sim = bbl_calloc(1, sizeof(*sim));
    bool broken;

    start_sim(sim, seed);
    run_until(sim, sim->now + 4 * SEC);
    if (find_leader(sim) == NULL) {
        run_until(sim, sim->now + 10 * SEC);
    }
    if (find_leader(sim) != NULL) {
        install_routing(sim, find_leader(sim));
    }
    run_until(sim, sim->now + 4 * SEC);
    if (bbl_rng_below(&sim->rng, 4) == 0) {
        /* A host that does not learn of the order. */
        isolate_host(sim, HOSTS);
        note_fault(sim, false);
        run_until(sim, sim->now + 2 * SEC);
    }
    if (!sim->violated) {
        order_rollout(sim);
    }
    for (unsigned i = 0; i < count && !sim->violated; i++) {
        run_op(sim, &ops[i]);
        if (is_cut(sim)) {
            note_fault(sim, true);
        }
        run_until(sim,
                  sim->now + (1 + bbl_rng_below(&sim->rng, 5)) * 100 * MS);
        if (is_cut(sim)) {
            note_fault(sim, true);
        }
    }
    if (!sim->violated) {
        finish_schedule(sim);
    }
    if (!sim->violated) {
        check_end(sim);
    }
    broken = sim->violated;
    free_sim(sim);
    free(sim);
    return broken ? violation : NULL;
}
