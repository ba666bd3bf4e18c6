/*
 * checking_callers.c - callers that check that each answer is the one to their
 * own request.
 *
 * usage: checking_callers RECORD ADDRESS CONNECTIONS SECONDS PREFIX
 *
 * Each caller sends one request after the other, with paths below PREFIX, on a
 * kept connection, and opens a new one when that ends. The signature of a
 * success must end with the id of the request. Exits with 1 if one belongs to
 * another request, with 0 if none does, and with 2 if fewer than SUCCESSES_MIN
 * requests were served.
 */
#define _GNU_SOURCE

#include <arpa/inet.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CALLERS_MAX 64
#define HEAD_MAX_BYTES 8192
#define BODY_BYTES 100
#define DEADLINE_MS 3000
#define RECEIVE_TIMEOUT_S 4
#define RECONNECT_US 50000
#define SUCCESSES_MIN 100

typedef struct {
    unsigned number;
    unsigned sent;
    int fd; /* -1: none */
} caller;

static struct sockaddr_in entry;
static time_t end_at;
static const char *prefix;
static FILE *record;
static unsigned successes;
static unsigned others;
static unsigned foreign;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Copies the value of a field of a head; an empty string if it has none. */
static void
copy_field(char *out, size_t size, const char *head, const char *name)
{
    const char *at = strcasestr(head, name);

    out[0] = '\0';
    if (at != NULL) {
        at += strlen(name);
        at += strspn(at, " ");
        snprintf(out, size, "%.*s", (int)strcspn(at, "\r\n"), at);
    }
}

/* Checks the head of an answer to a request with this id. */
static void
check_head(const char *head, const char *id)
{
    int status = atoi(head + 9);
    char signature[256];
    const char *dot;

    copy_field(signature, sizeof(signature), head, "\r\nResponse-Stamp:");
    dot = strchr(signature, '.');
    pthread_mutex_lock(&lock);
    fprintf(record, "caller: sent %s, answered %d %s\n", id, status,
            signature);
    if (status != 200) {
        others++;
    }
    else if (dot != NULL && strcmp(dot + 1, id) == 0) {
        successes++;
    }
    else {
        foreign++;
        fprintf(record, "caller: that is the answer to another request\n");
    }
    pthread_mutex_unlock(&lock);
}

static int
open_connection(void)
{
    struct timeval timeout = {RECEIVE_TIMEOUT_S, 0};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    if (connect(fd, (struct sockaddr *)&entry, sizeof(entry)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Sends a request and reads its answer; false if the connection cannot be
 * used any more. */
static bool
exchange(caller *c)
{
    char head[HEAD_MAX_BYTES + 1] = "";
    char body[4096];
    char id[64];
    char field[64];
    size_t have = 0;
    size_t left;

    snprintf(id, sizeof(id), "c%u-%u", c->number, c->sent++);
    snprintf(head, sizeof(head),
             "GET %s%d HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\n"
             "Deadline-Ms: %d\r\n\r\n",
             prefix, BODY_BYTES, id, DEADLINE_MS);
    if (send(c->fd, head, strlen(head), MSG_NOSIGNAL) < 0) {
        return false;
    }
    head[0] = '\0';
    while (strstr(head, "\r\n\r\n") == NULL) {
        ssize_t n = recv(c->fd, head + have, 1, 0);

        if (n <= 0 || have + 1 >= HEAD_MAX_BYTES) {
            pthread_mutex_lock(&lock);
            fprintf(record, "caller: sent %s, no answer\n", id);
            pthread_mutex_unlock(&lock);
            return false;
        }
        have += (size_t)n;
        head[have] = '\0';
    }
    check_head(head, id);
    copy_field(field, sizeof(field), head, "\r\nContent-Length:");
    left = strtoul(field, NULL, 10);
    while (left > 0) {
        ssize_t n =
            recv(c->fd, body, left < sizeof(body) ? left : sizeof(body), 0);

        if (n <= 0) {
            return false;
        }
        left -= (size_t)n;
    }
    copy_field(field, sizeof(field), head, "\r\nConnection:");
    return strcasecmp(field, "close") != 0;
}

static void *
run_caller(void *ctx)
{
    caller *c = ctx;

    while (time(NULL) < end_at) {
        if (c->fd < 0) {
            c->fd = open_connection();
        }
        if (c->fd < 0) {
            usleep(RECONNECT_US);
        }
        else if (!exchange(c)) {
            close(c->fd);
            c->fd = -1;
        }
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    static caller callers[CALLERS_MAX];
    pthread_t threads[CALLERS_MAX];
    unsigned count;
    char *colon;

    if (argc != 6 || (record = fopen(argv[1], "a")) == NULL ||
        (colon = strrchr(argv[2], ':')) == NULL) {
        fprintf(stderr,
                "usage: %s RECORD ADDRESS CONNECTIONS SECONDS PREFIX\n",
                argv[0]);
        return 2;
    }
    setvbuf(record, NULL, _IOLBF, 0); /* the servers write to it as well */
    prefix = argv[5];
    *colon = '\0';
    entry.sin_family = AF_INET;
    entry.sin_port = htons((uint16_t)atoi(colon + 1));
    count = (unsigned)atoi(argv[3]);
    end_at = time(NULL) + atoi(argv[4]);
    if (inet_pton(AF_INET, argv[2], &entry.sin_addr) != 1 ||
        count > CALLERS_MAX) {
        return 2;
    }
    for (unsigned i = 0; i < count; i++) {
        callers[i] = (caller){i, 0, -1};
        if (pthread_create(&threads[i], NULL, run_caller, &callers[i]) != 0) {
            return 2;
        }
    }
    for (unsigned i = 0; i < count; i++) {
        pthread_join(threads[i], NULL);
    }
    fprintf(record,
            "callers: %u successes of their own, %u other answers, %u answers "
            "of other requests\n",
            successes, others, foreign);
    fclose(record);
    if (successes < SUCCESSES_MIN) {
        return 2;
    }
    return foreign > 0;
}
