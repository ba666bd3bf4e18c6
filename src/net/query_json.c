#include "net/query_json.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "bbl/errors.h"
#include "net/http_server.h"
#include "util/alloc.h"

#define PPM 1000000

typedef int (*field_reader)(bbl_query_request *out, const json_t *value);

static int
bad(const char *field, const char *reason)
{
    return bbl_error_set(BBL_EINVAL, "%s: %s", field, reason);
}

static int
read_request_id(bbl_query_request *out, const json_t *v)
{
    size_t n = json_string_length(v);

    if (!json_is_string(v) || n == 0 || n > BBL_REQUEST_ID_MAX) {
        return bad("request_id", "a string of 1 to 64 bytes");
    }
    bbl_buf_append(&out->request_id, json_string_value(v), n);
    out->query.request_id = bbl_buf_str(&out->request_id);
    return 0;
}

static int
read_customer(bbl_query_request *out, const json_t *v)
{
    if (!json_is_string(v) ||
        bbl_name_set(&out->query.customer, json_string_value(v),
                     json_string_length(v)) != 0) {
        return bad("customer", "a string of 1 to 31 bytes");
    }
    return 0;
}

static int
read_urgency(bbl_query_request *out, const json_t *v)
{
    bbl_str text = {json_string_value(v), json_string_length(v)};

    if (!json_is_string(v) ||
        bbl_urgency_parse(&out->query.urgency, text) != 0) {
        return bad("urgency", "one of urgent, normal, batch");
    }
    return 0;
}

static int
read_deadline(bbl_query_request *out, const json_t *v)
{
    json_int_t ms = json_integer_value(v);

    if (!json_is_integer(v) || ms < 1 || ms > BBL_DEADLINE_MAX_MS) {
        return bad("deadline_ms", "a whole number from 1 to 60000");
    }
    out->deadline_ms = (uint32_t)ms;
    return 0;
}

static int
read_shard_list(bbl_query_request *out, const json_t *v)
{
    size_t n = json_array_size(v);

    if (n == 0 || n > BBL_QUERY_SHARDS_MAX) {
        return bad("shards", "1 to 65536 shard numbers");
    }
    out->shards = bbl_calloc(n, sizeof(*out->shards));
    for (size_t i = 0; i < n; i++) {
        const json_t *shard = json_array_get(v, i);
        json_int_t number = json_integer_value(shard);

        if (!json_is_integer(shard) || number < 0 || number > 0xffffff) {
            return bad("shards", "shard numbers from 0 to 16777215");
        }
        out->shards[i] = (uint32_t)number;
    }
    out->query.shards = out->shards;
    out->query.shard_count = n;
    return 0;
}

static int
compare_shards(const void *a, const void *b)
{
    uint32_t x = *(const uint32_t *)a;
    uint32_t y = *(const uint32_t *)b;

    return x < y ? -1 : x > y;
}

static int
read_shards(bbl_query_request *out, const json_t *v)
{
    int error;

    if (json_is_string(v) && strcmp(json_string_value(v), "all") == 0) {
        out->query.all_shards = true;
        return 0;
    }
    if (!json_is_array(v)) {
        return bad("shards", "\"all\" or an array of shard numbers");
    }
    error = read_shard_list(out, v);
    if (error != 0) {
        return error;
    }
    qsort(out->shards, out->query.shard_count, sizeof(uint32_t),
          compare_shards);
    for (size_t i = 1; i < out->query.shard_count; i++) {
        if (out->shards[i] == out->shards[i - 1]) {
            return bad("shards", "a shard is named twice");
        }
    }
    return 0;
}

static int
read_service(bbl_query_request *out, const json_t *v)
{
    if (!json_is_string(v) ||
        bbl_name_set(&out->query.service, json_string_value(v),
                     json_string_length(v)) != 0) {
        return bad("service", "a string of 1 to 31 bytes");
    }
    return 0;
}

static int
read_text(bbl_query_request *out, const json_t *v)
{
    size_t n = json_string_length(v);

    if (!json_is_string(v) || n > BBL_QUERY_TEXT_MAX_BYTES) {
        return bad("query", "a string of at most 65536 bytes");
    }
    bbl_buf_append(&out->text, json_string_value(v), n);
    out->query.text = bbl_buf_str(&out->text);
    return 0;
}

static int
read_repeatable(bbl_query_request *out, const json_t *v)
{
    if (!json_is_boolean(v)) {
        return bad("repeatable", "true or false");
    }
    out->query.repeatable = json_is_true(v);
    return 0;
}

static int
read_coverage(bbl_query_request *out, const json_t *v)
{
    double fraction = json_number_value(v);

    if (!json_is_number(v) || !(fraction >= 0 && fraction <= 1)) {
        return bad("least_coverage", "a number from 0 to 1");
    }
    out->query.coverage_ppm = (uint32_t)(fraction * PPM + 0.5);
    return 0;
}

static const struct {
    const char *name;
    bool required;
    field_reader read;
} fields[] = {
    {"request_id", true, read_request_id},
    {"customer", true, read_customer},
    {"urgency", false, read_urgency},
    {"deadline_ms", true, read_deadline},
    {"shards", false, read_shards},
    {"service", false, read_service},
    {"query", true, read_text},
    {"repeatable", false, read_repeatable},
    {"least_coverage", false, read_coverage},
};

#define FIELD_COUNT (sizeof(fields) / sizeof(fields[0]))

static int
read_field(bbl_query_request *out, const char *name, const json_t *value)
{
    for (size_t i = 0; i < FIELD_COUNT; i++) {
        if (strcmp(fields[i].name, name) == 0) {
            return fields[i].read(out, value);
        }
    }
    return bbl_error_set(BBL_EINVAL, "%.40s: unknown field", name);
}

static int
read_fields(bbl_query_request *out, json_t *root)
{
    const char *name;
    json_t *value;
    int error = 0;

    if (!json_is_object(root)) {
        return bad("body", "a JSON object");
    }
    for (size_t i = 0; i < FIELD_COUNT; i++) {
        if (fields[i].required &&
            json_object_get(root, fields[i].name) == NULL) {
            return bad(fields[i].name, "missing");
        }
    }
    json_object_foreach(root, name, value)
    {
        error = error ? error : read_field(out, name, value);
    }
    return error;
}

int
bbl_query_request_parse(bbl_query_request *out, bbl_str body)
{
    json_error_t where;
    json_t *root;
    int error;
    int targets;

    memset(out, 0, sizeof(*out));
    out->query.urgency = BBL_URGENCY_NORMAL;
    out->query.repeatable = true;
    out->query.coverage_ppm = UINT32_MAX;
    root = json_loadb(body.ptr ? body.ptr : "", body.size,
                      JSON_REJECT_DUPLICATES, &where);
    if (root == NULL) {
        return bbl_error_set(BBL_EINVAL, "body: line %d: %s", where.line,
                             where.text);
    }
    error = read_fields(out, root);
    json_decref(root);
    if (error != 0) {
        return error;
    }
    targets = out->query.all_shards + (out->query.service.size > 0) +
              (out->query.shard_count > 0);
    if (targets != 1) {
        return bad("shards", "give either shards or service");
    }
    return 0;
}

void
bbl_query_request_free(bbl_query_request *r)
{
    bbl_buf_free(&r->request_id);
    bbl_buf_free(&r->text);
    free(r->shards);
    r->shards = NULL;
}

/* ---- answers ---- */

void
bbl_answer_copy_init(bbl_answer_copy *out, const bbl_answer *a)
{
    size_t at = 0;

    memset(out, 0, sizeof(*out));
    out->answer = *a;
    out->shards = bbl_calloc(a->shard_count, sizeof(*out->shards));
    for (size_t i = 0; a->shards != NULL && i < a->shard_count; i++) {
        out->shards[i] = a->shards[i];
        bbl_buf_append(&out->bodies, a->shards[i].body.ptr,
                       a->shards[i].body.size);
    }
    for (size_t i = 0; a->shards != NULL && i < a->shard_count; i++) {
        out->shards[i].body.ptr = out->bodies.ptr + at;
        at += out->shards[i].body.size;
    }
    bbl_buf_append(&out->recorded, a->recorded_outcome.ptr,
                   a->recorded_outcome.size);
    out->answer.shards = out->shards;
    out->answer.recorded_outcome = bbl_buf_str(&out->recorded);
}

void
bbl_answer_copy_free(bbl_answer_copy *copy)
{
    free(copy->shards);
    bbl_buf_free(&copy->bodies);
    bbl_buf_free(&copy->recorded);
}

static void
render_missing(bbl_buf *out, const bbl_answer *a)
{
    const char *comma = "";

    bbl_buf_append_cstr(out, ",\"missing\":[");
    for (size_t i = 0; i < a->shard_count; i++) {
        const bbl_answer_shard *s = &a->shards[i];

        if (s->missing != BBL_MISSING_NONE) {
            bbl_buf_printf(out, "%s{\"shard\":%u,\"reason\":\"%s\"}", comma,
                           s->shard, bbl_missing_reason_name(s->missing));
            comma = ",";
        }
    }
    bbl_buf_append_cstr(out, "]}");
}

static void
render_results(bbl_buf *out, const bbl_answer *a)
{
    const char *comma = "";

    bbl_buf_append_cstr(out, ",\"results\":[");
    for (size_t i = 0; i < a->shard_count; i++) {
        const bbl_answer_shard *s = &a->shards[i];

        if (s->missing == BBL_MISSING_NONE) {
            bbl_buf_printf(out, "%s{\"shard\":%u,\"body\":", comma, s->shard);
            bbl_json_append_string(out, s->body);
            bbl_buf_append_cstr(out, "}");
            comma = ",";
        }
    }
    bbl_buf_append_cstr(out, "]");
}

void
bbl_answer_render(bbl_buf *out, const bbl_answer *a, bbl_str request_id)
{
    if (a->kind == BBL_ANSWER_RECORDED) {
        bbl_buf_append(out, a->recorded_outcome.ptr, a->recorded_outcome.size);
        return;
    }
    bbl_buf_append_cstr(out, "{\"request_id\":");
    bbl_json_append_string(out, request_id);
    bbl_buf_printf(out, ",\"outcome\":\"%s\"", bbl_answer_kind_name(a->kind));
    if (a->reason != NULL && a->reason[0] != '\0') {
        bbl_buf_printf(out, ",\"reason\":\"%s\"", a->reason);
    }
    if (a->retry_after_ms > 0) {
        bbl_buf_printf(out, ",\"retry_after_ms\":%u", a->retry_after_ms);
    }
    if (a->shard_count > 0 && a->shards != NULL) {
        bbl_buf_printf(out,
                       ",\"snapshot\":%llu,\"coverage\":{\"asked\":%zu,"
                       "\"answered\":%zu",
                       (unsigned long long)a->version, a->shard_count,
                       a->answered_count);
        render_missing(out, a);
    }
    if (a->kind == BBL_ANSWER_OK) {
        render_results(out, a);
    }
    bbl_buf_printf(out, ",\"timing\":{\"elapsed_us\":%llu},\"sent\":%u}\n",
                   (unsigned long long)a->elapsed, a->sub_requests_sent);
}

unsigned
bbl_answer_http_status(const bbl_answer *a)
{
    switch (a->kind) {
    case BBL_ANSWER_OK:
    case BBL_ANSWER_RECORDED:
        return 200;
    case BBL_ANSWER_NOT_RUN:
        return 503;
    case BBL_ANSWER_UNKNOWN:
        return 409;
    case BBL_ANSWER_INCOMPLETE:
        return 504;
    default:
        return 400;
    }
}
