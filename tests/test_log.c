/*
 * docs/LOG-EVENTS.md must list exactly the events of the catalogue, and
 * docs/operating/settings.md exactly the settings.
 */
#include <stdio.h>
#include <string.h>

#include "daemon/options.h"
#include "support/run.h"
#include "util/buf.h"
#include "util/log.h"

static bbl_buf
read_page(const char *path)
{
    bbl_buf page = BBL_BUF_INIT;
    FILE *f = fopen(path, "re");
    char chunk[4096];
    size_t n;

    ck_assert_msg(f != NULL, "%s is missing", path);
    while ((n = fread(chunk, 1, sizeof(chunk), f)) > 0) {
        bbl_buf_put(&page, chunk, n);
    }
    fclose(f);
    return page;
}

static unsigned
count_rows(const char *page, const char *start)
{
    unsigned n = 0;

    for (const char *at = page; (at = strstr(at, start)) != NULL; at++) {
        n++;
    }
    return n;
}

START_TEST(events_page_equals_the_catalogue)
{
    static const char *const levels[] = {"error", "warn", "info", "debug"};
    bbl_buf page = read_page("docs/LOG-EVENTS.md");
    unsigned count = 0;

    for (; bbl_log_row_at(count) != NULL; count++) {
        const bbl_log_row *row = bbl_log_row_at(count);
        char line[256];

        snprintf(line, sizeof(line), "| BBL%d | %s | %s | %s |",
                 (int)row->number, levels[row->level], row->name,
                 row->meaning);
        ck_assert_msg(strstr(page.ptr, line) != NULL, "missing: %s", line);
    }
    ck_assert_uint_eq(count_rows(page.ptr, "\n| BBL"), count);
    bbl_buf_free(&page);
}
END_TEST

START_TEST(settings_page_equals_the_settings)
{
    bbl_buf page = read_page("docs/operating/settings.md");
    size_t count = 0;

    for (; bbl_setting_at(count) != NULL; count++) {
        const bbl_setting *s = bbl_setting_at(count);
        char line[512];

        snprintf(line, sizeof(line), "| `--%s` | `%s` | %s | %s | %s | %s |",
                 s->flag, s->variable,
                 s->value == NULL      ? "required"
                 : s->value[0] == '\0' ? "unset"
                                       : s->value,
                 s->unit, s->range, s->help);
        ck_assert_msg(strstr(page.ptr, line) != NULL, "missing: %s", line);
    }
    ck_assert_uint_eq(count_rows(page.ptr, "\n| `--"), count);
    bbl_buf_free(&page);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("log");
    TCase *tc = tcase_create("log");

    tcase_add_test(tc, events_page_equals_the_catalogue);
    tcase_add_test(tc, settings_page_equals_the_settings);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
