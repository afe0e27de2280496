#pragma once

#include "version/planstore.h"

#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace cassiaroad {

/** Why the words of an operator are not an intent. The reason is a sentence. */
struct IntentError
{
    std::string reason;

    bool operator==(const IntentError &) const = default;
};

/**
 * Parses an intent as an operator writes it, for example { "drain", "orders/orders-1" }.
 * Thread-safe.
 */
std::variant<Intent, IntentError> parseIntent(const std::vector<std::string> &words);

/** Return the JSON form for responses to operators. Thread-safe. */
nlohmann::json toJson(const Plan &plan);
nlohmann::json toJson(const PlanEntry &entry);
nlohmann::json toJson(const Confirmation &confirmation);
nlohmann::json toJson(const RecordEntry &entry);

} // namespace cassiaroad
