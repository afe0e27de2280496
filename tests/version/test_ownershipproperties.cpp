#include "version/simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <ostream>

using namespace cassiaroad;

namespace cassiaroad {

void showValue(const Fault &fault, std::ostream &out)
{
    out << "{kind " << static_cast<int>(fault.kind) << ", wait " << fault.wait << ", target "
        << fault.target << ", period " << fault.period << "}";
}

} // namespace cassiaroad

namespace rc {

template <>
struct Arbitrary<Fault>
{
    static Gen<Fault> arbitrary()
    {
        return gen::build<Fault>(
                gen::set(&Fault::kind,
                         gen::map(gen::inRange(0, 10),
                                  [](int value) { return static_cast<FaultKind>(value); })),
                gen::set(&Fault::wait, gen::inRange<std::uint32_t>(0, 200)),
                gen::set(&Fault::target, gen::inRange<std::uint32_t>(0, 42)),
                gen::set(&Fault::period, gen::inRange<std::uint32_t>(10, 500)));
    }
};

} // namespace rc

namespace {

void expectNoViolations(std::uint64_t seed, bool checkGrants, const std::vector<Fault> &faults)
{
    Simulation simulation(seed, checkGrants);
    simulation.run(faults);
    for (const std::string &violation : simulation.violations()) {
        RC_LOG() << violation << '\n';
    }
    RC_ASSERT(simulation.violations().empty());
    RC_ASSERT(simulation.requestsRun() > 0);
    RC_CLASSIFY(simulation.movesCompleted() > 0, "owners changed");
}

} // namespace

// Guards against two owners of a key, an epoch with two owners, a stale route, a confirmation that
// is no longer stored, and a request that runs twice (P1, P2, P5, P8), after delayed and dropped
// messages, pauses, restarts and changes of the leader.
//
// A missing takeover wait is detected only after several hundred cases.
// RC_PARAMS="max_success=10000" runs enough of them; the default of 100 is for each commit.
RC_GTEST_PROP(OwnershipProperties, holdWithUpstreamsThatCheckGrants,
              (std::uint64_t seed, const std::vector<Fault> &faults))
{
    expectNoViolations(seed, true, faults);
}

// The same with upstreams that run every request without checking their grants.
RC_GTEST_PROP(OwnershipProperties, holdWithUpstreamsThatDoNotCheckGrants,
              (std::uint64_t seed, const std::vector<Fault> &faults))
{
    expectNoViolations(seed, false, faults);
}
