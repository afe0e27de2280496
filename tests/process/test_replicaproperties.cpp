#include "replicagroup.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;
using namespace cassiaroad::test;

namespace {

constexpr int largestGroup = 5;

enum class Fault {
    None,
    Crash,
    Start,
    LoseFolder,
    CopyFolder,
    RestoreCopy,
    Pause,
    Resume,
    Cut,
    Isolate,
    Heal,
    Propose,
    SaveSnapshot,
    Transfer,
    FillDisk,
    FreeDisk,
    Last
};

struct FaultStep
{
    int fault = 0;
    int slot = 0;
    int time = 0; // until the next step, in milliseconds
};

void showValue(const FaultStep &faultStep, std::ostream &out)
{
    out << "{" << faultStep.fault << ", " << faultStep.slot << ", " << faultStep.time << "}";
}

void perform(ReplicaGroup &group, const FaultStep &faultStep, const std::string &command)
{
    const int slot = faultStep.slot % group.slotCount();
    switch (static_cast<Fault>(faultStep.fault)) {
    case Fault::Crash:
        group.crash(slot);
        break;
    case Fault::Start:
        group.start(slot);
        break;
    case Fault::LoseFolder:
        group.loseFolder(slot);
        break;
    case Fault::CopyFolder:
        group.copyFolder(slot);
        break;
    case Fault::RestoreCopy:
        group.restoreCopy(slot);
        break;
    case Fault::Pause:
        group.pause(slot);
        break;
    case Fault::Resume:
        group.resume(slot);
        break;
    case Fault::Cut:
        group.cut(slot, (slot + 1) % group.slotCount());
        break;
    case Fault::Isolate:
        group.isolate(slot);
        break;
    case Fault::Heal:
        group.heal();
        break;
    case Fault::Propose:
        group.propose(slot, command);
        break;
    case Fault::SaveSnapshot:
        group.saveSnapshot(slot);
        break;
    case Fault::Transfer:
        group.transfer(slot);
        break;
    case Fault::FillDisk:
        group.fillDisk(slot);
        break;
    case Fault::FreeDisk:
        group.freeDisk(slot);
        break;
    default:
        break;
    }
    // A proposal to the present leader in each step, so that most runs commit many entries.
    if (group.leader() >= 0) {
        group.propose(group.leader(), command + "'");
    }
}

std::ostream &operator<<(std::ostream &out, const FaultStep &faultStep)
{
    showValue(faultStep, out);
    return out;
}

void endFaults(ReplicaGroup &group)
{
    group.heal();
    for (int slot = 0; slot < group.slotCount(); ++slot) {
        group.freeDisk(slot);
        group.resume(slot);
        const Replica *replica = group.replica(slot);
        if (replica != nullptr && replica->role() == ReplicaRole::Failed) {
            group.crash(slot);
        }
        group.start(slot);
    }
}

rc::Gen<std::vector<FaultStep>> faultSteps()
{
    const auto faultStep = rc::gen::construct<FaultStep>(
            rc::gen::inRange(0, static_cast<int>(Fault::Last)), rc::gen::inRange(0, largestGroup),
            rc::gen::inRange(0, 300));
    return rc::gen::scale(1.5, rc::gen::container<std::vector<FaultStep>>(faultStep));
}

NetworkConditions anyNetworkConditions()
{
    NetworkConditions conditions;
    conditions.seed = *rc::gen::arbitrary<std::uint64_t>();
    conditions.lossPercent = *rc::gen::element(0, 0, 2, 10);
    conditions.duplicatePercent = *rc::gen::element(0, 5, 20);
    conditions.maxDelay = *rc::gen::element(2, 10, 60);
    conditions.maxSyncDelay = *rc::gen::element(0, 3, 50);
    conditions.members = *rc::gen::element(3, largestGroup);
    conditions.distantSlots = { conditions.members - 1 };
    conditions.distantDelay = *rc::gen::element(0, 0, 20);
    for (int slot = 0; slot < conditions.members; ++slot) {
        conditions.clockPermille.push_back(*rc::gen::element(1000, 960, 1040));
    }
    return conditions;
}

} // namespace

// Guards against any sequence of lost and duplicate messages, restarts, pauses and clock drift
// after which a term has two leaders, two members have a leader lease, committed entries are lost
// or changed, or the group does not recover.
RC_GTEST_PROP(ReplicaProperties, anyOrderOfFaultsKeepsTheInvariants, ())
{
    ReplicaGroup group(anyNetworkConditions());
    int number = 0;
    for (const FaultStep &faultStep : *faultSteps()) {
        perform(group, faultStep, "c" + std::to_string(++number));
        group.run(faultStep.time);
    }
    endFaults(group);
    RC_ASSERT(group.runUntil([&] { return group.isRepaired() && group.leader() >= 0; }, 30000));
    const bool committed = group.runUntil(
            [&] {
                if (group.leader() >= 0) {
                    group.propose(group.leader(), "last");
                }
                group.run(100);
                return group.isCommitted("last");
            },
            100);
    RC_ASSERT(committed);
}

// Guards against the loss of an acknowledged command when a minority of the disks is lost right
// after the acknowledgement and all other members lose power at the same moment, with the writes
// that they had not synced.
RC_GTEST_PROP(ReplicaProperties, keepsCommittedEntriesWhenDisksAreLostAndAllOthersLosePower, ())
{
    const NetworkConditions conditions = anyNetworkConditions();
    ReplicaGroup group(conditions);
    RC_ASSERT(group.runUntil([&] { return group.isRepaired() && group.leader() >= 0; }, 30000));
    const auto rounds = *rc::gen::inRange(1, 4);
    for (int round = 0; round < rounds; ++round) {
        const std::string command = "c" + std::to_string(round);
        const auto isCommitted = [&] {
            const bool committed = group.isCommitted(command);
            if (!committed && group.leader() >= 0) {
                group.propose(group.leader(), command);
            }
            return committed;
        };
        RC_ASSERT(group.runUntil(isCommitted, 30000));
        std::set<int> lost { *rc::gen::inRange(0, conditions.members) };
        if (conditions.members == largestGroup) {
            lost.insert(*rc::gen::inRange(0, conditions.members));
        }
        const bool isLost = group.loseFolders(lost);
        for (int slot = 0; slot < group.slotCount(); ++slot) {
            group.crash(slot);
        }
        for (int slot = 0; slot < group.slotCount(); ++slot) {
            group.start(slot);
        }
        RC_ASSERT(group.runUntil([&] { return group.isRepaired() && group.leader() >= 0; }, 30000));
        RC_ASSERT(group.isCommitted(command));
        RC_TAG(isLost ? "disk lost" : "no disk lost");
    }
}
