#include "forward/crash_ledger.h"
#include "forward/crash_watch.h"
#include "support/run.h"
#include "util/rng.h"

#define SEC BBL_USEC_PER_SEC
#define MS BBL_USEC_PER_MS

static bool
record(bbl_crash_ledger *l, bbl_usec now, uint64_t fingerprint,
       unsigned generation, uint64_t serial)
{
    bbl_observed_crash c = {fingerprint, generation, serial};

    return bbl_crash_ledger_record(l, now, &c);
}

START_TEST(third_generation_is_refused_for_a_time)
{
    bbl_crash_ledger l;

    bbl_crash_ledger_init(&l);
    ck_assert(!record(&l, 1 * SEC, 7, 1, 100));
    ck_assert(!record(&l, 1 * SEC, 7, 1, 900));
    ck_assert(!record(&l, 2 * SEC, 7, 2, 200));
    ck_assert_uint_eq(bbl_crash_ledger_get_refused(&l, 2 * SEC, 7), 0);
    ck_assert(record(&l, 3 * SEC, 7, 3, 300));
    ck_assert(!record(&l, 4 * SEC, 7, 3, 300));
    ck_assert_uint_eq(bbl_crash_ledger_get_refused(&l, 4 * SEC, 7),
                      BBL_CRASH_REFUSED_US - 1 * SEC);
    ck_assert_uint_eq(bbl_crash_ledger_get_refused(&l, 4 * SEC, 8), 0);
    ck_assert_uint_eq(
        bbl_crash_ledger_get_refused(&l, 4 * SEC + BBL_CRASH_REFUSED_US, 7),
        0);
    bbl_crash_ledger_free(&l);
}
END_TEST

/* Rows reach a host that has just started in any order. */
START_TEST(order_of_observations_does_not_matter)
{
    static const bbl_observed_crash crashes[] = {
        {7, 1, 100}, {7, 2, 200}, {7, 0, 300}, {7, 1, 400}, {7, 2, 500}};
    bbl_rng rng = {(uint64_t)_i + 1};
    unsigned order[] = {0, 1, 2, 3, 4};
    bbl_crash_ledger l;

    bbl_crash_ledger_init(&l);
    for (unsigned i = 4; i > 0; i--) {
        unsigned k = (unsigned)bbl_rng_below(&rng, i + 1);
        unsigned swap = order[i];

        order[i] = order[k];
        order[k] = swap;
    }
    for (unsigned i = 0; i < 5; i++) {
        bbl_crash_ledger_record(&l, SEC, &crashes[order[i]]);
    }
    ck_assert_uint_eq(bbl_crash_ledger_get_generation(&l, SEC, 7), 2);
    ck_assert_uint_eq(bbl_crash_ledger_get_refused(&l, SEC, 7), 0);
    bbl_crash_ledger_free(&l);
}
END_TEST

START_TEST(answered_request_is_not_suspected)
{
    bbl_crash_ledger l;

    bbl_crash_ledger_init(&l);
    record(&l, SEC, 7, 1, 100);
    record(&l, SEC, 7, 2, 200);
    record(&l, SEC, 7, 0, 250);
    ck_assert_uint_eq(bbl_crash_ledger_get_generation(&l, SEC, 7), 0);
    record(&l, SEC, 7, 2, 200); /* known before the answer */
    ck_assert_uint_eq(bbl_crash_ledger_get_generation(&l, SEC, 7), 0);
    record(&l, SEC, 7, 1, 300);
    ck_assert_uint_eq(bbl_crash_ledger_get_generation(&l, SEC, 7), 1);
    bbl_crash_ledger_free(&l);
}
END_TEST

START_TEST(memory_is_bounded_and_keeps_recent_crashes)
{
    bbl_crash_ledger l;

    bbl_crash_ledger_init(&l);
    for (uint64_t i = 1; i <= 20000; i++) {
        record(&l, i * MS, i, 1, i);
    }
    ck_assert_uint_le(l.entries.size, 4096);
    ck_assert_uint_eq(bbl_crash_ledger_get_generation(&l, 20 * SEC, 20000), 1);
    ck_assert_uint_eq(bbl_crash_ledger_get_generation(&l, 20 * SEC, 19000), 1);
    bbl_crash_ledger_free(&l);
}
END_TEST

static unsigned ended;

static void
on_ended(void *ctx, const bbl_broken_attempt *attempt)
{
    (void)ctx;
    ck_assert_uint_eq(attempt->fingerprint, 7);
    ended++;
}

START_TEST(only_a_refused_connection_shows_that_a_server_ended)
{
    bbl_crash_watch w;
    bbl_str id = {"q1", 2};

    bbl_crash_watch_init(&w);
    ended = 0;
    bbl_crash_watch_add(&w, SEC, 1, 7, 1, id);
    bbl_crash_watch_resolve(&w, SEC + MS, 1, BBL_CONNECT_OPENED, on_ended,
                            NULL);
    bbl_crash_watch_resolve(&w, SEC + 2 * MS, 1, BBL_CONNECT_REFUSED, on_ended,
                            NULL);
    ck_assert_uint_eq(ended, 0);
    bbl_crash_watch_add(&w, SEC, 1, 7, 1, id);
    bbl_crash_watch_resolve(&w, SEC + MS, 1, BBL_CONNECT_TIMED_OUT, on_ended,
                            NULL);
    ck_assert_uint_eq(ended, 0);
    bbl_crash_watch_add(&w, SEC, 1, 7, 1, id);
    bbl_crash_watch_resolve(&w, SEC + MS, 2, BBL_CONNECT_REFUSED, on_ended,
                            NULL);
    ck_assert_uint_eq(ended, 0);
    bbl_crash_watch_resolve(&w, SEC + 2 * MS, 1, BBL_CONNECT_REFUSED, on_ended,
                            NULL);
    ck_assert_uint_eq(ended, 1);
    bbl_crash_watch_add(&w, SEC, 1, 7, 1, id);
    bbl_crash_watch_resolve(&w, 10 * SEC, 1, BBL_CONNECT_REFUSED, on_ended,
                            NULL);
    ck_assert_uint_eq(ended, 1);
    bbl_crash_watch_free(&w);
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("crash_ledger");
    TCase *tc = tcase_create("ledger");

    tcase_add_test(tc, third_generation_is_refused_for_a_time);
    tcase_add_loop_test(tc, order_of_observations_does_not_matter, 0, 20);
    tcase_add_test(tc, answered_request_is_not_suspected);
    tcase_add_test(tc, memory_is_bounded_and_keeps_recent_crashes);
    tcase_add_test(tc, only_a_refused_connection_shows_that_a_server_ended);
    suite_add_tcase(s, tc);
    return run_suite(s);
}
