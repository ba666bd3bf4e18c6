/*
 * alloc.h - checked allocation. Running out of memory or overflowing a size
 * is a broken invariant here (every table is bounded), so both stop the
 * process.
 */
#ifndef BBL_ALLOC_H
#define BBL_ALLOC_H

#include <stddef.h>

/* Returns `count * size` zeroed bytes; never NULL. */
void *bbl_calloc(size_t count, size_t size);

/* Resizes to `count * size` bytes; never NULL. */
void *bbl_reallocarray(void *ptr, size_t count, size_t size);

/* Returns a copy of `size` bytes followed by a NUL byte. */
char *bbl_memdup(const void *ptr, size_t size);

#endif
