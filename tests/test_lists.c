#include <string.h>

#include "bbl/errors.h"
#include "bbl/lists.h"
#include "support/run.h"

static bbl_str
str(const char *text)
{
    return (bbl_str){text, strlen(text)};
}

static bbl_name
name(const char *text)
{
    bbl_name out;

    bbl_name_set(&out, text, strlen(text));
    return out;
}

static const char good_plans[] = "[plan gold]\ncustomers = a; b\n"
                                 "[plan tin]\ncustomers = c\n"
                                 "until = 2030-01-01T00:00:00Z\n";
static const char good_allowances[] =
    "[allowance gold]\nshare = 60%\nrate = 50/s\nconcurrency = 7\n"
    "urgencies = urgent; batch\ndeadline-max = 250ms\n"
    "least-coverage = 99.5%\npartial = yes\nwithdrawn = dc2\n"
    "[allowance tin]\nshare = 40%\n"
    "[data-centre dc3]\nstate = withdrawn\n"
    "[data-centre dc1]\nstate = in-service\n";

START_TEST(good_lists_are_read_whole)
{
    bbl_lists *lists;
    bbl_name customer = name("b");
    bbl_name dc1 = name("dc1");
    bbl_name dc2 = name("dc2");
    bbl_name dc3 = name("dc3");
    const bbl_plan *gold;
    const bbl_plan *tin;

    ck_assert_int_eq(
        bbl_lists_parse(&lists, str(good_plans), str(good_allowances)), 0);
    gold = bbl_lists_plan_by_customer(lists, &customer);
    customer = name("c");
    tin = bbl_lists_plan_by_customer(lists, &customer);
    ck_assert_uint_eq(gold->share_ppm, 600000);
    ck_assert_uint_eq(gold->rate_per_sec, 50);
    ck_assert_uint_eq(gold->concurrency, 7);
    ck_assert_uint_eq(gold->urgencies, 5);
    ck_assert_uint_eq(gold->deadline_max_ms, 250);
    ck_assert_uint_eq(gold->min_coverage_ppm, 995000);
    ck_assert(gold->partial);
    ck_assert(tin->until == 1893456000);
    ck_assert(bbl_lists_zone_withdrawn_for_plan(lists, gold, &dc2));
    ck_assert(!bbl_lists_zone_withdrawn_for_plan(lists, tin, &dc2));
    ck_assert(bbl_lists_zone_withdrawn_for_plan(lists, tin, &dc3));
    ck_assert(!bbl_lists_zone_withdrawn(lists, &dc1));
    customer = name("nobody");
    ck_assert_ptr_null(bbl_lists_plan_by_customer(lists, &customer));
    bbl_lists_free(lists);
}
END_TEST

/* Each fault with the message that must name file, line, key and reason. */
static const struct {
    const char *plans;
    const char *allowances;
    const char *message;
} faults[] = {
    {"", "[allowance g]\nshare = 10\n", "allowances:2: [allowance g] share"},
    {"", "[allowance g]\nshare = 0%\n", "allowances:2: [allowance g] share"},
    {"", "[allowance g]\n", "allowances:1: [allowance g] : share is missing"},
    {"", "[allowance g]\nshare=1%\nrate = 5\n", "allowances:3: "},
    {"", "[allowance g]\nshare=1%\nrate = 5/m\n", "allowances:3: "},
    {"", "[allowance g]\nshare=1%\ndeadline-max = 2s\n", "allowances:3: "},
    {"", "[allowance g]\nshare=1%\ndeadline-max = 0ms\n", "allowances:3: "},
    {"", "[allowance g]\nshare=1%\nurgencies = soon\n", "allowances:3: "},
    {"", "[allowance g]\nshare=1%\nbonus = 1\n",
     "allowances:3: [allowance g] bonus: unknown key"},
    {"", "[allowance g]\nshare=60%\n[allowance h]\nshare=41%\n",
     "more than 100%"},
    {"", "[surprise]\nshare=1%\n", "allowances:1: [surprise]"},
    {"", "[data-centre dc1]\nstate = gone\n", "allowances:2: "},
    {"", "[data-centre dc1]\nmood = good\n", "unknown key"},
    {"[plan x]\ncustomers=a\n", "[allowance g]\nshare=1%\n",
     "plans:1: [plan x] : the plan has no allowance"},
    {"[plan g]\ncustomers=a;a\n", "[allowance g]\nshare=1%\n",
     "plans:2: [plan g] customers: a customer holds one plan"},
    {"[plan g]\n", "[allowance g]\nshare=1%\n", "customers is missing"},
    {"[plan g]\ncustomers=a\nuntil = soon\n", "[allowance g]\nshare=1%\n",
     "plans:3: [plan g] until"},
    {"[plan g]\ncustomers=a\nprice = 3\n", "[allowance g]\nshare=1%\n",
     "plans:3: [plan g] price: unknown key"},
    {"not a list", "", "plans:1: "},
};

START_TEST(each_fault_is_named)
{
    bbl_lists *lists;

    ck_assert_int_eq(bbl_lists_parse(&lists, str(faults[_i].plans),
                                     str(faults[_i].allowances)),
                     BBL_EINVAL);
    ck_assert_ptr_null(lists);
    ck_assert_msg(strstr(bbl_error_last(), faults[_i].message) != NULL,
                  "got \"%s\", want \"%s\"", bbl_error_last(),
                  faults[_i].message);
}
END_TEST

int
main(void)
{
    Suite *suite = suite_create("lists");
    TCase *tc = tcase_create("lists");

    tcase_add_test(tc, good_lists_are_read_whole);
    tcase_add_loop_test(tc, each_fault_is_named, 0,
                        sizeof(faults) / sizeof(faults[0]));
    suite_add_tcase(suite, tc);
    return run_suite(suite);
}
