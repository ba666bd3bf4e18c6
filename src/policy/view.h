/*
 * view.h - an immutable snapshot of the cluster state for the traffic threads:
 * the lists, the searchers with their owners and index versions, and the
 * daemons. The control thread builds a new view after each change.
 *
 * To build one, call bbl_view_new, bbl_view_set_lists, bbl_view_add_searcher
 * and bbl_view_add_member, then bbl_view_finish. The other functions need a
 * finished view.
 */
#ifndef BBL_VIEW_H
#define BBL_VIEW_H

#include "bbl/lists.h"
#include "model/codec.h"
#include "util/map.h"
#include "util/vec.h"

/* The latest known state of one searcher. */
typedef struct {
    uint32_t searcher;
    uint32_t owner;       /* host id; 0: no owner */
    uint64_t incarnation; /* of the owner */
    bool owner_live;
    uint64_t epoch;
    /* Wait of a new owner before it uses the searcher; 0: none. */
    uint32_t takeover_delay_us;
    bbl_name zone;
    bbl_name service;
    bblx_address address;
    uint32_t slots;
    uint32_t connections; /* maximum number of connections */
    uint32_t next_owner;  /* host that it is handed over to; 0: none */
    bool leaving;         /* shutting down, by the platform's list */
    bool reported;        /* whether the fields below are known */
    uint64_t boot;        /* identifies one run of the searcher process */
    bblx_phase phase;
    uint32_t limit;
    uint32_t handover_limit; /* last limit of the previous owner; 0: none */
    bblx_index *indexes;     /* owned by the view */
    size_t index_count;
} bbl_view_searcher;

/*
 * One index version and the searchers that hold each shard. The holders of
 * shard `i` are rows[offsets[i]] up to, not including, rows[offsets[i + 1]].
 */
typedef struct {
    uint64_t version;
    uint32_t shard_total;
    uint32_t covered_count; /* shards with a usable searcher */
    uint32_t *offsets;      /* shard_total + 1 offsets into rows */
    uint32_t *rows;         /* indexes for bbl_view_searcher_at */
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

/* Creates an empty view; free it with bbl_view_free. */
bbl_view *bbl_view_new(uint64_t revision);

/*
 * Sets the lists.
 *
 * @param lists borrowed; must outlive the view; may be NULL
 */
void bbl_view_set_lists(bbl_view *view, const bbl_lists *lists);

/*
 * Adds a searcher; the data is copied.
 *
 * @param report the latest report of an owner; may be NULL
 */
void bbl_view_add_searcher(bbl_view *view, const bblx_assign *assign,
                           const bblx_report *report);

/* Adds a daemon; the data is copied. */
void bbl_view_add_member(bbl_view *view, const bblx_member_row *member);

/* Computes the index tables. The view does not change afterwards. */
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

/* Returns the number of live daemons that are not draining, minimum 1. */
uint32_t bbl_view_live_count(const bbl_view *view);

/*
 * Returns the newest index version in which usable searchers cover all of the
 * given shards. If there is none, returns the version with the highest
 * fraction of covered shards, or NULL if there is no version.
 *
 * @param shards NULL for all shards
 * @param after  only versions above this one are considered
 */
const bbl_view_index *bbl_view_select_index(const bbl_view *view,
                                            const uint32_t *shards,
                                            size_t count, uint64_t after);

/* Returns an index version, or NULL if no searcher reports it any more. */
const bbl_view_index *bbl_view_find_index(const bbl_view *view,
                                          uint64_t version);

/*
 * Finds the range of shards of a service in an index version.
 *
 * @param first set to the first shard
 * @param count set to the number of shards
 * @return 0, or BBL_ENOTFOUND
 */
int bbl_view_find_service_shards(const bbl_view *view, uint64_t version,
                                 const bbl_name *service, uint32_t *first,
                                 uint32_t *count);

/*
 * Copies index versions with their shard arrays.
 *
 * @return an array of `count` items; free it with bbl_indexes_free
 */
bblx_index *bbl_indexes_copy(const bblx_index *from, size_t count);
void bbl_indexes_free(bblx_index *indexes, size_t count);

/* Returns whether a searcher may get new work at all. */
bool bbl_view_searcher_usable(const bbl_view_searcher *searcher);

#endif
