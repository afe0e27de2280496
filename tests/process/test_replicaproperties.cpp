#include "replicagroup.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace cassiaroad;
using namespace cassiaroad::test;

namespace {

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

struct Turn
{
    int fault = 0;
    int slot = 0;
    int time = 0; // milliseconds
};

void showValue(const Turn &turn, std::ostream &out)
{
    out << "{" << turn.fault << ", " << turn.slot << ", " << turn.time << "}";
}

void perform(ReplicaGroup &group, const Turn &turn, const std::string &command)
{
    const int slot = turn.slot;
    switch (static_cast<Fault>(turn.fault)) {
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
        group.cut(slot, (slot + 1) % ReplicaGroup::size);
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
    // Proposals at whichever member leads, so that most runs commit much.
    if (group.leader() >= 0) {
        group.propose(group.leader(), command + "'");
    }
}

std::ostream &operator<<(std::ostream &out, const Turn &turn)
{
    showValue(turn, out);
    return out;
}

void restoreService(ReplicaGroup &group)
{
    group.heal();
    for (int slot = 0; slot < ReplicaGroup::size; ++slot) {
        group.freeDisk(slot);
        group.resume(slot);
        const Replica *replica = group.replica(slot);
        if (replica != nullptr && replica->role() == ReplicaRole::Failed) {
            group.crash(slot);
        }
        group.start(slot);
    }
}

rc::Gen<std::vector<Turn>> turns()
{
    const auto turn = rc::gen::construct<Turn>(rc::gen::inRange(0, static_cast<int>(Fault::Last)),
                                               rc::gen::inRange(0, ReplicaGroup::size),
                                               rc::gen::inRange(0, 300));
    return rc::gen::scale(1.5, rc::gen::container<std::vector<Turn>>(turn));
}

Weather anyWeather()
{
    Weather weather;
    weather.seed = *rc::gen::arbitrary<std::uint64_t>();
    weather.lossPercent = *rc::gen::element(0, 0, 2, 10);
    weather.duplicatePercent = *rc::gen::element(0, 5, 20);
    weather.maxDelay = *rc::gen::element(2, 10, 60);
    weather.maxSyncDelay = *rc::gen::element(0, 3, 50);
    for (int &permille : weather.clockPermille) {
        permille = *rc::gen::element(1000, 960, 1040);
    }
    return weather;
}

} // namespace

// Guards against any order of losses, duplicates, restarts, pauses and clock drift that elects two
// leaders, gives out two leases, loses or changes committed entries, or stops the group for good.
RC_GTEST_PROP(ReplicaProperties, anyOrderOfFaultsKeepsTheInvariants, ())
{
    ReplicaGroup group(anyWeather());
    int number = 0;
    for (const Turn &turn : *turns()) {
        perform(group, turn, "c" + std::to_string(++number));
        group.run(turn.time);
    }
    restoreService(group);
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
