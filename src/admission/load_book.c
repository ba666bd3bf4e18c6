#include "admission/load_book.h"

#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"

/* A gate that was not used for so long is removed. */
#define UNUSED_US (60 * BBL_USEC_PER_SEC)

typedef struct {
    uint64_t resource;
    bbl_load_gate gate;
    bbl_usec next_tick_at;
    bbl_usec used_at;
} book_gate;

void
bbl_load_book_init(bbl_load_book *b, uint64_t seed)
{
    memset(b, 0, sizeof(*b));
    b->replies = (bbl_vec)BBL_VEC_INIT(bbl_load_reply);
    b->seed = seed;
}

static void
free_gate(book_gate *g)
{
    bbl_load_gate_free(&g->gate);
    free(g);
}

void
bbl_load_book_free(bbl_load_book *b)
{
    book_gate *g;
    bblx_address *address;
    size_t pos = 0;

    while ((g = bbl_map_next(&b->gates, &pos)) != NULL) {
        free_gate(g);
    }
    bbl_map_free(&b->gates);
    pos = 0;
    while ((address = bbl_map_next(&b->addresses, &pos)) != NULL) {
        free(address);
    }
    bbl_map_free(&b->addresses);
    bbl_vec_free(&b->replies);
}

static void
set_address(bbl_load_book *b, uint32_t host, const bblx_address *address)
{
    bblx_address *stored = bbl_map_get(&b->addresses, host);

    if (stored == NULL) {
        stored = bbl_calloc(1, sizeof(*stored));
        bbl_map_set(&b->addresses, host, stored);
    }
    *stored = *address;
}

/* Moves the decisions of a gate to the replies of the book. */
static void
collect_replies(bbl_load_book *b, book_gate *g)
{
    static const bblx_admission_outcome outcomes[] = {
        BBLX_ADMITTED, BBLX_WAITS, BBLX_OVERLOAD};
    static const bblx_overload_reason reasons[BBL_LOAD_REASONS] = {
        BBLX_OVERLOAD_NONE, BBLX_OVERLOAD_QUEUE, BBLX_OVERLOAD_DEADLINE};
    bbl_load_decision d;

    while (bbl_load_gate_take_decision(&d, &g->gate)) {
        const bblx_address *address = bbl_map_get(&b->addresses, d.host);
        bbl_load_reply *r;

        if (address == NULL) {
            continue;
        }
        r = bbl_vec_add(&b->replies);
        r->host = d.host;
        r->control = *address;
        r->reply.number = d.number;
        r->reply.outcome = outcomes[d.outcome];
        r->reply.reason = reasons[d.reason];
        r->reply.wait_us = (u_int)d.retry_after;
        r->reply.ask_us = (u_int)d.ask_for;
        r->reply.limit = (u_int)g->gate.limit;
        r->reply.in_flight = (u_int)g->gate.in_flight.size;
        r->reply.waiting = (u_int)g->gate.waiting.queries.size;
    }
}

static book_gate *
get_gate(bbl_load_book *b, uint64_t resource)
{
    book_gate *g = bbl_map_get(&b->gates, resource);

    if (g == NULL && b->gates.size < BBL_LOAD_BOOK_GATES_MAX) {
        g = bbl_calloc(1, sizeof(*g));
        g->resource = resource;
        bbl_load_gate_init(&g->gate, b->seed ^ resource);
        bbl_map_set(&b->gates, resource, g);
    }
    return g;
}

void
bbl_load_book_request(bbl_load_book *b, bbl_usec now, uint32_t from,
                      const bblx_admission_request *r)
{
    const bblx_admission_load *load = &r->item.bblx_admission_item_u.load;
    book_gate *g = get_gate(b, load->resource);
    bbl_load_query q = {
        .host = from,
        .number = r->number,
        .slots = load->slots,
        .priority = load->priority,
        .shards = load->shards,
        .work = (double)load->work_us,
        .target_left = load->target_us,
        .deadline_left = load->deadline_us,
        .wait_max = load->wait_us,
    };

    set_address(b, from, &r->control);
    if (g == NULL) {
        bbl_load_reply *reply = bbl_vec_add(&b->replies);

        reply->host = from;
        reply->control = r->control;
        reply->reply.number = r->number;
        reply->reply.outcome = BBLX_ADMITTED;
        return;
    }
    g->used_at = now;
    bbl_load_gate_request(&g->gate, now, &q);
    g->next_tick_at = now;
    collect_replies(b, g);
}

void
bbl_load_book_report(bbl_load_book *b, bbl_usec now, uint32_t from,
                     const bblx_admission_report *r)
{
    book_gate *g = bbl_map_get(&b->gates, r->resource);

    if (g == NULL) {
        return;
    }
    g->used_at = now;
    bbl_load_gate_report(&g->gate, now, from, r->number, r->parts_sent,
                         r->parts_refused, r->time_us);
    g->next_tick_at = now;
    collect_replies(b, g);
}

static void
add_counters(bbl_load_counters *sum, const bbl_load_counters *c)
{
    for (unsigned i = 0; i < BBL_ORDER_PRIORITIES; i++) {
        sum->admitted[i] += c->admitted[i];
        for (unsigned k = 0; k < BBL_LOAD_REASONS; k++) {
            sum->refused[i][k] += c->refused[i][k];
        }
    }
    sum->reports_lost += c->reports_lost;
}

void
bbl_load_book_tick(bbl_load_book *b, bbl_usec now)
{
    book_gate *unused = NULL;
    book_gate *g;
    size_t pos = 0;

    while ((g = bbl_map_next(&b->gates, &pos)) != NULL) {
        if (now >= g->next_tick_at) {
            g->next_tick_at = bbl_load_gate_tick(&g->gate, now);
            collect_replies(b, g);
        }
        if (now > g->used_at + UNUSED_US && g->gate.in_flight.size == 0) {
            unused = g;
        }
    }
    if (unused != NULL) {
        add_counters(&b->ended, &unused->gate.counters);
        bbl_map_remove(&b->gates, unused->resource);
        free_gate(unused);
    }
}

bool
bbl_load_book_take_reply(bbl_load_reply *out, bbl_load_book *b)
{
    if (b->replies.size == 0) {
        return false;
    }
    *out = *BBL_VEC_AT(bbl_load_reply, &b->replies, 0);
    bbl_vec_remove(&b->replies, 0);
    return true;
}

void
bbl_load_book_get_status(bbl_load_status *out, const bbl_load_book *b)
{
    const book_gate *g;
    size_t pos = 0;

    memset(out, 0, sizeof(*out));
    out->counters = b->ended;
    while ((g = bbl_map_next(&b->gates, &pos)) != NULL) {
        out->limit += g->gate.limit;
        out->in_flight += g->gate.in_flight.size;
        out->waiting += g->gate.waiting.queries.size;
        add_counters(&out->counters, &g->gate.counters);
    }
}
