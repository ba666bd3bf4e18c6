/*
 * admission_ask.h - requests to grantors for the admission of queries. A query
 * that needs admission is held until a grantor has admitted it; what to do is
 * decided by admission/admission.h. The driver carries the messages.
 */
#ifndef BBL_FORWARD_ADMISSION_ASK_H
#define BBL_FORWARD_ADMISSION_ASK_H

#include "admission/admission.h"
#include "model/codec.h"
#include "util/map.h"
#include "util/rng.h"
#include "util/vec.h"

/* A grantor as the driver lists it. */
typedef struct {
    uint32_t host; /* host id */
    bool near;     /* in the data centre of this host */
} bbl_listed_grantor;

/* What is known of the admission of one query for one subject. */
typedef struct {
    bool needed;
    bool admitted;
    bool awaits_reply;
    bool asked_again; /* more than one grantor was asked */
    unsigned asked;   /* see bbl_admit_subject_facts */
    unsigned refused;
    unsigned first;
    unsigned second;
    bbl_usec asked_at; /* when the grantor asked last was asked */
    bbl_usec wait;     /* shortest wait that a reply has stated */
    bool waits;        /* for load: the grantor asked last has queued it */
    uint64_t number;   /* of the request sent last; 0 before the first one */
    uint32_t grantor;  /* host id of the grantor asked last */
} bbl_query_admission;

typedef struct {
    bbl_listed_grantor listed;
    bbl_usec replied_at;
    /* It is not asked before; 0 once it has replied. */
    bbl_usec silent_until;
} bbl_admission_grantor;

/* The requests of one forwarder. */
typedef struct {
    bbl_admission_grantor grantors[BBL_ADMIT_GRANTORS_MAX];
    unsigned grantor_count;
    bbl_rng rng;   /* of the order of grantors */
    uint64_t turn; /* see bbl_admit_choose_first */
    uint64_t last_number;
    bbl_map open;   /* number -> open_request, private */
    bbl_vec by_age; /* open_request *, oldest first */
    bbl_map limits; /* hash of an organisation -> local_limit, private */
} bbl_admission_asks;

/* What this host has refused of one organisation, for the log. */
typedef struct {
    bbl_str organisation;
    double rate_per_s; /* its limit, over all hosts */
    double burst;
    unsigned refused; /* since the last such report */
    unsigned asked;   /* of these, after grantors were asked */
    bbl_usec in;      /* time since that report; 0 for the first one */
} bbl_quota_record;

/* @param seed differs for each start of each host */
void bbl_admission_asks_init(bbl_admission_asks *asks, uint64_t seed);
void bbl_admission_asks_free(bbl_admission_asks *asks);

/* Replaces the grantors. Those listed before keep their state. */
void bbl_admission_asks_set_grantors(bbl_admission_asks *asks,
                                     const bbl_listed_grantor *listed,
                                     unsigned count);

#endif
