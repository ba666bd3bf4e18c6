/* Tests the dispatch core with one searcher and simulated exchanges. */
#include <string.h>

#include "policy/dispatch.h"
#include "support/run.h"

#define START 1000000u

typedef struct {
    uint64_t started[64];
    unsigned count;
    unsigned not_run;
    unsigned answers;
    bblx_phase phase;
    uint32_t limit;
} port_calls;

static void
on_start(void *ctx, const bbl_exchange *e)
{
    port_calls *s = ctx;

    s->started[s->count++ % 64] = e->exchange_id;
}

static void
on_cancel(void *ctx, uint64_t exchange, uint32_t searcher)
{
    (void)ctx;
    (void)exchange;
    (void)searcher;
}

static void
on_reply(void *ctx, uint32_t host, const bblx_sub_results *r)
{
    port_calls *s = ctx;

    (void)host;
    for (u_int i = 0; i < r->results.results_len; i++) {
        s->not_run += r->results.results_val[i].status == BBLX_SUB_NOT_RUN;
        s->answers += r->results.results_val[i].status == BBLX_SUB_OK;
    }
}

static void
on_report(void *ctx, const bblx_report *r)
{
    port_calls *s = ctx;

    s->phase = r->phase;
    s->limit = r->limit;
}

static bbl_view *
create_view(void)
{
    bbl_view *view = bbl_view_new(1);
    u_int shard = 0;
    bblx_index index = {1, 1, 0, 1, {1, &shard}};
    bblx_assign a;
    bblx_report r;

    memset(&a, 0, sizeof(a));
    memset(&r, 0, sizeof(r));
    a.place.searcher = 1;
    a.place.zone = (bblx_name){3, "dc1"};
    a.place.service = (bblx_name){1, "s"};
    a.place.slots = 3;
    a.owner = 1;
    a.incarnation = 1;
    a.epoch = 2;
    r.searcher = 1;
    r.epoch = 1;
    r.boot = 5;
    r.phase = BBLX_RELEASED;
    r.limit = 3;
    r.indexes.indexes_len = 1;
    r.indexes.indexes_val = &index;
    bbl_view_add_searcher(view, &a, &r);
    bbl_view_finish(view);
    return view;
}

static bbl_dispatch *
create_dispatch(port_calls *s, const bbl_view *view)
{
    bbl_dispatch_options o = BBL_DISPATCH_OPTIONS_INIT;
    bbl_dispatch *d;

    o.host = 1;
    o.incarnation = 1;
    o.port.start = on_start;
    o.port.cancel = on_cancel;
    o.port.reply = on_reply;
    o.port.report = on_report;
    o.port.ctx = s;
    bbl_dispatch_new(&d, &o);
    bbl_dispatch_set_lease(d, UINT64_MAX);
    bbl_dispatch_set_view(d, START, view);
    return d;
}

/* Sends `count` sub-requests; returns how many exchanges were started. */
static unsigned
send_requests(bbl_dispatch *d, port_calls *s, bbl_usec now, unsigned count)
{
    static uint64_t seq;
    unsigned before = s->count;

    for (unsigned i = 0; i < count; i++) {
        bblx_sub sub = {0, 0, 1, FALSE, FALSE};
        bblx_sub_request r;

        memset(&r, 0, sizeof(r));
        r.query = (bblx_query_id){1, 1, ++seq};
        r.index_version = 1;
        r.deadline_us = 50000;
        r.plan = (bblx_name){1, "p"};
        r.subs.subs_len = 1;
        r.subs.subs_val = &sub;
        bbl_dispatch_receive_request(d, now, 1, &r);
    }
    return s->count - before;
}

static void
complete_exchange(bbl_dispatch *d, port_calls *s, bbl_usec now, unsigned place,
                  bbl_exchange_outcome exchange_outcome)
{
    bbl_exchange_result r = {.outcome = exchange_outcome, .version = 1};

    r.boot = exchange_outcome == BBL_EXCHANGE_OK ? 5 : 0;
    bbl_dispatch_complete_exchange(d, now, s->started[place], &r);
    bbl_dispatch_flush(d);
}

START_TEST(handed_over_searcher_keeps_its_limit)
{
    port_calls s = {0};
    bbl_view *view = create_view();
    bbl_dispatch *d = create_dispatch(&s, view);

    ck_assert_int_eq(s.phase, BBLX_WARM);
    ck_assert_uint_eq(send_requests(d, &s, START, 5), 3);
    bbl_dispatch_free(d);
    bbl_view_free(view);
}
END_TEST

START_TEST(searcher_that_only_fails_gets_no_work_for_a_while)
{
    port_calls s = {0};
    bbl_view *view = create_view();
    bbl_dispatch *d = create_dispatch(&s, view);
    bbl_usec now = START;

    ck_assert_uint_eq(send_requests(d, &s, now, 3), 3);
    for (unsigned i = 0; i < 3; i++) {
        complete_exchange(d, &s, now, i, BBL_EXCHANGE_FAILED);
    }
    ck_assert_int_eq(s.phase, BBLX_DOWN);
    ck_assert_uint_eq(send_requests(d, &s, now + 100000, 2), 0);
    bbl_dispatch_flush(d);
    ck_assert_uint_eq(s.not_run, 2);
    /* After the pause one request starts; its failure begins a new pause. */
    now += 201000;
    bbl_dispatch_tick(d, now);
    ck_assert_uint_eq(send_requests(d, &s, now, 2), 1);
    complete_exchange(d, &s, now, 3, BBL_EXCHANGE_FAILED);
    ck_assert_int_eq(s.phase, BBLX_DOWN);
    bbl_dispatch_tick(d, now + 201000);
    ck_assert_uint_eq(send_requests(d, &s, now + 201000, 1), 0);
    /* The second pause is twice as long; an answer ends the outage. */
    now += 401000;
    bbl_dispatch_tick(d, now);
    ck_assert_uint_eq(send_requests(d, &s, now, 1), 1);
    complete_exchange(d, &s, now, 4, BBL_EXCHANGE_OK);
    ck_assert_int_eq(s.phase, BBLX_COLD);
    ck_assert_uint_eq(s.answers, 1);
    bbl_dispatch_free(d);
    bbl_view_free(view);
}
END_TEST

START_TEST(searcher_that_asked_for_a_pause_gets_no_work_in_it)
{
    port_calls s = {0};
    bbl_view *view = create_view();
    bbl_dispatch *d = create_dispatch(&s, view);
    bbl_exchange_result r = {.outcome = BBL_EXCHANGE_REFUSED, .version = 1};
    bbl_usec now = START;

    ck_assert_uint_eq(send_requests(d, &s, now, 3), 3);
    r.backoff = 3 * BBL_USEC_PER_SEC;
    bbl_dispatch_complete_exchange(d, now, s.started[0], &r);
    ck_assert_int_eq(s.phase, BBLX_DOWN);
    /* Refusals of the others do not end the pause. */
    r.backoff = 0;
    bbl_dispatch_complete_exchange(d, now + 1000, s.started[1], &r);
    r.backoff = BBL_USEC_PER_SEC;
    bbl_dispatch_complete_exchange(d, now + 2000, s.started[2], &r);
    bbl_dispatch_tick(d, now + 2900000);
    ck_assert_uint_eq(send_requests(d, &s, now + 2900000, 2), 0);
    bbl_dispatch_flush(d);
    ck_assert_uint_eq(s.not_run, 5);
    now += 3001000;
    bbl_dispatch_tick(d, now);
    ck_assert_uint_eq(send_requests(d, &s, now, 2), 1);
    bbl_dispatch_free(d);
    bbl_view_free(view);
}
END_TEST

START_TEST(broken_exchange_keeps_its_slot_until_its_deadline)
{
    port_calls s = {0};
    bbl_view *view = create_view();
    bbl_dispatch *d = create_dispatch(&s, view);

    ck_assert_uint_eq(send_requests(d, &s, START, 3), 3);
    complete_exchange(d, &s, START + 1000, 0, BBL_EXCHANGE_FAILED);
    complete_exchange(d, &s, START + 1000, 1, BBL_EXCHANGE_OK);
    complete_exchange(d, &s, START + 1000, 2, BBL_EXCHANGE_OK);
    /* Cold with two answers: the limit is 2, and one slot may be in use. */
    ck_assert_uint_eq(s.limit, 2);
    ck_assert_uint_eq(send_requests(d, &s, START + 2000, 2), 1);
    bbl_dispatch_tick(d, START + 50001);
    ck_assert_uint_eq(s.count, 5);
    bbl_dispatch_free(d);
    bbl_view_free(view);
}
END_TEST

START_TEST(nothing_starts_without_a_lease)
{
    port_calls s = {0};
    bbl_view *view = create_view();
    bbl_dispatch *d = create_dispatch(&s, view);

    bbl_dispatch_set_lease(d, START + 10);
    ck_assert_uint_eq(send_requests(d, &s, START + 9, 1), 1);
    ck_assert_uint_eq(send_requests(d, &s, START + 10, 1), 0);
    bbl_dispatch_flush(d);
    ck_assert_uint_eq(s.not_run, 1);
    bbl_dispatch_free(d);
    bbl_view_free(view);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("dispatch");
    TCase *tc = tcase_create("dispatch");

    tcase_add_test(tc, handed_over_searcher_keeps_its_limit);
    tcase_add_test(tc, searcher_that_only_fails_gets_no_work_for_a_while);
    tcase_add_test(tc, searcher_that_asked_for_a_pause_gets_no_work_in_it);
    tcase_add_test(tc, broken_exchange_keeps_its_slot_until_its_deadline);
    tcase_add_test(tc, nothing_starts_without_a_lease);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
