/*
 * platform_standin.c - the users' platform and its backend servers in one
 * process, on loopback: the list of servers, and servers that work for a
 * while, echo request ids, refuse what is meant for another incarnation, and
 * pause now and then. For the end-to-end test and for experiments.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "bbl/errors.h"
#include "net/address.h"
#include "net/edge.h"
#include "util/alloc.h"
#include "util/clock.h"
#include "util/rng.h"
#include "util/vec.h"

#define RECORDS 20 /* in the part of one server */
#define RECORD_BYTES 16

typedef struct {
    char service[64];
    char id[64];
    char zone[32];
    bblx_address address;
    bbl_edge *edge;
    bbl_usec paused_until;
    bbl_usec next_pause;
    uint64_t runs;
} server;

/* A request that a server works on. */
typedef struct {
    server *at;
    bbl_edge_call *call;
    bbl_usec due;
} work;

typedef struct {
    bbl_loop *loop;
    bbl_vec servers; /* server * */
    bbl_vec works;   /* work */
    bbl_edge *list;
    int work_ms;
    int pause_ms;
    int pause_every_ms;
    bbl_rng rng;
} standin;

static standin self;

/* ---- the list ---- */

static void
take_list(void *ctx, bbl_edge_call *call)
{
    bbl_buf body = BBL_BUF_INIT;
    bbl_edge_response r = {200, {"", 0}, {"", 0}, false};

    (void)ctx;
    bbl_buf_append_cstr(&body, "{\"instances\":[");
    for (size_t i = 0; i < self.servers.size; i++) {
        const server *s = *BBL_VEC_AT(server *, &self.servers, i);

        bbl_buf_printf(&body,
                       "%s{\"service\":\"%s\",\"id\":\"%s\",\"zone\":\"%s\","
                       "\"slots\":2,\"state\":\"ready\","
                       "\"warmup_left_ms\":0,\"version\":\"v1\","
                       "\"address\":\"",
                       i > 0 ? "," : "", s->service, s->id, s->zone);
        bbl_address_append(&body, s->address);
        bbl_buf_append_cstr(&body, "\"}");
    }
    bbl_buf_append_cstr(&body, "],\"next_page_token\":null}");
    r.body = bbl_buf_str(&body);
    bbl_edge_respond(call, &r);
    bbl_buf_free(&body);
}

static void
list_left(void *ctx, bbl_edge_call *call)
{
    (void)ctx;
    (void)call;
}

/* ---- servers ---- */

static bool
meant_for(const server *s, const bbl_edge_call *call)
{
    bbl_str id = bbl_http_message_field(call->message, "Expect-Instance");

    return id.ptr == NULL ||
           (id.size == strlen(s->id) && memcmp(id.ptr, s->id, id.size) == 0);
}

static void
take_work(void *ctx, bbl_edge_call *call)
{
    server *s = ctx;
    bbl_usec now = bbl_clock_now();
    bbl_usec from = s->paused_until > now ? s->paused_until : now;
    work w = {s, call, from + (bbl_usec)self.work_ms * BBL_USEC_PER_MS};

    if (!meant_for(s, call)) {
        bbl_edge_respond_text(call, 421, "", "");
        return;
    }
    bbl_vec_push(&self.works, &w);
}

static void
work_left(void *ctx, bbl_edge_call *call)
{
    (void)ctx;
    for (size_t i = 0; i < self.works.size; i++) {
        if (BBL_VEC_AT(work, &self.works, i)->call == call) {
            bbl_vec_swap_remove(&self.works, i);
            return;
        }
    }
}

static void
finish_work(const work *w)
{
    bbl_str id = bbl_http_message_field(w->call->message, "Request-Id");
    bbl_buf fields = BBL_BUF_INIT;
    char records[RECORDS * RECORD_BYTES];
    bbl_edge_response r = {200, {"", 0}, {records, sizeof(records)}, false};

    w->at->runs++;
    for (size_t i = 0; i < sizeof(records); i++) {
        records[i] = (char)('a' + bbl_rng_below(&self.rng, 26));
    }
    bbl_buf_printf(&fields, "Response-Stamp: %s.%llu\r\nRequest-Id: %.*s\r\n",
                   w->at->id, (unsigned long long)w->at->runs, (int)id.size,
                   id.ptr ? id.ptr : "");
    r.fields = bbl_buf_str(&fields);
    bbl_edge_respond(w->call, &r);
    bbl_buf_free(&fields);
}

static void
finish_due(bbl_usec now)
{
    for (size_t i = 0; i < self.works.size;) {
        work w = *BBL_VEC_AT(work, &self.works, i);

        if (w.due > now) {
            i++;
            continue;
        }
        bbl_vec_swap_remove(&self.works, i);
        finish_work(&w);
        i = 0;
    }
}

static void
tick_servers(bbl_usec now)
{
    for (size_t i = 0; i < self.servers.size; i++) {
        server *s = *BBL_VEC_AT(server *, &self.servers, i);

        bbl_edge_tick(s->edge, now);
        if (self.pause_ms > 0 && now >= s->next_pause) {
            s->paused_until = now + (bbl_usec)self.pause_ms * BBL_USEC_PER_MS;
            s->next_pause =
                now + (bbl_usec)self.pause_every_ms * BBL_USEC_PER_MS / 2 +
                bbl_rng_below(&self.rng,
                              (uint64_t)self.pause_every_ms * BBL_USEC_PER_MS);
        }
    }
    bbl_edge_tick(self.list, now);
}

/* ---- start ---- */

/* Adds the servers of "SERVICE=ADDRESS,ADDRESS"; zones z1, z2 by turns. */
static int
add_service(const char *text)
{
    char **halves = g_strsplit(text, "=", 2);
    char **addresses = halves[1] ? g_strsplit(halves[1], ",", -1) : NULL;
    int error =
        addresses ? 0 : bbl_error_set(BBL_EINVAL, "SERVICE=ADDRESS,..");

    for (int i = 0; error == 0 && addresses[i] != NULL; i++) {
        server *s = bbl_calloc(1, sizeof(*s));
        bbl_edge_handler handler = {take_work, work_left, s};

        snprintf(s->service, sizeof(s->service), "%s", halves[0]);
        snprintf(s->id, sizeof(s->id), "i-%s-%d", halves[0], i);
        snprintf(s->zone, sizeof(s->zone), "z%d", i % 2 + 1);
        error = bbl_address_parse(&s->address, addresses[i]);
        if (error == 0) {
            error = bbl_edge_open(&s->edge, self.loop, s->address, &handler);
        }
        bbl_vec_push(&self.servers, &s);
    }
    g_strfreev(addresses);
    g_strfreev(halves);
    return error;
}

int
main(int argc, char **argv)
{
    char *list = NULL;
    char **services = NULL;
    GOptionEntry entries[] = {
        {"list", 'l', 0, G_OPTION_ARG_STRING, &list, "address of the list",
         "ADDRESS"},
        {"work-ms", 'w', 0, G_OPTION_ARG_INT, &self.work_ms,
         "time of one request", "MS"},
        {"pause-ms", 'p', 0, G_OPTION_ARG_INT, &self.pause_ms,
         "length of a pause; 0: none", "MS"},
        {"pause-every-ms", 'e', 0, G_OPTION_ARG_INT, &self.pause_every_ms,
         "mean time between pauses of a server", "MS"},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &services, "",
         "SERVICE=ADDRESS,ADDRESS..."},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    bbl_edge_handler handler = {take_list, list_left, NULL};
    bblx_address address;
    int error = 0;

    self.work_ms = 5;
    self.pause_every_ms = 3600;
    self.rng.state = 1;
    self.servers = (bbl_vec)BBL_VEC_INIT(server *);
    self.works = (bbl_vec)BBL_VEC_INIT(work);
    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL) || list == NULL ||
        services == NULL || bbl_address_parse(&address, list) != 0) {
        fputs("usage: platform_standin --list ADDRESS SERVICE=ADDRESS,...\n",
              stderr);
        return 2;
    }
    g_option_context_free(context);
    error = bbl_loop_open(&self.loop);
    if (error == 0) {
        error = bbl_edge_open(&self.list, self.loop, address, &handler);
    }
    for (int i = 0; error == 0 && services[i] != NULL; i++) {
        error = add_service(services[i]);
    }
    if (error != 0) {
        fprintf(stderr, "platform_standin: %s\n", bbl_error_last());
        return 1;
    }
    for (;;) {
        bbl_loop_run_once(self.loop, BBL_USEC_PER_MS);
        finish_due(bbl_clock_now());
        tick_servers(bbl_clock_now());
    }
}
