#include "daemon/daemon.h"

#include <errno.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <curl/curl.h>
#include <sodium.h>

#include "bbl/errors.h"
#include "control/control.h"
#include "daemon/admin.h"
#include "daemon/metrics.h"
#include "daemon/shared.h"
#include "daemon/traffic.h"
#include "net/mesh.h"
#include "net/platform_client.h"
#include "util/alloc.h"
#include "util/clock.h"

#define LOOP_WAIT_MAX_US (5 * BBL_USEC_PER_MS)
#define MESH_ACK_TIMEOUT_US (150 * BBL_USEC_PER_MS)
#define MESH_KEEP_US                                                          \
    (300 * BBL_USEC_PER_MS) /* a frame waits for a connection */
#define PLATFORM_POLL_INTERVAL_US (500 * BBL_USEC_PER_MS)
#define PUBLISH_INTERVAL_MIN_US (5 * BBL_USEC_PER_MS) /* between two views */
#define MESSAGES_PER_ROUND 256
/* Maximum time that the shutdown waits for new owners of the searchers. */
#define RELEASE_TIMEOUT_US (1500 * BBL_USEC_PER_MS)
/* Time for other hosts to learn of the new owners and the new leader. */
#define LEAVE_DELAY_US (250 * BBL_USEC_PER_MS)
/* Maximum time that the shutdown waits for accepted queries to end. */
#define FINISH_TIMEOUT_US (65 * BBL_USEC_PER_SEC)

typedef enum {
    PHASE_SERVING,
    PHASE_DRAIN_LAG, /* reports not ready until the load balancer notices */
    PHASE_FINISHING, /* refuses new queries and waits for the open ones */
    PHASE_DRAINING,  /* starts no exchanges and waits for the running ones */
    PHASE_RELEASING, /* waits for other daemons to own the searchers */
    PHASE_LEAVING,   /* transfers leadership; other hosts learn the owners */
    PHASE_DONE
} shutdown_phase;

/* A proposed claim whose outcome is not known yet. */
typedef struct {
    uint64_t proposal_number;
    uint64_t claim_seq; /* number of the query that waits for the claim */
} pending_claim;

typedef struct {
    const bbl_daemon_options *options;
    uint64_t incarnation;
    bbl_usec now;
    bbl_loop *loop;
    bbl_loop *traffic_loop;
    bbl_mesh *mesh;
    bbl_http_client *http_client;
    bbl_platform_client *platform;
    bbl_control *control;
    bbl_admin admin;
    bbl_shared shared;
    bbl_traffic *traffic;
    pthread_t traffic_thread;
    bool traffic_running;
    bbl_http_server *caller_server;
    bbl_http_server *operator_server;
    int signal_fd;
    shutdown_phase phase;
    bbl_usec phase_since;
    uint64_t published_revision; /* of the control state, at the last view */
    uint64_t published_index;    /* log index that this view includes */
    bbl_usec published_at;
    bbl_shared_lists *lists;
    uint64_t lists_version;
    bbl_vec pending_claims; /* of pending_claim */
    uint64_t last_claim_nonce;
    bbl_readiness logged_readiness;
    uint32_t logged_leader;
    bool journal_failure_logged;
} daemon_state;

/* ---- HTTP routes; these functions run on the servers' threads ---- */

/*
 * Suspends a call and sends it to another thread, or refuses it if the queue
 * is full. Always returns false: the call was suspended.
 */
static bool
enqueue_call(bbl_mailbox *box, bbl_thread_message_kind kind,
             bbl_http_call *call)
{
    bbl_thread_message *message = bbl_thread_message_new(kind);

    message->call = call;
    bbl_http_call_suspend(call);
    if (!bbl_mailbox_enqueue(box, message)) {
        bbl_thread_message_free(message);
        bbl_http_call_set_error(call, 503, "not-run",
                                "this host is overloaded");
        call->retry_after_ms = 1;
        bbl_http_call_resume(call);
    }
    return false;
}

static bool
route_query(daemon_state *d, bbl_http_call *call)
{
    bbl_query_context *context = bbl_calloc(1, sizeof(*context));

    call->user_data = context;
    call->user_data_free = bbl_query_context_free;
    context->arrived_at = bbl_clock_now();
    if (bbl_query_request_parse(&context->request, bbl_buf_str(&call->body)) !=
        0) {
        bbl_http_call_set_error(call, 400, "bad-request", bbl_error_last());
        return true;
    }
    return enqueue_call(&d->shared.to_traffic, BBL_MESSAGE_QUERY, call);
}

static bool
route_ready(daemon_state *d, bbl_http_call *call)
{
    bbl_readiness ready = (bbl_readiness)ck_pr_load_32(&d->shared.readiness);
    bbl_usec until = ck_pr_load_64(&d->shared.lease_until);

    if (ready == BBL_READY && bbl_clock_now() >= until) {
        ready = BBL_UNREADY_NO_LEASE;
    }
    call->status = ready == BBL_READY ? 200 : 503;
    bbl_buf_printf(&call->response_body, "{\"ready\":%s,\"state\":\"%s\"}\n",
                   ready == BBL_READY ? "true" : "false",
                   bbl_readiness_name(ready));
    return true;
}

static bool
on_caller(void *ctx, bbl_http_call *call)
{
    daemon_state *d = ctx;
    const char *path = call->path.ptr;
    bool post = strcmp(call->method.ptr, "POST") == 0;

    if (strcmp(path, "/v1/query") == 0 && post) {
        return route_query(d, call);
    }
    if (strcmp(path, "/v1/ready") == 0) {
        return route_ready(d, call);
    }
    if (strcmp(path, "/v1/metrics") == 0) {
        return enqueue_call(&d->shared.to_traffic, BBL_MESSAGE_METRICS, call);
    }
    if (strcmp(path, "/v1/state") == 0) {
        return enqueue_call(&d->shared.to_control, BBL_MESSAGE_DUMP, call);
    }
    bbl_http_call_set_error(call, 404, "bad-request", "no such path");
    return true;
}

static bool
token_matches(const char *token, const bbl_buf *header)
{
    static const char scheme[] = "Bearer ";
    size_t n = strlen(token);
    size_t s = sizeof(scheme) - 1;

    return header->size == s + n && memcmp(header->ptr, scheme, s) == 0 &&
           sodium_memcmp(header->ptr + s, token, n) == 0;
}

static bool
on_operator(void *ctx, bbl_http_call *call)
{
    daemon_state *d = ctx;
    const char *token = d->options->operator_token;

    if (token != NULL && !token_matches(token, &call->authorization)) {
        bbl_http_call_set_error(call, 401, "refused", "the operator token");
        return true;
    }
    if (strcmp(call->path.ptr, "/v1/state") == 0) {
        return enqueue_call(&d->shared.to_control, BBL_MESSAGE_DUMP, call);
    }
    return enqueue_call(&d->shared.to_control, BBL_MESSAGE_ADMIN, call);
}

/* ---- claims ---- */

static void
send_claim_outcome(daemon_state *d, uint64_t seq, bbl_claim_outcome outcome,
                   bbl_str text)
{
    bbl_thread_message *message =
        bbl_thread_message_new(BBL_MESSAGE_CLAIM_OUTCOME);

    message->seq = seq;
    message->claim_outcome = outcome;
    bbl_buf_append(&message->answer_text, text.ptr, text.size);
    if (!bbl_mailbox_enqueue(&d->shared.to_traffic, message)) {
        bbl_thread_message_free(message);
    }
}

static bbl_claim_outcome
outcome_from_reply(const bblx_propose_reply *r)
{
    if (r->status == BBL_EFULL || r->status == BBL_EINVAL) {
        return BBL_CLAIM_FAILED;
    }
    if (r->status != 0) {
        return BBL_CLAIM_UNCONFIRMED;
    }
    if (r->fresh) {
        return BBL_CLAIM_GRANTED;
    }
    return r->done ? BBL_CLAIM_RECORDED : BBL_CLAIM_EXISTS;
}

static void
on_proposal_complete(void *ctx, uint64_t number,
                     const bblx_propose_reply *reply)
{
    daemon_state *d = ctx;

    if (bbl_admin_complete_proposal(&d->admin, number, reply)) {
        return;
    }
    for (size_t i = 0; i < d->pending_claims.size; i++) {
        pending_claim w = *BBL_VEC_AT(pending_claim, &d->pending_claims, i);

        if (w.proposal_number == number) {
            bbl_vec_swap_remove(&d->pending_claims, i);
            send_claim_outcome(d, w.claim_seq, outcome_from_reply(reply),
                               bbl_wire_text_str(&reply->answer));
            return;
        }
    }
}

static void
propose_claim(daemon_state *d, const bbl_thread_message *message)
{
    bblx_command command;
    bblx_claim *c = &command.bblx_command_u.claim;
    bbl_buf data = BBL_BUF_INIT;
    pending_claim wait = {0, message->seq};
    size_t place = d->pending_claims.size;

    memset(&command, 0, sizeof(command));
    command.kind = BBLX_CLAIM;
    c->customer = bbl_name_to_wire(&message->customer);
    c->request.request_len = (u_int)message->request_id.size;
    c->request.request_val = message->request_id.ptr;
    c->host = d->options->host;
    c->incarnation = d->incarnation;
    c->nonce = ++d->last_claim_nonce;
    if (BBL_XDR_ENCODE(&data, bblx_command, &command) != 0) {
        send_claim_outcome(d, message->seq, BBL_CLAIM_FAILED,
                           (bbl_str){NULL, 0});
    }
    else {
        bbl_vec_push(&d->pending_claims, &wait);
        wait.proposal_number =
            bbl_control_propose(d->control, d->now, bbl_buf_str(&data));
        BBL_VEC_AT(pending_claim, &d->pending_claims, place)->proposal_number =
            wait.proposal_number;
    }
    bbl_buf_free(&data);
}

static void
propose_outcome(daemon_state *d, const bbl_thread_message *message)
{
    bblx_command command;
    bblx_outcome *o = &command.bblx_command_u.outcome;
    bbl_buf data = BBL_BUF_INIT;

    memset(&command, 0, sizeof(command));
    command.kind = BBLX_OUTCOME;
    o->customer = bbl_name_to_wire(&message->customer);
    o->request.request_len = (u_int)message->request_id.size;
    o->request.request_val = message->request_id.ptr;
    o->answer = bbl_wire_text_borrow(bbl_buf_str(&message->answer_text));
    if (BBL_XDR_ENCODE(&data, bblx_command, &command) == 0) {
        bbl_control_propose(d->control, d->now, bbl_buf_str(&data));
    }
    bbl_buf_free(&data);
}

/* ---- messages from other threads ---- */

static void enter_phase(daemon_state *d, shutdown_phase phase);

static void
start_shutdown(daemon_state *d)
{
    if (d->phase == PHASE_SERVING) {
        enter_phase(d, PHASE_DRAIN_LAG);
    }
}

static void
handle_idle(daemon_state *d, uint64_t stage)
{
    if (stage == 1 && d->phase == PHASE_FINISHING) {
        enter_phase(d, PHASE_DRAINING);
    }
    if (stage == 2 && d->phase == PHASE_DRAINING) {
        enter_phase(d, PHASE_RELEASING);
    }
}

static void
handle_message(daemon_state *d, bbl_thread_message *message)
{
    switch (message->kind) {
    case BBL_MESSAGE_ADMIN:
        if (strcmp(message->call->path.ptr, "/v1/admin/drain") == 0 &&
            strcmp(message->call->method.ptr, "POST") == 0) {
            start_shutdown(d);
        }
        bbl_admin_handle_call(&d->admin, d->now, message->call);
        break;
    case BBL_MESSAGE_DUMP:
        bbl_buf_append_cstr(&message->call->response_body, "{");
        bbl_dump_append_control(&message->call->response_body, d->control,
                                d->now, bbl_mesh_get_counters(d->mesh));
        if (bbl_mailbox_enqueue(&d->shared.to_traffic, message)) {
            return;
        }
        bbl_http_call_set_error(message->call, 503, "not-run", "overloaded");
        bbl_http_call_resume(message->call);
        break;
    case BBL_MESSAGE_CLAIM:
        propose_claim(d, message);
        break;
    case BBL_MESSAGE_REQUEST_OUTCOME:
        propose_outcome(d, message);
        break;
    case BBL_MESSAGE_REPORT:
        bbl_control_report(d->control, &message->report);
        break;
    case BBL_MESSAGE_IDLE:
        handle_idle(d, message->seq);
        break;
    default:
        break;
    }
    bbl_thread_message_free(message);
}

static void
receive_messages(daemon_state *d)
{
    for (int i = 0; i < MESSAGES_PER_ROUND; i++) {
        bbl_thread_message *message =
            bbl_mailbox_dequeue(&d->shared.to_control);

        if (message == NULL) {
            return;
        }
        handle_message(d, message);
    }
    bbl_loop_wake(d->loop);
}

/* ---- the published view ---- */

static void
refresh_lists(daemon_state *d)
{
    const bbl_state *state = bbl_control_state(d->control);
    uint64_t version = bbl_state_lists_version(state);
    bbl_lists *lists;
    bbl_str plans;
    bbl_str allowances;

    if (version == d->lists_version) {
        return;
    }
    bbl_state_get_list_texts(state, &plans, &allowances);
    if (bbl_lists_parse(&lists, plans, allowances) != 0) {
        return; /* not reached: the state has parsed the same text */
    }
    bbl_shared_lists_release(d->lists);
    d->lists = bbl_shared_lists_new(lists);
    d->lists_version = version;
    bbl_log(BBL_EV_LISTS, "version=%llu", (unsigned long long)version);
}

static void
add_searcher(daemon_state *d, bbl_view *view, const bblx_assign *assign)
{
    const bblx_report *report = bbl_rows_get_report(
        bbl_control_rows(d->control), assign->place.searcher);
    bblx_assign own = *assign;

    /* With the baseline policy, each host acts as owner of all searchers. */
    if (strcmp(d->options->policy, "baseline") == 0) {
        own.owner = d->options->host;
        own.incarnation = d->incarnation;
        own.takeover_delay_us = 0;
    }
    bbl_view_add_searcher(view, &own, report);
}

static void
publish_view(daemon_state *d)
{
    uint64_t revision = bbl_control_revision(d->control);
    const bbl_state *state = bbl_control_state(d->control);
    const bblx_assign *assign;
    const bblx_member_row *member;
    bbl_view *view;
    size_t pos = 0;

    if (revision == d->published_revision ||
        d->now < d->published_at + PUBLISH_INTERVAL_MIN_US) {
        return;
    }
    d->published_revision = revision;
    d->published_index = bbl_state_applied_index(state);
    d->published_at = d->now;
    refresh_lists(d);
    view = bbl_view_new(revision);
    bbl_view_set_lists(view, d->lists ? d->lists->lists : NULL);
    while ((assign = bbl_state_next_assignment(state, &pos)) != NULL) {
        add_searcher(d, view, assign);
    }
    pos = 0;
    while ((member = bbl_rows_next_member(bbl_control_rows(d->control),
                                          &pos)) != NULL) {
        bbl_view_add_member(view, member);
    }
    bbl_view_finish(view);
    bbl_shared_publish_view(&d->shared, view, d->lists);
    bbl_loop_wake(d->traffic_loop);
}

static void
log_changes(daemon_state *d)
{
    bbl_control_status s;

    bbl_control_get_status(d->control, d->now, &s);
    if (s.ready != d->logged_readiness) {
        bbl_log(s.ready == BBL_READY ? BBL_EV_READY : BBL_EV_NOT_READY,
                "state=%s lists=%llu", bbl_readiness_name(s.ready),
                (unsigned long long)s.lists_version);
        d->logged_readiness = s.ready;
    }
    if (s.leader != d->logged_leader) {
        bbl_log(BBL_EV_LEADER, "leader=%u term=%llu", s.leader,
                (unsigned long long)s.quorum.term);
        d->logged_leader = s.leader;
    }
    if (s.quorum.failed && !d->journal_failure_logged) {
        bbl_log(BBL_EV_JOURNAL_FAILED, "reason=\"%s\"", bbl_error_last());
        d->journal_failure_logged = true;
    }
}

/*
 * Confirms the log index that the traffic thread has adopted; heartbeats
 * report it to the leader.
 */
static void
confirm_applied(daemon_state *d)
{
    uint64_t adopted = ck_pr_load_64(&d->shared.adopted_revision);

    if (adopted != d->published_revision) {
        return;
    }
    if (bbl_control_revision(d->control) == d->published_revision) {
        d->published_index =
            bbl_state_applied_index(bbl_control_state(d->control));
    }
    bbl_control_confirm_applied(d->control, d->published_index);
}

/* Publishes the lease and the readiness to the other threads. */
static void
publish_lease(daemon_state *d)
{
    bool current = bbl_control_revision(d->control) == d->published_revision;
    bbl_usec until = bbl_control_lease_until(d->control);

    /*
     * A lease is valid only with the configuration for which it was granted,
     * so it is not extended before the view of that configuration is
     * published to the traffic thread.
     */
    if (current || until == 0) {
        ck_pr_store_64(&d->shared.lease_until, until);
    }
    ck_pr_store_32(&d->shared.readiness,
                   (uint32_t)bbl_control_get_readiness(d->control, d->now));
}

/* ---- shutdown ---- */

static void
notify_traffic(daemon_state *d, bbl_thread_message_kind kind)
{
    bbl_mailbox_enqueue(&d->shared.to_traffic, bbl_thread_message_new(kind));
}

static void
enter_phase(daemon_state *d, shutdown_phase phase)
{
    d->phase = phase;
    d->phase_since = d->now;
    switch (phase) {
    case PHASE_DRAIN_LAG:
        bbl_log(BBL_EV_DRAIN, "lag_ms=%u", d->options->drain_lag_ms);
        bbl_control_drain(d->control, d->now);
        break;
    case PHASE_FINISHING:
        notify_traffic(d, BBL_MESSAGE_REFUSE_QUERIES);
        break;
    case PHASE_DRAINING:
        notify_traffic(d, BBL_MESSAGE_DRAIN);
        break;
    case PHASE_RELEASING:
        bbl_control_mark_released(d->control, d->now);
        break;
    default:
        break;
    }
}

static bool
owns_searchers(const daemon_state *d)
{
    const bblx_assign *a;
    size_t pos = 0;

    while ((a = bbl_state_next_assignment(bbl_control_state(d->control),
                                          &pos)) != NULL) {
        if (a->owner == d->options->host && a->incarnation == d->incarnation) {
            return true;
        }
    }
    return false;
}

static void
advance_shutdown(daemon_state *d)
{
    bbl_usec elapsed = d->now - d->phase_since;

    if (d->phase == PHASE_DRAIN_LAG &&
        elapsed >= d->options->drain_lag_ms * BBL_USEC_PER_MS) {
        enter_phase(d, PHASE_FINISHING);
    }
    if (d->phase == PHASE_FINISHING && elapsed >= FINISH_TIMEOUT_US) {
        enter_phase(d, PHASE_DRAINING);
    }
    if (d->phase == PHASE_RELEASING &&
        (!owns_searchers(d) || elapsed >= RELEASE_TIMEOUT_US)) {
        enter_phase(d, PHASE_LEAVING);
    }
    if (d->phase == PHASE_LEAVING && bbl_control_leads(d->control, d->now)) {
        bbl_control_transfer_leadership(d->control, d->now);
    }
    if (d->phase == PHASE_LEAVING && elapsed >= LEAVE_DELAY_US) {
        enter_phase(d, PHASE_DONE);
    }
}

static void
on_signal(void *ctx, int fd, uint32_t events)
{
    daemon_state *d = ctx;
    struct signalfd_siginfo info;

    (void)events;
    if (read(fd, &info, sizeof(info)) != sizeof(info)) {
        return;
    }
    start_shutdown(d);
}

/* ---- the control thread ---- */

static void
on_mesh_message(void *ctx, uint32_t from, uint64_t incarnation,
                const bblx_message *m)
{
    daemon_state *d = ctx;

    (void)incarnation;
    bbl_control_step(d->control, bbl_clock_now(), from, m);
}

static void
send_control_message(void *ctx, uint32_t host, bblx_address to,
                     const bblx_message *message)
{
    daemon_state *d = ctx;

    bbl_mesh_send(d->mesh, bbl_clock_now(), host, to, message);
}

static size_t
get_control_backlog(void *ctx, uint32_t host)
{
    const daemon_state *d = ctx;

    return bbl_mesh_get_backlog(d->mesh, host);
}

static void
on_searcher_list(void *ctx, const bblx_place *places, size_t count)
{
    daemon_state *d = ctx;

    bbl_control_set_places(d->control, places, count);
}

static void
run_round(daemon_state *d)
{
    bbl_loop_run_once(d->loop, LOOP_WAIT_MAX_US);
    d->now = bbl_clock_now();
    receive_messages(d);
    bbl_control_tick(d->control, d->now, bbl_clock_wall_ms());
    if (d->platform != NULL) {
        bbl_platform_client_tick(d->platform, d->now);
        bbl_http_client_tick(d->http_client);
    }
    bbl_mesh_tick(d->mesh, d->now);
    publish_view(d);
    publish_lease(d);
    confirm_applied(d);
    bbl_shared_reclaim_views(&d->shared);
    log_changes(d);
    advance_shutdown(d);
}

static void *
traffic_main(void *ctx)
{
    bbl_traffic_run(ctx);
    return NULL;
}

/* ---- start and stop ---- */

static int
open_signals(daemon_state *d)
{
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    d->signal_fd = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
    if (d->signal_fd < 0) {
        return bbl_error_set(BBL_EIO, "signalfd: %s", strerror(errno));
    }
    return bbl_loop_watch(d->loop, d->signal_fd, EPOLLIN, on_signal, d);
}

static int
open_control(daemon_state *d)
{
    const bbl_daemon_options *o = d->options;
    bbl_control_options c = BBL_CONTROL_OPTIONS_INIT;
    bbl_disk *disk = NULL;
    int error = 0;

    c.host = o->host;
    c.incarnation = d->incarnation;
    c.seed = d->incarnation ^ o->host;
    c.zone = o->zone;
    c.control = o->control_address;
    c.traffic = o->traffic_address;
    c.http = o->http_address;
    c.seeds = o->voters;
    c.heartbeat_interval = o->heartbeat_ms * BBL_USEC_PER_MS;
    c.lease = o->lease_ms * BBL_USEC_PER_MS;
    c.takeover_delay = o->exchange_max_ms * BBL_USEC_PER_MS;
    c.clock_ppm = o->clock_error_ppm;
    c.relay_members = o->relay_members;
    c.compact_entries = o->compact_entries;
    c.port.send = send_control_message;
    c.port.backlog = get_control_backlog;
    c.port.complete_proposal = on_proposal_complete;
    c.port.ctx = d;
    if (o->data_dir != NULL) {
        error = bbl_disk_open(&disk, o->data_dir);
    }
    if (error == 0) {
        error = bbl_control_open(&d->control, &c, disk, d->now);
    }
    if (error == 0) {
        bbl_admin_init(&d->admin, d->control, o->host);
    }
    return error;
}

static int
open_mesh(daemon_state *d)
{
    bbl_mesh_options m;

    memset(&m, 0, sizeof(m));
    m.host = d->options->host;
    m.incarnation = d->incarnation;
    m.cluster = d->options->cluster;
    memcpy(m.key, d->options->key, sizeof(m.key));
    m.listen_address = d->options->control_address;
    m.ack_timeout = MESH_ACK_TIMEOUT_US;
    m.frame_ttl = MESH_KEEP_US;
    m.receive = on_mesh_message;
    m.ctx = d;
    return bbl_mesh_open(&d->mesh, d->loop, &m);
}

static int
open_platform(daemon_state *d)
{
    int error;

    if (d->options->platform_url == NULL || d->options->data_dir == NULL) {
        return 0;
    }
    error = bbl_http_client_open(&d->http_client, d->loop,
                                 d->options->control_address.ip);
    if (error == 0) {
        bbl_platform_client_new(
            &d->platform, d->http_client, d->options->platform_url,
            PLATFORM_POLL_INTERVAL_US, on_searcher_list, d);
    }
    return error;
}

static int
open_servers(daemon_state *d)
{
    int error =
        bbl_http_server_open(&d->caller_server, d->options->http_address,
                             d->options->http_threads, on_caller, d);

    if (error == 0) {
        error = bbl_http_server_open(
            &d->operator_server, d->options->admin_address, 2, on_operator, d);
    }
    return error;
}

static int
start(daemon_state *d)
{
    int error = bbl_loop_open(&d->loop);

    if (error == 0) {
        error = bbl_loop_open(&d->traffic_loop);
    }
    if (error == 0) {
        error = bbl_shared_init(&d->shared, d->loop, d->traffic_loop);
    }
    if (error == 0) {
        error = open_signals(d);
    }
    if (error == 0) {
        error = open_control(d);
    }
    if (error == 0) {
        error = open_mesh(d);
    }
    if (error == 0) {
        error = open_platform(d);
    }
    if (error == 0) {
        error = bbl_traffic_open(&d->traffic, d->options, d->incarnation,
                                 &d->shared, d->traffic_loop);
    }
    if (error == 0 && pthread_create(&d->traffic_thread, NULL, traffic_main,
                                     d->traffic) != 0) {
        error = bbl_error_set(BBL_EIO, "pthread_create");
    }
    if (error != 0) {
        return error;
    }
    d->traffic_running = true;
    return open_servers(d);
}

static void
stop(daemon_state *d)
{
    if (d->caller_server != NULL) {
        bbl_http_server_quiesce(d->caller_server);
    }
    if (d->operator_server != NULL) {
        bbl_http_server_quiesce(d->operator_server);
    }
    if (d->control != NULL) {
        bbl_admin_free(&d->admin);
    }
    bbl_http_server_free(d->operator_server);
    bbl_http_server_free(d->caller_server);
    if (d->traffic_running) {
        notify_traffic(d, BBL_MESSAGE_STOP);
        pthread_join(d->traffic_thread, NULL);
    }
    bbl_traffic_free(d->traffic);
    bbl_platform_client_free(d->platform);
    bbl_http_client_free(d->http_client);
    bbl_mesh_free(d->mesh);
    bbl_control_free(d->control);
    bbl_shared_free(&d->shared);
    bbl_shared_lists_release(d->lists);
    if (d->signal_fd >= 0) {
        close(d->signal_fd);
    }
    bbl_loop_free(d->traffic_loop);
    bbl_loop_free(d->loop);
    bbl_vec_free(&d->pending_claims);
}

int
bbl_daemon_run(const bbl_daemon_options *options)
{
    bbl_usec started_at = bbl_clock_now();
    daemon_state d;
    int error;

    memset(&d, 0, sizeof(d));
    d.options = options;
    d.incarnation = bbl_clock_make_incarnation();
    d.now = bbl_clock_now();
    d.signal_fd = -1;
    d.logged_readiness = BBL_UNREADY_NO_LEASE;
    d.pending_claims = (bbl_vec)BBL_VEC_INIT(pending_claim);
    bbl_log_setup(options->log_level, options->host);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    error = start(&d);
    if (error == 0) {
        bbl_log(BBL_EV_START, "cluster=%.*s data_centre=%.*s voter=%s",
                options->cluster.size, options->cluster.ptr,
                options->zone.size, options->zone.ptr,
                options->data_dir ? "yes" : "no");
        while (d.phase != PHASE_DONE) {
            run_round(&d);
        }
        bbl_log(BBL_EV_STOP, "uptime_ms=%llu",
                (unsigned long long)((bbl_clock_now() - started_at) /
                                     BBL_USEC_PER_MS));
    }
    stop(&d);
    curl_global_cleanup();
    return error;
}
