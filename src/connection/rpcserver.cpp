#include "connection/rpcserver.h"

#include "connection/listensocket.h"

#include <netinet/in.h>

#include <capnp/rpc-twoparty.h>
#include <h2o.h>

namespace cassiaroad {

namespace {

constexpr Milliseconds cleanUpInterval { 200 };
constexpr int backlog = 128;

} // namespace

/** Connection of one client. Destroying it ends the RPC session and closes the socket. */
class RpcServer::Connection
{
public:
    Connection(EventLoop &loop, h2o_socket_t *socket, std::shared_ptr<ByteCounters> counters,
               capnp::Capability::Client bootstrap)
        : stream(loop, socket, std::move(counters))
        , network(this->stream, capnp::rpc::twoparty::Side::SERVER)
        , system(capnp::makeRpcServer(this->network, kj::mv(bootstrap)))
        , disconnectWatch(this->network.onDisconnect()
                                  .then([this] { this->disconnected = true; })
                                  .eagerlyEvaluate([this](const kj::Exception &) {
                                      this->disconnected = true;
                                  }))
    { }

    bool isClosed() const { return this->disconnected || this->stream.isClosed(); }
    TimePoint lastReceived() const { return this->stream.lastReceived(); }

private:
    RpcStream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
    bool disconnected = false;
    kj::Promise<void> disconnectWatch;
};

RpcServer::RpcServer(EventLoop &loop, RpcServerLimits limits, capnp::Capability::Client bootstrap)
    : loop(loop)
    , limits(limits)
    , bootstrap(kj::mv(bootstrap))
    , counters(std::make_shared<ByteCounters>())
    , cleanUpTimer(loop.callEvery(cleanUpInterval, [this] { this->removeClosed(); }))
{ }

RpcServer::~RpcServer()
{
    if (this->listener != nullptr) {
        h2o_socket_close(this->listener);
    }
}

std::string RpcServer::listen(const HostAddress &address)
{
    const std::variant<int, ListenError> opened = openListener(address, backlog);
    if (const auto *error = std::get_if<ListenError>(&opened)) {
        return error->reason;
    }
    this->listener = h2o_evloop_socket_create(this->loop.h2oLoop(), std::get<int>(opened),
                                              H2O_SOCKET_FLAG_DONT_READ);
    this->listener->data = this;
    h2o_socket_read_start(this->listener, &RpcServer::onAcceptable);
    return {};
}

std::uint16_t RpcServer::port() const
{
    if (this->listener == nullptr) {
        return 0;
    }
    sockaddr_storage storage {};
    h2o_socket_getsockname(this->listener, reinterpret_cast<sockaddr *>(&storage));
    return static_cast<std::uint16_t>(h2o_socket_getport(reinterpret_cast<sockaddr *>(&storage)));
}

void RpcServer::onAcceptable(h2o_socket_t *listener, const char *error)
{
    if (error != nullptr) {
        return;
    }
    auto *self = static_cast<RpcServer *>(listener->data);
    while (h2o_socket_t *socket = h2o_evloop_socket_accept(listener)) {
        self->accept(socket);
    }
}

void RpcServer::accept(h2o_socket_t *socket)
{
    if (this->connections.size() >= this->limits.maxConnections) {
        this->removeClosed();
    }
    if (this->connections.size() >= this->limits.maxConnections) {
        h2o_socket_close(socket);
        return;
    }
    ++this->accepted;
    this->connections.push_back(
            std::make_unique<Connection>(this->loop, socket, this->counters, this->bootstrap));
}

void RpcServer::removeClosed()
{
    const TimePoint oldest = this->loop.now() - this->limits.idleTimeout;
    std::erase_if(this->connections, [oldest](const std::unique_ptr<Connection> &connection) {
        return connection->isClosed() || connection->lastReceived() < oldest;
    });
}

} // namespace cassiaroad
