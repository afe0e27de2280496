#include "process/replica.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

const MemberRun first { { 1, 11 }, 2, 101 };
const MemberRun second { { 2, 12 }, 3, 102 };
const MemberRun third { { 3, 13 }, 3, 103 };
const Configuration voters { { first.member, second.member, third.member } };

/** One member with a log of two entries; the test plays its peers. */
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

    /** Takes the event and syncs at once. */
    ReplicaActions step(const ReplicaEvent &event)
    {
        ReplicaActions actions = this->replica.step(event, this->now);
        if (actions.persist && this->syncs) {
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
    void pass(Milliseconds span) { this->now = this->now + span; }

    void acceptStart()
    {
        this->receive(second, StartReply { this->run, StartVerdict::Accepted, 2, false, true });
        ASSERT_EQ(this->replica.role(), ReplicaRole::Follower);
    }
    void lead()
    {
        this->acceptStart();
        this->pass({ 600 });
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
    bool syncs = true;
    Replica replica;
    MemberRun run;
};

AppendReply answer(Term term, LogIndex match)
{
    return { term, true, match, 0, 0, 0, { 1000 } };
}

} // namespace

// Guards against a vote right after a restart, while the leader whose heartbeat this member
// answered before the restart still has its lease.
TEST_F(MemberTest, givesNoVoteBeforeALeaseAnsweredInAnEarlierRunHasEnded)
{
    this->acceptStart();
    const VoteRequest request { 3, 2, 2, false, false };
    this->pass({ 290 });
    EXPECT_TRUE(bodies<VoteReply>(this->receive(third, request)).empty());
    this->pass({ 20 });
    const auto replies = bodies<VoteReply>(this->receive(third, request));
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_TRUE(replies[0].granted);
}

// Guards against a vote or an answer that a loss of power takes back.
TEST_F(MemberTest, answersOnlyWhenVoteAndEntriesAreSynced)
{
    this->acceptStart();
    this->pass({ 310 });
    this->syncs = false;
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

// Guards against an answer that leaves after its entries could not be stored.
TEST_F(MemberTest, answersNothingAfterAFailedAppend)
{
    this->acceptStart();
    this->syncs = false;
    AppendRequest append { 3, 2, 2, 0, { 5 }, {}, { { 3, 3, NoOp {} } } };
    const ReplicaActions appended = this->receive(third, append);
    EXPECT_TRUE(this->step(PersistFailed {}).messages.empty());
    EXPECT_EQ(this->replica.role(), ReplicaRole::Failed);
    EXPECT_TRUE(this->step(LogSynced { appended.persist->sequence }).messages.empty());
    EXPECT_TRUE(this->receive(third, append).messages.empty());
}

// Guards against a deadline that stays in the past, so that the loop spins.
TEST_F(MemberTest, failedMemberAsksForNoTicks)
{
    this->acceptStart();
    this->step(PersistFailed {});
    this->pass({ 60000 });
    this->step(Tick {});
    EXPECT_GT(this->replica.nextDeadline(), this->now + Milliseconds { 1000 });
}

// Guards against entries of an older term that count as committed because a majority stores them; a
// member with a newer entry could still replace them.
TEST_F(MemberTest, commitsOlderTermsOnlyThroughAnEntryOfItsOwn)
{
    this->lead();
    this->receive(second, answer(3, 2));
    EXPECT_EQ(this->replica.commitIndex(), 0U);
    this->receive(second, answer(3, 3));
    EXPECT_EQ(this->replica.commitIndex(), 3U);
}

// Guards against acknowledgements that were on their way when their sender lost what they cover.
TEST_F(MemberTest, ignoresMessagesOfEarlierRuns)
{
    this->lead();
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

// Guards against a report that arrives twice and is taken for an old folder the second time.
TEST_F(MemberTest, acceptsALateCopyOfAStartReport)
{
    this->lead();
    MemberRun next = second;
    next.startCounter = second.startCounter + 1;
    const StartReport report { 3, 2, true, { second } };
    this->receive(next, report);
    this->receive(next, answer(3, 3));
    const auto replies = bodies<StartReply>(this->receive(next, report));
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies[0].verdict, StartVerdict::Accepted);
}

// Guards against a start counter that is not above the highest known, and against a log that is
// shorter than what the leader saw acknowledged.
TEST_F(MemberTest, refusesOldFolders)
{
    this->lead();
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

// Guards against a learner that replaces a voter before it has what is committed (P2).
TEST_F(MemberTest, replacesAVoterOnlyByALearnerThatHasCaughtUp)
{
    this->lead();
    this->receive(second, answer(3, 3));
    ASSERT_EQ(this->replica.commitIndex(), 3U);
    const MemberRun learner { { 3, 99 }, 1, 5 };
    this->receive(learner, StartReport { 0, 0, false, {} });
    this->receive(learner, answer(3, 2));
    EXPECT_EQ(this->replica.configuration(), voters);

    // Remove the old incarnation, commit that, then add the new one.
    this->receive(learner, answer(3, 3));
    const Configuration two { { first.member, second.member } };
    EXPECT_EQ(this->replica.configuration(), two);
    this->receive(learner, answer(3, 4));
    EXPECT_EQ(this->replica.configuration(), two);
    this->receive(second, answer(3, 4));
    const Configuration three { { first.member, second.member, learner.member } };
    EXPECT_EQ(this->replica.configuration(), three);
}

// Guards against a member that leads before its own vote is synced.
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
