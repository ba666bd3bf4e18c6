#include "forward/subset.h"

#include <math.h>

#include "util/map.h"

#define KEEP_SEED 7 /* independent of the hash in is_preferred() */

/*
 * Returns whether a server is worth a connection. One that wants no request
 * for some seconds keeps those that it has.
 */
static bool
is_connectable(const bbl_backend *b, bbl_usec now)
{
    bbl_backend_state state = bbl_backend_get_state(b, now);

    return state == BBL_BACKEND_USABLE || state == BBL_BACKEND_BACKOFF;
}

/*
 * Orders servers: usable ones first, then those in the same data centre, then
 * by a hash.
 */
static bool
is_preferred(const bbl_subset_input *in, const bbl_backend *a,
             const bbl_backend *b, bbl_usec now)
{
    bool use_a = is_connectable(a, now);
    bool use_b = is_connectable(b, now);
    uint64_t hash_a;
    uint64_t hash_b;

    if (use_a != use_b) {
        return use_a;
    }
    if (a->same_zone != b->same_zone) {
        return a->same_zone;
    }
    hash_a = bbl_hash(a->listed.id.bblx_label_val, a->listed.id.bblx_label_len,
                      in->host);
    hash_b = bbl_hash(b->listed.id.bblx_label_val, b->listed.id.bblx_label_len,
                      in->host);
    return hash_a < hash_b;
}

/*
 * Returns whether this host is one of those that keep a connection, if the
 * usable servers do not accept one from each host.
 */
static bool
may_keep(const bbl_subset_input *in, const bbl_backend *b, size_t usable)
{
    uint64_t hash =
        bbl_hash(b->listed.id.bblx_label_val, b->listed.id.bblx_label_len,
                 in->host + KEEP_SEED);

    return ldexp((double)hash, -64) <
           in->connections_per_server * (double)usable;
}

unsigned
bbl_subset_get_connection_limit(bool *keep, const bbl_subset_input *in,
                                bbl_backend *const *servers, size_t count,
                                size_t index, bbl_usec now)
{
    size_t before = 0;
    size_t usable = 0;

    *keep = true;
    if (in->connections_per_server >= 1) {
        return (unsigned)in->connections_per_server;
    }
    for (size_t i = 0; i < count; i++) {
        before +=
            i != index && is_preferred(in, servers[i], servers[index], now);
        usable += is_connectable(servers[i], now);
    }
    *keep = before == 0 && may_keep(in, servers[index], usable);
    return 1;
}
