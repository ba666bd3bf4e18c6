#include "soak/callers.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/address.h"
#include "util/alloc.h"

#define CONNECTIONS 8 /* to one entry host */
#define DEADLINE_MS 2000
/* An answer is due so much after the deadline of its request. */
#define HELD_US (1000 * BBL_USEC_PER_MS)
#define READY_EVERY_US (250 * BBL_USEC_PER_MS)
#define READY_MISSES 2 /* take a host out */
/* Requests sent so soon after SIGTERM are answered before the end. */
#define DRAIN_US (3 * BBL_USEC_PER_SEC)
#define TOP_RECORDS 5
#define SERVICES_MAX 8
#define LEAST_SHARE 0.5
#define TEXT_MAX 512

typedef enum { CALL_ALL, CALL_ONE, CALL_ONCE, CALL_VERSION, CALL_KINDS } kind;

typedef struct {
    soak_callers *callers;
    soak_request_record *request;
    bbl_link_exchange *exchange;
    kind kind;
    unsigned entry;
    bbl_usec sent;
} soak_call;

typedef struct {
    bbl_backend_link *link;
    bbl_backend_link *ready_link;
    unsigned misses;
    bbl_usec drain_since;
} entry_host;

struct soak_callers {
    soak_servers *servers;
    const soak_fleet *fleet;
    soak_callers_options options;
    entry_host entries[SOAK_ENTRY_HOSTS];
    bbl_vec calls; /* soak_call * */
    bbl_rng rng;
    unsigned counter;
    bool stopped;
    bbl_usec next_call;
    bbl_usec next_ready;
    soak_request_counts tally;
};

void
soak_routing_append(bbl_buf *out, uint64_t version, unsigned services)
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
            "\"target_latency_ms\":500,\"priority\":1,\"max_attempts\":2,",
            i,
            i == CALL_ALL   ? "all"
            : i == CALL_ONE ? "one"
                            : "once",
            i == CALL_ONCE ? once : safe, DEADLINE_MS);
        if (i == CALL_ALL) {
            bbl_buf_append_cstr(out, "\"gather\":[");
            for (unsigned s = 0; s < services; s++) {
                bbl_buf_printf(out, "%s\"s%u\"", s > 0 ? "," : "", s);
            }
            bbl_buf_printf(out, "],\"top_k\":%d,\"min_coverage\":%.2f},",
                           TOP_RECORDS, LEAST_SHARE);
        }
        else {
            bbl_buf_printf(out, "\"service\":\"s%d\"},", i - 1);
        }
    }
    bbl_buf_printf(out,
                   "{\"name\":\"v\",\"hostname\":\"a.example\","
                   "\"path_prefix\":\"/v%llu/\",\"route_type\":\"safe\","
                   "\"timeout_ms\":%d,\"target_latency_ms\":500,"
                   "\"priority\":1,\"max_attempts\":2,\"service\":\"s0\"}],"
                   "\"services\":[",
                   (unsigned long long)version, DEADLINE_MS);
    for (unsigned s = 0; s < services; s++) {
        bbl_buf_printf(out,
                       "%s{\"name\":\"s%u\",\"health_path\":\"/h\","
                       "\"max_connections\":40}",
                       s > 0 ? "," : "", s);
    }
    bbl_buf_append_cstr(out,
                        "],\"limits\":{\"max_header_bytes\":16384,"
                        "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
                        "\"idle_timeout_ms\":15000}}");
}

/* ---- what is checked ---- */

static int
compare_falling(const void *a, const void *b)
{
    return -memcmp(a, b, SOAK_RECORD_BYTES);
}

/* Reads the services that a merged answer names; returns how many. */
static unsigned
read_parts(soak_call *c, bbl_str stamps, bool seen[SERVICES_MAX])
{
    char text[TEXT_MAX];
    char *rest = text;
    char *word;
    unsigned n = 0;

    snprintf(text, sizeof(text), "%.*s", (int)stamps.size,
             stamps.ptr ? stamps.ptr : "");
    while ((word = strsep(&rest, ",")) != NULL) {
        unsigned s;
        int used = 0;

        word += strspn(word, " ");
        if (sscanf(word, "s%u.%n", &s, &used) != 1 || used == 0 ||
            s >= c->callers->options.service_count || seen[s] ||
            strcmp(word + used, c->request->id) != 0) {
            soak_servers_report_violation(
                c->callers->servers, "request %s: \"%s\" is no part of it",
                c->request->id, word);
            return 0;
        }
        seen[s] = true;
        n++;
    }
    return n;
}

static void
check_merged(soak_call *c, const bbl_http_message *m)
{
    char records[SERVICES_MAX * SOAK_RECORDS_PER_SERVICE * SOAK_RECORD_BYTES];
    bool seen[SERVICES_MAX] = {false};
    unsigned services = c->callers->options.service_count;
    unsigned parts =
        read_parts(c, bbl_http_message_field(m, "Part-Stamps"), seen);
    bbl_str missing = bbl_http_message_field(m, "Missing-Parts");
    size_t n = 0;

    for (unsigned s = 0; s < services; s++) {
        char name[16];

        if (seen[s]) {
            snprintf(name, sizeof(name), "s%u", s);
            soak_records_generate(records + n, name, c->request->id);
            n += SOAK_RECORDS_PER_SERVICE * SOAK_RECORD_BYTES;
        }
    }
    qsort(records, n / SOAK_RECORD_BYTES, SOAK_RECORD_BYTES, compare_falling);
    if (parts < LEAST_SHARE * services ||
        (missing.ptr ? (unsigned)strtoul(missing.ptr, NULL, 10) : 0) !=
            services - parts ||
        m->body.size != TOP_RECORDS * SOAK_RECORD_BYTES ||
        memcmp(m->body.ptr, records, m->body.size) != 0) {
        soak_servers_report_violation(c->callers->servers,
                                      "request %s: the merged answer is wrong",
                                      c->request->id);
    }
}

static void
check_single(soak_call *c, const bbl_http_message *m)
{
    char records[SOAK_RECORDS_PER_SERVICE * SOAK_RECORD_BYTES];
    const char *service = c->kind == CALL_ONCE ? "s1" : "s0";
    bbl_str stamp = bbl_http_message_field(m, "Response-Stamp");
    char expected[SOAK_ID_MAX + 8];

    snprintf(expected, sizeof(expected), "%s.%s", service, c->request->id);
    soak_records_generate(records, service, c->request->id);
    if (stamp.size != strlen(expected) ||
        memcmp(stamp.ptr, expected, stamp.size) != 0 ||
        m->body.size != sizeof(records) ||
        memcmp(m->body.ptr, records, sizeof(records)) != 0) {
        soak_servers_report_violation(c->callers->servers,
                                      "request %s: not its server's answer",
                                      c->request->id);
    }
}

static void
check_response(soak_call *c, const bbl_http_message *m)
{
    soak_callers *all = c->callers;
    unsigned status = bbl_http_message_status(m);

    if (status == 200) {
        all->tally.served++;
        if (c->kind == CALL_ALL) {
            check_merged(c, m);
        }
        else {
            check_single(c, m);
        }
    }
    else if (status == 503 || status == 429) {
        all->tally.refused++;
        c->request->refused = true;
        if (c->request->run_count > 0) {
            soak_servers_report_violation(
                all->servers, "request %s has run, and \"not run\" is said",
                c->request->id);
        }
    }
    else if (status < 500) {
        soak_servers_report_violation(all->servers, "request %s: status %u",
                                      c->request->id, status);
    }
    else {
        all->tally.failed++;
    }
}

/* A connection has ended without an answer. */
static void
check_cut(soak_call *c)
{
    const entry_host *e = &c->callers->entries[c->entry];
    const soak_host *h =
        &c->callers->fleet->hosts[SOAK_CONTROL_HOSTS + c->entry];

    c->callers->tally.failed++;
    if (c->request->run_count > 0 && h->disturbed_until < c->sent &&
        (e->drain_since == 0 || c->sent < e->drain_since + DRAIN_US)) {
        soak_servers_report_violation(
            c->callers->servers, "request %s was cut off at %s%s",
            c->request->id, h->name, h->draining ? ", which drains" : "");
    }
}

/* ---- sending ---- */

static void
call_done(void *ctx, const bbl_link_exchange_result *r)
{
    soak_call *c = ctx;

    if (r->exchange_outcome == BBL_LINK_RESPONSE) {
        check_response(c, r->message);
    }
    else if (r->exchange_outcome == BBL_LINK_BROKEN) {
        check_cut(c);
    }
    else {
        c->callers->tally.failed++;
    }
    bbl_vec_swap_remove(&c->callers->calls,
                        bbl_vec_find_pointer(&c->callers->calls, c));
    free(c);
}

static void
send_call(soak_callers *all, bbl_usec now, unsigned entry, kind what,
          uint64_t version)
{
    static const char *const paths[] = {"all", "one", "once", "v"};
    soak_call *c = bbl_calloc(1, sizeof(*c));
    bbl_buf head = BBL_BUF_INIT;
    bbl_link_exchange_request r;
    char id[SOAK_ID_MAX];

    snprintf(id, sizeof(id), "q%u", ++all->counter);
    c->callers = all;
    c->kind = what;
    c->entry = entry;
    c->sent = now;
    c->request =
        soak_servers_register_request(all->servers, id, what == CALL_ONCE);
    bbl_buf_printf(&head, "%s /%s", what == CALL_ONCE ? "POST" : "GET",
                   paths[what]);
    if (what == CALL_VERSION) {
        bbl_buf_printf(&head, "%llu", (unsigned long long)version);
    }
    bbl_buf_printf(&head,
                   "/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n"
                   "Deadline-Ms: %d\r\n%s",
                   id, DEADLINE_MS,
                   what == CALL_ONCE ? "Content-Length: 4\r\n" : "");
    memset(&r, 0, sizeof(r));
    r.head = bbl_buf_str(&head);
    r.body = what == CALL_ONCE ? (bbl_str){"body", 4} : (bbl_str){"", 0};
    r.request_id = (bbl_str){id, strlen(id)};
    r.done = call_done;
    r.ctx = c;
    if (bbl_link_exchange_start(&c->exchange, all->entries[entry].link, now,
                                &r) == 0) {
        bbl_vec_push(&all->calls, &c);
        all->tally.sent++;
    }
    else {
        free(c);
    }
    bbl_buf_free(&head);
}

/* A host out of rotation gets requests on open connections only. */
static bool
may_get_calls(entry_host *e, bbl_usec now)
{
    return e->misses < READY_MISSES || bbl_backend_link_has_idle(e->link, now);
}

static void
send_next(soak_callers *all, bbl_usec now)
{
    unsigned first = (unsigned)bbl_rng_below(&all->rng, SOAK_ENTRY_HOSTS);
    kind what = (kind)bbl_rng_below(&all->rng, CALL_VERSION);

    for (unsigned i = 0; i < SOAK_ENTRY_HOSTS; i++) {
        unsigned entry = (first + i) % SOAK_ENTRY_HOSTS;

        if (may_get_calls(&all->entries[entry], now)) {
            send_call(all, now, entry, what, 0);
            return;
        }
    }
}

static void
ready_done(void *ctx, const bbl_link_exchange_result *r)
{
    entry_host *e = ctx;

    if (r->exchange_outcome == BBL_LINK_RESPONSE &&
        bbl_http_message_status(r->message) == 200) {
        e->misses = 0;
    }
    else {
        e->misses++;
    }
}

static void
ask_ready(soak_callers *all, bbl_usec now)
{
    for (unsigned i = 0; i < SOAK_ENTRY_HOSTS; i++) {
        entry_host *e = &all->entries[i];
        const soak_host *h = &all->fleet->hosts[SOAK_CONTROL_HOSTS + i];
        bbl_link_exchange *x;
        bbl_link_exchange_request r;

        memset(&r, 0, sizeof(r));
        r.head = (bbl_str){"GET /-/readyz HTTP/1.1\r\nHost: a\r\n", 33};
        r.done = ready_done;
        r.ctx = e;
        if (bbl_link_exchange_start(&x, e->ready_link, now, &r) != 0) {
            e->misses++;
        }
        e->drain_since = !h->draining          ? 0
                         : e->drain_since != 0 ? e->drain_since
                                               : now;
    }
}

/* Gives up requests that were held too long. */
static void
drop_held(soak_callers *all, bbl_usec now)
{
    for (size_t i = all->calls.size; i > 0; i--) {
        soak_call *c = *BBL_VEC_AT(soak_call *, &all->calls, i - 1);
        const soak_host *h = &all->fleet->hosts[SOAK_CONTROL_HOSTS + c->entry];

        if (now < c->sent + DEADLINE_MS * BBL_USEC_PER_MS + HELD_US) {
            continue;
        }
        if (h->disturbed_until < c->sent && h->pid > 0) {
            soak_servers_report_violation(
                all->servers, "request %s has no answer from %s in time",
                c->request->id, h->name);
        }
        all->tally.failed++;
        bbl_link_exchange_abandon(c->exchange);
        bbl_vec_swap_remove(&all->calls, i - 1);
        free(c);
    }
}

void
soak_callers_tick(soak_callers *all, bbl_usec now)
{
    if (now >= all->next_ready) {
        all->next_ready = now + READY_EVERY_US;
        ask_ready(all, now);
    }
    while (!all->stopped && now >= all->next_call) {
        all->next_call = (all->next_call != 0 ? all->next_call : now) +
                         all->options.request_interval;
        send_next(all, now);
    }
    drop_held(all, now);
}

void
soak_callers_stop(soak_callers *all)
{
    all->stopped = true;
}

void
soak_callers_probe(soak_callers *all, bbl_usec now, unsigned entry,
                   uint64_t version)
{
    send_call(all, now, entry, CALL_VERSION, version);
}

bool
soak_callers_hosts_ready(const soak_callers *all)
{
    for (unsigned i = 0; i < SOAK_ENTRY_HOSTS; i++) {
        if (all->entries[i].misses > 0) {
            return false;
        }
    }
    return true;
}

size_t
soak_callers_count_open_requests(const soak_callers *all)
{
    return all->calls.size;
}

soak_request_counts
soak_callers_collect_counts(soak_callers *all)
{
    soak_request_counts t = all->tally;

    memset(&all->tally, 0, sizeof(all->tally));
    return t;
}

/* ---- start and end ---- */

static bbl_backend_link *
open_link(bbl_backend_client *client, unsigned n, unsigned port,
          unsigned limit)
{
    char text[32];
    bblx_address address;
    bbl_backend_link *link;

    snprintf(text, sizeof(text), "127.61.2.%u:%u", n, port);
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
    soak_callers *all = bbl_calloc(1, sizeof(*all));

    all->servers = servers;
    all->fleet = fleet;
    all->options = *options;
    all->rng.state = options->seed;
    all->calls = (bbl_vec)BBL_VEC_INIT(soak_call *);
    for (unsigned i = 0; i < SOAK_ENTRY_HOSTS; i++) {
        entry_host *e = &all->entries[i];

        e->misses = READY_MISSES;
        e->link = open_link(client, i + 1, 8104, CONNECTIONS);
        e->ready_link = open_link(client, i + 1, 8108, 1);
    }
    *out = all;
}

void
soak_callers_free(soak_callers *all)
{
    if (all == NULL) {
        return;
    }
    for (size_t i = 0; i < all->calls.size; i++) {
        soak_call *c = *BBL_VEC_AT(soak_call *, &all->calls, i);

        bbl_link_exchange_abandon(c->exchange);
        free(c);
    }
    bbl_vec_free(&all->calls);
    free(all);
}
