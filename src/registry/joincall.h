#pragma once

#include "connection/rpcconnection.h"
#include "version/sitewatch.h"

namespace cassiaroad {

/**
 * Join call of a member to the address of a silent slot: the host there may have lost its data and
 * know nobody who belongs to the group. It has the form of a JoinRequest that wants no slot, and
 * is answered as one. The receiver learns only an address that it may ask.
 */
struct MemberCall
{
    std::string ip; // of the sender
    std::uint32_t slot = 0; // of the sender

    bool operator==(const MemberCall &) const = default;
};

/** Encodes as CBOR. Thread-safe. */
std::string encode(const MemberCall &call);
/** Returns nothing if @p bytes are another join request, or malformed. Thread-safe. */
std::optional<MemberCall> decodeMemberCall(std::string_view bytes);

/**
 * Sends an encoded join request. The promise resolves with the hint, or fails if there is none in
 * time or it cannot be decoded. Loop thread only.
 */
kj::Promise<GroupHint> callJoin(RpcConnection &connection, const std::string &request);

} // namespace cassiaroad
