/*
 * crash_watch.h - finds out whether a server has ended while it ran a request.
 * A broken connection alone does not tell: the server may have reset it. The
 * attempt counts as running under a server that ended if the next connection
 * to the server is refused shortly afterwards. One that times out tells
 * nothing: the links of this host may be lost.
 */
#ifndef BBL_CRASH_WATCH_H
#define BBL_CRASH_WATCH_H

#include "bbl/types.h"
#include "util/vec.h"

#define BBL_CRASH_ID_MAX 40

/* An attempt whose connection broke while the server ran it. */
typedef struct {
    uint64_t server;      /* key of the server */
    uint64_t fingerprint; /* of the request; see bbl_forward_request */
    unsigned generation;  /* of a crash, see crash_ledger.h */
    /* For the log; may be truncated, empty if the request has ended. */
    char request_id[BBL_CRASH_ID_MAX];
    bbl_usec broken_at;
} bbl_broken_attempt;

/* How opening a connection to a server has ended. */
typedef enum {
    BBL_CONNECT_OPENED,
    BBL_CONNECT_REFUSED,
    BBL_CONNECT_TIMED_OUT
} bbl_connect_result;

typedef struct {
    bbl_vec attempts; /* bbl_broken_attempt, oldest first */
} bbl_crash_watch;

void bbl_crash_watch_init(bbl_crash_watch *watch);
void bbl_crash_watch_free(bbl_crash_watch *watch);

/* Adds a broken attempt. */
void bbl_crash_watch_add(bbl_crash_watch *watch, bbl_usec now, uint64_t server,
                         uint64_t fingerprint, unsigned generation,
                         bbl_str request_id);

/*
 * Applies the result of opening a connection to a server. Removes its broken
 * attempts, and passes them to `ended` if the server does not run any more.
 *
 * @param ended may be NULL
 */
void bbl_crash_watch_resolve(bbl_crash_watch *watch, bbl_usec now,
                             uint64_t server, bbl_connect_result result,
                             void (*ended)(void *ctx,
                                           const bbl_broken_attempt *attempt),
                             void *ctx);

#endif
