#include "policy/view.h"

#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "util/alloc.h"

struct bbl_view {
    uint64_t revision;
    const bbl_lists *lists;
    bbl_vec searchers; /* bbl_view_searcher */
    bbl_map by_id;     /* searcher -> index in searchers + 1 */
    bbl_vec members;   /* bbl_view_member */
    bbl_map by_host;   /* host -> index in members + 1 */
    bbl_vec indexes;   /* bbl_view_index, newest version first */
};

bbl_view *
bbl_view_new(uint64_t revision)
{
    bbl_view *v = bbl_calloc(1, sizeof(*v));

    v->revision = revision;
    v->searchers = (bbl_vec)BBL_VEC_INIT(bbl_view_searcher);
    v->members = (bbl_vec)BBL_VEC_INIT(bbl_view_member);
    v->indexes = (bbl_vec)BBL_VEC_INIT(bbl_view_index);
    return v;
}

void
bbl_view_set_lists(bbl_view *v, const bbl_lists *lists)
{
    v->lists = lists;
}

bblx_index *
bbl_indexes_copy(const bblx_index *from, size_t count)
{
    bblx_index *to = bbl_calloc(count, sizeof(*to));

    for (size_t i = 0; i < count; i++) {
        size_t bytes = from[i].shards.shards_len * sizeof(u_int);

        to[i] = from[i];
        to[i].shards.shards_val =
            (u_int *)bbl_memdup(from[i].shards.shards_val, bytes);
    }
    return to;
}

void
bbl_indexes_free(bblx_index *indexes, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        free(indexes[i].shards.shards_val);
    }
    free(indexes);
}

void
bbl_view_add_searcher(bbl_view *v, const bblx_assign *a,
                      const bblx_report *report)
{
    bbl_view_searcher *s = bbl_vec_add(&v->searchers);

    s->searcher = a->place.searcher;
    s->owner = a->owner;
    s->incarnation = a->incarnation;
    s->epoch = a->epoch;
    s->takeover_delay_us = a->takeover_delay_us;
    bbl_name_from_wire(&s->zone, &a->place.zone);
    bbl_name_from_wire(&s->service, &a->place.service);
    s->address = a->place.address;
    s->slots = a->place.slots;
    s->connections = a->place.connections;
    s->leaving = a->place.leaving;
    s->next_owner = a->next_owner;
    if (report != NULL) {
        s->reported = true;
        s->boot = report->boot;
        s->phase = report->epoch == a->epoch ? report->phase : BBLX_COLD;
        s->limit = report->epoch == a->epoch ? report->limit : 1;
        if (report->epoch < a->epoch && a->takeover_delay_us == 0) {
            s->handover_limit = report->limit;
        }
        s->index_count = report->indexes.indexes_len;
        s->indexes =
            bbl_indexes_copy(report->indexes.indexes_val, s->index_count);
    }
    bbl_map_set(&v->by_id, s->searcher, (void *)(uintptr_t)v->searchers.size);
}

void
bbl_view_add_member(bbl_view *v, const bblx_member_row *row)
{
    bbl_view_member *m = bbl_vec_add(&v->members);

    m->host = row->host;
    m->incarnation = row->incarnation;
    m->live = row->live;
    m->draining = row->draining;
    bbl_name_from_wire(&m->zone, &row->zone);
    m->traffic_address = row->traffic;
    bbl_map_set(&v->by_host, m->host, (void *)(uintptr_t)v->members.size);
}

bool
bbl_view_searcher_usable(const bbl_view_searcher *s)
{
    return s->reported && s->owner_live && !s->leaving &&
           s->phase != BBLX_LEAVING && s->phase != BBLX_DOWN &&
           s->phase != BBLX_HELD && s->phase != BBLX_RELEASED;
}

/* Returns the entry of an index version; adds it, newest version first. */
static bbl_view_index *
get_index(bbl_view *v, uint64_t version, uint32_t total)
{
    bbl_view_index row = {.version = version, .shard_total = total};
    size_t i = 0;

    while (i < v->indexes.size) {
        bbl_view_index *x = bbl_vec_at(&v->indexes, i);

        if (x->version == version) {
            return x;
        }
        if (x->version < version) {
            break;
        }
        i++;
    }
    bbl_vec_add(&v->indexes);
    for (size_t j = v->indexes.size - 1; j > i; j--) {
        *BBL_VEC_AT(bbl_view_index, &v->indexes, j) =
            *BBL_VEC_AT(bbl_view_index, &v->indexes, j - 1);
    }
    row.offsets = bbl_calloc((size_t)total + 2, sizeof(*row.offsets));
    *BBL_VEC_AT(bbl_view_index, &v->indexes, i) = row;
    return bbl_vec_at(&v->indexes, i);
}

/* Calls `each` for every shard of every index version at every searcher. */
static void
for_each_holding(bbl_view *v, void (*each)(bbl_view_index *x, uint32_t shard,
                                           uint32_t position))
{
    for (size_t p = 0; p < v->searchers.size; p++) {
        const bbl_view_searcher *s = bbl_vec_at(&v->searchers, p);

        for (size_t i = 0; i < s->index_count; i++) {
            const bblx_index *held = &s->indexes[i];
            bbl_view_index *x = get_index(v, held->number, held->total);

            for (u_int k = 0; k < held->shards.shards_len; k++) {
                if (held->shards.shards_val[k] < x->shard_total) {
                    each(x, held->shards.shards_val[k], (uint32_t)p);
                }
            }
        }
    }
}

/*
 * Counts into offsets[shard + 2]: add_holding advances offsets[shard + 1]
 * while it fills the rows, which leaves each offset at its final value.
 */
static void
count_holding(bbl_view_index *x, uint32_t shard, uint32_t position)
{
    (void)position;
    x->offsets[shard + 2]++;
}

static void
add_holding(bbl_view_index *x, uint32_t shard, uint32_t position)
{
    x->rows[x->offsets[shard + 1]++] = position;
}

static void
compute_offsets(bbl_view_index *x)
{
    for (uint32_t i = 2; i <= x->shard_total + 1; i++) {
        x->offsets[i] += x->offsets[i - 1];
    }
    x->rows = bbl_calloc(x->offsets[x->shard_total + 1], sizeof(*x->rows));
}

static bool
is_shard_covered(const bbl_view *v, const bbl_view_index *x, uint32_t shard)
{
    for (uint32_t i = x->offsets[shard]; i < x->offsets[shard + 1]; i++) {
        if (bbl_view_searcher_usable(bbl_vec_at(&v->searchers, x->rows[i]))) {
            return true;
        }
    }
    return false;
}

void
bbl_view_finish(bbl_view *v)
{
    for (size_t i = 0; i < v->searchers.size; i++) {
        bbl_view_searcher *s = bbl_vec_at(&v->searchers, i);
        const bbl_view_member *m = bbl_view_find_member(v, s->owner);

        s->owner_live =
            m != NULL && m->live && m->incarnation == s->incarnation;
    }
    for_each_holding(v, count_holding);
    for (size_t i = 0; i < v->indexes.size; i++) {
        compute_offsets(bbl_vec_at(&v->indexes, i));
    }
    for_each_holding(v, add_holding);
    for (size_t i = 0; i < v->indexes.size; i++) {
        bbl_view_index *x = bbl_vec_at(&v->indexes, i);

        for (uint32_t shard = 0; shard < x->shard_total; shard++) {
            x->covered_count += is_shard_covered(v, x, shard);
        }
    }
}

void
bbl_view_free(bbl_view *v)
{
    if (v == NULL) {
        return;
    }
    for (size_t i = 0; i < v->searchers.size; i++) {
        bbl_view_searcher *s = bbl_vec_at(&v->searchers, i);

        bbl_indexes_free(s->indexes, s->index_count);
    }
    for (size_t i = 0; i < v->indexes.size; i++) {
        bbl_view_index *x = bbl_vec_at(&v->indexes, i);

        free(x->offsets);
        free(x->rows);
    }
    bbl_vec_free(&v->searchers);
    bbl_vec_free(&v->members);
    bbl_vec_free(&v->indexes);
    bbl_map_free(&v->by_id);
    bbl_map_free(&v->by_host);
    free(v);
}

uint64_t
bbl_view_revision(const bbl_view *v)
{
    return v->revision;
}

const bbl_lists *
bbl_view_lists(const bbl_view *v)
{
    return v->lists;
}

size_t
bbl_view_searcher_count(const bbl_view *v)
{
    return v->searchers.size;
}

const bbl_view_searcher *
bbl_view_searcher_at(const bbl_view *v, size_t i)
{
    return bbl_vec_at(&v->searchers, i);
}

const bbl_view_searcher *
bbl_view_find_searcher(const bbl_view *v, uint32_t searcher)
{
    uintptr_t position = (uintptr_t)bbl_map_get(&v->by_id, searcher);

    return position ? bbl_vec_at(&v->searchers, position - 1) : NULL;
}

const bbl_view_member *
bbl_view_find_member(const bbl_view *v, uint32_t host)
{
    uintptr_t position = (uintptr_t)bbl_map_get(&v->by_host, host);

    return position ? bbl_vec_at(&v->members, position - 1) : NULL;
}

uint32_t
bbl_view_live_count(const bbl_view *v)
{
    uint32_t n = 0;

    for (size_t i = 0; i < v->members.size; i++) {
        const bbl_view_member *m = bbl_vec_at(&v->members, i);

        n += m->live && !m->draining;
    }
    return n > 0 ? n : 1;
}

static bool
covers(const bbl_view *v, const bbl_view_index *x, const uint32_t *shards,
       size_t count)
{
    if (shards == NULL) {
        return x->covered_count == x->shard_total;
    }
    for (size_t i = 0; i < count; i++) {
        if (shards[i] >= x->shard_total ||
            !is_shard_covered(v, x, shards[i])) {
            return false;
        }
    }
    return true;
}

const bbl_view_index *
bbl_view_select_index(const bbl_view *v, const uint32_t *shards, size_t count,
                      uint64_t after)
{
    const bbl_view_index *best = NULL;

    for (size_t i = 0; i < v->indexes.size; i++) {
        const bbl_view_index *x = bbl_vec_at(&v->indexes, i);

        if (x->version <= after) {
            break;
        }
        if (covers(v, x, shards, count)) {
            return x;
        }
        /* Otherwise select the highest fraction of covered shards. */
        if (best == NULL ||
            (uint64_t)x->covered_count * best->shard_total >
                (uint64_t)best->covered_count * x->shard_total) {
            best = x;
        }
    }
    return best;
}

const bbl_view_index *
bbl_view_find_index(const bbl_view *v, uint64_t version)
{
    for (size_t i = 0; i < v->indexes.size; i++) {
        const bbl_view_index *x = bbl_vec_at(&v->indexes, i);

        if (x->version == version) {
            return x;
        }
    }
    return NULL;
}

int
bbl_view_find_service_shards(const bbl_view *v, uint64_t version,
                             const bbl_name *service, uint32_t *first,
                             uint32_t *count)
{
    for (size_t i = 0; i < v->searchers.size; i++) {
        const bbl_view_searcher *s = bbl_vec_at(&v->searchers, i);

        if (!bbl_name_equal(&s->service, service)) {
            continue;
        }
        for (size_t k = 0; k < s->index_count; k++) {
            if (s->indexes[k].number == version) {
                *first = s->indexes[k].first;
                *count = s->indexes[k].count;
                return 0;
            }
        }
    }
    return bbl_error_set(BBL_ENOTFOUND, "no searcher serves this service");
}
