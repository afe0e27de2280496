#include "registry/joincall.h"

#include "version/sitejson.h"

#include <kj/debug.h>

namespace cassiaroad {

namespace {

using nlohmann::json;

constexpr Milliseconds replyTimeout { 500 };

} // namespace

std::string encode(const MemberCall &call)
{
    return toCborText(json { { "ip", call.ip }, { "wantsSlot", false }, { "member", call.slot } });
}

std::optional<MemberCall> decodeMemberCall(std::string_view bytes)
{
    try {
        const json value = json::from_cbor(bytes.begin(), bytes.end());
        if (!value.contains("member")) {
            return std::nullopt;
        }
        return MemberCall { value.at("ip"), value.at("member") };
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

kj::Promise<GroupHint> callJoin(RpcConnection &connection, const std::string &request)
{
    const auto send = [request](rpc::Member::Client client) {
        auto call = client.castAs<rpc::Registry>().joinRequest();
        call.setRequest(
                kj::arrayPtr(reinterpret_cast<const kj::byte *>(request.data()), request.size()));
        return call.send().then([](capnp::Response<rpc::Registry::JoinResults> &&results) {
            const auto hint = results.getHint().asChars();
            return std::string(hint.begin(), hint.size());
        });
    };
    return connection.call<std::string>({ replyTimeout, replyTimeout }, send)
            .then([](const std::string &reply) {
                const std::optional<GroupHint> hint = decodeGroupHint(reply);
                if (!hint) {
                    kj::throwFatalException(KJ_EXCEPTION(FAILED, "the reply cannot be decoded"));
                }
                return *hint;
            });
}

} // namespace cassiaroad
