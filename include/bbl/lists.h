/*
 * lists.h - the two lists that operators maintain: the plans that customers
 * have bought, and the allowance of each plan. Both are key files in the
 * format of docs/operating/lists.md.
 */
#ifndef BBL_LISTS_H
#define BBL_LISTS_H

#include "bbl/types.h"

#define BBL_PLANS_MAX 256          /* plans in the lists */
#define BBL_WITHDRAWN_ZONES_MAX 40 /* for one plan, or for all plans */
#define BBL_DEADLINE_MAX_MS 60000u
#define BBL_DEADLINE_DEFAULT_MS 1000u

/* One plan and its allowance. Limits hold for the whole tier. */
typedef struct {
    bbl_name name;
    uint32_t share_ppm;    /* share of each searcher, in parts per million */
    uint32_t rate_per_sec; /* maximum queries per second; 0: no limit */
    uint32_t concurrency;  /* maximum queries in progress; 0: no limit */
    uint32_t urgencies;    /* allowed: bit 1 << u for bbl_urgency u */
    uint32_t deadline_max_ms;
    uint32_t min_coverage_ppm; /* minimum share of shards in an answer */
    bool partial;  /* whether answers with missing shards are allowed */
    int64_t until; /* end of the plan, in Unix seconds; 0: no end */
    /* Data centres that do not serve this plan. */
    bbl_name withdrawn_zones[BBL_WITHDRAWN_ZONES_MAX];
    size_t withdrawn_zone_count;
} bbl_plan;

/* A customer and its plan. */
typedef struct {
    bbl_name name;
    uint32_t plan_index; /* argument of bbl_lists_plan */
} bbl_customer;

/* Both lists after parsing; immutable. */
typedef struct bbl_lists bbl_lists;

/*
 * Parses and validates both lists.
 *
 * @param out        set to the result, to be freed with bbl_lists_free; NULL
 *                   on failure
 * @param plans      text of the list of plans
 * @param allowances text of the list of allowances
 * @return 0, or BBL_EINVAL; the message starts with "list:line:" and names
 *         the group, the key and the reason
 */
int bbl_lists_parse(bbl_lists **out, bbl_str plans, bbl_str allowances);

/* Frees lists; NULL is allowed. */
void bbl_lists_free(bbl_lists *lists);

/* Returns the number of plans. */
size_t bbl_lists_plan_count(const bbl_lists *lists);

/* Returns plan `i`, which must be in range; valid as long as the lists. */
const bbl_plan *bbl_lists_plan(const bbl_lists *lists, size_t i);

/* Returns the plan with this name, or NULL. */
const bbl_plan *bbl_lists_plan_by_name(const bbl_lists *lists,
                                       const bbl_name *name);

/* Returns the plan of a customer, or NULL if the customer is not listed. */
const bbl_plan *bbl_lists_plan_by_customer(const bbl_lists *lists,
                                           const bbl_name *customer);

/* Returns whether a data centre is withdrawn for all plans. */
bool bbl_lists_zone_withdrawn(const bbl_lists *lists, const bbl_name *zone);

/*
 * Returns whether a data centre is withdrawn for `plan` or for all plans. If
 * `plan` is NULL, only the latter counts.
 */
bool bbl_lists_zone_withdrawn_for_plan(const bbl_lists *lists,
                                       const bbl_plan *plan,
                                       const bbl_name *zone);

#endif
