#include "version/calledleases.h"

#include <algorithm>

namespace cassiaroad {

void CalledLeases::recordSent(std::uint64_t number, const KeyRange &range, FencingToken fence,
                              TimePoint until)
{
    this->entries.push_back({ range, fence, until, number });
}

bool CalledLeases::recordAccepted(std::uint64_t number, TimePoint until)
{
    const auto call = std::find_if(this->entries.begin(), this->entries.end(),
                                   [&](const Entry &entry) { return entry.call == number; });
    if (call == this->entries.end()) {
        return false;
    }
    const Entry accepted { call->range, call->fence, until, 0 };
    this->entries.erase(call);
    const auto same
            = std::find_if(this->entries.begin(), this->entries.end(), [&](const Entry &entry) {
                  return entry.call == 0 && entry.range == accepted.range
                         && entry.fence == accepted.fence;
              });
    if (same == this->entries.end()) {
        this->entries.push_back(accepted);
    } else {
        same->until = std::max(same->until, until);
    }
    const auto place = std::lower_bound(this->granted.begin(), this->granted.end(), accepted.fence);
    if (place != this->granted.end() && *place == accepted.fence) {
        return false;
    }
    this->granted.insert(place, accepted.fence);
    return true;
}

void CalledLeases::recordWithoutEffect(std::uint64_t number)
{
    std::erase_if(this->entries, [&](const Entry &entry) { return entry.call == number; });
}

void CalledLeases::recordReleased(const KeyRange &range, FencingToken fence)
{
    std::vector<Entry> rest;
    for (const Entry &entry : this->entries) {
        if (entry.call != 0 || entry.fence != fence || !entry.range.overlaps(range)) {
            rest.push_back(entry);
            continue;
        }
        if (entry.range.from < range.from) {
            rest.push_back({ { entry.range.from, range.from - 1 }, fence, entry.until, 0 });
        }
        if (entry.range.to > range.to) {
            rest.push_back({ { range.to + 1, entry.range.to }, fence, entry.until, 0 });
        }
    }
    this->entries = std::move(rest);
}

bool CalledLeases::mayHold(const KeyRange &range, TimePoint now) const
{
    return std::any_of(this->entries.begin(), this->entries.end(), [&](const Entry &entry) {
        return now < entry.until && entry.range.overlaps(range);
    });
}

bool CalledLeases::isGranted(FencingToken fence) const
{
    return std::binary_search(this->granted.begin(), this->granted.end(), fence);
}

void CalledLeases::expire(TimePoint now)
{
    std::erase_if(this->entries, [&](const Entry &entry) { return entry.until <= now; });
}

} // namespace cassiaroad
