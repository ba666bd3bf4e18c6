#include <string.h>

#include "policy/fair_queue.h"
#include "support/run.h"

#define ITEMS 4000

static bbl_fair_item items[ITEMS];

/* Shares of plans a, b and c: 60%, 30%, 10%. */
static uint32_t
share(void *ctx, const bbl_name *plan)
{
    (void)ctx;
    return plan->ptr[0] == 'a'   ? 600000
           : plan->ptr[0] == 'b' ? 300000
                                 : 100000;
}

static void
put(bbl_fair_queue *q, int i, char plan, bbl_urgency urgency)
{
    bbl_name_set(&items[i].plan, &plan, 1);
    items[i].urgency = urgency;
    items[i].expedited = false;
    bbl_fair_queue_enqueue(q, &items[i]);
}

START_TEST(backlogged_plans_get_their_shares)
{
    bbl_fair_queue q;
    int got[3] = {0};

    bbl_fair_queue_init(&q);
    for (int i = 0; i < 3000; i++) {
        put(&q, i, (char)('a' + i % 3), BBL_URGENCY_NORMAL);
    }
    for (int i = 0; i < 1000; i++) {
        got[bbl_fair_queue_dequeue(&q, share, NULL)->plan.ptr[0] - 'a']++;
    }
    ck_assert_int_ge(got[0], 595);
    ck_assert_int_le(got[0], 605);
    ck_assert_int_ge(got[1], 295);
    ck_assert_int_le(got[1], 305);
    ck_assert_int_ge(got[2], 95);
    bbl_fair_queue_free(&q);
}
END_TEST

/* A plan alone gets everything, and pays nothing back for it later. */
START_TEST(unused_share_is_lent)
{
    bbl_fair_queue q;
    int got = 0;

    bbl_fair_queue_init(&q);
    for (int i = 0; i < 1000; i++) {
        put(&q, i, 'c', BBL_URGENCY_NORMAL);
    }
    for (int i = 0; i < 500; i++) {
        ck_assert_int_eq(bbl_fair_queue_dequeue(&q, share, NULL)->plan.ptr[0],
                         'c');
    }
    for (int i = 1000; i < 2000; i++) {
        put(&q, i, 'a', BBL_URGENCY_NORMAL);
    }
    for (int i = 0; i < 140; i++) {
        got += bbl_fair_queue_dequeue(&q, share, NULL)->plan.ptr[0] == 'c';
    }
    ck_assert_int_ge(got, 18);
    ck_assert_int_le(got, 22);
    bbl_fair_queue_free(&q);
}
END_TEST

START_TEST(urgent_goes_first_and_batch_does_not_starve)
{
    bbl_fair_queue q;
    int urgent = 0;
    int batch = 0;

    bbl_fair_queue_init(&q);
    for (int i = 0; i < 900; i++) {
        put(&q, i, 'a', (bbl_urgency)(i % 3));
    }
    for (int i = 0; i < 160; i++) {
        bbl_fair_item *item = bbl_fair_queue_dequeue(&q, share, NULL);

        urgent += item->urgency == BBL_URGENCY_URGENT;
        batch += item->urgency == BBL_URGENCY_BATCH;
    }
    ck_assert_int_eq(urgent, 140);
    ck_assert_int_eq(batch, 20);
    bbl_fair_queue_free(&q);
}
END_TEST

static void
remove_even(void *ctx, bbl_fair_item *item)
{
    if ((item - items) % 2 == 0) {
        bbl_fair_queue_remove(ctx, item);
    }
}

START_TEST(items_may_leave_in_between)
{
    bbl_fair_queue q;
    int left = 0;

    bbl_fair_queue_init(&q);
    for (int i = 0; i < 100; i++) {
        put(&q, i, (char)('a' + i % 3), (bbl_urgency)(i % 2));
    }
    items[200].expedited = true;
    bbl_fair_queue_enqueue(&q, &items[200]);
    ck_assert_ptr_eq(bbl_fair_queue_dequeue(&q, share, NULL), &items[200]);
    bbl_fair_queue_for_each(&q, remove_even, &q);
    ck_assert_uint_eq(q.size, 50);
    for (bbl_fair_item *item;
         (item = bbl_fair_queue_dequeue(&q, share, NULL)) != NULL; left++) {
        ck_assert_int_eq((item - items) % 2, 1);
    }
    ck_assert_int_eq(left, 50);
    bbl_fair_queue_free(&q);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("fair_queue");
    TCase *tc = tcase_create("fair_queue");

    tcase_add_test(tc, backlogged_plans_get_their_shares);
    tcase_add_test(tc, unused_share_is_lent);
    tcase_add_test(tc, urgent_goes_first_and_batch_does_not_starve);
    tcase_add_test(tc, items_may_leave_in_between);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
