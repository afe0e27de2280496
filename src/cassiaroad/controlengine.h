#pragma once

#include "cassiaroad/replicadriver.h"
#include "version/controlstate.h"
#include "version/ownershipmanager.h"

#include <functional>
#include <map>

namespace cassiaroad {

/**
 * State machine and decisions of one control host: passes calls, time and committed commands to the
 * OwnershipManager as events, and carries out its actions. Loop thread only.
 */
class ControlEngine
{
public:
    /** Makes the event of a call with the given number. */
    using MakeEvent = std::function<OwnershipEvent(CallId)>;

    /**
     * @p settings must have the role control. All references must outlive the engine. @p failed is
     * called when the data folder cannot be used any more.
     */
    ControlEngine(EventLoop &loop, const Settings &settings, Metrics &metrics,
                  std::function<void(const std::string &reason)> failed);

    /** See ReplicaDriver::start(). */
    std::string start(bool bootstrap);

    /**
     * Passes a call to the manager; resolves with the action that replies to it. The reply is
     * ReplyNotLeader unless the leader lease is valid when it resolves. The promise must not
     * outlive the engine.
     */
    kj::Promise<OwnershipAction> call(MakeEvent makeEvent);

    /** Handles an encoded message of another member of the group. */
    void receive(std::string_view message) { this->driver.receive(message); }

    /**
     * If this member is the leader, transfers leadership to the follower with the most complete
     * log.
     */
    void stepDown();

    /**
     * Whether this member is the leader, has applied all earlier commands, and has its leader
     * lease.
     */
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
    void transferLeadershipFromZone(const std::string &zone);

    EventLoop &loop;
    const Settings &settings;
    Metrics &metrics;
    ControlLimits limits;
    ControlState controlState;
    OwnershipManager ownership;
    ReplicaDriver driver;
    bool leading = false; // at the last checkLeadership()
    Term leadingTerm = 0;
    CallId lastCall = 0;
    std::map<CallId, PendingCall *> calls;
    EventLoop::Timer tickTimer;
};

} // namespace cassiaroad
