#include "registry/joincall.h"
#include "registry/slotcalls.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

constexpr TimePoint start { 5000 };
const std::map<std::uint32_t, std::string> members { { 1, "10.0.0.1" },
                                                     { 2, "10.0.0.2" },
                                                     { 3, "10.0.0.3" } };

} // namespace

// Guards against a host that nobody calls after it has lost its data, and against calls to members
// that answer.
TEST(SlotCalls, callsSilentSlotsAtIntervals)
{
    SlotCalls calls;
    const std::map<std::uint32_t, TimePoint> contact { { 2, start }, { 3, start } };
    EXPECT_TRUE(calls.due(members, "10.0.0.1", contact, start + Milliseconds { 999 }).empty());
    const std::map<std::uint32_t, TimePoint> other { { 2, start },
                                                     { 3, start + Milliseconds { 900 } } };
    const std::vector<std::string> expected { "10.0.0.2" };
    EXPECT_EQ(calls.due(members, "10.0.0.1", other, start + Milliseconds { 1000 }), expected);
    EXPECT_TRUE(calls.due(members, "10.0.0.1", other, start + Milliseconds { 1499 }).empty());
    EXPECT_EQ(calls.due(members, "10.0.0.1", other, start + Milliseconds { 1500 }), expected);
}

// Guards against a slot that is never called since no message of it was ever received.
TEST(SlotCalls, callsASlotThatWasNeverHeard)
{
    SlotCalls calls;
    const std::vector<std::string> expected { "10.0.0.2", "10.0.0.3" };
    EXPECT_EQ(calls.due(members, "10.0.0.1", {}, start), expected);
}

// Guards against a call that a host of an earlier version cannot read, and against a join request
// that counts as the call of a member.
TEST(MemberCall, isAJoinRequestThatWantsNoSlot)
{
    const MemberCall call { "10.0.0.1", 4 };
    EXPECT_EQ(decodeMemberCall(encode(call)), call);
    const JoinRequest request { "10.0.0.1", false };
    EXPECT_EQ(decodeJoinRequest(encode(call)), request);
    EXPECT_FALSE(decodeMemberCall(encode(request)).has_value());
    EXPECT_FALSE(decodeMemberCall("x").has_value());
}
