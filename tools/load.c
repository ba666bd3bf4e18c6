/*
 * load.c - an open-loop load generator for the callers' interface. The
 * latency of a query counts from the time it was due, even if it was sent
 * later. Each answer is checked against the result that bbl-standin returns
 * for the query. Prints one line of results.
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
#define PROBE_INTERVAL_US (200 * BBL_USEC_PER_MS)
#define PROBE_TIMEOUT_US (300 * BBL_USEC_PER_MS)
#define CLIENT_TIMEOUT_MARGIN_MS 500 /* beyond a query's deadline */
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
    int shards_per_query; /* chosen at random; 0 for all shards */
    int total_shards;     /* number of shards to choose from */
    double min_coverage;  /* fraction; negative: not in the request */
} load_options;

/* Results of the measured part of a run, without the warm-up. */
typedef struct {
    uint64_t sent;
    uint64_t ok;
    uint64_t complete;
    uint64_t partial;
    uint64_t not_run;
    uint64_t incomplete;
    uint64_t unknown;
    uint64_t failed_exchanges; /* no response, or no JSON outcome in it */
    uint64_t late;             /* ended after the deadline */
    uint64_t mixed_snapshots;  /* results of a foreign snapshot */
    uint64_t bad_coverage;     /* coverage that contradicts the results */
    uint64_t wrong_result;     /* results or request ids of another query */
    uint64_t bad_not_run; /* "not-run" despite sent sub-requests; unused */
    uint64_t shards_asked;
    uint64_t shards_answered;
    uint64_t sub_requests_sent;
    bbl_histogram latency; /* of every query, in microseconds */
} load_results;

/* One daemon as the load generator's balancer sees it. */
typedef struct {
    char address[40];
    bool ready;         /* the last probe's result */
    bool probing;       /* a probe is in flight */
    bbl_usec probed_at; /* start of the last probe; 0 if none */
} target;

typedef struct {
    const load_options *options;
    bbl_loop *loop;
    bbl_http_client *http;
    target targets[TARGETS_MAX];
    size_t target_count;
    bbl_rng rng;
    bbl_usec started_at;
    uint64_t next_number;
    size_t open_queries; /* sent and not yet answered */
    load_results totals;
    FILE *csv;
    uint64_t run_id; /* distinguishes this run's request ids */
} load_generator;

typedef struct {
    load_generator *generator;
    bbl_usec due_at; /* when it had to be sent */
    uint64_t number;
    bool measured;
    bool run_once;
    char query_text[64];
} load_query;

/* ---- checks ---- */

static void
check_result(load_generator *l, const load_query *q, json_t *row,
             json_int_t snapshot)
{
    const char *body = json_string_value(json_object_get(row, "body"));
    json_int_t shard = json_integer_value(json_object_get(row, "shard"));
    char expected[64];
    uint64_t hash =
        bbl_hash(q->query_text, strlen(q->query_text), (uint64_t)shard);
    unsigned long long version = 0;

    snprintf(expected, sizeof(expected), "v%lld/s%lld/%016llx",
             (long long)snapshot, (long long)shard, (unsigned long long)hash);
    if (body != NULL && strcmp(body, expected) == 0) {
        return;
    }
    if (body != NULL && sscanf(body, "v%llu", &version) == 1 &&
        version != (unsigned long long)snapshot) {
        l->totals.mixed_snapshots++;
        return;
    }
    l->totals.wrong_result++;
}

static void
check_answer(load_generator *l, const load_query *q, json_t *root)
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

    l->totals.shards_asked += asked;
    l->totals.shards_answered += answered;
    if (results != NULL && (json_array_size(results) != answered ||
                            answered + json_array_size(missing) != asked)) {
        l->totals.bad_coverage++;
    }
    json_array_foreach(results, i, row)
    {
        json_int_t shard = json_integer_value(json_object_get(row, "shard"));

        if (shard <= last) {
            l->totals.bad_coverage++;
        }
        last = shard;
        check_result(l, q, row, snapshot);
    }
}

static void
count_outcome(load_generator *l, const load_query *q, json_t *root)
{
    const char *outcome = json_string_value(json_object_get(root, "outcome"));
    json_t *coverage = json_object_get(root, "coverage");
    load_results *f = &l->totals;
    char id[64];
    const char *echoed =
        json_string_value(json_object_get(root, "request_id"));

    snprintf(id, sizeof(id), "%llx-%llu", (unsigned long long)l->run_id,
             (unsigned long long)q->number);
    if (outcome == NULL) {
        f->failed_exchanges++;
        return;
    }
    if (echoed != NULL && strcmp(echoed, id) != 0) {
        f->wrong_result++;
    }
    f->sub_requests_sent +=
        (uint64_t)json_integer_value(json_object_get(root, "sent"));
    if (strcmp(outcome, "ok") == 0) {
        f->ok++;
        if (json_array_size(json_object_get(coverage, "missing")) == 0) {
            f->complete++;
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
on_query_done(void *ctx, const bbl_http_response *r)
{
    load_query *q = ctx;
    load_generator *l = q->generator;
    bbl_usec now = bbl_clock_now();
    bbl_usec taken = now - q->due_at;
    json_t *root = NULL;

    l->open_queries--;
    if (q->measured) {
        bbl_histogram_add(&l->totals.latency, (uint32_t)taken);
        if (taken > (bbl_usec)l->options->deadline_ms * BBL_USEC_PER_MS) {
            l->totals.late++;
        }
        if (r->end == BBL_HTTP_DONE) {
            root = json_loadb(r->body.ptr ? r->body.ptr : "", r->body.size, 0,
                              NULL);
        }
        count_outcome(l, q, root);
        if (l->csv != NULL) {
            fprintf(l->csv, "%llu,%llu,%ld\n",
                    (unsigned long long)(q->due_at - l->started_at),
                    (unsigned long long)taken, r->status);
        }
        json_decref(root);
    }
    free(q);
}

/* ---- the balancer: queries go to daemons that report ready ---- */

typedef struct {
    load_generator *generator;
    target *target;
} probe;

static void
on_probe_done(void *ctx, const bbl_http_response *r)
{
    probe *p = ctx;

    p->target->ready = r->end == BBL_HTTP_DONE && r->status == 200;
    p->target->probing = false;
    free(p);
}

static void
probe_targets(load_generator *l)
{
    bbl_usec now = bbl_clock_now();

    for (size_t i = 0; i < l->target_count; i++) {
        target *t = &l->targets[i];
        probe *p;
        bbl_http_request r;
        void *handle;
        char url[80];

        if (t->probing || now < t->probed_at + PROBE_INTERVAL_US) {
            continue;
        }
        t->probed_at = now;
        p = bbl_calloc(1, sizeof(*p));
        p->generator = l;
        p->target = t;
        snprintf(url, sizeof(url), "http://%s/v1/ready", t->address);
        memset(&r, 0, sizeof(r));
        r.url = url;
        r.timeout = PROBE_TIMEOUT_US;
        r.response_max = 4096;
        r.done = on_probe_done;
        r.ctx = p;
        t->probing = bbl_http_request_start(&handle, l->http, &r) == 0;
        if (!t->probing) {
            free(p);
        }
    }
}

/* Returns a random daemon that is ready, or any daemon if none is. */
static const target *
pick_target(load_generator *l)
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
append_shards(load_generator *l, bbl_buf *out)
{
    if (l->options->shards_per_query == 0) {
        bbl_buf_append_cstr(out, "\"all\"");
        return;
    }
    bbl_buf_append_cstr(out, "[");
    for (int i = 0; i < l->options->shards_per_query; i++) {
        /* One shard out of each of equal ranges, so that none repeats. */
        int width = l->options->total_shards / l->options->shards_per_query;

        bbl_buf_printf(out, "%s%d", i ? "," : "",
                       i * width +
                           (int)bbl_rng_below(&l->rng, (uint64_t)width));
    }
    bbl_buf_append_cstr(out, "]");
}

static void
send_query(load_generator *l, bbl_usec due)
{
    load_query *q = bbl_calloc(1, sizeof(*q));
    bbl_buf body = BBL_BUF_INIT;
    bbl_http_request r;
    char url[80];
    void *handle;
    bbl_usec measured_from =
        l->started_at + (bbl_usec)l->options->warmup * BBL_USEC_PER_SEC;

    q->generator = l;
    q->due_at = due;
    q->number = l->next_number++;
    q->measured = due >= measured_from;
    q->run_once =
        bbl_rng_below(&l->rng, 1000000) < (uint64_t)l->options->once_ppm;
    snprintf(q->query_text, sizeof(q->query_text), "find %llx/%llu",
             (unsigned long long)l->run_id, (unsigned long long)q->number);
    bbl_buf_printf(&body,
                   "{\"request_id\":\"%llx-%llu\",\"customer\":\"%s\","
                   "\"urgency\":\"%s\",\"deadline_ms\":%d,"
                   "\"repeatable\":%s,\"query\":\"%s\",\"shards\":",
                   (unsigned long long)l->run_id,
                   (unsigned long long)q->number, l->options->customer,
                   l->options->urgency, l->options->deadline_ms,
                   q->run_once ? "false" : "true", q->query_text);
    append_shards(l, &body);
    if (l->options->min_coverage >= 0) {
        bbl_buf_printf(&body, ",\"least_coverage\":%g",
                       l->options->min_coverage);
    }
    bbl_buf_append_cstr(&body, "}");
    memset(&r, 0, sizeof(r));
    snprintf(url, sizeof(url), "http://%s/v1/query", pick_target(l)->address);
    r.url = url;
    r.post = true;
    r.body = bbl_buf_str(&body);
    r.timeout =
        (bbl_usec)(l->options->deadline_ms + CLIENT_TIMEOUT_MARGIN_MS) *
        BBL_USEC_PER_MS;
    r.response_max = ANSWER_MAX_BYTES;
    r.done = on_query_done;
    r.ctx = q;
    l->totals.sent += q->measured;
    l->open_queries++;
    if (bbl_http_request_start(&handle, l->http, &r) != 0) {
        l->open_queries--;
        l->totals.failed_exchanges += q->measured;
        free(q);
    }
    bbl_buf_free(&body);
}

static void
run_load(load_generator *l)
{
    bbl_usec end =
        l->started_at + (bbl_usec)(l->options->seconds + l->options->warmup) *
                            BBL_USEC_PER_SEC;
    double due = (double)l->started_at;

    while ((bbl_usec)due < end || l->open_queries > 0) {
        bbl_usec now = bbl_clock_now();
        bbl_usec wait = 1000;

        while ((bbl_usec)due <= now && (bbl_usec)due < end) {
            send_query(l, (bbl_usec)due);
            due -= log(1.0 - bbl_rng_unit(&l->rng)) * 1e6 / l->options->rate;
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
print_results(const load_generator *l)
{
    const load_results *f = &l->totals;
    double coverage =
        f->shards_asked ? (double)f->shards_answered / (double)f->shards_asked
                        : 0;

    printf("label=%s sent=%llu ok=%llu whole=%llu partial=%llu not_run=%llu "
           "incomplete=%llu unknown=%llu broken=%llu late=%llu mixed=%llu "
           "bad_coverage=%llu wrong_result=%llu p50_us=%u p90_us=%u "
           "p99_us=%u p999_us=%u coverage=%.6f subs=%llu asked=%llu\n",
           l->options->label, (unsigned long long)f->sent,
           (unsigned long long)f->ok, (unsigned long long)f->complete,
           (unsigned long long)f->partial, (unsigned long long)f->not_run,
           (unsigned long long)f->incomplete, (unsigned long long)f->unknown,
           (unsigned long long)f->failed_exchanges,
           (unsigned long long)f->late, (unsigned long long)f->mixed_snapshots,
           (unsigned long long)f->bad_coverage,
           (unsigned long long)f->wrong_result,
           bbl_histogram_quantile(&f->latency, 0.5),
           bbl_histogram_quantile(&f->latency, 0.9),
           bbl_histogram_quantile(&f->latency, 0.99),
           bbl_histogram_quantile(&f->latency, 0.999), coverage,
           (unsigned long long)f->sub_requests_sent,
           (unsigned long long)f->shards_asked);
}

static int
parse_options(int argc, char **argv, load_options *f)
{
    GOptionEntry entries[] = {
        {"targets", 0, 0, G_OPTION_ARG_STRING, &f->targets,
         "caller addresses of the daemons", "ADDRESS,..."},
        {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &f->rate, "queries per second",
         "N"},
        {"seconds", 0, 0, G_OPTION_ARG_INT, &f->seconds,
         "duration of the measured part", "S"},
        {"warmup", 0, 0, G_OPTION_ARG_INT, &f->warmup,
         "duration of the warm-up before it", "S"},
        {"customer", 0, 0, G_OPTION_ARG_STRING, &f->customer, "customer",
         "NAME"},
        {"urgency", 0, 0, G_OPTION_ARG_STRING, &f->urgency, "urgency", "NAME"},
        {"deadline-ms", 0, 0, G_OPTION_ARG_INT, &f->deadline_ms, "deadline",
         "MS"},
        {"once-ppm", 0, 0, G_OPTION_ARG_INT, &f->once_ppm,
         "share of queries that may run at most once", "PPM"},
        {"shards", 0, 0, G_OPTION_ARG_INT, &f->shards_per_query,
         "shards per query, 0 for all", "N"},
        {"total", 0, 0, G_OPTION_ARG_INT, &f->total_shards,
         "number of shards to choose from", "N"},
        {"least", 0, 0, G_OPTION_ARG_DOUBLE, &f->min_coverage,
         "minimum coverage of an answer", "FRACTION"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &f->seed, "seed", "N"},
        {"label", 0, 0, G_OPTION_ARG_STRING, &f->label, "label", "TEXT"},
        {"csv", 0, 0, G_OPTION_ARG_STRING, &f->csv,
         "file for the due time, latency and status of each query", "FILE"},
        {NULL},
    };
    GOptionContext *context =
        g_option_context_new("- open-loop load generator");
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
parse_targets(load_generator *l)
{
    char *save = NULL;

    for (char *part = strtok_r(l->options->targets, ",", &save);
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
    load_options f = {.customer = "temple-north",
                      .urgency = "normal",
                      .label = "run",
                      .rate = 100,
                      .seconds = 5,
                      .warmup = 1,
                      .deadline_ms = 59,
                      .min_coverage = -1,
                      .seed = 1};
    load_generator l;

    if (parse_options(argc, argv, &f) != 0) {
        return 2;
    }
    memset(&l, 0, sizeof(l));
    l.options = &f;
    l.rng.state = (uint64_t)f.seed;
    l.run_id = bbl_clock_wall_ms() ^ ((uint64_t)f.seed << 48);
    parse_targets(&l);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    if (bbl_loop_open(&l.loop) != 0 ||
        bbl_http_client_open(&l.http, l.loop, 0) != 0) {
        fprintf(stderr, "load: %s\n", bbl_error_last());
        return 1;
    }
    l.csv = f.csv ? fopen(f.csv, "we") : NULL;
    l.started_at = bbl_clock_now();
    run_load(&l);
    print_results(&l);
    if (l.csv != NULL) {
        fclose(l.csv);
    }
    bbl_http_client_free(l.http);
    bbl_loop_free(l.loop);
    return 0;
}
