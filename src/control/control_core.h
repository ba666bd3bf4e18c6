/*
 * control_core.h - the state of a host's control core and what its files call
 * of each other: feed.c carries the log, soft rows and leases between hosts,
 * control.c holds the rest.
 */
#ifndef BBL_CONTROL_CORE_H
#define BBL_CONTROL_CORE_H

#include "control/control.h"

#define BBL_HEARTBEAT_TIMES 64 /* send times remembered */

/* One public entry of the log, kept for followers. */
typedef struct {
    uint64_t index;
    bbl_buf data;
} bbl_feed_entry;

/* A host that follows this one's feed. */
typedef struct {
    uint32_t host;
    bblx_address address;
    uint64_t applied;
    uint64_t revision;
    bbl_usec last_heartbeat;
} bbl_feed_child;

/* A child's beat waiting to go up. */
typedef struct {
    bblx_member_heartbeat member; /* zone owned */
} bbl_relayed_heartbeat;

struct bbl_control {
    bbl_control_options options;
    bbl_usec now;
    uint64_t wall_ms;

    bbl_quorum *quorum;
    bbl_state
        *quorum_state; /* what the quorum applied; NULL without a quorum */
    bbl_state *state;  /* what members follow: no claims */
    bbl_rows rows;
    bbl_registry registry;
    uint64_t registry_term; /* term that the registry belongs to */

    bbl_vec feed_entries; /* bbl_feed_entry, oldest first */
    uint64_t feed_floor;  /* entries after it are all kept */

    uint64_t feed_boot;         /* names this host's numbering of rows */
    bbl_vec children;           /* bbl_feed_child */
    bbl_vec relayed_heartbeats; /* bbl_relayed_heartbeat */
    bool feed_due;              /* children should hear at once */

    uint32_t parent;
    bblx_address parent_address;
    uint64_t parent_boot;
    uint64_t parent_revision;
    uint32_t leader;          /* as last told */
    uint32_t reported_leader; /* whose address was told with a feed */
    bblx_address reported_address;
    size_t seed_index;
    bbl_usec parent_answered_at; /* last grant, or the change of parent */
    bbl_usec relay_barred_until; /* no relay before this time */

    uint64_t heartbeat_seq;
    bbl_usec heartbeat_sent_at[BBL_HEARTBEAT_TIMES]; /* by sequence number */
    bbl_usec next_heartbeat;
    bool heartbeat_due;
    bbl_usec lease_until;
    uint64_t required;
    bool draining;
    bool released;

    uint64_t last_proposal_number;
    bbl_vec own_proposals;    /* pending */
    bbl_vec logged_proposals; /* waiting */
    uint64_t confirmed_index; /* index that the traffic threads follow */
    uint64_t report_serial;
    uint64_t revision;
    uint64_t seen_rows_revision;
    uint64_t lists_index;  /* log index of the present lists */
    uint64_t public_index; /* last index that matters to members */
    bbl_usec next_assignment;
    bbl_usec next_publish;
    bbl_usec next_voter_check;
    bbl_usec next_reopen;
    bool reopening; /* there is no quorum until the disk works again */
    uint64_t voter_changes;
    bbl_usec catalog_read_at; /* when the list was read; 0: never */
    bbl_vec backends;         /* scratch */
    bbl_vec reports;          /* scratch */
    bbl_vec members;          /* scratch */
    bbl_vec assigns;          /* scratch */

    uint64_t heartbeats_sent;
    uint64_t heartbeats_relayed;
    uint64_t feeds_sent;
    uint64_t snapshots_sent;
};

/* ---- control.c ---- */

/* bbl_control_leads at the time of the present call. */
bool bbl_control_leads_now(const bbl_control *c);

void bbl_control_send(bbl_control *c, uint32_t host, bblx_address address,
                      const bblx_message *m);

/* Finds the control address of a host; false when it is not known. */
bool bbl_control_find_address(const bbl_control *c, uint32_t host,
                              bblx_address *out);

/* After a snapshot: followers of this host need one too. */
void bbl_control_restart_log(bbl_control *c);

/* Applies a committed entry to the followed state. */
void bbl_control_apply_entry(bbl_control *c, uint64_t index, bbl_str data);

/* ---- feed.c ---- */

/* Sends each child what it does not have yet. */
void bbl_feed_push(bbl_control *c);

/* Takes in a child's heartbeat, and answers it. */
void bbl_feed_receive_heartbeat(bbl_control *c, uint32_t from,
                                const bblx_heartbeat *h);

/* Takes in what the parent sends. */
void bbl_feed_receive(bbl_control *c, uint32_t from, const bblx_feed *f);

/* Drops the beats that wait to go up. */
void bbl_feed_drop_heartbeats(bbl_control *c);

/* Returns the index that a lease granted now must name. */
uint64_t bbl_control_required_index(const bbl_control *c);

/* Takes over a lease. */
void bbl_control_apply_grant(bbl_control *c, const bblx_grant *g);

#endif
