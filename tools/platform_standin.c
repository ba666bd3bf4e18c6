/*
 * platform_standin.c - simulates a platform and its backend servers in one
 * process, on loopback, for the end-to-end test and for experiments. The
 * platform serves the list of servers. Each server answers a request after a
 * fixed time, echoes its id, refuses requests for another instance, and
 * pauses at random times. It may state a rate limit, and then counts the
 * requests over it; a request may end each server that runs it; and the first
 * server of each service may turn requests away and ask for a time without
 * any, or say that it is leaving. Servers of a second version of a service may
 * answer some requests with failures, or follow a behaviour that is stated for
 * their version. The servers of a version can be started and stopped while the
 * others run, by POST /-/start/VERSION and /-/stop/VERSION at the address of
 * the list.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "bbl/errors.h"
#include "net/address.h"
#include "net/edge.h"
#include "odd_entries.h"
#include "util/alloc.h"
#include "util/clock.h"
#include "util/rng.h"
#include "util/vec.h"
#include "version_behaviour.h"

#define RECORDS_PER_RESPONSE 20
#define RECORD_BYTES 16
/* Window over which a rate is judged, and what it allows. */
#define RATE_WINDOW_US (4 * BBL_USEC_PER_SEC)
#define RATE_FACTOR 1.5
#define RATE_SLACK 5
/* Time in which all hosts learn that a server states a limit. */
#define RATE_NOTICE_US (4 * BBL_USEC_PER_SEC)
#define RESTART_US (1 * BBL_USEC_PER_SEC)
/* A request of a slow version that was cancelled is recorded as slow from this
 * multiple of the service time on, as hosts judge it. */
#define SLOW_RECORD_FACTOR 2.5

typedef struct {
    char service[64];
    char version[32]; /* "v1" unless another one is given */
    char id[128];
    char zone[32];
    bblx_address address;
    bbl_edge *edge;
    bbl_usec paused_until; /* requests that arrive before it wait for it */
    bbl_usec next_pause;
    uint64_t response_count;
    bbl_vec arrivals;    /* bbl_usec, of the last RATE_WINDOW_US */
    bbl_usec restart_at; /* it has ended until then; 0 if it runs */
    unsigned starts;     /* part of the id after a restart */
    bool first;          /* of its service */
    unsigned unwanted;   /* requests turned away, or since it is leaving */
    bool stopped;        /* neither listed nor listening */
    version_behaviour *behaviour; /* of its version; NULL for none */
} standin_server;

/* A request that a server has not yet answered. */
typedef struct {
    standin_server *server;
    bbl_edge_call *call;
    bbl_usec due_at;
    bbl_usec started_at;
    version_effect effect;
} pending_request;

typedef struct {
    bbl_loop *loop;
    bbl_vec servers;          /* standin_server * */
    bbl_vec pending_requests; /* pending_request */
    bbl_edge *list_server;
    int work_ms;        /* service time of a request */
    int pause_ms;       /* 0: no pauses */
    int pause_every_ms; /* mean time between pauses of a server */
    double rate_limit;  /* that each server states; 0 for none */
    bbl_usec rate_limit_since;
    int failing;      /* per cent of the requests to other versions than v1 */
    int rest_s;       /* time that first servers ask for; 0: they serve */
    bool leaving;     /* whether first servers say that they are leaving */
    char *crash_path; /* requests of it end their server; NULL for none */
    uint64_t crashes;
    gboolean odd_entries; /* whether the list has odd entries as well */
    bbl_vec behaviours;   /* version_behaviour *, one a version */
    char **held;          /* versions that do not run at the start */
    FILE *record;         /* of each request and answer; NULL for none */
    bbl_rng rng;
} platform_standin;

static platform_standin self;

static void open_server(standin_server *s);

/* ---- record of requests ---- */

/*
 * Writes one line: time (ms since 1970), "run" or "end", version, server,
 * method, id of the request, outcome and latency (ms) of an end.
 */
static void
record_event(const pending_request *request, const char *event,
             const char *outcome, bbl_usec latency)
{
    bbl_str id = bbl_http_message_field(request->call->message, "Request-Id");

    if (self.record == NULL) {
        return;
    }
    fprintf(self.record, "%llu,%s,%s,%s,%.*s,%.*s,%s,%.3f\n",
            (unsigned long long)bbl_clock_wall_ms(), event,
            request->server->version, request->server->id,
            (int)request->call->method.size, request->call->method.ptr,
            (int)id.size, id.ptr != NULL ? id.ptr : "", outcome,
            (double)latency / BBL_USEC_PER_MS);
}

/* Records the end of a request, and counts it as no longer in progress. */
static void
end_request(const pending_request *request, bool answered)
{
    static const char *const outcomes[] = {"ok", "failed", "slow"};
    bbl_usec latency = bbl_clock_now() - request->started_at;
    bool slow = request->effect == VERSION_IS_SLOW &&
                (double)latency >= SLOW_RECORD_FACTOR * self.work_ms *
                                       (double)BBL_USEC_PER_MS;

    record_event(request, "end",
                 answered || slow ? outcomes[request->effect] : "cancelled",
                 latency);
    if (request->server->behaviour != NULL) {
        version_behaviour_end(request->server->behaviour);
    }
}

/* ---- the list of servers ---- */

/* Starts or stops the servers of a version. A server that stops closes its
 * connections at once, without draining. */
static void
set_version_stopped(const char *version, bool stopped)
{
    for (size_t i = 0; i < self.servers.size; i++) {
        standin_server *s = *BBL_VEC_AT(standin_server *, &self.servers, i);

        if (strcmp(s->version, version) != 0 || s->stopped == stopped) {
            continue;
        }
        s->stopped = stopped;
        if (!stopped) {
            open_server(s);
            continue;
        }
        bbl_edge_free(s->edge); /* cancels its requests */
        s->edge = NULL;
    }
}

/* Carries out an order to start or stop a version; returns false if the path
 * is none. */
static bool
handle_version_order(const bbl_edge_call *call)
{
    static const char *const prefixes[] = {"/-/start/", "/-/stop/"};
    char *path = g_strndup(call->path.ptr, call->path.size);
    bool handled = false;

    for (int i = 0; i < 2; i++) {
        if (g_str_has_prefix(path, prefixes[i])) {
            set_version_stopped(path + strlen(prefixes[i]), i == 1);
            handled = true;
        }
    }
    g_free(path);
    return handled;
}

static void
on_list_request(void *ctx, bbl_edge_call *call)
{
    bbl_buf body = BBL_BUF_INIT;
    bbl_edge_response r = {200, {"", 0}, {"", 0}, false};
    const char *odd_id = "";
    size_t listed = 0;

    (void)ctx;
    if (handle_version_order(call)) {
        bbl_edge_respond_text(call, 200, "", "");
        return;
    }
    bbl_buf_append_cstr(&body, "{\"instances\":[");
    for (size_t i = 0; i < self.servers.size; i++) {
        const standin_server *s =
            *BBL_VEC_AT(standin_server *, &self.servers, i);

        if (s->restart_at != 0 || s->stopped) {
            continue;
        }
        odd_id = s->id;
        bbl_buf_printf(&body,
                       "%s{\"service\":\"%s\",\"id\":\"%s\",\"zone\":\"%s\","
                       "\"slots\":2,\"state\":\"ready\","
                       "\"warmup_left_ms\":0,\"version\":\"%s\","
                       "\"address\":\"",
                       listed++ > 0 ? "," : "", s->service, s->id, s->zone,
                       s->version);
        bbl_address_append(&body, s->address);
        bbl_buf_append_cstr(&body, "\"}");
    }
    if (self.odd_entries && listed > 0) {
        odd_entries_append(&body, odd_id);
    }
    bbl_buf_append_cstr(&body, "],\"next_page_token\":null}");
    r.body = bbl_buf_str(&body);
    bbl_edge_respond(call, &r);
    bbl_buf_free(&body);
}

static void
on_list_request_cancelled(void *ctx, bbl_edge_call *call)
{
    (void)ctx;
    (void)call;
}

/* ---- servers ---- */

/* Counts a request, and reports if too many have come for the rate limit. */
static void
check_rate(standin_server *s, bbl_usec now)
{
    double allowed =
        RATE_FACTOR * self.rate_limit * RATE_WINDOW_US / BBL_USEC_PER_SEC +
        RATE_SLACK;

    if (self.rate_limit <= 0 || now < self.rate_limit_since + RATE_NOTICE_US) {
        return;
    }
    while (s->arrivals.size > 0 &&
           *BBL_VEC_AT(bbl_usec, &s->arrivals, 0) + RATE_WINDOW_US <= now) {
        bbl_vec_remove(&s->arrivals, 0);
    }
    bbl_vec_push(&s->arrivals, &now);
    if ((double)s->arrivals.size > allowed) {
        printf("%s is over its rate limit: %zu requests in 4 s\n", s->id,
               s->arrivals.size);
        fflush(stdout);
    }
}

/*
 * Ends a server as a crash does: its connections are closed, and it accepts no
 * other one until it starts again under another id.
 */
static void
crash_server(standin_server *s, bbl_usec now)
{
    printf("%s crashes: %llu\n", s->id, (unsigned long long)++self.crashes);
    fflush(stdout);
    s->restart_at = now + RESTART_US;
}

/* Counts a request to a server that wants none. */
static void
count_unwanted(standin_server *s, const char *why)
{
    printf("%s %s: %u\n", s->id, why, ++s->unwanted);
    fflush(stdout);
}

/* Turns a request away and asks for a time without requests. */
static void
turn_away(standin_server *s, bbl_edge_call *call)
{
    char fields[64];

    snprintf(fields, sizeof(fields), "Not-Executed: 1\r\nRetry-After: %d\r\n",
             self.rest_s);
    count_unwanted(s, "turns a request away");
    bbl_edge_respond_text(call, 503, fields, "");
}

static bool
is_addressed_to(const standin_server *s, const bbl_edge_call *call)
{
    bbl_str id = bbl_http_message_field(call->message, "Expect-Instance");

    return id.ptr == NULL ||
           (id.size == strlen(s->id) && memcmp(id.ptr, s->id, id.size) == 0);
}

static void
on_server_request(void *ctx, bbl_edge_call *call)
{
    standin_server *s = ctx;
    bbl_usec now = bbl_clock_now();
    bbl_usec from = s->paused_until > now ? s->paused_until : now;
    pending_request request = {s, call,
                               from + (bbl_usec)self.work_ms * BBL_USEC_PER_MS,
                               now, VERSION_ANSWERS};

    check_rate(s, now);
    if (!is_addressed_to(s, call)) {
        bbl_edge_respond_text(call, 421, "", "");
        return;
    }
    if (s->first && self.rest_s > 0) {
        turn_away(s, call);
        return;
    }
    if (s->first && self.leaving) {
        count_unwanted(s, "gets a request although it is leaving");
    }
    if (self.crash_path != NULL &&
        strlen(self.crash_path) == call->path.size &&
        memcmp(self.crash_path, call->path.ptr, call->path.size) == 0 &&
        s->restart_at == 0) {
        crash_server(s, now);
    }
    if (s->behaviour != NULL) {
        request.effect =
            version_behaviour_start(s->behaviour, &self.rng, now, call->path);
    }
    if (request.effect == VERSION_IS_SLOW) {
        request.due_at += (bbl_usec)((s->behaviour->slow_factor - 1) *
                                     self.work_ms * (double)BBL_USEC_PER_MS);
    }
    record_event(&request, "run", "", 0);
    bbl_vec_push(&self.pending_requests, &request);
}

static void
on_server_request_cancelled(void *ctx, bbl_edge_call *call)
{
    (void)ctx;
    for (size_t i = 0; i < self.pending_requests.size; i++) {
        const pending_request *request =
            BBL_VEC_AT(pending_request, &self.pending_requests, i);

        if (request->call == call) {
            end_request(request, false);
            bbl_vec_swap_remove(&self.pending_requests, i);
            return;
        }
    }
}

static void
answer_request(const pending_request *request)
{
    bbl_str id = bbl_http_message_field(request->call->message, "Request-Id");
    bbl_buf fields = BBL_BUF_INIT;
    char records[RECORDS_PER_RESPONSE * RECORD_BYTES];
    bbl_edge_response r = {200, {"", 0}, {records, sizeof(records)}, false};

    request->server->response_count++;
    end_request(request, true);
    if (request->effect == VERSION_FAILS) {
        bbl_edge_respond_text(request->call, 500, "", "");
        return;
    }
    if (strcmp(request->server->version, "v1") != 0 &&
        (int)bbl_rng_below(&self.rng, 100) < self.failing) {
        printf("%s fails\n", request->server->id);
        fflush(stdout);
        bbl_edge_respond_text(request->call, 500, "", "");
        return;
    }
    for (size_t i = 0; i < sizeof(records); i++) {
        records[i] = (char)('a' + bbl_rng_below(&self.rng, 26));
    }
    bbl_buf_printf(&fields, "Response-Stamp: %s.%llu\r\nRequest-Id: %.*s\r\n",
                   request->server->id,
                   (unsigned long long)request->server->response_count,
                   (int)id.size, id.ptr ? id.ptr : "");
    if (self.rate_limit > 0) {
        bbl_buf_printf(&fields, "Server-Limit: %g\r\n", self.rate_limit);
    }
    if (self.leaving && request->server->first) {
        bbl_buf_append_cstr(&fields, "Server-Leaving: 1\r\n");
    }
    r.fields = bbl_buf_str(&fields);
    bbl_edge_respond(request->call, &r);
    bbl_buf_free(&fields);
}

static void
answer_due_requests(bbl_usec now)
{
    for (size_t i = 0; i < self.pending_requests.size;) {
        pending_request request =
            *BBL_VEC_AT(pending_request, &self.pending_requests, i);

        if (request.due_at > now) {
            i++;
            continue;
        }
        bbl_vec_swap_remove(&self.pending_requests, i);
        answer_request(&request);
        i = 0;
    }
}

static void
open_server(standin_server *s)
{
    bbl_edge_handler handler = {on_server_request, on_server_request_cancelled,
                                s};

    if (bbl_edge_open(&s->edge, self.loop, s->address, &handler) != 0) {
        fprintf(stderr, "platform_standin: %s\n", bbl_error_last());
        exit(1);
    }
}

/* Closes the servers that have crashed, and starts them again later. */
static void
tick_crashes(bbl_usec now)
{
    for (size_t i = 0; i < self.servers.size; i++) {
        standin_server *s = *BBL_VEC_AT(standin_server *, &self.servers, i);

        if (s->restart_at == 0 || s->stopped) {
            continue;
        }
        if (s->edge != NULL) {
            bbl_edge_free(s->edge); /* cancels its requests */
            s->edge = NULL;
        }
        else if (now >= s->restart_at) {
            s->restart_at = 0;
            snprintf(s->id, sizeof(s->id), "i-%s-%zu-%u", s->service, i,
                     ++s->starts);
            open_server(s);
        }
    }
}

static void
tick_servers(bbl_usec now)
{
    for (size_t i = 0; i < self.servers.size; i++) {
        standin_server *s = *BBL_VEC_AT(standin_server *, &self.servers, i);

        if (s->edge != NULL) {
            bbl_edge_tick(s->edge, now);
        }
        if (self.pause_ms > 0 && now >= s->next_pause) {
            s->paused_until = now + (bbl_usec)self.pause_ms * BBL_USEC_PER_MS;
            s->next_pause =
                now + (bbl_usec)self.pause_every_ms * BBL_USEC_PER_MS / 2 +
                bbl_rng_below(&self.rng,
                              (uint64_t)self.pause_every_ms * BBL_USEC_PER_MS);
        }
    }
    bbl_edge_tick(self.list_server, now);
}

/* ---- start ---- */

static version_behaviour *
find_behaviour(const char *version)
{
    for (size_t i = 0; i < self.behaviours.size; i++) {
        version_behaviour *b =
            *BBL_VEC_AT(version_behaviour *, &self.behaviours, i);

        if (strcmp(b->version, version) == 0) {
            return b;
        }
    }
    return NULL;
}

static int
add_behaviour(const char *text)
{
    version_behaviour *b = bbl_calloc(1, sizeof(*b));
    int error = version_behaviour_parse(b, text);

    if (error == 0 && find_behaviour(b->version) != NULL) {
        error = bbl_error_set(BBL_EINVAL, "%s has two behaviours", b->version);
    }
    if (error != 0) {
        free(b);
        return error;
    }
    bbl_vec_push(&self.behaviours, &b);
    return 0;
}

/*
 * Starts the servers of "SERVICE=ADDRESS,ADDRESS..." or of a version by
 * "SERVICE@VERSION=...", alternately in zones z1 and z2.
 */
static int
add_service(const char *text)
{
    char **halves = g_strsplit(text, "=", 2);
    char **addresses = halves[1] ? g_strsplit(halves[1], ",", -1) : NULL;
    char **names = g_strsplit(halves[0], "@", 2);
    int error =
        addresses ? 0 : bbl_error_set(BBL_EINVAL, "SERVICE=ADDRESS,..");

    for (int i = 0; error == 0 && addresses[i] != NULL; i++) {
        standin_server *s = bbl_calloc(1, sizeof(*s));

        s->arrivals = (bbl_vec)BBL_VEC_INIT(bbl_usec);
        snprintf(s->service, sizeof(s->service), "%s", names[0]);
        snprintf(s->version, sizeof(s->version), "%s",
                 names[1] != NULL ? names[1] : "v1");
        snprintf(s->id, sizeof(s->id), "i-%s-%d", halves[0], i);
        snprintf(s->zone, sizeof(s->zone), "z%d", i % 2 + 1);
        s->first = i == 0;
        error = bbl_address_parse(&s->address, addresses[i]);
        s->behaviour = find_behaviour(s->version);
        s->stopped =
            self.held != NULL &&
            g_strv_contains((const char *const *)self.held, s->version);
        if (error == 0 && !s->stopped) {
            open_server(s);
        }
        bbl_vec_push(&self.servers, &s);
    }
    g_strfreev(names);
    g_strfreev(addresses);
    g_strfreev(halves);
    return error;
}

int
main(int argc, char **argv)
{
    char *list = NULL;
    char **services = NULL;
    char **behaviours = NULL;
    char *record = NULL;
    gboolean leaving = FALSE;
    GOptionEntry entries[] = {
        {"list", 'l', 0, G_OPTION_ARG_STRING, &list,
         "address that serves the list", "ADDRESS"},
        {"work-ms", 'w', 0, G_OPTION_ARG_INT, &self.work_ms,
         "service time of a request", "MS"},
        {"pause-ms", 'p', 0, G_OPTION_ARG_INT, &self.pause_ms,
         "duration of a pause, 0 for no pauses", "MS"},
        {"pause-every-ms", 'e', 0, G_OPTION_ARG_INT, &self.pause_every_ms,
         "mean time between pauses of a server", "MS"},
        {"rate-limit", 'r', 0, G_OPTION_ARG_DOUBLE, &self.rate_limit,
         "requests per second that each server accepts, as it states; 0 for "
         "no limit",
         "RATE"},
        {"crash-path", 'c', 0, G_OPTION_ARG_STRING, &self.crash_path,
         "path of the requests that end each server that runs them", "PATH"},
        {"rest-s", 't', 0, G_OPTION_ARG_INT, &self.rest_s,
         "the first server of each service turns requests away and asks for "
         "this time without any",
         "S"},
        {"failing", 'f', 0, G_OPTION_ARG_INT, &self.failing,
         "requests to other versions than v1 that fail", "PER CENT"},
        {"leaving", 'v', 0, G_OPTION_ARG_NONE, &leaving,
         "the first server of each service says that it is leaving", NULL},
        {"odd-entries", 'o', 0, G_OPTION_ARG_NONE, &self.odd_entries,
         "the list also has entries that name no server to use", NULL},
        {"behaviour", 'b', 0, G_OPTION_ARG_STRING_ARRAY, &behaviours,
         "how the servers of a version answer: good, bad-at-once, bad-late, "
         "bad-route or bad-load, with share=PER CENT, slow=FACTOR, after-s=S, "
         "path=PREFIX, requests=N; may be repeated",
         "VERSION=KIND[,NAME=VALUE...]"},
        {"held", 'd', 0, G_OPTION_ARG_STRING_ARRAY, &self.held,
         "servers of this version run only after POST /-/start/VERSION; may "
         "be repeated",
         "VERSION"},
        {"record", 'R', 0, G_OPTION_ARG_FILENAME, &record,
         "file for each request and answer", "FILE"},
        {"seed", 's', 0, G_OPTION_ARG_INT64, &self.rng.state,
         "seed of the random choices", "N"},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &services, "",
         "SERVICE=ADDRESS,ADDRESS..."},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    bbl_edge_handler handler = {on_list_request, on_list_request_cancelled,
                                NULL};
    bblx_address address;
    int error = 0;

    self.work_ms = 5;
    self.pause_every_ms = 3600;
    self.rng.state = 1;
    self.servers = (bbl_vec)BBL_VEC_INIT(standin_server *);
    self.pending_requests = (bbl_vec)BBL_VEC_INIT(pending_request);
    self.behaviours = (bbl_vec)BBL_VEC_INIT(version_behaviour *);
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL) || list == NULL ||
        services == NULL || bbl_address_parse(&address, list) != 0) {
        fputs("usage: platform_standin --list ADDRESS SERVICE=ADDRESS,...\n",
              stderr);
        return 2;
    }
    g_option_context_free(context);
    self.leaving = leaving;
    error = bbl_loop_open(&self.loop);
    if (error == 0) {
        error = bbl_edge_open(&self.list_server, self.loop, address, &handler);
    }
    if (error == 0 && record != NULL) {
        self.record = fopen(record, "w");
        if (self.record == NULL) {
            error = bbl_error_set(BBL_EIO, "%s cannot be written", record);
        }
        else {
            setvbuf(self.record, NULL, _IOLBF, 0);
        }
    }
    for (int i = 0; error == 0 && behaviours != NULL && behaviours[i] != NULL;
         i++) {
        error = add_behaviour(behaviours[i]);
    }
    for (int i = 0; error == 0 && services[i] != NULL; i++) {
        error = add_service(services[i]);
    }
    if (error != 0) {
        fprintf(stderr, "platform_standin: %s\n", bbl_error_last());
        return 1;
    }
    self.rate_limit_since = bbl_clock_now();
    for (;;) {
        bbl_loop_run_once(self.loop, BBL_USEC_PER_MS);
        tick_crashes(bbl_clock_now());
        answer_due_requests(bbl_clock_now());
        tick_servers(bbl_clock_now());
    }
}
