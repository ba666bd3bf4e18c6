/* When a control host ends after SIGTERM. */
#include "daemon/exit_plan.h"
#include "support/run.h"

#define MS BBL_USEC_PER_MS

static bbl_exit_input
input(bbl_usec spent_ms)
{
    return (bbl_exit_input){.spent = spent_ms * MS, .grace = 6000 * MS};
}

/* A new leader does not know all hosts yet. */
START_TEST(a_successor_has_time_to_become_known)
{
    bbl_exit_input in = input(900);

    ck_assert(!bbl_exit_plan_is_due(&in));
    in = input(1100);
    ck_assert(bbl_exit_plan_is_due(&in));
}
END_TEST

START_TEST(open_calls_are_answered)
{
    bbl_exit_input in = input(1400);

    in.open_calls = 1;
    ck_assert(!bbl_exit_plan_is_due(&in));
    in.spent = 1600 * MS;
    ck_assert(bbl_exit_plan_is_due(&in));
}
END_TEST

/* A voter that ended before its successor had its place left the group with
 * one that would never return. */
START_TEST(a_voter_stays_until_its_successor_has_its_place)
{
    bbl_exit_input in = input(1600);

    in.awaits_successor = true;
    ck_assert(!bbl_exit_plan_is_due(&in));
    in.spent = 4400 * MS;
    ck_assert(!bbl_exit_plan_is_due(&in));
    in.awaits_successor = false;
    ck_assert(bbl_exit_plan_is_due(&in));
}
END_TEST

START_TEST(the_process_ends_within_the_grace_period)
{
    bbl_exit_input in = input(4600);

    in.awaits_successor = true;
    in.open_calls = 1;
    ck_assert(bbl_exit_plan_is_due(&in));
    in.grace = 200 * MS;
    in.spent = 160 * MS;
    ck_assert(bbl_exit_plan_is_due(&in));
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("exit_plan");
    TCase *tc = tcase_create("exit_plan");

    tcase_add_test(tc, a_successor_has_time_to_become_known);
    tcase_add_test(tc, open_calls_are_answered);
    tcase_add_test(tc, a_voter_stays_until_its_successor_has_its_place);
    tcase_add_test(tc, the_process_ends_within_the_grace_period);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
