#pragma once

#include "connection/httpclient.h"
#include "process/settings.h"

#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace cassiaroad {

/** Response of the leader, with any status but 307 and 503. */
struct OperatorResponse
{
    int status = 0;
    nlohmann::json body;
};

/** No leader responded in time. */
struct OperatorFailure
{
    std::string reason; // why the last attempt failed

    bool operator==(const OperatorFailure &) const = default;
};

using OperatorResult = std::variant<OperatorResponse, OperatorFailure>;

/**
 * Sends requests of an operator to the control group: tries its members in turn, follows a 307 to
 * the leader, and sends a request again if its response was lost. Requests must therefore be safe
 * to repeat; a confirmation is, because of its number. Loop thread only.
 */
class OperatorClient
{
public:
    /** @p members are the operators' addresses of the members; @p timeout is for each request(). */
    OperatorClient(EventLoop &loop, std::vector<HostAddress> members, std::string token,
                   Milliseconds timeout);

    /** Sends a request and runs the loop until a leader responds or the timeout has passed. */
    OperatorResult request(const std::string &method, const std::string &path,
                           const nlohmann::json &body);

private:
    EventLoop &loop;
    std::vector<HostAddress> members;
    std::string token;
    Milliseconds timeout;
    HttpClient client;
};

} // namespace cassiaroad
