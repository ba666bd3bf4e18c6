/*
 * Permits for backend servers that limit the request rate of all hosts
 * together: who grants them, and requests for them.
 */
#include "control/control_core.h"

#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"

/* Time after which a request counts as unanswered. */
#define ANSWER_TIMEOUT_US (150 * BBL_USEC_PER_MS)
/* How long a grantor that did not answer is passed over. */
#define SILENT_GRANTOR_US (1 * BBL_USEC_PER_SEC)
/* Open requests that are remembered to notice that a grantor is silent. */
#define OPEN_REQUESTS_MAX 64

typedef struct {
    uint64_t number;
    uint32_t grantor;
    bbl_usec sent_at;
} open_permit_request;

void
bbl_permits_init(bbl_control *c)
{
    bbl_permit_book_init(&c->permits, c->now);
    c->permit_requests = (bbl_vec)BBL_VEC_INIT(open_permit_request);
}

void
bbl_permits_free(bbl_control *c)
{
    bbl_usec *until;
    size_t pos = 0;

    while ((until = bbl_map_next(&c->silent_grantors, &pos)) != NULL) {
        free(until);
    }
    bbl_map_free(&c->silent_grantors);
    bbl_vec_free(&c->permit_requests);
    bbl_permit_book_free(&c->permits);
}

unsigned
bbl_permits_find_grantors(const bbl_control *c,
                          const bblx_voter *out[BBL_PERMIT_GRANTORS_MAX])
{
    const bblx_voters *voters = bbl_control_known_voters(c);
    unsigned n = 0;

    for (u_int i = 0; i < voters->list.list_len; i++) {
        const bblx_voter *v = &voters->list.list_val[i];
        unsigned at = n;

        if (v->role != BBLX_VOTER) {
            continue;
        }
        while (at > 0 && out[at - 1]->host > v->host) {
            if (at < BBL_PERMIT_GRANTORS_MAX) {
                out[at] = out[at - 1];
            }
            at--;
        }
        if (at < BBL_PERMIT_GRANTORS_MAX) {
            out[at] = v;
            n += n < BBL_PERMIT_GRANTORS_MAX;
        }
    }
    return n;
}

unsigned
bbl_control_count_grantors(const bbl_control *c)
{
    const bblx_voter *grantors[BBL_PERMIT_GRANTORS_MAX];

    return bbl_permits_find_grantors(c, grantors);
}

bool
bbl_permits_is_grantor(const bbl_control *c)
{
    const bblx_voter *grantors[BBL_PERMIT_GRANTORS_MAX];
    unsigned count = bbl_permits_find_grantors(c, grantors);

    for (unsigned i = 0; i < count; i++) {
        if (grantors[i]->host == c->options.host) {
            return true;
        }
    }
    return false;
}

/* ---- grants ---- */

void
bbl_permits_receive_request(bbl_control *c, uint32_t from,
                            const bblx_permit_request *r)
{
    bblx_message m;
    bblx_permit_reply *reply = &m.bblx_message_u.permit_reply;

    if (!bbl_permits_is_grantor(c) || r->items.items_len == 0) {
        return;
    }
    memset(&m, 0, sizeof(m));
    m.kind = BBLX_PERMIT_REPLY;
    reply->number = r->number;
    reply->results.results_len = r->items.items_len;
    reply->results.results_val =
        bbl_calloc(r->items.items_len, sizeof(bblx_permit_result));
    bbl_permit_book_grant(reply->results.results_val, &c->permits, c->now,
                          bbl_control_count_grantors(c), r);
    if (from == c->options.host) {
        bbl_permits_receive_reply(c, from, reply);
    }
    else {
        bbl_control_send(c, from, r->control, &m);
    }
    free(reply->results.results_val);
}

/* ---- requests ---- */

static bool
is_silent(const bbl_control *c, uint32_t host)
{
    const bbl_usec *until = bbl_map_get(&c->silent_grantors, host);

    return until != NULL && c->now < *until;
}

static void
set_silent(bbl_control *c, uint32_t host, bbl_usec until)
{
    bbl_usec *stored = bbl_map_get(&c->silent_grantors, host);

    if (stored == NULL) {
        stored = bbl_calloc(1, sizeof(*stored));
        bbl_map_set(&c->silent_grantors, host, stored);
    }
    *stored = until;
}

/* Returns the grantor whose turn it is, or NULL if none answers. */
static const bblx_voter *
choose_grantor(bbl_control *c)
{
    const bblx_voter *grantors[BBL_PERMIT_GRANTORS_MAX];
    unsigned count = bbl_permits_find_grantors(c, grantors);

    for (unsigned i = 0; i < count; i++) {
        const bblx_voter *v = grantors[(c->next_grantor + i) % count];

        if (!is_silent(c, v->host)) {
            c->next_grantor = (c->next_grantor + i + 1) % count;
            return v;
        }
    }
    return NULL;
}

void
bbl_control_request_permits(bbl_control *c, bbl_usec now,
                            const bblx_permit_request *request)
{
    bblx_message m;
    const bblx_voter *grantor;
    open_permit_request open;

    c->now = now;
    grantor = choose_grantor(c);
    if (grantor == NULL) {
        return;
    }
    memset(&m, 0, sizeof(m));
    m.kind = BBLX_PERMIT_REQUEST;
    m.bblx_message_u.permit_request = *request;
    m.bblx_message_u.permit_request.control = c->options.control;
    if (grantor->host == c->options.host) {
        bbl_permits_receive_request(c, c->options.host,
                                    &m.bblx_message_u.permit_request);
        return;
    }
    open = (open_permit_request){request->number, grantor->host, now};
    if (c->permit_requests.size < OPEN_REQUESTS_MAX) {
        bbl_vec_push(&c->permit_requests, &open);
    }
    bbl_control_send(c, grantor->host, grantor->control, &m);
}

void
bbl_permits_receive_reply(bbl_control *c, uint32_t from,
                          const bblx_permit_reply *r)
{
    for (size_t i = c->permit_requests.size; i > 0; i--) {
        if (BBL_VEC_AT(open_permit_request, &c->permit_requests, i - 1)
                ->number == r->number) {
            bbl_vec_remove(&c->permit_requests, i - 1);
        }
    }
    set_silent(c, from, 0);
    if (c->options.port.permits_received != NULL) {
        c->options.port.permits_received(c->options.port.ctx, r);
    }
}

void
bbl_permits_tick(bbl_control *c)
{
    while (c->permit_requests.size > 0) {
        const open_permit_request *r = bbl_vec_at(&c->permit_requests, 0);

        if (c->now < r->sent_at + ANSWER_TIMEOUT_US) {
            return;
        }
        set_silent(c, r->grantor, c->now + SILENT_GRANTOR_US);
        bbl_vec_remove(&c->permit_requests, 0);
    }
}
