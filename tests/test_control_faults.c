/*
 * Shows that the invariants of control_world can fail: each deliberate fault
 * of the core must be found by some schedule of random operations.
 */
#include <stdio.h>
#include <string.h>

#include "control/fault.h"
#include "support/control_sim.h"
#include "support/fault_detection.h"
#include "support/run.h"
#include "util/rng.h"

#define SCHEDULES_MAX 6000 /* tried before a fault counts as missed */
#define OPS_MAX 96         /* in one schedule */

unsigned bbl_test_faults;

/* Operations that are likely to bring a fault to light. */
typedef struct {
    bbl_fault fault;
    const char *name;
    unsigned ops;        /* in one schedule */
    uint64_t first_seed; /* where the search begins */
    control_op_kind kinds[8];
} hunt;

static const hunt hunts[] = {
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
hunt_once(const void *ctx, uint64_t seed)
{
    const hunt *h = ctx;
    control_op ops[OPS_MAX];
    bbl_rng rng = {seed};

    for (unsigned i = 0; i < h->ops; i++) {
        ops[i].kind = h->kinds[bbl_rng_below(&rng, 8)];
        ops[i].first_arg = (unsigned)bbl_rng_below(&rng, 64);
        ops[i].second_arg = (unsigned)bbl_rng_below(&rng, 400);
    }
    return control_sim_run(seed, ops, h->ops);
}

START_TEST(each_fault_is_found)
{
    const hunt *h = &hunts[_i];

    assert_fault_detected(h->fault, h->name, h->first_seed, SCHEDULES_MAX,
                          hunt_once, h);
}
END_TEST

/*
 * Schedules of the hunt for forgotten change ids that once failed without a
 * fault: the reply to a proposal of a host's last start was taken for that
 * to a new one with the same number.
 */
static const uint64_t past_failures[] = {16,   211,  327,  649, 1129,
                                         1762, 2045, 2623, 2978};

START_TEST(past_failures_stay_mended)
{
    const hunt *h = &hunts[5];
    const char *found;

    bbl_test_faults = 0;
    found = hunt_once(h, past_failures[_i]);
    ck_assert_msg(found == NULL, "seed %llu: %s",
                  (unsigned long long)past_failures[_i], found);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("control_faults");
    TCase *tc = tcase_create("control_faults");

    tcase_set_timeout(tc, 0);
    tcase_add_loop_test(tc, each_fault_is_found, 0,
                        sizeof(hunts) / sizeof(hunts[0]));
    tcase_add_loop_test(tc, past_failures_stay_mended, 0,
                        sizeof(past_failures) / sizeof(past_failures[0]));
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
