/*
 * deflate.h - compression of documents that travel to every host.
 */
#ifndef BBL_DEFLATE_H
#define BBL_DEFLATE_H

#include "util/buf.h"

/* Appends the compressed form of `bytes`; returns 0 or BBL_EINVAL. */
int bbl_deflate(bbl_buf *out, bbl_str bytes);

/*
 * Appends what `bytes` were compressed from.
 *
 * @param size bytes that this must give
 * @return 0, or BBL_EDAMAGED
 */
int bbl_inflate(bbl_buf *out, bbl_str bytes, size_t size);

#endif
