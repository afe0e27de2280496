#include "gatewayrequesttest.h"

using namespace cassiaroad;

namespace {

/** Upstreams that are full or recover, at a gateway of a site with many; counts what reaches them.
 */
class PacedUpstreamTest : public GatewayRequestTest
{
protected:
    /** Answers the first @p refusals requests that they have not run, and the others with 200. */
    void serveAfterRefusals(int refusals)
    {
        this->startUpstreams(refusals);
        this->publish(RangePhase::Owned);
    }

    void startUpstreams(int refusals)
    {
        this->peer = std::make_unique<FakePeer>(
                this->loop, [this, refusals](FakePeer::Connection &connection) {
                    const std::string received = std::exchange(connection.received, {});
                    const bool isRefused = ++this->reached <= refusals;
                    connection.write(withRequestId(received, isRefused ? "HTTP/1.1 503 Full\r\n"
                                                                         "x-not-executed: 1\r\n"
                                                                       : "HTTP/1.1 200 OK\r\n")
                                     + "content-length: 0\r\n\r\n");
                });
    }

    /** Sends @p count requests, one after the other; returns how many get @p status. */
    int countOf(const std::string &status, int count, const std::string &path)
    {
        int matching = 0;
        for (int i = 0; i < count; ++i) {
            const auto client = this->request("POST", path, "2000", "r" + std::to_string(i));
            EXPECT_TRUE(this->waitForResponse(*client, "\r\n\r\n"));
            matching += client->received().find("HTTP/1.1 " + status) == 0 ? 1 : 0;
            const bool hasRetryAfter
                    = client->received().find("retry-after: ") != std::string::npos;
            EXPECT_EQ(hasRetryAfter, status == "503");
        }
        return matching;
    }

    int reached = 0; // requests at the upstreams
};

} // namespace

// Guards against a gateway of many that goes on sending requests for a hot key to its full owner,
// with at least one in flight.
TEST_F(PacedUpstreamTest, refusesRequestsForAFullOwnerAtOnce)
{
    this->gateways = 1000000;
    this->serveAfterRefusals(3);
    EXPECT_EQ(this->countOf("503", 5, "/order/1"), 5);
    EXPECT_EQ(this->reached, 3);
}

// Guards against a full owner that gets nothing for good from the only gateway of a site.
TEST_F(PacedUpstreamTest, sendsAFullOwnerItsShare)
{
    this->serveAfterRefusals(1);
    EXPECT_EQ(this->countOf("200", 5, "/order/1"), 5);
}

// Guards against a full upstream that is chosen although another one has capacity.
TEST_F(PacedUpstreamTest, choosesAnotherUpstreamThanAFullOne)
{
    this->gateways = 1000000;
    int atOther = 0;
    FakePeer other(this->loop, [&](FakePeer::Connection &connection) {
        ++atOther;
        const std::string received = std::exchange(connection.received, {});
        connection.write(withRequestId(received, "HTTP/1.1 200 OK\r\n")
                         + "content-length: 0\r\n\r\n");
    });
    const SiteUpstream upstream {
        { "i-other", 1 }, plainService, { "127.0.0.1", other.port }, "b", 6, UpstreamPhase::Ready
    };
    this->others = { { upstream, false, false } };
    this->serveAfterRefusals(1);
    for (int i = 0; i < 3; ++i) {
        this->core.upstream("i-" + plainService)->recordRefused(this->loop.now());
    }
    EXPECT_EQ(this->countOf("200", 5, "/file/1"), 5);
    EXPECT_EQ(this->reached, 0);
    EXPECT_EQ(atOther, 5);
}

// Guards against an upstream that is flooded on its return, and against one that is left idle,
// while another one can take the requests.
TEST_F(PacedUpstreamTest, sendsARecoveringUpstreamTheShareThatTheLeaderAdmits)
{
    int atOther = 0;
    FakePeer other(this->loop, [&](FakePeer::Connection &connection) {
        ++atOther;
        const std::string received = std::exchange(connection.received, {});
        connection.write(withRequestId(received, "HTTP/1.1 200 OK\r\n")
                         + "content-length: 0\r\n\r\n");
    });
    // In another region, so that the recovering one would get all requests.
    const SiteUpstream upstream {
        { "i-other", 1 }, plainService, { "127.0.0.1", other.port }, "b", 6, UpstreamPhase::Ready
    };
    this->others = { { upstream, false, false } };
    this->admitted = 250;
    this->serveAfterRefusals(0);
    EXPECT_EQ(this->countOf("200", 40, "/file/1"), 40);
    EXPECT_EQ(this->reached, 10);
    EXPECT_EQ(atOther, 30);
}

// Guards against a recovering upstream that is left idle while requests wait for a busy one.
TEST_F(PacedUpstreamTest, sendsARecoveringUpstreamWhatABusyOneCannotTake)
{
    FakePeer busy(this->loop, [](FakePeer::Connection &) {});
    const SiteUpstream upstream {
        { "i-other", 1 }, plainService, { "127.0.0.1", busy.port }, "b", 1, UpstreamPhase::Ready
    };
    this->others = { { upstream, false, false } };
    this->admitted = 125;
    this->serveAfterRefusals(0);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 20; ++i) {
        clients.push_back(this->request("POST", "/file/1", "2000", "r" + std::to_string(i)));
        runFor(this->loop, { 20 });
    }
    EXPECT_EQ(this->core.upstream("i-other")->admission().waitingCount(), 0U);
    EXPECT_EQ(static_cast<std::size_t>(this->reached) + busy.connections.size(), clients.size());
    EXPECT_GT(static_cast<std::size_t>(this->reached), busy.connections.size());
}

// Guards against requests that are refused while all upstreams that may take them recover.
TEST_F(PacedUpstreamTest, sendsAllRequestsIfAllUpstreamsRecover)
{
    this->admitted = 125;
    this->serveAfterRefusals(0);
    EXPECT_EQ(this->countOf("200", 20, "/file/1"), 20);
}

// Guards against a recovering upstream that is held back for good without a leader.
TEST_F(PacedUpstreamTest, endsTheShareOfARecoveringUpstreamWithoutALeader)
{
    this->admitted = 125;
    this->startUpstreams(0);
    this->publish(RangePhase::Owned, UpstreamPhase::Ready, this->loop.now() - gatewayCountLease);
    const UpstreamPace &pace = this->core.upstream("i-" + plainService)->pace();
    EXPECT_EQ(pace.limit(this->loop.now()), UpstreamPace::Limit::None);
}

// Guards against limits at a cold upstream whose service states no rate.
TEST_F(PacedUpstreamTest, servesAsBeforeWhereNoRateIsStated)
{
    this->isWarming = true;
    this->gateways = 1000000;
    this->serveAfterRefusals(0);
    EXPECT_EQ(this->countOf("200", 5, "/order/1"), 5);
}
