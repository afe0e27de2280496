#pragma once

#include "process/clock.h"
#include "version/keyrange.h"

#include <vector>

namespace cassiaroad {

/** Recent requests per second of each key of a service, smoothed exponentially. Not thread-safe. */
class KeyLoad
{
public:
    KeyLoad();

    /** Adds @p requests for @p key that arrived about @p now. */
    void add(KeyNumber key, std::uint32_t requests, TimePoint now);

    /** Lets earlier load decay. Must be called at least once a second. */
    void decay(TimePoint now);

    /** Returns the requests per second for the keys of @p range. */
    double rate(const KeyRange &range) const;
    double rate(KeyNumber key) const;
    double total() const { return this->rate({ 0, lastKey }); }

    /** Returns the time in seconds that the rates are averaged over. */
    double measuredSeconds() const { return this->effectiveSeconds; }

private:
    void updateEffectiveSeconds();

    std::vector<float> weights; // decayed number of requests by key
    double effectiveSeconds = 1.0; // time that the decayed requests represent
    TimePoint decayedAt;
    TimePoint firstRequestAt;
    bool hasRequests = false;
};

} // namespace cassiaroad
