/*
 * query_json.h - parsing of queries and formatting of answers in JSON
 * (docs/API.md).
 */
#ifndef BBL_QUERY_JSON_H
#define BBL_QUERY_JSON_H

#include "policy/gather.h"
#include "util/buf.h"

#define BBL_QUERY_TEXT_MAX_BYTES 65536
#define BBL_QUERY_SHARDS_MAX 65536

/* A parsed query and the memory it borrows from. */
typedef struct {
    /* `deadline` is not set, since it is absolute. `coverage_ppm` is
     * UINT32_MAX if the caller gives no minimum coverage. */
    bbl_query query;
    uint32_t deadline_ms; /* time that the caller allows for the answer */
    bbl_buf request_id;
    bbl_buf text;
    uint32_t *shards; /* ascending; NULL if no shards are listed */
} bbl_query_request;

/*
 * Parses and validates the body of a query.
 *
 * @param out to be freed with bbl_query_request_free, also after a failure
 * @return 0, or BBL_EINVAL with a message of the form "field: reason"
 */
int bbl_query_request_parse(bbl_query_request *out, bbl_str body);

/* Frees the contents of a request, not the structure itself. */
void bbl_query_request_free(bbl_query_request *request);

/* A copy of an answer, with the memory that it borrows from. */
typedef struct {
    bbl_answer answer;
    bbl_answer_shard *shards;
    bbl_buf bodies;   /* the bodies of all shards, in the order of `shards` */
    bbl_buf recorded; /* an earlier answer in JSON; empty: none */
} bbl_answer_copy;

void bbl_answer_copy_init(bbl_answer_copy *out, const bbl_answer *answer);

/* Frees the contents of a copy, not the structure itself. */
void bbl_answer_copy_free(bbl_answer_copy *copy);

/* Appends an answer in JSON; a recorded answer is appended unchanged. */
void bbl_answer_render(bbl_buf *out, const bbl_answer *answer,
                       bbl_str request_id);

/* Returns the HTTP status for an answer. */
unsigned bbl_answer_http_status(const bbl_answer *answer);

#endif
