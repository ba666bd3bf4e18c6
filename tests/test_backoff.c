/*
 * Servers ask a host to send them nothing for some time, or say that they are
 * leaving, and get its requests all the same.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "support/forward_sim.h"
#include "support/run.h"

#define MS BBL_USEC_PER_MS
#define SECOND BBL_USEC_PER_SEC
#define SHARDS 4
/* Time in which requests that are under way may still reach a server. */
#define UNDER_WAY_US (500 * MS)

static const char routing[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"o\",\"hostname\":\"a.example\",\"path_prefix\":\"/one/\","
    "\"route_type\":\"safe\",\"timeout_ms\":800,\"target_latency_ms\":200,"
    "\"priority\":1,\"service\":\"s0\",\"max_attempts\":2},"
    "{\"name\":\"g\",\"hostname\":\"a.example\",\"path_prefix\":\"/g/\","
    "\"route_type\":\"safe\",\"timeout_ms\":800,\"target_latency_ms\":120,"
    "\"priority\":1,\"gather\":[\"s0\",\"s1\",\"s2\",\"s3\"],"
    "\"max_attempts\":2,\"top_k\":5,\"min_coverage\":0.75},"
    "{\"name\":\"w\",\"hostname\":\"a.example\",\"path_prefix\":\"/whole/\","
    "\"route_type\":\"safe\",\"timeout_ms\":800,\"target_latency_ms\":120,"
    "\"priority\":1,\"gather\":[\"s0\",\"s1\",\"s2\",\"s3\"],"
    "\"max_attempts\":2,\"top_k\":5,\"min_coverage\":1.0}],"
    "\"services\":[{\"name\":\"s0\",\"max_connections\":26},"
    "{\"name\":\"s1\",\"max_connections\":26},"
    "{\"name\":\"s2\",\"max_connections\":26},"
    "{\"name\":\"s3\",\"max_connections\":26}]}";

typedef struct {
    forward_sim *sim;
    forward_sim_server *shard[SHARDS][2];
} fixture;

/* Sends a request each 10 ms, and lets the host read the list each second. */
static void
send_for(fixture *f, const char *path, bbl_usec time)
{
    for (bbl_usec spent = 0; spent < time; spent += 10 * MS) {
        forward_sim_send_request(f->sim, path, 800);
        forward_sim_run(f->sim, 10 * MS);
        if (spent % SECOND == 0) {
            forward_sim_update_list(f->sim, NULL);
        }
    }
}

static void
init_fixture(fixture *f)
{
    f->sim = forward_sim_new(1);
    for (unsigned s = 0; s < SHARDS; s++) {
        for (unsigned k = 0; k < 2; k++) {
            char id[16];
            char service[16];

            snprintf(id, sizeof(id), "i%u%u", s, k);
            snprintf(service, sizeof(service), "s%u", s);
            f->shard[s][k] =
                forward_sim_add_server(f->sim, id, service, k ? "z2" : "z1");
        }
    }
    forward_sim_install_routing(f->sim, routing);
    send_for(f, "/g/1", 500 * MS);
}

/* Makes a server turn requests away and ask for `retry_after` seconds. */
static void
turn_away(forward_sim_server *s, const char *retry_after)
{
    s->mode = SERVER_SHEDS;
    s->retry_after = retry_after;
}

START_TEST(a_server_gets_no_request_in_the_time_that_it_asked_for)
{
    static const char *const paths[] = {"/one/1", "/g/1"};
    fixture f;
    unsigned before;

    init_fixture(&f);
    f.shard[0][1]->work = 40 * MS; /* the other one is the worse choice */
    turn_away(f.shard[0][0], "3");
    send_for(&f, paths[_i], UNDER_WAY_US);
    before = f.shard[0][0]->arrivals;
    send_for(&f, paths[_i], 2400 * MS);
    ck_assert_uint_eq(f.shard[0][0]->arrivals, before);
    send_for(&f, paths[_i], SECOND);
    ck_assert_uint_gt(f.shard[0][0]->arrivals, before);
    forward_sim_free(f.sim);
}
END_TEST

/* The other server pauses, so that hedges and retries look for another one. */
START_TEST(hedges_and_retries_keep_the_time)
{
    fixture f;
    unsigned before;

    init_fixture(&f);
    turn_away(f.shard[0][0], "3.5");
    send_for(&f, "/g/1", UNDER_WAY_US);
    before = f.shard[0][0]->arrivals;
    for (unsigned i = 0; i < 4; i++) {
        f.shard[0][1]->paused_until = forward_sim_get_time(f.sim) + 150 * MS;
        send_for(&f, "/g/1", 300 * MS);
        f.shard[0][1]->mode = SERVER_FAILS;
        send_for(&f, "/g/1", 100 * MS);
        f.shard[0][1]->mode = SERVER_OK;
    }
    ck_assert_uint_eq(f.shard[0][0]->arrivals, before);
    forward_sim_free(f.sim);
}
END_TEST

START_TEST(a_server_that_rested_is_no_worse_than_before)
{
    fixture f;
    unsigned before;

    init_fixture(&f);
    turn_away(f.shard[0][0], "1");
    send_for(&f, "/g/1", 900 * MS);
    f.shard[0][0]->mode = SERVER_OK;
    send_for(&f, "/g/1", 200 * MS);
    before = f.shard[0][0]->arrivals;
    send_for(&f, "/g/1", SECOND);
    /* It is in the data centre of the host, so it gets most requests. */
    ck_assert_uint_ge(f.shard[0][0]->arrivals - before, 80);
    forward_sim_free(f.sim);
}
END_TEST

START_TEST(callers_are_told_when_the_first_server_returns)
{
    fixture f;
    const forward_sim_call *c;
    unsigned n;
    unsigned before;

    init_fixture(&f);
    turn_away(f.shard[0][0], "2");
    turn_away(f.shard[0][1], "5");
    send_for(&f, "/whole/1", 100 * MS);
    before = f.shard[1][0]->arrivals + f.shard[1][1]->arrivals;
    n = forward_sim_send_request(f.sim, "/whole/1", 800);
    c = forward_sim_get_call(f.sim, n);
    ck_assert(c->answered); /* at once */
    ck_assert_uint_eq(c->status, 503);
    ck_assert_uint_ge(c->retry_after_ms, 1850);
    ck_assert_uint_le(c->retry_after_ms, 2600);
    /* Nothing has run for it. */
    ck_assert_uint_eq(f.shard[1][0]->arrivals + f.shard[1][1]->arrivals,
                      before);
    /* A query that may do without the shard is served without it. */
    n = forward_sim_send_request(f.sim, "/g/1", 800);
    forward_sim_run(f.sim, 100 * MS);
    c = forward_sim_get_call(f.sim, n);
    ck_assert_uint_eq(c->status, 200);
    ck_assert_uint_eq(c->missing, 1);
    forward_sim_free(f.sim);
}
END_TEST

/* A later answer with a shorter time was sent before the longer one. */
START_TEST(a_shorter_time_does_not_end_a_longer_one)
{
    bbl_backoff b = {0, 0, false};
    unsigned sent = 9;

    ck_assert(bbl_backoff_begin(&b, SECOND, 3000, &sent));
    ck_assert_uint_eq(sent, 0);
    ck_assert(!bbl_backoff_begin(&b, SECOND + MS, 100, &sent));
    ck_assert(bbl_backoff_is_active(&b, 4 * SECOND - 1));
    ck_assert(!bbl_backoff_is_active(&b, 4 * SECOND));
    /* It is renewed, and the next one is a new one. */
    ck_assert(!bbl_backoff_begin(&b, 3 * SECOND, 2000, &sent));
    ck_assert(bbl_backoff_is_active(&b, 5 * SECOND - 1));
    ck_assert(bbl_backoff_begin(&b, 6 * SECOND, 1000, &sent));
    ck_assert(!bbl_backoff_begin(&b, 9 * SECOND, 0, &sent));
}
END_TEST

/* The list, which lags, does not say yet that the server is leaving. */
START_TEST(a_server_that_says_it_is_leaving_gets_nothing_more)
{
    fixture f;
    unsigned before;

    init_fixture(&f);
    f.shard[0][0]->states_leaving = true;
    send_for(&f, "/g/1", UNDER_WAY_US);
    before = f.shard[0][0]->arrivals;
    send_for(&f, "/g/1", 5 * SECOND);
    ck_assert_uint_eq(f.shard[0][0]->arrivals, before);
    forward_sim_free(f.sim);
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("backoff");
    TCase *t = tcase_create("backoff");

    tcase_add_loop_test(
        t, a_server_gets_no_request_in_the_time_that_it_asked_for, 0, 2);
    tcase_add_test(t, hedges_and_retries_keep_the_time);
    tcase_add_test(t, a_server_that_rested_is_no_worse_than_before);
    tcase_add_test(t, callers_are_told_when_the_first_server_returns);
    tcase_add_test(t, a_shorter_time_does_not_end_a_longer_one);
    tcase_add_test(t, a_server_that_says_it_is_leaving_gets_nothing_more);
    suite_add_tcase(s, t);
    return run_suite(s);
}
