#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cassiaroad {

/** One line of a structured log. */
struct LogLine
{
    std::int64_t time = 0; // wall clock in milliseconds since 1970
    std::string host;
    std::string event;
    std::string fields; // the other fields, as "name=value" separated by spaces

    auto operator<=>(const LogLine &) const = default;
};

/**
 * Finds what the structured logs of gateways and registries tell of one request: its own lines, and
 * what its gateway and the control hosts believed of its key, upstream and configuration shortly
 * before. @p lines may be of several processes in any order; text before the first brace of a line
 * and lines that are no JSON objects are ignored. Returns the lines in the order of time; none if
 * the request does not appear. Thread-safe.
 */
std::vector<LogLine> findRequestHistory(const std::string &request,
                                        const std::vector<std::string> &lines);

} // namespace cassiaroad
