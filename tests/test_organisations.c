/*
 * Tests how the forwarder treats the keys and priorities of organisations, at
 * one simulated host and between hosts.
 */
#include <stdio.h>
#include <string.h>

#include "support/forward_fleet.h"
#include "support/run.h"

#define MS BBL_USEC_PER_MS

/*
 * /g/ gathers s1 and s2, /one/ (idempotent) and /once/ (not idempotent) go to
 * the service one. The routes have priority 2.
 */
#define ROUTE(name, prefix, kind, rest)                                       \
    "{\"name\":\"" name                                                       \
    "\",\"hostname\":\"a.example\",\"path_prefix\":\"" prefix                 \
    "\",\"route_type\":\"" kind "\",\"timeout_ms\":1000,"                     \
    "\"target_latency_ms\":200,\"priority\":2,\"max_attempts\":2," rest "}"
#define SERVICE(name) "{\"name\":\"" name "\",\"max_connections\":26}"
#define TENANT(name, key, rest)                                               \
    "{\"name\":\"" name "\",\"api_keys\":[\"" key "\"]" rest "}"

#define GATHER "\"gather\":[\"s1\",\"s2\"],\"top_k\":5,\"min_coverage\":1.0"
#define ONE "\"service\":\"one\""

#define ROUTE_ONE ROUTE("o", "/one/", "safe", ONE)
#define ROUTE_ONCE ROUTE("u", "/once/", "unsafe", ONE)
#define ROUTES                                                                \
    ROUTE("g", "/g/", "safe", GATHER)                                         \
    "," ROUTE_ONE "," ROUTE_ONCE
/* The same route with a shard that has no servers. */
#define ROUTE_WAITING                                                         \
    ROUTE("g", "/g/", "safe",                                                 \
          "\"gather\":[\"s1\",\"none\"],\"min_coverage\":1.0")

#define SERVICES                                                              \
    SERVICE("s1") "," SERVICE("s2") "," SERVICE("one") "," SERVICE("none")

#define ANT TENANT("ant", "k-ant", "")
#define BEE TENANT("bee", "k-bee", "")
#define URGENT TENANT("urgent", "k-urgent", ",\"priority\":0")
#define BATCH TENANT("batch", "k-batch", ",\"priority\":9")

#define DOCUMENT(version, list, tenants)                                      \
    "{\"version\":" version ",\"routes\":[" list "],\"services\":[" SERVICES  \
    "],\"tenants\":[" tenants "]}"

static const char waiting[] = DOCUMENT("2", ROUTE_WAITING "," ROUTE_ONE, BEE);

/* Returns a document with these organisations; overwritten by the next. */
static const char *
document(unsigned version, const char *tenants)
{
    static char text[4096];

    snprintf(text, sizeof(text), DOCUMENT("%u", ROUTES, "%s"), version,
             tenants);
    return text;
}

typedef struct {
    forward_sim *sim;
    forward_sim_server *one;
} fixture;

static void
init_fixture(fixture *f, const char *tenants)
{
    f->sim = forward_sim_new(7);
    forward_sim_add_server(f->sim, "i1", "s1", "z1");
    forward_sim_add_server(f->sim, "i2", "s2", "z1");
    f->one = forward_sim_add_server(f->sim, "o1", "one", "z1");
    forward_sim_install_routing(f->sim, document(1, tenants));
}

/* Sends a request with a key, or with none; returns it when it is answered. */
static const forward_sim_call *
send_with_key(fixture *f, const char *path, const char *key)
{
    unsigned n;

    forward_sim_set_key(f->sim, key, key != NULL);
    n = forward_sim_send_request(f->sim, path, 800);
    forward_sim_run(f->sim, 100 * MS);
    ck_assert(forward_sim_get_call(f->sim, n)->answered);
    return forward_sim_get_call(f->sim, n);
}

START_TEST(keys_change_with_versions_and_open_queries_run_on)
{
    fixture f;
    const forward_sim_call *c;
    unsigned n;

    init_fixture(&f, ANT);
    f.one->work = 150 * MS;
    forward_sim_set_key(f.sim, "k-ant", 1);
    n = forward_sim_send_request(f.sim, "/once/x", 800);
    forward_sim_run(f.sim, 10 * MS);
    forward_sim_install_routing(f.sim, document(2, BEE));
    forward_sim_run(f.sim, 60 * MS);
    ck_assert_uint_eq(forward_sim_get_routing_version(f.sim), 2);
    f.one->work = 10 * MS;
    ck_assert_uint_eq(send_with_key(&f, "/g/x", "k-ant")->status, 401);
    ck_assert_uint_eq(send_with_key(&f, "/g/x", "k-bee")->status, 200);
    c = forward_sim_get_call(f.sim, n);
    ck_assert_uint_eq(c->status, 200);
    ck_assert_str_eq(c->organisation, "ant");
    forward_sim_free(f.sim);
}
END_TEST

/* A waiting routing may know the key; the active one still decides on what it
 * knows. */
START_TEST(an_unknown_key_is_unconfirmed_while_a_newer_routing_waits)
{
    fixture f;

    init_fixture(&f, ANT);
    /* A shard without servers, for which the new version waits. */
    forward_sim_install_routing(f.sim, waiting);
    ck_assert_uint_eq(send_with_key(&f, "/one/x", "k-bee")->status, 503);
    ck_assert_uint_eq(send_with_key(&f, "/one/x", "k-ant")->status, 200);
    forward_sim_run(f.sim, 2000 * MS);
    ck_assert_uint_eq(send_with_key(&f, "/one/x", "k-bee")->status, 200);
    ck_assert_uint_eq(send_with_key(&f, "/one/x", "k-ant")->status, 401);
    forward_sim_free(f.sim);
}
END_TEST

/* ---- priorities ---- */

/* The server has one connection, so that a second request waits. */
START_TEST(the_request_of_an_urgent_organisation_goes_first)
{
    fixture f;
    unsigned batch;
    unsigned urgent;

    init_fixture(&f, URGENT "," BATCH);
    f.one->connections = 1;
    f.one->work = 15 * MS;
    send_with_key(&f, "/one/x", "k-batch");
    forward_sim_set_key(f.sim, "k-batch", 1);
    forward_sim_send_request(f.sim, "/once/x", 800);
    batch = forward_sim_send_request(f.sim, "/once/x", 800);
    forward_sim_set_key(f.sim, "k-urgent", 1);
    urgent = forward_sim_send_request(f.sim, "/once/x", 800);
    forward_sim_run(f.sim, 200 * MS);
    ck_assert_uint_eq(forward_sim_get_call(f.sim, batch)->status, 200);
    ck_assert_uint_eq(forward_sim_get_call(f.sim, urgent)->status, 200);
    ck_assert_uint_lt(forward_sim_get_call(f.sim, urgent)->answered_at,
                      forward_sim_get_call(f.sim, batch)->answered_at);
    forward_sim_free(f.sim);
}
END_TEST

static void
on_request_permits(void *ctx, forward_sim *sim,
                   const bbl_permit_request *request)
{
    unsigned *urgent = ctx;

    (void)sim;
    *urgent = request->urgent ? 2 : 1;
}

START_TEST(permits_are_requested_with_the_priority_of_the_organisation)
{
    fixture f;
    unsigned urgent = 0;
    forward_sim_control control = {.request_permits = on_request_permits,
                                   .ctx = &urgent};

    init_fixture(&f, URGENT "," BATCH);
    forward_sim_set_control(f.sim, &control);
    f.one->rate_limit = 1;
    send_with_key(&f, "/one/x", "k-batch"); /* the response states the limit */
    forward_sim_set_key(f.sim, "k-batch", 1);
    forward_sim_send_request(f.sim, "/one/x", 800);
    ck_assert_uint_eq(urgent, 1);
    forward_sim_run(f.sim, 1000 * MS);
    forward_sim_set_key(f.sim, "k-urgent", 1);
    forward_sim_send_request(f.sim, "/one/x", 800);
    ck_assert_uint_eq(urgent, 2);
    forward_sim_free(f.sim);
}
END_TEST

/* Sends requests with a key in each of two organisations; returns how many of
 * the second were refused by the load limit, less those of the first. */
static int
compare_overload(fixture *f, const char *first, const char *second)
{
    int refused[2] = {0, 0};

    for (int i = 0; i < 1600; i++) {
        unsigned n;

        forward_sim_set_key(f->sim, i % 2 ? second : first, 1);
        n = forward_sim_send_request(f->sim, "/one/x", 800);
        forward_sim_run(f->sim, 3 * MS);
        refused[i % 2] +=
            forward_sim_get_call(f->sim, n)->reason == BBL_FORWARD_OVERLOAD;
    }
    ck_assert_int_gt(refused[1], 0);
    return refused[1] - refused[0];
}

/* The share of the limit that is kept for urgent requests is for those of
 * urgent organisations, although all use one route. */
START_TEST(the_load_limit_keeps_room_for_an_urgent_organisation)
{
    fixture f;

    init_fixture(&f, URGENT "," BATCH);
    for (int i = 0; i < 500; i++) {
        send_with_key(&f, "/one/x", i % 2 ? "k-batch" : "k-urgent");
    }
    f.one->work = 60 * MS; /* as if its queue were full */
    ck_assert_int_gt(compare_overload(&f, "k-urgent", "k-batch"), 100);
    forward_sim_free(f.sim);
}
END_TEST

/* ---- delegation ---- */

/* Returns a fleet of two hosts; the first has no links to the servers. */
static forward_fleet *
new_stranded_fleet(const char *tenants)
{
    forward_fleet *f = forward_fleet_new(2);

    forward_fleet_add_server(f, "i1", "s1", "z1");
    forward_fleet_add_server(f, "i2", "s2", "z1");
    forward_fleet_add_server(f, "o1", "one", "z1");
    forward_fleet_install_routing(f, document(1, tenants));
    forward_sim_set_key(forward_fleet_get_host(f, 0), "k-ant", 1);
    forward_sim_set_key(forward_fleet_get_host(f, 1), "k-ant", 1);
    forward_fleet_run(f, 1000 * MS, 100, "/g/x");
    forward_fleet_set_links(f, 0, LINKS_RESET);
    forward_fleet_run(f, 2000 * MS, 100, "/g/x");
    /* The key must not reach the other host. */
    forward_sim_set_key(forward_fleet_get_host(f, 1), NULL, 0);
    return f;
}

START_TEST(a_delegated_query_runs_for_its_organisation)
{
    forward_fleet *f = new_stranded_fleet(ANT "," BEE);
    forward_sim *host = forward_fleet_get_host(f, 0);
    unsigned before = forward_fleet_count_delegations(f);
    unsigned n;

    forward_sim_set_key(host, "k-bee", 1);
    n = forward_sim_send_request(host, "/g/x", 800);
    forward_fleet_run(f, 200 * MS, 0, "/g/x");
    ck_assert_uint_eq(forward_sim_get_call(host, n)->status, 200);
    ck_assert_uint_eq(forward_fleet_count_delegations(f), before + 1);
    ck_assert_str_eq(forward_sim_get_call(host, n)->organisation, "bee");
    forward_sim_set_key(host, "unknown", 1);
    n = forward_sim_send_request(host, "/g/x", 800);
    forward_fleet_run(f, 200 * MS, 0, "/g/x");
    ck_assert_uint_eq(forward_sim_get_call(host, n)->status, 401);
    ck_assert_uint_eq(forward_fleet_count_delegations(f), before + 1);
    forward_fleet_free(f);
}
END_TEST

/* A host of an earlier build delegates a query with the key of its caller, and
 * takes an answer that it cannot decode for a run that broke. */
START_TEST(a_delegated_query_without_an_organisation_needs_a_key)
{
    bbl_delegated delegated = {
        .host = 9, .elapsed = MS, .round_trip = MS, .routing_version = 1};
    const forward_sim_call *c;
    fixture f;
    unsigned n;

    init_fixture(&f, ANT);
    n = forward_sim_send_delegated(f.sim, "/one/x", 500, &delegated);
    c = forward_sim_get_call(f.sim, n);
    ck_assert_uint_eq(c->status, 503);
    ck_assert_int_eq(c->reason, BBL_FORWARD_UNCONFIRMED);
    forward_sim_set_key(f.sim, "k-ant", 1);
    n = forward_sim_send_delegated(f.sim, "/one/x", 500, &delegated);
    forward_sim_run(f.sim, 100 * MS);
    ck_assert_uint_eq(forward_sim_get_call(f.sim, n)->status, 200);
    ck_assert_str_eq(forward_sim_get_call(f.sim, n)->organisation, "ant");
    forward_sim_free(f.sim);
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("organisations");
    TCase *t = tcase_create("organisations");

    tcase_add_test(t, keys_change_with_versions_and_open_queries_run_on);
    tcase_add_test(t,
                   an_unknown_key_is_unconfirmed_while_a_newer_routing_waits);
    tcase_add_test(t, the_request_of_an_urgent_organisation_goes_first);
    tcase_add_test(
        t, permits_are_requested_with_the_priority_of_the_organisation);
    tcase_add_test(t, the_load_limit_keeps_room_for_an_urgent_organisation);
    tcase_add_test(t, a_delegated_query_runs_for_its_organisation);
    tcase_add_test(t, a_delegated_query_without_an_organisation_needs_a_key);
    suite_add_tcase(s, t);
    return run_suite(s);
}
