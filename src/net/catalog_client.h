/*
 * catalog_client.h - reads the platform's list of backend servers, page by
 * page. Only complete lists are reported: if a page fails, the read fails.
 */
#ifndef BBL_CATALOG_CLIENT_H
#define BBL_CATALOG_CLIENT_H

#include "net/backend_link.h"

typedef struct {
    bbl_loop *loop;

    bblx_address platform_address;
    const bbl_dialect *dialect;
    /* A list was read completely; `backends` is borrowed, and so
     * are `versions`, the bbl_version_hash() of each. `skipped` entries
     * were invalid and are left out. */
    void (*on_complete)(void *ctx, const bblx_backend *backends,
                        const uint64_t *versions, size_t count,
                        size_t skipped);
    /* A read failed; `reason` is valid in the call. */
    void (*on_failure)(void *ctx, const char *reason);
    void *ctx;
} bbl_catalog_client_options;

typedef struct bbl_catalog_client bbl_catalog_client;

/*
 * Creates a client; it connects at the first read.
 *
 * @param out     freed with bbl_catalog_client_free
 * @param options copied
 * @return 0 or an error of bbl_backend_client_open
 */
int bbl_catalog_client_open(bbl_catalog_client **out,
                            const bbl_catalog_client_options *options);

/* Frees the client; a running read ends without a callback. */
void bbl_catalog_client_free(bbl_catalog_client *client);

/*
 * Starts a read unless one is running.
 *
 * @param max_pages the read of a longer list fails
 * @return whether a read was started
 */
bool bbl_catalog_client_start_read(bbl_catalog_client *client, bbl_usec now,
                                   unsigned max_pages);

/* Fails a read that takes too long, and runs the timers of the connection. */
void bbl_catalog_client_tick(bbl_catalog_client *client, bbl_usec now);

/* Returns the number of pages of the last complete list; 1 before that. */
unsigned bbl_catalog_client_page_count(const bbl_catalog_client *client);

/* Returns the number of requests sent to the platform so far. */
uint64_t bbl_catalog_client_request_count(const bbl_catalog_client *client);

#endif
