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
    /** @p connectTimeout is how long an attempt to connect lasts, whatever the calls wait for. */
    RpcConnection(EventLoop &loop, HostAddress address, Milliseconds connectTimeout,
                  std::shared_ptr<ByteCounters> counters);

    /** How long the parts of a call may take. */
    struct Timeouts
    {
        Milliseconds connect; // until the connection is open
        Milliseconds reply; // from then to the reply
    };

    /**
     * Calls the member: @p send gets the member's capability and returns a promise of the reply. A
     * failed call is rejected with type OVERLOADED if it was not sent, and otherwise with another
     * type; such a call may have been executed. A call without a reply closes the connection. One
     * that gets no connection in time does not end the attempt to open it, which continues for the
     * next call: on a full link a new attempt would take as long again. The returned promise may
     * outlive this object.
     */
    template <typename Reply, typename Send>
    kj::Promise<Reply> call(Timeouts timeouts, Send &&send)
    {
        return this->call<Reply>(
                timeouts.connect, [reply = timeouts.reply] { return reply; },
                std::forward<Send>(send));
    }

    /**
     * As above. The call waits for @p connectWait until the connection is open; then @p
     * replyTimeout is called and returns how long it waits for the reply.
     */
    template <typename Reply, typename ReplyTimeout, typename Send>
    kj::Promise<Reply> call(Milliseconds connectWait, ReplyTimeout &&replyTimeout, Send &&send)
    {
        kj::Own<RpcSession> session = this->openSession();
        RpcSession *current = session.get();
        return this->waitForConnection(*current, connectWait)
                .then([&loop = this->loop, replyTimeout = std::forward<ReplyTimeout>(replyTimeout),
                       current, send = std::forward<Send>(send)]() -> kj::Promise<Reply> {
                    kj::Promise<Reply> timedOut = rpcDelay(loop, replyTimeout()).then([current] {
                        return kj::Promise<Reply>(closeAfterTimeout(*current));
                    });
                    return kj::Promise<Reply>(send(current->member()))
                            .exclusiveJoin(kj::mv(timedOut));
                })
                .attach(kj::mv(session));
    }

    /** Closes the connection; calls in progress are rejected. A later call opens a new one. */
    void close(const std::string &reason);

    /** Whether the connection is open, so that a call does not wait for one. */
    bool isOpen() const;

    /** Time of the last byte on the present connection; the origin of time without one. */
    TimePoint lastReceived() const;

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
