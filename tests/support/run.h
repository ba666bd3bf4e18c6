/*
 * run.h - the main function of a test program: one suite, one process.
 */
#ifndef BBL_TEST_RUN_H
#define BBL_TEST_RUN_H

#include <check.h>
#include <stdlib.h>

/* Items of an array, as the bound of a loop test. */
#define ARRAY_SIZE(array) ((int)(sizeof(array) / sizeof((array)[0])))

/* Runs a suite without forking; returns the exit code. */
static inline int
run_suite(Suite *suite)
{
    SRunner *runner = srunner_create(suite);
    int failed;

    srunner_set_fork_status(runner, CK_NOFORK);
    srunner_run_all(runner, CK_NORMAL);
    failed = srunner_ntests_failed(runner);
    srunner_free(runner);
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
