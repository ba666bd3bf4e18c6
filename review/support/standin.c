/*
 * standin.c - a stand-in for the platform's list of searchers and for the
 * searchers themselves, on loopback.
 *
 * standin LIST-ADDRESS [--work-ms N] [--early] [--extra] [--spoil]
 *         [--odd JSON] SEARCHER...
 *
 * SEARCHER is service,id,zone,ip:port. Prints one line to standard output for
 * each request that a searcher begins to run. With --early the first
 * searcher of a service answers some requests with a long body before it has
 * read them, keeps the connection and reads on later. With --extra the first
 * searcher of each service sends some answers once more, late: when the next
 * answer on the connection is due. A searcher that is full refuses a request
 * with 503. With --spoil it sends a wrong byte in the head of some answers.
 * With --odd the list begins with one more entry, as it stands.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define SEARCHERS_MAX 64
#define HEAD_MAX 16384 /* bytes; max_header_bytes of the configuration */
#define BODY_BYTES 16  /* of an answer */
#define SLOTS 2        /* of committee-portal, mtfra-search */
/* garble: with how "early" x = 0.02 of the answers (fleetbench kinds); in
 * mtfra-search.toml with "extra late across" 0.04 and without a variant 0.02,
 * for 5 s at a time. It comes again after a pause. */
#define EARLY_EVERY 50
#define EXTRA_EVERY 25
#define SPOILED_EVERY 50
#define GARBLE_MS 5000
#define GARBLE_PAUSE_MS 5000
/* "Links have [...] small windows, so a peer that does not read blocks the
 * writer" (DEPLOY.md): the segment size of Ethernet and a small buffer. */
#define SEGMENT_BYTES 1460
#define RECEIVE_BUFFER_BYTES 8192
#define LONG_BODY_BYTES 65536 /* longer bodies are answered early */
#define EARLY_READ_BYTES 4096 /* read of a body before the early answer */
#define READ_ON_AFTER_MS 500  /* from the early answer to reading on */
#define KEEP_ALIVE_S 9        /* idle timeout that searchers state */

typedef struct {
    char service[64];
    char id[64];
    char zone[32];
    char ip[32];
    int port;
    bool first;        /* of its service */
    int running;       /* requests that hold a slot */
    uint64_t answered; /* while it garbles */
    unsigned normal;   /* answers since the last early one */
} searcher;

typedef struct {
    int fd;
    searcher *searcher; /* NULL: a connection to the list */
    char extra[1024];   /* an answer to send once more */
    int extra_size;
    char extra_request[128]; /* its Request-Id */
} connection;

typedef struct {
    char text[HEAD_MAX + 1];
    size_t size;      /* bytes received, of the head and beyond */
    size_t head_size; /* bytes up to the end of the head */
} request_head;

static searcher searchers[SEARCHERS_MAX];
static size_t searcher_count;
static int work_ms = 5;
static bool early;
static bool extra;
static bool spoil;
static struct timespec started_at;
static const char *odd_entry;
static uint64_t stamp_count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void
sleep_ms(int ms)
{
    struct timespec ts = {ms / 1000, (long)(ms % 1000) * 1000000};

    nanosleep(&ts, NULL);
}

static void
print_record(const char *format, ...)
{
    struct timespec ts;
    va_list args;

    clock_gettime(CLOCK_REALTIME, &ts);
    pthread_mutex_lock(&lock);
    printf("%lld.%03ld ", (long long)ts.tv_sec, ts.tv_nsec / 1000000);
    va_start(args, format);
    vprintf(format, args);
    va_end(args);
    fputc('\n', stdout);
    fflush(stdout);
    pthread_mutex_unlock(&lock);
}

static uint64_t
next_stamp(void)
{
    uint64_t n;

    pthread_mutex_lock(&lock);
    n = ++stamp_count;
    pthread_mutex_unlock(&lock);
    return n;
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

/* Copies the value of a header field; empty if there is none. */
static void
get_field(const request_head *h, const char *name, char *out, size_t size)
{
    size_t n = strlen(name);
    const char *line = strstr(h->text, "\r\n");

    out[0] = '\0';
    while (line != NULL && line + 2 < h->text + h->head_size - 2) {
        line += 2;
        if (strncasecmp(line, name, n) == 0 && line[n] == ':') {
            const char *end = strstr(line, "\r\n");
            const char *value = line + n + 1;

            while (*value == ' ') {
                value++;
            }
            snprintf(out, size, "%.*s", (int)(end - value), value);
            return;
        }
        line = strstr(line, "\r\n");
    }
}

/* Reads up to the end of a head. The bytes beyond the head that was handled
 * before have been moved to the start. */
static bool
read_head(int fd, request_head *h)
{
    for (;;) {
        char *end;
        ssize_t n;

        h->text[h->size] = '\0';
        end = strstr(h->text, "\r\n\r\n");
        if (end != NULL) {
            h->head_size = (size_t)(end - h->text) + 4;
            return true;
        }
        if (h->size >= HEAD_MAX) {
            return false;
        }
        n = recv(fd, h->text + h->size, HEAD_MAX - h->size, 0);
        if (n <= 0) {
            return false;
        }
        h->size += (size_t)n;
    }
}

/* Moves the bytes that follow the first `used` ones to the start. */
static void
consume(request_head *h, size_t used)
{
    memmove(h->text, h->text + used, h->size - used);
    h->size -= used;
}

/*
 * Reads body bytes from offset `from` up to `to` and compares them with what
 * the caller sends: the letters a to z in turn. Returns false and prints a
 * record if the connection ends or another byte is read.
 */
static bool
read_body(const connection *c, request_head *h, const char *id, size_t from,
          size_t to)
{
    while (from < to) {
        size_t n = h->size < to - from ? h->size : to - from;

        for (size_t i = 0; i < n; i++) {
            if (h->text[i] != (char)('a' + (from + i) % 26)) {
                print_record("FOREIGN service=%s request=%s offset=%zu "
                             "length=%zu bytes=\"%.*s\"",
                             c->searcher->service, id, from + i, to,
                             (int)strcspn(h->text + i, "\r\n"), h->text + i);
                return false;
            }
        }
        consume(h, n);
        from += n;
        if (from < to) {
            ssize_t got = recv(c->fd, h->text, HEAD_MAX, 0);

            if (got <= 0) {
                print_record("closed service=%s request=%s offset=%zu "
                             "length=%zu",
                             c->searcher->service, id, from, to);
                return false;
            }
            h->size = (size_t)got;
        }
    }
    return true;
}

/* Returns whether this answer is spoiled or, with --extra, sent twice. */
static bool
is_garbled(searcher *s)
{
    struct timespec now;
    long ms;
    bool garbled = false;

    clock_gettime(CLOCK_MONOTONIC, &now);
    ms = (now.tv_sec - started_at.tv_sec) * 1000 +
         (now.tv_nsec - started_at.tv_nsec) / 1000000;
    if ((!extra && !spoil) || !s->first ||
        ms % (GARBLE_MS + GARBLE_PAUSE_MS) >= GARBLE_MS) {
        return false;
    }
    pthread_mutex_lock(&lock);
    garbled = ++s->answered % (spoil ? SPOILED_EVERY : EXTRA_EVERY) == 0;
    pthread_mutex_unlock(&lock);
    return garbled;
}

/* Replaces a byte of a head, at random, by a letter. */
static void
spoil_head(const connection *c, const char *id, char *head, size_t size)
{
    size_t at = (size_t)random() % size;

    head[at] = head[at] == 'x' ? 'y' : 'x';
    print_record("spoiled id=%s request=%s offset=%zu bytes=\"%.*s\"",
                 c->searcher->id, id, at, (int)strcspn(head + at, "\r\n"),
                 head + at);
}

static bool
answer(connection *c, const char *id, unsigned status, bool executed)
{
    char text[sizeof(c->extra)];
    char stamp[128] = "Not-Executed: 1\r\n";
    bool garbled;
    int n;

    if (executed) {
        snprintf(stamp, sizeof(stamp), "Response-Stamp: %s.%llu\r\n",
                 c->searcher->id, (unsigned long long)next_stamp());
    }
    n = snprintf(text, sizeof(text),
                 "HTTP/1.1 %u X\r\nRequest-Id: %s\r\n%s"
                 "Keep-Alive: timeout=%d\r\n"
                 "Content-Length: 16\r\n\r\n0123456789abcdef",
                 status, id, stamp, KEEP_ALIVE_S);
    garbled = is_garbled(c->searcher);
    if (garbled && spoil) {
        spoil_head(c, id, text, (size_t)n - BODY_BYTES);
    }
    else if (garbled) {
        memcpy(c->extra, text, (size_t)n);
        c->extra_size = n;
        snprintf(c->extra_request, sizeof(c->extra_request), "%s", id);
    }
    return send_all(c->fd, text, (size_t)n);
}

/* Sends the copy of an earlier answer, if one is due. */
static bool
send_extra(connection *c)
{
    int n = c->extra_size;

    c->extra_size = 0;
    if (n > 0) {
        print_record("copy id=%s request=%s", c->searcher->id,
                     c->extra_request);
    }
    return n == 0 || send_all(c->fd, c->extra, (size_t)n);
}

static bool
take_slot(searcher *s)
{
    bool taken;

    pthread_mutex_lock(&lock);
    taken = s->running < SLOTS;
    s->running += taken;
    pthread_mutex_unlock(&lock);
    return taken;
}

static void
release_slot(searcher *s)
{
    pthread_mutex_lock(&lock);
    s->running--;
    pthread_mutex_unlock(&lock);
}

/* Returns whether the searcher may answer early now, and counts the answer. */
static bool
take_early(searcher *s, size_t length)
{
    bool taken;

    pthread_mutex_lock(&lock);
    taken = early && s->first && length > LONG_BODY_BYTES &&
            s->normal + 1 >= EARLY_EVERY;
    s->normal = taken ? 0 : s->normal + 1;
    pthread_mutex_unlock(&lock);
    return taken;
}

/* Handles one request; returns whether the connection stays open. */
static bool
serve_request(connection *c, request_head *h)
{
    char id[128];
    char expected[128];
    char length_text[32];
    char first_line[256];
    size_t length;
    bool complete = false;

    get_field(h, "Request-Id", id, sizeof(id));
    get_field(h, "Expect-Instance", expected, sizeof(expected));
    get_field(h, "Content-Length", length_text, sizeof(length_text));
    length = strtoul(length_text, NULL, 10);
    snprintf(first_line, sizeof(first_line), "%.*s",
             (int)strcspn(h->text, "\r"), h->text);
    consume(h, h->head_size);
    if (!send_extra(c)) {
        return false;
    }
    if (expected[0] != '\0' && strcmp(expected, c->searcher->id) != 0) {
        static const char refusal[] = "HTTP/1.1 421 X\r\nNot-Executed: 1\r\n"
                                      "Connection: close\r\n"
                                      "Content-Length: 0\r\n\r\n";

        print_record("421 service=%s id=%s expected=%s request=%s",
                     c->searcher->service, c->searcher->id, expected, id);
        send_all(c->fd, refusal, sizeof(refusal) - 1);
        return false;
    }
    if (!early && !take_slot(c->searcher)) {
        print_record("full id=%s request=%s", c->searcher->id, id);
        return read_body(c, h, id, 0, length) && answer(c, id, 503, false);
    }
    print_record("run service=%s id=%s zone=%s request=%s length=%zu "
                 "line=\"%s\"",
                 c->searcher->service, c->searcher->id, c->searcher->zone, id,
                 length, first_line);
    if (take_early(c->searcher, length)) {
        if (!read_body(c, h, id, 0, EARLY_READ_BYTES) ||
            !answer(c, id, 413, true)) {
            return false;
        }
        print_record("early-answer request=%s", id);
        sleep_ms(READ_ON_AFTER_MS);
        if (!read_body(c, h, id, EARLY_READ_BYTES, length)) {
            return false;
        }
        print_record("body-complete request=%s", id);
        return true;
    }
    if (read_body(c, h, id, 0, length)) {
        complete = true;
        sleep_ms(work_ms);
    }
    if (!early) {
        release_slot(c->searcher);
    }
    return complete && answer(c, id, 200, true);
}

static bool
serve_list(const connection *c, request_head *h)
{
    static const char head[] = "HTTP/1.1 200 OK\r\n"
                               "Content-Type: application/json\r\n"
                               "Content-Length: ";
    char body[16384];
    char length[64];
    size_t n = 0;

    consume(h, h->head_size);
    n += (size_t)snprintf(body + n, sizeof(body) - n, "{\"instances\":[");
    if (odd_entry != NULL) {
        n += (size_t)snprintf(body + n, sizeof(body) - n, "%s,", odd_entry);
    }
    for (size_t i = 0; i < searcher_count; i++) {
        const searcher *s = &searchers[i];

        n += (size_t)snprintf(
            body + n, sizeof(body) - n,
            "%s{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":%d,\"state\":\"ready\","
            "\"warmup_left_ms\":0,\"born\":1764900000000,\"id\":\"%s\"}",
            i > 0 ? "," : "", s->service, s->ip, s->port, s->zone, SLOTS,
            s->id);
    }
    n += (size_t)snprintf(body + n, sizeof(body) - n,
                          "],\"next_page_token\":null}");
    snprintf(length, sizeof(length), "%zu\r\n\r\n", n);
    return send_all(c->fd, head, sizeof(head) - 1) &&
           send_all(c->fd, length, strlen(length)) && send_all(c->fd, body, n);
}

static void *
serve_connection(void *arg)
{
    connection *c = arg;
    request_head *h = calloc(1, sizeof(*h));

    while (h != NULL && read_head(c->fd, h) &&
           (c->searcher != NULL ? serve_request(c, h) : serve_list(c, h))) {
    }
    free(h);
    close(c->fd);
    free(c);
    return NULL;
}

typedef struct {
    int listener;
    searcher *searcher;
} acceptor;

static void *
accept_connections(void *arg)
{
    acceptor *a = arg;

    for (;;) {
        int fd = accept(a->listener, NULL, NULL);
        int one = 1;
        connection *c;
        pthread_t thread;

        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        c = calloc(1, sizeof(*c));
        if (c == NULL) {
            exit(2);
        }
        c->fd = fd;
        c->searcher = a->searcher;
        if (pthread_create(&thread, NULL, serve_connection, c) != 0) {
            exit(2);
        }
        pthread_detach(thread);
    }
}

static void
listen_on(const char *ip, int port, searcher *s)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int one = 1;
    int segment = SEGMENT_BYTES;
    int buffer = RECEIVE_BUFFER_BYTES;
    acceptor *a = malloc(sizeof(*a));
    pthread_t thread;

    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (s != NULL) {
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
    }
    if (a == NULL || inet_pton(AF_INET, ip, &sa.sin_addr) != 1 ||
        bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
        listen(fd, 128) != 0) {
        fprintf(stderr, "standin: cannot listen on %s:%d\n", ip, port);
        exit(2);
    }
    a->listener = fd;
    a->searcher = s;
    if (pthread_create(&thread, NULL, accept_connections, a) != 0) {
        exit(2);
    }
    pthread_detach(thread);
}

int
main(int argc, char **argv)
{
    char list_ip[32];
    int list_port;

    if (argc < 2 ||
        sscanf(argv[1], "%31[0-9.]:%d", list_ip, &list_port) != 2) {
        fprintf(stderr, "usage: standin LIST-ADDRESS [OPTION...] "
                        "SEARCHER...\n");
        return 2;
    }
    for (int i = 2; i < argc; i++) {
        searcher *s = &searchers[searcher_count];

        if (strcmp(argv[i], "--work-ms") == 0 && i + 1 < argc) {
            work_ms = atoi(argv[++i]);
        }
        else if (strcmp(argv[i], "--early") == 0) {
            early = true;
        }
        else if (strcmp(argv[i], "--extra") == 0) {
            extra = true;
        }
        else if (strcmp(argv[i], "--spoil") == 0) {
            spoil = true;
        }
        else if (strcmp(argv[i], "--odd") == 0 && i + 1 < argc) {
            odd_entry = argv[++i];
        }
        else if (searcher_count < SEARCHERS_MAX &&
                 sscanf(argv[i], "%63[^,],%63[^,],%31[^,],%31[0-9.]:%d",
                        s->service, s->id, s->zone, s->ip, &s->port) == 5) {
            s->first =
                searcher_count == 0 ||
                strcmp(s->service, searchers[searcher_count - 1].service) != 0;
            searcher_count++;
        }
        else {
            fprintf(stderr, "standin: bad argument %s\n", argv[i]);
            return 2;
        }
    }
    clock_gettime(CLOCK_MONOTONIC, &started_at);
    for (size_t i = 0; i < searcher_count; i++) {
        listen_on(searchers[i].ip, searchers[i].port, &searchers[i]);
    }
    listen_on(list_ip, list_port, NULL);
    print_record("standin searchers=%zu early=%d", searcher_count, early);
    for (;;) {
        pause();
    }
}
