/*
 * Schedules that once violated a guarantee of the forwarder: it still refused
 * requests after the faults and bursts had ended.
 */
#include "support/forward_schedule.h"
#include "support/run.h"

/* Runs a schedule and fails with the violated guarantee, if any. */
#define ASSERT_NO_VIOLATION(ops)                                              \
    do {                                                                      \
        const char *bad_ =                                                    \
            forward_schedule_run((ops), sizeof(ops) / sizeof((ops)[0]));      \
                                                                              \
        ck_assert_msg(bad_ == NULL, "%s", bad_);                              \
    } while (0)

START_TEST(burst_after_low_load_recovers)
{
    static const forward_op ops[] = {
        {FORWARD_SEND, 0, 1},     {FORWARD_RUN, 0, 212},
        {FORWARD_RUN, 0, 208},    {FORWARD_RUN, 0, 362},
        {FORWARD_ZONE, 0, 32},    {FORWARD_RUN, 0, 332},
        {FORWARD_RUN, 0, 259},    {FORWARD_RUN, 0, 95},
        {FORWARD_RUN, 0, 177},    {FORWARD_GONE, 51, 1},
        {FORWARD_TREAT, 53, 1},   {FORWARD_RUN, 0, 132},
        {FORWARD_RUN, 0, 164},    {FORWARD_RUN, 0, 179},
        {FORWARD_RUN, 0, 23},     {FORWARD_RUN, 0, 256},
        {FORWARD_RUN, 0, 268},    {FORWARD_RUN, 0, 176},
        {FORWARD_TREAT, 37, 1},   {FORWARD_RUN, 0, 157},
        {FORWARD_PAUSE, 25, 191}, {FORWARD_BURST, 0, 184},
    };

    ASSERT_NO_VIOLATION(ops);
}
END_TEST

START_TEST(burst_with_silent_servers_recovers)
{
    static const forward_op ops[] = {
        {FORWARD_SEND, 0, 3},   {FORWARD_RUN, 0, 39},
        {FORWARD_RUN, 0, 297},  {FORWARD_RUN, 0, 268},
        {FORWARD_RUN, 0, 287},  {FORWARD_TREAT, 54, 1},
        {FORWARD_RUN, 0, 213},  {FORWARD_TREAT, 3, 1},
        {FORWARD_RUN, 0, 213},  {FORWARD_RUN, 0, 128},
        {FORWARD_TREAT, 2, 1},  {FORWARD_SLOW, 0, 80},
        {FORWARD_TREAT, 56, 1}, {FORWARD_RUN, 0, 156},
        {FORWARD_RUN, 0, 232},  {FORWARD_LEAVING, 25, 1},
        {FORWARD_SLOW, 31, 84}, {FORWARD_RUN, 0, 131},
        {FORWARD_RUN, 0, 208},  {FORWARD_RUN, 0, 342},
        {FORWARD_RUN, 0, 335},  {FORWARD_RUN, 0, 128},
        {FORWARD_RUN, 0, 23},   {FORWARD_BURST, 0, 168},
        {FORWARD_RUN, 0, 357},
    };

    ASSERT_NO_VIOLATION(ops);
}
END_TEST

START_TEST(low_load_after_slow_requests_recovers)
{
    static const forward_op ops[] = {
        {FORWARD_SLOW, 48, 196}, {FORWARD_SEND, 15, 3}, {FORWARD_RUN, 0, 276},
        {FORWARD_SEND, 26, 3},   {FORWARD_RUN, 0, 283}, {FORWARD_RUN, 0, 248},
        {FORWARD_RUN, 0, 359},   {FORWARD_GONE, 49, 1}, {FORWARD_RUN, 0, 322},
        {FORWARD_RUN, 0, 362},   {FORWARD_RUN, 0, 208}, {FORWARD_RUN, 0, 275},
        {FORWARD_RUN, 0, 196},   {FORWARD_RUN, 0, 250}, {FORWARD_RUN, 0, 221},
        {FORWARD_BURST, 26, 72}, {FORWARD_RUN, 0, 72},
    };

    ASSERT_NO_VIOLATION(ops);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("forward_schedules");
    TCase *tc = tcase_create("forward_schedules");

    tcase_add_test(tc, burst_after_low_load_recovers);
    tcase_add_test(tc, burst_with_silent_servers_recovers);
    tcase_add_test(tc, low_load_after_slow_requests_recovers);
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
