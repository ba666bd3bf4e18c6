#include "support/forward_sim.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "platform/dialect.h"
#include "util/alloc.h"

#define STEP_US 500 /* between two looks at what is due */

/* An attempt on its way through a server. */
typedef struct {
    bbl_attempt *attempt;
    forward_sim_server *server;
    server_mode mode; /* of the server when the attempt came */
    bbl_usec ends;
    unsigned call;
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
    bbl_usec list_read_at;
    uint64_t version;      /* in use */
    const char *violation; /* the first one */
};

/* Notes a promise that does not hold. */
static void
require(forward_sim *w, bool holds, const char *violation)
{
    if (!holds && w->violation == NULL) {
        w->violation = violation;
    }
}

static forward_sim_server *
server_of(forward_sim *w, const bbl_backend *b)
{
    for (size_t i = 0; i < w->server_count; i++) {
        forward_sim_server *s = &w->servers[i];

        if (strlen(s->id) == b->listed.id.bblx_label_len &&
            memcmp(s->id, b->listed.id.bblx_label_val, strlen(s->id)) == 0) {
            return s;
        }
    }
    abort(); /* no such server was ever listed */
}

/* ---- the port ---- */

static int
on_send(void *ctx, bbl_attempt *attempt, bbl_backend *backend,
        const bbl_attempt_request *request)
{
    forward_sim *w = ctx;
    forward_sim_server *s = server_of(w, backend);
    exchange *x;
    bool runs = s->mode != SERVER_SHEDS && s->mode != SERVER_REFUSES &&
                s->mode != SERVER_REPLACED;
    unsigned call = (unsigned)(uintptr_t)request->call - 1;

    if (s->connections != 0 && s->in_use >= s->connections) {
        return -1;
    }
    require(w, !s->gone && !s->leaving, "a leaving server gets work");
    require(w, w->now >= s->cold_until, "a cold server gets work");
    require(w, request->time_left_ms > 0, "work is sent with no time left");
    x = bbl_vec_add(&w->exchanges);
    x->attempt = attempt;
    x->server = s;
    x->mode = s->mode;
    x->call = call;
    x->ends = w->now + (runs ? s->work : 1000);
    if (s->paused_until > w->now) {
        x->ends += s->paused_until - w->now;
    }
    if (s->mode == SERVER_SILENT) {
        x->ends = UINT64_MAX;
    }
    s->in_use++;
    s->arrivals += s->mode != SERVER_REFUSES;
    s->runs += runs;
    w->calls[call].runs += runs;
    bbl_attempt_set_handle(attempt, attempt);
    return 0;
}

static void
on_abandon(void *ctx, bbl_attempt *attempt)
{
    forward_sim *w = ctx;

    for (size_t i = 0; i < w->exchanges.size; i++) {
        exchange *x = bbl_vec_at(&w->exchanges, i);

        if (x->attempt == attempt) {
            x->server->in_use--;
            bbl_vec_swap_remove(&w->exchanges, i);
            return;
        }
    }
    require(w, false, "an attempt is abandoned that is not under way");
}

static bbl_room
on_room(void *ctx, const bbl_backend *backend, bbl_usec now)
{
    const forward_sim_server *s = server_of(ctx, backend);

    (void)now;
    return s->connections == 0 || s->in_use < s->connections ? BBL_ROOM_READY
                                                             : BBL_ROOM_NONE;
}

/* Reads the fields that the tier adds to its answers. */
static void
read_fields(forward_sim_call *c, bbl_str fields)
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
    forward_sim *w = ctx;
    forward_sim_call *c = &w->calls[(uintptr_t)call - 1];

    require(w, !c->answered, "a caller is answered twice");
    require(w, !c->left, "a caller is answered after it left");
    c->answered = true;
    c->status = answer->status;
    c->answered_at = w->now;
    if (answer->relayed == NULL) {
        read_fields(c, answer->header_lines);
    }
    require(w, c->status != 503 || c->runs == 0,
            "\"not run\" was said of a request that ran");
}

static void
on_record(void *ctx, const bbl_forward_record *r)
{
    forward_sim *w = ctx;

    for (unsigned i = 0; i < w->call_count; i++) {
        if (strlen(w->ids[i]) == r->request_id.size &&
            memcmp(w->ids[i], r->request_id.ptr, r->request_id.size) == 0) {
            w->calls[i].reason = r->reason;
        }
    }
}

static void
on_second(void *ctx, const bbl_extra_attempt_record *r)
{
    require(ctx, r->request_id.size > 0, "a second attempt has no id");
    require(ctx, r->budget_left >= 0 && r->budget_left <= 1,
            "the budget is overdrawn");
}

static void
on_adopted(void *ctx, uint64_t version, bbl_usec held)
{
    forward_sim *w = ctx;

    require(w, version > w->version, "an older routing comes into use");
    require(w, held <= 1600 * BBL_USEC_PER_MS, "a routing is held too long");
    w->version = version;
}

static void
on_added(void *ctx, bbl_backend *backend)
{
    server_of(ctx, backend)->backend = backend;
}

static void
on_removed(void *ctx, bbl_backend *backend)
{
    server_of(ctx, backend)->backend = NULL;
}

static void
on_changed(void *ctx, bbl_backend *backend, bbl_backend_state before)
{
    (void)ctx;
    (void)backend;
    (void)before;
}

/* ---- servers ---- */

static void
end_exchange(forward_sim *w, const exchange *x)
{
    static const char body[] = "0123456789abcdef";
    bbl_header stamp = {{"Response-Stamp", 14},
                        {x->server->id, strlen(x->server->id)}};
    bbl_header not_run = {{"Not-Executed", 12}, {"1", 1}};
    bbl_attempt_result r;

    memset(&r, 0, sizeof(r));
    r.outcome = BBL_ATTEMPT_RESPONSE;
    r.status = 200;
    r.headers = &stamp;
    r.header_count = 1;
    r.body = (bbl_str){body, sizeof(body) - 1};
    r.reason = "as told";
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
    case SERVER_BREAKS:
        r.outcome = BBL_ATTEMPT_BROKEN;
        break;
    case SERVER_REFUSES:
        r.outcome = BBL_ATTEMPT_NOT_SENT;
        break;
    case SERVER_UNSIGNED:
        r.header_count = 0;
        break;
    default:
        break;
    }
    x->server->in_use--;
    bbl_forwarder_complete_attempt(w->forwarder, w->now, x->attempt, &r);
}

static void
end_exchanges(forward_sim *w)
{
    for (size_t i = 0; i < w->exchanges.size;) {
        exchange x = *(exchange *)bbl_vec_at(&w->exchanges, i);

        if (x.ends > w->now) {
            i++;
            continue;
        }
        bbl_vec_swap_remove(&w->exchanges, i);
        end_exchange(w, &x);
        i = 0;
    }
}

/* ---- the world ---- */

forward_sim *
forward_sim_new(unsigned entry_hosts)
{
    forward_sim *w = bbl_calloc(1, sizeof(*w));
    bbl_forwarder_options o = BBL_FORWARDER_OPTIONS_INIT;

    w->now = BBL_USEC_PER_SEC;
    w->list_read_at = w->now;
    w->entry_hosts = entry_hosts;
    w->exchanges = (bbl_vec)BBL_VEC_INIT(exchange);
    bbl_name_set(&o.zone, "z1", 2);
    o.dialect = bbl_platform_dialect();
    o.port.send = on_send;
    o.port.abandon = on_abandon;
    o.port.get_room = on_room;
    o.port.answer = on_answer;
    o.port.report_request = on_record;
    o.port.report_extra_attempt = on_second;
    o.port.routing_activated = on_adopted;
    o.port.server_added = on_added;
    o.port.server_removed = on_removed;
    o.port.server_changed = on_changed;
    o.port.ctx = w;
    bbl_forwarder_new(&w->forwarder, &o);
    return w;
}

const char *
forward_sim_get_violation(const forward_sim *w)
{
    return w->violation;
}

void
forward_sim_free(forward_sim *w)
{
    ck_assert_msg(w->violation == NULL, "%s", w->violation);
    forward_sim_discard(w);
}

void
forward_sim_discard(forward_sim *w)
{
    bbl_forwarder_free(w->forwarder);
    bbl_vec_free(&w->exchanges);
    free(w);
}

forward_sim_server *
forward_sim_add_server(forward_sim *w, const char *id, const char *service,
                       const char *zone)
{
    forward_sim_server *s = &w->servers[w->server_count++];

    snprintf(s->id, sizeof(s->id), "%s", id);
    snprintf(s->service, sizeof(s->service), "%s", service);
    snprintf(s->zone, sizeof(s->zone), "%s", zone);
    s->work = 10 * BBL_USEC_PER_MS;
    return s;
}

static bbl_forward_update *
make_update(forward_sim *w)
{
    bbl_forward_update *u = bbl_calloc(1, sizeof(*u));

    u->backends = bbl_calloc(w->server_count, sizeof(*u->backends));
    u->cold_until = bbl_calloc(w->server_count, sizeof(*u->cold_until));
    for (size_t i = 0; i < w->server_count; i++) {
        forward_sim_server *s = &w->servers[i];
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
            s->cold_ms > 0 ? w->now + s->cold_ms * BBL_USEC_PER_MS : 0;
        u->cold_until[u->backend_count++] = s->cold_until;
    }
    w->list_read_at = w->now;
    u->list_read_at = w->now;
    u->entry_hosts = w->entry_hosts;
    return u;
}

void
forward_sim_install_routing(forward_sim *w, const char *document)
{
    bbl_forward_update *u = make_update(w);
    bbl_str text = {document, strlen(document)};

    if (bbl_platform_dialect()->read_routing(&u->routing, text) != 0 ||
        bbl_routing_check(u->routing) != 0) {
        abort(); /* the test's own document is wrong */
    }
    bbl_forwarder_update(w->forwarder, w->now, u);
}

void
forward_sim_update_list(forward_sim *w, const char *evacuated)
{
    bbl_forward_update *u = make_update(w);

    if (evacuated != NULL) {
        u->evacuated = bbl_calloc(1, sizeof(*u->evacuated));
        bbl_name_set(u->evacuated, evacuated, strlen(evacuated));
        u->evacuated_count = 1;
    }
    bbl_forwarder_update(w->forwarder, w->now, u);
}

unsigned
forward_sim_send_request(forward_sim *w, const char *path,
                         uint32_t time_left_ms)
{
    unsigned n = w->call_count++;
    bbl_forward_request r;

    if (n >= FORWARD_SIM_CALLS_MAX) {
        abort(); /* the test asks too often */
    }
    snprintf(w->ids[n], sizeof(w->ids[n]), "q%u", n);
    w->calls[n].used = true;
    memset(&r, 0, sizeof(r));
    r.call = (void *)(uintptr_t)(n + 1);
    r.hostname = (bbl_str){"a.example", 9};
    r.path = (bbl_str){path, strlen(path)};
    r.request_id = (bbl_str){w->ids[n], strlen(w->ids[n])};
    r.has_time_left = time_left_ms > 0;
    r.time_left_ms = time_left_ms;
    r.arrived_at = w->now;
    bbl_forwarder_receive_request(w->forwarder, w->now, &r);
    return n;
}

void
forward_sim_cancel_request(forward_sim *w, unsigned call)
{
    w->calls[call].left = true;
    bbl_forwarder_cancel_request(w->forwarder, w->now,
                                 (void *)(uintptr_t)(call + 1));
}

void
forward_sim_record_connect(forward_sim *w, forward_sim_server *server, bool ok)
{
    bbl_forwarder_record_connect(w->forwarder, w->now, server->backend, ok, 0);
}

void
forward_sim_run(forward_sim *w, bbl_usec time)
{
    bbl_usec until = w->now + time;

    while (w->now < until) {
        w->now += STEP_US;
        end_exchanges(w);
        bbl_forwarder_tick(w->forwarder, w->now);
    }
}

uint64_t
forward_sim_get_routing_version(const forward_sim *w)
{
    return w->version;
}

const forward_sim_call *
forward_sim_get_call(const forward_sim *w, unsigned call)
{
    return &w->calls[call];
}

bbl_usec
forward_sim_get_time(const forward_sim *w)
{
    return w->now;
}

const bbl_forward_counters *
forward_sim_get_counters(const forward_sim *w)
{
    return bbl_forwarder_get_counters(w->forwarder);
}

unsigned
forward_sim_count_in_flight(const forward_sim *w)
{
    return (unsigned)w->exchanges.size;
}
