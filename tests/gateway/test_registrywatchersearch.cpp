#include "gateway/registrywatcher.h"

#include "connection/rpcserver.h"
#include "schema/cassiaroad.capnp.h"
#include "support/loopwait.h"
#include "support/silencingrelay.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

using namespace cassiaroad;

namespace {

constexpr Milliseconds watchTimeout { 400 };
// How late the gateway may learn of a change, from the moment at which the connections go silent,
// and from the moment at which a leader can be reached on a new connection.
constexpr Milliseconds maxAfterSilence { 400 + 1000 }; // the watch timeout and 1 s
constexpr Milliseconds maxAfterElection { 2000 };
constexpr Milliseconds electionDuration { 300 }; // without a leader

std::string ipOf(int number)
{
    return "127.0.0." + std::to_string(number);
}

/** What a control host knows, as the test has set it, and the reports that it has received. */
struct HostState
{
    bool leads = false;
    ConfigurationVersion version = 1;
    GroupHint hint;
    MemberList members; // sent with an update if the gateway has another revision
    Milliseconds updateDelay; // of the replies to watch calls, but not to searches
    std::vector<GatewayReport> reports;
};

/** A control host that replies like a registry: with updates while it leads, else with a hint. */
class ScriptedRegistry final : public rpc::Registry::Server
{
public:
    ScriptedRegistry(EventLoop &loop, HostState &state)
        : loop(loop)
        , state(state)
    { }

    kj::Promise<void> watch(WatchContext context) override
    {
        const auto bytes = context.getParams().getReport().asChars();
        const auto report = decodeGatewayReport({ bytes.begin(), bytes.size() }).value();
        this->state.reports.push_back(report);
        if (report.isSearch) {
            setAnswer(context, this->reply(report, this->loop.now()));
            return kj::READY_NOW;
        }
        const TimePoint calledAt = this->loop.now();
        return this->waitForChange(report, calledAt)
                .then([this, context, report, calledAt]() mutable {
                    setAnswer(context, this->reply(report, calledAt));
                    return rpcDelay(this->loop, this->state.updateDelay);
                });
    }

private:
    static void setAnswer(WatchContext &context, const GatewayWatchReply &reply)
    {
        const std::string bytes = encode(reply);
        context.getResults().setAnswer(
                kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
    }

    kj::Promise<void> waitForChange(const GatewayReport &report, TimePoint calledAt)
    {
        const bool isCurrent = this->state.leads && report.version >= this->state.version;
        if (!isCurrent || this->loop.now() - calledAt >= watchTimeout) {
            return kj::READY_NOW;
        }
        return rpcDelay(this->loop, { 5 }).then([this, report, calledAt] {
            return this->waitForChange(report, calledAt);
        });
    }

    GatewayWatchReply reply(const GatewayReport &report, TimePoint calledAt) const
    {
        if (!this->state.leads) {
            return this->state.hint;
        }
        GatewayUpdate update;
        update.watchTimeout = watchTimeout;
        if (!report.isSearch) {
            update.version = this->state.version;
            update.waited = this->loop.now() - calledAt;
            if (report.membersRevision.value_or(0) != this->state.members.revision) {
                update.members = this->state.members;
            }
        }
        return update;
    }

    EventLoop &loop;
    HostState &state;
};

/** A control host behind a relay; the relay has the address that gateways know. */
struct TestHost
{
    TestHost(EventLoop &loop, int number, std::uint16_t port)
        : server(loop, {}, kj::heap<ScriptedRegistry>(loop, state))
    {
        EXPECT_EQ(this->server.listen({ "127.0.1." + std::to_string(number), 0 }), "");
        const HostAddress target { "127.0.1." + std::to_string(number), this->server.port() };
        this->relay = std::make_unique<SilencingRelay>(HostAddress { ipOf(number), port }, target);
        EXPECT_TRUE(this->relay->isListening);
    }

    HostState state;
    RpcServer server;
    std::unique_ptr<SilencingRelay> relay;
};

/** A control group of scripted hosts, numbered from 1, and one gateway's watcher. */
class RegistryWatcherSearch : public testing::Test
{
protected:
    void start(int count, int leader)
    {
        for (int number = 1; number <= count; ++number) {
            this->addHost(number);
            this->settings.seeds.push_back({ ipOf(number), this->hosts[0]->relay->port });
        }
        this->settings.internalPort = this->hosts[0]->relay->port;
        this->elect(leader);
        this->watcher = std::make_unique<RegistryWatcher>(
                this->loop, this->settings, this->log,
                RegistryWatcher::Handlers {
                        [this] { return this->takeReport(); },
                        [this](const GatewayUpdate &update, TimePoint) { this->apply(update); },
                        [this](const GatewayUpdate &update, TimePoint) {
                            ++this->lateUpdates;
                            this->apply(update);
                        } });
        this->watcher->start();
        ASSERT_TRUE(waitUntil(this->loop, [this] { return this->version == 1; }));
        runFor(this->loop, { 50 });
    }

    void addHost(int number)
    {
        const std::uint16_t port = this->hosts.empty() ? 0 : this->hosts[0]->relay->port;
        this->hosts.push_back(std::make_unique<TestHost>(this->loop, number, port));
    }

    TestHost &host(int number) { return *this->hosts.at(static_cast<std::size_t>(number - 1)); }

    /** Lets a host lead (0: none), and all name @p named; by default the same host. */
    void elect(int leader, std::optional<int> named = std::nullopt)
    {
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
            HostState &state = this->hosts[i]->state;
            state.leads = static_cast<int>(i) + 1 == leader;
            state.hint.groupExists = true;
            const int shown = named.value_or(leader);
            state.hint.leaderIp = shown == 0 ? "" : ipOf(shown);
            for (std::size_t member = 0; member < this->hosts.size(); ++member) {
                state.hint.members[static_cast<std::uint32_t>(member)]
                        = ipOf(static_cast<int>(member) + 1);
            }
        }
    }

    /** Changes the configuration; returns whether the gateway learns of it within @p maxTime. */
    bool learnsOfAChange(Milliseconds maxTime)
    {
        const ConfigurationVersion next = this->version + 1;
        for (const auto &host : this->hosts) {
            host->state.version = next;
        }
        return waitUntil(
                this->loop, [this, next] { return this->version == next; }, maxTime);
    }

    void silenceAll()
    {
        for (const auto &host : this->hosts) {
            host->relay->silence();
        }
    }

    GatewayReport takeReport()
    {
        GatewayReport report;
        report.version = this->version;
        report.requests = ++this->reportCount;
        return report;
    }

    void apply(const GatewayUpdate &update)
    {
        this->version = std::max(this->version, update.version);
        ++this->updates;
    }

    EventLoop loop;
    EventLog log { "front-1" };
    SiteSettings settings;
    std::vector<std::unique_ptr<TestHost>> hosts;
    ConfigurationVersion version = 0;
    std::uint32_t reportCount = 0;
    int updates = 0;
    int lateUpdates = 0; // among them, in reply to an earlier report than the last
    std::unique_ptr<RegistryWatcher> watcher;
};

} // namespace

// Guards against a gateway that, after its connections went silent more than once, calls one host
// after the other on connections of earlier searches, which are silent too.
TEST_F(RegistryWatcherSearch, findsTheLeaderAfterEachOfSeveralSilences)
{
    constexpr int silences = 6;
    this->start(5, 2);
    for (int i = 0; i < silences; ++i) {
        this->silenceAll();
        ASSERT_TRUE(this->learnsOfAChange(maxAfterSilence)) << i;
        runFor(this->loop, { 700 });
    }
}

// Guards against a search that waits for the reply timeout of each frozen host, which accepts
// connections and never answers, before it calls the next.
TEST_F(RegistryWatcherSearch, findsTheNextLeaderWhileThreeHostsAreFrozen)
{
    // The former leader, two others and the next leader.
    const std::vector<std::array<int, 4>> changes { { 1, 2, 3, 5 },
                                                    { 5, 6, 7, 2 },
                                                    { 2, 4, 1, 7 } };
    this->start(7, 1);
    for (const auto &[former, second, third, next] : changes) {
        for (const int number : { former, second, third }) {
            this->host(number).relay->setFrozen(true);
        }
        this->elect(0);
        runFor(this->loop, electionDuration);
        this->elect(next);
        ASSERT_TRUE(this->learnsOfAChange(maxAfterElection)) << next;
        for (const int number : { former, second, third }) {
            this->host(number).relay->setFrozen(false);
        }
        runFor(this->loop, { 300 });
    }
}

// Guards against a gateway that stays with the first leader it finds while that host freezes and
// another is elected.
TEST_F(RegistryWatcherSearch, findsALeaderThatChangesDuringTheSearch)
{
    this->start(5, 1);
    this->host(1).relay->setFrozen(true);
    this->elect(0);
    runFor(this->loop, electionDuration);
    this->host(2).state.reports.clear();
    this->elect(2);
    ASSERT_TRUE(waitUntil(this->loop, [this] { return !this->host(2).state.reports.empty(); }));
    this->host(2).relay->setFrozen(true);
    this->elect(0, 2);
    runFor(this->loop, { 200 });
    this->elect(3, 2);
    EXPECT_TRUE(this->learnsOfAChange(maxAfterElection));
}

// Guards against a gateway that follows each hint to a former leader which does not answer.
TEST_F(RegistryWatcherSearch, findsTheLeaderThoughOthersNameAFormerOne)
{
    constexpr int elections = 3;
    this->start(5, 1);
    this->host(1).relay->setFrozen(true);
    this->elect(0, 1);
    runFor(this->loop, { 2500 });
    for (int i = 0; i < elections; ++i) {
        this->elect(3 + i % 2, 1);
        ASSERT_TRUE(this->learnsOfAChange(maxAfterElection)) << i;
        this->elect(0, 1);
        runFor(this->loop, electionDuration);
    }
}

// Guards against timeouts that have doubled while no host answered and are kept: the call to the
// next leader, on a connection that is silent, then takes seconds.
TEST_F(RegistryWatcherSearch, findsALeaderThatDidNotAnswerForLong)
{
    this->start(3, 1);
    for (int number = 1; number <= 3; ++number) {
        this->host(number).relay->setFrozen(true);
    }
    runFor(this->loop, { 9000 });
    this->silenceAll();
    this->elect(2);
    for (int number = 1; number <= 3; ++number) {
        this->host(number).relay->setFrozen(false);
    }
    ASSERT_TRUE(this->learnsOfAChange(maxAfterElection));
    this->silenceAll();
    EXPECT_TRUE(this->learnsOfAChange(maxAfterSilence));
}

// Guards against load that is counted once for each host that is asked for the leader.
TEST_F(RegistryWatcherSearch, sendsTheLoadOfEachReportOnce)
{
    this->start(5, 1);
    this->host(1).relay->setFrozen(true);
    runFor(this->loop, electionDuration);
    this->elect(2);
    ASSERT_TRUE(this->learnsOfAChange(maxAfterElection));
    std::set<std::uint32_t> seen;
    int searches = 0;
    for (const auto &host : this->hosts) {
        for (const GatewayReport &report : host->state.reports) {
            searches += report.isSearch ? 1 : 0;
            EXPECT_TRUE(report.isSearch ? report.requests == 0
                                        : seen.insert(report.requests).second);
        }
    }
    EXPECT_GE(searches, 4);
}

// Guards against a search that gives up the call to a slow leader, whose reply would take as long
// again, and against connections that pile up because the leader answers each search at once.
TEST_F(RegistryWatcherSearch, keepsACallWhoseReplyIsSlow)
{
    constexpr Milliseconds linkDelay { 2000 };
    // With the three watch calls, one that was closed and that the server has not removed yet.
    constexpr std::size_t maxConnections = 4;
    this->start(3, 1);
    this->host(1).state.updateDelay = linkDelay;
    EXPECT_TRUE(this->learnsOfAChange(watchTimeout + linkDelay + Milliseconds { 300 }));
    std::size_t connections = 0;
    waitUntil(this->loop,
              [&] {
                  connections = std::max(connections, this->host(1).server.connectionCount());
                  return false;
              },
              { 5000 });
    EXPECT_GT(this->updates, 2);
    EXPECT_GT(this->lateUpdates, 0);
    EXPECT_LE(connections, maxConnections);
}

// Guards against a gateway that finds nobody after all hosts of its settings were replaced and the
// leader that it followed fails last.
TEST_F(RegistryWatcherSearch, findsAMemberThatOnlyTheLeaderHasNamed)
{
    this->start(3, 1);
    this->addHost(4);
    this->host(1).state.members = { 7, { { 1, ipOf(4) } } };
    ASSERT_TRUE(this->learnsOfAChange({ 500 }));
    for (int number = 1; number <= 3; ++number) {
        this->host(number).relay->setFrozen(true);
        this->host(number).state.leads = false;
    }
    this->host(4).state.leads = true;
    EXPECT_TRUE(this->learnsOfAChange(maxAfterElection));
}
