/*
 * Tests of operator commands on a control host: over a loopback connection to
 * one host that leads alone, and between two simulated hosts.
 */
#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "daemon/operator_api.h"
#include "net/catalog_client.h"
#include "platform/dialect.h"
#include "support/memdisk.h"
#include "support/run.h"
#include "support/tcp.h"
#include "util/clock.h"

#define STEP_US 1000u
#define EVACUATE "POST /-/evacuations/dc1 HTTP/1.1\r\nHost: a\r\n\r\n"
#define RESTORE "DELETE /-/evacuations/dc1 HTTP/1.1\r\nHost: a\r\n\r\n"
#define POST_ROLLOUT(body, size)                                              \
    "POST /-/rollouts HTTP/1.1\r\nHost: a\r\nContent-Length: " size           \
    "\r\n\r\n" body
#define ROLL_OUT(service, version, seconds)                                   \
    "{\"service\":\"" service "\",\"target_version\":\"" version              \
    "\",\"duration_s\":" seconds "}"
#define ROLL_OUT_S_V2 POST_ROLLOUT(ROLL_OUT("s", "v2", "60"), "53")
#define GET_ROLLOUT_S "GET /-/rollouts/s HTTP/1.1\r\nHost: a\r\n\r\n"
/* Longer than an operator waits for a response. */
#define FREEZE_US (1200 * BBL_USEC_PER_MS)

/* ---- one host over loopback ---- */

typedef struct {
    bbl_loop *loop;
    bbl_edge *edge;
    bblx_address address;
    memdisk disk;
    bblx_voter seed;
    bbl_control *control;
    bbl_operator_api api;
} fixture;

static void
ignore_send(void *ctx, uint32_t host, bblx_address to, const bblx_message *m)
{
    (void)ctx;
    (void)host;
    (void)to;
    (void)m;
}

static void
on_complete(void *ctx, uint64_t number, const bblx_propose_reply *reply)
{
    fixture *f = ctx;

    bbl_operator_api_complete_proposal(&f->api, number, reply);
}

static void
on_request(void *ctx, bbl_edge_call *call)
{
    fixture *f = ctx;

    bbl_operator_api_handle_call(&f->api, bbl_clock_now(), call);
}

static void
on_disconnect(void *ctx, bbl_edge_call *call)
{
    fixture *f = ctx;

    bbl_operator_api_cancel_call(&f->api, call);
}

static void
run_host(fixture *f, int ms)
{
    for (int i = 0; i < ms; i++) {
        bbl_loop_run_once(f->loop, 1000);
        bbl_operator_api_withdraw_abandoned(&f->api);
        bbl_control_tick(f->control, bbl_clock_now(), 0);
    }
}

static void
open_fixture(fixture *f)
{
    bbl_edge_handler handler = {on_request, on_disconnect, f};
    bbl_control_options o = BBL_CONTROL_OPTIONS_INIT;

    memset(f, 0, sizeof(*f));
    f->address = tcp_free_address();
    ck_assert_int_eq(bbl_loop_open(&f->loop), 0);
    ck_assert_int_eq(bbl_edge_open(&f->edge, f->loop, f->address, &handler),
                     0);
    memdisk_init(&f->disk);
    f->seed = (bblx_voter){1, 1, BBLX_VOTER, {1, 1}};
    ck_assert_int_eq(bbl_quorum_bootstrap(memdisk_open(&f->disk), 1), 0);
    o.host = 1;
    o.incarnation = 1;
    bbl_name_set(&o.zone, "dc2", 3);
    o.control = (bblx_address){1, 1};
    o.seeds.list.list_len = 1;
    o.seeds.list.list_val = &f->seed;
    o.port.send = ignore_send;
    o.port.complete_proposal = on_complete;
    o.port.ctx = f;
    ck_assert_int_eq(bbl_control_open(&f->control, &o, memdisk_open(&f->disk),
                                      bbl_clock_now()),
                     0);
    bbl_operator_api_init(&f->api, f->control, bbl_platform_dialect(),
                          f->address);
    while (!bbl_control_leads(f->control, bbl_clock_now())) {
        run_host(f, 1);
    }
}

static void
close_fixture(fixture *f)
{
    bbl_edge_free(f->edge);
    bbl_loop_free(f->loop);
    bbl_operator_api_free(&f->api);
    bbl_control_free(f->control);
    memdisk_free(&f->disk);
}

static bool
is_evacuated(const bbl_control *control)
{
    return bbl_state_evacuated_zone(bbl_control_state(control), 0) != NULL;
}

/* Sends a command and waits for its response with a status. */
static void
command(fixture *f, const char *request, const char *status)
{
    int fd = tcp_connect(f->address);
    const char *text = NULL;

    tcp_send(fd, request);
    for (int i = 0; i < 50 && text == NULL; i++) {
        char byte;

        run_host(f, 10);
        if (recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) {
            text = tcp_receive(f->loop, fd);
        }
    }
    ck_assert_ptr_nonnull(text);
    ck_assert_msg(strncmp(text + 9, status, 3) == 0, "%s", text);
    close(fd);
}

START_TEST(evacuations_are_recorded_and_withdrawn)
{
    fixture f;

    open_fixture(&f);
    command(&f, EVACUATE, "200");
    ck_assert(is_evacuated(f.control));
    command(&f, EVACUATE, "200");
    command(&f, RESTORE, "200");
    ck_assert(!is_evacuated(f.control));
    command(&f, RESTORE, "200");
    close_fixture(&f);
}
END_TEST

/*
 * A command waited in the socket of a frozen host, on a new connection or on
 * one that the host had accepted. Its operator has turned to another host.
 */
START_TEST(a_command_that_waited_too_long_is_refused)
{
    fixture f;
    int fd;
    const char *text;

    open_fixture(&f);
    command(&f, EVACUATE, "200");
    fd = tcp_connect(f.address);
    if (_i == 1) {
        run_host(&f, 20);
    }
    tcp_send(fd, RESTORE);
    usleep(FREEZE_US);
    run_host(&f, 50);
    ck_assert(is_evacuated(f.control));
    text = tcp_receive(f.loop, fd);
    ck_assert_ptr_nonnull(strstr(text, "HTTP/1.1 503"));
    close(fd);
    command(&f, RESTORE, "200");
    close_fixture(&f);
}
END_TEST

/* An operator has closed the connection before its command is read. */
START_TEST(a_command_of_an_operator_that_has_left_is_not_proposed)
{
    fixture f;
    int fd;

    open_fixture(&f);
    command(&f, EVACUATE, "200");
    fd = tcp_connect(f.address);
    run_host(&f, 20);
    tcp_send(fd, RESTORE);
    if (_i == 0) {
        shutdown(fd, SHUT_WR);
    }
    else {
        close(fd);
    }
    run_host(&f, 50);
    ck_assert(is_evacuated(f.control));
    close_fixture(&f);
}
END_TEST

/* ---- rollouts ---- */

static bool
has_rollout(const bbl_control *control)
{
    return bbl_state_rollout(bbl_control_state(control), 0) != NULL;
}

/* Installs a routing with service "s". */
static void
install_routing(fixture *f)
{
    static const char document[] =
        "{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":"
        "\"a.example\",\"path_prefix\":\"/r/\",\"route_type\":\"safe\","
        "\"timeout_ms\":800,\"target_latency_ms\":120,\"priority\":1,"
        "\"service\":\"s\",\"max_attempts\":2}],\"services\":[{\"name\":"
        "\"s\",\"max_connections\":9}]}";
    bbl_buf request = BBL_BUF_INIT;

    bbl_buf_printf(&request,
                   "PUT /-/config HTTP/1.1\r\nHost: a\r\nContent-Length: "
                   "%zu\r\n\r\n%s",
                   sizeof(document) - 1, document);
    command(f, request.ptr, "200");
    bbl_buf_free(&request);
}

/* Sends an order of which the size of the body is known here only. */
static void
roll_out(fixture *f, const char *body, const char *status)
{
    bbl_buf request = BBL_BUF_INIT;

    bbl_buf_printf(&request,
                   "POST /-/rollouts HTTP/1.1\r\nHost: a\r\nContent-Length: "
                   "%zu\r\n\r\n%s",
                   strlen(body), body);
    command(f, request.ptr, status);
    bbl_buf_free(&request);
}

START_TEST(a_rollout_is_ordered_once)
{
    fixture f;
    int fd;

    open_fixture(&f);
    install_routing(&f);
    command(&f, GET_ROLLOUT_S, "404");
    command(&f, ROLL_OUT_S_V2, "200");
    ck_assert(has_rollout(f.control));
    command(&f, ROLL_OUT_S_V2, "200");
    roll_out(&f, ROLL_OUT("s", "v3", "60"), "409");
    fd = tcp_connect(f.address);
    tcp_send(fd, GET_ROLLOUT_S);
    run_host(&f, 50);
    ck_assert_ptr_nonnull(
        strstr(tcp_receive(f.loop, fd),
               "{\"state\":\"running\",\"target_version\":\"v2\"}"));
    close(fd);
    close_fixture(&f);
}
END_TEST

static const char *const bad_orders[] = {
    ROLL_OUT("unknown", "v2", "60"),
    ROLL_OUT("s", "v2", "0"),
    ROLL_OUT("s", "v2", "-5"),
    ROLL_OUT("s", "v2", "\"60\""),
    ROLL_OUT("s", "v2", "1e12"),
    ROLL_OUT("s", "", "60"),
    ROLL_OUT("", "v2", "60"),
    "{\"service\":\"s\",\"target_version\":\"v2\"}",
    "{\"service\":\"s\",\"duration_s\":60}",
    "{\"service\":\"s\",\"target_version\":7,\"duration_s\":60}",
    "[1]",
    "no JSON",
};

START_TEST(an_invalid_order_is_refused)
{
    fixture f;

    open_fixture(&f);
    install_routing(&f);
    roll_out(&f, bad_orders[_i], "400");
    ck_assert(!has_rollout(f.control));
    close_fixture(&f);
}
END_TEST

/* As an evacuation, it must not take effect once it is given up. */
START_TEST(an_order_of_a_rollout_that_was_given_up_is_not_recorded)
{
    fixture f;
    int fd;

    open_fixture(&f);
    install_routing(&f);
    fd = tcp_connect(f.address);
    run_host(&f, 20);
    tcp_send(fd, ROLL_OUT_S_V2);
    if (_i == 0) {
        usleep(FREEZE_US);
    }
    else {
        shutdown(fd, SHUT_WR);
    }
    run_host(&f, 100);
    ck_assert(!has_rollout(f.control));
    close(fd);
    command(&f, ROLL_OUT_S_V2, "200");
    close_fixture(&f);
}
END_TEST

/* ---- the list of servers ---- */

static void
on_list(void *ctx, const bblx_backend *backends, const uint64_t *versions,
        size_t count, size_t skipped)
{
    unsigned *lists = ctx;

    (void)backends;
    (void)versions;
    (void)count;
    (void)skipped;
    lists[0]++;
}

static void
on_list_failure(void *ctx, const char *reason)
{
    unsigned *lists = ctx;

    (void)reason;
    lists[1]++;
}

/*
 * The list waited in the socket of a frozen host. It is too old to be
 * published: servers may have left since.
 */
START_TEST(a_list_that_waited_too_long_is_not_used)
{
    unsigned lists[2] = {0, 0};
    bbl_catalog_client_options o = {.dialect = bbl_platform_dialect(),
                                    .on_complete = on_list,
                                    .on_failure = on_list_failure,
                                    .ctx = lists};
    bbl_catalog_client *client;
    int listener = tcp_listen(&o.platform_address);
    int fd = -1;

    ck_assert_int_eq(bbl_loop_open(&o.loop), 0);
    ck_assert_int_eq(bbl_catalog_client_open(&client, &o), 0);
    ck_assert(bbl_catalog_client_start_read(client, bbl_clock_now(), 10));
    while ((fd = accept(listener, NULL, NULL)) < 0) {
        bbl_loop_run_once(o.loop, 1000);
    }
    ck_assert_ptr_nonnull(tcp_receive(o.loop, fd));
    tcp_send(fd, "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n"
                 "{\"instances\":[],\"next_page_token\":null}\n");
    if (_i == 1) {
        usleep(FREEZE_US);
    }
    tcp_run_loop(o.loop, 20);
    ck_assert_uint_eq(lists[0], _i == 1 ? 0 : 1);
    ck_assert_uint_eq(lists[1], _i == 1 ? 1 : 0);
    bbl_catalog_client_free(client);
    bbl_loop_free(o.loop);
    close(fd);
    close(listener);
}
END_TEST

/* ---- two hosts: host 1 leads, host 2 passes commands on ---- */

typedef struct {
    uint32_t from;
    uint32_t to;
    bbl_buf bytes;
} packet;

typedef struct {
    bbl_usec now;
    bblx_voter seed;
    memdisk disk;
    bbl_control *hosts[3];
    bbl_vec packets;   /* packet */
    bbl_vec held;      /* packet: proposals of host 2 */
    bool hold;         /* proposals of host 2 are held back */
    bool no_feed;      /* host 2 does not learn of changes */
    bool old_leader;   /* host 1 cannot read conditional commands */
    bool old_voter;    /* host 2 is not known to decode rollouts */
    bool connecting;   /* the connection to host 2 is not established */
    unsigned proposes; /* proposals that host 2 has sent */
    unsigned completions;
    int status; /* of the last completion */
} simulation;

typedef struct {
    simulation *sim;
    uint32_t host;
} port_ctx;

static port_ctx contexts[3];

/* Answers a proposal as a build does that knows no conditional commands. */
static bool
refuse_as_old_leader(simulation *sim, const bblx_message *m)
{
    bblx_command c;
    bblx_message reply;

    memset(&c, 0, sizeof(c));
    if (BBL_XDR_DECODE(&c, bblx_command,
                       bbl_wire_text_str(&m->bblx_message_u.propose.data)) ==
        0) {
        BBL_XDR_FREE(bblx_command, &c);
        return false;
    }
    memset(&reply, 0, sizeof(reply));
    reply.kind = BBLX_PROPOSE_REPLY;
    reply.bblx_message_u.propose_reply.number =
        m->bblx_message_u.propose.number;
    reply.bblx_message_u.propose_reply.status = BBL_EDAMAGED;
    bbl_control_step(sim->hosts[2], sim->now, 1, &reply);
    return true;
}

static void
on_send(void *ctx, uint32_t to, bblx_address address, const bblx_message *m)
{
    const port_ctx *p = ctx;
    simulation *sim = p->sim;
    bool propose = p->host == 2 && m->kind == BBLX_PROPOSE;
    packet *k;

    (void)address;
    if (to == 0 || to > 2 ||
        (sim->no_feed && p->host == 1 && m->kind == BBLX_FEED)) {
        return;
    }
    sim->proposes += propose;
    k = bbl_vec_add(propose && sim->hold ? &sim->held : &sim->packets);
    k->from = p->host;
    k->to = to;
    ck_assert_int_eq(BBL_XDR_ENCODE(&k->bytes, bblx_message, m), 0);
}

static bool
on_accepts_kind(void *ctx, uint32_t host, bblx_kind kind)
{
    const port_ctx *p = ctx;

    if (host == 2 && p->sim->connecting) {
        return false;
    }
    return host != 2 || !p->sim->old_voter || kind <= BBLX_TRANSFER;
}

static void
on_proposed(void *ctx, uint64_t number, const bblx_propose_reply *reply)
{
    const port_ctx *p = ctx;

    (void)number;
    p->sim->completions++;
    p->sim->status = reply->status;
}

static void
deliver_all(simulation *sim, bbl_vec *packets)
{
    while (packets->size > 0) {
        packet k = *BBL_VEC_AT(packet, packets, 0);
        bblx_message m;

        bbl_vec_remove(packets, 0);
        memset(&m, 0, sizeof(m));
        ck_assert_int_eq(
            BBL_XDR_DECODE(&m, bblx_message, bbl_buf_str(&k.bytes)), 0);
        if (!sim->old_leader || m.kind != BBLX_PROPOSE ||
            !refuse_as_old_leader(sim, &m)) {
            bbl_control_step(sim->hosts[k.to], sim->now, k.from, &m);
        }
        BBL_XDR_FREE(bblx_message, &m);
        bbl_buf_free(&k.bytes);
    }
}

static void
run_hosts(simulation *sim, unsigned ms)
{
    for (unsigned i = 0; i < ms; i++) {
        sim->now += STEP_US;
        bbl_control_tick(sim->hosts[1], sim->now, sim->now / BBL_USEC_PER_MS);
        bbl_control_tick(sim->hosts[2], sim->now, sim->now / BBL_USEC_PER_MS);
        deliver_all(sim, &sim->packets);
    }
}

static void
open_host(simulation *sim, uint32_t h)
{
    bbl_control_options o = BBL_CONTROL_OPTIONS_INIT;

    contexts[h] = (port_ctx){sim, h};
    o.host = h;
    o.incarnation = h;
    bbl_name_set(&o.zone, "dc2", 3);
    o.control = (bblx_address){h, 1};
    o.seeds.list.list_len = 1;
    o.seeds.list.list_val = &sim->seed;
    o.port.send = on_send;
    o.port.complete_proposal = on_proposed;
    o.port.accepts_kind = on_accepts_kind;
    o.port.ctx = &contexts[h];
    ck_assert_int_eq(bbl_control_open(&sim->hosts[h], &o,
                                      h == 1 ? memdisk_open(&sim->disk) : NULL,
                                      sim->now),
                     0);
}

static void
open_simulation(simulation *sim)
{
    memset(sim, 0, sizeof(*sim));
    sim->now = BBL_USEC_PER_SEC;
    sim->seed = (bblx_voter){1, 1, BBLX_VOTER, {1, 1}};
    sim->packets = (bbl_vec)BBL_VEC_INIT(packet);
    sim->held = (bbl_vec)BBL_VEC_INIT(packet);
    memdisk_init(&sim->disk);
    ck_assert_int_eq(bbl_quorum_bootstrap(memdisk_open(&sim->disk), 1), 0);
    open_host(sim, 1);
    open_host(sim, 2);
    run_hosts(sim, 3000);
    ck_assert(bbl_control_leads(sim->hosts[1], sim->now));
}

static void
close_simulation(simulation *sim)
{
    for (size_t i = 0; i < sim->held.size; i++) {
        bbl_buf_free(&BBL_VEC_AT(packet, &sim->held, i)->bytes);
    }
    bbl_vec_free(&sim->held);
    bbl_vec_free(&sim->packets);
    bbl_control_free(sim->hosts[1]);
    bbl_control_free(sim->hosts[2]);
    memdisk_free(&sim->disk);
}

/* Proposes to evacuate or to restore dc1 at a host. */
static uint64_t
propose(simulation *sim, uint32_t host, bool evacuate)
{
    bblx_command c;
    bbl_buf data = BBL_BUF_INIT;
    uint64_t number;

    memset(&c, 0, sizeof(c));
    c.kind = BBLX_EVACUATE;
    c.bblx_command_u.evacuate.zone = (bblx_name){3, "dc1"};
    c.bblx_command_u.evacuate.withdraw = evacuate;
    ck_assert_int_eq(BBL_XDR_ENCODE(&data, bblx_command, &c), 0);
    number = bbl_control_propose_evacuation(sim->hosts[host], sim->now,
                                            bbl_buf_str(&data));
    bbl_buf_free(&data);
    return number;
}

/*
 * A restoration is held up between two hosts. Meanwhile it is made by way of
 * another host, and the data centre is evacuated again. What was held up must
 * not undo that.
 */
START_TEST(a_delayed_command_does_not_undo_a_newer_one)
{
    simulation sim;

    open_simulation(&sim);
    propose(&sim, 1, true);
    run_hosts(&sim, 500);
    ck_assert(is_evacuated(sim.hosts[2]));
    sim.hold = true;
    propose(&sim, 2, false);
    run_hosts(&sim, 20);
    ck_assert_uint_ge(sim.held.size, 1);
    if (_i == 1) {
        propose(&sim, 1, false);
        run_hosts(&sim, 20);
    }
    propose(&sim, 1, true);
    run_hosts(&sim, 3500); /* the proposal of host 2 times out */
    sim.hold = false;
    deliver_all(&sim, &sim.held);
    run_hosts(&sim, 500);
    ck_assert(is_evacuated(sim.hosts[1]));
    ck_assert(is_evacuated(sim.hosts[2]));
    close_simulation(&sim);
}
END_TEST

/* A host that does not know the last change yet proposes the next one. */
START_TEST(a_command_is_decided_anew_on_the_present_state)
{
    simulation sim;

    open_simulation(&sim);
    sim.no_feed = true;
    propose(&sim, 1, true);
    run_hosts(&sim, 50);
    ck_assert(is_evacuated(sim.hosts[1]));
    propose(&sim, 2, false);
    run_hosts(&sim, 50);
    ck_assert(is_evacuated(sim.hosts[1]));
    ck_assert_uint_eq(sim.completions, 1);
    sim.no_feed = false;
    run_hosts(&sim, 1000);
    ck_assert(!is_evacuated(sim.hosts[1]));
    ck_assert_uint_eq(sim.completions, 2);
    ck_assert_int_eq(sim.status, 0);
    close_simulation(&sim);
}
END_TEST

/* The operator leaves while the command waits for the state or the leader. */
START_TEST(a_withdrawn_proposal_is_not_sent_any_more)
{
    simulation sim;
    uint64_t number;
    unsigned sent;

    open_simulation(&sim);
    propose(&sim, 1, true);
    run_hosts(&sim, 500);
    sim.hold = true;
    number = propose(&sim, 2, false);
    run_hosts(&sim, 20);
    bbl_control_withdraw_proposal(sim.hosts[2], number);
    sent = sim.proposes;
    sim.hold = false;
    run_hosts(&sim, 1000);
    ck_assert_uint_eq(sim.proposes, sent);
    ck_assert(is_evacuated(sim.hosts[1]));
    close_simulation(&sim);
}
END_TEST

static uint64_t
propose_rollout(simulation *sim, uint32_t host)
{
    bblx_rollout r;

    memset(&r, 0, sizeof(r));
    r.service = (bblx_label){1, "s"};
    r.target = (bblx_label){2, "v2"};
    r.duration_ms = 60000;
    return bbl_control_propose_rollout(sim->hosts[host], sim->now, &r);
}

/* The journal of an earlier build would refuse the command. */
START_TEST(a_rollout_is_refused_while_a_voter_may_not_decode_it)
{
    simulation sim;

    open_simulation(&sim);
    ck_assert_int_eq(bbl_quorum_add_learner(bbl_control_quorum(sim.hosts[1]),
                                            2, (bblx_address){2, 1}),
                     0);
    run_hosts(&sim, 100);
    sim.old_voter = true;
    propose_rollout(&sim, 2);
    run_hosts(&sim, 100);
    ck_assert_uint_eq(sim.completions, 1);
    ck_assert_int_eq(sim.status, BBL_EFULL);
    ck_assert(!has_rollout(sim.hosts[1]));
    sim.old_voter = false;
    propose_rollout(&sim, 2);
    run_hosts(&sim, 100);
    ck_assert_int_eq(sim.status, 0);
    ck_assert(has_rollout(sim.hosts[1]));
    close_simulation(&sim);
}
END_TEST

/* A host that joins would otherwise send to the new version without a limit,
 * and count as one that applies the rollout. */
START_TEST(a_host_that_connects_anew_learns_of_a_rollout)
{
    simulation sim;

    open_simulation(&sim);
    propose_rollout(&sim, 1);
    run_hosts(&sim, 500);
    ck_assert(has_rollout(sim.hosts[2]));
    for (unsigned i = 0; i < 400; i++) { /* a snapshot is shorter then */
        propose(&sim, 1, i % 2 == 0);
        run_hosts(&sim, 5);
    }
    bbl_control_free(sim.hosts[2]);
    open_host(&sim, 2);
    sim.connecting = true;
    run_hosts(&sim, 1000);
    sim.connecting = false;
    run_hosts(&sim, 1000);
    ck_assert(has_rollout(sim.hosts[2]));
    close_simulation(&sim);
}
END_TEST

/* The order is held up; meanwhile the rollout runs by way of another host and
 * ends. What was held up must not start it anew. */
START_TEST(a_delayed_order_starts_no_rollout_anew)
{
    simulation sim;
    uint64_t first;

    open_simulation(&sim);
    sim.hold = true;
    propose_rollout(&sim, 2);
    run_hosts(&sim, 20);
    ck_assert_uint_ge(sim.held.size, 1);
    propose_rollout(&sim, 1);
    run_hosts(&sim, 62000); /* without servers it is rolled back */
    first = bbl_state_rollout(bbl_control_state(sim.hosts[1]), 0)->order;
    ck_assert_int_eq(
        bbl_state_rollout(bbl_control_state(sim.hosts[1]), 0)->state,
        BBLX_ROLLOUT_ROLLED_BACK);
    run_hosts(&sim, 12000);
    sim.hold = false;
    deliver_all(&sim, &sim.held);
    run_hosts(&sim, 500);
    ck_assert_uint_eq(
        bbl_state_rollout(bbl_control_state(sim.hosts[1]), 0)->order, first);
    close_simulation(&sim);
}
END_TEST

/* During an upgrade the leader may be an earlier build. */
START_TEST(an_old_leader_records_commands_of_a_new_host)
{
    simulation sim;

    open_simulation(&sim);
    sim.old_leader = true;
    propose(&sim, 2, true);
    run_hosts(&sim, 100);
    ck_assert(is_evacuated(sim.hosts[1]));
    ck_assert_uint_eq(sim.completions, 1);
    ck_assert_int_eq(sim.status, 0);
    close_simulation(&sim);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("operator_api");
    TCase *tc = tcase_create("operator_api");

    tcase_set_timeout(tc, 30);
    tcase_add_test(tc, evacuations_are_recorded_and_withdrawn);
    tcase_add_loop_test(tc, a_command_that_waited_too_long_is_refused, 0, 2);
    tcase_add_loop_test(
        tc, a_command_of_an_operator_that_has_left_is_not_proposed, 0, 2);
    tcase_add_test(tc, a_rollout_is_ordered_once);
    tcase_add_loop_test(tc, an_invalid_order_is_refused, 0,
                        sizeof(bad_orders) / sizeof(bad_orders[0]));
    tcase_add_loop_test(
        tc, an_order_of_a_rollout_that_was_given_up_is_not_recorded, 0, 2);
    tcase_add_test(tc, a_rollout_is_refused_while_a_voter_may_not_decode_it);
    tcase_add_test(tc, a_host_that_connects_anew_learns_of_a_rollout);
    tcase_add_test(tc, a_delayed_order_starts_no_rollout_anew);
    tcase_add_loop_test(tc, a_list_that_waited_too_long_is_not_used, 0, 2);
    tcase_add_loop_test(tc, a_delayed_command_does_not_undo_a_newer_one, 0, 2);
    tcase_add_test(tc, a_command_is_decided_anew_on_the_present_state);
    tcase_add_test(tc, a_withdrawn_proposal_is_not_sent_any_more);
    tcase_add_test(tc, an_old_leader_records_commands_of_a_new_host);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
