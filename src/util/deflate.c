#include "util/deflate.h"

#include <zlib.h>

#include "bbl/errors.h"

#define COMPRESSION_LEVEL 6 /* zlib's default; the documents are small */

int
bbl_deflate(bbl_buf *out, bbl_str bytes)
{
    uLongf size = compressBound((uLong)bytes.size);
    char *dest = bbl_buf_reserve(out, size);

    if (compress2((Bytef *)dest, &size, (const Bytef *)bytes.ptr,
                  (uLong)bytes.size, COMPRESSION_LEVEL) != Z_OK) {
        return bbl_error_set(BBL_EINVAL, "a document cannot be compressed");
    }
    out->size += size;
    return 0;
}

int
bbl_inflate(bbl_buf *out, bbl_str bytes, size_t size)
{
    uLongf inflated = (uLongf)size;
    char *dest = bbl_buf_reserve(out, size);

    if (uncompress((Bytef *)dest, &inflated, (const Bytef *)bytes.ptr,
                   (uLong)bytes.size) != Z_OK ||
        inflated != size) {
        return bbl_error_set(BBL_EDAMAGED, "a compressed document is corrupt");
    }
    out->size += size;
    return 0;
}
