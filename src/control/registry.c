#include "control/registry.h"

#include <stdlib.h>
#include <string.h>

#include "control/fault.h"
#include "util/alloc.h"

#define SERVICE_OWNERS_MAX 16 /* owners of one service that are compared */
/*
 * A process whose heartbeats have the higher incarnation and that has been
 * silent for so long, twice the longest heartbeat interval and more, has ended
 * before the other one started with its clock set back.
 */
#define EARLIER_PROCESS_US (1000 * BBL_USEC_PER_MS)
#define HANDOVERS_PER_ROUND 8 /* handovers started in one round */
/* Costs added to the number of searchers that a candidate owner has. */
#define OTHER_ZONE_COST 8 /* it is in another data centre */
#define SIBLING_COST 1000 /* it owns another replica of the service */
#define REBALANCE_SLACK 3 /* searchers above the mean before one moves */

/* The input and output of one round of planning. */
typedef struct {
    const bbl_state *state;
    const bbl_rows *rows;
    bbl_registry *registry;
    bbl_usec now;
    uint64_t epoch;
    bbl_vec *out;
    bbl_map services; /* service hash -> service_owners, owned */
} planner;

/* The owners of one service's searchers. */
typedef struct {
    uint32_t owners[SERVICE_OWNERS_MAX];
    unsigned count;
    bool moving; /* one of them is being handed over */
} service_owners;

void
bbl_registry_init(bbl_registry *r, bbl_usec lease, uint32_t clock_ppm,
                  uint32_t takeover_delay_us)
{
    memset(r, 0, sizeof(*r));
    r->lease = lease;
    r->clock_ppm = clock_ppm;
    r->takeover_delay_us = takeover_delay_us;
    r->places = (bbl_vec)BBL_VEC_INIT(bblx_place);
}

static void
clear_members(bbl_registry *r)
{
    bbl_member *m;
    size_t pos = 0;

    while ((m = bbl_map_next(&r->members, &pos)) != NULL) {
        free(m);
    }
    bbl_map_free(&r->members);
}

static void
clear_places(bbl_registry *r)
{
    for (size_t i = 0; i < r->places.size; i++) {
        BBL_XDR_FREE(bblx_place, bbl_vec_at(&r->places, i));
    }
    r->places.size = 0;
}

void
bbl_registry_free(bbl_registry *r)
{
    clear_members(r);
    clear_places(r);
    bbl_vec_free(&r->places);
}

void
bbl_registry_reset(bbl_registry *r, bbl_usec now)
{
    clear_members(r);
    r->led_since = now;
}

/* Returns the time by which a lease granted now has expired on any clock. */
static bbl_usec
latest_lease_end(const bbl_registry *r, bbl_usec now)
{
    return now + r->lease + r->lease * 2 * r->clock_ppm / 1000000 + 1;
}

static bbl_member *
find_or_add_member(bbl_registry *r, uint32_t host)
{
    bbl_member *m = bbl_map_get(&r->members, host);

    if (m == NULL) {
        m = bbl_calloc(1, sizeof(*m));
        m->host = host;
        bbl_map_set(&r->members, host, m);
    }
    return m;
}

void
bbl_registry_record_heartbeat(bbl_registry *r, bbl_usec now,
                              const bblx_member_heartbeat *heartbeat,
                              bool leads)
{
    bbl_member *m = find_or_add_member(r, heartbeat->host);

    if (heartbeat->incarnation < m->incarnation &&
        now < m->last_heartbeat + EARLIER_PROCESS_US) {
        return; /* a delayed heartbeat of an earlier process */
    }
    if (m->incarnation != heartbeat->incarnation) {
        if (m->lease_end > m->prior_lease_end) {
            m->prior_lease_end = m->lease_end;
        }
        m->lease_end = 0;
        m->incarnation = heartbeat->incarnation;
        m->applied = 0;
    }
    m->last_heartbeat = now;
    m->applied =
        heartbeat->applied > m->applied ? heartbeat->applied : m->applied;
    m->draining = heartbeat->draining;
    m->released = heartbeat->released;
    m->disk = heartbeat->disk;
    bbl_name_from_wire(&m->zone, &heartbeat->zone);
    m->control = heartbeat->control;
    m->traffic = heartbeat->traffic;
    if (leads) {
        m->lease_end = latest_lease_end(r, now);
    }
}

void
bbl_registry_set_places(bbl_registry *r, const bblx_place *places,
                        size_t count)
{
    clear_places(r);
    for (size_t i = 0; i < count; i++) {
        bblx_place *to = bbl_vec_add(&r->places);
        const bblx_place *from = &places[i];

        *to = *from;
        to->zone.bblx_name_val =
            bbl_memdup(from->zone.bblx_name_val, from->zone.bblx_name_len);
        to->service.bblx_name_val = bbl_memdup(from->service.bblx_name_val,
                                               from->service.bblx_name_len);
    }
    r->places_known = true;
}

bool
bbl_registry_waits_for_leases(const bbl_registry *r, bbl_usec now)
{
    if (BBL_FAULT(BBL_FAULT_NO_LEASE_WAIT)) {
        return false;
    }
    return now < latest_lease_end(r, r->led_since);
}

bool
bbl_registry_in_force(const bbl_registry *r, bbl_usec now, uint64_t index,
                      uint32_t *waits_for)
{
    const bbl_member *m;
    size_t pos = 0;

    *waits_for = 0;
    if (bbl_registry_waits_for_leases(r, now)) {
        return false;
    }
    while ((m = bbl_map_next(&r->members, &pos)) != NULL) {
        if ((m->lease_end > now && m->applied < index) ||
            m->prior_lease_end > now) {
            *waits_for = m->host;
            return false;
        }
    }
    return true;
}

static bool
is_live(const bbl_member *m, bbl_usec now)
{
    return m->lease_end > now;
}

void
bbl_registry_publish(bbl_registry *r, bbl_usec now, bbl_rows *rows)
{
    bbl_member *m;
    size_t pos = 0;

    while ((m = bbl_map_next(&r->members, &pos)) != NULL) {
        bblx_member_row row;

        memset(&row, 0, sizeof(row));
        row.host = m->host;
        row.incarnation = m->incarnation;
        row.live = is_live(m, now);
        row.draining = m->draining;
        row.entry = m->disk == 0;
        row.zone = bbl_name_to_wire(&m->zone);
        row.control = m->control;
        row.traffic = m->traffic;
        bbl_rows_update_member(rows, &row);
    }
    /* Once the leases of earlier leaders have expired, a member without a
     * heartbeat to this leader is lost. */
    pos = 0;
    for (const bblx_member_row *old;
         !bbl_registry_waits_for_leases(r, now) &&
         (old = bbl_rows_next_member(rows, &pos)) != NULL;) {
        if (old->live && bbl_map_get(&r->members, old->host) == NULL) {
            bblx_member_row lost = *old;

            lost.live = false;
            bbl_rows_update_member(rows, &lost);
            break;
        }
    }
}

/* ---- assignment ---- */

static bool
can_own(const bbl_member *m, bbl_usec now)
{
    return is_live(m, now) && !m->draining;
}

/* Returns whether the owner reports that it has released the searcher. */
static bool
handed_over(const planner *p, const bblx_assign *row)
{
    const bblx_report *r = bbl_rows_get_report(p->rows, row->place.searcher);

    return r != NULL && r->epoch == row->epoch && r->phase == BBLX_RELEASED;
}

/* Returns whether the assigned owner may still use the searcher. */
static bool
owner_may_use(const planner *p, const bblx_assign *row)
{
    const bbl_member *m = bbl_map_get(&p->registry->members, row->owner);
    bool waits = bbl_registry_waits_for_leases(p->registry, p->now);

    if (row->owner == 0 || handed_over(p, row)) {
        return false;
    }
    if (m == NULL) {
        return waits;
    }
    if (m->incarnation != row->incarnation) {
        return m->prior_lease_end > p->now || waits;
    }
    return !m->released && (m->lease_end > p->now || waits);
}

static uint64_t
service_hash(const bblx_place *place)
{
    return bbl_hash(place->service.bblx_name_val, place->service.bblx_name_len,
                    3);
}

static service_owners *
find_or_add_service(planner *p, const bblx_place *place)
{
    uint64_t hash = service_hash(place);
    service_owners *service = bbl_map_get(&p->services, hash);

    if (service == NULL) {
        service = bbl_calloc(1, sizeof(*service));
        bbl_map_set(&p->services, hash, service);
    }
    return service;
}

static void
record_owner(planner *p, const bblx_place *place, uint32_t owner)
{
    service_owners *service = find_or_add_service(p, place);

    if (service->count < SERVICE_OWNERS_MAX) {
        service->owners[service->count++] = owner;
    }
}

/* Returns whether `host` owns another searcher of the same service. */
static bool
owns_sibling(planner *p, const bblx_place *place, uint32_t host)
{
    const bblx_assign *row =
        bbl_state_find_assignment(p->state, place->searcher);
    service_owners *service = find_or_add_service(p, place);
    unsigned owned = 0;

    for (unsigned i = 0; i < service->count; i++) {
        owned += service->owners[i] == host;
    }
    return owned > (row != NULL && row->owner == host ? 1u : 0u);
}

/* Ranks a candidate owner; lower is better. */
static uint64_t
owner_cost(planner *p, const bblx_place *place, const bbl_member *m)
{
    bbl_name zone;
    uint64_t cost = m->owned;

    bbl_name_from_wire(&zone, &place->zone);
    if (!bbl_name_equal(&zone, &m->zone)) {
        cost += OTHER_ZONE_COST;
    }
    if (owns_sibling(p, place, m->host)) {
        cost += SIBLING_COST;
    }
    return cost;
}

static bbl_member *
best_owner(planner *p, const bblx_place *place)
{
    bbl_member *best = NULL;
    uint64_t best_cost = 0;
    bbl_member *m;
    size_t pos = 0;

    while ((m = bbl_map_next(&p->registry->members, &pos)) != NULL) {
        uint64_t cost;

        if (!can_own(m, p->now)) {
            continue;
        }
        cost = owner_cost(p, place, m);
        if (best == NULL || cost < best_cost ||
            (cost == best_cost && m->host < best->host)) {
            best = m;
            best_cost = cost;
        }
    }
    return best;
}

static void
assign_owner(planner *p, const bblx_place *place, bbl_member *to,
             uint32_t takeover_delay_us)
{
    bblx_assign *row = bbl_vec_add(p->out);

    row->place = *place;
    row->epoch = p->epoch;
    row->takeover_delay_us = takeover_delay_us;
    if (to != NULL) {
        row->owner = to->host;
        row->incarnation = to->incarnation;
        to->owned++;
        record_owner(p, place, to->host);
    }
}

static bool
same_place(const bblx_place *a, const bblx_place *b)
{
    return a->leaving == b->leaving && a->slots == b->slots &&
           a->connections == b->connections &&
           a->address.ip == b->address.ip &&
           a->address.port == b->address.port;
}

/* Returns whether the last owner has released the searcher, so that no
 * takeover delay is needed. */
static bool
was_released(const planner *p, const bblx_assign *row)
{
    const bbl_member *m = bbl_map_get(&p->registry->members, row->owner);

    return row->owner == 0 || handed_over(p, row) ||
           (m != NULL && m->incarnation == row->incarnation && m->released);
}

static void
plan_searcher(planner *p, const bblx_place *place)
{
    const bblx_assign *row =
        bbl_state_find_assignment(p->state, place->searcher);
    bbl_member *to;

    if (row != NULL && owner_may_use(p, row)) {
        if (!same_place(&row->place, place)) {
            bblx_assign *update = bbl_vec_add(p->out);

            *update = *row;
            update->place = *place;
        }
        return;
    }
    to = row ? bbl_map_get(&p->registry->members, row->next_owner) : NULL;
    if (to == NULL || !can_own(to, p->now)) {
        to = best_owner(p, place);
    }
    if (to == NULL) {
        return;
    }
    assign_owner(p, place, to,
                 row == NULL || was_released(p, row)
                     ? 0
                     : p->registry->takeover_delay_us);
}

/* Plans that the owner hands a searcher over. */
static void
start_handover(planner *p, const bblx_assign *row, bbl_member *from,
               bbl_member *to)
{
    bblx_assign *moved = bbl_vec_add(p->out);

    *moved = *row;
    moved->next_owner = to->host;
    from->owned--;
    to->owned++;
    find_or_add_service(p, &row->place)->moving = true;
}

/* Returns whether an owner has too many searchers and can hand this over. */
static bool
should_hand_over(planner *p, const bblx_assign *row, const bbl_member *from,
                 uint32_t mean)
{
    return from != NULL && from->incarnation == row->incarnation &&
           row->next_owner == 0 && from->owned >= mean + REBALANCE_SLACK &&
           !find_or_add_service(p, &row->place)->moving;
}

/*
 * Moves searchers away from owners with too many of them, one of each service
 * at a time.
 */
static void
rebalance(planner *p)
{
    bbl_registry *r = p->registry;
    size_t live = 0;
    size_t pos = 0;
    unsigned moves = 0;
    uint32_t mean;
    bbl_member *m;

    while ((m = bbl_map_next(&r->members, &pos)) != NULL) {
        live += can_own(m, p->now);
    }
    if (live == 0 || bbl_registry_waits_for_leases(r, p->now)) {
        return;
    }
    mean = (uint32_t)((r->places.size + live - 1) / live);
    for (size_t i = 0; i < r->places.size && moves < HANDOVERS_PER_ROUND;
         i++) {
        const bblx_place *place = bbl_vec_at(&r->places, i);
        const bblx_assign *row =
            bbl_state_find_assignment(p->state, place->searcher);
        bbl_member *from = row ? bbl_map_get(&r->members, row->owner) : NULL;
        bbl_member *to;

        if (row == NULL || !should_hand_over(p, row, from, mean)) {
            continue;
        }
        to = best_owner(p, place);
        if (to != NULL && to != from &&
            to->owned + 1 < mean + REBALANCE_SLACK) {
            start_handover(p, row, from, to);
            moves++;
        }
    }
}

static void
drop_unlisted(planner *p)
{
    bbl_map listed = BBL_MAP_INIT;
    const bblx_assign *row;
    size_t pos = 0;

    for (size_t i = 0; i < p->registry->places.size; i++) {
        bblx_place *place = bbl_vec_at(&p->registry->places, i);

        bbl_map_set(&listed, place->searcher, place);
    }
    while ((row = bbl_state_next_assignment(p->state, &pos)) != NULL) {
        if (bbl_map_get(&listed, row->place.searcher) == NULL) {
            bblx_assign *gone = bbl_vec_add(p->out);

            *gone = *row;
            gone->gone = true;
        }
    }
    bbl_map_free(&listed);
}

static void
count_owned(planner *p)
{
    const bblx_assign *row;
    bbl_member *m;
    size_t pos = 0;

    while ((m = bbl_map_next(&p->registry->members, &pos)) != NULL) {
        m->owned = 0;
    }
    pos = 0;
    while ((row = bbl_state_next_assignment(p->state, &pos)) != NULL) {
        record_owner(p, &row->place, row->owner);
        if (row->next_owner != 0) {
            find_or_add_service(p, &row->place)->moving = true;
        }
        m = bbl_map_get(&p->registry->members,
                        row->next_owner ? row->next_owner : row->owner);
        if (m != NULL &&
            (row->next_owner != 0 || m->incarnation == row->incarnation)) {
            m->owned++;
        }
    }
}

static void
free_services(planner *p)
{
    size_t pos = 0;
    service_owners *service;

    while ((service = bbl_map_next(&p->services, &pos)) != NULL) {
        free(service);
    }
    bbl_map_free(&p->services);
}

void
bbl_registry_plan_assignments(bbl_registry *r, bbl_usec now,
                              const bbl_state *state, const bbl_rows *rows,
                              uint64_t epoch, bbl_vec *out)
{
    planner p = {state, rows, r, now, epoch, out, BBL_MAP_INIT};

    if (!r->places_known) {
        return;
    }
    count_owned(&p);
    for (size_t i = 0; i < r->places.size; i++) {
        if (out->size >= BBL_ASSIGN_BATCH) {
            break;
        }
        plan_searcher(&p, bbl_vec_at(&r->places, i));
    }
    if (out->size == 0) {
        drop_unlisted(&p);
    }
    if (out->size == 0) {
        rebalance(&p);
    }
    free_services(&p);
}

const bbl_member *
bbl_registry_get_member(const bbl_registry *r, uint32_t host)
{
    return bbl_map_get(&r->members, host);
}
