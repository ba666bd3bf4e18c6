/*
 * load_book.h - the load gates of a grantor, one for each set of shards, and
 * their messages. A grantor that starts has no gates: each begins with the
 * first request for its shards, at the number of their slots.
 */
#ifndef BBL_ADMISSION_LOAD_BOOK_H
#define BBL_ADMISSION_LOAD_BOOK_H

#include "admission/load_gate.h"
#include "model/codec.h"
#include "util/map.h"

/* Sets of shards; requests for further ones are admitted. */
#define BBL_LOAD_BOOK_GATES_MAX 32

typedef struct {
    bbl_map gates;     /* resource -> gate, private */
    bbl_map addresses; /* host -> bblx_address *, for the replies */
    bbl_vec replies;   /* bbl_load_reply, not taken yet */
    uint64_t seed;
    bbl_load_counters ended; /* of the gates that were removed */
} bbl_load_book;

typedef struct {
    uint32_t host;
    bblx_address control;
    bblx_admission_reply reply;
} bbl_load_reply;

/* Sums over all gates, for metrics. */
typedef struct {
    double limit; /* queries in flight */
    uint64_t in_flight;
    uint64_t waiting;
    bbl_load_counters counters;
} bbl_load_status;

/* @param seed differs between grantors; spreads the retry times */
void bbl_load_book_init(bbl_load_book *book, uint64_t seed);
void bbl_load_book_free(bbl_load_book *book);

/*
 * Decides on a request for load. The replies, also to other requests, are
 * collected with bbl_load_book_take_reply.
 *
 * @param from host that has sent the request
 */
void bbl_load_book_request(bbl_load_book *book, bbl_usec now, uint32_t from,
                           const bblx_admission_request *request);

/* Ends a query that was admitted or waits; an unknown one is ignored. */
void bbl_load_book_report(bbl_load_book *book, bbl_usec now, uint32_t from,
                          const bblx_admission_report *report);

/* Refuses what has waited too long, and removes gates that are not in use. */
void bbl_load_book_tick(bbl_load_book *book, bbl_usec now);

/* Removes the oldest reply; returns false if there is none. */
bool bbl_load_book_take_reply(bbl_load_reply *out, bbl_load_book *book);

void bbl_load_book_get_status(bbl_load_status *out, const bbl_load_book *book);

#endif
