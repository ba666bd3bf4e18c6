#include "control/rows.h"

#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"

/* Stale change references that are kept without pruning. */
#define STALE_CHANGES_MIN 64
/* The platform rounds the end of a cold start. */
#define COLD_TOLERANCE_US (250 * BBL_USEC_PER_MS)
/* Calls of bbl_rows_expire_reports that a report of health outlasts: ratings
 * lapse within 2 s, and the later calls only keep its serial number. */
#define HEALTH_ROUNDS_MAX 1
/* Rows of servers marked as gone that are kept without pruning. */
#define GONE_BACKENDS_MAX 4096
#define KEY_SEED 61
#define VERSION_HASH_SEED 67

typedef enum { ROW_REPORT, ROW_MEMBER, ROW_BACKEND } row_kind;

/* One change; it is stale if the row has a later revision. */
typedef struct {
    uint64_t revision;
    uint64_t key;
    row_kind kind;
} change_ref;

void
bbl_rows_init(bbl_rows *rows)
{
    memset(rows, 0, sizeof(*rows));
    rows->changes = (bbl_vec)BBL_VEC_INIT(change_ref);
}

void
bbl_rows_free(bbl_rows *rows)
{
    bbl_report_row *report;
    bbl_member_row *member;
    bbl_backend_row *backend;
    size_t pos = 0;

    while ((report = bbl_map_next(&rows->reports, &pos)) != NULL) {
        BBL_XDR_FREE(bblx_report, &report->report);
        free(report);
    }
    pos = 0;
    while ((member = bbl_map_next(&rows->members, &pos)) != NULL) {
        BBL_XDR_FREE(bblx_member_row, &member->member);
        free(member);
    }
    pos = 0;
    while ((backend = bbl_map_next(&rows->backends, &pos)) != NULL) {
        BBL_XDR_FREE(bblx_backend, &backend->backend);
        free(backend);
    }
    bbl_map_free(&rows->backends);
    bbl_map_free(&rows->reports);
    bbl_map_free(&rows->members);
    bbl_vec_free(&rows->changes);
}

static uint64_t
current_revision(const bbl_rows *rows, const change_ref *ref)
{
    if (ref->kind == ROW_MEMBER) {
        bbl_member_row *row = bbl_map_get(&rows->members, ref->key);

        return row ? row->revision : 0;
    }
    if (ref->kind == ROW_BACKEND) {
        bbl_backend_row *row = bbl_map_get(&rows->backends, ref->key);

        return row ? row->revision : 0;
    }
    bbl_report_row *row = bbl_map_get(&rows->reports, ref->key);

    return row ? row->revision : 0;
}

static void
prune_changes(bbl_rows *rows)
{
    size_t kept = 0;
    size_t live =
        rows->reports.size + rows->members.size + rows->backends.size;

    if (rows->changes.size < 2 * live + STALE_CHANGES_MIN) {
        return;
    }
    for (size_t i = 0; i < rows->changes.size; i++) {
        change_ref *ref = bbl_vec_at(&rows->changes, i);

        if (current_revision(rows, ref) == ref->revision) {
            *BBL_VEC_AT(change_ref, &rows->changes, kept) = *ref;
            kept++;
        }
    }
    rows->changes.size = kept;
}

static uint64_t
record_change(bbl_rows *rows, uint64_t key, row_kind kind)
{
    change_ref ref = {++rows->revision, key, kind};

    if (kind == ROW_BACKEND) {
        rows->backend_revision = rows->revision;
    }
    prune_changes(rows);
    bbl_vec_push(&rows->changes, &ref);
    return ref.revision;
}

/* Makes a deep copy of a value of any XDR type by encoding and decoding it. */
static void
deep_copy(void *to, const void *from, xdrproc_t proc)
{
    bbl_buf bytes = BBL_BUF_INIT;

    if (bbl_xdr_encode(&bytes, proc, from) != 0 ||
        bbl_xdr_decode(to, proc, bbl_buf_str(&bytes)) != 0) {
        abort();
    }
    bbl_buf_free(&bytes);
}

static bool
is_newer(const bblx_report *a, const bblx_report *b)
{
    return a->epoch > b->epoch ||
           (a->epoch == b->epoch && a->serial > b->serial);
}

bool
bbl_rows_update_report(bbl_rows *rows, const bblx_report *report,
                       bool from_subtree, bool pending)
{
    bbl_report_row *row = bbl_map_get(&rows->reports, report->searcher);
    bblx_report copy;

    if (row != NULL && !is_newer(report, &row->report)) {
        return false;
    }
    if (row == NULL) {
        row = bbl_calloc(1, sizeof(*row));
        bbl_map_set(&rows->reports, report->searcher, row);
    }
    memset(&copy, 0, sizeof(copy));
    deep_copy(&copy, report, (xdrproc_t)xdr_bblx_report);
    BBL_XDR_FREE(bblx_report, &row->report);
    row->report = copy;
    row->rounds = 0;
    row->from_subtree = from_subtree;
    row->pending = pending;
    row->revision = record_change(rows, report->searcher, ROW_REPORT);
    return true;
}

static bool
same_member(const bblx_member_row *a, const bblx_member_row *b)
{
    return a->incarnation == b->incarnation && a->live == b->live &&
           a->draining == b->draining && a->entry == b->entry &&
           bbl_str_equal(bbl_wire_name_str(&a->zone),
                         bbl_wire_name_str(&b->zone)) &&
           memcmp(&a->control, &b->control, sizeof(a->control)) == 0 &&
           memcmp(&a->traffic, &b->traffic, sizeof(a->traffic)) == 0;
}

bool
bbl_rows_update_member(bbl_rows *rows, const bblx_member_row *member)
{
    bbl_member_row *row = bbl_map_get(&rows->members, member->host);
    bblx_member_row copy;

    if (row != NULL && same_member(&row->member, member)) {
        return false;
    }
    if (row == NULL) {
        row = bbl_calloc(1, sizeof(*row));
        bbl_map_set(&rows->members, member->host, row);
    }
    /* `member` may borrow from the stored row. */
    memset(&copy, 0, sizeof(copy));
    deep_copy(&copy, member, (xdrproc_t)xdr_bblx_member_row);
    BBL_XDR_FREE(bblx_member_row, &row->member);
    row->member = copy;
    row->revision = record_change(rows, member->host, ROW_MEMBER);
    return true;
}

static bool
same_backend(const bblx_backend *a, const bblx_backend *b)
{
    return a->leaving == b->leaving && a->gone == b->gone &&
           a->born == b->born && a->slots == b->slots &&
           a->address.ip == b->address.ip &&
           a->address.port == b->address.port &&
           bbl_str_equal(bbl_wire_label_str(&a->service),
                         bbl_wire_label_str(&b->service)) &&
           bbl_str_equal(bbl_wire_name_str(&a->zone),
                         bbl_wire_name_str(&b->zone));
}

static bool
same_cold_end(bbl_usec a, bbl_usec b, bbl_usec now)
{
    if (a <= now && b <= now) {
        return true;
    }
    return a > b ? a - b <= COLD_TOLERANCE_US : b - a <= COLD_TOLERANCE_US;
}

static uint64_t
backend_key(const bblx_label *id)
{
    return bbl_hash(id->bblx_label_val, id->bblx_label_len, 11);
}

bool
bbl_rows_update_backend(bbl_rows *rows, const bblx_backend *backend,
                        bbl_usec now)
{
    uint64_t key = backend_key(&backend->id);
    bbl_backend_row *row = bbl_map_get(&rows->backends, key);
    bbl_usec cold_until = now + backend->cold_ms * BBL_USEC_PER_MS;
    bblx_backend copy;

    if (row != NULL && same_backend(&row->backend, backend) &&
        same_cold_end(row->cold_until, cold_until, now)) {
        return false;
    }
    if (row == NULL) {
        if (backend->gone) {
            return false;
        }
        row = bbl_calloc(1, sizeof(*row));
        bbl_map_set(&rows->backends, key, row);
    }
    memset(&copy, 0, sizeof(copy));
    deep_copy(&copy, backend, (xdrproc_t)xdr_bblx_backend);
    BBL_XDR_FREE(bblx_backend, &row->backend);
    row->backend = copy;
    row->cold_until = backend->cold_ms > 0 ? cold_until : 0;
    row->revision = record_change(rows, key, ROW_BACKEND);
    return true;
}

/*
 * Removes the servers that are gone once there are too many of them. Children
 * keep these rows, which is harmless because they are marked as gone.
 */
static void
prune_gone(bbl_rows *rows)
{
    bbl_vec keys = BBL_VEC_INIT(uint64_t);
    bbl_backend_row *row;
    size_t pos = 0;

    while ((row = bbl_map_next(&rows->backends, &pos)) != NULL) {
        if (row->backend.gone) {
            uint64_t key = backend_key(&row->backend.id);

            bbl_vec_push(&keys, &key);
        }
    }
    for (size_t i = 0; keys.size > GONE_BACKENDS_MAX && i < keys.size; i++) {
        row = bbl_map_remove(&rows->backends, *BBL_VEC_AT(uint64_t, &keys, i));
        BBL_XDR_FREE(bblx_backend, &row->backend);
        free(row);
    }
    bbl_vec_free(&keys);
}

/* Returns whether two entries name one process of one service. */
static bool
is_same_server(const bblx_backend *a, const bblx_backend *b)
{
    return a->address.ip == b->address.ip &&
           a->address.port == b->address.port &&
           a->service.bblx_label_len == b->service.bblx_label_len &&
           memcmp(a->service.bblx_label_val, b->service.bblx_label_val,
                  a->service.bblx_label_len) == 0;
}

/*
 * Returns which of two entries with one id counts: the one that agrees with
 * what is known of the server, or else the first one. If both do, the one that
 * says that the server is leaving.
 */
static const bblx_backend *
choose_entry(const bblx_backend *first, const bblx_backend *second,
             const bbl_backend_row *row)
{
    if (is_same_server(first, second)) {
        return second->leaving ? second : first;
    }
    return row != NULL && is_same_server(second, &row->backend) ? second
                                                                : first;
}

bool
bbl_rows_replace_catalog(bbl_rows *rows, const bblx_backend *backends,
                         size_t count, bbl_usec now)
{
    bbl_map listed = BBL_MAP_INIT;
    const bblx_backend *entry;
    bool changed = false;
    bbl_backend_row *row;
    size_t pos = 0;

    for (size_t i = 0; i < count; i++) {
        uint64_t key = backend_key(&backends[i].id);

        entry = bbl_map_get(&listed, key);
        row = bbl_map_get(&rows->backends, key);
        entry = entry != NULL ? choose_entry(entry, &backends[i], row)
                              : &backends[i];
        bbl_map_set(&listed, key, (void *)entry);
    }
    while ((entry = bbl_map_next(&listed, &pos)) != NULL) {
        changed = bbl_rows_update_backend(rows, entry, now) || changed;
    }
    pos = 0;
    while ((row = bbl_map_next(&rows->backends, &pos)) != NULL) {
        uint64_t key = backend_key(&row->backend.id);

        if (!row->backend.gone && bbl_map_get(&listed, key) == NULL) {
            row->backend.gone = TRUE;
            row->revision = record_change(rows, key, ROW_BACKEND);
            changed = true;
        }
    }
    bbl_map_free(&listed);
    prune_gone(rows);
    return changed;
}

uint64_t
bbl_backend_get_key(const bblx_backend *listed)
{
    return bbl_hash(listed->id.bblx_label_val, listed->id.bblx_label_len,
                    KEY_SEED) ^
           bbl_hash(&listed->born, sizeof(listed->born), KEY_SEED);
}

uint64_t
bbl_version_hash(bbl_str version)
{
    uint64_t hash = bbl_hash(version.ptr, version.size, VERSION_HASH_SEED);

    return hash != 0 ? hash : 1;
}

void
bbl_backend_copy(bblx_backend *to, const bblx_backend *from)
{
    *to = *from;
    to->id.bblx_label_val =
        bbl_memdup(from->id.bblx_label_val, from->id.bblx_label_len);
    to->service.bblx_label_val =
        bbl_memdup(from->service.bblx_label_val, from->service.bblx_label_len);
    to->zone.bblx_name_val =
        bbl_memdup(from->zone.bblx_name_val, from->zone.bblx_name_len);
}

const bbl_backend_row *
bbl_rows_next_backend(const bbl_rows *rows, size_t *pos)
{
    return bbl_map_next(&rows->backends, pos);
}

void
bbl_rows_confirm_report(bbl_rows *rows, const bblx_report *seen)
{
    bbl_report_row *row = bbl_map_get(&rows->reports, seen->searcher);

    if (row != NULL && row->report.epoch == seen->epoch &&
        row->report.serial == seen->serial) {
        row->pending = false;
    }
}

void
bbl_rows_unconfirm_reports(bbl_rows *rows)
{
    bbl_report_row *row;
    size_t pos = 0;

    while ((row = bbl_map_next(&rows->reports, &pos)) != NULL) {
        row->pending = row->from_subtree;
    }
}

void
bbl_rows_collect_pending(const bbl_rows *rows, bbl_vec *out, size_t max)
{
    bbl_report_row *row;
    size_t pos = 0;

    while (out->size < max &&
           (row = bbl_map_next(&rows->reports, &pos)) != NULL) {
        if (row->pending) {
            bbl_vec_push(out, &row->report);
        }
    }
}

/* Returns the position of the first change after revision `since`. */
static size_t
first_after(const bbl_rows *rows, uint64_t since)
{
    size_t low = 0;
    size_t high = rows->changes.size;

    while (low < high) {
        size_t mid = (low + high) / 2;

        if (BBL_VEC_AT(change_ref, &rows->changes, mid)->revision <= since) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    return low;
}

static void
add_backend(const bbl_rows *rows, uint64_t key, bbl_usec now, bbl_vec *out)
{
    const bbl_backend_row *row = bbl_map_get(&rows->backends, key);
    bblx_backend *copy = bbl_vec_add(out);

    *copy = row->backend;
    copy->cold_ms = row->cold_until > now
                        ? (u_int)((row->cold_until - now) / BBL_USEC_PER_MS)
                        : 0;
}

uint64_t
bbl_rows_collect_since(const bbl_rows *rows, uint64_t since, size_t max,
                       bbl_usec now, bbl_vec *reports, bbl_vec *members,
                       bbl_vec *backends)
{
    size_t i = first_after(rows, since);

    for (; i < rows->changes.size; i++) {
        const change_ref *ref = bbl_vec_at(&rows->changes, i);

        if (current_revision(rows, ref) != ref->revision) {
            continue;
        }
        if (reports->size + members->size + backends->size >= max) {
            return ref->revision - 1;
        }
        if (ref->kind == ROW_BACKEND) {
            add_backend(rows, ref->key, now, backends);
        }
        else if (ref->kind == ROW_MEMBER) {
            bbl_vec_push(members,
                         bbl_rows_get_member(rows, (uint32_t)ref->key));
        }
        else {
            bbl_vec_push(reports,
                         bbl_rows_get_report(rows, (uint32_t)ref->key));
        }
    }
    return rows->revision;
}

const bblx_report *
bbl_rows_get_report(const bbl_rows *rows, uint32_t searcher)
{
    bbl_report_row *row = bbl_map_get(&rows->reports, searcher);

    return row ? &row->report : NULL;
}

const bblx_report *
bbl_rows_next_report(const bbl_rows *rows, size_t *pos, uint64_t *revision)
{
    bbl_report_row *row = bbl_map_next(&rows->reports, pos);

    *revision = row ? row->revision : 0;
    return row ? &row->report : NULL;
}

void
bbl_rows_expire_reports(bbl_rows *rows, unsigned rounds_max)
{
    bbl_vec keys = BBL_VEC_INIT(uint64_t);
    bbl_report_row *row;
    size_t pos = 0;

    while ((row = bbl_map_next(&rows->reports, &pos)) != NULL) {
        uint64_t key = row->report.searcher;
        unsigned max =
            row->report.phase == BBLX_HEALTH ? HEALTH_ROUNDS_MAX : rounds_max;

        if (row->report.phase >= BBLX_RATE_LIMIT && ++row->rounds > max) {
            bbl_vec_push(&keys, &key);
        }
    }
    for (size_t i = 0; i < keys.size; i++) {
        row = bbl_map_remove(&rows->reports, *BBL_VEC_AT(uint64_t, &keys, i));
        BBL_XDR_FREE(bblx_report, &row->report);
        free(row);
    }
    bbl_vec_free(&keys);
}

const bblx_member_row *
bbl_rows_get_member(const bbl_rows *rows, uint32_t host)
{
    bbl_member_row *row = bbl_map_get(&rows->members, host);

    return row ? &row->member : NULL;
}

const bblx_member_row *
bbl_rows_next_member(const bbl_rows *rows, size_t *pos)
{
    bbl_member_row *row = bbl_map_next(&rows->members, pos);

    return row ? &row->member : NULL;
}
