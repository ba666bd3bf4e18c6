#include "daemon/shared.h"

#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "util/alloc.h"
#include "util/tsan.h"

bbl_thread_message *
bbl_thread_message_new(bbl_thread_message_kind kind)
{
    bbl_thread_message *note = bbl_calloc(1, sizeof(*note));

    note->kind = kind;
    return note;
}

void
bbl_thread_message_free(bbl_thread_message *note)
{
    bbl_buf_free(&note->request_id);
    bbl_buf_free(&note->answer_text);
    BBL_XDR_FREE(bblx_report, &note->report);
    free(note);
}

static void
free_note(void *note)
{
    bbl_thread_message_free(note);
}

bbl_shared_lists *
bbl_shared_lists_new(bbl_lists *lists)
{
    bbl_shared_lists *s = bbl_calloc(1, sizeof(*s));

    s->lists = lists;
    s->ref_count = 1;
    return s;
}

void
bbl_shared_lists_release(bbl_shared_lists *s)
{
    if (s != NULL && --s->ref_count == 0) {
        bbl_lists_free(s->lists);
        free(s);
    }
}

static void
free_published(bbl_published_view *p)
{
    bbl_view_free(p->view);
    bbl_shared_lists_release(p->lists);
    free(p);
}

static void
reclaim(ck_epoch_entry_t *entry)
{
    /* The entry is the first member. */
    BBL_TSAN_ACQUIRE(entry);
    free_published((bbl_published_view *)entry);
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
bbl_shared_publish_view(bbl_shared *s, bbl_view *view, bbl_shared_lists *lists)
{
    bbl_published_view *old = s->published;
    bbl_published_view *p = bbl_calloc(1, sizeof(*p));

    p->view = view;
    p->lists = lists;
    if (lists != NULL) {
        lists->ref_count++;
    }
    BBL_TSAN_RELEASE(s);
    ck_pr_fence_store();
    ck_pr_store_ptr(&s->published, p);
    if (old != NULL) {
        ck_epoch_call(&s->control_record, &old->epoch_entry, reclaim);
    }
}

void
bbl_shared_reclaim_views(bbl_shared *s)
{
    ck_epoch_poll(&s->control_record);
}

const bbl_published_view *
bbl_shared_load_view(bbl_shared *s)
{
    const bbl_published_view *p = ck_pr_load_ptr(&s->published);

    BBL_TSAN_ACQUIRE(s);
    return p;
}

void
bbl_shared_release_view(const bbl_published_view *view)
{
    BBL_TSAN_RELEASE((void *)view);
}
