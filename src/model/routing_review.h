/*
 * routing_review.h - what an operator should know of a valid routing before it
 * is sent: entries that have no effect, limits that contradict each other, and
 * what differs from another version.
 *
 * A finding is one line of text without a line end. It holds no key.
 */
#ifndef BBL_ROUTING_REVIEW_H
#define BBL_ROUTING_REVIEW_H

#include "bbl/routing.h"

typedef struct {
    /* Receives one finding; the text is valid in the call. */
    void (*report)(void *ctx, const char *text);
    void *ctx;
} bbl_review_sink;

/*
 * Reports the entries of a routing that can never match or have no effect, and
 * limits that contradict each other. Returns the number of findings.
 *
 * @param routing passed bbl_routing_check
 */
size_t bbl_routing_review(const bbl_routing *routing,
                          const bbl_review_sink *sink);

/*
 * Reports what a routing changes: routes, services and organisations that are
 * added, removed or have other values, and the limits for callers. Returns the
 * number of differences.
 */
size_t bbl_routing_compare(const bbl_routing *before, const bbl_routing *after,
                           const bbl_review_sink *sink);

#endif
