#include "net/http_message.h"

#include <string.h>
#include <strings.h>

#include "bbl/errors.h"

/* For any message; the limit for the requests of callers is smaller. */
#define HEAD_MAX_BYTES (1u << 20)
#define TRAILERS_MAX_BYTES (64u << 10)
/* Header fields of a response. Those of a request are limited by its size. */
#define RESPONSE_FIELDS_MAX 1000
/* A buffer that has grown beyond this is freed before the next message. */
#define KEPT_BUFFER_BYTES (4u << 10)
#define STATUS_MIN 100
#define STATUS_MAX 599

/* The place of one field in `head_text`. */
typedef struct {
    size_t name;
    size_t name_size;
    size_t value;
    size_t value_size;
    bool has_value;
} field_span;

static int
on_target(http_parser *p, const char *at, size_t size)
{
    bbl_http_message *m = p->data;

    bbl_buf_append(&m->head_text, at, size);
    m->target_size += size;
    return 0;
}

/*
 * Drops a part of the trailer fields. The head must not change any more, since
 * the header fields point into it.
 */
static int
drop_trailer(bbl_http_message *m, size_t size)
{
    m->trailers_size += size;
    return m->trailers_size > TRAILERS_MAX_BYTES;
}

static int
on_field(http_parser *p, const char *at, size_t size)
{
    bbl_http_message *m = p->data;
    field_span *s = m->field_spans.size > 0
                        ? bbl_vec_at(&m->field_spans, m->field_spans.size - 1)
                        : NULL;

    if (m->head_done) {
        return drop_trailer(m, size);
    }
    if (s == NULL || s->has_value) {
        if (p->type == HTTP_RESPONSE &&
            m->field_spans.size >= RESPONSE_FIELDS_MAX) {
            return 1;
        }
        s = bbl_vec_add(&m->field_spans);
        s->name = m->head_text.size;
    }
    bbl_buf_append(&m->head_text, at, size);
    s->name_size += size;
    return m->head_text.size > HEAD_MAX_BYTES;
}

static int
on_value(http_parser *p, const char *at, size_t size)
{
    bbl_http_message *m = p->data;
    field_span *s;

    if (m->head_done) {
        return drop_trailer(m, size);
    }
    s = bbl_vec_at(&m->field_spans, m->field_spans.size - 1);
    if (!s->has_value) {
        s->value = m->head_text.size;
        s->has_value = true;
    }
    bbl_buf_append(&m->head_text, at, size);
    s->value_size += size;
    return m->head_text.size > HEAD_MAX_BYTES;
}

/* Removes trailing white space. */
static bbl_str
trim_end(bbl_str s)
{
    while (s.size > 0 &&
           (s.ptr[s.size - 1] == ' ' || s.ptr[s.size - 1] == '\t')) {
        s.size--;
    }
    return s;
}

static int
on_head(http_parser *p)
{
    bbl_http_message *m = p->data;

    if (p->type == HTTP_RESPONSE &&
        (p->status_code < STATUS_MIN || p->status_code > STATUS_MAX)) {
        m->bad_status = true;
        return -1;
    }
    m->head_done = true;
    m->headers.size = 0;
    for (size_t i = 0; i < m->field_spans.size; i++) {
        const field_span *s = bbl_vec_at(&m->field_spans, i);
        bbl_header *h = bbl_vec_add(&m->headers);

        h->name = (bbl_str){m->head_text.ptr + s->name, s->name_size};
        h->value =
            trim_end((bbl_str){m->head_text.ptr + s->value, s->value_size});
    }
    if (m->no_body) {
        return 1; /* there is no body whatever the fields say */
    }
    if (p->type == HTTP_RESPONSE && p->content_length != UINT64_MAX &&
        p->content_length > m->body_max) {
        m->too_large = true;
        return -1;
    }
    return 0;
}

static int
on_body(http_parser *p, const char *at, size_t size)
{
    bbl_http_message *m = p->data;

    if (m->body.size + size > m->body_max) {
        m->too_large = true;
        return 1;
    }
    bbl_buf_append(&m->body, at, size);
    return 0;
}

static int
on_complete(http_parser *p)
{
    bbl_http_message *m = p->data;

    m->done = true;
    m->keep_alive = http_should_keep_alive(p) != 0;
    http_parser_pause(p, 1);
    return 0;
}

static const http_parser_settings callbacks = {
    .on_url = on_target,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

void
bbl_http_message_init(bbl_http_message *m, bool request, size_t body_max)
{
    memset(m, 0, sizeof(*m));
    http_parser_init(&m->parser, request ? HTTP_REQUEST : HTTP_RESPONSE);
    m->parser.data = m;
    m->field_spans = (bbl_vec)BBL_VEC_INIT(field_span);
    m->headers = (bbl_vec)BBL_VEC_INIT(bbl_header);
    m->body_max = body_max;
}

void
bbl_http_message_free(bbl_http_message *m)
{
    bbl_buf_free(&m->head_text);
    bbl_buf_free(&m->body);
    bbl_vec_free(&m->field_spans);
    bbl_vec_free(&m->headers);
}

static void
empty_buffer(bbl_buf *buf)
{
    if (buf->cap > KEPT_BUFFER_BYTES) {
        bbl_buf_free(buf);
    }
    bbl_buf_clear(buf);
}

static void
empty_vec(bbl_vec *vec)
{
    if (vec->cap * vec->item_size > KEPT_BUFFER_BYTES) {
        bbl_vec_free(vec);
    }
    vec->size = 0;
}

size_t
bbl_http_message_get_allocated(const bbl_http_message *m)
{
    return m->head_text.cap + m->body.cap +
           m->field_spans.cap * m->field_spans.item_size +
           m->headers.cap * m->headers.item_size;
}

void
bbl_http_message_reset(bbl_http_message *m)
{
    http_parser_init(&m->parser, (enum http_parser_type)m->parser.type);
    m->parser.data = m;
    empty_buffer(&m->head_text);
    empty_buffer(&m->body);
    empty_vec(&m->field_spans);
    empty_vec(&m->headers);
    m->target_size = 0;
    m->head_size = 0;
    m->trailers_size = 0;
    m->last_byte = 0;
    m->line_size = 0;
    m->line_count = 0;
    m->no_body = false;
    m->head_done = false;
    m->done = false;
    m->keep_alive = false;
    m->too_large = false;
    m->bad_status = false;
}

/*
 * Refuses heads with line ends other than CRLF or with folded fields, which
 * implementations interpret differently. Stops at the end of the head.
 */
static int
check_line_structure(bbl_http_message *m, bbl_str bytes)
{
    for (size_t i = 0; i < bytes.size; i++) {
        char c = bytes.ptr[i];

        m->head_size++;
        if ((c == '\n') != (m->last_byte == '\r')) {
            return bbl_error_set(BBL_EDAMAGED, "a line does not end in CRLF");
        }
        m->last_byte = c;
        if (c == '\n') {
            if (m->line_size == 0 && m->line_count > 0) {
                return 0;
            }
            m->line_count += m->line_size > 0;
            m->line_size = 0;
        }
        else if (c != '\r') {
            if (m->line_size == 0 && m->line_count > 0 &&
                (c == ' ' || c == '\t')) {
                return bbl_error_set(BBL_EDAMAGED, "a header field is folded");
            }
            m->line_size++;
        }
    }
    return 0;
}

static int
check_framing(const bbl_http_message *m)
{
    size_t lengths = bbl_http_message_field_count(m, "Content-Length");
    size_t codings = bbl_http_message_field_count(m, "Transfer-Encoding");

    if (lengths > 1 || codings > 1 || (lengths > 0 && codings > 0)) {
        return bbl_error_set(BBL_EDAMAGED,
                             "the length of the body is given twice");
    }
    for (size_t i = 0; i < m->headers.size; i++) {
        bbl_str name = ((const bbl_header *)bbl_vec_at(&m->headers, i))->name;

        if (name.size == 0 || trim_end(name).size != name.size) {
            return bbl_error_set(
                BBL_EDAMAGED, "a field name is empty or followed by a space");
        }
    }
    return 0;
}

int
bbl_http_message_feed(bbl_http_message *m, bbl_str bytes, size_t *used)
{
    enum http_errno error;
    bool had_head = m->head_done;

    *used = 0;
    if (!had_head && check_line_structure(m, bytes) != 0) {
        return BBL_EDAMAGED;
    }
    *used = http_parser_execute(&m->parser, &callbacks, bytes.ptr, bytes.size);
    error = HTTP_PARSER_ERRNO(&m->parser);
    if (error == HPE_PAUSED && m->done) {
        http_parser_pause(&m->parser, 0);
        error = HPE_OK;
    }
    if (error != HPE_OK) {
        return bbl_error_set(BBL_EDAMAGED, "%s",
                             http_errno_description(error));
    }
    if (m->parser.upgrade) {
        return bbl_error_set(BBL_EDAMAGED,
                             "protocol upgrades are not supported");
    }
    return m->head_done && !had_head ? check_framing(m) : 0;
}

int
bbl_http_message_feed_eof(bbl_http_message *m)
{
    if (!m->done) {
        http_parser_execute(&m->parser, &callbacks, NULL, 0);
    }
    if (!m->done) {
        return bbl_error_set(BBL_EDAMAGED, "the message is incomplete");
    }
    return 0;
}

bbl_str
bbl_http_message_method(const bbl_http_message *m)
{
    const char *name = http_method_str((enum http_method)m->parser.method);

    return (bbl_str){name, strlen(name)};
}

unsigned
bbl_http_message_status(const bbl_http_message *m)
{
    return m->parser.status_code;
}

bbl_str
bbl_http_message_target(const bbl_http_message *m)
{
    return (bbl_str){m->head_text.ptr, m->target_size};
}

static bool
name_equals(bbl_str name, const char *field)
{
    return name.size == strlen(field) &&
           strncasecmp(name.ptr, field, name.size) == 0;
}

bbl_str
bbl_http_message_field(const bbl_http_message *m, const char *name)
{
    for (size_t i = 0; i < m->headers.size; i++) {
        const bbl_header *h = bbl_vec_at(&m->headers, i);

        if (name_equals(h->name, name)) {
            return h->value;
        }
    }
    return (bbl_str){NULL, 0};
}

size_t
bbl_http_message_field_count(const bbl_http_message *m, const char *name)
{
    size_t n = 0;

    for (size_t i = 0; i < m->headers.size; i++) {
        const bbl_header *h = bbl_vec_at(&m->headers, i);

        n += name_equals(h->name, name);
    }
    return n;
}

/* Returns whether a comma-separated list contains a token. */
static bool
list_contains(bbl_str list, bbl_str token)
{
    size_t at = 0;

    while (at < list.size) {
        size_t end = at;

        while (end < list.size && list.ptr[end] != ',') {
            end++;
        }
        while (at < end && (list.ptr[at] == ' ' || list.ptr[at] == '\t')) {
            at++;
        }
        size_t size = end - at;

        while (size > 0 && (list.ptr[at + size - 1] == ' ' ||
                            list.ptr[at + size - 1] == '\t')) {
            size--;
        }
        if (size == token.size &&
            strncasecmp(list.ptr + at, token.ptr, size) == 0) {
            return true;
        }
        at = end + 1;
    }
    return false;
}

bool
bbl_http_is_hop_by_hop(const bbl_http_message *m, bbl_str name)
{
    static const char *const hop_by_hop[] = {
        "Connection", "Keep-Alive",        "Proxy-Connection",
        "TE",         "Transfer-Encoding", "Trailer",
        "Upgrade",    "Content-Length",    "Expect",
    };

    for (size_t i = 0; i < sizeof(hop_by_hop) / sizeof(hop_by_hop[0]); i++) {
        if (name_equals(name, hop_by_hop[i])) {
            return true;
        }
    }
    return list_contains(bbl_http_message_field(m, "Connection"), name);
}

const char *
bbl_http_reason_phrase(unsigned status)
{
    return http_status_str((enum http_status)status);
}
