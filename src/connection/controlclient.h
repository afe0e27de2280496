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
 * RPC client of an entry host for the control group of its region. Searches the members for the
 * leader, switches to a new leader, and replaces connections that make no progress. A call resolves
 * with the leader's reply, or is rejected if no leader replied within its timeout; a rejected call
 * may have been executed. Destroying the client rejects its calls. Loop thread only.
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

    /**
     * Calls of the `Control` interface in the schema. @p fill writes the request in place and is
     * called again for each attempt. A call is repeated until the leader replies or @p timeout
     * passes; begin() is not repeated once it may have been executed.
     */
    kj::Promise<WatchReply> watch(std::function<void(rpc::WatchRequest::Builder)> fill,
                                  Milliseconds timeout);
    kj::Promise<AnnounceReply> announce(std::function<void(rpc::AnnounceRequest::Builder)> fill,
                                        Milliseconds timeout);
    kj::Promise<BeginReply> begin(std::function<void(rpc::BeginRequest::Builder)> fill,
                                  Milliseconds timeout);
    kj::Promise<FinishReply> finish(std::function<void(rpc::FinishRequest::Builder)> fill,
                                    Milliseconds timeout);

    /** Bytes sent to all members so far, for metrics. */
    std::uint64_t bytesSent() const;
    /** Bytes received from all members so far, for metrics. */
    std::uint64_t bytesReceived() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace cassiaroad
