/*
 * platform_client.h - fetches the platform's list of searchers at regular
 * intervals (docs/SEARCHER-API.md).
 */
#ifndef BBL_PLATFORM_CLIENT_H
#define BBL_PLATFORM_CLIENT_H

#include "net/http_client.h"
#include "model/codec.h"
#include "util/vec.h"

typedef struct bbl_platform_client bbl_platform_client;

/*
 * Creates a client.
 *
 * @param out            freed with bbl_platform_client_free
 * @param url            copied
 * @param fetch_interval time between the starts of two fetches
 * @param on_places      called with each valid list, which is borrowed; a list
 *                       that cannot be fetched or is invalid is logged once
 *                       until the next valid one
 */
void bbl_platform_client_new(bbl_platform_client **out, bbl_http_client *http,
                             const char *url, bbl_usec fetch_interval,
                             void (*on_places)(void *ctx,
                                               const bblx_place *places,
                                               size_t count),
                             void *ctx);

/* Frees the client. A running fetch must not complete afterwards: free the
 * HTTP client before its loop runs again. */
void bbl_platform_client_free(bbl_platform_client *client);

/* Starts a fetch if the interval has passed and none is running. */
void bbl_platform_client_tick(bbl_platform_client *client, bbl_usec now);

/*
 * Parses a list. A row that names no searcher, or cannot be decoded, is
 * skipped.
 *
 * @param places  empty vector of bblx_place, released with bbl_places_clear;
 *                empty again on failure
 * @param skipped set to the number of skipped rows
 * @return 0, or BBL_EDAMAGED with a message naming the error; a list without
 *         any searcher is an error too
 */
int bbl_places_parse(bbl_vec *places, size_t *skipped, bbl_str body);

/* Frees the places and empties the vector. */
void bbl_places_clear(bbl_vec *places);

#endif
