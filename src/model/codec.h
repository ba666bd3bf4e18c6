/*
 * codec.h - XDR encoding and decoding of the generated types.
 */
#ifndef BBL_CODEC_H
#define BBL_CODEC_H

#include "gen/wire.h"
#include "util/buf.h"

/*
 * Appends the XDR form of `*value` to `out`.
 *
 * @param out  buffer to append to
 * @param proc the generated xdr_ function of the type
 * @param value the value to encode
 * @return 0, or BBL_EINVAL when a bound is exceeded
 */
int bbl_xdr_encode(bbl_buf *out, xdrproc_t proc, const void *value);

/*
 * Decodes bytes into a zeroed `*value`. All bytes must be used.
 * On success release it with bbl_xdr_free; on failure nothing is held.
 *
 * @return 0, or BBL_EDAMAGED
 */
int bbl_xdr_decode(void *value, xdrproc_t proc, bbl_str bytes);

/* Frees what a decoded value holds. */
void bbl_xdr_free(xdrproc_t proc, void *value);

#define BBL_XDR_ENCODE(out, type, value)                                      \
    bbl_xdr_encode((out), (xdrproc_t)xdr_##type, (value))
#define BBL_XDR_DECODE(value, type, bytes)                                    \
    bbl_xdr_decode((value), (xdrproc_t)xdr_##type, (bytes))
#define BBL_XDR_FREE(type, value) bbl_xdr_free((xdrproc_t)xdr_##type, (value))

/* Returns a wire name that borrows `name`'s bytes. */
static inline bblx_name
bbl_name_to_wire(const bbl_name *name)
{
    return (bblx_name){name->size, (char *)name->ptr};
}

/* Copies a wire name; an oversized one becomes empty. */
void bbl_name_from_wire(bbl_name *out, const bblx_name *in);

/* Returns a borrowed view of a wire text. */
static inline bbl_str
bbl_wire_text_str(const bblx_text *text)
{
    return (bbl_str){text->bblx_text_val, text->bblx_text_len};
}

/* Return borrowed views of a wire name and of a wire label. */
static inline bbl_str
bbl_wire_name_str(const bblx_name *name)
{
    return (bbl_str){name->bblx_name_val, name->bblx_name_len};
}

static inline bbl_str
bbl_wire_label_str(const bblx_label *label)
{
    return (bbl_str){label->bblx_label_val, label->bblx_label_len};
}

/* Returns a wire text that borrows `str`. */
static inline bblx_text
bbl_wire_text_borrow(bbl_str str)
{
    return (bblx_text){(u_int)str.size, (char *)str.ptr};
}

/* Replaces the text `to` owns by a copy of `str`. */
void bbl_wire_text_replace(bblx_text *to, bbl_str str);

#endif
