#include "admission/admission.h"

#include <string.h>

/* Time after which the next grantor is asked: a grantor in another data centre
 * replies in 1 to 6 ms, and one that pauses costs no more than this. */
#define REPLY_TIMEOUT_US (20 * BBL_USEC_PER_MS)
/* The same as a part of the target, if that is shorter. */
#define REPLY_TIMEOUT_DIVISOR 8
/* A query is answered or refused within this part of its target. */
#define WAIT_DIVISOR 5
/* The host that received it stops to ask after this part: another host, to
 * which it is delegated then, has the rest. */
#define OWN_WAIT_DIVISOR 10
/* A grantor lets no query wait longer, however late its target is. */
#define LOAD_WAIT_MAX_US (500 * BBL_USEC_PER_MS)
/* Part of the target in which a reply arrives that was sent at the last time.
 */
#define REPLY_MARGIN_DIVISOR 40
/* Bounds of the time in which a host refuses requests without asking. */
#define LOCAL_REFUSAL_MIN_US (50 * BBL_USEC_PER_MS)
#define LOCAL_REFUSAL_MAX_US (250 * BBL_USEC_PER_MS)

bbl_usec
bbl_admit_get_local_refusal(bbl_usec wait)
{
    return wait < LOCAL_REFUSAL_MIN_US   ? LOCAL_REFUSAL_MIN_US
           : wait > LOCAL_REFUSAL_MAX_US ? LOCAL_REFUSAL_MAX_US
                                         : wait;
}

unsigned
bbl_admit_choose_first(unsigned grantors, unsigned near, uint64_t turn)
{
    unsigned count = 0;

    for (unsigned i = 0; i < grantors; i++) {
        count += near >> i & 1;
    }
    if (count == 0) {
        return grantors > 0 ? (unsigned)(turn % grantors) : 0;
    }
    for (unsigned i = 0, skip = (unsigned)(turn % count);; i++) {
        if ((near >> i & 1) != 0 && skip-- == 0) {
            return i;
        }
    }
}

/* Returns the grantor whose turn it is, or facts->grantors if none is left. */
static unsigned
choose_next(const bbl_admit_facts *f, const bbl_admit_subject_facts *s)
{
    unsigned from = s->asked == 0 ? s->first : s->second;

    for (unsigned i = 0; i < f->grantors; i++) {
        unsigned at = (from + i) % f->grantors;

        if (((s->asked | f->silent) >> at & 1) == 0) {
            return at;
        }
    }
    return f->grantors;
}

/*
 * Returns until when the reply of the grantor asked last is awaited. The first
 * one asked has its whole time, even if the query was read late.
 */
static bbl_usec
get_reply_limit(const bbl_admit_facts *f, bbl_usec asked_at, bool first)
{
    bbl_usec timeout = f->target / REPLY_TIMEOUT_DIVISOR;
    bbl_usec until = f->arrived_at + f->target / WAIT_DIVISOR;
    bbl_usec limit =
        asked_at + (timeout < REPLY_TIMEOUT_US ? timeout : REPLY_TIMEOUT_US);

    return first || limit < until ? limit : until;
}

bbl_usec
bbl_admit_get_load_wait(const bbl_admit_facts *f)
{
    bbl_usec until = f->arrived_at + f->target / WAIT_DIVISOR;
    bbl_usec wait = until > f->now ? until - f->now : 0;

    return wait < LOAD_WAIT_MAX_US ? wait : LOAD_WAIT_MAX_US;
}

/*
 * Returns until when a query awaits the grantor that has queued it. The reply
 * that refuses it needs some time to arrive.
 */
static bbl_usec
get_queue_limit(const bbl_admit_facts *f, bbl_usec asked_at)
{
    bbl_usec until = f->arrived_at + f->target / WAIT_DIVISOR;
    bbl_usec most = asked_at + LOAD_WAIT_MAX_US;

    return (until < most ? until : most) + f->target / REPLY_MARGIN_DIVISOR;
}

/* Returns whether there is time to ask one more grantor. */
static bool
may_ask(const bbl_admit_facts *f, bbl_admit_subject subject)
{
    const bbl_admit_subject_facts *s = &f->subjects[subject];
    /* Once a grantor has refused, another host would be refused as well. No
     * query is passed on because of load. */
    bool is_last =
        f->last_host || s->refused != 0 || subject == BBL_ADMIT_LOAD;

    return (s->asked == 0 && !f->passed_on) ||
           f->now < f->arrived_at + f->target / (is_last ? WAIT_DIVISOR
                                                         : OWN_WAIT_DIVISOR);
}

/* Decides on one subject; returns false if it does not keep the query from
 * running. */
static bool
decide_subject(bbl_admit_decision *out, const bbl_admit_facts *f,
               bbl_admit_subject subject)
{
    const bbl_admit_subject_facts *s = &f->subjects[subject];

    if (!s->needed || s->admitted) {
        return false;
    }
    out->subject = subject;
    if (s->refused_for > 0 && s->asked == 0) {
        out->action = BBL_ADMIT_REFUSE;
        out->retry_after = s->retry_after;
        return true;
    }
    out->until = s->waits ? get_queue_limit(f, s->asked_at)
                          : get_reply_limit(f, s->asked_at, !s->asked_again);
    if (s->awaits_reply && f->now < out->until) {
        out->action = BBL_ADMIT_AWAIT;
        return true;
    }
    if (subject == BBL_ADMIT_LOAD && (s->refused != 0 || s->waits)) {
        out->action = BBL_ADMIT_REFUSE;
        out->retry_after = s->wait;
        return true;
    }
    out->timed_out = s->awaits_reply;
    out->grantor = choose_next(f, s);
    if (out->grantor < f->grantors && may_ask(f, subject)) {
        out->action = BBL_ADMIT_ASK;
        out->until = get_reply_limit(f, f->now, s->asked == 0);
        return true;
    }
    if (subject == BBL_ADMIT_LOAD) {
        return false;
    }
    out->action = s->refused != 0 ? BBL_ADMIT_REFUSE : BBL_ADMIT_UNANSWERED;
    out->retry_after = s->wait;
    out->may_delegate =
        !f->last_host && f->now < f->arrived_at + f->target / WAIT_DIVISOR;
    return true;
}

void
bbl_admit_decide(bbl_admit_decision *out, const bbl_admit_facts *f)
{
    memset(out, 0, sizeof(*out));
    for (int i = 0; i < BBL_ADMIT_SUBJECTS; i++) {
        if (decide_subject(out, f, (bbl_admit_subject)i)) {
            return;
        }
    }
    out->action = BBL_ADMIT_RUN;
}
