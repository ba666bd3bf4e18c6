/*
 * Tests over loopback sockets what the traffic thread of an entry host passes
 * on of a request to servers and to other hosts, and what it logs, where the
 * routing has organisations.
 */
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "daemon/gateway.h"
#include "platform/dialect.h"
#include "support/run.h"
#include "support/tcp.h"
#include "util/alloc.h"
#include "util/clock.h"

#define WAIT_MS 3000
#define CONNECTIONS_MAX 16
#define TEXT_MAX 16384

#define ROUTE(name, prefix, rest)                                             \
    "{\"name\":\"" name                                                       \
    "\",\"hostname\":\"a.example\",\"path_prefix\":\"" prefix                 \
    "\",\"route_type\":\"safe\",\"timeout_ms\":2000,"                         \
    "\"target_latency_ms\":500,\"max_attempts\":2,\"service\":\"s\"" rest "}"
#define DOCUMENT(tenants)                                                     \
    "{\"version\":4,\"routes\":[" ROUTE("x", "/x/", "") "," ROUTE(            \
        "p", "/p/", ",\"public\":true") "],\"services\":[{\"name\":\"s\","    \
                                        "\"max_connections\":26}]" tenants    \
                                        "}"
#define UNSAFE_DOCUMENT                                                       \
    "{\"version\":4,\"routes\":[{\"name\":\"u\",\"hostname\":\"a.example\","  \
    "\"path_prefix\":\"/u/\",\"route_type\":\"unsafe\",\"timeout_ms\":2000,"  \
    "\"target_latency_ms\":500,\"max_attempts\":2,\"service\":\"s\"}],"       \
    "\"services\":[{\"name\":\"s\",\"max_connections\":26}]}"
#define TENANTS                                                               \
    ",\"tenants\":[{\"name\":\"ant hill\",\"api_keys\":[\"k-hidden\"]}]"

/* A listening socket and what it has accepted; it reads one request from each
 * connection at a time. */
typedef struct {
    bblx_address address;
    int listener;
    int fds[CONNECTIONS_MAX];
    size_t count;
    char text[TEXT_MAX]; /* the last request */
} peer;

typedef struct {
    bbl_node_options options;
    bbl_loop *loop; /* of the notices */
    bbl_mailbox notices;
    bbl_gateway *gateway;
    int log;
    peer server;
    peer other_host;
    uint64_t applied;
} fixture;

static void
open_peer(peer *p)
{
    memset(p, 0, sizeof(*p));
    p->listener = tcp_listen(&p->address);
}

static void
close_peer(peer *p)
{
    for (size_t i = 0; i < p->count; i++) {
        close(p->fds[i]);
    }
    close(p->listener);
}

static void
set_backend(bblx_backend *b, uint64_t number, bblx_address address, bool gone)
{
    char id[24];

    snprintf(id, sizeof(id), "i%llu", (unsigned long long)number);
    b->id.bblx_label_len = (u_int)strlen(id);
    b->id.bblx_label_val = bbl_memdup(id, strlen(id));
    b->service.bblx_label_len = 1;
    b->service.bblx_label_val = bbl_memdup("s", 1);
    b->zone.bblx_name_len = 1;
    b->zone.bblx_name_val = bbl_memdup("z", 1);
    b->address = address;
    b->slots = 2;
    b->gone = gone;
}

/* Passes the routing, a server instead of the last one, and the other host to
 * the gateway. */
static void
update(fixture *f, const char *document, bblx_address server)
{
    bbl_forward_update *u = bbl_calloc(1, sizeof(*u));

    ck_assert_msg(bbl_platform_dialect()->read_routing(
                      &u->routing, (bbl_str){document, strlen(document)}) == 0,
                  "%s", bbl_error_last());
    ck_assert_int_eq(bbl_routing_check(u->routing), 0);
    u->applied = ++f->applied;
    u->backends = bbl_calloc(2, sizeof(*u->backends));
    set_backend(&u->backends[0], u->applied, server, false);
    set_backend(&u->backends[1], u->applied - 1, server, true);
    u->cold_until = bbl_calloc(2, sizeof(*u->cold_until));
    u->backend_count = 2;
    u->list_read_at = bbl_clock_now();
    u->has_peers = true;
    u->peers = bbl_calloc(1, sizeof(*u->peers));
    u->peers[0] = (bbl_listed_peer){9, f->other_host.address};
    u->peer_count = 1;
    bbl_gateway_send_update(f->gateway, u);
    for (int i = 0;
         i < WAIT_MS && bbl_gateway_get_applied_index(f->gateway) < f->applied;
         i++) {
        usleep(1000);
    }
    ck_assert_uint_eq(bbl_gateway_get_applied_index(f->gateway), f->applied);
}

static int standard_output; /* while a test captures the log */

static void
save_output(void)
{
    fflush(stdout);
    standard_output = dup(STDOUT_FILENO);
}

static void
restore_output(void)
{
    dup2(standard_output, STDOUT_FILENO);
    close(standard_output);
}

static void
open_fixture(fixture *f, const char *document)
{
    memset(f, 0, sizeof(*f));
    f->log = open("/tmp", O_TMPFILE | O_RDWR, 0600);
    ck_assert_int_ge(f->log, 0);
    ck_assert_int_ge(dup2(f->log, STDOUT_FILENO), 0);
    open_peer(&f->server);
    open_peer(&f->other_host);
    bbl_name_set(&f->options.zone, "z", 1);
    f->options.control_address = (bblx_address){INADDR_LOOPBACK, 1};
    f->options.caller_address = tcp_free_address();
    f->options.peer_address = tcp_free_address();
    f->options.metrics_address = tcp_free_address();
    f->options.apply_ms = 3000;
    f->options.extra_ratio = 0.2;
    f->options.extra_window_ms = 10000;
    f->options.extra_constant = 50;
    ck_assert_int_eq(bbl_loop_open(&f->loop), 0);
    bbl_mailbox_init(&f->notices, f->loop, 64);
    ck_assert_int_eq(bbl_gateway_open(&f->gateway, &f->options,
                                      bbl_platform_dialect(), 1, &f->notices),
                     0);
    bbl_gateway_confirm_routing(f->gateway, UINT64_MAX);
    ck_assert_int_eq(bbl_gateway_start(f->gateway), 0);
    update(f, document, f->server.address);
}

static void
free_notice(void *notice)
{
    bbl_notice_free(notice);
}

static void
close_fixture(fixture *f)
{
    bbl_gateway_free(f->gateway);
    bbl_mailbox_free(&f->notices, free_notice);
    bbl_loop_free(f->loop);
    close_peer(&f->server);
    close_peer(&f->other_host);
    close(f->log);
}

/* Reads until the head of a message has arrived. */
static bool
read_head(int fd, char *text)
{
    size_t size = 0;

    text[0] = '\0';
    while (strstr(text, "\r\n\r\n") == NULL) {
        ssize_t n = recv(fd, text + size, TEXT_MAX - 1 - size, 0);

        if (n <= 0) {
            return false;
        }
        size += (size_t)n;
        text[size] = '\0';
    }
    return true;
}

/* Accepts connections until one carries a request; returns its socket. */
static int
receive_request(peer *p)
{
    bbl_usec until = bbl_clock_now() + WAIT_MS * BBL_USEC_PER_MS;

    while (bbl_clock_now() < until) {
        struct pollfd fds[CONNECTIONS_MAX + 1] = {{p->listener, POLLIN, 0}};

        for (size_t i = 0; i < p->count; i++) {
            fds[i + 1] = (struct pollfd){p->fds[i], POLLIN, 0};
        }
        if (poll(fds, p->count + 1, 100) <= 0) {
            continue;
        }
        for (size_t i = 0; i < p->count; i++) {
            if (fds[i + 1].revents != 0) {
                if (read_head(p->fds[i], p->text)) {
                    return p->fds[i];
                }
                close(p->fds[i]);
                p->fds[i] = p->fds[--p->count];
                break;
            }
        }
        if (fds[0].revents != 0 && p->count < CONNECTIONS_MAX) {
            p->fds[p->count++] = accept4(p->listener, NULL, NULL, 0);
        }
    }
    ck_abort_msg("no request has arrived");
    return -1;
}

/* Receives one request at the server, and answers it. */
static const char *
serve(fixture *f)
{
    int fd = receive_request(&f->server);

    tcp_send(fd, "HTTP/1.1 200 OK\r\nResponse-Stamp: s.1\r\n"
                 "Request-Id: q1\r\nContent-Length: 2\r\n\r\nok");
    return f->server.text;
}

/* Sends a request to the host; returns the connection. */
static int
send_request(bblx_address to, int fd, const char *path, const char *fields)
{
    char text[TEXT_MAX];

    fd = fd >= 0 ? fd : tcp_connect(to);
    snprintf(text, sizeof(text),
             "GET %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: q1\r\n"
             "%sX-Other: 1\r\n\r\n",
             path, fields);
    tcp_send(fd, text);
    return fd;
}

/* Receives the response to a request; `status` is how its status begins. */
static const char *
receive_response(int fd, const char *status)
{
    static char text[TEXT_MAX];

    ck_assert(read_head(fd, text));
    ck_assert_msg(strncmp(text + 9, status, strlen(status)) == 0, "%s", text);
    return text;
}

/* Returns how often a string occurs, regardless of letter case. */
static unsigned
count(const char *text, const char *part)
{
    unsigned n = 0;

    for (; (text = strcasestr(text, part)) != NULL; text++) {
        n++;
    }
    return n;
}

/* Returns all log lines so far. */
static const char *
read_log(const fixture *f)
{
    static char text[65536];
    ssize_t n = pread(f->log, text, sizeof(text) - 1, 0);

    ck_assert_int_ge(n, 0);
    text[n] = '\0';
    return text;
}

#define ODD_FIELDS                                                            \
    "kEY: k-hidden\r\nTENANT-ID: other\r\ntenant-id: third\r\n"               \
    "Connection: Tenant-Id\r\nTenant-Id:\r\n"

/* A server must not take what the caller wrote for the organisation. */
START_TEST(a_server_gets_the_organisation_and_not_the_key)
{
    fixture f;
    const char *text;
    int fd;

    open_fixture(&f, DOCUMENT(TENANTS));
    fd = send_request(f.options.caller_address, -1, "/x/a", ODD_FIELDS);
    text = serve(&f);
    ck_assert_uint_eq(count(text, "tenant-id"), 1);
    ck_assert_ptr_nonnull(strstr(text, "\r\nTenant-Id: ant hill\r\n"));
    ck_assert_uint_eq(count(text, "key:"), 0);
    ck_assert_uint_eq(count(text, "hidden"), 0);
    ck_assert_ptr_nonnull(strstr(text, "\r\nX-Other: 1\r\n"));
    receive_response(fd, "200");
    close(fd);
    fd = send_request(f.options.caller_address, -1, "/p/a", ODD_FIELDS);
    text = serve(&f);
    ck_assert_uint_eq(count(text, "tenant-id"), 0);
    ck_assert_uint_eq(count(text, "key:"), 0);
    ck_assert_uint_eq(count(text, "hidden"), 0);
    receive_response(fd, "200");
    close(fd);
    close_fixture(&f);
}
END_TEST

START_TEST(without_organisations_both_fields_are_passed_through)
{
    fixture f;
    const char *text;
    int fd;

    open_fixture(&f, DOCUMENT(""));
    fd = send_request(f.options.caller_address, -1, "/x/a",
                      "kEY: k-hidden\r\nTENANT-ID: other\r\nkey:\r\n");
    text = serve(&f);
    ck_assert_ptr_nonnull(strstr(text, "\r\nkEY: k-hidden\r\n"
                                       "TENANT-ID: other\r\nkey: \r\n"));
    receive_response(fd, "200");
    close(fd);
    ck_assert_ptr_null(strstr(read_log(&f), "BBL2019"));
    close_fixture(&f);
}
END_TEST

static char oversized[400];

static const char *const bad_fields[] = {
    "",
    "Key: unknown\r\n",
    "Key:\r\n",
    "Key: k-hidden\r\nkey: k-hidden\r\n",
    "Key: k-hidden, k-hidden\r\n",
    "Key: k-hidden\r\nKey:\r\n",
    "X-Key: k-hidden\r\n",
    "Tenant-Id: ant hill\r\n",
    oversized,
};

/* A 401 is final, so it names no retry time; the caller may send another
 * request on its connection. */
START_TEST(a_bad_key_gets_401_on_a_connection_that_stays_open)
{
    fixture f;
    const char *text;
    int fd;

    memset(oversized, 'k', 300);
    memcpy(oversized, "Key: ", 5);
    memcpy(oversized + 300, "\r\n", 3);
    open_fixture(&f, DOCUMENT(TENANTS));
    fd = send_request(f.options.caller_address, -1, "/x/a", bad_fields[_i]);
    text = receive_response(fd, "401");
    ck_assert_uint_eq(count(text, "retry-after"), 0);
    ck_assert_uint_eq(count(text, "connection: close"), 0);
    ck_assert_ptr_nonnull(strstr(text, "unauthorized"));
    ck_assert_uint_eq(count(text, "hidden"), 0);
    send_request(f.options.caller_address, fd, "/x/a", "Key:  k-hidden \r\n");
    serve(&f);
    receive_response(fd, "200");
    close(fd);
    usleep(100000); /* until the log is flushed */
    ck_assert_ptr_nonnull(
        strstr(read_log(&f), "outcome=unauthorized status=401"));
    ck_assert_ptr_nonnull(strstr(read_log(&f), "org=\"ant hill\" detail"));
    ck_assert_ptr_nonnull(strstr(read_log(&f), "organisations=1 keys=1"));
    ck_assert_uint_eq(count(read_log(&f), "hidden"), 0);
    close_fixture(&f);
}
END_TEST

START_TEST(the_metrics_count_refused_requests_and_keys)
{
    fixture f;
    const char *text;
    int fd;

    open_fixture(&f, DOCUMENT(TENANTS));
    fd = send_request(f.options.caller_address, -1, "/x/a", "");
    receive_response(fd, "401");
    close(fd);
    fd = send_request(f.options.metrics_address, -1, "/metrics", "");
    text = receive_response(fd, "200");
    while (strstr(text, "cpu_microseconds") == NULL) {
        size_t size = strlen(text);
        ssize_t n = recv(fd, (char *)text + size, TEXT_MAX - 1 - size, 0);

        ck_assert_int_gt(n, 0);
        ((char *)text)[size + (size_t)n] = '\0';
    }
    ck_assert_ptr_nonnull(strstr(text, "{outcome=\"unauthorized\"} 1\n"));
    ck_assert_ptr_nonnull(strstr(text, "organisation_keys 1\n"));
    ck_assert_ptr_nonnull(
        strstr(text, "memory_refused_total{cause=\"server-share\"} 0\n"));
    ck_assert_uint_eq(count(text, "hidden"), 0);
    ck_assert_uint_eq(count(text, "ant hill"), 0);
    close(fd);
    close_fixture(&f);
}
END_TEST

/* The other host gets the name; with it, it runs the query as its own. */
START_TEST(a_delegated_query_has_the_name_instead_of_the_key)
{
    fixture f;
    const char *text;
    char delegated[TEXT_MAX];
    int fd;
    int other;

    open_fixture(&f, DOCUMENT(TENANTS));
    update(&f, DOCUMENT(TENANTS), tcp_free_address()); /* nobody listens */
    fd = send_request(f.options.caller_address, -1, "/x/a", ODD_FIELDS);
    other = receive_request(&f.other_host);
    memcpy(delegated, f.other_host.text, sizeof(delegated));
    ck_assert_ptr_nonnull(strstr(delegated, "routing=0 org_routing=4 "));
    ck_assert_ptr_nonnull(strstr(delegated, " org=ant hill\r\n"));
    ck_assert_uint_eq(count(delegated, "hidden"), 0);
    ck_assert_uint_eq(count(delegated, "key:"), 0);
    tcp_send(other, "HTTP/1.1 200 OK\r\nResponse-Stamp: s.1\r\n"
                    "Request-Id: q1\r\nBaobablatch-Outcome: reason=ok "
                    "reach=most attempts=1\r\nContent-Length: 2\r\n\r\nok");
    receive_response(fd, "200");
    close(fd);
    /* The same request as another host sends it to this one. */
    update(&f, DOCUMENT(TENANTS), f.server.address);
    fd = tcp_connect(f.options.peer_address);
    tcp_send(fd, delegated);
    text = serve(&f);
    ck_assert_uint_eq(count(text, "tenant-id"), 1);
    ck_assert_ptr_nonnull(strstr(text, "\r\nTenant-Id: ant hill\r\n"));
    ck_assert_uint_eq(count(text, "baobablatch"), 0);
    receive_response(fd, "200");
    close(fd);
    usleep(100000); /* until the log is flushed */
    ck_assert_ptr_nonnull(strstr(read_log(&f), "delegated_by=2130706433 "
                                               "org=\"ant hill\" detail"));
    ck_assert_uint_eq(count(read_log(&f), "hidden"), 0);
    close_fixture(&f);
}
END_TEST

/* What a server in trouble sends; the connection ends after the second. */
static const char *const answers_without_status[] = {
    "HTTP/1.1 000 None\r\nResponse-Stamp: s.1\r\nRequest-Id: q1\r\n"
    "Content-Length: 2\r\n\r\nok",
    "HTTP/1.1 000 None\r\nResponse-Stamp: s.1\r\nRequest-Id: q1\r\n\r\nok",
};

/* The caller got the second answer as it was, and 504 after the route's
 * time-out for the first. */
START_TEST(an_answer_without_a_status_is_a_failure_at_once)
{
    fixture f;
    bbl_usec sent_at;
    int fd;
    int server;

    open_fixture(&f, UNSAFE_DOCUMENT);
    fd = send_request(f.options.caller_address, -1, "/u/a", "");
    server = receive_request(&f.server);
    sent_at = bbl_clock_now();
    tcp_send(server, answers_without_status[_i]);
    if (_i == 1) {
        shutdown(server, SHUT_WR);
    }
    receive_response(fd, "502");
    ck_assert_uint_lt(bbl_clock_now() - sent_at, BBL_USEC_PER_SEC);
    close(fd);
    close_fixture(&f);
}
END_TEST

START_TEST(another_host_s_answer_without_a_status_is_not_relayed)
{
    fixture f;
    int fd;

    open_fixture(&f, DOCUMENT(""));
    update(&f, DOCUMENT(""), tcp_free_address()); /* nobody listens */
    fd = send_request(f.options.caller_address, -1, "/x/a", "");
    tcp_send(receive_request(&f.other_host),
             "HTTP/1.1 000 None\r\nResponse-Stamp: s.1\r\nRequest-Id: q1\r\n"
             "Baobablatch-Outcome: reason=ok reach=most attempts=1\r\n"
             "Content-Length: 2\r\n\r\nok");
    receive_response(fd, "50");
    close(fd);
    close_fixture(&f);
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("gateway");
    TCase *t = tcase_create("gateway");

    tcase_add_checked_fixture(t, save_output, restore_output);
    tcase_add_test(t, a_server_gets_the_organisation_and_not_the_key);
    tcase_add_test(t, without_organisations_both_fields_are_passed_through);
    tcase_add_loop_test(t, a_bad_key_gets_401_on_a_connection_that_stays_open,
                        0, ARRAY_SIZE(bad_fields));
    tcase_add_test(t, the_metrics_count_refused_requests_and_keys);
    tcase_add_test(t, a_delegated_query_has_the_name_instead_of_the_key);
    tcase_add_loop_test(t, an_answer_without_a_status_is_a_failure_at_once, 0,
                        ARRAY_SIZE(answers_without_status));
    tcase_add_test(t, another_host_s_answer_without_a_status_is_not_relayed);
    suite_add_tcase(s, t);
    return run_suite(s);
}
