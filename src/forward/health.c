/*
 * What this host sees of the health of its servers, and what it tells the
 * others of it; server_health.c decides.
 */
#include "forward/forwarder_core.h"

/* Interval of the checks for late attempts. */
#define CHECK_INTERVAL_US (25 * BBL_USEC_PER_MS)
/*
 * After a longer time between two checks this host was delayed, or had nothing
 * in flight: responses may wait unread.
 */
#define CHECK_GAP_US (60 * BBL_USEC_PER_MS)
/* While the responses to a query follow each other, more of them are queued
 * on the link. */
#define QUIET_US (5 * BBL_USEC_PER_MS)
/* A server that has not answered for longer hangs. */
#define SILENT_US (400 * BBL_USEC_PER_MS)
/* Own results that are older do not outweigh those of other hosts. */
#define FRESH_US (1 * BBL_USEC_PER_SEC)

bool
bbl_forwarder_shares_health(const bbl_forwarder *f)
{
    return f->entry_hosts > BBL_HEALTH_SMALL_FLEET;
}

/* Applies an observation of another host, or of this one. */
static void
apply(bbl_usec now, bbl_backend *b, const bbl_observed_health *o)
{
    bbl_health_level before = bbl_server_health_get_level(&b->health, now);

    bbl_server_health_apply(&b->health, now, o);
    if (before == BBL_HEALTH_BAD &&
        bbl_server_health_get_level(&b->health, now) == BBL_HEALTH_WELL &&
        now > b->rated_at + FRESH_US) {
        /* It gets its work back at once, not when the own ratings fade. */
        bbl_backend_forget_ratings(b);
    }
}

void
bbl_forwarder_apply_health(bbl_forwarder *f, bbl_usec now,
                           const bbl_observed_health *observed, size_t count)
{
    if (!bbl_forwarder_shares_health(f)) {
        return;
    }
    for (size_t i = 0; i < count; i++) {
        bbl_backend *b = bbl_map_get(&f->pools.keys, observed[i].server);

        if (b != NULL) {
            apply(now, b, &observed[i]);
        }
    }
}

/* Sends a row to the other hosts if one is left. Returns whether it was. */
static bool
publish(bbl_forwarder *f, bbl_usec now, const bbl_backend *b,
        bbl_observed_health *o)
{
    if (!bbl_health_witness_take_row(&f->witness, now, o->level)) {
        return false;
    }
    o->server = b->key;
    f->counters.health_rows++;
    f->options.port.publish_health(
        f->options.port.ctx, b, o,
        bbl_server_health_get_level(&b->health, now));
    return true;
}

/* Tells the others of own evidence that was counted before. */
static void
judge_bad(bbl_forwarder *f, bbl_usec now, bbl_backend *b,
          const bbl_health_evidence *e)
{
    bbl_observed_health o;

    if (bbl_reach_get_level(&f->reach) == BBL_REACH_MOST &&
        bbl_health_witness_is_credible(&f->witness) &&
        bbl_server_health_judge_bad(&o, &b->health, now, f->witness.self, e) &&
        publish(f, now, b, &o)) {
        bbl_server_health_apply(&b->health, now, &o);
    }
}

void
bbl_backend_record_bad(bbl_forwarder *f, bbl_usec now, bbl_backend *b,
                       const bbl_health_evidence *e, bool repeated)
{
    if (bbl_forwarder_shares_health(f)) {
        if (!repeated) {
            bbl_health_witness_count(&f->witness, now, false);
        }
        judge_bad(f, now, b, e);
    }
}

void
bbl_backend_record_response(bbl_forwarder *f, bbl_usec now, bbl_attempt *a,
                            bbl_usec duration, bbl_usec ready_since)
{
    bbl_usec service = a->timing->service_time;
    bbl_usec earliest = ready_since != 0 ? ready_since : now;
    /* What the server took at least: this host may have read it late. */
    bbl_usec shortest = earliest > a->sent_at ? earliest - a->sent_at : 0;
    bbl_observed_health o;

    if (!bbl_forwarder_shares_health(f)) {
        return;
    }
    shortest = shortest < duration ? shortest : duration;
    if (bbl_health_is_usual_time(duration, service)) {
        bbl_health_witness_count(&f->witness, now, true);
        if (bbl_server_health_judge_good(&o, &a->backend->health, now,
                                         f->witness.self, a->sent_at)) {
            publish(f, now, a->backend, &o);
            bbl_server_health_apply(&a->backend->health, now, &o);
        }
    }
    else if (shortest >= bbl_health_get_late_time(service) &&
             !a->load_limit->congested) {
        bbl_health_evidence e = {BBL_HEALTH_SLOW,
                                 (unsigned)(shortest / service), a->sent_at};

        if (!a->late) {
            bbl_health_witness_count(&f->witness, now, false);
        }
        judge_bad(f, now, a->backend, &e);
    }
}

/* Returns how long an attempt has been watched without an answer. */
static bbl_usec
get_watched(const bbl_forwarder *f, bbl_usec now, const bbl_attempt *a)
{
    bbl_usec since =
        a->sent_at > f->watched_since ? a->sent_at : f->watched_since;

    return now > since ? now - since : 0;
}

/*
 * Returns whether an attempt has no answer in time, though it was sent and
 * this host has got another response since, and not for queues at all servers.
 */
static bool
is_late(const bbl_forwarder *f, bbl_usec now, const bbl_attempt *a)
{
    return f->reach.contact_at > a->sent_at && !a->load_limit->congested &&
           (a->query == NULL || now >= a->query->responded_at + QUIET_US) &&
           get_watched(f, now, a) >=
               bbl_health_get_late_time(a->timing->service_time) &&
           f->options.port.is_sent(f->options.port.ctx, a);
}

/* Counts the late attempts first, so that many of them at once tell nothing.
 */
static unsigned
count_late(bbl_forwarder *f, bbl_usec now)
{
    bbl_backend *b;
    size_t pos = 0;
    unsigned count = 0;

    while ((b = bbl_map_next(&f->pools.backends, &pos)) != NULL) {
        bbl_attempt *a = b->attempts;

        if (a != NULL && is_late(f, now, a)) {
            count++;
            if (!a->late) {
                a->late = true;
                bbl_health_witness_count(&f->witness, now, false);
            }
        }
    }
    return count;
}

static void
judge_late(bbl_forwarder *f, bbl_usec now)
{
    bbl_backend *b;
    size_t pos = 0;

    while ((b = bbl_map_next(&f->pools.backends, &pos)) != NULL) {
        const bbl_attempt *a = b->attempts;
        bbl_usec watched = a != NULL ? get_watched(f, now, a) : 0;

        if (a != NULL && is_late(f, now, a)) {
            bbl_health_evidence e = {
                watched >= SILENT_US ? BBL_HEALTH_SILENT : BBL_HEALTH_SLOW,
                (unsigned)(watched / a->timing->service_time), a->sent_at};

            judge_bad(f, now, b, &e);
        }
    }
}

bbl_usec
bbl_forwarder_check_health(bbl_forwarder *f, bbl_usec now)
{
    if (!bbl_forwarder_shares_health(f) ||
        (f->queries.size == 0 && f->detached_attempts.size == 0)) {
        return BBL_FOREVER;
    }
    if (now < f->health_checked_at + CHECK_INTERVAL_US) {
        return f->health_checked_at + CHECK_INTERVAL_US;
    }
    if (now > f->health_checked_at + CHECK_GAP_US) {
        f->watched_since = now;
    }
    f->health_checked_at = now;
    if (count_late(f, now) > 0) {
        judge_late(f, now);
    }
    return now + CHECK_INTERVAL_US;
}

bool
bbl_shard_is_probe_due(bbl_forwarder *f, bbl_usec now, const bbl_query *q,
                       const bbl_shard *s)
{
    return s->attempts_sent == 0 && q->route->idempotent &&
           q->route->max_attempts > 1 && bbl_forwarder_shares_health(f) &&
           bbl_placement_has_choice_of_health(s->pool->backends.ptr,
                                              s->pool->backends.size, now) &&
           bbl_rng_below(&f->rng, BBL_HEALTH_PROBE_INTERVAL) == 0;
}

bool
bbl_pool_has_better(const bbl_pool *pool, const bbl_backend *b, bbl_usec now)
{
    return bbl_server_health_get_level(&b->health, now) == BBL_HEALTH_BAD &&
           bbl_placement_has_choice_of_health(pool->backends.ptr,
                                              pool->backends.size, now);
}

unsigned
bbl_forwarder_count_rated_bad(const bbl_forwarder *f, bbl_usec now)
{
    const bbl_backend *b;
    size_t pos = 0;
    unsigned count = 0;

    while ((b = bbl_map_next(&f->pools.backends, &pos)) != NULL) {
        count +=
            bbl_server_health_get_level(&b->health, now) == BBL_HEALTH_BAD;
    }
    return count;
}
