#include "control_sim.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "control/control.h"
#include "memdisk.h"
#include "util/alloc.h"

#define STEP_INTERVAL_US 5000u /* between two ticks */
#define CLOCK_ERROR_PPM 1000   /* maximum error, also set in the cores */
#define DELAY_MAX_US 4000u
#define LOSS_PERCENT 2
#define DUPLICATE_PERCENT 2
#define SEARCHERS 4
#define REQUESTS 4
#define LISTS_VERSIONS_MAX 4096
#define RECOVERY_STEPS 3000 /* 15 s, for the recovery at the end */

typedef struct {
    bbl_usec deliver_at;
    uint64_t sequence;
    uint32_t from;
    uint32_t to;
    bbl_buf bytes;
} packet;

typedef struct {
    bbl_control *control;
    memdisk disk;
    bool has_disk;
    uint64_t journal_id; /* 0: not known */
    bool released;       /* the host drained and uses no searcher */
    bbl_usec paused_until;
    int64_t clock_rate_ppm;
    bbl_usec clock_offset;
    uint64_t incarnation;
    uint64_t checked_commit_index; /* entries up to here were compared */
    uint64_t lists_version_seen;
    uint64_t epoch_seen[SEARCHERS];
    bbl_usec usable_from[SEARCHERS];       /* in local time */
    uint64_t handed_over_epoch[SEARCHERS]; /* epoch last handed over */
} host;

/* A change of the lists by an operator and its outcome. */
typedef struct {
    char id[16];
    char plans[64];
    uint64_t expected;
    uint64_t proposal; /* pending proposal; 0: none */
    uint32_t proposed_at;
    bool done;        /* the outcome is known */
    uint64_t version; /* 0: not accepted */
} change;

typedef struct {
    bbl_rng rng;
    bbl_usec now;
    host hosts[CONTROL_HOSTS + 1];
    bool link_cut[CONTROL_HOSTS + 1][CONTROL_HOSTS + 1];
    bool has_spare;  /* the leader keeps three voters */
    bool lossless;   /* at the end: no loss, no duplicates */
    bbl_vec packets; /* of packet */
    uint64_t last_sequence;
    uint64_t leaders[4096];           /* term -> host */
    uint64_t committed_hashes[65536]; /* index -> hash of the entry */
    char accepted_plans[LISTS_VERSIONS_MAX][64]; /* version -> plans text */
    uint64_t version_in_effect; /* greatest version reported in effect */
    uint64_t accepted_version;  /* greatest acknowledged version */
    bbl_vec changes;            /* of change */
    unsigned granted_claims[REQUESTS];
    uint64_t claim_proposals[CONTROL_HOSTS + 1][64];
    unsigned claim_requests[CONTROL_HOSTS + 1][64];
    unsigned claim_count[CONTROL_HOSTS + 1];
    bool leaving[SEARCHERS];
    bblx_voter seeds[CONTROL_VOTERS];
    bool violated;
} control_sim;

static char violation[256];

static void
report_violation(control_sim *sim, const char *fmt, ...)
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
control_op_name(control_op_kind kind)
{
    static const char *const names[CONTROL_OPS] = {
        "run",  "crash",  "restart", "pause", "cut",   "isolate",
        "heal", "change", "resend",  "race",  "claim", "wipe",
        "add",  "remove", "disk",    "drain", "leave", "transfer",
    };

    return names[kind];
}

static bbl_usec
local_time(const control_sim *sim, uint32_t h)
{
    int64_t skew = (int64_t)sim->now * sim->hosts[h].clock_rate_ppm / 1000000;

    return (bbl_usec)((int64_t)(sim->now + sim->hosts[h].clock_offset) + skew);
}

static bool
is_running(const control_sim *sim, uint32_t h)
{
    return sim->hosts[h].control != NULL &&
           sim->now >= sim->hosts[h].paused_until;
}

/* ---- network ---- */

typedef struct {
    control_sim *sim;
    uint32_t host;
} port_ctx;

static port_ctx contexts[CONTROL_HOSTS + 1];

static void
on_send(void *ctx, uint32_t to, bblx_address address, const bblx_message *m)
{
    port_ctx *p = ctx;
    control_sim *sim = p->sim;
    int copies = 1;

    (void)address;
    if (to == 0 || to > CONTROL_HOSTS || sim->link_cut[p->host][to]) {
        return;
    }
    if (!sim->lossless && bbl_rng_below(&sim->rng, 100) < LOSS_PERCENT) {
        copies = 0;
    }
    else if (!sim->lossless &&
             bbl_rng_below(&sim->rng, 100) < DUPLICATE_PERCENT) {
        copies = 2;
    }
    for (int i = 0; i < copies; i++) {
        packet *k = bbl_vec_add(&sim->packets);

        k->deliver_at =
            sim->now + 100 + bbl_rng_below(&sim->rng, DELAY_MAX_US);
        k->sequence = ++sim->last_sequence;
        k->from = p->host;
        k->to = to;
        if (BBL_XDR_ENCODE(&k->bytes, bblx_message, m) != 0) {
            report_violation(sim, "a message does not encode");
        }
    }
}

static void
check_quorum(control_sim *sim, uint32_t h)
{
    host *x = &sim->hosts[h];
    bbl_quorum *q = bbl_control_quorum(x->control);
    bbl_quorum_status s;

    if (q == NULL) {
        return;
    }
    bbl_quorum_get_status(q, &s);
    if (s.role == BBL_ROLE_LEADER && s.term < 4096) {
        if (sim->leaders[s.term] != 0 && sim->leaders[s.term] != h) {
            report_violation(sim, "hosts %llu and %u both lead term %llu",
                             (unsigned long long)sim->leaders[s.term], h,
                             (unsigned long long)s.term);
        }
        sim->leaders[s.term] = h;
    }
    for (uint64_t i = x->checked_commit_index + 1;
         i <= s.commit_index && i < 65536; i++) {
        uint64_t term;
        bbl_str data;
        uint64_t hash;

        x->checked_commit_index = i;
        if (bbl_quorum_get_entry(q, i, &term, &data) != 0) {
            continue;
        }
        hash = bbl_hash(data.ptr, data.size, term) | 1;
        if (sim->committed_hashes[i] != 0 &&
            sim->committed_hashes[i] != hash) {
            report_violation(sim,
                             "entry %llu was committed twice, differently",
                             (unsigned long long)i);
        }
        sim->committed_hashes[i] = hash;
    }
}

static void
deliver_packet(control_sim *sim, packet *k)
{
    host *h = &sim->hosts[k->to];
    bblx_message m;

    memset(&m, 0, sizeof(m));
    if (h->control == NULL ||
        BBL_XDR_DECODE(&m, bblx_message, bbl_buf_str(&k->bytes)) != 0) {
        return;
    }
    bbl_control_step(h->control, local_time(sim, k->to), k->from, &m);
    BBL_XDR_FREE(bblx_message, &m);
    check_quorum(sim, k->to);
}

/* Delivers the due packets, oldest first. Paused hosts get theirs later. */
static void
deliver_due_packets(control_sim *sim)
{
    for (;;) {
        size_t best = SIZE_MAX;
        packet k;

        for (size_t i = 0; i < sim->packets.size; i++) {
            const packet *p = bbl_vec_at(&sim->packets, i);

            if (p->deliver_at <= sim->now &&
                sim->now >= sim->hosts[p->to].paused_until &&
                (best == SIZE_MAX ||
                 p->deliver_at <
                     BBL_VEC_AT(packet, &sim->packets, best)->deliver_at)) {
                best = i;
            }
        }
        if (best == SIZE_MAX) {
            return;
        }
        k = *BBL_VEC_AT(packet, &sim->packets, best);
        bbl_vec_swap_remove(&sim->packets, best);
        deliver_packet(sim, &k);
        bbl_buf_free(&k.bytes);
    }
}

/* ---- outcomes of proposals ---- */

static void
record_accepted_version(control_sim *sim, uint64_t version, const char *plans)
{
    if (version == 0 || version >= LISTS_VERSIONS_MAX) {
        report_violation(sim, "a change was accepted as version %llu",
                         (unsigned long long)version);
        return;
    }
    if (sim->accepted_plans[version][0] != '\0' &&
        strcmp(sim->accepted_plans[version], plans) != 0) {
        report_violation(sim, "two changes were both accepted as version %llu",
                         (unsigned long long)version);
    }
    snprintf(sim->accepted_plans[version], sizeof(sim->accepted_plans[0]),
             "%s", plans);
    if (version > sim->accepted_version) {
        sim->accepted_version = version;
    }
}

static void
on_change(control_sim *sim, change *c, const bblx_propose_reply *r)
{
    c->proposal = 0;
    if (r->status == BBL_ETIMEOUT) {
        return;
    }
    if (c->done && c->version != 0 &&
        (r->status != 0 || r->lists_version != c->version)) {
        report_violation(sim, "a resent change got another outcome");
    }
    c->done = true;
    if (r->status == 0) {
        if (r->lists_version != c->expected + 1) {
            report_violation(sim, "a change over %llu became version %llu",
                             (unsigned long long)c->expected,
                             (unsigned long long)r->lists_version);
        }
        c->version = r->lists_version;
        record_accepted_version(sim, c->version, c->plans);
    }
}

static void
on_proposed(void *ctx, uint64_t number, const bblx_propose_reply *r)
{
    port_ctx *p = ctx;
    control_sim *sim = p->sim;

    for (size_t i = 0; i < sim->changes.size; i++) {
        change *c = bbl_vec_at(&sim->changes, i);

        if (c->proposed_at == p->host && c->proposal == number) {
            on_change(sim, c, r);
            return;
        }
    }
    for (unsigned i = 0; i < sim->claim_count[p->host]; i++) {
        if (sim->claim_proposals[p->host][i] == number && r->status == 0 &&
            r->fresh) {
            unsigned request = sim->claim_requests[p->host][i];

            if (++sim->granted_claims[request] > 1) {
                report_violation(sim, "request %u was claimed twice", request);
            }
        }
    }
}

/* ---- hosts ---- */

/* The injected failure happens once, so the reopened disk works. */
static int
on_reopen(void *ctx, bbl_disk **out)
{
    port_ctx *p = ctx;

    *out = memdisk_open(&p->sim->hosts[p->host].disk);
    return 0;
}

/* A host whose disk failed at its start has no journal until it is reopened.
 */
static void
read_journal_id(host *x)
{
    bbl_quorum_status s;

    if (bbl_control_quorum(x->control) != NULL) {
        bbl_quorum_get_status(bbl_control_quorum(x->control), &s);
        x->journal_id = s.disk_id;
    }
}

static void
start_host(control_sim *sim, uint32_t h)
{
    host *x = &sim->hosts[h];
    bbl_control_options o = BBL_CONTROL_OPTIONS_INIT;
    char zone[8];

    if (x->control != NULL) {
        return;
    }
    contexts[h] = (port_ctx){sim, h};
    o.host = h;
    o.incarnation = ++sim->last_sequence + 1000;
    o.seed = bbl_rng_next(&sim->rng);
    snprintf(zone, sizeof(zone), "dc%u", 1 + h % 3);
    bbl_name_set(&o.zone, zone, strlen(zone));
    o.control = (bblx_address){h, h};
    o.traffic = o.control;
    o.seeds.list.list_len = CONTROL_VOTERS;
    o.seeds.list.list_val = sim->seeds;
    o.clock_ppm = CLOCK_ERROR_PPM;
    o.takeover_delay = 200 * BBL_USEC_PER_MS;
    o.relay_members = 4;
    o.compact_entries = 12;
    o.voters_wanted = sim->has_spare ? CONTROL_VOTERS : 0;
    o.copies = sim->has_spare ? CONTROL_VOTERS - 1 : 0;
    o.port.send = on_send;
    o.port.complete_proposal = on_proposed;
    o.port.reopen_disk = on_reopen;
    o.port.ctx = &contexts[h];
    x->incarnation = o.incarnation;
    x->checked_commit_index = 0;
    x->released = false;
    x->lists_version_seen = 0;
    memset(x->epoch_seen, 0, sizeof(x->epoch_seen));
    if (bbl_control_open(&x->control, &o,
                         x->has_disk ? memdisk_open(&x->disk) : NULL,
                         local_time(sim, h)) != 0) {
        x->control = NULL;
        if (x->disk.fail_at == 0 || x->disk.calls < x->disk.fail_at) {
            report_violation(sim, "host %u does not start: %s", h,
                             bbl_error_last());
        }
        x->disk.fail_at = 0;
        return;
    }
    read_journal_id(x);
}

static void
crash_host(control_sim *sim, uint32_t h)
{
    host *x = &sim->hosts[h];

    if (x->control == NULL) {
        return;
    }
    bbl_control_free(x->control);
    x->control = NULL;
    x->paused_until = 0;
    x->disk.fail_at = 0;
    memdisk_crash(&x->disk, &sim->rng);
    for (size_t i = 0; i < sim->changes.size; i++) {
        change *c = bbl_vec_at(&sim->changes, i);

        if (c->proposed_at == h) {
            c->proposal = 0;
        }
    }
    sim->claim_count[h] = 0;
}

static void
wipe_host(control_sim *sim, uint32_t h)
{
    host *x = &sim->hosts[h];

    crash_host(sim, h);
    memdisk_free(&x->disk);
    memdisk_init(&x->disk);
    x->journal_id = 0;
}

static uint32_t
leader_of(control_sim *sim)
{
    for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
        host *x = &sim->hosts[h];

        if (is_running(sim, h) && bbl_control_quorum(x->control) != NULL &&
            bbl_quorum_has_leader_lease(bbl_control_quorum(x->control),
                                        local_time(sim, h))) {
            return h;
        }
    }
    return 0;
}

/* ---- invariants ---- */

static void
check_lists(control_sim *sim, uint32_t h)
{
    host *x = &sim->hosts[h];
    const bbl_state *state = bbl_control_state(x->control);
    uint64_t version = bbl_state_lists_version(state);
    bool leased = bbl_control_lease_until(x->control) > local_time(sim, h);
    bbl_str plans;
    bbl_str allowances;

    if (version < x->lists_version_seen) {
        report_violation(sim, "host %u went back from version %llu to %llu", h,
                         (unsigned long long)x->lists_version_seen,
                         (unsigned long long)version);
    }
    x->lists_version_seen = version;
    if (leased && version < sim->version_in_effect) {
        report_violation(
            sim, "host %u works with version %llu though %llu is in effect", h,
            (unsigned long long)version,
            (unsigned long long)sim->version_in_effect);
    }
    bbl_state_get_list_texts(state, &plans, &allowances);
    if (version > 0 && version < LISTS_VERSIONS_MAX &&
        sim->accepted_plans[version][0] != '\0' &&
        (plans.size != strlen(sim->accepted_plans[version]) ||
         memcmp(plans.ptr, sim->accepted_plans[version], plans.size) != 0)) {
        report_violation(sim, "host %u holds another text as version %llu", h,
                         (unsigned long long)version);
    }
}

/*
 * Returns whether a host may use a searcher now. The takeover delay starts
 * when the host first sees the epoch.
 */
static bool
may_use_searcher(control_sim *sim, uint32_t h, unsigned searcher)
{
    host *x = &sim->hosts[h];
    const bblx_assign *row =
        bbl_state_find_assignment(bbl_control_state(x->control), searcher + 1);
    bbl_usec now = local_time(sim, h);

    if (row == NULL || row->owner != h || row->incarnation != x->incarnation ||
        x->released || x->handed_over_epoch[searcher] == row->epoch ||
        bbl_control_lease_until(x->control) <= now) {
        return false;
    }
    if (row->epoch != x->epoch_seen[searcher]) {
        x->epoch_seen[searcher] = row->epoch;
        x->usable_from[searcher] = now + row->takeover_delay_us;
    }
    return now >= x->usable_from[searcher];
}

static void
check_owners(control_sim *sim)
{
    for (unsigned s = 0; s < SEARCHERS; s++) {
        uint32_t owner = 0;

        for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
            /* A paused process may resume at any moment, so it counts. */
            if (sim->hosts[h].control == NULL ||
                !may_use_searcher(sim, h, s)) {
                continue;
            }
            if (owner != 0) {
                report_violation(sim, "hosts %u and %u both use searcher %u",
                                 owner, h, s);
            }
            owner = h;
        }
    }
}

static void
check_version_in_effect(control_sim *sim, uint32_t h)
{
    uint32_t waits_for;
    uint64_t version =
        bbl_state_lists_version(bbl_control_state(sim->hosts[h].control));

    if (version > sim->version_in_effect &&
        bbl_control_in_force(sim->hosts[h].control, local_time(sim, h),
                             version, &waits_for) == 1) {
        sim->version_in_effect = version;
    }
}

static void
check_invariants(control_sim *sim)
{
    for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
        if (is_running(sim, h)) {
            check_quorum(sim, h);
            check_version_in_effect(sim, h);
        }
    }
    for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
        if (sim->hosts[h].control != NULL) {
            check_lists(sim, h);
        }
    }
    check_owners(sim);
}

/* ---- time ---- */

static void
set_places(control_sim *sim, uint32_t h)
{
    bblx_place places[SEARCHERS];

    memset(places, 0, sizeof(places));
    for (unsigned s = 0; s < SEARCHERS; s++) {
        places[s].searcher = s + 1;
        places[s].zone = (bblx_name){3, s % 2 ? "dc1" : "dc2"};
        places[s].service = (bblx_name){2, s < 2 ? "s1" : "s2"};
        places[s].slots = 2;
        places[s].connections = 25;
        places[s].leaving = sim->leaving[s];
    }
    bbl_control_set_places(sim->hosts[h].control, places, SEARCHERS);
}

/* Reports the searchers with a next owner as released and stops using them. */
static void
hand_over_searchers(control_sim *sim, uint32_t h)
{
    host *x = &sim->hosts[h];

    for (unsigned s = 0; s < SEARCHERS; s++) {
        const bblx_assign *row =
            bbl_state_find_assignment(bbl_control_state(x->control), s + 1);
        bblx_report r;

        if (row == NULL || row->owner != h || row->next_owner == 0 ||
            row->incarnation != x->incarnation ||
            x->handed_over_epoch[s] == row->epoch ||
            !may_use_searcher(sim, h, s)) {
            continue;
        }
        x->handed_over_epoch[s] = row->epoch;
        memset(&r, 0, sizeof(r));
        r.searcher = s + 1;
        r.epoch = row->epoch;
        r.boot = 1;
        r.phase = BBLX_RELEASED;
        bbl_control_report(x->control, &r);
    }
}

static void
tick_host(control_sim *sim, uint32_t h)
{
    host *x = &sim->hosts[h];
    bbl_quorum_status s;

    bbl_control_tick(x->control, local_time(sim, h), sim->now / 1000);
    read_journal_id(x);
    hand_over_searchers(sim, h);
    bbl_control_confirm_applied(
        x->control, bbl_state_applied_index(bbl_control_state(x->control)));
    if (bbl_control_quorum(x->control) != NULL) {
        bbl_quorum_get_status(bbl_control_quorum(x->control), &s);
        if (s.failed) {
            /* An operator restarts a host whose disk failed. */
            crash_host(sim, h);
        }
    }
}

static void
step_sim(control_sim *sim)
{
    sim->now += STEP_INTERVAL_US;
    deliver_due_packets(sim);
    for (uint32_t h = 1; h <= CONTROL_HOSTS && !sim->violated; h++) {
        if (is_running(sim, h)) {
            tick_host(sim, h);
        }
    }
    check_invariants(sim);
}

static void
run_steps(control_sim *sim, unsigned count)
{
    for (unsigned i = 0; i < count && !sim->violated; i++) {
        step_sim(sim);
    }
}

/* ---- operators ---- */

static void
propose_change(control_sim *sim, change *c, uint32_t at)
{
    static char allowances[] = "[allowance p]\nshare = 50%\n";
    bblx_command command;
    bblx_lists *l = &command.bblx_command_u.lists;
    bbl_buf data = BBL_BUF_INIT;

    if (!is_running(sim, at)) {
        return;
    }
    memset(&command, 0, sizeof(command));
    command.kind = BBLX_LISTS;
    l->expected = c->expected;
    l->change = (bblx_name){(u_int)strlen(c->id), c->id};
    l->plans = (bblx_text){(u_int)strlen(c->plans), c->plans};
    l->allowances = (bblx_text){(u_int)strlen(allowances), allowances};
    if (BBL_XDR_ENCODE(&data, bblx_command, &command) != 0) {
        report_violation(sim, "a change does not encode");
    }
    c->proposed_at = at;
    c->proposal = bbl_control_propose(sim->hosts[at].control,
                                      local_time(sim, at), bbl_buf_str(&data));
    bbl_buf_free(&data);
}

static void
submit_change(control_sim *sim, uint32_t at, uint64_t expected)
{
    change *c = bbl_vec_add(&sim->changes);

    snprintf(c->id, sizeof(c->id), "c%zu", sim->changes.size);
    snprintf(c->plans, sizeof(c->plans), "[plan p]\ncustomers = u%zu\n",
             sim->changes.size);
    c->expected = expected;
    propose_change(sim, c, at);
}

/* Sends one of the last 8 changes again. */
static void
resend_change(control_sim *sim, uint32_t at, unsigned back)
{
    size_t n = sim->changes.size;
    size_t kept = n < 8 ? n : 8;

    propose_change(sim, bbl_vec_at(&sim->changes, n - 1 - back % kept), at);
}

static void
claim_request(control_sim *sim, uint32_t at, unsigned request)
{
    bblx_command command;
    bblx_claim *c = &command.bblx_command_u.claim;
    bbl_buf data = BBL_BUF_INIT;
    char id[8];
    unsigned n = sim->claim_count[at];

    if (!is_running(sim, at) || n == 64) {
        return;
    }
    snprintf(id, sizeof(id), "r%u", request);
    memset(&command, 0, sizeof(command));
    command.kind = BBLX_CLAIM;
    c->customer = (bblx_name){1, "u"};
    c->request.request_len = (u_int)strlen(id);
    c->request.request_val = id;
    c->host = at;
    c->incarnation = sim->hosts[at].incarnation;
    c->nonce = ++sim->last_sequence;
    if (BBL_XDR_ENCODE(&data, bblx_command, &command) != 0) {
        report_violation(sim, "a claim does not encode");
    }
    sim->claim_requests[at][n] = request;
    sim->claim_proposals[at][n] = bbl_control_propose(
        sim->hosts[at].control, local_time(sim, at), bbl_buf_str(&data));
    sim->claim_count[at]++;
    bbl_buf_free(&data);
}

/* ---- schedules ---- */

static void
isolate_host(control_sim *sim, uint32_t a)
{
    for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
        sim->link_cut[a][h] = true;
        sim->link_cut[h][a] = true;
    }
}

/* Returns whether a majority of `voters` keeps its journal without `h`. */
static bool
keeps_majority_without(const control_sim *sim, const bblx_voters *voters,
                       uint32_t h)
{
    size_t all = 0;
    size_t kept = 0;

    for (u_int i = 0; i < voters->list.list_len; i++) {
        const bblx_voter *v = &voters->list.list_val[i];

        if (v->role == BBLX_VOTER) {
            all++;
            kept += v->host != h && sim->hosts[v->host].journal_id == v->disk;
        }
    }
    return kept > all / 2;
}

/*
 * Returns whether a disk may be lost: in the view of every host a majority of
 * the voters must keep its journal.
 */
static bool
can_wipe_disk(control_sim *sim, uint32_t h)
{
    if (!sim->hosts[h].has_disk || leader_of(sim) == 0) {
        return false;
    }
    for (uint32_t i = 1; i <= CONTROL_HOSTS; i++) {
        bbl_quorum *q = sim->hosts[i].control
                            ? bbl_control_quorum(sim->hosts[i].control)
                            : NULL;

        if (q != NULL && bbl_quorum_get_members(q)->list.list_len > 0 &&
            !keeps_majority_without(sim, bbl_quorum_get_members(q), h)) {
            return false;
        }
    }
    return true;
}

/*
 * Returns whether a voter may be removed. If the remaining voters have no
 * majority with an intact journal, the removal loses the majority for good;
 * operators check the status first.
 */
static bool
can_remove_voter(const control_sim *sim, const bblx_voters *voters, uint32_t h)
{
    bblx_voter rest[31];
    bblx_voters without = {{0, rest}};

    for (u_int i = 0; i < voters->list.list_len; i++) {
        if (voters->list.list_val[i].host != h) {
            rest[without.list.list_len++] = voters->list.list_val[i];
        }
    }
    return keeps_majority_without(sim, &without, 0);
}

static void
change_voters(control_sim *sim, uint32_t h, bool add)
{
    uint32_t leader = leader_of(sim);
    bbl_quorum *q;

    if (leader == 0 || !sim->hosts[h].has_disk) {
        return;
    }
    q = bbl_control_quorum(sim->hosts[leader].control);
    if (add && can_remove_voter(sim, bbl_quorum_get_members(q), h)) {
        bbl_quorum_add_learner(q, h, (bblx_address){h, h});
    }
    else if (!add && h != leader &&
             can_remove_voter(sim, bbl_quorum_get_members(q), h)) {
        bbl_quorum_remove_member(q, h);
    }
}

static void
run_op(control_sim *sim, const control_op *op)
{
    uint32_t a = 1 + op->first_arg % CONTROL_HOSTS;
    uint32_t b = 1 + op->second_arg % CONTROL_HOSTS;

    switch (op->kind) {
    case CONTROL_RUN:
        run_steps(sim, 2 * (1 + op->first_arg % 64));
        break;
    case CONTROL_CRASH:
        crash_host(sim, a);
        break;
    case CONTROL_RESTART:
        start_host(sim, a);
        break;
    case CONTROL_PAUSE:
        sim->hosts[a].paused_until =
            sim->now + (1 + op->second_arg % 400) * 10 * BBL_USEC_PER_MS;
        break;
    case CONTROL_CUT:
        sim->link_cut[a][b] = true;
        break;
    case CONTROL_ISOLATE:
        isolate_host(sim, a);
        break;
    case CONTROL_HEAL:
        memset(sim->link_cut, 0, sizeof(sim->link_cut));
        break;
    case CONTROL_CHANGE:
        submit_change(sim, a, sim->accepted_version);
        break;
    case CONTROL_RESEND:
        if (sim->changes.size > 0) {
            resend_change(sim, a, op->second_arg);
        }
        break;
    case CONTROL_RACE:
        submit_change(sim, a, sim->accepted_version);
        submit_change(sim, b, sim->accepted_version);
        break;
    case CONTROL_CLAIM:
        claim_request(sim, a, op->second_arg % REQUESTS);
        break;
    case CONTROL_WIPE:
        if (can_wipe_disk(sim, a)) {
            wipe_host(sim, a);
        }
        break;
    case CONTROL_ADD:
        change_voters(sim, a, true);
        break;
    case CONTROL_REMOVE:
        change_voters(sim, a, false);
        break;
    case CONTROL_FAIL_DISK:
        sim->hosts[a].disk.fail_at =
            sim->hosts[a].disk.calls + 1 + op->second_arg % 8;
        sim->hosts[a].disk.fail_code =
            op->second_arg % 2 ? BBL_EIO : BBL_ENOSPACE;
        sim->hosts[a].disk.fail_with_partial_write = op->second_arg % 3 == 0;
        break;
    case CONTROL_DRAIN:
        if (is_running(sim, a)) {
            bbl_control_drain(sim->hosts[a].control, local_time(sim, a));
            sim->hosts[a].released = true;
            bbl_control_mark_released(sim->hosts[a].control,
                                      local_time(sim, a));
        }
        break;
    case CONTROL_TRANSFER:
        if (leader_of(sim) != 0) {
            uint32_t h = leader_of(sim);

            bbl_quorum_transfer_leadership(
                bbl_control_quorum(sim->hosts[h].control), local_time(sim, h),
                NULL, NULL);
        }
        break;
    case CONTROL_LEAVE:
        sim->leaving[op->second_arg % SEARCHERS] =
            !sim->leaving[op->second_arg % SEARCHERS];
        break;
    default:
        break;
    }
    for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
        if (sim->hosts[h].control != NULL && sim->hosts[h].has_disk) {
            set_places(sim, h);
        }
    }
}

/* Removes all faults. A change must then be accepted and take effect. */
static void
check_recovery(control_sim *sim)
{
    uint64_t before;

    memset(sim->link_cut, 0, sizeof(sim->link_cut));
    sim->lossless = true;
    for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
        /* A new process replaces each host, also a drained one. */
        crash_host(sim, h);
        sim->hosts[h].disk.fail_at = 0;
        start_host(sim, h);
        if (sim->hosts[h].control != NULL && sim->hosts[h].has_disk) {
            set_places(sim, h);
        }
    }
    for (unsigned i = 0; i < RECOVERY_STEPS && !sim->violated; i++) {
        step_sim(sim);
        if (leader_of(sim) != 0 && i > 400) {
            break;
        }
    }
    before = sim->accepted_version;
    for (unsigned i = 0; i < RECOVERY_STEPS && !sim->violated; i++) {
        if (i % 200 == 0 && sim->accepted_version == before) {
            /* A change without an answer may have been accepted meanwhile. */
            uint32_t leader = leader_of(sim);

            if (leader != 0) {
                submit_change(sim, leader,
                              bbl_state_lists_version(bbl_control_state(
                                  sim->hosts[leader].control)));
            }
        }
        step_sim(sim);
        if (sim->accepted_version > before &&
            sim->version_in_effect >= sim->accepted_version) {
            return;
        }
    }
    report_violation(sim,
                     "no change took effect after all faults were removed");
}

static void
start_sim(control_sim *sim, uint64_t seed)
{
    sim->rng.state = seed;
    sim->now = BBL_USEC_PER_SEC;
    sim->packets = (bbl_vec)BBL_VEC_INIT(packet);
    sim->changes = (bbl_vec)BBL_VEC_INIT(change);
    for (uint32_t v = 0; v < CONTROL_VOTERS; v++) {
        sim->seeds[v].host = v + 1;
        sim->seeds[v].role = BBLX_VOTER;
        sim->seeds[v].control = (bblx_address){v + 1, v + 1};
    }
    for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
        host *x = &sim->hosts[h];

        memdisk_init(&x->disk);
        x->has_disk = h <= CONTROL_VOTERS + 1; /* one more host has a disk */
        x->clock_rate_ppm =
            (int64_t)bbl_rng_below(&sim->rng, 2 * CLOCK_ERROR_PPM + 1) -
            CLOCK_ERROR_PPM;
        x->clock_offset = bbl_rng_below(&sim->rng, 1000) * BBL_USEC_PER_SEC;
        if (h <= CONTROL_VOTERS &&
            bbl_quorum_bootstrap(memdisk_open(&x->disk), h) != 0) {
            report_violation(sim, "no journal for host %u", h);
        }
        start_host(sim, h);
        if (x->control != NULL && x->has_disk) {
            set_places(sim, h);
        }
    }
}

static void
free_sim(control_sim *sim)
{
    for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
        bbl_control_free(sim->hosts[h].control);
        memdisk_free(&sim->hosts[h].disk);
    }
    for (size_t i = 0; i < sim->packets.size; i++) {
        bbl_buf_free(&BBL_VEC_AT(packet, &sim->packets, i)->bytes);
    }
    bbl_vec_free(&sim->packets);
    bbl_vec_free(&sim->changes);
}

static const char *
run_schedule(uint64_t seed, const control_op *ops, unsigned count,
             bool has_spare)
{
    control_sim *sim = bbl_calloc(1, sizeof(*sim));
    bool broken;

    sim->has_spare = has_spare;
    start_sim(sim, seed);
    run_steps(sim, 200);
    for (unsigned i = 0; i < count && !sim->violated; i++) {
        run_op(sim, &ops[i]);
        run_steps(sim, 1 + (unsigned)bbl_rng_below(&sim->rng, 20));
    }
    if (!sim->violated) {
        check_recovery(sim);
    }
    broken = sim->violated;
    free_sim(sim);
    free(sim);
    return broken ? violation : NULL;
}

const char *
control_sim_run(uint64_t seed, const control_op *ops, unsigned count)
{
    return run_schedule(seed, ops, count, false);
}

const char *
control_sim_run_with_spare(uint64_t seed, const control_op *ops,
                           unsigned count)
{
    return run_schedule(seed, ops, count, true);
}
