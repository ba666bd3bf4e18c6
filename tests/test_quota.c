/*
 * Tests the quotas of organisations over several simulated entry hosts and
 * grantors.
 */
#include <math.h>
#include <string.h>

#include "support/quota_fleet.h"
#include "support/run.h"

#define MS BBL_USEC_PER_MS
#define SEC BBL_USEC_PER_SEC
#define HOT 0
#define CALM 1
#define FREE 2

/* Returns a call; it must have been answered. */
static const forward_sim_call *
get_answer(const quota_fleet *f, unsigned host, unsigned call)
{
    const forward_sim_call *c = forward_sim_get_call(f->hosts[host], call);

    ck_assert(c->answered);
    return c;
}

static const forward_sim_call *
send_and_wait(quota_fleet *f, unsigned host, unsigned organisation)
{
    unsigned n = quota_fleet_send(f, host, organisation);

    quota_fleet_run(f, 100 * MS);
    return get_answer(f, host, n);
}

/* Sends requests at once until one is refused, and returns that one. */
static const forward_sim_call *
use_up(quota_fleet *f, unsigned host, unsigned organisation)
{
    const forward_sim_call *c;

    do {
        unsigned n = quota_fleet_send(f, host, organisation);

        quota_fleet_run(f, 12 * MS);
        c = forward_sim_get_call(f->hosts[host], n);
    } while (!c->answered || c->status == 200);
    return c;
}

START_TEST(without_a_limit_no_message_is_sent)
{
    quota_fleet f;

    quota_fleet_init(&f, 2, 1, 10, 10);
    for (int i = 0; i < 20; i++) {
        ck_assert_uint_eq(send_and_wait(&f, 0, FREE)->status, 200);
    }
    ck_assert_uint_eq(f.requests + f.returns, 0);
    ck_assert_uint_eq(f.encoded, 0);
    quota_fleet_free(&f);
}
END_TEST

/* 20 times the limit at all hosts, for 8 s; the others send as usual. */
START_TEST(a_hot_organisation_harms_nobody_else)
{
    quota_fleet f;
    unsigned calm[64][2];
    unsigned calm_count = 0;
    unsigned hot[4][1024];
    unsigned hot_count[4] = {0};
    unsigned refused = 0;
    uint64_t requests;

    quota_fleet_init(&f, 4, 1, 10, 10);
    f.delay_max = 2 * MS;
    quota_fleet_run(&f, 10 * SEC);
    requests = f.requests;
    for (unsigned t = 0; t < 8000; t += 5) {
        unsigned host = (unsigned)bbl_rng_below(&f.rng, 4);

        hot[host][hot_count[host]++] = quota_fleet_send(&f, host, HOT);
        if (t % 250 == 0) {
            calm[calm_count][0] = host;
            calm[calm_count++][1] = quota_fleet_send(&f, host, CALM);
        }
        quota_fleet_run(&f, 5 * MS);
    }
    requests = f.requests - requests;
    quota_fleet_run(&f, 1 * SEC);
    for (unsigned i = 0; i < calm_count; i++) {
        const forward_sim_call *c = get_answer(&f, calm[i][0], calm[i][1]);

        ck_assert_uint_eq(c->status, 200);
        ck_assert_uint_le(c->answered_at - c->sent_at, 30 * MS);
    }
    for (unsigned h = 0; h < 4; h++) {
        for (unsigned i = 0; i < hot_count[h]; i++) {
            const forward_sim_call *c = get_answer(&f, h, hot[h][i]);

            if (c->status != 200) {
                ck_assert_uint_eq(c->status, 429);
                ck_assert_uint_eq(c->reason, BBL_FORWARD_QUOTA);
                ck_assert_uint_gt(c->retry_after_ms, 0);
                /* One token of a grantor, the others that come back to it and
                 * to the host, and the spread. */
                ck_assert_uint_le(c->retry_after_ms,
                                  (500 + 500 + 500) * 9 / 8 + 1);
                ck_assert_uint_le(c->answered_at - c->sent_at,
                                  QUOTA_TARGET_MS * MS / 5);
                refused++;
            }
        }
    }
    /* The limit itself is served: 80 in 8 s and the burst of 10. */
    ck_assert_uint_ge(1600 - refused, 80);
    ck_assert_uint_le(quota_fleet_count_most(&f, HOT, 5 * SEC, 0),
                      (unsigned)((10 * 5 + 10) * 1.1 + 20));
    /* Hosts refuse without asking: 5 requests at most for each 50 ms and
     * host, far less than 5 for each refused request. */
    ck_assert_uint_le(requests, 4 * (8000 / 50) * 5 + 300);
    ck_assert_uint_ge(forward_sim_get_quota_reports(f.hosts[0]), 1);
    ck_assert_uint_le(forward_sim_get_quota_reports(f.hosts[0]), 2);
    quota_fleet_free(&f);
}
END_TEST

/* A refused request that can wait must not keep the urgent ones of the same
 * organisation from the grantors. */
START_TEST(a_refusal_does_not_hold_for_more_urgent_requests)
{
    quota_fleet f;
    uint64_t requests;
    unsigned urgent[64];
    unsigned count = 0;
    unsigned served = 0;

    quota_fleet_init(&f, 2, 1, 10, 10);
    quota_fleet_run(&f, 10 * SEC);
    ck_assert_uint_eq(use_up(&f, 0, HOT)->status, 429);
    requests = f.requests;
    ck_assert_uint_eq(send_and_wait(&f, 0, HOT)->status, 429);
    for (unsigned t = 0; t < 6000; t += 20) {
        unsigned host = (unsigned)bbl_rng_below(&f.rng, 2);

        quota_fleet_send(&f, host, HOT);
        if (t % 200 == 0) {
            urgent[count++] = quota_fleet_send_urgent(&f, 0);
        }
        quota_fleet_run(&f, 20 * MS);
    }
    ck_assert_uint_gt(f.requests, requests);
    quota_fleet_run(&f, 1 * SEC);
    for (unsigned i = 0; i < count; i++) {
        served += get_answer(&f, 0, urgent[i])->status == 200;
    }
    ck_assert_uint_ge(10 * served, 9 * count);
    ck_assert_uint_le(quota_fleet_count_most(&f, HOT, 5 * SEC, 0),
                      (unsigned)((10 * 5 + 10) * 1.1 + 20));
    quota_fleet_free(&f);
}
END_TEST

/* Returns a random time with the given mean, exponentially distributed. */
static double
next_gap(bbl_rng *rng, double mean)
{
    return -log(1 - bbl_rng_unit(rng)) * mean;
}

/*
 * A caller that keeps to its limit, by a token bucket of its own, with bursts,
 * behind a balancer that sends half of its requests to one host. Fewer than 1
 * in 1,000 may be refused.
 */
START_TEST(requests_within_the_limit_are_served)
{
    static const struct {
        double rate;
        double burst;
        double usage;
    } limits[] = {{0.5, 1, 1},   {2, 5, 0.7},   {2, 5, 0.9},
                  {5, 5, 0.9},   {5, 5, 1},     {20, 20, 0.7},
                  {20, 20, 0.9}, {20, 20, 1.3}, {3, 40, 0.9}};
    quota_fleet f;
    double rate = limits[_i].rate;
    double burst = limits[_i].burst;
    double tokens = burst;
    unsigned sent = 0;
    unsigned served = 0;

    quota_fleet_init(&f, 4, (uint64_t)_i, rate, burst);
    quota_fleet_run(&f, 30 * SEC);
    while (f.now < 430 * SEC && sent < 2000) {
        double gap = next_gap(&f.rng, 1 / (rate * limits[_i].usage));
        unsigned n = bbl_rng_below(&f.rng, 20) == 0
                         ? 1 + (unsigned)bbl_rng_below(&f.rng, (unsigned)burst)
                         : 1;

        quota_fleet_run(&f, (bbl_usec)(gap * SEC));
        tokens = fmin(tokens + rate * gap, burst);
        for (; n > 0 && tokens >= 1; n--) {
            unsigned at = (unsigned)bbl_rng_below(&f.rng, 10);

            quota_fleet_send(&f,
                             at < 5   ? 0
                             : at < 8 ? 1
                             : at < 9 ? 2
                                      : 3,
                             HOT);
            tokens -= 1;
            sent++;
        }
    }
    quota_fleet_run(&f, 200 * MS);
    for (unsigned h = 0; h < 4; h++) {
        const forward_sim_call *c;

        for (unsigned i = 0; (c = forward_sim_get_call(f.hosts[h], i))->used;
             i++) {
            served += c->status == 200;
        }
    }
    ck_assert_uint_ge(sent, 80);
    ck_assert_uint_le(1000 * (sent - served), sent);
    quota_fleet_free(&f);
}
END_TEST

/*
 * Sends requests of the limited organisation evenly from two hosts for 30 s.
 * Returns how many were refused.
 */
static unsigned
send_evenly(quota_fleet *f, double per_s, unsigned *sent)
{
    bbl_usec gap = (bbl_usec)((double)SEC / per_s);
    unsigned refused = 0;

    *sent = 0;
    for (bbl_usec end = f->now + 30 * SEC; f->now < end; (*sent)++) {
        quota_fleet_send(f, *sent % 2, HOT);
        quota_fleet_run(f, gap);
    }
    quota_fleet_run(f, 200 * MS);
    for (unsigned h = 0; h < 2; h++) {
        const forward_sim_call *c;

        for (unsigned i = 0; (c = forward_sim_get_call(f->hosts[h], i))->used;
             i++) {
            refused += c->status == 429;
        }
    }
    return refused;
}

/*
 * An organisation sends 4.8 requests a second with a limit of 3 and a burst of
 * 3. The bound of its operator lets 39 run in 5 s, and it sends 24: with a
 * tolerance none of them is refused, without one those over the limit are.
 */
START_TEST(a_tolerance_grants_what_the_bound_allows)
{
    quota_fleet f;
    unsigned sent;
    unsigned refused;

    quota_fleet_init(&f, 2, 1, 3, 3);
    quota_fleet_set_tolerance(&f, _i);
    quota_fleet_run(&f, 30 * SEC);
    refused = send_evenly(&f, 4.8, &sent);
    if (_i == 1) {
        ck_assert_uint_eq(refused, 0);
    }
    else {
        ck_assert_uint_gt(refused, sent / 5);
    }
    quota_fleet_free(&f);
}
END_TEST

/* The same organisation sends 20 times its limit: the bound holds. */
START_TEST(a_tolerance_keeps_the_bound)
{
    quota_fleet f;
    unsigned sent;

    quota_fleet_init(&f, 2, 1, 3, 3);
    quota_fleet_set_tolerance(&f, 1);
    quota_fleet_run(&f, 30 * SEC);
    ck_assert_uint_gt(send_evenly(&f, 60, &sent), sent / 2);
    ck_assert_uint_le(quota_fleet_count_most(&f, HOT, 5 * SEC, 0),
                      (3 * 5 + 3) * 1.1 + 20);
    quota_fleet_free(&f);
}
END_TEST

START_TEST(the_retry_time_is_true)
{
    quota_fleet f;
    const forward_sim_call *c;

    quota_fleet_init(&f, 2, 3, 4, 4);
    quota_fleet_run(&f, 10 * SEC);
    c = use_up(&f, 0, HOT);
    ck_assert_uint_eq(c->status, 429);
    quota_fleet_run(&f, c->retry_after_ms * MS);
    ck_assert_uint_eq(send_and_wait(&f, 0, HOT)->status, 200);
    /* And not much too late: one token in 250 ms, and the spread. */
    ck_assert_uint_le(c->retry_after_ms, 1500);
    quota_fleet_free(&f);
}
END_TEST

/* Position 0 is in the data centre of host 0, which asks it first. */
START_TEST(a_silent_grantor_costs_one_timeout)
{
    quota_fleet f;
    const forward_sim_call *c;

    quota_fleet_init(&f, 1, 1, 20, 20);
    quota_fleet_run(&f, 10 * SEC);
    f.grantor_frozen_until[0] = UINT64_MAX;
    c = send_and_wait(&f, 0, HOT);
    ck_assert_uint_eq(c->status, 200);
    ck_assert_uint_le(c->answered_at - c->sent_at, (20 + 10 + 4) * MS);
    /* The next ones do not ask it. */
    for (int i = 0; i < 5; i++) {
        c = send_and_wait(&f, 0, HOT);
        ck_assert_uint_eq(c->status, 200);
        ck_assert_uint_le(c->answered_at - c->sent_at, 14 * MS);
    }
    /* After a second one query asks it again; others are not held up. */
    quota_fleet_run(&f, 1 * SEC);
    quota_fleet_send(&f, 0, HOT);
    quota_fleet_run(&f, 1 * MS);
    c = send_and_wait(&f, 0, HOT);
    ck_assert_uint_le(c->answered_at - c->sent_at, 14 * MS);
    quota_fleet_free(&f);
}
END_TEST

/* A query is not held until its deadline, and has not run. */
START_TEST(without_grantors_a_query_is_refused_as_not_run)
{
    quota_fleet f;
    const forward_sim_call *c;

    quota_fleet_init(&f, 1, 1, 20, 20);
    for (int i = 0; i < QUOTA_GRANTORS; i++) {
        f.cut[0][i] = true;
    }
    c = send_and_wait(&f, 0, HOT);
    ck_assert_uint_eq(c->status, 503);
    ck_assert_uint_eq(c->reason, BBL_FORWARD_UNADMITTED);
    ck_assert_uint_eq(c->runs, 0);
    ck_assert_uint_gt(c->retry_after_ms, 0);
    ck_assert_uint_le(c->answered_at - c->sent_at,
                      QUOTA_TARGET_MS * MS / 5 + 1 * MS);
    ck_assert_uint_eq(send_and_wait(&f, 0, FREE)->status, 200);
    quota_fleet_free(&f);
}
END_TEST

/* A request that did not run must not count against the limit. */
START_TEST(tokens_of_requests_that_did_not_run_are_returned)
{
    quota_fleet f;
    const forward_sim_call *c;
    unsigned n;
    uint64_t given = 0;
    uint64_t returned = 0;

    quota_fleet_init(&f, 1, 1, 1, 5);
    quota_fleet_run(&f, 30 * SEC);
    /* The server refuses it. */
    forward_sim_get_server(f.hosts[0], HOT)->mode = SERVER_SHEDS;
    for (int i = 0; i < 40; i++) {
        c = send_and_wait(&f, 0, HOT);
        ck_assert_uint_eq(c->status, 503);
        quota_fleet_run(&f, 50 * MS);
    }
    /* The caller leaves while the host asks. */
    forward_sim_get_server(f.hosts[0], HOT)->mode = SERVER_OK;
    for (int i = 0; i < 40; i++) {
        n = quota_fleet_send(&f, 0, HOT);
        forward_sim_cancel_request(f.hosts[0], n);
        quota_fleet_run(&f, 20 * MS);
    }
    for (int i = 0; i < QUOTA_GRANTORS; i++) {
        given += f.grantors[i].granted;
        returned += f.grantors[i].returned;
    }
    ck_assert_uint_eq(given, 80);
    ck_assert_uint_eq(returned, 80);
    ck_assert_uint_eq(send_and_wait(&f, 0, HOT)->status, 200);
    quota_fleet_free(&f);
}
END_TEST

/* Retries and hedges of an admitted request take no second token. */
START_TEST(a_request_takes_one_token)
{
    quota_fleet f;
    uint64_t given = 0;

    quota_fleet_init(&f, 1, 1, 10, 10);
    f.doubled_per_100 = 100;
    quota_fleet_run(&f, 10 * SEC);
    ck_assert_uint_eq(send_and_wait(&f, 0, HOT)->status, 200);
    for (int i = 0; i < QUOTA_GRANTORS; i++) {
        given += f.grantors[i].granted - f.grantors[i].returned;
    }
    ck_assert_uint_eq(given, 1);
    quota_fleet_free(&f);
}
END_TEST

/* A host that was frozen finds a token in its queue that is too old. */
START_TEST(a_frozen_host_uses_no_old_token)
{
    quota_fleet f;
    unsigned n;

    quota_fleet_init(&f, 1, 1, 10, 10);
    f.delay_max = 0;
    quota_fleet_run(&f, 10 * SEC);
    n = quota_fleet_send(&f, 0, HOT);
    f.host_frozen_until[0] = f.now + 400 * MS;
    quota_fleet_run(&f, 500 * MS);
    ck_assert_uint_eq(f.returns, 1);
    ck_assert(get_answer(&f, 0, n)->answered);
    quota_fleet_free(&f);
}
END_TEST

/* ---- delegation ---- */

typedef struct {
    bbl_delegation *open;
    bbl_delegated delegated;
    bool refuses; /* has no connection left */
    bool cancelled;
} peer;

static int
on_delegate(void *ctx, forward_sim *sim, bbl_delegation *d,
            const bbl_delegation_request *r)
{
    peer *p = ctx;

    (void)sim;
    p->open = d;
    p->delegated = r->delegated;
    return p->refuses ? -1 : 0;
}

static bool
on_is_sent(void *ctx, const bbl_delegation *d)
{
    (void)ctx;
    (void)d;
    return true;
}

static void
on_cancel(void *ctx, bbl_delegation *d)
{
    (void)d;
    ((peer *)ctx)->cancelled = true;
}

/* Connects host 0 to host 1, which the test plays the network to. */
static void
connect_peers(quota_fleet *f, peer *p)
{
    static const uint32_t host = 7;
    forward_sim_peers peers = {on_delegate, on_is_sent, on_cancel, p};

    memset(p, 0, sizeof(*p));
    forward_sim_set_peers(f->hosts[0], &peers, &host, 1);
    for (int i = 0; i < QUOTA_GRANTORS; i++) {
        f->cut[0][i] = true;
    }
}

START_TEST(a_host_without_grantors_lets_another_one_ask)
{
    quota_fleet f;
    peer p;
    unsigned n;
    unsigned there;
    uint64_t given = 0;

    quota_fleet_init(&f, 2, 1, 10, 10);
    connect_peers(&f, &p);
    quota_fleet_run(&f, 10 * SEC);
    n = quota_fleet_send(&f, 0, HOT);
    quota_fleet_run(&f, 45 * MS);
    ck_assert_ptr_nonnull(p.open);
    ck_assert(!p.delegated.admitted);
    p.delegated.host = 6;
    there = forward_sim_send_delegated(f.hosts[1], "/hot/", 900, &p.delegated);
    quota_fleet_run(&f, 30 * MS);
    ck_assert_uint_eq(get_answer(&f, 1, there)->status, 200);
    forward_sim_complete_delegation(f.hosts[0], p.open,
                                    forward_sim_get_call(f.hosts[1], there),
                                    BBL_REACH_MOST, BBL_ATTEMPT_RESPONSE);
    ck_assert_uint_eq(get_answer(&f, 0, n)->status, 200);
    for (int i = 0; i < QUOTA_GRANTORS; i++) {
        given += f.grantors[i].granted - f.grantors[i].returned;
    }
    ck_assert_uint_eq(given, 1);
    /* The refusal of the other host is final as well. */
    p.open = NULL;
    use_up(&f, 1, HOT);
    n = quota_fleet_send(&f, 0, HOT);
    quota_fleet_run(&f, 45 * MS);
    ck_assert_ptr_nonnull(p.open);
    p.delegated.host = 6;
    there = forward_sim_send_delegated(f.hosts[1], "/hot/", 900, &p.delegated);
    quota_fleet_run(&f, 30 * MS);
    ck_assert_uint_eq(get_answer(&f, 1, there)->status, 429);
    forward_sim_complete_delegation(f.hosts[0], p.open,
                                    forward_sim_get_call(f.hosts[1], there),
                                    BBL_REACH_MOST, BBL_ATTEMPT_RESPONSE);
    ck_assert_uint_eq(get_answer(&f, 0, n)->status, 429);
    quota_fleet_free(&f);
}
END_TEST

/* A refusal would state that it has not run, and callers would repeat what the
 * other host has done. */
START_TEST(a_query_whose_delegation_broke_is_not_refused_as_not_run)
{
    quota_fleet f;
    /* It gave up after an attempt that may have run. */
    forward_sim_call gave_up = {
        .status = 502, .reason = BBL_FORWARD_BROKEN, .attempts_maybe_run = 1};
    peer p;
    unsigned n;

    quota_fleet_init(&f, 2, 1, 10, 10);
    connect_peers(&f, &p);
    quota_fleet_run(&f, 10 * SEC);
    n = quota_fleet_send(&f, 0, HOT);
    quota_fleet_run(&f, 45 * MS);
    ck_assert_ptr_nonnull(p.open);
    forward_sim_complete_delegation(f.hosts[0], p.open, NULL, BBL_REACH_MOST,
                                    BBL_ATTEMPT_BROKEN);
    quota_fleet_run(&f, 100 * MS);
    ck_assert_uint_eq(get_answer(&f, 0, n)->status, 502);
    p.open = NULL;
    quota_fleet_run(&f, 10 * SEC); /* the peer is avoided for some time */
    n = quota_fleet_send(&f, 0, HOT);
    quota_fleet_run(&f, 45 * MS);
    ck_assert_ptr_nonnull(p.open);
    forward_sim_complete_delegation(f.hosts[0], p.open, &gave_up,
                                    BBL_REACH_NONE, BBL_ATTEMPT_RESPONSE);
    quota_fleet_run(&f, 100 * MS);
    ck_assert_uint_eq(get_answer(&f, 0, n)->status, 502);
    quota_fleet_free(&f);
}
END_TEST

/* Two hosts that both have no grantors must not hold the query. */
START_TEST(a_query_that_no_host_can_admit_is_refused_as_not_run)
{
    quota_fleet f;
    peer p;
    forward_sim_call refused = {.status = 503,
                                .reason = BBL_FORWARD_UNADMITTED};
    unsigned n;

    quota_fleet_init(&f, 2, 1, 10, 10);
    connect_peers(&f, &p);
    quota_fleet_run(&f, 10 * SEC);
    n = quota_fleet_send(&f, 0, HOT);
    quota_fleet_run(&f, 45 * MS);
    ck_assert_ptr_nonnull(p.open);
    forward_sim_complete_delegation(f.hosts[0], p.open, &refused,
                                    BBL_REACH_MOST, BBL_ATTEMPT_RESPONSE);
    quota_fleet_run(&f, 21 * MS);
    ck_assert_uint_eq(get_answer(&f, 0, n)->status, 503);
    quota_fleet_free(&f);
}
END_TEST

/* The grantor that is left must not be given up for a host that is not. */
START_TEST(without_another_host_all_grantors_are_asked)
{
    quota_fleet f;
    peer p;

    quota_fleet_init(&f, 1, 1, 10, 10);
    connect_peers(&f, &p);
    p.refuses = true;
    f.cut[0][3] = false;
    f.cut[0][4] = false;
    quota_fleet_run(&f, 10 * SEC);
    /* Three in a row may be cut off, and a fifth of the target is enough for
     * as many; later queries find the rest. */
    send_and_wait(&f, 0, HOT);
    for (int i = 0; i < 4; i++) {
        ck_assert_uint_eq(send_and_wait(&f, 0, HOT)->status, 200);
    }
    quota_fleet_free(&f);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("quota");
    TCase *tc = tcase_create("quota");

    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, without_a_limit_no_message_is_sent);
    tcase_add_test(tc, a_hot_organisation_harms_nobody_else);
    tcase_add_test(tc, a_refusal_does_not_hold_for_more_urgent_requests);
    tcase_add_loop_test(tc, requests_within_the_limit_are_served, 0, 9);
    tcase_add_loop_test(tc, a_tolerance_grants_what_the_bound_allows, 0, 2);
    tcase_add_test(tc, a_tolerance_keeps_the_bound);
    tcase_add_test(tc, the_retry_time_is_true);
    tcase_add_test(tc, a_silent_grantor_costs_one_timeout);
    tcase_add_test(tc, without_grantors_a_query_is_refused_as_not_run);
    tcase_add_test(tc, tokens_of_requests_that_did_not_run_are_returned);
    tcase_add_test(tc, a_request_takes_one_token);
    tcase_add_test(tc, a_frozen_host_uses_no_old_token);
    tcase_add_test(tc, a_host_without_grantors_lets_another_one_ask);
    tcase_add_test(tc,
                   a_query_whose_delegation_broke_is_not_refused_as_not_run);
    tcase_add_test(tc, without_another_host_all_grantors_are_asked);
    tcase_add_test(tc, a_query_that_no_host_can_admit_is_refused_as_not_run);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
