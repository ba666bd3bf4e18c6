/*
 * Tests the decoding and encoding of the platform's messages, including
 * malformed ones.
 */
#include <string.h>

#include "bbl/errors.h"
#include "net/platform_client.h"
#include "platform/dialect.h"
#include "support/run.h"

static bbl_str
str(const char *text)
{
    return (bbl_str){text, strlen(text)};
}

static bool
equals(bbl_str s, const char *text)
{
    return s.size == strlen(text) && memcmp(s.ptr, text, s.size) == 0;
}

#define SERVICES                                                              \
    "\"services\":[{\"name\":\"s1\",\"health_path\":\"/healthz\","            \
    "\"max_connections\":26,\"protocol\":\"h1\",\"tls\":false,"               \
    "\"warmup_s\":3.0,\"warmup_per_s\":0.5},{\"name\":\"s2\"}]"
#define LIMITS                                                                \
    "\"limits\":{\"max_header_bytes\":1000,\"max_body_bytes\":2000,"          \
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}"
#define ROUTE                                                                 \
    "{\"name\":\"r1\",\"hostname\":\"a.example\",\"path_prefix\":\"/x/\","    \
    "\"route_type\":\"unsafe\",\"timeout_ms\":3000,"                          \
    "\"target_latency_ms\":500,\"priority\":2,\"service\":\"s1\","            \
    "\"max_attempts\":2}"
#define GATHER                                                                \
    "{\"name\":\"r2\",\"hostname\":\"a.example\",\"path_prefix\":\"/y/\","    \
    "\"route_type\":\"safe\",\"timeout_ms\":800,\"priority\":0,"              \
    "\"gather\":[\"s1\",\"s2\"],\"max_attempts\":2,\"top_k\":20,"             \
    "\"min_coverage\":0.89}"
#define SPLIT                                                                 \
    "{\"name\":\"r3\",\"hostname\":\"a.example\",\"path_prefix\":\"/z/\","    \
    "\"route_type\":\"safe\",\"timeout_ms\":800,\"traffic_split\":["          \
    "{\"service\":\"s1\",\"weight\":9},{\"service\":\"s2\",\"weight\":1}]}"

START_TEST(a_routing_document_is_decoded)
{
    bbl_routing *r;
    const bbl_route *route;

    ck_assert_msg(
        bbl_platform_dialect()->read_routing(
            &r, str("{\"version\":7,\"later\":1,\"routes\":[" ROUTE "," GATHER
                    "," SPLIT "]," SERVICES "," LIMITS "}")) == 0,
        "%s", bbl_error_last());
    ck_assert_int_eq(bbl_routing_check(r), 0);
    ck_assert_uint_eq(bbl_routing_version(r), 7);
    route = bbl_routing_route(r, 0);
    ck_assert_int_eq(route->kind, BBL_ROUTE_FORWARD);
    ck_assert(!route->idempotent);
    ck_assert_uint_eq(route->target_latency_ms, 500);
    ck_assert_uint_eq(route->max_attempts, 2);
    route = bbl_routing_route(r, 1);
    ck_assert_int_eq(route->kind, BBL_ROUTE_GATHER);
    ck_assert(route->idempotent);
    ck_assert_uint_eq(route->target_count, 2);
    ck_assert_uint_eq(route->top_k, 20);
    ck_assert(route->min_coverage > 0.88 && route->min_coverage < 0.9);
    route = bbl_routing_route(r, 2);
    ck_assert_int_eq(route->kind, BBL_ROUTE_SPLIT);
    ck_assert_uint_eq(route->targets[0].weight, 9);
    ck_assert_uint_eq(bbl_routing_service(r, 0)->warmup_ms, 3000);
    ck_assert_uint_eq(bbl_routing_limits(r)->max_body_bytes, 2000);
    bbl_routing_free(r);
}
END_TEST

#define TENANTS(list)                                                         \
    "{\"version\":7,\"routes\":[" ROUTE "]," SERVICES ",\"tenants\":[" list   \
    "]}"
#define TENANT(name, rest) "{\"name\":\"" name "\"," rest "}"

START_TEST(organisations_are_decoded)
{
    bbl_routing *r;
    const bbl_organisation *o;

    ck_assert_msg(
        bbl_platform_dialect()->read_routing(
            &r, str(TENANTS(TENANT("ant",
                                   "\"api_keys\":[\"k1\",\"k2\"],\"priority\":"
                                   "0,"
                                   "\"rate_per_s\":2.5,\"burst\":7,\"later\":{"
                                   "}") "," TENANT("bee", "\"api_keys\":["
                                                          "\"k3\"]")))) == 0,
        "%s", bbl_error_last());
    ck_assert_int_eq(bbl_routing_check(r), 0);
    o = bbl_routing_find_key(r, str("k2"));
    ck_assert(equals(o->name, "ant"));
    ck_assert(o->has_priority);
    ck_assert_uint_eq(o->priority, 0);
    ck_assert(o->rate_per_s > 2.4 && o->rate_per_s < 2.6);
    ck_assert(o->burst > 6.9 && o->burst < 7.1);
    o = bbl_routing_find_key(r, str("k3"));
    ck_assert(equals(o->name, "bee"));
    ck_assert(!o->has_priority);
    ck_assert(o->rate_per_s <= 0 && o->burst <= 0);
    bbl_routing_free(r);
}
END_TEST

START_TEST(public_routes_are_decoded)
{
    bbl_routing *r;

    ck_assert_int_eq(
        bbl_platform_dialect()->read_routing(
            &r, str("{\"version\":7,\"routes\":[" SPLIT ","
                    "{\"public\":true,\"name\":\"p\",\"service\":\"s1\"},"
                    "{\"public\":false,\"name\":\"q\",\"service\":\"s1\"}]"
                    "," SERVICES "}")),
        0);
    ck_assert(!bbl_routing_route(r, 0)->is_public);
    ck_assert(bbl_routing_route(r, 1)->is_public);
    ck_assert(!bbl_routing_route(r, 2)->is_public);
    bbl_routing_free(r);
}
END_TEST

/* An error message is logged; a document that is cut off within its keys must
 * not bring one of them there. */
START_TEST(no_error_message_contains_a_key)
{
    static const char *const documents[] = {
        TENANTS(TENANT("ant", "\"api_keys\":[\"hidden\" \"hidden\"]")),
        TENANTS(TENANT("ant", "\"api_keys\":[\"hidden")),
        TENANTS(TENANT("ant", "\"api_keys\":[hidden]")),
        TENANTS(TENANT("ant", "\"api_keys\":\"hidden\"")),
        TENANTS(TENANT("ant", "\"api_keys\":{\"hidden\":1}")),
        TENANTS(TENANT("ant", "\"api_keys\":[\"hidden\"]") "," TENANT(
            "bee", "\"api_keys\":[\"hidden\"]")),
    };
    bbl_routing *r;

    ck_assert_int_eq(
        bbl_platform_dialect()->read_routing(&r, str(documents[_i])),
        BBL_EINVAL);
    ck_assert_ptr_null(strstr(bbl_error_last(), "hidden"));
}
END_TEST

static const char *const bad_documents[] = {
    "",
    "{\"version\":7,\"routes\":[" ROUTE "]," SERVICES, /* truncated */
    "[]",
    "{\"routes\":[]," SERVICES "}",
    "{\"version\":0,\"routes\":[]," SERVICES "}",
    "{\"version\":\"7\",\"routes\":[]," SERVICES "}",
    "{\"version\":7,\"routes\":{}," SERVICES "}",
    "{\"version\":7,\"routes\":[]}",
    "{\"version\":7,\"version\":8,\"routes\":[]," SERVICES "}",
    "{\"version\":7,\"routes\":[3]," SERVICES "}",
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"timeout_ms\":-1}]," SERVICES
    "}",
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"timeout_ms\":1,"
    "\"service\":\"s9\"}]," SERVICES "}",
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"timeout_ms\":1,"
    "\"gather\":[1]}]," SERVICES "}",
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"timeout_ms\":1,"
    "\"traffic_split\":[{\"service\":\"s1\",\"weight\":\"x\"}]}]," SERVICES
    "}",
    "{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"\"}]}",
    "{\"version\":7,\"routes\":[],\"services\":[{\"name\":\"a\"},"
    "{\"name\":\"a\"}]}",
    "{\"version\":7,\"routes\":[]," SERVICES
    ",\"limits\":{\"max_body_bytes\":true}}",
    "{\"version\":7,\"routes\":[]," SERVICES ",\"tenants\":{}}",
    TENANTS("3"),
    TENANTS("{}"),
    TENANTS(TENANT("ant", "\"api_keys\":{}")),
    TENANTS(TENANT("ant", "\"api_keys\":[1]")),
    TENANTS(TENANT("ant", "\"api_keys\":[\"\"]")),
    TENANTS(TENANT("ant", "\"priority\":-1")),
    TENANTS(TENANT("ant", "\"rate_per_s\":-1")),
    TENANTS(TENANT("ant", "\"burst\":\"7\"")),
    TENANTS(TENANT("ant", "\"burst\":1") "," TENANT("ant", "\"burst\":1")),
    TENANTS(TENANT("ant", "\"api_keys\":[\"k\"]") "," TENANT(
        "bee", "\"api_keys\":[\"k\"]")),
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"public\":1,"
    "\"service\":\"s1\"}]," SERVICES "}",
};

START_TEST(a_bad_document_is_refused)
{
    bbl_routing *r;

    ck_assert_int_eq(
        bbl_platform_dialect()->read_routing(&r, str(bad_documents[_i])),
        BBL_EINVAL);
    ck_assert_ptr_null(r);
}
END_TEST

static void
free_backends(bbl_vec *list)
{
    for (size_t i = 0; i < list->size; i++) {
        BBL_XDR_FREE(bblx_backend, bbl_vec_at(list, i));
    }
    bbl_vec_free(list);
}

#define ENTRY(id, more)                                                       \
    "{\"service\":\"s1\",\"address\":\"10.1.2.3:8080\",\"zone\":\"z1\","      \
    "\"version\":\"v1\",\"slots\":2,\"id\":\"" id "\"" more "}"
#define READY ",\"state\":\"ready\",\"warmup_left_ms\":250"

START_TEST(a_page_of_the_list_is_decoded)
{
    bbl_vec list = BBL_VEC_INIT(bblx_backend);
    bbl_vec versions = BBL_VEC_INIT(uint64_t);
    bbl_buf next = BBL_BUF_INIT;
    size_t skipped = 0;
    const bblx_backend *b;

    ck_assert_int_eq(
        bbl_platform_dialect()->read_catalog(
            &list, &versions, &next, &skipped,
            str("{\"instances\":[" ENTRY(
                "i1", READY
                ",\"born\":1700") "," ENTRY("i2",
                                            ",\"state\":\"draining\",\"warmup_"
                                            "left_ms\":0") "],"
                                                           "\"next_page_"
                                                           "token\":\"p-"
                                                           "50\"}")),
        0);
    ck_assert_uint_eq(list.size, 2);
    ck_assert_uint_eq(skipped, 0);
    b = bbl_vec_at(&list, 0);
    ck_assert_uint_eq(b->address.ip, 0x0a010203);
    ck_assert_uint_eq(b->address.port, 8080);
    ck_assert_uint_eq(b->cold_ms, 250);
    ck_assert_uint_eq(b->born, 1700);
    ck_assert(!b->leaving);
    ck_assert(((const bblx_backend *)bbl_vec_at(&list, 1))->leaving);
    ck_assert(equals(bbl_buf_str(&next), "p-50"));
    free_backends(&list);
    bbl_vec_free(&versions);
    bbl_buf_free(&next);
}
END_TEST

#define WITHOUT_VERSION(more)                                                 \
    "{\"service\":\"s1\",\"address\":\"10.1.2.3:8080\",\"zone\":\"z1\","      \
    "\"slots\":2,\"id\":\"good\"" more READY "}"

static const char *const bad_entries[] = {
    WITHOUT_VERSION(""),
    WITHOUT_VERSION(",\"version\":1"),
    WITHOUT_VERSION(",\"version\":null"),
    ENTRY("good", READY ",\"born\":\"1700\""),
    ENTRY("good", READY ",\"born\":1.5"),
    ENTRY("good", READY ",\"born\":null"),
    "3",
    "{}",
    ENTRY("i", ",\"state\":\"odd\",\"warmup_left_ms\":0"),
    ENTRY("i", ",\"state\":\"ready\""),
    ENTRY("i", ",\"state\":\"ready\",\"warmup_left_ms\":\"0\""),
    ENTRY("i", ",\"state\":1,\"warmup_left_ms\":0"),
    ENTRY("", READY),
    ENTRY("a\\r\\nX: y", READY),
    "{\"service\":\"s1\",\"address\":\"nowhere\",\"zone\":\"z1\",\"slots\":2,"
    "\"id\":\"i\"" READY "}",
    "{\"service\":7,\"address\":\"10.1.2.3:80\",\"zone\":\"z1\",\"slots\":2,"
    "\"id\":\"i\"" READY "}",
    "{\"service\":\"s1\",\"address\":\"10.1.2.3:80\",\"zone\":\"\","
    "\"slots\":2,\"id\":\"i\"" READY "}",
    "{\"service\":\"s1\",\"address\":\"10.1.2.3:80\",\"zone\":\"z\","
    "\"slots\":-1,\"id\":\"i\"" READY "}",
};

START_TEST(a_bad_entry_is_skipped_and_counted)
{
    bbl_vec list = BBL_VEC_INIT(bblx_backend);
    bbl_vec versions = BBL_VEC_INIT(uint64_t);
    bbl_buf next = BBL_BUF_INIT;
    bbl_buf page = BBL_BUF_INIT;
    size_t skipped = 0;

    bbl_buf_printf(&page,
                   "{\"instances\":[%s," ENTRY("good", READY) "],"
                                                              "\"next_page_"
                                                              "token\":null}",
                   bad_entries[_i]);
    ck_assert_int_eq(bbl_platform_dialect()->read_catalog(&list, &versions,
                                                          &next, &skipped,
                                                          bbl_buf_str(&page)),
                     0);
    ck_assert_uint_eq(skipped, 1);
    ck_assert_uint_eq(list.size, 1);
    ck_assert_uint_eq(next.size, 0);
    free_backends(&list);
    bbl_vec_free(&versions);
    bbl_buf_free(&next);
    bbl_buf_free(&page);
}
END_TEST

/* An entry of another writer, whatever it holds, spoils no other entry. */
START_TEST(an_entry_that_cannot_be_decoded_spoils_no_other)
{
    bbl_buf deep = BBL_BUF_INIT;
    const char *more[] = {
        ",\"x\":99999999999999999999",
        ",\"x\":1e999",
        ",\"x\":\"\\u0000\"",
        ",\"x\":\"\xff\xfe\"",
        ",\"x\":nothing",
        ",\"x\":\"]}\\\"\"",
        ",\"address\":\"10.1.2.3:65536\"",
        ",\"address\":\"10.1.2.3:99999999999999999999\"",
        NULL,
    };
    size_t count = sizeof(more) / sizeof(more[0]);

    bbl_buf_append_cstr(&deep, ",\"x\":");
    for (int i = 0; i < 200000; i++) {
        bbl_buf_append_cstr(&deep, "[");
    }
    for (int i = 0; i < 200000; i++) {
        bbl_buf_append_cstr(&deep, "]");
    }
    bbl_buf_append(&deep, "", 1);
    more[count - 1] = deep.ptr;
    for (size_t i = 0; i < count; i++) {
        bbl_vec list = BBL_VEC_INIT(bblx_backend);
        bbl_vec versions = BBL_VEC_INIT(uint64_t);
        bbl_buf next = BBL_BUF_INIT;
        bbl_buf page = BBL_BUF_INIT;
        size_t skipped = 0;

        bbl_buf_printf(
            &page,
            "{\"instances\":[" ENTRY("good1", READY) ",%s%s}," ENTRY(
                "good2", READY) "],\"next_page_token\":\"p\"}",
            "{\"service\":\"s1\",\"zone\":\"z1\",\"slots\":2,"
            "\"id\":\"good1\"" READY,
            more[i]);
        ck_assert_int_eq(
            bbl_platform_dialect()->read_catalog(&list, &versions, &next,
                                                 &skipped, bbl_buf_str(&page)),
            0);
        ck_assert_uint_eq(skipped, 1);
        ck_assert_uint_eq(list.size, 2);
        ck_assert(equals(bbl_buf_str(&next), "p"));
        free_backends(&list);
        bbl_vec_free(&versions);
        bbl_buf_free(&next);
        bbl_buf_free(&page);
    }
    bbl_buf_free(&deep);
}
END_TEST

#define PLACE(id, address)                                                    \
    "{\"id\":" id ",\"service\":\"s\",\"data_centre\":\"d\","                 \
    "\"address\":\"" address "\",\"slots\":2,\"connections\":9,"              \
    "\"state\":\"live\"}"

START_TEST(a_row_that_cannot_be_decoded_spoils_no_other)
{
    static const char *const rows[] = {
        "3",
        "{}",
        PLACE("99999999999999999999", "10.0.0.1:80"),
        PLACE("1e999", "10.0.0.1:80"),
        PLACE("4294967296", "10.0.0.1:80"),
        PLACE("3", "10.0.0.1:65536"),
        PLACE("3", "10.0.0.1:80\xff"),
        PLACE("3", "nowhere"),
    };

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        bbl_vec places = BBL_VEC_INIT(bblx_place);
        bbl_buf body = BBL_BUF_INIT;
        size_t skipped;

        bbl_buf_printf(&body, "{\"searchers\":[%s,%s,%s]}",
                       PLACE("1", "10.0.0.1:80"), rows[i],
                       PLACE("2", "10.0.0.2:80"));
        ck_assert_int_eq(
            bbl_places_parse(&places, &skipped, bbl_buf_str(&body)), 0);
        ck_assert_uint_eq(places.size, 2);
        ck_assert_uint_eq(skipped, 1);
        bbl_places_clear(&places);
        bbl_vec_free(&places);
        bbl_buf_free(&body);
    }
}
END_TEST

START_TEST(an_invalid_page_is_refused)
{
    static const char *const pages[] = {"", "{", "[]", "{\"instances\":3}",
                                        "{\"instances\":[],"
                                        "\"next_page_token\":3}"};
    bbl_vec list = BBL_VEC_INIT(bblx_backend);
    bbl_vec versions = BBL_VEC_INIT(uint64_t);
    bbl_buf next = BBL_BUF_INIT;
    size_t skipped = 0;

    for (size_t i = 0; i < sizeof(pages) / sizeof(pages[0]); i++) {
        ck_assert_int_eq(bbl_platform_dialect()->read_catalog(
                             &list, &versions, &next, &skipped, str(pages[i])),
                         BBL_EDAMAGED);
    }
    ck_assert_uint_eq(list.size, 0);
    bbl_vec_free(&list);
    bbl_vec_free(&versions);
    bbl_buf_free(&next);
}
END_TEST

START_TEST(header_fields_are_decoded)
{
    bbl_header caller[] = {{str("request-ID"), str("9c41")},
                           {str("Deadline-Ms"), str("1200")}};
    bbl_header backend[] = {{str("Response-Stamp"), str("3e.1")},
                            {str("Not-Executed"), str("1")},
                            {str("Request-Id"), str("9c41")},
                            {str("Instance-Id"), str("i-7")},
                            {str("Warmup-Ms"), str("800")},
                            {str("Content-Encoding"), str("gzip")},
                            {str("server-limit"), str("6.5")}};
    bbl_caller_head c;
    bbl_backend_head b;

    bbl_platform_dialect()->read_caller_head(&c, caller, 2);
    ck_assert(equals(c.request_id, "9c41"));
    ck_assert(c.has_time_left && c.time_left_ms == 1200);
    caller[1].value = str("12x");
    bbl_platform_dialect()->read_caller_head(&c, caller, 2);
    ck_assert(!c.has_time_left);
    bbl_platform_dialect()->read_backend_head(&b, 503, backend, 7);
    ck_assert(b.not_run && !b.wrong_incarnation && b.encoded);
    ck_assert(b.has_cold_ms && b.cold_ms == 800);
    ck_assert(equals(b.signature, "3e.1") && equals(b.incarnation, "i-7"));
    ck_assert(b.has_rate_limit && b.rate_limit > 6.49 && b.rate_limit < 6.51);
    backend[6].value = str("-1");
    bbl_platform_dialect()->read_backend_head(&b, 503, backend, 7);
    ck_assert(!b.has_rate_limit);
    backend[6].value = str(".");
    bbl_platform_dialect()->read_backend_head(&b, 503, backend, 7);
    ck_assert(!b.has_rate_limit);
    bbl_platform_dialect()->read_backend_head(&b, 421, NULL, 0);
    ck_assert(b.not_run && b.wrong_incarnation);
    bbl_platform_dialect()->read_backend_head(&b, 503, NULL, 0);
    ck_assert(!b.not_run);
}
END_TEST

START_TEST(what_a_server_asks_for_is_decoded)
{
    static const struct {
        unsigned status;
        const char *text;
        bool valid;
        uint32_t ms;
    } rows[] = {
        {503, "3", true, 3000},
        {503, "0.25", true, 250},
        {503, "0.0001", true, 1},
        {503, "0", true, 0},
        {503, "99999999999999999999999999", true, BBL_BACKOFF_MAX_MS},
        {503, "-1", false, 0},
        {503, "", false, 0},
        {503, "3 s", false, 0},
        {503, "Fri, 04 Dec 2026 17:00:00 GMT", false, 0},
        {200, "3", false, 0},
    };
    bbl_header fields[] = {{str("retry-after"), str("")},
                           {str("server-leaving"), str("1")}};
    bbl_backend_head b;

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        fields[0].value = str(rows[i].text);
        bbl_platform_dialect()->read_backend_head(&b, rows[i].status, fields,
                                                  1);
        ck_assert_msg(b.has_backoff == rows[i].valid, "%s", rows[i].text);
        ck_assert(!b.leaving);
        if (rows[i].valid) {
            ck_assert_uint_eq(b.backoff_ms, rows[i].ms);
        }
    }
    bbl_platform_dialect()->read_backend_head(&b, 200, fields, 2);
    ck_assert(b.leaving);
    fields[1].value = str("0");
    bbl_platform_dialect()->read_backend_head(&b, 200, fields, 2);
    ck_assert(!b.leaving);
}
END_TEST

START_TEST(header_fields_are_encoded)
{
    bbl_buf out = BBL_BUF_INIT;
    bbl_vec signatures = BBL_VEC_INIT(bbl_str);
    bbl_str a = str("3e.1");
    bbl_str b = str("77.2");

    bbl_platform_dialect()->append_attempt_fields(&out, 790, str("i-7"));
    ck_assert_str_eq(out.ptr, "Deadline-Ms: 790\r\nExpect-Instance: i-7\r\n");
    bbl_buf_clear(&out);
    bbl_vec_push(&signatures, &a);
    bbl_vec_push(&signatures, &b);
    bbl_platform_dialect()->append_merged_fields(&out, &signatures, 1);
    ck_assert_str_eq(out.ptr,
                     "Part-Stamps: 3e.1,77.2\r\nMissing-Parts: 1\r\n");
    bbl_buf_clear(&out);
    bbl_platform_dialect()->append_retry_after(&out, 1050);
    ck_assert_str_eq(out.ptr, "Retry-After: 1.050\r\n");
    ck_assert(bbl_platform_dialect()->is_own_field(str("deadline-ms")));
    ck_assert(!bbl_platform_dialect()->is_own_field(str("Request-Id")));
    bbl_buf_free(&out);
    bbl_vec_free(&signatures);
}
END_TEST

START_TEST(operator_commands_are_decoded)
{
    static const struct {
        const char *method;
        const char *path;
        bbl_operator_command_kind kind;
    } rows[] = {
        {"GET", "/-/readyz", BBL_OPERATOR_COMMAND_READY},
        {"PUT", "/-/config", BBL_OPERATOR_COMMAND_PUT_ROUTING},
        {"GET", "/-/config", BBL_OPERATOR_COMMAND_GET_ROUTING},
        {"DELETE", "/-/config", BBL_OPERATOR_COMMAND_UNKNOWN},
        {"POST", "/-/evacuations/z1", BBL_OPERATOR_COMMAND_EVACUATE},
        {"DELETE", "/-/evacuations/z1", BBL_OPERATOR_COMMAND_RESTORE},
        {"GET", "/-/evacuations/z1", BBL_OPERATOR_COMMAND_UNKNOWN},
        {"POST", "/-/evacuations/", BBL_OPERATOR_COMMAND_UNKNOWN},
        {"POST", "/-/evacuations/a/b", BBL_OPERATOR_COMMAND_UNKNOWN},
        {"GET", "/", BBL_OPERATOR_COMMAND_UNKNOWN},
    };
    bbl_operator_command command;

    for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++) {
        bbl_platform_dialect()->read_operator_command(
            &command, str(rows[i].method), str(rows[i].path));
        ck_assert_msg(command.kind == rows[i].kind, "%s %s", rows[i].method,
                      rows[i].path);
    }
    bbl_platform_dialect()->read_operator_command(&command, str("POST"),
                                                  str("/-/evacuations/z1"));
    ck_assert(equals(bbl_name_str(&command.zone), "z1"));
}
END_TEST

START_TEST(page_paths_are_encoded)
{
    bbl_buf out = BBL_BUF_INIT;

    bbl_platform_dialect()->append_catalog_path(&out, str(""));
    ck_assert_str_eq(out.ptr, "/instances");
    bbl_buf_clear(&out);
    bbl_platform_dialect()->append_catalog_path(&out, str("p-50"));
    ck_assert_str_eq(out.ptr, "/instances?page_token=p-50");
    bbl_buf_free(&out);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("platform");
    TCase *tc = tcase_create("platform");

    tcase_add_test(tc, a_routing_document_is_decoded);
    tcase_add_test(tc, organisations_are_decoded);
    tcase_add_test(tc, public_routes_are_decoded);
    tcase_add_loop_test(tc, no_error_message_contains_a_key, 0, 6);
    tcase_add_loop_test(tc, a_bad_document_is_refused, 0,
                        ARRAY_SIZE(bad_documents));
    tcase_add_test(tc, a_page_of_the_list_is_decoded);
    tcase_add_loop_test(tc, a_bad_entry_is_skipped_and_counted, 0,
                        ARRAY_SIZE(bad_entries));
    tcase_add_test(tc, an_entry_that_cannot_be_decoded_spoils_no_other);
    tcase_add_test(tc, a_row_that_cannot_be_decoded_spoils_no_other);
    tcase_add_test(tc, an_invalid_page_is_refused);
    tcase_add_test(tc, header_fields_are_decoded);
    tcase_add_test(tc, what_a_server_asks_for_is_decoded);
    tcase_add_test(tc, header_fields_are_encoded);
    tcase_add_test(tc, operator_commands_are_decoded);
    tcase_add_test(tc, page_paths_are_encoded);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
