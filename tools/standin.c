/*
 * standin.c - simulates all searchers of a deployment and the platform that
 * lists them. Each searcher has an HTTP port of its own; one more port serves
 * the platform's delayed list, and one serves statistics and takes faults.
 * The process counts each violation of a searcher's limits (see search_sim.h).
 */
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>
#include <microhttpd.h>

#include "bbl/errors.h"
#include "timers.h"
#include "util/alloc.h"
#include "util/clock.h"
#include "util/vec.h"
#include "search_sim.h"

#define STATUS_CANCELLED 499
#define LIST_SAMPLE_INTERVAL_US (100 * BBL_USEC_PER_MS)
#define LIST_SAMPLES_MAX 64 /* one each LIST_SAMPLE_INTERVAL_US */
#define LOOPBACK_ZONE(ip) (((ip) >> 8) & 0xff) /* 127.0.ZONE.x */

typedef struct standin standin;

/* One open connection of a client to a searcher. */
typedef struct {
    search_sim_searcher *searcher;
    unsigned peer_zone; /* of the client's address; 0 if it names none */
    bool used;          /* has served a request */
    bool silent;        /* never responds again */
} client_connection;

typedef enum {
    PHASE_ARRIVE, /* the request is in transit to the searcher */
    PHASE_RUN,
    PHASE_RETURN,  /* the outcome is known, the response not yet scheduled */
    PHASE_RESPOND, /* the response is in transit to the client */
    PHASE_DONE
} search_phase;

/* One HTTP request to a searcher. */
typedef struct {
    standin *parent;
    struct MHD_Connection *connection;
    client_connection *client;
    search_sim_searcher *searcher;
    char id[48];
    bbl_buf query_text;
    unsigned shard;
    uint64_t version;
    bool run_once;
    bool handled; /* its processing has started */
    bool is_search;
    bool cancelled;
    bool holds_slot; /* a slot of the searcher, released when the run ends */
    search_phase phase;
    unsigned pending_timers; /* not yet fired; the request outlives them */
    bool http_completed;     /* MHD no longer refers to the request */
    bbl_usec started_at;
    bbl_usec deadline;
    unsigned status;
    const char *reason;
    bbl_buf response;
    uint64_t boot;
} request;

struct standin {
    pthread_mutex_t lock;
    search_sim sim;
    timers *timers;
    bbl_map running_searches; /* hash of the request id -> request */
    struct MHD_Daemon **searcher_servers;
    struct MHD_Daemon *platform_server;
    struct MHD_Daemon *control_server;
    bbl_buf list_samples[LIST_SAMPLES_MAX];
    unsigned newest_sample; /* index into list_samples */
    unsigned lag_samples;   /* age of the list that is served, in samples */
    unsigned silent_epoch;  /* unused */
    bbl_vec connections;    /* client_connection * */
    bool stop;
};

/* Global because MHD passes one pointer per port, which is the searcher. */
static standin *standin_instance;

/* ---- searches ---- */

static uint64_t
hash_request_id(const char *id)
{
    return bbl_hash(id, strlen(id), 23);
}

static void on_request_timer(void *ctx);

static void
schedule_request(request *r, bbl_usec at)
{
    r->pending_timers++;
    timers_add(r->parent->timers, at, on_request_timer, r);
}

static void
free_request(request *r)
{
    bbl_buf_free(&r->query_text);
    bbl_buf_free(&r->response);
    free(r);
}

static bbl_usec
get_network_delay(const request *r)
{
    unsigned zone = r->client->peer_zone;

    return zone != 0 && zone != r->searcher->zone
               ? r->parent->sim.zone_delay_us
               : 0;
}

/* Sets the outcome of a request and frees its slot, if it holds one. */
static void
finish_run(request *r, bbl_usec now, unsigned status, const char *reason)
{
    standin *s = r->parent;

    if (r->holds_slot) {
        r->holds_slot = false;
        bbl_map_remove(&s->running_searches, hash_request_id(r->id));
        search_sim_finish(&s->sim, r->searcher, now, r->started_at,
                          status == 200);
    }
    r->status = status;
    r->reason = reason;
    r->boot = r->searcher->boot;
    r->phase = PHASE_RETURN;
}

static void
append_result(request *r)
{
    uint64_t hash = bbl_hash(r->query_text.ptr, r->query_text.size, r->shard);

    bbl_buf_printf(&r->response, "v%llu/s%u/%016llx",
                   (unsigned long long)r->version, r->shard,
                   (unsigned long long)hash);
}

/*
 * Admits a search that has arrived, or ends it with an error status. Returns
 * the time at which its run ends, or `now` if it was refused.
 */
static bbl_usec
start_run(request *r, bbl_usec now)
{
    standin *s = r->parent;
    search_sim_request search = {r->shard, r->version, r->run_once,
                                 bbl_buf_str(&r->query_text)};
    bbl_usec service = 0;

    switch (search_sim_admit(&s->sim, r->searcher, now, &search, &service)) {
    case SEARCH_SIM_SHED:
        finish_run(r, now, 503, "shed");
        return now;
    case SEARCH_SIM_LEAVING:
        finish_run(r, now, 503, "leaving");
        return now;
    case SEARCH_SIM_NO_VERSION:
        finish_run(r, now, 410, "no-version");
        return now;
    case SEARCH_SIM_DOWN:
        finish_run(r, now, 500, "down");
        return now;
    case SEARCH_SIM_RUN:
        break;
    }
    r->started_at = now;
    r->holds_slot = true;
    r->phase = PHASE_RUN;
    bbl_map_set(&s->running_searches, hash_request_id(r->id), r);
    return now + service < r->deadline ? now + service : r->deadline;
}

static void
complete_run(request *r, bbl_usec now)
{
    if (now >= r->deadline) {
        r->parent->sim.counters.late++;
        finish_run(r, now, 504, "deadline");
        return;
    }
    append_result(r);
    finish_run(r, now, 200, NULL);
}

/* Performs the transition that is due in the request's phase. */
static void
advance_request(request *r, bbl_usec now)
{
    bbl_usec next = now;

    if (r->phase == PHASE_ARRIVE) {
        next = start_run(r, now);
        if (r->phase == PHASE_RUN) {
            schedule_request(r, next);
            return;
        }
    }
    else if (r->phase == PHASE_RUN && !r->cancelled) {
        complete_run(r, now);
    }
    if (r->phase == PHASE_RETURN) {
        r->phase = PHASE_RESPOND;
        schedule_request(r, now + get_network_delay(r));
    }
}

static void
on_request_timer(void *ctx)
{
    request *r = ctx;
    standin *s = r->parent;

    pthread_mutex_lock(&s->lock);
    r->pending_timers--;
    if (r->http_completed) {
        if (r->pending_timers == 0) {
            free_request(r);
        }
    }
    else if (r->phase == PHASE_RESPOND) {
        r->phase = PHASE_DONE;
        MHD_resume_connection(r->connection);
    }
    else if (r->phase != PHASE_DONE) {
        advance_request(r, bbl_clock_now());
    }
    pthread_mutex_unlock(&s->lock);
}

/*
 * Cancels a running search and frees its slot at once. Returns false if no
 * search with this id is running.
 */
static bool
cancel_search(standin *s, const char *id)
{
    request *r = bbl_map_get(&s->running_searches, hash_request_id(id));
    bbl_usec now = bbl_clock_now();

    if (r == NULL || r->phase != PHASE_RUN || r->cancelled) {
        return false;
    }
    r->cancelled = true;
    s->sim.counters.cancelled++;
    finish_run(r, now, STATUS_CANCELLED, "cancelled");
    r->phase = PHASE_RESPOND;
    schedule_request(r, now + get_network_delay(r));
    return true;
}

/* ---- HTTP interface of a searcher ---- */

static enum MHD_Result
queue_response(struct MHD_Connection *connection, unsigned status,
               const bbl_buf *body, uint64_t boot, uint64_t version,
               const char *reason)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        body->size, body->ptr ? body->ptr : "", MHD_RESPMEM_MUST_COPY);
    enum MHD_Result result;
    const char *exchange;
    char text[32];

    if (boot != 0) {
        snprintf(text, sizeof(text), "%llx", (unsigned long long)boot);
        MHD_add_response_header(response, "X-Boot", text);
    }
    if (version != 0) {
        snprintf(text, sizeof(text), "%llu", (unsigned long long)version);
        MHD_add_response_header(response, "X-Index-Version", text);
    }
    if (reason != NULL) {
        MHD_add_response_header(response, "X-Reason", reason);
    }
    exchange = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND,
                                           "exchange");
    if (exchange != NULL) {
        MHD_add_response_header(response, "X-Exchange", exchange);
    }
    result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static const char *
get_argument(struct MHD_Connection *connection, const char *name)
{
    const char *value =
        MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);

    return value ? value : "";
}

static client_connection *
get_client_connection(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

    return info->socket_context;
}

static enum MHD_Result
start_search(request *r)
{
    standin *s = r->parent;
    bbl_usec now = bbl_clock_now();
    bbl_usec wait = get_network_delay(r);

    snprintf(r->id, sizeof(r->id), "%s", get_argument(r->connection, "id"));
    r->shard = (unsigned)atoi(get_argument(r->connection, "shard"));
    r->version = strtoull(get_argument(r->connection, "index"), NULL, 10);
    r->run_once = get_argument(r->connection, "once")[0] == '1';
    r->deadline =
        now + strtoull(get_argument(r->connection, "deadline_us"), NULL, 10);
    if (!r->client->used) {
        wait += r->searcher->connect_us;
    }
    r->client->used = true;
    MHD_suspend_connection(r->connection);
    if (!r->client->silent) {
        pthread_mutex_lock(&s->lock);
        schedule_request(r, now + wait);
        pthread_mutex_unlock(&s->lock);
    }
    return MHD_YES;
}

static enum MHD_Result
handle_auxiliary_request(request *r, const char *url)
{
    standin *s = r->parent;
    bbl_buf out = BBL_BUF_INIT;
    enum MHD_Result result;
    unsigned status = 200;

    if (r->client->silent) {
        MHD_suspend_connection(r->connection);
        return MHD_YES;
    }
    pthread_mutex_lock(&s->lock);
    if (r->searcher->lost) {
        status = 500;
    }
    else if (strcmp(url, "/info") == 0) {
        search_sim_append_info(r->searcher, &out);
    }
    else if (strcmp(url, "/cancel") == 0) {
        bool found = cancel_search(s, get_argument(r->connection, "id"));

        status = found ? 200 : 404;
    }
    else if (strcmp(url, "/health") == 0) {
        /* Reports healthy in every state, like an unreliable health check. */
        bbl_buf_append_cstr(&out, "{\"healthy\":true,\"load\":0}");
    }
    else {
        status = 404;
    }
    r->client->used = true;
    pthread_mutex_unlock(&s->lock);
    result = queue_response(r->connection, status, &out, 0, 0, NULL);
    bbl_buf_free(&out);
    return result;
}

static enum MHD_Result
on_searcher_request(void *ctx, struct MHD_Connection *connection,
                    const char *url, const char *method, const char *version,
                    const char *data, size_t *size, void **state)
{
    request *r = *state;

    (void)method;
    (void)version;
    if (r == NULL) {
        r = bbl_calloc(1, sizeof(*r));
        r->parent = standin_instance;
        r->searcher = ctx;
        r->connection = connection;
        r->client = get_client_connection(connection);
        r->is_search = strcmp(url, "/search") == 0;
        *state = r;
        return MHD_YES;
    }
    if (*size > 0) {
        bbl_buf_append(&r->query_text, data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (!r->handled) {
        r->handled = true;
        return r->is_search ? start_search(r)
                            : handle_auxiliary_request(r, url);
    }
    return queue_response(connection, r->status, &r->response, r->boot,
                          r->version, r->reason);
}

static void
on_request_completed(void *ctx, struct MHD_Connection *connection,
                     void **state, enum MHD_RequestTerminationCode code)
{
    standin *s = standin_instance;
    request *r = *state;
    bool last;

    (void)ctx;
    (void)connection;
    (void)code;
    if (r == NULL) {
        return;
    }
    pthread_mutex_lock(&s->lock);
    if (r->holds_slot) {
        /* The client closed the connection: the run ends at once. */
        finish_run(r, bbl_clock_now(), 500, "hung-up");
    }
    r->http_completed = true;
    last = r->pending_timers == 0;
    pthread_mutex_unlock(&s->lock);
    if (last) {
        free_request(r);
    }
}

static unsigned
get_client_zone(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    const struct sockaddr_in *sa = (const void *)info->client_addr;

    return LOOPBACK_ZONE(ntohl(sa->sin_addr.s_addr));
}

static void
on_connection(void *ctx, struct MHD_Connection *connection,
              void **socket_context, enum MHD_ConnectionNotificationCode code)
{
    standin *s = standin_instance;
    search_sim_searcher *searcher = ctx;
    client_connection *c = *socket_context;

    pthread_mutex_lock(&s->lock);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        c = bbl_calloc(1, sizeof(*c));
        c->searcher = searcher;
        c->peer_zone = get_client_zone(connection);
        *socket_context = c;
        searcher->open_connections++;
        if (searcher->open_connections > searcher->max_connections) {
            s->sim.counters.over_connections++;
        }
        bbl_vec_push(&s->connections, &c);
    }
    else {
        searcher->open_connections--;
        for (size_t i = 0; i < s->connections.size; i++) {
            if (*BBL_VEC_AT(client_connection *, &s->connections, i) == c) {
                bbl_vec_swap_remove(&s->connections, i);
                break;
            }
        }
        free(c);
    }
    pthread_mutex_unlock(&s->lock);
}

/* ---- platform and control pages ---- */

static void
sample_list(void *ctx)
{
    standin *s = ctx;

    pthread_mutex_lock(&s->lock);
    s->newest_sample = (s->newest_sample + 1) % LIST_SAMPLES_MAX;
    bbl_buf_clear(&s->list_samples[s->newest_sample]);
    search_sim_append_list(&s->sim, &s->list_samples[s->newest_sample]);
    if (!s->stop) {
        timers_add(s->timers, bbl_clock_now() + LIST_SAMPLE_INTERVAL_US,
                   sample_list, s);
    }
    pthread_mutex_unlock(&s->lock);
}

/*
 * Returns the list as it was `lag_samples` samples ago, or the newest one if
 * no sample is that old.
 */
static const bbl_buf *
get_lagging_list(const standin *s)
{
    unsigned i = (s->newest_sample + LIST_SAMPLES_MAX - s->lag_samples) %
                 LIST_SAMPLES_MAX;

    return s->list_samples[i].size > 0 ? &s->list_samples[i]
                                       : &s->list_samples[s->newest_sample];
}

/*
 * Carries out "silence SEARCHER": the searcher's open connections never
 * respond again; 0 stands for all searchers.
 */
static void
silence_connections(standin *s, unsigned id)
{
    for (size_t i = 0; i < s->connections.size; i++) {
        client_connection *c =
            *BBL_VEC_AT(client_connection *, &s->connections, i);

        if (id == 0 || c->searcher->id == id) {
            c->silent = true;
        }
    }
}

static int
inject_fault(standin *s, const char *command)
{
    unsigned id;

    if (sscanf(command, "silence %u", &id) == 1) {
        silence_connections(s, id);
        return 0;
    }
    return search_sim_inject_fault(&s->sim, bbl_clock_now(), command);
}

static enum MHD_Result
on_page_request(void *ctx, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *data,
                size_t *size, void **state)
{
    standin *s = ctx;
    bbl_buf out = BBL_BUF_INIT;
    unsigned status = 200;
    enum MHD_Result result;

    (void)method;
    (void)version;
    (void)data;
    if (*state == NULL) {
        *state = s;
        return MHD_YES;
    }
    if (*size > 0) {
        *size = 0;
        return MHD_YES;
    }
    pthread_mutex_lock(&s->lock);
    if (strcmp(url, "/hosts") == 0) {
        bbl_buf_append(&out, get_lagging_list(s)->ptr,
                       get_lagging_list(s)->size);
    }
    else if (strcmp(url, "/stats") == 0) {
        search_sim_append_stats(&s->sim, bbl_clock_now(), &out);
    }
    else if (strcmp(url, "/fault") != 0) {
        status = 404;
    }
    else if (inject_fault(s, get_argument(connection, "do")) != 0) {
        status = 400;
        bbl_buf_append_cstr(&out, bbl_error_last());
    }
    pthread_mutex_unlock(&s->lock);
    result = queue_response(connection, status, &out, 0, 0, NULL);
    bbl_buf_free(&out);
    return result;
}

static struct MHD_Daemon *
start_page_server(standin *s, unsigned port)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

    return MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL,
                            on_page_request, s, MHD_OPTION_SOCK_ADDR, &sa,
                            MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
                            MHD_OPTION_END);
}

static struct MHD_Daemon *
start_searcher_server(search_sim_searcher *searcher)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)searcher->port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

    return MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        0, NULL, NULL, on_searcher_request, searcher, MHD_OPTION_SOCK_ADDR,
        &sa, MHD_OPTION_NOTIFY_COMPLETED, on_request_completed, NULL,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, searcher,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)8192,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)131072,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
}

/* ---- fault script ---- */

typedef struct {
    standin *parent;
    char command[96];
} scripted_fault;

static void
inject_scripted_fault(void *ctx)
{
    scripted_fault *c = ctx;

    pthread_mutex_lock(&c->parent->lock);
    if (inject_fault(c->parent, c->command) != 0) {
        fprintf(stderr, "standin: %s\n", bbl_error_last());
    }
    pthread_mutex_unlock(&c->parent->lock);
    free(c);
}

/*
 * Schedules the faults of a script. Its lines are "AT_MS COMMAND", with the
 * time in milliseconds since the start; a line that begins with # is a
 * comment, any other line is ignored.
 */
static int
load_script(standin *s, const char *path)
{
    FILE *f = fopen(path, "re");
    char line[128];

    if (f == NULL) {
        return bbl_error_set(BBL_EINVAL, "cannot read %s", path);
    }
    while (fgets(line, sizeof(line), f) != NULL) {
        scripted_fault *c = bbl_calloc(1, sizeof(*c));
        unsigned long long at_ms;

        c->parent = s;
        if (line[0] != '#' &&
            sscanf(line, "%llu %95[^\n]", &at_ms, c->command) == 2) {
            timers_add(s->timers, s->sim.started_at + at_ms * BBL_USEC_PER_MS,
                       inject_scripted_fault, c);
        }
        else {
            free(c);
        }
    }
    fclose(f);
    return 0;
}

/* ---- start ---- */

typedef struct {
    char *profile;
    int base_port;
    int platform_port;
    int control_port;
    int service_us;
    int straggle_ppm;
    int straggle_ms;
    int lag_ms;
    int seed;
    gboolean cold;
    char *script;
} standin_options;

static int
parse_options(int argc, char **argv, standin_options *f)
{
    GOptionEntry entries[] = {
        {"profile", 0, 0, G_OPTION_ARG_STRING, &f->profile,
         "association, vatuwaqa or demo", "NAME"},
        {"base-port", 0, 0, G_OPTION_ARG_INT, &f->base_port,
         "searcher N listens on this port plus N", "PORT"},
        {"platform-port", 0, 0, G_OPTION_ARG_INT, &f->platform_port,
         "port that serves the platform's list", "PORT"},
        {"control-port", 0, 0, G_OPTION_ARG_INT, &f->control_port,
         "port that serves /stats and /fault?do=COMMAND", "PORT"},
        {"service-us", 0, 0, G_OPTION_ARG_INT, &f->service_us,
         "mean service time of a search", "US"},
        {"straggle-ppm", 0, 0, G_OPTION_ARG_INT, &f->straggle_ppm,
         "share of searches that run longer", "PPM"},
        {"straggle-ms", 0, 0, G_OPTION_ARG_INT, &f->straggle_ms,
         "time by which those run longer", "MS"},
        {"lag-ms", 0, 0, G_OPTION_ARG_INT, &f->lag_ms,
         "age of the platform's list, at most 6000", "MS"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &f->seed, "seed", "N"},
        {"cold", 0, 0, G_OPTION_ARG_NONE, &f->cold, "searchers start cold",
         NULL},
        {"script", 0, 0, G_OPTION_ARG_STRING, &f->script,
         "file of faults and the times to inject them", "FILE"},
        {NULL},
    };
    GOptionContext *context =
        g_option_context_new("- simulates searchers and their platform");
    GError *error = NULL;
    bool ok;

    g_option_context_add_main_entries(context, entries, NULL);
    ok = g_option_context_parse(context, &argc, &argv, &error);
    if (!ok) {
        fprintf(stderr, "standin: %s\n", error->message);
        g_error_free(error);
    }
    g_option_context_free(context);
    return ok ? 0 : BBL_EINVAL;
}

static int
start_standin(standin *s, const standin_options *f)
{
    search_sim_options o = {f->profile ? f->profile : "demo",
                            (unsigned)f->base_port,
                            (uint64_t)f->seed,
                            f->service_us,
                            f->straggle_ppm / 1e6,
                            (bbl_usec)f->straggle_ms * BBL_USEC_PER_MS,
                            !f->cold};
    int error = search_sim_init(&s->sim, &o, bbl_clock_now());

    if (error != 0) {
        return error;
    }
    s->lag_samples = (unsigned)f->lag_ms / 100;
    if (s->lag_samples >= LIST_SAMPLES_MAX) {
        return bbl_error_set(BBL_EINVAL, "--lag-ms is at most 6000");
    }
    timers_start(&s->timers);
    sample_list(s);
    s->searcher_servers =
        bbl_calloc(s->sim.searcher_count, sizeof(*s->searcher_servers));
    for (unsigned i = 0; i < s->sim.searcher_count; i++) {
        s->searcher_servers[i] = start_searcher_server(&s->sim.searchers[i]);
        if (s->searcher_servers[i] == NULL) {
            return bbl_error_set(BBL_ENET, "cannot listen on port %u",
                                 s->sim.searchers[i].port);
        }
    }
    s->platform_server = start_page_server(s, (unsigned)f->platform_port);
    s->control_server = start_page_server(s, (unsigned)f->control_port);
    if (s->platform_server == NULL || s->control_server == NULL) {
        return bbl_error_set(BBL_ENET,
                             "cannot listen on the platform or control port");
    }
    return f->script ? load_script(s, f->script) : 0;
}

int
main(int argc, char **argv)
{
    standin_options f = {.base_port = 20000,
                         .platform_port = 19001,
                         .control_port = 19002,
                         .service_us = 5000,
                         .straggle_ms = 200,
                         .seed = 1};
    standin s;
    sigset_t set;
    int signal_number;

    memset(&s, 0, sizeof(s));
    standin_instance = &s;
    pthread_mutex_init(&s.lock, NULL);
    s.connections = (bbl_vec)BBL_VEC_INIT(client_connection *);
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    if (parse_options(argc, argv, &f) != 0) {
        return 2;
    }
    if (start_standin(&s, &f) != 0) {
        fprintf(stderr, "standin: %s\n", bbl_error_last());
        return 1;
    }
    printf("ready\n");
    fflush(stdout);
    sigwait(&set, &signal_number);
    /* Suspended requests end with the process; MHD is not shut down. */
    _exit(0);
}
