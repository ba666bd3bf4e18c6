/*
 * map.h - a hash map from 64-bit keys to pointers, and key helpers.
 */
#ifndef BBL_MAP_H
#define BBL_MAP_H

#include "bbl/types.h"

typedef struct {
    uint64_t *keys;
    void **values; /* NULL marks a free place */
    size_t size;
    size_t cap; /* a power of two, or 0 */
} bbl_map;

#define BBL_MAP_INIT                                                          \
    {                                                                         \
        NULL, NULL, 0, 0                                                      \
    }

/* Returns the value of `key`, or NULL. */
void *bbl_map_get(const bbl_map *map, uint64_t key);

/* Sets a value, which must not be NULL; replaces an earlier one. */
void bbl_map_set(bbl_map *map, uint64_t key, void *value);

/* Removes `key`; returns its value, or NULL. */
void *bbl_map_remove(bbl_map *map, uint64_t key);

/*
 * Steps through the map: start with `*pos` 0; returns the next value or NULL
 * at the end. The map must not change meanwhile.
 */
void *bbl_map_next(const bbl_map *map, size_t *pos);

/* Frees the places, not the values. */
void bbl_map_free(bbl_map *map);

/* Returns a 64-bit hash of bytes, the same in every process. */
uint64_t bbl_hash(const void *ptr, size_t size, uint64_t seed);

#endif
