#include "version/homeregions.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cassiaroad {

HomeRegions::HomeRegions(std::set<std::string> regions)
{
    if (!regions.empty()) {
        this->regions = std::move(regions);
    }
}

HomeRegions HomeRegions::intersectedWith(const HomeRegions &other) const
{
    if (!this->regions) {
        return other;
    }
    if (!other.regions) {
        return *this;
    }
    HomeRegions both;
    both.regions.emplace();
    std::set_intersection(this->regions->begin(), this->regions->end(), other.regions->begin(),
                          other.regions->end(),
                          std::inserter(*both.regions, both.regions->begin()));
    return both;
}

} // namespace cassiaroad
