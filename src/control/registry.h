/*
 * registry.h - what the leader knows of the members: their leases, how far
 * each has applied the log, and which searchers each should own. Lost with
 * the leader; a new one learns it from heartbeats and, because it cannot
 * know what its predecessor granted, waits one full lease before it takes
 * anything from anyone.
 */
#ifndef BBL_REGISTRY_H
#define BBL_REGISTRY_H

#include "control/rows.h"
#include "control/state.h"

#define BBL_ASSIGN_BATCH 256 /* rows in one assignment command */

typedef struct {
    uint32_t host;
    uint64_t incarnation;
    bbl_usec lease_end; /* on the leader's clock, clock error included */
    bbl_usec
        prior_lease_end; /* lease end of this host's earlier incarnations */
    bbl_usec last_heartbeat;
    uint64_t applied;
    bool draining;
    bool released;
    uint64_t disk; /* identity of its journal; 0: no disk */
    bbl_name zone;
    bblx_address control;
    bblx_address traffic;
    uint32_t owned; /* searchers, while assignments are computed */
} bbl_member;

typedef struct {
    bbl_usec lease;             /* length granted to members */
    uint32_t clock_ppm;         /* bound on clock rate error */
    uint32_t takeover_delay_us; /* longest exchange with a searcher */
    bbl_usec led_since;         /* start of this leadership */
    bbl_map members;            /* host -> bbl_member, owned */
    bbl_vec places;             /* bblx_place, owned: the platform's list */
    bool places_known;
} bbl_registry;

void bbl_registry_init(bbl_registry *registry, bbl_usec lease,
                       uint32_t clock_ppm, uint32_t hold_us);
void bbl_registry_free(bbl_registry *registry);

/* Starts a leadership: forgets all members. */
void bbl_registry_reset(bbl_registry *registry, bbl_usec now);

/* Records one heartbeat; with `leads`, also extends the member's lease. */
void bbl_registry_record_heartbeat(bbl_registry *registry, bbl_usec now,
                                   const bblx_member_heartbeat *beat,
                                   bool leads);

/* Replaces the platform's list of searchers. */
void bbl_registry_set_places(bbl_registry *registry, const bblx_place *places,
                             size_t count);

/* Returns whether leases granted by an earlier leader may still run. */
bool bbl_registry_waits_for_leases(const bbl_registry *registry, bbl_usec now);

/*
 * Returns whether every member has applied `index` or holds no lease.
 *
 * @param waits_for set to a host that is waited for, 0 for an earlier leader
 */
bool bbl_registry_in_force(const bbl_registry *registry, bbl_usec now,
                           uint64_t index, uint32_t *waits_for);

/* Writes the live or lost state of each member into the soft rows. */
void bbl_registry_publish(bbl_registry *registry, bbl_usec now,
                          bbl_rows *rows);

/*
 * Computes the assignments that should change.
 *
 * @param rows  what owners report
 * @param out   vector of bblx_assign that borrow from state and registry
 * @param epoch epoch to give to new owners
 */
void bbl_registry_plan_assignments(bbl_registry *registry, bbl_usec now,
                                   const bbl_state *state,
                                   const bbl_rows *rows, uint64_t epoch,
                                   bbl_vec *out);

/* Returns a member, or NULL. */
const bbl_member *bbl_registry_get_member(const bbl_registry *registry,
                                          uint32_t host);

#endif
