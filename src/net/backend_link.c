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

#define READ_BYTES 16384
#define IDLE_DEFAULT_US (9 * BBL_USEC_PER_SEC) /* without a Keep-Alive */
/* Closed before the peer does */
#define IDLE_MARGIN_US (200 * BBL_USEC_PER_MS)
/* Idle time of a connection beyond the first: bursts are shorter. */
#define SURPLUS_US (2 * BBL_USEC_PER_SEC)
/* The same of any connection to a server to which none stays open. */
#define SPARE_US (500 * BBL_USEC_PER_MS)
#define REOPEN_US (300 * BBL_USEC_PER_MS) /* between connections ahead */
/*
 * Connections opened ahead by one tick. A host that starts has none; without
 * a limit all hosts that start together would fill the servers' slots with
 * new connections while the first requests come in.
 */
#define AHEAD_PER_TICK 8
/* The same, of a full server */
#define TURNED_AWAY_US (1000 * BBL_USEC_PER_MS)
/* A connection that ends so soon was one too many */
#define SHORT_LIFE_US (50 * BBL_USEC_PER_MS)
#define STATUS_CONTINUE_LAST 199

typedef enum { LINE_CONNECTING, LINE_IDLE, LINE_BUSY, LINE_DEAD } line_state;

/* One connection; also the exchange that runs on it. */
struct bbl_link_exchange {
    bbl_backend_link *link;
    int fd;
    line_state state;
    uint32_t events;
    bbl_http_message message;
    bbl_buf out;
    size_t sent;
    bbl_usec since; /* of the state */
    bbl_usec idle_until;
    bool has_request;
    bool any_sent;
    bool used; /* it has carried a whole exchange */
    bool no_body;
    bbl_buf request_id;
    bbl_link_exchange_done done; /* NULL: nobody waits */
    void *ctx;
    const char *reason; /* of a failure that the next tick tells */
    struct bbl_link_exchange *next;
};

typedef struct bbl_link_exchange line;

struct bbl_backend_link {
    bbl_backend_client *client;
    bblx_address address;
    void *owner;
    unsigned limit;
    unsigned busy;
    bbl_usec opened_ahead; /* last connection opened without a request */
    bbl_usec pause;        /* until the next such one */
    bool keep;             /* one connection stays open */
    bool unreachable;      /* the last connection could not be opened */
    bool freed;
    bbl_vec lines; /* line *, the one used last at the end */
};

struct bbl_backend_client {
    bbl_loop *loop;
    bbl_backend_client_options options;
    bbl_vec links;             /* bbl_backend_link * */
    size_t cursor;             /* the link whose turn is next */
    line *dead;                /* freed by the next tick */
    bbl_http_message finished; /* handed over last */
    bbl_backend_counters counters;
};

static void line_ready(void *ctx, int fd, uint32_t events);

static void
watch(line *l, uint32_t events)
{
    if (l->events != events) {
        l->events = events;
        bbl_loop_watch(l->link->client->loop, l->fd, events, line_ready, l);
    }
}

static void
unlist(line *l)
{
    bbl_vec *lines = &l->link->lines;

    bbl_vec_remove(lines, bbl_vec_find_pointer(lines, l));
}

/* Closes a connection; its memory goes with the next tick. */
static void
line_close(line *l)
{
    bbl_backend_client *client = l->link->client;

    if (l->state == LINE_DEAD) {
        return;
    }
    l->link->busy -= l->has_request;
    l->state = LINE_DEAD;
    if (l->fd >= 0) {
        bbl_loop_unwatch(client->loop, l->fd);
        close(l->fd);
        l->fd = -1;
    }
    unlist(l);
    l->next = client->dead;
    client->dead = l;
}

/* Ends a connection that failed, and tells who waits for it. */
static void
line_end(line *l, bbl_link_exchange_end end, const char *reason)
{
    bbl_backend_client *client = l->link->client;
    bool connecting = l->state == LINE_CONNECTING;
    bool had_request = l->has_request;
    bbl_link_exchange_done done = l->done;
    bbl_link_exchange_result r = {end, reason, NULL};
    void *ctx = l->ctx;
    void *owner = l->link->owner;
    bool freed = l->link->freed;

    l->done = NULL;
    if (connecting) {
        l->link->unreachable = end == BBL_LINK_UNSENT;
        l->link->opened_ahead = bbl_clock_now();
        l->link->pause =
            end == BBL_LINK_SERVER_FULL ? TURNED_AWAY_US : REOPEN_US;
    }
    line_close(l);
    if (connecting) {
        client->counters.connect_failures++;
    }
    if (had_request) {
        client->counters.broken += r.end == BBL_LINK_BROKEN;
    }
    if (connecting && !freed && end != BBL_LINK_SERVER_FULL) {
        client->options.on_connect(client->options.ctx, owner, false,
                                   bbl_clock_now() - l->since);
    }
    if (done != NULL) {
        done(ctx, &r);
    }
}

static void
line_fail(line *l, const char *reason)
{
    line_end(l, l->any_sent ? BBL_LINK_BROKEN : BBL_LINK_UNSENT, reason);
}

/* ---- the end of an exchange ---- */

/* Returns how long the peer keeps an idle connection. */
static bbl_usec
idle_time(const line *l)
{
    bbl_str field = bbl_http_message_field(&l->message, "Keep-Alive");
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
    return IDLE_DEFAULT_US;
}

/* Moves a finished message out, so that its connection can be used again. */
static void
take_message(bbl_http_message *to, bbl_http_message *from)
{
    bbl_http_message spare = *to;

    *to = *from;
    *from = spare;
    to->parser.data = to;
    from->parser.data = from;
    bbl_http_message_reset(from);
}

static void
line_idle(line *l, bbl_usec idle, bbl_usec now)
{
    l->idle_until = now + (idle > IDLE_MARGIN_US ? idle - IDLE_MARGIN_US : 0);
    l->has_request = false;
    l->used = true;
    l->link->busy--;
    l->any_sent = false;
    l->state = LINE_IDLE;
    l->since = now;
    watch(l, EPOLLIN | EPOLLRDHUP);
    unlist(l);
    bbl_vec_push(&l->link->lines, &l);
}

/* Hands a whole response over; the connection is kept when it may be. */
static void
line_done(line *l, bool extra)
{
    bbl_backend_client *client = l->link->client;
    bbl_link_exchange_result r = {BBL_LINK_RESPONSE, NULL, &client->finished};
    bbl_link_exchange_done done = l->done;
    void *ctx = l->ctx;
    bool keep = l->message.keep_alive && !extra && !l->link->freed;
    bbl_usec idle = idle_time(l);

    client->counters.stray += extra;
    l->done = NULL;
    take_message(&client->finished, &l->message);
    if (keep) {
        line_idle(l, idle, bbl_clock_now());
    }
    else {
        line_close(l);
    }
    if (done != NULL) {
        done(ctx, &r);
    }
}

/* Whether a response answers another request than the one sent. */
static bool
is_stray(const line *l)
{
    bbl_backend_head head;

    l->link->client->options.dialect->read_backend_head(
        &head, bbl_http_message_status(&l->message), l->message.headers.ptr,
        l->message.headers.size);
    return l->request_id.size > 0 && head.request_id.size > 0 &&
           !bbl_str_equal(head.request_id, bbl_buf_str(&l->request_id));
}

/* Takes in response bytes; false when the connection is gone or done. */
static void
take_bytes(line *l, bbl_str bytes)
{
    while (bytes.size > 0) {
        size_t used;

        if (bbl_http_message_feed(&l->message, bytes, &used) != 0) {
            line_fail(l, "the response cannot be read");
            return;
        }
        bytes.ptr += used;
        bytes.size -= used;
        if (!l->message.done) {
            return;
        }
        if (bbl_http_message_status(&l->message) <= STATUS_CONTINUE_LAST ||
            is_stray(l)) {
            l->link->client->counters.stray +=
                bbl_http_message_status(&l->message) > STATUS_CONTINUE_LAST;
            if (!l->message.keep_alive) {
                line_fail(l, "the response to another request");
                return;
            }
            bbl_http_message_reset(&l->message);
            l->message.no_body = l->no_body;
            continue;
        }
        line_done(l, bytes.size > 0);
        return;
    }
}

/* ---- input and output ---- */

static void
line_write(line *l)
{
    while (l->sent < l->out.size) {
        ssize_t n = send(l->fd, l->out.ptr + l->sent, l->out.size - l->sent,
                         MSG_NOSIGNAL | MSG_DONTWAIT);

        if (n < 0 && errno == EINTR) {
            continue;
        }
        if (n < 0 && errno == EAGAIN) {
            watch(l, EPOLLIN | EPOLLOUT | EPOLLRDHUP);
            return;
        }
        if (n < 0) {
            line_fail(l, "the connection was reset");
            return;
        }
        l->any_sent = true;
        l->sent += (size_t)n;
    }
    watch(l, EPOLLIN | EPOLLRDHUP);
}

static void
line_read(line *l)
{
    char bytes[READ_BYTES];
    ssize_t n = recv(l->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n < 0) {
        line_fail(l, "the connection was reset");
        return;
    }
    if (n == 0) {
        if (l->message.head_done &&
            bbl_http_message_feed_eof(&l->message) == 0 && !is_stray(l)) {
            l->message.keep_alive = false;
            line_done(l, false);
            return;
        }
        line_fail(l, "the connection was closed");
        return;
    }
    take_bytes(l, (bbl_str){bytes, (size_t)n});
}

/* An idle connection says something: it has ended, or is out of step. */
static void
idle_ready(line *l)
{
    bbl_backend_link *link = l->link;
    bbl_backend_client *client = link->client;
    char byte;
    bool strays = recv(l->fd, &byte, 1, MSG_DONTWAIT) > 0;

    client->counters.stray += strays;
    if (!l->used && bbl_clock_now() < l->since + SHORT_LIFE_US) {
        link->opened_ahead = l->since;
        link->pause = TURNED_AWAY_US;
    }
    line_close(l);
    if (link->lines.size == 0 && link->keep && !link->freed) {
        /* The last one: find out whether the server is still there. */
        bbl_backend_link_preconnect(link, bbl_clock_now());
    }
}

static void
connected(line *l)
{
    bbl_backend_client *client = l->link->client;
    int error = 0;
    socklen_t size = sizeof(error);
    bbl_usec took = bbl_clock_now() - l->since;

    if (getsockopt(l->fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
        /* A reset in place of a refusal: the server is there, but full. */
        line_end(l,
                 error == ECONNRESET ? BBL_LINK_SERVER_FULL : BBL_LINK_UNSENT,
                 error == ECONNRESET ? "the server takes no more connections"
                                     : "the connection was refused");
        return;
    }
    if (l->has_request) {
        l->state = LINE_BUSY;
        l->since = bbl_clock_now();
        line_write(l);
    }
    else {
        l->state = LINE_IDLE;
        l->since = bbl_clock_now();
        l->idle_until = l->since + IDLE_DEFAULT_US;
        watch(l, EPOLLIN | EPOLLRDHUP);
    }
    l->link->unreachable = false;
    if (l->state != LINE_DEAD && !l->link->freed) {
        client->options.on_connect(client->options.ctx, l->link->owner, true,
                                   took);
    }
}

static void
line_ready(void *ctx, int fd, uint32_t events)
{
    line *l = ctx;

    (void)fd;
    switch (l->state) {
    case LINE_CONNECTING:
        connected(l);
        break;
    case LINE_IDLE:
        idle_ready(l);
        break;
    case LINE_BUSY:
        if ((events & EPOLLOUT) != 0 && l->sent < l->out.size) {
            line_write(l);
        }
        if (l->state == LINE_BUSY &&
            (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0) {
            line_read(l);
        }
        break;
    case LINE_DEAD:
        break;
    }
}

/* ---- connections ---- */

static line *
line_new(bbl_backend_link *link, bbl_usec now)
{
    bbl_backend_client *client = link->client;
    struct sockaddr_in to = bbl_address_to_sockaddr(link->address);
    int one = 1;
    unsigned silence = (unsigned)(client->options.silence_timeout / 1000);
    line *l = bbl_calloc(1, sizeof(*l));

    l->link = link;
    l->since = now;
    l->state = LINE_CONNECTING;
    bbl_http_message_init(&l->message, false, client->options.response_max);
    bbl_vec_push(&link->lines, &l);
    client->counters.connects++;
    l->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (l->fd < 0) {
        l->reason = "no descriptor is left";
        return l;
    }
    setsockopt(l->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(l->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &silence,
               sizeof(silence));
    if ((connect(l->fd, (struct sockaddr *)&to, sizeof(to)) != 0 &&
         errno != EINPROGRESS)) {
        l->reason = "the connection was refused";
        return l;
    }
    watch(l, EPOLLOUT);
    return l;
}

/* Returns the connection that was used last, or NULL when none is idle. */
static line *
find_idle(bbl_backend_link *link, bbl_usec now, bbl_usec fresh_within)
{
    for (size_t i = link->lines.size; i > 0; i--) {
        line *l = *BBL_VEC_AT(line *, &link->lines, i - 1);

        if (l->state == LINE_IDLE && now < l->idle_until &&
            (fresh_within == 0 || now < l->since + fresh_within)) {
            return l;
        }
    }
    return NULL;
}

/* Makes room for a connection by closing one that is idle. */
static bool
drop_idle(bbl_backend_link *link)
{
    for (size_t i = 0; i < link->lines.size; i++) {
        line *l = *BBL_VEC_AT(line *, &link->lines, i);

        if (l->state == LINE_IDLE) {
            line_close(l);
            return true;
        }
    }
    return false;
}

static void
prepare(line *l, const bbl_link_exchange_request *r)
{
    bbl_buf_clear(&l->out);
    l->sent = 0;
    bbl_buf_append(&l->out, r->head.ptr, r->head.size);
    bbl_buf_append(&l->out, r->fields.ptr, r->fields.size);
    bbl_buf_append_cstr(&l->out, "\r\n");
    bbl_buf_append(&l->out, r->body.ptr, r->body.size);
    bbl_buf_clear(&l->request_id);
    bbl_buf_append(&l->request_id, r->request_id.ptr, r->request_id.size);
    l->done = r->done;
    l->ctx = r->ctx;
    l->no_body = r->no_body;
    l->message.no_body = r->no_body;
    l->has_request = true;
    l->link->busy++;
    l->any_sent = false;
}

int
bbl_link_exchange_start(bbl_link_exchange **out, bbl_backend_link *link,
                        bbl_usec now, const bbl_link_exchange_request *r)
{
    line *l = find_idle(link, now, r->max_idle);

    *out = NULL;
    if (l == NULL && link->lines.size >= link->limit && !drop_idle(link)) {
        return bbl_error_set(BBL_EFULL, "all connections are in use");
    }
    if (l == NULL) {
        l = line_new(link, now);
        prepare(l, r);
    }
    else {
        prepare(l, r);
        l->state = LINE_BUSY;
        l->since = now;
        /* A failure is told by the loop, not from within this call. */
        ssize_t n =
            send(l->fd, l->out.ptr, l->out.size, MSG_NOSIGNAL | MSG_DONTWAIT);

        if (n > 0) {
            l->any_sent = true;
            l->sent = (size_t)n;
        }
        if (l->sent < l->out.size) {
            watch(l, EPOLLIN | EPOLLOUT | EPOLLRDHUP);
        }
    }
    link->client->counters.exchanges++;
    *out = l;
    return 0;
}

void
bbl_link_exchange_abandon(bbl_link_exchange *l)
{
    l->done = NULL;
    l->link->client->counters.abandoned++;
    line_close(l);
}

/* ---- links ---- */

bbl_backend_link *
bbl_backend_link_new(bbl_backend_client *client, bblx_address address,
                     void *owner)
{
    bbl_backend_link *link = bbl_calloc(1, sizeof(*link));

    link->client = client;
    link->address = address;
    link->owner = owner;
    link->limit = 1;
    link->lines = (bbl_vec)BBL_VEC_INIT(line *);
    bbl_vec_push(&client->links, &link);
    return link;
}

void
bbl_backend_link_free(bbl_backend_link *link)
{
    if (link == NULL) {
        return;
    }
    link->freed = true;
    link->owner = NULL;
    for (size_t i = link->lines.size; i > 0; i--) {
        line *l = *BBL_VEC_AT(line *, &link->lines, i - 1);

        if (!l->has_request) {
            line_close(l);
        }
    }
}

void
bbl_backend_link_set_limit(bbl_backend_link *link, unsigned limit, bool keep)
{
    link->limit = limit;
    link->keep = keep;
    while (link->lines.size > limit && drop_idle(link)) {
    }
}

bool
bbl_backend_link_has_room(const bbl_backend_link *link)
{
    return link->busy < link->limit;
}

bool
bbl_backend_link_has_idle(bbl_backend_link *link, bbl_usec now)
{
    return find_idle(link, now, 0) != NULL;
}

void
bbl_backend_link_preconnect(bbl_backend_link *link, bbl_usec now)
{
    if (link->lines.size < link->limit &&
        (link->opened_ahead == 0 || now >= link->opened_ahead + link->pause)) {
        link->opened_ahead = now;
        link->pause = REOPEN_US;
        line_new(link, now);
    }
}

void
bbl_backend_link_close_idle(bbl_backend_link *link)
{
    while (drop_idle(link)) {
    }
}

/* ---- the client ---- */

int
bbl_backend_client_open(bbl_backend_client **out, bbl_loop *loop,
                        const bbl_backend_client_options *options)
{
    bbl_backend_client *c = bbl_calloc(1, sizeof(*c));

    c->loop = loop;
    c->options = *options;
    c->links = (bbl_vec)BBL_VEC_INIT(bbl_backend_link *);
    c->cursor = options->seed;
    bbl_http_message_init(&c->finished, false, options->response_max);
    *out = c;
    return 0;
}

static void
line_free(line *l)
{
    bbl_http_message_free(&l->message);
    bbl_buf_free(&l->out);
    bbl_buf_free(&l->request_id);
    free(l);
}

static void
free_dead(bbl_backend_client *c)
{
    while (c->dead != NULL) {
        line *l = c->dead;

        c->dead = l->next;
        line_free(l);
    }
}

static void
check_line(line *l, bbl_usec now)
{
    bbl_usec timeout = l->link->client->options.connect_timeout;

    if (l->reason != NULL) {
        line_fail(l, l->reason);
    }
    else if (l->state == LINE_CONNECTING && now > l->since + timeout) {
        line_fail(l, "no connection within the timeout");
    }
    else if (l->state == LINE_IDLE &&
             (now >= l->idle_until ||
              (l->link->lines.size > (l->link->keep ? 1u : 0u) &&
               now >= l->since + (l->link->keep ? SURPLUS_US : SPARE_US)))) {
        line_close(l);
    }
}

static void
check_link(bbl_backend_link *link, bbl_usec now)
{
    for (size_t i = link->lines.size; i > 0; i--) {
        if (i <= link->lines.size) {
            check_line(*BBL_VEC_AT(line *, &link->lines, i - 1), now);
        }
    }
}

/*
 * Opens connections ahead: one stays open, so that the end of the server is
 * noticed, and one is tried where the server could not be reached.
 */
static void
open_ahead(bbl_backend_client *c, bbl_usec now)
{
    uint64_t before = c->counters.connects;

    for (size_t i = 0; i < c->links.size; i++) {
        bbl_backend_link *link = *BBL_VEC_AT(bbl_backend_link *, &c->links,
                                             c->cursor++ % c->links.size);

        if (link->lines.size == 0 && !link->freed &&
            (link->keep || link->unreachable)) {
            bbl_backend_link_preconnect(link, now);
        }
        if (c->counters.connects >= before + AHEAD_PER_TICK) {
            return;
        }
    }
}

void
bbl_backend_client_tick(bbl_backend_client *c, bbl_usec now)
{
    for (size_t i = c->links.size; i > 0; i--) {
        bbl_backend_link *link =
            *BBL_VEC_AT(bbl_backend_link *, &c->links, i - 1);

        check_link(link, now);
        if (link->freed && link->lines.size == 0) {
            bbl_vec_swap_remove(&c->links, i - 1);
            bbl_vec_free(&link->lines);
            free(link);
        }
    }
    open_ahead(c, now);
    free_dead(c);
}

void
bbl_backend_client_free(bbl_backend_client *c)
{
    if (c == NULL) {
        return;
    }
    for (size_t i = 0; i < c->links.size; i++) {
        bbl_backend_link *link = *BBL_VEC_AT(bbl_backend_link *, &c->links, i);

        while (link->lines.size > 0) {
            line_close(*BBL_VEC_AT(line *, &link->lines, 0));
        }
        bbl_vec_free(&link->lines);
        free(link);
    }
    free_dead(c);
    bbl_http_message_free(&c->finished);
    bbl_vec_free(&c->links);
    free(c);
}

const bbl_backend_counters *
bbl_backend_client_get_counters(const bbl_backend_client *c)
{
    return &c->counters;
}
