#pragma once

#include "connection/rpcconnection.h"
#include "process/member.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace cassiaroad {

/**
 * Sends one-way replica messages to the other members of the group. A message is lost if its
 * connection fails, and dropped if too many messages or bytes are in transit to the member; the
 * replication protocol repeats what matters. Loop thread only.
 */
class ReplicaLink
{
public:
    /** @p peers are the RPC addresses of the other members by member number. */
    ReplicaLink(EventLoop &loop, std::string group, std::uint32_t ownMember,
                const std::map<std::uint32_t, HostAddress> &peers);
    ~ReplicaLink();
    ReplicaLink(const ReplicaLink &) = delete;
    ReplicaLink &operator=(const ReplicaLink &) = delete;

    /** Sets the RPC address of @p member. Messages in transit to a former address are lost. */
    void setPeer(std::uint32_t member, const HostAddress &address);

    /** Sets the IP address that messages name as that of this host. */
    void setOwnIp(const std::string &ip) { this->ownIp = ip; }

    /**
     * Sets the address of a member whose slot has been given to another host. Messages to exactly
     * this member go there; at most 16 such addresses are kept.
     */
    void setFormerOwner(const MemberId &member, const HostAddress &address);

    /** Sends @p message to @p member. Returns false if it was dropped or the member is unknown. */
    bool send(std::uint32_t member, const std::string &message);
    /** As above, to the former owner of a slot if @p member is one. */
    bool send(const MemberId &member, const std::string &message);

    /** Bytes sent and received so far on all connections. */
    const ByteCounters &bytes() const { return *this->counters; }

    /** Number of messages for which send() returned false. */
    std::uint64_t droppedCount() const { return this->dropped; }

private:
    struct Peer;

    bool send(Peer &peer, const std::string &message);

    EventLoop &loop;
    std::string group;
    std::uint32_t ownMember;
    std::string ownIp;
    std::shared_ptr<ByteCounters> counters;
    std::uint64_t dropped = 0;
    std::map<std::uint32_t, std::unique_ptr<Peer>> peers;
    std::map<MemberId, std::unique_ptr<Peer>> formerOwners;
};

} // namespace cassiaroad
