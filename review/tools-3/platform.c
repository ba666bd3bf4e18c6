/*
 * platform.c - stand-in of the platform's list of servers and of the backend
 * servers themselves. Servers answer each request after a fixed time with
 * their id as the signature, and 421 if the request names another instance.
 * Each request that begins to run is recorded. On SIGUSR1 the first
 * server turns cold: its health answers say so at once, the list after its
 * lag. A cold server that gets more than CRASH_PER_S requests within a second
 * ends, and starts again a second later under another id.
 *
 * usage: platform LIST-ADDRESS RECORD WORK_MS COLD_MS LAG_MS CRASH_PER_S
 *                 ID,SERVICE,ZONE,ADDRESS...
 */
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"

#define SERVERS_MAX 16
#define CONNECTIONS_MAX 900
#define IN_MAX_BYTES (64 << 10)
#define LIST_MAX_BYTES (16 << 10)
#define POLL_MS 1
#define RESTART_MS 1000
#define ARRIVALS_MAX 256 /* of a cold server, in a second */

typedef struct {
    char id[64];
    char service[64];
    char zone[64];
    char address[64];
    int listener;
    int64_t cold_until;       /* steady clock */
    int64_t listed_cold_from; /* when the list begins to say so */
    unsigned long answers;
    int64_t arrivals[ARRIVALS_MAX]; /* the newest requests, while it is cold */
    size_t arrival_count;
    int64_t restart_at; /* 0: it runs */
    unsigned starts;
} server;

typedef struct {
    int fd;         /* -1: not in use */
    server *server; /* NULL: a call of the list */
    char in[IN_MAX_BYTES];
    size_t size;
    size_t request_size; /* of the request that is answered at `due_at` */
    int64_t due_at;      /* 0: no request is being answered */
} connection;

static server servers[SERVERS_MAX];
static size_t server_count;
static connection *connections;
static FILE *record;
static int work_ms;
static int cold_ms;
static int lag_ms;
static size_t crash_per_s;
static volatile sig_atomic_t turns_cold;

static void
on_signal(int signal)
{
    (void)signal;
    turns_cold = 1;
}

static void
record_line(const server *s, const char *event, const char *id, unsigned left)
{
    fprintf(record, "%lld %s server=%s service=%s zone=%s id=%s cold_ms=%u\n",
            (long long)wall_ms(), event, s->id, s->service, s->zone, id, left);
}

static unsigned
get_cold_left(const server *s)
{
    int64_t left = s->cold_until - clock_ms();

    return left > 0 ? (unsigned)left : 0;
}

static void
turn_cold(server *s)
{
    int64_t now = clock_ms();

    s->cold_until = now + cold_ms;
    s->listed_cold_from = now + lag_ms;
    s->arrival_count = 0;
    record_line(s, "cold", "-", (unsigned)cold_ms);
}

static void
close_connection(connection *c)
{
    close(c->fd);
    c->fd = -1;
}

/* Ends a server as a crash does, with the requests that it runs. */
static void
crash(server *s)
{
    char id[128];

    record_line(s, "crash", "-", get_cold_left(s));
    for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
        connection *c = &connections[i];

        if (c->fd < 0 || c->server != s) {
            continue;
        }
        if (c->due_at != 0) {
            get_field(id, sizeof(id), c->in, c->request_size, "Request-Id");
            record_line(s, "lost", id, 0);
        }
        close_connection(c);
    }
    close(s->listener);
    s->listener = -1;
    s->restart_at = clock_ms() + RESTART_MS;
}

static void
restart(server *s)
{
    char *suffix = strchr(s->id, '+');

    if (suffix != NULL) {
        *suffix = '\0';
    }
    snprintf(s->id + strlen(s->id), sizeof(s->id) - strlen(s->id), "+%u",
             ++s->starts);
    s->listener = listen_on(s->address);
    s->restart_at = 0;
    turn_cold(s);
    s->listed_cold_from = 0; /* its entry is a new one */
}

/* Returns whether a cold server gets too many requests with this one. */
static bool
is_overloaded(server *s)
{
    int64_t now = clock_ms();
    size_t recent = 0;

    if (get_cold_left(s) == 0 || crash_per_s == 0) {
        return false;
    }
    s->arrivals[s->arrival_count++ % ARRIVALS_MAX] = now;
    for (size_t i = 0; i < s->arrival_count && i < ARRIVALS_MAX; i++) {
        recent += s->arrivals[i] > now - 1000;
    }
    return recent > crash_per_s;
}

static void
send_answer(connection *c, unsigned status, const char *fields,
            const char *body)
{
    static char out[LIST_MAX_BYTES + 1024];
    int n = snprintf(out, sizeof(out),
                     "HTTP/1.1 %u X\r\n%sContent-Length: %zu\r\n\r\n%s",
                     status, fields, strlen(body), body);

    if (send(c->fd, out, (size_t)n, MSG_NOSIGNAL) != n) {
        close_connection(c);
    }
}

static void
answer_list(connection *c)
{
    static char body[LIST_MAX_BYTES];
    size_t n = (size_t)snprintf(body, sizeof(body), "{\"instances\":[");

    for (size_t i = 0; i < server_count; i++) {
        const server *s = &servers[i];
        unsigned left =
            clock_ms() >= s->listed_cold_from ? get_cold_left(s) : 0;

        n += (size_t)snprintf(
            body + n, sizeof(body) - n,
            "%s{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","
            "\"warmup_left_ms\":%u,\"id\":\"%s\"}",
            i > 0 ? "," : "", s->service, s->address, s->zone, left, s->id);
    }
    snprintf(body + n, sizeof(body) - n, "],\"next_page_token\":null}");
    send_answer(c, 200, "Content-Type: application/json\r\n", body);
}

static void
answer_health(connection *c)
{
    char fields[256];

    snprintf(fields, sizeof(fields), "Instance-Id: %s\r\nWarmup-Ms: %u\r\n",
             c->server->id, get_cold_left(c->server));
    send_answer(c, 200, fields, "");
}

/* Starts to run a request, or refuses one for another instance. */
static void
start_request(connection *c, size_t head)
{
    char expected[128];
    char id[128];

    get_field(id, sizeof(id), c->in, head, "Request-Id");
    if (get_field(expected, sizeof(expected), c->in, head,
                  "Expect-Instance") &&
        strcmp(expected, c->server->id) != 0) {
        send_answer(c, 421, "Not-Executed: 1\r\n", "");
        c->size = 0;
        return;
    }
    record_line(c->server, "run", id, get_cold_left(c->server));
    c->due_at = clock_ms() + work_ms;
    if (is_overloaded(c->server)) {
        crash(c->server);
    }
}

static void
finish_request(connection *c)
{
    char fields[512];
    char id[128];

    get_field(id, sizeof(id), c->in, c->request_size, "Request-Id");
    record_line(c->server, "answered", id, get_cold_left(c->server));
    snprintf(fields, sizeof(fields),
             "Response-Stamp: %s.%lu\r\nRequest-Id: %s\r\n", c->server->id,
             ++c->server->answers, id);
    c->due_at = 0;
    c->size = 0;
    send_answer(c, 200, fields, "0123456789abcdef");
}

/* Handles a complete request. Callers wait for the answer before the next. */
static void
handle_request(connection *c)
{
    char length[32];
    size_t head = find_head_end(c->in, c->size);
    size_t body;

    if (head == 0) {
        return;
    }
    get_field(length, sizeof(length), c->in, head, "Content-Length");
    body = (size_t)atol(length);
    if (c->size < head + body) {
        return;
    }
    c->request_size = head;
    if (c->server == NULL) {
        c->size = 0;
        answer_list(c);
    }
    else if (strncmp(c->in, "GET /h ", 7) == 0) {
        c->size = 0;
        answer_health(c);
    }
    else {
        start_request(c, head);
    }
}

static void
read_connection(connection *c)
{
    ssize_t n =
        recv(c->fd, c->in + c->size, sizeof(c->in) - c->size, MSG_DONTWAIT);

    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        close_connection(c); /* a request in progress is dropped */
        return;
    }
    c->size += (size_t)n;
    if (c->due_at == 0) {
        handle_request(c);
    }
}

static void
accept_connection(int listener, server *s)
{
    int fd = accept(listener, NULL, NULL);

    for (size_t i = 0; fd >= 0 && i < CONNECTIONS_MAX; i++) {
        connection *c = &connections[i];

        if (c->fd < 0) {
            c->fd = fd;
            c->server = s;
            c->size = 0;
            c->due_at = 0;
            return;
        }
    }
    if (fd >= 0) {
        close(fd);
    }
}

static void
run_once(int list)
{
    static struct pollfd fds[1 + SERVERS_MAX + CONNECTIONS_MAX];
    static connection *polled[CONNECTIONS_MAX];
    nfds_t first = 1 + server_count;
    nfds_t count = first;
    int64_t now;

    fds[0] = (struct pollfd){list, POLLIN, 0};
    for (size_t i = 0; i < server_count; i++) {
        fds[1 + i] = (struct pollfd){servers[i].listener, POLLIN, 0};
        if (servers[i].restart_at != 0 &&
            clock_ms() >= servers[i].restart_at) {
            restart(&servers[i]);
        }
    }
    for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
        if (connections[i].fd >= 0) {
            polled[count - first] = &connections[i];
            fds[count++] = (struct pollfd){connections[i].fd, POLLIN, 0};
        }
    }
    poll(fds, count, POLL_MS);
    if (turns_cold) {
        turns_cold = 0;
        turn_cold(&servers[0]);
    }
    for (nfds_t i = first; i < count; i++) {
        if (fds[i].revents != 0 && polled[i - first]->fd == fds[i].fd) {
            read_connection(polled[i - first]);
        }
    }
    if (fds[0].revents != 0) {
        accept_connection(list, NULL);
    }
    for (size_t i = 0; i < server_count; i++) {
        if (fds[1 + i].revents != 0) {
            accept_connection(servers[i].listener, &servers[i]);
        }
    }
    now = clock_ms();
    for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
        if (connections[i].fd >= 0 && connections[i].due_at != 0 &&
            now >= connections[i].due_at) {
            finish_request(&connections[i]);
        }
    }
}

int
main(int argc, char **argv)
{
    struct sigaction action = {.sa_handler = on_signal};
    int list;

    if (argc < 8 || argc - 7 > SERVERS_MAX) {
        fputs("usage: platform LIST RECORD WORK_MS COLD_MS LAG_MS "
              "CRASH_PER_S ID,SERVICE,ZONE,ADDRESS...\n",
              stderr);
        return 2;
    }
    record = fopen(argv[2], "w");
    connections = calloc(CONNECTIONS_MAX, sizeof(*connections));
    if (record == NULL || connections == NULL) {
        perror(argv[2]);
        return 2;
    }
    setvbuf(record, NULL, _IOLBF, 0);
    work_ms = atoi(argv[3]);
    cold_ms = atoi(argv[4]);
    lag_ms = atoi(argv[5]);
    crash_per_s = (size_t)atol(argv[6]);
    for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
        connections[i].fd = -1;
    }
    for (int i = 7; i < argc; i++) {
        server *s = &servers[server_count++];

        if (sscanf(argv[i], "%63[^,],%63[^,],%63[^,],%63s", s->id, s->service,
                   s->zone, s->address) != 4) {
            fprintf(stderr, "%s names no server\n", argv[i]);
            return 2;
        }
        s->listener = listen_on(s->address);
    }
    list = listen_on(argv[1]);
    sigaction(SIGUSR1, &action, NULL);
    for (;;) {
        run_once(list);
    }
}
