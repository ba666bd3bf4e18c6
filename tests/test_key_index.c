/* Tests the index of callers' keys. */
#include <stdio.h>
#include <string.h>

#include "identity/key_index.h"
#include "support/run.h"

#define KEYS 100000 /* the table is doubled several times */

static bbl_str
make_key(char *out, size_t size, unsigned i)
{
    return (bbl_str){out, (size_t)snprintf(out, size, "key-%u", i)};
}

/* A table that is doubled must keep each key with its owner. Hosts with 160 MB
 * hold it, so a key takes at most 64 bytes. */
START_TEST(each_key_is_found_with_its_owner)
{
    bbl_key_index index = BBL_KEY_INDEX_INIT;
    char text[32];
    uint32_t owner;

    for (unsigned i = 0; i < KEYS; i++) {
        ck_assert(!bbl_key_index_find(&owner, &index,
                                      make_key(text, sizeof(text), i)));
        ck_assert(
            bbl_key_index_add(&index, make_key(text, sizeof(text), i), i / 7));
    }
    for (unsigned i = 0; i < KEYS; i++) {
        ck_assert(bbl_key_index_find(&owner, &index,
                                     make_key(text, sizeof(text), i)));
        ck_assert_uint_eq(owner, i / 7);
    }
    ck_assert(!bbl_key_index_find(&owner, &index, (bbl_str){"key-", 4}));
    ck_assert_uint_eq(index.size, KEYS);
    ck_assert_uint_le(bbl_key_index_get_allocated(&index) / KEYS, 64);
    bbl_key_index_free(&index);
}
END_TEST

/* A memory dump must not contain keys. */
START_TEST(the_index_does_not_hold_the_key)
{
    bbl_key_index index = BBL_KEY_INDEX_INIT;
    bbl_str key = {"0123456789abcdef", BBL_KEY_HASH_BYTES};

    bbl_key_index_add(&index, key, 1);
    ck_assert_ptr_null(
        memmem(index.slots, bbl_key_index_get_allocated(&index), key.ptr, 8));
    bbl_key_index_free(&index);
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("key index");
    TCase *t = tcase_create("key index");

    tcase_add_test(t, each_key_is_found_with_its_owner);
    tcase_add_test(t, the_index_does_not_hold_the_key);
    suite_add_tcase(s, t);
    return run_suite(s);
}
