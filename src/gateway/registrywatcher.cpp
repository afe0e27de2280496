#include "gateway/registrywatcher.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

namespace {

// How long an attempt to connect lasts; within it, the attempt is repeated every 300 ms.
constexpr Milliseconds connectTimeout { 1500 };
// How long a watch call waits if its connection has ended since the previous one.
constexpr Milliseconds reconnectWait { 150 };
// Bounds of the time after which an update is late, beyond the time that the call may wait at the
// leader. The lower bound covers a busy leader. The upper bound limits the delay of
// the search after a leader that was slow.
constexpr Milliseconds minRoundTrip { 250 };
constexpr Milliseconds maxRoundTrip { 500 };
// How long a reply is waited for, beyond the time that the call may wait at the leader. Longer than
// a round trip over a full link: the search for the leader does not wait for it.
constexpr Milliseconds replyTimeout { 2800 };
// Watch calls without a reply. Each may have a complete routing table on its way to the gateway.
// The oldest stays until its reply timeout, because it may only be slow.
constexpr std::size_t maxCalls = 3;
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
    , roundTrip(minRoundTrip, maxRoundTrip)
    , tasks(*this)
{
    if (!this->handlers.lateUpdate) {
        this->handlers.lateUpdate = this->handlers.update;
    }
    this->search.setSeeds(settings.seeds);
}

RegistryWatcher::~RegistryWatcher() = default;

void RegistryWatcher::start()
{
    this->search.start(this->loop.now());
    this->scheduleSearch();
}

void RegistryWatcher::setSeeds(const std::vector<HostAddress> &addresses)
{
    this->search.setSeeds(addresses);
    this->scheduleSearch();
}

// Calls the host on @p connection. @p onSent runs when the connection is open.
template <typename OnReply, typename OnFailure>
void RegistryWatcher::send(RpcConnection &connection, RpcConnection::Timeouts timeouts,
                           const GatewayReport &report, std::function<void()> onSent,
                           OnReply onReply, OnFailure onFailure)
{
    auto call = [bytes = encode(report), onSent = std::move(onSent)](rpc::Member::Client client) {
        onSent();
        auto request = client.castAs<rpc::Registry>().watchRequest();
        request.setReport(
                kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        return request.send().then([](capnp::Response<rpc::Registry::WatchResults> &&results) {
            const auto reply = results.getAnswer().asChars();
            return std::string(reply.begin(), reply.size());
        });
    };
    auto onBytes = [onReply, onFailure](const std::string &reply) {
        if (const auto decoded = decodeGatewayWatchReply(reply)) {
            onReply(*decoded);
        } else {
            onFailure("the reply cannot be decoded");
        }
    };
    auto onException = [onFailure](const kj::Exception &exception) {
        onFailure(exception.getDescription().cStr());
    };
    this->tasks.add(connection.call<std::string>(timeouts, std::move(call))
                            .then(kj::mv(onBytes), kj::mv(onException)));
}

void RegistryWatcher::callLeader()
{
    this->callTimer = EventLoop::Timer();
    const std::uint64_t number = ++this->lastCall;
    const TimePoint now = this->loop.now();
    GatewayReport report = this->handlers.report();
    report.membersRevision = this->search.membersRevision();
    this->calls.push_back({ number, this->leader, now, this->bytes->received, report.version });
    if (this->calls.size() > maxCalls) {
        this->calls[1].peer.connection->close("too many calls without a reply");
    }
    this->search.expectUpdate(now + this->watchTimeout + this->roundTrip.timeout());
    this->scheduleSearch();
    this->send(
            *this->leader.connection, { reconnectWait, this->watchTimeout + replyTimeout }, report,
            [] {}, [this, number](const GatewayWatchReply &reply) { this->onReply(number, reply); },
            [this, number](const std::string &reason) { this->onFailure(number, reason); });
}

// The reply timeout ends the connection, which the watch calls share, so it is that of these calls.
bool RegistryWatcher::askPermits(
        const PermitRequest &request,
        const std::function<void(const std::optional<PermitReply> &)> &done)
{
    if (!this->leader.connection) {
        return false;
    }
    auto call = [bytes = encode(request)](rpc::Member::Client client) {
        auto built = client.castAs<rpc::Registry>().permitRequest();
        built.setRequest(
                kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        return built.send().then([](capnp::Response<rpc::Registry::PermitResults> &&results) {
            const auto reply = results.getReply().asChars();
            return std::string(reply.begin(), reply.size());
        });
    };
    const RpcConnection::Timeouts timeouts { reconnectWait, replyTimeout };
    this->tasks.add(
            this->leader.connection->call<std::string>(timeouts, std::move(call))
                    .then([done](const std::string &bytes) { done(decodePermitReply(bytes)); },
                          [done](const kj::Exception &) { done(std::nullopt); }));
    return true;
}

void RegistryWatcher::reportSoon()
{
    if (this->calls.size() == 1 && !this->search.hasBegun()) {
        this->callLeader();
    }
}

void RegistryWatcher::onReply(std::uint64_t number, const GatewayWatchReply &reply)
{
    const std::optional<Call> call = this->takeCall(number);
    if (!call) {
        return;
    }
    if (const auto *update = std::get_if<GatewayUpdate>(&reply)) {
        this->onUpdate(*call, *update);
        return;
    }
    this->search.setMembers(std::get<GroupHint>(reply));
    if (number == this->lastCall) {
        this->loseLeader();
    }
}

// An update in reply to an earlier call than the last one ends the search too, since its sender
// leads. It does not replace a leader that was found since.
void RegistryWatcher::onUpdate(const Call &call, const GatewayUpdate &update)
{
    const TimePoint madeAt = call.sentAt + update.waited;
    this->confirmedAt = std::max(this->confirmedAt, madeAt);
    this->watchTimeout = update.watchTimeout;
    this->logConfirmation(call, update, madeAt);
    const bool isLast = call.number == this->lastCall;
    if (update.members && (isLast || update.members->revision > this->search.membersRevision())) {
        this->search.setConfirmedMembers(*update.members);
    }
    if (!isLast) {
        this->handlers.lateUpdate(update, madeAt);
        if (!this->search.hasBegun()) {
            return;
        }
    }
    this->leader = call.peer;
    this->roundTrip.recordReply(this->loop.now() - madeAt);
    this->setConnected(true);
    this->endSearch();
    if (isLast) {
        this->handlers.update(update, madeAt);
    }
    this->callTimer = this->loop.callAfter(updateDelay, [this] { this->callLeader(); });
}

void RegistryWatcher::onFailure(std::uint64_t number, const std::string &reason)
{
    const std::optional<Call> call = this->takeCall(number);
    if (!call) {
        return;
    }
    this->logFailure(*call, reason);
    if (number == this->lastCall) {
        this->loseLeader();
    }
}

void RegistryWatcher::loseLeader()
{
    this->callTimer = EventLoop::Timer();
    this->setConnected(false);
    this->search.start(this->loop.now());
    this->scheduleSearch();
}

// The received bytes tell a reply that was too slow from one that did not come.
void RegistryWatcher::logFailure(const Call &call, const std::string &reason)
{
    const std::uint64_t received = this->bytes->received - call.receivedBefore;
    this->log.write({ "watch_failed",
                      Event::Weight::Important,
                      { { "member", call.peer.ip },
                        { "ms", (this->loop.now() - call.sentAt).count },
                        { "received_bytes", static_cast<std::int64_t>(received) },
                        { "reason", reason } } });
}

// Logs which leader has confirmed the configuration in use, when one of the two changes.
void RegistryWatcher::logConfirmation(const Call &call, const GatewayUpdate &update,
                                      TimePoint madeAt)
{
    const bool isConfirmed = call.version != 0 && call.version >= update.version;
    const bool isKnown
            = call.version == this->confirmedVersion && call.peer.ip == this->confirmedBy;
    if (!isConfirmed || isKnown) {
        return;
    }
    this->confirmedVersion = call.version;
    this->confirmedBy = call.peer.ip;
    this->log.write({ "configuration_confirmed",
                      Event::Weight::Always,
                      { { "version", std::int64_t(call.version) },
                        { "leader", call.peer.ip },
                        { "age_ms", (this->loop.now() - madeAt).count } } });
}

// Logs about once a second what the asked hosts have answered.
void RegistryWatcher::logSearch()
{
    if (!this->search.hasBegun()) {
        this->isReporting = false;
        return;
    }
    if (!std::exchange(this->isReporting, true)) {
        this->report.begin(this->search.beginning());
    }
    if (this->report.takeDue(this->loop.now())) {
        this->log.write({ "leader_search",
                          Event::Weight::Always,
                          { { "search_ms", this->report.duration(this->loop.now()).count },
                            { "version", std::int64_t(this->confirmedVersion) },
                            { "update_age_ms", (this->loop.now() - this->confirmedAt).count },
                            { "answers", this->report.text() } } });
    }
}

void RegistryWatcher::scheduleSearch()
{
    this->logSearch();
    const std::optional<TimePoint> next = this->search.nextStepAt();
    if (!next) {
        this->searchTimer = EventLoop::Timer();
        return;
    }
    const Milliseconds delay = std::max(*next - this->loop.now(), Milliseconds {});
    this->searchTimer = this->loop.callAfter(delay, [this] { this->stepSearch(); });
}

void RegistryWatcher::stepSearch()
{
    const Call *call = this->presentCall();
    if (call != nullptr && call->peer.connection->lastReceived() > call->sentAt) {
        this->search.postpone(call->peer.connection->lastReceived() + this->roundTrip.timeout());
    }
    const LeaderSearch::Step step = this->search.step(this->loop.now());
    this->logSearch();
    for (const LeaderSearch::ConnectionNumber number : step.closed) {
        this->asked.at(number).connection->close("the question was asked again");
        this->asked.erase(number);
    }
    for (const LeaderSearch::Question &question : step.questions) {
        this->ask(question);
    }
    this->scheduleSearch();
}

void RegistryWatcher::ask(const LeaderSearch::Question &question)
{
    const LeaderSearch::ConnectionNumber number = question.connection;
    this->report.recordQuestion(question.ip);
    if (question.isNew) {
        const HostAddress address { question.ip, this->settings.internalPort };
        this->asked[number]
                = { question.ip, std::make_shared<RpcConnection>(this->loop, address,
                                                                 connectTimeout, this->bytes) };
    }
    GatewayReport report;
    report.gateway = this->settings.host;
    report.zone = this->settings.zone;
    report.isSearch = true;
    this->send(
            *this->asked.at(number).connection, { connectTimeout, replyTimeout }, report,
            [this, number] {
                this->search.recordOpened(number, this->loop.now());
                this->scheduleSearch();
            },
            [this, number](const GatewayWatchReply &reply) { this->onAnswer(number, reply); },
            [this, number](const std::string &reason) { this->onNoAnswer(number, reason); });
}

void RegistryWatcher::onAnswer(LeaderSearch::ConnectionNumber number,
                               const GatewayWatchReply &reply)
{
    const auto found = this->asked.find(number);
    if (found == this->asked.end()) {
        return;
    }
    if (const auto *update = std::get_if<GatewayUpdate>(&reply)) {
        this->watchTimeout = update->watchTimeout;
        const Peer peer = found->second;
        this->asked.erase(found);
        this->followLeader(peer);
        return;
    }
    this->report.recordAnswer(found->second.ip, std::get<GroupHint>(reply));
    this->search.recordAnswer(number);
    this->search.setMembers(std::get<GroupHint>(reply));
    this->scheduleSearch();
}

void RegistryWatcher::onNoAnswer(LeaderSearch::ConnectionNumber number, const std::string &reason)
{
    const auto found = this->asked.find(number);
    if (found != this->asked.end()) {
        this->report.recordFailure(found->second.ip, reason);
        this->asked.erase(found);
    }
    this->search.recordFailure(number);
    this->scheduleSearch();
}

// Calls the host that was found. A call that is in progress continues: its reply may only be slow.
void RegistryWatcher::followLeader(const Peer &peer)
{
    this->log.write({ "leader_found",
                      Event::Weight::Important,
                      { { "leader", peer.ip },
                        { "search_ms", (this->loop.now() - this->search.beginning()).count },
                        { "questions", this->search.questionCount() } } });
    this->setConnected(false);
    if (this->leader.ip != peer.ip) {
        this->roundTrip = RoundTripEstimate(minRoundTrip, maxRoundTrip);
    }
    this->leader = peer;
    this->endSearch();
    this->callLeader();
}

void RegistryWatcher::endSearch()
{
    this->search.stop();
    for (const auto &[number, peer] : std::exchange(this->asked, {})) {
        peer.connection->close("the leader is found");
    }
    this->scheduleSearch();
}

std::optional<RegistryWatcher::Call> RegistryWatcher::takeCall(std::uint64_t number)
{
    const auto found = std::find_if(this->calls.begin(), this->calls.end(),
                                    [number](const Call &call) { return call.number == number; });
    if (found == this->calls.end()) {
        return std::nullopt;
    }
    const Call call = *found;
    this->calls.erase(found);
    return call;
}

// Returns the last call, or null if it has ended.
const RegistryWatcher::Call *RegistryWatcher::presentCall() const
{
    const bool isOpen = !this->calls.empty() && this->calls.back().number == this->lastCall;
    return isOpen ? &this->calls.back() : nullptr;
}

void RegistryWatcher::setConnected(bool value)
{
    if (this->connected == value) {
        return;
    }
    this->connected = value;
    this->log.write({ value ? "control_regained" : "control_lost",
                      Event::Weight::Always,
                      { { "leader", this->leader.ip },
                        { "version", std::int64_t(this->confirmedVersion) },
                        { "update_age_ms", (this->loop.now() - this->confirmedAt).count } } });
}

void RegistryWatcher::taskFailed(kj::Exception &&exception)
{
    this->log.write(
            { "watch_failed",
              Event::Weight::Important,
              { { "member", this->leader.ip }, { "reason", exception.getDescription().cStr() } } });
    this->loseLeader();
}

} // namespace cassiaroad
