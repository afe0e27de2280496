#include "gateway/leadersearch.h"

#include <gtest/gtest.h>

#include <algorithm>

using namespace cassiaroad;

namespace {

constexpr TimePoint start { 100000 };

/** A search with two seeds that has begun at the start. */
LeaderSearch begunSearch()
{
    LeaderSearch search;
    search.setSeeds({ { "10.0.0.1", 1 }, { "10.0.0.2", 1 } });
    search.start(start);
    search.step(start);
    return search;
}

/** Runs @p search for @p duration on hosts that open connections at once and never answer. */
std::size_t countOpenConnections(LeaderSearch &search, Milliseconds duration)
{
    std::size_t open = 0;
    std::size_t most = 0;
    for (TimePoint now = start; now < start + duration; now = now + Milliseconds { 10 }) {
        const LeaderSearch::Step step = search.step(now);
        open += step.questions.size();
        open -= step.closed.size();
        most = std::max(most, open);
        for (const LeaderSearch::Question &question : step.questions) {
            search.recordOpened(question.connection, now);
        }
    }
    return most;
}

} // namespace

// Guards against a search that calls one host after the other.
TEST(LeaderSearch, asksAllHostsAtOnceOnNewConnections)
{
    LeaderSearch search;
    search.setSeeds({ { "10.0.0.1", 1 }, { "10.0.0.2", 1 } });
    GroupHint hint;
    hint.members = { { 1, "10.0.0.2" }, { 2, "10.0.0.3" } };
    hint.leaderIp = "10.0.0.4";
    search.setMembers(hint);
    search.start(start);
    ASSERT_EQ(search.nextStepAt(), start);
    const std::vector<LeaderSearch::Question> expected { { "10.0.0.2", 1, true },
                                                         { "10.0.0.3", 2, true },
                                                         { "10.0.0.1", 3, true },
                                                         { "10.0.0.4", 4, true } };
    EXPECT_EQ(search.step(start).questions, expected);
}

// Guards against searches while the leader answers in time, and against none when it does not.
TEST(LeaderSearch, beginsWhenAnUpdateIsLate)
{
    LeaderSearch search;
    search.setSeeds({ { "10.0.0.1", 1 } });
    EXPECT_EQ(search.nextStepAt(), std::nullopt);
    const TimePoint dueAt = start + Milliseconds { 550 };
    search.expectUpdate(dueAt);
    EXPECT_EQ(search.nextStepAt(), dueAt);
    EXPECT_TRUE(search.step(dueAt - Milliseconds { 1 }).questions.empty());
    EXPECT_FALSE(search.hasBegun());
    EXPECT_EQ(search.step(dueAt).questions.size(), 1U);
    EXPECT_EQ(search.beginning(), dueAt);
}

// Guards against a second copy of a large update that is being received over a full link.
TEST(LeaderSearch, waitsWhileAnUpdateArrives)
{
    LeaderSearch search;
    search.setSeeds({ { "10.0.0.1", 1 } });
    search.expectUpdate(start);
    const TimePoint dueAt = start + Milliseconds { 150 };
    search.postpone(dueAt);
    EXPECT_TRUE(search.step(start).questions.empty());
    EXPECT_EQ(search.nextStepAt(), dueAt);
}

// Guards against a gateway that asks a leader which refuses each watch call without a pause.
TEST(LeaderSearch, keepsTheIntervalOfAHostInTheNextSearch)
{
    LeaderSearch search = begunSearch();
    search.stop();
    EXPECT_EQ(search.nextStepAt(), std::nullopt);
    search.start(start + Milliseconds { 10 });
    EXPECT_EQ(search.nextStepAt(), start + Milliseconds { 400 });
}

// Guards against a connection that has gone silent during the search and is asked again.
TEST(LeaderSearch, asksAHostThatDoesNotAnswerOnANewConnection)
{
    LeaderSearch search = begunSearch();
    search.recordOpened(1, start);
    search.recordOpened(2, start);
    search.recordAnswer(2);
    const std::vector<LeaderSearch::Question> expected { { "10.0.0.1", 3, true },
                                                         { "10.0.0.2", 2, false } };
    EXPECT_EQ(search.step(start + Milliseconds { 400 }).questions, expected);
}

// Guards against connections that are begun while an earlier one to the same host is being opened:
// such an attempt is repeated by itself.
TEST(LeaderSearch, waitsForAConnectionThatIsBeingOpened)
{
    LeaderSearch search = begunSearch();
    EXPECT_EQ(search.nextStepAt(), std::nullopt);
    search.recordFailure(1);
    EXPECT_EQ(search.nextStepAt(), start + Milliseconds { 400 });
    const std::vector<LeaderSearch::Question> expected { { "10.0.0.1", 3, true } };
    EXPECT_EQ(search.step(start + Milliseconds { 400 }).questions, expected);
}

// Guards against gateways that use up the connections of a control host which does not answer.
TEST(LeaderSearch, keepsFourConnectionsToAHost)
{
    LeaderSearch search;
    search.setSeeds({ { "10.0.0.1", 1 } });
    search.start(start);
    EXPECT_EQ(countOpenConnections(search, { 60000 }), 4U);
    EXPECT_EQ(search.questionCount(), 150);
}

// Guards against a host that is only slow and never heard, since each connection to it is replaced
// before its answer arrives.
TEST(LeaderSearch, keepsTheOldestConnection)
{
    LeaderSearch search;
    search.setSeeds({ { "10.0.0.1", 1 } });
    search.start(start);
    TimePoint now = start;
    std::vector<LeaderSearch::ConnectionNumber> closed;
    for (int i = 0; i < 6; ++i) {
        const LeaderSearch::Step step = search.step(now);
        ASSERT_EQ(step.questions.size(), 1U);
        search.recordOpened(step.questions.front().connection, now);
        closed.insert(closed.end(), step.closed.begin(), step.closed.end());
        now = now + Milliseconds { 400 };
    }
    EXPECT_EQ(closed, (std::vector<LeaderSearch::ConnectionNumber> { 2, 3 }));
}

// Guards against a host that is learned of in the search and only asked after the interval.
TEST(LeaderSearch, asksAHostAtOnceThatAnotherNames)
{
    LeaderSearch search = begunSearch();
    GroupHint hint;
    hint.leaderIp = "10.0.0.9";
    search.setMembers(hint);
    const std::vector<LeaderSearch::Question> expected { { "10.0.0.9", 3, true } };
    EXPECT_EQ(search.step(start + Milliseconds { 5 }).questions, expected);
}

// Guards against a gateway that knows only the seeds and the leader it follows: when all control
// hosts were replaced, that leader last, it asked nobody who serves.
TEST(LeaderSearch, asksTheMembersThatTheLeaderHasConfirmed)
{
    LeaderSearch search = begunSearch();
    search.stop();
    search.setConfirmedMembers({ 8, { { 1, "10.0.0.6" }, { 2, "10.0.0.7" } } });
    EXPECT_EQ(search.membersRevision(), 8U);
    search.start(start + Milliseconds { 1000 });
    const std::vector<std::string> expected { "10.0.0.6", "10.0.0.7", "10.0.0.1", "10.0.0.2" };
    EXPECT_EQ(search.candidates(), expected);
    EXPECT_EQ(search.step(start + Milliseconds { 1000 }).questions.size(), expected.size());
}

// Guards against a host that has left the group and displaces the members by the old list it knows.
TEST(LeaderSearch, ignoresAnOlderList)
{
    LeaderSearch search;
    search.setConfirmedMembers({ 8, { { 1, "10.0.0.6" } } });
    GroupHint old;
    old.membersRevision = 7;
    old.members = { { 1, "10.0.0.1" } };
    search.setMembers(old);
    EXPECT_EQ(search.candidates(), std::vector<std::string> { "10.0.0.6" });
    EXPECT_EQ(search.membersRevision(), 8U);
}

// Guards against a host of another group at the address of a former member: its list looks newer,
// and the gateway no longer asks its own members.
TEST(LeaderSearch, keepsFormerMembersAsCandidates)
{
    LeaderSearch search;
    search.setConfirmedMembers({ 8, { { 1, "10.0.0.6" } } });
    GroupHint foreign;
    foreign.membersRevision = 90;
    foreign.members = { { 1, "10.9.0.1" } };
    search.setMembers(foreign);
    const std::vector<std::string> expected { "10.9.0.1", "10.0.0.6" };
    EXPECT_EQ(search.candidates(), expected);
    search.setConfirmedMembers({ 8, { { 1, "10.0.0.6" } } });
    EXPECT_EQ(search.membersRevision(), 8U);
}

// Guards against a search that asks more and more hosts with each replaced member and named leader.
TEST(LeaderSearch, asksABoundedNumberOfHosts)
{
    LeaderSearch search;
    search.setSeeds({ { "10.0.0.1", 1 } });
    for (std::uint64_t revision = 1; revision <= 200; ++revision) {
        GroupHint hint;
        hint.membersRevision = revision;
        hint.members[1] = "10.1.0." + std::to_string(revision);
        hint.leaderIp = "10.2.0." + std::to_string(revision);
        search.setMembers(hint);
    }
    EXPECT_EQ(search.candidates().size(), 1U + 1U + 16U + 4U);
    GroupHint large;
    large.membersRevision = 1000;
    for (std::uint32_t slot = 1; slot <= 100; ++slot) {
        large.members[slot] = "10.3.0." + std::to_string(slot);
    }
    search.setMembers(large);
    EXPECT_EQ(search.membersRevision(), 200U);
}

// Guards against a gateway that asks only the leader named last, by a host with an old view.
TEST(LeaderSearch, asksEachOfTwoNamedLeaders)
{
    LeaderSearch search = begunSearch();
    GroupHint hint;
    hint.leaderIp = "10.0.0.8";
    search.setMembers(hint);
    hint.leaderIp = "10.0.0.9";
    search.setMembers(hint);
    const std::vector<LeaderSearch::Question> expected { { "10.0.0.8", 3, true },
                                                         { "10.0.0.9", 4, true } };
    EXPECT_EQ(search.step(start + Milliseconds { 5 }).questions, expected);
}
