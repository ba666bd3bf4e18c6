/*
 * slow_reader.c - callers on kept connections that read a long answer without
 * a pause, at the speed of their links.
 *
 * usage: slow_reader RECORD ADDRESS CONNECTIONS BYTES BYTES_PER_S
 *
 * Each caller sends a request with a short answer and then, on the same
 * connection, one whose answer has BYTES. BYTES_PER_S is the speed of the
 * link of a caller; 0 is as fast as possible. Exits with the number of long
 * answers that ended early, or with 200 if a caller could not do its part.
 */
#define _GNU_SOURCE

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CALLERS_MAX 64
#define FAILED_STATUS 200
#define HEAD_MAX_BYTES 8192
#define READ_MAX_BYTES 65536
#define SHORT_BYTES 100
/* A link of this speed has small windows. */
#define SLOW_WINDOW_BYTES 65536
/* Reads in a second, so that no pause between two is noticeable. */
#define READS_PER_S 20
/* The time for which a caller waits, Deadline-Ms. */
#define DEADLINE_MS 90000
#define RECEIVE_TIMEOUT_S 40

typedef struct {
    unsigned number;
    int fd;
    int outcome; /* 0: complete, 1: ended early, FAILED_STATUS */
} caller;

static struct sockaddr_in entry;
static size_t long_bytes;
static size_t bytes_per_s;
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static double
get_seconds(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

/* Waits until this many bytes can have come over the link. */
static void
wait_for_link(double started, size_t bytes, size_t speed)
{
    double due = started + (speed > 0 ? (double)bytes / (double)speed : 0);
    double wait = due - get_seconds();

    if (wait > 0) {
        usleep((useconds_t)(wait * 1e6));
    }
}

/*
 * Sends a request and reads its answer. Returns 0 if it is complete and a
 * success, 1 if the connection ended before its end, else FAILED_STATUS.
 */
static int
exchange(const caller *c, size_t bytes, size_t speed)
{
    char head[HEAD_MAX_BYTES + 1];
    char chunk[READ_MAX_BYTES];
    size_t step = speed > 0 ? speed / READS_PER_S : sizeof(chunk);
    size_t have = 0;
    size_t length = 0;
    size_t got = 0;
    double started = get_seconds();
    const char *end = NULL;
    const char *field;
    int status = 0;
    ssize_t n = 0;
    int outcome;

    snprintf(head, sizeof(head),
             "GET /one/%zu HTTP/1.1\r\nHost: a.example\r\n"
             "Request-Id: caller-%u-%zu\r\nDeadline-Ms: %d\r\n\r\n",
             bytes, c->number, bytes, DEADLINE_MS);
    if (send(c->fd, head, strlen(head), MSG_NOSIGNAL) !=
        (ssize_t)strlen(head)) {
        return FAILED_STATUS;
    }
    while (end == NULL && have < HEAD_MAX_BYTES) {
        n = recv(c->fd, head + have, 1, 0);
        if (n <= 0) {
            break;
        }
        have += (size_t)n;
        head[have] = '\0';
        end = strstr(head, "\r\n\r\n");
    }
    if (end != NULL) {
        field = strcasestr(head, "\r\nContent-Length:");
        length = field != NULL ? strtoul(field + 17, NULL, 10) : 0;
        status = atoi(head + 9);
    }
    step = step < sizeof(chunk) ? step : sizeof(chunk);
    while (end != NULL && got < length) {
        n = recv(c->fd, chunk, step < length - got ? step : length - got, 0);
        if (n <= 0) {
            break;
        }
        got += (size_t)n;
        wait_for_link(started, got, speed);
    }
    outcome = end == NULL || got < length        ? 1
              : status == 200 && length == bytes ? 0
                                                 : FAILED_STATUS;
    pthread_mutex_lock(&record_lock);
    fprintf(record,
            "caller %u asked for %zu bytes: status %d, %zu of %zu bytes in "
            "%.1f s, %s\n",
            c->number, bytes, status, got, length, get_seconds() - started,
            outcome == 0   ? "complete"
            : outcome == 1 ? "the connection ended early"
                           : "another answer");
    fflush(record);
    pthread_mutex_unlock(&record_lock);
    return outcome;
}

static void *
run_caller(void *ctx)
{
    caller *c = ctx;
    struct timeval timeout = {RECEIVE_TIMEOUT_S, 0};
    int window = SLOW_WINDOW_BYTES;

    c->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    c->outcome = FAILED_STATUS;
    if (bytes_per_s > 0) {
        setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    }
    setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (connect(c->fd, (struct sockaddr *)&entry, sizeof(entry)) == 0 &&
        exchange(c, SHORT_BYTES, 0) == 0) {
        c->outcome = exchange(c, long_bytes, bytes_per_s);
    }
    close(c->fd);
    return NULL;
}

int
main(int argc, char **argv)
{
    static caller callers[CALLERS_MAX];
    pthread_t threads[CALLERS_MAX];
    unsigned count;
    int early = 0;
    char *colon;

    if (argc != 6 || (record = fopen(argv[1], "a")) == NULL ||
        (colon = strrchr(argv[2], ':')) == NULL) {
        fprintf(stderr,
                "usage: %s RECORD ADDRESS CONNECTIONS BYTES BYTES_PER_S\n",
                argv[0]);
        return FAILED_STATUS;
    }
    *colon = '\0';
    entry.sin_family = AF_INET;
    entry.sin_port = htons((uint16_t)atoi(colon + 1));
    count = (unsigned)atoi(argv[3]);
    long_bytes = strtoul(argv[4], NULL, 10);
    bytes_per_s = strtoul(argv[5], NULL, 10);
    if (inet_pton(AF_INET, argv[2], &entry.sin_addr) != 1 ||
        count > CALLERS_MAX) {
        return FAILED_STATUS;
    }
    for (unsigned i = 0; i < count; i++) {
        callers[i].number = i;
        if (pthread_create(&threads[i], NULL, run_caller, &callers[i]) != 0) {
            return FAILED_STATUS;
        }
    }
    for (unsigned i = 0; i < count; i++) {
        pthread_join(threads[i], NULL);
        if (callers[i].outcome == FAILED_STATUS) {
            return FAILED_STATUS;
        }
        early += callers[i].outcome;
    }
    return early;
}
