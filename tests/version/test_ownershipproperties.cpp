#include "version/simulation.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <ostream>

using namespace cassiaroad;

namespace cassiaroad {

void showValue(const Fault &fault, std::ostream &out)
{
    out << "{kind " << static_cast<int>(fault.kind) << ", wait " << fault.wait << ", target "
        << fault.target << ", span " << fault.span << "}";
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
                gen::set(&Fault::span, gen::inRange<std::uint32_t>(10, 500)));
    }
};

} // namespace rc

namespace {

void expectPromisesKept(std::uint64_t seed, bool checking, const std::vector<Fault> &faults)
{
    Simulation simulation(seed, checking);
    simulation.run(faults);
    for (const std::string &violation : simulation.violations()) {
        RC_LOG() << violation << '\n';
    }
    RC_ASSERT(simulation.violations().empty());
    RC_ASSERT(simulation.requestsRun() > 0);
    RC_CLASSIFY(simulation.movesCompleted() > 0, "owners changed");
}

} // namespace

// A missing takeover wait shows only after several hundred cases. RC_PARAMS="max_success=10000"
// runs enough of them; the default of 100 is for each commit.
//
// Guards P1, P2, P5 and P8 against delays, losses, pauses, restarts and leader changes: two owners
// of a key, a shared epoch, an old route, a vanished confirmation, a request that runs twice.
RC_GTEST_PROP(OwnershipProperties, holdWithCheckingUpstreams,
              (std::uint64_t seed, const std::vector<Fault> &faults))
{
    expectPromisesKept(seed, true, faults);
}

// The same with upstreams that run whatever they get.
RC_GTEST_PROP(OwnershipProperties, holdWithTrustingUpstreams,
              (std::uint64_t seed, const std::vector<Fault> &faults))
{
    expectPromisesKept(seed, false, faults);
}
