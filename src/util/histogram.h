/*
 * histogram.h - a log-linear histogram of 32-bit values with 1/16 relative
 * resolution, of fixed size. Decay halves all counts, so that quantiles
 * follow recent values.
 */
#ifndef BBL_HISTOGRAM_H
#define BBL_HISTOGRAM_H

#include <stdint.h>

#define BBL_HISTOGRAM_SUBBUCKETS 16 /* buckets per power of two */
#define BBL_HISTOGRAM_BUCKETS 480   /* covers values below 2^32 */

typedef struct {
    uint64_t count;
    uint64_t sum;
    uint32_t buckets[BBL_HISTOGRAM_BUCKETS];
} bbl_histogram;

/* Counts one value. */
void bbl_histogram_add(bbl_histogram *h, uint32_t value);

/* Returns the value below which the fraction `q` lies; 0 when empty. */
uint32_t bbl_histogram_quantile(const bbl_histogram *h, double q);

/* Halves all counts. */
void bbl_histogram_decay(bbl_histogram *h);

#endif
