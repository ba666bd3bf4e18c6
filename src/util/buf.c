#include "util/buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"

char *
bbl_buf_reserve(bbl_buf *buf, size_t extra)
{
    size_t need = buf->size + extra + 1;

    if (need > buf->cap) {
        size_t cap = buf->cap ? buf->cap : 64;

        while (cap < need) {
            cap *= 2;
        }
        buf->ptr = bbl_reallocarray(buf->ptr, cap, 1);
        buf->cap = cap;
    }
    return buf->ptr + buf->size;
}

void
bbl_buf_append(bbl_buf *buf, const void *ptr, size_t size)
{
    char *end = bbl_buf_reserve(buf, size);

    if (size > 0) {
        memcpy(end, ptr, size);
    }
    buf->size += size;
    buf->ptr[buf->size] = '\0';
}

void
bbl_buf_append_cstr(bbl_buf *buf, const char *text)
{
    bbl_buf_append(buf, text, strlen(text));
}

void
bbl_buf_printf(bbl_buf *buf, const char *fmt, ...)
{
    va_list ap;
    int n;

    va_start(ap, fmt);
    n = vsnprintf(NULL, 0, fmt, ap);
    va_end(ap);
    if (n <= 0) {
        return;
    }
    bbl_buf_reserve(buf, (size_t)n);
    va_start(ap, fmt);
    vsnprintf(buf->ptr + buf->size, (size_t)n + 1, fmt, ap);
    va_end(ap);
    buf->size += (size_t)n;
}

void
bbl_buf_consume(bbl_buf *buf, size_t size)
{
    if (size >= buf->size) {
        bbl_buf_clear(buf);
        return;
    }
    memmove(buf->ptr, buf->ptr + size, buf->size - size);
    buf->size -= size;
    buf->ptr[buf->size] = '\0';
}

void
bbl_buf_clear(bbl_buf *buf)
{
    buf->size = 0;
    if (buf->ptr != NULL) {
        buf->ptr[0] = '\0';
    }
}

void
bbl_buf_free(bbl_buf *buf)
{
    free(buf->ptr);
    memset(buf, 0, sizeof(*buf));
}

bbl_str
bbl_buf_str(const bbl_buf *buf)
{
    return (bbl_str){buf->ptr, buf->size};
}
