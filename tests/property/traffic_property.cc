// Random schedules of faults against the gather and dispatch cores.
#include <cstdlib>
#include <sstream>
#include <vector>

#include <rapidcheck.h>

#include "support/traffic_sim.h"

static rc::Gen<traffic_op>
anyOp()
{
    // Queries and time come before faults.
    auto kind = rc::gen::weightedElement<traffic_kind>({
        {10, TRAFFIC_RUN},
        {12, TRAFFIC_QUERY},
        {4, TRAFFIC_BURST},
        {1, TRAFFIC_KILL},
        {1, TRAFFIC_PAUSE},
        {1, TRAFFIC_MOVE},
        {1, TRAFFIC_COLD},
        {1, TRAFFIC_RESTART},
        {1, TRAFFIC_LEAVE},
        {1, TRAFFIC_SILENT},
        {1, TRAFFIC_BREAK},
        {2, TRAFFIC_STRAGGLE},
        {1, TRAFFIC_ROLL},
        {1, TRAFFIC_SPLIT},
        {2, TRAFFIC_DROP},
        {1, TRAFFIC_ZONE},
        {1, TRAFFIC_LOSS},
        {2, TRAFFIC_HAND},
    });

    return rc::gen::build<traffic_op>(
        rc::gen::set(&traffic_op::kind, kind),
        rc::gen::set(&traffic_op::a, rc::gen::inRange(0u, 60u)),
        rc::gen::set(&traffic_op::b, rc::gen::inRange(0u, 400u)));
}

int
main()
{
    bool ok = rc::check("the traffic cores keep their promises", [] {
        auto seed = *rc::gen::arbitrary<uint64_t>();
        auto ops = *rc::gen::container<std::vector<traffic_op>>(anyOp());
        const char *violation =
            traffic_sim_run(seed, ops.data(), (unsigned)ops.size());

        if (violation != nullptr) {
            std::ostringstream os;

            os << violation << " in:";
            for (auto &op : ops) {
                os << " " << traffic_kind_name(op.kind) << "(" << op.a << ","
                   << op.b << ")";
            }
            RC_FAIL(os.str());
        }
    });

    return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
