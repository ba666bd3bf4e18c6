#include "net/delegation_field.h"

#include <string.h>
#include <strings.h>

#include "bbl/errors.h"

/*
 * Hosts that know no organisations run a query only if their routing has the
 * version of the key "routing", and no routing has version 0. The version of a
 * query of an organisation therefore has a key of its own.
 */
#define ROUTING_KEY "routing"
#define ORGANISATION_ROUTING_KEY "org_routing"
#define ORGANISATION_KEY "org"

static bool
equals_nocase(bbl_str name, const char *field)
{
    return name.size == strlen(field) &&
           strncasecmp(name.ptr, field, name.size) == 0;
}

bool
bbl_delegation_is_field(bbl_str name)
{
    return equals_nocase(name, BBL_DELEGATED_FIELD) ||
           equals_nocase(name, BBL_OUTCOME_FIELD);
}

/*
 * Finds the value of `key` in a list of "key=value" pairs, which are separated
 * by spaces. Returns an empty string if there is none.
 */
static bbl_str
find_value(bbl_str text, const char *key)
{
    size_t n = strlen(key);
    size_t at = 0;

    while (at < text.size) {
        const char *end = memchr(text.ptr + at, ' ', text.size - at);
        size_t size =
            end != NULL ? (size_t)(end - text.ptr) - at : text.size - at;

        if (size > n && memcmp(text.ptr + at, key, n) == 0 &&
            text.ptr[at + n] == '=') {
            return (bbl_str){text.ptr + at + n + 1, size - n - 1};
        }
        at += size + 1;
    }
    return (bbl_str){"", 0};
}

/*
 * Splits off the name of the organisation, which may contain spaces and
 * therefore comes last. Returns an empty string if there is none.
 */
static bbl_str
take_organisation(bbl_str *text)
{
    static const char start[] = " " ORGANISATION_KEY "=";
    size_t n = sizeof(start) - 1;
    const char *at =
        text->size > n ? memmem(text->ptr, text->size, start, n) : NULL;
    bbl_str name = {"", 0};

    if (at != NULL) {
        name.ptr = at + n;
        name.size = text->size - (size_t)(name.ptr - text->ptr);
        text->size = (size_t)(at - text->ptr);
    }
    return name;
}

/* Parses the unsigned number of a pair; at most `max`. */
static int
read_number(uint64_t *out, bbl_str text, const char *key, uint64_t max)
{
    bbl_str value = find_value(text, key);
    uint64_t n = 0;

    for (size_t i = 0; i < value.size; i++) {
        unsigned digit = (unsigned)(unsigned char)value.ptr[i] - '0';

        if (digit > 9 || n > (UINT64_MAX - digit) / 10) {
            return bbl_error_set(BBL_EDAMAGED, "%s: %s is no number",
                                 BBL_DELEGATED_FIELD, key);
        }
        n = n * 10 + digit;
    }
    if (value.size == 0 || n > max) {
        return bbl_error_set(BBL_EDAMAGED, "%s: %s is missing or too large",
                             BBL_DELEGATED_FIELD, key);
    }
    *out = n;
    return 0;
}

void
bbl_delegated_append(bbl_buf *out, const bbl_delegated *d)
{
    bbl_buf_printf(
        out,
        BBL_DELEGATED_FIELD
        ": host=%u elapsed_us=%llu round_trip_us=%llu attempts=%u " ROUTING_KEY
        "=%llu",
        d->host, (unsigned long long)d->elapsed,
        (unsigned long long)d->round_trip, d->attempts,
        d->organisation.size > 0 ? 0ull
                                 : (unsigned long long)d->routing_version);
    if (d->organisation.size > 0) {
        bbl_buf_printf(out, " " ORGANISATION_ROUTING_KEY "=%llu",
                       (unsigned long long)d->routing_version);
    }
    if (d->admitted) {
        bbl_buf_printf(out, " admitted_us=%llu",
                       (unsigned long long)d->admitted_for);
    }
    if (d->service.size > 0) {
        bbl_buf_printf(out, " service=%.*s", (int)d->service.size,
                       d->service.ptr);
    }
    if (d->organisation.size > 0) {
        bbl_buf_printf(out, " " ORGANISATION_KEY "=%.*s",
                       (int)d->organisation.size, d->organisation.ptr);
    }
    bbl_buf_append_cstr(out, "\r\n");
}

int
bbl_delegated_read(bbl_delegated *out, const bbl_http_message *request)
{
    bbl_str text = bbl_http_message_field(request, BBL_DELEGATED_FIELD);
    uint64_t host = 0;
    uint64_t attempts = 0;
    int error;

    memset(out, 0, sizeof(*out));
    out->organisation = take_organisation(&text);
    error = read_number(&host, text, "host", UINT32_MAX);
    if (error == 0 && host == 0) {
        error =
            bbl_error_set(BBL_EDAMAGED, "%s: host is 0", BBL_DELEGATED_FIELD);
    }
    if (error == 0) {
        error = read_number(&out->elapsed, text, "elapsed_us", UINT32_MAX);
    }
    if (error == 0) {
        error =
            read_number(&out->round_trip, text, "round_trip_us", UINT32_MAX);
    }
    if (error == 0) {
        error = read_number(&attempts, text, "attempts", UINT32_MAX);
    }
    if (error == 0) {
        error =
            read_number(&out->routing_version, text,
                        out->organisation.size > 0 ? ORGANISATION_ROUTING_KEY
                                                   : ROUTING_KEY,
                        UINT64_MAX);
    }
    out->admitted = find_value(text, "admitted_us").size > 0;
    if (error == 0 && out->admitted) {
        error =
            read_number(&out->admitted_for, text, "admitted_us", UINT32_MAX);
    }
    out->host = (uint32_t)host;
    out->attempts = (unsigned)attempts;
    out->service = find_value(text, "service");
    return error;
}

void
bbl_delegation_outcome_append(bbl_buf *out, const bbl_delegation_outcome *o)
{
    bbl_buf_printf(out, BBL_OUTCOME_FIELD ": reason=%s reach=%s attempts=%u",
                   bbl_forward_reason_name(o->reason),
                   bbl_reach_level_name(o->reach), o->attempts);
    if (o->leaving != 0) {
        bbl_buf_printf(out, " leaving=%llu", (unsigned long long)o->leaving);
    }
    bbl_buf_append_cstr(out, "\r\n");
}

int
bbl_delegation_outcome_read(bbl_delegation_outcome *out,
                            const bbl_http_message *response)
{
    bbl_str text = bbl_http_message_field(response, BBL_OUTCOME_FIELD);
    uint64_t attempts = 0;

    if (read_number(&attempts, text, "attempts", UINT32_MAX) != 0 ||
        bbl_forward_reason_parse(&out->reason, find_value(text, "reason")) !=
            0 ||
        bbl_reach_level_parse(&out->reach, find_value(text, "reach")) != 0) {
        return bbl_error_set(BBL_EDAMAGED, "no valid %s", BBL_OUTCOME_FIELD);
    }
    out->attempts = (unsigned)attempts;
    out->leaving = 0;
    return find_value(text, "leaving").size == 0
               ? 0
               : read_number(&out->leaving, text, "leaving", UINT64_MAX);
}
