/*
 * Tests what the control thread of an entry host hands to its traffic thread.
 * The host is the only voter of its cluster, so that commands apply at once.
 */
#include <stdio.h>
#include <string.h>

#include "control/control.h"
#include "daemon/publisher.h"
#include "platform/dialect.h"
#include "support/memdisk.h"
#include "support/run.h"
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
install_routing(fixture *f, unsigned version)
{
    char document[256];
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
                        "\"max_connections\":9}]}",
                        version);

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
    tcase_add_test(tc, an_update_holds_the_rollouts_and_versions);
    suite_add_tcase(s, tc);
    return run_suite(s);
}
