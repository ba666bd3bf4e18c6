#include "util/deflate.h"

#include <zlib.h>

#include "bbl/errors.h"

#define LEVEL 6 /* the library's own default; documents are small */

int
bbl_deflate(bbl_buf *out, bbl_str bytes)
{
    uLongf size = compressBound((uLong)bytes.size);
    char *to = bbl_buf_reserve(out, size);

    if (compress2((Bytef *)to, &size, (const Bytef *)bytes.ptr,
                  (uLong)bytes.size, LEVEL) != Z_OK) {
        return bbl_error_set(BBL_EINVAL, "the document cannot be compressed");
    }
    out->size += size;
    return 0;
}

int
bbl_inflate(bbl_buf *out, bbl_str bytes, size_t size)
{
    uLongf got = (uLongf)size;
    char *to = bbl_buf_reserve(out, size);

    if (uncompress((Bytef *)to, &got, (const Bytef *)bytes.ptr,
                   (uLong)bytes.size) != Z_OK ||
        got != size) {
        return bbl_error_set(BBL_EDAMAGED, "a compressed document is damaged");
    }
    out->size += size;
    return 0;
}
