/*
 * Tests which servers of a pool may get requests under a rollout, for what an
 * entry host knows: versions, share, lease and end.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward/rollout_view.h"
#include "rollout/plan.h"
#include "support/run.h"
#include "util/alloc.h"

#define SEC BBL_USEC_PER_SEC
#define ORDER 7
#define LEASE (100 * SEC)

typedef struct {
    bbl_pools pools;
    bbl_rollout_view view;
    bbl_usec now;
} fixture;

static void
on_server(void *ctx, bbl_backend *backend)
{
    (void)ctx;
    (void)backend;
}

static void
on_changed(void *ctx, bbl_backend *backend, bbl_backend_state state)
{
    (void)ctx;
    (void)backend;
    (void)state;
}

static void
open_fixture(fixture *f)
{
    memset(f, 0, sizeof(*f));
    f->pools.retired = (bbl_vec)BBL_VEC_INIT(bbl_backend *);
    f->pools.added = on_server;
    f->pools.removed = on_server;
    f->pools.changed = on_changed;
    f->now = 10 * SEC;
    bbl_rollout_view_init(&f->view);
}

static void
close_fixture(fixture *f)
{
    bbl_rollout_view_free(&f->view);
    bbl_pools_free(&f->pools);
}

static uint64_t
key_of(const char *id)
{
    bblx_backend b;

    memset(&b, 0, sizeof(b));
    b.id = (bblx_label){(u_int)strlen(id), (char *)id};
    return bbl_backend_get_key(&b);
}

/* Applies an update with servers of service "s" and its rollout, if any. */
static void
update(fixture *f, const char *const *ids, size_t count, int state,
       uint32_t share)
{
    bblx_backend *list = bbl_calloc(count, sizeof(*list));
    bbl_usec *cold_until = bbl_calloc(count, sizeof(*cold_until));
    bbl_known_rollout r = {ORDER, BBL_BUF_INIT, (bblx_rollout_state)state,
                           share};

    f->now += SEC / 10;
    for (size_t i = 0; i < count; i++) {
        list[i].id.bblx_label_len = (u_int)strlen(ids[i]);
        list[i].id.bblx_label_val = bbl_memdup(ids[i], strlen(ids[i]));
        list[i].service.bblx_label_len = 1;
        list[i].service.bblx_label_val = bbl_memdup("s", 1);
    }
    bbl_buf_append_cstr(&r.service, "s");
    bbl_rollout_view_set_rollouts(&f->view, &f->pools, &r, state >= 0);
    bbl_pools_update(&f->pools, f->now, list, cold_until, count, NULL, 0);
    bbl_rollout_view_apply(&f->view, &f->pools, f->now);
    bbl_buf_free(&r.service);
    free(list);
    free(cold_until);
}

static void
classify(fixture *f, const char *id, uint64_t order, bblx_server_version v)
{
    bbl_known_version known = {key_of(id), order, v};

    bbl_rollout_view_add_versions(&f->view, &known, 1);
    bbl_rollout_view_apply(&f->view, &f->pools, f->now);
}

static bool
may_send(fixture *f, const char *id)
{
    const bbl_backend *b = bbl_map_get(&f->pools.keys, key_of(id));

    return bbl_backend_get_state(b, f->now) == BBL_BACKEND_USABLE;
}

static const char *const both[] = {"old", "new"};

/* Opens a fixture with an old server that was known under a lease, a new one,
 * and a running rollout. */
static void
open_running(fixture *f, uint32_t share)
{
    open_fixture(f);
    update(f, both, 1, -1, 0);
    bbl_rollout_view_set_lease(&f->view, LEASE);
    update(f, both, 1, BBLX_ROLLOUT_RUNNING, 0);
    update(f, both, 2, BBLX_ROLLOUT_RUNNING, share);
    classify(f, "new", ORDER, BBLX_VERSION_TARGET);
}

/* A new server may be of the new version: it waits for the word of the leader.
 * One that was known before the order must go on at once. */
START_TEST(a_server_after_the_order_gets_nothing_until_it_is_classified)
{
    fixture f;

    open_fixture(&f);
    update(&f, both, 1, -1, 0);
    bbl_rollout_view_set_lease(&f.view, LEASE);
    update(&f, both, 1, BBLX_ROLLOUT_RUNNING, 400);
    ck_assert(may_send(&f, "old"));
    update(&f, both, 2, BBLX_ROLLOUT_RUNNING, 400);
    ck_assert(!may_send(&f, "new"));
    classify(&f, "new", ORDER - 1, BBLX_VERSION_OTHER); /* of another order */
    ck_assert(!may_send(&f, "new"));
    classify(&f, "new", ORDER, BBLX_VERSION_UNKNOWN);
    ck_assert(!may_send(&f, "new"));
    classify(&f, "new", ORDER, BBLX_VERSION_TARGET);
    ck_assert(may_send(&f, "new"));
    close_fixture(&f);
}
END_TEST

/* A host that has restarted learns of servers and order together, and one that
 * was cut off learns of servers first: neither knows which came first. */
START_TEST(a_server_that_was_not_known_under_a_lease_predates_no_order)
{
    fixture f;

    open_fixture(&f);
    if (_i == 1) {
        bbl_rollout_view_set_lease(&f.view, 5 * SEC); /* has run out */
        update(&f, both, 2, -1, 0);
    }
    update(&f, both, 2, BBLX_ROLLOUT_RUNNING, 400);
    bbl_rollout_view_set_lease(&f.view, LEASE);
    ck_assert(!may_send(&f, "old"));
    classify(&f, "old", ORDER, BBLX_VERSION_OTHER);
    ck_assert(may_send(&f, "old"));
    close_fixture(&f);
}
END_TEST

/* A host that is cut off or was frozen does not know that the others have left
 * the new version. */
START_TEST(without_a_lease_the_new_version_gets_nothing)
{
    fixture f;

    open_running(&f, 400);
    ck_assert(may_send(&f, "new"));
    f.now = LEASE;
    ck_assert(!may_send(&f, "new"));
    ck_assert(may_send(&f, "old"));
    bbl_rollout_view_set_lease(&f.view, 2 * LEASE);
    ck_assert(may_send(&f, "new"));
    bbl_rollout_view_set_lease(&f.view, 0);
    ck_assert(!may_send(&f, "new"));
    close_fixture(&f);
}
END_TEST

/* At the last step the old servers may end at any moment. */
START_TEST(at_the_last_step_old_servers_get_nothing_even_without_a_lease)
{
    fixture f;

    open_running(&f, BBL_SHARE_ALL);
    ck_assert(!may_send(&f, "old"));
    ck_assert(may_send(&f, "new"));
    f.now = LEASE;
    ck_assert(!may_send(&f, "old"));
    ck_assert(!may_send(&f, "new"));
    close_fixture(&f);
}
END_TEST

START_TEST(the_end_of_a_rollout_needs_no_lease)
{
    fixture f;
    bool completed = _i == 0;

    open_running(&f, BBL_SHARE_ALL);
    update(&f, both, 2,
           completed ? BBLX_ROLLOUT_COMPLETED : BBLX_ROLLOUT_ROLLED_BACK, 0);
    bbl_rollout_view_set_lease(&f.view, 0);
    ck_assert(may_send(&f, "new") == completed);
    ck_assert(may_send(&f, "old") == !completed);
    /* Without a record nothing is withheld. */
    update(&f, both, 2, -1, 0);
    ck_assert(may_send(&f, "new"));
    ck_assert(may_send(&f, "old"));
    close_fixture(&f);
}
END_TEST

/* The index of the last step is not confirmed while a request is at an old
 * server, which ends without draining. */
START_TEST(a_request_at_an_old_server_is_noticed)
{
    fixture f;
    bbl_backend *b;

    open_running(&f, 5000);
    b = bbl_map_get(&f.pools.keys, key_of("old"));
    b->in_flight = 1;
    ck_assert(!bbl_rollout_view_has_strays(&f.view));
    update(&f, both, 2, BBLX_ROLLOUT_RUNNING, BBL_SHARE_ALL);
    ck_assert(bbl_rollout_view_has_strays(&f.view));
    b->in_flight = 0;
    ck_assert(!bbl_rollout_view_has_strays(&f.view));
    close_fixture(&f);
}
END_TEST

/* A host that was cut off before the order reads the platform's list itself.
 */
START_TEST(servers_of_an_unknown_version_wait_while_others_are_listed)
{
    fixture f;
    uint64_t key = key_of("new");
    static const char *const only_new[] = {"new"};

    open_fixture(&f);
    update(&f, both, 2, -1, 0);
    bbl_rollout_view_set_unproven(&f.view, &f.pools, f.now, &key, 1);
    ck_assert(!may_send(&f, "new"));
    ck_assert(may_send(&f, "old"));
    bbl_rollout_view_set_unproven(&f.view, &f.pools, f.now, NULL, 0);
    ck_assert(may_send(&f, "new"));
    /* The rollout was completed meanwhile, and the old server has ended. */
    close_fixture(&f);
    open_fixture(&f);
    update(&f, only_new, 1, -1, 0);
    bbl_rollout_view_set_unproven(&f.view, &f.pools, f.now, &key, 1);
    ck_assert(may_send(&f, "new"));
    close_fixture(&f);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("rollout_view");
    TCase *tc = tcase_create("rollout_view");

    tcase_add_test(
        tc, a_server_after_the_order_gets_nothing_until_it_is_classified);
    tcase_add_loop_test(
        tc, a_server_that_was_not_known_under_a_lease_predates_no_order, 0, 2);
    tcase_add_test(tc, without_a_lease_the_new_version_gets_nothing);
    tcase_add_test(
        tc, at_the_last_step_old_servers_get_nothing_even_without_a_lease);
    tcase_add_loop_test(tc, the_end_of_a_rollout_needs_no_lease, 0, 2);
    tcase_add_test(tc, a_request_at_an_old_server_is_noticed);
    tcase_add_test(tc,
                   servers_of_an_unknown_version_wait_while_others_are_listed);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
