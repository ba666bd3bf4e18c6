#include "policy/observer.h"

#include <stdlib.h>
#include <string.h>

#include "util/alloc.h"

#define SERVICE_SHIFT 3         /* weight of a new service time, 1/8 */
#define SERVICE_UNKNOWN_US 1000 /* until a searcher has answered */
#define HELD_UP_US 25000u       /* a later watch was itself held up */
#define SUSPECT_PART 3          /* suspects that count, one in so many */

typedef struct {
    uint32_t backlog;    /* as last told by the owner */
    uint32_t sent_since; /* by this host after that */
    bbl_usec told;
    uint32_t service_us;
} searcher_row;

typedef struct {
    bbl_usec asked; /* first request since it was heard; 0: none */
    bool suspect;
} owner_row;

static searcher_row *
searcher_of(bbl_observer *o, uint32_t searcher)
{
    searcher_row *row = bbl_map_get(&o->searchers, searcher);

    if (row == NULL) {
        row = bbl_calloc(1, sizeof(*row));
        bbl_map_set(&o->searchers, searcher, row);
    }
    return row;
}

static owner_row *
owner_of(bbl_observer *o, uint32_t host)
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
    searcher_row *row = searcher_of(o, load->searcher);

    row->backlog = load->backlog;
    row->sent_since = 0;
    row->told = now;
}

void
bbl_observer_add_service_time(bbl_observer *o, uint32_t searcher, uint32_t us)
{
    searcher_row *row = searcher_of(o, searcher);
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
    searcher_of(o, searcher)->sent_since++;
}

/*
 * Returns the requests expected ahead of a new one: what was told, less what
 * the searcher has worked off since, and what this host has added.
 */
static double
expected_backlog(const searcher_row *row, double limit, double service,
                 bbl_usec now)
{
    double left = row->backlog - (double)(now - row->told) * limit / service;

    return (left > 0 ? left : 0) + row->sent_since;
}

double
bbl_observer_expected_wait(bbl_observer *o, bbl_usec now,
                           const bbl_view_searcher *s)
{
    const searcher_row *row = searcher_of(o, s->searcher);
    double limit = s->limit ? s->limit : 1;
    double service = row->service_us ? row->service_us : SERVICE_UNKNOWN_US;

    return (expected_backlog(row, limit, service, now) + 1) / limit * service;
}

void
bbl_observer_record_request(bbl_observer *o, bbl_usec now, uint32_t host)
{
    owner_row *row = owner_of(o, host);

    if (row->asked == 0) {
        row->asked = now;
    }
}

void
bbl_observer_record_response(bbl_observer *o, uint32_t host)
{
    owner_row *row = owner_of(o, host);

    row->asked = 0;
    if (row->suspect) {
        row->suspect = false;
        o->suspect_count--;
    }
}

unsigned
bbl_observer_check_silence(bbl_observer *o, bbl_usec now, bbl_usec silence)
{
    bool held_up = o->checked_at != 0 && now > o->checked_at + HELD_UP_US;
    unsigned found = 0;
    owner_row *row;
    size_t pos = 0;

    o->checked_at = now;
    while ((row = bbl_map_next(&o->owners, &pos)) != NULL) {
        if (row->asked == 0 || row->suspect) {
            continue;
        }
        if (held_up) {
            row->asked = now; /* its answer may just be unread */
        }
        else if (now > row->asked + silence) {
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
    return owner_of(o, host)->suspect &&
           o->suspect_count * SUSPECT_PART <= o->owners.size;
}
