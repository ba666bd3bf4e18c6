/*
 * Tests control cores over a simulated network: the hosts find each other,
 * bootstrap a quorum, add voters to it and replace lost ones, all without
 * operator commands.
 */
#include <string.h>

#include "bbl/errors.h"
#include "control/fault.h"
#include "support/control_group.h"
#include "support/run.h"

#define SEC BBL_USEC_PER_SEC

unsigned bbl_test_faults;

START_TEST(the_quorum_grows_and_every_host_follows)
{
    control_group *sim = control_group_open_grown();

    ck_assert(control_group_propose_routing(sim, 5, 3, "three"));
    for (uint32_t h = 1; h <= GROUP_HOSTS; h++) {
        ck_assert(h == 6 || control_group_routing_version_at(sim, h) == 3);
    }
    /* An older version is acknowledged and changes nothing. */
    ck_assert(control_group_propose_routing(sim, 1, 2, "two"));
    ck_assert_uint_eq(control_group_routing_version_at(sim, 7), 3);
    control_group_close(sim);
}
END_TEST

/* The leader is lost for good at each moment of the start. */
START_TEST(an_early_loss_of_the_leader_leaves_a_quorum)
{
    control_group *sim = control_group_open();
    bbl_usec started = sim->now;
    bbl_usec kill_at = sim->now + (bbl_usec)_i * GROUP_STEP_US;
    uint32_t lost = 0;

    for (uint32_t h = 1; h <= GROUP_HOSTS; h++) {
        if (h != 6) {
            control_group_start_host(sim, h, true);
        }
    }
    while (lost == 0 && sim->now < started + 5 * SEC) {
        control_group_run_for(sim, GROUP_STEP_US);
        if (sim->now >= kill_at) {
            lost = control_group_find_leader(sim);
        }
    }
    ck_assert_uint_ne(lost, 0);
    control_group_stop_host(sim, lost);
    control_group_run_for(sim, 5 * SEC);
    ck_assert_msg(control_group_find_leader(sim) != 0,
                  "no leader 5 s after host %u was lost at %u ms", lost,
                  (unsigned)((kill_at - started) / 1000));
    ck_assert(control_group_propose_routing(
        sim, control_group_find_leader(sim), 5, "five"));
    control_group_close(sim);
}
END_TEST

/* A group that begins with one host, while two lost disks must lose nothing.
 */
START_TEST(nothing_is_acknowledged_before_there_are_enough_disks)
{
    control_group *sim = control_group_open();

    sim->seed_count = 1;
    control_group_start_host(sim, 1, true);
    control_group_run_for(sim, 2 * SEC);
    ck_assert_uint_eq(control_group_find_leader(sim), 1);
    ck_assert(!control_group_propose_routing(sim, 1, 2, "two"));
    control_group_start_host(sim, 2, false);
    control_group_run_for(sim, 2 * SEC);
    ck_assert(!control_group_propose_routing(sim, 1, 3, "three"));
    control_group_start_host(sim, 3, false);
    control_group_run_for(sim, 3 * SEC);
    ck_assert(control_group_propose_routing(sim, 1, 4, "four"));
    ck_assert_uint_eq(control_group_routing_version_at(sim, 2), 4);
    ck_assert_uint_eq(control_group_routing_version_at(sim, 3), 4);
    control_group_close(sim);
}
END_TEST

START_TEST(a_lost_voter_is_replaced_by_an_empty_host)
{
    control_group *sim = control_group_open_grown();
    uint32_t lost = control_group_find_leader(sim) == 4 ? 5 : 4;

    control_group_stop_host(sim, lost);
    control_group_run_for(sim, SEC);
    control_group_start_host(sim, 6, false);
    control_group_run_for(sim, 6 * SEC);
    ck_assert_uint_eq(control_group_count_voters(sim, 0), 5);
    ck_assert_uint_eq(control_group_count_voters(sim, lost), 0);
    ck_assert_uint_eq(control_group_count_voters(sim, 6), 1);
    ck_assert(control_group_propose_routing(sim, 6, 9, "nine"));
    control_group_close(sim);
}
END_TEST

START_TEST(a_wiped_voter_joins_again)
{
    control_group *sim = control_group_open_grown();
    uint32_t h = control_group_find_leader(sim) == 2 ? 3 : 2;

    control_group_stop_host(sim, h);
    control_group_wipe_disk(sim, h);
    control_group_run_for(sim, SEC);
    control_group_start_host(sim, h, false);
    control_group_run_for(sim, 3 * SEC);
    ck_assert_uint_eq(control_group_count_voters(sim, 0), 5);
    ck_assert_uint_eq(control_group_count_voters(sim, h), 1);
    control_group_close(sim);
}
END_TEST

START_TEST(two_wiped_seeds_lead_to_a_leader_that_is_no_seed)
{
    control_group *sim = control_group_open_grown();

    ck_assert(control_group_propose_routing(sim, 1, 4, "four"));
    for (uint32_t h = 1; h <= GROUP_HOSTS; h++) {
        if (sim->hosts[h].control != NULL) {
            control_group_stop_host(sim, h);
        }
    }
    /* Each of these two hosts asks the other one first for the leader. */
    control_group_wipe_disk(sim, 2);
    control_group_wipe_disk(sim, 3);
    control_group_run_for(sim, SEC);
    control_group_start_host(sim, 1, false);
    control_group_start_host(sim, 4, false);
    control_group_start_host(sim, 5, false);
    control_group_run_for(sim, 2 * SEC);
    for (int i = 0; i < 20 && control_group_find_leader(sim) < 4; i++) {
        if (control_group_find_leader(sim) == 1) {
            bbl_quorum_transfer_leadership(
                bbl_control_quorum(sim->hosts[1].control), sim->now, NULL,
                NULL);
        }
        control_group_run_for(sim, SEC / 2);
    }
    ck_assert_uint_gt(control_group_find_leader(sim), 3);
    /* The wiped seeds and the entry hosts know the addresses of seeds only. */
    for (uint32_t h = 1; h <= GROUP_HOSTS; h++) {
        if (h == 2 || h == 3 || h >= 7) {
            control_group_start_host(sim, h, false);
        }
    }
    control_group_run_for(sim, 5 * SEC);
    ck_assert_uint_ne(control_group_find_leader(sim), 0);
    for (uint32_t h = 1; h <= GROUP_HOSTS; h++) {
        ck_assert_msg(
            h == 6 || control_group_routing_version_at(sim, h) == 4,
            "host %u has %llu", h,
            (unsigned long long)control_group_routing_version_at(sim, h));
    }
    control_group_close(sim);
}
END_TEST

/*
 * Disconnects one of the three bootstrap hosts, so that two copies remain,
 * which are too few. Returns whether a proposal is acknowledged nevertheless.
 */
static bool
acknowledges_with_two_copies(void)
{
    control_group *sim = control_group_open();
    bool acknowledged;

    for (uint32_t h = 1; h <= 3; h++) {
        control_group_start_host(sim, h, true);
    }
    control_group_run_for(sim, 2 * SEC);
    ck_assert(control_group_propose_routing(
        sim, control_group_find_leader(sim), 1, "one"));
    sim->hosts[control_group_find_leader(sim) == 3 ? 2 : 3].disconnected =
        true;
    acknowledged = control_group_propose_routing(
        sim, control_group_find_leader(sim), 2, "two");
    sim->hosts[2].disconnected = false;
    sim->hosts[3].disconnected = false;
    control_group_run_for(sim, 3 * SEC);
    ck_assert_uint_eq(control_group_routing_version_at(sim, 1), 2);
    control_group_close(sim);
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
    control_group *sim = control_group_open_grown();
    uint32_t first = (uint32_t)_i % 5 + 1;
    uint32_t second = (uint32_t)(_i / 5 + first) % 5 + 1;

    ck_assert(control_group_propose_routing(sim, 7, 5, "five"));
    for (uint32_t h = 1; h <= GROUP_HOSTS; h++) {
        if (sim->hosts[h].control != NULL) {
            control_group_stop_host(sim, h);
        }
    }
    control_group_wipe_disk(sim, first);
    control_group_wipe_disk(sim, second);
    for (uint32_t h = 1; h <= GROUP_HOSTS; h++) {
        if (h != 6) {
            control_group_start_host(sim, h, false);
        }
    }
    control_group_run_for(sim, 5 * SEC);
    ck_assert_uint_ne(control_group_find_leader(sim), 0);
    ck_assert_uint_eq(
        control_group_routing_version_at(sim, control_group_find_leader(sim)),
        5);
    ck_assert_uint_eq(control_group_routing_version_at(sim, 7), 5);
    control_group_close(sim);
}
END_TEST

START_TEST(a_list_of_backend_servers_reaches_every_host)
{
    control_group *sim = control_group_open_grown();
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
    bbl_control_replace_catalog(
        sim->hosts[control_group_find_leader(sim)].control, sim->now, b, NULL,
        2);
    control_group_run_for(sim, SEC);
    ck_assert_uint_le(bbl_control_catalog_age(sim->hosts[8].control, sim->now),
                      SEC + GROUP_STEP_US);
    while ((row = bbl_rows_next_backend(
                bbl_control_rows(sim->hosts[8].control), &pos)) != NULL) {
        ck_assert(!row->backend.gone && row->cold_until != 0);
    }
    /* A server that is missing from the next list is marked as gone. */
    bbl_control_replace_catalog(
        sim->hosts[control_group_find_leader(sim)].control, sim->now, b, NULL,
        1);
    control_group_run_for(sim, SEC);
    pos = 0;
    while ((row = bbl_rows_next_backend(
                bbl_control_rows(sim->hosts[8].control), &pos)) != NULL) {
        ck_assert(row->backend.gone ==
                  (row->backend.id.bblx_label_val[0] == 'b'));
    }
    control_group_close(sim);
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
    control_group *sim = control_group_open_grown();
    uint64_t version = 1;

    for (unsigned round = 0; round < 2; round++) {
        bbl_usec joined;

        sim->hosts[7].disconnected = true;
        sim->hosts[8].disconnected = true;
        ck_assert(control_group_propose_routing(sim, 1, version++, "cut"));
        control_group_run_for(sim, (bbl_usec)_i * 230 * BBL_USEC_PER_MS);
        sim->hosts[7].disconnected = false;
        sim->hosts[8].disconnected = false;
        joined = sim->now;
        ck_assert(control_group_propose_routing(sim, 2, version, "joined"));
        control_group_run_for(sim, joined + IN_FORCE_US - sim->now);
        for (uint32_t h = 7; h <= 8; h++) {
            ck_assert_uint_eq(control_group_routing_version_at(sim, h),
                              version);
            ck_assert_uint_gt(bbl_control_lease_until(sim->hosts[h].control),
                              sim->now);
        }
        version++;
    }
    control_group_close(sim);
}
END_TEST

/* A host that reaches none of the others holds no lease after a while. */
START_TEST(a_host_that_is_cut_off_loses_its_lease)
{
    control_group *sim = control_group_open_grown();

    sim->hosts[7].disconnected = true;
    control_group_run_for(sim, 2 * SEC);
    ck_assert_uint_le(bbl_control_lease_until(sim->hosts[7].control),
                      sim->now);
    control_group_close(sim);
}
END_TEST

/* A host that starts while its disk is full follows the others meanwhile. */
START_TEST(a_host_starts_on_a_full_disk)
{
    control_group *sim = control_group_open_grown();

    if (_i == 0) {
        sim->hosts[6].disk.full = true;
        control_group_start_host(sim, 6, false);
    }
    else {
        /* It wrote a part of a record before it was stopped. */
        sim->hosts[5].disk.full = true;
        sim->hosts[5].disk.fail_with_partial_write = true;
        control_group_propose_routing(sim, 1, 4, "four");
        control_group_stop_host(sim, 5);
        control_group_start_host(sim, 5, false);
    }
    ck_assert(control_group_propose_routing(sim, 1, 5, "five"));
    control_group_run_for(sim, 2 * SEC);
    ck_assert_uint_eq(control_group_routing_version_at(sim, 6 - (uint32_t)_i),
                      5);
    sim->hosts[6 - _i].disk.full = false;
    control_group_run_for(sim, 3 * SEC);
    ck_assert_ptr_nonnull(bbl_control_quorum(sim->hosts[6 - _i].control));
    ck_assert(control_group_propose_routing(sim, 6 - (uint32_t)_i, 6, "six"));
    control_group_close(sim);
}
END_TEST

/*
 * A leader is cut off and replaced, and the host that it asks for the new
 * leader is lost. It must ask others once it is joined again.
 */
START_TEST(a_former_leader_finds_the_group_that_has_replaced_it)
{
    control_group *sim = control_group_open_grown();
    uint32_t old = control_group_find_leader(sim);
    bbl_control_status s;

    control_group_start_host(sim, 6, false);
    sim->hosts[old].disconnected = true;
    control_group_run_for(sim, 4 * SEC);
    ck_assert_uint_ne(control_group_find_leader(sim), 0);
    ck_assert_uint_ne(control_group_find_leader(sim), old);
    bbl_control_get_status(sim->hosts[old].control, sim->now, &s);
    ck_assert_uint_ne(s.parent, 0);
    control_group_stop_host(sim, s.parent);
    sim->hosts[old].disconnected = false;
    control_group_run_for(sim, 5 * SEC);
    ck_assert_uint_ne(control_group_find_leader(sim), 0);
    ck_assert(control_group_propose_routing(sim, old, 5, "five"));
    ck_assert_uint_eq(control_group_routing_version_at(sim, old), 5);
    control_group_close(sim);
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
cause_trouble(control_group *sim, trouble_kind kind, uint32_t h, bbl_rng *rng)
{
    group_host *x = &sim->hosts[h];

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
            control_group_stop_host(sim, h);
            control_group_wipe_disk(sim, h);
            control_group_start_host(sim, 6, false);
        }
        break;
    case TROUBLE_RESTART:
        control_group_stop_host(sim, h);
        control_group_start_host(sim, h, false);
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
    control_group *sim = control_group_open();
    uint64_t version = 1;

    sim->compact_entries = _i % 2 == 0 ? 8 : 0;
    for (uint32_t h = 1; h <= GROUP_HOSTS; h++) {
        if (h != 6) {
            control_group_start_host(sim, h, true);
        }
    }
    /* Some begin while the quorum still grows. */
    control_group_run_for(sim, _i % 4 == 3 ? 300 * BBL_USEC_PER_MS : 4 * SEC);
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

            if (sim->hosts[at].control != NULL &&
                !control_group_is_frozen(sim, at)) {
                control_group_submit_routing(sim, at, ++version, "some text");
            }
            control_group_run_for(sim, (50 + bbl_rng_below(&rng, 400)) *
                                           BBL_USEC_PER_MS);
        }
        sim->hosts[full].disk.full = false;
        for (uint32_t h = 1; h <= GROUP_HOSTS; h++) {
            sim->hosts[h].disconnected = false;
        }
        control_group_run_for(sim,
                              bbl_rng_below(&rng, 2000) * BBL_USEC_PER_MS);
    }
    for (uint32_t h = 1; h <= GROUP_HOSTS; h++) {
        sim->hosts[h].frozen_until = 0;
    }
    control_group_run_for(sim, 5 * SEC);
    ck_assert_msg(control_group_find_leader(sim) != 0, "no leader, seed %d",
                  _i);
    for (uint32_t h = 1; h <= 6; h++) {
        ck_assert_msg(
            sim->hosts[h].control == NULL ||
                control_group_propose_routing(sim, h, ++version, "the last"),
            "host %u acknowledges no change, seed %d", h, _i);
    }
    control_group_close(sim);
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
