/*
 * Some entry hosts lose their links to all backend servers, while callers and
 * the other hosts still reach them.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "support/forward_fleet.h"
#include "support/run.h"

#define MS BBL_USEC_PER_MS
#define SECOND BBL_USEC_PER_SEC
/* Time in which a host has to notice that its links are lost. */
#define NOTICE_US (4 * SECOND)
/* Requests that may fail, and the share of the others. */
#define FAILED_MAX 10
#define FAILED_DIVISOR 50

static const char routing[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"o\",\"hostname\":\"a.example\",\"path_prefix\":\"/one/\","
    "\"route_type\":\"safe\",\"timeout_ms\":800,\"target_latency_ms\":200,"
    "\"priority\":1,\"service\":\"one\",\"max_attempts\":2},"
    "{\"name\":\"u\",\"hostname\":\"a.example\",\"path_prefix\":\"/once/\","
    "\"route_type\":\"unsafe\",\"timeout_ms\":800,\"target_latency_ms\":200,"
    "\"priority\":1,\"service\":\"one\",\"max_attempts\":2},"
    "{\"name\":\"g\",\"hostname\":\"a.example\",\"path_prefix\":\"/g/\","
    "\"route_type\":\"safe\",\"timeout_ms\":800,\"target_latency_ms\":120,"
    "\"priority\":1,\"gather\":[\"s0\",\"s1\",\"s2\",\"s3\"],"
    "\"max_attempts\":2,\"top_k\":5,\"min_coverage\":0.75}],"
    "\"services\":[{\"name\":\"one\",\"max_connections\":26},"
    "{\"name\":\"s0\",\"max_connections\":26},"
    "{\"name\":\"s1\",\"max_connections\":26},"
    "{\"name\":\"s2\",\"max_connections\":26},"
    "{\"name\":\"s3\",\"max_connections\":26}]}";

/* Creates a fleet whose services have two servers each. */
static forward_fleet *
create_fleet(unsigned hosts)
{
    static const char *const services[] = {"one", "s0", "s1", "s2", "s3"};
    forward_fleet *f = forward_fleet_new(hosts);

    for (unsigned i = 0; i < 5; i++) {
        for (unsigned k = 0; k < 2; k++) {
            char id[16];

            snprintf(id, sizeof(id), "%s-%u", services[i], k);
            forward_fleet_add_server(f, id, services[i], k ? "z2" : "z1");
        }
    }
    forward_fleet_install_routing(f, routing);
    return f;
}

/* Runs the fleet, whose hosts read the list of servers each second. */
static void
run_fleet(forward_fleet *f, unsigned seconds, double per_s, const char *path)
{
    for (unsigned i = 0; i < seconds; i++) {
        forward_fleet_run(f, SECOND, per_s, path);
        forward_fleet_update_lists(f);
    }
}

static void
set_links(forward_fleet *f, unsigned hosts, forward_sim_links links)
{
    for (unsigned i = 0; i < hosts; i++) {
        forward_fleet_set_links(f, i, links);
    }
}

/* Fails if callers of the hosts below `cut` are served worse than others. */
static void
check_service(const forward_fleet *f, unsigned cut, unsigned hosts,
              bbl_usec since)
{
    forward_fleet_summary lost;
    forward_fleet_summary others;

    forward_fleet_summarize_hosts(&lost, f, 0, cut - 1, since);
    forward_fleet_summarize_hosts(&others, f, cut, hosts - 1, since);
    ck_assert_uint_gt(lost.sent, 100);
    ck_assert_msg(lost.sent - lost.served <=
                      FAILED_MAX + lost.sent / FAILED_DIVISOR,
                  "%u of %u requests at hosts without links are served, %u of "
                  "%u at the others",
                  lost.served, lost.sent, others.served, others.sent);
    ck_assert_uint_le(others.sent - others.served,
                      FAILED_MAX + others.sent / FAILED_DIVISOR);
}

/* Cuts hosts off for 12 s and checks the service from NOTICE_US on. */
static void
play_cut(unsigned cut, unsigned hosts, double per_s, const char *path,
         forward_sim_links links)
{
    forward_fleet *f = create_fleet(hosts);
    bbl_usec cut_at;

    run_fleet(f, 2, per_s, path);
    cut_at = forward_fleet_get_time(f);
    set_links(f, cut, links);
    run_fleet(f, 12, per_s, path);
    check_service(f, cut, hosts, cut_at + NOTICE_US);
    set_links(f, cut, LINKS_OPEN);
    run_fleet(f, 3, per_s, path);
    cut_at = forward_fleet_get_time(f);
    run_fleet(f, 4, per_s, path);
    check_service(f, cut, hosts, cut_at);
    forward_fleet_free(f);
}

START_TEST(callers_are_served_while_links_hang)
{
    play_cut(3, 7, 100, "/g/1", LINKS_HANG);
    play_cut(3, 7, 100, "/one/1", LINKS_HANG);
}
END_TEST

START_TEST(callers_are_served_after_links_were_reset)
{
    play_cut(3, 7, 100, "/g/1", LINKS_RESET);
    play_cut(3, 7, 100, "/one/1", LINKS_RESET);
}
END_TEST

START_TEST(callers_are_served_while_new_connections_are_refused)
{
    play_cut(3, 7, 400, "/g/1", LINKS_REFUSE);
    play_cut(3, 7, 400, "/one/1", LINKS_REFUSE);
}
END_TEST

START_TEST(callers_are_served_while_most_of_many_hosts_lost_their_links)
{
    play_cut(36, 60, 100, "/g/1", LINKS_HANG);
    play_cut(36, 60, 400, "/g/1", LINKS_REFUSE);
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("lost links");
    TCase *t = tcase_create("lost links");

    tcase_set_timeout(t, 60);
    tcase_add_test(t, callers_are_served_while_links_hang);
    tcase_add_test(t, callers_are_served_after_links_were_reset);
    tcase_add_test(t, callers_are_served_while_new_connections_are_refused);
    tcase_add_test(
        t, callers_are_served_while_most_of_many_hosts_lost_their_links);
    suite_add_tcase(s, t);
    return run_suite(s);
}
