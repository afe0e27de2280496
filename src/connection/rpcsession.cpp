#include "connection/rpcsession.h"

namespace cassiaroad {

RpcSession::RpcSession(EventLoop &loop, const HostAddress &address, Milliseconds connectTimeout,
                       std::shared_ptr<ByteCounters> counters)
    : connected(RpcStream::connect(loop, address, connectTimeout, std::move(counters))
                        .then(
                                [this](kj::Own<RpcStream> &&stream) {
                                    this->stream = kj::mv(stream);
                                    this->client = kj::heap<capnp::TwoPartyClient>(*this->stream);
                                    // The client reads from the connection, and so notices its end,
                                    // only once a capability was requested.
                                    this->bootstrap
                                            = this->client->bootstrap().castAs<rpc::Member>();
                                    this->watchDisconnect();
                                },
                                [this](kj::Exception &&exception) {
                                    this->closed = true;
                                    kj::throwFatalException(kj::mv(exception));
                                })
                        .fork())
{ }

void RpcSession::watchDisconnect()
{
    this->disconnectWatch
            = this->client->onDisconnect()
                      .then([this] { this->closed = true; })
                      .eagerlyEvaluate([this](const kj::Exception &) { this->closed = true; });
}

bool RpcSession::isClosed() const
{
    return this->closed || (this->isConnected() && this->stream->isClosed());
}

TimePoint RpcSession::lastReceived() const
{
    return this->isConnected() ? this->stream->lastReceived() : TimePoint {};
}

rpc::Member::Client RpcSession::member()
{
    KJ_REQUIRE(this->isConnected(), "the session is not connected");
    // Cap'n Proto terminates the process if a call is made after the connection has ended.
    if (this->isClosed()) {
        kj::throwFatalException(KJ_EXCEPTION(OVERLOADED, "the connection has ended"));
    }
    return KJ_ASSERT_NONNULL(this->bootstrap);
}

void RpcSession::close(const std::string &reason)
{
    this->closed = true;
    if (this->isConnected()) {
        this->stream->close(reason);
    }
}

} // namespace cassiaroad
