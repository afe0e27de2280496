#pragma once

#include <optional>
#include <set>
#include <string>

namespace cassiaroad {

/**
 * Regions to which data residency restricts the requests of a route. Immutable; thread-safe.
 */
class HomeRegions
{
public:
    /** Any region. */
    HomeRegions() = default;

    /** Only @p regions; any region if there are none. */
    explicit HomeRegions(std::set<std::string> regions);

    /** Whether requests may be served in @p region. An unknown region is empty. */
    bool allows(const std::string &region) const
    {
        return !this->regions || this->regions->contains(region);
    }

    /** Whether no region is allowed. */
    bool isEmpty() const { return this->regions && this->regions->empty(); }

    bool isRestricted() const { return this->regions.has_value(); }

    /** Returns the regions that both allow; there may be none. */
    HomeRegions intersectedWith(const HomeRegions &other) const;

    auto operator<=>(const HomeRegions &) const = default;

private:
    std::optional<std::set<std::string>> regions; // nothing: any
};

} // namespace cassiaroad
