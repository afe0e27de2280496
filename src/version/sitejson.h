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

// Stored data and messages contain the incarnation of an upstream under the key "life".

inline void to_json(nlohmann::json &value, const SiteUpstream &upstream)
{
    value = { { "life", upstream.incarnation }, { "service", upstream.service },
              { "address", upstream.address },  { "zone", upstream.zone },
              { "slots", upstream.slots },      { "phase", upstream.phase } };
}

inline void from_json(const nlohmann::json &value, SiteUpstream &upstream)
{
    value.at("life").get_to(upstream.incarnation);
    value.at("service").get_to(upstream.service);
    value.at("address").get_to(upstream.address);
    value.at("zone").get_to(upstream.zone);
    value.at("slots").get_to(upstream.slots);
    value.at("phase").get_to(upstream.phase);
}

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
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TransferRanges, service, transfers)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EvacuationChange, zone, started)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(OrderEvacuation, order)

inline void to_json(nlohmann::json &value, const SetUpstreamPhase &command)
{
    value = { { "life", command.incarnation }, { "phase", command.phase } };
}

inline void from_json(const nlohmann::json &value, SetUpstreamPhase &command)
{
    value.at("life").get_to(command.incarnation);
    value.at("phase").get_to(command.phase);
}

inline void to_json(nlohmann::json &value, const RemoveSiteUpstream &command)
{
    value = { { "life", command.incarnation } };
}

inline void from_json(const nlohmann::json &value, RemoveSiteUpstream &command)
{
    value.at("life").get_to(command.incarnation);
}

/** Returns @p value as CBOR bytes. */
inline std::string toCborText(const nlohmann::json &value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

} // namespace cassiaroad
