/*
 * Verifies that the invariants of control_sim detect faults: for each
 * deliberate fault of the core, some schedule of random operations must fail.
 */
#include <stdio.h>
#include <string.h>

#include "control/fault.h"
#include "support/control_sim.h"
#include "support/fault_detection.h"
#include "support/run.h"
#include "util/rng.h"

#define SCHEDULES_MAX 6000 /* tried before the test fails */
#define OPS_MAX 96         /* in one schedule */

unsigned bbl_test_faults;

/* Operations whose random schedules are likely to detect a fault. */
typedef struct {
    bbl_fault fault;
    const char *name;
    unsigned ops;        /* in one schedule */
    uint64_t first_seed; /* of the search */
    control_op_kind kinds[8];
} fault_search;

static const fault_search fault_searches[] = {
    {BBL_FAULT_NO_SYNC,
     "acknowledge before the sync",
     24,
     1,
     {CONTROL_CRASH, CONTROL_RESTART, CONTROL_CHANGE, CONTROL_RUN,
      CONTROL_ISOLATE, CONTROL_HEAL, CONTROL_RESTART, CONTROL_CHANGE}},
    {BBL_FAULT_DOUBLE_VOTE,
     "a vote given twice in a term",
     24,
     2201,
     {CONTROL_ISOLATE, CONTROL_HEAL, CONTROL_RUN, CONTROL_CRASH,
      CONTROL_RESTART, CONTROL_CUT, CONTROL_PAUSE, CONTROL_RUN}},
    {BBL_FAULT_LEASE_FROM_RECEIPT,
     "a lease counted from its receipt",
     24,
     1,
     {CONTROL_PAUSE, CONTROL_CHANGE, CONTROL_RUN, CONTROL_PAUSE,
      CONTROL_CHANGE, CONTROL_CUT, CONTROL_HEAL, CONTROL_RUN}},
    {BBL_FAULT_COUNT_LEARNERS,
     "a learner counted in the quorum",
     24,
     1,
     {CONTROL_WIPE, CONTROL_RESTART, CONTROL_ADD, CONTROL_CHANGE,
      CONTROL_ISOLATE, CONTROL_HEAL, CONTROL_RUN, CONTROL_CHANGE}},
    {BBL_FAULT_NO_LEASE_WAIT,
     "a new leader that does not wait for old leases",
     24,
     1,
     {CONTROL_ISOLATE, CONTROL_CHANGE, CONTROL_RUN, CONTROL_HEAL, CONTROL_CUT,
      CONTROL_CHANGE, CONTROL_RUN, CONTROL_CRASH}},
    {BBL_FAULT_DROP_CHANGE_IDS,
     "a snapshot without the change ids",
     96,
     1,
     {CONTROL_CHANGE, CONTROL_CLAIM, CONTROL_CRASH, CONTROL_RESTART,
      CONTROL_RESEND, CONTROL_RUN, CONTROL_CHANGE, CONTROL_RESEND}},
    {BBL_FAULT_DOUBLE_CLAIM,
     "a second claim granted",
     24,
     1,
     {CONTROL_CLAIM, CONTROL_RUN, CONTROL_CLAIM, CONTROL_RUN, CONTROL_CLAIM,
      CONTROL_CRASH, CONTROL_RESTART, CONTROL_CLAIM}},
    {BBL_FAULT_COUNT_ANY_DISK,
     "an emptied disk that still counts",
     24,
     301,
     {CONTROL_WIPE, CONTROL_RESTART, CONTROL_CHANGE, CONTROL_ISOLATE,
      CONTROL_HEAL, CONTROL_RUN, CONTROL_CHANGE, CONTROL_RESTART}},
};

static const char *
run_schedule(const void *ctx, uint64_t seed)
{
    const fault_search *h = ctx;
    control_op ops[OPS_MAX];
    bbl_rng rng = {seed};

    for (unsigned i = 0; i < h->ops; i++) {
        ops[i].kind = h->kinds[bbl_rng_below(&rng, 8)];
        ops[i].first_arg = (unsigned)bbl_rng_below(&rng, 64);
        ops[i].second_arg = (unsigned)bbl_rng_below(&rng, 400);
    }
    return control_sim_run(seed, ops, h->ops);
}

START_TEST(each_fault_is_detected)
{
    const fault_search *h = &fault_searches[_i];

    assert_fault_detected(h->fault, h->name, h->first_seed, SCHEDULES_MAX,
                          run_schedule, h);
}
END_TEST

/*
 * Schedules of the search for BBL_FAULT_DROP_CHANGE_IDS that failed without a
 * fault: after a restart, a host took the reply to a proposal of its previous
 * process for the reply to a new proposal with the same number.
 */
static const uint64_t past_failure_seeds[] = {16,   211,  327,  649, 1129,
                                              1762, 2045, 2623, 2978};

START_TEST(past_failure_seeds_pass)
{
    const fault_search *h = &fault_searches[5];
    const char *violation;

    bbl_test_faults = 0;
    violation = run_schedule(h, past_failure_seeds[_i]);
    ck_assert_msg(violation == NULL, "seed %llu: %s",
                  (unsigned long long)past_failure_seeds[_i], violation);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("control_faults");
    TCase *tc = tcase_create("control_faults");

    tcase_set_timeout(tc, 0);
    tcase_add_loop_test(tc, each_fault_is_detected, 0,
                        sizeof(fault_searches) / sizeof(fault_searches[0]));
    tcase_add_loop_test(tc, past_failure_seeds_pass, 0,
                        sizeof(past_failure_seeds) /
                            sizeof(past_failure_seeds[0]));
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
