#include "gatewayrequesttest.h"

#include "gateway/routepreview.h"

using namespace cassiaroad;

namespace {

/** A gateway whose routes are asked about. */
class RoutePreviewTest : public GatewayRequestTest
{
protected:
    RoutePreview preview(const std::string &path, std::optional<KeyNumber> key = std::nullopt)
    {
        return previewRoute(this->core, { "maps.example", path, key });
    }

    /** Asks about a request for the only service of its route. */
    ServicePreview service(const std::string &path, std::optional<KeyNumber> key = std::nullopt)
    {
        const RoutePreview found = this->preview(path, key);
        EXPECT_EQ(found.services.size(), 1U) << found.reason;
        return found.services.empty() ? ServicePreview() : found.services.front();
    }
};

void ignore(FakePeer::Connection & /*connection*/) { }

} // namespace

// Guards against a preview that sends the request or counts it in the demand for a key.
TEST_F(RoutePreviewTest, namesTheOwnerAndSendsNothing)
{
    this->serve(ignore);
    this->core.takeReport();
    const ServicePreview found = this->service("/order/1", 7);
    EXPECT_EQ(found.service, keyedService);
    EXPECT_EQ(found.verdict, RouteVerdict::Send);
    ASSERT_EQ(found.candidates.size(), 1U);
    EXPECT_EQ(found.candidates.front().upstream, "i-" + keyedService);
    EXPECT_EQ(found.candidates.front().state, "ready");
    runFor(this->loop, { 50 });
    EXPECT_TRUE(this->peer->connections.empty());
    EXPECT_EQ(this->core.takeReport().requests, 0U);
}

// Guards against a preview that names an owner to which the gateway would not send.
TEST_F(RoutePreviewTest, tellsThatAKeyHasNoOwner)
{
    this->serve(ignore);
    for (const auto &[phase, state] : { std::pair(RangePhase::Releasing, "releasing the key"),
                                        std::pair(RangePhase::Pending, "not owner yet") }) {
        this->publish(phase);
        const ServicePreview found = this->service("/order/1", 7);
        EXPECT_EQ(found.verdict, RouteVerdict::Wait);
        EXPECT_EQ(found.reason, "key has no owner");
        ASSERT_EQ(found.candidates.size(), 1U);
        EXPECT_EQ(found.candidates.front().state, state);
    }
}

// Guards against a preview without a key that names upstreams of a service with keys.
TEST_F(RoutePreviewTest, refusesARequestWithoutItsKey)
{
    this->serve(ignore);
    const ServicePreview found = this->service("/order/1");
    EXPECT_EQ(found.verdict, RouteVerdict::Refuse);
    EXPECT_EQ(found.reason, "no key");
    EXPECT_TRUE(found.candidates.empty());
}

// Guards against a preview that differs from what the gateway does while an upstream pauses.
TEST_F(RoutePreviewTest, tellsOfAPause)
{
    this->serve(ignore);
    EXPECT_EQ(this->service("/file/1").verdict, RouteVerdict::Send);
    for (const std::string &service : { keyedService, plainService }) {
        this->core.recordNotice(this->core.upstream("i-" + service),
                                { false, Milliseconds { 900 } });
    }
    for (const ServicePreview &found : { this->service("/order/1", 7), this->service("/file/1") }) {
        EXPECT_EQ(found.verdict, RouteVerdict::Wait);
        EXPECT_EQ(found.reason.find("upstream has asked for a pause of "), 0U) << found.reason;
        ASSERT_EQ(found.candidates.size(), 1U);
        EXPECT_EQ(found.candidates.front().state, "paused");
        EXPECT_GT(found.candidates.front().startsAfter, Milliseconds { 0 });
    }
}

// Guards against a preview that offers an upstream that leaves for requests without a key.
TEST_F(RoutePreviewTest, tellsThatAnUpstreamLeaves)
{
    this->serve(ignore);
    this->core.recordNotice(this->core.upstream("i-" + plainService), { true, std::nullopt });
    const ServicePreview found = this->service("/file/1");
    EXPECT_EQ(found.verdict, RouteVerdict::Refuse);
    EXPECT_EQ(found.reason, "no upstream left");
    ASSERT_EQ(found.candidates.size(), 1U);
    EXPECT_EQ(found.candidates.front().state, "leaving");
}

// Guards against a preview that fails before the gateway has a configuration, or for a path without
// a route.
TEST_F(RoutePreviewTest, tellsWhyThereIsNoRoute)
{
    EXPECT_EQ(this->preview("/order/1", 7).reason, "no configuration yet");
    this->serve(ignore);
    const RoutePreview unknown = this->preview("/other/1");
    EXPECT_EQ(unknown.reason, "no route");
    EXPECT_TRUE(unknown.services.empty());
}

// Guards against a document that the route command and scripts of operators cannot read.
TEST(RoutePreview, encodesThePreview)
{
    const CandidatePreview candidate { "u", "a", "cold", 1.5, 2, { 30 }, 250, true };
    const RoutePreview preview {
        5, "h/p/", "", { { "s", 2.0, RouteVerdict::Wait, "busy", { candidate } } }
    };
    EXPECT_EQ(toJson(preview),
              R"({"configuration":5,"reason":"","route":"h/p/","services":[{"candidates":[{)"
              R"("admitted":250,"cost":1.5,"starts_after_ms":30,"state":"cold","subset":true,)"
              R"("upstream":"u","waiting":2,"zone":"a"}],"reason":"busy","service":"s",)"
              R"("verdict":"wait","weight":2.0}]})");
}
