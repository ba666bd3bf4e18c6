#include "util/log.h"

#include <errno.h>
#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "bbl/errors.h"

#define LINE_MAX_BYTES 1024 /* longer lines are truncated */
#define QUEUE_BYTES 131072  /* some seconds of lines at the default rate */
#define BURST_SECONDS 4     /* of the rate limit, available as a burst */

static const bbl_log_row rows[] = {
#define BBL_LOG_ROW(symbol, number, level, name, meaning)                     \
    {BBL_EV_##symbol, BBL_LOG_##level, name, meaning},
    BBL_LOG_EVENTS(BBL_LOG_ROW)
#undef BBL_LOG_ROW
};

static const char *const level_names[] = {"error", "warn", "info", "debug"};

static bbl_log_level threshold = BBL_LOG_INFO;
static unsigned host_id;

/* A token bucket that limits the rate of lines; a line uses one token. */
typedef struct {
    double tokens;
    double tokens_per_s;
} line_budget;

static pthread_mutex_t queue_lock = PTHREAD_MUTEX_INITIALIZER;
static bool queue_enabled;
static char queue[QUEUE_BYTES];
static size_t queue_size;        /* bytes */
static line_budget info_budget;  /* for BBL_LOG_INFO and BBL_LOG_DEBUG */
static line_budget other_budget; /* for BBL_LOG_WARN and BBL_LOG_ERROR */
static double budget_refilled_s; /* monotonic time of the last refill */
static uint64_t lost_lines;
static uint64_t lost_reported; /* lost lines in earlier lost-lines events */

const bbl_log_row *
bbl_log_row_at(unsigned i)
{
    return i < sizeof(rows) / sizeof(rows[0]) ? &rows[i] : NULL;
}

void
bbl_log_setup(bbl_log_level max_level, unsigned host)
{
    threshold = max_level;
    host_id = host;
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
    return bbl_error_set(BBL_EINVAL,
                         "the log level must be error, warn, info or debug");
}

static const bbl_log_row *
find_row(bbl_log_event event)
{
    unsigned i = 0;

    while (rows[i].number != event) {
        i++;
    }
    return &rows[i];
}

/* Formats the part of a line before its key=value pairs; returns its size. */
static size_t
format_head(char *line, size_t size, const bbl_log_row *row,
            const struct timespec *ts)
{
    struct tm tm;
    size_t n;

    gmtime_r(&ts->tv_sec, &tm);
    n = strftime(line, size, "%Y-%m-%dT%H:%M:%S", &tm);
    return n + (size_t)snprintf(line + n, size - n,
                                ".%03ldZ %s BBL%d %s host=%u ",
                                ts->tv_nsec / 1000000, level_names[row->level],
                                (int)row->number, row->name, host_id);
}

static void
write_line(const char *line, size_t size)
{
    if (write(STDOUT_FILENO, line, size) < 0) {
        lost_lines++; /* the failure cannot be logged */
    }
}

/*
 * Refills both budgets and consumes a token of the one for `row`; returns
 * false if that one is empty.
 */
static bool
consume_token(const bbl_log_row *row)
{
    struct timespec ts;
    line_budget *b = row->level >= BBL_LOG_INFO ? &info_budget : &other_budget;
    double now;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    now = (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
    for (int i = 0; i < 2; i++) {
        line_budget *each = i == 0 ? &info_budget : &other_budget;

        each->tokens += each->tokens_per_s * (now - budget_refilled_s);
        if (each->tokens > BURST_SECONDS * each->tokens_per_s) {
            each->tokens = BURST_SECONDS * each->tokens_per_s;
        }
    }
    budget_refilled_s = now;
    if (b->tokens < 1) {
        return false;
    }
    b->tokens -= 1;
    return true;
}

static void
queue_line(const bbl_log_row *row, const char *line, size_t size)
{
    pthread_mutex_lock(&queue_lock);
    if (!consume_token(row) || queue_size + size > QUEUE_BYTES) {
        lost_lines++;
    }
    else {
        memcpy(queue + queue_size, line, size);
        queue_size += size;
    }
    pthread_mutex_unlock(&queue_lock);
}

void
bbl_log(bbl_log_event event, const char *fmt, ...)
{
    const bbl_log_row *row = find_row(event);
    char line[LINE_MAX_BYTES];
    struct timespec ts;
    size_t n;
    int m;
    va_list ap;

    if (row->level > threshold) {
        return;
    }
    clock_gettime(CLOCK_REALTIME, &ts);
    n = format_head(line, sizeof(line), row, &ts);
    va_start(ap, fmt);
    m = vsnprintf(line + n, sizeof(line) - n - 1, fmt, ap);
    va_end(ap);
    n += m > 0 ? (size_t)m : 0;
    n = n > sizeof(line) - 2 ? sizeof(line) - 2 : n;
    line[n++] = '\n';
    if (queue_enabled) {
        queue_line(row, line, n);
    }
    else {
        write_line(line, n);
    }
}

void
bbl_log_enable_queue(unsigned lines_per_s)
{
    pthread_mutex_lock(&queue_lock);
    queue_enabled = true;
    info_budget =
        (line_budget){lines_per_s * BURST_SECONDS / 2.0, lines_per_s / 2.0};
    other_budget = info_budget;
    pthread_mutex_unlock(&queue_lock);
}

/* Writes the queue as far as standard output accepts it without blocking. */
static void
write_queue(void)
{
    size_t done = 0;

    while (done < queue_size) {
        struct pollfd p = {STDOUT_FILENO, POLLOUT, 0};
        size_t size =
            queue_size - done < PIPE_BUF ? queue_size - done : PIPE_BUF;
        ssize_t n;

        if (poll(&p, 1, 0) != 1 || (p.revents & POLLOUT) == 0) {
            break;
        }
        /* A pipe that polls as writable accepts PIPE_BUF bytes. */
        n = write(STDOUT_FILENO, queue + done, size);
        if (n <= 0) {
            break;
        }
        done += (size_t)n;
    }
    memmove(queue, queue + done, queue_size - done);
    queue_size -= done;
}

void
bbl_log_flush(void)
{
    uint64_t unreported;

    pthread_mutex_lock(&queue_lock);
    if (queue_size > 0) {
        write_queue();
    }
    unreported = queue_size < QUEUE_BYTES / 2 ? lost_lines - lost_reported : 0;
    lost_reported += unreported;
    pthread_mutex_unlock(&queue_lock);
    if (unreported > 0) {
        bbl_log(BBL_EV_LOST_LINES, "lines=%llu",
                (unsigned long long)unreported);
    }
}

uint64_t
bbl_log_lost_lines(void)
{
    uint64_t n;

    pthread_mutex_lock(&queue_lock);
    n = lost_lines;
    pthread_mutex_unlock(&queue_lock);
    return n;
}
