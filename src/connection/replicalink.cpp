#include "connection/replicalink.h"

namespace cassiaroad {

namespace {

constexpr Milliseconds connectTimeout { 300 };
// Reply timeout of a message, without the time to transfer it. A member replies to each message at
// once. The timeout is below the minimum election timeout of 300 ms, so that a silent connection is
// replaced before the member becomes a candidate.
constexpr Milliseconds baseReplyTimeout { 250 };
// Assumed transfer rate. The link between regions carries about 3,700 bytes per millisecond, and is
// shared.
constexpr std::size_t bytesPerMillisecond = 1000;
constexpr std::size_t maxMessagesInTransit = 256;
constexpr std::size_t maxBytesInTransit = std::size_t(8) * 1024 * 1024;

} // namespace

/** Connection to another member, with the messages and bytes in transit to it. */
struct ReplicaLink::Peer : private kj::TaskSet::ErrorHandler
{
    Peer(EventLoop &loop, const HostAddress &address, std::shared_ptr<ByteCounters> counters)
        : connection(loop, address, connectTimeout, std::move(counters))
        , tasks(*this)
    { }

    /** Whether a message of @p size bytes can be sent now; a single one of any size always can. */
    bool hasCapacity(std::size_t size) const
    {
        return this->messages == 0
               || (this->messages < maxMessagesInTransit
                   && this->bytes + size <= maxBytesInTransit);
    }

    void add(std::size_t size)
    {
        ++this->messages;
        this->bytes += size;
    }

    void remove(std::size_t size)
    {
        --this->messages;
        this->bytes -= size;
    }

    void taskFailed(kj::Exception && /*exception*/) override { }

    RpcConnection connection;
    std::size_t messages = 0;
    std::size_t bytes = 0;
    kj::TaskSet tasks;
};

ReplicaLink::ReplicaLink(EventLoop &loop, std::string group, std::uint32_t ownMember,
                         const std::map<std::uint32_t, HostAddress> &peers)
    : loop(loop)
    , group(std::move(group))
    , ownMember(ownMember)
    , counters(std::make_shared<ByteCounters>())
{
    for (const auto &[member, address] : peers) {
        this->peers.emplace(member, std::make_unique<Peer>(loop, address, this->counters));
    }
}

ReplicaLink::~ReplicaLink() = default;

void ReplicaLink::setPeer(std::uint32_t member, const HostAddress &address)
{
    const auto known = this->peers.find(member);
    if (known != this->peers.end() && known->second->connection.peer() == address) {
        return;
    }
    this->peers[member] = std::make_unique<Peer>(this->loop, address, this->counters);
}

bool ReplicaLink::send(std::uint32_t member, const std::string &message)
{
    const auto found = this->peers.find(member);
    if (found == this->peers.end() || !found->second->hasCapacity(message.size())) {
        ++this->dropped;
        return false;
    }
    Peer &peer = *found->second;
    const std::size_t size = message.size();
    peer.add(size);
    const Milliseconds timeout
            = baseReplyTimeout
              + Milliseconds { static_cast<std::int64_t>(peer.bytes / bytesPerMillisecond) };
    const auto deliver = [this, message](rpc::Member::Client client) {
        auto request = client.deliverRequest();
        request.setGroup(this->group);
        request.setFromMember(this->ownMember);
        request.setMessage(
                kj::arrayPtr(reinterpret_cast<const kj::byte *>(message.data()), message.size()));
        return request.send().ignoreResult();
    };
    peer.tasks.add(peer.connection.call<void>(timeout, deliver).attach(kj::defer([&peer, size] {
        peer.remove(size);
    })));
    return true;
}

} // namespace cassiaroad
