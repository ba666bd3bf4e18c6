// Runs random schedules of faults against simulated control cores. RapidCheck
// prints the seed and shrinks a failing schedule.
#include <cstdlib>
#include <cstring>
#include <sstream>
#include <vector>

#include <rapidcheck.h>

#include "support/control_sim.h"

static void
showValue(const control_op &op, std::ostream &os)
{
    os << control_op_name(op.kind) << "(" << op.first_arg << ","
       << op.second_arg << ")";
}

static rc::Gen<control_op>
anyOp()
{
    // CONTROL_RUN has the highest weight; changes and claims outweigh faults.
    auto kind = rc::gen::weightedElement<control_op_kind>({
        {12, CONTROL_RUN},
        {2, CONTROL_CRASH},
        {4, CONTROL_RESTART},
        {2, CONTROL_PAUSE},
        {2, CONTROL_CUT},
        {2, CONTROL_ISOLATE},
        {4, CONTROL_HEAL},
        {6, CONTROL_CHANGE},
        {2, CONTROL_RESEND},
        {2, CONTROL_RACE},
        {3, CONTROL_CLAIM},
        {1, CONTROL_WIPE},
        {2, CONTROL_ADD},
        {1, CONTROL_REMOVE},
        {1, CONTROL_FAIL_DISK},
        {1, CONTROL_DRAIN},
        {1, CONTROL_LEAVE},
        {2, CONTROL_TRANSFER},
    });

    return rc::gen::build<control_op>(
        rc::gen::set(&control_op::kind, kind),
        rc::gen::set(&control_op::first_arg, rc::gen::inRange(0u, 64u)),
        rc::gen::set(&control_op::second_arg, rc::gen::inRange(0u, 400u)));
}

using schedule_runner = const char *(*)(uint64_t, const control_op *,
                                        unsigned);

static bool
check_schedules(const char *property, schedule_runner run)
{
    return rc::check(property, [run] {
        auto seed = *rc::gen::arbitrary<uint64_t>();
        auto ops = *rc::gen::container<std::vector<control_op>>(anyOp());
        const char *violation = run(seed, ops.data(), (unsigned)ops.size());

        if (violation != nullptr) {
            std::ostringstream os;

            os << violation << " in:";
            for (auto &op : ops) {
                os << " ";
                showValue(op, os);
            }
            RC_FAIL(os.str());
        }
    });
}

int
main()
{
    bool ok = check_schedules("the control core keeps its invariants",
                              control_sim_run);

    ok = check_schedules("a group with a spare keeps them too",
                         control_sim_run_with_spare) &&
         ok;
    return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
