#include "control/quorum.h"

#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "control/fault.h"
#include "control/journal.h"
#include "util/alloc.h"
#include "util/rng.h"

#define BATCH_ENTRIES 512         /* entries in one append */
#define BATCH_BYTES (1u << 20)    /* bytes in one append, about */
#define COMPACT_BYTES (16u << 20) /* journal size that asks for a snapshot */
#define KEEP_ENTRIES 256          /* entries kept behind a snapshot */
/* Heartbeats that a sound voter may leave unanswered */
#define SOUND_BEATS 4
#define SNAPSHOT_RESEND_MS 1000      /* between two snapshots to one peer */
#define RANDOM_HOST_BIT (1ull << 63) /* marks random identities */

typedef struct {
    uint32_t host;
    uint64_t disk; /* identity seen in its replies */
    uint64_t next;
    uint64_t match;
    bbl_usec acked;    /* send time of the newest answered append */
    bbl_usec heard;    /* receipt time of the last reply */
    bbl_usec sent;     /* of the last append that carried entries */
    bbl_usec snapshot; /* of the last snapshot sent */
    bool inflight;
} peer;

struct bbl_quorum {
    bbl_quorum_options options;
    bbl_journal *journal;
    bbl_rng rng;
    uint64_t disk;
    bool founding;
    bool failed;

    uint64_t term;
    uint32_t voted_for;
    bbl_role role;
    uint32_t leader;
    bbl_vec entries; /* bbl_journal_entry, first has index base + 1 */
    uint64_t base;   /* last index no longer in memory */
    uint64_t base_term;
    uint64_t snapshot_index; /* last index in the journal's snapshot */
    uint64_t snapshot_bytes;
    uint64_t synced; /* last index durable here */
    uint64_t commit;
    uint64_t applied;

    bblx_voters voters;      /* in force, owned */
    uint64_t voters_index;   /* entry that set them */
    bblx_voters base_voters; /* at the base, owned */

    bbl_usec now;
    bbl_usec started;
    bbl_usec heard;    /* last word of a leader */
    bbl_usec election; /* when to campaign */
    bbl_usec beat;     /* last broadcast */
    bbl_usec led_since;
    uint64_t led_index; /* first entry of this term */
    bool pre;           /* the campaign is a pre-vote */
    uint32_t votes[31];
    size_t vote_count;
    bbl_vec peers;  /* peer */
    bbl_vec report; /* bbl_quorum_peer */
};

/* ---- voters ---- */

static void
voters_copy(bblx_voters *to, const bblx_voters *from)
{
    size_t n = from->list.list_len;

    free(to->list.list_val);
    to->list.list_val = bbl_calloc(n, sizeof(bblx_voter));
    to->list.list_len = (u_int)n;
    if (n > 0) {
        memcpy(to->list.list_val, from->list.list_val, n * sizeof(bblx_voter));
    }
}

static bblx_voter *
voter_of(const bblx_voters *voters, uint32_t host)
{
    for (u_int i = 0; i < voters->list.list_len; i++) {
        if (voters->list.list_val[i].host == host) {
            return &voters->list.list_val[i];
        }
    }
    return NULL;
}

/* Returns whether a voter's word counts when it shows the given disk. */
static bool
counts(const bbl_quorum *q, uint32_t host, uint64_t disk)
{
    const bblx_voter *v = voter_of(&q->voters, host);

    if (v == NULL) {
        return false;
    }
    if (BBL_FAULT(BBL_FAULT_COUNT_LEARNERS)) {
        return true;
    }
    return v->role == BBLX_VOTER &&
           (v->disk == disk || BBL_FAULT(BBL_FAULT_COUNT_ANY_DISK));
}

static size_t
majority(const bbl_quorum *q)
{
    size_t voters = 0;

    for (u_int i = 0; i < q->voters.list.list_len; i++) {
        voters += q->voters.list.list_val[i].role == BBLX_VOTER;
    }
    return voters / 2 + 1;
}

static bool
self_counts(const bbl_quorum *q)
{
    return counts(q, q->options.host, q->disk);
}

static bool
decode_voters(bblx_voters *out, bbl_str data)
{
    bblx_command command;

    memset(&command, 0, sizeof(command));
    if (data.size < 4 || data.ptr[3] != BBLX_VOTERS ||
        BBL_XDR_DECODE(&command, bblx_command, data) != 0) {
        return false;
    }
    voters_copy(out, &command.bblx_command_u.voters);
    BBL_XDR_FREE(bblx_command, &command);
    return true;
}

/* ---- log ---- */

static uint64_t
last_index(const bbl_quorum *q)
{
    return q->base + q->entries.size;
}

static bbl_journal_entry *
entry_at(const bbl_quorum *q, uint64_t index)
{
    return bbl_vec_at(&q->entries, (size_t)(index - q->base - 1));
}

static uint64_t
term_at(const bbl_quorum *q, uint64_t index)
{
    if (index == q->base) {
        return q->base_term;
    }
    return index > q->base && index <= last_index(q) ? entry_at(q, index)->term
                                                     : 0;
}

/* Finds the voters in force from the log, newest first. */
static void
recompute_voters(bbl_quorum *q)
{
    q->voters_index = q->base;
    for (uint64_t i = last_index(q); i > q->base; i--) {
        if (decode_voters(&q->voters, bbl_buf_str(&entry_at(q, i)->data))) {
            q->voters_index = i;
            return;
        }
    }
    voters_copy(&q->voters, &q->base_voters);
}

static void sync_peers(bbl_quorum *q);

static void
step_down(bbl_quorum *q, uint32_t leader)
{
    bbl_usec spread = bbl_rng_below(&q->rng, q->options.election_timeout);

    q->role = BBL_ROLE_FOLLOWER;
    q->leader = leader;
    q->election = q->now + q->options.election_timeout + spread;
}

static void
journal_failed(bbl_quorum *q)
{
    q->failed = true;
    step_down(q, 0);
}

/* Makes the journal durable; a failure turns this host into a watcher. */
static bool
sync_journal(bbl_quorum *q)
{
    if (q->failed) {
        return false;
    }
    if (BBL_FAULT(BBL_FAULT_NO_SYNC)) {
        q->synced = last_index(q);
        return true;
    }
    if (bbl_journal_sync(q->journal) != 0) {
        journal_failed(q);
        return false;
    }
    q->synced = last_index(q);
    return true;
}

static bool
append(bbl_quorum *q, uint64_t term, bbl_str data)
{
    bbl_journal_entry *entry = bbl_vec_add(&q->entries);

    entry->index = last_index(q);
    entry->term = term;
    bbl_buf_append(&entry->data, data.ptr, data.size);
    if (bbl_journal_append_entry(q->journal, entry->index, term, data) != 0) {
        journal_failed(q);
        return false;
    }
    if (decode_voters(&q->voters, data)) {
        q->voters_index = entry->index;
        sync_peers(q);
    }
    return true;
}

static void
cut(bbl_quorum *q, uint64_t from)
{
    while (last_index(q) >= from) {
        bbl_journal_entry *last = entry_at(q, last_index(q));

        bbl_buf_free(&last->data);
        q->entries.size--;
    }
    if (q->synced >= from) {
        q->synced = from - 1;
    }
    if (bbl_journal_truncate(q->journal, from) != 0) {
        journal_failed(q);
    }
    if (q->voters_index >= from) {
        recompute_voters(q);
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
        journal_failed(q);
    }
}

/* ---- snapshots ---- */

/* Finds the voters in force at `index`, which must be applied. */
static void
voters_at(const bbl_quorum *q, uint64_t index, bblx_voters *out)
{
    for (uint64_t i = index; i > q->base; i--) {
        if (decode_voters(out, bbl_buf_str(&entry_at(q, i)->data))) {
            return;
        }
    }
    voters_copy(out, &q->base_voters);
}

/* Calls `use` with a snapshot of the applied state, valid in the call. */
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
    s.round = q->now;
    s.last_index = q->applied;
    s.last_term = term_at(q, q->applied);
    voters_at(q, q->applied, &s.voters);
    s.data.data_len = (u_int)state.size;
    s.data.data_val = state.ptr;
    error = use(q, &s, arg);
    free(s.voters.list.list_val);
    bbl_buf_free(&state);
    return error;
}

/* Replaces the journal by a snapshot and the entries after it. */
static int
write_image(bbl_quorum *q, const bblx_snapshot *s)
{
    bbl_journal_image image;
    int error;

    memset(&image, 0, sizeof(image));
    image.disk_id = q->disk;
    image.bootstrapped = q->founding;
    image.term = q->term;
    image.voted_for = q->voted_for;
    image.snapshot_index = s->last_index;
    image.snapshot_term = s->last_term;
    image.entries = (bbl_vec)BBL_VEC_INIT(bbl_journal_entry);
    for (uint64_t i = s->last_index + 1; i <= last_index(q); i++) {
        bbl_vec_push(&image.entries, entry_at(q, i));
    }
    error = BBL_XDR_ENCODE(&image.snapshot, bblx_snapshot, s);
    if (error == 0) {
        error = bbl_journal_compact(q->journal, &image);
    }
    if (error == 0) {
        q->snapshot_index = s->last_index;
        q->snapshot_bytes = image.snapshot.size;
        q->synced = last_index(q);
    }
    bbl_buf_free(&image.snapshot);
    bbl_vec_free(&image.entries);
    return error;
}

/* Forgets the entries up to `index`, which becomes the base. */
static void
drop_until(bbl_quorum *q, uint64_t index)
{
    uint64_t term = term_at(q, index);
    size_t n = (size_t)(index - q->base);
    bblx_voters voters = {{0, NULL}};

    voters_at(q, index, &voters);
    free(q->base_voters.list.list_val);
    q->base_voters = voters;
    for (size_t i = 0; i < n; i++) {
        bbl_buf_free(&BBL_VEC_AT(bbl_journal_entry, &q->entries, i)->data);
    }
    q->entries.size -= n;
    if (n > 0 && q->entries.size > 0) {
        memmove(q->entries.ptr,
                (char *)q->entries.ptr + n * q->entries.item_size,
                q->entries.size * q->entries.item_size);
    }
    q->base = index;
    q->base_term = term;
}

static int
use_for_compaction(bbl_quorum *q, bblx_snapshot *s, void *arg)
{
    (void)arg;
    return write_image(q, s);
}

/*
 * Writes a snapshot of the applied state. The journal keeps only what
 * follows it; memory keeps some entries more, for peers that lag a little.
 */
static void
compact(bbl_quorum *q)
{
    if (with_snapshot(q, use_for_compaction, NULL) != 0) {
        journal_failed(q);
        return;
    }
    if (q->applied > q->base + KEEP_ENTRIES) {
        drop_until(q, q->applied - KEEP_ENTRIES);
    }
}

int
bbl_quorum_rewrite_journal(bbl_quorum *q)
{
    compact(q);
    return q->failed ? BBL_EIO : 0;
}

/* Compacts when the journal has outgrown its snapshot. */
static void
maybe_compact(bbl_quorum *q)
{
    uint64_t behind = q->applied - q->snapshot_index;
    uint64_t size = bbl_journal_size(q->journal);

    if (q->failed || behind < q->options.compact_entries) {
        return;
    }
    if (size > 2 * q->snapshot_bytes || size > COMPACT_BYTES) {
        compact(q);
    }
}

/* ---- commit ---- */

static void
apply_committed(bbl_quorum *q)
{
    while (q->applied < q->commit) {
        bbl_journal_entry *e = entry_at(q, q->applied + 1);

        q->applied++;
        q->options.port.apply(q->options.port.ctx, q->applied, e->term,
                              bbl_buf_str(&e->data));
    }
    maybe_compact(q);
}

static int
compare_desc(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;

    return x < y ? 1 : x > y ? -1 : 0;
}

/* Returns the value that `need` voters have reached. */
static uint64_t
value_of(const bbl_quorum *q, size_t need, uint64_t own,
         uint64_t (*value)(const peer *p))
{
    uint64_t values[64];
    size_t n = 0;

    if (self_counts(q)) {
        values[n++] = own;
    }
    for (size_t i = 0; i < q->peers.size; i++) {
        const peer *p = bbl_vec_at(&q->peers, i);

        if (counts(q, p->host, p->disk) && n < 64) {
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
 * Returns how many disks must hold an entry before it is committed: a
 * majority, and as many as were asked for while there are so many voters.
 */
static size_t
commit_copies(const bbl_quorum *q)
{
    size_t need = majority(q);
    size_t voters = 0;

    for (u_int i = 0; i < q->voters.list.list_len; i++) {
        voters += q->voters.list.list_val[i].role == BBLX_VOTER;
    }
    if (BBL_FAULT(BBL_FAULT_COMMIT_BY_MAJORITY) ||
        q->options.min_copies <= need) {
        return need;
    }
    return q->options.min_copies < voters ? q->options.min_copies : voters;
}

static uint64_t
peer_match(const peer *p)
{
    return p->match;
}

static uint64_t
peer_acked(const peer *p)
{
    return p->acked;
}

static void
leader_commit(bbl_quorum *q)
{
    uint64_t index = value_of(q, commit_copies(q), q->synced, peer_match);

    if (index <= q->commit) {
        return;
    }
    if (term_at(q, index) != q->term &&
        !BBL_FAULT(BBL_FAULT_COMMIT_OLD_TERM)) {
        return;
    }
    q->commit = index;
    apply_committed(q);
    if (q->role == BBL_ROLE_LEADER && q->commit >= q->voters_index &&
        voter_of(&q->voters, q->options.host) == NULL) {
        step_down(q, 0);
    }
}

static bbl_usec
lease_end(const bbl_quorum *q)
{
    bbl_usec acked = value_of(q, majority(q), q->now, peer_acked);
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
use_for_peer(bbl_quorum *q, bblx_snapshot *s, void *arg)
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
    if (p->snapshot != 0 &&
        q->now < p->snapshot + SNAPSHOT_RESEND_MS * BBL_USEC_PER_MS) {
        return;
    }
    p->snapshot = q->now;
    with_snapshot(q, use_for_peer, p);
}

static void
send_append(bbl_quorum *q, peer *p)
{
    bblx_entry batch[BATCH_ENTRIES];
    bblx_message m;
    bblx_append *a = &m.bblx_message_u.append;
    size_t bytes = 0;
    uint64_t last = last_index(q);
    u_int n = 0;

    if (p->next <= q->base) {
        send_snapshot(q, p);
        return;
    }
    memset(&m, 0, sizeof(m));
    m.kind = BBLX_APPEND;
    for (uint64_t i = p->next; i <= last && n < BATCH_ENTRIES; i++) {
        bbl_journal_entry *e = entry_at(q, i);

        if (n > 0 && bytes + e->data.size > BATCH_BYTES) {
            break;
        }
        batch[n].index = e->index;
        batch[n].term = e->term;
        batch[n].data = bbl_wire_text_borrow(bbl_buf_str(&e->data));
        bytes += e->data.size;
        n++;
    }
    a->term = q->term;
    a->prev_index = p->next - 1;
    a->prev_term = term_at(q, p->next - 1);
    a->commit = q->commit;
    a->round = q->now;
    a->entries.entries_len = n;
    a->entries.entries_val = batch;
    if (n > 0) {
        p->inflight = true;
        p->sent = q->now;
    }
    send_message(q, p->host, &m);
}

static void
broadcast(bbl_quorum *q, bool heartbeat)
{
    for (size_t i = 0; i < q->peers.size; i++) {
        peer *p = bbl_vec_at(&q->peers, i);

        if (heartbeat || (!p->inflight && p->next <= last_index(q))) {
            send_append(q, p);
        }
    }
}

/* Keeps one peer row for each other host in the voters list. */
static void
sync_peers(bbl_quorum *q)
{
    for (size_t i = q->peers.size; i > 0; i--) {
        peer *p = bbl_vec_at(&q->peers, i - 1);

        if (voter_of(&q->voters, p->host) == NULL) {
            bbl_vec_swap_remove(&q->peers, i - 1);
        }
    }
    for (u_int i = 0; i < q->voters.list.list_len; i++) {
        uint32_t host = q->voters.list.list_val[i].host;
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
        p->next = last_index(q) + 1;
        p->heard = q->now;
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
    q->led_since = q->now;
    q->led_index = last_index(q) + 1;
    q->beat = 0;
    q->peers.size = 0;
    sync_peers(q);
    memset(&command, 0, sizeof(command));
    command.kind = BBLX_NOOP;
    if (q->voters_index == 0) {
        command.kind = BBLX_VOTERS;
        command.bblx_command_u.voters = q->voters;
    }
    if (BBL_XDR_ENCODE(&data, bblx_command, &command) != 0) {
        abort();
    }
    append(q, q->term, bbl_buf_str(&data));
    bbl_buf_free(&data);
    bbl_quorum_flush(q, q->now);
}

static void count_vote(bbl_quorum *q, uint32_t host, uint64_t disk);

static void
campaign(bbl_quorum *q, bool pre, bool transfer)
{
    bblx_message m;
    bblx_vote_request *r = &m.bblx_message_u.vote_request;

    step_down(q, 0);
    q->role = BBL_ROLE_CANDIDATE;
    q->pre = pre;
    q->vote_count = 0;
    if (!pre) {
        set_term(q, q->term + 1, q->options.host);
        if (!sync_journal(q)) {
            return;
        }
    }
    memset(&m, 0, sizeof(m));
    m.kind = BBLX_VOTE_REQUEST;
    r->term = pre ? q->term + 1 : q->term;
    r->last_index = last_index(q);
    r->last_term = term_at(q, last_index(q));
    r->pre_vote = pre;
    r->transfer = transfer;
    for (u_int i = 0; i < q->voters.list.list_len; i++) {
        const bblx_voter *v = &q->voters.list.list_val[i];

        if (v->role == BBLX_VOTER && v->host != q->options.host) {
            send_message(q, v->host, &m);
        }
    }
    count_vote(q, q->options.host, q->disk);
}

static void
count_vote(bbl_quorum *q, uint32_t host, uint64_t disk)
{
    if (!counts(q, host, disk)) {
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
    if (q->pre) {
        campaign(q, false, false);
    }
    else {
        become_leader(q);
    }
}

/* Whether this host promised a leader, perhaps before a restart, to wait. */
static bool
promised(const bbl_quorum *q)
{
    bbl_usec wait = q->options.leader_lease;

    if (q->now < q->started + wait && !(q->founding && q->term == 0)) {
        return true;
    }
    if (q->role == BBL_ROLE_LEADER) {
        return q->now < lease_end(q);
    }
    return q->heard != 0 && q->now < q->heard + wait;
}

static bool
log_is_current(const bbl_quorum *q, const bblx_vote_request *r)
{
    uint64_t last = last_index(q);
    uint64_t term = term_at(q, last);

    return r->last_term > term ||
           (r->last_term == term && r->last_index >= last);
}

static void
on_vote_request(bbl_quorum *q, uint32_t from, const bblx_vote_request *r)
{
    bblx_message m;
    bblx_vote_reply *reply = &m.bblx_message_u.vote_reply;
    /* With a transfer the leader has given up what it was promised. */
    bool free_to_vote = r->transfer || !promised(q);
    bool grant = r->term >= q->term && free_to_vote && log_is_current(q, r);

    if (grant && !r->pre_vote) {
        if (r->term > q->term) {
            step_down(q, 0);
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
        step_down(q, 0);
    }
    memset(&m, 0, sizeof(m));
    m.kind = BBLX_VOTE_REPLY;
    reply->term = grant ? r->term : q->term;
    reply->granted = grant;
    reply->pre_vote = r->pre_vote;
    reply->disk = q->disk;
    send_message(q, from, &m);
}

static void
on_vote_reply(bbl_quorum *q, uint32_t from, const bblx_vote_reply *r)
{
    uint64_t expected = q->pre ? q->term + 1 : q->term;

    if (!r->granted && r->term > q->term) {
        set_term(q, r->term, 0);
        step_down(q, 0);
        return;
    }
    if (q->role == BBL_ROLE_CANDIDATE && r->granted && r->pre_vote == q->pre &&
        r->term == expected) {
        count_vote(q, from, r->disk);
    }
}

static void
on_transfer(bbl_quorum *q, const bblx_transfer *t)
{
    if (t->term == q->term && q->role != BBL_ROLE_LEADER && self_counts(q)) {
        campaign(q, false, true);
    }
}

/* ---- replication, follower ---- */

static void
send_append_reply(bbl_quorum *q, uint32_t to, uint64_t round, bool success,
                  uint64_t match)
{
    bblx_message m;
    bblx_append_reply *reply = &m.bblx_message_u.append_reply;

    memset(&m, 0, sizeof(m));
    m.kind = BBLX_APPEND_REPLY;
    reply->term = q->term;
    reply->success = success;
    reply->match = match;
    reply->round = round;
    reply->disk = q->disk;
    send_message(q, to, &m);
}

/* Accepts `from` as the leader of `term`; false when the term is old. */
static bool
accept_leader(bbl_quorum *q, uint32_t from, uint64_t term)
{
    if (term < q->term) {
        return false;
    }
    if (term > q->term) {
        set_term(q, term, 0);
    }
    step_down(q, from);
    q->heard = q->now;
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
    if (a->prev_index > last_index(q) ||
        (a->prev_index >= q->base &&
         term_at(q, a->prev_index) != a->prev_term)) {
        uint64_t hint = a->prev_index > 0 ? a->prev_index - 1 : 0;

        hint = hint > last_index(q) ? last_index(q) : hint;
        hint = hint < q->commit ? q->commit : hint;
        send_append_reply(q, from, a->round, false, hint);
        return;
    }
    for (u_int i = 0; i < a->entries.entries_len; i++) {
        const bblx_entry *e = &a->entries.entries_val[i];

        if (e->index <= q->base ||
            (e->index <= last_index(q) && term_at(q, e->index) == e->term)) {
            continue;
        }
        if (e->index <= last_index(q)) {
            cut(q, e->index);
        }
        if (e->index != last_index(q) + 1 ||
            !append(q, e->term, bbl_wire_text_str(&e->data))) {
            return;
        }
    }
    if (!sync_journal(q)) {
        return;
    }
    if (a->commit > q->commit) {
        uint64_t commit = a->commit < match ? a->commit : match;

        if (commit > q->commit) {
            q->commit = commit;
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
    if (s->last_index <= q->commit) {
        send_append_reply(q, from, s->round, true, q->commit);
        return;
    }
    drop_until(q, last_index(q));
    q->base = s->last_index;
    q->base_term = s->last_term;
    q->commit = s->last_index;
    q->applied = s->last_index;
    voters_copy(&q->base_voters, &s->voters);
    recompute_voters(q);
    if (write_image(q, s) != 0 ||
        q->options.port.load(q->options.port.ctx, q->base, data) != 0) {
        journal_failed(q);
        return;
    }
    send_append_reply(q, from, s->round, true, q->base);
}

/* ---- replication, leader ---- */

static peer *
peer_of(bbl_quorum *q, uint32_t host)
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
    peer *p = peer_of(q, from);

    if (r->term > q->term) {
        set_term(q, r->term, 0);
        step_down(q, 0);
        return;
    }
    if (q->role != BBL_ROLE_LEADER || r->term != q->term || p == NULL) {
        return;
    }
    if (r->disk != p->disk) {
        /* A fresh disk on this host holds nothing of what was matched. */
        p->disk = r->disk;
        p->match = 0;
    }
    p->heard = q->now;
    p->inflight = false;
    if (r->round > p->acked && r->round <= q->now) {
        p->acked = r->round;
    }
    if (!r->success) {
        p->next = r->match < last_index(q) ? r->match + 1 : last_index(q) + 1;
        send_append(q, p);
        return;
    }
    if (r->match > last_index(q)) {
        return;
    }
    if (r->match > p->match) {
        p->match = r->match;
    }
    if (p->match + 1 > p->next) {
        p->next = p->match + 1;
    }
    leader_commit(q);
    if (q->role == BBL_ROLE_LEADER && p->next <= last_index(q)) {
        send_append(q, p);
    }
}

/* ---- voter changes ---- */

/* Whether a host answers now and holds the journal it should. */
static bool
is_sound(const bbl_quorum *q, const bblx_voter *v)
{
    if (v->host == q->options.host) {
        return v->disk == q->disk;
    }
    for (size_t i = 0; i < q->peers.size; i++) {
        const peer *p = bbl_vec_at(&q->peers, i);

        if (p->host == v->host) {
            return p->disk == v->disk &&
                   p->acked + SOUND_BEATS * q->options.heartbeat_interval >=
                       q->now;
        }
    }
    return false;
}

/* Whether a majority of the voters would answer, so that work can go on. */
static bool
has_sound_majority(const bbl_quorum *q, const bblx_voters *voters)
{
    size_t all = 0;
    size_t sound = 0;

    for (u_int i = 0; i < voters->list.list_len; i++) {
        const bblx_voter *v = &voters->list.list_val[i];

        if (v->role == BBLX_VOTER) {
            all++;
            sound += is_sound(q, v);
        }
    }
    return sound > all / 2;
}

static int
propose_voters(bbl_quorum *q, const bblx_voters *voters)
{
    bblx_command command;
    bbl_buf data = BBL_BUF_INIT;
    uint64_t index;
    uint64_t term;
    int error;

    if (q->voters_index > q->commit) {
        return bbl_error_set(BBL_ECONFLICT,
                             "an earlier voter change is not yet committed");
    }
    if (q->commit < q->led_index) {
        return bbl_error_set(BBL_ENOTLEADER, "the new leader is not ready");
    }
    if (!has_sound_majority(q, voters)) {
        return bbl_error_set(BBL_ECONFLICT,
                             "too few of these voters answer now");
    }
    memset(&command, 0, sizeof(command));
    command.kind = BBLX_VOTERS;
    command.bblx_command_u.voters = *voters;
    error = BBL_XDR_ENCODE(&data, bblx_command, &command);
    if (error == 0) {
        error = bbl_quorum_propose(q, &index, &term, bbl_buf_str(&data));
    }
    bbl_buf_free(&data);
    return error;
}

/* Turns one learner that holds every committed entry into a voter. */
static void
promote_learner(bbl_quorum *q)
{
    bblx_voters changed = {{0, NULL}};

    if (q->voters_index > q->commit || q->commit < q->led_index) {
        return;
    }
    for (size_t i = 0; i < q->peers.size; i++) {
        const peer *p = bbl_vec_at(&q->peers, i);
        const bblx_voter *v = voter_of(&q->voters, p->host);

        if (v == NULL || v->role != BBLX_LEARNER || p->disk == 0 ||
            p->match < q->commit ||
            p->acked + q->options.election_timeout < q->now) {
            continue;
        }
        voters_copy(&changed, &q->voters);
        voter_of(&changed, p->host)->role = BBLX_VOTER;
        voter_of(&changed, p->host)->disk = p->disk;
        propose_voters(q, &changed);
        free(changed.list.list_val);
        return;
    }
}

static void
drop_voter(bblx_voters *voters, bblx_voter *v)
{
    *v = voters->list.list_val[voters->list.list_len - 1];
    voters->list.list_len--;
}

int
bbl_quorum_add_learner(bbl_quorum *q, uint32_t host, bblx_address control)
{
    return bbl_quorum_replace_voter(q, 0, host, control);
}

int
bbl_quorum_replace_voter(bbl_quorum *q, uint32_t lost, uint32_t host,
                         bblx_address control)
{
    bblx_voters changed = {{0, NULL}};
    bblx_voter *v;
    int error = 0;

    if (q->role != BBL_ROLE_LEADER) {
        return bbl_error_set(BBL_ENOTLEADER, "this host is not the leader");
    }
    if (host == 0 || q->voters.list.list_len >= 31) {
        return bbl_error_set(BBL_EINVAL, "host 0, or 31 voters already");
    }
    voters_copy(&changed, &q->voters);
    v = voter_of(&changed, lost);
    if (v != NULL && lost != host) {
        drop_voter(&changed, v);
    }
    v = voter_of(&changed, host);
    if (v == NULL) {
        u_int n = changed.list.list_len + 1;

        changed.list.list_val =
            bbl_reallocarray(changed.list.list_val, n, sizeof(bblx_voter));
        changed.list.list_len = n;
        v = &changed.list.list_val[n - 1];
    }
    else if (v->role == BBLX_VOTER && is_sound(q, v)) {
        error = bbl_error_set(BBL_EEXISTS, "host %u is a voter already", host);
    }
    memset(v, 0, sizeof(*v));
    v->host = host;
    v->role = BBLX_LEARNER;
    v->control = control;
    if (error == 0) {
        error = propose_voters(q, &changed);
    }
    free(changed.list.list_val);
    return error;
}

int
bbl_quorum_remove_voter(bbl_quorum *q, uint32_t host)
{
    bblx_voters changed = {{0, NULL}};
    bblx_voter *v;
    int error;

    if (q->role != BBL_ROLE_LEADER) {
        return bbl_error_set(BBL_ENOTLEADER, "this host is not the leader");
    }
    voters_copy(&changed, &q->voters);
    v = voter_of(&changed, host);
    if (v == NULL) {
        error = bbl_error_set(BBL_ENOTFOUND, "host %u is no voter", host);
    }
    else if (v->role == BBLX_VOTER && majority(q) == 1) {
        error = bbl_error_set(BBL_EINVAL, "host %u is the last voter", host);
    }
    else {
        drop_voter(&changed, v);
        error = propose_voters(q, &changed);
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
    voters_copy(&q->base_voters, &s.voters);
    q->base = image->snapshot_index;
    q->base_term = image->snapshot_term;
    q->snapshot_index = q->base;
    q->snapshot_bytes = image->snapshot.size;
    q->commit = q->base;
    q->applied = q->base;
    error = q->options.port.load(q->options.port.ctx, q->base,
                                 (bbl_str){s.data.data_val, s.data.data_len});
    BBL_XDR_FREE(bblx_snapshot, &s);
    return error;
}

/* Moves what the journal held into the quorum. */
static int
adopt_image(bbl_quorum *q, bbl_journal_image *image)
{
    int error;

    q->disk = image->disk_id;
    q->founding = image->bootstrapped;
    q->term = image->term;
    q->voted_for = image->voted_for;
    if (q->founding) {
        voters_copy(&q->base_voters, &q->options.bootstrap_voters);
        for (u_int i = 0; i < q->base_voters.list.list_len; i++) {
            bblx_voter *v = &q->base_voters.list.list_val[i];

            v->role = BBLX_VOTER;
            v->disk = v->host;
        }
    }
    error = load_snapshot(q, image);
    bbl_vec_free(&q->entries);
    q->entries = image->entries;
    image->entries = (bbl_vec)BBL_VEC_INIT(bbl_journal_entry);
    q->synced = last_index(q);
    recompute_voters(q);
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
        return error ? error
                     : bbl_error_set(BBL_EEXISTS,
                                     "the folder holds a journal already");
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
        image->disk_id = bbl_rng_next(&q->rng) | RANDOM_HOST_BIT;
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
    q->report = (bbl_vec)BBL_VEC_INIT(bbl_quorum_peer);
    q->now = now;
    q->started = now;
    error = open_journal(q, &image, disk);
    if (error != 0) {
        bbl_quorum_free(q);
        return error;
    }
    error = adopt_image(q, &image);
    bbl_journal_image_free(&image);
    if (error != 0) {
        bbl_quorum_free(q);
        return error;
    }
    step_down(q, 0);
    /* Nobody may vote before its promise is over; then soon. */
    q->election = now + options->leader_lease +
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
    bbl_vec_free(&q->report);
    free(q->voters.list.list_val);
    free(q->base_voters.list.list_val);
    bbl_journal_free(q->journal);
    free(q);
}

static void
leader_tick(bbl_quorum *q)
{
    if (lease_end(q) + q->options.election_timeout < q->now &&
        q->led_since + 2 * q->options.election_timeout < q->now) {
        step_down(q, 0);
        return;
    }
    if (q->now >= q->beat + q->options.heartbeat_interval) {
        q->beat = q->now;
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
        leader_tick(q);
    }
    else if (now >= q->election) {
        if (self_counts(q) && !promised(q)) {
            campaign(q, true, false);
        }
        else {
            step_down(q, q->now < q->heard + q->options.election_timeout
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
    if (!append(q, q->term, data)) {
        return BBL_EIO;
    }
    *index = last_index(q);
    *term = q->term;
    return 0;
}

void
bbl_quorum_flush(bbl_quorum *q, bbl_usec now)
{
    q->now = now;
    if (q->role != BBL_ROLE_LEADER || q->synced == last_index(q)) {
        return;
    }
    broadcast(q, false);
    if (sync_journal(q)) {
        leader_commit(q);
    }
}

int
bbl_quorum_transfer_leadership(bbl_quorum *q, bbl_usec now)
{
    const peer *best = NULL;
    bblx_message m;

    q->now = now;
    if (q->role != BBL_ROLE_LEADER) {
        return bbl_error_set(BBL_ENOTLEADER, "this host is not the leader");
    }
    for (size_t i = 0; i < q->peers.size; i++) {
        const peer *p = bbl_vec_at(&q->peers, i);

        if (counts(q, p->host, p->disk) && p->match == last_index(q) &&
            (best == NULL || p->acked > best->acked)) {
            best = p;
        }
    }
    if (best == NULL) {
        return bbl_error_set(BBL_ENOTFOUND, "no voter holds the whole log");
    }
    memset(&m, 0, sizeof(m));
    m.kind = BBLX_TRANSFER;
    m.bblx_message_u.transfer.term = q->term;
    /* Its lease ends here, before another can lead. */
    step_down(q, best->host);
    send_message(q, best->host, &m);
    return 0;
}

bool
bbl_quorum_leads(const bbl_quorum *q, bbl_usec now)
{
    return q->role == BBL_ROLE_LEADER && !q->failed &&
           q->commit >= q->led_index && now < lease_end(q);
}

bbl_usec
bbl_quorum_leader_since(const bbl_quorum *q)
{
    return q->led_since;
}

void
bbl_quorum_get_status(const bbl_quorum *q, bbl_quorum_status *out)
{
    out->role = q->role;
    out->term = q->term;
    out->leader = q->leader;
    out->last_index = last_index(q);
    out->commit_index = q->commit;
    out->snapshot_index = q->snapshot_index;
    out->disk_id = q->disk;
    out->failed = q->failed;
    out->voter = self_counts(q);
}

size_t
bbl_quorum_get_peers(bbl_quorum *q, bbl_usec now, const bbl_quorum_peer **out)
{
    q->report.size = 0;
    for (size_t i = 0; i < q->peers.size; i++) {
        const peer *p = bbl_vec_at(&q->peers, i);
        bbl_quorum_peer *r = bbl_vec_add(&q->report);

        r->host = p->host;
        r->voter = counts(q, p->host, p->disk);
        r->match_index = p->match;
        r->silence = now - p->heard;
    }
    *out = q->report.ptr;
    return q->report.size;
}

const bblx_voters *
bbl_quorum_get_voters(const bbl_quorum *q)
{
    return &q->voters;
}

int
bbl_quorum_get_entry(const bbl_quorum *q, uint64_t index, uint64_t *term,
                     bbl_str *data)
{
    if (index <= q->base || index > last_index(q)) {
        return BBL_ENOTFOUND;
    }
    *term = entry_at(q, index)->term;
    *data = bbl_buf_str(&entry_at(q, index)->data);
    return 0;
}
