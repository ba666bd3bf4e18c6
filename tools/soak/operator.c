#include "soak/operator.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/address.h"
#include "soak/callers.h"
#include "soak/network.h"
#include "util/alloc.h"
#include "util/map.h"

#define COMMAND_PORT 8106
#define INSTALL_INTERVAL_US (600 * BBL_USEC_PER_MS)
#define READ_INTERVAL_US (300 * BBL_USEC_PER_MS)
#define RETRY_DELAY_US (200 * BBL_USEC_PER_MS)
#define RESPONSE_TIMEOUT_US (1000 * BBL_USEC_PER_MS)
#define REDIRECTS_MAX 2
#define INVALID_INTERVAL_COMMANDS 8 /* installations */
/* The platform's bound for a configuration to be in effect. A read that is
 * sent later than this after the installation of an acknowledged version must
 * not return an older one. */
#define APPLY_BOUND_US (3000 * BBL_USEC_PER_MS)

typedef enum { JOB_INSTALL, JOB_READ, JOB_INSTALL_INVALID } job_kind;

/* A kind of request that is sent repeatedly, one at a time. */
typedef struct {
    soak_operator *routing_operator;
    job_kind kind;
    bbl_link_exchange *exchange; /* NULL if none is open */
    bbl_usec sent_at;            /* time of the last request */
    bbl_usec next_at;     /* time of the next request; 0: follow a redirect */
    unsigned chosen_host; /* control host of the first request */
    unsigned target_host; /* host of the last redirect, or chosen_host */
    unsigned redirects;   /* number of redirects followed */
    uint64_t version_min; /* oldest version that a read may return */
} job;

struct soak_operator {
    soak_servers *servers;
    soak_operator_options options;
    bbl_backend_link *links[SOAK_CONTROL_HOSTS];
    bbl_rng rng;
    job jobs[3];
    uint64_t version; /* created last */
    uint64_t acked_version;
    bbl_usec acked_sent_at; /* when acked_version was sent */
    /* Newest acknowledged version that was sent over APPLY_BOUND_US ago. */
    uint64_t effective_version;
    bbl_map routing_bodies; /* version -> bbl_buf * */
    bool stopped;           /* whether no more versions are created */
    /* Hosts that have returned the newest version to a read since the stop. */
    bool host_confirmed[SOAK_CONTROL_HOSTS];
};

static bbl_buf *
find_routing_body(soak_operator *op, uint64_t version)
{
    return bbl_map_get(&op->routing_bodies, version);
}

static void
create_version(soak_operator *op)
{
    bbl_buf *body = bbl_calloc(1, sizeof(*body));

    op->version += 1 + bbl_rng_below(&op->rng, 3);
    soak_routing_append(body, op->version, op->options.service_count);
    bbl_map_set(&op->routing_bodies, op->version, body);
}

/* ---- responses ---- */

static void
check_read_response(job *j, const bbl_http_message *m)
{
    soak_operator *op = j->routing_operator;
    char text[64];
    unsigned long long version = 0;
    bbl_buf *body;

    snprintf(text, sizeof(text), "%.*s", (int)m->body.size,
             m->body.ptr ? m->body.ptr : "");
    sscanf(text, "{\"version\":%llu", &version);
    body = find_routing_body(op, version);
    if (body == NULL ||
        !bbl_str_equal(bbl_buf_str(body), bbl_buf_str(&m->body))) {
        soak_servers_report_violation(
            op->servers,
            "a read returned version %llu, which differs from what was sent",
            version);
    }
    else if (version < j->version_min) {
        soak_servers_report_violation(
            op->servers,
            "a read returned version %llu after %llu was acknowledged",
            version, (unsigned long long)j->version_min);
    }
    if (op->stopped && version >= op->acked_version) {
        op->host_confirmed[j->chosen_host] = true;
    }
}

/* Sets the target host to that of a redirect. Returns false if the location is
 * no control host or there were too many redirects. */
static bool
follow_redirect(job *j, const bbl_http_message *m)
{
    bbl_str location = bbl_http_message_field(m, "Location");
    char text[128];
    unsigned host;

    snprintf(text, sizeof(text), "%.*s", (int)location.size,
             location.ptr ? location.ptr : "");
    host = soak_network_parse_url(text, SOAK_NET_CONTROL);
    if (host < 1 || host > SOAK_CONTROL_HOSTS ||
        j->redirects >= REDIRECTS_MAX) {
        return false;
    }
    j->redirects++;
    j->target_host = host - 1;
    return true;
}

static void
check_status(job *j, const bbl_http_message *m)
{
    soak_operator *op = j->routing_operator;
    unsigned status = bbl_http_message_status(m);

    if (j->kind == JOB_READ && status == 200) {
        check_read_response(j, m);
    }
    else if (j->kind == JOB_INSTALL && status == 200) {
        op->acked_version = op->version;
        op->acked_sent_at = j->sent_at;
    }
    else if (j->kind == JOB_INSTALL_INVALID && status < 400) {
        soak_servers_report_violation(
            op->servers, "an invalid routing was answered with status %u",
            status);
    }
    else if (j->kind == JOB_INSTALL && status < 500) {
        soak_servers_report_violation(
            op->servers, "version %llu was refused with status %u",
            (unsigned long long)op->version, status);
    }
}

static void
on_job_response(void *ctx, const bbl_link_exchange_result *r)
{
    job *j = ctx;
    bbl_usec now = j->sent_at;

    j->exchange = NULL;
    j->next_at = now + RETRY_DELAY_US;
    if (r->exchange_outcome != BBL_LINK_RESPONSE) {
        return;
    }
    if (bbl_http_message_status(r->message) == 307) {
        if (follow_redirect(j, r->message)) {
            j->next_at = 0; /* without delay */
        }
        return;
    }
    check_status(j, r->message);
    if (j->kind == JOB_READ) {
        j->next_at = now + READ_INTERVAL_US;
    }
    else if (bbl_http_message_status(r->message) < 500) {
        j->next_at = now + INSTALL_INTERVAL_US;
    }
}

/* ---- requests ---- */

static void
send_job(job *j, bbl_usec now)
{
    soak_operator *op = j->routing_operator;
    bbl_buf head = BBL_BUF_INIT;
    bbl_link_exchange_request r;
    bbl_buf *body = find_routing_body(op, op->version);

    memset(&r, 0, sizeof(r));
    if (j->kind == JOB_READ) {
        bbl_buf_append_cstr(&head, "GET /-/config HTTP/1.1\r\nHost: a\r\n");
    }
    else {
        /* An invalid routing is truncated and has a higher version. */
        r.body = j->kind == JOB_INSTALL_INVALID
                     ? (bbl_str){"{\"version\":99999", 16}
                     : bbl_buf_str(body);
        bbl_buf_printf(&head,
                       "PUT /-/config HTTP/1.1\r\nHost: a\r\n"
                       "Content-Type: application/json\r\n"
                       "Content-Length: %zu\r\n",
                       r.body.size);
    }
    r.head = bbl_buf_str(&head);
    r.done = on_job_response;
    r.ctx = j;
    j->sent_at = now;
    if (bbl_link_exchange_start(&j->exchange, op->links[j->target_host], now,
                                &r) != 0) {
        j->next_at = now + RETRY_DELAY_US;
    }
    bbl_buf_free(&head);
}

static void
start_job(job *j, bbl_usec now)
{
    soak_operator *op = j->routing_operator;

    if (j->next_at == 0 && j->redirects > 0) {
        send_job(j, now); /* to the target of the redirect */
        return;
    }
    j->redirects = 0;
    j->target_host = (unsigned)bbl_rng_below(&op->rng, SOAK_CONTROL_HOSTS);
    if (j->kind == JOB_READ && op->stopped) {
        /* Skips the hosts that have returned the newest version. */
        for (unsigned i = 0; i < SOAK_CONTROL_HOSTS; i++) {
            j->target_host = op->host_confirmed[j->target_host]
                                 ? (j->target_host + 1) % SOAK_CONTROL_HOSTS
                                 : j->target_host;
        }
    }
    j->chosen_host = j->target_host;
    if (j->kind == JOB_INSTALL && op->acked_version == op->version) {
        if (op->stopped) {
            return;
        }
        create_version(op);
    }
    j->version_min = now > op->acked_sent_at + APPLY_BOUND_US
                         ? op->acked_version
                         : op->effective_version;
    send_job(j, now);
}

void
soak_operator_tick(soak_operator *op, bbl_usec now)
{
    if (now > op->acked_sent_at + APPLY_BOUND_US) {
        op->effective_version = op->acked_version;
    }
    for (int i = 0; i < 3; i++) {
        job *j = &op->jobs[i];

        if (j->exchange != NULL) {
            if (now >= j->sent_at + RESPONSE_TIMEOUT_US) {
                bbl_link_exchange_abandon(j->exchange);
                j->exchange = NULL;
                j->next_at = now + RETRY_DELAY_US;
            }
        }
        else if (now >= j->next_at &&
                 (j->kind != JOB_INSTALL_INVALID || !op->stopped)) {
            start_job(j, now);
        }
    }
}

void
soak_operator_stop_updates(soak_operator *op)
{
    op->stopped = true;
}

uint64_t
soak_operator_acked_version(const soak_operator *op)
{
    return op->acked_version;
}

bool
soak_operator_is_converged(const soak_operator *op)
{
    for (unsigned i = 0; i < SOAK_CONTROL_HOSTS; i++) {
        if (!op->host_confirmed[i]) {
            return false;
        }
    }
    return op->acked_version == op->version && op->acked_version > 0;
}

/* ---- creation and release ---- */

void
soak_operator_open(soak_operator **out, bbl_backend_client *client,
                   soak_servers *servers, const soak_operator_options *options)
{
    soak_operator *op = bbl_calloc(1, sizeof(*op));

    op->servers = servers;
    op->options = *options;
    op->rng.state = options->seed;
    for (unsigned i = 0; i < SOAK_CONTROL_HOSTS; i++) {
        char text[32];
        bblx_address address;

        soak_network_format(text, sizeof(text), SOAK_NET_CONTROL, i + 1,
                            COMMAND_PORT);
        bbl_address_parse(&address, text);
        op->links[i] = bbl_backend_link_new(client, address, NULL);
        bbl_backend_link_set_limit(op->links[i], 4, false);
    }
    for (int i = 0; i < 3; i++) {
        op->jobs[i].routing_operator = op;
        op->jobs[i].kind = (job_kind)i;
        op->jobs[i].next_at = 1;
    }
    *out = op;
}

void
soak_operator_free(soak_operator *op)
{
    bbl_buf *body;
    size_t pos = 0;

    if (op == NULL) {
        return;
    }
    for (int i = 0; i < 3; i++) {
        if (op->jobs[i].exchange != NULL) {
            bbl_link_exchange_abandon(op->jobs[i].exchange);
        }
    }
    while ((body = bbl_map_next(&op->routing_bodies, &pos)) != NULL) {
        bbl_buf_free(body);
        free(body);
    }
    bbl_map_free(&op->routing_bodies);
    free(op);
}
