/*
 * Tests of the HTTP parser: framing, and the refusal of messages that two
 * implementations could interpret differently.
 */
#include <string.h>

#include "bbl/errors.h"
#include "net/http_message.h"
#include "support/run.h"

#define BODY_MAX 64

static bbl_str
str(const char *text)
{
    return (bbl_str){text, strlen(text)};
}

/*
 * Feeds a text in pieces of `step` bytes until the message is complete. Sets
 * `total` to the bytes used; returns the first error.
 */
static int
feed(bbl_http_message *m, const char *text, size_t step, size_t *total)
{
    size_t at = 0;
    size_t size = strlen(text);

    while (at < size && !m->done) {
        size_t n = size - at < step ? size - at : step;
        size_t used;
        int error = bbl_http_message_feed(m, (bbl_str){text + at, n}, &used);

        if (error != 0) {
            return error;
        }
        at += used;
        if (!m->done && used != n) {
            return BBL_EINVAL;
        }
    }
    *total = at;
    return 0;
}

#define GET "GET /x/y?q=1 HTTP/1.1\r\nHost: a.example\r\n"

static const struct {
    const char *text;
    const char *body;
    const char *remaining;
} valid_requests[] = {
    {GET "\r\n", "", ""},
    {"\r\n" GET "\r\n", "", ""},
    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabcGET", "abc",
     "GET"},
    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
     "2\r\nab\r\n1;x=y\r\nc\r\n0\r\n\r\nGET",
     "abc", "GET"},
};

START_TEST(requests_are_framed)
{
    static const size_t steps[] = {1, 2, 7, 1000};

    for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++) {
        bbl_http_message m;
        size_t used = 0;

        bbl_http_message_init(&m, true, BODY_MAX);
        ck_assert_msg(feed(&m, valid_requests[_i].text, steps[i], &used) == 0,
                      "%s", bbl_error_last());
        ck_assert(m.done);
        ck_assert_uint_eq(m.body.size, strlen(valid_requests[_i].body));
        ck_assert_str_eq(valid_requests[_i].text + used,
                         valid_requests[_i].remaining);
        ck_assert(m.keep_alive);
        bbl_http_message_free(&m);
    }
}
END_TEST

START_TEST(the_parts_of_a_request_are_parsed)
{
    bbl_http_message m;
    size_t used;

    bbl_http_message_init(&m, true, BODY_MAX);
    ck_assert_int_eq(feed(&m, GET "X-A:  one \r\nx-b:\r\n\r\n", 5, &used), 0);
    ck_assert(memcmp(bbl_http_message_target(&m).ptr, "/x/y?q=1", 8) == 0);
    ck_assert(memcmp(bbl_http_message_method(&m).ptr, "GET", 3) == 0);
    ck_assert_uint_eq(m.headers.size, 3);
    ck_assert_uint_eq(bbl_http_message_field(&m, "x-a").size, 3);
    ck_assert_uint_eq(bbl_http_message_field(&m, "X-B").size, 0);
    ck_assert_ptr_null(bbl_http_message_field(&m, "X-C").ptr);
    bbl_http_message_reset(&m);
    ck_assert_int_eq(feed(&m, GET "Connection: close\r\n\r\n", 9, &used), 0);
    ck_assert(m.done && !m.keep_alive);
    bbl_http_message_free(&m);
}
END_TEST

/* Malformed requests, and requests that allow request smuggling. */
static const char *const invalid_requests[] = {
    GET "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    GET "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
    GET "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    GET "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
    GET "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
        "0\r\n\r\n",
    GET "Transfer-Encoding: gzip\r\n\r\n",
    GET "Content-Length: x\r\n\r\n",
    GET "Content-Length: -1\r\n\r\n",
    "GET / HTTP/1.1\nHost: a\n\n",
    GET "X: y\nZ: w\r\n\r\n",
    GET "X: y\rZ: w\r\n\r\n",
    GET "X: y\r\n folded\r\n\r\n",
    GET "X : y\r\n\r\n",
    GET "Upgrade: h2c\r\nConnection: Upgrade\r\n\r\n",
    "\x16\x03\x01\x02",
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n",
};

START_TEST(ambiguous_requests_are_refused)
{
    bbl_http_message m;
    size_t used;

    bbl_http_message_init(&m, true, BODY_MAX);
    ck_assert_int_eq(feed(&m, invalid_requests[_i], 1000, &used),
                     BBL_EDAMAGED);
    bbl_http_message_free(&m);
}
END_TEST

/*
 * Trailer fields after a chunked body are dropped. Storing them behind the
 * head would move it in memory, under the header fields that point into it.
 */
START_TEST(trailer_fields_leave_the_head_intact)
{
    bbl_http_message m;
    bbl_buf text = BBL_BUF_INIT;
    bbl_str first;
    size_t used = 0;

    bbl_buf_append_cstr(&text, "HTTP/1.1 200 OK\r\nX-First: one\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n"
                               "2\r\nab\r\n0\r\n");
    for (int i = 0; i < 400; i++) {
        bbl_buf_append_cstr(&text, "X-First: ");
        for (int k = 0; k < 8; k++) {
            bbl_buf_append_cstr(&text, "trailer-");
        }
        bbl_buf_append_cstr(&text, "\r\n");
    }
    bbl_buf_append_cstr(&text, "\r\n");
    bbl_http_message_init(&m, false, BODY_MAX);
    ck_assert_msg(bbl_http_message_feed(&m, bbl_buf_str(&text), &used) == 0,
                  "%s", bbl_error_last());
    ck_assert(m.done);
    ck_assert_uint_eq(used, text.size);
    ck_assert_uint_eq(m.headers.size, 2);
    first = bbl_http_message_field(&m, "X-First");
    ck_assert_uint_eq(first.size, 3);
    ck_assert_int_eq(memcmp(first.ptr, "one", 3), 0);
    ck_assert_uint_lt(m.head_text.size, 200);
    bbl_http_message_free(&m);
    bbl_buf_free(&text);
}
END_TEST

START_TEST(a_large_body_is_refused)
{
    bbl_http_message m;
    bbl_buf text = BBL_BUF_INIT;
    size_t used;

    bbl_buf_printf(&text, GET "Content-Length: %d\r\n\r\n%0*d", BODY_MAX + 1,
                   BODY_MAX + 1, 7);
    bbl_http_message_init(&m, true, BODY_MAX);
    ck_assert_int_eq(feed(&m, text.ptr, 1000, &used), BBL_EDAMAGED);
    ck_assert(m.too_large);
    bbl_http_message_free(&m);
    bbl_buf_free(&text);
}
END_TEST

START_TEST(a_body_without_length_ends_with_the_connection)
{
    bbl_http_message m;
    size_t used;

    bbl_http_message_init(&m, false, BODY_MAX);
    ck_assert_int_eq(feed(&m, "HTTP/1.1 200 OK\r\n\r\nabc", 4, &used), 0);
    ck_assert(!m.done);
    ck_assert_int_eq(bbl_http_message_feed_eof(&m), 0);
    ck_assert_uint_eq(m.body.size, 3);
    bbl_http_message_reset(&m);
    feed(&m, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", 4, &used);
    ck_assert_int_eq(bbl_http_message_feed_eof(&m), BBL_EDAMAGED);
    bbl_http_message_reset(&m);
    feed(&m, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab", 4,
         &used);
    ck_assert_int_eq(bbl_http_message_feed_eof(&m), BBL_EDAMAGED);
    bbl_http_message_free(&m);
}
END_TEST

/* The first is what a server in trouble has sent. A status below 100 was taken
 * for that of an interim response, or relayed if the body had no length. */
static const char *const invalid_statuses[] = {
    "000", "0", "1", "20", "099", "600", "999", "1000", "-01", "2x0", "",
};

START_TEST(a_response_without_a_valid_status_is_refused)
{
    for (int length = 0; length < 2; length++) {
        bbl_http_message m;
        char text[128];
        size_t total;

        snprintf(text, sizeof(text), "HTTP/1.1 %s None\r\n%s\r\nab",
                 invalid_statuses[_i], length ? "Content-Length: 2\r\n" : "");
        bbl_http_message_init(&m, false, BODY_MAX);
        ck_assert_int_eq(feed(&m, text, strlen(text), &total), BBL_EDAMAGED);
        bbl_http_message_free(&m);
    }
}
END_TEST

START_TEST(the_range_of_statuses_is_accepted)
{
    static const unsigned statuses[] = {100, 200, 299, 418, 500, 599};

    for (size_t i = 0; i < ARRAY_SIZE(statuses); i++) {
        bbl_http_message m;
        char text[128];
        size_t total;

        snprintf(text, sizeof(text),
                 "HTTP/1.1 %u X\r\nContent-Length: 0\r\n\r\n", statuses[i]);
        bbl_http_message_init(&m, false, BODY_MAX);
        ck_assert_int_eq(feed(&m, text, strlen(text), &total), 0);
        ck_assert_uint_eq(bbl_http_message_status(&m), statuses[i]);
        bbl_http_message_free(&m);
    }
}
END_TEST

START_TEST(hop_by_hop_fields_are_recognised)
{
    bbl_http_message m;
    size_t used;

    bbl_http_message_init(&m, true, BODY_MAX);
    feed(&m, GET "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n\r\n", 1000,
         &used);
    ck_assert(bbl_http_is_hop_by_hop(&m, str("x-hop")));
    ck_assert(bbl_http_is_hop_by_hop(&m, str("Keep-Alive")));
    ck_assert(bbl_http_is_hop_by_hop(&m, str("transfer-encoding")));
    ck_assert(!bbl_http_is_hop_by_hop(&m, str("X-Ho")));
    ck_assert(!bbl_http_is_hop_by_hop(&m, str("Host")));
    bbl_http_message_free(&m);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("http_message");
    TCase *tc = tcase_create("http_message");

    tcase_add_loop_test(tc, requests_are_framed, 0,
                        ARRAY_SIZE(valid_requests));
    tcase_add_test(tc, the_parts_of_a_request_are_parsed);
    tcase_add_loop_test(tc, ambiguous_requests_are_refused, 0,
                        ARRAY_SIZE(invalid_requests));
    tcase_add_test(tc, trailer_fields_leave_the_head_intact);
    tcase_add_test(tc, a_large_body_is_refused);
    tcase_add_test(tc, a_body_without_length_ends_with_the_connection);
    tcase_add_loop_test(tc, a_response_without_a_valid_status_is_refused, 0,
                        ARRAY_SIZE(invalid_statuses));
    tcase_add_test(tc, the_range_of_statuses_is_accepted);
    tcase_add_test(tc, hop_by_hop_fields_are_recognised);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
