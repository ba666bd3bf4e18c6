/*
 * heap.h - the memory that a test program has allocated.
 */
#ifndef BBL_TEST_HEAP_H
#define BBL_TEST_HEAP_H

#include <malloc.h>
#include <stddef.h>

/* Returns the bytes that the process has allocated on the heap. */
static inline size_t
heap_get_allocated(void)
{
    struct mallinfo2 m = mallinfo2();

    return m.uordblks + m.hblkhd;
}

#endif
