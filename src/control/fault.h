/*
 * fault.h - deliberate faults, compiled in for tests only. A test sets
 * bbl_test_faults and must then see its invariants broken.
 */
#ifndef BBL_FAULT_H
#define BBL_FAULT_H

typedef enum {
    BBL_FAULT_NO_SYNC = 1 << 0,            /* acknowledge before the sync */
    BBL_FAULT_DOUBLE_VOTE = 1 << 1,        /* vote twice in a term */
    BBL_FAULT_LEASE_FROM_RECEIPT = 1 << 2, /* member counts from the receipt */
    BBL_FAULT_COUNT_LEARNERS = 1 << 3,     /* learners count in the quorum */
    BBL_FAULT_COMMIT_OLD_TERM = 1 << 4,    /* commit entries of older terms */
    BBL_FAULT_NO_LEASE_WAIT = 1 << 5,      /* new leader reassigns at once */
    BBL_FAULT_DROP_CHANGE_IDS = 1 << 6,    /* snapshot drops the change ids */
    BBL_FAULT_DOUBLE_CLAIM = 1 << 7,       /* a second claim is granted */
    BBL_FAULT_COUNT_ANY_DISK = 1 << 8,     /* an emptied disk still counts */
    BBL_FAULT_NO_TAKEOVER_DELAY = 1
                                  << 9, /* a new owner starts at once, full */
    BBL_FAULT_RELEASE_SLOT_EARLY =
        1 << 10,                        /* a broken exchange frees its slot */
    BBL_FAULT_UNSAFE_RETRY = 1 << 11,   /* retry what may not be repeated */
    BBL_FAULT_STALE_RESULTS = 1 << 12,  /* merge results of an old snapshot */
    BBL_FAULT_ALWAYS_NOT_RUN = 1 << 13, /* call any failure "not run" */
    BBL_FAULT_USE_WITHDRAWN_ZONE = 1 << 14, /* use withdrawn data centres */
    BBL_FAULT_COMMIT_BY_MAJORITY = 1 << 15  /* ignore the copies asked for */
} bbl_fault;

#ifdef BBL_TEST_FAULTS
extern unsigned bbl_test_faults;
#define BBL_FAULT(fault) ((bbl_test_faults & (fault)) != 0)
#else
#define BBL_FAULT(fault) 0
#endif

#endif
