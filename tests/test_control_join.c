/*
 * Tests control cores over a simulated network: the hosts find each other,
 * bootstrap a quorum, add voters to it and replace lost ones, all without
 * operator commands.
 */
#include <string.h>

#include "bbl/errors.h"
#include "control/control.h"
#include "control/fault.h"
#include "support/memdisk.h"
#include "support/run.h"
#include "util/deflate.h"

#define HOSTS 8 /* 1 to 3 are the seeds, 7 and 8 have no disk */
#define STEP_US 5000u
#define SEC BBL_USEC_PER_SEC

unsigned bbl_test_faults;

typedef struct {
    uint32_t from;
    uint32_t to;
    bbl_buf bytes;
} packet;

typedef struct {
    bbl_control *control;
    memdisk disk;
    bool disconnected;
    bbl_usec frozen_until;
    uint64_t proposal; /* number of the last proposal */
    int outcome;
    bool answered;
} host;

typedef struct {
    bbl_usec now;
    uint64_t starts;
    host hosts[HOSTS + 1];
    bbl_vec packets;
    u_int seed_count;
    bblx_voter seeds[3];
    uint32_t compact_entries; /* 0: the default */
} simulation;

typedef struct {
    simulation *sim;
    uint32_t host;
} port_ctx;

static port_ctx contexts[HOSTS + 1];

static void
on_send(void *ctx, uint32_t to, bblx_address address, const bblx_message *m)
{
    port_ctx *p = ctx;
    packet *k = bbl_vec_add(&p->sim->packets);

    ck_assert_uint_eq(address.ip, to);
    k->from = p->host;
    k->to = to;
    ck_assert_int_eq(BBL_XDR_ENCODE(&k->bytes, bblx_message, m), 0);
}

static void
on_proposed(void *ctx, uint64_t number, const bblx_propose_reply *reply)
{
    port_ctx *p = ctx;
    host *x = &p->sim->hosts[p->host];

    if (number == x->proposal) {
        x->answered = true;
        x->outcome = reply->status;
    }
}

static int
on_reopen(void *ctx, bbl_disk **out)
{
    const port_ctx *p = ctx;

    *out = memdisk_open(&p->sim->hosts[p->host].disk);
    return 0;
}

static void
start_host(simulation *sim, uint32_t h, bool bootstraps)
{
    bbl_control_options o = BBL_CONTROL_OPTIONS_INIT;
    bool has_disk = h <= 6;

    contexts[h] = (port_ctx){sim, h};
    o.host = h;
    o.incarnation = ++sim->starts;
    o.seed = sim->starts * 77;
    bbl_name_set(&o.zone, "z", 1);
    o.control = (bblx_address){h, 1};
    o.seeds.list.list_len = sim->seed_count;
    o.seeds.list.list_val = sim->seeds;
    o.voters_wanted = 5;
    o.copies = 3;
    if (sim->compact_entries != 0) {
        o.compact_entries = sim->compact_entries;
    }
    o.port.reopen_disk = on_reopen;
    o.port.send = on_send;
    o.port.complete_proposal = on_proposed;
    o.port.ctx = &contexts[h];
    if (bootstraps && h <= sim->seed_count) {
        ck_assert_int_eq(
            bbl_quorum_bootstrap(memdisk_open(&sim->hosts[h].disk), h), 0);
    }
    ck_assert_int_eq(
        bbl_control_open(&sim->hosts[h].control, &o,
                         has_disk ? memdisk_open(&sim->hosts[h].disk) : NULL,
                         sim->now),
        0);
}

static void
stop_host(simulation *sim, uint32_t h)
{
    bbl_rng rng = {h};

    bbl_control_free(sim->hosts[h].control);
    sim->hosts[h].control = NULL;
    memdisk_crash(&sim->hosts[h].disk, &rng);
}

static void
wipe_disk(simulation *sim, uint32_t h)
{
    memdisk_free(&sim->hosts[h].disk);
    memdisk_init(&sim->hosts[h].disk);
}

static simulation *
open_simulation(void)
{
    simulation *sim = calloc(1, sizeof(*sim));

    sim->now = SEC;
    sim->seed_count = 3;
    sim->packets = (bbl_vec)BBL_VEC_INIT(packet);
    for (uint32_t h = 1; h <= HOSTS; h++) {
        memdisk_init(&sim->hosts[h].disk);
    }
    for (uint32_t h = 1; h <= 3; h++) {
        sim->seeds[h - 1] = (bblx_voter){h, h, BBLX_VOTER, {h, 1}};
    }
    return sim;
}

static void
close_simulation(simulation *sim)
{
    for (uint32_t h = 1; h <= HOSTS; h++) {
        bbl_control_free(sim->hosts[h].control);
        memdisk_free(&sim->hosts[h].disk);
    }
    for (size_t i = 0; i < sim->packets.size; i++) {
        bbl_buf_free(&BBL_VEC_AT(packet, &sim->packets, i)->bytes);
    }
    bbl_vec_free(&sim->packets);
    free(sim);
}

static void
deliver(simulation *sim, packet *k)
{
    bblx_message m;

    if (sim->hosts[k->to].control != NULL && !sim->hosts[k->to].disconnected &&
        !sim->hosts[k->from].disconnected) {
        memset(&m, 0, sizeof(m));
        ck_assert_int_eq(
            BBL_XDR_DECODE(&m, bblx_message, bbl_buf_str(&k->bytes)), 0);
        bbl_control_step(sim->hosts[k->to].control, sim->now, k->from, &m);
        BBL_XDR_FREE(bblx_message, &m);
    }
    bbl_buf_free(&k->bytes);
}

static bool
is_frozen(const simulation *sim, uint32_t h)
{
    return sim->now < sim->hosts[h].frozen_until;
}

static void
run_for(simulation *sim, bbl_usec duration)
{
    for (bbl_usec end = sim->now + duration; sim->now < end;
         sim->now += STEP_US) {
        bbl_vec due = sim->packets;

        sim->packets = (bbl_vec)BBL_VEC_INIT(packet);
        for (size_t i = 0; i < due.size; i++) {
            packet *k = bbl_vec_at(&due, i);

            if (is_frozen(sim, k->to)) {
                bbl_vec_push(&sim->packets, k); /* it waits in the socket */
            }
            else {
                deliver(sim, k);
            }
        }
        bbl_vec_free(&due);
        for (uint32_t h = 1; h <= HOSTS; h++) {
            if (sim->hosts[h].control != NULL && !is_frozen(sim, h)) {
                bbl_control_tick(sim->hosts[h].control, sim->now,
                                 sim->now / 1000);
            }
        }
    }
}

/* Proposes a routing version at a host. */
static void
submit_routing(simulation *sim, uint32_t h, uint64_t version, const char *text)
{
    bblx_command c;
    bbl_buf data = BBL_BUF_INIT;
    bbl_buf packed = BBL_BUF_INIT;
    host *x = &sim->hosts[h];

    memset(&c, 0, sizeof(c));
    c.kind = BBLX_ROUTING;
    bbl_deflate(&packed, (bbl_str){text, strlen(text)});
    c.bblx_command_u.routing.number = version;
    c.bblx_command_u.routing.size = (u_int)strlen(text);
    c.bblx_command_u.routing.document =
        bbl_wire_text_borrow(bbl_buf_str(&packed));
    ck_assert_int_eq(BBL_XDR_ENCODE(&data, bblx_command, &c), 0);
    x->answered = false;
    x->proposal =
        bbl_control_propose(x->control, sim->now, bbl_buf_str(&data));
    bbl_buf_free(&data);
    bbl_buf_free(&packed);
}

/* Proposes a routing version at a host; returns whether it is acknowledged. */
static bool
propose_routing(simulation *sim, uint32_t h, uint64_t version,
                const char *text)
{
    submit_routing(sim, h, version, text);
    run_for(sim, SEC);
    return sim->hosts[h].answered && sim->hosts[h].outcome == 0;
}

static uint64_t
routing_version_at(const simulation *sim, uint32_t h)
{
    return bbl_state_routing(bbl_control_state(sim->hosts[h].control))->number;
}

static uint32_t
find_leader(const simulation *sim)
{
    for (uint32_t h = 1; h <= 6; h++) {
        if (sim->hosts[h].control != NULL &&
            bbl_control_leads(sim->hosts[h].control, sim->now)) {
            return h;
        }
    }
    return 0;
}

static unsigned
count_voters(const simulation *sim, uint32_t only)
{
    const bblx_voters *v = bbl_state_voters(
        bbl_control_state(sim->hosts[find_leader(sim)].control));
    unsigned n = 0;

    for (u_int i = 0; i < v->list.list_len; i++) {
        n += v->list.list_val[i].role == BBLX_VOTER &&
             (only == 0 || v->list.list_val[i].host == only);
    }
    return n;
}

static simulation *
open_grown_simulation(void)
{
    simulation *sim = open_simulation();

    for (uint32_t h = 1; h <= HOSTS; h++) {
        if (h != 6) {
            start_host(sim, h, true);
        }
    }
    run_for(sim, 3 * SEC);
    ck_assert_uint_eq(count_voters(sim, 0), 5);
    return sim;
}

START_TEST(the_quorum_grows_and_every_host_follows)
{
    simulation *sim = open_grown_simulation();

    ck_assert(propose_routing(sim, 5, 3, "three"));
    for (uint32_t h = 1; h <= HOSTS; h++) {
        ck_assert(h == 6 || routing_version_at(sim, h) == 3);
    }
    /* An older version is acknowledged and changes nothing. */
    ck_assert(propose_routing(sim, 1, 2, "two"));
    ck_assert_uint_eq(routing_version_at(sim, 7), 3);
    close_simulation(sim);
}
END_TEST

/* The leader is lost for good at each moment of the start. */
START_TEST(an_early_loss_of_the_leader_leaves_a_quorum)
{
    simulation *sim = open_simulation();
    bbl_usec started = sim->now;
    bbl_usec kill_at = sim->now + (bbl_usec)_i * STEP_US;
    uint32_t lost = 0;

    for (uint32_t h = 1; h <= HOSTS; h++) {
        if (h != 6) {
            start_host(sim, h, true);
        }
    }
    while (lost == 0 && sim->now < started + 5 * SEC) {
        run_for(sim, STEP_US);
        if (sim->now >= kill_at) {
            lost = find_leader(sim);
        }
    }
    ck_assert_uint_ne(lost, 0);
    stop_host(sim, lost);
    run_for(sim, 5 * SEC);
    ck_assert_msg(find_leader(sim) != 0,
                  "no leader 5 s after host %u was lost at %u ms", lost,
                  (unsigned)((kill_at - started) / 1000));
    ck_assert(propose_routing(sim, find_leader(sim), 5, "five"));
    close_simulation(sim);
}
END_TEST

/* A group that begins with one host, while two lost disks must lose nothing.
 */
START_TEST(nothing_is_acknowledged_before_there_are_enough_disks)
{
    simulation *sim = open_simulation();

    sim->seed_count = 1;
    start_host(sim, 1, true);
    run_for(sim, 2 * SEC);
    ck_assert_uint_eq(find_leader(sim), 1);
    ck_assert(!propose_routing(sim, 1, 2, "two"));
    start_host(sim, 2, false);
    run_for(sim, 2 * SEC);
    ck_assert(!propose_routing(sim, 1, 3, "three"));
    start_host(sim, 3, false);
    run_for(sim, 3 * SEC);
    ck_assert(propose_routing(sim, 1, 4, "four"));
    ck_assert_uint_eq(routing_version_at(sim, 2), 4);
    ck_assert_uint_eq(routing_version_at(sim, 3), 4);
    close_simulation(sim);
}
END_TEST

START_TEST(a_lost_voter_is_replaced_by_an_empty_host)
{
    simulation *sim = open_grown_simulation();
    uint32_t lost = find_leader(sim) == 4 ? 5 : 4;

    stop_host(sim, lost);
    run_for(sim, SEC);
    start_host(sim, 6, false);
    run_for(sim, 6 * SEC);
    ck_assert_uint_eq(count_voters(sim, 0), 5);
    ck_assert_uint_eq(count_voters(sim, lost), 0);
    ck_assert_uint_eq(count_voters(sim, 6), 1);
    ck_assert(propose_routing(sim, 6, 9, "nine"));
    close_simulation(sim);
}
END_TEST

START_TEST(a_wiped_voter_joins_again)
{
    simulation *sim = open_grown_simulation();
    uint32_t h = find_leader(sim) == 2 ? 3 : 2;

    stop_host(sim, h);
    wipe_disk(sim, h);
    run_for(sim, SEC);
    start_host(sim, h, false);
    run_for(sim, 3 * SEC);
    ck_assert_uint_eq(count_voters(sim, 0), 5);
    ck_assert_uint_eq(count_voters(sim, h), 1);
    close_simulation(sim);
}
END_TEST

START_TEST(two_wiped_seeds_lead_to_a_leader_that_is_no_seed)
{
    simulation *sim = open_grown_simulation();

    ck_assert(propose_routing(sim, 1, 4, "four"));
    for (uint32_t h = 1; h <= HOSTS; h++) {
        if (sim->hosts[h].control != NULL) {
            stop_host(sim, h);
        }
    }
    /* Each of these two hosts asks the other one first for the leader. */
    wipe_disk(sim, 2);
    wipe_disk(sim, 3);
    run_for(sim, SEC);
    start_host(sim, 1, false);
    start_host(sim, 4, false);
    start_host(sim, 5, false);
    run_for(sim, 2 * SEC);
    for (int i = 0; i < 20 && find_leader(sim) < 4; i++) {
        if (find_leader(sim) == 1) {
            bbl_quorum_transfer_leadership(
                bbl_control_quorum(sim->hosts[1].control), sim->now);
        }
        run_for(sim, SEC / 2);
    }
    ck_assert_uint_gt(find_leader(sim), 3);
    /* The wiped seeds and the entry hosts know the addresses of seeds only. */
    for (uint32_t h = 1; h <= HOSTS; h++) {
        if (h == 2 || h == 3 || h >= 7) {
            start_host(sim, h, false);
        }
    }
    run_for(sim, 5 * SEC);
    ck_assert_uint_ne(find_leader(sim), 0);
    for (uint32_t h = 1; h <= HOSTS; h++) {
        ck_assert_msg(h == 6 || routing_version_at(sim, h) == 4,
                      "host %u has %llu", h,
                      (unsigned long long)routing_version_at(sim, h));
    }
    close_simulation(sim);
}
END_TEST

/*
 * Disconnects one of the three bootstrap hosts, so that two copies remain,
 * which are too few. Returns whether a proposal is acknowledged nevertheless.
 */
static bool
acknowledges_with_two_copies(void)
{
    simulation *sim = open_simulation();
    bool acknowledged;

    for (uint32_t h = 1; h <= 3; h++) {
        start_host(sim, h, true);
    }
    run_for(sim, 2 * SEC);
    ck_assert(propose_routing(sim, find_leader(sim), 1, "one"));
    sim->hosts[find_leader(sim) == 3 ? 2 : 3].disconnected = true;
    acknowledged = propose_routing(sim, find_leader(sim), 2, "two");
    sim->hosts[2].disconnected = false;
    sim->hosts[3].disconnected = false;
    run_for(sim, 3 * SEC);
    ck_assert_uint_eq(routing_version_at(sim, 1), 2);
    close_simulation(sim);
    return acknowledged;
}

START_TEST(nothing_is_acknowledged_on_fewer_disks_than_required)
{
    ck_assert(!acknowledges_with_two_copies());
    bbl_test_faults = BBL_FAULT_COMMIT_BY_MAJORITY;
    ck_assert(acknowledges_with_two_copies());
    bbl_test_faults = 0;
}
END_TEST

START_TEST(what_was_acknowledged_outlives_two_disks_and_a_loss_of_power)
{
    simulation *sim = open_grown_simulation();
    uint32_t first = (uint32_t)_i % 5 + 1;
    uint32_t second = (uint32_t)(_i / 5 + first) % 5 + 1;

    ck_assert(propose_routing(sim, 7, 5, "five"));
    for (uint32_t h = 1; h <= HOSTS; h++) {
        if (sim->hosts[h].control != NULL) {
            stop_host(sim, h);
        }
    }
    wipe_disk(sim, first);
    wipe_disk(sim, second);
    for (uint32_t h = 1; h <= HOSTS; h++) {
        if (h != 6) {
            start_host(sim, h, false);
        }
    }
    run_for(sim, 5 * SEC);
    ck_assert_uint_ne(find_leader(sim), 0);
    ck_assert_uint_eq(routing_version_at(sim, find_leader(sim)), 5);
    ck_assert_uint_eq(routing_version_at(sim, 7), 5);
    close_simulation(sim);
}
END_TEST

START_TEST(a_list_of_backend_servers_reaches_every_host)
{
    simulation *sim = open_grown_simulation();
    bblx_backend b[2];
    size_t pos = 0;
    const bbl_backend_row *row;

    memset(b, 0, sizeof(b));
    for (int i = 0; i < 2; i++) {
        b[i].id.bblx_label_len = 1;
        b[i].id.bblx_label_val = (char *)"ab" + i;
        b[i].service = b[i].id;
        b[i].slots = 2;
        b[i].cold_ms = 500;
    }
    bbl_control_replace_catalog(sim->hosts[find_leader(sim)].control, sim->now,
                                b, NULL, 2);
    run_for(sim, SEC);
    ck_assert_uint_le(bbl_control_catalog_age(sim->hosts[8].control, sim->now),
                      SEC + STEP_US);
    while ((row = bbl_rows_next_backend(
                bbl_control_rows(sim->hosts[8].control), &pos)) != NULL) {
        ck_assert(!row->backend.gone && row->cold_until != 0);
    }
    /* A server that is missing from the next list is marked as gone. */
    bbl_control_replace_catalog(sim->hosts[find_leader(sim)].control, sim->now,
                                b, NULL, 1);
    run_for(sim, SEC);
    pos = 0;
    while ((row = bbl_rows_next_backend(
                bbl_control_rows(sim->hosts[8].control), &pos)) != NULL) {
        ck_assert(row->backend.gone ==
                  (row->backend.id.bblx_label_val[0] == 'b'));
    }
    close_simulation(sim);
}
END_TEST

/* A change has to be in force everywhere after this time. */
#define IN_FORCE_US (3 * SEC)

/*
 * Hosts are cut off for some time, twice, while routings change, and again as
 * they are joined: all at once, they follow within the time to apply a change.
 */
START_TEST(hosts_that_are_joined_again_follow_in_time)
{
    simulation *sim = open_grown_simulation();
    uint64_t version = 1;

    for (unsigned round = 0; round < 2; round++) {
        bbl_usec joined;

        sim->hosts[7].disconnected = true;
        sim->hosts[8].disconnected = true;
        ck_assert(propose_routing(sim, 1, version++, "cut"));
        run_for(sim, (bbl_usec)_i * 230 * BBL_USEC_PER_MS);
        sim->hosts[7].disconnected = false;
        sim->hosts[8].disconnected = false;
        joined = sim->now;
        ck_assert(propose_routing(sim, 2, version, "joined"));
        run_for(sim, joined + IN_FORCE_US - sim->now);
        for (uint32_t h = 7; h <= 8; h++) {
            ck_assert_uint_eq(routing_version_at(sim, h), version);
            ck_assert_uint_gt(bbl_control_lease_until(sim->hosts[h].control),
                              sim->now);
        }
        version++;
    }
    close_simulation(sim);
}
END_TEST

/* A host that reaches none of the others holds no lease after a while. */
START_TEST(a_host_that_is_cut_off_loses_its_lease)
{
    simulation *sim = open_grown_simulation();

    sim->hosts[7].disconnected = true;
    run_for(sim, 2 * SEC);
    ck_assert_uint_le(bbl_control_lease_until(sim->hosts[7].control),
                      sim->now);
    close_simulation(sim);
}
END_TEST

/* A host that starts while its disk is full follows the others meanwhile. */
START_TEST(a_host_starts_on_a_full_disk)
{
    simulation *sim = open_grown_simulation();

    if (_i == 0) {
        sim->hosts[6].disk.full = true;
        start_host(sim, 6, false);
    }
    else {
        /* It wrote a part of a record before it was stopped. */
        sim->hosts[5].disk.full = true;
        sim->hosts[5].disk.fail_with_partial_write = true;
        propose_routing(sim, 1, 4, "four");
        stop_host(sim, 5);
        start_host(sim, 5, false);
    }
    ck_assert(propose_routing(sim, 1, 5, "five"));
    run_for(sim, 2 * SEC);
    ck_assert_uint_eq(routing_version_at(sim, 6 - (uint32_t)_i), 5);
    sim->hosts[6 - _i].disk.full = false;
    run_for(sim, 3 * SEC);
    ck_assert_ptr_nonnull(bbl_control_quorum(sim->hosts[6 - _i].control));
    ck_assert(propose_routing(sim, 6 - (uint32_t)_i, 6, "six"));
    close_simulation(sim);
}
END_TEST

/*
 * A leader is cut off and replaced, and the host that it asks for the new
 * leader is lost. It must ask others once it is joined again.
 */
START_TEST(a_former_leader_finds_the_group_that_has_replaced_it)
{
    simulation *sim = open_grown_simulation();
    uint32_t old = find_leader(sim);
    bbl_control_status s;

    start_host(sim, 6, false);
    sim->hosts[old].disconnected = true;
    run_for(sim, 4 * SEC);
    ck_assert_uint_ne(find_leader(sim), 0);
    ck_assert_uint_ne(find_leader(sim), old);
    bbl_control_get_status(sim->hosts[old].control, sim->now, &s);
    ck_assert_uint_ne(s.parent, 0);
    stop_host(sim, s.parent);
    sim->hosts[old].disconnected = false;
    run_for(sim, 5 * SEC);
    ck_assert_uint_ne(find_leader(sim), 0);
    ck_assert(propose_routing(sim, old, 5, "five"));
    ck_assert_uint_eq(routing_version_at(sim, old), 5);
    close_simulation(sim);
}
END_TEST

/* What happens to another host while a disk is full. */
typedef enum {
    TROUBLE_NONE,
    TROUBLE_FREEZE,
    TROUBLE_DISCONNECT,
    TROUBLE_REPLACE, /* it is lost, and an empty host takes its place */
    TROUBLE_RESTART,
    TROUBLE_KINDS
} trouble_kind;

static void
cause_trouble(simulation *sim, trouble_kind kind, uint32_t h, bbl_rng *rng)
{
    host *x = &sim->hosts[h];

    switch (kind) {
    case TROUBLE_FREEZE:
        x->frozen_until =
            sim->now + (500 + bbl_rng_below(rng, 7000)) * BBL_USEC_PER_MS;
        break;
    case TROUBLE_DISCONNECT:
        x->disconnected = true;
        break;
    case TROUBLE_REPLACE:
        if (sim->hosts[6].control == NULL) {
            stop_host(sim, h);
            wipe_disk(sim, h);
            start_host(sim, 6, false);
        }
        break;
    case TROUBLE_RESTART:
        stop_host(sim, h);
        start_host(sim, h, false);
        break;
    default:
        break;
    }
}

/*
 * The disks of the hosts are full one after another, never two at once, while
 * the routing changes and the journals are compacted. Once the last disk has
 * room again, every host acknowledges changes.
 */
START_TEST(full_disks_in_turn_leave_a_quorum)
{
    enum { ROUNDS = 8 };
    bbl_rng rng = {(uint64_t)_i + 1};
    simulation *sim = open_simulation();
    uint64_t version = 1;

    sim->compact_entries = _i % 2 == 0 ? 8 : 0;
    for (uint32_t h = 1; h <= HOSTS; h++) {
        if (h != 6) {
            start_host(sim, h, true);
        }
    }
    /* Some begin while the quorum still grows. */
    run_for(sim, _i % 4 == 3 ? 300 * BBL_USEC_PER_MS : 4 * SEC);
    for (int round = 0; round < ROUNDS; round++) {
        uint32_t full = 1 + (uint32_t)bbl_rng_below(&rng, 6);
        uint32_t other = 1 + (uint32_t)bbl_rng_below(&rng, 5);
        trouble_kind kind = (trouble_kind)bbl_rng_below(&rng, TROUBLE_KINDS);
        bbl_usec end =
            sim->now + (300 + bbl_rng_below(&rng, 5000)) * BBL_USEC_PER_MS;

        sim->hosts[full].disk.full = true;
        sim->hosts[full].disk.fail_with_partial_write =
            bbl_rng_below(&rng, 2) == 0;
        if (_i % 5 != 0 && other != full &&
            sim->hosts[other].control != NULL) {
            cause_trouble(sim, kind, other, &rng);
        }
        while (sim->now < end) {
            uint32_t at = 1 + (uint32_t)bbl_rng_below(&rng, 5);

            if (sim->hosts[at].control != NULL && !is_frozen(sim, at)) {
                submit_routing(sim, at, ++version, "some text");
            }
            run_for(sim, (50 + bbl_rng_below(&rng, 400)) * BBL_USEC_PER_MS);
        }
        sim->hosts[full].disk.full = false;
        for (uint32_t h = 1; h <= HOSTS; h++) {
            sim->hosts[h].disconnected = false;
        }
        run_for(sim, bbl_rng_below(&rng, 2000) * BBL_USEC_PER_MS);
    }
    for (uint32_t h = 1; h <= HOSTS; h++) {
        sim->hosts[h].frozen_until = 0;
    }
    run_for(sim, 5 * SEC);
    ck_assert_msg(find_leader(sim) != 0, "no leader, seed %d", _i);
    for (uint32_t h = 1; h <= 6; h++) {
        ck_assert_msg(sim->hosts[h].control == NULL ||
                          propose_routing(sim, h, ++version, "the last"),
                      "host %u acknowledges no change, seed %d", h, _i);
    }
    close_simulation(sim);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("control_join");
    TCase *tc = tcase_create("control_join");

    tcase_add_test(tc, the_quorum_grows_and_every_host_follows);
    tcase_add_loop_test(tc, an_early_loss_of_the_leader_leaves_a_quorum, 0,
                        600);
    tcase_add_test(tc, nothing_is_acknowledged_before_there_are_enough_disks);
    tcase_add_test(tc, a_lost_voter_is_replaced_by_an_empty_host);
    tcase_add_test(tc, a_wiped_voter_joins_again);
    tcase_add_test(tc, two_wiped_seeds_lead_to_a_leader_that_is_no_seed);
    tcase_add_test(tc, nothing_is_acknowledged_on_fewer_disks_than_required);
    tcase_add_loop_test(
        tc, what_was_acknowledged_outlives_two_disks_and_a_loss_of_power, 0,
        20);
    tcase_add_loop_test(tc, a_host_starts_on_a_full_disk, 0, 2);
    tcase_add_test(tc, a_former_leader_finds_the_group_that_has_replaced_it);
    tcase_add_loop_test(tc, full_disks_in_turn_leave_a_quorum, 0, 200);
    tcase_add_loop_test(tc, hosts_that_are_joined_again_follow_in_time, 0, 40);
    tcase_add_test(tc, a_host_that_is_cut_off_loses_its_lease);
    tcase_add_test(tc, a_list_of_backend_servers_reaches_every_host);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
