/*
 * reach.h - how many of the listed backend servers this host can reach. A host
 * may lose its links to the servers while callers, control hosts and other
 * entry hosts still reach it.
 */
#ifndef BBL_FORWARD_REACH_H
#define BBL_FORWARD_REACH_H

#include "forward/backend.h"

typedef enum {
    BBL_REACH_MOST, /* at least half of the servers, or none is listed */
    BBL_REACH_FEW,  /* less than half of them */
    BBL_REACH_NONE
} bbl_reach_level;

/* Zero-initialized. */
typedef struct {
    bbl_reach_level level;
    unsigned usable;      /* servers that may get work */
    unsigned unreachable; /* down, or not confirmed since they were */
    /* Servers whose attempts wait for long, and none has responded since. */
    unsigned overdue;
    /* Whether no server responds, so that the links of this host are lost. */
    bool isolated;
    bbl_usec isolated_at;
    /* When a server last responded or accepted a connection; 0: never. */
    bbl_usec contact_at;
} bbl_reach;

const char *bbl_reach_level_name(bbl_reach_level level);

/* Parses the name of a level; returns 0 or BBL_EINVAL. */
int bbl_reach_level_parse(bbl_reach_level *out, bbl_str name);

/* Returns the level, which is BBL_REACH_NONE for an isolated host. */
bbl_reach_level bbl_reach_get_level(const bbl_reach *reach);

/* Starts to count the servers anew; `level` is kept. */
void bbl_reach_start_count(bbl_reach *reach);

/* Counts one server. */
void bbl_reach_count(bbl_reach *reach, const bbl_backend *backend,
                     bbl_usec now);

/*
 * Returns whether a server is overdue: it has not answered its oldest attempt
 * in time, and no other server has responded since that was sent.
 *
 * @param service_time usual time of that attempt
 */
bool bbl_reach_is_overdue(const bbl_reach *reach, const bbl_backend *backend,
                          bbl_usec now, bbl_usec service_time);

/* Updates the level. Returns whether it has changed. */
bool bbl_reach_finish_count(bbl_reach *reach);

/*
 * Updates `isolated` with the number of overdue servers. Returns whether the
 * host has just become isolated.
 */
bool bbl_reach_update_isolated(bbl_reach *reach, bbl_usec now);

#endif
