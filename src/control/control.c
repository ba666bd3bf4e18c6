#include "control/control_core.h"

#include <endian.h>
#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "control/fault.h"
#include "control/members.h"
#include "util/alloc.h"

#define FEED_ENTRIES_MAX 1024      /* public entries retained for children */
#define HEARTBEAT_REPORTS_MAX 1024 /* reports in one heartbeat */
/* Proposal numbers reserved per microsecond of the incarnation, which is the
 * start time of the host. A host makes fewer proposals in that time, so that
 * the numbers of two incarnations never overlap. */
#define NUMBERS_PER_INCARNATION 4096
#define PROPOSAL_RETRY_US (150 * BBL_USEC_PER_MS)
/* Heartbeat intervals without a grant before another parent is chosen. */
#define PARENT_SILENT_INTERVALS 2
/* Interval of attempts to reopen a disk that failed. */
#define REOPEN_INTERVAL_US (500 * BBL_USEC_PER_MS)
/* Heartbeat intervals until a new leader has heard of all members. */
#define LEADER_HEARTBEATS 2
#define ASSIGN_INTERVAL_US (100 * BBL_USEC_PER_MS)
/* Reports that nobody withdraws are forgotten after some of these intervals.
 */
#define REPORT_EXPIRY_INTERVAL_US (10 * BBL_USEC_PER_SEC)
#define REPORT_EXPIRY_ROUNDS 30
#define PUBLISH_INTERVAL_US (50 * BBL_USEC_PER_MS)

/* A proposal of this host that has no outcome yet. */
typedef struct {
    uint64_t number;
    bbl_buf data;
    bbl_usec deadline;
    bbl_usec next_try;
    /* Sent as a bblx_conditional_command. */
    bool conditional;
    uint64_t decided_at; /* see bblx_conditional_command */
    /* Index to apply before the next try, 0 if none. */
    uint64_t awaited_index;
} own_proposal;

/* A proposal in this leader's log that is not applied yet. */
typedef struct {
    uint64_t index;
    uint64_t term;
    uint64_t number;
    uint32_t host; /* host that proposed it, possibly this one */
    bblx_address address;
} logged_proposal;

const char *
bbl_readiness_name(bbl_readiness ready)
{
    static const char *const names[] = {
        "ready",    "no-lease", "configuration-behind",
        "no-lists", "draining", "data-centre-withdrawn",
    };

    return names[ready];
}

bool
bbl_control_leads_now(const bbl_control *c)
{
    return c->quorum != NULL && bbl_quorum_has_leader_lease(c->quorum, c->now);
}

void
bbl_control_send(bbl_control *c, uint32_t host, bblx_address address,
                 const bblx_message *m)
{
    c->options.port.send(c->options.port.ctx, host, address, m);
}

/* ---- addresses ---- */

const bblx_voters *
bbl_control_known_voters(const bbl_control *c)
{
    const bblx_voters *voters = bbl_state_voters(c->state);

    if (c->quorum != NULL) {
        const bblx_voters *own = bbl_quorum_get_members(c->quorum);

        if (own->list.list_len > 0) {
            return own;
        }
    }
    return voters->list.list_len > 0 ? voters : &c->options.seeds;
}

bool
bbl_control_find_address(const bbl_control *c, uint32_t host,
                         bblx_address *out)
{
    const bblx_member_row *member = bbl_rows_get_member(&c->rows, host);
    const bblx_voter *voter =
        bbl_members_find(bbl_control_known_voters(c), host);

    if (voter == NULL) {
        voter = bbl_members_find(&c->options.seeds, host);
    }
    if (voter != NULL) {
        *out = voter->control;
        return true;
    }
    if (member != NULL) {
        *out = member->control;
        return true;
    }
    *out = c->reported_address;
    return c->reported_leader == host && host != 0;
}

/* ---- public log entries ---- */

static void
retain_entry(bbl_control *c, uint64_t index, bbl_str data)
{
    bbl_feed_entry *e;

    if (c->feed_entries.size >= FEED_ENTRIES_MAX) {
        e = bbl_vec_at(&c->feed_entries, 0);
        c->feed_floor = e->index;
        bbl_buf_free(&e->data);
        bbl_vec_remove(&c->feed_entries, 0);
    }
    e = bbl_vec_add(&c->feed_entries);
    e->index = index;
    bbl_buf_append(&e->data, data.ptr, data.size);
}

static void
clear_feed_entries(bbl_control *c)
{
    for (size_t i = 0; i < c->feed_entries.size; i++) {
        bbl_buf_free(&BBL_VEC_AT(bbl_feed_entry, &c->feed_entries, i)->data);
    }
    c->feed_entries.size = 0;
    c->feed_floor = bbl_state_applied_index(c->state);
    bbl_buf_clear(&c->snapshot);
}

static void
raise_index(uint64_t *known, uint64_t index)
{
    *known = index > *known ? index : *known;
}

void
bbl_control_record_decision(bbl_control *c, uint64_t index, bbl_str data)
{
    if (bbl_state_is_evacuation(data)) {
        raise_index(&c->evacuations_index, index);
    }
    if (bbl_state_is_rollout(data)) {
        raise_index(&c->rollouts_index, index);
    }
}

void
bbl_control_restart_log(bbl_control *c)
{
    clear_feed_entries(c);
    c->lists_index = bbl_state_applied_index(c->state);
    c->public_index = c->lists_index;
    raise_index(&c->evacuations_index, c->lists_index);
    raise_index(&c->rollouts_index, c->lists_index);
    c->revision++;
    c->feed_due = true;
    c->heartbeat_due = true;
}

void
bbl_control_apply_entry(bbl_control *c, uint64_t index, bbl_str data)
{
    uint64_t version = bbl_state_lists_version(c->state);
    bbl_state_result result;

    if (index <= bbl_state_applied_index(c->state)) {
        return;
    }
    if (!bbl_state_is_feed_command(data)) {
        bbl_state_advance_applied(c->state, index);
        return;
    }
    bbl_state_apply(c->state, index, data, &result);
    bbl_control_record_decision(c, index, data);
    retain_entry(c, index, data);
    c->public_index = index;
    if (bbl_state_lists_version(c->state) != version) {
        c->lists_index = index;
    }
    c->revision++;
    c->feed_due = true;
}

/* ---- proposals ---- */

/* Forgets a proposal; returns whether it was known. */
static bool
remove_own_proposal(bbl_control *c, uint64_t number)
{
    for (size_t i = 0; i < c->own_proposals.size; i++) {
        own_proposal *p = bbl_vec_at(&c->own_proposals, i);

        if (p->number == number) {
            bbl_buf_free(&p->data);
            bbl_vec_remove(&c->own_proposals, i);
            return true;
        }
    }
    return false;
}

/*
 * Handles the refusal of a conditional proposal. Returns false if it is to be
 * reported.
 */
static bool
defer_own_proposal(bbl_control *c, const bblx_propose_reply *reply)
{
    for (size_t i = 0; i < c->own_proposals.size; i++) {
        own_proposal *p = bbl_vec_at(&c->own_proposals, i);

        if (p->number != reply->number || !p->conditional) {
            continue;
        }
        if (reply->status == BBL_ECONFLICT) {
            p->awaited_index = reply->index;
            return true;
        }
        if (reply->status == BBL_EDAMAGED) {
            /* A leader of an earlier build cannot read the condition. */
            p->conditional = false;
            p->next_try = c->now;
            return true;
        }
    }
    return false;
}

static void
complete_own_proposal(bbl_control *c, const bblx_propose_reply *reply)
{
    if (!defer_own_proposal(c, reply) &&
        remove_own_proposal(c, reply->number)) {
        c->options.port.complete_proposal(c->options.port.ctx, reply->number,
                                          reply);
    }
}

static void
send_proposal_reply(bbl_control *c, uint32_t host, bblx_address address,
                    const bblx_propose_reply *reply)
{
    bblx_message m;

    if (host == c->options.host) {
        if (reply->status != BBL_ENOTLEADER) {
            complete_own_proposal(c, reply);
        }
        return;
    }
    memset(&m, 0, sizeof(m));
    m.kind = BBLX_PROPOSE_REPLY;
    m.bblx_message_u.propose_reply = *reply;
    bbl_control_send(c, host, address, &m);
}

/*
 * Decodes the data of a proposal.
 *
 * @param decided_at set to the index on which a conditional command depends,
 *                   UINT64_MAX for another command
 */
static int
decode_proposal(bblx_command *command, uint64_t *decided_at, bbl_str data)
{
    bblx_conditional_command conditional;
    int error;

    *decided_at = UINT64_MAX;
    memset(command, 0, sizeof(*command));
    if (BBL_XDR_DECODE(command, bblx_command, data) == 0) {
        return 0;
    }
    memset(&conditional, 0, sizeof(conditional));
    error = BBL_XDR_DECODE(&conditional, bblx_conditional_command, data);
    if (error == 0) {
        *command = conditional.command;
        *decided_at = conditional.decided_at;
    }
    return error;
}

/* Returns the index of the last command that a command depends on. */
static uint64_t
get_decision_index(const bbl_control *c, const bblx_command *command)
{
    return command->kind == BBLX_ROLLOUT ? c->rollouts_index
                                         : c->evacuations_index;
}

/*
 * Re-encodes a proposed command; claims and outcomes get the leader's time.
 *
 * @param awaited set to the index to apply before the next try
 * @return 0; BBL_ECONFLICT if the command was decided on a state that has
 *         changed since
 */
static int
stamp_command(bbl_control *c, bbl_str data, bbl_buf *out, uint64_t *awaited)
{
    bblx_command command;
    uint64_t decided_at;
    int error = decode_proposal(&command, &decided_at, data);

    if (error != 0) {
        return error;
    }
    *awaited = get_decision_index(c, &command);
    if (decided_at < *awaited) {
        BBL_XDR_FREE(bblx_command, &command);
        return bbl_error_set(BBL_ECONFLICT,
                             "a later command of this kind is recorded");
    }
    if (command.kind == BBLX_CLAIM) {
        command.bblx_command_u.claim.time_ms = c->wall_ms;
    }
    else if (command.kind == BBLX_OUTCOME) {
        command.bblx_command_u.outcome.time_ms = c->wall_ms;
    }
    else if (command.kind == BBLX_ROLLOUT) {
        error = bbl_rollouts_stamp_order(c, &command.bblx_command_u.rollout);
    }
    else if (command.kind != BBLX_LISTS && command.kind != BBLX_ROUTING &&
             command.kind != BBLX_EVACUATE) {
        error = bbl_error_set(BBL_EINVAL,
                              "only the leader may propose this command");
    }
    if (error == 0) {
        error = BBL_XDR_ENCODE(out, bblx_command, &command);
    }
    BBL_XDR_FREE(bblx_command, &command);
    return error;
}

/*
 * Returns whether the group has as many members as there are to be copies of
 * what is acknowledged. Until then proposers retry.
 */
static bool
has_enough_members(const bbl_control *c)
{
    return bbl_quorum_get_members(c->quorum)->list.list_len >=
           c->options.copies;
}

static void
append_proposal(bbl_control *c, uint32_t host, bblx_address address,
                uint64_t number, bbl_str data)
{
    bblx_propose_reply reply;
    logged_proposal w = {0, 0, number, host, address};
    bbl_buf stamped = BBL_BUF_INIT;
    uint64_t awaited = 0;
    int error = BBL_ENOTLEADER;

    memset(&reply, 0, sizeof(reply));
    if (bbl_control_leads_now(c) && has_enough_members(c)) {
        error = stamp_command(c, data, &stamped, &awaited);
        if (error == 0) {
            error = bbl_quorum_propose(c->quorum, &w.index, &w.term,
                                       bbl_buf_str(&stamped));
        }
    }
    if (error == 0) {
        bbl_control_record_decision(c, w.index, bbl_buf_str(&stamped));
        bbl_buf_free(&stamped);
        bbl_vec_push(&c->logged_proposals, &w);
        return;
    }
    bbl_buf_free(&stamped);
    reply.number = number;
    reply.status = error;
    reply.index = error == BBL_ECONFLICT ? awaited : 0;
    reply.leader = c->leader;
    send_proposal_reply(c, host, address, &reply);
}

/* Appends what a proposal sends to the leader. */
static void
append_proposal_data(bbl_buf *out, const own_proposal *p)
{
    uint64_t decided_at = htobe64(p->decided_at);

    bbl_buf_append(out, p->data.ptr, p->data.size);
    if (p->conditional) {
        /* The command and its index are a bblx_conditional_command. */
        bbl_buf_append(out, &decided_at, sizeof(decided_at));
    }
}

static void
submit_own_proposal(bbl_control *c, own_proposal *p)
{
    bblx_message m;
    bblx_address address;
    bbl_buf data = BBL_BUF_INIT;

    p->next_try = c->now + PROPOSAL_RETRY_US;
    append_proposal_data(&data, p);
    if (bbl_control_leads_now(c)) {
        append_proposal(c, c->options.host, c->options.control, p->number,
                        bbl_buf_str(&data));
        bbl_buf_free(&data);
        return;
    }
    if (c->leader != 0 && c->leader != c->options.host &&
        bbl_control_find_address(c, c->leader, &address)) {
        memset(&m, 0, sizeof(m));
        m.kind = BBLX_PROPOSE;
        m.bblx_message_u.propose.number = p->number;
        m.bblx_message_u.propose.data =
            bbl_wire_text_borrow(bbl_buf_str(&data));
        bbl_control_send(c, c->leader, address, &m);
    }
    bbl_buf_free(&data);
}

/*
 * Returns whether a proposal is due. A refused conditional one is decided anew
 * once this host knows the state that the leader refers to.
 */
static bool
is_due(const bbl_control *c, own_proposal *p)
{
    uint64_t applied = bbl_state_applied_index(c->state);

    if (p->awaited_index > applied) {
        return false;
    }
    if (p->awaited_index != 0) {
        p->awaited_index = 0;
        p->decided_at = applied;
        return true;
    }
    return c->now >= p->next_try;
}

static void
tick_own_proposals(bbl_control *c)
{
    for (size_t i = 0; i < c->own_proposals.size;) {
        own_proposal *p = bbl_vec_at(&c->own_proposals, i);
        bblx_propose_reply reply;

        if (c->now >= p->deadline) {
            memset(&reply, 0, sizeof(reply));
            reply.number = p->number;
            reply.status = BBL_ETIMEOUT;
            complete_own_proposal(c, &reply);
            continue;
        }
        if (is_due(c, p)) {
            submit_own_proposal(c, p);
        }
        i++;
    }
}

uint64_t
bbl_control_propose(bbl_control *c, bbl_usec now, bbl_str command)
{
    own_proposal *p = bbl_vec_add(&c->own_proposals);

    c->now = now;
    p->number = ++c->last_proposal_number;
    bbl_buf_append(&p->data, command.ptr, command.size);
    p->deadline = now + c->options.proposal_timeout;
    return c->last_proposal_number;
}

/* Proposes a command that is decided on the state that this host applies. */
static uint64_t
propose_conditional(bbl_control *c, bbl_usec now, bbl_str command)
{
    uint64_t number = bbl_control_propose(c, now, command);
    own_proposal *p = bbl_vec_at(&c->own_proposals, c->own_proposals.size - 1);

    p->conditional = true;
    p->decided_at = bbl_state_applied_index(c->state);
    return number;
}

uint64_t
bbl_control_propose_evacuation(bbl_control *c, bbl_usec now, bbl_str command)
{
    return propose_conditional(c, now, command);
}

uint64_t
bbl_control_propose_rollout(bbl_control *c, bbl_usec now,
                            const bblx_rollout *order)
{
    bblx_command command;
    bbl_buf data = BBL_BUF_INIT;
    uint64_t number;

    memset(&command, 0, sizeof(command));
    command.kind = BBLX_ROLLOUT;
    command.bblx_command_u.rollout = *order;
    if (BBL_XDR_ENCODE(&data, bblx_command, &command) != 0) {
        abort(); /* the labels are of bounded size */
    }
    number = propose_conditional(c, now, bbl_buf_str(&data));
    bbl_buf_free(&data);
    return number;
}

void
bbl_control_withdraw_proposal(bbl_control *c, uint64_t number)
{
    remove_own_proposal(c, number);
}

/* ---- the port of the quorum ---- */

static void
port_send(void *ctx, uint32_t host, const bblx_message *m)
{
    bbl_control *c = ctx;
    bblx_address address;

    if (bbl_control_find_address(c, host, &address)) {
        bbl_control_send(c, host, address, m);
    }
}

static void
complete_logged_proposals(bbl_control *c, uint64_t index, uint64_t term,
                          const bbl_state_result *result)
{
    for (size_t i = 0; i < c->logged_proposals.size;) {
        logged_proposal w =
            *BBL_VEC_AT(logged_proposal, &c->logged_proposals, i);
        bblx_propose_reply reply;

        if (w.index > index) {
            i++;
            continue;
        }
        bbl_vec_remove(&c->logged_proposals, i);
        memset(&reply, 0, sizeof(reply));
        reply.number = w.number;
        reply.index = index;
        reply.leader = c->leader;
        reply.status = BBL_ENOTLEADER;
        if (w.index == index && w.term == term) {
            reply.status = result->status;
            reply.lists_version = result->version;
            reply.fresh = result->fresh;
            reply.done = result->done;
            reply.answer = bbl_wire_text_borrow(result->answer);
        }
        send_proposal_reply(c, w.host, w.address, &reply);
    }
}

static void
port_apply(void *ctx, uint64_t index, uint64_t term, bbl_str data)
{
    bbl_control *c = ctx;
    bbl_state_result result;

    bbl_state_apply(c->quorum_state, index, data, &result);
    bbl_control_apply_entry(c, index, data);
    complete_logged_proposals(c, index, term, &result);
}

static void
port_save(void *ctx, bbl_buf *out)
{
    bbl_control *c = ctx;

    bbl_state_save(c->quorum_state, true, out);
}

static int
port_load(void *ctx, uint64_t index, bbl_str data)
{
    bbl_control *c = ctx;
    bbl_buf followed = BBL_BUF_INIT;
    int error = bbl_state_load(c->quorum_state, data);

    if (error != 0 || index <= bbl_state_applied_index(c->state)) {
        return error;
    }
    bbl_state_save(c->quorum_state, false, &followed);
    error = bbl_state_load(c->state, bbl_buf_str(&followed));
    bbl_buf_free(&followed);
    if (error == 0) {
        bbl_state_advance_applied(c->state, index);
        bbl_control_restart_log(c);
    }
    return error;
}

/* ---- choice of the parent ---- */

/*
 * Returns whether a member is a better relay than another one. Hosts with a
 * disk come first: they take no callers, and entry hosts may be too small to
 * serve callers and a whole data centre.
 */
static bool
is_better_relay(const bblx_member_row *m, const bblx_member_row *other)
{
    if (m->entry != other->entry) {
        return !m->entry;
    }
    return m->host < other->host;
}

/*
 * Returns the relay of this data centre, the best of its live members that are
 * not draining. Returns 0 if there are too few members for relays, no such
 * member, or this host is the relay.
 */
static uint32_t
find_zone_relay(const bbl_control *c)
{
    const bblx_member_row *m;
    const bblx_member_row *best = NULL;
    size_t pos = 0;

    if (c->rows.members.size < c->options.relay_members) {
        return 0;
    }
    while ((m = bbl_rows_next_member(&c->rows, &pos)) != NULL) {
        bbl_name zone;

        bbl_name_from_wire(&zone, &m->zone);
        if (m->live && !m->draining &&
            bbl_name_equal(&zone, &c->options.zone) &&
            (m->host != c->leader || !m->entry) &&
            (best == NULL || is_better_relay(m, best))) {
            best = m;
        }
    }
    return best == NULL || best->host == c->options.host ? 0 : best->host;
}

static void
set_parent(bbl_control *c, uint32_t host, bblx_address address)
{
    if (host != c->parent) {
        c->parent_answered_at = c->now;
        c->parent_boot = 0;
        c->parent_revision = 0;
    }
    c->parent = host;
    c->parent_address = address;
}

static void
select_next_seed(bbl_control *c)
{
    const bblx_voters *voters = bbl_control_known_voters(c);
    const bblx_voter *v;

    if (voters->list.list_len == 0) {
        return;
    }
    c->seed_index = (c->seed_index + 1) % voters->list.list_len;
    v = &voters->list.list_val[c->seed_index];
    if (v->host == c->options.host) {
        c->seed_index = (c->seed_index + 1) % voters->list.list_len;
        v = &voters->list.list_val[c->seed_index];
    }
    set_parent(c, v->host, v->control);
}

static void
choose_parent(bbl_control *c)
{
    bblx_address address;
    uint32_t relay = c->now >= c->relay_barred_until ? find_zone_relay(c) : 0;

    if (c->now > c->parent_answered_at +
                     PARENT_SILENT_INTERVALS * c->options.heartbeat_interval) {
        if (c->parent != c->leader) {
            c->relay_barred_until = c->now + c->options.lease;
        }
        c->parent_answered_at = c->now;
        c->leader = c->parent == c->leader ? 0 : c->leader;
        /* If the leader or its address is unknown, ask the next seed. */
        if (c->leader == 0 ||
            !bbl_control_find_address(c, c->leader, &address)) {
            select_next_seed(c);
            return;
        }
        relay = 0;
    }
    if (relay != 0 && bbl_control_find_address(c, relay, &address)) {
        set_parent(c, relay, address);
    }
    else if (c->leader != 0 && c->leader != c->options.host &&
             bbl_control_find_address(c, c->leader, &address)) {
        set_parent(c, c->leader, address);
    }
    else if (c->parent == 0) {
        select_next_seed(c);
    }
}

/* ---- own heartbeat ---- */

/* Returns the identity of this host's journal, 0 if it has none or failed. */
static uint64_t
get_own_disk(const bbl_control *c)
{
    bbl_quorum_status s;

    if (c->quorum == NULL) {
        return 0;
    }
    bbl_quorum_get_status(c->quorum, &s);
    return s.failed ? 0 : s.disk_id;
}

static void
fill_own_heartbeat(bbl_control *c, bblx_member_heartbeat *b)
{
    c->heartbeat_seq++;
    c->heartbeat_sent_at[c->heartbeat_seq % BBL_HEARTBEAT_TIMES] = c->now;
    memset(b, 0, sizeof(*b));
    b->host = c->options.host;
    b->incarnation = c->options.incarnation;
    b->seq = c->heartbeat_seq;
    b->applied = c->confirmed_index;
    b->draining = c->draining;
    b->released = c->released;
    b->disk = get_own_disk(c);
    b->zone = bbl_name_to_wire(&c->options.zone);
    b->control = c->options.control;
    b->traffic = c->options.traffic;
    b->http = c->options.http;
}

/* Grants the leader's own lease, since the leader is a member too. */
static void
renew_own_lease(bbl_control *c)
{
    bblx_member_heartbeat heartbeat;
    bblx_grant grant;

    fill_own_heartbeat(c, &heartbeat);
    bbl_registry_record_heartbeat(&c->registry, c->now, &heartbeat, true);
    memset(&grant, 0, sizeof(grant));
    grant.host = c->options.host;
    grant.incarnation = c->options.incarnation;
    grant.seq = heartbeat.seq;
    grant.required = bbl_control_required_index(c);
    grant.lease_us = (u_int)c->options.lease;
    bbl_control_apply_grant(c, &grant);
}

static void
send_heartbeat(bbl_control *c)
{
    bblx_message m;
    bblx_heartbeat *h = &m.bblx_message_u.heartbeat;
    bblx_member_heartbeat *heartbeats =
        bbl_calloc(c->relayed_heartbeats.size + 1, sizeof(*heartbeats));

    memset(&m, 0, sizeof(m));
    m.kind = BBLX_HEARTBEAT;
    fill_own_heartbeat(c, &heartbeats[0]);
    for (size_t i = 0; i < c->relayed_heartbeats.size; i++) {
        heartbeats[i + 1] =
            BBL_VEC_AT(bbl_relayed_heartbeat, &c->relayed_heartbeats, i)
                ->member;
    }
    h->applied = bbl_state_applied_index(c->state);
    h->feed_boot = c->parent_boot;
    h->feed_revision = c->parent_revision;
    h->heartbeats.heartbeats_len = (u_int)c->relayed_heartbeats.size + 1;
    h->heartbeats.heartbeats_val = heartbeats;
    c->reports.size = 0;
    bbl_rows_collect_pending(&c->rows, &c->reports, HEARTBEAT_REPORTS_MAX);
    h->reports.reports_len = (u_int)c->reports.size;
    h->reports.reports_val = c->reports.ptr;
    c->heartbeats_sent++;
    bbl_control_send(c, c->parent, c->parent_address, &m);
    free(heartbeats);
    bbl_feed_drop_heartbeats(c);
}

static void
tick_heartbeat(bbl_control *c)
{
    if (c->now < c->next_heartbeat && !c->heartbeat_due) {
        return;
    }
    if (c->now >= c->next_heartbeat) {
        c->next_heartbeat = c->now + c->options.heartbeat_interval;
    }
    c->heartbeat_due = false;
    if (bbl_control_leads_now(c)) {
        bbl_feed_drop_heartbeats(c);
        renew_own_lease(c);
        return;
    }
    choose_parent(c);
    if (c->parent != 0) {
        send_heartbeat(c);
    }
}

/* ---- duties of the leader ---- */

static void
propose_assignments(bbl_control *c)
{
    bblx_command command;
    bbl_buf data = BBL_BUF_INIT;
    bbl_quorum_status s;
    uint64_t index;
    uint64_t term;

    bbl_quorum_get_status(c->quorum, &s);
    if (s.last_index > s.commit_index) {
        return; /* the plan needs every log entry applied */
    }
    c->assigns.size = 0;
    bbl_registry_plan_assignments(&c->registry, c->now, c->state, &c->rows,
                                  s.last_index + 1, &c->assigns);
    if (c->assigns.size == 0) {
        return;
    }
    memset(&command, 0, sizeof(command));
    command.kind = BBLX_ASSIGN;
    command.bblx_command_u.assign.rows.rows_len = (u_int)c->assigns.size;
    command.bblx_command_u.assign.rows.rows_val = c->assigns.ptr;
    if (BBL_XDR_ENCODE(&data, bblx_command, &command) == 0) {
        bbl_quorum_propose(c->quorum, &index, &term, bbl_buf_str(&data));
    }
    bbl_buf_free(&data);
}

static void
tick_leader(bbl_control *c)
{
    bbl_quorum_status s;

    if (!bbl_control_leads_now(c)) {
        return;
    }
    bbl_quorum_get_status(c->quorum, &s);
    if (s.term != c->registry_term) {
        /* The registry stays valid for the whole of one term. */
        c->registry_term = s.term;
        bbl_registry_reset(&c->registry, bbl_quorum_leader_since(c->quorum));
        bbl_rollouts_reset(c);
        c->next_assignment = 0;
        c->heartbeat_due = true;
    }
    c->leader = c->options.host;
    bbl_voter_balance_tick(&c->voters, c->quorum, &c->registry, c->now);
    bbl_feed_introduce_leader(c);
    if (c->now >= c->next_publish) {
        c->next_publish = c->now + PUBLISH_INTERVAL_US;
        bbl_registry_publish(&c->registry, c->now, &c->rows);
    }
    if (c->now >= c->next_assignment) {
        c->next_assignment = c->now + ASSIGN_INTERVAL_US;
        propose_assignments(c);
    }
    bbl_rollouts_tick(c);
}

/* ---- the core ---- */

static int
open_quorum(bbl_control *c, bbl_disk *disk, bbl_usec now)
{
    bbl_quorum_options options = BBL_QUORUM_OPTIONS_INIT;

    options.host = c->options.host;
    options.seed = c->options.seed;
    options.bootstrap_voters = c->options.seeds;
    options.clock_error_ppm = c->options.clock_ppm;
    options.compact_entries = c->options.compact_entries;
    options.min_copies = c->options.copies;
    options.port.send = port_send;
    options.port.apply = port_apply;
    options.port.save = port_save;
    options.port.load = port_load;
    options.port.ctx = c;
    return bbl_quorum_open(&c->quorum, &options, disk, now);
}

int
bbl_control_open(bbl_control **out, const bbl_control_options *options,
                 bbl_disk *disk, bbl_usec now)
{
    bbl_control *c = bbl_calloc(1, sizeof(*c));
    int error = 0;

    *out = NULL;
    c->options = *options;
    c->now = now;
    c->state = bbl_state_new();
    bbl_rows_init(&c->rows);
    bbl_registry_init(&c->registry, options->lease, options->clock_ppm,
                      (uint32_t)options->takeover_delay);
    c->feed_entries = (bbl_vec)BBL_VEC_INIT(bbl_feed_entry);
    c->children = (bbl_vec)BBL_VEC_INIT(bbl_feed_child);
    c->relayed_heartbeats = (bbl_vec)BBL_VEC_INIT(bbl_relayed_heartbeat);
    c->own_proposals = (bbl_vec)BBL_VEC_INIT(own_proposal);
    c->logged_proposals = (bbl_vec)BBL_VEC_INIT(logged_proposal);
    c->reports = (bbl_vec)BBL_VEC_INIT(bblx_report);
    bbl_voter_balance_init(&c->voters, options->host, options->voters_wanted,
                           options->copies);
    bbl_permits_init(c);
    bbl_admissions_init(c);
    bbl_rollouts_init(c);
    c->members = (bbl_vec)BBL_VEC_INIT(bblx_member_row);
    c->assigns = (bbl_vec)BBL_VEC_INIT(bblx_assign);
    c->backends = (bbl_vec)BBL_VEC_INIT(bblx_backend);
    c->feed_boot = options->incarnation;
    /* A reply to an earlier incarnation must not match a new proposal. */
    c->last_proposal_number = options->incarnation * NUMBERS_PER_INCARNATION;
    if (disk != NULL) {
        c->quorum_state = bbl_state_new();
        error = open_quorum(c, disk, now);
    }
    if (options->port.reopen_disk != NULL &&
        (error == BBL_ENOSPACE || error == BBL_EIO)) {
        /* This host follows the others until its disk works. */
        c->reopening = true;
        c->next_reopen = now + REOPEN_INTERVAL_US;
        error = 0;
    }
    if (error != 0) {
        bbl_control_free(c);
        return error;
    }
    *out = c;
    return 0;
}

void
bbl_control_free(bbl_control *c)
{
    if (c == NULL) {
        return;
    }
    bbl_quorum_free(c->quorum);
    clear_feed_entries(c);
    bbl_feed_drop_heartbeats(c);
    for (size_t i = 0; i < c->own_proposals.size; i++) {
        bbl_buf_free(&BBL_VEC_AT(own_proposal, &c->own_proposals, i)->data);
    }
    bbl_state_free(c->quorum_state);
    bbl_state_free(c->state);
    bbl_rows_free(&c->rows);
    bbl_registry_free(&c->registry);
    bbl_buf_free(&c->snapshot);
    bbl_vec_free(&c->feed_entries);
    bbl_vec_free(&c->children);
    bbl_vec_free(&c->relayed_heartbeats);
    bbl_vec_free(&c->own_proposals);
    bbl_vec_free(&c->logged_proposals);
    bbl_vec_free(&c->reports);
    bbl_permits_free(c);
    bbl_admissions_free(c);
    bbl_rollouts_free(c);
    bbl_vec_free(&c->members);
    bbl_vec_free(&c->assigns);
    bbl_vec_free(&c->backends);
    free(c);
}

/*
 * Reopens the journal after the disk failed. The kernel may have dropped pages
 * that it could not write and still report the file as clean, so the whole
 * journal is rewritten before it is used.
 */
static void
reopen_quorum(bbl_control *c)
{
    bbl_disk *disk;

    c->next_reopen = c->now + REOPEN_INTERVAL_US;
    c->reopening = true;
    c->logged_proposals.size = 0; /* the proposers retry them */
    bbl_quorum_free(c->quorum);
    c->quorum = NULL;
    bbl_state_free(c->quorum_state);
    c->quorum_state = bbl_state_new();
    c->registry_term = 0;
    if (c->options.port.reopen_disk(c->options.port.ctx, &disk) != 0 ||
        open_quorum(c, disk, c->now) != 0) {
        return;
    }
    c->reopening = bbl_quorum_rewrite_journal(c->quorum) != 0;
}

static void
tick_disk(bbl_control *c)
{
    bbl_quorum_status s;

    if (c->options.port.reopen_disk == NULL || c->now < c->next_reopen) {
        return;
    }
    if (c->quorum != NULL) {
        bbl_quorum_get_status(c->quorum, &s);
        c->reopening = c->reopening || s.failed;
    }
    if (c->reopening) {
        reopen_quorum(c);
    }
}

/* Sends the output of the current call. */
static void
flush_output(bbl_control *c)
{
    if (c->quorum != NULL) {
        bbl_quorum_flush(c->quorum, c->now);
    }
    bbl_health_flush(c);
    if (c->heartbeat_due) {
        tick_heartbeat(c);
    }
    if (c->feed_due) {
        bbl_feed_push(c);
    }
    if (c->seen_rows_revision != c->rows.revision) {
        c->seen_rows_revision = c->rows.revision;
        c->revision++;
    }
}

/*
 * Forgets that this host led. It would else name itself to its children, and
 * never look for the leader of a group that has gone on without it.
 */
static void
forget_own_leadership(bbl_control *c)
{
    bbl_quorum_status s;

    if (c->leader != c->options.host) {
        return;
    }
    if (c->quorum != NULL) {
        bbl_quorum_get_status(c->quorum, &s);
        if (s.role == BBL_ROLE_LEADER) {
            return;
        }
    }
    c->leader = 0;
}

void
bbl_control_tick(bbl_control *c, bbl_usec now, uint64_t wall_ms)
{
    c->now = now;
    c->wall_ms = wall_ms;
    tick_disk(c);
    if (c->quorum != NULL) {
        bbl_quorum_status s;

        bbl_quorum_tick(c->quorum, now);
        bbl_quorum_get_status(c->quorum, &s);
        if (s.leader != 0) {
            c->leader = s.leader;
        }
        tick_leader(c);
    }
    forget_own_leadership(c);
    tick_heartbeat(c);
    tick_own_proposals(c);
    bbl_permits_tick(c);
    bbl_admissions_tick(c);
    bbl_rollouts_check_lease(c);
    if (now >= c->next_report_expiry) {
        c->next_report_expiry = now + REPORT_EXPIRY_INTERVAL_US;
        bbl_rows_expire_reports(&c->rows, REPORT_EXPIRY_ROUNDS);
    }
    c->feed_due = c->feed_due || c->feed_behind;
    flush_output(c);
}

/* Completes a proposal, or retries it at the leader that the reply names. */
static void
on_propose_reply(bbl_control *c, uint32_t from, const bblx_propose_reply *r)
{
    if (r->status != BBL_ENOTLEADER) {
        complete_own_proposal(c, r);
        return;
    }
    if (r->leader == 0 || r->leader == from) {
        return;
    }
    c->leader = r->leader;
    for (size_t i = 0; i < c->own_proposals.size; i++) {
        own_proposal *p = bbl_vec_at(&c->own_proposals, i);

        if (p->number == r->number) {
            p->next_try = c->now;
        }
    }
}

void
bbl_control_step(bbl_control *c, bbl_usec now, uint32_t from,
                 const bblx_message *m)
{
    bblx_address address;

    c->now = now;
    switch (m->kind) {
    case BBLX_HEARTBEAT:
        bbl_feed_receive_heartbeat(c, from, &m->bblx_message_u.heartbeat);
        break;
    case BBLX_FEED:
        bbl_feed_receive(c, from, &m->bblx_message_u.feed);
        break;
    case BBLX_PROPOSE:
        if (bbl_control_find_address(c, from, &address)) {
            append_proposal(
                c, from, address, m->bblx_message_u.propose.number,
                bbl_wire_text_str(&m->bblx_message_u.propose.data));
        }
        break;
    case BBLX_PROPOSE_REPLY:
        on_propose_reply(c, from, &m->bblx_message_u.propose_reply);
        break;
    case BBLX_PERMIT_REQUEST:
        bbl_permits_receive_request(c, from,
                                    &m->bblx_message_u.permit_request);
        break;
    case BBLX_PERMIT_REPLY:
        bbl_permits_receive_reply(c, from, &m->bblx_message_u.permit_reply);
        break;
    case BBLX_ADMISSION_REQUEST:
    case BBLX_ADMISSION_REPLY:
    case BBLX_ADMISSION_REPORT:
    case BBLX_PRIORITY_REQUEST:
        bbl_admissions_receive(c, from, m);
        break;
    case BBLX_ROLLOUT_COUNTS:
        bbl_rollouts_receive_counts(c, from,
                                    &m->bblx_message_u.rollout_counts);
        break;
    default:
        if (c->quorum != NULL) {
            bbl_quorum_receive(c->quorum, now, from, m);
        }
        break;
    }
    flush_output(c);
}

void
bbl_control_report(bbl_control *c, const bblx_report *report)
{
    bblx_report numbered = *report;

    numbered.serial = ++c->report_serial;
    bbl_control_publish_report(c, &numbered);
}

void
bbl_control_publish_report(bbl_control *c, const bblx_report *report)
{
    if (bbl_rows_update_report(&c->rows, report, true, true)) {
        c->heartbeat_due = true;
        c->feed_due = true;
    }
}

void
bbl_control_set_places(bbl_control *c, const bblx_place *places, size_t count)
{
    bbl_registry_set_places(&c->registry, places, count);
}

void
bbl_control_replace_catalog(bbl_control *c, bbl_usec now,
                            const bblx_backend *backends,
                            const uint64_t *versions, size_t count)
{
    c->now = now;
    c->catalog_read_at = now;
    bbl_rollouts_read_list(c, backends, versions, count);
    if (bbl_rows_replace_catalog(&c->rows, backends, count, now)) {
        c->feed_due = true;
    }
    flush_output(c);
}

bbl_usec
bbl_control_catalog_age(const bbl_control *c, bbl_usec now)
{
    return c->catalog_read_at == 0 ? UINT64_MAX : now - c->catalog_read_at;
}

bool
bbl_control_leads(const bbl_control *c, bbl_usec now)
{
    return c->quorum != NULL && bbl_quorum_has_leader_lease(c->quorum, now);
}

void
bbl_control_set_seeds(bbl_control *c, bblx_voters seeds)
{
    c->options.seeds = seeds;
}

void
bbl_control_confirm_applied(bbl_control *c, uint64_t applied)
{
    /* Only a public entry causes an early heartbeat. */
    if (c->confirmed_index < c->public_index && applied >= c->public_index) {
        c->heartbeat_due = true;
    }
    c->confirmed_index =
        applied > c->confirmed_index ? applied : c->confirmed_index;
}

void
bbl_control_drain(bbl_control *c, bbl_usec now)
{
    c->now = now;
    c->draining = true;
    c->heartbeat_due = true;
    flush_output(c);
}

int
bbl_control_transfer_leadership(bbl_control *c, bbl_usec now)
{
    /* Before, two hosts that drain would pass it to each other. */
    bbl_usec knows_members = LEADER_HEARTBEATS * c->options.heartbeat_interval;

    if (c->quorum == NULL) {
        return bbl_error_set(BBL_ENOTLEADER, "this host has no journal");
    }
    if (now < bbl_quorum_leader_since(c->quorum) + knows_members) {
        return bbl_error_set(BBL_ENOTFOUND,
                             "it is not known yet which voters drain");
    }
    return bbl_voter_balance_transfer_leadership(c->quorum, &c->registry, now);
}

bool
bbl_control_awaits_successor(const bbl_control *c)
{
    return c->draining && c->quorum != NULL &&
           bbl_voter_balance_has_successor(
               &c->voters, bbl_state_voters(c->state), &c->rows);
}

void
bbl_control_mark_released(bbl_control *c, bbl_usec now)
{
    c->now = now;
    c->released = true;
    c->heartbeat_due = true;
    flush_output(c);
}

bbl_usec
bbl_control_lease_until(const bbl_control *c)
{
    return bbl_state_applied_index(c->state) >= c->required ? c->lease_until
                                                            : 0;
}

bbl_readiness
bbl_control_get_readiness(const bbl_control *c, bbl_usec now)
{
    const bbl_lists *lists = bbl_state_lists(c->state);

    if (c->lease_until <= now) {
        return BBL_UNREADY_NO_LEASE;
    }
    if (bbl_state_applied_index(c->state) < c->required) {
        return BBL_UNREADY_BEHIND;
    }
    if (lists == NULL) {
        return BBL_UNREADY_NO_LISTS;
    }
    if (c->draining) {
        return BBL_UNREADY_DRAINING;
    }
    if (bbl_lists_zone_withdrawn(lists, &c->options.zone)) {
        return BBL_UNREADY_ZONE_WITHDRAWN;
    }
    return BBL_READY;
}

void
bbl_control_get_status(const bbl_control *c, bbl_usec now,
                       bbl_control_status *out)
{
    memset(out, 0, sizeof(*out));
    out->has_quorum = c->quorum != NULL;
    if (c->quorum != NULL) {
        bbl_quorum_get_status(c->quorum, &out->quorum);
    }
    out->leader = c->leader;
    out->parent = c->parent;
    out->applied = bbl_state_applied_index(c->state);
    out->required = c->required;
    out->lists_version = bbl_state_lists_version(c->state);
    out->lease_until = c->lease_until;
    out->ready = bbl_control_get_readiness(c, now);
    out->claims = c->quorum_state ? bbl_state_claim_count(c->quorum_state) : 0;
    out->heartbeats_sent = c->heartbeats_sent;
    out->heartbeats_relayed = c->heartbeats_relayed;
    out->feeds_sent = c->feeds_sent;
    out->feeds_received = c->feeds_received;
    out->feeds_ignored = c->feeds_ignored;
    out->grants_received = c->grants_received;
    out->grants_ignored = c->grants_ignored;
    out->snapshots_sent = c->snapshots_sent;
    out->parent_answered_at = c->parent_answered_at;
    out->voter_changes = c->voters.changes;
    out->permits_granted = c->permits.granted;
    out->permits_withheld = c->permits.refused;
    out->quota_granted = c->quotas.granted;
    out->quota_refused = c->quotas.refused;
    out->quota_returned = c->quotas.returned;
    bbl_load_book_get_status(&out->load, &c->loads);
    out->rollout_counts = bbl_rollouts_get_received(c);
    for (size_t i = 0; bbl_state_rollout(c->state, i) != NULL; i++) {
        out->rollouts_running +=
            bbl_state_rollout(c->state, i)->state == BBLX_ROLLOUT_RUNNING;
    }
}

uint64_t
bbl_control_revision(const bbl_control *c)
{
    return c->revision;
}

const bbl_state *
bbl_control_state(const bbl_control *c)
{
    return c->state;
}

const bbl_rows *
bbl_control_rows(const bbl_control *c)
{
    return &c->rows;
}

bbl_quorum *
bbl_control_quorum(bbl_control *c)
{
    return c->quorum;
}

const bbl_registry *
bbl_control_registry(const bbl_control *c)
{
    return &c->registry;
}

int
bbl_control_in_force(const bbl_control *c, bbl_usec now, uint64_t version,
                     uint32_t *waits_for)
{
    *waits_for = 0;
    if (c->quorum == NULL || !bbl_quorum_has_leader_lease(c->quorum, now)) {
        return bbl_error_set(
            BBL_ENOTLEADER, "only the leader knows what every member applies");
    }
    if (bbl_state_lists_version(c->state) < version) {
        return 0;
    }
    return bbl_registry_in_force(&c->registry, now, c->lists_index, waits_for);
}
