#include "util/alloc.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
die(const char *what)
{
    fprintf(stderr, "baobablatch: %s\n", what);
    abort();
}

void *
bbl_calloc(size_t count, size_t size)
{
    void *ptr = calloc(count ? count : 1, size ? size : 1);

    if (ptr == NULL) {
        die("out of memory");
    }
    return ptr;
}

void *
bbl_reallocarray(void *ptr, size_t count, size_t size)
{
    size_t total;

    if (__builtin_mul_overflow(count, size, &total)) {
        die("allocation size overflow");
    }
    ptr = realloc(ptr, total ? total : 1);
    if (ptr == NULL) {
        die("out of memory");
    }
    return ptr;
}

char *
bbl_memdup(const void *ptr, size_t size)
{
    char *copy = bbl_calloc(size + 1, 1);

    if (size > 0) {
        memcpy(copy, ptr, size);
    }
    return copy;
}
