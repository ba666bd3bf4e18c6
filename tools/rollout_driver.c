/*
 * rollout_driver.c - the callers and the operator of a rollout experiment.
 * Sends requests at a constant rate to entry hosts until SIGTERM, and records
 * how each one ended; orders a rollout and records its state. Every fourth
 * request is not idempotent (POST /once/); the others go to the idempotent
 * routes /one/ and /two/ in turn. A host that reports that it is not ready
 * gets no request, as with a load balancer.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "bbl/errors.h"
#include "net/address.h"
#include "net/backend_link.h"
#include "platform/dialect.h"
#include "rollout_operator.h"
#include "util/alloc.h"
#include "util/buf.h"
#include "util/clock.h"
#include "util/vec.h"

#define DEADLINE_MS 1000
/* Beyond the deadline, an answer is no longer waited for. */
#define ANSWER_GRACE_US (500 * BBL_USEC_PER_MS)
#define READY_POLL_US (200 * BBL_USEC_PER_MS)
#define CONNECTIONS_MAX 200
/* Entry hosts close connections that are idle for 15 s. */
#define MAX_IDLE_US (10 * BBL_USEC_PER_SEC)
#define TICK_US (10 * BBL_USEC_PER_MS)

typedef struct {
    bbl_backend_link *link;
    bbl_backend_link *ready_link;
    bool ready;
    bool poll_open; /* whether a question for readiness is unanswered */
} entry_host;

typedef struct {
    bbl_link_exchange *exchange;
    unsigned entry;
    char id[32];
    const char *method;
    bbl_usec sent_at;
    uint64_t sent_at_wall_ms;
} open_request;

static struct {
    bbl_loop *loop;
    bbl_backend_client *client;
    rollout_operator *op;
    entry_host *entries;
    unsigned entry_count;
    unsigned next_entry;
    bbl_vec open_requests; /* open_request * */
    FILE *record;
    unsigned long long number; /* of the next request */
} self;

static volatile sig_atomic_t stopping;

static void
on_signal(int number)
{
    (void)number;
    stopping = 1;
}

static void
ignore_connect(void *ctx, void *link_ctx, bool ok, bbl_usec duration)
{
    (void)ctx;
    (void)link_ctx;
    (void)ok;
    (void)duration;
}

/*
 * Writes one line: time at which the request was sent (ms since 1970), number
 * of the entry host, method, id, status (0 without a response) and latency
 * (ms).
 */
static void
record_end(const open_request *request, unsigned status, bbl_usec latency)
{
    fprintf(self.record, "%llu,%u,%s,%s,%u,%.3f\n",
            (unsigned long long)request->sent_at_wall_ms, request->entry + 1,
            request->method, request->id, status,
            (double)latency / BBL_USEC_PER_MS);
}

static void
on_request_end(void *ctx, const bbl_link_exchange_result *r)
{
    open_request *request = ctx;

    record_end(request,
               r->exchange_outcome == BBL_LINK_RESPONSE
                   ? bbl_http_message_status(r->message)
                   : 0,
               bbl_clock_now() - request->sent_at);
    bbl_vec_swap_remove(&self.open_requests,
                        bbl_vec_find_pointer(&self.open_requests, request));
    free(request);
}

/* Chooses the ready host after that of the last request, or just the next one
 * if none is ready. */
static unsigned
choose_entry(void)
{
    for (unsigned i = 0; i < self.entry_count; i++) {
        unsigned entry = (self.next_entry + i) % self.entry_count;

        if (self.entries[entry].ready) {
            self.next_entry = entry + 1;
            return entry;
        }
    }
    return self.next_entry++ % self.entry_count;
}

static void
send_request(bbl_usec now)
{
    open_request *request = bbl_calloc(1, sizeof(*request));
    bool once = self.number % 4 == 3;
    bbl_link_exchange_request r;
    bbl_buf head = BBL_BUF_INIT;

    request->entry = choose_entry();
    request->method = once ? "POST" : "GET";
    request->sent_at = now;
    request->sent_at_wall_ms = bbl_clock_wall_ms();
    snprintf(request->id, sizeof(request->id), "q%llu", self.number);
    bbl_buf_printf(&head,
                   "%s /%s/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n"
                   "Deadline-Ms: %d\r\n%s",
                   request->method,
                   once                   ? "once"
                   : self.number % 2 == 0 ? "one"
                                          : "two",
                   request->id, DEADLINE_MS,
                   once ? "Content-Length: 4\r\n" : "");
    self.number++;
    memset(&r, 0, sizeof(r));
    r.head = bbl_buf_str(&head);
    r.body = once ? (bbl_str){"body", 4} : (bbl_str){"", 0};
    r.request_id = (bbl_str){request->id, strlen(request->id)};
    r.max_idle = MAX_IDLE_US;
    r.done = on_request_end;
    r.ctx = request;
    if (bbl_link_exchange_start(&request->exchange,
                                self.entries[request->entry].link, now,
                                &r) == 0) {
        bbl_vec_push(&self.open_requests, &request);
    }
    else {
        record_end(request, 0, 0);
        free(request);
    }
    bbl_buf_free(&head);
}

static void
on_ready_answer(void *ctx, const bbl_link_exchange_result *r)
{
    entry_host *e = ctx;

    e->poll_open = false;
    e->ready = r->exchange_outcome == BBL_LINK_RESPONSE &&
               bbl_http_message_status(r->message) == 200;
}

static void
poll_readiness(bbl_usec now)
{
    static const char head[] = "GET /-/readyz HTTP/1.1\r\nHost: a\r\n";

    for (unsigned i = 0; i < self.entry_count; i++) {
        entry_host *e = &self.entries[i];
        bbl_link_exchange *exchange;
        bbl_link_exchange_request r;

        if (e->poll_open) {
            e->ready = false; /* no answer since the last poll */
            continue;
        }
        memset(&r, 0, sizeof(r));
        r.head = (bbl_str){head, sizeof(head) - 1};
        r.done = on_ready_answer;
        r.ctx = e;
        e->poll_open =
            bbl_link_exchange_start(&exchange, e->ready_link, now, &r) == 0;
        e->ready = e->ready && e->poll_open;
    }
}

static void
abandon_overdue_requests(bbl_usec now)
{
    for (size_t i = self.open_requests.size; i > 0; i--) {
        open_request *request =
            *BBL_VEC_AT(open_request *, &self.open_requests, i - 1);

        if (now < request->sent_at + DEADLINE_MS * BBL_USEC_PER_MS +
                      ANSWER_GRACE_US) {
            continue;
        }
        record_end(request, 0, now - request->sent_at);
        bbl_link_exchange_abandon(request->exchange);
        bbl_vec_swap_remove(&self.open_requests, i - 1);
        free(request);
    }
}

static int
open_link(bbl_backend_link **out, const char *text)
{
    bblx_address address;
    int error = bbl_address_parse(&address, text);

    if (error == 0) {
        *out = bbl_backend_link_new(self.client, address, NULL);
        bbl_backend_link_set_limit(*out, CONNECTIONS_MAX, false);
    }
    return error;
}

/* Opens the links of "CALLER-ADDRESS/READY-ADDRESS". */
static int
open_entry(entry_host *e, const char *text)
{
    char **halves = g_strsplit(text, "/", 2);
    int error = halves[0] != NULL && halves[1] != NULL
                    ? 0
                    : bbl_error_set(BBL_EINVAL, "ADDRESS/ADDRESS expected");

    if (error == 0) {
        error = open_link(&e->link, halves[0]);
    }
    if (error == 0) {
        error = open_link(&e->ready_link, halves[1]);
    }
    g_strfreev(halves);
    return error;
}

/* Sends requests until SIGTERM, and then waits for the open ones. Prints the
 * longest time for which this process did not run: on a machine that stops
 * processes, late ends need not be faults of the hosts. */
static void
run(double rate)
{
    bbl_usec interval = (bbl_usec)((double)BBL_USEC_PER_SEC / rate);
    bbl_usec next_request_at = bbl_clock_now();
    bbl_usec next_poll_at = 0;
    bbl_usec next_tick_at = 0;
    bbl_usec last_run_at = bbl_clock_now();
    bbl_usec longest = 0;

    while (!stopping || self.open_requests.size > 0) {
        bbl_usec now;

        bbl_loop_run_once(self.loop, BBL_USEC_PER_MS);
        now = bbl_clock_now();
        longest = now - last_run_at > longest ? now - last_run_at : longest;
        last_run_at = now;
        if (now >= next_poll_at) {
            next_poll_at = now + READY_POLL_US;
            poll_readiness(now);
        }
        if (now >= next_tick_at) {
            next_tick_at = now + TICK_US;
            bbl_backend_client_tick(self.client, now);
            rollout_operator_tick(self.op, now);
            abandon_overdue_requests(now);
        }
        for (; !stopping && now >= next_request_at;
             next_request_at += interval) {
            send_request(now);
        }
    }
    printf("the driver did not run for up to %.0f ms\n",
           (double)longest / BBL_USEC_PER_MS);
}

static int
open_file(FILE **record, const char *path)
{
    *record = fopen(path, "w");
    if (*record == NULL) {
        return bbl_error_set(BBL_EIO, "%s cannot be written", path);
    }
    setvbuf(*record, NULL, _IOLBF, 0);
    return 0;
}

/* Opens the entry hosts and, of "ADDRESS,...", the control hosts. */
static int
open_hosts(char **entries, const char *control)
{
    char **addresses = g_strsplit(control, ",", -1);
    bblx_address address;
    int error = 0;

    for (int i = 0; error == 0 && addresses[i] != NULL; i++) {
        error = bbl_address_parse(&address, addresses[i]);
        if (error == 0) {
            rollout_operator_add_host(self.op, address);
        }
    }
    g_strfreev(addresses);
    self.entry_count = g_strv_length(entries);
    self.entries = bbl_calloc(self.entry_count, sizeof(*self.entries));
    for (unsigned i = 0; error == 0 && i < self.entry_count; i++) {
        error = open_entry(&self.entries[i], entries[i]);
    }
    return error;
}

int
main(int argc, char **argv)
{
    bbl_backend_client_options client = {
        .dialect = bbl_platform_dialect(),
        .connect_timeout = 500 * BBL_USEC_PER_MS,
        .tcp_user_timeout = 3000 * BBL_USEC_PER_MS,
        .response_max = 1u << 20,
        .buffered_max = 64u << 20,
        .on_connect = ignore_connect,
    };
    rollout_operator_options op = {.service = "s1", .version = "v2"};
    double rate = 0;
    double order_after_s = 0;
    int duration_s = 0;
    char *record = NULL;
    char *states = NULL;
    char *control = NULL;
    char **entries = NULL;
    GOptionEntry options[] = {
        {"rate", 'r', 0, G_OPTION_ARG_DOUBLE, &rate, "requests per second",
         "N"},
        {"record", 'R', 0, G_OPTION_ARG_FILENAME, &record,
         "file for each request", "FILE"},
        {"states", 's', 0, G_OPTION_ARG_FILENAME, &states,
         "file for the order and the states read", "FILE"},
        {"control", 'c', 0, G_OPTION_ARG_STRING, &control,
         "control hosts, which take the order", "ADDRESS,..."},
        {"order-after-s", 'o', 0, G_OPTION_ARG_DOUBLE, &order_after_s,
         "time before the order", "S"},
        {"duration-s", 'd', 0, G_OPTION_ARG_INT, &duration_s,
         "duration of the rollout", "S"},
        {G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &entries, "",
         "CALLER-ADDRESS/READY-ADDRESS..."},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    int error;

    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL) ||
        !(rate >= 1 && rate <= 100000) || record == NULL || states == NULL ||
        control == NULL || entries == NULL || duration_s <= 0 ||
        order_after_s < 0) {
        fputs("rollout_driver: invalid options, see --help\n", stderr);
        return 2;
    }
    g_option_context_free(context);
    signal(SIGTERM, on_signal);
    self.open_requests = (bbl_vec)BBL_VEC_INIT(open_request *);
    op.duration_s = (unsigned)duration_s;
    op.order_at =
        bbl_clock_now() + (bbl_usec)(order_after_s * BBL_USEC_PER_SEC);
    error = open_file(&self.record, record);
    if (error == 0) {
        error = open_file(&op.record, states);
    }
    if (error == 0) {
        error = bbl_loop_open(&self.loop);
    }
    if (error == 0) {
        error = bbl_backend_client_open(&self.client, self.loop, &client);
    }
    if (error == 0) {
        rollout_operator_open(&self.op, self.client, &op);
        error = open_hosts(entries, control);
    }
    if (error != 0) {
        fprintf(stderr, "rollout_driver: %s\n", bbl_error_last());
        return 1;
    }
    run(rate);
    rollout_operator_free(self.op);
    error = fclose(self.record) | fclose(op.record);
    bbl_backend_client_free(self.client);
    bbl_loop_free(self.loop);
    bbl_vec_free(&self.open_requests);
    free(self.entries);
    return error == 0 ? 0 : 1;
}
