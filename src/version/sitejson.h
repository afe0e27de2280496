#pragma once

#include "version/registrystate.h"

#include <nlohmann/json.hpp>

namespace cassiaroad {

// JSON form of the values that control hosts store and send; encoded as CBOR.

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HostAddress, ip, port)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyRange, from, to)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(UpstreamLife, id, born)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RangeOwner, range, owner, fence, handover)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RangeTransfer, range, to, handover)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SiteUpstream, life, service, address, zone, slots, phase)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PutConfiguration, version, base, document)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AssignSlot, slot, ip, replaces)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RegisterSiteUpstream, upstream)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SetUpstreamPhase, life, phase)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RemoveSiteUpstream, life)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TransferRanges, service, transfers)

/** Returns @p value as CBOR bytes. */
inline std::string toCborText(const nlohmann::json &value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

} // namespace cassiaroad
