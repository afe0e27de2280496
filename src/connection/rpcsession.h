#pragma once

#include "connection/rpcstream.h"
#include "schema/cassiaroad.capnp.h"

#include <capnp/rpc-twoparty.h>
#include <kj/refcount.h>

namespace cassiaroad {

/**
 * One RPC connection to a control member. It is opened by the constructor and can't be opened again
 * after it has ended. Loop thread only.
 */
class RpcSession : public kj::Refcounted
{
public:
    RpcSession(EventLoop &loop, const HostAddress &address, Milliseconds connectTimeout,
               std::shared_ptr<ByteCounters> counters);

    /** Resolves once connected. The promise must not outlive the session. */
    kj::Promise<void> whenConnected() { return this->connected.addBranch(); }

    /** Whether the connection was established; stays true when it has ended. */
    bool isConnected() const { return this->bootstrap != nullptr; }
    /** Whether the connection has ended or could not be established. */
    bool isClosed() const;

    /**
     * Capability of the member; throws a kj::Exception if the connection has ended. Precondition:
     * isConnected().
     */
    rpc::Member::Client member();

    /** Time of the last received byte; the time of the connection if there was none yet. */
    TimePoint lastReceived() const;

    /** Closes the connection; calls in progress are rejected. */
    void close(const std::string &reason);

private:
    /** Marks the session as closed when the peer disconnects. */
    void watchDisconnect();

    bool closed = false;
    kj::Own<RpcStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
    kj::Maybe<rpc::Member::Client> bootstrap; // of the client; none before the connection is open
    kj::Promise<void> disconnectWatch { nullptr };
    kj::ForkedPromise<void> connected;
};

} // namespace cassiaroad
