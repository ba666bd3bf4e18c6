#include "net/json_rows.h"

#include <string.h>

#include "bbl/errors.h"

static size_t
skip_space(bbl_str text, size_t at)
{
    while (at < text.size && memchr(" \t\r\n", text.ptr[at], 4) != NULL) {
        at++;
    }
    return at;
}

/* Returns the position after a string, or 0 if it has no end. */
static size_t
skip_string(bbl_str text, size_t at)
{
    for (at++; at < text.size; at++) {
        if (text.ptr[at] == '"') {
            return at + 1;
        }
        at += text.ptr[at] == '\\';
    }
    return 0;
}

/* Returns the position after an object or an array, or 0 if it has no end. */
static size_t
skip_brackets(bbl_str text, size_t at)
{
    size_t depth = 0;

    while (at < text.size) {
        char c = text.ptr[at];

        if (c == '"') {
            at = skip_string(text, at);
            if (at == 0) {
                return 0;
            }
            continue;
        }
        depth += c == '{' || c == '[';
        depth -= c == '}' || c == ']';
        at++;
        if (depth == 0) {
            return at;
        }
    }
    return 0;
}

/* Returns the position after the value at `at`, or 0 if there is none. */
static size_t
skip_value(bbl_str text, size_t at)
{
    size_t start = at;

    if (at >= text.size) {
        return 0;
    }
    if (text.ptr[at] == '"') {
        return skip_string(text, at);
    }
    if (text.ptr[at] == '{' || text.ptr[at] == '[') {
        return skip_brackets(text, at);
    }
    while (at < text.size && memchr(",]} \t\r\n", text.ptr[at], 7) == NULL) {
        at++;
    }
    return at > start ? at : 0;
}

static bool
has_char(bbl_str text, size_t at, char c)
{
    return at < text.size && text.ptr[at] == c;
}

/* Reads a name, a colon and a value; returns the position after them or 0. */
static size_t
read_member(bbl_str text, size_t at, bbl_str *name, bbl_str *value)
{
    size_t end = has_char(text, at, '"') ? skip_string(text, at) : 0;

    if (end == 0) {
        return 0;
    }
    *name = (bbl_str){text.ptr + at + 1, end - at - 2};
    at = skip_space(text, end);
    if (!has_char(text, at, ':')) {
        return 0;
    }
    at = skip_space(text, at + 1);
    end = skip_value(text, at);
    if (end != 0) {
        *value = (bbl_str){text.ptr + at, end - at};
    }
    return end;
}

int
bbl_json_find_member(bbl_str *out, bbl_str object, const char *name)
{
    size_t at = skip_space(object, 0);
    size_t size = strlen(name);
    bbl_str found = {"", 0};

    *out = found;
    if (!has_char(object, at, '{')) {
        goto damaged;
    }
    at = skip_space(object, at + 1);
    while (!has_char(object, at, '}')) {
        bbl_str key;
        bbl_str value;

        at = read_member(object, at, &key, &value);
        if (at == 0) {
            goto damaged;
        }
        if (key.size == size && memcmp(key.ptr, name, size) == 0) {
            found = value;
        }
        at = skip_space(object, at);
        if (has_char(object, at, ',')) {
            at = skip_space(object, at + 1);
        }
        else if (!has_char(object, at, '}')) {
            goto damaged;
        }
    }
    if (skip_space(object, at + 1) != object.size) {
        goto damaged;
    }
    *out = found;
    return 0;
damaged:
    return bbl_error_set(BBL_EDAMAGED, "not an object at byte %zu", at);
}

int
bbl_json_rows_open(bbl_json_rows *rows, bbl_str array)
{
    size_t at = skip_space(array, 0);

    *rows = (bbl_json_rows){array, 0, false};
    if (!has_char(array, at, '[')) {
        return bbl_error_set(BBL_EDAMAGED, "not an array");
    }
    rows->at = skip_space(array, at + 1);
    return 0;
}

bool
bbl_json_rows_next(bbl_json_rows *rows, bbl_str *row)
{
    size_t end;

    if (has_char(rows->text, rows->at, ']')) {
        rows->complete = true;
        return false;
    }
    end = skip_value(rows->text, rows->at);
    if (end == 0) {
        return false;
    }
    *row = (bbl_str){rows->text.ptr + rows->at, end - rows->at};
    end = skip_space(rows->text, end);
    if (has_char(rows->text, end, ',')) {
        rows->at = skip_space(rows->text, end + 1);
        return true;
    }
    rows->at = end;
    return has_char(rows->text, end, ']');
}
