#pragma once

#include "connection/rpcstream.h"
#include "schema/cassiaroad.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/refcount.h>

namespace cassiaroad {

/** One connection to a control member, from its start to its end. Loop thread only. */
class RpcSession : public kj::Refcounted
{
public:
    RpcSession(EventLoop &loop, const HostAddress &address, Milliseconds connectTimeout,
               std::shared_ptr<ByteCounters> counters);

    /** Resolves once connected. The promise must not outlive the session. */
    kj::Promise<void> whenConnected() { return this->connected.addBranch(); }

    bool isConnected() const { return this->client.get() != nullptr; }
    bool isClosed() const;

    /**
     * Capability of the member; throws a kj::Exception if the connection has ended. Precondition:
     * isConnected().
     */
    rpc::Member::Client member();

    /** Closes the connection; calls in progress are rejected. */
    void close(const std::string &reason);

private:
    void watchEnd();

    bool closed = false;
    kj::Own<RpcStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
    kj::Promise<void> ended { nullptr };
    kj::ForkedPromise<void> connected;
};

} // namespace cassiaroad
