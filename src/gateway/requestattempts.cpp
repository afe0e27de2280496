#include "gateway/requestattempts.h"

#include <algorithm>
#include <utility>

namespace cassiaroad {

namespace {

constexpr std::uint32_t maxAttempts = 4;
constexpr Milliseconds minRefusalDelay { 25 };
constexpr std::uint32_t maxRefusalDoublings = 3;

void addOnce(std::vector<std::string> &ids, const std::string &id)
{
    if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
        ids.push_back(id);
    }
}

} // namespace

std::uint32_t RequestAttempts::begin(const std::string &upstream)
{
    const std::size_t before = this->chosenIds.size();
    addOnce(this->chosenIds, upstream);
    this->lastIsNew = this->chosenIds.size() > before;
    return ++this->attempts;
}

void RequestAttempts::cancelLast()
{
    --this->attempts;
    if (std::exchange(this->lastIsNew, false)) {
        this->chosenIds.pop_back();
    }
}

void RequestAttempts::recordWritten(const std::string &upstream)
{
    addOnce(this->reachedIds, upstream);
}

Milliseconds RequestAttempts::recordRefusedConnection()
{
    const std::uint32_t doublings = std::min(this->refusedConnections, maxRefusalDoublings);
    ++this->refusedConnections;
    return minRefusalDelay * (std::int64_t(1) << doublings);
}

bool RequestAttempts::mayRepeat() const
{
    return this->attempts - this->refusedConnections < maxAttempts;
}

} // namespace cassiaroad
