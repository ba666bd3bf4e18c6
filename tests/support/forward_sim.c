#include "support/forward_sim.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/dialect.h"
#include "util/alloc.h"

#define STEP_US 500 /* interval between ticks */
#define CRASH_FINGERPRINT 0x4372617368ull
#define LINK_STEP_US 100 /* the same, while the link is narrow */

/* Timeouts of the connections, see forward_sim_set_links. */
#define CONNECT_TIMEOUT_US (250 * BBL_USEC_PER_MS)
#define CONNECTION_TIMEOUT_US (700 * BBL_USEC_PER_MS)
#define RECONNECT_INTERVAL_US (300 * BBL_USEC_PER_MS)
#define REFUSAL_US BBL_USEC_PER_MS

typedef enum {
    LINK_FAILURE_NONE,
    LINK_FAILURE_CONNECT, /* no connection could be opened */
    LINK_FAILURE_BROKEN   /* the connection was reset or has timed out */
} link_failure;

/* An attempt in flight at a server. */
typedef struct {
    bbl_attempt *attempt;
    forward_sim_server *server;
    server_mode mode; /* of the server when the attempt arrived */
    bbl_usec ends;
    unsigned call;
    link_failure link_failure;
} exchange;

struct forward_sim {
    bbl_usec now;
    bbl_forwarder *forwarder;
    forward_sim_server servers[FORWARD_SIM_SERVERS_MAX];
    size_t server_count;
    bbl_vec exchanges; /* exchange */
    forward_sim_call calls[FORWARD_SIM_CALLS_MAX];
    unsigned call_count;
    char ids[FORWARD_SIM_CALLS_MAX][16];
    unsigned entry_hosts;
    bool under_pressure; /* as reported */
    bbl_usec list_read_at;
    bbl_usec receive_time; /* of one response; 0: the link is fast */
    bbl_usec link_free_at;
    bbl_usec round_trip; /* to callers; 0 if not measured */
    uint64_t version;    /* active version */
    uint64_t applied;    /* state index of the last routing sent */
    unsigned routings_ignored;
    const char *violation; /* the first one, or NULL */
    void (*arrived)(void *ctx, const forward_sim_server *server, bbl_usec now);
    void *arrived_ctx;
    forward_sim_control control;
    forward_sim_peers peers;
    forward_sim_links links;
    bool simulates_links; /* see forward_sim_set_links */
    const char *key;      /* of further requests; NULL if they have none */
    unsigned key_count;
    unsigned quota_reports;
    const char *crash_path;    /* NULL if no request ends its servers */
    const char *repeated_path; /* see forward_sim_set_repeated_path; or NULL */
};

/* Records the first violated guarantee. */
static void
require(forward_sim *sim, bool holds, const char *violation)
{
    if (!holds && sim->violation == NULL) {
        sim->violation = violation;
    }
}

static forward_sim_server *
find_server(forward_sim *sim, const bbl_backend *b)
{
    for (size_t i = 0; i < sim->server_count; i++) {
        forward_sim_server *s = &sim->servers[i];

        if (strlen(s->id) == b->listed.id.bblx_label_len &&
            memcmp(s->id, b->listed.id.bblx_label_val, strlen(s->id)) == 0) {
            return s;
        }
    }
    abort(); /* no such server was ever listed */
}

/* Returns how long the host waits until a connect fails. */
static bbl_usec
get_connect_failure_time(const forward_sim *sim)
{
    return sim->links == LINKS_REFUSE ? REFUSAL_US : CONNECT_TIMEOUT_US;
}

/*
 * Starts an exchange that the links let fail. Returns false if they let it
 * pass.
 */
static bool
start_failing_exchange(forward_sim *sim, bbl_attempt *attempt,
                       forward_sim_server *s, unsigned call)
{
    exchange x = {attempt, s, s->mode, 0, call, LINK_FAILURE_CONNECT};

    if (!sim->simulates_links || sim->links == LINKS_OPEN ||
        (sim->links == LINKS_REFUSE && s->connected && s->in_use == 0)) {
        s->connected = true;
        return false;
    }
    x.ends = sim->now + get_connect_failure_time(sim);
    if (sim->links == LINKS_HANG && s->connected) {
        x.ends = sim->now + CONNECTION_TIMEOUT_US;
        x.link_failure = LINK_FAILURE_BROKEN;
        s->connected = false;
    }
    s->in_use++;
    bbl_vec_push(&sim->exchanges, &x);
    bbl_attempt_set_handle(attempt, attempt);
    return true;
}

/* Records what a server or peer is told of the caller of a request. */
static void
record_identity(forward_sim *sim, forward_sim_call *c,
                const bbl_identity_fields *identity)
{
    bbl_str before = {c->organisation, strlen(c->organisation)};

    require(sim,
            before.size == 0 || bbl_str_equal(before, identity->organisation),
            "a request is sent on behalf of two organisations");
    require(sim, identity->replaced || identity->organisation.size == 0,
            "a field of the caller is sent beside that of the host");
    snprintf(c->organisation, sizeof(c->organisation), "%.*s",
             (int)identity->organisation.size,
             identity->organisation.ptr ? identity->organisation.ptr : "");
    c->identity_replaced = identity->replaced;
}

/* ---- the port ---- */

static int
on_send(void *ctx, bbl_attempt *attempt, bbl_backend *backend,
        const bbl_attempt_request *request)
{
    forward_sim *sim = ctx;
    forward_sim_server *s = find_server(sim, backend);
    exchange *x;
    bool arrives = s->mode != SERVER_REFUSES && s->mode != SERVER_DARK &&
                   s->mode != SERVER_UNSENT;
    bool runs =
        arrives && s->mode != SERVER_SHEDS && s->mode != SERVER_REPLACED;
    unsigned call = (unsigned)(uintptr_t)request->request_handle - 1;

    if (s->connections != 0 && s->in_use >= s->connections) {
        return -1;
    }
    require(sim, !s->gone && !s->leaving,
            "a request is sent to a server that is leaving or gone");
    require(sim, sim->now >= s->cold_until,
            "a request is sent to a cold server");
    require(sim, request->time_left_ms > 0,
            "a request is sent with no time left");
    record_identity(sim, &sim->calls[call], &request->identity);
    if (start_failing_exchange(sim, attempt, s, call)) {
        return 0;
    }
    x = bbl_vec_add(&sim->exchanges);
    x->link_failure = LINK_FAILURE_NONE;
    x->attempt = attempt;
    x->server = s;
    x->mode = sim->calls[call].crashes && runs ? SERVER_BREAKS : s->mode;
    x->call = call;
    x->ends = sim->now + (runs ? s->work : 1000);
    if (s->paused_until > sim->now) {
        x->ends += s->paused_until - sim->now;
    }
    if (s->mode == SERVER_SILENT || s->mode == SERVER_DARK) {
        x->ends = UINT64_MAX;
    }
    s->in_use++;
    s->arrivals += arrives;
    if (sim->arrived != NULL && arrives) {
        sim->arrived(sim->arrived_ctx, s, sim->now);
    }
    s->runs += runs;
    sim->calls[call].runs += runs;
    if (request->time_left_ms > sim->calls[call].time_left_max_ms) {
        sim->calls[call].time_left_max_ms = request->time_left_ms;
    }
    bbl_attempt_set_handle(attempt, attempt);
    return 0;
}

static bool
on_is_sent(void *ctx, const bbl_attempt *attempt)
{
    forward_sim *sim = ctx;

    for (size_t i = 0; i < sim->exchanges.size; i++) {
        const exchange *x = bbl_vec_at(&sim->exchanges, i);

        if (x->attempt == attempt) {
            return x->mode != SERVER_DARK &&
                   x->link_failure != LINK_FAILURE_CONNECT;
        }
    }
    require(sim, false, "an attempt is asked for that is not in flight");
    return true;
}

static void
on_abandon(void *ctx, bbl_attempt *attempt)
{
    forward_sim *sim = ctx;

    for (size_t i = 0; i < sim->exchanges.size; i++) {
        exchange *x = bbl_vec_at(&sim->exchanges, i);

        if (x->attempt == attempt) {
            x->server->in_use--;
            bbl_vec_swap_remove(&sim->exchanges, i);
            return;
        }
    }
    require(sim, false, "an attempt is abandoned that is not in flight");
}

static bbl_room
on_room(void *ctx, const bbl_backend *backend, bbl_usec now)
{
    const forward_sim_server *s = find_server(ctx, backend);

    (void)now;
    return s->connections == 0 || s->in_use < s->connections ? BBL_ROOM_READY
                                                             : BBL_ROOM_NONE;
}

/* Parses the header lines that the forwarder adds to its answers. */
static void
read_header_lines(forward_sim_call *c, bbl_str fields)
{
    char text[4096];
    const char *at;

    fields.size = fields.size < sizeof(text) ? fields.size : 0;
    memcpy(text, fields.ptr ? fields.ptr : "", fields.size);
    text[fields.size] = '\0';
    at = strstr(text, "Missing-Parts: ");
    c->missing = at ? (unsigned)atoi(at + 15) : 0;
    at = strstr(text, "Part-Stamps: ");
    for (; at != NULL && *at != '\r'; at++) {
        c->parts += *at == ':' || *at == ',';
    }
    at = strstr(text, "Retry-After: ");
    c->retry_after_ms = at ? (uint32_t)(atof(at + 13) * 1000) : 0;
}

static void
on_answer(void *ctx, void *call, const bbl_forward_answer *answer)
{
    forward_sim *sim = ctx;
    forward_sim_call *c = &sim->calls[(uintptr_t)call - 1];

    require(sim, !c->answered, "a caller is answered twice");
    require(sim, !c->left, "a caller is answered after it left");
    c->answered = true;
    c->status = answer->status;
    c->attempts_maybe_run = answer->attempts;
    c->leaving = answer->leaving;
    c->answered_at = sim->now;
    if (answer->relayed == NULL) {
        read_header_lines(c, answer->header_lines);
    }
    require(sim,
            (c->status != 503 && c->status != 401 && c->status != 429) ||
                c->runs == 0,
            "status 503, 401 or 429 for a request that has run");
}

static void
on_record(void *ctx, const bbl_forward_record *r)
{
    forward_sim *sim = ctx;

    for (unsigned i = 0; i < sim->call_count; i++) {
        if (strlen(sim->ids[i]) == r->request_id.size &&
            memcmp(sim->ids[i], r->request_id.ptr, r->request_id.size) == 0) {
            sim->calls[i].reason = r->reason;
            require(sim,
                    sim->calls[i].organisation[0] == '\0' ||
                        bbl_str_equal(
                            r->organisation,
                            (bbl_str){sim->calls[i].organisation,
                                      strlen(sim->calls[i].organisation)}),
                    "the log names another organisation than the servers");
        }
    }
}

static void
on_extra_attempt(void *ctx, const bbl_extra_attempt_record *r)
{
    require(ctx, r->request_id.size > 0,
            "an extra attempt is reported without a request id");
    require(ctx, r->budget_left >= 0 && r->budget_left <= 1,
            "the budget left is not between 0 and 1");
}

static void
on_routing_activated(void *ctx, uint64_t version, bbl_usec waited)
{
    forward_sim *sim = ctx;

    require(sim, version > sim->version, "an older routing is activated");
    require(sim, waited <= 1600 * BBL_USEC_PER_MS,
            "a routing waits too long for its shards");
    sim->version = version;
}

static void
on_routing_ignored(void *ctx, uint64_t version, uint64_t current)
{
    forward_sim *sim = ctx;

    require(sim, version < current, "a newer routing is ignored");
    sim->routings_ignored++;
}

static void
on_added(void *ctx, bbl_backend *backend)
{
    find_server(ctx, backend)->backend = backend;
}

static void
on_removed(void *ctx, bbl_backend *backend)
{
    find_server(ctx, backend)->backend = NULL;
}

static void
on_rate_limit_reported(void *ctx, const bbl_backend *backend)
{
    (void)ctx;
    (void)backend;
}

static void
on_backoff_begun(void *ctx, const bbl_backend *backend, unsigned sent_before)
{
    (void)sent_before;
    require(ctx, backend->backoff.until > 0, "no time without requests");
}

static void
on_leaving_stated(void *ctx, const bbl_backend *backend)
{
    require(ctx, backend->backoff.leaving, "the server is not leaving");
}

static void
on_server_ended(void *ctx, const bbl_broken_attempt *attempt)
{
    forward_sim *sim = ctx;

    require(sim, attempt->fingerprint != 0,
            "a crash is reported without a fingerprint");
    if (sim->control.publish_crash != NULL) {
        sim->control.publish_crash(sim->control.ctx, sim, attempt->fingerprint,
                                   attempt->generation);
    }
}

static void
on_suspect_answered(void *ctx, uint64_t fingerprint)
{
    forward_sim *sim = ctx;

    if (sim->control.publish_crash != NULL) {
        sim->control.publish_crash(sim->control.ctx, sim, fingerprint, 0);
    }
}

static void
on_request_barred(void *ctx, uint64_t fingerprint)
{
    require(ctx, fingerprint == CRASH_FINGERPRINT,
            "a request that ended no server is refused");
}

static void
on_publish_rate_limit(void *ctx, const bbl_backend *backend)
{
    forward_sim *sim = ctx;
    bbl_observed_limit limit = {backend->key, 0, backend->limit.limited,
                                backend->limit.rate};

    if (sim->control.publish_limit != NULL) {
        sim->control.publish_limit(sim->control.ctx, sim, &limit);
    }
}

static void
on_publish_health(void *ctx, const bbl_backend *backend,
                  const bbl_observed_health *observed, bbl_health_level before)
{
    forward_sim *sim = ctx;

    (void)before;
    require(sim, sim->entry_hosts > BBL_HEALTH_SMALL_FLEET,
            "a small fleet shares the health of servers");
    require(sim, observed->server == backend->key,
            "an observation of another server is published");
    if (sim->control.publish_health != NULL) {
        sim->control.publish_health(sim->control.ctx, sim, observed);
    }
}

static void
on_request_permits(void *ctx, const bbl_permit_request *request)
{
    forward_sim *sim = ctx;

    require(sim, request->item_count > 0, "permits for no server");
    if (sim->control.request_permits != NULL) {
        sim->control.request_permits(sim->control.ctx, sim, request);
    }
}

static void
on_send_admission(void *ctx, uint32_t grantor, const bblx_message *message)
{
    forward_sim *sim = ctx;

    if (sim->control.send_admission != NULL) {
        sim->control.send_admission(sim->control.ctx, sim, grantor, message);
    }
}

static void
on_pressure_changed(void *ctx, bbl_str service, bool active,
                    double refused_share)
{
    forward_sim *sim = ctx;

    require(sim, service.size > 0, "pressure at no service");
    require(sim, refused_share >= 0 && refused_share <= 1,
            "the refused share is not between 0 and 1");
    require(sim, active != sim->under_pressure,
            "pressure is reported that has begun or ended before");
    sim->under_pressure = active;
}

static void
on_report_quota(void *ctx, const bbl_quota_record *r)
{
    forward_sim *sim = ctx;

    require(sim, r->refused > 0 && r->asked <= r->refused,
            "a report of refusals does not add up");
    sim->quota_reports++;
}

static void
on_changed(void *ctx, bbl_backend *backend, bbl_backend_state before)
{
    forward_sim *sim = ctx;

    (void)before;
    if (bbl_backend_get_state(backend, sim->now) == BBL_BACKEND_DOWN) {
        find_server(sim, backend)->connected = false;
    }
}

static int
on_delegate(void *ctx, bbl_delegation *delegation,
            const bbl_delegation_request *request)
{
    forward_sim *sim = ctx;
    unsigned call = (unsigned)(uintptr_t)request->request_handle - 1;

    require(sim, request->time_left_ms > 0,
            "a query is delegated with no time left");
    require(sim, request->idempotent || sim->calls[call].runs == 0,
            "a request that is not idempotent is delegated after a run");
    record_identity(sim, &sim->calls[call], &request->identity);
    require(sim,
            bbl_str_equal(request->identity.organisation,
                          request->delegated.organisation),
            "a query is delegated for another organisation");
    return sim->peers.delegate(sim->peers.ctx, sim, delegation, request);
}

static bool
on_is_delegation_sent(void *ctx, const bbl_delegation *delegation)
{
    forward_sim *sim = ctx;

    return sim->peers.is_sent(sim->peers.ctx, delegation);
}

static void
on_cancel_delegation(void *ctx, bbl_delegation *delegation)
{
    forward_sim *sim = ctx;

    sim->peers.cancel(sim->peers.ctx, delegation);
}

static void
on_report_delegation(void *ctx, const bbl_forward_request *request,
                     const bbl_delegation_request *delegation,
                     bbl_delegation_cause cause)
{
    (void)cause;
    require(ctx, request->delegated.host == 0,
            "a delegated query is delegated again");
    require(ctx, delegation->peer != NULL, "a query is delegated to no peer");
}

static void
on_peer_changed(void *ctx, bbl_peer *peer)
{
    (void)ctx;
    (void)peer;
}

static void
on_reach_changed(void *ctx, const bbl_reach *reach, bbl_reach_level before)
{
    require(ctx, reach->level != before, "an unchanged reach is reported");
}

/* ---- servers ---- */

static void
record_connect(forward_sim *sim, const forward_sim_server *s, bool ok,
               bbl_usec duration)
{
    if (s->backend != NULL) {
        bbl_forwarder_record_connect(sim->forwarder, sim->now, s->backend, ok,
                                     duration);
    }
}

/* Completes an exchange that the links let fail. */
static void
complete_failed_exchange(forward_sim *sim, const exchange *x)
{
    bbl_attempt_result r;

    memset(&r, 0, sizeof(r));
    r.outcome = BBL_ATTEMPT_BROKEN;
    r.failure_reason = "the links are cut";
    x->server->in_use--;
    if (x->link_failure == LINK_FAILURE_CONNECT) {
        r.outcome = BBL_ATTEMPT_UNSENT;
        record_connect(sim, x->server, false, get_connect_failure_time(sim));
    }
    bbl_forwarder_complete_attempt(sim->forwarder, sim->now, x->attempt, &r);
}

static void
add_field(bbl_vec *fields, const char *name, const char *value)
{
    bbl_header h = {{name, strlen(name)}, {value, strlen(value)}};

    bbl_vec_push(fields, &h);
}

static void
complete_exchange(forward_sim *sim, const exchange *x)
{
    static const char body[] = "0123456789abcdef";
    char limit[24];
    bbl_vec fields = BBL_VEC_INIT(bbl_header);
    bbl_header signature = {{"Response-Stamp", 14},
                            {x->server->id, strlen(x->server->id)}};
    bbl_header not_run = {{"Not-Executed", 12}, {"1", 1}};
    bbl_attempt_result r;

    memset(&r, 0, sizeof(r));
    r.outcome = BBL_ATTEMPT_RESPONSE;
    r.status = 200;
    r.headers = &signature;
    r.header_count = 1;
    r.body = (bbl_str){body, sizeof(body) - 1};
    r.failure_reason = "fault set by the test";
    switch (x->mode) {
    case SERVER_SHEDS:
        r.status = 503;
        r.headers = &not_run;
        break;
    case SERVER_REPLACED:
        r.status = 421;
        r.header_count = 0;
        break;
    case SERVER_FAILS:
        r.status = 500;
        break;
    case SERVER_DENIES:
        r.status = 503;
        break;
    case SERVER_BREAKS:
        r.outcome = BBL_ATTEMPT_BROKEN;
        break;
    case SERVER_REFUSES:
        r.outcome = BBL_ATTEMPT_UNSENT;
        break;
    case SERVER_UNSENT:
        r.outcome = BBL_ATTEMPT_UNSENT;
        r.ended_by_host = true;
        break;
    case SERVER_UNSIGNED:
        r.header_count = 0;
        break;
    default:
        break;
    }
    if (r.header_count > 0) {
        bbl_vec_push(&fields, r.headers);
    }
    if (x->server->rate_limit > 0) {
        snprintf(limit, sizeof(limit), "%.3f", x->server->rate_limit);
        add_field(&fields, "Server-Limit", limit);
    }
    if (x->server->retry_after != NULL && r.status == 503) {
        add_field(&fields, "Retry-After", x->server->retry_after);
    }
    if (x->server->states_leaving) {
        add_field(&fields, "Server-Leaving", "1");
    }
    r.headers = fields.ptr;
    r.header_count = fields.size;
    x->server->in_use--;
    bbl_forwarder_complete_attempt(sim->forwarder, sim->now, x->attempt, &r);
    bbl_vec_free(&fields);
    if (sim->calls[x->call].crashes && x->mode == SERVER_BREAKS &&
        x->server->backend != NULL) {
        forward_sim_record_connect(sim, x->server, false);
    }
}

/* Returns the due exchange that ended first, or SIZE_MAX. */
static size_t
find_due_exchange(const forward_sim *sim)
{
    size_t best = SIZE_MAX;
    bbl_usec best_ends = sim->now + 1;

    for (size_t i = 0; i < sim->exchanges.size; i++) {
        const exchange *x = bbl_vec_at(&sim->exchanges, i);

        if (x->ends < best_ends) {
            best = i;
            best_ends = x->ends;
        }
    }
    return best;
}

static void
complete_due_exchanges(forward_sim *sim)
{
    size_t i;

    while (sim->link_free_at <= sim->now &&
           (i = find_due_exchange(sim)) != SIZE_MAX) {
        exchange x = *(exchange *)bbl_vec_at(&sim->exchanges, i);

        bbl_vec_swap_remove(&sim->exchanges, i);
        if (sim->receive_time > 0) {
            sim->link_free_at = sim->now + sim->receive_time;
        }
        if (x.link_failure != LINK_FAILURE_NONE) {
            complete_failed_exchange(sim, &x);
        }
        else {
            complete_exchange(sim, &x);
        }
    }
}

/* Opens connections to the servers that are down, as the driver does. */
static void
reconnect_servers(forward_sim *sim)
{
    for (size_t i = 0; sim->simulates_links && i < sim->server_count; i++) {
        forward_sim_server *s = &sim->servers[i];

        if (s->backend == NULL || !s->backend->down ||
            sim->now < s->next_connect_at) {
            continue;
        }
        s->next_connect_at = sim->now + RECONNECT_INTERVAL_US;
        s->connected = sim->links == LINKS_OPEN;
        record_connect(sim, s, s->connected,
                       s->connected ? REFUSAL_US
                                    : get_connect_failure_time(sim));
    }
}

/* ---- the simulation ---- */

static forward_sim *
new_sim(unsigned entry_hosts, uint64_t seed, bool load_admission)
{
    forward_sim *sim = bbl_calloc(1, sizeof(*sim));
    bbl_forwarder_options o = BBL_FORWARDER_OPTIONS_INIT;

    sim->now = BBL_USEC_PER_SEC;
    sim->list_read_at = sim->now;
    sim->entry_hosts = entry_hosts;
    sim->exchanges = (bbl_vec)BBL_VEC_INIT(exchange);
    bbl_name_set(&o.zone, "z1", 2);
    o.seed = seed;
    o.load_admission = load_admission;
    o.dialect = bbl_platform_dialect();
    o.port.send = on_send;
    o.port.is_sent = on_is_sent;
    o.port.cancel = on_abandon;
    o.port.get_room = on_room;
    o.port.answer = on_answer;
    o.port.report_request = on_record;
    o.port.report_extra_attempt = on_extra_attempt;
    o.port.routing_activated = on_routing_activated;
    o.port.routing_ignored = on_routing_ignored;
    o.port.server_added = on_added;
    o.port.server_removed = on_removed;
    o.port.server_changed = on_changed;
    o.port.delegate = on_delegate;
    o.port.is_delegation_sent = on_is_delegation_sent;
    o.port.cancel_delegation = on_cancel_delegation;
    o.port.report_delegation = on_report_delegation;
    o.port.peer_added = on_peer_changed;
    o.port.peer_removed = on_peer_changed;
    o.port.reach_changed = on_reach_changed;
    o.port.rate_limit_reported = on_rate_limit_reported;
    o.port.backoff_begun = on_backoff_begun;
    o.port.leaving_stated = on_leaving_stated;
    o.port.server_ended = on_server_ended;
    o.port.suspect_answered = on_suspect_answered;
    o.port.request_barred = on_request_barred;
    o.port.publish_rate_limit = on_publish_rate_limit;
    o.port.publish_health = on_publish_health;
    o.port.request_permits = on_request_permits;
    o.port.send_admission = on_send_admission;
    o.port.report_quota = on_report_quota;
    o.port.pressure_changed = on_pressure_changed;
    o.port.ctx = sim;
    bbl_forwarder_new(&sim->forwarder, &o);
    bbl_forwarder_confirm_routing(sim->forwarder, UINT64_MAX);
    return sim;
}

forward_sim *
forward_sim_new(unsigned entry_hosts)
{
    return new_sim(entry_hosts, 1, true);
}

forward_sim *
forward_sim_new_seeded(unsigned entry_hosts, uint64_t seed)
{
    return new_sim(entry_hosts, seed, true);
}

forward_sim *
forward_sim_new_without_load_admission(unsigned entry_hosts)
{
    return new_sim(entry_hosts, 1, false);
}

const char *
forward_sim_get_violation(const forward_sim *sim)
{
    return sim->violation;
}

void
forward_sim_free(forward_sim *sim)
{
    ck_assert_msg(sim->violation == NULL, "%s", sim->violation);
    forward_sim_discard(sim);
}

void
forward_sim_discard(forward_sim *sim)
{
    bbl_forwarder_free(sim->forwarder);
    bbl_vec_free(&sim->exchanges);
    free(sim);
}

forward_sim_server *
forward_sim_add_server(forward_sim *sim, const char *id, const char *service,
                       const char *zone)
{
    forward_sim_server *s = &sim->servers[sim->server_count++];

    snprintf(s->id, sizeof(s->id), "%s", id);
    snprintf(s->service, sizeof(s->service), "%s", service);
    snprintf(s->zone, sizeof(s->zone), "%s", zone);
    s->work = 10 * BBL_USEC_PER_MS;
    return s;
}

forward_sim_server *
forward_sim_get_server(forward_sim *sim, size_t i)
{
    return &sim->servers[i];
}

static bbl_forward_update *
make_update(forward_sim *sim)
{
    bbl_forward_update *u = bbl_calloc(1, sizeof(*u));

    u->backends = bbl_calloc(sim->server_count, sizeof(*u->backends));
    u->cold_until = bbl_calloc(sim->server_count, sizeof(*u->cold_until));
    for (size_t i = 0; i < sim->server_count; i++) {
        forward_sim_server *s = &sim->servers[i];
        bblx_backend *b = &u->backends[u->backend_count];

        b->id.bblx_label_len = (u_int)strlen(s->id);
        b->id.bblx_label_val = bbl_memdup(s->id, strlen(s->id));
        b->service.bblx_label_len = (u_int)strlen(s->service);
        b->service.bblx_label_val = bbl_memdup(s->service, strlen(s->service));
        b->zone.bblx_name_len = (u_int)strlen(s->zone);
        b->zone.bblx_name_val = bbl_memdup(s->zone, strlen(s->zone));
        b->slots = 2;
        b->leaving = s->leaving;
        b->gone = s->gone;
        s->cold_until =
            s->cold_ms > 0 ? sim->now + s->cold_ms * BBL_USEC_PER_MS : 0;
        u->cold_until[u->backend_count++] = s->cold_until;
    }
    sim->list_read_at = sim->now;
    u->list_read_at = sim->now;
    u->applied = sim->applied;
    u->entry_hosts = sim->entry_hosts;
    return u;
}

void
forward_sim_install_routing(forward_sim *sim, const char *document)
{
    bbl_forward_update *u = make_update(sim);
    bbl_str text = {document, strlen(document)};

    if (bbl_platform_dialect()->read_routing(&u->routing, text) != 0 ||
        bbl_routing_check(u->routing) != 0) {
        abort(); /* the document of the test is invalid */
    }
    u->applied = ++sim->applied;
    bbl_forwarder_update(sim->forwarder, sim->now, u);
}

void
forward_sim_update_list(forward_sim *sim, const char *evacuated)
{
    bbl_forward_update *u = make_update(sim);

    if (evacuated != NULL) {
        u->evacuated_zones = bbl_calloc(1, sizeof(*u->evacuated_zones));
        bbl_name_set(u->evacuated_zones, evacuated, strlen(evacuated));
        u->evacuated_zone_count = 1;
    }
    bbl_forwarder_update(sim->forwarder, sim->now, u);
}

void
forward_sim_set_key(forward_sim *sim, const char *key, unsigned count)
{
    sim->key = key;
    sim->key_count = count;
}

void
forward_sim_update_rollout(forward_sim *sim, const char *service,
                           bblx_rollout_state state, uint32_t share)
{
    bbl_forward_update *u = make_update(sim);

    u->rollouts = bbl_calloc(1, sizeof(*u->rollouts));
    u->rollout_count = 1;
    u->rollouts->order = 1;
    u->rollouts->state = state;
    u->rollouts->share = share;
    bbl_buf_append_cstr(&u->rollouts->service, service);
    u->has_observations = true;
    u->versions = bbl_calloc(sim->server_count, sizeof(*u->versions));
    for (size_t i = 0; i < sim->server_count; i++) {
        u->versions[u->version_count++] = (bbl_known_version){
            bbl_backend_get_key(&u->backends[i]), 1,
            strncmp(sim->servers[i].id, "new", 3) == 0 ? BBLX_VERSION_TARGET
                                                       : BBLX_VERSION_OTHER};
    }
    bbl_forwarder_update(sim->forwarder, sim->now, u);
}

unsigned
forward_sim_send_request(forward_sim *sim, const char *path,
                         uint32_t time_left_ms)
{
    return forward_sim_send_delayed_request(sim, path, time_left_ms, 0);
}

/* Sends a request that arrived `delay` ago. Returns its number. */
static unsigned
send_request(forward_sim *sim, const char *path, uint32_t time_left_ms,
             bbl_usec delay, const bbl_delegated *delegated)
{
    unsigned n = sim->call_count++;
    bbl_forward_request r;

    if (n >= FORWARD_SIM_CALLS_MAX) {
        abort(); /* the test sends too many requests */
    }
    snprintf(sim->ids[n], sizeof(sim->ids[n]), "q%u", n);
    sim->calls[n].used = true;
    sim->calls[n].path = path;
    sim->calls[n].delegated = delegated->host != 0;
    sim->calls[n].sent_at = sim->now;
    memset(&r, 0, sizeof(r));
    r.request_handle = (void *)(uintptr_t)(n + 1);
    r.hostname = (bbl_str){"a.example", 9};
    r.path = (bbl_str){path, strlen(path)};
    r.request_id = (bbl_str){sim->ids[n], strlen(sim->ids[n])};
    sim->calls[n].crashes =
        sim->crash_path != NULL && strcmp(path, sim->crash_path) == 0;
    r.fingerprint =
        sim->calls[n].crashes || (sim->repeated_path != NULL &&
                                  strcmp(path, sim->repeated_path) == 0)
            ? CRASH_FINGERPRINT
            : n + 1;
    r.has_time_left = time_left_ms > 0;
    r.time_left_ms = time_left_ms;
    r.arrived_at = sim->now - delay;
    r.round_trip = sim->round_trip;
    r.delegated = *delegated;
    r.key = (bbl_str){sim->key, sim->key != NULL ? strlen(sim->key) : 0};
    r.key_count = sim->key_count;
    bbl_forwarder_receive_request(sim->forwarder, sim->now, &r);
    return n;
}

unsigned
forward_sim_send_delayed_request(forward_sim *sim, const char *path,
                                 uint32_t time_left_ms, bbl_usec delay)
{
    static const bbl_delegated none;

    return send_request(sim, path, time_left_ms, delay, &none);
}

void
forward_sim_set_peers(forward_sim *sim, const forward_sim_peers *peers,
                      const uint32_t *hosts, size_t count)
{
    bbl_forward_update *u = bbl_calloc(1, sizeof(*u));

    sim->peers = *peers;
    u->list_read_at = sim->list_read_at;
    u->entry_hosts = sim->entry_hosts;
    u->has_peers = true;
    u->peers = bbl_calloc(count, sizeof(*u->peers));
    u->peer_count = count;
    for (size_t i = 0; i < count; i++) {
        u->peers[i].host = hosts[i];
    }
    bbl_forwarder_update(sim->forwarder, sim->now, u);
}

unsigned
forward_sim_send_delegated(forward_sim *sim, const char *path,
                           uint32_t time_left_ms,
                           const bbl_delegated *delegated)
{
    return send_request(sim, path,
                        time_left_ms +
                            (uint32_t)(delegated->elapsed / BBL_USEC_PER_MS),
                        delegated->elapsed, delegated);
}

void
forward_sim_complete_delegation(forward_sim *sim, bbl_delegation *delegation,
                                const forward_sim_call *answer,
                                bbl_reach_level reach,
                                bbl_attempt_outcome outcome)
{
    bbl_delegation_outcome o = {BBL_FORWARD_BROKEN, reach, 0, 0};
    bbl_attempt_result r;

    memset(&r, 0, sizeof(r));
    r.outcome = outcome;
    r.failure_reason = "fault set by the test";
    if (answer != NULL) {
        r.outcome = BBL_ATTEMPT_RESPONSE;
        r.status = answer->status;
        o.reason = answer->reason;
        o.attempts = answer->attempts_maybe_run;
        o.leaving = answer->leaving;
    }
    bbl_forwarder_complete_delegation(sim->forwarder, sim->now, delegation, &r,
                                      &o);
}

const bbl_reach *
forward_sim_get_reach(const forward_sim *sim)
{
    return bbl_forwarder_get_reach(sim->forwarder);
}

void
forward_sim_set_arrival_callback(
    forward_sim *sim,
    void (*arrived)(void *ctx, const forward_sim_server *server, bbl_usec now),
    void *ctx)
{
    sim->arrived = arrived;
    sim->arrived_ctx = ctx;
}

void
forward_sim_update_crashes(forward_sim *sim, const bbl_observed_crash *crashes,
                           size_t count)
{
    bbl_forward_update *u = bbl_calloc(1, sizeof(*u));

    u->list_read_at = sim->list_read_at;
    u->entry_hosts = sim->entry_hosts;
    u->has_observations = true;
    u->crashes = (void *)bbl_memdup(crashes, count * sizeof(*crashes));
    u->crash_count = count;
    bbl_forwarder_update(sim->forwarder, sim->now, u);
}

void
forward_sim_update_health(forward_sim *sim,
                          const bbl_observed_health *observed, size_t count)
{
    bbl_forward_update *u = bbl_calloc(1, sizeof(*u));

    u->list_read_at = sim->list_read_at;
    u->entry_hosts = sim->entry_hosts;
    u->only_health = true;
    u->has_observations = true;
    u->health = (void *)bbl_memdup(observed, count * sizeof(*observed));
    u->health_count = count;
    bbl_forwarder_update(sim->forwarder, sim->now, u);
}

void
forward_sim_set_crash_path(forward_sim *sim, const char *path)
{
    sim->crash_path = path;
}

void
forward_sim_set_repeated_path(forward_sim *sim, const char *path)
{
    sim->repeated_path = path;
}

uint64_t
forward_sim_get_repeated_fingerprint(void)
{
    return CRASH_FINGERPRINT;
}

void
forward_sim_set_control(forward_sim *sim, const forward_sim_control *control)
{
    sim->control = *control;
}

void
forward_sim_receive_permits(forward_sim *sim, const bbl_permit_reply *reply)
{
    bbl_forwarder_receive_permits(sim->forwarder, sim->now, reply);
}

void
forward_sim_update_limits(forward_sim *sim, const bbl_observed_limit *limits,
                          size_t count, unsigned grantors)
{
    bbl_forward_update *u = bbl_calloc(1, sizeof(*u));

    u->list_read_at = sim->list_read_at;
    u->entry_hosts = sim->entry_hosts;
    u->has_observations = true;
    u->limits = (void *)bbl_memdup(limits, count * sizeof(*limits));
    u->limit_count = count;
    u->grantors = grantors;
    bbl_forwarder_update(sim->forwarder, sim->now, u);
}

void
forward_sim_set_round_trip(forward_sim *sim, bbl_usec round_trip)
{
    sim->round_trip = round_trip;
}

void
forward_sim_set_end(forward_sim *sim, bbl_usec remaining)
{
    bbl_forwarder_set_end(sim->forwarder, sim->now + remaining);
}

void
forward_sim_finish_open(forward_sim *sim)
{
    bbl_forwarder_finish_open(sim->forwarder, sim->now);
}

void
forward_sim_cancel_request(forward_sim *sim, unsigned call)
{
    sim->calls[call].left = true;
    bbl_forwarder_cancel_request(sim->forwarder, sim->now,
                                 (void *)(uintptr_t)(call + 1));
}

void
forward_sim_set_links(forward_sim *sim, forward_sim_links links)
{
    for (size_t i = 0; !sim->simulates_links && i < sim->server_count; i++) {
        sim->servers[i].connected = true;
    }
    sim->simulates_links = true;
    sim->links = links;
    for (size_t i = 0; i < sim->exchanges.size; i++) {
        exchange *x = bbl_vec_at(&sim->exchanges, i);

        if (links == LINKS_HANG || links == LINKS_RESET) {
            x->link_failure = LINK_FAILURE_BROKEN;
            x->ends =
                sim->now + (links == LINKS_HANG ? CONNECTION_TIMEOUT_US : 0);
        }
    }
    for (size_t i = 0; links == LINKS_RESET && i < sim->server_count; i++) {
        sim->servers[i].connected = false;
    }
}

void
forward_sim_record_connect(forward_sim *sim, forward_sim_server *server,
                           bool ok)
{
    bbl_forwarder_record_connect(sim->forwarder, sim->now, server->backend, ok,
                                 0);
}

void
forward_sim_confirm_routing(forward_sim *sim, bbl_usec until)
{
    bbl_forwarder_confirm_routing(sim->forwarder, until);
}

void
forward_sim_set_receive_time(forward_sim *sim, bbl_usec receive_time)
{
    sim->receive_time = receive_time;
}

void
forward_sim_set_grantors(forward_sim *sim, const bbl_listed_grantor *grantors,
                         unsigned count)
{
    bbl_forward_update *u = bbl_calloc(1, sizeof(*u));

    u->list_read_at = sim->list_read_at;
    u->entry_hosts = sim->entry_hosts;
    u->has_grantors = true;
    memcpy(u->listed_grantors, grantors, count * sizeof(*grantors));
    u->listed_grantor_count = count;
    bbl_forwarder_update(sim->forwarder, sim->now, u);
}

void
forward_sim_receive_admission(forward_sim *sim, uint32_t grantor,
                              const bblx_admission_reply *reply)
{
    bbl_forwarder_receive_admission(sim->forwarder, sim->now, grantor, reply);
}

bool
forward_sim_is_under_pressure(const forward_sim *sim)
{
    return sim->under_pressure;
}

unsigned
forward_sim_get_quota_reports(const forward_sim *sim)
{
    return sim->quota_reports;
}

void
forward_sim_skip(forward_sim *sim, bbl_usec time)
{
    sim->now += time;
}

void
forward_sim_run(forward_sim *sim, bbl_usec time)
{
    bbl_usec until = sim->now + time;

    while (sim->now < until) {
        sim->now += sim->receive_time > 0 ? LINK_STEP_US : STEP_US;
        complete_due_exchanges(sim);
        reconnect_servers(sim);
        bbl_forwarder_tick(sim->forwarder, sim->now);
    }
}

unsigned
forward_sim_get_routings_ignored(const forward_sim *sim)
{
    return sim->routings_ignored;
}

void
forward_sim_raise_index(forward_sim *sim)
{
    sim->applied++;
}

uint64_t
forward_sim_get_unapplied(const forward_sim *sim)
{
    return sim->applied - bbl_forwarder_get_applied_index(sim->forwarder);
}

uint64_t
forward_sim_get_routing_version(const forward_sim *sim)
{
    return sim->version;
}

const forward_sim_call *
forward_sim_get_call(const forward_sim *sim, unsigned call)
{
    return &sim->calls[call];
}

bbl_usec
forward_sim_get_time(const forward_sim *sim)
{
    return sim->now;
}

const bbl_forward_counters *
forward_sim_get_counters(const forward_sim *sim)
{
    return bbl_forwarder_get_counters(sim->forwarder);
}

unsigned
forward_sim_count_in_flight(const forward_sim *sim)
{
    return (unsigned)sim->exchanges.size;
}
