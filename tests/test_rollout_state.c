/*
 * Tests of rollouts in the replicated state: orders, steps and snapshots.
 */
#include <stdio.h>
#include <string.h>

#include "bbl/errors.h"
#include "control/state.h"
#include "support/run.h"

static uint64_t last_index;

/* Applies a command; returns its status. */
static int
apply(bbl_state *state, const char *service, const char *target,
      uint64_t order, bblx_rollout_state to, uint64_t time_ms)
{
    bblx_command c;
    bblx_rollout *r = &c.bblx_command_u.rollout;
    bbl_buf data = BBL_BUF_INIT;
    bbl_state_result result;

    memset(&c, 0, sizeof(c));
    c.kind = BBLX_ROLLOUT;
    r->service = (bblx_label){(u_int)strlen(service), (char *)service};
    r->target = (bblx_label){(u_int)strlen(target), (char *)target};
    r->order = order;
    r->state = to;
    r->share = 400;
    r->time_ms = time_ms;
    r->duration_ms = 60000;
    ck_assert_int_eq(BBL_XDR_ENCODE(&data, bblx_command, &c), 0);
    ck_assert(bbl_state_is_feed_command(bbl_buf_str(&data)));
    ck_assert(bbl_state_is_rollout(bbl_buf_str(&data)));
    bbl_state_apply(state, ++last_index, bbl_buf_str(&data), &result);
    bbl_buf_free(&data);
    return result.status;
}

static int
order(bbl_state *state, const char *service, const char *target,
      uint64_t time_ms)
{
    return apply(state, service, target, 0, BBLX_ROLLOUT_RUNNING, time_ms);
}

static const bblx_rollout *
find(const bbl_state *state, const char *service)
{
    return bbl_state_find_rollout(state, (bbl_str){service, strlen(service)});
}

/* An operator repeats an order that it has no answer for. */
START_TEST(the_same_order_again_changes_nothing)
{
    bbl_state *s = bbl_state_new();
    uint64_t first;

    ck_assert_int_eq(order(s, "a", "v2", 1000), 0);
    first = find(s, "a")->order;
    ck_assert_uint_eq(find(s, "a")->share, 0);
    ck_assert_int_eq(order(s, "a", "v2", 2000), 0);
    ck_assert_uint_eq(find(s, "a")->order, first);
    ck_assert_int_eq(order(s, "a", "v3", 2000), BBL_EEXISTS);
    ck_assert_int_eq(apply(s, "a", "v2", first, BBLX_ROLLOUT_COMPLETED, 9000),
                     0);
    /* Just after its end, by whatever clock, it is not started anew. */
    ck_assert_int_eq(order(s, "a", "v2", 18999), 0);
    ck_assert_int_eq(order(s, "a", "v2", 500), 0);
    ck_assert_int_eq(find(s, "a")->state, BBLX_ROLLOUT_COMPLETED);
    ck_assert_int_eq(order(s, "a", "v2", 19000), 0);
    ck_assert_int_eq(find(s, "a")->state, BBLX_ROLLOUT_RUNNING);
    ck_assert_uint_ne(find(s, "a")->order, first);
    bbl_state_free(s);
}
END_TEST

START_TEST(another_version_may_follow_at_once)
{
    bbl_state *s = bbl_state_new();

    order(s, "a", "v2", 1000);
    apply(s, "a", "v2", find(s, "a")->order, BBLX_ROLLOUT_ROLLED_BACK, 2000);
    ck_assert_int_eq(order(s, "a", "v3", 2001), 0);
    ck_assert_int_eq(find(s, "a")->state, BBLX_ROLLOUT_RUNNING);
    bbl_state_free(s);
}
END_TEST

/* A leader that was replaced may have appended a step late. */
START_TEST(a_step_of_another_order_or_after_the_end_changes_nothing)
{
    bbl_state *s = bbl_state_new();
    uint64_t first;

    order(s, "a", "v2", 1000);
    first = find(s, "a")->order;
    ck_assert_int_eq(
        apply(s, "a", "v2", first + 5, BBLX_ROLLOUT_RUNNING, 1100),
        BBL_ENOTFOUND);
    ck_assert_int_eq(apply(s, "a", "v2", first, (bblx_rollout_state)77, 1100),
                     BBL_EDAMAGED);
    ck_assert_uint_eq(find(s, "a")->share, 0);
    ck_assert_int_eq(apply(s, "a", "v2", first, BBLX_ROLLOUT_RUNNING, 1100),
                     0);
    ck_assert_uint_eq(find(s, "a")->share, 400);
    apply(s, "a", "v2", first, BBLX_ROLLOUT_ROLLED_BACK, 1200);
    ck_assert_int_eq(apply(s, "a", "v2", first, BBLX_ROLLOUT_COMPLETED, 1300),
                     BBL_ENOTFOUND);
    ck_assert_int_eq(find(s, "a")->state, BBLX_ROLLOUT_ROLLED_BACK);
    ck_assert_int_eq(apply(s, "a", "v2", first, BBLX_ROLLOUT_FORGOTTEN, 1400),
                     0);
    ck_assert_ptr_null(find(s, "a"));
    bbl_state_free(s);
}
END_TEST

/* Running rollouts must not be lost for new ones. */
START_TEST(at_most_256_rollouts_are_recorded)
{
    bbl_state *s = bbl_state_new();
    char name[16];

    for (unsigned i = 0; i < BBL_ROLLOUTS_MAX; i++) {
        snprintf(name, sizeof(name), "s%u", i);
        ck_assert_int_eq(order(s, name, "v2", 1000), 0);
    }
    ck_assert_int_eq(order(s, "more", "v2", 1000), BBL_EFULL);
    apply(s, "s7", "v2", find(s, "s7")->order, BBLX_ROLLOUT_COMPLETED, 2000);
    ck_assert_int_eq(order(s, "more", "v2", 3000), 0);
    ck_assert_ptr_null(find(s, "s7"));
    ck_assert_ptr_nonnull(find(s, "s255"));
    bbl_state_free(s);
}
END_TEST

/* Earlier builds load the part of a snapshot before the rollouts, and nothing
 * longer; without rollouts a snapshot is as it was. */
START_TEST(a_snapshot_holds_the_rollouts_behind_what_earlier_builds_know)
{
    bbl_state *s = bbl_state_new();
    bbl_state *copy = bbl_state_new();
    bbl_buf data = BBL_BUF_INIT;
    bblx_state known;
    size_t size = bbl_state_save(s, true, &data);

    ck_assert_uint_eq(size, data.size);
    bbl_buf_clear(&data);
    order(s, "a", "v2", 1000);
    apply(s, "a", "v2", find(s, "a")->order, BBLX_ROLLOUT_RUNNING, 1100);
    size = bbl_state_save(s, false, &data);
    ck_assert_uint_lt(size, data.size);
    memset(&known, 0, sizeof(known));
    ck_assert_int_eq(
        BBL_XDR_DECODE(&known, bblx_state, ((bbl_str){data.ptr, size})), 0);
    BBL_XDR_FREE(bblx_state, &known);
    ck_assert_int_eq(bbl_state_load(copy, bbl_buf_str(&data)), 0);
    ck_assert_uint_eq(find(copy, "a")->order, find(s, "a")->order);
    ck_assert_uint_eq(find(copy, "a")->share, 400);
    ck_assert_uint_eq(find(copy, "a")->target.bblx_label_len, 2);
    /* A torn one is refused, and the state stays. */
    ck_assert_int_eq(bbl_state_load(copy, (bbl_str){data.ptr, data.size - 4}),
                     BBL_EDAMAGED);
    ck_assert_ptr_nonnull(find(copy, "a"));
    bbl_buf_free(&data);
    bbl_state_free(copy);
    bbl_state_free(s);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("rollout_state");
    TCase *tc = tcase_create("rollout_state");

    tcase_add_test(tc, the_same_order_again_changes_nothing);
    tcase_add_test(tc, another_version_may_follow_at_once);
    tcase_add_test(tc,
                   a_step_of_another_order_or_after_the_end_changes_nothing);
    tcase_add_test(tc, at_most_256_rollouts_are_recorded);
    tcase_add_test(
        tc, a_snapshot_holds_the_rollouts_behind_what_earlier_builds_know);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
