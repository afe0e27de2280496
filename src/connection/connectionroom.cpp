#include "connection/connectionroom.h"

#include <algorithm>
#include <tuple>

namespace cassiaroad {

namespace {

// Clients send their first request on a new connection, or the next one of a series, well within
// this time. On a busy server such connections would be the only idle ones.
constexpr Milliseconds minIdleDuration { 1000 };

} // namespace

std::size_t excessConnections(std::size_t open, std::size_t max, std::size_t reserved)
{
    return open + reserved > max ? open + reserved - max : 0;
}

std::vector<std::size_t> chooseConnectionsToClose(std::vector<IdleConnection> idle,
                                                  std::size_t count, TimePoint now)
{
    std::erase_if(idle, [now](const IdleConnection &connection) {
        return now - connection.idleSince <= minIdleDuration;
    });
    const auto order = [](const IdleConnection &connection) {
        return std::tuple(connection.hasSentRequest, connection.idleSince);
    };
    std::sort(idle.begin(), idle.end(),
              [&](const auto &left, const auto &right) { return order(left) < order(right); });
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < std::min(count, idle.size()); ++i) {
        result.push_back(idle[i].index);
    }
    return result;
}

} // namespace cassiaroad
