/** What the leader tells gateways of upstreams that leave. */
#include "registrygroup.h"

#include "version/routingchange.h"

using namespace cassiaroad;

namespace {

// With so many waiting calls the leader builds a table every 600 ms.
constexpr int waitingGateways = 200;

/** A leader with one upstream, and calls of gateways. */
class LeavingUpstreamsTest : public RegistryGroupTest
{
protected:
    /** A watch call and its reply, once there is one. */
    struct Watch
    {
        TimePoint sentAt;
        std::optional<GatewayUpdate> update;
        kj::Promise<void> call = nullptr;
    };

    std::unique_ptr<Watch> watch(RegistryEngine &leader, std::uint64_t tableTag, int gateway = 0)
    {
        auto watch = std::make_unique<Watch>();
        GatewayReport report;
        report.gateway = "front-" + std::to_string(gateway);
        report.tableTag = tableTag;
        watch->sentAt = this->loop.now();
        watch->call = leader.watch(report)
                              .then([&update = watch->update](const GatewayWatchReply &reply) {
                                  update = std::get<GatewayUpdate>(reply);
                              })
                              .eagerlyEvaluate(nullptr);
        return watch;
    }

    GatewayUpdate present(RegistryEngine &leader)
    {
        const auto watch = this->watch(leader, 0);
        waitUntil(this->loop, [&] { return watch->update.has_value(); });
        return watch->update.value_or(GatewayUpdate {});
    }

    static UpstreamReport heartbeat(const std::string &id, std::uint64_t sequence, bool draining)
    {
        UpstreamReport report;
        report.incarnation = { id, 1 };
        report.address = { "10.0.0.1", static_cast<std::uint16_t>(id.back()) };
        report.sequence = sequence;
        report.draining = draining;
        return report;
    }

    void sendHeartbeat(RegistryEngine &leader, const std::string &id, std::uint64_t sequence,
                       bool draining)
    {
        std::optional<HeartbeatResult> response;
        leader.handleHeartbeat(heartbeat(id, sequence, draining),
                               [&](const HeartbeatResult &value) { response = value; });
        waitUntil(this->loop, [&] { return response.has_value(); });
        EXPECT_TRUE(response && std::holds_alternative<HeartbeatResponse>(*response));
    }

    // Returns the phase of the upstream in a complete table, or nothing if the table has none.
    static std::optional<UpstreamPhase> phaseIn(const GatewayUpdate &update, const std::string &id)
    {
        const auto change = decodeRoutingChange(update.change.value_or(""));
        for (const RoutedUpstream &routed :
             change ? change->upstreams : std::vector<RoutedUpstream>()) {
            if (routed.upstream.incarnation.id == id) {
                return routed.upstream.phase;
            }
        }
        return std::nullopt;
    }
};

} // namespace

// Guards against gateways that take a routing table for newer than the acknowledgement of a
// shutdown that it does not show, and count the drain period from there.
TEST_F(LeavingUpstreamsTest, areNotInTheTableBeforeTheTimeThatTheLeaderTells)
{
    RegistryEngine *leader = this->waitForLeader();
    ASSERT_NE(leader, nullptr);
    this->sendHeartbeat(*leader, "i-1", 1, false);
    runFor(this->loop, { 300 });
    std::uint64_t tag = this->present(*leader).tableTag;
    std::vector<std::unique_ptr<Watch>> waiting;
    for (int gateway = 1; gateway <= waitingGateways; ++gateway) {
        waiting.push_back(this->watch(*leader, tag, gateway));
    }
    this->sendHeartbeat(*leader, "i-2", 1, false); // a new table resumes the calls
    ASSERT_TRUE(waitUntil(this->loop, [&] { return waiting.back()->update.has_value(); }));
    tag = waiting.back()->update->tableTag;
    waiting.clear();
    for (int gateway = 1; gateway <= waitingGateways; ++gateway) {
        waiting.push_back(this->watch(*leader, tag, gateway));
    }
    this->sendHeartbeat(*leader, "i-1", 2, true);
    const TimePoint acknowledgedAt = this->loop.now();
    runFor(this->loop, { 30 });

    const auto later = this->watch(*leader, 0);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return later->update.has_value(); }));
    const TimePoint shownUntil = later->sentAt + later->update->waited - later->update->tableAge;
    const bool isShown = phaseIn(*later->update, "i-1") == UpstreamPhase::Draining;
    EXPECT_TRUE(isShown || shownUntil <= acknowledgedAt)
            << (shownUntil - acknowledgedAt).count << " ms too late";
}

// Guards against news that waits for the interval between two notifications though no gateway was
// notified lately.
TEST_F(LeavingUpstreamsTest, areToldAtOnceAfterAQuietTime)
{
    RegistryEngine *leader = this->waitForLeader();
    ASSERT_NE(leader, nullptr);
    this->sendHeartbeat(*leader, "i-1", 1, false);
    runFor(this->loop, { 800 });
    for (std::uint64_t i = 0; i < 4; ++i) {
        const std::uint64_t tag = this->present(*leader).tableTag;
        std::vector<std::unique_ptr<Watch>> waiting;
        for (int gateway = 1; gateway <= waitingGateways; ++gateway) {
            waiting.push_back(this->watch(*leader, tag, gateway));
        }
        runFor(this->loop, { 700 }); // longer than the interval, shorter than the watch timeout
        this->sendHeartbeat(*leader, "j-" + std::to_string(i), 1, false);
        const auto isTold = [&] { return waiting.front()->update.has_value(); };
        EXPECT_TRUE(waitUntil(this->loop, isTold, { 250 })) << "time " << i;
    }
}

// Guards against a leader that builds tables the more often the busier it is, because no gateway's
// call waits then: each reply needs a change of its own, and gateways fall behind.
TEST_F(LeavingUpstreamsTest, makeNoTableForEachOfManyChangesWhileNoCallWaits)
{
    RegistryEngine *leader = this->waitForLeader();
    ASSERT_NE(leader, nullptr);
    std::vector<std::unique_ptr<Watch>> watches;
    for (int gateway = 1; gateway <= waitingGateways; ++gateway) {
        watches.push_back(this->watch(*leader, 0, gateway)); // answered at once
    }
    ASSERT_TRUE(waitUntil(this->loop, [&] { return watches.back()->update.has_value(); }));
    runFor(this->loop, { 700 });
    const std::uint64_t firstTag = this->present(*leader).tableTag;
    const TimePoint start = this->loop.now();
    for (std::uint64_t i = 0; i < 20; ++i) {
        this->sendHeartbeat(*leader, "i-" + std::string(1, static_cast<char>('a' + i)), 1, false);
        runFor(this->loop, { 35 }); // longer than the shortest interval between two tables
    }
    constexpr std::int64_t interval = 3 * waitingGateways; // milliseconds
    const std::int64_t allowed = (this->loop.now() - start).count / interval + 2;
    const auto built = static_cast<std::int64_t>(this->present(*leader).tableTag - firstTag);
    EXPECT_LE(built, allowed);
}

// Guards against a leader that tells gateways an empty routing table before it has built its first
// one: they drop all upstreams, and forget since when one of them has been leaving.
TEST_F(LeavingUpstreamsTest, areInTheFirstTableOfANewLeader)
{
    RegistryEngine *first = this->waitForLeader();
    ASSERT_NE(first, nullptr);
    this->sendHeartbeat(*first, "i-1", 1, false);
    this->sendHeartbeat(*first, "i-1", 2, true);
    runFor(this->loop, { 200 });
    std::erase_if(this->hosts, [&](const auto &host) { return &host->engine == first; });
    RegistryEngine *next = nullptr;
    ASSERT_TRUE(waitUntil(this->loop, [&] {
        for (const auto &host : this->hosts) {
            GroupMember &member = host->engine.member();
            next = member.isLeader() && member.hasLease() ? &host->engine : next;
        }
        return next != nullptr;
    }));
    EXPECT_EQ(phaseIn(this->present(*next), "i-1"), UpstreamPhase::Draining);
}

// Guards against a heartbeat that is sent again, because its response is slow, and acknowledged
// before the shutdown that it announces is committed: it may never be.
TEST_F(LeavingUpstreamsTest, areNotAcknowledgedBeforeTheCommit)
{
    RegistryEngine *leader = this->waitForLeader();
    ASSERT_NE(leader, nullptr);
    this->sendHeartbeat(*leader, "i-1", 1, false);
    int responses = 0;
    for (int i = 0; i < 2; ++i) {
        leader->handleHeartbeat(heartbeat("i-1", 2, true), [&](const HeartbeatResult &value) {
            EXPECT_TRUE(std::holds_alternative<HeartbeatResponse>(value));
            ++responses;
        });
    }
    EXPECT_EQ(responses, 0); // the loop has not run, so nothing is committed
    EXPECT_TRUE(waitUntil(this->loop, [&] { return responses == 2; }));
    runFor(this->loop, { 300 }); // until the leader has built the next table
    EXPECT_EQ(phaseIn(this->present(*leader), "i-1"), UpstreamPhase::Draining);
}
