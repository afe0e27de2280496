#include "version/permitcall.h"

#include "version/sitejson.h"

namespace cassiaroad {

using nlohmann::json;

// Encoded as arrays without member names, since a gateway calls several times a second.

static void to_json(json &value, const PermitAsk &ask)
{
    value = json::array({ ask.service, ask.address, ask.count });
}

static void from_json(const json &value, PermitAsk &ask)
{
    ask = { value.at(0), value.at(1), value.at(2) };
}

static void to_json(json &value, const PermitGrant &grant)
{
    value = json::array({ grant.address, grant.count, grant.retryAfter.count });
}

static void from_json(const json &value, PermitGrant &grant)
{
    grant = { value.at(0), value.at(1), { value.at(2).get<std::int64_t>() } };
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PermitRequest, gateway, asks)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PermitReply, grants)

namespace {

template <typename Value>
std::optional<Value> decodeAs(std::string_view bytes)
{
    try {
        return json::from_cbor(bytes.begin(), bytes.end()).get<Value>();
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace

std::string encode(const PermitRequest &request)
{
    return toCborText(request);
}

std::string encode(const PermitReply &reply)
{
    return toCborText(reply);
}

std::optional<PermitRequest> decodePermitRequest(std::string_view bytes)
{
    return decodeAs<PermitRequest>(bytes);
}

std::optional<PermitReply> decodePermitReply(std::string_view bytes)
{
    return decodeAs<PermitReply>(bytes);
}

} // namespace cassiaroad
