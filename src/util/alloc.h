/*
 * alloc.h - allocation that aborts the process on failure. All tables are
 * bounded, so running out of memory or overflowing a size is a bug.
 */
#ifndef BBL_ALLOC_H
#define BBL_ALLOC_H

#include <stddef.h>

/* Allocates `count * size` zeroed bytes, to be freed with free. */
void *bbl_calloc(size_t count, size_t size);

/* Resizes an allocation to `count * size` bytes; new bytes are not zeroed. */
void *bbl_reallocarray(void *ptr, size_t count, size_t size);

/* Returns a copy of `size` bytes plus a NUL byte, to be freed with free. */
char *bbl_memdup(const void *ptr, size_t size);

#endif
