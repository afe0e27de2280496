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

/** Compares with a golden file; UPDATE_GOLDEN=1 in the environment rewrites the file. */
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

// Guards against changes in the sequence of a drain (plan, confirmation, release, grants, in force,
// completed), and against a repeated confirmation that changes anything.
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

// Guards against two operators who are both told that their plan was accepted, also if their
// confirmations have equal numbers.
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

// Guards against shards of a lost upstream that have no new owner within 1.3 s (design, section 4).
TEST(OwnershipManager, movesTheShardsOfALostUpstreamWithin1300Ms)
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

// Guards against keys that change owner after a short outage of all upstreams.
TEST(OwnershipManager, returnsShardsToTheirOwnersAfterAnOutageOfAllUpstreams)
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

// Guards against a draining upstream that still owns shards, and so gets new requests, after 2 s,
// or whose shards are moved as after a loss instead of released (P6).
TEST(OwnershipManager, movesTheShardsOfADrainingUpstream)
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
    transcript.drain("u2"); // no other upstream accepts its shards, so it stays their owner
    transcript.runFor({ 2000 });
    EXPECT_TRUE(transcript.state().routing().isInUse({ "orders", "u2" }));
}

// Guards against a failing upstream that remains owner of its keys because it still announces, and
// against ejecting more than 20% of the upstreams of a service at once.
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
    transcript.runFor({ 2000 }); // it stays suspected for 5 s even if all requests succeed
    EXPECT_EQ(stateOf(transcript, "u1"), UpstreamState::Suspected);
    transcript.runFor({ 2000 });
    EXPECT_EQ(stateOf(transcript, "u1"), UpstreamState::Up);
}

// Guards against a zone out of service whose upstreams still own shards or whose member stays
// leader, and against a plan that does not list what becomes unreachable.
TEST(OwnershipManager, takesAZoneOutOfService)
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

// Guards against a leader that issues leases after its leader lease has expired.
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
