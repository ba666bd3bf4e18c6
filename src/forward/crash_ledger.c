#include "forward/crash_ledger.h"

#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"

#define ENTRIES_MAX 4096

typedef struct {
    uint64_t fingerprint;
    /* Latest serial of the crashes of each generation, from 1 on; 0: none. */
    uint64_t crash_serials[BBL_CRASH_GENERATIONS_MAX];
    bbl_usec last_crash_at;
    uint64_t answered_serial; /* of the last answer; 0: none */
} entry;

void
bbl_crash_ledger_init(bbl_crash_ledger *l)
{
    memset(l, 0, sizeof(*l));
}

void
bbl_crash_ledger_free(bbl_crash_ledger *l)
{
    entry *e;
    size_t pos = 0;

    while ((e = bbl_map_next(&l->entries, &pos)) != NULL) {
        free(e);
    }
    bbl_map_free(&l->entries);
}

/* Removes the entries without a recent crash, or the oldest one. */
static void
make_room(bbl_crash_ledger *l, bbl_usec now)
{
    bbl_map kept = BBL_MAP_INIT;
    entry *oldest = NULL;
    entry *e;
    size_t pos = 0;

    while ((e = bbl_map_next(&l->entries, &pos)) != NULL) {
        if (e->last_crash_at + BBL_CRASH_REFUSED_US < now) {
            free(e);
            continue;
        }
        bbl_map_set(&kept, e->fingerprint, e);
        oldest = oldest == NULL || e->last_crash_at < oldest->last_crash_at
                     ? e
                     : oldest;
    }
    bbl_map_free(&l->entries);
    l->entries = kept;
    if (l->entries.size >= ENTRIES_MAX) {
        free(bbl_map_remove(&l->entries, oldest->fingerprint));
    }
}

static entry *
get_entry(bbl_crash_ledger *l, bbl_usec now, uint64_t fingerprint)
{
    entry *e = bbl_map_get(&l->entries, fingerprint);

    if (e == NULL) {
        if (l->entries.size >= ENTRIES_MAX) {
            make_room(l, now);
        }
        e = bbl_calloc(1, sizeof(*e));
        e->fingerprint = fingerprint;
        bbl_map_set(&l->entries, fingerprint, e);
    }
    return e;
}

bool
bbl_crash_ledger_record(bbl_crash_ledger *l, bbl_usec now,
                        const bbl_observed_crash *c)
{
    entry *e = get_entry(l, now, c->fingerprint);
    bool refused = bbl_crash_ledger_get_refused(l, now, c->fingerprint) > 0;
    unsigned generation = c->generation < BBL_CRASH_GENERATIONS_MAX
                              ? c->generation
                              : BBL_CRASH_GENERATIONS_MAX;
    uint64_t *serial = generation == 0 ? &e->answered_serial
                                       : &e->crash_serials[generation - 1];

    if (c->serial <= *serial) {
        return false;
    }
    *serial = c->serial;
    if (c->generation > 0) {
        e->last_crash_at = now;
    }
    return !refused &&
           bbl_crash_ledger_get_refused(l, now, c->fingerprint) > 0;
}

unsigned
bbl_crash_ledger_get_generation(const bbl_crash_ledger *l, bbl_usec now,
                                uint64_t fingerprint)
{
    const entry *e = bbl_map_get(&l->entries, fingerprint);

    if (e == NULL || now >= e->last_crash_at + BBL_CRASH_REFUSED_US) {
        return 0;
    }
    for (unsigned g = BBL_CRASH_GENERATIONS_MAX; g > 0; g--) {
        if (e->crash_serials[g - 1] > e->answered_serial) {
            return g;
        }
    }
    return 0;
}

bbl_usec
bbl_crash_ledger_get_refused(const bbl_crash_ledger *l, bbl_usec now,
                             uint64_t fingerprint)
{
    const entry *e = bbl_map_get(&l->entries, fingerprint);

    return bbl_crash_ledger_get_generation(l, now, fingerprint) >=
                   BBL_CRASH_GENERATIONS_MAX
               ? e->last_crash_at + BBL_CRASH_REFUSED_US - now
               : 0;
}
