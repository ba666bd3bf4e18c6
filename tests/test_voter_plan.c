/* Which host joins the voters next, and whom it replaces. */
#include <string.h>

#include "control/voter_plan.h"
#include "support/run.h"

#define SEC BBL_USEC_PER_SEC

static bbl_voter_plan_input
founders(void)
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

START_TEST(nothing_is_due_without_newcomers)
{
    bbl_voter_plan_input in = founders();
    bbl_voter_change step;

    ck_assert(!bbl_voter_plan_next(&in, &step));
    in.voters[1].silence = 100 * SEC;
    ck_assert(!bbl_voter_plan_next(&in, &step));
}
END_TEST

START_TEST(hosts_join_one_at_a_time)
{
    bbl_voter_plan_input in = founders();
    bbl_voter_change step;

    add_candidate(&in, 4, 44);
    add_candidate(&in, 5, 55);
    ck_assert(bbl_voter_plan_next(&in, &step));
    ck_assert_uint_eq(step.add_host, 4);
    ck_assert_uint_eq(step.remove_host, 0);
    in.voters[in.voter_count++] = (bbl_voter_status){4, 0, true, 0};
    ck_assert(!bbl_voter_plan_next(&in, &step));
    in.voters[3].learner = false;
    in.voters[3].disk_id = 44;
    ck_assert(bbl_voter_plan_next(&in, &step));
    ck_assert_uint_eq(step.add_host, 5);
}
END_TEST

START_TEST(a_full_set_takes_a_newcomer_only_for_a_lost_voter)
{
    bbl_voter_plan_input in = founders();
    bbl_voter_change step;

    in.target_voters = 3;
    add_candidate(&in, 6, 66);
    ck_assert(!bbl_voter_plan_next(&in, &step));
    in.voters[1].silence = SEC;
    ck_assert(!bbl_voter_plan_next(&in, &step));
    in.voters[1].silence = 3 * SEC;
    in.voters[2].silence = 4 * SEC;
    ck_assert(bbl_voter_plan_next(&in, &step));
    ck_assert_uint_eq(step.add_host, 6);
    ck_assert_uint_eq(step.remove_host, 3);
}
END_TEST

START_TEST(a_voter_with_an_emptied_disk_joins_again_first)
{
    bbl_voter_plan_input in = founders();
    bbl_voter_change step;

    in.candidates[1].disk_id = 222;
    add_candidate(&in, 4, 44);
    ck_assert(bbl_voter_plan_next(&in, &step));
    ck_assert_uint_eq(step.add_host, 2);
    ck_assert_uint_eq(step.remove_host, 0);
    in.voters[1] = (bbl_voter_status){2, 0, true, 0};
    ck_assert(!bbl_voter_plan_next(&in, &step));
}
END_TEST

START_TEST(a_lost_learner_holds_nobody_up)
{
    bbl_voter_plan_input in = founders();
    bbl_voter_change step;

    in.voters[in.voter_count++] = (bbl_voter_status){4, 0, true, 9 * SEC};
    add_candidate(&in, 5, 55);
    ck_assert(bbl_voter_plan_next(&in, &step));
    ck_assert_uint_eq(step.add_host, 5);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("voter_plan");
    TCase *tc = tcase_create("voter_plan");

    tcase_add_test(tc, nothing_is_due_without_newcomers);
    tcase_add_test(tc, hosts_join_one_at_a_time);
    tcase_add_test(tc, a_full_set_takes_a_newcomer_only_for_a_lost_voter);
    tcase_add_test(tc, a_voter_with_an_emptied_disk_joins_again_first);
    tcase_add_test(tc, a_lost_learner_holds_nobody_up);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
