/* Tests the leader's table of members. */
#include <string.h>

#include "control/registry.h"
#include "support/run.h"

#define MS BBL_USEC_PER_MS
#define SEC BBL_USEC_PER_SEC
#define LEASE (1500 * MS)
#define HOST 7

static void
beat(bbl_registry *r, bbl_usec now, uint64_t incarnation)
{
    bblx_member_heartbeat h;

    memset(&h, 0, sizeof(h));
    h.host = HOST;
    h.incarnation = incarnation;
    bbl_registry_record_heartbeat(r, now, &h, true);
}

/* A member that is restarted while its clock is behind its earlier start. */
START_TEST(a_member_restarted_with_its_clock_set_back_gets_a_lease)
{
    bbl_registry r;
    const bbl_member *m;
    bbl_usec now = 10 * SEC;

    bbl_registry_init(&r, LEASE, 1000, 0);
    beat(&r, now, 500);
    for (unsigned i = 1; i <= 10; i++) {
        beat(&r, now + i * 200 * MS, 100);
    }
    m = bbl_registry_get_member(&r, HOST);
    ck_assert_uint_eq(m->incarnation, 100);
    ck_assert_uint_gt(m->lease_end, now + 2 * SEC);
    /* The lease of the earlier process may still be valid. */
    ck_assert_uint_ge(m->prior_lease_end, now + LEASE);
    bbl_registry_free(&r);
}
END_TEST

START_TEST(a_delayed_heartbeat_of_an_earlier_process_is_ignored)
{
    bbl_registry r;
    bbl_usec now = 10 * SEC;

    bbl_registry_init(&r, LEASE, 1000, 0);
    beat(&r, now, 100);
    for (unsigned i = 1; i <= 20; i++) {
        beat(&r, now + i * 200 * MS, 500);
        beat(&r, now + i * 200 * MS + 100 * MS, 100);
        ck_assert_uint_eq(bbl_registry_get_member(&r, HOST)->incarnation, 500);
    }
    bbl_registry_free(&r);
}
END_TEST

int
main(void)
{
    Suite *s = suite_create("registry");
    TCase *t = tcase_create("registry");

    tcase_add_test(t, a_member_restarted_with_its_clock_set_back_gets_a_lease);
    tcase_add_test(t, a_delayed_heartbeat_of_an_earlier_process_is_ignored);
    suite_add_tcase(s, t);
    return run_suite(s);
}
