/*
 * registry.h - the leader's table of members: their leases, how far each has
 * applied the log, and which searchers each should own. The table is lost with
 * the leader. A new leader rebuilds it from heartbeats. It cannot know which
 * leases its predecessor granted, so it waits one full lease before it
 * reassigns any searcher.
 */
#ifndef BBL_REGISTRY_H
#define BBL_REGISTRY_H

#include "control/rows.h"
#include "control/state.h"

#define BBL_ASSIGN_BATCH 256 /* rows in one assignment command */

typedef struct {
    uint32_t host;
    uint64_t incarnation;
    bbl_usec lease_end;       /* on the leader's clock, with the clock error */
    bbl_usec prior_lease_end; /* latest one of earlier incarnations */
    bbl_usec last_heartbeat;
    uint64_t applied;
    bool draining;
    bool released;
    uint64_t disk; /* identity of its journal; 0 without a disk */
    bbl_name zone;
    bblx_address control;
    bblx_address traffic;
    uint32_t owned; /* number of searchers; valid only during planning */
} bbl_member;

typedef struct {
    bbl_usec lease;             /* duration of a member's lease */
    uint32_t clock_ppm;         /* bound on clock rate error */
    uint32_t takeover_delay_us; /* longest exchange with a searcher */
    bbl_usec led_since;         /* start of this leadership */
    bbl_map members;            /* host -> bbl_member, owned */
    bbl_vec places;             /* bblx_place, owned; the platform's list */
    bool places_known;          /* the list has been set at least once */
} bbl_registry;

void bbl_registry_init(bbl_registry *registry, bbl_usec lease,
                       uint32_t clock_ppm, uint32_t takeover_delay_us);
void bbl_registry_free(bbl_registry *registry);

/* Removes all members at the start of a leadership. */
void bbl_registry_reset(bbl_registry *registry, bbl_usec now);

/*
 * Records one heartbeat. If `leads` is set, it also extends the member's
 * lease. A heartbeat with a lower incarnation than before is ignored, as it
 * may be a delayed one of an earlier process, unless those with the higher one
 * have ceased.
 */
void bbl_registry_record_heartbeat(bbl_registry *registry, bbl_usec now,
                                   const bblx_member_heartbeat *heartbeat,
                                   bool leads);

/* Replaces the platform's list of searchers, which is copied. */
void bbl_registry_set_places(bbl_registry *registry, const bblx_place *places,
                             size_t count);

/* Returns whether leases granted by an earlier leader may still be valid. */
bool bbl_registry_waits_for_leases(const bbl_registry *registry, bbl_usec now);

/*
 * Returns whether every member has applied `index` or holds no lease. Leases
 * of a member's earlier incarnations and of earlier leaders must have expired.
 *
 * @param waits_for set to a host that prevents this, to 0 if there is none or
 *                  if leases of an earlier leader may still be valid
 */
bool bbl_registry_in_force(const bbl_registry *registry, bbl_usec now,
                           uint64_t index, uint32_t *waits_for);

/* Updates the ephemeral row of each member, including whether it is live. */
void bbl_registry_publish(bbl_registry *registry, bbl_usec now,
                          bbl_rows *rows);

/*
 * Appends the assignments that should change to `out`.
 *
 * @param rows  the reports of the owners
 * @param epoch epoch of the new assignments
 * @param out   vector of bblx_assign that borrow from state and registry
 */
void bbl_registry_plan_assignments(bbl_registry *registry, bbl_usec now,
                                   const bbl_state *state,
                                   const bbl_rows *rows, uint64_t epoch,
                                   bbl_vec *out);

/* Returns a member, NULL if it is unknown. */
const bbl_member *bbl_registry_get_member(const bbl_registry *registry,
                                          uint32_t host);

#endif
