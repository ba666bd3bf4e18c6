/*
 * Tests of the connections to a backend server. The test plays the server on a
 * loopback socket.
 */
#include <string.h>

#include "bbl/errors.h"
#include "net/backend_link.h"
#include "platform/dialect.h"
#include "support/heap.h"
#include "support/run.h"
#include "support/tcp.h"
#include "util/clock.h"

typedef struct {
    bbl_loop *loop;
    bbl_backend_client *client;
    bbl_backend_link *link;
    bblx_address address;
    int listener;
    unsigned opened;
    unsigned failed;
    unsigned memory_reports[BBL_MEMORY_CAUSES]; /* sums of the counts */
} fixture;

/* The result of an exchange; `calls` counts the calls of the callback. */
typedef struct {
    unsigned calls;
    bbl_link_exchange_outcome end;
    bool ended_by_host;
    unsigned status;
    char body[256];
} outcome;

static void
record_connect(void *ctx, void *owner, bool ok, bbl_usec duration)
{
    (void)duration;
    fixture *f = ctx;

    ck_assert_ptr_eq(owner, f);
    f->opened += ok;
    f->failed += !ok;
}

static void
record_memory(void *ctx, void *owner, const bbl_link_memory_report *r)
{
    fixture *f = ctx;

    ck_assert_ptr_eq(owner, f);
    f->memory_reports[r->cause] += r->count;
}

static void
on_done(void *ctx, const bbl_link_exchange_result *r)
{
    outcome *o = ctx;

    o->calls++;
    o->end = r->exchange_outcome;
    o->ended_by_host = r->ended_by_host;
    if (r->message != NULL) {
        o->status = bbl_http_message_status(r->message);
        snprintf(o->body, sizeof(o->body), "%.*s", (int)r->message->body.size,
                 r->message->body.ptr ? r->message->body.ptr : "");
    }
}

/* Opens a fixture whose client charges `account`, or its own if it is NULL. */
static void
open_fixture_on(fixture *f, size_t response_max, size_t buffered_max,
                bbl_memory_account *account)
{
    bbl_backend_client_options o = {
        .dialect = bbl_platform_dialect(),
        .connect_timeout = 200 * BBL_USEC_PER_MS,
        .tcp_user_timeout = 500 * BBL_USEC_PER_MS,
        .response_max = response_max,
        .buffered_max = buffered_max,
        .account = account,
        .on_connect = record_connect,
        .on_memory_report = record_memory,
        .ctx = f,
    };

    memset(f, 0, sizeof(*f));
    f->listener = tcp_listen(&f->address);
    ck_assert_int_eq(bbl_loop_open(&f->loop), 0);
    ck_assert_int_eq(bbl_backend_client_open(&f->client, f->loop, &o), 0);
    f->link = bbl_backend_link_new(f->client, f->address, f);
    bbl_backend_link_set_limit(f->link, 2, true);
}

static void
open_fixture_with(fixture *f, size_t response_max, size_t buffered_max)
{
    open_fixture_on(f, response_max, buffered_max, NULL);
}

static void
open_fixture(fixture *f)
{
    open_fixture_with(f, 200, 1u << 20);
}

static void
close_fixture(fixture *f)
{
    bbl_backend_client_free(f->client);
    bbl_loop_free(f->loop);
    close(f->listener);
}

/* Starts an exchange of the request with an ID; NULL: it has none. */
static bbl_link_exchange *
start_request(bbl_backend_link *link, outcome *o, const char *id)
{
    char head[128];
    bbl_link_exchange_request r = {.done = on_done, .ctx = o};
    bbl_link_exchange *x;

    snprintf(head, sizeof(head), "GET /x HTTP/1.1\r\nHost: a\r\n%s%s%s",
             id != NULL ? "Request-Id: " : "", id != NULL ? id : "",
             id != NULL ? "\r\n" : "");
    r.head = (bbl_str){head, strlen(head)};
    if (id != NULL) {
        r.request_id = (bbl_str){id, strlen(id)};
    }
    memset(o, 0, sizeof(*o));
    ck_assert_int_eq(bbl_link_exchange_start(&x, link, bbl_clock_now(), &r),
                     0);
    ck_assert_uint_eq(o->calls, 0);
    return x;
}

static bbl_link_exchange *
start_exchange_on(bbl_backend_link *link, outcome *o)
{
    return start_request(link, o, "q1");
}

static bbl_link_exchange *
start_exchange(fixture *f, outcome *o)
{
    return start_exchange_on(f->link, o);
}

/* Returns the server's end of the next connection. */
static int
accept_connection(fixture *f)
{
    for (int i = 0; i < 300; i++) {
        int fd = accept(f->listener, NULL, NULL);

        if (fd >= 0) {
            return fd;
        }
        bbl_loop_run_once(f->loop, 1000);
    }
    ck_abort_msg("no connection was opened");
    return -1;
}

#define OK(id, body, size)                                                    \
    "HTTP/1.1 200 OK\r\nRequest-Id: " id "\r\nContent-Length: " size          \
    "\r\n\r\n" body

/* Starts a fixture with one exchange; returns the server's end of it. */
static int
start_first_exchange(fixture *f, outcome *o)
{
    open_fixture(f);
    start_exchange(f, o);
    return accept_connection(f);
}

START_TEST(a_connection_is_reused)
{
    fixture f;
    outcome o;
    int fd;

    static const char *const ids[] = {"q1", "q2", "q3"};

    fd = start_first_exchange(&f, &o);
    for (int i = 0; i < 3; i++) {
        char text[128];

        if (i > 0) {
            start_request(f.link, &o, ids[i]);
        }
        snprintf(text, sizeof(text), "Request-Id: %s", ids[i]);
        ck_assert_ptr_nonnull(strstr(tcp_receive(f.loop, fd), text));
        snprintf(text, sizeof(text), OK("%s", "abc", "3"), ids[i]);
        tcp_send(fd, text);
        tcp_run_loop(f.loop, 10);
        ck_assert_uint_eq(o.calls, 1);
        ck_assert_int_eq(o.end, BBL_LINK_RESPONSE);
        ck_assert_str_eq(o.body, "abc");
    }
    ck_assert_uint_eq(bbl_backend_client_get_counters(f.client)->connects, 1);
    close(fd);
    close_fixture(&f);
}
END_TEST

START_TEST(a_response_to_another_request_is_skipped)
{
    fixture f;
    outcome o;
    int fd;

    fd = start_first_exchange(&f, &o);
    tcp_receive(f.loop, fd);
    tcp_send(fd, OK("q0", "old", "3"));
    tcp_run_loop(f.loop, 10);
    ck_assert_uint_eq(o.calls, 0);
    tcp_send(fd, OK("q1", "new", "3"));
    tcp_run_loop(f.loop, 10);
    ck_assert_str_eq(o.body, "new");
    close(fd);
    close_fixture(&f);
}
END_TEST

/*
 * A server refuses a request, gets it again and sends a late copy of the
 * refusal while it runs the request. Only the connection tells the copy from
 * the response to the second sending.
 */
START_TEST(a_late_copy_of_a_refusal_is_not_the_response_to_a_retry)
{
#define REFUSAL                                                               \
    "HTTP/1.1 503 X\r\nRequest-Id: q1\r\nNot-Executed: 1\r\n"                 \
    "Content-Length: 0\r\n\r\n"
    fixture f;
    outcome o;
    outcome other;
    int fd;
    int retry_fd;

    fd = start_first_exchange(&f, &o);
    tcp_receive(f.loop, fd);
    tcp_send(fd, REFUSAL);
    tcp_run_loop(f.loop, 10);
    ck_assert_uint_eq(o.status, 503);

    start_exchange(&f, &o);
    retry_fd = accept_connection(&f);
    ck_assert_ptr_nonnull(
        strstr(tcp_receive(f.loop, retry_fd), "Request-Id: q1"));
    tcp_send(fd, REFUSAL);
    tcp_run_loop(f.loop, 10);
    ck_assert_uint_eq(o.calls, 0);
    tcp_send(retry_fd, OK("q1", "ran", "3"));
    tcp_run_loop(f.loop, 10);
    ck_assert_str_eq(o.body, "ran");

    /* Other requests in between do not make it eligible again. */
    start_request(f.link, &other, "q2");
    ck_assert_ptr_nonnull(
        strstr(tcp_receive(f.loop, retry_fd), "Request-Id: q2"));
    tcp_send(retry_fd, OK("q2", "abc", "3"));
    tcp_run_loop(f.loop, 10);
    start_exchange(&f, &o);
    ck_assert_ptr_nonnull(tcp_receive(f.loop, accept_connection(&f)));
    close(fd);
    close(retry_fd);
    close_fixture(&f);
}
END_TEST

/* The server of the only permitted connection is sent a request twice. */
START_TEST(a_retry_replaces_the_connection_that_carried_the_request)
{
    fixture f;
    outcome o;
    int fd;

    open_fixture(&f);
    bbl_backend_link_set_limit(f.link, 1, false);
    start_exchange(&f, &o);
    fd = accept_connection(&f);
    tcp_receive(f.loop, fd);
    tcp_send(fd, OK("q1", "abc", "3"));
    tcp_run_loop(f.loop, 10);
    ck_assert(bbl_backend_link_has_room(f.link));
    start_exchange(&f, &o);
    ck_assert_str_eq(tcp_receive(f.loop, fd), "");
    close(fd);
    fd = accept_connection(&f);
    tcp_receive(f.loop, fd);
    tcp_send(fd, OK("q1", "new", "3"));
    tcp_run_loop(f.loop, 10);
    ck_assert_str_eq(o.body, "new");
    close(fd);
    close_fixture(&f);
}
END_TEST

/* A late copy of an earlier response bears an ID; the request has none. */
START_TEST(a_response_with_an_id_is_not_for_a_request_without_one)
{
    fixture f;
    outcome o;
    int fd;

    fd = start_first_exchange(&f, &o);
    tcp_receive(f.loop, fd);
    tcp_send(fd, OK("q1", "abc", "3"));
    tcp_run_loop(f.loop, 10);
    start_request(f.link, &o, NULL);
    tcp_receive(f.loop, fd);
    tcp_send(fd, OK("q1", "abc", "3"));
    tcp_run_loop(f.loop, 10);
    ck_assert_uint_eq(o.calls, 0);
    tcp_send(fd, "HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n");
    for (int i = 0; i < 300 && o.calls == 0; i++) {
        bbl_loop_run_once(f.loop, 1000);
    }
    ck_assert_uint_eq(o.status, 400);
    close(fd);
    close_fixture(&f);
}
END_TEST

/*
 * Reads what is left on a connection up to its end, while the loop runs.
 * Returns whether it was nothing but the letter 'b'.
 */
static bool
is_rest_of_body(fixture *f, int fd)
{
    const char *text;

    while ((text = tcp_receive(f->loop, fd)) != NULL && text[0] != '\0') {
        if (text[strspn(text, "b")] != '\0') {
            return false;
        }
    }
    return text != NULL;
}

/* Room for long requests. */
#define ROOM_BYTES (64u << 20)

/* Statuses of a response that a server sends before it has read the body. */
static const char *const early_statuses[] = {"200", "413", "503"};

/*
 * A server responds before it has read a long body, keeps the connection and
 * reads on later. It must get the rest of that body or the end of the
 * connection, not the next request.
 */
START_TEST(a_request_never_follows_an_incomplete_one)
{
    enum { BODY_BYTES = 16 << 20 };
    static char body[BODY_BYTES];
    fixture f;
    outcome o;
    outcome next;
    bbl_link_exchange *x;
    bbl_link_exchange_request r = {
        .head = {"POST /x HTTP/1.1\r\nContent-Length: 16777216\r\n", 44},
        .body = {body, BODY_BYTES},
        .request_id = {"q1", 2},
        .done = on_done,
        .ctx = &o,
    };
    char text[128];
    bool kept = _i % 2 == 1; /* an exchange precedes on the connection */
    int fd = -1;

    memset(body, 'b', sizeof(body));
    open_fixture_with(&f, 200, ROOM_BYTES);
    if (kept) {
        start_request(f.link, &next, "q0");
        fd = accept_connection(&f);
        tcp_receive(f.loop, fd);
        tcp_send(fd, OK("q0", "abc", "3"));
        tcp_run_loop(f.loop, 10);
    }
    memset(&o, 0, sizeof(o));
    ck_assert_int_eq(bbl_link_exchange_start(&x, f.link, bbl_clock_now(), &r),
                     0);
    fd = kept ? fd : accept_connection(&f);
    ck_assert_ptr_nonnull(strstr(tcp_receive(f.loop, fd), "POST /x"));
    snprintf(text, sizeof(text),
             "HTTP/1.1 %s X\r\nRequest-Id: q1\r\nContent-Length: 0\r\n\r\n",
             early_statuses[_i / 2]);
    tcp_send(fd, text);
    for (int i = 0; i < 300 && o.calls == 0; i++) {
        bbl_loop_run_once(f.loop, 1000);
    }
    ck_assert_int_eq(o.end, BBL_LINK_RESPONSE);
    start_request(f.link, &next, "q2");
    ck_assert(is_rest_of_body(&f, fd));
    close(fd);
    fd = accept_connection(&f);
    ck_assert_ptr_nonnull(strstr(tcp_receive(f.loop, fd), "Request-Id: q2"));
    close(fd);
    close_fixture(&f);
}
END_TEST

/*
 * Forms of a response that a server sends before it has read a body, and how
 * much of the request it has read by then.
 */
static const struct {
    const char *response;
    size_t read; /* bytes of the request; 0: none */
} early_responses[] = {
    {"HTTP/1.1 413 X\r\nRequest-Id: q1\r\nContent-Length: 3\r\n\r\nabc", 0},
    {"HTTP/1.1 413 X\r\nRequest-Id: q1\r\nContent-Length: 3\r\n\r\nabc", 4096},
    {"HTTP/1.1 413 X\r\nRequest-Id: q1\r\nContent-Length: 3\r\n\r\nabc",
     1 << 20},
    {"HTTP/1.1 100 Continue\r\n\r\n"
     "HTTP/1.1 413 X\r\nRequest-Id: q1\r\nContent-Length: 3\r\n\r\nabc",
     4096},
    {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n"
     "HTTP/1.1 200 X\r\nRequest-Id: q1\r\nContent-Length: 3\r\n\r\nabc",
     0},
    {"HTTP/1.1 413 X\r\nRequest-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "3\r\nabc\r\n0\r\n\r\n",
     4096},
    {"HTTP/1.1 413 X\r\nRequest-Id: q1\r\nKeep-Alive: timeout=9\r\n"
     "Connection: keep-alive\r\nContent-Length: 3\r\n\r\nabc",
     0},
    {"HTTP/1.1 503 X\r\nRequest-Id: q1\r\nRetry-After: 1\r\n"
     "Content-Length: 3\r\n\r\nabc",
     4096},
    {"HTTP/1.1 204 X\r\nRequest-Id: q1\r\n\r\n", 0},
};

/* Receive buffers of a server, from smaller than a segment to large. */
static const int receive_buffers[] = {2048, 1 << 20};

#define EARLY_FORMS (sizeof(early_responses) / sizeof(early_responses[0]))
#define BUFFER_SIZES (sizeof(receive_buffers) / sizeof(receive_buffers[0]))

/* Reads `size` bytes of a request while the loop runs. */
static void
skip_request(fixture *f, int fd, size_t size)
{
    char bytes[4096];

    while (size > 0) {
        ssize_t n =
            recv(fd, bytes, size < sizeof(bytes) ? size : sizeof(bytes),
                 MSG_DONTWAIT);

        if (n > 0) {
            size -= (size_t)n;
        }
        else {
            bbl_loop_run_once(f->loop, 1000);
        }
    }
}

/*
 * A connection is free only when both directions are at an end, whatever form
 * an early response has, however much the server has read before it, and
 * however much of the request the kernel of the server holds.
 */
START_TEST(no_early_response_frees_a_connection)
{
    enum { BODY_BYTES = 16 << 20 };
    static char body[BODY_BYTES];
    fixture f;
    outcome o;
    outcome next;
    bbl_link_exchange *x;
    bbl_link_exchange_request r = {
        .head = {"POST /x HTTP/1.1\r\nContent-Length: 16777216\r\n", 44},
        .body = {body, BODY_BYTES},
        .request_id = {"q1", 2},
        .done = on_done,
        .ctx = &o,
    };
    int form = _i / (int)BUFFER_SIZES;
    int buffer = receive_buffers[_i % (int)BUFFER_SIZES];
    int fd;

    memset(body, 'b', sizeof(body));
    memset(&o, 0, sizeof(o));
    open_fixture_with(&f, 200, ROOM_BYTES);
    setsockopt(f.listener, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
    ck_assert_int_eq(bbl_link_exchange_start(&x, f.link, bbl_clock_now(), &r),
                     0);
    fd = accept_connection(&f);
    skip_request(&f, fd, early_responses[form].read);
    tcp_send(fd, early_responses[form].response);
    for (int i = 0; i < 300 && o.calls == 0; i++) {
        bbl_loop_run_once(f.loop, 1000);
    }
    ck_assert_int_eq(o.end, BBL_LINK_RESPONSE);
    start_request(f.link, &next, "q2");
    if (early_responses[form].read < sizeof("POST") - 1) {
        skip_request(&f, fd, r.head.size + r.extra_fields.size + 2);
    }
    ck_assert(is_rest_of_body(&f, fd));
    close(fd);
    fd = accept_connection(&f);
    ck_assert_ptr_nonnull(strstr(tcp_receive(f.loop, fd), "Request-Id: q2"));
    close(fd);
    close_fixture(&f);
}
END_TEST

/* The same with a response of which a part comes after the whole request. */
START_TEST(a_connection_is_kept_if_the_request_was_sent_in_the_end)
{
    enum { BODY_BYTES = 4 << 20 };
    static char body[BODY_BYTES];
    static const char response[] = OK("q1", "abc", "3");
    fixture f;
    outcome o;
    bbl_link_exchange *x;
    bbl_link_exchange_request r = {
        .head = {"POST /x HTTP/1.1\r\nContent-Length: 4194304\r\n", 43},
        .body = {body, BODY_BYTES},
        .request_id = {"q1", 2},
        .done = on_done,
        .ctx = &o,
    };
    size_t received = 0;
    int fd;

    memset(body, 'b', sizeof(body));
    memset(&o, 0, sizeof(o));
    open_fixture_with(&f, 200, ROOM_BYTES);
    ck_assert_int_eq(bbl_link_exchange_start(&x, f.link, bbl_clock_now(), &r),
                     0);
    fd = accept_connection(&f);
    ck_assert_int_eq(send(fd, response, 20, MSG_NOSIGNAL), 20);
    while (received < BODY_BYTES) {
        const char *text = tcp_receive(f.loop, fd);

        ck_assert(text != NULL && text[0] != '\0');
        received += strlen(text);
    }
    tcp_send(fd, response + 20);
    for (int i = 0; i < 300 && o.calls == 0; i++) {
        bbl_loop_run_once(f.loop, 1000);
    }
    ck_assert_str_eq(o.body, "abc");
    start_request(f.link, &o, "q2");
    ck_assert_ptr_nonnull(strstr(tcp_receive(f.loop, fd), "Request-Id: q2"));
    ck_assert_uint_eq(bbl_backend_client_get_counters(f.client)->connects, 1);
    close(fd);
    close_fixture(&f);
}
END_TEST

/* A connection remembers what it has carried, and ends before that grows. */
START_TEST(a_connection_carries_a_limited_number_of_requests)
{
    enum { REQUESTS = 1000 };
    fixture f;
    outcome o;
    unsigned most = 0;
    unsigned carried = 0;
    int fd = -1;

    open_fixture(&f);
    bbl_backend_link_set_limit(f.link, 1, false);
    for (int i = 0; i < REQUESTS; i++) {
        char id[16];
        char text[128];
        uint64_t before = bbl_backend_client_get_counters(f.client)->connects;

        snprintf(id, sizeof(id), "q%d", i);
        start_request(f.link, &o, id);
        if (bbl_backend_client_get_counters(f.client)->connects > before) {
            if (fd >= 0) {
                close(fd);
            }
            fd = accept_connection(&f);
            carried = 0;
        }
        carried++;
        most = carried > most ? carried : most;
        ck_assert_ptr_nonnull(tcp_receive(f.loop, fd));
        snprintf(text, sizeof(text), OK("%s", "abc", "3"), id);
        tcp_send(fd, text);
        for (int k = 0; k < 300 && o.calls == 0; k++) {
            bbl_loop_run_once(f.loop, 1000);
        }
        ck_assert_int_eq(o.end, BBL_LINK_RESPONSE);
        bbl_backend_client_tick(f.client, bbl_clock_now());
    }
    ck_assert_uint_gt(most, 100);
    ck_assert_uint_lt(most, REQUESTS);
    close(fd);
    close_fixture(&f);
}
END_TEST

START_TEST(bytes_after_a_response_close_the_connection)
{
    fixture f;
    outcome o;
    int fd;

    fd = start_first_exchange(&f, &o);
    tcp_receive(f.loop, fd);
    tcp_send(fd, OK("q1", "abc", "3") "more");
    tcp_run_loop(f.loop, 10);
    ck_assert_str_eq(o.body, "abc");
    ck_assert_str_eq(tcp_receive(f.loop, fd), "");
    ck_assert_uint_eq(bbl_backend_client_get_counters(f.client)->stray, 1);
    close(fd);
    close_fixture(&f);
}
END_TEST

/* Responses after which the server closes the connection. */
static const struct {
    const char *text;
    bbl_link_exchange_outcome end;
} closed_responses[] = {
    {"HTTP/1.1 200 OK\r\n\r\nwhole", BBL_LINK_RESPONSE},
    {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", BBL_LINK_BROKEN},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
     BBL_LINK_BROKEN},
    {"HTTP/1.1 200", BBL_LINK_BROKEN},
    {"", BBL_LINK_BROKEN},
    {"noise that is no response\r\n\r\n", BBL_LINK_BROKEN},
};

START_TEST(only_complete_responses_are_accepted)
{
    fixture f;
    outcome o;
    int fd;

    fd = start_first_exchange(&f, &o);
    tcp_receive(f.loop, fd);
    tcp_send(fd, closed_responses[_i].text);
    close(fd);
    tcp_run_loop(f.loop, 30);
    ck_assert_uint_eq(o.calls, 1);
    ck_assert_int_eq(o.end, closed_responses[_i].end);
    close_fixture(&f);
}
END_TEST

/* Responses with a status that is none. A caller got the second one as the
 * answer, and the exchange waited for another response after the first. */
static const struct {
    const char *text;
    bool closes;
} responses_without_status[] = {
    {"HTTP/1.1 000 None\r\nRequest-Id: q1\r\nContent-Length: 2\r\n\r\nok",
     false},
    {"HTTP/1.1 000 None\r\n\r\nok", true},
    {"HTTP/1.1 0\r\n\r\n", true},
    {"HTTP/1.1 099 None\r\nContent-Length: 0\r\n\r\n", false},
    {"HTTP/1.1 600 None\r\nContent-Length: 0\r\n\r\n", false},
    {"HTTP/1.1 999 None\r\n\r\nok", true},
};

START_TEST(a_response_without_a_valid_status_ends_the_exchange)
{
    fixture f;
    outcome o;
    int fd;

    fd = start_first_exchange(&f, &o);
    tcp_receive(f.loop, fd);
    tcp_send(fd, responses_without_status[_i].text);
    if (responses_without_status[_i].closes) {
        shutdown(fd, SHUT_WR);
    }
    tcp_run_loop(f.loop, 30);
    ck_assert_uint_eq(o.calls, 1);
    ck_assert_int_eq(o.end, BBL_LINK_BROKEN);
    /* Nothing else is read from the connection. */
    ck_assert_str_eq(tcp_receive(f.loop, fd), "");
    close(fd);
    close_fixture(&f);
}
END_TEST

static const char *const whole_answers[] = {
    OK("q1", "abc", "3"),
    "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
};

/* Cut at each byte, also on a connection that has carried an answer before. */
START_TEST(an_answer_that_ends_early_is_never_complete)
{
    const char *text = whole_answers[_i / 2];
    bool kept = _i % 2 == 1;

    for (size_t cut = 0; cut < strlen(text); cut++) {
        fixture f;
        outcome o;
        int fd;

        open_fixture(&f);
        start_request(f.link, &o, kept ? "q0" : "q1");
        fd = accept_connection(&f);
        tcp_receive(f.loop, fd);
        if (kept) {
            tcp_send(fd, OK("q0", "old", "3"));
            tcp_run_loop(f.loop, 2);
            ck_assert_uint_eq(o.calls, 1);
            start_exchange(&f, &o);
            tcp_receive(f.loop, fd);
        }
        ck_assert_int_eq(send(fd, text, cut, MSG_NOSIGNAL), (ssize_t)cut);
        close(fd);
        tcp_run_loop(f.loop, 3);
        ck_assert_uint_eq(o.calls, 1);
        ck_assert_msg(o.end != BBL_LINK_RESPONSE, "complete after %zu bytes",
                      cut);
        close_fixture(&f);
    }
}
END_TEST

START_TEST(a_reset_makes_a_body_without_length_incomplete)
{
    fixture f;
    outcome o;
    int fd;
    struct linger reset_on_close = {1, 0};

    fd = start_first_exchange(&f, &o);
    tcp_receive(f.loop, fd);
    tcp_send(fd, "HTTP/1.1 200 OK\r\n\r\npart");
    tcp_run_loop(f.loop, 10);
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof(reset_on_close));
    close(fd);
    tcp_run_loop(f.loop, 30);
    ck_assert_int_eq(o.end, BBL_LINK_BROKEN);
    close_fixture(&f);
}
END_TEST

START_TEST(a_refused_connection_is_reported_as_unsent)
{
    fixture f;
    outcome o;

    open_fixture(&f);
    close(f.listener);
    start_exchange(&f, &o);
    tcp_run_loop(f.loop, 20);
    bbl_backend_client_tick(f.client, bbl_clock_now());
    ck_assert_uint_eq(o.calls, 1);
    ck_assert_int_eq(o.end, BBL_LINK_UNSENT);
    ck_assert_uint_eq(f.failed, 1);
    f.listener = tcp_listen(&f.address);
    close_fixture(&f);
}
END_TEST

START_TEST(connections_are_limited)
{
    fixture f;
    outcome o[3];
    bbl_link_exchange_request r = {.done = on_done};
    bbl_link_exchange *x;

    open_fixture(&f);
    start_exchange(&f, &o[0]);
    start_exchange(&f, &o[1]);
    ck_assert(!bbl_backend_link_has_room(f.link));
    ck_assert_int_ne(bbl_link_exchange_start(&x, f.link, bbl_clock_now(), &r),
                     0);
    close_fixture(&f);
}
END_TEST

START_TEST(an_abandoned_exchange_closes_its_connection)
{
    fixture f;
    outcome o;
    bbl_link_exchange *x;
    int fd;

    open_fixture(&f);
    x = start_exchange(&f, &o);
    fd = accept_connection(&f);
    tcp_receive(f.loop, fd);
    bbl_link_exchange_abandon(x);
    ck_assert_str_eq(tcp_receive(f.loop, fd), "");
    ck_assert_uint_eq(o.calls, 0);
    ck_assert(bbl_backend_link_has_room(f.link));
    close(fd);
    close_fixture(&f);
}
END_TEST

START_TEST(the_last_connection_is_reopened_when_closed)
{
    fixture f;
    outcome o;
    int fd;

    fd = start_first_exchange(&f, &o);
    tcp_receive(f.loop, fd);
    tcp_send(fd, OK("q1", "abc", "3"));
    tcp_run_loop(f.loop, 10);
    close(fd);
    fd = accept_connection(&f);
    tcp_run_loop(f.loop, 10);
    ck_assert_uint_eq(f.opened, 2);
    close(fd);
    close_fixture(&f);
}
END_TEST

#define LINKS 60

/*
 * Servers in trouble may send bytes that are no response without end, until
 * the caller closes the connection. `start` is what comes first, `more` is
 * repeated.
 */
static const struct {
    const char *start;
    const char *more;
} endless[] = {
    /* a head: fields, one field name, one value, blank lines, no HTTP */
    {"HTTP/1.1 200 OK\r\n", "X-More: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"},
    {"HTTP/1.1 200 OK\r\n", "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"},
    {"HTTP/1.1 200 OK\r\nX: ", "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"},
    {"", "\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n"},
    {"", "\001\002garbage-garbage-garbage-garbage-garbage-garbage"},
    /* a body: until the connection ends, chunks, a chunk extension, trailers
     */
    {"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n\r\n",
     "0123456789abcdef0123456789abcdef"},
    {"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n",
     "10\r\n0123456789abcdef\r\n"},
    {"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "1;x=",
     "cccccccccccccccccccccccccccccccccccccccc"},
    {"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n"
     "0\r\n",
     "X-Trailer: dddddddddddddddddddddddddddddd\r\n"},
    /* complete responses that belong to no request */
    {"", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"",
     "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 4\r\n\r\nabcd"},
};

#define ENDLESS_MAX_BYTES (1u << 20)

START_TEST(bytes_without_end_close_the_connection)
{
    fixture f;
    outcome o;
    size_t sent;
    int fd = start_first_exchange(&f, &o);

    tcp_receive(f.loop, fd);
    tcp_send(fd, endless[_i].start);
    sent = tcp_send_endlessly(f.loop, fd, endless[_i].more,
                              8 * ENDLESS_MAX_BYTES);
    ck_assert_uint_lt(sent, 8 * ENDLESS_MAX_BYTES);
    ck_assert_uint_eq(o.calls, 1);
    ck_assert_int_eq(o.end, BBL_LINK_BROKEN);
    ck_assert_uint_eq(bbl_backend_client_get_buffered(f.client), 0);
    close(fd);
    close_fixture(&f);
}
END_TEST

/*
 * Many servers send endless bodies at the same time. What they have sent stays
 * within the limit of the host, and a sound server still gets its response in.
 */
START_TEST(endless_bodies_of_many_servers_are_bounded)
{
    enum { SERVERS = 16 };
    fixture f;
    outcome o[SERVERS + 1];
    bbl_backend_link *links[SERVERS];
    int listeners[SERVERS];
    int fds[SERVERS];
    static const char body[] = "0123456789abcdef0123456789abcdef"
                               "0123456789abcdef0123456789abcdef";
    unsigned broken = 0;

    open_fixture_with(&f, 1u << 20, 2u << 20);
    for (int i = 0; i < SERVERS; i++) {
        bblx_address address;

        listeners[i] = tcp_listen(&address);
        links[i] = bbl_backend_link_new(f.client, address, &f);
        start_exchange_on(links[i], &o[i]);
        while ((fds[i] = accept(listeners[i], NULL, NULL)) < 0) {
            bbl_loop_run_once(f.loop, 1000);
        }
        tcp_send(fds[i], "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n"
                         "Content-Length: 1000000\r\n\r\n");
    }
    for (int round = 0; round < 12000; round++) {
        for (int i = 0; i < SERVERS; i++) {
            send(fds[i], body, sizeof(body) - 1, MSG_NOSIGNAL | MSG_DONTWAIT);
        }
        bbl_loop_run_once(f.loop, 0);
        ck_assert_uint_le(bbl_backend_client_get_buffered(f.client), 2u << 20);
    }
    for (int i = 0; i < SERVERS; i++) {
        broken += o[i].calls == 1 && o[i].end == BBL_LINK_BROKEN;
    }
    ck_assert_uint_ge(broken, SERVERS / 2);
    start_exchange(&f, &o[SERVERS]);
    {
        int fd = accept_connection(&f);

        tcp_receive(f.loop, fd);
        tcp_send(fd, OK("q1", "fine", "4"));
        tcp_run_loop(f.loop, 20);
        close(fd);
    }
    ck_assert_uint_eq(o[SERVERS].calls, 1);
    ck_assert_int_eq(o[SERVERS].end, BBL_LINK_RESPONSE);
    for (int i = 0; i < SERVERS; i++) {
        close(fds[i]);
        close(listeners[i]);
    }
    close_fixture(&f);
}
END_TEST

/* Responses without end: a body, chunks, one chunk, and a head of short
 * fields. */
static const struct {
    const char *start;
    const char *more;
} endless_kinds[] = {
    {"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n\r\n", "0123456789abcdef"},
    {"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nTransfer-Encoding: "
     "chunked\r\n\r\n",
     "20\r\n0123456789abcdef0123456789abcdef\r\n"},
    {"HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nTransfer-Encoding: "
     "chunked\r\n\r\n7fffffff\r\n",
     "0123456789abcdef"},
    {"HTTP/1.1 200 OK\r\n", "a:b\r\n"},
};

enum { ENDLESS_BODY_KINDS = 3 }; /* the others have an endless head */

/*
 * As many servers as a large deployment has send without end, and their
 * requests are sent again as soon as they fail. The limit holds for what is
 * allocated, including buffers that have grown beyond their content and those
 * of connections that were just closed.
 */
START_TEST(endless_responses_are_bounded_in_allocated_bytes)
{
    enum {
        SERVERS = 400,
        RESPONSE_MAX = 1 << 20,
        LIMIT = 4 << 20,
        CONNECTION_BYTES = 2048 /* of a connection, besides its buffers */
    };
    static char more[8192];
    static outcome o[SERVERS];
    static bbl_backend_link *links[SERVERS];
    static int listeners[SERVERS];
    static int fds[SERVERS];
    fixture f;
    size_t before;
    size_t most = 0;
    size_t size = strlen(endless_kinds[_i].more);

    for (size_t i = 0; i + size <= sizeof(more); i += size) {
        memcpy(more + i, endless_kinds[_i].more, size);
    }
    open_fixture_with(&f, RESPONSE_MAX, LIMIT);
    for (int i = 0; i < SERVERS; i++) {
        bblx_address address;

        listeners[i] = tcp_listen(&address);
        links[i] = bbl_backend_link_new(f.client, address, &f);
        fds[i] = -1;
        o[i].calls = 1;
    }
    before = heap_get_allocated();
    for (int round = 0; round < 400; round++) {
        for (int i = 0; i < SERVERS; i++) {
            if (o[i].calls > 0) {
                start_exchange_on(links[i], &o[i]);
                if (fds[i] >= 0) {
                    close(fds[i]);
                }
                fds[i] = -1;
            }
            if (fds[i] < 0 && (fds[i] = accept4(listeners[i], NULL, NULL,
                                                SOCK_NONBLOCK)) >= 0) {
                send(fds[i], endless_kinds[_i].start,
                     strlen(endless_kinds[_i].start), MSG_NOSIGNAL);
            }
            else if (fds[i] >= 0) {
                send(fds[i], more, sizeof(more) / size * size, MSG_NOSIGNAL);
            }
        }
        for (int k = 0; k < 8; k++) {
            size_t allocated;

            bbl_loop_run_once(f.loop, 0);
            allocated = heap_get_allocated() - before;
            most = allocated > most ? allocated : most;
        }
        if (round % 20 == 0) {
            bbl_backend_client_tick(f.client, bbl_clock_now());
        }
    }
    ck_assert_uint_le(most, LIMIT + RESPONSE_MAX + SERVERS * CONNECTION_BYTES);
    for (int i = 0; i < SERVERS; i++) {
        if (fds[i] >= 0) {
            close(fds[i]);
        }
        close(listeners[i]);
    }
    close_fixture(&f);
}
END_TEST

/* Fills `out` with whole copies of a text. */
static void
fill_repeated(char *out, size_t size, const char *text)
{
    size_t n = strlen(text);

    out[0] = '\0';
    for (size_t used = 0; used + n < size; used += n) {
        memcpy(out + used, text, n + 1);
    }
}

/*
 * Starts an exchange with a server that sends a response of a kind without
 * end, until the exchange breaks. Returns the most bytes that were buffered.
 */
static size_t
receive_endless_response(fixture *f, int kind)
{
    char more[8192];
    outcome o;
    size_t peak = 0;
    int fd;

    fill_repeated(more, sizeof(more), endless_kinds[kind].more);
    start_exchange(f, &o);
    fd = accept_connection(f);
    tcp_receive(f->loop, fd);
    tcp_send(fd, endless_kinds[kind].start);
    for (int k = 0; k < 100000 && o.calls == 0; k++) {
        size_t buffered = bbl_backend_client_get_buffered(f->client);

        peak = buffered > peak ? buffered : peak;
        send(fd, more, strlen(more), MSG_NOSIGNAL | MSG_DONTWAIT);
        bbl_loop_run_once(f->loop, 0);
    }
    ck_assert_int_eq(o.end, BBL_LINK_BROKEN);
    close(fd);
    return peak;
}

/*
 * A server that sends without end again and again is allowed less each time,
 * also if it sends chunks, short or long, which state no length of the whole.
 */
START_TEST(a_server_that_sends_without_end_is_allowed_less)
{
    enum { RESPONSE_MAX = 1 << 20, ATTEMPTS = 4 };
    fixture f;
    size_t peaks[ATTEMPTS];

    open_fixture_with(&f, RESPONSE_MAX, 8 * RESPONSE_MAX);
    bbl_backend_link_set_limit(f.link, 1, false);
    for (int i = 0; i < ATTEMPTS; i++) {
        peaks[i] = receive_endless_response(&f, _i);
    }
    ck_assert_uint_le(peaks[ATTEMPTS - 1], peaks[0] / 4);
    close_fixture(&f);
}
END_TEST

/* Lowers the limit of a server as far as it goes. */
static void
lower_limit(fixture *f)
{
    for (int i = 0; i < 10; i++) {
        receive_endless_response(f, i % ENDLESS_BODY_KINDS);
    }
}

/* Usual responses have up to this many bytes. */
#define USUAL_MAX_BYTES 36000

/* Sends a part of a body of unknown length, while the loop runs. */
static void
send_body(fixture *f, int fd, size_t size)
{
    static const char piece[1000];

    while (size > 0) {
        size_t n = size < sizeof(piece) ? size : sizeof(piece);

        ck_assert_int_eq(send(fd, piece, n, MSG_NOSIGNAL), (ssize_t)n);
        size -= n;
        bbl_loop_run_once(f->loop, 1000);
    }
}

/*
 * A lowered limit that does not admit a response of usual size is lowered by
 * each such response again, and never lifted.
 */
START_TEST(usual_responses_end_a_lowered_limit)
{
    enum { RESPONSE_MAX = 5 << 20 }; /* of a host with 160 MB */
    fixture f;
    outcome o;
    int fd;

    open_fixture_with(&f, RESPONSE_MAX, 4 * RESPONSE_MAX);
    bbl_backend_link_set_limit(f.link, 1, false);
    lower_limit(&f);
    start_exchange(&f, &o);
    fd = accept_connection(&f);
    tcp_receive(f.loop, fd);
    tcp_send(fd, endless_kinds[0].start);
    send_body(&f, fd, USUAL_MAX_BYTES);
    close(fd);
    tcp_run_loop(f.loop, 10);
    ck_assert_uint_eq(o.calls, 1);
    ck_assert_int_eq(o.end, BBL_LINK_RESPONSE);
    ck_assert_uint_ge(receive_endless_response(&f, 0), RESPONSE_MAX);
    close_fixture(&f);
}
END_TEST

/*
 * All responses of a sound server whose limit was lowered may be cancelled by
 * this host, so that none is complete. The limit must rise without them.
 */
START_TEST(a_lowered_limit_rises_while_responses_are_cancelled)
{
    enum { RESPONSE_MAX = 5 << 20, SECONDS = 20 };
    fixture f;
    outcome o;
    bbl_usec now = bbl_clock_now();

    open_fixture_with(&f, RESPONSE_MAX, 4 * RESPONSE_MAX);
    bbl_backend_link_set_limit(f.link, 1, false);
    lower_limit(&f);
    ck_assert_uint_le(receive_endless_response(&f, 0), RESPONSE_MAX / 16);
    for (int i = 0; i < SECONDS; i++) {
        bbl_link_exchange *x = start_exchange(&f, &o);
        int fd = accept_connection(&f);

        tcp_receive(f.loop, fd);
        tcp_send(fd, endless_kinds[0].start);
        send_body(&f, fd, 6000);
        bbl_link_exchange_abandon(x);
        close(fd);
        now += BBL_USEC_PER_SEC;
        bbl_backend_client_tick(f.client, now);
    }
    ck_assert_uint_ge(receive_endless_response(&f, 0), RESPONSE_MAX);
    close_fixture(&f);
}
END_TEST

/*
 * A host short of memory may end a response of usual size. This says nothing
 * about the server, whose limit must not be lowered for it.
 */
START_TEST(ending_a_usual_response_for_memory_lowers_no_limit)
{
    enum { LIMIT = 1 << 20 };
    bbl_memory_account *account = bbl_memory_account_new(LIMIT);
    size_t others = 0;
    fixture f;
    outcome o;
    int fd;

    open_fixture_on(&f, LIMIT / 4, 0, account);
    start_exchange(&f, &o);
    fd = accept_connection(&f);
    tcp_receive(f.loop, fd);
    tcp_send(fd, endless_kinds[0].start);
    send_body(&f, fd, USUAL_MAX_BYTES);
    bbl_memory_account_charge(account, &others, LIMIT);
    bbl_memory_account_enforce(account);
    ck_assert_int_eq(o.end, BBL_LINK_BROKEN);
    ck_assert(o.ended_by_host);
    ck_assert_uint_eq(bbl_backend_client_get_counters(f.client)->oversized, 0);
    close(fd);
    close_fixture(&f);
    bbl_memory_account_free(account);
}
END_TEST

enum {
    SHARE_LIMIT = 4 << 20,
    SHARE_RESPONSE_MAX = SHARE_LIMIT / 8,
    SHARE_CONNECTIONS = 50,
    /* With the buffer of 128 KB in which each is received, the responses on
     * all connections take more than the limit. */
    SHARE_RESPONSE_BYTES = 120000
};

/*
 * Starts a response that states its length and does not end on each of some
 * connections of the fixture's server.
 */
static void
receive_incomplete_responses(fixture *f, unsigned count, outcome *o, int *fds)
{
    bbl_backend_link_set_limit(f->link, count, false);
    for (unsigned i = 0; i < count; i++) {
        start_exchange(f, &o[i]);
        fds[i] = accept_connection(f);
        tcp_receive(f->loop, fds[i]);
        tcp_send(fds[i], "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n"
                         "Content-Length: 130000\r\n\r\n");
        send_body(f, fds[i], SHARE_RESPONSE_BYTES);
    }
}

/*
 * A server holds many responses, each smaller than that of another server.
 * Without a limit for one server, the other's would be ended for them.
 */
START_TEST(a_server_does_not_displace_the_responses_of_others)
{
    fixture f;
    outcome o[SHARE_CONNECTIONS];
    outcome other;
    bbl_backend_link *link;
    int fds[SHARE_CONNECTIONS];
    int fd;

    open_fixture_with(&f, SHARE_RESPONSE_MAX, SHARE_LIMIT);
    link = bbl_backend_link_new(f.client, f.address, &f);
    start_exchange_on(link, &other);
    fd = accept_connection(&f);
    tcp_receive(f.loop, fd);
    tcp_send(fd, "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n"
                 "Content-Length: 400000\r\n\r\n");
    send_body(&f, fd, 300000);
    receive_incomplete_responses(&f, SHARE_CONNECTIONS, o, fds);
    ck_assert_uint_eq(other.calls, 0);
    ck_assert_uint_le(bbl_backend_client_get_buffered(f.client),
                      SHARE_LIMIT / 2 + 2 * SHARE_RESPONSE_MAX);
    send_body(&f, fd, 100000);
    tcp_run_loop(f.loop, 10);
    ck_assert_uint_eq(other.calls, 1);
    ck_assert_int_eq(other.end, BBL_LINK_RESPONSE);
    ck_assert(o[0].ended_by_host);
    bbl_backend_client_tick(f.client, bbl_clock_now());
    ck_assert_uint_gt(f.memory_reports[BBL_MEMORY_SERVER_SHARE], 0);
    for (int i = 0; i < SHARE_CONNECTIONS; i++) {
        close(fds[i]);
    }
    close(fd);
    close_fixture(&f);
}
END_TEST

/* The only server may use all of the memory: there are no others. */
START_TEST(the_only_server_has_no_share)
{
    enum { CONNECTIONS = 25 }; /* which take more than half */
    fixture f;
    outcome o[CONNECTIONS];
    int fds[CONNECTIONS];

    open_fixture_with(&f, SHARE_RESPONSE_MAX, SHARE_LIMIT);
    receive_incomplete_responses(&f, CONNECTIONS, o, fds);
    ck_assert_uint_gt(bbl_backend_client_get_buffered(f.client),
                      SHARE_LIMIT / 2);
    for (int i = 0; i < CONNECTIONS; i++) {
        ck_assert_uint_eq(o[i].calls, 0);
        close(fds[i]);
    }
    close_fixture(&f);
}
END_TEST

/*
 * A response of the maximum size takes all of its server's half of the memory
 * in a buffer of twice its size, and its head takes more. It must not be
 * refused for the share.
 */
START_TEST(a_response_of_the_maximum_size_fits_in_the_share)
{
    enum { RESPONSE_MAX = (1 << 20) + 24, FIRST_BYTES = (1 << 20) + 4 };
    fixture f;
    outcome o;
    char head[128];
    int fd;

    open_fixture_with(&f, RESPONSE_MAX, 4 * RESPONSE_MAX);
    bbl_backend_link_new(f.client, f.address, &f);
    start_exchange(&f, &o);
    fd = accept_connection(&f);
    tcp_receive(f.loop, fd);
    snprintf(head, sizeof(head),
             "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n"
             "Content-Length: %d\r\n\r\n",
             RESPONSE_MAX);
    tcp_send(fd, head);
    send_body(&f, fd, FIRST_BYTES);
    tcp_run_loop(f.loop, 10);
    ck_assert_uint_eq(o.calls, 0);
    send_body(&f, fd, RESPONSE_MAX - FIRST_BYTES);
    tcp_run_loop(f.loop, 10);
    ck_assert_uint_eq(o.calls, 1);
    ck_assert_int_eq(o.end, BBL_LINK_RESPONSE);
    close(fd);
    close_fixture(&f);
}
END_TEST

/* The buffers that idle connections keep would take the share for good. */
START_TEST(idle_connections_take_no_share)
{
    enum { CONNECTIONS = 40, BODY = 3500, LIMIT = 1 << 17 };
    fixture f;
    outcome o[CONNECTIONS];
    int fds[CONNECTIONS];

    open_fixture_with(&f, 4000, LIMIT);
    bbl_backend_link_new(f.client, f.address, &f);
    bbl_backend_link_set_limit(f.link, CONNECTIONS + 1, false);
    for (int i = 0; i < CONNECTIONS; i++) {
        start_exchange(&f, &o[i]);
        fds[i] = accept_connection(&f);
        tcp_receive(f.loop, fds[i]);
    }
    for (int i = 0; i < CONNECTIONS; i++) {
        tcp_send(fds[i], "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\n"
                         "Content-Length: 3500\r\n\r\n");
        send_body(&f, fds[i], BODY);
        tcp_run_loop(f.loop, 2);
        ck_assert_uint_eq(o[i].calls, 1);
        ck_assert_int_eq(o[i].end, BBL_LINK_RESPONSE);
    }
    ck_assert_uint_gt(bbl_backend_client_get_buffered(f.client), 100000);
    ck_assert(bbl_backend_link_has_room(f.link));
    for (int i = 0; i < CONNECTIONS; i++) {
        close(fds[i]);
    }
    close_fixture(&f);
}
END_TEST

/* Requests that a server does not read must not take all of the memory. */
START_TEST(a_server_gets_no_more_requests_than_its_share)
{
    static char body[SHARE_LIMIT / 8];
    fixture f;
    outcome o = {0};
    bbl_link_exchange_request r = {
        .body = {body, sizeof(body)}, .done = on_done, .ctx = &o};
    bbl_backend_link *link;
    bbl_link_exchange *x;
    unsigned started = 0;

    open_fixture_with(&f, SHARE_RESPONSE_MAX, SHARE_LIMIT);
    link = bbl_backend_link_new(f.client, f.address, &f);
    bbl_backend_link_set_limit(f.link, 20, false);
    while (started < 20 && bbl_backend_link_has_room(f.link)) {
        ck_assert_int_eq(
            bbl_link_exchange_start(&x, f.link, bbl_clock_now(), &r), 0);
        started++;
    }
    ck_assert_uint_ge(started, 1);
    ck_assert_uint_le(bbl_backend_client_get_buffered(f.client),
                      SHARE_LIMIT / 2 + 2 * sizeof(body));
    ck_assert(bbl_backend_link_has_room(link));
    bbl_backend_client_tick(f.client, bbl_clock_now());
    ck_assert_uint_gt(f.memory_reports[BBL_MEMORY_SERVER_REQUESTS], 0);
    close_fixture(&f);
}
END_TEST

/*
 * An operator has to see at which server and why exchanges were ended for
 * memory, also if it happens often.
 */
START_TEST(what_is_ended_for_memory_is_reported_by_cause)
{
    enum { LIMIT = 1 << 20 };
    static const bbl_memory_cause causes[] = {
        BBL_MEMORY_ENDLESS, BBL_MEMORY_TOO_LONG, BBL_MEMORY_STRAY,
        BBL_MEMORY_HOST_LIMIT};
    bbl_memory_account *account = bbl_memory_account_new(LIMIT);
    bbl_usec now = bbl_clock_now();
    size_t others = 0;
    fixture f;
    outcome o;
    int fd;

    open_fixture_on(&f, LIMIT / 4, 0, account);
    bbl_backend_link_set_limit(f.link, 1, false);
    start_exchange(&f, &o);
    fd = accept_connection(&f);
    tcp_send(fd, "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n");
    tcp_run_loop(f.loop, 10);
    close(fd);
    receive_endless_response(&f, 0); /* less is allowed now */
    start_exchange(&f, &o);
    fd = accept_connection(&f);
    tcp_send_endlessly(f.loop, fd, "HTTP/1.1 100 Continue\r\n\r\n", LIMIT);
    close(fd);
    start_exchange(&f, &o);
    close(accept_connection(&f));
    bbl_memory_account_charge(account, &others, LIMIT);
    bbl_memory_account_enforce(account);
    bbl_backend_client_tick(f.client, now);
    for (size_t i = 0; i < ARRAY_SIZE(causes); i++) {
        const char *name = bbl_memory_cause_name(causes[i]);

        ck_assert_msg(bbl_memory_account_get_count(account, causes[i]) == 1,
                      "%s is not counted", name);
        ck_assert_msg(f.memory_reports[causes[i]] == 1, "%s is not reported",
                      name);
    }
    bbl_memory_account_charge(account, &others, 0);
    receive_endless_response(&f, 0);
    bbl_backend_client_tick(f.client, now + BBL_USEC_PER_SEC);
    ck_assert_uint_eq(f.memory_reports[BBL_MEMORY_ENDLESS], 1);
    bbl_backend_client_tick(f.client, now + 5 * BBL_USEC_PER_SEC);
    ck_assert_uint_eq(f.memory_reports[BBL_MEMORY_ENDLESS], 2);
    close_fixture(&f);
    bbl_memory_account_free(account);
}
END_TEST

/*
 * A connection that is closed to save memory while it is connecting tells
 * nothing of the server: no failed connect may be reported, no lower limit may
 * follow, and a preconnect that waits for its result must be made up for.
 */
START_TEST(ending_a_connect_for_memory_is_no_failure_of_the_server)
{
    enum { LIMIT = 1 << 20 };
    static char body[LIMIT * 5 / 8];
    bbl_memory_account *account = bbl_memory_account_new(LIMIT);
    outcome o = {0};
    bbl_link_exchange_request r = {
        .body = {body, sizeof(body)}, .done = on_done, .ctx = &o};
    const bbl_backend_counters *counters;
    bbl_link_exchange *x;
    bbl_usec now = bbl_clock_now();
    size_t others = 0;
    fixture f;

    open_fixture_on(&f, LIMIT / 4, 0, account);
    counters = bbl_backend_client_get_counters(f.client);
    bbl_backend_link_set_limit(f.link, 0, false);
    bbl_backend_link_preconnect(f.link, now); /* there is no room yet */
    bbl_backend_link_set_limit(f.link, 1, false);
    ck_assert_int_eq(bbl_link_exchange_start(&x, f.link, now, &r), 0);
    bbl_memory_account_charge(account, &others, LIMIT / 2);
    bbl_memory_account_enforce(account);
    ck_assert_uint_eq(o.calls, 1);
    ck_assert_int_eq(o.end, BBL_LINK_UNSENT);
    ck_assert(o.ended_by_host);
    ck_assert_uint_eq(f.failed, 0);
    ck_assert_uint_eq(counters->connect_failures, 0);
    ck_assert_uint_eq(counters->oversized, 0);
    bbl_backend_client_tick(f.client, now);
    ck_assert_uint_eq(counters->connects, 2);
    tcp_run_loop(f.loop, 10);
    ck_assert_uint_eq(f.opened, 1);
    close_fixture(&f);
    bbl_memory_account_free(account);
}
END_TEST

/* With less room than for one response, none that comes in pieces gets in. */
START_TEST(a_client_needs_room_for_one_response)
{
    bbl_backend_client_options o = {.response_max = 200, .buffered_max = 199};
    bbl_backend_client *client;
    bbl_loop *loop;

    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    ck_assert_int_eq(bbl_backend_client_open(&client, loop, &o), BBL_EINVAL);
    ck_assert_ptr_null(client);
    bbl_loop_free(loop);
}
END_TEST

/*
 * The only connection that the link may hold hangs when the server is taken
 * for down, so the connection that would show that it is back has to wait.
 */
START_TEST(a_preconnect_that_found_no_room_is_made_up_for)
{
    fixture f;
    outcome o;
    bbl_link_exchange *x;
    int fd;

    open_fixture(&f);
    bbl_backend_link_set_limit(f.link, 1, false);
    x = start_exchange(&f, &o);
    fd = accept_connection(&f);
    tcp_run_loop(f.loop, 10);
    bbl_backend_link_preconnect(f.link, bbl_clock_now());
    ck_assert_uint_eq(f.opened, 1);
    bbl_link_exchange_abandon(x);
    close(fd);
    bbl_backend_client_tick(f.client, bbl_clock_now());
    fd = accept_connection(&f);
    tcp_run_loop(f.loop, 10);
    ck_assert_uint_eq(f.opened, 2);
    close(fd);
    close_fixture(&f);
}
END_TEST

/* While servers are overloaded, a connection without a request would occupy
 * one of their slots. */
START_TEST(a_paused_client_opens_no_connection_in_advance)
{
    fixture f;
    outcome o;

    open_fixture(&f);
    bbl_backend_client_pause_preconnect(f.client, true);
    bbl_backend_client_tick(f.client, bbl_clock_now());
    ck_assert_uint_eq(bbl_backend_client_get_counters(f.client)->connects, 0);
    start_exchange(&f, &o);
    ck_assert_uint_eq(bbl_backend_client_get_counters(f.client)->connects, 1);
    close_fixture(&f);
    open_fixture(&f);
    bbl_backend_client_pause_preconnect(f.client, true);
    bbl_backend_client_pause_preconnect(f.client, false);
    bbl_backend_client_tick(f.client, bbl_clock_now());
    ck_assert_uint_eq(bbl_backend_client_get_counters(f.client)->connects, 1);
    close_fixture(&f);
}
END_TEST

START_TEST(preconnects_per_tick_are_limited)
{
    /* Without a limit, a host that starts would connect to all servers at
     * once. */
    fixture f;
    const bbl_backend_counters *counters;
    uint64_t before;

    open_fixture(&f);
    counters = bbl_backend_client_get_counters(f.client);
    for (int i = 1; i < LINKS; i++) {
        bbl_backend_link_set_limit(
            bbl_backend_link_new(f.client, f.address, &f), 1, true);
    }
    for (int i = 0; i < LINKS; i++) {
        before = counters->connects;
        bbl_backend_client_tick(f.client, bbl_clock_now());
        ck_assert_uint_le(counters->connects, before + 10);
    }
    /* Each link has opened exactly one connection. */
    ck_assert_uint_eq(counters->connects, LINKS);
    close_fixture(&f);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("backend_link");
    TCase *tc = tcase_create("backend_link");

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, a_connection_is_reused);
    tcase_add_test(tc, a_response_to_another_request_is_skipped);
    tcase_add_test(tc,
                   a_late_copy_of_a_refusal_is_not_the_response_to_a_retry);
    tcase_add_test(tc,
                   a_retry_replaces_the_connection_that_carried_the_request);
    tcase_add_test(tc, a_response_with_an_id_is_not_for_a_request_without_one);
    tcase_add_test(tc, a_connection_carries_a_limited_number_of_requests);
    tcase_add_loop_test(tc, no_early_response_frees_a_connection, 0,
                        EARLY_FORMS * BUFFER_SIZES);
    tcase_add_loop_test(tc, a_request_never_follows_an_incomplete_one, 0,
                        2 * ARRAY_SIZE(early_statuses));
    tcase_add_test(tc,
                   a_connection_is_kept_if_the_request_was_sent_in_the_end);
    tcase_add_test(tc, bytes_after_a_response_close_the_connection);
    tcase_add_loop_test(tc,
                        a_response_without_a_valid_status_ends_the_exchange, 0,
                        ARRAY_SIZE(responses_without_status));
    tcase_add_loop_test(tc, only_complete_responses_are_accepted, 0,
                        ARRAY_SIZE(closed_responses));
    tcase_add_loop_test(tc, an_answer_that_ends_early_is_never_complete, 0, 4);
    tcase_add_test(tc, a_reset_makes_a_body_without_length_incomplete);
    tcase_add_test(tc, a_refused_connection_is_reported_as_unsent);
    tcase_add_test(tc, connections_are_limited);
    tcase_add_test(tc, an_abandoned_exchange_closes_its_connection);
    tcase_add_test(tc, the_last_connection_is_reopened_when_closed);
    tcase_add_loop_test(tc, bytes_without_end_close_the_connection, 0,
                        ARRAY_SIZE(endless));
    tcase_add_test(tc, endless_bodies_of_many_servers_are_bounded);
    tcase_add_loop_test(tc, endless_responses_are_bounded_in_allocated_bytes,
                        0, ARRAY_SIZE(endless_kinds));
    tcase_add_loop_test(tc, a_server_that_sends_without_end_is_allowed_less, 0,
                        ENDLESS_BODY_KINDS);
    tcase_add_test(tc,
                   ending_a_connect_for_memory_is_no_failure_of_the_server);
    tcase_add_test(tc, usual_responses_end_a_lowered_limit);
    tcase_add_test(tc, a_lowered_limit_rises_while_responses_are_cancelled);
    tcase_add_test(tc, ending_a_usual_response_for_memory_lowers_no_limit);
    tcase_add_test(tc, a_server_does_not_displace_the_responses_of_others);
    tcase_add_test(tc, the_only_server_has_no_share);
    tcase_add_test(tc, a_response_of_the_maximum_size_fits_in_the_share);
    tcase_add_test(tc, idle_connections_take_no_share);
    tcase_add_test(tc, a_server_gets_no_more_requests_than_its_share);
    tcase_add_test(tc, what_is_ended_for_memory_is_reported_by_cause);
    tcase_add_test(tc, a_client_needs_room_for_one_response);
    tcase_add_test(tc, a_preconnect_that_found_no_room_is_made_up_for);
    tcase_add_test(tc, a_paused_client_opens_no_connection_in_advance);
    tcase_add_test(tc, preconnects_per_tick_are_limited);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
