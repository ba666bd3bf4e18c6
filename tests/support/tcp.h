/*
 * wire.h - plain sockets for tests of the HTTP sides: text goes out and comes
 * in while a loop runs.
 */
#ifndef BBL_TEST_WIRE_H
#define BBL_TEST_WIRE_H

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/address.h"
#include "net/loop.h"

/* Returns a listening socket on loopback and its address. */
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

/* Returns an address on loopback that is free just now. */
static inline bblx_address
tcp_free_address(void)
{
    bblx_address a;

    close(tcp_listen(&a));
    return a;
}

static inline int
tcp_connect(bblx_address address)
{
    struct sockaddr_in sa = bbl_address_socket(address);
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

/* Runs the loop for about `ms`. */
static inline void
tcp_run_loop(bbl_loop *loop, int ms)
{
    for (int i = 0; i < ms; i++) {
        bbl_loop_run(loop, 1000);
    }
}

/*
 * Runs the loop until text has come; returns it, empty when the connection
 * has ended, NULL when nothing comes.
 */
static inline const char *
tcp_receive(bbl_loop *loop, int fd)
{
    static char text[65536];

    for (int i = 0; i < 300; i++) {
        ssize_t n;

        bbl_loop_run(loop, 1000);
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
