#include "connection/requestreader.h"

#include "connection/requesthead.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <optional>
#include <utility>

#include <sys/socket.h>

#include <h2o.h>

namespace cassiaroad {

namespace {

// Bytes that one connection reads at most before others get their turn.
constexpr std::size_t maxReadBytes = std::size_t(256) * 1024;
constexpr std::size_t pieceBytes = std::size_t(64) * 1024; // of a body
// Size of h2o's first buffer of a connection. A request that fits into it is not counted.
constexpr std::size_t headPieceBytes = 4096;
// While a small body of unknown length grows, its bytes are copied to a buffer of twice the size.
constexpr std::size_t unknownLengthFactor = 2;
constexpr Milliseconds waitCheckInterval { 50 };
constexpr Milliseconds takeOverInterval { 1 };
constexpr int bodyTooLarge = 413;
constexpr int headersTooLarge = 431;
constexpr int unavailable = 503;

std::string_view inputOf(const ServerConnection &connection)
{
    return { connection.socket->input->bytes, connection.socket->input->size };
}

// Bytes to read next from a connection; not beyond a body of a known length.
std::size_t nextPieceSize(const ServerConnection &connection)
{
    const std::size_t held = connection.socket->input->size;
    if (connection.expectedBytes > held) {
        return std::min(pieceBytes, connection.expectedBytes - held);
    }
    return connection.isLengthUnknown ? pieceBytes : headPieceBytes;
}

// Bytes to reserve for a request of at least @p size bytes; all of it if the length is known.
std::size_t reservationFor(const ServerConnection &connection, std::size_t size)
{
    const bool isCopied = connection.isLengthUnknown && size <= RequestMemory::smallRequestBytes;
    return std::max(isCopied ? size * unknownLengthFactor : size, connection.expectedBytes);
}

// Bytes that the requests of @p connection hold once the next piece has arrived.
std::size_t sizeWithNextPiece(const ServerConnection &connection)
{
    const std::size_t next = inputOf(connection).size() + nextPieceSize(connection);
    return connection.http2 ? connection.http2->heldBytes() + next : next;
}

// Bytes that a request that waits for memory must reserve to be read further.
std::size_t sizeOfWaiting(const ServerConnection &connection)
{
    return std::max(connection.expectedBytes, sizeWithNextPiece(connection));
}

// Moves the input of a connection to a buffer of its own size. h2o keeps the buffer of a large
// request for as long as it holds bytes that follow the request.
void shrinkInput(h2o_socket_t &socket)
{
    h2o_buffer_t *large = socket.input;
    if (large->size == 0 || large->capacity <= large->size + pieceBytes) {
        return;
    }
    h2o_buffer_t *small = nullptr;
    h2o_buffer_init(&small, &h2o_socket_buffer_prototype);
    const h2o_iovec_t space = h2o_buffer_reserve(&small, large->size);
    std::memcpy(space.base, large->bytes, large->size);
    small->size = large->size;
    socket.input = small;
    h2o_buffer_dispose(&large);
}

} // namespace

RequestReader::RequestReader(EventLoop &loop, h2o_globalconf_t &config, Limits limits,
                             Handlers handlers)
    : loop(loop)
    , config(config)
    , limits(limits)
    , handlers(std::move(handlers))
    , memory(limits.maxBytes, limits.maxLargestBytes)
{ }

// h2o compares its limit with a chunked body, the head before it and, twice, the piece that was
// read last.
std::size_t RequestReader::bodySlack(std::size_t maxHeadBytes)
{
    return maxHeadBytes + 2 * pieceBytes;
}

void RequestReader::start(ServerConnection &connection)
{
    connection.reader = this;
    h2o_socket_dont_read(connection.socket, 1);
    takeOver(connection);
    connection.http1Callback = connection.readCallback;
}

bool RequestReader::takeOver(ServerConnection &connection)
{
    // An open HTTP/1.1 request has its own callback, which watches for the end of the stream.
    if (connection.socket == nullptr || connection.socket->_cb.read == nullptr
        || connection.watchedExchange != nullptr) {
        return false;
    }
    if (connection.socket->_cb.read != &RequestReader::onReadable) {
        connection.readCallback = connection.socket->_cb.read;
        connection.socket->_cb.read = &RequestReader::onReadable;
    }
    return true;
}

void RequestReader::onReadable(h2o_socket_t *socket, const char *error)
{
    auto *connection = static_cast<ServerConnection *>(socket->on_close.data);
    if (error != nullptr) {
        deliver(*connection, error);
        return;
    }
    connection->reader->read(*connection);
}

void RequestReader::read(ServerConnection &connection)
{
    const std::shared_ptr<ServerConnection> keepAlive = connection.shared_from_this();
    std::size_t total = 0;
    while (total < maxReadBytes && this->readPiece(connection, total)) { }
}

bool RequestReader::readPiece(ServerConnection &connection, std::size_t &total)
{
    h2o_socket_t *socket = connection.socket;
    const std::size_t wanted = nextPieceSize(connection);
    if (!this->reserve(connection, sizeWithNextPiece(connection))) {
        this->pause(connection);
        return false;
    }
    const h2o_iovec_t space = h2o_buffer_reserve(&socket->input, wanted);
    const std::size_t size = std::min(space.len, wanted);
    const ssize_t count = recv(h2o_socket_get_fd(socket), space.base, size, MSG_DONTWAIT);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return false;
    }
    if (count <= 0) {
        deliver(connection, count == 0 ? h2o_socket_error_closed : h2o_socket_error_io);
        return false;
    }
    socket->input->size += static_cast<std::size_t>(count);
    this->noteBytes(connection, static_cast<std::size_t>(count));
    socket->bytes_read = static_cast<std::size_t>(count);
    total += static_cast<std::size_t>(count);
    return deliver(connection, nullptr) && this->checkIncomplete(connection)
           && static_cast<std::size_t>(count) == size;
}

// The head of an HTTP/1.1 request begins to arrive, or HTTP/2 has frames, also of a body that h2o
// has not handed on yet: its connection is not idle.
void RequestReader::noteBytes(ServerConnection &connection, std::size_t size)
{
    const TimePoint now = this->loop.now();
    connection.receivedAt = now;
    const std::string_view input = inputOf(connection);
    if (connection.http2) {
        connection.http2->receive(input.substr(input.size() - size));
    } else if (!connection.hasSentRequest && Http2Streams::isPreface(input)) {
        connection.http2 = std::make_unique<Http2Streams>();
        connection.http2->receive(input);
    }
    if (connection.readCallback != connection.http1Callback) {
        connection.idleSince = now;
    } else if (!connection.receiving) {
        connection.receiving = true;
        connection.receivingSince = now;
    }
}

bool RequestReader::deliver(ServerConnection &connection, const char *error)
{
    const std::shared_ptr<ServerConnection> keepAlive = connection.shared_from_this();
    // A change of the protocol later on a connection would not be seen.
    connection.reader->config.http1.upgrade_to_http2 = connection.http2 ? 1 : 0;
    connection.readCallback(connection.socket, error);
    connection.reader->config.http1.upgrade_to_http2 = 0;
    if (takeOver(connection)) {
        connection.reader->resizeHttp2(connection);
        return true;
    }
    // h2o may read again without the end of a request, such as after "100 Continue".
    if (connection.socket != nullptr && connection.openExchanges == 0) {
        connection.reader->onRequestEnded(connection);
    }
    return false;
}

void RequestReader::end(ServerConnection &connection)
{
    deliver(connection, h2o_socket_error_closed);
}

bool RequestReader::checkIncomplete(ServerConnection &connection)
{
    const std::string_view input = inputOf(connection);
    const bool isHttp1 = connection.readCallback == connection.http1Callback;
    if (!isHttp1 || input.empty() || connection.expectedBytes > 0) {
        return true;
    }
    if (connection.isLengthUnknown) {
        return this->checkUnknownLength(connection);
    }
    const std::size_t headSize = findHeadEnd(input.substr(0, this->limits.maxHeadBytes));
    if (headSize == 0) {
        if (input.size() <= this->limits.maxHeadBytes) {
            return true;
        }
        this->handlers.refuse(connection, headersTooLarge);
        return false;
    }
    this->noteHead(connection);
    const std::optional<std::uint64_t> length = contentLength(input.substr(0, headSize));
    connection.isLengthUnknown = !length;
    connection.headBytes = headSize;
    if (!length) {
        return this->checkUnknownLength(connection);
    }
    if (*length > this->limits.maxBodyBytes) {
        this->handlers.refuse(connection, bodyTooLarge);
        return false;
    }
    connection.expectedBytes = headSize + *length;
    if (!this->memory.canFit(connection.expectedBytes)) {
        this->handlers.refuse(connection, unavailable);
        return false;
    }
    return true;
}

// Refuses a chunked body, which h2o decodes in the input, once it is too large. Returns whether the
// connection is read further.
bool RequestReader::checkUnknownLength(ServerConnection &connection)
{
    if (inputOf(connection).size() <= connection.headBytes + this->limits.maxBodyBytes) {
        return true;
    }
    this->handlers.refuse(connection, bodyTooLarge);
    return false;
}

// Reserves memory for a request of at least @p size bytes.
bool RequestReader::reserve(ServerConnection &connection, std::size_t size)
{
    const std::size_t target = reservationFor(connection, size);
    if (target <= std::max(connection.reservedBytes, headPieceBytes)) {
        return true;
    }
    if (!this->record(connection, target)) {
        return false;
    }
    connection.reservedBytes = target;
    this->reserveBuffer(connection);
    return true;
}

// Records in the memory that the request of @p connection grows to @p size bytes.
bool RequestReader::record(ServerConnection &connection, std::size_t size)
{
    if (connection.isHeldApart) {
        return this->memory.resizeApart(size);
    }
    if (this->memory.resize(connection.reservedBytes, size)) {
        return true;
    }
    if (!this->memory.isTooLarge(size) || !this->memory.holdApart(connection.reservedBytes, size)) {
        return false;
    }
    if (!this->handlers.mayHoldLargest()) {
        this->memory.endApart(connection.reservedBytes);
        return false;
    }
    connection.isHeldApart = true;
    this->largest = &connection;
    ++this->largestCount;
    return true;
}

// Gives a request a buffer of its final size, since growing would copy it. That of an unknown
// length may be as large as the limit; pages that are not written to take no memory.
void RequestReader::reserveBuffer(ServerConnection &connection) const
{
    const std::size_t held = inputOf(connection).size();
    const bool isLargeUnknown = connection.isLengthUnknown
                                && connection.reservedBytes > RequestMemory::smallRequestBytes;
    const std::size_t size
            = isLargeUnknown ? this->limits.maxBodyBytes + bodySlack(this->limits.maxHeadBytes)
                             : connection.expectedBytes;
    if (size > held) {
        h2o_buffer_reserve(&connection.socket->input, size - held);
    }
}

// Lowers the reservation of an HTTP/2 connection to what its streams hold.
void RequestReader::resizeHttp2(ServerConnection &connection)
{
    if (!connection.http2) {
        return;
    }
    const std::size_t held = connection.http2->heldBytes();
    // Each release looks for requests that can continue, so small ones are put off.
    if (held + pieceBytes < connection.reservedBytes || held == 0) {
        this->release(connection, held);
    }
}

void RequestReader::onStreamEnded(ServerConnection &connection, std::uint32_t stream)
{
    connection.http2->end(stream);
    this->onRequestEnded(connection);
}

void RequestReader::pause(ServerConnection &connection)
{
    h2o_socket_read_stop(connection.socket);
    connection.waitingSince = this->loop.now();
    if (this->waiting.empty()) {
        this->waitTimer = this->loop.callEvery(waitCheckInterval, [this] { this->checkWaiting(); });
    }
    this->waiting.push_back(connection.shared_from_this());
}

// Lets waiting requests continue that fit now, smaller ones first: many large bodies at once would
// keep each smaller one waiting until it is refused.
void RequestReader::resumeWaiting()
{
    this->waiting.sort([](const auto &left, const auto &right) {
        return sizeOfWaiting(*left) < sizeOfWaiting(*right);
    });
    while (!this->waiting.empty()) {
        const std::shared_ptr<ServerConnection> connection = this->waiting.front();
        if (!this->reserve(*connection, sizeOfWaiting(*connection))) {
            return;
        }
        this->waiting.pop_front();
        connection->waitingSince.reset();
        h2o_socket_read_start(connection->socket, &RequestReader::onReadable);
    }
}

void RequestReader::checkWaiting()
{
    const TimePoint oldest = this->loop.now() - this->limits.maxWait;
    const Connections snapshot = this->waiting; // a refusal may let others continue
    for (const std::shared_ptr<ServerConnection> &connection : snapshot) {
        if (connection->socket != nullptr && connection->waitingSince
            && connection->waitingSince < oldest && connection->openExchanges == 0) {
            this->waiting.remove(connection);
            this->handlers.refuse(*connection, unavailable);
        }
    }
    this->resumeWaiting();
    if (!this->waiting.empty()) {
        const ServerConnection &first = *this->waiting.front();
        this->handlers.makeRoom(this->memory.missingFor(reservationFor(first, sizeOfWaiting(first)),
                                                        first.reservedBytes));
    }
    if (this->waiting.empty()) {
        this->waitTimer = {};
    }
}

void RequestReader::onRequestEnded(ServerConnection &connection)
{
    if (this->ended.empty()) {
        this->endedTimer = this->loop.callAfter({}, [this] { this->takeOverEnded(); });
    }
    this->ended.push_back(connection.shared_from_this());
}

// Takes over the connections from which h2o reads again, once h2o has removed the ended request
// from their input.
void RequestReader::takeOverEnded()
{
    Connections connections;
    connections.swap(this->ended);
    for (const std::shared_ptr<ServerConnection> &connection : connections) {
        if (connection->socket == nullptr || connection->watchedExchange != nullptr) {
            continue;
        }
        const bool isRead = takeOver(*connection);
        if (connection->http2) {
            this->resizeHttp2(*connection);
            continue;
        }
        if (connection->openExchanges > 0) {
            continue; // a pipelined request, which ends later
        }
        if (isRead) {
            shrinkInput(*connection->socket);
            this->release(*connection, inputOf(*connection).size());
            this->noteHead(*connection);
        } else {
            this->ended.push_back(connection); // h2o still writes
        }
    }
    if (!this->ended.empty()) {
        this->endedTimer
                = this->loop.callAfter(takeOverInterval, [this] { this->takeOverEnded(); });
    }
}

// Notes that the head of a pipelined request arrived with the request before it.
void RequestReader::noteHead(ServerConnection &connection)
{
    const std::string_view input = inputOf(connection);
    if (connection.readCallback == connection.http1Callback && !connection.headArrivedAt
        && findHeadEnd(input.substr(0, this->limits.maxHeadBytes)) > 0) {
        connection.headArrivedAt = this->loop.now();
    }
}

// Lowers the reservation of a connection to @p size bytes.
void RequestReader::release(ServerConnection &connection, std::size_t size)
{
    const std::size_t held = std::min(size <= headPieceBytes ? 0 : size, connection.reservedBytes);
    const bool hasReleased = held < connection.reservedBytes;
    if (std::exchange(connection.isHeldApart, false)) {
        this->memory.endApart(held);
        this->largest = nullptr;
        this->handlers.onLargestEnded();
    } else {
        this->memory.resize(connection.reservedBytes, held);
    }
    connection.reservedBytes = held;
    connection.expectedBytes = 0;
    connection.headBytes = 0;
    connection.isLengthUnknown = false;
    if (hasReleased) {
        this->resumeWaiting();
    }
}

void RequestReader::releaseResponse(std::size_t size)
{
    this->memory.resize(size, 0);
    this->resumeWaiting();
}

void RequestReader::onClosed(ServerConnection &connection)
{
    const std::shared_ptr<ServerConnection> closed = connection.shared_from_this();
    this->waiting.remove(closed);
    this->ended.remove(closed);
    this->release(connection, 0);
}

} // namespace cassiaroad
