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

#define TICK_INTERVAL_US 1000u /* between two ticks of the cores */
#define ROUND_INTERVAL_MIN_US 100u
#define IDLE_WAIT_US (10 * BBL_USEC_PER_MS)
#define MESH_KEEP_US                                                          \
    (150 * BBL_USEC_PER_MS) /* a frame waits for a connection */
#define MESH_ACK_TIMEOUT_US (60 * BBL_USEC_PER_MS)
#define POLL_INTERVAL_US (250 * BBL_USEC_PER_MS)
#define POLL_URGENT_INTERVAL_US (40 * BBL_USEC_PER_MS)
#define MESSAGES_PER_ROUND 256

/*
 * A message of this host to itself. It is queued because a core must not be
 * called from its own port functions.
 */
typedef struct {
    bblx_message message; /* owned */
} local_message;

/* The polling state of one searcher. */
typedef struct {
    uint32_t searcher;
    bbl_usec polled_at; /* time of the last request for its info page */
    bool warmed;        /* its connections were opened in advance */
} searcher_poll;

struct bbl_traffic {
    bbl_daemon_options options; /* its strings are borrowed */
    uint64_t incarnation;
    bbl_shared *shared;
    bbl_loop *loop;
    bbl_mesh *mesh;
    bbl_http_client *http;
    bbl_searcher_client *searchers;
    bbl_gather *gather;
    bbl_dispatch *dispatch;
    ck_epoch_record_t epoch_record;
    ck_epoch_section_t epoch_section; /* protects `adopted` */
    const bbl_published_view *adopted;
    bbl_vec local_messages; /* of local_message */
    bbl_map polls;          /* searcher -> searcher_poll */
    bbl_usec now;
    bbl_usec round_started_at;
    bbl_usec next_tick_at;
    bbl_usec lease_until;
    bool refusing_queries;
    bool draining;      /* no exchanges are started */
    bool idle_reported; /* for the current stage of the shutdown */
    bool stop;
};

void
bbl_query_context_free(void *ctx)
{
    bbl_query_context *context = ctx;

    bbl_query_request_free(&context->request);
    if (context->answered) {
        bbl_answer_copy_free(&context->answer_copy);
    }
    free(context);
}

/* ---- messages between hosts ---- */

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
enqueue_local(bbl_traffic *t, const bblx_message *m)
{
    local_message *to = bbl_vec_add(&t->local_messages);

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
        enqueue_local(t, m);
        return;
    }
    if (t->adopted == NULL) {
        return;
    }
    member = bbl_view_find_member(t->adopted->view, host);
    if (member != NULL) {
        bbl_mesh_send(t->mesh, t->now, host, member->traffic_address, m);
    }
}

static void
handle_mesh_message(bbl_traffic *t, uint32_t from, const bblx_message *m)
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
on_mesh_message(void *ctx, uint32_t from, uint64_t incarnation,
                const bblx_message *m)
{
    bbl_traffic *t = ctx;

    (void)incarnation;
    t->now = bbl_clock_now();
    handle_mesh_message(t, from, m);
}

static void
deliver_local_messages(bbl_traffic *t)
{
    while (t->local_messages.size > 0) {
        bbl_vec batch = t->local_messages;

        t->local_messages = (bbl_vec)BBL_VEC_INIT(local_message);
        for (size_t i = 0; i < batch.size; i++) {
            local_message *l = bbl_vec_at(&batch, i);

            handle_mesh_message(t, t->options.host, &l->message);
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

/* Sends a message, or drops it if the queue is full. */
static void
send_to_control(bbl_traffic *t, bbl_thread_message *message)
{
    if (!bbl_mailbox_enqueue(&t->shared->to_control, message)) {
        bbl_thread_message_free(message);
    }
}

static void
gather_claim(void *ctx, uint64_t seq, const bbl_name *customer,
             bbl_str request_id)
{
    bbl_thread_message *message = bbl_thread_message_new(BBL_MESSAGE_CLAIM);

    message->seq = seq;
    message->customer = *customer;
    bbl_buf_append(&message->request_id, request_id.ptr, request_id.size);
    send_to_control(ctx, message);
}

/*
 * Sends the outcome of a claimed request to the control thread; an empty one
 * releases the claim of a request that did not run.
 */
static void
record_outcome(bbl_traffic *t, const bbl_query_context *context,
               const bbl_answer *answer)
{
    bbl_thread_message *message =
        bbl_thread_message_new(BBL_MESSAGE_REQUEST_OUTCOME);

    message->customer = context->request.query.customer;
    bbl_buf_append(&message->request_id, context->request.request_id.ptr,
                   context->request.request_id.size);
    if (answer->kind != BBL_ANSWER_NOT_RUN) {
        bbl_answer_render(&message->answer_text, answer,
                          bbl_buf_str(&context->request.request_id));
    }
    send_to_control(t, message);
}

/* Renders the answer; runs on the HTTP server's thread. */
static void
render_answer(bbl_http_call *call)
{
    bbl_query_context *context = call->user_data;

    bbl_answer_render(&call->response_body, &context->answer_copy.answer,
                      bbl_buf_str(&context->request.request_id));
}

static void
gather_answer(void *ctx, void *token, const bbl_answer *answer)
{
    bbl_traffic *t = ctx;
    bbl_http_call *call = token;
    bbl_query_context *context = call->user_data;

    if (answer->claimed) {
        record_outcome(t, context, answer);
    }
    bbl_answer_copy_init(&context->answer_copy, answer);
    context->answered = true;
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
    bbl_thread_message *message = bbl_thread_message_new(BBL_MESSAGE_REPORT);
    bbl_buf bytes = BBL_BUF_INIT;

    if (BBL_XDR_ENCODE(&bytes, bblx_report, report) == 0 &&
        BBL_XDR_DECODE(&message->report, bblx_report, bbl_buf_str(&bytes)) ==
            0) {
        send_to_control(ctx, message);
    }
    else {
        bbl_thread_message_free(message);
    }
    bbl_buf_free(&bytes);
}

/* ---- port of the searcher client ---- */

static void
on_exchange_end(void *ctx, uint64_t exchange, const bbl_exchange_result *r)
{
    bbl_traffic *t = ctx;

    t->now = bbl_clock_now();
    bbl_dispatch_complete_exchange(t->dispatch, t->now, exchange, r);
}

static void
on_searcher_info(void *ctx, uint32_t searcher, const bbl_searcher_info *info)
{
    bbl_traffic *t = ctx;

    bbl_dispatch_update_info(t->dispatch, t->now, searcher, info);
}

/* ---- polls ---- */

static searcher_poll *
get_searcher_poll(bbl_traffic *t, uint32_t searcher)
{
    searcher_poll *row = bbl_map_get(&t->polls, searcher);

    if (row == NULL) {
        row = bbl_calloc(1, sizeof(*row));
        row->searcher = searcher;
        bbl_map_set(&t->polls, searcher, row);
    }
    return row;
}

/* Opens one connection per slot before the first query needs it. */
static void
warm_searcher(bbl_traffic *t, searcher_poll *row, bblx_address address)
{
    const bbl_view_searcher *s =
        bbl_view_find_searcher(t->adopted->view, row->searcher);

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
        searcher_poll *row;

        if (searcher == 0) {
            continue;
        }
        row = get_searcher_poll(t, searcher);
        if (t->now < row->polled_at + (urgent ? POLL_URGENT_INTERVAL_US
                                              : POLL_INTERVAL_US)) {
            continue;
        }
        row->polled_at = t->now;
        bbl_searcher_client_poll_info(t->searchers, searcher, address);
        if (!row->warmed && !urgent) {
            warm_searcher(t, row, address);
        }
    }
}

/* ---- messages from other threads ---- */

static void
submit_query(bbl_traffic *t, bbl_http_call *call)
{
    bbl_query_context *context = call->user_data;
    bbl_query query = context->request.query;

    if (t->refusing_queries) {
        bbl_http_call_set_error(call, 503, "not-run",
                                "this host is shutting down");
        call->retry_after_ms = 1;
        bbl_http_call_resume(call);
        return;
    }
    query.deadline =
        context->arrived_at + context->request.deadline_ms * BBL_USEC_PER_MS;
    bbl_gather_submit(t->gather, t->now, t->lease_until,
                      (int64_t)(bbl_clock_wall_ms() / 1000), &query, call);
}

static bbl_traffic_stats
collect_stats(const bbl_traffic *t)
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
handle_message(bbl_traffic *t, bbl_thread_message *message)
{
    bbl_traffic_stats stats;

    switch (message->kind) {
    case BBL_MESSAGE_QUERY:
        submit_query(t, message->call);
        break;
    case BBL_MESSAGE_CLAIM_OUTCOME:
        bbl_gather_complete_claim(t->gather, t->now, message->seq,
                                  message->claim_outcome,
                                  bbl_buf_str(&message->answer_text));
        break;
    case BBL_MESSAGE_METRICS:
        stats = collect_stats(t);
        bbl_metrics_render(&message->call->response_body, t->options.host,
                           &stats);
        message->call->content_type = "text/plain; version=0.0.4";
        bbl_http_call_resume(message->call);
        break;
    case BBL_MESSAGE_DUMP:
        stats = collect_stats(t);
        bbl_dump_append_traffic(&message->call->response_body, &stats,
                                t->dispatch);
        bbl_http_call_resume(message->call);
        break;
    case BBL_MESSAGE_REFUSE_QUERIES:
        t->refusing_queries = true;
        break;
    case BBL_MESSAGE_DRAIN:
        t->draining = true;
        t->idle_reported = false;
        bbl_dispatch_drain(t->dispatch, t->now);
        break;
    case BBL_MESSAGE_STOP:
        t->stop = true;
        break;
    default:
        break;
    }
    bbl_thread_message_free(message);
}

static void
receive_messages(bbl_traffic *t)
{
    for (int i = 0; i < MESSAGES_PER_ROUND; i++) {
        bbl_thread_message *message =
            bbl_mailbox_dequeue(&t->shared->to_traffic);

        if (message == NULL) {
            return;
        }
        handle_message(t, message);
    }
    bbl_loop_wake(t->loop);
}

/* Reports the end of a shutdown stage to the control thread. */
static void
report_idle(bbl_traffic *t)
{
    bbl_thread_message *message;

    if (!t->refusing_queries || t->idle_reported ||
        bbl_gather_open_count(t->gather) > 0 ||
        (t->draining && bbl_dispatch_running_count(t->dispatch) > 0)) {
        return;
    }
    t->idle_reported = true;
    message = bbl_thread_message_new(BBL_MESSAGE_IDLE);
    message->seq = t->draining ? 2 : 1;
    send_to_control(t, message);
}

/* ---- the thread ---- */

/*
 * Adopts the newest view. The epoch section begun here protects it; the
 * section of the previous view ends once neither core uses that view.
 */
static void
adopt_view(bbl_traffic *t)
{
    const bbl_published_view *previous = t->adopted;
    ck_epoch_section_t old = t->epoch_section;

    if (ck_pr_load_ptr(&t->shared->published) == previous) {
        return;
    }
    ck_epoch_begin(&t->epoch_record, &t->epoch_section);
    t->adopted = bbl_shared_load_view(t->shared);
    bbl_gather_set_view(t->gather, t->now, t->adopted->view);
    bbl_dispatch_set_view(t->dispatch, t->now, t->adopted->view);
    if (previous != NULL) {
        bbl_shared_release_view(previous);
    }
    ck_epoch_end(&t->epoch_record, &old);
    ck_pr_store_64(&t->shared->adopted_revision,
                   bbl_view_revision(t->adopted->view));
    bbl_loop_wake(t->shared->to_control.receiver_loop);
}

static bool
is_busy(const bbl_traffic *t)
{
    return bbl_gather_open_count(t->gather) > 0 ||
           bbl_dispatch_running_count(t->dispatch) > 0;
}

/*
 * Sleeps until the minimum round interval has passed, so that one round of
 * system calls serves several events.
 */
static void
limit_round_rate(bbl_traffic *t)
{
    bbl_usec since = bbl_clock_now() - t->round_started_at;
    struct timespec pause = {0, 0};

    if (since < ROUND_INTERVAL_MIN_US) {
        pause.tv_nsec = (long)(ROUND_INTERVAL_MIN_US - since) * 1000;
        nanosleep(&pause, NULL);
    }
}

static void
tick_cores(bbl_traffic *t)
{
    if (t->now < t->next_tick_at) {
        return;
    }
    t->next_tick_at = t->now + TICK_INTERVAL_US;
    bbl_gather_tick(t->gather, t->now);
    bbl_dispatch_tick(t->dispatch, t->now);
    bbl_searcher_client_tick(t->searchers, t->now);
    poll_searchers(t);
}

static void
run_round(bbl_traffic *t)
{
    limit_round_rate(t);
    bbl_loop_run_once(t->loop, is_busy(t) ? TICK_INTERVAL_US : IDLE_WAIT_US);
    t->now = bbl_clock_now();
    t->round_started_at = t->now;
    /* A lease is published after its view, so it is read before the view. */
    t->lease_until = ck_pr_load_64(&t->shared->lease_until);
    ck_pr_fence_load();
    adopt_view(t);
    bbl_dispatch_set_lease(t->dispatch, t->lease_until);
    receive_messages(t);
    deliver_local_messages(t);
    tick_cores(t);
    bbl_http_client_tick(t->http);
    bbl_dispatch_flush(t->dispatch);
    deliver_local_messages(t);
    bbl_dispatch_flush(t->dispatch);
    bbl_mesh_tick(t->mesh, t->now);
    report_idle(t);
}

void
bbl_traffic_run(bbl_traffic *t)
{
    ck_epoch_register(&t->shared->epoch, &t->epoch_record, NULL);
    ck_epoch_begin(&t->epoch_record, &t->epoch_section);
    while (!t->stop) {
        run_round(t);
    }
    ck_epoch_end(&t->epoch_record, &t->epoch_section);
    ck_epoch_unregister(&t->epoch_record);
}

static void
create_cores(bbl_traffic *t)
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
    d.limit_policy = baseline ? &bbl_limit_equal_share : &bbl_limit_owner;
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
    bbl_searcher_port port = {on_exchange_end, on_searcher_info, t};
    bbl_dispatch_options defaults = BBL_DISPATCH_OPTIONS_INIT;
    int error;

    memset(&m, 0, sizeof(m));
    m.host = t->options.host;
    m.incarnation = t->incarnation;
    m.cluster = t->options.cluster;
    memcpy(m.key, t->options.key, sizeof(m.key));
    m.listen_address = t->options.traffic_address;
    m.ack_timeout = MESH_ACK_TIMEOUT_US;
    m.frame_ttl = MESH_KEEP_US;
    m.receive = on_mesh_message;
    m.ctx = t;
    error = bbl_mesh_open(&t->mesh, t->loop, &m);
    if (error == 0) {
        error = bbl_http_client_open(&t->http, t->loop,
                                     t->options.traffic_address.ip);
    }
    if (error == 0) {
        bbl_searcher_client_new(&t->searchers, t->http, &port,
                                defaults.response_grace);
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
    t->local_messages = (bbl_vec)BBL_VEC_INIT(local_message);
    create_cores(t);
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
    searcher_poll *row;
    size_t pos = 0;

    if (t == NULL) {
        return;
    }
    while ((row = bbl_map_next(&t->polls, &pos)) != NULL) {
        free(row);
    }
    bbl_map_free(&t->polls);
    for (size_t i = 0; i < t->local_messages.size; i++) {
        local_message *l = bbl_vec_at(&t->local_messages, i);

        BBL_XDR_FREE(bblx_message, &l->message);
    }
    bbl_vec_free(&t->local_messages);
    bbl_http_client_free(t->http);
    bbl_searcher_client_free(t->searchers);
    bbl_gather_free(t->gather);
    bbl_dispatch_free(t->dispatch);
    bbl_mesh_free(t->mesh);
    free(t);
}
