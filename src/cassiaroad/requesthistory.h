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
 * Searches the structured logs of gateways and registries for the history of one request: its own
 * lines, and the events shortly before that concern its key, its upstreams, its gateway and the
 * leadership of the control hosts. @p lines may come from several processes in any order. Text
 * before the first brace of a line is ignored, and so are lines without a JSON object. Returns the
 * lines ordered by time; none if the request does not appear. Thread-safe.
 */
std::vector<LogLine> findRequestHistory(const std::string &request,
                                        const std::vector<std::string> &lines);

} // namespace cassiaroad
