/*
 * http_message.h - an incremental parser for one HTTP/1.1 request or response,
 * on top of libhttp-parser.
 *
 * It refuses messages whose framing two implementations could interpret
 * differently, as they allow request smuggling.
 */
#ifndef BBL_HTTP_MESSAGE_H
#define BBL_HTTP_MESSAGE_H

#include <http_parser.h>

#include "forward/dialect.h"

/*
 * A message and the state of its parser. `parser.data` points to the structure
 * itself and must be set again after a move.
 */
typedef struct {
    http_parser parser;
    bbl_buf head_text;   /* target, then the names and values of all fields */
    bbl_vec field_spans; /* offsets of the fields in `head_text` */
    bbl_vec headers;     /* bbl_header; empty until `head_done` */
    bbl_buf body;
    size_t target_size;   /* bytes of the target in `head_text` */
    size_t body_max;      /* maximum bytes in the body */
    size_t head_size;     /* bytes of the head received so far */
    size_t trailers_size; /* bytes of trailer fields, which are dropped */
    char last_byte;       /* last one of these bytes */
    size_t line_size;     /* bytes of the current line of the head */
    size_t line_count;    /* non-empty lines before it */
    /* The message is a response to a HEAD request. To be set after
     * bbl_http_message_init or bbl_http_message_reset, which clear it. */
    bool no_body;
    bool head_done;  /* the head is complete */
    bool done;       /* the message is complete */
    bool keep_alive; /* set with `done`: the connection can be reused */
    bool too_large;  /* the body exceeds `body_max` */
    bool bad_status; /* the status is none that HTTP allows */
} bbl_http_message;

/*
 * Initialises an empty message, to be freed with bbl_http_message_free.
 *
 * @param request  whether it is a request, otherwise a response
 * @param body_max maximum bytes in the body
 */
void bbl_http_message_init(bbl_http_message *message, bool request,
                           size_t body_max);

/* Frees the contents of a message, not the structure itself. */
void bbl_http_message_free(bbl_http_message *message);

/* Discards the message, to parse the next one on the same connection. Frees
 * what is large. */
void bbl_http_message_reset(bbl_http_message *message);

/* Returns the bytes that a message has allocated. */
size_t bbl_http_message_get_allocated(const bbl_http_message *message);

/*
 * Parses bytes up to the end of the message. A response whose stated length
 * exceeds `body_max`, or whose status is not from 100 to 599 (RFC 9110,
 * section 15), fails at the end of its head.
 *
 * @param used set to the number of bytes that were parsed; the others belong
 *             to the next message
 * @return 0, or BBL_EDAMAGED if the message is malformed, ambiguous or too
 *         large
 */
int bbl_http_message_feed(bbl_http_message *message, bbl_str bytes,
                          size_t *used);

/*
 * Signals the end of the connection, which completes a response body without
 * a length.
 *
 * @return 0 if the message is complete, else BBL_EDAMAGED
 */
int bbl_http_message_feed_eof(bbl_http_message *message);

/* Return the method and target of a request, and the status of a response,
 * once the head is complete. */
bbl_str bbl_http_message_method(const bbl_http_message *message);
unsigned bbl_http_message_status(const bbl_http_message *message);
bbl_str bbl_http_message_target(const bbl_http_message *message);

/* Returns the value of the first field with a name; `ptr` is NULL if there is
 * none. */
bbl_str bbl_http_message_field(const bbl_http_message *message,
                               const char *name);

/* Returns the number of fields with a name. */
size_t bbl_http_message_field_count(const bbl_http_message *message,
                                    const char *name);

/* Returns whether a field applies to this connection only and must not be
 * forwarded. */
bool bbl_http_is_hop_by_hop(const bbl_http_message *message, bbl_str name);

/* Returns the reason phrase of a status code, a static string. */
const char *bbl_http_reason_phrase(unsigned status);

#endif
