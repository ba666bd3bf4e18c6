/*
 * order.h - the queue of queries that wait for admission.
 *
 * Load pattern: callers of several priorities bring more queries than the
 * servers can run, and each query can wait for a part of its target only. The
 * order minimizes the cost of delay and refusal: the more urgent priority
 * first, within a priority the queries that can still meet their target before
 * those that can only meet their deadline, and of these the least work first.
 * The least urgent callers are still served: each priority gets at least one
 * grant in BBL_ORDER_LEAST_SHARE.
 */
#ifndef BBL_ADMISSION_ORDER_H
#define BBL_ADMISSION_ORDER_H

#include "bbl/types.h"
#include "util/vec.h"

#define BBL_ORDER_MAX 256 /* queries that may wait at once */
/* Each priority with waiting queries gets one grant in this many, at least. */
#define BBL_ORDER_LEAST_SHARE 10
/* Priorities told apart; higher numbers count as the last of them. */
#define BBL_ORDER_PRIORITIES 8

typedef struct {
    uint32_t host; /* that asked, and its number of the query */
    uint64_t number;
    uint32_t priority; /* 0 is the most urgent */
    bbl_usec target_at;
    bbl_usec deadline;
    bbl_usec wait_until; /* refused if it was not granted by then */
    bbl_usec expected;   /* time from its start to its answer */
    double work;         /* of servers, microseconds */
    double part_work;    /* of one shard */
} bbl_order_query;

/* A zeroed order is not valid; see bbl_order_init. */
typedef struct {
    bbl_vec queries; /* bbl_order_query, by arrival */
    /* Grants to other priorities since the last one to this one. */
    unsigned passed_over[BBL_ORDER_PRIORITIES];
} bbl_order;

void bbl_order_init(bbl_order *order);
void bbl_order_free(bbl_order *order);

/* Returns the class of a priority number, 0 to BBL_ORDER_PRIORITIES - 1. */
unsigned bbl_order_get_class(uint32_t priority);

/*
 * Adds a query. If the queue is full, the last one of the order leaves it,
 * which may be the new one.
 *
 * @param displaced set to the query that leaves, if one does
 * @return whether one does
 */
bool bbl_order_add(bbl_order_query *displaced, bbl_order *order, bbl_usec now,
                   const bbl_order_query *query);

/*
 * Returns the number of grants that go to waiting queries before a query that
 * arrives now.
 */
size_t bbl_order_count_before(const bbl_order *order, bbl_usec now,
                              const bbl_order_query *query);

/* Removes the next query of the order; returns false if none waits. */
bool bbl_order_take_next(bbl_order_query *out, bbl_order *order, bbl_usec now);

/* Counts a grant to a query that did not have to wait. */
void bbl_order_count_grant(bbl_order *order, uint32_t priority);

/*
 * Removes a query that has waited as long as it may, or that can no longer
 * meet its deadline; returns false if there is none.
 */
bool bbl_order_take_expired(bbl_order_query *out, bbl_order *order,
                            bbl_usec now);

/* Removes a query whose caller has left; returns false if it is not there. */
bool bbl_order_remove(bbl_order *order, uint32_t host, uint64_t number);

/* Returns the time at which the next query expires; UINT64_MAX if none. */
bbl_usec bbl_order_get_next_expiry(const bbl_order *order);

#endif
