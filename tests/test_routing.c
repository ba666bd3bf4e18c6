/* The routing: longest prefixes, and what makes a version invalid. */
#include <string.h>

#include "bbl/errors.h"
#include "bbl/routing.h"
#include "support/run.h"

static bbl_str
str(const char *text)
{
    return (bbl_str){text, strlen(text)};
}

/* A routing with two services and no route. */
static bbl_routing *
two_services(void)
{
    bbl_routing *r = bbl_routing_new(3);
    bbl_service a = {.name = str("alpha"), .max_connections = 26};
    bbl_service b = {.name = str("beta"), .max_connections = 26};

    ck_assert_int_eq(bbl_routing_add_service(r, &a), 0);
    ck_assert_int_eq(bbl_routing_add_service(r, &b), 0);
    return r;
}

static bbl_route
plain(const char *hostname, const char *prefix)
{
    bbl_route route = {.name = str("r"),
                       .hostname = str(hostname),
                       .path_prefix = str(prefix),
                       .timeout_ms = 100,
                       .max_attempts = 2};

    return route;
}

static void
add(bbl_routing *r, const bbl_route *route, const char *service,
    uint32_t weight)
{
    bbl_route *added;

    ck_assert_int_eq(bbl_routing_add_route(&added, r, route), 0);
    ck_assert_int_eq(bbl_routing_add_target(r, str(service), weight), 0);
}

START_TEST(the_longest_prefix_wins)
{
    bbl_routing *r = two_services();
    bbl_route shallow = plain("a.example", "/x/");
    bbl_route deep = plain("a.example", "/x/y/");
    const bbl_route *found;

    add(r, &shallow, "alpha", 1);
    add(r, &deep, "beta", 1);
    ck_assert_int_eq(bbl_routing_check(r), 0);
    found = bbl_routing_match(r, str("a.example"), str("/x/y/z"));
    ck_assert_uint_eq(found->targets[0].service_index, 1);
    found = bbl_routing_match(r, str("A.Example"), str("/x/yy/z"));
    ck_assert_uint_eq(found->targets[0].service_index, 0);
    ck_assert_uint_eq(bbl_routing_route_index(r, found), 0);
    ck_assert_ptr_null(bbl_routing_match(r, str("a.example"), str("/x")));
    ck_assert_ptr_null(bbl_routing_match(r, str("b.example"), str("/x/y/")));
    ck_assert_ptr_null(bbl_routing_match(r, str("a.example"), str("/")));
    bbl_routing_free(r);
}
END_TEST

START_TEST(two_routes_cannot_share_a_place)
{
    bbl_routing *r = two_services();
    bbl_route a = plain("a.example", "/x/");
    bbl_route b = plain("A.EXAMPLE", "/x/");

    add(r, &a, "alpha", 1);
    add(r, &b, "beta", 1);
    ck_assert_int_eq(bbl_routing_check(r), BBL_EINVAL);
    bbl_routing_free(r);
}
END_TEST

START_TEST(an_unknown_service_is_refused)
{
    bbl_routing *r = two_services();
    bbl_route a = plain("a.example", "/x/");
    bbl_route *added;

    bbl_routing_add_route(&added, r, &a);
    ck_assert_int_eq(bbl_routing_add_target(r, str("gamma"), 1), BBL_EINVAL);
    ck_assert_ptr_nonnull(strstr(bbl_error_last(), "gamma"));
    bbl_routing_free(r);
}
END_TEST

START_TEST(a_service_is_named_once)
{
    bbl_routing *r = two_services();
    bbl_service again = {.name = str("alpha")};

    ck_assert_int_eq(bbl_routing_add_service(r, &again), BBL_EINVAL);
    bbl_routing_free(r);
}
END_TEST

/* One field that makes a route invalid. */
static void
spoil(bbl_route *route, int which)
{
    switch (which) {
    case 0:
        route->timeout_ms = 0;
        break;
    case 1:
        route->path_prefix = str("x/");
        break;
    case 2:
        route->path_prefix = str("/x");
        break;
    case 3:
        route->hostname = str("");
        break;
    case 4:
        route->max_attempts = 0;
        break;
    case 5:
        route->kind = BBL_ROUTE_SPLIT; /* with its weight 0 */
        break;
    default:
        route->kind = BBL_ROUTE_GATHER;
        route->min_coverage = 1.5;
        break;
    }
}

START_TEST(a_bad_route_is_named)
{
    bbl_routing *r = two_services();
    bbl_route route = plain("a.example", "/x/");

    spoil(&route, _i);
    add(r, &route, "alpha", 0);
    ck_assert_int_eq(bbl_routing_check(r), BBL_EINVAL);
    ck_assert_ptr_nonnull(strstr(bbl_error_last(), "\"r\""));
    bbl_routing_free(r);
}
END_TEST

START_TEST(shards_are_distinct)
{
    bbl_routing *r = two_services();
    bbl_route route = plain("a.example", "/x/");

    route.kind = BBL_ROUTE_GATHER;
    add(r, &route, "alpha", 1);
    ck_assert_int_eq(bbl_routing_add_target(r, str("alpha"), 1), 0);
    ck_assert_int_eq(bbl_routing_check(r), BBL_EINVAL);
    bbl_routing_free(r);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("routing");
    TCase *tc = tcase_create("routing");

    tcase_add_test(tc, the_longest_prefix_wins);
    tcase_add_test(tc, two_routes_cannot_share_a_place);
    tcase_add_test(tc, an_unknown_service_is_refused);
    tcase_add_test(tc, a_service_is_named_once);
    tcase_add_loop_test(tc, a_bad_route_is_named, 0, 7);
    tcase_add_test(tc, shards_are_distinct);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
