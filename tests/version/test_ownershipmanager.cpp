#include "version/transcript.h"

#include <cstdlib>
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

using namespace cassiaroad;

namespace {

OwnershipConfig fourShards()
{
    OwnershipConfig config;
    config.zone = "a";
    config.services = { { "orders", 4 } };
    return config;
}

/** Compares with a golden file; UPDATE_GOLDEN=1 in the environment writes it anew. */
void expectGolden(const std::string &name, const std::string &text)
{
    const std::string path = std::string(TEST_DATA) + "/golden/" + name + ".txt";
    if (std::getenv("UPDATE_GOLDEN") != nullptr) {
        std::ofstream(path) << text;
    }
    std::ifstream file(path);
    std::stringstream golden;
    golden << file.rdbuf();
    EXPECT_EQ(text, golden.str()) << "differs from " << path;
}

int count(const std::string &text, const std::string &part)
{
    int found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

UpstreamState stateOf(const Transcript &transcript, const std::string &name)
{
    return transcript.state().routing().upstream({ "orders", name })->state;
}

} // namespace

// Guards the whole course of a drain: plan, confirmation, release, grants, in force, completed; and
// the resent confirmation, which changes nothing.
TEST(OwnershipManager, drainsAsInTheGoldenTranscript)
{
    Transcript transcript(fourShards());
    transcript.addUpstream("u1", "a");
    transcript.addUpstream("u2", "b");
    transcript.addEntry("e1");
    transcript.addEntry("e2");
    transcript.runFor({ 2500 });
    transcript.plan("anna", "new disks", DrainUpstream { { "orders", "u1" } });
    transcript.confirm("anna", 1, 1);
    transcript.runFor({ 1000 });
    transcript.confirm("anna", 1, 1);
    transcript.plan("anna", "new disks too", DrainUpstream { { "orders", "u2" } });
    expectGolden("drain", transcript.text());
}

// Guards against two operators who both believe that they won, also with equal numbers.
TEST(OwnershipManager, decidesBetweenOperatorsAsInTheGoldenTranscript)
{
    Transcript transcript(fourShards());
    transcript.addUpstream("u1", "a");
    transcript.addUpstream("u2", "b");
    transcript.addEntry("e1");
    transcript.runFor({ 2500 });
    transcript.plan("anna", "maintenance", DrainUpstream { { "orders", "u1" } });
    transcript.plan("bo", "hot", MoveKey { { "orders", "race-day" }, "u1" });
    transcript.confirm("bo", 1, 2);
    transcript.confirm("anna", 1, 1);
    transcript.runFor({ 1000 });
    transcript.confirm("anna", 1, 1);
    transcript.confirm("anna", 2, 2);
    transcript.confirm("bo", 1, 1);
    expectGolden("race", transcript.text());
}

// Guards the budget of section 4: a lost upstream's shards have a new owner within 1.3 s.
TEST(OwnershipManager, movesTheShardsOfALostUpstreamInTime)
{
    Transcript transcript(fourShards());
    transcript.addUpstream("u1", "a");
    transcript.addUpstream("u2", "b");
    transcript.addEntry("e1");
    transcript.runFor({ 2500 });
    transcript.leave("u1");
    transcript.runFor({ 1300 });
    EXPECT_EQ(stateOf(transcript, "u1"), UpstreamState::Lost);
    for (const auto &[shard, entry] : transcript.state().routing().shards()) {
        EXPECT_EQ(entry.route.upstream, "u2");
        EXPECT_EQ(entry.route.state, RouteState::Owned);
    }
}

// Guards against a short outage of all upstreams after which all keys change owner.
TEST(OwnershipManager, givesShardsBackAfterAnOutageOfAllUpstreams)
{
    Transcript transcript(fourShards());
    transcript.addUpstream("u1", "a");
    transcript.addUpstream("u2", "b");
    transcript.addEntry("e1");
    transcript.runFor({ 2500 });
    const auto before = transcript.state().routing().shards();
    transcript.pause("u1", { 3000 });
    transcript.pause("u2", { 3100 });
    transcript.runFor({ 6000 });
    for (const auto &[shard, entry] : transcript.state().routing().shards()) {
        EXPECT_EQ(entry.route.upstream, before.at(shard).route.upstream);
        EXPECT_EQ(entry.route.state, RouteState::Owned);
        EXPECT_GT(entry.route.epoch, 1U);
    }
}

// Guards P6: an upstream that leaves gets no new work after 2 s, and nothing is taken from it by
// force.
TEST(OwnershipManager, movesTheShardsOfAnUpstreamThatLeaves)
{
    Transcript transcript(fourShards());
    transcript.addUpstream("u1", "a");
    transcript.addUpstream("u2", "b");
    transcript.addEntry("e1");
    transcript.runFor({ 2500 });
    transcript.drain("u1");
    transcript.runFor({ 2000 });
    EXPECT_FALSE(transcript.state().routing().isInUse({ "orders", "u1" }));
    EXPECT_EQ(count(transcript.text(), "start planned"), 1);
    EXPECT_EQ(count(transcript.text(), "start loss"), 0);
    transcript.drain("u2"); // the last one: it keeps its shards
    transcript.runFor({ 2000 });
    EXPECT_TRUE(transcript.state().routing().isInUse({ "orders", "u2" }));
}

// Guards against a failing upstream that keeps its keys because it still announces, and against
// ejecting more than 20% of a service at once.
TEST(OwnershipManager, suspectsFailingUpstreamsWithinTheLimit)
{
    Transcript transcript(fourShards());
    for (const char *name : { "u1", "u2", "u3", "u4", "u5" }) {
        transcript.addUpstream(name, "a");
    }
    transcript.addEntry("e1");
    transcript.addEntry("e2");
    transcript.runFor({ 2500 });
    transcript.report("u1", 10);
    transcript.report("u2", 10);
    transcript.runFor({ 2000 });
    EXPECT_EQ(stateOf(transcript, "u1"), UpstreamState::Suspected);
    EXPECT_EQ(stateOf(transcript, "u2"), UpstreamState::Up);
    EXPECT_FALSE(transcript.state().routing().isInUse({ "orders", "u1" }));

    transcript.report("u1", 0);
    transcript.report("u2", 0);
    transcript.runFor({ 2000 }); // successes alone do not return it before its time
    EXPECT_EQ(stateOf(transcript, "u1"), UpstreamState::Suspected);
    transcript.runFor({ 2000 });
    EXPECT_EQ(stateOf(transcript, "u1"), UpstreamState::Up);
}

// Guards against a zone that is taken out while its upstreams keep work or its member leads on,
// and against a plan that hides what cannot be served.
TEST(OwnershipManager, takesAZoneOut)
{
    Transcript transcript(fourShards());
    transcript.addUpstream("u1", "a");
    transcript.addUpstream("u2", "b");
    transcript.addEntry("e1");
    transcript.runFor({ 2500 });
    transcript.plan("anna", "power", ZoneOut { "a" });
    transcript.confirm("anna", 1, 1);
    transcript.runFor({ 2000 });
    EXPECT_FALSE(transcript.state().routing().isInUse({ "orders", "u1" }));
    EXPECT_GE(count(transcript.text(), "leadership should leave zone a"), 1);
    transcript.plan("anna", "power", ZoneOut { "b" });
    EXPECT_EQ(count(transcript.text(), "no other upstream accepts them, until it returns"), 1);
}

// Guards against proposals that are repeated while the first is in flight, which would fill the
// log of a slow group.
TEST(OwnershipManager, doesNotRepeatAProposalInFlight)
{
    ControlState state;
    OwnershipManager manager(state, fourShards());
    manager.handle(LeadershipGained {}, { 0 }, true);
    int proposals = 0;
    for (std::int64_t time = 10; time < 5000; time += 10) {
        AnnounceRequested event;
        event.call = static_cast<CallId>(time);
        event.upstream = { { "orders", "u1" }, "a", "127.0.0.1:9000", 6, 120, true, "1", false };
        for (const auto &action : manager.handle(event, { time }, true)) {
            proposals += std::holds_alternative<ProposeCommand>(action) ? 1 : 0;
        }
        for (const auto &action : manager.handle(TimePassed { 0 }, { time }, true)) {
            proposals += std::holds_alternative<ProposeCommand>(action) ? 1 : 0;
        }
    }
    EXPECT_EQ(proposals, 1);
}

// Guards against a leader that hands out leases after its own has run out.
TEST(OwnershipManager, issuesNoLeaseWithoutLeaderLease)
{
    ControlState state;
    OwnershipManager manager(state, fourShards());
    manager.handle(LeadershipGained {}, { 0 }, true);
    WatchRequested watch;
    watch.call = 1;
    watch.host = { "e1", 1 };
    const auto actions = manager.handle(watch, { 10 }, false);
    ASSERT_EQ(actions.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<ReplyNotLeader>(actions[0]));
    EXPECT_TRUE(manager.entryHosts({ 10 }).empty());
}
