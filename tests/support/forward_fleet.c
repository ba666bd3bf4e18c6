#include "support/forward_fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/permit_book.h"
#include "util/alloc.h"
#include "util/rng.h"
#include "util/vec.h"

#define STEP_US (2 * BBL_USEC_PER_MS)
#define TIME_LEFT_MS 800
#define REFUSAL_MAX_US (30 * BBL_USEC_PER_MS)

/* Time until a control host has received a request for permits. */
#define CONTROL_DELAY_US (2 * BBL_USEC_PER_MS)
/* Time until all hosts know what one has observed. */
#define FEED_DELAY_US (300 * BBL_USEC_PER_MS)

/* A request for permits on its way to a control host. */
typedef struct {
    bbl_usec due_at;
    unsigned host;
    unsigned grantor;
    bblx_permit_request request; /* items owned */
} fleet_permit_request;

/* A limit on its way to all hosts. */
typedef struct {
    bbl_usec due_at;
    bbl_observed_limit limit;
} fleet_limit;

/* A crash on its way to all hosts. */
typedef struct {
    bbl_usec due_at;
    bbl_observed_crash crash;
} fleet_crash;

/* Time from one entry host to another. */
#define PEER_DELAY_US (2 * BBL_USEC_PER_MS)
#define NO_CALL UINT32_MAX

/* A query that one entry host has delegated to another. */
typedef struct {
    bbl_delegation *delegation; /* NULL once it has ended */
    bbl_usec due_at;
    unsigned from;
    unsigned to;
    unsigned call;           /* at `from` */
    unsigned delegated_call; /* at `to`; NO_CALL until it has arrived */
    uint32_t time_left_ms;
    bbl_delegated delegated;
    char organisation[32]; /* of `delegated` */
} fleet_delegation;

/* One request of a caller. */
typedef struct {
    bbl_usec sent_at;
    unsigned host;
    unsigned call;
} fleet_call;

struct forward_fleet {
    unsigned host_count;
    forward_sim **hosts;
    unsigned server_count;
    forward_sim_server **servers;                /* by host and server */
    bbl_vec arrivals[FORWARD_FLEET_SERVERS_MAX]; /* bbl_usec */
    bbl_vec calls;                               /* fleet_call */
    bbl_permit_book books[FORWARD_FLEET_GRANTORS];
    bool stopped[FORWARD_FLEET_GRANTORS];
    bool *cut;           /* by host */
    bool *broken;        /* by host; see forward_fleet_break_peer */
    bbl_vec delegations; /* fleet_delegation */
    unsigned next_grantor;
    bbl_vec permit_requests; /* fleet_permit_request */
    bbl_vec limits;          /* fleet_limit */
    bbl_vec crashes;         /* fleet_crash */
    unsigned crash_count;    /* reported by all hosts */
    uint64_t last_serial;
    bbl_rng rng;
    double due; /* requests to send, a fraction */
};

static forward_sim_server *
get_server(const forward_fleet *f, unsigned host, unsigned server)
{
    return f->servers[host * FORWARD_FLEET_SERVERS_MAX + server];
}

static void
on_arrival(void *ctx, const forward_sim_server *server, bbl_usec now)
{
    forward_fleet *f = ctx;

    for (unsigned i = 0; i < f->server_count; i++) {
        if (strcmp(get_server(f, 0, i)->id, server->id) == 0) {
            bbl_vec_push(&f->arrivals[i], &now);
        }
    }
}

static unsigned
find_host(const forward_fleet *f, const forward_sim *sim)
{
    unsigned i = 0;

    while (f->hosts[i] != sim) {
        i++;
    }
    return i;
}

static void
on_publish_limit(void *ctx, forward_sim *sim, const bbl_observed_limit *limit)
{
    forward_fleet *f = ctx;
    fleet_limit l = {forward_sim_get_time(sim) + FEED_DELAY_US, *limit};

    if (!f->cut[find_host(f, sim)]) {
        l.limit.serial = ++f->last_serial;
        bbl_vec_push(&f->limits, &l);
    }
}

static void
on_publish_crash(void *ctx, forward_sim *sim, uint64_t fingerprint,
                 uint32_t generation)
{
    forward_fleet *f = ctx;
    bbl_usec now = forward_sim_get_time(sim);
    fleet_crash c = {now + FEED_DELAY_US,
                     {fingerprint, generation, now / BBL_USEC_PER_MS}};

    f->crash_count += generation > 0;

    if (!f->cut[find_host(f, sim)]) {
        bbl_vec_push(&f->crashes, &c);
    }
}

static void
on_request_permits(void *ctx, forward_sim *sim,
                   const bbl_permit_request *request)
{
    forward_fleet *f = ctx;
    fleet_permit_request r;

    memset(&r, 0, sizeof(r));
    r.due_at = forward_sim_get_time(sim) + CONTROL_DELAY_US;
    r.host = find_host(f, sim);
    r.grantor = f->next_grantor++ % FORWARD_FLEET_GRANTORS;
    r.request.number = request->number;
    r.request.urgent = request->urgent;
    r.request.needed = request->needed;
    r.request.items.items_len = (u_int)request->item_count;
    r.request.items.items_val =
        bbl_calloc(request->item_count, sizeof(bblx_permit_item));
    for (size_t i = 0; i < request->item_count; i++) {
        bblx_permit_item *item = &r.request.items.items_val[i];

        item->server = request->items[i].server;
        item->group = request->items[i].group;
        item->rate = (u_int)(request->items[i].rate * 1000);
    }
    bbl_vec_push(&f->permit_requests, &r);
}

static fleet_delegation *
find_delegation(const forward_fleet *f, const bbl_delegation *delegation)
{
    for (size_t i = 0; i < f->delegations.size; i++) {
        fleet_delegation *d = bbl_vec_at(&f->delegations, i);

        if (d->delegation == delegation) {
            return d;
        }
    }
    abort(); /* it has ended, or was never started */
}

static int
on_delegate(void *ctx, forward_sim *sim, bbl_delegation *delegation,
            const bbl_delegation_request *request)
{
    forward_fleet *f = ctx;
    fleet_delegation *d = bbl_vec_add(&f->delegations);

    memset(d, 0, sizeof(*d));
    d->delegation = delegation;
    d->due_at = forward_sim_get_time(sim) + PEER_DELAY_US;
    d->from = find_host(f, sim);
    d->to = request->peer->listed.host - 1;
    d->call = (unsigned)(uintptr_t)request->request_handle - 1;
    d->delegated_call = NO_CALL;
    d->time_left_ms = request->time_left_ms;
    d->delegated = request->delegated;
    d->delegated.host = d->from + 1;
    snprintf(d->organisation, sizeof(d->organisation), "%.*s",
             (int)request->delegated.organisation.size,
             request->delegated.organisation.size > 0
                 ? request->delegated.organisation.ptr
                 : "");
    return 0;
}

static bool
on_is_delegation_sent(void *ctx, const bbl_delegation *delegation)
{
    (void)ctx;
    (void)delegation;
    return true;
}

static void
on_cancel_delegation(void *ctx, bbl_delegation *delegation)
{
    forward_fleet *f = ctx;
    fleet_delegation *d = find_delegation(f, delegation);

    d->delegation = NULL;
    if (d->delegated_call != NO_CALL) {
        forward_sim_cancel_request(f->hosts[d->to], d->delegated_call);
    }
}

/* Completes a delegation whose host was stopped or has answered. */
static void
complete_delegation(forward_fleet *f, size_t i, const forward_sim_call *answer,
                    bbl_attempt_outcome outcome)
{
    fleet_delegation *d = bbl_vec_at(&f->delegations, i);
    bbl_delegation *delegation = d->delegation;
    bbl_reach_level reach =
        bbl_reach_get_level(forward_sim_get_reach(f->hosts[d->to]));

    d->delegation = NULL;
    forward_sim_complete_delegation(f->hosts[d->from], delegation, answer,
                                    reach, outcome);
}

/* Passes delegated queries on to their hosts, and the answers back. */
static void
deliver_delegations(forward_fleet *f)
{
    bbl_usec now = forward_fleet_get_time(f);

    for (size_t i = 0; i < f->delegations.size; i++) {
        fleet_delegation *d = bbl_vec_at(&f->delegations, i);
        const forward_sim_call *c;

        if (d->delegation == NULL || now < d->due_at) {
            continue;
        }
        if (f->broken[d->to]) {
            complete_delegation(f, i, NULL,
                                d->delegated_call == NO_CALL
                                    ? BBL_ATTEMPT_UNSENT
                                    : BBL_ATTEMPT_BROKEN);
            continue;
        }
        if (d->delegated_call == NO_CALL) {
            d->delegated.organisation =
                (bbl_str){d->organisation, strlen(d->organisation)};
            d->delegated_call = forward_sim_send_delegated(
                f->hosts[d->to],
                forward_sim_get_call(f->hosts[d->from], d->call)->path,
                d->time_left_ms, &d->delegated);
        }
        c = forward_sim_get_call(f->hosts[d->to], d->delegated_call);
        if (c->answered) {
            complete_delegation(f, i, c, BBL_ATTEMPT_RESPONSE);
        }
    }
}

/* Lets a control host answer a request for permits. */
static void
answer_permit_request(forward_fleet *f, const fleet_permit_request *r)
{
    u_int n = r->request.items.items_len;
    bblx_permit_result *granted = bbl_calloc(n, sizeof(*granted));
    bbl_permit_result *results = bbl_calloc(n, sizeof(*results));
    bbl_permit_reply reply = {r->request.number, results, n};

    bbl_permit_book_grant(granted, &f->books[r->grantor], r->due_at,
                          FORWARD_FLEET_GRANTORS, &r->request);
    for (u_int i = 0; i < n; i++) {
        results[i] = (bbl_permit_result){granted[i].server, granted[i].granted,
                                         granted[i].wait_us};
    }
    forward_sim_receive_permits(f->hosts[r->host], &reply);
    free(results);
    free(granted);
}

static void
deliver(forward_fleet *f)
{
    bbl_usec now = forward_fleet_get_time(f);

    for (size_t i = 0; i < f->permit_requests.size;) {
        fleet_permit_request r =
            *BBL_VEC_AT(fleet_permit_request, &f->permit_requests, i);

        if (r.due_at > now) {
            i++;
            continue;
        }
        bbl_vec_remove(&f->permit_requests, i);
        if (!f->cut[r.host] && !f->stopped[r.grantor]) {
            answer_permit_request(f, &r);
        }
        free(r.request.items.items_val);
    }
    while (f->limits.size > 0 &&
           BBL_VEC_AT(fleet_limit, &f->limits, 0)->due_at <= now) {
        fleet_limit l = *BBL_VEC_AT(fleet_limit, &f->limits, 0);

        bbl_vec_remove(&f->limits, 0);
        for (unsigned i = 0; i < f->host_count; i++) {
            if (!f->cut[i]) {
                forward_sim_update_limits(f->hosts[i], &l.limit, 1,
                                          FORWARD_FLEET_GRANTORS);
            }
        }
    }
    while (f->crashes.size > 0 &&
           BBL_VEC_AT(fleet_crash, &f->crashes, 0)->due_at <= now) {
        fleet_crash c = *BBL_VEC_AT(fleet_crash, &f->crashes, 0);

        bbl_vec_remove(&f->crashes, 0);
        for (unsigned i = 0; i < f->host_count; i++) {
            if (!f->cut[i]) {
                forward_sim_update_crashes(f->hosts[i], &c.crash, 1);
            }
        }
    }
}

/* Tells a host of all others; host `i` has the id `i` + 1. */
static void
connect_peers(forward_fleet *f, unsigned host)
{
    forward_sim_peers peers = {on_delegate, on_is_delegation_sent,
                               on_cancel_delegation, f};
    uint32_t *ids = bbl_calloc(f->host_count, sizeof(*ids));
    size_t count = 0;

    for (unsigned i = 0; i < f->host_count; i++) {
        if (i != host) {
            ids[count++] = i + 1;
        }
    }
    forward_sim_set_peers(f->hosts[host], &peers, ids, count);
    free(ids);
}

forward_fleet *
forward_fleet_new(unsigned hosts)
{
    forward_fleet *f = bbl_calloc(1, sizeof(*f));
    forward_sim_control control = {on_publish_limit, on_request_permits,
                                   on_publish_crash, NULL, f};

    f->cut = bbl_calloc(hosts, sizeof(*f->cut));
    f->broken = bbl_calloc(hosts, sizeof(*f->broken));
    f->delegations = (bbl_vec)BBL_VEC_INIT(fleet_delegation);
    f->permit_requests = (bbl_vec)BBL_VEC_INIT(fleet_permit_request);
    f->limits = (bbl_vec)BBL_VEC_INIT(fleet_limit);
    f->crashes = (bbl_vec)BBL_VEC_INIT(fleet_crash);
    for (unsigned i = 0; i < FORWARD_FLEET_GRANTORS; i++) {
        bbl_permit_book_init(&f->books[i], 0);
    }
    f->host_count = hosts;
    f->hosts = bbl_calloc(hosts, sizeof(*f->hosts));
    f->servers =
        bbl_calloc(hosts * FORWARD_FLEET_SERVERS_MAX, sizeof(*f->servers));
    f->calls = (bbl_vec)BBL_VEC_INIT(fleet_call);
    f->rng.state = 7;
    for (unsigned i = 0; i < FORWARD_FLEET_SERVERS_MAX; i++) {
        f->arrivals[i] = (bbl_vec)BBL_VEC_INIT(bbl_usec);
    }
    for (unsigned i = 0; i < hosts; i++) {
        f->hosts[i] = forward_sim_new(hosts);
        forward_sim_set_arrival_callback(f->hosts[i], on_arrival, f);
        forward_sim_set_control(f->hosts[i], &control);
        connect_peers(f, i);
    }
    return f;
}

void
forward_fleet_free(forward_fleet *f)
{
    for (unsigned i = 0; i < f->host_count; i++) {
        forward_sim_free(f->hosts[i]);
    }
    for (unsigned i = 0; i < FORWARD_FLEET_SERVERS_MAX; i++) {
        bbl_vec_free(&f->arrivals[i]);
    }
    for (unsigned i = 0; i < FORWARD_FLEET_GRANTORS; i++) {
        bbl_permit_book_free(&f->books[i]);
    }
    for (size_t i = 0; i < f->permit_requests.size; i++) {
        free(BBL_VEC_AT(fleet_permit_request, &f->permit_requests, i)
                 ->request.items.items_val);
    }
    bbl_vec_free(&f->permit_requests);
    bbl_vec_free(&f->limits);
    bbl_vec_free(&f->crashes);
    bbl_vec_free(&f->calls);
    bbl_vec_free(&f->delegations);
    free(f->broken);
    free(f->cut);
    free(f->servers);
    free(f->hosts);
    free(f);
}

unsigned
forward_fleet_add_server(forward_fleet *f, const char *id, const char *service,
                         const char *zone)
{
    for (unsigned i = 0; i < f->host_count; i++) {
        f->servers[i * FORWARD_FLEET_SERVERS_MAX + f->server_count] =
            forward_sim_add_server(f->hosts[i], id, service, zone);
    }
    return f->server_count++;
}

void
forward_fleet_install_routing(forward_fleet *f, const char *document)
{
    for (unsigned i = 0; i < f->host_count; i++) {
        forward_sim_install_routing(f->hosts[i], document);
    }
}

void
forward_fleet_set_limit(forward_fleet *f, unsigned server, double rate)
{
    for (unsigned i = 0; i < f->host_count; i++) {
        get_server(f, i, server)->rate_limit = rate;
    }
}

void
forward_fleet_set_cold(forward_fleet *f, unsigned server, uint32_t cold_ms)
{
    for (unsigned i = 0; i < f->host_count; i++) {
        get_server(f, i, server)->cold_ms = cold_ms;
    }
}

void
forward_fleet_set_mode(forward_fleet *f, unsigned server, server_mode mode)
{
    for (unsigned i = 0; i < f->host_count; i++) {
        get_server(f, i, server)->mode = mode;
    }
}

void
forward_fleet_set_host_mode(forward_fleet *f, unsigned host, unsigned server,
                            server_mode mode)
{
    get_server(f, host, server)->mode = mode;
}

void
forward_fleet_set_states_leaving(forward_fleet *f, unsigned server)
{
    for (unsigned i = 0; i < f->host_count; i++) {
        get_server(f, i, server)->states_leaving = true;
    }
}

const bbl_backend *
forward_fleet_get_backend(const forward_fleet *f, unsigned host,
                          unsigned server)
{
    return get_server(f, host, server)->backend;
}

void
forward_fleet_set_work(forward_fleet *f, unsigned server, bbl_usec work)
{
    for (unsigned i = 0; i < f->host_count; i++) {
        get_server(f, i, server)->work = work;
    }
}

void
forward_fleet_refuse_connection(forward_fleet *f, unsigned server)
{
    for (unsigned i = 0; i < f->host_count; i++) {
        forward_sim_record_connect(f->hosts[i], get_server(f, i, server),
                                   false);
    }
}

void
forward_fleet_cut_host(forward_fleet *f, unsigned host, bool cut)
{
    f->cut[host] = cut;
}

void
forward_fleet_set_links(forward_fleet *f, unsigned host,
                        forward_sim_links links)
{
    forward_sim_set_links(f->hosts[host], links);
}

void
forward_fleet_break_peer(forward_fleet *f, unsigned host)
{
    f->broken[host] = true;
}

unsigned
forward_fleet_count_crashes(const forward_fleet *f)
{
    return f->crash_count;
}

unsigned
forward_fleet_count_delegations(const forward_fleet *f)
{
    return (unsigned)f->delegations.size;
}

unsigned
forward_fleet_count_runs(const forward_fleet *f, unsigned host, unsigned call)
{
    unsigned runs = forward_sim_get_call(f->hosts[host], call)->runs;

    for (size_t i = 0; i < f->delegations.size; i++) {
        const fleet_delegation *d = bbl_vec_at(&f->delegations, i);

        if (d->from == host && d->call == call &&
            d->delegated_call != NO_CALL) {
            runs +=
                forward_sim_get_call(f->hosts[d->to], d->delegated_call)->runs;
        }
    }
    return runs;
}

void
forward_fleet_update_lists(forward_fleet *f)
{
    for (unsigned i = 0; i < f->host_count; i++) {
        forward_sim_update_list(f->hosts[i], NULL);
    }
}

void
forward_fleet_restart_grantor(forward_fleet *f, unsigned grantor)
{
    bbl_permit_book_free(&f->books[grantor]);
    bbl_permit_book_init(&f->books[grantor], forward_fleet_get_time(f));
}

void
forward_fleet_stop_grantor(forward_fleet *f, unsigned grantor, bool stopped)
{
    f->stopped[grantor] = stopped;
    forward_fleet_restart_grantor(f, grantor);
}

forward_sim *
forward_fleet_get_host(forward_fleet *f, unsigned host)
{
    return f->hosts[host];
}

static void
send_due_requests(forward_fleet *f, double per_s, const char *path)
{
    f->due += per_s * STEP_US / BBL_USEC_PER_SEC;
    while (f->due >= 1) {
        fleet_call *c = bbl_vec_add(&f->calls);

        f->due -= 1;
        c->sent_at = forward_fleet_get_time(f);
        c->host = (unsigned)bbl_rng_below(&f->rng, f->host_count);
        c->call =
            forward_sim_send_request(f->hosts[c->host], path, TIME_LEFT_MS);
    }
}

void
forward_fleet_run(forward_fleet *f, bbl_usec time, double per_s,
                  const char *path)
{
    for (bbl_usec spent = 0; spent < time; spent += STEP_US) {
        send_due_requests(f, per_s, path);
        for (unsigned i = 0; i < f->host_count; i++) {
            forward_sim_run(f->hosts[i], STEP_US);
        }
        deliver(f);
        deliver_delegations(f);
    }
}

void
forward_fleet_reconnect(forward_fleet *f)
{
    for (unsigned i = 0; i < f->host_count; i++) {
        for (unsigned k = 0; k < f->server_count; k++) {
            forward_sim_record_connect(f->hosts[i], get_server(f, i, k), true);
        }
        forward_sim_update_list(f->hosts[i], NULL);
    }
}

bbl_usec
forward_fleet_get_time(const forward_fleet *f)
{
    return forward_sim_get_time(f->hosts[0]);
}

unsigned
forward_fleet_count_arrivals(const forward_fleet *f, unsigned server,
                             bbl_usec since)
{
    const bbl_vec *v = &f->arrivals[server];
    unsigned n = 0;

    for (size_t i = 0; i < v->size; i++) {
        n += *BBL_VEC_AT(bbl_usec, v, i) >= since;
    }
    return n;
}

unsigned
forward_fleet_get_busiest_window(const forward_fleet *f, unsigned server,
                                 bbl_usec since, bbl_usec window)
{
    const bbl_vec *v = &f->arrivals[server];
    size_t first = 0;
    unsigned most = 0;

    for (size_t i = 0; i < v->size; i++) {
        bbl_usec at = *BBL_VEC_AT(bbl_usec, v, i);

        while (*BBL_VEC_AT(bbl_usec, v, first) < since ||
               *BBL_VEC_AT(bbl_usec, v, first) + window <= at) {
            if (first == i) {
                break;
            }
            first++;
        }
        if (at >= since && i - first + 1 > most) {
            most = (unsigned)(i - first + 1);
        }
    }
    return most;
}

void
forward_fleet_summarize(forward_fleet_summary *out, const forward_fleet *f,
                        bbl_usec since)
{
    forward_fleet_summarize_hosts(out, f, 0, f->host_count - 1, since);
}

void
forward_fleet_summarize_hosts(forward_fleet_summary *out,
                              const forward_fleet *f, unsigned first,
                              unsigned last, bbl_usec since)
{
    memset(out, 0, sizeof(*out));
    for (size_t i = 0; i < f->calls.size; i++) {
        const fleet_call *sent = bbl_vec_at(&f->calls, i);
        const forward_sim_call *c =
            forward_sim_get_call(f->hosts[sent->host], sent->call);

        if (sent->sent_at < since || sent->host < first || sent->host > last) {
            continue;
        }
        out->sent++;
        out->unanswered += !c->answered;
        out->served += c->answered && c->status == 200;
        out->refused += c->answered && c->status == 503;
        out->other += c->answered && c->status != 200 && c->status != 503;
        if (c->answered && c->status == 503) {
            out->refused_late +=
                c->answered_at > sent->sent_at + REFUSAL_MAX_US;
            out->without_retry_after += c->retry_after_ms == 0;
        }
    }
}
