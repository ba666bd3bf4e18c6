#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "support/forward_fleet.h"

#define SECOND BBL_USEC_PER_SEC
/* Time until a limit is known at all hosts. */
#define SETTLE_US (4 * SECOND)
#define WINDOW_US (4 * SECOND)

static const char routing[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"o\",\"hostname\":\"a.example\",\"path_prefix\":\"/one/\","
    "\"route_type\":\"safe\",\"timeout_ms\":800,\"target_latency_ms\":200,"
    "\"priority\":1,\"service\":\"one\",\"max_attempts\":2},"
    "{\"name\":\"g\",\"hostname\":\"a.example\",\"path_prefix\":\"/g/\","
    "\"route_type\":\"safe\",\"timeout_ms\":800,\"target_latency_ms\":120,"
    "\"priority\":1,\"gather\":[\"s0\",\"s1\",\"s2\",\"s3\"],"
    "\"max_attempts\":2,\"top_k\":5,\"min_coverage\":1.0}],"
    "\"services\":[{\"name\":\"one\",\"max_connections\":26},"
    "{\"name\":\"s0\",\"max_connections\":26},"
    "{\"name\":\"s1\",\"max_connections\":26},"
    "{\"name\":\"s2\",\"max_connections\":26},"
    "{\"name\":\"s3\",\"max_connections\":26}]}";

/* Adds `count` servers to a service. */
static void
add_servers(forward_fleet *f, const char *service, unsigned count)
{
    for (unsigned i = 0; i < count; i++) {
        char id[16];

        snprintf(id, sizeof(id), "%s-%u", service, i);
        forward_fleet_add_server(f, id, service, i % 2 ? "z2" : "z1");
    }
}

/* Fails if a server got more in some window than it stated, with a margin. */
static void
check_limit(const forward_fleet *f, unsigned server, double rate,
            bbl_usec since)
{
    unsigned most =
        forward_fleet_get_busiest_window(f, server, since, WINDOW_US);
    double allowed = 1.5 * rate * (double)WINDOW_US / SECOND + 5;

    ck_assert_msg((double)most <= allowed,
                  "server %u got %u requests in 4 s, at most %.1f allowed",
                  server, most, allowed);
}

/* One of two servers states a limit far below its share of the load. */
START_TEST(servers_get_no_more_than_the_rate_that_they_state)
{
    forward_fleet *f = forward_fleet_new(7);
    bbl_usec limited_at;

    add_servers(f, "one", 2);
    forward_fleet_install_routing(f, routing);
    forward_fleet_run(f, 2 * SECOND, 90, "/one/x");
    limited_at = forward_fleet_get_time(f);
    forward_fleet_set_limit(f, 0, 6.5);
    forward_fleet_run(f, 14 * SECOND, 90, "/one/x");
    check_limit(f, 0, 6.5, limited_at + SETTLE_US);
    forward_fleet_free(f);
}
END_TEST

/* Many hosts, each of which sends little, share a limit of one a second. */
START_TEST(many_hosts_share_a_limit_below_one_request_each)
{
    forward_fleet *f = forward_fleet_new(120);
    bbl_usec limited_at;

    add_servers(f, "one", 3);
    forward_fleet_install_routing(f, routing);
    forward_fleet_run(f, 1 * SECOND, 60, "/one/x");
    limited_at = forward_fleet_get_time(f);
    for (unsigned i = 0; i < 3; i++) {
        forward_fleet_set_limit(f, i, 1);
    }
    forward_fleet_run(f, 14 * SECOND, 60, "/one/x");
    for (unsigned i = 0; i < 3; i++) {
        check_limit(f, i, 1, limited_at + SETTLE_US);
    }
    forward_fleet_free(f);
}
END_TEST

/*
 * All servers of a service are limited: what they accept is served, and what
 * they do not is refused at once, unrun and with a time to come back.
 */
START_TEST(limited_service_is_used_up_and_the_rest_refused_at_once)
{
    forward_fleet *f = forward_fleet_new(100);
    forward_fleet_summary s;
    bbl_usec from;

    add_servers(f, "one", 4);
    forward_fleet_install_routing(f, routing);
    forward_fleet_run(f, 1 * SECOND, 80, "/one/x");
    for (unsigned i = 0; i < 4; i++) {
        forward_fleet_set_limit(f, i, 4);
    }
    forward_fleet_run(f, 5 * SECOND, 80, "/one/x");
    from = forward_fleet_get_time(f);
    forward_fleet_run(f, 20 * SECOND, 80, "/one/x");
    forward_fleet_summarize(&s, f, from);
    for (unsigned i = 0; i < 4; i++) {
        check_limit(f, i, 4, from);
    }
    /* 16 a second are accepted; three quarters of them are to be used. */
    ck_assert_uint_ge(s.served, 20 * 16 * 3 / 4);
    ck_assert_uint_le(s.other, s.sent / 100);
    ck_assert_uint_eq(s.refused_late, 0);
    ck_assert_uint_eq(s.without_retry_after, 0);
    forward_fleet_free(f);
}
END_TEST

/* A query over shards that are all limited is served whole, or not run. */
START_TEST(limited_shards_serve_whole_queries)
{
    forward_fleet *f = forward_fleet_new(40);
    forward_fleet_summary s;
    bbl_usec from;
    unsigned runs = 0;

    for (unsigned i = 0; i < 4; i++) {
        char service[8];

        snprintf(service, sizeof(service), "s%u", i);
        add_servers(f, service, 2);
    }
    forward_fleet_install_routing(f, routing);
    forward_fleet_run(f, 1 * SECOND, 60, "/g/x");
    for (unsigned i = 0; i < 8; i++) {
        forward_fleet_set_limit(f, i, 6);
    }
    forward_fleet_run(f, 5 * SECOND, 60, "/g/x");
    from = forward_fleet_get_time(f);
    forward_fleet_run(f, 20 * SECOND, 60, "/g/x");
    forward_fleet_summarize(&s, f, from);
    for (unsigned i = 0; i < 8; i++) {
        check_limit(f, i, 6, from);
        runs += forward_fleet_count_arrivals(f, i, from);
    }
    /* 12 queries a second fit; each takes one request at each shard. */
    ck_assert_uint_ge(s.served, 20 * 12 * 2 / 3);
    ck_assert_uint_le(runs, s.served * 4 * 11 / 10);
    ck_assert_uint_eq(s.refused_late, 0);
    forward_fleet_free(f);
}
END_TEST

/* Other servers take over, and the end of a limit is noticed. */
START_TEST(limit_that_ends_is_noticed)
{
    forward_fleet *f = forward_fleet_new(30);
    forward_fleet_summary s;
    bbl_usec from;

    add_servers(f, "one", 2);
    forward_fleet_install_routing(f, routing);
    forward_fleet_run(f, 1 * SECOND, 60, "/one/x");
    forward_fleet_set_limit(f, 0, 2);
    from = forward_fleet_get_time(f);
    forward_fleet_run(f, 8 * SECOND, 60, "/one/x");
    check_limit(f, 0, 2, from + SETTLE_US);
    /* Requests that need not wait for the limited server do not fail. */
    forward_fleet_summarize(&s, f, from);
    ck_assert_uint_eq(s.refused + s.other, 0);
    forward_fleet_set_limit(f, 0, 0);
    forward_fleet_run(f, 6 * SECOND, 60, "/one/x");
    from = forward_fleet_get_time(f);
    forward_fleet_run(f, 4 * SECOND, 60, "/one/x");
    /* As the server in the hosts' own data centre it takes most requests. */
    ck_assert_uint_ge(forward_fleet_count_arrivals(f, 0, from), 120);
    forward_fleet_free(f);
}
END_TEST

/* A server whose limit has ended while all were limited is used again. */
START_TEST(service_recovers_when_all_its_limits_end)
{
    forward_fleet *f = forward_fleet_new(100);
    forward_fleet_summary s;
    bbl_usec from;

    add_servers(f, "one", 3);
    forward_fleet_install_routing(f, routing);
    for (unsigned i = 0; i < 3; i++) {
        forward_fleet_set_limit(f, i, 0.2);
    }
    forward_fleet_run(f, 10 * SECOND, 40, "/one/x");
    for (unsigned i = 0; i < 3; i++) {
        forward_fleet_set_limit(f, i, 0);
    }
    forward_fleet_run(f, 12 * SECOND, 40, "/one/x");
    from = forward_fleet_get_time(f);
    forward_fleet_run(f, 4 * SECOND, 40, "/one/x");
    forward_fleet_summarize(&s, f, from);
    ck_assert_uint_ge(s.served, s.sent * 95 / 100);
    forward_fleet_free(f);
}
END_TEST

/* Control hosts restart, stop and return, and hosts are cut off from them. */
START_TEST(limits_hold_while_control_hosts_restart)
{
    forward_fleet *f = forward_fleet_new(60);
    bbl_usec from;

    add_servers(f, "one", 3);
    forward_fleet_install_routing(f, routing);
    forward_fleet_run(f, 1 * SECOND, 90, "/one/x");
    for (unsigned i = 0; i < 3; i++) {
        forward_fleet_set_limit(f, i, i + 0.5);
    }
    from = forward_fleet_get_time(f) + SETTLE_US;
    for (unsigned n = 0; n < 12; n++) {
        forward_fleet_run(f, 1 * SECOND, 90, "/one/x");
        forward_fleet_restart_grantor(f, n % FORWARD_FLEET_GRANTORS);
        forward_fleet_stop_grantor(f, (n + 2) % FORWARD_FLEET_GRANTORS,
                                   n % 2 == 0);
        forward_fleet_cut_host(f, n, n % 3 != 0);
    }
    for (unsigned i = 0; i < 3; i++) {
        check_limit(f, i, i + 0.5, from);
    }
    forward_fleet_free(f);
}
END_TEST

/* Without any control host a small fleet still uses a part of the limit. */
START_TEST(limits_hold_without_control_hosts)
{
    forward_fleet *f = forward_fleet_new(7);
    forward_fleet_summary s;
    bbl_usec limited_at;

    add_servers(f, "one", 2);
    forward_fleet_install_routing(f, routing);
    for (unsigned i = 0; i < FORWARD_FLEET_GRANTORS; i++) {
        forward_fleet_stop_grantor(f, i, true);
    }
    forward_fleet_run(f, 1 * SECOND, 90, "/one/x");
    limited_at = forward_fleet_get_time(f);
    forward_fleet_set_limit(f, 0, 12);
    forward_fleet_set_limit(f, 1, 3);
    forward_fleet_run(f, 20 * SECOND, 90, "/one/x");
    check_limit(f, 0, 12, limited_at + SETTLE_US);
    check_limit(f, 1, 3, limited_at + SETTLE_US);
    forward_fleet_summarize(&s, f, limited_at + SETTLE_US);
    /* An eighth of the 15 a second, for 16 s. */
    ck_assert_uint_ge(s.served, 16 * 15 / 8);
    forward_fleet_free(f);
}
END_TEST

/*
 * A request for permits without a reply is followed by none for seconds: that
 * does not mean that there are no grantors.
 */
START_TEST(one_lost_reply_gives_no_permit)
{
    forward_fleet *f = forward_fleet_new(2);
    unsigned before;

    add_servers(f, "one", 1);
    forward_fleet_install_routing(f, routing);
    forward_fleet_set_limit(f, 0, 10);
    forward_fleet_run(f, 2 * SECOND, 20, "/one/x");
    for (unsigned i = 0; i < FORWARD_FLEET_GRANTORS; i++) {
        forward_fleet_stop_grantor(f, i, true);
    }
    before = forward_fleet_count_arrivals(f, 0, 0);
    for (unsigned i = 0; i < 2; i++) {
        forward_sim_send_request(forward_fleet_get_host(f, 0), "/one/x", 800);
        forward_fleet_run(f, 4 * SECOND, 0, "/one/x");
    }
    ck_assert_uint_eq(forward_fleet_count_arrivals(f, 0, 0), before);
    /* Nor do many requests at once, before a reply to them can have come. */
    for (unsigned i = 0; i < 12; i++) {
        forward_sim_send_request(forward_fleet_get_host(f, 0), "/one/x", 800);
    }
    ck_assert_uint_eq(forward_fleet_count_arrivals(f, 0, 0), before);
    forward_fleet_free(f);
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("rate_limit");
    TCase *tc = tcase_create("fleet");
    SRunner *sr;
    int failed;

    tcase_set_timeout(tc, 120);
    tcase_add_test(tc, servers_get_no_more_than_the_rate_that_they_state);
    tcase_add_test(tc, many_hosts_share_a_limit_below_one_request_each);
    tcase_add_test(tc,
                   limited_service_is_used_up_and_the_rest_refused_at_once);
    tcase_add_test(tc, limited_shards_serve_whole_queries);
    tcase_add_test(tc, limit_that_ends_is_noticed);
    tcase_add_test(tc, service_recovers_when_all_its_limits_end);
    tcase_add_test(tc, limits_hold_while_control_hosts_restart);
    tcase_add_test(tc, limits_hold_without_control_hosts);
    tcase_add_test(tc, one_lost_reply_gives_no_permit);
    suite_add_tcase(s, tc);
    sr = srunner_create(s);
    srunner_run_all(sr, CK_NORMAL);
    failed = srunner_ntests_failed(sr);
    srunner_free(sr);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
