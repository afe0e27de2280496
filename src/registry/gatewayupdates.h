#pragma once

#include "process/eventloop.h"
#include "process/member.h"
#include "registry/watchload.h"
#include "version/configurationhistory.h"
#include "version/registrymanager.h"
#include "version/routingtablehistory.h"

#include <kj/async.h>

#include <list>
#include <optional>

namespace cassiaroad {

/**
 * What the leader tells gateways: the routing table, the configuration, the requests under which
 * upstreams may have crashed and the list of members; and the watch calls that wait for a change of
 * them. Loop thread only.
 */
class GatewayUpdates
{
public:
    /** The upper bound of watchTimeout(). */
    static constexpr Milliseconds maxWatchTimeout { 1000 };

    /** The arguments must outlive the object. */
    GatewayUpdates(EventLoop &loop, const RegistryState &state, RegistryManager &manager);
    GatewayUpdates(const GatewayUpdates &) = delete;
    GatewayUpdates &operator=(const GatewayUpdates &) = delete;

    /** The state was replaced by that of a snapshot. */
    void restore();
    /** A configuration was put in force. */
    void recordConfiguration();
    /** A command was applied, which the present routing table does not show. */
    void recordCommand();
    /** This host leads from now on. Precondition: it has applied the commands of earlier terms. */
    void startTerm(Term term);

    /**
     * Resumes the waiting calls if there is something new. Changes that follow each other closely
     * are sent together, so that it may be done only at a later call of resumeDue().
     */
    void notify();
    /** Does what notify() has postponed, and looks for changes that come with time alone. */
    void resumeDue();
    /** Resumes all waiting calls. */
    void resumeAll();
    /** Resolves when the call is resumed. */
    kj::Promise<void> wait();
    /** Number of calls that wait. */
    std::size_t waitingCount() const { return this->waitingCalls.size(); }

    /** Whether there is nothing to tell to the gateway. */
    bool isCurrent(const GatewayReport &report) const;
    /** Returns what the gateway does not have yet. Its call arrived at @p calledAt. */
    GatewayUpdate updateFor(const GatewayReport &report, TimePoint calledAt);
    /** The longest time that a watch call waits, and the interval of the gateways' reports. */
    Milliseconds watchTimeout() const;

    WatchLoad &load() { return this->watchLoad; }

private:
    bool hasMembers(const GatewayReport &report) const;
    bool updateTable();
    bool updateSuspects();

    EventLoop &loop;
    const RegistryState &state;
    RegistryManager &manager;
    RoutingTableHistory tableHistory;
    ConfigurationHistory configurationHistory;
    std::vector<SuspectRequest> suspects;
    std::uint64_t suspectsTag = 0; // of suspects without their ages; 0: none
    // What the waiting calls were told of last.
    ConfigurationVersion notifiedVersion = 0;
    std::uint64_t notifiedMembers = 0; // revision
    TimePoint tableBuiltAt;
    TimePoint notifiedAt; // when the waiting calls were resumed last
    // When the first command was applied that the routing table does not show; nothing: it shows
    // all.
    std::optional<TimePoint> tableOutdatedAt;
    bool notifyDue = false; // something may have changed since `tableBuiltAt`
    std::list<kj::Own<kj::PromiseFulfiller<void>>> waitingCalls;
    WatchLoad watchLoad;
};

} // namespace cassiaroad
