#include "daemon/node.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <sodium.h>

#include "bbl/errors.h"
#include "control/control.h"
#include "control/list_plan.h"
#include "daemon/exit_plan.h"
#include "daemon/forward_metrics.h"
#include "daemon/gateway.h"
#include "daemon/operator_api.h"
#include "daemon/publisher.h"
#include "net/catalog_client.h"
#include "net/mesh.h"
#include "util/alloc.h"
#include "util/clock.h"

/* Longest waits for an event in one turn of the loop. A leader sends
 * heartbeats to the voters every 50 ms. */
#define VOTER_LOOP_WAIT_US (10 * BBL_USEC_PER_MS)
/* Half of the default heartbeat interval of a member. */
#define MEMBER_LOOP_WAIT_US (100 * BBL_USEC_PER_MS)
/* Shorter, so that a host without a leader soon asks the next host. */
#define NO_LEADER_LOOP_WAIT_US (50 * BBL_USEC_PER_MS)
#define ACK_TIMEOUT_US (150 * BBL_USEC_PER_MS)
#define FRAME_TTL_US (300 * BBL_USEC_PER_MS)
#define SERVICE_INTERVAL_US (50 * BBL_USEC_PER_MS)
#define CATALOG_PAGES_MAX 10000
/* Time after the end of the lease until the control group counts as lost. */
#define CONTROL_SILENT_US (1500 * BBL_USEC_PER_MS)
/* Between two reads of the settings while there is no leader. */
#define REREAD_INTERVAL_US (3 * BBL_USEC_PER_SEC)
#define SHARE_UNITS 10000.0 /* of the shares in bblx_rollout */

typedef struct {
    const bbl_node_options *options;
    const bbl_dialect *dialect;
    /* Reads the settings again; see bbl_node_run. */
    int (*reread)(bbl_node_options *out, void *ctx);
    void *reread_ctx;
    /* Result of the last successful reread, if any; owns the seeds in use. */
    bbl_node_options reread_options;
    bool has_reread;
    uint64_t incarnation;
    bbl_usec now;
    bbl_usec started_at;
    bbl_loop *loop;
    bbl_mesh *mesh;
    bbl_control *control;
    bbl_gateway *gateway;
    bbl_mailbox notices; /* bbl_notice *, from the gateway */
    bbl_catalog_client *catalog_client;
    bbl_edge *operator_edge;
    bbl_edge *metrics_edge;
    bbl_operator_api operator_api;
    int signal_fd;
    bbl_usec next_service_at;
    bbl_usec next_catalog_read_at;
    double list_spread; /* see bbl_list_plan_input */
    bool catalog_failing;
    size_t catalog_skipped;
    bbl_usec next_reread_at;
    bbl_publisher *publisher; /* of an entry host */
    uint32_t logged_leader;
    uint32_t logged_parent;
    bool control_lost;
    bool journal_failed;
    uint64_t logged_voters_hash;
    uint64_t logged_rollouts[BBL_ROLLOUTS_MAX]; /* hashes, as recorded */
    bbl_usec stopping_since; /* when the shutdown began; 0 if it did not */
    bool done;
} node;

/* ---- updates for the traffic thread ---- */

static void
publish_update(node *n)
{
    if (n->gateway == NULL ||
        !bbl_publisher_has_changes(n->publisher, n->now)) {
        return;
    }
    bbl_publisher_take_back(n->publisher,
                            bbl_gateway_take_back_update(n->gateway));
    bbl_gateway_send_update(n->gateway,
                            bbl_publisher_make_update(n->publisher, n->now));
}

/* ---- notices of the traffic thread ---- */

static void
handle_notices(node *n)
{
    bbl_notice *notice;

    while (n->gateway != NULL &&
           (notice = bbl_mailbox_dequeue(&n->notices)) != NULL) {
        if (notice->kind == BBL_NOTICE_RATE_LIMIT) {
            bbl_control_report_rate_limit(n->control, notice->server,
                                          notice->rate);
        }
        else if (notice->kind == BBL_NOTICE_CRASH) {
            bbl_control_report_crash(n->control, notice->fingerprint,
                                     notice->generation);
        }
        else if (notice->kind == BBL_NOTICE_HEALTH) {
            bbl_control_report_health(n->control, n->now, notice->server,
                                      notice->health);
        }
        else if (notice->kind == BBL_NOTICE_ADMISSION) {
            bbl_control_send_admission(n->control, n->now, notice->grantor,
                                       &notice->admission);
        }
        else if (notice->kind == BBL_NOTICE_ROLLOUT_COUNTS) {
            notice->rollout_counts.incarnation = n->incarnation;
            bbl_control_send_rollout_counts(n->control, n->now,
                                            &notice->rollout_counts);
        }
        else {
            bbl_control_request_permits(n->control, n->now,
                                        &notice->permit_request);
        }
        bbl_notice_free(notice);
    }
}

static void
on_permits_received(void *ctx, const bblx_permit_reply *reply)
{
    node *n = ctx;

    if (n->gateway != NULL) {
        bbl_gateway_send_permits(n->gateway, bbl_permit_reply_new(reply));
    }
}

static void
on_admission_received(void *ctx, uint32_t grantor,
                      const bblx_admission_reply *reply)
{
    node *n = ctx;

    if (n->gateway != NULL) {
        bbl_gateway_send_admission(n->gateway, grantor, reply);
    }
}

/* ---- rollouts ---- */

static const char *
get_rollout_state_name(bblx_rollout_state state)
{
    static const char *const names[] = {"running", "completed", "rolled-back",
                                        "forgotten"};

    return (unsigned)state <= BBLX_ROLLOUT_FORGOTTEN ? names[state]
                                                     : "unknown";
}

/* Logs the rollouts that are not as when they were logged last. */
static void
log_rollouts(node *n)
{
    const bblx_rollout *r;

    for (size_t i = 0;
         (r = bbl_state_rollout(bbl_control_state(n->control), i)) != NULL;
         i++) {
        uint64_t parts[] = {r->order, (uint64_t)r->state, r->share};
        uint64_t hash = bbl_hash(parts, sizeof(parts), 53);

        if (n->logged_rollouts[i] == hash) {
            continue;
        }
        n->logged_rollouts[i] = hash;
        bbl_log(BBL_EV_ROLLOUT,
                "service=%.*s target=%.*s state=%s share=%.4f order=%llu "
                "applied=%llu",
                (int)r->service.bblx_label_len, r->service.bblx_label_val,
                (int)r->target.bblx_label_len, r->target.bblx_label_val,
                get_rollout_state_name(r->state), r->share / SHARE_UNITS,
                (unsigned long long)r->order,
                (unsigned long long)bbl_state_applied_index(
                    bbl_control_state(n->control)));
    }
}

/* ---- list of backend servers ---- */

static void
on_catalog_complete(void *ctx, const bblx_backend *backends,
                    const uint64_t *versions, size_t count, size_t skipped)
{
    node *n = ctx;

    if (n->catalog_failing || skipped != n->catalog_skipped) {
        bbl_log(BBL_EV_CATALOG, "servers=%zu skipped=%zu", count, skipped);
    }
    n->catalog_failing = false;
    n->catalog_skipped = skipped;
    bbl_control_replace_catalog(n->control, bbl_clock_now(), backends,
                                versions, count);
}

static void
on_catalog_failure(void *ctx, const char *reason)
{
    node *n = ctx;

    bbl_usec age = bbl_control_catalog_age(n->control, n->now);

    if (!n->catalog_failing) {
        bbl_log(BBL_EV_CATALOG_FAILED, "reason=\"%s\" age_ms=%lld", reason,
                age == UINT64_MAX ? -1LL : (long long)(age / BBL_USEC_PER_MS));
    }
    n->catalog_failing = true;
}

static void
fill_list_plan(const node *n, bbl_list_plan_input *in)
{
    in->leads = bbl_control_leads(n->control, n->now);
    in->entry = n->gateway != NULL;
    in->has_lease = bbl_control_lease_until(n->control) > n->now;
    in->age = bbl_control_catalog_age(n->control, n->now);
    in->uptime = n->now - n->started_at;
    in->pages = bbl_catalog_client_page_count(n->catalog_client);
    in->entry_hosts =
        n->publisher != NULL ? bbl_publisher_get_entry_hosts(n->publisher) : 0;
    in->calls_per_s = n->options->catalog_per_s;
    in->spread = n->list_spread;
}

static void
tick_catalog(node *n)
{
    bbl_list_plan_input in;

    if (n->catalog_client == NULL) {
        return;
    }
    bbl_catalog_client_tick(n->catalog_client, n->now);
    if (n->now < n->next_catalog_read_at) {
        return;
    }
    fill_list_plan(n, &in);
    if (bbl_list_plan_should_read(&in) &&
        bbl_catalog_client_start_read(n->catalog_client, n->now,
                                      CATALOG_PAGES_MAX)) {
        n->next_catalog_read_at = n->now + bbl_list_plan_get_interval(&in);
    }
}

/* ---- port of the control core ---- */

static void
on_mesh_message(void *ctx, uint32_t from, uint64_t incarnation,
                const bblx_message *m)
{
    node *n = ctx;

    (void)incarnation;
    bbl_control_step(n->control, bbl_clock_now(), from, m);
}

static void
send_mesh_message(void *ctx, uint32_t host, bblx_address to,
                  const bblx_message *m)
{
    node *n = ctx;

    bbl_mesh_send(n->mesh, bbl_clock_now(), host, to, m);
}

static size_t
get_mesh_backlog(void *ctx, uint32_t host)
{
    const node *n = ctx;

    return bbl_mesh_get_backlog(n->mesh, host);
}

static bool
accepts_kind(void *ctx, uint32_t host, bblx_kind kind)
{
    const node *n = ctx;

    return bbl_mesh_accepts_kind(n->mesh, host, kind);
}

static void
on_rollout_decided(void *ctx, const bbl_rollout_decision *d)
{
    (void)ctx;
    bbl_log(BBL_EV_ROLLOUT_DECISION,
            "service=%.*s target=%.*s to=%s share=%.4f why=\"%s\" verdict=%s "
            "evidence=%.1f old=%llu old_failed=%llu old_slow=%llu "
            "old_refused=%llu new=%llu new_failed=%llu new_slow=%llu "
            "new_refused=%llu new_slots=%u old_slots=%u left_ms=%llu",
            (int)d->rollout->service.bblx_label_len,
            d->rollout->service.bblx_label_val,
            (int)d->rollout->target.bblx_label_len,
            d->rollout->target.bblx_label_val,
            get_rollout_state_name(d->state), d->share / SHARE_UNITS,
            d->reason, bbl_verdict_name(d->verdict), d->evidence,
            (unsigned long long)d->old_sum.ended,
            (unsigned long long)d->old_sum.failed,
            (unsigned long long)d->old_sum.slow,
            (unsigned long long)d->old_sum.refused,
            (unsigned long long)d->target_sum.ended,
            (unsigned long long)d->target_sum.failed,
            (unsigned long long)d->target_sum.slow,
            (unsigned long long)d->target_sum.refused, d->target_slots,
            d->other_slots, (unsigned long long)(d->left / BBL_USEC_PER_MS));
}

static void
on_proposal_complete(void *ctx, uint64_t number,
                     const bblx_propose_reply *reply)
{
    node *n = ctx;

    bbl_operator_api_complete_proposal(&n->operator_api, number, reply);
}

static int
reopen_disk(void *ctx, bbl_disk **out)
{
    node *n = ctx;

    return bbl_disk_open(out, n->options->data_dir);
}

/* ---- calls ---- */

static void
on_operator_request(void *ctx, bbl_edge_call *call)
{
    node *n = ctx;

    bbl_operator_api_handle_call(&n->operator_api, bbl_clock_now(), call);
}

static void
on_operator_disconnect(void *ctx, bbl_edge_call *call)
{
    node *n = ctx;

    bbl_operator_api_cancel_call(&n->operator_api, call);
}

static void
on_metrics_request(void *ctx, bbl_edge_call *call)
{
    node *n = ctx;
    bbl_edge_response r = {200, {"", 0}, {"", 0}, false};
    bbl_buf text = BBL_BUF_INIT;
    bbl_control_status s;

    bbl_control_get_status(n->control, n->now, &s);
    bbl_control_metrics_render(
        &text, &s, bbl_control_catalog_age(n->control, n->now),
        n->catalog_client ? bbl_catalog_client_request_count(n->catalog_client)
                          : 0,
        n->operator_api.commands_received);
    r.body = bbl_buf_str(&text);
    bbl_edge_respond(call, &r);
    bbl_buf_free(&text);
}

/* ---- log of changes ---- */

static void
log_voters(node *n)
{
    const bblx_voters *v = bbl_state_voters(bbl_control_state(n->control));
    bbl_buf text = BBL_BUF_INIT;
    uint64_t hash;

    for (u_int i = 0; i < v->list.list_len; i++) {
        bbl_buf_printf(
            &text, "%s%u%s", i > 0 ? "," : "", v->list.list_val[i].host,
            v->list.list_val[i].role == BBLX_LEARNER ? "(learner)" : "");
    }
    hash = bbl_hash(text.ptr, text.size, 51);
    if (hash != n->logged_voters_hash && text.size > 0) {
        bbl_log(BBL_EV_VOTERS, "voters=%s applied=%llu", text.ptr,
                (unsigned long long)bbl_state_applied_index(
                    bbl_control_state(n->control)));
        n->logged_voters_hash = hash;
    }
    bbl_buf_free(&text);
}

/* Returns the routing version handed to the traffic thread; 0 if none was. */
static uint64_t
get_routing_version(const node *n)
{
    return n->publisher != NULL
               ? bbl_publisher_get_routing_version(n->publisher)
               : 0;
}

/* Logs a change of the parent and what came from the one before. */
static void
log_parent(node *n, const bbl_control_status *s)
{
    if (s->parent == n->logged_parent) {
        return;
    }
    bbl_log(BBL_EV_PARENT,
            "parent=%u before=%u leader=%u heartbeats=%llu feeds=%llu "
            "feeds_ignored=%llu grants=%llu grants_ignored=%llu",
            s->parent, n->logged_parent, s->leader,
            (unsigned long long)s->heartbeats_sent,
            (unsigned long long)s->feeds_received,
            (unsigned long long)s->feeds_ignored,
            (unsigned long long)s->grants_received,
            (unsigned long long)s->grants_ignored);
    n->logged_parent = s->parent;
}

static void
log_changes(node *n)
{
    bbl_control_status s;
    bool lost;

    bbl_control_get_status(n->control, n->now, &s);
    if (s.leader != n->logged_leader) {
        bbl_log(BBL_EV_LEADER, "leader=%u term=%llu", s.leader,
                (unsigned long long)s.quorum.term);
        n->logged_leader = s.leader;
    }
    log_parent(n, &s);
    lost = s.lease_until + CONTROL_SILENT_US < n->now;
    if (lost != n->control_lost) {
        bbl_log(lost ? BBL_EV_CONTROL_LOST : BBL_EV_CONTROL_FOUND,
                "leader=%u applied=%llu routing=%llu", s.leader,
                (unsigned long long)s.applied,
                (unsigned long long)get_routing_version(n));
        n->control_lost = lost;
    }
    if (s.quorum.failed != n->journal_failed) {
        bbl_log(s.quorum.failed ? BBL_EV_JOURNAL_FAILED
                                : BBL_EV_JOURNAL_REOPENED,
                "reason=\"%s\"", bbl_error_last());
        n->journal_failed = s.quorum.failed;
    }
    log_voters(n);
    log_rollouts(n);
}

/* ---- settings and signals ---- */

static void
reread_settings(node *n, const char *why)
{
    bbl_node_options fresh;

    if (n->reread(&fresh, n->reread_ctx) != 0) {
        bbl_log(BBL_EV_RELOAD_FAILED, "why=%s reason=\"%s\"", why,
                bbl_error_last());
        return;
    }
    bbl_control_set_seeds(n->control, fresh.seeds);
    if (n->has_reread) {
        bbl_node_options_free(&n->reread_options);
    }
    n->reread_options = fresh;
    n->has_reread = true;
    bbl_log(BBL_EV_RELOAD, "why=%s seeds=%u", why, fresh.seeds.list.list_len);
}

static void
start_shutdown(node *n)
{
    if (n->stopping_since != 0) {
        return;
    }
    bbl_log(BBL_EV_DRAIN, "grace_ms=%u", n->options->grace_ms);
    n->stopping_since = n->now;
    bbl_control_drain(n->control, n->now);
    if (n->gateway != NULL) {
        bbl_gateway_start_drain(n->gateway,
                                n->options->grace_ms * BBL_USEC_PER_MS);
    }
}

static void
on_signal(void *ctx, int fd, uint32_t events)
{
    node *n = ctx;
    struct signalfd_siginfo info;

    (void)events;
    while (read(fd, &info, sizeof(info)) == sizeof(info)) {
        if (info.ssi_signo == SIGHUP) {
            reread_settings(n, "signal");
        }
        else {
            start_shutdown(n);
        }
    }
}

/* Reads the settings again while there is no leader: they may by then name
 * hosts that can be reached. */
static void
tick_seed_refresh(node *n)
{
    if (!n->control_lost || n->now < n->next_reread_at) {
        return;
    }
    if (n->next_reread_at != 0) {
        reread_settings(n, "no-leader");
    }
    n->next_reread_at = n->now + REREAD_INTERVAL_US;
}

static void
tick_shutdown(node *n)
{
    bbl_exit_input in = {.spent = n->now - n->stopping_since};

    if (n->stopping_since == 0) {
        return;
    }
    if (n->gateway != NULL) {
        n->done = bbl_gateway_is_drained(n->gateway);
        return;
    }
    if (bbl_control_leads(n->control, n->now)) {
        bbl_control_transfer_leadership(n->control, n->now);
    }
    in.grace = n->options->grace_ms * BBL_USEC_PER_MS;
    in.awaits_successor = bbl_control_awaits_successor(n->control);
    in.open_calls = bbl_edge_open_call_count(n->operator_edge);
    n->done = bbl_exit_plan_is_due(&in);
}

/* ---- the thread ---- */

static void
service_connections(node *n)
{
    if (n->now < n->next_service_at) {
        return;
    }
    n->next_service_at = n->now + SERVICE_INTERVAL_US;
    if (n->operator_edge != NULL) {
        bbl_edge_tick(n->operator_edge, n->now);
    }
    if (n->metrics_edge != NULL) {
        bbl_edge_tick(n->metrics_edge, n->now);
    }
    tick_catalog(n);
    tick_seed_refresh(n);
    log_changes(n);
    tick_shutdown(n);
}

static bbl_usec
get_loop_wait(const node *n)
{
    if (bbl_control_quorum(n->control) != NULL) {
        return VOTER_LOOP_WAIT_US;
    }
    return n->control_lost ? NO_LEADER_LOOP_WAIT_US : MEMBER_LOOP_WAIT_US;
}

/* Returns the index up to which all threads of this host use the state. */
static uint64_t
get_applied_index(const node *n)
{
    return n->gateway != NULL
               ? bbl_gateway_get_applied_index(n->gateway)
               : bbl_state_applied_index(bbl_control_state(n->control));
}

static void
run_once(node *n)
{
    bbl_loop_run_once(n->loop, get_loop_wait(n));
    n->now = bbl_clock_now();
    handle_notices(n);
    bbl_operator_api_withdraw_abandoned(&n->operator_api);
    bbl_control_tick(n->control, n->now, bbl_clock_wall_ms());
    bbl_mesh_tick(n->mesh, n->now);
    publish_update(n);
    if (n->gateway != NULL) {
        bbl_gateway_confirm_routing(
            n->gateway, bbl_publisher_has_newest_routing(n->publisher)
                            ? bbl_control_lease_until(n->control)
                            : 0);
    }
    bbl_control_confirm_applied(n->control, get_applied_index(n));
    service_connections(n);
    bbl_log_flush();
}

/* ---- start and stop ---- */

static int
open_signals(node *n)
{
    sigset_t set;

    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    n->signal_fd = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
    if (n->signal_fd < 0) {
        return bbl_error_set(BBL_EIO, "signalfd: %s", strerror(errno));
    }
    return bbl_loop_watch(n->loop, n->signal_fd, EPOLLIN, on_signal, n);
}

/* Creates the first journal of the cluster if this host is a seed; an existing
 * journal is kept. */
static int
bootstrap_quorum(const bbl_node_options *o)
{
    bbl_disk *disk;
    int error;

    for (u_int i = 0; i < o->seeds.list.list_len; i++) {
        if (o->seeds.list.list_val[i].host != o->control_address.ip) {
            continue;
        }
        error = bbl_disk_open(&disk, o->data_dir);
        if (error == 0) {
            error = bbl_quorum_bootstrap(disk, o->control_address.ip);
        }
        return error == BBL_EEXISTS ? 0 : error;
    }
    return 0;
}

static int
open_control(node *n)
{
    const bbl_node_options *o = n->options;
    bbl_control_options c = BBL_CONTROL_OPTIONS_INIT;
    bbl_disk *disk = NULL;
    int error = 0;

    c.host = o->control_address.ip;
    c.incarnation = n->incarnation;
    c.seed = n->incarnation ^ c.host;
    c.zone = o->zone;
    c.control = o->control_address;
    c.http = o->caller_address;
    c.traffic = o->peer_address;
    c.seeds = o->seeds;
    c.heartbeat_interval = o->heartbeat_ms * BBL_USEC_PER_MS;
    c.copies = o->lost_disks + 1;
    c.voters_wanted = 2 * o->lost_disks + 1;
    c.port.send = send_mesh_message;
    c.port.backlog = get_mesh_backlog;
    c.port.complete_proposal = on_proposal_complete;
    c.quota_limits = o->quota_limits;
    c.port.permits_received = on_permits_received;
    c.port.admission_received = on_admission_received;
    c.port.accepts_kind = accepts_kind;
    c.port.rollout_decided = on_rollout_decided;
    c.port.reopen_disk = reopen_disk;
    c.port.ctx = n;
    if (o->data_dir != NULL && o->bootstrap) {
        error = bootstrap_quorum(o);
    }
    if (error == 0 && o->data_dir != NULL) {
        error = bbl_disk_open(&disk, o->data_dir);
    }
    return error ? error : bbl_control_open(&n->control, &c, disk, n->now);
}

static int
open_mesh(node *n)
{
    bbl_mesh_options m;
    const bbl_name *cluster = &n->options->cluster;

    memset(&m, 0, sizeof(m));
    m.host = n->options->control_address.ip;
    m.incarnation = n->incarnation;
    m.cluster = *cluster;
    /* The platform provides no secret, so this key does not authenticate; it
     * only keeps hosts of other clusters out. */
    crypto_generichash(m.key, sizeof(m.key), (const uint8_t *)cluster->ptr,
                       cluster->size, NULL, 0);
    m.listen_address = n->options->control_address;
    m.ack_timeout = ACK_TIMEOUT_US;
    m.frame_ttl = FRAME_TTL_US;
    m.receive = on_mesh_message;
    m.ctx = n;
    return bbl_mesh_open(&n->mesh, n->loop, &m);
}

static int
open_catalog(node *n)
{
    bbl_catalog_client_options c = {
        .loop = n->loop,

        .platform_address = n->options->catalog_address,
        .dialect = n->dialect,
        .on_complete = on_catalog_complete,
        .on_failure = on_catalog_failure,
        .ctx = n,
    };

    if (n->options->catalog_address.port == 0) {
        return 0;
    }
    return bbl_catalog_client_open(&n->catalog_client, &c);
}

/* A routing with 10,000 organisations and 100,000 keys has 4.2 MB. */
static const bbl_caller_limits operator_limits = {16384, 16u << 20, 3000,
                                                  15000};

static int
open_edges(node *n)
{
    bbl_edge_handler operators = {on_operator_request, on_operator_disconnect,
                                  n};
    bbl_edge_handler metrics = {on_metrics_request, NULL, n};
    int error = 0;

    bbl_operator_api_init(&n->operator_api, n->control, n->dialect,
                          n->options->operator_address);
    if (n->options->operator_address.port != 0) {
        error = bbl_edge_open(&n->operator_edge, n->loop,
                              n->options->operator_address, &operators);
    }
    if (n->operator_edge != NULL) {
        bbl_edge_set_limits(n->operator_edge, &operator_limits);
    }
    if (error == 0 && n->options->metrics_address.port != 0 &&
        n->gateway == NULL) {
        error = bbl_edge_open(&n->metrics_edge, n->loop,
                              n->options->metrics_address, &metrics);
    }
    return error;
}

static int
open_node(node *n)
{
    int error = bbl_loop_open(&n->loop);

    if (error == 0) {
        error = open_signals(n);
    }
    if (error == 0) {
        error = open_control(n);
    }
    if (error == 0) {
        error = open_mesh(n);
    }
    if (error == 0) {
        error = open_catalog(n);
    }
    if (error == 0 && n->options->caller_address.port != 0) {
        error = bbl_mailbox_init(&n->notices, n->loop, BBL_MAILBOX_SLOTS) != 0
                    ? BBL_EIO
                    : bbl_gateway_open(&n->gateway, n->options, n->dialect,
                                       n->incarnation ^
                                           n->options->control_address.ip,
                                       &n->notices);
    }
    if (n->gateway != NULL) {
        bbl_publisher_options p = {n->control, n->dialect,
                                   n->options->control_address.ip,
                                   n->incarnation};

        bbl_publisher_new(&n->publisher, &p);
    }
    if (error == 0) {
        error = open_edges(n);
    }
    if (error == 0 && n->gateway != NULL) {
        error = bbl_gateway_start(n->gateway);
    }
    return error;
}

static void
free_notice(void *notice)
{
    bbl_notice_free(notice);
}

static void
close_node(node *n)
{
    if (n->gateway != NULL) {
        bbl_gateway_free(n->gateway);
        bbl_mailbox_free(&n->notices, free_notice);
    }
    bbl_edge_free(n->operator_edge);
    bbl_edge_free(n->metrics_edge);
    bbl_operator_api_free(&n->operator_api);
    bbl_catalog_client_free(n->catalog_client);
    bbl_mesh_free(n->mesh);
    bbl_publisher_free(n->publisher);
    bbl_control_free(n->control);
    if (n->signal_fd >= 0) {
        close(n->signal_fd);
    }
    bbl_loop_free(n->loop);
    if (n->has_reread) {
        bbl_node_options_free(&n->reread_options);
    }
}

int
bbl_node_run(const bbl_node_options *options, const bbl_dialect *dialect,
             int (*reread)(bbl_node_options *out, void *ctx), void *ctx)
{
    node n;
    int error;

    memset(&n, 0, sizeof(n));
    n.options = options;
    n.dialect = dialect;
    n.reread = reread;
    n.reread_ctx = ctx;
    n.incarnation = bbl_clock_make_incarnation();
    n.now = bbl_clock_now();
    n.started_at = n.now;
    n.list_spread = (double)bbl_hash(&n.incarnation, sizeof(n.incarnation),
                                     options->control_address.ip) /
                    (double)UINT64_MAX;
    n.signal_fd = -1;
    bbl_log_setup(options->log_level, options->control_address.ip);
    bbl_log_enable_queue(options->log_lines_per_s);
    if (sodium_init() < 0) {
        return bbl_error_set(BBL_EAUTH, "sodium_init");
    }
    error = open_node(&n);
    if (error == 0) {
        bbl_log(
            BBL_EV_START, "cluster=%.*s data_centre=%.*s voter=%s callers=%s",
            options->cluster.size, options->cluster.ptr, options->zone.size,
            options->zone.ptr, options->data_dir ? "yes" : "no",
            options->caller_address.port != 0 ? "yes" : "no");
        while (!n.done) {
            run_once(&n);
        }
        bbl_log(BBL_EV_STOP, "uptime_ms=%llu awaits_successor=%s",
                (unsigned long long)((bbl_clock_now() - n.started_at) /
                                     BBL_USEC_PER_MS),
                bbl_control_awaits_successor(n.control) ? "yes" : "no");
    }
    close_node(&n);
    bbl_log_flush();
    return error;
}
