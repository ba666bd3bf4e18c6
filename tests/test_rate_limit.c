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
    suite_add_tcase(s, tc);
    sr = srunner_create(s);
    srunner_run_all(sr, CK_NORMAL);
    failed = srunner_ntests_failed(sr);
    srunner_free(sr);
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
