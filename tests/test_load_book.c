#include <check.h>
#include <string.h>

#include "admission/load_book.h"
#include "support/run.h"

#define MS BBL_USEC_PER_MS
#define SEC BBL_USEC_PER_SEC

static bbl_load_book book;

static void
request(bbl_usec now, uint32_t host, uint64_t number, uint64_t resource)
{
    bblx_admission_request r;
    bblx_admission_load *load = &r.item.bblx_admission_item_u.load;

    memset(&r, 0, sizeof(r));
    r.number = number;
    r.control = (bblx_address){host, 7};
    r.item.subject = BBLX_ADMISSION_LOAD;
    *load = (bblx_admission_load){.resource = resource,
                                  .slots = 1,
                                  .shards = 1,
                                  .work_us = 1 * SEC,
                                  .target_us = 300 * MS,
                                  .deadline_us = 1200 * MS,
                                  .wait_us = 60 * MS};
    bbl_load_book_request(&book, now, host, &r);
}

static void
check_reply(uint32_t host, uint64_t number, bblx_admission_outcome outcome)
{
    bbl_load_reply r;

    ck_assert(bbl_load_book_take_reply(&r, &book));
    ck_assert_uint_eq(r.host, host);
    ck_assert_uint_eq(r.control.ip, host);
    ck_assert_uint_eq(r.reply.number, number);
    ck_assert_int_eq(r.reply.outcome, outcome);
}

/* Two hosts may use the same number, and another set of shards is free. */
START_TEST(replies_go_to_the_hosts_that_asked)
{
    bblx_admission_report report = {
        .number = 5, .resource = 1, .parts_sent = 9, .time_us = 10 * MS};
    bbl_load_status s;

    bbl_load_book_init(&book, 1);
    request(SEC, 21, 5, 1);
    check_reply(21, 5, BBLX_ADMITTED);
    request(SEC, 22, 5, 1);
    check_reply(22, 5, BBLX_WAITS);
    request(SEC, 22, 6, 2);
    check_reply(22, 6, BBLX_ADMITTED);
    bbl_load_book_get_status(&s, &book);
    ck_assert_uint_eq(s.in_flight, 2);
    ck_assert_uint_eq(s.waiting, 1);
    bbl_load_book_report(&book, SEC + 10 * MS, 21, &report);
    check_reply(22, 5, BBLX_ADMITTED);
    bbl_load_book_free(&book);
}
END_TEST

START_TEST(a_tick_refuses_what_has_waited_too_long)
{
    bbl_load_book_init(&book, 1);
    request(SEC, 21, 1, 1);
    check_reply(21, 1, BBLX_ADMITTED);
    request(SEC, 22, 1, 1);
    check_reply(22, 1, BBLX_WAITS);
    bbl_load_book_tick(&book, SEC + 60 * MS);
    check_reply(22, 1, BBLX_OVERLOAD);
    bbl_load_book_free(&book);
}
END_TEST

/* Guards against memory without a bound, and against routes that are refused
 * because of it. */
START_TEST(the_number_of_gates_is_bounded)
{
    bbl_load_status s;

    bbl_load_book_init(&book, 1);
    for (uint64_t i = 1; i <= 3 * BBL_LOAD_BOOK_GATES_MAX; i++) {
        request(SEC, 21, i, i);
        check_reply(21, i, BBLX_ADMITTED);
    }
    ck_assert_uint_eq(book.gates.size, BBL_LOAD_BOOK_GATES_MAX);
    for (unsigned i = 0; i < 2 * BBL_LOAD_BOOK_GATES_MAX; i++) {
        bbl_load_book_tick(&book, 100 * SEC); /* they are not in use */
    }
    ck_assert_uint_eq(book.gates.size, 0);
    bbl_load_book_get_status(&s, &book); /* what they did still counts */
    ck_assert_uint_eq(s.counters.admitted[0], BBL_LOAD_BOOK_GATES_MAX);
    bbl_load_book_free(&book);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("load_book");
    TCase *tc = tcase_create("load_book");

    tcase_add_test(tc, replies_go_to_the_hosts_that_asked);
    tcase_add_test(tc, a_tick_refuses_what_has_waited_too_long);
    tcase_add_test(tc, the_number_of_gates_is_bounded);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
