#include "net/platform_client.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "bbl/errors.h"
#include "net/address.h"
#include "bbl/types.h"
#include "net/json_rows.h"
#include "util/alloc.h"
#include "util/log.h"

#define LIST_MAX_BYTES (64u << 20)
#define FETCH_TIMEOUT_US (400 * BBL_USEC_PER_MS)
#define SLOTS_MAX 1024
#define CONNECTIONS_MAX 65536

struct bbl_platform_client {
    bbl_http_client *http;
    char *url;
    bbl_usec fetch_interval;
    bbl_usec next_fetch;
    bool fetching;
    bool failure_logged;
    size_t skipped; /* rows of the last list that name no searcher */
    void (*on_places)(void *ctx, const bblx_place *places, size_t count);
    void *ctx;
};

void
bbl_places_clear(bbl_vec *places)
{
    for (size_t i = 0; i < places->size; i++) {
        BBL_XDR_FREE(bblx_place, bbl_vec_at(places, i));
    }
    places->size = 0;
}

static int
copy_name(bblx_name *out, const char *text)
{
    size_t n = strlen(text);

    if (n == 0 || n > BBL_NAME_MAX) {
        return BBL_EDAMAGED;
    }
    out->bblx_name_len = (u_int)n;
    out->bblx_name_val = bbl_memdup(text, n);
    return 0;
}

static int
parse_place(bbl_vec *places, json_t *row)
{
    json_int_t id;
    const char *service;
    const char *zone;
    const char *address;
    const char *state;
    int slots;
    int connections;
    bblx_place *p;

    if (json_unpack(row, "{s:I, s:s, s:s, s:s, s:i, s:i, s:s}", "id", &id,
                    "service", &service, "data_centre", &zone, "address",
                    &address, "slots", &slots, "connections", &connections,
                    "state", &state) != 0 ||
        id < 1 || id > UINT32_MAX || slots < 1 || slots > SLOTS_MAX ||
        connections < 1 || connections > CONNECTIONS_MAX) {
        return BBL_EDAMAGED;
    }
    p = bbl_vec_add(places);
    p->searcher = (u_int)id;
    p->slots = (u_int)slots;
    p->connections = (u_int)connections;
    p->leaving = strcmp(state, "live") != 0;
    if (copy_name(&p->service, service) != 0 ||
        copy_name(&p->zone, zone) != 0 ||
        bbl_address_parse(&p->address, address) != 0) {
        return BBL_EDAMAGED;
    }
    return 0;
}

/* Adds a row to the list; returns false if it names no searcher. */
static bool
add_row(bbl_vec *places, bbl_str text)
{
    json_t *row = json_loadb(text.ptr, text.size, 0, NULL);
    size_t before = places->size;
    bool added = parse_place(places, row) == 0;

    if (!added && places->size > before) {
        BBL_XDR_FREE(bblx_place, bbl_vec_at(places, before));
        places->size = before;
    }
    json_decref(row);
    return added;
}

int
bbl_places_parse(bbl_vec *places, size_t *skipped, bbl_str body)
{
    bbl_json_rows rows;
    bbl_str list;
    bbl_str text;

    *skipped = 0;
    if (bbl_json_find_member(&list, body, "searchers") == 0 &&
        bbl_json_rows_open(&rows, list) == 0) {
        while (bbl_json_rows_next(&rows, &text)) {
            *skipped += !add_row(places, text);
        }
        if (rows.complete && places->size > 0) {
            return 0;
        }
    }
    bbl_places_clear(places);
    return bbl_error_set(BBL_EDAMAGED,
                         "the platform's list names no searcher (%zu rows "
                         "skipped)",
                         *skipped);
}

static void
log_failure(bbl_platform_client *c, const char *reason)
{
    if (!c->failure_logged) {
        bbl_log(BBL_EV_PLATFORM, "reason=\"%s\"", reason);
    }
    c->failure_logged = true;
}

static void
log_skipped(bbl_platform_client *c, size_t count, size_t skipped)
{
    if (skipped != c->skipped) {
        bbl_log(BBL_EV_CATALOG, "servers=%zu skipped=%zu", count, skipped);
    }
    c->skipped = skipped;
}

static void
on_response(void *ctx, const bbl_http_response *r)
{
    bbl_platform_client *c = ctx;
    bbl_vec places = BBL_VEC_INIT(bblx_place);
    size_t skipped;

    c->fetching = false;
    if (r->end != BBL_HTTP_DONE || r->status != 200) {
        log_failure(c, "no response with status 200");
    }
    else if (bbl_places_parse(&places, &skipped, r->body) != 0) {
        log_failure(c, bbl_error_last());
    }
    else {
        log_skipped(c, places.size, skipped);
        c->failure_logged = false;
        c->on_places(c->ctx, places.ptr, places.size);
    }
    bbl_places_clear(&places);
    bbl_vec_free(&places);
}

void
bbl_platform_client_new(bbl_platform_client **out, bbl_http_client *http,
                        const char *url, bbl_usec fetch_interval,
                        void (*on_places)(void *ctx, const bblx_place *places,
                                          size_t count),
                        void *ctx)
{
    bbl_platform_client *c = bbl_calloc(1, sizeof(*c));

    c->http = http;
    c->url = bbl_memdup(url, strlen(url));
    c->fetch_interval = fetch_interval;
    c->on_places = on_places;
    c->ctx = ctx;
    *out = c;
}

void
bbl_platform_client_free(bbl_platform_client *c)
{
    if (c != NULL) {
        free(c->url);
        free(c);
    }
}

void
bbl_platform_client_tick(bbl_platform_client *c, bbl_usec now)
{
    bbl_http_request r;
    void *handle;

    if (c->fetching || now < c->next_fetch) {
        return;
    }
    c->next_fetch = now + c->fetch_interval;
    memset(&r, 0, sizeof(r));
    r.url = c->url;
    r.timeout = FETCH_TIMEOUT_US;
    r.response_max = LIST_MAX_BYTES;
    r.done = on_response;
    r.ctx = c;
    c->fetching = bbl_http_request_start(&handle, c->http, &r) == 0;
}
