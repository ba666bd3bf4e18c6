#include "admission/order.h"

void
bbl_order_init(bbl_order *o)
{
    *o = (bbl_order){.queries = BBL_VEC_INIT(bbl_order_query)};
}

void
bbl_order_free(bbl_order *o)
{
    bbl_vec_free(&o->queries);
}

unsigned
bbl_order_get_class(uint32_t priority)
{
    return priority < BBL_ORDER_PRIORITIES ? priority
                                           : BBL_ORDER_PRIORITIES - 1;
}

static const bbl_order_query *
get_query(const bbl_order *o, size_t i)
{
    return bbl_vec_at(&o->queries, i);
}

/* Returns whether `a` is granted before `b`, least shares aside. */
static bool
is_before(const bbl_order_query *a, const bbl_order_query *b, bbl_usec now)
{
    unsigned class_a = bbl_order_get_class(a->priority);
    unsigned class_b = bbl_order_get_class(b->priority);
    bool in_time_a = now + a->expected <= a->target_at;
    bool in_time_b = now + b->expected <= b->target_at;

    if (class_a != class_b) {
        return class_a < class_b;
    }
    if (in_time_a != in_time_b) {
        return in_time_a;
    }
    return a->work < b->work;
}

bool
bbl_order_add(bbl_order_query *displaced, bbl_order *o, bbl_usec now,
              const bbl_order_query *q)
{
    size_t last = 0;

    bbl_vec_push(&o->queries, q);
    if (o->queries.size <= BBL_ORDER_MAX) {
        return false;
    }
    for (size_t i = 1; i < o->queries.size; i++) {
        if (!is_before(get_query(o, i), get_query(o, last), now)) {
            last = i;
        }
    }
    *displaced = *get_query(o, last);
    bbl_vec_remove(&o->queries, last);
    return true;
}

size_t
bbl_order_count_before(const bbl_order *o, bbl_usec now,
                       const bbl_order_query *q)
{
    unsigned class = bbl_order_get_class(q->priority);
    unsigned passed = o->passed_over[class];
    size_t same = 0; /* of the same priority, before it */
    size_t urgent = 0;
    size_t reserved;

    for (size_t i = 0; i < o->queries.size; i++) {
        const bbl_order_query *w = get_query(o, i);
        unsigned other = bbl_order_get_class(w->priority);

        urgent += other < class;
        same += other == class && !is_before(q, w, now);
    }
    /* Its priority has a reserved grant after `passed` reaches the share. */
    passed =
        passed < BBL_ORDER_LEAST_SHARE ? passed : BBL_ORDER_LEAST_SHARE - 1;
    reserved = (same + 1) * BBL_ORDER_LEAST_SHARE - 1 - passed;
    return urgent + same < reserved ? urgent + same : reserved;
}

void
bbl_order_count_grant(bbl_order *o, uint32_t priority)
{
    for (unsigned i = 0; i < BBL_ORDER_PRIORITIES; i++) {
        o->passed_over[i]++;
    }
    o->passed_over[bbl_order_get_class(priority)] = 0;
}

/*
 * Returns the priority class that is to get the next grant for its least
 * share, else BBL_ORDER_PRIORITIES. Several classes may be due one after the
 * other, so a class is due earlier by one grant for each class that waits.
 */
static unsigned
find_due_class(const bbl_order *o)
{
    bool waits[BBL_ORDER_PRIORITIES] = {false};
    unsigned due = BBL_ORDER_PRIORITIES;
    unsigned classes = 0;

    for (size_t i = 0; i < o->queries.size; i++) {
        unsigned class = bbl_order_get_class(get_query(o, i)->priority);

        classes += !waits[class];
        waits[class] = true;
    }
    for (unsigned i = 0; classes > 1 && i < BBL_ORDER_PRIORITIES; i++) {
        if (waits[i] && o->passed_over[i] + classes > BBL_ORDER_LEAST_SHARE &&
            (due == BBL_ORDER_PRIORITIES ||
             o->passed_over[i] > o->passed_over[due])) {
            due = i;
        }
    }
    return due;
}

bool
bbl_order_take_next(bbl_order_query *out, bbl_order *o, bbl_usec now)
{
    unsigned due = find_due_class(o);
    size_t best = o->queries.size;

    for (size_t i = 0; i < o->queries.size; i++) {
        const bbl_order_query *q = get_query(o, i);

        if (due < BBL_ORDER_PRIORITIES &&
            bbl_order_get_class(q->priority) != due) {
            continue;
        }
        if (best == o->queries.size || is_before(q, get_query(o, best), now)) {
            best = i;
        }
    }
    if (best == o->queries.size) {
        return false;
    }
    *out = *get_query(o, best);
    bbl_vec_remove(&o->queries, best);
    bbl_order_count_grant(o, out->priority);
    return true;
}

/* Returns when a query has to be refused unless it was granted before. */
static bbl_usec
get_expiry(const bbl_order_query *q)
{
    bbl_usec latest =
        q->deadline > q->expected ? q->deadline - q->expected : 0;

    return q->wait_until < latest ? q->wait_until : latest;
}

bool
bbl_order_take_expired(bbl_order_query *out, bbl_order *o, bbl_usec now)
{
    for (size_t i = 0; i < o->queries.size; i++) {
        if (now >= get_expiry(get_query(o, i))) {
            *out = *get_query(o, i);
            bbl_vec_remove(&o->queries, i);
            return true;
        }
    }
    return false;
}

bool
bbl_order_remove(bbl_order *o, uint32_t host, uint64_t number)
{
    for (size_t i = 0; i < o->queries.size; i++) {
        const bbl_order_query *q = get_query(o, i);

        if (q->host == host && q->number == number) {
            bbl_vec_remove(&o->queries, i);
            return true;
        }
    }
    return false;
}

bbl_usec
bbl_order_get_next_expiry(const bbl_order *o)
{
    bbl_usec next = UINT64_MAX;

    for (size_t i = 0; i < o->queries.size; i++) {
        bbl_usec at = get_expiry(get_query(o, i));

        next = at < next ? at : next;
    }
    return next;
}
