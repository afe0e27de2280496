#include "process/textpack.h"
#include "version/registrystate.h"
#include "version/sitewatch.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

const UpstreamIncarnation incarnation { "i-1", 100 };

RegistryState sample()
{
    RegistryState state;
    state.apply(makePutConfiguration(2, 0, "first"));
    state.apply(AssignSlot { 1, "10.0.0.1", "" });
    state.apply(RegisterSiteUpstream {
            { incarnation, "ledger", { "10.0.1.1", 80 }, "a", 6, UpstreamPhase::Ready } });
    state.apply(TransferRanges { "ledger", { { { 0, lastKey }, incarnation, "x" } } });
    return state;
}

} // namespace

// Guards against two changes based on the same version that are both acknowledged, and against
// refusing a change that was accepted and is sent again.
TEST(RegistryState, acceptsOneChangeOnEachVersion)
{
    RegistryState state;
    EXPECT_EQ(state.apply(makePutConfiguration(2, 0, "first")), PutOutcome::Accepted);
    EXPECT_EQ(state.apply(makePutConfiguration(5, 2, "mine")), PutOutcome::Accepted);
    EXPECT_EQ(state.apply(makePutConfiguration(5, 2, "theirs")), PutOutcome::Conflict);
    EXPECT_EQ(state.apply(makePutConfiguration(6, 2, "late")), PutOutcome::Conflict);
    EXPECT_EQ(state.apply(makePutConfiguration(4, 5, "lower")), PutOutcome::Conflict);
    EXPECT_EQ(state.apply(makePutConfiguration(5, 2, "mine")), PutOutcome::Repeated);
    EXPECT_EQ(state.apply(makePutConfiguration(2, 0, "first")), PutOutcome::Repeated);
    EXPECT_EQ(state.version(), 5U);
    EXPECT_EQ(unpackText(state.document()), "mine");
}

// Guards against two hosts in the same slot of the control group.
TEST(RegistryState, assignsASlotToTheFirstHostThatRequestedIt)
{
    RegistryState state = sample();
    state.apply(AssignSlot { 2, "10.0.0.2", "" });
    state.apply(AssignSlot { 2, "10.0.0.3", "" });
    EXPECT_EQ(state.members().at(2), "10.0.0.2");
    state.apply(AssignSlot { 2, "10.0.0.3", "10.0.0.2" });
    EXPECT_EQ(state.members().at(2), "10.0.0.3");
}

// Guards against an earlier incarnation that replaces a later one, or that changes its phase.
TEST(RegistryState, keepsTheLatestIncarnationOfAnId)
{
    RegistryState state = sample();
    const UpstreamIncarnation earlier { "i-1", 90 };
    state.apply(RegisterSiteUpstream {
            { earlier, "ledger", { "10.0.1.9", 80 }, "a", 6, UpstreamPhase::Ready } });
    state.apply(SetUpstreamPhase { earlier, UpstreamPhase::Gone });
    state.apply(RemoveSiteUpstream { earlier });
    ASSERT_NE(state.find(incarnation), nullptr);
    EXPECT_EQ(state.find(incarnation)->phase, UpstreamPhase::Ready);
    EXPECT_EQ(state.find(earlier), nullptr);
}

// Guards against state that is missing from a snapshot.
TEST(RegistryState, survivesItsEncoding)
{
    RegistryState state = sample();
    state.apply(OrderEvacuation { { "a", true } });
    state.apply(OrderEvacuation { { "b", true } });
    state.apply(OrderEvacuation { { "b", false } });
    EXPECT_EQ(RegistryState::decode(state.encode()), state);
}

TEST(RegistryState, commandsSurviveTheirEncoding)
{
    const RegistryCommand commands[] = {
        makePutConfiguration(2, 0, "first"),
        AssignSlot { 2, "10.0.0.2", "" },
        RegisterSiteUpstream { { incarnation, "ledger", { "10.0.1.1", 80 }, "a", 6, {} } },
        SetUpstreamPhase { incarnation, UpstreamPhase::Gone },
        RemoveSiteUpstream { incarnation },
        TransferRanges { "ledger", { { { 0, 9 }, incarnation, "x" } } },
        OrderEvacuation { { "a", true } },
    };
    for (const RegistryCommand &command : commands) {
        EXPECT_EQ(decodeRegistryCommand(encodeCommand(command)), command);
    }
}

// Guards against an upstream that is in use again because a report that it drains, which is older,
// is committed after its deregistration.
TEST(RegistryState, doesNotBringBackAnUpstreamThatHasDeregistered)
{
    const UpstreamIncarnation incarnation { "i-1", 50 };
    RegistryState state;
    state.apply(RegisterSiteUpstream {
            { incarnation, "s", { "10.0.0.1", 80 }, "a", 6, UpstreamPhase::Ready } });
    state.apply(SetUpstreamPhase { incarnation, UpstreamPhase::Gone });
    state.apply(SetUpstreamPhase { incarnation, UpstreamPhase::Draining });
    EXPECT_EQ(state.find(incarnation)->phase, UpstreamPhase::Gone);
}

// Guards against a malformed message that stops a control host or a gateway.
RC_GTEST_PROP(SiteMessages, decodersAcceptAnyBytes, (const std::string &bytes))
{
    (void)decodeRegistryCommand(bytes);
    (void)RegistryState::decode(bytes);
    (void)decodeGatewayReport(bytes);
    (void)decodeGatewayWatchReply(bytes);
    (void)decodeGroupHint(bytes);
    (void)decodeJoinRequest(bytes);
}

TEST(SiteMessages, surviveTheirEncoding)
{
    GatewayUpdate update;
    update.tableTag = 9;
    update.fromTag = 8;
    update.change = "bytes";
    update.version = 4;
    update.document = "text";
    update.trafficShare = 0.25;
    update.gateways = 8;
    update.suspectsTag = 77;
    update.suspects
            = { { 5, { 3, ~AttemptId(0) }, { 250 }, { 2, "front-1" } }, { 6, {}, { 10 }, {} } };
    update.members = { 31, { { 1, "10.0.0.1" }, { 2, "10.0.0.2" } } };
    EXPECT_EQ(decodeGatewayWatchReply(encode(GatewayWatchReply(update))),
              GatewayWatchReply(update));
    update.placement = { 3, 15, { { "a", 600 }, { "b", 400 } } };
    EXPECT_EQ(decodeGatewayWatchReply(encode(GatewayWatchReply(update))),
              GatewayWatchReply(update));
    const GroupHint hint { true, "10.0.0.1", { { 1, "10.0.0.1" }, { 2, "10.0.0.2" } }, 2 };
    EXPECT_EQ(decodeGatewayWatchReply(encode(GatewayWatchReply(hint))), GatewayWatchReply(hint));
    EXPECT_EQ(decodeGroupHint(encode(hint)), hint);
    const GatewayReport report { "g",
                                 "a",
                                 9,
                                 4,
                                 12,
                                 100,
                                 { { "ledger", 7, 3 } },
                                 { { "i-1", 3, 90 } },
                                 { { "i-2", 60 } },
                                 { { 5, 3, { 20 }, 2 } },
                                 { 6, ~RequestDigest(0) },
                                 77,
                                 31,
                                 true,
                                 2864434397,
                                 { 5, ~RequestDigest(0) } };
    EXPECT_EQ(decodeGatewayReport(encode(report)), report);
    const JoinRequest request { "10.0.0.1", true };
    EXPECT_EQ(decodeJoinRequest(encode(request)), request);
}
