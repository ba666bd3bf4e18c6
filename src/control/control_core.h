/*
 * control_core.h - the state of a host's control core and what its files call
 * of each other: feed.c carries the log, soft rows and leases between hosts,
 * control.c holds the rest.
 */
#ifndef BBL_CONTROL_CORE_H
#define BBL_CONTROL_CORE_H

#include "control/control.h"

#define BBL_SENT_BEATS 64 /* send times remembered */

/* One public entry of the log, kept for followers. */
typedef struct {
    uint64_t index;
    bbl_buf data;
} bbl_kept_entry;

/* A host that follows this one's feed. */
typedef struct {
    uint32_t host;
    bblx_address address;
    uint64_t applied;
    uint64_t revision;
    bbl_usec heard;
} bbl_feed_child;

/* A child's beat waiting to go up. */
typedef struct {
    bblx_beat beat; /* zone owned */
} bbl_relayed_beat;

struct bbl_control {
    bbl_control_options options;
    bbl_usec now;
    uint64_t wall_ms;

    bbl_quorum *quorum;
    bbl_state *full;  /* what the quorum applied; NULL without a quorum */
    bbl_state *state; /* what members follow: no claims */
    bbl_rows rows;
    bbl_registry registry;
    uint64_t led_term; /* term that the registry belongs to */

    bbl_vec kept;        /* bbl_kept_entry, oldest first */
    uint64_t kept_floor; /* entries after it are all kept */

    uint64_t feed_boot; /* names this host's numbering of rows */
    bbl_vec children;   /* bbl_feed_child */
    bbl_vec up;         /* bbl_relayed_beat */
    bool push;          /* children should hear at once */

    uint32_t parent;
    bblx_address parent_address;
    uint64_t parent_boot;
    uint64_t parent_revision;
    uint32_t leader;      /* as last told */
    uint32_t told_leader; /* whose address was told with a feed */
    bblx_address told_address;
    size_t seed_next;
    bbl_usec answered_at;  /* last grant, or the change of parent */
    bbl_usec relay_barred; /* no relay before this time */

    uint64_t beat_seq;
    bbl_usec beat_sent[BBL_SENT_BEATS]; /* by sequence number */
    bbl_usec next_beat;
    bool beat_now;
    bbl_usec lease_until;
    uint64_t required;
    bool draining;
    bool released;

    uint64_t next_number;
    bbl_vec pendings;   /* pending */
    bbl_vec waitings;   /* waiting */
    uint64_t confirmed; /* index that the traffic threads follow */
    uint64_t serial;
    uint64_t revision;
    uint64_t rows_seen;
    uint64_t lists_index;  /* log index of the present lists */
    uint64_t public_index; /* last index that matters to members */
    bbl_usec next_assign;
    bbl_usec next_publish;
    bbl_usec next_voters;
    bbl_usec next_reopen;
    bool reopening; /* there is no quorum until the disk works again */
    uint64_t voter_changes;
    bbl_usec catalog_at; /* when the list was read; 0: never */
    bbl_vec backends;    /* scratch */
    bbl_vec reports;     /* scratch */
    bbl_vec members;     /* scratch */
    bbl_vec assigns;     /* scratch */

    uint64_t beats_sent;
    uint64_t beats_relayed;
    uint64_t feeds_sent;
    uint64_t snapshots_sent;
};

/* ---- control.c ---- */

/* bbl_control_leads at the time of the present call. */
bool bbl_control_is_leading(const bbl_control *c);

void bbl_control_send(bbl_control *c, uint32_t host, bblx_address address,
                      const bblx_message *m);

/* Finds the control address of a host; false when it is not known. */
bool bbl_control_find_address(const bbl_control *c, uint32_t host,
                              bblx_address *out);

/* After a snapshot: followers of this host need one too. */
void bbl_control_restart_log(bbl_control *c);

/* Applies a committed entry to the followed state. */
void bbl_control_follow_entry(bbl_control *c, uint64_t index, bbl_str data);

/* ---- feed.c ---- */

/* Sends each child what it does not have yet. */
void bbl_feed_push(bbl_control *c);

/* Takes in a child's heartbeat, and answers it. */
void bbl_feed_take_heartbeat(bbl_control *c, uint32_t from,
                             const bblx_heartbeat *h);

/* Takes in what the parent sends. */
void bbl_feed_take(bbl_control *c, uint32_t from, const bblx_feed *f);

/* Drops the beats that wait to go up. */
void bbl_feed_drop_beats(bbl_control *c);

/* Returns the index that a lease granted now must name. */
uint64_t bbl_control_required_index(const bbl_control *c);

/* Takes over a lease. */
void bbl_control_take_grant(bbl_control *c, const bblx_grant *g);

#endif
