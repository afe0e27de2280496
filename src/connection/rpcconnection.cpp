#include "connection/rpcconnection.h"

namespace cassiaroad {

RpcConnection::RpcConnection(EventLoop &loop, HostAddress address, Milliseconds connectTimeout,
                             std::shared_ptr<ByteCounters> counters)
    : loop(loop)
    , address(std::move(address))
    , connectTimeout(connectTimeout)
    , counters(std::move(counters))
{ }

kj::Own<RpcSession> RpcConnection::openSession()
{
    if (this->session.get() == nullptr || this->session->isClosed()) {
        this->session = kj::refcounted<RpcSession>(this->loop, this->address, this->connectTimeout,
                                                   this->counters);
    }
    return kj::addRef(*this->session);
}

void RpcConnection::close(const std::string &reason)
{
    if (this->session.get() != nullptr) {
        this->session->close(reason);
    }
}

bool RpcConnection::isOpen() const
{
    return this->session.get() != nullptr && this->session->isConnected()
           && !this->session->isClosed();
}

TimePoint RpcConnection::lastReceived() const
{
    return this->session.get() != nullptr ? this->session->lastReceived() : TimePoint {};
}

kj::Promise<void> RpcConnection::waitForConnection(RpcSession &session, Milliseconds maxWait)
{
    kj::Promise<void> connected = session.whenConnected().catch_([](kj::Exception &&exception) {
        kj::throwFatalException(kj::Exception(kj::Exception::Type::OVERLOADED, __FILE__, __LINE__,
                                              kj::str(exception.getDescription())));
    });
    if (session.isConnected() || maxWait >= this->connectTimeout) {
        return connected;
    }
    return connected.exclusiveJoin(
            rpcDelay(this->loop, maxWait).then([peer = this->address.toString()] {
                kj::throwFatalException(kj::Exception(kj::Exception::Type::OVERLOADED, __FILE__,
                                                      __LINE__,
                                                      kj::str(peer, ": not connected yet")));
            }));
}

kj::Exception RpcConnection::closeAfterTimeout(RpcSession &session)
{
    session.close("no reply within the bound of a call");
    return { kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__,
             kj::heapString("no reply within the bound of the call") };
}

} // namespace cassiaroad
