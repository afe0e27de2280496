#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace cassiaroad {

/** Format a JSON response to an operator as text that ends with a newline. Thread-safe. */
std::string formatPlan(const nlohmann::json &plan);
std::string formatConfirmation(const nlohmann::json &confirmation);
std::string formatRecord(const nlohmann::json &record);
std::string formatStatus(const nlohmann::json &status);

} // namespace cassiaroad
