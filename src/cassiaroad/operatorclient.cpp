#include "cassiaroad/operatorclient.h"

#include "cassiaroad/httpwait.h"
#include "connection/rpcdelay.h"
#include "connection/socketaddress.h"

#include <optional>

namespace cassiaroad {

namespace {

// A leader responds to a confirmation within 5 s.
constexpr Milliseconds attemptTimeout { 6000 };
constexpr Milliseconds retryDelay { 100 };
constexpr std::size_t maxResponseBytes = std::size_t(32) * 1024 * 1024;

std::string header(const HttpResponse &response, const std::string &name)
{
    for (const auto &[key, value] : response.headers) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

/** Returns the address in a Location header of the form "http://ip:port/path". */
HostAddress locationAddress(const HttpResponse &response)
{
    const std::string scheme = "http://";
    const std::string location = header(response, "location");
    if (!location.starts_with(scheme)) {
        return {};
    }
    const std::size_t end = location.find('/', scheme.size());
    return parseHostAddress(location.substr(scheme.size(), end - scheme.size()));
}

std::string errorOf(const HttpResponse &response)
{
    const nlohmann::json body = nlohmann::json::parse(response.body, nullptr, false);
    return body.is_object() ? body.value("error", "") : "";
}

} // namespace

OperatorClient::OperatorClient(EventLoop &loop, std::vector<HostAddress> members, std::string token,
                               Milliseconds timeout)
    : loop(loop)
    , members(std::move(members))
    , token(std::move(token))
    , timeout(timeout)
    , client(loop)
{ }

OperatorResult OperatorClient::request(const std::string &method, const std::string &path,
                                       const nlohmann::json &body)
{
    HttpRequest request { method, path, { { "authorization", "Bearer " + this->token } }, {} };
    if (!body.is_null()) {
        request.headers.emplace_back("content-type", "application/json");
        request.body = body.dump();
    }
    const TimePoint end = this->loop.now() + this->timeout;
    std::string reason = "no member is known";
    std::size_t next = 0;
    std::optional<HostAddress> redirectTarget; // leader that the last response named
    while (this->loop.now() < end && !this->members.empty()) {
        const HostAddress member
                = redirectTarget ? *redirectTarget : this->members[next++ % this->members.size()];
        const bool wasRedirected = redirectTarget.has_value();
        redirectTarget.reset();
        const HttpResult result = sendAndWait(this->loop, this->client, member, request,
                                              maxResponseBytes, attemptTimeout);
        const auto *response = std::get_if<HttpResponse>(&result);
        if (response == nullptr) {
            reason = member.toString() + ": " + std::get<HttpFailure>(result).reason;
        } else if (response->status == 307) {
            const HostAddress leader = locationAddress(*response);
            redirectTarget = leader.port != 0 ? std::optional(leader) : std::nullopt;
            reason = member.toString() + ": names " + leader.toString() + " as the leader";
        } else if (response->status == 503) {
            reason = member.toString() + ": " + errorOf(*response);
        } else {
            nlohmann::json parsed = nlohmann::json::parse(response->body, nullptr, false);
            if (parsed.is_object()) {
                return OperatorResponse { response->status, std::move(parsed) };
            }
            reason = member.toString() + ": status " + std::to_string(response->status)
                     + " and no JSON object; is this a control member?";
        }
        if (wasRedirected || !redirectTarget) {
            this->loop.wait(rpcDelay(this->loop, retryDelay));
        }
    }
    return OperatorFailure { reason };
}

} // namespace cassiaroad
