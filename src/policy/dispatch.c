#include "policy/dispatch.h"

#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "control/fault.h"
#include "policy/fair_queue.h"
#include "util/alloc.h"
#include "util/buf.h"
#include "util/histogram.h"

/* A limit grows by 1 after this number of successes, times the limit. */
#define SUCCESSES_PER_LIMIT_UNIT 2
/* A run is overlong if it takes more than this multiple of the baseline. */
#define OVERLONG_FACTOR 4
#define OVERLONG_RUNS_TO_COLD 4 /* consecutive, mark a searcher cold */
#define SERVICE_SHIFT 4         /* weight of a new service time: 1/16 */
#define BASELINE_SHIFT 8        /* weight in the baseline: 1/256 */
#define BASELINE_SAMPLES 64     /* successes before the baseline is used */
/* An info page may show the state of up to this long ago. */
#define LEAVING_RECHECK_US (10 * BBL_USEC_PER_SEC)
#define RUN_SAMPLES_MAX 20000u /* the histogram decays at this count */
#define DOWN_FAILURES 3        /* consecutive, mark a searcher down */
#define DOWN_PAUSE_MIN_US (200 * BBL_USEC_PER_MS)
#define DOWN_PAUSE_MAX_US (5 * BBL_USEC_PER_SEC)
#define UNRESPONSIVE_FACTOR 3    /* unresponsive after 3 times slow_after */
#define SLOW_UPDATE_SAMPLES 256u /* run times per update of slow_after */
/* Share of a customer plan that is no longer in the lists. */
#define UNLISTED_PLAN_SHARE_PPM 1000u

typedef struct sub_request sub_request;

/* Query text shared by the sub-requests of one bblx_sub_request. */
typedef struct {
    unsigned ref_count;
    char *ptr;
    size_t size;
} shared_text;

/* One sub-request, queued or running. */
struct sub_request {
    bbl_fair_item fair; /* must be first, see dequeue_sub_request */
    bblx_query_id query;
    uint32_t host; /* entry host that gets the result */
    uint32_t sub_number;
    uint32_t shard;
    uint32_t searcher;
    uint64_t version;
    uint64_t exchange_id; /* 0: queued */
    bbl_usec deadline;
    bbl_usec started;
    bool repeatable;
    bool cancelled; /* by the entry host */
    bool reported_slow;
    bool cancelled_by_owner; /* because the searcher did not respond */
    shared_text *text;
};

/* One searcher that this daemon owns or has owned. */
typedef struct {
    uint32_t searcher;
    uint64_t epoch;
    bblx_address address;
    uint32_t slots;
    uint32_t connections;
    bbl_name zone;
    bblx_phase phase;
    bbl_usec takeover_until;  /* end of the takeover delay */
    bbl_usec leaving_since;   /* latest change to the phase LEAVING */
    uint32_t limit;           /* exchanges that may run at once */
    uint32_t successes;       /* number of successes since the limit grew */
    uint32_t running;         /* slots in use, including reserved_slots */
    uint32_t overlong_runs;   /* number of consecutive overlong runs */
    bbl_usec last_response;   /* time of the latest response */
    uint32_t failures;        /* number of consecutive failures */
    bbl_usec down_pause;      /* last pause; 0: none since a success */
    bbl_usec down_until;      /* end of the pause */
    uint64_t boot;            /* boot id; 0: unknown */
    uint64_t smoothed_us;     /* moving average of the service time */
    uint64_t baseline_us;     /* long-term average while warm */
    int64_t baseline_samples; /* successes in it, maximum BASELINE_SAMPLES */
    bool listed_leaving;      /* leaving according to the platform's list */
    bool handing_over;        /* released to another owner once nothing runs */
    bool owned;
    bbl_fair_queue queue;
    bblx_index *indexes;
    size_t index_count;
    uint64_t indexes_hash;
    uint64_t reported_hash; /* hash of the last report; 0: none sent */
} searcher_row;

/* Results for one host that are sent by the next flush. */
typedef struct {
    uint32_t host;
    uint64_t incarnation;
    bbl_vec results; /* bblx_sub_result, bodies owned */
} result_batch;

/*
 * A slot whose exchange broke off. It stays in use until the deadline of the
 * exchange, since the searcher may still run the request.
 */
typedef struct {
    uint32_t searcher;
    bbl_usec until;
} reserved_slot;

struct bbl_dispatch {
    bbl_dispatch_options options;
    const bbl_view *view;
    bbl_usec lease_until;
    bool draining;
    bbl_vec rows;           /* searcher_row */
    bbl_map by_id;          /* searcher -> index in rows + 1 */
    bbl_map sub_requests;   /* hash of query and sub_number -> sub_request */
    bbl_map exchanges;      /* exchange id -> sub_request */
    bbl_vec reserved_slots; /* reserved_slot */
    bbl_vec batches;        /* result_batch */
    bbl_vec loads;          /* bblx_load, scratch */
    bbl_histogram runs;     /* run times in microseconds */
    bbl_usec slow_after;    /* longer runs are slow; 0: not yet known */
    unsigned new_runs;      /* run times since slow_after was computed */
    uint64_t next_exchange;
    bbl_dispatch_counters counters;
};

/* ---- limit policies ---- */

static uint32_t
all_slots(uint32_t slots, uint32_t daemons)
{
    (void)daemons;
    return slots;
}

static uint32_t
equal_share(uint32_t slots, uint32_t daemons)
{
    return slots / daemons > 0 ? slots / daemons : 1;
}

const bbl_limit_policy bbl_limit_owner = {"owner", all_slots};
const bbl_limit_policy bbl_limit_equal_share = {"static-share", equal_share};

/* ---- sub-requests ---- */

static uint64_t
sub_request_key(const bblx_query_id *query, uint32_t sub)
{
    uint64_t words[4] = {query->host, query->incarnation, query->seq, sub};

    return bbl_hash(words, sizeof(words), 5);
}

static void
release_text(shared_text *text)
{
    if (--text->ref_count == 0) {
        free(text->ptr);
        free(text);
    }
}

static void
free_sub_request(bbl_dispatch *d, sub_request *item)
{
    bbl_map_remove(&d->sub_requests,
                   sub_request_key(&item->query, item->sub_number));
    if (item->exchange_id != 0) {
        bbl_map_remove(&d->exchanges, item->exchange_id);
    }
    release_text(item->text);
    free(item);
}

static searcher_row *
find_row(const bbl_dispatch *d, uint32_t searcher)
{
    uintptr_t position = (uintptr_t)bbl_map_get(&d->by_id, searcher);

    return position ? bbl_vec_at(&d->rows, position - 1) : NULL;
}

/* ---- replies and reports ---- */

static result_batch *
get_batch(bbl_dispatch *d, uint32_t host, uint64_t incarnation)
{
    result_batch *b;

    for (size_t i = 0; i < d->batches.size; i++) {
        b = bbl_vec_at(&d->batches, i);
        if (b->host == host && b->incarnation == incarnation) {
            return b;
        }
    }
    b = bbl_vec_add(&d->batches);
    b->host = host;
    b->incarnation = incarnation;
    b->results = (bbl_vec)BBL_VEC_INIT(bblx_sub_result);
    return b;
}

/* Adds a result, with a copy of its body, to the next flush. */
static void
queue_result(bbl_dispatch *d, uint32_t host, const bblx_query_id *query,
             const bblx_sub_result *result)
{
    result_batch *b = get_batch(d, host, query->incarnation);
    bblx_sub_result *to = bbl_vec_add(&b->results);

    *to = *result;
    to->seq = query->seq;
    to->body.bblx_text_val = NULL;
    if (result->body.bblx_text_len > 0) {
        bbl_wire_text_replace(&to->body, bbl_wire_text_str(&result->body));
    }
}

static void
queue_sub_request_result(bbl_dispatch *d, const sub_request *item,
                         bblx_sub_status status, uint64_t version,
                         uint32_t service_us, bbl_str body)
{
    bblx_sub_result r;

    memset(&r, 0, sizeof(r));
    r.sub = item->sub_number;
    r.searcher = item->searcher;
    r.status = status;
    r.index_version = version;
    r.service_us = service_us;
    r.body = bbl_wire_text_borrow(body);
    queue_result(d, item->host, &item->query, &r);
}

static void
free_results(result_batch *b)
{
    for (size_t i = 0; i < b->results.size; i++) {
        BBL_XDR_FREE(bblx_sub_result, bbl_vec_at(&b->results, i));
    }
    bbl_vec_free(&b->results);
}

static void
collect_loads(bbl_dispatch *d)
{
    d->loads.size = 0;
    for (size_t i = 0; i < d->rows.size; i++) {
        const searcher_row *row = bbl_vec_at(&d->rows, i);
        bblx_load load = {row->searcher, row->running + row->queue.size};

        if (row->owned) {
            bbl_vec_push(&d->loads, &load);
        }
    }
}

void
bbl_dispatch_flush(bbl_dispatch *d)
{
    if (d->batches.size == 0) {
        return;
    }
    collect_loads(d);
    for (size_t i = 0; i < d->batches.size; i++) {
        result_batch *b = bbl_vec_at(&d->batches, i);
        bblx_sub_results out;

        out.incarnation = b->incarnation;
        out.results.results_len = (u_int)b->results.size;
        out.results.results_val = b->results.ptr;
        out.loads.loads_len = (u_int)d->loads.size;
        out.loads.loads_val = d->loads.ptr;
        d->options.port.reply(d->options.port.ctx, b->host, &out);
        free_results(b);
    }
    d->batches.size = 0;
}

static uint64_t
report_hash(const searcher_row *row)
{
    uint64_t words[5] = {row->epoch, row->boot, row->phase, row->limit,
                         row->indexes_hash};

    return bbl_hash(words, sizeof(words), 11) | 1;
}

static void
report_state(bbl_dispatch *d, searcher_row *row)
{
    bblx_report r;
    uint64_t hash = report_hash(row);

    if (hash == row->reported_hash || row->boot == 0) {
        return;
    }
    row->reported_hash = hash;
    memset(&r, 0, sizeof(r));
    r.searcher = row->searcher;
    r.epoch = row->epoch;
    r.boot = row->boot;
    r.phase = row->phase;
    r.limit = row->limit;
    r.indexes.indexes_len = (u_int)row->index_count;
    r.indexes.indexes_val = row->indexes;
    d->options.port.report(d->options.port.ctx, &r);
}

/* ---- phases ---- */

static uint32_t
warm_limit(const bbl_dispatch *d, const searcher_row *row)
{
    uint32_t daemons = d->view ? bbl_view_live_count(d->view) : 1;

    return d->options.limit_policy->warm_limit(row->slots, daemons);
}

static void
mark_cold(bbl_dispatch *d, searcher_row *row)
{
    if (row->phase == BBLX_HELD || row->phase == BBLX_LEAVING ||
        row->phase == BBLX_RELEASED) {
        return;
    }
    if (row->phase == BBLX_WARM) {
        d->counters.warm_to_cold++;
    }
    row->phase = BBLX_COLD;
    row->limit = 1;
    row->successes = 0;
    row->overlong_runs = 0;
    report_state(d, row);
}

static void
mark_leaving(searcher_row *row, bbl_usec now)
{
    if (row->phase != BBLX_LEAVING) {
        row->phase = BBLX_LEAVING;
        row->leaving_since = now;
    }
}

/*
 * Counts a success of a cold searcher. Raises its limit by 1 after enough of
 * them and marks it warm at the limit for warm searchers.
 */
static void
grow_limit(bbl_dispatch *d, searcher_row *row)
{
    uint32_t maximum = warm_limit(d, row);

    if (row->phase != BBLX_COLD) {
        return;
    }
    row->successes++;
    if (row->successes >= SUCCESSES_PER_LIMIT_UNIT * row->limit) {
        row->successes = 0;
        row->limit++;
    }
    if (row->limit >= maximum) {
        row->limit = maximum;
        row->phase = BBLX_WARM;
    }
    report_state(d, row);
}

/*
 * Updates the baseline service time: the mean of the first BASELINE_SAMPLES
 * successes, then a moving average.
 */
static void
update_baseline(searcher_row *row, uint64_t us)
{
    int64_t diff = (int64_t)us - (int64_t)row->baseline_us;

    if (row->baseline_samples < BASELINE_SAMPLES) {
        row->baseline_samples++;
        row->baseline_us = (uint64_t)((int64_t)row->baseline_us +
                                      diff / row->baseline_samples);
        return;
    }
    row->baseline_us =
        (uint64_t)((int64_t)row->baseline_us + diff / (1 << BASELINE_SHIFT));
}

/* Records a service time; consecutive overlong runs mark the searcher cold. */
static void
record_service_time(bbl_dispatch *d, searcher_row *row, uint64_t us)
{
    bool overlong = row->phase == BBLX_WARM &&
                    row->baseline_samples == BASELINE_SAMPLES &&
                    us > OVERLONG_FACTOR * row->baseline_us;

    if (row->smoothed_us == 0) {
        row->smoothed_us = us;
    }
    row->smoothed_us +=
        (us >> SERVICE_SHIFT) - (row->smoothed_us >> SERVICE_SHIFT);
    if (!overlong) {
        row->overlong_runs = 0;
        if (row->phase == BBLX_WARM) {
            update_baseline(row, us);
        }
        return;
    }
    row->overlong_runs++;
    if (row->overlong_runs >= OVERLONG_RUNS_TO_COLD) {
        mark_cold(d, row);
    }
}

static void
observe_boot(bbl_dispatch *d, searcher_row *row, uint64_t boot)
{
    if (boot == 0 || boot == row->boot) {
        return;
    }
    row->boot = boot;
    if (row->phase == BBLX_LEAVING && !row->listed_leaving) {
        row->phase = BBLX_COLD; /* a new process is not shutting down */
    }
    row->failures = 0;
    mark_cold(d, row);
    report_state(d, row);
}

/* ---- queues ---- */

static uint32_t
plan_share(void *ctx, const bbl_name *plan)
{
    const bbl_dispatch *d = ctx;
    const bbl_lists *lists = bbl_view_lists(d->view);
    const bbl_plan *p = lists ? bbl_lists_plan_by_name(lists, plan) : NULL;

    return p ? p->share_ppm : UNLISTED_PLAN_SHARE_PPM;
}

/* Removes and returns the next sub-request of a queue, or returns NULL. */
static sub_request *
dequeue_sub_request(bbl_dispatch *d, searcher_row *row)
{
    /* The bbl_fair_item is the first member of sub_request. */
    return (sub_request *)bbl_fair_queue_dequeue(&row->queue, plan_share, d);
}

/* ---- starting exchanges ---- */

/* Returns whether to refuse a sub-request; sets the counter of the reason. */
static bool
should_refuse(bbl_dispatch *d, const searcher_row *row,
              const sub_request *item, bbl_usec now, uint64_t **counter)
{
    const bbl_lists *lists = bbl_view_lists(d->view);
    const bbl_plan *plan =
        lists ? bbl_lists_plan_by_name(lists, &item->fair.plan) : NULL;

    if (now + row->smoothed_us / 2 >= item->deadline) {
        *counter = &d->counters.dropped_late;
        return true;
    }
    if (lists != NULL && !BBL_FAULT(BBL_FAULT_USE_WITHDRAWN_ZONE) &&
        bbl_lists_zone_withdrawn_for_plan(lists, plan, &row->zone)) {
        *counter = &d->counters.withdrawn;
        return true;
    }
    return false;
}

static void
start_exchange(bbl_dispatch *d, searcher_row *row, sub_request *item,
               bbl_usec now)
{
    bbl_exchange e;

    item->exchange_id = ++d->next_exchange;
    item->started = now;
    bbl_map_set(&d->exchanges, item->exchange_id, item);
    row->running++;
    d->counters.started++;
    d->counters.hedges += item->fair.expedited;
    memset(&e, 0, sizeof(e));
    e.exchange_id = item->exchange_id;
    e.searcher = row->searcher;
    e.address = row->address;
    e.connections = row->connections;
    e.shard = item->shard;
    e.version = item->version;
    e.deadline = item->deadline;
    e.repeatable = item->repeatable;
    e.query = item->query;
    e.sub_number = item->sub_number;
    e.text = (bbl_str){item->text->ptr, item->text->size};
    d->options.port.start(d->options.port.ctx, &e);
    if (item->fair.expedited) {
        queue_sub_request_result(d, item, BBLX_SUB_STARTED, 0, 0,
                                 (bbl_str){NULL, 0});
    }
}

static void
refuse_sub_request(bbl_dispatch *d, sub_request *item)
{
    queue_sub_request_result(d, item, BBLX_SUB_NOT_RUN, 0, 0,
                             (bbl_str){NULL, 0});
    free_sub_request(d, item);
}

/* Refuses everything that is queued for a searcher. */
static void
refuse_queued(bbl_dispatch *d, searcher_row *row)
{
    sub_request *item;

    while ((item = dequeue_sub_request(d, row)) != NULL) {
        refuse_sub_request(d, item);
    }
}

static bool
may_start(const bbl_dispatch *d, const searcher_row *row, bbl_usec now)
{
    return row->owned && !d->draining && !row->handing_over &&
           now < d->lease_until &&
           (row->phase == BBLX_COLD || row->phase == BBLX_WARM);
}

/*
 * Starts queued sub-requests in the free slots of a searcher, or refuses them
 * all if the searcher may not be used.
 */
static void
start_queued(bbl_dispatch *d, searcher_row *row, bbl_usec now)
{
    if (row->queue.size > 0 && !may_start(d, row, now)) {
        refuse_queued(d, row);
        return;
    }
    while (row->running < row->limit) {
        sub_request *item = dequeue_sub_request(d, row);
        uint64_t *counter;

        if (item == NULL) {
            return;
        }
        if (should_refuse(d, row, item, now, &counter)) {
            (*counter)++;
            refuse_sub_request(d, item);
            continue;
        }
        start_exchange(d, row, item, now);
    }
}

/* ---- view ---- */

static uint64_t
hash_indexes(const bbl_searcher_info *info)
{
    uint64_t h = 17;

    for (size_t i = 0; i < info->index_count; i++) {
        const bblx_index *x = &info->indexes[i];
        uint64_t words[4] = {x->number, x->total, x->first, x->count};

        h = bbl_hash(words, sizeof(words), h);
        h = bbl_hash(x->shards.shards_val,
                     x->shards.shards_len * sizeof(u_int), h);
    }
    return h;
}

static void
set_indexes(searcher_row *row, const bblx_index *indexes, size_t count)
{
    bbl_indexes_free(row->indexes, row->index_count);
    row->indexes = bbl_indexes_copy(indexes, count);
    row->index_count = count;
}

/* Sets the state to the last report of the searcher's owner. */
static void
apply_last_report(searcher_row *row, const bbl_view_searcher *s)
{
    bbl_searcher_info info = {s->boot, false, s->indexes, s->index_count};

    row->boot = s->boot;
    set_indexes(row, s->indexes, s->index_count);
    row->indexes_hash = hash_indexes(&info);
    if (s->handover_limit == 0) {
        return;
    }
    /* The searcher ran with this limit until the previous owner released it.
     */
    row->limit = s->handover_limit < s->slots ? s->handover_limit : s->slots;
    row->phase = row->limit == s->slots ? BBLX_WARM : BBLX_COLD;
}

/* Resets the row for a new epoch of ownership. */
static void
begin_ownership(searcher_row *row, const bbl_view_searcher *s, bbl_usec now)
{
    bool takeover =
        s->takeover_delay_us > 0 && !BBL_FAULT(BBL_FAULT_NO_TAKEOVER_DELAY);

    row->epoch = s->epoch;
    row->phase = takeover ? BBLX_HELD : BBLX_COLD;
    row->takeover_until = now + s->takeover_delay_us;
    row->limit = BBL_FAULT(BBL_FAULT_NO_TAKEOVER_DELAY) ? s->slots : 1;
    row->successes = 0;
    row->reported_hash = 0;
    if (s->reported) {
        apply_last_report(row, s);
    }
}

static void
update_owned_searcher(bbl_dispatch *d, const bbl_view_searcher *s,
                      bbl_usec now)
{
    searcher_row *row = find_row(d, s->searcher);

    if (row == NULL) {
        row = bbl_vec_add(&d->rows);
        row->searcher = s->searcher;
        bbl_fair_queue_init(&row->queue);
        bbl_map_set(&d->by_id, s->searcher, (void *)(uintptr_t)d->rows.size);
    }
    if (row->epoch != s->epoch || !row->owned) {
        begin_ownership(row, s, now);
    }
    row->handing_over = s->next_owner != 0;
    row->owned = true;
    row->address = s->address;
    row->slots = s->slots;
    row->connections = s->connections;
    row->zone = s->zone;
    if (s->leaving) {
        mark_leaving(row, now);
    }
    else if (row->listed_leaving && row->phase == BBLX_LEAVING) {
        row->phase = BBLX_COLD;
        row->limit = 1;
        row->successes = 0;
    }
    row->listed_leaving = s->leaving;
    report_state(d, row);
}

void
bbl_dispatch_set_view(bbl_dispatch *d, bbl_usec now, const bbl_view *view)
{
    d->view = view;
    for (size_t i = 0; i < bbl_view_searcher_count(view); i++) {
        const bbl_view_searcher *s = bbl_view_searcher_at(view, i);

        if (s->owner == d->options.host &&
            s->incarnation == d->options.incarnation) {
            update_owned_searcher(d, s, now);
        }
    }
    for (size_t i = 0; i < d->rows.size; i++) {
        searcher_row *row = bbl_vec_at(&d->rows, i);
        const bbl_view_searcher *s =
            bbl_view_find_searcher(view, row->searcher);

        if (s == NULL || s->owner != d->options.host ||
            s->incarnation != d->options.incarnation) {
            row->owned = false;
        }
        start_queued(d, row, now);
    }
}

void
bbl_dispatch_set_lease(bbl_dispatch *d, bbl_usec until)
{
    d->lease_until = until;
}

/* ---- requests ---- */

static bool
holds_shard(const searcher_row *row, uint64_t version, uint32_t shard)
{
    for (size_t i = 0; i < row->index_count; i++) {
        const bblx_index *x = &row->indexes[i];

        if (x->number != version) {
            continue;
        }
        for (u_int k = 0; k < x->shards.shards_len; k++) {
            if (x->shards.shards_val[k] == shard) {
                return true;
            }
        }
    }
    return false;
}

static void
refuse_received(bbl_dispatch *d, uint32_t host,
                const bblx_sub_request *request, const bblx_sub *sub,
                bblx_sub_status status)
{
    bblx_sub_result r;

    memset(&r, 0, sizeof(r));
    r.sub = sub->sub;
    r.searcher = sub->searcher;
    r.status = status;
    queue_result(d, host, &request->query, &r);
}

/*
 * Returns whether to refuse with BUSY: the queue is so long that another
 * replica may be faster. Only the first attempt for a shard is refused so.
 */
static bool
should_refuse_busy(const bbl_dispatch *d, const searcher_row *row,
                   const bblx_sub *sub)
{
    return d->options.busy_factor > 0 && !sub->moved &&
           row->queue.size >= d->options.busy_factor * row->limit;
}

static void
accept_sub_request(bbl_dispatch *d, bbl_usec now, uint32_t host,
                   const bblx_sub_request *request, const bblx_sub *sub,
                   shared_text *text)
{
    searcher_row *row = find_row(d, sub->searcher);
    uint64_t key = sub_request_key(&request->query, sub->sub);
    bbl_usec timeout = request->deadline_us;
    sub_request *item;

    if (bbl_map_get(&d->sub_requests, key) != NULL) {
        return; /* a duplicate of an open sub-request */
    }
    if (row == NULL || !may_start(d, row, now)) {
        d->counters.not_owner++;
        refuse_received(d, host, request, sub, BBLX_SUB_NOT_RUN);
        return;
    }
    if (!holds_shard(row, request->index_version, sub->shard)) {
        refuse_received(d, host, request, sub, BBLX_SUB_VERSION_GONE);
        return;
    }
    if (should_refuse_busy(d, row, sub)) {
        d->counters.refused_busy++;
        refuse_received(d, host, request, sub, BBLX_SUB_BUSY);
        return;
    }
    if (row->queue.size >= d->options.queue_max) {
        d->counters.dropped_full++;
        refuse_received(d, host, request, sub, BBLX_SUB_NOT_RUN);
        return;
    }
    item = bbl_calloc(1, sizeof(*item));
    item->query = request->query;
    item->host = host;
    item->sub_number = sub->sub;
    item->shard = sub->shard;
    item->searcher = sub->searcher;
    item->version = request->index_version;
    timeout =
        timeout < d->options.exchange_max ? timeout : d->options.exchange_max;
    item->deadline = now + timeout;
    item->fair.urgency = request->urgency < BBL_URGENCY_COUNT
                             ? (bbl_urgency)request->urgency
                             : BBL_URGENCY_BATCH;
    bbl_name_from_wire(&item->fair.plan, &request->plan);
    item->repeatable = request->repeatable;
    item->fair.expedited = sub->hedge;
    item->text = text;
    text->ref_count++;
    bbl_map_set(&d->sub_requests, key, item);
    bbl_fair_queue_enqueue(&row->queue, &item->fair);
    start_queued(d, row, now);
}

void
bbl_dispatch_receive_request(bbl_dispatch *d, bbl_usec now, uint32_t host,
                             const bblx_sub_request *request)
{
    shared_text *text = bbl_calloc(1, sizeof(*text));

    text->ref_count = 1;
    text->size = request->text.bblx_text_len;
    text->ptr = bbl_memdup(request->text.bblx_text_val, text->size);
    for (u_int i = 0; i < request->subs.subs_len; i++) {
        d->counters.requests++;
        accept_sub_request(d, now, host, request, &request->subs.subs_val[i],
                           text);
    }
    release_text(text);
}

void
bbl_dispatch_cancel(bbl_dispatch *d, bbl_usec now,
                    const bblx_sub_cancel *cancel)
{
    for (u_int i = 0; i < cancel->subs.subs_len; i++) {
        uint32_t sub = cancel->subs.subs_val[i];
        sub_request *item = bbl_map_get(&d->sub_requests,
                                        sub_request_key(&cancel->query, sub));

        if (item == NULL || item->cancelled) {
            continue;
        }
        if (item->exchange_id != 0) {
            item->cancelled = true;
            d->options.port.cancel(d->options.port.ctx, item->exchange_id,
                                   item->searcher);
            continue;
        }
        bbl_fair_queue_remove(&find_row(d, item->searcher)->queue,
                              &item->fair);
        free_sub_request(d, item);
    }
    (void)now;
}

/* ---- completion of exchanges ---- */

static bblx_sub_status
result_status(bbl_exchange_outcome end)
{
    switch (end) {
    case BBL_EXCHANGE_OK:
        return BBLX_SUB_OK;
    case BBL_EXCHANGE_REFUSED:
    case BBL_EXCHANGE_LEAVING:
    case BBL_EXCHANGE_UNSENT:
        return BBLX_SUB_NOT_RUN;
    case BBL_EXCHANGE_VERSION_GONE:
        return BBLX_SUB_VERSION_GONE;
    case BBL_EXCHANGE_CANCELLED:
        return BBLX_SUB_CANCELLED;
    case BBL_EXCHANGE_RESPONSE_LOST:
        return BBLX_SUB_LOST;
    case BBL_EXCHANGE_TRUNCATED:
        return BBLX_SUB_TRUNCATED;
    default:
        return BBLX_SUB_FAILED;
    }
}

/*
 * Records a run time, and updates slow_after every SLOW_UPDATE_SAMPLES run
 * times to the quantile above which the fraction slow_ppm of the runs lies.
 */
static void
record_run_time(bbl_dispatch *d, bbl_usec us)
{
    double quantile = 1.0 - (double)d->options.slow_ppm / 1e6;

    bbl_histogram_add(&d->runs, us > UINT32_MAX ? UINT32_MAX : (uint32_t)us);
    if (d->runs.count >= RUN_SAMPLES_MAX) {
        bbl_histogram_decay(&d->runs);
    }
    if (++d->new_runs < SLOW_UPDATE_SAMPLES || d->options.slow_ppm == 0) {
        return;
    }
    d->new_runs = 0;
    d->slow_after = bbl_histogram_quantile(&d->runs, quantile);
    if (d->slow_after < d->options.slow_min) {
        d->slow_after = d->options.slow_min;
    }
}

/*
 * Counts consecutive failures. After DOWN_FAILURES of them the searcher gets
 * no requests for a pause, which doubles each time; the first request after
 * the pause shows whether the searcher works again.
 */
static void
record_failure(bbl_dispatch *d, searcher_row *row, bbl_usec now)
{
    row->failures++;
    if (row->failures < DOWN_FAILURES || row->phase == BBLX_DOWN ||
        row->phase == BBLX_LEAVING || row->phase == BBLX_RELEASED) {
        return;
    }
    row->down_pause =
        row->down_pause ? row->down_pause * 2 : DOWN_PAUSE_MIN_US;
    row->down_pause = row->down_pause < DOWN_PAUSE_MAX_US ? row->down_pause
                                                          : DOWN_PAUSE_MAX_US;
    row->down_until = now + row->down_pause;
    row->phase = BBLX_DOWN;
    report_state(d, row);
}

/*
 * Records that a searcher has refused a request because of its load. If it has
 * asked for a time without requests, it is down until then.
 */
static void
record_refusal(bbl_dispatch *d, searcher_row *row, bbl_usec now,
               bbl_usec backoff)
{
    bool paused = row->phase == BBLX_DOWN && now < row->down_until;

    if (!paused) {
        mark_cold(d, row);
    }
    if (backoff == 0 || (row->phase != BBLX_COLD && row->phase != BBLX_DOWN)) {
        return;
    }
    if (!paused || now + backoff > row->down_until) {
        row->down_until = now + backoff;
    }
    row->phase = BBLX_DOWN;
    report_state(d, row);
}

/*
 * Ends the pause of a searcher that is down. It starts cold; one more failure
 * marks it down again.
 */
static void
retry_down_searcher(bbl_dispatch *d, searcher_row *row, bbl_usec now)
{
    if (row->phase != BBLX_DOWN || now < row->down_until) {
        return;
    }
    if (row->down_pause > 0) { /* 0: it has not failed, but asked for it */
        row->failures = DOWN_FAILURES - 1;
    }
    mark_cold(d, row);
}

/* Updates the state of a searcher from the outcome of an exchange. */
static void
record_outcome(bbl_dispatch *d, searcher_row *row, const sub_request *item,
               bbl_usec now, const bbl_exchange_result *result)
{
    switch (result->outcome) {
    case BBL_EXCHANGE_OK:
        row->failures = 0;
        row->down_pause = 0;
        observe_boot(d, row, result->boot);
        record_run_time(d, now - item->started);
        record_service_time(d, row, now - item->started);
        grow_limit(d, row);
        break;
    case BBL_EXCHANGE_REFUSED:
        d->counters.refused_by_searcher++;
        record_refusal(d, row, now, result->backoff);
        observe_boot(d, row, result->boot);
        break;
    case BBL_EXCHANGE_LEAVING:
        mark_leaving(row, now);
        observe_boot(d, row, result->boot);
        report_state(d, row);
        break;
    case BBL_EXCHANGE_TIMED_OUT:
    case BBL_EXCHANGE_FAILED:
        d->counters.timed_out_or_broken++;
        if (row->phase != BBLX_DOWN) {
            mark_cold(d, row);
        }
        record_failure(d, row, now);
        break;
    case BBL_EXCHANGE_UNSENT:
        record_failure(d, row, now);
        break;
    case BBL_EXCHANGE_CANCELLED:
        observe_boot(d, row, result->boot);
        if (item->reported_slow) {
            /* The run lasted at least this long. */
            record_run_time(d, now - item->started);
        }
        break;
    default:
        observe_boot(d, row, result->boot);
        break;
    }
}

/*
 * Frees the slot of an exchange. If the exchange broke off before its
 * deadline, the searcher may still run it, so the slot stays in use until the
 * deadline.
 */
static void
release_slot(bbl_dispatch *d, searcher_row *row, const sub_request *item,
             bbl_usec now, bbl_exchange_outcome end)
{
    bool broken = end == BBL_EXCHANGE_FAILED || end == BBL_EXCHANGE_TIMED_OUT;
    reserved_slot reserved = {row->searcher, item->deadline};

    if (broken && now < item->deadline &&
        !BBL_FAULT(BBL_FAULT_RELEASE_SLOT_EARLY)) {
        bbl_vec_push(&d->reserved_slots, &reserved);
        return;
    }
    row->running--;
}

void
bbl_dispatch_complete_exchange(bbl_dispatch *d, bbl_usec now,
                               uint64_t exchange,
                               const bbl_exchange_result *result)
{
    sub_request *item = bbl_map_get(&d->exchanges, exchange);
    bblx_sub_status status = result_status(result->outcome);
    searcher_row *row;
    bbl_str body = {NULL, 0};

    if (item == NULL) {
        d->counters.stale_results++;
        return;
    }
    row = find_row(d, item->searcher);
    if (result->boot != 0) {
        row->last_response = now;
    }
    release_slot(d, row, item, now, result->outcome);
    d->counters.busy_us += now - item->started;
    record_outcome(d, row, item, now, result);
    if (status == BBLX_SUB_OK && result->version != item->version) {
        d->counters.stale_results++;
        status = BBLX_SUB_VERSION_GONE;
    }
    if (status == BBLX_SUB_VERSION_GONE && !item->repeatable &&
        result->outcome == BBL_EXCHANGE_OK) {
        status = BBLX_SUB_FAILED; /* it ran on another version */
    }
    if (status == BBLX_SUB_CANCELLED && item->cancelled_by_owner) {
        status = BBLX_SUB_LOST; /* the entry host did not cancel it */
    }
    if (status == BBLX_SUB_OK) {
        d->counters.answered++;
        body = result->body;
    }
    if (!item->cancelled || status == BBLX_SUB_OK) {
        queue_sub_request_result(d, item, status, result->version,
                                 (uint32_t)(now - item->started), body);
    }
    free_sub_request(d, item);
    start_queued(d, row, now);
}

/* ---- info pages ---- */

void
bbl_dispatch_update_info(bbl_dispatch *d, bbl_usec now, uint32_t searcher,
                         const bbl_searcher_info *info)
{
    searcher_row *row = find_row(d, searcher);
    uint64_t hash;

    if (row == NULL || !row->owned) {
        return;
    }
    if (info == NULL) {
        return; /* exchanges show earlier that a searcher has failed */
    }
    hash = hash_indexes(info);
    if (hash != row->indexes_hash) {
        set_indexes(row, info->indexes, info->index_count);
        row->indexes_hash = hash;
    }
    observe_boot(d, row, info->boot);
    if (info->leaving) {
        mark_leaving(row, now);
    }
    else if (row->phase == BBLX_LEAVING && !row->listed_leaving &&
             now >= row->leaving_since + LEAVING_RECHECK_US) {
        /* mark_cold ignores the phase LEAVING; it counts this change too. */
        row->phase = BBLX_WARM;
        mark_cold(d, row);
    }
    report_state(d, row);
    start_queued(d, row, now);
}

/* ---- ticks ---- */

/* Arguments of expire_item. */
typedef struct {
    bbl_dispatch *dispatch;
    searcher_row *row;
    bbl_usec now;
} expire_context;

static void
expire_sub_request(void *ctx, bbl_fair_item *fair)
{
    expire_context *e = ctx;
    sub_request *item = (sub_request *)fair;

    if (e->now + e->row->smoothed_us / 2 >= item->deadline) {
        e->dispatch->counters.dropped_late++;
        bbl_fair_queue_remove(&e->row->queue, fair);
        refuse_sub_request(e->dispatch, item);
    }
}

static void
expire_queued(bbl_dispatch *d, searcher_row *row, bbl_usec now)
{
    expire_context e = {d, row, now};

    if (row->queue.size > 0) {
        bbl_fair_queue_for_each(&row->queue, expire_sub_request, &e);
    }
}

static void
release_reserved_slots(bbl_dispatch *d, bbl_usec now)
{
    for (size_t i = d->reserved_slots.size; i > 0; i--) {
        const reserved_slot *reserved = bbl_vec_at(&d->reserved_slots, i - 1);

        if (now >= reserved->until) {
            find_row(d, reserved->searcher)->running--;
            bbl_vec_swap_remove(&d->reserved_slots, i - 1);
        }
    }
}

/* Reports slow runs to the entry hosts, which may then send hedges. */
static void
report_slow_runs(bbl_dispatch *d, bbl_usec now)
{
    sub_request *item;
    size_t pos = 0;

    if (d->slow_after == 0) {
        return;
    }
    while ((item = bbl_map_next(&d->exchanges, &pos)) != NULL) {
        if (!item->reported_slow && !item->cancelled &&
            now >= item->started + d->slow_after) {
            item->reported_slow = true;
            d->counters.slow++;
            queue_sub_request_result(d, item, BBLX_SUB_SLOW, 0, 0,
                                     (bbl_str){NULL, 0});
        }
    }
}

/*
 * Cancels runs whose searcher has not responded to any request since they
 * started. Their connections may be dead, and only a response to the
 * cancellation, on another connection, can free their slots before the
 * deadline.
 */
static void
cancel_unresponsive_runs(bbl_dispatch *d, bbl_usec now)
{
    bbl_usec wait = UNRESPONSIVE_FACTOR * d->slow_after;
    sub_request *item;
    size_t pos = 0;

    wait = wait < d->options.unresponsive_min ? d->options.unresponsive_min
                                              : wait;
    while ((item = bbl_map_next(&d->exchanges, &pos)) != NULL) {
        if (item->cancelled_by_owner || now < item->started + wait ||
            find_row(d, item->searcher)->last_response >= item->started) {
            continue;
        }
        item->cancelled_by_owner = true;
        d->counters.cancelled_unresponsive++;
        d->options.port.cancel(d->options.port.ctx, item->exchange_id,
                               item->searcher);
    }
}

void
bbl_dispatch_tick(bbl_dispatch *d, bbl_usec now)
{
    release_reserved_slots(d, now);
    report_slow_runs(d, now);
    cancel_unresponsive_runs(d, now);
    for (size_t i = 0; i < d->rows.size; i++) {
        searcher_row *row = bbl_vec_at(&d->rows, i);

        if (row->phase == BBLX_HELD && now >= row->takeover_until) {
            row->phase = BBLX_COLD;
            report_state(d, row);
        }
        retry_down_searcher(d, row, now);
        /* In the takeover delay the previous owner may still use it. */
        if (row->owned && row->handing_over && row->running == 0 &&
            row->phase != BBLX_HELD && row->phase != BBLX_RELEASED) {
            row->phase = BBLX_RELEASED;
            report_state(d, row);
        }
        expire_queued(d, row, now);
        start_queued(d, row, now);
    }
}

void
bbl_dispatch_drain(bbl_dispatch *d, bbl_usec now)
{
    d->draining = true;
    for (size_t i = 0; i < d->rows.size; i++) {
        start_queued(d, bbl_vec_at(&d->rows, i), now);
    }
}

size_t
bbl_dispatch_running_count(const bbl_dispatch *d)
{
    return d->exchanges.size;
}

const bbl_dispatch_counters *
bbl_dispatch_get_counters(const bbl_dispatch *d)
{
    return &d->counters;
}

bool
bbl_dispatch_searcher_at(const bbl_dispatch *d, size_t i,
                         bbl_dispatch_searcher *out)
{
    const searcher_row *row;

    if (i >= d->rows.size) {
        return false;
    }
    row = bbl_vec_at(&d->rows, i);
    out->searcher = row->searcher;
    out->phase = row->owned ? row->phase : BBLX_DOWN;
    out->limit = row->owned ? row->limit : 0;
    out->running = row->running;
    out->queued = row->queue.size;
    out->boot = row->boot;
    out->service_us = (uint32_t)row->smoothed_us;
    return true;
}

bool
bbl_dispatch_poll_target_at(const bbl_dispatch *d, size_t i,
                            uint32_t *searcher, bblx_address *address,
                            bool *urgent)
{
    const searcher_row *row;

    if (i >= d->rows.size) {
        return false;
    }
    row = bbl_vec_at(&d->rows, i);
    *searcher = row->owned ? row->searcher : 0;
    *address = row->address;
    *urgent = row->index_count == 0;
    return true;
}

/* ---- construction ---- */

void
bbl_dispatch_new(bbl_dispatch **out, const bbl_dispatch_options *options)
{
    bbl_dispatch *d = bbl_calloc(1, sizeof(*d));

    d->options = *options;
    d->rows = (bbl_vec)BBL_VEC_INIT(searcher_row);
    d->reserved_slots = (bbl_vec)BBL_VEC_INIT(reserved_slot);
    d->batches = (bbl_vec)BBL_VEC_INIT(result_batch);
    d->loads = (bbl_vec)BBL_VEC_INIT(bblx_load);
    *out = d;
}

void
bbl_dispatch_free(bbl_dispatch *d)
{
    sub_request *item;
    size_t pos = 0;

    if (d == NULL) {
        return;
    }
    while ((item = bbl_map_next(&d->sub_requests, &pos)) != NULL) {
        release_text(item->text);
        free(item);
    }
    for (size_t i = 0; i < d->rows.size; i++) {
        searcher_row *row = bbl_vec_at(&d->rows, i);

        bbl_indexes_free(row->indexes, row->index_count);
        bbl_fair_queue_free(&row->queue);
    }
    bbl_vec_free(&d->rows);
    bbl_vec_free(&d->reserved_slots);
    for (size_t i = 0; i < d->batches.size; i++) {
        free_results(bbl_vec_at(&d->batches, i));
    }
    bbl_vec_free(&d->batches);
    bbl_vec_free(&d->loads);
    bbl_map_free(&d->by_id);
    bbl_map_free(&d->sub_requests);
    bbl_map_free(&d->exchanges);
    free(d);
}
