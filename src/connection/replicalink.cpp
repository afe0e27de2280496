#include "connection/replicalink.h"

#include "connection/roundtripestimate.h"

#include <algorithm>

namespace cassiaroad {

namespace {

constexpr Milliseconds connectTimeout { 1500 };
// How long a message waits for a connection. Then it is lost, and the attempt to connect continues.
constexpr Milliseconds connectWait { 250 };
// Bounds of the reply timeout of a message, without the time to transfer it. A member replies to
// each message at once. The lower bound is below the minimum election timeout of 300 ms, so that a
// silent connection is replaced before the member becomes a candidate.
constexpr Milliseconds minReplyTimeout { 250 };
constexpr Milliseconds maxReplyTimeout { 2000 };
// Assumed transfer rate. The link between regions carries about 3,700 bytes per millisecond, and is
// shared.
constexpr std::size_t bytesPerMillisecond = 1000;
constexpr std::size_t maxMessagesInTransit = 256;
constexpr std::size_t maxFormerOwners = 16;
constexpr std::size_t maxBytesInTransit = std::size_t(8) * 1024 * 1024;

} // namespace

/** Connection to another member, with the messages and bytes in transit to it. */
struct ReplicaLink::Peer : private kj::TaskSet::ErrorHandler
{
    Peer(EventLoop &loop, const HostAddress &address, std::shared_ptr<ByteCounters> counters)
        : loop(loop)
        , connection(loop, address, connectTimeout, std::move(counters))
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

    /** Sends a message of @p size bytes; @p deliver returns a promise of the reply. */
    template <typename Deliver>
    void send(std::size_t size, Deliver deliver)
    {
        this->add(size);
        const Milliseconds transfer { static_cast<std::int64_t>(this->bytes
                                                                / bytesPerMillisecond) };
        const auto waitedSince = [this, transfer](TimePoint start) {
            return std::max(this->loop.now() - start - transfer, Milliseconds {});
        };
        const auto timedDeliver = [this, waitedSince, deliver](rpc::Member::Client client) {
            return deliver(client).then([this, waitedSince, sentAt = this->loop.now()] {
                this->roundTrip.recordReply(waitedSince(sentAt));
            });
        };
        const auto onFailure
                = [this, waitedSince, start = this->loop.now()](const kj::Exception &exception) {
                      if (exception.getType() != kj::Exception::Type::OVERLOADED) {
                          this->roundTrip.recordFailure(waitedSince(start));
                      }
                  };
        // A message that is sent while a connection is closed gets the timeout that doubles then.
        const auto replyTimeout = [this, transfer] { return this->roundTrip.timeout() + transfer; };
        this->tasks.add(this->connection.call<void>(connectWait, replyTimeout, timedDeliver)
                                .then([] {}, kj::mv(onFailure))
                                .attach(kj::defer([this, size] { this->remove(size); })));
    }

    void taskFailed(kj::Exception && /*exception*/) override { }

    EventLoop &loop;
    RpcConnection connection;
    RoundTripEstimate roundTrip { minReplyTimeout, maxReplyTimeout };
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

void ReplicaLink::setFormerOwner(const MemberId &member, const HostAddress &address)
{
    const auto known = this->formerOwners.find(member);
    if (known != this->formerOwners.end() && known->second->connection.peer() == address) {
        return;
    }
    if (known == this->formerOwners.end() && this->formerOwners.size() >= maxFormerOwners) {
        this->formerOwners.erase(this->formerOwners.begin());
    }
    this->formerOwners[member] = std::make_unique<Peer>(this->loop, address, this->counters);
}

bool ReplicaLink::send(std::uint32_t member, const std::string &message)
{
    const auto found = this->peers.find(member);
    if (found == this->peers.end()) {
        ++this->dropped;
        return false;
    }
    return this->send(*found->second, message);
}

bool ReplicaLink::send(const MemberId &member, const std::string &message)
{
    const auto found = this->formerOwners.find(member);
    return found == this->formerOwners.end() ? this->send(member.number, message)
                                             : this->send(*found->second, message);
}

bool ReplicaLink::send(Peer &peer, const std::string &message)
{
    if (!peer.hasCapacity(message.size())) {
        ++this->dropped;
        return false;
    }
    const auto deliver = [this, message](rpc::Member::Client client) {
        auto request = client.deliverRequest();
        request.setGroup(this->group);
        request.setFromMember(this->ownMember);
        request.setFromIp(this->ownIp);
        request.setMessage(
                kj::arrayPtr(reinterpret_cast<const kj::byte *>(message.data()), message.size()));
        return request.send().ignoreResult();
    };
    peer.send(message.size(), deliver);
    return true;
}

} // namespace cassiaroad
