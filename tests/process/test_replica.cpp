#include "replicagroup.h"

#include <gtest/gtest.h>

using namespace cassiaroad;
using namespace cassiaroad::test;

namespace {

constexpr int twoElectionTimeouts = 1100; // milliseconds

/** Commits @p count commands and returns the last one. */
std::string commitCommands(ReplicaGroup &group, const std::string &name, int count)
{
    std::string last;
    for (int i = 0; i < count; ++i) {
        last = name + std::to_string(i);
        group.runUntil([&] { return group.leader() >= 0; });
        group.propose(group.leader(), last);
        group.run(10);
    }
    EXPECT_TRUE(group.runUntil([&] { return group.isCommitted(last); }));
    return last;
}

bool isCommittedOnAll(const ReplicaGroup &group, LogIndex index)
{
    for (int slot = 0; slot < ReplicaGroup::size; ++slot) {
        if (group.replica(slot) == nullptr || group.replica(slot)->commitIndex() < index) {
            return false;
        }
    }
    return true;
}

} // namespace

// Guards against a leader that resumes after a pause and still considers its lease valid.
TEST(Replica, pausedLeaderHasNoLeaseWhenItResumes)
{
    ReplicaGroup group({});
    commitCommands(group, "a", 3);
    const int old = group.leader();
    EXPECT_TRUE(group.replica(old)->hasLeaderLease(group.localTime(old)));
    group.pause(old);
    group.run(280);
    EXPECT_FALSE(group.replica(old)->hasLeaderLease(group.localTime(old)));
    ASSERT_TRUE(group.runUntil([&] { return group.leader() != old; }));
    commitCommands(group, "b", 3);
    const int next = group.leader();
    group.resume(old);
    EXPECT_FALSE(group.replica(old)->hasLeaderLease(group.localTime(old)));
    group.run(twoElectionTimeouts);
    EXPECT_EQ(group.leader(), next);
    EXPECT_EQ(group.replica(old)->role(), ReplicaRole::Follower);
}

// Guards against a lease that counts from the arrival of replies. The last reply that arrives
// belongs to a heartbeat that was sent 60 ms before the leader is isolated, so the lease ends 210
// ms after the isolation, not 330 ms.
TEST(Replica, leaseCountsFromTheSendTimeOfAcknowledgedHeartbeats)
{
    NetworkConditions conditions;
    conditions.minDelay = 60;
    conditions.maxDelay = 60;
    conditions.maxSyncDelay = 0;
    ReplicaGroup group(conditions);
    commitCommands(group, "a", 1);
    const int leader = group.leader();
    group.run(500);
    EXPECT_TRUE(group.replica(leader)->hasLeaderLease(group.localTime(leader)));
    group.isolate(leader);
    group.run(250);
    EXPECT_FALSE(group.replica(leader)->hasLeaderLease(group.localTime(leader)));
}

// Guards against a leader that stays leader without contact to a majority.
TEST(Replica, leaderWithoutAQuorumStepsDown)
{
    ReplicaGroup group({});
    commitCommands(group, "a", 1);
    const int leader = group.leader();
    group.isolate(leader);
    group.run(600);
    EXPECT_NE(group.replica(leader)->role(), ReplicaRole::Leader);
}

// Guards against a member that reaches the other follower but not the leader, and deposes the
// leader with the vote of that follower.
TEST(Replica, memberThatReachesOnlyTheOtherFollowerDoesNotDeposeTheLeader)
{
    ReplicaGroup group({});
    commitCommands(group, "a", 1);
    const int leader = group.leader();
    const Term term = group.replica(leader)->term();
    group.cut(leader, (leader + 1) % ReplicaGroup::size);
    group.run(5000);
    EXPECT_EQ(group.leader(), leader);
    EXPECT_EQ(group.replica(leader)->term(), term);
}

// Guards against a member that increases its term while it is isolated and later deposes the
// leader.
TEST(Replica, memberThatWasIsolatedForLongDoesNotDeposeTheLeader)
{
    ReplicaGroup group({});
    commitCommands(group, "a", 3);
    const int leader = group.leader();
    const Term term = group.replica(leader)->term();
    const int isolatedSlot = (leader + 1) % ReplicaGroup::size;
    group.isolate(isolatedSlot);
    group.run(30000);
    commitCommands(group, "b", 3);
    group.heal();
    group.run(5000);
    EXPECT_EQ(group.leader(), leader);
    EXPECT_EQ(group.replica(leader)->term(), term);
    EXPECT_TRUE(isCommittedOnAll(group, group.replica(leader)->commitIndex()));
}

// Guards against a repair that counts as complete before the new member has all entries (P2).
TEST(Replica, secondLossRightAfterTheRepairLosesNothing)
{
    for (int first = 0; first < ReplicaGroup::size; ++first) {
        for (int second = 0; second < ReplicaGroup::size; ++second) {
            NetworkConditions conditions;
            conditions.seed = static_cast<std::uint64_t>(first * ReplicaGroup::size + second);
            conditions.maxDelay = 20;
            ReplicaGroup group(conditions);
            const std::string last = commitCommands(group, "a", 200);
            ASSERT_TRUE(group.loseFolder(first));
            group.start(first);
            ASSERT_TRUE(group.runUntil([&] { return group.isRepaired(); }));
            ASSERT_TRUE(group.loseFolder(second));
            group.start(second);
            ASSERT_TRUE(group.runUntil([&] { return group.isRepaired(); }));
            commitCommands(group, "b", 1);
            EXPECT_TRUE(group.isCommitted(last));
        }
    }
}

// Guards against a full disk that loses acknowledged commands or stops the group.
TEST(Replica, leaderWithFullDiskStepsDownAndLosesNothing)
{
    ReplicaGroup group({});
    const std::string before = commitCommands(group, "a", 5);
    const int full = group.leader();
    group.fillDisk(full);
    group.propose(full, "refused");
    ASSERT_TRUE(
            group.runUntil([&] { return group.leader() >= 0 && group.leader() != full; }, 1000));
    EXPECT_EQ(group.replica(full)->role(), ReplicaRole::Failed);
    EXPECT_EQ(group.propose(full, "more"), ProposalResult { ProposalRefusal::StorageFailed });
    EXPECT_FALSE(group.replica(full)->hasLeaderLease(group.localTime(full)));
    commitCommands(group, "b", 5);
    group.freeDisk(full);
    group.crash(full);
    group.start(full);
    ASSERT_TRUE(group.runUntil(
            [&] { return isCommittedOnAll(group, group.replica(group.leader())->commitIndex()); }));
    EXPECT_TRUE(group.isCommitted(before));
}

// Guards against a group that refuses changes to the end of the day after the disk of each member
// was full for a while, one after the other, although all have room again.
TEST(Replica, commitsAfterEachDiskWasFullInTurn)
{
    ReplicaGroup group({});
    std::vector<std::string> acknowledged { commitCommands(group, "a", 5) };
    for (int slot = 0; slot < ReplicaGroup::size; ++slot) {
        group.fillDisk(slot);
        acknowledged.push_back(commitCommands(group, "full" + std::to_string(slot), 5));
        group.run(1000);
        group.freeDisk(slot);
        // The member opens its folder again, as after a start.
        group.crash(slot);
        group.start(slot);
        ASSERT_TRUE(group.runUntil([&] { return group.isRepaired(); })) << slot;
    }
    acknowledged.push_back(commitCommands(group, "b", 5));
    ASSERT_TRUE(group.runUntil(
            [&] { return isCommittedOnAll(group, group.replica(group.leader())->commitIndex()); }));
    for (const std::string &command : acknowledged) {
        EXPECT_TRUE(group.isCommitted(command)) << command;
    }
}

// Guards against a backup of the folder from the current run, which lacks acknowledged entries.
TEST(Replica, leaderDetectsAStaleCopyFromTheSameRun)
{
    ReplicaGroup group({});
    commitCommands(group, "a", 3);
    const int slot = (group.leader() + 1) % ReplicaGroup::size;
    const MemberId before = group.replica(slot)->id();
    group.copyFolder(slot);
    commitCommands(group, "b", 5);
    group.run(100);
    group.forceCopy(slot);
    group.start(slot);
    ASSERT_TRUE(group.runUntil(
            [&] { return group.isRepaired() && group.replica(slot)->id() != before; }));
}

// Guards against a copy of the folder from an earlier run that is started twice: its start counter
// reaches the known one.
TEST(Replica, peersDetectAStaleCopyFromAnEarlierRunThatStartsTwice)
{
    ReplicaGroup group({});
    commitCommands(group, "a", 3);
    const int slot = (group.leader() + 1) % ReplicaGroup::size;
    group.copyFolder(slot);
    group.crash(slot);
    group.start(slot);
    group.run(2000);
    const MemberId before = group.replica(slot)->id();
    ASSERT_TRUE(group.restoreCopy(slot));
    group.start(slot);
    group.crash(slot);
    group.start(slot);
    ASSERT_TRUE(group.runUntil(
            [&] { return group.isRepaired() && group.replica(slot)->id() != before; }));
}

// Guards against a member that never catches up because it lacks entries that were compacted.
TEST(Replica, memberBehindTheCompactedLogReceivesTheSnapshot)
{
    ReplicaGroup group({});
    commitCommands(group, "a", 3);
    const int isolatedSlot = (group.leader() + 1) % ReplicaGroup::size;
    group.isolate(isolatedSlot);
    commitCommands(group, "b", 50);
    for (int slot = 0; slot < ReplicaGroup::size; ++slot) {
        if (slot != isolatedSlot) {
            group.saveSnapshot(slot);
        }
    }
    commitCommands(group, "c", 3);
    group.heal();
    ASSERT_TRUE(group.runUntil(
            [&] { return isCommittedOnAll(group, group.replica(group.leader())->commitIndex()); }));
    EXPECT_GT(group.replica(isolatedSlot)->snapshotIndex(), 40U);
}

// Guards against a graceful stop after which the group waits for an election timeout.
TEST(Replica, transferElectsTheOtherMemberAtOnce)
{
    ReplicaGroup group({});
    commitCommands(group, "a", 3);
    const int old = group.leader();
    group.transfer(old);
    EXPECT_FALSE(group.replica(old)->hasLeaderLease(group.localTime(old)));
    EXPECT_TRUE(group.runUntil([&] { return group.leader() >= 0 && group.leader() != old; }, 60));
}

// Guards against a search for the last matching entry that goes back by one entry per message. The
// first leader has 300 entries that no other member has, and the third one starts after 300 others.
TEST(Replica, conflictingEntriesAreReplacedWithFewMessages)
{
    ReplicaOptions options = ReplicaGroup::defaults();
    options.maxBatchBytes = 128 * 1024;
    ReplicaGroup group({}, options);
    commitCommands(group, "a", 3);
    const int old = group.leader();
    group.isolate(old);
    group.propose(old, std::vector<std::string>(300, "lost"));
    ASSERT_TRUE(group.runUntil([&] { return group.leader() != old && group.leader() >= 0; }));
    const int second = group.leader();
    group.propose(second, std::vector<std::string>(300, "b"));
    ASSERT_TRUE(group.runUntil([&] { return group.isCommitted("b"); }));
    group.transfer(second);
    const int third = ReplicaGroup::size - old - second;
    ASSERT_TRUE(group.runUntil([&] { return group.leader() == third; }));
    commitCommands(group, "c", 1);
    group.run(1000);
    const std::uint64_t before = group.sent();
    group.heal();
    ASSERT_TRUE(group.runUntil(
            [&] { return isCommittedOnAll(group, group.replica(group.leader())->commitIndex()); },
            1000));
    EXPECT_LT(group.sent() - before, 100U);
    EXPECT_FALSE(group.isCommitted("lost"));
}

// Guards against needless traffic of an idle group: in each 60 ms it sends two heartbeats and two
// replies, and nothing else.
TEST(Replica, idleGroupSendsOnlyHeartbeatsAndTheirReplies)
{
    ReplicaGroup group({});
    commitCommands(group, "a", 3);
    group.run(2000);
    const std::uint64_t before = group.sent();
    group.run(6000);
    EXPECT_LE(group.sent() - before, 100U * 4);
}

// Guards against a group that cannot start because all members wait for each other.
TEST(Replica, groupElectsALeaderAfterAllMembersWereDown)
{
    ReplicaGroup group({});
    const std::string last = commitCommands(group, "a", 3);
    for (int slot = 0; slot < ReplicaGroup::size; ++slot) {
        group.crash(slot);
    }
    group.run(1000);
    group.start(0);
    group.run(2000);
    EXPECT_EQ(group.replica(0)->role(), ReplicaRole::Starting);
    group.start(1);
    EXPECT_TRUE(group.runUntil([&] { return group.leader() >= 0; }, 2000));
    commitCommands(group, "b", 1);
    EXPECT_TRUE(group.isCommitted(last));
}

// Guards against a message and a sync of its own for each command.
TEST(Replica, commandsProposedTogetherShareOneSyncAndOneMessageToEachMember)
{
    ReplicaOptions options = ReplicaGroup::defaults();
    options.maxBatchBytes = 128 * 1024;
    ReplicaGroup group({}, options);
    commitCommands(group, "a", 3);
    const int leader = group.leader();
    group.run(200);
    std::vector<std::string> commands;
    for (int i = 0; i < 100; ++i) {
        commands.push_back("b" + std::to_string(i));
    }
    const std::uint64_t sent = group.sent();
    const std::uint64_t syncs = group.syncs(leader);
    group.propose(leader, commands);
    EXPECT_EQ(group.sent() - sent, 2U);
    ASSERT_TRUE(group.runUntil([&] { return group.isCommitted("b99"); }));
    EXPECT_EQ(group.syncs(leader) - syncs, 1U);
}

// Guards against a large backlog in one message, which would delay heartbeats on a slow link.
TEST(Replica, batchesAreBounded)
{
    ReplicaGroup group({}); // 400 bytes, so that 100 commands need many messages
    commitCommands(group, "a", 3);
    const std::uint64_t sent = group.sent();
    group.propose(group.leader(), std::vector<std::string>(100, "b"));
    EXPECT_EQ(group.sent() - sent, 2 * ReplicaGroup::defaults().maxBatchesInFlight);
    EXPECT_TRUE(group.runUntil([&] { return group.isCommitted("b"); }));
}
