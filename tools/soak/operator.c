#include "soak/operator.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/address.h"
#include "soak/callers.h"
#include "util/alloc.h"
#include "util/map.h"

#define ORDER_PORT 8106
#define ORDER_EVERY_US (600 * BBL_USEC_PER_MS)
#define READ_EVERY_US (300 * BBL_USEC_PER_MS)
#define RETRY_US (200 * BBL_USEC_PER_MS)
#define PATIENCE_US (1000 * BBL_USEC_PER_MS)
#define HOPS_MAX 2
#define INVALID_EVERY 8 /* orders */
/* A read sent so long after an acknowledgement is not older than it: the
 * platform's bound for a configuration to be in force. */
#define APPLY_US (3000 * BBL_USEC_PER_MS)

typedef enum { JOB_ORDER, JOB_READ, JOB_INVALID } job_kind;

/* One call at a time of each kind. */
typedef struct {
    soak_operator *op;
    job_kind kind;
    bbl_link_exchange *exchange; /* NULL: none under way */
    bbl_usec sent;
    bbl_usec next;
    unsigned asked; /* the host that was chosen */
    unsigned host;  /* the one that a redirect led to, or the same */
    unsigned hops;
    uint64_t floor; /* version that a read may not fall below */
} job;

struct soak_operator {
    soak_servers *servers;
    soak_operator_options options;
    bbl_backend_link *links[SOAK_CONTROL_HOSTS];
    bbl_rng rng;
    job jobs[3];
    uint64_t version; /* sent last */
    uint64_t acked;
    bbl_usec acked_at;
    uint64_t old_acked; /* acknowledged at least APPLY_US ago */
    bbl_map bodies;     /* version -> bbl_buf */
    bool stopped;
    bool read_newest[SOAK_CONTROL_HOSTS];
};

static bbl_buf *
body_of(soak_operator *op, uint64_t version)
{
    return bbl_map_get(&op->bodies, version);
}

static void
new_version(soak_operator *op)
{
    bbl_buf *body = bbl_calloc(1, sizeof(*body));

    op->version += 1 + bbl_rng_below(&op->rng, 3);
    soak_routing_append(body, op->version, op->options.service_count);
    bbl_map_set(&op->bodies, op->version, body);
}

/* ---- answers ---- */

static void
check_read(job *j, const bbl_http_message *m)
{
    soak_operator *op = j->op;
    char text[64];
    unsigned long long version = 0;
    bbl_buf *body;

    snprintf(text, sizeof(text), "%.*s", (int)m->body.size,
             m->body.ptr ? m->body.ptr : "");
    sscanf(text, "{\"version\":%llu", &version);
    body = body_of(op, version);
    if (body == NULL ||
        !bbl_str_equal(bbl_buf_str(body), bbl_buf_str(&m->body))) {
        soak_servers_report_violation(
            op->servers, "version %llu is read, not as it was sent", version);
    }
    else if (version < j->floor) {
        soak_servers_report_violation(
            op->servers, "version %llu is read after %llu was acknowledged",
            version, (unsigned long long)j->floor);
    }
    if (op->stopped && version >= op->acked) {
        op->read_newest[j->asked] = true;
    }
}

/* Goes where a redirect leads; returns whether it could. */
static bool
follow(job *j, const bbl_http_message *m)
{
    bbl_str to = bbl_http_message_field(m, "Location");
    char text[128];
    unsigned host;

    snprintf(text, sizeof(text), "%.*s", (int)to.size, to.ptr ? to.ptr : "");
    if (sscanf(text, "http://127.61.1.%u:", &host) != 1 || host < 1 ||
        host > SOAK_CONTROL_HOSTS || j->hops >= HOPS_MAX) {
        return false;
    }
    j->hops++;
    j->host = host - 1;
    return true;
}

static void
take_status(job *j, const bbl_http_message *m)
{
    soak_operator *op = j->op;
    unsigned status = bbl_http_message_status(m);

    if (j->kind == JOB_READ && status == 200) {
        check_read(j, m);
    }
    else if (j->kind == JOB_ORDER && status == 200) {
        op->acked = op->version;
        op->acked_at = j->sent;
    }
    else if (j->kind == JOB_INVALID && status < 400) {
        soak_servers_report_violation(op->servers, "an invalid routing got %u",
                                      status);
    }
    else if (j->kind == JOB_ORDER && status < 500) {
        soak_servers_report_violation(op->servers,
                                      "version %llu was refused with %u",
                                      (unsigned long long)op->version, status);
    }
}

static void
job_done(void *ctx, const bbl_link_exchange_result *r)
{
    job *j = ctx;
    bbl_usec now = j->sent;

    j->exchange = NULL;
    j->next = now + RETRY_US;
    if (r->exchange_outcome != BBL_LINK_RESPONSE) {
        return;
    }
    if (bbl_http_message_status(r->message) == 307) {
        if (follow(j, r->message)) {
            j->next = 0; /* at once */
        }
        return;
    }
    take_status(j, r->message);
    if (j->kind == JOB_READ) {
        j->next = now + READ_EVERY_US;
    }
    else if (bbl_http_message_status(r->message) < 500) {
        j->next = now + ORDER_EVERY_US;
    }
}

/* ---- calls ---- */

static void
send_job(job *j, bbl_usec now)
{
    soak_operator *op = j->op;
    bbl_buf head = BBL_BUF_INIT;
    bbl_link_exchange_request r;
    bbl_buf *body = body_of(op, op->version);

    memset(&r, 0, sizeof(r));
    if (j->kind == JOB_READ) {
        bbl_buf_append_cstr(&head, "GET /-/config HTTP/1.1\r\nHost: a\r\n");
    }
    else {
        /* An invalid one is cut short and names a higher version. */
        r.body = j->kind == JOB_INVALID ? (bbl_str){"{\"version\":99999", 16}
                                        : bbl_buf_str(body);
        bbl_buf_printf(&head,
                       "PUT /-/config HTTP/1.1\r\nHost: a\r\n"
                       "Content-Type: application/json\r\n"
                       "Content-Length: %zu\r\n",
                       r.body.size);
    }
    r.head = bbl_buf_str(&head);
    r.done = job_done;
    r.ctx = j;
    j->sent = now;
    if (bbl_link_exchange_start(&j->exchange, op->links[j->host], now, &r) !=
        0) {
        j->next = now + RETRY_US;
    }
    bbl_buf_free(&head);
}

static void
start_job(job *j, bbl_usec now)
{
    soak_operator *op = j->op;

    if (j->next == 0 && j->hops > 0) {
        send_job(j, now); /* to where the redirect led */
        return;
    }
    j->hops = 0;
    j->host = (unsigned)bbl_rng_below(&op->rng, SOAK_CONTROL_HOSTS);
    if (j->kind == JOB_READ && op->stopped) {
        /* Each in turn is asked until it has answered. */
        for (unsigned i = 0; i < SOAK_CONTROL_HOSTS; i++) {
            j->host = op->read_newest[j->host]
                          ? (j->host + 1) % SOAK_CONTROL_HOSTS
                          : j->host;
        }
    }
    j->asked = j->host;
    if (j->kind == JOB_ORDER && op->acked == op->version) {
        if (op->stopped) {
            return;
        }
        new_version(op);
    }
    j->floor = now > op->acked_at + APPLY_US ? op->acked : op->old_acked;
    send_job(j, now);
}

void
soak_operator_tick(soak_operator *op, bbl_usec now)
{
    if (now > op->acked_at + APPLY_US) {
        op->old_acked = op->acked;
    }
    for (int i = 0; i < 3; i++) {
        job *j = &op->jobs[i];

        if (j->exchange != NULL) {
            if (now >= j->sent + PATIENCE_US) {
                bbl_link_exchange_abandon(j->exchange);
                j->exchange = NULL;
                j->next = now + RETRY_US;
            }
        }
        else if (now >= j->next && (j->kind != JOB_INVALID || !op->stopped)) {
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
    return op->acked;
}

bool
soak_operator_is_converged(const soak_operator *op)
{
    for (unsigned i = 0; i < SOAK_CONTROL_HOSTS; i++) {
        if (!op->read_newest[i]) {
            return false;
        }
    }
    return op->acked == op->version && op->acked > 0;
}

/* ---- start and end ---- */

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

        snprintf(text, sizeof(text), "127.61.1.%u:%d", i + 1, ORDER_PORT);
        bbl_address_parse(&address, text);
        op->links[i] = bbl_backend_link_new(client, address, NULL);
        bbl_backend_link_set_limit(op->links[i], 4, false);
    }
    for (int i = 0; i < 3; i++) {
        op->jobs[i].op = op;
        op->jobs[i].kind = (job_kind)i;
        op->jobs[i].next = 1;
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
    while ((body = bbl_map_next(&op->bodies, &pos)) != NULL) {
        bbl_buf_free(body);
        free(body);
    }
    bbl_map_free(&op->bodies);
    free(op);
}
