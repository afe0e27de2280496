/** A leader whose loop always has something to do. */
#include "registrygroup.h"

using namespace cassiaroad;

namespace {

// Upstreams and operators call another host after this time.
constexpr Milliseconds callersPatience { 1000 };

/** Keeps an event ready in the loop, as calls do that arrive faster than they are handled. */
class EndlessEvents : private kj::TaskSet::ErrorHandler
{
public:
    EndlessEvents()
        : tasks(*this)
    {
        this->next();
    }

private:
    void next()
    {
        this->tasks.add(kj::evalLater([this] { this->next(); }));
    }
    void taskFailed(kj::Exception &&exception) override
    {
        ADD_FAILURE() << kj::str(exception).cStr();
    }

    kj::TaskSet tasks;
};

using BusyLeaderTest = RegistryGroupTest;

} // namespace

// Guards against a leader that handles calls and commits nothing, because it writes its log only
// when no other event is ready.
TEST_F(BusyLeaderTest, commitsWhileAnEventIsAlwaysReady)
{
    RegistryEngine *leader = this->waitForLeader();
    ASSERT_NE(leader, nullptr);
    const EndlessEvents events;
    std::optional<HeartbeatResult> response;
    UpstreamReport heartbeat;
    heartbeat.incarnation = { "i-1", 1 };
    heartbeat.sequence = 1;
    leader->handleHeartbeat(heartbeat, [&](const HeartbeatResult &value) { response = value; });
    ASSERT_TRUE(waitUntil(
            this->loop, [&] { return response.has_value(); }, callersPatience));
    EXPECT_TRUE(std::holds_alternative<HeartbeatResponse>(*response));
}
