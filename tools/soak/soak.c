/*
 * soak.c - a randomized fault soak test. Five control hosts and three entry
 * hosts run as processes on loopback addresses. Backend servers, callers and
 * an operator run in this process. Faults are injected from outside: by
 * signals, by removed data folders, and by proxies in front of the servers and
 * the platform's list. With a spare, a sixth control host, control hosts are
 * replaced as planned instead, and others lose their disks right after it.
 *
 * Prints one line with the outcome. Exits with 0 if no guarantee was violated,
 * 1 otherwise, and 2 if the arguments are wrong or the setup failed.
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
#include "soak/network.h"
#include "soak/operator.h"
#include "soak/rollouts.h"
#include "soak/schedule.h"
#include "util/clock.h"

#define SERVICE_COUNT 4
#define SERVERS_PER_SERVICE 2
#define SERVICE_TIME_US (20 * BBL_USEC_PER_MS)
#define REQUEST_INTERVAL_US (6 * BBL_USEC_PER_MS)
/* From the end of a process to its restart, in addition to the duration of a
 * fault. */
#define RESTART_DELAY_US (300 * BBL_USEC_PER_MS)
#define START_TIMEOUT_US (20 * BBL_USEC_PER_SEC)
/* The platform's bound for a recovery: after the last fault, all entry hosts
 * must be ready and all control hosts must return the newest routing within
 * this time. */
#define RECOVERY_TIMEOUT_US (12 * BBL_USEC_PER_SEC)
/* Time without faults in which the ratio of served requests is checked. */
#define FAULT_FREE_US (3 * BBL_USEC_PER_SEC)
/* Time after a disturbance in which time bounds of a host are not checked. */
#define DISTURBANCE_GRACE_US (4 * BBL_USEC_PER_SEC)
/* From this duration on, rollouts take half a minute instead of seconds. */
#define LONG_RUN_US (60 * BBL_USEC_PER_SEC)
/* A pause of this process, which plays all servers, is a fault of all of them.
 * A time without faults is begun again if there was one, so many times. */
#define OWN_PAUSE_US (100 * BBL_USEC_PER_MS)
#define FAULT_FREE_TRIES 3
/* Load of a spike, as a multiple of the usual one. */
#define SPIKE_FACTOR_MIN 3
#define SPIKE_FACTORS 4
#define SPIKE_US (1500 * BBL_USEC_PER_MS) /* after all other faults */
/* After a spike, the usual load is served again within this time, as measured
 * in intervals of the other length. */
#define SPIKE_RECOVERY_US (5 * BBL_USEC_PER_SEC)
#define SPIKE_INTERVAL_US (500 * BBL_USEC_PER_MS)
/* Time after a cut of a server until requests that it held have ended. */
#define CUT_GRACE_US (2 * BBL_USEC_PER_SEC)
/* From the end of a replaced control host to the loss of other disks. */
#define WIPE_DELAY_MAX_US (500 * BBL_USEC_PER_MS)
#define SERVED_RATIO_MIN 0.99 /* of the requests in a time without faults */

typedef struct {
    bbl_loop *loop;
    soak_servers *servers;
    bbl_backend_client *client;
    soak_callers *callers;
    soak_operator *routing_operator;
    soak_rollouts *rollouts;
    soak_fleet fleet;
    bbl_vec proxy_fault_ends; /* of proxy_fault_end */
    gboolean with_spare;
    fault replacement; /* the planned replacement that runs, or ran last */
    bbl_usec wipe_at;  /* when disks are lost after it; 0: none is */
    unsigned replacement_count;
    unsigned fault_count;
    soak_request_counts total_counts;
    gboolean verbose;
    bbl_usec last_run_at;
    bbl_usec paused_at; /* when this process last resumed after a pause */
} soak;

/* When a proxy returns to normal operation. */
typedef struct {
    bbl_usec end_at;
    soak_proxy *proxy;
} proxy_fault_end;

/* Number of a signal that was received, or 0. The daemons are ended before
 * this process. */
static volatile sig_atomic_t interrupted;

static void
on_signal(int number)
{
    interrupted = number;
}

static const soak_fleet *running_fleet;

/* Ends the daemons if this process fails: they would keep its network. */
static void
on_crash(int number)
{
    for (unsigned i = 0; i < SOAK_PROCESSES; i++) {
        if (running_fleet->hosts[i].pid > 0) {
            kill(running_fleet->hosts[i].pid, SIGKILL);
        }
    }
    signal(number, SIG_DFL);
    raise(number);
}

/* ---- faults ---- */

static void
mark_disturbed(soak *s, unsigned host, bbl_usec until)
{
    soak_host *h = &s->fleet.hosts[host];

    if (until + DISTURBANCE_GRACE_US > h->disturbed_until) {
        h->disturbed_until = until + DISTURBANCE_GRACE_US;
    }
    if (soak_fleet_is_control(host)) {
        soak_servers_note_disturbance(s->servers, h->disturbed_until);
    }
}

static void
kill_host(soak *s, unsigned host, bbl_usec now, bbl_usec downtime)
{
    if (s->fleet.hosts[host].pid == 0) {
        return;
    }
    soak_fleet_kill(&s->fleet, host);
    s->fleet.hosts[host].restart_at = now + RESTART_DELAY_US + downtime;
    mark_disturbed(s, host, now + RESTART_DELAY_US + downtime);
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

/* ---- planned replacements ---- */

static unsigned
get_control_host(unsigned i)
{
    return i < SOAK_CONTROL_HOSTS ? i : SOAK_SPARE;
}

/* Returns whether all control hosts run and none has to catch up. */
static bool
is_group_whole(const soak *s, bbl_usec now)
{
    for (unsigned i = 0; i < SOAK_CONTROL_HOSTS_MAX; i++) {
        const soak_host *h = &s->fleet.hosts[get_control_host(i)];

        if (h->pid == 0 || h->paused || h->draining ||
            now < h->disturbed_until) {
            return false;
        }
    }
    return s->wipe_at == 0;
}

/*
 * Takes a control host out of service for good, if the group is whole. An
 * empty one takes its address once it has ended.
 */
static void
replace_host(soak *s, const fault *f, bbl_usec now)
{
    unsigned host =
        get_control_host((unsigned)(f->target % SOAK_CONTROL_HOSTS_MAX));

    if (!is_group_whole(s, now)) {
        return;
    }
    soak_fleet_terminate(&s->fleet, host);
    s->fleet.hosts[host].replaced = true;
    s->replacement = *f;
    s->replacement_count++;
    mark_disturbed(s, host, now);
}

/* Two disks, one or none are lost right after the end of a replaced host. */
static void
complete_replacement(soak *s, unsigned host, bbl_usec now)
{
    const fault *f = &s->replacement;

    soak_fleet_wipe(&s->fleet, host);
    s->fleet.hosts[host].replaced = false;
    s->fleet.hosts[host].restart_at = now + f->duration;
    mark_disturbed(s, host, now + f->duration);
    s->wipe_at = now + 1 + (f->target >> 16) % WIPE_DELAY_MAX_US;
}

static void
wipe_after_replacement(soak *s, bbl_usec now)
{
    const fault *f = &s->replacement;
    unsigned count = (unsigned)(f->target >> 40) % (SOAK_LOST_DISKS_MAX + 1);

    if (s->wipe_at == 0 || now < s->wipe_at) {
        return;
    }
    s->wipe_at = 0;
    for (unsigned i = 1; i <= count; i++) {
        unsigned host = get_control_host((unsigned)(f->target + i) %
                                         SOAK_CONTROL_HOSTS_MAX);

        kill_host(s, host, now, f->duration);
        soak_fleet_wipe(&s->fleet, host);
    }
}

static bool
is_core_fault(const fault *f)
{
    return f->kind == FAULT_WIPE || f->kind == FAULT_KILL_CORE ||
           f->kind == FAULT_KILL_LEADER || f->kind == FAULT_PAUSE_LEADER ||
           ((f->kind == FAULT_KILL || f->kind == FAULT_PAUSE) &&
            soak_fleet_is_control((unsigned)(f->target % SOAK_HOSTS)));
}

/* ---- faults of processes ---- */

static void
pause_host(soak *s, unsigned host, bbl_usec now, bbl_usec duration)
{
    soak_host *h = &s->fleet.hosts[host];

    if (h->pid > 0 && !h->paused) {
        soak_fleet_pause(&s->fleet, host);
        h->resume_at = now + duration;
        mark_disturbed(s, host, now + duration);
    }
}

/* Sends SIGTERM to an entry host, unless one is draining already. */
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
start_proxy_fault(soak *s, soak_proxy *proxy, proxy_mode mode, const fault *f,
                  bbl_usec now)
{
    proxy_fault_end h = {now + f->duration, proxy};

    soak_proxy_set_mode(proxy, mode, f->duration / 10);
    bbl_vec_push(&s->proxy_fault_ends, &h);
}

static void
apply_server_fault(soak *s, const fault *f, bbl_usec now)
{
    unsigned i = (unsigned)(f->target % soak_servers_count(s->servers));
    soak_proxy *proxy;
    fault_kind kind = f->kind;

    while (!soak_servers_may_fail(s->servers, i)) {
        i = (i + 1) % soak_servers_count(s->servers);
    }
    proxy = soak_servers_proxy(s->servers, i);
    if (soak_servers_is_target(s->servers, i) &&
        (kind == FAULT_DELAY || kind == FAULT_HOLD_IN)) {
        /* A request that arrives late could not be told from one that a host
         * sent after the rollback. */
        kind = FAULT_HOLD_OUT;
    }
    if (kind != FAULT_RESET && kind != FAULT_SHED && kind != FAULT_REPLACE) {
        soak_callers_note_cut_server(s->callers,
                                     now + f->duration + CUT_GRACE_US);
    }
    switch (kind) {
    case FAULT_DELAY:
        start_proxy_fault(s, proxy, PROXY_DELAY, f, now);
        break;
    case FAULT_RESET:
        soak_proxy_reset_connections(proxy);
        break;
    case FAULT_HOLD_IN:
        start_proxy_fault(s, proxy, PROXY_HOLD_IN, f, now);
        break;
    case FAULT_HOLD_OUT:
        start_proxy_fault(s, proxy, PROXY_HOLD_OUT, f, now);
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
apply_fault(soak *s, const fault *f, bbl_usec now)
{
    s->fault_count++;
    if (s->verbose) {
        printf("%8.3f %s %llu %llu ms\n", (double)f->start_offset / 1e6,
               fault_kind_name(f->kind),
               (unsigned long long)(f->target % 1000),
               (unsigned long long)(f->duration / BBL_USEC_PER_MS));
    }
    if (s->with_spare && is_core_fault(f)) {
        /* Others would leave no time in which the group is whole. */
        replace_host(s, f, now);
        return;
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
    case FAULT_KILL_LEADER:
        kill_host(s, soak_rollouts_leader(s->rollouts), now, f->duration);
        break;
    case FAULT_PAUSE_LEADER:
        pause_host(s, soak_rollouts_leader(s->rollouts), now, f->duration);
        break;
    case FAULT_SPIKE:
        if (soak_rollouts_allows_spike(s->rollouts)) {
            soak_callers_start_spike(
                s->callers, now + f->duration,
                SPIKE_FACTOR_MIN + (unsigned)(f->target % SPIKE_FACTORS));
        }
        break;
    case FAULT_KILL_CORE:
        for (unsigned i = 0; i < SOAK_CONTROL_HOSTS; i++) {
            kill_host(s, i, now, 0);
        }
        break;
    case FAULT_LIST:
        start_proxy_fault(s, soak_servers_list_proxy(s->servers),
                          PROXY_HOLD_OUT, f, now);
        break;
    default:
        apply_server_fault(s, f, now);
        break;
    }
}

/* ---- execution ---- */

/* Collects ended processes, restarts and resumes those that are due. Returns
 * 0, or -1 if a process cannot be started. */
static int
update_processes(soak *s, bbl_usec now)
{
    int ended = soak_fleet_reap(&s->fleet);

    if (ended >= 0) {
        soak_servers_report_violation(s->servers, "%s ended unexpectedly",
                                      s->fleet.hosts[ended].name);
    }
    wipe_after_replacement(s, now);
    for (unsigned i = 0; i < SOAK_PROCESSES; i++) {
        soak_host *h = &s->fleet.hosts[i];

        if (h->name[0] == '\0') {
            continue; /* the spare, in a run without one */
        }
        if (h->pid == 0 && h->replaced) {
            complete_replacement(s, i, now);
        }
        if (h->pid == 0 && h->restart_at == 0) {
            h->restart_at = now + RESTART_DELAY_US; /* it has drained */
            mark_disturbed(s, i, now + RESTART_DELAY_US);
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

/*
 * Runs the event loop and the periodic work until a point in time.
 *
 * @param faults the schedule, or NULL
 * @param start  the time to which the offsets of the schedule are relative
 * @return false if a guarantee was violated or a process cannot be started
 */
static bool
run_until(soak *s, bbl_usec end, const bbl_vec *faults, bbl_usec start)
{
    size_t next = 0;
    bbl_usec now;

    while ((now = bbl_clock_now()) < end) {
        bbl_loop_run_once(s->loop, BBL_USEC_PER_MS);
        now = bbl_clock_now();
        if (now > s->last_run_at + OWN_PAUSE_US) {
            s->paused_at = now;
        }
        s->last_run_at = now;
        while (faults != NULL && next < faults->size &&
               now >= start + BBL_VEC_AT(fault, faults, next)->start_offset) {
            apply_fault(s, BBL_VEC_AT(fault, faults, next++), now);
        }
        for (size_t i = s->proxy_fault_ends.size; i > 0; i--) {
            proxy_fault_end h =
                *BBL_VEC_AT(proxy_fault_end, &s->proxy_fault_ends, i - 1);

            if (now >= h.end_at) {
                soak_proxy_set_mode(h.proxy, PROXY_PASS, 0);
                bbl_vec_swap_remove(&s->proxy_fault_ends, i - 1);
            }
        }
        soak_servers_tick(s->servers, now);
        soak_callers_tick(s->callers, now);
        soak_operator_tick(s->routing_operator, now);
        soak_rollouts_tick(s->rollouts, now);
        bbl_backend_client_tick(s->client, now);
        if (interrupted != 0) {
            soak_servers_report_violation(s->servers,
                                          "interrupted by a signal");
        }
        if (update_processes(s, now) != 0 ||
            soak_servers_violation(s->servers) != NULL) {
            return false;
        }
    }
    return true;
}

static bool
is_started(const soak *s)
{
    /* Two of less than five voters may not be lost. */
    return soak_operator_acked_version(s->routing_operator) > 0 &&
           soak_callers_hosts_ready(s->callers) &&
           soak_fleet_has_all_voters(&s->fleet);
}

static bool
has_spare(const soak *s)
{
    return soak_fleet_has_spare(&s->fleet);
}

static bool
is_settled(const soak *s)
{
    return soak_rollouts_is_settled(s->rollouts);
}

static bool
is_answered(const soak *s)
{
    return !soak_callers_await_answers(s->callers);
}

static bool
is_recovered(const soak *s)
{
    return soak_operator_is_converged(s->routing_operator) &&
           soak_callers_hosts_ready(s->callers);
}

/* Runs until `reached` returns true. Returns false on a timeout or a
 * violation. */
static bool
wait_until_reached(soak *s, bool (*reached)(const soak *), bbl_usec limit)
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

/* Returns the counts of requests since the last call and adds them to the
 * total. */
static soak_request_counts
collect_counts(soak *s)
{
    soak_request_counts t = soak_callers_collect_counts(s->callers);

    s->total_counts.sent += t.sent;
    s->total_counts.served += t.served;
    s->total_counts.refused += t.refused;
    s->total_counts.failed += t.failed;
    s->total_counts.timed_refusals += t.timed_refusals;
    return t;
}

/* Returns whether the requests whose answers are due were served. */
static bool
is_served(const soak *s, const soak_request_counts *t)
{
    unsigned not_due = soak_callers_count_not_due(s->callers, bbl_clock_now());

    return t->sent > not_due &&
           t->served >= SERVED_RATIO_MIN * (t->sent - not_due);
}

/* Checks the requests since the last call of collect_counts. */
static bool
check_served_ratio(soak *s)
{
    soak_request_counts t = collect_counts(s);

    if (!is_served(s, &t)) {
        soak_servers_report_violation(
            s->servers,
            "only %u of %u requests were served in the time without faults",
            t.served, t.sent);
        return false;
    }
    return true;
}

/* Checks the usual requests in a time without faults. */
static bool
run_fault_free(soak *s)
{
    bbl_usec start;
    int tries = 0;

    do {
        collect_counts(s);
        start = bbl_clock_now();
        if (!run_until(s, start + FAULT_FREE_US, NULL, 0)) {
            return false;
        }
    } while (s->paused_at > start && ++tries < FAULT_FREE_TRIES);
    return check_served_ratio(s);
}

/* Runs a spike without other faults, and checks that the usual load is served
 * again in time. */
static bool
run_spike(soak *s, uint64_t seed)
{
    bbl_usec end = bbl_clock_now() + SPIKE_US;
    soak_request_counts t;

    soak_callers_start_spike(s->callers, end,
                             SPIKE_FACTOR_MIN + SPIKE_FACTORS - 1 -
                                 (unsigned)(seed % SPIKE_FACTORS));
    if (!run_until(s, end, NULL, 0)) {
        return false;
    }
    do {
        collect_counts(s);
        if (!run_until(s, bbl_clock_now() + SPIKE_INTERVAL_US, NULL, 0)) {
            return false;
        }
        t = collect_counts(s);
    } while (!is_served(s, &t) && bbl_clock_now() < end + SPIKE_RECOVERY_US);
    if (!is_served(s, &t)) {
        soak_servers_report_violation(
            s->servers, "only %u of %u requests were served after a spike",
            t.served, t.sent);
        return false;
    }
    return true;
}

/* Checks that every entry host applies the newest version of the routing. */
static bool
probe_routes(soak *s)
{
    bbl_usec now = bbl_clock_now();

    soak_callers_stop(s->callers);
    for (unsigned i = 0; i < SOAK_ENTRY_HOSTS; i++) {
        soak_callers_probe(s->callers, now, i,
                           soak_operator_acked_version(s->routing_operator));
    }
    wait_until_reached(s, is_answered, FAULT_FREE_US);
    return soak_servers_violation(s->servers) == NULL && check_served_ratio(s);
}

static bool
run_soak(soak *s, uint64_t seed, bbl_usec duration)
{
    bbl_vec faults = BBL_VEC_INIT(fault);
    bool passed;

    soak_schedule_generate(&faults, seed, duration);
    if (!wait_until_reached(s, is_started, START_TIMEOUT_US) ||
        (s->with_spare &&
         (soak_fleet_start(&s->fleet, SOAK_SPARE, false) != 0 ||
          !wait_until_reached(s, has_spare, START_TIMEOUT_US)))) {
        soak_servers_report_violation(s->servers,
                                      "the hosts did not start in time");
        bbl_vec_free(&faults);
        return false;
    }
    soak_rollouts_start(s->rollouts);
    passed =
        run_until(s, bbl_clock_now() + duration, &faults, bbl_clock_now());
    bbl_vec_free(&faults);
    soak_operator_stop_updates(s->routing_operator);
    soak_rollouts_stop(s->rollouts);
    if (passed && !wait_until_reached(s, is_recovered, RECOVERY_TIMEOUT_US)) {
        soak_servers_report_violation(
            s->servers, "no recovery within %llu s",
            (unsigned long long)(RECOVERY_TIMEOUT_US / BBL_USEC_PER_SEC));
        return false;
    }
    if (passed && !wait_until_reached(s, is_settled, RECOVERY_TIMEOUT_US)) {
        soak_servers_report_violation(
            s->servers, "the rollout has not ended within %llu s",
            (unsigned long long)(RECOVERY_TIMEOUT_US / BBL_USEC_PER_SEC));
        return false;
    }
    return passed && run_fault_free(s) && run_spike(s, seed) &&
           probe_routes(s);
}

/* ---- main program ---- */

static void
ignore_connect(void *ctx, void *owner, bool ok, bbl_usec duration)
{
    (void)ctx;
    (void)owner;
    (void)ok;
    (void)duration;
}

static int
open_soak(soak *s, uint64_t seed, bbl_usec duration)
{
    soak_servers_options servers = {SERVICE_COUNT, SERVERS_PER_SERVICE,
                                    SERVICE_TIME_US};
    soak_callers_options callers = {SERVICE_COUNT, REQUEST_INTERVAL_US,
                                    seed + 1};
    soak_operator_options op = {SERVICE_COUNT, seed + 2};
    soak_rollouts_options rollouts = {SERVICE_COUNT, seed + 3, &s->fleet,
                                      duration >= LONG_RUN_US};
    bbl_backend_client_options client = {
        .dialect = bbl_platform_dialect(),
        .connect_timeout = 1000 * BBL_USEC_PER_MS,
        .tcp_user_timeout = 3000 * BBL_USEC_PER_MS,
        .response_max = 1u << 20,
        .buffered_max = 16u << 20,
        .on_connect = ignore_connect,
    };
    int error = bbl_loop_open(&s->loop);

    s->proxy_fault_ends = (bbl_vec)BBL_VEC_INIT(proxy_fault_end);
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
    soak_operator_open(&s->routing_operator, s->client, s->servers, &op);
    soak_rollouts_open(&s->rollouts, s->client, s->servers, &rollouts);
    for (unsigned i = 0; error == 0 && i < SOAK_HOSTS; i++) {
        error = soak_fleet_start(&s->fleet, i, true);
    }
    return error;
}

static void
close_soak(soak *s)
{
    soak_fleet_kill_all(&s->fleet);
    soak_rollouts_free(s->rollouts);
    soak_operator_free(s->routing_operator);
    soak_callers_free(s->callers);
    bbl_backend_client_free(s->client);
    soak_servers_free(s->servers);
    bbl_vec_free(&s->proxy_fault_ends);
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
        {"seed", 's', 0, G_OPTION_ARG_INT, &seed, "seed of the fault schedule",
         "N"},
        {"seconds", 't', 0, G_OPTION_ARG_INT, &seconds,
         "duration of the faults", "N"},
        {"program", 'p', 0, G_OPTION_ARG_FILENAME, &program,
         "the program under test", "FILE"},
        {"folder", 'd', 0, G_OPTION_ARG_FILENAME, &folder,
         "existing folder for logs and data", "FOLDER"},
        {"spare", 'r', 0, G_OPTION_ARG_NONE, &s.with_spare,
         "a sixth control host; faults of control hosts are replacements",
         NULL},
        {"verbose", 'v', 0, G_OPTION_ARG_NONE, &s.verbose, "print each fault",
         NULL},
        {NULL},
    };
    GOptionContext *context = g_option_context_new(NULL);
    soak_rollout_counts rollouts;
    bool passed;

    g_option_context_add_main_entries(context, entries, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL) ||
        program == NULL || folder == NULL) {
        fputs("usage: bbl-soak --program FILE --folder FOLDER [--seed N] "
              "[--seconds N] [--spare] [--verbose]\n",
              stderr);
        return 2;
    }
    g_option_context_free(context);
    signal(SIGINT, on_signal);
    signal(SIGTERM, on_signal);
    running_fleet = &s.fleet;
    signal(SIGABRT, on_crash);
    signal(SIGSEGV, on_crash);
    s.fleet.program = program;
    s.fleet.folder = folder;
    if (soak_network_reserve() != 0 ||
        open_soak(&s, (uint64_t)seed, (bbl_usec)seconds * BBL_USEC_PER_SEC) !=
            0) {
        fprintf(stderr, "bbl-soak: %s\n", bbl_error_last());
        close_soak(&s);
        return 2;
    }
    passed =
        run_soak(&s, (uint64_t)seed, (bbl_usec)seconds * BBL_USEC_PER_SEC);
    collect_counts(&s);
    rollouts = soak_rollouts_get_counts(s.rollouts);
    printf("soak: seed %d, %d s, %u faults, %u requests (%u served, %u "
           "refused, %u failed), version %llu, %u rollouts (%u completed, %u "
           "rolled back), %u timed refusals, %u extra, %u replacements: %s\n",
           seed, seconds, s.fault_count, s.total_counts.sent,
           s.total_counts.served, s.total_counts.refused,
           s.total_counts.failed,
           (unsigned long long)soak_operator_acked_version(s.routing_operator),
           rollouts.ordered, rollouts.completed, rollouts.rolled_back,
           s.total_counts.timed_refusals,
           soak_servers_get_extra_max(s.servers), s.replacement_count,
           passed ? "kept"
                  : (soak_servers_violation(s.servers)
                         ? soak_servers_violation(s.servers)
                         : bbl_error_last()));
    close_soak(&s);
    return passed ? 0 : 1;
}
