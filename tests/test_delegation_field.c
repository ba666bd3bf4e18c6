/* Tests the header fields of delegated queries and their answers. */
#include <stdio.h>
#include <string.h>

#include "net/delegation_field.h"
#include "support/run.h"

#define BODY_MAX 64

/* Parses a message with one header line. */
static void
parse(bbl_http_message *m, bool request, const char *line)
{
    char text[512];
    size_t used;
    int n = snprintf(text, sizeof(text),
                     "%s\r\nHost: a\r\n%sContent-Length: "
                     "0\r\n\r\n",
                     request ? "GET / HTTP/1.1" : "HTTP/1.1 200 OK", line);

    bbl_http_message_init(m, request, BODY_MAX);
    ck_assert_int_eq(
        bbl_http_message_feed(m, (bbl_str){text, (size_t)n}, &used), 0);
    ck_assert(m->done);
}

static const bbl_str names[] = {
    {"", 0},
    {"ant", 3},
    {"a service=x org=y", 17},
};

START_TEST(a_delegated_query_is_read_as_it_was_written)
{
    bbl_delegated in = {167837735,      12345,     6789,    1,   1ull << 60,
                        {"shard-7", 7}, names[_i], _i == 1, 1234};
    bbl_delegated out;
    bbl_buf line = BBL_BUF_INIT;
    bbl_http_message m;

    bbl_delegated_append(&line, &in);
    parse(&m, true, line.ptr);
    ck_assert_int_eq(bbl_delegated_read(&out, &m), 0);
    ck_assert_uint_eq(out.host, in.host);
    ck_assert_uint_eq(out.elapsed, in.elapsed);
    ck_assert_uint_eq(out.round_trip, in.round_trip);
    ck_assert_uint_eq(out.attempts, in.attempts);
    ck_assert_uint_eq(out.routing_version, in.routing_version);
    ck_assert(bbl_str_equal(out.service, in.service));
    ck_assert(bbl_str_equal(out.organisation, in.organisation));
    ck_assert_int_eq(out.admitted, in.admitted);
    ck_assert_uint_eq(out.admitted_for, in.admitted ? in.admitted_for : 0);
    bbl_http_message_free(&m);
    bbl_buf_free(&line);
}
END_TEST

/*
 * Hosts that know no organisations run a query only if "routing" is the
 * version of their routing. They must not run one without its organisation;
 * without one the field must be as they know it.
 */
START_TEST(earlier_builds_refuse_a_query_of_an_organisation)
{
    bbl_delegated d = {1, 2, 3, 0, 7, {"s", 1}, {"ant", 3}, false, 0};
    bbl_buf line = BBL_BUF_INIT;

    bbl_delegated_append(&line, &d);
    ck_assert_str_eq(line.ptr, BBL_DELEGATED_FIELD
                     ": host=1 elapsed_us=2 round_trip_us=3 attempts=0 "
                     "routing=0 org_routing=7 service=s org=ant\r\n");
    bbl_buf_clear(&line);
    d.organisation.size = 0;
    bbl_delegated_append(&line, &d);
    ck_assert_str_eq(line.ptr, BBL_DELEGATED_FIELD
                     ": host=1 elapsed_us=2 round_trip_us=3 attempts=0 "
                     "routing=7 service=s\r\n");
    bbl_buf_free(&line);
}
END_TEST

START_TEST(an_outcome_is_read_as_it_was_written)
{
    for (int reason = 0; reason < BBL_FORWARD_REASONS; reason++) {
        bbl_delegation_outcome in = {(bbl_forward_reason)reason, BBL_REACH_FEW,
                                     2, reason % 2 ? UINT64_MAX : 0};
        bbl_delegation_outcome out;
        bbl_buf line = BBL_BUF_INIT;
        bbl_http_message m;

        bbl_delegation_outcome_append(&line, &in);
        parse(&m, false, line.ptr);
        ck_assert_int_eq(bbl_delegation_outcome_read(&out, &m), 0);
        ck_assert_int_eq((int)out.reason, reason);
        ck_assert_int_eq((int)out.reach, (int)BBL_REACH_FEW);
        ck_assert_uint_eq(out.attempts, 2);
        ck_assert_uint_eq(out.leaving, in.leaving);
        bbl_http_message_free(&m);
        bbl_buf_free(&line);
    }
}
END_TEST

static const char *const invalid[] = {
    "",
    BBL_DELEGATED_FIELD ": \r\n",
    BBL_DELEGATED_FIELD ": host=1\r\n",
    BBL_DELEGATED_FIELD ": host=1 elapsed_us=1 round_trip_us=1 attempts=0\r\n",
    BBL_DELEGATED_FIELD
    ": host=0 elapsed_us=1 round_trip_us=1 attempts=0 routing=1\r\n",
    BBL_DELEGATED_FIELD
    ": host=1 elapsed_us=-1 round_trip_us=1 attempts=0 routing=1\r\n",
    BBL_DELEGATED_FIELD
    ": host=1 elapsed_us=1 round_trip_us=1 attempts= routing=1\r\n",
    BBL_DELEGATED_FIELD
    ": host=1 elapsed_us=99999999999999999999999 round_trip_us=1 "
    "attempts=0\r\n",
    BBL_DELEGATED_FIELD
    ": host=1 elapsed_us=1 round_trip_us=1 attempts=0 routing=0 org=ant\r\n",
    BBL_OUTCOME_FIELD ": reason=none reach=most attempts=0\r\n",
    BBL_OUTCOME_FIELD ": reason=ok reach=all attempts=0\r\n",
    BBL_OUTCOME_FIELD ": reason=ok reach=most\r\n",
    BBL_OUTCOME_FIELD ": reasonok reach\r\n",
    BBL_OUTCOME_FIELD
    ": reason=ok reach=most attempts=0 leaving=18446744073709551616\r\n",
};

START_TEST(malformed_fields_are_refused)
{
    bbl_delegation_outcome outcome;
    bbl_delegated delegated;
    bbl_http_message m;

    parse(&m, true, invalid[_i]);
    ck_assert_int_ne(bbl_delegated_read(&delegated, &m), 0);
    bbl_http_message_free(&m);
    parse(&m, false, invalid[_i]);
    ck_assert_int_ne(bbl_delegation_outcome_read(&outcome, &m), 0);
    bbl_http_message_free(&m);
}
END_TEST

START_TEST(the_fields_are_not_forwarded)
{
    bbl_str own = {"baobablatch-delegated", 21};
    bbl_str other = {"Baobablatch-Delegated-By", 24};

    ck_assert(bbl_delegation_is_field(own));
    ck_assert(!bbl_delegation_is_field(other));
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("delegation field");
    TCase *t = tcase_create("delegation field");

    tcase_add_loop_test(t, a_delegated_query_is_read_as_it_was_written, 0,
                        ARRAY_SIZE(names));
    tcase_add_test(t, earlier_builds_refuse_a_query_of_an_organisation);
    tcase_add_test(t, an_outcome_is_read_as_it_was_written);
    tcase_add_loop_test(t, malformed_fields_are_refused, 0,
                        ARRAY_SIZE(invalid));
    tcase_add_test(t, the_fields_are_not_forwarded);
    suite_add_tcase(s, t);
    return run_suite(s);
}
