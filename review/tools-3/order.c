/*
 * order.c - sends one order of an operator to a control host and prints the
 * status of the answer, 0 if there is none in time. A connection that brings
 * no answer in time is reset.
 *
 * usage: order METHOD ADDRESS PATH TIMEOUT_MS [FILE]
 */
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"

#define REDIRECTS_MAX 2 /* PROTOCOL.md: callers follow a 307 twice */
#define BODY_MAX_BYTES (16 << 20)

/* Reads a file, or nothing if there is none. */
static char *
read_file(const char *path, size_t *size)
{
    FILE *file = path != NULL ? fopen(path, "r") : NULL;
    char *body = malloc(BODY_MAX_BYTES);

    if (body == NULL || (path != NULL && file == NULL)) {
        perror(path != NULL ? path : "malloc");
        exit(2);
    }
    *size = file != NULL ? fread(body, 1, BODY_MAX_BYTES, file) : 0;
    if (file != NULL) {
        fclose(file);
    }
    return body;
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
reset_connection(int fd)
{
    struct linger linger = {1, 0};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    close(fd);
}

/* Reads the head of an answer until a time; returns its size or 0. */
static size_t
read_head(int fd, char *head, int64_t until)
{
    size_t size = 0;

    while (size < HEAD_MAX_BYTES && find_head_end(head, size) == 0) {
        struct pollfd p = {fd, POLLIN, 0};
        int64_t left = until - clock_ms();
        ssize_t n;

        if (left <= 0 || poll(&p, 1, (int)left) != 1) {
            return 0;
        }
        n = recv(fd, head + size, HEAD_MAX_BYTES - size, 0);
        if (n <= 0) {
            return 0;
        }
        size += (size_t)n;
    }
    return size;
}

int
main(int argc, char **argv)
{
    static char head[HEAD_MAX_BYTES + 1];
    char address[64];
    char location[256];
    int status = 0;
    size_t body_size;
    char *body;
    int64_t until;

    if (argc < 5) {
        fputs("usage: order METHOD ADDRESS PATH TIMEOUT_MS [FILE]\n", stderr);
        return 2;
    }
    body = read_file(argc > 5 ? argv[5] : NULL, &body_size);
    until = clock_ms() + atoi(argv[4]);
    snprintf(address, sizeof(address), "%s", argv[2]);
    for (int i = 0; i <= REDIRECTS_MAX; i++) {
        int fd = connect_to(parse_address(address));
        size_t size;

        status = 0;
        if (fd < 0) {
            break;
        }
        snprintf(head, sizeof(head),
                 "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: "
                 "application/json\r\nContent-Length: %zu\r\n\r\n",
                 argv[1], argv[3], address, body_size);
        size =
            send_all(fd, head, strlen(head)) && send_all(fd, body, body_size)
                ? read_head(fd, head, until)
                : 0;
        head[size] = '\0';
        if (size == 0 || sscanf(head, "HTTP/1.1 %d", &status) != 1) {
            reset_connection(fd);
            break;
        }
        close(fd);
        if (status != 307 ||
            !get_field(location, sizeof(location), head, size, "Location") ||
            sscanf(location, "http://%63[0-9.:]", address) != 1) {
            break;
        }
    }
    printf("%d %s\n", status, address);
    free(body);
    return 0;
}
