#include "net/edge.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bbl/errors.h"
#include "net/address.h"
#include "util/alloc.h"
#include "util/clock.h"

#define READ_BYTES 16384
/* A buffer that has grown beyond this is freed once it is empty. */
#define KEPT_BUFFER_BYTES 4096
#define PIPELINED_MAX_BYTES 65536 /* buffered while a request is handled */
#define BACKLOG 1024
#define ACCEPTS_PER_EVENT 64
/* Maximum time for the caller to close after the last response. */
#define LINGER_US (1000 * BBL_USEC_PER_MS)

/* In effect until bbl_edge_set_limits is called. */
static const bbl_caller_limits default_limits = {16384, 262144, 3000, 15000};

typedef enum {
    CONN_READING, /* no request, or an incomplete one, has been received */
    CONN_WAITING, /* the handler has not yet answered the request */
    CONN_WRITING, /* a response is being sent */
    CONN_CLOSING, /* the last response is sent; input is discarded */
    CONN_CLOSED   /* the socket is closed; the next tick frees the memory */
} conn_state;

typedef struct conn {
    bbl_edge *edge;
    int fd;
    conn_state state;
    uint32_t events; /* epoll events being watched */
    bbl_http_message message;
    bbl_edge_call call;
    bbl_buf in;         /* received bytes that are not parsed yet */
    bbl_buf out;        /* the response */
    size_t sent;        /* bytes of `out` sent so far */
    size_t charged;     /* bytes allocated, charged to the account */
    bool close_after;   /* close the connection after the response */
    bool input_ended;   /* the caller has closed its side */
    bool continue_sent; /* "100 Continue" was sent for this request */
    bool had_request;   /* the connection has carried a complete request */
    bbl_usec state_since;
    bbl_usec round_trip;      /* to the caller; 0 if not known */
    bbl_usec accepted_since;  /* earliest arrival of the connection */
    bbl_usec accepted_at;     /* poll that reported the connection */
    bbl_usec readable_since;  /* earliest arrival of the last bytes read */
    bbl_usec request_started; /* time of the first byte; 0: no request yet */
    struct conn *prev;
    struct conn *next;
} conn;

struct bbl_edge {
    bbl_loop *loop;
    int listener;
    bbl_edge_handler handler;
    bbl_caller_limits limits;
    bool draining;
    bbl_memory_account *account; /* NULL: nothing is charged */
    conn *connections;           /* open connections, the newest first */
    conn *closed;                /* freed by the next tick */
    size_t connection_count;
    size_t open_call_count;
    bbl_edge_counters counters;
};

static void conn_ready(void *ctx, int fd, uint32_t events);
static void parse_request(conn *c);

static void
watch(conn *c, uint32_t events)
{
    if (c->events != events) {
        c->events = events;
        bbl_loop_watch(c->edge->loop, c->fd, events, conn_ready, c);
    }
}

static void
set_state(conn *c, conn_state state)
{
    c->state = state;
    c->state_since = bbl_clock_now();
}

/* Charges what a connection has allocated now. */
static void
charge_conn(conn *c)
{
    if (c->edge->account != NULL) {
        bbl_memory_account_charge(c->edge->account, &c->charged,
                                  bbl_http_message_get_allocated(&c->message) +
                                      c->in.cap + c->out.cap);
    }
}

/* Frees an empty buffer that is large. */
static void
trim_buffer(bbl_buf *buf)
{
    if (buf->size == 0 && buf->cap > KEPT_BUFFER_BYTES) {
        bbl_buf_free(buf);
    }
}

static void
free_buffers(conn *c)
{
    bbl_http_message_free(&c->message);
    bbl_buf_free(&c->in);
    bbl_buf_free(&c->out);
    charge_conn(c);
}

/* Closes a connection; the next tick frees it. */
static void
conn_close(conn *c)
{
    bbl_edge *e = c->edge;
    bool waiting = c->state == CONN_WAITING;

    if (c->state == CONN_CLOSED) {
        return;
    }
    c->state = CONN_CLOSED;
    bbl_loop_unwatch(e->loop, c->fd);
    close(c->fd);
    e->connection_count--;
    if (c->prev != NULL) {
        c->prev->next = c->next;
    }
    else {
        e->connections = c->next;
    }
    if (c->next != NULL) {
        c->next->prev = c->prev;
    }
    c->next = e->closed;
    e->closed = c;
    if (waiting) {
        e->open_call_count--;
        e->counters.disconnected++;
        if (e->handler.on_disconnect != NULL) {
            e->handler.on_disconnect(e->handler.ctx, &c->call);
        }
    }
    free_buffers(c);
}

/* ---- output ---- */

static void
complete_response(conn *c)
{
    bbl_buf_clear(&c->out);
    trim_buffer(&c->out);
    bbl_http_message_reset(&c->message);
    charge_conn(c);
    c->sent = 0;
    if (c->close_after) {
        /* Only the sending side is shut down, so that the caller reads the
         * response before the connection ends. */
        shutdown(c->fd, SHUT_WR);
        set_state(c, CONN_CLOSING);
        watch(c, EPOLLIN | EPOLLRDHUP);
        return;
    }
    c->request_started = 0;
    c->continue_sent = false;
    set_state(c, CONN_READING);
    watch(c, EPOLLIN | EPOLLRDHUP);
    if (c->in.size > 0) {
        parse_request(c);
    }
    else if (c->input_ended) {
        conn_close(c);
    }
}

static void
conn_write(conn *c)
{
    while (c->sent < c->out.size) {
        ssize_t n = send(c->fd, c->out.ptr + c->sent, c->out.size - c->sent,
                         MSG_NOSIGNAL | MSG_DONTWAIT);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && errno == EAGAIN) {
            watch(c, EPOLLOUT | EPOLLRDHUP);
            return;
        }
        if (n < 0) {
            conn_close(c);
            return;
        }
        c->sent += (size_t)n;
    }
    complete_response(c);
}

static void
start_response(conn *c, const bbl_edge_response *r)
{
    bool close = r->close || c->edge->draining || !c->message.keep_alive ||
                 !c->message.done || c->input_ended;

    c->close_after = close;
    bbl_buf_clear(&c->out);
    c->sent = 0;
    bbl_buf_printf(&c->out, "HTTP/1.1 %u %s\r\n", r->status,
                   bbl_http_reason_phrase(r->status));
    bbl_buf_append(&c->out, r->fields.ptr, r->fields.size);
    bbl_buf_printf(&c->out, "Content-Length: %zu\r\n%s\r\n", r->body.size,
                   close ? "Connection: close\r\n" : "");
    if (!c->message.done || c->message.parser.method != (unsigned)HTTP_HEAD) {
        bbl_buf_append(&c->out, r->body.ptr, r->body.size);
    }
    charge_conn(c);
    set_state(c, CONN_WRITING);
    conn_write(c);
}

bool
bbl_edge_call_is_awaited(const bbl_edge_call *call)
{
    const conn *c = (const conn *)((const char *)call - offsetof(conn, call));
    struct pollfd p = {c->fd, POLLRDHUP, 0};

    return poll(&p, 1, 0) == 0;
}

void
bbl_edge_respond(bbl_edge_call *call, const bbl_edge_response *response)
{
    conn *c = (conn *)((char *)call - offsetof(conn, call));

    c->edge->open_call_count--;
    start_response(c, response);
}

void
bbl_edge_respond_text(bbl_edge_call *call, unsigned status, const char *fields,
                      const char *text)
{
    bbl_edge_response r = {
        status, {fields, strlen(fields)}, {text, strlen(text)}, false};

    bbl_edge_respond(call, &r);
}

/* Refuses a request that was not passed to the handler, and closes the
 * connection after the response. */
static void
refuse_request(conn *c, unsigned status, const char *text)
{
    bbl_edge_response r = {status, {"", 0}, {text, strlen(text)}, true};

    c->edge->counters.refused++;
    c->message.keep_alive = false;
    start_response(c, &r);
}

/* ---- input ---- */

static bbl_str
strip_port(bbl_str host)
{
    for (size_t i = host.size; i > 0; i--) {
        if (host.ptr[i - 1] == ':') {
            return (bbl_str){host.ptr, i - 1};
        }
        if (host.ptr[i - 1] < '0' || host.ptr[i - 1] > '9') {
            break;
        }
    }
    return host;
}

/*
 * Updates the least round trip time to the caller. A single measurement may
 * include the time by which the caller has delayed an acknowledgement.
 */
static void
measure_round_trip(conn *c)
{
    struct tcp_info info;
    socklen_t size = sizeof(info);

    memset(&info, 0, sizeof(info));
    if (getsockopt(c->fd, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
        info.tcpi_rtt > 0 &&
        (c->round_trip == 0 || info.tcpi_rtt < c->round_trip)) {
        c->round_trip = info.tcpi_rtt;
    }
}

static void
dispatch_call(conn *c)
{
    bbl_edge_call *call = &c->call;
    const char *query;

    memset(call, 0, sizeof(*call));
    call->message = &c->message;
    call->method = bbl_http_message_method(&c->message);
    call->target = bbl_http_message_target(&c->message);
    call->path = call->target;
    query = memchr(call->target.ptr, '?', call->target.size);
    if (query != NULL) {
        call->path.size = (size_t)(query - call->target.ptr);
    }
    call->hostname = strip_port(bbl_http_message_field(&c->message, "Host"));
    call->received_at = c->readable_since;
    call->first_on_connection = !c->had_request;
    measure_round_trip(c);
    call->round_trip = c->round_trip;
    c->had_request = true;
    c->edge->counters.requests++;
    c->edge->open_call_count++;
    set_state(c, CONN_WAITING);
    c->edge->handler.on_request(c->edge->handler.ctx, call);
}

/*
 * Checks a complete head, and sends "100 Continue" if the caller expects it.
 * Returns false if the request is refused or the connection is closed.
 */
static bool
check_head(conn *c)
{
    bbl_str target = bbl_http_message_target(&c->message);

    if (bbl_http_message_field_count(&c->message, "Host") != 1 ||
        target.size == 0 || target.ptr[0] != '/') {
        refuse_request(c, 400, "one Host field and a path are needed\n");
        return false;
    }
    if (c->message.parser.content_length != UINT64_MAX &&
        c->message.parser.content_length > c->edge->limits.max_body_bytes) {
        refuse_request(c, 413, "the body is over the limit\n");
        return false;
    }
    if (!c->message.done && !c->continue_sent &&
        bbl_http_message_field_count(&c->message, "Expect") > 0) {
        static const char continue_response[] =
            "HTTP/1.1 100 Continue\r\n\r\n";

        c->continue_sent = true;
        if (send(c->fd, continue_response, sizeof(continue_response) - 1,
                 MSG_NOSIGNAL) < 0) {
            conn_close(c);
            return false;
        }
    }
    return true;
}

/* Returns whether requests that are being handled take all the memory. */
static bool
is_memory_exhausted(const bbl_edge *e)
{
    return e->account != NULL && bbl_memory_account_get_used(e->account) >
                                     bbl_memory_account_get_limit(e->account);
}

/* Parses `in` up to the end of one request, and handles that request. */
static void
parse_request(conn *c)
{
    bool had_head = c->message.head_done;
    size_t used;
    int error;

    if (c->request_started == 0) {
        c->request_started = bbl_clock_now();
        c->message.body_max = c->edge->limits.max_body_bytes;
    }
    error = bbl_http_message_feed(&c->message, bbl_buf_str(&c->in), &used);
    if (error != 0) {
        if (c->message.too_large) {
            refuse_request(c, 413, "the body is over the limit\n");
        }
        else {
            refuse_request(c, 400, "this is no HTTP/1.1 request\n");
        }
        return;
    }
    bbl_buf_consume(&c->in, used);
    if ((!c->message.head_done || !had_head) &&
        c->message.head_size > c->edge->limits.max_header_bytes) {
        refuse_request(c, 431, "the head is over the limit\n");
        return;
    }
    if (c->message.head_done && !had_head && !check_head(c)) {
        return;
    }
    charge_conn(c);
    if (c->message.done && is_memory_exhausted(c->edge)) {
        bbl_memory_account_count(c->edge->account, BBL_MEMORY_CALLER_REQUEST);
        refuse_request(c, 503, "too much memory is in use\n");
    }
    else if (c->message.done) {
        dispatch_call(c);
    }
    else if (c->input_ended) {
        conn_close(c);
    }
}

/* Appends received bytes to `in`; false if the connection has ended or
 * failed. */
static bool
conn_read(conn *c)
{
    char bytes[READ_BYTES];
    ssize_t n = recv(c->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return true;
    }
    if (n <= 0) {
        return false;
    }
    bbl_buf_append(&c->in, bytes, (size_t)n);
    charge_conn(c);
    c->readable_since = bbl_loop_get_ready_since(c->edge->loop);
    if (c->readable_since <= c->accepted_at) {
        /* They may have waited as long as the connection. */
        c->readable_since = c->accepted_since;
    }
    return true;
}

static void
read_request(conn *c)
{
    size_t before = c->in.size;

    if (!conn_read(c)) {
        conn_close(c);
        return;
    }
    if (c->in.size > before) {
        parse_request(c);
    }
    if (c->state != CONN_CLOSED) {
        trim_buffer(&c->in);
        charge_conn(c);
    }
    if (c->edge->account != NULL) {
        bbl_memory_account_enforce(c->edge->account);
    }
}

/*
 * Buffers pipelined requests, and detects that the caller has disconnected,
 * while a request is handled.
 */
static void
read_pipelined(conn *c, uint32_t events)
{
    if ((events & EPOLLRDHUP) != 0) {
        conn_close(c);
        return;
    }
    if (!conn_read(c)) {
        conn_close(c);
    }
    else if (c->in.size > PIPELINED_MAX_BYTES) {
        watch(c, EPOLLRDHUP);
    }
}

static void
discard_input(conn *c)
{
    char discarded[4096];
    ssize_t n = recv(c->fd, discarded, sizeof(discarded), MSG_DONTWAIT);

    if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR)) {
        conn_close(c);
    }
}

static void
conn_ready(void *ctx, int fd, uint32_t events)
{
    conn *c = ctx;

    (void)fd;
    if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
        conn_close(c);
        return;
    }
    switch (c->state) {
    case CONN_READING:
        read_request(c);
        break;
    case CONN_WAITING:
        read_pipelined(c, events);
        break;
    case CONN_WRITING:
        if ((events & EPOLLOUT) != 0) {
            conn_write(c);
        }
        else if ((events & EPOLLRDHUP) != 0) {
            c->input_ended = true;
            c->close_after = true;
            watch(c, EPOLLOUT);
        }
        break;
    case CONN_CLOSING:
        discard_input(c);
        break;
    case CONN_CLOSED:
        break;
    }
}

/* Accepts one waiting connection; returns false if there is none. */
static bool
accept_connection(bbl_edge *e)
{
    int peer = accept4(e->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    int one = 1;
    conn *c;

    if (peer < 0) {
        return false;
    }
    setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    c = bbl_calloc(1, sizeof(*c));
    c->edge = e;
    c->fd = peer;
    c->accepted_since = bbl_loop_get_ready_since(e->loop);
    c->accepted_at = bbl_loop_get_polled_at(e->loop);
    bbl_http_message_init(&c->message, true, e->limits.max_body_bytes);
    c->next = e->connections;
    if (e->connections != NULL) {
        e->connections->prev = c;
    }
    e->connections = c;
    e->connection_count++;
    e->counters.accepted++;
    set_state(c, CONN_READING);
    watch(c, EPOLLIN | EPOLLRDHUP);
    return true;
}

static void
listener_ready(void *ctx, int fd, uint32_t events)
{
    bbl_edge *e = ctx;

    (void)fd;
    (void)events;
    for (int i = 0; i < ACCEPTS_PER_EVENT && accept_connection(e); i++) {
    }
}

/* ---- public functions ---- */

int
bbl_edge_open(bbl_edge **out, bbl_loop *loop, bblx_address address,
              const bbl_edge_handler *handler)
{
    bbl_edge *e = bbl_calloc(1, sizeof(*e));
    struct sockaddr_in sa = bbl_address_to_sockaddr(address);
    int one = 1;

    *out = NULL;
    e->loop = loop;
    e->handler = *handler;
    e->limits = default_limits;
    e->listener =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (e->listener >= 0) {
        setsockopt(e->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    }
    if (e->listener < 0 ||
        bind(e->listener, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
        listen(e->listener, BACKLOG) != 0 ||
        bbl_loop_watch(loop, e->listener, EPOLLIN, listener_ready, e) != 0) {
        bbl_error_set(BBL_ENET, "cannot listen on port %u: %s", address.port,
                      strerror(errno));
        bbl_edge_free(e);
        return BBL_ENET;
    }
    *out = e;
    return 0;
}

static void
free_closed(bbl_edge *e)
{
    while (e->closed != NULL) {
        conn *c = e->closed;

        e->closed = c->next;
        free(c);
    }
}

static void
close_listener(bbl_edge *e)
{
    if (e->listener >= 0) {
        bbl_loop_unwatch(e->loop, e->listener);
        close(e->listener);
        e->listener = -1;
    }
}

void
bbl_edge_free(bbl_edge *e)
{
    if (e == NULL) {
        return;
    }
    while (e->connections != NULL) {
        conn_close(e->connections);
    }
    free_closed(e);
    close_listener(e);
    if (e->account != NULL) {
        bbl_memory_account_remove_holder(e->account, e);
    }
    free(e);
}

void
bbl_edge_set_limits(bbl_edge *e, const bbl_caller_limits *limits)
{
    e->limits = *limits;
}

/* Returns the connection that has allocated most of those that can be ended,
 * or NULL. */
static conn *
find_largest(const bbl_edge *e)
{
    conn *largest = NULL;

    for (conn *c = e->connections; c != NULL; c = c->next) {
        if (c->state != CONN_WAITING &&
            c->charged > (largest != NULL ? largest->charged : 0)) {
            largest = c;
        }
    }
    return largest;
}

static size_t
get_largest(void *ctx)
{
    const conn *largest = find_largest(ctx);

    return largest != NULL ? largest->charged : 0;
}

static void
end_largest(void *ctx)
{
    bbl_edge *e = ctx;
    conn *c = find_largest(e);

    if (c != NULL && c->state == CONN_READING && c->request_started != 0) {
        bbl_memory_account_count(e->account, BBL_MEMORY_CALLER_REQUEST);
        bbl_buf_free(&c->in);
        refuse_request(c, 503, "too much memory is in use\n");
    }
    else if (c != NULL) {
        bbl_memory_account_count(e->account, c->state == CONN_READING
                                                 ? BBL_MEMORY_IDLE
                                                 : BBL_MEMORY_CALLER_ANSWER);
        conn_close(c);
    }
}

void
bbl_edge_set_memory_account(bbl_edge *e, bbl_memory_account *account)
{
    bbl_memory_holder holder = {get_largest, end_largest, e};

    e->account = account;
    bbl_memory_account_add_holder(account, &holder);
}

void
bbl_edge_drain(bbl_edge *e)
{
    e->draining = true;
}

void
bbl_edge_stop_listening(bbl_edge *e)
{
    if (e->listener >= 0) {
        /* Closing the listener would reset the connections that wait. */
        while (accept_connection(e)) {
        }
        close_listener(e);
    }
}

static bool
is_idle(const conn *c)
{
    return c->state == CONN_READING && c->request_started == 0;
}
/* Returns whether bytes of a caller wait unread in the socket. */
static bool
has_unread_bytes(const conn *c)
{
    char byte;

    return recv(c->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void
bbl_edge_close_idle(bbl_edge *e, bbl_usec idle_for, bbl_usec now)
{
    conn *next;

    for (conn *c = e->connections; c != NULL; c = next) {
        next = c->next;
        if (is_idle(c) && now >= c->state_since + idle_for &&
            !has_unread_bytes(c)) {
            conn_close(c);
        }
    }
}

static void
check_timeouts(conn *c, bbl_usec now)
{
    const bbl_caller_limits *l = &c->edge->limits;

    if (is_idle(c) &&
        now > c->state_since + l->idle_timeout_ms * BBL_USEC_PER_MS) {
        conn_close(c);
    }
    else if (c->state == CONN_READING && c->request_started != 0 &&
             !c->message.head_done &&
             now >
                 c->request_started + l->header_timeout_ms * BBL_USEC_PER_MS) {
        refuse_request(c, 408, "the head took too long\n");
    }
    else if ((c->state == CONN_READING || c->state == CONN_WRITING) &&
             c->request_started != 0 &&
             now > c->state_since + l->idle_timeout_ms * BBL_USEC_PER_MS) {
        conn_close(c);
    }
    else if (c->state == CONN_CLOSING && now > c->state_since + LINGER_US) {
        conn_close(c);
    }
}

void
bbl_edge_tick(bbl_edge *e, bbl_usec now)
{
    conn *next;

    for (conn *c = e->connections; c != NULL; c = next) {
        next = c->next;
        check_timeouts(c, now);
    }
    if (e->account != NULL) {
        bbl_memory_account_enforce(e->account);
    }
    free_closed(e);
}

size_t
bbl_edge_connection_count(const bbl_edge *e)
{
    return e->connection_count;
}

size_t
bbl_edge_open_call_count(const bbl_edge *e)
{
    return e->open_call_count;
}

const bbl_edge_counters *
bbl_edge_get_counters(const bbl_edge *e)
{
    return &e->counters;
}
