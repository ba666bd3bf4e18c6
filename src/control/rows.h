/*
 * rows.h - soft rows that travel through the relay tree: what owners report
 * of their searchers, which members live, and which backend servers the
 * platform lists. Not replicated and not durable; every row is sent again by
 * its source after a loss.
 *
 * Each table numbers its changes, so that a follower that names the last
 * number it has seen gets only what is new.
 */
#ifndef BBL_ROWS_H
#define BBL_ROWS_H

#include "model/codec.h"
#include "util/map.h"
#include "util/vec.h"

typedef struct {
    bblx_report report; /* owned */
    uint64_t revision;
    bool from_subtree; /* learnt here or from a child */
    bool pending;      /* not yet seen back from the parent */
} bbl_report_row;

typedef struct {
    bblx_member_row member; /* owned */
    uint64_t revision;
} bbl_member_row;

typedef struct {
    bblx_backend backend; /* owned */
    bbl_usec cold_until;  /* local time; 0: warm */
    uint64_t revision;
} bbl_backend_row;

typedef struct {
    uint64_t revision; /* number of the last change */
    bbl_map reports;   /* searcher -> bbl_report_row */
    bbl_map members;   /* host -> bbl_member_row */
    bbl_map backends;  /* hash of the id -> bbl_backend_row */
    bbl_vec changes;   /* change_ref, by revision */
} bbl_rows;

void bbl_rows_init(bbl_rows *rows);
void bbl_rows_free(bbl_rows *rows);

/*
 * Takes a report in if it is newer than the present one.
 *
 * @param below   learnt here or from a child, not from the parent
 * @param pending the parent has yet to confirm it
 * @return whether the row changed
 */
bool bbl_rows_update_report(bbl_rows *rows, const bblx_report *report,
                            bool below, bool pending);

/* Takes a member row in; returns whether it changed. */
bool bbl_rows_update_member(bbl_rows *rows, const bblx_member_row *member);

/*
 * Takes in what the platform lists of one backend server; `cold_ms` counts
 * from `now`. Returns whether the row changed; a cold start that ends within
 * 250 ms of what was known is no change.
 */
bool bbl_rows_update_backend(bbl_rows *rows, const bblx_backend *backend,
                             bbl_usec now);

/*
 * Takes in a whole list: what is missing from it is marked as gone.
 *
 * @return whether any row changed
 */
bool bbl_rows_replace_catalog(bbl_rows *rows, const bblx_backend *backends,
                              size_t count, bbl_usec now);

/* Makes an owned copy of a backend server's row. */
void bbl_backend_copy(bblx_backend *to, const bblx_backend *from);

/* Steps through the backend servers as bbl_map_next does. */
const bbl_backend_row *bbl_rows_next_backend(const bbl_rows *rows,
                                             size_t *pos);

/* Marks a report as known to the parent when it is as new as `seen`. */
void bbl_rows_confirm_report(bbl_rows *rows, const bblx_report *seen);

/* Marks the reports from below as unknown to a new parent. */
void bbl_rows_unconfirm_reports(bbl_rows *rows);

/* Appends borrowed copies of up to `max` pending reports to `out`. */
void bbl_rows_collect_pending(const bbl_rows *rows, bbl_vec *out, size_t max);

/*
 * Appends borrowed copies of the rows changed after `since`.
 *
 * @param reports vector of bblx_report
 * @param members vector of bblx_member_row
 * @param backends vector of bblx_backend, `cold_ms` counted from `now`
 * @return the revision that the follower has then reached
 */
uint64_t bbl_rows_collect_since(const bbl_rows *rows, uint64_t since,
                                size_t max, bbl_usec now, bbl_vec *reports,
                                bbl_vec *members, bbl_vec *backends);

/* Returns the report of a searcher, or NULL. */
const bblx_report *bbl_rows_get_report(const bbl_rows *rows,
                                       uint32_t searcher);

/* Returns the row of a member, or NULL. */
const bblx_member_row *bbl_rows_get_member(const bbl_rows *rows,
                                           uint32_t host);

/* Steps through the members as bbl_map_next does. */
const bblx_member_row *bbl_rows_next_member(const bbl_rows *rows, size_t *pos);

#endif
