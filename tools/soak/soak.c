/*
 * soak.c - a randomized fault soak: five control hosts and three entry hosts
 * as real processes on loopback, with servers, callers and an operator in
 * this one. Faults come from outside: signals, lost disks, and proxies before
 * the servers and the platform's list. Prints one line with the outcome and
 * ends with 0 when every promise was kept.
 */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "bbl/errors.h"
#include "platform/dialect.h"
#include "soak/callers.h"
#include "soak/operator.h"
#include "soak/schedule.h"
#include "util/clock.h"

#define SERVICES 4
#define PER_SERVICE 2
#define WORK_US (20 * BBL_USEC_PER_MS)
#define CALL_GAP_US (6 * BBL_USEC_PER_MS)
#define RESTART_US (300 * BBL_USEC_PER_MS) /* and up to a fault's length */
#define START_US (20 * BBL_USEC_PER_SEC)
/* After the last fault everything is in order again within that time: the
 * platform's bound for a recovery. */
#define RECOVER_US (12 * BBL_USEC_PER_SEC)
#define CALM_US (3 * BBL_USEC_PER_SEC)
/* How long a host that was disturbed is not held to times. */
#define TOUCH_US (4 * BBL_USEC_PER_SEC)
#define SERVED_LEAST 0.99 /* in the calm at the end */

typedef struct {
    bbl_loop *loop;
    soak_servers *servers;
    bbl_backend_client *client;
    soak_callers *callers;
    soak_operator *op;
    soak_fleet fleet;
    bbl_vec heals; /* heal */
    unsigned faults;
    soak_request_counts total;
    gboolean verbose;
} soak;

/* The end of a fault at a proxy. */
typedef struct {
    bbl_usec at;
    soak_proxy *proxy;
} heal;

/* Set by a signal: the processes are ended before this one. */
static volatile sig_atomic_t interrupted;

static void
on_signal(int number)
{
    interrupted = number;
}

/* ---- faults ---- */

static void
disturb(soak *s, unsigned host, bbl_usec until)
{
    soak_host *h = &s->fleet.hosts[host];

    if (until + TOUCH_US > h->disturbed_until) {
        h->disturbed_until = until + TOUCH_US;
    }
}

static void
kill_host(soak *s, unsigned host, bbl_usec now, bbl_usec down)
{
    if (s->fleet.hosts[host].pid == 0) {
        return;
    }
    soak_fleet_kill(&s->fleet, host);
    s->fleet.hosts[host].restart_at = now + RESTART_US + down;
    disturb(s, host, now + RESTART_US + down);
}

static void
wipe_hosts(soak *s, const fault *f, bbl_usec now)
{
    unsigned first = (unsigned)(f->target % SOAK_CONTROL_HOSTS);
    unsigned count = 1 + (unsigned)(f->target >> 32) % SOAK_LOST_DISKS_MAX;

    for (unsigned i = 0; i < count; i++) {
        unsigned host = (first + i) % SOAK_CONTROL_HOSTS;

        kill_host(s, host, now, f->duration);
        soak_fleet_wipe(&s->fleet, host);
    }
}

static void
pause_host(soak *s, unsigned host, bbl_usec now, bbl_usec length)
{
    soak_host *h = &s->fleet.hosts[host];

    if (h->pid > 0 && !h->paused) {
        soak_fleet_pause(&s->fleet, host);
        h->resume_at = now + length;
        disturb(s, host, now + length);
    }
}

/* A host that drains is only one of the entry hosts at a time. */
static void
terminate_host(soak *s, unsigned entry)
{
    soak_host *h = &s->fleet.hosts[SOAK_CONTROL_HOSTS + entry];

    for (unsigned i = SOAK_CONTROL_HOSTS; i < SOAK_HOSTS; i++) {
        if (s->fleet.hosts[i].draining) {
            return;
        }
    }
    if (h->pid > 0 && !h->paused) {
        soak_fleet_terminate(&s->fleet, SOAK_CONTROL_HOSTS + entry);
    }
}

static void
disturb_proxy(soak *s, soak_proxy *proxy, proxy_mode mode, const fault *f,
              bbl_usec now)
{
    heal h = {now + f->duration, proxy};

    soak_proxy_set_mode(proxy, mode, f->duration / 10);
    bbl_vec_push(&s->heals, &h);
}

static void
apply_to_server(soak *s, const fault *f, bbl_usec now)
{
    unsigned i = (unsigned)(f->target % soak_servers_count(s->servers));
    soak_proxy *proxy = soak_servers_proxy(s->servers, i);

    switch (f->kind) {
    case FAULT_DELAY:
        disturb_proxy(s, proxy, PROXY_DELAY, f, now);
        break;
    case FAULT_RESET:
        soak_proxy_reset_connections(proxy);
        break;
    case FAULT_HOLD_IN:
        disturb_proxy(s, proxy, PROXY_HOLD_IN, f, now);
        break;
    case FAULT_HOLD_OUT:
        disturb_proxy(s, proxy, PROXY_HOLD_OUT, f, now);
        break;
    case FAULT_SILENCE:
        soak_proxy_silence_connections(proxy);
        break;
    case FAULT_SHED:
        soak_servers_shed(s->servers, i, now + f->duration);
        break;
    case FAULT_LOSE:
        soak_servers_drop_responses(s->servers, i, now + f->duration);
        break;
    default:
        soak_servers_replace(s->servers, i);
        break;
    }
}

static void
apply(soak *s, const fault *f, bbl_usec now)
{
    s->faults++;
    if (s->verbose) {
        printf("%8.3f %s %llu %llu ms\n", (double)f->start_offset / 1e6,
               fault_kind_name(f->kind),
               (unsigned long long)(f->target % 1000),
               (unsigned long long)(f->duration / BBL_USEC_PER_MS));
    }
    switch (f->kind) {
    case FAULT_KILL:
        kill_host(s, (unsigned)(f->target % SOAK_HOSTS), now, f->duration);
        break;
    case FAULT_PAUSE:
        pause_host(s, (unsigned)(f->target % SOAK_HOSTS), now, f->duration);
        break;
    case FAULT_TERMINATE:
        terminate_host(s, (unsigned)(f->target % SOAK_ENTRY_HOSTS));
        break;
    case FAULT_WIPE:
        wipe_hosts(s, f, now);
        break;
    case FAULT_KILL_CORE:
        for (unsigned i = 0; i < SOAK_CONTROL_HOSTS; i++) {
            kill_host(s, i, now, 0);
        }
        break;
    case FAULT_LIST:
        disturb_proxy(s, soak_servers_list_proxy(s->servers), PROXY_HOLD_OUT,
                      f, now);
        break;
    default:
        apply_to_server(s, f, now);
        break;
    }
}

/* ---- time ---- */

/* Starts and resumes the processes that are due. */
static int
tend_fleet(soak *s, bbl_usec now)
{
    int ended = soak_fleet_reap(&s->fleet);

    if (ended >= 0) {
        soak_servers_report_violation(s->servers, "%s ended by itself",
                                      s->fleet.hosts[ended].name);
    }
    for (unsigned i = 0; i < SOAK_HOSTS; i++) {
        soak_host *h = &s->fleet.hosts[i];

        if (h->pid == 0 && h->restart_at == 0) {
            h->restart_at = now + RESTART_US; /* after a drain */
            disturb(s, i, now + RESTART_US);
        }
        if (h->pid == 0 && now >= h->restart_at &&
            soak_fleet_start(&s->fleet, i, false) != 0) {
            return -1;
        }
        if (h->paused && now >= h->resume_at) {
            soak_fleet_resume(&s->fleet, i);
        }
    }
    return 0;
}

/* Lets everything go on until a time, or until something is wrong. */
static bool
run_until(soak *s, bbl_usec end, const bbl_vec *faults, bbl_usec start)
{
    size_t next = 0;
    bbl_usec now;

    while ((now = bbl_clock_now()) < end) {
        bbl_loop_run_once(s->loop, BBL_USEC_PER_MS);
        now = bbl_clock_now();
        while (faults != NULL && next < faults->size &&
               now >= start + BBL_VEC_AT(fault, faults, next)->start_offset) {
            apply(s, BBL_VEC_AT(fault, faults, next++), now);
        }
        for (size_t i = s->heals.size; i > 0; i--) {
            heal h = *BBL_VEC_AT(heal, &s->heals, i - 1);

            if (now >= h.at) {
                soak_proxy_set_mode(h.proxy, PROXY_PASS, 0);
                bbl_vec_swap_remove(&s->heals, i - 1);
            }
        }
        soak_servers_tick(s->servers, now);
        soak_callers_tick(s->callers, now);
        soak_operator_tick(s->op, now);
        bbl_backend_client_tick(s->client, now);
        if (interrupted != 0) {
            soak_servers_report_violation(s->servers, "ended by a signal");
        }
        if (tend_fleet(s, now) != 0 ||
            soak_servers_violation(s->servers) != NULL) {
            return false;
        }
    }
    return true;
}

static bool
is_started(const soak *s)
{
    return soak_operator_acked_version(s->op) > 0 &&
           soak_callers_hosts_ready(s->callers);
}

static bool
is_recovered(const soak *s)
{
    return soak_operator_is_converged(s->op) &&
           soak_callers_hosts_ready(s->callers);
}

/* Waits for a state; false when it does not come in time. */
static bool
await(soak *s, bool (*reached)(const soak *), bbl_usec limit)
{
    bbl_usec end = bbl_clock_now() + limit;

    while (!reached(s)) {
        bbl_usec now = bbl_clock_now();

        if (now >= end || !run_until(s, now + 20 * BBL_USEC_PER_MS, NULL, 0)) {
            return false;
        }
    }
    return true;
}

/* ---- phases ---- */

/* Returns what became of the requests since the last call. */
static soak_request_counts
take_tally(soak *s)
{
    soak_request_counts t = soak_callers_collect_counts(s->callers);

    s->total.sent += t.sent;
    s->total.served += t.served;
    s->total.refused += t.refused;
    s->total.failed += t.failed;
    return t;
}

static void
check_calm(soak *s)
{
    soak_request_counts t = take_tally(s);

    if (t.served < SERVED_LEAST * t.sent || t.sent == 0) {
        soak_servers_report_violation(
            s->servers, "%u of %u requests are served in the calm", t.served,
            t.sent);
    }
}

/* Every entry host must know the route that came with the newest version. */
static bool
probe_routes(soak *s)
{
    bbl_usec now = bbl_clock_now();

    soak_callers_stop(s->callers);
    for (unsigned i = 0; i < SOAK_ENTRY_HOSTS; i++) {
        soak_callers_probe(s->callers, now, i,
                           soak_operator_acked_version(s->op));
    }
    if (!run_until(s, now + CALM_US, NULL, 0)) {
        return false;
    }
    check_calm(s);
    return soak_servers_violation(s->servers) == NULL;
}

static bool
play(soak *s, uint64_t seed, bbl_usec length)
{
    bbl_vec faults = BBL_VEC_INIT(fault);
    bool good;

    soak_schedule_generate(&faults, seed, length);
    if (!await(s, is_started, START_US)) {
        soak_servers_report_violation(s->servers, "it does not start");
        bbl_vec_free(&faults);
        return false;
    }
    good = run_until(s, bbl_clock_now() + length, &faults, bbl_clock_now());
    bbl_vec_free(&faults);
    soak_operator_stop_updates(s->op);
    if (good && !await(s, is_recovered, RECOVER_US)) {
        soak_servers_report_violation(
            s->servers, "no recovery within %llu s",
            (unsigned long long)(RECOVER_US / BBL_USEC_PER_SEC));
        return false;
    }
    take_tally(s);
    good = good && run_until(s, bbl_clock_now() + CALM_US, NULL, 0);
    if (good) {
        check_calm(s);
    }
    return soak_servers_violation(s->servers) == NULL && good &&
           probe_routes(s);
}

/* ---- start and end ---- */

static void
on_opened(void *ctx, void *owner, bool ok, bbl_usec took)
{
    (void)ctx;
    (void)owner;
    (void)ok;
    (void)took;
}

static int
open_soak(soak *s, uint64_t seed)
{
    soak_servers_options servers = {SERVICES, PER_SERVICE, WORK_US};
    soak_callers_options callers = {SERVICES, CALL_GAP_US, seed + 1};
    soak_operator_options op = {SERVICES, seed + 2};
    bbl_backend_client_options client = {
        .dialect = bbl_platform_dialect(),
        .connect_timeout = 1000 * BBL_USEC_PER_MS,
        .tcp_user_timeout = 3000 * BBL_USEC_PER_MS,
        .response_max = 1u << 20,
        .on_connect = on_opened,
    };
    int error = bbl_loop_open(&s->loop);

    s->heals = (bbl_vec)BBL_VEC_INIT(heal);
    if (error == 0) {
        error = soak_servers_open(&s->servers, s->loop, &servers);
    }
    if (error == 0) {
        error = bbl_backend_client_open(&s->client, s->loop, &client);
    }
    if (error != 0) {
        return error;
    }
    soak_callers_open(&s->callers, s->client, s->servers, &s->fleet, &callers);
    soak_operator_open(&s->op, s->client, s->servers, &op);
    for (unsigned i = 0; error == 0 && i < SOAK_HOSTS; i++) {
        error = soak_fleet_start(&s->fleet, i, true);
    }
    return error;
}

static void
close_soak(soak *s)
{
    soak_fleet_kill_all(&s->fleet);
    soak_operator_free(s->op);
    soak_callers_free(s->callers);
    bbl_backend_client_free(s->client);
    soak_servers_free(s->servers);
    bbl_vec_free(&s->heals);
    bbl_loop_free(s->loop);
}

int
main(int argc, char **argv)
{
    soak s = {0};
    int seed = 1;
    int seconds = 20;
    char *program = NULL;
    char *folder = NULL;
    GOptionEntry entries[] = {
        {"seed", 's', 0, G_OPTION_ARG_INT, &seed, "of the schedule", "N"},
        {"seconds", 't', 0, G_OPTION_ARG_INT, &seconds, "of faults", "N"},
        {"program", 'p', 0, G_OPTION_ARG_FILENAME, &program,
         "the program under test", "FILE"},
        {"folder", 'd', 0, G_OPTION_ARG_FILENAME, &folder,
         "for logs and data; must exist", "FOLDER"},
        {"verbose", 'v', 0, G_OPTION_ARG_NONE, &s.verbose, "prints each fault",
         NULL},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    bool good;

    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL) ||
        program == NULL || folder == NULL) {
        fputs("usage: bbl-soak --program FILE --folder FOLDER [--seed N] "
              "[--seconds N] [--verbose]\n",
              stderr);
        return 2;
    }
    g_option_context_free(context);
    signal(SIGINT, on_signal);
    signal(SIGTERM, on_signal);
    s.fleet.program = program;
    s.fleet.folder = folder;
    if (open_soak(&s, (uint64_t)seed) != 0) {
        fprintf(stderr, "bbl-soak: %s\n", bbl_error_last());
        close_soak(&s);
        return 2;
    }
    good = play(&s, (uint64_t)seed, (bbl_usec)seconds * BBL_USEC_PER_SEC);
    take_tally(&s);
    printf("soak: seed %d, %d s, %u faults, %u requests (%u served, %u "
           "refused, %u failed), version %llu: %s\n",
           seed, seconds, s.faults, s.total.sent, s.total.served,
           s.total.refused, s.total.failed,
           (unsigned long long)soak_operator_acked_version(s.op),
           good ? "kept"
                : (soak_servers_violation(s.servers)
                       ? soak_servers_violation(s.servers)
                       : bbl_error_last()));
    close_soak(&s);
    return good ? 0 : 1;
}
