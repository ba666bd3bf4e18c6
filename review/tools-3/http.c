#include "http.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define BACKLOG 512

static int64_t
read_clock(clockid_t id)
{
    struct timespec ts;

    clock_gettime(id, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t
clock_ms(void)
{
    return read_clock(CLOCK_MONOTONIC);
}

int64_t
wall_ms(void)
{
    return read_clock(CLOCK_REALTIME);
}

struct sockaddr_in
parse_address(const char *text)
{
    struct sockaddr_in sa = {.sin_family = AF_INET};
    char host[32];
    unsigned port;

    if (sscanf(text, "%31[0-9.]:%u", host, &port) != 2 ||
        inet_pton(AF_INET, host, &sa.sin_addr) != 1 || port > UINT16_MAX) {
        fprintf(stderr, "%s is no address\n", text);
        exit(2);
    }
    sa.sin_port = htons((uint16_t)port);
    return sa;
}

int
listen_on(const char *address)
{
    struct sockaddr_in sa = parse_address(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int one = 1;

    if (fd >= 0) {
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    }
    if (fd < 0 || bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
        listen(fd, BACKLOG) != 0) {
        perror(address);
        exit(2);
    }
    return fd;
}

int
connect_to(struct sockaddr_in to)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;

    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

size_t
find_head_end(const char *bytes, size_t size)
{
    const char *end = memmem(bytes, size, "\r\n\r\n", 4);

    return end != NULL ? (size_t)(end - bytes) + 4 : 0;
}

bool
get_field(char *out, size_t out_size, const char *head, size_t size,
          const char *name)
{
    size_t length = strlen(name);
    const char *line = memmem(head, size, "\r\n", 2);

    out[0] = '\0';
    while (line != NULL) {
        const char *start = line + 2;
        size_t left = size - (size_t)(start - head);
        const char *end = memmem(start, left, "\r\n", 2);

        if (end == NULL) {
            return false;
        }
        if ((size_t)(end - start) > length && start[length] == ':' &&
            strncasecmp(start, name, length) == 0) {
            const char *value = start + length + 1;

            while (value < end && *value == ' ') {
                value++;
            }
            snprintf(out, out_size, "%.*s", (int)(end - value), value);
            return true;
        }
        line = end;
    }
    return false;
}
