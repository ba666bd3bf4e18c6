#include "admission/pressure.h"

#include <math.h>

/* Parts that tell anything: those of one query to 90 shards. */
#define PARTS_MIN 90
/*
 * Least length of a window. A longer one would average over several queries:
 * some hosts would then never see the few refusals that remain while the other
 * hosts are limited, and go on without a limit.
 */
#define WINDOW_US (250 * BBL_USEC_PER_MS)
/* Older parts tell nothing about the load now. */
#define OUTDATED_US (2 * BBL_USEC_PER_SEC)
/* Share of refused parts above which there is pressure. */
#define REFUSED_SHARE 0.0125
/* How long pressure lasts after the last sign of it. */
#define ACTIVE_US (3 * BBL_USEC_PER_SEC)
/*
 * Share of refused parts above which a host does not wait for a grantor to
 * save work: until the grantor has limited the load, most queries fail.
 */
#define SAVE_SHARE 0.1
/*
 * Share of refused parts at which no extra attempt is sent: most would meet
 * full queues, and take the slots of first attempts. Below it extra attempts
 * are worth their work, as they find the servers that are not slow.
 */
#define NO_EXTRA_SHARE 0.1

/* An answer after more than this multiple of the usual time is late. */
#define LATE_RATIO 3.0
/*
 * Refusals tell of load if the share of late answers is at least this part of
 * the share of refused parts. With overload it is the whole or more on the
 * model and in measurements, with servers that refuse without being full a
 * third, as pauses cause late answers too.
 */
#define LATE_PER_REFUSED 0.5
/* Answers that tell whether servers are full, at least. */
#define ANSWERS_MIN 10.0
/* Decay time of the recent counts, and how often they decay. */
#define RECENT_US (3.0 * BBL_USEC_PER_SEC)
#define RECENT_STEP_US (20 * BBL_USEC_PER_MS)

static void
decay_recent(bbl_pressure *p, bbl_usec now)
{
    if (now >= p->recent_at + RECENT_STEP_US) {
        double decay = exp(-(double)(now - p->recent_at) / RECENT_US);

        p->recent_refused *= decay;
        p->recent_answered *= decay;
        p->recent_late *= decay;
        p->recent_at = now;
    }
}

void
bbl_pressure_record_time(bbl_pressure *p, bbl_usec now, double ratio,
                         bool answered)
{
    bool late = ratio > LATE_RATIO;

    if (late || answered) {
        decay_recent(p, now);
        p->recent_answered++;
        p->recent_late += late;
    }
}

bool
bbl_pressure_tells_load(const bbl_pressure *p)
{
    double finished = p->recent_answered + p->recent_refused;

    return p->recent_answered < ANSWERS_MIN ||
           p->recent_late * finished >=
               LATE_PER_REFUSED * p->recent_refused * p->recent_answered;
}

static void
advance_window(bbl_pressure *p, bbl_usec now)
{
    if (now > p->sent_at + OUTDATED_US) {
        p->previous = (bbl_pressure_window){0, 0};
        p->current = p->previous;
        p->started_at = now;
    }
    else if (p->current.sent >= PARTS_MIN &&
             now >= p->started_at + WINDOW_US) {
        p->previous = p->current;
        p->current = (bbl_pressure_window){0, 0};
        p->started_at = now;
    }
}

bool
bbl_pressure_record(bbl_pressure *p, bbl_usec now, uint32_t sent,
                    uint32_t refused)
{
    bool before = bbl_pressure_is_active(p, now);

    if (sent > 0) {
        advance_window(p, now);
        p->sent_at = now;
    }
    decay_recent(p, now);
    p->recent_refused += refused;
    p->current.sent += sent;
    p->current.refused += refused;
    if (refused > 0 &&
        bbl_pressure_get_refused_share(p, now) > REFUSED_SHARE) {
        p->active_until = now + ACTIVE_US;
        if (bbl_pressure_get_refused_share(p, now) > SAVE_SHARE) {
            bbl_pressure_set_limited(p, now + ACTIVE_US);
        }
    }
    return !before && bbl_pressure_is_active(p, now);
}

void
bbl_pressure_set_limited(bbl_pressure *p, bbl_usec until)
{
    p->limited_until = until > p->limited_until ? until : p->limited_until;
    p->active_until = until > p->active_until ? until : p->active_until;
}

bool
bbl_pressure_is_limited(const bbl_pressure *p, bbl_usec now)
{
    return now < p->limited_until;
}

bool
bbl_pressure_is_active(const bbl_pressure *p, bbl_usec now)
{
    return now < p->active_until;
}

double
bbl_pressure_get_refused_share(const bbl_pressure *p, bbl_usec now)
{
    double sent = p->current.sent;
    double refused = p->current.refused;

    if (sent < PARTS_MIN) {
        sent += p->previous.sent;
        refused += p->previous.refused;
    }
    if (sent < PARTS_MIN || now > p->sent_at + OUTDATED_US ||
        !bbl_pressure_tells_load(p)) {
        return 0;
    }
    return refused < sent ? refused / sent : 1;
}

double
bbl_pressure_get_extra_share(const bbl_pressure *p, bbl_usec now)
{
    double refused = bbl_pressure_get_refused_share(p, now);

    if (!bbl_pressure_is_limited(p, now)) {
        return 1;
    }
    return refused < NO_EXTRA_SHARE ? 1 - refused / NO_EXTRA_SHARE : 0;
}
