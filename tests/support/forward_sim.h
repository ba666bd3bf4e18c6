/*
 * forward_sim.h - one entry host's forwarder with backend servers that do
 * as they are told, in simulated time. Every promise towards callers is
 * checked after each answer.
 */
#ifndef BBL_TEST_FORWARD_WORLD_H
#define BBL_TEST_FORWARD_WORLD_H

#include "forward/forwarder.h"

#define FORWARD_SIM_SERVERS_MAX 64
#define FORWARD_SIM_CALLS_MAX 4096

/* How a server treats what it gets. */
typedef enum {
    SERVER_OK,
    SERVER_SILENT,   /* runs, and nothing ever comes back */
    SERVER_SHEDS,    /* refuses it unrun */
    SERVER_FAILS,    /* runs, and answers with a failure */
    SERVER_BREAKS,   /* runs, and the connection breaks */
    SERVER_REFUSES,  /* no connection */
    SERVER_REPLACED, /* another incarnation has the address */
    SERVER_UNSIGNED  /* answers without a signature */
} server_mode;

typedef struct {
    char id[16];
    char service[16];
    char zone[16];
    server_mode mode;
    bbl_usec work;
    bbl_usec paused_until; /* answers nothing before */
    bool leaving;
    bool gone;
    uint32_t cold_ms;    /* the list says so when it is next handed in */
    bbl_usec cold_until; /* as the list said last */
    unsigned arrivals;
    unsigned runs;
    unsigned connections; /* that may be in use at once; 0: any number */
    unsigned in_use;
    bbl_backend *backend; /* of the forwarder */
} forward_sim_server;

/* What a caller got. */
typedef struct {
    bool used;
    bool answered;
    bool left;
    unsigned status;
    unsigned parts; /* signatures in it */
    unsigned missing;
    uint32_t retry_after_ms;
    bbl_usec answered_at; /* when it was answered */
    unsigned runs;        /* of this request, on all servers */
    bbl_forward_reason reason;
} forward_sim_call;

typedef struct forward_sim forward_sim;

/* Makes a world; `entry_hosts` share the budget of extra requests. */
forward_sim *forward_sim_new(unsigned entry_hosts);

/* Frees the world after a check that no promise was broken. */
void forward_sim_free(forward_sim *w);

/* Returns the first promise that was broken, or NULL (static storage). */
const char *forward_sim_get_violation(const forward_sim *w);

/* Frees the world whatever happened in it. */
void forward_sim_discard(forward_sim *w);

/* Adds a server; the pointer stays valid. */
forward_sim_server *forward_sim_add_server(forward_sim *w, const char *id,
                                           const char *service,
                                           const char *zone);

/* Installs a routing document of the platform and the servers' list. */
void forward_sim_install_routing(forward_sim *w, const char *document);

/* Hands the servers' list in again, as the platform now shows it. */
void forward_sim_update_list(forward_sim *w, const char *evacuated);

/* Sends a request; returns its number. */
unsigned forward_sim_send_request(forward_sim *w, const char *path,
                                  uint32_t time_left_ms);

/* The caller of a request leaves. */
void forward_sim_cancel_request(forward_sim *w, unsigned call);

/* A connection to a server was opened, or could not be. */
void forward_sim_record_connect(forward_sim *w, forward_sim_server *server,
                                bool ok);

/* Lets time pass. */
void forward_sim_run(forward_sim *w, bbl_usec time);

const forward_sim_call *forward_sim_get_call(const forward_sim *w,
                                             unsigned call);
bbl_usec forward_sim_get_time(const forward_sim *w);
const bbl_forward_counters *forward_sim_get_counters(const forward_sim *w);

/* Returns the version of the routing in use. */
uint64_t forward_sim_get_routing_version(const forward_sim *w);

/* Returns the attempts still under way at servers. */
unsigned forward_sim_count_in_flight(const forward_sim *w);

#endif
