#include "version/controlstate.h"

#include "version/settingoverrides.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;

namespace {

const std::string service = "orders";

Upstream upstream(const std::string &name, const std::string &instance = "1")
{
    return { { service, name }, "a", "127.0.0.1:9000", 6, 120, true, instance, false };
}

CommandResult apply(ControlState &state, CommandBody body, GroupTime time = 0)
{
    return state.apply({ time, time + 1000, std::move(body) });
}

/** Two upstreams; u1 owns shards 0 to 3. */
ControlState assignedState(ControlLimits limits = {})
{
    ControlState state(limits);
    apply(state, RegisterUpstream { upstream("u1") });
    apply(state, RegisterUpstream { upstream("u2") });
    apply(state, AssignShards { service, { { 0, "u1" }, { 1, "u1" }, { 2, "u1" }, { 3, "u1" } } });
    return state;
}

PlanNumber planFor(ControlState &state, const Intent &intent)
{
    Plan plan;
    plan.basis = state.placementRevision();
    plan.who = "anna";
    plan.why = "test";
    plan.intent = intent;
    return std::get<Plan>(apply(state, CreatePlan { plan })).number;
}

Confirmation confirm(ControlState &state, const ConfirmationId &id, PlanNumber plan)
{
    return std::get<Confirmation>(apply(state, Confirm { id, plan }));
}

void moveKey(ControlState &state, const KeyRef &key, Epoch epoch, const std::string &to)
{
    apply(state, StartMove { MoveReason::Planned, 0, { { key, epoch, to, 0 } } });
    const RouteEntry *entry = state.routing().route(key);
    ASSERT_NE(entry, nullptr);
    apply(state, CompleteMove { { { key, entry->route.epoch, to } } });
}

std::vector<CommandBody> oneOfEach()
{
    const LedgerKey key { service, "k", "i" };
    Plan plan;
    plan.intent = MoveKey { { service, "k" }, "u2" };
    plan.moves.push_back({ KeyRef { service, "k" }, "u1", "u2", "hot" });
    plan.unreachable.push_back({ "k", { 5 }, true });
    return { RegisterUpstream { upstream("u1") },
             ChangeUpstream { upstream("u1", "2"), UpstreamState::Suspected },
             RemoveUpstream { { service, "u1" } },
             AssignShards { service, { { 3, "u1" } } },
             StartMove { MoveReason::Loss, 4, { { ShardRef { service, 3 }, 1, "u2", 0 } } },
             CompleteMove { { { KeyRef { service, "k" }, 1, "u2" } } },
             CreatePlan { plan },
             Confirm { { "anna", 7 }, 1 },
             MarkInForce { 1, { 9, 2, 3, { "e3" } } },
             MarkCompleted { 1 },
             LedgerBegin { key, 5, { "e1", 6 } },
             LedgerFinish { key, 1, StoredAnswer { 200, "text/plain", "\xff\x00 bytes", false } },
             LedgerAbandon { { "e1", 6 } },
             ExpireRecords {} };
}

} // namespace

// Guards against a field or a kind of command that is lost in the encoding of the log.
TEST(Command, decodesEveryKindAsItWasEncoded)
{
    const std::vector<CommandBody> bodies = oneOfEach();
    ASSERT_EQ(bodies.size(), std::variant_size_v<CommandBody>);
    for (const CommandBody &body : bodies) {
        const Command command { 5, 6, body };
        const std::string bytes = encodeCommand(command);
        EXPECT_EQ(decodeCommand(bytes), command) << "kind " << body.index();
        EXPECT_FALSE(decodeCommand(bytes.substr(0, bytes.size() - 1)));
    }
    EXPECT_FALSE(decodeCommand("garbage"));
}

// Guards against a delayed step of a change of owner that is applied to a later epoch.
TEST(ControlState, ignoresStepsForAnotherEpoch)
{
    ControlState state = assignedState();
    const ShardRef shard { service, 0 };
    apply(state, StartMove { MoveReason::Planned, 0, { { shard, 2, "u2", 0 } } });
    EXPECT_EQ(state.routing().route(shard)->route.state, RouteState::Owned);
    apply(state, StartMove { MoveReason::Planned, 0, { { shard, 1, "u2", 0 } } });
    apply(state, CompleteMove { { { shard, 1, "u2" } } });
    const Route expected { RouteState::Owned, "u2", 2, MoveReason::Planned };
    EXPECT_EQ(state.routing().route(shard)->route, expected);

    const Revision before = state.revision();
    const CommandResult again = apply(state, CompleteMove { { { shard, 1, "u1" } } });
    EXPECT_TRUE(std::holds_alternative<CommandIgnored>(again));
    EXPECT_EQ(state.revision(), before);
}

// Guards against a moved key that gets an epoch which an earlier owner had.
TEST(ControlState, neverRepeatsTheEpochOfAKey)
{
    ControlState state = assignedState();
    const KeyRef key { service, "hot" };
    moveKey(state, key, 0, "u2");
    EXPECT_EQ(state.routing().route(key)->route.epoch, 2U);
    moveKey(state, key, 2, "u1"); // back to the owner of its shard: no longer a moved key
    EXPECT_EQ(state.routing().route(key), nullptr);
    moveKey(state, key, 0, "u2");
    EXPECT_EQ(state.routing().route(key)->route.epoch, 5U);
}

// Guards against a table of moved keys that grows beyond its limit.
TEST(ControlState, refusesMovedKeysBeyondTheLimit)
{
    ControlState state = assignedState({ 1, 10, { 1000 } });
    moveKey(state, { service, "first" }, 0, "u2");
    const KeyRef second { service, "second" };
    apply(state, StartMove { MoveReason::Planned, 0, { { second, 0, "u2", 0 } } });
    EXPECT_EQ(state.routing().route(second), nullptr);
}

// Guards against a restarted upstream that serves with the epochs of its former process.
TEST(ControlState, releasesEveryShardOfAFormerInstance)
{
    ControlState state = assignedState();
    apply(state, ChangeUpstream { upstream("u1", "2"), UpstreamState::Up });
    EXPECT_EQ(state.routing().releasing().size(), 4U);
    const RouteEntry *entry = state.routing().route(ShardRef { service, 0 });
    EXPECT_EQ(entry->route.reason, MoveReason::Loss);
    EXPECT_EQ(entry->to, "u1");
    // The former process announces again.
    const CommandResult old
            = apply(state, ChangeUpstream { upstream("u1", "1"), UpstreamState::Up });
    EXPECT_TRUE(std::holds_alternative<CommandIgnored>(old));
}

// Guards against two plans of one basis that are both carried out, and against a conflict that does
// not name the confirmation that was accepted.
TEST(ControlState, acceptsOneConfirmationPerBasis)
{
    ControlState state = assignedState();
    const PlanNumber first = planFor(state, DrainUpstream { { service, "u1" } });
    const PlanNumber second = planFor(state, SetSetting { "limits.queue-length", "9" });
    EXPECT_EQ(confirm(state, { "anna", 1 }, first).status, ConfirmStatus::Accepted);
    const Confirmation loser = confirm(state, { "bo", 1 }, second);
    EXPECT_EQ(loser.status, ConfirmStatus::Conflict);
    EXPECT_EQ(loser.winner, (ConfirmationId { "anna", 1 }));
    EXPECT_TRUE(state.routing().overrides().empty());
    EXPECT_TRUE(state.routing().upstream({ service, "u1" })->drained);
}

// Guards against a repeated confirmation that is carried out again or gets another result, also
// after a restart from a snapshot.
TEST(ControlState, returnsTheFirstResultOfAConfirmation)
{
    ControlState state = assignedState();
    const PlanNumber plan = planFor(state, SetSetting { "limits.queue-length", "9" });
    const PlanNumber other = planFor(state, SetSetting { "limits.queue-length", "8" });
    const Confirmation first = confirm(state, { "anna", 1 }, plan);
    auto restored = ControlState::restore(state.snapshot());
    ASSERT_TRUE(restored);
    const Revision before = restored->revision();
    EXPECT_EQ(confirm(*restored, { "anna", 1 }, plan), first);
    const Confirmation reused = confirm(*restored, { "anna", 1 }, other);
    EXPECT_EQ(reused.status, ConfirmStatus::NumberReused);
    EXPECT_EQ(reused.plan, plan);
    EXPECT_EQ(confirm(*restored, { "anna", 2 }, plan).status, ConfirmStatus::Conflict);
    EXPECT_EQ(confirm(*restored, { "anna", 3 }, 99).status, ConfirmStatus::UnknownPlan);
    EXPECT_EQ(restored->revision(), before);
}

// Guards against an operator who confirms a plan without learning that an upstream was lost since.
TEST(ControlState, refusesAPlanWhoseBasisChangedByALoss)
{
    ControlState state = assignedState();
    const PlanNumber plan = planFor(state, DrainUpstream { { service, "u1" } });
    apply(state, ChangeUpstream { upstream("u2"), UpstreamState::Lost });
    const Confirmation result = confirm(state, { "anna", 1 }, plan);
    EXPECT_EQ(result.status, ConfirmStatus::Conflict);
    EXPECT_EQ(result.winner.who, "");
    EXPECT_NE(result.detail.find("orders/u2 was lost"), std::string::npos) << result.detail;
}

// Guards against record entries that lack who, why, plan, confirmation or times.
TEST(ControlState, storesASearchableRecord)
{
    ControlState state = assignedState();
    const PlanNumber plan = planFor(state, SetSetting { "limits.queue-length", "9" });
    planFor(state, Rebalance { service });
    apply(state, Confirm { { "bo", 4 }, plan }, 10);
    apply(state, MarkInForce { plan, { state.revision(), 2, 2, {} } }, 20);
    apply(state, MarkCompleted { plan }, 30);
    const auto found = state.plans().search({ "bo", "queue-length", 10 });
    ASSERT_EQ(found.size(), 1U);
    EXPECT_EQ(found[0].who, "anna");
    EXPECT_EQ(found[0].confirmation, (ConfirmationId { "bo", 4 }));
    EXPECT_EQ(found[0].confirmedAt, 10);
    EXPECT_EQ(found[0].inForceWallTime, 1020);
    EXPECT_EQ(found[0].completedAt, 30);
    EXPECT_EQ(state.plans().search({ "", "", 1 }).front().plan, 2U); // latest first
    EXPECT_EQ(state.plans().result({ "bo", 4 })->inForce.hosts, 2U);
}

// Guards against group time that decreases when the leader changes.
TEST(ControlState, neverLowersGroupTime)
{
    ControlState state;
    apply(state, ExpireRecords {}, 50);
    apply(state, ExpireRecords {}, 40);
    EXPECT_EQ(state.groupTime(), 50);
}

// Guards against an entry host whose table, built from deltas, differs from the present one, and
// against members whose states differ after a restart from a snapshot.
RC_GTEST_PROP(ControlState, differencesAndSnapshotsLeadToTheSameState,
              (const std::vector<std::uint8_t> &choices))
{
    ControlState state = assignedState({ 2, 10, { 1000 } });
    auto table = RouteTable().apply(state.deltaSince(0));
    std::uint8_t step = 0;
    for (const std::uint8_t choice : choices) {
        const std::string to = choice % 2 == 0 ? "u1" : "u2";
        const RouteSubject subject
                = choice % 3 == 0
                          ? RouteSubject(KeyRef { service, "k" + std::to_string(choice % 5) })
                          : RouteSubject(
                                  ShardRef { service, static_cast<std::uint32_t>(choice % 4) });
        const RouteEntry *entry = state.routing().route(subject);
        const Epoch epoch = entry == nullptr ? 0 : entry->route.epoch;
        switch (choice / 64) {
        case 0:
            apply(state, StartMove { MoveReason::Planned, 0, { { subject, epoch, to, 0 } } });
            break;
        case 1:
            apply(state, CompleteMove { { { subject, epoch, to } } });
            break;
        case 2:
            apply(state,
                  ChangeUpstream { upstream(to, std::to_string(choice % 7)), UpstreamState::Up });
            break;
        default:
            state = *ControlState::restore(state.snapshot(), state.limits());
        }
        if (++step % 3 == 0) {
            table = table->apply(state.deltaSince(table->revision()));
            RC_ASSERT(table != nullptr);
        }
    }
    table = table->apply(state.deltaSince(table->revision()));
    const auto complete = RouteTable().apply(state.deltaSince(0));
    RC_ASSERT(table->shardRoutes() == complete->shardRoutes());
    RC_ASSERT(table->keyRoutes() == complete->keyRoutes());
    RC_ASSERT(table->upstreams() == complete->upstreams());
    RC_ASSERT(*ControlState::restore(state.snapshot(), state.limits()) == state);
}

// Guards against settings that stop the system when an operator mistypes one.
TEST(SettingOverrides, checkNamesAndRanges)
{
    EXPECT_EQ(SettingOverrides::check("limits.queue-length", "10"), "");
    EXPECT_EQ(SettingOverrides::check("limits.queue-length", ""), ""); // removes the override
    EXPECT_NE(SettingOverrides::check("limits.queue-length", "0"), "");
    EXPECT_NE(SettingOverrides::check("limits.queue-length", "1.5"), "");
    EXPECT_NE(SettingOverrides::check("placement.churn-weight", "nan"), "");
    EXPECT_NE(SettingOverrides::check("timing.upstream-lease", "10"), "");
}
