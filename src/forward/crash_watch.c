#include "forward/crash_watch.h"

#include <stdio.h>
#include <string.h>

/* A connection that fails later says nothing of the broken one. */
#define RESOLVE_MAX_US (1000 * BBL_USEC_PER_MS)
#define ATTEMPTS_MAX 1024

void
bbl_crash_watch_init(bbl_crash_watch *w)
{
    w->attempts = (bbl_vec)BBL_VEC_INIT(bbl_broken_attempt);
}

void
bbl_crash_watch_free(bbl_crash_watch *w)
{
    bbl_vec_free(&w->attempts);
}

void
bbl_crash_watch_add(bbl_crash_watch *w, bbl_usec now, uint64_t server,
                    uint64_t fingerprint, unsigned generation,
                    bbl_str request_id)
{
    bbl_broken_attempt *a;

    if (w->attempts.size >= ATTEMPTS_MAX) {
        bbl_vec_remove(&w->attempts, 0);
    }
    a = bbl_vec_add(&w->attempts);
    memset(a, 0, sizeof(*a));
    a->server = server;
    a->fingerprint = fingerprint;
    a->generation = generation;
    snprintf(a->request_id, sizeof(a->request_id), "%.*s",
             (int)request_id.size, request_id.ptr ? request_id.ptr : "");
    a->broken_at = now;
}

void
bbl_crash_watch_resolve(bbl_crash_watch *w, bbl_usec now, uint64_t server,
                        bbl_connect_result result,
                        void (*ended)(void *ctx,
                                      const bbl_broken_attempt *attempt),
                        void *ctx)
{
    for (size_t i = 0; i < w->attempts.size;) {
        bbl_broken_attempt a =
            *BBL_VEC_AT(bbl_broken_attempt, &w->attempts, i);
        bool expired = now > a.broken_at + RESOLVE_MAX_US;

        if (a.server != server && !expired) {
            i++;
            continue;
        }
        bbl_vec_remove(&w->attempts, i);
        if (result == BBL_CONNECT_REFUSED && !expired && ended != NULL) {
            ended(ctx, &a);
        }
    }
}
