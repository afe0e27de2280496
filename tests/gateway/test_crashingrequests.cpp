#include "gatewayrequesttest.h"

#include <algorithm>

using namespace cassiaroad;

namespace {

constexpr Milliseconds trialDelay { 1000 }; // from the block to the first trial

/** A gateway that refuses a request under which upstreams have crashed. */
class BlockedRequestTest : public GatewayRequestTest
{
protected:
    void SetUp() override
    {
        this->serve([&](FakePeer::Connection &connection) {
            ++this->arrived;
            const std::string received = std::exchange(connection.received, {});
            if (this->crashes) {
                connection.disconnect();
                return;
            }
            connection.write(withRequestId(received, "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n")
                             + "\r\n");
        });
        for (; this->born <= 3; ++this->born) {
            this->publish(RangePhase::Owned);
            const auto client = this->request("POST", "/order/1");
            ASSERT_TRUE(this->waitForResponse(*client, "HTTP/1.1 502"));
        }
        this->publish(RangePhase::Owned);
        this->crashes = false;
        this->arrived = 0;
        this->core.setReportHandler([this] { ++this->urgentReports; });
    }

    /** Takes the report of the gateway; replies that the gateway @p name gets the trial it asks
     * for. */
    void grantTrial(const std::string &name)
    {
        const TimePoint now = this->core.now();
        const GatewayReport report = this->core.takeReport();
        ASSERT_EQ(report.trials.size(), 1U);
        for (const BrokenAttempt &broken : report.broken) {
            this->leader.record(broken, now);
        }
        ASSERT_TRUE(this->leader.grantTrial(report.trials[0], name, now));
        GatewayUpdate update;
        update.suspects = this->leader.suspects(now);
        update.suspectsTag = tagOf(*update.suspects);
        this->core.update(update, now);
    }

    CrashLedger leader;
    bool crashes = true;
    int arrived = 0; // requests at the upstream, since the block
    int urgentReports = 0;
};

} // namespace

// Guards against refusing a request for minutes that upstreams would answer: they have crashed for
// another reason while they had several copies of it (CONFIG).
TEST_F(BlockedRequestTest, isServedAgainOnceATrialIsAnswered)
{
    const auto early = this->request("POST", "/order/1");
    ASSERT_TRUE(this->waitForResponse(*early, "HTTP/1.1 503", { 500 }));
    EXPECT_EQ(this->urgentReports, 0);
    runFor(this->loop, trialDelay);
    const auto tried = this->request("POST", "/order/1");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->urgentReports == 1; }));
    // Only one request waits for the decision.
    const auto beside = this->request("POST", "/order/1");
    ASSERT_TRUE(this->waitForResponse(*beside, "HTTP/1.1 503", { 500 }));
    this->grantTrial("front-1");
    ASSERT_TRUE(this->waitForResponse(*tried, "HTTP/1.1 200"));
    const auto next = this->request("POST", "/order/1");
    EXPECT_TRUE(this->waitForResponse(*next, "HTTP/1.1 200"));
}

// Guards against each gateway trying a request that may crash upstreams.
TEST_F(BlockedRequestTest, isRefusedWhileAnotherGatewayTriesIt)
{
    runFor(this->loop, trialDelay);
    const auto client = this->request("POST", "/order/1");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->urgentReports == 1; }));
    this->grantTrial("front-2");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503", { 500 }));
    EXPECT_EQ(this->arrived, 0);
}

// Guards against a trial that is repeated: a request that does crash upstreams gets one for each.
TEST_F(BlockedRequestTest, isSentOnceForEachTrial)
{
    this->crashes = true;
    runFor(this->loop, trialDelay);
    const auto client = this->request("POST", "/order/1");
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->urgentReports == 1; }));
    this->grantTrial("front-1");
    ASSERT_TRUE(this->waitForResponse(*client, "HTTP/1.1 502"));
    const auto next = this->request("POST", "/order/1");
    EXPECT_TRUE(this->waitForResponse(*next, "HTTP/1.1 503", { 500 }));
    EXPECT_EQ(this->arrived, 1);
}

// Guards against a client that waits until its deadline while no leader can be asked.
TEST_F(BlockedRequestTest, isRefusedWithoutADecision)
{
    runFor(this->loop, trialDelay);
    const auto client = this->request("POST", "/order/1", "4000");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503", { 2000 }));
    EXPECT_EQ(this->arrived, 0);
}

// Guards against sending a request on and on under which one upstream after the other crashes.
TEST_F(GatewayRequestTest, sendsNoRequestUnderWhichThreeUpstreamsHaveCrashed)
{
    int requests = 0;
    this->serve([&](FakePeer::Connection &connection) {
        ++requests;
        connection.disconnect();
    });
    for (; this->born <= 3; ++this->born) {
        this->publish(RangePhase::Owned);
        const auto client = this->request("POST", "/order/1");
        ASSERT_TRUE(this->waitForResponse(*client, "HTTP/1.1 502"));
    }
    this->publish(RangePhase::Owned);
    const auto client = this->request("POST", "/order/1");
    ASSERT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503"));
    EXPECT_EQ(requests, 3);
    const auto other = this->request("POST", "/order/2");
    EXPECT_TRUE(this->waitForResponse(*other, "HTTP/1.1 502"));
}

// Guards against a request that crashes one upstream after the other in several copies each, while
// gateways count the upstreams.
TEST_F(GatewayRequestTest, countsEachCopyOfARequestThatAnUpstreamHadWhenItCrashed)
{
    this->serve([this](FakePeer::Connection &) {
        const auto &connections = this->peer->connections;
        const auto received
                = std::count_if(connections.begin(), connections.end(),
                                [](const auto &known) { return !known->received.empty(); });
        if (received < 3) {
            return;
        }
        for (const auto &connection : connections) {
            connection->disconnect();
        }
    });
    std::vector<std::unique_ptr<RawClient>> clients;
    for (const char *id : { "r1", "r2", "r3" }) {
        clients.push_back(this->request("POST", "/order/1", "2000", id));
    }
    for (const auto &client : clients) {
        ASSERT_TRUE(this->waitForResponse(*client, "HTTP/1.1 502"));
    }
    this->born = 2;
    this->publish(RangePhase::Owned);
    const auto client = this->request("POST", "/order/1", "2000", "r4");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503", { 500 }));
}

// Guards against refusing a request that upstreams answer, only because some of them have crashed
// while they had one like it.
TEST_F(GatewayRequestTest, sendsARequestOnThatUpstreamsAnswerBetweenCrashes)
{
    bool crashes = true;
    this->serve([&](FakePeer::Connection &connection) {
        if (crashes) {
            connection.disconnect();
            return;
        }
        connection.write(withRequestId(std::exchange(connection.received, {}),
                                       "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n")
                         + "\r\n");
    });
    for (; this->born <= 5; ++this->born) {
        crashes = this->born != 2;
        this->publish(RangePhase::Owned);
        const auto client = this->request("POST", "/order/1");
        ASSERT_TRUE(this->waitForResponse(*client, crashes ? "HTTP/1.1 502" : "HTTP/1.1 200"));
    }
}
