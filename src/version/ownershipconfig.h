#pragma once

#include "process/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cassiaroad {

/** A service with its number of shards. */
struct ServiceShards
{
    std::string name;
    std::uint32_t shards = 1024;
};

/** Settings of the ownership manager. */
struct OwnershipConfig
{
    std::string zone; // of this member
    std::uint32_t regionIndex = 0; // index of the region of this control group
    std::uint32_t regionCount = 1;
    std::vector<ServiceShards> services;
    Milliseconds upstreamLease { 800 };
    Milliseconds entryLease { 800 };
    Milliseconds announceInterval { 150 }; // between two announcements of an upstream
    Milliseconds watchTimeout { 150 }; // how long a watch call waits before an empty reply
    Milliseconds initialAssignmentDelay { 2000 }; // from the first announcement to the first owners
    std::uint32_t ejectPercent = 20; // upper bound of suspected upstreams of a service
    double imbalanceWeight = 1.0;
    double churnWeight = 1.0;
    double unavailabilityWeight = 1.0;
};

} // namespace cassiaroad
