#pragma once

#include "connection/rpcdelay.h"
#include "connection/rpcsession.h"

#include <utility>

namespace cassiaroad {

/**
 * Reconnecting RPC connection to one control member. A call that gets no reply within its timeout
 * closes the connection, because an intermediary may no longer track it; the next call opens a new
 * one. Loop thread only.
 */
class RpcConnection
{
public:
    RpcConnection(EventLoop &loop, HostAddress address, Milliseconds connectTimeout,
                  std::shared_ptr<ByteCounters> counters);

    /**
     * Calls the member: @p send gets the member's capability and returns a promise of the reply. A
     * failed call is rejected with type OVERLOADED if it was not sent, and otherwise with another
     * type; such a call may have been executed. The returned promise may outlive this object.
     */
    template <typename Reply, typename Send>
    kj::Promise<Reply> call(Milliseconds timeout, Send &&send)
    {
        return this->call<Reply>(timeout, timeout, std::forward<Send>(send));
    }

    /**
     * As above. The call fails if the connection is not open after @p maxConnectWait, but the
     * attempt to open it continues until the connect timeout, for the next call: on a full link a
     * new attempt would take as long again.
     */
    template <typename Reply, typename Send>
    kj::Promise<Reply> call(Milliseconds timeout, Milliseconds maxConnectWait, Send &&send)
    {
        kj::Own<RpcSession> session = this->openSession();
        RpcSession *current = session.get();
        kj::Promise<Reply> reply = this->waitForConnection(*current, maxConnectWait)
                                           .then([current, send = std::forward<Send>(send)]() {
                                               return kj::Promise<Reply>(send(current->member()));
                                           });
        kj::Promise<Reply> timedOut = rpcDelay(this->loop, timeout).then([current] {
            return kj::Promise<Reply>(closeAfterTimeout(*current));
        });
        return reply.exclusiveJoin(kj::mv(timedOut)).attach(kj::mv(session));
    }

    /** Address of the member. */
    const HostAddress &peer() const { return this->address; }

private:
    /** Returns the present session, or starts a new one if there is none or it has ended. */
    kj::Own<RpcSession> openSession();
    /**
     * Resolves when @p session is connected; rejects with type OVERLOADED if that fails or takes
     * longer than @p maxWait.
     */
    kj::Promise<void> waitForConnection(RpcSession &session, Milliseconds maxWait);
    /** Closes @p session and returns the exception for the call that timed out. */
    static kj::Exception closeAfterTimeout(RpcSession &session);

    EventLoop &loop;
    HostAddress address;
    Milliseconds connectTimeout;
    std::shared_ptr<ByteCounters> counters;
    kj::Own<RpcSession> session;
};

} // namespace cassiaroad
