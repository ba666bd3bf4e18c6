/*
 * What hosts tell each other of backend servers: the rate limits that servers
 * state, requests under which servers have ended, and which servers have
 * turned bad. The rows of the feed carry it.
 */
#include "control/control_core.h"

#include <string.h>

#define CRASH_SEED 83
#define HEALTH_SEED 89
/* Keys that the row of a server may have, if others use the first ones. */
#define HEALTH_KEYS 3
/*
 * Shortest time between two messages that carry nothing else: a fleet has up
 * to a hundred such reports a second, and an entry host of 0.12 of a core
 * pays for each message.
 */
#define HEALTH_INTERVAL_US (30 * BBL_USEC_PER_MS)

/*
 * Publishes a report. The clocks of hosts differ, so its serial is made
 * greater than that of an earlier report, if there is one.
 */
static void
publish_observation(bbl_control *c, bblx_report *r, const bblx_report *earlier)
{
    r->serial = c->wall_ms;
    if (earlier != NULL && earlier->serial >= r->serial) {
        r->serial = earlier->serial + 1;
    }
    bbl_control_publish_report(c, r);
}

void
bbl_control_report_rate_limit(bbl_control *c, uint64_t server, uint32_t rate)
{
    const bblx_report *known = bbl_rows_get_report(&c->rows, (uint32_t)server);
    bblx_report r;

    if (known != NULL && known->phase == BBLX_RATE_LIMIT &&
        known->boot == server && known->limit == rate) {
        return;
    }
    memset(&r, 0, sizeof(r));
    r.searcher = (uint32_t)server;
    r.phase = BBLX_RATE_LIMIT;
    r.boot = server;
    r.limit = rate;
    publish_observation(c, &r, known);
}

/* Returns the stored report of a generation of crashes, or NULL. */
static const bblx_report *
find_crash(const bbl_control *c, uint64_t fingerprint, uint32_t generation,
           uint32_t *key)
{
    const bblx_report *r;

    *key = (uint32_t)bbl_hash(&generation, sizeof(generation),
                              fingerprint ^ CRASH_SEED);
    r = bbl_rows_get_report(&c->rows, *key);
    return r != NULL && r->phase == BBLX_CRASH && r->boot == fingerprint &&
                   r->limit == generation
               ? r
               : NULL;
}

/* Returns the crash or answer of a request that was reported last, or NULL. */
static const bblx_report *
find_last_crash(const bbl_control *c, uint64_t fingerprint)
{
    const bblx_report *last = NULL;

    for (uint32_t i = 0; i <= BBLX_CRASH_GENERATIONS_MAX; i++) {
        uint32_t key;
        const bblx_report *r = find_crash(c, fingerprint, i, &key);

        if (r != NULL && (last == NULL || r->serial > last->serial)) {
            last = r;
        }
    }
    return last;
}

void
bbl_control_report_crash(bbl_control *c, uint64_t fingerprint,
                         uint32_t generation)
{
    const bblx_report *answer;
    const bblx_report *known;
    bblx_report r;
    uint32_t key;

    memset(&r, 0, sizeof(r));
    answer = find_crash(c, fingerprint, 0, &key);
    known = find_crash(c, fingerprint, generation, &key);
    if (generation > 0 && known != NULL &&
        (answer == NULL || answer->serial < known->serial)) {
        return;
    }
    r.searcher = key;
    r.phase = BBLX_CRASH;
    r.boot = fingerprint;
    r.limit = generation;
    /* An answer cancels the crashes before it, and none that follow it. */
    publish_observation(c, &r, find_last_crash(c, fingerprint));
}

/* ---- health of servers ---- */

/*
 * Finds the key for the row of a server: one that no row of another kind or of
 * another server has. Returns false if there is none.
 *
 * @param known set to the row of the server, or to NULL
 */
static bool
find_health_key(const bbl_control *c, uint64_t server, uint32_t *key,
                const bblx_report **known)
{
    for (uint32_t i = 0; i < HEALTH_KEYS; i++) {
        *key = (uint32_t)bbl_hash(&server, sizeof(server), HEALTH_SEED + i);
        *known = bbl_rows_get_report(&c->rows, *key);
        if (*known == NULL ||
            ((*known)->phase == BBLX_HEALTH && (*known)->boot == server)) {
            return true;
        }
    }
    return false;
}

void
bbl_control_report_health(bbl_control *c, bbl_usec now, uint64_t server,
                          uint32_t health)
{
    const bblx_report *known;
    bblx_report r;

    memset(&r, 0, sizeof(r));
    if (!find_health_key(c, server, &r.searcher, &known)) {
        return;
    }
    r.phase = BBLX_HEALTH;
    r.boot = server;
    r.limit = health;
    r.serial = c->wall_ms;
    if (known != NULL && known->serial >= r.serial) {
        r.serial = known->serial + 1;
    }
    c->now = now;
    if (bbl_rows_update_report(&c->rows, &r, true, true)) {
        /* Its forwarder bounds the reports of one host. */
        c->heartbeat_due = true;
        c->health_due = true;
    }
}

void
bbl_control_mark_report(bbl_control *c, const bblx_report *r, bool pending)
{
    if (r->phase == BBLX_HEALTH) {
        c->health_due = true;
        c->health_pending = c->health_pending || pending;
    }
    else {
        c->feed_due = true;
    }
}

void
bbl_health_flush(bbl_control *c)
{
    if (!c->health_due || c->now < c->next_health) {
        return;
    }
    c->next_health = c->now + HEALTH_INTERVAL_US;
    c->feed_due = true;
    c->heartbeat_due = c->heartbeat_due || c->health_pending;
    c->health_due = false;
    c->health_pending = false;
}
