/*
 * server_health.h - what the entry hosts of a large fleet tell each other of
 * servers that have turned bad, and what a host makes of it.
 *
 * Load pattern: a part of all servers turns slow, hangs, fails or becomes
 * unreachable for seconds. Each of many hosts sends to a shard once in one or
 * two seconds, so a host that learns alone meets a late part at each of these
 * servers. Servers also pause for up to 250 ms, and a host may have a bad link
 * or too little processor time; neither must count.
 *
 * One host that sees a server bad makes it a suspect. A second host that sees
 * it bad at least 300 ms later rates it as bad for all hosts, until some host
 * sees it well again, or for 2 s. Servers that are rated as bad stay eligible.
 */
#ifndef BBL_FORWARD_SERVER_HEALTH_H
#define BBL_FORWARD_SERVER_HEALTH_H

#include "bbl/types.h"

/* In fleets of up to this many entry hosts each host sees enough by itself. */
#define BBL_HEALTH_SMALL_FLEET 16
/*
 * One of this many first attempts at a shard goes to a server that is rated as
 * bad. With 42 parts a second at a shard that is one each 0.6 s, so a rating
 * seldom lapses between two probes. In the model of test_server_health.c 1 in
 * 16 caused a sixth more late parts, with 1 in 32 more ratings lapsed.
 */
#define BBL_HEALTH_PROBE_INTERVAL 24
/* Rows that one host may send in any second. */
#define BBL_HEALTH_ROWS_PER_S 20

typedef enum {
    BBL_HEALTH_WELL,
    BBL_HEALTH_SUSPECT, /* one host has seen it bad */
    BBL_HEALTH_BAD      /* a second host has confirmed it */
} bbl_health_level;

typedef enum {
    BBL_HEALTH_SLOW,
    BBL_HEALTH_FAILING,
    BBL_HEALTH_SILENT,
    BBL_HEALTH_REFUSING /* it refuses connections */
} bbl_health_cause;

/* What a host tells the others of one server. */
typedef struct {
    uint64_t server; /* key, see bbl_backend_get_key() */
    uint64_t serial; /* 0 until it is numbered */
    bbl_health_level level;
    bbl_health_cause cause;
    /* At least this many times the usual service time; 0 if unknown. */
    unsigned slowness;
    uint32_t reporter; /* short hash of the host, see bbl_health_witness */
} bbl_observed_health;

/* What a host knows of one server; zero-initialized. */
typedef struct {
    bbl_health_level level; /* use bbl_server_health_get_level() */
    bbl_health_cause cause;
    unsigned slowness;
    uint32_t reporter;     /* of the last change */
    uint64_t serial;       /* of the last row */
    bbl_usec learned_at;   /* when it became a suspect, or was rated */
    bbl_usec confirmed_at; /* of the last confirmation */
    bbl_usec until;        /* when the level lapses */
} bbl_server_health;

/* Own evidence that a server is bad. */
typedef struct {
    bbl_health_cause cause;
    unsigned slowness; /* see bbl_observed_health */
    bbl_usec sent_at;  /* of the attempt that shows it */
} bbl_health_evidence;

/*
 * How far the evidence of this host counts, and how many rows it may send.
 * Zero-initialized but for `self`.
 */
typedef struct {
    uint32_t self; /* short hash of this host */
    double good;   /* decaying counts of evidence */
    double bad;
    bbl_usec counted_at;
    unsigned sent;                           /* rows sent since the start */
    bbl_usec sent_at[BBL_HEALTH_ROWS_PER_S]; /* when the last ones were sent */
} bbl_health_witness;

const char *bbl_health_level_name(bbl_health_level level);
const char *bbl_health_cause_name(bbl_health_cause cause);

/* Returns the short hash of the host with this seed, which fits a row. */
uint32_t bbl_health_make_reporter(uint64_t seed);

/*
 * Returns the time after which an attempt without an answer is late, and for
 * which a response is slow.
 *
 * @param service_time usual time of an attempt on the route
 */
bbl_usec bbl_health_get_late_time(bbl_usec service_time);

/* Returns whether a response after `duration` shows a server that is well. */
bool bbl_health_is_usual_time(bbl_usec duration, bbl_usec service_time);

/* Returns the level at `now`. */
bbl_health_level bbl_server_health_get_level(const bbl_server_health *health,
                                             bbl_usec now);

/* Applies what a host has told. Older rows than the last one are ignored. */
void bbl_server_health_apply(bbl_server_health *health, bbl_usec now,
                             const bbl_observed_health *observed);

/*
 * Decides what to tell the other hosts after own evidence of a bad server.
 * Does not change the state: if the row is sent, apply it.
 *
 * @param self see bbl_health_witness
 * @return whether `out` is to be sent; its server and serial are not set
 */
bool bbl_server_health_judge_bad(bbl_observed_health *out,
                                 const bbl_server_health *health, bbl_usec now,
                                 uint32_t self,
                                 const bbl_health_evidence *evidence);

/*
 * The same for an attempt that the server has answered well. The own result
 * counts at this host in any case: apply the row even if it is not sent.
 */
bool bbl_server_health_judge_good(bbl_observed_health *out,
                                  const bbl_server_health *health,
                                  bbl_usec now, uint32_t self,
                                  bbl_usec sent_at);

/* Returns the slowness of a server that is rated as bad, otherwise 1. */
double bbl_server_health_get_slowness(const bbl_server_health *health,
                                      bbl_usec now);

/*
 * Returns the share of attempts that are expected to get no answer, 0 to 1;
 * 0 for a server that is not rated as bad.
 */
double bbl_server_health_get_loss(const bbl_server_health *health,
                                  bbl_usec now);

/* Counts evidence of this host of one server. */
void bbl_health_witness_count(bbl_health_witness *witness, bbl_usec now,
                              bool good);

/*
 * Returns whether bad evidence of this host counts. A host that finds most
 * servers bad has bad links or too little processor time.
 */
bool bbl_health_witness_is_credible(const bbl_health_witness *witness);

/*
 * Takes one of the rows that a host may send in a second. Returns false if
 * none is left.
 *
 * @param level of the row; suspicions leave a part of the rows for the others
 */
bool bbl_health_witness_take_row(bbl_health_witness *witness, bbl_usec now,
                                 bbl_health_level level);

#endif
