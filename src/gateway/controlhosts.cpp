#include "gateway/controlhosts.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr Milliseconds connectTimeout { 1500 };
// Interval at which the search for the leader tries a host again that has refused a connection.
constexpr Milliseconds connectInterval { 300 };
// Bounds of the time for the reply to a watch call, beyond the time that it may wait at the leader.
// The lower bound covers the latency and a busy leader. A call that times out costs the leader a
// new connection.
constexpr Milliseconds minReplyTimeout { 700 };
constexpr Milliseconds maxReplyTimeout { 2800 };
// How long a host is not called after it failed, if there are others. Other hosts keep naming a
// leader that has stopped until they have elected the next one.
constexpr Milliseconds failureDelay { 800 };
// As above, after a call without a reply: until all other hosts had time to connect and to reply.
constexpr Milliseconds timeoutDelay { 2000 };

} // namespace

ControlHost::ControlHost(EventLoop &loop, const HostAddress &address,
                         std::shared_ptr<ByteCounters> bytes)
    : connection(loop, address, connectTimeout, std::move(bytes))
    , roundTrip(minReplyTimeout, maxReplyTimeout)
{ }

ControlHosts::ControlHosts(EventLoop &loop, std::uint16_t port)
    : loop(loop)
    , port(port)
    , counters(std::make_shared<ByteCounters>())
{ }

void ControlHosts::setSeeds(const std::vector<HostAddress> &addresses)
{
    this->seeds.clear();
    for (const HostAddress &address : addresses) {
        this->seeds.push_back(address.ip);
    }
}

void ControlHosts::setMembers(const GroupHint &hint)
{
    if (hint.members.empty()) {
        return;
    }
    this->members.clear();
    for (const auto &[slot, ip] : hint.members) {
        this->members.push_back(ip);
    }
}

ControlHost &ControlHosts::at(const std::string &ip)
{
    std::unique_ptr<ControlHost> &host = this->hosts[ip];
    if (!host) {
        host = std::make_unique<ControlHost>(this->loop, HostAddress { ip, this->port },
                                             this->counters);
    }
    return *host;
}

// Members come before seeds, which may be out of date.
std::vector<std::string> ControlHosts::candidates() const
{
    std::vector<std::string> result = this->members;
    for (const std::string &seed : this->seeds) {
        if (std::find(result.begin(), result.end(), seed) == result.end()) {
            result.push_back(seed);
        }
    }
    return result;
}

// Hosts to which a connection is open come first, then those that have not failed recently. A host
// that has just left a call without a reply comes last even if a connection to it opens again,
// since the next call to it may take as long. Since hosts that are cut off from their group answer
// too, the others are being connected to at the same time: the search waits for the quickest of
// them and not for one after the other.
std::string ControlHosts::next()
{
    std::vector<std::string> ips = this->candidates();
    if (ips.empty()) {
        return {};
    }
    this->connectTo(ips);
    const auto first = static_cast<std::ptrdiff_t>(this->nextIndex++ % ips.size());
    std::rotate(ips.begin(), ips.begin() + first, ips.end());
    std::stable_partition(ips.begin(), ips.end(),
                          [this](const std::string &ip) { return !this->hasTimedOutRecently(ip); });
    const auto open = std::find_if(ips.begin(), ips.end(), [this](const std::string &ip) {
        return this->at(ip).connection.isOpen() && !this->hasTimedOutRecently(ip);
    });
    if (open != ips.end()) {
        return *open;
    }
    const auto usable = std::find_if(ips.begin(), ips.end(), [this](const std::string &ip) {
        return !this->hasFailedRecently(ip) && !this->hasTimedOutRecently(ip);
    });
    return usable != ips.end() ? *usable : ips.front();
}

void ControlHosts::connectTo(const std::vector<std::string> &ips)
{
    const TimePoint now = this->loop.now();
    for (const std::string &ip : ips) {
        ControlHost &host = this->at(ip);
        if (!host.connection.isOpen() && now - host.connectBegunAt >= connectInterval) {
            host.connectBegunAt = now;
            host.connection.open();
        }
    }
}

bool ControlHosts::hasFailedRecently(const std::string &ip) const
{
    const auto found = this->hosts.find(ip);
    if (found == this->hosts.end() || !found->second->failedAt) {
        return false;
    }
    // A connection that took longer than the call waited for it has opened in the meantime.
    const ControlHost &host = *found->second;
    return !host.connection.isOpen() && this->loop.now() - *host.failedAt < failureDelay;
}

void ControlHosts::recordTimeout(const std::string &ip)
{
    this->at(ip).timedOutAt = this->loop.now();
}

bool ControlHosts::hasTimedOutRecently(const std::string &ip) const
{
    const auto found = this->hosts.find(ip);
    return found != this->hosts.end() && found->second->timedOutAt
           && this->loop.now() - *found->second->timedOutAt < timeoutDelay;
}

void ControlHosts::clearFailures()
{
    for (const auto &[ip, host] : this->hosts) {
        host->failedAt.reset();
    }
}

} // namespace cassiaroad
