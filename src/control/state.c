#include "control/state.h"

#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "control/fault.h"
#include "util/alloc.h"

typedef struct {
    bblx_claim_record record;
    uint64_t sequence; /* number of the claim in the order of arrival */
} claim_row;

/*
 * An entry of the ring of claims in the order of expiry. It is stale when its
 * claim was removed or the row of the key has another sequence number.
 */
typedef struct {
    uint64_t key;
    uint64_t sequence;
} claim_ring_entry;

struct bbl_state {
    uint64_t applied_index;
    uint64_t lists_version;
    uint64_t latest_time_ms; /* greatest time in an applied claim */
    bblx_text plans;
    bblx_text allowances;
    bbl_lists *lists;
    bbl_vec changes; /* of bblx_change_record, owned, oldest first */
    bbl_map assigns; /* searcher -> bblx_assign, owned */
    bbl_map claims;  /* key -> claim_row, owned */
    /* Ring of BBL_CLAIMS_MAX entries, or NULL before the first claim. */
    claim_ring_entry *claim_ring;
    size_t claim_ring_first;
    size_t claim_ring_count; /* used entries, stale ones included */
    uint64_t last_claim_sequence;
    bblx_voters voters;
    bblx_routing routing; /* owned */
    bbl_vec evacuated;    /* of bblx_name, owned */
    bbl_vec rollouts;     /* of bblx_rollout, owned, in the order of arrival */
};

bbl_state *
bbl_state_new(void)
{
    bbl_state *s = bbl_calloc(1, sizeof(*s));

    s->changes = (bbl_vec)BBL_VEC_INIT(bblx_change_record);
    s->evacuated = (bbl_vec)BBL_VEC_INIT(bblx_name);
    s->rollouts = (bbl_vec)BBL_VEC_INIT(bblx_rollout);
    return s;
}

static void
free_assignment(bblx_assign *row)
{
    BBL_XDR_FREE(bblx_assign, row);
    free(row);
}

static void
free_claim(claim_row *row)
{
    BBL_XDR_FREE(bblx_claim_record, &row->record);
    free(row);
}

static void
free_contents(bbl_state *s)
{
    size_t pos = 0;
    bblx_assign *row;
    claim_row *claim;

    BBL_XDR_FREE(bblx_text, &s->plans);
    BBL_XDR_FREE(bblx_text, &s->allowances);
    bbl_lists_free(s->lists);
    for (size_t i = 0; i < s->changes.size; i++) {
        BBL_XDR_FREE(bblx_change_record, bbl_vec_at(&s->changes, i));
    }
    bbl_vec_free(&s->changes);
    while ((row = bbl_map_next(&s->assigns, &pos)) != NULL) {
        free_assignment(row);
    }
    bbl_map_free(&s->assigns);
    pos = 0;
    while ((claim = bbl_map_next(&s->claims, &pos)) != NULL) {
        free_claim(claim);
    }
    bbl_map_free(&s->claims);
    free(s->claim_ring);
    BBL_XDR_FREE(bblx_voters, &s->voters);
    BBL_XDR_FREE(bblx_routing, &s->routing);
    for (size_t i = 0; i < s->evacuated.size; i++) {
        BBL_XDR_FREE(bblx_name, bbl_vec_at(&s->evacuated, i));
    }
    bbl_vec_free(&s->evacuated);
    for (size_t i = 0; i < s->rollouts.size; i++) {
        BBL_XDR_FREE(bblx_rollout, bbl_vec_at(&s->rollouts, i));
    }
    bbl_vec_free(&s->rollouts);
}

void
bbl_state_free(bbl_state *s)
{
    if (s == NULL) {
        return;
    }
    free_contents(s);
    free(s);
}

/* ---- lists ---- */

static uint64_t
digest_lists(const bblx_lists *c)
{
    uint64_t h = bbl_hash(c->plans.bblx_text_val, c->plans.bblx_text_len, 1);

    return bbl_hash(c->allowances.bblx_text_val, c->allowances.bblx_text_len,
                    h);
}

static bblx_change_record *
find_change(bbl_state *s, const bblx_name *change)
{
    for (size_t i = s->changes.size; i > 0; i--) {
        bblx_change_record *r = bbl_vec_at(&s->changes, i - 1);

        if (bbl_str_equal(bbl_wire_name_str(&r->change),
                          bbl_wire_name_str(change))) {
            return r;
        }
    }
    return NULL;
}

static void
remember_change(bbl_state *s, const bblx_lists *c)
{
    bblx_change_record r = {{0, NULL}, digest_lists(c), s->lists_version};

    r.change.bblx_name_len = c->change.bblx_name_len;
    r.change.bblx_name_val =
        bbl_memdup(c->change.bblx_name_val, c->change.bblx_name_len);
    bbl_vec_push(&s->changes, &r);
    if (s->changes.size > BBL_CHANGE_IDS_MAX) {
        BBL_XDR_FREE(bblx_change_record, bbl_vec_at(&s->changes, 0));
        bbl_vec_remove(&s->changes, 0);
    }
}

static void
apply_lists(bbl_state *s, const bblx_lists *c, bbl_state_result *result)
{
    bblx_change_record *known = find_change(s, &c->change);
    bbl_lists *lists;

    if (known != NULL) {
        /*
         * A resend gets the result of the first submission. The same id with
         * other texts is refused.
         */
        result->status =
            known->digest == digest_lists(c) ? BBL_OK : BBL_EEXISTS;
        result->version = known->lists_version;
        return;
    }
    result->version = s->lists_version;
    if (c->expected != s->lists_version) {
        result->status = BBL_ECONFLICT;
        return;
    }
    result->status = bbl_lists_parse(&lists, bbl_wire_text_str(&c->plans),
                                     bbl_wire_text_str(&c->allowances));
    if (result->status != 0) {
        return;
    }
    bbl_lists_free(s->lists);
    s->lists = lists;
    bbl_wire_text_replace(&s->plans, bbl_wire_text_str(&c->plans));
    bbl_wire_text_replace(&s->allowances, bbl_wire_text_str(&c->allowances));
    s->lists_version++;
    remember_change(s, c);
    result->version = s->lists_version;
}

/* ---- assignments ---- */

static void
copy_name(bblx_name *to, const bblx_name *from)
{
    to->bblx_name_len = from->bblx_name_len;
    to->bblx_name_val = bbl_memdup(from->bblx_name_val, from->bblx_name_len);
}

static void
set_assignment(bbl_state *s, const bblx_assign *from)
{
    uint32_t searcher = from->place.searcher;
    bblx_assign *old = bbl_map_remove(&s->assigns, searcher);
    bblx_assign *row;

    if (old != NULL) {
        free_assignment(old);
    }
    if (from->gone) {
        return;
    }
    row = bbl_calloc(1, sizeof(*row));
    *row = *from;
    copy_name(&row->place.zone, &from->place.zone);
    copy_name(&row->place.service, &from->place.service);
    bbl_map_set(&s->assigns, searcher, row);
}

static void
apply_assignments(bbl_state *s, const bblx_assigns *c,
                  bbl_state_result *result)
{
    for (u_int i = 0; i < c->rows.rows_len; i++) {
        const bblx_assign *from = &c->rows.rows_val[i];
        const bblx_assign *old =
            bbl_map_get(&s->assigns, from->place.searcher);

        if (old != NULL && from->epoch < old->epoch) {
            result->status = BBL_ECONFLICT;
            continue;
        }
        set_assignment(s, from);
    }
}

/* ---- claims ---- */

static uint64_t
claim_key(const bblx_name *customer, u_int size, const char *ptr)
{
    uint64_t seed =
        bbl_hash(customer->bblx_name_val, customer->bblx_name_len, 7);

    return bbl_hash(ptr, size, seed);
}

/* Returns the claim of ring entry `i`, or NULL when the entry is stale. */
static claim_row *
find_ring_claim(const bbl_state *s, size_t i)
{
    const claim_ring_entry *place =
        &s->claim_ring[(s->claim_ring_first + i) % BBL_CLAIMS_MAX];
    claim_row *row = bbl_map_get(&s->claims, place->key);

    return row != NULL && row->sequence == place->sequence ? row : NULL;
}

static void
expire_claims(bbl_state *s)
{
    while (s->claim_ring_count > 0) {
        claim_row *row = find_ring_claim(s, 0);

        if (row != NULL && row->record.claim.time_ms + BBL_CLAIM_RETENTION_MS >
                               s->latest_time_ms) {
            return;
        }
        if (row != NULL) {
            bbl_map_remove(&s->claims, s->claim_ring[s->claim_ring_first].key);
            free_claim(row);
        }
        s->claim_ring_first = (s->claim_ring_first + 1) % BBL_CLAIMS_MAX;
        s->claim_ring_count--;
    }
}

static claim_row *
add_claim(bbl_state *s, const bblx_claim *c)
{
    claim_row *row = bbl_calloc(1, sizeof(*row));
    claim_ring_entry *place;

    if (s->claim_ring == NULL) {
        s->claim_ring = bbl_calloc(BBL_CLAIMS_MAX, sizeof(claim_ring_entry));
    }
    row->record.claim = *c;
    copy_name(&row->record.claim.customer, &c->customer);
    row->record.claim.request.request_val =
        bbl_memdup(c->request.request_val, c->request.request_len);
    row->sequence = ++s->last_claim_sequence;
    place = &s->claim_ring[(s->claim_ring_first + s->claim_ring_count) %
                           BBL_CLAIMS_MAX];
    place->key = claim_key(&c->customer, c->request.request_len,
                           c->request.request_val);
    place->sequence = row->sequence;
    s->claim_ring_count++;
    bbl_map_set(&s->claims, place->key, row);
    return row;
}

static void
apply_claim(bbl_state *s, const bblx_claim *c, bbl_state_result *result)
{
    claim_row *row;

    s->latest_time_ms =
        c->time_ms > s->latest_time_ms ? c->time_ms : s->latest_time_ms;
    expire_claims(s);
    row =
        bbl_map_get(&s->claims, claim_key(&c->customer, c->request.request_len,
                                          c->request.request_val));
    if (row != NULL) {
        /* A resend of the same attempt, after a lost reply, is granted too. */
        result->fresh = BBL_FAULT(BBL_FAULT_DOUBLE_CLAIM) ||
                        (row->record.claim.host == c->host &&
                         row->record.claim.incarnation == c->incarnation &&
                         row->record.claim.nonce == c->nonce);
        result->done = row->record.done;
        result->answer = bbl_wire_text_str(&row->record.answer);
        return;
    }
    if (s->claim_ring_count >= BBL_CLAIMS_MAX) {
        result->status = BBL_EFULL;
        return;
    }
    add_claim(s, c);
    result->fresh = true;
}

static void
apply_outcome(bbl_state *s, const bblx_outcome *c, bbl_state_result *result)
{
    uint64_t key = claim_key(&c->customer, c->request.request_len,
                             c->request.request_val);
    claim_row *row = bbl_map_get(&s->claims, key);

    if (row == NULL || row->record.done) {
        result->status = BBL_ENOTFOUND;
        return;
    }
    if (c->answer.bblx_text_len == 0) {
        /* The request is known not to have run, so it may be claimed again. */
        bbl_map_remove(&s->claims, key);
        free_claim(row);
        return;
    }
    row->record.done = true;
    if (c->answer.bblx_text_len <= BBL_CLAIM_ANSWER_MAX_BYTES) {
        bbl_wire_text_replace(&row->record.answer,
                              bbl_wire_text_str(&c->answer));
    }
}

/* ---- routing and evacuations ---- */

static void
apply_routing(bbl_state *s, const bblx_routing *c, bbl_state_result *result)
{
    /*
     * The highest version is in effect. One that is not higher is a resend
     * and changes nothing, whatever it holds.
     */
    if (c->number > s->routing.number) {
        s->routing.number = c->number;
        s->routing.size = c->size;
        bbl_wire_text_replace(&s->routing.document,
                              bbl_wire_text_str(&c->document));
    }
    result->version = s->routing.number;
}

/* Returns the position of a data centre in `evacuated`, or -1. */
static long
find_evacuated(const bbl_state *s, const bblx_name *zone)
{
    for (size_t i = 0; i < s->evacuated.size; i++) {
        const bblx_name *e = bbl_vec_at(&s->evacuated, i);

        if (bbl_str_equal(bbl_wire_name_str(e), bbl_wire_name_str(zone))) {
            return (long)i;
        }
    }
    return -1;
}

static void
apply_evacuate(bbl_state *s, const bblx_evacuate *c, bbl_state_result *result)
{
    long at = find_evacuated(s, &c->zone);

    if (c->withdraw && at < 0) {
        if (s->evacuated.size >= BBL_EVACUATED_MAX) {
            result->status = BBL_EFULL;
            return;
        }
        copy_name(bbl_vec_add(&s->evacuated), &c->zone);
    }
    if (!c->withdraw && at >= 0) {
        BBL_XDR_FREE(bblx_name, bbl_vec_at(&s->evacuated, (size_t)at));
        bbl_vec_remove(&s->evacuated, (size_t)at);
    }
}

/* ---- rollouts ---- */

/* Returns the position of the rollout of a service, or -1. */
static long
find_rollout(const bbl_state *s, bbl_str service)
{
    for (size_t i = 0; i < s->rollouts.size; i++) {
        const bblx_rollout *r = bbl_vec_at(&s->rollouts, i);

        if (bbl_str_equal(bbl_wire_label_str(&r->service), service)) {
            return (long)i;
        }
    }
    return -1;
}

static void
remove_rollout(bbl_state *s, size_t at)
{
    BBL_XDR_FREE(bblx_rollout, bbl_vec_at(&s->rollouts, at));
    bbl_vec_remove(&s->rollouts, at);
}

/* Removes the oldest rollout that has ended; returns whether there was one. */
static bool
remove_ended_rollout(bbl_state *s)
{
    for (size_t i = 0; i < s->rollouts.size; i++) {
        if (BBL_VEC_AT(bblx_rollout, &s->rollouts, i)->state !=
            BBLX_ROLLOUT_RUNNING) {
            remove_rollout(s, i);
            return true;
        }
    }
    return false;
}

static void
copy_label(bblx_label *to, const bblx_label *from)
{
    to->bblx_label_len = from->bblx_label_len;
    to->bblx_label_val =
        bbl_memdup(from->bblx_label_val, from->bblx_label_len);
}

static void
apply_rollout_order(bbl_state *s, uint64_t index, const bblx_rollout *c,
                    bbl_state_result *result)
{
    long at = find_rollout(s, bbl_wire_label_str(&c->service));
    const bblx_rollout *known =
        at >= 0 ? bbl_vec_at(&s->rollouts, (size_t)at) : NULL;
    bblx_rollout *row;

    if (known != NULL) {
        bool same = bbl_str_equal(bbl_wire_label_str(&known->target),
                                  bbl_wire_label_str(&c->target));

        if (known->state == BBLX_ROLLOUT_RUNNING ||
            (same && c->time_ms < known->time_ms + BBL_ROLLOUT_REPEAT_MS)) {
            result->status = same ? BBL_OK : BBL_EEXISTS;
            return;
        }
        remove_rollout(s, (size_t)at);
    }
    if (s->rollouts.size >= BBL_ROLLOUTS_MAX && !remove_ended_rollout(s)) {
        result->status = BBL_EFULL;
        return;
    }
    row = bbl_vec_add(&s->rollouts);
    *row = *c;
    copy_label(&row->service, &c->service);
    copy_label(&row->target, &c->target);
    row->order = index;
    row->state = BBLX_ROLLOUT_RUNNING;
    row->share = 0;
}

static void
apply_rollout(bbl_state *s, uint64_t index, const bblx_rollout *c,
              bbl_state_result *result)
{
    long at = find_rollout(s, bbl_wire_label_str(&c->service));
    bblx_rollout *row = at >= 0 ? bbl_vec_at(&s->rollouts, (size_t)at) : NULL;
    bool running = row != NULL && row->state == BBLX_ROLLOUT_RUNNING;

    if ((unsigned)c->state > BBLX_ROLLOUT_FORGOTTEN) {
        result->status = BBL_EDAMAGED;
    }
    else if (c->order == 0) {
        apply_rollout_order(s, index, c, result);
    }
    else if (row == NULL || row->order != c->order ||
             running != (c->state != BBLX_ROLLOUT_FORGOTTEN)) {
        result->status = BBL_ENOTFOUND;
    }
    else if (c->state == BBLX_ROLLOUT_FORGOTTEN) {
        remove_rollout(s, (size_t)at);
    }
    else {
        row->state = c->state;
        row->share = c->share;
        row->time_ms = c->time_ms;
        row->left_ms = c->left_ms;
    }
}

/* ---- commands ---- */

static void
apply_voters(bbl_state *s, const bblx_voters *c)
{
    size_t n = c->list.list_len;

    free(s->voters.list.list_val);
    s->voters.list.list_len = (u_int)n;
    s->voters.list.list_val = bbl_calloc(n, sizeof(bblx_voter));
    if (n > 0) {
        memcpy(s->voters.list.list_val, c->list.list_val,
               n * sizeof(bblx_voter));
    }
}

void
bbl_state_apply(bbl_state *s, uint64_t index, bbl_str data,
                bbl_state_result *result)
{
    bblx_command c;

    memset(result, 0, sizeof(*result));
    result->version = s->lists_version;
    s->applied_index = index;
    memset(&c, 0, sizeof(c));
    if (BBL_XDR_DECODE(&c, bblx_command, data) != 0) {
        result->status = BBL_EDAMAGED;
        return;
    }
    switch (c.kind) {
    case BBLX_NOOP:
        break;
    case BBLX_LISTS:
        apply_lists(s, &c.bblx_command_u.lists, result);
        break;
    case BBLX_ASSIGN:
        apply_assignments(s, &c.bblx_command_u.assign, result);
        break;
    case BBLX_CLAIM:
        apply_claim(s, &c.bblx_command_u.claim, result);
        break;
    case BBLX_OUTCOME:
        apply_outcome(s, &c.bblx_command_u.outcome, result);
        break;
    case BBLX_VOTERS:
        apply_voters(s, &c.bblx_command_u.voters);
        break;
    case BBLX_ROUTING:
        apply_routing(s, &c.bblx_command_u.routing, result);
        break;
    case BBLX_EVACUATE:
        apply_evacuate(s, &c.bblx_command_u.evacuate, result);
        break;
    case BBLX_ROLLOUT:
        apply_rollout(s, index, &c.bblx_command_u.rollout, result);
        break;
    }
    BBL_XDR_FREE(bblx_command, &c);
}

/* ---- snapshots ---- */

/* Appends the rollouts, if there are any. */
static void
save_rollouts(const bbl_state *s, bbl_buf *out)
{
    bblx_rollouts w = {{(u_int)s->rollouts.size, s->rollouts.ptr}};

    if (s->rollouts.size > 0 && BBL_XDR_ENCODE(out, bblx_rollouts, &w) != 0) {
        abort();
    }
}

size_t
bbl_state_save(const bbl_state *s, bool claims, bbl_buf *out)
{
    size_t before = out->size;
    size_t known;
    bblx_state w;
    size_t pos = 0;
    u_int n = 0;
    const bblx_assign *row;

    memset(&w, 0, sizeof(w));
    w.applied = s->applied_index;
    w.lists_version = s->lists_version;
    w.clock_ms = s->latest_time_ms;
    w.plans = s->plans;
    w.allowances = s->allowances;
    w.voters = s->voters;
    w.routing = s->routing;
    w.evacuated.evacuated_len = (u_int)s->evacuated.size;
    w.evacuated.evacuated_val = s->evacuated.ptr;
    if (claims && !BBL_FAULT(BBL_FAULT_DROP_CHANGE_IDS)) {
        w.changes.changes_len = (u_int)s->changes.size;
        w.changes.changes_val = s->changes.ptr;
    }
    w.assigns.assigns_val = bbl_calloc(s->assigns.size, sizeof(*row));
    while ((row = bbl_map_next(&s->assigns, &pos)) != NULL) {
        w.assigns.assigns_val[w.assigns.assigns_len++] = *row;
    }
    if (claims && s->claim_ring_count > 0) {
        w.claims.claims_val =
            bbl_calloc(s->claim_ring_count, sizeof(bblx_claim_record));
        for (size_t i = 0; i < s->claim_ring_count; i++) {
            const claim_row *c = find_ring_claim(s, i);

            if (c != NULL) {
                w.claims.claims_val[n++] = c->record;
            }
        }
        w.claims.claims_len = n;
    }
    if (BBL_XDR_ENCODE(out, bblx_state, &w) != 0) {
        abort();
    }
    free(w.assigns.assigns_val);
    free(w.claims.claims_val);
    known = out->size - before;
    save_rollouts(s, out);
    return known;
}

/* Moves the rows of a decoded snapshot into the empty state `s`. */
static void
take_snapshot_rows(bbl_state *s, bblx_state *w)
{
    for (u_int i = 0; i < w->changes.changes_len; i++) {
        bbl_vec_push(&s->changes, &w->changes.changes_val[i]);
    }
    free(w->changes.changes_val);
    for (u_int i = 0; i < w->assigns.assigns_len; i++) {
        set_assignment(s, &w->assigns.assigns_val[i]);
        BBL_XDR_FREE(bblx_assign, &w->assigns.assigns_val[i]);
    }
    free(w->assigns.assigns_val);
    for (u_int i = 0; i < w->claims.claims_len; i++) {
        bblx_claim_record *r = &w->claims.claims_val[i];
        claim_row *row = add_claim(s, &r->claim);

        row->record.done = r->done;
        bbl_wire_text_replace(&row->record.answer,
                              bbl_wire_text_str(&r->answer));
        BBL_XDR_FREE(bblx_claim_record, r);
    }
    free(w->claims.claims_val);
    s->voters = w->voters;
    s->routing = w->routing;
    for (u_int i = 0; i < w->evacuated.evacuated_len; i++) {
        bbl_vec_push(&s->evacuated, &w->evacuated.evacuated_val[i]);
    }
    free(w->evacuated.evacuated_val);
}

/* Decodes a snapshot; the rollouts may be missing. */
static int
decode_snapshot(bblx_state *w, bblx_rollouts *rollouts, bbl_str data)
{
    size_t used;
    int error;

    memset(w, 0, sizeof(*w));
    memset(rollouts, 0, sizeof(*rollouts));
    error = bbl_xdr_decode_first(w, &used, (xdrproc_t)xdr_bblx_state, data);
    if (error == 0 && used < data.size) {
        bbl_str rest = {data.ptr + used, data.size - used};

        error = BBL_XDR_DECODE(rollouts, bblx_rollouts, rest);
        if (error != 0) {
            BBL_XDR_FREE(bblx_state, w);
        }
    }
    return error;
}

int
bbl_state_load(bbl_state *s, bbl_str data)
{
    bbl_lists *lists = NULL;
    bblx_rollouts rollouts;
    bblx_state w;
    int error = decode_snapshot(&w, &rollouts, data);

    if (error != 0) {
        return error;
    }
    if (w.lists_version > 0) {
        error = bbl_lists_parse(&lists, bbl_wire_text_str(&w.plans),
                                bbl_wire_text_str(&w.allowances));
    }
    if (error != 0) {
        BBL_XDR_FREE(bblx_state, &w);
        BBL_XDR_FREE(bblx_rollouts, &rollouts);
        return bbl_error_set(BBL_EDAMAGED,
                             "the lists in the snapshot are not valid");
    }
    free_contents(s);
    memset(s, 0, sizeof(*s));
    s->changes = (bbl_vec)BBL_VEC_INIT(bblx_change_record);
    s->evacuated = (bbl_vec)BBL_VEC_INIT(bblx_name);
    s->rollouts = (bbl_vec)BBL_VEC_INIT(bblx_rollout);
    s->applied_index = w.applied;
    s->lists_version = w.lists_version;
    s->latest_time_ms = w.clock_ms;
    s->plans = w.plans;
    s->allowances = w.allowances;
    s->lists = lists;
    take_snapshot_rows(s, &w);
    for (u_int i = 0; i < rollouts.list.list_len; i++) {
        bbl_vec_push(&s->rollouts, &rollouts.list.list_val[i]);
    }
    free(rollouts.list.list_val);
    return 0;
}

uint64_t
bbl_state_applied_index(const bbl_state *s)
{
    return s->applied_index;
}

void
bbl_state_advance_applied(bbl_state *s, uint64_t index)
{
    s->applied_index = index > s->applied_index ? index : s->applied_index;
}

uint64_t
bbl_state_lists_version(const bbl_state *s)
{
    return s->lists_version;
}

const bbl_lists *
bbl_state_lists(const bbl_state *s)
{
    return s->lists;
}

void
bbl_state_get_list_texts(const bbl_state *s, bbl_str *plans,
                         bbl_str *allowances)
{
    *plans = bbl_wire_text_str(&s->plans);
    *allowances = bbl_wire_text_str(&s->allowances);
}

const bblx_assign *
bbl_state_next_assignment(const bbl_state *s, size_t *pos)
{
    return bbl_map_next(&s->assigns, pos);
}

const bblx_assign *
bbl_state_find_assignment(const bbl_state *s, uint32_t searcher)
{
    return bbl_map_get(&s->assigns, searcher);
}

const bblx_voters *
bbl_state_voters(const bbl_state *s)
{
    return &s->voters;
}

const bblx_routing *
bbl_state_routing(const bbl_state *s)
{
    return &s->routing;
}

const bblx_name *
bbl_state_evacuated_zone(const bbl_state *s, size_t i)
{
    return i < s->evacuated.size ? bbl_vec_at(&s->evacuated, i) : NULL;
}

const bblx_rollout *
bbl_state_rollout(const bbl_state *s, size_t i)
{
    return i < s->rollouts.size ? bbl_vec_at(&s->rollouts, i) : NULL;
}

const bblx_rollout *
bbl_state_find_rollout(const bbl_state *s, bbl_str service)
{
    long at = find_rollout(s, service);

    return at >= 0 ? bbl_vec_at(&s->rollouts, (size_t)at) : NULL;
}

size_t
bbl_state_claim_count(const bbl_state *s)
{
    return s->claims.size;
}

bool
bbl_state_is_evacuation(bbl_str data)
{
    return data.size >= 4 && data.ptr[3] == BBLX_EVACUATE;
}

bool
bbl_state_is_rollout(bbl_str data)
{
    return data.size >= 4 && data.ptr[3] == BBLX_ROLLOUT;
}

bool
bbl_state_is_feed_command(bbl_str data)
{
    char kind = data.size >= 4 ? data.ptr[3] : 0;

    return kind == BBLX_LISTS || kind == BBLX_ASSIGN || kind == BBLX_VOTERS ||
           kind == BBLX_ROUTING || kind == BBLX_EVACUATE ||
           kind == BBLX_ROLLOUT;
}
