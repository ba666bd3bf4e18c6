/*
 * codec.h - XDR encoding and decoding of the generated wire types, and
 * conversions between these and bbl_name and bbl_str.
 */
#ifndef BBL_CODEC_H
#define BBL_CODEC_H

#include "gen/wire.h"
#include "util/buf.h"

/*
 * Appends the XDR encoding of `*value` to `out`.
 *
 * @param proc generated xdr_ function of the type
 * @return 0, or BBL_EINVAL if a part of the value exceeds its maximum size;
 *         nothing is appended then
 */
int bbl_xdr_encode(bbl_buf *out, xdrproc_t proc, const void *value);

/*
 * Decodes `bytes`, which must be the encoding of exactly one value.
 *
 * @param value zeroed; on success to be freed with bbl_xdr_free, on failure
 *              owns nothing
 * @param proc  generated xdr_ function of the type
 * @return 0, or BBL_EDAMAGED
 */
int bbl_xdr_decode(void *value, xdrproc_t proc, bbl_str bytes);

/*
 * Decodes the value at the start of `bytes`, as bbl_xdr_decode does.
 *
 * @param used set to the size of its encoding
 */
int bbl_xdr_decode_first(void *value, size_t *used, xdrproc_t proc,
                         bbl_str bytes);

/* Frees the memory that a decoded value owns, not `value` itself. */
void bbl_xdr_free(xdrproc_t proc, void *value);

#define BBL_XDR_ENCODE(out, type, value)                                      \
    bbl_xdr_encode((out), (xdrproc_t)xdr_##type, (value))
#define BBL_XDR_DECODE(value, type, bytes)                                    \
    bbl_xdr_decode((value), (xdrproc_t)xdr_##type, (bytes))
#define BBL_XDR_FREE(type, value) bbl_xdr_free((xdrproc_t)xdr_##type, (value))

/* Returns a wire name that borrows the bytes of `name`. */
static inline bblx_name
bbl_name_to_wire(const bbl_name *name)
{
    return (bblx_name){name->size, (char *)name->ptr};
}

/* Copies a wire name; one above BBL_NAME_MAX bytes becomes an empty name. */
void bbl_name_from_wire(bbl_name *out, const bblx_name *in);

/* Returns a string that borrows the bytes of a wire text. */
static inline bbl_str
bbl_wire_text_str(const bblx_text *text)
{
    return (bbl_str){text->bblx_text_val, text->bblx_text_len};
}

/* Return a string that borrows the bytes of a wire name or a wire label. */
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

/* Returns a wire text that borrows the bytes of `str`. */
static inline bblx_text
bbl_wire_text_borrow(bbl_str str)
{
    return (bblx_text){(u_int)str.size, (char *)str.ptr};
}

/* Frees the bytes that `to` owns and replaces them with a copy of `str`. */
void bbl_wire_text_replace(bblx_text *to, bbl_str str);

#endif
