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
