#include "policy/fair_queue.h"

#include <string.h>

#define LOW_URGENCY_PERIOD 8    /* each 8th turn serves the least urgent */
#define TURN_WORK 1000000000ull /* virtual time per turn = this / share */

/* The items of one plan. */
typedef struct {
    bbl_name name;
    uint64_t served; /* virtual time: turns divided by share */
    uint32_t size;
    uint32_t turns;
    bbl_fair_list classes[BBL_URGENCY_COUNT];
} plan_queue;

static void
list_add(bbl_fair_list *list, bbl_fair_item *item)
{
    item->next = NULL;
    item->prev = list->last;
    if (list->last != NULL) {
        list->last->next = item;
    }
    else {
        list->first = item;
    }
    list->last = item;
}

static void
list_remove(bbl_fair_list *list, bbl_fair_item *item)
{
    if (item->prev != NULL) {
        item->prev->next = item->next;
    }
    else {
        list->first = item->next;
    }
    if (item->next != NULL) {
        item->next->prev = item->prev;
    }
    else {
        list->last = item->prev;
    }
}

static plan_queue *
get_plan(bbl_fair_queue *q, const bbl_name *name)
{
    plan_queue *p;

    for (size_t i = 0; i < q->plans.size; i++) {
        p = bbl_vec_at(&q->plans, i);
        if (bbl_name_equal(&p->name, name)) {
            return p;
        }
    }
    p = bbl_vec_add(&q->plans);
    p->name = *name;
    p->served = q->virtual_time;
    return p;
}

void
bbl_fair_queue_init(bbl_fair_queue *q)
{
    memset(q, 0, sizeof(*q));
    q->plans = (bbl_vec)BBL_VEC_INIT(plan_queue);
}

void
bbl_fair_queue_free(bbl_fair_queue *q)
{
    bbl_vec_free(&q->plans);
}

void
bbl_fair_queue_enqueue(bbl_fair_queue *q, bbl_fair_item *item)
{
    plan_queue *p;

    q->size++;
    if (item->expedited) {
        list_add(&q->expedited, item);
        return;
    }
    p = get_plan(q, &item->plan);
    if (p->size == 0 && p->served < q->virtual_time) {
        p->served = q->virtual_time; /* an idle plan saves up no turns */
    }
    list_add(&p->classes[item->urgency], item);
    p->size++;
}

void
bbl_fair_queue_remove(bbl_fair_queue *q, bbl_fair_item *item)
{
    plan_queue *p;

    q->size--;
    if (item->expedited) {
        list_remove(&q->expedited, item);
        return;
    }
    p = get_plan(q, &item->plan);
    list_remove(&p->classes[item->urgency], item);
    p->size--;
}

/* Returns the non-empty plan with the lowest virtual time, or NULL. */
static plan_queue *
next_plan(bbl_fair_queue *q)
{
    plan_queue *best = NULL;

    for (size_t i = 0; i < q->plans.size; i++) {
        plan_queue *p = bbl_vec_at(&q->plans, i);

        if (p->size > 0 && (best == NULL || p->served < best->served)) {
            best = p;
        }
    }
    return best;
}

/*
 * Returns the next item of a plan: the most urgent one or, in every eighth
 * turn, the least urgent one.
 */
static bbl_fair_item *
next_in_plan(const plan_queue *p)
{
    bool low = p->turns % LOW_URGENCY_PERIOD == LOW_URGENCY_PERIOD - 1;

    for (int i = 0; i < BBL_URGENCY_COUNT; i++) {
        int c = low ? BBL_URGENCY_COUNT - 1 - i : i;

        if (p->classes[c].first != NULL) {
            return p->classes[c].first;
        }
    }
    return NULL;
}

bbl_fair_item *
bbl_fair_queue_dequeue(bbl_fair_queue *q, bbl_fair_share share, void *ctx)
{
    bbl_fair_item *item = q->expedited.first;
    plan_queue *p;

    if (item == NULL) {
        p = next_plan(q);
        if (p == NULL) {
            return NULL;
        }
        item = next_in_plan(p);
        q->virtual_time = p->served;
        p->turns++;
        p->served += TURN_WORK / share(ctx, &p->name);
    }
    bbl_fair_queue_remove(q, item);
    return item;
}

static void
each_in_list(const bbl_fair_list *list,
             void (*each)(void *ctx, bbl_fair_item *item), void *ctx)
{
    bbl_fair_item *item = list->first;

    while (item != NULL) {
        bbl_fair_item *next = item->next;

        each(ctx, item);
        item = next;
    }
}

void
bbl_fair_queue_for_each(bbl_fair_queue *q,
                        void (*each)(void *ctx, bbl_fair_item *item),
                        void *ctx)
{
    each_in_list(&q->expedited, each, ctx);
    for (size_t i = 0; i < q->plans.size; i++) {
        for (int c = 0; c < BBL_URGENCY_COUNT; c++) {
            const plan_queue *p = bbl_vec_at(&q->plans, i);

            each_in_list(&p->classes[c], each, ctx);
        }
    }
}
