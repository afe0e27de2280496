#pragma once

#include "process/clock.h"
#include "process/settings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cassiaroad {

/** Permits that a gateway asks for. Each is for one request to a cold upstream. */
struct PermitAsk
{
    std::string service;
    HostAddress address; // of the upstream
    std::uint32_t count = 1;

    bool operator==(const PermitAsk &) const = default;
};

/** Call of a gateway to the leader; see ColdPermits. */
struct PermitRequest
{
    std::string gateway;
    std::vector<PermitAsk> asks; // one for each address

    bool operator==(const PermitRequest &) const = default;
};

/** What the leader grants of one ask. */
struct PermitGrant
{
    HostAddress address;
    std::uint32_t count = 0; // permits granted, at most as many as were asked for
    Milliseconds retryAfter; // until a refused permit may be asked for again; 0: none was refused

    bool operator==(const PermitGrant &) const = default;
};

/** The leader's reply to a PermitRequest. */
struct PermitReply
{
    std::vector<PermitGrant> grants;

    bool operator==(const PermitReply &) const = default;
};

// Encoding as CBOR. A decoder returns nothing if the bytes do not encode such a value. Thread-safe.
std::string encode(const PermitRequest &request);
std::string encode(const PermitReply &reply);
std::optional<PermitRequest> decodePermitRequest(std::string_view bytes);
std::optional<PermitReply> decodePermitReply(std::string_view bytes);

} // namespace cassiaroad
