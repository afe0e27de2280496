#include "registrygroup.h"

#include <fstream>

#include <nlohmann/json.hpp>

using namespace cassiaroad;

namespace {

/** Control hosts that come back after their slots were given away, or with wrong lists of members.
 */
class ReturnedMembersTest : public RegistryGroupTest
{
protected:
    TestHost *host(std::size_t index)
    {
        for (const auto &host : this->hosts) {
            if (host->settings.ip == ipOf(index)) {
                return host.get();
            }
        }
        return nullptr;
    }
    /** Ends the host without a stop; its data folder stays. */
    void lose(std::size_t index)
    {
        std::erase_if(this->hosts,
                      [&](const auto &host) { return host->settings.ip == ipOf(index); });
    }
    void startHost(std::size_t index) { EXPECT_EQ(this->addHost(index, false).engine.start(), ""); }

    /** Whether the host votes and follows or is the leader; a replaced one votes by its own log. */
    bool votes(std::size_t index)
    {
        TestHost *found = this->host(index);
        return found != nullptr && found->engine.member().isVoter()
               && !found->engine.member().leaderIp().empty();
    }
    bool waitUntilVoting(const std::vector<std::size_t> &indexes)
    {
        return waitUntil(this->loop, [&] {
            return std::all_of(indexes.begin(), indexes.end(),
                               [&](std::size_t index) { return this->votes(index); });
        });
    }
    /** Returns two hosts of the first three that do not lead, after all of them vote. */
    std::vector<std::size_t> followers()
    {
        if (!this->waitUntilVoting({ 0, 1, 2 }) || this->waitForLeader() == nullptr) {
            return {};
        }
        std::vector<std::size_t> found;
        for (std::size_t index = 0; index < hostCount; ++index) {
            if (!this->host(index)->engine.member().isLeader()) {
                found.push_back(index);
            }
        }
        return found;
    }
    bool isLed()
    {
        return std::any_of(this->hosts.begin(), this->hosts.end(), [](const auto &host) {
            return host->engine.member().isLeader() && host->engine.member().hasLease();
        });
    }
    /** Whether a member that is up knows the host as the owner of a slot. */
    bool hasSlot(std::size_t index)
    {
        return std::any_of(this->hosts.begin(), this->hosts.end(), [&](const auto &host) {
            const auto members = host->engine.member().hint().members;
            return std::any_of(members.begin(), members.end(),
                               [&](const auto &member) { return member.second == ipOf(index); });
        });
    }
    std::string dataFolder(std::size_t index) const
    {
        return std::get<RegistrySettings>(this->settingsOf(index, false).role).dataFolder;
    }
};

} // namespace

// Guards against a host that was replaced while it was down and never learns it: the replies to its
// start reports go to the address of the host that has its slot now. It is no spare host either.
TEST_F(ReturnedMembersTest, replacedHostThatComesBackTakesTheNextSlot)
{
    const auto lost = this->followers();
    ASSERT_EQ(lost.size(), 2U);
    this->lose(lost[0]);
    this->startHost(3);
    ASSERT_TRUE(this->waitUntilVoting({ 3 }));
    this->startHost(lost[0]);
    runFor(this->loop, { 2000 });
    this->lose(lost[1]);
    EXPECT_TRUE(this->waitUntilVoting({ lost[0] }));
}

// Guards against a slot that is never given to another host, because a host that had it before
// still sends messages as its member. The group stays one loss away from its end.
TEST_F(ReturnedMembersTest, replacedHostThatComesBackDoesNotKeepItsFormerSlotOccupied)
{
    const auto lost = this->followers();
    ASSERT_EQ(lost.size(), 2U);
    this->lose(lost[0]);
    this->startHost(3);
    ASSERT_TRUE(this->waitUntilVoting({ 3 }));
    this->startHost(lost[0]);
    runFor(this->loop, { 2000 });
    this->lose(3);
    this->startHost(4);
    EXPECT_TRUE(waitUntil(this->loop, [&] { return this->hasSlot(4) || this->votes(lost[0]); }));
}

// Guards against a new member that never becomes a voter, because another host that had the slot
// for a moment reports its start again and again, and each report ends the replication to the new
// member.
TEST_F(ReturnedMembersTest, earlierLearnerOfASlotDoesNotKeepTheNextOneFromVoting)
{
    const auto lost = this->followers();
    ASSERT_EQ(lost.size(), 2U);
    this->lose(lost[0]);
    this->startHost(3);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->hasSlot(3); }));
    runFor(this->loop, { 20 });
    this->lose(3);
    this->startHost(4);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->hasSlot(4); }));
    this->startHost(3);
    EXPECT_TRUE(this->waitUntilVoting({ 4 }));
}

// Guards against two of three voters that are up with their disks and find no leader, because the
// slot of one of them was given to a host that does not vote yet and gets all messages to it.
TEST_F(ReturnedMembersTest, voterWhoseSlotWasGivenAwayStillVotesUntilItIsReplaced)
{
    const auto lost = this->followers();
    ASSERT_EQ(lost.size(), 2U);
    this->lose(lost[0]);
    this->startHost(3);
    ASSERT_TRUE(waitUntil(this->loop, [&] { return this->hasSlot(3); }));
    this->lose(lost[1]);
    ASSERT_FALSE(this->votes(3));
    this->startHost(lost[0]);
    runFor(this->loop, { 2000 }); // the leader may have kept its lease for a moment
    EXPECT_TRUE(waitUntil(this->loop, [&] { return this->isLed(); }));
}

// Guards against a host that keeps the list of another group, or of the group that was there before
// it was founded again, because the revision in its file is higher than that of its group.
TEST_F(ReturnedMembersTest, joinsAlthoughItsFileIsOfAnotherGroup)
{
    const auto lost = this->followers();
    ASSERT_EQ(lost.size(), 2U);
    this->lose(lost[0]);
    std::filesystem::create_directories(this->dataFolder(3));
    std::ofstream(this->dataFolder(3) + "/members.json")
            << R"({"revision":1000,"members":[[1,"127.0.0.99"],[2,"127.0.0.98"],[3,"127.0.0.97"]]})";
    this->startHost(3);
    EXPECT_TRUE(this->waitUntilVoting({ 3 }));
}

// Guards against a member that calls nobody after a restart, because its list of members was lost
// or damaged while its log is complete.
TEST_F(ReturnedMembersTest, restartsWithoutItsListOfMembers)
{
    const auto lost = this->followers();
    ASSERT_EQ(lost.size(), 2U);
    this->lose(lost[0]);
    std::filesystem::remove(this->dataFolder(lost[0]) + "/members.json");
    this->startHost(lost[0]);
    const auto follows = [&] { return !this->host(lost[0])->engine.member().leaderIp().empty(); };
    EXPECT_TRUE(waitUntil(this->loop, follows));
}

// Guards against a host that ignores a newer list of members: two members whose snapshots are from
// before lists had revisions count different assignments for the same list.
TEST(MemberListRevision, ordersTheListsOfMembersWithSnapshotsOfTheFirstFormat)
{
    RegistryState replayed;
    for (std::uint32_t slot = 1; slot <= 3; ++slot) {
        replayed.apply(AssignSlot { slot, "127.0.0." + std::to_string(slot), "" });
    }
    replayed.apply(AssignSlot { 1, "127.0.0.4", "127.0.0.1" });
    replayed.apply(AssignSlot { 2, "127.0.0.5", "127.0.0.2" });
    nlohmann::json value = nlohmann::json::from_cbor(replayed.encode());
    value.erase("membersRevision");
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(value);
    std::optional<RegistryState> restored
            = RegistryState::decode(std::string(bytes.begin(), bytes.end()));
    ASSERT_TRUE(restored);
    restored->apply(AssignSlot { 3, "127.0.0.6", "127.0.0.3" });
    EXPECT_GT(restored->orderedMembers().revision, replayed.orderedMembers().revision);
}
