/*
 * servers.h - the backend servers of a soak run, the platform's list of them,
 * and a record of every request. The response of a server is a function of its
 * service and the request ID, so that each answer that a caller receives can
 * be checked. A proxy stands in front of each server and of the list.
 *
 * The first violation of a guarantee that servers, callers or the operator
 * observe is stored here.
 *
 * All functions must be called from the thread of the loop.
 */
#ifndef BBL_SOAK_SERVERS_H
#define BBL_SOAK_SERVERS_H

#include "soak/proxy.h"
#include "util/rng.h"

#define SOAK_RECORD_BYTES 16
#define SOAK_RECORDS_PER_SERVICE 6 /* in one response */
#define SOAK_ID_MAX 32

typedef struct soak_servers soak_servers;

/* The fate of one request, as servers and callers observed it. */
typedef struct {
    char id[SOAK_ID_MAX];
    bool once;          /* whether it may run at most once */
    bool refused;       /* whether the caller was told that it has not run */
    unsigned run_count; /* on all servers */
    /* The organisation whose key it carries; NULL: the key is unknown, and no
     * server may run it. */
    const char *organisation;
} soak_request_record;

typedef struct {
    unsigned service_count; /* named s0, s1, ... */
    unsigned servers_per_service;
    bbl_usec service_time; /* from a request to its response */
} soak_servers_options;

/*
 * Starts the servers, the list and their proxies.
 *
 * @param out set also on failure, to be freed with soak_servers_free
 * @return 0 or an error code
 */
int soak_servers_open(soak_servers **out, bbl_loop *loop,
                      const soak_servers_options *options);

/* Closes all servers and frees the records; NULL is allowed. */
void soak_servers_free(soak_servers *servers);

/* Sends the due responses and advances the proxies. Call it each
 * millisecond. */
void soak_servers_tick(soak_servers *servers, bbl_usec now);

/*
 * Creates the record of a request. It must be called before the request is
 * sent: a server that runs a request without a record reports a violation.
 *
 * @return the record, valid until soak_servers_free
 */
soak_request_record *soak_servers_register_request(soak_servers *servers,
                                                   const char *id, bool once,
                                                   const char *organisation);

/* The organisation with a limit, which holds over all hosts together. */
#define SOAK_LIMITED "cat"
#define SOAK_LIMIT_PER_S 5
#define SOAK_LIMIT_BURST 5

/* Returns a description of the first violation, or NULL. */
const char *soak_servers_violation(const soak_servers *servers);

/* Stores a description of a violation, unless one is stored already. */
void soak_servers_report_violation(soak_servers *servers, const char *format,
                                   ...) __attribute__((format(printf, 2, 3)));

/* Writes the result records that a service returns for a request. */
void
soak_records_generate(char out[SOAK_RECORDS_PER_SERVICE * SOAK_RECORD_BYTES],
                      const char *service, const char *id);

/* Servers have the numbers 0 to soak_servers_count - 1. */
unsigned soak_servers_count(const soak_servers *servers);
soak_proxy *soak_servers_proxy(soak_servers *servers, unsigned index);
soak_proxy *soak_servers_list_proxy(soak_servers *servers);

/* Simulates that a new server starts at the address of a server: resets its
 * connections, which discards its running requests, and changes its ID. */
void soak_servers_replace(soak_servers *servers, unsigned index);

/* Makes a server refuse all requests without running them until `until`. */
void soak_servers_shed(soak_servers *servers, unsigned index, bbl_usec until);

/* Makes a server run the requests that it receives until `until` without ever
 * responding. */
void soak_servers_drop_responses(soak_servers *servers, unsigned index,
                                 bbl_usec until);

#endif
