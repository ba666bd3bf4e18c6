#include "forward/subset.h"

#include <math.h>

#include "util/map.h"

#define LEAST_SERVERS 2 /* a hedge needs a second one */

/* Orders servers: usable ones, then those nearby, then by a hash. */
static bool
goes_before(const bbl_subset_input *in, const bbl_backend *a,
            const bbl_backend *b, bbl_usec now)
{
    bool use_a = bbl_backend_get_state(a, now) == BBL_BACKEND_USABLE;
    bool use_b = bbl_backend_get_state(b, now) == BBL_BACKEND_USABLE;
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

unsigned
bbl_subset_connections(bool *keep, const bbl_subset_input *in,
                       bbl_backend *const *servers, size_t count, size_t index,
                       bbl_usec now)
{
    size_t most;
    size_t before = 0;

    *keep = true;
    if (in->share >= 1) {
        return (unsigned)in->share;
    }
    most = (size_t)floor(in->share * (double)count);
    most = most < LEAST_SERVERS ? LEAST_SERVERS : most;
    for (size_t i = 0; i < count; i++) {
        before +=
            i != index && goes_before(in, servers[i], servers[index], now);
    }
    *keep = before == 0;
    return before < most ? 1 : 0;
}
