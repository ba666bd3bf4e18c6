#include "forward/split.h"

#include <stdlib.h>

#include "util/alloc.h"
#include "util/rng.h"

static int64_t
weight_sum(const bbl_route *route)
{
    int64_t sum = 0;

    for (size_t i = 0; i < route->target_count; i++) {
        sum += route->targets[i].weight;
    }
    return sum;
}

void
bbl_split_init(bbl_split *s, const bbl_route *route, uint64_t seed)
{
    bbl_rng rng = {seed};
    uint64_t start;

    s->count = route->target_count;
    s->credit = bbl_calloc(s->count, sizeof(*s->credit));
    start = bbl_rng_below(&rng, 64);
    for (uint64_t i = 0; s->count > 1 && i < start; i++) {
        bbl_split_next(s, route);
    }
}

void
bbl_split_free(bbl_split *s)
{
    free(s->credit);
    s->credit = NULL;
    s->count = 0;
}

size_t
bbl_split_next(bbl_split *s, const bbl_route *route)
{
    size_t best = 0;
    bool found = false;

    for (size_t i = 0; i < s->count; i++) {
        if (route->targets[i].weight == 0) {
            continue;
        }
        s->credit[i] += route->targets[i].weight;
        if (!found || s->credit[i] > s->credit[best]) {
            best = i;
            found = true;
        }
    }
    s->credit[best] -= weight_sum(route);
    return best;
}
