/*
 * link.c - passes the bytes of TCP connections on to a target. From SIGUSR1 on
 * the link is cut: nothing passes in either direction on the open
 * connections, the end of a connection included, and they stay open towards
 * the target. New connections are not answered.
 *
 * usage: link ADDRESS TARGET
 */
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"

#define PAIRS_MAX 64
#define CHUNK_BYTES 65536

static volatile sig_atomic_t is_cut;

static void
on_signal(int signal)
{
    (void)signal;
    is_cut = 1;
}

/* Passes what can be read on; returns false at the end of the connection. */
static bool
pass(int from, int to)
{
    static char chunk[CHUNK_BYTES];
    ssize_t n = recv(from, chunk, sizeof(chunk), 0);

    return n > 0 && send(to, chunk, (size_t)n, MSG_NOSIGNAL) == n;
}

int
main(int argc, char **argv)
{
    struct sigaction action = {.sa_handler = on_signal};
    struct pollfd fds[1 + 2 * PAIRS_MAX];
    nfds_t count = 1;

    if (argc != 3) {
        fputs("usage: link ADDRESS TARGET\n", stderr);
        return 2;
    }
    sigaction(SIGUSR1, &action, NULL);
    fds[0] = (struct pollfd){listen_on(argv[1]), POLLIN, 0};
    for (;;) {
        if (is_cut) {
            pause(); /* holds the sockets, and reads nothing */
            continue;
        }
        if (poll(fds, count, 1000) <= 0 || is_cut) {
            continue;
        }
        if ((fds[0].revents & POLLIN) != 0 && count < 2 * PAIRS_MAX) {
            int from = accept(fds[0].fd, NULL, NULL);
            int to = connect_to(parse_address(argv[2]));

            if (from < 0 || to < 0) {
                return 2;
            }
            fds[count++] = (struct pollfd){from, POLLIN, 0};
            fds[count++] = (struct pollfd){to, POLLIN, 0};
        }
        for (nfds_t i = 1; i + 1 < count; i += 2) {
            for (nfds_t k = 0; k < 2; k++) {
                if ((fds[i + k].revents & (POLLIN | POLLHUP)) != 0 &&
                    !pass(fds[i + k].fd, fds[i + 1 - k].fd)) {
                    close(fds[i].fd);
                    close(fds[i + 1].fd);
                    fds[i].fd = -1; /* poll() skips these */
                    fds[i].revents = 0;
                    fds[i + 1].fd = -1;
                    fds[i + 1].revents = 0;
                }
            }
        }
    }
}
