/*
 * key_index.h - finds the owner of a caller's key. The index holds a hash of
 * each key and never the key itself.
 *
 * An index must not change while other threads read it.
 */
#ifndef BBL_IDENTITY_KEY_INDEX_H
#define BBL_IDENTITY_KEY_INDEX_H

#include "bbl/types.h"

/* 128 bits: finding a key with the hash of another one is infeasible. */
#define BBL_KEY_HASH_BYTES 16

/* A slot of the table; packed, because there may be 100,000 of them. */
typedef struct {
    uint8_t hash[BBL_KEY_HASH_BYTES];
    uint32_t owner; /* plus 1; 0 marks a free slot */
} bbl_key_slot;

typedef struct {
    bbl_key_slot *slots;
    size_t size; /* keys */
    size_t cap;  /* slots; a power of two, or 0 */
} bbl_key_index;

#define BBL_KEY_INDEX_INIT                                                    \
    {                                                                         \
        NULL, 0, 0                                                            \
    }

/*
 * Adds a key, unless it is there already.
 *
 * @param owner at most UINT32_MAX - 1
 * @return whether it was added
 */
bool bbl_key_index_add(bbl_key_index *index, bbl_str key, uint32_t owner);

/*
 * Looks up a key. The comparisons take the same time whatever the key is.
 *
 * @param owner set if the key is found
 * @return whether it is found
 */
bool bbl_key_index_find(uint32_t *owner, const bbl_key_index *index,
                        bbl_str key);

/* The same for the hash of a key, BBL_KEY_HASH_BYTES, as a slot holds it. */
bool bbl_key_index_find_hash(uint32_t *owner, const bbl_key_index *index,
                             const uint8_t *hash);

/* Returns the bytes that the index has allocated. */
size_t bbl_key_index_get_allocated(const bbl_key_index *index);

/* Frees the memory of the index, which is then empty. */
void bbl_key_index_free(bbl_key_index *index);

#endif
