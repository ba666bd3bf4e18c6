#include "daemon/traffic.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "daemon/metrics.h"
#include "net/mesh.h"
#include "net/searcher_client.h"
#include "policy/dispatch.h"
#include "util/alloc.h"
#include "util/clock.h"

#define TICK_US 1000u    /* period of the ticks of the cores */
#define COALESCE_US 100u /* least time between two rounds */
#define IDLE_WAIT_US (10 * BBL_USEC_PER_MS)
#define KEEP_FRAMES_US (150 * BBL_USEC_PER_MS)
#define ACK_TIMEOUT_US (60 * BBL_USEC_PER_MS)
#define POLL_EVERY_US (250 * BBL_USEC_PER_MS)
#define POLL_URGENT_US (40 * BBL_USEC_PER_MS)
#define NOTES_AT_ONCE 256

/* A message of this host to itself, kept until the cores have returned. */
typedef struct {
    bblx_message message; /* owned */
} local_message;

/* When a searcher's info page was last asked for. */
typedef struct {
    uint32_t searcher;
    bbl_usec asked;
    bool warmed;
} poll_row;

struct bbl_traffic {
    bbl_daemon_options options; /* borrowed content */
    uint64_t incarnation;
    bbl_shared *shared;
    bbl_loop *loop;
    bbl_mesh *mesh;
    bbl_http_client *http;
    bbl_searcher_client *searchers;
    bbl_gather *gather;
    bbl_dispatch *dispatch;
    ck_epoch_record_t record;
    ck_epoch_section_t section;
    const bbl_published_view *published;
    bbl_vec local; /* local_message */
    bbl_map polls; /* searcher -> poll_row */
    bbl_usec now;
    bbl_usec round_began;
    bbl_usec next_tick;
    bbl_usec lease_until;
    bool closed;   /* queries are refused */
    bool draining; /* exchanges are not started */
    bool told_idle;
    bool stop;
};

void
bbl_query_context_free(void *ctx)
{
    bbl_query_context *user = ctx;

    bbl_query_request_free(&user->request);
    if (user->answered) {
        bbl_answer_copy_free(&user->answer_copy);
    }
    free(user);
}

/* ---- messages ---- */

static char *
copy_bytes(const void *ptr, size_t size)
{
    return bbl_memdup(ptr, size);
}

static void
copy_request(bblx_sub_request *r)
{
    r->plan.bblx_name_val =
        copy_bytes(r->plan.bblx_name_val, r->plan.bblx_name_len);
    r->text.bblx_text_val =
        copy_bytes(r->text.bblx_text_val, r->text.bblx_text_len);
    r->subs.subs_val = (bblx_sub *)copy_bytes(
        r->subs.subs_val, r->subs.subs_len * sizeof(bblx_sub));
}

static void
copy_results(bblx_sub_results *r)
{
    r->results.results_val = (bblx_sub_result *)copy_bytes(
        r->results.results_val,
        r->results.results_len * sizeof(bblx_sub_result));
    for (u_int i = 0; i < r->results.results_len; i++) {
        bblx_text *body = &r->results.results_val[i].body;

        body->bblx_text_val =
            copy_bytes(body->bblx_text_val, body->bblx_text_len);
    }
    r->loads.loads_val = (bblx_load *)copy_bytes(
        r->loads.loads_val, r->loads.loads_len * sizeof(bblx_load));
}

static void
copy_cancel(bblx_sub_cancel *c)
{
    c->subs.subs_val = (u_int *)copy_bytes(c->subs.subs_val,
                                           c->subs.subs_len * sizeof(u_int));
}

static void
queue_local(bbl_traffic *t, const bblx_message *m)
{
    local_message *to = bbl_vec_add(&t->local);

    to->message = *m;
    switch (m->kind) {
    case BBLX_SUB_REQUEST:
        copy_request(&to->message.bblx_message_u.sub_request);
        break;
    case BBLX_SUB_RESULTS:
        copy_results(&to->message.bblx_message_u.sub_results);
        break;
    default:
        copy_cancel(&to->message.bblx_message_u.sub_cancel);
        break;
    }
}

static void
send_message(bbl_traffic *t, uint32_t host, const bblx_message *m)
{
    const bbl_view_member *member;

    if (host == t->options.host) {
        queue_local(t, m);
        return;
    }
    if (t->published == NULL) {
        return;
    }
    member = bbl_view_find_member(t->published->view, host);
    if (member != NULL) {
        bbl_mesh_send(t->mesh, t->now, host, member->traffic_address, m);
    }
}

static void
take_message(bbl_traffic *t, uint32_t from, const bblx_message *m)
{
    switch (m->kind) {
    case BBLX_SUB_REQUEST:
        bbl_dispatch_receive_request(t->dispatch, t->now, from,
                                     &m->bblx_message_u.sub_request);
        break;
    case BBLX_SUB_RESULTS:
        bbl_gather_receive_results(t->gather, t->now, from,
                                   &m->bblx_message_u.sub_results);
        break;
    case BBLX_SUB_CANCEL:
        bbl_dispatch_cancel(t->dispatch, t->now,
                            &m->bblx_message_u.sub_cancel);
        break;
    default:
        break;
    }
}

static void
on_mesh(void *ctx, uint32_t from, uint64_t incarnation, const bblx_message *m)
{
    bbl_traffic *t = ctx;

    (void)incarnation;
    t->now = bbl_clock_now();
    take_message(t, from, m);
}

static void
deliver_local(bbl_traffic *t)
{
    while (t->local.size > 0) {
        bbl_vec batch = t->local;

        t->local = (bbl_vec)BBL_VEC_INIT(local_message);
        for (size_t i = 0; i < batch.size; i++) {
            local_message *l = bbl_vec_at(&batch, i);

            take_message(t, t->options.host, &l->message);
            BBL_XDR_FREE(bblx_message, &l->message);
        }
        bbl_vec_free(&batch);
    }
}

/* ---- port of the gather core ---- */

static void
gather_send(void *ctx, uint32_t owner, const bblx_sub_request *request)
{
    bblx_message m;

    m.kind = BBLX_SUB_REQUEST;
    m.bblx_message_u.sub_request = *request;
    send_message(ctx, owner, &m);
}

static void
gather_cancel(void *ctx, uint32_t owner, const bblx_sub_cancel *cancel)
{
    bblx_message m;

    m.kind = BBLX_SUB_CANCEL;
    m.bblx_message_u.sub_cancel = *cancel;
    send_message(ctx, owner, &m);
}

static void
put_to_control(bbl_traffic *t, bbl_thread_message *note)
{
    if (!bbl_mailbox_enqueue(&t->shared->to_control, note)) {
        bbl_thread_message_free(note);
    }
}

static void
gather_claim(void *ctx, uint64_t seq, const bbl_name *customer,
             bbl_str request_id)
{
    bbl_thread_message *note = bbl_thread_message_new(BBL_MESSAGE_CLAIM);

    note->seq = seq;
    note->customer = *customer;
    bbl_buf_append(&note->request_id, request_id.ptr, request_id.size);
    put_to_control(ctx, note);
}

/* Records the outcome of a claimed request; an empty one releases it. */
static void
record_outcome(bbl_traffic *t, const bbl_query_context *user,
               const bbl_answer *answer)
{
    bbl_thread_message *note =
        bbl_thread_message_new(BBL_MESSAGE_REQUEST_OUTCOME);

    note->customer = user->request.query.customer;
    bbl_buf_append(&note->request_id, user->request.request_id.ptr,
                   user->request.request_id.size);
    if (answer->kind != BBL_ANSWER_NOT_RUN) {
        bbl_answer_render(&note->answer_text, answer,
                          bbl_buf_str(&user->request.request_id));
    }
    put_to_control(t, note);
}

/* Renders the answer on the HTTP server's thread. */
static void
render_answer(bbl_http_call *call)
{
    bbl_query_context *user = call->user_data;

    bbl_answer_render(&call->response_body, &user->answer_copy.answer,
                      bbl_buf_str(&user->request.request_id));
}

static void
gather_answer(void *ctx, void *token, const bbl_answer *answer)
{
    bbl_traffic *t = ctx;
    bbl_http_call *call = token;
    bbl_query_context *user = call->user_data;

    if (answer->claimed) {
        record_outcome(t, user, answer);
    }
    bbl_answer_copy_init(&user->answer_copy, answer);
    user->answered = true;
    call->status = bbl_answer_http_status(answer);
    call->retry_after_ms = answer->retry_after_ms;
    call->render = render_answer;
    bbl_http_call_resume(call);
}

/* ---- port of the dispatch core ---- */

static void
dispatch_start(void *ctx, const bbl_exchange *exchange)
{
    bbl_traffic *t = ctx;

    bbl_searcher_client_start_exchange(t->searchers, t->now, exchange);
}

static void
dispatch_cancel(void *ctx, uint64_t exchange, uint32_t searcher)
{
    bbl_traffic *t = ctx;

    (void)searcher;
    bbl_searcher_client_cancel_exchange(t->searchers, t->now, exchange);
}

static void
dispatch_reply(void *ctx, uint32_t host, const bblx_sub_results *results)
{
    bblx_message m;

    m.kind = BBLX_SUB_RESULTS;
    m.bblx_message_u.sub_results = *results;
    send_message(ctx, host, &m);
}

static void
dispatch_report(void *ctx, const bblx_report *report)
{
    bbl_thread_message *note = bbl_thread_message_new(BBL_MESSAGE_REPORT);
    bbl_buf bytes = BBL_BUF_INIT;

    if (BBL_XDR_ENCODE(&bytes, bblx_report, report) == 0 &&
        BBL_XDR_DECODE(&note->report, bblx_report, bbl_buf_str(&bytes)) == 0) {
        put_to_control(ctx, note);
    }
    else {
        bbl_thread_message_free(note);
    }
    bbl_buf_free(&bytes);
}

/* ---- port of the searcher client ---- */

static void
searcher_ended(void *ctx, uint64_t exchange, const bbl_exchange_result *r)
{
    bbl_traffic *t = ctx;

    t->now = bbl_clock_now();
    bbl_dispatch_complete_exchange(t->dispatch, t->now, exchange, r);
}

static void
searcher_info(void *ctx, uint32_t searcher, const bbl_searcher_info *info)
{
    bbl_traffic *t = ctx;

    bbl_dispatch_update_info(t->dispatch, t->now, searcher, info);
}

/* ---- polls ---- */

static poll_row *
poll_row_of(bbl_traffic *t, uint32_t searcher)
{
    poll_row *row = bbl_map_get(&t->polls, searcher);

    if (row == NULL) {
        row = bbl_calloc(1, sizeof(*row));
        row->searcher = searcher;
        bbl_map_set(&t->polls, searcher, row);
    }
    return row;
}

/* Opens one connection a slot before the first query needs them. */
static void
warm_searcher(bbl_traffic *t, poll_row *row, bblx_address address)
{
    const bbl_view_searcher *s =
        bbl_view_find_searcher(t->published->view, row->searcher);

    row->warmed = true;
    if (s != NULL) {
        bbl_searcher_client_preconnect(t->searchers, row->searcher, address,
                                       s->slots);
    }
}

static void
poll_searchers(bbl_traffic *t)
{
    uint32_t searcher;
    bblx_address address;
    bool urgent;

    for (size_t i = 0; bbl_dispatch_poll_target_at(t->dispatch, i, &searcher,
                                                   &address, &urgent);
         i++) {
        poll_row *row;

        if (searcher == 0) {
            continue;
        }
        row = poll_row_of(t, searcher);
        if (t->now < row->asked + (urgent ? POLL_URGENT_US : POLL_EVERY_US)) {
            continue;
        }
        row->asked = t->now;
        bbl_searcher_client_poll_info(t->searchers, searcher, address);
        if (!row->warmed && !urgent) {
            warm_searcher(t, row, address);
        }
    }
}

/* ---- notes from other threads ---- */

static void
take_query(bbl_traffic *t, bbl_http_call *call)
{
    bbl_query_context *user = call->user_data;
    bbl_query query = user->request.query;

    if (t->closed) {
        bbl_http_call_set_error(call, 503, "not-run",
                                "this host is shutting down");
        call->retry_after_ms = 1;
        bbl_http_call_resume(call);
        return;
    }
    query.deadline =
        user->arrived_at + user->request.deadline_ms * BBL_USEC_PER_MS;
    bbl_gather_submit(t->gather, t->now, t->lease_until,
                      (int64_t)(bbl_clock_wall_ms() / 1000), &query, call);
}

static bbl_traffic_stats
figures_of(const bbl_traffic *t)
{
    bbl_traffic_stats f;

    f.gather = bbl_gather_get_counters(t->gather);
    f.dispatch = bbl_dispatch_get_counters(t->dispatch);
    f.searchers = bbl_searcher_client_get_counters(t->searchers);
    f.mesh = bbl_mesh_get_counters(t->mesh);
    f.open_queries = bbl_gather_open_count(t->gather);
    f.running_exchanges = bbl_dispatch_running_count(t->dispatch);
    f.hedge_delay = bbl_gather_hedge_delay(t->gather);
    f.searcher_connects = bbl_http_client_connect_count(t->http);
    f.thread_cpu = bbl_clock_thread_cpu();
    return f;
}

static void
take_note(bbl_traffic *t, bbl_thread_message *note)
{
    bbl_traffic_stats figures;

    switch (note->kind) {
    case BBL_MESSAGE_QUERY:
        take_query(t, note->call);
        break;
    case BBL_MESSAGE_CLAIM_OUTCOME:
        bbl_gather_complete_claim(t->gather, t->now, note->seq,
                                  note->claim_outcome,
                                  bbl_buf_str(&note->answer_text));
        break;
    case BBL_MESSAGE_METRICS:
        figures = figures_of(t);
        bbl_metrics_render(&note->call->response_body, t->options.host,
                           &figures);
        note->call->content_type = "text/plain; version=0.0.4";
        bbl_http_call_resume(note->call);
        break;
    case BBL_MESSAGE_DUMP:
        figures = figures_of(t);
        bbl_dump_append_traffic(&note->call->response_body, &figures,
                                t->dispatch);
        bbl_http_call_resume(note->call);
        break;
    case BBL_MESSAGE_REFUSE_QUERIES:
        t->closed = true;
        break;
    case BBL_MESSAGE_DRAIN:
        t->draining = true;
        t->told_idle = false;
        bbl_dispatch_drain(t->dispatch, t->now);
        break;
    case BBL_MESSAGE_STOP:
        t->stop = true;
        break;
    default:
        break;
    }
    bbl_thread_message_free(note);
}

static void
take_notes(bbl_traffic *t)
{
    for (int i = 0; i < NOTES_AT_ONCE; i++) {
        bbl_thread_message *note = bbl_mailbox_dequeue(&t->shared->to_traffic);

        if (note == NULL) {
            return;
        }
        take_note(t, note);
    }
    bbl_loop_wake(t->loop);
}

/* Tells the control thread when a phase of the shutdown is done. */
static void
tell_idle(bbl_traffic *t)
{
    bbl_thread_message *note;

    if (!t->closed || t->told_idle || bbl_gather_open_count(t->gather) > 0 ||
        (t->draining && bbl_dispatch_running_count(t->dispatch) > 0)) {
        return;
    }
    t->told_idle = true;
    note = bbl_thread_message_new(BBL_MESSAGE_IDLE);
    note->seq = t->draining ? 2 : 1;
    put_to_control(t, note);
}

/* ---- the thread ---- */

/* Moves to the newest view; the epoch section keeps it alive. */
static void
follow_view(bbl_traffic *t)
{
    const bbl_published_view *left = t->published;
    ck_epoch_section_t old = t->section;

    if (ck_pr_load_ptr(&t->shared->published) == left) {
        return;
    }
    ck_epoch_begin(&t->record, &t->section);
    t->published = bbl_shared_load_view(t->shared);
    bbl_gather_set_view(t->gather, t->now, t->published->view);
    bbl_dispatch_set_view(t->dispatch, t->now, t->published->view);
    if (left != NULL) {
        bbl_shared_release_view(left);
    }
    ck_epoch_end(&t->record, &old);
    ck_pr_store_64(&t->shared->adopted_revision,
                   bbl_view_revision(t->published->view));
    bbl_loop_wake(t->shared->to_control.receiver_loop);
}

static bool
is_busy(const bbl_traffic *t)
{
    return bbl_gather_open_count(t->gather) > 0 ||
           bbl_dispatch_running_count(t->dispatch) > 0;
}

/*
 * Lets events gather for a moment, so that one round of system calls serves
 * several of them.
 */
static void
pace(bbl_traffic *t)
{
    bbl_usec since = bbl_clock_now() - t->round_began;
    struct timespec pause = {0, 0};

    if (since < COALESCE_US) {
        pause.tv_nsec = (long)(COALESCE_US - since) * 1000;
        nanosleep(&pause, NULL);
    }
}

static void
tick_cores(bbl_traffic *t)
{
    if (t->now < t->next_tick) {
        return;
    }
    t->next_tick = t->now + TICK_US;
    bbl_gather_tick(t->gather, t->now);
    bbl_dispatch_tick(t->dispatch, t->now);
    bbl_searcher_client_tick(t->searchers, t->now);
    poll_searchers(t);
}

static void
run_once(bbl_traffic *t)
{
    pace(t);
    bbl_loop_run_once(t->loop, is_busy(t) ? TICK_US : IDLE_WAIT_US);
    t->now = bbl_clock_now();
    t->round_began = t->now;
    /* The lease is read first: it is published after its view. */
    t->lease_until = ck_pr_load_64(&t->shared->lease_until);
    ck_pr_fence_load();
    follow_view(t);
    bbl_dispatch_set_lease(t->dispatch, t->lease_until);
    take_notes(t);
    deliver_local(t);
    tick_cores(t);
    bbl_http_client_tick(t->http);
    bbl_dispatch_flush(t->dispatch);
    deliver_local(t);
    bbl_dispatch_flush(t->dispatch);
    bbl_mesh_tick(t->mesh, t->now);
    tell_idle(t);
}

void
bbl_traffic_run(bbl_traffic *t)
{
    ck_epoch_register(&t->shared->epoch, &t->record, NULL);
    ck_epoch_begin(&t->record, &t->section);
    while (!t->stop) {
        run_once(t);
    }
    ck_epoch_end(&t->record, &t->section);
    ck_epoch_unregister(&t->record);
}

static void
make_cores(bbl_traffic *t)
{
    bbl_gather_options g = BBL_GATHER_OPTIONS_INIT;
    bbl_dispatch_options d = BBL_DISPATCH_OPTIONS_INIT;
    bool baseline = strcmp(t->options.policy, "baseline") == 0;

    g.host = t->options.host;
    g.incarnation = t->incarnation;
    g.seed = t->incarnation;
    g.hedge_budget_ppm = baseline ? 0 : t->options.hedge_ppm;
    g.replica_policy =
        baseline ? &bbl_replica_random : &bbl_replica_least_wait;
    g.port.send = gather_send;
    g.port.cancel = gather_cancel;
    g.port.claim = gather_claim;
    g.port.answer = gather_answer;
    g.port.ctx = t;
    bbl_gather_new(&t->gather, &g);
    d.host = t->options.host;
    d.incarnation = t->incarnation;
    d.limit_policy = baseline ? &bbl_limit_static : &bbl_limit_owner;
    d.slow_ppm = baseline ? 0 : d.slow_ppm;
    d.busy_factor = baseline ? 0 : d.busy_factor;
    d.exchange_max = t->options.exchange_max_ms * BBL_USEC_PER_MS;
    d.port.start = dispatch_start;
    d.port.cancel = dispatch_cancel;
    d.port.reply = dispatch_reply;
    d.port.report = dispatch_report;
    d.port.ctx = t;
    bbl_dispatch_new(&t->dispatch, &d);
}

static int
open_net(bbl_traffic *t)
{
    bbl_mesh_options m;
    bbl_searcher_port port = {searcher_ended, searcher_info, t};
    bbl_dispatch_options defaults = BBL_DISPATCH_OPTIONS_INIT;
    int error;

    memset(&m, 0, sizeof(m));
    m.host = t->options.host;
    m.incarnation = t->incarnation;
    m.cluster = t->options.cluster;
    memcpy(m.key, t->options.key, sizeof(m.key));
    m.listen_address = t->options.traffic_address;
    m.ack_timeout = ACK_TIMEOUT_US;
    m.frame_ttl = KEEP_FRAMES_US;
    m.receive = on_mesh;
    m.ctx = t;
    error = bbl_mesh_open(&t->mesh, t->loop, &m);
    if (error == 0) {
        error = bbl_http_client_open(&t->http, t->loop,
                                     t->options.traffic_address.ip);
    }
    if (error == 0) {
        bbl_searcher_client_new(&t->searchers, t->http, &port,
                                defaults.silent_grace);
    }
    return error;
}

int
bbl_traffic_open(bbl_traffic **out, const bbl_daemon_options *options,
                 uint64_t incarnation, bbl_shared *shared, bbl_loop *loop)
{
    bbl_traffic *t = bbl_calloc(1, sizeof(*t));
    int error;

    *out = NULL;
    t->options = *options;
    t->incarnation = incarnation;
    t->shared = shared;
    t->loop = loop;
    t->local = (bbl_vec)BBL_VEC_INIT(local_message);
    make_cores(t);
    error = open_net(t);
    if (error != 0) {
        bbl_traffic_free(t);
        return error;
    }
    *out = t;
    return 0;
}

void
bbl_traffic_free(bbl_traffic *t)
{
    poll_row *row;
    size_t pos = 0;

    if (t == NULL) {
        return;
    }
    while ((row = bbl_map_next(&t->polls, &pos)) != NULL) {
        free(row);
    }
    bbl_map_free(&t->polls);
    for (size_t i = 0; i < t->local.size; i++) {
        local_message *l = bbl_vec_at(&t->local, i);

        BBL_XDR_FREE(bblx_message, &l->message);
    }
    bbl_vec_free(&t->local);
    bbl_http_client_free(t->http);
    bbl_searcher_client_free(t->searchers);
    bbl_gather_free(t->gather);
    bbl_dispatch_free(t->dispatch);
    bbl_mesh_free(t->mesh);
    free(t);
}
