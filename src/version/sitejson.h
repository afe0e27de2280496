#pragma once

#include "version/registrystate.h"

#include <nlohmann/json.hpp>

namespace cassiaroad {

// JSON forms of the values that control hosts store and send, encoded as CBOR.

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HostAddress, ip, port)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyRange, from, to)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(UpstreamIncarnation, id, born)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RangeOwner, range, owner, fence, handover)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RangeTransfer, range, to, handover)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SiteUpstream, life, service, address, zone, slots, phase)

/** Returns @p bytes as a binary value, since they need not be UTF-8. */
inline nlohmann::json toBinary(const std::string &bytes)
{
    return nlohmann::json::binary({ bytes.begin(), bytes.end() });
}

/** Returns the bytes of a binary value. Throws nlohmann::json::exception if @p value is none. */
inline std::string fromBinary(const nlohmann::json &value)
{
    const nlohmann::json::binary_t &bytes = value.get_binary();
    return { bytes.begin(), bytes.end() };
}

inline void to_json(nlohmann::json &value, const PutConfiguration &put)
{
    value = { { "version", put.version },
              { "base", put.base },
              { "document", toBinary(put.document) },
              { "digest", put.digest } };
}

inline void from_json(const nlohmann::json &value, PutConfiguration &put)
{
    put = { value.at("version"), value.at("base"), fromBinary(value.at("document")),
            value.at("digest") };
}

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
