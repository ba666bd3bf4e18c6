#include "control/voter_balance.h"

#include <string.h>

#include "control/members.h"
#include "control/voter_plan.h"

#define CHECK_INTERVAL_US (100 * BBL_USEC_PER_MS)
/* Silence of a voter before it is replaced. */
#define VOTER_LOST_AFTER_US (1500 * BBL_USEC_PER_MS)
/* Silence of a host before it is no candidate for a voter. */
#define CANDIDATE_SILENT_US (1000 * BBL_USEC_PER_MS)

void
bbl_voter_balance_init(bbl_voter_balance *b, uint32_t host, uint32_t wanted,
                       uint32_t copies)
{
    memset(b, 0, sizeof(*b));
    b->host = host;
    b->wanted = wanted;
    b->spares = wanted > copies ? wanted - copies : 1;
}

static void
fill_members(bbl_voter_plan_input *in, bbl_quorum *q,
             const bbl_registry *registry, bbl_usec now)
{
    const bblx_voters *voters = bbl_quorum_get_members(q);
    const bbl_quorum_peer *peers;
    size_t n = bbl_quorum_get_peers(q, now, &peers);

    for (u_int i = 0; i < voters->list.list_len; i++) {
        bbl_member_status *v = &in->members[in->member_count++];
        const bblx_voter *known = &voters->list.list_val[i];
        const bbl_member *m = bbl_registry_get_member(registry, known->host);

        v->host = known->host;
        v->disk_id = known->disk;
        v->learner = known->role == BBLX_LEARNER;
        v->draining = m != NULL && m->draining;
        v->silence = known->host == in->leader ? 0 : UINT64_MAX;
        for (size_t p = 0; p < n; p++) {
            if (peers[p].host == known->host) {
                v->silence = peers[p].time_since_reply;
            }
        }
    }
}

static void
fill_candidates(bbl_voter_plan_input *in, const bbl_registry *registry,
                bbl_usec now)
{
    const bbl_member *m;
    size_t pos = 0;

    while ((m = bbl_map_next(&registry->members, &pos)) != NULL &&
           in->candidate_count < BBL_VOTER_CANDIDATES_MAX) {
        if (m->disk != 0 && !m->draining &&
            m->last_heartbeat + CANDIDATE_SILENT_US > now) {
            in->candidates[in->candidate_count].host = m->host;
            in->candidates[in->candidate_count++].disk_id = m->disk;
        }
    }
}

static int
propose_change(bbl_quorum *q, const bbl_registry *registry,
               const bbl_voter_change *change)
{
    const bbl_member *m;

    if (change->add_host == 0) {
        return bbl_quorum_remove_member(q, change->remove_host);
    }
    m = bbl_registry_get_member(registry, change->add_host);
    return bbl_quorum_replace_member(q, change->remove_host, change->add_host,
                                     m->control);
}

void
bbl_voter_balance_tick(bbl_voter_balance *b, bbl_quorum *q,
                       const bbl_registry *registry, bbl_usec now)
{
    bbl_voter_plan_input in;
    bbl_voter_change change;

    if (b->wanted == 0 || now < b->next_check) {
        return;
    }
    b->next_check = now + CHECK_INTERVAL_US;
    memset(&in, 0, sizeof(in));
    in.leader = b->host;
    in.target_voters = b->wanted;
    in.spares_max = b->spares;
    in.lost_after = VOTER_LOST_AFTER_US;
    fill_members(&in, q, registry, now);
    fill_candidates(&in, registry, now);
    bbl_quorum_set_voter_limit(q, bbl_voter_plan_get_limit(&in));
    if (bbl_voter_plan_next(&in, &change) &&
        propose_change(q, registry, &change) == 0) {
        b->changes++;
    }
}

static bool
may_lead(const void *ctx, uint32_t host)
{
    const bbl_member *m = bbl_registry_get_member(ctx, host);

    return m != NULL && !m->draining;
}

int
bbl_voter_balance_transfer_leadership(bbl_quorum *q,
                                      const bbl_registry *registry,
                                      bbl_usec now)
{
    return bbl_quorum_transfer_leadership(q, now, may_lead, registry);
}

bool
bbl_voter_balance_has_successor(const bbl_voter_balance *b,
                                const bblx_voters *voters,
                                const bbl_rows *rows)
{
    const bblx_member_row *m;
    size_t pos = 0;

    if (b->wanted == 0 || !bbl_members_has_voter(voters, b->host)) {
        return false;
    }
    if (bbl_members_count_voters(voters) > b->wanted) {
        return true;
    }
    while ((m = bbl_rows_next_member(rows, &pos)) != NULL) {
        if (m->live && !m->draining && !m->entry && m->host != b->host &&
            !bbl_members_has_voter(voters, m->host)) {
            return true;
        }
    }
    return false;
}
