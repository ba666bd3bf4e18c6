/*
 * share_bucket.h - a token bucket for the share that one of several grantors
 * owns of a rate. Each grantor keeps to its share without agreement with the
 * others, so the sum stays within the rate whatever they know of each other.
 */
#ifndef BBL_SHARE_BUCKET_H
#define BBL_SHARE_BUCKET_H

#include "bbl/types.h"

typedef struct {
    double rate;     /* of this grantor, tokens per second */
    double capacity; /* tokens of an unused bucket */
    double tokens;
    /* Tokens that the retries of refused requests will need. */
    double expected;
    bbl_usec filled_at;
} bbl_share_bucket;

/*
 * Initializes a bucket, without a rate.
 *
 * A grantor that has been restarted does not know what its predecessor has
 * given, so a bucket of a young book begins with fewer tokens.
 *
 * @param age     of the book to which the bucket belongs
 * @param young   age below which the book counts as young
 * @param tokens  to begin with if the book is not young
 * @param reduced to begin with otherwise
 */
void bbl_share_bucket_init(bbl_share_bucket *bucket, bbl_usec now,
                           bbl_usec age, bbl_usec young, double tokens,
                           double reduced);

/*
 * Adds the tokens of the time since the last call. Returns that time in
 * seconds.
 */
double bbl_share_bucket_refill(bbl_share_bucket *bucket, bbl_usec now);

/* Sets the rate and the capacity from now on; the tokens are kept. */
void bbl_share_bucket_set_rate(bbl_share_bucket *bucket, double rate,
                               double capacity);

/* Takes a token if there is one; returns whether there was. */
bool bbl_share_bucket_take(bbl_share_bucket *bucket);

/* Puts a token back that was not used. */
void bbl_share_bucket_put_back(bbl_share_bucket *bucket);

/*
 * Returns the time until the bucket has earned `missing` tokens besides those
 * that the retries of refused requests will need, microseconds; at least 1 and
 * at most `max` + 1.
 */
uint32_t bbl_share_bucket_get_wait(const bbl_share_bucket *bucket,
                                   double missing, uint32_t max);

#endif
