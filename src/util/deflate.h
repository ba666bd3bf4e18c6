/*
 * deflate.h - zlib compression of the documents that are sent to every host.
 */
#ifndef BBL_DEFLATE_H
#define BBL_DEFLATE_H

#include "util/buf.h"

/* Appends the compressed form of `bytes`; returns 0 or BBL_EINVAL. */
int bbl_deflate(bbl_buf *out, bbl_str bytes);

/*
 * Appends the decompressed form of `bytes`.
 *
 * @param size expected number of decompressed bytes
 * @return 0, or BBL_EDAMAGED if `bytes` are corrupt or the size differs
 */
int bbl_inflate(bbl_buf *out, bbl_str bytes, size_t size);

#endif
