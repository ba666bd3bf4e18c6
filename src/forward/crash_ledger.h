/*
 * crash_ledger.h - the requests under which servers have ended, as all hosts
 * have observed it. A request that comes again and ends its servers each time
 * is refused.
 *
 * Load pattern: a request ends each server that begins to run it, and comes
 * again at any host, so that all servers of a service end within seconds. An
 * innocent request that runs at a server when it ends looks the same once, and
 * a loss of power can meet many copies of one. So each crash has a generation:
 * one more than the greatest that its host knew when it sent the request.
 * Crashes with one cause have the same, whatever the clocks of the hosts say.
 * The request is refused from the third generation on, unless a server answers
 * it before that.
 */
#ifndef BBL_CRASH_LEDGER_H
#define BBL_CRASH_LEDGER_H

#include "bbl/types.h"
#include "model/codec.h"
#include "util/map.h"

/* How long a request is refused, and how long observations count. */
#define BBL_CRASH_REFUSED_US (300 * BBL_USEC_PER_SEC)
/* Generation from which on a request is refused. */
#define BBL_CRASH_GENERATIONS_MAX BBLX_CRASH_GENERATIONS_MAX

/* What a host has observed of a request. */
typedef struct {
    uint64_t fingerprint;
    /* 1 to BBL_CRASH_GENERATIONS_MAX; 0 if a server has answered it. */
    unsigned generation;
    /* Wall clock of the observing host, milliseconds. */
    uint64_t serial;
} bbl_observed_crash;

typedef struct {
    bbl_map entries; /* fingerprint -> entry, private */
} bbl_crash_ledger;

void bbl_crash_ledger_init(bbl_crash_ledger *ledger);
void bbl_crash_ledger_free(bbl_crash_ledger *ledger);

/*
 * Records an observation of any host. The order of the observations does not
 * matter, and a second time one changes nothing. A generation above the
 * greatest counts as that.
 *
 * @return whether the request is refused from now on, and was not before
 */
bool bbl_crash_ledger_record(bbl_crash_ledger *ledger, bbl_usec now,
                             const bbl_observed_crash *crash);

/* Returns the greatest generation of a request's crashes; 0 if it has none. */
unsigned bbl_crash_ledger_get_generation(const bbl_crash_ledger *ledger,
                                         bbl_usec now, uint64_t fingerprint);

/*
 * Returns for how long a request is to be refused, microseconds; 0 if it is
 * not.
 */
bbl_usec bbl_crash_ledger_get_refused(const bbl_crash_ledger *ledger,
                                      bbl_usec now, uint64_t fingerprint);

#endif
