/*
 * types.h - names, strings, urgencies and time units that all layers share.
 */
#ifndef BBL_TYPES_H
#define BBL_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A point in monotonic time, or a duration, in microseconds. */
typedef uint64_t bbl_usec;

#define BBL_USEC_PER_MS 1000ull
#define BBL_USEC_PER_SEC 1000000ull

#define BBL_NAME_MAX 31 /* maximum bytes in a name */

/* The name of a plan, customer or data centre; not NUL-terminated. */
typedef struct {
    uint8_t size;
    char ptr[BBL_NAME_MAX];
} bbl_name;

/* A borrowed byte string; not NUL-terminated. */
typedef struct {
    const char *ptr; /* may be NULL if `size` is 0 */
    size_t size;
} bbl_str;

/* Returns whether two strings are equal. */
bool bbl_str_equal(bbl_str a, bbl_str b);

/*
 * Sets a name from bytes.
 *
 * @return 0, or BBL_EINVAL if `size` is 0 or above BBL_NAME_MAX
 */
int bbl_name_set(bbl_name *out, const char *ptr, size_t size);

/* Returns whether two names are equal. */
bool bbl_name_equal(const bbl_name *a, const bbl_name *b);

/* Returns a string that borrows the bytes of `name`. */
bbl_str bbl_name_str(const bbl_name *name);

/* Urgency of a request; lower values are served first. */
typedef enum {
    BBL_URGENCY_URGENT = 0,
    BBL_URGENCY_NORMAL = 1,
    BBL_URGENCY_BATCH = 2,
    BBL_URGENCY_COUNT = 3
} bbl_urgency;

/* Returns the name of an urgency as callers and operators write it. */
const char *bbl_urgency_name(bbl_urgency urgency);

/* Parses the name of an urgency; returns 0 or BBL_EINVAL. */
int bbl_urgency_parse(bbl_urgency *out, bbl_str text);

#endif
