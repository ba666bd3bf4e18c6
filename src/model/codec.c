#include "model/codec.h"

#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "util/alloc.h"

int
bbl_xdr_encode(bbl_buf *out, xdrproc_t proc, const void *value)
{
    unsigned long size = xdr_sizeof(proc, (void *)value);
    char *end;
    XDR xdrs;
    bool_t ok;

    if (size == 0) {
        return bbl_error_set(
            BBL_EINVAL, "a value exceeds its maximum size in the wire format");
    }
    end = bbl_buf_reserve(out, size);
    xdrmem_create(&xdrs, end, (u_int)size, XDR_ENCODE);
    ok = proc(&xdrs, (void *)value);
    xdr_destroy(&xdrs);
    if (!ok) {
        return bbl_error_set(
            BBL_EINVAL, "a value exceeds its maximum size in the wire format");
    }
    out->size += size;
    out->ptr[out->size] = '\0';
    return 0;
}

int
bbl_xdr_decode_first(void *value, size_t *used, xdrproc_t proc, bbl_str bytes)
{
    XDR xdrs;
    bool_t ok;

    xdrmem_create(&xdrs, (char *)bytes.ptr, (u_int)bytes.size, XDR_DECODE);
    ok = proc(&xdrs, value);
    *used = xdr_getpos(&xdrs);
    xdr_destroy(&xdrs);
    if (!ok) {
        bbl_xdr_free(proc, value);
        return bbl_error_set(BBL_EDAMAGED, "the bytes are no valid XDR value");
    }
    return 0;
}

int
bbl_xdr_decode(void *value, xdrproc_t proc, bbl_str bytes)
{
    size_t used;
    int error = bbl_xdr_decode_first(value, &used, proc, bytes);

    if (error == 0 && used != bytes.size) {
        bbl_xdr_free(proc, value);
        return bbl_error_set(BBL_EDAMAGED,
                             "the bytes are not one valid XDR value");
    }
    return error;
}

void
bbl_xdr_free(xdrproc_t proc, void *value)
{
    xdr_free(proc, value);
}

void
bbl_name_from_wire(bbl_name *out, const bblx_name *in)
{
    memset(out, 0, sizeof(*out));
    if (in->bblx_name_len > 0 && in->bblx_name_len <= BBL_NAME_MAX) {
        out->size = (uint8_t)in->bblx_name_len;
        memcpy(out->ptr, in->bblx_name_val, in->bblx_name_len);
    }
}

void
bbl_wire_text_replace(bblx_text *to, bbl_str str)
{
    char *copy = bbl_memdup(str.ptr, str.size);

    free(to->bblx_text_val);
    to->bblx_text_val = copy;
    to->bblx_text_len = (u_int)str.size;
}
