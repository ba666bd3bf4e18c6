#include "odd_entries.h"

#define NESTING 4000 /* deeper than a JSON decoder accepts */

void
odd_entries_append(bbl_buf *out, const char *id)
{
    static const char *const more[] = {
        "\"address\":\"127.0.0.1:65536\"",
        "\"address\":\"127.0.0.1:99999999999999999999\"",
        "\"address\":\"127.0.0.1:9\",\"born\":99999999999999999999",
        "\"address\":\"127.0.0.1:9\",\"born\":1e999",
        "\"address\":\"127.0.0.1:9\",\"note\":\"\\u0000\"",
        "\"address\":\"127.0.0.1:9\",\"note\":\"\xff\xfe]}\"",
        "\"address\":7",
    };

    bbl_buf_append_cstr(out, ",3,null,[],{}");
    for (size_t i = 0; i < sizeof(more) / sizeof(more[0]); i++) {
        bbl_buf_printf(out,
                       ",{\"service\":\"other\",\"id\":\"%s\",\"zone\":\"z1\","
                       "\"slots\":4,\"state\":\"ready\",\"warmup_left_ms\":0,"
                       "\"version\":\"v1\",%s}",
                       id, more[i]);
    }
    bbl_buf_append_cstr(out, ",{\"note\":");
    for (int i = 0; i < NESTING; i++) {
        bbl_buf_append_cstr(out, "[");
    }
    for (int i = 0; i < NESTING; i++) {
        bbl_buf_append_cstr(out, "]");
    }
    bbl_buf_append_cstr(out, "}");
}
