#include "exchange.h"

#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"

#define REDIRECTS_MAX 2 /* PROTOCOL.md: callers follow a 307 twice */

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
exchange(char *answered_by, size_t size, const order *o)
{
    static char head[HEAD_MAX_BYTES + 1];
    char address[64];
    char location[256];
    int64_t until = clock_ms() + o->timeout_ms;
    int status = 0;

    snprintf(address, sizeof(address), "%s", o->address);
    for (int i = 0; i <= REDIRECTS_MAX; i++) {
        int fd = connect_to(parse_address(address));
        size_t head_size;

        status = 0;
        if (fd < 0) {
            break;
        }
        snprintf(head, sizeof(head),
                 "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: "
                 "application/json\r\nContent-Length: %zu\r\n\r\n",
                 o->method, o->path, address, o->body_size);
        head_size = send_all(fd, head, strlen(head)) &&
                            send_all(fd, o->body, o->body_size)
                        ? read_head(fd, head, until)
                        : 0;
        head[head_size] = '\0';
        if (head_size == 0 || sscanf(head, "HTTP/1.1 %d", &status) != 1) {
            status = 0;
            reset_connection(fd);
            break;
        }
        close(fd);
        if (status != 307 ||
            !get_field(location, sizeof(location), head, head_size,
                       "Location") ||
            sscanf(location, "http://%63[0-9.:]", address) != 1) {
            break;
        }
    }
    snprintf(answered_by, size, "%s", address);
    return status;
}
