#include "policy/observer.h"

#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"

#define SERVICE_SHIFT 3          /* weight of a new service time: 1/8 */
#define SERVICE_UNKNOWN_US 1000  /* assumed until a searcher has answered */
#define SUSPECTS_LIMIT_DIVISOR 3 /* suspects are ignored above 1 in 3 */

typedef struct {
    uint32_t backlog;    /* requests queued or running, by the last report */
    uint32_t sent_since; /* sub-requests sent by this host since that report */
    bbl_usec reported_at; /* time of the last report */
    uint32_t service_us;  /* moving average; 0: unknown */
} searcher_row;

typedef struct {
    /* Time of the first unanswered request, moved on by the time in which this
     * host was delayed; 0: none */
    bbl_usec waiting_since;
    bool suspect;
} owner_row;

static searcher_row *
get_searcher(bbl_observer *o, uint32_t searcher)
{
    searcher_row *row = bbl_map_get(&o->searchers, searcher);

    if (row == NULL) {
        row = bbl_calloc(1, sizeof(*row));
        bbl_map_set(&o->searchers, searcher, row);
    }
    return row;
}

static owner_row *
get_owner(bbl_observer *o, uint32_t host)
{
    owner_row *row = bbl_map_get(&o->owners, host);

    if (row == NULL) {
        row = bbl_calloc(1, sizeof(*row));
        bbl_map_set(&o->owners, host, row);
    }
    return row;
}

void
bbl_observer_init(bbl_observer *o)
{
    memset(o, 0, sizeof(*o));
}

static void
free_rows(bbl_map *map)
{
    size_t pos = 0;
    void *row;

    while ((row = bbl_map_next(map, &pos)) != NULL) {
        free(row);
    }
    bbl_map_free(map);
}

void
bbl_observer_free(bbl_observer *o)
{
    free_rows(&o->searchers);
    free_rows(&o->owners);
}

void
bbl_observer_update_backlog(bbl_observer *o, bbl_usec now,
                            const bblx_load *load)
{
    searcher_row *row = get_searcher(o, load->searcher);

    row->backlog = load->backlog;
    row->sent_since = 0;
    row->reported_at = now;
}

void
bbl_observer_add_service_time(bbl_observer *o, uint32_t searcher, uint32_t us)
{
    searcher_row *row = get_searcher(o, searcher);
    int64_t diff = (int64_t)us - row->service_us;

    if (row->service_us == 0) {
        row->service_us = us;
        return;
    }
    row->service_us =
        (uint32_t)(row->service_us + diff / (1 << SERVICE_SHIFT));
}

void
bbl_observer_record_send(bbl_observer *o, uint32_t searcher)
{
    get_searcher(o, searcher)->sent_since++;
}

/*
 * Returns the number of requests expected ahead of a new one: the reported
 * backlog, less what the searcher has completed since, plus what this host has
 * sent since.
 */
static double
expected_backlog(const searcher_row *row, double limit, double service,
                 bbl_usec now)
{
    double left =
        row->backlog - (double)(now - row->reported_at) * limit / service;

    return (left > 0 ? left : 0) + row->sent_since;
}

double
bbl_observer_expected_wait(bbl_observer *o, bbl_usec now,
                           const bbl_view_searcher *s)
{
    const searcher_row *row = get_searcher(o, s->searcher);
    double limit = s->limit ? s->limit : 1;
    double service = row->service_us ? row->service_us : SERVICE_UNKNOWN_US;

    return (expected_backlog(row, limit, service, now) + 1) / limit * service;
}

void
bbl_observer_record_request(bbl_observer *o, bbl_usec now, uint32_t host)
{
    owner_row *row = get_owner(o, host);

    if (row->waiting_since == 0) {
        row->waiting_since = now;
    }
}

void
bbl_observer_record_response(bbl_observer *o, uint32_t host)
{
    owner_row *row = get_owner(o, host);

    row->waiting_since = 0;
    if (row->suspect) {
        row->suspect = false;
        o->suspect_count--;
    }
}

unsigned
bbl_observer_check_silence(bbl_observer *o, bbl_usec now, bbl_usec silence)
{
    bbl_usec checked_before = o->checked_at;
    bool delayed = checked_before != 0 && now > checked_before + silence;
    unsigned found = 0;
    owner_row *row;
    size_t pos = 0;

    o->checked_at = now;
    while ((row = bbl_map_next(&o->owners, &pos)) != NULL) {
        if (row->waiting_since == 0 || row->suspect) {
            continue;
        }
        if (delayed) {
            /* The response may not have been read yet. Time observed before
             * the delay still counts, or repeated delays would hide a silent
             * owner without bound. */
            row->waiting_since +=
                now - (row->waiting_since > checked_before ? row->waiting_since
                                                           : checked_before);
        }
        else if (now > row->waiting_since + silence) {
            row->suspect = true;
            o->suspect_count++;
            found++;
        }
    }
    return found;
}

bool
bbl_observer_is_suspect(bbl_observer *o, uint32_t host)
{
    return get_owner(o, host)->suspect &&
           o->suspect_count * SUSPECTS_LIMIT_DIVISOR <= o->owners.size;
}
