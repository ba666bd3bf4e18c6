/*
 * fuzz_decoders.c - the libFuzzer entry point for every decoder of untrusted
 * bytes. The first byte of an input selects the decoder, the rest is its
 * input.
 */
#include <string.h>

#include "bbl/lists.h"
#include "bbl/routing.h"
#include "control/journal.h"
#include "control/state.h"
#include "forward/caller_identity.h"
#include "forward/dialect.h"
#include "net/delegation_field.h"
#include "net/http_message.h"
#include "net/mesh.h"
#include "net/platform_client.h"
#include "net/query_json.h"
#include "net/searcher_client.h"
#include "platform/dialect.h"
#include "support/memdisk.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
fuzz_frame(bbl_str bytes)
{
    bbl_mesh_options options;
    bblx_frame frame;

    memset(&options, 0, sizeof(options));
    options.host = 1;
    bbl_name_set(&options.cluster, "c", 1);
    if (bbl_mesh_decode_frame(&options, bytes, &frame) == 0) {
        BBL_XDR_FREE(bblx_frame, &frame);
    }
}

static void
fuzz_journal(bbl_str bytes)
{
    memdisk m;
    memdisk_file *f;
    bbl_journal *journal;
    bbl_journal_image image;

    memdisk_init(&m);
    f = memdisk_find_file(&m, "journal");
    f->present = true;
    bbl_buf_append(&f->written, bytes.ptr, bytes.size);
    if (bbl_journal_open(&journal, &image, memdisk_open(&m)) == 0) {
        bbl_journal_image_free(&image);
        bbl_journal_free(journal);
    }
    memdisk_free(&m);
}

static void
fuzz_command(bbl_str bytes)
{
    bbl_state *state = bbl_state_new();
    bbl_state_result result;

    bbl_state_apply(state, 1, bytes, &result);
    bbl_state_load(state, bytes);
    bbl_state_free(state);
}

static void
fuzz_lists(bbl_str bytes)
{
    bbl_lists *lists;
    size_t half = bytes.size / 2;

    if (bbl_lists_parse(&lists, (bbl_str){bytes.ptr, half},
                        (bbl_str){bytes.ptr + half, bytes.size - half}) == 0) {
        bbl_lists_free(lists);
    }
}

static void
fuzz_query(bbl_str bytes)
{
    bbl_query_request request;

    bbl_query_request_parse(&request, bytes);
    bbl_query_request_free(&request);
}

static void
fuzz_info(bbl_str bytes)
{
    bbl_vec indexes = BBL_VEC_INIT(bblx_index);
    bbl_searcher_info info;

    bbl_searcher_info_parse(&info, &indexes, bytes);
    bbl_searcher_info_clear(&indexes);
    bbl_vec_free(&indexes);
}

static void
fuzz_places(bbl_str bytes)
{
    bbl_vec places = BBL_VEC_INIT(bblx_place);
    size_t skipped;

    bbl_places_parse(&places, &skipped, bytes);
    bbl_places_clear(&places);
    bbl_vec_free(&places);
}

static void
fuzz_routing(bbl_str bytes)
{
    bbl_routing *routing;

    if (bbl_platform_dialect()->read_routing(&routing, bytes) == 0) {
        if (bbl_routing_check(routing) == 0) {
            bbl_caller_get_most_urgent_priority(routing);
            bbl_routing_find_key(routing, bytes);
        }
        bbl_routing_free(routing);
    }
}

static void
fuzz_catalog(bbl_str bytes)
{
    bbl_rollout_order order; /* JSON as well */
    bbl_vec backends = BBL_VEC_INIT(bblx_backend);
    bbl_vec versions = BBL_VEC_INIT(uint64_t);
    bbl_buf next = {0};
    size_t skipped;

    bbl_platform_dialect()->read_catalog(&backends, &versions, &next, &skipped,
                                         bytes);
    for (size_t i = 0; i < backends.size; i++) {
        BBL_XDR_FREE(bblx_backend, bbl_vec_at(&backends, i));
    }
    bbl_vec_free(&backends);
    bbl_vec_free(&versions);
    if (bbl_platform_dialect()->read_rollout_order(&order, bytes) == 0) {
        bbl_buf_free(&order.service);
        bbl_buf_free(&order.target);
    }
    bbl_buf_free(&next);
}

/* Reads the header fields of a message as its receiver does. */
static void
read_fields(const bbl_http_message *m, bool request)
{
    bbl_delegation_outcome outcome;
    bbl_delegated delegated;
    bbl_caller_head caller;
    bbl_backend_head backend;

    if (request) {
        bbl_delegated_read(&delegated, m);
        bbl_platform_dialect()->read_caller_head(&caller, m->headers.ptr,
                                                 m->headers.size);
        return;
    }
    bbl_delegation_outcome_read(&outcome, m);
    bbl_platform_dialect()->read_backend_head(
        &backend, bbl_http_message_status(m), m->headers.ptr, m->headers.size);
}

/*
 * The first byte selects request or response, and the size of the chunks in
 * which the rest is fed to the parser.
 */
static void
fuzz_message(bbl_str bytes)
{
    bbl_http_message message;
    uint8_t selector = bytes.size > 0 ? (uint8_t)bytes.ptr[0] : 0;
    size_t chunk_size = 1 + selector / 2;
    size_t used = 1;
    size_t offset = 1;

    bbl_http_message_init(&message, selector % 2 == 1, 512);
    while (offset < bytes.size && used > 0) {
        size_t size = bytes.size - offset < chunk_size ? bytes.size - offset
                                                       : chunk_size;

        if (bbl_http_message_feed(
                &message, (bbl_str){bytes.ptr + offset, size}, &used) < 0) {
            break;
        }
        offset += used;
        if (message.done) {
            read_fields(&message, selector % 2 == 1);
            bbl_http_message_reset(&message);
        }
    }
    bbl_http_message_feed_eof(&message);
    bbl_http_message_free(&message);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static void (*const decoders[])(bbl_str) = {
        fuzz_frame, fuzz_journal, fuzz_command, fuzz_lists,   fuzz_query,
        fuzz_info,  fuzz_places,  fuzz_routing, fuzz_catalog, fuzz_message,
    };
    size_t count = sizeof(decoders) / sizeof(decoders[0]);

    if (size > 0) {
        decoders[data[0] % count]((bbl_str){(const char *)data + 1, size - 1});
    }
    return 0;
}
