/*
 * An entry host of a large fleet under load pressure: it asks a grantor, and
 * adds no load.
 */
#include <check.h>
#include <stdio.h>
#include <string.h>

#include "admission/load_book.h"
#include "support/forward_sim.h"
#include "support/run.h"

#define MS BBL_USEC_PER_MS
#define SEC BBL_USEC_PER_SEC
#define SHARDS 90
#define GRANTORS 3

typedef struct {
    forward_sim *sim;
    forward_sim_server *servers[SHARDS][2];
    bbl_load_book book;
    bool silent;       /* the grantors do not answer */
    uint32_t asked;    /* the grantor asked last; 0 if none was */
    unsigned requests; /* messages received, by kind */
    unsigned reports;
    bblx_admission_load load;
    bblx_admission_report report; /* the last one */
} fixture;

static void
pass_replies(fixture *x)
{
    bbl_load_reply r;

    while (bbl_load_book_take_reply(&r, &x->book)) {
        forward_sim_receive_admission(x->sim, x->asked, &r.reply);
    }
}

static void
on_send(void *ctx, forward_sim *sim, uint32_t grantor, const bblx_message *m)
{
    fixture *x = ctx;
    bbl_usec now = forward_sim_get_time(sim);

    x->asked = grantor;
    if (m->kind == BBLX_ADMISSION_REPORT) {
        x->reports++;
        x->report = m->bblx_message_u.admission_report;
        bbl_load_book_report(&x->book, now, 1, &x->report);
        return;
    }
    x->requests++;
    x->load =
        m->bblx_message_u.admission_request.item.bblx_admission_item_u.load;
    if (!x->silent) {
        bbl_load_book_request(&x->book, now, 1,
                              &m->bblx_message_u.admission_request);
    }
}

/* Runs for some time; replies arrive within a millisecond. */
static void
run(fixture *x, bbl_usec time)
{
    for (bbl_usec t = 0; t < time; t += MS) {
        forward_sim_run(x->sim, MS);
        bbl_load_book_tick(&x->book, forward_sim_get_time(x->sim));
        pass_replies(x);
    }
}

static void
install_routing(fixture *x)
{
    bbl_buf b = BBL_BUF_INIT;

    bbl_buf_append_cstr(&b,
                        "{\"version\":1,\"routes\":[{\"name\":\"g\","
                        "\"hostname\":\"a.example\",\"path_prefix\":\"/g/\","
                        "\"route_type\":\"safe\",\"timeout_ms\":1200,"
                        "\"target_latency_ms\":300,\"priority\":2,"
                        "\"max_attempts\":3,\"top_k\":5,"
                        "\"min_coverage\":0.95,\"gather\":[");
    for (unsigned i = 0; i < SHARDS; i++) {
        bbl_buf_printf(&b, "%s\"s%u\"", i ? "," : "", i);
    }
    bbl_buf_append_cstr(&b, "]}],\"services\":[");
    for (unsigned i = 0; i < SHARDS; i++) {
        bbl_buf_printf(&b, "%s{\"name\":\"s%u\",\"max_connections\":26}",
                       i ? "," : "", i);
    }
    bbl_buf_append_cstr(&b, "]}");
    bbl_buf_append(&b, "", 1);
    forward_sim_install_routing(x->sim, b.ptr);
    bbl_buf_free(&b);
}

static void
init_with(fixture *x, forward_sim *sim)
{
    static const bbl_listed_grantor grantors[GRANTORS] = {
        {11, false}, {12, true}, {13, false}};
    forward_sim_control control = {.send_admission = on_send, .ctx = x};

    memset(x, 0, sizeof(*x));
    x->sim = sim;
    bbl_load_book_init(&x->book, 1);
    for (unsigned i = 0; i < SHARDS; i++) {
        for (unsigned k = 0; k < 2; k++) {
            char id[16];
            char service[16];

            snprintf(id, sizeof(id), "s%u-%u", i, k);
            snprintf(service, sizeof(service), "s%u", i);
            x->servers[i][k] =
                forward_sim_add_server(x->sim, id, service, "z1");
            x->servers[i][k]->work = 20 * MS;
        }
    }
    install_routing(x);
    forward_sim_set_control(x->sim, &control);
    forward_sim_set_grantors(x->sim, grantors, GRANTORS);
}

static void
init(fixture *x, unsigned hosts)
{
    init_with(x, forward_sim_new(hosts));
}

static void
end(fixture *x)
{
    bbl_load_book_free(&x->book);
    forward_sim_free(x->sim);
}

static void
set_mode(fixture *x, unsigned from, unsigned until, server_mode mode)
{
    for (unsigned i = from; i < until; i++) {
        x->servers[i][0]->mode = mode;
        x->servers[i][1]->mode = mode;
    }
}

static const forward_sim_call *
send_query(fixture *x, bbl_usec wait)
{
    unsigned call = forward_sim_send_request(x->sim, "/g/1", 0);

    pass_replies(x);
    run(x, wait);
    return forward_sim_get_call(x->sim, call);
}

static void
set_work(fixture *x, unsigned from, unsigned until, bbl_usec work)
{
    for (unsigned i = from; i < until; i++) {
        x->servers[i][0]->work = work;
        x->servers[i][1]->work = work;
    }
}

/*
 * Servers of some shards have queues, so that they answer late, then those of
 * others refuse a query.
 */
static void
refuse_parts(fixture *x, unsigned refused, unsigned late)
{
    for (unsigned i = 0; i < 5; i++) {
        ck_assert_uint_eq(send_query(x, 100 * MS)->status, 200);
    }
    ck_assert_uint_eq(x->requests, 0); /* in calm operation it does not ask */
    set_work(x, SHARDS - late, SHARDS, 100 * MS);
    send_query(x, 200 * MS);
    set_mode(x, 0, refused, SERVER_SHEDS);
    send_query(x, 1300 * MS);
    set_mode(x, 0, refused, SERVER_OK);
    set_work(x, SHARDS - late, SHARDS, 20 * MS);
}

/* Brings the host under pressure. */
static void
begin_pressure(fixture *x, unsigned shards)
{
    refuse_parts(x, shards, 2 * shards);
}

START_TEST(a_query_asks_under_pressure_and_its_end_is_reported)
{
    fixture x;

    init(&x, 85);
    begin_pressure(&x, 4);
    ck_assert(forward_sim_is_under_pressure(x.sim));
    ck_assert_uint_eq(send_query(&x, 200 * MS)->status, 200);
    ck_assert_uint_eq(x.requests, 1);
    ck_assert_uint_eq(x.load.priority, 2);
    /* Some of the time is left for the way to the caller. */
    ck_assert_uint_le(x.load.target_us, 300 * MS);
    ck_assert_uint_gt(x.load.target_us, 250 * MS);
    ck_assert_uint_le(x.load.deadline_us, 1200 * MS);
    ck_assert_uint_gt(x.load.deadline_us, 1100 * MS);
    ck_assert_uint_eq(x.load.wait_us, 60 * MS);
    ck_assert_uint_ge(x.load.work_us, SHARDS * 20 * MS);
    ck_assert_uint_eq(x.reports, 1);
    ck_assert_uint_eq(x.report.resource, x.load.resource);
    ck_assert_uint_ge(x.report.parts_sent, SHARDS);
    ck_assert_uint_eq(x.report.parts_refused, 0);
    ck_assert_uint_ge(x.report.time_us, 20 * MS);
    run(&x, 10 * SEC); /* it ends by itself */
    ck_assert(!forward_sim_is_under_pressure(x.sim));
    send_query(&x, 200 * MS);
    ck_assert_uint_eq(x.requests, 1);
    end(&x);
}
END_TEST

/* In small fleets load_limit.h decides, as before. */
START_TEST(hosts_of_small_fleets_do_not_ask)
{
    fixture x;

    init(&x, 16);
    begin_pressure(&x, 4);
    ck_assert(!forward_sim_is_under_pressure(x.sim));
    ck_assert_uint_eq(send_query(&x, 200 * MS)->status, 200);
    ck_assert_uint_eq(x.requests, 0);
    end(&x);
}
END_TEST

/* Fleets whose settings do not ask for it are served as without it. */
START_TEST(without_the_setting_no_host_asks_or_saves_work)
{
    fixture x;
    const forward_sim_call *c;

    init_with(&x, forward_sim_new_without_load_admission(85));
    begin_pressure(&x, 10);
    ck_assert(!forward_sim_is_under_pressure(x.sim));
    set_mode(&x, 20, 24, SERVER_SILENT);
    c = send_query(&x, 400 * MS);
    ck_assert_uint_eq(c->status, 200);
    ck_assert_uint_ge(c->answered_at - c->sent_at, 250 * MS);
    ck_assert_uint_eq(x.requests, 0);
    end(&x);
}
END_TEST

/* Guards against callers that are held, and against parts of refused queries
 * at servers. */
START_TEST(refused_queries_are_answered_within_a_quarter_of_their_target)
{
    fixture x;
    unsigned calls[60];
    unsigned refused = 0;

    init(&x, 85);
    begin_pressure(&x, 4);
    for (unsigned i = 0; i < 60; i++) {
        calls[i] = forward_sim_send_request(x.sim, "/g/1", 0);
        pass_replies(&x);
        run(&x, MS);
    }
    run(&x, 1500 * MS);
    for (unsigned i = 0; i < 60; i++) {
        const forward_sim_call *c = forward_sim_get_call(x.sim, calls[i]);

        ck_assert(c->answered);
        if (c->status == 503) {
            refused++;
            ck_assert_int_eq(c->reason, BBL_FORWARD_OVERLOAD);
            ck_assert_uint_le(c->answered_at - c->sent_at, 75 * MS);
            ck_assert_uint_ge(c->retry_after_ms, 100);
            ck_assert_uint_eq(c->runs, 0);
        }
    }
    ck_assert_uint_ge(refused, 20);
    ck_assert_uint_le(refused, 55);
    end(&x);
}
END_TEST

/* The loss of all grantors must not refuse what the servers could serve. */
START_TEST(without_an_answer_queries_run_soon)
{
    fixture x;
    const forward_sim_call *c;

    init(&x, 85);
    begin_pressure(&x, 4);
    x.silent = true;
    for (unsigned i = 0; i < 2; i++) {
        c = send_query(&x, 300 * MS);
        ck_assert_uint_eq(c->status, 200);
        ck_assert_uint_le(c->answered_at - c->sent_at, 60 * MS + 60 * MS);
    }
    /* Silent grantors are not asked again for a second. */
    ck_assert_uint_le(x.requests, GRANTORS);
    end(&x);
}
END_TEST

/*
 * Servers that refuse parts though they have room: without retries, which
 * reach other servers, such queries fail.
 */
START_TEST(refusals_without_queues_leave_retries_on)
{
    fixture x;
    const forward_sim_call *c;

    init(&x, 85);
    refuse_parts(&x, 10, 0);
    ck_assert(!forward_sim_is_under_pressure(x.sim));
    for (unsigned i = 20; i < 30; i++) {
        x.servers[i][0]->mode = SERVER_SHEDS;
    }
    c = send_query(&x, 200 * MS);
    ck_assert_uint_eq(c->status, 200);
    ck_assert_uint_eq(c->parts, SHARDS);
    ck_assert_uint_eq(x.requests, 0);
    end(&x);
}
END_TEST

/* The missing parts of a query that is decided would delay those of others. */
START_TEST(decided_queries_leave_no_work_at_servers)
{
    fixture x;
    const forward_sim_call *c;

    init(&x, 85);
    begin_pressure(&x, 10);              /* the load is limited then */
    set_mode(&x, 10, 14, SERVER_SILENT); /* it has enough parts without */
    c = send_query(&x, 200 * MS);
    ck_assert_uint_eq(c->status, 200);
    ck_assert_uint_eq(c->parts, SHARDS - 4);
    ck_assert_uint_lt(c->answered_at - c->sent_at, 100 * MS);
    ck_assert_uint_eq(forward_sim_count_in_flight(x.sim), 0);
    set_mode(&x, 20, 25, SERVER_FAILS); /* it cannot have enough parts */
    c = send_query(&x, 200 * MS);
    ck_assert_uint_eq(c->status, 502);
    ck_assert_uint_eq(forward_sim_count_in_flight(x.sim), 0);
    end(&x);
}
END_TEST

/* Servers that refuse at the usual load are no reason to answer early. */
START_TEST(without_a_limit_an_answer_waits_for_its_parts)
{
    fixture x;
    const forward_sim_call *c;

    init(&x, 85);
    begin_pressure(&x, 4);
    set_mode(&x, 10, 14, SERVER_SILENT);
    c = send_query(&x, 400 * MS);
    ck_assert_uint_eq(c->status, 200);
    ck_assert_uint_ge(c->answered_at - c->sent_at, 250 * MS);
    ck_assert_uint_ne(forward_sim_count_in_flight(x.sim), 0);
    end(&x);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("load_pressure");
    TCase *tc = tcase_create("load_pressure");

    tcase_add_test(tc, a_query_asks_under_pressure_and_its_end_is_reported);
    tcase_add_test(tc, hosts_of_small_fleets_do_not_ask);
    tcase_add_test(
        tc, refused_queries_are_answered_within_a_quarter_of_their_target);
    tcase_add_test(tc, without_an_answer_queries_run_soon);
    tcase_add_test(tc, without_the_setting_no_host_asks_or_saves_work);
    tcase_add_test(tc, refusals_without_queues_leave_retries_on);
    tcase_add_test(tc, decided_queries_leave_no_work_at_servers);
    tcase_add_test(tc, without_a_limit_an_answer_waits_for_its_parts);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
