/*
 * Tests how the forwarders of a fleet find bad servers together, in simulated
 * time: what they publish, and how placement, hedges and probes use it.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "support/forward_fleet.h"

#define MS BBL_USEC_PER_MS
#define SECOND BBL_USEC_PER_SEC
#define HOSTS 24
#define SHARDS 6
#define COPIES 3
#define PER_S 48.0

static const char routing[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"g\",\"hostname\":\"a.example\",\"path_prefix\":\"/g/\","
    "\"route_type\":\"safe\",\"timeout_ms\":1200,\"target_latency_ms\":300,"
    "\"priority\":1,\"gather\":[\"s0\",\"s1\",\"s2\",\"s3\",\"s4\",\"s5\"],"
    "\"max_attempts\":2,\"top_k\":5,\"min_coverage\":1.0}],"
    "\"services\":[{\"name\":\"s0\",\"max_connections\":66},"
    "{\"name\":\"s1\",\"max_connections\":66},"
    "{\"name\":\"s2\",\"max_connections\":66},"
    "{\"name\":\"s3\",\"max_connections\":66},"
    "{\"name\":\"s4\",\"max_connections\":66},"
    "{\"name\":\"s5\",\"max_connections\":66}]}";

/* A fleet that has learned the usual time of its route. */
static forward_fleet *
open_fleet(unsigned hosts)
{
    forward_fleet *f = forward_fleet_new(hosts);

    for (unsigned i = 0; i < SHARDS * COPIES; i++) {
        char id[16];
        char service[16];

        snprintf(id, sizeof(id), "s%u-%u", i / COPIES, i % COPIES);
        snprintf(service, sizeof(service), "s%u", i / COPIES);
        forward_fleet_add_server(f, id, service, "z1");
        forward_fleet_set_work(f, i, 28 * MS);
    }
    forward_fleet_install_routing(f, routing);
    forward_fleet_run(f, 10 * SECOND, PER_S, "/g/x");
    return f;
}

/* Fails if more than 2 in 100 requests since `from` were not served. */
static void
check_served(const forward_fleet *f, bbl_usec from)
{
    forward_fleet_summary s;

    forward_fleet_summarize(&s, f, from);
    ck_assert_uint_gt(s.sent, 0);
    ck_assert_uint_ge(s.served + s.unanswered, s.sent * 98 / 100);
}

/*
 * Two of 18 servers turn ten times slower. All hosts avoid them within a
 * second, probes reach them, and they get their work back soon after.
 */
START_TEST(slow_servers_are_avoided_by_all_hosts)
{
    forward_fleet *f = open_fleet(HOSTS);
    bbl_usec from = forward_fleet_get_time(f);
    unsigned probes;

    ck_assert_uint_eq(forward_fleet_count_health_rows(f), 0);
    forward_fleet_set_work(f, 0, 280 * MS);
    forward_fleet_set_work(f, 4, 280 * MS);
    forward_fleet_run(f, SECOND, PER_S, "/g/x");
    ck_assert_uint_eq(forward_fleet_count_rated_bad(f, 0), HOSTS);
    ck_assert_uint_eq(forward_fleet_count_rated_bad(f, 4), HOSTS);
    ck_assert_uint_eq(forward_fleet_count_rated_bad(f, 1), 0);
    from = forward_fleet_get_time(f);
    forward_fleet_run(f, 6 * SECOND, PER_S, "/g/x");
    /* A sixteenth of 48 parts a second, and what a lapsed rating lets by. */
    probes = forward_fleet_count_arrivals(f, 0, from);
    ck_assert_uint_ge(probes, 6);
    ck_assert_uint_le(probes, 60);
    check_served(f, from);
    forward_fleet_set_work(f, 0, 28 * MS);
    forward_fleet_set_work(f, 4, 28 * MS);
    forward_fleet_run(f, 2 * SECOND, PER_S, "/g/x");
    from = forward_fleet_get_time(f);
    ck_assert_uint_eq(forward_fleet_count_rated_bad(f, 0), 0);
    forward_fleet_run(f, 4 * SECOND, PER_S, "/g/x");
    ck_assert_uint_ge(forward_fleet_count_arrivals(f, 0, from), 30);
    forward_fleet_free(f);
}
END_TEST

static const server_mode bad_modes[] = {SERVER_SILENT, SERVER_FAILS,
                                        SERVER_BREAKS, SERVER_DENIES};

/* The other kinds of bad spells are found as well. */
START_TEST(servers_that_hang_or_fail_are_avoided_by_all_hosts)
{
    forward_fleet *f = open_fleet(HOSTS);

    forward_fleet_set_mode(f, 0, bad_modes[_i]);
    forward_fleet_run(f, 1200 * MS, PER_S, "/g/x");
    ck_assert_uint_eq(forward_fleet_count_rated_bad(f, 0), HOSTS);
    ck_assert_uint_eq(forward_fleet_count_rated_bad(f, 1), 0);
    forward_fleet_set_mode(f, 0, SERVER_OK);
    forward_fleet_run(f, 3 * SECOND, PER_S, "/g/x");
    ck_assert_uint_eq(forward_fleet_count_rated_bad(f, 0), 0);
    forward_fleet_free(f);
}
END_TEST

/* A host with a bad link to a server turns no other host away from it. */
START_TEST(a_server_that_fails_one_host_is_not_rated)
{
    forward_fleet *f = open_fleet(HOSTS);

    forward_fleet_set_host_mode(f, 0, 0, SERVER_FAILS);
    for (unsigned i = 0; i < 20; i++) {
        forward_fleet_run(f, 500 * MS, PER_S, "/g/x");
        ck_assert_uint_eq(forward_fleet_count_rated_bad(f, 0), 0);
    }
    ck_assert_uint_le(forward_fleet_count_health_rows(f), 20);
    forward_fleet_free(f);
}
END_TEST

/* Hosts that have lost their links say nothing of the servers. */
START_TEST(hosts_without_links_say_nothing)
{
    forward_fleet *f = open_fleet(HOSTS);

    for (unsigned i = 0; i < 3; i++) {
        forward_fleet_set_links(f, i, LINKS_HANG);
    }
    for (unsigned i = 0; i < 10; i++) {
        forward_fleet_run(f, 500 * MS, PER_S, "/g/x");
        for (unsigned k = 0; k < SHARDS * COPIES; k++) {
            ck_assert_uint_eq(forward_fleet_count_rated_bad(f, k), 0);
        }
    }
    ck_assert_uint_eq(forward_fleet_count_health_rows(f), 0);
    forward_fleet_free(f);
}
END_TEST

/*
 * The responses queue on the narrow links of some hosts, so that the last ones
 * come late, from any server.
 */
START_TEST(hosts_with_narrow_links_rate_no_server)
{
    forward_fleet *f = open_fleet(HOSTS);

    for (unsigned i = 0; i < 4; i++) {
        forward_sim_set_receive_time(forward_fleet_get_host(f, i), 30 * MS);
    }
    for (unsigned i = 0; i < 20; i++) {
        forward_fleet_run(f, 500 * MS, PER_S, "/g/x");
        for (unsigned k = 0; k < SHARDS * COPIES; k++) {
            ck_assert_uint_eq(forward_fleet_count_rated_bad(f, k), 0);
        }
    }
    forward_fleet_free(f);
}
END_TEST

/* Servers that are rated as bad stay eligible, and the least bad one serves.
 */
START_TEST(a_shard_without_a_sound_server_is_served)
{
    forward_fleet *f = open_fleet(HOSTS);
    bbl_usec from;

    forward_fleet_set_work(f, 0, 250 * MS);
    forward_fleet_set_work(f, 1, 250 * MS);
    forward_fleet_set_mode(f, 2, SERVER_SILENT);
    forward_fleet_run(f, 1500 * MS, PER_S, "/g/x");
    ck_assert_uint_eq(forward_fleet_count_rated_bad(f, 0), HOSTS);
    ck_assert_uint_eq(forward_fleet_count_rated_bad(f, 2), HOSTS);
    from = forward_fleet_get_time(f);
    forward_fleet_run(f, 4 * SECOND, PER_S, "/g/x");
    check_served(f, from);
    ck_assert_uint_lt(forward_fleet_count_arrivals(f, 2, from),
                      forward_fleet_count_arrivals(f, 0, from));
    forward_fleet_free(f);
}
END_TEST

/* The simulation also fails if a small fleet publishes anything. */
START_TEST(small_fleets_share_nothing)
{
    forward_fleet *f = open_fleet(BBL_HEALTH_SMALL_FLEET);

    forward_fleet_set_work(f, 0, 280 * MS);
    forward_fleet_set_mode(f, 4, SERVER_FAILS);
    forward_fleet_run(f, 4 * SECOND, PER_S, "/g/x");
    ck_assert_uint_eq(forward_fleet_count_health_rows(f), 0);
    forward_fleet_free(f);
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("shared_health");
    TCase *tc = tcase_create("fleet");
    SRunner *sr;
    int failed;

    tcase_set_timeout(tc, 120);
    tcase_add_test(tc, slow_servers_are_avoided_by_all_hosts);
    tcase_add_loop_test(tc, servers_that_hang_or_fail_are_avoided_by_all_hosts,
                        0, sizeof(bad_modes) / sizeof(bad_modes[0]));
    tcase_add_test(tc, a_server_that_fails_one_host_is_not_rated);
    tcase_add_test(tc, hosts_without_links_say_nothing);
    tcase_add_test(tc, hosts_with_narrow_links_rate_no_server);
    tcase_add_test(tc, a_shard_without_a_sound_server_is_served);
    tcase_add_test(tc, small_fleets_share_nothing);
    suite_add_tcase(s, tc);
    sr = srunner_create(s);
    srunner_run_all(sr, CK_NORMAL);
    failed = srunner_ntests_failed(sr);
    srunner_free(sr);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
