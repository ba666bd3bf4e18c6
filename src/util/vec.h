/*
 * vec.h - a growable array of fixed-size items.
 */
#ifndef BBL_VEC_H
#define BBL_VEC_H

#include <stddef.h>

typedef struct {
    void *ptr;
    size_t size;      /* items in use */
    size_t cap;       /* items allocated */
    size_t item_size; /* bytes an item */
} bbl_vec;

#define BBL_VEC_INIT(type)                                                    \
    {                                                                         \
        NULL, 0, 0, sizeof(type)                                              \
    }

/* Appends a zeroed item and returns it; earlier pointers become invalid. */
void *bbl_vec_add(bbl_vec *vec);

/* Appends a copy of `*item`. */
void bbl_vec_push(bbl_vec *vec, const void *item);

/* Returns item `i`, which must be in range. */
void *bbl_vec_at(const bbl_vec *vec, size_t i);

/* Returns the place of a pointer among pointers; vec->size when absent. */
size_t bbl_vec_find_pointer(const bbl_vec *vec, const void *pointer);

/* Removes item `i` by moving the last item into its place. */
void bbl_vec_swap_remove(bbl_vec *vec, size_t i);

/* Removes item `i`, keeping the order of the rest. */
void bbl_vec_remove(bbl_vec *vec, size_t i);

/* Frees the memory; the vector is empty and usable afterwards. */
void bbl_vec_free(bbl_vec *vec);

#define BBL_VEC_AT(type, vec, i) ((type *)bbl_vec_at((vec), (i)))

#endif
