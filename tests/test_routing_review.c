/*
 * Tests of the review of a routing: each test guards against an entry without
 * effect, or a change, that an operator is not told of.
 */
#include <stdio.h>
#include <string.h>

#include "bbl/errors.h"
#include "model/routing_review.h"
#include "support/run.h"

#define FINDINGS_MAX 16

typedef struct {
    char texts[FINDINGS_MAX][512];
    size_t count;
} findings;

static void
on_finding(void *ctx, const char *text)
{
    findings *f = ctx;

    ck_assert_uint_lt(f->count, FINDINGS_MAX);
    snprintf(f->texts[f->count++], sizeof(f->texts[0]), "%s", text);
}

static bool
has_finding(const findings *f, const char *part)
{
    for (size_t i = 0; i < f->count; i++) {
        if (strstr(f->texts[i], part) != NULL) {
            return true;
        }
    }
    return false;
}

#define S(text) ((bbl_str){text, sizeof(text) - 1})

static const bbl_caller_limits sound_limits = {16384, 262144, 3000, 15000};

/* Creates a routing with one service and one route without findings. */
static bbl_routing *
create_routing(bbl_route **route)
{
    bbl_routing *r = bbl_routing_new(1);
    bbl_service s = {.name = S("s0"), .max_connections = 20};
    bbl_route q = {.name = S("r"),
                   .hostname = S("a.example"),
                   .path_prefix = S("/a/"),
                   .timeout_ms = 1000,
                   .target_latency_ms = 200,
                   .max_attempts = 1};

    bbl_routing_set_limits(r, &sound_limits);
    ck_assert_int_eq(bbl_routing_add_service(r, &s), 0);
    ck_assert_int_eq(bbl_routing_add_route(route, r, &q), 0);
    ck_assert_int_eq(bbl_routing_add_target(r, S("s0"), 1), 0);
    return r;
}

static findings
review(bbl_routing *r)
{
    findings f = {.count = 0};
    bbl_review_sink sink = {on_finding, &f};

    ck_assert_int_eq(bbl_routing_check(r), 0);
    ck_assert_uint_eq(bbl_routing_review(r, &sink), f.count);
    return f;
}

START_TEST(a_sound_routing_has_no_finding)
{
    bbl_route *route;
    bbl_routing *r = create_routing(&route);

    ck_assert_uint_eq(review(r).count, 0);
    bbl_routing_free(r);
}
END_TEST

START_TEST(routes_that_never_match_are_reported)
{
    bbl_route *route;
    bbl_routing *r = create_routing(&route);
    findings f;

    route->hostname = S("a.example:80");
    route->path_prefix = S("/a?b/");
    f = review(r);
    ck_assert_uint_eq(f.count, 2);
    ck_assert(has_finding(&f, "\"a.example:80\""));
    ck_assert(has_finding(&f, "\"/a?b/\""));
    bbl_routing_free(r);
}
END_TEST

START_TEST(values_without_effect_are_reported)
{
    bbl_route *route;
    bbl_routing *r = create_routing(&route);
    bbl_service unused = {.name = S("s1")};
    bbl_service weightless = {.name = S("s2")};
    findings f;

    ck_assert_int_eq(bbl_routing_add_service(r, &unused), 0);
    ck_assert_int_eq(bbl_routing_add_service(r, &weightless), 0);
    ck_assert_int_eq(bbl_routing_add_target(r, S("s2"), 0), 0);
    route->kind = BBL_ROUTE_SPLIT;
    route->is_public = true;
    f = review(r);
    ck_assert_uint_eq(f.count, 3);
    ck_assert(has_finding(&f, "service \"s1\": no route uses it"));
    ck_assert(has_finding(&f, "service \"s2\" has weight 0"));
    ck_assert(has_finding(&f, "public without effect"));
    bbl_routing_free(r);
}
END_TEST

START_TEST(limits_that_contradict_each_other_are_reported)
{
    bbl_route *route;
    bbl_routing *r = create_routing(&route);
    bbl_caller_limits l = sound_limits;
    bbl_organisation keyless = {.name = S("ant"), .burst = 5};
    bbl_organisation small = {.name = S("bee"), .rate_per_s = 3};
    findings f;

    route->target_latency_ms = 2000;
    l.idle_timeout_ms = 1000;
    bbl_routing_set_limits(r, &l);
    ck_assert_int_eq(bbl_routing_add_organisation(r, &keyless), 0);
    ck_assert_int_eq(bbl_routing_add_organisation(r, &small), 0);
    ck_assert_int_eq(bbl_routing_add_key(r, S("secret")), 0);
    f = review(r);
    ck_assert_uint_eq(f.count, 5);
    ck_assert(has_finding(&f, "target of 2000 ms is longer"));
    ck_assert(has_finding(&f, "idle for 1000 ms only"));
    ck_assert(has_finding(&f, "\"ant\": has no key"));
    ck_assert(has_finding(&f, "\"ant\": a burst without a rate"));
    ck_assert(has_finding(&f, "\"bee\": the burst of 0.00"));
    bbl_routing_free(r);
}
END_TEST

/* Differences are told by name, and keys are only counted. */
START_TEST(differences_are_reported)
{
    bbl_route *route;
    bbl_routing *a = create_routing(&route);
    bbl_routing *b;
    bbl_organisation ant = {.name = S("ant"), .rate_per_s = 3, .burst = 3};
    bbl_organisation bee = {.name = S("bee")};
    bbl_service s1 = {.name = S("s1")};
    findings f = {.count = 0};
    bbl_review_sink sink = {on_finding, &f};

    ck_assert_int_eq(bbl_routing_add_organisation(a, &ant), 0);
    ck_assert_int_eq(bbl_routing_add_key(a, S("secret-1")), 0);
    ck_assert_int_eq(bbl_routing_add_organisation(a, &bee), 0);
    b = create_routing(&route);
    route->timeout_ms = 500;
    ck_assert_int_eq(bbl_routing_add_service(b, &s1), 0);
    ant.rate_per_s = 1.5;
    ck_assert_int_eq(bbl_routing_add_organisation(b, &ant), 0);
    ck_assert_int_eq(bbl_routing_add_key(b, S("secret-2")), 0);
    ck_assert_int_eq(bbl_routing_add_key(b, S("secret-3")), 0);
    ck_assert_uint_eq(bbl_routing_compare(a, b, &sink), 5);
    ck_assert(has_finding(&f, "route \"r\": timeout in ms 500, was 1000"));
    ck_assert(has_finding(&f, "service \"s1\": added"));
    ck_assert(has_finding(&f, "\"ant\": 2 keys added, 1 removed"));
    ck_assert(has_finding(&f, "\"ant\": requests a second 1.5, was 3"));
    ck_assert(has_finding(&f, "organisation \"bee\": removed"));
    ck_assert(!has_finding(&f, "secret"));
    f.count = 0;
    ck_assert_uint_eq(bbl_routing_compare(b, b, &sink), 0);
    bbl_routing_free(a);
    bbl_routing_free(b);
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("routing_review");
    TCase *tc = tcase_create("findings");

    tcase_add_test(tc, a_sound_routing_has_no_finding);
    tcase_add_test(tc, routes_that_never_match_are_reported);
    tcase_add_test(tc, values_without_effect_are_reported);
    tcase_add_test(tc, limits_that_contradict_each_other_are_reported);
    tcase_add_test(tc, differences_are_reported);
    suite_add_tcase(s, tc);
    return run_suite(s);
}
