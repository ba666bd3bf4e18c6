#include "forward/delegate.h"

#include <stdlib.h>
#include <string.h>

#include "forward/forwarder_core.h"
#include "util/alloc.h"

/* Time for which a peer is avoided that refused a query or did not answer. */
#define AVOIDED_US (2 * BBL_USEC_PER_SEC)
/* The same for one that reaches most servers, but not those of the route. */
#define REFUSED_US (500 * BBL_USEC_PER_MS)
/*
 * Refusals in a row after which a route counts as unavailable everywhere, and
 * for how long: while all servers are down, hosts do not ask each other for
 * each query.
 */
#define REFUSALS_MAX 16
#define UNAVAILABLE_US (1 * BBL_USEC_PER_SEC)
/* Meanwhile a query of the route is delegated at most this often, so that the
 * end of the outage is noticed. */
#define PROBE_INTERVAL_US (100 * BBL_USEC_PER_MS)
/* Time for which the answer of a peer says that others serve the route. */
#define SERVED_US (5 * BBL_USEC_PER_SEC)
/* A query is not delegated with less time left. */
#define TIME_LEFT_MIN_US (10 * BBL_USEC_PER_MS)

struct bbl_delegation {
    bbl_query *query;
    bbl_peer *peer;
    void *handle; /* the driver's */
    void *ctx;    /* ctx of the port */
};

const char *
bbl_delegation_cause_name(bbl_delegation_cause cause)
{
    static const char *const names[] = {"isolated", "unreached", "incomplete",
                                        "failed", "unadmitted"};

    return names[cause];
}

void
bbl_delegation_set_handle(bbl_delegation *d, void *handle)
{
    d->handle = handle;
}

void *
bbl_delegation_get_handle(const bbl_delegation *d)
{
    return d->handle;
}

void *
bbl_delegation_get_ctx(const bbl_delegation *d)
{
    return d->ctx;
}

/*
 * Returns whether other hosts may reach a shard that has no usable server
 * here: this host cannot connect to one of them. A server that is unsure may
 * be cold for all hosts, unless other hosts go on serving the route.
 */
static bool
may_be_reached_elsewhere(const bbl_query *q, const bbl_shard *s, bbl_usec now)
{
    for (size_t i = 0; i < s->pool->backends.size; i++) {
        bbl_backend_state state = bbl_backend_get_state(
            *BBL_VEC_AT(bbl_backend *, &s->pool->backends, i), now);

        if (state == BBL_BACKEND_DOWN ||
            (state == BBL_BACKEND_UNSURE &&
             now < q->timing->served_elsewhere_until)) {
            return true;
        }
    }
    return false;
}

bool
bbl_query_needs_delegation(bbl_delegation_cause *cause, const bbl_forwarder *f,
                           bbl_usec now, const bbl_query *q)
{
    unsigned usable = 0;
    unsigned elsewhere = 0;

    for (unsigned i = 0; i < q->shard_count; i++) {
        const bbl_shard *s = &q->shards[i];

        if (s->state == BBL_SHARD_ANSWERED ||
            bbl_pool_has_usable(s->pool, now)) {
            usable++;
        }
        else {
            elsewhere += may_be_reached_elsewhere(q, s, now);
        }
    }
    *cause = f->reach.isolated           ? BBL_DELEGATE_ISOLATED
             : usable < q->shards_needed ? BBL_DELEGATE_UNREACHED
                                         : BBL_DELEGATE_INCOMPLETE;
    if (f->reach.isolated) {
        return true;
    }
    return elsewhere > 0 && usable + elsewhere >= q->shards_needed &&
           (usable < q->shards_needed ||
            now >= q->timing->incomplete_elsewhere_until);
}

/* Returns whether a query may be sent to another host. */
static bool
may_delegate(bbl_usec now, const bbl_query *q)
{
    unsigned attempts = bbl_query_count_attempts(q);

    return q->request.delegated.host == 0 && !q->delegation_may_have_run &&
           q->delegations < BBL_DELEGATIONS_MAX &&
           now + TIME_LEFT_MIN_US < q->deadline &&
           (now >= q->timing->unavailable_elsewhere_until ||
            now >= q->timing->next_probe_at) &&
           (attempts == 0 ||
            (q->route->idempotent && attempts < q->route->max_attempts &&
             !bbl_query_is_suspect(q)));
}

bool
bbl_query_may_delegate(const bbl_forwarder *f, bbl_usec now,
                       const bbl_query *q)
{
    return f->peers.listed.size > 0 && may_delegate(now, q);
}

static void
fill_request(const bbl_forwarder *f, bbl_usec now, const bbl_query *q,
             bbl_delegation_request *r)
{
    const bbl_forward_request *in = &q->request;
    const bbl_query_admission *admission = &q->admission[BBL_ADMIT_QUOTA];
    bbl_usec round_trip =
        in->round_trip > 0 ? in->round_trip : 2 * f->options.caller_distance;

    memset(r, 0, sizeof(*r));
    r->request_handle = in->request_handle;
    r->time_left_ms = (uint32_t)((q->deadline - now) / BBL_USEC_PER_MS);
    r->idempotent = q->route->idempotent;
    r->identity = bbl_query_get_identity(q);
    r->delegated.organisation = r->identity.organisation;
    r->delegated.elapsed = now - in->arrived_at;
    r->delegated.round_trip =
        in->first_on_connection ? 2 * round_trip : round_trip;
    r->delegated.attempts = bbl_query_count_attempts(q);
    r->delegated.routing_version = bbl_routing_version(q->table->routing);
    if (admission->needed && admission->admitted) {
        r->delegated.admitted = true;
        r->delegated.admitted_for = now - admission->asked_at;
    }
    if (q->route->kind == BBL_ROUTE_SPLIT) {
        r->delegated.service = bbl_buf_str(&q->shards[0].pool->name);
    }
}

/*
 * Lets the attempts be sent again whose connections were still being opened;
 * nothing of them was sent.
 */
static void
reset_unsent(bbl_forwarder *f, bbl_query *q)
{
    bbl_query_cancel_unsent(f, q);
    for (unsigned i = 0; i < q->shard_count; i++) {
        bbl_shard *s = &q->shards[i];

        if (s->state == BBL_SHARD_IN_FLIGHT && s->in_flight == 0) {
            s->state = BBL_SHARD_PENDING;
        }
    }
}

bool
bbl_query_delegate(bbl_forwarder *f, bbl_usec now, bbl_query *q,
                   bbl_delegation_cause cause)
{
    bbl_delegation_request r;
    bbl_delegation *d;

    if (q->delegation != NULL || f->peers.listed.size == 0) {
        return false;
    }
    reset_unsent(f, q);
    if (!may_delegate(now, q)) {
        return false;
    }
    fill_request(f, now, q, &r);
    r.peer = bbl_peers_choose(&f->peers, now, q->delegates, q->delegations,
                              &f->rng);
    if (r.peer == NULL) {
        return false;
    }
    d = bbl_calloc(1, sizeof(*d));
    d->query = q;
    d->peer = r.peer;
    d->ctx = f->options.port.ctx;
    if (f->options.port.delegate(f->options.port.ctx, d, &r) != 0) {
        free(d);
        return false;
    }
    bbl_query_withdraw_asks(f, now, q);
    q->timing->next_probe_at = now + PROBE_INTERVAL_US;
    r.peer->in_flight++;
    q->delegation = d;
    q->delegates[q->delegations++] = r.peer->listed.host;
    q->next_due_at = q->deadline;
    f->counters.delegations++;
    f->options.port.report_delegation(f->options.port.ctx, &q->request, &r,
                                      cause);
    return true;
}

/* Removes the delegation of a query, which has ended or was cancelled. */
static void
remove_delegation(bbl_query *q)
{
    q->delegation->peer->in_flight--;
    free(q->delegation);
    q->delegation = NULL;
}

void
bbl_query_cancel_delegation(bbl_forwarder *f, bbl_query *q)
{
    if (q->delegation != NULL) {
        f->options.port.cancel_delegation(f->options.port.ctx, q->delegation);
        remove_delegation(q);
    }
}

/* Returns whether a peer refused a query that another host may serve. */
static bool
is_refused(const bbl_attempt_result *r, bbl_forward_reason reason)
{
    return r->outcome == BBL_ATTEMPT_RESPONSE &&
           r->status == BBL_STATUS_UNAVAILABLE &&
           (reason == BBL_FORWARD_UNAVAILABLE ||
            reason == BBL_FORWARD_NO_ROUTING ||
            reason == BBL_FORWARD_UNCONFIRMED ||
            reason == BBL_FORWARD_UNADMITTED ||
            reason == BBL_FORWARD_DRAINING || reason == BBL_FORWARD_BUSY);
}

/*
 * Returns whether a peer gave up a query because it has lost its links while
 * it ran it, and another host may run it again.
 */
static bool
is_given_up(const bbl_query *q, const bbl_attempt_result *r,
            const bbl_delegation_outcome *outcome)
{
    return r->outcome == BBL_ATTEMPT_RESPONSE &&
           outcome->reason == BBL_FORWARD_BROKEN &&
           outcome->reach == BBL_REACH_NONE && q->route->idempotent &&
           outcome->attempts < q->route->max_attempts;
}

/* Records that servers may have run attempts of another host at each shard. */
static void
add_attempts(bbl_query *q, unsigned attempts)
{
    for (unsigned i = 0; i < q->shard_count; i++) {
        if (q->shards[i].attempts_maybe_run < attempts) {
            q->shards[i].attempts_maybe_run = attempts;
        }
    }
}

/* Records how a peer has handled a query, for the next ones. */
static void
record_outcome(bbl_forwarder *f, bbl_usec now, bbl_query *q, bbl_peer *peer,
               const bbl_attempt_result *r,
               const bbl_delegation_outcome *outcome)
{
    bbl_route_timing *t = q->timing;
    size_t refusals_max = f->peers.listed.size < REFUSALS_MAX
                              ? f->peers.listed.size
                              : REFUSALS_MAX;

    if (r->outcome != BBL_ATTEMPT_RESPONSE) {
        peer->avoided_until = now + AVOIDED_US;
        return;
    }
    if (is_given_up(q, r, outcome)) {
        peer->avoided_until = now + AVOIDED_US;
        return;
    }
    if (is_refused(r, outcome->reason)) {
        f->counters.delegations_refused++;
        if (outcome->reason == BBL_FORWARD_DRAINING ||
            outcome->reach != BBL_REACH_MOST) {
            peer->avoided_until = now + AVOIDED_US;
        }
        else if (outcome->reason == BBL_FORWARD_UNAVAILABLE ||
                 outcome->reason == BBL_FORWARD_UNADMITTED) {
            /* The next queries ask other peers, until all have refused. */
            peer->avoided_until = now + REFUSED_US;
        }
        if (outcome->reason == BBL_FORWARD_UNAVAILABLE &&
            ++t->refusals_elsewhere >= refusals_max) {
            t->refusals_elsewhere = 0;
            t->unavailable_elsewhere_until = now + UNAVAILABLE_US;
        }
        return;
    }
    t->refusals_elsewhere = 0;
    if (outcome->reason == BBL_FORWARD_OK ||
        outcome->reason == BBL_FORWARD_PARTIAL) {
        peer->served_at = now;
        t->unavailable_elsewhere_until = 0;
        t->served_elsewhere_until = now + SERVED_US;
    }
    if (outcome->reason == BBL_FORWARD_PARTIAL) {
        t->incomplete_elsewhere_until = now + UNAVAILABLE_US;
    }
}

bool
bbl_query_is_hopeless(const bbl_forwarder *f, const bbl_query *q)
{
    return f->reach.isolated &&
           (q->request.delegated.host != 0 || f->peers.listed.size > 0);
}

/* Continues a query whose delegation has ended without an answer. */
static void
resume(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    bbl_delegation_cause cause;

    if (bbl_query_needs_delegation(&cause, f, now, q) &&
        bbl_query_delegate(f, now, q, cause)) {
        return;
    }
    if (bbl_query_is_admitted(f, now, q)) {
        q->started = true;
        bbl_query_count_first(f, now, q);
    }
    else if (q->delegation_may_have_run) {
        /* It may not run again, so a token is of no use, and a refusal would
         * state that it has not run. */
        bbl_query_fail_decided(f, now, q);
        return;
    }
    if (!q->attempted && bbl_query_is_hopeless(f, q)) {
        bbl_query_fail_decided(f, now, q);
        return;
    }
    bbl_query_process(f, now, q);
}

void
bbl_forwarder_complete_delegation(bbl_forwarder *f, bbl_usec now,
                                  bbl_delegation *d,
                                  const bbl_attempt_result *r,
                                  const bbl_delegation_outcome *outcome)
{
    bbl_query *q = d->query;
    uint32_t host = d->peer->listed.host;
    bbl_backend *leaving;
    bbl_forward_answer a;

    record_outcome(f, now, q, d->peer, r, outcome);
    remove_delegation(q);
    if (r->outcome == BBL_ATTEMPT_BROKEN) {
        q->delegation_may_have_run = true;
    }
    if (is_given_up(q, r, outcome)) {
        add_attempts(q, outcome->attempts);
        resume(f, now, q);
        return;
    }
    /* An answer "not run" of the peer does not hold for this host. */
    if (r->outcome != BBL_ATTEMPT_RESPONSE || is_refused(r, outcome->reason) ||
        (r->status == BBL_STATUS_UNAVAILABLE && bbl_query_may_have_run(q))) {
        resume(f, now, q);
        return;
    }
    q->record.delegate = host;
    leaving = bbl_map_get(&f->pools.keys, outcome->leaving);
    if (outcome->leaving != 0 && leaving != NULL) {
        bbl_backend_state before = bbl_backend_get_state(leaving, now);

        bbl_backend_mark_leaving(f, leaving);
        bbl_backend_report_state(f, now, leaving, before);
    }
    memset(&a, 0, sizeof(a));
    a.status = r->status;
    a.body = r->body;
    a.relayed = r;
    bbl_query_finish(f, now, q, outcome->reason, &a);
}
