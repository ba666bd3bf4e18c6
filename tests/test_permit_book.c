#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "control/permit_book.h"
#include "util/rng.h"

#define SEC BBL_USEC_PER_SEC
#define MS BBL_USEC_PER_MS
#define GRANTORS 5

/* Asks for one server; returns whether a permit was granted. */
static bool
ask(bbl_permit_book *book, bbl_usec now, uint64_t server, double rate,
    bool urgent, uint32_t *wait_us)
{
    bblx_permit_item item = {server, 0, (u_int)(rate * 1000)};
    bblx_permit_request r;
    bblx_permit_result out;

    memset(&r, 0, sizeof(r));
    r.urgent = urgent;
    r.needed = 1;
    r.items.items_len = 1;
    r.items.items_val = &item;
    bbl_permit_book_grant(&out, book, now, GRANTORS, &r);
    if (wait_us != NULL) {
        *wait_us = out.wait_us;
    }
    return out.granted;
}

/* Random requests to all grantors, over the whole range of rates. */
START_TEST(permits_of_all_grantors_stay_within_the_rate)
{
    static const double rates[] = {0, 0.1, 0.5, 1, 2.9, 6.5, 25, 400};
    double rate = rates[_i];
    bbl_permit_book books[GRANTORS];
    bbl_rng rng = {(uint64_t)_i + 1};
    unsigned window[400] = {0}; /* permits in the last 4 s, by 10 ms */
    unsigned sum = 0;

    for (int i = 0; i < GRANTORS; i++) {
        bbl_permit_book_init(&books[i], 0);
    }
    for (unsigned t = 0; t < 6000; t++) {
        bbl_usec now = 10 * SEC + t * 10 * MS;
        /* Bursts of requests alternate with silence. */
        unsigned requests =
            t / 300 % 2 ? (unsigned)bbl_rng_below(&rng, 20) : 0;

        sum -= window[t % 400];
        window[t % 400] = 0;
        for (unsigned i = 0; i < requests; i++) {
            bool urgent = bbl_rng_below(&rng, 2) == 0;

            window[t % 400] += ask(&books[bbl_rng_below(&rng, GRANTORS)], now,
                                   7, rate, urgent, NULL);
        }
        sum += window[t % 400];
        ck_assert_uint_le(sum, (unsigned)(1.5 * 4 * rate + 5));
    }
    for (int i = 0; i < GRANTORS; i++) {
        bbl_permit_book_free(&books[i]);
    }
}
END_TEST

START_TEST(restarted_grantor_begins_without_a_permit)
{
    bbl_permit_book book;

    bbl_permit_book_init(&book, 100 * SEC);
    ck_assert(!ask(&book, 101 * SEC, 7, 5, true, NULL));
    ck_assert(ask(&book, 103 * SEC, 7, 5, true, NULL));
    /* One that has run for a while knows that it has given none. */
    ck_assert(ask(&book, 110 * SEC, 8, 5, true, NULL));
    bbl_permit_book_free(&book);
}
END_TEST

START_TEST(request_that_cannot_be_met_takes_nothing)
{
    bbl_permit_book book;
    bblx_permit_item items[3] = {{1, 0, 1000}, {2, 0, 1000}, {3, 1, 1000}};
    bblx_permit_request r;
    bblx_permit_result out[3];

    bbl_permit_book_init(&book, 0);
    memset(&r, 0, sizeof(r));
    r.urgent = TRUE;
    r.needed = 3;
    r.items.items_len = 3;
    r.items.items_val = items;
    bbl_permit_book_grant(out, &book, 10 * SEC, GRANTORS, &r);
    ck_assert(!out[0].granted && !out[1].granted && !out[2].granted);
    r.needed = 2;
    bbl_permit_book_grant(out, &book, 10 * SEC, GRANTORS, &r);
    /* One server of each group. */
    ck_assert(out[0].granted && !out[1].granted && out[2].granted);
    ck_assert_uint_eq(out[1].wait_us, 0);
    ck_assert(ask(&book, 10 * SEC, 2, 1, true, NULL));
    bbl_permit_book_free(&book);
}
END_TEST

START_TEST(urgent_requests_come_first_but_leave_a_share)
{
    bbl_permit_book book;
    unsigned granted[2] = {0, 0};

    bbl_permit_book_init(&book, 0);
    for (unsigned t = 0; t < 3000; t++) {
        bbl_usec now = 10 * SEC + t * 10 * MS;

        granted[1] += ask(&book, now, 7, 50, true, NULL);
        granted[0] += ask(&book, now, 7, 50, false, NULL);
    }
    ck_assert_uint_ge(granted[1], 2 * granted[0]);
    ck_assert_uint_ge(granted[0], (granted[0] + granted[1]) / 8);
    bbl_permit_book_free(&book);
}
END_TEST

START_TEST(refused_requests_are_told_different_times)
{
    bbl_permit_book book;
    uint32_t first;
    uint32_t last = 0;

    bbl_permit_book_init(&book, 0);
    ck_assert(ask(&book, 10 * SEC, 7, 5, true, NULL));
    ck_assert(!ask(&book, 10 * SEC, 7, 5, true, &first));
    /* 0.95 permits a second. */
    ck_assert_uint_ge(first, 1000000);
    ck_assert_uint_le(first, 1100000);
    for (int i = 0; i < 9; i++) {
        ck_assert(!ask(&book, 10 * SEC, 7, 5, true, &last));
    }
    /* Each of them asks three grantors, so this one expects three of nine. */
    ck_assert_uint_ge(last, first + 3000000);
    bbl_permit_book_free(&book);
}
END_TEST

/* A query over all shards of a large service goes into one request. */
START_TEST(request_for_all_shards_of_a_large_service_is_encoded)
{
    static bblx_permit_item items[1100 * 13];
    bblx_message m;
    bbl_buf bytes = BBL_BUF_INIT;

    memset(&m, 0, sizeof(m));
    m.kind = BBLX_PERMIT_REQUEST;
    m.bblx_message_u.permit_request.items.items_len =
        sizeof(items) / sizeof(items[0]);
    m.bblx_message_u.permit_request.items.items_val = items;
    ck_assert_int_eq(BBL_XDR_ENCODE(&bytes, bblx_message, &m), 0);
    bbl_buf_free(&bytes);
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("permit_book");
    TCase *tc = tcase_create("grants");
    SRunner *sr;
    int failed;

    tcase_add_loop_test(tc, permits_of_all_grantors_stay_within_the_rate, 0,
                        8);
    tcase_add_test(tc, restarted_grantor_begins_without_a_permit);
    tcase_add_test(tc, request_that_cannot_be_met_takes_nothing);
    tcase_add_test(tc, urgent_requests_come_first_but_leave_a_share);
    tcase_add_test(tc, refused_requests_are_told_different_times);
    tcase_add_test(tc, request_for_all_shards_of_a_large_service_is_encoded);
    suite_add_tcase(s, tc);
    sr = srunner_create(s);
    srunner_run_all(sr, CK_NORMAL);
    failed = srunner_ntests_failed(sr);
    srunner_free(sr);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
