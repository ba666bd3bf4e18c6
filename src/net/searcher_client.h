/*
 * searcher_client.h - client of the HTTP interface of the searchers
 * (docs/SEARCHER-API.md): exchanges with a deadline and cancellation, and the
 * info page.
 *
 * A client belongs to the thread that runs the loop of its HTTP client.
 * Results are reported through bbl_searcher_port.
 */
#ifndef BBL_SEARCHER_CLIENT_H
#define BBL_SEARCHER_CLIENT_H

#include "net/http_client.h"
#include "policy/dispatch.h"

#define BBL_RESULT_MAX_BYTES (1u << 20) /* body of one response */

typedef struct {
    /* An exchange has ended; called exactly once for each started exchange,
     * unless the HTTP client is freed first. `result` is valid in the call. */
    void (*complete_exchange)(void *ctx, uint64_t exchange,
                              const bbl_exchange_result *result);
    /* An info page was fetched; valid in the call. `info` is NULL if the page
     * could not be fetched or is invalid. */
    void (*report_info)(void *ctx, uint32_t searcher,
                        const bbl_searcher_info *info);
    void *ctx;
} bbl_searcher_port;

typedef struct {
    uint64_t exchanges;
    uint64_t cancels;
    uint64_t info_requests;
    uint64_t silent_exchanges; /* timed out or aborted for lack of progress */
    /* Cancels that were kept off the pooled connections. */
    uint64_t fresh_connections;
} bbl_searcher_counters;

typedef struct bbl_searcher_client bbl_searcher_client;

/*
 * Creates a client.
 *
 * @param out          freed with bbl_searcher_client_free
 * @param port         copied
 * @param response_grace time after its deadline at which an exchange without a
 *                     complete response ends as timed out
 */
void bbl_searcher_client_new(bbl_searcher_client **out, bbl_http_client *http,
                             const bbl_searcher_port *port,
                             bbl_usec response_grace);

/* Frees the client. Free the HTTP client first, so that running requests end
 * without a callback. */
void bbl_searcher_client_free(bbl_searcher_client *client);

/*
 * Starts an exchange. Its result is reported through the port, never from
 * within this call.
 */
void bbl_searcher_client_start_exchange(bbl_searcher_client *client,
                                        bbl_usec now,
                                        const bbl_exchange *exchange);

/*
 * Sends the searcher a request to stop an exchange. Does nothing if the
 * exchange has ended, has passed its deadline or is already confirmed as
 * cancelled.
 */
void bbl_searcher_client_cancel_exchange(bbl_searcher_client *client,
                                         bbl_usec now, uint64_t exchange);

/* Fetches the info page unless a poll of this searcher is running. */
void bbl_searcher_client_poll_info(bbl_searcher_client *client,
                                   uint32_t searcher, bblx_address address);

/*
 * Opens `count` connections ahead of use by fetching the info page on each;
 * each outcome is reported through the port.
 */
void bbl_searcher_client_preconnect(bbl_searcher_client *client,
                                    uint32_t searcher, bblx_address address,
                                    unsigned count);

/*
 * Closes the kept connections to searchers that this host no longer uses.
 * Aborts exchanges whose cancellation the searcher has confirmed, but whose
 * response does not arrive, and reports exchanges that could not be started.
 */
void bbl_searcher_client_tick(bbl_searcher_client *client, bbl_usec now);

const bbl_searcher_counters *
bbl_searcher_client_get_counters(const bbl_searcher_client *client);

/*
 * Parses an info page.
 *
 * @param info    on success, borrows the elements of `indexes`
 * @param indexes empty vector of bblx_index, released with
 *                bbl_searcher_info_clear
 * @return 0 or BBL_EDAMAGED
 */
int bbl_searcher_info_parse(bbl_searcher_info *info, bbl_vec *indexes,
                            bbl_str body);

/* Frees the shard arrays of the indexes and empties the vector. */
void bbl_searcher_info_clear(bbl_vec *indexes);

#endif
