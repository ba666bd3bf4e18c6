/*
 * Tests the change feed of a control core to many children over a link of
 * limited bandwidth, as after a restart of all hosts: every child lacks the
 * whole list of servers at once.
 */
#include <stdio.h>
#include <string.h>

#include "bbl/errors.h"
#include "control/control.h"
#include "control/list_plan.h"
#include "support/memdisk.h"
#include "support/run.h"
#include "util/rng.h"

#define CHILDREN 60
#define HOSTS (CHILDREN + 2)
#define SERVERS 1200
#define ROUTING_BYTES 10000u
#define STEP_US 1000u
#define SEC BBL_USEC_PER_SEC
/* 26 Mbit/s */
#define LINK_BYTES_PER_STEP 3250u

typedef struct {
    uint32_t from;
    uint32_t to;
    bbl_buf bytes;
} packet;

typedef struct {
    bbl_control *control;
    memdisk disk;
    /* Packets in the order in which the link of this host carries them. */
    bbl_vec queue;
    size_t link_credit; /* bytes that the link may carry now */
    size_t queued_bytes;
    size_t queued_bytes_max;
    size_t sent_bytes;
    bbl_usec lease_lost_at; /* 0: it always had a lease */
    bool had_lease;
} host;

typedef struct {
    bbl_usec now;
    uint64_t starts;
    host hosts[HOSTS + 1];
    bblx_voter seed;
    bblx_backend servers[SERVERS];
    char names[SERVERS][16];
    uint32_t drops_to; /* packets to this host are lost */
    /* Whenever a packet arrives, one to this host is in flight. */
    uint32_t in_flight_to;
    bool delivering;
} simulation;

typedef struct {
    simulation *sim;
    uint32_t host;
} port_ctx;

static port_ctx contexts[HOSTS + 1];

static void
on_send(void *ctx, uint32_t to, bblx_address address, const bblx_message *m)
{
    port_ctx *p = ctx;
    host *x = &p->sim->hosts[p->host];
    packet *k = bbl_vec_add(&x->queue);

    (void)address;
    k->from = p->host;
    k->to = to;
    ck_assert_int_eq(BBL_XDR_ENCODE(&k->bytes, bblx_message, m), 0);
    x->sent_bytes += k->bytes.size;
    x->queued_bytes += k->bytes.size;
    if (x->queued_bytes > x->queued_bytes_max) {
        x->queued_bytes_max = x->queued_bytes;
    }
}

static size_t
get_backlog(void *ctx, uint32_t to)
{
    port_ctx *p = ctx;
    const bbl_vec *queue = &p->sim->hosts[p->host].queue;
    size_t bytes = p->sim->delivering && p->sim->in_flight_to == to;

    for (size_t i = 0; i < queue->size; i++) {
        const packet *k = bbl_vec_at(queue, i);

        bytes += k->to == to ? k->bytes.size : 0;
    }
    return bytes;
}

static void
on_proposed(void *ctx, uint64_t number, const bblx_propose_reply *reply)
{
    (void)ctx;
    (void)number;
    (void)reply;
}

static void
start_host(simulation *sim, uint32_t h, const char *zone, bool has_disk,
           uint32_t relay_members)
{
    bbl_control_options o = BBL_CONTROL_OPTIONS_INIT;

    contexts[h] = (port_ctx){sim, h};
    o.host = h;
    o.incarnation = ++sim->starts;
    o.seed = h * 77;
    bbl_name_set(&o.zone, zone, strlen(zone));
    o.control = (bblx_address){h, 1};
    o.seeds.list.list_len = 1;
    o.seeds.list.list_val = &sim->seed;
    o.relay_members = relay_members;
    o.port.send = on_send;
    o.port.backlog = get_backlog;
    o.port.complete_proposal = on_proposed;
    o.port.ctx = &contexts[h];
    ck_assert_int_eq(
        bbl_control_open(&sim->hosts[h].control, &o,
                         has_disk ? memdisk_open(&sim->hosts[h].disk) : NULL,
                         sim->now),
        0);
}

static simulation *
open_simulation(void)
{
    simulation *sim = calloc(1, sizeof(*sim));

    sim->now = SEC;
    sim->seed = (bblx_voter){1, 1, BBLX_VOTER, {1, 1}};
    for (uint32_t h = 1; h <= HOSTS; h++) {
        memdisk_init(&sim->hosts[h].disk);
        sim->hosts[h].queue = (bbl_vec)BBL_VEC_INIT(packet);
    }
    ck_assert_int_eq(
        bbl_quorum_bootstrap(memdisk_open(&sim->hosts[1].disk), 1), 0);
    for (unsigned i = 0; i < SERVERS; i++) {
        bblx_backend *b = &sim->servers[i];

        snprintf(sim->names[i], sizeof(sim->names[i]), "server-%u", i);
        b->id = (bblx_label){(u_int)strlen(sim->names[i]), sim->names[i]};
        b->service = (bblx_label){7, "service"};
        b->zone = (bblx_name){3, "dc1"};
        b->address = (bblx_address){1000 + i, 80};
        b->slots = 2;
    }
    return sim;
}

static void
close_simulation(simulation *sim)
{
    for (uint32_t h = 1; h <= HOSTS; h++) {
        host *x = &sim->hosts[h];

        for (size_t i = 0; i < x->queue.size; i++) {
            bbl_buf_free(&BBL_VEC_AT(packet, &x->queue, i)->bytes);
        }
        bbl_vec_free(&x->queue);
        bbl_control_free(x->control);
        memdisk_free(&x->disk);
    }
    free(sim);
}

static void
deliver(simulation *sim, const packet *k)
{
    bbl_control *to = sim->hosts[k->to].control;
    bblx_message m;

    if (to == NULL || k->to == sim->drops_to) {
        return;
    }
    memset(&m, 0, sizeof(m));
    ck_assert_int_eq(BBL_XDR_DECODE(&m, bblx_message, bbl_buf_str(&k->bytes)),
                     0);
    sim->delivering = true;
    bbl_control_step(to, sim->now, k->from, &m);
    sim->delivering = false;
    BBL_XDR_FREE(bblx_message, &m);
}

/* Carries the packets that the link of a host has had the time for. */
static void
run_link(simulation *sim, host *x)
{
    x->link_credit += LINK_BYTES_PER_STEP;
    while (x->queue.size > 0) {
        packet k = *BBL_VEC_AT(packet, &x->queue, 0);

        if (k.bytes.size > x->link_credit) {
            return;
        }
        x->link_credit -= k.bytes.size;
        x->queued_bytes -= k.bytes.size;
        bbl_vec_remove(&x->queue, 0);
        deliver(sim, &k);
        bbl_buf_free(&k.bytes);
    }
    x->link_credit = 0;
}

/* Notes when a host that had a lease has lost it. */
static void
watch_lease(simulation *sim, host *x)
{
    bool has_lease = bbl_control_lease_until(x->control) > sim->now;

    x->had_lease = x->had_lease || has_lease;
    if (x->had_lease && !has_lease && x->lease_lost_at == 0) {
        x->lease_lost_at = sim->now;
    }
}

static void
run_for(simulation *sim, bbl_usec duration)
{
    for (bbl_usec end = sim->now + duration; sim->now < end;
         sim->now += STEP_US) {
        for (uint32_t h = 1; h <= HOSTS; h++) {
            host *x = &sim->hosts[h];

            run_link(sim, x);
            if (x->control != NULL && (sim->now / STEP_US + h) % 10 == 0) {
                bbl_control_tick(x->control, sim->now, sim->now / 1000);
                watch_lease(sim, x);
            }
        }
    }
}

static unsigned
count_servers(const simulation *sim, uint32_t h)
{
    const bbl_rows *rows = bbl_control_rows(sim->hosts[h].control);
    unsigned count = 0;
    size_t pos = 0;

    while (bbl_rows_next_backend(rows, &pos) != NULL) {
        count++;
    }
    return count;
}

static unsigned
count_complete_children(const simulation *sim)
{
    unsigned complete = 0;

    for (uint32_t h = 2; h <= CHILDREN + 1; h++) {
        complete += count_servers(sim, h) == SERVERS;
    }
    return complete;
}

/* Starts the leader, and then all children at the same time. */
static simulation *
open_cluster(void)
{
    simulation *sim = open_simulation();

    start_host(sim, 1, "dc1", true, UINT32_MAX);
    run_for(sim, 2 * SEC);
    bbl_control_replace_catalog(sim->hosts[1].control, sim->now, sim->servers,
                                NULL, SERVERS);
    for (uint32_t h = 2; h <= CHILDREN + 1; h++) {
        start_host(sim, h, "dc1", false, UINT32_MAX);
    }
    return sim;
}

/*
 * Load pattern: all children of a small host start at once and lack the whole
 * list, which takes its link longer than a lease lasts. Each row is sent about
 * once, little is queued on the link, and no child loses its lease meanwhile.
 */
START_TEST(test_whole_list_to_all_children)
{
    simulation *sim = open_cluster();
    host *leader = &sim->hosts[1];
    size_t list_bytes = SERVERS * 64;
    bbl_usec started_at = sim->now;

    while (count_complete_children(sim) < CHILDREN) {
        ck_assert_uint_lt(sim->now, started_at + 20 * SEC);
        run_for(sim, SEC / 10);
    }
    ck_assert_uint_lt(leader->sent_bytes, 2 * CHILDREN * list_bytes);
    ck_assert_uint_lt(leader->queued_bytes_max, 1u << 20);
    for (uint32_t h = 2; h <= CHILDREN + 1; h++) {
        ck_assert_uint_eq(sim->hosts[h].lease_lost_at, 0);
    }
    close_simulation(sim);
}
END_TEST

/*
 * A child that has a part of the list must not take it for the whole list: its
 * age is unknown until then.
 */
START_TEST(test_age_of_incomplete_list_is_unknown)
{
    simulation *sim = open_cluster();
    bool seen_incomplete = false;

    for (unsigned i = 0; i < 2000; i++) {
        run_for(sim, STEP_US);
        for (uint32_t h = 2; h <= CHILDREN + 1; h++) {
            unsigned servers = count_servers(sim, h);
            bbl_usec age =
                bbl_control_catalog_age(sim->hosts[h].control, sim->now);

            seen_incomplete =
                seen_incomplete || (servers > 0 && servers < SERVERS);
            ck_assert(servers == SERVERS || age == UINT64_MAX);
        }
    }
    ck_assert(seen_incomplete);
    close_simulation(sim);
}
END_TEST

/* A child that has restarted with an empty copy gets the whole list again. */
START_TEST(test_restarted_child_gets_whole_list)
{
    simulation *sim = open_cluster();

    run_for(sim, 15 * SEC);
    ck_assert_uint_eq(count_complete_children(sim), CHILDREN);
    bbl_control_free(sim->hosts[5].control);
    sim->hosts[5].control = NULL;
    run_for(sim, SEC / 20);
    start_host(sim, 5, "dc1", false, UINT32_MAX);
    run_for(sim, SEC);
    ck_assert_uint_eq(count_servers(sim, 5), SERVERS);
    close_simulation(sim);
}
END_TEST

static void
propose_routing(simulation *sim, uint64_t version)
{
    bblx_command c;
    bbl_buf data = BBL_BUF_INIT;
    bbl_buf text = BBL_BUF_INIT;
    bbl_rng rng = {version};

    for (unsigned i = 0; i < ROUTING_BYTES; i++) {
        char byte = (char)bbl_rng_below(&rng, 256);

        bbl_buf_append(&text, &byte, 1);
    }
    memset(&c, 0, sizeof(c));
    c.kind = BBLX_ROUTING;
    c.bblx_command_u.routing.number = version;
    c.bblx_command_u.routing.size = ROUTING_BYTES;
    c.bblx_command_u.routing.document =
        bbl_wire_text_borrow(bbl_buf_str(&text));
    ck_assert_int_eq(BBL_XDR_ENCODE(&data, bblx_command, &c), 0);
    bbl_control_propose(sim->hosts[1].control, sim->now, bbl_buf_str(&data));
    bbl_buf_free(&data);
    bbl_buf_free(&text);
}

/*
 * A host that joins after many changes of the routing needs only the last one,
 * not the log of all of them.
 */
START_TEST(test_joining_host_gets_last_routing_only)
{
    simulation *sim = open_simulation();
    size_t sent;

    start_host(sim, 1, "dc1", true, UINT32_MAX);
    run_for(sim, 2 * SEC);
    for (uint64_t version = 1; version <= 30; version++) {
        propose_routing(sim, version);
        run_for(sim, SEC / 10);
    }
    sent = sim->hosts[1].sent_bytes;
    start_host(sim, 2, "dc1", false, UINT32_MAX);
    run_for(sim, SEC);
    ck_assert_uint_eq(
        bbl_state_routing(bbl_control_state(sim->hosts[2].control))->number,
        30);
    ck_assert_uint_lt(sim->hosts[1].sent_bytes - sent, 2 * ROUTING_BYTES);
    /* The next change is sent as an entry again. */
    sent = sim->hosts[1].sent_bytes;
    propose_routing(sim, 31);
    run_for(sim, SEC / 10);
    ck_assert_uint_eq(
        bbl_state_routing(bbl_control_state(sim->hosts[2].control))->number,
        31);
    ck_assert_uint_lt(sim->hosts[1].sent_bytes - sent, 2 * ROUTING_BYTES);
    close_simulation(sim);
}
END_TEST

/*
 * A child has not used a feed, for example one that came before it chose this
 * parent, and messages to it are in flight at each heartbeat. It must get what
 * it lacks soon, and the two must not answer each other without a pause: such
 * a fleet had hosts that kept an old routing for ten seconds, with 1,000
 * heartbeats a second.
 */
START_TEST(test_a_child_catches_up_while_feeds_are_in_flight)
{
    simulation *sim = open_simulation();
    bbl_control_status before;
    bbl_control_status after;

    start_host(sim, 1, "dc1", true, UINT32_MAX);
    run_for(sim, 2 * SEC);
    start_host(sim, 2, "dc1", false, UINT32_MAX);
    run_for(sim, SEC);
    propose_routing(sim, 1);
    run_for(sim, SEC);
    sim->in_flight_to = 2;
    sim->drops_to = 2;
    propose_routing(sim, 2);
    run_for(sim, SEC / 10);
    sim->drops_to = 0;
    bbl_control_get_status(sim->hosts[2].control, sim->now, &before);
    run_for(sim, SEC);
    bbl_control_get_status(sim->hosts[2].control, sim->now, &after);
    ck_assert_uint_eq(
        bbl_state_routing(bbl_control_state(sim->hosts[2].control))->number,
        2);
    /* One each 200 ms, and one each 50 ms that asks again. */
    ck_assert_uint_le(after.heartbeats_sent - before.heartbeats_sent, 25);
    ck_assert_uint_gt(bbl_control_lease_until(sim->hosts[2].control),
                      sim->now);
    close_simulation(sim);
}
END_TEST

/* ---- reads of the platform's list ---- */

static bbl_list_plan_input
make_list_input(void)
{
    bbl_list_plan_input in = {.entry = true,
                              .has_lease = true,
                              .age = SEC,
                              .uptime = 60 * SEC,
                              .pages = 24,
                              .entry_hosts = 295,
                              .calls_per_s = 3500,
                              .spread = 0.5};

    return in;
}

START_TEST(test_hosts_that_get_the_list_do_not_read_it)
{
    bbl_list_plan_input in = make_list_input();

    ck_assert(!bbl_list_plan_should_read(&in));
    /* It has just started, and a leader answers. */
    in.age = UINT64_MAX;
    in.uptime = SEC / 10;
    ck_assert(!bbl_list_plan_should_read(&in));
    in.uptime = 2 * SEC;
    ck_assert(!bbl_list_plan_should_read(&in));
    /* Control hosts do not need it. */
    in.entry = false;
    in.age = 10 * SEC;
    ck_assert(!bbl_list_plan_should_read(&in));
    in.leads = true;
    ck_assert(bbl_list_plan_should_read(&in));
}
END_TEST

/* After a restart of all hosts, the next leader has the list when it is
 * elected.
 */
START_TEST(test_starting_control_host_reads_the_list)
{
    bbl_list_plan_input in = make_list_input();

    in.entry = false;
    in.has_lease = false;
    in.age = UINT64_MAX;
    in.uptime = 0;
    ck_assert(bbl_list_plan_should_read(&in));
    in.has_lease = true;
    ck_assert(!bbl_list_plan_should_read(&in));
    in.has_lease = false;
    in.age = 5 * SEC;
    ck_assert(!bbl_list_plan_should_read(&in));
}
END_TEST

/*
 * Load pattern: the leader has been silent, and 295 hosts need the list of 24
 * pages at once. In any second they use at most about half of the rate.
 */
START_TEST(test_entry_hosts_take_turns_to_read_a_long_list)
{
    unsigned readers_by_second[16] = {0};

    for (unsigned h = 0; h < 295; h++) {
        bbl_list_plan_input in = make_list_input();

        in.spread = h / 295.0;
        for (in.age = SEC; !bbl_list_plan_should_read(&in);
             in.age += SEC / 10) {
            ck_assert_uint_lt(in.age, 8 * SEC);
        }
        readers_by_second[in.age / SEC]++;
        ck_assert_uint_ge(bbl_list_plan_get_interval(&in), 4 * SEC);
    }
    for (unsigned i = 0; i < 16; i++) {
        ck_assert_uint_le(readers_by_second[i] * 24, 3500 * 3 / 4);
    }
}
END_TEST

/* A few entry hosts with a short list wait for nobody. */
START_TEST(test_few_hosts_read_a_short_list_soon)
{
    bbl_list_plan_input in = make_list_input();

    in.pages = 3;
    in.entry_hosts = 7;
    in.calls_per_s = 42;
    in.spread = 1;
    in.has_lease = false;
    in.age = 3 * SEC + SEC / 10;
    ck_assert(bbl_list_plan_should_read(&in));
    in.age = UINT64_MAX;
    in.uptime = SEC;
    ck_assert(!bbl_list_plan_should_read(&in));
    in.uptime = 2 * SEC;
    ck_assert(bbl_list_plan_should_read(&in));
}
END_TEST

/*
 * The relay of a data centre is a host with a disk, which serves no callers,
 * even if an entry host has a lower host id.
 */
START_TEST(test_relay_is_host_with_disk)
{
    simulation *sim = open_simulation();
    uint32_t relay = CHILDREN + 2;
    bbl_control_status status;

    start_host(sim, 1, "dc1", true, 4);
    start_host(sim, relay, "dc2", true, 4);
    for (uint32_t h = 2; h <= 6; h++) {
        start_host(sim, h, "dc2", false, 4);
    }
    run_for(sim, 5 * SEC);
    bbl_control_get_status(sim->hosts[relay].control, sim->now, &status);
    ck_assert_uint_eq(status.parent, 1);
    for (uint32_t h = 2; h <= 6; h++) {
        bbl_control_get_status(sim->hosts[h].control, sim->now, &status);
        ck_assert_uint_eq(status.parent, relay);
    }
    close_simulation(sim);
}
END_TEST

#define HEALTH_HOSTS 30 /* entry hosts of each of two data centres */

/* Returns how many entry hosts hold a report of the health of a server. */
static unsigned
count_hosts_with_health(const simulation *sim, uint64_t server)
{
    unsigned count = 0;

    for (uint32_t h = 2; h <= 2 * HEALTH_HOSTS + 1; h++) {
        const bblx_report *r;
        uint64_t revision;
        size_t pos = 0;

        while (
            (r = bbl_rows_next_report(bbl_control_rows(sim->hosts[h].control),
                                      &pos, &revision)) != NULL) {
            count += r->phase == BBLX_HEALTH && r->boot == server;
        }
    }
    return count;
}

/*
 * Load pattern: pauses of servers let the hosts of a large fleet report over a
 * hundred changes of health a second. All hosts know of each one soon, and no
 * host gets a message for each.
 */
START_TEST(test_health_reports_spread_fast_in_few_messages)
{
    simulation *sim = open_simulation();
    uint32_t relay = CHILDREN + 2;
    bbl_control_status before;
    bbl_control_status after;
    bbl_usec longest = 0;
    bbl_usec from;

    start_host(sim, 1, "dc1", true, 4);
    start_host(sim, relay, "dc2", true, 4);
    for (uint32_t h = 2; h <= 2 * HEALTH_HOSTS + 1; h++) {
        start_host(sim, h, h % 2 ? "dc1" : "dc2", false, 4);
    }
    run_for(sim, 5 * SEC);
    bbl_control_get_status(sim->hosts[3].control, sim->now, &before);
    from = sim->now;
    for (uint64_t n = 1; n <= 240; n++) { /* one each 8 ms */
        uint32_t h = 2 + (uint32_t)(n * 7 % (2 * HEALTH_HOSTS));

        bbl_control_report_health(sim->hosts[h].control, sim->now, n, 1);
        if (n % 24 != 0) {
            run_for(sim, 8 * STEP_US);
            continue;
        }
        for (unsigned ms = 0;
             count_hosts_with_health(sim, n) < 2 * HEALTH_HOSTS; ms++) {
            ck_assert_uint_lt(ms, 150);
            run_for(sim, STEP_US);
            longest =
                (ms + 1) * STEP_US > longest ? (ms + 1) * STEP_US : longest;
        }
    }
    bbl_control_get_status(sim->hosts[3].control, sim->now, &after);
    printf("a report reaches all hosts within %u ms; %.0f feeds a second\n",
           (unsigned)(longest / BBL_USEC_PER_MS),
           (double)(after.feeds_received - before.feeds_received) * SEC /
               (double)(sim->now - from));
    /* 5 grants a second, and 33 messages with reports. */
    ck_assert_uint_le((after.feeds_received - before.feeds_received) * SEC /
                          (sim->now - from),
                      45);
    close_simulation(sim);
}
END_TEST

static Suite *
control_feed_suite(void)
{
    Suite *s = suite_create("control_feed");
    TCase *t = tcase_create("feed");

    tcase_set_timeout(t, 120);
    tcase_add_test(t, test_whole_list_to_all_children);
    tcase_add_test(t, test_age_of_incomplete_list_is_unknown);
    tcase_add_test(t, test_restarted_child_gets_whole_list);
    tcase_add_test(t, test_joining_host_gets_last_routing_only);
    tcase_add_test(t, test_a_child_catches_up_while_feeds_are_in_flight);
    tcase_add_test(t, test_hosts_that_get_the_list_do_not_read_it);
    tcase_add_test(t, test_starting_control_host_reads_the_list);
    tcase_add_test(t, test_entry_hosts_take_turns_to_read_a_long_list);
    tcase_add_test(t, test_few_hosts_read_a_short_list_soon);
    tcase_add_test(t, test_relay_is_host_with_disk);
    tcase_add_test(t, test_health_reports_spread_fast_in_few_messages);
    suite_add_tcase(s, t);
    return s;
}

int
main(void)
{
    return run_suite(control_feed_suite());
}
