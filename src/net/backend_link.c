#include "net/backend_link.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "bbl/errors.h"
#include "net/address.h"
#include "util/alloc.h"
#include "util/clock.h"
#include "util/map.h"

#define READ_BYTES 16384
/* Assumed idle timeout of a server that sends no timeout in Keep-Alive. */
#define SERVER_IDLE_DEFAULT_US (9 * BBL_USEC_PER_SEC)
/* An idle connection is closed this long before the server closes it, so that
 * no request is sent on a connection that is about to end. */
#define IDLE_MARGIN_US (200 * BBL_USEC_PER_MS)
/* Idle timeout while a link with `keep_open` has more than one connection. A
 * burst of requests is shorter than this. */
#define SURPLUS_IDLE_TIMEOUT_US (2 * BBL_USEC_PER_SEC)
/* Idle timeout of the connections of links without `keep_open`. */
#define IDLE_TIMEOUT_US (500 * BBL_USEC_PER_MS)
/* Minimum time from a preconnect or failed connect to the next preconnect of
 * the link. */
#define PRECONNECT_INTERVAL_US (300 * BBL_USEC_PER_MS)
/*
 * Maximum connections that one tick preconnects. A host that starts has none;
 * without a limit, hosts that start together would fill the servers' slots
 * with new connections while the first requests come in.
 */
#define PRECONNECTS_PER_TICK 8
/* Minimum time to the next preconnect of a link whose server is full. */
#define SERVER_FULL_DELAY_US (1000 * BBL_USEC_PER_MS)
/* The server is considered full if it closes a new connection that has carried
 * no exchange within this time. */
#define SERVER_FULL_CLOSE_US (50 * BBL_USEC_PER_MS)
/* Bytes of interim responses and of responses to earlier requests that a
 * server may send before its response to a request, besides one of any length.
 */
#define STRAY_MAX_BYTES (64u << 10)
#define INTERIM_STATUS_MAX 199 /* responses that precede the final one */
/* A connection is closed after it has carried this many requests, as it
 * remembers the ID of each. */
#define REQUESTS_PER_CONNECTION_MAX 256
/*
 * Maximum bytes in a response of unknown length, after many that did not end;
 * twice that may be allocated. Usual responses have up to 36,000 bytes, which
 * take a buffer of 64 KB; the rest is for the head.
 */
#define UNBOUNDED_RESPONSE_MIN_BYTES (48u << 10)
/*
 * A lowered limit for responses of unknown length doubles after this time
 * without another one that does not end. A server that is at fault and in use
 * is asked more often and stays limited; with bodies of 16 MB, the largest
 * that is configured, the limit is whole again after 9 such periods.
 */
#define LIMIT_RECOVERY_US (2 * BBL_USEC_PER_SEC)
/*
 * Share of the account's limit that the requests and responses of one server
 * may take, as a divisor. A response of the maximum size, a quarter of the
 * limit, takes up to half in a buffer that grows by doubling. A server at its
 * share with 66 connections, the most that one accepts, holds more on each
 * than a usual response takes, so the host ends these first if the others need
 * more than the other half.
 */
#define SERVER_SHARE_DIVISOR 2
/* Bytes of the head of a response of the maximum size. */
#define HEAD_ALLOWANCE_BYTES (64u << 10)
/* Minimum time between reports of what was ended at one server for memory. */
#define MEMORY_REPORT_INTERVAL_US (5 * BBL_USEC_PER_SEC)
/* Bytes that the kernel buffers of a response; they use memory as well. */
#define RECEIVE_BUFFER_BYTES (32 << 10)
/* A request buffer that is larger is freed after the exchange. */
#define KEPT_REQUEST_BYTES (4u << 10)

typedef enum { CONN_CONNECTING, CONN_IDLE, CONN_BUSY, CONN_CLOSED } conn_state;

/*
 * A connection. It carries one exchange at a time. The public handle of an
 * exchange, bbl_link_exchange, is a pointer to its connection.
 */
struct bbl_link_exchange {
    bbl_backend_link *link;
    int fd;
    conn_state state;
    uint32_t events; /* epoll events being watched */
    bbl_http_message message;
    bbl_buf out; /* the request */
    size_t sent; /* bytes of `out` sent so far */
    bbl_usec state_since;
    bbl_usec idle_until; /* no exchange starts here from this time on */
    bool has_request;    /* an exchange runs, or waits for the connect */
    bool any_sent;       /* at least one byte of the request was sent */
    bool served;         /* at least one exchange has completed */
    bool no_body;
    /* A preconnect was due when it was opened, which it makes up for. */
    bool replaces_preconnect;
    size_t stray_bytes; /* received before the response to this request */
    size_t charged;     /* bytes allocated, charged to the account */
    size_t link_charge; /* these, while it has an exchange; else 0 */
    bbl_buf request_id;
    bbl_vec carried_ids; /* uint64_t: hashes of all IDs it has carried */
    /* NULL if no exchange runs or it was abandoned. */
    bbl_link_exchange_done done;
    void *ctx;
    /* Reason why connecting failed at once, reported by the next tick, or
     * NULL. */
    const char *deferred_failure;
    struct bbl_link_exchange *next_closed;
};

typedef struct bbl_link_exchange conn;

struct bbl_backend_link {
    bbl_backend_client *client;
    bblx_address address;
    void *link_ctx;
    unsigned max_connections;
    unsigned busy_count; /* connections with an exchange */
    /* Start of `backoff`: the last preconnect or failed connect, or the start
     * of a connection that a full server has closed; 0: none yet. */
    bbl_usec backoff_start;
    bbl_usec backoff;    /* minimum time to the next preconnect */
    bool keep_open;      /* one connection stays open while idle */
    bool unreachable;    /* the last attempt to connect has failed */
    bool preconnect_due; /* one found no room; a tick makes up for it */
    bool released;       /* a tick frees the link once it has no connection */
    /* How often the limit for responses of unknown length is halved. */
    unsigned limit_halvings;
    bbl_usec limit_changed_at; /* when that was last changed */
    size_t charged;            /* bytes of its connections with exchanges */
    /* What was ended or held back for memory and not reported yet. */
    unsigned memory_counts[BBL_MEMORY_CAUSES];
    bbl_usec next_memory_report_at;
    bbl_vec connections; /* conn *, most recently used last */
};

struct bbl_backend_client {
    bbl_loop *loop;
    bbl_backend_client_options options;
    bbl_vec links; /* bbl_backend_link * */
    /* Index, modulo the number of links, of the next one to preconnect. */
    size_t next_link;
    conn *closed; /* list of closed connections; the next tick frees them */
    bbl_http_message last_response; /* passed to the latest callback */
    size_t last_charged;            /* bytes charged for it */
    bbl_memory_account *account;
    bool owns_account;
    size_t buffered; /* bytes that this client has charged */
    bool preconnect_paused;
    bbl_backend_counters counters;
};

static void conn_ready(void *ctx, int fd, uint32_t events);

static void
watch(conn *c, uint32_t events)
{
    if (c->events != events) {
        c->events = events;
        bbl_loop_watch(c->link->client->loop, c->fd, events, conn_ready, c);
    }
}

static void
remove_connection(conn *c)
{
    bbl_vec *connections = &c->link->connections;

    bbl_vec_remove(connections, bbl_vec_find_pointer(connections, c));
}

static void
charge(bbl_backend_client *client, size_t *charged, size_t bytes)
{
    client->buffered = client->buffered - *charged + bytes;
    bbl_memory_account_charge(client->account, charged, bytes);
}

/* Charges what a connection has allocated now. */
static void
charge_conn(conn *c)
{
    size_t bytes = bbl_http_message_get_allocated(&c->message) + c->out.cap;

    /* Idle connections keep little, and must not keep a server from getting
     * requests. */
    c->link->charged -= c->link_charge;
    c->link_charge = c->has_request ? bytes : 0;
    c->link->charged += c->link_charge;
    charge(c->link->client, &c->charged, bytes);
}

/* Frees the buffers of a connection. */
static void
free_buffers(conn *c)
{
    bbl_http_message_free(&c->message);
    bbl_buf_free(&c->out);
    charge_conn(c);
}

/* Closes a connection; the next tick frees it. */
static void
conn_close(conn *c)
{
    bbl_backend_client *client = c->link->client;

    if (c->state == CONN_CLOSED) {
        return;
    }
    c->link->busy_count -= c->has_request;
    c->state = CONN_CLOSED;
    free_buffers(c);
    if (c->fd >= 0) {
        bbl_loop_unwatch(client->loop, c->fd);
        close(c->fd);
        c->fd = -1;
    }
    remove_connection(c);
    c->next_closed = client->closed;
    client->closed = c;
}

/*
 * Closes a connection that failed and reports the failure.
 *
 * @param ended_by_host whether this host has ended it; if so, an attempt to
 *                      connect has no result, as nothing is known of the
 *                      server
 */
static void
conn_end(conn *c, bbl_link_exchange_outcome outcome, const char *reason,
         bool ended_by_host)
{
    bbl_backend_client *client = c->link->client;
    bool connecting = c->state == CONN_CONNECTING && !ended_by_host;
    bool had_request = c->has_request;
    bbl_link_exchange_done done = c->done;
    bbl_link_exchange_result r = {outcome, reason,
                                  c->any_sent ? c->state_since : 0, NULL,
                                  ended_by_host};
    void *ctx = c->ctx;
    void *link_ctx = c->link->link_ctx;
    bool released = c->link->released;

    c->done = NULL;
    if (connecting) {
        c->link->unreachable = outcome == BBL_LINK_UNSENT;
        c->link->backoff_start = bbl_clock_now();
        c->link->backoff = outcome == BBL_LINK_SERVER_FULL
                               ? SERVER_FULL_DELAY_US
                               : PRECONNECT_INTERVAL_US;
    }
    conn_close(c);
    if (connecting) {
        client->counters.connect_failures++;
    }
    if (had_request) {
        client->counters.broken += r.exchange_outcome == BBL_LINK_BROKEN;
    }
    if (connecting && !released && outcome != BBL_LINK_SERVER_FULL) {
        client->options.on_connect(client->options.ctx, link_ctx, false,
                                   bbl_clock_now() - c->state_since);
    }
    if (done != NULL) {
        done(ctx, &r);
    }
}

static bbl_link_exchange_outcome
get_failure_outcome(const conn *c)
{
    return c->any_sent ? BBL_LINK_BROKEN : BBL_LINK_UNSENT;
}

static void
conn_fail(conn *c, const char *reason)
{
    conn_end(c, get_failure_outcome(c), reason, false);
}

/* Ends a connection to save memory. */
static void
conn_end_for_memory(conn *c, const char *reason)
{
    if (c->state == CONN_CONNECTING && c->replaces_preconnect) {
        c->link->preconnect_due = true;
    }
    conn_end(c, get_failure_outcome(c), reason, true);
}

/* ---- responses ---- */

/* Returns the time for which the server keeps an idle connection open. */
static bbl_usec
server_idle_timeout(const conn *c)
{
    bbl_str field = bbl_http_message_field(&c->message, "Keep-Alive");
    static const char key[] = "timeout=";
    size_t n = sizeof(key) - 1;

    for (size_t i = 0; i + n < field.size; i++) {
        if (strncasecmp(field.ptr + i, key, n) == 0) {
            bbl_usec seconds = 0;

            for (size_t d = i + n; d < field.size && field.ptr[d] >= '0' &&
                                   field.ptr[d] <= '9' && seconds < 3600;
                 d++) {
                seconds = seconds * 10 + (bbl_usec)(field.ptr[d] - '0');
            }
            return seconds * BBL_USEC_PER_SEC;
        }
    }
    return SERVER_IDLE_DEFAULT_US;
}

/* Moves a complete message to `to` and resets `from` for the next response. */
static void
move_message(bbl_http_message *to, bbl_http_message *from)
{
    bbl_http_message spare = *to;

    *to = *from;
    *from = spare;
    to->parser.data = to;
    from->parser.data = from;
    bbl_http_message_reset(from);
}

static void
conn_set_idle(conn *c, bbl_usec idle, bbl_usec now)
{
    c->idle_until = now + (idle > IDLE_MARGIN_US ? idle - IDLE_MARGIN_US : 0);
    c->has_request = false;
    c->served = true;
    if (c->out.cap > KEPT_REQUEST_BYTES) {
        bbl_buf_free(&c->out);
    }
    charge_conn(c);
    c->link->busy_count--;
    c->any_sent = false;
    c->state = CONN_IDLE;
    c->state_since = now;
    watch(c, EPOLLIN | EPOLLRDHUP);
    remove_connection(c);
    bbl_vec_push(&c->link->connections, &c);
}

/*
 * Reports a complete response. Keeps the connection for reuse if possible.
 *
 * @param has_stray_bytes whether the server has sent bytes after the response
 */
static void
conn_complete(conn *c, bool has_stray_bytes)
{
    bbl_backend_client *client = c->link->client;
    bbl_link_exchange_result r = {BBL_LINK_RESPONSE, NULL, c->state_since,
                                  &client->last_response, false};
    bbl_link_exchange_done done = c->done;
    void *ctx = c->ctx;
    /* A server may respond before it has read the whole request, and reads on
     * later: the rest must not be replaced by another request. */
    bool request_sent = c->sent == c->out.size;
    bool reusable = c->message.keep_alive && request_sent &&
                    !has_stray_bytes && !c->link->released &&
                    c->carried_ids.size < REQUESTS_PER_CONNECTION_MAX;
    bbl_usec idle = server_idle_timeout(c);

    client->counters.stray += has_stray_bytes;
    c->done = NULL;
    c->link->limit_halvings = 0;
    move_message(&client->last_response, &c->message);
    charge(client, &client->last_charged,
           bbl_http_message_get_allocated(&client->last_response));
    if (reusable) {
        conn_set_idle(c, idle, bbl_clock_now());
    }
    else {
        conn_close(c);
    }
    if (done != NULL) {
        done(ctx, &r);
    }
    bbl_http_message_reset(&client->last_response);
    charge(client, &client->last_charged,
           bbl_http_message_get_allocated(&client->last_response));
}

/* Returns whether a response belongs to a different request. */
static bool
is_stray_response(const conn *c)
{
    bbl_backend_head head;

    c->link->client->options.dialect->read_backend_head(
        &head, bbl_http_message_status(&c->message), c->message.headers.ptr,
        c->message.headers.size);
    return head.request_id.size > 0 &&
           !bbl_str_equal(head.request_id, bbl_buf_str(&c->request_id));
}

/* ---- limits of memory ---- */

/* Returns the connection that has allocated most, NULL if none has. */
static conn *
find_largest(const bbl_backend_client *client)
{
    conn *largest = NULL;

    for (size_t i = 0; i < client->links.size; i++) {
        const bbl_backend_link *link =
            *BBL_VEC_AT(bbl_backend_link *, &client->links, i);

        for (size_t k = 0; k < link->connections.size; k++) {
            conn *c = *BBL_VEC_AT(conn *, &link->connections, k);

            if (c->charged > (largest != NULL ? largest->charged : 0)) {
                largest = c;
            }
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

static bool
has_length(const conn *c)
{
    /* For a chunked response the parser keeps the size of a chunk there. */
    return c->message.head_done &&
           (c->message.parser.flags & F_CHUNKED) == 0 &&
           c->message.parser.content_length != UINT64_MAX;
}

/* Returns the maximum bytes in a response of unknown length. */
static size_t
get_unbounded_max(const bbl_backend_link *link)
{
    size_t max = link->client->options.response_max;
    size_t lowered = max >> link->limit_halvings;

    if (max <= UNBOUNDED_RESPONSE_MIN_BYTES) {
        return max;
    }
    return lowered > UNBOUNDED_RESPONSE_MIN_BYTES
               ? lowered
               : UNBOUNDED_RESPONSE_MIN_BYTES;
}

static void
count_memory(bbl_backend_link *link, bbl_memory_cause cause)
{
    link->memory_counts[cause]++;
    bbl_memory_account_count(link->client->account, cause);
}

/* Ends an exchange whose response was too long or did not end. */
static void
fail_oversized(conn *c, bbl_memory_cause cause, const char *reason)
{
    bbl_backend_link *link = c->link;

    count_memory(link, cause);
    if (get_unbounded_max(link) > UNBOUNDED_RESPONSE_MIN_BYTES) {
        link->limit_halvings++;
    }
    link->limit_changed_at = bbl_clock_now();
    link->client->counters.oversized++;
    conn_fail(c, reason);
}

/*
 * Returns whether a response of unknown length is longer than a server may
 * send after many that did not end. A lower limit would not prevent others.
 */
static bool
exceeds_lowest_limit(const conn *c)
{
    return c->state == CONN_BUSY && !has_length(c) &&
           bbl_http_message_get_allocated(&c->message) >
               2 * UNBOUNDED_RESPONSE_MIN_BYTES;
}

/* Raises a lowered limit as time has passed. */
static void
raise_limit(bbl_backend_link *link, bbl_usec now)
{
    while (link->limit_halvings > 0 &&
           now >= link->limit_changed_at + LIMIT_RECOVERY_US) {
        link->limit_halvings--;
        link->limit_changed_at += LIMIT_RECOVERY_US;
    }
}

/* Ends a connection to save memory; lowers the limit of a server whose
 * response is long and states no length. */
static void
end_for_memory(conn *c, bbl_memory_cause cause, const char *reason)
{
    if (exceeds_lowest_limit(c)) {
        fail_oversized(c, cause, reason);
    }
    else {
        count_memory(c->link, c->has_request ? cause : BBL_MEMORY_IDLE);
        conn_end_for_memory(c, reason);
    }
}

static void
end_largest(void *ctx)
{
    conn *largest = find_largest(ctx);

    if (largest != NULL) {
        end_for_memory(largest, BBL_MEMORY_HOST_LIMIT,
                       "the responses of all servers take too much memory");
    }
}

/*
 * Returns whether a response exceeds the server's limit. A response that
 * states its length may have all of it, also from a server whose responses did
 * not end before.
 */
static bool
is_oversized(const conn *c)
{
    return c->message.too_large ||
           (!c->message.done && !has_length(c) &&
            bbl_http_message_get_allocated(&c->message) >
                2 * get_unbounded_max(c->link));
}

/*
 * Returns the maximum bytes that the connections of one server may hold. A
 * response of the maximum size always fits. A client with one server has no
 * others to protect.
 */
static size_t
get_server_share(const bbl_backend_client *client)
{
    size_t limit = bbl_memory_account_get_limit(client->account);
    size_t share = limit / SERVER_SHARE_DIVISOR;
    size_t response = 2 * client->options.response_max + HEAD_ALLOWANCE_BYTES;

    if (client->links.size <= 1) {
        return limit;
    }
    return share > response ? share : response;
}

/*
 * Returns the bytes that the responses of a server have allocated.
 *
 * @param largest set to the connection with the largest of them, or NULL
 */
static size_t
sum_responses(const bbl_backend_link *link, conn **largest)
{
    size_t sum = 0;
    size_t most = 0;

    *largest = NULL;
    for (size_t i = 0; i < link->connections.size; i++) {
        conn *c = *BBL_VEC_AT(conn *, &link->connections, i);
        size_t bytes =
            c->has_request ? bbl_http_message_get_allocated(&c->message) : 0;

        sum += bytes;
        if (bytes > most) {
            *largest = c;
            most = bytes;
        }
    }
    return sum;
}

/*
 * Ends the largest responses of a server that holds more than its share. None
 * is ended if it is mostly requests that take the share: new ones are not sent
 * then, and ending responses would save little.
 */
static void
enforce_server_share(bbl_backend_link *link)
{
    size_t share = get_server_share(link->client);
    conn *largest;

    while (link->charged > share &&
           sum_responses(link, &largest) > share / 2) {
        end_for_memory(largest, BBL_MEMORY_SERVER_SHARE,
                       "the responses of the server take too much memory");
    }
}

/* Parses received bytes; may complete the exchange or close `c`. */
static void
parse_response(conn *c, bbl_str bytes)
{
    while (bytes.size > 0) {
        size_t used;

        if (bbl_http_message_feed(&c->message, bytes, &used) != 0) {
            if (c->message.too_large) {
                fail_oversized(c, BBL_MEMORY_TOO_LONG,
                               "the response is too large");
            }
            else {
                conn_fail(c, c->message.bad_status
                                 ? "the response has no valid status"
                                 : "the response is malformed or too large");
            }
            return;
        }
        bytes.ptr += used;
        bytes.size -= used;
        c->stray_bytes += used;
        if (!c->message.done) {
            charge_conn(c);
            if (is_oversized(c)) {
                fail_oversized(c, BBL_MEMORY_ENDLESS,
                               "the response does not end");
            }
            else {
                enforce_server_share(c->link);
                bbl_memory_account_enforce(c->link->client->account);
            }
            return;
        }
        if (bbl_http_message_status(&c->message) <= INTERIM_STATUS_MAX ||
            is_stray_response(c)) {
            c->link->client->counters.stray +=
                bbl_http_message_status(&c->message) > INTERIM_STATUS_MAX;
            if (c->stray_bytes >
                c->link->client->options.response_max + STRAY_MAX_BYTES) {
                fail_oversized(c, BBL_MEMORY_STRAY,
                               "the server sends no response to the "
                               "request but other bytes");
                return;
            }
            if (!c->message.keep_alive) {
                conn_fail(c, "the server closes the connection without a "
                             "response to the request");
                return;
            }
            bbl_http_message_reset(&c->message);
            c->message.no_body = c->no_body;
            continue;
        }
        conn_complete(c, bytes.size > 0);
        return;
    }
}

/* ---- input and output ---- */

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
            watch(c, EPOLLIN | EPOLLOUT | EPOLLRDHUP);
            return;
        }
        if (n < 0) {
            conn_fail(c, "sending the request failed");
            return;
        }
        c->any_sent = true;
        c->sent += (size_t)n;
    }
    watch(c, EPOLLIN | EPOLLRDHUP);
}

static void
conn_read(conn *c)
{
    char bytes[READ_BYTES];
    ssize_t n = recv(c->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n < 0) {
        conn_fail(c, "receiving the response failed");
        return;
    }
    if (n == 0) {
        if (c->message.head_done &&
            bbl_http_message_feed_eof(&c->message) == 0 &&
            !is_stray_response(c)) {
            c->message.keep_alive = false;
            conn_complete(c, false);
            return;
        }
        conn_fail(c, "the connection was closed");
        return;
    }
    parse_response(c, (bbl_str){bytes, (size_t)n});
}

/*
 * Closes an idle connection that has become readable: the server has closed it
 * or has sent bytes that belong to no request.
 */
static void
handle_idle_event(conn *c)
{
    bbl_backend_link *link = c->link;
    bbl_backend_client *client = link->client;
    char byte;
    bool has_stray_bytes = recv(c->fd, &byte, 1, MSG_DONTWAIT) > 0;

    client->counters.stray += has_stray_bytes;
    if (!c->served &&
        bbl_clock_now() < c->state_since + SERVER_FULL_CLOSE_US) {
        link->backoff_start = c->state_since;
        link->backoff = SERVER_FULL_DELAY_US;
    }
    conn_close(c);
    if (link->connections.size == 0 && link->keep_open && !link->released) {
        /* Checks whether the server can still be reached. */
        bbl_backend_link_preconnect(link, bbl_clock_now());
    }
}

static void
complete_connect(conn *c)
{
    bbl_backend_client *client = c->link->client;
    int error = 0;
    socklen_t size = sizeof(error);
    bbl_usec duration = bbl_clock_now() - c->state_since;

    if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
        /* ECONNRESET instead of ECONNREFUSED means that the server is
         * running but full. */
        conn_end(c,
                 error == ECONNRESET ? BBL_LINK_SERVER_FULL : BBL_LINK_UNSENT,
                 error == ECONNRESET ? "the server accepts no more connections"
                                     : "connecting failed",
                 false);
        return;
    }
    if (c->has_request) {
        c->state = CONN_BUSY;
        c->state_since = bbl_clock_now();
        conn_write(c);
    }
    else {
        c->state = CONN_IDLE;
        c->state_since = bbl_clock_now();
        c->idle_until = c->state_since + SERVER_IDLE_DEFAULT_US;
        watch(c, EPOLLIN | EPOLLRDHUP);
    }
    c->link->unreachable = false;
    if (c->state != CONN_CLOSED && !c->link->released) {
        client->options.on_connect(client->options.ctx, c->link->link_ctx,
                                   true, duration);
    }
}

static void
conn_ready(void *ctx, int fd, uint32_t events)
{
    conn *c = ctx;

    (void)fd;
    switch (c->state) {
    case CONN_CONNECTING:
        complete_connect(c);
        break;
    case CONN_IDLE:
        handle_idle_event(c);
        break;
    case CONN_BUSY:
        if ((events & EPOLLOUT) != 0 && c->sent < c->out.size) {
            conn_write(c);
        }
        if (c->state == CONN_BUSY &&
            (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
            conn_read(c);
        }
        break;
    case CONN_CLOSED:
        break;
    }
}

/* ---- connections ---- */

static conn *
conn_open(bbl_backend_link *link, bbl_usec now)
{
    bbl_backend_client *client = link->client;
    struct sockaddr_in to = bbl_address_to_sockaddr(link->address);
    int one = 1;
    int receive_bytes = RECEIVE_BUFFER_BYTES;
    unsigned user_timeout_ms =
        (unsigned)(client->options.tcp_user_timeout / 1000);
    conn *c = bbl_calloc(1, sizeof(*c));

    c->link = link;
    c->state_since = now;
    c->state = CONN_CONNECTING;
    c->carried_ids = (bbl_vec)BBL_VEC_INIT(uint64_t);
    bbl_http_message_init(&c->message, false, client->options.response_max);
    bbl_vec_push(&link->connections, &c);
    c->replaces_preconnect = link->preconnect_due;
    link->preconnect_due = false;
    client->counters.connects++;
    c->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (c->fd < 0) {
        c->deferred_failure = "no file descriptor is available";
        return c;
    }
    setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
               sizeof(receive_bytes));
    setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(c->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
               sizeof(user_timeout_ms));
    if ((connect(c->fd, (struct sockaddr *)&to, sizeof(to)) != 0 &&
         errno != EINPROGRESS)) {
        c->deferred_failure = "connecting failed";
        return c;
    }
    watch(c, EPOLLOUT);
    return c;
}

static uint64_t
hash_id(bbl_str request_id)
{
    return bbl_hash(request_id.ptr, request_id.size, 0);
}

/* Returns whether a connection has carried a request with an ID. */
static bool
has_carried(const conn *c, bbl_str request_id)
{
    uint64_t hash = hash_id(request_id);

    for (size_t i = 0; request_id.size > 0 && i < c->carried_ids.size; i++) {
        if (*BBL_VEC_AT(uint64_t, &c->carried_ids, i) == hash) {
            return true;
        }
    }
    return false;
}

/*
 * Returns the most recently used of the reusable connections that have been
 * idle for less than `max_idle` (0: no limit), or NULL. A connection that has
 * carried a request is not eligible for the same one: a late copy of the first
 * response would have the ID of the second one.
 */
static conn *
find_idle(bbl_backend_link *link, bbl_usec now, bbl_usec max_idle,
          bbl_str request_id)
{
    for (size_t i = link->connections.size; i > 0; i--) {
        conn *c = *BBL_VEC_AT(conn *, &link->connections, i - 1);

        if (c->state == CONN_IDLE && now < c->idle_until &&
            (max_idle == 0 || now < c->state_since + max_idle) &&
            !has_carried(c, request_id)) {
            return c;
        }
    }
    return NULL;
}

/* Closes the least recently used idle connection. Returns false if there is
 * none. */
static bool
close_lru_idle(bbl_backend_link *link)
{
    for (size_t i = 0; i < link->connections.size; i++) {
        conn *c = *BBL_VEC_AT(conn *, &link->connections, i);

        if (c->state == CONN_IDLE) {
            conn_close(c);
            return true;
        }
    }
    return false;
}

static void
prepare_exchange(conn *c, const bbl_link_exchange_request *r)
{
    bbl_buf_clear(&c->out);
    c->sent = 0;
    bbl_buf_append(&c->out, r->head.ptr, r->head.size);
    bbl_buf_append(&c->out, r->extra_fields.ptr, r->extra_fields.size);
    bbl_buf_append_cstr(&c->out, "\r\n");
    bbl_buf_append(&c->out, r->body.ptr, r->body.size);
    bbl_buf_clear(&c->request_id);
    bbl_buf_append(&c->request_id, r->request_id.ptr, r->request_id.size);
    if (r->request_id.size > 0) {
        uint64_t hash = hash_id(r->request_id);

        bbl_vec_push(&c->carried_ids, &hash);
    }
    c->done = r->done;
    c->ctx = r->ctx;
    c->no_body = r->no_body;
    c->message.no_body = r->no_body;
    c->stray_bytes = 0;
    c->has_request = true;
    c->link->busy_count++;
    c->any_sent = false;
    charge_conn(c);
    if (c->link->charged >= get_server_share(c->link->client)) {
        /* The link has no room from now on. */
        count_memory(c->link, BBL_MEMORY_SERVER_REQUESTS);
    }
}

int
bbl_link_exchange_start(bbl_link_exchange **out, bbl_backend_link *link,
                        bbl_usec now, const bbl_link_exchange_request *r)
{
    conn *c = find_idle(link, now, r->max_idle, r->request_id);

    *out = NULL;
    if (c == NULL && link->connections.size >= link->max_connections &&
        !close_lru_idle(link)) {
        return bbl_error_set(BBL_EFULL, "all connections are in use");
    }
    if (c == NULL) {
        c = conn_open(link, now);
        prepare_exchange(c, r);
    }
    else {
        prepare_exchange(c, r);
        c->state = CONN_BUSY;
        c->state_since = now;
        /* A failure is handled when the loop reports the socket, as `done`
         * must not be called here. */
        ssize_t n =
            send(c->fd, c->out.ptr, c->out.size, MSG_NOSIGNAL | MSG_DONTWAIT);

        if (n > 0) {
            c->any_sent = true;
            c->sent = (size_t)n;
        }
        if (c->sent < c->out.size) {
            watch(c, EPOLLIN | EPOLLOUT | EPOLLRDHUP);
        }
    }
    link->client->counters.exchanges++;
    *out = c;
    return 0;
}

bool
bbl_link_exchange_is_sent(const bbl_link_exchange *c)
{
    return c->any_sent;
}

void
bbl_link_exchange_abandon(bbl_link_exchange *c)
{
    c->done = NULL;
    c->link->client->counters.abandoned++;
    conn_close(c);
}

/* ---- links ---- */

bbl_backend_link *
bbl_backend_link_new(bbl_backend_client *client, bblx_address address,
                     void *link_ctx)
{
    bbl_backend_link *link = bbl_calloc(1, sizeof(*link));

    link->client = client;
    link->address = address;
    link->link_ctx = link_ctx;
    link->max_connections = 1;
    link->connections = (bbl_vec)BBL_VEC_INIT(conn *);
    bbl_vec_push(&client->links, &link);
    return link;
}

void
bbl_backend_link_release(bbl_backend_link *link)
{
    if (link == NULL) {
        return;
    }
    link->released = true;
    link->link_ctx = NULL;
    for (size_t i = link->connections.size; i > 0; i--) {
        conn *c = *BBL_VEC_AT(conn *, &link->connections, i - 1);

        if (!c->has_request) {
            conn_close(c);
        }
    }
}

void
bbl_backend_link_set_limit(bbl_backend_link *link, unsigned max_connections,
                           bool keep_open)
{
    link->max_connections = max_connections;
    link->keep_open = keep_open;
    while (link->connections.size > max_connections && close_lru_idle(link)) {
    }
}

bool
bbl_backend_link_has_room(const bbl_backend_link *link)
{
    return link->busy_count < link->max_connections &&
           link->charged < get_server_share(link->client);
}

bool
bbl_backend_link_has_idle(bbl_backend_link *link, bbl_usec now)
{
    return find_idle(link, now, 0, (bbl_str){"", 0}) != NULL;
}

void
bbl_backend_link_preconnect(bbl_backend_link *link, bbl_usec now)
{
    if (link->connections.size >= link->max_connections) {
        link->preconnect_due = true;
    }
    else if (link->backoff_start == 0 ||
             now >= link->backoff_start + link->backoff) {
        link->backoff_start = now;
        link->backoff = PRECONNECT_INTERVAL_US;
        conn_open(link, now);
    }
}

void
bbl_backend_link_close_idle(bbl_backend_link *link)
{
    while (close_lru_idle(link)) {
    }
}

/* ---- clients ---- */

int
bbl_backend_client_open(bbl_backend_client **out, bbl_loop *loop,
                        const bbl_backend_client_options *options)
{
    bbl_backend_client *client;
    bbl_memory_holder holder = {get_largest, end_largest, NULL};

    *out = NULL;
    if ((options->account != NULL
             ? bbl_memory_account_get_limit(options->account)
             : options->buffered_max) < options->response_max) {
        return bbl_error_set(BBL_EINVAL, "no room for one whole response");
    }
    client = bbl_calloc(1, sizeof(*client));
    holder.ctx = client;
    client->loop = loop;
    client->options = *options;
    client->links = (bbl_vec)BBL_VEC_INIT(bbl_backend_link *);
    client->next_link = options->seed;
    client->owns_account = options->account == NULL;
    client->account = client->owns_account
                          ? bbl_memory_account_new(options->buffered_max)
                          : options->account;
    bbl_memory_account_add_holder(client->account, &holder);
    bbl_http_message_init(&client->last_response, false,
                          options->response_max);
    *out = client;
    return 0;
}

static void
conn_free(conn *c)
{
    bbl_http_message_free(&c->message);
    bbl_buf_free(&c->out);
    bbl_buf_free(&c->request_id);
    bbl_vec_free(&c->carried_ids);
    free(c);
}

static void
free_closed(bbl_backend_client *client)
{
    while (client->closed != NULL) {
        conn *c = client->closed;

        client->closed = c->next_closed;
        conn_free(c);
    }
}

static void
check_conn_timeouts(conn *c, bbl_usec now)
{
    bbl_usec timeout = c->link->client->options.connect_timeout;

    if (c->deferred_failure != NULL) {
        conn_fail(c, c->deferred_failure);
    }
    else if (c->state == CONN_CONNECTING && now > c->state_since + timeout) {
        conn_fail(c, "connecting has timed out");
    }
    else if (c->state == CONN_IDLE &&
             (now >= c->idle_until ||
              (c->link->connections.size > (c->link->keep_open ? 1u : 0u) &&
               now >= c->state_since + (c->link->keep_open
                                            ? SURPLUS_IDLE_TIMEOUT_US
                                            : IDLE_TIMEOUT_US)))) {
        conn_close(c);
    }
}

static void
check_link_timeouts(bbl_backend_link *link, bbl_usec now)
{
    for (size_t i = link->connections.size; i > 0; i--) {
        if (i <= link->connections.size) {
            check_conn_timeouts(*BBL_VEC_AT(conn *, &link->connections, i - 1),
                                now);
        }
    }
}

/* Reports what was ended or held back at a server to save memory. */
static void
report_memory(bbl_backend_link *link, bbl_usec now)
{
    const bbl_backend_client_options *options = &link->client->options;

    if (options->on_memory_report == NULL || link->released ||
        now < link->next_memory_report_at) {
        return;
    }
    for (int i = 0; i < BBL_MEMORY_CAUSES; i++) {
        bbl_link_memory_report r = {(bbl_memory_cause)i,
                                    link->memory_counts[i], link->charged};

        if (r.count > 0) {
            link->memory_counts[i] = 0;
            link->next_memory_report_at = now + MEMORY_REPORT_INTERVAL_US;
            options->on_memory_report(options->ctx, link->link_ctx, &r);
        }
    }
}

/*
 * Opens a connection for each link without one that has `keep_open` set or
 * whose last connect failed, until PRECONNECTS_PER_TICK have been opened.
 */
static void
preconnect_links(bbl_backend_client *client, bbl_usec now)
{
    uint64_t connects_before = client->counters.connects;

    for (size_t i = 0; i < client->links.size; i++) {
        bbl_backend_link *link =
            *BBL_VEC_AT(bbl_backend_link *, &client->links,
                        client->next_link++ % client->links.size);

        if (link->connections.size == 0 && !link->released &&
            ((link->keep_open && !client->preconnect_paused) ||
             link->unreachable || link->preconnect_due)) {
            bbl_backend_link_preconnect(link, now);
        }
        if (client->counters.connects >=
            connects_before + PRECONNECTS_PER_TICK) {
            return;
        }
    }
}

void
bbl_backend_client_pause_preconnect(bbl_backend_client *client, bool paused)
{
    client->preconnect_paused = paused;
}

void
bbl_backend_client_tick(bbl_backend_client *client, bbl_usec now)
{
    for (size_t i = client->links.size; i > 0; i--) {
        bbl_backend_link *link =
            *BBL_VEC_AT(bbl_backend_link *, &client->links, i - 1);

        check_link_timeouts(link, now);
        raise_limit(link, now);
        report_memory(link, now);
        if (link->released && link->connections.size == 0) {
            bbl_vec_swap_remove(&client->links, i - 1);
            bbl_vec_free(&link->connections);
            free(link);
        }
    }
    preconnect_links(client, now);
    free_closed(client);
}

void
bbl_backend_client_free(bbl_backend_client *client)
{
    if (client == NULL) {
        return;
    }
    for (size_t i = 0; i < client->links.size; i++) {
        bbl_backend_link *link =
            *BBL_VEC_AT(bbl_backend_link *, &client->links, i);

        while (link->connections.size > 0) {
            conn_close(*BBL_VEC_AT(conn *, &link->connections, 0));
        }
        bbl_vec_free(&link->connections);
        free(link);
    }
    free_closed(client);
    bbl_http_message_free(&client->last_response);
    charge(client, &client->last_charged, 0);
    bbl_memory_account_remove_holder(client->account, client);
    if (client->owns_account) {
        bbl_memory_account_free(client->account);
    }
    bbl_vec_free(&client->links);
    free(client);
}

size_t
bbl_backend_client_get_buffered(const bbl_backend_client *client)
{
    return client->buffered;
}

const bbl_backend_counters *
bbl_backend_client_get_counters(const bbl_backend_client *client)
{
    return &client->counters;
}
