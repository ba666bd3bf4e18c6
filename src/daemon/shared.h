/*
 * shared.h - the state shared by the threads of one daemon: the published
 * view, the lease and the message queues. Only the control thread writes the
 * view and the lease; other threads read the view within an epoch section,
 * which keeps it allocated.
 */
#ifndef BBL_SHARED_H
#define BBL_SHARED_H

#include <ck_epoch.h>

#include "net/http_server.h"
#include "net/loop.h"
#include "net/mailbox.h"
#include "policy/gather.h"

typedef enum {
    /* HTTP server -> traffic: run the query that `call` holds. */
    BBL_MESSAGE_QUERY,
    /* HTTP server -> control: execute the operator command in `call`. */
    BBL_MESSAGE_ADMIN,
    /* HTTP server -> control -> traffic: each appends its part of the state
     * dump to the response of `call`. */
    BBL_MESSAGE_DUMP,
    /* HTTP server -> traffic: append the metrics to the response of `call`. */
    BBL_MESSAGE_METRICS,
    /* Traffic -> control: claim a request for the query numbered `seq`. */
    BBL_MESSAGE_CLAIM,
    /* Control -> traffic: the outcome of the claim for query `seq`. */
    BBL_MESSAGE_CLAIM_OUTCOME,
    /* Traffic -> control: the answer of a claimed request; an empty answer
     * releases the claim. */
    BBL_MESSAGE_REQUEST_OUTCOME,
    /* Traffic -> control: the report of an owned searcher. */
    BBL_MESSAGE_REPORT,
    /* Control -> traffic: refuse all further queries. */
    BBL_MESSAGE_REFUSE_QUERIES,
    /* Control -> traffic: start no further exchanges. */
    BBL_MESSAGE_DRAIN,
    /* Traffic -> control: with `seq` 1, no query is open after
     * BBL_MESSAGE_REFUSE_QUERIES; with 2, no exchange runs either after
     * BBL_MESSAGE_DRAIN. */
    BBL_MESSAGE_IDLE,
    /* Control -> traffic: end the thread. */
    BBL_MESSAGE_STOP
} bbl_thread_message_kind;

/*
 * A message between two threads, freed by the receiver. Its kind determines
 * which fields are used; the others are zero.
 */
typedef struct {
    bbl_thread_message_kind kind;
    bbl_http_call *call; /* suspended; the receiver must resume it */
    uint64_t seq;
    bbl_claim_outcome claim_outcome;
    bbl_name customer;
    bbl_buf request_id;
    bbl_buf answer_text; /* JSON of the answer recorded for a request */
    bblx_report report;  /* owned */
} bbl_thread_message;

/* Creates a message whose other fields are zero. */
bbl_thread_message *bbl_thread_message_new(bbl_thread_message_kind kind);

/* Frees a message and its buffers, but not its call. */
void bbl_thread_message_free(bbl_thread_message *message);

/* Reference-counted lists, shared by the views built from them. */
typedef struct {
    bbl_lists *lists;
    unsigned ref_count; /* accessed by the control thread only */
} bbl_shared_lists;

/* A published view with its lists. */
typedef struct {
    ck_epoch_entry_t epoch_entry; /* must be the first member */
    bbl_view *view;               /* owned */
    bbl_shared_lists *lists;      /* one reference; NULL: no lists yet */
} bbl_published_view;

typedef struct {
    ck_epoch_t epoch;
    ck_epoch_record_t control_record;
    bbl_published_view *published; /* read with ck_pr_load_ptr */
    /* Monotonic end of the lease, read with ck_pr_load_64; 0: no lease. */
    uint64_t lease_until;
    /* Revision of the view that the traffic thread uses. */
    uint64_t adopted_revision;
    uint32_t readiness; /* a bbl_readiness value, read with ck_pr_load_32 */
    bbl_mailbox to_control;
    bbl_mailbox to_traffic;
} bbl_shared;

/*
 * Initialises the shared state and registers the calling thread's epoch
 * record as that of the control thread.
 *
 * @param control loop that is woken for messages to the control thread
 * @param traffic loop that is woken for messages to the traffic thread
 * @return 0
 */
int bbl_shared_init(bbl_shared *shared, bbl_loop *control, bbl_loop *traffic);

/* Frees queued messages and all views; the other threads must have ended. */
void bbl_shared_free(bbl_shared *shared);

/*
 * Replaces the published view; only the control thread may call it. The old
 * view is freed by a later bbl_shared_reclaim_views.
 *
 * @param view  taken over
 * @param lists the lists that `view` borrows, or NULL; gets one reference
 */
void bbl_shared_publish_view(bbl_shared *shared, bbl_view *view,
                             bbl_shared_lists *lists);

/*
 * Returns the published view, or NULL before the first one. Call it within an
 * epoch section; the view stays valid until that section ends.
 */
const bbl_published_view *bbl_shared_load_view(bbl_shared *shared);

/*
 * Marks the end of a thread's use of a view for ThreadSanitizer. Call it
 * before the epoch section that protects the view ends.
 */
void bbl_shared_release_view(const bbl_published_view *view);

/*
 * Frees replaced views that no thread reads any more; only the control thread
 * may call it.
 */
void bbl_shared_reclaim_views(bbl_shared *shared);

/* Takes over `lists` and returns a holder with one reference. */
bbl_shared_lists *bbl_shared_lists_new(bbl_lists *lists);

/* Drops one reference and frees the lists with the last; accepts NULL. */
void bbl_shared_lists_release(bbl_shared_lists *lists);

#endif
