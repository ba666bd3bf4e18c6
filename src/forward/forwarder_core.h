/*
 * forwarder_core.h - the state of a forwarder, and the functions that its
 * source files share: route_table.c activates a routing, attempt.c sends
 * attempts and processes their results, answer.c finishes queries, forwarder.c
 * receives requests and runs the timed work.
 */
#ifndef BBL_FORWARD_FORWARDER_CORE_H
#define BBL_FORWARD_FORWARDER_CORE_H

#include "control/permit_book.h"
#include "forward/crash_alert.h"
#include "forward/placement.h"
#include "forward/query.h"
#include "forward/rollout_tally.h"
#include "forward/rollout_view.h"
#include "util/rng.h"

#define BBL_STATUS_UNAUTHORIZED 401
#define BBL_STATUS_NOT_FOUND 404
#define BBL_STATUS_REQUEST_TIMEOUT 408
#define BBL_STATUS_MISDIRECTED 421
#define BBL_STATUS_TOO_MANY_REQUESTS 429
#define BBL_STATUS_BAD_GATEWAY 502
#define BBL_STATUS_UNAVAILABLE 503
#define BBL_STATUS_TIMEOUT 504

#define BBL_FOREVER UINT64_MAX

/* No attempt is sent with less time left until the deadline. */
#define BBL_TIME_LEFT_MIN_US (3 * BBL_USEC_PER_MS)

struct bbl_forwarder {
    bbl_forwarder_options options;
    bbl_extra_limits extra_limits; /* share of this host */
    bbl_rng rng;
    bbl_pools pools; /* the servers, in one pool for each service */
    bbl_map timings; /* hash of the route name -> bbl_route_timing */
    bbl_route_table *table;
    /* A newer routing that waits for the servers of its shards, or NULL. */
    bbl_routing *next_routing;
    /* When the first version since the last activation arrived. */
    bbl_usec next_routing_received_at;
    uint64_t received_index; /* of the state, in the last update */
    uint64_t settled_index;  /* not ahead of attempts that a rollout ends */
    uint64_t applied_index;  /* see bbl_forwarder_get_applied_index */
    bbl_usec routing_confirmed_until; /* see bbl_forwarder_confirm_routing */
    bbl_usec ends_at;                 /* see bbl_forwarder_set_end; 0: never */
    bbl_usec list_read_at;
    unsigned entry_hosts;
    /* bbl_query *, open; lowest priority number first, then by arrival. */
    bbl_vec queries;
    /* bbl_attempt *, still in flight although their query is finished. */
    bbl_vec detached_attempts;
    bbl_reach reach;
    bbl_peers peers;
    bbl_crash_alert crash_alert;
    bbl_crash_watch crash_watch;
    bbl_crash_ledger crash_ledger;
    bbl_vec permit_requests; /* open_request, see permit.c; oldest first */
    bbl_vec permit_items;    /* scratch: bbl_permit_item */
    uint64_t last_permit_request;
    unsigned grantors; /* hosts that grant permits */
    /* Requests for permits since the last reply whose reply did not come. */
    unsigned permits_expired;
    bbl_usec permits_expired_since;
    bbl_permit_book local_permits; /* while no grantor replies */
    bbl_health_witness witness;
    bbl_usec health_checked_at;
    bbl_usec watched_since; /* since then the checks came in time */
    bbl_admission_asks asks;
    /* At the last maintenance, for some shards; see pressure.h. */
    bool under_pressure;
    bool limited;
    bool limits_known; /* whether some server limits its request rate */
    bbl_usec next_maintenance_at; /* see TICK_INTERVAL_MAX_US */
    bbl_usec servers_checked_at;
    bbl_rollout_view rollouts;
    bbl_rollout_tally tally;
    bbl_usec next_tally_at;
    bbl_forward_counters counters;
};

/* ---- route_table.c ---- */

/* Releases one reference to a route table, and frees it with the last one. */
void bbl_route_table_release(bbl_route_table *t);

/* Activates the next routing, unless it still waits for its shards. */
void bbl_forwarder_activate_routing(bbl_forwarder *f, bbl_usec now);

/* ---- attempt.c ---- */

/*
 * Returns the time without any response after which a server counts as
 * stalled.
 */
bbl_usec bbl_route_timing_get_stall_timeout(const bbl_route_timing *timing);

/* Marks a server as down because it has not responded to its attempts. */
void bbl_backend_mark_silent(bbl_forwarder *f, bbl_usec now, bbl_backend *b);

/* Reports the state of a server if it differs from `before`. */
void bbl_backend_report_state(bbl_forwarder *f, bbl_usec now, bbl_backend *b,
                              bbl_backend_state before);

/* Records that a server has said that it is leaving. */
void bbl_backend_mark_leaving(bbl_forwarder *f, bbl_backend *b);

/* Describes the next attempt at a shard to the choice of its server. */
void bbl_attempt_fill_placement(bbl_placement_input *in, const bbl_query *q,
                                const bbl_shard *s, bool hedge);

/*
 * Returns the server for the next attempt at a shard, or NULL.
 *
 * @param hedge whether another attempt at the shard is already in flight
 * @param eligible set to the number of usable servers that were not tried
 */
bbl_backend *bbl_attempt_choose_backend(bbl_forwarder *f, bbl_usec now,
                                        const bbl_query *q, const bbl_shard *s,
                                        bool hedge,
                                        bbl_placement_counts *eligible);

/* Sends an attempt. Returns false if no connection is free. */
bool bbl_attempt_send(bbl_forwarder *f, bbl_usec now, bbl_query *q,
                      bbl_shard *s, bbl_backend *b, bool hedge);

/*
 * Returns whether a query may be what ends its servers: servers have ended
 * under earlier copies of it, connections break under this one, or it is sent
 * to one shard first; and no shard has answered yet. It gets no second
 * attempts meanwhile.
 */
bool bbl_query_is_suspect(const bbl_query *q);

/*
 * Returns whether another attempt at a shard is allowed by the route, by the
 * time left and by the budget for extra attempts.
 */
bool bbl_attempt_may_send(bbl_forwarder *f, bbl_usec now, const bbl_query *q,
                          bbl_shard *s);

/*
 * Returns the share left of the budget for extra attempts at a shard, 0 to 1.
 * While the load of all hosts is limited, the whole budget is smaller.
 */
double bbl_attempt_get_extra_left(bbl_forwarder *f, bbl_usec now,
                                  const bbl_query *q, bbl_shard *s);

/* Returns whether the load of all hosts on the servers of a query is limited,
 * so that this host is to save their work. */
bool bbl_query_is_limited(const bbl_query *q, bbl_usec now);

/* Returns whether the servers of a query are under load pressure. */
bool bbl_query_is_under_pressure(const bbl_query *q, bbl_usec now);

/*
 * Cancels the attempts of a query, so that servers stop working on them.
 *
 * @param shard cancels only those at this shard; NULL: all of them
 */
void bbl_query_cancel_attempts(bbl_forwarder *f, bbl_usec now, bbl_query *q,
                               const bbl_shard *shard);

/* Reports which pressure has ended. */
void bbl_forwarder_check_pressure(bbl_forwarder *f, bbl_usec now);

/* Reports an extra attempt through the port. */
void bbl_attempt_report_extra(bbl_forwarder *f, bbl_usec now,
                              const bbl_query *q, const bbl_shard *s,
                              const bbl_backend *b, bool hedge, bool stalled);

/* Counts an attempt that was cancelled for the rollout of its service. */
void bbl_attempt_count_cancelled(bbl_forwarder *f, bbl_usec now,
                                 const bbl_attempt *a);

/* ---- permit.c ---- */

/* Returns an empty list of open requests. */
bbl_vec bbl_permit_requests_init(void);

/* Returns whether the reply to a request for permits may still come. */
bool bbl_query_awaits_permits(const bbl_query *q, bbl_usec now);

/* Requests permits for the shards that wish one, unless a reply is awaited. */
void bbl_query_request_permits(bbl_forwarder *f, bbl_usec now, bbl_query *q);

/* Forgets a query that is about to be freed. */
void bbl_query_forget_permits(bbl_forwarder *f, const bbl_query *q);

/* Counts and forgets the requests whose permits would no longer be valid. */
void bbl_forwarder_expire_permit_requests(bbl_forwarder *f, bbl_usec now);

/* Applies the limits that other hosts have observed. */
void bbl_forwarder_apply_limits(bbl_forwarder *f,
                                const bbl_observed_limit *limits,
                                size_t count);

/* ---- health.c ---- */

/* Returns whether this host and the others tell each other of bad servers. */
bool bbl_forwarder_shares_health(const bbl_forwarder *f);

/* Applies what other hosts have observed of servers. */
void bbl_forwarder_apply_health(bbl_forwarder *f, bbl_usec now,
                                const bbl_observed_health *observed,
                                size_t count);

/*
 * Records own evidence that a server is bad, and tells the others of it.
 *
 * @param repeated whether it is no new one, such as the next failure to
 *                 connect to a server that is down
 */
void bbl_backend_record_bad(bbl_forwarder *f, bbl_usec now, bbl_backend *b,
                            const bbl_health_evidence *evidence,
                            bool repeated);

/* Records the response of a server to an attempt. */
void bbl_backend_record_response(bbl_forwarder *f, bbl_usec now,
                                 bbl_attempt *a, bbl_usec duration,
                                 bbl_usec ready_since);

/*
 * Looks for servers that have not answered their oldest attempt in time, if
 * the last check is long enough ago. Returns when to check again.
 */
bbl_usec bbl_forwarder_check_health(bbl_forwarder *f, bbl_usec now);

/* Returns whether the first attempt at a shard is to probe a bad server. */
bool bbl_shard_is_probe_due(bbl_forwarder *f, bbl_usec now, const bbl_query *q,
                            const bbl_shard *s);

/* Returns whether a server is rated as bad and another one of its pool not. */
bool bbl_pool_has_better(const bbl_pool *pool, const bbl_backend *b,
                         bbl_usec now);
/* ---- admission_ask.c ---- */

typedef enum {
    BBL_ADMISSION_DONE,    /* the query is admitted */
    BBL_ADMISSION_WAITS,   /* next_due_at is set, or it was delegated */
    BBL_ADMISSION_FINISHED /* the query was refused and freed */
} bbl_admission_step;

/* Determines what admission a new query needs. */
void bbl_query_init_admission(bbl_forwarder *f, bbl_usec now, bbl_query *q);

/*
 * Returns whether a query has all the admission that it needs. Admission that
 * was not used in time is given up.
 */
bool bbl_query_is_admitted(bbl_forwarder *f, bbl_usec now, bbl_query *q);

/* Takes the next step towards the admission of a query. */
bbl_admission_step bbl_query_seek_admission(bbl_forwarder *f, bbl_usec now,
                                            bbl_query *q);

/* Takes the requests of a query back, which another host is to admit. */
void bbl_query_withdraw_asks(bbl_forwarder *f, bbl_usec now, bbl_query *q);

/*
 * Ends the admission of a query that is about to be freed.
 *
 * Reports how it ended to the grantor that has admitted its load.
 *
 * @param ran whether some server may have run a part of it; if not, its token
 *            is returned
 */
void bbl_query_end_admission(bbl_forwarder *f, bbl_usec now, bbl_query *q,
                             bool ran);

/* Forgets the requests whose replies are of no use any more. */
void bbl_forwarder_forget_asks(bbl_forwarder *f, bbl_usec now);

/* ---- delegate.c ---- */

/*
 * Returns whether another host may serve a query better than this one.
 *
 * @param cause set to the reason
 */
bool bbl_query_needs_delegation(bbl_delegation_cause *cause,
                                const bbl_forwarder *f, bbl_usec now,
                                const bbl_query *q);

/* Returns whether there may be a peer to which a query can be delegated. */
bool bbl_query_may_delegate(const bbl_forwarder *f, bbl_usec now,
                            const bbl_query *q);

/*
 * Delegates a query to a peer, if the promises to its caller allow this and a
 * peer is left to ask. Attempts in flight go on; the first answer counts.
 */
bool bbl_query_delegate(bbl_forwarder *f, bbl_usec now, bbl_query *q,
                        bbl_delegation_cause cause);

/*
 * Returns whether a query that no server has received is to be refused: no
 * server responds to this host, and another host is to run it or was asked to.
 */
bool bbl_query_is_hopeless(const bbl_forwarder *f, const bbl_query *q);

/* Cancels the delegation of a query, if there is one. */
void bbl_query_cancel_delegation(bbl_forwarder *f, bbl_query *q);

/* ---- answer.c ---- */

/* Removes a query from the list of open queries, without freeing it. */
void bbl_query_remove(bbl_forwarder *f, bbl_query *q);

/*
 * Detaches the attempts in flight from a query. They are cancelled if they
 * have not ended by `cancel_at`.
 */
void bbl_query_detach_attempts(bbl_forwarder *f, bbl_query *q,
                               bbl_usec cancel_at);

/*
 * Returns the greatest number of attempts at a shard that servers may have
 * run.
 */
unsigned bbl_query_count_attempts(const bbl_query *q);

/*
 * Returns whether a server may have run, or may still run, some part of a
 * query.
 */
bool bbl_query_may_have_run(const bbl_query *q);

/*
 * Cancels the attempts of which nothing was sent, for example because their
 * connections are still being opened: no server will run them.
 */
void bbl_query_cancel_unsent(bbl_forwarder *f, bbl_query *q);

/*
 * Refuses a request for which no query was created.
 *
 * @param retry_after with status 503, the time to come back, microseconds; 0
 *                    if it is not known
 */
void bbl_forwarder_refuse(bbl_forwarder *f, bbl_usec now,
                          const bbl_forward_request *request,
                          bbl_forward_reason reason, unsigned status,
                          bbl_usec retry_after);

/*
 * Finishes a query: reports it, answers it and frees it.
 *
 * @param answer NULL if the request was cancelled
 */
void bbl_query_finish(bbl_forwarder *f, bbl_usec now, bbl_query *q,
                      bbl_forward_reason reason,
                      const bbl_forward_answer *answer);

/*
 * Finishes a query with an error answer that states when to retry.
 *
 * @param retry_after microseconds
 */
void bbl_query_refuse(bbl_forwarder *f, bbl_usec now, bbl_query *q,
                      bbl_forward_reason reason, unsigned status,
                      bbl_usec retry_after);

/* Finishes a query with an error answer of the forwarder. */
void bbl_query_fail(bbl_forwarder *f, bbl_usec now, bbl_query *q,
                    bbl_forward_reason reason, unsigned status);

/*
 * Finishes a query that can no longer succeed: as not run if no server can
 * have run a part of it, otherwise as broken.
 */
void bbl_query_fail_decided(bbl_forwarder *f, bbl_usec now, bbl_query *q);

/* Finishes a query with the merged parts that the shards have answered. */
void bbl_query_finish_merged(bbl_forwarder *f, bbl_usec now, bbl_query *q);

/*
 * Returns when a query with enough parts is answered at the latest. While the
 * load of all hosts is limited that is early: the missing parts would delay
 * those of others.
 */
bbl_usec bbl_query_get_answer_time(const bbl_query *q, bbl_usec now);

/*
 * Finishes a query if its outcome is decided: a sharded query that is
 * complete, can no longer succeed, or has reached its answer time with enough
 * shards; a query with one shard that can no longer succeed.
 *
 * @return whether the query was finished
 */
bool bbl_query_finish_if_decided(bbl_forwarder *f, bbl_usec now, bbl_query *q);

/* ---- forwarder.c ---- */

/*
 * Counts a query as a first request to its services in the budgets for extra
 * attempts, once and only at the host that runs it first.
 */
void bbl_query_count_first(bbl_forwarder *f, bbl_usec now, bbl_query *q);

/*
 * Sends the first attempts, retries and hedges of a query that are due.
 * Returns false if the query was finished and freed.
 */
bool bbl_query_process(bbl_forwarder *f, bbl_usec now, bbl_query *q);

#endif
