#pragma once

#include "process/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cassiaroad {

/** A service as the control group sees it. */
struct ServiceShards
{
    std::string name;
    std::uint32_t shards = 1024;
};

/** Settings of the ownership manager. */
struct OwnershipConfig
{
    std::string zone; // of this member
    std::uint32_t regionIndex = 0; // of the group's region among the regions
    std::uint32_t regionCount = 1;
    std::vector<ServiceShards> services;
    Milliseconds upstreamLease { 800 };
    Milliseconds entryLease { 800 };
    Milliseconds announceInterval { 150 };
    Milliseconds watchTimeout { 150 };
    Milliseconds initialAssignmentDelay { 2000 };
    std::uint32_t ejectPercent = 20;
    double imbalanceWeight = 1.0;
    double churnWeight = 1.0;
    double unavailabilityWeight = 1.0;
};

} // namespace cassiaroad
