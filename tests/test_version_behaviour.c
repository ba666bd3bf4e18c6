/*
 * test_version_behaviour.c - tests of the behaviours of simulated versions.
 * They guard against an experiment whose bad version is good, or the reverse,
 * and so would prove nothing about a rollout.
 */
#include <check.h>
#include <string.h>

#include "bbl/errors.h"
#include "support/run.h"
#include "version_behaviour.h"

static bbl_rng rng = {1};

static bbl_str
path(const char *text)
{
    return (bbl_str){text, strlen(text)};
}

/* Starts and ends a request, and returns whether it is answered well. */
static bool
is_good(version_behaviour *b, bbl_usec now, const char *target)
{
    version_effect effect =
        version_behaviour_start(b, &rng, now, path(target));

    version_behaviour_end(b);
    return effect == VERSION_ANSWERS;
}

START_TEST(a_behaviour_that_is_incomplete_or_unknown_is_refused)
{
    static const char *const texts[] = {
        "",
        "v2",
        "v2=",
        "=good",
        "v2=worse",
        "v2=good,share=50",
        "v2=bad-at-once,share=0",
        "v2=bad-at-once,share=101",
        "v2=bad-at-once,share=5x",
        "v2=bad-at-once,after-s=2",
        "v2=bad-late",
        "v2=bad-late,after-s",
        "v2=bad-route,path=",
        "v2=bad-load,share=20",
        "a-version-whose-name-is-too-long-for-it=good",
    };
    version_behaviour b;

    for (int i = 0; i < ARRAY_SIZE(texts); i++) {
        ck_assert_msg(version_behaviour_parse(&b, texts[i]) == BBL_EINVAL,
                      "\"%s\" is accepted", texts[i]);
    }
}
END_TEST

START_TEST(a_late_version_is_good_until_its_time_after_the_first_request)
{
    version_behaviour b;

    ck_assert_int_eq(
        version_behaviour_parse(&b, "v2=bad-late,after-s=2,share=100"), 0);
    ck_assert(is_good(&b, 50 * BBL_USEC_PER_SEC, "/"));
    ck_assert(is_good(&b, 52 * BBL_USEC_PER_SEC - 1, "/"));
    ck_assert(!is_good(&b, 52 * BBL_USEC_PER_SEC, "/"));
}
END_TEST

START_TEST(a_version_that_is_bad_on_one_route_is_good_on_others)
{
    version_behaviour b;

    ck_assert_int_eq(
        version_behaviour_parse(&b, "v2=bad-route,path=/two/,share=100"), 0);
    ck_assert(is_good(&b, 1, "/one/x"));
    ck_assert(is_good(&b, 1, "/two"));
    ck_assert(!is_good(&b, 1, "/two/x"));
}
END_TEST

START_TEST(a_version_that_is_bad_under_load_counts_requests_in_progress)
{
    version_behaviour b;

    ck_assert_int_eq(
        version_behaviour_parse(&b, "v2=bad-load,requests=2,share=100"), 0);
    ck_assert(is_good(&b, 1, "/"));
    ck_assert_int_eq(version_behaviour_start(&b, &rng, 1, path("/")),
                     VERSION_ANSWERS);
    ck_assert(!is_good(&b, 1, "/"));
    version_behaviour_end(&b);
    ck_assert(is_good(&b, 1, "/"));
}
END_TEST

START_TEST(a_share_of_the_answers_is_bad)
{
    version_behaviour b;
    unsigned slow = 0;

    ck_assert_int_eq(
        version_behaviour_parse(&b, "v2=bad-at-once,share=30,slow=4"), 0);
    for (int i = 0; i < 10000; i++) {
        version_effect effect =
            version_behaviour_start(&b, &rng, 1, path("/"));

        ck_assert_int_ne(effect, VERSION_FAILS);
        slow += effect == VERSION_IS_SLOW;
    }
    /* Five standard deviations around the mean of 3,000. */
    ck_assert_uint_ge(slow, 2770);
    ck_assert_uint_le(slow, 3230);
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("version_behaviour");
    TCase *t = tcase_create("version_behaviour");

    tcase_add_test(t, a_behaviour_that_is_incomplete_or_unknown_is_refused);
    tcase_add_test(
        t, a_late_version_is_good_until_its_time_after_the_first_request);
    tcase_add_test(t, a_version_that_is_bad_on_one_route_is_good_on_others);
    tcase_add_test(
        t, a_version_that_is_bad_under_load_counts_requests_in_progress);
    tcase_add_test(t, a_share_of_the_answers_is_bad);
    suite_add_tcase(s, t);
    return run_suite(s);
}
