/*
 * dialect.h - the interface to a platform's message formats: header fields,
 * the list of backend servers, routing documents and operator commands. The
 * rest of the tier uses the types below and a table of functions, and knows no
 * name of any platform.
 */
#ifndef BBL_DIALECT_H
#define BBL_DIALECT_H

#include "bbl/routing.h"
#include "model/codec.h"
#include "util/vec.h"

/* One header field of a request or response; the strings are borrowed. */
typedef struct {
    bbl_str name;
    bbl_str value;
} bbl_header;

/* The header fields that a caller sends with its request. */
typedef struct {
    /* Identifies this attempt of the caller; may be empty. */
    bbl_str request_id;
    bool has_time_left;
    uint32_t time_left_ms; /* how long the caller will wait */
    /* Key of the caller's organisation, the first one of several. */
    bbl_str key;
    unsigned key_count; /* number of fields with a key */
} bbl_caller_head;

/* The header fields that a backend server sends with its response. */
typedef struct {
    bool not_run; /* the server states that the request did not run */
    /* The server is not the incarnation to which the request was addressed. */
    bool wrong_incarnation;
    bool encoded;        /* the body has a content encoding */
    bbl_str signature;   /* proves which server computed the response */
    bbl_str request_id;  /* of the answered request; may be empty */
    bbl_str incarnation; /* of the server; may be empty */
    bool has_cold_ms;
    uint32_t cold_ms; /* time left of its cold start */
    /* Whether it limits the requests that all hosts together may send. */
    bool has_rate_limit;
    double rate_limit; /* requests per second */
    /* Whether it refuses the request and wants none for some time. */
    bool has_backoff;
    uint32_t backoff_ms; /* that time; BBL_BACKOFF_MAX_MS at most */
    bool leaving;        /* it is about to end */
} bbl_backend_head;

/* A longer time that a server asks for counts as this one. */
#define BBL_BACKOFF_MAX_MS (24u * 3600 * 1000)

/* What an operator or a load balancer requests of a daemon. */
typedef enum {
    BBL_OPERATOR_COMMAND_UNKNOWN,
    BBL_OPERATOR_COMMAND_READY,       /* queries readiness */
    BBL_OPERATOR_COMMAND_PUT_ROUTING, /* the body is a routing document */
    BBL_OPERATOR_COMMAND_GET_ROUTING,
    BBL_OPERATOR_COMMAND_EVACUATE,   /* evacuates data centre `zone` */
    BBL_OPERATOR_COMMAND_RESTORE,    /* returns it to service */
    BBL_OPERATOR_COMMAND_ROLL_OUT,   /* the body is the order of a rollout */
    BBL_OPERATOR_COMMAND_GET_ROLLOUT /* of `service` */
} bbl_operator_command_kind;

typedef struct {
    bbl_operator_command_kind kind;
    bbl_name zone;
    bbl_str service; /* borrowed from the path */
} bbl_operator_command;

/* The order to move the requests of a service to servers of a version. */
typedef struct {
    bbl_buf service; /* owned */
    bbl_buf target;  /* owned; the version */
    uint32_t duration_ms;
} bbl_rollout_order;

/* Longest time that a rollout may take. */
#define BBL_ROLLOUT_DURATION_MAX_MS (7u * 24 * 3600 * 1000)

typedef struct {
    /* Reads the fields of a caller's request. */
    void (*read_caller_head)(bbl_caller_head *out, const bbl_header *headers,
                             size_t count);
    /* Reads the fields of a backend server's response. */
    void (*read_backend_head)(bbl_backend_head *out, unsigned status,
                              const bbl_header *headers, size_t count);
    /* Returns whether the tier sets this request field itself. */
    bool (*is_own_field)(bbl_str name);
    /*
     * Returns whether a request field tells whose request it is: the key of an
     * organisation, or its name. Where a routing has organisations, the tier
     * sets these fields itself.
     */
    bool (*is_identity_field)(bbl_str name);
    /* Appends the field with the name of the organisation that calls. */
    void (*append_organisation)(bbl_buf *out, bbl_str name);
    /*
     * Appends the fields of one attempt: the time left, and the only
     * incarnation that may run it, empty if any may.
     */
    void (*append_attempt_fields)(bbl_buf *out, uint32_t time_left_ms,
                                  bbl_str incarnation);
    /*
     * Appends the fields of a merged answer: the signatures (bbl_str) of its
     * parts, and the number of missing shards.
     */
    void (*append_merged_fields)(bbl_buf *out, const bbl_vec *signatures,
                                 size_t missing);
    /* Appends the field that states when a refused caller may retry. */
    void (*append_retry_after)(bbl_buf *out, uint32_t ms);

    /*
     * Decodes a routing document, without validating the result.
     *
     * @return 0, or BBL_EINVAL with a message that names the invalid entry
     */
    int (*read_routing)(bbl_routing **out, bbl_str document);
    /* Appends the path of a page of the list of backend servers. */
    void (*append_catalog_path)(bbl_buf *out, bbl_str page);
    /*
     * Decodes one page of the list. Invalid entries are skipped and counted.
     *
     * @param backends vector of bblx_backend, to which the entries are
     *                 appended; the caller owns them
     * @param versions vector of uint64_t, to which the bbl_version_hash() of
     *                 the version of each entry is appended
     * @param next set to the token of the next page, empty after the last page
     * @param skipped incremented for each entry that is skipped
     * @return 0, or BBL_EDAMAGED if the page itself cannot be decoded
     */
    int (*read_catalog)(bbl_vec *backends, bbl_vec *versions, bbl_buf *next,
                        size_t *skipped, bbl_str page);
    /* Decodes an operator command from the method and path of a request. */
    void (*read_operator_command)(bbl_operator_command *out, bbl_str method,
                                  bbl_str path);
    /*
     * Decodes the order of a rollout.
     *
     * @param out its strings are freed by the caller; empty on failure
     * @return 0 or BBL_EINVAL
     */
    int (*read_rollout_order)(bbl_rollout_order *out, bbl_str body);
    /* Appends the text that tells operators the state of a rollout. */
    void (*append_rollout)(bbl_buf *out, const bblx_rollout *rollout);
} bbl_dialect;

#endif
