#include "connection/controlclient.h"

#include "connection/rpcconnection.h"
#include "connection/socketaddress.h"

#include <algorithm>

namespace cassiaroad {

namespace {

// How long one attempt waits for the reply of a member. A member that is not the leader replies at
// once; the leader replies to a watch call after at most 150 ms. An attempt must fail well within
// the entry lease of 1,000 ms, so that another member can still reply before the lease expires.
constexpr Milliseconds silenceTimeout { 400 };
constexpr Milliseconds connectTimeout { 300 };
// Delay between attempts while no leader is known.
constexpr Milliseconds retryDelay { 25 };

/** Whether a call that may have been executed may be sent again. */
enum class Resend { Never, Allowed };

} // namespace

struct ControlClient::Private
{
    Private(EventLoop &loop, const std::vector<HostAddress> &members)
        : loop(loop)
        , counters(std::make_shared<ByteCounters>())
    {
        for (const HostAddress &member : members) {
            this->connections.push_back(
                    std::make_unique<RpcConnection>(loop, member, connectTimeout, this->counters));
        }
    }

    /** Calls the leader, with repeated attempts until it replies or @p deadline passes. */
    template <typename Reply, typename Send>
    kj::Promise<Reply> callLeader(Send send, Resend resend, TimePoint deadline)
    {
        const Milliseconds timeLeft = deadline - this->loop.now();
        if (timeLeft.count <= 0 || this->connections.empty()) {
            return KJ_EXCEPTION(OVERLOADED, "no control leader answered in time");
        }
        const std::size_t member = this->leader;
        // Timeout of this attempt. A call that may not be sent again waits for the deadline.
        const Milliseconds bound
                = resend == Resend::Allowed ? std::min(timeLeft, silenceTimeout) : timeLeft;
        return this->connections[member]
                ->template call<Reply>({ bound, bound }, send)
                .then(
                        [this, send, resend, deadline](Reply &&reply) -> kj::Promise<Reply> {
                            if (!reply.getReply().isNotLeader()) {
                                return kj::mv(reply);
                            }
                            this->followHint(reply.getReply().getNotLeader());
                            return this->retry<Reply>(send, resend, deadline);
                        },
                        [this, send, resend, deadline,
                         member](kj::Exception &&exception) -> kj::Promise<Reply> {
                            this->tryNextMember(member);
                            const bool sent
                                    = exception.getType() != kj::Exception::Type::OVERLOADED;
                            if (sent && resend == Resend::Never) {
                                return kj::mv(exception);
                            }
                            return this->retry<Reply>(send, resend, deadline);
                        });
    }

    /** Repeats the call after a delay. */
    template <typename Reply, typename Send>
    kj::Promise<Reply> retry(Send send, Resend resend, TimePoint deadline)
    {
        return rpcDelay(this->loop, retryDelay).then([this, send, resend, deadline] {
            return this->callLeader<Reply>(send, resend, deadline);
        });
    }

    /** Switches to the leader that a member named, or to the next member if it named none. */
    void followHint(rpc::LeaderHint::Reader hint)
    {
        const HostAddress address = parseHostAddress(hint.getAddress());
        const auto named = std::find_if(
                this->connections.begin(), this->connections.end(),
                [&address](const auto &connection) { return connection->peer() == address; });
        if (named == this->connections.end()) {
            this->tryNextMember(this->leader);
            return;
        }
        this->leader = static_cast<std::size_t>(named - this->connections.begin());
    }

    /** Switches to the next member, unless another call has left @p member already. */
    void tryNextMember(std::size_t member)
    {
        if (this->leader == member) {
            this->leader = (member + 1) % this->connections.size();
        }
    }

    /** Starts a call that is rejected when the client is destroyed. */
    template <typename Reply, typename Send>
    kj::Promise<Reply> start(Send send, Resend resend, Milliseconds timeout)
    {
        return this->canceler.wrap(
                this->callLeader<Reply>(std::move(send), resend, this->loop.now() + timeout));
    }

    EventLoop &loop;
    std::shared_ptr<ByteCounters> counters;
    std::vector<std::unique_ptr<RpcConnection>> connections;
    std::size_t leader = 0; // index of the connection that calls are sent on
    kj::Canceler canceler;
};

ControlClient::ControlClient(EventLoop &loop, const std::vector<HostAddress> &members)
    : d(std::make_unique<Private>(loop, members))
{ }

ControlClient::~ControlClient() = default;

kj::Promise<ControlClient::WatchReply> ControlClient::watch(
        std::function<void(rpc::WatchRequest::Builder)> fill, Milliseconds timeout)
{
    const auto send = [fill = std::move(fill)](rpc::Member::Client member) {
        auto request = member.watchRequest();
        fill(request.initRequest());
        return kj::Promise<WatchReply>(request.send());
    };
    return this->d->start<WatchReply>(send, Resend::Allowed, timeout);
}

kj::Promise<ControlClient::AnnounceReply> ControlClient::announce(
        std::function<void(rpc::AnnounceRequest::Builder)> fill, Milliseconds timeout)
{
    const auto send = [fill = std::move(fill)](rpc::Member::Client member) {
        auto request = member.announceRequest();
        fill(request.initRequest());
        return kj::Promise<AnnounceReply>(request.send());
    };
    return this->d->start<AnnounceReply>(send, Resend::Allowed, timeout);
}

kj::Promise<ControlClient::BeginReply> ControlClient::begin(
        std::function<void(rpc::BeginRequest::Builder)> fill, Milliseconds timeout)
{
    // Not sent again: if the reply to a begin was lost, a second begin would find the ledger record
    // of the first and be refused because the request is in progress.
    const auto send = [fill = std::move(fill)](rpc::Member::Client member) {
        auto request = member.beginRequest();
        fill(request.initRequest());
        return kj::Promise<BeginReply>(request.send());
    };
    return this->d->start<BeginReply>(send, Resend::Never, timeout);
}

kj::Promise<ControlClient::FinishReply> ControlClient::finish(
        std::function<void(rpc::FinishRequest::Builder)> fill, Milliseconds timeout)
{
    const auto send = [fill = std::move(fill)](rpc::Member::Client member) {
        auto request = member.finishRequest();
        fill(request.initRequest());
        return kj::Promise<FinishReply>(request.send());
    };
    return this->d->start<FinishReply>(send, Resend::Allowed, timeout);
}

std::uint64_t ControlClient::bytesSent() const
{
    return this->d->counters->sent;
}

std::uint64_t ControlClient::bytesReceived() const
{
    return this->d->counters->received;
}

} // namespace cassiaroad
