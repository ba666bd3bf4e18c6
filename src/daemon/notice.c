#include "daemon/notice.h"

#include <stdlib.h>

#include "util/alloc.h"

/* Rates are sent in requests per 1000 s; this one means that there is none. */
#define NO_LIMIT UINT32_MAX
#define RATE_UNITS 1000.0

/* Fields of a report with phase BBLX_HEALTH, see proto/wire.x. */
#define LEVEL_BITS 2
#define CAUSE_SHIFT 2
#define CAUSE_BITS 3
#define SLOWNESS_SHIFT 5
#define SLOWNESS_BITS 7
#define REPORTER_SHIFT 12

static uint32_t
encode_rate(double rate)
{
    double units = rate * RATE_UNITS;

    return units < NO_LIMIT ? (uint32_t)units : NO_LIMIT - 1;
}

bbl_notice *
bbl_notice_new_rate_limit(const bbl_backend *b)
{
    bbl_notice *n = bbl_calloc(1, sizeof(*n));

    n->kind = BBL_NOTICE_RATE_LIMIT;
    n->server = b->key;
    n->rate = b->limit.limited ? encode_rate(b->limit.rate) : NO_LIMIT;
    return n;
}

bbl_notice *
bbl_notice_new_crash(uint64_t fingerprint, uint32_t generation)
{
    bbl_notice *n = bbl_calloc(1, sizeof(*n));

    n->kind = BBL_NOTICE_CRASH;
    n->fingerprint = fingerprint;
    n->generation = generation;
    return n;
}

static uint32_t
limit_bits(uint32_t value, unsigned bits)
{
    uint32_t max = (1u << bits) - 1;

    return value < max ? value : max;
}

bbl_notice *
bbl_notice_new_health(const bbl_observed_health *o)
{
    bbl_notice *n = bbl_calloc(1, sizeof(*n));

    n->kind = BBL_NOTICE_HEALTH;
    n->server = o->server;
    n->health = (uint32_t)o->level | (uint32_t)o->cause << CAUSE_SHIFT |
                limit_bits(o->slowness, SLOWNESS_BITS) << SLOWNESS_SHIFT |
                o->reporter << REPORTER_SHIFT;
    return n;
}

bbl_notice *
bbl_notice_new_permit_request(const bbl_permit_request *r)
{
    bbl_notice *n = bbl_calloc(1, sizeof(*n));
    bblx_permit_request *out = &n->permit_request;

    n->kind = BBL_NOTICE_PERMIT_REQUEST;
    out->number = r->number;
    out->urgent = r->urgent;
    out->needed = r->needed;
    out->items.items_len = (u_int)r->item_count;
    out->items.items_val = bbl_calloc(r->item_count, sizeof(bblx_permit_item));
    for (size_t i = 0; i < r->item_count; i++) {
        bblx_permit_item *item = &out->items.items_val[i];

        item->server = r->items[i].server;
        item->group = r->items[i].group;
        item->rate = encode_rate(r->items[i].rate);
    }
    return n;
}

bbl_notice *
bbl_notice_new_admission(uint32_t grantor, const bblx_message *message)
{
    bbl_notice *n = bbl_calloc(1, sizeof(*n));

    n->kind = BBL_NOTICE_ADMISSION;
    n->grantor = grantor;
    n->admission = *message;
    return n;
}

bbl_notice *
bbl_notice_new_rollout_counts(const bbl_rollout_tally *tally)
{
    bbl_notice *n = bbl_calloc(1, sizeof(*n));

    n->kind = BBL_NOTICE_ROLLOUT_COUNTS;
    bbl_rollout_tally_write(tally, &n->rollout_counts);
    return n;
}

void
bbl_notice_free(bbl_notice *n)
{
    if (n != NULL) {
        BBL_XDR_FREE(bblx_rollout_counts, &n->rollout_counts);
        free(n->permit_request.items.items_val);
        free(n);
    }
}

bbl_permit_reply *
bbl_permit_reply_new(const bblx_permit_reply *reply)
{
    u_int n = reply->results.results_len;
    bbl_permit_reply *out = bbl_calloc(1, sizeof(*out));
    bbl_permit_result *results = bbl_calloc(n, sizeof(*results));

    for (u_int i = 0; i < n; i++) {
        const bblx_permit_result *r = &reply->results.results_val[i];

        results[i] = (bbl_permit_result){r->server, r->granted, r->wait_us};
    }
    *out = (bbl_permit_reply){reply->number, results, n};
    return out;
}

void
bbl_permit_reply_free(bbl_permit_reply *reply)
{
    if (reply != NULL) {
        free((void *)reply->results);
        free(reply);
    }
}

void
bbl_observed_crash_read(bbl_observed_crash *out, const bblx_report *r)
{
    out->fingerprint = r->boot;
    out->generation = r->limit;
    out->serial = r->serial;
}

void
bbl_observed_health_read(bbl_observed_health *out, const bblx_report *r)
{
    uint32_t level = r->limit & ((1u << LEVEL_BITS) - 1);
    uint32_t cause = r->limit >> CAUSE_SHIFT & ((1u << CAUSE_BITS) - 1);

    out->server = r->boot;
    out->serial = r->serial;
    /* A later build may know more values than this one. */
    out->level =
        level <= BBL_HEALTH_BAD ? (bbl_health_level)level : BBL_HEALTH_WELL;
    out->cause = cause <= BBL_HEALTH_REFUSING ? (bbl_health_cause)cause
                                              : BBL_HEALTH_SILENT;
    out->slowness = r->limit >> SLOWNESS_SHIFT & ((1u << SLOWNESS_BITS) - 1);
    out->reporter = r->limit >> REPORTER_SHIFT;
}

void
bbl_observed_limit_read(bbl_observed_limit *out, const bblx_report *r)
{
    out->server = r->boot;
    out->serial = r->serial;
    out->limited = r->limit != NO_LIMIT;
    out->rate = r->limit / RATE_UNITS;
}

void
bbl_known_version_read(bbl_known_version *out, const bblx_report *r)
{
    out->server = r->boot;
    out->order = r->epoch;
    out->version = (bblx_server_version)r->limit;
}
