#pragma once

#include "connection/httpclient.h"
#include "process/settings.h"

#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace cassiaroad {

/** Answer of the leader; any status but 307 and 503. */
struct OperatorAnswer
{
    int status = 0;
    nlohmann::json body;
};

/** No leader answered in time. */
struct OperatorFailure
{
    std::string reason; // what the last attempt met

    bool operator==(const OperatorFailure &) const = default;
};

using OperatorResult = std::variant<OperatorAnswer, OperatorFailure>;

/**
 * Asks the control group on behalf of an operator: tries its members in turn, follows 307, and
 * sends a request again whose answer was lost. Requests must therefore be safe to repeat; a
 * confirmation is, by its number. Loop thread only.
 */
class OperatorClient
{
public:
    OperatorClient(EventLoop &loop, std::vector<HostAddress> members, std::string token,
                   Milliseconds timeout);

    /** Sends a request and runs the loop until a leader answers or the timeout passes. */
    OperatorResult request(const std::string &method, const std::string &path,
                           const nlohmann::json &body);

private:
    HttpResult attempt(const HostAddress &member, const HttpRequest &request);

    EventLoop &loop;
    std::vector<HostAddress> members;
    std::string token;
    Milliseconds timeout;
    HttpClient client;
};

} // namespace cassiaroad
