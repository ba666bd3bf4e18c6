/*
 * permit_book.h - the permits that a control host grants for requests to
 * backend servers that limit the request rate of all hosts together.
 *
 * Load pattern: hundreds of hosts send to one server that accepts a few
 * requests a second, or less than one. No host can tell from its own requests
 * how much the others send, and a bucket in each host would admit one burst
 * for each of them. So a few control hosts, the grantors, divide the rate of
 * the server, and a host sends only with a permit of one of them. Each grantor
 * keeps to its share by itself: a lost or unreachable one leaves its share
 * unused, and a restarted one begins without tokens, so that the sum stays
 * within the rate whatever the hosts know of each other.
 *
 * A permit is for one request, and its holder drops it after
 * BBL_PERMIT_TTL_US.
 */
#ifndef BBL_PERMIT_BOOK_H
#define BBL_PERMIT_BOOK_H

#include "model/codec.h"
#include "util/map.h"

/* Control hosts that grant permits, at most. */
#define BBL_PERMIT_GRANTORS_MAX 5
/* Grantors that a host asks in turn for one request, at most. */
#define BBL_PERMIT_ASKED_MAX 3
/* Time from the request for a permit until it is no longer valid. */
#define BBL_PERMIT_TTL_US (300 * BBL_USEC_PER_MS)

typedef struct {
    bbl_map buckets; /* key of the server -> bucket, private */
    bbl_usec started_at;
    uint64_t granted;
    uint64_t refused;
} bbl_permit_book;

void bbl_permit_book_init(bbl_permit_book *book, bbl_usec now);
void bbl_permit_book_free(bbl_permit_book *book);

/*
 * Grants a permit for each group of a request, as far as the share of this
 * grantor allows. Grants none if fewer groups than needed can get one.
 *
 * @param grantors number of hosts that grant permits, this one included
 * @param out      one result for each item of the request
 */
void bbl_permit_book_grant(bblx_permit_result *out, bbl_permit_book *book,
                           bbl_usec now, unsigned grantors,
                           const bblx_permit_request *request);

/*
 * Returns the rate of permits for a server in requests per second, from all
 * grantors together, if the server accepts `rate` requests per second.
 */
double bbl_permit_rate(double rate);

#endif
