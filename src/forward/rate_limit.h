/*
 * rate_limit.h - the request rate that a backend server accepts from all hosts
 * together, as it states in its responses, and what this host sends to it
 * meanwhile.
 */
#ifndef BBL_RATE_LIMIT_H
#define BBL_RATE_LIMIT_H

#include "bbl/types.h"

/* State of one server at this host; zero-initialized. */
typedef struct {
    bool limited;        /* whether the server states a limit */
    double rate;         /* requests per second; valid if limited */
    bbl_usec counted_at; /* when the counts below were last reset */
    uint32_t first_sent; /* first attempts sent to the server since then */
    uint32_t extra_sent; /* hedges and retries */
    /* Requests that this host may send to the server until permits_until. */
    unsigned permits;
    bbl_usec permits_until;
    unsigned refusals; /* requests for a permit refused since the last grant */
    /* No permit is requested before; the server has none to give. */
    bbl_usec refused_until;
    /* When the grantors expect to have a permit for a request refused now. */
    bbl_usec next_permit_at;
    bool unpublished;      /* the other hosts were not told of it yet */
    bbl_usec published_at; /* when they were last told of a limit */
} bbl_rate_limit;

/*
 * Records what a response states.
 *
 * @param limited whether the response states a limit
 * @param rate    requests per second; ignored if not limited
 * @return whether this differs from what was known
 */
bool bbl_rate_limit_update(bbl_rate_limit *limit, bool limited, double rate);

/*
 * Returns whether to tell the other hosts of the limit now, and records that
 * this is done. A server whose responses differ is not reported each time.
 *
 * @param changed whether the limit has just changed
 */
bool bbl_rate_limit_is_publication_due(bbl_rate_limit *limit, bbl_usec now,
                                       bool changed);

/* Returns whether a request may be sent to the server now. */
bool bbl_rate_limit_may_send(const bbl_rate_limit *limit, bbl_usec now);

/* Returns whether a permit may be requested now. */
bool bbl_rate_limit_may_ask(const bbl_rate_limit *limit, bbl_usec now);

/* Uses up a permit, if one is needed. */
void bbl_rate_limit_spend(bbl_rate_limit *limit, bbl_usec now);

/* Adds a permit that is valid until a time. */
void bbl_rate_limit_add_permit(bbl_rate_limit *limit, bbl_usec now,
                               bbl_usec until);

/*
 * Records that a grantor refused a permit. After a refusal of most grantors
 * no other one is requested for a while.
 *
 * @param wait     time until that grantor has a permit, microseconds
 * @param grantors hosts that grant permits
 */
void bbl_rate_limit_refuse(bbl_rate_limit *limit, bbl_usec now, bbl_usec wait,
                           unsigned grantors);

/* Counts one attempt that is sent to the server. */
void bbl_rate_limit_count_sent(bbl_rate_limit *limit, bool extra);

/* Resets the counts. */
void bbl_rate_limit_reset_counts(bbl_rate_limit *limit, bbl_usec now);

#endif
