/*
 * lists.h - the operators' two lists: the plans that customers have bought,
 * and what each plan may use. Both are key files; see docs/operating/lists.md.
 */
#ifndef BBL_LISTS_H
#define BBL_LISTS_H

#include "bbl/types.h"

#define BBL_PLANS_MAX 256          /* plans in the lists */
#define BBL_WITHDRAWN_ZONES_MAX 40 /* data centres withdrawn at once */
#define BBL_DEADLINE_MAX_MS 60000u
#define BBL_DEADLINE_DEFAULT_MS 1000u

/* What one plan may use. */
typedef struct {
    bbl_name name;
    uint32_t share_ppm;    /* of every searcher, parts per million */
    uint32_t rate_per_sec; /* queries a second, whole tier; 0: no limit */
    uint32_t concurrency;  /* queries at once, whole tier; 0: no limit */
    uint32_t urgencies;    /* bit per bbl_urgency */
    uint32_t deadline_max_ms;
    uint32_t min_coverage_ppm; /* least coverage of a partial answer */
    bool partial;              /* answers with missing shards are accepted */
    int64_t until;             /* Unix seconds; 0: no end */
    bbl_name withdrawn_zones[BBL_WITHDRAWN_ZONES_MAX];
    size_t withdrawn_zone_count;
} bbl_plan;

/* One customer and the plan it holds. */
typedef struct {
    bbl_name name;
    uint32_t plan_index; /* index into the plans */
} bbl_customer;

/* Both lists, parsed. Immutable once made. */
typedef struct bbl_lists bbl_lists;

/*
 * Parses and checks both lists.
 *
 * @param out        the result, freed by bbl_lists_free
 * @param plans      text of the first list
 * @param allowances text of the second list
 * @return 0, or BBL_EINVAL with "file:line: key: reason" as the message
 */
int bbl_lists_parse(bbl_lists **out, bbl_str plans, bbl_str allowances);

/* Frees lists; NULL is allowed. */
void bbl_lists_free(bbl_lists *lists);

/* Returns the number of plans. */
size_t bbl_lists_plan_count(const bbl_lists *lists);

/* Returns plan `i`, valid as long as the lists. */
const bbl_plan *bbl_lists_plan(const bbl_lists *lists, size_t i);

/* Returns a plan by name, or NULL. */
const bbl_plan *bbl_lists_plan_by_name(const bbl_lists *lists,
                                       const bbl_name *name);

/* Returns the plan that a customer holds, or NULL. */
const bbl_plan *bbl_lists_plan_by_customer(const bbl_lists *lists,
                                           const bbl_name *customer);

/* Returns whether a data centre is withdrawn for every plan. */
bool bbl_lists_zone_withdrawn(const bbl_lists *lists, const bbl_name *zone);

/* Returns whether a data centre is withdrawn for `plan` (NULL: any plan). */
bool bbl_lists_zone_withdrawn_for_plan(const bbl_lists *lists,
                                       const bbl_plan *plan,
                                       const bbl_name *zone);

#endif
