/*
 * buf.h - a growable, length-counted byte string.
 */
#ifndef BBL_BUF_H
#define BBL_BUF_H

#include "bbl/types.h"

typedef struct {
    char *ptr; /* NUL after the last byte once anything was put */
    size_t size;
    size_t cap;
} bbl_buf;

#define BBL_BUF_INIT                                                          \
    {                                                                         \
        NULL, 0, 0                                                            \
    }

/* Appends bytes. */
void bbl_buf_append(bbl_buf *buf, const void *ptr, size_t size);

/* Appends a NUL-terminated string. */
void bbl_buf_append_cstr(bbl_buf *buf, const char *text);

/* Appends formatted text. */
void bbl_buf_printf(bbl_buf *buf, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Removes the first `size` bytes. */
void bbl_buf_consume(bbl_buf *buf, size_t size);

/* Makes room for `extra` more bytes and returns where they go. */
char *bbl_buf_reserve(bbl_buf *buf, size_t extra);

/* Empties the buffer, keeping its memory. */
void bbl_buf_clear(bbl_buf *buf);

/* Frees the memory; the buffer is empty and usable afterwards. */
void bbl_buf_free(bbl_buf *buf);

/* Returns a borrowed view of the content. */
bbl_str bbl_buf_str(const bbl_buf *buf);

#endif
