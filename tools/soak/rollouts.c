#include "soak/rollouts.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak/command.h"
#include "util/alloc.h"
#include "util/clock.h"

#define READ_INTERVAL_US (100 * BBL_USEC_PER_MS)
#define REPEAT_INTERVAL_US (700 * BBL_USEC_PER_MS)
#define EVACUATE_INTERVAL_US (5000 * BBL_USEC_PER_MS)
#define EVACUATED_US (1200 * BBL_USEC_PER_MS)
#define RETRY_DELAY_US (200 * BBL_USEC_PER_MS)
#define PAUSE_US (1500 * BBL_USEC_PER_MS) /* between two rollouts */
#define DURATION_MIN_MS 3000
#define DURATION_SPREAD_MS 3000
/* In long runs. Shorter rollouts may give a version that turns bad at the last
 * step more than the bound, see docs/design/rollouts.md, so these have only
 * versions that are bad from the first answer. */
#define LONG_DURATION_MIN_MS 30000
#define START_SPREAD_US (400 * BBL_USEC_PER_MS) /* of the new servers */
/* An order with another version is sent within this time after the first one:
 * a good version does not end earlier, whatever happens. */
#define OTHER_VERSION_US (1500 * BBL_USEC_PER_MS)
/* The same order starts no rollout anew within 10 s of the end. The end is
 * later than the last read of a running state; a command takes 1 s a hop. */
#define REPEAT_MAX_US (6 * BBL_USEC_PER_SEC)
/* How long servers that were rolled back stay. Within this time a request to
 * them is a violation, see soak/servers.c. */
#define DRAIN_US (3500 * BBL_USEC_PER_MS)
#define TEXT_MAX 512

typedef enum {
    PHASE_IDLE,
    PHASE_ORDERING, /* not acknowledged */
    PHASE_RUNNING,
    PHASE_ENDED /* the end was read */
} rollout_phase;

typedef enum { STATE_RUNNING, STATE_COMPLETED, STATE_ROLLED_BACK } state;

/* The rollout of a service as it was read last. */
typedef struct {
    unsigned acked_version; /* 0: none */
    state read_state;
} known_rollout;

struct soak_rollouts {
    soak_servers *servers;
    soak_rollouts_options options;
    soak_command_client client;
    bbl_rng rng;
    known_rollout known[SOAK_SERVICES_MAX];
    rollout_phase phase;
    unsigned service; /* of the rollout in progress */
    unsigned version;
    unsigned duration_ms;
    bbl_usec first_sent_at;
    bbl_usec start_servers_at; /* 0: started */
    bbl_usec running_read_at;  /* when that read was sent */
    bbl_usec next_at;          /* of the next phase or order */
    soak_command order;
    soak_command read;
    unsigned read_service;
    unsigned read_version; /* acknowledged when the read was sent */
    bbl_usec next_read_at;
    soak_command repeat;
    bool repeats_other; /* whether `repeat` names another version */
    bbl_usec next_repeat_at;
    soak_command evacuate;
    unsigned zone; /* evacuated, or to be restored; 0: none */
    bool evacuating;
    bbl_usec next_evacuate_at;
    unsigned leader;
    bool stopped;
    soak_rollout_counts counts;
};

static soak_rollout_record *
get_record(soak_rollouts *r)
{
    return soak_servers_rollout(r->servers, r->service);
}

static unsigned
choose_host(soak_rollouts *r)
{
    return (unsigned)bbl_rng_below(&r->rng, SOAK_CONTROL_HOSTS);
}

/* ---- orders ---- */

static void
send_order(soak_rollouts *r, soak_command *command, bbl_usec now,
           const char *version)
{
    char body[TEXT_MAX];
    int size = snprintf(body, sizeof(body),
                        "{\"service\":\"s%u\",\"target_version\":\"%s\","
                        "\"duration_s\":%u.%03u}",
                        r->service, version, r->duration_ms / 1000,
                        r->duration_ms % 1000);

    soak_command_send(command, now, choose_host(r), "POST", "/-/rollouts",
                      (bbl_str){body, (size_t)size});
}

static void
begin_rollout(soak_rollouts *r, bbl_usec now)
{
    soak_rollout_record *record;

    r->service = (unsigned)bbl_rng_below(&r->rng, r->options.service_count);
    r->duration_ms =
        (r->options.long_durations ? LONG_DURATION_MIN_MS : DURATION_MIN_MS) +
        (unsigned)bbl_rng_below(&r->rng, DURATION_SPREAD_MS);
    r->version++;
    r->first_sent_at = now;
    r->running_read_at = 0;
    r->phase = PHASE_ORDERING;
    r->counts.ordered++;
    record = get_record(r);
    memset(record, 0, sizeof(*record));
    record->version = r->version;
    record->running = true;
    if (bbl_rng_below(&r->rng, 2) == 0) {
        record->fault =
            (version_fault)(1 + bbl_rng_below(&r->rng,
                                              r->options.long_durations
                                                  ? VERSION_FAULTS - 1
                                                  : VERSION_FAULTS_AT_ONCE));
    }
}

static void
on_order_end(void *ctx, unsigned status, bbl_str body)
{
    soak_rollouts *r = ctx;
    bbl_usec sent_at = r->order.started_at;

    (void)body;
    r->next_at = sent_at + RETRY_DELAY_US;
    if (status == 200) {
        known_rollout *k = &r->known[r->service];

        k->acked_version = r->version;
        k->read_state = STATE_RUNNING;
        r->phase = PHASE_RUNNING;
        /* The order has come into effect before. */
        get_record(r)->deadline =
            bbl_clock_now() + r->duration_ms * BBL_USEC_PER_MS;
        r->start_servers_at =
            r->order.sent_at + bbl_rng_below(&r->rng, START_SPREAD_US);
        r->next_repeat_at = sent_at + REPEAT_INTERVAL_US / 2;
    }
    else if (status != 0 && status != 503) {
        soak_servers_report_violation(
            r->servers, "the order of v%u of s%u was refused with status %u",
            r->version, r->service, status);
    }
}

/* Checks the answer to the same order again, or to one of another version. */
static void
on_repeat_end(void *ctx, unsigned status, bbl_str body)
{
    soak_rollouts *r = ctx;
    unsigned expected = r->repeats_other ? 409 : 200;

    (void)body;
    if (status != 0 && status != 503 && status != expected) {
        soak_servers_report_violation(
            r->servers, "%s while v%u of s%u is rolled out: status %u",
            r->repeats_other ? "another version" : "the same order",
            r->version, r->service, status);
    }
}

static void
repeat_order(soak_rollouts *r, bbl_usec now)
{
    char version[16];

    r->next_repeat_at = now + REPEAT_INTERVAL_US;
    r->repeats_other = get_record(r)->fault == VERSION_GOOD &&
                       r->phase == PHASE_RUNNING &&
                       now < r->first_sent_at + OTHER_VERSION_US &&
                       bbl_rng_below(&r->rng, 2) == 0;
    if (r->repeats_other) {
        send_order(r, &r->repeat, now, "other");
    }
    else if (r->running_read_at != 0 &&
             now < r->running_read_at + REPEAT_MAX_US) {
        snprintf(version, sizeof(version), "v%u", r->version);
        send_order(r, &r->repeat, now, version);
    }
}

/* ---- states ---- */

/* Returns whether a line tells that a version was rolled back because of its
 * answers. */
static bool
tells_judged_bad(const char *line, const char *version)
{
    return strstr(line, version) != NULL &&
           strstr(line, "why=\"judged bad\"") != NULL;
}

static bool
was_judged_bad(const soak_rollouts *r)
{
    char text[64];

    snprintf(text, sizeof(text), "service=s%u target=v%u to=rolled-back",
             r->service, r->version);
    return soak_fleet_find_log_line(r->options.fleet, tells_judged_bad, text);
}

static void
end_rollout(soak_rollouts *r, bbl_usec now, state end)
{
    soak_rollout_record *record = get_record(r);

    r->phase = PHASE_ENDED;
    record->running = false;
    if (end == STATE_COMPLETED) {
        r->counts.completed++;
        if (r->start_servers_at != 0 ||
            record->bad_answers >= SOAK_BAD_ANSWERS) {
            soak_servers_report_violation(
                r->servers, "v%u of s%u was completed after %u bad answers",
                r->version, r->service, record->bad_answers);
        }
        record->fault = VERSION_GOOD;
        soak_servers_end_others(r->servers, r->service);
        r->next_at = now + PAUSE_US;
        return;
    }
    r->counts.rolled_back++;
    record->rollback_at = now;
    r->start_servers_at = 0;
    r->next_at = now + DRAIN_US;
    if (record->fault == VERSION_GOOD && was_judged_bad(r)) {
        soak_servers_report_violation(r->servers,
                                      "v%u of s%u is good and was judged bad",
                                      r->version, r->service);
    }
}

/* Checks a state that was read, and acts on the end of a rollout. */
static void
check_state(soak_rollouts *r, const char *name, unsigned version)
{
    known_rollout *k = &r->known[r->read_service];
    bool current = r->phase != PHASE_IDLE && r->read_service == r->service;
    state s = strcmp(name, "running") == 0     ? STATE_RUNNING
              : strcmp(name, "completed") == 0 ? STATE_COMPLETED
                                               : STATE_ROLLED_BACK;

    if (version != k->acked_version &&
        !(current && version == r->version && r->phase == PHASE_ORDERING) &&
        version != r->read_version) {
        soak_servers_report_violation(
            r->servers, "s%u: v%u is %s, but v%u was acknowledged",
            r->read_service, version, name, k->acked_version);
    }
    if (version != k->acked_version) {
        return;
    }
    if (k->read_state != STATE_RUNNING && s != k->read_state) {
        soak_servers_report_violation(r->servers,
                                      "s%u: v%u is %s after its end was read",
                                      r->read_service, version, name);
        return;
    }
    k->read_state = s;
    if (current && version == r->version && r->phase == PHASE_RUNNING) {
        if (s == STATE_RUNNING) {
            r->running_read_at = r->read.started_at;
        }
        else {
            end_rollout(r, r->read.sent_at, s);
        }
    }
}

static void
on_read_end(void *ctx, unsigned status, bbl_str body)
{
    soak_rollouts *r = ctx;
    char text[TEXT_MAX];
    char name[32];
    char target[32];
    unsigned version = 0;

    r->next_read_at = r->read.started_at + READ_INTERVAL_US;
    snprintf(text, sizeof(text), "%.*s", (int)body.size,
             body.ptr != NULL ? body.ptr : "");
    if (status == 200) {
        r->leader = r->read.target_host;
        if (sscanf(text,
                   "{\"state\":\"%31[a-z_]\",\"target_version\":\"%31[^\"]",
                   name, target) != 2 ||
            sscanf(target, "v%u", &version) != 1) {
            soak_servers_report_violation(
                r->servers, "s%u: the state of the rollout is %.100s",
                r->read_service, text);
            return;
        }
        check_state(r, name, version);
    }
    else if (status == 404 && r->read_version != 0) {
        soak_servers_report_violation(
            r->servers, "s%u: the rollout of v%u is not known any more",
            r->read_service, r->read_version);
    }
}

static void
read_state(soak_rollouts *r, bbl_usec now)
{
    char path[32];

    r->read_service = r->service;
    if (bbl_rng_below(&r->rng, 4) == 0) {
        r->read_service =
            (unsigned)bbl_rng_below(&r->rng, r->options.service_count);
    }
    r->read_version = r->known[r->read_service].acked_version;
    snprintf(path, sizeof(path), "/-/rollouts/s%u", r->read_service);
    soak_command_send(&r->read, now, choose_host(r), "GET", path,
                      (bbl_str){"", 0});
}

/* ---- evacuations ---- */

static void
on_evacuate_end(void *ctx, unsigned status, bbl_str body)
{
    soak_rollouts *r = ctx;

    (void)body;
    if (r->evacuating) {
        r->evacuating = false; /* restored, whatever the outcome */
        r->next_evacuate_at = r->evacuate.started_at + EVACUATED_US;
    }
    else if (status == 200) {
        r->zone = 0;
        r->next_evacuate_at = r->evacuate.started_at + EVACUATE_INTERVAL_US;
    }
    else {
        r->next_evacuate_at = r->evacuate.started_at + RETRY_DELAY_US;
    }
}

static void
send_evacuation(soak_rollouts *r, bbl_usec now)
{
    char path[32];

    if (r->zone == 0) {
        if (r->stopped) {
            return;
        }
        r->zone = 1 + (unsigned)bbl_rng_below(&r->rng, 3);
        r->evacuating = true;
    }
    snprintf(path, sizeof(path), "/-/evacuations/z%u", r->zone);
    soak_command_send(&r->evacuate, now, choose_host(r),
                      r->evacuating ? "POST" : "DELETE", path,
                      (bbl_str){"", 0});
}

/* ---- time ---- */

/* Checks the requests to a bad version when its rollout has ended. */
static void
check_exposure(soak_rollouts *r)
{
    const soak_rollout_record *record = get_record(r);

    if (record->fault != VERSION_GOOD &&
        record->target_requests >
            SOAK_EXPOSURE_RATIO * record->requests + SOAK_EXPOSURE_CONSTANT) {
        soak_servers_report_violation(
            r->servers, "v%u of s%u got %u of %u requests before its rollback",
            r->version, r->service, record->target_requests, record->requests);
    }
}

static void
advance(soak_rollouts *r, bbl_usec now)
{
    soak_rollout_record *record = get_record(r);

    switch (r->phase) {
    case PHASE_IDLE:
        if (!r->stopped && now >= r->next_at) {
            begin_rollout(r, now);
        }
        break;
    case PHASE_ORDERING:
        if (!r->order.running && now >= r->next_at) {
            char version[16];

            snprintf(version, sizeof(version), "v%u", r->version);
            send_order(r, &r->order, now, version);
        }
        break;
    case PHASE_RUNNING:
        if (r->start_servers_at != 0 && now >= r->start_servers_at) {
            r->start_servers_at = 0;
            soak_servers_start_version(r->servers, r->service);
        }
        break;
    case PHASE_ENDED:
        if (now >= r->next_at && !r->repeat.running &&
            (record->fault == VERSION_GOOD || now >= record->deadline)) {
            check_exposure(r);
            if (record->rollback_at != 0) {
                soak_servers_end_version(r->servers, r->service);
            }
            r->phase = PHASE_IDLE;
            r->next_at = now;
        }
        break;
    }
}

void
soak_rollouts_tick(soak_rollouts *r, bbl_usec now)
{
    soak_command_tick(&r->order, now);
    soak_command_tick(&r->read, now);
    soak_command_tick(&r->repeat, now);
    soak_command_tick(&r->evacuate, now);
    advance(r, now);
    if (!r->read.running && now >= r->next_read_at) {
        read_state(r, now);
    }
    if (!r->repeat.running && now >= r->next_repeat_at &&
        (r->phase == PHASE_RUNNING ||
         (r->phase == PHASE_ENDED && now + PAUSE_US < r->next_at))) {
        repeat_order(r, now);
    }
    if (!r->evacuate.running &&
        (now >= r->next_evacuate_at || (r->stopped && r->zone != 0))) {
        send_evacuation(r, now);
    }
}

void
soak_rollouts_start(soak_rollouts *r)
{
    r->stopped = false;
}

void
soak_rollouts_stop(soak_rollouts *r)
{
    r->stopped = true;
}

bool
soak_rollouts_is_settled(const soak_rollouts *r)
{
    return r->phase == PHASE_IDLE && r->zone == 0;
}

bool
soak_rollouts_allows_spike(const soak_rollouts *r)
{
    return (r->phase != PHASE_ORDERING && r->phase != PHASE_RUNNING) ||
           soak_servers_rollout(r->servers, r->service)->fault == VERSION_GOOD;
}

unsigned
soak_rollouts_leader(const soak_rollouts *r)
{
    return r->leader;
}

soak_rollout_counts
soak_rollouts_get_counts(const soak_rollouts *r)
{
    return r->counts;
}

/* ---- creation and release ---- */

static void
init_command(soak_rollouts *r, soak_command *command, soak_command_done done)
{
    command->client = &r->client;
    command->done = done;
    command->ctx = r;
}

void
soak_rollouts_open(soak_rollouts **out, bbl_backend_client *client,
                   soak_servers *servers, const soak_rollouts_options *options)
{
    soak_rollouts *r = bbl_calloc(1, sizeof(*r));

    r->servers = servers;
    r->options = *options;
    r->rng.state = options->seed;
    r->stopped = true;
    r->version = 1; /* of the servers at the start */
    soak_command_client_open(&r->client, client);
    init_command(r, &r->order, on_order_end);
    init_command(r, &r->read, on_read_end);
    init_command(r, &r->repeat, on_repeat_end);
    init_command(r, &r->evacuate, on_evacuate_end);
    *out = r;
}

void
soak_rollouts_free(soak_rollouts *r)
{
    if (r == NULL) {
        return;
    }
    soak_command_free(&r->order);
    soak_command_free(&r->read);
    soak_command_free(&r->repeat);
    soak_command_free(&r->evacuate);
    free(r);
}
