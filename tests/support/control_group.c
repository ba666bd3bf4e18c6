#include "support/control_group.h"

#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "util/deflate.h"

#define SEC BBL_USEC_PER_SEC

typedef struct {
    control_group *sim;
    uint32_t host;
} port_ctx;

static port_ctx contexts[GROUP_HOSTS + 1];

static void
on_send(void *ctx, uint32_t to, bblx_address address, const bblx_message *m)
{
    port_ctx *p = ctx;
    group_packet *k = bbl_vec_add(&p->sim->packets);

    ck_assert_uint_eq(address.ip, to);
    k->from = p->host;
    k->to = to;
    ck_assert_int_eq(BBL_XDR_ENCODE(&k->bytes, bblx_message, m), 0);
}

static void
on_proposed(void *ctx, uint64_t number, const bblx_propose_reply *reply)
{
    port_ctx *p = ctx;
    group_host *x = &p->sim->hosts[p->host];

    if (number == x->proposal) {
        x->answered = true;
        x->outcome = reply->status;
    }
}

static int
on_reopen(void *ctx, bbl_disk **out)
{
    const port_ctx *p = ctx;

    *out = memdisk_open(&p->sim->hosts[p->host].disk);
    return 0;
}

void
control_group_start_host(control_group *sim, uint32_t h, bool bootstraps)
{
    bbl_control_options o = BBL_CONTROL_OPTIONS_INIT;
    bool has_disk = h <= 6;

    contexts[h] = (port_ctx){sim, h};
    o.host = h;
    o.incarnation = ++sim->starts;
    o.seed = sim->starts * 77;
    bbl_name_set(&o.zone, "z", 1);
    o.control = (bblx_address){h, 1};
    o.seeds.list.list_len = sim->seed_count;
    o.seeds.list.list_val = sim->seeds;
    o.voters_wanted = sim->voters_wanted;
    o.copies = sim->copies;
    if (sim->compact_entries != 0) {
        o.compact_entries = sim->compact_entries;
    }
    o.port.reopen_disk = on_reopen;
    o.port.send = on_send;
    o.port.complete_proposal = on_proposed;
    o.port.ctx = &contexts[h];
    if (bootstraps && h <= sim->seed_count) {
        ck_assert_int_eq(
            bbl_quorum_bootstrap(memdisk_open(&sim->hosts[h].disk), h), 0);
    }
    ck_assert_int_eq(
        bbl_control_open(&sim->hosts[h].control, &o,
                         has_disk ? memdisk_open(&sim->hosts[h].disk) : NULL,
                         sim->now),
        0);
}

void
control_group_stop_host(control_group *sim, uint32_t h)
{
    bbl_rng rng = {h};

    bbl_control_free(sim->hosts[h].control);
    sim->hosts[h].control = NULL;
    memdisk_crash(&sim->hosts[h].disk, &rng);
}

void
control_group_wipe_disk(control_group *sim, uint32_t h)
{
    memdisk_free(&sim->hosts[h].disk);
    memdisk_init(&sim->hosts[h].disk);
}

control_group *
control_group_open(void)
{
    control_group *sim = calloc(1, sizeof(*sim));

    sim->now = SEC;
    sim->voters_wanted = 5;
    sim->copies = 3;
    sim->seed_count = 3;
    sim->packets = (bbl_vec)BBL_VEC_INIT(group_packet);
    for (uint32_t h = 1; h <= GROUP_HOSTS; h++) {
        memdisk_init(&sim->hosts[h].disk);
    }
    for (uint32_t h = 1; h <= 3; h++) {
        sim->seeds[h - 1] = (bblx_voter){h, h, BBLX_VOTER, {h, 1}};
    }
    return sim;
}

void
control_group_close(control_group *sim)
{
    for (uint32_t h = 1; h <= GROUP_HOSTS; h++) {
        bbl_control_free(sim->hosts[h].control);
        memdisk_free(&sim->hosts[h].disk);
    }
    for (size_t i = 0; i < sim->packets.size; i++) {
        bbl_buf_free(&BBL_VEC_AT(group_packet, &sim->packets, i)->bytes);
    }
    bbl_vec_free(&sim->packets);
    free(sim);
}

static void
deliver(control_group *sim, group_packet *k)
{
    const group_host *from = &sim->hosts[k->from];
    const group_host *to = &sim->hosts[k->to];
    bblx_message m;

    if (to->control != NULL && !to->disconnected && !from->disconnected &&
        to->side == from->side) {
        memset(&m, 0, sizeof(m));
        ck_assert_int_eq(
            BBL_XDR_DECODE(&m, bblx_message, bbl_buf_str(&k->bytes)), 0);
        bbl_control_step(to->control, sim->now, k->from, &m);
        BBL_XDR_FREE(bblx_message, &m);
    }
    bbl_buf_free(&k->bytes);
}

bool
control_group_is_frozen(const control_group *sim, uint32_t h)
{
    return sim->now < sim->hosts[h].frozen_until;
}

void
control_group_run_for(control_group *sim, bbl_usec duration)
{
    for (bbl_usec end = sim->now + duration; sim->now < end;
         sim->now += GROUP_STEP_US) {
        bbl_vec due = sim->packets;

        sim->packets = (bbl_vec)BBL_VEC_INIT(group_packet);
        for (size_t i = 0; i < due.size; i++) {
            group_packet *k = bbl_vec_at(&due, i);

            if (control_group_is_frozen(sim, k->to)) {
                bbl_vec_push(&sim->packets, k); /* it waits in the socket */
            }
            else {
                deliver(sim, k);
            }
        }
        bbl_vec_free(&due);
        for (uint32_t h = 1; h <= GROUP_HOSTS; h++) {
            if (sim->hosts[h].control != NULL &&
                !control_group_is_frozen(sim, h)) {
                bbl_control_tick(sim->hosts[h].control, sim->now,
                                 sim->now / 1000);
            }
        }
    }
}

/* Proposes a routing version at a host. */
void
control_group_submit_routing(control_group *sim, uint32_t h, uint64_t version,
                             const char *text)
{
    bblx_command c;
    bbl_buf data = BBL_BUF_INIT;
    bbl_buf packed = BBL_BUF_INIT;
    group_host *x = &sim->hosts[h];

    memset(&c, 0, sizeof(c));
    c.kind = BBLX_ROUTING;
    bbl_deflate(&packed, (bbl_str){text, strlen(text)});
    c.bblx_command_u.routing.number = version;
    c.bblx_command_u.routing.size = (u_int)strlen(text);
    c.bblx_command_u.routing.document =
        bbl_wire_text_borrow(bbl_buf_str(&packed));
    ck_assert_int_eq(BBL_XDR_ENCODE(&data, bblx_command, &c), 0);
    x->answered = false;
    x->proposal =
        bbl_control_propose(x->control, sim->now, bbl_buf_str(&data));
    bbl_buf_free(&data);
    bbl_buf_free(&packed);
}

/* Proposes a routing version at a host; returns whether it is acknowledged. */
bool
control_group_propose_routing(control_group *sim, uint32_t h, uint64_t version,
                              const char *text)
{
    control_group_submit_routing(sim, h, version, text);
    control_group_run_for(sim, SEC);
    return sim->hosts[h].answered && sim->hosts[h].outcome == 0;
}

uint64_t
control_group_routing_version_at(const control_group *sim, uint32_t h)
{
    return bbl_state_routing(bbl_control_state(sim->hosts[h].control))->number;
}

uint32_t
control_group_find_leader(const control_group *sim)
{
    for (uint32_t h = 1; h <= 6; h++) {
        if (sim->hosts[h].control != NULL &&
            bbl_control_leads(sim->hosts[h].control, sim->now)) {
            return h;
        }
    }
    return 0;
}

unsigned
control_group_count_voters(const control_group *sim, uint32_t only)
{
    const bblx_voters *v = bbl_state_voters(
        bbl_control_state(sim->hosts[control_group_find_leader(sim)].control));
    unsigned n = 0;

    for (u_int i = 0; i < v->list.list_len; i++) {
        n += v->list.list_val[i].role == BBLX_VOTER &&
             (only == 0 || v->list.list_val[i].host == only);
    }
    return n;
}

control_group *
control_group_open_grown(void)
{
    control_group *sim = control_group_open();

    for (uint32_t h = 1; h <= GROUP_HOSTS; h++) {
        if (h != 6) {
            control_group_start_host(sim, h, true);
        }
    }
    control_group_run_for(sim, 3 * SEC);
    ck_assert_uint_eq(control_group_count_voters(sim, 0), 5);
    return sim;
}
