/*
 * map.h - a hash map from 64-bit keys to pointers, and a hash function.
 */
#ifndef BBL_MAP_H
#define BBL_MAP_H

#include "bbl/types.h"

typedef struct {
    uint64_t *keys;
    void **values; /* NULL marks a free slot */
    size_t size;   /* entries */
    size_t cap;    /* slots; a power of two, or 0 */
} bbl_map;

#define BBL_MAP_INIT                                                          \
    {                                                                         \
        NULL, NULL, 0, 0                                                      \
    }

/* Returns the value of `key`, or NULL if there is none. */
void *bbl_map_get(const bbl_map *map, uint64_t key);

/* Sets or replaces the value of `key`; `value` must not be NULL. */
void bbl_map_set(bbl_map *map, uint64_t key, void *value);

/* Removes `key`; returns its value, or NULL if there was none. */
void *bbl_map_remove(bbl_map *map, uint64_t key);

/*
 * Iterates over the values in no particular order. The map must not change
 * during the iteration.
 *
 * @param pos position, 0 before the first call
 * @return the next value, or NULL after the last one
 */
void *bbl_map_next(const bbl_map *map, size_t *pos);

/* Frees the memory of the map, but not the values; it is then empty. */
void bbl_map_free(bbl_map *map);

/* Returns a 64-bit hash of bytes, equal in all processes and on all hosts. */
uint64_t bbl_hash(const void *ptr, size_t size, uint64_t seed);

#endif
