/*
 * quorum.h - the replicated log of the voters: leader election with pre-vote
 * and a leader lease, log replication, snapshots, learners, and voter changes
 * one at a time.
 *
 * The module makes no system calls except through its disk. The caller passes
 * in the time, the received messages and the random seed; the module sends
 * messages through the port. Functions that return int return 0 or a negative
 * error number.
 */
#ifndef BBL_QUORUM_H
#define BBL_QUORUM_H

#include "bbl/types.h"
#include "control/disk.h"
#include "model/codec.h"

#define BBL_QUORUM_OPTIONS_VERSION 1

/* Callbacks of the quorum. Each one receives `ctx`. */
typedef struct {
    /* Sends a message to a host. Messages may be lost. */
    void (*send)(void *ctx, uint32_t host, const bblx_message *message);
    /*
     * Applies one committed entry to the state machine. Entries come in the
     * order of their index, each one once per process.
     */
    void (*apply)(void *ctx, uint64_t index, uint64_t term, bbl_str data);
    /* Writes a snapshot of the applied state to `out`. */
    void (*save)(void *ctx, bbl_buf *out);
    /* Replaces the applied state by a snapshot that covers `index`. */
    int (*load)(void *ctx, uint64_t index, bbl_str data);
    void *ctx;
} bbl_quorum_port;

typedef struct {
    int version;
    uint32_t host;
    /* Seed of the random numbers, which also name a new journal. */
    uint64_t seed;
    /* Borrowed. The voters of a new cluster until the log holds voters. */
    bblx_voters bootstrap_voters;
    /* Interval between the heartbeats of a leader. */
    bbl_usec heartbeat_interval;
    /*
     * Minimum time without a message from a leader before an election; the
     * timeout is random between one and two times this value.
     */
    bbl_usec election_timeout;
    /*
     * Length of the leader lease. A voter grants no vote for this long after
     * a message from a leader and after its own start.
     */
    bbl_usec leader_lease;
    /* Maximum error of the clock rate, in parts per million. */
    uint32_t clock_error_ppm;
    /* Minimum number of entries between two snapshots. */
    uint32_t compact_entries;
    /*
     * Number of voters that must hold an entry before it is committed, at
     * most all of them. A majority is always required; 0 requires no more.
     */
    uint32_t min_copies;
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

/* State of the quorum for status pages and invariant checks. */
typedef struct {
    bbl_role role;
    uint64_t term;
    uint32_t leader; /* host id, or 0 when the leader is not known */
    uint64_t last_index;
    uint64_t commit_index;
    uint64_t snapshot_index; /* last index that the snapshot covers */
    uint64_t disk_id;        /* identity of the journal of this host */
    /* The journal failed; this host neither votes nor replicates. */
    bool failed;
    bool voter;
} bbl_quorum_status;

/* State of one peer, as the leader knows it. */
typedef struct {
    uint32_t host;
    bool voter;
    uint64_t match_index;
    bbl_usec silence; /* time since its last reply */
} bbl_quorum_peer;

typedef struct bbl_quorum bbl_quorum;

/*
 * Opens the journal on `disk` and loads its snapshot. Without a journal it
 * creates an empty one, which has no vote until the host is added.
 *
 * The quorum takes ownership of `disk`, also when the call fails.
 */
int bbl_quorum_open(bbl_quorum **out, const bbl_quorum_options *options,
                    bbl_disk *disk, bbl_usec now);
void bbl_quorum_free(bbl_quorum *quorum);

/*
 * Creates the journal of a bootstrap voter, which may vote at once. Takes
 * ownership of `disk` and frees it.
 *
 * @return 0, BBL_EEXISTS when there is a journal, or the error of the disk
 */
int bbl_quorum_bootstrap(bbl_disk *disk, uint32_t host);

/*
 * Writes the whole journal again, so that all of it is durable whatever
 * happened to earlier writes.
 *
 * @return 0, or BBL_EIO when the journal failed; this host then neither votes
 *         nor replicates
 */
int bbl_quorum_rewrite_journal(bbl_quorum *quorum);

/* Runs the timers. Call it at least every 10 ms. */
void bbl_quorum_tick(bbl_quorum *quorum, bbl_usec now);

/* Processes a message from host `from`. Ignores other message kinds. */
void bbl_quorum_receive(bbl_quorum *quorum, bbl_usec now, uint32_t from,
                        const bblx_message *message);

/*
 * Appends a command to the log of the leader. The command is committed once
 * `apply` receives the entry at `*index` with the term `*term`.
 *
 * @return 0, BBL_ENOTLEADER when this host is not the leader, or BBL_EIO when
 *         the journal failed
 */
int bbl_quorum_propose(bbl_quorum *quorum, uint64_t *index, uint64_t *term,
                       bbl_str data);

/* Sends and syncs the proposed entries. Call it once after a batch. */
void bbl_quorum_flush(bbl_quorum *quorum, bbl_usec now);

/*
 * Adds a host as a learner. A voter that does not answer, or answers with
 * another journal, becomes a learner again.
 *
 * @return 0 once the change is proposed, BBL_ENOTLEADER when this host is not
 *         the leader or has not yet committed an entry of its term,
 *         BBL_ECONFLICT when an earlier change is not committed or no
 *         majority of the new voters answers, BBL_EEXISTS when the host is a
 *         healthy voter, BBL_EINVAL for host 0 or when the list is full, or
 *         BBL_EIO when the journal failed
 */
int bbl_quorum_add_learner(bbl_quorum *quorum, uint32_t host,
                           bblx_address control);

/*
 * Adds a learner as bbl_quorum_add_learner does and removes the voter `lost`
 * in the same change. When `lost` is 0 no voter is removed.
 */
int bbl_quorum_replace_voter(bbl_quorum *quorum, uint32_t lost, uint32_t host,
                             bblx_address control);

/*
 * Removes a voter or a learner.
 *
 * @return as bbl_quorum_add_learner, BBL_ENOTFOUND when the host is not in
 *         the list, or BBL_EINVAL when it is the last voter
 */
int bbl_quorum_remove_voter(bbl_quorum *quorum, uint32_t host);

/*
 * Steps down and asks the voter that holds the whole log and acknowledged
 * last to start an election.
 *
 * @return 0, BBL_ENOTLEADER when this host is not the leader, or BBL_ENOTFOUND
 *         when no other voter holds the whole log
 */
int bbl_quorum_transfer_leadership(bbl_quorum *quorum, bbl_usec now);

/*
 * Returns whether this host is the leader, has committed an entry of its term
 * and holds the leader lease, so that no other leader was elected until `now`.
 */
bool bbl_quorum_leads(const bbl_quorum *quorum, bbl_usec now);

/* Returns when this host last became the leader. */
bbl_usec bbl_quorum_leader_since(const bbl_quorum *quorum);

void bbl_quorum_get_status(const bbl_quorum *quorum, bbl_quorum_status *out);

/*
 * Returns the number of peers of a leader. The rows in `*out` are borrowed
 * until the next call.
 */
size_t bbl_quorum_get_peers(bbl_quorum *quorum, bbl_usec now,
                            const bbl_quorum_peer **out);

/*
 * Returns the voters and learners of the newest voter change in the log, even
 * if it is not committed. Borrowed until the next call that changes the log.
 */
const bblx_voters *bbl_quorum_get_voters(const bbl_quorum *quorum);

/*
 * Reads an entry from memory. `*data` is borrowed until the next call that
 * changes the log.
 *
 * @return 0, or BBL_ENOTFOUND when there is no such entry or it was compacted
 */
int bbl_quorum_get_entry(const bbl_quorum *quorum, uint64_t index,
                         uint64_t *term, bbl_str *data);

#endif
