/*
 * split.h - the choice among the weighted services of a route: smooth
 * weighted round robin, so that shares hold also over few requests. What one
 * service has no room for is never moved to another.
 */
#ifndef BBL_SPLIT_H
#define BBL_SPLIT_H

#include "bbl/routing.h"

typedef struct {
    int64_t *credit; /* by target */
    size_t count;
} bbl_split;

/* Starts at a random place, so that hosts do not move in step. */
void bbl_split_init(bbl_split *split, const bbl_route *route, uint64_t seed);
void bbl_split_free(bbl_split *split);

/* Returns the index of the next target. */
size_t bbl_split_next(bbl_split *split, const bbl_route *route);

#endif
