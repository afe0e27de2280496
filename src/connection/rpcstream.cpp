#include "connection/rpcstream.h"

#include "connection/socketaddress.h"

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

#include <sys/socket.h>

#include <h2o.h>
#include <kj/debug.h>

namespace cassiaroad {

namespace {

kj::Exception disconnectedException(const std::string &reason)
{
    return { kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::heapString(reason) };
}

// Interval at which a further attempt to connect begins while the earlier ones continue. The system
// repeats a lost first packet only after a second or more.
constexpr Milliseconds attemptInterval { 300 };
// Bytes that a connection receives at most before others get their turn.
constexpr std::size_t maxReadBytes = std::size_t(256) * 1024;

/**
 * Attempts to connect; the first that succeeds is used. Closes the other sockets, and all of them
 * if the promise is destroyed.
 */
class ConnectAdapter
{
public:
    ConnectAdapter(kj::PromiseFulfiller<kj::Own<RpcStream>> &fulfiller, EventLoop &loop,
                   const HostAddress &address, Milliseconds timeout,
                   std::shared_ptr<ByteCounters> counters)
        : fulfiller(fulfiller)
        , loop(loop)
        , address(address)
        , counters(std::move(counters))
        , timeoutTimer(loop.callAfter(timeout, [this] { this->fail("connect timed out"); }))
        , attemptTimer(loop.callEvery(attemptInterval, [this] { this->attempt(); }))
    {
        this->attempt();
    }

    ~ConnectAdapter() { this->end(); }

    ConnectAdapter(const ConnectAdapter &) = delete;
    ConnectAdapter &operator=(const ConnectAdapter &) = delete;

private:
    void attempt()
    {
        SocketAddress socketAddress = toSocketAddress(this->address);
        h2o_socket_t *socket = nullptr;
        if (socketAddress.length > 0) {
            socket = h2o_socket_connect(this->loop.h2oLoop(), socketAddress.data(),
                                        socketAddress.length, &ConnectAdapter::onConnected);
        }
        if (socket == nullptr) {
            this->fail("cannot connect");
            return;
        }
        socket->data = this;
        this->sockets.push_back(socket);
    }

    static void onConnected(h2o_socket_t *socket, const char *error)
    {
        auto *self = static_cast<ConnectAdapter *>(socket->data);
        if (error != nullptr) {
            self->fail(error);
            return;
        }
        std::erase(self->sockets, socket);
        self->end();
        self->fulfiller.fulfill(kj::heap<RpcStream>(self->loop, socket, self->counters));
    }

    void fail(const std::string &reason)
    {
        this->end();
        this->fulfiller.reject(disconnectedException(this->address.toString() + ": " + reason));
    }

    // Ends the attempts that have not succeeded.
    void end()
    {
        this->timeoutTimer = EventLoop::Timer();
        this->attemptTimer = EventLoop::Timer();
        for (h2o_socket_t *socket : std::exchange(this->sockets, {})) {
            h2o_socket_close(socket);
        }
    }

    kj::PromiseFulfiller<kj::Own<RpcStream>> &fulfiller;
    EventLoop &loop;
    HostAddress address;
    std::shared_ptr<ByteCounters> counters;
    EventLoop::Timer timeoutTimer;
    EventLoop::Timer attemptTimer;
    std::vector<h2o_socket_t *> sockets; // of attempts in progress
};

} // namespace

/**
 * A read in progress. Unregisters itself when the promise is destroyed, since the caller's buffer
 * is not valid any longer.
 */
class RpcStream::PendingRead
{
public:
    PendingRead(kj::PromiseFulfiller<size_t> &fulfiller, RpcStream &stream, void *buffer,
                size_t minBytes, size_t maxBytes)
        : fulfiller(fulfiller)
        , stream(stream)
        , buffer(static_cast<char *>(buffer))
        , minBytes(minBytes)
        , maxBytes(maxBytes)
    {
        stream.pendingRead = this;
        this->advance();
        if (stream.pendingRead == this) {
            h2o_socket_read_start(stream.socket, &RpcStream::onReadable);
        }
    }

    ~PendingRead() { this->unregister(); }
    PendingRead(const PendingRead &) = delete;
    PendingRead &operator=(const PendingRead &) = delete;

    /**
     * Receives bytes into the buffer. Resolves if at least minBytes are there or the peer has
     * ended its stream; rejects if the connection is closed.
     */
    void advance()
    {
        std::size_t count = 0;
        do {
            count = this->stream.receive(this->buffer + this->filled,
                                         this->maxBytes - this->filled);
            this->filled += count;
        } while (count > 0 && this->filled < this->minBytes);
        if (this->filled >= this->minBytes || this->stream.endOfInput) {
            this->unregister();
            this->fulfiller.fulfill(size_t(this->filled));
        } else if (this->stream.isClosed()) {
            this->reject(disconnectedException("connection is closed"));
        }
    }

    void reject(kj::Exception &&exception)
    {
        this->unregister();
        this->fulfiller.reject(kj::mv(exception));
    }

private:
    void unregister()
    {
        if (this->stream.pendingRead != this) {
            return;
        }
        this->stream.pendingRead = nullptr;
        if (this->stream.socket != nullptr) {
            h2o_socket_read_stop(this->stream.socket);
        }
    }

    kj::PromiseFulfiller<size_t> &fulfiller;
    RpcStream &stream;
    char *buffer;
    size_t minBytes;
    size_t maxBytes;
    size_t filled = 0;
};

/**
 * A write in progress. Destroying the promise closes the connection, because h2o still refers to
 * the caller's bytes.
 */
class RpcStream::PendingWrite
{
public:
    PendingWrite(kj::PromiseFulfiller<void> &fulfiller, RpcStream &stream,
                 std::vector<h2o_iovec_t> pieces)
        : fulfiller(fulfiller)
        , stream(stream)
    {
        if (stream.isClosed()) {
            fulfiller.reject(disconnectedException("connection is closed"));
            return;
        }
        stream.pendingWrite = this;
        h2o_socket_write(stream.socket, pieces.data(), pieces.size(), &RpcStream::onWritten);
    }

    ~PendingWrite()
    {
        if (this->stream.pendingWrite == this) {
            this->stream.pendingWrite = nullptr;
            this->stream.close("write was cancelled");
        }
    }

    PendingWrite(const PendingWrite &) = delete;
    PendingWrite &operator=(const PendingWrite &) = delete;

    void finish()
    {
        this->stream.pendingWrite = nullptr;
        this->fulfiller.fulfill();
    }

    void reject(kj::Exception &&exception)
    {
        this->stream.pendingWrite = nullptr;
        this->fulfiller.reject(kj::mv(exception));
    }

private:
    kj::PromiseFulfiller<void> &fulfiller;
    RpcStream &stream;
};

RpcStream::RpcStream(EventLoop &loop, h2o_socket_t *socket, std::shared_ptr<ByteCounters> counters)
    : loop(loop)
    , socket(socket)
    , counters(std::move(counters))
    , lastReceivedAt(loop.now())
{
    socket->data = this;
    // h2o would read all that arrives while the peer sends as fast as it reads.
    h2o_socket_dont_read(socket, 1);
    auto paf = kj::newPromiseAndFulfiller<void>();
    this->disconnected = kj::mv(paf.fulfiller);
    this->whenDisconnected = paf.promise.fork();
}

RpcStream::~RpcStream() noexcept(false)
{
    this->close("connection is closed");
}

kj::Promise<kj::Own<RpcStream>> RpcStream::connect(EventLoop &loop, const HostAddress &address,
                                                   Milliseconds timeout,
                                                   std::shared_ptr<ByteCounters> counters)
{
    return kj::newAdaptedPromise<kj::Own<RpcStream>, ConnectAdapter>(loop, address, timeout,
                                                                     std::move(counters));
}

kj::Promise<size_t> RpcStream::tryRead(void *buffer, size_t minBytes, size_t maxBytes)
{
    KJ_REQUIRE(this->pendingRead == nullptr, "a read is in progress");
    return kj::newAdaptedPromise<size_t, PendingRead>(*this, buffer, minBytes, maxBytes);
}

kj::Promise<void> RpcStream::write(const void *buffer, size_t size)
{
    const kj::ArrayPtr<const kj::byte> piece(static_cast<const kj::byte *>(buffer), size);
    return this->write(kj::arrayPtr(&piece, 1));
}

kj::Promise<void> RpcStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    KJ_REQUIRE(this->pendingWrite == nullptr, "a write is in progress");
    std::vector<h2o_iovec_t> vectors;
    vectors.reserve(pieces.size());
    for (const auto &piece : pieces) {
        if (piece.size() > 0) {
            vectors.push_back(h2o_iovec_init(piece.begin(), piece.size()));
            this->counters->sent += piece.size();
        }
    }
    return kj::newAdaptedPromise<void, PendingWrite>(*this, kj::mv(vectors));
}

kj::Promise<void> RpcStream::whenWriteDisconnected()
{
    return this->whenDisconnected.addBranch();
}

void RpcStream::shutdownWrite()
{
    if (this->socket != nullptr) {
        ::shutdown(h2o_socket_get_fd(this->socket), SHUT_WR);
    }
}

void RpcStream::abortRead()
{
    this->close("reading was aborted");
}

void RpcStream::close(const std::string &reason)
{
    this->closeSocket();
    if (this->pendingWrite != nullptr) {
        this->pendingWrite->reject(disconnectedException(reason));
    }
    if (this->pendingRead != nullptr) {
        this->pendingRead->reject(disconnectedException(reason));
    }
}

void RpcStream::closeSocket()
{
    if (this->socket == nullptr) {
        return;
    }
    h2o_socket_close(this->socket);
    this->socket = nullptr;
    this->disconnected->fulfill();
}

size_t RpcStream::receive(void *buffer, size_t size)
{
    const size_t wanted = std::min(size, this->readBudget);
    if (this->socket == nullptr || wanted == 0) {
        return 0;
    }
    const ssize_t count = recv(h2o_socket_get_fd(this->socket), buffer, wanted, MSG_DONTWAIT);
    if (count > 0) {
        this->readBudget -= static_cast<size_t>(count);
        this->counters->received += static_cast<size_t>(count);
        return static_cast<size_t>(count);
    }
    this->readBudget = 0;
    if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
        this->endInput(count == 0);
    }
    return 0;
}

void RpcStream::endInput(bool isEndOfStream)
{
    this->endOfInput = isEndOfStream;
    this->closeSocket();
    if (this->pendingWrite != nullptr) {
        this->pendingWrite->reject(disconnectedException("peer closed the connection"));
    }
}

void RpcStream::onReadable(h2o_socket_t *socket, const char *error)
{
    auto *self = static_cast<RpcStream *>(socket->data);
    self->lastReceivedAt = self->loop.now();
    self->readBudget = maxReadBytes;
    if (error != nullptr) {
        self->endInput(error == h2o_socket_error_closed);
    }
    if (self->pendingRead != nullptr) {
        self->pendingRead->advance();
    }
}

void RpcStream::onWritten(h2o_socket_t *socket, const char *error)
{
    auto *self = static_cast<RpcStream *>(socket->data);
    if (error != nullptr) {
        self->close(error);
    } else if (self->pendingWrite != nullptr) {
        self->pendingWrite->finish();
    }
}

} // namespace cassiaroad
