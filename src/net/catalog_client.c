#include "net/catalog_client.h"

#include <stdlib.h>

#include "bbl/errors.h"
#include "net/address.h"
#include "util/alloc.h"
#include "util/clock.h"

#define READ_TIMEOUT_US (1000 * BBL_USEC_PER_MS) /* of a whole list */
#define CONNECT_TIMEOUT_US (400 * BBL_USEC_PER_MS)
#define PAGE_MAX_BYTES (4u << 20)

struct bbl_catalog_client {
    bbl_catalog_client_options options;
    bbl_backend_client *client;
    bbl_backend_link *link;
    bbl_link_exchange *exchange; /* under way, or NULL */
    bbl_usec started;
    bbl_vec backends; /* bblx_backend, owned */
    bbl_buf next;     /* page to read */
    size_t skipped;
    unsigned pages;
    unsigned most_pages;
    unsigned last_pages;
    uint64_t calls;
};

static void
clear_backends(bbl_catalog_client *c)
{
    for (size_t i = 0; i < c->backends.size; i++) {
        BBL_XDR_FREE(bblx_backend, bbl_vec_at(&c->backends, i));
    }
    c->backends.size = 0;
    c->skipped = 0;
    c->pages = 0;
    bbl_buf_clear(&c->next);
}

static void
fail(bbl_catalog_client *c, const char *reason)
{
    clear_backends(c);
    c->options.on_failure(c->options.ctx, reason);
}

static void on_page(void *ctx, const bbl_link_exchange_result *r);

static void
read_page(bbl_catalog_client *c, bbl_usec now)
{
    bbl_link_exchange_request r = {.done = on_page, .ctx = c};
    bbl_buf head = BBL_BUF_INIT;

    bbl_buf_append_cstr(&head, "GET ");
    c->options.dialect->append_catalog_path(&head, bbl_buf_str(&c->next));
    bbl_buf_append_cstr(&head, " HTTP/1.1\r\nHost: ");
    bbl_address_append(&head, c->options.platform_address);
    bbl_buf_append_cstr(&head, "\r\n");
    r.head = bbl_buf_str(&head);
    c->calls++;
    if (bbl_link_exchange_start(&c->exchange, c->link, now, &r) != 0) {
        fail(c, bbl_error_last());
    }
    bbl_buf_free(&head);
}

static void
on_page(void *ctx, const bbl_link_exchange_result *r)
{
    bbl_catalog_client *c = ctx;

    c->exchange = NULL;
    if (r->end != BBL_LINK_RESPONSE) {
        fail(c, r->reason);
        return;
    }
    if (bbl_http_message_status(r->message) != 200) {
        fail(c, bbl_http_reason_phrase(bbl_http_message_status(r->message)));
        return;
    }
    if (c->options.dialect->read_catalog(&c->backends, &c->next, &c->skipped,
                                         bbl_buf_str(&r->message->body)) !=
        0) {
        fail(c, bbl_error_last());
        return;
    }
    c->pages++;
    if (c->next.size > 0 && c->pages >= c->most_pages) {
        fail(c, "the list is longer than is read now");
        return;
    }
    if (c->next.size > 0) {
        read_page(c, bbl_clock_now());
        return;
    }
    c->last_pages = c->pages;
    c->options.on_complete(c->options.ctx, c->backends.ptr, c->backends.size,
                           c->skipped);
    clear_backends(c);
}

static void
on_opened(void *ctx, void *owner, bool ok, bbl_usec took)
{
    (void)took;
    (void)ctx;
    (void)owner;
    (void)ok; /* the exchange that waits is told by itself */
}

int
bbl_catalog_client_open(bbl_catalog_client **out,
                        const bbl_catalog_client_options *options)
{
    bbl_catalog_client *c = bbl_calloc(1, sizeof(*c));
    bbl_backend_client_options o = {

        .dialect = options->dialect,
        .connect_timeout = CONNECT_TIMEOUT_US,
        .silence_timeout = CONNECT_TIMEOUT_US,
        .response_max = PAGE_MAX_BYTES,
        .on_connect = on_opened,
    };
    int error;

    c->options = *options;
    c->backends = (bbl_vec)BBL_VEC_INIT(bblx_backend);
    c->last_pages = 1;
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
    clear_backends(c);
    bbl_vec_free(&c->backends);
    bbl_buf_free(&c->next);
    free(c);
}

bool
bbl_catalog_client_start_read(bbl_catalog_client *c, bbl_usec now,
                              unsigned most)
{
    if (c->exchange != NULL) {
        return false;
    }
    if (c->link == NULL) {
        c->link =
            bbl_backend_link_new(c->client, c->options.platform_address, c);
        bbl_backend_link_set_limit(c->link, 1, false);
    }
    c->started = now;
    c->most_pages = most;
    clear_backends(c);
    read_page(c, now);
    return true;
}

void
bbl_catalog_client_tick(bbl_catalog_client *c, bbl_usec now)
{
    if (c->exchange != NULL && now > c->started + READ_TIMEOUT_US) {
        bbl_link_exchange_abandon(c->exchange);
        c->exchange = NULL;
        fail(c, "no answer in time");
    }
    if (c->link != NULL) {
        bbl_backend_client_tick(c->client, now);
    }
}

unsigned
bbl_catalog_client_page_count(const bbl_catalog_client *c)
{
    return c->last_pages;
}

uint64_t
bbl_catalog_client_request_count(const bbl_catalog_client *c)
{
    return c->calls;
}
