/*
 * Tests the policies of an entry host under the load patterns for which they
 * were made: extra requests, hedges, placement, load limit, connection
 * subsets, weighted services and top records.
 */
#include <stdio.h>
#include <string.h>

#include "forward/extra_budget.h"
#include "forward/hedge.h"
#include "forward/load_limit.h"
#include "forward/subset.h"
#include "forward/placement.h"
#include "forward/split.h"
#include "forward/top_records.h"
#include "support/run.h"

#define MS BBL_USEC_PER_MS
#define SEC BBL_USEC_PER_SEC

/* ---- extra requests ---- */

static const bbl_extra_limits limits = {10 * SEC, 0.2, 7};

/* Spends the whole allowance. Returns the number of extra requests. */
static unsigned
spend_all(bbl_extra_budget *b, bbl_usec now)
{
    unsigned spent = 0;

    while (bbl_extra_budget_get_left(b, &limits, now) > 0) {
        bbl_extra_budget_spend(b, &limits, now);
        spent++;
    }
    return spent;
}

START_TEST(extra_requests_stay_below_their_limit_in_every_window)
{
    bbl_extra_budget b;
    unsigned first[60] = {0};
    unsigned extra[60] = {0};

    memset(&b, 0, sizeof(b));
    for (unsigned half = 0; half < 60; half++) {
        bbl_usec now = SEC + half * SEC / 2;

        /* Bursts with idle periods between them, while all servers fail. */
        first[half] = half % 12 < 6 ? 10 : 0;
        for (unsigned i = 0; i < first[half]; i++) {
            bbl_extra_budget_count_first(&b, &limits, now);
        }
        extra[half] = spend_all(&b, now);
    }
    for (unsigned from = 0; from + 20 <= 60; from++) {
        double allowed = limits.constant;
        unsigned spent = 0;
        unsigned before = 0;
        unsigned within = 0;

        for (unsigned i = from; i < from + 20; i++) {
            spent += extra[i];
            within += first[i];
            before += i >= 20 ? first[i - 20] : 0;
        }
        allowed += limits.ratio * (within > before ? within : before);
        ck_assert_msg(spent <= allowed + 1e-9, "window %u: %u of %.1f", from,
                      spent, allowed);
    }
}
END_TEST

START_TEST(an_idle_period_empties_the_window)
{
    bbl_extra_budget b;

    memset(&b, 0, sizeof(b));
    ck_assert_uint_gt(spend_all(&b, SEC), 0);
    ck_assert_uint_eq(spend_all(&b, 2 * SEC), 0);
    ck_assert_uint_gt(spend_all(&b, 100 * SEC), 0);
}
END_TEST

/* ---- hedges ---- */

START_TEST(a_low_budget_delays_hedges)
{
    bbl_hedge_input in = {15 * MS, 0, SEC, 100 * MS, false, 1.0, false};
    bbl_usec full = bbl_hedge_get_delay(&in);

    in.budget_left = 0.4;
    ck_assert_uint_gt(bbl_hedge_get_delay(&in), full);
    in.budget_left = 0;
    ck_assert_uint_eq(bbl_hedge_get_delay(&in), UINT64_MAX);
    /*
     * Half of the servers refuse a part of their work: retries need what is
     * left.
     */
    in.budget_left = 0.2;
    ck_assert_uint_eq(bbl_hedge_get_delay(&in), UINT64_MAX);
}
END_TEST

START_TEST(no_hedge_while_responses_come_one_after_the_other)
{
    /* The missing response is likely to be queued behind the others. */
    bbl_hedge_input in = {15 * MS, 32 * MS, MS / 2, 100 * MS,
                          false,   1.0,     false};

    ck_assert_uint_gt(bbl_hedge_get_delay(&in), 0);
    ck_assert_uint_le(bbl_hedge_get_delay(&in), 2 * MS);
    in.quiet = 3 * MS;
    ck_assert_uint_eq(bbl_hedge_get_delay(&in), 0);
    /* They may come without end. */
    in.quiet = 0;
    in.waited = 120 * MS;
    ck_assert_uint_eq(bbl_hedge_get_delay(&in), 0);
}
END_TEST

START_TEST(a_stalled_server_is_hedged_sooner)
{
    bbl_hedge_input in = {15 * MS, 0, SEC, 100 * MS, false, 1.0, false};
    bbl_usec usual = bbl_hedge_get_delay(&in);

    in.stalled = true;
    ck_assert_uint_lt(bbl_hedge_get_delay(&in), usual);
    in.waited = 100 * MS;
    ck_assert_uint_eq(bbl_hedge_get_delay(&in), 0);
}
END_TEST

/* Other hosts have found that it answers late, so little is to be waited for.
 */
START_TEST(a_server_that_is_rated_as_bad_is_hedged_sooner)
{
    bbl_hedge_input in = {15 * MS, 0, SEC, 100 * MS, true, 1.0, false};
    bbl_usec stalled = bbl_hedge_get_delay(&in);

    in.stalled = false;
    in.rated_bad = true;
    ck_assert_uint_lt(bbl_hedge_get_delay(&in), stalled);
    /* Most attempts at a server that has recovered are answered by then. */
    ck_assert_uint_ge(bbl_hedge_get_delay(&in), 18 * MS);
    in.budget_left = 0.2;
    ck_assert_uint_eq(bbl_hedge_get_delay(&in), UINT64_MAX);
}
END_TEST

START_TEST(a_hedge_starts_early_enough_for_the_target)
{
    /*
     * A delay of twice the service time would leave the second server too
     * little time.
     */
    bbl_hedge_input in = {100 * MS, 0, SEC, 260 * MS, false, 1.0, false};

    ck_assert_uint_le(bbl_hedge_get_delay(&in), 130 * MS);
    ck_assert_uint_ge(bbl_hedge_get_delay(&in), 100 * MS);
}
END_TEST

START_TEST(a_full_budget_hedges_earlier_before_the_target)
{
    /*
     * The parts of a large query arrive one after the other, so the service
     * time is long, and twice that would leave the second server too little
     * time.
     */
    bbl_hedge_input in = {30 * MS, 0, SEC, 100 * MS, false, 1.0, false};

    ck_assert_uint_le(bbl_hedge_get_delay(&in), 40 * MS);
    ck_assert_uint_ge(bbl_hedge_get_delay(&in), 30 * MS);
    in.budget_left = 0.3;
    ck_assert_uint_ge(bbl_hedge_get_delay(&in), 50 * MS);
    /* With enough time until the target the usual delay applies. */
    in.budget_left = 1.0;
    in.target_left = 400 * MS;
    ck_assert_uint_eq(bbl_hedge_get_delay(&in), 60 * MS);
}
END_TEST

/* ---- placement ---- */

static bbl_room
room_except_ctx(void *ctx, const bbl_backend *b, bbl_usec now)
{
    (void)now;
    return ctx == NULL || b != ctx ? BBL_ROOM_READY : BBL_ROOM_NONE;
}

/* Only the server `ctx` has an open connection. */
static bbl_room
room_open_only_at_ctx(void *ctx, const bbl_backend *b, bbl_usec now)
{
    (void)now;
    return b == ctx ? BBL_ROOM_READY : BBL_ROOM_CONNECT;
}

typedef struct {
    bbl_backend servers[2];
    bbl_backend *list[2];
    bbl_rng rng;
} pair;

static void
init_pair(pair *p)
{
    memset(p, 0, sizeof(*p));
    for (int i = 0; i < 2; i++) {
        p->servers[i].listed.slots = 2;
        p->servers[i].same_zone = true;
        p->list[i] = &p->servers[i];
    }
    p->rng.state = 5;
}

/* Returns how many of 100 choices select the first server. */
static unsigned
count_first(pair *p, bbl_usec now, bool second)
{
    bbl_placement_input in = {
        .service_time = 15 * MS, .stall_timeout = 30 * MS, .hedge = second};
    unsigned n = 0;
    bbl_placement_counts usable;

    for (int i = 0; i < 100; i++) {
        n += bbl_placement_choose(&in, p->list, 2, now, room_except_ctx, NULL,
                                  &p->rng, &usable) == p->list[0];
    }
    return n;
}

START_TEST(equal_servers_share_the_work)
{
    pair p;
    unsigned first;

    init_pair(&p);
    first = count_first(&p, SEC, false);
    ck_assert_uint_gt(first, 25);
    ck_assert_uint_lt(first, 75);
}
END_TEST

START_TEST(an_open_connection_is_preferred_at_equal_speed)
{
    pair p;
    bbl_placement_input in = {.service_time = 15 * MS,
                              .stall_timeout = 30 * MS};
    bbl_placement_counts usable;

    init_pair(&p);
    for (int i = 0; i < 100; i++) {
        bbl_backend_record_connect(&p.servers[0], SEC, 6 * MS);
        ck_assert_ptr_eq(bbl_placement_choose(&in, p.list, 2, SEC,
                                              room_open_only_at_ctx, p.list[1],
                                              &p.rng, &usable),
                         p.list[1]);
    }
    /* A failure costs more than opening a connection. */
    bbl_backend_record_result(&p.servers[1], SEC, 0, true);
    ck_assert_ptr_eq(bbl_placement_choose(&in, p.list, 2, SEC,
                                          room_open_only_at_ctx, p.list[1],
                                          &p.rng, &usable),
                     p.list[0]);
}
END_TEST

START_TEST(another_data_centre_must_save_a_share_of_the_target)
{
    pair p;
    bbl_placement_input in = {
        .service_time = 15 * MS, .stall_timeout = 30 * MS, .target = 200 * MS};
    bbl_placement_counts usable;

    init_pair(&p);
    p.servers[1].same_zone = false;
    /*
     * The local server is slower by 10 ms, which is less than the share of the
     * target that the remote one must save.
     */
    p.servers[0].slowness = 1.67;
    p.servers[0].rated_at = SEC;
    ck_assert_ptr_eq(bbl_placement_choose(&in, p.list, 2, SEC, room_except_ctx,
                                          NULL, &p.rng, &usable),
                     p.list[0]);
    /* For a second attempt only the expected time counts. */
    in.target = 0;
    ck_assert_ptr_eq(bbl_placement_choose(&in, p.list, 2, SEC, room_except_ctx,
                                          NULL, &p.rng, &usable),
                     p.list[1]);
    /* A local server that takes several times as long is not chosen. */
    in.target = 200 * MS;
    p.servers[0].slowness = 4;
    ck_assert_ptr_eq(bbl_placement_choose(&in, p.list, 2, SEC, room_except_ctx,
                                          NULL, &p.rng, &usable),
                     p.list[1]);
}
END_TEST

START_TEST(a_stalled_server_gets_no_new_requests)
{
    pair p;

    init_pair(&p);
    p.servers[0].in_flight = 1;
    p.servers[0].oldest_sent_at = SEC;
    p.servers[0].answered_at = SEC - 50 * MS;
    ck_assert_uint_eq(count_first(&p, SEC + 31 * MS, false), 0);
    /* A response shows that it has resumed. */
    p.servers[0].answered_at = SEC + 31 * MS;
    p.servers[1].in_flight = 2;
    p.servers[1].answered_at = SEC + 31 * MS;
    ck_assert_uint_eq(count_first(&p, SEC + 32 * MS, false), 100);
}
END_TEST

START_TEST(slow_and_failing_servers_are_avoided_until_the_rating_decays)
{
    pair p;

    init_pair(&p);
    for (int i = 0; i < 10; i++) {
        bbl_backend_record_result(&p.servers[0], SEC, 8, false);
    }
    ck_assert_uint_eq(count_first(&p, SEC, false), 0);
    ck_assert_uint_gt(count_first(&p, 60 * SEC, false), 25);
    init_pair(&p);
    for (int i = 0; i < 5; i++) {
        bbl_backend_record_result(&p.servers[0], SEC, 0, true);
    }
    ck_assert_uint_eq(count_first(&p, SEC, false), 0);
}
END_TEST

static void
rate(bbl_backend *b, bbl_usec now, bbl_health_level level,
     bbl_health_cause cause, unsigned slowness)
{
    bbl_observed_health o = {0, 0, level, cause, slowness, 1};

    bbl_server_health_apply(&b->health, now, &o);
}

/* What two hosts have seen counts at a host that has seen nothing. */
START_TEST(servers_that_hosts_rate_as_bad_are_avoided)
{
    pair p;

    init_pair(&p);
    rate(&p.servers[0], SEC, BBL_HEALTH_SUSPECT, BBL_HEALTH_SLOW, 3);
    ck_assert_uint_gt(count_first(&p, SEC, false), 25);
    rate(&p.servers[0], SEC, BBL_HEALTH_BAD, BBL_HEALTH_SLOW, 3);
    ck_assert_uint_eq(count_first(&p, SEC, false), 0);
    ck_assert_uint_eq(count_first(&p, SEC, true), 0);
    /* The rating lapses. */
    ck_assert_uint_gt(count_first(&p, 3 * SEC, false), 25);
    rate(&p.servers[0], 4 * SEC, BBL_HEALTH_BAD, BBL_HEALTH_SLOW, 9);
    rate(&p.servers[0], 4 * SEC, BBL_HEALTH_WELL, BBL_HEALTH_SLOW, 0);
    ck_assert_uint_gt(count_first(&p, 4 * SEC, false), 25);
}
END_TEST

/* If all servers are rated as bad, the least bad one gets the work. */
START_TEST(the_least_bad_server_is_chosen)
{
    pair p;
    bbl_placement_input in = {
        .service_time = 15 * MS, .stall_timeout = 30 * MS, .target = 200 * MS};
    bbl_placement_counts counts;

    init_pair(&p);
    rate(&p.servers[0], SEC, BBL_HEALTH_BAD, BBL_HEALTH_SILENT, 0);
    rate(&p.servers[1], SEC, BBL_HEALTH_BAD, BBL_HEALTH_SLOW, 12);
    ck_assert_ptr_eq(bbl_placement_choose(&in, p.list, 2, SEC, room_except_ctx,
                                          NULL, &p.rng, &counts),
                     p.list[1]);
    rate(&p.servers[0], SEC, BBL_HEALTH_BAD, BBL_HEALTH_SLOW, 8);
    ck_assert_ptr_eq(bbl_placement_choose(&in, p.list, 2, SEC, room_except_ctx,
                                          NULL, &p.rng, &counts),
                     p.list[0]);
}
END_TEST

/* A probe reaches a bad server, but only if the part can be sent elsewhere. */
START_TEST(probes_reach_servers_that_are_rated_as_bad)
{
    pair p;
    bbl_placement_input in = {
        .service_time = 15 * MS, .stall_timeout = 30 * MS, .probe = true};
    bbl_placement_counts counts;

    init_pair(&p);
    ck_assert(!bbl_placement_has_choice_of_health(p.list, 2, SEC));
    rate(&p.servers[0], SEC, BBL_HEALTH_BAD, BBL_HEALTH_SLOW, 9);
    ck_assert(bbl_placement_has_choice_of_health(p.list, 2, SEC));
    ck_assert_ptr_eq(bbl_placement_choose(&in, p.list, 2, SEC, room_except_ctx,
                                          NULL, &p.rng, &counts),
                     p.list[0]);
    ck_assert(!counts.moved);
    rate(&p.servers[1], SEC, BBL_HEALTH_BAD, BBL_HEALTH_SLOW, 9);
    ck_assert(!bbl_placement_has_choice_of_health(p.list, 2, SEC));
}
END_TEST

START_TEST(parts_that_ratings_move_are_counted)
{
    pair p;
    bbl_placement_input in = {.service_time = 15 * MS,
                              .stall_timeout = 30 * MS};
    bbl_placement_counts counts;

    init_pair(&p);
    p.servers[1].same_zone = false;
    bbl_placement_choose(&in, p.list, 2, SEC, room_except_ctx, NULL, &p.rng,
                         &counts);
    ck_assert(!counts.moved);
    rate(&p.servers[0], SEC, BBL_HEALTH_BAD, BBL_HEALTH_SLOW, 9);
    ck_assert_ptr_eq(bbl_placement_choose(&in, p.list, 2, SEC, room_except_ctx,
                                          NULL, &p.rng, &counts),
                     p.list[1]);
    ck_assert(counts.moved);
}
END_TEST

START_TEST(only_usable_servers_are_chosen)
{
    pair p;
    bbl_placement_input in = {.service_time = 15 * MS,
                              .stall_timeout = 30 * MS};
    bbl_placement_counts usable;

    init_pair(&p);
    p.servers[0].listed.leaving = TRUE;
    p.servers[1].cold_until = 2 * SEC;
    ck_assert_ptr_null(bbl_placement_choose(
        &in, p.list, 2, SEC, room_except_ctx, NULL, &p.rng, &usable));
    ck_assert_uint_eq(usable.usable, 0);
    ck_assert_ptr_eq(bbl_placement_choose(&in, p.list, 2, 2 * SEC,
                                          room_except_ctx, NULL, &p.rng,
                                          &usable),
                     p.list[1]);
    ck_assert_uint_eq(usable.usable, 1);
    /* A server without capacity still counts as usable. */
    ck_assert_ptr_null(bbl_placement_choose(
        &in, p.list, 2, 2 * SEC, room_except_ctx, p.list[1], &p.rng, &usable));
    ck_assert_uint_eq(usable.usable, 1);
}
END_TEST

START_TEST(a_server_that_answered_lately_is_full_and_not_down)
{
    bbl_backend b;

    /*
     * All hosts connect at once, and the server's queue of connections is
     * full.
     */
    memset(&b, 0, sizeof(b));
    bbl_backend_record_connect(&b, SEC, 2 * MS);
    b.answered_at = SEC + 300 * MS;
    bbl_backend_record_connect_failure(&b, SEC + 600 * MS, 250 * MS);
    ck_assert_int_eq(bbl_backend_get_state(&b, SEC + 600 * MS),
                     BBL_BACKEND_USABLE);
    ck_assert_uint_gt(b.full_until, SEC + 600 * MS);
    /* Without further responses it is down, and may have restarted cold. */
    bbl_backend_record_connect_failure(&b, SEC + 1000 * MS, 250 * MS);
    ck_assert_int_eq(bbl_backend_get_state(&b, 2 * SEC), BBL_BACKEND_DOWN);
    bbl_backend_record_connect(&b, 3 * SEC, 2 * MS);
    ck_assert_int_eq(bbl_backend_get_state(&b, 3 * SEC), BBL_BACKEND_UNSURE);
    /* A server that refused a connection may have restarted cold as well. */
    memset(&b, 0, sizeof(b));
    bbl_backend_record_connect(&b, SEC, 2 * MS);
    bbl_backend_record_connect_failure(&b, SEC + 100 * MS, 1 * MS);
    ck_assert_int_eq(bbl_backend_get_state(&b, SEC + 100 * MS),
                     BBL_BACKEND_DOWN);
    bbl_backend_record_connect_failure(&b, SEC + 400 * MS, 250 * MS);
    bbl_backend_record_connect(&b, SEC + 500 * MS, 2 * MS);
    ck_assert_int_eq(bbl_backend_get_state(&b, SEC + 500 * MS),
                     BBL_BACKEND_UNSURE);
    /* So may one to which this host has never connected. */
    memset(&b, 0, sizeof(b));
    bbl_backend_record_connect_failure(&b, SEC, 250 * MS);
    bbl_backend_record_connect(&b, SEC, 2 * MS);
    ck_assert_int_eq(bbl_backend_get_state(&b, SEC), BBL_BACKEND_UNSURE);
}
END_TEST

START_TEST(an_unsure_server_waits_for_a_newer_list)
{
    bbl_backend b;

    memset(&b, 0, sizeof(b));
    b.unsure_at = 10 * SEC;
    bbl_backend_confirm(&b, 10 * SEC + 800 * MS, 800 * MS);
    ck_assert_int_eq(bbl_backend_get_state(&b, 11 * SEC), BBL_BACKEND_UNSURE);
    bbl_backend_confirm(&b, 10 * SEC + 801 * MS, 800 * MS);
    ck_assert_int_eq(bbl_backend_get_state(&b, 11 * SEC), BBL_BACKEND_USABLE);
}
END_TEST

/* ---- the load limit ---- */

#define SLOTS 4
#define QUEUE_MAX 48
#define WORK_MS 12
#define TARGET_MS 60

/* A model of servers with a common queue, and counts of their requests. */
typedef struct {
    bbl_load_limit limit;
    bool limited;
    uint64_t free_at[SLOTS]; /* ms */
    unsigned queued;
    unsigned in_time;
    unsigned refused;
} queue_model;

/*
 * Admits or refuses a request. Its end time is computed at once; the load
 * limit records it when that time has come.
 */
static void
admit_request(queue_model *m, uint64_t ms, uint64_t *end_times)
{
    unsigned slot = 0;
    uint64_t begin;

    if (!bbl_load_limit_admit(&m->limit, ms * MS, WORK_MS * MS, true) &&
        m->limited) {
        m->refused++;
        return;
    }
    for (unsigned i = 1; i < SLOTS; i++) {
        slot = m->free_at[i] < m->free_at[slot] ? i : slot;
    }
    begin = m->free_at[slot] > ms ? m->free_at[slot] : ms;
    if (begin - ms > QUEUE_MAX / SLOTS * WORK_MS) {
        m->refused++;
        return;
    }
    m->free_at[slot] = begin + WORK_MS;
    *end_times = m->free_at[slot];
}

/*
 * Runs eight seconds of steady load, then four seconds with three times the
 * capacity.
 */
static void
run_burst(queue_model *m, bool limited)
{
    static uint64_t end_times[16384];
    static uint64_t start_times[16384];
    bbl_rng rng = {3};
    unsigned count = 0;
    unsigned completed = 0;

    memset(m, 0, sizeof(*m));
    m->limited = limited;
    for (uint64_t ms = 1000; ms < 13000; ms++) {
        bool burst = ms >= 9000;
        /* The servers complete one request per 3 ms. */
        double rate = burst ? 1.0 : 0.12;

        for (int i = 0; i < 4; i++) {
            if (bbl_rng_unit(&rng) < rate / 4 && count < 16384) {
                end_times[count] = 0;
                start_times[count] = ms;
                admit_request(m, ms, &end_times[count]);
                count += end_times[count] != 0;
            }
        }
        for (; completed < count && end_times[completed] <= ms; completed++) {
            uint64_t took = end_times[completed] - start_times[completed];

            bbl_load_limit_record_attempt(
                &m->limit, ms * MS, (double)took / WORK_MS, WORK_MS * MS, 1);
            m->in_time += start_times[completed] >= 9000 && took <= TARGET_MS;
        }
    }
}

START_TEST(a_limited_burst_is_answered_in_time_up_to_the_capacity)
{
    queue_model with;
    queue_model without;
    unsigned capacity = 4000 / 3;

    run_burst(&with, true);
    run_burst(&without, false);
    ck_assert_msg(with.in_time > capacity * 6 / 10, "%u of %u", with.in_time,
                  capacity);
    ck_assert_msg(without.in_time < capacity / 4, "%u of %u", without.in_time,
                  capacity);
}
END_TEST

START_TEST(steady_load_on_slow_servers_is_not_limited)
{
    bbl_load_limit limit;

    memset(&limit, 0, sizeof(limit));
    for (uint64_t ms = 1000; ms < 30000; ms += 10) {
        /* From 15 s on all servers are three times as slow. */
        ck_assert(bbl_load_limit_admit(&limit, ms * MS, WORK_MS * MS, false));
        bbl_load_limit_record_attempt(&limit, ms * MS, ms < 15000 ? 1 : 3,
                                      WORK_MS * MS, 1);
    }
}
END_TEST

START_TEST(low_load_after_a_burst_is_not_refused)
{
    bbl_load_limit limit;
    uint64_t ms = 1000;

    /* Four requests per second, then forty at once, which queue. */
    memset(&limit, 0, sizeof(limit));
    limit.slot_capacity = 0.5 * BBL_USEC_PER_SEC;
    for (; ms < 6000; ms += 250) {
        ck_assert(bbl_load_limit_admit(&limit, ms * MS, WORK_MS * MS, false));
        bbl_load_limit_record_attempt(&limit, ms * MS, 1, WORK_MS * MS, 1);
    }
    for (int i = 0; i < 40; i++) {
        bbl_load_limit_admit(&limit, ms * MS, WORK_MS * MS, false);
    }
    for (int i = 0; i < 40; i++) {
        bbl_load_limit_record_attempt(&limit, (ms + 90) * MS, 3, WORK_MS * MS,
                                      1);
    }
    bbl_load_limit_admit(&limit, (ms + 120) * MS, WORK_MS * MS, false);
    ck_assert(limit.rate > 0);
    for (ms += 500; ms < 12000; ms += 100) {
        ck_assert(bbl_load_limit_admit(&limit, ms * MS, WORK_MS * MS, false));
        bbl_load_limit_record_attempt(&limit, ms * MS, 1, WORK_MS * MS, 1);
    }
    ck_assert(limit.rate == 0);
}
END_TEST

/* ---- connection subsets ---- */

#define HOSTS 64
#define SUBSET_SERVERS 3

START_TEST(no_server_gets_more_hosts_than_its_connection_limit)
{
    bbl_backend servers[SUBSET_SERVERS];
    bbl_backend *list[SUBSET_SERVERS];
    char ids[SUBSET_SERVERS][16];
    /* If 1, two of the servers are down. */
    const unsigned left = _i % 2 == 0 ? SUBSET_SERVERS : 1;
    unsigned hosts[SUBSET_SERVERS] = {0};

    memset(servers, 0, sizeof(servers));
    for (int i = 0; i < SUBSET_SERVERS; i++) {
        servers[i].down = (unsigned)i >= left;
        snprintf(ids[i], sizeof(ids[i]), "i-%d-%d", _i, i);
        servers[i].listed.id.bblx_label_val = ids[i];
        servers[i].listed.id.bblx_label_len = (u_int)strlen(ids[i]);
        list[i] = &servers[i];
    }
    for (unsigned h = 0; h < HOSTS; h++) {
        bbl_subset_input in = {h * 977 + 13, 54 * 0.9 / HOSTS};
        unsigned kept = 0;
        bool keep;

        for (int i = 0; i < SUBSET_SERVERS; i++) {
            servers[i].same_zone = (unsigned)i == h % SUBSET_SERVERS;
        }
        for (int i = 0; i < SUBSET_SERVERS; i++) {
            /*
             * The host may connect to any server, so it can reach a healthy
             * one.
             */
            ck_assert_uint_eq(bbl_subset_get_connection_limit(&keep, &in, list,
                                                              SUBSET_SERVERS,
                                                              (size_t)i, SEC),
                              1);
            ck_assert(left == 1 || keep == servers[i].same_zone);
            hosts[i] += keep;
            kept += keep;
        }
        ck_assert_uint_le(kept, 1);
    }
    for (int i = 0; i < SUBSET_SERVERS; i++) {
        ck_assert_uint_le(hosts[i], 54);
    }
    /* At least half of the hosts keep a connection to the last server. */
    ck_assert(left > 1 || hosts[0] >= HOSTS / 2);
}
END_TEST

START_TEST(a_host_replaces_an_unusable_server)
{
    bbl_backend servers[SUBSET_SERVERS];
    bbl_backend *list[SUBSET_SERVERS];
    bbl_subset_input in = {5, 0.7};
    unsigned kept;
    bool keep;

    memset(servers, 0, sizeof(servers));
    for (int i = 0; i < SUBSET_SERVERS; i++) {
        list[i] = &servers[i];
        servers[i].listed.id.bblx_label_val = (char *)"abc" + i;
        servers[i].listed.id.bblx_label_len = 1;
    }
    servers[0].same_zone = true;
    ck_assert_uint_eq(
        bbl_subset_get_connection_limit(&keep, &in, list, 3, 0, SEC), 1);
    ck_assert(keep);
    servers[0].down = true;
    ck_assert_uint_eq(
        bbl_subset_get_connection_limit(&keep, &in, list, 3, 0, SEC), 1);
    ck_assert(!keep);
    bbl_subset_get_connection_limit(&keep, &in, list, 3, 1, SEC);
    kept = keep;
    bbl_subset_get_connection_limit(&keep, &in, list, 3, 2, SEC);
    ck_assert_uint_eq(kept + keep, 1);
    in.connections_per_server = 3.3;
    ck_assert_uint_eq(
        bbl_subset_get_connection_limit(&keep, &in, list, 3, 1, SEC), 3);
}
END_TEST

/* ---- weighted services ---- */

START_TEST(weights_hold_over_few_requests)
{
    bbl_route_target targets[] = {{0, 7}, {1, 2}, {2, 1}, {3, 0}};
    bbl_route route = {
        .kind = BBL_ROUTE_SPLIT, .targets = targets, .target_count = 4};
    bbl_split split;
    unsigned counts[4] = {0};

    bbl_split_init(&split, &route, (uint64_t)_i);
    for (int i = 0; i < 20; i++) {
        counts[bbl_split_next(&split, &route)]++;
    }
    ck_assert_uint_eq(counts[0], 14);
    ck_assert_uint_eq(counts[1], 4);
    ck_assert_uint_eq(counts[2], 2);
    ck_assert_uint_eq(counts[3], 0);
    bbl_split_free(&split);
}
END_TEST

/* ---- top records ---- */

static int
compare_descending(const void *a, const void *b)
{
    return memcmp(b, a, BBL_RECORD_BYTES);
}

START_TEST(the_greatest_records_of_all_parts_are_kept)
{
    bbl_rng rng = {(uint64_t)_i + 1};
    char all[40 * BBL_RECORD_BYTES + 5];
    bbl_top_records top;
    size_t parts = 1 + bbl_rng_below(&rng, 5);
    size_t max_records = bbl_rng_below(&rng, 50);
    size_t kept;

    for (size_t i = 0; i < sizeof(all); i++) {
        all[i] = (char)bbl_rng_below(&rng, i % 16 < 14 ? 2 : 256);
    }
    bbl_top_records_init(&top, max_records);
    for (size_t p = 0; p < parts; p++) {
        size_t from = 40 * p / parts;
        size_t to = 40 * (p + 1) / parts;
        /* Bytes after the last complete record are ignored. */
        size_t rest = to == 40 ? 5 : 0;

        bbl_top_records_add(&top,
                            (bbl_str){all + from * BBL_RECORD_BYTES,
                                      (to - from) * BBL_RECORD_BYTES + rest});
    }
    qsort(all, 40, BBL_RECORD_BYTES, compare_descending);
    kept = max_records < 40 ? max_records : 40;
    ck_assert_uint_eq(bbl_top_records_get(&top).size, kept * BBL_RECORD_BYTES);
    ck_assert(kept == 0 || memcmp(bbl_top_records_get(&top).ptr, all,
                                  kept * BBL_RECORD_BYTES) == 0);
    bbl_top_records_free(&top);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("forward_policy");
    TCase *tc = tcase_create("forward_policy");

    tcase_add_test(tc, extra_requests_stay_below_their_limit_in_every_window);
    tcase_add_test(tc, an_idle_period_empties_the_window);
    tcase_add_test(tc, a_low_budget_delays_hedges);
    tcase_add_test(tc, a_stalled_server_is_hedged_sooner);
    tcase_add_test(tc, no_hedge_while_responses_come_one_after_the_other);
    tcase_add_test(tc, a_hedge_starts_early_enough_for_the_target);
    tcase_add_test(tc, a_server_that_is_rated_as_bad_is_hedged_sooner);
    tcase_add_test(tc, a_full_budget_hedges_earlier_before_the_target);
    tcase_add_test(tc, equal_servers_share_the_work);
    tcase_add_test(tc, an_open_connection_is_preferred_at_equal_speed);
    tcase_add_test(tc, another_data_centre_must_save_a_share_of_the_target);
    tcase_add_test(tc, a_stalled_server_gets_no_new_requests);
    tcase_add_test(
        tc, slow_and_failing_servers_are_avoided_until_the_rating_decays);
    tcase_add_test(tc, servers_that_hosts_rate_as_bad_are_avoided);
    tcase_add_test(tc, the_least_bad_server_is_chosen);
    tcase_add_test(tc, probes_reach_servers_that_are_rated_as_bad);
    tcase_add_test(tc, parts_that_ratings_move_are_counted);
    tcase_add_test(tc, only_usable_servers_are_chosen);
    tcase_add_test(tc, a_server_that_answered_lately_is_full_and_not_down);
    tcase_add_test(tc, an_unsure_server_waits_for_a_newer_list);
    tcase_add_test(tc, a_limited_burst_is_answered_in_time_up_to_the_capacity);
    tcase_add_test(tc, steady_load_on_slow_servers_is_not_limited);
    tcase_add_test(tc, low_load_after_a_burst_is_not_refused);
    tcase_add_loop_test(
        tc, no_server_gets_more_hosts_than_its_connection_limit, 0, 10);
    tcase_add_test(tc, a_host_replaces_an_unusable_server);
    tcase_add_loop_test(tc, weights_hold_over_few_requests, 0, 20);
    tcase_add_loop_test(tc, the_greatest_records_of_all_parts_are_kept, 0,
                        200);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
