/*
 * rng.h - a pseudo-random number generator with a seed (splitmix64); not for
 * cryptography.
 */
#ifndef BBL_RNG_H
#define BBL_RNG_H

#include <stdint.h>

typedef struct {
    uint64_t state; /* initially the seed */
} bbl_rng;

/* Returns 64 random bits. */
static inline uint64_t
bbl_rng_next(bbl_rng *rng)
{
    uint64_t z = (rng->state += 0x9e3779b97f4a7c15ull);

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
    return z ^ (z >> 31);
}

/* Returns a random number below `bound`, or 0 if `bound` is 0. */
static inline uint64_t
bbl_rng_below(bbl_rng *rng, uint64_t bound)
{
    return bound ? bbl_rng_next(rng) % bound : 0;
}

/* Returns a random number in [0, 1). */
static inline double
bbl_rng_unit(bbl_rng *rng)
{
    return (double)(bbl_rng_next(rng) >> 11) / 9007199254740992.0;
}

#endif
