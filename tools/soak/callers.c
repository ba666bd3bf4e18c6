#include "soak/callers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/address.h"
#include "soak/network.h"
#include "util/alloc.h"
#include "util/clock.h"

/* Enough for the load of a spike; usually few are opened. */
#define CONNECTIONS_PER_HOST 64
#define DEADLINE_MS 2000
#define TARGET_MS 500
/* A refusal arrives within a quarter of the target. */
#define REFUSAL_MAX_US (TARGET_MS * BBL_USEC_PER_MS / 4)
/* A pause of this process from which the times of answers are not checked. */
#define STALL_MIN_US (20 * BBL_USEC_PER_MS)
/* A request without an answer this long after its deadline is overdue. */
#define RESPONSE_GRACE_US (1000 * BBL_USEC_PER_MS)
#define READY_POLL_INTERVAL_US (250 * BBL_USEC_PER_MS)
#define READY_FAILURE_THRESHOLD 2 /* to take a host out of rotation */
/* A draining host must answer the requests that are sent within this time
 * after SIGTERM. */
#define DRAIN_WINDOW_US (3 * BBL_USEC_PER_SEC)
#define TOP_RECORDS 5
#define SERVICES_MAX 8
#define COVERAGE_MIN 0.5
#define TEXT_MAX 512

/* The routes of the routing that soak_routing_append writes. */
typedef enum {
    ROUTE_GATHER,  /* merges the results of all services */
    ROUTE_SINGLE,  /* one service, may be retried */
    ROUTE_ONCE,    /* one service, must run at most once */
    ROUTE_VERSION, /* has a path that contains the version of the routing */
    ROUTE_KINDS
} route_kind;

typedef struct {
    soak_callers *all_callers;
    soak_request_record *record;
    bbl_link_exchange *exchange;
    route_kind route;
    const char *organisation; /* NULL: its key is unknown */
    unsigned entry;           /* index of the entry host */
    bool in_spike;
    bbl_usec run_delay; /* of the entry host before */
    bbl_usec sent_at;
} caller_request;

typedef struct {
    bbl_backend_link *link;
    bbl_backend_link *ready_link;
    unsigned ready_failures;   /* consecutive */
    bbl_usec drain_started_at; /* 0 if the host is not draining */
    bbl_usec run_delay;        /* see soak_fleet_get_run_delay */
} entry_host;

struct soak_callers {
    soak_servers *servers;
    const soak_fleet *fleet;
    soak_callers_options options;
    entry_host entries[SOAK_ENTRY_HOSTS];
    bbl_vec open_requests; /* of caller_request * */
    bbl_rng rng;
    unsigned last_id;
    bool stopped;
    bbl_usec spike_until;
    bbl_usec network_disturbed_until;
    unsigned spike_factor;
    bbl_usec last_tick_at;
    bbl_usec stalled_at; /* when this process last resumed after a pause */
    bbl_usec next_request_at;
    bbl_usec next_ready_poll_at;
    soak_request_counts counts;
};

/*
 * Appends the organisations. The key of "bee" that is not used comes and goes
 * with the versions.
 */
static void
append_organisations(bbl_buf *out, uint64_t version)
{
    bbl_buf_printf(out,
                   "\"tenants\":[{\"name\":\"ant\",\"api_keys\":[\"k-ant\"],"
                   "\"priority\":0},{\"name\":\"bee\",\"api_keys\":["
                   "\"k-bee\",\"k-%llu\"]},{\"name\":\"%s\",\"api_keys\":["
                   "\"k-%s\"],\"rate_per_s\":%d,\"burst\":%d}]}",
                   (unsigned long long)version, SOAK_LIMITED, SOAK_LIMITED,
                   SOAK_LIMIT_PER_S, SOAK_LIMIT_BURST);
}

void
soak_routing_append(bbl_buf *out, uint64_t version, unsigned service_count)
{
    static const char once[] = "\"unsafe\"";
    static const char safe[] = "\"safe\"";

    bbl_buf_printf(out, "{\"version\":%llu,\"routes\":[",
                   (unsigned long long)version);
    for (int i = 0; i < 3; i++) {
        bbl_buf_printf(
            out,
            "{\"name\":\"r%d\",\"hostname\":\"a.example\",\"path_prefix\":"
            "\"/%s/\",\"route_type\":%s,\"timeout_ms\":%d,"
            "\"target_latency_ms\":%d,\"priority\":1,\"max_attempts\":2,",
            i,
            i == ROUTE_GATHER   ? "all"
            : i == ROUTE_SINGLE ? "one"
                                : "once",
            i == ROUTE_ONCE ? once : safe, DEADLINE_MS, TARGET_MS);
        if (i == ROUTE_GATHER) {
            bbl_buf_append_cstr(out, "\"gather\":[");
            for (unsigned s = 0; s < service_count; s++) {
                bbl_buf_printf(out, "%s\"s%u\"", s > 0 ? "," : "", s);
            }
            bbl_buf_printf(out, "],\"top_k\":%d,\"min_coverage\":%.2f},",
                           TOP_RECORDS, COVERAGE_MIN);
        }
        else {
            bbl_buf_printf(out, "\"service\":\"s%d\"},", i - 1);
        }
    }
    bbl_buf_printf(out,
                   "{\"name\":\"v\",\"hostname\":\"a.example\","
                   "\"path_prefix\":\"/v%llu/\",\"route_type\":\"safe\","
                   "\"timeout_ms\":%d,\"target_latency_ms\":%d,"
                   "\"priority\":1,\"max_attempts\":2,\"service\":\"s0\"}],"
                   "\"services\":[",
                   (unsigned long long)version, DEADLINE_MS, TARGET_MS);
    for (unsigned s = 0; s < service_count; s++) {
        bbl_buf_printf(out,
                       "%s{\"name\":\"s%u\",\"health_path\":\"/h\","
                       "\"max_connections\":40}",
                       s > 0 ? "," : "", s);
    }
    bbl_buf_append_cstr(out,
                        "],\"limits\":{\"max_header_bytes\":16384,"
                        "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
                        "\"idle_timeout_ms\":15000},");
    append_organisations(out, version);
}

/* ---- checks ---- */

static int
compare_descending(const void *a, const void *b)
{
    return -memcmp(a, b, SOAK_RECORD_BYTES);
}

/*
 * Parses the stamps of a merged answer, which must belong to its request.
 *
 * @param seen set to true for each service that has a stamp
 * @return the number of services, or 0 after a violation was reported
 */
static unsigned
parse_part_stamps(caller_request *c, bbl_str stamps, bool seen[SERVICES_MAX])
{
    char text[TEXT_MAX];
    char *rest = text;
    char *word;
    unsigned n = 0;

    snprintf(text, sizeof(text), "%.*s", (int)stamps.size,
             stamps.ptr ? stamps.ptr : "");
    while ((word = strsep(&rest, ",")) != NULL) {
        unsigned s;
        int parsed_bytes = 0;

        word += strspn(word, " ");
        if (sscanf(word, "s%u.%n", &s, &parsed_bytes) != 1 ||
            parsed_bytes == 0 || s >= c->all_callers->options.service_count ||
            seen[s] || strcmp(word + parsed_bytes, c->record->id) != 0) {
            soak_servers_report_violation(
                c->all_callers->servers,
                "request %s: \"%s\" is not a stamp of this request",
                c->record->id, word);
            return 0;
        }
        seen[s] = true;
        n++;
    }
    return n;
}

static void
check_merged(caller_request *c, const bbl_http_message *m)
{
    char records[SERVICES_MAX * SOAK_RECORDS_PER_SERVICE * SOAK_RECORD_BYTES];
    bool seen[SERVICES_MAX] = {false};
    unsigned services = c->all_callers->options.service_count;
    unsigned part_count =
        parse_part_stamps(c, bbl_http_message_field(m, "Part-Stamps"), seen);
    bbl_str missing = bbl_http_message_field(m, "Missing-Parts");
    size_t n = 0;

    for (unsigned s = 0; s < services; s++) {
        char name[16];

        if (seen[s]) {
            snprintf(name, sizeof(name), "s%u", s);
            soak_records_generate(records + n, name, c->record->id);
            n += SOAK_RECORDS_PER_SERVICE * SOAK_RECORD_BYTES;
        }
    }
    qsort(records, n / SOAK_RECORD_BYTES, SOAK_RECORD_BYTES,
          compare_descending);
    if (part_count < COVERAGE_MIN * services ||
        (missing.ptr ? (unsigned)strtoul(missing.ptr, NULL, 10) : 0) !=
            services - part_count ||
        m->body.size != TOP_RECORDS * SOAK_RECORD_BYTES ||
        memcmp(m->body.ptr, records, m->body.size) != 0) {
        soak_servers_report_violation(c->all_callers->servers,
                                      "request %s: the merged answer is wrong",
                                      c->record->id);
    }
}

static void
check_single(caller_request *c, const bbl_http_message *m)
{
    char records[SOAK_RECORDS_PER_SERVICE * SOAK_RECORD_BYTES];
    const char *service = c->route == ROUTE_ONCE ? "s1" : "s0";
    bbl_str stamp = bbl_http_message_field(m, "Response-Stamp");
    char expected[SOAK_ID_MAX + 8];

    snprintf(expected, sizeof(expected), "%s.%s", service, c->record->id);
    soak_records_generate(records, service, c->record->id);
    if (stamp.size != strlen(expected) ||
        memcmp(stamp.ptr, expected, stamp.size) != 0 ||
        m->body.size != sizeof(records) ||
        memcmp(m->body.ptr, records, sizeof(records)) != 0) {
        soak_servers_report_violation(
            c->all_callers->servers,
            "request %s: the answer is not that of its service",
            c->record->id);
    }
}

/*
 * Checks the time of a refusal under load, less what the host has waited for a
 * processor. If servers were cut off or silent, refusals may take longer: the
 * host has sent the request to one of them, and learns of its refusal late.
 */
static void
check_refusal_time(caller_request *c, bbl_usec sent_at)
{
    soak_callers *callers = c->all_callers;
    const soak_host *h = &callers->fleet->hosts[SOAK_CONTROL_HOSTS + c->entry];
    bbl_usec now = bbl_clock_now();
    bbl_usec max = REFUSAL_MAX_US;

    if (!c->in_spike || h->disturbed_until >= c->sent_at || h->draining ||
        callers->stalled_at >= c->sent_at ||
        callers->network_disturbed_until >= c->sent_at ||
        now >= callers->last_tick_at + STALL_MIN_US) {
        return;
    }
    callers->counts.timed_refusals++;
    if (now > sent_at + max) {
        max += soak_fleet_get_run_delay(callers->fleet,
                                        SOAK_CONTROL_HOSTS + c->entry) -
               c->run_delay;
    }
    if (now > sent_at + max) {
        soak_servers_report_violation(
            callers->servers, "request %s was refused by %s after %llu ms",
            c->record->id, h->name,
            (unsigned long long)(now - sent_at) / BBL_USEC_PER_MS);
    }
}

static void
check_response(caller_request *c, const bbl_http_message *m, bbl_usec sent_at)
{
    soak_callers *callers = c->all_callers;
    unsigned status = bbl_http_message_status(m);

    if (status == 200) {
        callers->counts.served++;
        if (c->route == ROUTE_GATHER) {
            check_merged(c, m);
        }
        else {
            check_single(c, m);
        }
    }
    else if (status == 429 && c->organisation != NULL &&
             strcmp(c->organisation, SOAK_LIMITED) == 0) {
        callers->counts.sent--; /* over its limit: neither served nor owed */
        c->record->refused = true;
    }
    else if (status == 401 && c->organisation == NULL) {
        callers->counts.sent--;
    }
    else if (status == 503 || status == 429) {
        callers->counts.refused++;
        c->record->refused = true;
        check_refusal_time(c, sent_at);
        if (c->record->run_count > 0) {
            soak_servers_report_violation(
                callers->servers,
                "request %s has run but was reported as not run",
                c->record->id);
        }
    }
    else if (status < 500) {
        soak_servers_report_violation(
            callers->servers, "request %s: status %u", c->record->id, status);
    }
    else {
        callers->counts.failed++;
    }
}

/* Checks whether a connection was allowed to end without an answer. */
static void
check_broken_connection(caller_request *c)
{
    const entry_host *e = &c->all_callers->entries[c->entry];
    const soak_host *h =
        &c->all_callers->fleet->hosts[SOAK_CONTROL_HOSTS + c->entry];

    c->all_callers->counts.failed++;
    if (c->record->run_count > 0 && h->disturbed_until < c->sent_at &&
        (e->drain_started_at == 0 ||
         c->sent_at < e->drain_started_at + DRAIN_WINDOW_US)) {
        soak_servers_report_violation(
            c->all_callers->servers, "request %s lost its connection to %s%s",
            c->record->id, h->name, h->draining ? ", which is draining" : "");
    }
}

/* ---- sending ---- */

static void
on_request_end(void *ctx, const bbl_link_exchange_result *r)
{
    caller_request *c = ctx;

    if (r->exchange_outcome == BBL_LINK_RESPONSE) {
        check_response(c, r->message, r->sent_at);
    }
    else if (r->exchange_outcome == BBL_LINK_BROKEN) {
        check_broken_connection(c);
    }
    else {
        c->all_callers->counts.failed++;
    }
    bbl_vec_swap_remove(
        &c->all_callers->open_requests,
        bbl_vec_find_pointer(&c->all_callers->open_requests, c));
    free(c);
}

/*
 * Chooses the organisation of a request: the one with a limit sends several
 * times that, and some requests have an unknown key. Requests that look for a
 * version always have a known one.
 */
static const char *
choose_organisation(soak_callers *callers, route_kind kind)
{
    unsigned n = (unsigned)bbl_rng_below(&callers->rng, 100);

    if (kind == ROUTE_VERSION || n < 40) {
        return "ant";
    }
    return n < 86 ? "bee" : n < 98 ? SOAK_LIMITED : NULL;
}

static void
send_request(soak_callers *callers, bbl_usec now, unsigned entry,
             route_kind kind, uint64_t version)
{
    static const char *const paths[] = {"all", "one", "once", "v"};
    caller_request *c = bbl_calloc(1, sizeof(*c));
    bbl_buf head = BBL_BUF_INIT;
    bbl_link_exchange_request r;
    char id[SOAK_ID_MAX];

    snprintf(id, sizeof(id), "q%u", ++callers->last_id);
    c->all_callers = callers;
    c->route = kind;
    c->entry = entry;
    c->sent_at = now;
    c->in_spike = now < callers->spike_until;
    c->run_delay = callers->entries[entry].run_delay;
    c->organisation = choose_organisation(callers, kind);
    c->record = soak_servers_register_request(
        callers->servers, id, kind == ROUTE_ONCE, c->organisation);
    for (unsigned i = 0; i < callers->options.service_count; i++) {
        c->record->wanted[i] =
            kind == ROUTE_GATHER || i == (kind == ROUTE_ONCE ? 1 : 0);
    }
    bbl_buf_printf(&head, "%s /%s", kind == ROUTE_ONCE ? "POST" : "GET",
                   paths[kind]);
    if (kind == ROUTE_VERSION) {
        bbl_buf_printf(&head, "%llu", (unsigned long long)version);
    }
    bbl_buf_printf(&head,
                   "/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n"
                   "Deadline-Ms: %d\r\nKey: k-%s\r\nTenant-Id: dog\r\n%s",
                   id, DEADLINE_MS,
                   c->organisation != NULL ? c->organisation : "unknown",
                   kind == ROUTE_ONCE ? "Content-Length: 4\r\n" : "");
    memset(&r, 0, sizeof(r));
    r.head = bbl_buf_str(&head);
    r.body = kind == ROUTE_ONCE ? (bbl_str){"body", 4} : (bbl_str){"", 0};
    r.request_id = (bbl_str){id, strlen(id)};
    r.done = on_request_end;
    r.ctx = c;
    if (bbl_link_exchange_start(&c->exchange, callers->entries[entry].link,
                                now, &r) == 0) {
        bbl_vec_push(&callers->open_requests, &c);
        callers->counts.sent++;
    }
    else {
        free(c);
    }
    bbl_buf_free(&head);
}

/* A host out of rotation receives requests on open connections only. */
static bool
is_eligible(entry_host *e, bbl_usec now)
{
    return e->ready_failures < READY_FAILURE_THRESHOLD ||
           bbl_backend_link_has_idle(e->link, now);
}

static void
send_next_request(soak_callers *callers, bbl_usec now)
{
    unsigned first = (unsigned)bbl_rng_below(&callers->rng, SOAK_ENTRY_HOSTS);
    route_kind kind = (route_kind)bbl_rng_below(&callers->rng, ROUTE_VERSION);

    for (unsigned i = 0; i < SOAK_ENTRY_HOSTS; i++) {
        unsigned entry = (first + i) % SOAK_ENTRY_HOSTS;

        if (is_eligible(&callers->entries[entry], now)) {
            send_request(callers, now, entry, kind, 0);
            return;
        }
    }
}

static void
on_ready_response(void *ctx, const bbl_link_exchange_result *r)
{
    entry_host *e = ctx;

    if (r->exchange_outcome == BBL_LINK_RESPONSE &&
        bbl_http_message_status(r->message) == 200) {
        e->ready_failures = 0;
    }
    else {
        e->ready_failures++;
    }
}

static void
poll_readiness(soak_callers *callers, bbl_usec now)
{
    for (unsigned i = 0; i < SOAK_ENTRY_HOSTS; i++) {
        entry_host *e = &callers->entries[i];
        const soak_host *h = &callers->fleet->hosts[SOAK_CONTROL_HOSTS + i];
        bbl_link_exchange *x;
        bbl_link_exchange_request r;

        memset(&r, 0, sizeof(r));
        r.head = (bbl_str){"GET /-/readyz HTTP/1.1\r\nHost: a\r\n", 33};
        r.done = on_ready_response;
        r.ctx = e;
        if (bbl_link_exchange_start(&x, e->ready_link, now, &r) != 0) {
            e->ready_failures++;
        }
        e->drain_started_at = !h->draining               ? 0
                              : e->drain_started_at != 0 ? e->drain_started_at
                                                         : now;
    }
}

/* Abandons the requests that have no answer in time. */
static void
abandon_overdue_requests(soak_callers *callers, bbl_usec now)
{
    for (size_t i = callers->open_requests.size; i > 0; i--) {
        caller_request *c =
            *BBL_VEC_AT(caller_request *, &callers->open_requests, i - 1);
        const soak_host *h =
            &callers->fleet->hosts[SOAK_CONTROL_HOSTS + c->entry];

        if (now <
            c->sent_at + DEADLINE_MS * BBL_USEC_PER_MS + RESPONSE_GRACE_US) {
            continue;
        }
        if (h->disturbed_until < c->sent_at && h->pid > 0) {
            soak_servers_report_violation(
                callers->servers, "request %s has no answer from %s in time",
                c->record->id, h->name);
        }
        callers->counts.failed++;
        bbl_link_exchange_abandon(c->exchange);
        bbl_vec_swap_remove(&callers->open_requests, i - 1);
        free(c);
    }
}

void
soak_callers_tick(soak_callers *callers, bbl_usec now)
{
    if (now >= callers->next_ready_poll_at) {
        callers->next_ready_poll_at = now + READY_POLL_INTERVAL_US;
        poll_readiness(callers, now);
    }
    if (now > callers->last_tick_at + STALL_MIN_US) {
        callers->stalled_at = now;
    }
    callers->last_tick_at = now;
    for (unsigned i = 0; now < callers->spike_until && i < SOAK_ENTRY_HOSTS;
         i++) {
        callers->entries[i].run_delay =
            soak_fleet_get_run_delay(callers->fleet, SOAK_CONTROL_HOSTS + i);
    }
    while (!callers->stopped && now >= callers->next_request_at) {
        callers->next_request_at =
            (callers->next_request_at != 0 ? callers->next_request_at : now) +
            callers->options.request_interval /
                (now < callers->spike_until ? callers->spike_factor : 1);
        send_next_request(callers, now);
    }
    abandon_overdue_requests(callers, now);
}

void
soak_callers_note_cut_server(soak_callers *callers, bbl_usec until)
{
    if (until > callers->network_disturbed_until) {
        callers->network_disturbed_until = until;
    }
}

void
soak_callers_start_spike(soak_callers *callers, bbl_usec until,
                         unsigned factor)
{
    callers->spike_until = until;
    callers->spike_factor = factor;
}

void
soak_callers_stop(soak_callers *callers)
{
    callers->stopped = true;
}

void
soak_callers_probe(soak_callers *callers, bbl_usec now, unsigned entry,
                   uint64_t version)
{
    send_request(callers, now, entry, ROUTE_VERSION, version);
}

bool
soak_callers_hosts_ready(const soak_callers *callers)
{
    for (unsigned i = 0; i < SOAK_ENTRY_HOSTS; i++) {
        if (callers->entries[i].ready_failures > 0) {
            return false;
        }
    }
    return true;
}

bool
soak_callers_await_answers(const soak_callers *callers)
{
    return callers->open_requests.size > 0;
}

unsigned
soak_callers_count_not_due(const soak_callers *callers, bbl_usec now)
{
    unsigned count = 0;

    for (size_t i = 0; i < callers->open_requests.size; i++) {
        const caller_request *c =
            *BBL_VEC_AT(caller_request *, &callers->open_requests, i);

        count += now < c->sent_at + TARGET_MS * BBL_USEC_PER_MS;
    }
    return count;
}

soak_request_counts
soak_callers_collect_counts(soak_callers *callers)
{
    soak_request_counts t = callers->counts;

    memset(&callers->counts, 0, sizeof(callers->counts));
    return t;
}

/* ---- creation and release ---- */

static bbl_backend_link *
open_link(bbl_backend_client *client, unsigned n, unsigned port,
          unsigned limit)
{
    char text[32];
    bblx_address address;
    bbl_backend_link *link;

    soak_network_format(text, sizeof(text), SOAK_NET_ENTRY, n, port);
    bbl_address_parse(&address, text);
    link = bbl_backend_link_new(client, address, NULL);
    bbl_backend_link_set_limit(link, limit, false);
    return link;
}

void
soak_callers_open(soak_callers **out, bbl_backend_client *client,
                  soak_servers *servers, const soak_fleet *fleet,
                  const soak_callers_options *options)
{
    soak_callers *callers = bbl_calloc(1, sizeof(*callers));

    callers->servers = servers;
    callers->fleet = fleet;
    callers->options = *options;
    callers->rng.state = options->seed;
    callers->open_requests = (bbl_vec)BBL_VEC_INIT(caller_request *);
    for (unsigned i = 0; i < SOAK_ENTRY_HOSTS; i++) {
        entry_host *e = &callers->entries[i];

        e->ready_failures = READY_FAILURE_THRESHOLD;
        e->link = open_link(client, i + 1, 8104, CONNECTIONS_PER_HOST);
        e->ready_link = open_link(client, i + 1, 8108, 1);
    }
    *out = callers;
}

void
soak_callers_free(soak_callers *callers)
{
    if (callers == NULL) {
        return;
    }
    for (size_t i = 0; i < callers->open_requests.size; i++) {
        caller_request *c =
            *BBL_VEC_AT(caller_request *, &callers->open_requests, i);

        bbl_link_exchange_abandon(c->exchange);
        free(c);
    }
    bbl_vec_free(&callers->open_requests);
    free(callers);
}
