#include <string.h>
#include <time.h>

#include "net/mesh.h"
#include "support/run.h"
#include "support/tcp.h"
#include "util/clock.h"

#define MS BBL_USEC_PER_MS
#define CHALLENGE_BYTES 16

typedef struct {
    bbl_loop *loop;
    bbl_mesh *mesh;
    unsigned feeds;   /* BBLX_FEED messages received */
    unsigned permits; /* BBLX_PERMIT_REQUEST messages received */
} peer;

static void
on_receive(void *ctx, uint32_t from, uint64_t incarnation,
           const bblx_message *m)
{
    peer *p = ctx;

    (void)from;
    (void)incarnation;
    p->feeds += m->kind == BBLX_FEED;
    p->permits += m->kind == BBLX_PERMIT_REQUEST;
}

/* Opens a process of a host, whose incarnation may be any. */
static bblx_address
open_process(peer *p, bbl_loop *loop, uint32_t host, uint64_t incarnation)
{
    bbl_mesh_options o;

    memset(&o, 0, sizeof(o));
    o.host = host;
    o.incarnation = incarnation;
    bbl_name_set(&o.cluster, "test", 4);
    o.listen_address = tcp_free_address();
    o.ack_timeout = 150 * MS;
    o.frame_ttl = 300 * MS;
    o.receive = on_receive;
    o.ctx = p;
    memset(p, 0, sizeof(*p));
    p->loop = loop;
    ck_assert_int_eq(bbl_mesh_open(&p->mesh, loop, &o), 0);
    return o.listen_address;
}

static bblx_address
open_peer(peer *p, bbl_loop *loop, uint32_t host)
{
    return open_process(p, loop, host, 1);
}

static void
send_message(peer *p, uint32_t host, bblx_address to, bblx_kind kind)
{
    bblx_message m;

    memset(&m, 0, sizeof(m));
    m.kind = kind;
    if (kind == BBLX_ADMISSION_REQUEST) {
        m.bblx_message_u.admission_request.item.subject = BBLX_ADMISSION_QUOTA;
    }
    bbl_mesh_send(p->mesh, bbl_clock_now(), host, to, &m);
}

static void
run(peer *a, peer *b, unsigned turns)
{
    for (unsigned i = 0; i < turns; i++) {
        bbl_loop_run_once(a->loop, 5 * MS);
        bbl_mesh_tick(a->mesh, bbl_clock_now());
        if (b != NULL) {
            bbl_mesh_tick(b->mesh, bbl_clock_now());
        }
    }
}

START_TEST(extended_kinds_reach_a_peer_that_announces_them)
{
    bbl_loop *loop;
    peer a;
    peer b;
    bblx_address to;

    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    open_peer(&a, loop, 1);
    to = open_peer(&b, loop, 2);
    send_message(&a, 2, to, BBLX_FEED);
    send_message(&a, 2, to, BBLX_PERMIT_REQUEST);
    run(&a, &b, 10);
    send_message(&a, 2, to, BBLX_PERMIT_REQUEST);
    run(&a, &b, 10);
    ck_assert_uint_eq(b.feeds, 1);
    ck_assert_uint_eq(b.permits, 2);
    bbl_mesh_free(a.mesh);
    bbl_mesh_free(b.mesh);
    bbl_loop_free(loop);
}
END_TEST

/*
 * The build before the announcement of the greatest kind accepts permits only;
 * the next one announces the greatest kind that it knows. A frame of a later
 * kind would close the connection.
 */
START_TEST(a_peer_gets_only_the_kinds_that_it_announces)
{
    char greeting[CHALLENGE_BYTES + 8] = "bblx-k15abcdefgh";
    bool announces = _i == 1;
    uint64_t announced = 0xbb1c0000ull << 32 | BBLX_ADMISSION_REQUEST;
    int size = CHALLENGE_BYTES + (announces ? 8 : 0);
    bbl_loop *loop;
    peer a;
    bblx_address to;
    int listener = tcp_listen(&to);
    int fd;

    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    open_peer(&a, loop, 1);
    send_message(&a, 2, to, BBLX_PERMIT_REQUEST);
    send_message(&a, 2, to, BBLX_ADMISSION_REQUEST);
    send_message(&a, 2, to, BBLX_ADMISSION_REPORT);
    run(&a, NULL, 2);
    fd = accept(listener, NULL, NULL);
    ck_assert_int_ge(fd, 0);
    memcpy(greeting + CHALLENGE_BYTES, &announced, sizeof(announced));
    ck_assert_int_eq(send(fd, greeting, (size_t)size, 0), size);
    run(&a, NULL, 10);
    ck_assert_uint_eq(bbl_mesh_get_counters(a.mesh)->frames_sent,
                      announces ? 2 : 1);
    ck_assert_uint_eq(bbl_mesh_get_counters(a.mesh)->dropped_frames,
                      announces ? 1 : 2);
    close(fd);
    close(listener);
    bbl_mesh_free(a.mesh);
    bbl_loop_free(loop);
}
END_TEST

/* Taken for an acknowledgement, the announcement would drop frames that the
 * peer has not received, or keep all of them for ever. */
START_TEST(the_announcement_is_no_acknowledgement)
{
    bbl_loop *loop;
    peer a;
    peer b;
    bblx_address to;

    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    open_peer(&a, loop, 1);
    to = open_peer(&b, loop, 2);
    send_message(&a, 2, to, BBLX_ADMISSION_REQUEST);
    send_message(&a, 2, to, BBLX_ADMISSION_REPORT);
    run(&a, &b, 10);
    ck_assert_uint_eq(bbl_mesh_get_counters(b.mesh)->frames_received, 2);
    ck_assert_uint_eq(bbl_mesh_get_backlog(a.mesh, 2), 0);
    bbl_mesh_free(a.mesh);
    bbl_mesh_free(b.mesh);
    bbl_loop_free(loop);
}
END_TEST

/*
 * An earlier build would close the connection, and with it lose the heartbeats
 * that it carries.
 */
START_TEST(extended_kinds_are_not_sent_to_earlier_builds)
{
    static const char challenge[CHALLENGE_BYTES] = "0123456789abcdef";
    bbl_loop *loop;
    peer a;
    bblx_address to;
    int listener = tcp_listen(&to);
    int fd;
    char received[65536];
    ssize_t size;

    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    open_peer(&a, loop, 1);
    send_message(&a, 2, to, BBLX_PERMIT_REQUEST);
    send_message(&a, 2, to, BBLX_FEED);
    send_message(&a, 2, to, BBLX_PERMIT_REQUEST);
    run(&a, NULL, 2);
    fd = accept(listener, NULL, NULL);
    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(send(fd, challenge, CHALLENGE_BYTES, 0), CHALLENGE_BYTES);
    run(&a, NULL, 5);
    send_message(&a, 2, to, BBLX_PERMIT_REQUEST);
    run(&a, NULL, 5);
    size = recv(fd, received, sizeof(received), MSG_DONTWAIT);
    /* One frame: its record mark states the rest of the bytes. */
    ck_assert_int_gt(size, 4);
    ck_assert_uint_eq(((uint8_t)received[2] << 8) + (uint8_t)received[3],
                      (unsigned)size - 4);
    ck_assert_uint_eq(bbl_mesh_get_counters(a.mesh)->frames_sent, 1);
    ck_assert_uint_eq(bbl_mesh_get_counters(a.mesh)->dropped_frames, 3);
    close(fd);
    close(listener);
    bbl_mesh_free(a.mesh);
    bbl_loop_free(loop);
}
END_TEST

/* The clock was set back between the starts, so the later one has the lower
 * incarnation. */
START_TEST(a_host_restarted_with_its_clock_set_back_is_heard)
{
    bbl_loop *loop;
    peer receiver;
    peer before;
    peer after;
    bblx_address to;

    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    to = open_process(&receiver, loop, 1, 9);
    open_process(&before, loop, 2, 500);
    open_process(&after, loop, 2, 100);
    send_message(&before, 1, to, BBLX_FEED);
    run(&receiver, &before, 30);
    ck_assert_uint_eq(receiver.feeds, 1);
    send_message(&after, 1, to, BBLX_FEED);
    run(&receiver, &after, 30);
    ck_assert_uint_eq(receiver.feeds, 2);
    /* What the earlier process sent arrives late. */
    send_message(&before, 1, to, BBLX_FEED);
    run(&receiver, &before, 30);
    ck_assert_uint_eq(receiver.feeds, 2);
    ck_assert_uint_eq(bbl_mesh_get_counters(receiver.mesh)->earlier_frames, 1);
    send_message(&after, 1, to, BBLX_FEED);
    run(&receiver, &after, 30);
    ck_assert_uint_eq(receiver.feeds, 3);
    bbl_mesh_free(receiver.mesh);
    bbl_mesh_free(before.mesh);
    bbl_mesh_free(after.mesh);
    bbl_loop_free(loop);
}
END_TEST

/* Accepts a connection and sends a challenge, and nothing after it. */
static int
accept_without_answering(int listener)
{
    int fd = accept(listener, NULL, NULL);

    ck_assert_int_ge(fd, 0);
    ck_assert_int_eq(send(fd, "0123456789abcdef", CHALLENGE_BYTES, 0),
                     CHALLENGE_BYTES);
    return fd;
}

/* The event loop of an idle host waits longer than one of a busy host. */
START_TEST(an_idle_host_replaces_a_connection_that_has_gone_silent)
{
    bbl_loop *loop;
    peer a;
    bblx_address to;
    int listener = tcp_listen(&to);
    int fd;

    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    open_peer(&a, loop, 1);
    send_message(&a, 2, to, BBLX_FEED);
    run(&a, NULL, 2);
    fd = accept_without_answering(listener);
    run(&a, NULL, 2);
    for (unsigned i = 0; i < 5; i++) {
        bbl_loop_run_once(loop, 100 * MS);
        bbl_mesh_tick(a.mesh, bbl_clock_now());
    }
    ck_assert_uint_ge(bbl_mesh_get_counters(a.mesh)->silent_connections, 1);
    close(fd);
    close(listener);
    bbl_mesh_free(a.mesh);
    bbl_loop_free(loop);
}
END_TEST

/* A delay of the own thread must not look like the silence of a peer. */
START_TEST(a_delayed_thread_keeps_its_connections)
{
    bbl_loop *loop;
    peer a;
    peer b;
    bblx_address to;
    struct timespec delay = {0, 400 * 1000 * 1000};

    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    open_peer(&a, loop, 1);
    to = open_peer(&b, loop, 2);
    send_message(&a, 2, to, BBLX_FEED);
    run(&a, &b, 10);
    send_message(&a, 2, to, BBLX_FEED);
    nanosleep(&delay, NULL);
    run(&a, &b, 10);
    ck_assert_uint_eq(b.feeds, 2);
    ck_assert_uint_eq(bbl_mesh_get_counters(a.mesh)->silent_connections, 0);
    bbl_mesh_free(a.mesh);
    bbl_mesh_free(b.mesh);
    bbl_loop_free(loop);
}
END_TEST

/* Delays must not postpone the detection of a silent peer without bound. */
START_TEST(a_thread_that_is_often_delayed_replaces_a_silent_connection)
{
    bbl_loop *loop;
    peer a;
    bblx_address to;
    int listener = tcp_listen(&to);
    int fd;
    struct timespec delay = {0, 40 * 1000 * 1000};

    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    open_peer(&a, loop, 1);
    send_message(&a, 2, to, BBLX_FEED);
    run(&a, NULL, 2);
    fd = accept_without_answering(listener);
    for (unsigned i = 0; i < 12; i++) {
        run(&a, NULL, 1);
        nanosleep(&delay, NULL);
    }
    ck_assert_uint_ge(bbl_mesh_get_counters(a.mesh)->silent_connections, 1);
    close(fd);
    close(listener);
    bbl_mesh_free(a.mesh);
    bbl_loop_free(loop);
}
END_TEST

/* A relay between a host and its peer: connection i of the host ends at
 * `from[i]`, and its bytes are passed on through `to[i]`. */
typedef struct {
    int from[16];
    int to[16];
    int count;
    int silent; /* connections below this one carry nothing any more */
} relay;

static void
pass_on(int from, int to)
{
    char bytes[4096];
    ssize_t n = recv(from, bytes, sizeof(bytes), MSG_DONTWAIT);

    if (n > 0) {
        ck_assert_int_eq(send(to, bytes, (size_t)n, MSG_NOSIGNAL), n);
    }
}

static void
run_relay(relay *r, int listener, bblx_address to)
{
    int fd = accept(listener, NULL, NULL);

    if (fd >= 0) {
        ck_assert_int_lt(r->count, 16);
        r->from[r->count] = fd;
        r->to[r->count] = tcp_connect(to);
        ck_assert_int_ge(r->to[r->count], 0);
        r->count++;
    }
    for (int i = r->silent; i < r->count; i++) {
        pass_on(r->from[i], r->to[i]);
        pass_on(r->to[i], r->from[i]);
    }
}

/*
 * All open connections go silent for good, without a reset, while new ones
 * work. What is sent from then on arrives in time, and once: a host that only
 * waits for the other end would go on with an old list of servers.
 */
START_TEST(messages_arrive_after_all_connections_have_gone_silent)
{
    enum { MESSAGES = 5, LIMIT_MS = 2000 };
    bbl_loop *loop;
    peer a;
    peer b;
    bblx_address to;
    bblx_address proxy;
    int listener = tcp_listen(&proxy);
    relay r = {.count = 0};
    bbl_usec end;

    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    open_peer(&a, loop, 1);
    to = open_peer(&b, loop, 2);
    send_message(&a, 2, proxy, BBLX_FEED);
    end = bbl_clock_now() + LIMIT_MS * BBL_USEC_PER_MS;
    while (b.feeds < 1 && bbl_clock_now() < end) {
        run_relay(&r, listener, to);
        run(&a, &b, 1);
    }
    ck_assert_uint_eq(b.feeds, 1);
    r.silent = r.count;
    for (int i = 0; i < MESSAGES; i++) {
        send_message(&a, 2, proxy, BBLX_FEED);
        run(&a, &b, 1);
    }
    end = bbl_clock_now() + LIMIT_MS * BBL_USEC_PER_MS;
    while (b.feeds < 1 + MESSAGES && bbl_clock_now() < end) {
        run_relay(&r, listener, to);
        run(&a, &b, 1);
    }
    for (int i = 0; i < 50; i++) {
        run_relay(&r, listener, to);
        run(&a, &b, 1);
    }
    ck_assert_uint_eq(b.feeds, 1 + MESSAGES);
    for (int i = 0; i < r.count; i++) {
        close(r.from[i]);
        close(r.to[i]);
    }
    close(listener);
    bbl_mesh_free(a.mesh);
    bbl_mesh_free(b.mesh);
    bbl_loop_free(loop);
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("mesh");
    TCase *tc = tcase_create("kinds");

    tcase_add_test(tc, extended_kinds_reach_a_peer_that_announces_them);
    tcase_add_test(tc, extended_kinds_are_not_sent_to_earlier_builds);
    tcase_add_loop_test(tc, a_peer_gets_only_the_kinds_that_it_announces, 0,
                        2);
    tcase_add_test(tc, the_announcement_is_no_acknowledgement);
    tcase_add_test(tc, a_host_restarted_with_its_clock_set_back_is_heard);
    tcase_add_test(tc,
                   an_idle_host_replaces_a_connection_that_has_gone_silent);
    tcase_add_test(tc, a_delayed_thread_keeps_its_connections);
    tcase_add_test(
        tc, a_thread_that_is_often_delayed_replaces_a_silent_connection);
    tcase_add_test(tc, messages_arrive_after_all_connections_have_gone_silent);
    suite_add_tcase(s, tc);
    return run_suite(s);
}
