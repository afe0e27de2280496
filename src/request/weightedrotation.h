#pragma once

#include "version/siteconfiguration.h"

#include <map>

namespace cassiaroad {

/**
 * Distributes the requests of a route among its services in proportion to their weights, without
 * the deviations of a random choice. Not thread-safe.
 */
class WeightedRotation
{
public:
    /** Returns the service of the next request. Precondition: at least one weight is above 0. */
    const std::string &next(const std::vector<WeightedService> &parts);

private:
    std::map<std::string, double> credit; // by service
};

} // namespace cassiaroad
