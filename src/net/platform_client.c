#include "net/platform_client.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "bbl/errors.h"
#include "net/address.h"
#include "bbl/types.h"
#include "util/alloc.h"
#include "util/log.h"

#define LIST_MAX_BYTES (64u << 20)
#define FETCH_TIMEOUT_US (400 * BBL_USEC_PER_MS)
#define SLOTS_MAX 1024
#define CONNECTIONS_MAX 65536

struct bbl_platform_client {
    bbl_http_client *http;
    char *url;
    bbl_usec every;
    bbl_usec next;
    bool fetching;
    bool complained;
    void (*places)(void *ctx, const bblx_place *places, size_t count);
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
take_name(bblx_name *out, const char *text)
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
    if (take_name(&p->service, service) != 0 ||
        take_name(&p->zone, zone) != 0 ||
        bbl_address_parse(&p->address, address) != 0) {
        return BBL_EDAMAGED;
    }
    return 0;
}

int
bbl_places_parse(bbl_vec *places, bbl_str body)
{
    json_t *root = json_loadb(body.ptr ? body.ptr : "", body.size, 0, NULL);
    json_t *list = json_object_get(root, "searchers");
    size_t n = json_array_size(list);
    int error = n > 0 ? 0 : BBL_EDAMAGED;

    for (size_t i = 0; error == 0 && i < n; i++) {
        error = parse_place(places, json_array_get(list, i));
        if (error != 0) {
            bbl_error_set(error, "row %zu of the platform's list", i);
        }
    }
    if (n == 0) {
        bbl_error_set(error, "the platform's list is empty or no list");
    }
    if (error != 0) {
        bbl_places_clear(places);
    }
    json_decref(root);
    return error;
}

static void
complain(bbl_platform_client *c, const char *reason)
{
    if (!c->complained) {
        bbl_log(BBL_EV_PLATFORM, "reason=\"%s\"", reason);
    }
    c->complained = true;
}

static void
on_list(void *ctx, const bbl_http_response *r)
{
    bbl_platform_client *c = ctx;
    bbl_vec places = BBL_VEC_INIT(bblx_place);

    c->fetching = false;
    if (r->end != BBL_HTTP_DONE || r->status != 200) {
        complain(c, "no answer");
    }
    else if (bbl_places_parse(&places, r->body) != 0) {
        complain(c, bbl_error_last());
    }
    else {
        c->complained = false;
        c->places(c->ctx, places.ptr, places.size);
    }
    bbl_places_clear(&places);
    bbl_vec_free(&places);
}

void
bbl_platform_client_new(bbl_platform_client **out, bbl_http_client *http,
                        const char *url, bbl_usec every,
                        void (*places)(void *ctx, const bblx_place *places,
                                       size_t count),
                        void *ctx)
{
    bbl_platform_client *c = bbl_calloc(1, sizeof(*c));

    c->http = http;
    c->url = bbl_memdup(url, strlen(url));
    c->every = every;
    c->places = places;
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

    if (c->fetching || now < c->next) {
        return;
    }
    c->next = now + c->every;
    memset(&r, 0, sizeof(r));
    r.url = c->url;
    r.timeout = FETCH_TIMEOUT_US;
    r.response_max = LIST_MAX_BYTES;
    r.done = on_list;
    r.ctx = c;
    c->fetching = bbl_http_request_start(&handle, c->http, &r) == 0;
}
