#include "util/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "bbl/errors.h"

#define LINE_MAX_BYTES 1024

static const bbl_log_row rows[] = {
#define BBL_LOG_ROW(symbol, number, level, name, meaning)                     \
    {BBL_EV_##symbol, BBL_LOG_##level, name, meaning},
    BBL_LOG_EVENTS(BBL_LOG_ROW)
#undef BBL_LOG_ROW
};

static const char *const level_names[] = {"error", "warn", "info", "debug"};

static bbl_log_level least_level = BBL_LOG_INFO;
static unsigned own_host;

const bbl_log_row *
bbl_log_row_at(unsigned i)
{
    return i < sizeof(rows) / sizeof(rows[0]) ? &rows[i] : NULL;
}

void
bbl_log_setup(bbl_log_level least, unsigned host)
{
    least_level = least;
    own_host = host;
}

int
bbl_log_level_parse(bbl_log_level *out, const char *text)
{
    for (int i = 0; i < 4; i++) {
        if (strcmp(text, level_names[i]) == 0) {
            *out = (bbl_log_level)i;
            return 0;
        }
    }
    return bbl_error_set(BBL_EINVAL, "log level is error, warn, info, debug");
}

static const bbl_log_row *
row_of(bbl_log_event event)
{
    unsigned i = 0;

    while (rows[i].number != event) {
        i++;
    }
    return &rows[i];
}

void
bbl_log(bbl_log_event event, const char *fmt, ...)
{
    const bbl_log_row *row = row_of(event);
    char line[LINE_MAX_BYTES];
    struct timespec ts;
    struct tm tm;
    size_t n;
    int m;
    va_list ap;

    if (row->level > least_level) {
        return;
    }
    clock_gettime(CLOCK_REALTIME, &ts);
    gmtime_r(&ts.tv_sec, &tm);
    n = strftime(line, sizeof(line), "%Y-%m-%dT%H:%M:%S", &tm);
    n += (size_t)snprintf(line + n, sizeof(line) - n,
                          ".%03ldZ %s BBL%d %s host=%u ", ts.tv_nsec / 1000000,
                          level_names[row->level], (int)event, row->name,
                          own_host);
    va_start(ap, fmt);
    m = vsnprintf(line + n, sizeof(line) - n - 1, fmt, ap);
    va_end(ap);
    n += m > 0 ? (size_t)m : 0;
    n = n > sizeof(line) - 2 ? sizeof(line) - 2 : n;
    line[n++] = '\n';
    if (write(STDERR_FILENO, line, n) < 0) {
        return; /* nowhere left to say it */
    }
}
