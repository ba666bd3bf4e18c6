/*
 * admission.h - decides whether an entry host admits a query. The plan of the
 * customer limits the urgencies, the deadline, the rate and the concurrency.
 * Each daemon applies an equal part of the rate and concurrency limits, since
 * the load balancer spreads callers evenly.
 */
#ifndef BBL_ADMISSION_H
#define BBL_ADMISSION_H

#include "bbl/lists.h"
#include "util/vec.h"

typedef struct {
    bbl_vec plans; /* private */
} bbl_admission;

typedef enum {
    BBL_ADMIT_OK,
    BBL_ADMIT_NO_PLAN, /* the customer has no plan */
    BBL_ADMIT_PLAN_ENDED,
    BBL_ADMIT_URGENCY,    /* the plan does not allow it */
    BBL_ADMIT_DEADLINE,   /* longer than the plan allows */
    BBL_ADMIT_RATE,       /* the rate limit of the plan is exceeded */
    BBL_ADMIT_CONCURRENCY /* the concurrency limit is exceeded */
} bbl_admission_result;

const char *bbl_admission_result_name(bbl_admission_result admit);

/* The query to admit. */
typedef struct {
    bbl_name customer;
    bbl_urgency urgency;
    bbl_usec time_left; /* until the deadline */
    int64_t wall_sec;   /* Unix time, seconds */
    uint32_t daemons;   /* number of daemons that share the limits */
} bbl_admission_request;

void bbl_admission_init(bbl_admission *admission);
void bbl_admission_free(bbl_admission *admission);

/*
 * Decides whether to admit a query. An admitted query counts against the
 * concurrency of its plan until bbl_admission_release.
 *
 * @param plan           set to the plan, owned by the lists, or to NULL
 * @param retry_after_ms set if the rate or concurrency is exceeded, else to 0
 */
bbl_admission_result
bbl_admission_acquire(bbl_admission *admission, bbl_usec now,
                      const bbl_lists *lists,
                      const bbl_admission_request *request,
                      const bbl_plan **plan, uint32_t *retry_after_ms);

/* Ends an admitted query: it no longer counts against the concurrency. */
void bbl_admission_release(bbl_admission *admission, const bbl_name *plan);

#endif
