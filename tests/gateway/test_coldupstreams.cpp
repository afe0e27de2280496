#include "gatewayrequesttest.h"

using namespace cassiaroad;

namespace {

/**
 * A gateway of a site with many, upstreams of services that state what a cold one can handle, and a
 * leader that decides about permits.
 */
class ColdUpstreamTest : public GatewayRequestTest
{
protected:
    ColdUpstreamTest()
    {
        this->codec.coldRate = 5.5;
        this->codec.healthPath = "/health";
        this->core.coldAdmission().setCaller([this](const PermitRequest &request,
                                                    const ColdAdmission::Done &done) {
            this->calls.push_back(request);
            if (!this->hasLeader) {
                return false;
            }
            this->replyTimer
                    = this->loop.callAfter(this->replyDelay, [this, done] { this->reply(done); });
            return true;
        });
        this->peer
                = std::make_unique<FakePeer>(this->loop, [this](FakePeer::Connection &connection) {
                      this->serveAt(connection);
                  });
    }

    // Answers a probe, or a request with 200.
    void serveAt(FakePeer::Connection &connection)
    {
        const std::string received = std::exchange(connection.received, {});
        if (received.find("GET /health") == 0) {
            ++this->probes;
            connection.write("HTTP/1.1 200 OK\r\n"
                             + (this->warmIn > 0
                                        ? "x-warm: " + std::to_string(this->warmIn) + "\r\n"
                                        : std::string())
                             + "content-length: 0\r\n\r\n");
            return;
        }
        ++this->reached;
        connection.write(withRequestId(received, "HTTP/1.1 200 OK\r\n")
                         + "content-length: 0\r\n\r\n");
    }

    void reply(const ColdAdmission::Done &done)
    {
        PermitReply reply;
        for (const PermitAsk &ask : this->calls.back().asks) {
            const std::uint32_t count = std::min(ask.count, this->permits);
            this->permits -= count;
            reply.grants.push_back(
                    { ask.address, count, count < ask.count ? this->retryAfter : Milliseconds {} });
        }
        done(reply);
    }

    /** Publishes a table whose upstreams are cold or not. */
    void publishCold(bool isCold)
    {
        this->isWarming = isCold;
        this->publish(RangePhase::Owned);
    }

    /** Sends @p count requests at once; returns how many get @p status. */
    int countOf(const std::string &status, int count, const std::string &path)
    {
        std::vector<std::unique_ptr<RawClient>> clients;
        for (int i = 0; i < count; ++i) {
            clients.push_back(
                    this->request("POST", path, "2000", "r" + std::to_string(++this->lastId)));
        }
        int matching = 0;
        for (const auto &client : clients) {
            EXPECT_TRUE(this->waitForResponse(*client, "\r\n\r\n"));
            matching += client->received().find("HTTP/1.1 " + status) == 0 ? 1 : 0;
            const bool hasRetryAfter
                    = client->received().find("retry-after: ") != std::string::npos;
            EXPECT_EQ(hasRetryAfter, client->received().find("HTTP/1.1 503") == 0);
        }
        return matching;
    }

    std::vector<PermitRequest> calls; // for permits
    bool hasLeader = true;
    std::uint32_t permits = 0; // that the leader grants
    Milliseconds retryAfter { 5000 }; // that it tells others
    Milliseconds replyDelay { 1 };
    EventLoop::Timer replyTimer;
    std::int64_t warmIn = 0; // milliseconds, as the upstreams say
    int probes = 0;
    int reached = 0; // requests at the upstreams
    int lastId = 0;
};

} // namespace

// Guards against a cold upstream that gets a request of each of many gateways, also of one that has
// just started, for requests with and without keys.
TEST_F(ColdUpstreamTest, getsNothingWithoutAPermit)
{
    this->publishCold(true);
    EXPECT_EQ(this->countOf("503", 2, "/order/1"), 2);
    EXPECT_EQ(this->countOf("503", 2, "/file/1"), 2);
    EXPECT_EQ(this->reached, 0);
    this->publishCold(false);
    EXPECT_EQ(this->countOf("200", 2, "/order/1"), 2);
    EXPECT_EQ(this->countOf("200", 2, "/file/1"), 2);
}

// Guards against a cold owner that gets nothing of a gateway of many although the leader knows that
// it can handle the requests, and against more requests than permits.
TEST_F(ColdUpstreamTest, getsOneRequestWithEachPermit)
{
    this->publishCold(true);
    this->permits = 3;
    EXPECT_EQ(this->countOf("200", 8, "/order/1"), 3);
    EXPECT_EQ(this->reached, 3);
    EXPECT_EQ(this->countOf("503", 4, "/order/1"), 4);
    EXPECT_EQ(this->reached, 3);
}

// Guards against a leader that gets a call for each request, or calls without a pause.
TEST_F(ColdUpstreamTest, asksForSeveralPermitsInOneCall)
{
    this->gateways = 100;
    this->permits = 100;
    this->publishCold(true);
    const TimePoint start = this->loop.now();
    EXPECT_EQ(this->countOf("200", 1, "/order/1"), 1);
    EXPECT_EQ(this->countOf("200", 8, "/order/1"), 8);
    ASSERT_EQ(this->calls.size(), 2U);
    EXPECT_EQ(this->calls[1].asks.at(0).count, 8U);
    EXPECT_GE(this->loop.now() - start, Milliseconds { 200 });
}

// Guards against requests that wait for a leader which cannot be reached.
TEST_F(ColdUpstreamTest, refusesAtOnceWithoutALeader)
{
    this->publishCold(true);
    this->hasLeader = false;
    const TimePoint start = this->loop.now();
    EXPECT_EQ(this->countOf("503", 3, "/order/1"), 3);
    EXPECT_EQ(this->countOf("503", 3, "/order/1"), 3);
    EXPECT_LT(this->loop.now() - start, Milliseconds { 300 });
    EXPECT_EQ(this->reached, 0);
    EXPECT_EQ(this->calls.size(), 1U);
}

// Guards against a request that is refused although the leader has told when it will be granted.
TEST_F(ColdUpstreamTest, waitsOnceUntilTheLeaderMayGrant)
{
    this->publishCold(true);
    this->retryAfter = { 100 };
    EXPECT_EQ(this->countOf("503", 1, "/order/1"), 1);
    this->permits = 1;
    EXPECT_EQ(this->countOf("200", 1, "/order/1"), 1);
}

// Guards against a permit that is used so late that it counts in another window of the leader.
TEST_F(ColdUpstreamTest, writesNothingWithAPermitThatHasExpired)
{
    this->publishCold(true);
    this->permits = 1;
    this->replyDelay = coldPermitLifetime + Milliseconds { 1 };
    EXPECT_EQ(this->countOf("503", 1, "/order/1"), 1);
    EXPECT_EQ(this->reached, 0);

    const TimePoint now = this->loop.now();
    GatewayUpstream &owner = *this->core.upstream("i-" + keyedService);
    EXPECT_EQ(this->core.decideWrite(owner, now + Milliseconds { 1 }, { now, now }),
              WriteDecision::Write);
    EXPECT_EQ(this->core.decideWrite(owner, now, { now, now }), WriteDecision::KeepConnection);
}

// Guards against a request that waits for a cold upstream while a warm one can take it.
TEST_F(ColdUpstreamTest, leavesRequestsWithoutAKeyToAWarmOne)
{
    int atOther = 0;
    FakePeer other(this->loop, [&](FakePeer::Connection &connection) {
        const std::string received = std::exchange(connection.received, {});
        if (received.find("GET /health") == 0) {
            connection.write("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            return;
        }
        ++atOther;
        connection.write(withRequestId(received, "HTTP/1.1 200 OK\r\n")
                         + "content-length: 0\r\n\r\n");
    });
    const SiteUpstream upstream {
        { "i-other", 1 }, plainService, { "127.0.0.1", other.port }, "b", 6, UpstreamPhase::Ready
    };
    this->others = { { upstream, false, false } };
    this->permits = 100;
    this->publishCold(true);
    EXPECT_EQ(this->countOf("200", 5, "/file/1"), 5);
    EXPECT_EQ(atOther, 5);
    EXPECT_TRUE(this->calls.empty());
}

// Guards against a cold upstream that is flooded since no table tells that it has restarted: the
// incident of issue 52, without a leader.
TEST_F(ColdUpstreamTest, getsNothingIfItSaysOnAConnectionThatItIsCold)
{
    this->warmIn = 400;
    this->publishCold(false);
    EXPECT_EQ(this->countOf("503", 2, "/order/1"), 2);
    EXPECT_EQ(this->countOf("503", 2, "/file/1"), 2);
    EXPECT_EQ(this->reached, 0);
    const int probed = this->probes;
    EXPECT_EQ(this->countOf("503", 2, "/order/1"), 2); // it is known now
    EXPECT_EQ(this->probes, probed);
    this->warmIn = 0;
    runFor(this->loop, { 700 });
    EXPECT_EQ(this->countOf("200", 2, "/order/1"), 2);
}

// Guards against a new leader that has not heard of a warm-up yet, so that its table takes the mark
// of a cold upstream away: the incident of issue 52.
TEST_F(ColdUpstreamTest, staysColdWhenATableOfANewLeaderDoesNotTellIt)
{
    this->warmIn = 2000;
    this->publishCold(true);
    this->permits = 2;
    EXPECT_EQ(this->countOf("200", 2, "/order/1"), 2);
    EXPECT_EQ(this->countOf("503", 2, "/order/1"), 2);
    this->publishCold(false);
    runFor(this->loop, { 50 });
    EXPECT_EQ(this->countOf("503", 6, "/order/1"), 6);
    EXPECT_EQ(this->reached, 2);
}

// As above, for an upstream that became cold without a restart, so that no connection tells it.
TEST_F(ColdUpstreamTest, keepsTheMarkOfTheTableOfAnEarlierTerm)
{
    constexpr std::uint64_t nextTerm = std::uint64_t(1) << 24; // as a tag
    this->publishCold(false);
    EXPECT_EQ(this->countOf("200", 1, "/order/1"), 1);
    this->publishCold(true);
    this->tag = nextTerm;
    this->publishCold(false);
    this->publishCold(false);
    EXPECT_EQ(this->countOf("503", 2, "/order/1"), 2);
    this->publishCold(true); // the new leader has heard it
    this->publishCold(false);
    EXPECT_EQ(this->countOf("200", 2, "/order/1"), 2);
}

// Guards against an upstream without a key that is left out once a connection has told that it is
// cold, although there is no other.
TEST_F(ColdUpstreamTest, isAskedForIfAConnectionTellsThatTheOnlyOneIsCold)
{
    this->warmIn = 2000;
    this->permits = 2;
    this->publishCold(false);
    EXPECT_EQ(this->countOf("200", 2, "/file/1"), 2);
    EXPECT_EQ(this->reached, 2);
}

// Guards against permits that are asked for twice for a request which waits for the next call.
TEST_F(ColdUpstreamTest, asksOnceForEachRequest)
{
    this->permits = 100;
    this->replyDelay = { 40 };
    this->publishCold(true);
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 6; ++i) {
        clients.push_back(this->request("POST", "/order/1", "2000", "r" + std::to_string(i)));
        runFor(this->loop, { 15 });
    }
    clients.push_back(this->request("POST", "/order/1", "2000", "gone"));
    runFor(this->loop, { 5 });
    clients.pop_back(); // its client leaves before the next call
    for (const auto &client : clients) {
        EXPECT_TRUE(this->waitForResponse(*client, "200"));
    }
    std::uint32_t asked = 0;
    for (const PermitRequest &call : this->calls) {
        asked += call.asks.at(0).count;
    }
    EXPECT_GE(asked, 6U);
    EXPECT_LE(asked, 7U);
}

// Guards against old connections of a gateway that may have missed an evacuation.
TEST_F(ColdUpstreamTest, usesNewConnectionsOnlyWhileItsTableIsOld)
{
    const TimePoint now = this->loop.now();
    this->publish(RangePhase::Owned, UpstreamPhase::Ready, now - Milliseconds { 5000 });
    GatewayUpstream &owner = *this->core.upstream("i-" + keyedService);
    owner.distrustConnections(now - Milliseconds { 100000 });
    const TimePoint old = now - Milliseconds { 3000 };
    EXPECT_EQ(this->core.decideWrite(owner, std::nullopt, { old, old }),
              WriteDecision::CloseConnection);
    EXPECT_EQ(this->core.decideWrite(owner, std::nullopt, { now, now }), WriteDecision::Write);
    this->publish(RangePhase::Owned);
    EXPECT_EQ(this->core.decideWrite(owner, std::nullopt, { old, old }), WriteDecision::Write);
    EXPECT_EQ(this->core.decideWrite(owner, std::nullopt, { now, std::nullopt }),
              WriteDecision::CloseConnection); // it was not asked
}

// Guards against connections that were opened before an upstream became cold without a restart.
TEST_F(ColdUpstreamTest, usesNoConnectionFromBeforeTheEndOfAnEvacuation)
{
    this->publishCold(false);
    EXPECT_EQ(this->countOf("200", 1, "/order/1"), 1);
    const TimePoint opened = this->loop.now();
    runFor(this->loop, { 20 });
    this->evacuatedZones = { "a" };
    this->publishCold(false);
    this->evacuatedZones = {};
    this->publishCold(false);
    GatewayUpstream &owner = *this->core.upstream("i-" + keyedService);
    EXPECT_EQ(this->core.decideWrite(owner, std::nullopt, { opened, opened }),
              WriteDecision::CloseConnection);
    this->warmIn = 2000;
    EXPECT_EQ(this->countOf("503", 1, "/order/1"), 1);
    EXPECT_EQ(this->reached, 1);
}

// Guards against probes, and limits, where no rate is stated.
TEST_F(ColdUpstreamTest, isServedAsBeforeWhereNoRateIsStated)
{
    this->codec.coldRate = 0.0;
    this->warmIn = 2000;
    this->publishCold(true);
    EXPECT_EQ(this->countOf("200", 4, "/order/1"), 4);
    EXPECT_EQ(this->probes, 0);
    EXPECT_TRUE(this->calls.empty());
}

// Guards against connections of a time without a stated rate, which have told nothing.
TEST_F(ColdUpstreamTest, distrustsConnectionsFromBeforeARateWasStated)
{
    this->codec.coldRate = 0.0;
    this->publishCold(false);
    EXPECT_EQ(this->countOf("200", 1, "/order/1"), 1);
    runFor(this->loop, { 20 });
    this->codec.coldRate = 5.5;
    this->warmIn = 2000;
    ++this->version;
    this->publishCold(false);
    EXPECT_EQ(this->countOf("503", 1, "/order/1"), 1);
    EXPECT_EQ(this->reached, 1);
}

// Guards against a limit that stays after the cold time, when no leader can tell that it is over.
TEST_F(ColdUpstreamTest, endsTheLimitOfAColdUpstreamWithoutALeader)
{
    const RoutedUpstream routed { { { "i-1", 1 }, plainService, {}, "a", 6, UpstreamPhase::Ready },
                                  false,
                                  true };
    GatewayUpstream upstream(routed, Distance::SameZone);
    const TimePoint now { 1000 };
    EXPECT_FALSE(upstream.isCold(now));
    upstream.setColdByTable(now + Milliseconds { 3000 }, now);
    EXPECT_TRUE(upstream.isCold(now + Milliseconds { 2999 }));
    EXPECT_FALSE(upstream.isCold(now + Milliseconds { 3000 }));
    upstream.recordCold(now + Milliseconds { 4000 });
    EXPECT_TRUE(upstream.isCold(now + Milliseconds { 3999 }));
    EXPECT_FALSE(upstream.isCold(now + Milliseconds { 4000 }));
}
