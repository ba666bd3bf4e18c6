/*
 * fair_queue.h - the queue of one searcher: weighted fair between plans, so
 * that unused share is lent; strict by urgency within a plan, but every
 * eighth turn of a plan goes to its least urgent item, so that none starves.
 * Items put ahead go before all others.
 */
#ifndef BBL_FAIR_QUEUE_H
#define BBL_FAIR_QUEUE_H

#include "bbl/types.h"
#include "util/vec.h"

/* A link to embed as the first member of what is queued. */
typedef struct bbl_fair_item {
    struct bbl_fair_item *next;
    struct bbl_fair_item *prev;
    bbl_name plan;
    bbl_urgency urgency;
    bool expedited;
} bbl_fair_item;

typedef struct {
    bbl_fair_item *first;
    bbl_fair_item *last;
} bbl_fair_list;

typedef struct {
    bbl_vec plans; /* of the module */
    bbl_fair_list expedited;
    uint64_t virtual_time; /* work done over share, of the least served plan */
    uint32_t size;
} bbl_fair_queue;

/* Returns the share of a plan, parts per million, above 0. */
typedef uint32_t (*bbl_fair_share)(void *ctx, const bbl_name *plan);

void bbl_fair_queue_init(bbl_fair_queue *queue);

/* Frees the queue, not the items. */
void bbl_fair_queue_free(bbl_fair_queue *queue);

void bbl_fair_queue_enqueue(bbl_fair_queue *queue, bbl_fair_item *item);

/* Takes an item out that was put in. */
void bbl_fair_queue_remove(bbl_fair_queue *queue, bbl_fair_item *item);

/* Takes the next item out, or returns NULL. */
bbl_fair_item *bbl_fair_queue_dequeue(bbl_fair_queue *queue,
                                      bbl_fair_share share, void *ctx);

/* Calls `each` for every item; it may remove the item it is given. */
void bbl_fair_queue_for_each(bbl_fair_queue *queue,
                             void (*each)(void *ctx, bbl_fair_item *item),
                             void *ctx);

#endif
