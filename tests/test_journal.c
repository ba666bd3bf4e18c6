#include <string.h>

#include "bbl/errors.h"
#include "control/journal.h"
#include "support/memdisk.h"
#include "support/run.h"

static bbl_str
str(const char *text)
{
    return (bbl_str){text, strlen(text)};
}

/* Makes a journal with a vote and entries 1 to `n`, all synced. */
static void
fill(memdisk *m, int n)
{
    bbl_journal *j;

    ck_assert_int_eq(bbl_journal_create(&j, memdisk_open(m), 77, true), 0);
    ck_assert_int_eq(bbl_journal_append_vote(j, 3, 2), 0);
    for (int i = 1; i <= n; i++) {
        ck_assert_int_eq(
            bbl_journal_append_entry(j, (uint64_t)i, 3, str("data")), 0);
    }
    ck_assert_int_eq(bbl_journal_sync(j), 0);
    bbl_journal_free(j);
}

START_TEST(what_was_synced_comes_back)
{
    memdisk m;
    bbl_journal *j;
    bbl_journal_image image;

    memdisk_init(&m);
    fill(&m, 10);
    ck_assert_int_eq(bbl_journal_open(&j, &image, memdisk_open(&m)), 0);
    ck_assert_uint_eq(image.disk_id, 77);
    ck_assert(image.bootstrapped);
    ck_assert_uint_eq(image.term, 3);
    ck_assert_uint_eq(image.voted_for, 2);
    ck_assert_uint_eq(image.entries.size, 10);
    ck_assert_int_eq(bbl_journal_truncate(j, 4), 0);
    ck_assert_int_eq(bbl_journal_append_entry(j, 4, 5, str("other")), 0);
    ck_assert_int_eq(bbl_journal_sync(j), 0);
    bbl_journal_image_free(&image);
    bbl_journal_free(j);
    ck_assert_int_eq(bbl_journal_open(&j, &image, memdisk_open(&m)), 0);
    ck_assert_uint_eq(image.entries.size, 4);
    ck_assert_uint_eq(BBL_VEC_AT(bbl_journal_entry, &image.entries, 3)->term,
                      5);
    bbl_journal_image_free(&image);
    bbl_journal_free(j);
    memdisk_free(&m);
}
END_TEST

/* A journal cut at any byte of its last record opens without that record. */
START_TEST(torn_tail_is_dropped)
{
    memdisk m;
    memdisk_file *f;
    size_t whole;
    size_t before;

    memdisk_init(&m);
    fill(&m, 3);
    f = memdisk_find_file(&m, "journal");
    whole = f->written.size;
    before = whole - (whole - (size_t)40 * 5) / 3;
    for (size_t size = whole - 1; size > before; size--) {
        bbl_journal *j;
        bbl_journal_image image;

        f->written.size = size;
        ck_assert_int_eq(bbl_journal_open(&j, &image, memdisk_open(&m)), 0);
        ck_assert_uint_eq(image.entries.size, 2);
        bbl_journal_image_free(&image);
        bbl_journal_free(j);
        f->written.size = whole;
    }
    memdisk_free(&m);
}
END_TEST

/* A flipped bit anywhere refuses the start: no record is quietly lost. */
START_TEST(bit_flips_are_refused)
{
    memdisk m;
    memdisk_file *f;
    bbl_journal *j;
    bbl_journal_image image;

    memdisk_init(&m);
    fill(&m, 4);
    f = memdisk_find_file(&m, "journal");
    for (size_t at = 0; at < f->written.size; at++) {
        int error;

        f->written.ptr[at] ^= 0x10;
        error = bbl_journal_open(&j, &image, memdisk_open(&m));
        ck_assert_msg(error == BBL_EDAMAGED, "byte %zu gave %d", at, error);
        f->written.ptr[at] ^= 0x10;
    }
    memdisk_free(&m);
}
END_TEST

START_TEST(second_process_is_locked_out)
{
    memdisk m;
    bbl_journal *j;
    bbl_journal *k;
    bbl_journal_image image;

    memdisk_init(&m);
    fill(&m, 1);
    ck_assert_int_eq(bbl_journal_open(&j, &image, memdisk_open(&m)), 0);
    bbl_journal_image_free(&image);
    ck_assert_int_eq(bbl_journal_open(&k, &image, memdisk_open(&m)),
                     BBL_ELOCKED);
    bbl_journal_free(j);
    memdisk_free(&m);
}
END_TEST

/*
 * Whichever disk call fails, and with either error: what was acknowledged by
 * a sync before is there after the crash, and the journal takes no more.
 */
START_TEST(failed_calls_lose_nothing_acknowledged)
{
    static const int codes[] = {BBL_EIO, BBL_ENOSPACE};

    for (unsigned call = 1; call < 40; call++) {
        memdisk m;
        bbl_journal *j;
        bbl_journal_image image;
        bbl_rng rng = {call};
        uint64_t acknowledged = 0;
        bool failed = false;

        memdisk_init(&m);
        fill(&m, 1);
        ck_assert_int_eq(bbl_journal_open(&j, &image, memdisk_open(&m)), 0);
        m.fail_at = m.calls + call;
        m.fail_code = codes[call % 2];
        m.fail_with_partial_write = call % 3 == 0;
        for (uint64_t i = 2; i < 12; i++) {
            int error = bbl_journal_append_entry(j, i, 4, str("x"));

            error = error ? error : bbl_journal_sync(j);
            ck_assert(!failed || error != 0);
            failed = failed || error != 0;
            acknowledged = failed ? acknowledged : i;
        }
        bbl_journal_image_free(&image);
        bbl_journal_free(j);
        m.fail_at = 0;
        memdisk_crash(&m, &rng);
        ck_assert_int_eq(bbl_journal_open(&j, &image, memdisk_open(&m)), 0);
        ck_assert(image.entries.size >= acknowledged);
        bbl_journal_image_free(&image);
        bbl_journal_free(j);
        memdisk_free(&m);
    }
}
END_TEST

START_TEST(compaction_is_all_or_nothing)
{
    for (unsigned call = 0; call < 6; call++) {
        memdisk m;
        bbl_journal *j;
        bbl_journal_image image;
        bbl_rng rng = {call};
        int error;

        memdisk_init(&m);
        fill(&m, 6);
        ck_assert_int_eq(bbl_journal_open(&j, &image, memdisk_open(&m)), 0);
        for (int i = 0; i < 4; i++) {
            bbl_buf_free(
                &BBL_VEC_AT(bbl_journal_entry, &image.entries, 0)->data);
            bbl_vec_remove(&image.entries, 0);
        }
        image.snapshot_index = 4;
        image.snapshot_term = 3;
        bbl_buf_append_cstr(&image.snapshot, "state");
        m.fail_at = call ? m.calls + call : 0;
        m.fail_code = BBL_EIO;
        error = bbl_journal_compact(j, &image);
        ck_assert((call >= 1 && call <= 4) == (error != 0));
        bbl_journal_image_free(&image);
        bbl_journal_free(j);
        m.fail_at = 0;
        memdisk_crash(&m, &rng);
        ck_assert_int_eq(bbl_journal_open(&j, &image, memdisk_open(&m)), 0);
        ck_assert_uint_eq(image.snapshot_index + image.entries.size, 6);
        bbl_journal_image_free(&image);
        bbl_journal_free(j);
        memdisk_free(&m);
    }
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("journal");
    TCase *tc = tcase_create("journal");

    tcase_add_test(tc, what_was_synced_comes_back);
    tcase_add_test(tc, torn_tail_is_dropped);
    tcase_add_test(tc, bit_flips_are_refused);
    tcase_add_test(tc, second_process_is_locked_out);
    tcase_add_test(tc, failed_calls_lose_nothing_acknowledged);
    tcase_add_test(tc, compaction_is_all_or_nothing);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
