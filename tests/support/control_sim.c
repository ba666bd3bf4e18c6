#include "control_sim.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "control/control.h"
#include "memdisk.h"
#include "util/alloc.h"

#define STEP_US 5000u  /* between two ticks */
#define CLOCK_PPM 1000 /* bound told to the cores */
#define DELAY_MAX_US 4000u
#define LOSS_PERCENT 2
#define REPEAT_PERCENT 2
#define SEARCHERS 4
#define REQUESTS 4
#define VERSIONS_MAX 4096
#define SETTLE_STEPS 3000 /* 15 s, for the end of a schedule */

typedef struct {
    bbl_usec at;
    uint64_t order;
    uint32_t from;
    uint32_t to;
    bbl_buf bytes;
} packet;

typedef struct {
    bbl_control *control;
    memdisk disk;
    bool has_disk;
    uint64_t journal; /* identity of its journal */
    bool released;    /* has stopped using its searchers */
    bbl_usec paused_until;
    int64_t rate_ppm;
    bbl_usec offset;
    uint64_t incarnation;
    uint64_t checked; /* commit index already compared */
    uint64_t lists_seen;
    uint64_t epoch_seen[SEARCHERS];
    bbl_usec usable_from[SEARCHERS]; /* local time */
    uint64_t handed[SEARCHERS];      /* epoch that was handed over */
} host;

/* A change of an operator and what it was told. */
typedef struct {
    char id[16];
    char plans[64];
    uint64_t expected;
    uint64_t number; /* proposal under way */
    uint32_t at;
    bool done;
    uint64_t version; /* 0: not accepted */
} change;

typedef struct {
    bbl_rng rng;
    bbl_usec now;
    host hosts[CONTROL_HOSTS + 1];
    bool cut[CONTROL_HOSTS + 1][CONTROL_HOSTS + 1];
    bool quiet;      /* no loss: the end of the schedule */
    bbl_vec packets; /* packet */
    uint64_t order;
    uint64_t leaders[4096];       /* term -> host */
    uint64_t committed[65536];    /* index -> hash */
    char texts[VERSIONS_MAX][64]; /* version -> plans text accepted */
    uint64_t in_force;            /* greatest version said to be in force */
    uint64_t accepted;            /* greatest version acknowledged */
    bbl_vec changes;              /* change */
    unsigned fresh[REQUESTS];
    uint64_t claim_numbers[CONTROL_HOSTS + 1][64];
    unsigned claim_requests[CONTROL_HOSTS + 1][64];
    unsigned claim_count[CONTROL_HOSTS + 1];
    bool leaving[SEARCHERS];
    bblx_voter seeds[CONTROL_VOTERS];
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
local_time(const world *w, uint32_t h)
{
    int64_t skew = (int64_t)w->now * w->hosts[h].rate_ppm / 1000000;

    return (bbl_usec)((int64_t)(w->now + w->hosts[h].offset) + skew);
}

static bool
is_running(const world *w, uint32_t h)
{
    return w->hosts[h].control != NULL && w->now >= w->hosts[h].paused_until;
}

/* ---- network ---- */

typedef struct {
    world *w;
    uint32_t host;
} port_ctx;

static port_ctx contexts[CONTROL_HOSTS + 1];

static void
on_send(void *ctx, uint32_t to, bblx_address address, const bblx_message *m)
{
    port_ctx *p = ctx;
    world *w = p->w;
    int copies = 1;

    (void)address;
    if (to == 0 || to > CONTROL_HOSTS || w->cut[p->host][to]) {
        return;
    }
    if (!w->quiet && bbl_rng_below(&w->rng, 100) < LOSS_PERCENT) {
        copies = 0;
    }
    else if (!w->quiet && bbl_rng_below(&w->rng, 100) < REPEAT_PERCENT) {
        copies = 2;
    }
    for (int i = 0; i < copies; i++) {
        packet *k = bbl_vec_add(&w->packets);

        k->at = w->now + 100 + bbl_rng_below(&w->rng, DELAY_MAX_US);
        k->order = ++w->order;
        k->from = p->host;
        k->to = to;
        if (BBL_XDR_ENCODE(&k->bytes, bblx_message, m) != 0) {
            violate(w, "a message does not encode");
        }
    }
}

static void
check_quorum(world *w, uint32_t h)
{
    host *x = &w->hosts[h];
    bbl_quorum *q = bbl_control_quorum(x->control);
    bbl_quorum_status s;

    if (q == NULL) {
        return;
    }
    bbl_quorum_get_status(q, &s);
    if (s.role == BBL_ROLE_LEADER && s.term < 4096) {
        if (w->leaders[s.term] != 0 && w->leaders[s.term] != h) {
            violate(w, "hosts %llu and %u both lead term %llu",
                    (unsigned long long)w->leaders[s.term], h,
                    (unsigned long long)s.term);
        }
        w->leaders[s.term] = h;
    }
    for (uint64_t i = x->checked + 1; i <= s.commit_index && i < 65536; i++) {
        uint64_t term;
        bbl_str data;
        uint64_t hash;

        x->checked = i;
        if (bbl_quorum_get_entry(q, i, &term, &data) != 0) {
            continue;
        }
        hash = bbl_hash(data.ptr, data.size, term) | 1;
        if (w->committed[i] != 0 && w->committed[i] != hash) {
            violate(w, "entry %llu was committed twice, differently",
                    (unsigned long long)i);
        }
        w->committed[i] = hash;
    }
}

static void
deliver(world *w, packet *k)
{
    host *h = &w->hosts[k->to];
    bblx_message m;

    memset(&m, 0, sizeof(m));
    if (h->control == NULL ||
        BBL_XDR_DECODE(&m, bblx_message, bbl_buf_str(&k->bytes)) != 0) {
        return;
    }
    bbl_control_step(h->control, local_time(w, k->to), k->from, &m);
    BBL_XDR_FREE(bblx_message, &m);
    check_quorum(w, k->to);
}

/* Delivers what is due, oldest first; paused hosts get theirs later. */
static void
deliver_due(world *w)
{
    for (;;) {
        size_t best = SIZE_MAX;
        packet k;

        for (size_t i = 0; i < w->packets.size; i++) {
            const packet *p = bbl_vec_at(&w->packets, i);

            if (p->at <= w->now && w->now >= w->hosts[p->to].paused_until &&
                (best == SIZE_MAX ||
                 p->at < BBL_VEC_AT(packet, &w->packets, best)->at)) {
                best = i;
            }
        }
        if (best == SIZE_MAX) {
            return;
        }
        k = *BBL_VEC_AT(packet, &w->packets, best);
        bbl_vec_swap_remove(&w->packets, best);
        deliver(w, &k);
        bbl_buf_free(&k.bytes);
    }
}

/* ---- outcomes of proposals ---- */

static void
note_version(world *w, uint64_t version, const char *plans)
{
    if (version == 0 || version >= VERSIONS_MAX) {
        violate(w, "a change was accepted as version %llu",
                (unsigned long long)version);
        return;
    }
    if (w->texts[version][0] != '\0' &&
        strcmp(w->texts[version], plans) != 0) {
        violate(w, "two changes were both accepted as version %llu",
                (unsigned long long)version);
    }
    snprintf(w->texts[version], sizeof(w->texts[0]), "%s", plans);
    if (version > w->accepted) {
        w->accepted = version;
    }
}

static void
on_change(world *w, change *c, const bblx_propose_reply *r)
{
    c->number = 0;
    if (r->status == BBL_ETIMEOUT) {
        return;
    }
    if (c->done && c->version != 0 &&
        (r->status != 0 || r->lists_version != c->version)) {
        violate(w, "a resent change got another outcome");
    }
    c->done = true;
    if (r->status == 0) {
        if (r->lists_version != c->expected + 1) {
            violate(w, "a change over %llu became version %llu",
                    (unsigned long long)c->expected,
                    (unsigned long long)r->lists_version);
        }
        c->version = r->lists_version;
        note_version(w, c->version, c->plans);
    }
}

static void
on_proposed(void *ctx, uint64_t number, const bblx_propose_reply *r)
{
    port_ctx *p = ctx;
    world *w = p->w;

    for (size_t i = 0; i < w->changes.size; i++) {
        change *c = bbl_vec_at(&w->changes, i);

        if (c->at == p->host && c->number == number) {
            on_change(w, c, r);
            return;
        }
    }
    for (unsigned i = 0; i < w->claim_count[p->host]; i++) {
        if (w->claim_numbers[p->host][i] == number && r->status == 0 &&
            r->fresh) {
            unsigned request = w->claim_requests[p->host][i];

            if (++w->fresh[request] > 1) {
                violate(w, "request %u was claimed twice", request);
            }
        }
    }
}

/* ---- hosts ---- */

/* The disk has failed once; it works again now. */
static int
on_reopen(void *ctx, bbl_disk **out)
{
    port_ctx *p = ctx;

    *out = memdisk_open(&p->w->hosts[p->host].disk);
    return 0;
}

static void
start_host(world *w, uint32_t h)
{
    host *x = &w->hosts[h];
    bbl_control_options o = BBL_CONTROL_OPTIONS_INIT;
    char zone[8];

    if (x->control != NULL) {
        return;
    }
    contexts[h] = (port_ctx){w, h};
    o.host = h;
    o.incarnation = ++w->order + 1000;
    o.seed = bbl_rng_next(&w->rng);
    snprintf(zone, sizeof(zone), "dc%u", 1 + h % 3);
    bbl_name_set(&o.zone, zone, strlen(zone));
    o.control = (bblx_address){h, h};
    o.traffic = o.control;
    o.seeds.list.list_len = CONTROL_VOTERS;
    o.seeds.list.list_val = w->seeds;
    o.clock_ppm = CLOCK_PPM;
    o.takeover_delay = 200 * BBL_USEC_PER_MS;
    o.relay_members = 4;
    o.compact_entries = 12;
    o.port.send = on_send;
    o.port.complete_proposal = on_proposed;
    o.port.reopen_disk = on_reopen;
    o.port.ctx = &contexts[h];
    x->incarnation = o.incarnation;
    x->checked = 0;
    x->released = false;
    x->lists_seen = 0;
    memset(x->epoch_seen, 0, sizeof(x->epoch_seen));
    if (bbl_control_open(&x->control, &o,
                         x->has_disk ? memdisk_open(&x->disk) : NULL,
                         local_time(w, h)) != 0) {
        x->control = NULL;
        if (x->disk.fail_at == 0 || x->disk.calls < x->disk.fail_at) {
            violate(w, "host %u does not start: %s", h, bbl_error_last());
        }
        x->disk.fail_at = 0;
        return;
    }
    if (x->has_disk) {
        bbl_quorum_status s;

        bbl_quorum_get_status(bbl_control_quorum(x->control), &s);
        x->journal = s.disk_id;
    }
}

static void
crash_host(world *w, uint32_t h)
{
    host *x = &w->hosts[h];

    if (x->control == NULL) {
        return;
    }
    bbl_control_free(x->control);
    x->control = NULL;
    x->paused_until = 0;
    x->disk.fail_at = 0;
    memdisk_crash(&x->disk, &w->rng);
    for (size_t i = 0; i < w->changes.size; i++) {
        change *c = bbl_vec_at(&w->changes, i);

        if (c->at == h) {
            c->number = 0;
        }
    }
    w->claim_count[h] = 0;
}

static void
wipe_host(world *w, uint32_t h)
{
    host *x = &w->hosts[h];

    crash_host(w, h);
    memdisk_free(&x->disk);
    memdisk_init(&x->disk);
    x->journal = 0;
}

static uint32_t
leader_of(world *w)
{
    for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
        host *x = &w->hosts[h];

        if (is_running(w, h) && bbl_control_quorum(x->control) != NULL &&
            bbl_quorum_leads(bbl_control_quorum(x->control),
                             local_time(w, h))) {
            return h;
        }
    }
    return 0;
}

/* ---- invariants ---- */

static void
check_lists(world *w, uint32_t h)
{
    host *x = &w->hosts[h];
    const bbl_state *state = bbl_control_state(x->control);
    uint64_t version = bbl_state_lists_version(state);
    bool leased = bbl_control_lease_until(x->control) > local_time(w, h);
    bbl_str plans;
    bbl_str allowances;

    if (version < x->lists_seen) {
        violate(w, "host %u went back from version %llu to %llu", h,
                (unsigned long long)x->lists_seen,
                (unsigned long long)version);
    }
    x->lists_seen = version;
    if (leased && version < w->in_force) {
        violate(w, "host %u works with version %llu though %llu is in force",
                h, (unsigned long long)version,
                (unsigned long long)w->in_force);
    }
    bbl_state_get_list_texts(state, &plans, &allowances);
    if (version > 0 && version < VERSIONS_MAX &&
        w->texts[version][0] != '\0' &&
        (plans.size != strlen(w->texts[version]) ||
         memcmp(plans.ptr, w->texts[version], plans.size) != 0)) {
        violate(w, "host %u holds another text as version %llu", h,
                (unsigned long long)version);
    }
}

/* Returns whether a host may use a searcher now. */
static bool
uses(world *w, uint32_t h, unsigned searcher)
{
    host *x = &w->hosts[h];
    const bblx_assign *row =
        bbl_state_find_assignment(bbl_control_state(x->control), searcher + 1);
    bbl_usec now = local_time(w, h);

    if (row == NULL || row->owner != h || row->incarnation != x->incarnation ||
        x->released || x->handed[searcher] == row->epoch ||
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
check_owners(world *w)
{
    for (unsigned s = 0; s < SEARCHERS; s++) {
        uint32_t owner = 0;

        for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
            /* A paused process may wake at any moment and go on. */
            if (w->hosts[h].control == NULL || !uses(w, h, s)) {
                continue;
            }
            if (owner != 0) {
                violate(w, "hosts %u and %u both use searcher %u", owner, h,
                        s);
            }
            owner = h;
        }
    }
}

static void
check_in_force(world *w, uint32_t h)
{
    uint32_t waits_for;
    uint64_t version =
        bbl_state_lists_version(bbl_control_state(w->hosts[h].control));

    if (version > w->in_force &&
        bbl_control_in_force(w->hosts[h].control, local_time(w, h), version,
                             &waits_for) == 1) {
        w->in_force = version;
    }
}

static void
check_all(world *w)
{
    for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
        if (is_running(w, h)) {
            check_quorum(w, h);
            check_in_force(w, h);
        }
    }
    for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
        if (w->hosts[h].control != NULL) {
            check_lists(w, h);
        }
    }
    check_owners(w);
}

/* ---- time ---- */

static void
give_places(world *w, uint32_t h)
{
    bblx_place places[SEARCHERS];

    memset(places, 0, sizeof(places));
    for (unsigned s = 0; s < SEARCHERS; s++) {
        places[s].searcher = s + 1;
        places[s].zone = (bblx_name){3, s % 2 ? "dc1" : "dc2"};
        places[s].service = (bblx_name){2, s < 2 ? "s1" : "s2"};
        places[s].slots = 2;
        places[s].connections = 25;
        places[s].leaving = w->leaving[s];
    }
    bbl_control_set_places(w->hosts[h].control, places, SEARCHERS);
}

/* Stops using the searchers that shall go to another owner, and says so. */
static void
hand_over(world *w, uint32_t h)
{
    host *x = &w->hosts[h];

    for (unsigned s = 0; s < SEARCHERS; s++) {
        const bblx_assign *row =
            bbl_state_find_assignment(bbl_control_state(x->control), s + 1);
        bblx_report r;

        if (row == NULL || row->owner != h || row->next_owner == 0 ||
            row->incarnation != x->incarnation || x->handed[s] == row->epoch ||
            !uses(w, h, s)) {
            continue;
        }
        x->handed[s] = row->epoch;
        memset(&r, 0, sizeof(r));
        r.searcher = s + 1;
        r.epoch = row->epoch;
        r.boot = 1;
        r.phase = BBLX_RELEASED;
        bbl_control_report(x->control, &r);
    }
}

static void
tick_host(world *w, uint32_t h)
{
    host *x = &w->hosts[h];
    bbl_quorum_status s;

    bbl_control_tick(x->control, local_time(w, h), w->now / 1000);
    hand_over(w, h);
    bbl_control_confirm_applied(
        x->control, bbl_state_applied_index(bbl_control_state(x->control)));
    if (bbl_control_quorum(x->control) != NULL) {
        bbl_quorum_get_status(bbl_control_quorum(x->control), &s);
        if (s.failed) {
            /* Operators restart a host whose disk failed. */
            crash_host(w, h);
        }
    }
}

static void
step(world *w)
{
    w->now += STEP_US;
    deliver_due(w);
    for (uint32_t h = 1; h <= CONTROL_HOSTS && !w->broken; h++) {
        if (is_running(w, h)) {
            tick_host(w, h);
        }
    }
    check_all(w);
}

static void
run_steps(world *w, unsigned count)
{
    for (unsigned i = 0; i < count && !w->broken; i++) {
        step(w);
    }
}

/* ---- operators ---- */

static void
propose_change(world *w, change *c, uint32_t at)
{
    static char allowances[] = "[allowance p]\nshare = 50%\n";
    bblx_command command;
    bblx_lists *l = &command.bblx_command_u.lists;
    bbl_buf data = BBL_BUF_INIT;

    if (!is_running(w, at)) {
        return;
    }
    memset(&command, 0, sizeof(command));
    command.kind = BBLX_LISTS;
    l->expected = c->expected;
    l->change = (bblx_name){(u_int)strlen(c->id), c->id};
    l->plans = (bblx_text){(u_int)strlen(c->plans), c->plans};
    l->allowances = (bblx_text){(u_int)strlen(allowances), allowances};
    if (BBL_XDR_ENCODE(&data, bblx_command, &command) != 0) {
        violate(w, "a change does not encode");
    }
    c->at = at;
    c->number = bbl_control_propose(w->hosts[at].control, local_time(w, at),
                                    bbl_buf_str(&data));
    bbl_buf_free(&data);
}

static void
new_change(world *w, uint32_t at, uint64_t expected)
{
    change *c = bbl_vec_add(&w->changes);

    snprintf(c->id, sizeof(c->id), "c%zu", w->changes.size);
    snprintf(c->plans, sizeof(c->plans), "[plan p]\ncustomers = u%zu\n",
             w->changes.size);
    c->expected = expected;
    propose_change(w, c, at);
}

/* Sends one of the last changes again. */
static void
resend(world *w, uint32_t at, unsigned back)
{
    size_t n = w->changes.size;
    size_t kept = n < 8 ? n : 8;

    propose_change(w, bbl_vec_at(&w->changes, n - 1 - back % kept), at);
}

static void
claim(world *w, uint32_t at, unsigned request)
{
    bblx_command command;
    bblx_claim *c = &command.bblx_command_u.claim;
    bbl_buf data = BBL_BUF_INIT;
    char id[8];
    unsigned n = w->claim_count[at];

    if (!is_running(w, at) || n == 64) {
        return;
    }
    snprintf(id, sizeof(id), "r%u", request);
    memset(&command, 0, sizeof(command));
    command.kind = BBLX_CLAIM;
    c->customer = (bblx_name){1, "u"};
    c->request.request_len = (u_int)strlen(id);
    c->request.request_val = id;
    c->host = at;
    c->incarnation = w->hosts[at].incarnation;
    c->nonce = ++w->order;
    if (BBL_XDR_ENCODE(&data, bblx_command, &command) != 0) {
        violate(w, "a claim does not encode");
    }
    w->claim_requests[at][n] = request;
    w->claim_numbers[at][n] = bbl_control_propose(
        w->hosts[at].control, local_time(w, at), bbl_buf_str(&data));
    w->claim_count[at]++;
    bbl_buf_free(&data);
}

/* ---- schedules ---- */

static void
isolate(world *w, uint32_t a)
{
    for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
        w->cut[a][h] = true;
        w->cut[h][a] = true;
    }
}

/* Whether a majority of these voters keeps its journal without host `h`. */
static bool
majority_without(const world *w, const bblx_voters *voters, uint32_t h)
{
    size_t all = 0;
    size_t kept = 0;

    for (u_int i = 0; i < voters->list.list_len; i++) {
        const bblx_voter *v = &voters->list.list_val[i];

        if (v->role == BBLX_VOTER) {
            all++;
            kept += v->host != h && w->hosts[v->host].journal == v->disk;
        }
    }
    return kept > all / 2;
}

/* A disk may be lost while a majority of every view of the voters stays. */
static bool
may_wipe(world *w, uint32_t h)
{
    if (!w->hosts[h].has_disk || leader_of(w) == 0) {
        return false;
    }
    for (uint32_t i = 1; i <= CONTROL_HOSTS; i++) {
        bbl_quorum *q = w->hosts[i].control
                            ? bbl_control_quorum(w->hosts[i].control)
                            : NULL;

        if (q != NULL && bbl_quorum_get_voters(q)->list.list_len > 0 &&
            !majority_without(w, bbl_quorum_get_voters(q), h)) {
            return false;
        }
    }
    return true;
}

/*
 * A removal that comes with the loss of a disk among those that stay loses
 * the majority for good, as it must; operators look at the status first.
 */
static bool
may_remove(const world *w, const bblx_voters *voters, uint32_t h)
{
    bblx_voter rest[31];
    bblx_voters without = {{0, rest}};

    for (u_int i = 0; i < voters->list.list_len; i++) {
        if (voters->list.list_val[i].host != h) {
            rest[without.list.list_len++] = voters->list.list_val[i];
        }
    }
    return majority_without(w, &without, 0);
}

static void
change_voters(world *w, uint32_t h, bool add)
{
    uint32_t leader = leader_of(w);
    bbl_quorum *q;

    if (leader == 0 || !w->hosts[h].has_disk) {
        return;
    }
    q = bbl_control_quorum(w->hosts[leader].control);
    if (add && may_remove(w, bbl_quorum_get_voters(q), h)) {
        bbl_quorum_add_learner(q, h, (bblx_address){h, h});
    }
    else if (!add && h != leader &&
             may_remove(w, bbl_quorum_get_voters(q), h)) {
        bbl_quorum_remove_voter(q, h);
    }
}

static void
run_op(world *w, const control_op *op)
{
    uint32_t a = 1 + op->first_arg % CONTROL_HOSTS;
    uint32_t b = 1 + op->second_arg % CONTROL_HOSTS;

    switch (op->kind) {
    case CONTROL_RUN:
        run_steps(w, 2 * (1 + op->first_arg % 64));
        break;
    case CONTROL_CRASH:
        crash_host(w, a);
        break;
    case CONTROL_RESTART:
        start_host(w, a);
        break;
    case CONTROL_PAUSE:
        w->hosts[a].paused_until =
            w->now + (1 + op->second_arg % 400) * 10 * BBL_USEC_PER_MS;
        break;
    case CONTROL_CUT:
        w->cut[a][b] = true;
        break;
    case CONTROL_ISOLATE:
        isolate(w, a);
        break;
    case CONTROL_HEAL:
        memset(w->cut, 0, sizeof(w->cut));
        break;
    case CONTROL_CHANGE:
        new_change(w, a, w->accepted);
        break;
    case CONTROL_RESEND:
        if (w->changes.size > 0) {
            resend(w, a, op->second_arg);
        }
        break;
    case CONTROL_RACE:
        new_change(w, a, w->accepted);
        new_change(w, b, w->accepted);
        break;
    case CONTROL_CLAIM:
        claim(w, a, op->second_arg % REQUESTS);
        break;
    case CONTROL_WIPE:
        if (may_wipe(w, a)) {
            wipe_host(w, a);
        }
        break;
    case CONTROL_ADD:
        change_voters(w, a, true);
        break;
    case CONTROL_REMOVE:
        change_voters(w, a, false);
        break;
    case CONTROL_FAIL_DISK:
        w->hosts[a].disk.fail_at =
            w->hosts[a].disk.calls + 1 + op->second_arg % 8;
        w->hosts[a].disk.fail_code =
            op->second_arg % 2 ? BBL_EIO : BBL_ENOSPACE;
        w->hosts[a].disk.fail_with_partial_write = op->second_arg % 3 == 0;
        break;
    case CONTROL_DRAIN:
        if (is_running(w, a)) {
            bbl_control_drain(w->hosts[a].control, local_time(w, a));
            w->hosts[a].released = true;
            bbl_control_mark_released(w->hosts[a].control, local_time(w, a));
        }
        break;
    case CONTROL_TRANSFER:
        if (leader_of(w) != 0) {
            uint32_t h = leader_of(w);

            bbl_quorum_transfer_leadership(
                bbl_control_quorum(w->hosts[h].control), local_time(w, h));
        }
        break;
    case CONTROL_LEAVE:
        w->leaving[op->second_arg % SEARCHERS] =
            !w->leaving[op->second_arg % SEARCHERS];
        break;
    default:
        break;
    }
    for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
        if (w->hosts[h].control != NULL && w->hosts[h].has_disk) {
            give_places(w, h);
        }
    }
}

/* Heals everything; a change must then be accepted and come into force. */
static void
check_recovery(world *w)
{
    uint64_t before;

    memset(w->cut, 0, sizeof(w->cut));
    w->quiet = true;
    for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
        /* A drained host is replaced by a fresh process. */
        crash_host(w, h);
        w->hosts[h].disk.fail_at = 0;
        start_host(w, h);
        if (w->hosts[h].control != NULL && w->hosts[h].has_disk) {
            give_places(w, h);
        }
    }
    for (unsigned i = 0; i < SETTLE_STEPS && !w->broken; i++) {
        step(w);
        if (leader_of(w) != 0 && i > 400) {
            break;
        }
    }
    before = w->accepted;
    for (unsigned i = 0; i < SETTLE_STEPS && !w->broken; i++) {
        if (i % 200 == 0 && w->accepted == before) {
            /* An unanswered change may have been accepted meanwhile. */
            uint32_t leader = leader_of(w);

            if (leader != 0) {
                new_change(w, leader,
                           bbl_state_lists_version(
                               bbl_control_state(w->hosts[leader].control)));
            }
        }
        step(w);
        if (w->accepted > before && w->in_force >= w->accepted) {
            return;
        }
    }
    violate(w, "no change came into force after all was healed");
}

static void
begin(world *w, uint64_t seed)
{
    w->rng.state = seed;
    w->now = BBL_USEC_PER_SEC;
    w->packets = (bbl_vec)BBL_VEC_INIT(packet);
    w->changes = (bbl_vec)BBL_VEC_INIT(change);
    for (uint32_t v = 0; v < CONTROL_VOTERS; v++) {
        w->seeds[v].host = v + 1;
        w->seeds[v].role = BBLX_VOTER;
        w->seeds[v].control = (bblx_address){v + 1, v + 1};
    }
    for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
        host *x = &w->hosts[h];

        memdisk_init(&x->disk);
        x->has_disk = h <= CONTROL_VOTERS + 1; /* one spare disk */
        x->rate_ppm =
            (int64_t)bbl_rng_below(&w->rng, 2 * CLOCK_PPM + 1) - CLOCK_PPM;
        x->offset = bbl_rng_below(&w->rng, 1000) * BBL_USEC_PER_SEC;
        if (h <= CONTROL_VOTERS &&
            bbl_quorum_bootstrap(memdisk_open(&x->disk), h) != 0) {
            violate(w, "no journal for host %u", h);
        }
        start_host(w, h);
        if (x->control != NULL && x->has_disk) {
            give_places(w, h);
        }
    }
}

static void
end(world *w)
{
    for (uint32_t h = 1; h <= CONTROL_HOSTS; h++) {
        bbl_control_free(w->hosts[h].control);
        memdisk_free(&w->hosts[h].disk);
    }
    for (size_t i = 0; i < w->packets.size; i++) {
        bbl_buf_free(&BBL_VEC_AT(packet, &w->packets, i)->bytes);
    }
    bbl_vec_free(&w->packets);
    bbl_vec_free(&w->changes);
}

const char *
control_sim_run(uint64_t seed, const control_op *ops, unsigned count)
{
    world *w = bbl_calloc(1, sizeof(*w));
    bool broken;

    begin(w, seed);
    run_steps(w, 200);
    for (unsigned i = 0; i < count && !w->broken; i++) {
        run_op(w, &ops[i]);
        run_steps(w, 1 + (unsigned)bbl_rng_below(&w->rng, 20));
    }
    if (!w->broken) {
        check_recovery(w);
    }
    broken = w->broken;
    end(w);
    free(w);
    return broken ? violation : NULL;
}
