#include "forward/drain_plan.h"

/* Most responses come within this many expected times. */
#define SERVICE_TIMES 3
/* The same for requests whose failure the caller cannot make up for. */
#define SERVICE_TIMES_ONCE 8

bool
bbl_drain_plan_admits(const bbl_drain_plan_input *in)
{
    bbl_usec needed = in->service_time *
                      (in->idempotent ? SERVICE_TIMES : SERVICE_TIMES_ONCE);

    if (needed > in->time_left) {
        needed = in->time_left;
    }
    return in->remaining >= needed && in->remaining > 0;
}
