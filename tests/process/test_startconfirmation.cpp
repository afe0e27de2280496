#include "replicagroup.h"

#include <gtest/gtest.h>

using namespace cassiaroad;
using namespace cassiaroad::test;

namespace {

const MemberRun founder { { 1, 11 }, 2, 101 };
const MemberRun second { { 2, 12 }, 2, 102 };
const MemberRun learner { { 3, 33 }, 1, 103 };
const Configuration alone { { founder.member } };
const Configuration three { { founder.member, second.member, { 3, 13 } } };

template <typename Body>
std::vector<Body> bodies(const ReplicaActions &actions)
{
    std::vector<Body> found;
    for (const ReplicaMessage &message : actions.messages) {
        if (const auto *body = std::get_if<Body>(&message.body)) {
            found.push_back(*body);
        }
    }
    return found;
}

/** A restarted member of a group that it has founded; the test acts as its peers. */
class StartConfirmationTest : public testing::Test
{
protected:
    StartConfirmationTest()
        : replica({ .members = { 1, 2, 3 }, .entriesRetainedBeforeSnapshot = 0 },
                  { founder.member,
                    founder.startCounter,
                    { 2, std::nullopt, { second }, {} },
                    std::nullopt,
                    { { 1, 1, alone }, { 2, 1, three }, { 3, 2, CommandBytes { "x" } } } },
                  7, { 1000 })
    {
        this->run = this->step(Tick {}).messages.at(0).from;
    }

    ReplicaActions step(const ReplicaEvent &event)
    {
        ReplicaActions actions = this->replica.step(event, this->now);
        if (actions.persist) {
            const ReplicaActions more
                    = this->replica.step(LogSynced { actions.persist->sequence }, this->now);
            actions.messages.insert(actions.messages.end(), more.messages.begin(),
                                    more.messages.end());
        }
        return actions;
    }
    ReplicaActions receive(const MemberRun &from, const MessageBody &body)
    {
        return this->step(MessageReceived { { from, founder.member, body } });
    }

    TimePoint now { 1000 };
    Replica replica;
    MemberRun run;
};

} // namespace

// Guards against a stale data folder of the founder that takes part in the group although no voter
// has confirmed it: a learner that has received the first entries only knows it as the sole voter.
TEST_F(StartConfirmationTest, isNotConfirmedByAnOlderConfigurationOfALearner)
{
    const StartReply reply { this->run, StartVerdict::Accepted, 2, false, false, { 1, 1, alone } };
    this->receive(learner, reply);
    EXPECT_EQ(this->replica.role(), ReplicaRole::Starting);
}

// Guards against a configuration that counts as older than all others, because the log was
// compacted beyond its entry and the term of the entry is not known any more.
TEST_F(StartConfirmationTest, reportsACompactedConfigurationAsTheNewest)
{
    this->receive(second, StartReply { this->run, StartVerdict::Accepted, 2, false, true, {} });
    const AppendRequest append { 2, 3, 2, 3, { 1000 }, {}, {} };
    this->receive(second, append);
    ASSERT_EQ(this->replica.commitIndex(), 3U);
    this->step(SnapshotSaved {
            { this->replica.snapshotMetaAt(3), std::make_shared<const std::string>("x") } });
    const auto replies
            = bodies<StartReply>(this->receive(learner, StartReport { 0, 0, false, {} }));
    ASSERT_EQ(replies.size(), 1U);
    EXPECT_EQ(replies[0].configuration.configuration, three);
    EXPECT_GE(replies[0].configuration.term, 1U);
}

// Guards against the loss of a committed entry by an old copy of a folder whose member the copy's
// only reachable peer has not seen in its latest run: each side of the group has a majority with
// it.
TEST(StaleFolder, isNotConfirmedByAMemberThatMissedTheLatestRun)
{
    ReplicaGroup group { NetworkConditions {} };
    ASSERT_TRUE(group.runUntil([&] { return group.leader() >= 0; }));
    const int leader = group.leader();
    const int stale = (leader + 1) % group.slotCount();
    const int other = (leader + 2) % group.slotCount();
    group.copyFolder(stale);
    group.isolate(other);
    group.crash(stale);
    group.start(stale);
    const auto isCommitted = [&] {
        group.propose(leader, "x");
        group.run(20);
        return group.isCommitted("x");
    };
    ASSERT_TRUE(group.runUntil(isCommitted));
    group.heal();
    group.isolate(leader);
    group.forceCopy(stale);
    group.start(stale);
    EXPECT_NO_THROW(group.run(5000));
}
