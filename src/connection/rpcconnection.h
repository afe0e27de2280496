#pragma once

#include "connection/rpcdelay.h"
#include "connection/rpcsession.h"

#include <utility>

namespace cassiaroad {

/**
 * Connections to one control member, one at a time. A call that gets no reply within its bound
 * drops the connection, because something between the endpoints may no longer track it; the next
 * call opens a new one. Loop thread only.
 */
class RpcConnection
{
public:
    RpcConnection(EventLoop &loop, HostAddress address, Milliseconds connectTimeout,
                  std::shared_ptr<ByteCounters> counters);

    /**
     * Calls the member: @p send gets the member's capability and returns a promise of the reply.
     * The promise is rejected with type OVERLOADED if the call was not sent, and otherwise with
     * another type; such a call may have been executed. It may outlive this object.
     */
    template <typename Reply, typename Send>
    kj::Promise<Reply> call(Milliseconds bound, Send &&send)
    {
        kj::Own<RpcSession> session = this->openSession();
        RpcSession *current = session.get();
        kj::Promise<Reply> reply
                = this->connected(*current).then([current, send = std::forward<Send>(send)]() {
                      return kj::Promise<Reply>(send(current->member()));
                  });
        kj::Promise<Reply> silence = rpcDelay(this->loop, bound).then([current] {
            return kj::Promise<Reply>(closeSilent(*current));
        });
        return reply.exclusiveJoin(kj::mv(silence)).attach(kj::mv(session));
    }

    const HostAddress &peer() const { return this->address; }

private:
    kj::Own<RpcSession> openSession();
    static kj::Promise<void> connected(RpcSession &session);
    static kj::Exception closeSilent(RpcSession &session);

    EventLoop &loop;
    HostAddress address;
    Milliseconds connectTimeout;
    std::shared_ptr<ByteCounters> counters;
    kj::Own<RpcSession> session;
};

} // namespace cassiaroad
