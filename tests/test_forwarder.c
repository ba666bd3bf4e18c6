/* The forwarder against servers that fail in every way that is known. */
#include <stdio.h>
#include <string.h>

#include "support/forward_sim.h"
#include "support/run.h"

#define MS BBL_USEC_PER_MS
#define SEC BBL_USEC_PER_SEC

/*
 * Four shards s1 to s4 of two servers each behind /g/ (all shards, three at
 * least) and /a/ (half of them); the service one behind /one/ and, for what
 * may not be repeated, /once/.
 */
#define SHARDS "[\"s1\",\"s2\",\"s3\",\"s4\"]"
#define GATHER(name, prefix, least)                                           \
    "{\"name\":\"" name                                                       \
    "\",\"hostname\":\"a.example\",\"path_prefix\":\"" prefix                 \
    "\",\"route_type\":\"safe\",\"timeout_ms\":800,"                          \
    "\"target_latency_ms\":120,\"priority\":1,\"gather\":" SHARDS             \
    ",\"max_attempts\":2,\"top_k\":5,\"min_coverage\":" least "}"
#define SINGLE(name, prefix, kind)                                            \
    "{\"name\":\"" name                                                       \
    "\",\"hostname\":\"a.example\",\"path_prefix\":\"" prefix                 \
    "\",\"route_type\":\"" kind "\",\"timeout_ms\":1000,"                     \
    "\"target_latency_ms\":200,\"priority\":2,\"service\":\"one\","           \
    "\"max_attempts\":2}"
#define SERVICE(name) "{\"name\":\"" name "\",\"max_connections\":26}"

static const char document[] =
    "{\"version\":1,\"routes\":[" GATHER("g", "/g/", "0.75") "," GATHER("a", "/a/", "0.5") "," SINGLE(
        "o", "/one/",
        "safe") "," SINGLE("u", "/once/",
                           "unsafe") "],"
                                     "\"service"
                                     "s\":"
                                     "[" SERVICE("s1") "," SERVICE("s2") "," SERVICE(
                                         "s3") "," SERVICE("s4") "," SERVICE("one") "]}";

typedef struct {
    forward_sim *w;
    forward_sim_server *shard[4][2];
    forward_sim_server *one[2];
} fixture;

static void
open_fixture(fixture *f)
{
    char id[16];
    char service[16];

    f->w = forward_sim_new(7);
    for (int s = 0; s < 4; s++) {
        for (int k = 0; k < 2; k++) {
            snprintf(id, sizeof(id), "i%d%d", s + 1, k);
            snprintf(service, sizeof(service), "s%d", s + 1);
            f->shard[s][k] =
                forward_sim_add_server(f->w, id, service, k ? "z2" : "z1");
        }
    }
    f->one[0] = forward_sim_add_server(f->w, "o0", "one", "z1");
    f->one[1] = forward_sim_add_server(f->w, "o1", "one", "z2");
    forward_sim_install_routing(f->w, document);
    /* Let the forwarder learn how long the work takes. */
    for (int i = 0; i < 40; i++) {
        forward_sim_send_request(f->w, "/g/1", 800);
        forward_sim_send_request(f->w, "/one/1", 800);
        forward_sim_run(f->w, 20 * MS);
    }
}

static void
close_fixture(fixture *f)
{
    forward_sim_free(f->w);
}

/* Sends one request, waits for its end and returns it. */
static const forward_sim_call *
ask(fixture *f, const char *path)
{
    unsigned n = forward_sim_send_request(f->w, path, 0);

    forward_sim_run(f->w, 1200 * MS);
    ck_assert(forward_sim_get_call(f->w, n)->answered);
    return forward_sim_get_call(f->w, n);
}

START_TEST(all_shards_answer)
{
    fixture f;
    const forward_sim_call *c;

    open_fixture(&f);
    c = ask(&f, "/g/1");
    ck_assert_uint_eq(c->status, 200);
    ck_assert_uint_eq(c->parts, 4);
    ck_assert_uint_eq(c->missing, 0);
    ck_assert_uint_eq(c->runs, 4);
    ck_assert_uint_eq(ask(&f, "/none/")->status, 404);
    close_fixture(&f);
}
END_TEST

START_TEST(without_a_routing_nothing_is_not_found)
{
    forward_sim *w = forward_sim_new(7);
    unsigned n = forward_sim_send_request(w, "/g/1", 800);

    ck_assert_uint_eq(forward_sim_get_call(w, n)->status, 503);
    ck_assert_uint_gt(forward_sim_get_call(w, n)->retry_after_ms, 0);
    forward_sim_free(w);
}
END_TEST

START_TEST(a_pause_costs_one_hedge_and_no_target)
{
    fixture f;
    unsigned n;
    bbl_usec at;

    open_fixture(&f);
    f.shard[0][0]->paused_until = forward_sim_get_time(f.w) + 150 * MS;
    f.shard[0][1]->paused_until = 0;
    at = forward_sim_get_time(f.w);
    n = forward_sim_send_request(f.w, "/g/1", 800);
    forward_sim_run(f.w, 100 * MS);
    ck_assert_uint_eq(forward_sim_get_call(f.w, n)->parts, 4);
    ck_assert_uint_le(forward_sim_get_call(f.w, n)->answered_at - at, 60 * MS);
    close_fixture(&f);
}
END_TEST

START_TEST(a_missing_shard_is_told_before_the_target)
{
    fixture f;
    const forward_sim_call *c;
    bbl_usec at;

    open_fixture(&f);
    f.shard[2][0]->mode = SERVER_SILENT;
    f.shard[2][1]->mode = SERVER_SILENT;
    at = forward_sim_get_time(f.w);
    c = ask(&f, "/g/1");
    ck_assert_uint_eq(c->status, 200);
    ck_assert_uint_eq(c->parts, 3);
    ck_assert_uint_eq(c->missing, 1);
    ck_assert_uint_le(c->answered_at - at, 115 * MS);
    close_fixture(&f);
}
END_TEST

START_TEST(too_few_shards_are_no_success)
{
    fixture f;
    const forward_sim_call *c;

    open_fixture(&f);
    for (int s = 0; s < 2; s++) {
        f.shard[s][0]->mode = SERVER_SILENT;
        f.shard[s][1]->mode = SERVER_SILENT;
    }
    c = ask(&f, "/g/1");
    ck_assert_uint_eq(c->status, 504);
    c = ask(&f, "/a/1");
    ck_assert_uint_eq(c->status, 200);
    ck_assert_uint_eq(c->missing, 2);
    close_fixture(&f);
}
END_TEST

START_TEST(what_cannot_succeed_is_refused_at_once)
{
    fixture f;
    unsigned n;

    open_fixture(&f);
    for (int s = 0; s < 2; s++) {
        f.shard[s][0]->leaving = true;
        f.shard[s][1]->cold_ms = 3000;
    }
    forward_sim_update_list(f.w, NULL);
    n = forward_sim_send_request(f.w, "/g/1", 800);
    ck_assert(forward_sim_get_call(f.w, n)->answered);
    ck_assert_uint_eq(forward_sim_get_call(f.w, n)->status, 503);
    ck_assert_uint_gt(forward_sim_get_call(f.w, n)->retry_after_ms, 0);
    ck_assert_uint_eq(forward_sim_get_call(f.w, n)->runs, 0);
    close_fixture(&f);
}
END_TEST

/* Each way to fail, and what a request that may be repeated makes of it. */
static const server_mode failing[] = {
    SERVER_SHEDS,   SERVER_FAILS,    SERVER_BREAKS,
    SERVER_REFUSES, SERVER_REPLACED, SERVER_UNSIGNED,
};

START_TEST(the_other_server_makes_up_for_a_failing_one)
{
    fixture f;
    const forward_sim_call *c;

    open_fixture(&f);
    f.shard[0][0]->mode = failing[_i];
    f.one[0]->mode = failing[_i];
    for (int i = 0; i < 5; i++) {
        c = ask(&f, "/g/1");
        ck_assert_uint_eq(c->status, 200);
        ck_assert_uint_eq(c->parts, 4);
        ck_assert_uint_eq(ask(&f, "/one/1")->status, 200);
    }
    close_fixture(&f);
}
END_TEST

START_TEST(what_may_not_be_repeated_runs_once)
{
    fixture f;
    const forward_sim_call *c;

    open_fixture(&f);
    f.one[0]->mode = failing[_i];
    f.one[1]->mode = failing[_i];
    c = ask(&f, "/once/1");
    ck_assert_uint_le(c->runs, 1);
    ck_assert(c->runs == 0 || c->status != 503);
    if (failing[_i] == SERVER_FAILS) {
        ck_assert_uint_eq(c->status, 500);
    }
    f.one[1]->mode = SERVER_OK;
    for (int i = 0; i < 3; i++) {
        c = ask(&f, "/once/1");
        ck_assert_uint_le(c->runs, 1);
    }
    close_fixture(&f);
}
END_TEST

START_TEST(a_refusal_unrun_is_tried_elsewhere)
{
    fixture f;

    open_fixture(&f);
    f.one[0]->mode = SERVER_SHEDS;
    for (int i = 0; i < 5; i++) {
        ck_assert_uint_eq(ask(&f, "/once/1")->status, 200);
    }
    close_fixture(&f);
}
END_TEST

START_TEST(a_silent_server_is_not_hedged_by_what_runs_once)
{
    fixture f;
    const forward_sim_call *c;

    open_fixture(&f);
    f.one[0]->mode = SERVER_SILENT;
    f.one[1]->mode = SERVER_SILENT;
    c = ask(&f, "/once/1");
    ck_assert_uint_eq(c->status, 504);
    ck_assert_uint_eq(c->runs, 1);
    close_fixture(&f);
}
END_TEST

START_TEST(work_stops_when_its_caller_has_gone)
{
    fixture f;
    unsigned n;

    open_fixture(&f);
    f.one[0]->work = 900 * MS;
    f.one[1]->work = 900 * MS;
    n = forward_sim_send_request(f.w, "/one/1", 1000);
    forward_sim_run(f.w, 20 * MS);
    ck_assert_uint_gt(forward_sim_count_in_flight(f.w), 0);
    forward_sim_cancel_request(f.w, n);
    forward_sim_run(f.w, 300 * MS);
    ck_assert_uint_eq(forward_sim_count_in_flight(f.w), 0);
    close_fixture(&f);
}
END_TEST

START_TEST(an_evacuated_data_centre_gets_nothing)
{
    fixture f;
    unsigned before;

    open_fixture(&f);
    forward_sim_update_list(f.w, "z2");
    before = f.one[1]->arrivals;
    for (int i = 0; i < 20; i++) {
        ck_assert_uint_eq(ask(&f, "/one/1")->status, 200);
        ck_assert_uint_eq(ask(&f, "/g/1")->status, 200);
    }
    ck_assert_uint_eq(f.one[1]->arrivals, before);
    /* Back in service it may be cold: only a newer list clears it. */
    forward_sim_update_list(f.w, NULL);
    forward_sim_send_request(f.w, "/one/1", 500);
    forward_sim_run(f.w, 100 * MS);
    ck_assert_uint_eq(f.one[1]->arrivals, before);
    close_fixture(&f);
}
END_TEST

START_TEST(a_silent_server_is_out_of_use_until_it_is_reached_again)
{
    fixture f;
    unsigned before;

    open_fixture(&f);
    f.shard[0][0]->mode = SERVER_SILENT;
    for (int i = 0; i < 40; i++) {
        forward_sim_send_request(f.w, "/g/1", 800);
        forward_sim_run(f.w, 50 * MS);
    }
    before = f.shard[0][0]->arrivals;
    for (int i = 0; i < 40; i++) {
        forward_sim_send_request(f.w, "/g/1", 800);
        forward_sim_run(f.w, 50 * MS);
    }
    ck_assert_uint_eq(f.shard[0][0]->arrivals, before);
    close_fixture(&f);
}
END_TEST

START_TEST(a_slow_server_that_can_be_reached_stays_in_use)
{
    fixture f;
    unsigned before;

    open_fixture(&f);
    /* Both take so long that they look dead. */
    f.one[0]->work = 700 * MS;
    f.one[1]->work = 700 * MS;
    forward_sim_send_request(f.w, "/once/1", 1000);
    forward_sim_send_request(f.w, "/once/1", 1000);
    forward_sim_run(f.w, 500 * MS);
    forward_sim_record_connect(f.w, f.one[0], true);
    forward_sim_record_connect(f.w, f.one[1], true);
    before = f.one[0]->arrivals + f.one[1]->arrivals;
    ck_assert_uint_eq(ask(&f, "/once/1")->status, 200);
    ck_assert_uint_eq(f.one[0]->arrivals + f.one[1]->arrivals, before + 1);
    close_fixture(&f);
}
END_TEST

START_TEST(a_server_that_could_not_be_reached_may_be_cold)
{
    fixture f;
    unsigned before;

    open_fixture(&f);
    forward_sim_record_connect(f.w, f.one[0], false);
    forward_sim_record_connect(f.w, f.one[0], true);
    before = f.one[0]->arrivals;
    for (int i = 0; i < 5; i++) {
        forward_sim_send_request(f.w, "/one/1", 500);
        forward_sim_run(f.w, 100 * MS);
    }
    ck_assert_uint_eq(f.one[0]->arrivals, before);
    /* A list that was read its lag later shows that it is warm. */
    forward_sim_run(f.w, 900 * MS);
    forward_sim_update_list(f.w, NULL);
    for (int i = 0; i < 5; i++) {
        forward_sim_send_request(f.w, "/one/1", 500);
        forward_sim_run(f.w, 100 * MS);
    }
    ck_assert_uint_gt(f.one[0]->arrivals, before);
    close_fixture(&f);
}
END_TEST

/* The same routes over the shards t1 to t4, as version 2. */
#define NEXT_SHARDS "[\"t1\",\"t2\",\"t3\",\"t4\"]"
static const char next_document[] =
    "{\"version\":2,\"routes\":[{\"name\":\"g\",\"hostname\":\"a.example\","
    "\"path_prefix\":\"/g/\",\"route_type\":\"safe\",\"timeout_ms\":800,"
    "\"target_latency_ms\":120,\"gather\":" NEXT_SHARDS
    ",\"max_attempts\":2,\"top_k\":5,\"min_coverage\":0.75}],"
    "\"services\":[{\"name\":\"t1\"},{\"name\":\"t2\"},{\"name\":\"t3\"},"
    "{\"name\":\"t4\"}]}";

START_TEST(a_new_set_of_shards_is_used_once_it_is_warm)
{
    fixture f;
    forward_sim_server *next[4];
    char id[16];
    char service[16];

    open_fixture(&f);
    for (int s = 0; s < 4; s++) {
        snprintf(id, sizeof(id), "j%d", s + 1);
        snprintf(service, sizeof(service), "t%d", s + 1);
        next[s] = forward_sim_add_server(f.w, id, service, "z1");
        next[s]->cold_ms = 600;
    }
    forward_sim_install_routing(f.w, next_document);
    for (int i = 0; i < 10; i++) {
        unsigned n = forward_sim_send_request(f.w, "/g/1", 800);

        forward_sim_run(f.w, 50 * MS);
        ck_assert_uint_eq(forward_sim_get_call(f.w, n)->parts, 4);
    }
    ck_assert_uint_eq(forward_sim_get_routing_version(f.w), 1);
    for (int s = 0; s < 4; s++) {
        next[s]->cold_ms = 0;
    }
    forward_sim_run(f.w, 200 * MS);
    ck_assert_uint_eq(forward_sim_get_routing_version(f.w), 2);
    ck_assert_uint_eq(ask(&f, "/g/1")->parts, 4);
    ck_assert_uint_gt(next[0]->runs, 0);
    close_fixture(&f);
}
END_TEST

START_TEST(a_new_set_of_shards_waits_no_longer_than_allowed)
{
    fixture f;

    open_fixture(&f);
    /* Nobody serves its shards, and nobody will. */
    forward_sim_install_routing(f.w, next_document);
    forward_sim_run(f.w, 1400 * MS);
    ck_assert_uint_eq(forward_sim_get_routing_version(f.w), 1);
    forward_sim_run(f.w, 300 * MS);
    ck_assert_uint_eq(forward_sim_get_routing_version(f.w), 2);
    ck_assert_uint_eq(ask(&f, "/g/1")->status, 503);
    close_fixture(&f);
}
END_TEST

START_TEST(second_attempts_stay_within_the_budget)
{
    fixture f;
    unsigned firsts = 400;
    unsigned arrivals = 0;

    open_fixture(&f);
    for (int s = 0; s < 4; s++) {
        for (int k = 0; k < 2; k++) {
            f.shard[s][k]->mode = SERVER_FAILS;
            f.shard[s][k]->arrivals = 0;
        }
    }
    for (unsigned i = 0; i < firsts; i++) {
        forward_sim_send_request(f.w, "/g/1", 800);
        forward_sim_run(f.w, 20 * MS);
    }
    arrivals = f.shard[0][0]->arrivals + f.shard[0][1]->arrivals;
    /* 0.2 of the requests, and a seventh of 50 in each window of 10 s. */
    ck_assert_uint_le(arrivals, firsts + firsts / 5 + 2 * 8);
    close_fixture(&f);
}
END_TEST

START_TEST(without_room_a_request_is_refused_within_its_target)
{
    fixture f;
    unsigned n;
    bbl_usec at;

    open_fixture(&f);
    f.one[0]->connections = 1;
    f.one[1]->connections = 1;
    f.one[0]->work = 500 * MS;
    f.one[1]->work = 500 * MS;
    forward_sim_send_request(f.w, "/once/1", 1000);
    forward_sim_send_request(f.w, "/once/1", 1000);
    at = forward_sim_get_time(f.w);
    n = forward_sim_send_request(f.w, "/once/1", 1000);
    forward_sim_run(f.w, 60 * MS);
    ck_assert_uint_eq(forward_sim_get_call(f.w, n)->status, 503);
    ck_assert_uint_le(forward_sim_get_call(f.w, n)->answered_at - at, 50 * MS);
    close_fixture(&f);
}
END_TEST

START_TEST(a_route_timeout_ends_a_request)
{
    fixture f;
    unsigned n;
    bbl_usec at;

    open_fixture(&f);
    f.one[0]->mode = SERVER_SILENT;
    f.one[1]->mode = SERVER_SILENT;
    at = forward_sim_get_time(f.w);
    n = forward_sim_send_request(f.w, "/one/1", 60000);
    forward_sim_run(f.w, 1100 * MS);
    ck_assert_uint_eq(forward_sim_get_call(f.w, n)->status, 504);
    ck_assert_uint_le(forward_sim_get_call(f.w, n)->answered_at - at,
                      1010 * MS);
    ck_assert_uint_ge(forward_sim_get_call(f.w, n)->answered_at - at,
                      990 * MS);
    close_fixture(&f);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("forwarder");
    TCase *tc = tcase_create("forwarder");

    tcase_add_test(tc, all_shards_answer);
    tcase_add_test(tc, without_a_routing_nothing_is_not_found);
    tcase_add_test(tc, a_pause_costs_one_hedge_and_no_target);
    tcase_add_test(tc, a_missing_shard_is_told_before_the_target);
    tcase_add_test(tc, too_few_shards_are_no_success);
    tcase_add_test(tc, what_cannot_succeed_is_refused_at_once);
    tcase_add_loop_test(tc, the_other_server_makes_up_for_a_failing_one, 0,
                        ARRAY_SIZE(failing));
    tcase_add_loop_test(tc, what_may_not_be_repeated_runs_once, 0,
                        ARRAY_SIZE(failing));
    tcase_add_test(tc, a_refusal_unrun_is_tried_elsewhere);
    tcase_add_test(tc, a_silent_server_is_not_hedged_by_what_runs_once);
    tcase_add_test(tc, work_stops_when_its_caller_has_gone);
    tcase_add_test(tc, an_evacuated_data_centre_gets_nothing);
    tcase_add_test(tc,
                   a_silent_server_is_out_of_use_until_it_is_reached_again);
    tcase_add_test(tc, a_slow_server_that_can_be_reached_stays_in_use);
    tcase_add_test(tc, a_server_that_could_not_be_reached_may_be_cold);
    tcase_add_test(tc, a_new_set_of_shards_is_used_once_it_is_warm);
    tcase_add_test(tc, a_new_set_of_shards_waits_no_longer_than_allowed);
    tcase_add_test(tc, second_attempts_stay_within_the_budget);
    tcase_add_test(tc, without_room_a_request_is_refused_within_its_target);
    tcase_add_test(tc, a_route_timeout_ends_a_request);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
