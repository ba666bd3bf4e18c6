/*
 * rows.h - ephemeral rows that are distributed through the relay tree: the
 * reports of searchers by their owners, which members are live, and which
 * backend servers the platform lists. They are neither replicated nor durable;
 * after a loss, the source of a row sends it again.
 *
 * Each host numbers the changes of its rows, so that a child that names the
 * last number it has received gets only later changes.
 */
#ifndef BBL_ROWS_H
#define BBL_ROWS_H

#include "model/codec.h"
#include "util/map.h"
#include "util/vec.h"

typedef struct {
    bblx_report report; /* owned */
    uint64_t revision;
    bool from_subtree; /* from this host or a child, not from the parent */
    bool pending;      /* the parent has not confirmed it yet */
    unsigned rounds;   /* of bbl_rows_expire_reports since the last change */
} bbl_report_row;

typedef struct {
    bblx_member_row member; /* owned */
    uint64_t revision;
} bbl_member_row;

typedef struct {
    bblx_backend backend; /* owned */
    bbl_usec cold_until;  /* local time; 0 for a warm server */
    uint64_t revision;
} bbl_backend_row;

typedef struct {
    uint64_t revision;         /* number of the last change */
    bbl_map reports;           /* searcher -> bbl_report_row */
    bbl_map members;           /* host -> bbl_member_row */
    bbl_map backends;          /* hash of the id -> bbl_backend_row */
    bbl_vec changes;           /* change_ref, by revision */
    uint64_t backend_revision; /* of the last change of a backend server */
} bbl_rows;

void bbl_rows_init(bbl_rows *rows);
void bbl_rows_free(bbl_rows *rows);

/*
 * Stores a copy of a report if it is newer than the stored one.
 *
 * @param from_subtree whether it is from this host or a child, not the parent
 * @param pending      whether the parent has yet to confirm it
 * @return whether the row changed
 */
bool bbl_rows_update_report(bbl_rows *rows, const bblx_report *report,
                            bool from_subtree, bool pending);

/* Stores a copy of a member's row; returns whether it changed. */
bool bbl_rows_update_member(bbl_rows *rows, const bblx_member_row *member);

/*
 * Stores a copy of one backend server as the platform lists it; `cold_ms`
 * counts from `now`. A new end of the cold start within 250 ms of the stored
 * one is no change.
 *
 * @return whether the row changed
 */
bool bbl_rows_update_backend(bbl_rows *rows, const bblx_backend *backend,
                             bbl_usec now);

/*
 * Stores a complete list and marks the servers missing from it as gone.
 *
 * @return whether any row changed
 */
bool bbl_rows_replace_catalog(bbl_rows *rows, const bblx_backend *backends,
                              size_t count, bbl_usec now);

/*
 * Returns the key of an incarnation of a server, equal on all hosts. A server
 * that restarts under its id has another key.
 */
uint64_t bbl_backend_get_key(const bblx_backend *listed);

/* Returns a hash of the version of servers, equal on all hosts; never 0. */
uint64_t bbl_version_hash(bbl_str version);

/* Makes a deep copy of a backend server; the caller owns its strings. */
void bbl_backend_copy(bblx_backend *to, const bblx_backend *from);

/* Iterates over the backend servers as bbl_map_next does. */
const bbl_backend_row *bbl_rows_next_backend(const bbl_rows *rows,
                                             size_t *pos);

/* Marks a report as confirmed by the parent if `seen` is the same report. */
void bbl_rows_confirm_report(bbl_rows *rows, const bblx_report *seen);

/* Marks the reports from the subtree as pending for a new parent. */
void bbl_rows_unconfirm_reports(bbl_rows *rows);

/* Appends borrowed copies of up to `max` pending reports to `out`. */
void bbl_rows_collect_pending(const bbl_rows *rows, bbl_vec *out, size_t max);

/*
 * Appends borrowed copies of the rows that changed after revision `since`, up
 * to `max` rows in all.
 *
 * @param reports vector of bblx_report
 * @param members vector of bblx_member_row
 * @param backends vector of bblx_backend, `cold_ms` counted from `now`
 * @return the revision that the child reaches with these rows
 */
uint64_t bbl_rows_collect_since(const bbl_rows *rows, uint64_t since,
                                size_t max, bbl_usec now, bbl_vec *reports,
                                bbl_vec *members, bbl_vec *backends);

/* Returns the report of a searcher, NULL if there is none. */
const bblx_report *bbl_rows_get_report(const bbl_rows *rows,
                                       uint32_t searcher);

/*
 * Iterates over the reports as bbl_map_next does.
 *
 * @param revision set to that of the report's last change
 */
const bblx_report *bbl_rows_next_report(const bbl_rows *rows, size_t *pos,
                                        uint64_t *revision);

/*
 * Removes the reports of BBLX_RATE_LIMIT and later phases that have not
 * changed during the last `rounds_max` calls: nobody withdraws them. Those of
 * BBLX_HEALTH go with the second call.
 */
void bbl_rows_expire_reports(bbl_rows *rows, unsigned rounds_max);

/* Returns the row of a member, NULL if there is none. */
const bblx_member_row *bbl_rows_get_member(const bbl_rows *rows,
                                           uint32_t host);

/* Iterates over the members as bbl_map_next does. */
const bblx_member_row *bbl_rows_next_member(const bbl_rows *rows, size_t *pos);

#endif
