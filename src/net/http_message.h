/*
 * http_message.h - one HTTP/1.1 message as it arrives, on the parser of
 * libhttp-parser: the start line, the header fields and the body. Messages
 * whose framing two readers could see differently are refused.
 */
#ifndef BBL_HTTP_MESSAGE_H
#define BBL_HTTP_MESSAGE_H

#include <http_parser.h>

#include "forward/dialect.h"

typedef struct {
    http_parser parser;
    bbl_buf head_text;   /* target, names and values */
    bbl_vec field_spans; /* places of the fields in `text` */
    bbl_vec headers;     /* bbl_header, once the head is complete */
    bbl_buf body;
    size_t target_size; /* the target stands first in `text` */
    size_t body_max;
    size_t head_size;  /* bytes of the head already checked */
    char last_byte;    /* last byte checked */
    size_t line_size;  /* bytes of the present line */
    size_t line_count; /* lines before it that were not empty */
    bool no_body;      /* the response to a HEAD request */
    bool head_done;
    bool done;
    bool keep_alive; /* the connection may carry another message */
    bool too_large;  /* the body is over `body_max` */
} bbl_http_message;

void bbl_http_message_init(bbl_http_message *message, bool request,
                           size_t body_max);
void bbl_http_message_free(bbl_http_message *message);

/* Makes room for the next message on the same connection. */
void bbl_http_message_reset(bbl_http_message *message);

/*
 * Takes in bytes up to the end of the message.
 *
 * @param used set to the bytes taken; the rest belongs to the next message
 * @return 0, or BBL_EDAMAGED when the bytes are no message
 */
int bbl_http_message_feed(bbl_http_message *message, bbl_str bytes,
                          size_t *used);

/*
 * Takes in the end of the connection, which completes a body without length.
 *
 * @return 0 when the message is complete, else BBL_EDAMAGED
 */
int bbl_http_message_feed_eof(bbl_http_message *message);

/* Returns the method or the status; valid once the head is done. */
bbl_str bbl_http_message_method(const bbl_http_message *message);
unsigned bbl_http_message_status(const bbl_http_message *message);
bbl_str bbl_http_message_target(const bbl_http_message *message);

/* Returns the value of a field; `ptr` is NULL when there is none. */
bbl_str bbl_http_message_field(const bbl_http_message *message,
                               const char *name);

/* Returns how often a field occurs. */
size_t bbl_http_message_field_count(const bbl_http_message *message,
                                    const char *name);

/* Whether a field concerns one connection only and is never passed on. */
bool bbl_http_is_hop_by_hop(const bbl_http_message *message, bbl_str name);

/* Returns the usual phrase of a status. */
const char *bbl_http_reason_phrase(unsigned status);

#endif
