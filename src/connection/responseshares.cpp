#include "connection/responseshares.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace cassiaroad {

namespace {

// Part of the difference by which a smaller response lowers the estimate, as a divisor. Responses
// of one kind differ in size, and an estimate that is too low lets requests run whose responses do
// not fit.
constexpr std::size_t decayDivisor = 16;
// While unwritten responses take less than this part of the bound, as a divisor, clients read.
constexpr std::size_t readingDivisor = 4;

} // namespace

// Requests with the same first segment of the path mostly belong to one route.
std::size_t ResponseSizes::slotOf(std::string_view host, std::string_view path)
{
    const std::size_t end = path.find_first_of("/?", 1);
    const std::hash<std::string_view> hash;
    return (hash(host) * 31 + hash(path.substr(0, end))) % slots;
}

void ResponseSizes::record(std::string_view host, std::string_view path, std::size_t size)
{
    std::size_t &estimate = this->sizes.at(slotOf(host, path));
    estimate = std::max(size, estimate - (estimate + decayDivisor - 1) / decayDivisor);
}

std::size_t ResponseSizes::expectedSize(std::string_view host, std::string_view path) const
{
    return this->sizes.at(slotOf(host, path));
}

ResponseRoom roomForResponse(const RequestMemory &memory, const HeldResponses &held,
                             const ClientShare &share, std::size_t size)
{
    const std::size_t own = share.heldBytes + share.expectedBytes;
    const std::size_t fairShare = memory.bound() / std::max<std::size_t>(held.connections, 1);
    if (memory.isShort() && own > 0 && own + size > fairShare) {
        return ResponseRoom::OverShare;
    }
    // An estimate may be too high. Without other requests and responses the size decides.
    const bool isAlone = memory.usedBytes() + memory.expectedBytes() <= share.requestBytes;
    const bool clientsRead = held.bytes < memory.bound() / readingDivisor;
    const std::size_t missing = memory.missingBesideExpected(size);
    const std::size_t tolerated = clientsRead ? memory.bound() : 0;
    return isAlone || missing <= tolerated ? ResponseRoom::Free : ResponseRoom::Missing;
}

std::vector<std::size_t> chooseClientsToDisconnect(std::vector<QuietClient> clients,
                                                   std::size_t missing, Milliseconds minQuiet)
{
    std::erase_if(clients,
                  [minQuiet](const QuietClient &client) { return client.quietFor < minQuiet; });
    const auto order = [](const QuietClient &client) {
        return std::tuple(!client.isRequest, Milliseconds {} - client.quietFor);
    };
    std::sort(clients.begin(), clients.end(),
              [&](const auto &left, const auto &right) { return order(left) < order(right); });
    std::vector<std::size_t> result;
    std::size_t released = 0;
    for (const QuietClient &client : clients) {
        if (released >= missing) {
            break;
        }
        released += client.bytes;
        result.push_back(client.index);
    }
    return released >= missing ? result : std::vector<std::size_t>();
}

} // namespace cassiaroad
