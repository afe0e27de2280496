#include "registrygroup.h"

using namespace cassiaroad;

namespace {

// Hosts of a new group have their slots after about 1000 ms.
constexpr std::int64_t earliestEnd = 950; // milliseconds after the start
constexpr std::int64_t endStep = 3; // milliseconds

/** Control hosts that end while they join. Each run of the test ends them a little later. */
class EndedHostsTest : public RegistryGroupTest
{
protected:
    Milliseconds nextEnd()
    {
        static std::int64_t count = 0;
        return { earliestEnd + endStep * (count++ % 120) };
    }
};

} // namespace

// Guards against callbacks of connections and calls that outlive a host which ends while it joins.
TEST_F(EndedHostsTest, leaveTheOthersRunning)
{
    runFor(this->loop, this->nextEnd());
    this->hosts.erase(this->hosts.begin() + 1, this->hosts.end());
    runFor(this->loop, { 300 });
    EXPECT_EQ(this->hosts.size(), 1U);
}
