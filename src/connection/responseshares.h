#pragma once

#include "connection/requestmemory.h"
#include "process/clock.h"

#include <array>
#include <cstddef>
#include <string_view>
#include <vector>

namespace cassiaroad {

/**
 * Estimates the size of responses from earlier ones to similar requests: the largest, which decays
 * with each smaller one. Of fixed size; requests whose digests collide share an estimate. Not
 * thread-safe.
 */
class ResponseSizes
{
public:
    /** Records the size of the response to a request for @p path at @p host. */
    void record(std::string_view host, std::string_view path, std::size_t size);

    /** Size of the response to a request, as far as it is known; 0 if it isn't. */
    std::size_t expectedSize(std::string_view host, std::string_view path) const;

private:
    static constexpr std::size_t slots = 1024;

    static std::size_t slotOf(std::string_view host, std::string_view path);

    std::array<std::size_t, slots> sizes {};
};

/** What one client connection takes of the memory for requests and responses. */
struct ClientShare
{
    std::size_t requestBytes = 0; // of its requests
    std::size_t heldBytes = 0; // of its unwritten responses
    std::size_t expectedBytes = 0; // of responses to its requests in progress
};

/** Unwritten responses of all connections of a listener. */
struct HeldResponses
{
    std::size_t bytes = 0;
    std::size_t connections = 0; // that have any
};

/** Why there is or isn't room for the response to a request. */
enum class ResponseRoom {
    Free,
    OverShare, // the connection itself takes more than its share, and memory is short
    Missing, // other connections take the memory
};

/**
 * Decides whether the response of @p size bytes to one more request of a connection with @p share
 * can be held. As long as clients read their responses, few of them are held at a time, so that the
 * expected ones may take twice the bound. A connection without a response has no share to exceed,
 * and a single request is always admitted. Pure; thread-safe.
 */
ResponseRoom roomForResponse(const RequestMemory &memory, const HeldResponses &held,
                             const ClientShare &share, std::size_t size);

/** A connection that takes memory and whose client makes no progress. */
struct QuietClient
{
    std::size_t index = 0; // chosen by the caller
    std::size_t bytes = 0; // that are released when it is disconnected
    bool isRequest = false; // its request is incomplete, so it is certain that it has not run
    Milliseconds quietFor; // since the last progress

    bool operator==(const QuietClient &) const = default;
};

/**
 * Returns the indexes of the connections to close so that @p missing bytes are released: first
 * those with incomplete requests, then the others, each the longest quiet first; none that is quiet
 * for less than @p minQuiet. Empty if they do not release enough. Pure; thread-safe.
 */
std::vector<std::size_t> chooseClientsToDisconnect(std::vector<QuietClient> clients,
                                                   std::size_t missing, Milliseconds minQuiet);

} // namespace cassiaroad
