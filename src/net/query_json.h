/*
 * query_json.h - the JSON forms of a query and of its answer (docs/API.md).
 */
#ifndef BBL_QUERY_JSON_H
#define BBL_QUERY_JSON_H

#include "policy/gather.h"
#include "util/buf.h"

#define BBL_QUERY_TEXT_MAX_BYTES 65536 /* bytes */
#define BBL_QUERY_SHARDS_MAX 65536

/* A parsed query and the memory it borrows from. */
typedef struct {
    bbl_query query; /* `deadline` is unset; see deadline_ms */
    uint32_t deadline_ms;
    bbl_buf request_id;
    bbl_buf text;
    uint32_t *shards;
} bbl_query_request;

/*
 * Parses a query body.
 *
 * @param out released by bbl_query_request_free, also after a failure
 * @return 0, or BBL_EINVAL with "field: reason" as the message
 */
int bbl_query_request_parse(bbl_query_request *out, bbl_str body);
void bbl_query_request_free(bbl_query_request *request);

/* A copy of an answer that outlives the core's call. */
typedef struct {
    bbl_answer answer;
    bbl_answer_shard *shards;
    bbl_buf bodies;
    bbl_buf recorded;
} bbl_answer_copy;

void bbl_answer_copy_init(bbl_answer_copy *out, const bbl_answer *answer);
void bbl_answer_copy_free(bbl_answer_copy *copy);

/* Appends the JSON form of an answer. */
void bbl_answer_render(bbl_buf *out, const bbl_answer *answer,
                       bbl_str request_id);

/* Returns the HTTP status for an answer. */
unsigned bbl_answer_http_status(const bbl_answer *answer);

#endif
