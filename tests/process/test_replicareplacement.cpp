#include "replicagroup.h"

#include <gtest/gtest.h>

using namespace cassiaroad;
using namespace cassiaroad::test;

namespace {

constexpr int commandInterval = 5; // milliseconds
constexpr int catchUpTime = 6000; // milliseconds in which a new or restarted member must vote
constexpr int recoveryTime = 15000; // milliseconds in which a group must serve after a power loss

/** Two regions with three and two members and a round-trip time of 40 ms between them. */
NetworkConditions twoRegions()
{
    NetworkConditions conditions;
    conditions.members = 5;
    conditions.distantSlots = { 3, 4 };
    conditions.distantDelay = 20;
    return conditions;
}

/** Batches of the default size: a new member receives the complete log in time. */
ReplicaOptions usualBatches()
{
    ReplicaOptions options = ReplicaGroup::defaults(5);
    options.maxBatchBytes = ReplicaOptions().maxBatchBytes;
    return options;
}

/** A group of five members whose configuration and leases change all the time. */
class ReplicaReplacement : public testing::Test
{
protected:
    /** Lets @p milliseconds pass, with a command to the leader at short intervals. */
    void runWithCommands(int milliseconds)
    {
        for (int time = 0; time < milliseconds; time += commandInterval) {
            if (this->group.leader() >= 0) {
                this->group.propose(this->group.leader(), std::to_string(++this->lastCommand));
            }
            this->group.run(commandInterval);
        }
    }
    /** Replaces the member by one with an empty folder. */
    void replace(int slot)
    {
        this->group.crash(slot);
        ASSERT_TRUE(this->group.loseFolder(slot));
        this->group.start(slot);
    }
    void losePowerEverywhere()
    {
        for (int slot = 0; slot < 5; ++slot) {
            this->group.crash(slot);
        }
        for (int slot = 0; slot < 5; ++slot) {
            this->group.start(slot);
        }
    }
    bool votes(int slot) const
    {
        const ReplicaRole role = this->group.replica(slot)->role();
        return role == ReplicaRole::Follower || role == ReplicaRole::Leader;
    }

    ReplicaGroup group { twoRegions(), usualBatches() };
    int lastCommand = 0;
};

} // namespace

// Guards against a new member in another region that never becomes a voter, because the leader
// commits the next entry before each of the member's acknowledgements arrives.
TEST_F(ReplicaReplacement, distantMemberBecomesAVoterUnderSteadyCommands)
{
    ASSERT_LT(this->group.leader(), 3);
    this->replace(3);
    this->runWithCommands(catchUpTime);
    EXPECT_TRUE(this->group.isRepaired());
    EXPECT_TRUE(this->votes(3));
}

// Guards against restarted voters that wait for a majority to accept their start while only the
// leader may accept it: they are missing when the next member is lost.
TEST_F(ReplicaReplacement, restartedVoterTakesPartAgainWhileALeaderStands)
{
    for (int slot = 0; slot < 5; ++slot) {
        this->runWithCommands(500);
        this->group.crash(slot);
        this->runWithCommands(200);
        this->group.start(slot);
        this->runWithCommands(catchUpTime);
        EXPECT_TRUE(this->votes(slot)) << "slot " << slot;
    }
}

// Guards against a group that does not come back after all members were replaced one after another
// and then lost power at once, although no disk was lost.
TEST_F(ReplicaReplacement, servesAfterAllMembersWereReplacedAndLostPower)
{
    for (int slot = 0; slot < 5; ++slot) {
        this->replace(slot);
        this->runWithCommands(catchUpTime);
        ASSERT_TRUE(this->group.isRepaired()) << "slot " << slot;
    }
    this->losePowerEverywhere();
    ASSERT_TRUE(this->group.runUntil([&] { return this->group.leader() >= 0; }, recoveryTime));
    this->group.propose(this->group.leader(), "after");
    EXPECT_TRUE(this->group.runUntil([&] { return this->group.isCommitted("after"); }, 1000));
}
