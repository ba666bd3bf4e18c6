#include "soak/schedule.h"

#include "util/rng.h"

#define FAULT_GAP_MIN_US (100 * BBL_USEC_PER_MS)
#define FAULT_GAP_SPREAD_US (600 * BBL_USEC_PER_MS)
#define FAULT_DURATION_MIN_US (200 * BBL_USEC_PER_MS)
#define FAULT_DURATION_SPREAD_US (2800 * BBL_USEC_PER_MS)
/* Minimum time between two losses of disks. The hosts must have restored their
 * data before the next loss, as only SOAK_LOST_DISKS_MAX may be lost at a
 * time. A wipe that is drawn earlier becomes a kill. */
#define WIPE_INTERVAL_MIN_US (10 * BBL_USEC_PER_SEC)

const char *
fault_kind_name(fault_kind kind)
{
    static const char *const names[FAULT_KINDS] = {
        "kill",         "pause", "terminate", "wipe",     "kill-core",
        "delay",        "reset", "hold-in",   "hold-out", "silence",
        "shed",         "lose",  "replace",   "list",     "kill-leader",
        "pause-leader", "spike",
    };

    return names[kind];
}

void
soak_schedule_generate(bbl_vec *out, uint64_t seed, bbl_usec total_duration)
{
    bbl_rng rng = {seed * 0x9e3779b97f4a7c15ull + 1};
    bbl_usec last_wipe = 0;
    bbl_usec offset = 0;

    for (;;) {
        fault f;

        offset += FAULT_GAP_MIN_US + bbl_rng_below(&rng, FAULT_GAP_SPREAD_US);
        if (offset >= total_duration) {
            return;
        }
        f.start_offset = offset;
        f.kind = (fault_kind)bbl_rng_below(&rng, FAULT_KINDS);
        f.target = bbl_rng_next(&rng);
        f.duration = FAULT_DURATION_MIN_US +
                     bbl_rng_below(&rng, FAULT_DURATION_SPREAD_US);
        if (f.kind == FAULT_SPIKE && offset + f.duration > total_duration) {
            f.duration = total_duration - offset;
        }
        if (f.kind == FAULT_WIPE) {
            if (last_wipe != 0 && offset < last_wipe + WIPE_INTERVAL_MIN_US) {
                f.kind = FAULT_KILL;
            }
            else {
                last_wipe = offset;
            }
        }
        bbl_vec_push(out, &f);
    }
}
