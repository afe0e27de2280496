#pragma once

#include "cassiaroad/replicadriver.h"
#include "version/controlstate.h"
#include "version/ownershipmanager.h"

#include <functional>
#include <map>

namespace cassiaroad {

/**
 * State machine and decisions of one control member: feeds the OwnershipManager with calls, time
 * and committed commands, and carries out its actions. Loop thread only.
 */
class ControlEngine
{
public:
    /** Makes the event of a call with the given number. */
    using MakeEvent = std::function<OwnershipEvent(CallId)>;

    /** @p settings must have the role control and outlive the engine. */
    ControlEngine(EventLoop &loop, const Settings &settings, Metrics &metrics,
                  std::function<void(const std::string &reason)> failed);

    /** See ReplicaDriver::start(). */
    std::string start(bool bootstrap);

    /**
     * Hands a call to the manager; resolves with the action that replies to it. The reply is
     * ReplyNotLeader unless the leader lease is valid when it resolves. The promise must not
     * outlive the engine.
     */
    kj::Promise<OwnershipAction> call(MakeEvent makeEvent);

    /** Takes a message of another member of the group. */
    void receive(std::string_view message) { this->driver.receive(message); }

    /** Hands leadership to the most advanced follower if this member leads. */
    void stepDown();

    /** Whether this member leads, has applied all earlier commands, and holds its lease. */
    bool canAnswer() const { return this->driver.isLeading() && this->driver.hasLeaderLease(); }

    /** The leader, if one is known; valid as long as the settings. */
    const MemberSettings *leader() const;

    const ControlState &state() const { return this->controlState; }
    const OwnershipManager &manager() const { return this->ownership; }
    const ReplicaDriver &replica() const { return this->driver; }
    const Settings &configuration() const { return this->settings; }
    TimePoint now() const { return this->loop.now(); }

    /** Brings gauges up to date before metrics are read. */
    void updateMetrics();

private:
    class PendingCall;

    void restore(const std::optional<Snapshot> &snapshot);
    void apply(const std::string &bytes, std::uint64_t proposal);
    void checkLeadership();
    void dispatch(const OwnershipEvent &event);
    void perform(OwnershipAction action);
    void reply(CallId call, OwnershipAction action);
    void leaveZone(const std::string &zone);

    EventLoop &loop;
    const Settings &settings;
    Metrics &metrics;
    ControlLimits limits;
    ControlState controlState;
    OwnershipManager ownership;
    ReplicaDriver driver;
    bool leading = false;
    Term leadingTerm = 0;
    CallId lastCall = 0;
    std::map<CallId, PendingCall *> calls;
    EventLoop::Timer tickTimer;
};

} // namespace cassiaroad
