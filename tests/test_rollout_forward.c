/*
 * Tests which servers get the requests of a service under a rollout.
 */
#include <stdlib.h>

#include "support/forward_sim.h"
#include "support/run.h"

#define MS BBL_USEC_PER_MS
#define SECOND BBL_USEC_PER_SEC
#define REQUESTS 1000
#define SHARE 400u
#define LEASE (1000 * SECOND)

static const char routing[] =
    "{\"version\":1,\"routes\":["
    "{\"name\":\"o\",\"hostname\":\"a.example\",\"path_prefix\":\"/one/\","
    "\"route_type\":\"safe\",\"timeout_ms\":800,\"target_latency_ms\":200,"
    "\"priority\":1,\"service\":\"s\",\"max_attempts\":3}],"
    "\"services\":[{\"name\":\"s\",\"max_connections\":26}]}";

typedef struct {
    forward_sim *sim;
    forward_sim_server *old_server[2];
    forward_sim_server *new_server[2];
} fixture;

static void
init_fixture(fixture *f)
{
    f->sim = forward_sim_new(1);
    f->old_server[0] = forward_sim_add_server(f->sim, "old0", "s", "z1");
    f->old_server[1] = forward_sim_add_server(f->sim, "old1", "s", "z2");
    f->new_server[0] = forward_sim_add_server(f->sim, "new0", "s", "z1");
    f->new_server[1] = forward_sim_add_server(f->sim, "new1", "s", "z2");
    forward_sim_install_routing(f->sim, routing);
    forward_sim_confirm_routing(f->sim, LEASE);
    forward_sim_update_rollout(f->sim, "s", BBLX_ROLLOUT_RUNNING, SHARE);
}

/* Sends REQUESTS requests; returns how many were answered with `status`. */
static unsigned
send_requests(fixture *f, unsigned status)
{
    unsigned count = 0;

    for (unsigned i = 0; i < REQUESTS; i++) {
        unsigned call = forward_sim_send_request(f->sim, "/one/1", 800);

        forward_sim_run(f->sim, 100 * MS);
        count += forward_sim_get_call(f->sim, call)->status == status;
    }
    return count;
}

static unsigned
count_new(const fixture *f)
{
    return f->new_server[0]->arrivals + f->new_server[1]->arrivals;
}

static unsigned
count_old(const fixture *f)
{
    return f->old_server[0]->arrivals + f->old_server[1]->arrivals;
}

START_TEST(the_new_version_gets_its_share)
{
    fixture f;

    init_fixture(&f);
    ck_assert_uint_eq(send_requests(&f, 200), REQUESTS);
    ck_assert_uint_ge(count_new(&f), REQUESTS * SHARE / 10000 / 2);
    ck_assert_uint_le(count_new(&f), REQUESTS * SHARE / 10000 + 2);
    forward_sim_free(f.sim);
}
END_TEST

/* What fails at the new version is sent to the old one, and not again to the
 * new one, whatever the budget for extra attempts allows. */
START_TEST(extra_attempts_go_to_the_old_version)
{
    fixture f;

    init_fixture(&f);
    f.new_server[0]->mode = SERVER_FAILS;
    f.new_server[1]->mode = SERVER_FAILS;
    ck_assert_uint_eq(send_requests(&f, 200), REQUESTS);
    ck_assert_uint_ge(count_new(&f), 1);
    ck_assert_uint_le(count_new(&f), REQUESTS * SHARE / 10000 + 2);
    forward_sim_free(f.sim);
}
END_TEST

/* All old servers fail their requests: the retries stay with them. */
START_TEST(failures_of_the_old_version_do_not_raise_the_share)
{
    fixture f;

    init_fixture(&f);
    f.old_server[0]->mode = SERVER_FAILS;
    f.old_server[1]->mode = SERVER_FAILS;
    send_requests(&f, 200);
    ck_assert_uint_le(count_new(&f), REQUESTS * SHARE / 10000 + 2);
    forward_sim_free(f.sim);
}
END_TEST

/* The old servers leave, or their data centres are evacuated. */
START_TEST(without_an_old_server_the_rest_is_refused)
{
    fixture f;
    unsigned refused;

    init_fixture(&f);
    f.old_server[0]->leaving = true;
    f.old_server[1]->leaving = true;
    forward_sim_update_rollout(f.sim, "s", BBLX_ROLLOUT_RUNNING, SHARE);
    refused = send_requests(&f, 503);
    ck_assert_uint_le(count_new(&f), REQUESTS * SHARE / 10000 + 2);
    ck_assert_uint_eq(refused + count_new(&f), REQUESTS);
    ck_assert_uint_eq(count_old(&f), 0);
    forward_sim_free(f.sim);
}
END_TEST

/* A drawn request must not fail because the new servers cannot take it. */
START_TEST(a_cold_or_full_new_version_gets_nothing)
{
    fixture f;

    init_fixture(&f);
    for (int i = 0; i < 2; i++) {
        f.new_server[i]->cold_ms = _i == 0 ? 3600000 : 0;
        f.new_server[i]->mode = _i == 0 ? SERVER_OK : SERVER_REFUSES;
    }
    forward_sim_update_rollout(f.sim, "s", BBLX_ROLLOUT_RUNNING, SHARE);
    ck_assert_uint_eq(send_requests(&f, 200), REQUESTS);
    ck_assert_uint_eq(f.new_server[0]->runs + f.new_server[1]->runs, 0);
    forward_sim_free(f.sim);
}
END_TEST

START_TEST(at_the_end_one_version_gets_all)
{
    fixture f;
    bool completed = _i == 0;

    init_fixture(&f);
    forward_sim_update_rollout(
        f.sim, "s",
        completed ? BBLX_ROLLOUT_COMPLETED : BBLX_ROLLOUT_ROLLED_BACK, 0);
    forward_sim_confirm_routing(f.sim, 0);
    ck_assert_uint_eq(send_requests(&f, 200), REQUESTS);
    ck_assert_uint_eq(count_new(&f) > 0, completed);
    ck_assert_uint_eq(count_old(&f) > 0, !completed);
    forward_sim_free(f.sim);
}
END_TEST

/* The last step is confirmed when the requests at old servers have ended. */
START_TEST(the_last_step_is_applied_without_requests_at_old_servers)
{
    fixture f;
    uint64_t before;

    init_fixture(&f);
    f.old_server[0]->work = 300 * MS;
    f.old_server[1]->work = 300 * MS;
    forward_sim_send_request(f.sim, "/one/1", 800);
    forward_sim_run(f.sim, 10 * MS);
    before = forward_sim_get_unapplied(f.sim);
    ck_assert_uint_eq(before, 0);
    forward_sim_raise_index(f.sim);
    forward_sim_update_rollout(f.sim, "s", BBLX_ROLLOUT_RUNNING, 10000);
    forward_sim_run(f.sim, 100 * MS);
    ck_assert_uint_eq(forward_sim_get_unapplied(f.sim), count_old(&f) > 0);
    forward_sim_run(f.sim, 600 * MS);
    ck_assert_uint_eq(forward_sim_get_unapplied(f.sim), 0);
    forward_sim_free(f.sim);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("rollout_forward");
    TCase *tc = tcase_create("rollout_forward");

    tcase_set_timeout(tc, 60);
    tcase_add_test(tc, the_new_version_gets_its_share);
    tcase_add_test(tc, extra_attempts_go_to_the_old_version);
    tcase_add_test(tc, failures_of_the_old_version_do_not_raise_the_share);
    tcase_add_test(tc, without_an_old_server_the_rest_is_refused);
    tcase_add_loop_test(tc, a_cold_or_full_new_version_gets_nothing, 0, 2);
    tcase_add_loop_test(tc, at_the_end_one_version_gets_all, 0, 2);
    tcase_add_test(tc,
                   the_last_step_is_applied_without_requests_at_old_servers);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
