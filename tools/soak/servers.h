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
#define SOAK_SERVICES_MAX 8

typedef struct soak_servers soak_servers;

/* The fate of one request, as servers and callers observed it. */
typedef struct {
    char id[SOAK_ID_MAX];
    bool once;          /* whether it may run at most once */
    bool refused;       /* whether the caller was told that it has not run */
    unsigned run_count; /* on all servers */
    bbl_usec registered_at;
    bool wanted[SOAK_SERVICES_MAX];   /* services that it asks */
    bool received[SOAK_SERVICES_MAX]; /* services that have received it */
    /* The organisation whose key it carries; NULL: the key is unknown, and no
     * server may run it. */
    const char *organisation;
} soak_request_record;

/* How the servers of a version misbehave. */
typedef enum {
    VERSION_GOOD,
    VERSION_FAILS,       /* all answers are 500 */
    VERSION_FAILS_OFTEN, /* every other answer is 500 */
    VERSION_SLOW,        /* takes SOAK_SLOW_FACTOR times the time */
    VERSION_FAULTS_AT_ONCE = VERSION_SLOW, /* the last of those */
    VERSION_FAILS_LATE,       /* 500 from some time after its first request */
    VERSION_FAILS_ONE_ROUTE,  /* 500 to the parts of merged answers */
    VERSION_FAILS_UNDER_LOAD, /* 500 while it runs another request */
    VERSION_FAULTS
} version_fault;

#define SOAK_SLOW_FACTOR 6
/* Bad answers after which a version must be found, and bounds of the requests
 * to it, see load-tenants-rollouts.md, section 6. */
#define SOAK_BAD_ANSWERS 50
#define SOAK_EXPOSURE_RATIO 0.1
#define SOAK_EXPOSURE_CONSTANT 50

/* The last rollout of a service, as its operator and the servers see it. */
typedef struct {
    unsigned version; /* 0: there was none */
    version_fault fault;
    bool running;         /* ordered, and its end has not been read */
    bbl_usec deadline;    /* the latest; 0 until the order is acknowledged */
    bbl_usec rollback_at; /* when its rollback was read, or 0 */
    unsigned requests;    /* to all servers of the service by the deadline */
    unsigned target_requests;
    unsigned bad_answers;
    bbl_usec first_target_request_at;
    bbl_usec bad_limit_at; /* when SOAK_BAD_ANSWERS was reached, or 0 */
} soak_rollout_record;

typedef struct {
    unsigned service_count;       /* named s0, s1, ... */
    unsigned servers_per_service; /* of one version */
    bbl_usec service_time;        /* from a request to its response */
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

/*
 * Servers have the numbers 0 to soak_servers_count - 1. Each service has as
 * many for the version in use as for the one that is rolled out.
 */
unsigned soak_servers_count(const soak_servers *servers);

/*
 * Returns whether faults may hit a server. They hit neither servers that have
 * not started nor those of a good version that is rolled out, whose answers
 * would be bad.
 */
bool soak_servers_may_fail(const soak_servers *servers, unsigned index);

/* Returns whether a server is of the version that is or was rolled out, and
 * has not replaced the others. */
bool soak_servers_is_target(const soak_servers *servers, unsigned index);

/* Returns the most extra requests that a service got within 10 s. */
unsigned soak_servers_get_extra_max(const soak_servers *servers);

/* Notes that control hosts are disturbed until then, so that a version that is
 * bad may be found later. */
void soak_servers_note_disturbance(soak_servers *servers, bbl_usec until);

/* ---- versions ---- */

/* Returns the record of the last rollout of a service. */
soak_rollout_record *soak_servers_rollout(soak_servers *servers,
                                          unsigned service);

/* Starts the servers of the version of the record beside the others. */
void soak_servers_start_version(soak_servers *servers, unsigned service);

/* Ends the servers of the version of the record, or all others, at once. */
void soak_servers_end_version(soak_servers *servers, unsigned service);
void soak_servers_end_others(soak_servers *servers, unsigned service);

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
