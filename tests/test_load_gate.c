#include <check.h>

#include "admission/load_gate.h"
#include "support/run.h"

#define MS BBL_USEC_PER_MS
#define SEC BBL_USEC_PER_SEC
#define SLOTS 6

static bbl_load_gate gate;
static uint64_t last_number;

static void
setup(void)
{
    bbl_load_gate_init(&gate, 1);
}

static void
teardown(void)
{
    bbl_load_gate_free(&gate);
}

static bbl_load_query
make_query(uint32_t priority)
{
    return (bbl_load_query){.host = 1,
                            .number = ++last_number,
                            .slots = SLOTS,
                            .priority = priority,
                            .work = 2500 * MS,
                            .target_left = 300 * MS,
                            .deadline_left = 1200 * MS,
                            .wait_max = 60 * MS};
}

static bbl_load_decision
take(void)
{
    bbl_load_decision d = {.number = 0};

    ck_assert(bbl_load_gate_take_decision(&d, &gate));
    return d;
}

static bbl_load_decision
ask(bbl_usec now, uint32_t priority)
{
    bbl_load_query q = make_query(priority);

    bbl_load_gate_request(&gate, now, &q);
    return take();
}

/* Admits queries until one has to wait; returns the number of the first. */
static uint64_t
fill(bbl_usec now)
{
    uint64_t first = last_number + 1;

    for (unsigned i = 0; i < SLOTS; i++) {
        ck_assert_int_eq(ask(now, 0).outcome, BBL_LOAD_ADMITTED);
    }
    return first;
}

START_TEST(the_limit_begins_at_the_slots_and_a_report_admits_the_next)
{
    uint64_t first = fill(SEC);
    bbl_load_decision d = ask(SEC, 0);
    uint64_t waiting = d.number;

    ck_assert_int_eq(d.outcome, BBL_LOAD_WAITING);
    ck_assert_uint_gt(d.ask_for, 0);
    bbl_load_gate_report(&gate, SEC + 10 * MS, 1, first, 90, 0, 10 * MS);
    d = take();
    ck_assert_uint_eq(d.number, waiting);
    ck_assert_int_eq(d.outcome, BBL_LOAD_ADMITTED);
}
END_TEST

/* A repeated question must not count a query twice. */
START_TEST(a_repeated_request_counts_once)
{
    bbl_load_query q = make_query(0);

    for (unsigned i = 0; i < 3 * SLOTS; i++) {
        bbl_load_gate_request(&gate, SEC, &q);
        ck_assert_int_eq(take().outcome, BBL_LOAD_ADMITTED);
    }
    ck_assert_uint_eq(gate.in_flight.size, 1);
}
END_TEST

/* Guards against callers that are held and refused all the same. */
START_TEST(what_would_wait_too_long_is_refused_at_once)
{
    unsigned waiting = 0;
    bbl_usec least = SEC;
    bbl_usec most = 0;

    fill(SEC);
    for (unsigned i = 0; i < 60; i++) {
        bbl_load_decision d = ask(SEC, 0);

        waiting += d.outcome == BBL_LOAD_WAITING;
        if (d.outcome == BBL_LOAD_REFUSED) {
            ck_assert_int_eq(d.reason, BBL_LOAD_REASON_QUEUE);
            least = d.retry_after < least ? d.retry_after : least;
            most = d.retry_after > most ? d.retry_after : most;
        }
    }
    /* The limit admits 6 queries in the 50 ms that one takes at first. */
    ck_assert_uint_ge(waiting, 6);
    ck_assert_uint_le(waiting, 8);
    ck_assert_uint_gt(most, 2 * least); /* they do not return together */
    for (; waiting > 0; waiting--) {
        bbl_load_gate_tick(&gate, SEC + 60 * MS);
        ck_assert_int_eq(take().outcome, BBL_LOAD_REFUSED);
    }
}
END_TEST

START_TEST(what_cannot_meet_its_deadline_is_not_started)
{
    uint64_t first = fill(SEC);
    bbl_load_query q = make_query(0);

    bbl_load_gate_report(&gate, SEC + 200 * MS, 1, first, 90, 0, 200 * MS);
    q.deadline_left = 150 * MS;
    bbl_load_gate_request(&gate, SEC + 200 * MS, &q);
    ck_assert_int_eq(take().reason, BBL_LOAD_REASON_DEADLINE);
    q.deadline_left = 250 * MS;
    bbl_load_gate_request(&gate, SEC + 200 * MS, &q);
    ck_assert_int_eq(take().outcome, BBL_LOAD_ADMITTED);
}
END_TEST

/* Keeps the gate busy for some time, with a share of the parts refused. */
static void
run_load(bbl_usec from, bbl_usec until, uint32_t refused)
{
    static uint64_t open[64];
    static size_t head = 0, tail = 0;

    for (bbl_usec now = from; now < until; now += 5 * MS) {
        bbl_load_query q = make_query(0);
        bbl_load_decision d;

        bbl_load_gate_request(&gate, now, &q);
        bbl_load_gate_tick(&gate, now);
        if (tail - head >= (size_t)gate.limit) {
            bbl_load_gate_report(&gate, now, 1, open[head++ % 64], 90, refused,
                                 50 * MS);
        }
        while (bbl_load_gate_take_decision(&d, &gate)) {
            if (d.outcome == BBL_LOAD_ADMITTED) {
                open[tail++ % 64] = d.number;
            }
        }
    }
}

/* Guards against a limit that collapses or runs away, and against one that
 * falls for each report of the same moment. */
START_TEST(the_limit_rises_slowly_and_falls_with_refusals)
{
    double before;

    run_load(SEC, 3 * SEC, 0);
    ck_assert(gate.limit > 1.5 * SLOTS);
    before = gate.limit;
    run_load(3 * SEC, 3 * SEC + 100 * MS, 5); /* two query times */
    ck_assert(gate.limit >= 0.5 * before);
    ck_assert(gate.limit < before);
    run_load(4 * SEC, 20 * SEC, 5);
    ck_assert(gate.limit >= SLOTS / 3.0 && gate.limit < SLOTS / 2.0);
    run_load(20 * SEC, 21 * SEC, 1); /* 1.1%: neither */
    ck_assert(gate.limit < SLOTS / 2.0);
    run_load(21 * SEC, 80 * SEC, 0);
    ck_assert(gate.limit <= 4 * SLOTS);
}
END_TEST

/* Slow servers refuse parts at the usual load. A limit that fell for them
 * would refuse what the other servers could serve. */
START_TEST(a_part_of_what_the_slots_can_do_is_always_admitted)
{
    gate.slots = SLOTS;
    gate.limit = SLOTS / 3.0;
    for (bbl_usec now = SEC; now < 5 * SEC; now += 25 * MS) {
        bbl_load_query q = make_query(0);
        bbl_load_decision d;

        q.shards = 90;
        q.work = 90 * 30 * MS; /* 40 a second: 1.2 of 6 slots */
        bbl_load_gate_request(&gate, now, &q);
        d = take();
        ck_assert_int_eq(d.outcome, BBL_LOAD_ADMITTED);
        ck_assert_uint_eq(d.ask_for, 0);
        bbl_load_gate_report(&gate, now + 2 * MS, 1, q.number, 95, 8,
                             300 * MS);
    }
    ck_assert(gate.limit < SLOTS / 2.0);
}
END_TEST

/* Guards against a gate that stays shut when hosts end without a report. */
START_TEST(a_query_without_a_report_ends_at_its_deadline)
{
    bbl_usec next;

    fill(SEC);
    next = bbl_load_gate_tick(&gate, SEC);
    ck_assert_uint_eq(next, SEC + 1200 * MS);
    bbl_load_gate_tick(&gate, next);
    ck_assert_uint_eq(gate.in_flight.size, 0);
    ck_assert_uint_eq(gate.counters.reports_lost, SLOTS);
}
END_TEST

/* Queries that refusals end at once would otherwise pass without a limit,
 * while servers still work on their parts. */
START_TEST(a_query_ended_by_refusals_counts_for_the_usual_time)
{
    uint64_t first = fill(SEC);

    bbl_load_gate_report(&gate, SEC + 2 * MS, 1, first, 90, 20, 2 * MS);
    ck_assert_uint_eq(gate.in_flight.size, SLOTS);
    bbl_load_gate_tick(&gate, SEC + 60 * MS);
    ck_assert_uint_eq(gate.in_flight.size, SLOTS - 1);
    ck_assert_uint_eq(gate.counters.reports_lost, 0);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("load_gate");
    TCase *tc = tcase_create("load_gate");

    tcase_add_checked_fixture(tc, setup, teardown);
    tcase_add_test(tc,
                   the_limit_begins_at_the_slots_and_a_report_admits_the_next);
    tcase_add_test(tc, a_repeated_request_counts_once);
    tcase_add_test(tc, what_would_wait_too_long_is_refused_at_once);
    tcase_add_test(tc, what_cannot_meet_its_deadline_is_not_started);
    tcase_add_test(tc, the_limit_rises_slowly_and_falls_with_refusals);
    tcase_add_test(tc, a_part_of_what_the_slots_can_do_is_always_admitted);
    tcase_add_test(tc, a_query_without_a_report_ends_at_its_deadline);
    tcase_add_test(tc, a_query_ended_by_refusals_counts_for_the_usual_time);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
