/*
 * Guards against checks in traffic_sim that cannot fail: for each deliberate
 * fault of the traffic cores, some random schedule must violate a check.
 */
#include <stdio.h>

#include "control/fault.h"
#include "support/fault_detection.h"
#include "support/run.h"
#include "support/traffic_sim.h"
#include "util/rng.h"

#define SCHEDULES_MAX 20000 /* searched per fault before the test fails */
#define OPERATIONS 40       /* per schedule */

unsigned bbl_test_faults;

typedef struct {
    bbl_fault fault;
    const char *name;
    uint64_t first_seed;   /* of the search */
    traffic_kind kinds[4]; /* in addition to queries and time */
} fault_case;

static const fault_case fault_cases[] = {
    {BBL_FAULT_NO_TAKEOVER_DELAY,
     "a new owner that ignores the takeover delay",
     1,
     {TRAFFIC_MOVE, TRAFFIC_KILL, TRAFFIC_MOVE, TRAFFIC_STRAGGLE}},
    {BBL_FAULT_RELEASE_SLOT_EARLY,
     "a broken exchange that frees its slot early",
     1,
     {TRAFFIC_BREAK, TRAFFIC_BREAK, TRAFFIC_STRAGGLE, TRAFFIC_BREAK}},
    {BBL_FAULT_UNSAFE_RETRY,
     "a retry of a query that may not be repeated",
     1,
     {TRAFFIC_BREAK, TRAFFIC_RESTART, TRAFFIC_BREAK, TRAFFIC_KILL}},
    {BBL_FAULT_ALWAYS_NOT_RUN,
     "any failure reported as not run",
     1,
     {TRAFFIC_BREAK, TRAFFIC_SILENT, TRAFFIC_STRAGGLE, TRAFFIC_BREAK}},
    {BBL_FAULT_USE_WITHDRAWN_ZONE,
     "use of withdrawn data centres",
     1,
     {TRAFFIC_ZONE, TRAFFIC_RUN, TRAFFIC_RUN, TRAFFIC_RUN}},
};

static const char *
detect_fault_once(const void *ctx, uint64_t seed)
{
    const fault_case *h = ctx;
    traffic_op ops[OPERATIONS];
    bbl_rng rng = {seed};

    for (unsigned i = 0; i < OPERATIONS; i++) {
        unsigned choice = (unsigned)bbl_rng_below(&rng, 12);

        ops[i].kind = choice < 4    ? h->kinds[choice]
                      : choice < 8  ? TRAFFIC_QUERY
                      : choice < 10 ? TRAFFIC_BURST
                                    : TRAFFIC_RUN;
        ops[i].target = (unsigned)bbl_rng_below(&rng, 60);
        ops[i].argument = (unsigned)bbl_rng_below(&rng, 400);
    }
    return traffic_sim_run(seed, ops, OPERATIONS);
}

START_TEST(each_fault_is_found)
{
    const fault_case *h = &fault_cases[_i];

    assert_fault_detected(h->fault, h->name, h->first_seed, SCHEDULES_MAX,
                          detect_fault_once, h);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("traffic_faults");
    TCase *tc = tcase_create("traffic_faults");

    tcase_set_timeout(tc, 0);
    tcase_add_loop_test(tc, each_fault_is_found, 0,
                        sizeof(fault_cases) / sizeof(fault_cases[0]));
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
