/*
 * fault_hunt.h - looks for a random schedule that shows a deliberate fault.
 */
#ifndef BBL_TEST_FAULT_DETECTION_H
#define BBL_TEST_FAULT_DETECTION_H

#include <check.h>
#include <stdint.h>
#include <stdio.h>

#include "control/fault.h"

/* Runs the schedule of a seed; returns NULL, or what was violated. */
typedef const char *(*fault_schedule)(const void *hunt, uint64_t seed);

/*
 * Requires that a fault is found within `most` seeds from `first_seed` on,
 * and that the schedule which shows it passes without the fault.
 */
static inline void
assert_fault_detected(bbl_fault fault, const char *name, uint64_t first_seed,
                      unsigned most, fault_schedule run, const void *hunt)
{
    const char *found = NULL;
    uint64_t seed = first_seed - 1;

    bbl_test_faults = fault;
    while (found == NULL && seed < first_seed + most) {
        found = run(hunt, ++seed);
    }
    bbl_test_faults = 0;
    ck_assert_msg(found != NULL, "%s: not found in %u schedules", name, most);
    printf("%s: seed %llu: %s\n", name, (unsigned long long)seed, found);
    found = run(hunt, seed);
    ck_assert_msg(found == NULL, "%s: %s without the fault", name, found);
}

#endif
