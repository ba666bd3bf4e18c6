#include "identity/key_index.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "util/alloc.h"

#define CAP_MIN 16
/* Used share of the slots, in fifths, above which the table is doubled. */
#define LOAD_MAX_FIFTHS 4

_Static_assert(BBL_KEY_HASH_BYTES >= crypto_generichash_BYTES_MIN,
               "the hash is too short for libsodium");

static void
compute_hash(uint8_t *out, bbl_str key)
{
    crypto_generichash(out, BBL_KEY_HASH_BYTES, (const uint8_t *)key.ptr,
                       key.size, NULL, 0);
}

/* Returns the slot of a hash, or the free slot where it belongs. */
static bbl_key_slot *
find_slot(const bbl_key_index *index, const uint8_t *hash)
{
    size_t at;

    memcpy(&at, hash, sizeof(at));
    for (at &= index->cap - 1; index->slots[at].owner != 0;
         at = (at + 1) & (index->cap - 1)) {
        if (sodium_memcmp(index->slots[at].hash, hash, BBL_KEY_HASH_BYTES) ==
            0) {
            break;
        }
    }
    return &index->slots[at];
}

static void
grow(bbl_key_index *index)
{
    bbl_key_index grown = {NULL, index->size,
                           index->cap > 0 ? 2 * index->cap : CAP_MIN};

    grown.slots = bbl_calloc(grown.cap, sizeof(bbl_key_slot));
    for (size_t i = 0; i < index->cap; i++) {
        if (index->slots[i].owner != 0) {
            *find_slot(&grown, index->slots[i].hash) = index->slots[i];
        }
    }
    free(index->slots);
    *index = grown;
}

bool
bbl_key_index_add(bbl_key_index *index, bbl_str key, uint32_t owner)
{
    uint8_t hash[BBL_KEY_HASH_BYTES];
    bbl_key_slot *slot;

    if (5 * (index->size + 1) > LOAD_MAX_FIFTHS * index->cap) {
        grow(index);
    }
    compute_hash(hash, key);
    slot = find_slot(index, hash);
    if (slot->owner != 0) {
        return false;
    }
    memcpy(slot->hash, hash, sizeof(hash));
    slot->owner = owner + 1;
    index->size++;
    return true;
}

bool
bbl_key_index_find(uint32_t *owner, const bbl_key_index *index, bbl_str key)
{
    uint8_t hash[BBL_KEY_HASH_BYTES];

    if (index->size == 0) {
        return false;
    }
    compute_hash(hash, key);
    return bbl_key_index_find_hash(owner, index, hash);
}

bool
bbl_key_index_find_hash(uint32_t *owner, const bbl_key_index *index,
                        const uint8_t *hash)
{
    const bbl_key_slot *slot;

    if (index->size == 0) {
        return false;
    }
    slot = find_slot(index, hash);
    if (slot->owner == 0) {
        return false;
    }
    *owner = slot->owner - 1;
    return true;
}

size_t
bbl_key_index_get_allocated(const bbl_key_index *index)
{
    return index->cap * sizeof(bbl_key_slot);
}

void
bbl_key_index_free(bbl_key_index *index)
{
    free(index->slots);
    memset(index, 0, sizeof(*index));
}
