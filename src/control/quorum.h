/*
 * quorum.h - the replicated log of the control group, an implementation of
 * Raft: leader election with pre-vote and a leader lease, log replication,
 * snapshots, learners, leadership transfer and single-server membership
 * changes. The members are the voters and the learners.
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
    /*
     * Seed of the random number generator, which also draws the identity of a
     * new journal.
     */
    uint64_t seed;
    /*
     * Initial voters. They apply on a bootstrap voter until its log or its
     * snapshot contains the members. Borrowed during bbl_quorum_open.
     */
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
     * a message from a leader and after its own start. Exceptions: votes for a
     * leadership transfer are granted at once, and the start of a bootstrap
     * voter in term 0 causes no wait.
     */
    bbl_usec leader_lease;
    /* Maximum error of the clock rate, in parts per million. */
    uint32_t clock_error_ppm;
    /* Minimum number of entries between two snapshots. */
    uint32_t compact_entries;
    /*
     * Number of voters and learners that must hold an entry before it is
     * committed, besides a majority of the voters. Lowered to the number of
     * members. Not required of entries up to the first one of a leader's term.
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

/* State of this host for status pages and invariant checks. */
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
    /* Votes and acknowledgements of this host count: see bbl_quorum_peer. */
    bool counted_voter;
} bbl_quorum_status;

/* State of one peer, as the leader knows it. */
typedef struct {
    uint32_t host;
    /*
     * The peer is a voter and its replies name the journal that is registered
     * for it, so its votes and acknowledgements count.
     */
    bool counted_voter;
    uint64_t match_index; /* last index known to be durable on the peer */
    /*
     * Time since its last reply to this leader; before the first reply, since
     * the leader started to track the peer.
     */
    bbl_usec time_since_reply;
} bbl_quorum_peer;

typedef struct bbl_quorum bbl_quorum;

/*
 * Opens the journal on `disk` and loads its snapshot. Without a journal it
 * creates an empty one; votes of a host with a new journal do not count until
 * the host has been added as a learner and promoted.
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
 * Replaces the journal by a snapshot of the applied state and the entries
 * after it. The journal is then durable even if earlier writes were lost.
 *
 * @return 0, or BBL_EIO when this or an earlier write failed; this host then
 *         neither votes nor replicates
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
 * @return 0, BBL_ENOTLEADER when this host is not the leader or its journal
 *         failed earlier, or BBL_EIO when this write to the journal failed
 */
int bbl_quorum_propose(bbl_quorum *quorum, uint64_t *index, uint64_t *term,
                       bbl_str data);

/*
 * Sends the proposed entries to the peers and makes them durable on this host.
 * Call it once after a batch.
 */
void bbl_quorum_flush(bbl_quorum *quorum, bbl_usec now);

/*
 * Adds a host as a learner. Once it holds all committed entries, it is
 * promoted to a voter while there are fewer voters than the limit. When `host`
 * is a voter that does not answer, or answers with another journal, it is
 * demoted to a learner.
 *
 * @return 0 once the change is proposed, BBL_ENOTLEADER when this host is not
 *         the leader or has not yet committed an entry of its term,
 *         BBL_ECONFLICT when an earlier change is not committed or no
 *         majority of the new voters answers, BBL_EEXISTS when the host is a
 *         healthy voter, BBL_EINVAL for host 0 or when there are 31 members
 *         already, or BBL_EIO when this write to the journal failed
 */
int bbl_quorum_add_learner(bbl_quorum *quorum, uint32_t host,
                           bblx_address control_address);

/*
 * Adds `new_host` as bbl_quorum_add_learner does and removes the member
 * `old_host` in the same change. Removes none when `old_host` is 0, is no
 * member, or equals `new_host`.
 *
 * @return as bbl_quorum_add_learner
 */
int bbl_quorum_replace_member(bbl_quorum *quorum, uint32_t old_host,
                              uint32_t new_host, bblx_address control_address);

/*
 * Sets the number of voters up to which learners are promoted. A learner above
 * it stays one and receives the log. Unlimited after bbl_quorum_open.
 */
void bbl_quorum_set_voter_limit(bbl_quorum *quorum, size_t limit);

/*
 * Removes a voter or a learner.
 *
 * @return 0 once the change is proposed, BBL_ENOTLEADER, BBL_ECONFLICT or
 *         BBL_EIO as bbl_quorum_add_learner, BBL_ENOTFOUND when the host is
 *         not a member, or BBL_EINVAL when it is the last voter
 */
int bbl_quorum_remove_member(bbl_quorum *quorum, uint32_t host);

/*
 * Steps down and tells another voter to start an election at once. Of the
 * voters that hold the whole log it chooses the one that answered the most
 * recently sent append.
 *
 * @param may_lead returns whether a host may become the leader; NULL: each may
 * @return 0, BBL_ENOTLEADER when this host is not the leader, or BBL_ENOTFOUND
 *         when no other voter that may lead holds the whole log
 */
int bbl_quorum_transfer_leadership(bbl_quorum *quorum, bbl_usec now,
                                   bool (*may_lead)(const void *ctx,
                                                    uint32_t host),
                                   const void *ctx);

/*
 * Returns whether this host is the leader, has committed an entry of its term
 * and holds the leader lease, so no other host can have become the leader by
 * `now`.
 */
bool bbl_quorum_has_leader_lease(const bbl_quorum *quorum, bbl_usec now);

/* Returns when this host last became the leader, or 0 when it never was. */
bbl_usec bbl_quorum_leader_since(const bbl_quorum *quorum);

void bbl_quorum_get_status(const bbl_quorum *quorum, bbl_quorum_status *out);

/*
 * Sets `*out` to an array with one element for each other member and returns
 * its length. Only the leader has current values. The array is borrowed until
 * the next call of this function.
 */
size_t bbl_quorum_get_peers(bbl_quorum *quorum, bbl_usec now,
                            const bbl_quorum_peer **out);

/*
 * Returns the members, voters and learners, as of the newest membership change
 * in the log, even if it is not committed. Borrowed until the next call that
 * changes the log.
 */
const bblx_voters *bbl_quorum_get_members(const bbl_quorum *quorum);

/*
 * Reads an entry from memory. `*data` is borrowed until the next call that
 * changes the log.
 *
 * @return 0, or BBL_ENOTFOUND when there is no such entry or it was compacted
 */
int bbl_quorum_get_entry(const bbl_quorum *quorum, uint64_t index,
                         uint64_t *term, bbl_str *data);

#endif
