/* Choice of the next voter change: who joins and which voter is replaced. */
#include <string.h>

#include "control/voter_plan.h"
#include "support/run.h"

#define SEC BBL_USEC_PER_SEC

static bbl_voter_plan_input
bootstrap_input(void)
{
    bbl_voter_plan_input in;

    memset(&in, 0, sizeof(in));
    in.target_voters = 5;
    in.lost_after = 2 * SEC;
    for (uint32_t h = 1; h <= 3; h++) {
        in.voters[in.voter_count++] = (bbl_voter_status){h, h, false, 0};
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
    in.voters[1].silence = 100 * SEC;
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
    in.voters[in.voter_count++] = (bbl_voter_status){4, 0, true, 0};
    ck_assert(!bbl_voter_plan_next(&in, &change));
    in.voters[3].learner = false;
    in.voters[3].disk_id = 44;
    ck_assert(bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(change.add_host, 5);
}
END_TEST

START_TEST(a_full_set_replaces_only_a_lost_voter)
{
    bbl_voter_plan_input in = bootstrap_input();
    bbl_voter_change change;

    in.target_voters = 3;
    add_candidate(&in, 6, 66);
    ck_assert(!bbl_voter_plan_next(&in, &change));
    in.voters[1].silence = SEC;
    ck_assert(!bbl_voter_plan_next(&in, &change));
    in.voters[1].silence = 3 * SEC;
    in.voters[2].silence = 4 * SEC;
    ck_assert(bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(change.add_host, 6);
    ck_assert_uint_eq(change.remove_host, 3);
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
    in.voters[1] = (bbl_voter_status){2, 0, true, 0};
    ck_assert(!bbl_voter_plan_next(&in, &change));
}
END_TEST

START_TEST(a_lost_learner_does_not_block_others)
{
    bbl_voter_plan_input in = bootstrap_input();
    bbl_voter_change change;

    in.voters[in.voter_count++] = (bbl_voter_status){4, 0, true, 9 * SEC};
    add_candidate(&in, 5, 55);
    ck_assert(bbl_voter_plan_next(&in, &change));
    ck_assert_uint_eq(change.add_host, 5);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("voter_plan");
    TCase *tc = tcase_create("voter_plan");

    tcase_add_test(tc, no_change_without_a_new_host);
    tcase_add_test(tc, hosts_join_one_at_a_time);
    tcase_add_test(tc, a_full_set_replaces_only_a_lost_voter);
    tcase_add_test(tc, a_voter_with_an_emptied_disk_is_added_again_first);
    tcase_add_test(tc, a_lost_learner_does_not_block_others);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
