/*
 * histogram.h - a log-linear histogram of 32-bit values. It has a fixed size
 * and a relative resolution of 1/16. Regular decay gives recent values more
 * weight in the quantiles.
 */
#ifndef BBL_HISTOGRAM_H
#define BBL_HISTOGRAM_H

#include <stdint.h>

#define BBL_HISTOGRAM_SUBBUCKETS 16 /* per power of two */
#define BBL_HISTOGRAM_BUCKETS 480   /* cover all values below 2^32 */

typedef struct {
    uint64_t count; /* sum of all buckets */
    uint64_t sum;   /* sum of all values, halved by each decay */
    uint32_t buckets[BBL_HISTOGRAM_BUCKETS];
} bbl_histogram;

/* Adds a value. */
void bbl_histogram_add(bbl_histogram *h, uint32_t value);

/*
 * Returns the `q` quantile: the largest value of the bucket that holds it, or
 * 0 if the histogram is empty.
 *
 * @param q 0 or more and less than 1
 */
uint32_t bbl_histogram_quantile(const bbl_histogram *h, double q);

/* Halves the count of each bucket, and `sum`. */
void bbl_histogram_decay(bbl_histogram *h);

#endif
