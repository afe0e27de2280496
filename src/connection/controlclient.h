#pragma once

#include "process/eventloop.h"
#include "process/settings.h"
#include "schema/cassiaroad.capnp.h"

#include <functional>
#include <memory>
#include <vector>

#include <capnp/message.h>

namespace cassiaroad {

/**
 * Connection of an entry host to the control group of its region. Finds the leader among the
 * members, follows it, and replaces connections that make no progress. All methods: loop thread
 * only. A call resolves with the leader's reply, or is rejected when no leader answered within its
 * timeout; a rejected call may have been executed.
 */
class ControlClient
{
public:
    /** @p members are the RPC addresses of the group's members. */
    ControlClient(EventLoop &loop, const std::vector<HostAddress> &members);
    ~ControlClient();
    ControlClient(const ControlClient &) = delete;
    ControlClient &operator=(const ControlClient &) = delete;

    using WatchReply = capnp::Response<rpc::Control::WatchResults>;
    using AnnounceReply = capnp::Response<rpc::Control::AnnounceResults>;
    using BeginReply = capnp::Response<rpc::Control::BeginResults>;
    using FinishReply = capnp::Response<rpc::Control::FinishResults>;

    /** Each @p fill writes the request in place; it may be called once per attempt. */
    kj::Promise<WatchReply> watch(std::function<void(rpc::WatchRequest::Builder)> fill,
                                  Milliseconds timeout);
    kj::Promise<AnnounceReply> announce(std::function<void(rpc::AnnounceRequest::Builder)> fill,
                                        Milliseconds timeout);
    kj::Promise<BeginReply> begin(std::function<void(rpc::BeginRequest::Builder)> fill,
                                  Milliseconds timeout);
    kj::Promise<FinishReply> finish(std::function<void(rpc::FinishRequest::Builder)> fill,
                                    Milliseconds timeout);

    /** Bytes sent and received so far over connections to members, for metrics. */
    std::uint64_t bytesSent() const;
    std::uint64_t bytesReceived() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace cassiaroad
