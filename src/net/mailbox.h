/*
 * mailbox.h - a bounded, lock-free queue of pointers to one receiving thread,
 * whose loop is woken up for each item. Any thread may enqueue; only the
 * receiver may dequeue.
 */
#ifndef BBL_MAILBOX_H
#define BBL_MAILBOX_H

#include <stdbool.h>

#include <ck_ring.h>

#include "net/loop.h"

#define BBL_MAILBOX_SLOTS 16384 /* default size; a power of two */

typedef struct {
    ck_ring_t ring;
    ck_ring_buffer_t *slots;
    bbl_loop *receiver_loop;
} bbl_mailbox;

/*
 * Initialises an empty queue.
 *
 * @param loop  of the receiver; must outlive the queue
 * @param slots a power of two; one less is the capacity
 * @return 0
 */
int bbl_mailbox_init(bbl_mailbox *box, bbl_loop *loop, unsigned slots);

/* Frees the queue, and each remaining item with `free_item`. */
void bbl_mailbox_free(bbl_mailbox *box, void (*free_item)(void *item));

/* Adds an item and wakes the receiver; returns false if the queue is full. */
bool bbl_mailbox_enqueue(bbl_mailbox *box, void *item);

/* Removes and returns the oldest item, or returns NULL if there is none. */
void *bbl_mailbox_dequeue(bbl_mailbox *box);

#endif
