/*
 * control_core.h - the state of a host's control core and the functions that
 * its two files share. feed.c carries the log, ephemeral rows and leases
 * between hosts; control.c does the rest.
 */
#ifndef BBL_CONTROL_CORE_H
#define BBL_CONTROL_CORE_H

#include "admission/load_book.h"
#include "admission/quota_book.h"
#include "control/control.h"
#include "control/permit_book.h"
#include "control/voter_balance.h"

#define BBL_HEARTBEAT_TIMES 64 /* heartbeats whose send time is stored */

/* A public log entry that is retained for children. */
typedef struct {
    uint64_t index;
    bbl_buf data;
} bbl_feed_entry;

/* A host that follows this one's feed. */
typedef struct {
    uint32_t host;
    bblx_address address;
    uint64_t applied;     /* log index that the child has, or was sent */
    uint64_t revision;    /* revision of the rows that it has, or was sent */
    uint64_t incarnation; /* of the child's last heartbeat */
    bbl_usec last_heartbeat;
    bbl_usec sent_at; /* when entries or rows were last sent */
    /* What it has reported since lagging_since; 0: what it was sent. */
    uint64_t reported_applied;
    uint64_t reported_revision;
    bbl_usec lagging_since;
} bbl_feed_child;

/* A child's heartbeat that the next heartbeat to the parent includes. */
typedef struct {
    bblx_member_heartbeat member; /* zone owned */
} bbl_relayed_heartbeat;

typedef struct bbl_rollouts bbl_rollouts;

struct bbl_control {
    bbl_control_options options;
    bbl_usec now;
    uint64_t wall_ms;

    bbl_quorum *quorum;
    bbl_state *quorum_state; /* applied by the quorum; NULL without a disk */
    bbl_state *state;        /* what members follow, without claims */
    bbl_rows rows;
    bbl_registry registry;
    uint64_t registry_term; /* term for which the registry is valid */

    bbl_vec feed_entries; /* bbl_feed_entry, oldest first */
    uint64_t feed_floor;  /* all public entries after it are retained */

    bbl_buf snapshot; /* of `state` at snapshot_index; may be empty */
    uint64_t snapshot_index;
    size_t snapshot_known_size; /* what builds without rollouts can load */

    uint64_t feed_boot;         /* incarnation of this host's row revisions */
    bbl_vec children;           /* bbl_feed_child */
    bbl_vec relayed_heartbeats; /* bbl_relayed_heartbeat */
    bool feed_due;              /* send changes to the children at once */
    bool health_due;            /* the same for reports of health */
    bool health_pending;        /* some of them are for the parent */
    bbl_usec next_health;       /* no message only for these before */
    bool feed_behind;           /* some child lacks entries or rows */
    size_t first_child;         /* where the next push begins */
    size_t bytes_in_flight;     /* to children that acknowledge them */
    bbl_usec in_flight_counted_at;

    uint32_t parent;
    bblx_address parent_address;
    uint64_t parent_boot;     /* feed_boot of the parent; 0 until known */
    uint64_t parent_revision; /* last revision received from the parent */
    uint32_t leader;          /* 0 if unknown */
    uint32_t reported_leader; /* last leader whose address a feed gave */
    bblx_address reported_address;
    size_t seed_index;           /* last voter or seed chosen as the parent */
    bbl_usec parent_answered_at; /* last grant or change of parent */
    bbl_usec relay_barred_until; /* no relay is the parent before this time */

    uint64_t heartbeat_seq;
    bbl_usec heartbeat_sent_at[BBL_HEARTBEAT_TIMES]; /* by sequence number */
    bbl_usec next_heartbeat;
    bool heartbeat_due;           /* send a heartbeat before next_heartbeat */
    bbl_usec next_resend_request; /* see request_resend() in feed.c */
    bbl_usec lease_until;
    uint64_t required; /* index to apply before the lease may be used */
    bool draining;
    bool released; /* uses no searcher any more */

    uint64_t last_proposal_number;
    bbl_vec own_proposals;    /* own_proposal */
    bbl_vec logged_proposals; /* logged_proposal */
    uint64_t confirmed_index; /* index that the traffic threads use */
    uint64_t report_serial;   /* serial number of the last own report */
    uint64_t revision;        /* grows with each change of state or rows */
    uint64_t seen_rows_revision;
    uint64_t lists_index; /* log index of the current lists */
    /* Log index, at most, of the last evacuation or restoration of a data
     * centre that is applied or that this host appended as the leader. */
    uint64_t evacuations_index;
    uint64_t rollouts_index; /* the same for rollouts and their steps */
    uint64_t public_index;   /* last index that matters to members */
    bbl_usec next_assignment;
    bbl_usec next_publish;
    bbl_usec next_introduction;
    bbl_usec next_reopen;
    bbl_usec next_report_expiry;
    bool reopening; /* the disk failed and is not in use again yet */
    bbl_voter_balance voters;
    bbl_usec catalog_read_at; /* when the list was read; 0 without a list */
    bbl_vec backends;         /* scratch: bblx_backend */
    bbl_vec reports;          /* scratch: bblx_report */
    bbl_vec members;          /* scratch: bblx_member_row */
    bbl_vec assigns;          /* scratch: bblx_assign */

    bbl_rollouts *rollouts; /* see rollouts.c */

    bbl_permit_book permits; /* that this host grants */
    bbl_vec permit_requests; /* open_permit_request, see permits.c */
    bbl_map silent_grantors; /* host -> bbl_usec, silent until then */
    size_t next_grantor;

    bbl_quota_book quotas; /* shares that this host grants */
    bbl_load_book loads;   /* load that this host admits */
    bool was_no_grantor;   /* when that was last checked */

    uint64_t heartbeats_sent;
    uint64_t heartbeats_relayed;
    uint64_t feeds_sent;
    uint64_t feeds_received; /* from the parent */
    uint64_t feeds_ignored;  /* from other hosts, or while this host leads */
    uint64_t grants_received;
    uint64_t grants_ignored; /* not for a recent heartbeat of this process */
    uint64_t snapshots_sent;
};

/* ---- control.c ---- */

/* Calls bbl_control_leads with the time of the current call. */
bool bbl_control_leads_now(const bbl_control *c);

void bbl_control_send(bbl_control *c, uint32_t host, bblx_address address,
                      const bblx_message *m);

/* Finds the control address of a host; returns false if it is unknown. */
bool bbl_control_find_address(const bbl_control *c, uint32_t host,
                              bblx_address *out);

/*
 * Discards the retained entries after a snapshot was loaded, so that children
 * receive a snapshot too.
 */
void bbl_control_restart_log(bbl_control *c);

/* Notes that an entry was appended that later conditional commands depend on,
 * if it is one. */
void bbl_control_record_decision(bbl_control *c, uint64_t index, bbl_str data);

/*
 * Applies a committed entry to the followed state. An entry may arrive from
 * both the quorum and the feed; the second copy is ignored.
 */
void bbl_control_apply_entry(bbl_control *c, uint64_t index, bbl_str data);

/* Stores a report of this host, to be sent to its parent and children. */
void bbl_control_publish_report(bbl_control *c, const bblx_report *report);

/* Returns the voters, as far as this host knows them. */
const bblx_voters *bbl_control_known_voters(const bbl_control *c);

/* ---- permits.c ---- */

void bbl_permits_init(bbl_control *c);
void bbl_permits_free(bbl_control *c);

/*
 * Fills the voters that grant permits and admission: those with the lowest
 * host ids, so that all hosts agree on them. Returns their number.
 */
unsigned
bbl_permits_find_grantors(const bbl_control *c,
                          const bblx_voter *out[BBL_PERMIT_GRANTORS_MAX]);

/* Returns whether this host is one of them. */
bool bbl_permits_is_grantor(const bbl_control *c);

/* Answers a request for permits, if this host grants them. */
void bbl_permits_receive_request(bbl_control *c, uint32_t from,
                                 const bblx_permit_request *r);

void bbl_permits_receive_reply(bbl_control *c, uint32_t from,
                               const bblx_permit_reply *r);

/* Notes the grantors that have not answered in time. */
void bbl_permits_tick(bbl_control *c);

/* ---- observations.c ---- */

/*
 * Lets a report that has just changed be passed on to the children. One of the
 * health of a server waits for others.
 *
 * @param pending whether it is for the parent as well
 */
void bbl_control_mark_report(bbl_control *c, const bblx_report *report,
                             bool pending);

/* Lets the reports of health be sent, unless some were sent just before. */
void bbl_health_flush(bbl_control *c);

/* ---- admissions.c ---- */

void bbl_admissions_init(bbl_control *c);
void bbl_admissions_free(bbl_control *c);

/* Notes whether this host is a grantor, and ends the waits of queries whose
 * time is over. */
void bbl_admissions_tick(bbl_control *c);

/* Processes a message about the admission of a query. */
void bbl_admissions_receive(bbl_control *c, uint32_t from,
                            const bblx_message *m);

/* ---- rollouts.c ---- */

void bbl_rollouts_init(bbl_control *c);
void bbl_rollouts_free(bbl_control *c);

/* Decides on the running rollouts. Called on the leader only. */
void bbl_rollouts_tick(bbl_control *c);

/* Forgets what an earlier leadership of this host knew. */
void bbl_rollouts_reset(bbl_control *c);

/* Records the versions of the servers in the platform's list. */
void bbl_rollouts_read_list(bbl_control *c, const bblx_backend *backends,
                            const uint64_t *versions, size_t count);

/* Trusts all servers again once this host has a lease. */
void bbl_rollouts_check_lease(bbl_control *c);

void bbl_rollouts_receive_counts(bbl_control *c, uint32_t from,
                                 const bblx_rollout_counts *counts);

/*
 * Sets the times of an order that this leader is about to record.
 *
 * @return 0; BBL_EINVAL if it is no order; BBL_EFULL if some voter is not
 *         known to decode it
 */
int bbl_rollouts_stamp_order(bbl_control *c, bblx_rollout *order);

/* Returns the messages with counts that were received. */
uint64_t bbl_rollouts_get_received(const bbl_control *c);

/* ---- feed.c ---- */

/* Returns whether a host is known to decode rollouts. */
bool bbl_control_knows_rollouts(const bbl_control *c, uint32_t host);

/*
 * Tells the members that do not answer the address of this host, the leader. A
 * member that has lost its disk knows only its seeds, and these may all be
 * lost: without the address it could neither answer nor join again.
 */
void bbl_feed_introduce_leader(bbl_control *c);

/* Sends each child the entries and rows that it lacks. */
void bbl_feed_push(bbl_control *c);

/*
 * Processes a child's heartbeat and answers it with a feed message; the
 * leader's answer grants the leases.
 */
void bbl_feed_receive_heartbeat(bbl_control *c, uint32_t from,
                                const bblx_heartbeat *h);

/* Processes a feed message; it is ignored unless the parent sent it. */
void bbl_feed_receive(bbl_control *c, uint32_t from, const bblx_feed *f);

/* Discards the relayed heartbeats. */
void bbl_feed_drop_heartbeats(bbl_control *c);

/*
 * Returns the index that a lease granted now requires: the last public entry
 * of the log, committed or not. Otherwise an assignment that is proposed but
 * not yet committed would take effect under leases that do not require it.
 */
uint64_t bbl_control_required_index(const bbl_control *c);

/*
 * Extends the lease by a grant. The lease counts from the sending of the
 * heartbeat and is shortened by the clock error; a grant for another
 * incarnation or for an unknown heartbeat is ignored. Returns whether the
 * grant was used.
 */
bool bbl_control_apply_grant(bbl_control *c, const bblx_grant *g);

#endif
