/*
 * list_and_servers.c - the platform's list and backend servers on loopback.
 *
 * usage: list_and_servers RECORD LIST_ADDRESS SERVICE=ADDRESS...
 *
 * A server answers each request at once. The last part of the path is the
 * number of bytes in the body. It echoes the id of the request, and refuses a
 * request for another instance. Each request that runs is a line in RECORD.
 */
#define _GNU_SOURCE

#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define SERVERS_MAX 16
#define LINE_BYTES 4096
#define BODY_MAX_BYTES (16 << 20)
#define CHUNK_BYTES 65536
#define BACKLOG 128

typedef struct {
    char service[64];
    char address[64];
    char id[32];
} server;

/* A listener: of a server, or of the list if `server` is NULL. */
typedef struct {
    const server *server;
    int fd;
} listener;

typedef struct {
    const server *server;
    int fd;
} connection;

static server servers[SERVERS_MAX];
static size_t server_count;
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static int
open_listener(const char *address)
{
    struct sockaddr_in sa = {.sin_family = AF_INET};
    char ip[64];
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const char *colon = strrchr(address, ':');

    if (colon == NULL || (size_t)(colon - address) >= sizeof(ip)) {
        return -1;
    }
    memcpy(ip, address, (size_t)(colon - address));
    ip[colon - address] = '\0';
    sa.sin_port = htons((uint16_t)atoi(colon + 1));
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (inet_pton(AF_INET, ip, &sa.sin_addr) != 1 ||
        bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
        listen(fd, BACKLOG) != 0) {
        return -1;
    }
    return fd;
}

static int
send_all(int fd, const char *bytes, size_t size)
{
    while (size > 0) {
        ssize_t n = send(fd, bytes, size, MSG_NOSIGNAL);

        if (n <= 0) {
            return -1;
        }
        bytes += n;
        size -= (size_t)n;
    }
    return 0;
}

/* Copies the value of a header line if it has this name. */
static void
read_field(char *out, size_t size, const char *line, const char *name)
{
    size_t n = strlen(name);

    if (strncasecmp(line, name, n) == 0 && line[n] == ':') {
        snprintf(out, size, "%s", line + n + 1 + strspn(line + n + 1, " "));
        out[strcspn(out, "\r\n")] = '\0';
    }
}

static int
send_list(int fd)
{
    char body[SERVERS_MAX * 512] = "";
    char head[256];
    size_t n = 0;

    n += (size_t)snprintf(body + n, sizeof(body) - n, "{\"instances\":[");
    for (size_t i = 0; i < server_count; i++) {
        n += (size_t)snprintf(
            body + n, sizeof(body) - n,
            "%s{\"id\":\"%s\",\"service\":\"%s\",\"address\":\"%s\","
            "\"zone\":\"leicester\",\"version\":\"v1\",\"slots\":6,"
            "\"state\":\"ready\",\"warmup_left_ms\":0,\"born\":1}",
            i > 0 ? "," : "", servers[i].id, servers[i].service,
            servers[i].address);
    }
    n += (size_t)snprintf(body + n, sizeof(body) - n,
                          "],\"next_page_token\":null}");
    snprintf(head, sizeof(head),
             "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
             "Content-Length: %zu\r\n\r\n",
             n);
    return send_all(fd, head, strlen(head)) != 0 ? -1 : send_all(fd, body, n);
}

static int
send_response(int fd, const server *s, const char *id, size_t bytes)
{
    static char zeros[CHUNK_BYTES];
    char head[LINE_BYTES * 2];

    snprintf(head, sizeof(head),
             "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s.%s\r\n"
             "Content-Length: %zu\r\n\r\n",
             id, s->id, id, bytes);
    if (send_all(fd, head, strlen(head)) != 0) {
        return -1;
    }
    while (bytes > 0) {
        size_t n = bytes < sizeof(zeros) ? bytes : sizeof(zeros);

        if (send_all(fd, zeros, n) != 0) {
            return -1;
        }
        bytes -= n;
    }
    return 0;
}

/* Handles one request without a body; returns -1 at the end. */
static int
handle_request(FILE *in, const connection *c)
{
    char target[LINE_BYTES] = "";
    char line[LINE_BYTES];
    char id[256] = "";
    char expected[256] = "";
    const char *slash;
    size_t bytes;
    int result;

    if (fgets(line, sizeof(line), in) == NULL ||
        sscanf(line, "%*s %4095s", target) != 1) {
        return -1;
    }
    while (fgets(line, sizeof(line), in) != NULL && line[0] != '\r') {
        read_field(id, sizeof(id), line, "Request-Id");
        read_field(expected, sizeof(expected), line, "Expect-Instance");
    }
    if (c->server == NULL) {
        return send_list(c->fd);
    }
    if (expected[0] != '\0' && strcmp(expected, c->server->id) != 0) {
        static const char refusal[] =
            "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";

        return send_all(c->fd, refusal, sizeof(refusal) - 1);
    }
    slash = strrchr(target, '/');
    bytes = slash != NULL ? strtoul(slash + 1, NULL, 10) : 0;
    bytes = bytes < BODY_MAX_BYTES ? bytes : BODY_MAX_BYTES;
    result = send_response(c->fd, c->server, id, bytes);
    pthread_mutex_lock(&record_lock);
    fprintf(record, "server %s ran %s: %zu bytes %s\n", c->server->id, id,
            bytes, result == 0 ? "sent" : "not taken");
    fflush(record);
    pthread_mutex_unlock(&record_lock);
    return result;
}

static void *
serve_connection(void *ctx)
{
    connection *c = ctx;
    FILE *in = fdopen(dup(c->fd), "r");

    while (in != NULL && handle_request(in, c) == 0) {
    }
    if (in != NULL) {
        fclose(in);
    }
    close(c->fd);
    free(c);
    return NULL;
}

static void *
accept_connections(void *ctx)
{
    const listener *l = ctx;

    for (;;) {
        connection *c = calloc(1, sizeof(*c));
        pthread_t thread;

        if (c == NULL) {
            abort();
        }
        c->server = l->server;
        c->fd = accept4(l->fd, NULL, NULL, SOCK_CLOEXEC);
        if (c->fd < 0 ||
            pthread_create(&thread, NULL, serve_connection, c) != 0) {
            free(c);
            continue;
        }
        pthread_detach(thread);
    }
    return NULL;
}

static int
start_listener(const server *s, const char *address)
{
    listener *l = calloc(1, sizeof(*l));
    pthread_t thread;

    if (l == NULL) {
        return -1;
    }
    l->server = s;
    l->fd = open_listener(address);
    if (l->fd < 0 ||
        pthread_create(&thread, NULL, accept_connections, l) != 0) {
        fprintf(stderr, "cannot listen on %s\n", address);
        free(l);
        return -1;
    }
    return 0;
}

int
main(int argc, char **argv)
{
    if (argc < 4 || (record = fopen(argv[1], "a")) == NULL) {
        fprintf(stderr, "usage: %s RECORD LIST_ADDRESS SERVICE=ADDRESS...\n",
                argv[0]);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    for (int i = 3; i < argc && server_count < SERVERS_MAX; i++) {
        server *s = &servers[server_count];

        if (sscanf(argv[i], "%63[^=]=%63s", s->service, s->address) != 2) {
            return 2;
        }
        snprintf(s->id, sizeof(s->id), "i-%zu", server_count);
        server_count++;
    }
    for (size_t i = 0; i < server_count; i++) {
        if (start_listener(&servers[i], servers[i].address) != 0) {
            return 2;
        }
    }
    if (start_listener(NULL, argv[2]) != 0) {
        return 2;
    }
    for (;;) {
        pause();
    }
}
