/*
 * fault_detection.h - searches for a random schedule on which a deliberate
 * fault violates an invariant.
 */
#ifndef BBL_TEST_FAULT_DETECTION_H
#define BBL_TEST_FAULT_DETECTION_H

#include <check.h>
#include <stdint.h>
#include <stdio.h>

#include "control/fault.h"

/* Runs the schedule of a seed. Returns NULL or the violated invariant. */
typedef const char *(*fault_schedule)(const void *search, uint64_t seed);

/*
 * Asserts that one of `max_schedules` seeds from `first_seed` on detects the
 * fault, and that the same schedule passes without the fault.
 */
static inline void
assert_fault_detected(bbl_fault fault, const char *name, uint64_t first_seed,
                      unsigned max_schedules, fault_schedule run,
                      const void *search)
{
    const char *violation = NULL;
    uint64_t seed = first_seed - 1;

    bbl_test_faults = fault;
    while (violation == NULL && seed < first_seed + max_schedules) {
        violation = run(search, ++seed);
    }
    bbl_test_faults = 0;
    ck_assert_msg(violation != NULL, "%s: not found in %u schedules", name,
                  max_schedules);
    printf("%s: seed %llu: %s\n", name, (unsigned long long)seed, violation);
    violation = run(search, seed);
    ck_assert_msg(violation == NULL, "%s: %s without the fault", name,
                  violation);
}

#endif
