/*
 * The event loop on a kernel that has no epoll_pwait2. Guards against a loop
 * that spins and never reports an event there.
 */
#include <errno.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "net/loop.h"
#include "support/run.h"
#include "util/clock.h"

/* Takes the place of the function of the C library. */
int
epoll_pwait2(int fd, struct epoll_event *events, int max,
             const struct timespec *timeout, const sigset_t *signals)
{
    (void)fd;
    (void)events;
    (void)max;
    (void)timeout;
    (void)signals;
    errno = ENOSYS;
    return -1;
}

static void
count_ready(void *ctx, int fd, uint32_t events)
{
    (void)fd;
    (void)events;
    ++*(unsigned *)ctx;
}

START_TEST(an_old_kernel_reports_events)
{
    bbl_loop *loop;
    unsigned ready = 0;
    int ends[2];

    ck_assert_int_eq(pipe(ends), 0);
    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    ck_assert_int_eq(
        bbl_loop_watch(loop, ends[0], EPOLLIN, count_ready, &ready), 0);
    ck_assert_int_eq(write(ends[1], "x", 1), 1);
    bbl_loop_run_once(loop, BBL_USEC_PER_SEC);
    ck_assert_uint_eq(ready, 1);
    bbl_loop_free(loop);
    close(ends[0]);
    close(ends[1]);
}
END_TEST

START_TEST(an_old_kernel_waits_for_the_timeout)
{
    bbl_loop *loop;
    bbl_usec started = bbl_clock_now();

    ck_assert_int_eq(bbl_loop_open(&loop), 0);
    bbl_loop_run_once(loop, 2500); /* not a whole number of milliseconds */
    ck_assert_uint_ge(bbl_clock_now() - started, 2500);
    bbl_loop_free(loop);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("loop");
    TCase *tc = tcase_create("loop");

    tcase_add_test(tc, an_old_kernel_reports_events);
    tcase_add_test(tc, an_old_kernel_waits_for_the_timeout);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
