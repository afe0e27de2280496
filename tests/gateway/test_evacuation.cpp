#include "gatewayrequesttest.h"

#include "support/fulllistener.h"

using namespace cassiaroad;

namespace {

/** Upstreams of zone a, which can be evacuated, and others of zone b. Counts their requests. */
class EvacuationTest : public GatewayRequestTest
{
protected:
    FakePeer::Script counting(int &requests, bool responds)
    {
        return [&requests, responds](FakePeer::Connection &connection) {
            const std::string received = std::exchange(connection.received, {});
            if (received.empty()) {
                return;
            }
            ++requests;
            if (responds) {
                connection.write(withRequestId(received, "HTTP/1.1 200 OK\r\n")
                                 + "content-length: 0\r\n\r\n");
            }
        };
    }

    /** Adds upstreams in zone b to the next tables. */
    void addOthers()
    {
        this->otherPeer
                = std::make_unique<FakePeer>(this->loop, this->counting(this->atOthers, true));
        for (const std::string &service : { keyedService, plainService }) {
            this->others.push_back({ { { "b-" + service, 1 },
                                       service,
                                       { "127.0.0.1", this->otherPeer->port },
                                       "b",
                                       6,
                                       UpstreamPhase::Ready },
                                     false,
                                     false });
        }
    }

    void evacuate()
    {
        this->evacuatedZones = { "a" };
        this->publish(RangePhase::Owned);
    }

    std::unique_ptr<FakePeer> otherPeer;
    int atZone = 0; // requests that the upstreams of zone a have received
    int atOthers = 0;
};

} // namespace

// Guards against requests that wait until their deadline for an upstream that cannot come, and
// against gateways that send to an evacuated zone because there is no other.
TEST_F(EvacuationTest, refusesRequestsAtOnceIfAllUpstreamsAreEvacuated)
{
    this->serve(this->counting(this->atZone, true));
    this->evacuate();
    constexpr Milliseconds atOnce { 300 };
    for (const char *path : { "/order/1", "/file/1", "/read/1" }) {
        const auto client = this->request("POST", path);
        EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503", atOnce)) << path;
        EXPECT_NE(client->received().find("retry-after"), std::string::npos) << path;
    }
    EXPECT_EQ(this->atZone, 0);
}

// Guards against requests on connections that were open before the evacuation.
TEST_F(EvacuationTest, sendsNothingOnKeptConnections)
{
    this->serve(this->counting(this->atZone, true));
    for (const char *path : { "/order/1", "/file/1" }) {
        const auto client = this->request("POST", path);
        ASSERT_TRUE(this->waitForResponse(*client, "HTTP/1.1 200"));
    }
    ASSERT_EQ(this->atZone, 2);
    this->addOthers();
    this->evacuate();
    const auto plain = this->request("POST", "/file/1", "2000", "r2");
    EXPECT_TRUE(this->waitForResponse(*plain, "HTTP/1.1 200"));
    const auto keyed = this->request("POST", "/order/1", "2000", "r3");
    EXPECT_TRUE(this->waitForResponse(*keyed, "HTTP/1.1 503"));
    EXPECT_EQ(this->atZone, 2);
    EXPECT_EQ(this->atOthers, 1);
}

// Guards against requests that wait for room at an evacuated upstream until others have ended
// there.
TEST_F(EvacuationTest, redirectsWaitingRequestsAtOnce)
{
    this->serve(this->counting(this->atZone, false));
    std::vector<std::unique_ptr<RawClient>> clients;
    constexpr int count = 40;
    for (int i = 0; i < count; ++i) {
        clients.push_back(this->request("POST", "/file/1", "2000", "r" + std::to_string(i)));
    }
    runFor(this->loop, { 200 });
    const int sent = this->atZone;
    ASSERT_LT(sent, count);
    this->addOthers();
    this->evacuate();
    EXPECT_TRUE(waitUntil(this->loop, [&] { return this->atOthers == count - sent; }, { 500 }));
    EXPECT_EQ(this->atZone, sent);
}

// Guards against refusing requests for a key that is about to get an owner in another zone.
TEST_F(EvacuationTest, letsRequestsForAKeyWaitForItsNextOwner)
{
    this->serve(this->counting(this->atZone, true));
    this->addOthers();
    this->evacuate();
    const auto client = this->request("POST", "/order/1");
    runFor(this->loop, { 200 });
    EXPECT_EQ(client->received(), "");
    this->owner = "b-" + keyedService;
    this->publish(RangePhase::Owned);
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 200"));
    EXPECT_EQ(this->atZone, 0);
}

// Guards against requests to a zone that is evacuated while their connection opens.
TEST_F(EvacuationTest, sendsNothingToAZoneThatIsEvacuatedWhileAConnectionOpens)
{
    this->serve(this->counting(this->atZone, true));
    this->publish(RangePhase::Pending);
    const auto client = this->request("POST", "/order/1");
    runFor(this->loop, { 100 });
    this->publish(RangePhase::Owned); // connects
    this->evacuate();
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503"));
    EXPECT_EQ(this->atZone, 0);
}

// Guards against requests that wait for the connect timeout at an evacuated zone that is cut off.
TEST_F(EvacuationTest, redirectsRequestsWhoseConnectionDoesNotOpen)
{
    const FullListener silent;
    this->serve([](FakePeer::Connection &) {});
    this->peer->port = silent.port;
    this->publish(RangePhase::Owned);
    const auto client = this->request("POST", "/file/1");
    runFor(this->loop, { 100 });
    this->addOthers();
    this->evacuate();
    constexpr Milliseconds beforeTheTimeout { 250 }; // the shortest one is 400 ms
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 200", beforeTheTimeout));
    EXPECT_EQ(this->atOthers, 1);
}

// Guards against a second attempt at an upstream whose zone is evacuated since the first one.
TEST_F(EvacuationTest, repeatsNothingInTheZone)
{
    this->serve([this](FakePeer::Connection &connection) {
        ++this->atZone;
        this->evacuate();
        connection.write(withRequestId(std::exchange(connection.received, {}),
                                       "HTTP/1.1 503 Full\r\nx-not-executed: 1\r\n")
                         + "content-length: 0\r\n\r\n");
    });
    const auto client = this->request("POST", "/order/1");
    EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 503"));
    EXPECT_EQ(this->atZone, 1);
}

// Guards against a gateway that goes on sparing a zone after the withdrawal.
TEST_F(EvacuationTest, usesTheZoneAgainAfterTheWithdrawal)
{
    this->serve(this->counting(this->atZone, true));
    this->evacuate();
    this->evacuatedZones.clear();
    this->publish(RangePhase::Owned);
    for (const char *path : { "/order/1", "/file/1" }) {
        const auto client = this->request("POST", path);
        EXPECT_TRUE(this->waitForResponse(*client, "HTTP/1.1 200")) << path;
    }
}
