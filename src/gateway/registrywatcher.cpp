#include "gateway/registrywatcher.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// How long a call waits for a connection before the gateway calls another host, and how long the
// attempt to connect continues.
constexpr Milliseconds connectWait { 150 };
constexpr Milliseconds connectTimeout { 1500 };
// Interval at which the search for the leader tries a host again that has refused a connection.
constexpr Milliseconds connectInterval { 300 };
// Bounds of the time for the reply to a watch call, beyond the time that it may wait at the leader.
// The lower bound covers the latency and a busy leader. A call that times out costs the leader a
// new connection.
constexpr Milliseconds minReplyTimeout { 700 };
constexpr Milliseconds maxReplyTimeout { 2800 };
// How long a member is not called after it failed, if there are others. Other members keep naming a
// leader that has stopped until they have elected the next one.
constexpr Milliseconds failedTargetDelay { 800 };
constexpr Milliseconds retryDelay { 60 };
// Delay between an update and the next call, so that a gateway that cannot apply an update does not
// use up the leader's processor time.
constexpr Milliseconds updateDelay { 10 };

} // namespace

RegistryWatcher::Host::Host(EventLoop &loop, const HostAddress &address,
                            std::shared_ptr<ByteCounters> bytes)
    : connection(loop, address, connectTimeout, std::move(bytes))
    , roundTrip(minReplyTimeout, maxReplyTimeout)
{ }

RegistryWatcher::RegistryWatcher(EventLoop &loop, const SiteSettings &settings, EventLog &log,
                                 Handlers handlers)
    : loop(loop)
    , settings(settings)
    , log(log)
    , handlers(std::move(handlers))
    , bytes(std::make_shared<ByteCounters>())
    , tasks(*this)
{
    this->setSeeds(settings.seeds);
}

RegistryWatcher::~RegistryWatcher() = default;

void RegistryWatcher::start()
{
    this->call();
}

void RegistryWatcher::setSeeds(const std::vector<HostAddress> &addresses)
{
    this->seeds.clear();
    for (const HostAddress &address : addresses) {
        this->seeds.push_back(address.ip);
    }
}

RegistryWatcher::Host &RegistryWatcher::hostAt(const std::string &ip)
{
    std::unique_ptr<Host> &host = this->hosts[ip];
    if (!host) {
        host = std::make_unique<Host>(this->loop, HostAddress { ip, this->settings.internalPort },
                                      this->bytes);
    }
    return *host;
}

// Returns the addresses that can be called. Members come first, since seeds may be out of date.
std::vector<std::string> RegistryWatcher::candidates() const
{
    std::vector<std::string> result = this->members;
    for (const std::string &seed : this->seeds) {
        if (std::find(result.begin(), result.end(), seed) == result.end()) {
            result.push_back(seed);
        }
    }
    return result;
}

// Returns the next address to call. Hosts to which a connection is open come first, then those that
// have not failed recently. Since hosts that are cut off from their group answer too, the others
// are being connected to at the same time.
std::string RegistryWatcher::nextTarget()
{
    std::vector<std::string> ips = this->candidates();
    if (ips.empty()) {
        return {};
    }
    this->connectToAll(ips);
    const auto next = static_cast<std::ptrdiff_t>(this->nextIndex++ % ips.size());
    std::rotate(ips.begin(), ips.begin() + next, ips.end());
    const auto open = std::find_if(ips.begin(), ips.end(), [this](const std::string &ip) {
        return this->hostAt(ip).connection.isOpen();
    });
    if (open != ips.end()) {
        return *open;
    }
    const auto usable = std::find_if(ips.begin(), ips.end(), [this](const std::string &ip) {
        return !this->hasFailedRecently(ip);
    });
    return usable != ips.end() ? *usable : ips.front();
}

// Begins to connect to every host, so that the search for the leader waits for the quickest of them
// and not for one after the other.
void RegistryWatcher::connectToAll(const std::vector<std::string> &ips)
{
    const TimePoint now = this->loop.now();
    for (const std::string &ip : ips) {
        Host &host = this->hostAt(ip);
        if (!host.connection.isOpen() && now - host.connectBegunAt >= connectInterval) {
            host.connectBegunAt = now;
            host.connection.open();
        }
    }
}

bool RegistryWatcher::hasFailedRecently(const std::string &ip) const
{
    const auto found = this->hosts.find(ip);
    if (found == this->hosts.end() || !found->second->failedAt) {
        return false;
    }
    // A connection that took longer than the call waited for it has opened in the meantime.
    const Host &host = *found->second;
    return !host.connection.isOpen() && this->loop.now() - *host.failedAt < failedTargetDelay;
}

void RegistryWatcher::call()
{
    if (this->target.empty()) {
        this->target = this->nextTarget();
    }
    this->calledAt = this->loop.now();
    this->receivedBeforeCall = this->bytes->received;
    const std::string report = encode(this->handlers.report());
    const auto send = [report](rpc::Member::Client client) {
        auto request = client.castAs<rpc::Registry>().watchRequest();
        request.setReport(
                kj::arrayPtr(reinterpret_cast<const kj::byte *>(report.data()), report.size()));
        return request.send().then([](capnp::Response<rpc::Registry::WatchResults> &&results) {
            const auto reply = results.getAnswer().asChars();
            return std::string(reply.begin(), reply.size());
        });
    };
    Host &host = this->hostAt(this->target);
    const Milliseconds replyTimeout = this->watchTimeout + host.roundTrip.timeout();
    auto onBytes = [this](const std::string &bytes) {
        const auto reply = decodeGatewayWatchReply(bytes);
        if (reply) {
            this->onReply(*reply);
        } else {
            this->onFailure("the reply cannot be decoded");
        }
    };
    auto onException = [this](const kj::Exception &exception) {
        this->onFailure(exception.getDescription().cStr());
    };
    this->tasks.add(host.connection.call<std::string>({ connectWait, replyTimeout }, send)
                            .then(kj::mv(onBytes), kj::mv(onException)));
}

void RegistryWatcher::callAfter(Milliseconds delay)
{
    this->timer = this->loop.callAfter(delay, [this] { this->call(); });
}

void RegistryWatcher::onReply(const GatewayWatchReply &reply)
{
    if (const auto *update = std::get_if<GatewayUpdate>(&reply)) {
        const Milliseconds duration = this->loop.now() - this->calledAt;
        this->hostAt(this->target).roundTrip.recordReply(duration - update->waited);
        this->setConnected(true);
        this->confirmedAt = this->calledAt + update->waited;
        for (const auto &[ip, host] : this->hosts) {
            host->failedAt.reset();
        }
        this->watchTimeout = update->watchTimeout;
        this->handlers.update(*update, this->confirmedAt);
        this->callAfter(updateDelay);
        return;
    }
    this->followHint(std::get<GroupHint>(reply));
}

// Continues with the leader that another member named, or with the next known address.
void RegistryWatcher::followHint(const GroupHint &hint)
{
    this->setConnected(false);
    if (!hint.members.empty()) {
        this->members.clear();
        for (const auto &[slot, ip] : hint.members) {
            this->members.push_back(ip);
        }
    }
    const bool hasNewLeader = !hint.leaderIp.empty() && hint.leaderIp != this->target
                              && !this->hasFailedRecently(hint.leaderIp);
    this->target = hasNewLeader ? hint.leaderIp : this->nextTarget();
    this->callAfter(hasNewLeader ? Milliseconds {} : retryDelay);
}

void RegistryWatcher::onFailure(const std::string &reason)
{
    this->logFailure(reason);
    this->setConnected(false);
    Host &host = this->hostAt(this->target);
    host.failedAt = this->loop.now();
    host.roundTrip.recordFailure(this->loop.now() - this->calledAt - this->watchTimeout);
    this->target = this->nextTarget();
    this->callAfter(retryDelay);
}

// The received bytes tell a reply that was too slow from one that did not come.
void RegistryWatcher::logFailure(const std::string &reason)
{
    const std::uint64_t received = this->bytes->received - this->receivedBeforeCall;
    this->log.write({ "watch_failed",
                      Event::Weight::Important,
                      { { "member", this->target },
                        { "ms", (this->loop.now() - this->calledAt).count },
                        { "received_bytes", static_cast<std::int64_t>(received) },
                        { "reason", reason } } });
}

void RegistryWatcher::setConnected(bool value)
{
    if (this->connected == value) {
        return;
    }
    this->connected = value;
    this->log.write({ value ? "control_regained" : "control_lost",
                      Event::Weight::Always,
                      { { "leader", this->target },
                        { "update_age_ms", (this->loop.now() - this->confirmedAt).count } } });
}

void RegistryWatcher::taskFailed(kj::Exception &&exception)
{
    this->logFailure(exception.getDescription().cStr());
    this->callAfter(retryDelay);
}

} // namespace cassiaroad
