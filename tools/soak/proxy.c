#include "soak/proxy.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bbl/errors.h"
#include "net/address.h"
#include "util/alloc.h"
#include "util/clock.h"
#include "util/vec.h"

#define BACKLOG 256
#define READ_BYTES 16384
/* A side that does not read holds at most that much. */
#define HELD_MAX (256u << 10)

/* One direction of a connection. */
typedef struct {
    bbl_buf bytes;
    bbl_usec due; /* when the oldest of them may go on */
    bool ended;   /* the sender has closed */
} stream;

typedef struct {
    soak_proxy *proxy;
    int fds[2];        /* of the client, of the target */
    stream streams[2]; /* from the client, from the target */
    bool connected;
    bool silent;
    bool closed;
} pipe_pair;

struct soak_proxy {
    bbl_loop *loop;
    int listener;
    bblx_address target;
    proxy_mode mode;
    bbl_usec delay;
    bbl_vec pairs; /* pipe_pair * */
};

static void
pair_close(pipe_pair *p, bool reset)
{
    struct linger hard = {1, 0};

    if (p->closed) {
        return;
    }
    p->closed = true;
    for (int i = 0; i < 2; i++) {
        if (reset) {
            setsockopt(p->fds[i], SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
        }
        bbl_loop_unwatch(p->proxy->loop, p->fds[i]);
        close(p->fds[i]);
    }
}

static void
pair_free(pipe_pair *p)
{
    pair_close(p, false);
    bbl_buf_free(&p->streams[0].bytes);
    bbl_buf_free(&p->streams[1].bytes);
    free(p);
}

/* Reads what one side sends. */
static void
side_ready(void *ctx, int fd, uint32_t events)
{
    pipe_pair *p = ctx;
    int side = fd == p->fds[1];
    stream *s = &p->streams[side];
    char bytes[READ_BYTES];
    ssize_t n;

    if (side == 1 && !p->connected) {
        int error = 0;
        socklen_t size = sizeof(error);

        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            pair_close(p, true);
            return;
        }
        p->connected = true;
        bbl_loop_watch(p->proxy->loop, fd, EPOLLIN, side_ready, p);
        return;
    }
    (void)events;
    n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n < 0) {
        pair_close(p, true);
        return;
    }
    if (n == 0) {
        s->ended = true;
        bbl_loop_unwatch(p->proxy->loop, fd);
        return;
    }
    if (s->bytes.size == 0) {
        s->due = bbl_clock_now() + p->proxy->delay;
    }
    if (s->bytes.size + (size_t)n > HELD_MAX) {
        pair_close(p, true);
        return;
    }
    bbl_buf_append(&s->bytes, bytes, (size_t)n);
}

static void
listener_ready(void *ctx, int fd, uint32_t events)
{
    soak_proxy *proxy = ctx;
    struct sockaddr_in to = bbl_address_to_sockaddr(proxy->target);
    int client = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    int server;
    pipe_pair *p;

    (void)events;
    if (client < 0) {
        return;
    }
    server = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (server < 0 || (connect(server, (struct sockaddr *)&to, sizeof(to)) &&
                       errno != EINPROGRESS)) {
        close(client);
        if (server >= 0) {
            close(server);
        }
        return;
    }
    p = bbl_calloc(1, sizeof(*p));
    p->proxy = proxy;
    p->fds[0] = client;
    p->fds[1] = server;
    bbl_vec_push(&proxy->pairs, &p);
    bbl_loop_watch(proxy->loop, client, EPOLLIN, side_ready, p);
    bbl_loop_watch(proxy->loop, server, EPOLLOUT, side_ready, p);
}

/* Passes on what is due in one direction. */
static void
deliver(pipe_pair *p, int from, bbl_usec now)
{
    stream *s = &p->streams[from];
    proxy_mode hold = from == 0 ? PROXY_HOLD_IN : PROXY_HOLD_OUT;
    ssize_t n;

    if (p->closed || p->silent || p->proxy->mode == hold || now < s->due ||
        (from == 0 && !p->connected)) {
        return;
    }
    while (s->bytes.size > 0) {
        n = send(p->fds[1 - from], s->bytes.ptr, s->bytes.size,
                 MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (n < 0) {
            pair_close(p, true);
            return;
        }
        bbl_buf_consume(&s->bytes, (size_t)n);
    }
    if (s->ended) {
        pair_close(p, false);
    }
}

void
soak_proxy_tick(soak_proxy *proxy, bbl_usec now)
{
    for (size_t i = proxy->pairs.size; i > 0; i--) {
        pipe_pair *p = *BBL_VEC_AT(pipe_pair *, &proxy->pairs, i - 1);

        deliver(p, 0, now);
        deliver(p, 1, now);
        if (p->closed) {
            bbl_vec_swap_remove(&proxy->pairs, i - 1);
            pair_free(p);
        }
    }
}

void
soak_proxy_set_mode(soak_proxy *proxy, proxy_mode mode, bbl_usec delay)
{
    proxy->mode = mode;
    proxy->delay = mode == PROXY_DELAY ? delay : 0;
}

void
soak_proxy_reset_connections(soak_proxy *proxy)
{
    for (size_t i = 0; i < proxy->pairs.size; i++) {
        pair_close(*BBL_VEC_AT(pipe_pair *, &proxy->pairs, i), true);
    }
}

void
soak_proxy_silence_connections(soak_proxy *proxy)
{
    for (size_t i = 0; i < proxy->pairs.size; i++) {
        (*BBL_VEC_AT(pipe_pair *, &proxy->pairs, i))->silent = true;
    }
}

int
soak_proxy_open(soak_proxy **out, bbl_loop *loop, bblx_address address,
                bblx_address target)
{
    struct sockaddr_in at = bbl_address_to_sockaddr(address);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int one = 1;
    soak_proxy *proxy;

    *out = NULL;
    if (fd < 0 ||
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) != 0 ||
        bind(fd, (struct sockaddr *)&at, sizeof(at)) != 0 ||
        listen(fd, BACKLOG) != 0) {
        if (fd >= 0) {
            close(fd);
        }
        return bbl_error_set(BBL_EIO, "the proxy cannot listen");
    }
    proxy = bbl_calloc(1, sizeof(*proxy));
    proxy->loop = loop;
    proxy->listener = fd;
    proxy->target = target;
    proxy->pairs = (bbl_vec)BBL_VEC_INIT(pipe_pair *);
    *out = proxy;
    return bbl_loop_watch(loop, fd, EPOLLIN, listener_ready, proxy);
}

void
soak_proxy_free(soak_proxy *proxy)
{
    if (proxy == NULL) {
        return;
    }
    for (size_t i = 0; i < proxy->pairs.size; i++) {
        pair_free(*BBL_VEC_AT(pipe_pair *, &proxy->pairs, i));
    }
    bbl_loop_unwatch(proxy->loop, proxy->listener);
    close(proxy->listener);
    bbl_vec_free(&proxy->pairs);
    free(proxy);
}
