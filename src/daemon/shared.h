/*
 * shared.h - what the threads of one daemon share: the published view, the
 * lease, and rings of notes. The control thread writes the view and lease;
 * traffic threads read them under an epoch section.
 */
#ifndef BBL_SHARED_H
#define BBL_SHARED_H

#include <ck_epoch.h>

#include "net/http_server.h"
#include "net/loop.h"
#include "net/mailbox.h"
#include "policy/gather.h"

typedef enum {
    BBL_MESSAGE_QUERY, /* caller -> traffic: `call` holds a query request */
    BBL_MESSAGE_ADMIN, /* operator -> control: `call` */
    BBL_MESSAGE_DUMP,  /* control -> traffic: add the traffic part to `call` */
    BBL_MESSAGE_METRICS, /* caller -> traffic: fill `call` with metrics */
    BBL_MESSAGE_CLAIM,   /* traffic -> control */
    BBL_MESSAGE_CLAIM_OUTCOME,   /* control -> traffic */
    BBL_MESSAGE_REQUEST_OUTCOME, /* traffic -> control */
    BBL_MESSAGE_REPORT,          /* traffic -> control */
    BBL_MESSAGE_REFUSE_QUERIES,  /* control -> traffic: take no query any more
                                  */
    BBL_MESSAGE_DRAIN, /* control -> traffic: start no exchange any more */
    BBL_MESSAGE_IDLE,  /* traffic -> control: drained; `seq` is the phase */
    BBL_MESSAGE_STOP   /* control -> traffic: end the thread */
} bbl_thread_message_kind;

/* A message between two threads; the receiver frees it. */
typedef struct {
    bbl_thread_message_kind kind;
    bbl_http_call *call;
    uint64_t seq;
    bbl_claim_outcome claim_outcome;
    bbl_name customer;
    bbl_buf request_id;
    bbl_buf answer_text;
    bblx_report report; /* owned */
} bbl_thread_message;

bbl_thread_message *bbl_thread_message_new(bbl_thread_message_kind kind);
void bbl_thread_message_free(bbl_thread_message *note);

/* The lists behind a view, shared by several views. */
typedef struct {
    bbl_lists *lists;
    unsigned ref_count; /* touched by the control thread only */
} bbl_shared_lists;

/* A published view and what frees it. */
typedef struct {
    ck_epoch_entry_t epoch_entry;
    bbl_view *view;
    bbl_shared_lists *lists;
} bbl_published_view;

typedef struct {
    ck_epoch_t epoch;
    ck_epoch_record_t control_record;
    bbl_published_view *published; /* by ck_pr_load_ptr */
    uint64_t lease_until;          /* by ck_pr_load_64; 0: none */
    uint64_t adopted_revision;     /* revision of the view in use by traffic */
    uint32_t readiness;            /* bbl_readiness, by ck_pr_load_32 */
    bbl_mailbox to_control;
    bbl_mailbox to_traffic;
} bbl_shared;

int bbl_shared_init(bbl_shared *shared, bbl_loop *control, bbl_loop *traffic);
void bbl_shared_free(bbl_shared *shared);

/* Replaces the published view; called by the control thread. */
void bbl_shared_publish_view(bbl_shared *shared, bbl_view *view,
                             bbl_shared_lists *lists);

/* Returns the published view; read it within an epoch section. */
const bbl_published_view *bbl_shared_load_view(bbl_shared *shared);

/* Says that the calling thread has left a view, before its section ends. */
void bbl_shared_release_view(const bbl_published_view *view);

/* Frees views that no thread reads any more; called by the control thread. */
void bbl_shared_reclaim_views(bbl_shared *shared);

/* Makes a holder with one use. */
bbl_shared_lists *bbl_shared_lists_new(bbl_lists *lists);
void bbl_shared_lists_release(bbl_shared_lists *lists);

#endif
