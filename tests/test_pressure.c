#include <check.h>

#include "admission/pressure.h"
#include "support/run.h"

#define MS BBL_USEC_PER_MS
#define SEC BBL_USEC_PER_SEC

/* Guards against queries that ask in calm operation. */
START_TEST(few_refusals_are_no_pressure)
{
    bbl_pressure p = {.sent_at = 0};

    /* One of 90 parts in each query, as a server that restarts does. */
    for (bbl_usec now = SEC; now < 20 * SEC; now += 300 * MS) {
        ck_assert(!bbl_pressure_record(&p, now, 90, 0));
        ck_assert(!bbl_pressure_record(&p, now + 2 * MS, 0, 1));
    }
    ck_assert(bbl_pressure_get_extra_share(&p, 20 * SEC) == 1);
}
END_TEST

/* A host with one query in two seconds has to see the pressure at once. */
START_TEST(pressure_begins_with_one_query_and_ends_by_itself)
{
    bbl_pressure p = {.sent_at = 0};

    bbl_pressure_record(&p, SEC, 90, 0);
    ck_assert(!bbl_pressure_record(&p, SEC, 0, 1));
    ck_assert(bbl_pressure_record(&p, SEC, 0, 1));
    ck_assert(!bbl_pressure_record(&p, SEC, 0, 1)); /* it had begun */
    ck_assert(bbl_pressure_is_active(&p, 2 * SEC));
    ck_assert(!bbl_pressure_is_active(&p, 10 * SEC));
    bbl_pressure_set_limited(&p, 12 * SEC); /* a grantor says so */
    bbl_pressure_set_limited(&p, 11 * SEC);
    ck_assert(bbl_pressure_is_active(&p, 11 * SEC));
    ck_assert(bbl_pressure_get_extra_share(&p, 11 * SEC) == 1);
}
END_TEST

/* Slow servers refuse parts at the usual load; saving work would then cost
 * parts for nothing. */
START_TEST(a_host_saves_work_only_while_the_load_is_limited)
{
    bbl_pressure p = {.sent_at = 0};

    bbl_pressure_record(&p, SEC, 90, 8);
    ck_assert(bbl_pressure_is_active(&p, SEC));
    ck_assert(!bbl_pressure_is_limited(&p, SEC));
    ck_assert(bbl_pressure_get_extra_share(&p, SEC) == 1);
    bbl_pressure_record(&p, SEC, 0, 2); /* over 10%: no grantor is awaited */
    ck_assert(bbl_pressure_is_limited(&p, SEC));
}
END_TEST

static void
record_answers(bbl_pressure *p, unsigned count, double ratio)
{
    for (unsigned i = 0; i < count; i++) {
        bbl_pressure_record_time(p, SEC, ratio, true);
    }
}

/* Full servers answer late what they accept; others that refuse parts are no
 * overload, and retries reach the rest. */
START_TEST(refusals_without_late_answers_are_no_pressure)
{
    bbl_pressure p = {.sent_at = 0};
    bbl_pressure full = p;

    record_answers(&p, 95, 1);
    record_answers(&p, 5, 4); /* of pauses */
    bbl_pressure_record(&p, SEC, 90, 15);
    ck_assert(!bbl_pressure_tells_load(&p));
    ck_assert(!bbl_pressure_is_active(&p, SEC));
    ck_assert(bbl_pressure_get_refused_share(&p, SEC) == 0);
    record_answers(&full, 80, 1);
    record_answers(&full, 20, 4);
    bbl_pressure_record(&full, SEC, 90, 15);
    ck_assert(bbl_pressure_tells_load(&full));
    ck_assert(bbl_pressure_is_limited(&full, SEC));
}
END_TEST

/* While most queries fail at once, no answer tells of queues; a host that did
 * not save work then would keep the overload up. */
START_TEST(without_answers_refusals_are_pressure)
{
    bbl_pressure p = {.sent_at = 0};

    record_answers(&p, 5, 1);
    bbl_pressure_record_time(&p, SEC, 1, false); /* cancelled early */
    bbl_pressure_record(&p, SEC, 90, 15);
    ck_assert(bbl_pressure_is_limited(&p, SEC));
}
END_TEST

/* Routes with few shards need several queries; two parts tell nothing. */
START_TEST(a_few_parts_tell_nothing)
{
    bbl_pressure p = {.sent_at = 0};

    for (unsigned i = 1; i <= 4; i++) {
        bbl_pressure_record(&p, SEC + i * 400 * MS, 20, 0);
        ck_assert(!bbl_pressure_record(&p, SEC + i * 400 * MS, 0, 2));
    }
    bbl_pressure_record(&p, 3 * SEC, 20, 0);
    ck_assert(bbl_pressure_record(&p, 3 * SEC, 0, 1));
}
END_TEST

/* Guards against hedges and retries that add to an overload. */
START_TEST(extra_attempts_fall_with_the_refused_share)
{
    double before = 1;

    for (unsigned refused = 3; refused <= 90; refused += 3) {
        bbl_pressure p = {.sent_at = 0};
        double share;

        bbl_pressure_record(&p, SEC, 90, refused);
        bbl_pressure_set_limited(&p, 2 * SEC);
        share = bbl_pressure_get_extra_share(&p, SEC);
        ck_assert(share < before || share == 0);
        before = share;
    }
    ck_assert(before == 0);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("pressure");
    TCase *tc = tcase_create("pressure");

    tcase_add_test(tc, few_refusals_are_no_pressure);
    tcase_add_test(tc, pressure_begins_with_one_query_and_ends_by_itself);
    tcase_add_test(tc, a_host_saves_work_only_while_the_load_is_limited);
    tcase_add_test(tc, refusals_without_late_answers_are_no_pressure);
    tcase_add_test(tc, without_answers_refusals_are_pressure);
    tcase_add_test(tc, a_few_parts_tell_nothing);
    tcase_add_test(tc, extra_attempts_fall_with_the_refused_share);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
