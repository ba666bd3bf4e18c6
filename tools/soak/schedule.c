#include "soak/schedule.h"

#include "util/rng.h"

#define GAP_LEAST_US (100 * BBL_USEC_PER_MS)
#define GAP_SPREAD_US (600 * BBL_USEC_PER_MS)
#define LENGTH_LEAST_US (200 * BBL_USEC_PER_MS)
#define LENGTH_SPREAD_US (2800 * BBL_USEC_PER_MS)
/* Hosts that lost their disks have caught up by then. */
#define WIPE_GAP_US (10 * BBL_USEC_PER_SEC)

const char *
fault_kind_name(fault_kind kind)
{
    static const char *const names[FAULT_KINDS] = {
        "kill",  "pause", "terminate", "wipe",     "kill-core",
        "delay", "reset", "hold-in",   "hold-out", "silence",
        "shed",  "lose",  "replace",   "list",
    };

    return names[kind];
}

void
soak_schedule_generate(bbl_vec *out, uint64_t seed, bbl_usec length)
{
    bbl_rng rng = {seed * 0x9e3779b97f4a7c15ull + 1};
    bbl_usec wiped = 0;
    bbl_usec at = 0;

    for (;;) {
        fault f;

        at += GAP_LEAST_US + bbl_rng_below(&rng, GAP_SPREAD_US);
        if (at >= length) {
            return;
        }
        f.start_offset = at;
        f.kind = (fault_kind)bbl_rng_below(&rng, FAULT_KINDS);
        f.target = bbl_rng_next(&rng);
        f.duration = LENGTH_LEAST_US + bbl_rng_below(&rng, LENGTH_SPREAD_US);
        if (f.kind == FAULT_WIPE) {
            if (wiped != 0 && at < wiped + WIPE_GAP_US) {
                f.kind = FAULT_KILL;
            }
            else {
                wiped = at;
            }
        }
        bbl_vec_push(out, &f);
    }
}
