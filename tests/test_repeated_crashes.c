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

int
main(void)
{
    Suite *s = suite_create("repeated_crashes");
    TCase *tc = tcase_create("fleet");

    tcase_set_timeout(tc, 120);
    tcase_add_loop_test(tc, request_that_ends_its_servers_is_kept_from_them, 0,
                        3);
    suite_add_tcase(s, tc);
    return run_suite(s);
}
