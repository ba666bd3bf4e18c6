/* Tests the decision on whose behalf a request is run. */
#include <string.h>

#include "forward/caller_identity.h"
#include "support/run.h"

static bbl_str
str(const char *text)
{
    return (bbl_str){text, strlen(text)};
}

static void
add_route(bbl_routing *r, const char *prefix, uint32_t priority,
          bool is_public)
{
    bbl_route route = {.name = str("r"),
                       .hostname = str("a.example"),
                       .path_prefix = str(prefix),
                       .priority = priority,
                       .is_public = is_public,
                       .timeout_ms = 100,
                       .max_attempts = 2};
    bbl_route *added;

    ck_assert_int_eq(bbl_routing_add_route(&added, r, &route), 0);
    ck_assert_int_eq(bbl_routing_add_target(r, str("one"), 1), 0);
}

static void
add_organisation(bbl_routing *r, const char *name, const char *key,
                 int priority)
{
    bbl_organisation o = {.name = str(name),
                          .has_priority = priority >= 0,
                          .priority = priority >= 0 ? (uint32_t)priority : 0};

    ck_assert_int_eq(bbl_routing_add_organisation(r, &o), 0);
    ck_assert_int_eq(bbl_routing_add_key(r, str(key)), 0);
}

/* Returns a routing with a route that needs a key, and a public one. */
static bbl_routing *
new_routing(void)
{
    bbl_routing *r = bbl_routing_new(3);
    bbl_service one = {.name = str("one")};

    ck_assert_int_eq(bbl_routing_add_service(r, &one), 0);
    add_route(r, "/x/", 2, false);
    add_route(r, "/p/", 4, true);
    return r;
}

/* Returns a request with one key, on the route that needs it. */
static bbl_caller_identity_input
with_key(const bbl_routing *r, const char *key)
{
    bbl_caller_identity_input in = {.routing = r,
                                    .route = bbl_routing_route(r, 0),
                                    .key = str(key),
                                    .key_count = 1,
                                    .confirmed = true};

    return in;
}

static char oversized[BBL_ORGANISATION_KEY_MAX + 2];

static const struct {
    const char *key;
    unsigned count;
} bad_keys[] = {
    {"unknown", 1},
    {"K-ANT", 1},
    {"", 0},
    {"", 1},
    {"k-ant", 2},
    {"", 2},
    {"k-ant,k-ant", 1},
    {"k-ant, k-bee", 1},
    {"k-an", 1},
    {"k-ant ", 1},
    {oversized, 1},
};

/* A request that runs without a valid key is run for nobody; one that is
 * denied although a newer routing allows it is lost for its caller. */
START_TEST(a_bad_key_is_unauthorized_or_unconfirmed)
{
    bbl_routing *r = new_routing();
    const bbl_organisation *o;
    bbl_caller_identity_input in;

    memset(oversized, 'k', sizeof(oversized) - 1);
    add_organisation(r, "ant", "k-ant", -1);
    in = with_key(r, bad_keys[_i].key);
    in.key_count = bad_keys[_i].count;
    ck_assert_int_eq(bbl_caller_identify(&o, &in), BBL_CALLER_UNAUTHORIZED);
    ck_assert_ptr_null(o);
    in.confirmed = false;
    ck_assert_int_eq(bbl_caller_identify(&o, &in), BBL_CALLER_UNCONFIRMED);
    in.route = bbl_routing_route(r, 1);
    ck_assert_int_eq(bbl_caller_identify(&o, &in), BBL_CALLER_ACCEPTED);
    ck_assert_ptr_null(o);
    bbl_routing_free(r);
}
END_TEST

START_TEST(a_known_key_is_accepted)
{
    bbl_routing *r = new_routing();
    const bbl_organisation *o;
    bbl_caller_identity_input in;

    add_organisation(r, "ant", "k-ant", -1);
    add_organisation(r, "bee", "k-bee", -1);
    in = with_key(r, "k-bee");
    ck_assert_int_eq(bbl_caller_identify(&o, &in), BBL_CALLER_ACCEPTED);
    ck_assert_ptr_eq(o, bbl_routing_organisation(r, 1));
    in.confirmed = false; /* a disconnected host goes on serving it */
    ck_assert_int_eq(bbl_caller_identify(&o, &in), BBL_CALLER_ACCEPTED);
    ck_assert_ptr_eq(o, bbl_routing_organisation(r, 1));
    bbl_routing_free(r);
}
END_TEST

START_TEST(without_organisations_no_key_is_needed)
{
    bbl_routing *r = new_routing();
    const bbl_organisation *o;
    bbl_caller_identity_input in = with_key(r, "k-ant");

    ck_assert_int_eq(bbl_caller_identify(&o, &in), BBL_CALLER_ACCEPTED);
    ck_assert_ptr_null(o);
    in.key_count = 0;
    in.confirmed = false;
    ck_assert_int_eq(bbl_caller_identify(&o, &in), BBL_CALLER_ACCEPTED);
    bbl_routing_free(r);
}
END_TEST

/* A delegated query has no key. One of a host that knows no organisations has
 * its caller's key, and cannot decode that it is unauthorized. */
START_TEST(a_delegated_query_names_its_organisation)
{
    bbl_routing *r = new_routing();
    const bbl_organisation *o;
    bbl_caller_identity_input in;

    add_organisation(r, "ant", "k-ant", -1);
    in = with_key(r, "");
    in.key_count = 0;
    in.delegated = true;
    ck_assert_int_eq(bbl_caller_identify(&o, &in), BBL_CALLER_UNCONFIRMED);
    in.delegated_organisation = str("bee");
    ck_assert_int_eq(bbl_caller_identify(&o, &in), BBL_CALLER_UNCONFIRMED);
    in.delegated_organisation = str("ant");
    ck_assert_int_eq(bbl_caller_identify(&o, &in), BBL_CALLER_ACCEPTED);
    ck_assert_ptr_eq(o, bbl_routing_organisation(r, 0));
    in = with_key(r, "k-ant");
    in.delegated = true;
    ck_assert_int_eq(bbl_caller_identify(&o, &in), BBL_CALLER_ACCEPTED);
    ck_assert_ptr_eq(o, bbl_routing_organisation(r, 0));
    /* A caller of this host cannot name its organisation. */
    in = with_key(r, "unknown");
    in.delegated_organisation = str("ant");
    ck_assert_int_eq(bbl_caller_identify(&o, &in), BBL_CALLER_UNAUTHORIZED);
    bbl_routing_free(r);
}
END_TEST

/* The most urgent queries are exempt from the load limit; with a priority that
 * no query has, none would be. */
START_TEST(the_most_urgent_priority_is_one_that_a_query_can_have)
{
    bbl_routing *r = new_routing();

    ck_assert_uint_eq(bbl_caller_get_most_urgent_priority(r), 2);
    add_organisation(r, "ant", "k-ant", 5);
    /* All organisations have one, and the public route has 4. */
    ck_assert_uint_eq(bbl_caller_get_most_urgent_priority(r), 4);
    add_organisation(r, "bee", "k-bee", 3);
    ck_assert_uint_eq(bbl_caller_get_most_urgent_priority(r), 3);
    add_organisation(r, "cat", "k-cat", -1);
    ck_assert_uint_eq(bbl_caller_get_most_urgent_priority(r), 2);
    add_organisation(r, "dog", "k-dog", 0);
    ck_assert_uint_eq(bbl_caller_get_most_urgent_priority(r), 0);
    bbl_routing_free(r);
    r = bbl_routing_new(3);
    ck_assert_uint_eq(bbl_caller_get_most_urgent_priority(r), UINT32_MAX);
    bbl_routing_free(r);
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("caller identity");
    TCase *t = tcase_create("caller identity");

    tcase_add_loop_test(t, a_bad_key_is_unauthorized_or_unconfirmed, 0,
                        ARRAY_SIZE(bad_keys));
    tcase_add_test(t, a_known_key_is_accepted);
    tcase_add_test(t, without_organisations_no_key_is_needed);
    tcase_add_test(t, a_delegated_query_names_its_organisation);
    tcase_add_test(t, the_most_urgent_priority_is_one_that_a_query_can_have);
    suite_add_tcase(s, t);
    return run_suite(s);
}
