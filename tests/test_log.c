/*
 * Checks that docs/LOG-EVENTS.md lists exactly the events of the event table,
 * that the pages of settings list exactly the settings, and that a stalled
 * reader of the log does not block the threads that log.
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

START_TEST(events_page_matches_the_table)
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

/* Checks that a page lists exactly the settings of `table`. */
static void
check_settings_page(const char *path, const bbl_setting *table, size_t count)
{
    bbl_buf page = read_page(path);

    for (size_t i = 0; i < count; i++) {
        const bbl_setting *s = &table[i];
        char line[512];

        snprintf(line, sizeof(line), "| `--%s` | `%s` | %s | %s | %s | %s |",
                 s->flag, s->variable,
                 s->default_value == NULL      ? "required"
                 : s->default_value[0] == '\0' ? "unset"
                                               : s->default_value,
                 s->unit, s->range, s->help);
        ck_assert_msg(strstr(page.ptr, line) != NULL, "missing: %s", line);
    }
    ck_assert_uint_eq(count_rows(page.ptr, "\n| `--"), count);
    bbl_buf_free(&page);
}

START_TEST(settings_pages_match_the_settings)
{
    size_t count = 0;

    while (bbl_daemon_setting_at(count) != NULL) {
        count++;
    }
    check_settings_page("docs/operating/settings.md", bbl_daemon_setting_at(0),
                        count);
    for (count = 0; bbl_node_settings[count].flag != NULL;) {
        count++;
    }
    check_settings_page("docs/operating/forward-settings.md",
                        bbl_node_settings, count);
}
END_TEST

/* ---- the queue ---- */

#define FLOOD_ROUNDS 3000 /* of two lines; more than queue and pipe hold */

/* Logs more lines than are read; returns the time this took, in seconds. */
static double
write_flood(void)
{
    struct timespec from;
    struct timespec to;

    clock_gettime(CLOCK_MONOTONIC, &from);
    for (int i = 0; i < FLOOD_ROUNDS; i++) {
        bbl_log(BBL_EV_REQUEST, "id=%d outcome=ok", i);
        bbl_log(BBL_EV_REQUEST_FAILED, "id=%d outcome=busy", i);
        bbl_log_flush();
    }
    clock_gettime(CLOCK_MONOTONIC, &to);
    return (double)(to.tv_sec - from.tv_sec) +
           (double)(to.tv_nsec - from.tv_nsec) / 1e9;
}

START_TEST(stalled_reader_does_not_block)
{
    int pipes[2];
    int out = dup(STDOUT_FILENO);
    char text[4096];
    ssize_t n;
    bool reported = false;

    fflush(stdout);
    ck_assert_int_eq(pipe(pipes), 0);
    dup2(pipes[1], STDOUT_FILENO);
    bbl_log_setup(BBL_LOG_INFO, 7);
    bbl_log_enable_queue(100000);
    ck_assert(write_flood() < 2);
    ck_assert_uint_gt(bbl_log_lost_lines(), 0);
    /*
     * When the reader continues, logging resumes and a lost-lines event
     * reports the number of dropped lines.
     */
    for (int i = 0; i < 400 && !reported; i++) {
        n = read(pipes[0], text, sizeof(text) - 1);
        ck_assert_int_gt(n, 0);
        text[n] = '\0';
        reported = strstr(text, "BBL1007") != NULL;
        bbl_log_flush();
    }
    dup2(out, STDOUT_FILENO);
    ck_assert(reported);
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

    tcase_add_test(tc, events_page_matches_the_table);
    tcase_add_test(tc, settings_pages_match_the_settings);
    tcase_add_test(tc, stalled_reader_does_not_block);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
