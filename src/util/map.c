#include "util/map.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "util/alloc.h"

uint64_t
bbl_hash(const void *ptr, size_t size, uint64_t seed)
{
    return XXH64(ptr, size, seed);
}

static size_t
home_slot(const bbl_map *map, uint64_t key)
{
    key *= 0x9e3779b97f4a7c15ull;
    return (size_t)(key >> 20) & (map->cap - 1);
}

static size_t
find_slot(const bbl_map *map, uint64_t key)
{
    size_t i = home_slot(map, key);

    while (map->values[i] != NULL && map->keys[i] != key) {
        i = (i + 1) & (map->cap - 1);
    }
    return i;
}

void *
bbl_map_get(const bbl_map *map, uint64_t key)
{
    return map->cap ? map->values[find_slot(map, key)] : NULL;
}

static void
grow(bbl_map *map)
{
    bbl_map old = *map;

    map->cap = old.cap ? old.cap * 2 : 16;
    map->keys = bbl_calloc(map->cap, sizeof(*map->keys));
    map->values = bbl_calloc(map->cap, sizeof(*map->values));
    for (size_t i = 0; i < old.cap; i++) {
        if (old.values[i] != NULL) {
            size_t j = find_slot(map, old.keys[i]);

            map->keys[j] = old.keys[i];
            map->values[j] = old.values[i];
        }
    }
    free(old.keys);
    free(old.values);
}

void
bbl_map_set(bbl_map *map, uint64_t key, void *value)
{
    size_t i;

    if (value == NULL) {
        abort();
    }
    if (map->size * 2 >= map->cap) {
        grow(map);
    }
    i = find_slot(map, key);
    if (map->values[i] == NULL) {
        map->size++;
    }
    map->keys[i] = key;
    map->values[i] = value;
}

void *
bbl_map_remove(bbl_map *map, uint64_t key)
{
    size_t i;
    size_t j;
    void *value;

    if (map->cap == 0) {
        return NULL;
    }
    i = find_slot(map, key);
    value = map->values[i];
    if (value == NULL) {
        return NULL;
    }
    map->size--;
    /* Fills the gap, so that probing still finds the entries after it. */
    for (j = (i + 1) & (map->cap - 1); map->values[j] != NULL;
         j = (j + 1) & (map->cap - 1)) {
        size_t h = home_slot(map, map->keys[j]);

        if (((j - h) & (map->cap - 1)) >= ((j - i) & (map->cap - 1))) {
            map->keys[i] = map->keys[j];
            map->values[i] = map->values[j];
            i = j;
        }
    }
    map->values[i] = NULL;
    return value;
}

void *
bbl_map_next(const bbl_map *map, size_t *pos)
{
    while (*pos < map->cap) {
        void *value = map->values[(*pos)++];

        if (value != NULL) {
            return value;
        }
    }
    return NULL;
}

void
bbl_map_free(bbl_map *map)
{
    free(map->keys);
    free(map->values);
    memset(map, 0, sizeof(*map));
}
