// Property test: the hard bound on the requests of an organisation, under
// lost, late and doubled messages, grantors and hosts that are frozen,
// restarted or cut off from each other, and routing versions that change the
// limit.
#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <sstream>
#include <vector>

#include <rapidcheck.h>

extern "C" {
#include "support/quota_fleet.h"
}

static const bbl_usec MS = BBL_USEC_PER_MS;
static const bbl_usec SEC = BBL_USEC_PER_SEC;
static const bbl_usec WINDOW = 5 * SEC;

enum QuotaOpKind {
    RUN,
    BURST,
    LOAD,
    LOSE,
    DOUBLE,
    DELAY,
    CUT,
    HEAL,
    FREEZE_GRANTOR,
    FREEZE_HOST,
    RESTART,
    SHED,
    LEAVE,
    VERSION,
    KINDS
};

static const char *const kindNames[KINDS] = {
    "run",  "burst",  "load",        "lose",    "double", "delay", "cut",
    "heal", "freeze", "freeze-host", "restart", "shed",   "leave", "version"};

struct QuotaOp {
    QuotaOpKind kind;
    unsigned target;
    unsigned value;
};

static void
showValue(const QuotaOp &op, std::ostream &os)
{
    os << kindNames[op.kind] << "(" << op.target << "," << op.value << ")";
}

// A limit and the time from which no host used it any more.
struct Limit {
    double rate;
    double burst;
    bbl_usec from;
    bbl_usec until;
};

class Schedule {
  public:
    Schedule(uint64_t seed, double rate, double burst)
    {
        quota_fleet_init(&fleet, HOSTS, seed, rate, burst);
        limits.push_back({rate, burst, 0, UINT64_MAX});
        quota_fleet_run(&fleet, 20 * SEC); // the buckets are full
    }

    ~Schedule()
    {
        quota_fleet_free(&fleet);
    }
    Schedule(const Schedule &) = delete;
    Schedule &operator=(const Schedule &) = delete;

    void apply(const QuotaOp &op);
    void finish();
    // Returns a description of the first window over the bound, or "".
    std::string findViolation() const;

  private:
    static const unsigned HOSTS = 3;

    void send(unsigned host);
    void burst(unsigned host, unsigned requests);
    void runUnderLoad(unsigned ms, unsigned perSecond);
    void changeVersion(unsigned host, unsigned value);
    void endUnusedLimits();

    quota_fleet fleet;
    std::vector<Limit> limits; // by version, from 1
    bbl_usec restartedAt[QUOTA_GRANTORS] = {};
};

void
Schedule::send(unsigned host)
{
    host %= HOSTS;
    // The simulation holds a limited number of requests.
    if (fleet.now >= fleet.host_frozen_until[host] &&
        !forward_sim_get_call(fleet.hosts[host], 4000)->used) {
        quota_fleet_send(&fleet, host, 0);
    }
}

void
Schedule::burst(unsigned host, unsigned requests)
{
    for (unsigned i = 0; i < requests; i++) {
        send(host + (host % 2 ? i : 0));
    }
}

void
Schedule::runUnderLoad(unsigned ms, unsigned perSecond)
{
    unsigned gap = std::max(1u, 1000 / std::max(1u, perSecond));

    for (unsigned t = 0; t < ms; t += gap) {
        send((unsigned)bbl_rng_below(&fleet.rng, HOSTS));
        quota_fleet_run(&fleet, gap * MS);
    }
}

void
Schedule::endUnusedLimits()
{
    uint64_t oldest =
        *std::min_element(fleet.versions, fleet.versions + HOSTS);

    for (uint64_t v = 1; v < oldest; v++) {
        limits[v - 1].until = std::min(limits[v - 1].until, fleet.now);
    }
}

// Brings a host to the newest version, or makes a newer one if it has that.
void
Schedule::changeVersion(unsigned host, unsigned value)
{
    if (fleet.now < fleet.host_frozen_until[host] || limits.size() > 20) {
        return;
    }
    if (fleet.versions[host] == limits.size()) {
        limits.push_back({(double)(value % 25 + 1) / (value % 3 + 1),
                          (double)(value % 31 * (value % 2 ? 1 : 6)),
                          fleet.now, UINT64_MAX});
    }
    quota_fleet_install(&fleet, host, limits.size(), limits.back().rate,
                        limits.back().burst);
    endUnusedLimits();
}

void
Schedule::apply(const QuotaOp &op)
{
    unsigned host = op.target % HOSTS;
    unsigned grantor = op.target % QUOTA_GRANTORS;

    switch (op.kind) {
    case RUN:
        quota_fleet_run(&fleet, op.value * 5 * MS);
        break;
    case BURST:
        burst(op.target, op.value);
        break;
    case LOAD:
        runUnderLoad(op.value * 10, 10 + op.target * 6);
        break;
    case LOSE:
        fleet.lost_per_100 = op.target % 2 ? op.value % 60 : 0;
        break;
    case DOUBLE:
        fleet.doubled_per_100 = op.value % 100;
        break;
    case DELAY:
        fleet.delay_max = op.value % 8 * MS * (op.target % 3 ? 1 : 100);
        break;
    case CUT:
        fleet.cut[host][op.value % QUOTA_GRANTORS] = true;
        break;
    case HEAL:
        std::fill(&fleet.cut[0][0], &fleet.cut[0][0] + sizeof(fleet.cut),
                  false);
        break;
    case FREEZE_GRANTOR:
        fleet.grantor_frozen_until[grantor] = fleet.now + op.value * 5 * MS;
        break;
    case FREEZE_HOST:
        // Replies arrive while it is frozen.
        burst(host, op.value);
        fleet.host_frozen_until[host] = fleet.now + op.value * 5 * MS;
        break;
    case RESTART:
        // The slack covers one restart of each grantor in a window.
        for (unsigned i = 0; i < QUOTA_GRANTORS; i++) {
            if ((i == grantor || op.value % 3 == 0) &&
                fleet.now > restartedAt[i] + WINDOW) {
                restartedAt[i] = fleet.now;
                quota_fleet_restart_grantor(&fleet, i);
            }
        }
        break;
    case SHED:
        forward_sim_get_server(fleet.hosts[host], 0)->mode =
            op.value % 2 ? SERVER_SHEDS : SERVER_OK;
        burst(host, op.value);
        break;
    case LEAVE:
        if (fleet.now >= fleet.host_frozen_until[host]) {
            unsigned n = quota_fleet_send(&fleet, host, 0);

            quota_fleet_run(&fleet, op.value % 3 * MS);
            if (!forward_sim_get_call(fleet.hosts[host], n)->answered) {
                forward_sim_cancel_request(fleet.hosts[host], n);
            }
        }
        break;
    default:
        changeVersion(host, op.value);
        break;
    }
}

void
Schedule::finish()
{
    quota_fleet_run(&fleet, 2 * SEC);
}

std::string
Schedule::findViolation() const
{
    const bbl_vec *runs = &fleet.runs[0];
    size_t last = 0;

    for (size_t first = 0; first < runs->size; first++) {
        bbl_usec from = *BBL_VEC_AT(bbl_usec, runs, first);
        double rate = 0;
        double burst = 0;

        // Limits that some host used in the window, or in the one before it.
        for (const Limit &l : limits) {
            if (l.from <= from + WINDOW &&
                (l.until == UINT64_MAX || l.until + WINDOW >= from)) {
                rate = std::max(rate, l.rate);
                burst = std::max(burst, l.burst);
            }
        }
        while (last < runs->size &&
               *BBL_VEC_AT(bbl_usec, runs, last) < from + WINDOW) {
            last++;
        }
        if ((double)(last - first) > (rate * 5 + burst) * 1.1 + 20) {
            std::ostringstream os;

            os << last - first << " requests run in 5 s from " << from / MS
               << " ms on, with rate " << rate << " and burst " << burst;
            return os.str();
        }
    }
    if (const char *v = forward_sim_get_violation(fleet.hosts[0])) {
        return v;
    }
    return "";
}

static rc::Gen<QuotaOp>
anyOp()
{
    auto kind = rc::gen::weightedElement<QuotaOpKind>({
        {6, RUN},
        {8, BURST},
        {10, LOAD},
        {2, LOSE},
        {2, DOUBLE},
        {3, DELAY},
        {3, CUT},
        {2, HEAL},
        {3, SHED},
        {3, FREEZE_GRANTOR},
        {3, FREEZE_HOST},
        {4, RESTART},
        {2, LEAVE},
        {4, VERSION},
    });

    return rc::gen::build<QuotaOp>(
        rc::gen::set(&QuotaOp::kind, kind),
        rc::gen::set(&QuotaOp::target, rc::gen::inRange(0u, 60u)),
        rc::gen::set(&QuotaOp::value, rc::gen::inRange(1u, 200u)));
}

int
main()
{
    bool ok = rc::check("an organisation stays within its hard bound", [] {
        auto seed = *rc::gen::arbitrary<uint64_t>();
        auto rate = *rc::gen::inRange(1u, 60u);
        auto burst = *rc::gen::element(0u, 1u, 5u, 20u, 40u, 150u);
        auto ops = *rc::gen::container<std::vector<QuotaOp>>(anyOp());
        Schedule schedule(seed, rate / 2.0, burst);
        std::string violation;

        for (const QuotaOp &op : ops) {
            schedule.apply(op);
        }
        schedule.finish();
        violation = schedule.findViolation();
        if (!violation.empty()) {
            std::ostringstream os;

            os << violation << ", rate " << rate / 2.0 << " burst " << burst
               << ":";
            for (const QuotaOp &op : ops) {
                os << " ";
                showValue(op, os);
            }
            RC_FAIL(os.str());
        }
    });

    return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
