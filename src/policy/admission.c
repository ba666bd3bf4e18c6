#include "policy/admission.h"

#define BURST_MS 100u /* maximum burst: the plan's rate over this time */
#define CONCURRENCY_RETRY_MS 20u

/* The use of one plan through this daemon. */
typedef struct {
    bbl_name name;
    double tokens;      /* number of queries that the rate allows now */
    bbl_usec filled_at; /* last refill of the tokens; 0: never */
    uint32_t running;   /* number of queries admitted and not released */
} plan_use;

const char *
bbl_admission_result_name(bbl_admission_result admit)
{
    static const char *const names[] = {
        "admitted",
        "customer holds no plan",
        "plan has ended",
        "plan does not allow this urgency",
        "deadline is longer than the plan allows",
        "plan is over its rate",
        "plan is over its concurrency",
    };

    return names[admit];
}

void
bbl_admission_init(bbl_admission *a)
{
    a->plans = (bbl_vec)BBL_VEC_INIT(plan_use);
}

void
bbl_admission_free(bbl_admission *a)
{
    bbl_vec_free(&a->plans);
}

static plan_use *
get_plan_use(bbl_admission *a, const bbl_name *name)
{
    plan_use *use;

    for (size_t i = 0; i < a->plans.size; i++) {
        use = bbl_vec_at(&a->plans, i);
        if (bbl_name_equal(&use->name, name)) {
            return use;
        }
    }
    use = bbl_vec_add(&a->plans);
    use->name = *name;
    return use;
}

/* Refills the token bucket; returns whether it holds a full token. */
static bool
has_token(plan_use *use, bbl_usec now, double per_sec)
{
    double burst = per_sec * BURST_MS / 1000;

    burst = burst < 1 ? 1 : burst;
    if (use->filled_at == 0) {
        use->tokens = burst;
    }
    else {
        use->tokens += (double)(now - use->filled_at) * per_sec / 1e6;
    }
    use->tokens = use->tokens > burst ? burst : use->tokens;
    use->filled_at = now;
    return use->tokens >= 1;
}

static bbl_admission_result
check_plan(const bbl_plan *plan, const bbl_admission_request *r)
{
    if (plan->until != 0 && r->wall_sec >= plan->until) {
        return BBL_ADMIT_PLAN_ENDED;
    }
    if ((plan->urgencies & (1u << r->urgency)) == 0) {
        return BBL_ADMIT_URGENCY;
    }
    if (r->time_left > plan->deadline_max_ms * BBL_USEC_PER_MS) {
        return BBL_ADMIT_DEADLINE;
    }
    return BBL_ADMIT_OK;
}

bbl_admission_result
bbl_admission_acquire(bbl_admission *a, bbl_usec now, const bbl_lists *lists,
                      const bbl_admission_request *r, const bbl_plan **plan,
                      uint32_t *retry_after_ms)
{
    bbl_admission_result admit;
    plan_use *use;

    *retry_after_ms = 0;
    *plan = bbl_lists_plan_by_customer(lists, &r->customer);
    if (*plan == NULL) {
        return BBL_ADMIT_NO_PLAN;
    }
    admit = check_plan(*plan, r);
    if (admit != BBL_ADMIT_OK) {
        return admit;
    }
    use = get_plan_use(a, &(*plan)->name);
    if ((*plan)->concurrency > 0) {
        uint32_t part = ((*plan)->concurrency + r->daemons - 1) / r->daemons;

        if (use->running >= part) {
            *retry_after_ms = CONCURRENCY_RETRY_MS;
            return BBL_ADMIT_CONCURRENCY;
        }
    }
    if ((*plan)->rate_per_sec > 0) {
        double rate = (double)(*plan)->rate_per_sec / r->daemons;

        if (!has_token(use, now, rate)) {
            *retry_after_ms = 1 + (uint32_t)((1 - use->tokens) * 1e3 / rate);
            return BBL_ADMIT_RATE;
        }
        use->tokens -= 1;
    }
    use->running++;
    return BBL_ADMIT_OK;
}

void
bbl_admission_release(bbl_admission *a, const bbl_name *plan)
{
    plan_use *use = get_plan_use(a, plan);

    if (use->running > 0) {
        use->running--;
    }
}
