#include "daemon/publisher.h"

#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "daemon/notice.h"
#include "daemon/operator_api.h"
#include "util/alloc.h"
#include "util/log.h"

/* Shortest time between two updates that only carry a new list age. */
#define LIST_AGE_INTERVAL_US (250 * BBL_USEC_PER_MS)
/* How long entry hosts that fell silent are still counted: they may still
 * serve requests. */
#define SILENT_ENTRY_HOST_US (30 * BBL_USEC_PER_SEC)
/* Entry hosts that one host may delegate queries to. */
#define PEERS_MAX 64

/* What the traffic thread has been sent: revisions, versions and a hash. */
typedef struct {
    uint64_t revision; /* of the control core */
    uint64_t backends; /* revision of the servers */
    uint64_t applied;  /* index of the state */
    uint64_t reports;  /* revision of the rows */
    bbl_usec list_read_at;
    uint64_t peers; /* hash of the peers */
    unsigned entry_hosts;
    uint64_t grantors; /* hash of the grantors */
    size_t unproven;   /* servers, see bbl_control_get_unproven */
    uint64_t routing_version;
    bool routing_refused; /* this version is invalid */
} publication_marks;

struct bbl_publisher {
    bbl_publisher_options options;
    publication_marks marks;
    publication_marks marks_before; /* before the last update */
    unsigned entry_host_count;
    bbl_usec entry_hosts_counted_at;
    size_t logged_evacuated_count;
    uint64_t logged_routing_version;
};

/* Returns the number of entry hosts, including those that fell silent less
 * than SILENT_ENTRY_HOST_US ago. */
static unsigned
count_entry_hosts(bbl_publisher *p, bbl_usec now)
{
    const bblx_member_row *m;
    unsigned count = 0;
    size_t pos = 0;

    while ((m = bbl_rows_next_member(bbl_control_rows(p->options.control),
                                     &pos)) != NULL) {
        count += m->entry && m->live;
    }
    if (count >= p->entry_host_count ||
        now > p->entry_hosts_counted_at + SILENT_ENTRY_HOST_US) {
        p->entry_host_count = count;
        p->entry_hosts_counted_at = now;
    }
    return p->entry_host_count;
}

static void
fill_backends(bbl_publisher *p, bbl_forward_update *u)
{
    const bbl_rows *rows = bbl_control_rows(p->options.control);
    const bbl_backend_row *row;
    size_t pos = 0;
    size_t count = 0;

    while (bbl_rows_next_backend(rows, &pos) != NULL) {
        count++;
    }
    u->backends = bbl_calloc(count, sizeof(*u->backends));
    u->cold_until = bbl_calloc(count, sizeof(*u->cold_until));
    pos = 0;
    while ((row = bbl_rows_next_backend(rows, &pos)) != NULL) {
        bblx_backend *b = &u->backends[u->backend_count];

        bbl_backend_copy(b, &row->backend);
        u->cold_until[u->backend_count++] = row->cold_until;
    }
}

static void
fill_evacuated(bbl_publisher *p, bbl_forward_update *u)
{
    const bbl_state *state = bbl_control_state(p->options.control);
    size_t count = 0;

    while (bbl_state_evacuated_zone(state, count) != NULL) {
        count++;
    }
    u->evacuated_zones = bbl_calloc(count, sizeof(*u->evacuated_zones));
    for (size_t i = 0; i < count; i++) {
        bbl_name_from_wire(&u->evacuated_zones[i],
                           bbl_state_evacuated_zone(state, i));
    }
    u->evacuated_zone_count = count;
    if (count != p->logged_evacuated_count) {
        bbl_log(BBL_EV_EVACUATION, "data_centres=%zu applied=%llu", count,
                (unsigned long long)bbl_state_applied_index(state));
        p->logged_evacuated_count = count;
    }
}

static void
fill_rollouts(bbl_publisher *p, bbl_forward_update *u)
{
    const bbl_state *state = bbl_control_state(p->options.control);
    const bblx_rollout *r;
    size_t count = 0;

    while (bbl_state_rollout(state, count) != NULL) {
        count++;
    }
    u->rollouts = bbl_calloc(count, sizeof(*u->rollouts));
    u->rollout_count = count;
    for (size_t i = 0; (r = bbl_state_rollout(state, i)) != NULL; i++) {
        bbl_known_rollout *out = &u->rollouts[i];

        out->order = r->order;
        out->state = r->state;
        out->share = r->share;
        bbl_buf_append(&out->service, r->service.bblx_label_val,
                       r->service.bblx_label_len);
    }
}

static void
fill_unproven(bbl_publisher *p, bbl_forward_update *u)
{
    size_t count;
    const uint64_t *keys =
        bbl_control_get_unproven(p->options.control, &count);

    if (count > 0) {
        u->unproven = bbl_calloc(count, sizeof(*keys));
        memcpy(u->unproven, keys, count * sizeof(*keys));
        u->unproven_count = count;
    }
}

/* Decodes a new version of the routing, which was validated when an operator
 * sent it. */
static void
fill_routing(bbl_publisher *p, bbl_forward_update *u)
{
    const bbl_state *state = bbl_control_state(p->options.control);
    uint64_t version = bbl_state_routing(state)->number;
    bbl_buf document = BBL_BUF_INIT;

    if (version == p->marks.routing_version) {
        return;
    }
    p->marks.routing_refused = false;
    if (bbl_operator_api_inflate_document(&document, state) != 0 ||
        p->options.dialect->read_routing(&u->routing,
                                         bbl_buf_str(&document)) != 0 ||
        bbl_routing_check(u->routing) != 0) {
        bbl_log(BBL_EV_ROUTING_REFUSED, "version=%llu reason=\"%s\"",
                (unsigned long long)version, bbl_error_last());
        bbl_routing_free(u->routing);
        u->routing = NULL;
        p->marks.routing_refused = true;
    }
    else if (version != p->logged_routing_version) {
        p->logged_routing_version = version;
        bbl_log(BBL_EV_ROUTING,
                "version=%llu before=%llu bytes=%zu "
                "applied=%llu",
                (unsigned long long)version,
                (unsigned long long)p->marks.routing_version, document.size,
                (unsigned long long)bbl_state_applied_index(state));
    }
    p->marks.routing_version = version;
    bbl_buf_free(&document);
}

/*
 * Fills what hosts have observed of servers since the last update: rate
 * limits, requests under which servers have ended, their health, and versions
 * of servers under a rollout.
 */
static void
fill_observations(bbl_publisher *p, bbl_forward_update *u)
{
    const bbl_rows *rows = bbl_control_rows(p->options.control);
    const bblx_report *report;
    bbl_vec limits = BBL_VEC_INIT(bbl_observed_limit);
    bbl_vec crashes = BBL_VEC_INIT(bbl_observed_crash);
    bbl_vec health = BBL_VEC_INIT(bbl_observed_health);
    bbl_vec versions = BBL_VEC_INIT(bbl_known_version);
    uint64_t revision;
    size_t pos = 0;

    while ((report = bbl_rows_next_report(rows, &pos, &revision)) != NULL) {
        if (revision <= p->marks.reports) {
            continue;
        }
        if (report->phase == BBLX_RATE_LIMIT) {
            bbl_observed_limit_read(bbl_vec_add(&limits), report);
        }
        else if (report->phase == BBLX_CRASH) {
            bbl_observed_crash_read(bbl_vec_add(&crashes), report);
        }
        else if (report->phase == BBLX_HEALTH) {
            bbl_observed_health_read(bbl_vec_add(&health), report);
        }
        else if (report->phase == BBLX_VERSION) {
            bbl_known_version_read(bbl_vec_add(&versions), report);
        }
    }
    p->marks.reports = rows->revision;
    u->has_observations = true;
    u->limits = limits.ptr;
    u->limit_count = limits.size;
    u->crashes = crashes.ptr;
    u->crash_count = crashes.size;
    u->versions = versions.ptr;
    u->version_count = versions.size;
    u->health = health.ptr;
    u->health_count = health.size;
}

_Static_assert(BBL_PERMIT_GRANTORS_MAX <= BBL_ADMIT_GRANTORS_MAX,
               "a forwarder cannot hold all grantors");

/* Fills the hosts that grant permits and admission. */
static void
fill_grantors(bbl_publisher *p, bbl_forward_update *u)
{
    bbl_control_grantor known[BBL_PERMIT_GRANTORS_MAX];
    unsigned count = bbl_control_get_grantors(known, p->options.control);

    p->marks.grantors = 0;
    u->grantors = count;
    u->has_grantors = true;
    u->listed_grantor_count = count;
    for (unsigned i = 0; i < count; i++) {
        u->listed_grantors[i] =
            (bbl_listed_grantor){known[i].host, known[i].near};
        p->marks.grantors = bbl_hash(&known[i].host, sizeof(known[i].host),
                                     p->marks.grantors + known[i].near);
    }
}

/*
 * Fills the servers, unless only observations of hosts have changed: these are
 * frequent, and copying all servers is not cheap.
 */
static void
fill_changed_backends(bbl_publisher *p, bbl_forward_update *u)
{
    uint64_t backends = bbl_control_rows(p->options.control)->backend_revision;
    uint64_t applied =
        bbl_state_applied_index(bbl_control_state(p->options.control));

    if (backends != p->marks.backends || applied != p->marks.applied) {
        p->marks.backends = backends;
        p->marks.applied = applied;
        fill_backends(p, u);
    }
}

/*
 * Returns whether this host may delegate queries to a member: an entry host
 * that accepts them. Hosts of earlier versions have no such address.
 */
static bool
is_peer(const bbl_publisher *p, const bblx_member_row *m)
{
    return m->entry && m->live && !m->draining && m->traffic.port != 0 &&
           m->host != p->options.host;
}

/*
 * Fills the hosts to which queries may be delegated, if they have changed: a
 * part of a large fleet, which is another one at each host.
 */
static void
fill_peers(bbl_publisher *p, bbl_forward_update *u)
{
    const bbl_rows *rows = bbl_control_rows(p->options.control);
    const bblx_member_row *m;
    bbl_vec peers = BBL_VEC_INIT(bbl_listed_peer);
    uint64_t hash = 0;
    size_t pos = 0;

    while ((m = bbl_rows_next_member(rows, &pos)) != NULL) {
        bbl_listed_peer peer = {m->host, m->traffic};

        if (is_peer(p, m)) {
            bbl_vec_push(&peers, &peer);
        }
    }
    while (peers.size > PEERS_MAX) {
        bbl_vec_swap_remove(&peers, bbl_hash(&peers.size, sizeof(peers.size),
                                             p->options.incarnation) %
                                        peers.size);
    }
    for (size_t i = 0; i < peers.size; i++) {
        const bbl_listed_peer *peer = bbl_vec_at(&peers, i);

        hash ^= bbl_hash(&peer->address.ip, sizeof(peer->address.ip),
                         peer->address.port);
    }
    if (hash == p->marks.peers) {
        bbl_vec_free(&peers);
        return;
    }
    p->marks.peers = hash;
    u->has_peers = true;
    u->peers = peers.ptr;
    u->peer_count = peers.size;
}

/* ---- public ---- */

void
bbl_publisher_new(bbl_publisher **out, const bbl_publisher_options *options)
{
    *out = bbl_calloc(1, sizeof(**out));
    (*out)->options = *options;
}

void
bbl_publisher_free(bbl_publisher *p)
{
    free(p);
}

/* Returns when the list of servers was read; 0 if it never was. */
static bbl_usec
get_list_read_at(const bbl_publisher *p, bbl_usec now)
{
    bbl_usec age = bbl_control_catalog_age(p->options.control, now);

    return age == UINT64_MAX ? 0 : now - age;
}

bool
bbl_publisher_has_changes(const bbl_publisher *p, bbl_usec now)
{
    return bbl_control_revision(p->options.control) != p->marks.revision ||
           get_list_read_at(p, now) >=
               p->marks.list_read_at + LIST_AGE_INTERVAL_US;
}

/*
 * Returns whether an update tells only of the health of servers. A list that
 * is a little newer then waits for the next update.
 */
static bool
has_only_health(const bbl_publisher *p, const bbl_forward_update *u)
{
    return u->health_count > 0 && u->limit_count == 0 && u->crash_count == 0 &&
           u->version_count == 0 && u->unproven_count == 0 &&
           p->marks_before.unproven == 0 && u->routing == NULL &&
           !u->has_peers && p->marks.backends == p->marks_before.backends &&
           p->marks.applied == p->marks_before.applied &&
           u->applied == p->marks_before.applied &&
           p->marks.entry_hosts == p->marks_before.entry_hosts &&
           p->marks.grantors == p->marks_before.grantors &&
           u->list_read_at <
               p->marks_before.list_read_at + LIST_AGE_INTERVAL_US;
}

bbl_forward_update *
bbl_publisher_make_update(bbl_publisher *p, bbl_usec now)
{
    uint64_t revision = bbl_control_revision(p->options.control);
    bbl_forward_update *u = bbl_calloc(1, sizeof(*u));

    p->marks_before = p->marks;
    if (revision != p->marks.revision) {
        fill_routing(p, u);
        fill_changed_backends(p, u);
        fill_observations(p, u);
        fill_grantors(p, u);
        fill_peers(p, u);
    }
    p->marks.revision = revision;
    p->marks.list_read_at = get_list_read_at(p, now);
    u->list_read_at = p->marks.list_read_at;
    u->applied =
        bbl_state_applied_index(bbl_control_state(p->options.control));
    u->entry_hosts = count_entry_hosts(p, now);
    p->marks.entry_hosts = u->entry_hosts;
    fill_evacuated(p, u);
    fill_rollouts(p, u);
    fill_unproven(p, u);
    p->marks.unproven = u->unproven_count;
    u->only_health = has_only_health(p, u);
    if (u->only_health) {
        p->marks.list_read_at = p->marks_before.list_read_at;
    }
    return u;
}

void
bbl_publisher_take_back(bbl_publisher *p, bbl_forward_update *update)
{
    if (update != NULL) {
        p->marks = p->marks_before;
        bbl_forward_update_free(update);
    }
}

uint64_t
bbl_publisher_get_routing_version(const bbl_publisher *p)
{
    return p->marks.routing_version;
}

bool
bbl_publisher_has_newest_routing(const bbl_publisher *p)
{
    return !p->marks.routing_refused;
}

unsigned
bbl_publisher_get_entry_hosts(const bbl_publisher *p)
{
    return p->entry_host_count;
}
