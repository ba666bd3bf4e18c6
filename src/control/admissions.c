/*
 * Admission of queries: the decisions of this host as a grantor, and the
 * messages between an entry host and the grantors. The entry host's traffic
 * thread chooses the grantor (forward/admission_ask.c).
 */
#include "control/control_core.h"

#include <string.h>

void
bbl_admissions_init(bbl_control *c)
{
    bbl_quota_book_init(&c->quotas, c->now, &c->options.quota_limits);
    bbl_load_book_init(&c->loads, c->options.host);
}

void
bbl_admissions_free(bbl_control *c)
{
    bbl_quota_book_free(&c->quotas);
    bbl_load_book_free(&c->loads);
}

/* ---- this host as a grantor ---- */

/*
 * Returns whether this host is a grantor. One that has just become one begins
 * like one that was restarted: what its predecessor gave is not known.
 */
static bool
is_grantor(bbl_control *c)
{
    bool is = bbl_permits_is_grantor(c);

    if (is && c->was_no_grantor) {
        bbl_admissions_free(c);
        bbl_admissions_init(c);
    }
    c->was_no_grantor = !is;
    return is;
}

static void
send_reply(bbl_control *c, uint32_t host, bblx_address control,
           const bblx_admission_reply *reply)
{
    bblx_message m;

    memset(&m, 0, sizeof(m));
    m.kind = BBLX_ADMISSION_REPLY;
    m.bblx_message_u.admission_reply = *reply;
    if (host == c->options.host) {
        bbl_admissions_receive(c, host, &m);
    }
    else {
        bbl_control_send(c, host, control, &m);
    }
}

/* Sends what the load gates have decided. */
static void
send_load_replies(bbl_control *c)
{
    bbl_load_reply r;

    while (bbl_load_book_take_reply(&r, &c->loads)) {
        send_reply(c, r.host, r.control, &r.reply);
    }
}

void
bbl_admissions_tick(bbl_control *c)
{
    is_grantor(c);
    bbl_load_book_tick(&c->loads, c->now);
    send_load_replies(c);
}

/* Decides on a request for the quota of an organisation. */
static void
decide_quota(bblx_admission_reply *out, bbl_control *c, uint32_t from,
             uint32_t priority, const bblx_admission_request *r)
{
    bbl_quota_answer answer;

    out->number = r->number;
    bbl_quota_book_take(&answer, &c->quotas, c->now,
                        bbl_control_count_grantors(c), from, r->number,
                        priority, &r->item.bblx_admission_item_u.quota);
    out->outcome = answer.taken ? BBLX_ADMITTED : BBLX_OVER_QUOTA;
    out->wait_us = answer.wait_us;
    out->left_per_1000 = answer.left_per_1000;
}

static void
receive_request(bbl_control *c, uint32_t from, uint32_t priority,
                const bblx_admission_request *r)
{
    bblx_admission_reply reply;

    if (!is_grantor(c)) {
        return;
    }
    if (r->item.subject == BBLX_ADMISSION_LOAD) {
        bbl_load_book_request(&c->loads, c->now, from, r);
        send_load_replies(c);
        return;
    }
    memset(&reply, 0, sizeof(reply));
    decide_quota(&reply, c, from, priority, r);
    send_reply(c, from, r->control, &reply);
}

static void
receive_report(bbl_control *c, uint32_t from, const bblx_admission_report *r)
{
    if (r->organisation != 0) {
        bbl_quota_book_put_back(&c->quotas, c->now, from, r->number);
    }
    if (r->resource != 0) {
        bbl_load_book_report(&c->loads, c->now, from, r);
        send_load_replies(c);
    }
}

void
bbl_admissions_receive(bbl_control *c, uint32_t from, const bblx_message *m)
{
    switch (m->kind) {
    case BBLX_ADMISSION_REQUEST:
        receive_request(c, from, 0, &m->bblx_message_u.admission_request);
        break;
    case BBLX_PRIORITY_REQUEST: {
        const bblx_priority_request *r = &m->bblx_message_u.priority_request;

        receive_request(c, from, r->priority, &r->request);
        break;
    }
    case BBLX_ADMISSION_REPLY:
        if (c->options.port.admission_received != NULL) {
            c->options.port.admission_received(
                c->options.port.ctx, from, &m->bblx_message_u.admission_reply);
        }
        break;
    default:
        receive_report(c, from, &m->bblx_message_u.admission_report);
        break;
    }
}

/* ---- requests of this host ---- */

/* Returns whether a grantor is of a build that knows the priority of a request
 * for a token. */
static bool
accepts_priority(const bbl_control *c, uint32_t grantor)
{
    return grantor == c->options.host ||
           c->options.port.accepts_kind == NULL ||
           c->options.port.accepts_kind(c->options.port.ctx, grantor,
                                        BBLX_PRIORITY_REQUEST);
}

void
bbl_control_send_admission(bbl_control *c, bbl_usec now, uint32_t grantor,
                           const bblx_message *message)
{
    bbl_control_grantor known[BBL_PERMIT_GRANTORS_MAX];
    unsigned count = bbl_control_get_grantors(known, c);
    bblx_message m = *message;

    c->now = now;
    if (m.kind == BBLX_PRIORITY_REQUEST && !accepts_priority(c, grantor)) {
        bblx_admission_request request =
            m.bblx_message_u.priority_request.request;

        m.kind = BBLX_ADMISSION_REQUEST;
        m.bblx_message_u.admission_request = request;
    }
    if (m.kind == BBLX_ADMISSION_REQUEST) {
        m.bblx_message_u.admission_request.control = c->options.control;
    }
    else if (m.kind == BBLX_PRIORITY_REQUEST) {
        m.bblx_message_u.priority_request.request.control = c->options.control;
    }
    if (grantor == c->options.host) {
        bbl_admissions_receive(c, grantor, &m);
        return;
    }
    for (unsigned i = 0; i < count; i++) {
        if (known[i].host == grantor) {
            bbl_control_send(c, grantor, known[i].control, &m);
        }
    }
}

/* Returns whether a host is in the data centre of this one. */
static bool
is_near(const bbl_control *c, uint32_t host)
{
    const bblx_member_row *m;
    size_t pos = 0;

    while ((m = bbl_rows_next_member(&c->rows, &pos)) != NULL) {
        if (m->host == host) {
            bbl_name zone;

            bbl_name_from_wire(&zone, &m->zone);
            return bbl_name_equal(&zone, &c->options.zone);
        }
    }
    return host == c->options.host;
}

unsigned
bbl_control_get_grantors(bbl_control_grantor out[BBL_PERMIT_GRANTORS_MAX],
                         const bbl_control *c)
{
    const bblx_voter *found[BBL_PERMIT_GRANTORS_MAX];
    unsigned count = bbl_permits_find_grantors(c, found);

    for (unsigned i = 0; i < count; i++) {
        out[i].host = found[i]->host;
        out[i].control = found[i]->control;
        out[i].near = is_near(c, found[i]->host);
    }
    return count;
}
