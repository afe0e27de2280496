#include "cassiaroad/operatorcommands.h"

#include "cassiaroad/operatorclient.h"
#include "cassiaroad/operatorformat.h"
#include "cassiaroad/operatorjson.h"
#include "cassiaroad/settingsfile.h"
#include "process/parsenumber.h"

#include <iostream>

namespace cassiaroad {

namespace {

using nlohmann::json;
using Format = std::string (*)(const json &);

// Covers an election, a response that takes 5 s and is lost, and the response to the repeated
// request.
constexpr Milliseconds commandTimeout { 15000 };

std::string operatorToken(const Settings &settings)
{
    if (const auto *role = std::get_if<OperatorSettings>(&settings.role)) {
        return role->operatorToken;
    }
    if (const auto *role = std::get_if<ControlSettings>(&settings.role)) {
        return role->operatorToken;
    }
    return {};
}

ExitStatus fail(const std::string &reason)
{
    std::cerr << "cassiaroad: " << reason << "\n";
    return ExitStatus::Failed;
}

/**
 * Prints a response. One that is not a success but has the usual fields is printed like a success.
 */
ExitStatus print(const OperatorResponse &response, bool asJson, Format format)
{
    const bool done = response.status == 200;
    if (asJson) {
        std::cout << response.body.dump(2) << "\n";
    } else if (response.body.contains("error")) {
        return fail(response.body["error"].is_string() ? response.body["error"].get<std::string>()
                                                       : "refused");
    } else {
        try {
            std::cout << format(response.body);
        } catch (const json::exception &exception) {
            return fail(std::string("the answer has an unknown form: ") + exception.what());
        }
    }
    return done ? ExitStatus::Done : ExitStatus::Failed;
}

ExitStatus sendRequest(const CommandLine &line, const std::string &method, const std::string &path,
                       const json &body, Format format)
{
    const std::optional<Settings> settings = loadSettings(line.settingsFile);
    if (!settings) {
        return ExitStatus::Failed;
    }
    const std::string token = operatorToken(*settings);
    if (token.empty()) {
        return fail("a settings file of role operator or control is needed");
    }
    std::vector<HostAddress> members;
    for (const MemberSettings &member : settings->members) {
        members.push_back(member.operators);
    }
    EventLoop loop;
    OperatorClient client(loop, std::move(members), token, commandTimeout);
    const OperatorResult result = client.request(method, path, body);
    if (const auto *failure = std::get_if<OperatorFailure>(&result)) {
        return fail("no leader answered: " + failure->reason);
    }
    return print(std::get<OperatorResponse>(result), line.json, format);
}

std::optional<PlanNumber> planNumber(const std::string &word)
{
    const auto number = parseNumber<PlanNumber>(word);
    if (!number || *number == 0) {
        std::cerr << "cassiaroad: PLAN is an integer from 1, not \"" << word << "\"\n";
        return std::nullopt;
    }
    return number;
}

ExitStatus usageError(const std::string &reason)
{
    std::cerr << "cassiaroad: " << reason << "\n";
    return ExitStatus::Usage;
}

} // namespace

ExitStatus runIntentCommand(const CommandLine &line)
{
    if (line.who.empty() || line.why.empty()) {
        return usageError("--who NAME and --why TEXT are needed");
    }
    const std::variant<Intent, IntentError> intent = parseIntent(line.words);
    if (const auto *error = std::get_if<IntentError>(&intent)) {
        return usageError(error->reason);
    }
    const json body = { { "who", line.who }, { "why", line.why }, { "intent", line.words } };
    return sendRequest(line, "POST", "/v1/intent", body, formatPlan);
}

ExitStatus runPlanCommand(const CommandLine &line)
{
    const std::optional<PlanNumber> plan = planNumber(line.words.front());
    if (!plan) {
        return ExitStatus::Usage;
    }
    return sendRequest(line, "GET", "/v1/plan/" + std::to_string(*plan), nullptr, formatPlan);
}

ExitStatus runConfirmCommand(const CommandLine &line)
{
    if (line.who.empty() || line.number == 0) {
        return usageError("--who NAME and --number N are needed");
    }
    const std::optional<PlanNumber> plan = planNumber(line.words.front());
    if (!plan) {
        return ExitStatus::Usage;
    }
    const json body = { { "who", line.who }, { "number", line.number }, { "plan", *plan } };
    return sendRequest(line, "POST", "/v1/confirm", body, formatConfirmation);
}

ExitStatus runRecordCommand(const CommandLine &line)
{
    const json body = { { "who", line.who }, { "text", line.text }, { "limit", line.limit } };
    return sendRequest(line, "POST", "/v1/record", body, formatRecord);
}

ExitStatus runStatusCommand(const CommandLine &line)
{
    return sendRequest(line, "GET", "/v1/status", nullptr, formatStatus);
}

} // namespace cassiaroad
