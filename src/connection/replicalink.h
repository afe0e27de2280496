#pragma once

#include "connection/rpcconnection.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace cassiaroad {

/**
 * One-way delivery of replica messages to the other members of the group. A message is lost if its
 * connection fails, or dropped if too much is on its way to the member; the replication protocol
 * repeats what matters. Loop thread only.
 */
class ReplicaLink
{
public:
    /** @p peers are the RPC addresses of the other members by number. */
    ReplicaLink(EventLoop &loop, std::string group, std::uint32_t ownMember,
                const std::map<std::uint32_t, HostAddress> &peers);
    ~ReplicaLink();
    ReplicaLink(const ReplicaLink &) = delete;
    ReplicaLink &operator=(const ReplicaLink &) = delete;

    /** Sets the RPC address of @p member; messages on their way to another address are lost. */
    void setPeer(std::uint32_t member, const HostAddress &address);

    /** Sends @p message to @p member. Returns false if it was dropped. */
    bool send(std::uint32_t member, const std::string &message);

    /** Bytes of all connections so far. */
    const ByteCounters &bytes() const { return *this->counters; }

    /** Messages dropped because a buffer was full. */
    std::uint64_t droppedCount() const { return this->dropped; }

private:
    struct Peer;

    EventLoop &loop;
    std::string group;
    std::uint32_t ownMember;
    std::shared_ptr<ByteCounters> counters;
    std::uint64_t dropped = 0;
    std::map<std::uint32_t, std::unique_ptr<Peer>> peers;
};

} // namespace cassiaroad
