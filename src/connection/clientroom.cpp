#include "connection/clientroom.h"

#include <algorithm>
#include <vector>

#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <h2o.h>

namespace cassiaroad {

namespace {

// After a search for clients to disconnect that has found none. A search takes a system call for
// each connection with responses, and a client that does not read may send many requests.
constexpr Milliseconds searchInterval { 20 };

// Bytes that the client has acknowledged.
std::uint64_t acknowledgedBytes(h2o_socket_t *socket)
{
    tcp_info info {};
    socklen_t length = sizeof(info);
    getsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_INFO, &info, &length);
    return info.tcpi_bytes_acked;
}

} // namespace

ClientRoom::ClientRoom(EventLoop &loop, RequestMemory &memory, const Connections &connections,
                       Refuse refuse)
    : loop(loop)
    , memory(memory)
    , connections(connections)
    , refuse(std::move(refuse))
{ }

HeldResponses ClientRoom::heldResponses() const
{
    HeldResponses held;
    for (const std::shared_ptr<ServerConnection> &connection : this->connections) {
        held.bytes += connection->heldResponseBytes;
        held.connections += connection->heldResponseBytes > 0 ? 1 : 0;
    }
    return held;
}

std::optional<std::size_t> ClientRoom::reserve(ServerConnection &connection, std::string_view host,
                                               std::string_view path)
{
    const std::size_t size = this->sizes.expectedSize(host, path);
    const ClientShare share { connection.reservedBytes, connection.heldResponseBytes,
                              connection.expectedResponseBytes };
    // Counting takes time in proportion to the connections.
    const bool isShort = this->memory.isShort() || this->memory.missingBesideExpected(size) > 0;
    const HeldResponses held = isShort ? this->heldResponses() : HeldResponses {};
    const ResponseRoom room = roomForResponse(this->memory, held, share, size);
    if (room == ResponseRoom::OverShare
        || (room == ResponseRoom::Missing
            && !this->makeRoom(this->memory.missingBesideExpected(size)))) {
        ++this->countsSoFar.refusedRequests;
        return std::nullopt;
    }
    this->memory.expect(size);
    connection.expectedResponseBytes += size;
    return size;
}

void ClientRoom::release(ServerConnection &connection, std::size_t size)
{
    this->memory.expectNoMore(size);
    connection.expectedResponseBytes -= size;
}

void ClientRoom::recordSize(std::string_view host, std::string_view path, std::size_t size)
{
    this->sizes.record(host, path, size);
}

bool ClientRoom::hold(ServerConnection &connection, std::size_t size)
{
    if (connection.unwrittenResponses == 0) {
        connection.unreadSince.reset(); // of an earlier response
    }
    if (!this->memory.resize(0, size)) {
        if (!this->makeRoom(this->memory.missingFor(size))) {
            ++this->countsSoFar.lostResponses;
            return false;
        }
        this->memory.add(size);
    }
    connection.heldResponseBytes += size;
    return true;
}

bool ClientRoom::makeRoom(std::size_t missing)
{
    const TimePoint now = this->loop.now();
    if (this->failedSearchAt && now - *this->failedSearchAt < searchInterval) {
        return false;
    }
    std::vector<std::shared_ptr<ServerConnection>> candidates;
    std::vector<QuietClient> quiet;
    for (const std::shared_ptr<ServerConnection> &connection : this->connections) {
        if (connection->closing) {
            missing -= std::min(missing, connection->heldResponseBytes);
        }
        if (const auto client = this->quietClient(*connection, now)) {
            quiet.push_back(*client);
            quiet.back().index = candidates.size();
            candidates.push_back(connection);
        }
    }
    const std::vector<std::size_t> chosen
            = chooseClientsToDisconnect(std::move(quiet), missing, this->minQuiet);
    for (const std::size_t index : chosen) {
        this->disconnect(*candidates[index]);
    }
    const bool hasRoom = !chosen.empty() || missing == 0;
    this->failedSearchAt = hasRoom ? std::nullopt : std::optional(now);
    return hasRoom;
}

// Returns what the connection takes if it can be closed.
std::optional<QuietClient> ClientRoom::quietClient(ServerConnection &connection,
                                                   TimePoint now) const
{
    if (connection.socket == nullptr || connection.closing) {
        return std::nullopt;
    }
    if (connection.http2 && connection.http2->incompleteBytes() > 0 && !connection.waitingSince) {
        const std::size_t bytes = connection.reservedBytes + connection.heldResponseBytes;
        return QuietClient { 0, bytes, connection.openExchanges == 0, now - connection.receivedAt };
    }
    if (connection.openExchanges == 0) {
        if (connection.reservedBytes == 0 || connection.waitingSince || !connection.receiving) {
            return std::nullopt;
        }
        // A request that leaves little room for others must not take it for long.
        const TimePoint since
                = connection.isHeldApart ? connection.receivingSince : connection.receivedAt;
        return QuietClient { 0, connection.reservedBytes, true, now - since };
    }
    if (connection.heldResponseBytes == 0) {
        return std::nullopt;
    }
    return QuietClient { 0, connection.heldResponseBytes, false, unreadFor(connection, now) };
}

Milliseconds ClientRoom::unreadFor(ServerConnection &connection, TimePoint now)
{
    const std::uint64_t acknowledged = acknowledgedBytes(connection.socket);
    if (!connection.unreadSince || acknowledged != connection.acknowledgedBytes) {
        connection.unreadSince = now;
        connection.acknowledgedBytes = acknowledged;
    }
    return now - *connection.unreadSince;
}

void ClientRoom::disconnect(ServerConnection &connection)
{
    ++this->countsSoFar.disconnectedClients;
    if (connection.openExchanges == 0) {
        this->refuse(connection);
        return;
    }
    // The kernel discards what the client has not read, too.
    const linger reset { 1, 0 };
    const int fd = h2o_socket_get_fd(connection.socket);
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    connection.closing = true;
    shutdown(fd, SHUT_RDWR);
}

} // namespace cassiaroad
