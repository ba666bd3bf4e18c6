#include "forward/server_health.h"

#include <math.h>

#include "util/map.h"

#define REPORTER_SEED 97
#define REPORTER_MASK 0xffffu
/* A server is slow from this many times the usual time of the route on. */
#define LATE_SERVICE_TIMES 3
/* Shorter delays come from the host and the network alone. */
#define LATE_MIN_US (30 * BBL_USEC_PER_MS)
/* Up to this many times the usual time a server is well. Times in between say
 * nothing. */
#define USUAL_SERVICE_TIMES 2
#define USUAL_MIN_US (15 * BBL_USEC_PER_MS)
/*
 * Time from a suspicion to its confirmation. An attempt that meets the same
 * pause, of up to 250 ms, is answered before: the suspicion comes three
 * service times after the begin of the pause, and the queue behind it is
 * worked off in about that time.
 */
#define CONFIRM_AFTER_US (300 * BBL_USEC_PER_MS)
/* Servers pause every 2.4 s or less often: two pauses must not count. */
#define SUSPECT_US (1500 * BBL_USEC_PER_MS)
#define BAD_US (2 * BBL_USEC_PER_SEC)
/* A rating is confirmed again when it is this old. */
#define RENEW_AFTER_US (400 * BBL_USEC_PER_MS)
/*
 * A late attempt shows only a lower bound of the time of its server. Servers
 * that turn slow take 7 to 12 times as long as usual.
 */
#define SLOWNESS_MIN 8
#define SLOWNESS_MAX 20
/* Of a server that fails; it may answer some attempts. */
#define FAILING_LOSS 0.9
/* Evidence is counted over about this time. */
#define WITNESS_HALF_LIFE_US (1 * BBL_USEC_PER_SEC)
/*
 * Good evidence for each piece of bad evidence, at least: up to 60% of the
 * servers may be bad at once. Deployments with half of them bad were measured.
 */
#define GOOD_PER_BAD (2.0 / 3)
/* Rows that suspicions leave for confirmations and recoveries. */
#define ROWS_RESERVED 8

const char *
bbl_health_level_name(bbl_health_level level)
{
    static const char *const names[] = {"well", "suspect", "bad"};

    return names[level];
}

const char *
bbl_health_cause_name(bbl_health_cause cause)
{
    static const char *const names[] = {"slow", "failing", "silent",
                                        "refusing"};

    return names[cause];
}

uint32_t
bbl_health_make_reporter(uint64_t seed)
{
    return (uint32_t)bbl_hash(&seed, sizeof(seed), REPORTER_SEED) &
           REPORTER_MASK;
}

bbl_usec
bbl_health_get_late_time(bbl_usec service_time)
{
    bbl_usec late = LATE_SERVICE_TIMES * service_time;

    return late < LATE_MIN_US ? LATE_MIN_US : late;
}

bool
bbl_health_is_usual_time(bbl_usec duration, bbl_usec service_time)
{
    return duration <= USUAL_MIN_US ||
           duration <= USUAL_SERVICE_TIMES * service_time;
}

/* ---- the state of a server ---- */

bbl_health_level
bbl_server_health_get_level(const bbl_server_health *h, bbl_usec now)
{
    return now < h->until ? h->level : BBL_HEALTH_WELL;
}

void
bbl_server_health_apply(bbl_server_health *h, bbl_usec now,
                        const bbl_observed_health *o)
{
    bbl_health_level before = bbl_server_health_get_level(h, now);

    if (o->serial != 0) {
        if (o->serial <= h->serial) {
            return;
        }
        h->serial = o->serial;
    }
    /* Several hosts may suspect a server at once: the first one counts. A late
     * suspicion does not end a rating. */
    if (o->level == BBL_HEALTH_SUSPECT && before != BBL_HEALTH_WELL) {
        return;
    }
    h->level = o->level;
    h->cause = o->cause;
    h->slowness = o->slowness;
    h->reporter = o->reporter;
    h->until = 0;
    if (o->level != BBL_HEALTH_WELL) {
        h->learned_at = before != o->level ? now : h->learned_at;
        h->confirmed_at = now;
        h->until = now + (o->level == BBL_HEALTH_BAD ? BAD_US : SUSPECT_US);
    }
}

bool
bbl_server_health_judge_bad(bbl_observed_health *out,
                            const bbl_server_health *h, bbl_usec now,
                            uint32_t self, const bbl_health_evidence *e)
{
    bbl_health_level level = bbl_server_health_get_level(h, now);

    *out = (bbl_observed_health){0,        0,           BBL_HEALTH_BAD,
                                 e->cause, e->slowness, self};
    if (level == BBL_HEALTH_WELL) {
        out->level = BBL_HEALTH_SUSPECT;
        return true;
    }
    if (level == BBL_HEALTH_BAD) {
        return now >= h->confirmed_at + RENEW_AFTER_US &&
               e->sent_at >= h->learned_at;
    }
    return h->reporter != self && now >= h->learned_at + CONFIRM_AFTER_US &&
           e->sent_at >= h->learned_at;
}

bool
bbl_server_health_judge_good(bbl_observed_health *out,
                             const bbl_server_health *h, bbl_usec now,
                             uint32_t self, bbl_usec sent_at)
{
    *out = (bbl_observed_health){0, 0, BBL_HEALTH_WELL, h->cause, 0, self};
    return bbl_server_health_get_level(h, now) != BBL_HEALTH_WELL &&
           sent_at >= h->learned_at;
}

double
bbl_server_health_get_slowness(const bbl_server_health *h, bbl_usec now)
{
    if (bbl_server_health_get_level(h, now) != BBL_HEALTH_BAD ||
        h->cause != BBL_HEALTH_SLOW) {
        return 1;
    }
    return h->slowness < SLOWNESS_MIN   ? SLOWNESS_MIN
           : h->slowness > SLOWNESS_MAX ? SLOWNESS_MAX
                                        : h->slowness;
}

double
bbl_server_health_get_loss(const bbl_server_health *h, bbl_usec now)
{
    if (bbl_server_health_get_level(h, now) != BBL_HEALTH_BAD ||
        h->cause == BBL_HEALTH_SLOW) {
        return 0;
    }
    return h->cause == BBL_HEALTH_FAILING ? FAILING_LOSS : 1;
}

/* ---- the evidence of this host ---- */

void
bbl_health_witness_count(bbl_health_witness *w, bbl_usec now, bool good)
{
    double decay =
        now > w->counted_at
            ? exp2(-(double)(now - w->counted_at) / WITNESS_HALF_LIFE_US)
            : 1;

    w->good = w->good * decay + (good ? 1 : 0);
    w->bad = w->bad * decay + (good ? 0 : 1);
    w->counted_at = now;
}

bool
bbl_health_witness_is_credible(const bbl_health_witness *w)
{
    return w->good >= GOOD_PER_BAD * w->bad;
}

bool
bbl_health_witness_take_row(bbl_health_witness *w, bbl_usec now,
                            bbl_health_level level)
{
    unsigned behind = level == BBL_HEALTH_SUSPECT ? ROWS_RESERVED : 0;
    /* When the row was sent that would have to be a second old. */
    bbl_usec earlier = w->sent_at[(w->sent + behind) % BBL_HEALTH_ROWS_PER_S];

    if (earlier != 0 && now < earlier + BBL_USEC_PER_SEC) {
        return false;
    }
    w->sent_at[w->sent++ % BBL_HEALTH_ROWS_PER_S] = now;
    return true;
}
