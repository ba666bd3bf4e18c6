#include "util/histogram.h"

static unsigned
cell_of(uint32_t value)
{
    unsigned exp;

    if (value < BBL_HISTOGRAM_SUB) {
        return value;
    }
    exp = 31u - (unsigned)__builtin_clz(value);
    return (exp - 3) * BBL_HISTOGRAM_SUB + ((value >> (exp - 4)) & 15u);
}

static uint32_t
upper_of(unsigned cell)
{
    unsigned exp;
    uint64_t base;

    if (cell < BBL_HISTOGRAM_SUB) {
        return cell;
    }
    exp = cell / BBL_HISTOGRAM_SUB + 3;
    base = (uint64_t)(BBL_HISTOGRAM_SUB + cell % BBL_HISTOGRAM_SUB + 1)
           << (exp - 4);
    return base > UINT32_MAX ? UINT32_MAX : (uint32_t)(base - 1);
}

void
bbl_histogram_add(bbl_histogram *h, uint32_t value)
{
    h->cells[cell_of(value)]++;
    h->total++;
    h->sum += value;
}

uint32_t
bbl_histogram_quantile(const bbl_histogram *h, double q)
{
    uint64_t rank = (uint64_t)(q * (double)h->total);
    uint64_t seen = 0;

    for (unsigned i = 0; i < BBL_HISTOGRAM_CELLS; i++) {
        seen += h->cells[i];
        if (seen > rank) {
            return upper_of(i);
        }
    }
    return 0;
}

void
bbl_histogram_decay(bbl_histogram *h)
{
    h->total = 0;
    for (unsigned i = 0; i < BBL_HISTOGRAM_CELLS; i++) {
        h->cells[i] /= 2;
        h->total += h->cells[i];
    }
    h->sum /= 2;
}
