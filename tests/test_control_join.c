/*
 * Hosts that find each other, found a quorum, grow it and replace what is
 * lost, with nobody telling them: control cores over a network in memory.
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
    bool cut;
    uint64_t outcome_of; /* proposal */
    int outcome;
    bool answered;
} host;

typedef struct {
    bbl_usec now;
    uint64_t starts;
    host hosts[HOSTS + 1];
    bbl_vec packets;
    bblx_voter seeds[3];
} world;

typedef struct {
    world *w;
    uint32_t host;
} port_ctx;

static port_ctx contexts[HOSTS + 1];

static void
on_send(void *ctx, uint32_t to, bblx_address address, const bblx_message *m)
{
    port_ctx *p = ctx;
    packet *k = bbl_vec_add(&p->w->packets);

    ck_assert_uint_eq(address.ip, to);
    k->from = p->host;
    k->to = to;
    ck_assert_int_eq(BBL_XDR_ENCODE(&k->bytes, bblx_message, m), 0);
}

static void
on_proposed(void *ctx, uint64_t number, const bblx_propose_reply *reply)
{
    port_ctx *p = ctx;
    host *x = &p->w->hosts[p->host];

    if (number == x->outcome_of) {
        x->answered = true;
        x->outcome = reply->status;
    }
}

static void
start(world *w, uint32_t h, bool founds)
{
    bbl_control_options o = BBL_CONTROL_OPTIONS_INIT;
    bool has_disk = h <= 6;

    contexts[h] = (port_ctx){w, h};
    o.host = h;
    o.incarnation = ++w->starts;
    o.seed = w->starts * 77;
    bbl_name_set(&o.zone, "z", 1);
    o.control = (bblx_address){h, 1};
    o.seeds.list.list_len = 3;
    o.seeds.list.list_val = w->seeds;
    o.voters_wanted = 5;
    o.copies = 3;
    o.port.send = on_send;
    o.port.complete_proposal = on_proposed;
    o.port.ctx = &contexts[h];
    if (founds && h <= 3) {
        ck_assert_int_eq(
            bbl_quorum_bootstrap(memdisk_open(&w->hosts[h].disk), h), 0);
    }
    ck_assert_int_eq(
        bbl_control_open(&w->hosts[h].control, &o,
                         has_disk ? memdisk_open(&w->hosts[h].disk) : NULL,
                         w->now),
        0);
}

static void
stop(world *w, uint32_t h)
{
    bbl_rng rng = {h};

    bbl_control_free(w->hosts[h].control);
    w->hosts[h].control = NULL;
    memdisk_crash(&w->hosts[h].disk, &rng);
}

static void
wipe(world *w, uint32_t h)
{
    memdisk_free(&w->hosts[h].disk);
    memdisk_init(&w->hosts[h].disk);
}

static world *
open_world(void)
{
    world *w = calloc(1, sizeof(*w));

    w->now = SEC;
    w->packets = (bbl_vec)BBL_VEC_INIT(packet);
    for (uint32_t h = 1; h <= HOSTS; h++) {
        memdisk_init(&w->hosts[h].disk);
    }
    for (uint32_t h = 1; h <= 3; h++) {
        w->seeds[h - 1] = (bblx_voter){h, h, BBLX_VOTER, {h, 1}};
    }
    return w;
}

static void
close_world(world *w)
{
    for (uint32_t h = 1; h <= HOSTS; h++) {
        bbl_control_free(w->hosts[h].control);
        memdisk_free(&w->hosts[h].disk);
    }
    for (size_t i = 0; i < w->packets.size; i++) {
        bbl_buf_free(&BBL_VEC_AT(packet, &w->packets, i)->bytes);
    }
    bbl_vec_free(&w->packets);
    free(w);
}

static void
deliver(world *w, packet *k)
{
    bblx_message m;

    if (w->hosts[k->to].control != NULL && !w->hosts[k->to].cut &&
        !w->hosts[k->from].cut) {
        memset(&m, 0, sizeof(m));
        ck_assert_int_eq(
            BBL_XDR_DECODE(&m, bblx_message, bbl_buf_str(&k->bytes)), 0);
        bbl_control_step(w->hosts[k->to].control, w->now, k->from, &m);
        BBL_XDR_FREE(bblx_message, &m);
    }
    bbl_buf_free(&k->bytes);
}

static void
run(world *w, bbl_usec time)
{
    for (bbl_usec end = w->now + time; w->now < end; w->now += STEP_US) {
        bbl_vec due = w->packets;

        w->packets = (bbl_vec)BBL_VEC_INIT(packet);
        for (size_t i = 0; i < due.size; i++) {
            deliver(w, bbl_vec_at(&due, i));
        }
        bbl_vec_free(&due);
        for (uint32_t h = 1; h <= HOSTS; h++) {
            if (w->hosts[h].control != NULL) {
                bbl_control_tick(w->hosts[h].control, w->now, w->now / 1000);
            }
        }
    }
}

/* Orders a routing version through a host; returns whether it was told 0. */
static bool
order(world *w, uint32_t h, uint64_t version, const char *text)
{
    bblx_command c;
    bbl_buf data = BBL_BUF_INIT;
    bbl_buf packed = BBL_BUF_INIT;
    host *x = &w->hosts[h];

    memset(&c, 0, sizeof(c));
    c.kind = BBLX_ROUTING;
    bbl_deflate(&packed, (bbl_str){text, strlen(text)});
    c.bblx_command_u.routing.number = version;
    c.bblx_command_u.routing.size = (u_int)strlen(text);
    c.bblx_command_u.routing.document =
        bbl_wire_text_borrow(bbl_buf_str(&packed));
    ck_assert_int_eq(BBL_XDR_ENCODE(&data, bblx_command, &c), 0);
    x->answered = false;
    x->outcome_of =
        bbl_control_propose(x->control, w->now, bbl_buf_str(&data));
    bbl_buf_free(&data);
    bbl_buf_free(&packed);
    run(w, SEC);
    return x->answered && x->outcome == 0;
}

static uint64_t
version_at(const world *w, uint32_t h)
{
    return bbl_state_routing(bbl_control_state(w->hosts[h].control))->number;
}

static uint32_t
leader(const world *w)
{
    for (uint32_t h = 1; h <= 6; h++) {
        if (w->hosts[h].control != NULL &&
            bbl_control_leads(w->hosts[h].control, w->now)) {
            return h;
        }
    }
    return 0;
}

static unsigned
count_voters(const world *w, uint32_t only)
{
    const bblx_voters *v =
        bbl_state_voters(bbl_control_state(w->hosts[leader(w)].control));
    unsigned n = 0;

    for (u_int i = 0; i < v->list.list_len; i++) {
        n += v->list.list_val[i].role == BBLX_VOTER &&
             (only == 0 || v->list.list_val[i].host == only);
    }
    return n;
}

static world *
grown_world(void)
{
    world *w = open_world();

    for (uint32_t h = 1; h <= HOSTS; h++) {
        if (h != 6) {
            start(w, h, true);
        }
    }
    run(w, 3 * SEC);
    ck_assert_uint_eq(count_voters(w, 0), 5);
    return w;
}

START_TEST(the_quorum_grows_and_everybody_follows)
{
    world *w = grown_world();

    ck_assert(order(w, 5, 3, "three"));
    for (uint32_t h = 1; h <= HOSTS; h++) {
        ck_assert(h == 6 || version_at(w, h) == 3);
    }
    /* An older version is acknowledged and changes nothing. */
    ck_assert(order(w, 1, 2, "two"));
    ck_assert_uint_eq(version_at(w, 7), 3);
    close_world(w);
}
END_TEST

START_TEST(a_lost_voter_is_replaced_by_an_empty_host)
{
    world *w = grown_world();
    uint32_t lost = leader(w) == 4 ? 5 : 4;

    stop(w, lost);
    run(w, SEC);
    start(w, 6, false);
    run(w, 6 * SEC);
    ck_assert_uint_eq(count_voters(w, 0), 5);
    ck_assert_uint_eq(count_voters(w, lost), 0);
    ck_assert_uint_eq(count_voters(w, 6), 1);
    ck_assert(order(w, 6, 9, "nine"));
    close_world(w);
}
END_TEST

START_TEST(a_wiped_voter_joins_again)
{
    world *w = grown_world();
    uint32_t h = leader(w) == 2 ? 3 : 2;

    stop(w, h);
    wipe(w, h);
    run(w, SEC);
    start(w, h, false);
    run(w, 3 * SEC);
    ck_assert_uint_eq(count_voters(w, 0), 5);
    ck_assert_uint_eq(count_voters(w, h), 1);
    close_world(w);
}
END_TEST

START_TEST(two_wiped_seeds_lead_to_a_leader_that_is_no_seed)
{
    world *w = grown_world();

    ck_assert(order(w, 1, 4, "four"));
    for (uint32_t h = 1; h <= HOSTS; h++) {
        if (w->hosts[h].control != NULL) {
            stop(w, h);
        }
    }
    /* Each of these two asks the other one first. */
    wipe(w, 2);
    wipe(w, 3);
    run(w, SEC);
    start(w, 1, false);
    start(w, 4, false);
    start(w, 5, false);
    run(w, 2 * SEC);
    for (int i = 0; i < 20 && leader(w) < 4; i++) {
        if (leader(w) == 1) {
            bbl_quorum_transfer_leadership(
                bbl_control_quorum(w->hosts[1].control), w->now);
        }
        run(w, SEC / 2);
    }
    ck_assert_uint_gt(leader(w), 3);
    /* The emptied seeds and the entry hosts know no other address. */
    for (uint32_t h = 1; h <= HOSTS; h++) {
        if (h == 2 || h == 3 || h >= 7) {
            start(w, h, false);
        }
    }
    run(w, 5 * SEC);
    ck_assert_uint_ne(leader(w), 0);
    for (uint32_t h = 1; h <= HOSTS; h++) {
        ck_assert_msg(h == 6 || version_at(w, h) == 4, "host %u has %llu", h,
                      (unsigned long long)version_at(w, h));
    }
    close_world(w);
}
END_TEST

/* Three founders, of which one is cut off: two copies are too few. */
static bool
acknowledges_with_two_copies(void)
{
    world *w = open_world();
    bool acknowledged;

    for (uint32_t h = 1; h <= 3; h++) {
        start(w, h, true);
    }
    run(w, 2 * SEC);
    ck_assert(order(w, leader(w), 1, "one"));
    w->hosts[leader(w) == 3 ? 2 : 3].cut = true;
    acknowledged = order(w, leader(w), 2, "two");
    w->hosts[2].cut = false;
    w->hosts[3].cut = false;
    run(w, 3 * SEC);
    ck_assert_uint_eq(version_at(w, 1), 2);
    close_world(w);
    return acknowledged;
}

START_TEST(nothing_is_acknowledged_on_fewer_disks_than_asked_for)
{
    ck_assert(!acknowledges_with_two_copies());
    bbl_test_faults = BBL_FAULT_COMMIT_BY_MAJORITY;
    ck_assert(acknowledges_with_two_copies());
    bbl_test_faults = 0;
}
END_TEST

START_TEST(what_was_acknowledged_outlives_two_disks_and_a_loss_of_power)
{
    world *w = grown_world();
    uint32_t first = (uint32_t)_i % 5 + 1;
    uint32_t second = (uint32_t)(_i / 5 + first) % 5 + 1;

    ck_assert(order(w, 7, 5, "five"));
    for (uint32_t h = 1; h <= HOSTS; h++) {
        if (w->hosts[h].control != NULL) {
            stop(w, h);
        }
    }
    wipe(w, first);
    wipe(w, second);
    for (uint32_t h = 1; h <= HOSTS; h++) {
        if (h != 6) {
            start(w, h, false);
        }
    }
    run(w, 5 * SEC);
    ck_assert_uint_ne(leader(w), 0);
    ck_assert_uint_eq(version_at(w, leader(w)), 5);
    ck_assert_uint_eq(version_at(w, 7), 5);
    close_world(w);
}
END_TEST

START_TEST(a_list_of_servers_reaches_every_host)
{
    world *w = grown_world();
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
    bbl_control_replace_catalog(w->hosts[leader(w)].control, w->now, b, 2);
    run(w, SEC);
    ck_assert_uint_le(bbl_control_catalog_age(w->hosts[8].control, w->now),
                      SEC + STEP_US);
    while ((row = bbl_rows_next_backend(bbl_control_rows(w->hosts[8].control),
                                        &pos)) != NULL) {
        ck_assert(!row->backend.gone && row->cold_until != 0);
    }
    /* What is missing from the next list is gone. */
    bbl_control_replace_catalog(w->hosts[leader(w)].control, w->now, b, 1);
    run(w, SEC);
    pos = 0;
    while ((row = bbl_rows_next_backend(bbl_control_rows(w->hosts[8].control),
                                        &pos)) != NULL) {
        ck_assert(row->backend.gone ==
                  (row->backend.id.bblx_label_val[0] == 'b'));
    }
    close_world(w);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("control_join");
    TCase *tc = tcase_create("control_join");

    tcase_add_test(tc, the_quorum_grows_and_everybody_follows);
    tcase_add_test(tc, a_lost_voter_is_replaced_by_an_empty_host);
    tcase_add_test(tc, a_wiped_voter_joins_again);
    tcase_add_test(tc, two_wiped_seeds_lead_to_a_leader_that_is_no_seed);
    tcase_add_test(tc, nothing_is_acknowledged_on_fewer_disks_than_asked_for);
    tcase_add_loop_test(
        tc, what_was_acknowledged_outlives_two_disks_and_a_loss_of_power, 0,
        20);
    tcase_add_test(tc, a_list_of_servers_reaches_every_host);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
