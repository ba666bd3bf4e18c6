#include <check.h>

#include "admission/order.h"
#include "support/run.h"

#define MS BBL_USEC_PER_MS
#define NOW (1000 * MS)

/* A query of 30 ms with a target of 300 ms, which may wait for 60 ms. */
static bbl_order_query
make_query(uint64_t number, uint32_t priority, double work)
{
    return (bbl_order_query){.host = 1,
                             .number = number,
                             .priority = priority,
                             .target_at = NOW + 300 * MS,
                             .deadline = NOW + 1200 * MS,
                             .wait_until = NOW + 60 * MS,
                             .expected = 30 * MS,
                             .work = work};
}

static void
add(bbl_order *o, bbl_order_query q)
{
    bbl_order_query displaced;

    ck_assert(!bbl_order_add(&displaced, o, NOW, &q));
}

static uint64_t
take(bbl_order *o, bbl_usec now)
{
    bbl_order_query q;

    return bbl_order_take_next(&q, o, now) ? q.number : 0;
}

/* Guards against urgent callers that wait behind others, and lost targets. */
START_TEST(order_is_by_priority_then_target_then_work)
{
    bbl_order o;
    bbl_order_query late = make_query(4, 0, 1);

    bbl_order_init(&o);
    late.target_at = NOW + 10 * MS; /* it can only meet its deadline */
    add(&o, make_query(1, 1, 1));
    add(&o, make_query(2, 0, 9));
    add(&o, make_query(3, 0, 5));
    add(&o, late);
    ck_assert_uint_eq(
        bbl_order_count_before(&o, NOW, &(bbl_order_query){.priority = 1}), 4);
    ck_assert_uint_eq(take(&o, NOW), 3);
    ck_assert_uint_eq(take(&o, NOW), 2);
    ck_assert_uint_eq(take(&o, NOW), 4);
    ck_assert_uint_eq(take(&o, NOW), 1);
    ck_assert_uint_eq(take(&o, NOW), 0);
    bbl_order_free(&o);
}
END_TEST

/* Guards against starvation: all classes wait all the time. */
START_TEST(each_priority_gets_one_grant_in_ten)
{
    unsigned since[3] = {0};
    bbl_order_query q;
    bbl_order o;

    bbl_order_init(&o);
    for (uint64_t n = 0; n < 30; n++) {
        add(&o, make_query(n, n % 3, 1));
    }
    for (unsigned i = 0; i < 1000; i++) {
        ck_assert(bbl_order_take_next(&q, &o, NOW));
        add(&o, q);
        for (unsigned p = 0; p < 3; p++) {
            since[p] = p == q.priority ? 0 : since[p] + 1;
            ck_assert_uint_lt(since[p], BBL_ORDER_LEAST_SHARE);
        }
    }
    /* The reserved grants bound the wait that is predicted. */
    q = make_query(99, 2, 0);
    ck_assert_uint_lt(bbl_order_count_before(&o, NOW, &q),
                      BBL_ORDER_LEAST_SHARE);
    bbl_order_free(&o);
}
END_TEST

START_TEST(queries_expire_by_their_wait_and_their_deadline)
{
    bbl_order o;
    bbl_order_query q = make_query(1, 0, 1);

    bbl_order_init(&o);
    add(&o, q);
    q.number = 2;
    q.deadline = NOW + 50 * MS; /* with 30 ms of work: until 20 ms */
    add(&o, q);
    ck_assert_uint_eq(bbl_order_get_next_expiry(&o), NOW + 20 * MS);
    ck_assert(!bbl_order_take_expired(&q, &o, NOW + 19 * MS));
    ck_assert(bbl_order_take_expired(&q, &o, NOW + 20 * MS));
    ck_assert_uint_eq(q.number, 2);
    ck_assert(!bbl_order_take_expired(&q, &o, NOW + 59 * MS));
    ck_assert(bbl_order_take_expired(&q, &o, NOW + 60 * MS));
    ck_assert_uint_eq(bbl_order_get_next_expiry(&o), UINT64_MAX);
    bbl_order_free(&o);
}
END_TEST

/* Guards against memory without a bound, and against urgent callers kept out
 * by those that came before. */
START_TEST(a_full_queue_displaces_the_least_urgent)
{
    bbl_order o;
    bbl_order_query displaced;
    bbl_order_query urgent = make_query(1000, 0, 1);
    bbl_order_query last = make_query(1001, 2, 1);

    bbl_order_init(&o);
    for (uint64_t n = 0; n < BBL_ORDER_MAX; n++) {
        add(&o, make_query(n, 1, n == 7 ? 2 : 1));
    }
    ck_assert(bbl_order_add(&displaced, &o, NOW, &last));
    ck_assert_uint_eq(displaced.number, 1001);
    ck_assert(bbl_order_add(&displaced, &o, NOW, &urgent));
    ck_assert_uint_eq(displaced.number, 7);
    ck_assert(bbl_order_remove(&o, 1, 1000));
    ck_assert(!bbl_order_remove(&o, 1, 1000));
    bbl_order_free(&o);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("order");
    TCase *tc = tcase_create("order");

    tcase_add_test(tc, order_is_by_priority_then_target_then_work);
    tcase_add_test(tc, each_priority_gets_one_grant_in_ten);
    tcase_add_test(tc, queries_expire_by_their_wait_and_their_deadline);
    tcase_add_test(tc, a_full_queue_displaces_the_least_urgent);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
