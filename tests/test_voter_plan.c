/*
 * Choice of the next change of the members: who joins, who becomes a spare,
 * and which voter it replaces.
 */
#include <string.h>

#include "control/voter_plan.h"
#include "support/run.h"

#define SEC BBL_USEC_PER_SEC

static void
add_voter(bbl_voter_plan_input *in, uint32_t host)
{
    in->members[in->member_count++] =
        (bbl_member_status){.host = host, .disk_id = host};
}

static void
add_learner(bbl_voter_plan_input *in, uint32_t host)
{
    in->members[in->member_count++] =
        (bbl_member_status){.host = host, .learner = true};
}

static bbl_voter_plan_input
bootstrap_input(void)
{
    bbl_voter_plan_input in;

    memset(&in, 0, sizeof(in));
    in.leader = 1;
    in.target_voters = 5;
    in.spares_max = 2;
    in.lost_after = 2 * SEC;
    for (uint32_t h = 1; h <= 3; h++) {
        add_voter(&in, h);
        in.candidates[in.candidate_count++] = (bbl_voter_candidate){h, h};
    }
    return in;
}

static void
add_candidate(bbl_voter_plan_input *in, uint32_t host, uint64_t disk)
{
    in->candidates[in->candidate_count++] = (bbl_voter_candidate){host, disk};
}

START_TEST(no_change_without_a_new_host)
{
    bbl_voter_plan_input in = bootstrap_input();
    bbl_voter_change change;

    ck_assert(!bbl_voter_plan_next(&in, &change));
    in.members[1].silence = 100 * SEC;
    ck_assert(!bbl_voter_plan_next(&in, &change));
}
END_TEST

START_TEST(hosts_join_one_at_a_time)
{
    bbl_voter_plan_input in = bootstrap_input();
    bbl_voter_change change;

    add_candidate(&in, 4, 44);
    add_candidate(&in, 5, 55);
    ck_assert(bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(change.add_host, 4);
    ck_assert_uint_eq(change.remove_host, 0);
    add_learner(&in, 4);
    ck_assert(!bbl_voter_plan_next(&in, &change));
    in.members[3].learner = false;
    in.members[3].disk_id = 44;
    ck_assert(bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(change.add_host, 5);
}
END_TEST

/* Five voters, of which host 1 leads. */
static bbl_voter_plan_input
full_input(void)
{
    bbl_voter_plan_input in = bootstrap_input();

    for (uint32_t h = 4; h <= 5; h++) {
        add_voter(&in, h);
        add_candidate(&in, h, h);
    }
    return in;
}

/* A host that had no copy of the log could replace a voter only after it had
 * been copied. */
START_TEST(hosts_beside_a_full_set_become_spares)
{
    bbl_voter_plan_input in = full_input();
    bbl_voter_change change;

    for (uint32_t h = 6; h <= 7; h++) {
        add_candidate(&in, h, h);
        ck_assert(bbl_voter_plan_next(&in, &change));
        ck_assert_uint_eq(change.add_host, h);
        ck_assert_uint_eq(change.remove_host, 0);
        add_learner(&in, h);
    }
    add_candidate(&in, 8, 8);
    ck_assert(!bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(bbl_voter_plan_get_limit(&in), 5);
}
END_TEST

/* Removing the voter first would leave four, of which two lost disks leave no
 * majority. */
START_TEST(a_spare_is_promoted_before_the_voter_is_removed)
{
    bbl_voter_plan_input in = full_input();
    bbl_voter_change change;

    add_learner(&in, 6);
    if (_i == 0) {
        in.members[2].draining = true;
    }
    else {
        in.members[2].silence = SEC;
        ck_assert_uint_eq(bbl_voter_plan_get_limit(&in), 5);
        in.members[2].silence = 3 * SEC;
        in.members[3].silence = 2 * SEC;
    }
    ck_assert(!bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(bbl_voter_plan_get_limit(&in), 6);
    in.members[5].learner = false;
    ck_assert(bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(change.add_host, 0);
    ck_assert_uint_eq(change.remove_host, 3);
}
END_TEST

START_TEST(a_lost_voter_is_replaced_before_a_draining_one)
{
    bbl_voter_plan_input in = full_input();
    bbl_voter_change change;

    in.members[1].draining = true;
    in.members[4].silence = 3 * SEC;
    add_voter(&in, 6);
    ck_assert(bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(change.remove_host, 5);
}
END_TEST

/* Without a spare that stays, a promotion would only shrink the majority. */
START_TEST(no_place_is_given_to_a_spare_that_leaves)
{
    bbl_voter_plan_input in = full_input();
    bbl_voter_change change;

    in.members[2].draining = true;
    ck_assert(!bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(bbl_voter_plan_get_limit(&in), 5);
    add_learner(&in, 6);
    if (_i == 0) {
        in.members[5].draining = true;
    }
    else {
        in.members[5].silence = 3 * SEC;
    }
    ck_assert_uint_eq(bbl_voter_plan_get_limit(&in), 5);
    ck_assert(bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(change.add_host, 0);
    ck_assert_uint_eq(change.remove_host, 6);
}
END_TEST

/* Six voters bear the loss of two disks, but of no data centre with three. */
START_TEST(a_voter_that_returns_leaves_no_sixth)
{
    bbl_voter_plan_input in = full_input();
    bbl_voter_change change;

    add_voter(&in, 6);
    ck_assert_uint_eq(bbl_voter_plan_get_limit(&in), 5);
    ck_assert(bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(change.add_host, 0);
    ck_assert_uint_eq(change.remove_host, 6);
    in.leader = 6;
    ck_assert(bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(change.remove_host, 5);
}
END_TEST

/* It passes the leadership on first, to the spare if there is no other voter.
 */
START_TEST(a_draining_leader_is_not_removed_by_itself)
{
    bbl_voter_plan_input in = full_input();
    bbl_voter_change change;

    in.members[0].draining = true;
    ck_assert_uint_eq(bbl_voter_plan_get_limit(&in), 5);
    add_learner(&in, 6);
    ck_assert(!bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(bbl_voter_plan_get_limit(&in), 6);
    in.members[5].learner = false;
    ck_assert(!bbl_voter_plan_next(&in, &change));
    in.leader = 2;
    ck_assert(bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(change.remove_host, 1);
}
END_TEST

/* Each copy counts while there are too few voters: a lost learner leaves only
 * when another one takes its place. */
START_TEST(a_lost_learner_of_a_small_set_is_replaced)
{
    bbl_voter_plan_input in = bootstrap_input();
    bbl_voter_change change;

    add_learner(&in, 4);
    in.members[3].silence = 9 * SEC;
    ck_assert(!bbl_voter_plan_next(&in, &change));
    add_candidate(&in, 5, 55);
    ck_assert(bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(change.add_host, 5);
    ck_assert_uint_eq(change.remove_host, 4);
}
END_TEST

START_TEST(a_voter_with_an_emptied_disk_is_added_again_first)
{
    bbl_voter_plan_input in = bootstrap_input();
    bbl_voter_change change;

    in.candidates[1].disk_id = 222;
    add_candidate(&in, 4, 44);
    ck_assert(bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(change.add_host, 2);
    ck_assert_uint_eq(change.remove_host, 0);
    in.members[1] = (bbl_member_status){.host = 2, .learner = true};
    ck_assert(!bbl_voter_plan_next(&in, &change));
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("voter_plan");
    TCase *tc = tcase_create("voter_plan");

    tcase_add_test(tc, no_change_without_a_new_host);
    tcase_add_test(tc, hosts_join_one_at_a_time);
    tcase_add_test(tc, hosts_beside_a_full_set_become_spares);
    tcase_add_loop_test(tc, a_spare_is_promoted_before_the_voter_is_removed, 0,
                        2);
    tcase_add_test(tc, a_lost_voter_is_replaced_before_a_draining_one);
    tcase_add_loop_test(tc, no_place_is_given_to_a_spare_that_leaves, 0, 2);
    tcase_add_test(tc, a_voter_that_returns_leaves_no_sixth);
    tcase_add_test(tc, a_draining_leader_is_not_removed_by_itself);
    tcase_add_test(tc, a_lost_learner_of_a_small_set_is_replaced);
    tcase_add_test(tc, a_voter_with_an_emptied_disk_is_added_again_first);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
