// Property test: random schedules of requests and faults against an entry
// host's forwarder.
#include <cstdlib>
#include <sstream>
#include <vector>

#include <rapidcheck.h>

#include "support/forward_schedule.h"

static rc::Gen<forward_op>
anyOp()
{
    // Requests and passing time are more frequent than faults.
    auto kind = rc::gen::weightedElement<forward_op_kind>({
        {10, FORWARD_RUN},
        {12, FORWARD_SEND},
        {3, FORWARD_BURST},
        {4, FORWARD_TREAT},
        {2, FORWARD_PAUSE},
        {1, FORWARD_SLOW},
        {1, FORWARD_LEAVING},
        {1, FORWARD_COLD},
        {1, FORWARD_GONE},
        {1, FORWARD_NARROW},
        {1, FORWARD_CONNECT},
        {1, FORWARD_ZONE},
        {1, FORWARD_ROUTING},
        {2, FORWARD_LEAVE},
        {2, FORWARD_KEY},
        {1, FORWARD_CONFIRM},
    });

    return rc::gen::build<forward_op>(
        rc::gen::set(&forward_op::kind, kind),
        rc::gen::set(&forward_op::target, rc::gen::inRange(0u, 60u)),
        rc::gen::set(&forward_op::value, rc::gen::inRange(1u, 400u)));
}

int
main()
{
    bool ok = rc::check("the forwarder keeps its guarantees", [] {
        auto ops = *rc::gen::container<std::vector<forward_op>>(anyOp());
        const char *violation =
            forward_schedule_run(ops.data(), (unsigned)ops.size());

        if (violation != nullptr) {
            std::ostringstream os;

            os << violation << " in:";
            for (auto &op : ops) {
                os << " " << forward_op_kind_name(op.kind) << "(" << op.target
                   << "," << op.value << ")";
            }
            RC_FAIL(os.str());
        }
    });

    return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
