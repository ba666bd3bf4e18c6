/*
 * searcher_client.h - the searchers' HTTP protocol (docs/SEARCHER-API.md):
 * exchanges with deadline and cancellation, and the info page.
 */
#ifndef BBL_SEARCHER_CLIENT_H
#define BBL_SEARCHER_CLIENT_H

#include "net/http_client.h"
#include "policy/dispatch.h"

#define BBL_RESULT_MAX_BYTES (1u << 20) /* of one searcher's answer */

typedef struct {
    void (*complete_exchange)(void *ctx, uint64_t exchange,
                              const bbl_exchange_result *result);
    /* `info` is NULL when the page could not be had. */
    void (*report_info)(void *ctx, uint32_t searcher,
                        const bbl_searcher_info *info);
    void *ctx;
} bbl_searcher_port;

typedef struct {
    uint64_t exchanges;
    uint64_t cancels;
    uint64_t info_requests;
    uint64_t silent_exchanges; /* exchanges without progress */
    uint64_t
        fresh_connections; /* exchanges kept off the pool after a silence */
} bbl_searcher_counters;

typedef struct bbl_searcher_client bbl_searcher_client;

void bbl_searcher_client_new(bbl_searcher_client **out, bbl_http_client *http,
                             const bbl_searcher_port *port,
                             bbl_usec silent_grace);
/* Frees the client. `http` must have been freed before: requests under way
 * then end without a call. */
void bbl_searcher_client_free(bbl_searcher_client *client);

/* Starts an exchange; its end comes by the port, never in this call. */
void bbl_searcher_client_start_exchange(bbl_searcher_client *client,
                                        bbl_usec now,
                                        const bbl_exchange *exchange);

/* Asks the searcher to stop an exchange. */
void bbl_searcher_client_cancel_exchange(bbl_searcher_client *client,
                                         bbl_usec now, uint64_t exchange);

/* Fetches the info page unless a fetch is under way. */
void bbl_searcher_client_poll_info(bbl_searcher_client *client,
                                   uint32_t searcher, bblx_address address);

/* Opens connections ahead of use. */
void bbl_searcher_client_preconnect(bbl_searcher_client *client,
                                    uint32_t searcher, bblx_address address,
                                    unsigned count);

/* Breaks off exchanges whose searcher has confirmed the cancellation. */
void bbl_searcher_client_tick(bbl_searcher_client *client, bbl_usec now);

const bbl_searcher_counters *
bbl_searcher_client_get_counters(const bbl_searcher_client *client);

/*
 * Reads an info page.
 *
 * @param indexes vector of bblx_index that owns its shard arrays
 * @return 0 or BBL_EDAMAGED
 */
int bbl_searcher_info_parse(bbl_searcher_info *info, bbl_vec *indexes,
                            bbl_str body);

/* Frees what bbl_searcher_info_parse put into the vector. */
void bbl_searcher_info_clear(bbl_vec *indexes);

#endif
