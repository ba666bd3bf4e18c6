/*
 * view.h - an immutable picture of the tier for the traffic threads: the
 * lists, the searchers with their owners and index versions, the members.
 * The control thread builds a new one after each change.
 */
#ifndef BBL_VIEW_H
#define BBL_VIEW_H

#include "bbl/lists.h"
#include "model/codec.h"
#include "util/map.h"
#include "util/vec.h"

/* One searcher as last known. */
typedef struct {
    uint32_t searcher;
    uint32_t owner;       /* host id; 0: nobody */
    uint64_t incarnation; /* of the owner */
    bool owner_live;
    uint64_t epoch;
    uint32_t takeover_delay_us;
    bbl_name zone;
    bbl_name service;
    bblx_address address;
    uint32_t slots;
    uint32_t connections;
    uint32_t next_owner; /* host that the owner shall hand over to; 0: none */
    bool leaving;        /* by the platform's list */
    bool reported;       /* the fields below are known */
    uint64_t boot;
    bblx_phase phase;
    uint32_t limit;
    uint32_t handover_limit; /* of the owner that handed over; 0: none did */
    bblx_index *indexes;     /* owned by the view */
    size_t index_count;
} bbl_view_searcher;

/* One index version: which searchers hold which shard. */
typedef struct {
    uint64_t version;
    uint32_t shard_total;   /* shards */
    uint32_t covered_count; /* shards with at least one usable searcher */
    uint32_t *offsets;      /* total + 1 offsets into rows */
    uint32_t *rows;         /* places in the searchers vector */
} bbl_view_index;

/* One daemon. */
typedef struct {
    uint32_t host;
    uint64_t incarnation;
    bool live;
    bool draining;
    bbl_name zone;
    bblx_address traffic_address;
} bbl_view_member;

typedef struct bbl_view bbl_view;

/* Collects rows for a view; see bbl_view_finish. */
bbl_view *bbl_view_new(uint64_t revision);

/*
 * Sets the lists.
 *
 * @param lists shared with the caller, who keeps it alive; may be NULL
 */
void bbl_view_set_lists(bbl_view *view, const bbl_lists *lists);

/* Adds a searcher; `report` may be NULL. */
void bbl_view_add_searcher(bbl_view *view, const bblx_assign *assign,
                           const bblx_report *report);

/* Adds a daemon. */
void bbl_view_add_member(bbl_view *view, const bblx_member_row *member);

/* Computes the index tables; the view does not change afterwards. */
void bbl_view_finish(bbl_view *view);

void bbl_view_free(bbl_view *view);

uint64_t bbl_view_revision(const bbl_view *view);
const bbl_lists *bbl_view_lists(const bbl_view *view);
size_t bbl_view_searcher_count(const bbl_view *view);
const bbl_view_searcher *bbl_view_searcher_at(const bbl_view *view, size_t i);

/* Returns a searcher by id, or NULL. */
const bbl_view_searcher *bbl_view_find_searcher(const bbl_view *view,
                                                uint32_t searcher);

/* Returns a daemon by host id, or NULL. */
const bbl_view_member *bbl_view_find_member(const bbl_view *view,
                                            uint32_t host);

/* Returns the number of live daemons that take work, at least 1. */
uint32_t bbl_view_live_count(const bbl_view *view);

/*
 * Returns the newest version that covers every shard asked for; failing
 * that, the one that covers the most of itself; NULL if there is none.
 *
 * @param shards NULL for all
 * @param after  only versions above this one
 */
const bbl_view_index *bbl_view_select_index(const bbl_view *view,
                                            const uint32_t *shards,
                                            size_t count, uint64_t after);

/* Returns a version, or NULL when no searcher reports it any more. */
const bbl_view_index *bbl_view_find_index(const bbl_view *view,
                                          uint64_t version);

/*
 * Returns the shards of a service in a version.
 *
 * @return 0, or BBL_ENOTFOUND
 */
int bbl_view_find_service_shards(const bbl_view *view, uint64_t version,
                                 const bbl_name *service, uint32_t *first,
                                 uint32_t *count);

/*
 * Copies index versions with their shard arrays.
 *
 * @return an array of `count`, freed by bbl_indexes_free
 */
bblx_index *bbl_indexes_copy(const bblx_index *from, size_t count);
void bbl_indexes_free(bblx_index *indexes, size_t count);

/* Returns whether a searcher may get new work at all. */
bool bbl_view_searcher_usable(const bbl_view_searcher *searcher);

#endif
