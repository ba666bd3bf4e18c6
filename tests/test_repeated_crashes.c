#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "support/forward_fleet.h"
#include "support/run.h"

#define SECOND BBL_USEC_PER_SEC
#define MS BBL_USEC_PER_MS
#define CRASH_PATH "/one/crash"
/* Time until all hosts know what a request has done. */
#define SETTLE_US (4 * SECOND)

static const char routing[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"o\",\"hostname\":\"a.example\",\"path_prefix\":\"/one/\","
    "\"route_type\":\"safe\",\"timeout_ms\":800,\"target_latency_ms\":200,"
    "\"priority\":1,\"service\":\"one\",\"max_attempts\":2},"
    "{\"name\":\"g\",\"hostname\":\"a.example\",\"path_prefix\":\"/g/\","
    "\"route_type\":\"safe\",\"timeout_ms\":800,\"target_latency_ms\":120,"
    "\"priority\":1,\"gather\":[\"s0\",\"s1\",\"s2\",\"s3\",\"s4\",\"s5\"],"
    "\"max_attempts\":2,\"top_k\":5,\"min_coverage\":0.6}],"
    "\"services\":[{\"name\":\"one\"},{\"name\":\"s0\"},{\"name\":\"s1\"},"
    "{\"name\":\"s2\"},{\"name\":\"s3\"},{\"name\":\"s4\"},"
    "{\"name\":\"s5\"}]}";

static forward_fleet *
new_fleet(unsigned hosts, unsigned servers)
{
    forward_fleet *f = forward_fleet_new(hosts);

    for (unsigned i = 0; i < servers; i++) {
        char id[16];

        snprintf(id, sizeof(id), "one-%u", i);
        forward_fleet_add_server(f, id, "one", i % 2 ? "z2" : "z1");
    }
    forward_fleet_install_routing(f, routing);
    for (unsigned i = 0; i < hosts; i++) {
        forward_sim_set_crash_path(forward_fleet_get_host(f, i), CRASH_PATH);
    }
    return f;
}

/*
 * Sends a copy of the request every `interval` to one host after the other,
 * beside other requests. Returns how often servers ran it.
 */
static unsigned
send_copies(forward_fleet *f, unsigned hosts, unsigned copies,
            bbl_usec interval)
{
    unsigned runs = 0;

    for (unsigned i = 0; i < copies; i++) {
        forward_sim *sim = forward_fleet_get_host(f, i % hosts);
        unsigned call = forward_sim_send_request(sim, CRASH_PATH, 800);

        forward_fleet_run(f, interval, 40, "/one/x");
        runs += forward_sim_get_call(sim, call)->runs;
        if (i % 4 == 3) {
            forward_fleet_reconnect(f);
        }
    }
    return runs;
}

/* A request under which servers end comes again and again, at any host. */
START_TEST(request_that_ends_its_servers_is_kept_from_them)
{
    static const unsigned hosts[] = {1, 7, 60};
    forward_fleet *f = new_fleet(hosts[_i], 8);
    unsigned runs;

    forward_fleet_run(f, 1 * SECOND, 40, "/one/x");
    send_copies(f, hosts[_i], 16, SETTLE_US / 16);
    runs = send_copies(f, hosts[_i], 60, 200 * MS);
    ck_assert_msg(runs <= 3, "sent to servers %u times more", runs);
    forward_fleet_free(f);
}
END_TEST

/* The same while some hosts are cut off from the others for a while. */
START_TEST(request_is_kept_from_servers_after_a_cut)
{
    forward_fleet *f = new_fleet(7, 8);
    unsigned runs;

    forward_fleet_cut_host(f, 1, true);
    forward_fleet_cut_host(f, 2, true);
    send_copies(f, 7, 20, 200 * MS);
    forward_fleet_cut_host(f, 1, false);
    forward_fleet_cut_host(f, 2, false);
    send_copies(f, 7, 14, 300 * MS);
    runs = send_copies(f, 7, 40, 200 * MS);
    ck_assert_msg(runs <= 3, "sent to servers %u times more", runs);
    forward_fleet_free(f);
}
END_TEST

/* Its callers leave before the servers have ended. */
START_TEST(request_whose_callers_leave_is_kept_from_servers)
{
    forward_fleet *f = new_fleet(7, 8);
    unsigned runs = 0;

    for (unsigned i = 0; i < 60; i++) {
        forward_sim *sim = forward_fleet_get_host(f, i % 7);
        unsigned call = forward_sim_send_request(sim, CRASH_PATH, 800);

        forward_fleet_run(f, 4 * MS, 0, "/one/x");
        if (!forward_sim_get_call(sim, call)->answered) {
            forward_sim_cancel_request(sim, call);
        }
        forward_fleet_run(f, 400 * MS, 0, "/one/x");
        runs += i >= 20 ? forward_sim_get_call(sim, call)->runs : 0;
        forward_fleet_reconnect(f);
    }
    ck_assert_msg(runs <= 3, "sent to servers %u times more", runs);
    forward_fleet_free(f);
}
END_TEST

/* What its callers are told is true: it does not run, for that long. */
START_TEST(refused_request_is_told_when_to_come_back)
{
    forward_fleet *f = new_fleet(3, 8);
    const forward_sim_call *c;
    unsigned call;

    send_copies(f, 3, 12, 400 * MS);
    call = forward_sim_send_request(forward_fleet_get_host(f, 0), CRASH_PATH,
                                    800);
    c = forward_sim_get_call(forward_fleet_get_host(f, 0), call);
    ck_assert(c->answered);
    ck_assert_uint_eq(c->status, 503);
    ck_assert_uint_eq(c->reason, BBL_FORWARD_CRASHES);
    ck_assert_uint_ge(c->retry_after_ms, 290000);
    forward_fleet_free(f);
}
END_TEST

/* A gathered query does not end the servers of all shards once it is known. */
START_TEST(query_over_shards_is_tried_at_one_of_them)
{
    forward_fleet *f = forward_fleet_new(1);
    forward_sim *sim = forward_fleet_get_host(f, 0);
    unsigned runs[2];

    for (unsigned i = 0; i < 12; i++) {
        char id[16];
        char service[8];

        snprintf(service, sizeof(service), "s%u", i / 2);
        snprintf(id, sizeof(id), "%s-%u", service, i % 2);
        forward_fleet_add_server(f, id, service, "z1");
    }
    forward_fleet_install_routing(f, routing);
    forward_sim_set_crash_path(sim, "/g/crash");
    for (unsigned i = 0; i < 2; i++) {
        unsigned call = forward_sim_send_request(sim, "/g/crash", 800);

        forward_fleet_run(f, 2 * SECOND, 0, "/g/x");
        runs[i] = forward_sim_get_call(sim, call)->runs;
        for (unsigned k = 0; k < 3; k++) {
            forward_fleet_reconnect(f);
            forward_fleet_run(f, 1 * SECOND, 0, "/g/x");
        }
    }
    /* Six first attempts, and retries of the first ones to break. */
    ck_assert_uint_le(runs[0], 8);
    ck_assert_uint_eq(runs[1], 1);
    forward_fleet_free(f);
}
END_TEST

/*
 * Servers of many shards end at once, before any other has answered: the query
 * is innocent, and its lost parts are sent again.
 */
START_TEST(innocent_query_gets_its_lost_parts_again)
{
    forward_fleet *f = forward_fleet_new(1);
    forward_sim *sim = forward_fleet_get_host(f, 0);
    const forward_sim_call *c;
    unsigned call;

    for (unsigned i = 0; i < 12; i++) {
        char id[16];
        char service[8];

        snprintf(service, sizeof(service), "s%u", i / 2);
        snprintf(id, sizeof(id), "%s-%u", service, i % 2);
        forward_fleet_add_server(f, id, service, i % 2 ? "z2" : "z1");
        if (i % 2 == 0 && i < 10) {
            forward_fleet_set_mode(f, i, SERVER_BREAKS);
            forward_fleet_set_work(f, i, 1 * MS);
        }
    }
    forward_fleet_install_routing(f, routing);
    call = forward_sim_send_request(sim, "/g/x", 800);
    forward_fleet_run(f, 2 * MS, 0, "/g/x");
    for (unsigned i = 0; i < 10; i += 2) {
        forward_fleet_refuse_connection(f, i);
    }
    forward_fleet_run(f, 200 * MS, 0, "/g/x");
    c = forward_sim_get_call(sim, call);
    ck_assert(c->answered);
    ck_assert_uint_eq(c->status, 200);
    ck_assert_uint_eq(c->parts, 6);
    forward_fleet_free(f);
}
END_TEST

/* A server that refuses the first shard of a suspect does not hold it up. */
START_TEST(refused_shard_of_a_suspect_is_followed_by_others)
{
    forward_fleet *f = forward_fleet_new(1);
    forward_sim *sim = forward_fleet_get_host(f, 0);
    bbl_observed_crash crash;
    const forward_sim_call *c;
    unsigned call;

    for (unsigned i = 0; i < 6; i++) {
        char id[16];
        char service[8];

        snprintf(service, sizeof(service), "s%u", i);
        snprintf(id, sizeof(id), "%s-0", service);
        forward_fleet_add_server(f, id, service, "z1");
    }
    forward_fleet_install_routing(f, routing);
    forward_sim_set_repeated_path(sim, "/g/again");
    crash = (bbl_observed_crash){forward_sim_get_repeated_fingerprint(), 1, 1};
    forward_sim_update_crashes(sim, &crash, 1);
    forward_fleet_set_mode(f, 0, SERVER_SHEDS);
    call = forward_sim_send_request(sim, "/g/again", 800);
    forward_fleet_run(f, 200 * MS, 0, "/g/x");
    c = forward_sim_get_call(sim, call);
    ck_assert(c->answered);
    ck_assert_uint_eq(c->status, 200);
    ck_assert_uint_eq(c->parts, 5);
    forward_fleet_free(f);
}
END_TEST

/*
 * Every server ends at once, with the same request running at all hosts. It is
 * innocent: later copies are served.
 */
START_TEST(request_that_met_a_loss_of_power_is_served)
{
    forward_fleet *f = new_fleet(7, 8);
    unsigned served = 0;

    for (unsigned i = 0; i < 7; i++) {
        forward_sim_send_request(forward_fleet_get_host(f, i), CRASH_PATH,
                                 800);
    }
    forward_fleet_run(f, 1 * SECOND, 0, "/one/x");
    for (unsigned i = 0; i < 7; i++) {
        forward_sim_set_crash_path(forward_fleet_get_host(f, i), NULL);
        forward_sim_set_repeated_path(forward_fleet_get_host(f, i),
                                      CRASH_PATH);
    }
    for (unsigned i = 0; i < 3; i++) {
        forward_fleet_reconnect(f);
        forward_fleet_run(f, 1 * SECOND, 0, "/one/x");
    }
    for (unsigned i = 0; i < 21; i++) {
        forward_sim *sim = forward_fleet_get_host(f, i % 7);
        unsigned call = forward_sim_send_request(sim, CRASH_PATH, 800);

        forward_fleet_run(f, 100 * MS, 0, "/one/x");
        served += forward_sim_get_call(sim, call)->status == 200;
    }
    ck_assert_uint_eq(served, 21);
    forward_fleet_free(f);
}
END_TEST

/* Adds two servers of each of six shards. */
static forward_fleet *
new_sharded_fleet(unsigned hosts)
{
    forward_fleet *f = forward_fleet_new(hosts);

    for (unsigned i = 0; i < 12; i++) {
        char id[16];
        char service[16];

        snprintf(id, sizeof(id), "g-%u", i);
        snprintf(service, sizeof(service), "s%u", i / 2);
        forward_fleet_add_server(f, id, service, i % 2 ? "z2" : "z1");
    }
    forward_fleet_install_routing(f, routing);
    for (unsigned i = 0; i < hosts; i++) {
        forward_sim_set_crash_path(forward_fleet_get_host(f, i), "/g/crash");
    }
    return f;
}

/* Sends the query that ends its servers to one host; returns its runs. */
static unsigned
send_deadly(forward_fleet *f, unsigned host)
{
    forward_sim *sim = forward_fleet_get_host(f, host);
    unsigned call = forward_sim_send_request(sim, "/g/crash", 800);

    forward_fleet_run(f, 30 * MS, 0, "");
    ck_assert(forward_sim_get_call(sim, call)->answered);
    return forward_sim_get_call(sim, call)->runs;
}

/*
 * Its caller repeats a query at once at another host, before that can have
 * heard of the servers that it has ended.
 */
START_TEST(a_repeated_query_ends_no_second_server_of_each_shard)
{
    forward_fleet *f = new_sharded_fleet(7);
    unsigned runs;

    forward_fleet_run(f, SECOND, 40, "/g/x");
    runs = send_deadly(f, 0);
    ck_assert_uint_le(runs, 6);
    /* All hosts see that one server of each shard refuses connections. */
    for (unsigned i = 0; i < 12; i += 2) {
        forward_fleet_refuse_connection(f, i);
    }
    for (unsigned host = 1; host < 4; host++) {
        ck_assert_uint_le(send_deadly(f, host), 1);
    }
    forward_fleet_free(f);
}
END_TEST

/* One shard goes first, but a slow one does not hold up the others. */
START_TEST(queries_are_served_while_servers_end)
{
    forward_fleet *f = new_sharded_fleet(2);
    forward_fleet_summary s;
    bbl_usec since;

    forward_fleet_run(f, SECOND, 40, "/g/x");
    for (unsigned i = 0; i < 6; i += 2) {
        forward_fleet_refuse_connection(f, i);
    }
    since = forward_fleet_get_time(f);
    forward_fleet_set_mode(f, 7, SERVER_SILENT);
    forward_fleet_run(f, 2 * SECOND, 40, "/g/x");
    forward_fleet_run(f, SECOND, 0, "");
    forward_fleet_summarize(&s, f, since);
    ck_assert_uint_eq(s.served, s.sent);
    forward_fleet_free(f);
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("repeated_crashes");
    TCase *tc = tcase_create("fleet");

    tcase_set_timeout(tc, 120);
    tcase_add_loop_test(tc, request_that_ends_its_servers_is_kept_from_them, 0,
                        3);
    tcase_add_test(tc, request_is_kept_from_servers_after_a_cut);
    tcase_add_test(tc, request_whose_callers_leave_is_kept_from_servers);
    tcase_add_test(tc, refused_request_is_told_when_to_come_back);
    tcase_add_test(tc, query_over_shards_is_tried_at_one_of_them);
    tcase_add_test(tc, innocent_query_gets_its_lost_parts_again);
    tcase_add_test(tc, refused_shard_of_a_suspect_is_followed_by_others);
    tcase_add_test(tc, request_that_met_a_loss_of_power_is_served);
    tcase_add_test(tc, a_repeated_query_ends_no_second_server_of_each_shard);
    tcase_add_test(tc, queries_are_served_while_servers_end);
    suite_add_tcase(s, tc);
    return run_suite(s);
}
