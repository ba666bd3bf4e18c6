/*
 * buf.h - a growable byte string.
 */
#ifndef BBL_BUF_H
#define BBL_BUF_H

#include "bbl/types.h"

typedef struct {
    char *ptr;   /* NULL until the first append; then NUL-terminated */
    size_t size; /* bytes in use, without the NUL */
    size_t cap;  /* bytes allocated */
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

/* Removes the first `size` bytes, or all bytes if there are fewer. */
void bbl_buf_consume(bbl_buf *buf, size_t size);

/*
 * Allocates room for `extra` more bytes and a NUL byte. Returns the address
 * after the content; the caller writes there and then increases `size`.
 */
char *bbl_buf_reserve(bbl_buf *buf, size_t extra);

/* Removes all bytes without freeing the memory. */
void bbl_buf_clear(bbl_buf *buf);

/* Frees the memory; the buffer is then empty and may be used again. */
void bbl_buf_free(bbl_buf *buf);

/* Returns a string that borrows the content, valid until the next change. */
bbl_str bbl_buf_str(const bbl_buf *buf);

#endif
