#include "forward/peers.h"

#include <stdlib.h>

#include "util/alloc.h"

/* A peer that has served a query within this time is likely to do so again. */
#define SERVED_LATELY_US (5 * BBL_USEC_PER_SEC)

void
bbl_peers_init(bbl_peers *p)
{
    p->listed = (bbl_vec)BBL_VEC_INIT(bbl_peer *);
    p->retired = (bbl_vec)BBL_VEC_INIT(bbl_peer *);
}

void
bbl_peers_free(bbl_peers *p)
{
    bbl_peers_update(p, NULL, 0);
    for (size_t i = 0; i < p->retired.size; i++) {
        free(*BBL_VEC_AT(bbl_peer *, &p->retired, i));
    }
    bbl_vec_free(&p->retired);
    bbl_vec_free(&p->listed);
}

static bool
is_same(const bbl_listed_peer *a, const bbl_listed_peer *b)
{
    return a->host == b->host && a->address.ip == b->address.ip &&
           a->address.port == b->address.port;
}

static bool
is_listed(const bbl_listed_peer *peer, const bbl_listed_peer *list,
          size_t count)
{
    for (size_t i = 0; i < count; i++) {
        if (is_same(peer, &list[i])) {
            return true;
        }
    }
    return false;
}

static bool
is_known(const bbl_peers *p, const bbl_listed_peer *listed)
{
    for (size_t i = 0; i < p->listed.size; i++) {
        if (is_same(&(*BBL_VEC_AT(bbl_peer *, &p->listed, i))->listed,
                    listed)) {
            return true;
        }
    }
    return false;
}

void
bbl_peers_update(bbl_peers *p, const bbl_listed_peer *listed, size_t count)
{
    for (size_t i = p->listed.size; i > 0; i--) {
        bbl_peer *peer = *BBL_VEC_AT(bbl_peer *, &p->listed, i - 1);

        if (!is_listed(&peer->listed, listed, count)) {
            bbl_vec_swap_remove(&p->listed, i - 1);
            bbl_vec_push(&p->retired, &peer);
            p->removed(p->ctx, peer);
        }
    }
    for (size_t i = 0; i < count; i++) {
        if (!is_known(p, &listed[i])) {
            bbl_peer *peer = bbl_calloc(1, sizeof(*peer));

            peer->listed = listed[i];
            bbl_vec_push(&p->listed, &peer);
            p->added(p->ctx, peer);
        }
    }
}

void
bbl_peers_free_retired(bbl_peers *p)
{
    for (size_t i = p->retired.size; i > 0; i--) {
        bbl_peer *peer = *BBL_VEC_AT(bbl_peer *, &p->retired, i - 1);

        if (peer->in_flight == 0) {
            bbl_vec_swap_remove(&p->retired, i - 1);
            free(peer);
        }
    }
}

typedef struct {
    bbl_usec now;
    const uint32_t *asked;
    size_t asked_count;
    bool served_lately; /* whether only peers that have served are chosen */
    bool avoided_too;   /* whether also those that are avoided are */
} choice;

static bool
may_choose(const choice *c, const bbl_peer *peer)
{
    for (size_t i = 0; i < c->asked_count; i++) {
        if (c->asked[i] == peer->listed.host) {
            return false;
        }
    }
    return (c->avoided_too || c->now >= peer->avoided_until) &&
           (!c->served_lately ||
            (peer->served_at != 0 &&
             c->now < peer->served_at + SERVED_LATELY_US));
}

/* Returns the first peer that may be chosen, from a random position on. */
static bbl_peer *
draw(const bbl_peers *p, const choice *c, bbl_rng *rng)
{
    size_t first = (size_t)bbl_rng_below(rng, p->listed.size);

    for (size_t i = 0; i < p->listed.size; i++) {
        bbl_peer *peer =
            *BBL_VEC_AT(bbl_peer *, &p->listed, (first + i) % p->listed.size);

        if (may_choose(c, peer)) {
            return peer;
        }
    }
    return NULL;
}

static bbl_peer *
draw_least_busy(const bbl_peers *p, const choice *c, bbl_rng *rng)
{
    bbl_peer *a = draw(p, c, rng);
    bbl_peer *b = a != NULL ? draw(p, c, rng) : NULL;

    return b != NULL && b->in_flight < a->in_flight ? b : a;
}

bbl_peer *
bbl_peers_choose(const bbl_peers *p, bbl_usec now, const uint32_t *asked,
                 size_t asked_count, bbl_rng *rng)
{
    choice c = {now, asked, asked_count, asked_count > 0, false};
    bbl_peer *peer;

    if (p->listed.size == 0) {
        return NULL;
    }
    peer = draw_least_busy(p, &c, rng);
    if (peer == NULL && c.served_lately) {
        c.served_lately = false;
        peer = draw_least_busy(p, &c, rng);
    }
    if (peer == NULL) {
        c.served_lately = true;
        c.avoided_too = true;
        peer = draw_least_busy(p, &c, rng);
    }
    return peer;
}
