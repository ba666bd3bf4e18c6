/*
 * catalog_client.h - reads the platform's list of backend servers, page by
 * page. A list counts only as a whole: a page that fails ends the reading.
 */
#ifndef BBL_CATALOG_CLIENT_H
#define BBL_CATALOG_CLIENT_H

#include "net/backend_link.h"

typedef struct {
    bbl_loop *loop;

    bblx_address platform_address;
    const bbl_dialect *dialect;
    /* A whole list; `skipped` entries could not be used. */
    void (*on_complete)(void *ctx, const bblx_backend *backends, size_t count,
                        size_t skipped);
    /* A reading failed. */
    void (*on_failure)(void *ctx, const char *reason);
    void *ctx;
} bbl_catalog_client_options;

typedef struct bbl_catalog_client bbl_catalog_client;

int bbl_catalog_client_open(bbl_catalog_client **out,
                            const bbl_catalog_client_options *options);
void bbl_catalog_client_free(bbl_catalog_client *client);

/*
 * Starts a reading unless one is under way; returns whether it did.
 *
 * @param most pages; a longer list is given up
 */
bool bbl_catalog_client_start_read(bbl_catalog_client *client, bbl_usec now,
                                   unsigned most);

/* Passes time. */
void bbl_catalog_client_tick(bbl_catalog_client *client, bbl_usec now);

/* Returns the pages of the last whole list, at least 1. */
unsigned bbl_catalog_client_page_count(const bbl_catalog_client *client);

/* Returns the calls made. */
uint64_t bbl_catalog_client_request_count(const bbl_catalog_client *client);

#endif
