/* The feed between hosts: heartbeats up, entries, rows and grants down. */
#include "control/control_core.h"

#include <stdlib.h>
#include <string.h>

#include "control/fault.h"
#include "util/alloc.h"

#define FEED_ENTRIES 256 /* entries in one feed message */
#define FEED_ROWS 4096   /* soft rows in one feed message */
#define CHILD_SILENT_US (2 * BBL_USEC_PER_SEC)
#define CATALOG_UNKNOWN UINT32_MAX

/* ---- feed to children ---- */

static bbl_feed_child *
child_of(bbl_control *c, uint32_t host)
{
    for (size_t i = 0; i < c->children.size; i++) {
        bbl_feed_child *k = bbl_vec_at(&c->children, i);

        if (k->host == host) {
            return k;
        }
    }
    return NULL;
}

/* Fills in entries after `applied`, or a snapshot when some are missing. */
static uint64_t
fill_entries(bbl_control *c, bblx_feed *f, uint64_t applied, bblx_entry *space,
             bbl_buf *snapshot)
{
    u_int n = 0;

    if (applied < c->feed_floor) {
        bbl_state_save(c->state, false, snapshot);
        f->snapshot_set = TRUE;
        f->snapshot = bbl_wire_text_borrow(bbl_buf_str(snapshot));
        c->snapshots_sent++;
        return bbl_state_applied_index(c->state);
    }
    for (size_t i = c->feed_entries.size; i > 0; i--) {
        const bbl_feed_entry *e = bbl_vec_at(&c->feed_entries, i - 1);

        if (e->index <= applied) {
            break;
        }
        n++;
    }
    f->entries.entries_val = space;
    for (size_t i = c->feed_entries.size - n; i < c->feed_entries.size; i++) {
        const bbl_feed_entry *e = bbl_vec_at(&c->feed_entries, i);

        if (f->entries.entries_len == FEED_ENTRIES) {
            return space[FEED_ENTRIES - 1].index;
        }
        space[f->entries.entries_len].index = e->index;
        space[f->entries.entries_len].term = 0;
        space[f->entries.entries_len].data =
            bbl_wire_text_borrow(bbl_buf_str(&e->data));
        f->entries.entries_len++;
    }
    return bbl_state_applied_index(c->state);
}

static void
send_feed(bbl_control *c, bbl_feed_child *k, bblx_grant *grants,
          u_int grant_count)
{
    bblx_entry space[FEED_ENTRIES];
    bbl_buf snapshot = BBL_BUF_INIT;
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
    f->applied = fill_entries(c, f, k->applied, space, &snapshot);
    c->reports.size = 0;
    c->members.size = 0;
    c->backends.size = 0;
    f->rows_after = k->revision;
    f->revision =
        bbl_rows_collect_since(&c->rows, k->revision, FEED_ROWS, c->now,
                               &c->reports, &c->members, &c->backends);
    f->backends.backends_len = (u_int)c->backends.size;
    f->backends.backends_val = c->backends.ptr;
    f->catalog_age_ms =
        c->catalog_read_at == 0
            ? CATALOG_UNKNOWN
            : (u_int)((c->now - c->catalog_read_at) / BBL_USEC_PER_MS);
    f->reports.reports_len = (u_int)c->reports.size;
    f->reports.reports_val = c->reports.ptr;
    f->members.members_len = (u_int)c->members.size;
    f->members.members_val = c->members.ptr;
    k->applied = f->applied;
    k->revision = f->revision;
    c->feeds_sent++;
    bbl_control_send(c, k->host, k->address, &m);
    bbl_buf_free(&snapshot);
}

void
bbl_feed_push(bbl_control *c)
{
    for (size_t i = c->children.size; i > 0; i--) {
        bbl_feed_child *k = bbl_vec_at(&c->children, i - 1);

        if (k->last_heartbeat + CHILD_SILENT_US < c->now) {
            bbl_vec_swap_remove(&c->children, i - 1);
            continue;
        }
        if (k->applied < bbl_state_applied_index(c->state) ||
            k->revision < c->rows.revision) {
            send_feed(c, k, NULL, 0);
        }
    }
    c->feed_due = false;
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
relay_up(bbl_control *c, const bblx_member_heartbeat *beat)
{
    bbl_relayed_heartbeat *slot = NULL;

    for (size_t i = 0; i < c->relayed_heartbeats.size && slot == NULL; i++) {
        bbl_relayed_heartbeat *b = bbl_vec_at(&c->relayed_heartbeats, i);

        slot = b->member.host == beat->host ? b : NULL;
    }
    if (slot == NULL) {
        slot = bbl_vec_add(&c->relayed_heartbeats);
    }
    free(slot->member.zone.bblx_name_val);
    slot->member = *beat;
    slot->member.zone.bblx_name_val =
        bbl_memdup(beat->zone.bblx_name_val, beat->zone.bblx_name_len);
    c->heartbeats_relayed++;
}

/*
 * Returns the index that a lease granted now must name: the last public entry
 * of the log, committed or not. An assignment that is proposed but not yet
 * committed would otherwise come into force under leases that do not know it.
 */
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

/* Answers beats as the leader: one grant each. */
static u_int
grant_beats(bbl_control *c, const bblx_heartbeat *h, bblx_grant *grants)
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

static bbl_feed_child *
note_child(bbl_control *c, uint32_t from, const bblx_heartbeat *h)
{
    bbl_feed_child *k = child_of(c, from);

    if (k == NULL) {
        k = bbl_vec_add(&c->children);
        k->host = from;
    }
    k->address = h->heartbeats.heartbeats_val[0].control;
    k->last_heartbeat = c->now;
    k->applied = h->applied;
    k->revision = h->feed_boot == c->feed_boot ? h->feed_revision : 0;
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
            c->feed_due = true;
        }
    }
    k = note_child(c, from, h);
    if (bbl_control_leads_now(c)) {
        grants = bbl_calloc(h->heartbeats.heartbeats_len, sizeof(*grants));
        n = grant_beats(c, h, grants);
    }
    else {
        for (u_int i = 0; i < h->heartbeats.heartbeats_len; i++) {
            if (h->heartbeats.heartbeats_val[i].host != c->options.host) {
                relay_up(c, &h->heartbeats.heartbeats_val[i]);
            }
        }
    }
    send_feed(c, k, grants, n);
    free(grants);
}

/* ---- own lease ---- */

void
bbl_control_apply_grant(bbl_control *c, const bblx_grant *g)
{
    bbl_usec sent;
    bbl_usec length = g->lease_us;

    if (g->incarnation != c->options.incarnation ||
        g->seq > c->heartbeat_seq ||
        g->seq + BBL_HEARTBEAT_TIMES <= c->heartbeat_seq) {
        return;
    }
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
}

/* Passes grants on to the children they are for. */
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
follow_snapshot(bbl_control *c, const bblx_feed *f)
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
follow_entries(bbl_control *c, const bblx_feed *f)
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

/* Takes the log of a feed in, unless an earlier feed was lost. */
static void
follow_log(bbl_control *c, const bblx_feed *f)
{
    if (f->snapshot_set) {
        follow_snapshot(c, f);
    }
    else if (f->applied_after > bbl_state_applied_index(c->state)) {
        c->heartbeat_due = true; /* asks again from where this host stands */
    }
    else {
        follow_entries(c, f);
    }
}

static void
follow_rows(bbl_control *c, const bblx_feed *f)
{
    for (u_int i = 0; i < f->reports.reports_len; i++) {
        const bblx_report *r = &f->reports.reports_val[i];

        bbl_rows_confirm_report(&c->rows, r);
        if (bbl_rows_update_report(&c->rows, r, false, false)) {
            c->feed_due = true;
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

/* Takes over how old the parent's list of backend servers is. */
static void
follow_catalog_age(bbl_control *c, const bblx_feed *f)
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
        return;
    }
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
    follow_log(c, f);
    if (f->rows_after <= c->parent_revision) {
        follow_rows(c, f);
        follow_catalog_age(c, f);
        c->parent_revision = f->revision;
    }
    else {
        c->heartbeat_due = true;
    }
    for (u_int i = 0; i < f->grants.grants_len; i++) {
        if (f->grants.grants_val[i].host == c->options.host) {
            bbl_control_apply_grant(c, &f->grants.grants_val[i]);
            c->parent_answered_at = c->now;
        }
    }
    relay_grants(c, f);
}
