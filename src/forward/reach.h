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
    /* When a server last responded or accepted a connection; 0: never. */
    bbl_usec contact_at;
} bbl_reach;

const char *bbl_reach_level_name(bbl_reach_level level);

/* Starts to count the servers anew; `level` is kept. */
void bbl_reach_start_count(bbl_reach *reach);

/* Counts one server. */
void bbl_reach_count(bbl_reach *reach, const bbl_backend *backend,
                     bbl_usec now);

/* Updates the level. Returns whether it has changed. */
bool bbl_reach_finish_count(bbl_reach *reach);

#endif
