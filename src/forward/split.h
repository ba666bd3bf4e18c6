/*
 * split.h - chooses among the weighted services of a route by smooth weighted
 * round robin, so that the shares also hold over few requests. Requests for
 * which one service has no capacity are never moved to another one.
 */
#ifndef BBL_SPLIT_H
#define BBL_SPLIT_H

#include "bbl/routing.h"

typedef struct {
    int64_t *credit; /* current weight of each target */
    size_t count;
} bbl_split;

/*
 * Initializes a split at a random position, so that the hosts do not choose in
 * step.
 */
void bbl_split_init(bbl_split *split, const bbl_route *route, uint64_t seed);
void bbl_split_free(bbl_split *split);

/* Returns the index of the next target. */
size_t bbl_split_next(bbl_split *split, const bbl_route *route);

#endif
