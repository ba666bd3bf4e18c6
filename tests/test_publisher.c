/*
 * Tests what the control thread of an entry host hands to its traffic thread.
 * The host is the only voter of its cluster, so that commands apply at once.
 */
#include <stdio.h>
#include <string.h>

#include "control/control.h"
#include "daemon/notice.h"
#include "daemon/publisher.h"
#include "platform/dialect.h"
#include "support/memdisk.h"
#include "support/run.h"
#include "util/clock.h"
#include "util/deflate.h"

#define MS BBL_USEC_PER_MS
#define HOST 1u

typedef struct {
    bbl_control *control;
    bbl_publisher *publisher;
    memdisk disk;
    bbl_usec now;
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
ignore_proposal(void *ctx, uint64_t number, const bblx_propose_reply *reply)
{
    (void)ctx;
    (void)number;
    ck_assert_int_eq(reply->status, 0);
}

static void
run(fixture *f, unsigned ms)
{
    for (unsigned i = 0; i < ms; i++) {
        f->now += MS;
        bbl_control_tick(f->control, f->now, 1);
    }
}

static void
open_fixture(fixture *f)
{
    bbl_control_options o = BBL_CONTROL_OPTIONS_INIT;
    bbl_publisher_options p = {
        .dialect = bbl_platform_dialect(), .host = HOST, .incarnation = 1};
    bblx_voter self = {.host = HOST, .role = BBLX_VOTER, .control = {HOST, 1}};

    memset(f, 0, sizeof(*f));
    f->now = 1000 * MS;
    memdisk_init(&f->disk);
    ck_assert_int_eq(bbl_quorum_bootstrap(memdisk_open(&f->disk), HOST), 0);
    o.host = HOST;
    o.incarnation = 1;
    o.seed = 1;
    o.control = self.control;
    o.seeds.list.list_len = 1;
    o.seeds.list.list_val = &self;
    o.copies = 1;
    o.voters_wanted = 1;
    o.port.send = ignore_send;
    o.port.complete_proposal = ignore_proposal;
    bbl_name_set(&o.zone, "z1", 2);
    ck_assert_int_eq(
        bbl_control_open(&f->control, &o, memdisk_open(&f->disk), f->now), 0);
    p.control = f->control;
    bbl_publisher_new(&f->publisher, &p);
    run(f, 3000);
}

static void
close_fixture(fixture *f)
{
    bbl_publisher_free(f->publisher);
    bbl_control_free(f->control);
    memdisk_free(&f->disk);
}

static void
install_document(fixture *f, unsigned version, const char *fields)
{
    char document[512];
    bbl_buf packed = BBL_BUF_INIT;
    bbl_buf data = BBL_BUF_INIT;
    bblx_command command;
    int size = snprintf(document, sizeof(document),
                        "{\"version\":%u,\"routes\":[{\"name\":\"r\","
                        "\"hostname\":\"a.example\",\"path_prefix\":\"/r/\","
                        "\"route_type\":\"safe\",\"timeout_ms\":800,"
                        "\"target_latency_ms\":120,\"priority\":1,"
                        "\"service\":\"s\",\"max_attempts\":2}],"
                        "\"services\":[{\"name\":\"s\","
                        "\"max_connections\":9}]%s}",
                        version, fields);

    memset(&command, 0, sizeof(command));
    ck_assert_int_eq(bbl_deflate(&packed, (bbl_str){document, (size_t)size}),
                     0);
    command.kind = BBLX_ROUTING;
    command.bblx_command_u.routing.number = version;
    command.bblx_command_u.routing.size = (u_int)size;
    command.bblx_command_u.routing.document =
        bbl_wire_text_borrow(bbl_buf_str(&packed));
    ck_assert_int_eq(BBL_XDR_ENCODE(&data, bblx_command, &command), 0);
    bbl_control_propose(f->control, f->now, bbl_buf_str(&data));
    run(f, 300);
    bbl_buf_free(&packed);
    bbl_buf_free(&data);
}

static void
install_routing(fixture *f, unsigned version)
{
    install_document(f, version, "");
}

/* Sets a list of one server, of version v2. */
static void
set_list(fixture *f, const char *id)
{
    uint64_t version = bbl_version_hash((bbl_str){"v2", 2});
    bblx_backend b;

    memset(&b, 0, sizeof(b));
    b.id.bblx_label_val = (char *)id;
    b.id.bblx_label_len = (u_int)strlen(id);
    b.service = b.id;
    b.slots = 1;
    bbl_control_replace_catalog(f->control, f->now, &b, &version, 1);
}

/* The traffic thread may be slow, and then gets one update for several. */
START_TEST(an_update_that_was_not_taken_loses_nothing)
{
    fixture f;
    bbl_forward_update *u;

    open_fixture(&f);
    install_routing(&f, 7);
    set_list(&f, "i1");
    bbl_control_report_crash(f.control, 5, 1);
    for (int i = 0; i < 20; i++) {
        f.now += 300 * MS;
        ck_assert(bbl_publisher_has_changes(f.publisher, f.now));
        u = bbl_publisher_make_update(f.publisher, f.now);
        ck_assert_ptr_nonnull(u->routing);
        ck_assert_uint_eq(bbl_routing_version(u->routing), 7);
        ck_assert_uint_eq(u->backend_count, 1);
        ck_assert_uint_eq(u->crash_count, 1);
        ck_assert_uint_eq(
            u->applied, bbl_state_applied_index(bbl_control_state(f.control)));
        bbl_publisher_take_back(f.publisher, u);
    }
    install_routing(&f, 9);
    u = bbl_publisher_make_update(f.publisher, f.now);
    ck_assert_uint_eq(bbl_routing_version(u->routing), 9);
    ck_assert_uint_eq(u->crash_count, 1);
    bbl_forward_update_free(u); /* taken */
    f.now += 300 * MS;
    u = bbl_publisher_make_update(f.publisher, f.now);
    ck_assert_ptr_null(u->routing);
    ck_assert_uint_eq(u->backend_count, 0);
    ck_assert_uint_eq(u->crash_count, 0);
    bbl_forward_update_free(u);
    close_fixture(&f);
}
END_TEST

#define LISTED 270
#define RATED 60
#define UPDATES 200
/* An entry host of 0.12 of a core has 120 ms a second: 33 such updates would
 * use 1.4% of them. */
#define UPDATE_MAX_US 50

/* Lists many servers, whose names stay valid. */
static void
set_long_list(fixture *f)
{
    static char names[LISTED][16];
    bblx_backend list[LISTED];

    memset(list, 0, sizeof(list));
    for (unsigned i = 0; i < LISTED; i++) {
        snprintf(names[i], sizeof(names[i]), "i%u", i);
        list[i].id.bblx_label_val = names[i];
        list[i].id.bblx_label_len = (u_int)strlen(names[i]);
        list[i].service = list[i].id;
        list[i].slots = 2;
    }
    bbl_control_replace_catalog(f->control, f->now, list, NULL, LISTED);
}

/* Reports the health of a server as the traffic thread does. */
static void
report_health(fixture *f, uint64_t server, bbl_health_level level)
{
    bbl_observed_health o = {server, 0, level, BBL_HEALTH_FAILING, 9, 0xabcd};
    bbl_notice *n = bbl_notice_new_health(&o);

    bbl_control_report_health(f->control, f->now, n->server, n->health);
    bbl_notice_free(n);
}

/* What a host reports arrives unchanged, with a greater serial each time. */
START_TEST(the_health_of_a_server_reaches_the_traffic_thread)
{
    fixture f;
    bbl_forward_update *u;
    uint64_t serial = 0;

    open_fixture(&f);
    set_list(&f, "i1");
    bbl_forward_update_free(bbl_publisher_make_update(f.publisher, f.now));
    for (int level = BBL_HEALTH_BAD; level >= BBL_HEALTH_WELL; level--) {
        report_health(&f, 0x123456789abcdef0, (bbl_health_level)level);
        run(&f, 20);
        u = bbl_publisher_make_update(f.publisher, f.now);
        ck_assert_uint_eq(u->health_count, 1);
        ck_assert_uint_eq(u->health[0].server, 0x123456789abcdef0);
        ck_assert_int_eq(u->health[0].level, level);
        ck_assert_int_eq(u->health[0].cause, BBL_HEALTH_FAILING);
        ck_assert_uint_eq(u->health[0].slowness, 9);
        ck_assert_uint_eq(u->health[0].reporter, 0xabcd);
        ck_assert_uint_gt(u->health[0].serial, serial);
        serial = u->health[0].serial;
        ck_assert(u->only_health);
        bbl_forward_update_free(u);
    }
    close_fixture(&f);
}
END_TEST

/* An update that was not taken may have held more than health. */
START_TEST(health_hides_no_other_change)
{
    fixture f;
    bbl_forward_update *u;

    open_fixture(&f);
    set_list(&f, "i1");
    u = bbl_publisher_make_update(f.publisher, f.now);
    bbl_publisher_take_back(f.publisher, u);
    report_health(&f, 1, BBL_HEALTH_BAD);
    run(&f, 20);
    u = bbl_publisher_make_update(f.publisher, f.now);
    ck_assert(!u->only_health);
    ck_assert_uint_eq(u->backend_count, 1);
    ck_assert_uint_eq(u->health_count, 1);
    bbl_forward_update_free(u);
    /* The list grows older, which the traffic thread has to know. */
    for (unsigned i = 0; i < 20; i++) {
        set_list(&f, "i1");
        report_health(&f, 1, i % 2 ? BBL_HEALTH_BAD : BBL_HEALTH_WELL);
        run(&f, 30);
        u = bbl_publisher_make_update(f.publisher, f.now);
        ck_assert(!u->only_health || u->list_read_at + 300 * MS > f.now);
        bbl_forward_update_free(u);
    }
    close_fixture(&f);
}
END_TEST

/* Two servers may share the lower half of their keys with other rows. */
START_TEST(health_replaces_no_row_of_another_kind)
{
    fixture f;
    bbl_forward_update *u;
    uint64_t server = 77;
    uint32_t key = 0;
    const bblx_report *r;
    uint64_t revision;
    size_t pos = 0;

    open_fixture(&f);
    report_health(&f, server, BBL_HEALTH_BAD);
    r = bbl_rows_next_report(bbl_control_rows(f.control), &pos, &revision);
    ck_assert_ptr_nonnull(r);
    key = r->searcher;
    bbl_control_report_rate_limit(f.control, 5ull << 32 | key, 1000);
    report_health(&f, server, BBL_HEALTH_SUSPECT);
    run(&f, 20);
    u = bbl_publisher_make_update(f.publisher, f.now);
    ck_assert_uint_eq(u->limit_count, 1);
    ck_assert_uint_eq(u->limits[0].server, 5ull << 32 | key);
    ck_assert_uint_eq(u->health_count, 1);
    ck_assert_uint_eq(u->health[0].server, server);
    bbl_forward_update_free(u);
    close_fixture(&f);
}
END_TEST

/* Ratings last 2 s; rows that nobody needs must not pile up. */
START_TEST(rows_of_health_expire_soon)
{
    fixture f;
    const bblx_report *r;
    uint64_t revision;
    size_t pos = 0;

    open_fixture(&f);
    report_health(&f, 77, BBL_HEALTH_BAD);
    bbl_control_report_crash(f.control, 5, 1);
    run(&f, 21000);
    r = bbl_rows_next_report(bbl_control_rows(f.control), &pos, &revision);
    ck_assert_ptr_nonnull(r);
    ck_assert_int_eq(r->phase, BBLX_CRASH);
    ck_assert_ptr_null(
        bbl_rows_next_report(bbl_control_rows(f.control), &pos, &revision));
    close_fixture(&f);
}
END_TEST

/* A fleet of 85 small hosts has some 30 such updates a second. */
START_TEST(an_update_of_health_only_is_cheap)
{
    fixture f;
    bbl_usec used = 0;

    open_fixture(&f);
    set_long_list(&f);
    bbl_forward_update_free(bbl_publisher_make_update(f.publisher, f.now));
    for (unsigned i = 0; i < UPDATES; i++) {
        bbl_forward_update *u;
        bbl_usec from;

        for (unsigned k = 0; k < RATED; k++) {
            report_health(&f, k + 1, i % 2 ? BBL_HEALTH_BAD : BBL_HEALTH_WELL);
        }
        run(&f, 1);
        from = bbl_clock_process_cpu();
        u = bbl_publisher_make_update(f.publisher, f.now);
        used += bbl_clock_process_cpu() - from;
        ck_assert(u->only_health);
        ck_assert_uint_eq(u->health_count, RATED);
        ck_assert_uint_eq(u->backend_count, 0);
        bbl_forward_update_free(u);
    }
    printf("one update with %d rows: %.1f us\n", RATED,
           (double)used / UPDATES);
    ck_assert_uint_le(used / UPDATES, UPDATE_MAX_US);
    close_fixture(&f);
}
END_TEST

/*
 * A host of an earlier build records a document that this build finds invalid.
 * This host keeps the routing before it, which it must not take for the newest
 * one: it would deny what the other hosts allow.
 */
START_TEST(an_invalid_routing_leaves_the_one_before_unconfirmed)
{
    fixture f;
    bbl_forward_update *u;

    open_fixture(&f);
    install_routing(&f, 7);
    u = bbl_publisher_make_update(f.publisher, f.now);
    ck_assert_ptr_nonnull(u->routing);
    bbl_forward_update_free(u);
    ck_assert(bbl_publisher_has_newest_routing(f.publisher));
    install_document(&f, 8,
                     ",\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"k\"]},"
                     "{\"name\":\"b\",\"api_keys\":[\"k\"]}]");
    for (int i = 0; i < 3; i++) {
        u = bbl_publisher_make_update(f.publisher, f.now);
        ck_assert_ptr_null(u->routing);
        ck_assert(!bbl_publisher_has_newest_routing(f.publisher));
        if (i == 0) {
            bbl_publisher_take_back(f.publisher, u);
        }
        else {
            bbl_forward_update_free(u);
        }
        f.now += 300 * MS;
    }
    install_routing(&f, 9);
    u = bbl_publisher_make_update(f.publisher, f.now);
    ck_assert_ptr_nonnull(u->routing);
    ck_assert(bbl_publisher_has_newest_routing(f.publisher));
    bbl_forward_update_free(u);
    close_fixture(&f);
}
END_TEST

/* The versions of servers come with the rollouts, and are not lost either. */
START_TEST(an_update_holds_the_rollouts_and_versions)
{
    fixture f;
    bbl_forward_update *u;
    bblx_rollout r;

    open_fixture(&f);
    install_routing(&f, 7);
    memset(&r, 0, sizeof(r));
    r.service = (bblx_label){2, "i1"};
    r.target = (bblx_label){2, "v2"};
    r.duration_ms = 60000;
    bbl_control_propose_rollout(f.control, f.now, &r);
    run(&f, 50);
    set_list(&f, "i1");
    run(&f, 200);
    for (int i = 0; i < 3; i++) {
        u = bbl_publisher_make_update(f.publisher, f.now);
        ck_assert_uint_eq(u->rollout_count, 1);
        ck_assert_int_eq(u->rollouts[0].state, BBLX_ROLLOUT_RUNNING);
        ck_assert_uint_eq(u->version_count, 1);
        ck_assert_int_eq(u->versions[0].version, BBLX_VERSION_TARGET);
        ck_assert_uint_eq(u->versions[0].order, u->rollouts[0].order);
        bbl_publisher_take_back(f.publisher, u);
    }
    close_fixture(&f);
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("publisher");
    TCase *tc = tcase_create("updates");

    tcase_add_test(tc, an_update_that_was_not_taken_loses_nothing);
    tcase_add_test(tc, an_invalid_routing_leaves_the_one_before_unconfirmed);
    tcase_add_test(tc, the_health_of_a_server_reaches_the_traffic_thread);
    tcase_add_test(tc, health_hides_no_other_change);
    tcase_add_test(tc, health_replaces_no_row_of_another_kind);
    tcase_add_test(tc, rows_of_health_expire_soon);
    tcase_add_test(tc, an_update_of_health_only_is_cheap);
    tcase_add_test(tc, an_update_holds_the_rollouts_and_versions);
    suite_add_tcase(s, tc);
    return run_suite(s);
}
