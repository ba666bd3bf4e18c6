/*
 * callers.c - sends requests at a constant rate for some seconds, each on a
 * connection of its own, to entry hosts in turn, and records when each was
 * sent and how it was answered.
 *
 * usage: callers RECORD METHOD PER_S SECONDS HOSTNAME PATH DEADLINE_MS
 *                ADDRESS...
 */
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"

#define OPEN_MAX 512
#define ADDRESSES_MAX 16

typedef struct {
    int fd; /* -1: not in use */
    int64_t sent_at;
    unsigned long number;
    char in[HEAD_MAX_BYTES];
    size_t size;
} call;

static call *calls;
static FILE *record;
static const char *hostname;
static const char *method;
static const char *path;
static int deadline_ms;

static void
end_call(call *c, const char *outcome)
{
    fprintf(record, "%lld call id=q%lu sent=%lld answer=%s\n",
            (long long)wall_ms(), c->number,
            (long long)(wall_ms() - (clock_ms() - c->sent_at)), outcome);
    close(c->fd);
    c->fd = -1;
}

static void
start_call(struct sockaddr_in to, unsigned long number)
{
    char text[512];
    call *c = NULL;
    int n;

    for (size_t i = 0; i < OPEN_MAX && c == NULL; i++) {
        c = calls[i].fd < 0 ? &calls[i] : NULL;
    }
    if (c == NULL) {
        return;
    }
    c->fd = connect_to(to);
    c->sent_at = clock_ms();
    c->number = number;
    c->size = 0;
    if (c->fd < 0) {
        fprintf(record, "%lld call id=q%lu sent=%lld answer=refused\n",
                (long long)wall_ms(), number, (long long)wall_ms());
        return;
    }
    n = snprintf(
        text, sizeof(text),
        "%s %s%lu HTTP/1.1\r\nHost: %s\r\nRequest-Id: q%lu\r\n"
        "Deadline-Ms: %d\r\nContent-Length: 0\r\nConnection: close\r\n"
        "\r\n",
        method, path, number, hostname, number, deadline_ms);
    if (send(c->fd, text, (size_t)n, MSG_NOSIGNAL) != n) {
        end_call(c, "closed");
    }
}

static void
read_call(call *c)
{
    char outcome[16];
    unsigned status;
    ssize_t n = recv(c->fd, c->in + c->size, sizeof(c->in) - 1 - c->size,
                     MSG_DONTWAIT);

    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n > 0) {
        c->size += (size_t)n;
        c->in[c->size] = '\0';
        if (find_head_end(c->in, c->size) == 0) {
            return;
        }
    }
    if (n > 0 && sscanf(c->in, "HTTP/1.1 %u", &status) == 1) {
        snprintf(outcome, sizeof(outcome), "%u", status);
        end_call(c, outcome);
    }
    else {
        end_call(c, "closed");
    }
}

static void
run_once(void)
{
    static struct pollfd fds[OPEN_MAX];
    static call *polled[OPEN_MAX];
    nfds_t count = 0;

    for (size_t i = 0; i < OPEN_MAX; i++) {
        call *c = &calls[i];

        if (c->fd >= 0 && clock_ms() > c->sent_at + deadline_ms) {
            end_call(c, "none");
        }
        if (c->fd >= 0) {
            polled[count] = c;
            fds[count++] = (struct pollfd){c->fd, POLLIN, 0};
        }
    }
    poll(fds, count, 1);
    for (nfds_t i = 0; i < count; i++) {
        if (fds[i].revents != 0) {
            read_call(polled[i]);
        }
    }
}

int
main(int argc, char **argv)
{
    struct sockaddr_in to[ADDRESSES_MAX];
    unsigned long number = 0;
    double per_s;
    int64_t start = clock_ms();
    int64_t end;
    int count = argc - 8;

    if (count < 1 || count > ADDRESSES_MAX) {
        fputs("usage: callers RECORD METHOD PER_S SECONDS HOSTNAME PATH "
              "DEADLINE_MS ADDRESS...\n",
              stderr);
        return 2;
    }
    record = fopen(argv[1], "w");
    calls = calloc(OPEN_MAX, sizeof(*calls));
    if (record == NULL || calls == NULL) {
        perror(argv[1]);
        return 2;
    }
    setvbuf(record, NULL, _IOLBF, 0);
    method = argv[2];
    per_s = atof(argv[3]);
    end = start + (int64_t)(1000 * atof(argv[4]));
    hostname = argv[5];
    path = argv[6];
    deadline_ms = atoi(argv[7]);
    for (int i = 0; i < count; i++) {
        to[i] = parse_address(argv[8 + i]);
    }
    for (size_t i = 0; i < OPEN_MAX; i++) {
        calls[i].fd = -1;
    }
    while (clock_ms() < end + deadline_ms) {
        while (clock_ms() < end &&
               (double)number < (double)(clock_ms() - start) * per_s / 1000) {
            number++;
            start_call(to[number % (unsigned)count], number);
        }
        run_once();
    }
    return 0;
}
