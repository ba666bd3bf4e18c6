#include "soak/operator.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak/callers.h"
#include "soak/command.h"
#include "util/alloc.h"
#include "util/map.h"

#define INSTALL_INTERVAL_US (600 * BBL_USEC_PER_MS)
#define READ_INTERVAL_US (300 * BBL_USEC_PER_MS)
#define RETRY_DELAY_US (200 * BBL_USEC_PER_MS)
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
    soak_command command;
    bbl_usec next_at;     /* time of the next command */
    uint64_t version_min; /* oldest version that a read may return */
} job;

struct soak_operator {
    soak_servers *servers;
    soak_operator_options options;
    soak_command_client client;
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
check_read_response(job *j, bbl_str text_read)
{
    soak_operator *op = j->routing_operator;
    char text[64];
    unsigned long long version = 0;
    bbl_buf *body;

    snprintf(text, sizeof(text), "%.*s", (int)text_read.size,
             text_read.ptr ? text_read.ptr : "");
    sscanf(text, "{\"version\":%llu", &version);
    body = find_routing_body(op, version);
    if (body == NULL || !bbl_str_equal(bbl_buf_str(body), text_read)) {
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
        op->host_confirmed[j->command.chosen_host] = true;
    }
}

static void
check_status(job *j, unsigned status, bbl_str body)
{
    soak_operator *op = j->routing_operator;

    if (j->kind == JOB_READ && status == 200) {
        check_read_response(j, body);
    }
    else if (j->kind == JOB_INSTALL && status == 200) {
        op->acked_version = op->version;
        op->acked_sent_at = j->command.sent_at;
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
on_job_response(void *ctx, unsigned status, bbl_str body)
{
    job *j = ctx;
    bbl_usec sent_at = j->command.sent_at;

    j->next_at = sent_at + RETRY_DELAY_US;
    if (status == 0) {
        return;
    }
    check_status(j, status, body);
    if (j->kind == JOB_READ) {
        j->next_at = sent_at + READ_INTERVAL_US;
    }
    else if (status < 500) {
        j->next_at = sent_at + INSTALL_INTERVAL_US;
    }
}

/* ---- requests ---- */

static void
send_job(job *j, bbl_usec now, unsigned host)
{
    soak_operator *op = j->routing_operator;
    bbl_buf *body = find_routing_body(op, op->version);

    if (j->kind == JOB_READ) {
        soak_command_send(&j->command, now, host, "GET", "/-/config",
                          (bbl_str){"", 0});
    }
    else {
        /* An invalid routing is truncated and has a higher version. */
        soak_command_send(&j->command, now, host, "PUT", "/-/config",
                          j->kind == JOB_INSTALL_INVALID
                              ? (bbl_str){"{\"version\":99999", 16}
                              : bbl_buf_str(body));
    }
}

static void
start_job(job *j, bbl_usec now)
{
    soak_operator *op = j->routing_operator;
    unsigned host = (unsigned)bbl_rng_below(&op->rng, SOAK_CONTROL_HOSTS);

    if (j->kind == JOB_READ && op->stopped) {
        /* Skips the hosts that have returned the newest version. */
        for (unsigned i = 0; i < SOAK_CONTROL_HOSTS; i++) {
            host = op->host_confirmed[host] ? (host + 1) % SOAK_CONTROL_HOSTS
                                            : host;
        }
    }
    if (j->kind == JOB_INSTALL && op->acked_version == op->version) {
        if (op->stopped) {
            return;
        }
        create_version(op);
    }
    j->version_min = now > op->acked_sent_at + APPLY_BOUND_US
                         ? op->acked_version
                         : op->effective_version;
    send_job(j, now, host);
}

void
soak_operator_tick(soak_operator *op, bbl_usec now)
{
    if (now > op->acked_sent_at + APPLY_BOUND_US) {
        op->effective_version = op->acked_version;
    }
    for (int i = 0; i < 3; i++) {
        job *j = &op->jobs[i];

        soak_command_tick(&j->command, now);
        if (!j->command.running && now >= j->next_at &&
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
    soak_command_client_open(&op->client, client);
    for (int i = 0; i < 3; i++) {
        op->jobs[i].routing_operator = op;
        op->jobs[i].kind = (job_kind)i;
        op->jobs[i].command = (soak_command){.client = &op->client,
                                             .done = on_job_response,
                                             .ctx = &op->jobs[i]};
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
        soak_command_free(&op->jobs[i].command);
    }
    while ((body = bbl_map_next(&op->routing_bodies, &pos)) != NULL) {
        bbl_buf_free(body);
        free(body);
    }
    bbl_map_free(&op->routing_bodies);
    free(op);
}
