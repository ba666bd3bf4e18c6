#include "net/catalog_client.h"

#include <stdlib.h>

#include "bbl/errors.h"
#include "net/address.h"
#include "util/alloc.h"
#include "util/clock.h"

#define READ_TIMEOUT_US (1000 * BBL_USEC_PER_MS) /* for a complete list */
#define CONNECT_TIMEOUT_US (400 * BBL_USEC_PER_MS)
#define PAGE_MAX_BYTES (4u << 20)

struct bbl_catalog_client {
    bbl_catalog_client_options options;
    bbl_backend_client *client;
    bbl_backend_link *link;
    bbl_link_exchange *exchange; /* running one, or NULL */
    bbl_usec started_at;
    bbl_vec backends;  /* bblx_backend, owned */
    bbl_vec versions;  /* uint64_t, one for each of them */
    bbl_buf next_page; /* page to read next, empty after the last one */
    size_t skipped;
    unsigned page_count;      /* read so far */
    unsigned page_limit;      /* maximum for this read */
    unsigned last_page_count; /* of the last complete list */
    uint64_t request_count;
};

static void
reset_read(bbl_catalog_client *c)
{
    for (size_t i = 0; i < c->backends.size; i++) {
        BBL_XDR_FREE(bblx_backend, bbl_vec_at(&c->backends, i));
    }
    c->backends.size = 0;
    c->versions.size = 0;
    c->skipped = 0;
    c->page_count = 0;
    bbl_buf_clear(&c->next_page);
}

static void
fail_read(bbl_catalog_client *c, const char *reason)
{
    reset_read(c);
    c->options.on_failure(c->options.ctx, reason);
}

static void on_page_response(void *ctx, const bbl_link_exchange_result *r);

static void
request_page(bbl_catalog_client *c, bbl_usec now)
{
    bbl_link_exchange_request r = {.done = on_page_response, .ctx = c};
    bbl_buf head = BBL_BUF_INIT;

    bbl_buf_append_cstr(&head, "GET ");
    c->options.dialect->append_catalog_path(&head, bbl_buf_str(&c->next_page));
    bbl_buf_append_cstr(&head, " HTTP/1.1\r\nHost: ");
    bbl_address_append(&head, c->options.platform_address);
    bbl_buf_append_cstr(&head, "\r\n");
    r.head = bbl_buf_str(&head);
    c->request_count++;
    if (bbl_link_exchange_start(&c->exchange, c->link, now, &r) != 0) {
        fail_read(c, bbl_error_last());
    }
    bbl_buf_free(&head);
}

static void
on_page_response(void *ctx, const bbl_link_exchange_result *r)
{
    bbl_catalog_client *c = ctx;

    c->exchange = NULL;
    if (r->exchange_outcome != BBL_LINK_RESPONSE) {
        fail_read(c, r->reason);
        return;
    }
    if (bbl_clock_now() > c->started_at + READ_TIMEOUT_US) {
        /* It may have waited in the socket while this host was frozen. */
        fail_read(c, "the list was not read completely in time");
        return;
    }
    if (bbl_http_message_status(r->message) != 200) {
        fail_read(c,
                  bbl_http_reason_phrase(bbl_http_message_status(r->message)));
        return;
    }
    if (c->options.dialect->read_catalog(
            &c->backends, &c->versions, &c->next_page, &c->skipped,
            bbl_buf_str(&r->message->body)) != 0) {
        fail_read(c, bbl_error_last());
        return;
    }
    c->page_count++;
    if (c->next_page.size > 0 && c->page_count >= c->page_limit) {
        fail_read(c, "the list has more pages than this read allows");
        return;
    }
    if (c->next_page.size > 0) {
        request_page(c, bbl_clock_now());
        return;
    }
    c->last_page_count = c->page_count;
    c->options.on_complete(c->options.ctx, c->backends.ptr, c->versions.ptr,
                           c->backends.size, c->skipped);
    reset_read(c);
}

static void
ignore_connect(void *ctx, void *owner, bool ok, bbl_usec took)
{
    (void)took;
    (void)ctx;
    (void)owner;
    (void)ok; /* the waiting exchange reports a failure itself */
}

int
bbl_catalog_client_open(bbl_catalog_client **out,
                        const bbl_catalog_client_options *options)
{
    bbl_catalog_client *c = bbl_calloc(1, sizeof(*c));
    bbl_backend_client_options o = {

        .dialect = options->dialect,
        .connect_timeout = CONNECT_TIMEOUT_US,
        .tcp_user_timeout = CONNECT_TIMEOUT_US,
        .response_max = PAGE_MAX_BYTES,
        .buffered_max = PAGE_MAX_BYTES,
        .on_connect = ignore_connect,
    };
    int error;

    c->options = *options;
    c->backends = (bbl_vec)BBL_VEC_INIT(bblx_backend);
    c->versions = (bbl_vec)BBL_VEC_INIT(uint64_t);
    c->last_page_count = 1;
    error = bbl_backend_client_open(&c->client, options->loop, &o);
    if (error != 0) {
        free(c);
        return error;
    }
    *out = c;
    return 0;
}

void
bbl_catalog_client_free(bbl_catalog_client *c)
{
    if (c == NULL) {
        return;
    }
    bbl_backend_client_free(c->client);
    reset_read(c);
    bbl_vec_free(&c->backends);
    bbl_vec_free(&c->versions);
    bbl_buf_free(&c->next_page);
    free(c);
}

bool
bbl_catalog_client_start_read(bbl_catalog_client *c, bbl_usec now,
                              unsigned max_pages)
{
    if (c->exchange != NULL) {
        return false;
    }
    if (c->link == NULL) {
        c->link =
            bbl_backend_link_new(c->client, c->options.platform_address, c);
        bbl_backend_link_set_limit(c->link, 1, false);
    }
    c->started_at = now;
    c->page_limit = max_pages;
    reset_read(c);
    request_page(c, now);
    return true;
}

void
bbl_catalog_client_tick(bbl_catalog_client *c, bbl_usec now)
{
    if (c->exchange != NULL && now > c->started_at + READ_TIMEOUT_US) {
        bbl_link_exchange_abandon(c->exchange);
        c->exchange = NULL;
        fail_read(c, "the list was not read completely in time");
    }
    if (c->link != NULL) {
        bbl_backend_client_tick(c->client, now);
    }
}

unsigned
bbl_catalog_client_page_count(const bbl_catalog_client *c)
{
    return c->last_page_count;
}

uint64_t
bbl_catalog_client_request_count(const bbl_catalog_client *c)
{
    return c->request_count;
}
