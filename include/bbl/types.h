/*
 * types.h - identifiers and time units shared by every layer.
 */
#ifndef BBL_TYPES_H
#define BBL_TYPES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Monotonic time or a duration, microseconds. */
typedef uint64_t bbl_usec;

#define BBL_USEC_PER_MS 1000ull
#define BBL_USEC_PER_SEC 1000000ull

#define BBL_NAME_MAX 31 /* bytes in a name */

/* A short name held in place: a plan, customer or data centre. */
typedef struct {
    uint8_t size;
    char ptr[BBL_NAME_MAX];
} bbl_name;

/* A borrowed, length-counted byte string. */
typedef struct {
    const char *ptr;
    size_t size;
} bbl_str;

/* Returns whether two strings are equal; an empty one may have no `ptr`. */
bool bbl_str_equal(bbl_str a, bbl_str b);

/* Fills `out` from bytes; returns 0, or BBL_EINVAL when empty or too long. */
int bbl_name_set(bbl_name *out, const char *ptr, size_t size);

/* Returns whether two names are equal. */
bool bbl_name_equal(const bbl_name *a, const bbl_name *b);

/* Returns a borrowed view of a name. */
bbl_str bbl_name_str(const bbl_name *name);

/* Urgency of a request; a lower number goes first. */
typedef enum {
    BBL_URGENCY_URGENT = 0,
    BBL_URGENCY_NORMAL = 1,
    BBL_URGENCY_BATCH = 2,
    BBL_URGENCY_COUNT = 3
} bbl_urgency;

/* Returns the documented name of an urgency. */
const char *bbl_urgency_name(bbl_urgency urgency);

/* Parses an urgency name; returns 0 or BBL_EINVAL. */
int bbl_urgency_parse(bbl_urgency *out, bbl_str text);

#endif
