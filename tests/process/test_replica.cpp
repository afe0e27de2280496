#include "replicagroup.h"

#include <gtest/gtest.h>

using namespace cassiaroad;
using namespace cassiaroad::test;

namespace {

constexpr int elections = 1100; // milliseconds; two election timeouts

/** Commits @p count commands and returns the last one. */
std::string commitSome(ReplicaGroup &group, const std::string &name, int count)
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

bool allApplied(const ReplicaGroup &group, LogIndex index)
{
    for (int slot = 0; slot < ReplicaGroup::size; ++slot) {
        if (group.replica(slot) == nullptr || group.replica(slot)->commitIndex() < index) {
            return false;
        }
    }
    return true;
}

} // namespace

// Guards against a leader that wakes up after a pause and still believes in its lease.
TEST(Replica, pausedLeaderHasNoLeaseWhenItResumes)
{
    ReplicaGroup group({});
    commitSome(group, "a", 3);
    const int old = group.leader();
    EXPECT_TRUE(group.replica(old)->hasLeaderLease(group.localTime(old)));
    group.pause(old);
    group.run(280);
    EXPECT_FALSE(group.replica(old)->hasLeaderLease(group.localTime(old)));
    ASSERT_TRUE(group.runUntil([&] { return group.leader() != old; }));
    commitSome(group, "b", 3);
    const int next = group.leader();
    group.resume(old);
    EXPECT_FALSE(group.replica(old)->hasLeaderLease(group.localTime(old)));
    group.run(elections);
    EXPECT_EQ(group.leader(), next);
    EXPECT_EQ(group.replica(old)->role(), ReplicaRole::Follower);
}

// Guards against a lease counted from the arrival of answers. The last answer that arrives belongs
// to a heartbeat sent 60 ms before the cut, so the lease ends 210 ms after the cut, not 330 ms.
TEST(Replica, leaseCountsFromTheSendTimeOfAnsweredHeartbeats)
{
    Weather weather;
    weather.minDelay = 60;
    weather.maxDelay = 60;
    weather.maxSyncDelay = 0;
    ReplicaGroup group(weather);
    commitSome(group, "a", 1);
    const int leader = group.leader();
    group.run(500);
    EXPECT_TRUE(group.replica(leader)->hasLeaderLease(group.localTime(leader)));
    group.isolate(leader);
    group.run(250);
    EXPECT_FALSE(group.replica(leader)->hasLeaderLease(group.localTime(leader)));
}

// Guards against a leader that keeps its role without a majority.
TEST(Replica, leaderWithoutAQuorumStepsDown)
{
    ReplicaGroup group({});
    commitSome(group, "a", 1);
    const int leader = group.leader();
    group.isolate(leader);
    group.run(600);
    EXPECT_NE(group.replica(leader)->role(), ReplicaRole::Leader);
}

// Guards against a member that hears one peer but not the leader and deposes it through that peer.
TEST(Replica, memberThatLostOnlyTheLeaderDoesNotDisturbIt)
{
    ReplicaGroup group({});
    commitSome(group, "a", 1);
    const int leader = group.leader();
    const Term term = group.replica(leader)->term();
    group.cut(leader, (leader + 1) % ReplicaGroup::size);
    group.run(5000);
    EXPECT_EQ(group.leader(), leader);
    EXPECT_EQ(group.replica(leader)->term(), term);
}

// Guards against a member that raises its term while it is cut off and deposes the leader later.
TEST(Replica, memberThatWasCutOffForLongDoesNotDisturbTheLeader)
{
    ReplicaGroup group({});
    commitSome(group, "a", 3);
    const int leader = group.leader();
    const Term term = group.replica(leader)->term();
    const int away = (leader + 1) % ReplicaGroup::size;
    group.isolate(away);
    group.run(30000);
    commitSome(group, "b", 3);
    group.heal();
    group.run(5000);
    EXPECT_EQ(group.leader(), leader);
    EXPECT_EQ(group.replica(leader)->term(), term);
    EXPECT_TRUE(allApplied(group, group.replica(leader)->commitIndex()));
}

// Guards against a repair that counts before the new member has everything (P2).
TEST(Replica, secondLossRightAfterTheRepairLosesNothing)
{
    for (int first = 0; first < ReplicaGroup::size; ++first) {
        for (int second = 0; second < ReplicaGroup::size; ++second) {
            Weather weather;
            weather.seed = static_cast<std::uint64_t>(first * ReplicaGroup::size + second);
            weather.maxDelay = 20;
            ReplicaGroup group(weather);
            const std::string last = commitSome(group, "a", 200);
            ASSERT_TRUE(group.loseFolder(first));
            group.start(first);
            ASSERT_TRUE(group.runUntil([&] { return group.isRepaired(); }));
            ASSERT_TRUE(group.loseFolder(second));
            group.start(second);
            ASSERT_TRUE(group.runUntil([&] { return group.isRepaired(); }));
            commitSome(group, "b", 1);
            EXPECT_TRUE(group.isCommitted(last));
        }
    }
}

// Guards against a full disk that loses acknowledged commands or stops the group.
TEST(Replica, leaderWithFullDiskStepsDownAndLosesNothing)
{
    ReplicaGroup group({});
    const std::string before = commitSome(group, "a", 5);
    const int full = group.leader();
    group.fillDisk(full);
    group.propose(full, "refused");
    ASSERT_TRUE(
            group.runUntil([&] { return group.leader() >= 0 && group.leader() != full; }, 1000));
    EXPECT_EQ(group.replica(full)->role(), ReplicaRole::Failed);
    EXPECT_EQ(group.propose(full, "more"), ProposalResult { ProposalRefusal::StorageFailed });
    EXPECT_FALSE(group.replica(full)->hasLeaderLease(group.localTime(full)));
    commitSome(group, "b", 5);
    group.freeDisk(full);
    group.crash(full);
    group.start(full);
    ASSERT_TRUE(group.runUntil(
            [&] { return allApplied(group, group.replica(group.leader())->commitIndex()); }));
    EXPECT_TRUE(group.isCommitted(before));
}

// Guards against a folder from a backup of the present run that has lost acknowledged entries.
TEST(Replica, leaderRecognisesAnOldCopyOfThePresentRun)
{
    ReplicaGroup group({});
    commitSome(group, "a", 3);
    const int slot = (group.leader() + 1) % ReplicaGroup::size;
    const MemberId before = group.replica(slot)->id();
    group.copyFolder(slot);
    commitSome(group, "b", 5);
    group.run(100);
    group.forceCopy(slot);
    group.start(slot);
    ASSERT_TRUE(group.runUntil(
            [&] { return group.isRepaired() && group.replica(slot)->id() != before; }));
}

// Guards against a copy from an earlier run, with another start of it in between.
TEST(Replica, peersRecogniseAnOldCopyThatStartsTwice)
{
    ReplicaGroup group({});
    commitSome(group, "a", 3);
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

// Guards against a member behind the compacted log that never catches up.
TEST(Replica, memberBehindTheCompactedLogReceivesTheSnapshot)
{
    ReplicaGroup group({});
    commitSome(group, "a", 3);
    const int away = (group.leader() + 1) % ReplicaGroup::size;
    group.isolate(away);
    commitSome(group, "b", 50);
    for (int slot = 0; slot < ReplicaGroup::size; ++slot) {
        if (slot != away) {
            group.saveSnapshot(slot);
        }
    }
    commitSome(group, "c", 3);
    group.heal();
    ASSERT_TRUE(group.runUntil(
            [&] { return allApplied(group, group.replica(group.leader())->commitIndex()); }));
    EXPECT_GT(group.replica(away)->snapshotIndex(), 40U);
}

// Guards against a graceful stop that costs an election timeout.
TEST(Replica, transferElectsTheOtherMemberAtOnce)
{
    ReplicaGroup group({});
    commitSome(group, "a", 3);
    const int old = group.leader();
    group.transfer(old);
    EXPECT_FALSE(group.replica(old)->hasLeaderLease(group.localTime(old)));
    EXPECT_TRUE(group.runUntil([&] { return group.leader() >= 0 && group.leader() != old; }, 60));
}

// Guards against a back-off of one entry for each message. The first leader holds 300 entries that
// nobody else has, and the third one begins behind 300 others.
TEST(Replica, conflictingEntriesAreReplacedWithFewMessages)
{
    ReplicaOptions options = ReplicaGroup::defaults();
    options.maxBatchBytes = 128 * 1024;
    ReplicaGroup group({}, options);
    commitSome(group, "a", 3);
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
    commitSome(group, "c", 1);
    group.run(1000);
    const std::uint64_t before = group.sent();
    group.heal();
    ASSERT_TRUE(group.runUntil(
            [&] { return allApplied(group, group.replica(group.leader())->commitIndex()); }, 1000));
    EXPECT_LT(group.sent() - before, 100U);
    EXPECT_FALSE(group.isCommitted("lost"));
}

// Guards against traffic at rest: two heartbeats and two answers in each 60 ms, and nothing else.
TEST(Replica, restCostsTwoHeartbeatsAndTheirAnswers)
{
    ReplicaGroup group({});
    commitSome(group, "a", 3);
    group.run(2000);
    const std::uint64_t before = group.sent();
    group.run(6000);
    EXPECT_LE(group.sent() - before, 100U * 4);
}

// Guards against a group that cannot start because all its members wait for each other.
TEST(Replica, groupComesBackAfterAllMembersWereDown)
{
    ReplicaGroup group({});
    const std::string last = commitSome(group, "a", 3);
    for (int slot = 0; slot < ReplicaGroup::size; ++slot) {
        group.crash(slot);
    }
    group.run(1000);
    group.start(0);
    group.run(2000);
    EXPECT_EQ(group.replica(0)->role(), ReplicaRole::Starting);
    group.start(1);
    EXPECT_TRUE(group.runUntil([&] { return group.leader() >= 0; }, 2000));
    commitSome(group, "b", 1);
    EXPECT_TRUE(group.isCommitted(last));
}

// Guards against one message and one sync for each command.
TEST(Replica, commandsOfOneTurnShareOneSyncAndOneMessageToEachMember)
{
    ReplicaOptions options = ReplicaGroup::defaults();
    options.maxBatchBytes = 128 * 1024;
    ReplicaGroup group({}, options);
    commitSome(group, "a", 3);
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

// Guards against a large backlog in one message, which would hold up heartbeats on a slow link.
TEST(Replica, batchesAreBounded)
{
    ReplicaGroup group({}); // 400 bytes, so that 100 commands need many messages
    commitSome(group, "a", 3);
    const std::uint64_t sent = group.sent();
    group.propose(group.leader(), std::vector<std::string>(100, "b"));
    EXPECT_EQ(group.sent() - sent, 2 * ReplicaGroup::defaults().maxBatchesInFlight);
    EXPECT_TRUE(group.runUntil([&] { return group.isCommitted("b"); }));
}
