/*
 * The feed between hosts. Heartbeats and reports go up to the parent; log
 * entries, ephemeral rows and grants go down to the children.
 */
#include "control/control_core.h"

#include <stdlib.h>
#include <string.h>

#include "control/fault.h"
#include "control/members.h"
#include "util/alloc.h"

#define FEED_MESSAGE_ENTRIES 256 /* entries in one feed message */
/* Entries of fewer bytes are sent instead of a snapshot. */
#define ENTRIES_MIN_BYTES 4096
/*
 * Ephemeral rows in one feed message. The message must reach a child over a
 * slow link before the acknowledgement timeout of the connection.
 */
#define FEED_MESSAGE_ROWS 256
/*
 * Bytes of feed messages in flight to all children together. More would only
 * queue on the link of this host, and delay heartbeats and elections.
 */
#define FEED_WINDOW_BYTES (512u << 10)
/* A child with bytes in flight for longer does not count in the window. */
#define FEED_STALLED_US (150 * BBL_USEC_PER_MS)
/* Time between two counts of the bytes in flight. */
#define IN_FLIGHT_INTERVAL_US (2 * BBL_USEC_PER_MS)
/* Silence of a child before it is removed. */
#define CHILD_SILENT_US (2 * BBL_USEC_PER_SEC)
/*
 * A child that has reported the same position for this time lacks what it was
 * sent, also if messages to it are always in flight.
 */
#define LOST_FEED_US (500 * BBL_USEC_PER_MS)
/*
 * Shortest time between two heartbeats that ask for a feed again. Without it
 * each feed with a gap would cause a heartbeat, and that the next such feed.
 */
#define RESEND_REQUEST_US (50 * BBL_USEC_PER_MS)
#define CATALOG_UNKNOWN UINT32_MAX /* catalog_age_ms without a list */
/* Interval between two introductions of the leader to silent members. */
#define INTRODUCTION_INTERVAL_US (500 * BBL_USEC_PER_MS)
/* Silence of a member until the leader introduces itself. */
#define MEMBER_SILENT_US (300 * BBL_USEC_PER_MS)

/* ---- feed to children ---- */

static bbl_feed_child *
find_child(bbl_control *c, uint32_t host)
{
    for (size_t i = 0; i < c->children.size; i++) {
        bbl_feed_child *k = bbl_vec_at(&c->children, i);

        if (k->host == host) {
            return k;
        }
    }
    return NULL;
}

/* Returns the bytes sent to a host that it has not acknowledged. */
static size_t
get_backlog(const bbl_control *c, uint32_t host)
{
    return c->options.port.backlog != NULL
               ? c->options.port.backlog(c->options.port.ctx, host)
               : 0;
}

static bool
is_behind(const bbl_control *c, const bbl_feed_child *k)
{
    return k->applied < bbl_state_applied_index(c->state) ||
           k->revision < c->rows.revision;
}

/* Returns the position of the first retained entry after `applied`. */
static size_t
find_entry_after(const bbl_control *c, uint64_t applied)
{
    size_t at = c->feed_entries.size;

    while (at > 0 &&
           BBL_VEC_AT(bbl_feed_entry, &c->feed_entries, at - 1)->index >
               applied) {
        at--;
    }
    return at;
}

bool
bbl_control_knows_rollouts(const bbl_control *c, uint32_t host)
{
    return host == c->options.host || c->options.port.accepts_kind == NULL ||
           c->options.port.accepts_kind(c->options.port.ctx, host,
                                        BBLX_ROLLOUT_COUNTS);
}

/*
 * Returns a snapshot of the followed state for a child, encoded once for each
 * state. Builds that know no rollouts get it without these.
 */
static bbl_str
get_snapshot(bbl_control *c, uint32_t child)
{
    uint64_t applied = bbl_state_applied_index(c->state);
    bbl_str snapshot;

    if (c->snapshot_index != applied || c->snapshot.size == 0) {
        bbl_buf_clear(&c->snapshot);
        c->snapshot_known_size = bbl_state_save(c->state, false, &c->snapshot);
        c->snapshot_index = applied;
    }
    snapshot = bbl_buf_str(&c->snapshot);
    if (!bbl_control_knows_rollouts(c, child)) {
        snapshot.size = c->snapshot_known_size;
    }
    return snapshot;
}

/*
 * Returns whether a child gets a snapshot: some entries that it lacks are no
 * longer retained, or they are longer than the snapshot. Each routing replaces
 * the one before, so a host that joins needs only the last one.
 */
static bool
needs_snapshot(bbl_control *c, const bbl_feed_child *k, size_t first)
{
    size_t bytes = 0;

    if (k->applied < c->feed_floor) {
        return true;
    }
    if (c->feed_entries.size - first < 2) {
        return false;
    }
    for (size_t i = first; i < c->feed_entries.size; i++) {
        bytes += BBL_VEC_AT(bbl_feed_entry, &c->feed_entries, i)->data.size;
    }
    return bytes > ENTRIES_MIN_BYTES && bytes > get_snapshot(c, k->host).size;
}

/*
 * Adds the entries that a child lacks, or a snapshot if that is better.
 * Returns the index that the child then reaches.
 */
static uint64_t
fill_entries(bbl_control *c, bblx_feed *f, const bbl_feed_child *k,
             bblx_entry *space)
{
    size_t first = find_entry_after(c, k->applied);

    if (needs_snapshot(c, k, first)) {
        f->snapshot_set = TRUE;
        f->snapshot = bbl_wire_text_borrow(get_snapshot(c, k->host));
        c->snapshots_sent++;
        return bbl_state_applied_index(c->state);
    }
    f->entries.entries_val = space;
    for (size_t i = first; i < c->feed_entries.size; i++) {
        const bbl_feed_entry *e = bbl_vec_at(&c->feed_entries, i);

        if (f->entries.entries_len == FEED_MESSAGE_ENTRIES) {
            return space[FEED_MESSAGE_ENTRIES - 1].index;
        }
        space[f->entries.entries_len].index = e->index;
        space[f->entries.entries_len].term = 0;
        space[f->entries.entries_len].data =
            bbl_wire_text_borrow(bbl_buf_str(&e->data));
        f->entries.entries_len++;
    }
    return bbl_state_applied_index(c->state);
}

/* Counts the bytes in flight to the children that acknowledge them. */
static void
count_bytes_in_flight(bbl_control *c)
{
    if (c->now < c->in_flight_counted_at + IN_FLIGHT_INTERVAL_US) {
        return;
    }
    c->in_flight_counted_at = c->now;
    c->bytes_in_flight = 0;
    for (size_t i = 0; i < c->children.size; i++) {
        const bbl_feed_child *k = bbl_vec_at(&c->children, i);

        if (c->now < k->sent_at + FEED_STALLED_US) {
            c->bytes_in_flight += get_backlog(c, k->host);
        }
    }
}

/*
 * Returns whether it is unknown what a child can decode, as the connection to
 * it is not established, and the state has rollouts: it would get a snapshot
 * without these and count as a host that applies them.
 */
static bool
may_not_know_rollouts(const bbl_control *c, const bbl_feed_child *k)
{
    return bbl_state_rollout(c->state, 0) != NULL &&
           c->options.port.accepts_kind != NULL &&
           !c->options.port.accepts_kind(c->options.port.ctx, k->host,
                                         BBLX_VOTE_REQUEST);
}

/*
 * Returns whether entries and rows may be sent to a child now: nothing is in
 * flight to it, and the window of all children has room.
 */
static bool
may_send_changes(bbl_control *c, const bbl_feed_child *k)
{
    count_bytes_in_flight(c);
    return c->bytes_in_flight < FEED_WINDOW_BYTES &&
           get_backlog(c, k->host) == 0 && !may_not_know_rollouts(c, k);
}

/* Adds the rows that the child lacks, as far as one message holds them. */
static void
fill_rows(bbl_control *c, bblx_feed *f, uint64_t revision)
{
    c->reports.size = 0;
    c->members.size = 0;
    c->backends.size = 0;
    f->revision =
        bbl_rows_collect_since(&c->rows, revision, FEED_MESSAGE_ROWS, c->now,
                               &c->reports, &c->members, &c->backends);
    f->backends.backends_len = (u_int)c->backends.size;
    f->backends.backends_val = c->backends.ptr;
    f->reports.reports_len = (u_int)c->reports.size;
    f->reports.reports_val = c->reports.ptr;
    f->members.members_len = (u_int)c->members.size;
    f->members.members_val = c->members.ptr;
}

/* Sends grants to a child and, if it may, the changes that it lacks. */
static void
send_feed(bbl_control *c, bbl_feed_child *k, bblx_grant *grants,
          u_int grant_count)
{
    bblx_entry space[FEED_MESSAGE_ENTRIES];
    bblx_message m;
    bblx_feed *f = &m.bblx_message_u.feed;

    memset(&m, 0, sizeof(m));
    m.kind = BBLX_FEED;
    f->leader = c->leader;
    if (!bbl_control_find_address(c, c->leader, &f->leader_address)) {
        memset(&f->leader_address, 0, sizeof(f->leader_address));
    }
    f->boot = c->feed_boot;
    f->grants.grants_len = grant_count;
    f->grants.grants_val = grants;
    f->applied_after = k->applied;
    f->applied = k->applied;
    f->rows_after = k->revision;
    f->revision = k->revision;
    f->catalog_age_ms = CATALOG_UNKNOWN;
    if (may_send_changes(c, k)) {
        f->applied = fill_entries(c, f, k, space);
        fill_rows(c, f, k->revision);
        if (is_behind(c, k)) {
            k->sent_at = c->now;
        }
    }
    /* The age of the list holds only for a child that has the whole list. */
    if (f->revision == c->rows.revision && c->catalog_read_at != 0) {
        f->catalog_age_ms =
            (u_int)((c->now - c->catalog_read_at) / BBL_USEC_PER_MS);
    }
    k->applied = f->applied;
    k->revision = f->revision;
    c->feed_behind = c->feed_behind || is_behind(c, k);
    c->feeds_sent++;
    bbl_control_send(c, k->host, k->address, &m);
    c->bytes_in_flight += get_backlog(c, k->host);
}

/* Removes the children that send no heartbeats any more. */
static void
remove_silent_children(bbl_control *c)
{
    for (size_t i = c->children.size; i > 0; i--) {
        const bbl_feed_child *k = bbl_vec_at(&c->children, i - 1);

        if (k->last_heartbeat + CHILD_SILENT_US < c->now) {
            bbl_vec_swap_remove(&c->children, i - 1);
        }
    }
}

void
bbl_feed_push(bbl_control *c)
{
    size_t first;

    remove_silent_children(c);
    c->feed_due = false;
    c->feed_behind = false;
    first = c->children.size > 0 ? c->first_child % c->children.size : 0;
    for (size_t i = 0; i < c->children.size; i++) {
        size_t at = (first + i) % c->children.size;
        bbl_feed_child *k = bbl_vec_at(&c->children, at);

        if (!is_behind(c, k)) {
            continue;
        }
        if (may_send_changes(c, k)) {
            send_feed(c, k, NULL, 0);
            continue;
        }
        c->feed_behind = true;
        if (c->bytes_in_flight >= FEED_WINDOW_BYTES) {
            c->first_child = at; /* the next push continues here */
            return;
        }
    }
}

/* ---- introduction of the leader ---- */

static void
send_introduction(bbl_control *c, const bblx_voter *to)
{
    bblx_message m;
    bblx_feed *f = &m.bblx_message_u.feed;

    memset(&m, 0, sizeof(m));
    m.kind = BBLX_FEED;
    f->leader = c->options.host;
    f->leader_address = c->options.control;
    f->boot = c->feed_boot;
    f->catalog_age_ms = CATALOG_UNKNOWN;
    bbl_control_send(c, to->host, to->control, &m);
}

void
bbl_feed_introduce_leader(bbl_control *c)
{
    const bblx_voters *members = bbl_quorum_get_members(c->quorum);
    const bbl_quorum_peer *peers;
    size_t n;

    if (c->now < c->next_introduction) {
        return;
    }
    c->next_introduction = c->now + INTRODUCTION_INTERVAL_US;
    n = bbl_quorum_get_peers(c->quorum, c->now, &peers);
    for (size_t i = 0; i < n; i++) {
        const bblx_voter *v = bbl_members_find(members, peers[i].host);

        if (v != NULL && peers[i].time_since_reply >= MEMBER_SILENT_US) {
            send_introduction(c, v);
        }
    }
}

/* Records the address of a leader that introduces itself. */
static void
receive_introduction(bbl_control *c, uint32_t from, const bblx_feed *f)
{
    if (f->leader == from && f->leader_address.ip != 0 &&
        c->lease_until <= c->now) {
        c->reported_leader = from;
        c->reported_address = f->leader_address;
    }
}

/* ---- heartbeats from children ---- */

void
bbl_feed_drop_heartbeats(bbl_control *c)
{
    for (size_t i = 0; i < c->relayed_heartbeats.size; i++) {
        bbl_relayed_heartbeat *b = bbl_vec_at(&c->relayed_heartbeats, i);

        free(b->member.zone.bblx_name_val);
    }
    c->relayed_heartbeats.size = 0;
}

static void
queue_relayed_heartbeat(bbl_control *c, const bblx_member_heartbeat *heartbeat)
{
    bbl_relayed_heartbeat *slot = NULL;

    for (size_t i = 0; i < c->relayed_heartbeats.size && slot == NULL; i++) {
        bbl_relayed_heartbeat *b = bbl_vec_at(&c->relayed_heartbeats, i);

        slot = b->member.host == heartbeat->host ? b : NULL;
    }
    if (slot == NULL) {
        slot = bbl_vec_add(&c->relayed_heartbeats);
    }
    free(slot->member.zone.bblx_name_val);
    slot->member = *heartbeat;
    slot->member.zone.bblx_name_val = bbl_memdup(
        heartbeat->zone.bblx_name_val, heartbeat->zone.bblx_name_len);
    c->heartbeats_relayed++;
}

uint64_t
bbl_control_required_index(const bbl_control *c)
{
    bbl_quorum_status s;

    bbl_quorum_get_status(c->quorum, &s);
    for (uint64_t i = s.last_index; i > s.commit_index; i--) {
        uint64_t term;
        bbl_str data;

        if (bbl_quorum_get_entry(c->quorum, i, &term, &data) == 0 &&
            bbl_state_is_feed_command(data)) {
            return i;
        }
    }
    return c->public_index;
}

/* Records heartbeats as the leader; returns the number of leases granted. */
static u_int
grant_leases(bbl_control *c, const bblx_heartbeat *h, bblx_grant *grants)
{
    uint64_t required = bbl_control_required_index(c);
    u_int n = 0;

    for (u_int i = 0; i < h->heartbeats.heartbeats_len; i++) {
        const bblx_member_heartbeat *b = &h->heartbeats.heartbeats_val[i];
        const bbl_member *m;

        bbl_registry_record_heartbeat(&c->registry, c->now, b, true);
        m = bbl_registry_get_member(&c->registry, b->host);
        if (m->incarnation != b->incarnation) {
            continue;
        }
        grants[n].host = b->host;
        grants[n].incarnation = b->incarnation;
        grants[n].seq = b->seq;
        grants[n].required = required;
        grants[n].lease_us = (u_int)c->options.lease;
        n++;
    }
    return n;
}

/*
 * Returns whether a child lacks what it was sent: it has reported the same
 * position, behind that, for some time.
 */
static bool
is_lost(const bbl_control *c, bbl_feed_child *k, uint64_t applied,
        uint64_t revision)
{
    if (applied >= k->applied && revision >= k->revision) {
        k->lagging_since = 0;
        return false;
    }
    if (k->lagging_since == 0 || applied != k->reported_applied ||
        revision != k->reported_revision) {
        k->reported_applied = applied;
        k->reported_revision = revision;
        k->lagging_since = c->now;
    }
    return c->now >= k->lagging_since + LOST_FEED_US;
}

/*
 * Records a child's heartbeat. The position that it states is older than what
 * was sent while messages are in flight, unless the child has restarted.
 */
static bbl_feed_child *
update_child(bbl_control *c, uint32_t from, const bblx_heartbeat *h)
{
    bbl_feed_child *k = find_child(c, from);
    uint64_t incarnation = h->heartbeats.heartbeats_val[0].incarnation;
    uint64_t revision = h->feed_boot == c->feed_boot ? h->feed_revision : 0;
    bool in_flight;
    bool lost;

    if (k == NULL) {
        k = bbl_vec_add(&c->children);
        k->host = from;
    }
    lost = is_lost(c, k, h->applied, revision);
    in_flight =
        k->incarnation == incarnation && !lost && get_backlog(c, k->host) > 0;
    k->incarnation = incarnation;
    k->address = h->heartbeats.heartbeats_val[0].control;
    k->last_heartbeat = c->now;
    if (!in_flight || h->applied > k->applied) {
        k->applied = h->applied;
    }
    if (!in_flight || revision > k->revision) {
        k->revision = revision;
    }
    return k;
}

void
bbl_feed_receive_heartbeat(bbl_control *c, uint32_t from,
                           const bblx_heartbeat *h)
{
    bblx_grant *grants = NULL;
    u_int n = 0;
    bbl_feed_child *k;

    if (h->heartbeats.heartbeats_len == 0 ||
        h->heartbeats.heartbeats_val[0].host != from) {
        return;
    }
    for (u_int i = 0; i < h->reports.reports_len; i++) {
        const bblx_report *r = &h->reports.reports_val[i];

        if (bbl_rows_update_report(&c->rows, r, true,
                                   !bbl_control_leads_now(c))) {
            bbl_control_mark_report(c, r, !bbl_control_leads_now(c));
        }
    }
    k = update_child(c, from, h);
    if (bbl_control_leads_now(c)) {
        grants = bbl_calloc(h->heartbeats.heartbeats_len, sizeof(*grants));
        n = grant_leases(c, h, grants);
    }
    else {
        for (u_int i = 0; i < h->heartbeats.heartbeats_len; i++) {
            if (h->heartbeats.heartbeats_val[i].host != c->options.host) {
                queue_relayed_heartbeat(c, &h->heartbeats.heartbeats_val[i]);
            }
        }
    }
    if (n > 0 || is_behind(c, k) || c->lease_until <= c->now) {
        send_feed(c, k, grants, n);
    } /* else the grants of the leader follow, and nothing is new */
    free(grants);
}

/* ---- own lease ---- */

bool
bbl_control_apply_grant(bbl_control *c, const bblx_grant *g)
{
    bbl_usec sent;
    bbl_usec length = g->lease_us;

    if (g->incarnation != c->options.incarnation ||
        g->seq > c->heartbeat_seq ||
        g->seq + BBL_HEARTBEAT_TIMES <= c->heartbeat_seq) {
        c->grants_ignored++;
        return false;
    }
    c->grants_received++;
    sent = c->heartbeat_sent_at[g->seq % BBL_HEARTBEAT_TIMES];
    if (BBL_FAULT(BBL_FAULT_LEASE_FROM_RECEIPT)) {
        sent = c->now;
    }
    length -= length * c->options.clock_ppm / 1000000;
    if (g->required > c->required) {
        c->required = g->required;
    }
    if (sent + length > c->lease_until) {
        c->lease_until = sent + length;
    }
    return true;
}

/* Forwards grants to the children that they are meant for. */
static void
relay_grants(bbl_control *c, const bblx_feed *f)
{
    bblx_grant *batch = bbl_calloc(f->grants.grants_len, sizeof(*batch));

    for (size_t i = 0; i < c->children.size; i++) {
        bbl_feed_child *k = bbl_vec_at(&c->children, i);
        u_int n = 0;

        for (u_int g = 0; g < f->grants.grants_len; g++) {
            const bblx_grant *grant = &f->grants.grants_val[g];

            if (grant->host == k->host) {
                batch[n++] = *grant;
            }
        }
        if (n > 0) {
            send_feed(c, k, batch, n);
        }
    }
    free(batch);
}

/* ---- feed from the parent ---- */

static void
apply_snapshot(bbl_control *c, const bblx_feed *f)
{
    if (f->applied <= bbl_state_applied_index(c->state) &&
        bbl_state_applied_index(c->state) > 0) {
        return;
    }
    if (bbl_state_load(c->state, bbl_wire_text_str(&f->snapshot)) == 0) {
        bbl_state_advance_applied(c->state, f->applied);
        bbl_control_restart_log(c);
    }
}

static void
apply_entries(bbl_control *c, const bblx_feed *f)
{
    for (u_int i = 0; i < f->entries.entries_len; i++) {
        const bblx_entry *e = &f->entries.entries_val[i];

        bbl_control_apply_entry(c, e->index, bbl_wire_text_str(&e->data));
    }
    if (f->applied > bbl_state_applied_index(c->state)) {
        bbl_state_advance_applied(c->state, f->applied);
        c->feed_due = true;
    }
}

/* Applies the log part of a feed, unless an earlier feed was lost. */
/* Requests the feed again from the position of this host. */
static void
request_resend(bbl_control *c)
{
    if (c->now >= c->next_resend_request) {
        c->next_resend_request = c->now + RESEND_REQUEST_US;
        c->heartbeat_due = true;
    } /* else the next heartbeat tells the position */
}

static void
apply_log(bbl_control *c, const bblx_feed *f)
{
    if (f->snapshot_set) {
        apply_snapshot(c, f);
    }
    else if (f->applied_after > bbl_state_applied_index(c->state)) {
        request_resend(c);
    }
    else {
        apply_entries(c, f);
    }
}

static void
apply_rows(bbl_control *c, const bblx_feed *f)
{
    for (u_int i = 0; i < f->reports.reports_len; i++) {
        const bblx_report *r = &f->reports.reports_val[i];

        bbl_rows_confirm_report(&c->rows, r);
        if (bbl_rows_update_report(&c->rows, r, false, false)) {
            bbl_control_mark_report(c, r, false);
        }
    }
    for (u_int i = 0; i < f->members.members_len; i++) {
        if (bbl_rows_update_member(&c->rows, &f->members.members_val[i])) {
            c->feed_due = true;
        }
    }
    for (u_int i = 0; i < f->backends.backends_len; i++) {
        if (bbl_rows_update_backend(&c->rows, &f->backends.backends_val[i],
                                    c->now)) {
            c->feed_due = true;
        }
    }
}

/* Adopts the age of the parent's list of backend servers if it is newer. */
static void
update_catalog_age(bbl_control *c, const bblx_feed *f)
{
    bbl_usec age = f->catalog_age_ms * BBL_USEC_PER_MS;

    if (f->catalog_age_ms != CATALOG_UNKNOWN && age < c->now &&
        c->now - age > c->catalog_read_at) {
        c->catalog_read_at = c->now - age;
    }
}

void
bbl_feed_receive(bbl_control *c, uint32_t from, const bblx_feed *f)
{
    if (from != c->parent || bbl_control_leads_now(c)) {
        receive_introduction(c, from, f);
        c->feeds_ignored++;
        return;
    }
    c->feeds_received++;
    if (f->leader != 0) {
        c->leader = f->leader;
        if (f->leader_address.ip != 0) {
            c->reported_leader = f->leader;
            c->reported_address = f->leader_address;
        }
    }
    if (f->boot != c->parent_boot) {
        c->parent_boot = f->boot;
        c->parent_revision = 0;
        bbl_rows_unconfirm_reports(&c->rows);
    }
    apply_log(c, f);
    if (f->rows_after <= c->parent_revision) {
        apply_rows(c, f);
        update_catalog_age(c, f);
        /* A feed that was sent again must not take back what came after it. */
        if (f->revision > c->parent_revision) {
            c->parent_revision = f->revision;
        }
    }
    else {
        request_resend(c);
    }
    for (u_int i = 0; i < f->grants.grants_len; i++) {
        if (f->grants.grants_val[i].host == c->options.host) {
            if (bbl_control_apply_grant(c, &f->grants.grants_val[i])) {
                c->parent_answered_at = c->now;
            }
        }
    }
    relay_grants(c, f);
}
