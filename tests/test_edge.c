/* Tests of the HTTP server for callers, over loopback sockets. */
#include <errno.h>
#include <string.h>

#include "net/edge.h"
#include "support/heap.h"
#include "support/run.h"
#include "support/tcp.h"
#include "util/clock.h"

typedef struct {
    bbl_loop *loop;
    bbl_edge *edge;
    bblx_address address;
    bbl_edge_call *call; /* not answered yet */
    unsigned requests;
    unsigned disconnects;
    bool answer_later;
} fixture;

static void
on_request(void *ctx, bbl_edge_call *call)
{
    fixture *f = ctx;

    f->requests++;
    if (f->answer_later) {
        f->call = call;
        return;
    }
    bbl_edge_respond_text(call, 200, "X-Path: yes\r\n", "fine");
}

static void
on_disconnect(void *ctx, bbl_edge_call *call)
{
    fixture *f = ctx;

    ck_assert_ptr_eq(f->call, call);
    f->call = NULL;
    f->disconnects++;
}

static void
open_fixture(fixture *f)
{
    bbl_edge_handler handler = {on_request, on_disconnect, f};
    bbl_caller_limits limits = {1000, 100, 100, 300};

    memset(f, 0, sizeof(*f));
    f->address = tcp_free_address();
    ck_assert_int_eq(bbl_loop_open(&f->loop), 0);
    ck_assert_int_eq(bbl_edge_open(&f->edge, f->loop, f->address, &handler),
                     0);
    bbl_edge_set_limits(f->edge, &limits);
}

static void
close_fixture(fixture *f)
{
    bbl_edge_free(f->edge);
    bbl_loop_free(f->loop);
}

#define GET "GET /x HTTP/1.1\r\nHost: a\r\n\r\n"

START_TEST(a_connection_is_reused)
{
    fixture f;
    int fd;

    open_fixture(&f);
    fd = tcp_connect(f.address);
    for (int i = 0; i < 3; i++) {
        const char *text;

        tcp_send(fd, GET);
        text = tcp_receive(f.loop, fd);
        ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 200 OK\r\n"));
        ck_assert_ptr_nonnull(strstr(text, "Content-Length: 4\r\n"));
        ck_assert_ptr_null(strstr(text, "Connection: close"));
        ck_assert_ptr_nonnull(strstr(text, "\r\n\r\nfine"));
    }
    ck_assert_uint_eq(bbl_edge_connection_count(f.edge), 1);
    close(fd);
    close_fixture(&f);
}
END_TEST

/* Requests that are refused before their body has been received. */
static const char *const early_refusals[] = {
    "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n",
    "POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
    "Content-Length: 5000\r\n\r\n",
    "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "1000\r\n",
    "POST /x HTTP/1.1\r\nContent-Length: 50\r\n\r\n",
};

/* The rest of the body looks like a request and must not be handled as one. */
START_TEST(the_rest_of_a_refused_body_is_not_a_request)
{
    fixture f;
    int fd;
    const char *text;

    open_fixture(&f);
    fd = tcp_connect(f.address);
    tcp_send(fd, early_refusals[_i]);
    for (int i = 0; i < 10; i++) {
        send(fd, GET, strlen(GET), MSG_NOSIGNAL);
        tcp_run_loop(f.loop, 5);
    }
    text = tcp_receive(f.loop, fd);
    ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 4"));
    ck_assert_ptr_nonnull(strstr(text, "Connection: close\r\n"));
    ck_assert_uint_eq(f.requests, 0);
    ck_assert_str_eq(tcp_receive(f.loop, fd), "");
    close(fd);
    close_fixture(&f);
}
END_TEST

#define RESPONSE_BYTES (4u << 20) /* more than the sockets take */

/* What many callers do that makes the host hold memory for each of them. */
static const struct {
    size_t body; /* bytes of the body that are sent, of 100,000 */
} memory_uses[] = {
    {90000}, /* a request that does not end */
    {100000} /* a whole one, whose long response is not read */
};

static void
answer_long(void *ctx, bbl_edge_call *call)
{
    static char text[RESPONSE_BYTES];
    fixture *f = ctx;
    bbl_edge_response r = {200, {"", 0}, {text, sizeof(text)}, false};

    f->requests++;
    bbl_edge_respond(call, &r);
}

/*
 * Many callers send long requests without their end, or do not read long
 * responses. What is allocated for them stays within the account, and another
 * caller is served.
 */
START_TEST(memory_for_many_callers_is_bounded)
{
    enum { CALLERS = 300, BODY_BYTES = 100000, LIMIT = 16 << 20 };
    static char body[BODY_BYTES];
    bbl_caller_limits limits = {1000, BODY_BYTES, 60000, 60000};
    bbl_edge_handler handler = {answer_long, on_disconnect, NULL};
    bbl_memory_account *account = bbl_memory_account_new(LIMIT);
    int small = 4096;
    int fds[CALLERS];
    fixture f;
    size_t before;
    size_t most = 0;
    const char *text;
    int fd;

    memset(&f, 0, sizeof(f));
    handler.ctx = &f;
    f.address = tcp_free_address();
    ck_assert_int_eq(bbl_loop_open(&f.loop), 0);
    ck_assert_int_eq(bbl_edge_open(&f.edge, f.loop, f.address, &handler), 0);
    bbl_edge_set_limits(f.edge, &limits);
    bbl_edge_set_memory_account(f.edge, account);
    before = heap_get_allocated();
    for (int i = 0; i < CALLERS; i++) {
        size_t sent = 0;

        fds[i] = tcp_connect(f.address);
        setsockopt(fds[i], SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
        tcp_send(fds[i], "POST /x HTTP/1.1\r\nHost: a\r\n"
                         "Content-Length: 100000\r\n\r\n");
        while (sent < memory_uses[_i].body) {
            ssize_t n = send(fds[i], body, memory_uses[_i].body - sent,
                             MSG_NOSIGNAL | MSG_DONTWAIT);
            size_t allocated;

            if (n < 0 && errno != EAGAIN) {
                break; /* refused */
            }
            sent += n > 0 ? (size_t)n : 0;
            bbl_loop_run_once(f.loop, 0);
            allocated = heap_get_allocated() - before;
            most = allocated > most ? allocated : most;
        }
        tcp_run_loop(f.loop, 2);
        bbl_edge_tick(f.edge, bbl_clock_now());
    }
    ck_assert_uint_gt(bbl_memory_account_get_ended(account), 0);
    ck_assert_uint_ge(
        bbl_memory_account_get_count(account, BBL_MEMORY_CALLER_REQUEST) +
            bbl_memory_account_get_count(account, BBL_MEMORY_CALLER_ANSWER),
        bbl_memory_account_get_ended(account));
    ck_assert_uint_le(most, LIMIT + 2 * RESPONSE_BYTES + CALLERS * 2048);
    ck_assert_uint_le(bbl_memory_account_get_used(account), LIMIT);
    fd = tcp_connect(f.address);
    tcp_send(fd, GET);
    text = tcp_receive(f.loop, fd);
    ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 200 OK\r\n"));
    close(fd);
    for (int i = 0; i < CALLERS; i++) {
        close(fds[i]);
    }
    close_fixture(&f);
    ck_assert_uint_eq(bbl_memory_account_get_used(account), 0);
    bbl_memory_account_free(account);
}
END_TEST

START_TEST(pipelined_requests_are_answered_in_order)
{
    fixture f;
    int fd;
    const char *text;

    open_fixture(&f);
    f.answer_later = true;
    fd = tcp_connect(f.address);
    tcp_send(fd, GET GET);
    tcp_run_loop(f.loop, 20);
    ck_assert_uint_eq(f.requests, 1);
    bbl_edge_respond_text(f.call, 200, "", "first");
    tcp_run_loop(f.loop, 5);
    ck_assert_uint_eq(f.requests, 2);
    bbl_edge_respond_text(f.call, 200, "", "second");
    text = tcp_receive(f.loop, fd);
    ck_assert_ptr_nonnull(strstr(text, "first"));
    ck_assert(strstr(text, "second") > strstr(text, "first"));
    close(fd);
    close_fixture(&f);
}
END_TEST

START_TEST(a_disconnect_is_detected_while_a_request_is_handled)
{
    fixture f;
    int fd;
    bbl_usec from;

    open_fixture(&f);
    f.answer_later = true;
    fd = tcp_connect(f.address);
    tcp_send(fd, GET);
    tcp_run_loop(f.loop, 20);
    ck_assert_uint_eq(f.requests, 1);
    close(fd);
    from = bbl_clock_now();
    while (f.disconnects == 0 && bbl_clock_now() < from + BBL_USEC_PER_SEC) {
        bbl_loop_run_once(f.loop, 1000);
    }
    ck_assert_uint_eq(f.disconnects, 1);
    ck_assert_uint_lt(bbl_clock_now() - from, 100 * BBL_USEC_PER_MS);
    close_fixture(&f);
}
END_TEST

/* Requests that are refused, and the status of the response. */
static const struct {
    const char *text;
    const char *status;
} bad_requests[] = {
    {"GET /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     " 400 "},
    {"GET /x HTTP/1.1\nHost: a\n\n", " 400 "},
    {"GET /x HTTP/1.1\r\n\r\n", " 400 "},
    {"GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", " 400 "},
    {"GET http://a/x HTTP/1.1\r\nHost: a\r\n\r\n", " 400 "},
    {"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", " 413 "},
    {"nonsense\r\n\r\n", " 400 "},
};

START_TEST(a_bad_request_is_refused_and_its_connection_closed)
{
    fixture f;
    int fd;
    const char *text;

    open_fixture(&f);
    fd = tcp_connect(f.address);
    tcp_send(fd, bad_requests[_i].text);
    text = tcp_receive(f.loop, fd);
    ck_assert_ptr_nonnull(strstr(text, bad_requests[_i].status));
    ck_assert_ptr_nonnull(strstr(text, "Connection: close"));
    ck_assert_str_eq(tcp_receive(f.loop, fd), "");
    ck_assert_uint_eq(f.requests, 0);
    close(fd);
    close_fixture(&f);
}
END_TEST

START_TEST(a_long_head_is_refused)
{
    fixture f;
    char text[1200];
    int fd;

    open_fixture(&f);
    memset(text, 'x', sizeof(text));
    memcpy(text, "GET /x HTTP/1.1\r\nX: ", 20);
    text[sizeof(text) - 1] = '\0';
    fd = tcp_connect(f.address);
    tcp_send(fd, text);
    ck_assert_ptr_nonnull(strstr(tcp_receive(f.loop, fd), " 431 "));
    close(fd);
    close_fixture(&f);
}
END_TEST

START_TEST(slow_heads_and_idle_connections_time_out)
{
    fixture f;
    int slow;
    int idle;

    open_fixture(&f);
    slow = tcp_connect(f.address);
    idle = tcp_connect(f.address);
    tcp_send(slow, "GET /x HTTP/1.1\r\n");
    tcp_run_loop(f.loop, 150);
    bbl_edge_tick(f.edge, bbl_clock_now());
    ck_assert_ptr_nonnull(strstr(tcp_receive(f.loop, slow), " 408 "));
    ck_assert_uint_eq(bbl_edge_connection_count(f.edge), 2);
    tcp_run_loop(f.loop, 350);
    bbl_edge_tick(f.edge, bbl_clock_now());
    ck_assert_str_eq(tcp_receive(f.loop, idle), "");
    close(slow);
    close(idle);
    close_fixture(&f);
}
END_TEST

START_TEST(draining_closes_connections_after_their_responses)
{
    fixture f;
    int busy;
    int idle;
    const char *text;

    open_fixture(&f);
    f.answer_later = true;
    busy = tcp_connect(f.address);
    idle = tcp_connect(f.address);
    tcp_send(busy, GET);
    tcp_run_loop(f.loop, 20);
    bbl_edge_drain(f.edge);
    bbl_edge_close_idle(f.edge, 0, bbl_clock_now());
    ck_assert_str_eq(tcp_receive(f.loop, idle), "");
    /* A new connection would not be answered, so it must be refused. */
    bbl_edge_stop_listening(f.edge);
    ck_assert_int_eq(tcp_connect(f.address), -1);
    bbl_edge_respond_text(f.call, 200, "", "last");
    text = tcp_receive(f.loop, busy);
    ck_assert_ptr_nonnull(strstr(text, "last"));
    ck_assert_ptr_nonnull(strstr(text, "Connection: close"));
    close(busy);
    close(idle);
    close_fixture(&f);
}
END_TEST

/*
 * A drain must not close a connection as idle whose request has arrived but is
 * still unread, nor drop connections that wait to be accepted.
 */
START_TEST(a_drain_answers_what_has_just_arrived)
{
    fixture f;
    int idle;
    int waiting;

    open_fixture(&f);
    idle = tcp_connect(f.address);
    tcp_run_loop(f.loop, 5);
    bbl_edge_drain(f.edge);
    tcp_send(idle, GET);
    bbl_edge_close_idle(f.edge, 0, bbl_clock_now());
    waiting = tcp_connect(f.address);
    tcp_send(waiting, GET);
    bbl_edge_stop_listening(f.edge);
    ck_assert_int_eq(tcp_connect(f.address), -1);
    ck_assert_uint_eq(bbl_edge_connection_count(f.edge), 2);
    ck_assert_ptr_nonnull(strstr(tcp_receive(f.loop, idle), "fine"));
    ck_assert_ptr_nonnull(strstr(tcp_receive(f.loop, waiting), "fine"));
    ck_assert_uint_eq(f.requests, 2);
    close(idle);
    close(waiting);
    close_fixture(&f);
}
END_TEST

/*
 * A request that waits unread while its host is held up counts from then on:
 * its caller's time runs. The connection may not even be accepted yet.
 */
START_TEST(the_time_that_a_request_waits_unread_counts)
{
    fixture f;
    int fds[2];

    open_fixture(&f);
    f.answer_later = true;
    bbl_loop_run_once(f.loop, 1000);
    for (int i = 0; i < 2; i++) {
        bbl_usec sent_at = bbl_clock_now();

        fds[i] = tcp_connect(f.address);
        if (i == 1) {
            /* The second connection is accepted before its request comes. */
            tcp_run_loop(f.loop, 5);
            sent_at = bbl_clock_now();
        }
        tcp_send(fds[i], GET);
        usleep(60000);
        f.call = NULL;
        tcp_run_loop(f.loop, 5);
        ck_assert_ptr_nonnull(f.call);
        ck_assert_uint_le(f.call->received_at, sent_at + 10000);
        bbl_edge_respond_text(f.call, 200, "", "fine");
        tcp_run_loop(f.loop, 5);
    }
    close(fds[0]);
    close(fds[1]);
    close_fixture(&f);
}
END_TEST

START_TEST(expect_100_continue_is_answered)
{
    fixture f;
    int fd;

    open_fixture(&f);
    fd = tcp_connect(f.address);
    tcp_send(fd, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                 "Expect: 100-continue\r\n\r\n");
    ck_assert_ptr_nonnull(strstr(tcp_receive(f.loop, fd), " 100 Continue"));
    tcp_send(fd, "abc");
    ck_assert_ptr_nonnull(strstr(tcp_receive(f.loop, fd), " 200 "));
    close(fd);
    close_fixture(&f);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("edge");
    TCase *tc = tcase_create("edge");

    tcase_add_test(tc, a_connection_is_reused);
    tcase_add_loop_test(
        tc, the_rest_of_a_refused_body_is_not_a_request, 0,
        (int)(sizeof(early_refusals) / sizeof(early_refusals[0])));
    tcase_add_loop_test(tc, memory_for_many_callers_is_bounded, 0,
                        (int)(sizeof(memory_uses) / sizeof(memory_uses[0])));
    tcase_add_test(tc, pipelined_requests_are_answered_in_order);
    tcase_add_test(tc, a_disconnect_is_detected_while_a_request_is_handled);
    tcase_add_loop_test(tc, a_bad_request_is_refused_and_its_connection_closed,
                        0, ARRAY_SIZE(bad_requests));
    tcase_add_test(tc, a_long_head_is_refused);
    tcase_add_test(tc, slow_heads_and_idle_connections_time_out);
    tcase_add_test(tc, draining_closes_connections_after_their_responses);
    tcase_add_test(tc, a_drain_answers_what_has_just_arrived);
    tcase_add_test(tc, the_time_that_a_request_waits_unread_counts);
    tcase_add_test(tc, expect_100_continue_is_answered);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
