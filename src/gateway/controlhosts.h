#pragma once

#include "connection/roundtripestimate.h"
#include "connection/rpcconnection.h"
#include "version/sitewatch.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cassiaroad {

/** A host of the control group, as one gateway knows it. Loop thread only. */
struct ControlHost
{
    ControlHost(EventLoop &loop, const HostAddress &address, std::shared_ptr<ByteCounters> bytes);

    RpcConnection connection;
    RoundTripEstimate roundTrip; // of its updates; hints do not count
    std::optional<TimePoint> failedAt; // since the last update of any host
    std::optional<TimePoint> timedOutAt; // a call without a reply, since its own last reply
    TimePoint connectBegunAt; // by the search for the leader
};

/**
 * The hosts of the control group that a gateway knows from its settings and from other hosts, and
 * the order in which it calls them to find the leader. Loop thread only.
 */
class ControlHosts
{
public:
    /** @p port is the internal port of every host. @p loop must outlive this object. */
    ControlHosts(EventLoop &loop, std::uint16_t port);

    /** Sets the seeds of the settings. They may be out of date. */
    void setSeeds(const std::vector<HostAddress> &addresses);
    /** Sets the members that a host has named. Does nothing if it named none. */
    void setMembers(const GroupHint &hint);

    /** Returns the host at @p ip. Valid as long as this object. */
    ControlHost &at(const std::string &ip);

    /**
     * Returns the IP address of the host to call next, or an empty text if none is known, and
     * begins to connect to all others.
     */
    std::string next();

    /** Whether the host has just failed, so that others are called first. */
    bool hasFailedRecently(const std::string &ip) const;
    /** Records how a call to the host at @p ip ended, for the order of the next ones. */
    void recordReply(const std::string &ip) { this->at(ip).timedOutAt.reset(); }
    void recordTimeout(const std::string &ip);
    /** Forgets failures, since the leader was found. */
    void clearFailures();

    /** Bytes on all connections. */
    const ByteCounters &bytes() const { return *this->counters; }

private:
    std::vector<std::string> candidates() const;
    bool hasTimedOutRecently(const std::string &ip) const;
    void connectTo(const std::vector<std::string> &ips);

    EventLoop &loop;
    std::uint16_t port;
    std::shared_ptr<ByteCounters> counters;
    std::vector<std::string> seeds; // ips
    std::vector<std::string> members; // ips
    std::size_t nextIndex = 0; // of the next candidate
    std::map<std::string, std::unique_ptr<ControlHost>> hosts; // by ip
};

} // namespace cassiaroad
