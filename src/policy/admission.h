/*
 * admission.h - whether an entry daemon takes a query in: the customer's
 * plan, its urgency, its rate and its concurrency. Each daemon applies an
 * equal part of the limits of the whole tier, since the balancer spreads
 * callers evenly.
 */
#ifndef BBL_ADMISSION_H
#define BBL_ADMISSION_H

#include "bbl/lists.h"
#include "util/vec.h"

typedef struct {
    bbl_vec plans; /* plan_use, by name */
} bbl_admission;

typedef enum {
    BBL_ADMIT_OK,
    BBL_ADMIT_NO_PLAN,
    BBL_ADMIT_PLAN_ENDED,
    BBL_ADMIT_URGENCY,
    BBL_ADMIT_DEADLINE,
    BBL_ADMIT_RATE,
    BBL_ADMIT_CONCURRENCY
} bbl_admission_result;

const char *bbl_admission_result_name(bbl_admission_result admit);

/* What is asked. */
typedef struct {
    bbl_name customer;
    bbl_urgency urgency;
    bbl_usec time_left;
    int64_t wall_sec;
    uint32_t daemons; /* that share the limits */
} bbl_admission_request;

void bbl_admission_init(bbl_admission *admission);
void bbl_admission_free(bbl_admission *admission);

/*
 * Decides and, when admitted, counts the query until bbl_admission_release.
 *
 * @param plan           set to the plan, borrowed from the lists
 * @param retry_after_ms set when a rate or concurrency limit refuses
 */
bbl_admission_result
bbl_admission_acquire(bbl_admission *admission, bbl_usec now,
                      const bbl_lists *lists,
                      const bbl_admission_request *request,
                      const bbl_plan **plan, uint32_t *retry_after_ms);

/* Ends the count of an admitted query. */
void bbl_admission_release(bbl_admission *admission, const bbl_name *plan);

#endif
