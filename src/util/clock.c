#include "util/clock.h"

#include <sys/random.h>
#include <time.h>

static bbl_usec
read_clock(clockid_t id)
{
    struct timespec ts;

    clock_gettime(id, &ts);
    return (bbl_usec)ts.tv_sec * BBL_USEC_PER_SEC +
           (bbl_usec)ts.tv_nsec / 1000;
}

bbl_usec
bbl_clock_now(void)
{
    return read_clock(CLOCK_BOOTTIME);
}

uint64_t
bbl_clock_wall_ms(void)
{
    return read_clock(CLOCK_REALTIME) / BBL_USEC_PER_MS;
}

uint64_t
bbl_clock_make_incarnation(void)
{
    uint64_t start = bbl_clock_wall_ms() * BBL_USEC_PER_MS;
    uint32_t random = 0;

    /* Two starts may read the same time if the clock was set back. */
    if (getrandom(&random, sizeof(random), 0) != sizeof(random)) {
        random = (uint32_t)read_clock(CLOCK_MONOTONIC);
    }
    return start + random % BBL_USEC_PER_MS;
}

bbl_usec
bbl_clock_process_cpu(void)
{
    return read_clock(CLOCK_PROCESS_CPUTIME_ID);
}

bbl_usec
bbl_clock_thread_cpu(void)
{
    return read_clock(CLOCK_THREAD_CPUTIME_ID);
}
