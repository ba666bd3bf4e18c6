#include "daemon/shared.h"

#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "util/alloc.h"
#include "util/tsan.h"

bbl_note *
bbl_note_new(bbl_note_kind kind)
{
    bbl_note *note = bbl_calloc(1, sizeof(*note));

    note->kind = kind;
    return note;
}

void
bbl_note_free(bbl_note *note)
{
    bbl_buf_free(&note->request_id);
    bbl_buf_free(&note->text);
    BBL_XDR_FREE(bblx_report, &note->report);
    free(note);
}

static void
free_note(void *note)
{
    bbl_note_free(note);
}

bbl_shared_lists *
bbl_shared_lists_new(bbl_lists *lists)
{
    bbl_shared_lists *s = bbl_calloc(1, sizeof(*s));

    s->lists = lists;
    s->uses = 1;
    return s;
}

void
bbl_shared_lists_unuse(bbl_shared_lists *s)
{
    if (s != NULL && --s->uses == 0) {
        bbl_lists_free(s->lists);
        free(s);
    }
}

static void
free_published(bbl_published *p)
{
    bbl_view_free(p->view);
    bbl_shared_lists_unuse(p->lists);
    free(p);
}

static void
reclaim(ck_epoch_entry_t *entry)
{
    /* The entry is the first member. */
    BBL_TSAN_ACQUIRE(entry);
    free_published((bbl_published *)entry);
}

int
bbl_shared_init(bbl_shared *s, bbl_loop *control, bbl_loop *traffic)
{
    memset(s, 0, sizeof(*s));
    ck_epoch_init(&s->epoch);
    ck_epoch_register(&s->epoch, &s->control_record, NULL);
    bbl_mailbox_init(&s->to_control, control, BBL_MAILBOX_SLOTS);
    bbl_mailbox_init(&s->to_traffic, traffic, BBL_MAILBOX_SLOTS);
    return 0;
}

void
bbl_shared_free(bbl_shared *s)
{
    bbl_mailbox_free(&s->to_control, free_note);
    bbl_mailbox_free(&s->to_traffic, free_note);
    ck_epoch_barrier(&s->control_record);
    if (s->published != NULL) {
        free_published(s->published);
    }
}

void
bbl_shared_publish(bbl_shared *s, bbl_view *view, bbl_shared_lists *lists)
{
    bbl_published *old = s->published;
    bbl_published *p = bbl_calloc(1, sizeof(*p));

    p->view = view;
    p->lists = lists;
    if (lists != NULL) {
        lists->uses++;
    }
    BBL_TSAN_RELEASE(s);
    ck_pr_fence_store();
    ck_pr_store_ptr(&s->published, p);
    if (old != NULL) {
        ck_epoch_call(&s->control_record, &old->epoch, reclaim);
    }
}

void
bbl_shared_reclaim(bbl_shared *s)
{
    ck_epoch_poll(&s->control_record);
}

const bbl_published *
bbl_shared_view(bbl_shared *s)
{
    const bbl_published *p = ck_pr_load_ptr(&s->published);

    BBL_TSAN_ACQUIRE(s);
    return p;
}

void
bbl_shared_view_done(const bbl_published *view)
{
    BBL_TSAN_RELEASE((void *)view);
}
