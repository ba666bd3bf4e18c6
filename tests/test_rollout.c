/*
 * Tests of the pure modules of rollouts: the steps, the judgement and the
 * draw. The error probabilities of the judgement are measured over seeds.
 */
#include <math.h>
#include <string.h>

#include "rollout/gate.h"
#include "rollout/judge.h"
#include "rollout/plan.h"
#include "support/run.h"

#define SEC BBL_USEC_PER_SEC
#define MS BBL_USEC_PER_MS
#define SEEDS 1000

/* ---- judgement ---- */

/* How the servers of one version answer. */
typedef struct {
    double failed;
    double slow;
    double refused;
} behaviour;

static void
answer(bbl_judge_sample *s, const behaviour *b, unsigned count, bbl_rng *rng)
{
    for (unsigned i = 0; i < count; i++) {
        if (bbl_rng_unit(rng) < b->refused) {
            s->refused++;
            continue;
        }
        s->ended++;
        if (bbl_rng_unit(rng) < b->failed) {
            s->failed++;
        }
        else {
            s->slow += bbl_rng_unit(rng) < b->slow;
        }
    }
}

/* Returns a number with the mean `rate`. */
static unsigned
draw_count(double rate, bbl_rng *rng)
{
    return (unsigned)rate + (bbl_rng_unit(rng) < rate - floor(rate));
}

typedef struct {
    bbl_judge judge;
    bbl_rng rng;
    bbl_usec now;
    unsigned bad; /* answers of the target that were failures or slow */
} trial;

/* Adds 100 ms with `rate` requests per second. */
static void
run_interval(trial *t, double rate, double share, const behaviour *old_version,
             const behaviour *target)
{
    bbl_judge_sample o = {0, 0, 0, 0};
    bbl_judge_sample n = {0, 0, 0, 0};

    t->now += 100 * MS;
    answer(&o, old_version, draw_count(rate * (1 - share) / 10, &t->rng),
           &t->rng);
    answer(&n, target, draw_count(rate * share / 10, &t->rng), &t->rng);
    bbl_judge_add(&t->judge, t->now, &o, &n);
    t->bad += (unsigned)(n.failed + n.slow);
}

static void
start_trial(trial *t, uint64_t seed)
{
    memset(t, 0, sizeof(*t));
    t->rng.state = seed;
    t->now = SEC;
}

static bool
is_bad(const trial *t)
{
    return bbl_judge_get_verdict(&t->judge) == BBL_VERDICT_BAD;
}

/* A version that is as good as the old one must not be rolled back: small and
 * large services, with few and with many bad answers of both versions. */
START_TEST(a_good_version_is_rarely_judged_bad)
{
    static const struct {
        double rate;
        double share;
        behaviour both;
    } cases[] = {{10, 0.04, {0.01, 0.03, 0.02}},
                 {100, 0.04, {0.01, 0.05, 0.02}},
                 {400, 0.04, {0.1, 0.2, 0.2}},
                 {400, 0.5, {0.0, 0.01, 0.0}}};
    unsigned wrong = 0;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        trial t;

        start_trial(&t, seed);
        while (t.judge.target_sum.ended < 5000 && !is_bad(&t) &&
               t.now < 600 * SEC) {
            run_interval(&t, cases[_i].rate, cases[_i].share, &cases[_i].both,
                         &cases[_i].both);
        }
        wrong += is_bad(&t);
    }
    ck_assert_msg(wrong <= BBL_JUDGE_FALSE * SEEDS, "%u of %u seeds", wrong,
                  SEEDS);
}
END_TEST

/*
 * A bad version is found by its 50th bad answer: from the start or after ten
 * minutes in which it was good, by failures or by slow answers.
 */
START_TEST(a_bad_version_is_found_by_its_50th_bad_answer)
{
    static const struct {
        double rate;
        bool later;
        behaviour good;
        behaviour bad;
    } cases[] = {
        {20, false, {0.01, 0.03, 0.02}, {0.11, 0.03, 0.02}},
        {200, false, {0.01, 0.03, 0.02}, {0.11, 0.03, 0.02}},
        {200, false, {0.01, 0.03, 0.02}, {0.01, 0.15, 0.02}},
        {200, false, {0.01, 0.03, 0.02}, {1.0, 0, 0}},
        {200, true, {0.01, 0.03, 0.02}, {0.11, 0.03, 0.02}},
        {200, true, {0.0, 0.0, 0.0}, {0.3, 0.0, 0.0}},
    };
    unsigned missed = 0;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        trial t;

        start_trial(&t, seed);
        for (unsigned i = 0; cases[_i].later && i < 6000; i++) {
            run_interval(&t, cases[_i].rate, 0.04, &cases[_i].good,
                         &cases[_i].good);
        }
        t.bad = 0;
        while (t.bad < 50 && !is_bad(&t)) {
            run_interval(&t, cases[_i].rate, 0.04, &cases[_i].good,
                         &cases[_i].bad);
        }
        missed += !is_bad(&t);
    }
    ck_assert_msg(missed <= BBL_JUDGE_MISS * SEEDS, "%u of %u seeds", missed,
                  SEEDS);
}
END_TEST

/* All servers turn slow or fail for a while, whatever their version. */
START_TEST(a_general_degradation_is_no_verdict)
{
    static const behaviour usual = {0.005, 0.03, 0.01};
    static const behaviour degraded = {0.3, 0.5, 0.4};
    unsigned wrong = 0;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        trial t;

        start_trial(&t, seed);
        for (unsigned i = 0; i < 600; i++) {
            const behaviour *b = i % 200 < 100 ? &usual : &degraded;

            run_interval(&t, 200, 0.04, b, b);
        }
        wrong += is_bad(&t);
    }
    ck_assert_msg(wrong <= BBL_JUDGE_FALSE * SEEDS, "%u of %u seeds", wrong,
                  SEEDS);
}
END_TEST

/* A version that refuses nearly everything has no bad answers to be seen. */
START_TEST(a_version_that_refuses_requests_is_found)
{
    static const behaviour good = {0.01, 0.03, 0.02};
    static const behaviour refusing = {0, 0, 0.9};
    trial t;

    start_trial(&t, 1);
    for (unsigned i = 0; i < 100 && !is_bad(&t); i++) {
        run_interval(&t, 200, 0.04, &good, &refusing);
    }
    ck_assert(is_bad(&t));
}
END_TEST

/* After the last step only the new version answers. */
/* Callers bring more than usual after the last step, and the queues of a sound
 * version fill up: the soak saw 28 of 177 requests refused. */
START_TEST(refusals_after_the_last_step_are_no_verdict)
{
    static const behaviour sound = {0.0, 0.01, 0.0};
    static const behaviour full = {0.0, 0.01, 0.16};
    trial t;

    start_trial(&t, 1);
    while (t.now < 10 * SEC) {
        run_interval(&t, 400, 0.5, &sound, &sound);
    }
    while (t.now < 11 * SEC) {
        run_interval(&t, 400, 1, &sound, &sound);
    }
    while (t.now < 13 * SEC) {
        run_interval(&t, 400, 1, &sound, &full);
        ck_assert(!is_bad(&t));
    }
}
END_TEST

START_TEST(a_version_that_turns_bad_after_the_last_step_is_found)
{
    static const behaviour good = {0.01, 0.03, 0.02};
    static const behaviour bad = {0.3, 0.03, 0.02};
    unsigned missed = 0;

    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        trial t;

        start_trial(&t, seed);
        for (unsigned i = 0; i < 600; i++) {
            run_interval(&t, 200, 0.04, &good, &good);
        }
        for (unsigned i = 0; i < 25; i++) {
            run_interval(&t, 200, 1, &good, &good);
        }
        t.bad = 0;
        while (t.bad < 50 && !is_bad(&t)) {
            run_interval(&t, 200, 1, &good, &bad);
        }
        missed += !is_bad(&t);
    }
    ck_assert_uint_le(missed, BBL_JUDGE_MISS * SEEDS);
}
END_TEST

/* ---- plan ---- */

static bbl_plan_input
usual_input(bbl_usec duration)
{
    return (bbl_plan_input){.duration = duration,
                            .left = duration,
                            .step_age = 10 * SEC,
                            .in_force = true,
                            .stable = true,
                            .verdict = BBL_VERDICT_UNDECIDED,
                            .listed = true,
                            .target_slots = 4,
                            .other_slots = 4};
}

typedef struct {
    bbl_plan_action end;
    bbl_usec ended_at;
    double exposure; /* share of the requests of the duration */
} course;

/*
 * Runs a plan in steps of 50 ms. Each step of the share is in force after
 * `lag`.
 *
 * @param bad_at when the version turns bad; found after 1 s
 */
static course
run_plan(bbl_usec duration, bbl_usec lag, bbl_usec warm_at, bbl_usec bad_at)
{
    bbl_plan_input in = usual_input(duration);
    bbl_usec step_at = 0;
    course c = {BBL_PLAN_WAIT, 0, 0};

    for (bbl_usec now = 0; now < duration + 60 * SEC; now += 50 * MS) {
        bbl_plan_result r;

        in.left = now < duration ? duration - now : 0;
        in.overdue = now > duration ? now - duration : 0;
        in.step_age = now - step_at;
        in.in_force = now >= step_at + lag;
        in.target_slots = now >= warm_at ? 4 : 0;
        in.verdict =
            now >= bad_at + SEC ? BBL_VERDICT_BAD : BBL_VERDICT_UNDECIDED;
        bbl_plan_next(&r, &in);
        if (r.action == BBL_PLAN_STEP) {
            ck_assert_uint_gt(r.share, in.share);
            in.share = r.share;
            step_at = now;
        }
        else if (r.action != BBL_PLAN_WAIT) {
            c.end = r.action;
            c.ended_at = now;
            return c;
        }
        c.exposure += (double)in.share / BBL_SHARE_ALL * 50 * MS / duration;
    }
    return c;
}

static const bbl_usec durations[] = {20 * SEC,  30 * SEC,   45 * SEC,
                                     60 * SEC,  120 * SEC,  300 * SEC,
                                     900 * SEC, 7200 * SEC, 86400 * SEC};

START_TEST(a_good_version_is_completed_by_its_deadline)
{
    course c = run_plan(durations[_i], 400 * MS, 3 * SEC, UINT64_MAX - SEC);

    ck_assert_int_eq(c.end, BBL_PLAN_COMPLETE);
    ck_assert_uint_le(c.ended_at, durations[_i]);
}
END_TEST

/* Wherever the version turns bad, also at the last step, a tenth of the
 * requests is not exceeded; durations under 30 s rely on the constant too. */
START_TEST(a_version_that_turns_bad_stays_within_a_tenth)
{
    bbl_usec d = durations[_i];

    for (unsigned i = 0; i <= 100; i++) {
        bbl_usec bad_at = d > 6 * SEC ? d - 5 * SEC * i / 100 : d;
        course c = run_plan(d, 400 * MS, 0, bad_at);
        /* What follows until the deadline goes to the version as well. */
        double after = c.end == BBL_PLAN_COMPLETE && c.ended_at < d
                           ? (double)(d - c.ended_at) / d
                           : 0;

        ck_assert_double_le(c.exposure + after, d < 30 * SEC ? 0.13 : 0.1);
    }
}
END_TEST

/* Cold servers get nothing; a step that waits past the deadline for servers
 * ends the rollout. */
START_TEST(without_warm_servers_the_rollout_is_rolled_back)
{
    course c = run_plan(60 * SEC, 400 * MS, UINT64_MAX, UINT64_MAX - SEC);

    ck_assert_int_eq(c.end, BBL_PLAN_ROLL_BACK);
    ck_assert_uint_ge(c.ended_at, 60 * SEC);
    ck_assert_uint_le(c.ended_at, 61 * SEC);
    ck_assert_double_eq(c.exposure, 0);
}
END_TEST

/* A leader that is elected after the deadline has read no list and counts no
 * slots; a good version was rolled back for that. */
START_TEST(a_new_leader_reads_the_list_before_it_rolls_back)
{
    bbl_plan_input in = usual_input(60 * SEC);
    bbl_plan_result r;

    in.share = 2000;
    in.left = 0;
    in.overdue = SEC;
    in.listed = false;
    in.target_slots = 0;
    in.other_slots = 0;
    bbl_plan_next(&r, &in);
    ck_assert_int_eq(r.action, BBL_PLAN_WAIT);
    in.overdue = 16 * SEC; /* it reads none */
    bbl_plan_next(&r, &in);
    ck_assert_int_eq(r.action, BBL_PLAN_ROLL_BACK);
    in.overdue = SEC;
    in.listed = true; /* without servers of the version */
    in.other_slots = 4;
    bbl_plan_next(&r, &in);
    ck_assert_int_eq(r.action, BBL_PLAN_ROLL_BACK);
}
END_TEST

START_TEST(a_share_is_not_raised_beyond_what_the_servers_can_take)
{
    bbl_plan_input in = usual_input(60 * SEC);
    bbl_plan_result r;

    in.share = 5000;
    in.left = SEC;
    in.target_slots = 2;
    bbl_plan_next(&r, &in);
    ck_assert_int_eq(r.action, BBL_PLAN_WAIT);
    in.target_slots = 3;
    bbl_plan_next(&r, &in);
    ck_assert_int_eq(r.action, BBL_PLAN_STEP);
    ck_assert_uint_eq(r.share, BBL_SHARE_ALL);
}
END_TEST

/* A share that some host does not apply yet must not be followed by the next
 * one, and the old servers must not end before all hosts have left them. */
START_TEST(no_step_is_made_before_the_last_one_is_in_force)
{
    bbl_plan_input in = usual_input(60 * SEC);
    bbl_plan_result r;

    in.left = 0;
    in.share = _i == 0 ? 400 : BBL_SHARE_ALL;
    for (int i = 0; i < 2; i++) {
        in.in_force = i == 0;
        in.stable = i == 1;
        bbl_plan_next(&r, &in);
        ck_assert_int_eq(r.action, BBL_PLAN_WAIT);
    }
}
END_TEST

/* An operator orders the version that runs already: until the deadline all
 * requests beyond a share would be refused. */
START_TEST(without_another_version_the_rollout_is_completed_at_once)
{
    bbl_plan_input in = usual_input(60 * SEC);
    bbl_plan_result r;

    in.other_slots = 0;
    in.alone = true;
    bbl_plan_next(&r, &in);
    ck_assert_int_eq(r.action, BBL_PLAN_COMPLETE);
    /* Once there was a share, the old servers may have failed all together. */
    in.share = 400;
    bbl_plan_next(&r, &in);
    ck_assert_int_eq(r.action, BBL_PLAN_WAIT);
}
END_TEST

/* An earlier build among the entry hosts sends to all servers alike. */
START_TEST(a_host_that_does_not_report_ends_the_rollout)
{
    bbl_plan_input in = usual_input(60 * SEC);
    bbl_plan_result r;

    in.unreported = 2 * SEC;
    bbl_plan_next(&r, &in);
    ck_assert_int_eq(r.action, BBL_PLAN_WAIT);
    in.unreported = 6 * SEC;
    bbl_plan_next(&r, &in);
    ck_assert_int_eq(r.action, BBL_PLAN_ROLL_BACK);
}
END_TEST

START_TEST(a_bad_verdict_ends_the_rollout_at_any_share)
{
    static const uint32_t shares[] = {0, 400, 5000, BBL_SHARE_ALL};
    bbl_plan_input in = usual_input(60 * SEC);
    bbl_plan_result r;

    in.verdict = BBL_VERDICT_BAD;
    in.share = shares[_i];
    in.in_force = false;
    in.stable = false;
    bbl_plan_next(&r, &in);
    ck_assert_int_eq(r.action, BBL_PLAN_ROLL_BACK);
}
END_TEST

/* ---- draw ---- */

/* Many hosts that see few requests each keep to the share together. */
START_TEST(hosts_with_few_requests_keep_to_the_share_together)
{
    for (uint64_t seed = 1; seed <= 200; seed++) {
        bbl_rng rng = {seed};
        unsigned taken = 0;

        for (unsigned host = 0; host < 295; host++) {
            bbl_gate gate = {0, 0};

            for (unsigned i = 0; i < 7; i++) {
                taken += bbl_gate_draw(&gate, 0.04, &rng);
            }
        }
        ck_assert_uint_le(taken, 295 * 7 / 10);
        ck_assert_uint_ge(taken, 40);
    }
}
END_TEST

/* The random numbers of one host may be unlucky for long. */
START_TEST(a_host_keeps_its_own_count_within_the_share)
{
    bbl_gate gate = {0, 0};
    unsigned taken = 0;

    for (uint64_t i = 0; i < 100000; i++) {
        bbl_rng rng = {i};

        taken += bbl_gate_draw(&gate, 0.04, &rng);
        ck_assert_double_le(taken, 0.04 * (double)(i + 1) + 2);
    }
    ck_assert_uint_ge(taken, 3500);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("rollout");
    TCase *tc = tcase_create("rollout");

    tcase_set_timeout(tc, 120);
    tcase_add_loop_test(tc, a_good_version_is_rarely_judged_bad, 0, 4);
    tcase_add_loop_test(tc, a_bad_version_is_found_by_its_50th_bad_answer, 0,
                        6);
    tcase_add_test(tc, a_general_degradation_is_no_verdict);
    tcase_add_test(tc, a_version_that_refuses_requests_is_found);
    tcase_add_test(tc, refusals_after_the_last_step_are_no_verdict);
    tcase_add_test(tc, a_version_that_turns_bad_after_the_last_step_is_found);
    tcase_add_loop_test(tc, a_good_version_is_completed_by_its_deadline, 0, 9);
    tcase_add_loop_test(tc, a_version_that_turns_bad_stays_within_a_tenth, 0,
                        9);
    tcase_add_test(tc, without_warm_servers_the_rollout_is_rolled_back);
    tcase_add_test(tc, a_share_is_not_raised_beyond_what_the_servers_can_take);
    tcase_add_test(tc, a_new_leader_reads_the_list_before_it_rolls_back);
    tcase_add_loop_test(tc, no_step_is_made_before_the_last_one_is_in_force, 0,
                        2);
    tcase_add_test(tc,
                   without_another_version_the_rollout_is_completed_at_once);
    tcase_add_test(tc, a_host_that_does_not_report_ends_the_rollout);
    tcase_add_loop_test(tc, a_bad_verdict_ends_the_rollout_at_any_share, 0, 4);
    tcase_add_test(tc, hosts_with_few_requests_keep_to_the_share_together);
    tcase_add_test(tc, a_host_keeps_its_own_count_within_the_share);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
