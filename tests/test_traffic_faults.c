/*
 * Shows that the checks of traffic_world can fail: each deliberate fault of
 * the traffic cores must be found by some schedule.
 */
#include <stdio.h>

#include "control/fault.h"
#include "support/fault_detection.h"
#include "support/run.h"
#include "support/traffic_sim.h"
#include "util/rng.h"

#define SCHEDULES_MAX 20000 /* tried before a fault counts as missed */
#define OPS 40              /* in one schedule */

unsigned bbl_test_faults;

typedef struct {
    bbl_fault fault;
    const char *name;
    uint64_t first_seed;   /* where the search begins */
    traffic_kind kinds[4]; /* besides queries and time */
} hunt;

static const hunt hunts[] = {
    {BBL_FAULT_NO_TAKEOVER_DELAY,
     "a new owner that starts at once",
     1,
     {TRAFFIC_MOVE, TRAFFIC_KILL, TRAFFIC_MOVE, TRAFFIC_STRAGGLE}},
    {BBL_FAULT_RELEASE_SLOT_EARLY,
     "a broken exchange that frees its slot",
     1,
     {TRAFFIC_BREAK, TRAFFIC_BREAK, TRAFFIC_STRAGGLE, TRAFFIC_BREAK}},
    {BBL_FAULT_UNSAFE_RETRY,
     "a retry of what may not be repeated",
     1,
     {TRAFFIC_BREAK, TRAFFIC_RESTART, TRAFFIC_BREAK, TRAFFIC_KILL}},
    {BBL_FAULT_ALWAYS_NOT_RUN,
     "any failure called not run",
     1,
     {TRAFFIC_BREAK, TRAFFIC_SILENT, TRAFFIC_STRAGGLE, TRAFFIC_BREAK}},
    {BBL_FAULT_USE_WITHDRAWN_ZONE,
     "withdrawn data centres used",
     1,
     {TRAFFIC_ZONE, TRAFFIC_RUN, TRAFFIC_RUN, TRAFFIC_RUN}},
};

static const char *
hunt_once(const void *ctx, uint64_t seed)
{
    const hunt *h = ctx;
    traffic_op ops[OPS];
    bbl_rng rng = {seed};

    for (unsigned i = 0; i < OPS; i++) {
        unsigned pick = (unsigned)bbl_rng_below(&rng, 12);

        ops[i].kind = pick < 4    ? h->kinds[pick]
                      : pick < 8  ? TRAFFIC_QUERY
                      : pick < 10 ? TRAFFIC_BURST
                                  : TRAFFIC_RUN;
        ops[i].a = (unsigned)bbl_rng_below(&rng, 60);
        ops[i].b = (unsigned)bbl_rng_below(&rng, 400);
    }
    return traffic_sim_run(seed, ops, OPS);
}

START_TEST(each_fault_is_found)
{
    const hunt *h = &hunts[_i];

    assert_fault_detected(h->fault, h->name, h->first_seed, SCHEDULES_MAX,
                          hunt_once, h);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("traffic_faults");
    TCase *tc = tcase_create("traffic_faults");

    tcase_set_timeout(tc, 0);
    tcase_add_loop_test(tc, each_fault_is_found, 0,
                        sizeof(hunts) / sizeof(hunts[0]));
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
