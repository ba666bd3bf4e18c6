// Property test: random schedules of faults during a rollout. The exposure and
// the rollback hold whatever hosts know of each other.
#include <cstdlib>
#include <sstream>
#include <vector>

#include <rapidcheck.h>

#include "support/rollout_sim.h"

static rc::Gen<rollout_op>
anyOp()
{
    auto kind = rc::gen::weightedElement<rollout_op_kind>({
        {10, ROLLOUT_RUN},
        {2, ROLLOUT_RESTART},
        {3, ROLLOUT_PAUSE},
        {2, ROLLOUT_ISOLATE},
        {2, ROLLOUT_CUT},
        {3, ROLLOUT_HEAL},
        {1, ROLLOUT_TRANSFER},
        {1, ROLLOUT_CLOCK},
    });

    return rc::gen::build<rollout_op>(
        rc::gen::set(&rollout_op::kind, kind),
        rc::gen::set(&rollout_op::first_arg, rc::gen::inRange(0u, 60u)),
        rc::gen::set(&rollout_op::second_arg, rc::gen::inRange(0u, 6000u)));
}

int
main()
{
    bool ok = rc::check("a rollout keeps its limits", [] {
        auto seed = *rc::gen::arbitrary<uint64_t>();
        auto ops = *rc::gen::container<std::vector<rollout_op>>(anyOp());
        const char *violation =
            rollout_sim_run(seed, ops.data(), (unsigned)ops.size());

        if (violation != nullptr) {
            std::ostringstream os;

            os << violation << " with seed " << seed << " in:";
            for (auto &op : ops) {
                os << " " << rollout_op_name(op.kind) << "(" << op.first_arg
                   << "," << op.second_arg << ")";
            }
            RC_FAIL(os.str());
        }
    });

    return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
