#include "replicagroup.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;
using namespace cassiaroad::test;

namespace {

constexpr int largestGroup = 5;

enum class Change {
    Replace, // the disk is lost and an empty host starts at once
    Lose, // the disk is lost and the host stays down
    Crash,
    Start,
    LosePower, // all hosts crash, and those with or without a disk start again
    LosePowerAndDisk,
    Cut,
    Heal,
    SaveSnapshots,
    Transfer,
    Last
};

struct ChangeStep
{
    int change = 0;
    int slot = 0;
    int time = 0; // until the next step, in milliseconds
};

void showValue(const ChangeStep &step, std::ostream &out)
{
    out << "{" << step.change << ", " << step.slot << ", " << step.time << "}";
}

std::ostream &operator<<(std::ostream &out, const ChangeStep &step)
{
    showValue(step, out);
    return out;
}

void startAll(ReplicaGroup &group)
{
    for (int slot = 0; slot < group.slotCount(); ++slot) {
        group.start(slot);
    }
}

void losePower(ReplicaGroup &group)
{
    for (int slot = 0; slot < group.slotCount(); ++slot) {
        group.crash(slot);
    }
    startAll(group);
}

void perform(ReplicaGroup &group, const ChangeStep &step)
{
    const int slot = step.slot % group.slotCount();
    switch (static_cast<Change>(step.change)) {
    case Change::Replace:
        group.loseFolderOfMinority(slot);
        group.start(slot);
        break;
    case Change::Lose:
        group.loseFolderOfMinority(slot);
        break;
    case Change::Crash:
        group.crash(slot);
        break;
    case Change::Start:
        group.start(slot);
        break;
    case Change::LosePower:
        losePower(group);
        break;
    case Change::LosePowerAndDisk:
        group.loseFolderOfMinority(slot);
        losePower(group);
        break;
    case Change::Cut:
        group.cut(slot, (slot + 1) % group.slotCount());
        break;
    case Change::Heal:
        group.heal();
        break;
    case Change::SaveSnapshots:
        for (int member = 0; member < group.slotCount(); ++member) {
            group.saveSnapshot(member);
        }
        break;
    case Change::Transfer:
        group.transfer(slot);
        break;
    default:
        break;
    }
}

/** Lets @p milliseconds pass with a command to the leader every few of them. */
void runWithCommands(ReplicaGroup &group, int milliseconds, const std::string &command)
{
    constexpr int interval = 10; // milliseconds
    for (int time = 0; time < milliseconds; time += interval) {
        if (group.leader() >= 0) {
            group.propose(group.leader(), command + "-" + std::to_string(time));
        }
        group.run(std::min(interval, milliseconds - time));
    }
}

NetworkConditions anyConditions()
{
    NetworkConditions conditions;
    conditions.seed = *rc::gen::arbitrary<std::uint64_t>();
    conditions.lossPercent = *rc::gen::element(0, 0, 2);
    conditions.duplicatePercent = *rc::gen::element(0, 5);
    conditions.maxDelay = *rc::gen::element(2, 10);
    conditions.maxSyncDelay = *rc::gen::element(0, 3, 50);
    conditions.members = *rc::gen::element(3, largestGroup, largestGroup);
    conditions.distantSlots = { conditions.members - 1, conditions.members - 2 };
    conditions.distantDelay = *rc::gen::element(0, 20);
    return conditions;
}

rc::Gen<std::vector<ChangeStep>> anyChanges()
{
    const auto step = rc::gen::construct<ChangeStep>(
            rc::gen::inRange(0, static_cast<int>(Change::Last)), rc::gen::inRange(0, largestGroup),
            rc::gen::element(0, 20, 60, 150, 400, 1000));
    return rc::gen::container<std::vector<ChangeStep>>(step);
}

} // namespace

// Guards against members that are replaced while earlier replacements are unfinished, also when all
// lose power in between, and after which the group finds no leader, does not complete its voters or
// has lost a committed entry, although never more than a minority of the disks was missing.
RC_GTEST_PROP(ReplacementProperties, replacementsWithinAMinorityKeepTheGroup, ())
{
    const NetworkConditions conditions = anyConditions();
    ReplicaOptions options = ReplicaGroup::defaults(conditions.members);
    options.maxBatchBytes = *rc::gen::element<std::size_t>(400, 131072);
    ReplicaGroup group(conditions, options);
    int number = 0;
    for (const ChangeStep &step : *anyChanges()) {
        perform(group, step);
        runWithCommands(group, step.time, std::to_string(++number));
    }
    group.heal();
    startAll(group);
    RC_ASSERT(group.runUntil([&] { return group.leader() >= 0; }, 15000));
    // New members have to become voters while commands go on.
    for (int round = 0; round < 200 && !group.isRepaired(); ++round) {
        runWithCommands(group, 100, "r" + std::to_string(round));
    }
    RC_ASSERT(group.isRepaired());
    const auto isLastCommitted = [&] {
        if (group.leader() >= 0) {
            group.propose(group.leader(), "last");
        }
        group.run(100);
        return group.isCommitted("last");
    };
    RC_ASSERT(group.runUntil(isLastCommitted, 100));
}
