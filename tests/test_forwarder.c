/* Tests the forwarder against simulated servers with each of their faults. */
#include <stdio.h>
#include <string.h>

#include "forward/drain_plan.h"
#include "support/forward_sim.h"
#include "support/run.h"

#define MS BBL_USEC_PER_MS
#define SEC BBL_USEC_PER_SEC

/*
 * The routes /g/ (minimum coverage three of four shards) and /a/ (two of four)
 * gather the shards s1 to s4, which have two servers each. The service one is
 * behind /one/ (idempotent) and /once/ (not idempotent).
 */
#define SHARDS "[\"s1\",\"s2\",\"s3\",\"s4\"]"
#define GATHER(name, prefix, min_coverage)                                    \
    "{\"name\":\"" name                                                       \
    "\",\"hostname\":\"a.example\",\"path_prefix\":\"" prefix                 \
    "\",\"route_type\":\"safe\",\"timeout_ms\":800,"                          \
    "\"target_latency_ms\":120,\"priority\":1,\"gather\":" SHARDS             \
    ",\"max_attempts\":2,\"top_k\":5,\"min_coverage\":" min_coverage "}"
#define SINGLE(name, prefix, kind)                                            \
    "{\"name\":\"" name                                                       \
    "\",\"hostname\":\"a.example\",\"path_prefix\":\"" prefix                 \
    "\",\"route_type\":\"" kind "\",\"timeout_ms\":1000,"                     \
    "\"target_latency_ms\":200,\"priority\":2,\"service\":\"one\","           \
    "\"max_attempts\":2}"
#define SERVICE(name) "{\"name\":\"" name "\",\"max_connections\":26}"

static const char document[] =
    "{\"version\":1,\"routes\":[" GATHER("g", "/g/", "0.75") "," GATHER("a", "/a/", "0.5") "," SINGLE(
        "o", "/one/",
        "safe") "," SINGLE("u", "/once/",
                           "unsafe") "],"
                                     "\"service"
                                     "s\":"
                                     "[" SERVICE("s1") "," SERVICE("s2") "," SERVICE(
                                         "s3") "," SERVICE("s4") "," SERVICE("one") "]}";

typedef struct {
    forward_sim *sim;
    forward_sim_server *shard[4][2];
    forward_sim_server *one[2];
} fixture;

static void
init_fixture(fixture *f)
{
    char id[16];
    char service[16];

    f->sim = forward_sim_new(7);
    for (int s = 0; s < 4; s++) {
        for (int k = 0; k < 2; k++) {
            snprintf(id, sizeof(id), "i%d%d", s + 1, k);
            snprintf(service, sizeof(service), "s%d", s + 1);
            f->shard[s][k] =
                forward_sim_add_server(f->sim, id, service, k ? "z2" : "z1");
        }
    }
    f->one[0] = forward_sim_add_server(f->sim, "o0", "one", "z1");
    f->one[1] = forward_sim_add_server(f->sim, "o1", "one", "z2");
    forward_sim_install_routing(f->sim, document);
    /* Let the forwarder measure the service times. */
    for (int i = 0; i < 40; i++) {
        forward_sim_send_request(f->sim, "/g/1", 800);
        forward_sim_send_request(f->sim, "/one/1", 800);
        forward_sim_run(f->sim, 20 * MS);
    }
}

static void
free_fixture(fixture *f)
{
    forward_sim_free(f->sim);
}

/* Sends one request, waits until it is answered and returns it. */
static const forward_sim_call *
send_and_wait(fixture *f, const char *path)
{
    unsigned n = forward_sim_send_request(f->sim, path, 0);

    forward_sim_run(f->sim, 1200 * MS);
    ck_assert(forward_sim_get_call(f->sim, n)->answered);
    return forward_sim_get_call(f->sim, n);
}

START_TEST(all_shards_answer)
{
    fixture f;
    const forward_sim_call *c;

    init_fixture(&f);
    c = send_and_wait(&f, "/g/1");
    ck_assert_uint_eq(c->status, 200);
    ck_assert_uint_eq(c->parts, 4);
    ck_assert_uint_eq(c->missing, 0);
    ck_assert_uint_eq(c->runs, 4);
    ck_assert_uint_eq(send_and_wait(&f, "/none/")->status, 404);
    free_fixture(&f);
}
END_TEST

START_TEST(without_a_routing_requests_get_503)
{
    forward_sim *sim = forward_sim_new(7);
    unsigned n = forward_sim_send_request(sim, "/g/1", 800);

    ck_assert_uint_eq(forward_sim_get_call(sim, n)->status, 503);
    ck_assert_uint_gt(forward_sim_get_call(sim, n)->retry_after_ms, 0);
    forward_sim_free(sim);
}
END_TEST

START_TEST(a_paused_server_is_hedged_within_the_target)
{
    fixture f;
    unsigned n;
    bbl_usec at;

    init_fixture(&f);
    f.shard[0][0]->paused_until = forward_sim_get_time(f.sim) + 150 * MS;
    f.shard[0][1]->paused_until = 0;
    at = forward_sim_get_time(f.sim);
    n = forward_sim_send_request(f.sim, "/g/1", 800);
    forward_sim_run(f.sim, 100 * MS);
    ck_assert_uint_eq(forward_sim_get_call(f.sim, n)->parts, 4);
    ck_assert_uint_le(forward_sim_get_call(f.sim, n)->answered_at - at,
                      60 * MS);
    free_fixture(&f);
}
END_TEST

/*
 * All servers have become unreachable without a reset: at the deadline the
 * attempts still wait for their connections, so nothing has run.
 */
START_TEST(unsent_requests_are_refused_as_not_run)
{
    fixture f;
    const forward_sim_call *c;

    init_fixture(&f);
    for (int s = 0; s < 4; s++) {
        f.shard[s][0]->mode = SERVER_DARK;
        f.shard[s][1]->mode = SERVER_DARK;
    }
    f.one[0]->mode = SERVER_DARK;
    f.one[1]->mode = SERVER_DARK;
    c = send_and_wait(&f, "/g/1");
    ck_assert_uint_eq(c->status, 503);
    c = send_and_wait(&f, "/one/1");
    ck_assert_uint_eq(c->status, 503);
    c = send_and_wait(&f, "/once/1");
    ck_assert_uint_eq(c->status, 503);
    /* What was cancelled is not sent after all. */
    ck_assert_uint_eq(forward_sim_count_in_flight(f.sim), 0);
    free_fixture(&f);
}
END_TEST

/* As above, but one part was sent: the request may have run. */
START_TEST(a_request_sent_in_part_is_not_refused_as_not_run)
{
    fixture f;
    const forward_sim_call *c;

    init_fixture(&f);
    for (int s = 0; s < 4; s++) {
        f.shard[s][0]->mode = s == 0 ? SERVER_SILENT : SERVER_DARK;
        f.shard[s][1]->mode = s == 0 ? SERVER_SILENT : SERVER_DARK;
    }
    c = send_and_wait(&f, "/g/1");
    ck_assert_uint_gt(c->runs, 0);
    ck_assert_uint_eq(c->status, 504);
    free_fixture(&f);
}
END_TEST

/*
 * A host that cannot tell whether its routing is the newest must not answer
 * that a route does not exist.
 */
START_TEST(unknown_routes_are_denied_only_by_a_confirmed_routing)
{
    fixture f;
    bbl_usec now;
    unsigned n;

    init_fixture(&f);
    now = forward_sim_get_time(f.sim);
    forward_sim_confirm_routing(f.sim, now + 100 * MS);
    n = forward_sim_send_request(f.sim, "/none/", 800);
    ck_assert_uint_eq(forward_sim_get_call(f.sim, n)->status, 404);
    forward_sim_run(f.sim, 100 * MS);
    n = forward_sim_send_request(f.sim, "/none/", 800);
    ck_assert_uint_eq(forward_sim_get_call(f.sim, n)->status, 503);
    ck_assert_uint_gt(forward_sim_get_call(f.sim, n)->retry_after_ms, 0);
    /* Known routes are served as before. */
    ck_assert_uint_eq(send_and_wait(&f, "/one/1")->status, 200);
    free_fixture(&f);
}
END_TEST

/*
 * A host that stops answers what is still open: what was not sent has not run,
 * what was sent may have run, and enough parts are an answer.
 */
START_TEST(open_requests_are_answered_when_the_host_stops)
{
    fixture f;
    unsigned unsent;
    unsigned sent;
    unsigned merged;

    init_fixture(&f);
    f.shard[0][0]->mode = SERVER_SILENT;
    f.shard[0][1]->mode = SERVER_SILENT;
    merged = forward_sim_send_request(f.sim, "/g/1", 800);
    forward_sim_run(f.sim, 15 * MS);
    sent = forward_sim_send_request(f.sim, "/once/1", 800);
    f.one[0]->mode = SERVER_DARK;
    f.one[1]->mode = SERVER_DARK;
    unsent = forward_sim_send_request(f.sim, "/once/1", 800);
    forward_sim_finish_open(f.sim);
    ck_assert_uint_eq(forward_sim_get_call(f.sim, merged)->status, 200);
    ck_assert_uint_eq(forward_sim_get_call(f.sim, merged)->missing, 1);
    ck_assert_uint_eq(forward_sim_get_call(f.sim, sent)->status, 502);
    ck_assert_uint_eq(forward_sim_get_call(f.sim, unsent)->status, 503);
    free_fixture(&f);
}
END_TEST

/*
 * Requests that come so late in a planned stop that they could not be answered
 * any more are refused unsent, and their callers may go elsewhere at once.
 */
START_TEST(requests_that_come_too_late_in_a_drain_do_not_run)
{
    static const char *const paths[] = {"/once/1", "/one/1", "/g/1"};
    fixture f;

    init_fixture(&f);
    for (size_t i = 0; i < 3; i++) {
        forward_sim_set_end(f.sim, 500 * MS);
        ck_assert_uint_eq(send_and_wait(&f, paths[i])->status, 200);
    }
    forward_sim_set_end(f.sim, 4 * MS);
    for (size_t i = 0; i < 3; i++) {
        unsigned n = forward_sim_send_request(f.sim, paths[i], 800);
        const forward_sim_call *c = forward_sim_get_call(f.sim, n);

        ck_assert(c->answered);
        ck_assert_uint_eq(c->status, 503);
        ck_assert_uint_eq(c->runs, 0);
    }
    free_fixture(&f);
}
END_TEST

START_TEST(a_drain_covers_a_request_that_may_not_run_again_for_longer)
{
    bbl_drain_plan_input in = {
        .remaining = 400 * MS,
        .time_left = 3000 * MS,
        .service_time = 100 * MS,
        .idempotent = true,
    };

    ck_assert(bbl_drain_plan_admits(&in));
    in.idempotent = false;
    ck_assert(!bbl_drain_plan_admits(&in));
    in.time_left = 300 * MS;
    ck_assert(bbl_drain_plan_admits(&in));
    in.remaining = 0;
    in.time_left = 0;
    ck_assert(!bbl_drain_plan_admits(&in));
}
END_TEST

/* A request that waited unread until its deadline is refused, not sent. */
START_TEST(expired_requests_are_refused_at_once)
{
    fixture f;
    const forward_sim_call *c;
    unsigned n;

    init_fixture(&f);
    n = forward_sim_send_delayed_request(f.sim, "/g/1", 400, 450 * MS);
    c = forward_sim_get_call(f.sim, n);
    ck_assert(c->answered);
    ck_assert_uint_eq(c->status, 503);
    ck_assert_uint_eq(c->runs, 0);
    /* With some time left, the servers get no more than that. */
    n = forward_sim_send_delayed_request(f.sim, "/g/1", 400, 300 * MS);
    ck_assert_uint_gt(forward_sim_get_call(f.sim, n)->runs, 0);
    ck_assert_uint_le(forward_sim_get_call(f.sim, n)->time_left_max_ms, 100);
    free_fixture(&f);
}
END_TEST

#define WIDE_SHARDS 90

/* Adds a route /w/ over 90 shards with two servers each, target 80 ms. */
static void
install_wide_routing(forward_sim *sim, forward_sim_server **servers)
{
    bbl_buf text = BBL_BUF_INIT;
    char id[16];
    char service[16];

    bbl_buf_printf(&text, "{\"version\":1,\"routes\":[{\"name\":\"w\","
                          "\"hostname\":\"a.example\",\"path_prefix\":\"/w/"
                          "\",\"route_type\":\"safe\",\"timeout_ms\":800,"
                          "\"target_latency_ms\":80,\"priority\":1,"
                          "\"max_attempts\":2,\"top_k\":5,"
                          "\"min_coverage\":0.95,\"gather\":[");
    for (int s = 0; s < WIDE_SHARDS; s++) {
        snprintf(service, sizeof(service), "w%d", s);
        bbl_buf_printf(&text, "%s\"%s\"", s > 0 ? "," : "", service);
        for (int k = 0; k < 2; k++) {
            snprintf(id, sizeof(id), "i%d-%d", s, k);
            servers[2 * s + k] =
                forward_sim_add_server(sim, id, service, "z1");
            servers[2 * s + k]->work = 7500;
        }
    }
    bbl_buf_printf(&text, "]}],\"services\":[");
    for (int s = 0; s < WIDE_SHARDS; s++) {
        bbl_buf_printf(&text, "%s{\"name\":\"w%d\",\"max_connections\":68}",
                       s > 0 ? "," : "", s);
    }
    bbl_buf_printf(&text, "]}");
    bbl_buf_append(&text, "", 1);
    forward_sim_install_routing(sim, text.ptr);
    bbl_buf_free(&text);
}

/*
 * Load pattern: 90 responses need 33 ms on the link of the host, while a
 * server takes 7.5 ms, and one server of 25 pauses for longer than the target
 * allows. The hedges must leave the second servers enough time, and must not
 * be spent on responses that are only queued on the link.
 */
START_TEST(paused_servers_are_hedged_in_time_behind_a_narrow_link)
{
    forward_sim *sim = forward_sim_new(1);
    forward_sim_server *servers[2 * WIDE_SHARDS];
    const forward_sim_call *c;
    uint64_t hedges;
    bbl_usec at;

    install_wide_routing(sim, servers);
    forward_sim_set_receive_time(sim, 370);
    for (int i = 0; i < 40; i++) {
        forward_sim_send_request(sim, "/w/1", 800);
        forward_sim_run(sim, 150 * MS);
    }
    for (int i = 0; i < 2 * WIDE_SHARDS; i += 25) {
        servers[i]->paused_until = forward_sim_get_time(sim) + 150 * MS;
    }
    hedges = forward_sim_get_counters(sim)->hedges;
    at = forward_sim_get_time(sim);
    c = forward_sim_get_call(sim, forward_sim_send_request(sim, "/w/1", 800));
    forward_sim_run(sim, 100 * MS);
    ck_assert(c->answered);
    ck_assert_uint_eq(c->status, 200);
    ck_assert_uint_eq(c->missing, 0);
    ck_assert_uint_lt(c->answered_at - at, 62 * MS);
    hedges = forward_sim_get_counters(sim)->hedges - hedges;
    ck_assert_uint_le(hedges, 2 * WIDE_SHARDS / 25 + 4);
    forward_sim_free(sim);
}
END_TEST

START_TEST(a_missing_shard_is_reported_before_the_target)
{
    fixture f;
    const forward_sim_call *c;
    bbl_usec at;

    init_fixture(&f);
    f.shard[2][0]->mode = SERVER_SILENT;
    f.shard[2][1]->mode = SERVER_SILENT;
    at = forward_sim_get_time(f.sim);
    c = send_and_wait(&f, "/g/1");
    ck_assert_uint_eq(c->status, 200);
    ck_assert_uint_eq(c->parts, 3);
    ck_assert_uint_eq(c->missing, 1);
    ck_assert_uint_le(c->answered_at - at, 115 * MS);
    free_fixture(&f);
}
END_TEST

static const bbl_usec round_trips[] = {2 * MS, 40 * MS};

/* Near callers leave the servers more time until the target. */
START_TEST(the_measured_distance_of_the_caller_sets_the_time_of_the_answer)
{
    bbl_usec due = 120 * MS - round_trips[_i];
    const forward_sim_call *c;
    fixture f;
    bbl_usec at;

    init_fixture(&f);
    f.shard[2][0]->mode = SERVER_SILENT;
    f.shard[2][1]->mode = SERVER_SILENT;
    forward_sim_set_round_trip(f.sim, round_trips[_i]);
    at = forward_sim_get_time(f.sim);
    c = send_and_wait(&f, "/g/1");
    ck_assert_uint_eq(c->missing, 1);
    ck_assert_uint_le(c->answered_at - at, due);
    ck_assert_uint_ge(c->answered_at - at, due - 8 * MS);
    free_fixture(&f);
}
END_TEST

START_TEST(fewer_shards_than_required_fail)
{
    fixture f;
    const forward_sim_call *c;

    init_fixture(&f);
    for (int s = 0; s < 2; s++) {
        f.shard[s][0]->mode = SERVER_SILENT;
        f.shard[s][1]->mode = SERVER_SILENT;
    }
    c = send_and_wait(&f, "/g/1");
    ck_assert_uint_eq(c->status, 504);
    c = send_and_wait(&f, "/a/1");
    ck_assert_uint_eq(c->status, 200);
    ck_assert_uint_eq(c->missing, 2);
    free_fixture(&f);
}
END_TEST

START_TEST(requests_that_cannot_succeed_are_refused_at_once)
{
    fixture f;
    unsigned n;

    init_fixture(&f);
    for (int s = 0; s < 2; s++) {
        f.shard[s][0]->leaving = true;
        f.shard[s][1]->cold_ms = 3000;
    }
    forward_sim_update_list(f.sim, NULL);
    n = forward_sim_send_request(f.sim, "/g/1", 800);
    ck_assert(forward_sim_get_call(f.sim, n)->answered);
    ck_assert_uint_eq(forward_sim_get_call(f.sim, n)->status, 503);
    ck_assert_uint_gt(forward_sim_get_call(f.sim, n)->retry_after_ms, 0);
    ck_assert_uint_eq(forward_sim_get_call(f.sim, n)->runs, 0);
    free_fixture(&f);
}
END_TEST

/* All failure modes in which a server does not stay silent. */
static const server_mode failure_modes[] = {
    SERVER_SHEDS,    SERVER_FAILS,    SERVER_BREAKS, SERVER_REFUSES,
    SERVER_REPLACED, SERVER_UNSIGNED, SERVER_DENIES, SERVER_UNSENT,
};

START_TEST(idempotent_requests_are_retried_at_another_server)
{
    fixture f;
    const forward_sim_call *c;

    init_fixture(&f);
    f.shard[0][0]->mode = failure_modes[_i];
    f.one[0]->mode = failure_modes[_i];
    for (int i = 0; i < 5; i++) {
        c = send_and_wait(&f, "/g/1");
        ck_assert_uint_eq(c->status, 200);
        ck_assert_uint_eq(c->parts, 4);
        ck_assert_uint_eq(send_and_wait(&f, "/one/1")->status, 200);
    }
    free_fixture(&f);
}
END_TEST

START_TEST(non_idempotent_requests_run_once)
{
    fixture f;
    const forward_sim_call *c;

    init_fixture(&f);
    f.one[0]->mode = failure_modes[_i];
    f.one[1]->mode = failure_modes[_i];
    c = send_and_wait(&f, "/once/1");
    ck_assert_uint_le(c->runs, 1);
    ck_assert(c->runs == 0 || c->status != 503);
    if (failure_modes[_i] == SERVER_FAILS) {
        ck_assert_uint_eq(c->status, 500);
    }
    f.one[1]->mode = SERVER_OK;
    for (int i = 0; i < 3; i++) {
        c = send_and_wait(&f, "/once/1");
        ck_assert_uint_le(c->runs, 1);
    }
    free_fixture(&f);
}
END_TEST

/* A host short of memory ends attempts unsent; no server is at fault. */
START_TEST(attempts_ended_for_memory_do_not_count_against_a_server)
{
    fixture f;

    init_fixture(&f);
    f.one[0]->mode = SERVER_UNSENT;
    f.one[1]->mode = SERVER_UNSENT;
    ck_assert_uint_eq(send_and_wait(&f, "/once/1")->status, 503);
    for (int i = 0; i < 2; i++) {
        ck_assert_int_eq(bbl_backend_get_state(f.one[i]->backend,
                                               forward_sim_get_time(f.sim)),
                         BBL_BACKEND_USABLE);
        f.one[i]->mode = SERVER_OK;
    }
    ck_assert_uint_eq(send_and_wait(&f, "/once/1")->status, 200);
    free_fixture(&f);
}
END_TEST

/* Responses of servers that have run the request but do not say so soundly. */
static const server_mode unsound_modes[] = {SERVER_UNSIGNED, SERVER_DENIES};

/*
 * A success without a signature and a refusal that does not say "not run" must
 * not reach the caller: the request may have run, and nobody vouches for it.
 */
START_TEST(unsound_responses_are_not_relayed)
{
    static const char *const paths[] = {"/once/1", "/one/1"};
    fixture f;
    const forward_sim_call *c;

    init_fixture(&f);
    f.one[0]->mode = unsound_modes[_i / 2];
    f.one[1]->mode = unsound_modes[_i / 2];
    c = send_and_wait(&f, paths[_i % 2]);
    ck_assert_uint_ge(c->runs, 1);
    ck_assert_uint_eq(c->status, 502);
    free_fixture(&f);
}
END_TEST

START_TEST(refused_requests_are_retried_at_another_server)
{
    fixture f;

    init_fixture(&f);
    f.one[0]->mode = SERVER_SHEDS;
    for (int i = 0; i < 5; i++) {
        ck_assert_uint_eq(send_and_wait(&f, "/once/1")->status, 200);
    }
    free_fixture(&f);
}
END_TEST

START_TEST(non_idempotent_requests_are_not_hedged)
{
    fixture f;
    const forward_sim_call *c;

    init_fixture(&f);
    f.one[0]->mode = SERVER_SILENT;
    f.one[1]->mode = SERVER_SILENT;
    c = send_and_wait(&f, "/once/1");
    ck_assert_uint_eq(c->status, 504);
    ck_assert_uint_eq(c->runs, 1);
    free_fixture(&f);
}
END_TEST

START_TEST(attempts_are_abandoned_after_their_caller_left)
{
    fixture f;
    unsigned n;

    init_fixture(&f);
    f.one[0]->work = 900 * MS;
    f.one[1]->work = 900 * MS;
    n = forward_sim_send_request(f.sim, "/one/1", 1000);
    forward_sim_run(f.sim, 20 * MS);
    ck_assert_uint_gt(forward_sim_count_in_flight(f.sim), 0);
    forward_sim_cancel_request(f.sim, n);
    forward_sim_run(f.sim, 300 * MS);
    ck_assert_uint_eq(forward_sim_count_in_flight(f.sim), 0);
    free_fixture(&f);
}
END_TEST

START_TEST(an_evacuated_data_centre_gets_no_requests)
{
    fixture f;
    unsigned before;

    init_fixture(&f);
    forward_sim_update_list(f.sim, "z2");
    before = f.one[1]->arrivals;
    for (int i = 0; i < 20; i++) {
        ck_assert_uint_eq(send_and_wait(&f, "/one/1")->status, 200);
        ck_assert_uint_eq(send_and_wait(&f, "/g/1")->status, 200);
    }
    ck_assert_uint_eq(f.one[1]->arrivals, before);
    /*
     * After the restore its servers are unsure until a newer list confirms
     * them.
     */
    forward_sim_update_list(f.sim, NULL);
    forward_sim_send_request(f.sim, "/one/1", 500);
    forward_sim_run(f.sim, 100 * MS);
    ck_assert_uint_eq(f.one[1]->arrivals, before);
    free_fixture(&f);
}
END_TEST

START_TEST(a_silent_server_is_unused_until_it_is_reconnected)
{
    fixture f;
    unsigned before;

    init_fixture(&f);
    f.shard[0][0]->mode = SERVER_SILENT;
    for (int i = 0; i < 40; i++) {
        forward_sim_send_request(f.sim, "/g/1", 800);
        forward_sim_run(f.sim, 50 * MS);
    }
    before = f.shard[0][0]->arrivals;
    for (int i = 0; i < 40; i++) {
        forward_sim_send_request(f.sim, "/g/1", 800);
        forward_sim_run(f.sim, 50 * MS);
    }
    ck_assert_uint_eq(f.shard[0][0]->arrivals, before);
    free_fixture(&f);
}
END_TEST

START_TEST(a_slow_server_that_accepts_connections_stays_in_use)
{
    fixture f;
    unsigned before;

    init_fixture(&f);
    /* Both take so long that they are marked as silent. */
    f.one[0]->work = 700 * MS;
    f.one[1]->work = 700 * MS;
    forward_sim_send_request(f.sim, "/once/1", 1000);
    forward_sim_send_request(f.sim, "/once/1", 1000);
    forward_sim_run(f.sim, 500 * MS);
    forward_sim_record_connect(f.sim, f.one[0], true);
    forward_sim_record_connect(f.sim, f.one[1], true);
    before = f.one[0]->arrivals + f.one[1]->arrivals;
    ck_assert_uint_eq(send_and_wait(&f, "/once/1")->status, 200);
    ck_assert_uint_eq(f.one[0]->arrivals + f.one[1]->arrivals, before + 1);
    free_fixture(&f);
}
END_TEST

START_TEST(a_reconnected_server_waits_for_a_newer_list)
{
    fixture f;
    unsigned before;

    init_fixture(&f);
    forward_sim_record_connect(f.sim, f.one[0], false);
    forward_sim_record_connect(f.sim, f.one[0], true);
    before = f.one[0]->arrivals;
    for (int i = 0; i < 5; i++) {
        forward_sim_send_request(f.sim, "/one/1", 500);
        forward_sim_run(f.sim, 100 * MS);
    }
    ck_assert_uint_eq(f.one[0]->arrivals, before);
    /*
     * A list that was read more than the list lag later confirms the server.
     */
    forward_sim_run(f.sim, 900 * MS);
    forward_sim_update_list(f.sim, NULL);
    for (int i = 0; i < 5; i++) {
        forward_sim_send_request(f.sim, "/one/1", 500);
        forward_sim_run(f.sim, 100 * MS);
    }
    ck_assert_uint_gt(f.one[0]->arrivals, before);
    free_fixture(&f);
}
END_TEST

/* Version 2 of the routing: /g/ over the shards t1 to t4. */
#define NEXT_SHARDS "[\"t1\",\"t2\",\"t3\",\"t4\"]"
#define NEXT_DOCUMENT(version)                                                \
    "{\"version\":" version                                                   \
    ",\"routes\":[{\"name\":\"g\",\"hostname\":\"a.example\","                \
    "\"path_prefix\":\"/g/\",\"route_type\":\"safe\",\"timeout_ms\":800,"     \
    "\"target_latency_ms\":120,\"gather\":" NEXT_SHARDS                       \
    ",\"max_attempts\":2,\"top_k\":5,\"min_coverage\":0.75}],"                \
    "\"services\":[{\"name\":\"t1\"},{\"name\":\"t2\"},{\"name\":\"t3\"},"    \
    "{\"name\":\"t4\"}]}"
static const char next_document[] = NEXT_DOCUMENT("2");

START_TEST(a_new_routing_is_activated_once_its_shards_are_warm)
{
    fixture f;
    forward_sim_server *next[4];
    char id[16];
    char service[16];

    init_fixture(&f);
    for (int s = 0; s < 4; s++) {
        snprintf(id, sizeof(id), "j%d", s + 1);
        snprintf(service, sizeof(service), "t%d", s + 1);
        next[s] = forward_sim_add_server(f.sim, id, service, "z1");
        next[s]->cold_ms = 600;
    }
    forward_sim_install_routing(f.sim, next_document);
    for (int i = 0; i < 10; i++) {
        unsigned n = forward_sim_send_request(f.sim, "/g/1", 800);

        forward_sim_run(f.sim, 50 * MS);
        ck_assert_uint_eq(forward_sim_get_call(f.sim, n)->parts, 4);
    }
    ck_assert_uint_eq(forward_sim_get_routing_version(f.sim), 1);
    for (int s = 0; s < 4; s++) {
        next[s]->cold_ms = 0;
    }
    forward_sim_run(f.sim, 200 * MS);
    ck_assert_uint_eq(forward_sim_get_routing_version(f.sim), 2);
    ck_assert_uint_eq(send_and_wait(&f, "/g/1")->parts, 4);
    ck_assert_uint_gt(next[0]->runs, 0);
    free_fixture(&f);
}
END_TEST

START_TEST(a_new_routing_waits_no_longer_than_its_maximum)
{
    fixture f;

    init_fixture(&f);
    /* Its shards have no server. */
    forward_sim_install_routing(f.sim, next_document);
    forward_sim_run(f.sim, 1400 * MS);
    ck_assert_uint_eq(forward_sim_get_routing_version(f.sim), 1);
    forward_sim_run(f.sim, 300 * MS);
    ck_assert_uint_eq(forward_sim_get_routing_version(f.sim), 2);
    ck_assert_uint_eq(send_and_wait(&f, "/g/1")->status, 503);
    free_fixture(&f);
}
END_TEST

/* Versions that follow each other while none has a usable server. */
START_TEST(versions_that_wait_in_turn_are_each_in_use_in_time)
{
    static const char *const documents[] = {
        NEXT_DOCUMENT("2"), NEXT_DOCUMENT("3"), NEXT_DOCUMENT("4"),
        NEXT_DOCUMENT("5"), NEXT_DOCUMENT("6"), NEXT_DOCUMENT("7"),
    };
    size_t count = sizeof(documents) / sizeof(documents[0]);
    fixture f;

    init_fixture(&f);
    for (size_t i = 0; i < count; i++) {
        forward_sim_install_routing(f.sim, documents[i]);
        forward_sim_run(f.sim, 400 * MS);
        if (i >= 4) {
            /* The version that came 1.6 s ago is in use. */
            ck_assert_uint_ge(forward_sim_get_routing_version(f.sim), i - 2);
        }
    }
    forward_sim_run(f.sim, 1300 * MS);
    ck_assert_uint_eq(forward_sim_get_routing_version(f.sim), count + 1);
    free_fixture(&f);
}
END_TEST

/* No process goes back to an older routing, whatever it is handed. */
START_TEST(an_older_routing_never_replaces_a_newer_one)
{
    fixture f;

    init_fixture(&f);
    forward_sim_install_routing(f.sim, NEXT_DOCUMENT("9"));
    ck_assert_uint_eq(forward_sim_get_routing_version(f.sim), 1);
    forward_sim_install_routing(f.sim, NEXT_DOCUMENT("5")); /* 9 waits */
    forward_sim_run(f.sim, 1700 * MS);
    ck_assert_uint_eq(forward_sim_get_routing_version(f.sim), 9);
    forward_sim_install_routing(f.sim, document); /* 9 is in use */
    forward_sim_run(f.sim, 1700 * MS);
    ck_assert_uint_eq(forward_sim_get_routing_version(f.sim), 9);
    ck_assert_uint_eq(forward_sim_get_routings_ignored(f.sim), 2);
    free_fixture(&f);
}
END_TEST

/* A host must not tell the leader that it uses a routing that still waits. */
START_TEST(a_routing_that_waits_does_not_count_as_applied)
{
    fixture f;

    init_fixture(&f);
    ck_assert_uint_eq(forward_sim_get_unapplied(f.sim), 0);
    forward_sim_install_routing(f.sim, next_document);
    forward_sim_run(f.sim, 1000 * MS);
    ck_assert_uint_eq(forward_sim_get_unapplied(f.sim), 1);
    forward_sim_run(f.sim, 700 * MS);
    ck_assert_uint_eq(forward_sim_get_unapplied(f.sim), 0);
    free_fixture(&f);
}
END_TEST

START_TEST(extra_attempts_stay_within_the_budget)
{
    fixture f;
    unsigned firsts = 400;
    unsigned arrivals = 0;

    init_fixture(&f);
    for (int s = 0; s < 4; s++) {
        for (int k = 0; k < 2; k++) {
            f.shard[s][k]->mode = SERVER_FAILS;
            f.shard[s][k]->arrivals = 0;
        }
    }
    for (unsigned i = 0; i < firsts; i++) {
        forward_sim_send_request(f.sim, "/g/1", 800);
        forward_sim_run(f.sim, 20 * MS);
    }
    arrivals = f.shard[0][0]->arrivals + f.shard[0][1]->arrivals;
    /*
     * The limit is 0.2 of the first requests plus a seventh of 50 per window
     * of 10 s.
     */
    ck_assert_uint_le(arrivals, firsts + firsts / 5 + 2 * 8);
    free_fixture(&f);
}
END_TEST

START_TEST(without_capacity_a_request_is_refused_within_its_target)
{
    fixture f;
    unsigned n;
    bbl_usec at;

    init_fixture(&f);
    f.one[0]->connections = 1;
    f.one[1]->connections = 1;
    f.one[0]->work = 500 * MS;
    f.one[1]->work = 500 * MS;
    forward_sim_send_request(f.sim, "/once/1", 1000);
    forward_sim_send_request(f.sim, "/once/1", 1000);
    at = forward_sim_get_time(f.sim);
    n = forward_sim_send_request(f.sim, "/once/1", 1000);
    forward_sim_run(f.sim, 60 * MS);
    ck_assert_uint_eq(forward_sim_get_call(f.sim, n)->status, 503);
    ck_assert_uint_le(forward_sim_get_call(f.sim, n)->answered_at - at,
                      50 * MS);
    free_fixture(&f);
}
END_TEST

START_TEST(a_route_timeout_ends_a_request)
{
    fixture f;
    unsigned n;
    bbl_usec at;

    init_fixture(&f);
    f.one[0]->mode = SERVER_SILENT;
    f.one[1]->mode = SERVER_SILENT;
    at = forward_sim_get_time(f.sim);
    n = forward_sim_send_request(f.sim, "/one/1", 60000);
    forward_sim_run(f.sim, 1100 * MS);
    ck_assert_uint_eq(forward_sim_get_call(f.sim, n)->status, 504);
    ck_assert_uint_le(forward_sim_get_call(f.sim, n)->answered_at - at,
                      1010 * MS);
    ck_assert_uint_ge(forward_sim_get_call(f.sim, n)->answered_at - at,
                      990 * MS);
    free_fixture(&f);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("forwarder");
    TCase *tc = tcase_create("forwarder");

    tcase_add_test(tc, all_shards_answer);
    tcase_add_test(tc, without_a_routing_requests_get_503);
    tcase_add_test(tc, a_paused_server_is_hedged_within_the_target);
    tcase_add_test(tc, unsent_requests_are_refused_as_not_run);
    tcase_add_test(tc, a_request_sent_in_part_is_not_refused_as_not_run);
    tcase_add_test(tc, unknown_routes_are_denied_only_by_a_confirmed_routing);
    tcase_add_test(tc, open_requests_are_answered_when_the_host_stops);
    tcase_add_test(tc, requests_that_come_too_late_in_a_drain_do_not_run);
    tcase_add_test(tc,
                   a_drain_covers_a_request_that_may_not_run_again_for_longer);
    tcase_add_test(tc, expired_requests_are_refused_at_once);
    tcase_add_test(tc, paused_servers_are_hedged_in_time_behind_a_narrow_link);
    tcase_add_test(tc, a_missing_shard_is_reported_before_the_target);
    tcase_add_loop_test(
        tc, the_measured_distance_of_the_caller_sets_the_time_of_the_answer, 0,
        ARRAY_SIZE(round_trips));
    tcase_add_test(tc, fewer_shards_than_required_fail);
    tcase_add_test(tc, requests_that_cannot_succeed_are_refused_at_once);
    tcase_add_loop_test(tc, idempotent_requests_are_retried_at_another_server,
                        0, ARRAY_SIZE(failure_modes));
    tcase_add_test(tc,
                   attempts_ended_for_memory_do_not_count_against_a_server);
    tcase_add_loop_test(tc, non_idempotent_requests_run_once, 0,
                        ARRAY_SIZE(failure_modes));
    tcase_add_loop_test(tc, unsound_responses_are_not_relayed, 0,
                        2 * ARRAY_SIZE(unsound_modes));
    tcase_add_test(tc, refused_requests_are_retried_at_another_server);
    tcase_add_test(tc, non_idempotent_requests_are_not_hedged);
    tcase_add_test(tc, attempts_are_abandoned_after_their_caller_left);
    tcase_add_test(tc, an_evacuated_data_centre_gets_no_requests);
    tcase_add_test(tc, a_silent_server_is_unused_until_it_is_reconnected);
    tcase_add_test(tc, a_slow_server_that_accepts_connections_stays_in_use);
    tcase_add_test(tc, a_reconnected_server_waits_for_a_newer_list);
    tcase_add_test(tc, a_new_routing_is_activated_once_its_shards_are_warm);
    tcase_add_test(tc, a_new_routing_waits_no_longer_than_its_maximum);
    tcase_add_test(tc, versions_that_wait_in_turn_are_each_in_use_in_time);
    tcase_add_test(tc, an_older_routing_never_replaces_a_newer_one);
    tcase_add_test(tc, a_routing_that_waits_does_not_count_as_applied);
    tcase_add_test(tc, extra_attempts_stay_within_the_budget);
    tcase_add_test(tc,
                   without_capacity_a_request_is_refused_within_its_target);
    tcase_add_test(tc, a_route_timeout_ends_a_request);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
