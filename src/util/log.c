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

#define LINE_MAX_BYTES 1024
#define QUEUE_BYTES 131072 /* some seconds of lines at the usual budget */
#define BURST_SECONDS 4    /* of the budget, that may be used at once */

static const bbl_log_row rows[] = {
#define BBL_LOG_ROW(symbol, number, level, name, meaning)                     \
    {BBL_EV_##symbol, BBL_LOG_##level, name, meaning},
    BBL_LOG_EVENTS(BBL_LOG_ROW)
#undef BBL_LOG_ROW
};

static const char *const level_names[] = {"error", "warn", "info", "debug"};

static bbl_log_level least_level = BBL_LOG_INFO;
static unsigned own_host;

/* Tokens of one kind of line. */
typedef struct {
    double left;
    double per_s;
} line_budget;

static pthread_mutex_t queue_lock = PTHREAD_MUTEX_INITIALIZER;
static bool deferred;
static char queue[QUEUE_BYTES];
static size_t queued;
static line_budget info_budget;
static line_budget other_budget;
static double budget_filled; /* seconds */
static uint64_t lost;
static uint64_t lost_told;

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

/* Fills in the head of a line; returns its size. */
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
                                (int)row->number, row->name, own_host);
}

static void
write_now(const char *line, size_t size)
{
    if (write(STDOUT_FILENO, line, size) < 0) {
        lost++; /* nowhere left to say it */
    }
}

static bool
take_token(const bbl_log_row *row)
{
    struct timespec ts;
    line_budget *b = row->level >= BBL_LOG_INFO ? &info_budget : &other_budget;
    double now;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    now = (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
    for (int i = 0; i < 2; i++) {
        line_budget *each = i == 0 ? &info_budget : &other_budget;

        each->left += each->per_s * (now - budget_filled);
        if (each->left > BURST_SECONDS * each->per_s) {
            each->left = BURST_SECONDS * each->per_s;
        }
    }
    budget_filled = now;
    if (b->left < 1) {
        return false;
    }
    b->left -= 1;
    return true;
}

static void
queue_line(const bbl_log_row *row, const char *line, size_t size)
{
    pthread_mutex_lock(&queue_lock);
    if (!take_token(row) || queued + size > QUEUE_BYTES) {
        lost++;
    }
    else {
        memcpy(queue + queued, line, size);
        queued += size;
    }
    pthread_mutex_unlock(&queue_lock);
}

void
bbl_log(bbl_log_event event, const char *fmt, ...)
{
    const bbl_log_row *row = row_of(event);
    char line[LINE_MAX_BYTES];
    struct timespec ts;
    size_t n;
    int m;
    va_list ap;

    if (row->level > least_level) {
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
    if (deferred) {
        queue_line(row, line, n);
    }
    else {
        write_now(line, n);
    }
}

void
bbl_log_enable_queue(unsigned lines_per_s)
{
    pthread_mutex_lock(&queue_lock);
    deferred = true;
    info_budget =
        (line_budget){lines_per_s * BURST_SECONDS / 2.0, lines_per_s / 2.0};
    other_budget = info_budget;
    pthread_mutex_unlock(&queue_lock);
}

/* Writes whole lines while the reader takes them without a wait. */
static void
write_queue(void)
{
    size_t done = 0;

    while (done < queued) {
        struct pollfd p = {STDOUT_FILENO, POLLOUT, 0};
        size_t size = queued - done < PIPE_BUF ? queued - done : PIPE_BUF;
        ssize_t n;

        if (poll(&p, 1, 0) != 1 || (p.revents & POLLOUT) == 0) {
            break;
        }
        /* A pipe that polls as writable takes PIPE_BUF bytes at once. */
        n = write(STDOUT_FILENO, queue + done, size);
        if (n <= 0) {
            break;
        }
        done += (size_t)n;
    }
    memmove(queue, queue + done, queued - done);
    queued -= done;
}

void
bbl_log_flush(void)
{
    uint64_t gone;

    pthread_mutex_lock(&queue_lock);
    if (queued > 0) {
        write_queue();
    }
    gone = queued < QUEUE_BYTES / 2 ? lost - lost_told : 0;
    lost_told += gone;
    pthread_mutex_unlock(&queue_lock);
    if (gone > 0) {
        bbl_log(BBL_EV_LOST_LINES, "lines=%llu", (unsigned long long)gone);
    }
}

uint64_t
bbl_log_lost_lines(void)
{
    uint64_t n;

    pthread_mutex_lock(&queue_lock);
    n = lost;
    pthread_mutex_unlock(&queue_lock);
    return n;
}
