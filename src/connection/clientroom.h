#pragma once

#include "connection/requestmemory.h"
#include "connection/responseshares.h"
#include "connection/serverconnection.h"
#include "process/eventloop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_set>

namespace cassiaroad {

/** How often a listener has acted because its memory was short. */
struct ClientRoomCounts
{
    std::uint64_t refusedRequests = 0; // before they ran
    std::uint64_t lostResponses = 0; // replaced by 502
    std::uint64_t disconnectedClients = 0; // that made no progress

    bool operator==(const ClientRoomCounts &) const = default;
};

/**
 * Keeps room in the memory of a listener for the responses to its clients: divides it among the
 * connections, and closes those whose clients make no progress when others need their memory. The
 * decisions are those of responseshares.h. Loop thread only.
 */
class ClientRoom
{
public:
    using Connections = std::unordered_set<std::shared_ptr<ServerConnection>>;
    /** Refuses the incomplete request of a connection as not run, and closes it. */
    using Refuse = std::function<void(ServerConnection &)>;

    /** The arguments must outlive this object. */
    ClientRoom(EventLoop &loop, RequestMemory &memory, const Connections &connections,
               Refuse refuse);
    ClientRoom(const ClientRoom &) = delete;
    ClientRoom &operator=(const ClientRoom &) = delete;

    /** Changes after which time without progress a client may be disconnected. */
    void setMinQuiet(Milliseconds time) { this->minQuiet = time; }

    /**
     * Sets room aside for the response to a request of @p connection that is about to run. Returns
     * its size, for release(), or nothing if there is no room: then the request must not run.
     */
    std::optional<std::size_t> reserve(ServerConnection &connection, std::string_view host,
                                       std::string_view path);

    /** Gives back what reserve() has set aside. */
    void release(ServerConnection &connection, std::size_t size);

    /** Learns the size of a response. */
    void recordSize(std::string_view host, std::string_view path, std::size_t size);

    /**
     * Counts a response that is about to be written to @p connection, until its bytes are released
     * in the memory. Returns false if it does not fit: then the response is lost.
     */
    bool hold(ServerConnection &connection, std::size_t size);

    /**
     * Closes connections without progress, if that releases @p missing bytes within the next
     * iteration of the loop. Returns whether it does.
     */
    bool makeRoom(std::size_t missing);

    const ClientRoomCounts &counts() const { return this->countsSoFar; }

    /** Returns for how long the client of @p connection has acknowledged nothing. */
    static Milliseconds unreadFor(ServerConnection &connection, TimePoint now);

private:
    HeldResponses heldResponses() const;
    std::optional<QuietClient> quietClient(ServerConnection &connection, TimePoint now) const;
    void disconnect(ServerConnection &connection);

    EventLoop &loop;
    RequestMemory &memory;
    const Connections &connections;
    Refuse refuse;
    Milliseconds minQuiet { 2000 };
    ResponseSizes sizes;
    ClientRoomCounts countsSoFar;
    std::optional<TimePoint>
            failedSearchAt; // when a search for clients to disconnect found too few
};

} // namespace cassiaroad
