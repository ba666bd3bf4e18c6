#include "util/vec.h"

#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"

void *
bbl_vec_add(bbl_vec *vec)
{
    void *item;

    if (vec->size == vec->cap) {
        vec->cap = vec->cap ? vec->cap * 2 : 8;
        vec->ptr = bbl_reallocarray(vec->ptr, vec->cap, vec->item_size);
    }
    item = (char *)vec->ptr + vec->size * vec->item_size;
    memset(item, 0, vec->item_size);
    vec->size++;
    return item;
}

void
bbl_vec_push(bbl_vec *vec, const void *item)
{
    memcpy(bbl_vec_add(vec), item, vec->item_size);
}

void *
bbl_vec_at(const bbl_vec *vec, size_t i)
{
    if (i >= vec->size) {
        abort();
    }
    return (char *)vec->ptr + i * vec->item_size;
}

size_t
bbl_vec_find_pointer(const bbl_vec *vec, const void *pointer)
{
    size_t i = 0;

    while (i < vec->size && ((void **)vec->ptr)[i] != pointer) {
        i++;
    }
    return i;
}

void
bbl_vec_swap_remove(bbl_vec *vec, size_t i)
{
    void *item = bbl_vec_at(vec, i);

    vec->size--;
    if (i != vec->size) {
        memcpy(item, (char *)vec->ptr + vec->size * vec->item_size,
               vec->item_size);
    }
}

void
bbl_vec_remove(bbl_vec *vec, size_t i)
{
    char *item = bbl_vec_at(vec, i);

    vec->size--;
    memmove(item, item + vec->item_size, (vec->size - i) * vec->item_size);
}

void
bbl_vec_free(bbl_vec *vec)
{
    free(vec->ptr);
    vec->ptr = NULL;
    vec->size = 0;
    vec->cap = 0;
}
