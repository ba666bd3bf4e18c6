/*
 * fault.h - deliberate faults that show that the tests detect them. They are
 * compiled in only with BBL_TEST_FAULTS. A test sets the bits of some faults
 * in bbl_test_faults and must then find an invariant violated.
 */
#ifndef BBL_FAULT_H
#define BBL_FAULT_H

typedef enum {
    /* Acknowledge entries before the sync. */
    BBL_FAULT_NO_SYNC = 1 << 0,
    /* Vote twice in one term. */
    BBL_FAULT_DOUBLE_VOTE = 1 << 1,
    /* Start a lease at its receipt, not at the send of the heartbeat. */
    BBL_FAULT_LEASE_FROM_RECEIPT = 1 << 2,
    /* Count learners in the quorum. */
    BBL_FAULT_COUNT_LEARNERS = 1 << 3,
    /* Commit entries of older terms by counting copies. */
    BBL_FAULT_COMMIT_OLD_TERM = 1 << 4,
    /* A new leader reassigns searchers at once. */
    BBL_FAULT_NO_LEASE_WAIT = 1 << 5,
    /* Leave the change ids out of snapshots. */
    BBL_FAULT_DROP_CHANGE_IDS = 1 << 6,
    /* Grant a second claim of a request. */
    BBL_FAULT_DOUBLE_CLAIM = 1 << 7,
    /* Count a voter after its disk was emptied. */
    BBL_FAULT_COUNT_ANY_DISK = 1 << 8,
    /* A new owner starts at once with all slots. */
    BBL_FAULT_NO_TAKEOVER_DELAY = 1 << 9,
    /* Release the slot of a broken exchange at once. */
    BBL_FAULT_RELEASE_SLOT_EARLY = 1 << 10,
    /* Retry requests that must not run twice. */
    BBL_FAULT_UNSAFE_RETRY = 1 << 11,
    /* Merge results of an older index snapshot. */
    BBL_FAULT_STALE_RESULTS = 1 << 12,
    /* Report every failure as "not run". */
    BBL_FAULT_ALWAYS_NOT_RUN = 1 << 13,
    /* Send to withdrawn data centres. */
    BBL_FAULT_USE_WITHDRAWN_ZONE = 1 << 14,
    /* Ignore the minimum number of copies. */
    BBL_FAULT_COMMIT_BY_MAJORITY = 1 << 15
} bbl_fault;

#ifdef BBL_TEST_FAULTS
extern unsigned bbl_test_faults;
#define BBL_FAULT(fault) ((bbl_test_faults & (fault)) != 0)
#else
#define BBL_FAULT(fault) 0
#endif

#endif
