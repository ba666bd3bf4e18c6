#include "net/http_client.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <curl/curl.h>

#include "bbl/errors.h"
#include "util/alloc.h"
#include "util/map.h"
#include "util/vec.h"

#define POOL_CONNECTIONS_MAX 4096L  /* to all addresses, kept open */
#define ADDRESS_CONNECTIONS_MAX 16L /* to one address at a time */
#define CONNECT_TIMEOUT_MS 250L
#define IDLE_HANDLES_MAX 512 /* kept for reuse */
#define RETRY_AFTER_MAX_S (24u * 3600)

typedef struct {
    bbl_http_client *http;
    CURL *easy;
    bbl_http_done done;
    void *ctx;
    bbl_buf request_body;
    bbl_buf response_body;
    size_t response_body_max;
    bool too_large; /* the response exceeds response_body_max */
    /* The empty line after the header fields of the last status line was
     * received: libcurl reports a response that ends before it as complete. */
    bool head_complete;
    bool aborted;
    uint64_t expected_exchange; /* see bbl_http_request; 0: no check */
    bbl_http_response response;
} exchange;

/* A socket of a connection that libcurl has open. */
typedef struct {
    int fd;
    bblx_address peer;
    bool in_use; /* by a request */
} open_socket;

struct bbl_http_client {
    bbl_loop *loop;
    CURLM *multi;
    struct curl_slist *headers;
    char interface[32];
    bbl_vec idle_handles; /* CURL * */
    bbl_vec aborted;      /* exchange *, to be ended by the next tick */
    bbl_vec running;      /* exchange * */
    bbl_map sockets;      /* file descriptor + 1 -> open_socket */
    uint64_t connect_count;
};

static void finish_completed(bbl_http_client *http);

static void
socket_ready(void *ctx, int fd, uint32_t events)
{
    bbl_http_client *http = ctx;
    int running;
    int mask = 0;

    mask |= (events & EPOLLIN) ? CURL_CSELECT_IN : 0;
    mask |= (events & EPOLLOUT) ? CURL_CSELECT_OUT : 0;
    mask |= (events & (EPOLLERR | EPOLLHUP)) ? CURL_CSELECT_ERR : 0;
    curl_multi_socket_action(http->multi, fd, mask, &running);
    finish_completed(http);
}

static curl_socket_t
open_tracked_socket(void *ctx, curlsocktype purpose, struct curl_sockaddr *a)
{
    bbl_http_client *http = ctx;
    const struct sockaddr_in *peer = (const void *)&a->addr;
    int fd = socket(a->family, a->socktype | SOCK_CLOEXEC, a->protocol);
    open_socket *s;

    (void)purpose;
    if (fd < 0) {
        return CURL_SOCKET_BAD;
    }
    s = bbl_calloc(1, sizeof(*s));
    s->fd = fd;
    s->in_use = true;
    if (a->family == AF_INET) {
        s->peer.ip = ntohl(peer->sin_addr.s_addr);
        s->peer.port = ntohs(peer->sin_port);
    }
    bbl_map_set(&http->sockets, (uint64_t)fd + 1, s);
    return fd;
}

static int
close_tracked_socket(void *ctx, curl_socket_t fd)
{
    bbl_http_client *http = ctx;

    free(bbl_map_remove(&http->sockets, (uint64_t)fd + 1));
    return close(fd);
}

void
bbl_http_client_close_idle(bbl_http_client *http, bblx_address address)
{
    open_socket *s;
    size_t pos = 0;

    while ((s = bbl_map_next(&http->sockets, &pos)) != NULL) {
        if (!s->in_use && s->peer.ip == address.ip &&
            s->peer.port == address.port) {
            /* libcurl has no call to close a kept connection; it closes the
             * socket itself when it next looks for a connection. */
            shutdown(s->fd, SHUT_RDWR);
        }
    }
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *ctx, void *unused)
{
    bbl_http_client *http = ctx;
    open_socket *s = bbl_map_get(&http->sockets, (uint64_t)fd + 1);
    uint32_t events = 0;

    (void)easy;
    (void)unused;
    if (s != NULL) {
        s->in_use = what != CURL_POLL_REMOVE;
    }
    if (what == CURL_POLL_REMOVE) {
        bbl_loop_unwatch(http->loop, fd);
        return 0;
    }
    events |= (what & CURL_POLL_IN) ? EPOLLIN : 0;
    events |= (what & CURL_POLL_OUT) ? EPOLLOUT : 0;
    bbl_loop_watch(http->loop, fd, events, socket_ready, http);
    return 0;
}

static size_t
on_body(char *ptr, size_t size, size_t count, void *ctx)
{
    exchange *x = ctx;
    size_t bytes = size * count;

    if (x->response_body.size + bytes > x->response_body_max) {
        x->too_large = true;
        return 0;
    }
    bbl_buf_append(&x->response_body, ptr, bytes);
    return bytes;
}

/* Returns the value of a header line if the line starts with `name`, else
 * NULL. */
static const char *
header_value(const char *line, size_t size, const char *name)
{
    size_t n = strlen(name);

    if (size <= n || strncasecmp(line, name, n) != 0) {
        return NULL;
    }
    return line + n;
}

/* Parses a time in whole seconds; 0 if the text is none, such as a date. */
static uint64_t
read_seconds(const char *text)
{
    uint64_t seconds = 0;

    if (text[strspn(text, "0123456789")] != '\0') {
        return 0;
    }
    for (; *text != '\0'; text++) {
        seconds = seconds * 10 + (uint64_t)(*text - '0');
        seconds = seconds < RETRY_AFTER_MAX_S ? seconds : RETRY_AFTER_MAX_S;
    }
    return seconds;
}

static size_t
on_header(char *line, size_t size, size_t count, void *ctx)
{
    exchange *x = ctx;
    size_t bytes = size * count;
    char text[64];
    const char *value;

    x->head_complete = bytes <= 2 && (line[0] == '\r' || line[0] == '\n');
    if (bytes < 2 || strchr("XxRr", line[0]) == NULL) {
        return bytes;
    }
    snprintf(text, sizeof(text), "%.*s", (int)bytes, line);
    text[strcspn(text, "\r\n")] = '\0';
    bytes = strlen(text);
    if ((value = header_value(text, bytes, "X-Boot: ")) != NULL) {
        x->response.boot = strtoull(value, NULL, 16);
    }
    else if ((value = header_value(text, bytes, "X-Index-Version: "))) {
        x->response.index_version = strtoull(value, NULL, 10);
    }
    else if ((value = header_value(text, bytes, "X-Reason: ")) != NULL) {
        snprintf(x->response.reason, sizeof(x->response.reason), "%.31s",
                 value);
    }
    else if ((value = header_value(text, bytes, "X-Exchange: ")) != NULL &&
             x->expected_exchange != 0 &&
             strtoull(value, NULL, 16) != x->expected_exchange) {
        return 0; /* a late response to an earlier request */
    }
    else if ((value = header_value(text, bytes, "Retry-After: ")) != NULL) {
        x->response.retry_after_s = read_seconds(value);
    }
    return size * count;
}

static void
set_options(bbl_http_client *http, exchange *x, const bbl_http_request *r)
{
    CURL *easy = x->easy;

    curl_easy_setopt(easy, CURLOPT_URL, r->url);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, x);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, x);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, x);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                     (long)((r->timeout + 999) / BBL_USEC_PER_MS));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                     r->fresh_connection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE,
                     r->close_connection ? 1L : 0L);
    if (r->post) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
                         (long)x->request_body.size);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
                         x->request_body.ptr ? x->request_body.ptr : "");
    }
    else {
        curl_easy_setopt(easy, CURLOPT_HTTPGET, 1L);
    }
    (void)http;
}

static CURL *
create_handle(bbl_http_client *http)
{
    CURL *easy = curl_easy_init();

    if (easy == NULL) {
        return NULL;
    }
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, 5L);
    curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, 1L);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, open_tracked_socket);
    curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, http);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, close_tracked_socket);
    curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, http);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, http->headers);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    if (http->interface[0] != '\0') {
        curl_easy_setopt(easy, CURLOPT_INTERFACE, http->interface);
    }
    return easy;
}

static CURL *
acquire_handle(bbl_http_client *http)
{
    CURL *easy;

    if (http->idle_handles.size == 0) {
        return create_handle(http);
    }
    easy =
        *BBL_VEC_AT(CURL *, &http->idle_handles, http->idle_handles.size - 1);
    http->idle_handles.size--;
    return easy;
}

static void
remove_exchange(bbl_vec *list, const exchange *x)
{
    size_t i = bbl_vec_find_pointer(list, x);

    if (i < list->size) {
        bbl_vec_swap_remove(list, i);
    }
}

static void
free_exchange(bbl_http_client *http, exchange *x)
{
    curl_multi_remove_handle(http->multi, x->easy);
    if (http->idle_handles.size < IDLE_HANDLES_MAX) {
        bbl_vec_push(&http->idle_handles, &x->easy);
    }
    else {
        curl_easy_cleanup(x->easy);
    }
    remove_exchange(&http->running, x);
    bbl_buf_free(&x->request_body);
    bbl_buf_free(&x->response_body);
    free(x);
}

/* Returns whether any byte of the request may have been sent. */
static bool
was_sent(const exchange *x)
{
    long request_size = 0;

    curl_easy_getinfo(x->easy, CURLINFO_REQUEST_SIZE, &request_size);
    return request_size > 0;
}

static bbl_http_end
classify_end(const exchange *x, CURLcode code)
{
    if (x->aborted) {
        return BBL_HTTP_ABORTED;
    }
    if (x->too_large || code == CURLE_PARTIAL_FILE) {
        return BBL_HTTP_TRUNCATED;
    }
    if (code == CURLE_OK) {
        return x->head_complete ? BBL_HTTP_DONE : BBL_HTTP_TRUNCATED;
    }
    if (!was_sent(x)) {
        return BBL_HTTP_UNSENT;
    }
    return code == CURLE_OPERATION_TIMEDOUT ? BBL_HTTP_TIMED_OUT
                                            : BBL_HTTP_BROKEN;
}

static void
finish_exchange(bbl_http_client *http, exchange *x, CURLcode code)
{
    long new_connections = 0;

    x->response.end = classify_end(x, code);
    curl_easy_getinfo(x->easy, CURLINFO_RESPONSE_CODE, &x->response.status);
    curl_easy_getinfo(x->easy, CURLINFO_NUM_CONNECTS, &new_connections);
    http->connect_count += (uint64_t)new_connections;
    x->response.reused = new_connections == 0;
    x->response.body = bbl_buf_str(&x->response_body);
    x->done(x->ctx, &x->response);
    free_exchange(http, x);
}

static void
finish_completed(bbl_http_client *http)
{
    CURLMsg *msg;
    int remaining;

    while ((msg = curl_multi_info_read(http->multi, &remaining)) != NULL) {
        exchange *x;

        if (msg->msg != CURLMSG_DONE) {
            continue;
        }
        curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, (char **)&x);
        remove_exchange(&http->aborted, x);
        finish_exchange(http, x, msg->data.result);
    }
}

int
bbl_http_client_open(bbl_http_client **out, bbl_loop *loop, uint32_t local_ip)
{
    bbl_http_client *http = bbl_calloc(1, sizeof(*http));

    *out = NULL;
    http->loop = loop;
    http->idle_handles = (bbl_vec)BBL_VEC_INIT(CURL *);
    http->aborted = (bbl_vec)BBL_VEC_INIT(exchange *);
    http->running = (bbl_vec)BBL_VEC_INIT(exchange *);
    http->multi = curl_multi_init();
    if (http->multi == NULL) {
        free(http);
        return bbl_error_set(BBL_ENET, "curl_multi_init");
    }
    if (local_ip != 0) {
        snprintf(http->interface, sizeof(http->interface), "host!%u.%u.%u.%u",
                 local_ip >> 24, (local_ip >> 16) & 255, (local_ip >> 8) & 255,
                 local_ip & 255);
    }
    /* A header without a value keeps libcurl from adding its own. */
    http->headers = curl_slist_append(NULL, "Expect:");
    http->headers = curl_slist_append(http->headers, "Accept:");
    http->headers = curl_slist_append(http->headers, "Content-Type:");
    curl_multi_setopt(http->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
    curl_multi_setopt(http->multi, CURLMOPT_SOCKETDATA, http);
    curl_multi_setopt(http->multi, CURLMOPT_MAXCONNECTS, POOL_CONNECTIONS_MAX);
    curl_multi_setopt(http->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      ADDRESS_CONNECTIONS_MAX);
    *out = http;
    return 0;
}

void
bbl_http_client_free(bbl_http_client *http)
{
    if (http == NULL) {
        return;
    }
    while (http->running.size > 0) {
        free_exchange(http, *BBL_VEC_AT(exchange *, &http->running, 0));
    }
    for (size_t i = 0; i < http->idle_handles.size; i++) {
        curl_easy_cleanup(*BBL_VEC_AT(CURL *, &http->idle_handles, i));
    }
    curl_multi_cleanup(http->multi);
    bbl_map_free(&http->sockets);
    curl_slist_free_all(http->headers);
    bbl_vec_free(&http->idle_handles);
    bbl_vec_free(&http->aborted);
    bbl_vec_free(&http->running);
    free(http);
}

int
bbl_http_request_start(void **out, bbl_http_client *http,
                       const bbl_http_request *r)
{
    exchange *x = bbl_calloc(1, sizeof(*x));
    CURLMcode code;

    *out = NULL;
    x->http = http;
    x->easy = acquire_handle(http);
    if (x->easy == NULL) {
        free(x);
        return bbl_error_set(BBL_ENET, "curl_easy_init");
    }
    x->done = r->done;
    x->ctx = r->ctx;
    x->response_body_max = r->response_max;
    x->expected_exchange = r->exchange;
    bbl_buf_append(&x->request_body, r->body.ptr, r->body.size);
    bbl_vec_push(&http->running, &x);
    set_options(http, x, r);
    code = curl_multi_add_handle(http->multi, x->easy);
    if (code != CURLM_OK) {
        free_exchange(http, x);
        return bbl_error_set(BBL_ENET, "%s", curl_multi_strerror(code));
    }
    *out = x;
    return 0;
}

void
bbl_http_request_abort(bbl_http_client *http, void *handle)
{
    exchange *x = handle;

    if (!x->aborted) {
        x->aborted = true;
        bbl_vec_push(&http->aborted, &x);
    }
}

void
bbl_http_client_tick(bbl_http_client *http)
{
    int running;

    while (http->aborted.size > 0) {
        exchange *x = *BBL_VEC_AT(exchange *, &http->aborted, 0);

        bbl_vec_swap_remove(&http->aborted, 0);
        finish_exchange(http, x, CURLE_ABORTED_BY_CALLBACK);
    }
    curl_multi_socket_action(http->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    finish_completed(http);
}

uint64_t
bbl_http_client_connect_count(const bbl_http_client *http)
{
    return http->connect_count;
}
