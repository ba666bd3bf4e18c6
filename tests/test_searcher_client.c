/* Tests the client of the searchers over TCP connections. */
#include <stdio.h>
#include <string.h>

#include "net/http_client.h"
#include "net/searcher_client.h"
#include "support/run.h"
#include "support/tcp.h"
#include "util/clock.h"

static void
on_complete(void *ctx, uint64_t exchange, const bbl_exchange_result *result)
{
    (void)ctx;
    (void)exchange;
    (void)result;
    ck_abort_msg("no exchange was started");
}

static void
on_info(void *ctx, uint32_t searcher, const bbl_searcher_info *info)
{
    unsigned *report_count = ctx;

    (void)searcher;
    (void)info;
    (*report_count)++;
}

/*
 * Guards against a leak of a poll that is still running when both clients are
 * freed; AddressSanitizer reports the leak.
 */
START_TEST(running_poll_is_freed_without_callback)
{
    unsigned report_count = 0;
    bbl_searcher_port port = {on_complete, on_info, &report_count};
    bbl_searcher_client *client;
    bbl_loop *loop;
    bbl_http_client *http;
    bblx_address address;
    int listener = tcp_listen(&address);

    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    ck_assert_int_eq(bbl_http_client_open(&http, loop, 0), 0);
    bbl_searcher_client_new(&client, http, &port, BBL_USEC_PER_SEC);
    bbl_searcher_client_poll_info(client, 1, address);
    tcp_run_loop(loop, 20);
    ck_assert_uint_eq(bbl_searcher_client_get_counters(client)->info_requests,
                      1);
    bbl_http_client_free(http);
    bbl_searcher_client_free(client);
    ck_assert_uint_eq(report_count, 0);
    bbl_loop_free(loop);
    close(listener);
}
END_TEST

static void
on_response(void *ctx, const bbl_http_response *r)
{
    bbl_http_end *end = ctx;

    *end = r->end;
}

/*
 * Runs a request to a server that sends `size` bytes and then closes the
 * connection, or leaves it open, until the request has ended or for 300 ms.
 */
static void
run_request(bbl_http_request *r, const bool *ended, const char *response,
            size_t size, bool closes)
{
    bbl_loop *loop;
    bbl_http_client *http;
    bblx_address address;
    int listener = tcp_listen(&address);
    char url[64];
    void *handle;
    int fd = -1;

    snprintf(url, sizeof(url), "http://127.0.0.1:%u/", address.port);
    r->url = url;
    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    ck_assert_int_eq(bbl_http_client_open(&http, loop, 0), 0);
    ck_assert_int_eq(bbl_http_request_start(&handle, http, r), 0);
    for (int i = 0; i < 300 && !*ended; i++) {
        bbl_http_client_tick(http);
        bbl_loop_run_once(loop, 1000);
        if (fd < 0 && (fd = accept(listener, NULL, NULL)) >= 0) {
            ck_assert_ptr_nonnull(tcp_receive(loop, fd));
            ck_assert_int_eq(send(fd, response, size, MSG_NOSIGNAL),
                             (ssize_t)size);
            if (closes) {
                shutdown(fd, SHUT_RDWR);
            }
        }
    }
    bbl_http_client_free(http);
    bbl_loop_free(loop);
    close(fd);
    close(listener);
}

typedef struct {
    bool ended;
    bbl_http_end end;
    long status;
} recorded_response;

static void
record_response(void *ctx, const bbl_http_response *r)
{
    *(recorded_response *)ctx = (recorded_response){true, r->end, r->status};
}

/* Returns how a request ends if the server sends `size` bytes and closes. */
static bbl_http_end
get_end_of_response(const char *response, size_t size)
{
    recorded_response recorded = {false, BBL_HTTP_ABORTED, 0};
    bbl_http_request r = {.timeout = BBL_USEC_PER_SEC,
                          .response_max = 4096,
                          .done = record_response,
                          .ctx = &recorded};

    run_request(&r, &recorded.ended, response, size, true);
    return recorded.end;
}

/*
 * A searcher responds before it has read a long body, keeps the connection and
 * reads on later. The next request must not take the place of the rest.
 */
START_TEST(a_request_never_follows_an_incomplete_one)
{
    enum { BODY_BYTES = 16 << 20 };
    static const char *const responses[] = {
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nno",
    };
    static char body[BODY_BYTES];
    bbl_http_end end = BBL_HTTP_ABORTED;
    bbl_http_end next_end = BBL_HTTP_ABORTED;
    bbl_http_request r = {.timeout = BBL_USEC_PER_SEC, .response_max = 4096};
    bbl_loop *loop;
    bbl_http_client *http;
    bblx_address address;
    int listener = tcp_listen(&address);
    char url[64];
    void *handle;
    const char *text = NULL;
    size_t received = 0; /* bytes of the body */
    int fd = -1;

    memset(body, 'b', sizeof(body));
    snprintf(url, sizeof(url), "http://127.0.0.1:%u/", address.port);
    r.url = url;
    r.post = true;
    r.body = (bbl_str){body, sizeof(body)};
    r.done = on_response;
    r.ctx = &end;
    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    ck_assert_int_eq(bbl_http_client_open(&http, loop, 0), 0);
    ck_assert_int_eq(bbl_http_request_start(&handle, http, &r), 0);
    for (int i = 0; i < 500 && end == BBL_HTTP_ABORTED; i++) {
        bbl_http_client_tick(http);
        bbl_loop_run_once(loop, 1000);
        if (fd < 0 && (fd = accept(listener, NULL, NULL)) >= 0) {
            text = tcp_receive(loop, fd);
            ck_assert_ptr_nonnull(text);
            received = strlen(strstr(text, "\r\n\r\n") + 4);
            tcp_send(fd, responses[_i]);
        }
    }
    r.body = (bbl_str){"next", 4};
    r.ctx = &next_end;
    ck_assert_int_eq(bbl_http_request_start(&handle, http, &r), 0);
    for (int i = 0; i < 2000; i++) {
        bbl_http_client_tick(http);
        text = tcp_receive(loop, fd);
        if (text == NULL || text[0] == '\0') {
            break;
        }
        ck_assert_uint_eq(strspn(text, "b"), strlen(text));
        received += strlen(text);
    }
    /* The connection has ended, or the whole body was received. */
    ck_assert(text != NULL || received == BODY_BYTES);
    bbl_http_client_free(http);
    bbl_loop_free(loop);
    close(fd);
    close(listener);
}
END_TEST

static void
keep_response(void *ctx, const bbl_http_response *r)
{
    char *text = ctx;

    snprintf(text, 64, "%d %.*s", (int)r->end, (int)r->body.size,
             r->body.ptr ? r->body.ptr : "");
}

/*
 * A searcher sends a second copy of a response, late, on a connection that is
 * in use again. It must not be taken for the response to the next request.
 */
START_TEST(a_late_copy_is_not_the_response_to_the_next_request)
{
#define RESPONSE(exchange, body)                                              \
    "HTTP/1.1 200 OK\r\nX-Exchange: " exchange                                \
    "\r\nContent-Length: 3\r\n\r\n" body
    static const char *const answers[][2] = {
        {RESPONSE("a1", "old"), ""},
        {RESPONSE("a1", "old"), RESPONSE("a2", "new")},
    };
    char text[64] = "";
    bbl_http_request r = {.timeout = 300 * BBL_USEC_PER_MS,
                          .response_max = 4096,
                          .done = keep_response,
                          .ctx = text};
    bbl_loop *loop;
    bbl_http_client *http;
    bblx_address address;
    int listener = tcp_listen(&address);
    char url[64];
    void *handle;
    int fd = -1;

    snprintf(url, sizeof(url), "http://127.0.0.1:%u/", address.port);
    r.url = url;
    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    ck_assert_int_eq(bbl_http_client_open(&http, loop, 0), 0);
    for (int request = 0; request < 2; request++) {
        bool sent = false;

        r.exchange = request == 0 ? 0xa1 : 0xa2;
        text[0] = '\0';
        ck_assert_int_eq(bbl_http_request_start(&handle, http, &r), 0);
        for (int i = 0; i < 500 && text[0] == '\0'; i++) {
            char head[1024];

            bbl_http_client_tick(http);
            bbl_loop_run_once(loop, 1000);
            if (fd < 0) {
                fd = accept4(listener, NULL, NULL, SOCK_NONBLOCK);
            }
            if (fd >= 0 && !sent && recv(fd, head, sizeof(head), 0) > 0) {
                sent = true;
                tcp_send(fd, request == 0 ? RESPONSE("a1", "old")
                                          : answers[_i][0]);
                if (request == 1) {
                    tcp_send(fd, answers[_i][1]);
                }
            }
        }
        if (request == 0) {
            ck_assert_str_eq(text, "0 old");
        }
    }
    ck_assert_ptr_null(strstr(text, "old"));
    ck_assert_uint_eq(bbl_http_client_connect_count(http), 1);
    bbl_http_client_free(http);
    bbl_loop_free(loop);
    close(fd);
    close(listener);
}
END_TEST

START_TEST(an_answer_that_ends_early_is_never_complete)
{
    /* `tail` bytes at the end may be missing: the head and the content are
     * whole without them. */
    static const struct {
        const char *text;
        size_t tail;
    } responses[] = {
        {"HTTP/1.1 200 OK\r\nX-Boot: 1\r\nContent-Length: 2\r\n\r\nok", 0},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\nok\r\n0\r\n\r\n",
         1},
        {"HTTP/1.1 100 Continue\r\n\r\n"
         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
         0},
    };

    for (size_t i = 0; i < sizeof(responses) / sizeof(responses[0]); i++) {
        size_t size = strlen(responses[i].text);

        for (size_t cut = 0; cut < size - responses[i].tail; cut++) {
            ck_assert_msg(get_end_of_response(responses[i].text, cut) !=
                              BBL_HTTP_DONE,
                          "response %zu is complete after %zu of %zu bytes", i,
                          cut, size);
        }
        ck_assert_int_eq(get_end_of_response(responses[i].text, size),
                         BBL_HTTP_DONE);
    }
}
END_TEST

/* ---- connections kept open ---- */

#define SEARCHER 1u
#define CONNECTIONS_MAX 64
/* The searchers of the end-to-end bench accept 25 connections, and a former
 * owner that is stopped does not close its own. */
#define OWNER_CONNECTIONS_MAX 12

/* A searcher on a listening socket, and the client under test. */
typedef struct {
    bbl_loop *loop;
    bbl_http_client *http;
    bbl_searcher_client *client;
    bblx_address address;
    int listener;
    int connections[CONNECTIONS_MAX]; /* open ones */
    size_t connection_count;
    bool silent; /* does not respond to searches */
    uint64_t exchange_count;
    unsigned ended;
    bbl_exchange_outcome outcome; /* of the last exchange */
} connection_test;

static void
on_end(void *ctx, uint64_t exchange, const bbl_exchange_result *result)
{
    connection_test *t = ctx;

    (void)exchange;
    t->ended++;
    t->outcome = result->outcome;
}

static void
on_any_info(void *ctx, uint32_t searcher, const bbl_searcher_info *info)
{
    (void)ctx;
    (void)searcher;
    (void)info;
}

static void
open_connection_test(connection_test *t)
{
    bbl_searcher_port port = {on_end, on_any_info, t};

    memset(t, 0, sizeof(*t));
    t->listener = tcp_listen(&t->address);
    ck_assert_int_eq(bbl_loop_open(&t->loop), 0);
    ck_assert_int_eq(bbl_http_client_open(&t->http, t->loop, 0), 0);
    bbl_searcher_client_new(&t->client, t->http, &port, 0);
}

static void
close_connection_test(connection_test *t)
{
    bbl_http_client_free(t->http);
    bbl_searcher_client_free(t->client);
    bbl_loop_free(t->loop);
    for (size_t i = 0; i < t->connection_count; i++) {
        close(t->connections[i]);
    }
    close(t->listener);
}

/* Responds to what has arrived, and forgets connections that were closed. */
static void
serve(connection_test *t)
{
    char request[4096];
    int fd;

    while ((fd = accept4(t->listener, NULL, NULL, SOCK_NONBLOCK)) >= 0) {
        ck_assert_uint_lt(t->connection_count, CONNECTIONS_MAX);
        t->connections[t->connection_count++] = fd;
    }
    for (size_t i = t->connection_count; i > 0; i--) {
        ssize_t n;

        fd = t->connections[i - 1];
        n = recv(fd, request, sizeof(request) - 1, 0);
        if (n == 0 || (n < 0 && errno != EAGAIN)) {
            close(fd);
            t->connections[i - 1] = t->connections[--t->connection_count];
        }
        else if (n > 0) {
            request[n] = '\0';
            if (!t->silent || strstr(request, "/search") == NULL) {
                tcp_send(fd, "HTTP/1.1 200 OK\r\nX-Boot: 1\r\n"
                             "Content-Length: 2\r\n\r\nok");
            }
        }
    }
}

/* Runs the client and the searcher for about `ms` milliseconds. */
static void
run_connection_test(connection_test *t, int ms)
{
    for (int i = 0; i < ms; i++) {
        bbl_http_client_tick(t->http);
        bbl_loop_run_once(t->loop, BBL_USEC_PER_MS);
        serve(t);
    }
}

static void
start_search(connection_test *t, bbl_usec timeout)
{
    bbl_usec now = bbl_clock_now();
    bbl_exchange e = {.exchange_id = ++t->exchange_count,
                      .searcher = SEARCHER,
                      .address = t->address,
                      .deadline = now + timeout};

    bbl_searcher_client_start_exchange(t->client, now, &e);
}

/* Runs until all exchanges have ended. */
static void
finish_searches(connection_test *t)
{
    for (int i = 0; i < 2000 && t->ended < t->exchange_count; i++) {
        run_connection_test(t, 1);
    }
    ck_assert_uint_eq(t->ended, t->exchange_count);
}

/*
 * Guards against exchanges that each open and keep a connection after one
 * without a response: 16 of one owner, with those of the next one more than
 * the searcher accepts.
 */
START_TEST(after_a_silence_no_connections_pile_up)
{
    connection_test t;

    open_connection_test(&t);
    t.silent = true;
    start_search(&t, 20 * BBL_USEC_PER_MS);
    finish_searches(&t);
    ck_assert_int_eq(t.outcome, BBL_EXCHANGE_TIMED_OUT);
    t.silent = false;
    for (int i = 0; i < 20; i++) {
        start_search(&t, BBL_USEC_PER_SEC);
        finish_searches(&t);
        ck_assert_int_eq(t.outcome, BBL_EXCHANGE_OK);
    }
    ck_assert_uint_le(t.connection_count, OWNER_CONNECTIONS_MAX);
    close_connection_test(&t);
}
END_TEST

/* Guards against an exchange on a kept connection that may be dead. */
START_TEST(a_silence_closes_the_kept_connections)
{
    connection_test t;

    open_connection_test(&t);
    for (int i = 0; i < 3; i++) {
        start_search(&t, BBL_USEC_PER_SEC);
    }
    finish_searches(&t);
    ck_assert_uint_eq(t.connection_count, 3);
    t.silent = true;
    start_search(&t, 20 * BBL_USEC_PER_MS);
    finish_searches(&t);
    run_connection_test(&t, 5);
    ck_assert_uint_eq(t.connection_count, 0);
    close_connection_test(&t);
}
END_TEST

/* Guards against cancels that each leave a connection in the pool. */
START_TEST(cancels_leave_no_connections_behind)
{
    connection_test t;

    open_connection_test(&t);
    for (int i = 0; i < 20; i++) {
        start_search(&t, BBL_USEC_PER_SEC);
        bbl_searcher_client_cancel_exchange(t.client, bbl_clock_now(),
                                            t.exchange_count);
        finish_searches(&t);
        run_connection_test(&t, 5);
    }
    ck_assert_uint_eq(bbl_searcher_client_get_counters(t.client)->cancels, 20);
    ck_assert_uint_le(t.connection_count, OWNER_CONNECTIONS_MAX);
    close_connection_test(&t);
}
END_TEST

/*
 * Guards against a former owner that keeps its connections beside those of the
 * next owner. An exchange that still runs is not cut off.
 */
START_TEST(connections_to_a_searcher_of_another_owner_are_closed)
{
    connection_test t;
    bbl_usec now;

    open_connection_test(&t);
    bbl_searcher_client_preconnect(t.client, SEARCHER, t.address, 3);
    run_connection_test(&t, 20);
    ck_assert_uint_eq(t.connection_count, 3);
    now = bbl_clock_now();
    bbl_searcher_client_tick(t.client, now + BBL_USEC_PER_SEC / 2);
    run_connection_test(&t, 5);
    ck_assert_uint_eq(t.connection_count, 3);
    t.silent = true;
    start_search(&t, BBL_USEC_PER_SEC);
    run_connection_test(&t, 20);
    bbl_searcher_client_tick(t.client, now + 2 * BBL_USEC_PER_SEC);
    run_connection_test(&t, 5);
    ck_assert_uint_eq(t.connection_count, 1);
    ck_assert_uint_eq(t.ended, 0);
    close_connection_test(&t);
}
END_TEST

/* A response with a status that is none must not pass for a success, nor
 * hold the request until its time-out. */
START_TEST(a_response_without_a_valid_status_is_a_failure)
{
    static const char *const responses[] = {
        "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 099 None\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 999 None\r\nContent-Length: 2\r\n\r\nok",
    };
    recorded_response recorded = {false, BBL_HTTP_ABORTED, 0};
    bbl_http_request r = {.timeout = 30 * BBL_USEC_PER_SEC,
                          .response_max = 4096,
                          .done = record_response,
                          .ctx = &recorded};

    run_request(&r, &recorded.ended, responses[_i], strlen(responses[_i]),
                false);
    ck_assert(recorded.ended);
    ck_assert_msg(recorded.end != BBL_HTTP_DONE || recorded.status < 100 ||
                      recorded.status > 599,
                  "status %ld", recorded.status);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("searcher_client");
    TCase *tc = tcase_create("searcher_client");

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, running_poll_is_freed_without_callback);
    tcase_add_test(tc, an_answer_that_ends_early_is_never_complete);
    tcase_add_loop_test(
        tc, a_late_copy_is_not_the_response_to_the_next_request, 0, 2);
    tcase_add_test(tc, after_a_silence_no_connections_pile_up);
    tcase_add_test(tc, a_silence_closes_the_kept_connections);
    tcase_add_test(tc, cancels_leave_no_connections_behind);
    tcase_add_test(tc, connections_to_a_searcher_of_another_owner_are_closed);
    tcase_add_loop_test(tc, a_request_never_follows_an_incomplete_one, 0, 2);
    tcase_add_loop_test(tc, a_response_without_a_valid_status_is_a_failure, 0,
                        3);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
