/*
 * fair_queue.h - the queue of one searcher. It is weighted fair between
 * customer plans: each plan gets a share, and the share that a plan does not
 * use goes to the others. Within a plan, more urgent items are served first,
 * but every eighth turn of a plan serves its least urgent item to prevent
 * starvation. Expedited items are served before all others.
 */
#ifndef BBL_FAIR_QUEUE_H
#define BBL_FAIR_QUEUE_H

#include "bbl/types.h"
#include "util/vec.h"

/* The list node of a queued object; embed it as the first member. */
typedef struct bbl_fair_item {
    struct bbl_fair_item *next;
    struct bbl_fair_item *prev;
    bbl_name plan;
    bbl_urgency urgency;
    bool expedited; /* served before all plans; set for hedges */
} bbl_fair_item;

typedef struct {
    bbl_fair_item *first;
    bbl_fair_item *last;
} bbl_fair_list;

typedef struct {
    bbl_vec plans; /* private */
    bbl_fair_list expedited;
    uint64_t virtual_time; /* of the plan served last: turns / share */
    uint32_t size;         /* number of items */
} bbl_fair_queue;

/* Returns the share of a plan in parts per million, which must not be 0. */
typedef uint32_t (*bbl_fair_share)(void *ctx, const bbl_name *plan);

void bbl_fair_queue_init(bbl_fair_queue *queue);

/* Frees the queue, but not the items. */
void bbl_fair_queue_free(bbl_fair_queue *queue);

/* Adds an item, which must stay allocated and unchanged while queued. */
void bbl_fair_queue_enqueue(bbl_fair_queue *queue, bbl_fair_item *item);

/* Removes an item that is in the queue. */
void bbl_fair_queue_remove(bbl_fair_queue *queue, bbl_fair_item *item);

/* Removes and returns the next item, or returns NULL. */
bbl_fair_item *bbl_fair_queue_dequeue(bbl_fair_queue *queue,
                                      bbl_fair_share share, void *ctx);

/* Calls `each` for every item; it may remove the item that it is passed. */
void bbl_fair_queue_for_each(bbl_fair_queue *queue,
                             void (*each)(void *ctx, bbl_fair_item *item),
                             void *ctx);

#endif
