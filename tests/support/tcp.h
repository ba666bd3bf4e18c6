/*
 * tcp.h - plain TCP sockets for tests of HTTP clients and servers that run in
 * an event loop of the same thread.
 */
#ifndef BBL_TEST_TCP_H
#define BBL_TEST_TCP_H

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"
#include "net/loop.h"

/* Returns a socket that listens on a free loopback port; sets its address. */
static inline int
tcp_listen(bblx_address *out)
{
    struct sockaddr_in sa = {.sin_family = AF_INET};
    socklen_t size = sizeof(sa);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

    sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&sa, sizeof(sa)), 0);
    ck_assert_int_eq(listen(fd, 64), 0);
    getsockname(fd, (struct sockaddr *)&sa, &size);
    out->ip = INADDR_LOOPBACK;
    out->port = ntohs(sa.sin_port);
    return fd;
}

/* Returns a loopback address that is not in use at the moment. */
static inline bblx_address
tcp_free_address(void)
{
    bblx_address a;

    close(tcp_listen(&a));
    return a;
}

/* Returns a connected socket, or -1. */
static inline int
tcp_connect(bblx_address address)
{
    struct sockaddr_in sa = bbl_address_to_sockaddr(address);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static inline void
tcp_send(int fd, const char *text)
{
    ck_assert_int_eq(send(fd, text, strlen(text), MSG_NOSIGNAL),
                     (ssize_t)strlen(text));
}

/*
 * Sends `text` again and again while the loop runs, until the peer closes the
 * connection or `max` bytes were sent. Returns the number of bytes sent.
 */
static inline size_t
tcp_send_endlessly(bbl_loop *loop, int fd, const char *text, size_t max)
{
    size_t size = strlen(text);
    size_t sent = 0;

    while (sent < max) {
        ssize_t n = send(fd, text + sent % size, size - sent % size,
                         MSG_NOSIGNAL | MSG_DONTWAIT);

        if (n < 0 && errno != EAGAIN) {
            break;
        }
        sent += n > 0 ? (size_t)n : 0;
        bbl_loop_run_once(loop, 0);
    }
    return sent;
}

/* Runs the loop for about `ms` milliseconds. */
static inline void
tcp_run_loop(bbl_loop *loop, int ms)
{
    for (int i = 0; i < ms; i++) {
        bbl_loop_run_once(loop, 1000);
    }
}

/*
 * Runs the loop until the socket has received data. Returns the data as a
 * string that the next call overwrites; an empty string if the peer has closed
 * or reset the connection; NULL if nothing arrives within about 300 ms.
 */
static inline const char *
tcp_receive(bbl_loop *loop, int fd)
{
    static char text[65536];

    for (int i = 0; i < 300; i++) {
        ssize_t n;

        bbl_loop_run_once(loop, 1000);
        n = recv(fd, text, sizeof(text) - 1, MSG_DONTWAIT);
        if (n >= 0) {
            text[n] = '\0';
            return text;
        }
        if (errno == ECONNRESET) {
            return "";
        }
    }
    return NULL;
}

#endif
