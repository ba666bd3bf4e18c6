#include "support/forward_fleet.h"

#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"
#include "util/rng.h"
#include "util/vec.h"

#define STEP_US (2 * BBL_USEC_PER_MS)
#define TIME_LEFT_MS 800
#define REFUSAL_MAX_US (30 * BBL_USEC_PER_MS)

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

forward_fleet *
forward_fleet_new(unsigned hosts)
{
    forward_fleet *f = bbl_calloc(1, sizeof(*f));

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
    bbl_vec_free(&f->calls);
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
    memset(out, 0, sizeof(*out));
    for (size_t i = 0; i < f->calls.size; i++) {
        const fleet_call *sent = bbl_vec_at(&f->calls, i);
        const forward_sim_call *c =
            forward_sim_get_call(f->hosts[sent->host], sent->call);

        if (sent->sent_at < since) {
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
