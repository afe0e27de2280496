#pragma once

#include "process/sitesettings.h"
#include "version/registrystate.h"

#include <optional>
#include <string>

namespace cassiaroad {

/**
 * Returns why no upstream can be in @p zone, so that an order to evacuate it is refused: neither
 * the settings nor a registered upstream nor an earlier order names it. Nothing if one does.
 * Thread-safe.
 */
std::optional<std::string> findUnknownZoneReason(const std::string &zone,
                                                 const RegistryState &state,
                                                 const SiteSettings &settings);

/** What an order for a zone affects at a control host. */
struct EvacuationScope
{
    std::size_t upstreams = 0; // registered in the zone
    std::size_t ranges = 0; // of keys that these own
    std::string ids; // of the first of the upstreams, separated by commas

    bool operator==(const EvacuationScope &) const = default;
};

/** Returns what an order for @p zone affects in @p state. Thread-safe. */
EvacuationScope evacuationScope(const std::string &zone, const RegistryState &state);

} // namespace cassiaroad
