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

#define LISTEN_BACKLOG 256
#define READ_BYTES_MAX 16384
/* A connection with more buffered bytes in one direction is reset. */
#define BUFFERED_BYTES_MAX (256u << 10)

/* Bytes that are passed in one direction of a connection. */
typedef struct {
    bbl_buf buffered;
    bbl_usec deliver_at; /* set when the first buffered byte is received */
    bool sender_closed;  /* whether the sender has closed its end */
} stream;

typedef struct {
    soak_proxy *proxy;
    int fds[2];        /* sockets to the client and to the target */
    stream streams[2]; /* from the client and from the target */
    bool connected;    /* to the target */
    bool silent;       /* whether it passes no bytes any more */
    bool closed;
} proxy_connection;

struct soak_proxy {
    bbl_loop *loop;
    int listener;
    bblx_address target;
    proxy_mode mode;
    bbl_usec delay;
    bool refuse;         /* new connections */
    bbl_vec connections; /* of proxy_connection * */
};

static void
close_connection(proxy_connection *c, bool reset)
{
    struct linger reset_on_close = {1, 0};

    if (c->closed) {
        return;
    }
    c->closed = true;
    for (int i = 0; i < 2; i++) {
        if (reset) {
            setsockopt(c->fds[i], SOL_SOCKET, SO_LINGER, &reset_on_close,
                       sizeof(reset_on_close));
        }
        bbl_loop_unwatch(c->proxy->loop, c->fds[i]);
        close(c->fds[i]);
    }
}

static void
free_connection(proxy_connection *c)
{
    close_connection(c, false);
    bbl_buf_free(&c->streams[0].buffered);
    bbl_buf_free(&c->streams[1].buffered);
    free(c);
}

/* Completes the connection to the target, or reads from one of the sockets. */
static void
on_socket_ready(void *ctx, int fd, uint32_t events)
{
    proxy_connection *c = ctx;
    int side = fd == c->fds[1];
    stream *s = &c->streams[side];
    char bytes[READ_BYTES_MAX];
    ssize_t n;

    if (side == 1 && !c->connected) {
        int error = 0;
        socklen_t size = sizeof(error);

        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
        if (error != 0) {
            close_connection(c, true);
            return;
        }
        c->connected = true;
        bbl_loop_watch(c->proxy->loop, fd, EPOLLIN, on_socket_ready, c);
        return;
    }
    (void)events;
    n = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n < 0) {
        close_connection(c, true);
        return;
    }
    if (n == 0) {
        s->sender_closed = true;
        bbl_loop_unwatch(c->proxy->loop, fd);
        return;
    }
    if (s->buffered.size == 0) {
        s->deliver_at = bbl_clock_now() + c->proxy->delay;
    }
    if (s->buffered.size + (size_t)n > BUFFERED_BYTES_MAX) {
        close_connection(c, true);
        return;
    }
    bbl_buf_append(&s->buffered, bytes, (size_t)n);
}

static void
on_listener_ready(void *ctx, int fd, uint32_t events)
{
    soak_proxy *proxy = ctx;
    struct sockaddr_in to = bbl_address_to_sockaddr(proxy->target);
    struct linger reset_on_close = {1, 0};
    int client = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    int server;
    proxy_connection *c;

    (void)events;
    if (client < 0) {
        return;
    }
    if (proxy->refuse) {
        setsockopt(client, SOL_SOCKET, SO_LINGER, &reset_on_close,
                   sizeof(reset_on_close));
        close(client);
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
    c = bbl_calloc(1, sizeof(*c));
    c->proxy = proxy;
    c->fds[0] = client;
    c->fds[1] = server;
    bbl_vec_push(&proxy->connections, &c);
    bbl_loop_watch(proxy->loop, client, EPOLLIN, on_socket_ready, c);
    bbl_loop_watch(proxy->loop, server, EPOLLOUT, on_socket_ready, c);
}

/* Sends the buffered bytes of one direction, if the mode and the delay allow
 * it. */
static void
deliver_buffered(proxy_connection *c, int from, bbl_usec now)
{
    stream *s = &c->streams[from];
    proxy_mode hold = from == 0 ? PROXY_HOLD_IN : PROXY_HOLD_OUT;
    ssize_t n;

    if (c->closed || c->silent || c->proxy->mode == hold ||
        now < s->deliver_at || (from == 0 && !c->connected)) {
        return;
    }
    while (s->buffered.size > 0) {
        n = send(c->fds[1 - from], s->buffered.ptr, s->buffered.size,
                 MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (n < 0) {
            close_connection(c, true);
            return;
        }
        bbl_buf_consume(&s->buffered, (size_t)n);
    }
    if (s->sender_closed) {
        close_connection(c, false);
    }
}

void
soak_proxy_tick(soak_proxy *proxy, bbl_usec now)
{
    for (size_t i = proxy->connections.size; i > 0; i--) {
        proxy_connection *c =
            *BBL_VEC_AT(proxy_connection *, &proxy->connections, i - 1);

        deliver_buffered(c, 0, now);
        deliver_buffered(c, 1, now);
        if (c->closed) {
            bbl_vec_swap_remove(&proxy->connections, i - 1);
            free_connection(c);
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
    for (size_t i = 0; i < proxy->connections.size; i++) {
        close_connection(
            *BBL_VEC_AT(proxy_connection *, &proxy->connections, i), true);
    }
}

void
soak_proxy_refuse(soak_proxy *proxy, bool refuse)
{
    proxy->refuse = refuse;
}

void
soak_proxy_silence_connections(soak_proxy *proxy)
{
    for (size_t i = 0; i < proxy->connections.size; i++) {
        (*BBL_VEC_AT(proxy_connection *, &proxy->connections, i))->silent =
            true;
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
        listen(fd, LISTEN_BACKLOG) != 0) {
        if (fd >= 0) {
            close(fd);
        }
        return bbl_error_set(BBL_EIO,
                             "the proxy cannot listen on its address");
    }
    proxy = bbl_calloc(1, sizeof(*proxy));
    proxy->loop = loop;
    proxy->listener = fd;
    proxy->target = target;
    proxy->connections = (bbl_vec)BBL_VEC_INIT(proxy_connection *);
    *out = proxy;
    return bbl_loop_watch(loop, fd, EPOLLIN, on_listener_ready, proxy);
}

void
soak_proxy_free(soak_proxy *proxy)
{
    if (proxy == NULL) {
        return;
    }
    for (size_t i = 0; i < proxy->connections.size; i++) {
        free_connection(
            *BBL_VEC_AT(proxy_connection *, &proxy->connections, i));
    }
    bbl_loop_unwatch(proxy->loop, proxy->listener);
    close(proxy->listener);
    bbl_vec_free(&proxy->connections);
    free(proxy);
}
