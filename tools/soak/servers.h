/*
 * servers.h - the backend servers of the soak and the platform's list of
 * them, and what they have seen: every run of every request. What a server
 * answers follows from its service and the request's id, so that each answer
 * of the tier can be checked.
 */
#ifndef BBL_SOAK_SERVERS_H
#define BBL_SOAK_SERVERS_H

#include "soak/proxy.h"
#include "util/rng.h"

#define SOAK_RECORD_BYTES 16
#define SOAK_RECORDS_PER_SERVICE 6 /* in the part of one service */
#define SOAK_ID_MAX 32

typedef struct soak_servers soak_servers;

/* What became of one request, as servers and callers saw it. */
typedef struct {
    char id[SOAK_ID_MAX];
    bool once;    /* it may not be repeated */
    bool refused; /* a caller was told that it has not run */
    unsigned run_count;
} soak_request_record;

typedef struct {
    unsigned service_count; /* s0, s1, ... */
    unsigned servers_per_service;
    bbl_usec service_time;
} soak_servers_options;

int soak_servers_open(soak_servers **out, bbl_loop *loop,
                      const soak_servers_options *options);
void soak_servers_free(soak_servers *servers);

/* Does what is due; call each millisecond. */
void soak_servers_tick(soak_servers *servers, bbl_usec now);

/* Makes the record of a request before it is sent. */
soak_request_record *soak_servers_register_request(soak_servers *servers,
                                                   const char *id, bool once);

/* Returns the first broken promise that the servers saw, or NULL. */
const char *soak_servers_violation(const soak_servers *servers);

/* Notes one seen by somebody else; the first is kept. */
void soak_servers_report_violation(soak_servers *servers, const char *format,
                                   ...) __attribute__((format(printf, 2, 3)));

/* Writes the records of one service for a request. */
void
soak_records_generate(char out[SOAK_RECORDS_PER_SERVICE * SOAK_RECORD_BYTES],
                      const char *service, const char *id);

/* Returns the number of servers, and the proxy before one of them. */
unsigned soak_servers_count(const soak_servers *servers);
soak_proxy *soak_servers_proxy(soak_servers *servers, unsigned index);
soak_proxy *soak_servers_list_proxy(soak_servers *servers);

/* Makes a server another incarnation: it forgets its work and has a new id. */
void soak_servers_replace(soak_servers *servers, unsigned index);

/* Makes a server refuse all work unrun until `until`. */
void soak_servers_shed(soak_servers *servers, unsigned index, bbl_usec until);

/* Makes a server run requests and lose their answers until `until`. */
void soak_servers_drop_responses(soak_servers *servers, unsigned index,
                                 bbl_usec until);

#endif
