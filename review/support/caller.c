/*
 * caller.c - sends requests over one connection, one after the other, and
 * prints the status of each answer.
 *
 * caller ADDRESS TIMEOUT-MS HOST DEADLINE-MS REQUEST...
 *
 * REQUEST is METHOD,PATH,ID,BODY or METHOD,PATH,ID,BODY,COUNT,PAUSE-MS: BODY
 * is empty, the number of bytes of a body of the letters a to z in turn, or
 * @FILE. COUNT requests are sent, with -1, -2, ... after the id and a random
 * pause of up to PAUSE-MS between two. The exit code is 0 if each request has
 * got an answer of status 200, and 1 otherwise. After a 503 the next request
 * waits for Retry-After. An answer that redirects (307) is followed up to
 * twice, as PROTOCOL.md says of the operator.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define ANSWER_MAX (4u << 20) /* bytes */
#define REDIRECTS_MAX 2       /* PROTOCOL.md, the operator's API */

typedef struct {
    char method[16];
    char path[256];
    char id[128];
    char *body;
    size_t body_size;
    long count;
    int pause_ms; /* longest */
} request;

typedef struct {
    unsigned status; /* 0: none */
    const char *reason;
    char location[256];
    char *body;
    size_t body_size;
    bool closes;
    double retry_after; /* seconds */
    bool stamped;       /* it has a Response-Stamp */
} answer;

static char received[ANSWER_MAX];

static void
print_time(void)
{
    struct timespec ts;

    clock_gettime(CLOCK_REALTIME, &ts);
    printf("%lld.%03ld ", (long long)ts.tv_sec, ts.tv_nsec / 1000000);
}

static int
open_connection(const char *address, int timeout_ms)
{
    struct sockaddr_in sa = {.sin_family = AF_INET};
    struct timeval tv = {timeout_ms / 1000, (timeout_ms % 1000) * 1000};
    char ip[32];
    int port;
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    if (sscanf(address, "%31[0-9.]:%d", ip, &port) != 2 ||
        inet_pton(AF_INET, ip, &sa.sin_addr) != 1) {
        exit(2);
    }
    sa.sin_port = htons((uint16_t)port);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
    if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static bool
send_all(int fd, const char *bytes, size_t size)
{
    while (size > 0) {
        ssize_t n = send(fd, bytes, size, MSG_NOSIGNAL);

        if (n <= 0) {
            return false;
        }
        bytes += n;
        size -= (size_t)n;
    }
    return true;
}

static void
get_field(const char *head, const char *name, char *out, size_t size)
{
    size_t n = strlen(name);
    const char *line = head;

    out[0] = '\0';
    while ((line = strstr(line, "\r\n")) != NULL) {
        line += 2;
        if (strncasecmp(line, name, n) == 0 && line[n] == ':') {
            const char *value = line + n + 1;

            value += strspn(value, " ");
            snprintf(out, size, "%.*s", (int)strcspn(value, "\r"), value);
            return;
        }
    }
}

static void
receive_answer(int fd, answer *a)
{
    size_t size = 0;
    char *end = NULL;
    char length[32];
    char value[256];

    while (end == NULL && size < ANSWER_MAX - 1) {
        ssize_t n = recv(fd, received + size, ANSWER_MAX - 1 - size, 0);

        if (n <= 0) {
            a->reason = n == 0 ? "closed" : "no answer in time";
            return;
        }
        size += (size_t)n;
        received[size] = '\0';
        end = strstr(received, "\r\n\r\n");
    }
    if (end == NULL || sscanf(received, "HTTP/1.1 %u", &a->status) != 1) {
        a->reason = "no answer in the protocol";
        return;
    }
    *end = '\0';
    get_field(received, "Content-Length", length, sizeof(length));
    get_field(received, "Location", a->location, sizeof(a->location));
    get_field(received, "Connection", value, sizeof(value));
    a->closes = strcasecmp(value, "close") == 0;
    get_field(received, "Retry-After", value, sizeof(value));
    a->retry_after = atof(value);
    get_field(received, "Response-Stamp", value, sizeof(value));
    a->stamped = value[0] != '\0';
    a->body = end + 4;
    a->body_size = strtoul(length, NULL, 10);
    while (a->body + a->body_size > received + size) {
        ssize_t n = recv(fd, received + size, ANSWER_MAX - 1 - size, 0);

        if (n <= 0) {
            a->status = 0;
            a->reason = "the answer ends early";
            return;
        }
        size += (size_t)n;
    }
}

static void
exchange(int fd, const request *r, const char *host, const char *deadline,
         answer *a)
{
    char head[1024];
    int n = snprintf(head, sizeof(head),
                     "%s %s HTTP/1.1\r\nHost: %s\r\n"
                     "Request-Id: %s\r\nDeadline-Ms: %s\r\n",
                     r->method, r->path, host, r->id, deadline);

    memset(a, 0, sizeof(*a));
    n += snprintf(head + n, sizeof(head) - (size_t)n,
                  r->body_size > 0 ? "Content-Length: %zu\r\n\r\n" : "\r\n",
                  r->body_size);
    if (!send_all(fd, head, (size_t)n) ||
        !send_all(fd, r->body, r->body_size)) {
        a->reason = "the request was not taken";
        return;
    }
    receive_answer(fd, a);
}

static void
make_body(request *r, const char *text)
{
    if (*text == '@') {
        FILE *f = fopen(text + 1, "r");

        if (f == NULL) {
            exit(2);
        }
        r->body = malloc(ANSWER_MAX);
        r->body_size = fread(r->body, 1, ANSWER_MAX, f);
        fclose(f);
    }
    else if (*text != '\0') {
        r->body_size = strtoul(text, NULL, 10);
        r->body = malloc(r->body_size + 1);
        for (size_t i = 0; i < r->body_size; i++) {
            r->body[i] = (char)('a' + i % 26);
        }
    }
}

/* Reads a request from an argument, and how often it is sent. */
static void
read_request(request *r, char *text)
{
    char *fields[6] = {NULL};

    memset(r, 0, sizeof(*r));
    for (int i = 0; i < 6; i++) {
        fields[i] = strsep(&text, ",");
    }
    if (fields[3] == NULL) {
        exit(2);
    }
    snprintf(r->method, sizeof(r->method), "%s", fields[0]);
    snprintf(r->path, sizeof(r->path), "%s", fields[1]);
    snprintf(r->id, sizeof(r->id), "%s", fields[2]);
    make_body(r, fields[3]);
    r->count = fields[4] != NULL ? atol(fields[4]) : 1;
    r->pause_ms = fields[5] != NULL ? atoi(fields[5]) : 0;
}

/* The connection, which is opened again after an answer that closes it. */
typedef struct {
    const char *address;
    const char *host;
    const char *deadline;
    int timeout_ms;
    int fd;
} client;

static void
disconnect(client *c)
{
    if (c->fd >= 0) {
        close(c->fd);
        c->fd = -1;
    }
}

static void
call(client *c, const request *r, answer *a)
{
    memset(a, 0, sizeof(*a));
    a->reason = "no connection";
    if (c->fd < 0) {
        c->fd = open_connection(c->address, c->timeout_ms);
    }
    if (c->fd >= 0) {
        exchange(c->fd, r, c->host, c->deadline, a);
    }
    for (int k = 0; a->status == 307 && k < REDIRECTS_MAX; k++) {
        disconnect(c);
        c->fd =
            open_connection(a->location + strlen("http://"), c->timeout_ms);
        if (c->fd < 0) {
            a->status = 0;
            a->reason = "no connection";
            return;
        }
        exchange(c->fd, r, c->host, c->deadline, a);
    }
    if (a->status == 0 || a->closes) {
        disconnect(c);
    }
}

static void
print_answer(const client *c, const request *r, const answer *a)
{
    print_time();
    printf("answer from=%s request=%s line=\"%s %s\" status=%u stamp=%d%s%s\n",
           c->address, r->id, r->method, r->path, a->status, a->stamped,
           a->status == 0 ? " reason=" : "",
           a->status == 0 && a->reason ? a->reason : "");
    fflush(stdout);
}

int
main(int argc, char **argv)
{
    client c;
    bool all_served = true;

    srandom((unsigned)getpid());
    if (argc < 6) {
        fprintf(stderr, "usage: caller ADDRESS TIMEOUT-MS HOST DEADLINE-MS "
                        "REQUEST...\n");
        return 2;
    }
    c = (client){argv[1], argv[3], argv[4], atoi(argv[2]), -1};
    for (int i = 5; i < argc; i++) {
        request r;
        char id[sizeof(r.id)];

        read_request(&r, argv[i]);
        memcpy(id, r.id, sizeof(id));
        for (long k = 1; k <= r.count; k++) {
            answer a;

            if (r.count > 1) {
                snprintf(r.id, sizeof(r.id), "%.100s-%ld", id, k);
            }
            call(&c, &r, &a);
            print_answer(&c, &r, &a);
            all_served = all_served && a.status == 200;
            if (a.status == 503 && k < r.count) {
                usleep((useconds_t)(a.retry_after * 1e6));
            }
            else if (k < r.count && r.pause_ms > 0) {
                usleep((useconds_t)(random() % (r.pause_ms * 1000)));
            }
        }
        free(r.body);
    }
    disconnect(&c);
    return all_served ? 0 : 1;
}
