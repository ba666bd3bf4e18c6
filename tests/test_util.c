#include <string.h>

#include "bbl/errors.h"
#include "support/run.h"
#include "util/buf.h"
#include "util/histogram.h"
#include "util/map.h"
#include "util/rng.h"
#include "util/vec.h"

START_TEST(buf_holds_bytes_and_consumes)
{
    bbl_buf buf = BBL_BUF_INIT;

    bbl_buf_append(&buf, "ab\0cd", 5);
    bbl_buf_printf(&buf, "%d", 42);
    ck_assert_uint_eq(buf.size, 7);
    ck_assert_int_eq(memcmp(buf.ptr, "ab\0cd42", 7), 0);
    bbl_buf_consume(&buf, 3);
    ck_assert_str_eq(buf.ptr, "cd42");
    bbl_buf_consume(&buf, 100);
    ck_assert_uint_eq(buf.size, 0);
    bbl_buf_free(&buf);
}
END_TEST

START_TEST(vec_removes_in_both_ways)
{
    bbl_vec vec = BBL_VEC_INIT(int);

    for (int i = 0; i < 100; i++) {
        bbl_vec_push(&vec, &i);
    }
    bbl_vec_remove(&vec, 0);
    ck_assert_int_eq(*BBL_VEC_AT(int, &vec, 0), 1);
    bbl_vec_swap_remove(&vec, 0);
    ck_assert_int_eq(*BBL_VEC_AT(int, &vec, 0), 99);
    ck_assert_uint_eq(vec.size, 98);
    bbl_vec_free(&vec);
}
END_TEST

/* The map must agree with a plain array under random sets and removals. */
START_TEST(map_agrees_with_an_array)
{
    static char values[512];
    char *model[512] = {0};
    bbl_map map = BBL_MAP_INIT;
    bbl_rng rng = {7};
    size_t count = 0;
    size_t pos = 0;

    for (int i = 0; i < 50000; i++) {
        uint64_t key = bbl_rng_below(&rng, 512);

        if (bbl_rng_below(&rng, 2) == 0) {
            bbl_map_set(&map, key << 40, &values[key]);
            model[key] = &values[key];
        }
        else {
            ck_assert_ptr_eq(bbl_map_remove(&map, key << 40), model[key]);
            model[key] = NULL;
        }
    }
    for (uint64_t key = 0; key < 512; key++) {
        ck_assert_ptr_eq(bbl_map_get(&map, key << 40), model[key]);
        count += model[key] != NULL;
    }
    ck_assert_uint_eq(map.size, count);
    while (bbl_map_next(&map, &pos) != NULL) {
        count--;
    }
    ck_assert_uint_eq(count, 0);
    bbl_map_free(&map);
}
END_TEST

START_TEST(histogram_quantiles_stay_within_a_sixteenth)
{
    static bbl_histogram h;

    for (uint32_t i = 1; i <= 100000; i++) {
        bbl_histogram_add(&h, i);
    }
    for (int p = 1; p < 100; p++) {
        double exact = p * 1000.0;
        double got = bbl_histogram_quantile(&h, p / 100.0);

        ck_assert(got >= exact * 0.99 && got <= exact * 1.07);
    }
    bbl_histogram_decay(&h);
    ck_assert(h.count <= 50000);
}
END_TEST

START_TEST(error_numbers_have_names)
{
    ck_assert_int_eq(bbl_error_set(BBL_EIO, "disk %d", 3), BBL_EIO);
    ck_assert_str_eq(bbl_error_last(), "disk 3");
    ck_assert_str_eq(bbl_error_name(BBL_ELOCKED), "locked");
    ck_assert_str_eq(bbl_error_name(1), "unknown");
    ck_assert_str_eq(bbl_error_name(-99), "unknown");
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("util");
    TCase *tc = tcase_create("util");

    tcase_add_test(tc, buf_holds_bytes_and_consumes);
    tcase_add_test(tc, vec_removes_in_both_ways);
    tcase_add_test(tc, map_agrees_with_an_array);
    tcase_add_test(tc, histogram_quantiles_stay_within_a_sixteenth);
    tcase_add_test(tc, error_numbers_have_names);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
