/*
 * dialect.h - how one platform names what callers, backend servers, the list
 * of backend servers and operators say. The rest of the tier works on the
 * types below and takes a table of functions; it knows no name of any
 * platform.
 */
#ifndef BBL_DIALECT_H
#define BBL_DIALECT_H

#include "bbl/routing.h"
#include "model/codec.h"
#include "util/vec.h"

/* One header field of a request or response, borrowed. */
typedef struct {
    bbl_str name;
    bbl_str value;
} bbl_header;

/* What a caller says about its request. */
typedef struct {
    bbl_str request_id; /* names this attempt of the caller; may be empty */
    bool has_time_left;
    uint32_t time_left_ms; /* for which the caller waits */
} bbl_caller_head;

/* What a backend server says with its response. */
typedef struct {
    bool not_run;           /* it promises that the request has not run */
    bool wrong_incarnation; /* it is not the incarnation that was meant */
    bool encoded;           /* the body is not the plain one */
    bbl_str signature;      /* proves who computed this response */
    bbl_str request_id;     /* of the request that it answers; may be empty */
    bbl_str incarnation;    /* of the server itself; may be empty */
    bool has_cold_ms;
    uint32_t cold_ms; /* left of its cold start */
} bbl_backend_head;

/* What an operator or a balancer asks of a daemon. */
typedef enum {
    BBL_OPERATOR_COMMAND_UNKNOWN,
    BBL_OPERATOR_COMMAND_READY, /* may this daemon get new connections? */
    BBL_OPERATOR_COMMAND_PUT_ROUTING, /* the body is a routing document */
    BBL_OPERATOR_COMMAND_GET_ROUTING,
    BBL_OPERATOR_COMMAND_EVACUATE, /* takes data centre `zone` out of service
                                    */
    BBL_OPERATOR_COMMAND_RESTORE   /* takes it back */
} bbl_operator_command_kind;

typedef struct {
    bbl_operator_command_kind kind;
    bbl_name zone;
} bbl_operator_command;

typedef struct {
    /* Reads the fields of a caller's request. */
    void (*read_caller_head)(bbl_caller_head *out, const bbl_header *headers,
                             size_t count);
    /* Reads the fields of a backend server's response. */
    void (*read_backend_head)(bbl_backend_head *out, unsigned status,
                              const bbl_header *headers, size_t count);
    /* Whether the tier sets this request field itself. */
    bool (*is_own_field)(bbl_str name);
    /* Appends the fields of one attempt: the time left, and the incarnation
     * that alone may run it. */
    void (*append_attempt_fields)(bbl_buf *out, uint32_t time_left_ms,
                                  bbl_str incarnation);
    /* Appends the fields of a merged answer: the signatures of the parts in
     * it (bbl_str) and how many shards are missing. */
    void (*append_merged_fields)(bbl_buf *out, const bbl_vec *signatures,
                                 size_t missing);
    /* Appends the field that tells a refused caller when to come back. */
    void (*append_retry_after)(bbl_buf *out, uint32_t ms);

    /*
     * Reads a routing document; the result is not checked yet.
     *
     * @return 0, or BBL_EINVAL with a message naming the entry
     */
    int (*read_routing)(bbl_routing **out, bbl_str document);
    /* Appends the path of a page of the list of backend servers. */
    void (*append_catalog_path)(bbl_buf *out, bbl_str page);
    /*
     * Reads one page; an entry that cannot be used is skipped and counted.
     *
     * @param backends vector of bblx_backend, entries owned
     * @param next     the next page, empty after the last
     * @return 0, or BBL_EDAMAGED when the page itself cannot be read
     */
    int (*read_catalog)(bbl_vec *backends, bbl_buf *next, size_t *skipped,
                        bbl_str page);
    /* Reads what a call asks for. */
    void (*read_operator_command)(bbl_operator_command *out, bbl_str method,
                                  bbl_str path);
} bbl_dialect;

#endif
