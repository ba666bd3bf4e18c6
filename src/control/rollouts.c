/*
 * Rollouts on the leader: which servers are of the new version, what the hosts
 * have counted, and the steps. What has to survive the leader is in the
 * replicated state; hosts count from their start, so that a new leader has all
 * counts with the next message of each.
 */
#include "control/control_core.h"

#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "rollout/plan.h"
#include "util/alloc.h"

#define VERSION_SEED 89
#define TICK_INTERVAL_US (100 * BBL_USEC_PER_MS)
/* Hosts forget rows that have not changed for 300 s. */
#define ROW_REFRESH_MS 100000
/* An older list says nothing of the servers that are warm now. */
#define LIST_MAX_AGE_US (5 * BBL_USEC_PER_SEC)
/* The platform's list may lag behind by so much. */
#define LIST_LAG_US (1500 * BBL_USEC_PER_MS)
/* A new leader takes the time that is left from the last record, if the clock
 * was set back, so that this is renewed. */
#define CHECKPOINT_US (30 * BBL_USEC_PER_SEC)
/* How long a rollout that has ended is known. */
#define FORGET_MS (3600u * 1000)
/* Routes of one service that are judged by themselves. */
#define ROUTES_MAX 32

/* A server in the platform's list. */
typedef struct {
    uint64_t key;     /* see bbl_backend_get_key() */
    uint64_t service; /* hash of the name */
    uint64_t version; /* hash; 0 if entries of this server disagree */
    bbl_name zone;
    uint32_t slots;
    bool leaving;
    bbl_usec cold_until;
} listed_server;

typedef struct {
    uint64_t route;
    bbl_judge judge;
    bbl_judge_sample old_version; /* counted since the last decision */
    bbl_judge_sample target;
} route_run;

/* A running rollout, as far as it is not replicated. */
typedef struct {
    uint64_t order;
    bbl_usec started_at; /* when this leader first saw it */
    bbl_usec deadline;
    bbl_usec overdue_before; /* past the deadline when first seen */
    uint64_t step_index;     /* of the last step, at least */
    bbl_usec step_at;
    uint32_t seen_share; /* of the last step */
    uint64_t seen_ms;
    uint64_t proposed; /* index of the step proposed last, or 0 */
    bbl_usec next_checkpoint;
    bbl_usec all_reported_at;
    bbl_vec routes; /* route_run */
} run;

/* What an entry host has counted. */
typedef struct {
    uint64_t incarnation;
    bbl_vec orders;  /* uint64_t: rollouts that it applies */
    bbl_map counted; /* hash of order, route and version ->
                        bblx_rollout_count: last values */
} counting_host;

struct bbl_rollouts {
    bbl_vec servers; /* listed_server */
    bbl_usec listed_at;
    bbl_map runs;     /* order -> run */
    bbl_map hosts;    /* host -> counting_host */
    bbl_vec unproven; /* uint64_t, see bbl_control_get_unproven */
    bbl_usec next_tick;
    uint64_t received;
};

static uint64_t
hash_label(const bblx_label *label)
{
    return bbl_version_hash(bbl_wire_label_str(label));
}

/* ---- start and end ---- */

static void
free_run(run *r)
{
    bbl_vec_free(&r->routes);
    free(r);
}

static void
clear_counted(counting_host *h)
{
    bblx_rollout_count *count;
    size_t pos = 0;

    while ((count = bbl_map_next(&h->counted, &pos)) != NULL) {
        free(count);
    }
    bbl_map_free(&h->counted);
}

void
bbl_rollouts_reset(bbl_control *c)
{
    bbl_rollouts *s = c->rollouts;
    counting_host *h;
    run *r;
    size_t pos = 0;

    while ((r = bbl_map_next(&s->runs, &pos)) != NULL) {
        free_run(r);
    }
    bbl_map_free(&s->runs);
    pos = 0;
    while ((h = bbl_map_next(&s->hosts, &pos)) != NULL) {
        clear_counted(h);
        bbl_vec_free(&h->orders);
        free(h);
    }
    bbl_map_free(&s->hosts);
}

void
bbl_rollouts_init(bbl_control *c)
{
    c->rollouts = bbl_calloc(1, sizeof(*c->rollouts));
    c->rollouts->servers = (bbl_vec)BBL_VEC_INIT(listed_server);
    c->rollouts->unproven = (bbl_vec)BBL_VEC_INIT(uint64_t);
}

void
bbl_rollouts_free(bbl_control *c)
{
    bbl_rollouts_reset(c);
    bbl_vec_free(&c->rollouts->servers);
    bbl_vec_free(&c->rollouts->unproven);
    free(c->rollouts);
}

uint64_t
bbl_rollouts_get_received(const bbl_control *c)
{
    return c->rollouts->received;
}

/* ---- versions of servers ---- */

static int
compare_servers(const void *a, const void *b)
{
    const listed_server *x = a;
    const listed_server *y = b;

    return x->key < y->key ? -1 : x->key > y->key;
}

/* Makes one entry of those that name the same server. */
static void
merge_entries(bbl_vec *servers)
{
    size_t kept = 0;

    if (servers->size < 2) {
        return;
    }
    qsort(servers->ptr, servers->size, sizeof(listed_server), compare_servers);
    for (size_t i = 0; i < servers->size; i++) {
        const listed_server *next = bbl_vec_at(servers, i);
        listed_server *last = kept > 0 ? bbl_vec_at(servers, kept - 1) : NULL;

        if (last == NULL || last->key != next->key) {
            *BBL_VEC_AT(listed_server, servers, kept) = *next;
            kept++;
        }
        else if (last->version != next->version) {
            last->version = 0;
        }
    }
    servers->size = kept;
}

const uint64_t *
bbl_control_get_unproven(const bbl_control *c, size_t *count)
{
    *count = c->rollouts->unproven.size;
    return c->rollouts->unproven.ptr;
}

/* Adds the servers that this host knew before it was cut off to `out`. */
static void
add_known_servers(const bbl_control *c, bbl_map *out)
{
    const bbl_vec *unproven = &c->rollouts->unproven;
    const bbl_backend_row *row;
    size_t pos = 0;

    while ((row = bbl_rows_next_backend(&c->rows, &pos)) != NULL) {
        if (!row->backend.gone) {
            bbl_map_set(out, bbl_backend_get_key(&row->backend), (void *)row);
        }
    }
    for (size_t i = 0; i < unproven->size; i++) {
        bbl_map_remove(out, *BBL_VEC_AT(uint64_t, unproven, i));
    }
}

/* Returns the hash of a service, and of one version of it. */
static uint64_t
hash_version(const listed_server *server)
{
    return bbl_hash(&server->version, sizeof(server->version),
                    server->service);
}

/*
 * Finds the servers of versions that this host did not know when its lease
 * ended: they may be those of a rollout that it was not told of.
 */
static void
find_unproven(bbl_control *c)
{
    bbl_rollouts *s = c->rollouts;
    bbl_map known = BBL_MAP_INIT;
    bbl_map versions = BBL_MAP_INIT;
    bbl_map services = BBL_MAP_INIT;

    add_known_servers(c, &known);
    for (size_t i = 0; i < s->servers.size; i++) {
        listed_server *server = bbl_vec_at(&s->servers, i);

        if (bbl_map_get(&known, server->key) != NULL) {
            bbl_map_set(&versions, hash_version(server), server);
            bbl_map_set(&services, server->service, server);
        }
    }
    s->unproven.size = 0;
    for (size_t i = 0; i < s->servers.size; i++) {
        const listed_server *server = bbl_vec_at(&s->servers, i);

        if (bbl_map_get(&services, server->service) != NULL &&
            bbl_map_get(&versions, hash_version(server)) == NULL) {
            bbl_vec_push(&s->unproven, &server->key);
        }
    }
    bbl_map_free(&known);
    bbl_map_free(&versions);
    bbl_map_free(&services);
}

void
bbl_rollouts_check_lease(bbl_control *c)
{
    if (c->rollouts->unproven.size > 0 &&
        bbl_control_lease_until(c) > c->now) {
        c->rollouts->unproven.size = 0; /* the rollouts are known now */
        c->revision++;
    }
}

static bool
is_evacuated(const bbl_control *c, const listed_server *server)
{
    const bblx_name *zone;

    for (size_t i = 0; (zone = bbl_state_evacuated_zone(c->state, i)) != NULL;
         i++) {
        if (bbl_str_equal(bbl_wire_name_str(zone),
                          bbl_name_str(&server->zone))) {
            return true;
        }
    }
    return false;
}

/* Publishes whether a server is of the target version, unless all hosts know
 * it already. */
static void
publish_version(bbl_control *c, const listed_server *server, uint64_t order,
                uint32_t version)
{
    bblx_report r;
    const bblx_report *known;

    memset(&r, 0, sizeof(r));
    r.searcher =
        (uint32_t)bbl_hash(&server->key, sizeof(server->key), VERSION_SEED);
    r.phase = BBLX_VERSION;
    r.boot = server->key;
    r.epoch = order;
    r.limit = version;
    r.serial = c->wall_ms;
    known = bbl_rows_get_report(&c->rows, r.searcher);
    if (known != NULL && known->phase == BBLX_VERSION &&
        known->boot == r.boot && known->epoch == order &&
        known->limit == version &&
        c->wall_ms < known->serial + ROW_REFRESH_MS) {
        return;
    }
    if (known != NULL && known->epoch == order && known->serial >= r.serial) {
        r.serial = known->serial + 1;
    }
    bbl_control_publish_report(c, &r);
}

/*
 * Publishes the versions of the servers of a service, and counts the slots of
 * those that are warm.
 */
static void
classify_servers(bbl_control *c, const bblx_rollout *r, bbl_plan_input *in)
{
    const bbl_rollouts *s = c->rollouts;
    uint64_t service = hash_label(&r->service);
    uint64_t target = hash_label(&r->target);
    unsigned others = 0;
    bool recent = s->listed_at != 0 && c->now < s->listed_at + LIST_MAX_AGE_US;

    for (size_t i = 0; i < s->servers.size; i++) {
        const listed_server *server = bbl_vec_at(&s->servers, i);
        bool is_target = server->version == target;

        if (server->service != service) {
            continue;
        }
        others += !is_target;
        publish_version(c, server, r->order,
                        server->version == 0 ? BBLX_VERSION_UNKNOWN
                        : is_target          ? BBLX_VERSION_TARGET
                                             : BBLX_VERSION_OTHER);
        if (recent && !server->leaving && server->cold_until <= c->now &&
            !is_evacuated(c, server)) {
            *(is_target ? &in->target_slots : &in->other_slots) +=
                server->slots;
        }
    }
    in->listed = recent;
    in->alone = in->target_slots > 0 && others == 0;
}

/*
 * Publishes the versions of all servers of services under a rollout that does
 * not let servers of an unknown version have requests. A host that is cut off
 * does it for itself: nobody else tells it of servers that start.
 */
static void
classify_all(bbl_control *c)
{
    const bblx_rollout *r;

    for (size_t i = 0; (r = bbl_state_rollout(c->state, i)) != NULL; i++) {
        bbl_plan_input unused = {0};

        if (r->state != BBLX_ROLLOUT_COMPLETED) {
            classify_servers(c, r, &unused);
        }
    }
}

/* Adds the hashes of the services under a rollout to `out`. */
static void
add_services(const bbl_control *c, bbl_map *out)
{
    const bblx_rollout *r;

    for (size_t i = 0; (r = bbl_state_rollout(c->state, i)) != NULL; i++) {
        bbl_map_set(out, hash_label(&r->service), (void *)r);
    }
}

void
bbl_rollouts_read_list(bbl_control *c, const bblx_backend *backends,
                       const uint64_t *versions, size_t count)
{
    bbl_rollouts *s = c->rollouts;
    bool cut_off = bbl_control_lease_until(c) <= c->now;
    bbl_map services = BBL_MAP_INIT;

    if (versions == NULL) {
        return;
    }
    s->servers.size = 0;
    s->listed_at = c->now;
    s->next_tick = 0;
    add_services(c, &services);
    for (size_t i = 0; (cut_off || services.size > 0) && i < count; i++) {
        const bblx_backend *b = &backends[i];
        uint64_t service = hash_label(&b->service);
        listed_server *server;

        if (!cut_off && bbl_map_get(&services, service) == NULL) {
            continue;
        }
        server = bbl_vec_add(&s->servers);
        server->key = bbl_backend_get_key(b);
        server->service = service;
        server->version = versions[i];
        bbl_name_from_wire(&server->zone, &b->zone);
        server->slots = b->slots;
        server->leaving = b->leaving;
        server->cold_until = c->now + b->cold_ms * BBL_USEC_PER_MS;
    }
    bbl_map_free(&services);
    merge_entries(&s->servers);
    if (cut_off) {
        find_unproven(c);
        classify_all(c);
    }
}

/* ---- counts of hosts ---- */

void
bbl_control_send_rollout_counts(bbl_control *c, bbl_usec now,
                                const bblx_rollout_counts *counts)
{
    bblx_message m;
    bblx_address address;

    c->now = now;
    if (bbl_control_leads_now(c)) {
        bbl_rollouts_receive_counts(c, c->options.host, counts);
        return;
    }
    if (c->leader == 0 || c->leader == c->options.host ||
        !bbl_control_find_address(c, c->leader, &address)) {
        return; /* the next message holds the counts as well */
    }
    memset(&m, 0, sizeof(m));
    m.kind = BBLX_ROLLOUT_COUNTS;
    m.bblx_message_u.rollout_counts = *counts;
    bbl_control_send(c, c->leader, address, &m);
}

static counting_host *
get_counting_host(bbl_rollouts *s, uint32_t host, uint64_t incarnation)
{
    counting_host *h = bbl_map_get(&s->hosts, host);

    if (h == NULL) {
        h = bbl_calloc(1, sizeof(*h));
        h->orders = (bbl_vec)BBL_VEC_INIT(uint64_t);
        bbl_map_set(&s->hosts, host, h);
    }
    if (h->incarnation != incarnation) {
        clear_counted(h);
        h->incarnation = incarnation;
    }
    return h;
}

/* Returns a route of a rollout; those beyond ROUTES_MAX count as one. */
static route_run *
get_route(run *r, uint64_t route)
{
    route_run *found;

    for (size_t i = 0; i < r->routes.size; i++) {
        found = bbl_vec_at(&r->routes, i);
        if (found->route == route || i + 1 == ROUTES_MAX) {
            return found;
        }
    }
    found = bbl_vec_add(&r->routes);
    found->route = route;
    return found;
}

static uint64_t
subtract(uint64_t value, uint64_t before)
{
    return value > before ? value - before : 0;
}

/* Adds what a host has counted since its last message. */
static void
add_count(bbl_rollouts *s, counting_host *h, const bblx_rollout_count *count)
{
    uint64_t parts[] = {count->order, count->route, count->target};
    uint64_t key = bbl_hash(parts, sizeof(parts), VERSION_SEED);
    run *r = bbl_map_get(&s->runs, count->order);
    bblx_rollout_count *last = bbl_map_get(&h->counted, key);
    route_run *route;
    bbl_judge_sample *sum;

    if (r == NULL) {
        return; /* the values are those since the order, so none is lost */
    }
    if (last == NULL) {
        last = bbl_calloc(1, sizeof(*last));
        bbl_map_set(&h->counted, key, last);
    }
    route = get_route(r, count->route);
    sum = count->target ? &route->target : &route->old_version;
    sum->ended += subtract(count->ended, last->ended);
    sum->failed += subtract(count->failed, last->failed);
    sum->slow += subtract(count->slow, last->slow);
    sum->refused += subtract(count->refused, last->refused);
    if (count->ended + count->refused >= last->ended + last->refused) {
        *last = *count; /* else it was overtaken by a later message */
    }
}

void
bbl_rollouts_receive_counts(bbl_control *c, uint32_t from,
                            const bblx_rollout_counts *counts)
{
    bbl_rollouts *s = c->rollouts;
    counting_host *h;

    if (!bbl_control_leads_now(c)) {
        return;
    }
    h = get_counting_host(s, from, counts->incarnation);
    h->orders.size = 0;
    for (u_int i = 0; i < counts->orders.orders_len; i++) {
        uint64_t order = counts->orders.orders_val[i];

        bbl_vec_push(&h->orders, &order);
    }
    for (u_int i = 0; i < counts->rows.rows_len; i++) {
        add_count(s, h, &counts->rows.rows_val[i]);
    }
    s->received++;
}

/*
 * Returns whether this process of an entry host has told that it applies a
 * rollout. That it applies each step is known by its applied index, also while
 * its messages do not reach the leader.
 */
static bool
has_reported(const bbl_control *c, const bblx_member_row *m, uint64_t order)
{
    const counting_host *h = bbl_map_get(&c->rollouts->hosts, m->host);

    if (h == NULL || h->incarnation != m->incarnation) {
        return false;
    }
    for (size_t i = 0; i < h->orders.size; i++) {
        if (*BBL_VEC_AT(uint64_t, &h->orders, i) == order) {
            return true;
        }
    }
    return false;
}

static bool
have_all_reported(const bbl_control *c, uint64_t order)
{
    const bblx_member_row *m;
    size_t pos = 0;

    while ((m = bbl_rows_next_member(&c->rows, &pos)) != NULL) {
        if (m->entry && m->live && !has_reported(c, m, order)) {
            return false;
        }
    }
    return true;
}

/* ---- steps ---- */

int
bbl_rollouts_stamp_order(bbl_control *c, bblx_rollout *order)
{
    const bblx_voters *voters = bbl_quorum_get_members(c->quorum);

    if (order->order != 0 || order->duration_ms == 0 ||
        order->service.bblx_label_len == 0 ||
        order->target.bblx_label_len == 0) {
        return bbl_error_set(BBL_EINVAL, "no order of a rollout");
    }
    for (u_int i = 0; i < voters->list.list_len; i++) {
        if (!bbl_control_knows_rollouts(c, voters->list.list_val[i].host)) {
            return bbl_error_set(BBL_EFULL, "a voter may not know rollouts");
        }
    }
    order->state = BBLX_ROLLOUT_RUNNING;
    order->share = 0;
    order->time_ms = c->wall_ms;
    order->left_ms = order->duration_ms;
    return 0;
}

/* Returns the state of a rollout that this leader has not seen before. */
static run *
new_run(bbl_control *c, const bblx_rollout *r)
{
    run *n = bbl_calloc(1, sizeof(*n));
    uint64_t passed = c->wall_ms > r->time_ms ? c->wall_ms - r->time_ms : 0;

    n->order = r->order;
    n->started_at = c->now;
    n->all_reported_at = c->now;
    if (passed < r->left_ms) {
        n->deadline = c->now + (r->left_ms - passed) * BBL_USEC_PER_MS;
    }
    else {
        n->deadline = c->now;
        n->overdue_before = (passed - r->left_ms) * BBL_USEC_PER_MS;
    }
    n->next_checkpoint = c->now + CHECKPOINT_US;
    n->routes = (bbl_vec)BBL_VEC_INIT(route_run);
    bbl_map_set(&c->rollouts->runs, r->order, n);
    return n;
}

/* Records a step; returns whether it was appended to the log. */
static bool
propose_step(bbl_control *c, run *n, const bblx_rollout *r,
             bblx_rollout_state state, uint32_t share)
{
    bblx_command command;
    bblx_rollout *step = &command.bblx_command_u.rollout;
    bbl_buf data = BBL_BUF_INIT;
    uint64_t term;
    int error;

    memset(&command, 0, sizeof(command));
    command.kind = BBLX_ROLLOUT;
    *step = *r;
    step->state = state;
    step->share = share;
    step->time_ms = c->wall_ms;
    step->left_ms = n != NULL && n->deadline > c->now
                        ? (u_int)((n->deadline - c->now) / BBL_USEC_PER_MS)
                        : 0;
    error = BBL_XDR_ENCODE(&data, bblx_command, &command);
    if (error == 0) {
        uint64_t index;

        error =
            bbl_quorum_propose(c->quorum, &index, &term, bbl_buf_str(&data));
        if (error == 0 && n != NULL) {
            n->proposed = index;
        }
        if (error == 0) {
            bbl_control_record_decision(c, index, bbl_buf_str(&data));
        }
    }
    bbl_buf_free(&data);
    return error == 0;
}

/* Adds what was counted to the tests, and fills the worst verdict. */
static const route_run *
judge_routes(bbl_control *c, run *n, bbl_plan_input *in)
{
    const route_run *worst = NULL;

    in->verdict =
        n->routes.size > 0 ? BBL_VERDICT_GOOD : BBL_VERDICT_UNDECIDED;
    for (size_t i = 0; i < n->routes.size; i++) {
        route_run *route = bbl_vec_at(&n->routes, i);
        bbl_verdict verdict;

        bbl_judge_add(&route->judge, c->now, &route->old_version,
                      &route->target);
        memset(&route->old_version, 0, sizeof(route->old_version));
        memset(&route->target, 0, sizeof(route->target));
        verdict = bbl_judge_get_verdict(&route->judge);
        if (verdict == BBL_VERDICT_BAD || (verdict == BBL_VERDICT_UNDECIDED &&
                                           in->verdict == BBL_VERDICT_GOOD)) {
            in->verdict = verdict;
        }
        if (worst == NULL || bbl_judge_get_evidence(&route->judge) >
                                 bbl_judge_get_evidence(&worst->judge)) {
            worst = route;
        }
    }
    return worst;
}

static void
report_decision(bbl_control *c, const bblx_rollout *r,
                const bbl_plan_input *in, const bbl_plan_result *result,
                const route_run *worst)
{
    bbl_rollout_decision d = {.rollout = r,
                              .state = r->state,
                              .share = result->share,
                              .reason = result->reason,
                              .verdict = in->verdict,
                              .target_slots = in->target_slots,
                              .other_slots = in->other_slots,
                              .left = in->left};

    if (c->options.port.rollout_decided == NULL) {
        return;
    }
    if (result->action == BBL_PLAN_COMPLETE) {
        d.state = BBLX_ROLLOUT_COMPLETED;
    }
    if (result->action == BBL_PLAN_ROLL_BACK) {
        d.state = BBLX_ROLLOUT_ROLLED_BACK;
    }
    if (worst != NULL) {
        d.evidence = bbl_judge_get_evidence(&worst->judge);
        d.old_sum = worst->judge.old_sum;
        d.target_sum = worst->judge.target_sum;
    }
    c->options.port.rollout_decided(c->options.port.ctx, &d);
}

static void
fill_plan_input(bbl_control *c, run *n, const bblx_rollout *r,
                bbl_plan_input *in)
{
    uint32_t waits_for;

    in->duration = r->duration_ms * BBL_USEC_PER_MS;
    in->left = n->deadline > c->now ? n->deadline - c->now : 0;
    in->overdue = in->left > 0 ? 0 : c->now - n->deadline + n->overdue_before;
    in->share = r->share;
    in->step_age = c->now - n->step_at;
    in->in_force =
        bbl_registry_in_force(&c->registry, c->now, n->step_index, &waits_for);
    in->stable = !bbl_registry_waits_for_leases(&c->registry, c->now);
    if (have_all_reported(c, r->order)) {
        n->all_reported_at = c->now;
    }
    in->unreported = c->now - n->all_reported_at;
}

/* Notes a step that was applied, also one that an earlier leader appended. */
static void
note_step(bbl_control *c, run *n, const bblx_rollout *r)
{
    if (n->step_index == 0 || n->seen_share != r->share ||
        n->seen_ms != r->time_ms) {
        n->step_index = c->public_index;
        n->step_at = c->now;
        n->seen_share = r->share;
        n->seen_ms = r->time_ms;
    }
}

static void
tick_running(bbl_control *c, const bblx_rollout *r)
{
    run *n = bbl_map_get(&c->rollouts->runs, r->order);
    bblx_rollout before = *r; /* a step may be applied at once */
    bbl_plan_input in;
    bbl_plan_result result;
    const route_run *worst;
    bool recorded = false;

    if (n == NULL) {
        n = new_run(c, r);
    }
    if (bbl_state_applied_index(c->state) < n->proposed) {
        return;
    }
    note_step(c, n, r);
    memset(&in, 0, sizeof(in));
    fill_plan_input(c, n, r, &in);
    classify_servers(c, r, &in);
    in.alone =
        in.alone && c->rollouts->listed_at > n->started_at + LIST_LAG_US;
    worst = judge_routes(c, n, &in);
    bbl_plan_next(&result, &in);
    switch (result.action) {
    case BBL_PLAN_STEP:
        recorded = propose_step(c, n, r, BBLX_ROLLOUT_RUNNING, result.share);
        break;
    case BBL_PLAN_COMPLETE:
        recorded =
            propose_step(c, n, r, BBLX_ROLLOUT_COMPLETED, BBL_SHARE_ALL);
        break;
    case BBL_PLAN_ROLL_BACK:
        recorded = propose_step(c, n, r, BBLX_ROLLOUT_ROLLED_BACK, 0);
        break;
    case BBL_PLAN_WAIT:
        break;
    }
    if (recorded) {
        report_decision(c, &before, &in, &result, worst);
    }
    else if (result.action == BBL_PLAN_WAIT && c->now >= n->next_checkpoint &&
             in.left > 0) {
        propose_step(c, n, r, BBLX_ROLLOUT_RUNNING, r->share);
        n->next_checkpoint = c->now + CHECKPOINT_US;
    }
}

/* Keeps the versions of servers known after a rollback, and removes the record
 * of a rollout that ended long ago. */
static void
tick_ended(bbl_control *c, const bblx_rollout *r)
{
    run *n = bbl_map_remove(&c->rollouts->runs, r->order);
    bbl_plan_input unused = {0};

    if (n != NULL) {
        free_run(n);
    }
    if (r->state == BBLX_ROLLOUT_ROLLED_BACK) {
        classify_servers(c, r, &unused);
    }
    if (c->wall_ms > r->time_ms + FORGET_MS) {
        propose_step(c, NULL, r, BBLX_ROLLOUT_FORGOTTEN, 0);
    }
}

void
bbl_rollouts_tick(bbl_control *c)
{
    const bblx_rollout *r;

    if (c->now < c->rollouts->next_tick) {
        return;
    }
    c->rollouts->next_tick = c->now + TICK_INTERVAL_US;
    for (size_t i = 0; (r = bbl_state_rollout(c->state, i)) != NULL; i++) {
        if (r->state == BBLX_ROLLOUT_RUNNING) {
            tick_running(c, r);
        }
        else {
            tick_ended(c, r);
        }
    }
}
