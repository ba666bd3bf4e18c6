#include "bbl/lists.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "bbl/errors.h"
#include "util/alloc.h"
#include "util/map.h"
#include "util/vec.h"

#define PPM_FULL 1000000u

struct bbl_lists {
    bbl_vec plans;       /* bbl_plan */
    bbl_vec customers;   /* bbl_customer */
    bbl_map by_customer; /* hash of the name -> customer index + 1 */
    bbl_name zones_out[BBL_WITHDRAWN_ZONES_MAX];
    size_t zones_out_count;
};

/* One list while it is read. */
typedef struct {
    const char *file;
    bbl_str text;
    GKeyFile *keys;
} source;

static uint64_t
name_hash(const bbl_name *name)
{
    return bbl_hash(name->ptr, name->size, 0);
}

static bool
line_is(const char *line, size_t size, const char *word, char end)
{
    size_t n = strlen(word);

    return size >= n && memcmp(line, word, n) == 0 &&
           (size == n || line[n] == end || line[n] == ' ');
}

/* Returns the line of `key` in `group`, or of the group, or 1. */
static int
find_line(const source *src, const char *group, const char *key)
{
    char *head = g_strdup_printf("[%s]", group);
    const char *at = src->text.ptr;
    const char *end = at + src->text.size;
    int found = 1;
    int line = 1;
    bool inside = false;

    while (at < end) {
        const char *eol = memchr(at, '\n', (size_t)(end - at));
        size_t size = (size_t)((eol ? eol : end) - at);

        if (size > 0 && at[0] == '[') {
            inside = line_is(at, size, head, '\r');
            found = inside ? line : found;
        }
        else if (inside && key != NULL && line_is(at, size, key, '=')) {
            found = line;
            break;
        }
        at += size + 1;
        line++;
    }
    g_free(head);
    return found;
}

static int
fault(const source *src, const char *group, const char *key,
      const char *reason)
{
    return bbl_error_set(BBL_EINVAL, "%s:%d: [%s] %s: %s", src->file,
                         find_line(src, group, key), group, key ? key : "",
                         reason);
}

static int
source_open(source *src, const char *file, bbl_str text)
{
    GError *error = NULL;

    src->file = file;
    src->text = text;
    src->keys = g_key_file_new();
    if (text.size == 0) {
        return 0;
    }
    if (!g_utf8_validate(text.ptr, (gssize)text.size, NULL)) {
        return bbl_error_set(BBL_EINVAL, "%s:1: not valid UTF-8", file);
    }
    if (!g_key_file_load_from_data(src->keys, text.ptr, text.size,
                                   G_KEY_FILE_NONE, &error)) {
        bbl_error_set(BBL_EINVAL, "%s:1: %s", file, error->message);
        g_error_free(error);
        return BBL_EINVAL;
    }
    return 0;
}

/* Parses digits followed by exactly `unit`. */
static int
parse_number(uint64_t *out, const char *text, const char *unit, uint64_t max)
{
    char *end;

    if (text[0] < '0' || text[0] > '9') {
        return BBL_EINVAL;
    }
    errno = 0;
    *out = strtoull(text, &end, 10);
    if (errno != 0 || strcmp(end, unit) != 0 || *out > max) {
        return BBL_EINVAL;
    }
    return 0;
}

/* Parses a percentage such as 12.5% into parts per million. */
static int
parse_percent(uint32_t *out, const char *text)
{
    char *end;
    double value = g_ascii_strtod(text, &end);

    if (end == text || strcmp(end, "%") != 0 || !(value >= 0) || value > 100) {
        return BBL_EINVAL;
    }
    *out = (uint32_t)(value * 10000 + 0.5);
    return 0;
}

typedef int (*key_reader)(bbl_plan *plan, const char *text);

static int
read_share(bbl_plan *plan, const char *text)
{
    int error = parse_percent(&plan->share_ppm, text);

    return error == 0 && plan->share_ppm == 0 ? BBL_EINVAL : error;
}

static int
read_rate(bbl_plan *plan, const char *text)
{
    uint64_t n;
    int error = parse_number(&n, text, "/s", 100000000);

    plan->rate_per_sec = error ? 0 : (uint32_t)n;
    return error;
}

static int
read_concurrency(bbl_plan *plan, const char *text)
{
    uint64_t n;
    int error = parse_number(&n, text, "", 100000000);

    plan->concurrency = error ? 0 : (uint32_t)n;
    return error;
}

static int
read_deadline(bbl_plan *plan, const char *text)
{
    uint64_t n;
    int error = parse_number(&n, text, "ms", BBL_DEADLINE_MAX_MS);

    if (error != 0 || n == 0) {
        return BBL_EINVAL;
    }
    plan->deadline_max_ms = (uint32_t)n;
    return 0;
}

static int
read_coverage(bbl_plan *plan, const char *text)
{
    return parse_percent(&plan->min_coverage_ppm, text);
}

static int
read_partial(bbl_plan *plan, const char *text)
{
    plan->partial = strcmp(text, "yes") == 0;
    return plan->partial || strcmp(text, "no") == 0 ? 0 : BBL_EINVAL;
}

/* Splits "a; b; c" and calls `each` for every trimmed part. */
static int
split(const char *text, int (*each)(void *ctx, bbl_str part), void *ctx)
{
    char **parts = g_strsplit(text, ";", -1);
    int error = 0;

    for (char **p = parts; *p != NULL && error == 0; p++) {
        char *part = g_strstrip(*p);

        if (part[0] != '\0') {
            error = each(ctx, (bbl_str){part, strlen(part)});
        }
    }
    g_strfreev(parts);
    return error;
}

static int
add_urgency(void *ctx, bbl_str part)
{
    bbl_plan *plan = ctx;
    bbl_urgency urgency;

    if (bbl_urgency_parse(&urgency, part) != 0) {
        return BBL_EINVAL;
    }
    plan->urgencies |= 1u << urgency;
    return 0;
}

static int
read_urgencies(bbl_plan *plan, const char *text)
{
    plan->urgencies = 0;
    if (split(text, add_urgency, plan) != 0 || plan->urgencies == 0) {
        return BBL_EINVAL;
    }
    return 0;
}

static int
add_zone_out(void *ctx, bbl_str part)
{
    bbl_plan *plan = ctx;

    if (plan->withdrawn_zone_count == BBL_WITHDRAWN_ZONES_MAX) {
        return BBL_EFULL;
    }
    return bbl_name_set(&plan->withdrawn_zones[plan->withdrawn_zone_count++],
                        part.ptr, part.size);
}

static int
read_withdrawn(bbl_plan *plan, const char *text)
{
    return split(text, add_zone_out, plan);
}

static const struct {
    const char *key;
    const char *expected;
    key_reader read;
} allowance_keys[] = {
    {"share", "a percentage above 0, such as 25%", read_share},
    {"rate", "a number of queries a second, such as 200/s", read_rate},
    {"concurrency", "a number of queries", read_concurrency},
    {"urgencies", "some of urgent; normal; batch", read_urgencies},
    {"deadline-max", "1ms to 60000ms", read_deadline},
    {"least-coverage", "a percentage, such as 99.5%", read_coverage},
    {"partial", "yes or no", read_partial},
    {"withdrawn", "data centre names, separated by ;", read_withdrawn},
};

/* Returns the name after "prefix " in a group, or NULL. */
static const char *
group_name(const char *group, const char *prefix)
{
    size_t n = strlen(prefix);

    return strncmp(group, prefix, n) == 0 && group[n] == ' ' ? group + n + 1
                                                             : NULL;
}

static int
read_allowance_key(const source *src, const char *group, const char *key,
                   bbl_plan *plan)
{
    char *text = g_key_file_get_value(src->keys, group, key, NULL);
    const char *reason = "unknown key";
    int error = BBL_EINVAL;

    for (size_t i = 0; i < G_N_ELEMENTS(allowance_keys); i++) {
        if (strcmp(allowance_keys[i].key, key) == 0) {
            error = allowance_keys[i].read(plan, text);
            reason = allowance_keys[i].expected;
        }
    }
    g_free(text);
    return error == 0 ? 0 : fault(src, group, key, reason);
}

static int
read_allowance(bbl_lists *lists, const source *src, const char *group,
               const char *name)
{
    bbl_plan *plan = bbl_vec_add(&lists->plans);
    char **keys = g_key_file_get_keys(src->keys, group, NULL, NULL);
    int error = bbl_name_set(&plan->name, name, strlen(name));

    plan->urgencies = (1u << BBL_URGENCY_COUNT) - 1;
    plan->deadline_max_ms = BBL_DEADLINE_DEFAULT_MS;
    plan->min_coverage_ppm = PPM_FULL;
    if (error != 0) {
        error = fault(src, group, NULL, "a plan name has 1 to 31 bytes");
    }
    for (char **k = keys; error == 0 && *k != NULL; k++) {
        error = read_allowance_key(src, group, *k, plan);
    }
    if (error == 0 && plan->share_ppm == 0) {
        error = fault(src, group, NULL, "share is missing");
    }
    g_strfreev(keys);
    return error;
}

static int
read_zone(bbl_lists *lists, const source *src, const char *group,
          const char *name)
{
    char *state = g_key_file_get_value(src->keys, group, "state", NULL);
    char **keys = g_key_file_get_keys(src->keys, group, NULL, NULL);
    int error = 0;

    for (char **k = keys; *k != NULL; k++) {
        if (strcmp(*k, "state") != 0) {
            error = fault(src, group, *k, "unknown key");
        }
    }
    if (error == 0 && state != NULL && strcmp(state, "withdrawn") == 0) {
        size_t n = lists->zones_out_count;

        if (n == BBL_WITHDRAWN_ZONES_MAX ||
            bbl_name_set(&lists->zones_out[n], name, strlen(name)) != 0) {
            error = fault(src, group, NULL, "bad name, or too many");
        }
        else {
            lists->zones_out_count++;
        }
    }
    else if (error == 0 &&
             (state == NULL || strcmp(state, "in-service") != 0)) {
        error = fault(src, group, "state", "withdrawn or in-service");
    }
    g_strfreev(keys);
    g_free(state);
    return error;
}

static int
check_shares(const bbl_lists *lists, const source *src)
{
    uint64_t sum = 0;

    for (size_t i = 0; i < lists->plans.size; i++) {
        sum += bbl_lists_plan(lists, i)->share_ppm;
    }
    if (sum > PPM_FULL) {
        return bbl_error_set(BBL_EINVAL,
                             "%s:1: share: the shares add up to %.4g%%, "
                             "more than 100%%",
                             src->file, (double)sum / 10000);
    }
    return 0;
}

static int
read_allowances(bbl_lists *lists, const source *src)
{
    char **groups = g_key_file_get_groups(src->keys, NULL);
    int error = 0;

    for (char **g = groups; error == 0 && *g != NULL; g++) {
        const char *plan = group_name(*g, "allowance");
        const char *zone = group_name(*g, "data-centre");

        if (plan != NULL && lists->plans.size == BBL_PLANS_MAX) {
            error = fault(src, *g, NULL, "more than 256 plans");
        }
        else if (plan != NULL) {
            error = read_allowance(lists, src, *g, plan);
        }
        else if (zone != NULL) {
            error = read_zone(lists, src, *g, zone);
        }
        else {
            error = fault(src, *g, NULL,
                          "a group is [allowance PLAN] or "
                          "[data-centre NAME]");
        }
    }
    g_strfreev(groups);
    return error == 0 ? check_shares(lists, src) : error;
}

/* What add_customer needs. */
typedef struct {
    bbl_lists *lists;
    const source *src;
    const char *group;
    uint32_t plan;
} customer_ctx;

static int
add_customer(void *opaque, bbl_str part)
{
    customer_ctx *ctx = opaque;
    bbl_lists *lists = ctx->lists;
    bbl_customer customer = {.plan_index = ctx->plan};

    if (bbl_name_set(&customer.name, part.ptr, part.size) != 0) {
        return fault(ctx->src, ctx->group, "customers",
                     "a customer name has 1 to 31 bytes");
    }
    if (bbl_map_get(&lists->by_customer, name_hash(&customer.name))) {
        return fault(ctx->src, ctx->group, "customers",
                     "a customer holds one plan only");
    }
    bbl_vec_push(&lists->customers, &customer);
    bbl_map_set(&lists->by_customer, name_hash(&customer.name),
                (void *)(uintptr_t)lists->customers.size);
    return 0;
}

static int
read_until(const source *src, const char *group, bbl_plan *plan)
{
    char *text = g_key_file_get_value(src->keys, group, "until", NULL);
    GDateTime *time = NULL;
    int error = 0;

    if (text == NULL) {
        return 0;
    }
    time = g_date_time_new_from_iso8601(text, NULL);
    if (time == NULL) {
        error =
            fault(src, group, "until", "a time such as 2027-01-31T00:00:00Z");
    }
    else {
        plan->until = g_date_time_to_unix(time);
        g_date_time_unref(time);
    }
    g_free(text);
    return error;
}

static int
read_plan(bbl_lists *lists, const source *src, const char *group,
          const char *name)
{
    customer_ctx ctx = {lists, src, group, 0};
    char *customers = g_key_file_get_value(src->keys, group, "customers", 0);
    char **keys = g_key_file_get_keys(src->keys, group, NULL, NULL);
    bbl_plan *plan = NULL;
    int error = 0;

    for (size_t i = 0; i < lists->plans.size && plan == NULL; i++) {
        bbl_plan *p = bbl_vec_at(&lists->plans, i);

        if (p->name.size == strlen(name) &&
            memcmp(p->name.ptr, name, p->name.size) == 0) {
            plan = p;
            ctx.plan = (uint32_t)i;
        }
    }
    for (char **k = keys; error == 0 && *k != NULL; k++) {
        if (strcmp(*k, "customers") != 0 && strcmp(*k, "until") != 0) {
            error = fault(src, group, *k, "unknown key");
        }
    }
    if (error == 0 && plan == NULL) {
        error = fault(src, group, NULL, "the plan has no allowance");
    }
    if (error == 0 && customers == NULL) {
        error = fault(src, group, NULL, "customers is missing");
    }
    if (error == 0) {
        error = split(customers, add_customer, &ctx);
    }
    if (error == 0) {
        error = read_until(src, group, plan);
    }
    g_strfreev(keys);
    g_free(customers);
    return error;
}

static int
read_plans(bbl_lists *lists, const source *src)
{
    char **groups = g_key_file_get_groups(src->keys, NULL);
    int error = 0;

    for (char **g = groups; error == 0 && *g != NULL; g++) {
        const char *name = group_name(*g, "plan");

        error = name ? read_plan(lists, src, *g, name)
                     : fault(src, *g, NULL, "a group is [plan NAME]");
    }
    g_strfreev(groups);
    return error;
}

int
bbl_lists_parse(bbl_lists **out, bbl_str plans, bbl_str allowances)
{
    bbl_lists *lists = bbl_calloc(1, sizeof(*lists));
    source first = {0};
    source second = {0};
    int error;

    *out = NULL;
    lists->plans = (bbl_vec)BBL_VEC_INIT(bbl_plan);
    lists->customers = (bbl_vec)BBL_VEC_INIT(bbl_customer);
    error = source_open(&first, "plans", plans);
    if (error != 0) {
        goto done;
    }
    error = source_open(&second, "allowances", allowances);
    if (error != 0) {
        goto done;
    }
    error = read_allowances(lists, &second);
    if (error != 0) {
        goto done;
    }
    error = read_plans(lists, &first);

done:
    if (first.keys != NULL) {
        g_key_file_free(first.keys);
    }
    if (second.keys != NULL) {
        g_key_file_free(second.keys);
    }
    if (error != 0) {
        bbl_lists_free(lists);
        return error;
    }
    *out = lists;
    return 0;
}

void
bbl_lists_free(bbl_lists *lists)
{
    if (lists == NULL) {
        return;
    }
    bbl_vec_free(&lists->plans);
    bbl_vec_free(&lists->customers);
    bbl_map_free(&lists->by_customer);
    free(lists);
}

size_t
bbl_lists_plan_count(const bbl_lists *lists)
{
    return lists->plans.size;
}

const bbl_plan *
bbl_lists_plan(const bbl_lists *lists, size_t i)
{
    return bbl_vec_at(&lists->plans, i);
}

const bbl_plan *
bbl_lists_plan_by_name(const bbl_lists *lists, const bbl_name *name)
{
    for (size_t i = 0; i < lists->plans.size; i++) {
        const bbl_plan *plan = bbl_lists_plan(lists, i);

        if (bbl_name_equal(&plan->name, name)) {
            return plan;
        }
    }
    return NULL;
}

const bbl_plan *
bbl_lists_plan_by_customer(const bbl_lists *lists, const bbl_name *customer)
{
    void *place = bbl_map_get(&lists->by_customer, name_hash(customer));
    const bbl_customer *found;

    if (place == NULL) {
        return NULL;
    }
    found = bbl_vec_at(&lists->customers, (uintptr_t)place - 1);
    return bbl_lists_plan(lists, found->plan_index);
}

static bool
listed(const bbl_name *names, size_t count, const bbl_name *name)
{
    for (size_t i = 0; i < count; i++) {
        if (bbl_name_equal(&names[i], name)) {
            return true;
        }
    }
    return false;
}

bool
bbl_lists_zone_withdrawn(const bbl_lists *lists, const bbl_name *zone)
{
    return listed(lists->zones_out, lists->zones_out_count, zone);
}

bool
bbl_lists_zone_withdrawn_for_plan(const bbl_lists *lists, const bbl_plan *plan,
                                  const bbl_name *zone)
{
    if (bbl_lists_zone_withdrawn(lists, zone)) {
        return true;
    }
    return plan != NULL &&
           listed(plan->withdrawn_zones, plan->withdrawn_zone_count, zone);
}
