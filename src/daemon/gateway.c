#include "daemon/gateway.h"

#include <malloc.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <ck_pr.h>
#include <sodium.h>

#include "bbl/errors.h"
#include "control/permit_book.h"
#include "daemon/forward_metrics.h"
#include "net/backend_link.h"
#include "net/delegation_field.h"
#include "net/edge.h"
#include "net/mailbox.h"
#include "util/alloc.h"
#include "util/clock.h"
#include "util/tsan.h"

#define MAILBOX_SLOTS 1024
#define SERVICE_INTERVAL_US (50 * BBL_USEC_PER_MS) /* of connection ticks */
#define CONNECT_TIMEOUT_US (250 * BBL_USEC_PER_MS)
/* Longer than the loss of two packets in a row delays data. */
#define SILENCE_TIMEOUT_US (700 * BBL_USEC_PER_MS)
#define RESPONSE_MAX_BYTES (16u << 20) /* of a response body */
/* Share of the memory of the process for requests and responses; the rest is
 * for the list of servers, the routing, connections and what sockets hold. */
#define HELD_MEMORY_DIVISOR 8
/* Share of that for one response body. */
#define RESPONSE_DIVISOR 4
#define HELD_MEMORY_MIN_BYTES (4u << 20)
/* Larger buffers are returned to the system when they are freed. */
#define MMAP_THRESHOLD_BYTES (128 << 10)
/* Longest idle time of a connection that may carry a request that is not
 * idempotent: the server may be closing one that was idle for longer. */
#define NON_IDEMPOTENT_IDLE_US (1000 * BBL_USEC_PER_MS)
/* Time in which the load balancer notices that the host is not ready: it
 * checks once a second, and two checks must fail. */
#define BALANCER_LAG_US (2500 * BBL_USEC_PER_MS)
#define ROUTING_WAIT_DIVISOR 2 /* of the time to apply a routing */
/* Idle time after which a drain closes a connection: one that was just opened
 * is likely to carry a request soon. */
#define DRAIN_IDLE_US (150 * BBL_USEC_PER_MS)
/* How long before the end of the grace time a drain ends, and how long after
 * that the last answers are still written. */
#define EXIT_MARGIN_US (750 * BBL_USEC_PER_MS)
/* Bytes that a delegating host adds to the header of a request. */
#define DELEGATED_HEADER_BYTES 1024
/* Connections from this host to one other entry host. */
#define PEER_CONNECTIONS_MAX 256
#define FLUSH_US (150 * BBL_USEC_PER_MS)

typedef enum {
    GATEWAY_SERVING,
    GATEWAY_DRAINING,
    GATEWAY_DRAINED
} gateway_phase;

struct bbl_gateway {
    const bbl_node_options *options;
    const bbl_dialect *dialect;
    bbl_loop *loop;
    /* The update that the traffic thread has not taken yet, by ck_pr. */
    bbl_forward_update *update;
    bbl_mailbox permits;    /* bbl_permit_reply * */
    bbl_mailbox admissions; /* bbl_admission_notice * */
    bbl_mailbox *notices;
    bbl_edge *caller_edge;
    bbl_edge *peer_edge; /* delegated queries of other hosts; may be NULL */
    bbl_edge *ready_edge;
    bbl_edge *metrics_edge;
    bbl_memory_account *memory; /* of all connections */
    bbl_backend_client *backend_client;
    bbl_backend_client *peer_client; /* for queries of this host */
    bbl_forwarder *forwarder;
    /* The call for which `request_head` and `request_id` were rendered, or
     * NULL. All attempts of a call share them. */
    const bbl_edge_call *head_call;
    bbl_buf request_head;
    bbl_str request_id;
    bbl_buf scratch_fields;
    bool had_organisations; /* the routing that was in use before */
    /* Whether the connection limits of the servers may have changed. */
    bool resize_links;
    bbl_usec next_service_at;
    bbl_usec drain_started_at;
    pthread_t thread;
    bool thread_running;
    uint32_t stop_requested;          /* by ck_pr */
    uint32_t phase;                   /* gateway_phase, by ck_pr */
    uint64_t grace_us;                /* by ck_pr; 0 before a shutdown */
    uint64_t routing_confirmed_until; /* by ck_pr */
    uint64_t applied_index;           /* by ck_pr */
};

/* ---- attempts ---- */

static void
read_exchange_result(bbl_attempt_result *out,
                     const bbl_link_exchange_result *r)
{
    memset(out, 0, sizeof(*out));
    out->outcome =
        r->exchange_outcome == BBL_LINK_RESPONSE      ? BBL_ATTEMPT_RESPONSE
        : r->exchange_outcome == BBL_LINK_UNSENT      ? BBL_ATTEMPT_UNSENT
        : r->exchange_outcome == BBL_LINK_SERVER_FULL ? BBL_ATTEMPT_SERVER_FULL
                                                      : BBL_ATTEMPT_BROKEN;
    out->failure_reason = r->reason;
    out->sent_at = r->sent_at;
    out->ended_by_host = r->ended_by_host;
    if (r->message != NULL) {
        out->status = bbl_http_message_status(r->message);
        out->headers = r->message->headers.ptr;
        out->header_count = r->message->headers.size;
        out->body = bbl_buf_str(&r->message->body);
        out->driver_message = r->message;
    }
}

static void
on_exchange_complete(void *ctx, const bbl_link_exchange_result *r)
{
    bbl_attempt *attempt = ctx;
    bbl_gateway *g = bbl_attempt_get_ctx(attempt);
    bbl_attempt_result result;

    read_exchange_result(&result, r);
    result.ready_by = bbl_loop_get_polled_at(g->loop);
    result.ready_since = bbl_loop_get_ready_since(g->loop);
    bbl_forwarder_complete_attempt(g->forwarder, bbl_clock_now(), attempt,
                                   &result);
}

static void
append_field(bbl_buf *out, const bbl_header *h)
{
    bbl_buf_append(out, h->name.ptr, h->name.size);
    bbl_buf_append_cstr(out, ": ");
    bbl_buf_append(out, h->value.ptr, h->value.size);
    bbl_buf_append_cstr(out, "\r\n");
}

/*
 * Renders the request line and the fields that all attempts of a call share,
 * unless they were rendered for this call last: a sharded query sends them to
 * every shard.
 */
static void
render_request_head(bbl_gateway *g, const bbl_edge_call *call,
                    const bbl_identity_fields *identity)
{
    const bbl_http_message *m = call->message;
    bbl_buf *out = &g->request_head;
    bbl_caller_head caller;

    if (g->head_call == call) {
        return;
    }
    g->head_call = call;
    g->dialect->read_caller_head(&caller, m->headers.ptr, m->headers.size);
    g->request_id = caller.request_id;
    bbl_buf_clear(out);
    bbl_buf_append(out, call->method.ptr, call->method.size);
    bbl_buf_append_cstr(out, " ");
    bbl_buf_append(out, call->target.ptr, call->target.size);
    bbl_buf_append_cstr(out, " HTTP/1.1\r\n");
    for (size_t i = 0; i < m->headers.size; i++) {
        const bbl_header *h = bbl_vec_at(&m->headers, i);

        if (!bbl_http_is_hop_by_hop(m, h->name) &&
            !g->dialect->is_own_field(h->name) &&
            !(identity->replaced && g->dialect->is_identity_field(h->name)) &&
            !bbl_delegation_is_field(h->name)) {
            append_field(out, h);
        }
    }
    if (identity->organisation.size > 0) {
        g->dialect->append_organisation(out, identity->organisation);
    }
    if (m->body.size > 0 ||
        bbl_http_message_field_count(m, "Content-Length") > 0) {
        bbl_buf_printf(out, "Content-Length: %zu\r\n", m->body.size);
    }
}

static int
send_attempt(void *ctx, bbl_attempt *attempt, bbl_backend *backend,
             const bbl_attempt_request *request)
{
    bbl_gateway *g = ctx;
    bbl_edge_call *call = request->request_handle;
    bbl_link_exchange_request r;
    bbl_link_exchange *exchange;
    bbl_usec now = bbl_clock_now();
    int error;

    render_request_head(g, call, &request->identity);
    bbl_buf_clear(&g->scratch_fields);
    g->dialect->append_attempt_fields(&g->scratch_fields,
                                      request->time_left_ms,
                                      bbl_wire_label_str(&backend->listed.id));
    memset(&r, 0, sizeof(r));
    r.head = bbl_buf_str(&g->request_head);
    r.extra_fields = bbl_buf_str(&g->scratch_fields);
    r.body = bbl_buf_str(&call->message->body);
    r.request_id = g->request_id;
    r.max_idle = request->idempotent ? 0 : NON_IDEMPOTENT_IDLE_US;
    r.no_body = call->message->parser.method == (unsigned)HTTP_HEAD;
    r.done = on_exchange_complete;
    r.ctx = attempt;
    error = bbl_link_exchange_start(&exchange, backend->link, now, &r);
    if (error == 0) {
        bbl_attempt_set_sent_at(attempt, now);
        bbl_attempt_set_handle(attempt, exchange);
    }
    return error;
}

static void
abandon_attempt(void *ctx, bbl_attempt *attempt)
{
    (void)ctx;
    bbl_link_exchange_abandon(bbl_attempt_get_handle(attempt));
}

static bool
is_attempt_sent(void *ctx, const bbl_attempt *attempt)
{
    (void)ctx;
    return bbl_link_exchange_is_sent(bbl_attempt_get_handle(attempt));
}

static bbl_room
get_server_room(void *ctx, const bbl_backend *backend, bbl_usec now)
{
    (void)ctx;
    if (!bbl_backend_link_has_room(backend->link)) {
        return BBL_ROOM_NONE;
    }
    return bbl_backend_link_has_idle(backend->link, now) ? BBL_ROOM_READY
                                                         : BBL_ROOM_CONNECT;
}

/* ---- delegated queries ---- */

static void
on_delegation_complete(void *ctx, const bbl_link_exchange_result *r)
{
    bbl_delegation *delegation = ctx;
    bbl_gateway *g = bbl_delegation_get_ctx(delegation);
    bbl_delegation_outcome outcome = {BBL_FORWARD_FAILED, BBL_REACH_MOST, 0,
                                      0};
    bbl_attempt_result result;

    read_exchange_result(&result, r);
    if (r->message != NULL &&
        bbl_delegation_outcome_read(&outcome, r->message) != 0) {
        /* Not an answer of a peer: it may have run the query. */
        result.outcome = BBL_ATTEMPT_BROKEN;
        result.failure_reason = bbl_error_last();
    }
    bbl_forwarder_complete_delegation(g->forwarder, bbl_clock_now(),
                                      delegation, &result, &outcome);
}

static int
delegate_query(void *ctx, bbl_delegation *delegation,
               const bbl_delegation_request *request)
{
    bbl_gateway *g = ctx;
    bbl_edge_call *call = request->request_handle;
    bbl_delegated delegated = request->delegated;
    bbl_link_exchange_request r;
    bbl_link_exchange *exchange;
    int error;

    delegated.host = g->options->control_address.ip;
    render_request_head(g, call, &request->identity);
    bbl_buf_clear(&g->scratch_fields);
    g->dialect->append_attempt_fields(&g->scratch_fields,
                                      request->time_left_ms, (bbl_str){"", 0});
    bbl_delegated_append(&g->scratch_fields, &delegated);
    memset(&r, 0, sizeof(r));
    r.head = bbl_buf_str(&g->request_head);
    r.extra_fields = bbl_buf_str(&g->scratch_fields);
    r.body = bbl_buf_str(&call->message->body);
    r.request_id = g->request_id;
    r.max_idle = request->idempotent ? 0 : NON_IDEMPOTENT_IDLE_US;
    r.no_body = call->message->parser.method == (unsigned)HTTP_HEAD;
    r.done = on_delegation_complete;
    r.ctx = delegation;
    error = bbl_link_exchange_start(&exchange, request->peer->link,
                                    bbl_clock_now(), &r);
    if (error == 0) {
        bbl_delegation_set_handle(delegation, exchange);
    }
    return error;
}

static bool
is_delegation_sent(void *ctx, const bbl_delegation *delegation)
{
    (void)ctx;
    return bbl_link_exchange_is_sent(bbl_delegation_get_handle(delegation));
}

static void
cancel_delegation(void *ctx, bbl_delegation *delegation)
{
    (void)ctx;
    bbl_link_exchange_abandon(bbl_delegation_get_handle(delegation));
}

static void
log_delegation(void *ctx, const bbl_forward_request *request,
               const bbl_delegation_request *r, bbl_delegation_cause cause)
{
    (void)ctx;
    bbl_log(BBL_EV_DELEGATED,
            "id=%.*s to=%u cause=%s attempts=%u ms=%.1f time_left_ms=%u",
            (int)request->request_id.size, request->request_id.ptr,
            r->peer->listed.host, bbl_delegation_cause_name(cause),
            r->delegated.attempts, (double)r->delegated.elapsed / 1000.0,
            r->time_left_ms);
}

static void
on_peer_added(void *ctx, bbl_peer *peer)
{
    bbl_gateway *g = ctx;

    peer->link =
        bbl_backend_link_new(g->peer_client, peer->listed.address, peer);
    bbl_backend_link_set_limit(peer->link, PEER_CONNECTIONS_MAX, false);
}

static void
on_peer_removed(void *ctx, bbl_peer *peer)
{
    (void)ctx;
    bbl_backend_link_release(peer->link);
    peer->link = NULL;
}

static void
on_peer_connect(void *ctx, void *peer, bool ok, bbl_usec took)
{
    (void)ctx;
    (void)peer;
    (void)ok;
    (void)took;
}

static void
on_peer_memory_report(void *ctx, void *owner, const bbl_link_memory_report *r)
{
    const bbl_peer *peer = owner;

    (void)ctx;
    bbl_log(BBL_EV_MEMORY, "peer=%u cause=%s count=%u held_bytes=%zu",
            peer->listed.host, bbl_memory_cause_name(r->cause), r->count,
            r->held);
}

/* ---- answers and log ---- */

/* Returns whether another host has delegated a query to this one. */
static bool
is_delegated(const bbl_edge_call *call)
{
    return call->user_data != NULL;
}

static void
answer_call(void *ctx, void *handle, const bbl_forward_answer *answer)
{
    bbl_gateway *g = ctx;
    bbl_edge_call *call = handle;
    bbl_edge_response r;
    bbl_delegation_outcome outcome = {answer->reason, BBL_REACH_MOST,
                                      answer->attempts, answer->leaving};
    const bbl_http_message *m;

    memset(&r, 0, sizeof(r));
    r.status = answer->status;
    r.body = answer->body;
    bbl_buf_clear(&g->scratch_fields);
    bbl_buf_append(&g->scratch_fields, answer->header_lines.ptr,
                   answer->header_lines.size);
    if (answer->relayed != NULL) {
        m = answer->relayed->driver_message;
        for (size_t i = 0; i < m->headers.size; i++) {
            const bbl_header *h = bbl_vec_at(&m->headers, i);

            if (!bbl_http_is_hop_by_hop(m, h->name) &&
                !bbl_delegation_is_field(h->name)) {
                append_field(&g->scratch_fields, h);
            }
        }
    }
    if (is_delegated(call)) {
        outcome.reach =
            bbl_reach_get_level(bbl_forwarder_get_reach(g->forwarder));
        bbl_delegation_outcome_append(&g->scratch_fields, &outcome);
    }
    r.fields = bbl_buf_str(&g->scratch_fields);
    bbl_edge_respond(call, &r);
}

/* Returns the name of what a grantor has decided on the load of a request. */
static const char *
describe_load(const bblx_admission_reply *r)
{
    switch (r->outcome) {
    case BBLX_ADMITTED:
        return "admitted";
    case BBLX_WAITS:
        return "waited";
    default:
        return r->reason == BBLX_OVERLOAD_DEADLINE ? "deadline" : "queue";
    }
}

static void
log_request(void *ctx, const bbl_forward_record *r)
{
    bool ok = r->reason == BBL_FORWARD_OK;
    const char *detail = r->failure_reason != NULL ? r->failure_reason : "";
    const char *quote =
        r->organisation.size > 0 &&
                memchr(r->organisation.ptr, ' ', r->organisation.size) != NULL
            ? "\""
            : "";

    (void)ctx;
    bbl_log(
        ok ? BBL_EV_REQUEST : BBL_EV_REQUEST_FAILED,
        "id=%.*s outcome=%s status=%u route=%.*s routing=%llu "
        "list_age_ms=%lld ms=%.1f shards=%u answered=%u sent=%u "
        "hedges=%u retries=%u retry_after_ms=%u service=%.*s servers=%u "
        "usable=%u server=%s load=%s load_limit=%u load_in_flight=%u "
        "load_waiting=%u fingerprint=%016llx delegate=%u delegated_by=%u "
        "org=%s%.*s%s detail=\"%s\"",
        (int)r->request_id.size, r->request_id.ptr,
        bbl_forward_reason_name(r->reason), r->status,
        r->route ? (int)r->route->name.size : 0,
        r->route ? r->route->name.ptr : "",
        (unsigned long long)r->routing_version,
        r->list_age == UINT64_MAX ? -1LL
                                  : (long long)(r->list_age / BBL_USEC_PER_MS),
        (double)r->elapsed / 1000.0, r->shards, r->answered_shards,
        r->attempt_count, r->hedges, r->retries, r->retry_after_ms,
        (int)r->service.size, r->service.ptr ? r->service.ptr : "", r->servers,
        r->usable_servers,
        r->service.size > 0 ? bbl_backend_state_name(r->unusable_state) : "",
        r->load_asked ? describe_load(&r->load) : "", r->load.limit,
        r->load.in_flight, r->load.waiting, (unsigned long long)r->fingerprint,
        r->delegate, r->delegated_by, quote, (int)r->organisation.size,
        r->organisation.ptr ? r->organisation.ptr : "", quote, detail);
}

static void
log_extra_attempt(void *ctx, const bbl_extra_attempt_record *r)
{
    (void)ctx;
    bbl_log(BBL_EV_SECOND,
            "id=%.*s service=%.*s server=%.*s kind=%s waited_ms=%.1f "
            "usual_ms=%.1f stalled=%d budget_left=%.2f detail=\"%s\"",
            (int)r->request_id.size, r->request_id.ptr, (int)r->service.size,
            r->service.ptr, (int)r->server.size, r->server.ptr,
            r->hedge ? "hedge" : "retry", (double)r->waited / 1000.0,
            (double)r->route_service_time / 1000.0, r->stalled, r->budget_left,
            r->failure_reason);
}

static void
on_routing_ignored(void *ctx, uint64_t version, uint64_t current)
{
    (void)ctx;
    bbl_log(BBL_EV_ROUTING_OLDER, "version=%llu current=%llu",
            (unsigned long long)version, (unsigned long long)current);
}

/* Logs how many organisations are in force, if there are or were any. */
static void
log_organisations(bbl_gateway *g)
{
    const bbl_routing *r = bbl_forwarder_get_routing(g->forwarder);
    bool any = bbl_routing_has_organisations(r);
    size_t count = 0;

    while (bbl_routing_organisation(r, count) != NULL) {
        count++;
    }
    if (any || g->had_organisations) {
        bbl_log(BBL_EV_ORGANISATIONS,
                "version=%llu organisations=%zu keys=%zu",
                (unsigned long long)bbl_routing_version(r), count,
                bbl_routing_key_count(r));
    }
    g->had_organisations = any;
}

static void
on_routing_activated(void *ctx, uint64_t version, bbl_usec waited)
{
    bbl_gateway *g = ctx;
    const bbl_caller_limits *limits = bbl_forwarder_get_limits(g->forwarder);

    bbl_log(BBL_EV_ROUTING_IN_USE, "version=%llu held_ms=%llu",
            (unsigned long long)version,
            (unsigned long long)(waited / BBL_USEC_PER_MS));
    log_organisations(g);
    bbl_edge_set_limits(g->caller_edge, limits);
    if (g->peer_edge != NULL) {
        bbl_caller_limits peer_limits = *limits;

        peer_limits.max_header_bytes += DELEGATED_HEADER_BYTES;
        bbl_edge_set_limits(g->peer_edge, &peer_limits);
    }
    g->resize_links = true;
}

/* ---- backend servers ---- */

static void
set_link_limit(void *ctx, bbl_backend *b)
{
    bbl_gateway *g = ctx;
    bool keep;
    unsigned limit = bbl_forwarder_get_connection_limit(&keep, g->forwarder,
                                                        bbl_clock_now(), b);

    bbl_backend_link_set_limit(b->link, limit, keep);
}

static void
on_server_added(void *ctx, bbl_backend *b)
{
    bbl_gateway *g = ctx;

    b->link = bbl_backend_link_new(g->backend_client, b->listed.address, b);
    set_link_limit(g, b);
}

static void
on_server_removed(void *ctx, bbl_backend *b)
{
    (void)ctx;
    bbl_backend_link_release(b->link);
    b->link = NULL;
}

static void
on_server_changed(void *ctx, bbl_backend *b, bbl_backend_state before)
{
    bbl_gateway *g = ctx;
    bbl_backend_state state = bbl_backend_get_state(b, bbl_clock_now());

    bbl_log(BBL_EV_BACKEND, "id=%.*s service=%.*s from=%s to=%s in_flight=%u",
            (int)b->listed.id.bblx_label_len, b->listed.id.bblx_label_val,
            (int)b->listed.service.bblx_label_len,
            b->listed.service.bblx_label_val, bbl_backend_state_name(before),
            bbl_backend_state_name(state), b->in_flight);
    if (state == BBL_BACKEND_DOWN && b->link != NULL) {
        bbl_backend_link_close_idle(b->link);
        bbl_backend_link_preconnect(b->link, bbl_clock_now());
    }
    g->resize_links = true; /* other servers may get its share */
}

static void
on_reach_changed(void *ctx, const bbl_reach *r, bbl_reach_level before)
{
    bbl_usec now = bbl_clock_now();

    (void)ctx;
    bbl_log(BBL_EV_REACH,
            "from=%s to=%s usable=%u unreachable=%u contact_age_ms=%lld",
            bbl_reach_level_name(before), bbl_reach_level_name(r->level),
            r->usable, r->unreachable,
            r->contact_at == 0
                ? -1LL
                : (long long)((now - r->contact_at) / BBL_USEC_PER_MS));
}

static void
on_rate_limit_reported(void *ctx, const bbl_backend *b)
{
    bbl_usec now = bbl_clock_now();
    bbl_usec counted = b->limit.counted_at;

    (void)ctx;
    bbl_log(BBL_EV_RATE_LIMIT,
            "id=%.*s service=%.*s limited=%s per_s=%.3f first_sent=%u "
            "extra_sent=%u in_ms=%llu",
            (int)b->listed.id.bblx_label_len, b->listed.id.bblx_label_val,
            (int)b->listed.service.bblx_label_len,
            b->listed.service.bblx_label_val, b->limit.limited ? "yes" : "no",
            b->limit.rate, b->limit.first_sent, b->limit.extra_sent,
            (unsigned long long)(counted != 0
                                     ? (now - counted) / BBL_USEC_PER_MS
                                     : 0));
}

static void
on_backoff_begun(void *ctx, const bbl_backend *b, unsigned sent_before)
{
    (void)ctx;
    bbl_log(BBL_EV_BACKOFF, "id=%.*s service=%.*s for_ms=%llu sent_before=%u",
            (int)b->listed.id.bblx_label_len, b->listed.id.bblx_label_val,
            (int)b->listed.service.bblx_label_len,
            b->listed.service.bblx_label_val,
            (unsigned long long)((b->backoff.until - bbl_clock_now()) /
                                 BBL_USEC_PER_MS),
            sent_before);
}

static void
on_leaving_stated(void *ctx, const bbl_backend *b)
{
    (void)ctx;
    bbl_log(BBL_EV_SERVER_LEAVING, "id=%.*s service=%.*s listed_as=%s",
            (int)b->listed.id.bblx_label_len, b->listed.id.bblx_label_val,
            (int)b->listed.service.bblx_label_len,
            b->listed.service.bblx_label_val,
            b->listed.leaving ? "leaving" : "ready");
}

static void
send_notice(bbl_gateway *g, bbl_notice *notice)
{
    if (!bbl_mailbox_enqueue(g->notices, notice)) {
        bbl_notice_free(notice);
    }
}

static void
publish_rate_limit(void *ctx, const bbl_backend *b)
{
    send_notice(ctx, bbl_notice_new_rate_limit(b));
}

static void
publish_health(void *ctx, const bbl_backend *b, const bbl_observed_health *o,
               bbl_health_level before)
{
    /* Suspicions are frequent, as each pause of a server causes one. */
    if (before != o->level &&
        (o->level == BBL_HEALTH_BAD || before == BBL_HEALTH_BAD)) {
        bbl_log(BBL_EV_SERVER_HEALTH,
                "id=%.*s service=%.*s from=%s to=%s cause=%s slowness=%u "
                "in_flight=%u",
                (int)b->listed.id.bblx_label_len, b->listed.id.bblx_label_val,
                (int)b->listed.service.bblx_label_len,
                b->listed.service.bblx_label_val,
                bbl_health_level_name(before), bbl_health_level_name(o->level),
                bbl_health_cause_name(o->cause), o->slowness, b->in_flight);
    }
    send_notice(ctx, bbl_notice_new_health(o));
}

static void
report_rollouts(void *ctx, const bbl_rollout_tally *tally)
{
    send_notice(ctx, bbl_notice_new_rollout_counts(tally));
}

static void
request_permits(void *ctx, const bbl_permit_request *request)
{
    send_notice(ctx, bbl_notice_new_permit_request(request));
}

static void
send_admission(void *ctx, uint32_t grantor, const bblx_message *message)
{
    send_notice(ctx, bbl_notice_new_admission(grantor, message));
}

static void
log_quota(void *ctx, const bbl_quota_record *r)
{
    (void)ctx;
    bbl_log(BBL_EV_OVER_QUOTA,
            "org=%.*s per_s=%.3f burst=%.1f refused=%u asked=%u in_ms=%llu",
            (int)r->organisation.size, r->organisation.ptr, r->rate_per_s,
            r->burst, r->refused, r->asked,
            (unsigned long long)(r->in / BBL_USEC_PER_MS));
}

static void
log_pressure(void *ctx, bbl_str service, bool active, double refused_share)
{
    (void)ctx;
    bbl_log(BBL_EV_PRESSURE, "service=%.*s active=%d refused_share=%.3f",
            (int)service.size, service.ptr, active, refused_share);
}

static void
on_backend_connect(void *ctx, void *owner, bool ok, bbl_usec took)
{
    bbl_gateway *g = ctx;

    bbl_forwarder_record_connect(g->forwarder, bbl_clock_now(), owner, ok,
                                 took);
}

static void
on_memory_report(void *ctx, void *owner, const bbl_link_memory_report *r)
{
    const bbl_backend *b = owner;

    (void)ctx;
    bbl_log(BBL_EV_MEMORY,
            "id=%.*s service=%.*s cause=%s count=%u held_bytes=%zu",
            (int)b->listed.id.bblx_label_len, b->listed.id.bblx_label_val,
            (int)b->listed.service.bblx_label_len,
            b->listed.service.bblx_label_val, bbl_memory_cause_name(r->cause),
            r->count, r->held);
}

static void
on_server_ended(void *ctx, const bbl_broken_attempt *a)
{
    bbl_log(BBL_EV_SERVER_ENDED,
            "id=%s fingerprint=%016llx generation=%u server_key=%016llx",
            a->request_id, (unsigned long long)a->fingerprint, a->generation,
            (unsigned long long)a->server);
    send_notice(ctx, bbl_notice_new_crash(a->fingerprint, a->generation));
}

static void
on_suspect_answered(void *ctx, uint64_t fingerprint)
{
    send_notice(ctx, bbl_notice_new_crash(fingerprint, 0));
}

static void
on_request_barred(void *ctx, uint64_t fingerprint)
{
    (void)ctx;
    bbl_log(BBL_EV_REQUEST_BARRED, "fingerprint=%016llx for_ms=%llu",
            (unsigned long long)fingerprint,
            (unsigned long long)(BBL_CRASH_REFUSED_US / BBL_USEC_PER_MS));
}

/* ---- calls ---- */

/*
 * Returns a fingerprint of what a request asks for. The hash withstands a
 * search for a second request with the fingerprint of another one.
 */
static uint64_t
compute_fingerprint(const bbl_edge_call *call)
{
    uint8_t hash[crypto_generichash_BYTES_MIN];
    crypto_generichash_state state;
    bbl_str parts[] = {call->hostname, call->method, call->target,
                       bbl_buf_str(&call->message->body)};
    uint64_t fingerprint;

    crypto_generichash_init(&state, NULL, 0, sizeof(hash));
    for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
        uint64_t size = parts[i].size;

        crypto_generichash_update(&state, (const uint8_t *)&size,
                                  sizeof(size));
        crypto_generichash_update(&state, (const uint8_t *)parts[i].ptr,
                                  parts[i].size);
    }
    crypto_generichash_final(&state, hash, sizeof(hash));
    memcpy(&fingerprint, hash, sizeof(fingerprint));
    return fingerprint;
}

static void
fill_request(bbl_gateway *g, bbl_forward_request *r, bbl_edge_call *call)
{
    bbl_caller_head head;

    g->head_call = NULL; /* an earlier call may have had this address */
    g->dialect->read_caller_head(&head, call->message->headers.ptr,
                                 call->message->headers.size);
    memset(r, 0, sizeof(*r));
    r->request_handle = call;
    r->hostname = call->hostname;
    r->path = call->path;
    r->request_id = head.request_id;
    r->fingerprint = compute_fingerprint(call);
    r->first_on_connection = call->first_on_connection;
    r->has_time_left = head.has_time_left;
    r->time_left_ms = head.time_left_ms;
    r->arrived_at = call->received_at;
    r->round_trip = call->round_trip;
    r->key = head.key;
    r->key_count = head.key_count;
}

static void
on_caller_request(void *ctx, bbl_edge_call *call)
{
    bbl_gateway *g = ctx;
    bbl_forward_request r;

    fill_request(g, &r, call);
    bbl_forwarder_receive_request(g->forwarder, bbl_clock_now(), &r);
}

/* Refuses a delegated query that this host does not process. */
static void
refuse_delegated(bbl_edge_call *call, unsigned status,
                 bbl_forward_reason reason, const char *text)
{
    bbl_delegation_outcome outcome = {reason, BBL_REACH_MOST, 0, 0};
    bbl_edge_response r = {status, {"", 0}, {text, strlen(text)}, true};
    bbl_buf fields = BBL_BUF_INIT;

    bbl_delegation_outcome_append(&fields, &outcome);
    r.fields = bbl_buf_str(&fields);
    bbl_edge_respond(call, &r);
    bbl_buf_free(&fields);
}

/* Receives a query that another entry host has delegated. */
static void
on_peer_request(void *ctx, bbl_edge_call *call)
{
    bbl_gateway *g = ctx;
    bbl_forward_request r;
    bbl_delegated delegated;

    if (ck_pr_load_32(&g->phase) != GATEWAY_SERVING) {
        refuse_delegated(call, 503, BBL_FORWARD_DRAINING, "draining\n");
        return;
    }
    if (bbl_delegated_read(&delegated, call->message) != 0) {
        bbl_log(BBL_EV_PEER_REFUSED, "reason=\"%s\"", bbl_error_last());
        refuse_delegated(call, 400, BBL_FORWARD_FAILED,
                         "no delegated query\n");
        return;
    }
    call->user_data = g->peer_edge;
    fill_request(g, &r, call);
    r.delegated = delegated;
    r.first_on_connection = false;
    r.round_trip = delegated.round_trip + call->round_trip;
    /* The query arrived at the other host before, and its time began there. */
    r.time_left_ms += (uint32_t)(delegated.elapsed / BBL_USEC_PER_MS);
    r.arrived_at -=
        delegated.elapsed < r.arrived_at ? delegated.elapsed : r.arrived_at;
    bbl_forwarder_receive_request(g->forwarder, bbl_clock_now(), &r);
}

static void
on_caller_disconnect(void *ctx, bbl_edge_call *call)
{
    bbl_gateway *g = ctx;

    bbl_forwarder_cancel_request(g->forwarder, bbl_clock_now(), call);
}

static void
on_ready_request(void *ctx, bbl_edge_call *call)
{
    bbl_gateway *g = ctx;
    bbl_operator_command command;

    g->dialect->read_operator_command(&command, call->method, call->path);
    if (command.kind != BBL_OPERATOR_COMMAND_READY) {
        bbl_edge_respond_text(call, 404, "", "no such path\n");
    }
    else if (ck_pr_load_32(&g->phase) != GATEWAY_SERVING) {
        bbl_edge_respond_text(call, 503, "", "draining\n");
    }
    else if (bbl_forwarder_get_routing_version(g->forwarder) == 0) {
        bbl_edge_respond_text(call, 503, "", "no routing yet\n");
    }
    else {
        bbl_edge_respond_text(call, 200, "", "ready\n");
    }
}

static void
on_metrics_request(void *ctx, bbl_edge_call *call)
{
    bbl_gateway *g = ctx;
    bbl_edge_response r = {200, {"", 0}, {"", 0}, false};
    bbl_buf text = BBL_BUF_INIT;

    bbl_forward_metrics_render(
        &text, g->forwarder, bbl_edge_get_counters(g->caller_edge),
        bbl_backend_client_get_counters(g->backend_client), g->memory);
    r.body = bbl_buf_str(&text);
    bbl_edge_respond(call, &r);
    bbl_buf_free(&text);
}

/* ---- the thread ---- */

/* Replaces the update that waits for the traffic thread, and returns it. */
static bbl_forward_update *
exchange_update(bbl_gateway *g, bbl_forward_update *update)
{
    bbl_forward_update *before;

    BBL_TSAN_RELEASE(&g->update);
    ck_pr_fence_memory();
    before = ck_pr_fas_ptr(&g->update, update);
    ck_pr_fence_memory();
    BBL_TSAN_ACQUIRE(&g->update);
    return before;
}

static void
apply_updates(bbl_gateway *g)
{
    bbl_forward_update *u;
    bbl_permit_reply *reply;
    bbl_admission_notice *admission;
    /* Read before the update, which was sent before it was set. */
    bbl_usec confirmed_until = ck_pr_load_64(&g->routing_confirmed_until);

    ck_pr_fence_load();
    u = exchange_update(g, NULL);
    if (u != NULL) {
        g->resize_links = g->resize_links || !u->only_health;
        bbl_forwarder_update(g->forwarder, bbl_clock_now(), u);
    }
    ck_pr_store_64(&g->applied_index,
                   bbl_forwarder_get_applied_index(g->forwarder));
    bbl_forwarder_confirm_routing(g->forwarder, confirmed_until);
    while ((reply = bbl_mailbox_dequeue(&g->permits)) != NULL) {
        bbl_forwarder_receive_permits(g->forwarder, bbl_clock_now(), reply);
        bbl_permit_reply_free(reply);
    }
    while ((admission = bbl_mailbox_dequeue(&g->admissions)) != NULL) {
        bbl_forwarder_receive_admission(g->forwarder, bbl_clock_now(),
                                        admission->grantor, &admission->reply);
        free(admission);
    }
    if (g->resize_links) {
        g->resize_links = false;
        bbl_forwarder_each_backend(g->forwarder, g, set_link_limit);
    }
}

static void
tick_drain(bbl_gateway *g, bbl_usec now)
{
    bbl_usec grace = ck_pr_load_64(&g->grace_us);
    bbl_usec spent;

    if (grace == 0) {
        return;
    }
    if (g->drain_started_at == 0) {
        g->drain_started_at = now;
        ck_pr_store_32(&g->phase, GATEWAY_DRAINING);
        bbl_forwarder_set_end(
            g->forwarder,
            now + (grace > EXIT_MARGIN_US ? grace - EXIT_MARGIN_US : 0));
        bbl_edge_drain(g->caller_edge);
        if (g->peer_edge != NULL) {
            bbl_edge_drain(g->peer_edge);
        }
    }
    spent = now - g->drain_started_at;
    if (spent >= BALANCER_LAG_US) {
        bbl_edge_close_idle(g->caller_edge, DRAIN_IDLE_US, now);
    }
    if (spent >= BALANCER_LAG_US &&
        bbl_edge_connection_count(g->caller_edge) == 0 &&
        (g->peer_edge == NULL ||
         bbl_edge_open_call_count(g->peer_edge) == 0)) {
        /* This may accept the last connections, which are served as well. */
        bbl_edge_stop_listening(g->caller_edge);
        if (bbl_edge_connection_count(g->caller_edge) == 0) {
            ck_pr_store_32(&g->phase, GATEWAY_DRAINED);
        }
    }
    if (spent + EXIT_MARGIN_US >= grace) {
        bbl_edge_stop_listening(g->caller_edge);
        bbl_forwarder_finish_open(g->forwarder, now);
        if (spent + EXIT_MARGIN_US >= grace + FLUSH_US) {
            ck_pr_store_32(&g->phase, GATEWAY_DRAINED);
        }
    }
}

static void
service_connections(bbl_gateway *g, bbl_usec now)
{
    if (now < g->next_service_at) {
        return;
    }
    g->next_service_at = now + SERVICE_INTERVAL_US;
    bbl_edge_tick(g->caller_edge, now);
    if (g->peer_edge != NULL) {
        bbl_edge_tick(g->peer_edge, now);
    }
    if (g->ready_edge != NULL) {
        bbl_edge_tick(g->ready_edge, now);
    }
    if (g->metrics_edge != NULL) {
        bbl_edge_tick(g->metrics_edge, now);
    }
    bbl_backend_client_pause_preconnect(
        g->backend_client, bbl_forwarder_is_limited(g->forwarder));
    bbl_backend_client_tick(g->backend_client, now);
    bbl_backend_client_tick(g->peer_client, now);
    tick_drain(g, now);
}

static void *
gateway_main(void *ctx)
{
    bbl_gateway *g = ctx;

    while (!ck_pr_load_32(&g->stop_requested)) {
        bbl_usec now = bbl_clock_now();
        bbl_usec next = bbl_forwarder_tick(g->forwarder, now);

        service_connections(g, now);
        next = g->next_service_at < next ? g->next_service_at : next;
        bbl_log_flush();
        bbl_loop_run_once(g->loop, next > now ? next - now : 0);
        apply_updates(g);
    }
    return NULL;
}

/* ---- start and stop ---- */

static int
open_forwarder(bbl_gateway *g, uint64_t seed)
{
    const bbl_node_options *o = g->options;
    bbl_forwarder_options f = BBL_FORWARDER_OPTIONS_INIT;

    f.zone = o->zone;
    f.seed = seed;
    f.caller_distance = o->caller_distance_ms * BBL_USEC_PER_MS;
    f.list_lag = o->catalog_lag_ms * BBL_USEC_PER_MS;
    f.routing_wait_max = o->apply_ms * BBL_USEC_PER_MS / ROUTING_WAIT_DIVISOR;
    f.extra_limits.window = o->extra_window_ms * BBL_USEC_PER_MS;
    f.extra_limits.ratio = o->extra_ratio;
    f.extra_limits.constant = o->extra_constant;
    f.dialect = g->dialect;
    f.port.send = send_attempt;
    f.port.is_sent = is_attempt_sent;
    f.port.cancel = abandon_attempt;
    f.port.get_room = get_server_room;
    f.port.answer = answer_call;
    f.port.report_request = log_request;
    f.port.report_extra_attempt = log_extra_attempt;
    f.port.routing_activated = on_routing_activated;
    f.port.routing_ignored = on_routing_ignored;
    f.port.server_added = on_server_added;
    f.port.server_removed = on_server_removed;
    f.port.server_changed = on_server_changed;
    f.port.delegate = delegate_query;
    f.port.is_delegation_sent = is_delegation_sent;
    f.port.cancel_delegation = cancel_delegation;
    f.port.report_delegation = log_delegation;
    f.port.peer_added = on_peer_added;
    f.port.peer_removed = on_peer_removed;
    f.port.reach_changed = on_reach_changed;
    f.port.rate_limit_reported = on_rate_limit_reported;
    f.port.backoff_begun = on_backoff_begun;
    f.port.leaving_stated = on_leaving_stated;
    f.port.server_ended = on_server_ended;
    f.port.suspect_answered = on_suspect_answered;
    f.port.request_barred = on_request_barred;
    f.port.publish_rate_limit = publish_rate_limit;
    f.port.publish_health = publish_health;
    f.port.request_permits = request_permits;
    f.port.send_admission = send_admission;
    f.port.report_quota = log_quota;
    f.port.pressure_changed = log_pressure;
    f.port.report_rollouts = report_rollouts;
    f.permit_ttl = BBL_PERMIT_TTL_US;
    f.token_time = bbl_quota_get_token_time(&o->quota_limits);
    f.load_admission = o->load_admission;
    f.port.ctx = g;
    return bbl_forwarder_new(&g->forwarder, &f);
}

/* Returns the memory of this host in bytes; 0 if it is not known. */
static size_t
get_host_memory(void)
{
    long pages = sysconf(_SC_PHYS_PAGES);
    long page_bytes = sysconf(_SC_PAGESIZE);

    return pages > 0 && page_bytes > 0 ? (size_t)pages * (size_t)page_bytes
                                       : 0;
}

static void
open_memory_account(bbl_gateway *g)
{
    size_t limit = bbl_node_options_get_memory(g->options, get_host_memory()) /
                   HELD_MEMORY_DIVISOR;

    if (limit < HELD_MEMORY_MIN_BYTES) {
        limit = HELD_MEMORY_MIN_BYTES;
    }
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
    g->memory = bbl_memory_account_new(limit);
}

static int
open_clients(bbl_gateway *g, uint64_t seed)
{
    size_t limit = bbl_memory_account_get_limit(g->memory);
    int error;
    bbl_backend_client_options o = {

        .dialect = g->dialect,
        .connect_timeout = CONNECT_TIMEOUT_US,
        .tcp_user_timeout = SILENCE_TIMEOUT_US,
        .response_max = limit / RESPONSE_DIVISOR < RESPONSE_MAX_BYTES
                            ? limit / RESPONSE_DIVISOR
                            : RESPONSE_MAX_BYTES,
        .account = g->memory,
        .seed = seed,
        .on_connect = on_backend_connect,
        .on_memory_report = on_memory_report,
        .ctx = g,
    };

    error = bbl_backend_client_open(&g->backend_client, g->loop, &o);
    o.on_connect = on_peer_connect;
    o.on_memory_report = on_peer_memory_report;
    return error != 0 ? error
                      : bbl_backend_client_open(&g->peer_client, g->loop, &o);
}

static int
open_edges(bbl_gateway *g)
{
    bbl_edge_handler callers = {on_caller_request, on_caller_disconnect, g};
    bbl_edge_handler peers = {on_peer_request, on_caller_disconnect, g};
    bbl_edge_handler ready = {on_ready_request, NULL, g};
    bbl_edge_handler metrics = {on_metrics_request, NULL, g};
    int error = bbl_edge_open(&g->caller_edge, g->loop,
                              g->options->caller_address, &callers);

    if (error == 0) {
        bbl_edge_set_memory_account(g->caller_edge, g->memory);
    }
    if (error == 0 && g->options->peer_address.port != 0) {
        error = bbl_edge_open(&g->peer_edge, g->loop, g->options->peer_address,
                              &peers);
    }
    if (error == 0 && g->peer_edge != NULL) {
        bbl_edge_set_memory_account(g->peer_edge, g->memory);
    }
    if (error == 0 && g->options->ready_address.port != 0) {
        error = bbl_edge_open(&g->ready_edge, g->loop,
                              g->options->ready_address, &ready);
    }
    if (error == 0 && g->options->metrics_address.port != 0) {
        error = bbl_edge_open(&g->metrics_edge, g->loop,
                              g->options->metrics_address, &metrics);
    }
    return error;
}

int
bbl_gateway_open(bbl_gateway **out, const bbl_node_options *options,
                 const bbl_dialect *dialect, uint64_t seed,
                 bbl_mailbox *notices)
{
    bbl_gateway *g = bbl_calloc(1, sizeof(*g));
    int error;

    *out = NULL;
    g->options = options;
    g->dialect = dialect;
    g->notices = notices;
    open_memory_account(g);
    error = bbl_loop_open(&g->loop);
    if (error == 0) {
        error = bbl_mailbox_init(&g->permits, g->loop, MAILBOX_SLOTS);
    }
    if (error == 0) {
        error = bbl_mailbox_init(&g->admissions, g->loop, MAILBOX_SLOTS);
    }
    if (error == 0) {
        error = open_forwarder(g, seed);
    }
    if (error == 0) {
        error = open_clients(g, seed);
    }
    if (error == 0) {
        error = open_edges(g);
    }
    if (error != 0) {
        bbl_gateway_free(g);
        return error;
    }
    *out = g;
    return 0;
}

int
bbl_gateway_start(bbl_gateway *g)
{
    if (pthread_create(&g->thread, NULL, gateway_main, g) != 0) {
        return bbl_error_set(BBL_EIO, "pthread_create");
    }
    g->thread_running = true;
    return 0;
}

void
bbl_gateway_send_update(bbl_gateway *g, bbl_forward_update *update)
{
    bbl_forward_update_free(exchange_update(g, update));
    bbl_loop_wake(g->loop);
}

bbl_forward_update *
bbl_gateway_take_back_update(bbl_gateway *g)
{
    return exchange_update(g, NULL);
}

uint64_t
bbl_gateway_get_applied_index(const bbl_gateway *g)
{
    return ck_pr_load_64(&g->applied_index);
}

void
bbl_gateway_send_permits(bbl_gateway *g, bbl_permit_reply *reply)
{
    if (!bbl_mailbox_enqueue(&g->permits, reply)) {
        bbl_permit_reply_free(reply);
    }
}

void
bbl_gateway_send_admission(bbl_gateway *g, uint32_t grantor,
                           const bblx_admission_reply *reply)
{
    bbl_admission_notice *n = bbl_calloc(1, sizeof(*n));

    *n = (bbl_admission_notice){grantor, *reply};
    if (!bbl_mailbox_enqueue(&g->admissions, n)) {
        free(n);
    }
}

void
bbl_gateway_confirm_routing(bbl_gateway *g, bbl_usec until)
{
    ck_pr_fence_store();
    ck_pr_store_64(&g->routing_confirmed_until, until);
}

void
bbl_gateway_start_drain(bbl_gateway *g, bbl_usec grace)
{
    ck_pr_store_64(&g->grace_us, grace);
    bbl_loop_wake(g->loop);
}

bool
bbl_gateway_is_drained(bbl_gateway *g)
{
    return ck_pr_load_32(&g->phase) == GATEWAY_DRAINED;
}

void
bbl_gateway_stop(bbl_gateway *g)
{
    if (g->thread_running) {
        ck_pr_store_32(&g->stop_requested, 1);
        bbl_loop_wake(g->loop);
        pthread_join(g->thread, NULL);
        g->thread_running = false;
    }
}

static void
free_permits(void *reply)
{
    bbl_permit_reply_free(reply);
}

void
bbl_gateway_free(bbl_gateway *g)
{
    if (g == NULL) {
        return;
    }
    bbl_gateway_stop(g);
    bbl_edge_free(g->ready_edge);
    bbl_edge_free(g->metrics_edge);
    bbl_edge_free(g->caller_edge);
    bbl_edge_free(g->peer_edge);
    bbl_forwarder_free(g->forwarder);
    bbl_backend_client_free(g->backend_client);
    bbl_backend_client_free(g->peer_client);
    bbl_memory_account_free(g->memory);
    bbl_forward_update_free(g->update);
    bbl_mailbox_free(&g->permits, free_permits);
    bbl_mailbox_free(&g->admissions, free);
    bbl_loop_free(g->loop);
    bbl_buf_free(&g->request_head);
    bbl_buf_free(&g->scratch_fields);
    free(g);
}
