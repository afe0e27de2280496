#include "entrysite.h"

using namespace cassiaroad;

namespace {

/** An EntrySite with a fake gateway of another region. */
class EntryRegions : public EntrySite
{
protected:
    void startWithGateway(FakePeer::Script script)
    {
        this->gateway = std::make_unique<FakePeer>(this->loop, std::move(script));
        this->settings.regions.push_back(
                { "pohjoinen", { "pohjoinen-a" }, { { "127.0.0.1", this->gateway->port } } });
        this->addOwner("o1", respondWith("local"));
        this->start();
    }

    /** Returns a path whose key has its home in the region with this index. */
    static std::string pathOf(std::uint32_t region)
    {
        for (int i = 0;; ++i) {
            const std::string key = "k" + std::to_string(i);
            if (homeRegionOfShard(shardOfKey(key, testShards), 2) == region) {
                return "/orders/" + key;
            }
        }
    }

    std::unique_ptr<FakePeer> gateway;
};

} // namespace

TEST_F(EntryRegions, forwardsOnceWithHopHeader)
{
    std::string seen;
    this->startWithGateway([&](FakePeer::Connection &connection) {
        seen = connection.received;
        connection.write("HTTP/1.1 200 OK\r\ncassiaroad-outcome: answered\r\n"
                         "cassiaroad-replayed: true\r\ncontent-length: 6\r\n\r\nremote");
    });
    EXPECT_EQ(this->exchange("GET", pathOf(0)).body, "local");
    const CallerResponse remote
            = this->exchange("POST", pathOf(1), "idempotency-key: a\r\n", "order");
    EXPECT_EQ(remote.body, "remote");
    EXPECT_EQ(remote.outcome, "answered");
    EXPECT_NE(remote.head.find("cassiaroad-replayed: true"), std::string::npos);
    EXPECT_NE(seen.find("cassiaroad-hop: 1\r\n"), std::string::npos);
    EXPECT_NE(seen.find("idempotency-key: a\r\n"), std::string::npos);
    EXPECT_EQ(this->group.begins, 0) << "the ledger of the home region decides";
    const CallerResponse loop = this->exchange("GET", pathOf(1), "cassiaroad-hop: 1\r\n");
    EXPECT_EQ(loop.status, 508);
    EXPECT_EQ(loop.outcome, "not-run");
    const std::string metrics = this->get(this->host->adminPort(), "/metrics");
    EXPECT_EQ(metrics.find("cassiaroad_link_bytes_total{cause=\"request\",direction=\"sent\"} 0"),
              std::string::npos);
}

TEST_F(EntryRegions, P4_returnsTheOutcomeOfTheOtherRegion)
{
    std::string outcome;
    this->startWithGateway([&](FakePeer::Connection &connection) {
        connection.received.clear();
        connection.write("HTTP/1.1 503 Service Unavailable\r\ncassiaroad-outcome: " + outcome
                         + "\r\ncontent-length: 5\r\n\r\nbusy\n");
    });
    outcome = "not-run";
    EXPECT_EQ(this->exchange("POST", pathOf(1), "", "order").outcome, "not-run");
    outcome = "unknown";
    EXPECT_EQ(this->exchange("POST", pathOf(1), "", "order").outcome, "unknown");
}

TEST_F(EntryRegions, P4_distinguishesACutLinkFromALostResponse)
{
    this->startWithGateway([](FakePeer::Connection &connection) { connection.disconnect(); });
    const CallerResponse lost = this->exchange("POST", pathOf(1), "", "order");
    EXPECT_EQ(lost.status, 502);
    EXPECT_EQ(lost.outcome, "unknown");
    this->gateway.reset();
    const CallerResponse cut = this->exchange("POST", pathOf(1), "", "order");
    EXPECT_EQ(cut.status, 503);
    EXPECT_EQ(cut.outcome, "not-run");
    EXPECT_EQ(this->exchange("GET", pathOf(0)).body, "local");
}

// Guards against a healthy upstream that becomes suspected because one connection is silent
// (section 6.3).
TEST_F(EntrySite, replacesSilentConnectionsInTime)
{
    bool silent = false;
    int limit = 0;
    this->addOwner("o1", [&](FakePeer::Connection &connection) {
        if (!silent || connection.number > limit) {
            respondWith("ok")(connection);
        }
    });
    this->start();
    EXPECT_EQ(this->exchange("GET", "/orders/k").body, "ok");
    runFor(this->loop, { 20 });
    limit = static_cast<int>(this->peers[0]->connections.size());
    silent = true;
    const TimePoint sent = this->loop.now();
    EXPECT_EQ(this->exchange("GET", "/orders/k").body, "ok") << "idempotent: sent again";
    EXPECT_LT(this->loop.now() - sent,
              this->settings.timing.silenceTimeout + Milliseconds { 1000 });
    runFor(this->loop, { 50 });
    EXPECT_EQ(this->group.failures, 0U);
}

// Guards against an order that is reported as unknown after one silence timeout, although its
// upstream is only slow.
TEST_F(EntrySite, waitsLongerForAnUpstreamThatIsUsuallySlow)
{
    Milliseconds delay = this->settings.timing.silenceTimeout / 2;
    EventLoop::Timer timer;
    this->addOwner("o1", [&](FakePeer::Connection &connection) {
        if (connection.received.starts_with("POST")) {
            timer = this->loop.callAfter(delay, [&connection] { respondWith("done")(connection); });
        } else {
            respondWith("ok")(connection);
        }
    });
    this->start();
    EXPECT_EQ(this->exchange("POST", "/orders/k", "", "x").body, "done");
    delay = this->settings.timing.silenceTimeout * 3 / 2;
    EXPECT_EQ(this->exchange("POST", "/orders/k", "", "x").body, "done");
}

// Guards against an order that runs twice because its connection became silent (P5).
TEST_F(EntrySite, P5_doesNotResendOrdersFromSilentConnections)
{
    int orders = 0;
    this->addOwner("o1", [&](FakePeer::Connection &connection) {
        if (connection.received.starts_with("POST")) {
            ++orders;
        } else {
            respondWith("ok")(connection);
        }
    });
    this->start();
    const CallerResponse response = this->exchange("POST", "/orders/k", "", "x");
    EXPECT_EQ(response.status, 502);
    EXPECT_EQ(response.outcome, "unknown");
    EXPECT_EQ(orders, 1);
    EXPECT_EQ(this->group.failures, 0U);
}
