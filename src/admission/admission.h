/*
 * admission.h - what an entry host does with a query that needs admission: the
 * decision, from the facts about the query. Pure: no state, no clock.
 *
 * A query asks for its quota first and for load after that. It asks one
 * grantor at a time; the next one if that does not answer or, for its quota,
 * if that refuses. One grantor decides on the load of all hosts, so its
 * refusal is final.
 */
#ifndef BBL_ADMISSION_ADMISSION_H
#define BBL_ADMISSION_ADMISSION_H

#include "bbl/types.h"

/* Grantors that a host knows of, at most; bits of the sets below. */
#define BBL_ADMIT_GRANTORS_MAX 5

/* What a query needs to be admitted for. */
typedef enum {
    BBL_ADMIT_QUOTA,
    BBL_ADMIT_LOAD,
    BBL_ADMIT_SUBJECTS
} bbl_admit_subject;

/* What is known of one subject. */
typedef struct {
    bool needed;   /* the query needs this admission */
    bool admitted; /* it has it */
    /* Grantors that were asked, as a set of their positions, and of these the
     * ones that have refused. */
    unsigned asked;
    unsigned refused;
    bool asked_again;     /* more than one grantor was asked */
    bool awaits_reply;    /* the grantor asked last may still reply */
    bbl_usec asked_at;    /* when that one was asked */
    bbl_usec wait;        /* shortest wait that a reply has stated */
    bool waits;           /* for load: the grantor asked last has queued it */
    bbl_usec refused_for; /* local refusal: time left of it; 0 if none */
    bbl_usec retry_after; /* local refusal: time to the retry */
    /* Position of the grantor to ask first, and of the next one if that was
     * not asked yet; those that follow it come after that. */
    unsigned first;
    unsigned second;
} bbl_admit_subject_facts;

typedef struct {
    bbl_usec now;
    bbl_usec arrived_at; /* at the first host that received it */
    bbl_usec target;     /* latency target of the route */
    bool last_host;      /* no other host can be asked to run it */
    bool passed_on;      /* another host was asked, and could not */
    unsigned grantors;   /* number of grantors known */
    unsigned silent;     /* set of those that do not answer */
    bbl_admit_subject_facts subjects[BBL_ADMIT_SUBJECTS];
} bbl_admit_facts;

typedef enum {
    /* All that answer have admitted it. For load, it also runs if no grantor
     * answers; the caller then limits the load by itself. */
    BBL_ADMIT_RUN,
    BBL_ADMIT_ASK,        /* `grantor` for `subject` */
    BBL_ADMIT_AWAIT,      /* the reply, until `until` */
    BBL_ADMIT_REFUSE,     /* over the limit of `subject` */
    BBL_ADMIT_UNANSWERED, /* no grantor answers for `subject` */
} bbl_admit_action;

typedef struct {
    bbl_admit_action action;
    bbl_admit_subject subject;
    unsigned grantor;     /* position; BBL_ADMIT_ASK only */
    bbl_usec until;       /* BBL_ADMIT_AWAIT and BBL_ADMIT_ASK */
    bbl_usec retry_after; /* BBL_ADMIT_REFUSE only */
    /* BBL_ADMIT_UNANSWERED: whether there is time left for another host. */
    bool may_delegate;
    /* Whether the grantor asked last has not answered in time. */
    bool timed_out;
} bbl_admit_decision;

/*
 * Returns how long the grantor may let a query wait that asks for load now.
 */
bbl_usec bbl_admit_get_load_wait(const bbl_admit_facts *facts);

/* Decides what to do with a query now. */
void bbl_admit_decide(bbl_admit_decision *out, const bbl_admit_facts *facts);

/*
 * Returns for how long a host refuses requests itself after all grantors that
 * answer have refused one and the shortest wait was `wait`.
 */
bbl_usec bbl_admit_get_local_refusal(bbl_usec wait);

/*
 * Returns the position of the grantor to ask first. A host asks those of its
 * own data centre in turn, if there are any, and otherwise all.
 *
 * @param near set of the positions of grantors in the host's data centre
 * @param turn grows by one with each query
 */
unsigned bbl_admit_choose_first(unsigned grantors, unsigned near,
                                uint64_t turn);

#endif
