/*
 * http_server.h - the HTTP side towards callers and operators, through
 * libmicrohttpd. A call may be answered at once, or suspended and finished
 * later from another thread.
 */
#ifndef BBL_HTTP_SERVER_H
#define BBL_HTTP_SERVER_H

#include "model/codec.h"
#include "util/buf.h"

#define BBL_HTTP_BODY_MAX_BYTES (1u << 20) /* bytes of a request body */
#define BBL_HTTP_IDLE_TIMEOUT_S 5u         /* a slower sender is cut off */

typedef struct bbl_http_call bbl_http_call;

/* One request and its response. */
struct bbl_http_call {
    bbl_buf method;
    bbl_buf path;
    bbl_buf authorization;
    bbl_buf body;
    unsigned status;          /* HTTP status of the response */
    unsigned retry_after_ms;  /* 0: no Retry-After header */
    const char *content_type; /* static */
    bbl_buf response_body;
    /* Fills the reply on the server's thread after a resume; may be NULL. */
    void (*render)(bbl_http_call *call);
    void *user_data; /* for the handler */
    void (*user_data_free)(void *user);
    void *mhd_connection; /* of the library */
    bool too_large;
    bool handled;
    bool finished;
};

/*
 * Handles one complete request, on a thread of the server.
 *
 * @return true when the call holds its response, false when it was suspended
 */
typedef bool (*bbl_http_handler)(void *ctx, bbl_http_call *call);

typedef struct bbl_http_server bbl_http_server;

int bbl_http_server_open(bbl_http_server **out, bblx_address address,
                         unsigned threads, bbl_http_handler handler,
                         void *ctx);

/* Stops listening; connections that are open go on. */
void bbl_http_server_quiesce(bbl_http_server *server);

void bbl_http_server_free(bbl_http_server *server);

/*
 * Suspends a call; only from its handler and before the call is handed on.
 * bbl_http_call_resume must follow exactly once.
 */
void bbl_http_call_suspend(bbl_http_call *call);

/* Finishes a suspended call; any thread may do so. */
void bbl_http_call_resume(bbl_http_call *call);

/* Sets a JSON error body {"outcome", "reason"} with a status. */
void bbl_http_call_set_error(bbl_http_call *call, unsigned status,
                             const char *outcome, const char *reason);

/* Appends a JSON string with its quotes; text that is not UTF-8 is escaped. */
void bbl_json_append_string(bbl_buf *out, bbl_str text);

#endif
