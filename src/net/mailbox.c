#include "net/mailbox.h"

#include <stdlib.h>

#include "util/alloc.h"
#include "util/tsan.h"

int
bbl_mailbox_init(bbl_mailbox *box, bbl_loop *loop, unsigned slots)
{
    box->slots = bbl_calloc(slots, sizeof(*box->slots));
    box->receiver_loop = loop;
    ck_ring_init(&box->ring, slots);
    return 0;
}

void
bbl_mailbox_free(bbl_mailbox *box, void (*free_item)(void *item))
{
    void *item;

    if (box->slots == NULL) {
        return;
    }
    while ((item = bbl_mailbox_dequeue(box)) != NULL) {
        free_item(item);
    }
    free(box->slots);
}

bool
bbl_mailbox_enqueue(bbl_mailbox *box, void *item)
{
    BBL_TSAN_RELEASE(box);
    if (!ck_ring_enqueue_mpsc(&box->ring, box->slots, item)) {
        return false;
    }
    bbl_loop_wake(box->receiver_loop);
    return true;
}

void *
bbl_mailbox_dequeue(bbl_mailbox *box)
{
    void *item;

    if (!ck_ring_dequeue_mpsc(&box->ring, box->slots, &item)) {
        return NULL;
    }
    BBL_TSAN_ACQUIRE(box);
    return item;
}
