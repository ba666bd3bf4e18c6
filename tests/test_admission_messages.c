/*
 * Tests the admission messages of a control core: what a grantor answers, whom
 * it answers, and what an entry host passes on.
 */
#include <string.h>

#include "control/control.h"
#include "support/memdisk.h"
#include "support/run.h"

#define MS BBL_USEC_PER_MS
#define GRANTOR 1u
#define ENTRY 2u
#define SENT_MAX 512

typedef struct {
    bbl_control *control;
    memdisk disk;
    bbl_usec now;
    bblx_message sent[SENT_MAX]; /* of the kinds of admission */
    uint32_t sent_to[SENT_MAX];
    unsigned sent_count;
    bblx_admission_reply received;
    uint32_t received_from;
    unsigned received_count;
    bblx_kind greatest_kind; /* that other hosts accept */
} host;

static bool
accepts_kind(void *ctx, uint32_t to, bblx_kind kind)
{
    (void)to;
    return kind <= ((const host *)ctx)->greatest_kind;
}

static void
on_send(void *ctx, uint32_t to, bblx_address address, const bblx_message *m)
{
    host *h = ctx;

    (void)address;
    if (m->kind >= BBLX_ADMISSION_REQUEST && h->sent_count < SENT_MAX) {
        h->sent_to[h->sent_count] = to;
        h->sent[h->sent_count++] = *m;
    }
}

static void
on_received(void *ctx, uint32_t grantor, const bblx_admission_reply *reply)
{
    host *h = ctx;

    h->received = *reply;
    h->received_from = grantor;
    h->received_count++;
}

static void
ignore_proposal(void *ctx, uint64_t number, const bblx_propose_reply *reply)
{
    (void)ctx;
    (void)number;
    (void)reply;
}

/* Opens a host; the only voter and grantor is host 1. */
static void
open_host(host *h, uint32_t id)
{
    static bblx_voter seed = {
        .host = GRANTOR, .role = BBLX_VOTER, .control = {GRANTOR, 1}};
    bbl_control_options o = BBL_CONTROL_OPTIONS_INIT;

    memset(h, 0, sizeof(*h));
    h->now = 1000 * MS;
    h->greatest_kind = BBLX_PRIORITY_REQUEST;
    memdisk_init(&h->disk);
    o.host = id;
    o.incarnation = id;
    o.seed = id;
    o.control = (bblx_address){id, 1};
    o.seeds.list.list_len = 1;
    o.seeds.list.list_val = &seed;
    o.copies = 1;
    o.port.send = on_send;
    o.port.complete_proposal = ignore_proposal;
    o.port.admission_received = on_received;
    o.port.accepts_kind = accepts_kind;
    o.port.ctx = h;
    bbl_name_set(&o.zone, "z1", 2);
    if (id == GRANTOR) {
        ck_assert_int_eq(bbl_quorum_bootstrap(memdisk_open(&h->disk), id), 0);
    }
    ck_assert_int_eq(
        bbl_control_open(&h->control, &o,
                         id == GRANTOR ? memdisk_open(&h->disk) : NULL,
                         h->now),
        0);
    for (int i = 0; i < 3000; i++) {
        h->now += MS;
        bbl_control_tick(h->control, h->now, 1);
    }
    h->sent_count = 0;
}

static void
close_host(host *h)
{
    bbl_control_free(h->control);
    memdisk_free(&h->disk);
}

static bblx_message
make_request(uint64_t number, bblx_admission_subject subject)
{
    bblx_message m;
    bblx_admission_request *r = &m.bblx_message_u.admission_request;

    memset(&m, 0, sizeof(m));
    m.kind = BBLX_ADMISSION_REQUEST;
    r->number = number;
    r->item.subject = subject;
    if (subject == BBLX_ADMISSION_QUOTA) {
        r->item.bblx_admission_item_u.quota =
            (bblx_admission_quota){77, 1, 10, 3};
    }
    return m;
}

START_TEST(a_grantor_answers_and_takes_tokens_back)
{
    bblx_message m = make_request(1, BBLX_ADMISSION_QUOTA);
    bblx_admission_reply *reply;
    bbl_control_status s;
    host h;
    unsigned granted = 0;

    open_host(&h, GRANTOR);
    for (unsigned i = 1; i <= 30; i++) {
        m.bblx_message_u.admission_request.number = i;
        bbl_control_step(h.control, h.now, ENTRY, &m);
        reply = &h.sent[i - 1].bblx_message_u.admission_reply;
        ck_assert_uint_eq(h.sent_count, i);
        ck_assert_uint_eq(h.sent_to[i - 1], ENTRY);
        ck_assert_int_eq(h.sent[i - 1].kind, BBLX_ADMISSION_REPLY);
        ck_assert_uint_eq(reply->number, i);
        granted += reply->outcome == BBLX_ADMITTED;
        if (reply->outcome != BBLX_ADMITTED) {
            ck_assert_int_eq(reply->outcome, BBLX_OVER_QUOTA);
            ck_assert_uint_gt(reply->wait_us, 0);
        }
    }
    /* 10 from the slack of a host just started, 3 s of its rate. */
    ck_assert_uint_eq(granted, 13);
    memset(&m, 0, sizeof(m));
    m.kind = BBLX_ADMISSION_REPORT;
    m.bblx_message_u.admission_report.number = 2;
    m.bblx_message_u.admission_report.organisation = 77;
    bbl_control_step(h.control, h.now, ENTRY, &m);
    bbl_control_step(h.control, h.now, ENTRY, &m);
    bbl_control_get_status(h.control, h.now, &s);
    ck_assert_uint_eq(s.quota_granted, 13);
    ck_assert_uint_eq(s.quota_refused, 17);
    ck_assert_uint_eq(s.quota_returned, 1);
    ck_assert_uint_eq(h.sent_count, 30);
    close_host(&h);
}
END_TEST

/* A query that waits gets its second reply by the report of another one, or
 * by the time that it may wait; neither may be lost between the modules. */
START_TEST(a_request_for_load_is_admitted_or_waits)
{
    bblx_message m = make_request(5, BBLX_ADMISSION_LOAD);
    bblx_admission_request *r = &m.bblx_message_u.admission_request;
    bblx_message report = {.kind = BBLX_ADMISSION_REPORT};
    bblx_admission_report *end = &report.bblx_message_u.admission_report;
    bbl_control_status s;
    host h;

    open_host(&h, GRANTOR);
    r->item.bblx_admission_item_u.load =
        (bblx_admission_load){.resource = 9,
                              .slots = 2,
                              .shards = 1,
                              .work_us = 1000 * MS,
                              .target_us = 300 * MS,
                              .deadline_us = 1200 * MS,
                              .wait_us = 60 * MS};
    for (unsigned i = 0; i < 4; i++, r->number++) {
        bbl_control_step(h.control, h.now, ENTRY, &m);
        ck_assert_uint_eq(h.sent_count, i + 1);
        ck_assert_int_eq(h.sent[i].bblx_message_u.admission_reply.outcome,
                         i < 2 ? BBLX_ADMITTED : BBLX_WAITS);
    }
    *end = (bblx_admission_report){
        .number = 5, .resource = 9, .parts_sent = 3, .time_us = 10 * MS};
    bbl_control_step(h.control, h.now + 10 * MS, ENTRY, &report);
    ck_assert_uint_eq(h.sent_count, 5);
    ck_assert_uint_eq(h.sent[4].bblx_message_u.admission_reply.number, 7);
    ck_assert_int_eq(h.sent[4].bblx_message_u.admission_reply.outcome,
                     BBLX_ADMITTED);
    bbl_control_get_status(h.control, h.now, &s);
    ck_assert_uint_eq(s.load.in_flight, 2);
    ck_assert_uint_eq(s.load.waiting, 1);
    bbl_control_tick(h.control, h.now + 60 * MS, 1);
    ck_assert_uint_eq(h.sent[5].bblx_message_u.admission_reply.number, 8);
    ck_assert_int_eq(h.sent[5].bblx_message_u.admission_reply.outcome,
                     BBLX_OVERLOAD);
    close_host(&h);
}
END_TEST

/* A host with an old view of the grantors would otherwise get more than the
 * limit. */
START_TEST(a_host_that_is_no_grantor_does_not_answer)
{
    bblx_message m = make_request(1, BBLX_ADMISSION_QUOTA);
    host h;

    open_host(&h, ENTRY);
    bbl_control_step(h.control, h.now, 3, &m);
    ck_assert_uint_eq(h.sent_count, 0);
    close_host(&h);
}
END_TEST

/* What the grantor in whose place it comes gave just before is not known. */
START_TEST(a_new_grantor_begins_like_a_restarted_one)
{
    bblx_voter self = {
        .host = ENTRY, .role = BBLX_VOTER, .control = {ENTRY, 1}};
    bblx_voters seeds = {{1, &self}};
    bblx_message m = make_request(1, BBLX_ADMISSION_QUOTA);
    bbl_control_status s;
    host h;

    open_host(&h, ENTRY);
    bbl_control_set_seeds(h.control, seeds);
    for (unsigned i = 1; i <= 30; i++) {
        m.bblx_message_u.admission_request.number = i;
        bbl_control_step(h.control, h.now, 3, &m);
    }
    bbl_control_get_status(h.control, h.now, &s);
    ck_assert_uint_eq(s.quota_granted, 10);
    close_host(&h);
}
END_TEST

START_TEST(an_entry_host_sends_to_the_grantor_that_it_chose)
{
    bblx_message m = make_request(9, BBLX_ADMISSION_QUOTA);
    bbl_control_grantor grantors[BBL_PERMIT_GRANTORS_MAX];
    host h;

    open_host(&h, ENTRY);
    ck_assert_uint_eq(bbl_control_get_grantors(grantors, h.control), 1);
    ck_assert_uint_eq(grantors[0].host, GRANTOR);
    bbl_control_send_admission(h.control, h.now, GRANTOR, &m);
    bbl_control_send_admission(h.control, h.now, 99, &m); /* not a grantor */
    ck_assert_uint_eq(h.sent_count, 1);
    ck_assert_uint_eq(h.sent_to[0], GRANTOR);
    ck_assert_uint_eq(h.sent[0].bblx_message_u.admission_request.control.ip,
                      ENTRY);
    memset(&m, 0, sizeof(m));
    m.kind = BBLX_ADMISSION_REPLY;
    m.bblx_message_u.admission_reply.number = 9;
    bbl_control_step(h.control, h.now, GRANTOR, &m);
    ck_assert_uint_eq(h.received_count, 1);
    ck_assert_uint_eq(h.received_from, GRANTOR);
    ck_assert_uint_eq(h.received.number, 9);
    close_host(&h);
}
END_TEST

/* A host may be an entry host and a grantor. */
/* A grantor of an earlier build closes a connection that carries a message of
 * a kind unknown to it. */
START_TEST(an_earlier_grantor_is_asked_without_priority)
{
    bblx_message m = make_request(5, BBLX_ADMISSION_QUOTA);
    const bblx_message *sent;
    bblx_admission_request request = m.bblx_message_u.admission_request;
    host h;

    open_host(&h, ENTRY);
    m.kind = BBLX_PRIORITY_REQUEST;
    m.bblx_message_u.priority_request = (bblx_priority_request){request, 2};
    bbl_control_send_admission(h.control, h.now, GRANTOR, &m);
    h.greatest_kind = BBLX_ROLLOUT_COUNTS;
    bbl_control_send_admission(h.control, h.now, GRANTOR, &m);
    ck_assert_uint_eq(h.sent_count, 2);
    sent = &h.sent[0];
    ck_assert_int_eq(sent->kind, BBLX_PRIORITY_REQUEST);
    ck_assert_uint_eq(sent->bblx_message_u.priority_request.priority, 2);
    ck_assert_uint_eq(sent->bblx_message_u.priority_request.request.control.ip,
                      ENTRY);
    sent = &h.sent[1];
    ck_assert_int_eq(sent->kind, BBLX_ADMISSION_REQUEST);
    ck_assert_uint_eq(sent->bblx_message_u.admission_request.number, 5);
    ck_assert_uint_eq(sent->bblx_message_u.admission_request.control.ip,
                      ENTRY);
    close_host(&h);
}
END_TEST

START_TEST(a_grantor_answers_itself)
{
    bblx_message m = make_request(4, BBLX_ADMISSION_QUOTA);
    bbl_control_grantor grantors[BBL_PERMIT_GRANTORS_MAX];
    host h;

    open_host(&h, GRANTOR);
    ck_assert_uint_eq(bbl_control_get_grantors(grantors, h.control), 1);
    ck_assert(grantors[0].near);
    bbl_control_send_admission(h.control, h.now, GRANTOR, &m);
    ck_assert_uint_eq(h.sent_count, 0);
    ck_assert_uint_eq(h.received_count, 1);
    ck_assert_uint_eq(h.received.number, 4);
    close_host(&h);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("admission_messages");
    TCase *tc = tcase_create("messages");

    tcase_add_test(tc, a_grantor_answers_and_takes_tokens_back);
    tcase_add_test(tc, a_request_for_load_is_admitted_or_waits);
    tcase_add_test(tc, a_host_that_is_no_grantor_does_not_answer);
    tcase_add_test(tc, a_new_grantor_begins_like_a_restarted_one);
    tcase_add_test(tc, an_entry_host_sends_to_the_grantor_that_it_chose);
    tcase_add_test(tc, an_earlier_grantor_is_asked_without_priority);
    tcase_add_test(tc, a_grantor_answers_itself);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
