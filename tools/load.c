/*
 * load.c - open-loop load on the callers' interface. Each query is timed
 * from the moment it was due, whether or not it could be sent then, and
 * every answer is checked against what the stand-in would have answered.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "bbl/errors.h"
#include "daemon/options.h"
#include "net/http_client.h"
#include "util/alloc.h"
#include "util/clock.h"
#include "util/histogram.h"
#include "util/map.h"
#include "util/rng.h"
#include "util/vec.h"

#define TARGETS_MAX 64
#define PROBE_EVERY_US (200 * BBL_USEC_PER_MS)
#define PROBE_TIMEOUT_US (300 * BBL_USEC_PER_MS)
#define CLIENT_GRACE_MS                                                       \
    500 /* beyond the deadline before a query is given up */
#define ANSWER_MAX_BYTES (8u << 20)

typedef struct {
    char *targets;
    char *customer;
    char *urgency;
    char *csv;
    char *label;
    double rate;
    int seconds;
    int warmup;
    int deadline_ms;
    int once_ppm;
    int seed;
    int shards; /* 0: all, else so many at random */
    int total;  /* shards to choose from */
    double least;
} flags;

/* Counts over the measured part of a run. */
typedef struct {
    uint64_t sent;
    uint64_t ok;
    uint64_t whole;
    uint64_t partial;
    uint64_t not_run;
    uint64_t incomplete;
    uint64_t unknown;
    uint64_t broken;       /* no HTTP answer at all */
    uint64_t late;         /* answers after the deadline */
    uint64_t mixed;        /* answers that mix snapshots */
    uint64_t bad_coverage; /* stated coverage does not add up */
    uint64_t wrong_result; /* a result that is not the query's own */
    uint64_t bad_not_run;  /* "not run" that names sent sub-requests */
    uint64_t asked;
    uint64_t answered;
    uint64_t subs;
    bbl_histogram latency; /* microseconds, every query */
} figures;

/* One daemon as the load tool's balancer sees it. */
typedef struct {
    char address[40];
    bool ready;
    bool asking;
    bbl_usec asked;
} target;

typedef struct {
    const flags *f;
    bbl_loop *loop;
    bbl_http_client *http;
    target targets[TARGETS_MAX];
    size_t target_count;
    bbl_rng rng;
    bbl_usec began;
    uint64_t next;
    size_t open;
    figures figures;
    FILE *csv;
    uint64_t run_id;
} load;

typedef struct {
    load *owner;
    bbl_usec due;
    uint64_t number;
    bool measured;
    bool once;
    char text[64];
} query;

/* ---- checks ---- */

static void
check_result(load *l, const query *q, json_t *row, json_int_t snapshot)
{
    const char *body = json_string_value(json_object_get(row, "body"));
    json_int_t shard = json_integer_value(json_object_get(row, "shard"));
    char expected[64];
    uint64_t hash = bbl_hash(q->text, strlen(q->text), (uint64_t)shard);
    unsigned long long version = 0;

    snprintf(expected, sizeof(expected), "v%lld/s%lld/%016llx",
             (long long)snapshot, (long long)shard, (unsigned long long)hash);
    if (body != NULL && strcmp(body, expected) == 0) {
        return;
    }
    if (body != NULL && sscanf(body, "v%llu", &version) == 1 &&
        version != (unsigned long long)snapshot) {
        l->figures.mixed++;
        return;
    }
    l->figures.wrong_result++;
}

static void
check_answer(load *l, const query *q, json_t *root)
{
    json_t *coverage = json_object_get(root, "coverage");
    json_t *results = json_object_get(root, "results");
    json_t *missing = json_object_get(coverage, "missing");
    json_int_t snapshot =
        json_integer_value(json_object_get(root, "snapshot"));
    size_t asked =
        (size_t)json_integer_value(json_object_get(coverage, "asked"));
    size_t answered =
        (size_t)json_integer_value(json_object_get(coverage, "answered"));
    json_int_t last = -1;
    json_t *row;
    size_t i;

    l->figures.asked += asked;
    l->figures.answered += answered;
    if (results != NULL && (json_array_size(results) != answered ||
                            answered + json_array_size(missing) != asked)) {
        l->figures.bad_coverage++;
    }
    json_array_foreach(results, i, row)
    {
        json_int_t shard = json_integer_value(json_object_get(row, "shard"));

        if (shard <= last) {
            l->figures.bad_coverage++;
        }
        last = shard;
        check_result(l, q, row, snapshot);
    }
}

static void
count_outcome(load *l, const query *q, json_t *root)
{
    const char *outcome = json_string_value(json_object_get(root, "outcome"));
    json_t *coverage = json_object_get(root, "coverage");
    figures *f = &l->figures;
    char id[64];
    const char *echoed =
        json_string_value(json_object_get(root, "request_id"));

    snprintf(id, sizeof(id), "%llx-%llu", (unsigned long long)l->run_id,
             (unsigned long long)q->number);
    if (outcome == NULL) {
        f->broken++;
        return;
    }
    if (echoed != NULL && strcmp(echoed, id) != 0) {
        f->wrong_result++;
    }
    f->subs += (uint64_t)json_integer_value(json_object_get(root, "sent"));
    if (strcmp(outcome, "ok") == 0) {
        f->ok++;
        if (json_array_size(json_object_get(coverage, "missing")) == 0) {
            f->whole++;
        }
        else {
            f->partial++;
        }
        check_answer(l, q, root);
    }
    else if (strcmp(outcome, "not-run") == 0) {
        f->not_run++;
    }
    else if (strcmp(outcome, "incomplete") == 0) {
        f->incomplete++;
        check_answer(l, q, root);
    }
    else {
        f->unknown++;
    }
}

static void
on_done(void *ctx, const bbl_http_response *r)
{
    query *q = ctx;
    load *l = q->owner;
    bbl_usec now = bbl_clock_now();
    bbl_usec taken = now - q->due;
    json_t *root = NULL;

    l->open--;
    if (q->measured) {
        bbl_histogram_add(&l->figures.latency, (uint32_t)taken);
        if (taken > (bbl_usec)l->f->deadline_ms * BBL_USEC_PER_MS) {
            l->figures.late++;
        }
        if (r->end == BBL_HTTP_DONE) {
            root = json_loadb(r->body.ptr ? r->body.ptr : "", r->body.size, 0,
                              NULL);
        }
        count_outcome(l, q, root);
        if (l->csv != NULL) {
            fprintf(l->csv, "%llu,%llu,%ld\n",
                    (unsigned long long)(q->due - l->began),
                    (unsigned long long)taken, r->status);
        }
        json_decref(root);
    }
    free(q);
}

/* ---- the balancer: only daemons that say they are ready get queries ---- */

typedef struct {
    load *owner;
    target *target;
} probe;

static void
on_ready(void *ctx, const bbl_http_response *r)
{
    probe *p = ctx;

    p->target->ready = r->end == BBL_HTTP_DONE && r->status == 200;
    p->target->asking = false;
    free(p);
}

static void
probe_targets(load *l)
{
    bbl_usec now = bbl_clock_now();

    for (size_t i = 0; i < l->target_count; i++) {
        target *t = &l->targets[i];
        probe *p;
        bbl_http_request r;
        void *handle;
        char url[80];

        if (t->asking || now < t->asked + PROBE_EVERY_US) {
            continue;
        }
        t->asked = now;
        p = bbl_calloc(1, sizeof(*p));
        p->owner = l;
        p->target = t;
        snprintf(url, sizeof(url), "http://%s/v1/ready", t->address);
        memset(&r, 0, sizeof(r));
        r.url = url;
        r.timeout = PROBE_TIMEOUT_US;
        r.response_max = 4096;
        r.done = on_ready;
        r.ctx = p;
        t->asking = bbl_http_request_start(&handle, l->http, &r) == 0;
        if (!t->asking) {
            free(p);
        }
    }
}

/* Returns a ready daemon at random; any one when none is ready. */
static const target *
pick_target(load *l)
{
    size_t start = (size_t)bbl_rng_below(&l->rng, l->target_count);

    for (size_t i = 0; i < l->target_count; i++) {
        const target *t = &l->targets[(start + i) % l->target_count];

        if (t->ready) {
            return t;
        }
    }
    return &l->targets[start];
}

/* ---- sending ---- */

static void
put_shards(load *l, bbl_buf *out)
{
    if (l->f->shards == 0) {
        bbl_buf_append_cstr(out, "\"all\"");
        return;
    }
    bbl_buf_append_cstr(out, "[");
    for (int i = 0; i < l->f->shards; i++) {
        /* One of each equal stretch, so that none comes twice. */
        int width = l->f->total / l->f->shards;

        bbl_buf_printf(out, "%s%d", i ? "," : "",
                       i * width +
                           (int)bbl_rng_below(&l->rng, (uint64_t)width));
    }
    bbl_buf_append_cstr(out, "]");
}

static void
send_query(load *l, bbl_usec due)
{
    query *q = bbl_calloc(1, sizeof(*q));
    bbl_buf body = BBL_BUF_INIT;
    bbl_http_request r;
    char url[80];
    void *handle;
    bbl_usec measured_from =
        l->began + (bbl_usec)l->f->warmup * BBL_USEC_PER_SEC;

    q->owner = l;
    q->due = due;
    q->number = l->next++;
    q->measured = due >= measured_from;
    q->once = bbl_rng_below(&l->rng, 1000000) < (uint64_t)l->f->once_ppm;
    snprintf(q->text, sizeof(q->text), "find %llx/%llu",
             (unsigned long long)l->run_id, (unsigned long long)q->number);
    bbl_buf_printf(&body,
                   "{\"request_id\":\"%llx-%llu\",\"customer\":\"%s\","
                   "\"urgency\":\"%s\",\"deadline_ms\":%d,"
                   "\"repeatable\":%s,\"query\":\"%s\",\"shards\":",
                   (unsigned long long)l->run_id,
                   (unsigned long long)q->number, l->f->customer,
                   l->f->urgency, l->f->deadline_ms,
                   q->once ? "false" : "true", q->text);
    put_shards(l, &body);
    if (l->f->least >= 0) {
        bbl_buf_printf(&body, ",\"least_coverage\":%g", l->f->least);
    }
    bbl_buf_append_cstr(&body, "}");
    memset(&r, 0, sizeof(r));
    snprintf(url, sizeof(url), "http://%s/v1/query", pick_target(l)->address);
    r.url = url;
    r.post = true;
    r.body = bbl_buf_str(&body);
    r.timeout =
        (bbl_usec)(l->f->deadline_ms + CLIENT_GRACE_MS) * BBL_USEC_PER_MS;
    r.response_max = ANSWER_MAX_BYTES;
    r.done = on_done;
    r.ctx = q;
    l->figures.sent += q->measured;
    l->open++;
    if (bbl_http_request_start(&handle, l->http, &r) != 0) {
        l->open--;
        l->figures.broken += q->measured;
        free(q);
    }
    bbl_buf_free(&body);
}

static void
run(load *l)
{
    bbl_usec end =
        l->began + (bbl_usec)(l->f->seconds + l->f->warmup) * BBL_USEC_PER_SEC;
    double due = (double)l->began;

    while ((bbl_usec)due < end || l->open > 0) {
        bbl_usec now = bbl_clock_now();
        bbl_usec wait = 1000;

        while ((bbl_usec)due <= now && (bbl_usec)due < end) {
            send_query(l, (bbl_usec)due);
            due -= log(1.0 - bbl_rng_unit(&l->rng)) * 1e6 / l->f->rate;
        }
        if ((bbl_usec)due > now && (bbl_usec)due < now + wait) {
            wait = (bbl_usec)due - now;
        }
        probe_targets(l);
        bbl_http_client_tick(l->http);
        bbl_loop_run_once(l->loop, wait);
    }
}

/* ---- report ---- */

static void
print_figures(const load *l)
{
    const figures *f = &l->figures;
    double coverage = f->asked ? (double)f->answered / (double)f->asked : 0;

    printf("label=%s sent=%llu ok=%llu whole=%llu partial=%llu not_run=%llu "
           "incomplete=%llu unknown=%llu broken=%llu late=%llu mixed=%llu "
           "bad_coverage=%llu wrong_result=%llu p50_us=%u p90_us=%u "
           "p99_us=%u p999_us=%u coverage=%.6f subs=%llu asked=%llu\n",
           l->f->label, (unsigned long long)f->sent, (unsigned long long)f->ok,
           (unsigned long long)f->whole, (unsigned long long)f->partial,
           (unsigned long long)f->not_run, (unsigned long long)f->incomplete,
           (unsigned long long)f->unknown, (unsigned long long)f->broken,
           (unsigned long long)f->late, (unsigned long long)f->mixed,
           (unsigned long long)f->bad_coverage,
           (unsigned long long)f->wrong_result,
           bbl_histogram_quantile(&f->latency, 0.5),
           bbl_histogram_quantile(&f->latency, 0.9),
           bbl_histogram_quantile(&f->latency, 0.99),
           bbl_histogram_quantile(&f->latency, 0.999), coverage,
           (unsigned long long)f->subs, (unsigned long long)f->asked);
}

static int
parse(int argc, char **argv, flags *f)
{
    GOptionEntry entries[] = {
        {"targets", 0, 0, G_OPTION_ARG_STRING, &f->targets,
         "callers' addresses", "ADDRESS,..."},
        {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &f->rate, "queries a second", "N"},
        {"seconds", 0, 0, G_OPTION_ARG_INT, &f->seconds, "measured time", "S"},
        {"warmup", 0, 0, G_OPTION_ARG_INT, &f->warmup, "time before", "S"},
        {"customer", 0, 0, G_OPTION_ARG_STRING, &f->customer, "customer",
         "NAME"},
        {"urgency", 0, 0, G_OPTION_ARG_STRING, &f->urgency, "urgency", "NAME"},
        {"deadline-ms", 0, 0, G_OPTION_ARG_INT, &f->deadline_ms, "deadline",
         "MS"},
        {"once-ppm", 0, 0, G_OPTION_ARG_INT, &f->once_ppm,
         "queries that may not be repeated", "PPM"},
        {"shards", 0, 0, G_OPTION_ARG_INT, &f->shards,
         "shards a query, 0 for all", "N"},
        {"total", 0, 0, G_OPTION_ARG_INT, &f->total, "shards to choose from",
         "N"},
        {"least", 0, 0, G_OPTION_ARG_DOUBLE, &f->least,
         "least acceptable coverage", "FRACTION"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &f->seed, "seed", "N"},
        {"label", 0, 0, G_OPTION_ARG_STRING, &f->label, "label", "TEXT"},
        {"csv", 0, 0, G_OPTION_ARG_STRING, &f->csv,
         "file for due, latency and status of each query", "FILE"},
        {NULL},
    };
    GOptionContext *context = g_option_context_new("- load tool");
    GError *error = NULL;
    bool ok;

    g_option_context_add_main_entries(context, entries, NULL);
    ok = g_option_context_parse(context, &argc, &argv, &error);
    if (!ok) {
        fprintf(stderr, "load: %s\n", error->message);
        g_error_free(error);
    }
    g_option_context_free(context);
    return ok && f->targets != NULL ? 0 : BBL_EINVAL;
}

static void
take_targets(load *l)
{
    char *save = NULL;

    for (char *part = strtok_r(l->f->targets, ",", &save);
         part != NULL && l->target_count < TARGETS_MAX;
         part = strtok_r(NULL, ",", &save)) {
        target *t = &l->targets[l->target_count++];

        snprintf(t->address, sizeof(t->address), "%.32s", part);
        t->ready = true;
    }
}

int
main(int argc, char **argv)
{
    flags f = {.customer = "temple-north",
               .urgency = "normal",
               .label = "run",
               .rate = 100,
               .seconds = 5,
               .warmup = 1,
               .deadline_ms = 59,
               .least = -1,
               .seed = 1};
    load l;

    if (parse(argc, argv, &f) != 0) {
        return 2;
    }
    memset(&l, 0, sizeof(l));
    l.f = &f;
    l.rng.state = (uint64_t)f.seed;
    l.run_id = bbl_clock_wall_ms() ^ ((uint64_t)f.seed << 48);
    take_targets(&l);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    if (bbl_loop_open(&l.loop) != 0 ||
        bbl_http_client_open(&l.http, l.loop, 0) != 0) {
        fprintf(stderr, "load: %s\n", bbl_error_last());
        return 1;
    }
    l.csv = f.csv ? fopen(f.csv, "we") : NULL;
    l.began = bbl_clock_now();
    run(&l);
    print_figures(&l);
    if (l.csv != NULL) {
        fclose(l.csv);
    }
    bbl_http_client_free(l.http);
    bbl_loop_free(l.loop);
    return 0;
}
