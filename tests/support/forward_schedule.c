#include "support/forward_schedule.h"

#include <stdio.h>
#include <string.h>

#include "support/forward_sim.h"

#define MS BBL_USEC_PER_MS
#define SHARDS 4
#define SERVERS (2 * SHARDS + 2) /* two of each shard and of one service */
/* An answer comes that long after the caller's time at the latest: what is
 * in is still delivered late, and the world looks each half millisecond. */
#define LATE_MS 110
#define TIMEOUT_MS 800 /* of every route */
#define HEAL_MS 4000   /* longer than any state of a server lasts */

typedef enum { ALL_SHARDS, SOME_SHARDS, REPEATABLE, ONCE, KINDS } call_kind;

static const char *const paths[KINDS] = {"/g/x", "/a/x", "/one/x", "/once/x"};

typedef struct {
    call_kind kind;
    bbl_usec sent;
    uint32_t time_left_ms;
    unsigned missing_most; /* by any routing until the answer */
} sent_call;

typedef struct {
    forward_sim *w;
    forward_sim_server *servers[SERVERS];
    sent_call calls[FORWARD_SIM_CALLS_MAX];
    unsigned count;
    unsigned version;
    bool evacuated;
} schedule;

static void
install(schedule *s)
{
    /* Odd versions need three of four shards, even ones all. */
    const char *least = s->version % 2 == 1 ? "0.75" : "1.0";
    char text[2048];

    snprintf(
        text, sizeof(text),
        "{\"version\":%u,\"routes\":["
        "{\"name\":\"g\",\"hostname\":\"a.example\",\"path_prefix\":\"/g/\","
        "\"route_type\":\"safe\",\"timeout_ms\":800,"
        "\"target_latency_ms\":120,\"priority\":1,"
        "\"gather\":[\"s0\",\"s1\",\"s2\",\"s3\"],\"max_attempts\":2,"
        "\"top_k\":5,\"min_coverage\":%s},"
        "{\"name\":\"a\",\"hostname\":\"a.example\",\"path_prefix\":\"/a/\","
        "\"route_type\":\"safe\",\"timeout_ms\":800,"
        "\"target_latency_ms\":120,\"priority\":1,"
        "\"gather\":[\"s0\",\"s1\",\"s2\",\"s3\"],\"max_attempts\":2,"
        "\"top_k\":5,\"min_coverage\":0.5},"
        "{\"name\":\"o\",\"hostname\":\"a.example\",\"path_prefix\":\"/one/\","
        "\"route_type\":\"safe\",\"timeout_ms\":800,"
        "\"target_latency_ms\":200,\"priority\":2,\"service\":\"one\","
        "\"max_attempts\":2},"
        "{\"name\":\"u\",\"hostname\":\"a.example\","
        "\"path_prefix\":\"/once/\",\"route_type\":\"unsafe\","
        "\"timeout_ms\":800,\"target_latency_ms\":200,\"priority\":2,"
        "\"service\":\"one\",\"max_attempts\":2}],\"services\":["
        "{\"name\":\"s0\",\"max_connections\":26},"
        "{\"name\":\"s1\",\"max_connections\":26},"
        "{\"name\":\"s2\",\"max_connections\":26},"
        "{\"name\":\"s3\",\"max_connections\":26},"
        "{\"name\":\"one\",\"max_connections\":26}]}",
        s->version, least);
    forward_sim_install_routing(s->w, text);
}

static void
open_schedule(schedule *s)
{
    char id[16];
    char service[16];

    s->w = forward_sim_new(7);
    s->version = 1;
    for (int i = 0; i < SERVERS; i++) {
        snprintf(id, sizeof(id), "i%d", i);
        snprintf(service, sizeof(service), i < 2 * SHARDS ? "s%d" : "one",
                 i / 2);
        s->servers[i] =
            forward_sim_add_server(s->w, id, service, i % 2 ? "z2" : "z1");
    }
    install(s);
}

static void
send_call(schedule *s, call_kind kind, uint32_t time_left_ms)
{
    sent_call *c = &s->calls[s->count];

    if (s->count < FORWARD_SIM_CALLS_MAX) {
        c->kind = kind;
        c->sent = forward_sim_get_time(s->w);
        c->time_left_ms = time_left_ms;
        s->count++;
        forward_sim_send_request(s->w, paths[kind], time_left_ms);
    }
}

static void
leave(schedule *s, unsigned back)
{
    if (back < s->count) {
        unsigned n = s->count - 1 - back;
        const forward_sim_call *c = forward_sim_get_call(s->w, n);

        if (!c->answered && !c->left) {
            forward_sim_cancel_request(s->w, n);
        }
    }
}

static void
list(schedule *s)
{
    forward_sim_update_list(s->w, s->evacuated ? "z1" : NULL);
}

static void
apply(schedule *s, const forward_op *op)
{
    forward_sim_server *server = s->servers[op->target % SERVERS];

    switch (op->kind) {
    case FORWARD_RUN:
        forward_sim_run(s->w, op->value * MS);
        break;
    case FORWARD_SEND:
        send_call(s, op->target % KINDS, op->value);
        break;
    case FORWARD_BURST:
        for (unsigned i = 0; i < op->value / 8; i++) {
            send_call(s, op->target % KINDS, TIMEOUT_MS);
        }
        break;
    case FORWARD_TREAT:
        server->mode = op->value % (SERVER_UNSIGNED + 1);
        break;
    case FORWARD_PAUSE:
        server->paused_until = forward_sim_get_time(s->w) + op->value * MS;
        break;
    case FORWARD_SLOW:
        server->work = (1 + op->value / 4) * MS;
        break;
    case FORWARD_LEAVING:
        server->leaving = !server->leaving;
        list(s);
        break;
    case FORWARD_COLD:
        server->cold_ms = op->value;
        list(s);
        server->cold_ms = 0;
        break;
    case FORWARD_GONE:
        server->gone = !server->gone;
        list(s);
        break;
    case FORWARD_NARROW:
        server->connections = op->value % 4;
        break;
    case FORWARD_CONNECT:
        if (server->backend != NULL) {
            forward_sim_record_connect(s->w, server, op->value % 2 == 0);
        }
        break;
    case FORWARD_ZONE:
        s->evacuated = op->value % 2 == 0;
        list(s);
        break;
    case FORWARD_ROUTING:
        s->version++;
        install(s);
        break;
    default:
        leave(s, op->value % 64);
        break;
    }
}

/* What holds of a call at any time. */
static const char *
check_call(const schedule *s, unsigned n)
{
    const sent_call *sent = &s->calls[n];
    const forward_sim_call *c = forward_sim_get_call(s->w, n);
    uint32_t most = sent->time_left_ms > 0 && sent->time_left_ms < TIMEOUT_MS
                        ? sent->time_left_ms
                        : TIMEOUT_MS;
    bbl_usec until = sent->sent + (most + LATE_MS) * MS;
    bool gather = sent->kind == ALL_SHARDS || sent->kind == SOME_SHARDS;

    if (sent->kind == ONCE && c->runs > 1) {
        return "what may not be repeated ran twice";
    }
    if (c->left) {
        return NULL;
    }
    if (!c->answered) {
        return forward_sim_get_time(s->w) > until ? "no answer in time" : NULL;
    }
    if (c->answered_at > until) {
        return "an answer after its time";
    }
    if (gather && c->status == 200) {
        if (c->parts + c->missing != SHARDS) {
            return "parts and missing parts are not all shards";
        }
        if (c->missing > (sent->kind == ALL_SHARDS ? 1 : 2)) {
            return "an answer with fewer shards than its route allows";
        }
    }
    return NULL;
}

static const char *
check(const schedule *s, unsigned from)
{
    const char *bad = forward_sim_get_violation(s->w);

    for (unsigned n = from; bad == NULL && n < s->count; n++) {
        bad = check_call(s, n);
    }
    return bad;
}

/* The port goes on trying to connect to servers that refused. */
static void
reconnect(schedule *s)
{
    for (int i = 0; i < SERVERS; i++) {
        if (s->servers[i]->backend != NULL) {
            forward_sim_record_connect(s->w, s->servers[i], true);
        }
    }
}

/* Ends all faults; after a while every request must be served whole. */
static const char *
heal(schedule *s)
{
    const forward_sim_call *c;
    const char *bad;

    for (int i = 0; i < SERVERS; i++) {
        forward_sim_server *server = s->servers[i];

        server->mode = SERVER_OK;
        server->paused_until = 0;
        server->work = 10 * MS;
        server->leaving = false;
        server->gone = false;
        server->connections = 0;
    }
    s->evacuated = false;
    list(s);
    for (unsigned i = 0; i < HEAL_MS / 50; i++) {
        send_call(s, i % KINDS, TIMEOUT_MS);
        forward_sim_run(s->w, 50 * MS);
        if (i % 10 == 0) {
            reconnect(s);
            list(s); /* a server that was down may be cold until then */
        }
    }
    forward_sim_run(s->w, (TIMEOUT_MS + LATE_MS) * MS);
    bad = check(s, 0);
    for (unsigned i = 1; bad == NULL && i <= KINDS; i++) {
        c = forward_sim_get_call(s->w, s->count - i);
        if (c->status != 200 || c->missing > 0) {
            bad = "a request is not served whole after all faults have ended";
        }
    }
    if (bad == NULL && forward_sim_count_in_flight(s->w) > 0) {
        bad = "work goes on at a server for no caller";
    }
    return bad;
}

const char *
forward_schedule_run(const forward_op *ops, unsigned count)
{
    static schedule s; /* large */
    const char *bad = NULL;

    memset(&s, 0, sizeof(s));
    open_schedule(&s);
    for (unsigned i = 0; bad == NULL && i < count; i++) {
        unsigned before = s.count;

        apply(&s, &ops[i]);
        bad = check(&s, before > 256 ? before - 256 : 0);
    }
    if (bad == NULL && s.count + HEAL_MS / 50 < FORWARD_SIM_CALLS_MAX) {
        bad = heal(&s);
    }
    forward_sim_discard(s.w);
    return bad;
}

static const char *const names[FORWARD_OPS] = {
    "run",  "send", "burst",  "treat",   "pause", "slow",    "leaving",
    "cold", "gone", "narrow", "connect", "zone",  "routing", "leave",
};

const char *
forward_op_kind_name(forward_op_kind kind)
{
    return kind < FORWARD_OPS ? names[kind] : "unknown";
}
