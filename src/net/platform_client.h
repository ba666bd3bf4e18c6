/*
 * platform_client.h - the platform's list of searchers (docs/SEARCHER-API.md).
 */
#ifndef BBL_PLATFORM_CLIENT_H
#define BBL_PLATFORM_CLIENT_H

#include "net/http_client.h"
#include "model/codec.h"
#include "util/vec.h"

typedef struct bbl_platform_client bbl_platform_client;

/*
 * @param url     copied
 * @param every   time between two fetches
 * @param places  called with each usable list
 */
void bbl_platform_client_new(bbl_platform_client **out, bbl_http_client *http,
                             const char *url, bbl_usec every,
                             void (*places)(void *ctx,
                                            const bblx_place *places,
                                            size_t count),
                             void *ctx);
void bbl_platform_client_free(bbl_platform_client *client);

/* Fetches the list when it is time. */
void bbl_platform_client_tick(bbl_platform_client *client, bbl_usec now);

/*
 * Reads a list.
 *
 * @param places vector of bblx_place, released with bbl_places_clear
 * @return 0, or BBL_EDAMAGED naming the fault; an empty list is a fault too
 */
int bbl_places_parse(bbl_vec *places, bbl_str body);
void bbl_places_clear(bbl_vec *places);

#endif
