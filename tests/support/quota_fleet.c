#include "support/quota_fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_US 500
#define DELAY_MIN_US 500
#define GRANTOR_ID(i) (100 + (i))
#define URGENT_PATH "/urgent/"

static const char *const keys[] = {"k-hot", "k-calm", "k-free"};
static const char *const paths[] = {"/hot/", "/calm/", "/free/"};
static const char *const services[] = {"hot", "calm", "free"};

typedef struct {
    bbl_usec due;
    unsigned host;
    unsigned grantor;
    bool to_host;
    bblx_message message;
} fleet_message;

static void
post(quota_fleet *f, unsigned host, unsigned grantor, bool to_host,
     const bblx_message *m)
{
    fleet_message x = {f->now, host, grantor, to_host, *m};
    bbl_buf bytes = BBL_BUF_INIT;
    unsigned copies = 1 + (bbl_rng_below(&f->rng, 100) < f->doubled_per_100);

    if (BBL_XDR_ENCODE(&bytes, bblx_message, m) != 0) {
        abort();
    }
    f->encoded += bytes.size;
    bbl_buf_free(&bytes);
    if (f->cut[host][grantor]) {
        return;
    }
    for (unsigned i = 0; i < copies; i++) {
        if (bbl_rng_below(&f->rng, 100) >= f->lost_per_100) {
            x.due = f->now + DELAY_MIN_US +
                    bbl_rng_below(&f->rng, f->delay_max + 1);
            bbl_vec_push(&f->messages, &x);
        }
    }
}

static void
on_send(void *ctx, forward_sim *sim, uint32_t grantor, const bblx_message *m)
{
    quota_fleet *f = ctx;

    for (unsigned i = 0; i < f->host_count; i++) {
        if (f->hosts[i] == sim) {
            post(f, i, grantor - GRANTOR_ID(0), false, m);
        }
    }
    f->requests +=
        m->kind == BBLX_ADMISSION_REQUEST || m->kind == BBLX_PRIORITY_REQUEST;
    f->returns += m->kind == BBLX_ADMISSION_REPORT;
}

void
quota_fleet_install(quota_fleet *f, unsigned host, uint64_t version,
                    double rate, double burst)
{
    char text[4096];
    int n = snprintf(text, sizeof(text), "{\"version\":%llu,\"routes\":[",
                     (unsigned long long)version);

    for (unsigned i = 0; i < QUOTA_ORGANISATIONS; i++) {
        n += snprintf(text + n, sizeof(text) - (size_t)n,
                      "%s{\"name\":\"%s\",\"hostname\":\"a.example\","
                      "\"path_prefix\":\"%s\",\"route_type\":\"unsafe\","
                      "\"timeout_ms\":1200,\"target_latency_ms\":%d,"
                      "\"priority\":1,"
                      "\"max_attempts\":2,\"service\":\"%s\"}",
                      i > 0 ? "," : "", services[i], paths[i], QUOTA_TARGET_MS,
                      services[i]);
    }
    n +=
        snprintf(text + n, sizeof(text) - (size_t)n,
                 ",{\"name\":\"urgent\",\"hostname\":\"a.example\","
                 "\"path_prefix\":\"%s\",\"route_type\":\"unsafe\","
                 "\"priority\":0,\"timeout_ms\":1200,\"target_latency_ms\":%d,"
                 "\"max_attempts\":2,\"service\":\"hot\"}",
                 URGENT_PATH, QUOTA_TARGET_MS);
    snprintf(text + n, sizeof(text) - (size_t)n,
             "],\"services\":[{\"name\":\"hot\"},{\"name\":\"calm\"},"
             "{\"name\":\"free\"}],\"tenants\":["
             "{\"name\":\"hot\",\"api_keys\":[\"k-hot\"],\"rate_per_s\":%g,"
             "\"burst\":%g},"
             "{\"name\":\"calm\",\"api_keys\":[\"k-calm\"],\"rate_per_s\":5,"
             "\"burst\":5},"
             "{\"name\":\"free\",\"api_keys\":[\"k-free\"]}]}",
             rate, burst);
    forward_sim_install_routing(f->hosts[host], text);
    f->versions[host] = version;
}

void
quota_fleet_init(quota_fleet *f, unsigned hosts, uint64_t seed, double rate,
                 double burst)
{
    bbl_listed_grantor grantors[QUOTA_GRANTORS];
    forward_sim_control control = {.send_admission = on_send, .ctx = f};

    memset(f, 0, sizeof(*f));
    f->limits = (bbl_quota_limits)BBL_QUOTA_LIMITS_INIT;
    f->host_count = hosts;
    f->rng.state = seed;
    f->messages = (bbl_vec)BBL_VEC_INIT(fleet_message);
    for (unsigned i = 0; i < QUOTA_ORGANISATIONS; i++) {
        f->runs[i] = (bbl_vec)BBL_VEC_INIT(bbl_usec);
    }
    for (unsigned i = 0; i < QUOTA_GRANTORS; i++) {
        bbl_quota_book_init(&f->grantors[i], 0, &f->limits);
    }
    for (unsigned i = 0; i < hosts; i++) {
        for (unsigned g = 0; g < QUOTA_GRANTORS; g++) {
            grantors[g] = (bbl_listed_grantor){GRANTOR_ID(g), g == i};
        }
        f->hosts[i] = forward_sim_new(hosts);
        for (unsigned s = 0; s < QUOTA_ORGANISATIONS; s++) {
            forward_sim_add_server(f->hosts[i], services[s], services[s],
                                   "z1");
        }
        forward_sim_set_control(f->hosts[i], &control);
        quota_fleet_install(f, i, 1, rate, burst);
        forward_sim_set_grantors(f->hosts[i], grantors, QUOTA_GRANTORS);
    }
}

void
quota_fleet_free(quota_fleet *f)
{
    for (unsigned i = 0; i < f->host_count; i++) {
        forward_sim_discard(f->hosts[i]);
    }
    for (unsigned i = 0; i < QUOTA_GRANTORS; i++) {
        bbl_quota_book_free(&f->grantors[i]);
    }
    for (unsigned i = 0; i < QUOTA_ORGANISATIONS; i++) {
        bbl_vec_free(&f->runs[i]);
    }
    bbl_vec_free(&f->messages);
}

unsigned
quota_fleet_send(quota_fleet *f, unsigned host, unsigned organisation)
{
    forward_sim_set_key(f->hosts[host], keys[organisation], 1);
    return forward_sim_send_request(f->hosts[host], paths[organisation], 1000);
}

unsigned
quota_fleet_send_urgent(quota_fleet *f, unsigned host)
{
    forward_sim_set_key(f->hosts[host], keys[0], 1);
    return forward_sim_send_request(f->hosts[host], URGENT_PATH, 1000);
}

void
quota_fleet_restart_grantor(quota_fleet *f, unsigned grantor)
{
    bbl_quota_book_free(&f->grantors[grantor]);
    bbl_quota_book_init(&f->grantors[grantor], f->now, &f->limits);
    f->grantor_frozen_until[grantor] = 0;
}

void
quota_fleet_set_tolerance(quota_fleet *f, double tolerance)
{
    f->limits.tolerance = tolerance;
    for (unsigned i = 0; i < QUOTA_GRANTORS; i++) {
        quota_fleet_restart_grantor(f, i);
    }
}

static void
deliver_to_grantor(quota_fleet *f, const fleet_message *x)
{
    const bblx_priority_request *p =
        &x->message.bblx_message_u.priority_request;
    const bblx_admission_request *r = &p->request;
    bbl_quota_book *book = &f->grantors[x->grantor];
    bbl_quota_answer answer;
    bblx_message m;

    if (x->message.kind == BBLX_ADMISSION_REPORT) {
        bbl_quota_book_put_back(
            book, f->now, x->host,
            x->message.bblx_message_u.admission_report.number);
        return;
    }
    memset(&m, 0, sizeof(m));
    m.kind = BBLX_ADMISSION_REPLY;
    m.bblx_message_u.admission_reply.number = r->number;
    bbl_quota_book_take(&answer, book, f->now, QUOTA_GRANTORS, x->host,
                        r->number, p->priority,
                        &r->item.bblx_admission_item_u.quota);
    m.bblx_message_u.admission_reply.outcome =
        answer.taken ? BBLX_ADMITTED : BBLX_OVER_QUOTA;
    m.bblx_message_u.admission_reply.wait_us = answer.wait_us;
    m.bblx_message_u.admission_reply.left_per_1000 = answer.left_per_1000;
    post(f, x->host, x->grantor, true, &m);
}

/* Delivers the messages that are due; a frozen receiver gets them later. */
static void
deliver(quota_fleet *f)
{
    for (size_t i = 0; i < f->messages.size;) {
        fleet_message x = *BBL_VEC_AT(fleet_message, &f->messages, i);

        if (f->now < x.due ||
            f->now < (x.to_host ? f->host_frozen_until[x.host]
                                : f->grantor_frozen_until[x.grantor])) {
            i++;
            continue;
        }
        bbl_vec_remove(&f->messages, i);
        if (!x.to_host) {
            deliver_to_grantor(f, &x);
        }
        else {
            forward_sim_receive_admission(
                f->hosts[x.host], GRANTOR_ID(x.grantor),
                &x.message.bblx_message_u.admission_reply);
        }
    }
}

static unsigned
count_runs(const quota_fleet *f, unsigned organisation)
{
    unsigned n = 0;

    for (unsigned i = 0; i < f->host_count; i++) {
        n += forward_sim_get_server(f->hosts[i], organisation)->runs;
    }
    return n;
}

void
quota_fleet_run(quota_fleet *f, bbl_usec time)
{
    bbl_usec until = f->now + time;

    while (f->now < until) {
        f->now += STEP_US;
        for (unsigned i = 0; i < f->host_count; i++) {
            if (f->now < f->host_frozen_until[i]) {
                f->lag[i] += STEP_US;
                continue;
            }
            forward_sim_skip(f->hosts[i], f->lag[i]);
            f->lag[i] = 0;
            forward_sim_run(f->hosts[i], STEP_US);
        }
        deliver(f);
        for (unsigned i = 0; i < QUOTA_ORGANISATIONS; i++) {
            while (f->runs[i].size < count_runs(f, i)) {
                bbl_vec_push(&f->runs[i], &f->now);
            }
        }
    }
}

unsigned
quota_fleet_count_most(const quota_fleet *f, unsigned organisation,
                       bbl_usec window, bbl_usec from)
{
    const bbl_vec *runs = &f->runs[organisation];
    size_t first = 0;
    unsigned most = 0;

    for (size_t i = 0; i < runs->size; i++) {
        while (*BBL_VEC_AT(bbl_usec, runs, first) < from ||
               *BBL_VEC_AT(bbl_usec, runs, first) + window <=
                   *BBL_VEC_AT(bbl_usec, runs, i)) {
            if (first == i) {
                break;
            }
            first++;
        }
        if (*BBL_VEC_AT(bbl_usec, runs, first) >= from &&
            i - first + 1 > most) {
            most = (unsigned)(i - first + 1);
        }
    }
    return most;
}
