/*
 * voter_balance.h - keeps the wanted number of voters in the control group.
 * The leader carries out the changes of voter_plan.h.
 */
#ifndef BBL_VOTER_BALANCE_H
#define BBL_VOTER_BALANCE_H

#include "control/quorum.h"
#include "control/registry.h"

typedef struct {
    uint32_t host;   /* this host */
    uint32_t wanted; /* number of voters; 0: operators change them */
    uint32_t spares; /* learners that are kept beside the voters */
    bbl_usec next_check;
    uint64_t changes; /* that this host has proposed */
} bbl_voter_balance;

/*
 * @param wanted number of voters; 0 leaves all changes to operators
 * @param copies disks that store a command before it is committed. As many
 *               spares are kept as disks may be lost at once, and one at
 *               least.
 */
void bbl_voter_balance_init(bbl_voter_balance *balance, uint32_t host,
                            uint32_t wanted, uint32_t copies);

/* Proposes the next change of the members. Call it on the leader. */
void bbl_voter_balance_tick(bbl_voter_balance *balance, bbl_quorum *quorum,
                            const bbl_registry *registry, bbl_usec now);

/*
 * Transfers the leadership to a voter that runs and does not shut down.
 *
 * @return as bbl_quorum_transfer_leadership
 */
int bbl_voter_balance_transfer_leadership(bbl_quorum *quorum,
                                          const bbl_registry *registry,
                                          bbl_usec now);

/*
 * Returns whether `host` is a voter whose place another host takes or can
 * take: one that runs with a disk, does not shut down and is no voter, or that
 * was promoted beside the wanted voters.
 *
 * @param voters the committed members
 */
bool bbl_voter_balance_has_successor(const bbl_voter_balance *balance,
                                     const bblx_voters *voters,
                                     const bbl_rows *rows);

#endif
