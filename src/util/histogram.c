#include "util/histogram.h"

static unsigned
cell_of(uint32_t value)
{
    unsigned exp;

    if (value < BBL_HISTOGRAM_SUBBUCKETS) {
        return value;
    }
    exp = 31u - (unsigned)__builtin_clz(value);
    return (exp - 3) * BBL_HISTOGRAM_SUBBUCKETS + ((value >> (exp - 4)) & 15u);
}

static uint32_t
upper_of(unsigned cell)
{
    unsigned exp;
    uint64_t base;

    if (cell < BBL_HISTOGRAM_SUBBUCKETS) {
        return cell;
    }
    exp = cell / BBL_HISTOGRAM_SUBBUCKETS + 3;
    base = (uint64_t)(BBL_HISTOGRAM_SUBBUCKETS +
                      cell % BBL_HISTOGRAM_SUBBUCKETS + 1)
           << (exp - 4);
    return base > UINT32_MAX ? UINT32_MAX : (uint32_t)(base - 1);
}

void
bbl_histogram_add(bbl_histogram *h, uint32_t value)
{
    h->buckets[cell_of(value)]++;
    h->count++;
    h->sum += value;
}

uint32_t
bbl_histogram_quantile(const bbl_histogram *h, double q)
{
    uint64_t rank = (uint64_t)(q * (double)h->count);
    uint64_t seen = 0;

    for (unsigned i = 0; i < BBL_HISTOGRAM_BUCKETS; i++) {
        seen += h->buckets[i];
        if (seen > rank) {
            return upper_of(i);
        }
    }
    return 0;
}

void
bbl_histogram_decay(bbl_histogram *h)
{
    h->count = 0;
    for (unsigned i = 0; i < BBL_HISTOGRAM_BUCKETS; i++) {
        h->buckets[i] /= 2;
        h->count += h->buckets[i];
    }
    h->sum /= 2;
}
