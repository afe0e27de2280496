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

    /** Lets the load of the past fade; call it at least once a second. */
    void fade(TimePoint now);

    /** Requests per second for the keys of @p range. */
    double rate(const KeyRange &range) const;
    double rate(KeyNumber key) const;
    double total() const { return this->rate({ 0, lastKey }); }

    /** Time in seconds whose requests make up the rates. */
    double measuredSeconds() const { return this->seconds; }

private:
    void updateSeconds();

    std::vector<float> weights; // requests, faded
    double seconds = 1.0; // that the faded requests stand for
    TimePoint fadedAt;
    TimePoint beganAt; // of the first request
    bool began = false;
};

} // namespace cassiaroad
