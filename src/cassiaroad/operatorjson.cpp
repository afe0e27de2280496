#include "cassiaroad/operatorjson.h"

#include <map>

namespace cassiaroad {

namespace {

using nlohmann::json;
using Words = std::vector<std::string>;

/** Splits "service/name" at the first slash; both are empty if there is none. */
std::pair<std::string, std::string> splitName(const std::string &word)
{
    const std::size_t slash = word.find('/');
    if (slash == std::string::npos) {
        return {};
    }
    return { word.substr(0, slash), word.substr(slash + 1) };
}

/** How one intent is written, and how it is made from its words. */
struct IntentSyntax
{
    std::size_t words; // with the verb
    const char *usage;
    Intent (*make)(const Words &);
};

Intent makeDrain(const Words &words)
{
    const auto [service, name] = splitName(words[1]);
    return DrainUpstream { { service, name } };
}

Intent makeReturn(const Words &words)
{
    const auto [service, name] = splitName(words[1]);
    return ReturnUpstream { { service, name } };
}

Intent makeMoveKey(const Words &words)
{
    const auto [service, key] = splitName(words[1]);
    return MoveKey { { service, key }, words[2] };
}

const std::map<std::string, IntentSyntax> &intentSyntaxes()
{
    static const std::map<std::string, IntentSyntax> syntaxes {
        { "drain", { 2, "drain SERVICE/UPSTREAM", makeDrain } },
        { "return", { 2, "return SERVICE/UPSTREAM", makeReturn } },
        { "move-key", { 3, "move-key SERVICE/KEY UPSTREAM", makeMoveKey } },
        { "zone-out",
          { 2, "zone-out ZONE",
            [](const Words &words) -> Intent { return ZoneOut { words[1] }; } } },
        { "zone-in",
          { 2, "zone-in ZONE", [](const Words &words) -> Intent { return ZoneIn { words[1] }; } } },
        { "set",
          { 3, "set NAME VALUE",
            [](const Words &words) -> Intent {
                return SetSetting { words[1], words[2] };
            } } },
        { "rebalance",
          { 2, "rebalance SERVICE",
            [](const Words &words) -> Intent { return Rebalance { words[1] }; } } },
    };
    return syntaxes;
}

const char *statusName(ConfirmStatus status)
{
    switch (status) {
    case ConfirmStatus::Accepted:
        return "accepted";
    case ConfirmStatus::Conflict:
        return "conflict";
    case ConfirmStatus::NumberReused:
        return "number-reused";
    case ConfirmStatus::UnknownPlan:
        return "unknown-plan";
    case ConfirmStatus::TooMany:
        return "too-many";
    }
    return "unknown";
}

const char *stateName(PlanState state)
{
    switch (state) {
    case PlanState::Proposed:
        return "proposed";
    case PlanState::Confirmed:
        return "confirmed";
    case PlanState::InForce:
        return "in-force";
    case PlanState::Completed:
        return "completed";
    }
    return "unknown";
}

json idJson(const ConfirmationId &id)
{
    if (id.who.empty()) {
        return nullptr;
    }
    return { { "who", id.who }, { "number", id.number } };
}

json wallJson(WallTime wall)
{
    return wall == 0 ? json(nullptr) : json(wall);
}

} // namespace

std::variant<Intent, IntentError> parseIntent(const std::vector<std::string> &words)
{
    const auto syntax = words.empty() ? intentSyntaxes().end() : intentSyntaxes().find(words[0]);
    if (syntax == intentSyntaxes().end()) {
        std::string names;
        for (const auto &[name, unused] : intentSyntaxes()) {
            names += (names.empty() ? "" : ", ") + name;
        }
        return IntentError { "an intent starts with one of: " + names };
    }
    const IntentSyntax &known = syntax->second;
    // A usage with a slash has SERVICE/NAME as its second word.
    const bool named = std::string(known.usage).find('/') != std::string::npos;
    if (words.size() != known.words || (named && splitName(words[1]).second.empty())) {
        return IntentError { std::string("usage: ") + known.usage };
    }
    return known.make(words);
}

json toJson(const Plan &plan)
{
    json moves = json::array();
    for (const PlannedMove &move : plan.moves) {
        moves.push_back({ { "subject", toString(move.subject) },
                          { "from", move.from },
                          { "to", move.to },
                          { "reason", move.reason } });
    }
    json unreachable = json::array();
    for (const UnreachablePeriod &span : plan.unreachable) {
        unreachable.push_back(
                { { "what", span.what },
                  { "expected_ms", span.untilReturn ? json(nullptr) : json(span.expected.count) },
                  { "until_return", span.untilReturn } });
    }
    return { { "plan", plan.number },
             { "basis", plan.basis },
             { "who", plan.who },
             { "why", plan.why },
             { "intent", toString(plan.intent) },
             { "moves", std::move(moves) },
             { "keys_moved",
               { { "keys", plan.keysMoved.keys },
                 { "exact", plan.keysMoved.exact },
                 { "basis", plan.keysMoved.basis } } },
             { "unreachable", std::move(unreachable) },
             { "created_wall_ms", plan.createdWallTime } };
}

json toJson(const PlanEntry &entry)
{
    json result = toJson(entry.plan);
    result["state"] = stateName(entry.state);
    result["confirmation"] = idJson(entry.confirmation);
    return result;
}

json toJson(const Confirmation &confirmation)
{
    const InForceReport &report = confirmation.inForce;
    json inForce = nullptr;
    if (report.revision != 0) {
        inForce = { { "revision", report.revision },
                    { "hosts", report.hosts },
                    { "of_hosts", report.totalHosts },
                    { "missing", report.missing } };
    }
    return { { "who", confirmation.id.who },
             { "number", confirmation.id.number },
             { "plan", confirmation.plan },
             { "status", statusName(confirmation.status) },
             { "detail", confirmation.detail },
             { "winner", idJson(confirmation.winner) },
             { "confirmed_wall_ms", wallJson(confirmation.confirmedWallTime) },
             { "in_force", std::move(inForce) } };
}

json toJson(const RecordEntry &entry)
{
    return { { "plan", entry.plan },
             { "who", entry.who },
             { "why", entry.why },
             { "intent", entry.intent },
             { "confirmation", idJson(entry.confirmation) },
             { "created_wall_ms", wallJson(entry.createdWallTime) },
             { "confirmed_wall_ms", wallJson(entry.confirmedWallTime) },
             { "in_force_wall_ms", wallJson(entry.inForceWallTime) },
             { "completed_wall_ms", wallJson(entry.completedWallTime) } };
}

} // namespace cassiaroad
