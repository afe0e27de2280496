#pragma once

#include "version/planstore.h"

#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace cassiaroad {

/** Why the words of an operator are no intent; a sentence. */
struct IntentError
{
    std::string reason;

    bool operator==(const IntentError &) const = default;
};

/** Reads an intent as an operator writes it, such as { "drain", "orders/orders-1" }. Thread-safe.
 */
std::variant<Intent, IntentError> parseIntent(const std::vector<std::string> &words);

/** JSON forms for the answers to operators. Thread-safe. */
nlohmann::json toJson(const Plan &plan);
nlohmann::json toJson(const PlanEntry &entry);
nlohmann::json toJson(const Confirmation &confirmation);
nlohmann::json toJson(const RecordEntry &entry);

} // namespace cassiaroad
