#include "version_behaviour.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "bbl/errors.h"

#define DEFAULT_BAD_PERCENT 50
#define BAD_PERCENT_MAX 100
#define AFTER_S_MAX 3600
#define REQUESTS_MAX 100000
#define SLOW_FACTOR_MAX 1000

/* The field that each kind requires; NULL for none. */
static const struct {
    const char *name;
    const char *required;
} kinds[VERSION_TRIGGERS] = {
    [VERSION_GOOD] = {"good", NULL},
    [VERSION_BAD_AT_ONCE] = {"bad-at-once", NULL},
    [VERSION_BAD_LATE] = {"bad-late", "after-s"},
    [VERSION_BAD_ROUTE] = {"bad-route", "path"},
    [VERSION_BAD_LOAD] = {"bad-load", "requests"},
};

/* Parses a number of at least `min` and at most `max`. */
static bool
parse_number(double *out, const char *text, double min, double max)
{
    char *end;

    *out = g_ascii_strtod(text, &end);
    return end != text && *end == '\0' && *out >= min && *out <= max;
}

/* Copies a text that is not empty and fits. */
static bool
copy_text(char *out, size_t size, const char *text)
{
    return *text != '\0' && g_strlcpy(out, text, size) < size;
}

static bool
parse_kind(version_behaviour *out, const char *text)
{
    for (int i = 0; i < VERSION_TRIGGERS; i++) {
        if (strcmp(kinds[i].name, text) == 0) {
            out->trigger = (version_trigger)i;
            return true;
        }
    }
    return false;
}

static bool
parse_field(version_behaviour *out, const char *name, const char *value)
{
    const char *required = kinds[out->trigger].required;
    double number;

    if (strcmp(name, "share") == 0 && out->trigger != VERSION_GOOD) {
        if (!parse_number(&number, value, 1, BAD_PERCENT_MAX)) {
            return false;
        }
        out->bad_percent = (unsigned)number;
        return true;
    }
    if (strcmp(name, "slow") == 0 && out->trigger != VERSION_GOOD) {
        return parse_number(&out->slow_factor, value, 1, SLOW_FACTOR_MAX);
    }
    if (required == NULL || strcmp(name, required) != 0) {
        return false;
    }
    if (out->trigger == VERSION_BAD_ROUTE) {
        return copy_text(out->path, sizeof(out->path), value);
    }
    if (!parse_number(&number, value, 1,
                      out->trigger == VERSION_BAD_LATE ? AFTER_S_MAX
                                                       : REQUESTS_MAX)) {
        return false;
    }
    if (out->trigger == VERSION_BAD_LATE) {
        out->good_for = (bbl_usec)(number * BBL_USEC_PER_SEC);
    }
    else {
        out->bad_from = (unsigned)number;
    }
    return true;
}

int
version_behaviour_parse(version_behaviour *out, const char *text)
{
    char **halves = g_strsplit(text, "=", 2);
    char **parts =
        g_strsplit(halves[0] && halves[1] ? halves[1] : "", ",", -1);
    bool has_required;
    bool valid;

    memset(out, 0, sizeof(*out));
    out->bad_percent = DEFAULT_BAD_PERCENT;
    valid = parts[0] != NULL &&
            copy_text(out->version, sizeof(out->version), halves[0]) &&
            parse_kind(out, parts[0]);
    has_required = valid && kinds[out->trigger].required == NULL;
    for (int i = 1; valid && parts[i] != NULL; i++) {
        char **field = g_strsplit(parts[i], "=", 2);

        valid = field[0] != NULL && field[1] != NULL &&
                parse_field(out, field[0], field[1]);
        has_required =
            has_required ||
            (valid && strcmp(field[0], kinds[out->trigger].required) == 0);
        g_strfreev(field);
    }
    g_strfreev(parts);
    g_strfreev(halves);
    return valid && has_required
               ? 0
               : bbl_error_set(BBL_EINVAL, "invalid behaviour \"%s\"", text);
}

/* Returns whether a request, which is counted already, meets a bad version. */
static bool
is_bad(const version_behaviour *b, bbl_usec now, bbl_str path)
{
    size_t prefix = strlen(b->path);

    switch (b->trigger) {
    case VERSION_BAD_AT_ONCE:
        return true;
    case VERSION_BAD_LATE:
        return now >= b->first_at + b->good_for;
    case VERSION_BAD_ROUTE:
        return path.size >= prefix && memcmp(path.ptr, b->path, prefix) == 0;
    case VERSION_BAD_LOAD:
        return b->in_progress >= b->bad_from;
    default:
        return false;
    }
}

version_effect
version_behaviour_start(version_behaviour *b, bbl_rng *rng, bbl_usec now,
                        bbl_str path)
{
    if (!b->started) {
        b->started = true;
        b->first_at = now;
    }
    b->in_progress++;
    if (!is_bad(b, now, path) ||
        bbl_rng_below(rng, BAD_PERCENT_MAX) >= b->bad_percent) {
        return VERSION_ANSWERS;
    }
    return b->slow_factor > 0 ? VERSION_IS_SLOW : VERSION_FAILS;
}

void
version_behaviour_end(version_behaviour *b)
{
    b->in_progress--;
}
