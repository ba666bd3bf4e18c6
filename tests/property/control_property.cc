// Random schedules of faults against the control cores; the seed is printed
// and a failing schedule is shrunk.
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
    // Time passes most often; changes and claims come before faults.
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
        rc::gen::set(&control_op::a, rc::gen::inRange(0u, 64u)),
        rc::gen::set(&control_op::b, rc::gen::inRange(0u, 400u)));
}

int
main()
{
    bool ok = rc::check("the control core keeps its invariants", [] {
        auto seed = *rc::gen::arbitrary<uint64_t>();
        auto ops = *rc::gen::container<std::vector<control_op>>(anyOp());
        const char *violation =
            control_sim_run(seed, ops.data(), (unsigned)ops.size());

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

    return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
