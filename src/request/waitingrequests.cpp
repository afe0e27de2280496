#include "request/waitingrequests.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

namespace cassiaroad {

namespace {

/** A request and what orders it among those of the same priority. */
struct Turn
{
    AdmissionRequest request;
    std::uint32_t served = 0; // requests of its client that are given to the upstream before it

    auto rank() const
    {
        return std::tuple(this->request.priority, !this->request.isReturning, this->served,
                          this->request.responseDeadline, this->request.id);
    }
};

void sortByRank(std::vector<Turn> &turns)
{
    std::sort(turns.begin(), turns.end(),
              [](const Turn &left, const Turn &right) { return left.rank() < right.rank(); });
}

} // namespace

std::vector<AdmissionRequest> WaitingRequests::ordered(TimePoint now) const
{
    std::vector<Turn> turns;
    turns.reserve(this->waiting.size());
    for (const AdmissionRequest &request : this->waiting) {
        turns.push_back({ request, 0 });
    }
    // First in the order of one client, which tells how many of its requests are ahead of each.
    sortByRank(turns);
    std::map<std::pair<std::uint32_t, ClientId>, std::uint32_t> ahead;
    for (Turn &turn : turns) {
        const ClientId client = turn.request.client;
        turn.served = this->shares.count(client, now) + ahead[{ turn.request.priority, client }]++;
    }
    sortByRank(turns);
    std::vector<AdmissionRequest> requests;
    requests.reserve(turns.size());
    for (const Turn &turn : turns) {
        requests.push_back(turn.request);
    }
    return requests;
}

std::optional<AdmissionRequest> WaitingRequests::takeFirst(TimePoint now)
{
    if (this->waiting.empty()) {
        return std::nullopt;
    }
    const AdmissionRequest first = this->ordered(now).front();
    this->remove(first.id);
    this->shares.recordStart(first.client, now);
    return first;
}

std::vector<AdmissionRequest> WaitingRequests::takeAll(TimePoint now)
{
    std::vector<AdmissionRequest> all = this->ordered(now);
    this->waiting.clear();
    return all;
}

void WaitingRequests::remove(GatewayRequestId id)
{
    std::erase_if(this->waiting, [id](const AdmissionRequest &entry) { return entry.id == id; });
}

std::size_t WaitingRequests::countUpTo(std::uint32_t priority) const
{
    return static_cast<std::size_t>(std::count_if(
            this->waiting.begin(), this->waiting.end(),
            [=](const AdmissionRequest &entry) { return entry.priority <= priority; }));
}

} // namespace cassiaroad
