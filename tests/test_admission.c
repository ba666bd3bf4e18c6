/* Tests the decisions about admission: an entry host's, and a grantor's. */
#include <string.h>

#include "admission/admission.h"
#include "admission/quota_book.h"
#include "support/run.h"
#include "util/rng.h"

#define MS BBL_USEC_PER_MS
#define SEC BBL_USEC_PER_SEC
#define ARRIVED (100 * SEC)
#define GRANTORS 5

/* ---- the entry host ---- */

/* A query with a target of 300 ms that needs its quota and just arrived. */
static bbl_admit_facts
new_facts(void)
{
    bbl_admit_facts f;

    memset(&f, 0, sizeof(f));
    f.now = ARRIVED;
    f.arrived_at = ARRIVED;
    f.target = 300 * MS;
    f.grantors = GRANTORS;
    f.subjects[BBL_ADMIT_QUOTA].needed = true;
    f.subjects[BBL_ADMIT_QUOTA].first = 2;
    f.subjects[BBL_ADMIT_QUOTA].second = 2;
    return f;
}

/* The same after the grantor at position 2 was asked, `time` ago. */
static bbl_admit_facts
asked_facts(bbl_usec time)
{
    bbl_admit_facts f = new_facts();
    bbl_admit_subject_facts *s = &f.subjects[BBL_ADMIT_QUOTA];

    f.now += time;
    s->asked = 1 << 2;
    s->asked_at = ARRIVED;
    s->awaits_reply = true;
    return f;
}

static bbl_admit_decision
decide(const bbl_admit_facts *f)
{
    bbl_admit_decision d;

    bbl_admit_decide(&d, f);
    return d;
}

/* A query without a limit must cost nothing. */
START_TEST(a_query_that_needs_nothing_runs)
{
    bbl_admit_facts f = new_facts();

    f.subjects[BBL_ADMIT_QUOTA].needed = false;
    ck_assert_int_eq(decide(&f).action, BBL_ADMIT_RUN);
    f.subjects[BBL_ADMIT_QUOTA].needed = true;
    f.subjects[BBL_ADMIT_QUOTA].admitted = true;
    ck_assert_int_eq(decide(&f).action, BBL_ADMIT_RUN);
}
END_TEST

/* Load is not asked for a query that is then refused for its quota. */
START_TEST(the_quota_is_asked_for_before_load)
{
    bbl_admit_facts f = new_facts();
    bbl_admit_decision d;

    f.subjects[BBL_ADMIT_LOAD].needed = true;
    d = decide(&f);
    ck_assert_int_eq(d.action, BBL_ADMIT_ASK);
    ck_assert_int_eq(d.subject, BBL_ADMIT_QUOTA);
    ck_assert_uint_eq(d.grantor, 2);
    ck_assert_uint_eq(d.until, ARRIVED + 20 * MS);
    f.subjects[BBL_ADMIT_QUOTA].admitted = true;
    ck_assert_int_eq(decide(&f).subject, BBL_ADMIT_LOAD);
}
END_TEST

/* The state of the load is at one grantor: another one would admit what that
 * has refused. If none answers, servers that could serve it are not idle. */
START_TEST(one_grantor_decides_on_load)
{
    bbl_admit_facts f = new_facts();
    bbl_admit_subject_facts *s = &f.subjects[BBL_ADMIT_LOAD];

    f.subjects[BBL_ADMIT_QUOTA].admitted = true;
    s->needed = true;
    s->asked = 1;
    s->asked_at = ARRIVED;
    s->awaits_reply = true;
    f.now = ARRIVED + 20 * MS;
    ck_assert_int_eq(decide(&f).action, BBL_ADMIT_ASK); /* it is silent */
    ck_assert(decide(&f).timed_out);
    f.now = ARRIVED + 60 * MS;
    ck_assert_int_eq(decide(&f).action, BBL_ADMIT_RUN);
    s->waits = true; /* it has said that the query waits there */
    s->wait = 400 * MS;
    ck_assert_int_eq(decide(&f).action, BBL_ADMIT_AWAIT);
    ck_assert_uint_le(decide(&f).until, ARRIVED + 75 * MS);
    f.now = ARRIVED + 75 * MS;
    ck_assert_int_eq(decide(&f).action, BBL_ADMIT_REFUSE);
    ck_assert_uint_eq(decide(&f).retry_after, 400 * MS);
    f.now = ARRIVED + 1 * MS;
    s->waits = false;
    s->awaits_reply = false;
    s->refused = 1;
    ck_assert_int_eq(decide(&f).action, BBL_ADMIT_REFUSE);
    f.now = ARRIVED + 50 * MS;
    ck_assert_uint_eq(bbl_admit_get_load_wait(&f), 10 * MS);
    f.now = ARRIVED + 70 * MS;
    ck_assert_uint_eq(bbl_admit_get_load_wait(&f), 0);
}
END_TEST

START_TEST(a_short_target_shortens_the_wait_for_a_reply)
{
    bbl_admit_facts f = new_facts();

    f.target = 80 * MS;
    ck_assert_uint_eq(decide(&f).until, ARRIVED + 10 * MS);
}
END_TEST

START_TEST(a_grantor_that_does_not_reply_costs_one_timeout)
{
    bbl_admit_facts f = asked_facts(19 * MS);
    bbl_admit_decision d = decide(&f);

    ck_assert_int_eq(d.action, BBL_ADMIT_AWAIT);
    ck_assert(!d.timed_out);
    f.now = ARRIVED + 20 * MS;
    d = decide(&f);
    ck_assert_int_eq(d.action, BBL_ADMIT_ASK);
    ck_assert_uint_eq(d.grantor, 3);
    ck_assert(d.timed_out);
    /* Another query may go on elsewhere. */
    f.subjects[BBL_ADMIT_QUOTA].second = 0;
    ck_assert_uint_eq(decide(&f).grantor, 0);
    /* The next query does not ask it. */
    f = new_facts();
    f.silent = 1 << 2 | 1 << 3;
    ck_assert_uint_eq(decide(&f).grantor, 4);
}
END_TEST

/* One bucket may be empty while others still hold tokens. */
START_TEST(a_query_is_refused_when_all_grantors_that_answer_refused)
{
    bbl_admit_facts f = asked_facts(1 * MS);
    bbl_admit_subject_facts *s = &f.subjects[BBL_ADMIT_QUOTA];
    bbl_admit_decision d;

    s->awaits_reply = false;
    s->refused = 1 << 2;
    s->wait = 70 * MS;
    d = decide(&f);
    ck_assert_int_eq(d.action, BBL_ADMIT_ASK);
    ck_assert_uint_eq(d.grantor, 3);
    s->asked = s->refused = 0x1f;
    d = decide(&f);
    ck_assert_int_eq(d.action, BBL_ADMIT_REFUSE);
    ck_assert_uint_eq(d.retry_after, 70 * MS);
    /* A silent grantor is not waited for. */
    s->asked = s->refused = 0x1e;
    f.silent = 1;
    ck_assert_int_eq(decide(&f).action, BBL_ADMIT_REFUSE);
}
END_TEST

START_TEST(after_a_refusal_a_host_refuses_itself)
{
    bbl_admit_facts f = new_facts();
    bbl_admit_decision d;

    f.subjects[BBL_ADMIT_QUOTA].refused_for = 30 * MS;
    f.subjects[BBL_ADMIT_QUOTA].retry_after = 80 * MS;
    d = decide(&f);
    ck_assert_int_eq(d.action, BBL_ADMIT_REFUSE);
    ck_assert_uint_eq(d.retry_after, 80 * MS);
    /* A query that asked before then still uses a token that it gets. */
    f = asked_facts(1 * MS);
    f.subjects[BBL_ADMIT_QUOTA].refused_for = 30 * MS;
    ck_assert_int_eq(decide(&f).action, BBL_ADMIT_AWAIT);
    ck_assert_uint_eq(bbl_admit_get_local_refusal(1), 50 * MS);
    ck_assert_uint_eq(bbl_admit_get_local_refusal(100 * MS), 100 * MS);
    ck_assert_uint_eq(bbl_admit_get_local_refusal(9 * SEC), 250 * MS);
}
END_TEST

/* The other host needs time for its own grantors. */
START_TEST(without_a_reply_another_host_is_asked_in_time)
{
    bbl_admit_facts f = asked_facts(40 * MS);
    bbl_admit_subject_facts *s = &f.subjects[BBL_ADMIT_QUOTA];

    s->asked = 1 << 2 | 1 << 3;
    s->asked_again = true;
    s->asked_at = ARRIVED + 20 * MS;
    ck_assert_int_eq(decide(&f).action, BBL_ADMIT_UNANSWERED);
    ck_assert(decide(&f).may_delegate);
    /* With no other host it goes on, for a fifth of the target. */
    f.last_host = true;
    ck_assert_int_eq(decide(&f).action, BBL_ADMIT_ASK);
    ck_assert_uint_eq(decide(&f).until, ARRIVED + 60 * MS);
    f.now = ARRIVED + 60 * MS;
    s->asked = 7 << 2;
    s->asked_at = ARRIVED + 40 * MS;
    ck_assert_int_eq(decide(&f).action, BBL_ADMIT_UNANSWERED);
    ck_assert(!decide(&f).may_delegate);
    /* A query that comes back from another host has no first try left. */
    f = new_facts();
    f.now += 61 * MS;
    ck_assert_int_eq(decide(&f).action, BBL_ADMIT_ASK);
    f.passed_on = true;
    ck_assert_int_eq(decide(&f).action, BBL_ADMIT_UNANSWERED);
    /* If all grantors are silent no time is lost. */
    f = new_facts();
    f.silent = 0x1f;
    ck_assert_int_eq(decide(&f).action, BBL_ADMIT_UNANSWERED);
    f.grantors = 0;
    ck_assert_int_eq(decide(&f).action, BBL_ADMIT_UNANSWERED);
}
END_TEST

START_TEST(grantors_of_the_own_data_centre_are_asked_first)
{
    ck_assert_uint_eq(bbl_admit_choose_first(5, 1 << 1 | 1 << 4, 0), 1);
    ck_assert_uint_eq(bbl_admit_choose_first(5, 1 << 1 | 1 << 4, 1), 4);
    ck_assert_uint_eq(bbl_admit_choose_first(5, 0, 7), 2);
    ck_assert_uint_eq(bbl_admit_choose_first(0, 0, 7), 0);
}
END_TEST

/* ---- the grantor ---- */

typedef struct {
    bbl_quota_book book;
    uint64_t number;
    uint32_t wait_us;
    uint32_t left_per_1000;
} grantor;

static void
init_grantor(grantor *g, bbl_usec started_at)
{
    bbl_quota_limits limits = BBL_QUOTA_LIMITS_INIT;

    memset(g, 0, sizeof(*g));
    bbl_quota_book_init(&g->book, started_at, &limits);
}

static bool
take(grantor *g, bbl_usec now, uint64_t version, double rate, double burst)
{
    bblx_admission_quota q = {77, rate, burst, version};

    bbl_quota_answer answer;

    bbl_quota_book_take(&answer, &g->book, now, GRANTORS, 1, ++g->number, 0,
                        &q);
    g->wait_us = answer.wait_us;
    g->left_per_1000 = answer.left_per_1000;
    return answer.taken;
}

/* Takes all tokens that there are. */
static unsigned
take_all(grantor *g, bbl_usec now, uint64_t version, double rate, double burst)
{
    unsigned n = 0;

    while (take(g, now, version, rate, burst)) {
        n++;
    }
    return n;
}

/* One organisation at all grantors, for some seconds; by class of request. */
typedef struct {
    unsigned brought[BBL_QUOTA_CLASSES];
    unsigned served[BBL_QUOTA_CLASSES];
} demand;

/*
 * Brings `rates` requests a second of each class to a limit of 30 a second and
 * a burst of 30. Each asks the grantors one after the other, from a random one
 * on, and is not repeated.
 */
static demand
run_demand(const double rates[BBL_QUOTA_CLASSES], bbl_usec time)
{
    const bblx_admission_quota q = {77, 30, 30, 1};
    grantor g[GRANTORS];
    bbl_rng rng = {1};
    uint64_t number = 0;
    demand d;

    memset(&d, 0, sizeof(d));
    for (unsigned i = 0; i < GRANTORS; i++) {
        init_grantor(&g[i], 0);
    }
    for (bbl_usec now = 100 * SEC; now < 100 * SEC + time; now += MS) {
        for (unsigned class = 0; class < BBL_QUOTA_CLASSES; class ++) {
            unsigned from = (unsigned)bbl_rng_below(&rng, GRANTORS);
            bbl_quota_answer a = {false, 0, 0};

            if (bbl_rng_unit(&rng) >= rates[class] / 1000) {
                continue;
            }
            d.brought[class]++;
            number++;
            for (unsigned i = 0; i < GRANTORS && !a.taken; i++) {
                bbl_quota_book_take(&a, &g[(from + i) % GRANTORS].book, now,
                                    GRANTORS, 1, number, class, &q);
            }
            d.served[class] += a.taken;
        }
    }
    for (unsigned i = 0; i < GRANTORS; i++) {
        bbl_quota_book_free(&g[i].book);
    }
    return d;
}

/* An organisation sends five times its usual rate. Its urgent requests were
 * refused as often as those that can wait. */
START_TEST(urgent_requests_get_the_tokens_of_a_short_organisation)
{
    const double rates[BBL_QUOTA_CLASSES] = {20, 65, 15, 0};
    demand d = run_demand(rates, 10 * SEC);

    ck_assert_uint_ge(10 * d.served[0], 9 * d.brought[0]);
    /* The less urgent ones still get one token in ten, and nothing of what
     * the limit allows is left over. */
    ck_assert_uint_ge(10 * (d.served[1] + d.served[2]), 300);
    ck_assert_uint_ge(d.served[0] + d.served[1] + d.served[2], 300);
    ck_assert_uint_le(d.served[0] + d.served[1] + d.served[2],
                      (unsigned)(300 + 30 * 1.1 + 0.4 * 20));
}
END_TEST

/* Tokens must not be kept from requests that are within the limit. */
START_TEST(within_its_limit_an_organisation_is_served_in_any_order)
{
    const double rates[BBL_QUOTA_CLASSES] = {8, 10, 4, 0};
    demand d = run_demand(rates, 60 * SEC);

    for (unsigned class = 0; class < 3; class ++) {
        ck_assert_uint_eq(d.served[class], d.brought[class]);
    }
}
END_TEST

START_TEST(the_least_urgent_class_is_not_starved)
{
    const double rates[BBL_QUOTA_CLASSES] = {100, 0, 20, 0};
    demand d = run_demand(rates, 20 * SEC);
    unsigned granted = d.served[0] + d.served[2];

    ck_assert_uint_ge(BBL_ORDER_LEAST_SHARE * d.served[2], granted / 2);
    ck_assert_uint_le(d.served[2], granted / 5);
}
END_TEST

START_TEST(a_grantor_gives_its_share_of_rate_and_burst)
{
    grantor g;
    unsigned n = 0;

    init_grantor(&g, 0);
    /* 1.1 x 20 / 5 + 0.4 x 20 / 5 = 6 */
    ck_assert_uint_eq(take_all(&g, 100 * SEC, 1, 10, 20), 6);
    /* The wait is true: there is a token then, and not before. */
    ck_assert(!take(&g, 100 * SEC + g.wait_us - 1000, 1, 10, 20));
    for (unsigned i = 0; i < 2000; i++) {
        n += take(&g, 101 * SEC + i * 5 * MS, 1, 10, 20);
    }
    ck_assert_uint_ge(n, 20);
    ck_assert_uint_le(n, 22);
    bbl_quota_book_free(&g.book);
}
END_TEST

START_TEST(the_stated_wait_is_true)
{
    grantor g;

    init_grantor(&g, 0);
    take_all(&g, 100 * SEC, 1, 2.5, 0);
    /* 1 token in 2 s; an unused bucket holds 1.6, of which 0.6 are left. */
    ck_assert_uint_ge(g.wait_us, 799 * MS);
    ck_assert_uint_le(g.wait_us, 800 * MS + 1);
    ck_assert(!take(&g, 100 * SEC + 790 * MS, 1, 2.5, 0));
    ck_assert(take(&g, 100 * SEC + 801 * MS, 1, 2.5, 0));
    bbl_quota_book_free(&g.book);
}
END_TEST

/* A rate below one a second must still serve a request now and then. */
START_TEST(the_smallest_limit_serves_one_request)
{
    grantor g;

    init_grantor(&g, 0);
    ck_assert_uint_eq(take_all(&g, 1000 * SEC, 1, 0.1, 0), 1);
    /* A token in 50 s; an unused bucket holds 1.6, of which 0.6 are left. */
    ck_assert_uint_ge(g.wait_us, 19 * SEC);
    ck_assert(!take(&g, 1019 * SEC, 1, 0.1, 0));
    ck_assert(take(&g, 1000 * SEC + 20001 * MS, 1, 0.1, 0));
    bbl_quota_book_free(&g.book);
}
END_TEST

/* What its predecessor gave just before is not known. */
START_TEST(a_restarted_grantor_gives_two_tokens_and_its_rate)
{
    grantor g;

    init_grantor(&g, 100 * SEC);
    ck_assert_uint_eq(take_all(&g, 100 * SEC, 1, 10, 200), 2);
    bbl_quota_book_free(&g.book);
    /* A bucket that is first used later has earned its rate meanwhile. */
    init_grantor(&g, 100 * SEC);
    ck_assert_uint_eq(take_all(&g, 103 * SEC, 1, 10, 200), 8);
    bbl_quota_book_free(&g.book);
}
END_TEST

START_TEST(the_newest_routing_version_sets_the_rate)
{
    grantor g;

    init_grantor(&g, 0);
    ck_assert(take(&g, 100 * SEC, 1, 10, 200)); /* 44 left */
    ck_assert_uint_eq(take_all(&g, 100 * SEC, 2, 10, 20), 6);
    /* A host that has not received it yet. */
    ck_assert(!take(&g, 100 * SEC, 1, 10, 200));
    ck_assert_uint_eq(take_all(&g, 200 * SEC, 1, 10, 200), 6);
    bbl_quota_book_free(&g.book);
}
END_TEST

START_TEST(a_returned_token_is_given_once_more)
{
    grantor g;

    init_grantor(&g, 0);
    ck_assert_uint_eq(take_all(&g, 100 * SEC, 1, 1, 5), 2);
    bbl_quota_book_put_back(&g.book, 100 * SEC, 1, 1);
    bbl_quota_book_put_back(&g.book, 100 * SEC, 1, 1); /* doubled */
    bbl_quota_book_put_back(&g.book, 100 * SEC, 9, 2); /* another host's */
    ck_assert_uint_eq(take_all(&g, 100 * SEC, 1, 1, 5), 1);
    /* Too late: the token may count in an earlier window. */
    bbl_quota_book_put_back(&g.book, 100 * SEC + 451 * MS, 1, 2);
    ck_assert_uint_eq(take_all(&g, 100 * SEC + 451 * MS, 1, 1, 5), 0);
    ck_assert_uint_eq(g.book.returned, 1);
    bbl_quota_book_free(&g.book);
}
END_TEST

START_TEST(a_doubled_request_takes_one_token)
{
    bblx_admission_quota q = {77, 1, 5, 1};
    grantor g;
    bbl_quota_answer a;

    init_grantor(&g, 0);
    for (int i = 0; i < 3; i++) {
        bbl_quota_book_take(&a, &g.book, SEC, GRANTORS, 1, 50, 0, &q);
        ck_assert(a.taken);
    }
    ck_assert_uint_eq(g.book.granted, 1);
    bbl_quota_book_free(&g.book);
}
END_TEST

/* Refused callers that are told the same time return together. */
START_TEST(later_callers_are_told_later_times)
{
    grantor g;
    uint32_t first;

    init_grantor(&g, 0);
    take_all(&g, 100 * SEC, 1, 10, 0);
    first = g.wait_us;
    take(&g, 100 * SEC, 1, 10, 0);
    ck_assert_uint_gt(g.wait_us, first);
    for (int i = 0; i < 1000; i++) {
        take(&g, 100 * SEC, 1, 10, 0);
    }
    /* Not without end: most of a hot caller's requests do not return. */
    ck_assert_uint_le(g.wait_us, first + SEC / 2 + 1);
    bbl_quota_book_free(&g.book);
}
END_TEST

START_TEST(an_invalid_limit_gives_no_token)
{
    grantor g;

    init_grantor(&g, 0);
    ck_assert(!take(&g, SEC, 1, 0, 5));
    ck_assert(!take(&g, SEC, 1, -1, 5));
    ck_assert(!take(&g, SEC, 1, 0.0 / 0.0, 5));
    ck_assert(!take(&g, SEC, 1, 1, 0.0 / 0.0));
    ck_assert_uint_eq(g.book.buckets.size, 0);
    bbl_quota_book_free(&g.book);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("admission");
    TCase *host = tcase_create("host");
    TCase *book = tcase_create("grantor");

    tcase_add_test(host, a_query_that_needs_nothing_runs);
    tcase_add_test(host, the_quota_is_asked_for_before_load);
    tcase_add_test(host, one_grantor_decides_on_load);
    tcase_add_test(host, a_short_target_shortens_the_wait_for_a_reply);
    tcase_add_test(host, a_grantor_that_does_not_reply_costs_one_timeout);
    tcase_add_test(host,
                   a_query_is_refused_when_all_grantors_that_answer_refused);
    tcase_add_test(host, after_a_refusal_a_host_refuses_itself);
    tcase_add_test(host, without_a_reply_another_host_is_asked_in_time);
    tcase_add_test(host, grantors_of_the_own_data_centre_are_asked_first);
    suite_add_tcase(suite, host);
    tcase_add_test(book,
                   urgent_requests_get_the_tokens_of_a_short_organisation);
    tcase_add_test(book,
                   within_its_limit_an_organisation_is_served_in_any_order);
    tcase_add_test(book, the_least_urgent_class_is_not_starved);
    tcase_add_test(book, a_grantor_gives_its_share_of_rate_and_burst);
    tcase_add_test(book, the_stated_wait_is_true);
    tcase_add_test(book, the_smallest_limit_serves_one_request);
    tcase_add_test(book, a_restarted_grantor_gives_two_tokens_and_its_rate);
    tcase_add_test(book, the_newest_routing_version_sets_the_rate);
    tcase_add_test(book, a_returned_token_is_given_once_more);
    tcase_add_test(book, a_doubled_request_takes_one_token);
    tcase_add_test(book, later_callers_are_told_later_times);
    tcase_add_test(book, an_invalid_limit_gives_no_token);
    suite_add_tcase(suite, book);
    return run_suite(suite);
}
