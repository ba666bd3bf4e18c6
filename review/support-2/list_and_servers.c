/*
 * list_and_servers.c - the platform's list and backend servers on loopback.
 *
 * usage: list_and_servers RECORD LIST_ADDRESS COPIES SERVICE=ADDRESS...
 *
 * A server answers each request after WORK_US. Of requests below /once/, a
 * server runs SLOTS at the same time, and refuses others. The last part
 * of the path is the number of bytes in the body. It echoes the id of the
 * request, and refuses a request for another instance. Each request that runs
 * is a line in RECORD.
 *
 * If COPIES is 1, the first server is faulty for COPIES_S of each 2 x
 * COPIES_S: in one of COPIES_EVERY exchanges, once it has read a request, it
 * first sends a copy of its answer before on that connection, in which one
 * byte of the head, at random, is another letter.
 */
#define _GNU_SOURCE

#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>
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
#define WORK_US 5000
#define SLOTS 6 /* as the searchers of joiner-app */
/* for_s of garble, how "extra late", in the site's file. */
#define COPIES_S 5
#define COPY_MAX_BYTES 1024 /* longer answers are not copied */

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
    unsigned seed;
    char before[COPY_MAX_BYTES]; /* the answer before, if it is short */
    size_t before_size;
    size_t before_head_size;
} connection;

static server servers[SERVERS_MAX];
static size_t server_count;
static FILE *record;
static int copies;
static atomic_int once_running[SERVERS_MAX]; /* requests below /once/ */
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

static void
write_record(const char *server, const char *what, const char *id)
{
    pthread_mutex_lock(&record_lock);
    fprintf(record, "server %s %s %s\n", server, what, id);
    pthread_mutex_unlock(&record_lock);
}

/* Sends a spoiled copy of the answer before, if it is time for one. */
static void
send_late_copy(connection *c)
{
    char copy[COPY_MAX_BYTES];
    size_t at;

    if (copies == 0 || c->server != &servers[0] || c->before_size == 0 ||
        time(NULL) / COPIES_S % 2 != 0 || rand_r(&c->seed) % copies != 0) {
        return;
    }
    memcpy(copy, c->before, c->before_size);
    at = (size_t)rand_r(&c->seed) % c->before_head_size;
    copy[at] = (char)('a' + rand_r(&c->seed) % 26);
    write_record(c->server->id, "sends a late copy of its answer before",
                 "once more");
    send_all(c->fd, copy, c->before_size);
}

/* Remembers an answer, of which the body is zeros, for late copies. */
static void
remember(connection *c, const char *head, size_t body_bytes)
{
    c->before_head_size = strlen(head);
    c->before_size = 0;
    if (c->before_head_size + body_bytes <= sizeof(c->before)) {
        c->before_size = c->before_head_size + body_bytes;
        memset(c->before, 0, sizeof(c->before));
        memcpy(c->before, head, c->before_head_size);
    }
}

/* Tells that a request has not run, as the server is full. */
static int
refuse(connection *c, const char *id)
{
    char head[512];

    snprintf(head, sizeof(head),
             "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\n"
             "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
             id);
    remember(c, head, 0);
    return send_all(c->fd, head, strlen(head));
}

static int
send_response(connection *c, const char *id, size_t bytes)
{
    static char zeros[CHUNK_BYTES];
    char head[LINE_BYTES * 2];
    const server *s = c->server;
    int fd = c->fd;

    snprintf(head, sizeof(head),
             "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s.%s\r\n"
             "Content-Length: %zu\r\n\r\n",
             id, s->id, id, bytes);
    remember(c, head, bytes);
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
handle_request(FILE *in, connection *c)
{
    char target[LINE_BYTES] = "";
    char line[LINE_BYTES];
    char id[256] = "";
    char expected[256] = "";
    const char *slash;
    size_t bytes;
    atomic_int *running;
    bool once;
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
    once = strncmp(target, "/once/", 6) == 0;
    running = &once_running[c->server - servers];
    if (once && atomic_fetch_add(running, 1) >= SLOTS) {
        atomic_fetch_sub(running, 1);
        return refuse(c, id);
    }
    send_late_copy(c);
    usleep(WORK_US);
    result = send_response(c, id, bytes);
    if (once) {
        atomic_fetch_sub(running, 1);
    }
    write_record(c->server->id, result == 0 ? "ran" : "ran, not taken", id);
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
        c->seed = (unsigned)time(NULL) + (unsigned)(uintptr_t)c;
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
    if (argc < 5 || (record = fopen(argv[1], "a")) == NULL) {
        fprintf(stderr,
                "usage: %s RECORD LIST_ADDRESS COPIES SERVICE=ADDRESS...\n",
                argv[0]);
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    setvbuf(record, NULL, _IOLBF, 0); /* the callers write to it as well */
    copies = atoi(argv[3]);
    for (int i = 4; i < argc && server_count < SERVERS_MAX; i++) {
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
