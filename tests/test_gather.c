/*
 * Tests the gather core with a constructed view and constructed results. It
 * is linked with the core that has deliberate faults, so that a test can show
 * that it fails with a fault.
 */
#include <string.h>

#include "control/fault.h"
#include "policy/gather.h"
#include "support/run.h"

unsigned bbl_test_faults;

#define OWNER 2u
#define START 1000000u

/* The calls of the core to its port. */
typedef struct {
    bblx_query_id query;
    uint64_t version;
    uint32_t sub;
    unsigned sends;
    unsigned cancels;
    unsigned answers;
    bbl_answer_kind kind;
    uint64_t answer_version;
    char body[32];
} port_calls;

static void
on_send(void *ctx, uint32_t owner, const bblx_sub_request *r)
{
    port_calls *s = ctx;

    (void)owner;
    s->sends++;
    s->query = r->query;
    s->version = r->index_version;
    s->sub = r->subs.subs_val[0].sub;
}

static void
on_cancel(void *ctx, uint32_t owner, const bblx_sub_cancel *c)
{
    (void)owner;
    (void)c;
    ((port_calls *)ctx)->cancels++;
}

static void
on_claim(void *ctx, uint64_t seq, const bbl_name *customer, bbl_str id)
{
    (void)ctx;
    (void)seq;
    (void)customer;
    (void)id;
}

static void
on_answer(void *ctx, void *token, const bbl_answer *a)
{
    port_calls *s = ctx;

    (void)token;
    s->answers++;
    s->kind = a->kind;
    s->answer_version = a->version;
    if (a->shard_count > 0 && a->shards != NULL) {
        snprintf(s->body, sizeof(s->body), "%.*s", (int)a->shards[0].body.size,
                 a->shards[0].body.ptr);
    }
}

static bbl_lists *
create_lists(void)
{
    static const char plans[] = "[plan p]\ncustomers = u\n";
    static const char allowances[] =
        "[allowance p]\nshare = 50%\nconcurrency = 1\n";
    bbl_lists *lists;

    ck_assert_int_eq(
        bbl_lists_parse(&lists, (bbl_str){plans, strlen(plans)},
                        (bbl_str){allowances, strlen(allowances)}),
        0);
    return lists;
}

/* Creates a view with one searcher, which holds the only shard. */
static bbl_view *
create_view(uint64_t revision, uint64_t version, const bbl_lists *lists)
{
    bbl_view *view = bbl_view_new(revision);
    u_int shard = 0;
    bblx_index index = {version, 1, 0, 1, {1, &shard}};
    bblx_assign a;
    bblx_report r;
    bblx_member_row m;

    memset(&a, 0, sizeof(a));
    memset(&r, 0, sizeof(r));
    memset(&m, 0, sizeof(m));
    a.place.searcher = 1;
    a.place.zone = (bblx_name){3, "dc1"};
    a.place.service = (bblx_name){1, "s"};
    a.place.slots = 2;
    a.owner = OWNER;
    a.incarnation = 7;
    a.epoch = 1;
    r.searcher = 1;
    r.epoch = 1;
    r.boot = 5;
    r.phase = BBLX_WARM;
    r.limit = 2;
    r.indexes.indexes_len = 1;
    r.indexes.indexes_val = &index;
    m.host = OWNER;
    m.incarnation = 7;
    m.live = TRUE;
    bbl_view_set_lists(view, lists);
    bbl_view_add_searcher(view, &a, &r);
    bbl_view_add_member(view, &m);
    bbl_view_finish(view);
    return view;
}

static void
submit(bbl_gather *g, bbl_usec now)
{
    bbl_query q;

    memset(&q, 0, sizeof(q));
    q.request_id = (bbl_str){"r", 1};
    bbl_name_set(&q.customer, "u", 1);
    q.urgency = BBL_URGENCY_NORMAL;
    q.deadline = now + 50000;
    q.repeatable = true;
    q.all_shards = true;
    q.coverage_ppm = UINT32_MAX;
    q.text = (bbl_str){"t", 1};
    bbl_gather_submit(g, now, now + 1000000, 0, &q, NULL);
}

static void
send_result(bbl_gather *g, bbl_usec now, const bblx_query_id *query,
            uint32_t sub, bblx_sub_status status, uint64_t version)
{
    static char body[] = "old";
    bblx_sub_result r;
    bblx_sub_results all;

    memset(&r, 0, sizeof(r));
    memset(&all, 0, sizeof(all));
    r.seq = query->seq;
    r.sub = sub;
    r.searcher = 1;
    r.status = status;
    r.index_version = version;
    r.body = (bblx_text){3, body};
    all.incarnation = query->incarnation;
    all.results.results_len = 1;
    all.results.results_val = &r;
    bbl_gather_receive_results(g, now, OWNER, &all);
}

static bbl_gather *
create_gather(port_calls *s)
{
    bbl_gather_options o = BBL_GATHER_OPTIONS_INIT;
    bbl_gather *g;

    o.host = 1;
    o.incarnation = 9;
    o.port.send = on_send;
    o.port.cancel = on_cancel;
    o.port.claim = on_claim;
    o.port.answer = on_answer;
    o.port.ctx = s;
    bbl_gather_new(&g, &o);
    return g;
}

/*
 * Restarts a query on a newer index version and then delivers a late result
 * of the older version. Returns whether the answer contains that result.
 */
static bool
old_result_is_merged(void)
{
    port_calls s = {0};
    bbl_gather *g = create_gather(&s);
    bbl_lists *lists = create_lists();
    bbl_view *old = create_view(1, 1, lists);
    bbl_view *fresh = create_view(2, 2, lists);
    bblx_query_id first;
    uint32_t sub;

    bbl_gather_set_view(g, START, old);
    submit(g, START);
    first = s.query;
    sub = s.sub;
    ck_assert_uint_eq(s.version, 1);
    bbl_gather_set_view(g, START + 1000, fresh);
    send_result(g, START + 2000, &first, sub, BBLX_SUB_VERSION_GONE, 0);
    bbl_gather_tick(g, START + 3000);
    ck_assert_uint_eq(s.version, 2);
    send_result(g, START + 4000, &first, sub, BBLX_SUB_OK, 1);
    bbl_gather_free(g);
    bbl_view_free(old);
    bbl_view_free(fresh);
    bbl_lists_free(lists);
    return s.answers == 1 && s.answer_version == 2 &&
           strcmp(s.body, "old") == 0;
}

START_TEST(results_of_an_old_snapshot_are_never_merged)
{
    ck_assert(!old_result_is_merged());
    bbl_test_faults = BBL_FAULT_STALE_RESULTS;
    ck_assert(old_result_is_merged());
    bbl_test_faults = 0;
}
END_TEST

START_TEST(plan_over_its_concurrency_is_refused_unrun)
{
    port_calls s = {0};
    bbl_gather *g = create_gather(&s);
    bbl_lists *lists = create_lists();
    bbl_view *view = create_view(1, 1, lists);

    bbl_gather_set_view(g, START, view);
    submit(g, START);
    submit(g, START);
    ck_assert_uint_eq(s.answers, 1);
    ck_assert_int_eq(s.kind, BBL_ANSWER_NOT_RUN);
    ck_assert_uint_eq(s.sends, 1);
    send_result(g, START + 1000, &s.query, s.sub, BBLX_SUB_OK, 1);
    ck_assert_uint_eq(s.answers, 2);
    ck_assert_int_eq(s.kind, BBL_ANSWER_OK);
    /* The first query no longer counts against the concurrency. */
    submit(g, START + 2000);
    ck_assert_uint_eq(s.sends, 2);
    bbl_gather_free(g);
    bbl_view_free(view);
    bbl_lists_free(lists);
}
END_TEST

START_TEST(deadline_ends_a_query_and_cancels_what_runs)
{
    port_calls s = {0};
    bbl_gather *g = create_gather(&s);
    bbl_lists *lists = create_lists();
    bbl_view *view = create_view(1, 1, lists);

    bbl_gather_set_view(g, START, view);
    submit(g, START);
    bbl_gather_tick(g, START + 47000);
    ck_assert_uint_eq(s.answers, 0);
    bbl_gather_tick(g, START + 48500);
    ck_assert_uint_eq(s.answers, 1);
    ck_assert_int_eq(s.kind, BBL_ANSWER_INCOMPLETE);
    ck_assert_uint_eq(s.cancels, 1);
    bbl_gather_free(g);
    bbl_view_free(view);
    bbl_lists_free(lists);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("gather");
    TCase *tc = tcase_create("gather");

    tcase_add_test(tc, results_of_an_old_snapshot_are_never_merged);
    tcase_add_test(tc, plan_over_its_concurrency_is_refused_unrun);
    tcase_add_test(tc, deadline_ends_a_query_and_cancels_what_runs);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
