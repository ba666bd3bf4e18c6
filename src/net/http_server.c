#include "net/http_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>
#include <microhttpd.h>

#include "bbl/errors.h"
#include "util/alloc.h"

#define CONNECTIONS_MAX 8192u

struct bbl_http_server {
    struct MHD_Daemon *daemon;
    bbl_http_handler handler;
    void *ctx;
};

static void
free_call(bbl_http_call *call)
{
    if (call->user_data != NULL && call->user_data_free != NULL) {
        call->user_data_free(call->user_data);
    }
    bbl_buf_free(&call->method);
    bbl_buf_free(&call->path);
    bbl_buf_free(&call->authorization);
    bbl_buf_free(&call->body);
    bbl_buf_free(&call->response_body);
    free(call);
}

static enum MHD_Result
queue_response(bbl_http_call *call)
{
    struct MHD_Response *r;
    enum MHD_Result result;
    char seconds[16];

    if (call->render != NULL) {
        call->render(call);
        call->render = NULL;
    }
    r = MHD_create_response_from_buffer(call->response_body.size,
                                        call->response_body.ptr,
                                        MHD_RESPMEM_MUST_COPY);
    if (r == NULL) {
        return MHD_NO;
    }
    MHD_add_response_header(r, "Content-Type",
                            call->content_type ? call->content_type
                                               : "application/json");
    if (call->retry_after_ms > 0) {
        snprintf(seconds, sizeof(seconds), "%u",
                 (call->retry_after_ms + 999) / 1000);
        MHD_add_response_header(r, "Retry-After", seconds);
    }
    result = MHD_queue_response(call->mhd_connection, call->status, r);
    MHD_destroy_response(r);
    return result;
}

static bbl_http_call *
new_call(struct MHD_Connection *connection, const char *url,
         const char *method)
{
    bbl_http_call *call = bbl_calloc(1, sizeof(*call));
    const char *auth = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
                                                   "Authorization");

    call->mhd_connection = connection;
    call->status = 200;
    bbl_buf_append_cstr(&call->method, method);
    bbl_buf_append_cstr(&call->path, url);
    bbl_buf_append_cstr(&call->authorization, auth ? auth : "");
    return call;
}

static void
take_body(bbl_http_call *call, const char *data, size_t size)
{
    if (call->body.size + size > BBL_HTTP_BODY_MAX_BYTES) {
        call->too_large = true;
        return;
    }
    bbl_buf_append(&call->body, data, size);
}

static enum MHD_Result
on_request(void *ctx, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *size, void **state)
{
    bbl_http_server *server = ctx;
    bbl_http_call *call = *state;

    (void)version;
    if (call == NULL) {
        *state = new_call(connection, url, method);
        return MHD_YES;
    }
    if (*size > 0) {
        take_body(call, data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (call->handled) {
        return call->finished ? queue_response(call) : MHD_YES;
    }
    call->handled = true;
    if (call->too_large) {
        bbl_http_call_set_error(call, 413, "bad-request", "body: over 1 MiB");
        return queue_response(call);
    }
    /* After a suspension the call belongs to whoever resumes it. */
    return server->handler(server->ctx, call) ? queue_response(call) : MHD_YES;
}

static void
on_completed(void *ctx, struct MHD_Connection *connection, void **state,
             enum MHD_RequestTerminationCode code)
{
    (void)ctx;
    (void)connection;
    (void)code;
    if (*state != NULL) {
        free_call(*state);
        *state = NULL;
    }
}

int
bbl_http_server_open(bbl_http_server **out, bblx_address address,
                     unsigned threads, bbl_http_handler handler, void *ctx)
{
    bbl_http_server *server = bbl_calloc(1, sizeof(*server));
    struct sockaddr_in sa;

    *out = NULL;
    memset(&sa, 0, sizeof(sa));
    sa.sin_family = AF_INET;
    sa.sin_addr.s_addr = htonl(address.ip);
    sa.sin_port = htons((uint16_t)address.port);
    server->handler = handler;
    server->ctx = ctx;
    server->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC,
        0, NULL, NULL, on_request, server, MHD_OPTION_SOCK_ADDR, &sa,
        MHD_OPTION_THREAD_POOL_SIZE, threads, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, NULL, MHD_OPTION_CONNECTION_TIMEOUT,
        BBL_HTTP_IDLE_TIMEOUT_S, MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
    if (server->daemon == NULL) {
        free(server);
        return bbl_error_set(BBL_ENET, "cannot listen on HTTP port %u",
                             address.port);
    }
    *out = server;
    return 0;
}

void
bbl_http_server_quiesce(bbl_http_server *server)
{
    int fd = MHD_quiesce_daemon(server->daemon);

    if (fd >= 0) {
        close(fd);
    }
}

void
bbl_http_server_free(bbl_http_server *server)
{
    if (server == NULL) {
        return;
    }
    MHD_stop_daemon(server->daemon);
    free(server);
}

void
bbl_http_call_suspend(bbl_http_call *call)
{
    MHD_suspend_connection(call->mhd_connection);
}

void
bbl_http_call_resume(bbl_http_call *call)
{
    call->finished = true;
    MHD_resume_connection(call->mhd_connection);
}

void
bbl_http_call_set_error(bbl_http_call *call, unsigned status,
                        const char *outcome, const char *reason)
{
    call->status = status;
    bbl_buf_clear(&call->response_body);
    bbl_buf_append_cstr(&call->response_body, "{\"outcome\":");
    bbl_json_append_string(&call->response_body,
                           (bbl_str){outcome, strlen(outcome)});
    bbl_buf_append_cstr(&call->response_body, ",\"reason\":");
    bbl_json_append_string(&call->response_body,
                           (bbl_str){reason, strlen(reason)});
    bbl_buf_append_cstr(&call->response_body, "}\n");
}

/* Returns how many bytes from `at` need no escape. */
static size_t
plain_run(bbl_str text, size_t at, bool utf8)
{
    size_t n = at;

    while (n < text.size) {
        unsigned char c = (unsigned char)text.ptr[n];

        if (c < 0x20 || c == '"' || c == '\\' || (c >= 0x80 && !utf8)) {
            break;
        }
        n++;
    }
    return n - at;
}

void
bbl_json_append_string(bbl_buf *out, bbl_str text)
{
    bool utf8 = g_utf8_validate_len(text.ptr ? text.ptr : "", text.size, NULL);
    size_t at = 0;

    bbl_buf_append(out, "\"", 1);
    while (at < text.size) {
        size_t run = plain_run(text, at, utf8);

        bbl_buf_append(out, text.ptr + at, run);
        at += run;
        if (at < text.size) {
            /* A byte of no valid text is carried as its code point. */
            bbl_buf_printf(out, "\\u%04x", (unsigned char)text.ptr[at]);
            at++;
        }
    }
    bbl_buf_append(out, "\"", 1);
}
