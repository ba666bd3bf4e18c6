#include "forward/permit.h"

#include <stdlib.h>
#include <string.h>

#include "forward/forwarder_core.h"
#include "forward/placement.h"
#include "util/alloc.h"

/* Time after which another grantor is asked. */
#define REPLY_TIMEOUT_US (60 * BBL_USEC_PER_MS)
/* The same as a share of the latency target, if that is shorter. */
#define REPLY_TIMEOUT_DIVISOR 8

/* Time without any reply after which a host relies on its own share. */
#define GRANTORS_LOST_US (2 * BBL_USEC_PER_SEC)
/* Requests in a row whose reply did not come; one alone may have been lost. */
#define EXPIRED_MAX 5
/* The part of an equal share that a host uses then: one in this many. */
#define LOCAL_SHARE_DIVISOR 4
/*
 * Hosts of which each may have one request outstanding without a permit,
 * besides one for each request per second of the limit.
 */
#define LOCAL_HOSTS_MAX 5

/* A request for permits that was not answered yet. */
typedef struct {
    uint64_t number;
    bbl_usec asked_at;
    bbl_query *query; /* NULL once it is finished */
} open_request;

bbl_vec
bbl_permit_requests_init(void)
{
    return (bbl_vec)BBL_VEC_INIT(open_request);
}

bool
bbl_query_awaits_permits(const bbl_query *q, bbl_usec now)
{
    return q->permit_request != 0 && now < q->permit_timeout_at;
}

/* Adds the servers of a shard that may need a permit to a request. */
static void
add_items(bbl_forwarder *f, bbl_usec now, const bbl_query *q, unsigned shard)
{
    const bbl_shard *s = &q->shards[shard];
    bbl_placement_input in;

    bbl_attempt_fill_placement(&in, q, s, false);
    for (size_t i = 0; i < s->pool->backends.size; i++) {
        const bbl_backend *b =
            *BBL_VEC_AT(bbl_backend *, &s->pool->backends, i);
        bbl_permit_item item = {b->key, shard, b->limit.rate};

        if (bbl_placement_is_eligible(&in, b, now) &&
            bbl_rate_limit_may_ask(&b->limit, now)) {
            bbl_vec_push(&f->permit_items, &item);
        }
    }
}

/*
 * Returns for how many shards of a request permits are needed, so that the
 * query can succeed.
 */
static unsigned
count_needed(const bbl_query *q)
{
    unsigned others = q->shard_count - q->shards_failed;

    for (unsigned i = 0; i < q->shard_count; i++) {
        others -= q->shards[i].permit_wish == BBL_PERMIT_REQUIRED;
    }
    return q->shards_needed > others ? q->shards_needed - others : 0;
}

/* Returns whether this host has to do without grantors. */
static bool
must_grant_locally(const bbl_forwarder *f, bbl_usec now)
{
    return f->permits_expired > EXPIRED_MAX &&
           now > f->permits_expired_since + GRANTORS_LOST_US;
}

/*
 * Grants permits from a part of this host's equal share of the limits, if the
 * fleet is so small that a first request of every host fits into them. Returns
 * whether any was granted.
 */
static bool
grant_locally(bbl_forwarder *f, bbl_usec now, bbl_permit_request *r)
{
    bblx_permit_result *results;
    bblx_permit_request wire;
    bool granted = false;

    memset(&wire, 0, sizeof(wire));
    wire.urgent = r->urgent;
    wire.needed = r->needed;
    wire.items.items_val = bbl_calloc(r->item_count, sizeof(bblx_permit_item));
    results = bbl_calloc(r->item_count, sizeof(*results));
    for (size_t i = 0; i < r->item_count; i++) {
        const bbl_permit_item *item = &r->items[i];

        if (f->entry_hosts <= LOCAL_HOSTS_MAX + item->rate) {
            wire.items.items_val[wire.items.items_len++] = (bblx_permit_item){
                item->server, item->group, (u_int)(item->rate * 1000)};
        }
    }
    bbl_permit_book_grant(results, &f->local_permits, now,
                          LOCAL_SHARE_DIVISOR * f->entry_hosts, &wire);
    for (u_int i = 0; i < wire.items.items_len; i++) {
        bbl_backend *b = bbl_map_get(&f->pools.keys, results[i].server);

        if (results[i].granted) {
            bbl_rate_limit_add_permit(&b->limit, now,
                                      now + f->options.permit_ttl);
            granted = true;
        }
    }
    free(results);
    free(wire.items.items_val);
    return granted;
}

void
bbl_query_request_permits(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    bbl_usec timeout =
        q->route->target_latency_ms * BBL_USEC_PER_MS / REPLY_TIMEOUT_DIVISOR;
    open_request open = {f->last_permit_request + 1, now, q};
    bbl_permit_request r;

    if (bbl_query_awaits_permits(q, now)) {
        return;
    }
    f->permit_items.size = 0;
    for (unsigned i = 0; i < q->shard_count; i++) {
        if (q->shards[i].permit_wish != BBL_PERMIT_NONE) {
            add_items(f, now, q, i);
        }
    }
    if (f->permit_items.size == 0) {
        return;
    }
    f->last_permit_request++;
    q->permit_request = open.number;
    q->last_permit_request = open.number;
    q->permit_timeout_at =
        now + (timeout < REPLY_TIMEOUT_US ? timeout : REPLY_TIMEOUT_US);
    bbl_vec_push(&f->permit_requests, &open);
    r.number = open.number;
    r.urgent = q->priority <= q->table->most_urgent_priority;
    r.needed = count_needed(q);
    r.items = f->permit_items.ptr;
    r.item_count = f->permit_items.size;
    if (must_grant_locally(f, now) && grant_locally(f, now, &r)) {
        q->next_due_at = now;
    }
    f->counters.permit_requests++;
    f->options.port.request_permits(f->options.port.ctx, &r);
}

void
bbl_query_forget_permits(bbl_forwarder *f, const bbl_query *q)
{
    for (size_t i = 0; i < f->permit_requests.size; i++) {
        open_request *r = bbl_vec_at(&f->permit_requests, i);

        r->query = r->query == q ? NULL : r->query;
    }
}

/* Removes an open request; returns false if there is none. */
static bool
take_open_request(open_request *out, bbl_forwarder *f, uint64_t number)
{
    for (size_t i = 0; i < f->permit_requests.size; i++) {
        *out = *BBL_VEC_AT(open_request, &f->permit_requests, i);
        if (out->number == number) {
            bbl_vec_remove(&f->permit_requests, i);
            return true;
        }
    }
    return false;
}

void
bbl_forwarder_receive_permits(bbl_forwarder *f, bbl_usec now,
                              const bbl_permit_reply *reply)
{
    open_request r;

    if (!take_open_request(&r, f, reply->number)) {
        return;
    }
    f->permits_expired = 0;
    for (size_t i = 0; i < reply->result_count; i++) {
        const bbl_permit_result *result = &reply->results[i];
        bbl_backend *b = bbl_map_get(&f->pools.keys, result->server);

        if (b == NULL) {
            continue;
        }
        if (result->granted) {
            f->counters.permits++;
            bbl_rate_limit_add_permit(&b->limit, now,
                                      r.asked_at + f->options.permit_ttl);
        }
        else if (result->wait > 0) {
            f->counters.permits_refused++;
            bbl_rate_limit_refuse(&b->limit, now, result->wait, f->grantors);
        }
    }
    if (r.query != NULL && r.query->permit_request == r.number) {
        r.query->permit_request = 0;
        bbl_query_process(f, now, r.query);
    }
}

void
bbl_forwarder_expire_permit_requests(bbl_forwarder *f, bbl_usec now)
{
    while (f->permit_requests.size > 0 &&
           now > BBL_VEC_AT(open_request, &f->permit_requests, 0)->asked_at +
                     f->options.permit_ttl) {
        if (f->permits_expired++ == 0) {
            f->permits_expired_since = now;
        }
        bbl_vec_remove(&f->permit_requests, 0);
    }
}

void
bbl_forwarder_apply_limits(bbl_forwarder *f, const bbl_observed_limit *limits,
                           size_t count)
{
    for (size_t i = 0; i < count; i++) {
        bbl_backend *b = bbl_map_get(&f->pools.keys, limits[i].server);

        if (b != NULL && b->limit_serial != limits[i].serial) {
            b->limit_serial = limits[i].serial;
            bbl_rate_limit_update(&b->limit, limits[i].limited,
                                  limits[i].rate);
            f->limits_known = f->limits_known || limits[i].limited;
        }
    }
}
