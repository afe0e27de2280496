#include "gateway/registrywatcher.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr Milliseconds connectTimeout { 300 };
// Beyond the time that the leader holds a call: the way, a full link and a busy leader. A call that
// is given up costs the leader a new connection.
constexpr Milliseconds answerMargin { 700 };
// Other members go on naming a leader that has stopped until they elect the next one.
constexpr Milliseconds avoidance { 800 };
constexpr Milliseconds retryDelay { 60 };
// Between an update and the next call, so that a gateway that cannot use an update does not take up
// the leader's processor.
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

// Members first: seeds may be out of date.
std::string RegistryWatcher::nextTarget()
{
    std::vector<std::string> all = this->members;
    for (const std::string &seed : this->seeds) {
        if (std::find(all.begin(), all.end(), seed) == all.end()) {
            all.push_back(seed);
        }
    }
    for (std::size_t i = 0; i < all.size(); ++i) {
        const std::string &ip = all[this->nextIndex++ % all.size()];
        if (!this->hasFailedLately(ip)) {
            return ip;
        }
    }
    return all.empty() ? std::string() : all[this->nextIndex++ % all.size()];
}

bool RegistryWatcher::hasFailedLately(const std::string &ip) const
{
    const auto found = this->failedAt.find(ip);
    return found != this->failedAt.end() && this->loop.now() - found->second < avoidance;
}

void RegistryWatcher::call()
{
    if (this->target.empty()) {
        this->target = this->nextTarget();
    }
    const std::string report = encode(this->handlers.report());
    const auto send = [report](rpc::Member::Client client) {
        auto request = client.castAs<rpc::Registry>().watchRequest();
        request.setReport(
                kj::arrayPtr(reinterpret_cast<const kj::byte *>(report.data()), report.size()));
        return request.send().then([](capnp::Response<rpc::Registry::WatchResults> &&results) {
            const auto answer = results.getAnswer().asChars();
            return std::string(answer.begin(), answer.size());
        });
    };
    this->tasks.add(this->connectionTo(this->target)
                            .call<std::string>(this->hold + answerMargin, send)
                            .then(
                                    [this](const std::string &bytes) {
                                        const auto answer = decodeGatewayWatchReply(bytes);
                                        if (answer) {
                                            this->onAnswer(*answer);
                                        } else {
                                            this->onFailure();
                                        }
                                    },
                                    [this](const kj::Exception &) { this->onFailure(); }));
}

void RegistryWatcher::callAfter(Milliseconds delay)
{
    this->timer = this->loop.callAfter(delay, [this] { this->call(); });
}

void RegistryWatcher::onAnswer(const GatewayWatchReply &answer)
{
    if (const auto *update = std::get_if<GatewayUpdate>(&answer)) {
        this->setConnected(true);
        this->failedAt.clear();
        this->hold = update->hold;
        this->handlers.update(*update);
        this->callAfter(updateDelay);
        return;
    }
    this->follow(std::get<GroupHint>(answer));
}

void RegistryWatcher::follow(const GroupHint &hint)
{
    this->setConnected(false);
    if (!hint.members.empty()) {
        this->members.clear();
        for (const auto &[slot, ip] : hint.members) {
            this->members.push_back(ip);
        }
    }
    const bool isNew = !hint.leaderIp.empty() && hint.leaderIp != this->target
                       && !this->hasFailedLately(hint.leaderIp);
    this->target = isNew ? hint.leaderIp : this->nextTarget();
    this->callAfter(isNew ? Milliseconds {} : retryDelay);
}

void RegistryWatcher::onFailure()
{
    this->setConnected(false);
    this->failedAt[this->target] = this->loop.now();
    this->target = this->nextTarget();
    this->callAfter(retryDelay);
}

void RegistryWatcher::setConnected(bool value)
{
    if (this->connected == value) {
        return;
    }
    this->connected = value;
    this->log.write({ value ? "control_regained" : "control_lost",
                      Event::Weight::Always,
                      { { "leader", this->target } } });
}

void RegistryWatcher::taskFailed(kj::Exception &&exception)
{
    this->log.write({ "watch_failed",
                      Event::Weight::Important,
                      { { "reason", std::string(exception.getDescription().cStr()) } } });
    this->callAfter(retryDelay);
}

} // namespace cassiaroad
