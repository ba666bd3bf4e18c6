/*
 * http_server.h - a multi-threaded HTTP server for callers and operators,
 * through libmicrohttpd. A handler answers a call at once, or suspends it to
 * let another thread answer it later.
 */
#ifndef BBL_HTTP_SERVER_H
#define BBL_HTTP_SERVER_H

#include "model/codec.h"
#include "util/buf.h"

#define BBL_HTTP_BODY_MAX_BYTES (1u << 20) /* of a request */
/* Connections without progress for this time are closed. */
#define BBL_HTTP_IDLE_TIMEOUT_S 5u

typedef struct bbl_http_call bbl_http_call;

/* One request and its response. */
struct bbl_http_call {
    bbl_buf method;
    bbl_buf path;
    bbl_buf authorization; /* value of the header; empty: absent */
    bbl_buf body;
    unsigned status;          /* HTTP status of the response; default 200 */
    unsigned retry_after_ms;  /* 0: no Retry-After header */
    const char *content_type; /* static; NULL: application/json */
    bbl_buf response_body;
    /* If not NULL, called on a thread of the server before the response is
     * sent, to fill `response_body`. */
    void (*render)(bbl_http_call *call);
    void *user_data; /* not used by the server */
    /* Called with `user_data` when the call is freed, unless one is NULL. */
    void (*user_data_free)(void *user_data);
    void *mhd_connection; /* struct MHD_Connection * */
    bool too_large;       /* the body exceeds BBL_HTTP_BODY_MAX_BYTES */
    bool handled;         /* the handler has been called */
    bool finished;        /* the call has been resumed */
};

/*
 * Handles a complete request on a thread of the server.
 *
 * @return true if the handler has set the response of `call`, false if it has
 *         suspended the call
 */
typedef bool (*bbl_http_handler)(void *ctx, bbl_http_call *call);

typedef struct bbl_http_server bbl_http_server;

/*
 * Starts a server.
 *
 * @param out     set to the server, to be freed with bbl_http_server_free;
 *                NULL on failure
 * @param threads number of threads
 * @return 0 or BBL_ENET
 */
int bbl_http_server_open(bbl_http_server **out, bblx_address address,
                         unsigned threads, bbl_http_handler handler,
                         void *ctx);

/* Closes the listening socket; open connections continue. */
void bbl_http_server_quiesce(bbl_http_server *server);

/* Stops the server and frees it; NULL is allowed. */
void bbl_http_server_free(bbl_http_server *server);

/*
 * Suspends a call. To be called by its handler, before another thread gets
 * access to the call. bbl_http_call_resume must follow exactly once.
 */
void bbl_http_call_suspend(bbl_http_call *call);

/* Sends the response of a suspended call; any thread may call it. */
void bbl_http_call_resume(bbl_http_call *call);

/* Sets the status, and a JSON body with the keys "outcome" and "reason". */
void bbl_http_call_set_error(bbl_http_call *call, unsigned status,
                             const char *outcome, const char *reason);

/*
 * Appends a quoted JSON string. If `text` is not valid UTF-8, each byte above
 * 0x7f is escaped as the code point with its value.
 */
void bbl_json_append_string(bbl_buf *out, bbl_str text);

#endif
