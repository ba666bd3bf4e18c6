/*
 * What hosts tell each other of backend servers: the rate limits that servers
 * state, and requests under which servers have ended. The rows of the feed
 * carry it.
 */
#include "control/control_core.h"

#include <string.h>

#define CRASH_SEED 83

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
