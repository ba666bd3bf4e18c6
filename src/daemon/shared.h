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
    BBL_NOTE_QUERY,   /* caller -> traffic: `call` holds a query request */
    BBL_NOTE_ADMIN,   /* operator -> control: `call` */
    BBL_NOTE_DUMP,    /* control -> traffic: add the traffic part to `call` */
    BBL_NOTE_METRICS, /* caller -> traffic: fill `call` with metrics */
    BBL_NOTE_CLAIM,   /* traffic -> control */
    BBL_NOTE_CLAIMED, /* control -> traffic */
    BBL_NOTE_OUTCOME, /* traffic -> control */
    BBL_NOTE_REPORT,  /* traffic -> control */
    BBL_NOTE_CLOSE,   /* control -> traffic: take no query any more */
    BBL_NOTE_DRAIN,   /* control -> traffic: start no exchange any more */
    BBL_NOTE_IDLE,    /* traffic -> control: drained; `seq` is the phase */
    BBL_NOTE_STOP     /* control -> traffic: end the thread */
} bbl_note_kind;

/* A message between two threads; the receiver frees it. */
typedef struct {
    bbl_note_kind kind;
    bbl_http_call *call;
    uint64_t seq;
    bbl_claim_outcome claim;
    bbl_name customer;
    bbl_buf request_id;
    bbl_buf text;
    bblx_report report; /* owned */
} bbl_note;

bbl_note *bbl_note_new(bbl_note_kind kind);
void bbl_note_free(bbl_note *note);

/* The lists behind a view, shared by several views. */
typedef struct {
    bbl_lists *lists;
    unsigned uses; /* touched by the control thread only */
} bbl_shared_lists;

/* A published view and what frees it. */
typedef struct {
    ck_epoch_entry_t epoch;
    bbl_view *view;
    bbl_shared_lists *lists;
} bbl_published;

typedef struct {
    ck_epoch_t epoch;
    ck_epoch_record_t control_record;
    bbl_published *published; /* by ck_pr_load_ptr */
    uint64_t lease_until;     /* by ck_pr_load_64; 0: none */
    uint64_t adopted;         /* revision of the view in use by traffic */
    uint32_t ready;           /* bbl_readiness, by ck_pr_load_32 */
    bbl_mailbox to_control;
    bbl_mailbox to_traffic;
} bbl_shared;

int bbl_shared_init(bbl_shared *shared, bbl_loop *control, bbl_loop *traffic);
void bbl_shared_free(bbl_shared *shared);

/* Replaces the published view; called by the control thread. */
void bbl_shared_publish(bbl_shared *shared, bbl_view *view,
                        bbl_shared_lists *lists);

/* Returns the published view; read it within an epoch section. */
const bbl_published *bbl_shared_view(bbl_shared *shared);

/* Says that the calling thread has left a view, before its section ends. */
void bbl_shared_view_done(const bbl_published *view);

/* Frees views that no thread reads any more; called by the control thread. */
void bbl_shared_reclaim(bbl_shared *shared);

/* Makes a holder with one use. */
bbl_shared_lists *bbl_shared_lists_new(bbl_lists *lists);
void bbl_shared_lists_unuse(bbl_shared_lists *lists);

#endif
