/*
 * docs/LOG-EVENTS.md must list exactly the events of the catalogue, and
 * the pages of settings exactly the settings; a stuck reader of the log
 * delays nobody.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "daemon/node_options.h"
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
        bbl_buf_append(&page, chunk, n);
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

/* Checks that a page lists exactly the settings of one table. */
static void
check_settings_page(const char *path, const bbl_setting *table, size_t count)
{
    bbl_buf page = read_page(path);

    for (size_t i = 0; i < count; i++) {
        const bbl_setting *s = &table[i];
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

START_TEST(settings_pages_equal_the_settings)
{
    size_t count = 0;

    while (bbl_setting_at(count) != NULL) {
        count++;
    }
    check_settings_page("docs/operating/settings.md", bbl_setting_at(0),
                        count);
    for (count = 0; bbl_node_settings[count].flag != NULL;) {
        count++;
    }
    check_settings_page("docs/operating/forward-settings.md",
                        bbl_node_settings, count);
}
END_TEST

/* ---- the queue ---- */

#define FLOOD 3000 /* lines, more than the queue and a pipe hold */

/* Returns how long a flood of lines takes, in seconds. */
static double
flood(void)
{
    struct timespec from;
    struct timespec to;

    clock_gettime(CLOCK_MONOTONIC, &from);
    for (int i = 0; i < FLOOD; i++) {
        bbl_log(BBL_EV_REQUEST, "id=%d outcome=ok", i);
        bbl_log(BBL_EV_REQUEST_FAILED, "id=%d outcome=busy", i);
        bbl_log_flush();
    }
    clock_gettime(CLOCK_MONOTONIC, &to);
    return (double)(to.tv_sec - from.tv_sec) +
           (double)(to.tv_nsec - from.tv_nsec) / 1e9;
}

START_TEST(a_reader_that_stops_delays_nothing)
{
    int pipes[2];
    int out = dup(STDOUT_FILENO);
    char text[4096];
    ssize_t n;
    bool told = false;

    fflush(stdout);
    ck_assert_int_eq(pipe(pipes), 0);
    dup2(pipes[1], STDOUT_FILENO);
    bbl_log_setup(BBL_LOG_INFO, 7);
    bbl_log_enable_queue(100000);
    ck_assert(flood() < 2);
    ck_assert_uint_gt(bbl_log_lost_lines(), 0);
    /* When it reads again, the lines go on and say how many are missing. */
    for (int i = 0; i < 400 && !told; i++) {
        n = read(pipes[0], text, sizeof(text) - 1);
        ck_assert_int_gt(n, 0);
        text[n] = '\0';
        told = strstr(text, "BBL1007") != NULL;
        bbl_log_flush();
    }
    dup2(out, STDOUT_FILENO);
    ck_assert(told);
    close(pipes[0]);
    close(pipes[1]);
    close(out);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("log");
    TCase *tc = tcase_create("log");

    tcase_add_test(tc, events_page_equals_the_catalogue);
    tcase_add_test(tc, settings_pages_equal_the_settings);
    tcase_add_test(tc, a_reader_that_stops_delays_nothing);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
