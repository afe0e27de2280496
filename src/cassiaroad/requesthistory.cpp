#include "cassiaroad/requesthistory.h"

#include <algorithm>
#include <optional>
#include <set>

#include <nlohmann/json.hpp>

namespace cassiaroad {

namespace {

using nlohmann::ordered_json;

// Events that explain the outcome of a request happen at most a few heartbeats before it, so this
// period before it is searched.
constexpr std::int64_t contextMilliseconds = 10000;

// Events of a process that concern every request that it handles.
const std::set<std::string> processEvents {
    "start",
    "stop",
    "stopped",
    "control_lost",
    "leadership",
    "failed",
    "control_regained",
    "settings_reloaded",
    "settings_refused",
    "folder_dropped",
    "configuration",
    "configuration_unreadable",
};

struct ParsedLine
{
    std::int64_t time = 0;
    ordered_json value;
};

/** Time, key, upstreams and gateways of a request, by which other log lines are related to it. */
struct RequestContext
{
    std::int64_t first = 0; // arrival, as wall clock in milliseconds
    std::int64_t last = 0; // its last log line
    std::string service;
    std::int64_t key = -1; // -1: unknown
    std::set<std::string> upstreams;
    std::set<std::string> gateways;
};

std::optional<ParsedLine> parseLine(const std::string &line)
{
    const std::size_t brace = line.find('{');
    if (brace == std::string::npos) {
        return std::nullopt;
    }
    ordered_json value = ordered_json::parse(line.substr(brace), nullptr, false);
    if (!value.is_object() || !value.contains("event") || !value.contains("time_ms")
        || !value["time_ms"].is_number_integer() || !value["event"].is_string()) {
        return std::nullopt;
    }
    const auto time = value["time_ms"].get<std::int64_t>();
    return ParsedLine { time, std::move(value) };
}

std::string textOf(const ordered_json &line, const char *name)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::int64_t numberOf(const ordered_json &line, const char *name, std::int64_t fallback)
{
    const auto found = line.find(name);
    return found != line.end() && found->is_number_integer() ? found->get<std::int64_t>()
                                                             : fallback;
}

std::optional<RequestContext> findContext(const std::string &request,
                                          const std::vector<ParsedLine> &lines)
{
    std::optional<RequestContext> context;
    for (const ParsedLine &line : lines) {
        if (textOf(line.value, "request") != request) {
            continue;
        }
        if (!context) {
            context = RequestContext { line.time, line.time, {}, -1, {}, {} };
        }
        context->first = std::min(context->first, line.time - numberOf(line.value, "ms", 0));
        context->last = std::max(context->last, line.time);
        context->service = textOf(line.value, "service");
        context->key = numberOf(line.value, "key", -1);
        context->gateways.insert(textOf(line.value, "host"));
        if (const std::string upstream = textOf(line.value, "upstream"); !upstream.empty()) {
            context->upstreams.insert(upstream);
        }
    }
    return context;
}

bool isRelevant(const ParsedLine &line, const std::string &request, const RequestContext &context)
{
    if (textOf(line.value, "request") == request) {
        return true;
    }
    if (line.time < context.first - contextMilliseconds || line.time > context.last) {
        return false;
    }
    const std::string event = textOf(line.value, "event");
    if (event == "range_transferred") {
        return textOf(line.value, "service") == context.service
               && numberOf(line.value, "from", 0) <= context.key
               && context.key <= numberOf(line.value, "to", -1);
    }
    if (event.starts_with("upstream_")) {
        return context.upstreams.contains(textOf(line.value, "upstream"));
    }
    const bool isOwnGateway = context.gateways.contains(textOf(line.value, "host"));
    const bool isRegistry = event == "leadership";
    return isRegistry || (isOwnGateway && processEvents.contains(event));
}

LogLine toLogLine(const ParsedLine &line)
{
    LogLine result { line.time, textOf(line.value, "host"), textOf(line.value, "event"), {} };
    for (const auto &[name, value] : line.value.items()) {
        if (name == "time_ms" || name == "host" || name == "event" || name == "request") {
            continue;
        }
        const std::string text = value.is_string() ? value.get<std::string>() : value.dump();
        if (!result.fields.empty()) {
            result.fields += ' ';
        }
        result.fields.append(name).append("=").append(text);
    }
    return result;
}

} // namespace

std::vector<LogLine> findRequestHistory(const std::string &request,
                                        const std::vector<std::string> &lines)
{
    std::vector<ParsedLine> parsed;
    for (const std::string &line : lines) {
        if (auto value = parseLine(line)) {
            parsed.push_back(std::move(*value));
        }
    }
    const std::optional<RequestContext> context = findContext(request, parsed);
    std::vector<LogLine> history;
    if (!context) {
        return history;
    }
    for (const ParsedLine &line : parsed) {
        if (isRelevant(line, request, *context)) {
            history.push_back(toLogLine(line));
        }
    }
    std::stable_sort(history.begin(), history.end(),
                     [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    // Each member of the control group logs a committed change; the first line is kept.
    const auto last
            = std::unique(history.begin(), history.end(), [](const LogLine &a, const LogLine &b) {
                  return a.event == b.event && a.fields == b.fields && a.event != "leadership"
                         && !a.fields.empty() && b.time - a.time < contextMilliseconds;
              });
    history.erase(last, history.end());
    return history;
}

} // namespace cassiaroad
