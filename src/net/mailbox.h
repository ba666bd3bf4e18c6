/*
 * mailbox.h - a bounded queue of pointers towards one thread, which its
 * loop wakes up for. Many threads may put.
 */
#ifndef BBL_MAILBOX_H
#define BBL_MAILBOX_H

#include <stdbool.h>

#include <ck_ring.h>

#include "net/loop.h"

#define BBL_MAILBOX_SLOTS 16384 /* a power of two */

typedef struct {
    ck_ring_t ring;
    ck_ring_buffer_t *slots;
    bbl_loop *receiver_loop; /* of the receiver */
} bbl_mailbox;

int bbl_mailbox_init(bbl_mailbox *box, bbl_loop *loop, unsigned slots);

/* Frees the queue, and what is still in it with `free_item`. */
void bbl_mailbox_free(bbl_mailbox *box, void (*free_item)(void *item));

/* Puts an item and wakes the receiver; false when the queue is full. */
bool bbl_mailbox_enqueue(bbl_mailbox *box, void *item);

/* Takes the next item, or returns NULL. */
void *bbl_mailbox_dequeue(bbl_mailbox *box);

#endif
