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

#define CONTROL_WAIT_US (5 * BBL_USEC_PER_MS)
#define CONTROL_ACK_TIMEOUT_US (150 * BBL_USEC_PER_MS)
#define CONTROL_KEEP_US (300 * BBL_USEC_PER_MS)
#define PLATFORM_EVERY_US (500 * BBL_USEC_PER_MS)
#define PUBLISH_EVERY_US (5 * BBL_USEC_PER_MS) /* least time between views */
#define NOTES_AT_ONCE 256
#define RELEASE_WAIT_US (1500 * BBL_USEC_PER_MS) /* for owners to change */
#define LINGER_US (250 * BBL_USEC_PER_MS)      /* for others to learn of it */
#define FINISH_WAIT_US (65 * BBL_USEC_PER_SEC) /* for accepted queries */

typedef enum {
    PHASE_SERVING,
    PHASE_LAG,       /* not ready; the balancer notices */
    PHASE_FINISHING, /* accepted queries end */
    PHASE_DRAINING,  /* exchanges end */
    PHASE_RELEASING, /* other daemons take the searchers over */
    PHASE_LEAVING,   /* others learn of it; the leadership goes on */
    PHASE_DONE
} shutdown_phase;

/* A claim under way: which query asked, under which proposal. */
typedef struct {
    uint64_t number;
    uint64_t seq;
} claim_wait;

typedef struct {
    const bbl_daemon_options *options;
    uint64_t incarnation;
    bbl_usec now;
    bbl_loop *loop;
    bbl_loop *traffic_loop;
    bbl_mesh *mesh;
    bbl_http_client *http;
    bbl_platform_client *platform;
    bbl_control *control;
    bbl_admin admin;
    bbl_shared shared;
    bbl_traffic *traffic;
    pthread_t traffic_thread;
    bool traffic_running;
    bbl_http_server *callers;
    bbl_http_server *operators;
    int signals;
    shutdown_phase phase;
    bbl_usec phase_since;
    uint64_t published;         /* control revision of the published view */
    uint64_t published_applied; /* log index in that view */
    bbl_usec published_at;
    bbl_shared_lists *lists;
    uint64_t lists_version;
    bbl_vec claims; /* claim_wait */
    uint64_t nonce;
    bbl_readiness ready;
    uint32_t leader;
    bool journal_failed;
} daemon_state;

/* ---- HTTP routes, on the servers' threads ---- */

static bool
hand_over(bbl_mailbox *box, bbl_thread_message_kind kind, bbl_http_call *call)
{
    bbl_thread_message *note = bbl_thread_message_new(kind);

    note->call = call;
    bbl_http_call_suspend(call);
    if (!bbl_mailbox_enqueue(box, note)) {
        bbl_thread_message_free(note);
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
    bbl_query_context *user = bbl_calloc(1, sizeof(*user));

    call->user_data = user;
    call->user_data_free = bbl_query_context_free;
    user->arrived_at = bbl_clock_now();
    if (bbl_query_request_parse(&user->request, bbl_buf_str(&call->body)) !=
        0) {
        bbl_http_call_set_error(call, 400, "bad-request", bbl_error_last());
        return true;
    }
    return hand_over(&d->shared.to_traffic, BBL_MESSAGE_QUERY, call);
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
        return hand_over(&d->shared.to_traffic, BBL_MESSAGE_METRICS, call);
    }
    if (strcmp(path, "/v1/state") == 0) {
        return hand_over(&d->shared.to_control, BBL_MESSAGE_DUMP, call);
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
        return hand_over(&d->shared.to_control, BBL_MESSAGE_DUMP, call);
    }
    return hand_over(&d->shared.to_control, BBL_MESSAGE_ADMIN, call);
}

/* ---- claims ---- */

static void
send_claimed(daemon_state *d, uint64_t seq, bbl_claim_outcome outcome,
             bbl_str text)
{
    bbl_thread_message *note =
        bbl_thread_message_new(BBL_MESSAGE_CLAIM_OUTCOME);

    note->seq = seq;
    note->claim_outcome = outcome;
    bbl_buf_append(&note->answer_text, text.ptr, text.size);
    if (!bbl_mailbox_enqueue(&d->shared.to_traffic, note)) {
        bbl_thread_message_free(note);
    }
}

static bbl_claim_outcome
claim_outcome(const bblx_propose_reply *r)
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
on_proposed(void *ctx, uint64_t number, const bblx_propose_reply *reply)
{
    daemon_state *d = ctx;

    if (bbl_admin_complete_proposal(&d->admin, number, reply)) {
        return;
    }
    for (size_t i = 0; i < d->claims.size; i++) {
        claim_wait w = *BBL_VEC_AT(claim_wait, &d->claims, i);

        if (w.number == number) {
            bbl_vec_swap_remove(&d->claims, i);
            send_claimed(d, w.seq, claim_outcome(reply),
                         bbl_wire_text_str(&reply->answer));
            return;
        }
    }
}

static void
propose_claim(daemon_state *d, const bbl_thread_message *note)
{
    bblx_command command;
    bblx_claim *c = &command.bblx_command_u.claim;
    bbl_buf data = BBL_BUF_INIT;
    claim_wait wait = {0, note->seq};
    size_t place = d->claims.size;

    memset(&command, 0, sizeof(command));
    command.kind = BBLX_CLAIM;
    c->customer = bbl_name_to_wire(&note->customer);
    c->request.request_len = (u_int)note->request_id.size;
    c->request.request_val = note->request_id.ptr;
    c->host = d->options->host;
    c->incarnation = d->incarnation;
    c->nonce = ++d->nonce;
    if (BBL_XDR_ENCODE(&data, bblx_command, &command) != 0) {
        send_claimed(d, note->seq, BBL_CLAIM_FAILED, (bbl_str){NULL, 0});
    }
    else {
        bbl_vec_push(&d->claims, &wait);
        wait.number =
            bbl_control_propose(d->control, d->now, bbl_buf_str(&data));
        BBL_VEC_AT(claim_wait, &d->claims, place)->number = wait.number;
    }
    bbl_buf_free(&data);
}

static void
propose_outcome(daemon_state *d, const bbl_thread_message *note)
{
    bblx_command command;
    bblx_outcome *o = &command.bblx_command_u.outcome;
    bbl_buf data = BBL_BUF_INIT;

    memset(&command, 0, sizeof(command));
    command.kind = BBLX_OUTCOME;
    o->customer = bbl_name_to_wire(&note->customer);
    o->request.request_len = (u_int)note->request_id.size;
    o->request.request_val = note->request_id.ptr;
    o->answer = bbl_wire_text_borrow(bbl_buf_str(&note->answer_text));
    if (BBL_XDR_ENCODE(&data, bblx_command, &command) == 0) {
        bbl_control_propose(d->control, d->now, bbl_buf_str(&data));
    }
    bbl_buf_free(&data);
}

/* ---- notes ---- */

static void enter_phase(daemon_state *d, shutdown_phase phase);

static void
start_shutdown(daemon_state *d)
{
    if (d->phase == PHASE_SERVING) {
        enter_phase(d, PHASE_LAG);
    }
}

static void
take_idle(daemon_state *d, uint64_t which)
{
    if (which == 1 && d->phase == PHASE_FINISHING) {
        enter_phase(d, PHASE_DRAINING);
    }
    if (which == 2 && d->phase == PHASE_DRAINING) {
        enter_phase(d, PHASE_RELEASING);
    }
}

static void
take_note(daemon_state *d, bbl_thread_message *note)
{
    switch (note->kind) {
    case BBL_MESSAGE_ADMIN:
        if (strcmp(note->call->path.ptr, "/v1/admin/drain") == 0 &&
            strcmp(note->call->method.ptr, "POST") == 0) {
            start_shutdown(d);
        }
        bbl_admin_handle_call(&d->admin, d->now, note->call);
        break;
    case BBL_MESSAGE_DUMP:
        bbl_buf_append_cstr(&note->call->response_body, "{");
        bbl_dump_append_control(&note->call->response_body, d->control, d->now,
                                bbl_mesh_get_counters(d->mesh));
        if (bbl_mailbox_enqueue(&d->shared.to_traffic, note)) {
            return;
        }
        bbl_http_call_set_error(note->call, 503, "not-run", "overloaded");
        bbl_http_call_resume(note->call);
        break;
    case BBL_MESSAGE_CLAIM:
        propose_claim(d, note);
        break;
    case BBL_MESSAGE_REQUEST_OUTCOME:
        propose_outcome(d, note);
        break;
    case BBL_MESSAGE_REPORT:
        bbl_control_report(d->control, &note->report);
        break;
    case BBL_MESSAGE_IDLE:
        take_idle(d, note->seq);
        break;
    default:
        break;
    }
    bbl_thread_message_free(note);
}

static void
take_notes(daemon_state *d)
{
    for (int i = 0; i < NOTES_AT_ONCE; i++) {
        bbl_thread_message *note = bbl_mailbox_dequeue(&d->shared.to_control);

        if (note == NULL) {
            return;
        }
        take_note(d, note);
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
        return; /* the state itself parsed the same text */
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

    if (strcmp(d->options->policy, "baseline") == 0) {
        own.owner = d->options->host;
        own.incarnation = d->incarnation;
        own.takeover_delay_us = 0;
    }
    bbl_view_add_searcher(view, &own, report);
}

static void
publish(daemon_state *d)
{
    uint64_t revision = bbl_control_revision(d->control);
    const bbl_state *state = bbl_control_state(d->control);
    const bblx_assign *assign;
    const bblx_member_row *member;
    bbl_view *view;
    size_t pos = 0;

    if (revision == d->published ||
        d->now < d->published_at + PUBLISH_EVERY_US) {
        return;
    }
    d->published = revision;
    d->published_applied = bbl_state_applied_index(state);
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
    if (s.ready != d->ready) {
        bbl_log(s.ready == BBL_READY ? BBL_EV_READY : BBL_EV_NOT_READY,
                "state=%s lists=%llu", bbl_readiness_name(s.ready),
                (unsigned long long)s.lists_version);
        d->ready = s.ready;
    }
    if (s.leader != d->leader) {
        bbl_log(BBL_EV_LEADER, "leader=%u term=%llu", s.leader,
                (unsigned long long)s.quorum.term);
        d->leader = s.leader;
    }
    if (s.quorum.failed && !d->journal_failed) {
        bbl_log(BBL_EV_JOURNAL_FAILED, "reason=\"%s\"", bbl_error_last());
        d->journal_failed = true;
    }
}

/* Tells the leader, through the beats, what the traffic thread follows. */
static void
confirm_view(daemon_state *d)
{
    uint64_t adopted = ck_pr_load_64(&d->shared.adopted_revision);

    if (adopted != d->published) {
        return;
    }
    if (bbl_control_revision(d->control) == d->published) {
        d->published_applied =
            bbl_state_applied_index(bbl_control_state(d->control));
    }
    bbl_control_confirm_applied(d->control, d->published_applied);
}

/* Hands the lease and the readiness to the other threads. */
static void
publish_lease(daemon_state *d)
{
    bool current = bbl_control_revision(d->control) == d->published;
    bbl_usec until = bbl_control_lease_until(d->control);

    /*
     * A lease counts only with the configuration it was granted for, so it
     * is not extended before the traffic threads can see that view.
     */
    if (current || until == 0) {
        ck_pr_store_64(&d->shared.lease_until, until);
    }
    ck_pr_store_32(&d->shared.readiness,
                   (uint32_t)bbl_control_get_readiness(d->control, d->now));
}

/* ---- shutdown ---- */

static void
tell_traffic(daemon_state *d, bbl_thread_message_kind kind)
{
    bbl_mailbox_enqueue(&d->shared.to_traffic, bbl_thread_message_new(kind));
}

static void
enter_phase(daemon_state *d, shutdown_phase phase)
{
    d->phase = phase;
    d->phase_since = d->now;
    switch (phase) {
    case PHASE_LAG:
        bbl_log(BBL_EV_DRAIN, "lag_ms=%u", d->options->drain_lag_ms);
        bbl_control_drain(d->control, d->now);
        break;
    case PHASE_FINISHING:
        tell_traffic(d, BBL_MESSAGE_REFUSE_QUERIES);
        break;
    case PHASE_DRAINING:
        tell_traffic(d, BBL_MESSAGE_DRAIN);
        break;
    case PHASE_RELEASING:
        bbl_control_mark_released(d->control, d->now);
        break;
    case PHASE_LEAVING:
        if (bbl_control_quorum(d->control) != NULL) {
            bbl_quorum_transfer_leadership(bbl_control_quorum(d->control),
                                           d->now);
        }
        break;
    default:
        break;
    }
}

static bool
owns_any(const daemon_state *d)
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
tick_shutdown(daemon_state *d)
{
    bbl_usec spent = d->now - d->phase_since;

    if (d->phase == PHASE_LAG &&
        spent >= d->options->drain_lag_ms * BBL_USEC_PER_MS) {
        enter_phase(d, PHASE_FINISHING);
    }
    if (d->phase == PHASE_FINISHING && spent >= FINISH_WAIT_US) {
        enter_phase(d, PHASE_DRAINING);
    }
    if (d->phase == PHASE_RELEASING &&
        (!owns_any(d) || spent >= RELEASE_WAIT_US)) {
        enter_phase(d, PHASE_LEAVING);
    }
    if (d->phase == PHASE_LEAVING && spent >= LINGER_US) {
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
on_mesh(void *ctx, uint32_t from, uint64_t incarnation, const bblx_message *m)
{
    daemon_state *d = ctx;

    (void)incarnation;
    bbl_control_step(d->control, bbl_clock_now(), from, m);
}

static void
control_send(void *ctx, uint32_t host, bblx_address to,
             const bblx_message *message)
{
    daemon_state *d = ctx;

    bbl_mesh_send(d->mesh, bbl_clock_now(), host, to, message);
}

static void
on_places(void *ctx, const bblx_place *places, size_t count)
{
    daemon_state *d = ctx;

    bbl_control_set_places(d->control, places, count);
}

static void
run_once(daemon_state *d)
{
    bbl_loop_run_once(d->loop, CONTROL_WAIT_US);
    d->now = bbl_clock_now();
    take_notes(d);
    bbl_control_tick(d->control, d->now, bbl_clock_wall_ms());
    if (d->platform != NULL) {
        bbl_platform_client_tick(d->platform, d->now);
        bbl_http_client_tick(d->http);
    }
    bbl_mesh_tick(d->mesh, d->now);
    publish(d);
    publish_lease(d);
    confirm_view(d);
    bbl_shared_reclaim_views(&d->shared);
    log_changes(d);
    tick_shutdown(d);
}

static void *
traffic_main(void *ctx)
{
    bbl_traffic_run(ctx);
    return NULL;
}

/* ---- start and end ---- */

static int
open_signals(daemon_state *d)
{
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    d->signals = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
    if (d->signals < 0) {
        return bbl_error_set(BBL_EIO, "signalfd: %s", strerror(errno));
    }
    return bbl_loop_watch(d->loop, d->signals, EPOLLIN, on_signal, d);
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
    c.port.send = control_send;
    c.port.complete_proposal = on_proposed;
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
    m.ack_timeout = CONTROL_ACK_TIMEOUT_US;
    m.frame_ttl = CONTROL_KEEP_US;
    m.receive = on_mesh;
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
    error = bbl_http_client_open(&d->http, d->loop,
                                 d->options->control_address.ip);
    if (error == 0) {
        bbl_platform_client_new(&d->platform, d->http,
                                d->options->platform_url, PLATFORM_EVERY_US,
                                on_places, d);
    }
    return error;
}

static int
open_servers(daemon_state *d)
{
    int error = bbl_http_server_open(&d->callers, d->options->http_address,
                                     d->options->http_threads, on_caller, d);

    if (error == 0) {
        error = bbl_http_server_open(&d->operators, d->options->admin_address,
                                     2, on_operator, d);
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
    if (d->callers != NULL) {
        bbl_http_server_quiesce(d->callers);
    }
    if (d->operators != NULL) {
        bbl_http_server_quiesce(d->operators);
    }
    if (d->control != NULL) {
        bbl_admin_free(&d->admin);
    }
    bbl_http_server_free(d->operators);
    bbl_http_server_free(d->callers);
    if (d->traffic_running) {
        tell_traffic(d, BBL_MESSAGE_STOP);
        pthread_join(d->traffic_thread, NULL);
    }
    bbl_traffic_free(d->traffic);
    bbl_platform_client_free(d->platform);
    bbl_http_client_free(d->http);
    bbl_mesh_free(d->mesh);
    bbl_control_free(d->control);
    bbl_shared_free(&d->shared);
    bbl_shared_lists_release(d->lists);
    if (d->signals >= 0) {
        close(d->signals);
    }
    bbl_loop_free(d->traffic_loop);
    bbl_loop_free(d->loop);
    bbl_vec_free(&d->claims);
}

int
bbl_daemon_run(const bbl_daemon_options *options)
{
    daemon_state d;
    int error;

    memset(&d, 0, sizeof(d));
    d.options = options;
    d.incarnation = bbl_clock_wall_ms() * 1000;
    d.now = bbl_clock_now();
    d.signals = -1;
    d.ready = BBL_UNREADY_NO_LEASE;
    d.claims = (bbl_vec)BBL_VEC_INIT(claim_wait);
    bbl_log_setup(options->log_level, options->host);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    error = start(&d);
    if (error == 0) {
        bbl_log(BBL_EV_START, "cluster=%.*s data_centre=%.*s voter=%s",
                options->cluster.size, options->cluster.ptr,
                options->zone.size, options->zone.ptr,
                options->data_dir ? "yes" : "no");
        while (d.phase != PHASE_DONE) {
            run_once(&d);
        }
        bbl_log(
            BBL_EV_STOP, "uptime_ms=%llu",
            (unsigned long long)((bbl_clock_wall_ms() * 1000 - d.incarnation) /
                                 1000));
    }
    stop(&d);
    curl_global_cleanup();
    return error;
}
