#include "support/forward_schedule.h"

#include <stdio.h>
#include <string.h>

#include "support/forward_sim.h"

#define MS BBL_USEC_PER_MS
#define SHARDS 4
/* Two servers for each shard and two for the service one. */
#define SERVERS (2 * SHARDS + 2)
/*
 * An answer may come this long after the caller's deadline: parts that arrived
 * are still delivered late, and the simulation ticks each half millisecond.
 */
#define ANSWER_DELAY_MAX_MS 110
#define TIMEOUT_MS 800 /* timeout of every route */
#define HEAL_MS 4000   /* longer than any server state lasts */

typedef enum {
    CALL_GATHER,
    CALL_GATHER_HALF,
    CALL_IDEMPOTENT,
    CALL_ONCE,
    CALL_KINDS
} call_kind;

static const char *const paths[CALL_KINDS] = {"/g/x", "/a/x", "/one/x",
                                              "/once/x"};

/* The keys of callers. */
typedef enum {
    KEY_ALWAYS, /* of an organisation in each routing that has any */
    KEY_ODD,    /* of another one in odd versions only */
    KEY_UNKNOWN,
    KEY_TWICE,
    KEY_NONE,
    KEYS
} call_key;

static const char *const key_texts[KEYS] = {"k-always", "k-odd", "unknown",
                                            "k-always", NULL};
static const unsigned key_counts[KEYS] = {1, 1, 1, 2, 0};
static const char *const key_owners[KEYS] = {"always", "odd", "", "", ""};

typedef struct {
    call_kind kind;
    /* By the routing at the time when it was sent: the status with which it is
     * refused at once, or 0, and the organisation that servers are told. */
    unsigned refused_with;
    const char *organisation;
    bbl_usec sent_at;
    uint32_t time_left_ms;
    unsigned missing_max; /* under any routing until the answer */
} expected_call;

typedef struct {
    forward_sim *sim;
    forward_sim_server *servers[SERVERS];
    expected_call calls[FORWARD_SIM_CALLS_MAX];
    unsigned count;
    unsigned version;
    call_key key;
    bool unconfirmed;
    bool evacuated;
} schedule;

/* Returns whether a version has organisations; one in four has none. */
static bool
has_organisations(unsigned version)
{
    return version % 4 != 0;
}

static void
install(schedule *s)
{
    const char *organisations =
        !has_organisations(s->version) ? ""
        : s->version % 2 == 1
            ? ",\"tenants\":[{\"name\":\"always\",\"api_keys\":[\"k-always\"]}"
              ","
              "{\"name\":\"odd\",\"api_keys\":[\"k-odd\"],\"priority\":0}]"
            : ",\"tenants\":[{\"name\":\"always\",\"api_keys\":[\"k-always\"],"
              "\"priority\":3}]";
    /* Odd versions require three of the four shards, even versions all. */
    const char *min_coverage = s->version % 2 == 1 ? "0.75" : "1.0";
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
        "{\"name\":\"one\",\"max_connections\":26}]%s}",
        s->version, min_coverage, organisations);
    forward_sim_install_routing(s->sim, text);
}

static void
set_key(schedule *s, call_key key)
{
    s->key = key;
    forward_sim_set_key(s->sim, key_texts[key], key_counts[key]);
}

static void
set_unconfirmed(schedule *s, bool unconfirmed)
{
    s->unconfirmed = unconfirmed;
    forward_sim_confirm_routing(s->sim, unconfirmed ? 0 : UINT64_MAX);
}

static void
init_schedule(schedule *s)
{
    char id[16];
    char service[16];

    s->sim = forward_sim_new(7);
    s->version = 1;
    for (int i = 0; i < SERVERS; i++) {
        snprintf(id, sizeof(id), "i%d", i);
        snprintf(service, sizeof(service), i < 2 * SHARDS ? "s%d" : "one",
                 i / 2);
        s->servers[i] =
            forward_sim_add_server(s->sim, id, service, i % 2 ? "z2" : "z1");
    }
    install(s);
    set_key(s, KEY_ALWAYS);
}

/* Fills what the active routing says of the key of a call. */
static void
expect_identity(const schedule *s, expected_call *c)
{
    uint64_t active = forward_sim_get_routing_version(s->sim);

    c->refused_with = 0;
    c->organisation = "";
    if (!has_organisations((unsigned)active)) {
        return;
    }
    if (s->key == KEY_ALWAYS || (s->key == KEY_ODD && active % 2 == 1)) {
        c->organisation = key_owners[s->key];
    }
    else {
        c->refused_with = active == s->version && !s->unconfirmed ? 401 : 503;
    }
}

static void
send_call(schedule *s, call_kind kind, uint32_t time_left_ms)
{
    expected_call *c = &s->calls[s->count];

    if (s->count < FORWARD_SIM_CALLS_MAX) {
        c->kind = kind;
        c->sent_at = forward_sim_get_time(s->sim);
        c->time_left_ms = time_left_ms;
        expect_identity(s, c);
        s->count++;
        forward_sim_send_request(s->sim, paths[kind], time_left_ms);
    }
}

static void
cancel_call(schedule *s, unsigned age)
{
    if (age < s->count) {
        unsigned n = s->count - 1 - age;
        const forward_sim_call *c = forward_sim_get_call(s->sim, n);

        if (!c->answered && !c->left) {
            forward_sim_cancel_request(s->sim, n);
        }
    }
}

static void
update_list(schedule *s)
{
    forward_sim_update_list(s->sim, s->evacuated ? "z1" : NULL);
}

static void
apply_op(schedule *s, const forward_op *op)
{
    forward_sim_server *server = s->servers[op->target % SERVERS];

    switch (op->kind) {
    case FORWARD_RUN:
        forward_sim_run(s->sim, op->value * MS);
        break;
    case FORWARD_SEND:
        send_call(s, op->target % CALL_KINDS, op->value);
        break;
    case FORWARD_BURST:
        for (unsigned i = 0; i < op->value / 8; i++) {
            send_call(s, op->target % CALL_KINDS, TIMEOUT_MS);
        }
        break;
    case FORWARD_TREAT:
        server->mode = op->value % (SERVER_UNSIGNED + 1);
        break;
    case FORWARD_PAUSE:
        server->paused_until = forward_sim_get_time(s->sim) + op->value * MS;
        break;
    case FORWARD_SLOW:
        server->work = (1 + op->value / 4) * MS;
        break;
    case FORWARD_LEAVING:
        server->leaving = !server->leaving;
        update_list(s);
        break;
    case FORWARD_COLD:
        server->cold_ms = op->value;
        update_list(s);
        server->cold_ms = 0;
        break;
    case FORWARD_GONE:
        server->gone = !server->gone;
        update_list(s);
        break;
    case FORWARD_NARROW:
        server->connections = op->value % 4;
        break;
    case FORWARD_CONNECT:
        if (server->backend != NULL) {
            forward_sim_record_connect(s->sim, server, op->value % 2 == 0);
        }
        break;
    case FORWARD_ZONE:
        s->evacuated = op->value % 2 == 0;
        update_list(s);
        break;
    case FORWARD_ROUTING:
        s->version++;
        install(s);
        break;
    case FORWARD_CONFIRM:
        set_unconfirmed(s, op->value % 2 == 0);
        break;
    case FORWARD_KEY:
        set_key(s, op->value % KEYS);
        break;
    default:
        cancel_call(s, op->value % 64);
        break;
    }
}

/* Checks the guarantees for one call. They hold at any time. */
static const char *
check_call(const schedule *s, unsigned n)
{
    const expected_call *sent = &s->calls[n];
    const forward_sim_call *c = forward_sim_get_call(s->sim, n);
    uint32_t limit_ms =
        sent->time_left_ms > 0 && sent->time_left_ms < TIMEOUT_MS
            ? sent->time_left_ms
            : TIMEOUT_MS;
    bbl_usec until = sent->sent_at + (limit_ms + ANSWER_DELAY_MAX_MS) * MS;
    bool gather = sent->kind == CALL_GATHER || sent->kind == CALL_GATHER_HALF;

    if (sent->refused_with != 0 &&
        (c->status != sent->refused_with || c->runs > 0)) {
        return "a request without a valid key is not refused as it should be";
    }
    if (sent->refused_with == 0 && c->status == 401) {
        return "a request with a valid key is refused";
    }
    if (c->runs > 0 && strcmp(c->organisation, sent->organisation) != 0) {
        return "a server is told another organisation than the caller's";
    }
    if (sent->kind == CALL_ONCE && c->runs > 1) {
        return "a request that is not idempotent ran twice";
    }
    if (c->left) {
        return NULL;
    }
    if (!c->answered) {
        return forward_sim_get_time(s->sim) > until ? "no answer in time"
                                                    : NULL;
    }
    if (c->answered_at > until) {
        return "an answer after its deadline";
    }
    if (gather && c->status == 200) {
        if (c->parts + c->missing != SHARDS) {
            return "parts and missing parts do not add up to all shards";
        }
        if (c->missing > (sent->kind == CALL_GATHER ? 1 : 2)) {
            return "an answer below the minimum coverage of its route";
        }
    }
    return NULL;
}

static const char *
check(const schedule *s, unsigned from)
{
    const char *violation = forward_sim_get_violation(s->sim);

    for (unsigned n = from; violation == NULL && n < s->count; n++) {
        violation = check_call(s, n);
    }
    return violation;
}

/* Simulates that the driver keeps reconnecting to servers that refused. */
static void
reconnect(schedule *s)
{
    for (int i = 0; i < SERVERS; i++) {
        if (s->servers[i]->backend != NULL) {
            forward_sim_record_connect(s->sim, s->servers[i], true);
        }
    }
}

/*
 * Removes all faults, sends requests for HEAL_MS and checks that the last one
 * of each kind is answered completely.
 */
static const char *
check_recovery(schedule *s)
{
    const forward_sim_call *c;
    const char *violation;

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
    set_key(s, KEY_ALWAYS);
    set_unconfirmed(s, false);
    update_list(s);
    for (unsigned i = 0; i < HEAL_MS / 50; i++) {
        send_call(s, i % CALL_KINDS, TIMEOUT_MS);
        forward_sim_run(s->sim, 50 * MS);
        if (i % 10 == 0) {
            reconnect(s);
            /* A server that was down is unsure until a newer list is read. */
            update_list(s);
        }
    }
    forward_sim_run(s->sim, (TIMEOUT_MS + ANSWER_DELAY_MAX_MS) * MS);
    violation = check(s, 0);
    for (unsigned i = 1; violation == NULL && i <= CALL_KINDS; i++) {
        c = forward_sim_get_call(s->sim, s->count - i);
        if (c->status != 200 || c->missing > 0) {
            violation = "a request is not served completely after all faults "
                        "were removed";
        }
    }
    if (violation == NULL && forward_sim_count_in_flight(s->sim) > 0) {
        violation = "an attempt stays in flight without a caller";
    }
    return violation;
}

const char *
forward_schedule_run(const forward_op *ops, unsigned count)
{
    static schedule s; /* too large for the stack */
    const char *violation = NULL;

    memset(&s, 0, sizeof(s));
    init_schedule(&s);
    for (unsigned i = 0; violation == NULL && i < count; i++) {
        unsigned before = s.count;

        apply_op(&s, &ops[i]);
        violation = check(&s, before > 256 ? before - 256 : 0);
    }
    if (violation == NULL && s.count + HEAL_MS / 50 < FORWARD_SIM_CALLS_MAX) {
        violation = check_recovery(&s);
    }
    forward_sim_discard(s.sim);
    return violation;
}

static const char *const names[FORWARD_OPS] = {
    "run",     "send",  "burst", "treat",   "pause",   "slow",
    "leaving", "cold",  "gone",  "narrow",  "connect", "zone",
    "routing", "leave", "key",   "confirm",
};

const char *
forward_op_kind_name(forward_op_kind kind)
{
    return kind < FORWARD_OPS ? names[kind] : "unknown";
}
