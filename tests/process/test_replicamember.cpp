#include "process/replica.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const MemberRun first { { 1, 11 }, 2, 101 };
const MemberRun second { { 2, 12 }, 3, 102 };
const MemberRun third { { 3, 13 }, 3, 103 };
const Configuration voters { { first.member, second.member, third.member } };

/** One member with a log of two entries; the test acts as its peers. */
class MemberTest : public testing::Test
{
protected:
    MemberTest()
        : replica({ .members = { 1, 2, 3 } },
                  { first.member,
                    first.startCounter,
                    { 2, std::nullopt, { second, third }, {} },
                    std::nullopt,
                    { { 1, 1, voters }, { 2, 2, CommandBytes { "x" } } } },
                  7, { 1000 })
    {
        this->run = this->step(Tick {}).messages.at(0).from;
    }

    /** Handles an event and, unless syncsAtOnce is false, reports its data as synced at once. */
    ReplicaActions step(const ReplicaEvent &event)
    {
        ReplicaActions actions = this->replica.step(event, this->now);
        if (actions.persist && this->syncsAtOnce) {
            ReplicaActions more
                    = this->replica.step(LogSynced { actions.persist->sequence }, this->now);
            actions.messages.insert(actions.messages.end(), more.messages.begin(),
                                    more.messages.end());
            actions.committed.insert(actions.committed.end(), more.committed.begin(),
                                     more.committed.end());
        }
        return actions;
    }
    ReplicaActions receive(const MemberRun &from, const MessageBody &body)
    {
        return this->step(MessageReceived { { from, first.member, body } });
    }
    void advanceTime(Milliseconds span) { this->now = this->now + span; }

    void acceptStart()
    {
        this->receive(second, StartReply { this->run, StartVerdict::Accepted, 2, false, true, {} });
        ASSERT_EQ(this->replica.role(), ReplicaRole::Follower);
    }
    void becomeLeader()
    {
        this->acceptStart();
        this->advanceTime({ 600 });
        this->step(Tick {});
        this->receive(second, VoteReply { 3, true, true });
        this->receive(second, VoteReply { 3, true, false });
        ASSERT_EQ(this->replica.role(), ReplicaRole::Leader);
    }
    template <typename Body>
    static std::vector<Body> bodies(const ReplicaActions &actions)
    {
        std::vector<Body> found;
        for (const ReplicaMessage &message : actions.messages) {
            if (const auto *body = std::get_if<Body>(&message.body)) {
                found.push_back(*body);
            }
        }
        return found;
    }

    TimePoint now { 1000 };
    bool syncsAtOnce = true;
    Replica replica;
    MemberRun run;
};

/** Successful reply to an append request. */
AppendReply answer(Term term, LogIndex match)
{
    return { term, true, match, 0, 0, 0, { 1000 } };
}

} // namespace

// Guards against a vote right after a restart. The leader may still have a lease, to which this
// member contributed when it replied to a heartbeat before the restart.
TEST_F(MemberTest, givesNoVoteWhileALeaseConfirmedBeforeTheRestartMayBeValid)
{
    this->acceptStart();
    const VoteRequest request { 3, 2, 2, false, false };
    this->advanceTime({ 290 });
    EXPECT_TRUE(bodies<VoteReply>(this->receive(third, request)).empty());
    this->advanceTime({ 20 });
    const auto replies = bodies<VoteReply>(this->receive(third, request));
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_TRUE(replies[0].granted);
}

// Guards against a vote or a reply whose data is lost in a power failure.
TEST_F(MemberTest, answersOnlyWhenVoteAndEntriesAreSynced)
{
    this->acceptStart();
    this->advanceTime({ 310 });
    this->syncsAtOnce = false;
    const ReplicaActions voted = this->receive(third, VoteRequest { 3, 2, 2, false, false });
    EXPECT_TRUE(voted.messages.empty());
    ASSERT_TRUE(voted.persist);
    EXPECT_EQ(voted.persist->hardState->vote, third.member);
    AppendRequest append { 3, 2, 2, 0, { 5 }, {}, { { 3, 3, NoOp {} } } };
    const ReplicaActions appended = this->receive(third, append);
    EXPECT_TRUE(appended.messages.empty());
    ASSERT_TRUE(appended.persist);
    EXPECT_EQ(appended.persist->entries.size(), 1U);

    const ReplicaActions synced
            = this->replica.step(LogSynced { appended.persist->sequence }, this->now);
    EXPECT_EQ(bodies<VoteReply>(synced).size(), 1U);
    ASSERT_EQ(bodies<AppendReply>(synced).size(), 1U);
    EXPECT_EQ(bodies<AppendReply>(synced)[0].matchIndex, 3U);
}

// Guards against a reply that is sent although its entries could not be stored.
TEST_F(MemberTest, answersNothingAfterAFailedAppend)
{
    this->acceptStart();
    this->syncsAtOnce = false;
    AppendRequest append { 3, 2, 2, 0, { 5 }, {}, { { 3, 3, NoOp {} } } };
    const ReplicaActions appended = this->receive(third, append);
    EXPECT_TRUE(this->step(PersistFailed {}).messages.empty());
    EXPECT_EQ(this->replica.role(), ReplicaRole::Failed);
    EXPECT_TRUE(this->step(LogSynced { appended.persist->sequence }).messages.empty());
    EXPECT_TRUE(this->receive(third, append).messages.empty());
}

// Guards against a deadline that stays in the past, which would make the event loop spin.
TEST_F(MemberTest, failedMemberSetsItsDeadlineFarAhead)
{
    this->acceptStart();
    this->step(PersistFailed {});
    this->advanceTime({ 60000 });
    this->step(Tick {});
    EXPECT_GT(this->replica.nextDeadline(), this->now + Milliseconds { 1000 });
}

// Guards against entries of an older term that count as committed because a majority has stored
// them; a member with an entry of a newer term could still replace them.
TEST_F(MemberTest, commitsOlderTermsOnlyThroughAnEntryOfItsOwn)
{
    this->becomeLeader();
    this->receive(second, answer(3, 2));
    EXPECT_EQ(this->replica.commitIndex(), 0U);
    this->receive(second, answer(3, 3));
    EXPECT_EQ(this->replica.commitIndex(), 3U);
}

// Guards against acknowledgements that were in transit when their sender lost the entries that they
// acknowledge.
TEST_F(MemberTest, ignoresMessagesOfEarlierRuns)
{
    this->becomeLeader();
    MemberRun next = second;
    next.startCounter = second.startCounter + 1;
    next.nonce = 999;
    const ReplicaActions actions = this->receive(next, StartReport { 3, 2, true, { second } });
    ASSERT_EQ(bodies<StartReply>(actions).size(), 1U);
    EXPECT_EQ(bodies<StartReply>(actions)[0].verdict, StartVerdict::Accepted);
    this->receive(second, answer(3, 3));
    EXPECT_EQ(this->replica.commitIndex(), 0U);
    this->receive(next, answer(3, 3));
    EXPECT_EQ(this->replica.commitIndex(), 3U);
}

// Guards against a report that arrives twice and the second time counts as that of a stale folder.
TEST_F(MemberTest, acceptsALateCopyOfAStartReport)
{
    this->becomeLeader();
    MemberRun next = second;
    next.startCounter = second.startCounter + 1;
    const StartReport report { 3, 2, true, { second } };
    this->receive(next, report);
    this->receive(next, answer(3, 3));
    const auto replies = bodies<StartReply>(this->receive(next, report));
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies[0].verdict, StartVerdict::Accepted);
}

// Guards against a member that is accepted although its start counter is not above the known one,
// or although its log lacks entries that it has acknowledged to the leader.
TEST_F(MemberTest, refusesStaleFolders)
{
    this->becomeLeader();
    MemberRun same = second;
    same.nonce = 5;
    const auto counter = bodies<StartReply>(this->receive(same, StartReport { 3, 9, true, {} }));
    ASSERT_EQ(counter.size(), 1U);
    EXPECT_EQ(counter[0].verdict, StartVerdict::Old);

    this->receive(second, answer(3, 3));
    MemberRun next = second;
    ++next.startCounter;
    const auto log
            = bodies<StartReply>(this->receive(next, StartReport { 3, 2, true, { second } }));
    ASSERT_EQ(log.size(), 1U);
    EXPECT_EQ(log[0].verdict, StartVerdict::Old);
}

// Guards against a learner that replaces a voter before it has all committed entries (P2).
TEST_F(MemberTest, replacesAVoterOnlyByALearnerThatHasCaughtUp)
{
    this->becomeLeader();
    this->receive(second, answer(3, 3));
    ASSERT_EQ(this->replica.commitIndex(), 3U);
    const MemberRun learner { { 3, 99 }, 1, 5 };
    this->receive(learner, StartReport { 0, 0, false, {} });
    this->receive(learner, answer(3, 2));
    EXPECT_EQ(this->replica.configuration(), voters);

    // The leader removes the old incarnation, commits that change and then adds the new one.
    this->receive(learner, answer(3, 3));
    const Configuration two { { first.member, second.member } };
    EXPECT_EQ(this->replica.configuration(), two);
    this->receive(learner, answer(3, 4));
    EXPECT_EQ(this->replica.configuration(), two);
    this->receive(second, answer(3, 4));
    const Configuration three { { first.member, second.member, learner.member } };
    EXPECT_EQ(this->replica.configuration(), three);
}

// Guards against voters that wait for each other for ever after all have lost power, because the
// entry that made one of them a voter has reached neither that one nor the one that waits.
TEST(Member, countsConfirmationsByTheNewestConfigurationThatAPeerKnows)
{
    const std::vector<MemberRun> runs { { { 1, 11 }, 2, 1 },
                                        { { 2, 12 }, 2, 2 },
                                        { { 3, 13 }, 2, 3 },
                                        { { 4, 14 }, 2, 4 },
                                        { { 5, 15 }, 2, 5 } };
    const Configuration four { { runs[0].member, runs[1].member, runs[3].member, runs[4].member } };
    Configuration five = four;
    five.voters.insert(five.voters.begin() + 2, runs[2].member);
    Replica replica(
            { .members = { 1, 2, 3, 4, 5 } },
            { runs[4].member, 2, { 2, std::nullopt, {}, {} }, std::nullopt, { { 1, 1, four } } }, 7,
            { 0 });
    const ReplicaActions first = replica.step(Tick {}, { 0 });
    replica.step(LogSynced { first.persist->sequence }, { 0 });
    const MemberRun self = replica.step(Tick {}, { 100 }).messages.at(0).from;
    const auto reply = [&](const MemberRun &from, bool voter, const SnapshotMeta &known) {
        const StartReply body { self, StartVerdict::Accepted, 2, false, voter, known };
        replica.step(MessageReceived { { from, self.member, body } }, { 100 });
    };
    // Members 2 and 4 have lost their disks.
    reply(runs[2], false, { 1, 1, four });
    EXPECT_EQ(replica.role(), ReplicaRole::Starting);
    reply(runs[0], true, { 6, 2, five });
    EXPECT_EQ(replica.role(), ReplicaRole::Follower);
}

// Guards against a member that becomes leader before its own vote is synced.
TEST(Member, soleVoterLeadsOnlyWhenItsVoteIsSynced)
{
    Replica replica({ .members = { 1, 2, 3 } }, { { 1, 7 }, 1, {}, std::nullopt, {} }, 1, { 0 },
                    true);
    ReplicaActions actions;
    TimePoint now;
    while (!actions.persist || replica.role() != ReplicaRole::Candidate) {
        ASSERT_LT(now.sinceOrigin, 2000);
        now = now + Milliseconds { 10 };
        actions = replica.step(Tick {}, now);
    }
    replica.step(Tick {}, now);
    EXPECT_EQ(replica.role(), ReplicaRole::Candidate);
    replica.step(LogSynced { actions.persist->sequence }, now);
    EXPECT_EQ(replica.role(), ReplicaRole::Leader);
}
