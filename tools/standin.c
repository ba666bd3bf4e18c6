/*
 * standin.c - plays all searchers of a deployment and the platform: one HTTP
 * port a searcher, one for the platform's lagging list, one for statistics
 * and faults. It counts every violation by itself.
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
#define PLATFORM_EVERY_US (100 * BBL_USEC_PER_MS)
#define LAG_SAMPLES 64 /* lists kept, one each PLATFORM_EVERY_US */
#define LOOPBACK_ZONE(ip) (((ip) >> 8) & 0xff) /* 127.0.ZONE.x */

typedef struct standin standin;

/* One open connection. */
typedef struct {
    search_sim_searcher *searcher;
    unsigned client_zone; /* 0: not told by its address */
    bool used;
    bool silent;
} contact;

typedef enum {
    STEP_ARRIVE, /* the request travels */
    STEP_RUN,
    STEP_RETURN, /* the response travels */
    STEP_REPLY,
    STEP_DONE
} search_step;

/* One search request. */
typedef struct {
    standin *owner;
    struct MHD_Connection *connection;
    contact *contact;
    search_sim_searcher *searcher;
    char id[48];
    bbl_buf text;
    unsigned shard;
    uint64_t version;
    bool once;
    bool handled;
    bool is_search;
    bool cancelled;
    bool occupies;
    search_step step;
    unsigned timers; /* that will still fire for it */
    bool completed;  /* the HTTP side has let go of it */
    bbl_usec began;
    bbl_usec deadline;
    unsigned status;
    const char *reason;
    bbl_buf reply;
    uint64_t boot;
} request;

struct standin {
    pthread_mutex_t lock;
    world w;
    timers *timers;
    bbl_map running; /* hash of id -> request */
    struct MHD_Daemon **daemons;
    struct MHD_Daemon *platform;
    struct MHD_Daemon *control;
    bbl_buf lists[LAG_SAMPLES];
    unsigned list_next;
    unsigned lag_samples;
    unsigned silent_epoch; /* connections made before it are silent */
    bbl_vec contacts;      /* contact * */
    bool stop;
};

static standin *the_standin; /* MHD passes one pointer only per port */

/* ---- searches ---- */

static uint64_t
id_key(const char *id)
{
    return bbl_hash(id, strlen(id), 23);
}

static void step(void *ctx);

static void
arm(request *r, bbl_usec at)
{
    r->timers++;
    timers_add(r->owner->timers, at, step, r);
}

static void
free_request(request *r)
{
    bbl_buf_free(&r->text);
    bbl_buf_free(&r->reply);
    free(r);
}

static bbl_usec
travel_us(const request *r)
{
    unsigned zone = r->contact->client_zone;

    return zone != 0 && zone != r->searcher->zone ? r->owner->w.zone_delay_us
                                                  : 0;
}

static void
finish_run(request *r, bbl_usec now, unsigned status, const char *reason)
{
    standin *s = r->owner;

    if (r->occupies) {
        r->occupies = false;
        bbl_map_remove(&s->running, id_key(r->id));
        search_sim_finish(&s->w, r->searcher, now, r->began, status == 200);
    }
    r->status = status;
    r->reason = reason;
    r->boot = r->searcher->boot;
    r->step = STEP_RETURN;
}

static void
put_result(request *r)
{
    uint64_t hash = bbl_hash(r->text.ptr, r->text.size, r->shard);

    bbl_buf_printf(&r->reply, "v%llu/s%u/%016llx",
                   (unsigned long long)r->version, r->shard,
                   (unsigned long long)hash);
}

/* Starts the run of a search that has arrived; returns when it ends. */
static bbl_usec
begin_run(request *r, bbl_usec now)
{
    standin *s = r->owner;
    search_sim_request search = {r->shard, r->version, r->once,
                                 bbl_buf_str(&r->text)};
    bbl_usec service = 0;

    switch (search_sim_admit(&s->w, r->searcher, now, &search, &service)) {
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
    r->began = now;
    r->occupies = true;
    r->step = STEP_RUN;
    bbl_map_set(&s->running, id_key(r->id), r);
    return now + service < r->deadline ? now + service : r->deadline;
}

static void
end_run(request *r, bbl_usec now)
{
    if (now >= r->deadline) {
        r->owner->w.counts.late++;
        finish_run(r, now, 504, "deadline");
        return;
    }
    put_result(r);
    finish_run(r, now, 200, NULL);
}

/* Moves a request on; called by the timer and by a cancellation. */
static void
advance(request *r, bbl_usec now)
{
    bbl_usec next = now;

    if (r->step == STEP_ARRIVE) {
        next = begin_run(r, now);
        if (r->step == STEP_RUN) {
            arm(r, next);
            return;
        }
    }
    else if (r->step == STEP_RUN && !r->cancelled) {
        end_run(r, now);
    }
    if (r->step == STEP_RETURN) {
        r->step = STEP_REPLY;
        arm(r, now + travel_us(r));
    }
}

static void
step(void *ctx)
{
    request *r = ctx;
    standin *s = r->owner;

    pthread_mutex_lock(&s->lock);
    r->timers--;
    if (r->completed) {
        if (r->timers == 0) {
            free_request(r);
        }
    }
    else if (r->step == STEP_REPLY) {
        r->step = STEP_DONE;
        MHD_resume_connection(r->connection);
    }
    else if (r->step != STEP_DONE) {
        advance(r, bbl_clock_now());
    }
    pthread_mutex_unlock(&s->lock);
}

/* Cancels a running search, its slot is free at once; false if none runs. */
static bool
cancel_search(standin *s, const char *id)
{
    request *r = bbl_map_get(&s->running, id_key(id));
    bbl_usec now = bbl_clock_now();

    if (r == NULL || r->step != STEP_RUN || r->cancelled) {
        return false;
    }
    r->cancelled = true;
    s->w.counts.cancelled++;
    finish_run(r, now, STATUS_CANCELLED, "cancelled");
    r->step = STEP_REPLY;
    arm(r, now + travel_us(r));
    return true;
}

/* ---- HTTP of a searcher ---- */

static enum MHD_Result
queue_reply(struct MHD_Connection *connection, unsigned status,
            const bbl_buf *body, uint64_t boot, uint64_t version,
            const char *reason)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        body->size, body->ptr ? body->ptr : "", MHD_RESPMEM_MUST_COPY);
    enum MHD_Result result;
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
    result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static const char *
argument(struct MHD_Connection *connection, const char *name)
{
    const char *value =
        MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);

    return value ? value : "";
}

static contact *
contact_of(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

    return info->socket_context;
}

static enum MHD_Result
begin_search(request *r)
{
    standin *s = r->owner;
    bbl_usec now = bbl_clock_now();
    bbl_usec wait = travel_us(r);

    snprintf(r->id, sizeof(r->id), "%s", argument(r->connection, "id"));
    r->shard = (unsigned)atoi(argument(r->connection, "shard"));
    r->version = strtoull(argument(r->connection, "index"), NULL, 10);
    r->once = argument(r->connection, "once")[0] == '1';
    r->deadline =
        now + strtoull(argument(r->connection, "deadline_us"), NULL, 10);
    if (!r->contact->used) {
        wait += r->searcher->open_us;
    }
    r->contact->used = true;
    MHD_suspend_connection(r->connection);
    if (!r->contact->silent) {
        pthread_mutex_lock(&s->lock);
        arm(r, now + wait);
        pthread_mutex_unlock(&s->lock);
    }
    return MHD_YES;
}

static enum MHD_Result
side_request(request *r, const char *url)
{
    standin *s = r->owner;
    bbl_buf out = BBL_BUF_INIT;
    enum MHD_Result result;
    unsigned status = 200;

    if (r->contact->silent) {
        MHD_suspend_connection(r->connection);
        return MHD_YES;
    }
    pthread_mutex_lock(&s->lock);
    if (r->searcher->gone) {
        status = 500;
    }
    else if (strcmp(url, "/info") == 0) {
        search_sim_append_info(r->searcher, &out);
    }
    else if (strcmp(url, "/cancel") == 0) {
        bool found = cancel_search(s, argument(r->connection, "id"));

        status = found ? 200 : 404;
    }
    else if (strcmp(url, "/health") == 0) {
        bbl_buf_append_cstr(&out,
                            "{\"healthy\":true,\"load\":0}"); /* it lies */
    }
    else {
        status = 404;
    }
    r->contact->used = true;
    pthread_mutex_unlock(&s->lock);
    result = queue_reply(r->connection, status, &out, 0, 0, NULL);
    bbl_buf_free(&out);
    return result;
}

static enum MHD_Result
on_searcher(void *ctx, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *data,
            size_t *size, void **state)
{
    request *r = *state;

    (void)method;
    (void)version;
    if (r == NULL) {
        r = bbl_calloc(1, sizeof(*r));
        r->owner = the_standin;
        r->searcher = ctx;
        r->connection = connection;
        r->contact = contact_of(connection);
        r->is_search = strcmp(url, "/search") == 0;
        *state = r;
        return MHD_YES;
    }
    if (*size > 0) {
        bbl_buf_append(&r->text, data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (!r->handled) {
        r->handled = true;
        return r->is_search ? begin_search(r) : side_request(r, url);
    }
    return queue_reply(connection, r->status, &r->reply, r->boot, r->version,
                       r->reason);
}

static void
on_completed(void *ctx, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    standin *s = the_standin;
    request *r = *state;
    bool last;

    (void)ctx;
    (void)connection;
    (void)code;
    if (r == NULL) {
        return;
    }
    pthread_mutex_lock(&s->lock);
    if (r->occupies) {
        /* The caller hung up: the searcher stops at once. */
        finish_run(r, bbl_clock_now(), 500, "hung-up");
    }
    r->completed = true;
    last = r->timers == 0;
    pthread_mutex_unlock(&s->lock);
    if (last) {
        free_request(r);
    }
}

static unsigned
client_zone(struct MHD_Connection *connection)
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
    standin *s = the_standin;
    search_sim_searcher *searcher = ctx;
    contact *c = *socket_context;

    pthread_mutex_lock(&s->lock);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        c = bbl_calloc(1, sizeof(*c));
        c->searcher = searcher;
        c->client_zone = client_zone(connection);
        *socket_context = c;
        searcher->open++;
        if (searcher->open > searcher->connections) {
            s->w.counts.over_connections++;
        }
        bbl_vec_push(&s->contacts, &c);
    }
    else {
        searcher->open--;
        for (size_t i = 0; i < s->contacts.size; i++) {
            if (*BBL_VEC_AT(contact *, &s->contacts, i) == c) {
                bbl_vec_swap_remove(&s->contacts, i);
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
    s->list_next = (s->list_next + 1) % LAG_SAMPLES;
    bbl_buf_clear(&s->lists[s->list_next]);
    search_sim_append_list(&s->w, &s->lists[s->list_next]);
    if (!s->stop) {
        timers_add(s->timers, bbl_clock_now() + PLATFORM_EVERY_US, sample_list,
                   s);
    }
    pthread_mutex_unlock(&s->lock);
}

/* Returns the list as it was `lag_samples` samples ago. */
static const bbl_buf *
lagging_list(const standin *s)
{
    unsigned i = (s->list_next + LAG_SAMPLES - s->lag_samples) % LAG_SAMPLES;

    return s->lists[i].size > 0 ? &s->lists[i] : &s->lists[s->list_next];
}

/* "silence SEARCHER": its open connections never answer again. */
static void
silence(standin *s, unsigned id)
{
    for (size_t i = 0; i < s->contacts.size; i++) {
        contact *c = *BBL_VEC_AT(contact *, &s->contacts, i);

        if (id == 0 || c->searcher->id == id) {
            c->silent = true;
        }
    }
}

static int
run_fault(standin *s, const char *command)
{
    unsigned id;

    if (sscanf(command, "silence %u", &id) == 1) {
        silence(s, id);
        return 0;
    }
    return search_sim_inject_fault(&s->w, bbl_clock_now(), command);
}

static enum MHD_Result
on_page(void *ctx, struct MHD_Connection *connection, const char *url,
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
        bbl_buf_append(&out, lagging_list(s)->ptr, lagging_list(s)->size);
    }
    else if (strcmp(url, "/stats") == 0) {
        search_sim_append_stats(&s->w, bbl_clock_now(), &out);
    }
    else if (strcmp(url, "/fault") != 0) {
        status = 404;
    }
    else if (run_fault(s, argument(connection, "do")) != 0) {
        status = 400;
        bbl_buf_append_cstr(&out, bbl_error_last());
    }
    pthread_mutex_unlock(&s->lock);
    result = queue_reply(connection, status, &out, 0, 0, NULL);
    bbl_buf_free(&out);
    return result;
}

static struct MHD_Daemon *
serve_page(standin *s, unsigned port)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

    return MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL,
                            on_page, s, MHD_OPTION_SOCK_ADDR, &sa,
                            MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
                            MHD_OPTION_END);
}

static struct MHD_Daemon *
serve_searcher(search_sim_searcher *searcher)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)searcher->port),
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};

    return MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        0, NULL, NULL, on_searcher, searcher, MHD_OPTION_SOCK_ADDR, &sa,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, searcher,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)8192,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)131072,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
}

/* ---- script ---- */

typedef struct {
    standin *owner;
    char command[96];
} scripted;

static void
run_scripted(void *ctx)
{
    scripted *c = ctx;

    pthread_mutex_lock(&c->owner->lock);
    if (run_fault(c->owner, c->command) != 0) {
        fprintf(stderr, "standin: %s\n", bbl_error_last());
    }
    pthread_mutex_unlock(&c->owner->lock);
    free(c);
}

/* Lines of "AT_MS COMMAND"; # starts a comment. */
static int
load_script(standin *s, const char *path)
{
    FILE *f = fopen(path, "re");
    char line[128];

    if (f == NULL) {
        return bbl_error_set(BBL_EINVAL, "cannot read %s", path);
    }
    while (fgets(line, sizeof(line), f) != NULL) {
        scripted *c = bbl_calloc(1, sizeof(*c));
        unsigned long long at_ms;

        c->owner = s;
        if (line[0] != '#' &&
            sscanf(line, "%llu %95[^\n]", &at_ms, c->command) == 2) {
            timers_add(s->timers, s->w.started + at_ms * BBL_USEC_PER_MS,
                       run_scripted, c);
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
} flags;

static int
parse(int argc, char **argv, flags *f)
{
    GOptionEntry entries[] = {
        {"profile", 0, 0, G_OPTION_ARG_STRING, &f->profile,
         "association, vatuwaqa or demo", "NAME"},
        {"base-port", 0, 0, G_OPTION_ARG_INT, &f->base_port,
         "searcher N listens on this plus N", "PORT"},
        {"platform-port", 0, 0, G_OPTION_ARG_INT, &f->platform_port,
         "port of the platform's list", "PORT"},
        {"control-port", 0, 0, G_OPTION_ARG_INT, &f->control_port,
         "port of /stats and /fault?do=COMMAND", "PORT"},
        {"service-us", 0, 0, G_OPTION_ARG_INT, &f->service_us,
         "mean service time", "US"},
        {"straggle-ppm", 0, 0, G_OPTION_ARG_INT, &f->straggle_ppm,
         "searches that straggle", "PPM"},
        {"straggle-ms", 0, 0, G_OPTION_ARG_INT, &f->straggle_ms,
         "what a straggler takes longer", "MS"},
        {"lag-ms", 0, 0, G_OPTION_ARG_INT, &f->lag_ms,
         "lag of the platform's list, at most 6000", "MS"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &f->seed, "seed", "N"},
        {"cold", 0, 0, G_OPTION_ARG_NONE, &f->cold, "searchers start cold",
         NULL},
        {"script", 0, 0, G_OPTION_ARG_STRING, &f->script,
         "file of faults with their times", "FILE"},
        {NULL},
    };
    GOptionContext *context = g_option_context_new("- searcher stand-in");
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
start(standin *s, const flags *f)
{
    search_sim_options o = {f->profile ? f->profile : "demo",
                            (unsigned)f->base_port,
                            (uint64_t)f->seed,
                            f->service_us,
                            f->straggle_ppm / 1e6,
                            (bbl_usec)f->straggle_ms * BBL_USEC_PER_MS,
                            !f->cold};
    int error = search_sim_init(&s->w, &o, bbl_clock_now());

    if (error != 0) {
        return error;
    }
    s->lag_samples = (unsigned)f->lag_ms / 100;
    if (s->lag_samples >= LAG_SAMPLES) {
        return bbl_error_set(BBL_EINVAL, "--lag-ms is at most 6000");
    }
    timers_start(&s->timers);
    sample_list(s);
    s->daemons = bbl_calloc(s->w.count, sizeof(*s->daemons));
    for (unsigned i = 0; i < s->w.count; i++) {
        s->daemons[i] = serve_searcher(&s->w.searchers[i]);
        if (s->daemons[i] == NULL) {
            return bbl_error_set(BBL_ENET, "cannot listen on port %u",
                                 s->w.searchers[i].port);
        }
    }
    s->platform = serve_page(s, (unsigned)f->platform_port);
    s->control = serve_page(s, (unsigned)f->control_port);
    if (s->platform == NULL || s->control == NULL) {
        return bbl_error_set(BBL_ENET, "cannot listen for the pages");
    }
    return f->script ? load_script(s, f->script) : 0;
}

int
main(int argc, char **argv)
{
    flags f = {.base_port = 20000,
               .platform_port = 19001,
               .control_port = 19002,
               .service_us = 5000,
               .straggle_ms = 200,
               .seed = 1};
    standin s;
    sigset_t set;
    int signal_number;

    memset(&s, 0, sizeof(s));
    the_standin = &s;
    pthread_mutex_init(&s.lock, NULL);
    s.contacts = (bbl_vec)BBL_VEC_INIT(contact *);
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    if (parse(argc, argv, &f) != 0) {
        return 2;
    }
    if (start(&s, &f) != 0) {
        fprintf(stderr, "standin: %s\n", bbl_error_last());
        return 1;
    }
    printf("ready\n");
    fflush(stdout);
    sigwait(&set, &signal_number);
    /* Suspended requests are abandoned with the process. */
    _exit(0);
}
