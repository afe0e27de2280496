#include "gateway/registrywatcher.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// How long an attempt to connect lasts, while other members are called. The system repeats a lost
// first packet after one second.
constexpr Milliseconds connectTimeout { 1500 };
// How long a member is not called after it failed, if there are others. Other members keep naming a
// leader that has stopped until they have elected the next one.
constexpr Milliseconds failedTargetDelay { 800 };
constexpr Milliseconds retryDelay { 60 };
// Delay between an update and the next call, so that a gateway that cannot apply an update does not
// use up the leader's processor time.
constexpr Milliseconds updateDelay { 10 };

} // namespace

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

RpcConnection &RegistryWatcher::connectionTo(const std::string &ip)
{
    auto &connection = this->connections[ip];
    if (!connection) {
        connection = std::make_unique<RpcConnection>(
                this->loop, HostAddress { ip, this->settings.internalPort }, connectTimeout,
                this->bytes);
    }
    return *connection;
}

// Returns the next address to call, preferring those that have not failed recently. Members come
// first, since seeds may be out of date.
std::string RegistryWatcher::nextTarget()
{
    std::vector<std::string> candidates = this->members;
    for (const std::string &seed : this->seeds) {
        if (std::find(candidates.begin(), candidates.end(), seed) == candidates.end()) {
            candidates.push_back(seed);
        }
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::string &ip = candidates[this->nextIndex++ % candidates.size()];
        if (!this->hasFailedRecently(ip)) {
            return ip;
        }
    }
    return candidates.empty() ? std::string() : candidates[this->nextIndex++ % candidates.size()];
}

bool RegistryWatcher::hasFailedRecently(const std::string &ip) const
{
    const auto found = this->failedAt.find(ip);
    return found != this->failedAt.end() && this->loop.now() - found->second < failedTargetDelay;
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
    this->tasks.add(this->connectionTo(this->target)
                            .call<std::string>(this->timeouts.replyTimeout(this->watchTimeout),
                                               this->timeouts.connectWait(), send)
                            .then(
                                    [this](const std::string &bytes) {
                                        const auto reply = decodeGatewayWatchReply(bytes);
                                        if (reply) {
                                            this->onReply(*reply);
                                        } else {
                                            this->onFailure("the reply cannot be decoded");
                                        }
                                    },
                                    [this](const kj::Exception &exception) {
                                        this->onFailure(exception.getDescription().cStr());
                                    }));
}

void RegistryWatcher::callAfter(Milliseconds delay)
{
    this->timer = this->loop.callAfter(delay, [this] { this->call(); });
}

void RegistryWatcher::onReply(const GatewayWatchReply &reply)
{
    if (const auto *update = std::get_if<GatewayUpdate>(&reply)) {
        this->timeouts.recordUpdate();
        this->setConnected(true);
        this->confirmedAt = this->calledAt + update->waited;
        this->failedAt.clear();
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
    this->timeouts.recordFailure(this->loop.now() - this->calledAt);
    this->setConnected(false);
    this->failedAt[this->target] = this->loop.now();
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
