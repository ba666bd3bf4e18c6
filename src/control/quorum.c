#include "control/quorum.h"

#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "control/fault.h"
#include "control/journal.h"
#include "control/members.h"
#include "util/alloc.h"
#include "util/rng.h"

#define APPEND_ENTRIES_MAX 512 /* entries in one append */
/* Bytes of entries in one append; a single larger entry is still sent. */
#define APPEND_BYTES_MAX (1u << 20)
/* A larger journal is compacted, whatever the size of its snapshot. */
#define COMPACT_THRESHOLD_BYTES (16u << 20)
/*
 * Number of applied entries before the snapshot index that memory keeps, so
 * that a peer that lags by a few entries needs no snapshot.
 */
#define RETAINED_ENTRIES 256
/* Heartbeats that a healthy voter may leave unanswered. */
#define MISSED_HEARTBEATS_MAX 4
/* Minimum interval between two snapshots to one peer. */
#define SNAPSHOT_RESEND_INTERVAL_MS 1000
/*
 * Set in the random identities of journals. A bootstrap voter uses its host
 * id as the identity.
 */
#define RANDOM_DISK_ID_BIT (1ull << 63)

typedef struct {
    uint32_t host;
    uint64_t disk_id; /* journal identity in its replies; 0: no reply yet */
    uint64_t next_index;
    uint64_t match_index;
    /* Send time of the newest answered append or snapshot. */
    bbl_usec acked_send_time;
    bbl_usec last_reply;        /* receipt time of the last reply */
    bbl_usec last_entries_sent; /* send time of the last append with entries */
    bbl_usec last_snapshot_sent; /* send time of the last snapshot; 0: none */
    bool in_flight;              /* an append with entries is not answered */
} peer;

struct bbl_quorum {
    bbl_quorum_options options;
    bbl_journal *journal;
    bbl_rng rng;
    uint64_t disk_id;
    bool bootstrapped;
    bool failed; /* the journal failed */

    uint64_t term;
    uint32_t voted_for;
    bbl_role role;
    uint32_t leader;
    /* Of bbl_journal_entry; the first has the index compacted_index + 1. */
    bbl_vec entries;
    uint64_t compacted_index; /* last index that is no longer in memory */
    uint64_t compacted_term;  /* term of the entry at compacted_index */
    uint64_t journal_snapshot_index; /* last index of the journal's snapshot */
    uint64_t snapshot_bytes;
    uint64_t synced_index; /* last index that is durable on this host */
    uint64_t commit_index;
    uint64_t applied_index;

    /*
     * Voters and learners as of the newest membership change in the log,
     * committed or not. Owned.
     */
    bblx_voters members;
    uint64_t members_index;        /* index of the entry that set `members` */
    size_t voter_limit;            /* learners are promoted below it */
    bblx_voters compacted_members; /* members as of compacted_index; owned */

    bbl_usec now;
    bbl_usec started;             /* when the quorum was opened */
    bbl_usec last_leader_message; /* 0: none since the start */
    bbl_usec election_due;        /* when a follower or candidate campaigns */
    bbl_usec last_heartbeat;      /* when the leader last sent heartbeats */
    bbl_usec leader_since;        /* when this host last became the leader */
    uint64_t term_start_index;    /* first entry of this leader's term */
    bool pre_vote;                /* the current election is a pre-vote */
    /* Hosts that granted their vote. There are at most 31 members. */
    uint32_t votes[31];
    size_t vote_count;
    bbl_vec peers; /* of peer */
    /* Of bbl_quorum_peer; the result of bbl_quorum_get_peers. */
    bbl_vec peer_report;
};

/* ---- members ---- */

/*
 * Returns whether votes and acknowledgements of a host count. They count only
 * with the journal that was registered for the voter: a replaced journal has
 * lost its earlier votes and entries.
 */
static bool
is_counted_voter(const bbl_quorum *q, uint32_t host, uint64_t disk_id)
{
    const bblx_voter *v = bbl_members_find(&q->members, host);

    if (v == NULL) {
        return false;
    }
    if (BBL_FAULT(BBL_FAULT_COUNT_LEARNERS)) {
        return true;
    }
    return v->role == BBLX_VOTER &&
           (v->disk == disk_id || BBL_FAULT(BBL_FAULT_COUNT_ANY_DISK));
}

static size_t
majority(const bbl_quorum *q)
{
    return bbl_members_count_voters(&q->members) / 2 + 1;
}

static bool
is_self_counted_voter(const bbl_quorum *q)
{
    return is_counted_voter(q, q->options.host, q->disk_id);
}

/* ---- log ---- */

static uint64_t
log_last_index(const bbl_quorum *q)
{
    return q->compacted_index + q->entries.size;
}

static bbl_journal_entry *
log_entry_at(const bbl_quorum *q, uint64_t index)
{
    return bbl_vec_at(&q->entries, (size_t)(index - q->compacted_index - 1));
}

static uint64_t
log_term_at(const bbl_quorum *q, uint64_t index)
{
    if (index == q->compacted_index) {
        return q->compacted_term;
    }
    return index > q->compacted_index && index <= log_last_index(q)
               ? log_entry_at(q, index)->term
               : 0;
}

/* Sets `members` from the newest membership change in the log. */
static void
recompute_members(bbl_quorum *q)
{
    q->members_index = q->compacted_index;
    for (uint64_t i = log_last_index(q); i > q->compacted_index; i--) {
        if (bbl_members_decode(&q->members,
                               bbl_buf_str(&log_entry_at(q, i)->data))) {
            q->members_index = i;
            return;
        }
    }
    bbl_members_copy(&q->members, &q->compacted_members);
}

static void update_peers(bbl_quorum *q);

/*
 * Becomes a follower of `leader` (0: not known) and restarts the election
 * timer.
 */
static void
become_follower(bbl_quorum *q, uint32_t leader)
{
    bbl_usec spread = bbl_rng_below(&q->rng, q->options.election_timeout);

    q->role = BBL_ROLE_FOLLOWER;
    q->leader = leader;
    q->election_due = q->now + q->options.election_timeout + spread;
}

static void
handle_journal_failure(bbl_quorum *q)
{
    q->failed = true;
    become_follower(q, 0);
}

/*
 * Makes the journal durable. After a failure this host neither votes nor
 * replicates.
 */
static bool
sync_journal(bbl_quorum *q)
{
    if (q->failed) {
        return false;
    }
    if (BBL_FAULT(BBL_FAULT_NO_SYNC)) {
        q->synced_index = log_last_index(q);
        return true;
    }
    if (bbl_journal_sync(q->journal) != 0) {
        handle_journal_failure(q);
        return false;
    }
    q->synced_index = log_last_index(q);
    return true;
}

static bool
append_entry(bbl_quorum *q, uint64_t term, bbl_str data)
{
    bbl_journal_entry *entry = bbl_vec_add(&q->entries);

    entry->index = log_last_index(q);
    entry->term = term;
    bbl_buf_append(&entry->data, data.ptr, data.size);
    if (bbl_journal_append_entry(q->journal, entry->index, term, data) != 0) {
        handle_journal_failure(q);
        return false;
    }
    if (bbl_members_decode(&q->members, data)) {
        q->members_index = entry->index;
        update_peers(q);
    }
    return true;
}

static void
truncate_log(bbl_quorum *q, uint64_t from)
{
    while (log_last_index(q) >= from) {
        bbl_journal_entry *last = log_entry_at(q, log_last_index(q));

        bbl_buf_free(&last->data);
        q->entries.size--;
    }
    if (q->synced_index >= from) {
        q->synced_index = from - 1;
    }
    if (bbl_journal_truncate(q->journal, from) != 0) {
        handle_journal_failure(q);
    }
    if (q->members_index >= from) {
        recompute_members(q);
    }
}

static void
set_term(bbl_quorum *q, uint64_t term, uint32_t voted_for)
{
    if (term == q->term && voted_for == q->voted_for) {
        return;
    }
    q->term = term;
    q->voted_for = voted_for;
    if (bbl_journal_append_vote(q->journal, term, voted_for) != 0) {
        handle_journal_failure(q);
    }
}

/* ---- snapshots ---- */

/*
 * Copies the members as of `index`, which must lie between compacted_index and
 * the last index of the log.
 */
static void
copy_members_at(const bbl_quorum *q, uint64_t index, bblx_voters *out)
{
    for (uint64_t i = index; i > q->compacted_index; i--) {
        if (bbl_members_decode(out, bbl_buf_str(&log_entry_at(q, i)->data))) {
            return;
        }
    }
    bbl_members_copy(out, &q->compacted_members);
}

/*
 * Calls `use` with a snapshot of the applied state, which is valid only
 * during the call. Returns the result of `use`.
 */
static int
with_snapshot(bbl_quorum *q,
              int (*use)(bbl_quorum *q, bblx_snapshot *s, void *arg),
              void *arg)
{
    bbl_buf state = BBL_BUF_INIT;
    bblx_snapshot s;
    int error;

    memset(&s, 0, sizeof(s));
    q->options.port.save(q->options.port.ctx, &state);
    s.term = q->term;
    s.round = q->now; /* the send time; the reply returns it */
    s.last_index = q->applied_index;
    s.last_term = log_term_at(q, q->applied_index);
    copy_members_at(q, q->applied_index, &s.voters);
    s.data.data_len = (u_int)state.size;
    s.data.data_val = state.ptr;
    error = use(q, &s, arg);
    free(s.voters.list.list_val);
    bbl_buf_free(&state);
    return error;
}

/* Replaces the journal by a snapshot and the entries that follow it. */
static int
write_journal(bbl_quorum *q, const bblx_snapshot *s)
{
    bbl_journal_image image;
    int error;

    memset(&image, 0, sizeof(image));
    image.disk_id = q->disk_id;
    image.bootstrapped = q->bootstrapped;
    image.term = q->term;
    image.voted_for = q->voted_for;
    image.snapshot_index = s->last_index;
    image.snapshot_term = s->last_term;
    image.entries = (bbl_vec)BBL_VEC_INIT(bbl_journal_entry);
    for (uint64_t i = s->last_index + 1; i <= log_last_index(q); i++) {
        bbl_vec_push(&image.entries, log_entry_at(q, i));
    }
    error = BBL_XDR_ENCODE(&image.snapshot, bblx_snapshot, s);
    if (error == 0) {
        error = bbl_journal_compact(q->journal, &image);
    }
    if (error == 0) {
        q->journal_snapshot_index = s->last_index;
        q->snapshot_bytes = image.snapshot.size;
        q->synced_index = log_last_index(q);
    }
    bbl_buf_free(&image.snapshot);
    bbl_vec_free(&image.entries);
    return error;
}

/*
 * Discards the entries up to `index` from memory; `index` becomes the
 * compacted index.
 */
static void
discard_entries_up_to(bbl_quorum *q, uint64_t index)
{
    uint64_t term = log_term_at(q, index);
    size_t n = (size_t)(index - q->compacted_index);
    bblx_voters members = {{0, NULL}};

    copy_members_at(q, index, &members);
    free(q->compacted_members.list.list_val);
    q->compacted_members = members;
    for (size_t i = 0; i < n; i++) {
        bbl_buf_free(&BBL_VEC_AT(bbl_journal_entry, &q->entries, i)->data);
    }
    q->entries.size -= n;
    if (n > 0 && q->entries.size > 0) {
        memmove(q->entries.ptr,
                (char *)q->entries.ptr + n * q->entries.item_size,
                q->entries.size * q->entries.item_size);
    }
    q->compacted_index = index;
    q->compacted_term = term;
}

static int
write_snapshot_to_journal(bbl_quorum *q, bblx_snapshot *s, void *arg)
{
    (void)arg;
    return write_journal(q, s);
}

/*
 * Writes a snapshot of the applied state. The journal keeps only the entries
 * that follow it; memory keeps RETAINED_ENTRIES more.
 */
static void
compact(bbl_quorum *q)
{
    if (with_snapshot(q, write_snapshot_to_journal, NULL) != 0) {
        handle_journal_failure(q);
        return;
    }
    if (q->applied_index > q->compacted_index + RETAINED_ENTRIES) {
        discard_entries_up_to(q, q->applied_index - RETAINED_ENTRIES);
    }
}

int
bbl_quorum_rewrite_journal(bbl_quorum *q)
{
    compact(q);
    return q->failed ? BBL_EIO : 0;
}

/*
 * Compacts the journal when enough entries were applied since the last
 * snapshot and the file is more than twice as large as the snapshot, or larger
 * than COMPACT_THRESHOLD_BYTES.
 */
static void
compact_if_needed(bbl_quorum *q)
{
    uint64_t entries_since_snapshot =
        q->applied_index - q->journal_snapshot_index;
    uint64_t size = bbl_journal_size(q->journal);

    if (q->failed || entries_since_snapshot < q->options.compact_entries) {
        return;
    }
    if (size > 2 * q->snapshot_bytes || size > COMPACT_THRESHOLD_BYTES) {
        compact(q);
    }
}

/* ---- commit ---- */

static void
apply_committed(bbl_quorum *q)
{
    while (q->applied_index < q->commit_index) {
        bbl_journal_entry *e = log_entry_at(q, q->applied_index + 1);

        q->applied_index++;
        q->options.port.apply(q->options.port.ctx, q->applied_index, e->term,
                              bbl_buf_str(&e->data));
    }
    compact_if_needed(q);
}

static int
compare_desc(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return x < y ? 1 : x > y ? -1 : 0;
}

/*
 * Returns the highest value that at least `need` voters have reached, or 0.
 * `own` is the value of this host, `value` reads that of a peer.
 */
static uint64_t
value_reached_by(const bbl_quorum *q, size_t need, uint64_t own,
                 uint64_t (*value)(const peer *p))
{
    uint64_t values[64];
    size_t n = 0;

    if (is_self_counted_voter(q)) {
        values[n++] = own;
    }
    for (size_t i = 0; i < q->peers.size; i++) {
        const peer *p = bbl_vec_at(&q->peers, i);

        if (is_counted_voter(q, p->host, p->disk_id) && n < 64) {
            values[n++] = value(p);
        }
    }
    if (n < need) {
        return 0;
    }
    qsort(values, n, sizeof(values[0]), compare_desc);
    return values[need - 1];
}

/*
 * Returns the highest index that enough disks hold for the loss of some of
 * them: options.min_copies, at most all members. The copies of learners count,
 * so that a group that has lost a voter while it was growing can go on.
 */
static uint64_t
index_copied_enough(const bbl_quorum *q)
{
    uint64_t values[64];
    size_t need = q->options.min_copies < q->members.list.list_len
                      ? q->options.min_copies
                      : q->members.list.list_len;
    size_t n = 0;

    if (need == 0 || BBL_FAULT(BBL_FAULT_COMMIT_BY_MAJORITY)) {
        return UINT64_MAX;
    }
    if (is_self_counted_voter(q)) {
        values[n++] = q->synced_index;
    }
    for (size_t i = 0; i < q->peers.size; i++) {
        const peer *p = bbl_vec_at(&q->peers, i);
        const bblx_voter *v = bbl_members_find(&q->members, p->host);
        bool learner = v != NULL && v->role == BBLX_LEARNER;

        if ((learner || is_counted_voter(q, p->host, p->disk_id)) && n < 64) {
            values[n++] = p->match_index;
        }
    }
    if (n < need) {
        return 0;
    }
    qsort(values, n, sizeof(values[0]), compare_desc);
    return values[need - 1];
}

static uint64_t
peer_match_index(const peer *p)
{
    return p->match_index;
}

static uint64_t
peer_acked_send_time(const peer *p)
{
    return p->acked_send_time;
}

/*
 * Commits the entries that enough voters hold. Only an entry of the current
 * term is committed by counting copies, and with it all entries before it. Up
 * to the first entry of the term a majority is enough: without it the leader
 * cannot add the hosts that would hold further copies, and no proposer of this
 * term waits for an earlier entry.
 */
static void
advance_commit_index(bbl_quorum *q)
{
    uint64_t held =
        value_reached_by(q, majority(q), q->synced_index, peer_match_index);
    uint64_t copied = index_copied_enough(q);
    uint64_t index =
        copied > q->term_start_index ? copied : q->term_start_index;

    index = index < held ? index : held;
    if (index <= q->commit_index) {
        return;
    }
    if (log_term_at(q, index) != q->term &&
        !BBL_FAULT(BBL_FAULT_COMMIT_OLD_TERM)) {
        return;
    }
    q->commit_index = index;
    apply_committed(q);
    if (q->role == BBL_ROLE_LEADER && q->commit_index >= q->members_index &&
        bbl_members_find(&q->members, q->options.host) == NULL) {
        become_follower(q, 0);
    }
}

/*
 * Returns the end of the leader lease, or 0. It is counted from the send time
 * of the newest append or snapshot that a majority answered, and shortened by
 * twice the clock error because the clocks of leader and voter may err in
 * opposite directions.
 */
static bbl_usec
lease_end(const bbl_quorum *q)
{
    bbl_usec acked =
        value_reached_by(q, majority(q), q->now, peer_acked_send_time);
    bbl_usec length = q->options.leader_lease;

    length -= length * q->options.clock_error_ppm * 2 / 1000000;
    return acked == 0 ? 0 : acked + length;
}

/* ---- sending ---- */

static void
send_message(bbl_quorum *q, uint32_t host, const bblx_message *message)
{
    q->options.port.send(q->options.port.ctx, host, message);
}

static int
send_snapshot_to_peer(bbl_quorum *q, bblx_snapshot *s, void *arg)
{
    const peer *p = arg;
    bblx_message m;

    memset(&m, 0, sizeof(m));
    m.kind = BBLX_SNAPSHOT;
    m.bblx_message_u.snapshot = *s;
    send_message(q, p->host, &m);
    return 0;
}

static void
send_snapshot(bbl_quorum *q, peer *p)
{
    if (p->last_snapshot_sent != 0 &&
        q->now < p->last_snapshot_sent +
                     SNAPSHOT_RESEND_INTERVAL_MS * BBL_USEC_PER_MS) {
        return;
    }
    p->last_snapshot_sent = q->now;
    with_snapshot(q, send_snapshot_to_peer, p);
}

static void
send_append(bbl_quorum *q, peer *p)
{
    bblx_entry batch[APPEND_ENTRIES_MAX];
    bblx_message m;
    bblx_append *a = &m.bblx_message_u.append;
    size_t bytes = 0;
    uint64_t last = log_last_index(q);
    u_int n = 0;

    if (p->next_index <= q->compacted_index) {
        send_snapshot(q, p);
        return;
    }
    memset(&m, 0, sizeof(m));
    m.kind = BBLX_APPEND;
    for (uint64_t i = p->next_index; i <= last && n < APPEND_ENTRIES_MAX;
         i++) {
        bbl_journal_entry *e = log_entry_at(q, i);

        if (n > 0 && bytes + e->data.size > APPEND_BYTES_MAX) {
            break;
        }
        batch[n].index = e->index;
        batch[n].term = e->term;
        batch[n].data = bbl_wire_text_borrow(bbl_buf_str(&e->data));
        bytes += e->data.size;
        n++;
    }
    a->term = q->term;
    a->prev_index = p->next_index - 1;
    a->prev_term = log_term_at(q, p->next_index - 1);
    a->commit = q->commit_index;
    a->round = q->now; /* the send time; the reply returns it */
    a->entries.entries_len = n;
    a->entries.entries_val = batch;
    if (n > 0) {
        p->in_flight = true;
        p->last_entries_sent = q->now;
    }
    send_message(q, p->host, &m);
}

/*
 * Sends an append to every peer or, without `heartbeat`, to the peers that
 * lack entries and have no append with entries in flight.
 */
static void
broadcast(bbl_quorum *q, bool heartbeat)
{
    for (size_t i = 0; i < q->peers.size; i++) {
        peer *p = bbl_vec_at(&q->peers, i);

        if (heartbeat ||
            (!p->in_flight && p->next_index <= log_last_index(q))) {
            send_append(q, p);
        }
    }
}

/* Adds and removes peers so that there is one for each other member. */
static void
update_peers(bbl_quorum *q)
{
    for (size_t i = q->peers.size; i > 0; i--) {
        peer *p = bbl_vec_at(&q->peers, i - 1);

        if (bbl_members_find(&q->members, p->host) == NULL) {
            bbl_vec_swap_remove(&q->peers, i - 1);
        }
    }
    for (u_int i = 0; i < q->members.list.list_len; i++) {
        uint32_t host = q->members.list.list_val[i].host;
        bool known = host == q->options.host;
        peer *p;

        for (size_t j = 0; j < q->peers.size; j++) {
            known = known || BBL_VEC_AT(peer, &q->peers, j)->host == host;
        }
        if (known) {
            continue;
        }
        p = bbl_vec_add(&q->peers);
        p->host = host;
        p->next_index = log_last_index(q) + 1;
        p->last_reply = q->now;
    }
}

/* ---- elections ---- */

static void
become_leader(bbl_quorum *q)
{
    bblx_command command;
    bbl_buf data = BBL_BUF_INIT;

    q->role = BBL_ROLE_LEADER;
    q->leader = q->options.host;
    q->leader_since = q->now;
    q->term_start_index = log_last_index(q) + 1;
    q->last_heartbeat = 0;
    q->peers.size = 0;
    update_peers(q);
    memset(&command, 0, sizeof(command));
    command.kind = BBLX_NOOP;
    if (q->members_index == 0) {
        command.kind = BBLX_VOTERS;
        command.bblx_command_u.voters = q->members;
    }
    if (BBL_XDR_ENCODE(&data, bblx_command, &command) != 0) {
        abort();
    }
    append_entry(q, q->term, bbl_buf_str(&data));
    bbl_buf_free(&data);
    bbl_quorum_flush(q, q->now);
}

static void count_vote(bbl_quorum *q, uint32_t host, uint64_t disk_id);

/*
 * Starts an election. A pre-vote asks for votes in the next term without
 * entering it. With `transfer` the voters ignore the leader lease, which the
 * old leader has given up.
 */
static void
campaign(bbl_quorum *q, bool pre_vote, bool transfer)
{
    bblx_message m;
    bblx_vote_request *r = &m.bblx_message_u.vote_request;

    become_follower(q, 0);
    q->role = BBL_ROLE_CANDIDATE;
    q->pre_vote = pre_vote;
    q->vote_count = 0;
    if (!pre_vote) {
        set_term(q, q->term + 1, q->options.host);
        if (!sync_journal(q)) {
            return;
        }
    }
    memset(&m, 0, sizeof(m));
    m.kind = BBLX_VOTE_REQUEST;
    r->term = pre_vote ? q->term + 1 : q->term;
    r->last_index = log_last_index(q);
    r->last_term = log_term_at(q, log_last_index(q));
    r->pre_vote = pre_vote;
    r->transfer = transfer;
    for (u_int i = 0; i < q->members.list.list_len; i++) {
        const bblx_voter *v = &q->members.list.list_val[i];

        if (v->role == BBLX_VOTER && v->host != q->options.host) {
            send_message(q, v->host, &m);
        }
    }
    count_vote(q, q->options.host, q->disk_id);
}

static void
count_vote(bbl_quorum *q, uint32_t host, uint64_t disk_id)
{
    if (!is_counted_voter(q, host, disk_id)) {
        return;
    }
    for (size_t i = 0; i < q->vote_count; i++) {
        if (q->votes[i] == host) {
            return;
        }
    }
    if (q->vote_count < 31) {
        q->votes[q->vote_count++] = host;
    }
    if (q->vote_count < majority(q)) {
        return;
    }
    if (q->pre_vote) {
        campaign(q, false, false);
    }
    else {
        become_leader(q);
    }
}

/*
 * Returns whether a leader may still hold its lease, so that this host must
 * not vote. After a restart the last message from a leader is unknown, so a
 * full lease must pass, except on a new bootstrap voter.
 */
static bool
must_withhold_vote(const bbl_quorum *q)
{
    bbl_usec wait = q->options.leader_lease;

    if (q->now < q->started + wait && !(q->bootstrapped && q->term == 0)) {
        return true;
    }
    if (q->role == BBL_ROLE_LEADER) {
        return q->now < lease_end(q);
    }
    return q->last_leader_message != 0 &&
           q->now < q->last_leader_message + wait;
}

/* Returns whether the candidate's log is at least as up to date as this one.
 */
static bool
is_log_up_to_date(const bbl_quorum *q, const bblx_vote_request *r)
{
    uint64_t last = log_last_index(q);
    uint64_t term = log_term_at(q, last);

    return r->last_term > term ||
           (r->last_term == term && r->last_index >= last);
}

static void
on_vote_request(bbl_quorum *q, uint32_t from, const bblx_vote_request *r)
{
    bblx_message m;
    bblx_vote_reply *reply = &m.bblx_message_u.vote_reply;
    /* The leader gave up its lease before it started the transfer. */
    bool free_to_vote = r->transfer || !must_withhold_vote(q);
    bool grant = r->term >= q->term && free_to_vote && is_log_up_to_date(q, r);

    if (grant && !r->pre_vote) {
        if (r->term > q->term) {
            become_follower(q, 0);
            set_term(q, r->term, 0);
        }
        if (q->voted_for != 0 && q->voted_for != from &&
            !BBL_FAULT(BBL_FAULT_DOUBLE_VOTE)) {
            grant = false;
        }
    }
    if (grant && r->pre_vote) {
        grant = r->term > q->term;
    }
    if (grant && !r->pre_vote) {
        set_term(q, r->term, from);
        if (!sync_journal(q)) {
            return;
        }
        become_follower(q, 0);
    }
    memset(&m, 0, sizeof(m));
    m.kind = BBLX_VOTE_REPLY;
    reply->term = grant ? r->term : q->term;
    reply->granted = grant;
    reply->pre_vote = r->pre_vote;
    reply->disk = q->disk_id;
    send_message(q, from, &m);
}

static void
on_vote_reply(bbl_quorum *q, uint32_t from, const bblx_vote_reply *r)
{
    uint64_t expected = q->pre_vote ? q->term + 1 : q->term;

    if (!r->granted && r->term > q->term) {
        set_term(q, r->term, 0);
        become_follower(q, 0);
        return;
    }
    if (q->role == BBL_ROLE_CANDIDATE && r->granted &&
        r->pre_vote == q->pre_vote && r->term == expected) {
        count_vote(q, from, r->disk);
    }
}

static void
on_transfer(bbl_quorum *q, const bblx_transfer *t)
{
    if (t->term == q->term && q->role != BBL_ROLE_LEADER &&
        is_self_counted_voter(q)) {
        campaign(q, false, true);
    }
}

/* ---- replication, follower ---- */

/*
 * Answers an append or a snapshot, which the leader sent at `send_time` (the
 * `round` of the message). After a success `match` is the last index that
 * matches the leader's log; after a failure the leader continues with the
 * entry that follows `match`.
 */
static void
send_append_reply(bbl_quorum *q, uint32_t to, uint64_t send_time, bool success,
                  uint64_t match)
{
    bblx_message m;
    bblx_append_reply *reply = &m.bblx_message_u.append_reply;

    memset(&m, 0, sizeof(m));
    m.kind = BBLX_APPEND_REPLY;
    reply->term = q->term;
    reply->success = success;
    reply->match = match;
    reply->round = send_time;
    reply->disk = q->disk_id;
    send_message(q, to, &m);
}

/*
 * Accepts `from` as the leader of `term`. Returns false when the term is old
 * or the journal failed.
 */
static bool
accept_leader(bbl_quorum *q, uint32_t from, uint64_t term)
{
    if (term < q->term) {
        return false;
    }
    if (term > q->term) {
        set_term(q, term, 0);
    }
    become_follower(q, from);
    q->last_leader_message = q->now;
    return !q->failed;
}

static void
on_append(bbl_quorum *q, uint32_t from, const bblx_append *a)
{
    uint64_t match = a->prev_index + a->entries.entries_len;

    if (!accept_leader(q, from, a->term)) {
        send_append_reply(q, from, a->round, false, 0);
        return;
    }
    if (a->prev_index > log_last_index(q) ||
        (a->prev_index >= q->compacted_index &&
         log_term_at(q, a->prev_index) != a->prev_term)) {
        uint64_t match_hint = a->prev_index > 0 ? a->prev_index - 1 : 0;

        match_hint =
            match_hint > log_last_index(q) ? log_last_index(q) : match_hint;
        match_hint =
            match_hint < q->commit_index ? q->commit_index : match_hint;
        send_append_reply(q, from, a->round, false, match_hint);
        return;
    }
    for (u_int i = 0; i < a->entries.entries_len; i++) {
        const bblx_entry *e = &a->entries.entries_val[i];

        if (e->index <= q->compacted_index ||
            (e->index <= log_last_index(q) &&
             log_term_at(q, e->index) == e->term)) {
            continue;
        }
        if (e->index <= log_last_index(q)) {
            truncate_log(q, e->index);
        }
        if (e->index != log_last_index(q) + 1 ||
            !append_entry(q, e->term, bbl_wire_text_str(&e->data))) {
            return;
        }
    }
    if (!sync_journal(q)) {
        return;
    }
    if (a->commit > q->commit_index) {
        uint64_t commit = a->commit < match ? a->commit : match;

        if (commit > q->commit_index) {
            q->commit_index = commit;
            apply_committed(q);
        }
    }
    send_append_reply(q, from, a->round, true, match);
}

static void
on_snapshot(bbl_quorum *q, uint32_t from, const bblx_snapshot *s)
{
    bbl_str data = {s->data.data_val, s->data.data_len};

    if (!accept_leader(q, from, s->term)) {
        send_append_reply(q, from, s->round, false, 0);
        return;
    }
    if (s->last_index <= q->commit_index) {
        send_append_reply(q, from, s->round, true, q->commit_index);
        return;
    }
    discard_entries_up_to(q, log_last_index(q));
    q->compacted_index = s->last_index;
    q->compacted_term = s->last_term;
    q->commit_index = s->last_index;
    q->applied_index = s->last_index;
    bbl_members_copy(&q->compacted_members, &s->voters);
    recompute_members(q);
    if (write_journal(q, s) != 0 ||
        q->options.port.load(q->options.port.ctx, q->compacted_index, data) !=
            0) {
        handle_journal_failure(q);
        return;
    }
    send_append_reply(q, from, s->round, true, q->compacted_index);
}

/* ---- replication, leader ---- */

static peer *
find_peer(bbl_quorum *q, uint32_t host)
{
    for (size_t i = 0; i < q->peers.size; i++) {
        peer *p = bbl_vec_at(&q->peers, i);

        if (p->host == host) {
            return p;
        }
    }
    return NULL;
}

static void
on_append_reply(bbl_quorum *q, uint32_t from, const bblx_append_reply *r)
{
    peer *p = find_peer(q, from);

    if (r->term > q->term) {
        set_term(q, r->term, 0);
        become_follower(q, 0);
        return;
    }
    if (q->role != BBL_ROLE_LEADER || r->term != q->term || p == NULL) {
        return;
    }
    if (r->disk != p->disk_id) {
        /* A new journal on the peer holds none of the matched entries. */
        p->disk_id = r->disk;
        p->match_index = 0;
    }
    p->last_reply = q->now;
    p->in_flight = false;
    if (r->round > p->acked_send_time && r->round <= q->now) {
        p->acked_send_time = r->round;
    }
    if (!r->success) {
        p->next_index = r->match < log_last_index(q) ? r->match + 1
                                                     : log_last_index(q) + 1;
        send_append(q, p);
        return;
    }
    if (r->match > log_last_index(q)) {
        return;
    }
    if (r->match > p->match_index) {
        p->match_index = r->match;
    }
    if (p->match_index + 1 > p->next_index) {
        p->next_index = p->match_index + 1;
    }
    advance_commit_index(q);
    if (q->role == BBL_ROLE_LEADER && p->next_index <= log_last_index(q)) {
        send_append(q, p);
    }
}

/* ---- membership changes ---- */

/*
 * Returns whether a voter has answered recently and with the journal that is
 * registered for it.
 */
static bool
is_healthy(const bbl_quorum *q, const bblx_voter *v)
{
    if (v->host == q->options.host) {
        return v->disk == q->disk_id;
    }
    for (size_t i = 0; i < q->peers.size; i++) {
        const peer *p = bbl_vec_at(&q->peers, i);

        if (p->host == v->host) {
            return p->disk_id == v->disk &&
                   p->acked_send_time + MISSED_HEARTBEATS_MAX *
                                            q->options.heartbeat_interval >=
                       q->now;
        }
    }
    return false;
}

/*
 * Returns whether a majority of the voters in `members` is healthy, so that
 * the log can commit with them.
 */
static bool
has_healthy_majority(const bbl_quorum *q, const bblx_voters *members)
{
    size_t all = 0;
    size_t healthy = 0;

    for (u_int i = 0; i < members->list.list_len; i++) {
        const bblx_voter *v = &members->list.list_val[i];

        if (v->role == BBLX_VOTER) {
            all++;
            healthy += is_healthy(q, v);
        }
    }
    return healthy > all / 2;
}

static int
propose_members(bbl_quorum *q, const bblx_voters *members)
{
    bblx_command command;
    bbl_buf data = BBL_BUF_INIT;
    uint64_t index;
    uint64_t term;
    int error;

    if (q->members_index > q->commit_index) {
        return bbl_error_set(
            BBL_ECONFLICT,
            "an earlier membership change is not yet committed");
    }
    if (q->commit_index < q->term_start_index) {
        return bbl_error_set(
            BBL_ENOTLEADER,
            "this leader has not committed an entry of its term yet");
    }
    if (!has_healthy_majority(q, members)) {
        return bbl_error_set(BBL_ECONFLICT,
                             "no majority of the new voters answers");
    }
    memset(&command, 0, sizeof(command));
    command.kind = BBLX_VOTERS;
    command.bblx_command_u.voters = *members;
    error = BBL_XDR_ENCODE(&data, bblx_command, &command);
    if (error == 0) {
        error = bbl_quorum_propose(q, &index, &term, bbl_buf_str(&data));
    }
    bbl_buf_free(&data);
    return error;
}

/* Promotes one learner that holds all committed entries to a voter. */
static void
promote_learner(bbl_quorum *q)
{
    bblx_voters changed = {{0, NULL}};

    if (q->members_index > q->commit_index ||
        q->commit_index < q->term_start_index ||
        bbl_members_count_voters(&q->members) >= q->voter_limit) {
        return;
    }
    for (size_t i = 0; i < q->peers.size; i++) {
        const peer *p = bbl_vec_at(&q->peers, i);
        const bblx_voter *v = bbl_members_find(&q->members, p->host);

        if (v == NULL || v->role != BBLX_LEARNER || p->disk_id == 0 ||
            p->match_index < q->commit_index ||
            p->acked_send_time + q->options.election_timeout < q->now) {
            continue;
        }
        bbl_members_copy(&changed, &q->members);
        bbl_members_find(&changed, p->host)->role = BBLX_VOTER;
        bbl_members_find(&changed, p->host)->disk = p->disk_id;
        propose_members(q, &changed);
        free(changed.list.list_val);
        return;
    }
}

int
bbl_quorum_add_learner(bbl_quorum *q, uint32_t host,
                       bblx_address control_address)
{
    return bbl_quorum_replace_member(q, 0, host, control_address);
}

int
bbl_quorum_replace_member(bbl_quorum *q, uint32_t old_host, uint32_t new_host,
                          bblx_address control_address)
{
    bblx_voters changed = {{0, NULL}};
    bblx_voter *v;
    int error = 0;

    if (q->role != BBL_ROLE_LEADER) {
        return bbl_error_set(BBL_ENOTLEADER, "this host is not the leader");
    }
    if (new_host == 0 || q->members.list.list_len >= 31) {
        return bbl_error_set(
            BBL_EINVAL,
            "the host id is 0 or the cluster already has 31 members");
    }
    bbl_members_copy(&changed, &q->members);
    v = bbl_members_find(&changed, old_host);
    if (v != NULL && old_host != new_host) {
        bbl_members_remove(&changed, v);
    }
    v = bbl_members_find(&changed, new_host);
    if (v == NULL) {
        u_int n = changed.list.list_len + 1;

        changed.list.list_val =
            bbl_reallocarray(changed.list.list_val, n, sizeof(bblx_voter));
        changed.list.list_len = n;
        v = &changed.list.list_val[n - 1];
    }
    else if (v->role == BBLX_VOTER && is_healthy(q, v)) {
        error =
            bbl_error_set(BBL_EEXISTS, "host %u is already a voter", new_host);
    }
    memset(v, 0, sizeof(*v));
    v->host = new_host;
    v->role = BBLX_LEARNER;
    v->control = control_address;
    if (error == 0) {
        error = propose_members(q, &changed);
    }
    free(changed.list.list_val);
    return error;
}

void
bbl_quorum_set_voter_limit(bbl_quorum *q, size_t limit)
{
    q->voter_limit = limit;
}

int
bbl_quorum_remove_member(bbl_quorum *q, uint32_t host)
{
    bblx_voters changed = {{0, NULL}};
    bblx_voter *v;
    int error;

    if (q->role != BBL_ROLE_LEADER) {
        return bbl_error_set(BBL_ENOTLEADER, "this host is not the leader");
    }
    bbl_members_copy(&changed, &q->members);
    v = bbl_members_find(&changed, host);
    if (v == NULL) {
        error = bbl_error_set(
            BBL_ENOTFOUND, "host %u is neither a voter nor a learner", host);
    }
    else if (v->role == BBLX_VOTER && majority(q) == 1) {
        error = bbl_error_set(BBL_EINVAL, "host %u is the last voter", host);
    }
    else {
        bbl_members_remove(&changed, v);
        error = propose_members(q, &changed);
    }
    free(changed.list.list_val);
    return error;
}

/* ---- public ---- */

static int
load_snapshot(bbl_quorum *q, const bbl_journal_image *image)
{
    bblx_snapshot s;
    int error;

    if (image->snapshot_index == 0) {
        return 0;
    }
    memset(&s, 0, sizeof(s));
    error = BBL_XDR_DECODE(&s, bblx_snapshot, bbl_buf_str(&image->snapshot));
    if (error != 0) {
        return error;
    }
    bbl_members_copy(&q->compacted_members, &s.voters);
    q->compacted_index = image->snapshot_index;
    q->compacted_term = image->snapshot_term;
    q->journal_snapshot_index = q->compacted_index;
    q->snapshot_bytes = image->snapshot.size;
    q->commit_index = q->compacted_index;
    q->applied_index = q->compacted_index;
    error = q->options.port.load(q->options.port.ctx, q->compacted_index,
                                 (bbl_str){s.data.data_val, s.data.data_len});
    BBL_XDR_FREE(bblx_snapshot, &s);
    return error;
}

/* Moves the content of the journal into the quorum. */
static int
load_journal(bbl_quorum *q, bbl_journal_image *image)
{
    int error;

    q->disk_id = image->disk_id;
    q->bootstrapped = image->bootstrapped;
    q->term = image->term;
    q->voted_for = image->voted_for;
    if (q->bootstrapped) {
        bbl_members_copy(&q->compacted_members, &q->options.bootstrap_voters);
        for (u_int i = 0; i < q->compacted_members.list.list_len; i++) {
            bblx_voter *v = &q->compacted_members.list.list_val[i];

            v->role = BBLX_VOTER;
            v->disk = v->host;
        }
    }
    error = load_snapshot(q, image);
    bbl_vec_free(&q->entries);
    q->entries = image->entries;
    image->entries = (bbl_vec)BBL_VEC_INIT(bbl_journal_entry);
    q->synced_index = log_last_index(q);
    recompute_members(q);
    return error;
}

int
bbl_quorum_bootstrap(bbl_disk *disk, uint32_t host)
{
    bbl_journal *journal;
    bbl_buf present = BBL_BUF_INIT;
    int error = disk->read(disk, "journal", &present);

    bbl_buf_free(&present);
    if (error != BBL_ENOTFOUND) {
        disk->free(disk);
        return error
                   ? error
                   : bbl_error_set(BBL_EEXISTS,
                                   "the data folder already holds a journal");
    }
    error = bbl_journal_create(&journal, disk, host, true);
    if (error == 0) {
        bbl_journal_free(journal);
    }
    return error;
}

static int
open_journal(bbl_quorum *q, bbl_journal_image *image, bbl_disk *disk)
{
    bbl_buf present = BBL_BUF_INIT;
    int error = disk->read(disk, "journal", &present);

    bbl_buf_free(&present);
    if (error == BBL_ENOTFOUND) {
        memset(image, 0, sizeof(*image));
        image->entries = (bbl_vec)BBL_VEC_INIT(bbl_journal_entry);
        image->disk_id = bbl_rng_next(&q->rng) | RANDOM_DISK_ID_BIT;
        return bbl_journal_create(&q->journal, disk, image->disk_id, false);
    }
    if (error != 0) {
        disk->free(disk);
        return error;
    }
    return bbl_journal_open(&q->journal, image, disk);
}

int
bbl_quorum_open(bbl_quorum **out, const bbl_quorum_options *options,
                bbl_disk *disk, bbl_usec now)
{
    bbl_quorum *q = bbl_calloc(1, sizeof(*q));
    bbl_journal_image image;
    int error;

    *out = NULL;
    q->options = *options;
    q->rng.state = options->seed;
    q->entries = (bbl_vec)BBL_VEC_INIT(bbl_journal_entry);
    q->peers = (bbl_vec)BBL_VEC_INIT(peer);
    q->peer_report = (bbl_vec)BBL_VEC_INIT(bbl_quorum_peer);
    q->voter_limit = SIZE_MAX;
    q->now = now;
    q->started = now;
    error = open_journal(q, &image, disk);
    if (error != 0) {
        bbl_quorum_free(q);
        return error;
    }
    error = load_journal(q, &image);
    bbl_journal_image_free(&image);
    if (error != 0) {
        bbl_quorum_free(q);
        return error;
    }
    become_follower(q, 0);
    /*
     * The first election starts when the leader lease has passed since the
     * start, plus a random time of up to half the election timeout.
     */
    q->election_due = now + options->leader_lease +
                      bbl_rng_below(&q->rng, options->election_timeout / 2);
    *out = q;
    return 0;
}

void
bbl_quorum_free(bbl_quorum *q)
{
    if (q == NULL) {
        return;
    }
    for (size_t i = 0; i < q->entries.size; i++) {
        bbl_buf_free(&BBL_VEC_AT(bbl_journal_entry, &q->entries, i)->data);
    }
    bbl_vec_free(&q->entries);
    bbl_vec_free(&q->peers);
    bbl_vec_free(&q->peer_report);
    free(q->members.list.list_val);
    free(q->compacted_members.list.list_val);
    bbl_journal_free(q->journal);
    free(q);
}

static void
tick_leader(bbl_quorum *q)
{
    if (lease_end(q) + q->options.election_timeout < q->now &&
        q->leader_since + 2 * q->options.election_timeout < q->now) {
        become_follower(q, 0);
        return;
    }
    if (q->now >= q->last_heartbeat + q->options.heartbeat_interval) {
        q->last_heartbeat = q->now;
        broadcast(q, true);
    }
    promote_learner(q);
}

void
bbl_quorum_tick(bbl_quorum *q, bbl_usec now)
{
    q->now = now;
    if (q->failed) {
        return;
    }
    if (q->role == BBL_ROLE_LEADER) {
        tick_leader(q);
    }
    else if (now >= q->election_due) {
        if (is_self_counted_voter(q) && !must_withhold_vote(q)) {
            campaign(q, true, false);
        }
        else {
            become_follower(q, q->now < q->last_leader_message +
                                            q->options.election_timeout
                                   ? q->leader
                                   : 0);
        }
    }
    bbl_quorum_flush(q, now);
}

void
bbl_quorum_receive(bbl_quorum *q, bbl_usec now, uint32_t from,
                   const bblx_message *m)
{
    q->now = now;
    if (q->failed) {
        return;
    }
    switch (m->kind) {
    case BBLX_VOTE_REQUEST:
        on_vote_request(q, from, &m->bblx_message_u.vote_request);
        break;
    case BBLX_VOTE_REPLY:
        on_vote_reply(q, from, &m->bblx_message_u.vote_reply);
        break;
    case BBLX_APPEND:
        on_append(q, from, &m->bblx_message_u.append);
        break;
    case BBLX_APPEND_REPLY:
        on_append_reply(q, from, &m->bblx_message_u.append_reply);
        break;
    case BBLX_TRANSFER:
        on_transfer(q, &m->bblx_message_u.transfer);
        break;
    case BBLX_SNAPSHOT:
        on_snapshot(q, from, &m->bblx_message_u.snapshot);
        break;
    default:
        break;
    }
}

int
bbl_quorum_propose(bbl_quorum *q, uint64_t *index, uint64_t *term,
                   bbl_str data)
{
    if (q->role != BBL_ROLE_LEADER || q->failed) {
        return bbl_error_set(BBL_ENOTLEADER, "this host is not the leader");
    }
    if (!append_entry(q, q->term, data)) {
        return BBL_EIO;
    }
    *index = log_last_index(q);
    *term = q->term;
    return 0;
}

void
bbl_quorum_flush(bbl_quorum *q, bbl_usec now)
{
    q->now = now;
    if (q->role != BBL_ROLE_LEADER || q->synced_index == log_last_index(q)) {
        return;
    }
    broadcast(q, false);
    if (sync_journal(q)) {
        advance_commit_index(q);
    }
}

int
bbl_quorum_transfer_leadership(bbl_quorum *q, bbl_usec now,
                               bool (*may_lead)(const void *ctx,
                                                uint32_t host),
                               const void *ctx)
{
    const peer *best = NULL;
    bblx_message m;

    q->now = now;
    if (q->role != BBL_ROLE_LEADER) {
        return bbl_error_set(BBL_ENOTLEADER, "this host is not the leader");
    }
    for (size_t i = 0; i < q->peers.size; i++) {
        const peer *p = bbl_vec_at(&q->peers, i);

        if (is_counted_voter(q, p->host, p->disk_id) &&
            p->match_index == log_last_index(q) &&
            (may_lead == NULL || may_lead(ctx, p->host)) &&
            (best == NULL || p->acked_send_time > best->acked_send_time)) {
            best = p;
        }
    }
    if (best == NULL) {
        return bbl_error_set(
            BBL_ENOTFOUND, "no other voter that may lead holds the whole log");
    }
    memset(&m, 0, sizeof(m));
    m.kind = BBLX_TRANSFER;
    m.bblx_message_u.transfer.term = q->term;
    /* The lease ends here, before another host can become the leader. */
    become_follower(q, best->host);
    send_message(q, best->host, &m);
    return 0;
}

bool
bbl_quorum_has_leader_lease(const bbl_quorum *q, bbl_usec now)
{
    return q->role == BBL_ROLE_LEADER && !q->failed &&
           q->commit_index >= q->term_start_index && now < lease_end(q);
}

bbl_usec
bbl_quorum_leader_since(const bbl_quorum *q)
{
    return q->leader_since;
}

void
bbl_quorum_get_status(const bbl_quorum *q, bbl_quorum_status *out)
{
    out->role = q->role;
    out->term = q->term;
    out->leader = q->leader;
    out->last_index = log_last_index(q);
    out->commit_index = q->commit_index;
    out->snapshot_index = q->journal_snapshot_index;
    out->disk_id = q->disk_id;
    out->failed = q->failed;
    out->counted_voter = is_self_counted_voter(q);
}

size_t
bbl_quorum_get_peers(bbl_quorum *q, bbl_usec now, const bbl_quorum_peer **out)
{
    q->peer_report.size = 0;
    for (size_t i = 0; i < q->peers.size; i++) {
        const peer *p = bbl_vec_at(&q->peers, i);
        bbl_quorum_peer *r = bbl_vec_add(&q->peer_report);

        r->host = p->host;
        r->counted_voter = is_counted_voter(q, p->host, p->disk_id);
        r->match_index = p->match_index;
        r->time_since_reply = now - p->last_reply;
    }
    *out = q->peer_report.ptr;
    return q->peer_report.size;
}

const bblx_voters *
bbl_quorum_get_members(const bbl_quorum *q)
{
    return &q->members;
}

int
bbl_quorum_get_entry(const bbl_quorum *q, uint64_t index, uint64_t *term,
                     bbl_str *data)
{
    if (index <= q->compacted_index || index > log_last_index(q)) {
        return BBL_ENOTFOUND;
    }
    *term = log_entry_at(q, index)->term;
    *data = bbl_buf_str(&log_entry_at(q, index)->data);
    return 0;
}
