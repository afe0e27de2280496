#pragma once

#include "process/eventloop.h"
#include "process/settings.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <kj/async-io.h>

typedef struct st_h2o_socket_t h2o_socket_t;

namespace cassiaroad {

/** Number of bytes transferred over a set of connections. */
struct ByteCounters
{
    std::uint64_t sent = 0;
    std::uint64_t received = 0;

    bool operator==(const ByteCounters &) const = default;
};

/**
 * Byte stream for Cap'n Proto RPC over a socket of h2o's loop. When the peer ends its stream, the
 * connection is closed, and pending and later writes are rejected. Loop thread only.
 */
class RpcStream : public kj::AsyncIoStream
{
public:
    /** Takes ownership of the connected @p socket; its bytes are added to @p counters. */
    RpcStream(EventLoop &loop, h2o_socket_t *socket, std::shared_ptr<ByteCounters> counters);
    ~RpcStream() noexcept(false);
    RpcStream(const RpcStream &) = delete;
    RpcStream &operator=(const RpcStream &) = delete;

    /** Connects to @p address; the promise is rejected on an error or after @p timeout. */
    static kj::Promise<kj::Own<RpcStream>> connect(EventLoop &loop, const HostAddress &address,
                                                   Milliseconds timeout,
                                                   std::shared_ptr<ByteCounters> counters);

    kj::Promise<size_t> tryRead(void *buffer, size_t minBytes, size_t maxBytes) override;
    kj::Promise<void> write(const void *buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;

    /** Closes the connection; pending reads and writes are rejected with @p reason. */
    void close(const std::string &reason);

    bool isClosed() const { return this->socket == nullptr; }

    /** Time of the last received byte; at first the time at which the stream was created. */
    TimePoint lastReceived() const { return this->lastReceivedAt; }

private:
    class PendingRead;
    class PendingWrite;

    static void onReadable(h2o_socket_t *socket, const char *error);
    static void onWritten(h2o_socket_t *socket, const char *error);
    /**
     * Receives up to @p size bytes of readBudget into @p buffer; returns their number. Closes the
     * connection at the end of the stream or on an error.
     */
    size_t receive(void *buffer, size_t size);
    void endInput(bool isEndOfStream);
    void closeSocket();

    EventLoop &loop;
    h2o_socket_t *socket; // null once closed
    std::shared_ptr<ByteCounters> counters;
    TimePoint lastReceivedAt;
    std::size_t readBudget = 0; // that may be received before the loop checks the socket again
    bool endOfInput = false; // the peer ended its stream
    PendingRead *pendingRead = nullptr;
    PendingWrite *pendingWrite = nullptr;
    kj::Own<kj::PromiseFulfiller<void>> disconnected; // of whenDisconnected
    kj::ForkedPromise<void> whenDisconnected = nullptr;
};

} // namespace cassiaroad
