#include "forward/admission_ask.h"

#include <stdlib.h>
#include <string.h>

#include "admission/quota_book.h"
#include "forward/forwarder_core.h"
#include "util/alloc.h"

/* How long a grantor that did not answer is not asked. */
#define SILENT_GRANTOR_US (1 * BBL_USEC_PER_SEC)
/* Requests are remembered for so long, to return a token that arrives late; a
 * grantor would not take it back after that. */
#define OPEN_REQUEST_US (1 * BBL_USEC_PER_SEC)
/* Seed of the hash of an organisation's name; the same on all hosts. */
#define ORGANISATION_SEED 0x6f7267
/* Seed of the hash of the first service of a set of shards; the same on all
 * hosts. */
#define RESOURCE_SEED 0x6c6f6164
/* How long a host saves work of the servers after no grantor has answered. */
#define UNANSWERED_US (1 * BBL_USEC_PER_SEC)
/* Interval of the reports about an organisation that is over its limit. */
#define REPORT_INTERVAL_US (10 * BBL_USEC_PER_SEC)
/* Longest delay of a retry for the retries of requests refused before it. */
#define RETRY_DELAY_MAX_US (500 * BBL_USEC_PER_MS)
/* Limits of organisations above which those not in use are forgotten. */
#define LIMITS_MAX 1024
/* Random part of a retry time: one in this many. */
#define RETRY_SPREAD 8

/*
 * While a grantor has less than this left for an organisation, and for some
 * time after, its requests ask all grantors in turn. A grantor nearby that
 * many hosts ask would be used up while the others are full, and what a full
 * bucket earns is lost to the organisation.
 */
#define SPREAD_BELOW_PER_1000 800
#define SPREAD_US (2 * BBL_USEC_PER_SEC)

/* A request that a grantor has not answered yet. */
typedef struct {
    uint64_t number;
    bbl_query *query; /* NULL once the query does not await the reply */
    bbl_admit_subject subject;
    uint32_t grantor;
    unsigned position; /* of the grantor when it was asked */
    bbl_usec asked_at;
} open_request;

/* What the grantors have refused of one class of an organisation's requests.
 */
typedef struct {
    bbl_usec told_until;    /* when they expect a token */
    bbl_usec refused_until; /* requests are refused without asking */
    unsigned refused;       /* without asking, since the grantors were asked */
} class_limit;

/* An organisation that was over its limit, or near to it. */
typedef struct {
    uint64_t organisation;
    /* By bbl_quota_get_class. What is refused of a class is refused of the
     * less urgent ones too, but not of the more urgent ones. */
    class_limit classes[BBL_QUOTA_CLASSES];
    bbl_usec spread_until; /* see SPREAD_BELOW_PER_1000 */
    /* Since the last report. */
    unsigned unreported;
    unsigned unreported_asked;
    bbl_usec reported_at; /* 0: never */
} local_limit;

void
bbl_admission_asks_init(bbl_admission_asks *asks, uint64_t seed)
{
    memset(asks, 0, sizeof(*asks));
    asks->by_age = (bbl_vec)BBL_VEC_INIT(open_request *);
    /* Numbers of an earlier process of this host must not come again while a
     * grantor remembers them. */
    asks->last_number = bbl_hash(&seed, sizeof(seed), ORGANISATION_SEED);
    asks->turn = seed;
    asks->rng.state = seed;
}

void
bbl_admission_asks_free(bbl_admission_asks *asks)
{
    local_limit *l;
    size_t pos = 0;

    for (size_t i = 0; i < asks->by_age.size; i++) {
        free(*BBL_VEC_AT(open_request *, &asks->by_age, i));
    }
    bbl_vec_free(&asks->by_age);
    bbl_map_free(&asks->open);
    while ((l = bbl_map_next(&asks->limits, &pos)) != NULL) {
        free(l);
    }
    bbl_map_free(&asks->limits);
}

static bbl_admission_grantor *
find_grantor(bbl_admission_asks *asks, uint32_t host)
{
    for (unsigned i = 0; i < asks->grantor_count; i++) {
        if (asks->grantors[i].listed.host == host) {
            return &asks->grantors[i];
        }
    }
    return NULL;
}

void
bbl_admission_asks_set_grantors(bbl_admission_asks *asks,
                                const bbl_listed_grantor *listed,
                                unsigned count)
{
    bbl_admission_grantor grantors[BBL_ADMIT_GRANTORS_MAX];

    memset(grantors, 0, sizeof(grantors));
    count = count < BBL_ADMIT_GRANTORS_MAX ? count : BBL_ADMIT_GRANTORS_MAX;
    for (unsigned i = 0; i < count; i++) {
        const bbl_admission_grantor *known =
            find_grantor(asks, listed[i].host);

        if (known != NULL) {
            grantors[i] = *known;
        }
        grantors[i].listed = listed[i];
    }
    memcpy(asks->grantors, grantors, sizeof(grantors));
    asks->grantor_count = count;
}

/* ---- limits of organisations at this host ---- */

static uint64_t
get_organisation_key(const bbl_query *q)
{
    return bbl_hash(q->organisation->name.ptr, q->organisation->name.size,
                    ORGANISATION_SEED);
}

static uint64_t
get_resource_key(const bbl_query *q)
{
    const bbl_buf *name = &q->pressure_pool->name;

    return bbl_hash(name->ptr, name->size, RESOURCE_SEED);
}

/* Returns the mean number of slots of a shard, over all its servers. */
static uint32_t
get_shard_slots(const bbl_query *q)
{
    uint64_t slots = 0;

    for (unsigned i = 0; i < q->shard_count; i++) {
        const bbl_vec *backends = &q->shards[i].pool->backends;

        for (size_t k = 0; k < backends->size; k++) {
            uint32_t listed =
                (*BBL_VEC_AT(bbl_backend *, backends, k))->listed.slots;

            slots += listed > 0 ? listed : 1;
        }
    }
    return (uint32_t)(slots / q->shard_count);
}

/* Returns whether an organisation was not refused anything lately. */
static bool
is_unused(const local_limit *l, bbl_usec now)
{
    for (unsigned i = 0; i < BBL_QUOTA_CLASSES; i++) {
        if (now <= l->classes[i].refused_until + REPORT_INTERVAL_US) {
            return false;
        }
    }
    return now > l->spread_until;
}

/* Returns the limit that a query meets at this host: the one of its class or
 * of a more urgent one that lasts longest. */
static class_limit *
find_class_limit(local_limit *l, const bbl_query *q)
{
    unsigned class = bbl_quota_get_class(q->route->priority);
    class_limit *found = &l->classes[class];

    for (unsigned i = 0; i < class; i++) {
        if (l->classes[i].refused_until > found->refused_until) {
            found = &l->classes[i];
        }
    }
    return found;
}

/* Forgets the limits that are not in use once there are too many. */
static void
prune_limits(bbl_admission_asks *asks, bbl_usec now)
{
    bbl_map kept = BBL_MAP_INIT;
    local_limit *l;
    size_t pos = 0;

    if (asks->limits.size < LIMITS_MAX) {
        return;
    }
    while ((l = bbl_map_next(&asks->limits, &pos)) != NULL) {
        if (is_unused(l, now)) {
            free(l);
        }
        else {
            bbl_map_set(&kept, l->organisation, l);
        }
    }
    bbl_map_free(&asks->limits);
    asks->limits = kept;
}

static local_limit *
get_limit(bbl_admission_asks *asks, bbl_usec now, const bbl_query *q)
{
    uint64_t key = get_organisation_key(q);
    local_limit *l = bbl_map_get(&asks->limits, key);

    if (l == NULL) {
        prune_limits(asks, now);
        l = bbl_calloc(1, sizeof(*l));
        l->organisation = key;
        bbl_map_set(&asks->limits, key, l);
    }
    return l;
}

static void
report_refusals(bbl_forwarder *f, bbl_usec now, const bbl_query *q,
                local_limit *l)
{
    bbl_quota_record r = {q->organisation->name,
                          q->organisation->rate_per_s,
                          q->organisation->burst,
                          l->unreported,
                          l->unreported_asked,
                          l->reported_at != 0 ? now - l->reported_at : 0};

    if (l->reported_at != 0 && now < l->reported_at + REPORT_INTERVAL_US) {
        return;
    }
    l->reported_at = now;
    l->unreported = 0;
    l->unreported_asked = 0;
    f->options.port.report_quota(f->options.port.ctx, &r);
}

/* Refuses a query that a grantor has refused for load. The grantor has spread
 * the retry time. */
static void
refuse_load(bbl_forwarder *f, bbl_usec now, bbl_query *q, bbl_usec retry_after)
{
    f->counters.load_refused++;
    bbl_query_refuse(f, now, q, BBL_FORWARD_OVERLOAD, BBL_STATUS_UNAVAILABLE,
                     retry_after);
}

/* Refuses a query whose organisation is over its limit. */
static void
refuse_quota(bbl_forwarder *f, bbl_usec now, bbl_query *q,
             bbl_usec retry_after)
{
    const bbl_query_admission *a = &q->admission[BBL_ADMIT_QUOTA];
    local_limit *l = get_limit(&f->asks, now, q);

    if (a->asked != 0) {
        l->classes[bbl_quota_get_class(q->route->priority)] = (class_limit){
            now + a->wait, now + bbl_admit_get_local_refusal(a->wait), 0};
        l->unreported_asked++;
    }
    else {
        find_class_limit(l, q)->refused++;
        f->counters.quota_refused_locally++;
    }
    l->unreported++;
    report_refusals(f, now, q, l);
    bbl_query_refuse(
        f, now, q, BBL_FORWARD_QUOTA, BBL_STATUS_TOO_MANY_REQUESTS,
        retry_after + bbl_rng_below(&f->rng, retry_after / RETRY_SPREAD + 1));
}

/* ---- decisions ---- */

/* Describes what this host refuses of the query's organisation itself. */
static void
fill_local_limit(bbl_admit_subject_facts *out, const bbl_forwarder *f,
                 bbl_usec now, const bbl_query *q)
{
    local_limit *known;
    const class_limit *l;
    bbl_usec more;

    if (!out->needed || out->admitted ||
        (known = bbl_map_get(&f->asks.limits, get_organisation_key(q))) ==
            NULL) {
        return;
    }
    l = find_class_limit(known, q);
    if (now >= l->refused_until) {
        return;
    }
    out->refused_for = l->refused_until - now;
    out->retry_after = out->refused_for;
    if (l->told_until > l->refused_until) {
        out->retry_after = l->told_until - now;
    }
    /* Requests that were refused before are retried earlier. */
    more = (bbl_usec)(l->refused * (double)BBL_USEC_PER_SEC /
                      q->organisation->rate_per_s);
    out->retry_after += more < RETRY_DELAY_MAX_US ? more : RETRY_DELAY_MAX_US;
}

static void
fill_facts(bbl_admit_facts *out, const bbl_forwarder *f, bbl_usec now,
           const bbl_query *q)
{
    memset(out, 0, sizeof(*out));
    out->now = now;
    out->arrived_at = q->request.arrived_at;
    out->target = q->route->target_latency_ms * BBL_USEC_PER_MS;
    out->last_host = !bbl_query_may_delegate(f, now, q);
    out->passed_on = q->delegations > 0;
    out->grantors = f->asks.grantor_count;
    for (unsigned i = 0; i < f->asks.grantor_count; i++) {
        out->silent |= (unsigned)(now < f->asks.grantors[i].silent_until) << i;
    }
    for (int i = 0; i < BBL_ADMIT_SUBJECTS; i++) {
        const bbl_query_admission *a = &q->admission[i];
        bbl_admit_subject_facts *s = &out->subjects[i];

        s->needed = a->needed;
        s->admitted = a->admitted;
        s->asked = a->asked;
        s->refused = a->refused;
        s->asked_again = a->asked_again;
        s->awaits_reply = a->awaits_reply;
        s->asked_at = a->asked_at;
        s->wait = a->wait;
        s->waits = a->waits;
        s->first = a->first;
        s->second = a->second;
    }
    fill_local_limit(&out->subjects[BBL_ADMIT_QUOTA], f, now, q);
}

/* Stops to await the reply; a token that it brings is returned. */
static void
forget_request(bbl_forwarder *f, bbl_query_admission *a)
{
    open_request *r = bbl_map_get(&f->asks.open, a->number);

    if (r != NULL) {
        r->query = NULL;
    }
    a->awaits_reply = false;
}

/* Marks the grantor asked last as silent, unless it has replied since. */
static void
mark_silent(bbl_forwarder *f, bbl_usec now, bbl_query_admission *a)
{
    bbl_admission_grantor *g = find_grantor(&f->asks, a->grantor);

    forget_request(f, a);
    f->counters.admission_timeouts++;
    if (g != NULL && g->replied_at <= a->asked_at) {
        g->silent_until = now + SILENT_GRANTOR_US;
    }
}

static void
fill_load(bblx_admission_load *out, const bbl_forwarder *f, bbl_usec now,
          const bbl_query *q)
{
    bbl_admit_facts facts;

    fill_facts(&facts, f, now, q);
    out->resource = get_resource_key(q);
    out->slots = get_shard_slots(q);
    out->priority = q->priority;
    out->shards = q->shard_count;
    out->work_us = q->shard_count * q->timing->uncongested_time;
    out->target_us = (uint32_t)(q->target_at > now ? q->target_at - now : 0);
    out->deadline_us = (uint32_t)(q->deadline - now);
    out->wait_us = (uint32_t)bbl_admit_get_load_wait(&facts);
}

static void
fill_request(bblx_message *out, const bbl_forwarder *f, bbl_usec now,
             const bbl_query *q, bbl_admit_subject subject, uint64_t number)
{
    bool is_quota = subject == BBL_ADMIT_QUOTA;
    bblx_admission_request *r =
        is_quota ? &out->bblx_message_u.priority_request.request
                 : &out->bblx_message_u.admission_request;
    bblx_admission_quota *quota = &r->item.bblx_admission_item_u.quota;

    memset(out, 0, sizeof(*out));
    out->kind = is_quota ? BBLX_PRIORITY_REQUEST : BBLX_ADMISSION_REQUEST;
    r->number = number;
    if (is_quota) {
        out->bblx_message_u.priority_request.priority = q->route->priority;
        r->item.subject = BBLX_ADMISSION_QUOTA;
        quota->organisation = get_organisation_key(q);
        quota->rate = q->organisation->rate_per_s;
        quota->burst = q->organisation->burst;
        quota->routing = bbl_routing_version(q->table->routing);
    }
    else {
        r->item.subject = BBLX_ADMISSION_LOAD;
        fill_load(&r->item.bblx_admission_item_u.load, f, now, q);
    }
}

/* Asks a grantor. */
static void
ask(bbl_forwarder *f, bbl_usec now, bbl_query *q, const bbl_admit_decision *d)
{
    bbl_query_admission *a = &q->admission[d->subject];
    bbl_admission_grantor *g = &f->asks.grantors[d->grantor];
    open_request *r = bbl_calloc(1, sizeof(*r));
    bblx_message m;

    *r = (open_request){++f->asks.last_number, q,          d->subject,
                        g->listed.host,        d->grantor, now};
    bbl_map_set(&f->asks.open, r->number, r);
    bbl_vec_push(&f->asks.by_age, &r);
    if (g->silent_until != 0) {
        /* Until it replies to this one, other queries are not held up. */
        g->silent_until = now + SILENT_GRANTOR_US;
    }
    a->asked_again = a->asked != 0;
    a->asked |= 1u << d->grantor;
    a->awaits_reply = true;
    a->waits = false;
    a->asked_at = now;
    a->number = r->number;
    a->grantor = g->listed.host;
    f->counters.admission_requests++;
    fill_request(&m, f, now, q, d->subject, r->number);
    f->options.port.send_admission(f->options.port.ctx, r->grantor, &m);
}

/* Reports to the grantor asked last how a query ended, or that it will not
 * run. */
static void
report_load(bbl_forwarder *f, bbl_usec now, const bbl_query *q,
            uint32_t parts_sent, uint32_t parts_refused)
{
    const bbl_query_admission *a = &q->admission[BBL_ADMIT_LOAD];
    bblx_message m;
    bblx_admission_report *r = &m.bblx_message_u.admission_report;

    memset(&m, 0, sizeof(m));
    m.kind = BBLX_ADMISSION_REPORT;
    r->number = a->number;
    r->resource = get_resource_key(q);
    r->parts_sent = parts_sent;
    r->parts_refused = parts_refused;
    r->time_us = (uint32_t)(q->started ? now - q->started_at : 0);
    f->options.port.send_admission(f->options.port.ctx, a->grantor, &m);
}

bbl_admission_step
bbl_query_seek_admission(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    bbl_query_admission *load = &q->admission[BBL_ADMIT_LOAD];
    bbl_admit_facts facts;
    bbl_admit_decision d;

    if (now + BBL_TIME_LEFT_MIN_US > q->deadline) {
        bbl_query_fail(f, now, q, BBL_FORWARD_EXPIRED, BBL_STATUS_UNAVAILABLE);
        return BBL_ADMISSION_FINISHED;
    }
    fill_facts(&facts, f, now, q);
    bbl_admit_decide(&d, &facts);
    if (d.timed_out) {
        mark_silent(f, now, &q->admission[d.subject]);
        if (d.subject == BBL_ADMIT_LOAD) {
            /* If it has admitted the query, it is not to count there. */
            report_load(f, now, q, 0, 0);
        }
    }
    if (d.action == BBL_ADMIT_UNANSWERED && !facts.last_host) {
        if (d.may_delegate &&
            bbl_query_delegate(f, now, q, BBL_DELEGATE_UNADMITTED)) {
            return BBL_ADMISSION_WAITS;
        }
        facts.last_host = true; /* no peer takes it now */
        facts.subjects[d.subject].awaits_reply = false;
        bbl_admit_decide(&d, &facts);
    }
    switch (d.action) {
    case BBL_ADMIT_RUN:
        if (load->needed && !load->admitted) {
            load->needed = false; /* load_limit.h decides instead */
            f->counters.load_unanswered++;
            bbl_pressure_set_limited(&q->pressure_pool->pressure,
                                     now + UNANSWERED_US);
        }
        return BBL_ADMISSION_DONE;
    case BBL_ADMIT_ASK:
        ask(f, now, q, &d);
        break;
    case BBL_ADMIT_AWAIT:
        break;
    case BBL_ADMIT_REFUSE:
        if (d.subject == BBL_ADMIT_LOAD) {
            refuse_load(f, now, q, d.retry_after);
        }
        else {
            refuse_quota(f, now, q, d.retry_after);
        }
        return BBL_ADMISSION_FINISHED;
    case BBL_ADMIT_UNANSWERED:
        bbl_query_fail(f, now, q, BBL_FORWARD_UNADMITTED,
                       BBL_STATUS_UNAVAILABLE);
        return BBL_ADMISSION_FINISHED;
    }
    q->next_due_at = d.until < q->deadline ? d.until : q->deadline;
    return BBL_ADMISSION_WAITS;
}

/* ---- state of a query ---- */

void
bbl_query_init_admission(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    bbl_query_admission *a = &q->admission[BBL_ADMIT_QUOTA];
    const local_limit *l;
    unsigned near = 0;

    if (bbl_query_is_under_pressure(q, now) && f->asks.grantor_count > 0) {
        /* One grantor decides for all hosts: the first one that answers. */
        q->admission[BBL_ADMIT_LOAD].needed = true;
        q->admission[BBL_ADMIT_LOAD].first =
            (unsigned)(get_resource_key(q) % f->asks.grantor_count);
        q->admission[BBL_ADMIT_LOAD].second =
            (q->admission[BBL_ADMIT_LOAD].first + 1) % f->asks.grantor_count;
    }
    if (q->organisation == NULL || q->organisation->rate_per_s <= 0) {
        return;
    }
    a->needed = true;
    if (q->request.delegated.admitted) {
        bbl_usec age = q->request.delegated.admitted_for;

        a->admitted = true;
        a->asked_at = now > age ? now - age : 0;
    }
    l = bbl_map_get(&f->asks.limits, get_organisation_key(q));
    for (unsigned i = 0; i < f->asks.grantor_count; i++) {
        near |= (unsigned)f->asks.grantors[i].listed.near << i;
    }
    if (l != NULL && now < l->spread_until) {
        near = 0;
    }
    a->first =
        bbl_admit_choose_first(f->asks.grantor_count, near, f->asks.turn++);
    /* Of a burst, what the first grantor refuses is spread over the others. */
    a->second = (unsigned)bbl_rng_below(&f->asks.rng, f->asks.grantor_count);
}

/* Returns the token of a query to the grantor that has given it. */
static void
return_token(bbl_forwarder *f, uint32_t grantor, uint64_t number,
             uint64_t organisation)
{
    bblx_message m;

    memset(&m, 0, sizeof(m));
    m.kind = BBLX_ADMISSION_REPORT;
    m.bblx_message_u.admission_report.number = number;
    m.bblx_message_u.admission_report.organisation = organisation;
    f->counters.admission_returns++;
    f->options.port.send_admission(f->options.port.ctx, grantor, &m);
}

/* Resets the admission for a subject, and returns a token that is held. */
static void
reset_subject(bbl_forwarder *f, bbl_usec now, bbl_query *q,
              bbl_admit_subject subject)
{
    bbl_query_admission *a = &q->admission[subject];
    bbl_query_admission fresh = {
        .needed = a->needed, .first = a->first, .second = a->second};

    if (subject == BBL_ADMIT_LOAD && a->awaits_reply) {
        report_load(f, now, q, 0, 0);
    }
    forget_request(f, a);
    if (a->admitted && a->number != 0 && subject == BBL_ADMIT_QUOTA) {
        return_token(f, a->grantor, a->number, get_organisation_key(q));
    }
    *a = fresh;
}

bool
bbl_query_is_admitted(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    bbl_query_admission *a = &q->admission[BBL_ADMIT_QUOTA];

    if (a->needed && a->admitted && !bbl_query_may_have_run(q) &&
        now > a->asked_at + f->options.token_time) {
        /* A token used this late would count in a later window than the one
         * in which it was given. */
        reset_subject(f, now, q, BBL_ADMIT_QUOTA);
    }
    for (int i = 0; i < BBL_ADMIT_SUBJECTS; i++) {
        if (q->admission[i].needed && !q->admission[i].admitted) {
            return false;
        }
    }
    return true;
}

void
bbl_query_withdraw_asks(bbl_forwarder *f, bbl_usec now, bbl_query *q)
{
    for (int i = 0; i < BBL_ADMIT_SUBJECTS; i++) {
        if (q->admission[i].needed && !q->admission[i].admitted) {
            reset_subject(f, now, q, (bbl_admit_subject)i);
        }
    }
}

void
bbl_query_end_admission(bbl_forwarder *f, bbl_usec now, bbl_query *q, bool ran)
{
    for (int i = 0; i < BBL_ADMIT_SUBJECTS; i++) {
        bbl_query_admission *a = &q->admission[i];

        if (!a->needed) {
            continue;
        }
        if (a->admitted && i == BBL_ADMIT_LOAD) {
            bool load = bbl_pressure_tells_load(&q->pressure_pool->pressure);

            report_load(f, now, q, q->record.attempt_count,
                        load ? q->parts_refused : 0);
        }
        if (a->admitted && ran) {
            forget_request(f, a);
        }
        else {
            reset_subject(f, now, q, (bbl_admit_subject)i);
        }
    }
}

/* ---- replies ---- */

/* Applies what a reply says about load in general. */
static void
apply_load_reply(bbl_forwarder *f, bbl_usec now, bbl_query *q,
                 const bblx_admission_reply *reply)
{
    bbl_query_admission *a = &q->admission[BBL_ADMIT_LOAD];

    a->waits = reply->outcome == BBLX_WAITS;
    a->wait = reply->wait_us;
    f->counters.load_admitted += reply->outcome == BBLX_ADMITTED;
    if (reply->ask_us > 0) {
        bbl_pressure_set_limited(&q->pressure_pool->pressure,
                                 now + reply->ask_us);
    }
    q->record.load_asked = true;
    q->record.load = *reply;
}

/* Applies a reply that its query awaits. */
static void
apply_reply(bbl_forwarder *f, bbl_usec now, const open_request *r,
            const bblx_admission_reply *reply)
{
    bbl_query *q = r->query;
    bbl_query_admission *a = &q->admission[r->subject];

    if (r->subject == BBL_ADMIT_LOAD) {
        apply_load_reply(f, now, q, reply);
    }
    a->awaits_reply = a->waits;
    if (a->waits) {
        q->next_due_at = now; /* it awaits the reply longer */
        return;
    }
    if (r->subject == BBL_ADMIT_QUOTA &&
        reply->left_per_1000 < SPREAD_BELOW_PER_1000) {
        get_limit(&f->asks, now, q)->spread_until = now + SPREAD_US;
    }
    if (reply->outcome == BBLX_ADMITTED) {
        a->admitted = true;
        a->asked_at = r->asked_at;
    }
    else {
        f->counters.admission_refusals++;
        a->refused |= 1u << r->position;
        a->wait = a->wait == 0 || reply->wait_us < a->wait ? reply->wait_us
                                                           : a->wait;
    }
    bbl_query_process(f, now, q);
}

void
bbl_forwarder_receive_admission(bbl_forwarder *f, bbl_usec now,
                                uint32_t grantor,
                                const bblx_admission_reply *reply)
{
    open_request *r = bbl_map_get(&f->asks.open, reply->number);
    bbl_admission_grantor *g = find_grantor(&f->asks, grantor);
    open_request taken;

    if (g != NULL) {
        g->replied_at = now;
        g->silent_until = 0;
    }
    if (r == NULL || r->grantor != grantor) {
        return;
    }
    taken = *r;
    if (reply->outcome != BBLX_WAITS) {
        bbl_map_remove(&f->asks.open, r->number);
        r->query = NULL;
    }
    f->counters.admission_replies++;
    if (taken.query != NULL &&
        taken.query->admission[taken.subject].number == taken.number &&
        (taken.subject == BBL_ADMIT_LOAD ||
         now <= taken.asked_at + f->options.token_time)) {
        apply_reply(f, now, &taken, reply);
    }
    else if (reply->outcome == BBLX_ADMITTED &&
             taken.subject == BBL_ADMIT_QUOTA) {
        /* Any number but 0 tells that it is a token; the grantor knows whose.
         */
        return_token(f, grantor, taken.number, UINT64_MAX);
    }
}

void
bbl_forwarder_forget_asks(bbl_forwarder *f, bbl_usec now)
{
    bbl_vec *v = &f->asks.by_age;
    size_t old = 0;

    while (old < v->size) {
        open_request *r = *BBL_VEC_AT(open_request *, v, old);

        if (now <= r->asked_at + OPEN_REQUEST_US) {
            break;
        }
        if (bbl_map_get(&f->asks.open, r->number) == r) {
            bbl_map_remove(&f->asks.open, r->number);
        }
        free(r);
        old++;
    }
    if (old == 0) {
        return;
    }
    v->size -= old;
    memmove(v->ptr, (open_request **)v->ptr + old, v->size * v->item_size);
}
