/*
 * quorum.h - the replicated log: leader election with pre-vote and a leader
 * lease, replication, snapshots, learners and one-at-a-time voter changes.
 *
 * The module makes no system call but those of its disk. Time, messages and
 * the seed are arguments; messages out go through the port.
 */
#ifndef BBL_QUORUM_H
#define BBL_QUORUM_H

#include "bbl/types.h"
#include "control/disk.h"
#include "model/codec.h"

#define BBL_QUORUM_OPTIONS_VERSION 1

/* What the quorum calls; `ctx` is passed back. */
typedef struct {
    /* Sends a message to a host; it may be lost. */
    void (*send)(void *ctx, uint32_t host, const bblx_message *message);
    /* Applies one committed entry, in order, each once per process. */
    void (*apply)(void *ctx, uint64_t index, uint64_t term, bbl_str data);
    /* Writes the applied state. */
    void (*save)(void *ctx, bbl_buf *out);
    /* Replaces the applied state. */
    int (*load)(void *ctx, uint64_t index, bbl_str data);
    void *ctx;
} bbl_quorum_port;

typedef struct {
    int version;
    uint32_t host;
    uint64_t seed; /* also names a fresh journal */
    bblx_voters
        bootstrap_voters; /* borrowed; used until the log holds voters */
    bbl_usec heartbeat_interval; /* between appends of the leader */
    bbl_usec election_timeout;   /* least silence before an election */
    bbl_usec leader_lease;    /* a voter that has heard a leader, or has just
                            started, elects no other so long; the lease
                            of a leader */
    uint32_t clock_error_ppm; /* bound on clock rate error */
    uint32_t compact_entries; /* entries kept before a snapshot */
    uint32_t min_copies; /* disks that hold an entry before it is committed,
                        where there are so many voters; 0: a majority */
    bbl_quorum_port port;
} bbl_quorum_options;

#define BBL_QUORUM_OPTIONS_INIT                                               \
    {                                                                         \
        BBL_QUORUM_OPTIONS_VERSION, 0, 1, {{0, NULL}}, 50 * BBL_USEC_PER_MS,  \
            300 * BBL_USEC_PER_MS, 160 * BBL_USEC_PER_MS, 1000, 1024, 0,      \
        {                                                                     \
            0                                                                 \
        }                                                                     \
    }

typedef enum {
    BBL_ROLE_FOLLOWER,
    BBL_ROLE_CANDIDATE,
    BBL_ROLE_LEADER
} bbl_role;

/* A view for status pages and invariant checks. */
typedef struct {
    bbl_role role;
    uint64_t term;
    uint32_t leader; /* host id; 0: not known */
    uint64_t last_index;
    uint64_t commit_index;
    uint64_t snapshot_index;
    uint64_t disk_id;
    bool failed; /* the journal failed; this host only watches */
    bool voter;
} bbl_quorum_status;

/* What a leader knows of one peer. */
typedef struct {
    uint32_t host;
    bool voter;
    uint64_t match_index;
    bbl_usec silence; /* since the last reply */
} bbl_quorum_peer;

typedef struct bbl_quorum bbl_quorum;

/*
 * Opens the journal on `disk`, or makes an empty one that may not vote until
 * it is added, and replays the snapshot. Takes the disk over.
 */
int bbl_quorum_open(bbl_quorum **out, const bbl_quorum_options *options,
                    bbl_disk *disk, bbl_usec now);
void bbl_quorum_free(bbl_quorum *quorum);

/* Makes the founding journal of a voter; refuses if there is one. */
int bbl_quorum_bootstrap(bbl_disk *disk, uint32_t host);

/*
 * Writes the whole journal anew, so that all of it is durable whatever the
 * disk did before.
 *
 * @return 0, or BBL_EIO; the quorum then only watches
 */
int bbl_quorum_rewrite_journal(bbl_quorum *quorum);

/* Passes time; call at least every 10 ms. */
void bbl_quorum_tick(bbl_quorum *quorum, bbl_usec now);

/* Takes in one message of the five quorum kinds. */
void bbl_quorum_receive(bbl_quorum *quorum, bbl_usec now, uint32_t from,
                        const bblx_message *message);

/*
 * Appends a command on the leader. It is durable once `apply` sees it with
 * the same term.
 *
 * @return 0, or BBL_ENOTLEADER
 */
int bbl_quorum_propose(bbl_quorum *quorum, uint64_t *index, uint64_t *term,
                       bbl_str data);

/* Sends and syncs what was proposed; call once after a batch. */
void bbl_quorum_flush(bbl_quorum *quorum, bbl_usec now);

/* Adds a learner, or turns a known host with an emptied disk into one. */
int bbl_quorum_add_learner(bbl_quorum *quorum, uint32_t host,
                           bblx_address control);

/*
 * Adds a learner as bbl_quorum_add_learner does, and removes a voter in the
 * same change when `lost` is not 0.
 */
int bbl_quorum_replace_voter(bbl_quorum *quorum, uint32_t lost, uint32_t host,
                             bblx_address control);

/* Removes a voter or learner. */
int bbl_quorum_remove_voter(bbl_quorum *quorum, uint32_t host);

/*
 * Steps down in favour of the voter that holds the most of the log.
 *
 * @return 0, or BBL_ENOTLEADER when this host does not lead, or BBL_ENOTFOUND
 */
int bbl_quorum_transfer_leadership(bbl_quorum *quorum, bbl_usec now);

/*
 * Returns whether this host leads, has committed in its term, and no other
 * can have been elected until `now`.
 */
bool bbl_quorum_leads(const bbl_quorum *quorum, bbl_usec now);

/* Returns when this host became the leader of its term. */
bbl_usec bbl_quorum_leader_since(const bbl_quorum *quorum);

void bbl_quorum_get_status(const bbl_quorum *quorum, bbl_quorum_status *out);

/* Returns the peers of a leader; `*out` is borrowed until the next call. */
size_t bbl_quorum_get_peers(bbl_quorum *quorum, bbl_usec now,
                            const bbl_quorum_peer **out);

/* Returns the voters in force, borrowed until the next call. */
const bblx_voters *bbl_quorum_get_voters(const bbl_quorum *quorum);

/* Reads one entry still in memory; returns BBL_ENOTFOUND if compacted. */
int bbl_quorum_get_entry(const bbl_quorum *quorum, uint64_t index,
                         uint64_t *term, bbl_str *data);

#endif
