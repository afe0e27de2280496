#include "gateway/registrywatcher.h"

namespace cassiaroad {

namespace {

// How long a call waits for a connection before the gateway calls another host.
constexpr Milliseconds connectWait { 150 };
constexpr Milliseconds retryDelay { 60 };
// Delay between an update and the next call, so that a gateway that cannot apply an update does not
// use up the leader's processor time.
constexpr Milliseconds updateDelay { 10 };

} // namespace

RegistryWatcher::RegistryWatcher(EventLoop &loop, const SiteSettings &settings, EventLog &log,
                                 Handlers handlers)
    : loop(loop)
    , log(log)
    , handlers(std::move(handlers))
    , hosts(loop, settings.internalPort)
    , tasks(*this)
{
    this->hosts.setSeeds(settings.seeds);
}

RegistryWatcher::~RegistryWatcher() = default;

void RegistryWatcher::start()
{
    this->call();
}

void RegistryWatcher::setSeeds(const std::vector<HostAddress> &addresses)
{
    this->hosts.setSeeds(addresses);
}

void RegistryWatcher::call()
{
    if (this->target.empty()) {
        this->target = this->hosts.next();
    }
    this->calledAt = this->loop.now();
    this->receivedBeforeCall = this->hosts.bytes().received;
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
    ControlHost &host = this->hosts.at(this->target);
    this->replyTimeout = this->watchTimeout + host.roundTrip.timeout();
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
    this->tasks.add(host.connection.call<std::string>({ connectWait, this->replyTimeout }, send)
                            .then(kj::mv(onBytes), kj::mv(onException)));
}

void RegistryWatcher::callAfter(Milliseconds delay)
{
    this->timer = this->loop.callAfter(delay, [this] { this->call(); });
}

void RegistryWatcher::onReply(const GatewayWatchReply &reply)
{
    this->hosts.recordReply(this->target);
    if (const auto *update = std::get_if<GatewayUpdate>(&reply)) {
        const Milliseconds duration = this->loop.now() - this->calledAt;
        this->hosts.at(this->target).roundTrip.recordReply(duration - update->waited);
        this->setConnected(true);
        this->confirmedAt = this->calledAt + update->waited;
        this->hosts.clearFailures();
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
    this->hosts.setMembers(hint);
    const bool hasNewLeader = !hint.leaderIp.empty() && hint.leaderIp != this->target
                              && !this->hosts.hasFailedRecently(hint.leaderIp);
    this->target = hasNewLeader ? hint.leaderIp : this->hosts.next();
    this->callAfter(hasNewLeader ? Milliseconds {} : retryDelay);
}

void RegistryWatcher::onFailure(const std::string &reason)
{
    this->logFailure(reason);
    this->setConnected(false);
    ControlHost &host = this->hosts.at(this->target);
    host.failedAt = this->loop.now();
    if (this->loop.now() - this->calledAt >= this->replyTimeout) {
        this->hosts.recordTimeout(this->target);
    }
    host.roundTrip.recordFailure(this->loop.now() - this->calledAt - this->watchTimeout);
    this->target = this->hosts.next();
    this->callAfter(retryDelay);
}

// The received bytes tell a reply that was too slow from one that did not come.
void RegistryWatcher::logFailure(const std::string &reason)
{
    const std::uint64_t received = this->hosts.bytes().received - this->receivedBeforeCall;
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
