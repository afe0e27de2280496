#include "request/clientshares.h"

#include <utility>

namespace cassiaroad {

namespace {

// Long enough for each of a hundred clients of an overloaded key to be served within it. In shorter
// windows most clients have no count, and the order among them is arbitrary.
constexpr Milliseconds windowLength { 5000 };

std::uint32_t countIn(const std::unordered_map<ClientId, std::uint32_t> &counts, ClientId client)
{
    const auto found = counts.find(client);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

void ClientShares::recordStart(ClientId client, TimePoint now)
{
    const Milliseconds age = now - this->currentSince;
    if (age >= windowLength) {
        this->previous = age < windowLength * 2 ? std::move(this->current) : Counts {};
        this->current.clear();
        this->currentSince = now;
    }
    if (this->current.size() < maxClients || this->current.contains(client)) {
        ++this->current[client];
    }
}

std::uint32_t ClientShares::count(ClientId client, TimePoint now) const
{
    const Milliseconds age = now - this->currentSince;
    const std::uint32_t latest = countIn(this->current, client);
    if (age < windowLength) {
        return latest + countIn(this->previous, client);
    }
    return age < windowLength * 2 ? latest : 0;
}

} // namespace cassiaroad
