/* Tests of the routing: longest prefix match and validation. */
#include <string.h>

#include "bbl/errors.h"
#include "bbl/routing.h"
#include "support/run.h"

static bbl_str
str(const char *text)
{
    return (bbl_str){text, strlen(text)};
}

/* Returns a routing with the services alpha and beta and no route. */
static bbl_routing *
new_routing(void)
{
    bbl_routing *r = bbl_routing_new(3);
    bbl_service a = {.name = str("alpha"), .max_connections = 26};
    bbl_service b = {.name = str("beta"), .max_connections = 26};

    ck_assert_int_eq(bbl_routing_add_service(r, &a), 0);
    ck_assert_int_eq(bbl_routing_add_service(r, &b), 0);
    return r;
}

/* Returns a valid route without targets. */
static bbl_route
valid_route(const char *hostname, const char *prefix)
{
    bbl_route route = {.name = str("r"),
                       .hostname = str(hostname),
                       .path_prefix = str(prefix),
                       .timeout_ms = 100,
                       .max_attempts = 2};

    return route;
}

/* Adds a route with one target. */
static void
add_route(bbl_routing *r, const bbl_route *route, const char *service,
          uint32_t weight)
{
    bbl_route *added;

    ck_assert_int_eq(bbl_routing_add_route(&added, r, route), 0);
    ck_assert_int_eq(bbl_routing_add_target(r, str(service), weight), 0);
}

START_TEST(longest_prefix_matches)
{
    bbl_routing *r = new_routing();
    bbl_route shallow = valid_route("a.example", "/x/");
    bbl_route deep = valid_route("a.example", "/x/y/");
    const bbl_route *found;

    add_route(r, &shallow, "alpha", 1);
    add_route(r, &deep, "beta", 1);
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

START_TEST(duplicate_host_and_prefix_is_rejected)
{
    bbl_routing *r = new_routing();
    bbl_route a = valid_route("a.example", "/x/");
    bbl_route b = valid_route("A.EXAMPLE", "/x/");

    add_route(r, &a, "alpha", 1);
    add_route(r, &b, "beta", 1);
    ck_assert_int_eq(bbl_routing_check(r), BBL_EINVAL);
    bbl_routing_free(r);
}
END_TEST

START_TEST(unknown_service_is_rejected)
{
    bbl_routing *r = new_routing();
    bbl_route a = valid_route("a.example", "/x/");
    bbl_route *added;

    bbl_routing_add_route(&added, r, &a);
    ck_assert_int_eq(bbl_routing_add_target(r, str("gamma"), 1), BBL_EINVAL);
    ck_assert_ptr_nonnull(strstr(bbl_error_last(), "gamma"));
    bbl_routing_free(r);
}
END_TEST

START_TEST(duplicate_service_is_rejected)
{
    bbl_routing *r = new_routing();
    bbl_service again = {.name = str("alpha")};

    ck_assert_int_eq(bbl_routing_add_service(r, &again), BBL_EINVAL);
    bbl_routing_free(r);
}
END_TEST

/* Makes one field of a route invalid. */
static void
invalidate_field(bbl_route *route, int which)
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
        route->kind = BBL_ROUTE_SPLIT; /* its only target has weight 0 */
        break;
    default:
        route->kind = BBL_ROUTE_GATHER;
        route->min_coverage = 1.5;
        break;
    }
}

START_TEST(error_names_the_invalid_route)
{
    bbl_routing *r = new_routing();
    bbl_route route = valid_route("a.example", "/x/");

    invalidate_field(&route, _i);
    add_route(r, &route, "alpha", 0);
    ck_assert_int_eq(bbl_routing_check(r), BBL_EINVAL);
    ck_assert_ptr_nonnull(strstr(bbl_error_last(), "\"r\""));
    bbl_routing_free(r);
}
END_TEST

START_TEST(duplicate_shard_is_rejected)
{
    bbl_routing *r = new_routing();
    bbl_route route = valid_route("a.example", "/x/");

    route.kind = BBL_ROUTE_GATHER;
    add_route(r, &route, "alpha", 1);
    ck_assert_int_eq(bbl_routing_add_target(r, str("alpha"), 1), 0);
    ck_assert_int_eq(bbl_routing_check(r), BBL_EINVAL);
    bbl_routing_free(r);
}
END_TEST

/* Adds an organisation, which must be valid. */
static void
add_organisation(bbl_routing *r, const char *name)
{
    bbl_organisation o = {.name = str(name), .rate_per_s = 2, .burst = 5};

    ck_assert_int_eq(bbl_routing_add_organisation(r, &o), 0);
}

START_TEST(a_key_is_found_with_its_organisation)
{
    bbl_routing *r = new_routing();

    ck_assert(!bbl_routing_has_organisations(r));
    ck_assert_ptr_null(bbl_routing_find_key(r, str("k1")));
    add_organisation(r, "ant");
    ck_assert_int_eq(bbl_routing_add_key(r, str("k1")), 0);
    ck_assert_int_eq(bbl_routing_add_key(r, str("k2")), 0);
    add_organisation(r, "bee");
    ck_assert_int_eq(bbl_routing_add_key(r, str("k3")), 0);
    ck_assert(bbl_routing_has_organisations(r));
    ck_assert_uint_eq(bbl_routing_key_count(r), 3);
    ck_assert_ptr_eq(bbl_routing_find_key(r, str("k2")),
                     bbl_routing_organisation(r, 0));
    ck_assert_ptr_eq(bbl_routing_find_key(r, str("k3")),
                     bbl_routing_find_organisation(r, str("bee")));
    ck_assert_ptr_null(bbl_routing_find_key(r, str("K1")));
    ck_assert_ptr_null(bbl_routing_find_key(r, str("k")));
    ck_assert_ptr_null(bbl_routing_find_key(r, str("")));
    ck_assert_ptr_null(bbl_routing_find_organisation(r, str("Ant")));
    ck_assert_ptr_null(bbl_routing_organisation(r, 2));
    bbl_routing_free(r);
}
END_TEST

/* Two organisations with one key would each be billed for the other; the
 * message goes to a log, so it must not contain the key. */
START_TEST(a_key_of_two_organisations_is_rejected_without_naming_it)
{
    bbl_routing *r = new_routing();

    add_organisation(r, "ant");
    ck_assert_int_eq(bbl_routing_add_key(r, str("hidden")), 0);
    ck_assert_int_eq(bbl_routing_add_key(r, str("hidden")), 0);
    add_organisation(r, "bee");
    ck_assert_int_eq(bbl_routing_add_key(r, str("hidden")), BBL_EINVAL);
    ck_assert_ptr_nonnull(strstr(bbl_error_last(), "\"ant\""));
    ck_assert_ptr_nonnull(strstr(bbl_error_last(), "\"bee\""));
    ck_assert_ptr_null(strstr(bbl_error_last(), "hidden"));
    bbl_routing_free(r);
}
END_TEST

START_TEST(empty_and_oversized_keys_are_rejected)
{
    bbl_routing *r = new_routing();
    char text[BBL_ORGANISATION_KEY_MAX + 1];

    memset(text, 'k', sizeof(text));
    add_organisation(r, "ant");
    ck_assert_int_eq(bbl_routing_add_key(r, str("")), BBL_EINVAL);
    ck_assert_ptr_nonnull(strstr(bbl_error_last(), "\"ant\""));
    ck_assert_int_eq(bbl_routing_add_key(r, (bbl_str){text, sizeof(text)}),
                     BBL_EINVAL);
    ck_assert_int_eq(bbl_routing_add_key(r, (bbl_str){text, sizeof(text) - 1}),
                     0);
    bbl_routing_free(r);
}
END_TEST

static const char *const bad_names[] = {"",       " ant", "ant ",
                                        "a\r\nb", "a\tb", "ant"};

/* A name is the value of a header field, which it must not be able to end. */
START_TEST(a_bad_name_of_an_organisation_is_rejected)
{
    bbl_routing *r = new_routing();
    bbl_organisation o = {.name = str(bad_names[_i])};

    add_organisation(r, "ant");
    ck_assert_int_eq(bbl_routing_add_organisation(r, &o), BBL_EINVAL);
    bbl_routing_free(r);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("routing");
    TCase *tc = tcase_create("routing");

    tcase_add_test(tc, longest_prefix_matches);
    tcase_add_test(tc, duplicate_host_and_prefix_is_rejected);
    tcase_add_test(tc, unknown_service_is_rejected);
    tcase_add_test(tc, duplicate_service_is_rejected);
    tcase_add_loop_test(tc, error_names_the_invalid_route, 0, 7);
    tcase_add_test(tc, duplicate_shard_is_rejected);
    tcase_add_test(tc, a_key_is_found_with_its_organisation);
    tcase_add_test(tc,
                   a_key_of_two_organisations_is_rejected_without_naming_it);
    tcase_add_test(tc, empty_and_oversized_keys_are_rejected);
    tcase_add_loop_test(tc, a_bad_name_of_an_organisation_is_rejected, 0,
                        sizeof(bad_names) / sizeof(bad_names[0]));
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
